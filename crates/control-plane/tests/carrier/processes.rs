//! Whole fleets: orders, kills, cuts, two controllers, a daemon's questions.

use crate::support::{Fleet, PATIENCE, call, get, hold, ids, member, page, secret, until};
use indigomast_assignment::wire::{Hello, VERSION, Who, seal_hello};
use indigomast_control_plane::agent::Agent;
use indigomast_control_plane::config;
use indigomast_control_plane::limits::Limits;
use indigomast_control_plane::order::{self, Order};
use indigomast_rollout::wire::Secret;
use indigomast_sender::http::take_request;
use indigomast_sender::limits::{Grant, Limits as HttpLimits};
use indigomast_sender::ring::Ring;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Control processes, the first promoted, and two agents whose senders share all destinations.
fn served(controls: usize) -> Fleet {
    let mut fleet = Fleet::new(controls);
    fleet.order(0, Order::Promote { epoch: 1 });
    let at = fleet.members(0, &[4, 5]);
    for sender in [4, 5] {
        fleet.start_agent(sender, &(0..controls).collect::<Vec<_>>());
        fleet.agent_has(sender, at);
    }
    fleet
}

fn refused(answer: &Value) -> &str {
    answer["refused"].as_str().unwrap_or_else(|| panic!("not refused: {answer}"))
}

#[test]
fn changes_reach_each_sender_and_are_told_as_pages_and_changes() {
    let fleet = served(2);
    fleet.put(0, 17, &member(17, "a"));
    let at = fleet.put(0, 18, &format!("[{},{}]", member(18, "b"), member(18, "c")));
    for sender in [4, 5] {
        let shown = fleet.agent_has(sender, at);
        assert_eq!(shown["destinations"]["18"]["revision"], at.1);
        assert_eq!(shown["destinations"]["17"]["body"], member(17, "a"));
        let (status, page) = fleet.page(sender);
        assert_eq!((status, page["complete"].as_bool()), (200, Some(true)));
        assert_eq!(ids(&page).len(), 3);
        // A member stands as it was put, field by field.
        assert_eq!(page["members"][0], serde_json::from_str::<Value>(&member(17, "a")).expect("JSON"));
    }
    let owners = fleet.ask(0, Order::Owners { destinations: vec![17] });
    let mut list: Vec<u64> = serde_json::from_value(owners["owners"]["17"].clone()).expect("a list");
    list.sort_unstable();
    assert_eq!(list, [4, 5]);
    // A watch is told of a removal as soon as it is in force.
    let agent = fleet.agents[&4].address;
    let before = fleet.page(4).1["revision"].as_u64().expect("a number");
    let watch = thread::spawn(move || page(agent, &format!("/discovery/hosts?from={before}&hold_ms=30000")));
    fleet.order(0, Order::Remove { destination: 17 });
    let (status, told) = watch.join().expect("answered");
    assert_eq!((status, told["complete"].as_bool()), (200, Some(false)));
    assert_eq!(ids(&told), [("a".to_owned(), true)]);
    assert!(told["revision"].as_u64() > Some(before));
    // Nothing new within the hold: an answer with nothing in it.
    let now = told["revision"].as_u64().expect("a number");
    let (_, quiet) = page(agent, &format!("/discovery/hosts?from={now}&hold_ms=20"));
    assert_eq!((quiet["revision"].as_u64(), ids(&quiet).len()), (Some(now), 0));
}

#[test]
fn an_agent_that_never_had_a_part_is_a_discovery_that_is_not_ready() {
    let mut fleet = Fleet::new(1);
    fleet.start_agent(4, &[0]);
    assert_eq!(fleet.page(4).0, 503);
    fleet.order(0, Order::Promote { epoch: 1 });
    let at = fleet.members(0, &[5]);
    // Whole, but nothing in it has ever been its own.
    fleet.agent_has(4, at);
    assert_eq!(fleet.page(4).0, 503);
    let at = fleet.members(0, &[4]);
    fleet.agent_has(4, at);
    until("the list", || (fleet.page(4).0 == 200).then_some(()));
}

/// Takes what is posted there as the platform does, and keeps it.
struct Sink {
    address: SocketAddr,
    status: Arc<Mutex<Option<u16>>>,
    came: Arc<Mutex<Vec<String>>>,
}

