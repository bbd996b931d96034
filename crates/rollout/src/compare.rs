//! New against old, side by side at the same time.
//!
//! Both sides of a zone are looked at together as soon as both have had so many texts, and give one difference for each
//! figure: an outage that both meet, or a busy hour, is in both. What zones differ in doesn't count, nor how many senders a
//! side has there. Whether the differences say that new is worse is for [`evidence`](crate::evidence).

use crate::agent::Which;
use crate::evidence::{Question, Standing};
use crate::plan::Compare;
use indigomast::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How a process fares, counted from its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Counts {
    /// Tells processes apart.
    pub life: u64,
    pub calls: u64,
    pub turned_away: u64,
    pub submits: u64,
    pub processor_ms: f64,
    pub memory_kb: u64,
    pub products: BTreeMap<String, Ends>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Ends {
    pub delivered: u64,
    pub nacked: u64,
    pub undeliverable: u64,
    /// Deliveries by how long they took; bins in growing order.
    pub took: Vec<u64>,
}

impl Ends {
    fn all(&self) -> u64 {
        self.delivered + self.nacked + self.undeliverable
    }

    fn add(&mut self, more: &Ends, less: &Ends) {
        self.delivered += more.delivered.saturating_sub(less.delivered);
        self.nacked += more.nacked.saturating_sub(less.nacked);
        self.undeliverable += more.undeliverable.saturating_sub(less.undeliverable);
        self.took.resize(self.took.len().max(more.took.len()), 0);
        for (at, count) in more.took.iter().enumerate() {
            self.took[at] += count.saturating_sub(less.took.get(at).copied().unwrap_or(0));
        }
    }
}

/// What is compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Figure {
    Undeliverable,
    Nacked,
    Slow,
    TurnedAway,
    Submits,
    Processor,
    Memory,
}

/// Of which product, or of senders as a whole.
pub type Of = (Figure, Option<String>);

#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Worse(String),
    Fine,
    /// What is still to become known; nothing where there was no traffic at all.
    NotKnown(Vec<Of>),
}

#[derive(Clone, Debug, Default)]
struct Side {
    texts: u64,
    calls: u64,
    turned_away: u64,
    submits: u64,
    processor_ms: f64,
    products: BTreeMap<String, Ends>,
}

#[derive(Clone, Debug, Default)]
struct Zone {
    sides: [Side; 2],
    /// Growth of memory since the last look as a part of it, and of how many processes.
    grown: [(f64, u64); 2],
    looked: Option<Moment>,
    /// Before the new side was there, what the old one had came at another time.
    has_new: bool,
}

struct Seen {
    side: Which,
    counts: Counts,
    since: Moment,
    /// At the last look at memory.
    memory_kb: u64,
}

/// A process that has just begun grows for a while whatever it is.
const SETTLES: Span = Span::millis(60_000);
const MEMORY_LOOK: Span = Span::millis(10_000);
/// A product with a smaller part of all texts may stay unknown.
const LITTLE: f64 = 0.02;

pub struct Comparison {
    settings: Compare,
    seen: BTreeMap<usize, Seen>,
    zones: BTreeMap<String, Zone>,
    questions: BTreeMap<Of, Question>,
    /// How long the old side's deliveries took so far, by product.
    usual: BTreeMap<String, Vec<u64>>,
    texts: BTreeMap<String, u64>,
    /// Of the new side in this stage.
    pub new_texts: u64,
}

fn index(side: Which) -> usize {
    match side {
        Which::Old => 0,
        Which::New => 1,
    }
}

/// Two amounts as a value from -1/2 to 1/2 whose mean is 0 where they are alike.
fn apart(new: f64, old: f64) -> f64 {
    if new + old > 0.0 { new / (new + old) - 0.5 } else { 0.0 }
}

/// What a difference of so many parts comes to there.
fn parts(more: f64) -> f64 {
    apart(1.0 + more, 1.0)
}

impl Comparison {
    pub fn new(settings: Compare) -> Comparison {
        Comparison {
            settings,
            seen: BTreeMap::new(),
            zones: BTreeMap::new(),
            questions: BTreeMap::new(),
            usual: BTreeMap::new(),
            texts: BTreeMap::new(),
            new_texts: 0,
        }
    }

    /// A stage begins: that new does no worse was said of fewer.
    pub fn begin_stage(&mut self) {
        self.questions.values_mut().for_each(Question::renew);
        self.zones.clear();
        self.texts.clear();
        self.new_texts = 0;
    }

