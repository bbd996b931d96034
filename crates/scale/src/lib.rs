//! What a role of indigomast costs by its size, and what that comes to in a fleet far larger than any that ran.
//!
//! A [`Role`] is measured at sizes over several orders: the project's own state machines in hollow senders, that is without
//! sockets, threads and disks, many in one process, so that memory can be counted by the allocator and processor time by
//! the thread's clock. [`fit`] draws a straight line through the points and says what lies off it; [`report`] carries it on
//! to the size that the fleet is designed for, and says how far beyond what ran that is. [`real`] measures the same of
//! daemons, to show that hollow and real have the same slopes.
//!
//! It guards against figures without a run and against an extrapolation that hides how long it is. It decides nothing, and
//! leaves to `docs/CAPACITY.md` what the figures mean.

pub mod fit;
pub mod hollow;
pub mod meter;
pub mod real;
pub mod report;
pub mod roles;
pub mod target;

use meter::Meter;

/// What a figure is, and so how it may differ from run to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Sort {
    /// The same whenever it is run with the same seed.
    Count,
    /// Bytes that the allocator was asked for and has not got back.
    Heap,
    /// How many blocks that is, to each of which the allocator adds some bytes of its own.
    Blocks,
    /// Processor time of one thread in microseconds.
    Micros,
    /// The same, of one event: it should not grow with the size, and is fitted by its mean.
    Each,
}

/// One figure at one size.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Reading {
    pub name: String,
    pub sort: Sort,
    pub value: f64,
}

impl Reading {
    pub fn count(name: &str, value: f64) -> Reading {
        Reading { name: name.to_owned(), sort: Sort::Count, value }
    }

    pub fn heap(name: &str, bytes: f64) -> Reading {
        Reading { name: name.to_owned(), sort: Sort::Heap, value: bytes }
    }

    pub fn blocks(name: &str, blocks: f64) -> Reading {
        Reading { name: name.to_owned(), sort: Sort::Blocks, value: blocks }
    }

    pub fn each(name: &str, micros: f64) -> Reading {
        Reading { name: name.to_owned(), sort: Sort::Each, value: micros }
    }

    pub fn micros(name: &str, micros: f64) -> Reading {
        Reading { name: name.to_owned(), sort: Sort::Micros, value: micros }
    }
}

/// What is said of a role without running it.
#[derive(Clone, Copy, Debug)]
pub struct About {
    pub name: &'static str,
    /// What it is measured over, in the plural.
    pub unit: &'static str,
    /// The least and the greatest size that are worth a run, where nobody says otherwise.
    pub range: (f64, f64),
    /// The size that is designed for.
    pub goal: f64,
    /// What is taken for granted, for whoever reads the figures.
    pub assumes: &'static [&'static str],
}

impl About {
    /// Of a role that is measured over the senders of a fleet, up to the one that is designed for.
    const fn over_senders(name: &'static str, assumes: &'static [&'static str]) -> About {
        About { name, unit: "senders", range: (10.0, target::SENDERS), goal: target::SENDERS, assumes }
    }
}

/// Something that a sender, a controller or a machine does, by the size of what it does it for.
pub trait Role {
    fn about(&self) -> About;

    /// Bytes that a run at this size may come to need, roughly, so that none is begun that would not fit.
    fn needs(&self, size: f64) -> f64;

    /// # Errors
    ///
    /// What could not be set up or did not behave as it must.
    fn measure(&self, size: f64, seed: u64, meter: &Meter) -> Result<Vec<Reading>, String>;

    fn name(&self) -> &'static str {
        self.about().name
    }

    fn unit(&self) -> &'static str {
        self.about().unit
    }

    fn range(&self) -> (f64, f64) {
        self.about().range
    }

    fn goal(&self) -> f64 {
        self.about().goal
    }
}
