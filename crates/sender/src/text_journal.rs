//! The journal in the folder that outlasts the process: what is owed, and what was sent for it.
//!
//! Each text is an item of an [`indigomast_journal`]: it is begun when it is taken on, noted on with each submit, and
//! closed when nothing more is owed for it. What the records say of the texts still at hand is kept in memory too.
//! Notes say the same when they are read twice. The format is written down in `docs/journal.md`.

use crate::limits::Limits;
use crate::log;
use crate::product_table::ProductSettings;
use crate::texts_log::{self, Carried};
use indigomast::api::SubmitHistory;
use indigomast::time::Moment;
use indigomast_journal::{Entry, Folder, Journal, Key, Recovered, Settings, Store};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

const FOLDER: &str = "journal";

const LOCK_PAUSE: Duration = Duration::from_millis(10);

/// Tags of notes.
const SUBMITTED: u8 = 1;
const NEVER_RAN: u8 = 2;
const ENDED: u8 = 3;

/// A clock that is behind the last life's by no more than this was not set back. Far under what is kept clear of the end
/// of a receiver's memory, which may be a second in all.
const CLOCK_SLACK_MS: f64 = 50.0;

/// When a submit was sent of which only that is known that it was.
const LONG_AGO_MS: f64 = 0.0;

/// The least payload of a note on a submit; what damage swallowed holds no more of them than fit.
const LEAST_SUBMITTED: usize = 1 + 8 + 1;

/// A text as its client handed it in. Times are Unix time in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct TextInfo {
    pub id: String,
    pub mark: Option<String>,
    pub product: String,
    pub key: Option<String>,
    pub dest: u64,
    pub until_ms: f64,
}

impl TextInfo {
    /// A checksum of what a receiver is sent of a text, and of what its order hangs on.
    pub fn fingerprint(&self, body: &[u8]) -> u32 {
        let mut sum = crc32fast::Hasher::new();
        // Its terms may have changed between two tries of a client.
        let product = crate::product_table::product_name(&self.product);
        let parts = [Some(product), self.mark.as_deref(), self.key.as_deref()];
        for part in parts {
            // Lengths keep "a" "bc" from passing for "ab" "c".
            sum.update(&part.map_or(u64::MAX, |part| part.len() as u64).to_le_bytes());
            sum.update(part.map_or(&[][..], |part| part.as_bytes()));
        }
        sum.update(&self.dest.to_le_bytes());
        sum.update(body);
        sum.finalize()
    }
}

/// How a text that was not delivered ended.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub enum Report {
    Nacked { again_ms: Option<f64> },
    Undeliverable,
}

/// When, and in which zone, a submit was sent.
pub(crate) type SubmitOrigin = (f64, String);

/// What the next life has to know of a text's submits. It takes the same room for one as for many.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct JournaledSubmits {
    pub submits: usize,
    /// The first submit before the last that may have run.
    pub doubt: Option<SubmitOrigin>,
    /// The last submit, unless it is known that it never ran.
    pub last: Option<SubmitOrigin>,
}

impl JournaledSubmits {
    /// The submit with this number, counted from 0; heard twice it counts once.
    pub(crate) fn submitted(&mut self, submit: usize, at_ms: f64, zone: String) {
        if submit >= self.submits {
            self.submits = submit + 1;
            let before = self.last.replace((at_ms, zone));
            self.doubt = self.doubt.take().or(before);
        }
    }

    /// An earlier submit than the last stays in doubt: too much doubt does no harm.
    pub(crate) fn never_ran(&mut self, submit: usize) {
        if self.submits == submit + 1 {
            self.last = None;
        }
    }
}

#[derive(Debug, Clone, PartialEq)]
pub struct OutstandingText {
    pub info: TextInfo,
    pub body: Arc<[u8]>,
    pub report: Option<Report>,
    pub(crate) sent: JournaledSubmits,
    pub(crate) taken_ms: f64,
    bytes: u64,
}

impl OutstandingText {
    pub fn submits(&self) -> usize {
        self.sent.submits
    }

    /// Whether a submit may have run that nobody knows the end of.
    pub fn is_in_doubt(&self) -> bool {
        self.sent.doubt.is_some() || self.sent.last.is_some()
    }

    /// When it was taken on, in Unix time.
    pub fn taken_ms(&self) -> f64 {
        self.taken_ms
    }

