//! Lines cut, forged, of another version or naming what isn't there: refused with place and field, counted; what was in
//! force stays whole.

use indigomast::time::{Moment, Span};
use indigomast_assignment::budget;
use indigomast_assignment::catalog::{Change, LONGEST_BODY, Owners, Position, Replica, Settings, shard_of};
use indigomast_assignment::controller::{self, Controller};
use indigomast_assignment::publisher;
use indigomast_assignment::relay::{self, Relay};
use indigomast_assignment::subscriber::{Action, Event, Subscriber};
use indigomast_assignment::wire::{self, Frame, Hello, Kind, Record, Up, VERSION, Who};
use indigomast_rollout::wire::{Secret, Way};

const SHARDS: u32 = 8;

fn secret() -> Secret {
    Secret::new(b"sixteen bytes or more").expect("long enough")
}

fn now() -> Moment {
    Moment::from_millis(1000.0)
}

fn settings() -> Settings {
    Settings { shards: SHARDS, ..Settings::default() }
}

fn at(revision: u64) -> Position {
    Position { epoch: 1, revision }
}

/// Destinations of a shard.
fn of(shard: u32) -> impl Iterator<Item = u32> {
    (0..).filter(move |destination| shard_of(*destination, SHARDS) == shard)
}

/// A sender that holds shard 3 with two destinations, as of revision 10.
struct Sender {
    subscriber: Subscriber,
    challenge: u64,
    number: u64,
}

impl Sender {
    fn new() -> Sender {
        let subscriber = Subscriber::new(5, SHARDS, vec![0], budget::SENDER, secret(), 1, now());
        let mut sender = Sender { subscriber, challenge: 0, number: 0 };
        sender.connect();
        let mut inside = of(3);
        let records = vec![
            Record::Begin { base: at(10), whole: true, resumed: false, eras: Vec::new() },
            Record::Shard(3, 4, 1, Owners::new(&[5, 6], None)),
            Record::Put(inside.next().expect("one"), 7, 1, "first".into()),
            Record::Put(inside.next().expect("two"), 8, 1, "second".into()),
            Record::End,
        ];
        sender.say(Some(at(10)), records);
        assert_eq!((sender.subscriber.refusals.all(), sender.subscriber.part().len()), (0, 2));
        sender
    }

    fn connect(&mut self) {
        let out = self.subscriber.step(now(), Event::Connected);
        let Some(Action::Say(line)) = out.first() else { panic!("{out:?}") };
        self.challenge = wire::open_hello(&secret(), line).expect("its own").challenge;
        self.number = 0;
    }

    fn frame(&mut self, through: Option<Position>, records: Vec<Record>) -> Frame {
        self.number += 1;
        Frame { version: VERSION, number: self.number, at: at(10), through, records }
    }

    fn say(&mut self, through: Option<Position>, records: Vec<Record>) {
        let frame = self.frame(through, records);
        let line = wire::seal_frame(&secret(), Who::Sender(5), self.challenge, &frame);
        self.hear(&line);
    }

    fn hear(&mut self, line: &str) -> Vec<Action> {
        self.subscriber.step(now(), Event::Line(line))
    }

    /// The line is refused as that, nothing in force changes, the connection is ended and another is tried.
    fn refuses(mut self, line: &str, kind: Kind, place: &str, wrong: &str) {
        let before = self.subscriber.part().clone();
        let out = self.hear(line);
        assert_eq!(out, [Action::Disconnect], "{place}");
        assert_eq!(*self.subscriber.part(), before, "what was in force stays");
        let refusals = &self.subscriber.refusals;
        assert_eq!((refusals.all(), refusals.of(kind)), (1, 1), "{:?}", refusals.last);
        let last = refusals.last.as_ref().expect("counted");
        assert_eq!(last.place, place, "{last}");
        assert!(last.wrong.contains(wrong), "{last}");
        assert!(!self.subscriber.is_connected());
    }

    fn refuses_records(mut self, records: Vec<Record>, place: &str, wrong: &str) {
        let frame = self.frame(Some(at(11)), records);
        let line = wire::seal_frame(&secret(), Who::Sender(5), self.challenge, &frame);
        self.refuses(&line, Kind::Meaning, place, wrong);
    }
}

