//! Appending, committing, compacting and recovering.

use crate::format::{
    self, Kind, Manifest, Place, RECORD_HEAD, SEGMENT_HEAD, SegmentHead, put_record, read_segment_head,
    take_head,
};
use crate::store::Store;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::{self, ErrorKind};
use std::time::Duration;

const MANIFEST: &str = "manifest";
const NEXT_MANIFEST: &str = "manifest.next";
/// The least number of segments that fit: some are being compacted, one is written, some are kept free for later records.
const SEGMENTS: u64 = 8;
/// A segment written under other settings may be longer than the current ones; a longer file is read only up to this.
const LONGEST_SEGMENT: u64 = 256 << 20;

/// An item's number; one is never used twice in a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

/// What a commit guarantees once it has returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durability {
    /// Outlasts the process, not the machine: nothing is synced.
    Process,
    /// Outlasts a loss of power: one sync for all that was added since the last commit.
    Batch,
    /// Outlasts the process at once, and a loss of power after so long.
    Interval(Duration),
}

#[derive(Clone, Debug)]
pub struct Settings {
    /// Bytes of one segment, and of all files together.
    pub segment: u64,
    pub most: u64,
    /// Bytes of a record's payload.
    pub longest: usize,
    /// Bytes of open items that a commit moves at the least, where room is short.
    pub step: u64,
    pub durability: Durability,
}

impl Settings {
    /// For files of so many bytes together and payloads of so many, outlasting the process.
    pub fn within(most: u64, longest: usize) -> Settings {
        let least = least_segment(longest);
        let segment = (most / 64).clamp(least, least.max(2 << 20));
        Settings { segment, most, longest, step: 16 << 10, durability: Durability::Process }
    }

    /// The longest payload that files of so many bytes together have room for.
    pub fn longest_within(most: u64) -> usize {
        let segment = (most / SEGMENTS) as usize;
        (segment.saturating_sub(SEGMENT_HEAD) / 2).saturating_sub(RECORD_HEAD)
    }

    fn check(&self) -> io::Result<()> {
        let complain = |what: String| Err(io::Error::new(ErrorKind::InvalidInput, what));
        let least = least_segment(self.longest);
        if self.segment < least {
            return complain(format!(
                "segment: {} bytes are less than two records take, {least}",
                self.segment
            ));
        }
        if self.most < SEGMENTS * self.segment {
            return complain(format!("most: {} bytes are less than eight segments", self.most));
        }
        Ok(())
    }

    /// What open items may take with all that is reserved for them. A quarter of the rest stays for what is over, so
    /// that moving open items on frees a byte for at most three moved.
    pub fn room(&self) -> u64 {
        self.most.saturating_sub(4 * self.segment) / 4 * 3
    }
}

/// A record of an item as it is read during recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry<'a> {
    Open(&'a [u8]),
    Note(u8, &'a [u8]),
    /// In place of all that was read of it before.
    Whole(&'a [u8]),
    Close,
}

/// There is no room for another item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// Bytes that are not valid records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Damage {
    pub segment: u64,
    pub offset: u64,
    pub bytes: u64,
}

/// What recovery found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    pub segments: usize,
    pub records: u64,
    /// What the last write left unfinished; ordinary after a crash.
    pub torn: Option<Damage>,
    /// Damage with sound records behind it; a whole segment that is missing has no bytes.
    pub damage: Vec<Damage>,
    /// Records of items whose beginning is not there.
    pub orphans: u64,
    /// Open items that may have lost a note, or their end, to the damage.
    pub suspects: Vec<Key>,
    /// There was no manifest that could be read: which segments count was taken from the segments.
    pub manifest_lost: bool,
}

impl Recovered {
    /// How many records of so many bytes of payload, or more, may have been lost at the most: the damaged bytes held
    /// them. None where a whole segment is missing.
    pub fn most_lost(&self, payload: usize) -> Option<u64> {
        let bytes = self.damage.iter().map(|damage| (damage.bytes > 0).then_some(damage.bytes));
        bytes.sum::<Option<u64>>().map(|bytes| bytes / (RECORD_HEAD + payload) as u64)
    }
}

/// Repairs that recovery has to make before the journal is written to.
#[derive(Default)]
struct Repairs {
    /// Behind so many bytes of the newest segment.
    cut: Option<u64>,
    void: Vec<u64>,
    old: Vec<u64>,
    needs_manifest: bool,
}

