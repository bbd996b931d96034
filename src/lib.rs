//! indigomast decides when, where and how often a text is handed to an outside receiver.
//!
//! [`rules::Rules`] is the decision maker: [`rules::Rules::step`] takes what happened and returns what to do.
//! [`connection_sharing`] says which calls may share a connection, and what an answer there proves.
//! [`connect_estimate::ConnectEstimate`] says when a second connection is tried.
//! [`list_lease::ListLease`] says until when the list of endpoints may be acted on.
//! [`api`] holds the events, actions, settings and ids of that exchange. Nothing here reads a clock, a socket
//! or the environment, so whatever carries the calls can be put in front of the same decisions.

pub mod api;
pub mod connect_estimate;
pub mod connection_sharing;
pub mod list_lease;
pub mod rng;
pub mod rules;
pub mod time;