fn good(sender: &mut Sender) -> String {
    let destination = of(3).next().expect("one");
    let frame = sender.frame(Some(at(11)), vec![Record::Put(destination, 11, 1, "third".into())]);
    wire::seal_frame(&secret(), Who::Sender(5), sender.challenge, &frame)
}

#[test]
fn a_good_line_is_taken() {
    let mut sender = Sender::new();
    let line = good(&mut sender);
    sender.hear(&line);
    let destination = of(3).next().expect("one");
    let entry = sender.subscriber.part().find(destination, SHARDS).expect("held");
    assert_eq!((entry.revision, entry.body.as_deref()), (11, Some("third")));
    assert_eq!(sender.subscriber.part().position, Some(at(11)));
}

#[test]
fn a_line_cut_at_any_byte() {
    let mut sender = Sender::new();
    let whole = good(&mut sender);
    for length in 0..whole.len() {
        let mut sender = Sender::new();
        _ = good(&mut sender);
        sender.refuses_cut(&whole[..length]);
    }
}

impl Sender {
    fn refuses_cut(mut self, line: &str) {
        let before = self.subscriber.part().clone();
        assert_eq!(self.hear(line), [Action::Disconnect]);
        assert_eq!(*self.subscriber.part(), before);
        assert_eq!(self.subscriber.refusals.of(Kind::Forged), 1, "{line:?}");
    }
}

#[test]
fn a_line_with_any_byte_changed() {
    let mut sender = Sender::new();
    let whole = good(&mut sender);
    for place in 0..whole.len() {
        let mut bytes = whole.clone().into_bytes();
        bytes[place] = if bytes[place] == b'0' { b'1' } else { b'0' };
        let mut sender = Sender::new();
        _ = good(&mut sender);
        sender.refuses_cut(std::str::from_utf8(&bytes).expect("ASCII"));
    }
}

#[test]
fn a_line_by_another_key_of_another_connection_or_for_another() {
    let other = Secret::new(b"another key, as long").expect("long enough");
    let mut sender = Sender::new();
    let frame = sender.frame(None, Vec::new());
    let challenge = sender.challenge;
    for line in [
        wire::seal_frame(&other, Who::Sender(5), challenge, &frame),
        wire::seal_frame(&secret(), Who::Sender(5), challenge ^ 1, &frame),
        wire::seal_frame(&secret(), Who::Sender(6), challenge, &frame),
        wire::seal_frame(&secret(), Who::Relay(5), challenge, &frame),
        // Its own words come back.
        secret().seal(Way::FromAgent, &format!("assignment sender 5 {challenge:016x}"), &frame),
        // A keeper's order, by the same key.
        secret().seal(Way::ToAgent, "sender 5", &frame),
    ] {
        Sender::new().refuses(&line, Kind::Forged, "checksum", "");
    }
}

#[test]
fn a_line_of_another_version() {
    let mut sender = Sender::new();
    let mut frame = sender.frame(None, Vec::new());
    frame.version = 2;
    let line = wire::seal_frame(&secret(), Who::Sender(5), sender.challenge, &frame);
    sender.refuses(&line, Kind::Version, "version", "2, this is 1");
    // And one whose fields are others.
    let sender = Sender::new();
    let name = format!("assignment sender 5 {:016x}", sender.challenge);
    let line =
        secret().seal(Way::ToAgent, &name, &serde_json::json!({"version": 3, "number": 2, "what": []}));
    sender.refuses(&line, Kind::Version, "version", "3, this is 1");
}

