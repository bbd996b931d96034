//! Lines between processes: what they do to bytes, in memory and on sockets, and how plans of faults are drawn.

use indigomast::time::Moment;
use indigomast_lab::processes::faults::{Between, Draw, End, Fault, Schedule, Sizes, Turn, What, draw};
use indigomast_lab::processes::line::{Condition, Datagrams, HOLDS, RESEND, Stream};
use indigomast_lab::processes::network::{Network, Witness};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

const FINE: Condition = Condition {
    cut: false,
    swallow: false,
    delay_ms: 0.0,
    jitter_ms: 0.0,
    bytes_a_second: None,
    loss: 0.0,
    doubled: 0.0,
    reordered: 0.0,
};
const CUT: Condition = Condition { cut: true, ..FINE };
const SWALLOW: Condition = Condition { swallow: true, ..FINE };

fn at(ms: f64) -> Moment {
    Moment::from_millis(ms)
}

fn drain(stream: &mut Stream, now: Moment, condition: &Condition) -> Vec<u8> {
    let mut all = Vec::new();
    while let Some(bytes) = stream.ready(now, condition) {
        // In odd pieces, as a socket takes them.
        let count = bytes.len().min(7);
        all.extend_from_slice(&bytes[..count]);
        stream.went(count);
    }
    all
}

#[test]
fn a_stream_keeps_its_order_and_every_byte_whatever_the_line_does() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (mut stream, mut sent, mut got, mut now) = (Stream::default(), Vec::new(), Vec::new(), 0.0);
        let mut condition = FINE;
        for _ in 0..300 {
            now += rng.random_range(0.0..40.0);
            if rng.random::<f64>() < 0.1 {
                condition = Condition {
                    cut: rng.random::<f64>() < 0.3,
                    delay_ms: rng.random_range(0.0..80.0),
                    jitter_ms: rng.random_range(0.0..200.0),
                    loss: rng.random_range(0.0..0.5),
                    bytes_a_second: rng.random::<bool>().then(|| rng.random_range(100.0..1e5)),
                    ..FINE
                };
            }
            let bytes: Vec<u8> = (0..rng.random_range(0..50)).map(|_| rng.random()).collect();
            if stream.takes() {
                stream.put(at(now), &bytes, &condition, &mut rng);
                sent.extend(bytes);
            }
            got.extend(drain(&mut stream, at(now), &condition));
            assert!(sent.starts_with(&got), "seed {seed}");
            assert!(!condition.cut || stream.next(&condition).is_none(), "seed {seed}");
        }
        stream.end();
        got.extend(drain(&mut stream, at(now + 1e6), &FINE));
        assert_eq!(got, sent, "seed {seed}");
        assert!(stream.is_over(&FINE) && !stream.is_over(&CUT));
    }
}

#[test]
fn what_a_line_does_to_one_part_of_a_stream() {
    let cases = [
        ("fine", FINE, Some(0.0)),
        ("late", Condition { delay_ms: 30.0, ..FINE }, Some(30.0)),
        ("sent again", Condition { loss: 1.0, ..FINE }, Some(RESEND.as_millis())),
        ("slow", Condition { bytes_a_second: Some(1000.0), ..FINE }, Some(100.0)),
        ("swallowed", SWALLOW, None),
    ];
    for (name, condition, due) in cases {
        let (mut stream, mut rng) = (Stream::default(), Pcg64Mcg::seed_from_u64(1));
        stream.put(at(5.0), &[0; 100], &condition, &mut rng);
        assert_eq!(stream.next(&condition), due.map(|due| at(5.0 + due)), "{name}");
        assert_eq!(stream.has_lost(), due.is_none(), "{name}");
        stream.put(at(6.0), &[0; 10], &FINE, &mut rng);
        // Once something is missing, nothing that comes later may take its place.
        assert_eq!(stream.is_empty(), due.is_none(), "{name}");
    }
}

#[test]
fn what_a_line_holds_back_is_bounded() {
    let (mut stream, mut packets, mut rng) =
        (Stream::default(), Datagrams::default(), Pcg64Mcg::seed_from_u64(1));
    let late = Condition { delay_ms: 1e6, ..FINE };
    let mut put = 0;
    while stream.takes() {
        stream.put(at(0.0), &[0; 4096], &CUT, &mut rng);
        put += 4096;
    }
    assert_eq!(put, HOLDS);
    (0..100).for_each(|_| packets.put(at(0.0), &[0; 4096], &late, &mut rng));
    assert_eq!(packets.lost as usize, 100 - HOLDS / 4096);
}

