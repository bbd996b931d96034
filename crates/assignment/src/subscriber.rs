//! A sender's side: its part, as it was last told whole.
//!
//! What is in force changes by whole frames only, and a snapshot is in force whole or not at all. Cut off, the last word
//! stays in force. What it has saved is where it goes on after a restart: then changes are told, no snapshot.

use crate::budget::{self, Bucket, Pace};
use crate::catalog::{Entry, Key, Position, Shard, check_body, shard_of};
use crate::link::{Do, Link};
use crate::wire::{Fault, Frame, Hello, Kind, Reason, Record, Refusals, Taken, Up, VERSION, Who};
use crate::wire::{open_frame, seal_hello, seal_up};
use indigomast::time::Moment;
use indigomast_rollout::wire::{Secret, Way};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Shards touched lately that are remembered, and so many that are told one by one if they must be told anew.
const MOST_RECENT: usize = 64;
const MOST_SUSPECTS: usize = 32;
/// A relay that may send less can hardly answer.
const LEAST_CREDIT: f64 = 512.0;

#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    Tick,
    Connected,
    Lost,
    Line(&'a str),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// To the relay of this number.
    Connect(u32),
    Disconnect,
    Say(String),
    /// What is in force is another from here on: these destinations (None: any may be).
    InForce(Option<Vec<u32>>),
    /// [`Subscriber::saved`] is worth writing; nothing depends on it.
    Save,
}

#[derive(Clone, Debug)]
struct Staging {
    whole: bool,
    base: Position,
    shards: BTreeMap<u32, Shard>,
    common: Option<(u64, Arc<str>)>,
    open: Option<u32>,
    last: Option<u32>,
}

/// What is in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    pub shards: BTreeMap<u32, Shard>,
    pub common: Option<(u64, Arc<str>)>,
    /// Up to where all that concerns it is in.
    pub position: Option<Position>,
    pub seen: Option<Position>,
    /// The newest change that was taken in.
    pub newest: u64,
}

impl Part {
    pub fn find(&self, destination: u32, shards: u32) -> Option<&Entry> {
        self.shards.get(&shard_of(destination, shards))?.find(destination)
    }