/// What a commit did beside writing what was added.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Step {
    pub written: u64,
    /// Open items moved on, and bytes of them.
    pub moved: usize,
    pub moved_bytes: u64,
    /// Segments given back.
    pub retired: usize,
    pub synced: bool,
}

struct Record {
    kind: Kind,
    tag: u8,
    key: Key,
    payload: Vec<u8>,
}

impl Record {
    fn bytes(&self) -> u64 {
        (RECORD_HEAD + self.payload.len()) as u64
    }
}

#[derive(Clone, Copy)]
struct Item {
    /// The segment that holds its beginning, or its latest whole record; none before that is written.
    base: Option<u64>,
    /// What it takes and may still take.
    bytes: u64,
}

struct Segment {
    number: u64,
    bytes: u64,
}

pub struct Journal<S: Store> {
    store: S,
    settings: Settings,
    number: u64,
    /// As the manifest had it at the start: a segment below it would not count.
    first: u64,
    segments: VecDeque<Segment>,
    /// Bytes of all of them, kept so that a commit costs the same however many there are.
    used: u64,
    file: Option<S::File>,
    items: BTreeMap<Key, Item>,
    /// Open items by the segment of their base.
    keys_by_base: BTreeMap<u64, BTreeSet<Key>>,
    next: u64,
    held: u64,
    waiting: Vec<Record>,
    /// Written but not synced; kept because the disk content is undefined after a failed sync.
    unsynced: Vec<Record>,
    /// How much of the newest segment counts. After a failed sync that is less than was written.
    sound: u64,
    synced_at: Duration,
    /// The newest segment can't be trusted to end where it should: the next record goes to another.
    needs_new_segment: bool,
    /// What the last commit wrote of its records may be there still, though it failed.
    may_hold_failed_write: bool,
    /// The manifest names an earlier segment than the first that counts.
    manifest_behind: bool,
}

/// Two records of any length.
fn least_segment(longest: usize) -> u64 {
    (SEGMENT_HEAD + 2 * (RECORD_HEAD + longest)) as u64
}

fn segment_name(number: u64) -> String {
    format!("{number:016x}.seg")
}

fn segment_number(name: &str) -> Option<u64> {
    let digits = name.strip_suffix(".seg")?;
    (digits.len() == 16).then(|| u64::from_str_radix(digits, 16).ok())?
}

fn newer(name: &str, version: u32) -> io::Error {
    let what = format!("{name}: format {version} is newer than {}, the newest known here", format::VERSION);
    io::Error::new(ErrorKind::Unsupported, what)
}

fn read_at_most<S: Store>(store: &mut S, file: &mut S::File, most: usize) -> io::Result<Vec<u8>> {
    let length = store.length(file)?.min(most as u64) as usize;
    let mut bytes = vec![0; length];
    let mut at = 0;
    while at < length {
        match store.read(file, at as u64, &mut bytes[at..])? {
            0 => break,
            count => at += count,
        }
    }
    bytes.truncate(at);
    Ok(bytes)
}

fn too_long(key: Key) -> io::Error {
    io::Error::new(ErrorKind::InvalidInput, format!("a record of item {} is longer than any may be", key.0))
}

impl<S: Store> Journal<S> {
    /// Reads what is there, oldest first, and goes on from it. `number` tells this journal from all others if it is a
    /// new one. A folder of a newer format is left as it is.
    pub fn open(
        store: S,
        settings: Settings,
        number: u64,
        seen: &mut dyn FnMut(Key, Entry),
    ) -> io::Result<(Journal<S>, Recovered)> {
        settings.check()?;
        let (mut journal, recovered, repairs) = Journal::scan(store, settings, number, seen)?;
        if let Some(length) = repairs.cut {
            let file = journal.file.as_mut().expect("the newest was read last");
            journal.store.truncate(file, length)?;
        }
        for segment in repairs.void {
            journal.store.remove(&segment_name(segment))?;
        }
        if let Some(file) =
            journal.file.as_ref().filter(|_| journal.settings.durability != Durability::Process)
        {
            // What was read may be in memory only, left by a process that was killed.
            journal.store.sync(file)?;
            journal.store.sync_names()?;
        }
        if repairs.needs_manifest {
            journal.write_manifest(journal.first)?;
        }
        // Left over from a crash between the manifest and the removal.
        for old in repairs.old {
            journal.store.remove(&segment_name(old))?;
        }
        Ok((journal, recovered))
    }

