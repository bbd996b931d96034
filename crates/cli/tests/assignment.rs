//! Control processes, agents, orders and a daemon as the program runs them, on loopback.

mod support;

use indigomast_keep::process::free_address;
use serde_json::{Value, json};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};
use support::{PATIENCE, Server, folder, one_endpoint, run, said};

fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let by = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < by, "never: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// A process of `indigomast assignment`, or the daemon; killed when dropped.
struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    /// The first line on standard output says where it listens, and nothing else comes there.
    fn start(kind: &str, file: &Path) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_indigomast"))
            .args(["assignment", kind])
            .arg(file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()
            .expect("it starts");
        let mut line = String::new();
        let output = child.stdout.as_mut().expect("piped");
        BufReader::new(output).read_line(&mut line).expect("a line");
        let address = line.trim_end().strip_prefix("listening on ").and_then(|at| at.parse().ok());
        Process { child, address: address.unwrap_or_else(|| panic!("{line:?}")) }
    }

    fn daemon(config: &Path, state: &Path) -> Process {
        let mut child = Command::new(env!("CARGO_BIN_EXE_indigomast"))
            .arg("daemon")
            .env("ROUTER_CONFIG", config)
            .env("ROUTER_STATE", state)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines();
        let address = loop {
            let line = lines.next().expect("it says where it listens").expect("text");
            if line.contains("listens on ") {
                break line.rsplit(' ').next().and_then(|at| at.parse().ok()).expect("an address");
            }
        };
        thread::spawn(move || lines.for_each(drop));
        Process { child, address }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().expect("kill runs").success());
    }

    /// Ended by a signal: its exit code, if it had one.
    fn end(mut self, signal: &str) -> Option<i32> {
        self.signal(signal);
        self.child.wait().expect("it ends").code()
    }

    fn ask(&self, raw: &str) -> String {
        let mut stream = TcpStream::connect(self.address).expect("it listens");
        stream.set_read_timeout(Some(PATIENCE)).expect("a time is set");
        stream.write_all(raw.as_bytes()).expect("open");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    }

    fn hand_in(&self, id: &str, dest: u64) -> String {
        self.hand_in_for(id, dest, 20_000)
    }

    fn hand_in_for(&self, id: &str, dest: u64, millis: u64) -> String {
        self.ask(&format!(
            "POST /free HTTP/1.1\r\nConnection: close\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: {millis}\r\n\
             X-Envelope: dest={dest}\r\nContent-Length: 5\r\n\r\nhello"
        ))
    }

    fn get(&self, path: &str) -> (String, Value) {
        let answer = self.ask(&format!("GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n"));
        let (head, body) = answer.split_once("\r\n\r\n").expect("a head");
        (head[9..12].to_owned(), serde_json::from_str(body).unwrap_or(Value::Null))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

struct Files {
    path: PathBuf,
    control: SocketAddr,
}

impl Files {
    fn new(name: &str) -> Files {
        let path = folder(name);
        fs::write(path.join("fleet.key"), "the key of these tests").expect("written");
        Files { path, control: free_address().expect("a port") }
    }

    fn control(&self) -> PathBuf {
        let at = self.control;
        self.file(
            "control.toml",
            &format!(
                "number = 0\nlisten = \"{at}\"\ncontrols = [\"{at}\"]\nkey = \"fleet.key\"\nstate = \"state\"\nshards = 64\n"
            ),
        )
    }

    fn agent(&self, listen: SocketAddr, more: &str) -> PathBuf {
        let at = self.control;
        self.file(
            "agent.toml",
            &format!(
                "sender = 4\nlisten = \"{listen}\"\nrelays = [\"{at}\"]\nkey = \"fleet.key\"\nstate = \"agent\"\nshards = 64\n{more}"
            ),
        )
    }

    fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path.join(name);
        fs::write(&path, text).expect("written");
        path
    }

    fn order_raw(&self, order: &Value) -> Output {
        let key = self.path.join("fleet.key");
        let (address, key, order) =
            (self.control.to_string(), key.to_str().expect("text"), order.to_string());
        run(&["assignment", "order", &address, "--key", key, &order])
    }

    fn order(&self, order: &Value) -> Value {
        let output = self.order_raw(order);
        assert!(output.status.success(), "{order}: {}", said(&output));
        serde_json::from_slice(&output.stdout).expect("JSON")
    }

    /// Epoch and revision by which it is on the disk.
    fn done(&self, order: &Value) -> (u64, u64) {
        let answer = self.order(order);
        let at = |n: usize| answer["position"][n].as_u64();
        at(0).zip(at(1)).unwrap_or_else(|| panic!("{order}: {answer}"))
    }
}

