//! A fixed history with compaction, cut at every call of the store in turn; what is found again equals a model's.
//!
//! At each cut the write there takes nothing, a part or all of its bytes. Then either the process alone is gone, or the
//! machine: of what was not synced every subset is lost while that is up to eight changes, beyond that every beginning,
//! all but one, and one alone.

use indigomast_journal::{
    Damage, Durability, Entry, Fault, Journal, Key, Recovered, Settings, Simulated, Store,
};
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;

const ALL: usize = 8;
const RESERVE: u64 = 60;

/// What an owner keeps of each item: its beginning and its notes.
type State = BTreeMap<Key, Vec<Vec<u8>>>;

fn image(state: &State, key: Key, into: &mut Vec<u8>) {
    for part in &state[&key] {
        into.push(part.len() as u8);
        into.extend_from_slice(part);
    }
}

fn hear(state: &mut State, key: Key, entry: Entry) {
    match entry {
        Entry::Open(payload) => _ = state.insert(key, vec![payload.to_vec()]),
        Entry::Note(tag, payload) => {
            let note = [&[tag], payload].concat();
            state.get_mut(&key).expect("of an open item").push(note);
        }
        Entry::Whole(mut rest) => {
            let mut parts = Vec::new();
            while let Some((length, more)) = rest.split_first() {
                let (part, more) = more.split_at(usize::from(*length));
                parts.push(part.to_vec());
                rest = more;
            }
            state.insert(key, parts);
        }
        Entry::Close => _ = state.remove(&key),
    }
}

fn settings(durability: Durability) -> Settings {
    Settings { segment: 420, most: 8 * 420, longest: 160, step: 60, durability }
}

fn open(store: Simulated, durability: Durability) -> io::Result<(Journal<Simulated>, Recovered, State)> {
    let mut state = State::new();
    let opened =
        Journal::open(store, settings(durability), 77, &mut |key, entry| hear(&mut state, key, entry));
    let (mut journal, recovered) = opened?;
    state.keys().for_each(|key| journal.reserve(*key, RESERVE));
    Ok((journal, recovered, state))
}

/// A new journal, and how many calls it took to make one.
fn fresh(durability: Durability) -> (usize, Journal<Simulated>, State) {
    let open = || open(Simulated::new(), durability).expect("a new one");
    let begun = open().0.into_store().calls();
    let (journal, _, state) = open();
    (begun, journal, state)
}

/// Plays a history of so many commits. What the state was after the last commit that came back, and after each thing
/// that was done since; and the journal, if nothing failed.
struct Played {
    journal: Option<Journal<Simulated>>,
    store: Option<Simulated>,
    since: Vec<State>,
    moved: usize,
    retired: usize,
}

fn play(mut journal: Journal<Simulated>, mut state: State, commits: u32, seed: u64) -> Played {
    let mut dice = seed;
    let mut roll = move |sides: u64| {
        dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (dice >> 33) % sides
    };
    let (mut moved, mut retired) = (0, 0);
    let mut since = vec![state.clone()];
    for commit in 0..commits {
        for _ in 0..1 + roll(3) {
            let open: Vec<Key> = state.keys().copied().collect();
            let some = |at: u64| open.get(at as usize % open.len().max(1)).copied();
            match (roll(4), some(roll(64))) {
                (0 | 1, _) if open.len() < 9 => {
                    let payload = vec![commit as u8; 8 + roll(20) as usize];
                    let Ok(key) = journal.begin(&payload, RESERVE) else { continue };
                    state.insert(key, vec![payload]);
                }
                (2, Some(key)) if state[&key].len() < 6 => {
                    let note = vec![roll(250) as u8; roll(9) as usize];
                    journal.note(key, 3, &note);
                    state.get_mut(&key).expect("open").push([&[3], &note[..]].concat());
                }
                (_, Some(key)) => {
                    journal.close(key);
                    state.remove(&key);
                }
                _ => continue,
            }
            since.push(state.clone());
        }
        match journal
            .commit(Duration::from_millis(u64::from(commit)), &mut |key, into| image(&state, key, into))
        {
            Ok(step) => {
                moved += step.moved;
                retired += step.retired;
                since = vec![state.clone()];
            }
            Err(_) => {
                return Played { journal: None, store: Some(journal.into_store()), since, moved, retired };
            }
        }
    }
    Played { journal: Some(journal), store: None, since, moved, retired }
}

const COMMITS: u32 = 70;

