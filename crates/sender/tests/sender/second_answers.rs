//! Answers that nobody asked for: a second copy of an earlier one, or a refusal, written at a moment that a test chooses.

use crate::common::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const DELIVERED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Guards against a log that can't tell which call met which bytes on which connection.
#[test]
fn what_came_back_is_logged_with_its_call_and_its_connection() {
    let (endpoint, discovery, folder) = (Host::open(), Host::open(), Folder::new());
    let config = config(&[member("e0", &endpoint, 0, "Ready")], discovery.address);
    let mut command = command(&config, &folder);
    command.env("ROUTER_LOG", "debug");
    let daemon = Daemon::start_by(command);
    assert_eq!(daemon.hand_in("free", "t0", 0), 202);
    endpoint.next().answer(DELIVERED.repeat(2));
    let has = |line: String, words: &[&str]| {
        words.iter().for_each(|word| assert!(line.contains(word), "{word:?} in {line:?}"));
    };
    has(daemon.line_with("call left"), &["ids=t0 ", "connection=1 ", "calls=1"]);
    has(daemon.line_with(": answer"), &["ids=t0 ", "connection=1 ", "status=200 ", "bytes=0 ", "after_ms="]);
    has(daemon.line_with("bytes that nobody asked for"), &["connection=1 ", "when=behind an answer "]);
    has(daemon.line_with("connection closed"), &["connection=1 ", "calls=1 ", "reason="]);
    has(daemon.line_with("call ended"), &["id=t0 ", "reason=Delivered"]);
    daemon.counts("unasked", 1);
    daemon.counts("endpoint_connections", 1);
}

/// What a busy machine may add to what is seen here.
const SLACK: Duration = Duration::from_millis(300);
const REFUSED: &str = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
/// An endpoint takes this long over a call; what the sender does about a stray answer it has done by then.
const WORK: Duration = Duration::from_millis(600);

/// A daemon with one endpoint that takes up to so many messages a call.
struct World {
    endpoint: Host,
    discovery: Host,
    daemon: Daemon,
    _folder: Folder,
}

impl World {
    fn new(messages_per_call: u64) -> World {
        let (endpoint, discovery) = (Host::reading_ahead(), Host::reading_ahead());
        let folder = Folder::new();
        let mut config = config(&[member("e0", &endpoint, 0, "Ready")], discovery.address);
        config["settings"]["family-info"]["kind-batch"] = json!([messages_per_call]);
        let daemon = Daemon::start(&config, &folder);
        World { endpoint, discovery, daemon, _folder: folder }
    }

    /// Has one message delivered: the connection that its call came on, and its answer.
    fn delivers(&self, product: &str, id: &str) -> (usize, Vec<u8>) {
        assert_eq!(self.daemon.hand_in(product, id, 0), 202);
        let visit = self.endpoint.next();
        assert_eq!(visit.ids(), [id]);
        let (connection, answer) = (visit.connection, visit.all_done());
        visit.answer(answer.clone());
        self.daemon.counts("delivered", 1);
        (connection, answer)
    }

    /// The call of one message. Where its connection has carried another, these bytes come on it before its answer.
    fn call_with_stray(&self, product: &str, id: &str, (used, stray): (usize, &[u8])) -> Visit {
        assert_eq!(self.daemon.hand_in(product, id, 0), 202);
        let visit = self.endpoint.next();
        assert_eq!(visit.ids(), [id]);
        if visit.connection == used {
            visit.writes_beside(stray);
        }
        visit
    }
}

fn cases() -> impl Iterator<Item = (u64, &'static str)> {
    [1, 5].into_iter().flat_map(|most| ["free", "marked", "once", "queue"].map(|product| (most, product)))
}

/// Guards against a message that is lost as the second copy of an earlier answer passes for its own.
#[test]
fn a_second_copy_of_an_answer_ends_no_other_message() {
    for (messages_per_call, product) in cases() {
        let world = World::new(messages_per_call);
        let (used, copy) = world.delivers(product, "t0");
        let visit = world.call_with_stray(product, "t1", (used, &copy));
        thread::sleep(WORK);
        visit.answer(REFUSED);
        let notice = |visit: Visit| ends_told(&visit).iter().any(|(id, _)| id == "t1");
        let told = || {
            world
                .discovery
                .next_within(Duration::ZERO)
                .is_some_and(|v| v.request.path == "/reports" && notice(v))
        };
        let by = Instant::now() + PATIENCE / 4;
        let ends = loop {
            match world.endpoint.next_within(Duration::from_millis(20)) {
                Some(again) => break again.ids() == ["t1"],
                None if told() => break true,
                None if Instant::now() > by => break false,
                None => {}
            }
        };
        assert!(
            ends,
            "{product}, {messages_per_call} a call: refused, and neither called again nor reported"
        );
    }
}

/// Guards against the next message of a key that is called while the one before it is out, as a second copy of an earlier
/// answer passed for that one's.
#[test]
fn a_second_copy_of_an_answer_frees_no_message_behind_it_in_its_key() {
    for messages_per_call in [1, 5] {
        let world = World::new(messages_per_call);
        let (used, copy) = world.delivers("queue", "t0");
        let visit = world.call_with_stray("queue", "t1", (used, &copy));
        assert_eq!(world.daemon.hand_in("queue", "t2", 0), 202);
        let early = world.endpoint.next_within(WORK);
        assert!(
            early.is_none(),
            "{messages_per_call} a call: {:?} beside t1",
            early.map(|visit| visit.ids())
        );
        visit.answer(REFUSED);
        let next = world.endpoint.next();
        assert!(!next.ids().contains(&"t2".into()) || next.ids()[0] == "t1", "{:?} before t1", next.ids());
    }
}