    pub fn len(&self) -> usize {
        self.shards.values().map(|shard| shard.entries.len()).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Saved {
    version: u32,
    sender: u32,
    shard_count: u32,
    epoch: u32,
    position: Option<Position>,
    seen: Option<Position>,
    newest: u64,
    records: Vec<Record>,
}

#[derive(Clone)]
pub struct Subscriber {
    id: u32,
    shard_count: u32,
    secret: Secret,
    link: Link,
    number: u64,
    acked: u64,
    epoch: u32,
    part: Part,
    staging: Option<Staging>,
    /// The staging is of an earlier connection: it goes on only if this relay says so, as its first word.
    dormant: bool,
    /// Shards that were touched, by where the relay stood that said so; what came before `recent_from` isn't in it.
    recent: VecDeque<(u64, u32)>,
    recent_from: u64,
    /// Shards that a controller touched which was no longer the one: told anew before anything else of them counts.
    suspects: BTreeSet<u32>,
    /// All that its relay knew is in, so that the part is what the controller said at one position.
    settled: bool,
    up: Bucket,
    down: Bucket,
    pace: Pace,
    changed: bool,
    saved: Moment,
    /// Bytes either way.
    pub received: u64,
    pub sent: u64,
    pub refusals: Refusals,
}

impl Subscriber {
    /// With nothing in force. Relays in the order in which they are tried; the seed is another in each life of the process.
    pub fn new(
        id: u32,
        shard_count: u32,
        relays: Vec<u32>,
        pace: Pace,
        secret: Secret,
        seed: u64,
        now: Moment,
    ) -> Subscriber {
        Subscriber {
            id,
            shard_count,
            secret,
            link: Link::new(relays, budget::SENDER_SILENT, budget::SENDER_RETRY_MOST, seed, now),
            number: 0,
            acked: 0,
            epoch: 0,
            part: Part::default(),
            staging: None,
            dormant: false,
            recent: VecDeque::new(),
            recent_from: 0,
            suspects: BTreeSet::new(),
            settled: false,
            up: Bucket::new(budget::SENDER_UP_RATE, budget::SENDER_UP_BURST, budget::SENDER_UP_BURST, now),
            down: Bucket::new(pace.rate, pace.burst, pace.burst, now),
            pace,
            changed: false,
            saved: now,
            received: 0,
            sent: 0,
            refusals: Refusals::default(),
        }
    }

    /// What an earlier life saved is in force from here on.
    ///
    /// # Errors
    ///
    /// It is cut, changed, of another sender or version: nothing of it is taken, and that is counted.
    pub fn resume(&mut self, saved: &str) -> Result<(), Fault> {
        self.restore(saved).inspect_err(|fault| self.refusals.add(fault.clone()))
    }

    fn restore(&mut self, saved: &str) -> Result<(), Fault> {
        let form = |wrong: String| {
            let kind = if wrong.contains("checksum") { Kind::Forged } else { Kind::Form };
            Fault::new(kind, "saved", wrong)
        };
        let saved: Saved = self.secret.open(Way::FromAgent, &self.saved_name(), saved).map_err(form)?;
        if saved.version != VERSION {
            return Err(Fault::new(
                Kind::Version,
                "saved.version",
                format!("{}, this is {VERSION}", saved.version),
            ));
        }
        if (saved.sender, saved.shard_count) != (self.id, self.shard_count) {
            let wrong = format!("sender {} of {} shards", saved.sender, saved.shard_count);
            return Err(Fault::meaning("saved.sender", wrong));
        }
        let mut part =
            Part { position: saved.position, seen: saved.seen, newest: saved.newest, ..Part::default() };
        let mut open = None;
        for (at, record) in saved.records.iter().enumerate() {
            match record {
                Record::Shard(shard, revision, epoch, owners) if *shard < self.shard_count => {
                    open = Some(*shard);
                    let (revision, epoch, owners) = (*revision, *epoch, *owners);
                    part.shards.insert(*shard, Shard { epoch, revision, owners, entries: Vec::new() });
                }
                Record::Put(destination, ..) if open == Some(self.shard_of(*destination)) => {
                    put(&mut part.shards, self.shard_count, record);
                }
                Record::Common(revision, body) => part.common = Some((*revision, body.clone())),
                _ => return Err(Fault::meaning("record", "can't stand here").within(at)),
            }
        }
        self.recent_from = part.newest;
        self.settled = part.position.is_some();
        self.part = part;
        self.epoch = self.epoch.max(saved.epoch);
        Ok(())
    }

    fn saved_name(&self) -> String {
        format!("assignment saved sender {}", self.id)
    }

    /// All that another life needs to go on from here.
    pub fn saved(&self) -> String {
        let mut records = Vec::new();
        if let Some((revision, body)) = &self.part.common {
            records.push(Record::Common(*revision, body.clone()));
        }
        for (shard, known) in &self.part.shards {
            records.push(Record::Shard(*shard, known.revision, known.epoch, known.owners));
            for entry in known.live() {
                let body = entry.body.clone().expect("live");
                records.push(Record::Put(entry.destination, entry.revision, entry.weight, body));
            }
        }
        let saved = Saved {
            version: VERSION,
            sender: self.id,
            shard_count: self.shard_count,
            epoch: self.epoch,
            // With some of it in doubt another life begins as one that knows no position.
            position: self.part.position.filter(|_| self.suspects.is_empty()),
            seen: self.part.seen.filter(|_| self.suspects.is_empty()),
            newest: self.part.newest,
            records,
        };
        self.secret.seal(Way::FromAgent, &self.saved_name(), &saved)
    }

    /// For rehearsals: another position, the one before is handed back.
    pub(crate) fn positions(
        &mut self,
        position: Option<Position>,
        seen: Option<Position>,
    ) -> (Option<Position>, Option<Position>) {
        let part = &mut self.part;
        (std::mem::replace(&mut part.position, position), std::mem::replace(&mut part.seen, seen))
    }

    pub fn id(&self) -> u32 {
        self.id
    }

    /// What is in force.
    pub fn part(&self) -> &Part {
        &self.part
    }

    /// Whether what is in force is what the controller said at one position, [`Part::position`]: all that the relay knew with
    /// its last frame is in. In between, each destination is as new as that position or newer, or about to be.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Shards that stand as a controller said which was no longer the one, until they are told anew.
    pub fn in_doubt(&self) -> &BTreeSet<u32> {
        &self.suspects
    }

    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    pub fn is_connected(&self) -> bool {
        self.link.is_up()
    }

    fn shard_of(&self, destination: u32) -> u32 {
        shard_of(destination, self.shard_count)
    }

    pub fn next(&self) -> Moment {
        self.link.next()
    }

    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => {}
            Event::Connected => self.hello(now, &mut out),
            Event::Lost => self.link.failed(now),
            Event::Line(line) if self.link.is_up() => {
                self.received += line.len() as u64 + 1;
                self.down.spend(now, (line.len() + 1) as f64);
                if let Err(fault) = self.line(now, line, &mut out) {
                    self.refusals.add(fault);
                    self.link.failed(now);
                    out.push(Action::Disconnect);
                }
            }
            Event::Line(_) => {}
        }
        if let Some(due) = self.link.tick(now) {
            out.push(match due {
                Do::Connect(relay) => Action::Connect(relay),
                Do::Disconnect => Action::Disconnect,
            });
        }
        let age = now.since(self.saved);
        // Also one that hasn't changed: its position must not grow older than the log.
        if self.changed && age >= budget::SAVE || age >= budget::SAVE_UNCHANGED {
            (self.changed, self.saved) = (false, now);
            out.push(Action::Save);
        }
        out
    }

