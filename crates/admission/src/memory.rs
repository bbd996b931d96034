//! One budget of bytes, handed out as reservations that are released when dropped.
//!
//! A limit on the memory of a process can't be kept by counting connections: those that were told to go hold their
//! requests until they have gone. So every holder reserves its bytes before it allocates them, and whoever finds none left is
//! refused. Requests that wait for their own client may be ended for others; [`StalledRequests`] says which.

use indigomast::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use crate::ConnectionNumber;

#[derive(Debug, Default)]
struct Counts {
    total: usize,
    used: AtomicUsize,
    peak: AtomicUsize,
    refused: AtomicU64,
}

/// The bytes that a part of the process may hold.
#[derive(Clone, Debug, Default)]
pub struct MemoryBudget(Arc<Counts>);

/// The right to hold some bytes; released when dropped, also when its holder panics.
#[derive(Debug)]
pub struct MemoryReservation {
    counts: Arc<Counts>,
    bytes: usize,
}

impl MemoryBudget {
    /// A budget of so many bytes.
    pub fn new(total: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(Counts { total, ..Counts::default() }))
    }

    /// A reservation of so many bytes, or `None` if fewer are left.
    pub fn reserve(&self, bytes: usize) -> Option<MemoryReservation> {
        let mut reservation = self.empty();
        reservation.resize(bytes).then_some(reservation)
    }

    /// A reservation of no bytes, to be resized.
    pub fn empty(&self) -> MemoryReservation {
        MemoryReservation { counts: Arc::clone(&self.0), bytes: 0 }
    }

    /// Bytes that are reserved.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// The most bytes that were reserved at one time.
    pub fn peak(&self) -> usize {
        self.0.peak.load(Ordering::Relaxed)
    }

    /// How often bytes were refused.
    pub fn refused(&self) -> u64 {
        self.0.refused.load(Ordering::Relaxed)
    }
}

impl MemoryReservation {
    /// Bytes that this holds.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes how many bytes this holds. Fewer always can be; where the budget has no more, nothing changes and this returns
    /// false.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let counts = &self.counts;
        let Some(more) = bytes.checked_sub(self.bytes) else {
            counts.used.fetch_sub(self.bytes - bytes, Ordering::Relaxed);
            self.bytes = bytes;
            return true;
        };
        let added = |used: usize| used.checked_add(more).filter(|used| more == 0 || *used <= counts.total);
        match counts.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, added) {
            Ok(before) => {
                counts.peak.fetch_max(before + more, Ordering::Relaxed);
                self.bytes = bytes;
                true
            }
            Err(_) => {
                counts.refused.fetch_add(1, Ordering::Relaxed);
                false
            }
        }
    }

    /// Splits off all its bytes.
    pub fn take(&mut self) -> MemoryReservation {
        let bytes = std::mem::take(&mut self.bytes);
        MemoryReservation { counts: Arc::clone(&self.counts), bytes }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.counts.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// How long a request may take before it can be ended for the memory that it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StallSettings {
    /// Of a client that has handed in a text on this connection.
    pub proven: Span,
    /// Of any other.
    pub unproven: Span,
}

impl Default for StallSettings {
    fn default() -> StallSettings {
        StallSettings { proven: Span::millis(500), unproven: Span::millis(20) }
    }
}

/// A request that is being read and holds memory.
type Rank = (bool, Moment, ConnectionNumber);

/// The requests that are being read and hold memory, in the order in which they are ended when others need it: unproven
/// clients first, then those that began first. Each call takes time logarithmic in their number.
#[derive(Debug)]
pub struct StalledRequests {
    settings: StallSettings,
    ranks: BTreeSet<Rank>,
    by_number: BTreeMap<ConnectionNumber, Rank>,
}

impl StalledRequests {
    /// No requests yet.
    pub fn new(settings: StallSettings) -> StalledRequests {
        StalledRequests { settings, ranks: BTreeSet::new(), by_number: BTreeMap::new() }
    }

    /// A request that began at `since` holds memory from now on.
    pub fn insert(&mut self, number: ConnectionNumber, since: Moment, proven: bool) {
        self.remove(number);
        let rank = (proven, since, number);
        self.ranks.insert(rank);
        self.by_number.insert(number, rank);
    }

    /// A request is whole or over: it is not ended for others any more.
    pub fn remove(&mut self, number: ConnectionNumber) {
        if let Some(rank) = self.by_number.remove(&number) {
            self.ranks.remove(&rank);
        }
    }

    /// Takes out the request to end for another, if one has taken long enough.
    pub fn evict(&mut self, now: Moment) -> Option<ConnectionNumber> {
        let StallSettings { proven, unproven } = self.settings;
        let may_be_evicted =
            |(is_proven, since, _): &Rank| now.since(*since) >= if *is_proven { proven } else { unproven };
        let first = self.ranks.first().copied();
        let first_proven = self.ranks.range((true, Moment::default(), ConnectionNumber(0))..).next().copied();
        let (.., number) = first.into_iter().chain(first_proven).find(may_be_evicted)?;
        self.remove(number);
        Some(number)
    }
}