#[test]
fn datagrams_are_lost_doubled_and_overtaken_by_their_shares() {
    let play = |condition: Condition| {
        let (mut packets, mut rng) = (Datagrams::default(), Pcg64Mcg::seed_from_u64(3));
        let mut got: Vec<u16> = Vec::new();
        for n in 0..1000u16 {
            packets.put(at(f64::from(n) * 10.0), &n.to_le_bytes(), &condition, &mut rng);
            while let Some(bytes) = packets.take(at(f64::from(n) * 10.0)) {
                got.push(u16::from_le_bytes([bytes[0], bytes[1]]));
            }
        }
        (got, packets.lost)
    };
    let (all, lost) = play(FINE);
    assert!(all == (0..1000).collect::<Vec<_>>() && lost == 0);
    let (some, lost) = play(Condition { loss: 0.2, ..FINE });
    assert!((150..250).contains(&lost) && some.len() as u64 + lost == 1000, "{lost}");
    let (more, _) = play(Condition { doubled: 0.3, ..FINE });
    assert!((1250..1350).contains(&more.len()), "{}", more.len());
    let (mixed, _) = play(Condition { reordered: 0.2, ..FINE });
    assert!(!mixed.is_sorted() && mixed.len() > 980);
    assert_eq!(play(CUT).1, 1000);
}

#[test]
fn two_faults_on_one_line_add_up() {
    let slow = Condition { delay_ms: 20.0, loss: 0.5, bytes_a_second: Some(100.0), ..FINE };
    let both = slow.and(&Condition { delay_ms: 5.0, loss: 0.5, bytes_a_second: Some(50.0), ..CUT });
    assert_eq!(both, Condition { cut: true, delay_ms: 25.0, loss: 0.75, bytes_a_second: Some(50.0), ..FINE });
    let between = Between { from: vec![End::Sender(1)], to: vec![End::Platform], both: false };
    assert!(
        between.strikes(End::Sender(1), End::Platform) && !between.strikes(End::Platform, End::Sender(1))
    );
    assert!(Between { both: true, ..between }.strikes(End::Platform, End::Sender(1)));
    assert!(Between::default().strikes(End::Operator, End::Sender(9)));
}

#[test]
fn a_plan_is_the_same_by_its_seed_and_strikes_only_what_is_there() {
    let sizes = Sizes { senders: 5, destinations: 3 };
    let how = Draw { count: 12, from_s: 2.0, until_s: 40.0, least_s: 1.0, most_s: 5.0, sorts: Vec::new() };
    let mut met = std::collections::HashSet::new();
    for seed in 0..100 {
        let plan = draw(&how, &sizes, seed);
        assert_eq!(plan, draw(&how, &sizes, seed));
        let text = serde_json::to_string(&plan).expect("JSON");
        assert_eq!(serde_json::from_str::<Vec<Fault>>(&text).expect("a plan"), plan);
        assert!(plan.len() > 6, "seed {seed}: {}", plan.len());
        for fault in &plan {
            assert!(
                fault.at_s >= 2.0 && fault.at_s + fault.for_s <= 40.001 && fault.unknown(&sizes).is_none()
            );
            met.insert(std::mem::discriminant(&fault.what));
        }
        // One that starts a process again would undo another of the same process.
        let of = |fault: &Fault| match fault.what {
            What::Kill { sender } | What::End { sender } | What::Pause { sender } => Some(sender),
            _ => None,
        };
        for (n, a) in plan.iter().enumerate() {
            for b in plan[n + 1..].iter().filter(|b| of(a).is_some() && of(b) == of(a)) {
                assert!(b.begins() >= a.ends(), "seed {seed}: {a} and {b}");
            }
        }
    }
    assert_eq!(met.len(), 7, "every sort is drawn sooner or later");
}

#[test]
fn a_schedule_tells_each_turn_once_in_its_order() {
    let pause = |sender, at_s, for_s| Fault { at_s, for_s, what: What::Pause { sender } };
    let mut schedule = Schedule::of(&[pause(0, 1.0, 3.0), pause(1, 2.0, 1.0)]);
    assert_eq!(schedule.next(), Some(at(1000.0)));
    assert_eq!(schedule.due(at(999.0)), []);
    assert_eq!(schedule.due(at(3000.0)), [Turn::Begins(0), Turn::Begins(1), Turn::Ends(1)]);
    assert_eq!(schedule.due(at(9000.0)), [Turn::Ends(0)]);
    assert_eq!((schedule.due(at(1e9)), schedule.next()), (vec![], None));
}

