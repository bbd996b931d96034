//! Endpoints that are replaced all the time, a discovery that treats its callers badly in spells drawn from a seed, and a sender that is
//! killed meanwhile and started with the list of its first start: no call goes to an endpoint of which the sender counts as told.
//!
//! `INDIGOMAST_LIST_SOAK=FROM-TO` plays these seeds; four where it is not set.

use crate::common::*;
use crate::kills::Dice;
use crate::list_age::{Endpoint, GRACE, SEEN_LATE, TOLD};
use crate::registry::{Asked, Drained, Manner, Registry};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const DESTS: usize = 5;
const ENDPOINTS: usize = 10;
const CLIENTS: usize = 3;
const LENGTH: Duration = Duration::from_secs(24);
/// From one text of a client to its next.
const BEAT: Duration = Duration::from_millis(45);
/// How long a sender that polls is held to its list, from its last call.
const POLL_TERM: Duration = Duration::from_secs(10);
/// From SIGTERM to SIGKILL, and from that to the next start.
const KILL_AFTER: Duration = Duration::from_millis(3_700);
const STARTS_AFTER: Duration = Duration::from_millis(600);
/// More senders than this take turns and have no watch.
const MOST_WATCHES: usize = 10;
/// Of the texts taken on at least so many are delivered.
const LEAST_DELIVERED: f64 = 0.5;

fn manner(dice: &mut Dice) -> Manner {
    match dice.roll(6) {
        0 => Manner::Refuses,
        1 => Manner::RefusesLate(Duration::from_millis(500 + dice.roll(1_500))),
        2 => Manner::Silent,
        3 => Manner::CutOff(dice.roll(100) as f64 / 100.0),
        4 => Manner::Resets,
        _ => Manner::AnswersLate(Duration::from_millis(500 + dice.roll(2_000))),
    }
}

/// Badly treated are 85 of 100 calls in a bad spell; spells of either kind follow one another.
fn manners(seed: u64) -> crate::registry::Manners {
    let mut dice = Dice(seed ^ 0xBAD);
    let (mut until, mut bad, mut kind) = (Instant::now() + Duration::from_secs(2), false, Manner::Refuses);
    let mixed = seed.is_multiple_of(2);
    Box::new(move |_| {
        if Instant::now() >= until {
            bad = !bad;
            kind = manner(&mut dice);
            until = Instant::now() + Duration::from_millis(300 + dice.roll(if bad { 14_700 } else { 4_000 }));
        }
        match bad && dice.roll(100) < 85 {
            true if mixed => manner(&mut dice),
            true => kind,
            false => Manner::Answers,
        }
    })
}

/// Hands in texts on one connection for as long as it stays open, then on the next.
fn hand_in(
    address: &std::sync::Mutex<Option<std::net::SocketAddr>>,
    number: usize,
    over: &AtomicBool,
    taken: &AtomicUsize,
) {
    let (mut client, mut next) = (None, 0);
    while !over.load(Ordering::Relaxed) {
        thread::sleep(BEAT);
        let to = *address.lock().expect("sound");
        if client.is_none() {
            client = to.and_then(Client::try_at);
        }
        let Some(open) = &mut client else { continue };
        next += 1;
        let raw = text("free", &format!("c{number}-{next}"), (next % DESTS) as u64, "key", b"hello");
        let status = open.try_ask(&raw);
        taken.fetch_add(usize::from(status == Some(202)), Ordering::Relaxed);
        if status.is_none() || open.rest().is_none() {
            client = None;
        }
    }
}

/// Whether a sender with this history may still go by what it knew, at a moment.
fn is_held(asked: &[Asked], at: Instant) -> bool {
    let ended = asked.iter().filter(|one| one.over.is_some_and(|over| over <= at));
    ended.max_by_key(|one| one.over).is_some_and(|last| last.answered && at <= last.at + POLL_TERM + GRACE)
}

/// What is wrong with the calls of one endpoint.
fn judge(
    name: &str,
    endpoint: &Endpoint,
    drained: &Drained,
    senders: usize,
    registry: &Registry,
) -> Vec<String> {
    let asked = registry.asked();
    let mut wrong = Vec::new();
    for at in endpoint.calls.lock().expect("sound").iter() {
        let late = |what: &str, since: Instant| {
            let limit = since + GRACE + SEEN_LATE;
            (*at > limit).then(|| format!("{name}: {:?} after {what}", *at - since))
        };
        wrong.extend(drained.told_whole.and_then(|told| late("it was told", told)));
        wrong.extend(drained.told_in_part.and_then(|told| late("it was told in part", told)));
        let reached = drained.since.max(registry.back().filter(|back| back <= at).unwrap_or(drained.since));
        let held = senders > MOST_WATCHES && is_held(&asked, *at);
        wrong.extend(late("the change", reached + TOLD).filter(|_| !held));
    }
    wrong
}

