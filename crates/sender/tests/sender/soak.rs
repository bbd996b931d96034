//! Restarts under load, drawn from a seed: signals in series, clients that go on using open connections until the kill,
//! endpoints that hang meanwhile or repeat earlier answers, crowds, failing calls, a clock that is stepped, a process that is
//! held up.
//!
//! `INDIGOMAST_SOAK=FROM-TO` plays these seeds; eight where it is not set. Each says what was drawn for it.

use crate::common::*;
use crate::faults::errno::{EINTR, ENFILE, ENOBUFS, ENOSPC};
use crate::faults::{CONNECT, Call, Plan};
use crate::kills::{Dice, Given, Seen, dest, key};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

const DESTS: usize = 6;
const WORKERS: usize = 3;
/// How long a text may be delivered, in milliseconds, as its client says.
const VALID_MS: u64 = 5_000;
/// What a final answer may be late by, and what a busy machine may add to what is seen here.
const LATE: Duration = Duration::from_millis(500);
const SEEN_LATE: Duration = Duration::from_millis(300);
/// For how long a receiver drops repeats.
const WINDOW: Duration = Duration::from_millis(1_000);
const WINDOW_SEEN: Duration = Duration::from_millis(1_100);
/// A client's patience for its answer.
const PATIENT: Duration = Duration::from_millis(400);
/// For so long after SIGTERM new connections go on coming.
const NEW_AFTER_STOP: Duration = Duration::from_millis(400);
/// From SIGTERM to SIGKILL, from that to the next start, and from readiness on until notices may be overdue again.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
const STARTS_AFTER: Duration = Duration::from_millis(600);
const EXCUSED_AFTER_START: Duration = Duration::from_millis(1_500);

/// What is drawn for a seed beside its restarts.
#[derive(Clone, Copy, Debug)]
struct Trouble {
    crowd: bool,
    steps: bool,
    failing: bool,
    held_up: bool,
    /// Calls of several messages share connections, and one in three on a used one meets a copy of the answer before.
    copies: bool,
}

impl Trouble {
    fn of(seed: u64) -> Trouble {
        let every = |n: u64, at: u64| seed % n == at;
        Trouble {
            crowd: every(4, 3),
            steps: every(3, 0),
            failing: every(3, 1),
            held_up: every(5, 2),
            copies: every(2, 1),
        }
    }
}

/// What clients, endpoints and platform have seen.
#[derive(Default)]
struct Record {
    seen: Seen,
    /// When each text first came on a call that may have run.
    first_doubt: BTreeMap<String, Instant>,
    ended: BTreeMap<String, Instant>,
    /// When a text that a client heard was taken on has to have ended.
    due: BTreeMap<String, Instant>,
    wrong: Vec<String>,
}

struct Shared {
    record: Mutex<Record>,
    /// Endpoints with a number below this hang.
    hanging: AtomicUsize,
    over: AtomicBool,
    /// No connection that ends now does so unasked: the process is being killed, or was.
    killed: AtomicBool,
    /// When the process was asked to stop.
    stopping: Mutex<Option<Instant>>,
    requests: AtomicUsize,
    given_up: AtomicUsize,
}

impl Shared {
    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().expect("sound")
    }

    /// Whether clients still make new connections.
    fn takes_new(&self) -> bool {
        self.stopping.lock().expect("sound").is_none_or(|since| since.elapsed() < NEW_AFTER_STOP)
    }

    fn comes(&self, visit: &Visit, id: &str) {
        let mut record = self.record();
        // One that came before the end was told may be looked at after it.
        let told_later = record.ended.get(id).is_some_and(|told| *told >= visit.came);
        let told = if told_later { record.seen.reported.remove_entry(id) } else { None };
        record.seen.comes(id, visit.turn);
        record.seen.reported.extend(told);
        let doubt = record.first_doubt.get(id).copied();
        if let Some(first) = doubt.filter(|_| id.starts_with('m') || id.starts_with('q')) {
            let age = visit.came.saturating_duration_since(first);
            if age > WINDOW_SEEN {
                record.wrong.push(format!("{id} comes again {age:?} after its first call"));
            }
        }
    }

    /// What a call was given; one that never ran leaves no doubt.
    fn gets(&self, ids: &[String], came: Instant, turn: usize, given: Given) {
        let mut record = self.record();
        for id in ids {
            record.seen.gets(id, turn, given);
            if given != Given::NeverRan {
                record.first_doubt.entry(id.clone()).or_insert(came);
            }
            if given == Given::Delivered {
                record.ended.entry(id.clone()).or_insert_with(Instant::now);
            }
        }
    }

    /// It may run from now on, whatever becomes of it.
    fn runs(&self, ids: &[String], came: Instant) {
        let mut record = self.record();
        ids.iter().for_each(|id| _ = record.first_doubt.entry(id.clone()).or_insert(came));
    }
}

