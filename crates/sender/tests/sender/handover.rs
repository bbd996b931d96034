//! One process takes the place of another: the real program, two of it, and one socket for clients.

use crate::common::*;
use crate::faults::Plan;
use crate::operations::free_address;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

struct World {
    endpoint: Host,
    _discovery: Host,
    config: Value,
    folder: Folder,
    socket: TcpListener,
    plan: Plan,
}

impl World {
    fn new() -> World {
        let (endpoint, discovery) = (Host::open(), Host::open());
        let config = config(&[member("e0", &endpoint, 0, "Ready")], discovery.address);
        let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let folder = Folder::new();
        let plan = Plan::new(&folder);
        World { endpoint, _discovery: discovery, config, folder, socket, plan }
    }

    /// One more process, at a second address of its own.
    fn start(&self) -> (Daemon, SocketAddr) {
        let control = free_address();
        let mut config = self.config.clone();
        config["control"] = json!(control.to_string());
        let command = self.plan.binds(command(&config, &self.folder));
        (Daemon::sharing_by(&command, &self.socket), control)
    }

    fn first(&self) -> Daemon {
        let (daemon, _) = self.start();
        daemon.line_with("listens on ");
        daemon
    }

    /// Has another process take over from this one, which ends by itself.
    fn replace(&self, old: &mut Daemon) -> Daemon {
        let (new, control) = self.start();
        new.line_with("listens on ");
        assert_eq!(old.wait(), Some(0));
        assert_eq!(ready(control), 200);
        new
    }
}

fn ready(control: SocketAddr) -> u16 {
    call(control, "GET", "/ops/readiness", "").0
}

/// Every text that is handed in while processes come and go is taken on and delivered once.
#[test]
fn texts_come_in_while_one_process_follows_another() {
    let mut world = World::new();
    // Room for all that a client can hand in while nothing goes out.
    world.config["settings"]["ceilings"]["most-held"] = json!(5000);
    let mut daemon = world.first();
    let address = daemon.address;
    let stop = AtomicBool::new(false);
    let (statuses, came) = thread::scope(|scope| {
        let clients = scope.spawn(|| {
            let mut statuses = Vec::new();
            while !stop.load(Ordering::Relaxed) {
                let id = format!("t{}", statuses.len());
                statuses.push(Client::at(address).ask(&text("free", &id, 0, "key", b"hello")).0);
            }
            statuses
        });
        let answers = scope.spawn(|| {
            let mut came: BTreeMap<String, u32> = BTreeMap::new();
            loop {
                match world.endpoint.next_within(Duration::from_millis(500)) {
                    Some(visit) => {
                        *came.entry(visit.header("x-request-id").to_owned()).or_default() += 1;
                        visit.status(200);
                    }
                    None if stop.load(Ordering::Relaxed) => return came,
                    None => {}
                }
            }
        });
        for _ in 0..3 {
            daemon = world.replace(&mut daemon);
        }
        stop.store(true, Ordering::Relaxed);
        (clients.join().expect("every text has an answer"), answers.join().expect("calls are answered"))
    });
    assert!(statuses.len() > 3 && statuses.iter().all(|status| *status == 202), "{statuses:?}");
    assert_eq!(came.len(), statuses.len(), "each was delivered");
    assert!(came.values().all(|times| *times == 1), "{came:?}");
}

#[test]
fn what_the_old_process_was_told_binds_the_new_one() {
    let world = World::new();
    let (mut old, control) = world.start();
    old.line_with("listens on ");
    // An id that is over is known; a wait that was told goes on, and what is out by hand stays out.
    assert_eq!(old.hand_in("free", "over", 0), 202);
    world.endpoint.next().status(200);
    old.counts("delivered", 1);
    assert_eq!(old.hand_in("free", "waits", 0), 202);
    let wait = Duration::from_millis(2500);
    let turned_away =
        format!("HTTP/1.1 429 X\r\nContent-Length: 0\r\nRetry-After: {}\r\n\r\n", wait.as_secs_f64());
    let told = Instant::now();
    world.endpoint.next().answer(turned_away);
    old.counts("full", 1);
    let order = |control, which: &str| call(control, "PUT", &format!("/ops/endpoints/{which}"), "e0").0;
    assert_eq!(order(control, "down"), 200);
    let (new, control) = world.start();
    new.line_with("listens on ");
    assert_eq!(old.wait(), Some(0));
    assert_eq!(new.hand_in("free", "over", 0), 202);
    assert_eq!(new.hand_in("free", "fresh", 0), 202);
    assert!(world.endpoint.next_within(wait.saturating_sub(told.elapsed())).is_none());
    assert_eq!((new.counter("submitted"), order(control, "up")), (0, 200));
    let first = world.endpoint.next();
    assert!(told.elapsed() >= wait, "called after {:?}", told.elapsed());
    let mut ids = vec![first.header("x-request-id").to_owned()];
    first.status(200);
    let second = world.endpoint.next();
    ids.push(second.header("x-request-id").to_owned());
    second.status(200);
    ids.sort();
    assert_eq!(ids, ["fresh", "waits"]);
    new.counts("delivered", 2);
    assert!(world.endpoint.is_quiet(), "what was over came again");
}

