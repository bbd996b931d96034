//! Endpoints under load that write more answers than they owe, drawn from a seed and judged by what endpoints, platform and
//! clients have seen.
//!
//! `INDIGOMAST_STRAYS=FROM-TO` plays these seeds, of which 24 hold each kind of stray answer; twelve where it is not set. From
//! `FIRST_WIDE` on there are several senders and signals, calls are larger, and endpoints hang up. From `FIRST_LATE_CLOSE` on they
//! also hear late that a connection was ended, as behind a slow network, and leave some calls without an answer.

use crate::common::*;
use crate::kills::Dice;
use crossbeam_channel::{Receiver, Sender, unbounded};
use indigomast_sender::http::take_request;
use indigomast_sender::ring::Ring;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const DESTS: u64 = 3;
const ENDPOINTS: usize = 6;
const CLIENTS: usize = 4;
const LOAD: Duration = Duration::from_secs(8);
/// How long a message may be delivered, in milliseconds, as its client says.
const VALID_MS: u64 = 5_000;
/// By so much after its time is up a message has to have ended, and what a busy machine may add to what is seen here.
const LATE: Duration = Duration::from_millis(350);
const SEEN_LATE: Duration = Duration::from_millis(300);

const FIRST_WIDE: u64 = 301;
const FIRST_LATE_CLOSE: u64 = 401;

/// When bytes come that nobody asked for.
#[derive(Clone, Copy, Debug)]
enum Stray {
    Never,
    /// A copy, so long behind each answer that is written twice.
    BehindAnswer(u64),
    /// A copy of the last answer, so long after the next call has come.
    BehindCall(u64),
    /// The same, of answers with 200 alone.
    DeliveredBehindCall(u64),
    /// A refusal, or an answer with 200, which is no copy, so long after the next call has come.
    RefusalBehindCall(u64),
    OtherBehindCall(u64),
    /// A second answer to a call, which differs from the first in a header, so long after the next call has come.
    AlikeBehindCall(u64),
}

/// What is drawn for a seed.
#[derive(Clone, Copy, Debug)]
struct Case {
    stray: Stray,
    /// One answer in so many is followed by a stray one.
    one_in: u64,
    messages_per_call: u64,
    /// Bytes take up to so many milliseconds each way.
    link_ms: u64,
    /// Bodies of answers to one message are all alike.
    alike: bool,
    /// Idle connections of clients.
    crowd: usize,
    /// The process is held up again and again.
    held_up: bool,
    senders: usize,
    /// One call in so many ends with its connection and no answer; none where it is 0.
    hang_up_one_in: u64,
    /// SIGHUP comes again and again.
    reloads: bool,
    /// The end of a connection is heard up to so many milliseconds late.
    close_late_ms: u64,
    /// One call in so many is never answered; none where it is 0.
    silent_one_in: u64,
}

const STRAYS: [Stray; 12] = [
    Stray::DeliveredBehindCall(5),
    Stray::RefusalBehindCall(5),
    Stray::BehindAnswer(10),
    Stray::BehindCall(5),
    Stray::BehindAnswer(0),
    Stray::OtherBehindCall(5),
    Stray::BehindAnswer(40),
    Stray::AlikeBehindCall(3),
    Stray::BehindCall(60),
    Stray::BehindAnswer(400),
    Stray::RefusalBehindCall(0),
    Stray::Never,
];

