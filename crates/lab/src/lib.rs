//! Experiments on the sender: one scenario, two stages, one judge.
//!
//! A [`scenario::Scenario`] is read from a TOML file. [`world::World`] is everything outside the senders: clients,
//! gateways, the list, troubles, and the [`judge::Judge`] that sees the wire and nothing else. It is free of I/O, so
//! that the two stages, [`simulated`] and [`sockets`], play the very same world: the first drives hundreds of
//! instances of the decisions in simulated time, the second real daemons on loopback addresses.
//!
//! [`assignment`] plays the control plane of assignment in real processes under faults, with a checker of its own.
//!
//! The lab guards against gains read out of noise ([`compare`]) and against trusting a sender's own counters. What a
//! gateway is like belongs to `indigomast-gateway`, what the program prints to `indigomast-cli`.

pub mod assignment;
pub mod compare;
pub mod judge;
pub mod outcome;
pub mod platform;
pub mod policy;
pub mod processes;
pub mod report;
pub mod scenario;
pub mod simulated;
pub mod sockets;
pub mod traffic;
pub mod world;
