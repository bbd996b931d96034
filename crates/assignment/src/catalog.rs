//! What there is: destinations and owners by shard, with revisions, and a bounded log of what changed.
//!
//! A revision is one change, numbered by the one controller of its era. Two copies that have the same era at the same
//! revision have the same history up to there (the log matching of Raft, section 5.3), so a position tells whether a
//! peer can be brought up to date by changes or has parted.

use crate::placement::{Load, mix};
use crate::wire::{Fault, Record};
use indigomast::time::Span;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// A shard has no more owners, those who leave included.
pub const MOST_OWNERS: usize = 4;
/// Bytes of a destination's line, as escaped in JSON: a frame to a sender takes any one.
pub const LONGEST_BODY: usize = 768;
/// Changes of controller that are remembered; who stood still for longer is told all anew.
const MOST_ERAS: usize = 64;
/// Keys that one who parted may ask for; more are told by a snapshot.
const MOST_SUSPECTS: usize = 2048;

#[derive(Clone, Debug)]
pub struct Settings {
    /// Fixed for good; some 16 for each owner's copy keep loads even.
    pub shards: u32,
    /// Of each shard, in different zones.
    pub owners: usize,
    /// No sender is given a shard by which its load would go over this times the mean (or the mean and that shard).
    pub load_bound: f64,
    /// Changes of owners a second, but for shards nobody has.
    pub moves_a_second: f64,
    /// A sender that is away for less keeps its shards: a restart moves nothing.
    pub linger: Span,
    /// A move that its new owner hasn't taken up in this time is taken back.
    pub patience: Span,
    /// Changes that a peer may have missed and still be told them alone.
    pub log: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            shards: 1 << 17,
            owners: 2,
            load_bound: 1.25,
            moves_a_second: 600.0,
            linger: Span::millis(30_000),
            patience: Span::millis(60_000),
            log: 1 << 18,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Of the era in which this revision was made.
    pub epoch: u32,
    pub revision: u64,
}

/// What operators and the platform say.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A destination is there, or is another than before. The body is its line in the list's own protocol.
    Put {
        destination: u32,
        weight: u32,
        body: String,
    },
    Remove {
        destination: u32,
    },
    /// What concerns every sender, said once.
    Common {
        body: String,
    },
}

/// What a revision is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Key {
    Destination(u32),
    Shard(u32),
    Common,
    Era,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub destination: u32,
    pub weight: u32,
    pub revision: u64,
    /// None for one that was removed, as long as the log knows of it.
    pub body: Option<Arc<str>>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "(Vec<u32>, Option<u32>)", into = "(Vec<u32>, Option<u32>)")]
pub struct Owners {
    senders: [u32; MOST_OWNERS],
    count: u8,
    leaving: Option<u32>,
}

impl Owners {
    /// # Panics
    ///
    /// There are more than [`MOST_OWNERS`].
    pub fn new(list: &[u32], leaving: Option<u32>) -> Owners {
        let mut senders = [0; MOST_OWNERS];
        senders[..list.len()].copy_from_slice(list);
        Owners { senders, count: list.len() as u8, leaving }
    }

    /// All who serve it now; a share of a limit is one in so many.
    pub fn list(&self) -> &[u32] {
        &self.senders[..usize::from(self.count)]
    }

    /// Who serves it only until the last of the list does.
    pub fn leaving(&self) -> Option<u32> {
        self.leaving
    }

    pub fn has(&self, sender: u32) -> bool {
        self.list().contains(&sender)
    }

    /// Who has been added in place of the one who leaves.
    pub fn joining(&self) -> Option<u32> {
        self.leaving.and(self.list().last().copied())
    }
}