impl Drop for Files {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.path);
    }
}

fn member(id: &str, at: SocketAddr, destination: u64) -> String {
    json!({"id": id, "host_port": at.to_string(), "locality": "a", "flavor": "k", "cell": destination,
        "phase": "Ready", "size": 1.0, "up_since_ms": 0})
    .to_string()
}

#[test]
fn a_daemon_takes_its_part_from_its_agent_follows_changes_and_outlives_it() {
    let files = Files::new("daemon");
    let (first, second, third, platform) =
        (Server::open(200), Server::open(200), Server::open(200), Server::open(204));
    let control = Process::start("control", &files.control());
    let listen = free_address().expect("a port");
    let more = format!("reports = \"{}\"\n", platform.address);
    let agent = Process::start("agent", &files.agent(listen, &more));
    // The daemon is as it always was: its discovery is the agent, and its file tells of one endpoint.
    let config = one_endpoint(first.address, agent.address, 8, 100);
    fs::create_dir(files.path.join("daemon")).expect("a folder");
    let daemon = Process::daemon(&files.file("config.json", &config.to_string()), &files.path.join("daemon"));
    // The agent has no part yet and says so: the daemon goes on with what it knows.
    assert_eq!(agent.get("/discovery/hosts").0, "503");
    assert!(daemon.hand_in("a1", 0).starts_with("HTTP/1.1 202"));
    first.next();
    files.done(&json!({"promote": {"epoch": 1}}));
    files.done(&json!({"members": [[4, {"region": 0, "zone": 0}]]}));
    files.done(&json!({"put": {"destination": 0, "weight": 1, "body": member("e0", first.address, 0)}}));
    files.done(&json!({"put": {"destination": 1, "weight": 1, "body": member("e1", second.address, 1)}}));
    let goes = |dest: u64, tag: &str| {
        until(&format!("destination {dest} is known"), || {
            static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
            let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
            daemon.hand_in(&format!("{tag}{number}"), dest).starts_with("HTTP/1.1 202").then_some(())
        });
    };
    goes(1, "b");
    second.next();
    // An endpoint that changes.
    files.done(&json!({"put": {"destination": 1, "weight": 1, "body": member("e2", third.address, 1)}}));
    until("the other endpoint is called", || {
        goes(1, "c");
        third.came.recv_timeout(Duration::from_millis(200)).ok()
    });
    // A destination that goes.
    files.done(&json!({"remove": {"destination": 0}}));
    // What is taken on for it ends by a notice, which reaches the platform through the agent.
    let notice = until("destination 0 has gone", || {
        static NEXT: std::sync::atomic::AtomicUsize = std::sync::atomic::AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let id = format!("d{number}");
        daemon.hand_in_for(&id, 0, 400);
        let (_, notice) = platform.came.recv_timeout(Duration::from_millis(800)).ok()?;
        Some((number, notice))
    });
    let told = String::from_utf8(notice.1.body).expect("text");
    assert!(notice.1.path == "/reports" && told.contains("\"id\":\"d"), "{told}");
    // Killed, its agent comes back with the same part and a later revision; the daemon goes on meanwhile and afterwards.
    let before = agent.get("/discovery/hosts").1;
    assert_eq!(agent.end("-KILL"), None);
    goes(1, "e");
    let agent = Process::start("agent", &files.agent(listen, &more));
    let (status, after) = agent.get("/discovery/hosts");
    assert_eq!((status.as_str(), &after["members"]), ("200", &before["members"]));
    assert!(after["revision"].as_u64() > before["revision"].as_u64());
    files.done(&json!({"put": {"destination": 7, "weight": 1, "body": member("e7", second.address, 7)}}));
    goes(7, "f");
    assert_eq!((agent.end("-TERM"), control.end("-TERM")), (Some(0), Some(0)));
}

