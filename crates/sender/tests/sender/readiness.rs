//! How long a process takes until it says that it is up: with a full journal, a slow disk, no list and no discovery.
//!
//! `GET /up` waits for the settings, the folder's floor and lock, what the process before left, and one reading of the whole
//! journal. It doesn't wait for discovery, for a list, or for what the journal holds to be decided on.

use crate::common::*;
use crate::operations::free_address;
use crate::owed::info;
use indigomast::time::Moment;
use indigomast_journal::{Simulated, Store};
use indigomast_sender::clock::Clock;
use indigomast_sender::limits::{Grant, Limits};
use indigomast_sender::text_journal::{TextInfo, TextJournal};
use serde_json::json;
use std::io;
use std::time::{Duration, Instant};

/// Within this nine in ten have to be up; here all are.
const READY: Duration = Duration::from_secs(10);

/// A store that counts what a disk would have to do for it.
#[derive(Default)]
struct Counted {
    store: Simulated,
    calls: u64,
    read: u64,
    written: u64,
}

impl Counted {
    fn again(&self) -> Counted {
        Counted { store: self.store.after_kill(), ..Counted::default() }
    }

    /// On a disk that takes so long for each call and moves so many bytes a second.
    fn takes(&self, call: Duration, a_second: f64) -> Duration {
        call * self.calls as u32 + Duration::from_secs_f64((self.read + self.written) as f64 / a_second)
    }
}

impl Store for Counted {
    type File = usize;

    fn list(&mut self) -> io::Result<Vec<String>> {
        self.calls += 1;
        self.store.list()
    }

    fn create(&mut self, name: &str) -> io::Result<usize> {
        self.calls += 1;
        self.store.create(name)
    }

    fn open(&mut self, name: &str) -> io::Result<usize> {
        self.calls += 1;
        self.store.open(name)
    }

    fn length(&mut self, file: &usize) -> io::Result<u64> {
        self.calls += 1;
        self.store.length(file)
    }

    fn append(&mut self, file: &mut usize, bytes: &[u8]) -> io::Result<usize> {
        self.calls += 1;
        self.written += bytes.len() as u64;
        self.store.append(file, bytes)
    }

    fn read(&mut self, file: &mut usize, at: u64, into: &mut [u8]) -> io::Result<usize> {
        self.calls += 1;
        let count = self.store.read(file, at, into)?;
        self.read += count as u64;
        Ok(count)
    }

    fn truncate(&mut self, file: &mut usize, length: u64) -> io::Result<()> {
        self.calls += 1;
        self.store.truncate(file, length)
    }

    fn sync(&mut self, file: &usize) -> io::Result<()> {
        self.calls += 1;
        self.store.sync(file)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.calls += 1;
        self.store.sync_names()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.calls += 1;
        self.store.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.calls += 1;
        self.store.remove(name)
    }
}

/// As many texts as there is room for, over and over, until one and a half times of what files may hold was written. Some
/// texts stay, or the oldest segments would just go.
fn fill<S: Store>(
    journal: &mut TextJournal<S>,
    length: usize,
    most: u64,
    now: Moment,
    of: impl Fn(usize) -> TextInfo,
) {
    let mut taken = 0;
    loop {
        while let Some(text) = journal.accept(of(taken), vec![taken as u8; length].into(), now) {
            taken += 1;
            if text % 16 == 0 {
                journal.flush().expect("it fits");
            }
        }
        journal.flush().expect("it fits");
        if (taken * length) as u64 > most / 2 * 3 {
            return;
        }
        let owed: Vec<usize> = journal.outstanding().keys().copied().collect();
        for text in owed.into_iter().filter(|text| text % 50 != 0) {
            journal.record_end(text, None);
            if text % 16 == 1 {
                journal.flush().expect("it fits");
            }
        }
    }
}

