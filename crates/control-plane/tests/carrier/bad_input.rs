//! What is forged, cut, too long, of another version or was heard before is refused by whoever reads it,
//! counted, and changes nothing.

use crate::support::{Fleet, Hand, SHARDS, call, frame, get, member, secret, taken, until};
use indigomast_assignment::catalog::{Owners, Position, shard_of};
use indigomast_assignment::wire::{
    Frame, Hello, Record, Up, VERSION, Who, open_frame, seal_frame, seal_hello, seal_up,
};
use indigomast_control_plane::limits::Limits;
use indigomast_control_plane::order::Order;
use indigomast_rollout::wire::Way;
use serde_json::{Value, json};
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

fn hello(who: Who, epoch: u32) -> Hello {
    Hello {
        version: VERSION,
        who,
        challenge: 0x1234_5678_9abc_def0,
        epoch,
        position: None,
        seen: None,
        held: Vec::new(),
        taken: None,
        suspects: Vec::new(),
        credit: 1 << 16,
    }
}

fn forge(line: &str) -> String {
    let mut forged = line.to_owned();
    forged.replace_range(0..1, if line.starts_with('0') { "1" } else { "0" });
    forged
}

/// Everything that a first line may be and none that knows the key would say: each is refused, counted once, and ends its
/// connection.
fn bad_first_lines(good: &str, other_version: &str) -> Vec<Vec<u8>> {
    let cut = &good[..good.len() - 9];
    vec![
        format!("{}\n", forge(good)).into_bytes(),
        format!("{cut}\n").into_bytes(),
        format!("{other_version}\n").into_bytes(),
        b"GET / HTTP/1.1\r\n".to_vec(),
        b"\xff\xfe\xfd\n".to_vec(),
        b"\n".to_vec(),
        vec![b'x'; (96 << 10) + (64 << 10)],
    ]
}

fn counted(fleet: &Fleet, number: usize, wanted: u64) -> Value {
    until(&format!("{wanted} are refused"), || {
        let status = fleet.status(number);
        let refused = status["refused"].as_u64().expect("a number");
        assert!(refused <= wanted, "{status}");
        (refused == wanted).then_some(status)
    })
}

#[test]
fn bad_first_lines_of_relays_agents_and_controllers_are_refused_and_counted() {
    let fleet = Fleet::new(1);
    fleet.order(0, Order::Promote { epoch: 3 });
    let mut refused = 0;
    for who in [Who::Relay(1), Who::Sender(4), Who::Controller(0)] {
        let good = seal_hello(&secret(), &hello(who, 1));
        let other = Hello { version: VERSION + 1, ..hello(who, 99) };
        for bad in bad_first_lines(&good, &seal_hello(&secret(), &other)) {
            let mut hand = Hand::to(fleet.addresses[0]);
            hand.say(&bad);
            hand.ended();
            refused += 1;
            counted(&fleet, 0, refused);
        }
    }
    let status = fleet.status(0);
    // Epoch 99 was in lines that were refused: nobody has heard of it.
    assert_eq!((status["seen"].as_u64(), status["controller"].as_bool()), (Some(3), Some(true)));
}

#[test]
fn bad_orders_are_refused_and_counted_and_one_that_was_recorded_passes_nowhere_again() {
    let fleet = Fleet::new(1);
    fleet.order(0, Order::Promote { epoch: 3 });
    let first = secret().seal(Way::ToAgent, "assignment order", &json!({"version": 1, "number": 7}));
    let other = secret().seal(Way::ToAgent, "assignment order", &json!({"version": 2, "number": 7}));
    let mut refused = 0;
    for bad in bad_first_lines(&first, &other) {
        let mut hand = Hand::to(fleet.addresses[0]);
        hand.say(&bad);
        hand.ended();
        refused += 1;
        counted(&fleet, 0, refused);
    }
    let put = json!({"put": {"destination": 17, "weight": 1, "body": "x"}});
    let begin = || {
        let mut hand = Hand::to(fleet.addresses[0]);
        hand.line(&first);
        let line = hand.next().expect("a challenge");
        let name = "assignment order 0000000000000007";
        let challenge: Value = secret().open(Way::FromAgent, name, &line).expect("sealed");
        let challenge = challenge["challenge"].as_u64().expect("a number");
        (hand, format!("{name} {challenge:016x}"))
    };
    let (mut hand, name) = begin();
    let order = secret().seal(Way::ToAgent, &name, &put);
    hand.line(&order);
    let answer: Value =
        secret().open(Way::FromAgent, &name, &hand.next().expect("an answer")).expect("sealed");
    assert!(answer["position"].is_array(), "{answer}");
    let at = fleet.status(0)["position"].clone();
    // The very same lines once more: another challenge was drawn.
    let (mut hand, _) = begin();
    hand.line(&order);
    hand.ended();
    refused += 1;
    counted(&fleet, 0, refused);
    // Forged, cut, too long, and sealed for the other way.
    let (mut hand, name) = begin();
    hand.line(&forge(&secret().seal(Way::ToAgent, &name, &put)));
    hand.ended();
    let (mut hand, name) = begin();
    let line = secret().seal(Way::ToAgent, &name, &put);
    hand.line(&line[..line.len() - 5]);
    hand.ended();
    let (mut hand, name) = begin();
    hand.line(&secret().seal(Way::FromAgent, &name, &put));
    hand.ended();
    let (mut hand, _) = begin();
    hand.say(vec![b'x'; (1 << 20) + (64 << 10)]);
    hand.ended();
    refused += 4;
    counted(&fleet, 0, refused);
    // One that makes no sense is answered, with what is wrong.
    let (mut hand, name) = begin();
    hand.line(&secret().seal(Way::ToAgent, &name, &json!({"put": {"destination": -1}})));
    let answer: Value =
        secret().open(Way::FromAgent, &name, &hand.next().expect("an answer")).expect("sealed");
    assert!(answer["refused"].as_str().is_some_and(|why| why.starts_with("order: ")), "{answer}");
    refused += 1;
    let status = counted(&fleet, 0, refused);
    assert_eq!((status["position"].clone(), status["destinations"].as_u64()), (at, Some(1)));
}