impl Sink {
    fn open() -> Sink {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (status, came) = (Arc::new(Mutex::new(Some(204))), Arc::<Mutex<Vec<String>>>::default());
        let (answers, kept) = (Arc::clone(&status), Arc::clone(&came));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (answers, kept) = (Arc::clone(&answers), Arc::clone(&kept));
                thread::spawn(move || Sink::serve(stream, &answers, &kept));
            }
        });
        Sink { address, status, came }
    }

    fn serve(mut stream: TcpStream, answers: &Mutex<Option<u16>>, kept: &Mutex<Vec<String>>) {
        let limits = HttpLimits::of(Grant::new(192, 1024, 3.0));
        let mut ring = Ring::default();
        loop {
            while let Ok(Some(request)) = take_request(&mut ring, &limits) {
                assert_eq!((request.method.as_str(), request.path.as_str()), ("POST", "/reports"));
                // None: it says nothing at all.
                let Some(status) = *answers.lock().expect("sound") else { continue };
                if status == 204 {
                    kept.lock().expect("sound").push(String::from_utf8(request.body).expect("text"));
                }
                let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            if !matches!(ring.fill(&mut stream), Ok(count) if count > 0) {
                return;
            }
        }
    }
}

fn post(address: SocketAddr, body: &str) -> u16 {
    let length = body.len();
    let head =
        format!("POST /reports HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
    call(address, format!("{head}{body}").as_bytes()).expect("an answer").0
}

#[test]
fn notices_are_passed_on_whole_and_none_is_acknowledged_that_nobody_took() {
    let fleet = Fleet::new(1);
    let sink = Sink::open();
    let config = fleet.agent_config(4, &fleet.addresses);
    let agent = Agent::start(&config::Agent { reports: Some(sink.address), ..config }, Limits::default());
    let agent = agent.expect("it starts");
    let one = "{\"id\":\"9b1f\",\"status\":\"undeliverable\"}\n";
    let two = "{\"id\":\"9b20\",\"status\":\"deferred\",\"again_ms\":500}\n";
    assert_eq!(post(agent.address, &format!("{one}{two}")), 204);
    let set = |status: Option<u16>| *sink.status.lock().expect("sound") = status;
    // Refused, silent, and one that can't be read there: the daemon is told, and has its notices still.
    for (answer, told) in [(Some(503), 503), (Some(500), 503), (None, 503), (Some(400), 400)] {
        set(answer);
        assert_eq!(post(agent.address, two), told, "{answer:?}");
    }
    set(Some(204));
    assert_eq!(post(agent.address, two), 204);
    assert_eq!(*sink.came.lock().expect("sound"), [format!("{one}{two}"), two.to_owned()]);
    let shown: Value =
        serde_json::from_str(&get(agent.address, "/status").expect("an answer").1).expect("JSON");
    assert_eq!((shown["notices"].as_u64(), shown["notices_kept"].as_u64()), (Some(3), Some(3)));
}

#[test]
fn notices_with_nobody_to_take_them_stay_with_the_daemon() {
    let mut fleet = Fleet::new(1);
    fleet.start_agent(4, &[0]);
    let address = fleet.agents[&4].address;
    assert_eq!(post(address, "{\"id\":\"9b1f\",\"status\":\"undeliverable\"}\n"), 503);
    // And where there is one that can't be reached.
    let gone = TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("bound");
    let config = fleet.agent_config(5, &fleet.addresses);
    let agent = Agent::start(&config::Agent { reports: Some(gone), ..config }, Limits::default());
    let agent = agent.expect("it starts");
    assert_eq!(post(agent.address, "{\"id\":\"9b1f\",\"status\":\"undeliverable\"}\n"), 503);
}

#[test]
fn an_agent_started_again_while_cut_off_serves_its_last_part_and_a_later_revision() {
    let mut fleet = served(1);
    fleet.put(0, 17, &member(17, "a"));
    let at = fleet.put(0, 18, "no member of the list");
    let shown = fleet.agent_has(4, at);
    let (_, before) = fleet.page(4);
    fleet.stop(0);
    for life in 0..3 {
        let last = fleet.page(4).1["revision"].as_u64().expect("a number");
        fleet.stop_agent(4);
        fleet.start_agent(4, &[0]);
        // The very first question is answered from what was saved.
        let (status, page) = fleet.page(4);
        assert_eq!(status, 200, "life {life}");
        assert_eq!(page["members"], before["members"]);
        assert!(page["revision"].as_u64() > Some(last), "{page} after {last}");
        let again = fleet.agent_until(4, "its part", |_| true);
        assert_eq!(again["destinations"], shown["destinations"]);
        assert_eq!(
            (again["position"].clone(), again["up"].as_bool()),
            (shown["position"].clone(), Some(false))
        );
        // A daemon that knows a revision of the life before is told the whole list at once.
        let (_, told) = crate::support::page(
            fleet.agents[&4].address,
            &format!("/discovery/hosts?from={last}&hold_ms=30000"),
        );
        assert_eq!(told["complete"], true);
    }
    // Also with all it had saved lost, no revision comes again.
    let last = fleet.page(4).1["revision"].as_u64().expect("a number");
    fleet.stop_agent(4);
    std::fs::remove_dir_all(fleet.folder.0.join("agent-4")).expect("removed");
    fleet.start(0);
    fleet.start_agent(4, &[0]);
    until("the list", || (fleet.page(4).0 == 200).then_some(()));
    let (status, page) = fleet.page(4);
    assert!(page["revision"].as_u64() > Some(last), "{status} {page} after {last}");
}

/// Guards against a revision that is told again with another meaning: an agent that was started again several times within
/// milliseconds, and then lost its folder, began before the revisions that it had told.
#[test]
fn no_revision_is_ahead_of_the_clock_however_soon_an_agent_is_started_again() {
    let mut fleet = served(1);
    let at = fleet.put(0, 17, &member(17, "a"));
    fleet.agent_has(4, at);
    for life in 0..12 {
        fleet.stop_agent(4);
        fleet.start_agent(4, &[0]);
        let revision = fleet.page(4).1["revision"].as_u64().expect("a number");
        let clock = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970").as_micros();
        assert!(u128::from(revision) <= clock, "life {life}: {revision} at {clock}");
    }
}

#[test]
fn a_clock_that_was_set_back_brings_no_revision_again() {
    let mut fleet = served(1);
    let at = fleet.put(0, 17, &member(17, "a"));
    fleet.agent_has(4, at);
    fleet.stop_agent(4);
    // A life whose clock was ahead has set these apart.
    let ahead = 1u64 << 52;
    std::fs::write(fleet.folder.0.join("agent-4/revision"), ahead.to_string()).expect("written");
    for life in 0..2 {
        fleet.start_agent(4, &[0]);
        let told = fleet.page(4).1["revision"].as_u64().expect("a number");
        assert!(told > ahead, "life {life}: {told}");
        fleet.stop_agent(4);
        let kept = std::fs::read_to_string(fleet.folder.0.join("agent-4/revision")).expect("there");
        assert!(kept.parse::<u64>().expect("a number") >= told, "{kept}");
    }
}

#[test]
fn a_part_that_was_damaged_or_is_another_s_is_never_served() {
    let mut fleet = served(1);
    let at = fleet.put(0, 17, &member(17, "a"));
    fleet.agent_has(4, at);
    fleet.stop(0);
    fleet.stop_agent(4);
    let path = fleet.folder.0.join("agent-4/part");
    let part = std::fs::read(&path).expect("saved");
    for at in [0, 70, part.len() / 2, part.len() - 1] {
        let mut spoilt = part.clone();
        spoilt[at] ^= 1;
        std::fs::write(&path, &spoilt).expect("written");
        fleet.start_agent(4, &[0]);
        assert_eq!(fleet.page(4).0, 503, "byte {at}");
        fleet.agents.remove(&4).expect("it runs").stop();
    }
    // Of another sender.
    std::fs::write(&path, &part).expect("written");
    let config = fleet.agent_config(4, &[fleet.addresses[0]]);
    let start = |config: &config::Agent| Agent::start(config, Limits::default());
    let other = start(&config::Agent { sender: 5, ..config.clone() }).expect("it starts");
    assert_eq!(page(other.address, "/discovery/hosts").0, 503);
    other.stop();
    // Of another number of shards: a mistake in the settings, said with the field.
    std::fs::write(&path, &part).expect("written");
    let wrong = start(&config::Agent { shards: 128, ..config }).err().expect("refused");
    assert!(wrong.starts_with("state: ") && wrong.contains("64 shards"), "{wrong}");
}

#[test]
fn who_is_not_the_controller_says_so_and_changes_nothing() {
    let fleet = served(2);
    let at = fleet.put(0, 17, &member(17, "a"));
    until("a copy", || (fleet.status(1)["position"][1].as_u64()? >= at.1).then_some(()));
    let orders = [
        Order::Put { destination: 17, weight: 1, body: "x".into() },
        Order::Remove { destination: 17 },
        Order::Common { body: "x".into() },
        Order::Members(vec![(4, None)]),
    ];
    for order in orders {
        assert_eq!(refused(&fleet.ask(1, order)), "not the controller");
    }
    let owners = fleet.ask(1, Order::Owners { destinations: vec![17] });
    assert_eq!(owners["owners"]["17"].as_array().map(Vec::len), Some(2), "owners are told from its copy");
    // Nor may it become one with an epoch that has been heard of.
    assert!(refused(&fleet.ask(1, Order::Promote { epoch: 1 })).contains("1 has been heard of"));
    assert_eq!(fleet.status(1)["controller"], false);
    assert_eq!(fleet.status(0)["position"][1], at.1);
    // What can't be is refused with its field, and counted.
    let wrong = fleet.ask(0, Order::Put { destination: 17, weight: 1, body: "\u{7}".into() });
    assert!(refused(&wrong).starts_with("body: "), "{wrong}");
    assert!(refused(&fleet.ask(0, Order::Remove { destination: 99 })).starts_with("destination: "));
}

#[test]
fn what_was_answered_is_there_after_a_restart_and_its_process_is_no_controller() {
    let mut fleet = served(2);
    let mut at = (0, 0);
    for destination in 0..20 {
        at = fleet.put(0, destination, &member(destination, &format!("e{destination}")));
    }
    // As a kill leaves it: the files at the moment of the last answer, whatever is written afterwards.
    let saved = fleet.folder.0.join("saved");
    std::fs::create_dir(&saved).expect("a folder");
    for entry in std::fs::read_dir(fleet.state(0)).expect("a folder").flatten() {
        std::fs::copy(entry.path(), saved.join(entry.file_name())).expect("copied");
    }
    fleet.stop(0);
    std::fs::remove_dir_all(fleet.state(0)).expect("removed");
    std::fs::rename(&saved, fleet.state(0)).expect("renamed");
    fleet.start(0);
    let status = fleet.status(0);
    assert_eq!((status["controller"].as_bool(), status["destinations"].as_u64()), (Some(false), Some(20)));
    assert_eq!(status["position"], json!([at.0, at.1]));
    assert_eq!(refused(&fleet.ask(0, Order::Common { body: "x".into() })), "not the controller");
    assert!(refused(&fleet.ask(0, Order::Promote { epoch: 1 })).contains("heard of"));
    // Promoted anew, it goes on from there, and the agents follow without a snapshot.
    let position = fleet.order(0, Order::Promote { epoch: 2 });
    assert_eq!(position, (2, at.1 + 1));
    let at = fleet.members(0, &[4, 5]);
    fleet.agent_has(4, at);
}

#[test]
fn a_change_is_answered_once_the_disk_has_it_and_refused_where_it_fails() {
    let fleet = Fleet::new(1);
    let held = hold(&fleet.state(0).join("copy.new"));
    let (tell, told) = std::sync::mpsc::channel();
    let address = fleet.addresses[0];
    let asker = thread::spawn(move || {
        let answer = order::ask(address, &secret(), &Order::Promote { epoch: 1 }, PATIENCE);
        tell.send(answer).expect("heard");
    });
    // It is the controller, and goes on while the disk waits; but that isn't answered.
    let status = until("promoted", || Some(fleet.status(0)).filter(|status| status["controller"] == true));
    assert!(status["on_disk"].is_null(), "{status}");
    assert!(told.recv_timeout(Duration::from_millis(200)).is_err(), "answered before the disk had it");
    let read = held.release();
    let answer = told.recv_timeout(PATIENCE).expect("an answer").expect("sealed");
    assert!(refused(&answer).starts_with("not on the disk here"), "{answer}");
    asker.join().expect("asked");
    read.join().expect("read");
    // The disk is well again: what is there is written anew, and the next change is answered.
    until("written", || fleet.status(0)["on_disk"].is_array().then_some(()));
    fleet.members(0, &[4]);
}

#[test]
fn a_damaged_copy_begins_as_a_relay_with_nothing_and_is_told_anew() {
    let mut fleet = served(2);
    let at = fleet.put(0, 17, &member(17, "a"));
    until("a copy", || (fleet.status(1)["on_disk"][1].as_u64()? >= at.1).then_some(()));
    fleet.stop(1);
    let path = fleet.state(1).join("copy");
    let mut bytes = std::fs::read(&path).expect("saved");
    let middle = bytes.len() / 2;
    bytes[middle] ^= 1;
    std::fs::write(&path, bytes).expect("written");
    // With the epoch it had heard of gone as well, the damage alone has to tell that this is no beginning.
    std::fs::remove_file(fleet.state(1).join("epoch")).expect("it was kept");
    fleet.stop(0);
    fleet.start(1);
    let status = fleet.status(1);
    assert_eq!((status["filled"].as_bool(), status["position"].is_null()), (Some(false), true));
    assert!(status["damaged"].as_str().is_some_and(|place| place.contains("copy: line")), "{status}");
    // It would have everybody forget everything.
    assert!(refused(&fleet.ask(1, Order::Promote { epoch: 9 })).contains("no whole copy"));
    fleet.start(0);
    fleet.order(0, Order::Promote { epoch: 2 });
    until("told anew", || (fleet.status(1)["destinations"] == 1).then_some(()));
}

#[test]
fn an_epoch_that_was_heard_of_is_never_given_again_also_after_a_restart() {
    let mut fleet = served(1);
    // Somebody announces a later one: this one is deposed by that, and no copy of it ever comes.
    let hello = Hello {
        version: VERSION,
        who: Who::Controller(7),
        challenge: 0,
        epoch: 9,
        position: None,
        seen: None,
        held: Vec::new(),
        taken: None,
        suspects: Vec::new(),
        credit: 0,
    };
    let mut stream = TcpStream::connect(fleet.addresses[0]).expect("it listens");
    stream.write_all(format!("{}\n", seal_hello(&secret(), &hello)).as_bytes()).expect("written");
    until("it has heard", || (fleet.status(0)["seen"] == 9).then_some(()));
    for _ in 0..2 {
        let status = fleet.status(0);
        assert_eq!((status["controller"].as_bool(), status["epoch"].as_u64()), (Some(false), Some(1)));
        assert_eq!(status["seen"], 9);
        assert!(refused(&fleet.ask(0, Order::Promote { epoch: 9 })).contains("9 has been heard of"));
        fleet.stop(0);
        fleet.start(0);
    }
    assert_eq!(fleet.order(0, Order::Promote { epoch: 10 }).0, 10);
}

/// A way to an address that can be cut: connections through it end, and new ones are not taken any further.
struct Way {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Way {
    fn to(target: SocketAddr) -> Way {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let (cut, open) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<Vec<TcpStream>>>::default());
        let (is_cut, streams) = (Arc::clone(&cut), Arc::clone(&open));
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(target) else { continue };
                let mut streams = streams.lock().expect("sound");
                if is_cut.load(Ordering::Acquire) {
                    continue;
                }
                let copies = [&near, &far].map(|stream| stream.try_clone().expect("a copy"));
                streams.extend(copies);
                let (near_too, far_too) =
                    (near.try_clone().expect("a copy"), far.try_clone().expect("a copy"));
                thread::spawn(move || pass(near, far));
                thread::spawn(move || pass(far_too, near_too));
            }
        });
        Way { address, cut, open }
    }

    fn cut(&self, cut: bool) {
        let mut open = self.open.lock().expect("sound");
        self.cut.store(cut, Ordering::Release);
        open.drain(..).for_each(|stream| _ = stream.shutdown(Shutdown::Both));
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 8192];
    while let Ok(count) = from.read(&mut bytes)
        && count > 0
        && to.write_all(&bytes[..count]).is_ok()
    {}
    _ = to.shutdown(Shutdown::Both);
}

