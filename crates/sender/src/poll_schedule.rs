//! When a sender queries discovery for the list, and whether it watches or polls. No I/O.
//!
//! Discovery is one service that processes the queries of all senders one after the other, and a query that
//! times out costs it as much as an answered one. A fleet that retries as soon as it is answered or rejected
//! can keep discovery overloaded. A small fleet watches. In a large one each sender polls once per round of
//! the whole fleet, at its own turn. It does not watch: a change would end all watches at once, and a change
//! in the moment after that counts as published to a sender that has begun to pause.
//!
//! The capacity of discovery is not known, but since it processes queries sequentially, the response time
//! shows how long a round of the whole fleet has to be. A fleet whose own round is shorter adopts this
//! longer one.
//!
//! A change counts as published to a sender whose last query failed some seconds after discovery had it and
//! was reachable. So a failed query is retried within that time, less the response time. Two signs show that
//! discovery is up but overloaded, where earlier retries would keep it so: it rejected a query after a wait,
//! or several queries in a row timed out. Then a sender waits for a round or longer. A sender that was
//! answered outside of its turn returns to it; otherwise all senders would query together once per round from
//! then on.

use std::time::{Duration, Instant};

/// Interval between the queries of a fleet, unless the settings demand a shorter round.
const QUERY_SPACING: Duration = Duration::from_millis(100);
/// A fleet whose round is longer than this polls in turns: if all its senders watched, queries would wait
/// longer than discovery lets them.
const TURNS_FROM_ROUND: Duration = Duration::from_millis(1000);
/// Upper bound of a round as a share of the longest allowed interval between queries.
const ROUND_SHARE_OF_TERM: f64 = 0.9;
/// After discovery moved, it is queried within this share of that interval.
const RESTART_SHARE_OF_TERM: f64 = 0.2;
/// Upper bound of the delay before a failed query is retried: a change counts as published to that sender 6 s
/// after discovery had it and was reachable, and a response takes up to 1.5 s of these while the whole fleet
/// retries at this rate.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(4500);
/// First retry delay of a fleet that can send all its queries within `MAX_RETRY_DELAY`. The delay grows with
/// each failure. It is short because a sender whose list lease has expired holds back all its texts.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(1000);
/// Growth of the pause while discovery is overloaded, up to the longest allowed interval between queries, or
/// up to `MAX_PAUSE_ROUNDS` rounds if the settings give none.
const BACKOFF_FACTOR: f64 = 1.5;
const MAX_PAUSE_ROUNDS: f64 = 3.0;
/// A query rejected after at least this long was queued at discovery.
const QUEUED_THRESHOLD: Duration = Duration::from_millis(1000);
/// After more than this many timeouts in a row discovery counts as overloaded.
const MAX_TIMEOUTS: u32 = 4;
/// A turn is skipped if it comes sooner after the last query than this share of a round.
const MIN_GAP: f64 = 1.0 / 3.0;

/// How a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// A list came.
    Listed,
    /// Discovery answered without a list.
    TurnedAway,
    /// The connection was refused.
    Unreachable,
    /// The connection failed or broke, or the response could not be parsed.
    Broken,
    /// The query timed out.
    Silent,
}

/// The poll schedule of one sender.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// Interval between answered queries, and its lower bound.
    round: Duration,
    shortest: Duration,
    senders: u32,
    /// Current and longest interval while discovery is overloaded.
    pause: Duration,
    longest: Duration,
    /// This sender's position in a round, from 0 to below 1, and the time of one of its turns.
    phase: f64,
    turn: Instant,
    asked: Instant,
    failures: u32,
    timeouts: u32,
    next: Instant,
    watches: bool,
}

impl PollSchedule {
    /// The schedule of sender `number` of `senders`, which may not go without a query for longer than `term`
    /// (zero if it need not query).
    pub fn new(now: Instant, number: usize, senders: usize, term: Duration) -> PollSchedule {
        let senders = senders.max(1);
        let wanted = QUERY_SPACING * senders.min(100_000) as u32;
        let longest =
            if term.is_zero() { wanted.mul_f64(MAX_PAUSE_ROUNDS) } else { term.mul_f64(ROUND_SHARE_OF_TERM) };
        let round = wanted.min(longest);
        let phase = (number % senders) as f64 / senders as f64;
        let watches = wanted <= TURNS_FROM_ROUND;
        let turn = if watches { now } else { now + round.mul_f64(phase) };
        let (shortest, senders) = (round, senders.min(100_000) as u32);
        PollSchedule {
            round,
            shortest,
            senders,
            pause: round,
            longest,
            phase,
            turn,
            asked: now,
            failures: 0,
            timeouts: 0,
            next: turn,
            watches,
        }
    }