#[test]
fn later_lines_of_an_agent_that_are_forged_cut_replayed_or_too_long_end_its_session_alone() {
    let mut fleet = Fleet::new(1);
    fleet.order(0, Order::Promote { epoch: 1 });
    let at = fleet.members(0, &[4, 5]);
    until("a copy", || (fleet.status(0)["filled"] == true).then_some(()));
    fleet.start_agent(5, &[0]);
    fleet.agent_has(5, at);
    let who = Who::Sender(4);
    let (one, other) = (hello(who, 1), Hello { challenge: 99, ..hello(who, 1) });
    let ack = seal_up(&secret(), who, one.challenge, Up::Ack(1));
    let replayed = seal_up(&secret(), who, other.challenge, Up::Ack(1));
    let beyond = seal_up(&secret(), who, one.challenge, Up::Ack(1000));
    let of_a_relay = seal_up(&secret(), who, one.challenge, Up::Serves { sender: 4, shard: 0, epoch: 1 });
    let bad = [
        format!("{}\n", forge(&ack)).into_bytes(),
        format!("{}\n", &ack[..ack.len() - 3]).into_bytes(),
        format!("{replayed}\n").into_bytes(),
        format!("{beyond}\n").into_bytes(),
        format!("{of_a_relay}\n").into_bytes(),
        vec![b'x'; (64 << 10) + (32 << 10)],
    ];
    for (at, bad) in bad.iter().enumerate() {
        let mut hand = Hand::to(fleet.addresses[0]);
        hand.line(&seal_hello(&secret(), &one));
        let frame = hand.next().expect("a frame");
        assert_eq!(open_frame(&secret(), who, one.challenge, (1, 0), &frame).expect("good").number, 1);
        hand.say(bad);
        hand.ended();
        counted(&fleet, 0, at as u64 + 1);
    }
    // The other one's session went on.
    let at = fleet.put(0, 17, &member(17, "a"));
    let shown = fleet.agent_has(5, at);
    assert_eq!(shown["up"], true);
}

#[test]
fn connections_that_say_nothing_are_ended_and_make_room() {
    let mut fleet = Fleet::new(1);
    fleet.stop(0);
    fleet.limits =
        Limits { connections: 4, first_line_within: Duration::from_millis(300), ..Limits::default() };
    fleet.start(0);
    let mut silent: Vec<Hand> = (0..3).map(|_| Hand::to(fleet.addresses[0])).collect();
    silent.iter_mut().for_each(Hand::ended);
    // Each counts, and whoever says something is heard again.
    counted(&fleet, 0, 3);
}

