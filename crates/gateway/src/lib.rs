//! A model of gateways, free of I/O: links and calls go in, answers and due times come out.
//!
//! [`Gateways::step`] takes what arrived at one moment and returns what the gateways do about it; [`Gateways::next`]
//! says when they act by themselves. The model guards rehearsals against depending on real partners, and it keeps
//! the accounts from which a judge tells whether a gateway was pushed over, by whom, and what ran how often. Who
//! plays it, with sockets or in simulated time, is not its business; it never sees a clock.
//!
//! What chance decides of a call hangs on the seed, its first text and how often that text has come, not on the
//! order of arrival: two runs that differ by a hair of time, or two policies on the same traffic, meet the same luck.

mod account;
mod model;

pub use account::{Accounts, EndpointAccount, Fall};
pub use model::{
    Action, Call, CallId, Change, Event, Fate, Figures, Gateways, Kind, Limit, LinkId, Reply, Route,
    SenderId, TextNo, Trouble,
};