    /// What the decisions have to know of earlier submits; those without an outcome may have run.
    pub fn past(&self, zone: impl Fn(&str) -> indigomast::api::ZoneId) -> SubmitHistory {
        let first_in_doubt = self.sent.doubt.as_ref().or(self.sent.last.as_ref());
        let first_in_doubt = first_in_doubt.map(|(at_ms, name)| (Moment::from_millis(*at_ms), zone(name)));
        SubmitHistory { submits: self.sent.submits, first_in_doubt }
    }

    /// The latest time that it tells of, other than its own end.
    fn newest_ms(&self) -> f64 {
        let sent = [&self.sent.doubt, &self.sent.last].into_iter().flatten().map(|(at_ms, _)| *at_ms);
        sent.fold(self.taken_ms, f64::max)
    }

    /// Moves what is to come. How long ago a submit was nobody knows any more: its receiver may have forgotten it.
    fn shift(&mut self, by_ms: f64) {
        self.taken_ms += by_ms;
        self.info.until_ms += by_ms;
        let last = self.sent.last.take();
        self.sent.doubt = self.sent.doubt.take().or(last).map(|(_, zone)| (LONG_AGO_MS, zone));
    }
}

/// An item's beginning, and all that is known of it when it is moved on; the body follows.
#[derive(Serialize, Deserialize)]
struct Stored<'a> {
    taken_ms: f64,
    #[serde(borrow)]
    info: StoredInfo<'a>,
    sent: JournaledSubmits,
    report: Option<Report>,
}

/// [`TextInfo`] without copies.
#[derive(Serialize, Deserialize)]
struct StoredInfo<'a> {
    id: &'a str,
    mark: Option<&'a str>,
    product: &'a str,
    key: Option<&'a str>,
    dest: u64,
    until_ms: f64,
}

/// An item that begins so is no text: a text begins with the time at which it was taken on, and this is no number.
const NO_TEXT: [u8; 8] = [0xff; 8];

/// What the journal keeps beside texts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AuxiliaryRecord {
    /// What a product's name in texts stands for.
    Terms { reference: String, terms: ProductSettings },
    /// Operators took this endpoint out and have not given it back.
    Out { endpoint: String },
}

impl AuxiliaryRecord {
    fn store(&self, mut into: Vec<u8>) -> Vec<u8> {
        into.extend(NO_TEXT);
        postcard::to_extend(self, into).expect("plain data")
    }
}

fn store(owed: &OutstandingText, into: Vec<u8>) -> Vec<u8> {
    let TextInfo { id, mark, product, key, dest, until_ms } = &owed.info;
    let stored = Stored {
        taken_ms: owed.taken_ms,
        info: StoredInfo {
            id,
            mark: mark.as_deref(),
            product,
            key: key.as_deref(),
            dest: *dest,
            until_ms: *until_ms,
        },
        sent: owed.sent.clone(),
        report: owed.report,
    };
    let mut payload = postcard::to_extend(&stored, into).expect("plain data");
    payload.extend_from_slice(&owed.body);
    payload
}

fn restore(payload: &[u8]) -> Option<OutstandingText> {
    let (Stored { taken_ms, info, sent, report }, body) = postcard::take_from_bytes(payload).ok()?;
    let StoredInfo { id, mark, product, key, dest, until_ms } = info;
    let owned = |part: Option<&str>| part.map(str::to_owned);
    let info = TextInfo {
        id: id.to_owned(),
        mark: owned(mark),
        product: product.to_owned(),
        key: owned(key),
        dest,
        until_ms,
    };
    Some(OutstandingText { info, body: body.into(), report, sent, taken_ms, bytes: payload.len() as u64 })
}

/// What a journal holds, as it is read.
#[derive(Default)]
struct Reading {
    owed: BTreeMap<usize, OutstandingText>,
    kept: BTreeMap<usize, AuxiliaryRecord>,
    /// Sound records that say nothing to this program.
    unread: u64,
}

