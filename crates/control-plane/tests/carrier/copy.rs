//! The copy on a disk: a kill at any place leaves a whole one, damage is refused with its place.

use crate::support::{Folder, secret};
use indigomast::time::Moment;
use indigomast_assignment::catalog::{Change, Replica, Settings};
use indigomast_assignment::controller::{Controller, Event};
use indigomast_control_plane::copy::{Copy, Found};
use indigomast_rollout::wire::Secret;
use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

fn settings() -> Settings {
    Settings { shards: 8, ..Settings::default() }
}

fn put(controller: &mut Controller, destination: u32) {
    let change = Change::Put { destination, weight: 1, body: format!("body of {destination}") };
    controller.step(Moment::from_millis(0.0), Event::Change(change));
}

fn controller() -> Controller {
    Controller::new(1, Replica::new(&settings()), &settings(), secret(), Moment::from_millis(0.0))
}

fn open(path: &Path) -> (Copy, Found) {
    Copy::open(path, 0, secret(), &settings()).expect("the folder can be used")
}

/// A snapshot with destinations 0 to 4, and a batch for each of 5 to 9; what each log line's end is.
fn written(path: &Path) -> (Replica, Vec<u64>) {
    let (mut copy, found) = open(path);
    assert!(matches!(found, Found::Nothing));
    let mut controller = controller();
    (0..5).for_each(|destination| put(&mut controller, destination));
    copy.replace(controller.replica()).expect("written");
    let mut ends = vec![0];
    for destination in 5..10 {
        put(&mut controller, destination);
        let batch = controller.replica().batch_after(copy.position().expect("some")).expect("by changes");
        copy.append(&batch).expect("written");
        ends.push(fs::metadata(path.join("log-1")).expect("there").len());
    }
    (controller.replica().clone(), ends)
}

fn whole(found: Found) -> Replica {
    match found {
        Found::Whole(replica) => *replica,
        other => panic!("{other:?}"),
    }
}

fn copied(from: &Path, to: PathBuf) -> PathBuf {
    _ = fs::remove_dir_all(&to);
    fs::create_dir(&to).expect("a folder");
    for entry in fs::read_dir(from).expect("a folder") {
        let entry = entry.expect("an entry");
        fs::copy(entry.path(), to.join(entry.file_name())).expect("copied");
    }
    to
}

#[test]
fn what_was_written_is_found_again() {
    let folder = Folder::new();
    let path = folder.0.join("state");
    let (replica, _) = written(&path);
    let (mut copy, found) = open(&path);
    let found = whole(found);
    assert!(found.pieces().eq(replica.pieces()));
    assert_eq!(copy.position(), Some(replica.position()));
    // And it goes on there.
    let mut controller = Controller::new(2, found, &settings(), secret(), Moment::from_millis(0.0));
    put(&mut controller, 20);
    let batch = controller.replica().batch_after(replica.position()).expect("by changes");
    copy.append(&batch).expect("written");
    drop(copy);
    assert_eq!(whole(open(&path).1).position(), controller.replica().position());
}

#[test]
fn a_log_cut_at_any_byte_keeps_each_batch_that_was_whole() {
    let folder = Folder::new();
    let path = folder.0.join("state");
    let (_, ends) = written(&path);
    let log = fs::read(path.join("log-1")).expect("there");
    for length in 0..=log.len() {
        let cut = copied(&path, folder.0.join("cut"));
        fs::write(cut.join("log-1"), &log[..length]).expect("written");
        let batches = ends.iter().filter(|end| **end > 0 && **end <= length as u64).count();
        let (copy, found) = open(&cut);
        assert_eq!(whole(found).live(), 5 + batches, "cut at byte {length}");
        drop(copy);
        let left = fs::metadata(cut.join("log-1")).expect("there").len();
        assert_eq!(left, ends[batches], "what was torn is cut away");
    }
}

#[test]
fn a_last_line_whose_middle_never_reached_the_disk_is_torn_as_well() {
    let folder = Folder::new();
    let path = folder.0.join("state");
    let (_, ends) = written(&path);
    let mut log = fs::read(path.join("log-1")).expect("there");
    let from = ends[4] as usize + 20;
    log[from..from + 40].fill(0);
    fs::write(path.join("log-1"), &log).expect("written");
    assert_eq!(whole(open(&path).1).live(), 9);
}

