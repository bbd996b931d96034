//! Admission without I/O: which clients may connect, which connections are evicted, who gets a descriptor, and when a
//! text is refused because the sender is overloaded.
//!
//! [`Connections`] limits connections against clients that open many and send nothing, and keeps a reserve for known
//! clients. [`Budget`] hands out descriptors as tokens that are released when dropped. [`OverloadDetector`] gets the
//! sender's own delays and decides which texts it can still process in time. [`MemoryBudget`] hands out the bytes that requests may
//! hold, and [`StalledRequests`] says which are ended when there are none left. Which server a text goes to, whether it is
//! retried and what is nacked is not decided here; sockets, threads and clocks belong to the caller.

mod addresses;
mod budget;
mod connections;
mod memory;
mod overload;

pub use addresses::{Network, Prefixes};
pub use budget::{Budget, Purpose, Shares, Token};
pub use connections::{ConnectionNumber, Connections, Decision, Event, Priority, Reason, Settings, State};
pub use memory::{MemoryBudget, MemoryReservation, StallSettings, StalledRequests};
pub use overload::{OverloadDetector, OverloadSettings};
