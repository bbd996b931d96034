//! Whether a history may be: a function of what was said and seen, written before anything ran.
//!
//! 1. **Never half a part.** Each shard of each part seen is, destination by destination, what one history of the controllers
//!    said of it at some one position, not before the part's own position and not before that of the part seen
//!    before. A shard comes and goes only by its owners.
//! 2. **In time.** A change, a shard gained and a shard lost are in force at each owner within [`Bounds::in_force_ms`] of
//!    when it could be reached: from any moment from which on its process and a control process run, with an open line
//!    between them and from there to the controller that counts.
//! 3. **Nothing goes back**, unless the history of what was in force has parted from the one that counts.
//! 4. **At the end** all parts are the controller's word, and each destination has its owners.
//! 5. **Cut off, the last word stays**, over a restart as well.
//!
//! A history is a line of eras: a controller that is promoted goes on from the position of its copy, and what others said
//! after that position isn't of its history (the log matching of Raft, section 5.3).

use super::history::*;
use indigomast_assignment::catalog::{Position, shard_of};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    pub in_force_ms: f64,
    /// After all faults are over.
    pub settled_ms: f64,
    /// What was under way when a line was cut may come so long after.
    pub under_way_ms: f64,
    /// An agent may hold back for so long what it was told, until all of it is as of one position.
    pub held_ms: f64,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { in_force_ms: 10_000.0, settled_ms: 30_000.0, under_way_ms: 1000.0, held_ms: 2000.0 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Breach {
    /// A shard that no history ever said so, nor its lines one by one: some lack, or are older than was in force.
    HalfAPart,
    /// A shard whose lines are right one by one, but not as of one position.
    MixedShard,
    /// A shard as it was before the part's position.
    StalePart,
    /// A line that nobody ever said.
    Unsaid,
    /// A position, or a shard, older than the one before.
    StepBack,
    /// A position of no history.
    NoSuchPosition,
    /// A shard in force at one who isn't its owner.
    WrongOwner,
    /// A shard no longer in force at its owner.
    LostShard,
    LateChange,
    LateGain,
    LateRelease,
    /// Cut off, something else than the last word came into force.
    ChangedCutOff,
    /// What a list page or a daemon shows isn't what the agent has in force.
    OtherPage,
    OtherDaemon,
    Unsettled,
    LacksOwners,
    Crash,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Accusation {
    pub breach: Breach,
    pub at_ms: f64,
    pub sender: Option<u32>,
    pub evidence: String,
}

impl fmt::Display for Accusation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:.0} ms", self.breach, self.at_ms)?;
        if let Some(sender) = self.sender {
            write!(f, ", sender {sender}")?;
        }
        write!(f, ": {}", self.evidence)
    }
}

/// Of times in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    pub count: usize,
    pub median: f64,
    pub p99: f64,
    pub most: f64,
}

impl Spread {
    pub fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let last = values.len().saturating_sub(1);
        let at = |share: f64| values.get((last as f64 * share).ceil() as usize).copied().unwrap_or(0.0);
        Spread { count: values.len(), median: at(0.5), p99: at(0.99), most: at(1.0) }
    }
}

/// What was judged, so that a run in which nothing happened doesn't pass for a sound one.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    pub accusations: Vec<Accusation>,
    /// Of changes that count, until all their owners had them; of shards gained, and of shards lost.
    pub in_force_ms: Spread,
    pub gained_ms: Spread,
    pub released_ms: Spread,
    /// From the end of all faults until all parts were the controller's word.
    pub settled_ms: Option<f64>,
    pub changes: usize,
    /// Made by controllers whose history doesn't count.
    pub undone: usize,
    /// Handed in and never answered.
    pub unanswered: usize,
    pub parts: usize,
    /// Of those, as of one position over all their shards.
    pub parts_of_one_position: usize,
    pub pages: usize,
    pub daemon_sizes: usize,
    pub daemon_calls: usize,
    pub eras: usize,
    /// Of all senders' time, the part in which they could be reached, and in which they had no line to anybody.
    pub reachable_share: f64,
    pub cut_off_share: f64,
    /// Shards that came or went by the word of a controller that doesn't count, whom nobody had asked at that moment.
    pub unwitnessed: usize,
}

impl Verdict {
    pub fn is_sound(&self) -> bool {
        self.accusations.is_empty()
    }
}

type Lines = BTreeMap<u32, Stamp>;

/// A history, as the controller of its last era has it.
struct Lineage {
    /// Epoch, first revision, and the first that is no longer its own; ascending.
    eras: Vec<(u32, u64, u64)>,
    asked_ms: f64,
    /// Of each shard: from which revision on it stood so.
    states: BTreeMap<u32, Vec<(Position, Lines)>>,
}

impl Lineage {
    fn has(&self, at: Position) -> bool {
        at.revision == 0
            || self
                .eras
                .iter()
                .any(|(epoch, first, end)| *epoch == at.epoch && (*first..*end).contains(&at.revision))
    }

    /// The last revision that both have.
    fn fork(&self, other: &Lineage) -> u64 {
        let both = self.eras.iter().flat_map(|(epoch, first, end)| {
            let same = other.eras.iter().filter(move |(known, from, _)| known == epoch && from == first);
            same.map(move |(_, _, until)| *end.min(until) - 1)
        });
        both.max().unwrap_or(0)
    }

    fn states(&self, shard: u32) -> &[(Position, Lines)] {
        self.states.get(&shard).map_or(&[], Vec::as_slice)
    }

