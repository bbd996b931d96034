//! indigomast decides when, where and how often a text is handed to an outside receiver.
//!
//! [`rules::Rules`] is the decision maker: [`rules::Rules::step`] takes what happened and returns what to do.
//! [`api`] holds the events, actions, settings and ids of that exchange. Nothing here reads a clock, a socket
//! or the environment, so whatever carries the calls can be put in front of the same decisions.

pub mod api;
pub mod chance;
pub mod rules;
pub mod time;