#[test]
fn what_was_promised_is_found_after_a_cut_at_every_call() {
    for durability in [Durability::Batch, Durability::Process] {
        let (begun, journal, state) = fresh(durability);
        let whole = play(journal, state, COMMITS, 5);
        assert!(whole.moved > 5 && whole.retired > 5, "{} {}", whole.moved, whole.retired);
        let calls = whole.journal.expect("nothing fails").into_store().calls();
        let (mut cuts, mut found) = (0, 0);
        for call in begun..calls {
            for bytes in [0, 17, usize::MAX] {
                let store = Simulated::new().fault(call, Fault::Cut(bytes));
                let (journal, _, state) = open(store, durability).expect("the cut is later");
                let Played { store: Some(store), since, .. } = play(journal, state, COMMITS, 5) else {
                    // A part that needn't succeed, such as a removal, was the last call.
                    continue;
                };
                assert!(store.is_cut());
                cuts += 1;
                let what = format!("{durability:?}, call {call}, {bytes} bytes");
                check(store.after_kill(), durability, &since, &what, false);
                for (at, left) in store.after_power_loss(ALL).into_iter().enumerate() {
                    found += 1;
                    check(left, durability, &since, &format!("{what}, subset {at}"), true);
                }
            }
        }
        assert!(cuts > 300 && found > 600, "{cuts} cuts, {found} stores");
    }
}

fn check(store: Simulated, durability: Durability, since: &[State], what: &str, power: bool) {
    let opened = open(store, durability);
    let (journal, recovered, state) = opened.unwrap_or_else(|e| panic!("{what}: {e}"));
    if power && durability == Durability::Process {
        // Nothing is promised; but it is read and goes on.
        return;
    }
    assert!(recovered.damage.is_empty() && recovered.suspects.is_empty(), "{what}: {recovered:?}");
    assert!(since.contains(&state), "{what}: found {state:?}, promised {:?}", since[0]);
    // And the next life keeps its own promises on top of it.
    let played = play(journal, state, 6, 9);
    let journal = played.journal.unwrap_or_else(|| panic!("{what}: the next life fails"));
    let (_, recovered, state) = open(journal.into_store().after_kill(), durability).expect("opens");
    assert!(recovered.damage.is_empty(), "{what}: {recovered:?}");
    assert_eq!(&state, &played.since[0], "{what}: after the next life");
}

#[test]
fn an_error_at_any_call_promises_nothing_and_loses_nothing() {
    for durability in [Durability::Batch, Durability::Process] {
        let (begun, journal, state) = fresh(durability);
        let calls = play(journal, state, COMMITS, 5).journal.expect("nothing fails").into_store().calls();
        for call in begun..calls {
            for fault in [
                Fault::Error(io::ErrorKind::StorageFull),
                Fault::Error(io::ErrorKind::Other),
                Fault::Error(io::ErrorKind::Interrupted),
                Fault::Short(5),
            ] {
                let (journal, _, state) =
                    open(Simulated::new().fault(call, fault), durability).expect("the fault is later");
                let (mut journal, mut state) = (journal, state);
                let what = format!("{durability:?}, call {call}, {fault:?}");
                // The owner adds, is told of the error, and commits again.
                let mut dice = 5u64;
                for commit in 0..COMMITS {
                    dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                    let open: Vec<Key> = state.keys().copied().collect();
                    if open.len() > 6 {
                        let key = open[(dice >> 40) as usize % open.len()];
                        journal.close(key);
                        state.remove(&key);
                    }
                    let payload = vec![commit as u8; 20];
                    if let Ok(key) = journal.begin(&payload, RESERVE) {
                        state.insert(key, vec![payload]);
                    }
                    let now = Duration::from_millis(u64::from(commit));
                    let mut tries = 0;
                    while journal.commit(now, &mut |key, into| image(&state, key, into)).is_err() {
                        tries += 1;
                        assert!(tries < 3, "{what}: fails for ever");
                    }
                }
                let (_, _, found) = open(journal.into_store().after_kill(), durability).expect("opens");
                assert_eq!(found, state, "{what}");
            }
        }
    }
}

#[test]
fn what_is_open_always_fits_however_long_it_goes_on() {
    for seed in 0..6u64 {
        let (mut journal, _, mut state) =
            open(Simulated::with_room(8 * 420 + 200), Durability::Batch).expect("new");
        let mut full = 0;
        let mut dice = seed;
        for turn in 0..4000u64 {
            dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            let pick = (dice >> 33) as usize;
            let payload = vec![turn as u8; 5 + pick % 60];
            match journal.begin(&payload, RESERVE) {
                Ok(key) => _ = state.insert(key, vec![payload]),
                Err(_) => {
                    full += 1;
                    let key = *state.keys().nth(pick % state.len()).expect("full of them");
                    // One note is what is reserved for.
                    if state[&key].len() == 1 {
                        journal.note(key, 1, &[7; 20]);
                        state.get_mut(&key).expect("open").push([&[1][..], &[7; 20]].concat());
                    }
                    let key = *state.keys().nth(pick / 64 % state.len()).expect("full of them");
                    journal.close(key);
                    state.remove(&key);
                }
            }
            let step = journal.commit(Duration::ZERO, &mut |key, into| image(&state, key, into));
            let step = step.unwrap_or_else(|e| panic!("seed {seed}, turn {turn}: {e}"));
            assert!(step.moved_bytes < 1200, "{step:?}");
        }
        assert!(full > 1000);
        let (_, _, found) = open(journal.into_store().after_kill(), Durability::Batch).expect("opens");
        assert_eq!(found, state);
    }
}