    fn last(&self, shard: u32) -> Lines {
        self.states(shard).last().map(|(_, lines)| lines.clone()).unwrap_or_default()
    }
}

/// When a sender could be reached, and when it had no line to anybody; both as spans, ascending.
#[derive(Default)]
struct Reach {
    reachable: Vec<(f64, f64)>,
    apart: Vec<(f64, f64)>,
}

struct Checker<'a> {
    history: &'a History,
    bounds: Bounds,
    lineages: Vec<Lineage>,
    reach: Vec<Reach>,
    /// Of each sender, in order of time.
    parts: Vec<Vec<&'a PartSeen>>,
    /// Destinations of which a removal was never answered: nobody knows what stands there.
    doubtful: BTreeSet<u32>,
    verdict: Verdict,
}

/// Judges a history.
pub fn check(history: &History, bounds: Bounds) -> Verdict {
    let mut checker = Checker::new(history, bounds);
    checker.check_crashes();
    for sender in 0..history.senders {
        checker.check_parts(sender);
        checker.check_pages(sender);
        checker.check_daemon(sender);
    }
    checker.check_times();
    checker.check_end();
    checker.verdict.accusations.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    checker.verdict
}

/// Whether one of two lists of owners, which both have it, stands behind one whom it stood before.
fn rejoined(sender: u32, was: &[u32], owners: &[u32]) -> bool {
    let place = |list: &[u32], one: u32| list.iter().position(|known| *known == one);
    let (Some(old), Some(new)) = (place(was, sender), place(owners, sender)) else { return false };
    was[old + 1..].iter().any(|other| place(owners, *other).is_some_and(|at| at < new))
}

/// What still differs from the end that is asked for, so that a run needn't go on for longer than it takes.
pub fn differences(history: &History) -> Vec<Accusation> {
    let mut checker = Checker::new(history, Bounds::default());
    checker.check_end();
    checker.verdict.accusations
}

fn by_shard<T: Copy>(lines: &BTreeMap<u32, T>, shards: u32) -> BTreeMap<u32, BTreeMap<u32, T>> {
    let mut all: BTreeMap<u32, BTreeMap<u32, T>> = BTreeMap::new();
    for (destination, line) in lines {
        all.entry(shard_of(*destination, shards)).or_default().insert(*destination, *line);
    }
    all
}

