//! Clients that connect and rest fill the descriptors while discovery is down: all else goes on, and discovery is found again.

use crate::common::*;
use serde_json::json;
use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Far more than the sender has room for, all there all the time: whoever is ended comes again at once. A third each has
/// asked nothing, has asked and rests, and has begun a request.
fn idle_crowd(daemon: &Daemon, over: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (address, over) = (daemon.address, Arc::clone(over));
    thread::spawn(move || {
        let mut crowd: Vec<Option<Client>> = (0..120).map(|_| None).collect();
        while !over.load(Ordering::Relaxed) {
            for (number, place) in crowd.iter_mut().enumerate() {
                let ended = place.as_mut().is_none_or(|client| {
                    client.stream.set_nonblocking(true).expect("a socket");
                    let mut byte = [0; 64];
                    matches!(client.stream.peek(&mut byte), Ok(0))
                        || client
                            .stream
                            .peek(&mut byte)
                            .is_err_and(|e| e.kind() != std::io::ErrorKind::WouldBlock)
                });
                if ended {
                    *place = Client::try_at(address).filter(|client| {
                        let said = ["", "GET /up HTTP/1.1\r\n\r\n", "GET /up HT"][number % 3];
                        (&client.stream).write_all(said.as_bytes()).is_ok()
                    });
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    })
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
fn down(discovery: &Host, until: Instant) {
    while let Some(left) = until.checked_duration_since(Instant::now()) {
        if let Some(visit) = discovery.next_within(left) {
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
    let over = Arc::<AtomicBool>::default();
    let crowd = idle_crowd(&daemon, &over);
    // What the sender keeps for itself is not for clients.
    let by = Instant::now() + PATIENCE;
    while daemon.descriptors() + 24 < there_are {
        assert!(Instant::now() < by, "{} descriptors", daemon.descriptors());
        thread::sleep(Duration::from_millis(5));
    }
    // While discovery is down texts are taken on, written and delivered, also when the journal begins new files.
    let back = Instant::now() + Duration::from_secs(4);
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
    thread::scope(|scope| {
        scope.spawn(|| down(&discovery, back));
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
    over.store(true, Ordering::Relaxed);
    crowd.join().expect("no fault");
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
