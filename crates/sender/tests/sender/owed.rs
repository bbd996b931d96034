//! What is owed over the end of a life: the journal as the sender uses it, on a folder and on a store that fails.

use crate::common::{Folder, limits};
use indigomast::api::ZoneId;
use indigomast::time::{Moment, Span};
use indigomast_journal::{Durability, Entry, Fault, Journal, Simulated, Store};
use indigomast_sender::limits::{Grant, Limits};
use indigomast_sender::text_journal::{self, OutstandingText, Report, TextInfo, TextJournal};
use std::collections::BTreeMap;
use std::fs;
use std::io::ErrorKind;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const NOW: f64 = 1e12;

fn now() -> Moment {
    Moment::from_millis(NOW)
}

pub fn info(id: usize) -> TextInfo {
    TextInfo {
        id: format!("t{id}"),
        mark: None,
        product: "free".into(),
        key: Some("k".into()),
        dest: 0,
        until_ms: NOW + 20_000.0,
    }
}

fn past(owed: &OutstandingText) -> (usize, Option<(Moment, ZoneId)>) {
    let past = owed.past(|zone| ZoneId(zone.len()));
    (past.submits, past.first_in_doubt)
}

/// Six texts; of each submit whether it never ran.
fn a_life(journal: &mut TextJournal) {
    for at in 0..6 {
        assert_eq!(journal.accept(info(at), vec![at as u8; at].into(), now()), Some(at));
    }
    for (text, submits) in
        [(1, &[false][..]), (2, &[true, false, true, false]), (3, &[true, true]), (4, &[false])]
    {
        for (submit, never_ran) in submits.iter().enumerate() {
            journal.record_submit(text, now() + Span::millis(submit as i64), "a");
            if *never_ran {
                journal.record_never_ran(text, submit);
            }
        }
    }
    journal.record_end(4, None);
    journal.record_end(5, Some(Report::Nacked { again_ms: Some(2.5) }));
}

fn check(owed: &BTreeMap<usize, OutstandingText>, held: usize) {
    let sent = |millis| Some((now() + Span::millis(millis), ZoneId(1)));
    let pasts = [0, 1, 2, 3].map(|text| past(&owed[&text]));
    assert_eq!(pasts, [(0, None), (1, sent(0)), (4, sent(1)), (2, None)]);
    assert!(!owed.contains_key(&4));
    assert_eq!(owed[&5].report, Some(Report::Nacked { again_ms: Some(2.5) }));
    assert_eq!((owed[&3].info.clone(), &owed[&3].body[..]), (info(3), &[3, 3, 3][..]));
    assert_eq!(held, 4);
}

#[test]
fn the_journal_tells_the_next_life_what_this_one_did() {
    let folder = Folder::new();
    let mut journal = TextJournal::open(&folder.state(), &limits(), now()).expect("opens");
    a_life(&mut journal);
    journal.flush().expect("written");
    drop(journal);
    // As it is, with a torn tail, and compacted by the program; each life adds and forgets a text.
    for life in 0..3usize {
        let newest = newest_segment(&folder.state().join("journal"));
        match life {
            1 => {
                let mut bytes = fs::read(&newest).expect("there");
                bytes.extend(b"half a record");
                fs::write(&newest, bytes).expect("writable");
            }
            2 => {
                let (before, after) = text_journal::compact(&folder.state()).expect("sound");
                assert!(after < before, "{after} of {before}");
            }
            _ => {}
        }
        let mut journal = TextJournal::open(&folder.state(), &limits(), now()).expect("opens");
        check(journal.outstanding(), journal.unfinished());
        assert_eq!(journal.accept(info(6), Arc::default(), now()), Some(6 + life), "numbers go on");
        journal.flush().expect("written");
        journal.record_reported(6 + life);
        journal.flush().expect("written");
    }
}

pub fn newest_segment(folder: &Path) -> std::path::PathBuf {
    let names = fs::read_dir(folder).expect("there").flatten().map(|entry| entry.path());
    names.filter(|path| path.extension().is_some_and(|e| e == "seg")).max().expect("a segment")
}