impl<'a> Checker<'a> {
    fn new(history: &'a History, bounds: Bounds) -> Checker<'a> {
        let mut parts = vec![Vec::new(); history.senders as usize];
        for part in &history.parts {
            if let Some(of) = parts.get_mut(part.sender as usize) {
                of.push(part);
            }
        }
        let doubtful = history.changes.iter().filter(|c| c.position.is_none() && c.stamp.is_none());
        let doubtful = doubtful.map(|change| change.destination).collect();
        let mut checker = Checker {
            history,
            bounds,
            lineages: Vec::new(),
            reach: Vec::new(),
            parts,
            doubtful,
            verdict: Verdict { eras: history.eras.len(), ..Verdict::default() },
        };
        checker.lineages = checker.lineages();
        checker.reach = checker.reach();
        let all = history.ended_ms * f64::from(history.senders);
        let share = |of: fn(&Reach) -> &Vec<(f64, f64)>| {
            let spans = checker.reach.iter().flat_map(of);
            spans.map(|(from, until)| until - from).sum::<f64>() / all.max(1.0)
        };
        let (reachable, cut_off) = (share(|reach| &reach.reachable), share(|reach| &reach.apart));
        (checker.verdict.reachable_share, checker.verdict.cut_off_share) = (reachable, cut_off);
        checker
    }

    fn accuse(&mut self, breach: Breach, at_ms: f64, sender: Option<u32>, evidence: String) {
        self.verdict.accusations.push(Accusation { breach, at_ms, sender, evidence });
    }

    /// Revisions as agents were seen to have them: closer than the positions in answers.
    fn revisions(&self) -> BTreeMap<Stamp, u64> {
        let lines = self.history.parts.iter().flat_map(|part| part.lines.values());
        lines.filter(|(_, stamp)| *stamp != UNSAID).map(|(revision, stamp)| (*stamp, *revision)).collect()
    }

    fn lineages(&self) -> Vec<Lineage> {
        let history = self.history;
        let seen = self.revisions();
        let mut changes: Vec<(Position, &Change)> = Vec::new();
        for change in &history.changes {
            let seen = change.stamp.and_then(|stamp| seen.get(&stamp).copied());
            let position = match (change.position, seen) {
                (Some(at), seen) => Some(Position {
                    epoch: at.epoch,
                    revision: seen.map_or(at.revision, |s| s.min(at.revision)),
                }),
                // Nobody answered, but it was made: it was seen.
                (None, Some(revision)) => Some(Position { epoch: change.epoch, revision }),
                (None, None) => None,
            };
            changes.extend(position.map(|position| (position, change)));
        }
        changes.sort_by_key(|(position, _)| position.revision);
        let lineage = |era: &Era| {
            let mut eras = vec![(era.epoch, era.first, u64::MAX)];
            let (mut base, mut first) = (era.base_epoch, era.first);
            while let Some(before) = history.eras.iter().find(|known| known.epoch == base) {
                eras.push((before.epoch, before.first, first));
                (base, first) = (before.base_epoch, before.first.min(first));
            }
            eras.reverse();
            let mut lineage = Lineage { eras, asked_ms: era.asked_ms, states: BTreeMap::new() };
            for (at, change) in &changes {
                if !lineage.has(*at) || self.doubtful.contains(&change.destination) {
                    continue;
                }
                let shard = shard_of(change.destination, history.shards);
                let mut lines = lineage.last(shard);
                match change.stamp {
                    Some(stamp) => _ = lines.insert(change.destination, stamp),
                    None => _ = lines.remove(&change.destination),
                }
                lineage.states.entry(shard).or_default().push((*at, lines));
            }
            lineage
        };
        history.eras.iter().map(lineage).collect()
    }

    /// The history that counts.
    fn counting(&self) -> Option<&Lineage> {
        self.lineages.last()
    }

    fn reach(&self) -> Vec<Reach> {
        let history = self.history;
        let mut states: BTreeMap<Process, (State, f64)> = BTreeMap::new();
        let mut cut: BTreeSet<(Process, Process)> = BTreeSet::new();
        let mut times: Vec<f64> = history.turns.iter().map(|(at, _)| *at).collect();
        times.extend(history.eras.iter().map(|era| era.answered_ms));
        times.sort_by(f64::total_cmp);
        times.dedup();
        let mut all: Vec<Reach> = (0..history.senders).map(|_| Reach::default()).collect();
        let mut turns = history.turns.iter().peekable();
        // What a cut held back goes on when it is over, also from one that has ended since.
        let mut opened: BTreeSet<Process> = BTreeSet::new();
        for (at, now) in times.iter().enumerate() {
            while let Some((when, turn)) = turns.next_if(|(when, _)| when <= now) {
                match turn {
                    Turn::Process(process, state) => {
                        let since = match (states.get(process), state) {
                            // One that goes on has not begun anew.
                            (Some((State::Stopped, since)), State::Runs) => *since,
                            (Some((_, since)), State::Stopped) => *since,
                            _ => *when,
                        };
                        states.insert(*process, (*state, since));
                    }
                    Turn::Line { from, to, open: true } => {
                        cut.remove(&(*from, *to));
                        opened.extend([*from, *to]);
                    }
                    Turn::Line { from, to, open: false } => _ = cut.insert((*from, *to)),
                    Turn::Healed => {}
                }
            }
            let until = times.get(at + 1).copied().unwrap_or(history.ended_ms.max(*now));
            let runs = |process| states.get(&process).is_some_and(|(state, _)| *state == State::Runs);
            let open = |a, b| !cut.contains(&(a, b)) && !cut.contains(&(b, a));
            // A control process that was started again is no controller.
            let era = history.eras.iter().rfind(|era| era.answered_ms <= *now);
            let controller = era.filter(|era| {
                let process = Process::Control(era.control);
                runs(process) && states[&process].1 <= era.answered_ms
            });
            for (sender, reach) in all.iter_mut().enumerate() {
                let agent = Process::Agent(sender as u32);
                let relays: Vec<Process> = (0..history.controls)
                    .map(Process::Control)
                    .filter(|relay| runs(*relay) && open(agent, *relay))
                    .collect();
                let reachable = runs(agent)
                    && controller.is_some_and(|era| {
                        let controller = Process::Control(era.control);
                        relays.iter().any(|relay| *relay == controller || open(*relay, controller))
                    });
                let note = |spans: &mut Vec<(f64, f64)>, anew: bool| match spans.last_mut() {
                    Some((_, end)) if *end == *now && !anew => *end = until,
                    _ => spans.push((*now, until)),
                };
                if reachable {
                    note(&mut reach.reachable, false);
                }
                if relays.is_empty() {
                    note(&mut reach.apart, opened.contains(&agent));
                }
            }
            opened.clear();
        }
        all
    }

    fn check_crashes(&mut self) {
        for (at, process, how) in &self.history.crashes {
            self.accuse(Breach::Crash, *at, None, format!("{process:?} ended by itself: {how}"));
        }
    }

    /// Whether some controller was seen to say that a sender owns a shard, or doesn't, from this position on and by the first
    /// answer after that moment that is as new as the part; of others, those that were given no more than a while after.
    fn was_owner(&self, part: &PartSeen, shard: u32, is: bool, from: Option<Position>) -> bool {
        let by_ms = part.at_ms;
        // Of each history the revision from which on an answer counts: the part's own, or, where that isn't of it, what stood at
        // the fork.
        let least: Vec<u64> = self.lineages.iter().map(|lineage| self.least(lineage, from)).collect();
        let after = |at: Position| {
            let mut known = self.lineages.iter().zip(&least);
            known.any(|(lineage, least)| lineage.has(at) && at.revision >= *least)
        };
        let mut before: BTreeMap<u32, &Vec<u32>> = BTreeMap::new();
        let none = Vec::new();
        for seen in &self.history.owners {
            // A relay that knows less than the part is no witness of the last of it; whoever goes on from there is, also later.
            let as_new = part.position.is_none_or(|at| {
                let mut of_both =
                    self.lineages.iter().filter(|known| known.has(at) && known.has(seen.position));
                of_both.next().is_some() && seen.position.revision >= at.revision
            });
            if !as_new && seen.asked_ms > by_ms + self.bounds.under_way_ms {
                continue;
            }
            let owners = seen.owners.get(&shard).unwrap_or(&none);
            let was = before.insert(seen.position.epoch, owners);
            // Who joins is appended: one that stands behind another whom it stood before had gone in between.
            let rejoined = was.is_some_and(|was| rejoined(part.sender, was, owners));
            let has = owners.contains(&part.sender);
            if (has == is || (!is && rejoined)) && after(seen.position) {
                return true;
            }
            if as_new && seen.asked_ms > by_ms {
                return false;
            }
        }
        false
    }

    fn least(&self, lineage: &Lineage, from: Option<Position>) -> u64 {
        let Some(from) = from else { return 0 };
        if lineage.has(from) {
            return from.revision;
        }
        let others = self.lineages.iter().filter(|other| other.has(from));
        let fork = others.map(|other| lineage.fork(other)).max().unwrap_or(0);
        let said = self.history.owners.iter().map(|seen| seen.position);
        let said = said.filter(|at| lineage.has(*at) && at.revision <= fork);
        said.map(|at| at.revision).max().unwrap_or(0)
    }

    /// Whether a part follows a controller that doesn't count to where nobody has asked it for owners: what it said of them
    /// there is known to nobody.
    fn is_unwitnessed(&self, part: &PartSeen) -> bool {
        let Some(at) = part.position else { return false };
        let Some(counting) = self.counting() else { return false };
        let mut others = self.lineages.iter().filter(|lineage| lineage.has(at));
        let asked = |lineage: &Lineage| {
            let seen = self.history.owners.iter().filter(|seen| seen.position.epoch == at.epoch);
            seen.into_iter().any(|seen| lineage.has(seen.position) && seen.position.revision >= at.revision)
        };
        !counting.has(at) && !others.any(asked)
    }

    fn check_parts(&mut self, sender: u32) {
        let parts = self.parts[sender as usize].clone();
        // Of each shard in force, where the states begin that it may be; and the part before.
        let mut floors: BTreeMap<u32, Vec<Position>> = BTreeMap::new();
        let mut before: Option<&PartSeen> = None;
        for part in parts {
            self.verdict.parts += 1;
            self.check_position(before, part);
            self.check_apart(before, part);
            if let Some((destination, _)) = part.lines.iter().find(|(_, (_, stamp))| *stamp == UNSAID) {
                let evidence = format!("the line of destination {destination} is none that was ever said");
                self.accuse(Breach::Unsaid, part.at_ms, Some(sender), evidence);
            }
            let lines = part.lines.iter().map(|(destination, (_, stamp))| (*destination, *stamp));
            let sure = lines.filter(|(destination, _)| !self.doubtful.contains(destination));
            let shards = by_shard(&sure.collect(), self.history.shards);
            let gone: Vec<u32> = floors.keys().filter(|shard| !shards.contains_key(shard)).copied().collect();
            let mut next = BTreeMap::new();
            for (shard, lines) in &shards {
                let feasible = self.feasible(part, *shard, lines, floors.get(shard));
                if feasible.is_empty() {
                    let (breach, evidence) = self.why(part, *shard, lines, floors.get(shard));
                    self.accuse(breach, part.at_ms, Some(sender), evidence);
                    // Accused once: what comes after is judged by itself.
                    continue;
                }
                if !floors.contains_key(shard) && !self.was_owner(part, *shard, true, None) {
                    if self.is_unwitnessed(part) {
                        self.verdict.unwitnessed += 1;
                        next.insert(*shard, feasible);
                        continue;
                    }
                    let evidence = format!("shard {shard} is in force, nobody ever said that it is its own");
                    self.accuse(Breach::WrongOwner, part.at_ms, Some(sender), evidence);
                }
                next.insert(*shard, feasible);
            }
            for shard in gone {
                let from = before.and_then(|part| part.position);
                let none = Lines::new();
                let empty = !self.feasible(part, shard, &none, floors.get(&shard)).is_empty();
                if !empty && !self.was_owner(part, shard, false, from) {
                    if self.is_unwitnessed(part) {
                        self.verdict.unwitnessed += 1;
                        continue;
                    }
                    let evidence =
                        format!("shard {shard} was in force and no longer is, its owners have not changed");
                    self.accuse(Breach::LostShard, part.at_ms, Some(sender), evidence);
                }
            }
            if self.is_of_one_position(part, &shards) {
                self.verdict.parts_of_one_position += 1;
            }
            (floors, before) = (next, Some(part));
        }
    }

    /// Histories that there were when a part was seen and that its position is of.
    fn lineages_of(&self, part: &PartSeen) -> impl Iterator<Item = &Lineage> {
        let (at, by) = (part.position, part.at_ms);
        self.lineages
            .iter()
            .filter(move |lineage| lineage.asked_ms <= by && at.is_none_or(|at| lineage.has(at)))
    }

    /// Where the states begin that a shard's lines may be.
    fn feasible(
        &self,
        part: &PartSeen,
        shard: u32,
        lines: &Lines,
        floor: Option<&Vec<Position>>,
    ) -> Vec<Position> {
        let least = part.position.map_or(0, |at| at.revision);
        let mut found = Vec::new();
        for lineage in self.lineages_of(part) {
            let states = lineage.states(shard);
            let blank = (Position { epoch: 0, revision: 0 }, Lines::new());
            let all: Vec<&(Position, Lines)> = std::iter::once(&blank).chain(states).collect();
            for (at, (begins, state)) in all.iter().enumerate() {
                let current = all.get(at + 1).is_none_or(|(next, _)| next.revision > least);
                let on = floor.is_none_or(|floor| {
                    floor.iter().any(|floor| !lineage.has(*floor) || begins.revision >= floor.revision)
                });
                if state == lines && current && on {
                    found.push(*begins);
                }
            }
        }
        found.sort();
        found.dedup();
        found
    }

    fn why(
        &self,
        part: &PartSeen,
        shard: u32,
        lines: &Lines,
        floor: Option<&Vec<Position>>,
    ) -> (Breach, String) {
        let anywhere = self.lineages.iter().flat_map(|lineage| lineage.states(shard));
        let was: Vec<Position> = anywhere.filter(|(_, state)| state == lines).map(|(at, _)| *at).collect();
        let (said, held) = (format!("{lines:?}"), part.position);
        match was.first() {
            None => {
                let one_by_one = self.is_right_one_by_one(part, shard, lines, floor);
                let breach = if one_by_one { Breach::MixedShard } else { Breach::HalfAPart };
                (breach, format!("shard {shard} is {said} at {held:?}, which it never was"))
            }
            Some(at) => match floor {
                Some(floor) if !self.feasible(part, shard, lines, None).is_empty() => {
                    (Breach::StepBack, format!("shard {shard} is as of {at:?} again, after {floor:?}"))
                }
                _ => (Breach::StalePart, format!("shard {shard} is as of {at:?} at {held:?}: {said}")),
            },
        }
    }

    /// Whether each destination of a shard, there or not, is as one history said at some position not before the one that was
    /// in force.
    fn is_right_one_by_one(
        &self,
        part: &PartSeen,
        shard: u32,
        lines: &Lines,
        floor: Option<&Vec<Position>>,
    ) -> bool {
        self.lineages_of(part).any(|lineage| {
            let states = lineage.states(shard);
            let floors = floor.into_iter().flatten().filter(|floor| lineage.has(**floor));
            let least = floors.map(|floor| floor.revision).min().unwrap_or(0);
            let from = states.iter().rposition(|(begins, _)| begins.revision <= least).unwrap_or(0);
            let known: BTreeSet<u32> = states.iter().flat_map(|(_, state)| state.keys().copied()).collect();
            let all = known.iter().chain(lines.keys());
            let mut right = all.map(|one| {
                states[from.min(states.len())..].iter().any(|(_, state)| state.get(one) == lines.get(one))
            });
            right.all(|right| right)
        })
    }

    /// Whether all shards in force are as of one position, which is more than is asked for.
    fn is_of_one_position(&self, part: &PartSeen, shards: &BTreeMap<u32, Lines>) -> bool {
        let least = part.position.map_or(0, |at| at.revision);
        self.lineages_of(part).any(|lineage| {
            // Each shard's state holds over a span; the spans have to meet.
            let (mut from, mut until) = (least, u64::MAX);
            for (shard, lines) in shards {
                let states = lineage.states(*shard);
                let span = states.iter().enumerate().rev().find_map(|(at, (begins, state))| {
                    let end = states.get(at + 1).map_or(u64::MAX, |(next, _)| next.revision);
                    (state == lines && end > least).then_some((begins.revision, end))
                });
                let Some((begins, end)) = span else { return false };
                (from, until) = (from.max(begins), until.min(end));
            }
            from < until
        })
    }

    fn check_position(&mut self, before: Option<&PartSeen>, part: &PartSeen) {
        let sender = Some(part.sender);
        if let Some(at) = part.position
            && self.lineages_of(part).next().is_none()
        {
            self.accuse(Breach::NoSuchPosition, part.at_ms, sender, format!("{at:?} is of no history"));
        }
        let Some(before) = before else { return };
        // What a heartbeat says isn't saved: over a restart the shards are judged, not the number.
        let (Some(was), true) = (before.position, before.life == part.life) else { return };
        let newest = self.lineages.iter().rfind(|lineage| lineage.asked_ms <= part.at_ms);
        let parted = newest.is_some_and(|lineage| !lineage.has(was));
        let goes_on = part.position.is_some_and(|at| {
            at.revision >= was.revision
                && self.lineages.iter().any(|lineage| lineage.has(was) && lineage.has(at))
        });
        if !goes_on && !parted {
            let evidence = format!("{was:?}, then {:?}", part.position);
            self.accuse(Breach::StepBack, part.at_ms, sender, evidence);
        }
    }

    /// With no line to any control process nothing may change, whether it is restarted or not.
    fn check_apart(&mut self, before: Option<&PartSeen>, part: &PartSeen) {
        let Some(before) = before.filter(|before| before.lines != part.lines) else { return };
        let spans = &self.reach[part.sender as usize].apart;
        let heard = self.bounds.under_way_ms + self.bounds.held_ms;
        let (from, until) = (before.until_ms - heard, part.at_ms);
        if spans.iter().any(|(begins, ends)| *begins <= from && until <= *ends) {
            let evidence = format!("{} destinations, then {}", before.lines.len(), part.lines.len());
            self.accuse(Breach::ChangedCutOff, part.at_ms, Some(part.sender), evidence);
        }
    }

    /// Parts that an agent may have had in force at some moment of a span.
    fn in_force(&self, sender: u32, from_ms: f64, until_ms: f64) -> impl Iterator<Item = &'a PartSeen> {
        let parts = &self.parts[sender as usize];
        let end = move |at: usize| parts.get(at + 1).map_or(f64::INFINITY, |next| next.at_ms);
        let begin = move |at: usize| if at == 0 { 0.0 } else { parts[at - 1].until_ms };
        let within = move |at: &usize| end(*at) >= from_ms && begin(*at) <= until_ms;
        (0..parts.len()).filter(within).map(|at| parts[at])
    }

