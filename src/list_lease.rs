//! Until when a sender may act on the list of endpoints that it holds.
//!
//! A list is a claim about one moment. What has changed since counts as told some time after discovery had it, whether or not
//! it arrived, so a list is held under a lease: it runs from the moment as of which the list is known to be whole, and each
//! answer renews it. Once it has lapsed an endpoint on the list may be one that drains, and nothing new goes to any of them.
//!
//! The lease doesn't run while nobody listens at discovery, as nothing is told then. Where discovery has turned down or left
//! unanswered each question for long it passes for down as well: who can't be told for good would stop for good.

use crate::time::{Moment, Span};

/// To a watch, and to a sender whose question failed, a change counts as told so long after discovery had it and could be reached.
const TOLD_WITHIN: Span = Span::millis(6_000);
/// The same after the source of the list was moved.
const TOLD_AFTER_MOVE: Span = Span::millis(4_000);
/// Kept free of the grace for what lies between a decision and the first byte of its call.
const GRACE_KEPT: Span = Span::millis(200);
/// How long a sender may go without asking where settings don't say.
const POLL_TERM: Span = Span::millis(10_000);
/// Fewer failures in a row than this don't make discovery pass for down.
const LEAST_FAILURES: u32 = 2;

/// How a sender learns of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subscription {
    /// It asks from time to time.
    Polls,
    /// A question is always open and answered as soon as something changes.
    Watches,
    /// An agent has all changes at once, and what it has counts as told.
    Pushed,
}

/// What the settings say of it.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    pub subscription: Subscription,
    /// How long a sender that polls may go without asking; zero where that isn't said.
    pub max_poll_interval: Span,
    /// For so long calls may still go to an endpoint after it was told that it drains.
    pub drain_grace: Span,
}

/// How a question failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryFailure {
    /// Nobody listens there.
    Unreachable,
    /// It was turned down, broke off, or could not be read.
    Refused,
    /// Nothing came.
    Silent,
}

/// The lease of one list. A step of the clock is none of its concern: moments only ever go forwards.
#[derive(Clone, Debug)]
pub struct ListLease {
    settings: LeaseSettings,
    begun: Moment,
    /// The list in force holds all that discovery had at this moment.
    as_of: Moment,
    /// Whether this process has had an answer.
    answered: bool,
    /// Failures since the last answer, and when the first came of those that ended a call.
    failures: u32,
    cut_off: Option<Moment>,
    /// Nobody listened at discovery then.
    unreachable: Option<Moment>,
    /// The source was moved then, and no answer has come since.
    moved: Option<Moment>,
}

impl ListLease {
    /// For a process that begins now with a list that was whole at `as_of`, as far as is known; `failed` where the process before
    /// has asked in vain since.
    pub fn new(settings: LeaseSettings, now: Moment, as_of: Moment, failed: bool) -> ListLease {
        ListLease {
            settings,
            begun: now,
            as_of: as_of.min(now),
            answered: false,
            failures: u32::from(failed),
            cut_off: None,
            unreachable: None,
            moved: None,
        }
    }

    /// Other settings are in force.
    pub fn update_settings(&mut self, settings: LeaseSettings) {
        self.settings = settings;
    }

    /// An answer came to a question that was sent at `asked`: the list is whole as of then.
    pub fn record_answer(&mut self, asked: Moment) {
        self.as_of = self.as_of.max(asked);
        self.answered = true;
        (self.failures, self.cut_off, self.unreachable) = (0, None, None);
        self.moved = self.moved.filter(|moved| asked < *moved);
    }

    pub fn record_failure(&mut self, now: Moment, failure: QueryFailure) {
        self.failures += 1;
        match failure {
            QueryFailure::Unreachable => self.unreachable = Some(now),
            QueryFailure::Refused => _ = self.cut_off.get_or_insert(now),
            QueryFailure::Silent => {}
        }
    }

    /// The source of the list is another one from now on, or tells all anew.
    pub fn record_source_change(&mut self, now: Moment) {
        self.moved = Some(now);
    }

    /// Whether a question has failed since the last answer.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// As of when the list is known to be whole.
    pub fn as_of(&self) -> Moment {
        self.as_of
    }

    /// Whether discovery passes for down.
    fn passes_for_down(&self, now: Moment) -> bool {
        let begun = self.begun.max(self.as_of).max(self.moved.unwrap_or(self.begun));
        let term = if self.settings.max_poll_interval == Span::ZERO {
            POLL_TERM
        } else {
            self.settings.max_poll_interval
        };
        self.failures >= LEAST_FAILURES && now >= begun + term + TOLD_WITHIN
    }

    /// Until when new calls may go out by the list, as far as is known now; none where nothing ends that.
    pub fn valid_until(&self, now: Moment) -> Option<Moment> {
        if self.passes_for_down(now) {
            return None;
        }
        let LeaseSettings { subscription, max_poll_interval, drain_grace } = self.settings;
        let within =
            if max_poll_interval == Span::ZERO { TOLD_WITHIN } else { max_poll_interval.min(TOLD_WITHIN) };
        let reached = |from: Moment| from.max(self.unreachable.unwrap_or(from));
        let told = match subscription {
            Subscription::Polls if self.failures == 0 => {
                let term = if max_poll_interval == Span::ZERO { POLL_TERM } else { max_poll_interval };
                self.as_of + term
            }
            Subscription::Polls | Subscription::Watches => reached(self.as_of) + within,
            // What the agent has counts from the first moment of a process, and whether or not a watch is open.
            Subscription::Pushed if !self.answered => reached(self.begun),
            Subscription::Pushed => reached(self.cut_off.unwrap_or(self.as_of + within)),
        };
        let told = match self.moved {
            Some(moved) => told.min(reached(moved) + TOLD_AFTER_MOVE),
            None => told,
        };
        Some(told + drain_grace.saturating_sub(GRACE_KEPT))
    }
}
