//! The program as people run it, and the servers around it, for tests and for the bench of a reload.

// Not each of them uses all of it.
#![allow(dead_code)]

use crossbeam_channel::{Receiver, Sender, unbounded};
use indigomast_config::gateways::seal;
use indigomast_sender::http::{Request, take_request};
use indigomast_sender::limits::{Grant, Limits};
use indigomast_sender::ring::Ring;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub const PATIENCE: Duration = Duration::from_secs(20);

/// A disk that takes 0.4 s to sync, as one does that others keep busy, is answered 503, and is not what these test.
#[allow(dead_code, reason = "the bench has none of its own")]
pub const UNSYNCED: &str = "[journal]\ndurability = \"process\"\n";

/// Folders lie in memory where the system has such a place: nothing here asks how fast a disk is that builds keep busy.
fn base() -> PathBuf {
    let memory = PathBuf::from("/dev/shm");
    if memory.is_dir() { memory } else { PathBuf::from(env!("CARGO_TARGET_TMPDIR")) }
}

pub fn folder(name: &str) -> PathBuf {
    let path = base().join(format!("indigomast-install-{name}-{}", std::process::id()));
    _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a folder");
    path
}

pub fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_indigomast"))
        .args(arguments)
        .stdin(Stdio::null())
        .output()
        .expect("it runs")
}

pub fn said(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// A server that tells of each request and answers all alike.
pub struct Server {
    pub address: SocketAddr,
    pub came: Receiver<(Instant, Request)>,
    /// While this is locked it answers nothing.
    pub gate: Arc<Mutex<()>>,
}

impl Server {
    pub fn open(status: u16) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let (tell, came) = unbounded();
        let gate = Arc::<Mutex<()>>::default();
        let passed = Arc::clone(&gate);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (tell, gate) = (tell.clone(), Arc::clone(&passed));
                thread::spawn(move || serve(stream, status, &tell, &gate));
            }
        });
        Server { address, came, gate }
    }

    pub fn next(&self) -> Request {
        self.came.recv_timeout(PATIENCE).expect("a request comes").1
    }
}

fn serve(mut stream: TcpStream, status: u16, tell: &Sender<(Instant, Request)>, gate: &Mutex<()>) {
    let (mut ring, limits) = (Ring::default(), Limits::of(Grant::new(64, 1024, 64.0)));
    loop {
        while let Ok(Some(request)) = take_request(&mut ring, &limits) {
            _ = tell.send((Instant::now(), request));
            drop(gate.lock().unwrap_or_else(PoisonError::into_inner));
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

pub struct Running {
    pub child: Child,
    pub address: SocketAddr,
    pub lines: Receiver<String>,
}

impl Running {
    pub fn start(file: &str) -> Running {
        let mut child = Command::new(env!("CARGO_BIN_EXE_indigomast"))
            .args(["run", file])
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let (told, lines) = unbounded();
        let output = BufReader::new(child.stderr.take().expect("piped"));
        thread::spawn(move || output.lines().map_while(Result::ok).try_for_each(|line| told.send(line)));
        let mut running = Running { child, address: ([0, 0, 0, 0], 0).into(), lines };
        let line = running.line_with("listens on ");
        running.address = line.rsplit(' ').next().and_then(|at| at.parse().ok()).expect("an address");
        running
    }

    pub fn line_with(&self, words: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(PATIENCE).unwrap_or_else(|e| panic!("{words:?}: {e}"));
            if line.contains(words) {
                return line;
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    pub fn ask(&self, raw: &str) -> String {
        let mut stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time is set");
        stream.write_all(raw.as_bytes()).expect("open");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    }

    pub fn hand_in(&self, product: &str, id: &str, dest: u64, millis: u64) -> String {
        self.ask(&format!(
            "POST /{product} HTTP/1.1\r\nConnection: close\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: {millis}\r\n\
             X-Envelope: dest={dest}\r\nContent-Length: 5\r\n\r\nhello"
        ))
    }

    pub fn counter(&self, name: &str) -> u64 {
        let answer = self.ask("GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n");
        let line = answer.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
        line.and_then(|value| value.trim().parse().ok()).unwrap_or_else(|| panic!("no {name} in {answer}"))
    }

    pub fn counts(&self, name: &str, value: u64) {
        let by = Instant::now() + PATIENCE;
        while self.counter(name) < value && Instant::now() < by {
            thread::sleep(Duration::from_millis(5));
        }
        assert_eq!(self.counter(name), value, "{name}");
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

pub fn list(gateways: &[(&str, SocketAddr, u64, &str)]) -> String {
    let gateway = |(name, address, dest, rest): &(&str, SocketAddr, u64, &str)| {
        format!("[[gateways]]\nname = \"{name}\"\naddress = \"{address}\"\ndestination = {dest}\n{rest}\n")
    };
    seal(&gateways.iter().map(gateway).collect::<String>())
}

/// The configuration of a sender of two products with one endpoint, which is at work on `slots` calls at once at the most
/// and holds `held` texts.
pub fn one_endpoint(
    endpoint: SocketAddr,
    platform: SocketAddr,
    slots: usize,
    held: usize,
) -> serde_json::Value {
    use serde_json::json;
    let category = |name: &str, repeat: &str| {
        json!({"name": name, "objective-ms": 3000.0, "deadline-ms": 24000.0, "repeat": repeat, "group": "all",
            "in-order": false, "window-ms": 15000.0, "worth": 1.0, "late-worth": 0.5,
        "stream": false})
    };
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": platform.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3},
        "known": {"revision": 41, "complete": true, "members": [{"id": "e0", "host_port": endpoint.to_string(),
            "locality": "a", "flavor": "k", "cell": 0, "phase": "Ready", "size": 1.0, "up_since_ms": 0}]},
        "settings": {
            "group-size": 1, "ordinal": 0, "kinds": ["k"], "localities": ["a"], "tick-ms": 5.0,
            "categories": [category("free", "read_like"), category("once", "non_idempotent")],
            "family-info": {"call-slots": slots, "kind-batch": [1], "routes-apart": [false]},
            "membership-mode": "subscribe", "weight-kind": "silent",
            "obligations": {"cold-share": 0.2, "cold-ms": 10000.0, "tip-multiple": 2.0,
                "must-ask-in-ms": 10000.0, "settle-after-doubt-ms": 100.0},
            "ceilings": {"max-attempts": 6, "most-held": held, "keepalive-ms": 10000.0,
                "connect-timeout-ms": 1500.0, "retry-after": true, "max-retry-after-ms": 2000.0},
        },
    })
}