#[test]
fn damage_in_the_middle_is_told_and_what_is_sound_behind_it_is_found() {
    let (journal, _, state) = open(Simulated::new(), Durability::Batch).expect("new");
    let played = play(journal, state, COMMITS, 5);
    let promised = played.since[0].clone();
    let store = played.journal.expect("fine").into_store().after_kill();
    let names = segments(&store);
    assert!(names.len() >= 3);
    let (mut told, mut lost) = (0, 0);
    for name in &names[..names.len() - 1] {
        for bit in (0..400 * 8).step_by(37) {
            let mut spoilt = store.clone();
            spoilt.spoil(name, bit);
            let (_, recovered, found) = open(spoilt, Durability::Batch).expect("opens");
            let differs: Vec<&Key> =
                promised.keys().filter(|key| found.get(key) != promised.get(key)).collect();
            // Whatever is not as it was is told of: as lost with its beginning, or as a suspect.
            if !differs.is_empty() {
                lost += 1;
                assert!(!recovered.damage.is_empty(), "{name} {bit}: {differs:?}");
            }
            for key in differs {
                let gone = !found.contains_key(key);
                assert!(gone || recovered.suspects.contains(key), "{name} {bit}: {key:?} {recovered:?}");
            }
            // And what came back from its end is a suspect as well.
            for key in found.keys().filter(|key| !promised.contains_key(key)) {
                assert!(recovered.suspects.contains(key), "{name} {bit}: {key:?} {recovered:?}");
            }
            told += usize::from(!recovered.damage.is_empty());
        }
    }
    assert!(told > 100 && lost > 10, "{told} {lost}");
}

#[test]
fn a_folder_of_a_newer_format_is_refused_by_name_and_left_alone() {
    let (journal, _, state) = open(Simulated::new(), Durability::Batch).expect("new");
    let mut store = play(journal, state, 5, 1).journal.expect("fine").into_store().after_kill();
    // Bit 1 of the version in the manifest.
    store.spoil("manifest", 8 * 8 + 1);
    let before = store.held();
    let complaint = open(store.clone(), Durability::Batch).err().expect("refused");
    assert!(complaint.to_string().contains("format 3 is newer than 1"), "{complaint}");
    assert_eq!(store.held(), before);
}

fn segments(store: &Simulated) -> Vec<String> {
    let mut names = Store::list(&mut store.clone()).expect("lists");
    names.retain(|name| name.ends_with(".seg"));
    names.sort();
    names
}

/// Guards against a segment that ends too early, but between two records, and looks whole.
#[test]
fn a_segment_cut_between_two_records_is_told_as_damage() {
    let (journal, _, state) = open(Simulated::new(), Durability::Batch).expect("new");
    let store = play(journal, state, COMMITS, 5).journal.expect("fine").into_store().after_kill();
    let names = segments(&store);
    for name in &names[..names.len() - 1] {
        let mut told = 0;
        let mut whole = store.clone();
        let file = whole.open(name).expect("there");
        let length = whole.length(&file).expect("there");
        for cut in 44..length {
            let mut short = store.clone();
            let mut file = short.open(name).expect("there");
            short.truncate(&mut file, cut).expect("no fault is set");
            let (_, recovered, _) = open(short, Durability::Batch).expect("opens");
            assert_eq!(recovered.damage.len(), 1, "{name} at {cut}: {recovered:?}");
            let Damage { offset, bytes, .. } = recovered.damage[0];
            assert_eq!(offset + bytes, length, "{name} at {cut}: {recovered:?}");
            assert!(recovered.most_lost(0).is_some_and(|most| most >= 1), "{name} at {cut}: {recovered:?}");
            told += 1;
        }
        assert!(told > 100, "{name}");
    }
}

#[test]
fn without_its_manifest_a_journal_is_read_by_its_segments() {
    let (journal, _, state) = open(Simulated::new(), Durability::Batch).expect("new");
    let played = play(journal, state, COMMITS, 5);
    let mut store = played.journal.expect("fine").into_store().after_kill();
    for spoilt in [true, false] {
        if spoilt {
            store.spoil("manifest", 130)
        } else {
            store.remove("manifest").expect("there")
        }
        let (_, recovered, found) = open(store.clone(), Durability::Batch).expect("opens");
        assert!(recovered.manifest_lost && recovered.damage.is_empty(), "{recovered:?}");
        assert_eq!(found, played.since[0]);
    }
}