#[test]
fn what_was_answered_outlives_a_kill_at_any_moment() {
    let files = Files::new("kills");
    let mut control = Process::start("control", &files.control());
    let mut last = (0, 0);
    for life in 1..=4u64 {
        files.done(&json!({"promote": {"epoch": life}}));
        files.done(&json!({"members": [[4, {"region": 0, "zone": 0}]]}));
        // Orders come one after the other until the process is killed under them.
        let id = control.child.id().to_string();
        let killer = thread::spawn(move || {
            thread::sleep(Duration::from_millis(60 + 35 * life));
            assert!(Command::new("kill").args(["-KILL", &id]).status().expect("kill runs").success());
        });
        let mut answered = Vec::new();
        for destination in life * 1000.. {
            let body = format!("life {life}");
            let output =
                files.order_raw(&json!({"put": {"destination": destination, "weight": 1, "body": body}}));
            let answer = serde_json::from_slice::<Value>(&output.stdout).unwrap_or(Value::Null);
            let Some(revision) = answer["position"][1].as_u64() else { break };
            last = (life, revision);
            answered.push(destination);
        }
        killer.join().expect("killed");
        _ = control.child.wait();
        control = Process::start("control", &files.control());
        let status = files.order(&json!("status"));
        assert_eq!((status["controller"].as_bool(), status["damaged"].is_null()), (Some(false), true));
        let position = (status["position"][0].as_u64(), status["position"][1].as_u64());
        assert!(position >= (Some(last.0), Some(last.1)), "{status} after {last:?}");
        assert!(status["destinations"].as_u64() >= Some(answered.len() as u64), "{status}");
    }
    assert_eq!(control.end("-INT"), Some(0));
}

#[test]
fn what_was_not_written_yet_is_saved_at_the_end() {
    let files = Files::new("ends");
    let control = Process::start("control", &files.control());
    let agent = Process::start("agent", &files.agent(([127, 0, 0, 1], 0).into(), ""));
    files.done(&json!({"promote": {"epoch": 1}}));
    files.done(&json!({"members": [[4, {"region": 0, "zone": 0}]]}));
    files.done(&json!({"put": {"destination": 3, "weight": 1, "body": "x"}}));
    until("it has it", || agent.get("/status").1["destinations"]["3"].is_object().then_some(()));
    assert_eq!((control.end("-TERM"), agent.end("-TERM")), (Some(0), Some(0)));
    // Nobody to ask: what it serves is what it saved.
    let agent = Process::start("agent", &files.agent(([127, 0, 0, 1], 0).into(), ""));
    let shown = agent.get("/status").1;
    assert_eq!(
        (shown["destinations"]["3"]["body"].as_str(), shown["up"].as_bool()),
        (Some("x"), Some(false))
    );
}