    fn check_pages(&mut self, sender: u32) {
        let history = self.history;
        let mut last: Option<&PageSeen> = None;
        for page in history.pages.iter().filter(|page| page.sender == sender) {
            self.verdict.pages += 1;
            let same = |part: &PartSeen| {
                let stamps = part.lines.iter().map(|(destination, (_, stamp))| (destination, stamp));
                stamps.eq(page.lines.iter())
            };
            if !self.in_force(sender, page.asked_ms, page.at_ms).any(same) && !self.is_between(sender, page) {
                let evidence =
                    format!("{} lines at {}, none of the parts in force", page.lines.len(), page.revision);
                self.accuse(Breach::OtherPage, page.at_ms, Some(sender), evidence);
            }
            if let Some(last) = last {
                if page.revision < last.revision {
                    let evidence =
                        format!("the list's revision is {}, after {}", page.revision, last.revision);
                    self.accuse(Breach::StepBack, page.at_ms, Some(sender), evidence);
                }
                if page.revision == last.revision && page.lines != last.lines {
                    let evidence = format!("two lists of revision {}", page.revision);
                    self.accuse(Breach::OtherPage, page.at_ms, Some(sender), evidence);
                }
            }
            last = Some(page);
        }
    }

    /// A part may come and go between two looks: then each shard of the page is judged as one of a part would be.
    fn is_between(&self, sender: u32, page: &PageSeen) -> bool {
        let around: Vec<&PartSeen> = self.in_force(sender, page.asked_ms, page.at_ms).collect();
        let (Some(first), Some(last)) = (around.first(), around.last()) else { return false };
        if around.len() < 2 {
            return false;
        }
        let shards = by_shard(&page.lines, self.history.shards);
        let held = |part: &PartSeen| -> BTreeSet<u32> {
            part.lines.keys().map(|destination| shard_of(*destination, self.history.shards)).collect()
        };
        let (had, has) = (held(first), held(last));
        // What both have is there, if it was theirs all the time.
        let mut both = had.intersection(&has);
        let from = first.position;
        let there = both.all(|shard| {
            shards.contains_key(shard)
                || self.was_owner(last, *shard, false, from)
                || !self.feasible(first, *shard, &Lines::new(), None).is_empty()
        });
        let of_page = PartSeen { at_ms: page.at_ms, ..(*first).clone() };
        there
            && shards.iter().all(|(shard, lines)| {
                let own =
                    had.contains(shard) || has.contains(shard) || self.was_owner(last, *shard, true, None);
                own && (!self.feasible(&of_page, *shard, lines, None).is_empty()
                    || !self.feasible(last, *shard, lines, None).is_empty())
            })
    }

