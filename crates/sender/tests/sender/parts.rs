//! The parts on their own, as tables of cases: parsing, and the order of what the decider hears.

use crate::common::{Folder, Host, config, limits, member};
use crate::owed::info;
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use indigomast::api::{Condition, EndpointId, KindId, TextId, Verdict, ZoneId};
use indigomast_admission::{Budget, MemoryBudget};
use indigomast_sender::call::{Call, Part};
use indigomast_sender::clock::Clock;
use indigomast_sender::config::{Config, InForce};
use indigomast_sender::counters::Counters;
use indigomast_sender::decider::{Admission, Decider, HandIn, Message, reconcile_products};
use indigomast_sender::endpoint_table::EndpointTable;
use indigomast_sender::http::{self, Rejection};
use indigomast_sender::limits::Limits;
use indigomast_sender::link::Link;
use indigomast_sender::list::ListedEndpoint;
use indigomast_sender::notices::Notice;
use indigomast_sender::peer::{Ask, Peer, Trunk};
use indigomast_sender::ring::Ring;
use indigomast_sender::text_journal::{TextInfo, TextJournal};
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

fn ring(bytes: &[u8]) -> Ring {
    let mut ring = Ring::default();
    ring.push(bytes);
    ring
}

#[test]
fn requests_are_the_same_however_they_are_cut() {
    let raw = b"POST /a/b?c HTTP/1.1\r\nContent-Length: 3\r\nX-A:  b \r\n\r\nxyzGET / HTTP/1.1\r\n\r\n";
    for cut in 0..raw.len() {
        let (mut ring, mut taken) = (Ring::default(), Vec::new());
        for part in [&raw[..cut], &raw[cut..]] {
            ring.push(part);
            while let Some(request) = http::take_request(&mut ring, &limits()).expect("well-formed") {
                taken.push(request);
            }
        }
        let [first, second] = &taken[..] else { panic!("{cut}: {} requests", taken.len()) };
        assert_eq!((&first.method[..], &first.path[..], &first.body[..]), ("POST", "/a/b?c", &b"xyz"[..]));
        assert_eq!(first.headers.get("x-a"), Some("b"));
        assert_eq!((&second.method[..], second.body.len(), ring.len()), ("GET", 0, 0));
    }
}

#[test]
fn a_request_over_a_limit_is_refused_before_it_is_whole() {
    let limits = Limits { head: 100, body: 10, headers: 3, ..limits() };
    let long = "x".repeat(101);
    for (raw, expected) in [
        (format!("GET /{long}"), Rejection(431)),
        ("GET / HTTP/1.1\r\na: b\r\na: b\r\na: b\r\na: b\r\n\r\n".into(), Rejection(431)),
        ("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n".into(), Rejection(413)),
    ] {
        assert_eq!(http::take_request(&mut ring(raw.as_bytes()), &limits).err(), Some(expected), "{raw}");
    }
}

#[test]
fn answers_end_where_they_say() {
    // the answer, whether the stream ended, its body, whether the connection is kept
    let cases: [(&str, bool, Option<&str>, bool); 9] = [
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, Some("ok"), true),
        ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", false, None, true),
        ("HTTP/1.1 200 OK\r\nConnection: Close\r\nContent-Length: 0\r\n\r\n", false, Some(""), false),
        ("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", false, Some(""), false),
        ("HTTP/1.1 204 No\r\n\r\n", false, Some(""), true),
        ("HTTP/1.1 200 OK\r\n\r\nall", false, None, false),
        ("HTTP/1.1 200 OK\r\n\r\nall", true, Some("all"), false),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n2;x\r\nbc\r\n0\r\nT: t\r\n\r\n",
            false,
            Some("abc"),
            true,
        ),
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", false, None, true),
    ];
    for (raw, ended, body, keeps) in cases {
        let mut ring = ring(raw.as_bytes());
        let head = http::take_answer_head(&mut ring, &limits(), &mut 0).expect("HTTP").expect("whole");
        let taken = head.take_body(&mut ring, ended, 100).expect("well-formed");
        assert_eq!(taken.as_deref(), body.map(str::as_bytes), "{raw}");
        assert_eq!(head.keeps(), keeps, "{raw}");
    }
    for raw in [
        "HTTP/1.1 200 OK\r\nContent-Length: 101\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n",
    ] {
        let mut ring = ring(raw.as_bytes());
        let head = http::take_answer_head(&mut ring, &limits(), &mut 0).expect("HTTP").expect("whole");
        assert!(head.take_body(&mut ring, true, 100).is_err(), "{raw}");
    }
}