    /// Continues the round of the previous process, whose last query was at `asked`. If that round is over,
    /// the sender keeps its own turn, since a fleet that restarts at once would otherwise query all together.
    pub fn resume_from(&mut self, now: Instant, asked: Instant) {
        let due = asked + self.round;
        if !self.watches && due > now {
            self.next = self.next.min(due);
        }
    }

    /// Whether the sender watches for changes, with one query directly after the other.
    pub fn watches(&self) -> bool {
        self.watches
    }

    /// Whether the other has the same position in a round of the same length.
    pub fn same_turns_as(&self, other: &PollSchedule) -> bool {
        (self.shortest, self.phase, self.watches) == (other.shortest, other.phase, other.watches)
    }

    /// The time until the next query is due.
    pub fn wait(&self, now: Instant) -> Duration {
        self.next.saturating_duration_since(now)
    }

    /// Records that a query is sent now.
    pub fn record_query(&mut self, now: Instant) {
        self.asked = now;
        self.next = if self.watches { now } else { now + self.round };
    }

    /// Records how the last query ended.
    pub fn record_reply(&mut self, now: Instant, reply: Reply) {
        if self.watches {
            return;
        }
        self.timeouts = if reply == Reply::Silent { self.timeouts + 1 } else { 0 };
        self.failures = if reply == Reply::Listed { 0 } else { self.failures + 1 };
        let was_queued = now.saturating_duration_since(self.asked) >= QUEUED_THRESHOLD;
        let overloaded = (reply == Reply::TurnedAway && was_queued) || self.timeouts > MAX_TIMEOUTS;
        if !overloaded {
            self.pause = self.round;
        }
        let pause = match reply {
            Reply::Listed => {
                self.round = self.sustainable_round(now);
                // Turns exist only in the fleet's own round, not in a longer one.
                if self.round > self.shortest { self.round } else { self.delay_to_turn() }
            }
            _ if overloaded => {
                let pause = self.pause;
                self.pause = pause.mul_f64(BACKOFF_FACTOR).min(self.longest);
                pause
            }
            _ if QUERY_SPACING * self.senders < MAX_RETRY_DELAY => self.retry_delay(),
            _ => self.shortest.min(MAX_RETRY_DELAY),
        };
        self.next = self.asked + pause;
    }

    /// A round in which discovery can serve the whole fleet, assuming that each query waits for one other
    /// that takes as long.
    fn sustainable_round(&self, now: Instant) -> Duration {
        let took = now.saturating_duration_since(self.asked);
        (took * self.senders / 2).clamp(self.shortest, self.longest.max(self.shortest))
    }

    /// The retry delay after a failed query in a fleet that is not large.
    fn retry_delay(&self) -> Duration {
        let growth = BACKOFF_FACTOR.powi(self.failures.saturating_sub(1).min(8) as i32);
        MIN_RETRY_DELAY.mul_f64(growth).min(self.shortest)
    }

    /// The delay from the last query to the next turn, or halfway to the one after it if that is too soon.
    fn delay_to_turn(&self) -> Duration {
        let since = match self.asked.checked_duration_since(self.turn) {
            Some(since) => since.as_nanos() % self.round.as_nanos().max(1),
            None => return self.turn - self.asked,
        };
        let left = self.round.saturating_sub(Duration::from_nanos(since as u64));
        if left < self.round.mul_f64(MIN_GAP) { (left + self.round) / 2 } else { left }
    }

    /// Schedules a query soon after discovery moved. All senders learn of it at once, so their queries are
    /// spread by phase.
    pub fn restart_soon(&mut self, now: Instant, term: Duration) {
        if self.watches {
            return;
        }
        let soon =
            if term.is_zero() { self.round } else { self.round.min(term.mul_f64(RESTART_SHARE_OF_TERM)) };
        self.next = now + soon.mul_f64(self.phase);
    }
}

#[cfg(test)]
mod tests;