    fn check_daemon(&mut self, sender: u32) {
        let history = self.history;
        let late = self.bounds.in_force_ms;
        let mut begun = false;
        for seen in history.sizes.iter().filter(|seen| seen.sender == sender) {
            self.verdict.daemon_sizes += 1;
            let known: Vec<&PartSeen> = self.in_force(sender, seen.at_ms - late, seen.at_ms).collect();
            // Between two looks shards come and go one by one.
            let between = |pair: &[&PartSeen]| {
                let both = pair[0].lines.keys().filter(|one| pair[1].lines.contains_key(one)).count();
                (both..=pair[0].lines.len() + pair[1].lines.len() - both).contains(&seen.size)
            };
            let fits =
                known.iter().any(|part| part.lines.len() == seen.size) || known.windows(2).any(between);
            let known: BTreeSet<usize> = known.iter().map(|part| part.lines.len()).collect();
            let blank = !begun && seen.size == 0;
            begun |= seen.size > 0;
            if !fits && !blank {
                let evidence = format!("{} endpoints are on its list, its agent had {known:?}", seen.size);
                self.accuse(Breach::OtherDaemon, seen.at_ms, Some(sender), evidence);
            }
        }
        for call in history.calls.iter().filter(|call| call.sender == sender) {
            self.verdict.daemon_calls += 1;
            let known = self.in_force(sender, call.at_ms - late, call.at_ms);
            let stamps: Vec<Stamp> =
                known.filter_map(|part| part.lines.get(&call.destination)).map(|(_, stamp)| *stamp).collect();
            // One that was in force between two looks was said between them.
            let (least, most) = (stamps.iter().min().copied(), stamps.iter().max().copied());
            let said = history.changes.iter().filter(|change| change.destination == call.destination);
            let mut said = said.filter_map(|change| change.stamp);
            let within = |stamp: Stamp| Some(stamp) >= least && Some(stamp) <= most && least.is_some();
            if !said.any(|stamp| stamp % SLOTS == call.slot && within(stamp)) {
                let (destination, slot) = (call.destination, call.slot);
                let evidence = format!(
                    "destination {destination} was called at endpoint {slot}, which its agent never told"
                );
                self.accuse(Breach::OtherDaemon, call.at_ms, Some(sender), evidence);
            }
        }
    }

