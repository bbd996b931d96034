//! What happens to bytes on their way along one direction of a line, free of I/O.
//!
//! [`Stream`] is a direction of a connection, [`Datagrams`] one of a way for packets. Both are told what came and when, and
//! say what may go on and when. They guard against two errors of such a rig: reordering within a stream, which no network
//! does, and growing without bound while nothing gets through.

use indigomast::time::{Moment, Span};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What a direction of a line does to what is sent along it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Condition {
    /// Nothing gets through; what comes meanwhile goes on late, when this is over.
    pub cut: bool,
    /// What comes is lost for good, and so is all that comes later on the same connection: no reset tells of it.
    pub swallow: bool,
    /// Time under way, and how much more of it there may be by chance.
    pub delay_ms: f64,
    pub jitter_ms: f64,
    /// Bytes a second; any number where there is none.
    pub bytes_a_second: Option<f64>,
    /// The part of packets that is lost. Of a stream such a part comes late by [`RESEND`], as a transport sends it again.
    pub loss: f64,
    /// The part of packets that comes twice, and that is overtaken by later ones. Datagrams only.
    pub doubled: f64,
    pub reordered: f64,
}

/// After how long a transport sends again what was lost.
pub const RESEND: Span = Span::millis(200);
/// How long a datagram that is overtaken stays behind.
const OVERTAKEN: Span = Span::millis(50);
/// What a direction holds at the most; beyond it a stream reads no more, and datagrams are dropped.
pub const HOLDS: usize = 256 << 10;

impl Condition {
    /// Both at once.
    pub fn and(self, other: &Condition) -> Condition {
        let least = match (self.bytes_a_second, other.bytes_a_second) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        Condition {
            cut: self.cut || other.cut,
            swallow: self.swallow || other.swallow,
            delay_ms: self.delay_ms + other.delay_ms,
            jitter_ms: self.jitter_ms + other.jitter_ms,
            bytes_a_second: least,
            loss: either(self.loss, other.loss),
            doubled: either(self.doubled, other.doubled),
            reordered: either(self.reordered, other.reordered),
        }
    }

    fn under_way(&self, chance: &mut Pcg64Mcg) -> Span {
        Span::from_millis(self.delay_ms + self.jitter_ms * chance.random::<f64>())
    }
}

/// A direction of a connection: bytes keep their order whatever happens.
#[derive(Debug, Default)]
pub struct Stream {
    parts: VecDeque<(Moment, Vec<u8>)>,
    bytes: usize,
    /// No byte goes on before one that came earlier does.
    last_due: Moment,
    /// When the line has room again, where its rate is limited.
    free_at: Moment,
    /// The end that sends has ended its direction.
    ended: bool,
    lost: bool,
}

impl Stream {
    /// Whether there is room for more.
    pub fn takes(&self) -> bool {
        !self.ended && self.bytes < HOLDS
    }

    pub fn put(&mut self, now: Moment, bytes: &[u8], condition: &Condition, chance: &mut Pcg64Mcg) {
        self.lost |= condition.swallow;
        if self.lost || bytes.is_empty() {
            return;
        }
        let mut due = now + condition.under_way(chance);
        if chance.random::<f64>() < condition.loss {
            due += RESEND;
        }
        if let Some(rate) = condition.bytes_a_second {
            let start = self.free_at.max(now);
            self.free_at = start + Span::from_millis(bytes.len() as f64 / rate.max(1.0) * 1000.0);
            due = due.max(self.free_at);
        }
        due = due.max(self.last_due);
        self.last_due = due;
        self.bytes += bytes.len();
        self.parts.push_back((due, bytes.to_vec()));
    }

    /// The end that sends says that no more comes.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// What may go on now.
    pub fn ready(&self, now: Moment, condition: &Condition) -> Option<&[u8]> {
        let (due, bytes) = self.parts.front()?;
        (!condition.cut && *due <= now).then_some(bytes)
    }

    /// So many of those have gone on.
    pub fn went(&mut self, count: usize) {
        let Some((_, bytes)) = self.parts.front_mut() else { return };
        let count = count.min(bytes.len());
        self.bytes -= count;
        if count == bytes.len() {
            self.parts.pop_front();
        } else {
            bytes.drain(..count);
        }
    }

    /// When something goes on by itself; nothing does while the line is cut.
    pub fn next(&self, condition: &Condition) -> Option<Moment> {
        self.parts.front().filter(|_| !condition.cut).map(|(due, _)| *due)
    }

    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Whether the other end is to be told that no more comes: all has gone on, and nothing was lost that it waits for.
    pub fn is_over(&self, condition: &Condition) -> bool {
        self.ended && self.parts.is_empty() && !condition.cut && !self.lost
    }

    pub fn has_lost(&self) -> bool {
        self.lost
    }
}

/// A direction of a way for datagrams: each goes alone, if it goes.
#[derive(Debug, Default)]
pub struct Datagrams {
    parts: BTreeMap<(Moment, u64), Vec<u8>>,
    bytes: usize,
    count: u64,
    free_at: Moment,
    /// How many were lost by condition or for want of room.
    pub lost: u64,
}

impl Datagrams {
    pub fn put(&mut self, now: Moment, bytes: &[u8], condition: &Condition, chance: &mut Pcg64Mcg) {
        // A datagram that meets a cut is gone, as no transport sends it again.
        let gone = condition.cut || condition.swallow || chance.random::<f64>() < condition.loss;
        if gone || self.bytes + bytes.len() > HOLDS {
            self.lost += 1;
            return;
        }
        let copies = if chance.random::<f64>() < condition.doubled { 2 } else { 1 };
        for _ in 0..copies {
            let mut due = now + condition.under_way(chance);
            if let Some(rate) = condition.bytes_a_second {
                let start = self.free_at.max(now);
                self.free_at = start + Span::from_millis(bytes.len() as f64 / rate.max(1.0) * 1000.0);
                due = due.max(self.free_at);
            }
            if chance.random::<f64>() < condition.reordered {
                due += OVERTAKEN;
            }
            self.count += 1;
            self.bytes += bytes.len();
            self.parts.insert((due, self.count), bytes.to_vec());
        }
    }

    /// The next that goes on by `now`.
    pub fn take(&mut self, now: Moment) -> Option<Vec<u8>> {
        let at = *self.parts.first_key_value()?.0;
        let bytes = (at.0 <= now).then(|| self.parts.remove(&at)).flatten()?;
        self.bytes -= bytes.len();
        Some(bytes)
    }

    pub fn next(&self) -> Option<Moment> {
        self.parts.first_key_value().map(|((due, _), _)| *due)
    }
}
