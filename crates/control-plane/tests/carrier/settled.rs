//! What is shown is what the controller said at one position, as far as that doesn't take too long.

use crate::support::{Fleet, Hand, SHARDS, frame, hold, member, secret, taken};
use indigomast_assignment::budget;
use indigomast_assignment::catalog::{Owners, Position, shard_of};
use indigomast_assignment::wire::{Hello, Reason, Record, Up, Who, open_up, seal_frame};
use indigomast_control_plane::limits::Limits;
use serde_json::json;
use std::net::TcpListener;
use std::time::Duration;

const WHO: Who = Who::Sender(4);

fn at(revision: u64) -> Position {
    Position { epoch: 1, revision }
}

/// What is said on its one connection, which can be ended and taken anew.
struct Relay {
    listener: TcpListener,
    hand: Hand,
    challenge: u64,
    number: u64,
}

impl Relay {
    fn say(&mut self, now: Position, through: Position, records: Vec<Record>) {
        self.number += 1;
        let frame = frame(self.number, now, Some(through), records);
        self.hand.line(&seal_frame(&secret(), WHO, self.challenge, &frame));
    }

    /// Until it has acknowledged so many frames.
    fn acknowledged(&mut self, frames: u64) {
        loop {
            let line = self.hand.next().expect("an acknowledgement");
            if open_up(&secret(), WHO, self.challenge, &line).expect("good") == Up::Ack(frames) {
                return;
            }
        }
    }

    /// The connection ends; the next one's first line.
    fn again(&mut self) -> Hello {
        self.hand.shut();
        let (hand, hello) = taken(&self.listener);
        (self.hand, self.challenge, self.number) = (hand, hello.challenge, 0);
        hello
    }
}

/// An agent of a relay that isn't one, with destinations 17 and 18 as of revision 10.
fn told(settle: Duration) -> (Fleet, Relay) {
    let mut fleet = Fleet::new(0);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    fleet.addresses.push(listener.local_addr().expect("bound"));
    fleet.limits = Limits { settle, ..Limits::default() };
    fleet.start_agent(4, &[0]);
    let (hand, hello) = taken(&listener);
    let mut relay = Relay { listener, hand, challenge: hello.challenge, number: 0 };
    let mut records = vec![Record::Begin { base: at(10), whole: true, resumed: false, eras: Vec::new() }];
    let mut both = [17, 18];
    both.sort_by_key(|destination| shard_of(*destination, SHARDS));
    for destination in both {
        records.push(Record::Shard(shard_of(destination, SHARDS), 4, 1, Owners::new(&[4, 5], None)));
        records.push(Record::Put(destination, 5, 1, member(destination, &format!("e{destination}")).into()));
    }
    records.push(Record::End);
    relay.say(at(10), at(10), records);
    fleet.agent_until(4, "its part", |shown| shown["position"] == json!([1, 10]));
    (fleet, relay)
}

fn put(destination: u32, revision: u64) -> Record {
    Record::Put(destination, revision, 1, member(destination, &format!("f{destination}")).into())
}

#[test]
fn a_part_between_two_positions_is_not_shown_before_it_is_of_one() {
    let (fleet, mut relay) = told(Duration::from_secs(600));
    // 18 changed first, and comes later.
    relay.say(at(12), at(10), vec![put(17, 12)]);
    relay.say(at(12), at(10), Vec::new());
    let page = fleet.page(4);
    relay.say(at(12), at(12), vec![put(18, 11)]);
    let shown = fleet.agent_until(4, "both", |shown| {
        let revision = |destination: &str| shown["destinations"][destination]["revision"].clone();
        // Never the one without the other.
        assert_eq!(revision("17") == 12, revision("18") == 11, "{shown}");
        revision("17") == 12
    });
    assert_eq!(shown["position"], json!([1, 12]));
    let after = fleet.page(4);
    assert_eq!(after.1["revision"].as_u64(), page.1["revision"].as_u64().map(|known| known + 1));
}

/// Guards against a part shown between two positions since what it grew by in a first load, 5 KB of it, had not passed yet.
#[test]
fn a_part_is_held_back_for_what_grows_it_and_no_longer_than_a_change_may_take() {
    let settle = Limits::default().settle;
    let passes = budget::SENDER.rate * settle.as_secs_f64();
    assert!(passes >= 1.5 * 5_000.0, "{passes} bytes pass with the bucket empty at the start");
    assert!(settle <= Duration::from_secs(8), "two seconds are left for the way: {settle:?}");
}

#[test]
fn one_that_does_not_settle_is_shown_after_a_while_at_the_position_before() {
    let (fleet, mut relay) = told(Duration::from_millis(50));
    relay.say(at(12), at(11), vec![put(17, 12)]);
    let shown = fleet.agent_until(4, "the first", |shown| shown["destinations"]["17"]["revision"] == 12);
    assert_eq!(shown["position"], json!([1, 10]), "it has all up to there, and no more is claimed");
    relay.say(at(12), at(12), vec![put(18, 11)]);
    fleet.agent_until(4, "both", |shown| shown["position"] == json!([1, 12]));
}