    fn say(&mut self, now: Moment, line: String, out: &mut Vec<Action>) -> bool {
        let fits = self.up.take(now, (line.len() + 1) as f64);
        if fits {
            self.sent += line.len() as u64 + 1;
            out.push(Action::Say(line));
        }
        fits
    }

    fn hello(&mut self, now: Moment, out: &mut Vec<Action>) {
        let challenge = self.link.connected(now);
        (self.number, self.acked) = (0, 0);
        if self.staging.as_ref().is_some_and(|staging| !staging.whole || staging.open.is_none()) {
            self.staging = None;
        }
        self.dormant = self.staging.is_some();
        let taken = self.staging.as_ref().and_then(|staging| {
            let had = staging.shards.keys().copied().collect();
            Some(Taken { base: staging.base, shard: staging.open?, destination: staging.last, had })
        });
        let mut hello = Hello {
            version: VERSION,
            who: Who::Sender(self.id),
            challenge,
            epoch: self.epoch,
            position: self.part.position,
            seen: self.part.seen,
            held: self.part.shards.keys().copied().collect(),
            taken,
            suspects: self.suspects.iter().map(|shard| Key::Shard(*shard)).collect(),
            credit: self.down.level(now).max(0.0) as u32,
        };
        let mut line = seal_hello(&self.secret, &hello);
        if line.len() as f64 >= budget::SENDER_UP_BURST {
            // More shards than there is room to name: told all anew, which costs more and is right as well.
            (hello.position, hello.held, hello.taken) = (None, Vec::new(), None);
            hello.suspects.clear();
            line = seal_hello(&self.secret, &hello);
        }
        // What it may be sent and wasn't pays for what it has to say and may not: several connections that end soon after one
        // another would else leave it without one for as long as a line takes at its rate. The sum of both stays what it was.
        let needed = (line.len() + 1) as f64;
        let lacking = needed - self.up.level(now);
        if lacking > 0.0 && self.down.level(now) - lacking >= LEAST_CREDIT {
            self.down.spend(now, lacking);
            self.up.spend(now, -lacking);
            hello.credit = self.down.level(now) as u32;
            line = seal_hello(&self.secret, &hello);
        }
        let when = self.up.when(now, needed);
        // After a snapshot neither is there; what it may be sent comes back sooner.
        let when = when.min(self.down.when(now, lacking.max(0.0) + LEAST_CREDIT));
        if !self.say(now, line, out) {
            self.link.failed(now);
            self.link.postpone(when);
            out.push(Action::Disconnect);
        }
    }

