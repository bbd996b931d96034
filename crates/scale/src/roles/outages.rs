//! What a sender's knowledge of outages costs: destinations that are down, each with a text that waits for it.

use crate::hollow::{Hollow, info, list_text, outcome, parse_list, site, submits, unbounded};
use crate::meter::Meter;
use crate::target;
use crate::{About, Reading, Role};
use indigomast::api::*;
use indigomast::time::Span;
use std::collections::BTreeMap;

const DAY: Span = Span::millis(86_400_000);
/// Until all are known to be down, and for so long they are looked at then: longer than the pause between two trials of
/// one of so many senders.
const SETTLED: Span = Span::millis(10_000);
const LOOKED_AT: Span = Span::millis(300_000);
const STEP: Span = Span::millis(5);

pub struct Outages;

impl Role for Outages {
    fn about(&self) -> About {
        About {
            name: "outages",
            unit: "destinations down",
            range: (10.0, target::DESTINATIONS * target::DOWN),
            goal: target::DESTINATIONS * target::DOWN,
            assumes: &[
                "each refuses connections within a millisecond and has one text at this sender at any time",
                "as many calls may be out as there are destinations: slots hold nothing back; looked at for 300 s, a little \
             longer than the pause between two trials of one sender among 16,000",
            ],
        }
    }

    fn needs(&self, size: f64) -> f64 {
        size * 10_000.0
    }

    fn measure(&self, size: f64, seed: u64, meter: &Meter) -> Result<Vec<Reading>, String> {
        let size = size as usize;
        let site = site(target::SENDERS as usize, 0);
        let limits = unbounded(&site)?;
        let settings = Settings { slots: 2 * size + 64, ..info(target::SENDERS as usize, 0).decode() };
        let mut hollow = Hollow::new(settings, seed);
        hollow.listed(parse_list(&list_text(0, size, 1, true), &site, &limits)?);
        let before = meter.mark();
        let mut down = Down { of: BTreeMap::new(), numbers: BTreeMap::new(), given_up: 0, trials: 0 };
        let texts = (0..size).map(|dest| down.text(&mut hollow, dest)).collect();
        let mut actions = hollow.step(texts);
        let until = hollow.now + SETTLED;
        while hollow.now < until {
            actions = down.passes(&mut hollow, &actions);
        }
        let avoided = (0..size).filter(|at| hollow.rules.avoids(EndpointId(*at))).count();
        (down.given_up, down.trials) = (0, 0);
        let (until, start) = (hollow.now + LOOKED_AT, meter.mark());
        while hollow.now < until {
            actions = down.passes(&mut hollow, &actions);
        }
        let micros = meter.micros_since(start) / LOOKED_AT.as_secs();
        drop(actions);
        let Down { given_up, trials, .. } = down;
        let bytes = meter.bytes_since(before);
        let a_second = |count: usize| count as f64 / LOOKED_AT.as_secs();
        Ok(vec![
            Reading::count("known to be down", avoided as f64),
            Reading::count("trials a second", a_second(trials)),
            Reading::count("texts given up a second", a_second(given_up)),
            Reading::heap("bytes with their texts", bytes),
            Reading::micros("a second", micros),
        ])
    }
}

struct Down {
    of: BTreeMap<TextId, usize>,
    numbers: BTreeMap<TextId, usize>,
    given_up: usize,
    trials: usize,
}

impl Down {
    fn text(&mut self, hollow: &mut Hollow, dest: usize) -> Event {
        let handed = hollow.text(dest, DAY);
        self.of.insert(handed.text, dest);
        Event::Accepted(handed)
    }

    /// Calls fail, and for a text that is given up there comes the next.
    fn passes(&mut self, hollow: &mut Hollow, actions: &[Action]) -> Vec<Action> {
        let out = submits(actions, &mut self.numbers);
        self.trials += out.len();
        let mut events: Vec<Event> =
            out.into_iter().map(|out| outcome(out, Verdict::ConnectFailed, Span::millis(1))).collect();
        for action in actions {
            if let Action::Nack { text, .. } | Action::Undeliverable { text } = action {
                self.given_up += 1;
                self.numbers.remove(text);
                events.push(Event::EndReported(*text));
                if let Some(dest) = self.of.remove(text) {
                    events.push(self.text(hollow, dest));
                }
            }
        }
        if events.is_empty() {
            return hollow.beat();
        }
        hollow.passes(STEP);
        hollow.step(events)
    }
}