/// Guards against limits that count the largest text for each: a second's outage would fill them.
#[test]
fn what_is_granted_holds_the_texts_of_many_seconds() {
    // memory, descriptors
    for (memory_mb, sockets) in [(32, 256), (48, 384), (192, 1024)] {
        let limits = Limits::of(Grant::new(memory_mb, sockets, 3.0));
        let folder = Folder::new();
        let mut journal = TextJournal::open(&folder.state(), &limits, now()).expect("opens");
        let small = || vec![7; 212].into();
        let held = (0..).take_while(|at| journal.accept(info(*at), small(), now()).is_some()).count();
        assert!(held > 1800, "{memory_mb} MB: {held}");
        for text in 0..held {
            let zone = "a-zone-with-a-long-name.";
            (0..6).for_each(|submit| {
                journal.record_submit(text, Moment::from_millis(1e12 + 0.123), zone);
                journal.record_never_ran(text, submit);
            });
            journal.record_end(text, Some(Report::Nacked { again_ms: Some(1234.567) }));
            journal.flush().expect("all that may be written of them fits");
            assert!(used(&folder.state()) <= 3_000_000);
        }
        let Limits { clients, accept_queue, links, descriptors, .. } = limits;
        assert!(clients + accept_queue + links <= descriptors && descriptors + 16 <= sockets, "{sockets}");
        assert!(
            clients > sockets / 3 && clients * (limits.head + limits.body) < memory_mb as usize * 350_000
        );
    }
}

/// As a platform counts it: each file in whole 512 bytes.
pub fn used(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).expect("there").flatten();
    let size = |entry: fs::DirEntry| match entry.metadata() {
        Ok(data) if data.is_dir() => used(&entry.path()),
        Ok(data) => data.len().next_multiple_of(512),
        // Given back meanwhile.
        Err(_) => 0,
    };
    entries.map(size).sum()
}

#[test]
fn the_journal_stays_within_the_disk_whatever_is_written() {
    let folder = Folder::new();
    let limits = Limits::of(Grant::new(192, 1024, 1.5));
    let limits = Limits { texts: 60, ..limits };
    let mut journal = TextJournal::open(&folder.state(), &limits, now()).expect("opens");
    let mut held = Vec::new();
    for round in 0..3000 {
        match journal.accept(info(round), vec![0; round * 37 % 30_000].into(), now()) {
            Some(text) => held.push(text),
            None => {
                let text = held.remove(round * 7 % held.len());
                (0..6).for_each(|_| journal.record_submit(text, now(), "a"));
                journal.record_end(text, (round % 2 == 0).then_some(Report::Undeliverable));
                journal.record_reported(text);
            }
        }
        journal.flush().expect("there is room");
        assert!(used(&folder.state()) <= 1_500_000 && held.len() <= 60, "{} texts", held.len());
    }
    assert!(journal.compactions > 20, "{}", journal.compactions);
    drop(journal);
    let again = TextJournal::open(&folder.state(), &limits, now()).expect("opens");
    held.sort();
    assert!(again.outstanding().keys().eq(held.iter()));
}

