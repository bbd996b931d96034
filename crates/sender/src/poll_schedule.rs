//! When a sender asks for the list, and whether it watches or reads: free of I/O.
//!
//! Discovery is one service that works through the calls of all senders in turn, and a call that waited in vain has cost
//! it as much as one that was answered. So a fleet that asks again as soon as it is answered, or turned away, can keep
//! discovery from answering anyone. A small fleet watches. In a large one each sender has a turn of its own in a round of the
//! whole fleet and reads the list once a round. It does not watch: a change ends the watches of all at once, and what
//! changes in the moment after that counts as told to a sender that has begun to pause.
//!
//! How much discovery bears is not told, but that it works through one call after the other: what an answer takes tells how
//! long a round of all has to be. A fleet whose own round is shorter than that goes by this one.
//!
//! Whatever a round is, a change counts as told some seconds after discovery had it and could be reached, to a sender whose
//! last question failed. So a failed question is asked again within that time, less what an answer takes. Two signs tell of a
//! discovery that is there and has too much to do, where asking sooner would keep it so: one that turned a call away after
//! letting it wait, and one that let several go unanswered, one after the other. Then a sender waits for a round, or longer.
//! One that was answered out of its turn goes back to it, or all would ask together once a round from then on.

use std::time::{Duration, Instant};

/// The fleet's questions come so far apart, as long as a round of them ends before settings want the next question.
const APART: Duration = Duration::from_millis(100);
/// A fleet whose round is longer takes turns: asking on all at once, it would wait longer than discovery lets a call wait.
const TAKES_TURNS: Duration = Duration::from_millis(1000);
/// A round is this part at most of the time within which a sender has to ask.
const PART_OF_TERM: f64 = 0.9;
/// What is elsewhere now has to be asked for within this part of that time.
const RENEWED_PART: f64 = 0.2;
/// A failed question is asked again after this at the latest: to that sender a change counts as told 6 s after discovery had
/// it and could be reached, and an answer takes up to 1.5 s of these while the whole fleet asks so often.
const RETRY: Duration = Duration::from_millis(4500);
/// A fleet whose questions are all out within that time is small enough to ask again sooner, after a pause that grows with each failure: a
/// list whose lease lapsed holds up all that its sender has.
const FIRST_RETRY: Duration = Duration::from_millis(1000);
/// Where discovery has too much to do the next pause is longer by this much, as far as settings let a sender go without
/// asking, or up to so many rounds where they don't say.
const GROWTH: f64 = 1.5;
const LONGEST: f64 = 3.0;
/// A call turned away after so long stood in a line at discovery.
const STOOD_IN_LINE: Duration = Duration::from_millis(1000);
/// After so many questions in a row that nobody answered discovery passes for one that has too much to do.
const MOST_SILENT: u32 = 4;
/// The next turn is passed over if it comes sooner after an answer than this part of a round.
const SOONEST: f64 = 1.0 / 3.0;

/// How a question ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    Told,
    /// Discovery answered, but with no list.
    TurnedAway,
    /// Nobody listens there.
    Unreachable,
    /// There was no connection, it broke, or what came could not be read.
    Broken,
    /// Its time was up.
    Silent,
}

/// The turns of one sender.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// From one question to the next while they are answered, and the least that may be.
    round: Duration,
    shortest: Duration,
    senders: u32,
    /// The same while discovery has too much to do, by now and at the most.
    pause: Duration,
    longest: Duration,
    /// This sender's place in a round, from 0 to below 1, and one of its turns.
    place: f64,
    turn: Instant,
    asked: Instant,
    failures: u32,
    silent: u32,
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
        let turn = if watches { now } else { now + round.mul_f64(place) };
        let (shortest, senders) = (round, senders.min(100_000) as u32);
        PollSchedule {
            round,
            shortest,
            senders,
            pause: round,
            longest,
            place,
            turn,
            asked: now,
            failures: 0,
            silent: 0,
            next: turn,
            watches,
        }
    }

    /// Goes on with the round of a process before, which asked last at this moment. Where that round is over the own turn stands:
    /// a fleet that starts again at once would ask all together.
    pub fn resumes(&mut self, now: Instant, asked: Instant) {
        let due = asked + self.round;
        if !self.watches && due > now {
            self.next = self.next.min(due);
        }
    }

    /// Whether it asks to be told of changes as they come, one question after the other.
    pub fn watches(&self) -> bool {
        self.watches
    }

    /// Whether the other has the same place in a round of the same length.
    pub fn goes_round_with(&self, other: &PollSchedule) -> bool {
        (self.shortest, self.place, self.watches) == (other.shortest, other.place, other.watches)
    }

    /// How long to wait for this sender's turn.
    pub fn wait(&self, now: Instant) -> Duration {
        self.next.saturating_duration_since(now)
    }

    /// A question goes out now.
    pub fn asks(&mut self, now: Instant) {
        self.asked = now;
        self.next = if self.watches { now } else { now + self.round };
    }

    /// How the question ended that went out last.
    pub fn answered(&mut self, now: Instant, reply: Reply) {
        if self.watches {
            return;
        }
        self.silent = if reply == Reply::Silent { self.silent + 1 } else { 0 };
        self.failures = if reply == Reply::Told { 0 } else { self.failures + 1 };
        let stood = now.saturating_duration_since(self.asked) >= STOOD_IN_LINE;
        let swamped = (reply == Reply::TurnedAway && stood) || self.silent > MOST_SILENT;
        if !swamped {
            self.pause = self.round;
        }
        let pause = match reply {
            Reply::Told => {
                self.round = self.bearable_round(now);
                // There are turns in the common round only.
                if self.round > self.shortest { self.round } else { self.rejoin() }
            }
            _ if swamped => {
                let pause = self.pause;
                self.pause = pause.mul_f64(GROWTH).min(self.longest);
                pause
            }
            _ if APART * self.senders < RETRY => self.retry(),
            _ => self.shortest.min(RETRY),
        };
        self.next = self.asked + pause;
    }

    /// A round in which discovery gets through the whole fleet, where a question waits for one other and then takes as long.
    fn bearable_round(&self, now: Instant) -> Duration {
        let took = now.saturating_duration_since(self.asked);
        (took * self.senders / 2).clamp(self.shortest, self.longest.max(self.shortest))
    }

    /// From a question that failed to the next, in a fleet that is not large.
    fn retry(&self) -> Duration {
        let growth = GROWTH.powi(self.failures.saturating_sub(1).min(8) as i32);
        FIRST_RETRY.mul_f64(growth).min(self.shortest)
    }

    /// From the last question to the next turn, or halfway to the one after it where that comes too soon.
    fn rejoin(&self) -> Duration {
        let since = match self.asked.checked_duration_since(self.turn) {
            Some(since) => since.as_nanos() % self.round.as_nanos().max(1),
            None => return self.turn - self.asked,
        };
        let left = self.round.saturating_sub(Duration::from_nanos(since as u64));
        if left < self.round.mul_f64(SOONEST) { (left + self.round) / 2 } else { left }
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
