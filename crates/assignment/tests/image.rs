//! A copy that was written in pieces and read again is the same one; what is cut, changed or left out is refused.

use indigomast::time::Moment;
use indigomast_assignment::catalog::{Change, Position, Replica, Settings};
use indigomast_assignment::controller::{Controller, Event};
use indigomast_assignment::image::{Batch, Piece};
use indigomast_assignment::placement::Place;
use indigomast_assignment::wire::{Fault, Record, VERSION};
use indigomast_rollout::wire::Secret;

fn settings(log: usize) -> Settings {
    Settings { shards: 16, log, ..Settings::default() }
}

fn now() -> Moment {
    Moment::from_millis(0.0)
}

fn controller(epoch: u32, replica: Replica, settings: &Settings) -> Controller {
    let secret = Secret::new(b"sixteen bytes or more").expect("long enough");
    Controller::new(epoch, replica, settings, secret, now())
}

fn put(controller: &mut Controller, destination: u32, version: u32) {
    let body = format!("v={version} \"quoted\"");
    controller.step(now(), Event::Change(Change::Put { destination, weight: 1 + version, body }));
}

/// Members, 40 destinations of which some changed and some went, a common line.
fn filled(settings: &Settings) -> Controller {
    let mut filled = controller(3, Replica::new(settings), settings);
    let here = (0..4).map(|n| (n, Some(Place { region: n as u16 % 2, zone: n as u16 }))).collect();
    filled.step(now(), Event::Members(here));
    (0..40).for_each(|destination| put(&mut filled, destination, 0));
    (0..40).step_by(3).for_each(|destination| put(&mut filled, destination, 1));
    for destination in [5, 6, 7] {
        filled.step(now(), Event::Change(Change::Remove { destination }));
    }
    filled.step(now(), Event::Change(Change::Common { body: "limit=3".into() }));
    filled
}

fn read(settings: &Settings, pieces: &[Piece]) -> Result<Replica, Fault> {
    Replica::from_pieces(settings, pieces.iter().cloned().map(Ok))
}

fn same(one: &Replica, other: &Replica) {
    // All there is of a copy is in its pieces: shards, destinations gone, eras, log and floor.
    assert!(one.pieces().eq(other.pieces()));
    assert_eq!((one.live(), one.position(), one.floor()), (other.live(), other.position(), other.floor()));
}

#[test]
fn a_copy_written_and_read_again_is_the_same() {
    for log in [1 << 18, 10] {
        let settings = settings(log);
        let controller = filled(&settings);
        let pieces: Vec<Piece> = controller.replica().pieces().collect();
        let copy = read(&settings, &pieces).expect("as written");
        same(controller.replica(), &copy);
        assert_eq!(copy.live(), 37);
        // And what comes after is told from it as from the first.
        let before = Position { epoch: 3, revision: copy.revision() - 5 };
        assert_eq!(controller.replica().batch_after(before), copy.batch_after(before));
    }
}

#[test]
fn a_copy_goes_on_by_batches_also_over_a_later_controller() {
    let settings = settings(1 << 18);
    let mut first = filled(&settings);
    let mut copy = first.replica().clone();
    put(&mut first, 50, 0);
    put(&mut first, 50, 1);
    let batch = first.replica().batch_after(copy.position()).expect("by changes");
    assert_eq!(batch.records.len(), 1, "what changed twice is written once");
    copy.take_in(&batch).expect("it follows");
    // The log has what changed twice only where it did last, as every relay's has.
    let but_for_the_log = |piece: &Piece| !matches!(piece, Piece::Log(_));
    let pieces = |replica: &Replica| replica.pieces().filter(but_for_the_log).collect::<Vec<_>>();
    assert_eq!(pieces(first.replica()), pieces(&copy));
    let before = Position { epoch: 3, revision: 20 };
    assert_eq!(first.replica().batch_after(before), copy.batch_after(before));
    let mut second = controller(9, first.replica().clone(), &settings);
    second.step(now(), Event::Change(Change::Remove { destination: 50 }));
    let batch = second.replica().batch_after(copy.position()).expect("by changes");
    copy.take_in(&batch).expect("it follows");
    assert_eq!((copy.epoch(), copy.position()), (9, second.replica().position()));
    assert_eq!(copy.find(50).map(|entry| entry.body.is_some()), Some(false));
}

