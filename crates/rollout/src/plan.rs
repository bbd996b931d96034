//! The plan of a change as its operators write it: TOML, checked whole before anything is done.

use indigomast::time::Span;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use toml::Spanned;

/// What is wrong, in which line and field.
pub type Complaint = String;

/// What follows a halt that the machine itself decides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AfterHalt {
    /// Everybody goes back to the old side.
    #[default]
    Back,
    /// Everybody stays as it is.
    Stay,
}

/// What follows where it doesn't become known in time whether new does worse.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unclear {
    #[default]
    Halt,
    GoOn,
}

/// What a sender does by itself whose agent hears nothing while the new side is not yet final.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unheard {
    #[default]
    Back,
    Stay,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    name: String,
    to: To,
    senders: Vec<Spanned<SenderLine>>,
    stages: Vec<Spanned<StageLine>>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    compare: Compare,
}

/// What the new side is: another program, another file of settings, or both.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct To {
    pub program: Option<PathBuf>,
    pub settings: Option<PathBuf>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SenderLine {
    name: String,
    agent: SocketAddr,
    #[serde(default)]
    zone: String,
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct StageLine {
    /// Exactly one of these four.
    senders: Option<Vec<String>>,
    zone: Option<String>,
    count: Option<usize>,
    share: Option<f64>,
    #[serde(default)]
    least_s: f64,
    #[serde(default)]
    least_texts: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// How many may be away at once.
    pub away: usize,
    pub after_halt: AfterHalt,
    pub unclear: Unclear,
    /// After so long a stage's outcome counts as unclear.
    pub unclear_s: f64,
    pub unheard: Unheard,
    pub unheard_s: f64,
    /// How long a side that was taken may need until it serves.
    pub start_s: f64,
    /// How often a side that ends by itself may be started again within ten minutes.
    pub restarts: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            away: 1,
            after_halt: AfterHalt::Back,
            unclear: Unclear::Halt,
            unclear_s: 1800.0,
            unheard: Unheard::Back,
            unheard_s: 60.0,
            start_s: 15.0,
            restarts: 5,
        }
    }
}

/// How much worse is worse, each as a difference between new and old that matters; what is 0 is not compared.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Compare {
    /// The chance that a change with new equal to old is halted by figures, over all its stages; and that one is let pass
    /// which is worse by what matters.
    pub false_alarms: f64,
    pub missed: f64,
    /// Parts of a product's texts.
    pub undeliverable: f64,
    pub nacked: f64,
    /// Part of a product's deliveries that are slower than nineteen in twenty were before, beyond that one in twenty.
    pub slow: f64,
    /// Part of calls.
    pub turned_away: f64,
    /// As parts more than the old side's: submits a text, processor time a text.
    pub submits: f64,
    pub processor: f64,
    /// Memory that a process of the new side grows by in a minute beyond one of the old side, as a part of what it has.
    pub memory: f64,
    /// Both sides of a zone have to have so many texts for one look at them.
    pub look_texts: u64,
}

