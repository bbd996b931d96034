//! The stage with several processes and faults between them.
//!
//! It is the stage on [`sockets`](crate::sockets) with a relay on every line: [`network`] carries bytes, [`line`] says
//! what becomes of them, [`faults`] what is put out of order and when. What versions run side by side, what is seen
//! of it and who is to blame is said by the same world and judge as everywhere else.
//!
//! The judge sees the wire on the sender's side of each line: a call counts from when its last byte left the sender, an answer
//! and what it tells from when it had gone out to the sender. What reaches an endpoint late because a line held it back
//! is no fault of who sent it in time. Times at which ends are due are put off for a sender whose process doesn't run,
//! can't write or can't reach who takes its notices, and for [`RECOVERY`] after.

pub mod faults;
pub mod line;
pub mod network;
pub mod steered;

use indigomast::time::Span;

/// How long after a fault a sender has to end what came due during it: the longest pause between two tries to tell an end,
/// and a connection that takes its whole time to be given up.
pub const RECOVERY: Span = Span::millis(4000);
