//! The sender's clock: one scale for all lives on a folder, which only ever goes forwards.

use crate::boot_clock::BootClock;
use indigomast::time::{Moment, Span};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn span(time: Duration) -> Span {
    Span::from_millis(time.as_secs_f64() * 1000.0)
}

pub fn duration(span: Span) -> Duration {
    Duration::from_secs_f64(span.as_secs())
}

/// A log outlasts its process, so a moment means the same in the next life: milliseconds of Unix time as of the first life
/// on the folder since the machine's boot, and of the time since boot from then on. A step of the wall clock changes nothing,
/// neither while the sender runs nor between two lives.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    at_start_ms: f64,
}

/// Milliseconds of Unix time by the machine's wall clock.
fn wall_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

impl Clock {
    /// A scale of this process's own, by the wall clock at its start.
    pub fn start() -> Clock {
        Clock { start: Instant::now(), at_start_ms: wall_ms() }
    }

    /// The scale of the lives before on this folder, where the machine has not been booted since; else a new one, which the
    /// next lives go on with.
    pub fn of_folder(folder: &Path) -> Clock {
        match BootClock::read() {
            Some(boot) => {
                let (start, wall) = (Instant::now(), wall_ms());
                Clock { start, at_start_ms: boot.origin_ms(folder, wall) + boot.since_boot_ms }
            }
            None => Clock::start(),
        }
    }

    pub fn moment(&self, at: Instant) -> Moment {
        Moment::from_millis(self.at_start_ms) + span(at - self.start)
    }

    pub fn now(&self) -> Moment {
        self.moment(Instant::now())
    }
}