/// The last answer on each connection of an endpoint, which may come again behind the next call there.
struct Copies {
    dice: Dice,
    last: BTreeMap<usize, Vec<u8>>,
}

impl Copies {
    fn behind_call(&mut self, visit: &Visit) {
        let last = self.last.remove(&visit.connection);
        if let Some(copy) = last.filter(|_| self.dice.roll(3) == 0) {
            visit.writes_beside(copy);
        }
    }

    fn answers(&mut self, visit: Visit, answer: Vec<u8>) {
        self.last.insert(visit.connection, answer.clone());
        visit.answer(answer);
    }
}

/// One endpoint: mostly delivers, now and then fails in each of its ways, and hangs while it is told to.
fn serve(host: &Arc<Host>, number: usize, seed: u64, shared: &Arc<Shared>) {
    let mut dice = Dice(seed ^ ((number as u64 + 1) * 77_777));
    let mut copies = Copies { dice: Dice(seed ^ number as u64), last: BTreeMap::new() };
    let mut hung: Vec<(Vec<String>, Visit)> = Vec::new();
    while !shared.over.load(Ordering::Relaxed) {
        let visit = host.next_within(Duration::from_millis(20));
        hung.retain(|(ids, visit)| {
            let gone = visit.gone.load(Ordering::SeqCst);
            if gone {
                shared.gets(ids, visit.came, visit.turn, Given::Unknown);
            }
            !gone
        });
        let Some(visit) = visit else { continue };
        let ids = visit.ids();
        // The end of the call before is seen a moment after it.
        while let Some(at) =
            hung.iter().position(|(others, _)| others.iter().any(|other| ids.contains(other)))
        {
            if visit.came.elapsed() > Duration::from_millis(100) {
                break;
            }
            if hung[at].1.gone.load(Ordering::SeqCst) {
                let (others, before) = hung.remove(at);
                shared.gets(&others, before.came, before.turn, Given::Unknown);
            }
            thread::sleep(Duration::from_millis(5));
        }
        ids.iter().for_each(|id| shared.comes(&visit, id));
        if Trouble::of(seed).copies {
            copies.behind_call(&visit);
        }
        let (came, turn) = (visit.came, visit.turn);
        if number < shared.hanging.load(Ordering::SeqCst) {
            shared.runs(&ids, came);
            hung.push((ids, visit));
            continue;
        }
        match dice.roll(100) {
            0 => {
                shared.gets(&ids, came, turn, Given::Unknown);
                visit.status(500);
            }
            1 => {
                shared.gets(&ids, came, turn, Given::Unknown);
                visit.hang_up();
            }
            2 => {
                shared.gets(&ids, came, turn, Given::NeverRan);
                visit.answer("HTTP/1.1 429 X\r\nRetry-After: 0.05\r\nContent-Length: 0\r\n\r\n");
            }
            3..=50 => {
                let shared = Arc::clone(shared);
                shared.runs(&ids, came);
                let answer = visit.all_done();
                copies.last.insert(visit.connection, answer.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(30));
                    shared.gets(&ids, came, turn, Given::Delivered);
                    visit.answer(answer);
                });
            }
            _ => {
                shared.gets(&ids, came, turn, Given::Delivered);
                let answer = visit.all_done();
                copies.answers(visit, answer);
            }
        }
    }
}

