//! Times of connections that a reload puts in force: lines made before it keep to them as well.

use crate::common::*;
use rustix::net::listen;
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

fn reload(daemon: &Daemon, config: &Value, folder: &Folder) {
    std::fs::write(folder.0.join("config.json"), config.to_string()).expect("the folder is there");
    daemon.signal("-HUP");
    daemon.line_with("is in force");
}

/// The endpoint closes what rests for longer than the new time: a call on it would be a doubt.
#[test]
fn a_line_that_rests_is_kept_no_longer_than_a_reload_says() {
    let (endpoint, discovery) = (Host::open(), Host::open());
    let mut config = config(&[member("e0", &endpoint, 0, "Ready")], discovery.address);
    config["settings"]["family-info"]["kind-batch"] = json!([5]);
    let folder = Folder::new();
    let daemon = Daemon::start(&config, &folder);
    for id in ["a", "b"] {
        assert_eq!(daemon.hand_in("free", id, 0), 202);
        endpoint.next().delivers();
        daemon.counts("delivered", if id == "a" { 1 } else { 2 });
    }
    assert_eq!(endpoint.connections(), 1, "the line rests and is used again");
    // What rests at all has rested for too long.
    config["settings"]["ceilings"]["keepalive-ms"] = json!(1.0);
    reload(&daemon, &config, &folder);
    assert_eq!(daemon.hand_in("free", "c", 0), 202);
    endpoint.next().delivers();
    daemon.counts("delivered", 3);
    assert_eq!(endpoint.connections(), 2);
}

#[test]
fn a_connection_is_waited_for_no_longer_than_a_reload_says() {
    // Its packets are dropped: there is room for one, and that one is taken.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listen(&listener, 0).expect("it listens");
    let address = listener.local_addr().expect("bound");
    let _fills = TcpStream::connect(address).expect("there is room for one");
    let discovery = Host::open();
    let mut listed = member("e0", &discovery, 0, "Ready");
    listed["host_port"] = json!(address.to_string());
    let mut config = config(&[listed], discovery.address);
    config["settings"]["ceilings"]["connect-timeout-ms"] = json!(8000.0);
    let folder = Folder::new();
    let daemon = Daemon::start(&config, &folder);
    config["settings"]["ceilings"]["connect-timeout-ms"] = json!(100.0);
    reload(&daemon, &config, &folder);
    let since = Instant::now();
    assert_eq!(daemon.hand_in("free", "a", 0), 202);
    while daemon.counter("unconnected") == 0 {
        assert!(since.elapsed() < Duration::from_secs(3), "no attempt is over");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Whether a connect to this address is under way, by the system's table of sockets.
fn connects(address: SocketAddr) -> bool {
    let remote = format!("0100007F:{:04X} 02", address.port());
    std::fs::read_to_string("/proc/net/tcp").expect("Linux has it").contains(&remote)
}

/// Guards against a call that waits for a lost packet, which the system sends again only after a second.
#[test]
fn a_connection_that_is_long_in_coming_is_tried_again() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listen(&listener, 0).expect("it listens");
    let address = listener.local_addr().expect("bound");
    let (discovery, folder) = (Host::open(), Folder::new());
    let mut listed = member("e0", &discovery, 0, "Ready");
    listed["host_port"] = json!(address.to_string());
    let daemon = Daemon::start(&config(&[listed], discovery.address), &folder);
    let answers = |listener: &TcpListener| {
        let (mut stream, _) = listener.accept().expect("it comes");
        let mut bytes = [0; 1024];
        while !bytes.windows(5).any(|end| end == b"hello") {
            let count = stream.read(&mut bytes).expect("a call");
            assert!(count > 0, "a whole call");
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("open");
        stream
    };
    assert_eq!(daemon.hand_in("free", "a", 0), 202);
    let _first = answers(&listener);
    daemon.counts("delivered", 1);
    // There is room for one, and that one is taken.
    let _fills = TcpStream::connect(address).expect("there is room for one");
    assert_eq!(daemon.hand_in("free", "b", 0), 202);
    while !connects(address) {
        thread::yield_now();
    }
    let since = Instant::now();
    let _filled = listener.accept().expect("it is there");
    let _second = answers(&listener);
    assert!(since.elapsed() < Duration::from_millis(700), "{:?}", since.elapsed());
    daemon.counts("delivered", 2);
    assert!(daemon.counter("connects_repeated") >= 1);
}

/// The time within which a sender has to ask, its number and how many there are may all change.
#[test]
fn the_list_is_asked_for_as_often_as_a_reload_says() {
    let (endpoint, discovery) = (Host::open(), Host::open());
    let members = [member("e0", &endpoint, 0, "Ready")];
    let mut config = config(&members, discovery.address);
    config["settings"]["group-size"] = json!(100);
    let folder = Folder::new();
    let daemon = Daemon::start(&config, &folder);
    let page = ok_json(&json!({"revision": 43, "complete": true, "members": members}).to_string());
    discovery.next().answer(page.clone());
    daemon.counts("lists", 1);
    config["settings"]["obligations"]["must-ask-in-ms"] = json!(1000.0);
    reload(&daemon, &config, &folder);
    discovery.next().answer(page);
    let since = Instant::now();
    let again = discovery.next();
    assert!(since.elapsed() < Duration::from_secs(3), "{:?}", since.elapsed());
    assert_eq!(again.request.path, "/discovery/hosts");
    // A fleet that is small by now watches.
    config["settings"]["group-size"] = json!(3);
    reload(&daemon, &config, &folder);
    discovery
        .next()
        .answer(ok_json(&json!({"revision": 44, "complete": true, "members": members}).to_string()));
    assert!(discovery.next().request.path.starts_with("/discovery/hosts?from=44&hold_ms="));
}