#[test]
fn a_line_with_a_field_unknown_or_missing() {
    for (body, wrong) in [
        (serde_json::json!({"version": 1, "number": 2, "records": []}), "missing field `at`"),
        (
            serde_json::json!({"version": 1, "number": 2, "at": {"epoch": 1, "revision": 1}, "through": null,
                "records": [], "more": 1}),
            "unknown field `more`",
        ),
        (
            serde_json::json!({"version": 1, "number": 2, "at": {"epoch": 1, "revision": 1}, "through": null,
                "records": [{"swap": 1}]}),
            "unknown variant `swap`",
        ),
        (
            serde_json::json!({"version": 1, "number": 2, "at": {"epoch": 1, "revision": 1}, "through": null,
                "records": [{"owners": [3, 11, 2, [[5, 5], null]]}]}),
            "owners[1]: 5 stands twice",
        ),
    ] {
        let sender = Sender::new();
        let name = format!("assignment sender 5 {:016x}", sender.challenge);
        let line = secret().seal(Way::ToAgent, &name, &body);
        sender.refuses(&line, Kind::Form, "line", wrong);
    }
}

#[test]
fn frames_left_out_or_twice() {
    for number in [0, 1, 3, 9] {
        let mut sender = Sender::new();
        let mut frame = sender.frame(None, Vec::new());
        frame.number = number;
        let line = wire::seal_frame(&secret(), Who::Sender(5), sender.challenge, &frame);
        sender.refuses(&line, Kind::Order, "number", "2 was due");
    }
}

#[test]
fn a_controller_that_is_no_longer_the_one() {
    let mut sender = Sender::new();
    let mut frame = sender.frame(None, Vec::new());
    frame.at.epoch = 4;
    let line = wire::seal_frame(&secret(), Who::Sender(5), sender.challenge, &frame);
    sender.hear(&line);
    assert_eq!(sender.subscriber.epoch(), 4);
    let frame = sender.frame(None, Vec::new());
    let line = wire::seal_frame(&secret(), Who::Sender(5), sender.challenge, &frame);
    sender.refuses(&line, Kind::Epoch, "at.epoch", "1, 4 has been heard of");
}

#[test]
fn records_that_name_what_is_not_there() {
    let inside = of(3).next().expect("one");
    let outside = of(4).next().expect("one");
    let mine = Owners::new(&[5, 6], None);
    let fine = || Record::Put(inside, 11, 1, "fine".into());
    let long: String = "x".repeat(LONGEST_BODY + 1);
    let begin = |whole| Record::Begin { base: at(11), whole, resumed: false, eras: Vec::new() };
    for (records, place, wrong) in [
        // The first of each frame would do: it isn't taken in either.
        (
            vec![fine(), Record::Put(outside, 11, 1, "x".into())],
            "records[1].destination",
            "of shard 4, not held",
        ),
        (vec![fine(), Record::Remove(outside, 11)], "records[1].destination", "of shard 4, not held"),
        (vec![fine(), Record::Owners(4, 11, 2, mine)], "records[1].shard", "4 isn't held"),
        (
            vec![fine(), Record::Owners(3, 11, 2, Owners::new(&[6, 7], None))],
            "records[1].owners",
            "5 is none",
        ),
        (vec![fine(), Record::Release(4)], "records[1].shard", "4 isn't held"),
        (
            vec![fine(), Record::Release(3), Record::Put(inside, 12, 1, "x".into())],
            "records[2].destination",
            "",
        ),
        (
            vec![fine(), Record::Put(inside, 12, 1, long.into())],
            "records[1].body",
            "769 bytes, 768 may stand",
        ),
        (vec![fine(), Record::Put(inside, 12, 1, "a\nb".into())], "records[1].body", "byte 1"),
        (vec![fine(), Record::Common(12, "\u{e9}".into())], "records[1].body", "byte 0"),
        (vec![fine(), Record::End], "records[1].record", "can't stand here"),
        (vec![fine(), Record::Era(12, 2)], "records[1].record", "can't stand here"),
        (vec![fine(), Record::Shard(3, 11, 1, mine)], "records[1].record", "can't stand here"),
        (vec![begin(false), Record::Shard(8, 11, 1, mine)], "records[1].shard", "8, there are 8"),
        (
            vec![begin(true), Record::Put(inside, 11, 1, "x".into())],
            "records[1].destination",
            "isn't of the shard",
        ),
        (
            vec![begin(true), Record::Shard(4, 11, 1, mine), Record::Put(inside, 11, 1, "x".into())],
            "records[2].destination",
            "isn't of the shard that is open",
        ),
        (vec![begin(true), Record::Remove(inside, 11)], "records[1].record", "can't stand here"),
        (
            vec![Record::Begin { base: at(11), whole: true, resumed: true, eras: Vec::new() }],
            "records[0].begin",
            "goes on with what isn't there",
        ),
    ] {
        Sender::new().refuses_records(records, place, wrong);
    }
}