    /// Reads what is there and changes nothing. Payloads may be up to `longest` bytes.
    pub fn look(
        store: S,
        longest: usize,
        seen: &mut dyn FnMut(Key, Entry),
    ) -> io::Result<(Journal<S>, Recovered)> {
        let settings = Settings { segment: 0, most: 0, longest, step: 0, durability: Durability::Process };
        let (journal, recovered, _) = Journal::scan(store, settings, 0, seen)?;
        Ok((journal, recovered))
    }

    fn scan(
        mut store: S,
        settings: Settings,
        number: u64,
        seen: &mut dyn FnMut(Key, Entry),
    ) -> io::Result<(Journal<S>, Recovered, Repairs)> {
        let names = store.list()?;
        let manifest = match names.iter().any(|name| name == MANIFEST) {
            false => None,
            true => {
                let mut file = store.open(MANIFEST)?;
                let bytes = read_at_most(&mut store, &mut file, SEGMENT_HEAD)?;
                Manifest::read(&bytes).map_err(|version| newer(MANIFEST, version))?
            }
        };
        let found: BTreeSet<u64> = names.iter().filter_map(|name| segment_number(name)).collect();
        let first = manifest.map_or(found.first().copied().unwrap_or(1), |manifest| manifest.first);
        // Each head tells how long the segment before was.
        let mut ends = BTreeMap::new();
        let (mut said, mut newest) = (None, 0);
        for &at in found.range(first..) {
            let mut file = store.open(&segment_name(at))?;
            let bytes = read_at_most(&mut store, &mut file, SEGMENT_HEAD)?;
            match read_segment_head(&bytes) {
                SegmentHead::Segment { journal, segment, before, next } if segment == at => {
                    said = said.or(Some(journal));
                    if manifest.is_none_or(|manifest| manifest.journal == journal) {
                        newest = newest.max(next);
                        ends.extend((at > first).then(|| (at - 1, before)));
                    }
                }
                // Under a manifest of this format it is damage.
                SegmentHead::Newer(version) if manifest.is_none() => {
                    return Err(newer(&segment_name(at), version));
                }
                _ => {}
            }
        }
        // Without a manifest the segments themselves say whose they are.
        let number = manifest.map(|manifest| manifest.journal).or(said).unwrap_or(number);
        let mut journal = Journal {
            store,
            settings,
            number,
            first,
            segments: VecDeque::new(),
            used: 0,
            file: None,
            items: BTreeMap::new(),
            keys_by_base: BTreeMap::new(),
            next: newest,
            held: 0,
            waiting: Vec::new(),
            unsynced: Vec::new(),
            sound: 0,
            synced_at: Duration::ZERO,
            needs_new_segment: false,
            may_hold_failed_write: false,
            manifest_behind: false,
        };
        let mut recovered =
            Recovered { manifest_lost: manifest.is_none() && !found.is_empty(), ..Recovered::default() };
        let mut repairs = Repairs { needs_manifest: manifest.is_none(), ..Repairs::default() };
        repairs.old.extend(found.range(..first));
        // Where damage lies, by segment: whoever began before may have lost something to it.
        let mut damaged_segments: Vec<u64> = Vec::new();
        let mut expected = first;
        for at in found.range(first..).copied().collect::<Vec<_>>() {
            if at > expected {
                recovered.damage.push(Damage { segment: expected, offset: 0, bytes: 0 });
                damaged_segments.push(expected);
            }
            expected = at + 1;
            let last = Some(&at) == found.last();
            let end = ends.get(&at).copied();
            journal.recover(at, end, last, &mut recovered, &mut damaged_segments, &mut repairs, seen)?;
        }
        for damaged_segments in damaged_segments {
            let before =
                journal.keys_by_base.range(..=damaged_segments).flat_map(|(_, keys)| keys.iter().copied());
            recovered.suspects.extend(before);
        }
        recovered.suspects.sort();
        recovered.suspects.dedup();
        recovered.segments = journal.segments.len();
        journal.sound = journal.segments.back().map_or(0, |segment| segment.bytes);
        Ok((journal, recovered, repairs))
    }

