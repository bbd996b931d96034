//! What a connection that ended takes along with it is said again on the next one, and that one can be had at once.

use indigomast::time::{Moment, Span};
use indigomast_assignment::budget::{self, SENDER_MOST_IN_10_S};
use indigomast_assignment::catalog::{Change, Position, Replica, Settings};
use indigomast_assignment::controller::{self, Controller};
use indigomast_assignment::placement::Place;
use indigomast_assignment::relay::{self, Relay};
use indigomast_assignment::subscriber::{self, Subscriber};
use indigomast_assignment::wire::{
    Frame, Hello, Record, Up, VERSION, Who, open_hello, open_up, seal_frame, seal_hello, seal_up,
};
use indigomast_rollout::wire::Secret;

const SHARDS: u32 = 32;

fn secret() -> Secret {
    Secret::new(b"sixteen bytes or more").expect("long enough")
}

fn at(ms: f64) -> Moment {
    Moment::from_millis(ms)
}

/// A copy in which sender 2 joins the owners of several shards, and these.
fn joining() -> (Replica, Vec<u32>) {
    let settings = Settings { shards: SHARDS, moves_a_second: 1000.0, ..Settings::default() };
    let mut controller = Controller::new(1, Replica::new(&settings), &settings, secret(), at(0.0));
    let place = |zone: u16| Some(Place { region: zone % 2, zone });
    controller.step(at(0.0), controller::Event::Members(vec![(0, place(0)), (1, place(1))]));
    for destination in 0..100 {
        let change = Change::Put { destination, weight: 1, body: "x".into() };
        controller.step(at(0.0), controller::Event::Change(change));
    }
    controller.step(at(200.0), controller::Event::Members(vec![(2, place(2))]));
    (3..20).for_each(|beat| _ = controller.step(at(f64::from(beat) * 100.0), controller::Event::Tick));
    let replica = controller.replica().clone();
    let joining: Vec<u32> = (0..SHARDS).filter(|shard| replica.owners(*shard).joining() == Some(2)).collect();
    assert!(joining.len() >= 3, "{joining:?}");
    (replica, joining)
}

/// A relay with this copy, and its connection to a controller, which can end and come again.
struct Upward {
    relay: Relay,
    position: Position,
    now: Moment,
    challenge: u64,
}

impl Upward {
    fn new(replica: Replica) -> Upward {
        let settings = Settings { shards: SHARDS, ..Settings::default() };
        let (blank, position) = (Replica::new(&settings), replica.position());
        let relay = Relay::new(9, blank, Some(replica), vec![0], 8, budget::SENDER, secret(), 1, at(5000.0));
        Upward { relay, position, now: at(5000.0), challenge: 0 }
    }

    /// What is said upwards once the controller's first frame is there.
    fn connect(&mut self) -> Vec<Up> {
        while !self.step(relay::Event::Tick).contains(&relay::Action::Connect(0)) {
            self.now = self.relay.next();
        }
        let said = self.step(relay::Event::Connected);
        let [relay::Action::Say(hello), ..] = &said[..] else { panic!("{said:?}") };
        self.challenge = open_hello(&secret(), hello).expect("good").challenge;
        let (at, through) = (self.position, Some(self.position));
        let frame = Frame { version: VERSION, number: 1, at, through, records: Vec::new() };
        let line = seal_frame(&secret(), Who::Relay(9), self.challenge, &frame);
        let said = self.step(relay::Event::Line(&line));
        self.ups(&said)
    }

    fn step(&mut self, event: relay::Event) -> Vec<relay::Action> {
        self.relay.step(self.now, event)
    }

    fn ups(&self, said: &[relay::Action]) -> Vec<Up> {
        let up = |action: &relay::Action| match action {
            relay::Action::Say(line) => open_up(&secret(), Who::Relay(9), self.challenge, line).ok(),
            _ => None,
        };
        said.iter().filter_map(up).collect()
    }

    /// Sender 2 says hello with these shards in force.
    fn hello(&mut self, held: &[u32]) -> Vec<Up> {
        let hello = Hello {
            version: VERSION,
            who: Who::Sender(2),
            challenge: 77,
            epoch: 1,
            position: Some(self.position),
            seen: Some(self.position),
            held: held.to_vec(),
            taken: None,
            suspects: Vec::new(),
            credit: 4096,
        };
        let line = seal_hello(&secret(), &hello);
        let said = self.step(relay::Event::SenderLine { peer: 5, line: &line });
        self.ups(&said)
    }
}

fn shards(ups: &[Up]) -> Vec<u32> {
    let shard = |up: &Up| match up {
        Up::Serves { sender: 2, shard, .. } => Some(*shard),
        _ => None,
    };
    ups.iter().filter_map(shard).collect()
}

#[test]
fn a_sender_that_took_in_several_shards_before_its_relay_was_lost_is_said_to_serve_all_of_them() {
    let (replica, joining) = joining();
    let mut up = Upward::new(replica);
    up.connect();
    let said = up.hello(&joining);
    assert_eq!(shards(&said), joining);
}

#[test]
fn what_a_sender_serves_is_said_once_the_controller_is_there_again() {
    let (replica, joining) = joining();
    let mut up = Upward::new(replica);
    assert!(shards(&up.hello(&joining)).is_empty(), "there is nobody to say it to");
    assert_eq!(shards(&up.connect()), joining);
    // And once more, should that connection have ended before it came there.
    up.step(relay::Event::Lost);
    assert_eq!(shards(&up.connect()), joining);
    // What the controller has taken in is over.
    let done = joining[0];
    let next = Position { epoch: 1, revision: up.position.revision + 1 };
    let owners = indigomast_assignment::catalog::Owners::new(&[1, 2], None);
    let frame = Frame {
        version: VERSION,
        number: 2,
        at: next,
        through: Some(next),
        records: vec![Record::Owners(done, next.revision, 9, owners)],
    };
    let line = seal_frame(&secret(), Who::Relay(9), up.challenge, &frame);
    up.step(relay::Event::Line(&line));
    up.position = next;
    up.step(relay::Event::Lost);
    assert_eq!(shards(&up.connect()), joining[1..]);
}

