//! What the sender took in, sent and answered since its start.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        #[derive(Debug, Default)]
        pub struct Counters {
            $(pub $name: Counter,)*
            pub list: ListInForce,
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
                $(writeln!(f, "{} {}", stringify!($name), self.$name.value())?;)*
                write!(f, "{}", self.list)
            }
        }
    };
}
counters!(
    connections,
    taken,
    resumed,
    turned_away,
    unheard,
    turned_away_late,
    turned_away_memory,
    requests_evicted,
    stalls,
    bad_requests,
    conflicts,
    no_descriptor,
    withdrawn,
    calls,
    endpoint_connections,
    endpoint_reuses,
    connects_repeated,
    unasked,
    submitted,
    delivered,
    errors,
    full,
    time_outs,
    unconnected,
    resets,
    not_sent,
    nacked,
    undeliverable,
    reported,
    lists,
    bad_lists,
    compactions,
);

/// Which list is in force, and as of when: its age is what a sender may have missed.
#[derive(Debug, Default)]
pub struct ListInForce(Mutex<Option<(u64, Instant)>>);

impl ListInForce {
    /// A list with this revision holds all that its source had at a moment.
    pub fn holds(&self, revision: u64, as_of: Instant) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Some((revision, as_of));
    }

    /// The revision and the age of the list; none before the first was told.
    pub fn get(&self) -> Option<(u64, Duration)> {
        let held = *self.0.lock().unwrap_or_else(PoisonError::into_inner);
        held.map(|(revision, as_of)| (revision, as_of.elapsed()))
    }
}

impl fmt::Display for ListInForce {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Some((revision, age)) = self.get() else { return Ok(()) };
        writeln!(f, "list_revision {revision}\nlist_age_ms {}", age.as_millis())
    }
}

#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    pub fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, Ordering::Relaxed);
    }

    /// Counts one more; how many there are with it, which no other caller is told.
    pub fn next(&self) -> u64 {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }

    pub fn value(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

#[cfg(test)]
mod tests;