/// One bit anywhere: what is told of the texts is never less than what was done for them.
#[test]
fn damage_never_gives_a_text_more_submits_than_it_is_owed() {
    let small = Limits::of(Grant::new(192, 1024, 3.0));
    let mut store = Simulated::new();
    let limits = Limits { journal: tight(Durability::Batch), ..small };
    let mut journal = TextJournal::with_store(store, &limits, now()).expect("new");
    let mut truth: BTreeMap<usize, usize> = BTreeMap::new();
    for round in 0..40 {
        let text = journal.accept(info(round), vec![1; 30].into(), now()).expect("room");
        truth.insert(text, 0);
        for (text, submits) in &mut truth {
            if (text + round).is_multiple_of(3) && *submits < 6 {
                journal.record_submit(*text, now(), "a");
                *submits += 1;
            }
        }
        if round % 2 == 0 {
            let (text, _) = truth.pop_first().expect("some");
            journal.record_end(text, None);
        }
        journal.flush().expect("no fault is set");
    }
    store = journal.into_store().after_kill();
    let names: Vec<String> =
        store.list().expect("lists").into_iter().filter(|n| n.ends_with(".seg")).collect();
    assert!(names.len() >= 3, "{names:?}");
    let (mut harmed, mut raised) = (0, 0);
    for name in &names[..names.len() - 1] {
        for bit in (0..3000 * 8).step_by(101) {
            let mut spoilt = store.clone();
            spoilt.spoil(name, bit);
            let journal = TextJournal::with_store(spoilt, &limits, now()).expect("opens");
            for (text, owed) in journal.outstanding() {
                let Some(done) = truth.get(text) else {
                    // Over, but its end was lost: nothing of it may go that could do harm twice.
                    assert!(past(owed).1.is_some(), "{name} {bit}: {text} counts as never sent");
                    harmed += 1;
                    continue;
                };
                assert!(owed.submits() >= *done, "{name} {bit}: {text} {} of {done}", owed.submits());
                raised += usize::from(owed.submits() > *done);
            }
        }
    }
    assert!(raised > 100, "{harmed} {raised}");
}

/// Segments of a few texts.
fn tight(durability: Durability) -> indigomast_journal::Settings {
    indigomast_journal::Settings { segment: 3000, most: 60_000, longest: 1400, step: 200, durability }
}

/// A fixed history of texts, cut at each call of the store: a next life never knows of fewer submits than were made
/// before the log said so, nor of a text that was over for good, nor does it miss one that was promised.
#[test]
fn a_life_cut_at_any_call_leaves_what_was_promised() {
    for durability in [Durability::Process, Durability::Batch] {
        let limits = Limits { journal: tight(durability), ..limits() };
        let calls = play(Simulated::new(), &limits).expect("nothing fails").store.calls();
        assert!(calls > 90, "{calls}");
        let mut cuts = 0;
        for call in 8..calls {
            for bytes in [0, 40, usize::MAX] {
                let played = play(Simulated::new().fault(call, Fault::Cut(bytes)), &limits);
                let Some(Played { store, promised, asked, cut: true }) = played else { continue };
                cuts += 1;
                let left = match durability {
                    Durability::Batch => store.after_power_loss(6),
                    _ => vec![store.after_kill()],
                };
                for left in left {
                    let journal = TextJournal::with_store(left, &limits, now()).expect("opens");
                    for (text, submits) in &promised {
                        // What the last flush was asked to write may be there or not.
                        let over = !asked.contains_key(text);
                        let found = journal.outstanding().get(text);
                        assert!(over || found.is_some(), "{durability:?} {call}: {text} is lost");
                        let Some(found) = found else { continue };
                        assert!(found.submits() >= *submits, "{durability:?} {call}: {text}");
                        assert!(found.submits() <= 6);
                    }
                    for text in journal.outstanding().keys() {
                        let known = promised.contains_key(text) || asked.contains_key(text);
                        assert!(known, "{durability:?} {call}: {text} is over");
                    }
                }
            }
        }
        assert!(cuts > 200, "{cuts}");
    }
}

type Submits = BTreeMap<usize, usize>;

struct Played {
    store: Simulated,
    /// By the last flush that came back, and what the next one was asked for.
    promised: Submits,
    asked: Submits,
    cut: bool,
}