    /// How a sender stands by now.
    pub fn hear(&mut self, now: Moment, sender: usize, zone: &str, side: Which, counts: Counts) {
        let place = self.zones.entry(zone.to_owned()).or_default();
        let before = self.seen.get_mut(&sender);
        let (before, since, memory_kb) = match before {
            Some(seen) if seen.side == side && seen.counts.life == counts.life => {
                (std::mem::take(&mut seen.counts), seen.since, seen.memory_kb)
            }
            // All that a new process has counted came since.
            Some(_) => (Counts::default(), now, 0),
            None => (counts.clone(), now, 0),
        };
        if side == Which::New && !std::mem::replace(&mut place.has_new, true) {
            place.sides = Default::default();
        }
        let sum = &mut place.sides[index(side)];
        sum.calls += counts.calls.saturating_sub(before.calls);
        sum.turned_away += counts.turned_away.saturating_sub(before.turned_away);
        sum.submits += counts.submits.saturating_sub(before.submits);
        sum.processor_ms += (counts.processor_ms - before.processor_ms).max(0.0);
        let none = Ends::default();
        for (product, ends) in &counts.products {
            let earlier = before.products.get(product).unwrap_or(&none);
            sum.products.entry(product.clone()).or_default().add(ends, earlier);
            let more = ends.all().saturating_sub(earlier.all());
            sum.texts += more;
            *self.texts.entry(product.clone()).or_default() += more;
            if side == Which::New {
                self.new_texts += more;
            }
        }
        self.seen.insert(sender, Seen { side, counts, since, memory_kb });
    }

    /// Looks at what has come, wherever both sides have enough.
    pub fn look(&mut self, now: Moment) {
        let least = self.settings.look_texts;
        let names: Vec<String> = self.zones.keys().cloned().collect();
        for name in names {
            let zone = self.zones.get_mut(&name).expect("named");
            let [old, new] = &mut zone.sides;
            let both = new.products.keys().filter(|product| old.products.contains_key(*product));
            let ready: Vec<String> = both
                .filter(|p| old.products[*p].all() >= least && new.products[*p].all() >= least)
                .cloned()
                .collect();
            let mut found = Vec::new();
            for product in ready {
                let (old, new) = (old.products.remove(&product), new.products.remove(&product));
                let (Some(old), Some(new)) = (old, new) else { continue };
                found.push((product, old, new));
            }
            let mut values: Vec<(Of, f64)> = Vec::new();
            if old.texts >= least && new.texts >= least {
                let rate = |count: u64, all: u64| count as f64 / all.max(1) as f64;
                let each = |value: f64, side: &Side| value / side.texts as f64;
                values.push((
                    (Figure::TurnedAway, None),
                    rate(new.turned_away, new.calls) - rate(old.turned_away, old.calls),
                ));
                let submits = apart(each(new.submits as f64, new), each(old.submits as f64, old));
                values.push(((Figure::Submits, None), submits));
                let processor = apart(each(new.processor_ms, new), each(old.processor_ms, old));
                values.push(((Figure::Processor, None), processor));
                for side in [old, new] {
                    let products = std::mem::take(&mut side.products);
                    *side = Side { products, ..Side::default() };
                }
            }
            for (product, old, new) in found {
                let part = |ends: &Ends, count: u64| count as f64 / ends.all() as f64;
                let failed = part(&new, new.undeliverable) - part(&old, old.undeliverable);
                values.push(((Figure::Undeliverable, Some(product.clone())), failed));
                let nacked = part(&new, new.nacked) - part(&old, old.nacked);
                values.push(((Figure::Nacked, Some(product.clone())), nacked));
                let usual = self.usual.entry(product.clone()).or_default();
                if let Some(from) = slow_from(usual)
                    && new.delivered > 0
                    && old.delivered > 0
                {
                    let slow = |ends: &Ends| {
                        let count: u64 = ends.took.iter().skip(from).sum();
                        count as f64 / ends.delivered as f64
                    };
                    values.push(((Figure::Slow, Some(product)), slow(&new) - slow(&old)));
                }
                usual.resize(usual.len().max(old.took.len()), 0);
                old.took.iter().enumerate().for_each(|(at, count)| usual[at] += count);
            }
            values.extend(self.look_at_memory(now, &name));
            for (of, value) in values {
                self.ask(of, value);
            }
        }
    }

