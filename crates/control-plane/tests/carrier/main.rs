//! The carrier on loopback sockets and real folders. Nothing is proven by waiting: each step waits for what it needs, and
//! fails after [`support::PATIENCE`].

mod bad_input;
mod connection;
mod copy;
mod listing;
mod processes;
mod settled;
mod support;