#[test]
fn all_that_one_acknowledgement_proves_is_said() {
    let (replica, joining) = joining();
    let mut up = Upward::new(replica);
    up.connect();
    // It has nothing yet: its part is told as a snapshot, in frames up to the last of which it acknowledges once.
    let hello = Hello {
        version: VERSION,
        who: Who::Sender(2),
        challenge: 77,
        epoch: 1,
        position: None,
        seen: None,
        held: Vec::new(),
        taken: None,
        suspects: Vec::new(),
        credit: 4096,
    };
    let line = seal_hello(&secret(), &hello);
    let mut frames = 0;
    let count = |said: Vec<relay::Action>| {
        let say = |action: &&relay::Action| {
            matches!(action, relay::Action::Below(indigomast_assignment::publisher::Action::Say { .. }))
        };
        said.iter().filter(say).count() as u64
    };
    frames += count(up.step(relay::Event::SenderLine { peer: 5, line: &line }));
    for _ in 0..20 {
        up.now += Span::millis(250);
        frames += count(up.step(relay::Event::Tick));
    }
    // The controller has been silent meanwhile: its connection is another one by now.
    assert!(shards(&up.connect()).is_empty(), "nothing is acknowledged yet");
    let ack = seal_up(&secret(), Who::Sender(2), 77, Up::Ack(frames));
    let said = up.step(relay::Event::SenderLine { peer: 5, line: &ack });
    let mut said = shards(&up.ups(&said));
    said.sort_unstable();
    assert_eq!(said, joining);
}

/// A sender of so many shards is told its part on these of its connections, and loses each of ten with its first frame; the
/// first after a rest. When it said each hello, of how many bytes, and the bytes of both ways.
fn hellos(many: u32, told: &[usize], rest: Span) -> (Vec<(Moment, usize, Hello)>, usize) {
    let who = Who::Sender(4);
    let mut subscriber = Subscriber::new(4, many, vec![0, 1], budget::SENDER, secret(), 1, at(0.0));
    let here = Position { epoch: 1, revision: 9 };
    let mut now = at(0.0);
    let mut hellos: Vec<(Moment, usize, Hello)> = Vec::new();
    while hellos.len() < 10 {
        now = subscriber.next().max(now);
        let due = subscriber.step(now, subscriber::Event::Tick);
        if !due.iter().any(|action| matches!(action, subscriber::Action::Connect(_))) {
            continue;
        }
        let said = subscriber.step(now, subscriber::Event::Connected);
        let [subscriber::Action::Say(line), ..] = &said[..] else { continue };
        let hello = open_hello(&secret(), line).expect("good");
        let records = if told.contains(&hellos.len()) {
            let owners = indigomast_assignment::catalog::Owners::new(&[4, 5], None);
            let shards = (0..many).map(|shard| Record::Shard(shard, 5, 1, owners));
            let begin = Record::Begin { base: here, whole: true, resumed: false, eras: Vec::new() };
            std::iter::once(begin).chain(shards).chain([Record::End]).collect()
        } else {
            Vec::new()
        };
        let frame = Frame { version: VERSION, number: 1, at: here, through: Some(here), records };
        let frame = seal_frame(&secret(), who, hello.challenge, &frame);
        hellos.push((now, line.len() + 1, hello));
        subscriber.step(now, subscriber::Event::Line(&frame));
        subscriber.step(now, subscriber::Event::Lost);
        if hellos.len() == 1 {
            now += rest;
        }
    }
    (hellos, (subscriber.received + subscriber.sent) as usize)
}

#[test]
fn a_sender_whose_connections_end_one_after_the_other_says_hello_all_the_same() {
    // What it was told at first has been paid for after 4 s.
    let (hellos, both_ways) = hellos(128, &[0], Span::millis(4000));
    let now = hellos[9].0;
    assert!(now < at(9000.0), "{now:?}: ten connections took too long");
    let bytes: usize = hellos.iter().map(|(_, bytes, _)| bytes).sum();
    let up = budget::SENDER_UP_BURST + now.since(at(0.0)).as_secs() * budget::SENDER_UP_RATE;
    assert!(bytes as f64 > up, "{bytes} of {up}: the test is too easy");
    assert!(both_ways <= SENDER_MOST_IN_10_S);
    // What it has said beyond its own is taken off what it may be sent, and a relay can answer still.
    let credits: Vec<u32> = hellos.iter().map(|(_, _, hello)| hello.credit).collect();
    assert!(credits[1..].iter().all(|credit| *credit >= 512), "{credits:?}");
    assert!(credits.windows(2).any(|pair| pair[1] < pair[0]), "{credits:?}");
}

#[test]
fn also_right_after_a_snapshot_a_sender_waits_no_longer_than_its_downward_rate_asks() {
    // By the fourth connection its upward bytes are spent, and a snapshot on it takes what it may be sent.
    let (hellos, _) = hellos(120, &[0, 3], Span::millis(4000));
    let gaps: Vec<f64> = hellos.windows(2).map(|pair| pair[1].0.since(pair[0].0).as_secs()).collect();
    assert!(gaps[1..].iter().all(|gap| *gap < 3.0), "{gaps:?}");
}