#[test]
fn one_that_does_not_settle_after_an_earlier_controller_is_shown_at_what_both_have() {
    let (fleet, mut relay) = told(Duration::from_millis(50));
    relay.say(at(12), at(12), vec![put(17, 12)]);
    fleet.agent_until(4, "the earlier one's", |shown| shown["position"] == json!([1, 12]));
    // The controller of epoch 2 began from revision 10 of the first.
    let later = |revision: u64| Position { epoch: 2, revision };
    relay.say(later(14), at(10), vec![Record::Refused(Reason::Parted(at(10)))]);
    let hello = relay.again();
    assert_eq!((hello.position, hello.suspects.len()), (Some(at(10)), 1));
    relay.say(later(14), at(10), vec![put(18, 13)]);
    let shown = fleet.agent_until(4, "the first", |shown| shown["destinations"]["18"]["revision"] == 13);
    assert_eq!(shown["position"], json!([1, 10]), "what both histories have");
    let shard = shard_of(17, SHARDS);
    let records = vec![
        Record::Begin { base: later(14), whole: false, resumed: false, eras: Vec::new() },
        Record::Shard(shard, 4, 1, Owners::new(&[4, 5], None)),
        Record::Put(17, 5, 1, member(17, "e17").into()),
        Record::End,
    ];
    relay.say(later(14), later(14), records);
    let shown = fleet.agent_until(4, "all", |shown| shown["position"] == json!([2, 14]));
    assert_eq!(shown["destinations"]["17"]["revision"], 5, "undone");
}

#[test]
fn one_that_is_told_anew_by_a_later_controller_claims_no_position_before_it_settles() {
    let (fleet, mut relay) = told(Duration::from_millis(50));
    // Older than anything it remembers: nothing is known to go back to.
    let later = |revision: u64| Position { epoch: 2, revision };
    relay.say(later(14), at(10), vec![Record::Refused(Reason::Parted(at(3)))]);
    assert_eq!(relay.again().position, None);
    let shard = shard_of(17, SHARDS);
    let records = vec![
        Record::Begin { base: later(12), whole: true, resumed: false, eras: Vec::new() },
        Record::Shard(shard, 4, 1, Owners::new(&[4, 5], None)),
        put(17, 13),
        Record::End,
    ];
    relay.say(later(14), later(12), records);
    let shown =
        fleet.agent_until(4, "the whole of it", |shown| shown["destinations"]["17"]["revision"] == 13);
    assert_eq!(shown["position"], json!(null), "(1, 10) is of the history that has parted");
    relay.say(later(14), later(14), Vec::new());
    fleet.agent_until(4, "all", |shown| shown["position"] == json!([2, 14]));
}

#[test]
fn a_first_part_waits_until_it_has_settled() {
    let mut fleet = Fleet::new(0);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    fleet.addresses.push(listener.local_addr().expect("bound"));
    fleet.limits = Limits { settle: Duration::from_millis(1), ..Limits::default() };
    fleet.start_agent(4, &[0]);
    let (hand, hello) = taken(&listener);
    let mut relay = Relay { listener, hand, challenge: hello.challenge, number: 0 };
    let shard = shard_of(17, SHARDS);
    let records = vec![
        Record::Begin { base: at(10), whole: true, resumed: false, eras: Vec::new() },
        Record::Shard(shard, 4, 1, Owners::new(&[4, 5], None)),
        put(17, 12),
        Record::End,
    ];
    relay.say(at(12), at(10), records);
    relay.say(at(12), at(11), Vec::new());
    // Both are acknowledged, so both have been taken in; the time for a later part is up.
    relay.acknowledged(2);
    assert_eq!(fleet.page(4).0, 503);
    assert_eq!(fleet.agent_until(4, "nothing", |_| true)["destinations"], json!({}));
    relay.say(at(12), at(12), Vec::new());
    fleet.agent_until(4, "all", |shown| shown["position"] == json!([1, 12]));
    assert_eq!(fleet.page(4).0, 200);
}

#[test]
fn nothing_is_shown_before_the_disk_has_it() {
    let mut fleet = Fleet::new(0);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    fleet.addresses.push(listener.local_addr().expect("bound"));
    // A disk that takes the part once somebody reads here.
    let folder = fleet.folder.0.join("agent-4");
    std::fs::create_dir(&folder).expect("a folder");
    let held = hold(&folder.join("part.new"));
    fleet.start_agent(4, &[0]);
    let (hand, hello) = taken(&listener);
    let mut relay = Relay { listener, hand, challenge: hello.challenge, number: 0 };
    let shard = shard_of(17, SHARDS);
    let records = vec![
        Record::Begin { base: at(10), whole: true, resumed: false, eras: Vec::new() },
        Record::Shard(shard, 4, 1, Owners::new(&[4, 5], None)),
        put(17, 5),
        Record::End,
    ];
    relay.say(at(10), at(10), records);
    relay.say(at(10), at(10), Vec::new());
    relay.acknowledged(2);
    let shown = fleet.agent_until(4, "nothing", |_| true);
    assert_eq!(
        (fleet.page(4).0, shown["destinations"].clone(), shown["position"].clone()),
        (503, json!({}), json!(null))
    );
    let read = held.release();
    fleet.agent_until(4, "all", |shown| shown["position"] == json!([1, 10]));
    read.join().expect("read");
}

#[test]
fn what_has_not_settled_when_its_connection_ends_is_not_shown_while_cut_off() {
    let (fleet, mut relay) = told(Duration::from_millis(200));
    let before = fleet.page(4);
    relay.say(at(12), at(11), vec![put(17, 12)]);
    // It has been taken in before the connection is seen to end: both come on it in this order.
    let hello = relay.again();
    assert_eq!(hello.position, Some(at(11)));
    let shown = fleet.agent_until(4, "as it was", |_| true);
    assert_eq!(
        (shown["position"].clone(), shown["destinations"]["17"]["revision"].as_u64()),
        (json!([1, 10]), Some(5))
    );
    assert_eq!(fleet.page(4), before);
    relay.say(at(12), at(12), vec![put(18, 11)]);
    let shown = fleet.agent_until(4, "both", |shown| shown["position"] == json!([1, 12]));
    assert_eq!(shown["destinations"]["17"]["revision"], 12);
}