impl Case {
    fn of(seed: u64) -> Case {
        let at = (seed - 1) / 2 % STRAYS.len() as u64;
        let is_wide = seed >= FIRST_WIDE;
        let closes_late = seed >= FIRST_LATE_CLOSE;
        Case {
            stray: STRAYS[at as usize],
            one_in: [4, 4, 1, 20][(seed / 3 % 4) as usize],
            messages_per_call: match (seed % 2, is_wide) {
                (1, _) => 1,
                (_, false) => 5,
                (_, true) => 10,
            },
            link_ms: if seed % 5 == 4 { 30 } else { 0 },
            alike: !seed.is_multiple_of(3),
            crowd: if seed % 4 == 3 { 120 } else { 0 },
            held_up: seed % 7 == 5,
            senders: if is_wide { 3 } else { 1 },
            hang_up_one_in: if is_wide { 12 } else { 0 },
            reloads: is_wide,
            close_late_ms: if closes_late { [20, 60, 100, 150][(seed % 4) as usize] } else { 0 },
            silent_one_in: if closes_late { 10 } else { 0 },
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Given {
    Out,
    Delivered,
    NeverRan,
    /// Its connection ended before an answer was written.
    Unknown,
}

struct Message {
    /// What it must not overtake.
    turn: Option<(String, usize)>,
    /// When it has to have ended; none while its client waits, and `refused` where it was not taken on.
    due: Option<Instant>,
    refused: bool,
    calls: Vec<Given>,
    ended: Option<Instant>,
    reported: Option<Instant>,
}

/// What clients, endpoints and platform have seen.
#[derive(Default)]
struct Record {
    messages: BTreeMap<String, Message>,
    /// The messages of each key, in the order in which they were handed in.
    keys: BTreeMap<String, Vec<String>>,
    strays: usize,
    connections: usize,
    calls: usize,
    wrong: Vec<String>,
}

impl Record {
    /// A call has come for a message, whose bytes were on their way since they were read: its number among the calls of that one.
    fn comes(&mut self, id: &str, read: Instant) -> usize {
        self.calls += 1;
        let message = self.messages.get(id).expect("handed in by a client");
        let mut wrong = Vec::new();
        if message.calls.contains(&Given::Out) {
            wrong.push(format!("{id} is out twice at once: {:?}", message.calls));
        }
        // What left before may still be on its way, on a connection that the sender has ended.
        if message.reported.is_some_and(|told| read >= told) {
            wrong.push(format!("{id} is called after its end was told, behind {:?}", message.calls));
        }
        let may_have_run = message.calls.iter().any(|given| *given != Given::NeverRan);
        if id.starts_with('o') && may_have_run {
            wrong.push(format!("{id} goes once only and comes again: {:?}", message.calls));
        }
        if let Some((key, turn)) = &message.turn {
            let before = &self.keys[key][..*turn];
            let open = |id: &&String| {
                let other = &self.messages[*id];
                other.ended.is_none() && !other.refused
            };
            wrong
                .extend(before.iter().find(open).map(|other| format!("{id} comes before {other} has ended")));
        }
        self.wrong.extend(wrong);
        let message = self.messages.get_mut(id).expect("as above");
        message.calls.push(Given::Out);
        message.calls.len() - 1
    }

    fn gets(&mut self, id: &str, call: usize, given: Given) {
        let message = self.messages.get_mut(id).expect("handed in by a client");
        if message.calls[call] == Given::Out {
            message.calls[call] = given;
        }
        if given == Given::Delivered {
            message.ended.get_or_insert_with(Instant::now);
        }
    }
}

struct Shared {
    record: Mutex<Record>,
    over: AtomicBool,
}

impl Shared {
    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("sound")
    }
}

/// The messages of a call that has come, with the number of each one's call.
type Out = Vec<(String, usize)>;

/// One connection to an endpoint, as it stands.
#[derive(Default)]
struct Line {
    gone: bool,
    out: Vec<Out>,
    /// The last answer, and whether it comes again.
    last: Option<(Vec<u8>, u16, bool)>,
}

struct Endpoint {
    case: Case,
    shared: Arc<Shared>,
    dice: Mutex<Dice>,
}

impl Endpoint {
    fn open(seed: u64, case: Case, shared: &Arc<Shared>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let endpoint = Arc::new(Endpoint { case, shared: Arc::clone(shared), dice: Mutex::new(Dice(seed)) });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                endpoint.shared.record().connections += 1;
                let endpoint = Arc::clone(&endpoint);
                thread::spawn(move || endpoint.serve(stream));
            }
        });
        address
    }

    fn roll(&self, sides: u64) -> u64 {
        self.dice.lock().expect("sound").roll(sides)
    }

    /// How long bytes take that start now.
    fn way(&self) -> Duration {
        Duration::from_millis(if self.case.link_ms > 0 { 1 + self.roll(self.case.link_ms) } else { 0 })
    }

    /// Reads what comes, at once: the end of a connection is seen as it happens unless the case has it seen late, and calls come after
    /// their way.
    fn serve(self: Arc<Endpoint>, mut stream: TcpStream) {
        let line = Arc::<Mutex<Line>>::default();
        let (arrives, arrivals) = unbounded::<(Instant, Instant, Vec<u8>)>();
        let (writes, writings) = unbounded::<(Instant, Vec<u8>)>();
        let outward = stream.try_clone().expect("a copy");
        thread::spawn(move || write(outward, &writings));
        let (endpoint, its) = (Arc::clone(&self), Arc::clone(&line));
        thread::spawn(move || endpoint.take_calls(&its, &arrivals, &writes));
        let mut bytes = [0; 8192];
        while let Ok(count @ 1..) = stream.read(&mut bytes) {
            let read = Instant::now();
            if arrives.send((read, read + self.way(), bytes[..count].to_vec())).is_err() {
                break;
            }
        }
        // One that was hung up here is no news.
        if self.case.close_late_ms > 0 && !line.lock().expect("sound").gone {
            thread::sleep(Duration::from_millis(self.roll(self.case.close_late_ms + 1)));
        }
        let mut line = line.lock().expect("sound");
        line.gone = true;
        let mut record = self.shared.record();
        line.out.drain(..).flatten().for_each(|(id, call)| record.gets(&id, call, Given::Unknown));
    }

    fn take_calls(
        &self,
        line: &Mutex<Line>,
        arrivals: &Receiver<(Instant, Instant, Vec<u8>)>,
        writes: &Sender<(Instant, Vec<u8>)>,
    ) {
        let (mut ring, limits) = (Ring::default(), limits());
        let (work, orders) = unbounded::<(Instant, Out)>();
        thread::scope(|scope| {
            scope.spawn(|| self.work(line, &orders, writes));
            let work = work;
            for (read, at, bytes) in arrivals {
                thread::sleep(at.saturating_duration_since(Instant::now()));
                ring.push(&bytes);
                while let Some(request) = take_request(&mut ring, &limits).expect("senders speak HTTP") {
                    let ids = ids_of(&request);
                    let mut line = line.lock().expect("sound");
                    let mut record = self.shared.record();
                    let out: Out = ids.into_iter().map(|id| (id.clone(), record.comes(&id, read))).collect();
                    if line.gone {
                        out.iter().for_each(|(id, call)| record.gets(id, *call, Given::Unknown));
                        continue;
                    }
                    if let Some(other) = line.out.first() {
                        record.wrong.push(format!("{out:?} comes on a connection on which {other:?} is out"));
                    }
                    drop(record);
                    line.out.push(out.clone());
                    self.strays_behind_call(&mut line, writes);
                    _ = work.send((Instant::now(), out));
                }
            }
        });
    }

    fn writes_stray(&self, after_ms: u64, bytes: Vec<u8>, writes: &Sender<(Instant, Vec<u8>)>) {
        self.shared.record().strays += 1;
        let writes = writes.clone();
        let way = self.way();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(after_ms));
            _ = writes.send((Instant::now() + way, bytes));
        });
    }

    fn strays_behind_call(&self, line: &mut Line, writes: &Sender<(Instant, Vec<u8>)>) {
        let Some((last, status, true)) = line.last.take() else { return };
        let text = || String::from_utf8(last.clone()).expect("text");
        match self.case.stray {
            Stray::BehindCall(ms) => self.writes_stray(ms, last, writes),
            Stray::DeliveredBehindCall(ms) if status == 200 => self.writes_stray(ms, last, writes),
            Stray::AlikeBehindCall(ms) => {
                let again = text().replacen("\r\n", "\r\nX-Server-Load: x0=0.5,x1=9\r\n", 1);
                self.writes_stray(ms, again.into_bytes(), writes);
            }
            Stray::RefusalBehindCall(ms) => self.writes_stray(ms, refused(), writes),
            Stray::OtherBehindCall(ms) => {
                self.writes_stray(ms, ok_json(&format!("x{}", self.roll(1 << 30))), writes)
            }
            Stray::Never | Stray::BehindAnswer(_) | Stray::DeliveredBehindCall(_) => {}
        }
    }

    /// Answers the calls of a connection one after the other.
    fn work(
        &self,
        line: &Mutex<Line>,
        orders: &Receiver<(Instant, Out)>,
        writes: &Sender<(Instant, Vec<u8>)>,
    ) {
        for (came, out) in orders {
            let takes = Duration::from_millis(40 + self.roll(80));
            thread::sleep((came + takes).saturating_duration_since(Instant::now()));
            let mut line = line.lock().expect("sound");
            if line.gone {
                continue;
            }
            if self.case.hang_up_one_in > 0 && self.roll(self.case.hang_up_one_in) == 0 {
                self.hang_up(&mut line, writes);
                continue;
            }
            if self.case.silent_one_in > 0 && self.roll(self.case.silent_one_in) == 0 {
                continue;
            }
            line.out.retain(|other| *other != out);
            let refuses = self.roll(12) == 0;
            let (answer, status, given) = match refuses {
                true => (refused(), 503, Given::NeverRan),
                false => (self.done(&out), 200, Given::Delivered),
            };
            let mut record = self.shared.record();
            out.iter().for_each(|(id, call)| record.gets(id, *call, given));
            drop(record);
            _ = writes.send((Instant::now() + self.way(), answer.clone()));
            let again = self.roll(self.case.one_in) == 0;
            if let (Stray::BehindAnswer(ms), true) = (self.case.stray, again) {
                self.writes_stray(ms, answer.clone(), writes);
            }
            line.last = Some((answer, status, again));
        }
    }

    /// Ends a connection without an answer to what is out on it. That it is over is noted first: whoever hears of it may call again.
    fn hang_up(&self, line: &mut Line, writes: &Sender<(Instant, Vec<u8>)>) {
        line.gone = true;
        let mut record = self.shared.record();
        line.out.drain(..).flatten().for_each(|(id, call)| record.gets(&id, call, Given::Unknown));
        drop(record);
        _ = writes.send((Instant::now(), HANG_UP));
    }

    fn done(&self, out: &Out) -> Vec<u8> {
        if self.case.messages_per_call > 1 {
            return ok_json(&out.iter().map(|(id, _)| format!("{id} done\r\n")).collect::<String>());
        }
        ok_json(&if self.case.alike { "done".to_owned() } else { out[0].0.clone() })
    }
}