    fn line(&mut self, now: Moment, line: &str, out: &mut Vec<Action>) -> Result<(), Fault> {
        let who = Who::Sender(self.id);
        let due = (self.number + 1, self.epoch);
        let frame = open_frame(&self.secret, who, self.link.challenge(), due, line)?;
        if let [Record::Refused(Reason::Parted(common))] = frame.records[..] {
            // What was touched since is told anew, and all if that isn't known; what is in force stays until then.
            let known = self.recent_from <= common.revision && self.staging.is_none();
            let touched = self.recent.iter().filter(|(revision, _)| *revision > common.revision);
            let held = |shard: &u32| self.part.shards.contains_key(shard);
            self.suspects.extend(touched.map(|(_, shard)| *shard).filter(held));
            let known = known && self.suspects.len() <= MOST_SUSPECTS;
            if !known {
                self.suspects.clear();
            }
            let before = self.part.position.filter(|_| known);
            self.part.position = before.map(|at| if at.revision < common.revision { at } else { common });
            self.part.seen = known.then_some(common);
            (self.recent_from, self.recent) = (self.recent_from.min(common.revision), VecDeque::new());
            self.staging = None;
            self.settled = false;
            self.epoch = frame.at.epoch;
            self.link.again(now);
            out.push(Action::Disconnect);
            return Ok(());
        }
        if let [Record::Refused(_)] = frame.records[..] {
            // No fault: another relay is asked.
            self.link.failed(now);
            out.push(Action::Disconnect);
            return Ok(());
        }
        self.check(&frame)?;
        self.number += 1;
        self.link.heard(now);
        self.epoch = frame.at.epoch;
        if !frame.records.is_empty() {
            if std::mem::take(&mut self.dormant)
                && !matches!(frame.records[0], Record::Begin { resumed: true, .. })
            {
                self.staging = None;
            }
            // What has been taken in may be as new as that, also if the connection ends here.
            self.part.seen = Some(frame.at);
            let open = self.staging.is_some();
            let revision = |record: &Record| record.revision().filter(|_| !open).unwrap_or(frame.at.revision);
            self.part.newest = frame.records.iter().map(revision).fold(self.part.newest, u64::max);
            self.touch(&frame);
            let changed = self.take(&frame);
            self.changed = true;
            if changed.as_ref().is_none_or(|changed| !changed.is_empty()) {
                out.push(Action::InForce(changed));
            }
        }
        if let Some(through) = frame.through {
            self.part.position = Some(through);
            self.part.seen = Some(self.part.seen.map_or(through, |seen| seen.max(through)));
        }
        self.settled = frame.through == Some(frame.at) && self.staging.is_none() && self.suspects.is_empty();
        // One acknowledgement stands for those before it: what the budget holds back comes with the next.
        let ack = seal_up(&self.secret, who, self.link.challenge(), Up::Ack(self.number));
        if self.say(now, ack, out) {
            self.acked = self.number;
        }
        Ok(())
    }

    /// Notes which shards a frame touches, for the case that it shouldn't have.
    fn touch(&mut self, frame: &Frame) {
        let at = frame.at.revision;
        for record in &frame.records {
            let shard = match record {
                Record::Begin { whole: true, .. } | Record::Common(..) => {
                    self.recent_from = self.recent_from.max(at);
                    continue;
                }
                Record::Put(destination, ..) | Record::Remove(destination, _) => self.shard_of(*destination),
                Record::Owners(shard, ..) | Record::Shard(shard, ..) | Record::Release(shard) => *shard,
                _ => continue,
            };
            if self.staging.as_ref().is_some_and(|staging| staging.whole) {
                self.recent_from = self.recent_from.max(at);
                continue;
            }
            if let Record::Release(_) = record {
                self.suspects.remove(&shard);
            }
            self.recent.retain(|(_, known)| *known != shard);
            self.recent.push_back((at, shard));
            if self.recent.len() > MOST_RECENT
                && let Some((at, _)) = self.recent.pop_front()
            {
                self.recent_from = self.recent_from.max(at);
            }
        }
    }

