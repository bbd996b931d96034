//! The durable journal of accepted texts and of the submits sent for them.
//!
//! Each text is an item of an [`indigomast_journal`]: opened when the text is accepted, annotated on each
//! submit, and closed when no delivery and no report is outstanding. The state of all open items is also held
//! in memory. Notes are idempotent, so replaying one twice is harmless. The format is documented in
//! `docs/journal.md`.

use crate::limits::Limits;
use crate::log;
use crate::product_table::ProductSettings;
use crate::texts_log::{self, ImportedText};
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

/// Pause between attempts to lock the journal folder.
const LOCK_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Tags that tell the kinds of notes on a text apart.
const SUBMITTED: u8 = 1;
const NEVER_RAN: u8 = 2;
const ENDED: u8 = 3;

/// A wall clock that lags the newest recorded time by no more than this does not count as set back. It is far
/// below the margin kept before a receiver's deduplication memory expires, which may be one second in all.
const CLOCK_SLACK_MS: f64 = 50.0;

/// Send time assumed for a submit that is known to have been sent, but not when.
const UNKNOWN_SEND_TIME_MS: f64 = 0.0;

/// The smallest payload of a note on a submit. It bounds how many such notes a damaged range can have held.
const MIN_SUBMIT_NOTE: usize = 1 + 8 + 1;

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
    /// A checksum of everything a receiver is sent of a text and of what decides its order.
    pub fn fingerprint(&self, body: &[u8]) -> u32 {
        let mut hasher = crc32fast::Hasher::new();
        // Only the product's name counts: its settings may change between two attempts of a client.
        let product = crate::product_table::product_name(&self.product);
        let parts = [Some(product), self.mark.as_deref(), self.key.as_deref()];
        for part in parts {
            // Length prefixes distinguish "a", "bc" from "ab", "c".
            hasher.update(&part.map_or(u64::MAX, |part| part.len() as u64).to_le_bytes());
            hasher.update(part.map_or(&[][..], |part| part.as_bytes()));
        }
        hasher.update(&self.dest.to_le_bytes());
        hasher.update(body);
        hasher.finalize()
    }
}

/// The final status of a text that was not delivered.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq)]
pub enum Report {
    Nacked { again_ms: Option<f64> },
    Undeliverable,
}

/// When a submit was sent, in Unix milliseconds, and to which zone.
pub(crate) type SubmitOrigin = (f64, String);

/// What a restarted process needs to know of a text's submits. Its size does not grow with their number.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct JournaledSubmits {
    pub submits: usize,
    /// The earliest submit, other than the last one, that may have run.
    pub doubt: Option<SubmitOrigin>,
    /// The last submit, unless it is known not to have run.
    pub last: Option<SubmitOrigin>,
}

impl JournaledSubmits {
    /// Records the submit with this number, counted from 0. Recording it again changes nothing.
    pub(crate) fn submitted(&mut self, submit: usize, at_ms: f64, zone: String) {
        if submit >= self.submits {
            self.submits = submit + 1;
            let before = self.last.replace((at_ms, zone));
            self.doubt = self.doubt.take().or(before);
        }
    }

    /// Clears the last submit if this is its number. An earlier one stays in doubt, which is the safe side.
    pub(crate) fn never_ran(&mut self, submit: usize) {
        if self.submits == submit + 1 {
            self.last = None;
        }
    }
}