impl Reading {
    fn hear(&mut self, key: Key, entry: Entry) {
        let text = key.0 as usize;
        let known = match entry {
            Entry::Open(payload) | Entry::Whole(payload) if payload.starts_with(&NO_TEXT) => {
                let kept = postcard::from_bytes(&payload[NO_TEXT.len()..]).ok();
                let known = kept.is_some();
                kept.map(|kept| self.kept.insert(text, kept));
                known
            }
            Entry::Open(payload) | Entry::Whole(payload) => {
                let owed = restore(payload);
                let known = owed.is_some();
                owed.map(|owed| self.owed.insert(text, owed));
                known
            }
            Entry::Close => {
                self.owed.remove(&text);
                self.kept.remove(&text);
                true
            }
            Entry::Note(tag, payload) => {
                let noted = self.owed.get_mut(&text).and_then(|owed| note(owed, tag, payload));
                noted.is_some()
            }
        };
        self.unread += u64::from(!known);
    }
}

fn note(owed: &mut OutstandingText, tag: u8, payload: &[u8]) -> Option<()> {
    match tag {
        SUBMITTED => {
            let (submit, at_ms, zone) = postcard::from_bytes(payload).ok()?;
            owed.sent.submitted(submit, at_ms, zone);
        }
        NEVER_RAN => owed.sent.never_ran(postcard::from_bytes(payload).ok()?),
        ENDED => {
            owed.report = Some(postcard::from_bytes(payload).ok()?);
            owed.body = Arc::default();
        }
        _ => return None,
    }
    Some(())
}

/// What a journal that nobody uses holds.
pub struct JournalContents {
    pub recovered: Recovered,
    pub outstanding: BTreeMap<usize, OutstandingText>,
    pub auxiliary: Vec<AuxiliaryRecord>,
    /// Sound records that say nothing to this program.
    pub unreadable: u64,
    /// Bytes of all segments, and of what is owed in them.
    pub used_bytes: u64,
    pub live_bytes: u64,
}

/// The process before may be a moment behind its own end.
fn take_folder(path: &Path, wait: Duration) -> io::Result<Folder> {
    let by = Instant::now() + wait;
    loop {
        match Folder::open(path) {
            Err(e) if e.kind() == ErrorKind::ResourceBusy && Instant::now() < by => {
                thread::sleep(LOCK_PAUSE);
            }
            taken => return taken,
        }
    }
}

/// The folder of the journal: the one named, or the one in it.
fn folder_of(path: &Path) -> PathBuf {
    let inner = path.join(FOLDER);
    if inner.is_dir() { inner } else { path.to_owned() }
}

/// Reads a journal that no process uses, and changes nothing.
pub fn read_contents(path: &Path) -> io::Result<JournalContents> {
    let folder = Folder::open_used(&folder_of(path))?;
    let mut reading = Reading::default();
    let (journal, recovered) = Journal::look(folder, usize::MAX, &mut |key, entry| reading.hear(key, entry))?;
    let Reading { owed: outstanding, kept, unread: unreadable } = reading;
    let auxiliary = kept.into_values().collect();
    Ok(JournalContents {
        recovered,
        outstanding,
        auxiliary,
        unreadable,
        used_bytes: journal.used(),
        live_bytes: journal.held(),
    })
}

/// Writes what is owed in a journal that no process uses anew, and gives back the rest; the bytes of all segments
/// before and after. One with damage is left as it is: what is damaged may be wanted yet.
pub fn compact(path: &Path) -> io::Result<(u64, u64)> {
    let looked = read_contents(path)?;
    if !looked.recovered.damage.is_empty() || looked.recovered.manifest_lost || looked.unreadable > 0 {
        return Err(io::Error::new(ErrorKind::InvalidData, "it is damaged, and is left as it is"));
    }
    let longest = looked.outstanding.values().map(|owed| store(owed, Vec::new()).len()).max().unwrap_or(0);
    let folder = Folder::open_used(&folder_of(path))?;
    let segment = (4 << 20).max(4 * longest as u64);
    let settings = Settings {
        segment,
        most: (16 * segment).max(4 * looked.used_bytes),
        longest: segment as usize / 4,
        step: 0,
        durability: indigomast_journal::Durability::Batch,
    };
    let mut reading = Reading::default();
    let (mut journal, _) = Journal::open(folder, settings, 0, &mut |key, entry| reading.hear(key, entry))?;
    let before = journal.used();
    journal.compact(Duration::ZERO, &mut |key, into| image(&reading.owed, &reading.kept, key, into))?;
    Ok((before, journal.used()))
}