    /// Nothing of a frame is taken in unless all of it can be.
    fn check(&self, frame: &Frame) -> Result<(), Fault> {
        // The shard that lines belong to, while a snapshot is open.
        let resumes = matches!(frame.records.first(), Some(Record::Begin { resumed: true, .. }));
        let staging = self.staging.as_ref().filter(|_| !self.dormant || resumes);
        let mut open = staging.map(|staging| staging.open);
        let mut whole = staging.is_some_and(|staging| staging.whole);
        let mut staged: BTreeSet<u32> = BTreeSet::new();
        if !frame.records.is_empty() {
            staged.extend(staging.iter().flat_map(|staging| staging.shards.keys()));
        }
        let mut swapped = false;
        let (mut added, mut released) = (BTreeSet::new(), BTreeSet::new());
        for (at, record) in frame.records.iter().enumerate() {
            let fault = |place: &str, wrong: String| Err(Fault::meaning(place, wrong).within(at));
            let held = |shard: u32| {
                let before = !swapped && self.part.shards.contains_key(&shard);
                (before || added.contains(&shard)) && !released.contains(&shard)
            };
            match record {
                Record::Begin { resumed: true, .. } if open.is_none() => {
                    return fault("begin", "goes on with what isn't there".into());
                }
                Record::Begin { resumed: true, .. } => {}
                Record::Begin { whole: all, .. } => {
                    (open, whole) = (Some(None), *all);
                    staged.clear();
                }
                Record::End if open.is_some() => {
                    open = None;
                    if whole {
                        (swapped, added, released) = (true, BTreeSet::new(), BTreeSet::new());
                    }
                    released.retain(|shard| !staged.contains(shard));
                    added.append(&mut staged);
                }
                Record::Shard(shard, ..) if *shard >= self.shard_count => {
                    return fault("shard", format!("{shard}, there are {}", self.shard_count));
                }
                Record::Shard(shard, ..) if open.is_some() => {
                    open = Some(Some(*shard));
                    staged.insert(*shard);
                }
                Record::Put(destination, .., body) => {
                    check_body(body).map_err(|wrong| Fault::meaning("body", wrong).within(at))?;
                    let shard = self.shard_of(*destination);
                    match open {
                        Some(open) if open != Some(shard) => {
                            return fault(
                                "destination",
                                format!("{destination} isn't of the shard that is open"),
                            );
                        }
                        None if !held(shard) => {
                            return fault(
                                "destination",
                                format!("{destination} is of shard {shard}, not held"),
                            );
                        }
                        _ => {}
                    }
                }
                Record::Remove(destination, _) if open.is_none() => {
                    let shard = self.shard_of(*destination);
                    if !held(shard) {
                        return fault("destination", format!("{destination} is of shard {shard}, not held"));
                    }
                }
                Record::Owners(shard, .., owners) if open.is_none() => {
                    if !held(*shard) {
                        return fault("shard", format!("{shard} isn't held"));
                    }
                    if !owners.has(self.id) {
                        return fault("owners", format!("{} is none of them", self.id));
                    }
                }
                Record::Release(shard) if open.is_none() => {
                    if !held(*shard) {
                        return fault("shard", format!("{shard} isn't held"));
                    }
                    added.remove(shard);
                    released.insert(*shard);
                }
                Record::Common(_, body) => {
                    check_body(body).map_err(|wrong| Fault::meaning("body", wrong).within(at))?;
                }
                _ => return fault("record", "can't stand here".into()),
            }
        }
        Ok(())
    }

