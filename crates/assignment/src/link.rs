//! A subscriber's one connection: to whom, since when, and when to look for another.

use crate::budget;
use indigomast::rng::Rng;
use indigomast::time::{Moment, Span};

/// Who had to go to another than its first choice tries that again after so long, or up to twice as long.
const HOME: Span = Span::millis(300_000);

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Idle { until: Moment },
    Connecting { since: Moment },
    Up { since: Moment, heard: Moment },
}

/// What a carrier is to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Do {
    /// Connect to the publisher of this number.
    Connect(u32),
    Disconnect,
}

#[derive(Clone, Debug)]
pub struct Link {
    /// Publishers, the preferred first.
    choices: Vec<u32>,
    at: usize,
    state: State,
    tries: i32,
    silent: Span,
    most: Span,
    home: Span,
    chance: Rng,
    challenge: u64,
}

impl Link {
    /// # Panics
    ///
    /// There is nobody to choose from.
    pub fn new(choices: Vec<u32>, silent: Span, most: Span, seed: u64, now: Moment) -> Link {
        assert!(!choices.is_empty());
        let mut chance = Rng::new(seed);
        let until = now + budget::RETRY * chance.next_f64();
        let home = HOME * (1.0 + chance.next_f64());
        Link {
            choices,
            at: 0,
            state: State::Idle { until },
            tries: 0,
            silent,
            most,
            home,
            chance,
            challenge: 0,
        }
    }

    pub fn next(&self) -> Moment {
        match self.state {
            State::Idle { until } => until,
            State::Connecting { since } => since + budget::CONNECT,
            State::Up { since, heard } if self.at > 0 => (heard + self.silent).min(since + self.home),
            State::Up { heard, .. } => heard + self.silent,
        }
    }

    pub fn tick(&mut self, now: Moment) -> Option<Do> {
        if now < self.next() {
            return None;
        }
        match self.state {
            State::Idle { .. } => {
                self.state = State::Connecting { since: now };
                Some(Do::Connect(self.choices[self.at]))
            }
            State::Up { heard, .. } if now.since(heard) < self.silent => {
                // All is well, but not at home.
                self.at = 0;
                self.tries = 0;
                self.state = State::Idle { until: now };
                Some(Do::Disconnect)
            }
            _ => {
                self.failed(now);
                Some(Do::Disconnect)
            }
        }
    }

    /// The connection is there; a challenge for it, that never was before.
    pub fn connected(&mut self, now: Moment) -> u64 {
        self.state = State::Up { since: now, heard: now };
        let mut draw = || (self.chance.next_f64() * 4_294_967_296.0) as u64;
        self.challenge = draw() << 32 | draw();
        self.challenge
    }

    pub fn challenge(&self) -> u64 {
        self.challenge
    }

    pub fn is_up(&self) -> bool {
        matches!(self.state, State::Up { .. })
    }

    /// A good line came.
    pub fn heard(&mut self, now: Moment) {
        if let State::Up { heard, .. } = &mut self.state {
            *heard = now;
            self.tries = 0;
        }
    }

    /// The same one once more, at once.
    pub fn again(&mut self, now: Moment) {
        self.state = State::Idle { until: now + budget::RETRY * (self.chance.next_f64() / 2.0) };
    }

    /// This one is the first choice from here on, and the next that is tried; None of a number that isn't known.
    pub fn prefer(&mut self, now: Moment, choice: u32) {
        let Some(at) = self.choices.iter().position(|known| *known == choice) else { return };
        self.choices[..=at].rotate_right(1);
        match self.state {
            State::Idle { until } => {
                (self.at, self.tries) = (0, 0);
                self.state =
                    State::Idle { until: until.min(now + budget::RETRY * (self.chance.next_f64() / 2.0)) };
            }
            // What there is goes on; should it fail, the first choice is the next.
            _ if self.at == at => self.at = 0,
            _ if self.at < at => self.at += 1,
            _ => {}
        }
    }

    /// Not before this moment.
    pub fn postpone(&mut self, to: Moment) {
        if let State::Idle { until } = &mut self.state {
            *until = (*until).max(to);
        }
    }

    /// It didn't come up, broke off, or said what can't be taken: the next one, after a while.
    pub fn failed(&mut self, now: Moment) {
        self.at = (self.at + 1) % self.choices.len();
        let wait = (budget::RETRY * f64::from(1 << self.tries.min(10))).min(self.most);
        self.tries += 1;
        self.state = State::Idle { until: now + wait * (0.5 + self.chance.next_f64() / 2.0) };
    }
}
