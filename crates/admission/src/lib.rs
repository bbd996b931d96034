//! Admission, free of I/O: who may connect, who makes room, who gets a descriptor, and when a text is not taken on
//! because the sender could no longer answer for it.
//!
//! [`Connections`] guards the places for clients against those who take many and give nothing, and keeps a reserve for
//! clients that are known. [`Budget`] deals out descriptors by tokens that give themselves back. [`OverloadDetector`] is told how
//! late the sender itself is and says which texts it can still answer for. Which server a text goes to, whether it is
//! retried and what is nacked is not decided here; sockets, threads and clocks belong to the carrier.

mod addresses;
mod budget;
mod connections;
mod overload;

pub use addresses::{Network, Prefixes};
pub use budget::{Budget, Purpose, Shares, Token};
pub use connections::{ConnectionNumber, Connections, Decision, Event, Priority, Reason, Settings, State};
pub use overload::{OverloadDetector, OverloadSettings};
