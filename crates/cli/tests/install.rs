//! An installation as people run it: texts served to gateways of a list that is edited meanwhile, ends told, files checked.

mod support;

use crossbeam_channel::unbounded;
use indigomast_config::gateways::seal;
use indigomast_sender::http::take_request;
use indigomast_sender::limits::{Grant, Limits};
use indigomast_sender::ring::Ring;
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};
use support::*;

/// The repository's example, with free ports in place of its own.
#[test]
fn the_example_serves_texts_and_tells_their_ends() {
    let folder = folder("example");
    let (one, two) = (Server::open(200), Server::open(200));
    let example = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples/small.toml");
    let text = fs::read_to_string(example).expect("the example");
    let text = text
        .replace("127.0.0.1:8443\"", "127.0.0.1:0\"")
        .replace("127.0.0.1:9001", &one.address.to_string())
        .replace("127.0.0.1:9002", &two.address.to_string())
        + UNSYNCED;
    let file = folder.join("small.toml").display().to_string();
    fs::write(&file, text).expect("writable");
    let checked = run(&["check", &file]);
    assert!(
        checked.status.success() && said(&checked).contains("sound; 2 gateways, 2 products"),
        "{}",
        said(&checked)
    );
    let running = Running::start(&file);
    // Until both have got some neither answers: one that is done at once could be the best each time.
    let mut held = Some([&one, &two].map(|gateway| gateway.gate.lock().expect("sound")));
    let both = || !one.came.is_empty() && !two.came.is_empty();
    for n in 0..20 {
        let said = running.hand_in("receipt", &format!("t{n}"), 1, 20_000);
        assert!(said.starts_with("HTTP/1.1 202"), "{n}: {said}");
        if both() {
            held = None;
        }
    }
    let by = Instant::now() + PATIENCE;
    while !both() {
        assert!(Instant::now() < by, "both of them get some");
        thread::sleep(Duration::from_millis(5));
    }
    drop(held);
    running.counts("delivered", 20);
    assert_eq!(one.came.len() + two.came.len(), 20);
    assert!(both(), "both of them get some");
    // One folder is for one sender.
    let second = run(&["run", &file]);
    assert_eq!(second.status.code(), Some(1));
    assert!(said(&second).contains("another process uses this folder"), "{}", said(&second));
    // What is owed outlasts a kill, and the journal is found where the file says.
    running.signal("-KILL");
    drop(running);
    let looked = run(&["journal", "verify", &folder.join("state").display().to_string()]);
    assert!(looked.status.success() && said(&looked).contains("0 texts owed"), "{}", said(&looked));
    _ = fs::remove_dir_all(folder);
}

#[test]
fn ends_go_to_a_file_or_to_a_callback_until_they_are_heard() {
    for to in ["file", "callback"] {
        let folder = folder(&format!("ends-{to}"));
        // Turned away, each for its own reason: no submit is ever known to have run.
        let (gateway, deaf, listener) = (Server::open(500), Server::open(503), Server::open(204));
        let address = if to == "file" { listener.address } else { deaf.address };
        let text = format!(
            "name = \"n\"\nstate = \"state\"\nlisten = \"127.0.0.1:0\"\n[limits]\nsubmits = 1\n\
             [[products]]\nname = \"charge\"\nrepeat = \"once-only\"\n\
             [[gateways]]\nname = \"g\"\naddress = \"{}\"\ndestination = 1\n\
             [ends]\nto = \"{to}\"\naddress = \"{address}\"\nfile = \"ends.jsonl\"\npath = \"/till/ends\"\n\
             [log]\nlines = \"json\"\n{UNSYNCED}",
            gateway.address
        );
        let file = folder.join("n.toml").display().to_string();
        fs::write(&file, &text).expect("writable");
        let running = Running::start(&file);
        assert!(running.hand_in("charge", "lost", 1, 20_000).starts_with("HTTP/1.1 202"));
        let line = running.line_with("undeliverable");
        let told: serde_json::Value = serde_json::from_str(&line).expect("JSON");
        assert_eq!(
            (&told["text"], &told["dest"], &told["level"]),
            (&"lost".into(), &"1".into(), &"info".into())
        );
        let expected = "{\"end\":\"undeliverable\",\"id\":\"lost\"}\n";
        if to == "file" {
            running.counts("reported", 1);
            assert_eq!(fs::read_to_string(folder.join("ends.jsonl")).expect("ends"), expected);
        } else {
            // Answered 503 it goes again, over the end of the process too, until somebody hears it.
            for _ in 0..2 {
                assert_eq!(deaf.next().body, expected.as_bytes());
            }
            assert_eq!(running.counter("reported"), 0);
            drop(running);
            fs::write(&file, text.replace(&deaf.address.to_string(), &listener.address.to_string()))
                .expect("writable");
            let running = Running::start(&file);
            let heard = listener.next();
            assert_eq!((heard.path.as_str(), &heard.body[..]), ("/till/ends", expected.as_bytes()));
            running.counts("reported", 1);
        }
        _ = fs::remove_dir_all(folder);
    }
}