/// An accepted text that still has to be delivered or whose failure still has to be reported.
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
    /// The number of submits so far.
    pub fn submits(&self) -> usize {
        self.sent.submits
    }

    /// Whether a submit with an unknown outcome may have run.
    pub fn is_in_doubt(&self) -> bool {
        self.sent.doubt.is_some() || self.sent.last.is_some()
    }

    /// When it was accepted, in Unix milliseconds.
    pub fn taken_ms(&self) -> f64 {
        self.taken_ms
    }

    /// The submit history for the decision logic. Submits without an outcome may have run.
    pub fn past(&self, zone: impl Fn(&str) -> indigomast::api::ZoneId) -> SubmitHistory {
        let first_in_doubt = self.sent.doubt.as_ref().or(self.sent.last.as_ref());
        let first_in_doubt = first_in_doubt.map(|(at_ms, name)| (Moment::from_millis(*at_ms), zone(name)));
        SubmitHistory { submits: self.sent.submits, first_in_doubt }
    }

    /// The latest recorded time, not counting the end of its validity period.
    fn latest_ms(&self) -> f64 {
        let sent = [&self.sent.doubt, &self.sent.last].into_iter().flatten().map(|(at_ms, _)| *at_ms);
        sent.fold(self.taken_ms, f64::max)
    }

    /// Shifts the acceptance time and the deadline. The age of earlier submits is unknown afterwards: the
    /// receiver's deduplication memory of them may have expired.
    fn shift_times(&mut self, by_ms: f64) {
        self.taken_ms += by_ms;
        self.info.until_ms += by_ms;
        let last = self.sent.last.take();
        self.sent.doubt = self.sent.doubt.take().or(last).map(|(_, zone)| (UNKNOWN_SEND_TIME_MS, zone));
    }
}

/// The head of an item's opening record, and of its full image when compaction moves it. The body follows.
#[derive(Serialize, Deserialize)]
struct Stored<'a> {
    taken_ms: f64,
    #[serde(borrow)]
    info: StoredInfo<'a>,
    sent: JournaledSubmits,
    report: Option<Report>,
}

/// [`TextInfo`] with borrowed strings.
#[derive(Serialize, Deserialize)]
struct StoredInfo<'a> {
    id: &'a str,
    mark: Option<&'a str>,
    product: &'a str,
    key: Option<&'a str>,
    dest: u64,
    until_ms: f64,
}

/// Prefix of items that are not texts. A text starts with its acceptance time as a float, and these bytes are
/// a NaN.
const NON_TEXT_PREFIX: [u8; 8] = [0xff; 8];

/// A record that the journal keeps beside the texts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AuxiliaryRecord {
    /// The settings that a product reference in texts stands for.
    Terms { reference: String, terms: ProductSettings },
    /// Operators took this endpoint out of service and have not returned it.
    Out { endpoint: String },
}

impl AuxiliaryRecord {
    fn encode(&self, mut into: Vec<u8>) -> Vec<u8> {
        into.extend(NON_TEXT_PREFIX);
        postcard::to_extend(self, into).expect("plain data")
    }
}

/// What the names, times and marks of a text take at most, as a rule.
const USUAL_HEAD: usize = 640;