fn image(
    owed: &BTreeMap<usize, OutstandingText>,
    kept: &BTreeMap<usize, AuxiliaryRecord>,
    key: Key,
    into: &mut Vec<u8>,
) {
    if let Some(owed) = owed.get(&(key.0 as usize)) {
        *into = store(owed, std::mem::take(into));
    } else if let Some(kept) = kept.get(&(key.0 as usize)) {
        *into = kept.store(std::mem::take(into));
    }
}

pub struct TextJournal<S: Store = Folder> {
    records: Journal<S>,
    owed: BTreeMap<usize, OutstandingText>,
    kept: BTreeMap<usize, AuxiliaryRecord>,
    /// What the texts at hand take, or may still take.
    bytes: u64,
    /// Texts that have not ended.
    held: usize,
    most_texts: u64,
    reserve: u64,
    most_owed: usize,
    began: Instant,
    /// Segments given back.
    pub compactions: usize,
}

impl TextJournal {
    /// Opens the journal, reads what an earlier life left in it, and carries over a log of the format before.
    pub fn open(folder: &Path, limits: &Limits, now: Moment) -> io::Result<TextJournal> {
        let mut journal =
            TextJournal::with_store(take_folder(&folder.join(FOLDER), limits.lock_wait)?, limits, now)?;
        if let Some(carried) = texts_log::read(folder)? {
            let count = journal.carry_over(carried, now)?;
            log!("{count} texts were carried over from a log of the format before");
            texts_log::remove(folder)?;
        }
        Ok(journal)
    }
}

impl<S: Store> TextJournal<S> {
    pub fn with_store(store: S, limits: &Limits, now: Moment) -> io::Result<TextJournal<S>> {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        // Tells this journal from all others, if it is a new one.
        let number = since.as_nanos() as u64 ^ u64::from(std::process::id()) << 40;
        let mut reading = Reading::default();
        let settings = limits.journal.clone();
        let (records, recovered) =
            Journal::open(store, settings, number, &mut |key, entry| reading.hear(key, entry))?;
        if reading.unread > 0 {
            // Their checksums hold, so another program wrote them, which may want them yet.
            let what = format!("{} sound records can't be read by this program", reading.unread);
            return Err(io::Error::new(ErrorKind::InvalidData, what));
        }
        let mut journal = TextJournal {
            records,
            owed: reading.owed,
            kept: reading.kept,
            bytes: 0,
            held: 0,
            most_texts: limits.log_texts,
            reserve: limits.log_reserve,
            most_owed: limits.texts,
            began: Instant::now(),
            compactions: 0,
        };
        journal.tell(&recovered);
        journal.suspect(&recovered, limits.submits);
        for (text, owed) in &mut journal.owed {
            owed.bytes = store_length(owed) + journal.reserve;
            journal.bytes += owed.bytes;
            journal.held += usize::from(owed.report.is_none());
            journal.records.reserve(Key(*text as u64), journal.reserve);
        }
        journal.set_right(now)?;
        Ok(journal)
    }

    fn tell(&self, recovered: &Recovered) {
        if let Some(torn) = recovered.torn {
            log!("the journal ends in a torn record: {} bytes dropped", torn.bytes);
        }
        if recovered.manifest_lost {
            log!("the journal's manifest can't be read; its segments say the same");
        }
        for damage in &recovered.damage {
            let (segment, offset) = (damage.segment, damage.offset);
            match damage.bytes {
                0 => log!("the journal is damaged: segment {segment:016x} is missing"),
                bytes => {
                    log!("the journal is damaged: segment {segment:016x}, {bytes} bytes at offset {offset}")
                }
            }
        }
        if !recovered.suspects.is_empty() {
            let count = recovered.suspects.len();
            log!("{count} texts may have lost something to the damage and count as sent as often as may be");
        }
    }

    /// What may have been lost of a text was: it counts as submitted as often as the lost bytes can have told of, and as
    /// one that may have run, from its beginning on.
    fn suspect(&mut self, recovered: &Recovered, most: usize) {
        let lost = recovered.most_lost(LEAST_SUBMITTED).map_or(most, |lost| lost.min(most as u64) as usize);
        for key in &recovered.suspects {
            let Some(owed) = self.owed.get_mut(&(key.0 as usize)) else { continue };
            if lost == 0 {
                continue;
            }
            let sent = &mut owed.sent;
            sent.submits = (sent.submits + lost).min(most.max(sent.submits));
            let zone = sent.last.as_ref().or(sent.doubt.as_ref()).map(|(_, zone)| zone.clone());
            sent.doubt = Some((owed.taken_ms, zone.unwrap_or_default()));
        }
    }