/// A drain in the file keeps new calls from the gateway within 1 s; a bad file, a cut one and one that takes nearly all
/// away change nothing, and SIGHUP confirms the last.
#[test]
fn a_list_that_is_edited_is_followed_within_a_second() {
    let folder = folder("watched");
    let gateways: Vec<Server> = (0..4).map(|_| Server::open(200)).collect();
    let entry = |at: usize, rest: &'static str| (["a", "b", "c", "d"][at], gateways[at].address, 1, rest);
    let path = folder.join("gateways.toml");
    fs::write(&path, list(&[entry(0, ""), entry(1, ""), entry(2, "")])).expect("writable");
    let file = folder.join("n.toml").display().to_string();
    let text = format!(
        "name = \"n\"\nstate = \"state\"\nlisten = \"127.0.0.1:0\"\n[[products]]\nname = \"notice\"\n\
                repeat = \"resendable\"\n[list]\nfrom = \"files\"\nfiles = \"gateways.toml\"\n{UNSYNCED}"
    );
    fs::write(&file, text).expect("writable");
    let running = Running::start(&file);
    let mut handed = 0;
    let mut give = |running: &Running, count: usize| {
        for _ in 0..count {
            assert!(running.hand_in("notice", &format!("t{handed}"), 1, 20_000).starts_with("HTTP/1.1 202"));
            handed += 1;
        }
        handed
    };
    let clear = |gateways: &[Server]| gateways.iter().for_each(|gateway| _ = gateway.came.try_iter().count());
    // One that is done before the next comes leaves its gateway as good as any: all get some when calls overlap.
    let held: Vec<_> = gateways.iter().map(|gateway| gateway.gate.lock().expect("sound")).collect();
    let given = give(&running, 12);
    let by = Instant::now() + PATIENCE;
    while !gateways[..3].iter().all(|gateway| !gateway.came.is_empty()) {
        assert!(Instant::now() < by, "all three get some");
        thread::sleep(Duration::from_millis(5));
    }
    drop(held);
    running.counts("delivered", given);
    let mut hand_in = |running: &Running, count: usize| running.counts("delivered", give(running, count));
    let swapped = |lists: u64, running: &Running, since: Instant| {
        running.counts("lists", lists);
        assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    };
    let since = Instant::now();
    fs::write(&path, list(&[entry(0, "state = \"drained\""), entry(1, ""), entry(2, "")])).expect("writable");
    swapped(1, &running, since);
    clear(&gateways);
    hand_in(&running, 12);
    assert_eq!((gateways[0].came.len(), gateways[1].came.len() + gateways[2].came.len()), (0, 12));
    // Refused, told with its place, and the list before stays.
    let whole = list(&[entry(0, ""), entry(1, "zone = \"nowhere\""), entry(2, "")]);
    fs::write(&path, &whole).expect("writable");
    assert!(running.line_with("gateways[1].zone").contains("\"nowhere\" is no zone; there are here"));
    running.line_with("the list of 3 gateways stays in force");
    fs::write(&path, &whole[..whole.len() / 2]).expect("writable");
    running.line_with("the file is not whole");
    fs::remove_file(&path).expect("there");
    running.line_with("is not there");
    clear(&gateways);
    hand_in(&running, 6);
    assert_eq!(gateways[0].came.len(), 0);
    // Both that run would go.
    fs::write(&path, list(&[entry(0, "state = \"drained\""), entry(3, "")])).expect("writable");
    running.line_with("would take away 2 of 2 gateways is held back");
    hand_in(&running, 6);
    assert_eq!(gateways[3].came.len(), 0);
    running.signal("-HUP");
    swapped(2, &running, Instant::now());
    clear(&gateways);
    hand_in(&running, 6);
    assert_eq!(gateways[3].came.len(), 6);
    // A gateway that moves to a new address keeps its name.
    let moved = Server::open(200);
    let since = Instant::now();
    fs::write(&path, list(&[("d", moved.address, 1, "")])).expect("writable");
    swapped(3, &running, since);
    clear(&gateways);
    hand_in(&running, 6);
    assert_eq!((moved.came.len(), gateways[3].came.len()), (6, 0));
    // A list that changes in the instant of SIGHUP and SIGTERM: an ordinary end, with the counters.
    fs::write(&path, list(&[("d", moved.address, 1, ""), entry(0, "")])).expect("writable");
    running.signal("-HUP");
    running.signal("-TERM");
    running.line_with("n ends");
    running.line_with(&format!("delivered {handed}"));
    let mut running = running;
    assert!(running.child.wait().expect("it ends").success());
    _ = fs::remove_dir_all(folder);
}