#[test]
fn half_a_snapshot_is_not_in_force() {
    let mut sender = Sender::new();
    let before = sender.subscriber.part().clone();
    let records = vec![
        Record::Begin { base: at(20), whole: true, resumed: false, eras: Vec::new() },
        Record::Shard(4, 11, 1, Owners::new(&[5], None)),
        Record::Put(of(4).next().expect("one"), 12, 1, "x".into()),
    ];
    sender.say(None, records);
    assert_eq!(sender.subscriber.part().shards, before.shards);
    // Cut off: it says where it broke off, and what it had stays.
    sender.subscriber.step(now(), Event::Lost);
    let out = sender.subscriber.step(now(), Event::Connected);
    let Some(Action::Say(line)) = out.first() else { panic!("{out:?}") };
    let hello = wire::open_hello(&secret(), line).expect("its own");
    let taken = hello.taken.expect("some of it");
    assert_eq!((taken.base, taken.shard, taken.had), (at(20), 4, vec![4]));
    assert_eq!(sender.subscriber.part().shards, before.shards);
}

#[test]
fn what_was_saved_is_damaged_of_another_or_of_another_version() {
    let sender = Sender::new();
    let saved = sender.subscriber.saved();
    let fresh =
        |id: u32, shards: u32| Subscriber::new(id, shards, vec![0], budget::SENDER, secret(), 2, now());
    let mut same = fresh(5, SHARDS);
    same.resume(&saved).expect("its own");
    assert_eq!(same.part(), sender.subscriber.part());
    for length in 0..saved.len() {
        let mut sender = fresh(5, SHARDS);
        sender.resume(&saved[..length]).expect_err("cut");
        assert_eq!((sender.part().is_empty(), sender.refusals.all()), (true, 1));
    }
    let fault = fresh(6, SHARDS).resume(&saved).expect_err("of another");
    assert_eq!(fault.kind, Kind::Forged);
    let fault = fresh(5, SHARDS * 2).resume(&saved).expect_err("of another number of shards");
    assert_eq!((fault.kind, fault.place.as_str()), (Kind::Meaning, "saved.sender"));
}

#[test]
fn a_change_that_cannot_be_made() {
    let mut controller = Controller::new(1, Replica::new(&settings()), &settings(), secret(), now());
    let revision = controller.replica().revision();
    for (change, place, wrong) in [
        (Change::Remove { destination: 9 }, "destination", "9 isn't there"),
        (Change::Put { destination: 9, weight: 1, body: "\n".into() }, "body", "byte 0"),
        (Change::Put { destination: 9, weight: 1, body: "\"".repeat(400) }, "body", "800 bytes"),
        (Change::Common { body: "x".repeat(800) }, "body", "800 bytes"),
    ] {
        let out = controller.step(now(), controller::Event::Change(change));
        let Some(controller::Action::Refused(fault)) = out.first() else { panic!("{out:?}") };
        assert_eq!(fault.place, place);
        assert!(fault.wrong.contains(wrong), "{fault}");
    }
    assert_eq!((controller.refusals.all(), controller.replica().revision()), (4, revision));
}

fn hello(who: Who) -> Hello {
    Hello {
        version: VERSION,
        who,
        challenge: 77,
        epoch: 0,
        position: None,
        seen: None,
        held: Vec::new(),
        taken: None,
        suspects: Vec::new(),
        credit: 4096,
    }
}