fn hear(discovery: &Arc<Host>, shared: &Arc<Shared>) {
    let mut watches = Vec::new();
    while !shared.over.load(Ordering::Relaxed) {
        let Some(visit) = discovery.next_within(Duration::from_millis(20)) else { continue };
        if visit.request.path != "/reports" {
            watches.push(visit);
            continue;
        }
        for (id, status) in ends_told(&visit) {
            let mut record = shared.record();
            record.ended.entry(id.clone()).or_insert_with(Instant::now);
            record.seen.reported.entry(id).or_insert((visit.turn, status));
        }
        visit.status(204);
    }
}

/// What became of one try of a request.
enum Try {
    Answer(u16),
    /// Its client waited for all of its patience.
    Nothing,
    Ended,
}

fn try_once(client: &mut Client, raw: &[u8]) -> Try {
    _ = client.stream.set_read_timeout(Some(PATIENT));
    let begun = Instant::now();
    match client.try_ask(raw) {
        Some(status) => match client.rest() {
            Some(()) => Try::Answer(status),
            None => Try::Ended,
        },
        None if begun.elapsed() >= PATIENT - Duration::from_millis(20) => Try::Nothing,
        None => Try::Ended,
    }
}

/// One client: a text after the other, mostly on the connection that it has.
fn hand_in(daemon: &Daemon, worker: usize, seed: u64, next: &mut usize, ends: &AtomicBool, shared: &Shared) {
    let mut dice = Dice(seed * 31 + worker as u64);
    let mut client: Option<Client> = None;
    let mut used = false;
    while !ends.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(10 + dice.roll(20)));
        if dice.roll(8) == 0 && shared.takes_new() {
            (client, used) = (None, false);
        }
        let number = *next / 4 * 12 + worker * 4 + *next % 4;
        *next += 1;
        let id = format!("{}{number}", ["f", "m", "o", "q"][number % 4]);
        let product = ["free", "marked", "once", "queue"][number % 4];
        let raw = text(product, &id, dest(number), &key(&id), &[7; 150]);
        let raw = String::from_utf8(raw).expect("text");
        let raw = raw.replace("Ms: 20000", &format!("Ms: {VALID_MS}"));
        // A request that meets the end of a connection at rest goes once more, on a new one.
        for _ in 0..2 {
            if client.is_none() && shared.takes_new() {
                (client, used) = (Client::try_at(daemon.address), false);
            }
            let Some(open) = client.as_mut() else { break };
            let sent = Instant::now();
            shared.requests.fetch_add(1, Ordering::Relaxed);
            match try_once(open, raw.as_bytes()) {
                Try::Answer(202) => {
                    used = true;
                    let due = sent + Duration::from_millis(VALID_MS) + LATE + SEEN_LATE;
                    shared.record().due.entry(id.clone()).or_insert(due);
                    break;
                }
                // A sender whose disk fails may make no promise.
                Try::Answer(503 | 500) => {
                    used = true;
                    if open.is_gone() {
                        client = None;
                    }
                    break;
                }
                Try::Answer(status) => {
                    shared.record().wrong.push(format!("{id} is answered {status}"));
                    client = None;
                    break;
                }
                Try::Nothing => {
                    shared.given_up.fetch_add(1, Ordering::Relaxed);
                    client = None;
                    break;
                }
                Try::Ended => {
                    let stopping = shared.stopping.lock().expect("sound").map(|since| since.elapsed());
                    let killed = shared.killed.load(Ordering::SeqCst);
                    client = None;
                    if !used && !killed {
                        let what = format!("{id} is ended with no answer on a new connection");
                        shared.record().wrong.push(format!("{what} (stopping for {stopping:?})"));
                        break;
                    }
                    if killed {
                        break;
                    }
                }
            }
        }
    }
}