/// Guards against a second call beside the first, as the true answer of the call before passed for that one's.
#[test]
fn an_answer_that_a_copy_forestalled_ends_no_later_call() {
    for (messages_per_call, product) in cases().filter(|(_, product)| *product != "queue") {
        let world = World::new(messages_per_call);
        let (used, copy) = world.delivers(product, "t0");
        let first = world.call_with_stray(product, "t1", (used, &copy));
        thread::sleep(WORK);
        // Whether it waits on a connection of its own, or on the one that the first call is out on.
        assert_eq!(world.daemon.hand_in(product, "t2", 0), 202);
        thread::sleep(WORK);
        first.answer(REFUSED);
        let mut out: Vec<Visit> = Vec::new();
        while let Some(visit) = world.endpoint.next_within(WORK) {
            let still = |other: &Visit| !other.gone.load(Ordering::SeqCst);
            let twice = out.iter().filter(|other| still(other)).any(|other| other.ids() == visit.ids());
            assert!(!twice, "{product}, {messages_per_call} a call: two calls of {:?} at once", visit.ids());
            out.push(visit);
        }
        out.into_iter().for_each(|visit| {
            let answer = visit.all_done();
            visit.answer(answer);
        });
    }
}

/// Guards against a second call beside the first, or behind one that may have run, as a refusal that nobody asked for passes
/// for the call's own.
#[test]
fn a_refusal_that_nobody_asked_for_frees_no_message() {
    for (messages_per_call, product) in cases() {
        let world = World::new(messages_per_call);
        let (used, _) = world.delivers(product, "t0");
        let visit = world.call_with_stray(product, "t1", (used, REFUSED.as_bytes()));
        let again = world.endpoint.next_within(WORK);
        let ended = visit.gone.load(Ordering::SeqCst);
        let what =
            format!("{product}, {messages_per_call} a call: again {}, first ended {ended}", again.is_some());
        assert!(again.is_none() || (ended && product != "once"), "{what}");
    }
}

/// Guards against a notice that is lost as the second copy of an earlier answer passes for its own.
#[test]
fn a_second_copy_of_an_answer_ends_no_notice() {
    let world = World::new(1);
    let gives_up = |id: &str| {
        assert_eq!(world.daemon.hand_in("once", id, 0), 202);
        world.endpoint.next().status(500);
        loop {
            let visit = world.discovery.next();
            if visit.request.path == "/reports" {
                assert_eq!(ends_told(&visit), [(id.to_owned(), "undeliverable".to_owned())]);
                break visit;
            }
        }
    };
    let first = gives_up("t0");
    let used = first.connection;
    first.status(204);
    world.daemon.counts("reported", 1);
    let second = gives_up("t1");
    if second.connection == used {
        second.writes_beside("HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n");
    }
    thread::sleep(WORK);
    second.hang_up();
    let by = Instant::now() + PATIENCE / 4;
    let again =
        std::iter::from_fn(|| world.discovery.next_within(by.saturating_duration_since(Instant::now())));
    let told =
        again.filter(|visit| visit.request.path == "/reports").any(|visit| ends_told(&visit)[0].0 == "t1");
    assert!(told, "nobody heard of t1, and it is not told again");
}

/// Guards against a list that is believed for as long as second copies of an earlier answer come for each question.
#[test]
fn a_second_copy_of_a_list_confirms_no_list() {
    let (first, second) = (Host::open(), Host::open());
    let (discovery, folder) = (Host::reading_ahead(), Folder::new());
    let members = [member("e0", &first, 0, "Ready"), member("e1", &second, 1, "Ready")];
    let daemon = Daemon::start(&config(&members, discovery.address), &folder);
    let changed = Instant::now();
    let page = |from: u64, to: u64, members: Value| {
        assert!(from <= to);
        ok_json(&json!({"revision": to, "complete": false, "members": members}).to_string())
    };
    let drains = member("e0", &first, 0, "Terminating");
    let mut answers: BTreeMap<usize, Vec<u8>> = BTreeMap::new();
    let mut questions = Vec::new();
    let (mut asked, mut late) = (0, Vec::new());
    while changed.elapsed() < Duration::from_secs(10) {
        if let Some(visit) = discovery.next_within(Duration::from_millis(5)) {
            asked += 1;
            let from = visit.request.path.split("from=").nth(1).and_then(|rest| rest.split('&').next());
            let from: u64 = from.and_then(|from| from.parse().ok()).unwrap_or(41);
            match answers.get(&visit.connection) {
                Some(copy) => {
                    thread::sleep(Duration::from_millis(50));
                    visit.writes_beside(copy.clone());
                    questions.push(visit);
                }
                // The first one of all is answered before the change, each later one behind it.
                None => {
                    let answer =
                        if asked == 1 { page(from, 42, json!([])) } else { page(from, 43, json!([drains])) };
                    answers.insert(visit.connection, answer.clone());
                    if asked > 1 && from >= 43 { questions.push(visit) } else { visit.answer(answer) }
                }
            }
        }
        if changed.elapsed().as_millis() % 50 < 5 {
            _ = daemon.hand_in("free", &format!("t{}", changed.elapsed().as_millis()), 0);
        }
        while let Some(visit) = first.next_within(Duration::ZERO) {
            if changed.elapsed() > Duration::from_secs(7) + SLACK {
                late.push(changed.elapsed());
            }
            let answer = visit.all_done();
            visit.answer(answer);
        }
    }
    assert!(
        late.is_empty(),
        "{} calls to an endpoint that drains, after {asked} questions: {late:?}",
        late.len()
    );
}