/// Written to a connection, it ends it.
const HANG_UP: Vec<u8> = Vec::new();

fn refused() -> Vec<u8> {
    b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n".to_vec()
}

fn write(mut stream: TcpStream, writings: &Receiver<(Instant, Vec<u8>)>) {
    for (at, bytes) in writings {
        thread::sleep(at.saturating_duration_since(Instant::now()));
        if bytes == HANG_UP {
            _ = stream.shutdown(Shutdown::Both);
            return;
        }
        if stream.write_all(&bytes).is_err() {
            break;
        }
    }
    _ = stream.shutdown(Shutdown::Write);
}

/// Holds the list as it is, and hears notices; now and then one is heard by nobody, behind a second copy of the answer before.
fn hear(discovery: &Host, seed: u64, shared: &Shared) {
    let copies = !matches!(Case::of(seed).stray, Stray::Never);
    let (mut dice, mut list) = (Dice(seed), UnchangedList::default());
    let mut used: BTreeMap<usize, ()> = BTreeMap::new();
    let heard = "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n";
    while !shared.over.load(Ordering::Relaxed) {
        list.answer();
        let Some(visit) = discovery.next_within(Duration::from_millis(10)) else { continue };
        if visit.request.path != "/reports" {
            list.asked(visit);
            continue;
        }
        if used.insert(visit.connection, ()).is_some() && copies && dice.roll(3) == 0 {
            visit.writes_beside(heard);
            thread::sleep(Duration::from_millis(20));
            visit.hang_up();
            continue;
        }
        let mut record = shared.record();
        for (id, _) in ends_told(&visit) {
            let message = record.messages.get_mut(&id).expect("handed in by a client");
            message.ended.get_or_insert_with(Instant::now);
            message.reported.get_or_insert_with(Instant::now);
        }
        drop(record);
        visit.answer(heard);
    }
}