#[test]
fn a_sender_lives_and_ends_inside_another_program() {
    let folder = Folder::new();
    let discovery = ([127, 0, 0, 1], 9).into();
    let mut ports = Vec::new();
    // The second binds where the first one was.
    for listen in [None, Some(())] {
        let mut config = Config::parse(&config(&[], discovery).to_string(), folder.state()).expect("good");
        config.listen = listen.map_or(config.listen, |()| ports[0]);
        let sender = indigomast_sender::Sender::start(config).expect("starts");
        ports.push(sender.address);
        let (stopper, counters) = (sender.stopper(), Arc::clone(&sender.counters));
        assert!(TcpStream::connect(sender.address).is_ok());
        stopper.stop();
        stopper.stop();
        assert_eq!(sender.wait(), Ok(()));
        assert_eq!(counters.taken.value(), 0);
    }
    assert_eq!(ports[0], ports[1]);
}

/// Guards against tables that grow with every endpoint there ever was, and against an index that means another one
/// while something still refers to it.
#[test]
fn endpoints_off_the_list_are_forgotten_once_nothing_is_out_to_them() {
    let member = |name: &str| ListedEndpoint {
        name: name.into(),
        address: None,
        dest: 0,
        kind: KindId(0),
        zone: ZoneId(0),
        units: 1.0,
        condition: Condition::Running,
    };
    let mut places = EndpointTable::default();
    let [stays, busy, back, gone] =
        ["stays", "busy", "back", "gone"].map(|name| places.upsert(&member(name)).0);
    places.get(busy).expect("put").in_flight = 1;
    [busy, back, gone].into_iter().for_each(|at| places.mark_unlisted(at));
    assert_eq!(places.upsert(&member("back")).0, back, "still known");
    places.remove_expired(Duration::from_secs(60));
    assert_eq!(places.len(), 4, "not yet");
    thread::sleep(Duration::from_millis(2));
    places.remove_expired(Duration::from_millis(1));
    assert!(places.get(gone).is_none());
    assert!([stays, busy, back].into_iter().all(|at| places.get(at).is_some()));
    assert!(places.upsert(&member("gone")).0 > gone, "an index never comes twice");
    places.get(busy).expect("still there").in_flight = 0;
    thread::sleep(Duration::from_millis(2));
    places.remove_expired(Duration::from_millis(1));
    assert!(places.get(busy).is_none());
}

/// Guards against a second copy of an answer that comes a moment after the first and would be taken for the answer
/// to the next call.
#[test]
fn a_connection_is_looked_at_a_moment_after_its_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let limits = Limits { link_settle: Duration::from_millis(400), ..limits() };
    for copies in [1, 2] {
        let mut link = Link::open(address, limits.connect_list).expect("it listens");
        let (mut other, _) = listener.accept().expect("it came");
        let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        other.write_all(answer).expect("open");
        let by = Instant::now() + crate::common::PATIENCE;
        let head = link.head(&limits, by).expect("an answer");
        assert_eq!(link.body(&head, 100, by).expect("whole"), b"");
        assert!(link.is_clean());
        let late = thread::spawn(move || {
            thread::sleep(Duration::from_millis(30));
            (1..copies).for_each(|_| other.write_all(answer).expect("open"));
            other
        });
        assert_eq!(link.sound(&limits), copies == 1);
        drop(late.join().expect("written"));
    }
}