/// A gateway that leaves with a call out, for a key in order: the call ends there, and the next of its key waits for that.
#[test]
fn a_gateway_that_leaves_with_a_call_out_keeps_its_key_waiting() {
    let folder = folder("leaves");
    let listeners: Vec<TcpListener> =
        (0..2).map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port")).collect();
    let addresses: Vec<SocketAddr> = listeners.iter().map(|l| l.local_addr().expect("bound")).collect();
    // Each call comes with the connection on which it is to be answered.
    let (tell, calls) = unbounded();
    for (at, listener) in listeners.into_iter().enumerate() {
        let tell = tell.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let tell = tell.clone();
                thread::spawn(move || {
                    let (mut ring, limits) = (Ring::default(), Limits::of(Grant::new(64, 1024, 64.0)));
                    while matches!(ring.fill(&mut stream), Ok(count) if count > 0) {
                        while let Ok(Some(request)) = take_request(&mut ring, &limits) {
                            let id = request.headers.get("x-request-id").unwrap_or_default().to_owned();
                            _ = tell.send((at, id, stream.try_clone().expect("open")));
                        }
                    }
                });
            }
        });
    }
    let next = || calls.recv_timeout(PATIENCE).expect("a call comes");
    let path = folder.join("gateways.toml");
    fs::write(&path, list(&[("a", addresses[0], 1, ""), ("b", addresses[1], 1, "")])).expect("writable");
    let file = folder.join("n.toml").display().to_string();
    let text = format!(
        "name = \"n\"\nstate = \"state\"\nlisten = \"127.0.0.1:0\"\n[[products]]\nname = \"queue\"\n\
                repeat = \"referenced\"\nin_order = true\nvalidity = \"15s\"\n[list]\nfrom = \"files\"\n\
                files = \"gateways.toml\"\n{UNSYNCED}"
    );
    fs::write(&file, text).expect("writable");
    let running = Running::start(&file);
    let hand_in = |id: &str| {
        // Without a time of its own it has the product's.
        let raw = format!(
            "POST /queue HTTP/1.1\r\nConnection: close\r\nX-Request-ID: {id}\r\nIdempotency-Key: m-{id}\r\n\
             X-Route-Key: till-7\r\nX-Envelope: dest=1\r\nContent-Length: 2\r\n\r\nhi"
        );
        assert!(running.ask(&raw).starts_with("HTTP/1.1 202"));
    };
    hand_in("first");
    let (at, id, mut held) = next();
    assert_eq!(id, "first");
    let stays = [("b", addresses[1], 1, ""), ("a", addresses[0], 1, "")][at];
    fs::write(&path, list(&[stays])).expect("writable");
    running.counts("lists", 1);
    hand_in("second");
    running.counts("taken", 2);
    assert_eq!((running.counter("submitted"), calls.len()), (1, 0));
    held.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("the call is not cut off");
    let (there, id, mut stream) = next();
    assert_eq!((there, id.as_str()), (1 - at, "second"));
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("open");
    running.counts("delivered", 2);
    assert_eq!(running.counter("submitted"), 2);
    _ = fs::remove_dir_all(folder);
}

