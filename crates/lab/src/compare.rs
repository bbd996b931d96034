//! Comparison over seeds with spread, so that noise isn't read as gain.

use crate::outcome::{Outcome, Runs};
use std::collections::BTreeMap;

/// Mean and the half width of its 95% confidence interval.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    pub mean: f64,
    /// Infinite for a single value, of which nothing is known.
    pub half: f64,
    pub count: usize,
}

/// Student's t for 95%, two-sided, by degrees of freedom from 1 on; beyond the table it is near the normal's.
const T_95: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

impl Spread {
    pub fn of(values: &[f64]) -> Spread {
        let count = values.len();
        if count == 0 {
            return Spread { mean: f64::NAN, half: f64::INFINITY, count };
        }
        let mean = values.iter().sum::<f64>() / count as f64;
        if count == 1 {
            return Spread { mean, half: f64::INFINITY, count };
        }
        let squares: f64 = values.iter().map(|value| (value - mean).powi(2)).sum();
        let deviation = (squares / (count - 1) as f64).sqrt();
        let t = T_95.get(count - 2).copied().unwrap_or(1.96);
        Spread { mean, half: t * deviation / (count as f64).sqrt(), count }
    }

    /// Whether zero lies outside of the interval.
    pub fn is_clear(&self) -> bool {
        self.mean.abs() > self.half
    }
}

/// What differs between two files of runs, of one scenario and stage.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub scenario: String,
    pub stage: String,
    pub policies: (String, String),
    pub before: Spread,
    pub after: Spread,
    /// Of the seeds that both have, the difference run by run: the luck of a seed cancels out.
    pub paired: Spread,
    pub calls: Spread,
    pub breaches: (u64, u64),
}

type Group<'a> = BTreeMap<(String, String, String), BTreeMap<u64, Vec<&'a Outcome>>>;

fn groups(runs: &Runs) -> Group<'_> {
    let mut groups = Group::new();
    for run in runs.runs.iter().filter(|run| run.is_valid()) {
        let key = (run.scenario.clone(), run.stage.clone(), run.policy.clone());
        groups.entry(key).or_default().entry(run.seed).or_default().push(run);
    }
    groups
}

fn mean(runs: &[&Outcome], of: impl Fn(&Outcome) -> f64) -> f64 {
    runs.iter().map(|run| of(run)).sum::<f64>() / runs.len().max(1) as f64
}

/// Pairs what both files have of each scenario and stage. Where both have several policies, like is paired with
/// like; where each has one, those two are.
pub fn compare(before: &Runs, after: &Runs) -> Vec<Difference> {
    let (old, new) = (groups(before), groups(after));
    let mut found = Vec::new();
    for ((scenario, stage, policy), seeds) in &old {
        let same = |key: &&(String, String, String)| key.0 == *scenario && key.1 == *stage;
        let theirs: Vec<_> = new.keys().filter(same).collect();
        let own = old.keys().filter(same).count();
        let exact = theirs.iter().copied().find(|key| key.2 == *policy);
        let Some(key) = exact.or_else(|| theirs.first().copied().filter(|_| theirs.len() == 1 && own == 1))
        else {
            continue;
        };
        let others = &new[key];
        let service = |run: &Outcome| run.service;
        let values = |seeds: &BTreeMap<u64, Vec<&Outcome>>| -> Vec<f64> {
            seeds.values().flatten().map(|run| run.service).collect()
        };
        let pairs: Vec<_> = seeds.iter().filter_map(|(seed, a)| Some((a, others.get(seed)?))).collect();
        let paired: Vec<f64> = pairs.iter().map(|(a, b)| mean(b, service) - mean(a, service)).collect();
        let per = |run: &Outcome| run.calls_a_delivery;
        let calls: Vec<f64> = pairs.iter().map(|(a, b)| mean(b, per) - mean(a, per)).collect();
        let breaches = |seeds: &BTreeMap<u64, Vec<&Outcome>>| {
            seeds.values().flatten().map(|run| run.breach_count()).sum()
        };
        found.push(Difference {
            scenario: scenario.clone(),
            stage: stage.clone(),
            policies: (policy.clone(), key.2.clone()),
            before: Spread::of(&values(seeds)),
            after: Spread::of(&values(others)),
            paired: Spread::of(&paired),
            calls: Spread::of(&calls),
            breaches: (breaches(seeds), breaches(others)),
        });
    }
    found
}

/// Service of each policy in each scenario: mean, half width, and breaches.
pub fn table(runs: &Runs) -> BTreeMap<String, BTreeMap<String, (Spread, u64)>> {
    let mut found: BTreeMap<String, BTreeMap<String, (Spread, u64)>> = BTreeMap::new();
    for ((scenario, _, policy), seeds) in groups(runs) {
        let values: Vec<f64> = seeds.values().flatten().map(|run| run.service).collect();
        let breaches = seeds.values().flatten().map(|run| run.breach_count()).sum();
        found.entry(scenario).or_default().insert(policy, (Spread::of(&values), breaches));
    }
    found
}

#[cfg(test)]
mod tests;