    /// When each sender owned each shard by the history that counts.
    fn ownership(&self) -> BTreeMap<(u32, u32), Vec<(f64, f64)>> {
        let Some(counting) = self.counting() else { return BTreeMap::new() };
        let mut spans: BTreeMap<(u32, u32), Vec<(f64, f64)>> = BTreeMap::new();
        let mut open: BTreeMap<(u32, u32), f64> = BTreeMap::new();
        let mut last = 0;
        for seen in self.history.owners.iter().filter(|seen| counting.has(seen.position)) {
            // A relay may know less than was known already.
            if seen.position.revision < last {
                continue;
            }
            last = seen.position.revision;
            let pairs = seen.owners.iter().flat_map(|(shard, of)| of.iter().map(move |one| (*one, *shard)));
            let now: BTreeSet<(u32, u32)> = pairs.collect();
            let ended: Vec<(u32, u32)> = open.keys().filter(|pair| !now.contains(pair)).copied().collect();
            for pair in ended {
                let from = open.remove(&pair).unwrap_or(0.0);
                spans.entry(pair).or_default().push((from, seen.asked_ms));
            }
            for pair in now {
                open.entry(pair).or_insert(seen.at_ms);
            }
        }
        for (pair, from) in open {
            spans.entry(pair).or_default().push((from, self.history.ended_ms));
        }
        spans
    }