/// The wall clock is stepped while one process follows another: a wait that was told lasts as long as it was told, and a text
/// that is waiting keeps its time.
#[test]
fn a_step_of_the_clock_between_two_processes_moves_no_wait() {
    for step in [3_600_000, 5_000, -5_000, -3_600_000] {
        let world = World::new();
        let mut old = world.first();
        assert_eq!(old.hand_in("free", "waits", 0), 202);
        let (wait, told) = (Duration::from_millis(2500), Instant::now());
        let head = "HTTP/1.1 429 X\r\nContent-Length: 0\r\n";
        world.endpoint.next().answer(format!("{head}Retry-After: {}\r\n\r\n", wait.as_secs_f64()));
        old.counts("full", 1);
        world.plan.steps_clock(step);
        let new = world.replace(&mut old);
        let next = world.endpoint.next();
        let after = told.elapsed();
        assert!(after >= wait, "stepped by {step} ms: called after {after:?}");
        assert!(after < Duration::from_secs(12), "stepped by {step} ms: called after {after:?}");
        next.status(200);
        new.counts("delivered", 1);
    }
}

/// A text on its last submit when ownership moves is not submitted once more, and a once-only one in doubt never.
#[test]
fn submits_used_and_doubt_go_over() {
    let mut world = World::new();
    world.config["settings"]["ceilings"]["max-attempts"] = json!(2);
    let mut old = world.first();
    assert_eq!(old.hand_in("free", "twice", 0), 202);
    world.endpoint.next().status(500);
    let last = world.endpoint.next();
    assert_eq!(old.hand_in("once", "once", 0), 202);
    let doubt = world.endpoint.next();
    let new = world.replace(&mut old);
    for (name, count) in [("nacked", 1), ("undeliverable", 1), ("submitted", 0)] {
        new.counts(name, count);
    }
    drop((last, doubt));
}

/// The old process goes on where the new one dies while it waits, and another one still can take over.
#[test]
fn a_new_process_that_dies_changes_nothing() {
    let world = World::new();
    let mut old = world.first();
    assert_eq!(old.hand_in("once", "held", 0), 202);
    // Out, so that the old one has something to wait for.
    let held = world.endpoint.next();
    let (mut new, control) = world.start();
    old.line_with("waits to take over");
    assert_eq!(ready(control), 503);
    new.kill();
    old.line_with("no other process takes over");
    held.status(200);
    old.counts("delivered", 1);
    assert_eq!(old.hand_in("free", "after", 0), 202);
    world.endpoint.next().status(200);
    old.counts("delivered", 2);
    let new = world.replace(&mut old);
    assert_eq!(new.hand_in("free", "last", 0), 202);
    world.endpoint.next().status(200);
    new.counts("delivered", 1);
}