fn play(seed: u64) -> Result<String, String> {
    let senders = [1, 5, 30, 44][(seed % 4) as usize];
    let mut dice = Dice(seed ^ 0x115);
    let mut endpoints: BTreeMap<String, Endpoint> = BTreeMap::new();
    let mut serving: Vec<(String, u64)> = Vec::new();
    for at in 0..ENDPOINTS {
        endpoints.insert(format!("e{at}"), Endpoint::open());
        serving.push((format!("e{at}"), (at % DESTS) as u64));
    }
    let listed = |endpoints: &BTreeMap<String, Endpoint>, name: &str, dest: u64, phase: &str| -> Value {
        member(name, &endpoints[name].host, dest, phase)
    };
    let members: Vec<Value> =
        serving.iter().map(|(name, dest)| listed(&endpoints, name, *dest, "Ready")).collect();
    let registry = Registry::open(&members, manners(seed));
    let mut config = config(&members, registry.address);
    config["settings"]["group-size"] = json!(senders);
    config["settings"]["ordinal"] = json!(dice.roll(senders as u64));
    config["settings"]["ceilings"]["most-held"] = json!(1000);
    let folder = Folder::new();
    let (over, taken) = (AtomicBool::new(false), AtomicUsize::new(0));
    let address = std::sync::Mutex::new(None);
    let (kills, crowd) = (!seed.is_multiple_of(3), seed % 5 == 4);
    let mut lives = 0;
    thread::scope(|scope| {
        for number in 0..CLIENTS {
            let (address, over, taken) = (&address, &over, &taken);
            scope.spawn(move || hand_in(address, number, over, taken));
        }
        let _ends = crate::list_age::Ends(&over);
        let start = |lives: &mut u64| {
            let daemon = Daemon::start(&config, &folder);
            *address.lock().expect("sound") = Some(daemon.address);
            *lives += 1;
            daemon
        };
        let mut daemon = start(&mut lives);
        let idle: Vec<_> =
            (0..if crowd { 100 } else { 0 }).filter_map(|_| Client::try_at(daemon.address)).collect();
        let begun = Instant::now();
        let mut dies = begun + Duration::from_millis(5_000 + dice.roll(4_000));
        let mut killed: Option<Instant> = None;
        let mut drains: Vec<(String, u64, Instant)> = Vec::new();
        let mut replaces = begun;
        while begun.elapsed() < LENGTH {
            thread::sleep(Duration::from_millis(20));
            let now = Instant::now();
            if now >= replaces {
                replaces = now + Duration::from_millis(700 + dice.roll(900));
                let (old, dest) = serving.remove(dice.roll(serving.len() as u64) as usize);
                let name = format!("e{}", endpoints.len());
                endpoints.insert(name.clone(), Endpoint::open());
                registry.change(&[
                    listed(&endpoints, &name, dest, "Ready"),
                    listed(&endpoints, &old, dest, "Terminating"),
                ]);
                serving.push((name, dest));
                drains.push((old, dest, now + Duration::from_millis(2_000 + dice.roll(9_000))));
            }
            for (old, dest, _) in drains.extract_if(.., |(.., gone)| now >= *gone) {
                registry.change(&[listed(&endpoints, &old, dest, "Gone")]);
            }
            match killed {
                None if kills && now >= dies => {
                    if dice.roll(2) == 0 {
                        daemon.signal("-TERM");
                        daemon.signal("-TERM");
                        killed = Some(now + KILL_AFTER);
                    } else {
                        killed = Some(now);
                    }
                }
                Some(at) if now >= at => {
                    daemon.kill();
                    *address.lock().expect("sound") = None;
                    thread::sleep(STARTS_AFTER);
                    daemon = start(&mut lives);
                    // The second life may be over before it has done much.
                    let length = if lives == 2 { 400 } else { 4_000 };
                    dies = Instant::now() + Duration::from_millis(length + dice.roll(4_000));
                    killed = None;
                }
                _ => {}
            }
        }
        drop(idle);
    });
    let drained = registry.drained();
    let mut wrong: Vec<String> = Vec::new();
    for (name, drained) in &drained {
        wrong.extend(judge(name, &endpoints[name], drained, senders, &registry));
    }
    let delivered: usize =
        endpoints.values().map(|endpoint| endpoint.calls.lock().expect("sound").len()).sum();
    let (taken, asked) = (taken.load(Ordering::Relaxed), registry.asked().len());
    let share = delivered as f64 / taken.max(1) as f64;
    let what = format!(
        "seed {seed}: {senders} senders, {lives} lives, crowd {crowd}; {} drains, {taken} texts, {delivered} calls, asked {asked} times",
        drained.len()
    );
    if taken < 100 {
        wrong.push("too little was taken on to tell".into());
    } else if share < LEAST_DELIVERED {
        wrong.push(format!("only {share:.2} went out"));
    }
    if wrong.is_empty() { Ok(what) } else { Err(format!("{what}: {wrong:#?}")) }
}

/// Guards against calls by a list that is old, was told in part, or is older than what an earlier life knew.
#[test]
fn no_call_goes_to_an_endpoint_that_the_sender_was_told_of() {
    play_seeds(&seeds("INDIGOMAST_LIST_SOAK", 4), play);
}
