//! A journal of unfinished items whose content it doesn't interpret.
//!
//! An item is opened, gets notes and is closed. Open items are recovered after a crash at any point, as far as the
//! chosen [`Durability`] promises. Records are stored in segments; only the newest is written to. [`Journal::commit`] also moves a few
//! open items out of the oldest segment, as one record each, so that segments are freed during normal operation and no
//! step takes time in proportion to the open items. The format is written down in `docs/journal.md`; all files go through [`Store`], of
//! which there is one on a folder and one that can fail at every call.

mod format;
mod journal;
mod simulated;
mod store;

pub use journal::{Damage, Durability, Entry, Full, Journal, Key, Recovered, Settings, Step};
pub use simulated::{Fault, Simulated};
pub use store::{Folder, Store};