#[test]
fn damage_in_the_middle_is_refused_with_its_place_and_put_aside() {
    let folder = Folder::new();
    let path = folder.0.join("state");
    let (_, ends) = written(&path);
    let snapshot = fs::read(path.join("copy")).expect("there");
    let log = fs::read(path.join("log-1")).expect("there");
    let spoil = |file: &str, bytes: &[u8]| {
        let spoilt = copied(&path, folder.0.join("spoilt"));
        fs::write(spoilt.join(file), bytes).expect("written");
        let (copy, found) = open(&spoilt);
        let Found::Damaged(place) = found else { panic!("{file}: {found:?}") };
        assert!(place.contains(file) && place.contains("line "), "{place}");
        assert_eq!(copy.position(), None);
        drop(copy);
        assert!(spoilt.join(format!("{file}.damaged")).is_file());
        assert!(matches!(open(&spoilt).1, Found::Nothing), "the next start begins anew");
    };
    // One bit anywhere in the snapshot, and in any line of the log but the last.
    for at in (0..snapshot.len()).step_by(37) {
        let mut bytes = snapshot.clone();
        bytes[at] ^= 1;
        spoil("copy", &bytes);
    }
    for at in (0..ends[4] as usize - 1).step_by(37) {
        let mut bytes = log.clone();
        bytes[at] ^= 1;
        spoil("log-1", &bytes);
    }
    // A snapshot that is cut; a line of the log left out, and one that stands twice.
    for length in (0..snapshot.len()).step_by(53) {
        spoil("copy", &snapshot[..length]);
    }
    let line = |n: usize| &log[ends[n] as usize..ends[n + 1] as usize];
    spoil("log-1", &[line(0), line(2), line(3), line(4)].concat());
    spoil("log-1", &[line(0), line(1), line(1), line(2), line(3)].concat());
}

#[test]
fn lines_of_a_snapshot_that_changed_places_are_damage() {
    let folder = Folder::new();
    let path = folder.0.join("state");
    let mut controller = controller();
    (0..1200).for_each(|destination| put(&mut controller, destination));
    let (mut copy, _) = open(&path);
    copy.replace(controller.replica()).expect("written");
    drop(copy);
    let text = fs::read_to_string(path.join("copy")).expect("there");
    let mut lines: Vec<&str> = text.lines().collect();
    assert!(lines.len() > 4, "records in several lines");
    // Two of the log, each whole and sealed, in the other's place.
    let last = lines.len() - 2;
    lines.swap(last - 1, last);
    fs::write(path.join("copy"), lines.join("\n") + "\n").expect("written");
    assert!(matches!(open(&path).1, Found::Damaged(place) if place.contains("line ")));
}

#[test]
fn a_kill_between_any_two_steps_of_a_new_snapshot_leaves_a_whole_copy() {
    let folder = Folder::new();
    let path = folder.0.join("state");
    let (replica, _) = written(&path);
    let before = copied(&path, folder.0.join("before"));
    let (mut copy, found) = open(&path);
    assert_eq!(whole(found).position(), replica.position());
    copy.replace(&replica).expect("written");
    drop(copy);
    assert!(!path.join("log-1").exists() && !path.join("log-2").exists());
    let new = fs::read(path.join("copy")).expect("there");
    let find = |path: &Path, what: &str| {
        let found = whole(open(path).1);
        assert!(found.pieces().eq(replica.pieces()), "{what}");
    };
    // While the new one is written, of whatever length it is by then.
    for length in (0..=new.len()).step_by(61) {
        let killed = copied(&before, folder.0.join("killed"));
        fs::write(killed.join("copy.new"), &new[..length]).expect("written");
        find(&killed, &format!("killed after {length} bytes of the new one"));
        assert!(!killed.join("copy.new").exists());
    }
    // After the rename, with the log of the one before still there.
    let killed = copied(&before, folder.0.join("killed"));
    fs::write(killed.join("copy"), &new).expect("written");
    find(&killed, "killed after the rename");
    assert!(!killed.join("log-1").exists(), "the log of the one before is swept away");
    // A log of the same number that an older life left is not taken for its own.
    let killed = copied(&before, folder.0.join("killed"));
    fs::copy(killed.join("log-1"), killed.join("log-2")).expect("copied");
    let (mut copy, _) = open(&killed);
    copy.replace(&replica).expect("written");
    drop(copy);
    find(&killed, "with an older log of this number");
}

#[test]
fn another_fleet_s_or_process_s_copy_is_damage_and_other_settings_are_a_complaint() {
    let folder = Folder::new();
    let path = folder.0.join("state");
    written(&path);
    let other = copied(&path, folder.0.join("other"));
    let key = Secret::new(b"another key of a fleet").expect("long enough");
    assert!(matches!(Copy::open(&other, 0, key, &settings()).expect("usable").1, Found::Damaged(_)));
    let other = copied(&path, folder.0.join("other"));
    assert!(matches!(Copy::open(&other, 1, secret(), &settings()).expect("usable").1, Found::Damaged(_)));
    let more = Settings { shards: 16, ..settings() };
    let wrong = Copy::open(&path, 0, secret(), &more).err().expect("a complaint");
    assert_eq!(wrong.kind(), ErrorKind::InvalidInput);
    assert!(path.join("copy").is_file(), "nothing was put aside for that");
}

#[test]
fn two_processes_never_have_one_folder() {
    let folder = Folder::new();
    let (_copy, _) = open(&folder.0.join("state"));
    let second = Copy::open(&folder.0.join("state"), 0, secret(), &settings());
    assert_eq!(second.err().map(|e| e.kind()), Some(ErrorKind::ResourceBusy));
}
