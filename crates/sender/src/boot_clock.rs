//! The time since the machine's boot, by which one life of a sender tells how long the one before it has been gone.
//!
//! The wall clock may be stepped between two processes, by seconds or by an hour, and a deadline or a window is a span of
//! real time. The standard library's monotonic clock can't be carried from one process to the next, so the kernel's clock of
//! the boot is read, with the boot's id. The folder that lasts keeps which Unix time that clock's zero was taken for; all
//! lives of one boot go by it.

use crate::log;
use crate::whole_file::{Lasting, replace};
use rustix::time::{ClockId, DynamicClockId, clock_gettime_dynamic};
use std::fs;
use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

/// Where the kernel tells one boot from another.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";

const FILE: &str = "clock";
const HEAD: &str = "indigomast-clock 1";

/// A difference from the wall clock that is worth a line in the log, in milliseconds.
const NOTABLE_STEP_MS: f64 = 1000.0;

/// How often a file that could not be written is tried again.
const WRITE_AGAIN: Duration = Duration::from_millis(250);

/// The clock of the machine's present boot, as it was read once.
#[derive(Clone, Debug)]
pub struct BootClock {
    id: String,
    /// Since the boot, time asleep included, in milliseconds.
    pub since_boot_ms: f64,
}

impl BootClock {
    /// None where the system doesn't tell one boot from another, or has no such clock.
    pub fn read() -> Option<BootClock> {
        let id = fs::read_to_string(BOOT_ID).ok()?.trim().to_owned();
        let is_name = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_graphic());
        let at = clock_gettime_dynamic(DynamicClockId::Known(ClockId::Boottime)).ok()?;
        let since_boot_ms = at.tv_sec as f64 * 1e3 + at.tv_nsec as f64 / 1e6;
        is_name.then_some(BootClock { id, since_boot_ms })
    }

    /// The Unix time in milliseconds that the boot's zero is taken for in a folder. Where nobody has said so since the boot
    /// it is worked out from the wall clock as of this reading, and kept for the lives to come.
    pub fn origin_ms(&self, folder: &Path, wall_ms: f64) -> f64 {
        let by_wall = wall_ms - self.since_boot_ms;
        let kept = fs::read_to_string(folder.join(FILE)).ok().and_then(|text| self.parse(&text));
        if let Some(origin) = kept {
            let step = by_wall - origin;
            if step.abs() >= NOTABLE_STEP_MS {
                log!(
                    "the wall clock was stepped by {step:.0} ms since an earlier life; times go on without it"
                );
            }
            return origin;
        }
        if let Err(e) = self.keep(folder, by_wall) {
            log!("{}: {e}; it is tried again", folder.join(FILE).display());
            let (clock, folder) = (self.clone(), folder.to_owned());
            _ = thread::Builder::new().name("clock".into()).spawn(move || {
                while clock.keep(&folder, by_wall).is_err() {
                    thread::sleep(WRITE_AGAIN);
                }
            });
        }
        by_wall
    }

    fn text(&self, origin_ms: f64) -> String {
        format!("{HEAD}\n{} {origin_ms:?}\n", self.id)
    }

    /// What a file of this boot says; none where it is another's, or was cut off.
    fn parse(&self, text: &str) -> Option<f64> {
        let line = text.strip_prefix(HEAD)?.strip_prefix('\n')?.strip_suffix('\n')?;
        let (id, origin) = line.split_once(' ')?;
        let origin = origin.parse::<f64>().ok().filter(|origin| origin.is_finite())?;
        (id == self.id).then_some(origin)
    }

    fn keep(&self, folder: &Path, origin_ms: f64) -> io::Result<()> {
        replace(folder, FILE, self.text(origin_ms).as_bytes(), Lasting::Process)
    }
}

#[cfg(test)]
mod tests;
