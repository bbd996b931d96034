//! Clients that connect and rest fill the descriptors while discovery is down: all else goes on, and discovery is found again.

use crate::common::*;
use indigomast_sender::limits::{Grant, Limits};
use serde_json::json;
use std::io::{ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A client that sends no text, and whether it has its answer.
struct Idle {
    client: Client,
    answered: bool,
}

impl Idle {
    fn come(address: SocketAddr, said: &str) -> Option<Idle> {
        let client = Client::try_at(address)?;
        // Thousands come and go: the system would remember each for a minute, and be slow for other tests by that.
        socket2::SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).ok()?;
        client.stream.set_nonblocking(true).ok()?;
        (&client.stream).write_all(said.as_bytes()).ok()?;
        Some(Idle { client, answered: false })
    }

    /// Reads what has come; whether the connection is still open. What lies unread would hide its end.
    fn stays(&mut self) -> bool {
        let mut bytes = [0; 256];
        loop {
            match (&self.client.stream).read(&mut bytes) {
                Ok(0) => return false,
                Ok(count) => self.answered |= bytes[..count].starts_with(b"HTTP/1.1 200 "),
                Err(e) => return e.kind() == ErrorKind::WouldBlock,
            }
        }
    }
}

/// Far more than the sender has room for, all there all the time: whoever is ended comes again at once. A third each has
/// asked nothing, has asked and rests, and has begun a request.
struct Crowd {
    over: Arc<AtomicBool>,
    resting: Arc<AtomicUsize>,
    thread: thread::JoinHandle<()>,
}

impl Crowd {
    const SIZE: usize = 120;

    fn gathers(address: SocketAddr) -> Crowd {
        let (over, resting) = (Arc::<AtomicBool>::default(), Arc::<AtomicUsize>::default());
        let (ends, rest) = (Arc::clone(&over), Arc::clone(&resting));
        let thread = thread::spawn(move || {
            let mut crowd: Vec<Option<Idle>> = (0..Crowd::SIZE).map(|_| None).collect();
            while !ends.load(Ordering::Relaxed) {
                for (number, place) in crowd.iter_mut().enumerate() {
                    if !place.as_mut().is_some_and(Idle::stays) {
                        let said = ["", "GET /up HTTP/1.1\r\n\r\n", "GET /up HT"][number % 3];
                        *place = Idle::come(address, said);
                    }
                }
                let answered = crowd.iter().flatten().filter(|idle| idle.answered).count();
                rest.store(answered, Ordering::Relaxed);
                thread::sleep(Duration::from_millis(2));
            }
        });
        Crowd { over, resting, thread }
    }

    /// How many have their answer and are still there: each holds a place that no other of the crowd can get.
    fn resting(&self) -> usize {
        self.resting.load(Ordering::Relaxed)
    }

    fn leaves(self) {
        self.over.store(true, Ordering::Relaxed);
        self.thread.join().expect("no fault");
    }
}