impl TryFrom<(Vec<u32>, Option<u32>)> for Owners {
    type Error = String;
    fn try_from((list, leaving): (Vec<u32>, Option<u32>)) -> Result<Owners, String> {
        if list.len() > MOST_OWNERS {
            return Err(format!("owners: {}, no more than {MOST_OWNERS} are known", list.len()));
        }
        if let Some(at) = (1..list.len()).find(|at| list[..*at].contains(&list[*at])) {
            return Err(format!("owners[{at}]: {} stands twice", list[at]));
        }
        if leaving.is_some_and(|leaving| !list.contains(&leaving)) {
            return Err("owners: the one who leaves is none of them".into());
        }
        Ok(Owners::new(&list, leaving))
    }
}

impl From<Owners> for (Vec<u32>, Option<u32>) {
    fn from(owners: Owners) -> Self {
        (owners.list().to_vec(), owners.leaving)
    }
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shard {
    /// Counts changes of owners.
    pub epoch: u32,
    /// Of the last change of owners.
    pub revision: u64,
    pub owners: Owners,
    /// By destination, ascending.
    pub entries: Vec<Entry>,
}

impl Shard {
    pub fn find(&self, destination: u32) -> Option<&Entry> {
        let at = self.entries.binary_search_by_key(&destination, |entry| entry.destination).ok()?;
        Some(&self.entries[at])
    }

    /// An entry that isn't newer than the known one is let be.
    pub fn put(&mut self, entry: Entry) -> bool {
        match self.entries.binary_search_by_key(&entry.destination, |known| known.destination) {
            Ok(at) if self.entries[at].revision > entry.revision => false,
            Ok(at) => {
                self.entries[at] = entry;
                true
            }
            Err(at) => {
                self.entries.insert(at, entry);
                true
            }
        }
    }

    pub fn drop(&mut self, destination: u32) {
        if let Ok(at) = self.entries.binary_search_by_key(&destination, |known| known.destination) {
            self.entries.remove(at);
        }
    }

    /// Of destinations that are there.
    pub fn live(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter().filter(|entry| entry.body.is_some())
    }

    /// Sum of weights, and destinations.
    pub fn load(&self) -> Load {
        self.live().fold([0; 2], |sum, entry| [sum[0] + u64::from(entry.weight), sum[1] + 1])
    }
}

/// Whether a peer's history is this one's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Agreement {
    /// It is a part of this one: what came after it is all the peer lacks.
    Same,
    /// The same, but the peer lacks more than the log knows.
    TooOld,
    /// The peer knows what isn't known here yet.
    Ahead,
    /// The peer has changes of a controller that was no longer the one.
    Parted,
}

/// A whole copy: the controller's, and each relay's.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(crate) shards: Vec<Shard>,
    pub(crate) common: Option<(u64, Arc<str>)>,
    /// Epoch and first revision, ascending.
    pub(crate) eras: Vec<(u32, u64)>,
    log: VecDeque<(u64, Key)>,
    most_log: usize,
    /// The last revision that the log no longer tells of.
    floor: u64,
    pub(crate) revision: u64,
    live: usize,
}

/// The destination's shard; the same everywhere and for good.
pub fn shard_of(destination: u32, shards: u32) -> u32 {
    (mix(0x5348_4152_4453 ^ u64::from(destination)) % u64::from(shards)) as u32
}

/// # Errors
///
/// Too long, or something that can't stand in a line of the list.
pub fn check_body(body: &str) -> Result<(), String> {
    if let Some(at) = body.bytes().position(|byte| !(0x20..0x7f).contains(&byte)) {
        return Err(format!("byte {at} is no printable ASCII"));
    }
    let length = escaped(body);
    if length > LONGEST_BODY {
        return Err(format!("{length} bytes, {LONGEST_BODY} may stand"));
    }
    Ok(())
}

/// How long a printable text is within JSON.
pub(crate) fn escaped(body: &str) -> usize {
    body.len() + body.bytes().filter(|byte| matches!(byte, b'"' | b'\\')).count()
}

impl Replica {
    pub fn new(settings: &Settings) -> Replica {
        Replica {
            shards: vec![Shard::default(); settings.shards as usize],
            common: None,
            eras: Vec::new(),
            log: VecDeque::new(),
            most_log: settings.log,
            floor: 0,
            revision: 0,
            live: 0,
        }
    }