    /// A clock that was set back between two lives would have texts outlive their time: all is moved by as much as the
    /// newest time known lies ahead. That is the least that it was set back by, so a doubt is older than it seems, and
    /// counts as old. One that was set forward looks like a long absence; one that was set back by less than the absence
    /// can't be told from one that was not.
    fn set_right(&mut self, now: Moment) -> io::Result<()> {
        let newest = self.owed.values().map(OutstandingText::newest_ms).fold(f64::MIN, f64::max);
        let ahead = newest - now.as_millis();
        if ahead <= CLOCK_SLACK_MS {
            return Ok(());
        }
        log!(
            "the clock was set back by {ahead:.0} ms or more since the last life; what is owed is moved by that"
        );
        self.owed.values_mut().for_each(|owed| owed.shift(-ahead));
        // Written anew, so that the life after this one doesn't do it again.
        let (owed, kept) = (&self.owed, &self.kept);
        self.records.compact(self.began.elapsed(), &mut |key, into| image(owed, kept, key, into))?;
        Ok(())
    }

    /// Takes over what the log of the format before owes, unless an earlier start that didn't come to its end has.
    fn carry_over(&mut self, carried: Vec<Carried>, now: Moment) -> io::Result<usize> {
        let known: BTreeMap<String, usize> =
            self.owed.iter().map(|(text, owed)| (owed.info.id.clone(), *text)).collect();
        let mut count = 0;
        for Carried { info, body, report, sent } in carried {
            if let Some(text) = known.get(&info.id) {
                if self.owed[text].sent.submits >= sent.submits {
                    continue;
                }
                // The format before was gone back to in between, and knows more of this text.
                self.remove(*text);
                self.records.close(Key(*text as u64));
            }
            let taken_ms = now.as_millis();
            let owed = OutstandingText { info, body, report, sent, taken_ms, bytes: 0 };
            if self.begin(owed).is_none() {
                return Err(io::Error::new(
                    ErrorKind::StorageFull,
                    "a log of the format before holds more than the journal may",
                ));
            }
            count += 1;
        }
        self.flush()?;
        Ok(count)
    }

    pub fn outstanding(&self) -> &BTreeMap<usize, OutstandingText> {
        &self.owed
    }

    pub fn unfinished(&self) -> usize {
        self.held
    }

    pub fn into_store(self) -> S {
        self.records.into_store()
    }

    fn remove(&mut self, text: usize) {
        if let Some(owed) = self.owed.remove(&text) {
            self.held -= usize::from(owed.report.is_none());
            self.bytes -= owed.bytes;
        }
    }

    fn begin(&mut self, mut owed: OutstandingText) -> Option<usize> {
        let payload = store(&owed, Vec::new());
        owed.bytes = payload.len() as u64 + self.reserve;
        if self.bytes + owed.bytes > self.most_texts || self.owed.len() >= self.most_owed {
            return None;
        }
        let text = self.records.begin(&payload, self.reserve).ok()?.0 as usize;
        self.bytes += owed.bytes;
        self.held += usize::from(owed.report.is_none());
        self.owed.insert(text, owed);
        Some(text)
    }

    /// Takes a text into the journal, if there is room for it and all that will be written of it.
    pub fn accept(&mut self, info: TextInfo, body: Arc<[u8]>, now: Moment) -> Option<usize> {
        let taken_ms = now.as_millis();
        self.begin(OutstandingText {
            info,
            body,
            report: None,
            sent: JournaledSubmits::default(),
            taken_ms,
            bytes: 0,
        })
    }

    fn note<T: Serialize>(&mut self, text: usize, tag: u8, said: &T) {
        let payload = postcard::to_extend(said, Vec::new()).expect("plain data");
        self.records.note(Key(text as u64), tag, &payload);
    }