    /// Takes in what was checked; which destinations are others now, None for any.
    fn take(&mut self, frame: &Frame) -> Option<Vec<u32>> {
        let mut changed = Some(Vec::new());
        let mut note =
            |destination: u32| changed.iter_mut().for_each(|list: &mut Vec<u32>| list.push(destination));
        let mut all = false;
        for record in &frame.records {
            match record {
                Record::Begin { resumed: true, .. } => {}
                Record::Begin { whole, base, .. } => {
                    let (shards, common) = (BTreeMap::new(), None);
                    self.staging =
                        Some(Staging { whole: *whole, base: *base, shards, common, open: None, last: None });
                }
                Record::End => {
                    let Some(staging) = self.staging.take() else { continue };
                    self.suspects.retain(|shard| !staging.whole && !staging.shards.contains_key(shard));
                    if staging.whole {
                        self.part.shards = staging.shards;
                        self.part.common = staging.common;
                        all = true;
                    } else {
                        staging
                            .shards
                            .values()
                            .flat_map(|shard| &shard.entries)
                            .for_each(|e| note(e.destination));
                        self.part.shards.extend(staging.shards);
                    }
                }
                Record::Shard(shard, revision, epoch, owners) => {
                    let Some(staging) = &mut self.staging else { continue };
                    let (revision, epoch, owners) = (*revision, *epoch, *owners);
                    staging.shards.insert(*shard, Shard { epoch, revision, owners, entries: Vec::new() });
                    (staging.open, staging.last) = (Some(*shard), None);
                }
                Record::Put(destination, ..) => match &mut self.staging {
                    Some(staging) => {
                        staging.last = Some(*destination);
                        put(&mut staging.shards, self.shard_count, record);
                    }
                    None => {
                        note(*destination);
                        put(&mut self.part.shards, self.shard_count, record);
                    }
                },
                Record::Remove(destination, _) => {
                    note(*destination);
                    let shard = shard_of(*destination, self.shard_count);
                    if let Some(shard) = self.part.shards.get_mut(&shard) {
                        shard.drop(*destination);
                    }
                }
                Record::Owners(shard, revision, epoch, owners) => {
                    if let Some(known) = self.part.shards.get_mut(shard) {
                        (known.revision, known.epoch, known.owners) = (*revision, *epoch, *owners);
                        known.entries.iter().for_each(|entry| note(entry.destination));
                    }
                }
                Record::Release(shard) => {
                    if let Some(known) = self.part.shards.remove(shard) {
                        known.entries.iter().for_each(|entry| note(entry.destination));
                    }
                }
                Record::Common(revision, body) => match &mut self.staging {
                    Some(staging) => staging.common = Some((*revision, body.clone())),
                    None => {
                        self.part.common = Some((*revision, body.clone()));
                        all = true;
                    }
                },
                Record::Era(..) | Record::Repair(_) | Record::Refused(_) => {}
            }
        }
        if all { None } else { changed }
    }

    /// Heap, from what the collections hold room for; a map's nodes are counted as eleven places of which two thirds are used.
    pub fn memory(&self) -> usize {
        let shards = |shards: &BTreeMap<u32, Shard>| -> usize {
            let entries = |shard: &Shard| {
                let bodies: usize =
                    shard.entries.iter().filter_map(|e| e.body.as_ref()).map(|b| b.len() + 16).sum();
                shard.entries.capacity() * size_of::<Entry>() + bodies
            };
            shards.len() * (size_of::<Shard>() + 4) * 3 / 2 + shards.values().map(entries).sum::<usize>()
        };
        size_of::<Subscriber>()
            + shards(&self.part.shards)
            + self.staging.as_ref().map_or(0, |staging| shards(&staging.shards))
    }

    /// Bytes a second and at once that it may be sent.
    pub fn pace(&self) -> Pace {
        self.pace
    }
}

fn put(shards: &mut BTreeMap<u32, Shard>, count: u32, record: &Record) {
    if let Record::Put(destination, revision, weight, body) = record
        && let Some(shard) = shards.get_mut(&shard_of(*destination, count))
    {
        let body = Some(Arc::clone(body));
        shard.put(Entry { destination: *destination, weight: *weight, revision: *revision, body });
    }
}