#[test]
fn of_two_controllers_the_earlier_is_deposed_and_what_only_it_said_is_undone() {
    let mut fleet = Fleet::new(2);
    // Others reach each process by a way that can be cut.
    let real = fleet.addresses.clone();
    let ways: Vec<Way> = real.iter().map(|address| Way::to(*address)).collect();
    for number in [0, 1] {
        fleet.stop(number);
        let mut config = fleet.control_config(number);
        // Its own address is its own: a process always reaches itself.
        config.controls = ways.iter().map(|way| way.address).collect();
        config.controls[number] = real[number];
        let limits = fleet.limits.clone();
        let start = || indigomast_control_plane::control::Control::start(&config, limits.clone()).ok();
        fleet.controls[number] = Some(until("the port is free", start));
    }
    fleet.order(0, Order::Promote { epoch: 1 });
    fleet.members(0, &[4, 5]);
    let at = fleet.put(0, 17, &member(17, "a"));
    fleet.start_agent(4, &[0]);
    fleet.start_agent(5, &[1]);
    fleet.agent_has(4, at);
    fleet.agent_has(5, at);
    ways.iter().for_each(|way| way.cut(true));
    // Each side goes on by itself.
    fleet.order(1, Order::Promote { epoch: 2 });
    let lost = fleet.put(0, 18, &member(18, "lost"));
    assert_eq!(lost.0, 1);
    fleet.agent_has(4, lost);
    fleet.members(1, &[4, 5]);
    let kept = fleet.put(1, 19, &member(19, "kept"));
    assert_eq!(kept.0, 2);
    fleet.agent_has(5, kept);
    assert_eq!(
        (fleet.status(0)["controller"].clone(), fleet.status(1)["controller"].clone()),
        (json!(true), json!(true))
    );
    ways.iter().for_each(|way| way.cut(false));
    until("the earlier is deposed", || (fleet.status(0)["controller"] == false).then_some(()));
    assert_eq!(refused(&fleet.ask(0, Order::Common { body: "x".into() })), "not the controller");
    assert_eq!(fleet.status(1)["controller"], true);
    let shown = fleet.agent_until(4, "what counts", |shown| {
        shown["destinations"]["19"].is_object() && shown["destinations"]["18"].is_null()
    });
    assert_eq!(shown["position"][0], 2);
    assert!(shown["destinations"]["17"].is_object());
    until("the copy as well", || (fleet.status(0)["destinations"] == 2).then_some(()));
}