    /// `end` is how long the segment is said to be by the one behind it.
    #[allow(clippy::too_many_arguments)]
    fn recover(
        &mut self,
        segment: u64,
        end: Option<u64>,
        is_last: bool,
        recovered: &mut Recovered,
        damaged_segments: &mut Vec<u64>,
        repairs: &mut Repairs,
        seen: &mut dyn FnMut(Key, Entry),
    ) -> io::Result<()> {
        let mut file = self.store.open(&segment_name(segment))?;
        // A file of any length may lie there; no segment is longer than it may be.
        let most = end.unwrap_or(self.settings.segment.max(LONGEST_SEGMENT));
        let bytes = read_at_most(&mut self.store, &mut file, most.min(usize::MAX as u64) as usize)?;
        let mut at = match read_segment_head(&bytes) {
            SegmentHead::Segment { journal, segment: said, .. }
                if journal == self.number && said == segment =>
            {
                SEGMENT_HEAD
            }
            // Without its head each record still tells whether it belongs here.
            _ => 0,
        };
        let mut sound = at;
        let mut bad = (at == 0).then_some(0);
        while at < bytes.len() {
            match self.record_at(&bytes, segment, at) {
                Some((head, payload)) => {
                    if let Some(from) = bad.take() {
                        let (offset, bytes) = (from as u64, (at - from) as u64);
                        recovered.damage.push(Damage { segment, offset, bytes });
                        damaged_segments.push(segment);
                    }
                    at += RECORD_HEAD + payload.len();
                    sound = at;
                    recovered.records += 1;
                    self.replay_record(segment, head, payload, recovered, seen);
                }
                None => {
                    bad.get_or_insert(at);
                    at += 1;
                }
            }
        }
        // What was cut off a segment that others follow is missing like any other.
        let length = end.unwrap_or(0).max(bytes.len() as u64);
        if bad.is_none() && length > bytes.len() as u64 {
            bad = Some(bytes.len());
        }
        if let Some(from) = bad {
            let damage = Damage { segment, offset: from as u64, bytes: length - from as u64 };
            if is_last {
                recovered.torn = (damage.bytes > 0).then_some(damage);
                if sound < SEGMENT_HEAD {
                    // Not even begun: its number is used again.
                    repairs.void.push(segment);
                    return Ok(());
                }
                repairs.cut = Some(sound as u64);
            } else {
                recovered.damage.push(damage);
                damaged_segments.push(segment);
            }
        }
        self.segments.push_back(Segment { number: segment, bytes: sound as u64 });
        self.used += sound as u64;
        self.file = Some(file);
        Ok(())
    }