/// Connections that say nothing, for as long as they are kept.
fn crowd(daemon: &Daemon, count: usize) -> Vec<Client> {
    (0..count).filter_map(|_| Client::try_at(daemon.address)).collect()
}

fn sets_faults(plan: &Plan, on: bool) {
    let rules: [(Call, &[i32]); 5] = [
        (Call::Accept, &[ENFILE, ENOBUFS]),
        (Call::Connect, &CONNECT),
        (Call::Wait, &[EINTR]),
        (Call::Transfer, &[EINTR]),
        (Call::Short, &[]),
    ];
    for (call, numbers) in rules {
        if on { plan.fails(call, 20, numbers) } else { plan.heals(call) }
    }
}

/// Ends one life: by SIGTERM among other signals with a kill at the earliest moment, or by a kill alone.
fn ends_life(
    daemon: &Daemon,
    dice: &mut Dice,
    trouble: Trouble,
    plan: &Plan,
    shared: &Shared,
) -> &'static str {
    shared.hanging.store(DESTS / 3, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(dice.roll(300)));
    let gently = dice.roll(3) > 0;
    let stopped = Instant::now();
    if gently {
        for _ in 0..dice.roll(3) {
            daemon.signal("-HUP");
        }
        *shared.stopping.lock().expect("sound") = Some(Instant::now());
        daemon.signal("-TERM");
        for signal in ["-TERM", "-HUP", "-TERM"].iter().take(dice.roll(4) as usize) {
            thread::sleep(Duration::from_millis(dice.roll(400)));
            if daemon.has_ended() {
                break;
            }
            daemon.signal(signal);
        }
        if trouble.failing && dice.roll(2) == 0 {
            plan.fails(Call::FileWrite, 1000, &[ENOSPC]);
        }
        while stopped.elapsed() < KILL_AFTER && !daemon.has_ended() {
            thread::sleep(Duration::from_millis(5));
        }
    }
    shared.killed.store(true, Ordering::SeqCst);
    daemon.signal("-KILL");
    plan.heals(Call::FileWrite);
    if gently { "SIGTERM" } else { "SIGKILL" }
}

