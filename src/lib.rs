//! indigomast decides when, where and how often a text is submitted to an external receiver.
//!
//! - [`rules::Rules`] makes the decisions: [`rules::Rules::step`] takes events and returns actions.
//! - [`api`] defines the events, actions, settings and ids that it exchanges with its caller.
//! - [`connection_sharing`] decides which calls may share a connection, and to which call an answer belongs.
//! - [`connect_estimate::ConnectEstimate`] decides when a second connection attempt is started.
//! - [`list_lease::ListLease`] limits how long a list of endpoints may be used.
//! - [`time`] defines points in time and spans, [`rng`] a seeded random number generator.
//!
//! This crate reads no clock, no socket and no environment variable, so the same decisions can run in a real
//! process and in a simulation.

pub mod api;
pub mod connect_estimate;
pub mod connection_sharing;
pub mod list_lease;
pub mod rng;
pub mod rules;
pub mod time;