    /// How long after it could be reached a sender had something, and whether it went without for too long.
    fn wait(
        &self,
        sender: u32,
        span: (f64, f64),
        has: impl Fn(&PartSeen) -> bool,
    ) -> (Option<f64>, Option<f64>) {
        let (from, until) = span;
        // One that nobody knows of is found by the check of the end.
        let Some(parts) = self.parts.get(sender as usize) else { return (None, None) };
        let begin = parts.partition_point(|part| part.until_ms < from);
        let had = parts[begin..].iter().find(|part| has(part));
        let had_ms = had.map_or(f64::INFINITY, |part| part.at_ms.max(from));
        let mut took = None;
        for (reached, lost) in &self.reach[sender as usize].reachable {
            let (since, until) = (reached.max(from), lost.min(until));
            if since >= until {
                continue;
            }
            if (since..=until).contains(&had_ms) {
                took = Some(had_ms - since);
            } else if had_ms < since {
                took = took.or(Some(0.0));
            }
            let limit = since + self.bounds.in_force_ms;
            // Either it was seen without, or it ran and was silent.
            let without = |part: &PartSeen| {
                let end = part.until_ms;
                end > limit && part.asked_ms < until && end < had_ms && !has(part)
            };
            let lacking = parts[begin..].iter().any(|part| without(part));
            let silent = had_ms.min(until) > limit + self.bounds.under_way_ms;
            if had_ms.min(until) > limit && (lacking || silent) {
                return (took, Some(limit));
            }
        }
        (took, None)
    }

    fn check_times(&mut self) {
        let Some(counting) = self.counting() else { return };
        let history = self.history;
        let ownership = self.ownership();
        let mut accusations: Vec<(Breach, f64, u32, String)> = Vec::new();
        let (mut changes, mut undone) = (Vec::new(), 0);
        for change in &history.changes {
            let Some(at) = change.position else { continue };
            if self.doubtful.contains(&change.destination) {
                continue;
            }
            if counting.has(at) { changes.push((at, change)) } else { undone += 1 }
        }
        changes.sort_by_key(|(at, _)| at.revision);
        let mut took = Vec::new();
        for (nth, (_, change)) in changes.iter().enumerate() {
            let shard = shard_of(change.destination, history.shards);
            let of = |(_, later): &&(Position, &Change)| later.destination == change.destination;
            let since: Vec<&(Position, &Change)> = changes[nth..].iter().filter(of).collect();
            let has = |part: &PartSeen| match part.lines.get(&change.destination) {
                Some((_, stamp)) => since.iter().any(|(_, later)| later.stamp == Some(*stamp)),
                None => {
                    let removed = since.iter().filter(|(_, later)| later.stamp.is_none());
                    let told = |at: &Position| {
                        part.position.is_some_and(|p| p.revision >= at.revision && counting.has(p))
                    };
                    change.stamp.is_none() || removed.into_iter().any(|(at, _)| told(at))
                }
            };
            let mut most: Option<f64> = None;
            for ((sender, _), spans) in ownership.iter().filter(|((_, of), _)| *of == shard) {
                for (from, until) in spans.iter().filter(|(_, until)| *until > change.answered_ms) {
                    let span = (from.max(change.answered_ms), *until);
                    let (took, late) = self.wait(*sender, span, has);
                    most = match (most, took) {
                        (Some(a), Some(b)) => Some(a.max(b)),
                        (a, b) => a.or(b),
                    };
                    if let Some(at) = late {
                        let what =
                            change.stamp.map_or("its removal".into(), |stamp| format!("its line {stamp}"));
                        let (of, said) = (change.destination, change.answered_ms);
                        let evidence =
                            format!("destination {of}: {what}, said at {said:.0} ms, is not in force");
                        accusations.push((Breach::LateChange, at, *sender, evidence));
                    }
                }
            }
            took.extend(most);
        }
        let (mut gained, mut released) = (Vec::new(), Vec::new());
        for ((sender, shard), spans) in &ownership {
            let holds =
                |part: &PartSeen| part.lines.keys().any(|one| shard_of(*one, history.shards) == *shard);
            // A shard is told from nothing by its destinations: judged where it had some all the time.
            let states = counting.states(*shard);
            let filled = |from: f64| {
                let made = |at: &Position| {
                    let of = changes.iter().find(|(known, _)| known.revision >= at.revision);
                    of.map_or(f64::INFINITY, |(_, change)| change.answered_ms)
                };
                let first = states.iter().position(|(_, lines)| !lines.is_empty());
                first.is_some_and(|first| {
                    made(&states[first].0) <= from
                        && states[first..].iter().all(|(_, lines)| !lines.is_empty())
                })
            };
            for (nth, (from, until)) in spans.iter().enumerate() {
                if filled(*from) {
                    let (took, late) = self.wait(*sender, (*from, *until), holds);
                    gained.extend(took);
                    if let Some(at) = late {
                        let evidence = format!("shard {shard}, its own since {from:.0} ms, is not in force");
                        accusations.push((Breach::LateGain, at, *sender, evidence));
                    }
                }
                let next = spans.get(nth + 1).map_or(history.ended_ms, |(next, _)| *next);
                if *until < next {
                    let (took, late) = self.wait(*sender, (*until, next), |part| !holds(part));
                    released.extend(took);
                    if let Some(at) = late {
                        let evidence =
                            format!("shard {shard}, not its own since {until:.0} ms, is in force still");
                        accusations.push((Breach::LateRelease, at, *sender, evidence));
                    }
                }
            }
        }
        self.verdict.changes = changes.len();
        self.verdict.undone = undone;
        self.verdict.unanswered = history.changes.iter().filter(|change| change.position.is_none()).count();
        self.verdict.in_force_ms = Spread::of(took);
        self.verdict.gained_ms = Spread::of(gained);
        self.verdict.released_ms = Spread::of(released);
        for (breach, at, sender, evidence) in accusations {
            self.accuse(breach, at, Some(sender), evidence);
        }
    }