    /// Nothing but the settings of this one, to be filled from a snapshot.
    pub(crate) fn blank(&self, base: Position, eras: Vec<(u32, u64)>) -> Replica {
        Replica {
            shards: vec![Shard::default(); self.shards.len()],
            common: None,
            eras,
            log: VecDeque::new(),
            most_log: self.most_log,
            floor: base.revision,
            revision: base.revision,
            live: 0,
        }
    }

    pub fn shard_count(&self) -> u32 {
        self.shards.len() as u32
    }

    pub fn shard_of(&self, destination: u32) -> u32 {
        shard_of(destination, self.shard_count())
    }

    pub fn owners(&self, shard: u32) -> Owners {
        self.shards[shard as usize].owners
    }

    pub fn shard(&self, shard: u32) -> Option<&Shard> {
        self.shards.get(shard as usize)
    }

    pub fn find(&self, destination: u32) -> Option<&Entry> {
        self.shards[self.shard_of(destination) as usize].find(destination)
    }

    /// Destinations that are there.
    pub fn live(&self) -> usize {
        self.live
    }

    pub fn floor(&self) -> u64 {
        self.floor
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Zero before the first era.
    pub fn epoch(&self) -> u32 {
        self.eras.last().map_or(0, |era| era.0)
    }

    pub fn position(&self) -> Position {
        self.position_at(self.revision)
    }

    pub fn position_at(&self, revision: u64) -> Position {
        let after = self.eras.partition_point(|era| era.1 <= revision);
        let epoch = if after == 0 { 0 } else { self.eras[after - 1].0 };
        Position { epoch, revision }
    }

    pub fn agreement(&self, peer: Position) -> Agreement {
        if peer.revision > self.revision {
            return if peer.epoch < self.epoch() { Agreement::Parted } else { Agreement::Ahead };
        }
        if self.position_at(peer.revision) != peer {
            return Agreement::Parted;
        }
        if peer.revision < self.floor { Agreement::TooOld } else { Agreement::Same }
    }

    /// What the log has after this revision, oldest first; what changed again since stands only where it did last.
    pub(crate) fn since(&self, revision: u64) -> impl Iterator<Item = (u64, Key)> {
        let from = self.log.partition_point(|(known, _)| *known <= revision);
        self.log.range(from..).copied().filter(|(at, key)| match key {
            Key::Destination(destination) => self.find(*destination).is_some_and(|e| e.revision == *at),
            Key::Shard(shard) => self.shards[*shard as usize].revision == *at,
            Key::Common => self.common.as_ref().is_some_and(|(revision, _)| revision == at),
            Key::Era => true,
        })
    }

    /// What a key stands at, as one record.
    pub(crate) fn record(&self, key: Key, revision: u64) -> Record {
        match key {
            Key::Destination(destination) => match self.find(destination) {
                Some(Entry { revision, weight, body: Some(body), .. }) => {
                    Record::Put(destination, *revision, *weight, Arc::clone(body))
                }
                Some(entry) => Record::Remove(destination, entry.revision),
                None => Record::Remove(destination, revision),
            },
            Key::Shard(shard) => {
                let known = &self.shards[shard as usize];
                Record::Owners(shard, known.revision, known.epoch, known.owners)
            }
            Key::Common => {
                let (revision, body) = self.common.as_ref().expect("logged, so there");
                Record::Common(*revision, Arc::clone(body))
            }
            Key::Era => Record::Era(revision, self.position_at(revision).epoch),
        }
    }

    pub(crate) fn note(&mut self, revision: u64, key: Key) {
        self.revision = self.revision.max(revision);
        self.log.push_back((revision, key));
        while self.log.len() > self.most_log {
            let (revision, key) = self.log.pop_front().expect("not empty");
            self.floor = revision;
            if let Key::Destination(destination) = key {
                let shard = self.shard_of(destination) as usize;
                let gone = |entry: &Entry| entry.body.is_none() && entry.revision <= revision;
                if self.shards[shard].find(destination).is_some_and(gone) {
                    self.shards[shard].drop(destination);
                }
            }
        }
    }

    /// The last position up to which a peer that has parted has the same history, if that can be told from here.
    pub fn common_with(&self, peer: Position) -> Option<Position> {
        let after = self.eras.iter().find(|(epoch, _)| *epoch > peer.epoch)?;
        let common = self.position_at((after.1 - 1).min(peer.revision));
        (common.epoch == peer.epoch && common.revision >= self.floor).then_some(common)
    }

    /// Forgets what came after this position, which is of its own history; what that was about has to be told anew. None,
    /// and nothing done, if the log doesn't reach so far back, or that can't be told by itself.
    pub(crate) fn rewind(&mut self, common: Position) -> Option<Vec<Key>> {
        if common.revision > self.revision {
            return Some(Vec::new());
        }
        let after = self.log.iter().rev().take_while(|(revision, _)| *revision > common.revision);
        let suspects: BTreeSet<Key> = after.map(|(_, key)| *key).collect();
        let tellable = suspects.len() <= MOST_SUSPECTS && !suspects.contains(&Key::Common);
        if self.floor > common.revision || self.position_at(common.revision) != common || !tellable {
            return None;
        }
        while self.log.back().is_some_and(|(revision, _)| *revision > common.revision) {
            self.log.pop_back();
        }
        self.eras.retain(|(_, first)| *first <= common.revision);
        self.revision = common.revision;
        Some(suspects.into_iter().filter(|key| *key != Key::Era).collect())
    }

    /// One that was forgotten, as it stands, however old that is.
    pub(crate) fn repair(&mut self, record: &Record) {
        match record {
            Record::Put(destination, ..) | Record::Remove(destination, _) => {
                let shard = self.shard_of(*destination);
                let was = self.shards[shard as usize].find(*destination).is_some_and(|e| e.body.is_some());
                self.live -= usize::from(was);
                self.shards[shard as usize].drop(*destination);
                self.fill(shard, record);
            }
            Record::Owners(shard, revision, epoch, owners) => {
                let known = &mut self.shards[*shard as usize];
                (known.revision, known.epoch, known.owners) = (*revision, *epoch, *owners);
            }
            _ => {}
        }
    }

    /// Takes a record in, as its era's controller made it. Whose owners changed is told by the owners before.
    ///
    /// # Errors
    ///
    /// It names what isn't there; nothing is changed then.
    pub(crate) fn apply(&mut self, record: &Record) -> Result<Option<(Key, Owners)>, Fault> {
        self.check(record)?;
        let (key, revision, before) = match record {
            Record::Put(destination, revision, weight, body) => {
                let shard = self.shard_of(*destination) as usize;
                let was = self.shards[shard].find(*destination).is_some_and(|e| e.body.is_some());
                let entry = Entry {
                    destination: *destination,
                    weight: *weight,
                    revision: *revision,
                    body: Some(body.clone()),
                };
                if self.shards[shard].put(entry) {
                    self.live += usize::from(!was);
                }
                (Key::Destination(*destination), *revision, Owners::default())
            }
            Record::Remove(destination, revision) => {
                let shard = self.shard_of(*destination) as usize;
                let was = self.shards[shard].find(*destination).is_some_and(|e| e.body.is_some());
                let entry = Entry { destination: *destination, weight: 0, revision: *revision, body: None };
                if self.shards[shard].put(entry) {
                    self.live -= usize::from(was);
                }
                (Key::Destination(*destination), *revision, Owners::default())
            }
            Record::Owners(shard, revision, epoch, owners) => {
                let known = &mut self.shards[*shard as usize];
                let before = known.owners;
                if *revision >= known.revision {
                    (known.revision, known.epoch, known.owners) = (*revision, *epoch, *owners);
                }
                (Key::Shard(*shard), *revision, before)
            }
            Record::Common(revision, body) => {
                self.common = Some((*revision, Arc::clone(body)));
                (Key::Common, *revision, Owners::default())
            }
            Record::Era(revision, epoch) => {
                self.eras.push((*epoch, *revision));
                if self.eras.len() > MOST_ERAS {
                    self.eras.remove(0);
                }
                (Key::Era, *revision, Owners::default())
            }
            _ => return Ok(None),
        };
        self.note(revision, key);
        Ok(Some((key, before)))
    }

    /// Whether a record can stand.
    ///
    /// # Errors
    ///
    /// The field that names what isn't there.
    pub(crate) fn check(&self, record: &Record) -> Result<(), Fault> {
        match record {
            Record::Put(_, _, _, body) | Record::Common(_, body) => {
                check_body(body).map_err(|wrong| Fault::meaning("body", wrong))
            }
            Record::Owners(shard, ..) | Record::Shard(shard, ..) | Record::Release(shard)
                if *shard >= self.shard_count() =>
            {
                Err(Fault::meaning("shard", format!("{shard}, there are {}", self.shard_count())))
            }
            Record::Era(_, epoch) if *epoch <= self.epoch() => {
                Err(Fault::meaning("epoch", format!("{epoch} after {}", self.epoch())))
            }
            _ => Ok(()),
        }
    }

    pub(crate) fn log(&self) -> &VecDeque<(u64, Key)> {
        &self.log
    }

    /// Older keys of the log, oldest first, as an image has them.
    pub(crate) fn extend_log(&mut self, keys: Vec<(u64, Key)>) -> Result<(), Fault> {
        for (revision, key) in keys {
            let last = self.log.back().map_or(self.floor, |(last, _)| *last);
            if revision <= last || revision > self.revision {
                return Err(Fault::meaning(
                    "log",
                    format!("{revision} after {last}, up to {}", self.revision),
                ));
            }
            if let Key::Shard(shard) = key
                && shard >= self.shard_count()
            {
                return Err(Fault::meaning(
                    "log",
                    format!("shard {shard}, there are {}", self.shard_count()),
                ));
            }
            if key == Key::Common && self.common.is_none() {
                return Err(Fault::meaning("log", "names a common line that isn't there"));
            }
            self.note(revision, key);
        }
        Ok(())
    }

    /// A destination that was removed, as an image has it.
    pub(crate) fn bury(&mut self, destination: u32, revision: u64) {
        let shard = self.shard_of(destination) as usize;
        self.shards[shard].put(Entry { destination, weight: 0, revision, body: None });
    }

    /// Filled by a snapshot: the log stays empty.
    pub(crate) fn fill(&mut self, shard: u32, record: &Record) {
        match record {
            Record::Shard(_, revision, epoch, owners) => {
                let known = &mut self.shards[shard as usize];
                (known.revision, known.epoch, known.owners) = (*revision, *epoch, *owners);
            }
            Record::Put(destination, revision, weight, body) => {
                let body = Some(Arc::clone(body));
                let entry = Entry { destination: *destination, weight: *weight, revision: *revision, body };
                self.live += usize::from(self.shards[shard as usize].put(entry));
            }
            Record::Common(revision, body) => self.common = Some((*revision, Arc::clone(body))),
            _ => {}
        }
    }

    /// Heap that this copy takes, from what its collections hold room for; bodies are counted as if no other copy had them.
    pub fn memory(&self) -> usize {
        let shards = self.shards.capacity() * size_of::<Shard>();
        let entries: usize = self.shards.iter().map(|s| s.entries.capacity() * size_of::<Entry>()).sum();
        let bodies: usize = self
            .shards
            .iter()
            .flat_map(|s| &s.entries)
            .filter_map(|e| e.body.as_ref())
            .map(|b| b.len() + 16)
            .sum();
        shards + entries + bodies + self.log.capacity() * size_of::<(u64, Key)>()
    }
}