/// One client: a message after the other, of each class in turn, those in order of three keys of its own.
fn hand_in(address: SocketAddr, worker: usize, seed: u64, shared: &Shared) {
    let mut dice = Dice(seed * 131 + worker as u64);
    let mut client: Option<Client> = None;
    let by = Instant::now() + LOAD;
    for number in 0.. {
        if Instant::now() > by {
            return;
        }
        thread::sleep(Duration::from_millis(40 + dice.roll(80)));
        let (product, class) = [("marked", 'm'), ("queue", 'q'), ("once", 'o'), ("queue", 'q')][number % 4];
        let (id, dest) = (format!("{class}{worker}x{number}"), dice.roll(DESTS));
        let key = format!("k{worker}x{dest}");
        let message =
            Message { turn: None, due: None, refused: false, calls: Vec::new(), ended: None, reported: None };
        let mut record = shared.record();
        record.messages.insert(id.clone(), message);
        if class == 'q' {
            let turns = record.keys.entry(key.clone()).or_default();
            turns.push(id.clone());
            let turn = turns.len() - 1;
            record.messages.get_mut(&id).expect("put").turn = Some((key.clone(), turn));
        }
        drop(record);
        let raw = String::from_utf8(text(product, &id, dest, &key, b"hello")).expect("text");
        let raw = raw.replace("Ms: 20000", &format!("Ms: {VALID_MS}"));
        let sent = Instant::now();
        let status = client.get_or_insert_with(|| Client::at(address)).try_ask(raw.as_bytes());
        let whole = client.as_mut().is_some_and(|client| status.is_some() && client.rest().is_some());
        if !whole {
            client = None;
        }
        let mut record = shared.record();
        let message = record.messages.get_mut(&id).expect("put");
        match status {
            Some(202) => message.due = Some(sent + Duration::from_millis(VALID_MS) + LATE + SEEN_LATE),
            Some(503) => message.refused = true,
            other => record.wrong.push(format!("{id} is answered {other:?}")),
        }
    }
}

