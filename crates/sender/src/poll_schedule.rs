//! When a sender asks for the list, and whether it watches or reads: free of I/O.
//!
//! Discovery is one service that works through the calls of all senders in turn, and a call that waited in vain has cost
//! it as much as one that was answered. So a fleet that asks again as soon as it is answered, or turned away, can keep
//! discovery from answering anyone. A small fleet watches. In a large one each sender has a turn of its own in a round of the
//! whole fleet and reads the list once a round. It does not watch: a change ends the watches of all at once, and what
//! changes in the moment after that counts as told to a sender that has begun to pause.

use std::time::{Duration, Instant};

/// The fleet's questions come so far apart, as long as a round of them ends before settings want the next question.
const APART: Duration = Duration::from_millis(100);
/// A fleet whose round is longer takes turns: asking on all at once, it would wait longer than discovery lets a call wait.
const TAKES_TURNS: Duration = Duration::from_millis(1000);
/// A round is this part at most of the time within which a sender has to ask.
const PART_OF_TERM: f64 = 0.9;
/// What is elsewhere now has to be asked for within this part of that time.
const RENEWED_PART: f64 = 0.2;
/// A question that failed makes the next round longer by this much, as far as settings let a sender go without asking, or
/// up to so many rounds where they don't say.
const GROWTH: f64 = 1.5;
const LONGEST: f64 = 3.0;

/// The turns of one sender.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// From one question to the next while they are answered, as it is now, and at the most.
    round: Duration,
    present: Duration,
    longest: Duration,
    /// This sender's place in a round, from 0 to below 1.
    place: f64,
    next: Instant,
    watches: bool,
}

impl PollSchedule {
    /// Of the sender with this number among so many, which may not go without asking for longer than `term` (zero where it
    /// need not ask).
    pub fn new(now: Instant, number: usize, senders: usize, term: Duration) -> PollSchedule {
        let senders = senders.max(1);
        let wanted = APART * senders.min(100_000) as u32;
        let longest = if term.is_zero() { wanted.mul_f64(LONGEST) } else { term.mul_f64(PART_OF_TERM) };
        let round = wanted.min(longest);
        let place = (number % senders) as f64 / senders as f64;
        let watches = wanted <= TAKES_TURNS;
        let first = if watches { Duration::ZERO } else { round.mul_f64(place) };
        PollSchedule { round, present: round, longest, place, next: now + first, watches }
    }

    /// Whether it asks to be told of changes as they come, one question after the other.
    pub fn watches(&self) -> bool {
        self.watches
    }

    /// How long to wait for this sender's turn.
    pub fn wait(&self, now: Instant) -> Duration {
        self.next.saturating_duration_since(now)
    }

    /// A question goes out now.
    pub fn asks(&mut self, now: Instant) {
        self.next = if self.watches { now } else { now + self.present };
    }

    /// The question was answered, or not.
    pub fn answered(&mut self, well: bool) {
        self.present = if well { self.round } else { self.present.mul_f64(GROWTH).min(self.longest) };
    }

    /// All senders are told at once that what they know may no longer be so: they ask soon, but not all together.
    pub fn renewed(&mut self, now: Instant, term: Duration) {
        if self.watches {
            return;
        }
        let soon = if term.is_zero() { self.round } else { self.round.min(term.mul_f64(RENEWED_PART)) };
        self.next = now + soon.mul_f64(self.place);
    }
}

#[cfg(test)]
mod tests;