/// What went wrong with a seed, and what was drawn for it.
fn play(seed: u64) -> Result<String, String> {
    let trouble = Trouble::of(seed);
    let (discovery, folder) = (Arc::new(Host::open()), Folder::new());
    let endpoints: Vec<Arc<Host>> = (0..DESTS).map(|_| Arc::new(Host::reading_ahead())).collect();
    let listed = |(at, host): (usize, &Arc<Host>)| member(&format!("e{at}"), host, at as u64, "Ready");
    let members: Vec<Value> = endpoints.iter().enumerate().map(listed).collect();
    let mut config = config(&members, discovery.address);
    config["settings"]["ceilings"]["most-held"] = json!(400);
    config["limits"]["sockets"] = json!(256);
    config["settings"]["family-info"]["kind-batch"] = json!([if trouble.copies { 5 } else { 1 }]);
    for category in config["settings"]["categories"].as_array_mut().expect("a list") {
        category["window-ms"] = json!(WINDOW.as_millis() as f64);
    }
    let plan = Plan::new(&folder);
    let shared = Arc::new(Shared {
        record: Mutex::default(),
        hanging: AtomicUsize::new(0),
        over: AtomicBool::new(false),
        killed: AtomicBool::new(false),
        stopping: Mutex::new(None),
        requests: AtomicUsize::new(0),
        given_up: AtomicUsize::new(0),
    });
    let mut threads = Vec::new();
    for (at, host) in endpoints.iter().enumerate() {
        let (host, shared) = (Arc::clone(host), Arc::clone(&shared));
        threads.push(thread::spawn(move || serve(&host, at, seed, &shared)));
    }
    let (platform, ours) = (Arc::clone(&discovery), Arc::clone(&shared));
    threads.push(thread::spawn(move || hear(&platform, &ours)));

    let mut dice = Dice(seed ^ 0x50AC);
    let mut next = [0; WORKERS];
    let (mut lives, mut clock, mut excused) = (Vec::new(), 0, Vec::new());
    let begun = Instant::now();
    for life in 0..4 {
        let mut daemon = Daemon::start_by(plan.binds(command(&config, &folder)));
        shared.killed.store(false, Ordering::SeqCst);
        *shared.stopping.lock().expect("sound") = None;
        if let Some((_, until)) = excused.last_mut() {
            *until = Instant::now() + EXCUSED_AFTER_START;
        }
        sets_faults(&plan, trouble.failing);
        thread::sleep(Duration::from_millis(100 * dice.roll(3)));
        shared.hanging.store(0, Ordering::SeqCst);
        let ends = AtomicBool::new(false);
        thread::scope(|scope| {
            for (worker, next) in next.iter_mut().enumerate() {
                let (daemon, ends, shared) = (&daemon, &ends, &shared);
                scope.spawn(move || hand_in(daemon, worker, seed + life, next, ends, shared));
            }
            let idle = if trouble.crowd { crowd(&daemon, 120) } else { Vec::new() };
            // The second life may be over before it has done much.
            let length = if life == 1 { 300 } else { 1_500 } + dice.roll(700);
            let by = Instant::now() + Duration::from_millis(length);
            while Instant::now() < by {
                thread::sleep(Duration::from_millis(50 + dice.roll(150)));
                if trouble.held_up {
                    daemon.signal("-STOP");
                    thread::sleep(Duration::from_millis(dice.roll(150)));
                    daemon.signal("-CONT");
                }
            }
            if life < 3 {
                excused.push((Instant::now(), Instant::now() + PATIENCE));
                // The clients go on while this one ends: none of them holds it.
                let how = ends_life(&daemon, &mut dice, trouble, &plan, &shared);
                lives.push(how);
                ends.store(true, Ordering::SeqCst);
            } else {
                ends.store(true, Ordering::SeqCst);
            }
            drop(idle);
        });
        if life < 3 {
            daemon.kill();
            endpoints.iter().chain([&discovery]).for_each(|host| host.take_turn());
            if trouble.steps {
                clock += [-3_600_000, -2_000, -1_000, 1_000, 30_000, 3_600_000][dice.roll(6) as usize];
                plan.steps_clock(clock);
            }
            thread::sleep(STARTS_AFTER);
            continue;
        }
        let by = Instant::now() + Duration::from_millis(VALID_MS) + Duration::from_secs(3);
        let open = || {
            let record = shared.record();
            record.due.keys().filter(|id| !record.ended.contains_key(*id)).count()
        };
        while open() > 0 && Instant::now() < by {
            thread::sleep(Duration::from_millis(20));
        }
    }
    shared.over.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("does no wrong"));
    let record = shared.record();
    let mut wrong = [&record.wrong[..], &record.seen.wrong[..]].concat();
    for (id, due) in &record.due {
        // Nothing is overdue from the end of a life until a moment after the next is ready.
        let due = excused
            .iter()
            .filter(|(from, until)| due >= from && due < until)
            .fold(*due, |due, (_, until)| due.max(*until + LATE + SEEN_LATE));
        match record.ended.get(id) {
            None => wrong.push(format!("{id} was taken on and has no end")),
            Some(at) if *at > due => wrong.push(format!("{id} ends {:?} late", *at - due)),
            Some(_) => {}
        }
    }
    let (requests, given_up) =
        (shared.requests.load(Ordering::Relaxed), shared.given_up.load(Ordering::Relaxed));
    let taken = record.due.len();
    let what = format!(
        "seed {seed}: {lives:?}, {trouble:?}, clock {clock} ms; {requests} requests, {taken} taken on, \
         {given_up} given up by their client, {:.1} s",
        begun.elapsed().as_secs_f64()
    );
    if taken < 50 {
        wrong.push("too little was taken on to tell".into());
    }
    if wrong.is_empty() { Ok(what) } else { Err(format!("{what}: {wrong:#?}")) }
}

#[test]
fn restarts_under_load_keep_every_promise() {
    play_seeds(&seeds("INDIGOMAST_SOAK", 8), play);
}