/// What went wrong with a seed, and what was drawn for it.
fn play(seed: u64) -> Result<String, String> {
    let case = Case::of(seed);
    let shared = Arc::new(Shared { record: Mutex::default(), over: AtomicBool::new(false) });
    let (discovery, folder) = (Arc::new(Host::reading_ahead()), Folder::new());
    let listed = |at: usize| {
        let address = Endpoint::open(seed * 1009 + at as u64, case, &shared);
        json!({"id": format!("e{at}"), "host_port": address.to_string(), "locality": "a", "flavor": "k",
            "cell": at as u64 % DESTS, "phase": "Ready", "size": 1.0, "up_since_ms": 0})
    };
    let members: Vec<Value> = (0..ENDPOINTS).map(listed).collect();
    let mut config = config(&members, discovery.address);
    config["settings"]["family-info"]["kind-batch"] = json!([case.messages_per_call]);
    let mut daemon = Daemon::start(&config, &folder);
    let folders: Vec<Folder> = (1..case.senders).map(|_| Folder::new()).collect();
    let others: Vec<Daemon> = folders.iter().map(|folder| Daemon::start(&config, folder)).collect();
    let senders: Vec<&Daemon> = [&daemon].into_iter().chain(&others).collect();
    let (platform, ours) = (Arc::clone(&discovery), Arc::clone(&shared));
    let hears = thread::spawn(move || hear(&platform, seed, &ours));
    let idle: Vec<Client> = (0..case.crowd).filter_map(|_| Client::try_at(daemon.address)).collect();
    let clients = CLIENTS * case.senders;
    let working = AtomicUsize::new(clients);
    thread::scope(|scope| {
        for worker in 0..clients {
            let address = senders[worker % senders.len()].address;
            let (shared, working) = (&shared, &working);
            scope.spawn(move || {
                hand_in(address, worker, seed, shared);
                working.fetch_sub(1, Ordering::SeqCst);
            });
        }
        let mut dice = Dice(seed);
        while working.load(Ordering::SeqCst) > 0 {
            thread::sleep(Duration::from_millis(100 + dice.roll(100)));
            if case.reloads && dice.roll(4) == 0 {
                senders.iter().for_each(|sender| sender.signal("-HUP"));
            }
            if case.held_up {
                daemon.signal("-STOP");
                thread::sleep(Duration::from_millis(dice.roll(150)));
                daemon.signal("-CONT");
            }
        }
    });
    drop(idle);
    let open = || {
        let record = shared.record();
        let open = record.messages.values().filter(|message| message.ended.is_none());
        open.filter_map(|message| message.due).max().is_some_and(|due| Instant::now() < due)
    };
    while open() {
        thread::sleep(Duration::from_millis(20));
    }
    let seen = ["unasked", "endpoint_connections", "endpoint_reuses"].map(|name| daemon.counter(name));
    shared.over.store(true, Ordering::Relaxed);
    hears.join().expect("does no wrong");
    daemon.kill();
    let record = shared.record();
    let mut wrong = record.wrong.clone();
    let mut taken = 0;
    for (id, message) in &record.messages {
        let Some(due) = message.due else { continue };
        taken += 1;
        match message.ended {
            None => wrong.push(format!("{id} was taken on and has no end: {:?}", message.calls)),
            Some(at) if at > due => wrong.push(format!("{id} ends {:?} late", at - due)),
            Some(_) => {}
        }
    }
    if taken < 150 {
        wrong.push("too little was taken on to tell".into());
    }
    let delivered =
        record.messages.values().filter(|message| message.calls.contains(&Given::Delivered)).count();
    let what = format!(
        "seed {seed}: {case:?}; {taken} taken on, {delivered} delivered, {} calls on {} connections, {} stray answers; \
         unasked, connections, reuses by the sender {seen:?}",
        record.calls, record.connections, record.strays
    );
    if wrong.is_empty() {
        Ok(what)
    } else {
        Err(format!("{what}: {} wrong: {:#?}", wrong.len(), &wrong[..wrong.len().min(6)]))
    }
}

#[test]
fn stray_answers_under_load_break_no_promise() {
    play_seeds(&seeds("INDIGOMAST_STRAYS", 12), play);
}