/// None where the cut is before the beginning.
fn play(store: Simulated, limits: &Limits) -> Option<Played> {
    let mut journal = TextJournal::with_store(store, limits, now()).ok()?;
    let (mut promised, mut asked) = (Submits::new(), Submits::new());
    for round in 0..60usize {
        if let Some(text) = journal.accept(info(round), vec![1; round * 31 % 300].into(), now()) {
            asked.insert(text, 0);
        }
        for (text, submits) in &mut asked {
            if (text * 5 + round).is_multiple_of(4) && *submits < 6 {
                journal.record_submit(*text, now(), "zone");
                *submits += 1;
            }
        }
        if asked.len() > 8 {
            let over = *asked.keys().nth(round * 3 % 8).expect("eight");
            journal.record_end(over, (round % 3 == 0).then_some(Report::Undeliverable));
            if round % 3 == 0 {
                journal.record_reported(over);
            }
            asked.remove(&over);
        }
        if journal.flush().is_err() {
            return Some(Played { store: journal.into_store(), promised, asked, cut: true });
        }
        promised = asked.clone();
    }
    Some(Played { store: journal.into_store(), promised, asked, cut: false })
}

/// The disk fills under texts that come: each is either promised and found again, or turned away and not.
#[test]
fn a_disk_that_fills_from_outside_loses_nothing_and_is_gone_on_with() {
    for durability in [Durability::Process, Durability::Batch] {
        let limits = Limits { journal: tight(durability), ..limits() };
        let mut journal =
            TextJournal::with_store(Simulated::with_room(9_000), &limits, now()).expect("opens");
        let (mut promised, mut refused) = (Submits::new(), 0);
        for round in 0..400 {
            let taken = journal.accept(info(round), vec![2; 200].into(), now());
            let moved = promised.keys().next().copied().filter(|_| promised.len() > 3);
            if let Some(text) = moved {
                if round % 7 == 0 {
                    journal.record_end(text, None);
                } else if promised[&text] < 6 {
                    journal.record_submit(text, now(), "a");
                }
            }
            match journal.flush() {
                Ok(()) => promised.extend(taken.map(|text| (text, 0))),
                Err(e) => {
                    assert_eq!(e.kind(), ErrorKind::StorageFull, "{e}");
                    refused += 1;
                    taken.into_iter().for_each(|text| journal.abandon(text));
                }
            }
            promised.retain(|text, _| journal.outstanding().contains_key(text));
            promised.iter_mut().for_each(|(text, submits)| *submits = journal.outstanding()[text].submits());
        }
        assert!(refused > 50 && refused < 400, "{durability:?}: {refused} of 400");
        assert_eq!(journal.outstanding().len(), promised.len());
    }
}

/// A clock set back by a day between two lives: a text ends when it was to end, and a key doesn't rest for a day.
#[test]
fn a_clock_set_back_moves_what_is_owed() {
    let folder = Folder::new();
    let mut journal = TextJournal::open(&folder.state(), &limits(), now()).expect("opens");
    a_life(&mut journal);
    journal.flush().expect("written");
    drop(journal);
    let day = Span::millis(86_400_000);
    // Each life a little later than the one before; the second finds all set right.
    for later in [0, 700, 900] {
        let back = now() - day + Span::millis(later);
        let journal = TextJournal::open(&folder.state(), &limits(), back).expect("opens");
        let left = Moment::from_millis(journal.outstanding()[&1].info.until_ms).since(now() - day);
        // The newest time known was 3 ms after the first.
        assert_eq!(left, Span::millis(20_000 - 3));
        // It was set back by that at least: how old a doubt is nobody knows, so it is too old for a repeat.
        assert_eq!(past(&journal.outstanding()[&1]), (1, Some((Moment::from_millis(0.0), ZoneId(1)))));
    }
    // Set forward it looks like a long absence.
    let journal = TextJournal::open(&folder.state(), &limits(), now() + day).expect("opens");
    assert!(Moment::from_millis(journal.outstanding()[&1].info.until_ms) < now() + day);
    assert_eq!(past(&journal.outstanding()[&2]).0, 4);
}

/// A log as the format before wrote it: length, checksum, a line of JSON, the body.
fn old_log(records: &[(&str, &[u8])]) -> Vec<u8> {
    let mut log = Vec::new();
    for (line, body) in records {
        let payload = [line.as_bytes(), b"\n", body].concat();
        log.extend((payload.len() as u32).to_le_bytes());
        log.extend(crc32fast::hash(&payload).to_le_bytes());
        log.extend(payload);
    }
    log
}

