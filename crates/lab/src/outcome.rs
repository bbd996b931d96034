//! What a run came to: figures, breaches, accounts and series, as they are kept in JSON.

use crate::judge::{Breach, Rule};
use crate::processes::faults::Fault;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Of one run of one policy on one stage.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    pub scenario: String,
    pub stage: String,
    pub policy: String,
    pub seed: u64,
    /// The part of the revenue asked for that was delivered, in time in full and late in part.
    pub service: f64,
    /// The same over the worst ten seconds, by when texts were asked for.
    pub worst_10s: f64,
    pub asked: u64,
    pub taken: u64,
    pub turned_away: u64,
    /// Hand-ins that got no answer.
    pub broken: u64,
    pub ends: BTreeMap<String, u64>,
    /// Calls at gateways, in all and for each text delivered.
    pub calls: u64,
    pub calls_a_delivery: f64,
    pub breaches: Vec<Breach>,
    pub breach_counts: BTreeMap<String, u64>,
    pub falls: Vec<FallSeen>,
    /// What was put out of order between and under processes.
    #[serde(default)]
    pub faults: Vec<Fault>,
    pub gateways: Vec<GatewaySeen>,
    /// How a change in stages came out, if one was made.
    #[serde(default)]
    pub change: Option<ChangeSeen>,
    /// From the planned moment of a text to its delivery, in ms: a client held up counts in full.
    pub latency_ms: Percentiles,
    pub series: Series,
    /// Real time only: how late the rig itself was.
    pub lateness: Option<Lateness>,
    /// Real time only: what those saw that were no clients.
    pub strangers: Option<StrangersSeen>,
    /// Steps of the decisions and events told to them (simulated time only).
    pub steps: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FallSeen {
    pub destination: usize,
    pub at_ms: f64,
    pub load: f64,
    pub bearable: f64,
    pub from_warned: f64,
}

/// A change over the senders: what its controller said when, how it ended, and what each sender runs by then.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChangeSeen {
    /// `final`, `reverted`, or why it is neither.
    pub came_out: String,
    pub as_wanted: bool,
    /// From its beginning to its end.
    pub took_s: f64,
    pub said: Vec<String>,
    /// Settings' revisions by which senders run at the end, and how many run by each.
    pub runs: BTreeMap<String, usize>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewaySeen {
    pub destination: usize,
    pub calls: u64,
    pub ran: u64,
    pub refused: u64,
    pub errors: u64,
    pub unanswered: u64,
    pub links: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub most: f64,
}

impl Percentiles {
    /// Of values in microseconds, as milliseconds.
    pub fn of(histogram: &Histogram<u64>) -> Percentiles {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        let most = histogram.max() as f64 / 1000.0;
        Percentiles { p50: at(0.5), p90: at(0.9), p99: at(0.99), p999: at(0.999), most }
    }
}

/// The rig's own lateness: a run in which it was late says nothing of the sender.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub most_ms: f64,
    pub counts: bool,
}

/// Strangers' connections: opened, not connected, answered (a question each), ended by the sender, and the longest
/// that one of them said nothing and was neither answered nor ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StrangersSeen {
    pub opened: u64,
    pub unconnected: u64,
    pub answered: u64,
    pub ended: u64,
    pub longest_silent_ms: f64,
    #[serde(default)]
    pub burst: BurstSeen,
}

/// Connections that came to a sender at one moment: how many, how many were connected, answered, and ended without an
/// answer, and how long the slowest answer took from the moment on. One that is neither was still waiting at the end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct BurstSeen {
    pub opened: u64,
    pub connected: u64,
    pub answered: u64,
    pub ended: u64,
    pub slowest_ms: f64,
}

/// One value for each second of the run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Series {
    pub asked: Vec<f64>,
    pub delivered: Vec<f64>,
    /// For each destination, calls out, calls waiting in its queues, and its true capacity in calls a second.
    pub in_flight: BTreeMap<usize, Vec<f64>>,
    pub queued: BTreeMap<usize, Vec<f64>>,
    pub capacity: BTreeMap<usize, Vec<f64>>,
    /// The sum of the senders' windows, where it can be seen.
    pub window: BTreeMap<usize, Vec<f64>>,
}

impl Outcome {
    pub fn breach_count(&self) -> u64 {
        self.breach_counts.values().sum()
    }

    pub fn broke(&self, rule: Rule) -> bool {
        self.breach_counts.contains_key(&rule_name(rule))
    }

    /// Whether the rig was good enough for the run to say something.
    pub fn is_valid(&self) -> bool {
        self.lateness.is_none_or(|lateness| lateness.counts)
    }
}

pub fn rule_name(rule: Rule) -> String {
    serde_json::to_value(rule).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}

/// A file of runs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Runs {
    pub runs: Vec<Outcome>,
}