#[test]
fn what_a_publisher_refuses() {
    let fresh = || Controller::new(1, Replica::new(&settings()), &settings(), secret(), now());
    let heard = |controller: &mut Controller, line: &str| {
        controller.step(now(), controller::Event::Line { peer: 1, line })
    };
    let dropped = controller::Action::Below(publisher::Action::Drop { peer: 1 });
    let refused = |line: &str, kind: Kind, place: &str| {
        let mut controller = fresh();
        let out = heard(&mut controller, line);
        assert_eq!(out, std::slice::from_ref(&dropped), "{place}");
        let refusals = &controller.publisher().refusals;
        assert_eq!((refusals.all(), refusals.of(kind)), (1, 1), "{:?}", refusals.last);
        assert_eq!(refusals.last.as_ref().expect("counted").place, place);
    };
    let line = wire::seal_hello(&secret(), &hello(Who::Relay(1)));
    for length in 0..line.len() {
        refused(&line[..length], Kind::Forged, "checksum");
    }
    refused(
        &wire::seal_hello(&secret(), &Hello { version: 2, ..hello(Who::Relay(1)) }),
        Kind::Version,
        "version",
    );
    refused(
        &wire::seal_hello(&secret(), &Hello { held: vec![8], ..hello(Who::Sender(1)) }),
        Kind::Meaning,
        "held",
    );
    // After a good first line: an acknowledgement of what was never said, and a first line once more.
    for (second, kind, place) in [
        (wire::seal_up(&secret(), Who::Relay(1), 77, Up::Ack(900)), Kind::Order, "ack"),
        (wire::seal_up(&secret(), Who::Relay(2), 77, Up::Ack(1)), Kind::Forged, "checksum"),
        (line.clone(), Kind::Forged, "checksum"),
    ] {
        let mut controller = fresh();
        heard(&mut controller, &line);
        assert_eq!(controller.publisher().sessions(), 1);
        let out = heard(&mut controller, &second);
        assert!(out.contains(&dropped), "{out:?}");
        let last = controller.publisher().refusals.last.clone().expect("counted");
        assert_eq!((last.kind, last.place.as_str()), (kind, place));
        assert_eq!(controller.publisher().sessions(), 0);
    }
}

#[test]
fn a_relay_takes_in_a_frame_whole_or_not_at_all() {
    let blank = Replica::new(&settings());
    let started = || {
        let saved = Some(blank.clone());
        let mut relay = Relay::new(3, blank.clone(), saved, vec![0], 10, budget::SENDER, secret(), 1, now());
        let out = relay.step(now() + Span::millis(1), relay::Event::Connected);
        let Some(relay::Action::Say(line)) = out.first() else { panic!("{out:?}") };
        let challenge = wire::open_hello(&secret(), line).expect("its own").challenge;
        (relay, challenge)
    };
    let put = |revision: u64| Record::Put(1, revision, 1, "x".into());
    let frame = |records| Frame { version: VERSION, number: 1, at: at(9), through: Some(at(9)), records };
    for (records, place) in [
        (vec![put(1), Record::Owners(8, 2, 1, Owners::default())], "records[1].shard"),
        (vec![put(1), put(1)], "records[1].revision"),
        (vec![put(1), Record::Release(1)], "records[1].record"),
        (vec![put(1), Record::Put(2, 2, 1, "\t".into())], "records[1].body"),
        (vec![put(1), Record::Shard(1, 2, 1, Owners::default())], "records[1].record"),
        (vec![Record::Era(1, 1), put(2), Record::Era(3, 1)], "records[2].epoch"),
        (
            vec![Record::Begin { base: at(1), whole: true, resumed: true, eras: Vec::new() }],
            "records[0].begin",
        ),
    ] {
        let (mut relay, challenge) = started();
        let line = wire::seal_frame(&secret(), Who::Relay(3), challenge, &frame(records));
        let out = relay.step(now(), relay::Event::Line(&line));
        assert!(out.contains(&relay::Action::Disconnect), "{place}: {out:?}");
        assert_eq!((relay.replica().live(), relay.replica().revision()), (0, 0), "{place}");
        assert_eq!(relay.refusals.last.as_ref().expect("counted").place, place);
    }
    let (mut relay, challenge) = started();
    let line = wire::seal_frame(&secret(), Who::Relay(3), challenge, &frame(vec![put(1), put(2)]));
    relay.step(now(), relay::Event::Line(&line));
    assert_eq!((relay.replica().live(), relay.refusals.all()), (1, 0), "{:?}", relay.refusals.last);
}