/// An old process that stands still keeps its right until it is killed, or wakes and leaves in order; the new one says
/// that it is ready meanwhile, so that somebody ends it. Asked and told of a broken file in the middle of it, it serves.
#[test]
fn an_old_process_that_stands_still_is_waited_for() {
    for wakes in [false, true] {
        let world = World::new();
        let mut old = world.first();
        assert_eq!(old.hand_in("free", "a", 0), 202);
        let held = world.endpoint.next();
        old.stands_still();
        // The answer has come, unread, before the old one goes on, and by then its call's time is up.
        let held = if wakes {
            held.status(200);
            let by = Instant::now() + PATIENCE;
            while world.endpoint.answered() == 0 {
                assert!(Instant::now() < by, "the answer is written");
                thread::sleep(Duration::from_millis(1));
            }
            None
        } else {
            Some(held)
        };
        let (new, control) = world.start();
        new.line_with("its end is waited for");
        assert_eq!(ready(control), 200);
        assert!(world.endpoint.is_quiet(), "two owners");
        let stats = || call(control, "GET", "/ops/stats", "").1;
        assert!(stats().contains("sender.current=0\n"), "{}", stats());
        std::fs::write(world.folder.0.join("config.json"), "{\"name\":").expect("the folder is there");
        new.signal("-HUP");
        if wakes {
            // The answer that came meanwhile counts.
            old.signal("-CONT");
            assert_eq!(old.wait(), Some(0));
        } else {
            old.kill();
            drop(held);
        }
        new.line_with("listens on ");
        new.line_with("stays as it was");
        assert!(stats().contains("sender.conf_invalid=1\n"), "{}", stats());
        if wakes {
            assert_eq!(new.hand_in("free", "b", 0), 202);
        }
        let visit = world.endpoint.next();
        assert_eq!(visit.header("x-request-id"), if wakes { "b" } else { "a" });
        visit.status(200);
        new.counts("delivered", 1);
    }
}

#[test]
fn a_descriptor_that_is_no_socket_ends_the_start() {
    let world = World::new();
    for number in ["4", "nine", "-1"] {
        let mut command = command(&world.config, &world.folder);
        command.env("ROUTER_PASSED_SOCKET", number);
        let (code, said) = complaint(command);
        assert!(code == Some(1) && said.contains("ROUTER_PASSED_SOCKET"), "{said}");
    }
}

/// What can't be left to the next one would bind nobody: the old one serves on, also while the disk is full.
#[test]
fn an_estate_that_cant_be_written_keeps_the_old_process() {
    let world = World::new();
    let mut old = world.first();
    // Nothing can be written where a folder lies.
    let blocked = world.folder.state().join("estate.new");
    std::fs::create_dir(&blocked).expect("the folder is there");
    let (mut new, _) = world.start();
    old.line_with("can't take over");
    old.line_with("no other process takes over");
    assert_eq!(old.hand_in("free", "a", 0), 202);
    world.endpoint.next().status(200);
    old.counts("delivered", 1);
    new.kill();
    old.line_with("no other process takes over");
    std::fs::remove_dir(&blocked).expect("empty");
    world.replace(&mut old);
}

/// A crowd holds as many connections as one process may have while another takes over, and goes on coming. The two together
/// never have more descriptors than one is granted.
#[test]
fn two_processes_together_hold_no_more_descriptors_than_one_may() {
    const GRANTED: usize = 256;
    let mut world = World::new();
    world.config["limits"]["sockets"] = json!(GRANTED);
    let mut old = world.first();
    let address = old.address;
    let over = AtomicBool::new(false);
    let most = thread::scope(|scope| {
        scope.spawn(|| {
            let mut open = std::collections::VecDeque::new();
            while !over.load(Ordering::Relaxed) {
                open.extend(Client::try_at(address));
                // More than one process has places for.
                if open.len() > 2 * GRANTED {
                    open.pop_front();
                }
            }
        });
        thread::sleep(Duration::from_millis(1500));
        let (new, control) = world.start();
        let began = Instant::now();
        let (by, mut most) = (began + Duration::from_secs(8), (0, 0, 0));
        while Instant::now() < by && !old.has_ended() {
            let (a, b) = (old.descriptors(), new.descriptors());
            if a + b > most.0 {
                most = (a + b, a, b);
            }
            thread::sleep(Duration::from_millis(2));
        }
        over.store(true, Ordering::Relaxed);
        assert_eq!(old.wait(), Some(0));
        new.line_with("listens on ");
        assert_eq!(ready(control), 200);
        println!("taken over after {:?}; descriptors in all, old and new: {most:?}", began.elapsed());
        most
    });
    let (both, of_old, of_new) = most;
    assert!(of_old > 0 && of_new > 0, "counted together: {of_old} of the old process, {of_new} of the new");
    assert!(both <= GRANTED, "{both} descriptors, {of_old} of the old process and {of_new} of the new");
}
