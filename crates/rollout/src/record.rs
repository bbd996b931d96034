//! What outlasts a controller or an agent: entries on the journal's crate, each made to last before it is acted upon.

use indigomast_journal::{Durability, Entry, Folder, Journal, Key, Settings, Store};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::path::Path;
use std::time::Duration;

const SEGMENT: u64 = 256 << 10;
const LONGEST: usize = 32 << 10;

/// Entries of one sort, in the order in which they were written.
pub struct Record<T, S: Store = Folder> {
    journal: Journal<S>,
    stored: BTreeMap<Key, Vec<u8>>,
    pub entries: Vec<T>,
}

impl<T: Serialize + DeserializeOwned> Record<T> {
    /// # Errors
    ///
    /// Another process has it (`ResourceBusy`), it is damaged or of another sort (`InvalidData`), or the folder can't be
    /// used.
    pub fn open(folder: &Path) -> io::Result<Record<T>> {
        Record::on(Folder::open(folder)?)
    }
}

impl<T: Serialize + DeserializeOwned, S: Store> Record<T, S> {
    /// # Errors
    ///
    /// As [`Record::open`].
    pub fn on(store: S) -> io::Result<Record<T, S>> {
        let (segment, most) = (SEGMENT, 64 * SEGMENT);
        let settings = Settings { segment, most, longest: LONGEST, step: 0, durability: Durability::Batch };
        let mut stored = BTreeMap::new();
        let mut unread = 0;
        let number = u64::from(std::process::id());
        let (journal, recovered) = Journal::open(store, settings, number, &mut |key, entry| match entry {
            Entry::Open(payload) | Entry::Whole(payload) => _ = stored.insert(key, payload.to_vec()),
            Entry::Close => _ = stored.remove(&key),
            Entry::Note(..) => unread += 1,
        })?;
        if !recovered.damage.is_empty() || unread > 0 {
            let what =
                format!("the record is damaged in {} places; nothing is done by it", recovered.damage.len());
            return Err(io::Error::new(ErrorKind::InvalidData, what));
        }
        let read = |(key, payload): (&Key, &Vec<u8>)| {
            let what = |e| format!("entry {} of the record is of another sort: {e}", key.0);
            serde_json::from_slice(payload).map_err(|e| io::Error::new(ErrorKind::InvalidData, what(e)))
        };
        let entries = stored.iter().map(read).collect::<io::Result<Vec<T>>>()?;
        Ok(Record { journal, stored, entries })
    }

    /// Adds an entry, which lasts once this returns.
    ///
    /// # Errors
    ///
    /// It could not be made to last, and is as if it had never been.
    pub fn add(&mut self, entry: T) -> io::Result<()> {
        let payload = serde_json::to_vec(&entry)?;
        let key = self.journal.begin(&payload, 0).map_err(|_| io::Error::from(ErrorKind::StorageFull))?;
        self.stored.insert(key, payload);
        if let Err(e) = self.commit() {
            self.stored.remove(&key);
            self.journal.abandon(key);
            return Err(e);
        }
        self.entries.push(entry);
        Ok(())
    }

    /// Puts an entry in the place of all others.
    ///
    /// # Errors
    ///
    /// As [`Record::add`]; the others hold then.
    pub fn replace(&mut self, entry: T) -> io::Result<()> {
        let before: Vec<Key> = self.stored.keys().copied().collect();
        let kept = self.entries.len();
        self.add(entry)?;
        self.entries.drain(..kept);
        for key in before {
            self.journal.close(key);
            self.stored.remove(&key);
        }
        // Those before may come back with a crash; the last one counts.
        _ = self.commit();
        Ok(())
    }

    fn commit(&mut self) -> io::Result<()> {
        let stored = &self.stored;
        let image = &mut |key: Key, into: &mut Vec<u8>| {
            if let Some(payload) = stored.get(&key) {
                into.extend_from_slice(payload);
            }
        };
        self.journal.commit(Duration::ZERO, image).map(|_| ())
    }

    pub fn into_store(self) -> S {
        self.journal.into_store()
    }
}