impl Default for Compare {
    fn default() -> Compare {
        Compare {
            false_alarms: 0.05,
            missed: 0.05,
            undeliverable: 0.01,
            nacked: 0.03,
            slow: 0.05,
            turned_away: 0.05,
            submits: 0.1,
            processor: 0.15,
            memory: 0.02,
            look_texts: 100,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Sender {
    pub name: String,
    pub agent: SocketAddr,
    pub zone: String,
    pub stage: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stage {
    pub senders: usize,
    pub least: Span,
    pub least_texts: u64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub name: String,
    /// Tells this plan from every other, and from itself once it is changed.
    pub digest: String,
    pub to: To,
    pub senders: Vec<Sender>,
    pub stages: Vec<Stage>,
    pub limits: Limits,
    pub compare: Compare,
}

impl Plan {
    /// # Errors
    ///
    /// Everything that stands in the way, a line each with place and field.
    pub fn parse(text: &str) -> Result<Plan, Vec<Complaint>> {
        let file: File = toml::from_str(text).map_err(|e| vec![e.to_string().trim_end().to_owned()])?;
        // Counted once: from the start for each of 16,000 senders that took ten seconds.
        let ends: Vec<usize> = text.match_indices('\n').map(|(at, _)| at).collect();
        let line = |start: usize| ends.partition_point(|end| *end < start) + 1;
        let mut wrong = Vec::new();
        if file.to == To::default() {
            wrong.push("to: neither program nor settings is named".to_owned());
        }
        check_numbers(&file, &mut wrong);
        let mut names = BTreeMap::new();
        let mut agents = BTreeSet::new();
        for (at, sender) in file.senders.iter().enumerate() {
            let place = format!("line {}: senders[{at}]", line(sender.span().start));
            let sender = sender.get_ref();
            if sender.name.is_empty() || names.insert(sender.name.as_str(), at).is_some() {
                wrong.push(format!("{place}.name: {:?} is empty or there twice", sender.name));
            }
            if !agents.insert(sender.agent) {
                wrong.push(format!("{place}.agent: {} is there twice", sender.agent));
            }
        }
        if file.senders.is_empty() {
            wrong.push("senders: there are none".into());
        }
        let mut stage_of: Vec<Option<usize>> = vec![None; file.senders.len()];
        let mut stages = Vec::new();
        for (number, stage) in file.stages.iter().enumerate() {
            let place = format!("line {}: stages[{number}]", line(stage.span().start));
            let stage = stage.get_ref();
            match pick(stage, &file.senders, &names, &stage_of) {
                Ok(picked) => {
                    let new: Vec<usize> = picked.into_iter().filter(|at| stage_of[*at].is_none()).collect();
                    if new.is_empty() {
                        wrong.push(format!("{place}: nobody is left for it"));
                    }
                    let senders = new.len();
                    new.into_iter().for_each(|at| stage_of[at] = Some(number));
                    let least = Span::from_millis(stage.least_s * 1000.0);
                    stages.push(Stage { senders, least, least_texts: stage.least_texts });
                }
                Err(e) => wrong.push(format!("{place}.{e}")),
            }
            if !(stage.least_s.is_finite() && stage.least_s >= 0.0) {
                wrong.push(format!("{place}.least_s: {} is no time", stage.least_s));
            }
        }
        if let Some(at) = stage_of.iter().position(Option::is_none).filter(|_| wrong.is_empty()) {
            let name = &file.senders[at].get_ref().name;
            wrong.push(format!(
                "stages: sender {name} is in none of them; a last stage with share = 1 has the rest"
            ));
        }
        if !wrong.is_empty() {
            return Err(wrong);
        }
        let senders = file.senders.into_iter().zip(stage_of).map(|(sender, stage)| {
            let SenderLine { name, agent, zone } = sender.into_inner();
            Sender { name, agent, zone, stage: stage.unwrap_or(0) }
        });
        Ok(Plan {
            digest: digest(text.as_bytes()),
            name: file.name,
            to: file.to,
            senders: senders.collect(),
            stages,
            limits: file.limits,
            compare: file.compare,
        })
    }

    /// Which stage each sender is in, for the steering.
    pub fn members(&self) -> Vec<usize> {
        self.senders.iter().map(|sender| sender.stage).collect()
    }
}

/// Tells files apart.
pub fn digest(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes)[..8])
}

pub fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn check_numbers(file: &File, wrong: &mut Vec<Complaint>) {
    let File { limits, compare, .. } = file;
    if limits.away == 0 {
        wrong.push("limits.away: with 0 nobody could change".into());
    }
    for (field, seconds) in [
        ("limits.unclear_s", limits.unclear_s),
        ("limits.unheard_s", limits.unheard_s),
        ("limits.start_s", limits.start_s),
    ] {
        if !(seconds.is_finite() && seconds > 0.0) {
            wrong.push(format!("{field}: {seconds} is no time"));
        }
    }
    for (field, part) in [("false_alarms", compare.false_alarms), ("missed", compare.missed)] {
        if !(part > 0.0 && part < 0.5) {
            wrong.push(format!("compare.{field}: {part} is not between 0 and 0.5"));
        }
    }
    for (field, part, most) in [
        ("undeliverable", compare.undeliverable, 1.0),
        ("nacked", compare.nacked, 1.0),
        ("slow", compare.slow, 0.95),
        ("turned_away", compare.turned_away, 1.0),
        ("submits", compare.submits, 10.0),
        ("processor", compare.processor, 10.0),
        ("memory", compare.memory, 1.0),
    ] {
        if !(0.0..=most).contains(&part) {
            wrong.push(format!("compare.{field}: {part} is not from 0 to {most}"));
        }
    }
    if compare.look_texts == 0 {
        wrong.push("compare.look_texts: 0 is nothing to look at".into());
    }
}

/// The senders that a stage names, also those that an earlier one had.
fn pick(
    stage: &StageLine,
    senders: &[Spanned<SenderLine>],
    names: &BTreeMap<&str, usize>,
    taken: &[Option<usize>],
) -> Result<Vec<usize>, Complaint> {
    let StageLine { senders: listed, zone, count, share, .. } = stage;
    let said = [listed.is_some(), zone.is_some(), count.is_some(), share.is_some()];
    if said.iter().filter(|said| **said).count() != 1 {
        return Err("senders: exactly one of senders, zone, count and share is wanted".into());
    }
    if let Some(listed) = listed {
        let find = |name: &String| {
            names.get(name.as_str()).copied().ok_or(format!("senders: {name:?} is not there"))
        };
        return listed.iter().map(find).collect();
    }
    if let Some(zone) = zone {
        let of = |at: &usize| senders[*at].get_ref().zone == *zone;
        let picked: Vec<usize> = (0..senders.len()).filter(of).collect();
        return if picked.is_empty() { Err(format!("zone: nobody is in {zone:?}")) } else { Ok(picked) };
    }
    let all = senders.len();
    let wanted = match (count, share) {
        (Some(count), _) if (1..=all).contains(count) => *count,
        (Some(count), _) => return Err(format!("count: {count} of {all} senders")),
        (_, Some(share)) if *share > 0.0 && *share <= 1.0 => (share * all as f64).ceil() as usize,
        (_, share) => return Err(format!("share: {} is not more than 0 and up to 1", share.unwrap_or(0.0))),
    };
    // So many have the new side after this stage; those of it are spread over zones, so that each has both sides: the next is
    // the first of those that are left in the zone of which the least part is picked.
    let mut zones: BTreeMap<&str, (usize, usize, VecDeque<usize>)> = BTreeMap::new();
    for (at, sender) in senders.iter().enumerate() {
        let (size, has, left) = zones.entry(sender.get_ref().zone.as_str()).or_default();
        *size += 1;
        match taken[at] {
            Some(_) => *has += 1,
            None => left.push_back(at),
        }
    }
    let mut picked: Vec<usize> = (0..all).filter(|at| taken[*at].is_some()).collect();
    // Parts aren't below zero, so their bits are in the order of their values.
    let part = |(size, has, _): &(usize, usize, VecDeque<usize>)| (*has as f64 / *size as f64).to_bits();
    let next = |zone: &(usize, usize, VecDeque<usize>)| zone.2.front().map(|first| (part(zone), *first));
    let mut order: BTreeSet<((u64, usize), &str)> =
        zones.iter().filter_map(|(name, zone)| Some((next(zone)?, *name))).collect();
    while picked.len() < wanted
        && let Some((_, name)) = order.pop_first()
    {
        let Some(zone) = zones.get_mut(name) else { break };
        picked.extend(zone.2.pop_front());
        zone.1 += 1;
        order.extend(next(zone).map(|key| (key, name)));
    }
    Ok(picked)
}