    fn look_at_memory(&mut self, now: Moment, name: &str) -> Option<(Of, f64)> {
        let zone = self.zones.get_mut(name)?;
        let looked = *zone.looked.get_or_insert(now);
        if now.since(looked) < MEMORY_LOOK {
            return None;
        }
        zone.looked = Some(now);
        zone.grown = Default::default();
        for seen in self.seen.values_mut().filter(|seen| now.since(seen.since) >= SETTLES) {
            let (is, was) =
                (seen.counts.memory_kb, std::mem::replace(&mut seen.memory_kb, seen.counts.memory_kb));
            if was > 0 {
                let (sum, count) = &mut zone.grown[index(seen.side)];
                *sum += is as f64 / was as f64 - 1.0;
                *count += 1;
            }
        }
        let [(old, olds), (new, news)] = zone.grown;
        if olds == 0 || news == 0 {
            return None;
        }
        // A minute's growth has several looks.
        let minute = Span::millis(60_000).as_secs() / now.since(looked).as_secs().max(1.0);
        Some(((Figure::Memory, None), (new / news as f64 - old / olds as f64) * minute))
    }

    fn matters(&self, figure: Figure) -> (f64, f64) {
        let Compare {
            undeliverable, nacked, slow, turned_away, submits, processor, memory, look_texts, ..
        } = self.settings;
        // As wide as a few texts of a look, or as twice what matters.
        let wide = |matters: f64| (2.0 * matters).max(3.0 / look_texts as f64).min(1.0);
        match figure {
            Figure::Undeliverable => (undeliverable, wide(undeliverable)),
            Figure::Nacked => (nacked, wide(nacked)),
            Figure::Slow => (slow, wide(slow)),
            Figure::TurnedAway => (turned_away, wide(turned_away)),
            Figure::Submits => (parts(submits), wide(parts(submits))),
            Figure::Processor => (parts(processor), wide(parts(processor))),
            Figure::Memory => (memory, 8.0 * memory),
        }
    }

    fn ask(&mut self, of: Of, value: f64) {
        let (matters, widest) = self.matters(of.0);
        if matters > 0.0 {
            self.questions.entry(of).or_insert_with(|| Question::new(matters, widest)).add(value);
        }
    }

    /// The chance of a false alarm that one question may have: there are three for each product and four of senders.
    fn part_of(&self, chance: f64) -> f64 {
        chance / (3 * self.texts.len().max(1) + 4) as f64
    }

    pub fn outcome(&self) -> Outcome {
        let false_alarms = self.part_of(self.settings.false_alarms);
        let missed = self.part_of(self.settings.missed);
        for ((figure, product), question) in &self.questions {
            if question.is_worse(false_alarms) {
                let Standing { mean, looks, worse, .. } = question.standing();
                let figure = name_of(*figure);
                let product = product.as_ref().map_or(String::new(), |product| format!(" of {product}"));
                return Outcome::Worse(format!(
                    "{figure}{product}: new is worse by {mean:.4} over {looks} looks (chance of an error {worse:.1e})"
                ));
            }
        }
        let all: u64 = self.texts.values().sum();
        let much = |texts: u64| texts as f64 >= LITTLE * all as f64 && texts > 0;
        let mut unknown = Vec::new();
        for (product, _) in self.texts.iter().filter(|(_, texts)| much(**texts)) {
            for figure in [Figure::Undeliverable, Figure::Nacked, Figure::Slow] {
                let of = (figure, Some(product.clone()));
                let known = self.questions.get(&of).is_some_and(|question| question.is_fine(missed));
                if self.matters(figure).0 > 0.0 && !known {
                    unknown.push(of);
                }
            }
        }
        for figure in [Figure::TurnedAway, Figure::Submits, Figure::Processor] {
            let known = self.questions.get(&(figure, None)).is_some_and(|question| question.is_fine(missed));
            if self.matters(figure).0 > 0.0 && !known {
                unknown.push((figure, None));
            }
        }
        if unknown.is_empty() && all > 0 { Outcome::Fine } else { Outcome::NotKnown(unknown) }
    }

    /// How each question stands, for people.
    pub fn standings(&self) -> Vec<(Of, Standing)> {
        self.questions.iter().map(|(of, question)| (of.clone(), question.standing())).collect()
    }
}

pub fn name_of(figure: Figure) -> &'static str {
    match figure {
        Figure::Undeliverable => "undeliverable",
        Figure::Nacked => "nacked",
        Figure::Slow => "slow",
        Figure::TurnedAway => "turned away",
        Figure::Submits => "submits a text",
        Figure::Processor => "processor time a text",
        Figure::Memory => "memory",
    }
}

/// The bin from which on deliveries are slower than nineteen in twenty were.
fn slow_from(usual: &[u64]) -> Option<usize> {
    let all: u64 = usual.iter().sum();
    if all < 200 {
        return None;
    }
    let mut sum = 0;
    let last = usual.iter().position(|count| {
        sum += count;
        sum * 20 >= all * 19
    })?;
    Some(last + 1)
}