/// With an interval between syncs, more than one commit hangs on the next sync: after one that failed, and after a
/// write that could be neither finished nor undone, all of them go again.
#[test]
fn errors_between_syncs_lose_nothing_to_a_later_loss_of_power() {
    let durability = Durability::Interval(Duration::from_millis(5));
    let (begun, journal, state) = fresh(durability);
    let calls = play(journal, state, COMMITS, 5).journal.expect("nothing fails").into_store().calls();
    let mut failed = 0;
    for call in begun..calls {
        for more in [0, 1, 2] {
            let mut store = Simulated::new();
            for at in call..=call + more {
                store = store.fault(at, Fault::Error(io::ErrorKind::Other));
            }
            let (mut journal, _, mut state) = open(store, durability).expect("the faults are later");
            let what = format!("call {call} and {more} more");
            for commit in 0..COMMITS {
                let payload = vec![commit as u8; 20];
                let open: Vec<Key> = state.keys().copied().collect();
                if open.len() > 6 {
                    journal.close(open[0]);
                    state.remove(&open[0]);
                }
                if let Ok(key) = journal.begin(&payload, RESERVE) {
                    journal.note(key, 3, &[commit as u8]);
                    state.insert(key, vec![payload, vec![3, commit as u8]]);
                }
                let now = Duration::from_millis(u64::from(commit));
                let mut tries = 0;
                while journal.commit(now, &mut |key, into| image(&state, key, into)).is_err() {
                    (tries, failed) = (tries + 1, failed + 1);
                    assert!(tries < 6, "{what}: fails for ever");
                }
            }
            // Long after, so that all is due.
            let spare = journal.begin(&[9; 8], RESERVE).expect("room");
            state.insert(spare, vec![vec![9; 8]]);
            let commit = journal.commit(Duration::from_secs(9), &mut |key, into| image(&state, key, into));
            assert!(commit.expect("no fault is left").synced, "{what}");
            for left in journal.into_store().after_power_loss(ALL) {
                let (_, recovered, found) = open(left, durability).expect("opens");
                assert!(recovered.damage.is_empty(), "{what}: {recovered:?}");
                let notes = |state: &State| state.keys().copied().collect::<Vec<_>>();
                assert_eq!(notes(&found), notes(&state), "{what}");
                for (key, parts) in &state {
                    // A note that went again may be read twice.
                    let mut once = found[key].clone();
                    once.dedup();
                    assert_eq!(&once, parts, "{what}: {key:?}");
                }
            }
        }
    }
    assert!(failed > 200, "{failed}");
}

/// Guards against a memory that a full disk fills: what is turned away leaves nothing behind.
#[test]
fn items_taken_back_after_a_failed_commit_are_gone() {
    let (mut journal, _, mut state) = open(Simulated::with_room(400), Durability::Batch).expect("new");
    let mut refused = 0;
    for turn in 0..200u8 {
        let payload = vec![turn; 40];
        let Ok(key) = journal.begin(&payload, RESERVE) else { break };
        state.insert(key, vec![payload]);
        if journal.commit(Duration::ZERO, &mut |key, into| image(&state, key, into)).is_err() {
            journal.abandon(key);
            state.remove(&key);
            refused += 1;
        }
    }
    assert!(refused > 100 && !state.is_empty(), "{refused} {}", state.len());
    assert!(journal.waiting() <= 2, "{} records wait", journal.waiting());
    let (_, recovered, found) = open(journal.into_store().after_kill(), Durability::Batch).expect("opens");
    assert!(recovered.damage.is_empty(), "{recovered:?}");
    assert_eq!(found, state);
}

#[test]
fn compacted_it_holds_the_same_in_less_and_looking_at_it_changes_nothing() {
    for durability in [Durability::Batch, Durability::Process] {
        let (journal, _, state) = open(Simulated::new(), durability).expect("new");
        let played = play(journal, state, COMMITS, 5);
        let state = played.since[0].clone();
        let mut journal = played.journal.expect("fine");
        let before = journal.used();
        journal.compact(Duration::ZERO, &mut |key, into| image(&state, key, into)).expect("no fault is set");
        assert!(journal.used() < before, "{} of {before}", journal.used());
        let store = journal.into_store().after_kill();
        let mut looked = State::new();
        let (unchanged, recovered) =
            Journal::look(store.clone(), 160, &mut |key, entry| hear(&mut looked, key, entry))
                .expect("reads");
        let unchanged = unchanged.into_store();
        assert_eq!((unchanged.held(), segments(&unchanged)), (store.held(), segments(&store)));
        assert!(recovered.damage.is_empty() && !recovered.manifest_lost, "{recovered:?}");
        let (_, _, found) = open(store, durability).expect("opens");
        // A whole record is one part to its owner here.
        assert_eq!(found, looked);
        assert_eq!(found, state);
    }
}