fn old_life() -> Vec<u8> {
    let taken = |text: usize| {
        let info = r#""mark":null,"product":"free","key":"k","dest":0,"until_ms":1000000020000.0"#;
        format!(r#"{{"Taken":{{"text":{text},"info":{{"id":"t{text}",{info}}}}}}}"#)
    };
    let lines: Vec<String> = (0..6).map(taken).collect();
    let submitted =
        |text: usize, at: u64| format!(r#"{{"Submitted":{{"text":{text},"at_ms":{at}.0,"zone":"a"}}}}"#);
    let never = |text: usize, submit: usize| format!(r#"{{"NeverRan":{{"text":{text},"submit":{submit}}}}}"#);
    let at = NOW as u64;
    let mut records: Vec<(String, Vec<u8>)> =
        lines.into_iter().enumerate().map(|(text, line)| (line, vec![text as u8; text])).collect();
    for line in [
        submitted(1, at),
        submitted(2, at),
        never(2, 0),
        submitted(2, at + 1),
        submitted(2, at + 2),
        never(2, 2),
        submitted(2, at + 3),
        r#"{"Sent":{"text":3,"sent":{"submits":2,"doubt":null,"last":null}}}"#.into(),
        submitted(4, at),
        r#"{"Ended":{"text":4,"report":null}}"#.into(),
        r#"{"Ended":{"text":5,"report":{"Nacked":{"again_ms":2.5}}}}"#.into(),
    ] {
        records.push((line, Vec::new()));
    }
    let records: Vec<(&str, &[u8])> = records.iter().map(|(line, body)| (&line[..], &body[..])).collect();
    old_log(&records)
}

#[test]
fn a_log_of_the_format_before_is_carried_over_once() {
    let folder = Folder::new();
    let log = folder.state().join("texts.log");
    fs::write(&log, [&old_life()[..], b"torn"].concat()).expect("writable");
    fs::write(folder.state().join("texts.next"), b"half a file").expect("writable");
    // The numbers start anew, and text 4 was over: those after it move up.
    let check_carried = |journal: &TextJournal| {
        let owed: BTreeMap<usize, OutstandingText> = journal
            .outstanding()
            .values()
            .map(|owed| (owed.info.id[1..].parse().expect("a number"), owed.clone()))
            .collect();
        check(&owed, journal.unfinished());
        assert_eq!(owed.len(), 5);
    };
    for life in 0..3 {
        // In the second the removal had not come to its end; in the third nothing is left.
        if life == 1 {
            fs::write(&log, old_life()).expect("writable");
        }
        let journal = TextJournal::open(&folder.state(), &limits(), now()).expect("opens");
        check_carried(&journal);
        assert_eq!(fs::read_dir(folder.state()).expect("there").count(), 1, "only the journal");
    }
    // Gone back to the format before, which submitted text 1 again, and forward once more.
    let more = old_log(&[
        (
            r#"{"Taken":{"text":0,"info":{"id":"t1","mark":null,"product":"free","key":"k","dest":0,"until_ms":1e12}}}"#,
            b"x",
        ),
        (r#"{"Sent":{"text":0,"sent":{"submits":3,"doubt":null,"last":[1e12,"a"]}}}"#, b""),
    ]);
    fs::write(&log, more).expect("writable");
    let journal = TextJournal::open(&folder.state(), &limits(), now()).expect("opens");
    let submits: Vec<usize> = journal
        .outstanding()
        .values()
        .filter(|owed| owed.info.id == "t1")
        .map(OutstandingText::submits)
        .collect();
    assert_eq!((submits, journal.outstanding().len()), (vec![3], 5));
}

/// A program that another test starts has a copy of every descriptor for a moment, and so of the lock.
fn look(folder: &Folder) -> std::io::Result<text_journal::JournalContents> {
    loop {
        match text_journal::read_contents(&folder.state()) {
            Err(e) if e.kind() == ErrorKind::ResourceBusy => thread::yield_now(),
            looked => return looked,
        }
    }
}

#[test]
fn one_folder_is_for_one_process_and_a_newer_format_is_left_alone() {
    let folder = Folder::new();
    let journal = TextJournal::open(&folder.state(), &limits(), now()).expect("opens");
    let at_once = Limits { lock_wait: Duration::ZERO, ..limits() };
    let second = TextJournal::open(&folder.state(), &at_once, now()).err().expect("refused");
    assert_eq!(second.kind(), ErrorKind::ResourceBusy);
    assert_eq!(
        text_journal::read_contents(&folder.state()).err().expect("refused").kind(),
        ErrorKind::ResourceBusy
    );
    // One that ends a moment later is waited for.
    let late = thread::spawn(move || {
        thread::sleep(Duration::from_millis(50));
        drop(journal);
    });
    drop(TextJournal::open(&folder.state(), &limits(), now()).expect("the first one is gone by then"));
    late.join().expect("ends");
    assert!(look(&folder).expect("reads").outstanding.is_empty());
    let manifest = folder.state().join("journal/manifest");
    let mut bytes = fs::read(&manifest).expect("there");
    bytes[8] = 9;
    fs::write(&manifest, &bytes).expect("writable");
    for complaint in [
        TextJournal::open(&folder.state(), &limits(), now()).err().expect("refused"),
        look(&folder).err().expect("refused"),
    ] {
        assert!(complaint.to_string().contains("format 9 is newer than 1"), "{complaint}");
    }
    assert_eq!(fs::read(&manifest).expect("there"), bytes);
}

/// Sound records with any payload at all, as another program may have left: refused by name or read, never a panic.
#[test]
fn payloads_of_another_program_are_refused_and_left_alone() {
    let limits = Limits { journal: tight(Durability::Process), ..limits() };
    let mut dice = 7u64;
    let mut roll = move |sides: u64| {
        dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (dice >> 33) % sides
    };
    let (mut refused, mut read) = (0, 0);
    for turn in 0..2000 {
        // A text's own record with some bytes changed, or nothing but noise.
        let mut journal = TextJournal::with_store(Simulated::new(), &limits, now()).expect("new");
        journal.accept(info(turn), vec![3; 20].into(), now()).expect("room");
        journal.flush().expect("no fault is set");
        let mut payload = Vec::new();
        let store = journal.into_store().after_kill();
        let mut hear = |_, entry: Entry| {
            if let Entry::Open(bytes) = entry {
                payload = bytes.to_vec();
            }
        };
        Journal::look(store, 1400, &mut hear).expect("sound");
        if turn % 3 == 0 {
            payload = (0..roll(200)).map(|_| roll(256) as u8).collect();
        } else {
            for _ in 0..1 + roll(4) {
                let at = roll(payload.len() as u64) as usize;
                payload[at] = roll(256) as u8;
            }
        }
        let settings = limits.journal.clone();
        let (mut journal, _) = Journal::open(Simulated::new(), settings, 5, &mut |_, _| {}).expect("new");
        let key = journal.begin(&payload, 100).expect("room");
        let note: Vec<u8> = (0..roll(20)).map(|_| roll(256) as u8).collect();
        journal.note(key, roll(5) as u8, &note);
        journal.commit(Duration::ZERO, &mut |_, _| {}).expect("no fault is set");
        let store = journal.into_store().after_kill();
        let held = store.held();
        match TextJournal::with_store(store.clone(), &limits, now()) {
            Ok(journal) => read += usize::from(journal.outstanding().len() == 1),
            Err(e) => {
                assert!(e.to_string().contains("sound records can't be read by this program"), "{e}");
                refused += 1;
            }
        }
        assert_eq!(store.held(), held);
    }
    assert!(refused > 1000 && read > 20, "{refused} {read}");
}

/// The disk takes a part of what is written and fails from then on, so that nothing can be cut off again, and the process is
/// killed. Texts that were refused for that are not owed by the next life: their clients may have handed them in again.
#[test]
fn what_was_refused_is_not_owed_by_the_next_life() {
    let limits = limits();
    let promised = |store: Simulated| {
        let mut journal = TextJournal::with_store(store, &limits, now()).expect("opens");
        journal.accept(info(9), vec![9; 60].into(), now()).expect("room");
        journal.flush().expect("nothing fails yet");
        journal
    };
    let begun = promised(Simulated::new()).into_store().calls();
    let (mut found, mut unsure) = (Vec::new(), 0);
    for bytes in (8..800).step_by(8) {
        let store = (1..40).fold(Simulated::new().fault(begun, Fault::Short(bytes)), |store, later| {
            store.fault(begun + later, Fault::Error(ErrorKind::Other))
        });
        let mut journal = promised(store);
        let refused: Vec<usize> =
            (0..4).filter_map(|at| journal.accept(info(at), vec![7; 60].into(), now())).collect();
        if journal.flush().is_ok() {
            continue;
        }
        // Of the others no promise is made.
        unsure += refused.iter().filter(|text| journal.may_be_recovered(**text)).count();
        let refused: Vec<String> = refused
            .into_iter()
            .filter(|text| !journal.may_be_recovered(*text))
            .map(|text| journal.outstanding()[&text].info.id.clone())
            .collect();
        let taken: Vec<usize> = journal.outstanding().keys().copied().filter(|text| *text != 0).collect();
        taken.iter().for_each(|text| journal.abandon(*text));
        let next = TextJournal::with_store(journal.into_store().after_kill(), &limits, now()).expect("opens");
        let owed = next.outstanding().values().map(|owed| owed.info.id.as_str());
        found.extend(
            owed.filter(|id| refused.iter().any(|other| other == id)).map(|id| (bytes, id.to_owned())),
        );
        assert!(
            next.outstanding().values().any(|owed| owed.info.id == "t9"),
            "{bytes}: what was promised is lost"
        );
    }
    assert!(found.is_empty(), "refused and owed: {found:?}");
    assert!(unsure > 0, "nothing was left in doubt");
    // Where what came of a write is cut off again, a text is refused for sure.
    for bytes in (8..400).step_by(8) {
        let store = Simulated::new().fault(begun, Fault::Short(bytes));
        let mut journal = promised(store.fault(begun + 1, Fault::Error(ErrorKind::Other)));
        let text = journal.accept(info(0), vec![7; 600].into(), now()).expect("room");
        assert!(journal.flush().is_err());
        assert!(!journal.may_be_recovered(text), "{bytes}: it was cut off");
        journal.abandon(text);
        let next = TextJournal::with_store(journal.into_store().after_kill(), &limits, now()).expect("opens");
        assert_eq!(next.outstanding().len(), 1, "{bytes}");
    }
}

/// What was asked to outlast the machine is written, and its sync fails: a text may be found by the next life, so it is not
/// refused as harmless.
#[test]
fn a_text_whose_sync_failed_is_in_doubt() {
    let mut limits = limits();
    limits.journal.durability = Durability::Batch;
    let promised = |store: Simulated| {
        let mut journal = TextJournal::with_store(store, &limits, now()).expect("opens");
        journal.accept(info(9), vec![9; 60].into(), now()).expect("room");
        journal.flush().expect("nothing fails yet");
        journal
    };
    let begun = promised(Simulated::new()).into_store().calls();
    // The write itself, then its sync.
    let mut journal = promised(Simulated::new().fault(begun + 1, Fault::Error(ErrorKind::Other)));
    let text = journal.accept(info(0), vec![7; 60].into(), now()).expect("room");
    assert!(journal.flush().is_err());
    assert!(journal.may_be_recovered(text), "it was written");
    let found = TextJournal::with_store(journal.into_store().after_kill(), &limits, now()).expect("opens");
    assert!(found.outstanding().values().any(|owed| owed.info.id == "t0"));
}