#[test]
fn a_subscriber_that_does_not_read_costs_nobody_else_anything() {
    let mut fleet = Fleet::new(2);
    fleet.order(0, Order::Promote { epoch: 1 });
    fleet.members(0, &[4, 5, 6, 7]);
    // A relay that takes in what it is told for a while and then nothing: everything is for it.
    let stalled = TcpStream::connect(fleet.addresses[0]).expect("it listens");
    let hello = Hello {
        version: VERSION,
        who: Who::Relay(77),
        challenge: 5,
        epoch: 1,
        position: None,
        seen: None,
        held: Vec::new(),
        taken: None,
        suspects: Vec::new(),
        credit: 1 << 20,
    };
    let line = seal_hello(&secret(), &hello);
    (&stalled).write_all(format!("{line}\n").as_bytes()).expect("written");
    until("it is a relay", || (fleet.status(0)["relays"].as_u64()? >= 3).then_some(()));
    fleet.start_agent(4, &[0]);
    let body = "x".repeat(700);
    let began = std::time::Instant::now();
    let mut at = (0, 0);
    // 1.4 MB: more than its window.
    for destination in 0..2000 {
        at = fleet.put(0, destination, &body);
    }
    let filled = began.elapsed();
    // Another relay, and through it whoever it serves, has all of it.
    until("the other relay has all", || (fleet.status(1)["position"][1].as_u64()? >= at.1).then_some(()));
    let began = std::time::Instant::now();
    fleet.put(0, 2000, &body);
    let answered = began.elapsed();
    assert!(answered < Duration::from_secs(2), "{answered:?} for a change, {filled:?} for 2,000");
    drop(stalled);
}

#[test]
fn an_order_with_another_key_or_to_nobody_gets_no_answer() {
    let fleet = Fleet::new(1);
    let other = Secret::new(b"the key of another fleet").expect("long enough");
    let wrong = order::ask(fleet.addresses[0], &other, &Order::Status, Duration::from_secs(5));
    assert!(wrong.is_err(), "{wrong:?}");
    until("it was counted", || (fleet.status(0)["refused"] == 1).then_some(()));
}