struct Rig {
    network: Network,
    told: Receiver<(u64, Witness)>,
    listener: TcpListener,
    target: SocketAddr,
    way: SocketAddr,
}

const FROM: End = End::Sender(0);
const TO: End = End::Destination(0);

impl Rig {
    fn new() -> Rig {
        let (tell, told) = channel();
        let network =
            Network::open(1, Box::new(move |trail, witness| _ = tell.send((trail.number, witness))));
        let network = network.expect("a network");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let target = listener.local_addr().expect("an address");
        let way = network.way(FROM, TO, target, false).expect("a way");
        assert_eq!(network.way(FROM, TO, target, false), Ok(way), "the same line");
        Rig { network, told, listener, target, way }
    }

    fn pair(&self) -> (TcpStream, TcpStream) {
        let near = TcpStream::connect(self.way).expect("a line");
        let (far, _) = self.listener.accept().expect("a connection");
        for side in [&near, &far] {
            side.set_read_timeout(Some(Duration::from_secs(10))).expect("a time");
        }
        (near, far)
    }

    fn set(&self, from: End, to: End, both: bool, condition: Condition) {
        self.network.set(1, Between { from: vec![from], to: vec![to], both }, condition);
        // An order is carried out before whatever is asked after it.
        self.settle();
    }

    /// Waits until orders given so far are carried out: a line opened after them is there.
    fn settle(&self) {
        let there = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = there.local_addr().expect("an address");
        let way = self.network.way(End::Clients(9), End::Operator, address, false).expect("a way");
        let _near = TcpStream::connect(way).expect("a line");
        _ = there.accept().expect("it is carried");
    }
}

fn read(stream: &mut TcpStream, count: usize) -> Vec<u8> {
    let mut bytes = vec![0; count];
    stream.read_exact(&mut bytes).expect("bytes");
    bytes
}

fn nothing_comes(stream: &TcpStream) {
    stream.set_read_timeout(Some(Duration::from_millis(150))).expect("a time");
    let error = (&*stream).read(&mut [0]).expect_err("nothing may come");
    assert!(matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{error}");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time");
}

#[test]
fn a_line_carries_both_ways_and_bears_witness() {
    let rig = Rig::new();
    let (mut near, mut far) = rig.pair();
    near.write_all(b"call").expect("sent");
    assert_eq!(read(&mut far, 4), b"call");
    let trail = rig.network.trail(far.peer_addr().expect("a peer")).expect("a trail");
    assert!(trail.of == FROM && !trail.is_left() && trail.last_in() <= Instant::now());
    far.write_all(b"answer").expect("sent");
    assert_eq!(read(&mut near, 6), b"answer");
    assert_eq!(rig.told.recv_timeout(Duration::from_secs(10)), Ok((trail.number, Witness::Heard)));
    drop(near);
    assert_eq!(rig.told.recv_timeout(Duration::from_secs(10)), Ok((trail.number, Witness::Left)));
    assert!(trail.is_left() && far.read(&mut [0]).expect("an end") == 0);
}

#[test]
fn a_cut_holds_back_what_comes_and_lets_it_through_late_one_way_only() {
    let rig = Rig::new();
    let (mut near, mut far) = rig.pair();
    rig.set(TO, FROM, false, CUT);
    near.write_all(b"a").expect("sent");
    assert_eq!(read(&mut far, 1), b"a", "the other way is open");
    far.write_all(b"b").expect("sent");
    nothing_comes(&near);
    assert!(rig.told.try_recv().is_err(), "nobody heard anything");
    // Who connects meanwhile gets no word: neither a refusal nor a connection.
    let error = TcpStream::connect_timeout(&rig.way, Duration::from_millis(200)).expect_err("no word");
    assert_eq!(error.kind(), ErrorKind::TimedOut);
    rig.network.clear(1);
    assert_eq!(read(&mut near, 1), b"b");
    assert_eq!(rig.told.recv_timeout(Duration::from_secs(10)).map(|(_, w)| w), Ok(Witness::Heard));
    rig.settle();
    let (mut again, mut there) = rig.pair();
    again.write_all(b"c").expect("sent");
    assert_eq!(read(&mut there, 1), b"c");
}