    /// Notes the next submit of a text.
    pub fn record_submit(&mut self, text: usize, at: Moment, zone: &str) {
        let Some(owed) = self.owed.get_mut(&text) else { return };
        let submit = owed.sent.submits;
        owed.sent.submitted(submit, at.as_millis(), zone.to_owned());
        self.note(text, SUBMITTED, &(submit, at.as_millis(), zone));
    }

    /// A submit that never ran, so that no doubt is left of it.
    pub fn record_never_ran(&mut self, text: usize, submit: usize) {
        if let Some(owed) = self.owed.get_mut(&text) {
            owed.sent.never_ran(submit);
            self.note(text, NEVER_RAN, &submit);
        }
    }

    /// Over, but for the report, if there is one.
    pub fn record_end(&mut self, text: usize, report: Option<Report>) {
        let Some(report) = report else { return self.record_reported(text) };
        let Some(owed) = self.owed.get_mut(&text) else { return };
        self.held -= usize::from(owed.report.replace(report).is_none());
        let spared = std::mem::take(&mut owed.body).len() as u64;
        owed.bytes -= spared;
        self.bytes -= spared;
        self.note(text, ENDED, &report);
    }

    pub fn record_reported(&mut self, text: usize) {
        self.remove(text);
        self.records.close(Key(text as u64));
    }

    /// Brings all that was added to the disk, as surely as was asked for. On an error nothing added since the last
    /// flush may be promised, and the next one writes it again.
    pub fn flush(&mut self) -> io::Result<()> {
        let (owed, kept) = (&self.owed, &self.kept);
        let step =
            self.records.commit(self.began.elapsed(), &mut |key, into| image(owed, kept, key, into))?;
        self.compactions += step.retired;
        Ok(())
    }

    pub fn auxiliary_records(&self) -> impl Iterator<Item = &AuxiliaryRecord> {
        self.kept.values()
    }

    /// Keeps something beside the texts; whether there is room for it. Not for sure before the next flush.
    pub fn add_auxiliary(&mut self, kept: AuxiliaryRecord) -> bool {
        if self.kept.values().any(|other| *other == kept) {
            return true;
        }
        let Ok(key) = self.records.begin(&kept.store(Vec::new()), 0) else { return false };
        self.kept.insert(key.0 as usize, kept);
        true
    }

    pub fn remove_auxiliary(&mut self, gone: impl Fn(&AuxiliaryRecord) -> bool) {
        let gone: Vec<usize> =
            self.kept.iter().filter(|(_, kept)| gone(kept)).map(|(text, _)| *text).collect();
        for text in gone {
            self.kept.remove(&text);
            self.records.close(Key(text as u64));
        }
    }

    /// Something kept that could not be written after all.
    pub fn abandon_auxiliary(&mut self, kept: &AuxiliaryRecord) {
        let found = self.kept.iter().find(|(_, other)| *other == kept).map(|(text, _)| *text);
        if let Some(text) = found {
            self.kept.remove(&text);
            self.records.abandon(Key(text as u64));
        }
    }

    /// From now on texts may be submitted so often.
    pub fn raise_reserve(&mut self, reserve: u64) {
        self.reserve = self.reserve.max(reserve);
    }

    /// Whether a next life may find a text though the last flush failed. Its client can't be told then that handing it in
    /// again is harmless.
    pub fn may_be_recovered(&self, text: usize) -> bool {
        self.records.may_be_found(Key(text as u64))
    }

    /// Forgets a text that could not be written, so that nothing is owed for it.
    pub fn abandon(&mut self, text: usize) {
        self.remove(text);
        self.records.abandon(Key(text as u64));
    }
}

fn store_length(owed: &OutstandingText) -> u64 {
    store(owed, Vec::new()).len() as u64
}

/// How long the longest payload of a journal is whose texts have bodies, names, products and zones of at most so many
/// bytes, with all that may come to be known of them.
pub fn longest_payload(body: usize, name: usize, product: usize, zone: usize) -> usize {
    // Lengths, times and options take up to 80 bytes.
    body + 3 * name + product + 2 * zone + 80
}

/// What may be noted of a text with so many submits, in bytes of the journal.
pub fn reserve_bytes(submits: usize, zone: usize) -> u64 {
    let head = 24;
    let submitted = head + 3 + 8 + 2 + zone;
    let never_ran = head + 3;
    let ended = head + 2 + 8;
    (submits * (submitted + never_ran) + ended) as u64
}