/// Guards against sound endpoints held to be down because this process has run out of something.
#[test]
fn what_this_machine_lacks_is_told_from_what_an_endpoint_does() {
    use indigomast_sender::link::is_shortage;
    for (code, expected) in [
        (12, true),
        (23, true),
        (24, true),
        (99, true),
        (105, true),
        (104, false),
        (110, false),
        (111, false),
    ] {
        assert_eq!(is_shortage(&std::io::Error::from_raw_os_error(code)), expected, "{code}");
    }
    assert!(!is_shortage(&std::io::ErrorKind::TimedOut.into()));
}

fn budget(limits: &Limits) -> Budget {
    Budget::new(limits.descriptors, limits.shares)
}

/// Guards against an outcome told while its call is still out: the next text of the key would go out beside it.
#[test]
fn texts_of_a_call_fare_alike_when_it_is_never_answered() {
    let endpoint = Host::open();
    let parsed = Config::parse(&config(&[], endpoint.address).to_string(), Folder::new().state());
    let Config { limits, site, .. } = parsed.expect("well-formed");
    let (decider, words) = unbounded();
    let trunk = Trunk::new(
        &Arc::new(limits.clone()),
        &Arc::default(),
        &Arc::default(),
        &decider,
        &Arc::new(InForce::new(site)),
        &budget(&limits),
    );
    let (own, asks) = bounded(8);
    let (address, trunk) = (endpoint.address, Arc::new(trunk));
    let peer = Peer { endpoint: EndpointId(0), address, trunk: Arc::clone(&trunk), own: own.clone() };
    let work = thread::spawn(move || peer.run(asks));
    let sent = Instant::now();
    let part = |at: usize, millis| {
        let by = sent + Duration::from_millis(millis);
        Part {
            text: TextId(at),
            submit: 0,
            id: format!("t{at}"),
            mark: None,
            body: Arc::default(),
            by,
            send_deadline: by,
        }
    };
    let mut call = Call::new(part(0, 200), sent, false).to(EndpointId(0), &trunk);
    call.parts.push(part(1, 500));
    own.send(Ask::Call(Box::new(call))).expect("it listens");
    let unanswered = endpoint.next();
    for _ in 0..2 {
        match words.recv_timeout(crate::common::PATIENCE) {
            Ok(Message::Outcome(outcome)) => assert_eq!(outcome.verdict, Verdict::TimeOut),
            _ => panic!("an outcome was due"),
        }
        assert!(sent.elapsed() >= Duration::from_millis(500));
    }
    drop(unanswered);
    own.send(Ask::Retire).expect("it listens");
    work.join().expect("no panic");
}

/// What peers share, and the mailbox of their decider.
pub fn trunk() -> (Arc<Trunk>, Receiver<Message>) {
    let Lone { actor, .. } = lone();
    let (decider, words) = unbounded();
    (Arc::new(Trunk { decider, ..Arc::into_inner(actor.trunk).expect("nobody else has it") }), words)
}

/// A peer, what it shares, and the mailbox of its decider.
pub fn peer(endpoint: &Host) -> (Sender<Ask>, Arc<Trunk>, Receiver<Message>) {
    let (trunk, words) = trunk();
    let (own, asks) = bounded(8);
    let shared = Arc::clone(&trunk);
    let peer = Peer { endpoint: EndpointId(0), address: endpoint.address, trunk: shared, own: own.clone() };
    thread::spawn(move || peer.run(asks));
    (own, trunk, words)
}

pub fn part(at: usize, by: Instant) -> Part {
    Part {
        text: TextId(at),
        submit: 0,
        id: format!("t{at}"),
        mark: None,
        body: Arc::default(),
        by,
        send_deadline: by,
    }
}

pub fn call(trunk: &Arc<Trunk>, parts: impl IntoIterator<Item = Part>) -> Call {
    let mut parts = parts.into_iter();
    let mut call =
        Call::new(parts.next().expect("one at least"), Instant::now(), false).to(EndpointId(0), trunk);
    call.parts.extend(parts);
    call
}

pub fn verdict(words: &Receiver<Message>) -> Verdict {
    match words.recv_timeout(crate::common::PATIENCE) {
        Ok(Message::Outcome(outcome)) => outcome.verdict,
        _ => panic!("an outcome was due"),
    }
}

