//! A token bucket, and what each line of control may cost.

use indigomast::time::{Moment, Span};

/// In any span of `t` seconds no more than `burst + rate * t` bytes pass.
#[derive(Clone, Debug)]
pub struct Bucket {
    /// A second.
    rate: f64,
    burst: f64,
    level: f64,
    at: Moment,
}

impl Bucket {
    pub fn new(rate: f64, burst: f64, level: f64, now: Moment) -> Bucket {
        Bucket { rate, burst, level: level.min(burst), at: now }
    }

    pub fn level(&mut self, now: Moment) -> f64 {
        self.level = (self.level + now.since(self.at).as_secs() * self.rate).min(self.burst);
        self.at = self.at.max(now);
        self.level
    }

    /// Takes so much if it is there, else nothing.
    pub fn take(&mut self, now: Moment, amount: f64) -> bool {
        let enough = self.level(now) >= amount;
        if enough {
            self.level -= amount;
        }
        enough
    }

    /// What has been spent already, whether or not it was there.
    pub fn spend(&mut self, now: Moment, amount: f64) {
        self.level = self.level(now) - amount;
    }

    /// When so much, or a full bucket, will be there.
    pub fn when(&mut self, now: Moment, amount: f64) -> Moment {
        let lacking = amount.min(self.burst) - self.level(now);
        // A little more than needed, lest a rounded span end just too early.
        if lacking <= 0.0 { now } else { now + Span::from_millis(lacking / self.rate * 1000.0 + 0.01) }
    }
}

/// How a publisher speaks to one subscriber.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Bytes a second, and at once after a rest.
    pub rate: f64,
    pub burst: f64,
    /// No frame is longer; none with records is begun with less in the bucket than `least`, so that a trickle doesn't
    /// pay a checksum for each record.
    pub largest: usize,
    pub least: usize,
    /// Bytes that may be out unacknowledged: who is stopped is sent no more, and what changes meanwhile coalesces.
    pub window: usize,
    pub heartbeat: Span,
}

/// Down to a sender 4,096 + 10 x 1,430, up from it 1,536 + 10 x 48 bytes in any 10 s: 20,412 of the 20,480 that it may spend.
pub const SENDER: Pace = Pace {
    rate: 1430.0,
    burst: 4096.0,
    largest: 3600,
    least: 2048,
    window: 8192,
    heartbeat: Span::millis(2500),
};
pub const SENDER_UP_RATE: f64 = 48.0;
pub const SENDER_UP_BURST: f64 = 1536.0;
/// What a sender's control may cost in any 10 s, both ways.
pub const SENDER_MOST_IN_10_S: usize = 20_480;

/// A control machine: the whole catalog (1.1 million lines of some 75 bytes) takes 21 s.
pub const RELAY: Pace = Pace {
    rate: 4e6,
    burst: 1e6,
    largest: 48 << 10,
    least: 16 << 10,
    window: 1 << 20,
    heartbeat: Span::millis(1000),
};

/// Silence after which a sender, and a relay, looks for another to listen to.
pub const SENDER_SILENT: Span = Span::millis(6000);
pub const RELAY_SILENT: Span = Span::millis(3000);
/// A connection that isn't there after so long won't come.
pub const CONNECT: Span = Span::millis(1500);
/// Tries are so far apart at first, and at most, drawn from half of it to the whole; a relay that serves others doesn't wait
/// as long.
pub const RETRY: Span = Span::millis(500);
pub const SENDER_RETRY_MOST: Span = Span::millis(4000);
pub const RELAY_RETRY_MOST: Span = Span::millis(1000);
/// A subscriber's own record is written no more often.
pub const SAVE: Span = Span::millis(5000);
pub const SAVE_UNCHANGED: Span = Span::millis(3_600_000);