/// Hands in a text, coming again as clients do who are sent away.
fn taken(daemon: &Daemon, product: &str, id: &str, body: &[u8]) {
    let by = Instant::now() + PATIENCE;
    loop {
        let answered = Client::try_at(daemon.address).and_then(|mut client| {
            client.stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
            client.try_ask(&text(product, id, 0, "key", body))
        });
        match answered {
            Some(202) => return,
            other => assert!(Instant::now() < by, "{id}: {other:?}"),
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// The whole of a discovery's work until it is back: it accepts connections and ends them.
fn down(discovery: &Host, is_back: impl Fn() -> bool) {
    while !is_back() {
        if let Some(visit) = discovery.next_within(Duration::from_millis(5)) {
            visit.hang_up();
        }
    }
}

fn play(granted: usize, there_are: usize) {
    let (endpoint, second, discovery) = (Host::open(), Host::open(), Host::open());
    let mut config = config(&[member("e0", &endpoint, 0, "Ready")], discovery.address);
    config["limits"]["sockets"] = json!(granted);
    let folder = Folder::new();
    let mut daemon = Daemon::with_descriptors(&config, &folder, there_are);
    // The descriptors are full of idle clients when each place for one is held by a client that rests: none of these has to
    // go for a client that doesn't hand in a text, so it stays like this, with others waiting and coming again all the time.
    // Descriptors aren't counted: how many the process has beside depends on what it was handed down by whoever started it.
    let limits = Limits::of(Grant::new(192, granted.min(there_are), 3.0));
    assert!(limits.clients * 8 >= there_are * 3, "{} places of {there_are} descriptors", limits.clients);
    assert!(Crowd::SIZE / 3 > limits.clients + limits.accept_queue, "a crowd large enough");
    let crowd = Crowd::gathers(daemon.address);
    let by = Instant::now() + PATIENCE;
    while crowd.resting() != limits.clients {
        assert!(Instant::now() < by, "{} of {} places are taken", crowd.resting(), limits.clients);
        thread::sleep(Duration::from_millis(5));
    }
    // While discovery is down texts are taken on, written and delivered, also when the journal begins new files.
    let least = Instant::now() + Duration::from_secs(4);
    let calls = thread::spawn(move || {
        let (mut delivered, mut doubtful) = (0, 0);
        while delivered < 60 || doubtful < 1 {
            let visit = endpoint.next();
            match visit.header("x-request-id") {
                "doubt" => {
                    doubtful += 1;
                    visit.hang_up();
                }
                _ => {
                    delivered += 1;
                    visit.status(200);
                }
            }
        }
        endpoint
    });
    // It comes back when that is over, however long that took, and the idle clients have all places again.
    thread::scope(|scope| {
        scope.spawn(|| {
            down(&discovery, || calls.is_finished() && Instant::now() >= least);
            let by = Instant::now() + PATIENCE;
            down(&discovery, || {
                assert!(Instant::now() < by, "{} of {} places are taken", crowd.resting(), limits.clients);
                crowd.resting() == limits.clients
            });
        });
        taken(&daemon, "once", "doubt", b"x");
        (0..60).for_each(|n| taken(&daemon, "free", &format!("t{n}"), &[b'x'; 20_000]));
    });
    let endpoint = calls.join().expect("all calls came");
    // Discovery is back: the list is asked for, and the notice comes.
    let members = [member("e0", &endpoint, 0, "Terminating"), member("e1", &second, 0, "Ready")];
    let page = json!({"revision": 43, "complete": true, "members": members}).to_string();
    let since = Instant::now();
    let (mut listed, mut noticed) = (None, None);
    while listed.is_none() || noticed.is_none() {
        let visit = discovery.next();
        if visit.request.path == "/reports" {
            visit.status(204);
            noticed.get_or_insert_with(|| since.elapsed());
        } else if listed.is_none() {
            visit.answer(ok_json(&page));
            listed = Some(since.elapsed());
        }
    }
    let (listed, noticed) = (listed.expect("asked"), noticed.expect("told"));
    assert!(listed < Duration::from_secs(2), "the list was asked for {listed:?} after discovery was back");
    assert!(noticed < Duration::from_secs(2), "the notice came {noticed:?} after discovery was back");
    taken(&daemon, "free", "later", b"x");
    let visit = second.next();
    assert_eq!(visit.header("x-request-id"), "later");
    // What is owed outlasts the process, crowd or not.
    daemon.kill();
    crowd.leaves();
    drop(visit);
    let daemon = Daemon::start(&config, &folder);
    daemon.counts("resumed", 1);
}

#[test]
fn idle_clients_leave_room_for_the_list_the_notices_the_journal_and_calls() {
    play(64, 64);
}

/// Somebody else has made the limit smaller than what the platform says that it is.
#[test]
fn the_same_where_there_are_fewer_descriptors_than_were_granted() {
    play(400, 64);
}