#[test]
fn a_batch_that_does_not_follow_is_refused() {
    let settings = settings(1 << 18);
    let mut first = filled(&settings);
    let copy = first.replica().clone();
    put(&mut first, 50, 0);
    let batch = first.replica().batch_after(copy.position()).expect("by changes");
    let refused = |batch: &Batch| copy.clone().take_in(batch).expect_err("refused").place;
    let earlier = Position { epoch: 3, revision: copy.revision() - 1 };
    assert_eq!(refused(&Batch { from: earlier, ..batch.clone() }), "from");
    let twice = Batch { records: [batch.records.clone(), batch.records.clone()].concat(), ..batch.clone() };
    assert_eq!(refused(&twice), "records[1].revision");
    let other = Position { epoch: 8, ..batch.through };
    assert_eq!(refused(&Batch { through: other, ..batch.clone() }), "through");
    assert_eq!(refused(&Batch { version: VERSION + 1, ..batch.clone() }), "version");
    let wrong = Batch { records: vec![Record::End], ..batch };
    assert_eq!(refused(&wrong), "records[0].record");
}

#[test]
fn what_the_log_does_not_reach_or_has_parted_is_no_batch() {
    let settings = settings(4);
    let controller = filled(&settings);
    let floor = controller.replica().floor();
    let at = |epoch, revision| Position { epoch, revision };
    assert!(controller.replica().batch_after(at(3, floor)).is_some());
    assert!(controller.replica().batch_after(at(3, floor - 1)).is_none());
    assert!(controller.replica().batch_after(at(2, floor)).is_none());
    assert!(controller.replica().batch_after(at(3, 1 << 40)).is_none());
}

#[test]
fn pieces_left_out_twice_or_out_of_order_are_refused() {
    let settings = settings(1 << 18);
    let pieces: Vec<Piece> = filled(&settings).replica().pieces().collect();
    assert!(pieces.len() >= 4, "head, records, log, end");
    for at in 0..pieces.len() {
        let mut without = pieces.clone();
        without.remove(at);
        assert!(read(&settings, &without).is_err(), "without piece {at}");
        let mut twice = pieces.clone();
        twice.insert(at, pieces[at].clone());
        assert!(read(&settings, &twice).is_err(), "piece {at} twice");
    }
    let wrong = read(&settings, &pieces[..pieces.len() - 1]).expect_err("the end is missing");
    assert_eq!(wrong.place, "pieces");
}

#[test]
fn a_copy_of_another_number_of_shards_is_refused_by_name() {
    let settings = settings(1 << 18);
    let pieces: Vec<Piece> = filled(&settings).replica().pieces().collect();
    let other = Settings { shards: 32, ..settings };
    assert_eq!(read(&other, &pieces).expect_err("refused").place, "pieces[0].shards");
}

#[test]
fn what_names_things_that_are_not_there_is_refused_with_its_place() {
    let settings = settings(1 << 18);
    let pieces: Vec<Piece> = filled(&settings).replica().pieces().collect();
    let Piece::Records(records) = &pieces[1] else { panic!("records come second") };
    let spoilt = |change: &dyn Fn(&mut Vec<Record>)| {
        let (mut pieces, mut records) = (pieces.clone(), records.clone());
        change(&mut records);
        pieces[1] = Piece::Records(records);
        read(&settings, &pieces).expect_err("refused").place
    };
    assert_eq!(
        spoilt(&|records| records.insert(0, Record::Remove(1, 1))),
        "pieces[1].records[0].destination"
    );
    assert_eq!(spoilt(&|records| records.insert(0, Record::Release(99))), "pieces[1].records[0].shard");
    assert_eq!(spoilt(&|records| records.insert(0, Record::Era(9, 9))), "pieces[1].records[0].record");
    let at = records.iter().position(|record| matches!(record, Record::Put(..))).expect("one");
    let late = |records: &mut Vec<Record>| {
        if let Record::Put(_, revision, ..) = &mut records[at] {
            *revision = 1 << 40;
        }
    };
    assert_eq!(spoilt(&late), format!("pieces[1].records[{at}].revision"));
}
