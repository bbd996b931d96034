//! Traffic: all texts of a run, planned before it begins, so that every policy meets the same ones.
//!
//! Texts come in an open loop: when one is handed in hangs on the plan, never on how the sender fares.

use crate::scenario::{Change, Scenario};
use indigomast::time::{Moment, Span};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Poisson};
use rand_pcg::Pcg64Mcg;

#[derive(Clone, Debug, PartialEq)]
pub struct Planned {
    pub at: Moment,
    pub sender: usize,
    pub product: usize,
    pub dest: usize,
    pub key: Option<u64>,
    /// Its client goes before the first answer.
    pub goes_early: bool,
}

/// The plan is drawn in steps of this length; within one the rates are even.
const STEP_MS: f64 = 50.0;

fn strength(change: &Change, at_s: f64) -> Option<f64> {
    let since = at_s - change.at_s;
    if since < 0.0 || since >= change.for_s {
        return None;
    }
    let grown = if change.ramp_s > 0.0 { (since / change.ramp_s).min(1.0) } else { 1.0 };
    Some(1.0 + (change.factor - 1.0) * grown)
}

fn choose(rng: &mut Pcg64Mcg, weights: &[f64]) -> usize {
    let total: f64 = weights.iter().sum();
    let mut left = rng.random::<f64>() * total;
    for (at, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return at;
        }
    }
    weights.len() - 1
}

pub fn plan(scenario: &Scenario, seed: u64) -> Vec<Planned> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x7261_6666_6963);
    let traffic = &scenario.traffic;
    let runs = scenario.destinations.iter().map(|run| run.get_ref());
    let base: Vec<f64> = runs.flat_map(|run| vec![run.weight; run.count]).collect();
    let base_sum: f64 = base.iter().sum();
    let equal = vec![1.0; scenario.fleet.senders];
    let senders = if traffic.senders.is_empty() { &equal } else { &traffic.senders };
    let products: Vec<f64> = scenario.products.iter().map(|product| product.get_ref().share).collect();
    let mut texts = Vec::new();
    let steps = (scenario.seconds * 1000.0 / STEP_MS).ceil() as usize;
    // A clump stands for as many texts as it has.
    let clumps_a_text = traffic.clump_share / traffic.clump_size as f64;
    let singles = 1.0 - traffic.clump_share;
    for step in 0..steps {
        let from_ms = step as f64 * STEP_MS;
        let (mut dests, mut senders, mut rate) = (base.clone(), senders.clone(), traffic.per_second);
        for change in traffic.changes.iter().map(|change| change.get_ref()) {
            let Some(factor) = strength(change, from_ms / 1000.0) else { continue };
            if change.destinations.is_empty() && change.senders.is_empty() {
                rate *= factor;
            }
            change.destinations.iter().for_each(|at| dests[*at] *= factor);
            change.senders.iter().for_each(|at| senders[*at] *= factor);
        }
        rate *= dests.iter().sum::<f64>() / base_sum;
        let expected = rate * STEP_MS / 1000.0;
        let draw =
            |rng: &mut Pcg64Mcg, mean: f64| Poisson::new(mean).map_or(0, |shape| shape.sample(rng) as usize);
        let alone = draw(&mut rng, expected * singles);
        let clumps = draw(&mut rng, expected * clumps_a_text);
        for n in 0..alone + clumps {
            let (count, over_ms) =
                if n < alone { (1, 0.0) } else { (traffic.clump_size, traffic.clump_s * 1000.0) };
            let start = from_ms + rng.random::<f64>() * STEP_MS;
            let dest = choose(&mut rng, &dests);
            for _ in 0..count {
                let product = choose(&mut rng, &products);
                let ordered = scenario.products[product].get_ref().in_order;
                let hot = rng.random::<f64>() < traffic.hot_key;
                let key = if hot { 0 } else { rng.random_range(0..traffic.keys) };
                texts.push(Planned {
                    at: Moment::from_millis(start) + Span::from_millis(rng.random::<f64>() * over_ms),
                    sender: choose(&mut rng, &senders),
                    product,
                    dest,
                    key: ordered.then_some((dest * traffic.keys + key) as u64),
                    goes_early: rng.random::<f64>() < scenario.clients.go_early,
                });
            }
        }
    }
    let end = Moment::from_millis(scenario.seconds * 1000.0);
    texts.retain(|text| text.at < end);
    texts.sort_by_key(|text| text.at);
    // A key belongs to one till, which sits beside one sender.
    for text in &mut texts {
        if let Some(key) = text.key {
            text.sender = key as usize % scenario.fleet.senders;
        }
    }
    texts
}
