//! Parts of the destinations in real processes, under faults drawn from a seed.
//!
//! Three control processes, an agent beside each sender and some real daemons run on loopback addresses with a relay of
//! [`network`](crate::processes::network) on every line. [`nemesis`] draws what breaks, [`stage`] carries it out,
//! [`keeper`] keeps the processes, [`watch`] looks at them past all faults. What was said and seen is written down
//! ([`history`]); the [`checker`] alone says whether that may be: it knows nothing of how the processes work, and is a function
//! of the history.

pub mod checker;
pub mod history;
pub mod keeper;
pub mod nemesis;
pub mod stage;
pub mod watch;