/// One of several texts can't be called back alone; once all are, their call ends and each may go again.
#[test]
fn a_call_of_several_ends_once_all_of_its_texts_are_called_back() {
    let endpoint = Host::open();
    let (peer, trunk, words) = peer(&endpoint);
    let by = Instant::now() + crate::common::PATIENCE;
    peer.send(Ask::Call(Box::new(call(&trunk, [part(0, by), part(1, by)])))).expect("it listens");
    let _unanswered = endpoint.next();
    [0, 0].into_iter().for_each(|at| peer.send(Ask::Revoke((TextId(at), 0))).expect("it listens"));
    assert!(words.recv_timeout(Duration::from_millis(50)).is_err(), "the other is wanted still");
    peer.send(Ask::Revoke((TextId(1), 0))).expect("it listens");
    assert_eq!([verdict(&words), verdict(&words)], [Verdict::Cancelled; 2]);
}

/// A call whose time to leave is over never does; one that has left is not called back by a wait told after it.
#[test]
fn a_call_leaves_in_time_or_not_at_all() {
    let endpoint = Host::open();
    let (peer, trunk, words) = peer(&endpoint);
    peer.send(Ask::Call(Box::new(call(&trunk, [part(0, Instant::now())])))).expect("it listens");
    assert_eq!(verdict(&words), Verdict::Moot);
    assert!(endpoint.is_quiet());
    let by = Instant::now() + crate::common::PATIENCE;
    peer.send(Ask::Call(Box::new(call(&trunk, [part(0, by)])))).expect("it listens");
    let left = endpoint.next();
    peer.send(Ask::Withhold((TextId(0), 0))).expect("it listens");
    left.status(200);
    assert_eq!(verdict(&words), Verdict::Delivered);
}

/// A decider whose neighbours are the test's own mailboxes.
struct Lone {
    actor: Decider,
    decider: Sender<Message>,
    words: Receiver<Message>,
    reports: Receiver<Notice>,
    counted: Arc<Counters>,
    limits: Arc<Limits>,
    folder: Folder,
}

/// The destination is known, but its only endpoint takes nothing new.
fn lone() -> Lone {
    let folder = Folder::new();
    let members = [member("e0", &Host::open(), 0, "Terminating")];
    let file = config(&members, ([127, 0, 0, 1], 9).into()).to_string();
    let Config { limits, mut site, known, .. } = Config::parse(&file, folder.state()).expect("well-formed");
    let (limits, counters, figures) = (Arc::new(limits), Arc::<Counters>::default(), Arc::default());
    let ((decider, words), (list, _), (notices, reports)) = (unbounded(), unbounded(), unbounded());
    let clock = Clock::start();
    let mut journal = TextJournal::open(&folder.state(), &limits, clock.now()).expect("opens");
    let table = reconcile_products(&mut journal, &mut site, &figures);
    let site = Arc::new(InForce::new(site));
    let trunk = Arc::new(Trunk::new(&limits, &counters, &figures, &decider, &site, &budget(&limits)));
    let (counted, granted, handover_state, handover) =
        (Arc::clone(&counters), Arc::clone(&limits), None, None);
    #[rustfmt::skip]
    let actor = Decider {
        list_saver: None,
        clock, limits, counters, figures, site, table, trunk, list, notices, journal, seed: 1, known, handover_state, handover,
    };
    Lone { actor, decider, words, reports, counted, limits: granted, folder }
}