/// A full journal is read once, and there is never more of it than half of the memory granted, whatever the disk holds:
/// the rest of a disk would save a little moving of texts and be read at each start.
#[test]
fn the_journal_of_a_start_is_read_once_and_no_longer_than_memory_allows() {
    let now = Moment::from_millis(1e12);
    for (memory_mb, disk_mb, length) in
        [(32, 3.0, 3000), (192, 3.0, 212), (192, 24.0, 3000), (48, 2000.0, 8000)]
    {
        let limits = Limits::of(Grant::new(memory_mb, 1024, disk_mb));
        let most = limits.journal.most;
        assert!(most <= memory_mb << 19, "{memory_mb} MB of memory, {disk_mb} of disk: {most} bytes");
        let mut journal = TextJournal::with_store(Counted::default(), &limits, now).expect("opens");
        fill(&mut journal, length, most, now, info);
        let full = journal.into_store();
        let held = full.store.held() as u64;
        assert!(held > most / 3, "{held} of {most}");
        let journal = TextJournal::with_store(full.again(), &limits, now).expect("opens");
        assert!(journal.outstanding().len() > 5);
        let begun = journal.into_store();
        let segments = most.div_ceil(limits.journal.segment);
        assert!(begun.read <= held + 64 * segments, "{} read of {held}", begun.read);
        assert!(begun.written <= 4096, "{} written", begun.written);
        assert!(begun.calls <= 7 * segments + 16, "{} calls for {segments} segments", begun.calls);
        // Slower than any disk that could carry the traffic: a hundred calls a second, or five million bytes.
        let takes = begun.takes(Duration::from_millis(10), 5e6);
        assert!(takes < READY, "{memory_mb} MB of memory, {disk_mb} of disk: {takes:?}");
        println!(
            "{memory_mb} MB, {disk_mb} MB: {held} held, {} read, {} calls, {takes:?}",
            begun.read, begun.calls
        );
    }
}

/// Killed and started again: the journal is full, the list empty, and nobody listens where discovery should be.
#[test]
fn a_restarted_process_is_up_in_time_with_a_full_journal_and_nothing_else() {
    let (memory_mb, disk_mb) = (192, 96.0);
    let mut config = config(&[], free_address());
    config["limits"]["disk_mb"] = json!(disk_mb);
    config["settings"]["ceilings"]["most-held"] = json!(100_000);
    let folder = Folder::new();
    let limits = Limits::of(Grant::new(memory_mb, 1024, disk_mb));
    let now = Clock::start().now();
    let until_ms = now.as_millis() + 600_000.0;
    let mut journal = TextJournal::open(&folder.state(), &limits, now).expect("opens");
    fill(&mut journal, 600, limits.journal.most, now, |id| TextInfo {
        until_ms,
        key: Some(format!("k{}", id % 999)),
        ..info(id)
    });
    let owed = journal.outstanding().len();
    drop(journal);
    for start in 0..3 {
        let since = Instant::now();
        let mut daemon = Daemon::start(&config, &folder);
        let (status, _) = daemon.client().ask(b"GET /up HTTP/1.1\r\n\r\n");
        let took = since.elapsed();
        assert_eq!(status, 200);
        println!("start {start}: up after {took:?} with {owed} texts owed");
        assert!(took < READY, "start {start}: {took:?} with {owed} texts owed");
        daemon.kill();
    }
}

/// A process of before had let its journal grow with the disk.
#[test]
fn a_journal_longer_than_is_allowed_now_is_taken_over_whole_and_shrinks() {
    let now = Moment::from_millis(1e12);
    let limits = Limits::of(Grant::new(32, 1024, 2000.0));
    let longest = limits.journal.longest;
    let before =
        Limits { journal: indigomast_journal::Settings::within(64 << 20, longest), ..limits.clone() };
    let mut journal = TextJournal::with_store(Simulated::new(), &before, now).expect("opens");
    fill(&mut journal, 8000, 64 << 20, now, info);
    let owed: Vec<usize> = journal.outstanding().keys().copied().collect();
    let store = journal.into_store().after_kill();
    let long = store.held() as u64;
    assert!(long > limits.journal.most, "{long} is none too long");
    let mut journal = TextJournal::with_store(store, &limits, now).expect("opens");
    assert!(journal.outstanding().keys().copied().eq(owed.iter().copied()), "all that is owed is found");
    // Submits go on, texts end, and others come.
    for text in &owed {
        journal.record_submit(*text, now, "zone");
        journal.flush().expect("what is owed can be written");
        journal.record_end(*text, None);
        journal.flush().expect("what is over can be written");
    }
    let taken = (0..200)
        .filter(|id| journal.accept(info(1_000_000 + id), vec![1; 8000].into(), now).is_some())
        .count();
    journal.flush().expect("it fits");
    assert_eq!(taken, 200);
    let held = journal.into_store().held() as u64;
    assert!(held <= limits.journal.most, "{held} of {}", limits.journal.most);
}
