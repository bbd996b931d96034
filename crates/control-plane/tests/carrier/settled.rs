//! What is shown is what the controller said at one position, as far as that doesn't take too long.

use crate::support::{Fleet, SHARDS, frame, member, secret, taken};
use indigomast_assignment::catalog::{Owners, Position, shard_of};
use indigomast_assignment::wire::{Record, Who, seal_frame};
use indigomast_control_plane::limits::Limits;
use serde_json::json;
use std::net::TcpListener;
use std::time::Duration;

const WHO: Who = Who::Sender(4);

fn at(revision: u64) -> Position {
    Position { epoch: 1, revision }
}

/// An agent of a relay that isn't one, with destinations 17 and 18 as of revision 10.
fn told(settle: Duration) -> (Fleet, impl FnMut(u64, u64, Vec<Record>)) {
    let mut fleet = Fleet::new(0);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    fleet.addresses.push(listener.local_addr().expect("bound"));
    fleet.limits = Limits { settle, ..Limits::default() };
    fleet.start_agent(4, &[0]);
    let (mut hand, hello) = taken(&listener);
    let mut number = 0;
    let mut say = move |now: u64, through: u64, records: Vec<Record>| {
        // Held as long as anything is said on it.
        let _listener = &listener;
        number += 1;
        let frame = frame(number, at(now), Some(at(through)), records);
        hand.line(&seal_frame(&secret(), WHO, hello.challenge, &frame));
    };
    let mut records = vec![Record::Begin { base: at(10), whole: true, resumed: false, eras: Vec::new() }];
    let mut both = [17, 18];
    both.sort_by_key(|destination| shard_of(*destination, SHARDS));
    for destination in both {
        records.push(Record::Shard(shard_of(destination, SHARDS), 4, 1, Owners::new(&[4, 5], None)));
        records.push(Record::Put(destination, 5, 1, member(destination, &format!("e{destination}")).into()));
    }
    records.push(Record::End);
    say(10, 10, records);
    fleet.agent_until(4, "its part", |shown| shown["position"] == json!([1, 10]));
    (fleet, say)
}

fn put(destination: u32, revision: u64) -> Record {
    Record::Put(destination, revision, 1, member(destination, &format!("f{destination}")).into())
}

#[test]
fn a_part_between_two_positions_is_not_shown_before_it_is_of_one() {
    let (fleet, mut say) = told(Duration::from_secs(600));
    // 18 changed first, and comes later.
    say(12, 10, vec![put(17, 12)]);
    say(12, 10, Vec::new());
    let page = fleet.page(4);
    say(12, 12, vec![put(18, 11)]);
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

#[test]
fn one_that_does_not_settle_is_shown_after_a_while_at_the_position_before() {
    let (fleet, mut say) = told(Duration::from_millis(50));
    say(12, 11, vec![put(17, 12)]);
    let shown = fleet.agent_until(4, "the first", |shown| shown["destinations"]["17"]["revision"] == 12);
    assert_eq!(shown["position"], json!([1, 10]), "it has all up to there, and no more is claimed");
    say(12, 12, vec![put(18, 11)]);
    fleet.agent_until(4, "both", |shown| shown["position"] == json!([1, 12]));
}