    fn check_end(&mut self) {
        let history = self.history;
        let healed = history.turns.iter().rfind(|(_, turn)| *turn == Turn::Healed).map(|(at, _)| *at);
        let Some(counting) = self.counting() else {
            return self.accuse(Breach::Unsettled, history.ended_ms, None, "there was no controller".into());
        };
        let said = history.owners.iter().filter(|seen| counting.has(seen.position));
        let Some(last) = said.max_by_key(|seen| seen.position.revision) else {
            return self.accuse(
                Breach::Unsettled,
                history.ended_ms,
                None,
                "nobody said who owns what".into(),
            );
        };
        let healed = healed.unwrap_or(0.0);
        let mut wrong: Vec<(Breach, Option<u32>, String)> = Vec::new();
        let mut settled = last.at_ms;
        for (shard, states) in &counting.states {
            if states.last().is_none_or(|(_, lines)| lines.is_empty()) {
                continue;
            }
            let owners = last.owners.get(shard).cloned().unwrap_or_default();
            let apart: BTreeSet<u32> = owners.iter().copied().collect();
            let known = apart.iter().all(|owner| history.members.contains(owner));
            if apart.len() != history.owners_wanted || owners.len() != apart.len() || !known {
                let evidence = format!("shard {shard} has the owners {owners:?}");
                wrong.push((Breach::LacksOwners, None, evidence));
            }
        }
        for sender in 0..history.senders {
            let own = |shard: &u32| last.owners.get(shard).is_some_and(|owners| owners.contains(&sender));
            let lines = counting.states.iter().filter(|(shard, _)| own(shard));
            let due: Lines = lines.flat_map(|(shard, _)| counting.last(*shard)).collect();
            let sure = |part: &PartSeen| -> Lines {
                let all = part.lines.iter().map(|(destination, (_, stamp))| (*destination, *stamp));
                all.filter(|(destination, _)| !self.doubtful.contains(destination)).collect()
            };
            let parts = &self.parts[sender as usize];
            match parts.last() {
                Some(part) if sure(part) == due => {
                    let first = parts.iter().rev().take_while(|part| sure(part) == due).last();
                    settled = settled.max(first.map_or(0.0, |part| part.at_ms));
                    if part.until_ms < healed {
                        wrong.push((Breach::Unsettled, Some(sender), "not heard of after the faults".into()));
                    }
                    if !part.position.is_some_and(|at| counting.has(at)) && !due.is_empty() {
                        let evidence =
                            format!("ends at {:?}, which isn't of the history that counts", part.position);
                        wrong.push((Breach::Unsettled, Some(sender), evidence));
                    }
                }
                part => {
                    let has = part.map(|part| sure(part)).unwrap_or_default();
                    let lacks: Vec<_> =
                        due.iter().filter(|(one, stamp)| has.get(one) != Some(stamp)).collect();
                    let extra: Vec<_> = has.keys().filter(|one| !due.contains_key(one)).collect();
                    let evidence = format!("its part lacks {lacks:?} and has {extra:?} beyond");
                    wrong.push((Breach::Unsettled, Some(sender), evidence));
                }
            }
            let daemon = history.sizes.iter().rfind(|seen| seen.sender == sender);
            if let Some(seen) =
                daemon.filter(|seen| seen.size != parts.last().map_or(0, |part| part.lines.len()))
            {
                let evidence = format!("{} endpoints are on its list at the end", seen.size);
                wrong.push((Breach::OtherDaemon, Some(sender), evidence));
            }
        }
        let took = (settled - healed).max(0.0);
        if wrong.is_empty() && took > self.bounds.settled_ms {
            wrong.push((Breach::Unsettled, None, format!("it took {took:.0} ms")));
        }
        self.verdict.settled_ms = wrong.is_empty().then_some(took);
        for (breach, sender, evidence) in wrong {
            self.accuse(breach, history.ended_ms, sender, evidence);
        }
    }
}
