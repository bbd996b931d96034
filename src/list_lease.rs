//! The lease that limits how long a sender may use its list of endpoints.
//!
//! A list describes one moment. A later change counts as announced a fixed time after discovery had it,
//! whether or not it reached the sender. The lease of a list therefore starts at the moment as of which the
//! list is known to be complete, and each answer renews it. After it has expired, any listed endpoint may be
//! draining, and no new call goes to any of them.
//!
//! The lease does not run while connections to discovery are refused, as no change is announced then.
//! Discovery that has rejected or left unanswered all queries for a long time is treated as down as well;
//! otherwise a sender that it never answers again would stop sending for good.

use crate::time::{Moment, Span};

/// For a sender that watches, or whose query failed, a change counts as announced this long after discovery
/// had it and was reachable.
const ANNOUNCED_WITHIN: Span = Span::millis(6_000);
/// The same limit after the source of the list has changed.
const ANNOUNCED_WITHIN_AFTER_SOURCE_CHANGE: Span = Span::millis(4_000);
/// Part of the drain grace that is reserved for the delay between a decision and the first byte of its call.
const GRACE_RESERVE: Span = Span::millis(200);
/// Longest permitted time between queries if the settings contain none.
const DEFAULT_MAX_POLL_INTERVAL: Span = Span::millis(10_000);
/// Minimum number of consecutive failures before discovery is treated as down.
const MIN_FAILURES_FOR_DOWN: u32 = 2;

/// How a sender learns of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subscription {
    /// The sender queries discovery at intervals.
    Polls,
    /// The sender keeps a long-running query open, which discovery answers as soon as something changes.
    Watches,
    /// An agent receives each change at once, and a change that the agent has counts as announced.
    Pushed,
}

/// The settings that determine the length of a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseSettings {
    /// How the sender learns of changes.
    pub subscription: Subscription,
    /// Longest permitted time between two queries of a sender that polls; zero selects the default.
    pub max_poll_interval: Span,
    /// How long calls may still be sent to an endpoint after it was announced as draining.
    pub drain_grace: Span,
}

/// How a query of discovery failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryFailure {
    /// The connection was refused.
    Unreachable,
    /// The query was rejected, the connection broke, or the answer could not be parsed.
    Refused,
    /// The query timed out.
    Silent,
}

/// The lease of one list. It expects monotonic time, so steps of the wall clock do not affect it.
#[derive(Clone, Debug)]
pub struct ListLease {
    settings: LeaseSettings,
    /// When this process started.
    started: Moment,
    /// The list contains all that discovery had at this moment.
    as_of: Moment,
    /// Whether this process has received an answer.
    answered: bool,
    /// Failures since the last answer.
    failures: u32,
    /// When the first `Refused` failure since the last answer occurred.
    first_refused: Option<Moment>,
    /// When discovery last refused a connection since the last answer.
    last_unreachable: Option<Moment>,
    /// When the source of the list changed, if no query sent since then has been answered.
    source_changed: Option<Moment>,
}

impl ListLease {
    /// Creates the lease of a process that starts at `now` with a list known to be complete as of `as_of`;
    /// `failed` says that a query of the previous process has failed since then.
    pub fn new(settings: LeaseSettings, now: Moment, as_of: Moment, failed: bool) -> ListLease {
        ListLease {
            settings,
            started: now,
            as_of: as_of.min(now),
            answered: false,
            failures: u32::from(failed),
            first_refused: None,
            last_unreachable: None,
            source_changed: None,
        }
    }

    /// Replaces the settings.
    pub fn update_settings(&mut self, settings: LeaseSettings) {
        self.settings = settings;
    }

    /// Records an answer to a query sent at `sent_at`, as of which the list is complete.
    pub fn record_answer(&mut self, sent_at: Moment) {
        self.as_of = self.as_of.max(sent_at);
        self.answered = true;
        (self.failures, self.first_refused, self.last_unreachable) = (0, None, None);
        self.source_changed = self.source_changed.filter(|changed| sent_at < *changed);
    }

    /// Records a failed query.
    pub fn record_failure(&mut self, now: Moment, failure: QueryFailure) {
        self.failures += 1;
        match failure {
            QueryFailure::Unreachable => self.last_unreachable = Some(now),
            QueryFailure::Refused => _ = self.first_refused.get_or_insert(now),
            QueryFailure::Silent => {}
        }
    }

    /// Records that the list comes from another source from now on, or that its source announces everything
    /// anew.
    pub fn record_source_change(&mut self, now: Moment) {
        self.source_changed = Some(now);
    }

    /// Returns whether a query has failed since the last answer.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Returns the moment as of which the list is known to be complete.
    pub fn as_of(&self) -> Moment {
        self.as_of
    }

    /// Returns whether discovery is treated as down: all queries have failed for the longest poll interval
    /// plus `ANNOUNCED_WITHIN`.
    fn discovery_is_down(&self, now: Moment) -> bool {
        let since = self.started.max(self.as_of).max(self.source_changed.unwrap_or(self.started));
        let interval = if self.settings.max_poll_interval == Span::ZERO {
            DEFAULT_MAX_POLL_INTERVAL
        } else {
            self.settings.max_poll_interval
        };
        self.failures >= MIN_FAILURES_FOR_DOWN && now >= since + interval + ANNOUNCED_WITHIN
    }

    /// Returns until when new calls may be sent according to the list, as far as is known now; `None` means
    /// without limit.
    pub fn valid_until(&self, now: Moment) -> Option<Moment> {
        if self.discovery_is_down(now) {
            return None;
        }
        let LeaseSettings { subscription, max_poll_interval, drain_grace } = self.settings;
        let within = if max_poll_interval == Span::ZERO {
            ANNOUNCED_WITHIN
        } else {
            max_poll_interval.min(ANNOUNCED_WITHIN)
        };
        let not_while_unreachable = |from: Moment| from.max(self.last_unreachable.unwrap_or(from));
        let announced = match subscription {
            Subscription::Polls if self.failures == 0 => {
                let interval = if max_poll_interval == Span::ZERO {
                    DEFAULT_MAX_POLL_INTERVAL
                } else {
                    max_poll_interval
                };
                self.as_of + interval
            }
            Subscription::Polls | Subscription::Watches => not_while_unreachable(self.as_of) + within,
            // A change that the agent has counts as announced from the start of the process, even before a
            // watch is open.
            Subscription::Pushed if !self.answered => not_while_unreachable(self.started),
            Subscription::Pushed => not_while_unreachable(self.first_refused.unwrap_or(self.as_of + within)),
        };
        let announced = match self.source_changed {
            Some(changed) => {
                announced.min(not_while_unreachable(changed) + ANNOUNCED_WITHIN_AFTER_SOURCE_CHANGE)
            }
            None => announced,
        };
        Some(announced + drain_grace.saturating_sub(GRACE_RESERVE))
    }
}
