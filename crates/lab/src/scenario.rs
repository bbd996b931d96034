//! Scenarios: what is rehearsed, read from TOML and checked whole before anything is played.

use crate::processes::faults::{Draw, Fault, Sizes, draw};
use indigomast::time::Span;
use indigomast_gateway as gateway;
use serde::Deserialize;
use std::fs;
use std::path::Path;
use toml::Spanned;

/// What was wrong, in which file, line and field.
pub type Complaint = String;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    pub about: String,
    #[serde(default = "one")]
    pub seed: u64,
    /// How long texts are handed in, in seconds.
    pub seconds: f64,
    pub fleet: Fleet,
    #[serde(default)]
    pub rules: Figures,
    pub products: Vec<Spanned<Product>>,
    pub kinds: Vec<Spanned<Kind>>,
    pub destinations: Vec<Spanned<Destinations>>,
    pub traffic: Traffic,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub list: List,
    #[serde(default)]
    pub troubles: Vec<Spanned<Trouble>>,
    #[serde(default)]
    pub burden: Burden,
    /// Between and under processes; only that stage carries them out.
    #[serde(default)]
    pub faults: Vec<Spanned<Fault>>,
    /// How many more are drawn by the run's seed.
    #[serde(default)]
    pub nemesis: Option<Draw>,
    /// Senders run under keepers, and this is changed over them; only the stage of several processes does it.
    #[serde(default)]
    pub change: Option<Rollout>,
}

fn one() -> u64 {
    1
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    pub senders: usize,
    /// Calls that a sender may have out, and texts that it holds.
    pub slots: usize,
    pub held: usize,
    #[serde(default = "six")]
    pub submits: usize,
    /// One way through the network in simulated time, in milliseconds.
    #[serde(default = "half")]
    pub network_ms: f64,
    /// What a real sender is granted.
    #[serde(default = "memory")]
    pub memory_mb: u64,
    #[serde(default = "descriptors")]
    pub descriptors: usize,
    #[serde(default = "disk")]
    pub disk_mb: f64,
    /// What a real sender is told of its clients, as its configuration has it.
    #[serde(default)]
    pub clients: Option<toml::Table>,
}

fn six() -> usize {
    6
}

fn half() -> f64 {
    0.5
}

fn memory() -> u64 {
    192
}

fn descriptors() -> usize {
    1024
}

fn disk() -> f64 {
    3.0
}

/// The figures of the rules.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Figures {
    pub cold_share: f64,
    pub cold_s: f64,
    pub tip_multiple: f64,
    pub tip_s: f64,
    pub drain_grace_s: f64,
    pub settle_ms: f64,
    pub longest_advice_ms: f64,
    pub connect_ms: f64,
    /// What it would cost if a call were turned away for each text, as a part of all revenue.
    pub refused_price: f64,
}