#[test]
fn frames_that_are_forged_replayed_or_of_another_version_never_reach_what_an_agent_has_in_force() {
    let mut fleet = Fleet::new(0);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    fleet.addresses.push(listener.local_addr().expect("bound"));
    fleet.start_agent(4, &[0]);
    let who = Who::Sender(4);
    let at = Position { epoch: 2, revision: 10 };
    let shard = shard_of(17, SHARDS);
    let whole = || {
        vec![
            Record::Begin { base: at, whole: true, resumed: false, eras: Vec::new() },
            Record::Shard(shard, 4, 1, Owners::new(&[4, 5], None)),
            Record::Put(17, 7, 1, member(17, "a").into()),
            Record::End,
        ]
    };
    let (mut hand, first) = taken(&listener);
    hand.line(&seal_frame(&secret(), who, first.challenge, &frame(1, at, Some(at), whole())));
    let shown = fleet.agent_until(4, "its part", |shown| shown["destinations"]["17"].is_object());
    let next = Position { epoch: 2, revision: 11 };
    let change = |challenge: u64, number: u64, at: Position, version: u32| {
        let records = vec![Record::Put(17, 11, 1, member(17, "spoilt").into())];
        let frame = Frame { version, ..frame(number, at, Some(next), records) };
        seal_frame(&secret(), who, challenge, &frame)
    };
    let recorded = change(first.challenge, 2, next, VERSION);
    type Bad<'a> = Box<dyn Fn(u64) -> Vec<u8> + 'a>;
    let old = Position { epoch: 1, revision: 11 };
    let bad: Vec<Bad> = vec![
        Box::new(|challenge| (forge(&change(challenge, 1, next, VERSION)) + "\n").into_bytes()),
        Box::new(|challenge| {
            let line = change(challenge, 1, next, VERSION);
            format!("{}\n", &line[..line.len() / 2]).into_bytes()
        }),
        Box::new(|_| format!("{recorded}\n").into_bytes()),
        Box::new(|challenge| (change(challenge, 2, next, VERSION) + "\n").into_bytes()),
        Box::new(|challenge| (change(challenge, 1, old, VERSION) + "\n").into_bytes()),
        Box::new(|challenge| (change(challenge, 1, next, VERSION + 1) + "\n").into_bytes()),
        Box::new(|_| vec![b'x'; (64 << 10) + (32 << 10)]),
    ];
    let page = fleet.page(4);
    for make in &bad {
        // It came again, with another challenge; whatever was said on the connection before is of no use.
        let (mut again, hello) = taken(&listener);
        assert_ne!(hello.challenge, first.challenge);
        again.say(make(hello.challenge));
        again.ended();
        let now = fleet.agent_until(4, "the same", |_| true);
        assert_eq!(now["destinations"], shown["destinations"]);
        assert_eq!(fleet.page(4), page);
    }
    // A good one is taken in as ever.
    let (mut hand, hello) = taken(&listener);
    hand.line(&change(hello.challenge, 1, next, VERSION));
    fleet.agent_until(4, "the change", |shown| shown["destinations"]["17"]["revision"] == 11);
    let refused = fleet.agent_until(4, "all counted", |_| true)["refused"].as_u64();
    // One that is too long ends its connection before it is a line.
    assert_eq!(refused, Some(bad.len() as u64 - 1));
}

#[test]
fn an_agent_s_http_refuses_what_it_can_not_read_and_serves_the_next() {
    let mut fleet = Fleet::new(1);
    fleet.start_agent(4, &[0]);
    let address = fleet.agents[&4].address;
    let status = |request: &[u8]| call(address, request).map(|(status, _)| status);
    assert_eq!(status(b"GET /elsewhere HTTP/1.1\r\nConnection: close\r\n\r\n"), Some(404));
    assert_eq!(status(b"DELETE /status HTTP/1.1\r\nConnection: close\r\n\r\n"), Some(405));
    assert_eq!(status(b"no HTTP at all\r\n\r\n"), Some(400));
    assert_eq!(status(b"POST /reports HTTP/1.1\r\n\r\n"), Some(411));
    assert_eq!(status(b"POST /reports HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"), Some(413));
    let long = [b"GET /status HTTP/1.1\r\nX: ".to_vec(), vec![b'x'; 64 << 10]].concat();
    assert!(matches!(status(&long), Some(431) | None));
    assert_eq!(get(address, "/status").map(|(status, _)| status), Some(200));
}

#[test]
fn frames_that_are_forged_or_of_another_connection_never_reach_a_relay_s_copy() {
    // The other control process is a hand that speaks for a controller.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut fleet = Fleet::new(1);
    fleet.stop(0);
    fleet.addresses.push(listener.local_addr().expect("bound"));
    fleet.controls.push(None);
    fleet.start(0);
    let who = Who::Relay(0);
    let at = Position { epoch: 2, revision: 1 };
    let records = |destination: u32| {
        vec![
            Record::Begin { base: at, whole: true, resumed: false, eras: vec![(2, 1)] },
            Record::Shard(shard_of(destination, SHARDS), 1, 1, Owners::default()),
            Record::Put(destination, 1, 1, "x".into()),
            Record::End,
        ]
    };
    let (mut hand, first) = taken(&listener);
    let recorded = seal_frame(&secret(), who, first.challenge, &frame(1, at, Some(at), records(17)));
    hand.line(&forge(&recorded));
    hand.ended();
    let (mut hand, second) = taken(&listener);
    assert_ne!(second.challenge, first.challenge);
    hand.line(&recorded);
    hand.ended();
    let status = counted(&fleet, 0, 2);
    assert_eq!((status["filled"].as_bool(), status["destinations"].as_u64()), (Some(false), Some(0)));
    let (mut hand, third) = taken(&listener);
    hand.line(&seal_frame(&secret(), who, third.challenge, &frame(1, at, Some(at), records(18))));
    until("its copy", || (fleet.status(0)["position"] == json!([2, 1])).then_some(()));
    assert_eq!(fleet.status(0)["destinations"], 1);
    let mut rest = [0; 16];
    assert!(hand.lines.read(&mut rest).is_ok_and(|count| count > 0), "it is acknowledged");
}