/// Guards against a stranger's text under a client's id, both of which lay unread: which one was read first tells nothing.
#[test]
fn of_two_forms_under_one_id_the_proven_one_is_taken_while_nothing_is_promised() {
    for (first, second, expected) in [
        (false, true, [Err(()), Ok(())]),
        (true, false, [Ok(()), Err(())]),
        (false, false, [Err(()), Err(())]),
        (true, true, [Ok(()), Err(())]),
    ] {
        let Lone { actor, decider, words, counted, folder: _folder, .. } = lone();
        // Both are in the mailbox before it is looked into.
        let answers: Vec<_> = [(first, &b"one"[..]), (second, b"two")]
            .into_iter()
            .map(|(proven, body)| {
                let (reply, answer) = bounded(1);
                let until_ms = Clock::start().now().as_millis() + 20_000.0;
                let info = TextInfo { until_ms, product: "queue".into(), ..info(7) };
                let (memory, came) = (MemoryBudget::default().empty(), Instant::now());
                let hand_in = HandIn { info, body: body.into(), memory, proven, came, reply };
                decider.send(Message::HandIn(hand_in)).expect("it listens");
                answer
            })
            .collect();
        let work = thread::spawn(move || actor.run(words));
        let heard = answers.iter().map(|answer| match answer.recv_timeout(crate::common::PATIENCE) {
            Ok(Admission::Accepted(text)) => {
                decider.send(Message::AnswerLost(text)).expect("it listens");
                Ok(())
            }
            Ok(Admission::IdConflict) => Err(()),
            other => panic!("{other:?}"),
        });
        assert_eq!(heard.collect::<Vec<_>>(), expected, "{first} {second}");
        decider.send(Message::Stop).expect("it listens");
        work.join().expect("no panic");
        assert_eq!(counted.conflicts.value(), 1);
    }
}

/// A decider whose neighbours are the test's own mailboxes.
#[test]
fn a_client_gone_before_its_answer_leaves_nothing_behind() {
    let Lone { actor, decider, words, reports, counted: counters, folder, limits } = lone();
    let work = thread::spawn(move || actor.run(words));
    let hand_in = |id: usize, product: &str| {
        let (reply, answer) = bounded(1);
        let until_ms = Clock::start().now().as_millis() + 40.0;
        let info = TextInfo { until_ms, product: product.into(), ..info(id) };
        decider
            .send(Message::HandIn(HandIn {
                info,
                body: Arc::default(),
                memory: MemoryBudget::default().empty(),
                proven: true,
                came: Instant::now(),
                reply,
            }))
            .expect("it listens");
        answer
    };
    let taken = |id, product| match hand_in(id, product).recv_timeout(crate::common::PATIENCE) {
        Ok(Admission::Accepted(text)) => text,
        other => panic!("{other:?}"),
    };
    // All of one key: gone after the answer, gone before it, abandoned, and one whose client stayed.
    let gone = taken(0, "queue");
    drop(hand_in(1, "queue"));
    decider.send(Message::RequestAbandoned(hand_in(2, "queue"))).expect("it listens");
    // Who comes by the id of an open request hears what becomes of that one, and is no text of its own.
    let other = taken(4, "queue");
    let (second, third) = (hand_in(4, "queue"), hand_in(4, "queue"));
    decider.send(Message::AnswerLost(other)).expect("it listens");
    for answer in [second, third] {
        assert_eq!(answer.recv_timeout(crate::common::PATIENCE), Ok(Admission::Full));
    }
    let heard = taken(3, "queue");
    let second = hand_in(3, "queue");
    decider.send(Message::AnswerDelivered(heard)).expect("it listens");
    assert_eq!(second.recv_timeout(crate::common::PATIENCE), Ok(Admission::AlreadyAccepted));
    decider.send(Message::AnswerLost(gone)).expect("it listens");
    // With no endpoint every text that is owed ends by a notice; this one alone is.
    let notice = reports.recv_timeout(crate::common::PATIENCE).expect("a notice");
    assert_eq!((notice.text, &notice.id[..]), (heard, "t3"));
    decider.send(Message::AnswerDelivered(TextId(99))).expect("a text nobody knows changes nothing");
    decider.send(Message::Reported(vec![heard])).expect("it listens");
    decider.send(Message::Stop).expect("it listens");
    work.join().expect("no panic");
    assert!(reports.is_empty());
    assert_eq!((counters.withdrawn.value(), counters.taken.value(), counters.submitted.value()), (4, 1, 0));
    assert!(
        TextJournal::open(&folder.state(), &limits, Clock::start().now())
            .expect("opens")
            .outstanding()
            .is_empty()
    );
}
