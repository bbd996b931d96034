//! Overload by time: a text is taken on only if the sender can still answer for it.
//!
//! Rooms counted in places and bytes say nothing of a sender short of processor time: it takes texts on whose time runs
//! out while it stands still. It is told here how late its own beats came and how old the words in its mailbox were.

use indigomast::time::{Moment, Span};
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug)]
pub struct OverloadSettings {
    /// Lateness under this is ordinary.
    pub min_stall: Span,
    /// For so long after a spell of standing still another one is to be expected.
    pub stall_memory: Span,
    /// Of a text's time, what has to be left beyond the longest spell lately.
    pub margin: Span,
    /// A word that waited so long for the decider finds its client near the end of its patience.
    pub max_queue_wait: Span,
    /// Bounds of the time after which a client is told to come back.
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

/// The sender's own lateness, and what follows from it for new texts.
#[derive(Clone, Debug)]
pub struct OverloadDetector {
    settings: OverloadSettings,
    /// Spells of standing still, longest first; a later and longer one makes an earlier one forgotten.
    spells: VecDeque<(Moment, Span)>,
}

impl OverloadDetector {
    pub fn new(settings: OverloadSettings) -> OverloadDetector {
        OverloadDetector { settings, spells: VecDeque::new() }
    }

    /// A beat came so much later than it should have; whether that was a spell of standing still.
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

    /// The longest spell that is remembered.
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
            // Its client leaves before an answer reaches it, or has left.
            return Err(back(waited));
        }
        // A spell like the last one would see its time run out in silence.
        if longest > Span::ZERO && left < longest + self.settings.margin {
            return Err(back(longest));
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
