//! Overload detection by delay: a text is accepted only if the sender can still process it in time.
//!
//! Limits in connections and bytes don't cover a sender that is short of processor time: it would accept texts that
//! expire while it is stalled. The detector gets how late the sender's own ticks were and how long messages queued.

use indigomast::time::{Moment, Span};
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
pub struct OverloadSettings {
    /// A delay under this is normal and not recorded.
    pub min_stall: Span,
    /// How long after a stall another one is expected.
    pub stall_memory: Span,
    /// What a text's remaining time has to exceed the longest recent stall by.
    pub margin: Span,
    /// A request that queued for so long is refused, since its client is about to time out.
    pub max_queue_wait: Span,
    /// Bounds of the retry-after time that a refused client gets.
    pub retry_after_range: (Span, Span),
}

impl Default for OverloadSettings {
    fn default() -> OverloadSettings {
        OverloadSettings {
            min_stall: Span::millis(150),
            stall_memory: Span::millis(10_000),
            margin: Span::millis(200),
            max_queue_wait: Span::millis(250),
            retry_after_range: (Span::millis(250), Span::millis(2_000)),
        }
    }
}

/// Recent stalls of the sender, and whether a new text can be accepted in view of them.
#[derive(Clone, Debug)]
pub struct OverloadDetector {
    settings: OverloadSettings,
    /// Stalls, longest first; a later stall of the same length or longer replaces earlier ones.
    spells: VecDeque<(Moment, Span)>,
}

impl OverloadDetector {
    pub fn new(settings: OverloadSettings) -> OverloadDetector {
        OverloadDetector { settings, spells: VecDeque::new() }
    }

    /// Records that a tick was late by `by`; returns whether that counts as a stall.
    pub fn record_delay(&mut self, now: Moment, by: Span) -> bool {
        self.forget(now);
        if by < self.settings.min_stall {
            return false;
        }
        while self.spells.back().is_some_and(|(_, spell)| *spell <= by) {
            self.spells.pop_back();
        }
        self.spells.push_back((now, by));
        true
    }

    /// How long at the most a request that is read just now may have lain unread: nobody waits for an answer longer
    /// than `patience`, so what is older has lost its client.
    pub fn max_unread_time(&self, now: Moment, patience: Span) -> Span {
        match self.spells.back() {
            Some((at, spell)) if now.since(*at) <= self.settings.min_stall => (*spell).min(patience),
            _ => Span::ZERO,
        }
    }

    fn forget(&mut self, now: Moment) {
        while self.spells.front().is_some_and(|(at, _)| now.since(*at) > self.settings.stall_memory) {
            self.spells.pop_front();
        }
    }

    /// The longest stall within `stall_memory`.
    pub fn longest_stall(&self, now: Moment) -> Span {
        let lately = self.spells.iter().filter(|(at, _)| now.since(*at) <= self.settings.stall_memory);
        lately.map(|(_, spell)| *spell).max().unwrap_or(Span::ZERO)
    }

    /// Whether a text may be taken on that has so much time left and waited so long for this answer; if not, after
    /// how long its client should come back.
    pub fn admit(&mut self, now: Moment, left: Span, waited: Span) -> Result<(), Span> {
        self.forget(now);
        let longest = self.longest_stall(now);
        let back = |span: Span| {
            let (least, most) = self.settings.retry_after_range;
            span.max(least).min(most)
        };
        if waited >= self.settings.max_queue_wait {
            // The client has timed out, or will before a response reaches it.
            return Err(back(waited));
        }
        // Another stall of that length would let the text expire.
        if longest > Span::ZERO && left < longest + self.settings.margin {
            return Err(back(longest));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
