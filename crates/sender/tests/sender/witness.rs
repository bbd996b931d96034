//! A platform and endpoints that answer by themselves and remember what came.

use crate::common::*;
use serde_json::Value;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const BEAT: Duration = Duration::from_millis(20);

/// What endpoints and platform have seen so far.
#[derive(Default)]
pub struct Seen {
    /// When each text came, in order.
    pub calls: BTreeMap<String, Vec<Instant>>,
    pub delivered: BTreeMap<String, Instant>,
    /// The status of the first notice on each text.
    pub notices: BTreeMap<String, (Instant, String)>,
}

impl Seen {
    pub fn has_ended(&self, id: &str) -> bool {
        self.delivered.contains_key(id) || self.notices.contains_key(id)
    }
}

pub struct Witness {
    pub config: Value,
    seen: Arc<Mutex<Seen>>,
    silent: Arc<AtomicBool>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Witness {
    /// With so many destinations, each with one endpoint, which take calls and answer none while they are silent.
    pub fn new(dests: usize, silent: bool) -> Witness {
        let discovery = Arc::new(Host::open());
        let endpoints: Vec<Arc<Host>> = (0..dests).map(|_| Arc::new(Host::open())).collect();
        let listed = |(at, host): (usize, &Arc<Host>)| member(&format!("e{at}"), host, at as u64, "Ready");
        let members: Vec<Value> = endpoints.iter().enumerate().map(listed).collect();
        let config = config(&members, discovery.address);
        let (seen, over) = (Arc::<Mutex<Seen>>::default(), Arc::<AtomicBool>::default());
        let silent = Arc::new(AtomicBool::new(silent));
        let mut threads = vec![hear(&discovery, &seen, &over)];
        threads.extend(endpoints.iter().map(|endpoint| answer(endpoint, &seen, &silent, &over)));
        Witness { config, seen, silent, over, threads }
    }

    pub fn seen(&self) -> MutexGuard<'_, Seen> {
        self.seen.lock().expect("sound")
    }

    pub fn falls_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Waits until each of these has ended, or that long; those that have not.
    pub fn without_end(&self, ids: &[String], within: Duration) -> Vec<String> {
        let by = Instant::now() + within;
        loop {
            let open: Vec<String> = {
                let seen = self.seen();
                ids.iter().filter(|id| !seen.has_ended(id)).cloned().collect()
            };
            if open.is_empty() || Instant::now() > by {
                return open;
            }
            thread::sleep(BEAT);
        }
    }
}

impl Drop for Witness {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|thread| _ = thread.join());
    }
}

/// Takes notices; watches stay open, as nothing changes.
fn hear(discovery: &Arc<Host>, seen: &Arc<Mutex<Seen>>, over: &Arc<AtomicBool>) -> JoinHandle<()> {
    let (discovery, seen, over) = (Arc::clone(discovery), Arc::clone(seen), Arc::clone(over));
    thread::spawn(move || {
        let mut list = UnchangedList::default();
        while !over.load(Ordering::SeqCst) {
            list.answer();
            let Some(visit) = discovery.next_within(BEAT) else { continue };
            if visit.request.path != "/reports" {
                list.asked(visit);
                continue;
            }
            for (id, status) in ends_told(&visit) {
                let mut seen = seen.lock().expect("sound");
                seen.notices.entry(id).or_insert((Instant::now(), status));
            }
            visit.status(204);
        }
    })
}

fn answer(
    endpoint: &Arc<Host>,
    seen: &Arc<Mutex<Seen>>,
    silent: &Arc<AtomicBool>,
    over: &Arc<AtomicBool>,
) -> JoinHandle<()> {
    let (endpoint, seen) = (Arc::clone(endpoint), Arc::clone(seen));
    let (silent, over) = (Arc::clone(silent), Arc::clone(over));
    thread::spawn(move || {
        let mut held = Vec::new();
        while !over.load(Ordering::SeqCst) {
            let Some(visit) = endpoint.next_within(BEAT) else { continue };
            let id = visit.header("x-request-id").to_owned();
            let mut seen = seen.lock().expect("sound");
            seen.calls.entry(id.clone()).or_default().push(Instant::now());
            if silent.load(Ordering::SeqCst) {
                held.push(visit);
                continue;
            }
            seen.delivered.entry(id).or_insert_with(Instant::now);
            drop(seen);
            visit.status(200);
        }
    })
}

/// Hands a text in on a connection of its own, again after each refusal, as clients do.
pub fn hand_in_until_taken(daemon: &Daemon, raw: &[u8]) {
    let by = Instant::now() + PATIENCE;
    loop {
        match daemon.client().ask(raw).0 {
            202 => return,
            503 if Instant::now() < by => thread::sleep(BEAT),
            status => panic!("{status}"),
        }
    }
}

/// How a request ended for a client that wrote it whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Saw {
    Answer(u16),
    /// The connection ended without one.
    End,
}

pub fn ask(client: &mut Client, raw: &[u8]) -> Saw {
    match client.try_ask(raw) {
        Some(status) => {
            client.rest();
            Saw::Answer(status)
        }
        None => Saw::End,
    }
}
