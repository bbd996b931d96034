//! The carrier of [`indigomast_assignment`]: control processes and senders' agents on sockets and disks.
//!
//! [`control`] is a control machine's process: always a relay, which holds a copy and serves agents from it; a controller
//! too once it has been promoted by an order. [`agent`] runs beside one sender: its subscriber, and towards its daemon the
//! list's existing protocol, so that the daemon takes its part as it is. [`order`] is what whoever steers says to a control
//! process, and the answer.
//!
//! What is decided is in `indigomast_assignment`. This crate guards against lines that never end, connections that say
//! nothing, a reader that stops, a kill at any moment, and a disk that gives back less than it was given. It leaves to whoever
//! steers which process is promoted, with which epoch, and who is there.
//!
//! Each process is one actor, which alone owns the state machines: words in through a bounded mailbox, lines out through a
//! bounded queue for each connection. Threads that read, write, connect or wait for the disk decide nothing.

pub mod agent;
pub mod config;
pub mod connection;
pub mod control;
pub mod copy;
pub mod limits;
pub mod listing;
pub mod order;

/// Log lines go where the program's do.
fn moment(since: std::time::Instant) -> indigomast::time::Moment {
    indigomast::time::Moment::from_millis(since.elapsed().as_secs_f64() * 1000.0)
}