impl Default for Figures {
    fn default() -> Figures {
        Figures {
            cold_share: 0.2,
            cold_s: 10.0,
            tip_multiple: 2.0,
            tip_s: 2.0,
            drain_grace_s: 1.0,
            settle_ms: 100.0,
            longest_advice_ms: 4000.0,
            connect_ms: 1500.0,
            refused_price: 0.0,
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    Resendable,
    Referenced,
    OnceOnly,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Product {
    pub name: String,
    pub repeat: Repeat,
    /// How long a receiver remembers a reference, in milliseconds.
    #[serde(default)]
    pub memory_ms: f64,
    #[serde(default)]
    pub in_order: bool,
    pub sla_ms: f64,
    pub validity_ms: f64,
    #[serde(default = "unit")]
    pub revenue: f64,
    /// Never worth less than this part of the revenue while valid; otherwise half with each further SLA time.
    #[serde(default)]
    pub least: f64,
    /// Its part of all texts, as a weight.
    #[serde(default = "unit")]
    pub share: f64,
}

fn unit() -> f64 {
    1.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    pub name: String,
    #[serde(default = "single")]
    pub texts_per_call: usize,
    #[serde(default)]
    pub routes_apart: bool,
    pub parallel: usize,
    pub queue: usize,
    pub median_ms: f64,
    #[serde(default)]
    pub sigma: f64,
    #[serde(default)]
    pub slow_share: f64,
    #[serde(default = "unit")]
    pub slow_factor: f64,
    /// Calls a second from all senders together.
    pub rate: Option<f64>,
    /// Calls in each span from all senders together.
    pub count: Option<u32>,
    pub each_ms: Option<f64>,
    #[serde(default)]
    pub refused_use_up: bool,
    #[serde(default)]
    pub tells_wait: f64,
    #[serde(default)]
    pub connections: usize,
    #[serde(default = "ten_seconds")]
    pub keeps_ms: f64,
    #[serde(default)]
    pub connect_cost_ms: f64,
    #[serde(default)]
    pub reports: bool,
}

fn single() -> usize {
    1
}

fn ten_seconds() -> f64 {
    10_000.0
}

impl Kind {
    pub fn limit(&self) -> gateway::Limit {
        match (self.rate, self.count, self.each_ms) {
            (Some(rate), ..) => gateway::Limit::Rate(rate),
            (None, Some(calls), Some(each)) => gateway::Limit::Count { calls, each: Span::from_millis(each) },
            _ => gateway::Limit::None,
        }
    }

    pub fn model(&self) -> gateway::Kind {
        gateway::Kind {
            parallel: self.parallel,
            queue: self.queue,
            median: Span::from_millis(self.median_ms),
            sigma: self.sigma,
            slow_share: self.slow_share,
            slow_factor: self.slow_factor,
            limit: self.limit(),
            refused_use_up: self.refused_use_up,
            tells_wait: self.tells_wait,
            links: self.connections,
            keeps_link: Span::from_millis(self.keeps_ms),
            link_cost: Span::from_millis(self.connect_cost_ms),
            reports: self.reports,
        }
    }
}

/// A run of destinations that are alike.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Destinations {
    pub kind: String,
    pub count: usize,
    #[serde(default = "single")]
    pub endpoints: usize,
    /// Traffic of each, as a weight.
    #[serde(default = "unit")]
    pub weight: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Traffic {
    pub per_second: f64,
    /// Keys of each destination, for products that keep order.
    #[serde(default = "hundred")]
    pub keys: usize,
    /// The part of a destination's ordered texts that bear one and the same key.
    #[serde(default)]
    pub hot_key: f64,
    /// The part of all texts that come in clumps for one destination, and what a clump is.
    #[serde(default)]
    pub clump_share: f64,
    #[serde(default = "ten")]
    pub clump_size: usize,
    #[serde(default = "unit")]
    pub clump_s: f64,
    /// What each sender is handed, as weights; equal where it says nothing.
    #[serde(default)]
    pub senders: Vec<f64>,
    #[serde(default)]
    pub changes: Vec<Spanned<Change>>,
    #[serde(default = "small")]
    pub bytes: usize,
}

fn hundred() -> usize {
    100
}

fn ten() -> usize {
    10
}

fn small() -> usize {
    200
}

/// For a while some destinations draw more (on top of the rest), or some senders are handed more (of the same
/// traffic), or, where none are named, everything grows.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    pub at_s: f64,
    pub for_s: f64,
    pub factor: f64,
    /// It grows to its full size over so long.
    #[serde(default)]
    pub ramp_s: f64,
    #[serde(default)]
    pub destinations: Vec<usize>,
    #[serde(default)]
    pub senders: Vec<usize>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often a nacked text is handed in again, and after how long where nothing was said.
    pub again: usize,
    pub again_ms: f64,
    /// How long a client waits for the answer to a text.
    pub patience_ms: f64,
    /// The part of clients that go before their answer (and hand the text in again).
    pub go_early: f64,
}

impl Default for Clients {
    fn default() -> Clients {
        Clients { again: 2, again_ms: 500.0, patience_ms: 400.0, go_early: 0.0 }
    }
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Listed {
    #[default]
    Silent,
    Exact,
    Rough,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct List {
    /// How late a change reaches the senders.
    pub late_ms: f64,
    /// Whether it tells the rate that a destination takes.
    pub rate: Listed,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    Slow,
    Pauses,
    Hang,
    Vanish,
    Down,
    Shut,
    Errors,
    LostAnswers,
    SpoiltAnswers,
    /// Told to drain at the beginning, gone at the end.
    Drain,
    /// As drain, with a new endpoint beside it from the beginning.
    Replace,
    /// Changes of the list stay unknown until the end.
    ListLate,
    /// The senders end by SIGTERM, one after the other, each back after `for_s`.
    Restart,
    /// The same by SIGKILL.
    Kill,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub what: What,
    pub at_s: f64,
    pub for_s: f64,
    /// Destinations struck, with all their endpoints unless one is named by its place among them.
    #[serde(default)]
    pub destinations: Vec<usize>,
    pub endpoint: Option<usize>,
    /// A replacement comes at the address of the one that has gone, at the end, under an id of its own.
    #[serde(default)]
    pub old_address: bool,
    /// Senders struck by restarts; all where none are named.
    #[serde(default)]
    pub senders: Vec<usize>,
    /// The pause between one sender's restart and the next one's.
    #[serde(default)]
    pub apart_s: f64,
    pub factor: Option<f64>,
    pub share: Option<f64>,
    pub every_ms: Option<f64>,
    pub still_ms: Option<f64>,
}

/// What weighs on the senders themselves; only the stage on sockets carries it out.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Burden {
    /// Of a core, what each sender's process may use: over it, it is stopped until it is within again.
    pub core_share: Option<f64>,
    /// Spells in which each sender is stopped.
    pub stops: Vec<Spanned<Stop>>,
    pub strangers: Option<Strangers>,
    /// Connections that come to each sender at one moment, ask whether it is up and wait for the answer.
    pub bursts: Vec<Spanned<Burst>>,
}

impl Burden {
    pub fn is_none(&self) -> bool {
        self.core_share.is_none()
            && self.stops.is_empty()
            && self.strangers.is_none()
            && self.bursts.is_empty()
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stop {
    pub at_s: f64,
    pub for_s: f64,
}

/// Connections to each sender of those who are no clients; who is ended comes again at once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Strangers {
    pub at_s: f64,
    pub for_s: f64,
    /// Those that say nothing, and those that ask once and stay.
    #[serde(default)]
    pub silent: usize,
    #[serde(default)]
    pub curious: usize,
    /// New connections with a request that can't be read.
    #[serde(default)]
    pub bad_a_second: f64,
    /// From so many addresses.
    #[serde(default = "one_address")]
    pub addresses: usize,
    /// From the address that the clients have, as behind one office's front; `addresses` says nothing then.
    #[serde(default)]
    pub beside_clients: bool,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    pub at_s: f64,
    pub connections: usize,
}

fn one_address() -> usize {
    1
}

/// A change in stages, as `indigomast rollout` makes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rollout {
    pub at_s: f64,
    /// How long after the last text it may still take to come to its end.
    pub within_s: f64,
    /// The new side has these settings, by their paths in the settings object; its program is the same unless the run names
    /// another.
    #[serde(default)]
    pub settings: std::collections::BTreeMap<String, toml::Value>,
    /// What its plan says beside who the senders are.
    pub plan: toml::Table,
    /// How it has to come out.
    pub ends: Ends,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ends {
    Final,
    Reverted,
}

impl Scenario {
    pub fn load(path: &Path) -> Result<Scenario, Complaint> {
        let shown = path.display();
        let text = fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
        Scenario::parse(&text).map_err(|e| format!("{shown}: {e}"))
    }

    pub fn parse(text: &str) -> Result<Scenario, Complaint> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| e.to_string())?;
        let line = |start: usize| text[..start.min(text.len())].matches('\n').count() + 1;
        scenario.check(&line)?;
        Ok(scenario)
    }

    pub fn destinations(&self) -> usize {
        self.destinations.iter().map(|run| run.get_ref().count).sum()
    }

    pub fn sizes(&self) -> Sizes {
        Sizes { senders: self.fleet.senders, destinations: self.destinations() }
    }

    /// The faults of a run of this seed: those that are listed, and those drawn.
    pub fn plan_of_faults(&self, seed: u64) -> Vec<Fault> {
        let mut plan: Vec<Fault> = self.faults.iter().map(|fault| fault.get_ref().clone()).collect();
        plan.extend(self.nemesis.iter().flat_map(|nemesis| draw(nemesis, &self.sizes(), seed)));
        plan
    }

    fn check(&self, line: &dyn Fn(usize) -> usize) -> Result<(), Complaint> {
        let more = |field: &str, value: f64, least: f64| {
            let fine = value.is_finite() && value > least;
            if fine { Ok(()) } else { Err(format!("{field}: {value} has to be more than {least}")) }
        };
        let part = |field: &str, value: f64| {
            let fine = (0.0..=1.0).contains(&value);
            if fine { Ok(()) } else { Err(format!("{field}: {value} has to be from 0 to 1")) }
        };
        more("seconds", self.seconds, 0.0)?;
        for (field, value) in [
            ("fleet.senders", self.fleet.senders),
            ("fleet.slots", self.fleet.slots),
            ("fleet.held", self.fleet.held),
            ("fleet.submits", self.fleet.submits),
            ("traffic.keys", self.traffic.keys),
            ("traffic.clump_size", self.traffic.clump_size),
        ] {
            more(field, value as f64, 0.0)?;
        }
        more("traffic.per_second", self.traffic.per_second, 0.0)?;
        part("traffic.hot_key", self.traffic.hot_key)?;
        part("traffic.clump_share", self.traffic.clump_share)?;
        part("clients.go_early", self.clients.go_early)?;
        if self.clients.again > 6 {
            return Err(format!("clients.again: {} is more than 6", self.clients.again));
        }
        part("rules.cold_share", self.rules.cold_share)?;
        more("rules.tip_multiple", self.rules.tip_multiple, 1.0)?;
        more("rules.tip_s", self.rules.tip_s, 0.0)?;
        if !self.traffic.senders.is_empty() && self.traffic.senders.len() != self.fleet.senders {
            let (found, wanted) = (self.traffic.senders.len(), self.fleet.senders);
            return Err(format!("traffic.senders: {found} weights for {wanted} senders"));
        }
        for (field, none) in [
            ("products", self.products.is_empty()),
            ("kinds", self.kinds.is_empty()),
            ("destinations", self.destinations() == 0),
        ] {
            if none {
                return Err(format!("{field}: there are none"));
            }
        }
        let place = |list: &str, at: usize, start: usize| format!("line {}: {list}[{at}]", line(start));
        for (at, product) in self.products.iter().enumerate() {
            let (place, product) = (place("products", at, product.span().start), product.get_ref());
            more(&format!("{place}.sla_ms"), product.sla_ms, 0.0)?;
            more(&format!("{place}.validity_ms"), product.validity_ms, 100.0)?;
            part(&format!("{place}.least"), product.least)?;
            if product.repeat == Repeat::Referenced {
                more(&format!("{place}.memory_ms"), product.memory_ms, 0.0)?;
            }
            let name = &product.name;
            if name.is_empty() || !name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') {
                return Err(format!("{place}.name: {name:?} can't stand in a path"));
            }
        }
        for (at, kind) in self.kinds.iter().enumerate() {
            let (place, kind) = (place("kinds", at, kind.span().start), kind.get_ref());
            more(&format!("{place}.parallel"), kind.parallel as f64, 0.0)?;
            more(&format!("{place}.texts_per_call"), kind.texts_per_call as f64, 0.0)?;
            more(&format!("{place}.median_ms"), kind.median_ms, 0.0)?;
            part(&format!("{place}.tells_wait"), kind.tells_wait)?;
            part(&format!("{place}.slow_share"), kind.slow_share)?;
            if kind.rate.is_some() && kind.count.is_some() {
                return Err(format!("{place}.rate: there is a count as well"));
            }
            if kind.count.is_some() != kind.each_ms.is_some() {
                return Err(format!("{place}.count: goes together with each_ms"));
            }
        }
        for (at, run) in self.destinations.iter().enumerate() {
            let (place, run) = (place("destinations", at, run.span().start), run.get_ref());
            if !self.kinds.iter().any(|kind| kind.get_ref().name == run.kind) {
                return Err(format!("{place}.kind: {:?} is no kind", run.kind));
            }
            more(&format!("{place}.endpoints"), run.endpoints as f64, 0.0)?;
        }
        if let Some(share) = self.burden.core_share {
            more("burden.core_share", share, 0.0)?;
        }
        for (at, stop) in self.burden.stops.iter().enumerate() {
            let (place, stop) = (place("burden.stops", at, stop.span().start), stop.get_ref());
            more(&format!("{place}.for_s"), stop.for_s, 0.0)?;
        }
        for (at, burst) in self.burden.bursts.iter().enumerate() {
            let (place, burst) = (place("burden.bursts", at, burst.span().start), burst.get_ref());
            more(&format!("{place}.at_s"), burst.at_s, 0.0)?;
            if !(1..=2_000).contains(&burst.connections) {
                return Err(format!("{place}.connections: {} is not 1 to 2000", burst.connections));
            }
        }
        if let Some(strangers) = &self.burden.strangers {
            more("burden.strangers.for_s", strangers.for_s, 0.0)?;
            let rate = strangers.bad_a_second;
            if !(rate.is_finite() && rate >= 0.0) {
                return Err(format!("burden.strangers.bad_a_second: {rate} has to be 0 or more"));
            }
            if !(1..=10_000).contains(&strangers.addresses) {
                return Err(format!("burden.strangers.addresses: {} is not 1 to 10000", strangers.addresses));
            }
        }
        for (at, fault) in self.faults.iter().enumerate() {
            let (place, fault) = (place("faults", at, fault.span().start), fault.get_ref());
            if !(fault.at_s >= 0.0 && fault.for_s >= 0.0) {
                return Err(format!("{place}.at_s: times are 0 or more"));
            }
            if let Some(unknown) = fault.unknown(&self.sizes()) {
                return Err(format!("{place}.what: {unknown} is not there"));
            }
        }
        if let Some(Draw { from_s, until_s, least_s, most_s, .. }) = self.nemesis {
            if !(0.0 <= least_s && least_s <= most_s && most_s.is_finite()) {
                return Err(format!("nemesis.most_s: {most_s} has to be {least_s} (least_s) or more"));
            }
            if !(0.0 <= from_s && from_s + most_s <= until_s) {
                return Err(format!(
                    "nemesis.until_s: {until_s} leaves no room for {most_s} s from {from_s} s on"
                ));
            }
        }
        let known = self.destinations();
        let within = |field: String, list: &[usize], most: usize| match list.iter().find(|n| **n >= most) {
            Some(wrong) => Err(format!("{field}: {wrong} is not there; the last is {}", most - 1)),
            None => Ok(()),
        };
        for (at, change) in self.traffic.changes.iter().enumerate() {
            let (place, change) = (place("traffic.changes", at, change.span().start), change.get_ref());
            within(format!("{place}.destinations"), &change.destinations, known)?;
            within(format!("{place}.senders"), &change.senders, self.fleet.senders)?;
            more(&format!("{place}.factor"), change.factor, 0.0)?;
        }
        for (at, trouble) in self.troubles.iter().enumerate() {
            let (place, trouble) = (place("troubles", at, trouble.span().start), trouble.get_ref());
            within(format!("{place}.destinations"), &trouble.destinations, known)?;
            within(format!("{place}.senders"), &trouble.senders, self.fleet.senders)?;
            if !(trouble.at_s >= 0.0 && trouble.for_s >= 0.0) {
                return Err(format!("{place}.at_s: times are 0 or more"));
            }
            let needs = |field: &str, value: Option<f64>| {
                value.ok_or_else(|| format!("{place}.{field}: missing for {:?}", trouble.what))
            };
            match trouble.what {
                What::Slow => more(&format!("{place}.factor"), needs("factor", trouble.factor)?, 0.0)?,
                What::Pauses => {
                    let every = needs("every_ms", trouble.every_ms)?;
                    let still = needs("still_ms", trouble.still_ms)?;
                    more(&format!("{place}.every_ms"), every, still)?;
                }
                What::Errors | What::LostAnswers | What::SpoiltAnswers => {
                    part(&format!("{place}.share"), needs("share", trouble.share)?)?;
                }
                _ => {}
            }
            let fleet = matches!(trouble.what, What::Restart | What::Kill | What::ListLate);
            if !fleet && trouble.destinations.is_empty() {
                return Err(format!("{place}.destinations: missing for {:?}", trouble.what));
            }
        }
        Ok(())
    }
}
