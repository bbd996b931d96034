//! What is measured with: the allocator's counts, the thread's clock, and the memory that the machine has left.

use rustix::time::{ClockId, clock_gettime};
use std::fs;

/// More than this is never held at once.
pub const MOST_MEMORY: f64 = 12e9;
/// This much is left to others on the machine.
const LEFT_TO_OTHERS: f64 = 3e9;

/// What the allocator has given out and not got back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heap {
    pub bytes: u64,
    pub blocks: u64,
}

/// Taken before and after something, for the difference.
#[derive(Clone, Copy, Debug)]
pub struct Mark {
    heap: Heap,
    micros: f64,
}

/// Whoever owns the process hands in its allocator's counts; without any, all of memory reads 0.
#[derive(Clone, Copy)]
pub struct Meter {
    heap: fn() -> Heap,
}

impl Meter {
    pub fn new(heap: fn() -> Heap) -> Meter {
        Meter { heap }
    }

    pub fn mark(&self) -> Mark {
        Mark { heap: (self.heap)(), micros: thread_micros() }
    }

    /// Microseconds of processor time of this thread since the mark.
    pub fn micros_since(&self, mark: Mark) -> f64 {
        thread_micros() - mark.micros
    }

    /// Bytes that are held now and were not at the mark; below zero where more was given back.
    pub fn bytes_since(&self, mark: Mark) -> f64 {
        (self.heap)().bytes as f64 - mark.heap.bytes as f64
    }

    /// Blocks likewise. The allocator adds some bytes to each, which count on no heap but in the process's memory.
    pub fn blocks_since(&self, mark: Mark) -> f64 {
        (self.heap)().blocks as f64 - mark.heap.blocks as f64
    }
}

fn thread_micros() -> f64 {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

/// Bytes that a run may take: what is bounded, and what the machine has less what is left to others.
pub fn room() -> f64 {
    let available = fs::read_to_string("/proc/meminfo").ok().and_then(|text| {
        let line = text.lines().find_map(|line| line.strip_prefix("MemAvailable:"))?;
        line.split_ascii_whitespace().next()?.parse::<f64>().ok()
    });
    available.map_or(MOST_MEMORY, |kib| MOST_MEMORY.min(kib * 1024.0 - LEFT_TO_OTHERS))
}