#[test]
fn what_can_not_be_used_ends_it_with_one_line_that_names_the_field() {
    let files = Files::new("fields");
    files.file("short.key", "too short");
    let at = files.control;
    let control = fs::read_to_string(files.control()).expect("written");
    let agent = fs::read_to_string(files.agent(([127, 0, 0, 1], 0).into(), "")).expect("written");
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let taken = taken.local_addr().expect("bound").to_string();
    let _held = std::net::TcpListener::bind(&taken);
    let at = at.to_string();
    let list = format!("[\"{at}\"]");
    let cases = [
        ("control", &control, "number = 0", "number = 3", "number: 3"),
        ("control", &control, "number = 0", "number = -1", "number"),
        ("control", &control, "number = 0", "", "number"),
        ("control", &control, "shards = 64", "shards = 0", "shards: 0"),
        ("control", &control, "shards = 64", "shards = \"many\"", "shards"),
        ("control", &control, "shards = 64", "shards = 64\nshard = 1", "shard"),
        ("control", &control, "shards = 64", "shards = 64\nowners = 9", "owners: 9"),
        ("control", &control, "shards = 64", "shards = 64\nmoves_a_second = 0.0", "moves_a_second: 0"),
        ("control", &control, "shards = 64", "shards = 64\nlinger_s = -1.0", "linger_s: -1"),
        ("control", &control, "shards = 64", "shards = 64\nsessions = 0", "sessions: 0"),
        ("control", &control, list.as_str(), "[]", "controls"),
        ("control", &control, list.as_str(), "[\"127.0.0.1:0\"]", "controls[0]"),
        ("control", &control, list.as_str(), "[\"127.0.0.1:9\", \"127.0.0.1:9\"]", "controls[1]"),
        ("control", &control, "\"fleet.key\"", "\"no.key\"", "key"),
        ("control", &control, "\"fleet.key\"", "\"short.key\"", "key"),
        ("control", &control, "\"state\"", "\"fleet.key\"", "state"),
        ("control", &control, "listen = ", "listen = \"nowhere\"\nl = ", "listen"),
        ("agent", &agent, "shards = 64", "", "shards"),
        ("agent", &agent, list.as_str(), "[]", "relays"),
        ("agent", &agent, "127.0.0.1:0", "0.0.0.0:0", "listen"),
        ("agent", &agent, "127.0.0.1:0", taken.as_str(), "listen"),
        ("agent", &agent, "shards = 64", "shards = 64\nreports = \"127.0.0.1:0\"", "reports"),
        ("agent", &agent, "\"agent\"", "\"fleet.key\"", "state"),
        ("agent", &agent, "sender = 4", "sender = \"four\"", "sender"),
    ];
    for (kind, text, from, to, field) in cases {
        let path = files.file("wrong.toml", &text.replace(from, to));
        let output = run(&["assignment", kind, path.to_str().expect("text")]);
        let said = said(&output);
        assert_eq!(output.status.code(), Some(1), "{to}: {said}");
        assert!(said.lines().count() == 1 && said.contains(field), "{to}: {said}");
    }
    let missing = run(&["assignment", "control", "/nowhere/control.toml"]);
    assert_eq!(missing.status.code(), Some(1));
    // Orders: nobody there, no order, no key.
    for (order, wrong) in
        [("\"status\"", at.as_str()), ("{\"promote\": 3}", "order: "), ("nonsense", "order: ")]
    {
        let key = files.path.join("fleet.key");
        let output = run(&["assignment", "order", &at, "--key", key.to_str().expect("text"), order]);
        assert_eq!(output.status.code(), Some(1));
        assert!(said(&output).contains(wrong), "{}", said(&output));
    }
}

#[test]
fn the_examples_under_deploy_can_be_used() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let files = Files::new("examples");
    for (kind, name) in [("control", "control.example.toml"), ("agent", "agent.example.toml")] {
        let text = fs::read_to_string(deploy.join(name)).expect("it is there");
        // On a port of this test's own.
        let lines = text.lines().map(|line| match line.strip_prefix("listen = ") {
            Some(_) => "listen = \"127.0.0.1:0\"",
            None => line,
        });
        let path = files.file(name, &lines.collect::<Vec<_>>().join("\n"));
        let process = Process::start(kind, &path);
        assert_eq!(process.end("-TERM"), Some(0), "{name}");
    }
}