#[test]
fn a_sender_that_leaves_during_a_cut_is_known_to_have_left_and_its_call_still_comes() {
    let rig = Rig::new();
    let (mut near, mut far) = rig.pair();
    rig.set(FROM, TO, true, CUT);
    near.write_all(b"late").expect("sent");
    drop(near);
    assert_eq!(rig.told.recv_timeout(Duration::from_secs(10)).map(|(_, w)| w), Ok(Witness::Left));
    nothing_comes(&far);
    rig.network.clear(1);
    assert_eq!(read(&mut far, 4), b"late");
}

#[test]
fn a_reset_reaches_both_and_what_is_swallowed_neither() {
    let rig = Rig::new();
    let (mut near, mut far) = rig.pair();
    rig.network.reset(Between { from: vec![FROM], to: vec![TO], both: false });
    for side in [&mut near, &mut far] {
        assert_eq!(side.read(&mut [0]).expect_err("a reset").kind(), ErrorKind::ConnectionReset);
    }
    let (mut near, mut far) = rig.pair();
    rig.set(FROM, TO, false, SWALLOW);
    near.write_all(b"gone").expect("sent");
    nothing_comes(&far);
    rig.network.clear(1);
    rig.settle();
    near.write_all(b"too").expect("sent");
    nothing_comes(&far);
    far.write_all(b"b").expect("sent");
    assert_eq!(read(&mut near, 1), b"b", "the other way knows nothing of it");
}

#[test]
fn a_line_to_one_who_does_not_listen_refuses_and_is_at_the_same_address_after() {
    let rig = Rig::new();
    rig.network.listens(rig.target, false);
    rig.settle();
    let by = Instant::now() + Duration::from_secs(10);
    let refused = || TcpStream::connect(rig.way).is_err_and(|e| e.kind() == ErrorKind::ConnectionRefused);
    while !refused() {
        assert!(Instant::now() < by, "it never refused");
    }
    rig.network.listens(rig.target, true);
    while refused() {
        assert!(Instant::now() < by, "it refuses for ever");
    }
    let (mut near, mut far) = rig.pair();
    near.write_all(b"a").expect("sent");
    // What came in between, if anything did, ended without a word.
    let mut got = [0];
    while far.read(&mut got).expect("read") == 0 {
        far = rig.listener.accept().expect("the next").0;
    }
    assert_eq!(&got, b"a");
}

#[test]
fn one_that_moves_is_found_where_it_was() {
    let rig = Rig::new();
    let moved = TcpListener::bind("127.0.0.1:0").expect("a port");
    let (end, first) = (End::Sender(3), rig.target);
    let way = rig.network.way(End::Clients(3), end, first, true).expect("a way");
    let second = moved.local_addr().expect("an address");
    assert_eq!(rig.network.way(End::Clients(3), end, second, true), Ok(way));
    rig.settle();
    let _near = TcpStream::connect(way).expect("a line");
    moved.accept().expect("it comes to the new place");
}

#[test]
fn datagrams_go_there_and_the_answer_comes_back_from_where_it_was_sent_to() {
    let rig = Rig::new();
    let bind = || UdpSocket::bind("127.0.0.1:0").expect("a port");
    let (a, b) = (bind(), bind());
    let address = |socket: &UdpSocket| socket.local_addr().expect("an address");
    let there = rig.network.datagrams(End::Sender(0), End::Sender(1), address(&b)).expect("a way");
    let back = rig.network.datagrams(End::Sender(1), End::Sender(0), address(&a)).expect("a way");
    rig.settle();
    let mut bytes = [0; 16];
    for socket in [&a, &b] {
        socket.set_read_timeout(Some(Duration::from_secs(10))).expect("a time");
    }
    a.send_to(b"ping", there).expect("sent");
    let (count, from) = b.recv_from(&mut bytes).expect("it comes");
    assert_eq!((&bytes[..count], from), (&b"ping"[..], back));
    b.send_to(b"pong", from).expect("sent");
    let (count, from) = a.recv_from(&mut bytes).expect("it comes back");
    assert_eq!((&bytes[..count], from), (&b"pong"[..], there));
    rig.set(End::Sender(0), End::Sender(1), false, CUT);
    a.send_to(b"lost", there).expect("sent");
    b.send_to(b"heard", back).expect("sent");
    let (count, _) = a.recv_from(&mut bytes).expect("the other way is open");
    assert_eq!(&bytes[..count], b"heard");
    rig.network.clear(1);
    rig.settle();
    a.send_to(b"after", there).expect("sent");
    let (count, _) = b.recv_from(&mut bytes).expect("it comes");
    assert_eq!(&bytes[..count], b"after", "what met the cut is gone");
}