#[test]
fn a_file_is_checked_shown_and_described_without_a_run() {
    let folder = folder("check");
    let file = folder.join("bad.toml").display().to_string();
    fs::write(&file, "name = \"n\"\nlisten = 5\n[limits]\nslots = 0\n").expect("writable");
    for command in ["check", "run"] {
        let output = run(&[command, &file]);
        assert_eq!(output.status.code(), Some(1), "{}", said(&output));
        for field in [
            "bad.toml:2:10: listen:",
            "bad.toml:4:9: limits.slots:",
            ": state:",
            ": products:",
            ": gateways:",
        ] {
            assert!(said(&output).contains(field), "{command} {field}: {}", said(&output));
        }
    }
    let good = "name = \"n\"\nstate = \"s\"\n[limits]\ndescriptors = 100000000\n[[products]]\nname = \"p\"\n\
                repeat = \"resendable\"\n[[gateways]]\nname = \"g\"\naddress = \"127.0.0.1:9\"\ndestination = 1\n";
    fs::write(&file, good).expect("writable");
    let output = run(&["check", &file]);
    assert_eq!(output.status.code(), Some(1));
    assert!(
        said(&output).contains("limits.descriptors: 100000000 are more than this process may open"),
        "{}",
        said(&output)
    );
    fs::write(&file, good.replace("100000000", "64") + "[journal]\ndurability = \"process\"\n")
        .expect("writable");
    let output = run(&["check", &file]);
    assert!(output.status.success(), "{}", said(&output));
    for warning in ["doesn't outlast a loss of power", "destination 1 has one gateway", "is not there yet"] {
        assert!(said(&output).contains(warning), "{warning}: {}", said(&output));
    }
    let output = run(&["config", "show", &file]);
    let shown = said(&output);
    assert!(
        shown.lines().any(|line| line.starts_with("limits.descriptors =") && line.ends_with("bad.toml:4")),
        "{shown}"
    );
    assert!(
        shown.lines().any(|line| line.starts_with("limits.slots =") && line.ends_with("# default")),
        "{shown}"
    );
    let output = run(&["config", "schema"]);
    let schema: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(schema["required"], serde_json::json!(["name", "state"]));
    assert!(said(&run(&["config", "reference"])).contains("| `list.most_taken_away` |"));
    assert!(said(&run(&["completions", "bash"])).contains("indigomast"));
    assert!(said(&run(&["man"])).contains(".TH"));
    let list = folder.join("list.toml").display().to_string();
    fs::write(&list, "# nothing yet\n").expect("writable");
    assert!(run(&["seal", &list]).status.success());
    assert_eq!(fs::read_to_string(&list).expect("there"), seal("# nothing yet\n"));
    _ = fs::remove_dir_all(folder);
}