fn encode(owed: &OutstandingText, mut into: Vec<u8>) -> Vec<u8> {
    // Room for all of it at first: an allocation that grows stays in the allocator's arena in which it began, which is
    // that of any thread whose small piece came to be free here, and each of them keeps room for a body then.
    into.reserve(USUAL_HEAD + owed.body.len());
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

fn decode(payload: &[u8]) -> Option<OutstandingText> {
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

/// The journal's contents while they are read.
#[derive(Default)]
struct RecoveredState {
    outstanding: BTreeMap<usize, OutstandingText>,
    kept: BTreeMap<usize, AuxiliaryRecord>,
    /// Records with a valid checksum that this program cannot interpret.
    unreadable: u64,
}

impl RecoveredState {
    fn apply(&mut self, key: Key, entry: Entry) {
        let text = key.0 as usize;
        let known = match entry {
            Entry::Open(payload) | Entry::Whole(payload) if payload.starts_with(&NON_TEXT_PREFIX) => {
                let kept = postcard::from_bytes(&payload[NON_TEXT_PREFIX.len()..]).ok();
                let known = kept.is_some();
                kept.map(|kept| self.kept.insert(text, kept));
                known
            }
            Entry::Open(payload) | Entry::Whole(payload) => {
                let owed = decode(payload);
                let known = owed.is_some();
                owed.map(|owed| self.outstanding.insert(text, owed));
                known
            }
            Entry::Close => {
                self.outstanding.remove(&text);
                self.kept.remove(&text);
                true
            }
            Entry::Note(tag, payload) => {
                let noted = self.outstanding.get_mut(&text).and_then(|owed| apply_note(owed, tag, payload));
                noted.is_some()
            }
        };
        self.unreadable += u64::from(!known);
    }
}

fn apply_note(owed: &mut OutstandingText, tag: u8, payload: &[u8]) -> Option<()> {
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

/// The contents of a journal that no process uses.
pub struct JournalContents {
    pub recovered: Recovered,
    pub outstanding: BTreeMap<usize, OutstandingText>,
    pub auxiliary: Vec<AuxiliaryRecord>,
    /// Records with a valid checksum that this program cannot interpret.
    pub unreadable: u64,
    /// Bytes of all segments, and of the live records in them.
    pub used_bytes: u64,
    pub live_bytes: u64,
}

/// Opens the folder, waiting for its lock: the previous process may still be shutting down.
fn open_folder(path: &Path, wait: Duration) -> io::Result<Folder> {
    let by = Instant::now() + wait;
    loop {
        match Folder::open(path) {
            Err(e) if e.kind() == ErrorKind::ResourceBusy && Instant::now() < by => {
                thread::sleep(LOCK_RETRY_DELAY);
            }
            taken => return taken,
        }
    }
}

/// The journal's folder: the subfolder of `path` if there is one, else `path` itself.
fn journal_folder(path: &Path) -> PathBuf {
    let inner = path.join(FOLDER);
    if inner.is_dir() { inner } else { path.to_owned() }
}

/// Reads a journal that no process uses, without changing it.
pub fn read_contents(path: &Path) -> io::Result<JournalContents> {
    let folder = Folder::open_used(&journal_folder(path))?;
    let mut state = RecoveredState::default();
    let (journal, recovered) = Journal::look(folder, usize::MAX, &mut |key, entry| state.apply(key, entry))?;
    let RecoveredState { outstanding, kept, unreadable } = state;
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

/// Rewrites the live records of a journal that no process uses and frees the rest. Returns the bytes of all
/// segments before and after. A damaged journal is left unchanged, since the damaged part may still be
/// needed.
pub fn compact(path: &Path) -> io::Result<(u64, u64)> {
    let looked = read_contents(path)?;
    if !looked.recovered.damage.is_empty() || looked.recovered.manifest_lost || looked.unreadable > 0 {
        return Err(io::Error::new(ErrorKind::InvalidData, "it is damaged, and is left as it is"));
    }
    let longest = looked.outstanding.values().map(|owed| encode(owed, Vec::new()).len()).max().unwrap_or(0);
    let folder = Folder::open_used(&journal_folder(path))?;
    let segment = (4 << 20).max(4 * longest as u64);
    let settings = Settings {
        segment,
        most: (16 * segment).max(4 * looked.used_bytes),
        longest: segment as usize / 4,
        step: 0,
        durability: indigomast_journal::Durability::Batch,
    };
    let mut state = RecoveredState::default();
    let (mut journal, _) = Journal::open(folder, settings, 0, &mut |key, entry| state.apply(key, entry))?;
    let before = journal.used();
    journal
        .compact(Duration::ZERO, &mut |key, into| write_image(&state.outstanding, &state.kept, key, into))?;
    Ok((before, journal.used()))
}

fn write_image(
    owed: &BTreeMap<usize, OutstandingText>,
    kept: &BTreeMap<usize, AuxiliaryRecord>,
    key: Key,
    into: &mut Vec<u8>,
) {
    if let Some(owed) = owed.get(&(key.0 as usize)) {
        *into = encode(owed, std::mem::take(into));
    } else if let Some(kept) = kept.get(&(key.0 as usize)) {
        *into = kept.encode(std::mem::take(into));
    }
}

/// The journal of a running sender.
pub struct TextJournal<S: Store = Folder> {
    records: Journal<S>,
    outstanding: BTreeMap<usize, OutstandingText>,
    kept: BTreeMap<usize, AuxiliaryRecord>,
    /// Bytes that the outstanding texts take, including what is reserved for their notes.
    bytes: u64,
    /// Texts without a final status.
    held: usize,
    max_text_bytes: u64,
    reserve: u64,
    max_outstanding: usize,
    /// Bytes of texts added since the last flush.
    unwritten: usize,
    began: Instant,
    /// Segments freed by compaction.
    pub compactions: usize,
}

impl TextJournal {
    /// Opens the journal, recovers its contents, and imports a log of the previous format.
    pub fn open(folder: &Path, limits: &Limits, now: Moment) -> io::Result<TextJournal> {
        let mut journal =
            TextJournal::with_store(open_folder(&folder.join(FOLDER), limits.lock_wait)?, limits, now)?;
        if let Some(imported) = texts_log::read(folder)? {
            let count = journal.import(imported, now)?;
            log!("{count} texts were carried over from a log of the format before");
            texts_log::remove(folder)?;
        }
        Ok(journal)
    }
}

impl<S: Store> TextJournal<S> {
    /// Opens the journal on a store and recovers its contents.
    pub fn with_store(store: S, limits: &Limits, now: Moment) -> io::Result<TextJournal<S>> {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        // Identifies the journal if it is a new one.
        let number = since.as_nanos() as u64 ^ u64::from(std::process::id()) << 40;
        let mut state = RecoveredState::default();
        let settings = limits.journal.clone();
        let (records, recovered) =
            Journal::open(store, settings, number, &mut |key, entry| state.apply(key, entry))?;
        if state.unreadable > 0 {
            // Their checksums are valid, so another version of the program wrote them and may still need
            // them.
            let what = format!("{} sound records can't be read by this program", state.unreadable);
            return Err(io::Error::new(ErrorKind::InvalidData, what));
        }
        let mut journal = TextJournal {
            records,
            outstanding: state.outstanding,
            kept: state.kept,
            bytes: 0,
            held: 0,
            max_text_bytes: limits.log_texts,
            reserve: limits.log_reserve,
            max_outstanding: limits.texts,
            unwritten: 0,
            began: Instant::now(),
            compactions: 0,
        };
        journal.log_recovery(&recovered);
        journal.apply_losses(&recovered, limits.submits);
        for (text, owed) in &mut journal.outstanding {
            owed.bytes = encoded_length(owed) + journal.reserve;
            journal.bytes += owed.bytes;
            journal.held += usize::from(owed.report.is_none());
            journal.records.reserve(Key(*text as u64), journal.reserve);
        }
        journal.correct_clock_step(now)?;
        Ok(journal)
    }

    fn log_recovery(&self, recovered: &Recovered) {
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

    /// Assumes the worst of texts whose notes may have been lost: as many submits as the lost bytes can have
    /// recorded, and that one may have run at any time since the text was accepted.
    fn apply_losses(&mut self, recovered: &Recovered, most: usize) {
        let lost = recovered.most_lost(MIN_SUBMIT_NOTE).map_or(most, |lost| lost.min(most as u64) as usize);
        for key in &recovered.suspects {
            let Some(owed) = self.outstanding.get_mut(&(key.0 as usize)) else { continue };
            if lost == 0 {
                continue;
            }
            let sent = &mut owed.sent;
            sent.submits = (sent.submits + lost).min(most.max(sent.submits));
            let zone = sent.last.as_ref().or(sent.doubt.as_ref()).map(|(_, zone)| zone.clone());
            sent.doubt = Some((owed.taken_ms, zone.unwrap_or_default()));
        }
    }

    /// Corrects for a wall clock that was set back between two runs, which would let texts outlive their
    /// validity period. All times are moved back by the distance from now to the newest recorded time. That
    /// is a lower bound of the step, so submits in doubt are older than they seem and count as arbitrarily
    /// old. A clock set forward looks like a long downtime; one set back by less than the downtime cannot be
    /// detected.
    fn correct_clock_step(&mut self, now: Moment) -> io::Result<()> {
        let newest = self.outstanding.values().map(OutstandingText::latest_ms).fold(f64::MIN, f64::max);
        let ahead = newest - now.as_millis();
        if ahead <= CLOCK_SLACK_MS {
            return Ok(());
        }
        log!(
            "the clock was set back by {ahead:.0} ms or more since the last life; what is owed is moved by that"
        );
        self.outstanding.values_mut().for_each(|owed| owed.shift_times(-ahead));
        // Rewritten at once, so that the next start does not apply the correction again.
        let (owed, kept) = (&self.outstanding, &self.kept);
        self.records.compact(self.began.elapsed(), &mut |key, into| write_image(owed, kept, key, into))?;
        Ok(())
    }

    /// Imports the outstanding texts of the previous format's log. Texts that an interrupted earlier start
    /// has imported are skipped.
    fn import(&mut self, imported: Vec<ImportedText>, now: Moment) -> io::Result<usize> {
        let known: BTreeMap<String, usize> =
            self.outstanding.iter().map(|(text, owed)| (owed.info.id.clone(), *text)).collect();
        let mut count = 0;
        for ImportedText { info, body, report, sent } in imported {
            if let Some(text) = known.get(&info.id) {
                if self.outstanding[text].sent.submits >= sent.submits {
                    continue;
                }
                // A rollback to the previous format has recorded more submits of this text since.
                self.remove(*text);
                self.records.close(Key(*text as u64));
            }
            let taken_ms = now.as_millis();
            let owed = OutstandingText { info, body, report, sent, taken_ms, bytes: 0 };
            if self.add(owed).is_none() {
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

    /// All outstanding texts by number.
    pub fn outstanding(&self) -> &BTreeMap<usize, OutstandingText> {
        &self.outstanding
    }

    /// The number of texts without a final status.
    pub fn unfinished(&self) -> usize {
        self.held
    }

    /// Gives back the store.
    pub fn into_store(self) -> S {
        self.records.into_store()
    }

    fn remove(&mut self, text: usize) {
        if let Some(owed) = self.outstanding.remove(&text) {
            self.held -= usize::from(owed.report.is_none());
            self.bytes -= owed.bytes;
        }
    }

    fn add(&mut self, mut owed: OutstandingText) -> Option<usize> {
        let payload = encode(&owed, Vec::new());
        owed.bytes = payload.len() as u64 + self.reserve;
        if self.bytes + owed.bytes > self.max_text_bytes || self.outstanding.len() >= self.max_outstanding {
            return None;
        }
        let text = self.records.begin(&payload, self.reserve).ok()?.0 as usize;
        self.unwritten += payload.len();
        self.bytes += owed.bytes;
        self.held += usize::from(owed.report.is_none());
        self.outstanding.insert(text, owed);
        Some(text)
    }

    /// Adds a text and returns its number, if there is room for it and for all notes it may need.
    pub fn accept(&mut self, info: TextInfo, body: Arc<[u8]>, now: Moment) -> Option<usize> {
        let taken_ms = now.as_millis();
        self.add(OutstandingText {
            info,
            body,
            report: None,
            sent: JournaledSubmits::default(),
            taken_ms,
            bytes: 0,
        })
    }

    /// Bytes of texts that were added since the last flush, of which the journal has copies until the next one.
    pub fn unwritten(&self) -> usize {
        self.unwritten
    }

    fn note<T: Serialize>(&mut self, text: usize, tag: u8, said: &T) {
        let payload = postcard::to_extend(said, Vec::new()).expect("plain data");
        self.records.note(Key(text as u64), tag, &payload);
    }

    /// Records the next submit of a text.
    pub fn record_submit(&mut self, text: usize, at: Moment, zone: &str) {
        let Some(owed) = self.outstanding.get_mut(&text) else { return };
        let submit = owed.sent.submits;
        owed.sent.submitted(submit, at.as_millis(), zone.to_owned());
        self.note(text, SUBMITTED, &(submit, at.as_millis(), zone));
    }

    /// Records that a submit never ran, so that it is no longer in doubt.
    pub fn record_never_ran(&mut self, text: usize, submit: usize) {
        if let Some(owed) = self.outstanding.get_mut(&text) {
            owed.sent.never_ran(submit);
            self.note(text, NEVER_RAN, &submit);
        }
    }

    /// Records that a text ended. It is closed unless a report of it is still to be sent.
    pub fn record_end(&mut self, text: usize, report: Option<Report>) {
        let Some(report) = report else { return self.record_reported(text) };
        let Some(owed) = self.outstanding.get_mut(&text) else { return };
        self.held -= usize::from(owed.report.replace(report).is_none());
        let freed = std::mem::take(&mut owed.body).len() as u64;
        owed.bytes -= freed;
        self.bytes -= freed;
        self.note(text, ENDED, &report);
    }

    /// Closes a text: nothing is outstanding for it.
    pub fn record_reported(&mut self, text: usize) {
        self.remove(text);
        self.records.close(Key(text as u64));
    }

    /// Writes everything added to disk with the configured durability.
    ///
    /// # Errors
    ///
    /// Nothing added since the last successful flush is guaranteed; the next flush writes it again.
    pub fn flush(&mut self) -> io::Result<()> {
        self.unwritten = 0;
        let (owed, kept) = (&self.outstanding, &self.kept);
        let step =
            self.records.commit(self.began.elapsed(), &mut |key, into| write_image(owed, kept, key, into))?;
        self.compactions += step.retired;
        Ok(())
    }

    /// The records kept beside the texts.
    pub fn auxiliary_records(&self) -> impl Iterator<Item = &AuxiliaryRecord> {
        self.kept.values()
    }

    /// Adds a record beside the texts; returns whether there was room. It is durable only after the next
    /// flush.
    pub fn add_auxiliary(&mut self, kept: AuxiliaryRecord) -> bool {
        if self.kept.values().any(|other| *other == kept) {
            return true;
        }
        let Ok(key) = self.records.begin(&kept.encode(Vec::new()), 0) else { return false };
        self.kept.insert(key.0 as usize, kept);
        true
    }

    /// Closes the auxiliary records that match.
    pub fn remove_auxiliary(&mut self, gone: impl Fn(&AuxiliaryRecord) -> bool) {
        let gone: Vec<usize> =
            self.kept.iter().filter(|(_, kept)| gone(kept)).map(|(text, _)| *text).collect();
        for text in gone {
            self.kept.remove(&text);
            self.records.close(Key(text as u64));
        }
    }

    /// Drops an auxiliary record that could not be written.
    pub fn abandon_auxiliary(&mut self, kept: &AuxiliaryRecord) {
        let found = self.kept.iter().find(|(_, other)| *other == kept).map(|(text, _)| *text);
        if let Some(text) = found {
            self.kept.remove(&text);
            self.records.abandon(Key(text as u64));
        }
    }

    /// Raises the bytes reserved for the notes of each new text.
    pub fn raise_reserve(&mut self, reserve: u64) {
        self.reserve = self.reserve.max(reserve);
    }

    /// Whether the next start may recover a text although the last flush failed. If so, its client must not
    /// be told that resending is harmless.
    pub fn may_be_recovered(&self, text: usize) -> bool {
        self.records.may_be_found(Key(text as u64))
    }

    /// Drops a text that could not be written, so that it is no longer outstanding.
    pub fn abandon(&mut self, text: usize) {
        self.remove(text);
        self.records.abandon(Key(text as u64));
    }
}

fn encoded_length(owed: &OutstandingText) -> u64 {
    encode(owed, Vec::new()).len() as u64
}

/// The longest possible payload for texts whose bodies, names, products and zones have at most this many
/// bytes, including the submit history.
pub fn longest_payload(body: usize, name: usize, product: usize, zone: usize) -> usize {
    // Lengths, times and option tags take up to 80 bytes.
    body + 3 * name + product + 2 * zone + 80
}

/// Journal bytes that the notes on a text with this many submits can take.
pub fn reserve_bytes(submits: usize, zone: usize) -> u64 {
    let head = 24;
    let submitted = head + 3 + 8 + 2 + zone;
    let never_ran = head + 3;
    let ended = head + 2 + 8;
    (submits * (submitted + never_ran) + ended) as u64
}