    fn record_at<'a>(&self, bytes: &'a [u8], segment: u64, at: usize) -> Option<(format::Head, &'a [u8])> {
        let place = Place { journal: self.number, segment, offset: at as u64 };
        let head = take_head(&bytes[at..], place, self.settings.longest)?;
        let payload = bytes.get(at + RECORD_HEAD..at + RECORD_HEAD + head.length)?;
        format::is_payload(&head, &bytes[at..], payload).then_some((head, payload))
    }

    fn replay_record(
        &mut self,
        segment: u64,
        head: format::Head,
        payload: &[u8],
        recovered: &mut Recovered,
        seen: &mut dyn FnMut(Key, Entry),
    ) {
        let key = Key(head.key);
        self.next = self.next.max(head.key + 1);
        let whole = (RECORD_HEAD + payload.len()) as u64;
        match head.kind {
            Kind::Open | Kind::Whole => {
                // What is reserved for it is told by its owner, who knows what may still come.
                self.remove(key);
                self.put(key, Item { base: Some(segment), bytes: whole });
                let entry =
                    if head.kind == Kind::Open { Entry::Open(payload) } else { Entry::Whole(payload) };
                seen(key, entry);
            }
            Kind::Note if self.items.contains_key(&key) => seen(key, Entry::Note(head.tag, payload)),
            Kind::Close if self.remove(key) => seen(key, Entry::Close),
            Kind::Note => recovered.orphans += 1,
            // Its beginning went with an older segment.
            Kind::Close => {}
        }
    }

    fn put(&mut self, key: Key, item: Item) {
        self.held += item.bytes;
        if let Some(base) = item.base {
            self.keys_by_base.entry(base).or_default().insert(key);
        }
        self.items.insert(key, item);
    }

    fn remove(&mut self, key: Key) -> bool {
        let Some(item) = self.items.remove(&key) else { return false };
        self.held -= item.bytes;
        self.unbase(key, item);
        true
    }

    /// Written a second time after a failed sync, an item has a base already.
    fn base_on(&mut self, key: Key, base: Option<u64>) {
        let Some(item) = self.items.get(&key).copied() else { return };
        self.unbase(key, item);
        self.items.insert(key, Item { base, ..item });
        if let Some(base) = base {
            self.keys_by_base.entry(base).or_default().insert(key);
        }
    }

    fn unbase(&mut self, key: Key, item: Item) {
        if let Some(base) = item.base
            && let Some(keys) = self.keys_by_base.get_mut(&base)
        {
            keys.remove(&key);
            if keys.is_empty() {
                self.keys_by_base.remove(&base);
            }
        }
    }

    /// Items that are open.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Bytes of all segments.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// What open items take, with all that is reserved for them.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Records that wait for the next commit.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub fn into_store(self) -> S {
        self.store
    }

    /// Begins an item, with room for so many bytes of what will be noted of it. It counts after the next commit.
    pub fn begin(&mut self, payload: &[u8], reserve: u64) -> Result<Key, Full> {
        let bytes = (2 * RECORD_HEAD + payload.len()) as u64 + reserve;
        if payload.len() + reserve as usize > self.settings.longest
            || self.held + bytes > self.settings.room()
        {
            return Err(Full);
        }
        let key = Key(self.next);
        self.next += 1;
        self.put(key, Item { base: None, bytes });
        self.add(Kind::Open, 0, key, payload);
        Ok(key)
    }

    /// Reserves room again for an item that was recovered.
    pub fn reserve(&mut self, key: Key, reserve: u64) {
        if let Some(item) = self.items.get_mut(&key) {
            item.bytes += reserve;
            self.held += reserve;
        }
    }

    /// Adds to an item, within what was reserved for it. After a failed commit a note may be read twice, so saying it
    /// twice must say no more than saying it once.
    pub fn note(&mut self, key: Key, tag: u8, payload: &[u8]) {
        if self.items.contains_key(&key) {
            self.add(Kind::Note, tag, key, payload);
        }
    }

    /// Ends an item; nothing of it is found again.
    pub fn close(&mut self, key: Key) {
        if self.remove(key) {
            self.add(Kind::Close, 0, key, &[]);
        }
    }

    /// Takes back an item that was begun, as its commit failed. Unlike a close it leaves nothing to be written again, if
    /// nothing of it may have been written: a full disk is not to fill the memory.
    pub fn abandon(&mut self, key: Key) {
        let Some(item) = self.items.get(&key).copied() else { return };
        self.remove(key);
        self.waiting.retain(|record| record.key != key);
        if item.base.is_some() {
            self.add(Kind::Close, 0, key, &[]);
        }
    }

    /// Whether a next life may find an item, though the last commit failed: its beginning was written, or lies in a part
    /// that could not be cut off again.
    pub fn may_be_found(&self, key: Key) -> bool {
        self.may_hold_failed_write || self.items.get(&key).is_some_and(|item| item.base.is_some())
    }

    fn add(&mut self, kind: Kind, tag: u8, key: Key, payload: &[u8]) {
        self.waiting.push(Record { kind, tag, key, payload: payload.to_vec() });
    }

    /// Writes what was added and moves some open items on, each as `image` tells it whole. On an error nothing that
    /// was added since the last commit is promised, and the next one writes it again.
    pub fn commit(&mut self, now: Duration, image: &mut dyn FnMut(Key, &mut Vec<u8>)) -> io::Result<Step> {
        let mut step = Step::default();
        self.may_hold_failed_write = false;
        if self.waiting.is_empty() && self.unsynced.is_empty() && !self.manifest_behind {
            return Ok(step);
        }
        let added: u64 = self.waiting.iter().map(Record::bytes).sum();
        if let Some(record) = self.waiting.iter().find(|record| record.payload.len() > self.settings.longest)
        {
            return Err(too_long(record.key));
        }
        self.move_open_items(added, image, &mut step)?;
        self.write(&mut step)?;
        self.sync(now, &mut step)?;
        self.retire(now, &mut step)?;
        Ok(step)
    }

    /// Moves open items out of the oldest segment: more bytes than three times what is added, so that room comes back
    /// at least as fast as it goes.
    fn move_open_items(
        &mut self,
        added: u64,
        image: &mut dyn FnMut(Key, &mut Vec<u8>),
        step: &mut Step,
    ) -> io::Result<()> {
        let mut most = self.settings.step.max(4 * added);
        let mut used = self.used() + added;
        while used > self.settings.most / 2 && most > 0 && self.segments.len() > 1 {
            let Some(oldest) = self.segments.front().map(|segment| segment.number) else { break };
            let Some(key) = self.keys_by_base.get(&oldest).and_then(|keys| keys.first().copied()) else {
                break;
            };
            let record = self.whole(key, image)?;
            let bytes = record.bytes();
            most = most.saturating_sub(bytes);
            used += bytes;
            step.moved += 1;
            step.moved_bytes += bytes;
            // Its base is where this comes to lie; until then it has none that could be waited for.
            self.base_on(key, None);
            self.waiting.push(record);
        }
        Ok(())
    }

    /// Writes every open item anew, as `image` tells it, and gives back all segments that were there before; a segment's
    /// items at a time. For a journal that nobody waits for.
    pub fn compact(&mut self, now: Duration, image: &mut dyn FnMut(Key, &mut Vec<u8>)) -> io::Result<Step> {
        let mut step = self.commit(now, image)?;
        let Some(newest) = self.segments.back().map(|segment| segment.number) else { return Ok(step) };
        self.start_segment()?;
        while let Some((&oldest, keys)) =
            self.keys_by_base.first_key_value().filter(|(base, _)| **base <= newest)
        {
            let keys: Vec<Key> = keys.iter().copied().collect();
            for key in keys {
                let record = self.whole(key, image)?;
                step.moved += 1;
                step.moved_bytes += record.bytes();
                self.base_on(key, None);
                self.waiting.push(record);
            }
            debug_assert!(!self.keys_by_base.contains_key(&oldest));
            self.write(&mut step)?;
            if self.settings.durability != Durability::Process {
                self.sync_now(now, &mut step)?;
            }
            self.retire(now, &mut step)?;
        }
        self.retire(now, &mut step)?;
        Ok(step)
    }

    fn whole(&self, key: Key, image: &mut dyn FnMut(Key, &mut Vec<u8>)) -> io::Result<Record> {
        let mut payload = Vec::new();
        image(key, &mut payload);
        // A longer one, once written, would not be read again.
        if payload.len() > self.settings.longest {
            return Err(too_long(key));
        }
        Ok(Record { kind: Kind::Whole, tag: 0, key, payload })
    }

    fn write(&mut self, step: &mut Step) -> io::Result<()> {
        // Room for all of it at first, so that it doesn't grow out of a small piece that another thread's arena once gave.
        let waiting: u64 = self.waiting.iter().map(Record::bytes).sum();
        let mut buffer = Vec::with_capacity(waiting.min(self.settings.segment) as usize);
        let mut done = 0;
        while done < self.waiting.len() {
            let record = &self.waiting[done];
            let newest = self.segments.back().map_or(u64::MAX, |segment| segment.bytes);
            let fits = newest.saturating_add(record.bytes()) <= self.settings.segment;
            if self.file.is_none() || self.needs_new_segment || !fits {
                // What lies in the segments before stays there.
                let lies = self.waiting.drain(..done);
                match self.settings.durability {
                    Durability::Process => drop(lies),
                    _ => self.unsynced.extend(lies),
                }
                done = 0;
                self.start_segment()?;
                continue;
            }
            // As many as go into this segment, in one write.
            let segment = self.segments.back().expect("rolled");
            let (number, start) = (segment.number, segment.bytes);
            buffer.clear();
            let mut count = 0;
            for record in &self.waiting[done..] {
                let offset = start + buffer.len() as u64;
                if offset + record.bytes() > self.settings.segment {
                    break;
                }
                let place = Place { journal: self.number, segment: number, offset };
                put_record(&mut buffer, place, record.kind, record.tag, record.key.0, &record.payload);
                count += 1;
            }
            let file = self.file.as_mut().expect("rolled");
            if let Err(e) = self.store.append_all(file, &buffer) {
                // What came of it is cut off again, or the next record goes elsewhere.
                self.needs_new_segment = self.store.truncate(file, start).is_err();
                self.may_hold_failed_write = self.needs_new_segment;
                if self.needs_new_segment {
                    // This segment ends at its last sync: what came since goes again as well.
                    let again = std::mem::take(&mut self.unsynced);
                    self.waiting.splice(0..0, again);
                }
                return Err(e);
            }
            self.segments.back_mut().expect("rolled").bytes += buffer.len() as u64;
            self.used += buffer.len() as u64;
            if self.settings.durability == Durability::Process {
                self.sound += buffer.len() as u64;
            }
            step.written += buffer.len() as u64;
            let begins = |record: &&Record| matches!(record.kind, Kind::Open | Kind::Whole);
            let keys = self.waiting[done..done + count].iter().filter(begins).map(|record| record.key);
            for key in keys.collect::<Vec<_>>() {
                self.base_on(key, Some(number));
            }
            done += count;
        }
        let written = self.waiting.drain(..);
        match self.settings.durability {
            Durability::Process => drop(written),
            _ => self.unsynced.extend(written),
        }
        Ok(())
    }

    /// Begins the next segment. The one before is synced first where that was promised: later ones must not be found
    /// without it.
    fn start_segment(&mut self) -> io::Result<()> {
        let syncs = self.settings.durability != Durability::Process;
        if syncs && !self.needs_new_segment && self.file.is_some() {
            self.sync_file()?;
        }
        let before = self.sound;
        let number = self.segments.back().map_or(self.first, |segment| segment.number + 1);
        let mut file = self.store.create(&segment_name(number))?;
        self.store.append_all(&mut file, &format::segment_head(self.number, number, before, self.next))?;
        if syncs {
            self.store.sync(&file)?;
            self.store.sync_names()?;
        }
        self.segments.push_back(Segment { number, bytes: SEGMENT_HEAD as u64 });
        self.used += SEGMENT_HEAD as u64;
        self.file = Some(file);
        self.sound = SEGMENT_HEAD as u64;
        self.needs_new_segment = false;
        Ok(())
    }

    fn sync(&mut self, now: Duration, step: &mut Step) -> io::Result<()> {
        let due = match self.settings.durability {
            Durability::Process => false,
            Durability::Batch => !self.unsynced.is_empty(),
            Durability::Interval(every) => {
                !self.unsynced.is_empty() && now.saturating_sub(self.synced_at) >= every
            }
        };
        if due { self.sync_now(now, step) } else { Ok(()) }
    }

    fn sync_now(&mut self, now: Duration, step: &mut Step) -> io::Result<()> {
        self.sync_file()?;
        self.synced_at = now;
        step.synced = true;
        Ok(())
    }

    fn sync_file(&mut self) -> io::Result<()> {
        let Some(file) = &self.file else { return Ok(()) };
        if let Err(e) = self.store.sync(file) {
            // The disk content is undefined after a failed sync, and a later sync may succeed without having written it.
            // All records since the last good sync are written again to a new segment and ignored in this one.
            self.needs_new_segment = true;
            let again = std::mem::take(&mut self.unsynced);
            self.waiting.splice(0..0, again);
            return Err(e);
        }
        self.unsynced.clear();
        self.sound = self.segments.back().map_or(0, |segment| segment.bytes);
        Ok(())
    }

    /// Removes the oldest segments that hold the base of no open item.
    fn retire(&mut self, now: Duration, step: &mut Step) -> io::Result<()> {
        let newest = self.segments.back().map_or(0, |segment| segment.number);
        let first = self.keys_by_base.first_key_value().map_or(newest, |(first, _)| *first).min(newest);
        let old = self.segments.iter().take_while(|segment| segment.number < first).count();
        if old == 0 && !self.manifest_behind {
            return Ok(());
        }
        // Records moved out of these segments have to be synced before the segments are removed.
        if !self.unsynced.is_empty() {
            self.sync_now(now, step)?;
        }
        self.manifest_behind = true;
        self.write_manifest(first)?;
        self.manifest_behind = false;
        for _ in 0..old {
            let segment = self.segments.pop_front().expect("counted");
            self.used -= segment.bytes;
            step.retired += 1;
            // One that stays is removed at the next start: the manifest doesn't name it any more.
            _ = self.store.remove(&segment_name(segment.number));
        }
        Ok(())
    }

    fn write_manifest(&mut self, first: u64) -> io::Result<()> {
        let syncs = self.settings.durability != Durability::Process;
        let mut file = self.store.create(NEXT_MANIFEST)?;
        self.store.append_all(&mut file, &Manifest { journal: self.number, first }.bytes())?;
        if syncs {
            self.store.sync(&file)?;
        }
        self.store.rename(NEXT_MANIFEST, MANIFEST)?;
        if syncs {
            self.store.sync_names()?;
        }
        Ok(())
    }
}
