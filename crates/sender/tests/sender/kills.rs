//! The sender killed at random points under load, again and again, on one folder.
//!
//! `INDIGOMAST_KILLS` sets how often; ten times where it is not set.

use crate::common::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DESTS: usize = 6;

/// Numbers from a seed, the same in every run.
pub struct Dice(pub u64);

impl Dice {
    pub fn roll(&mut self, sides: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % sides
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Given {
    Delivered,
    /// Ended without an answer, or with one that doesn't tell whether it ran.
    Unknown,
    NeverRan,
}

#[derive(Default)]
pub struct Seen {
    /// What each text was given at each visit, and in which life of the sender it came.
    visits: BTreeMap<String, Vec<(usize, Given)>>,
    /// Visits without an answer yet, by text and life.
    open: BTreeSet<(String, usize)>,
    /// By key and life the first and the last text that came.
    came: BTreeMap<String, BTreeMap<usize, (usize, usize)>>,
    /// The end that was told, and the life that told it first.
    pub reported: BTreeMap<String, (usize, String)>,
    pub wrong: Vec<String>,
}

fn number(id: &str) -> usize {
    id[1..].parse().expect("numbered")
}

impl Seen {
    /// What a killed life sent may be read when the next has long sent its own: it comes before all of that.
    pub fn comes(&mut self, id: &str, life: usize) {
        let visits = self.visits.entry(id.to_owned()).or_default();
        if visits.len() >= 6 {
            self.wrong.push(format!("{id} is submitted for the {}th time", visits.len() + 1));
        }
        if !self.open.insert((id.to_owned(), life)) {
            self.wrong.push(format!("{id} is submitted twice at once"));
        }
        if let Some((told_by, end)) = self.reported.get(id).filter(|(told_by, _)| *told_by <= life) {
            self.wrong.push(format!(
                "{id} is submitted by life {life} after its end was told, {end} by life {told_by}; before that {visits:?}"
            ));
        }
        let ran = visits.iter().any(|(_, given)| *given != Given::NeverRan);
        if id.starts_with('o') && ran {
            self.wrong.push(format!("{id} goes once only and comes again"));
        }
        if id.starts_with('q') {
            let key = key(id);
            let (own, lives) = (number(id), self.came.entry(key.clone()).or_default());
            if let Some((_, (_, last))) = lives.range(..=life).find(|(_, (_, last))| *last > own) {
                self.wrong.push(format!("{id} of {key} comes after {last}"));
            }
            if let Some((_, (first, _))) = lives.range(life + 1..).find(|(_, (first, _))| *first < own) {
                self.wrong.push(format!("{first} of {key} comes after {id} of a life before"));
            }
            let (first, last) = lives.entry(life).or_insert((own, own));
            (*first, *last) = (own.min(*first), own.max(*last));
        }
    }

    pub fn gets(&mut self, id: &str, life: usize, given: Given) {
        self.open.remove(&(id.to_owned(), life));
        self.visits.entry(id.to_owned()).or_default().push((life, given));
    }
}

/// Texts of a key go to one destination.
pub fn dest(number: usize) -> u64 {
    (number % 12 / 4 * 2 + number % 2) as u64
}

/// Three keys in order; all others have one of their own.
pub fn key(id: &str) -> String {
    if id.starts_with('q') { format!("k{}", number(id) % 12 / 4) } else { format!("own-{id}") }
}

fn kills() -> usize {
    std::env::var("INDIGOMAST_KILLS").ok().and_then(|kills| kills.parse().ok()).unwrap_or(10)
}

/// A gateway that mostly delivers, half of the time not at once, and now and then fails in each of its ways.
fn serve(endpoint: &Host, seed: u64, ours: &Arc<Mutex<Seen>>, ends: &AtomicBool) {
    let mut dice = Dice(seed);
    while !ends.load(Ordering::Relaxed) {
        let Some(visit) = endpoint.next_within(Duration::from_millis(50)) else { continue };
        let life = visit.turn;
        let id = visit.header("x-request-id").to_owned();
        ours.lock().expect("sound").comes(&id, life);
        let gets = |given| ours.lock().expect("sound").gets(&id, life, given);
        match dice.roll(100) {
            0 => {
                gets(Given::Unknown);
                visit.status(500);
            }
            1 => {
                gets(Given::Unknown);
                visit.hang_up();
            }
            2 => {
                gets(Given::NeverRan);
                visit.answer("HTTP/1.1 429 X\r\nRetry-After: 0\r\nContent-Length: 0\r\n\r\n");
            }
            3..=50 => {
                let (ours, id) = (Arc::clone(ours), id.clone());
                thread::spawn(move || {
                    thread::sleep(Duration::from_millis(30));
                    ours.lock().expect("sound").gets(&id, life, Given::Delivered);
                    visit.status(200);
                });
            }
            _ => {
                gets(Given::Delivered);
                visit.status(200);
            }
        }
    }
}

fn play(durability: &str, seed: u64) {
    let (discovery, folder) = (Arc::new(Host::open()), Folder::new());
    let endpoints: Vec<Arc<Host>> = (0..DESTS).map(|_| Arc::new(Host::open())).collect();
    let listed = |(at, host): (usize, &Arc<Host>)| member(&format!("e{at}"), host, at as u64, "Ready");
    let members: Vec<Value> = endpoints.iter().enumerate().map(listed).collect();
    let mut config = config(&members, discovery.address);
    config["journal"] = json!({"durability": durability, "interval_ms": 20});
    config["settings"]["ceilings"]["most-held"] = json!(2000);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let over = Arc::<AtomicBool>::default();

    let gateway = |(at, endpoint): (usize, &Arc<Host>)| {
        let (endpoint, ours, ends) = (Arc::clone(endpoint), Arc::clone(&seen), Arc::clone(&over));
        thread::spawn(move || serve(&endpoint, seed + at as u64, &ours, &ends))
    };
    let gateways: Vec<_> = endpoints.iter().enumerate().map(gateway).collect();
    let (reports, ours, ends) = (Arc::clone(&discovery), Arc::clone(&seen), Arc::clone(&over));
    let platform = thread::spawn(move || {
        let mut watches = Vec::new();
        while !ends.load(Ordering::Relaxed) {
            let Some(visit) = reports.next_within(Duration::from_millis(50)) else { continue };
            if visit.request.path != "/reports" {
                watches.push(visit);
                continue;
            }
            let mut seen = ours.lock().expect("sound");
            for (id, status) in ends_told(&visit) {
                let told = (visit.turn, status.clone());
                let (told_by, before) = seen.reported.entry(id.clone()).or_insert(told);
                *told_by = visit.turn.min(*told_by);
                if *before != status {
                    let before = before.clone();
                    seen.wrong.push(format!("{id} ends as {before:?} and as {status}"));
                }
            }
            drop(seen);
            visit.status(204);
        }
    });

    let mut dice = Dice(seed ^ 0xABCD);
    let (mut promised, mut next) = (BTreeSet::new(), 0);
    for _ in 0..kills() {
        let mut daemon = Daemon::start(&config, &folder);
        let by = Instant::now() + Duration::from_millis(60 + dice.roll(340));
        // Where the machine is busy little is taken on in that time; the kill then comes after so many texts.
        let (least, count) = (11 + dice.roll(10) as usize, AtomicUsize::new(0));
        let mut client = daemon.client();
        thread::scope(|scope| {
            let clients = scope.spawn(|| {
                let mut taken = Vec::new();
                for _ in 0..400 {
                    let product = ["free", "marked", "once", "queue"][next % 4];
                    let id = format!("{}{next}", &product[..1]);
                    next += 1;
                    let raw = text(product, &id, dest(number(&id)), &key(&id), &[7; 150]);
                    // The last of them are to be over soon after the last kill.
                    let brief = String::from_utf8(raw).expect("text").replace("Ms: 20000", "Ms: 5000");
                    match client.try_ask(brief.as_bytes()) {
                        Some(202) => {
                            taken.push(id);
                            count.fetch_add(1, Ordering::Relaxed);
                        }
                        Some(503) => {}
                        Some(status) => panic!("{id}: {status}"),
                        None => break,
                    }
                    _ = client.rest();
                    // Some 300 a second: what is taken on is to be at work when the kill comes, not waiting.
                    thread::sleep(Duration::from_millis(3));
                }
                taken
            });
            thread::sleep(by.saturating_duration_since(Instant::now()));
            while count.load(Ordering::Relaxed) < least && by.elapsed() < PATIENCE && !clients.is_finished() {
                thread::sleep(Duration::from_millis(1));
            }
            daemon.kill();
            promised.extend(clients.join().expect("clients do no wrong"));
        });
        // What the killed one sent is its own, however late it is read.
        endpoints.iter().chain([&discovery]).for_each(|host| host.take_turn());
    }
    let daemon = Daemon::start(&config, &folder);
    let by = Instant::now() + Duration::from_secs(40);
    let ended = |id: &String| {
        let seen = seen.lock().expect("sound");
        let delivered =
            |visits: &Vec<(usize, Given)>| visits.iter().any(|(_, given)| *given == Given::Delivered);
        seen.reported.contains_key(id) || seen.visits.get(id).is_some_and(delivered)
    };
    while !promised.iter().all(ended) && Instant::now() < by {
        thread::sleep(Duration::from_millis(20));
    }
    let lost: Vec<&String> = promised.iter().filter(|id| !ended(id)).collect();
    over.store(true, Ordering::Relaxed);
    gateways.into_iter().for_each(|gateway| gateway.join().expect("a gateway does no wrong"));
    platform.join().expect("the platform does no wrong");
    drop(daemon);
    let seen = seen.lock().expect("sound");
    assert!(seen.wrong.is_empty(), "{durability}: {:?}", &seen.wrong[..seen.wrong.len().min(10)]);
    assert!(lost.is_empty(), "{durability}: {} of {} are lost: {lost:?}", lost.len(), promised.len());
    let resent =
        seen.visits.values().filter(|visits| visits.windows(2).any(|two| two[0].0 != two[1].0)).count();
    assert!(
        promised.len() > 10 * kills() && resent > 0,
        "{} promised, {resent} went in two lives",
        promised.len()
    );
    println!("{durability}: {} kills, {} promised, {resent} went in two lives", kills(), promised.len());
}

#[test]
fn a_sender_killed_at_random_points_keeps_every_promise() {
    thread::scope(|scope| {
        for (durability, seed) in [("process", 1), ("batch", 2), ("interval", 3)] {
            scope.spawn(move || play(durability, seed));
        }
    });
}

/// What is read late is no fault; the same from a life that could have known is one.
#[test]
fn what_comes_late_counts_for_the_life_that_sent_it() {
    // Texts as they are read, each with the life that sent it; one whose end is told then, and by which life.
    type Case =
        (&'static [(&'static str, usize)], Option<(&'static str, usize)>, (&'static str, usize), bool);
    let cases: [Case; 13] = [
        (&[("f1", 1)], None, ("f1", 0), true),
        (&[("f1", 1)], None, ("f1", 2), true),
        (&[("f1", 1)], None, ("f1", 1), false),
        (&[("f1", 1), ("f1", 0)], None, ("f1", 1), false),
        (&[], Some(("o1", 1)), ("o1", 0), true),
        (&[], Some(("o1", 1)), ("o1", 1), false),
        (&[], Some(("o1", 1)), ("o1", 2), false),
        (&[("q15", 1)], None, ("q3", 0), true),
        (&[("q15", 1)], None, ("q3", 1), false),
        (&[("q15", 1)], None, ("q3", 2), false),
        (&[("q15", 0), ("q27", 1)], None, ("q3", 1), false),
        (&[("q3", 1)], None, ("q15", 0), false),
        (&[("q3", 1)], None, ("q7", 0), true),
    ];
    for (before, told, (id, life), sound) in cases {
        let mut seen = Seen::default();
        before.iter().for_each(|(id, life)| seen.comes(id, *life));
        if let Some((id, life)) = told {
            seen.reported.insert(id.to_owned(), (life, "errored".to_owned()));
        }
        assert!(seen.wrong.is_empty(), "{before:?}: {:?}", seen.wrong);
        seen.comes(id, life);
        assert_eq!(seen.wrong.is_empty(), sound, "{before:?}, {told:?}, {id} of {life}: {:?}", seen.wrong);
    }
}
