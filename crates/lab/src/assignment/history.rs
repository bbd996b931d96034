//! What was said, and what was seen of it: all that the [`checker`](super::checker) judges by.
//!
//! Times are milliseconds of the run's own clock. What an observer asks for is true at some moment between asking and
//! having the answer, so both stand here. Conditions of processes and lines are noted on the careful side: an end before it
//! is brought about, a beginning after.

use indigomast_assignment::catalog::Position;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Tells one line of a destination from any other that was ever said of it. The body carries it.
pub type Stamp = u64;

/// A body that was never said.
pub const UNSAID: Stamp = 0;

/// A controller's time, from its promotion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Era {
    pub epoch: u32,
    pub first: u64,
    /// Of the last revision before `first` in the copy that it began with; 0 for a blank one.
    pub base_epoch: u32,
    pub control: usize,
    pub asked_ms: f64,
    pub answered_ms: f64,
}

/// A change that was handed in. Nobody answered where there is no position: it may have been made or not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    pub destination: u32,
    /// None removes it.
    pub stamp: Option<Stamp>,
    pub control: usize,
    pub epoch: u32,
    /// Not before its own revision; owners may have changed within the same answer.
    pub position: Option<Position>,
    pub asked_ms: f64,
    pub answered_ms: f64,
}

/// Who owned what by one controller's copy, by shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnersSeen {
    pub asked_ms: f64,
    pub at_ms: f64,
    /// When it was asked for the last time with the same answer.
    pub until_ms: f64,
    pub position: Position,
    pub owners: BTreeMap<u32, Vec<u32>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Process {
    Control(usize),
    Agent(u32),
    Daemon(u32),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    Runs,
    Stopped,
    Down,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Turn {
    Process(Process, State),
    /// Open is a line that carries both ways, however slowly.
    Line {
        from: Process,
        to: Process,
        open: bool,
    },
    /// All faults are over.
    Healed,
}

/// What an agent said to have in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartSeen {
    pub sender: u32,
    /// Counts starts of its process.
    pub life: u32,
    pub asked_ms: f64,
    pub at_ms: f64,
    /// When it was asked for the last time with the same answer.
    pub until_ms: f64,
    pub position: Option<Position>,
    /// Revision and stamp, by destination.
    pub lines: BTreeMap<u32, (u64, Stamp)>,
}

/// A whole page of the list, as the daemon would get it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PageSeen {
    pub sender: u32,
    pub asked_ms: f64,
    pub at_ms: f64,
    pub revision: u64,
    pub lines: BTreeMap<u32, Stamp>,
}

/// How many endpoints a daemon says are on its list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SizeSeen {
    pub sender: u32,
    pub at_ms: f64,
    pub size: usize,
}

/// A daemon's call at a stand-in endpoint, which tells the line by which it came only up to the stamp's rest by
/// [`SLOTS`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallSeen {
    pub sender: u32,
    pub at_ms: f64,
    pub destination: u32,
    pub slot: u64,
}

/// Stand-in endpoints.
pub const SLOTS: u64 = 16;

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct History {
    pub shards: u32,
    pub senders: u32,
    /// Of each shard, once nothing moves.
    pub owners_wanted: usize,
    pub controls: usize,
    pub eras: Vec<Era>,
    pub changes: Vec<Change>,
    pub owners: Vec<OwnersSeen>,
    pub turns: Vec<(f64, Turn)>,
    pub parts: Vec<PartSeen>,
    pub pages: Vec<PageSeen>,
    pub sizes: Vec<SizeSeen>,
    pub calls: Vec<CallSeen>,
    /// Who is a member at the end.
    pub members: Vec<u32>,
    /// Processes that ended by themselves, and with what.
    pub crashes: Vec<(f64, Process, String)>,
    pub ended_ms: f64,
}
