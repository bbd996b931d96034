//! Folders, processes within the test's own, and hands that speak the lines.

use indigomast_assignment::catalog::Position;
use indigomast_assignment::wire::{Frame, Hello, Record, VERSION, open_hello};
use indigomast_control_plane::agent::Agent;
use indigomast_control_plane::config;
use indigomast_control_plane::control::Control;
use indigomast_control_plane::limits::Limits;
use indigomast_control_plane::order::{self, Order, Place};
use indigomast_keep::process::free_address;
use indigomast_rollout::wire::Secret;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Nothing here takes so long; a test that waits longer is lost.
pub const PATIENCE: Duration = Duration::from_secs(30);
pub const SHARDS: u32 = 64;
const KEY: &[u8] = b"the key of these tests";

/// A folder of a test's own, gone with it.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        // Nothing here asks how fast a disk is that builds keep busy.
        let memory = Path::new("/dev/shm");
        let base = if memory.is_dir() { memory } else { Path::new(env!("CARGO_TARGET_TMPDIR")) };
        let path = base.join(format!("indigomast-control-plane-{}-{number}", std::process::id()));
        _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder for the test");
        fs::write(path.join("fleet.key"), KEY).expect("written");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.0);
    }
}

pub fn secret() -> Secret {
    Secret::new(KEY).expect("long enough")
}

/// Looks until it is there.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let by = Instant::now() + PATIENCE;
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < by, "never: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Control processes and agents, each of which can be stopped and started again.
pub struct Fleet {
    pub folder: Folder,
    pub addresses: Vec<SocketAddr>,
    pub controls: Vec<Option<Control>>,
    pub agents: BTreeMap<u32, Agent>,
    pub limits: Limits,
}

impl Fleet {
    pub fn new(controls: usize) -> Fleet {
        let addresses = (0..controls).map(|_| free_address().expect("a free port")).collect();
        let mut fleet = Fleet {
            folder: Folder::new(),
            addresses,
            controls: (0..controls).map(|_| None).collect(),
            agents: BTreeMap::new(),
            limits: Limits::default(),
        };
        (0..controls).for_each(|number| fleet.start(number));
        fleet
    }

    pub fn control_config(&self, number: usize) -> config::Control {
        let file = self.folder.0.join(format!("control-{number}.toml"));
        let controls: Vec<String> = self.addresses.iter().map(|address| format!("{address:?}")).collect();
        let listen = self.addresses[number];
        let controls = controls.join("\", \"");
        let text = format!(
            "number = {number}\nlisten = \"{listen}\"\ncontrols = [\"{controls}\"]\nkey = \"fleet.key\"\n\
             state = \"state-{number}\"\nshards = {SHARDS}\nlinger_s = 1.0\n"
        );
        fs::write(&file, text).expect("written");
        config::Control::load(&file).expect("a good file")
    }

    pub fn start(&mut self, number: usize) {
        let config = self.control_config(number);
        // The port is free once the one before has gone for good.
        let started = until("the port is free", || Control::start(&config, self.limits.clone()).ok());
        self.controls[number] = Some(started);
    }

    pub fn stop(&mut self, number: usize) {
        self.controls[number].take().expect("it runs").stop();
    }

    pub fn state(&self, number: usize) -> PathBuf {
        self.folder.0.join(format!("state-{number}"))
    }

    pub fn agent_config(&self, sender: u32, relays: &[SocketAddr]) -> config::Agent {
        let file = self.folder.0.join(format!("agent-{sender}.toml"));
        let relays: Vec<String> = relays.iter().map(|address| format!("{address:?}")).collect();
        let relays = relays.join("\", \"");
        let text = format!(
            "sender = {sender}\nlisten = \"127.0.0.1:0\"\nrelays = [\"{relays}\"]\nkey = \"fleet.key\"\n\
             state = \"agent-{sender}\"\nshards = {SHARDS}\n"
        );
        fs::write(&file, text).expect("written");
        config::Agent::load(&file).expect("a good file")
    }

    pub fn start_agent(&mut self, sender: u32, relays: &[usize]) {
        let relays: Vec<SocketAddr> = relays.iter().map(|relay| self.addresses[*relay]).collect();
        let config = self.agent_config(sender, &relays);
        let agent = Agent::start(&config, self.limits.clone()).expect("it starts");
        self.agents.insert(sender, agent);
    }

    pub fn stop_agent(&mut self, sender: u32) {
        self.agents.remove(&sender).expect("it runs").stop();
    }

    /// An order's answer.
    pub fn ask(&self, number: usize, order: Order) -> Value {
        order::ask(self.addresses[number], &secret(), &order, PATIENCE).expect("an answer")
    }

    /// An order that is carried out: epoch and revision.
    pub fn order(&self, number: usize, order: Order) -> (u64, u64) {
        let answer = self.ask(number, order.clone());
        let at = |n: usize| answer["position"][n].as_u64();
        at(0).zip(at(1)).unwrap_or_else(|| panic!("{order:?}: {answer}"))
    }

    pub fn status(&self, number: usize) -> Value {
        self.ask(number, Order::Status)
    }

    pub fn put(&self, number: usize, destination: u32, body: &str) -> (u64, u64) {
        self.order(number, Order::Put { destination, weight: 1, body: body.into() })
    }

    /// Each in a region of its own where there are two.
    pub fn members(&self, number: usize, senders: &[u32]) -> (u64, u64) {
        let place = |sender: &u32| Place { region: *sender as u16 % 2, zone: *sender as u16 };
        self.order(number, Order::Members(senders.iter().map(|s| (*s, Some(place(s)))).collect()))
    }

    /// Until an agent's status is so.
    pub fn agent_until(&self, sender: u32, what: &str, is: impl Fn(&Value) -> bool) -> Value {
        let address = self.agents[&sender].address;
        until(&format!("agent {sender}: {what}"), || {
            let (status, body) = get(address, "/status")?;
            let shown: Value = serde_json::from_str(&body).ok()?;
            (status == 200 && is(&shown)).then_some(shown)
        })
    }

    /// Until an agent has what was answered with this position, or later.
    pub fn agent_has(&self, sender: u32, position: (u64, u64)) -> Value {
        self.agent_until(sender, &format!("has {position:?}"), |shown| {
            let at = |n: usize| shown["position"][n].as_u64().unwrap_or(0);
            (at(0), at(1)) >= position
        })
    }

    pub fn page(&self, sender: u32) -> (u16, Value) {
        page(self.agents[&sender].address, "/discovery/hosts")
    }
}

/// A member of a destination as the list has it.
pub fn member(destination: u32, id: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"127.0.0.1:8443\",\"locality\":\"a\",\"flavor\":\"k\",\"cell\":{destination},\
         \"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":0}}"
    )
}

/// One call on a connection of its own; none where it isn't answered whole.
pub fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    call(address, format!("GET {path} HTTP/1.1\r\nHost: agent\r\nConnection: close\r\n\r\n").as_bytes())
}

pub fn call(address: SocketAddr, request: &[u8]) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(request).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let status = answer.get(9..12)?.parse().ok()?;
    Some((status, answer.split_once("\r\n\r\n")?.1.to_owned()))
}

pub fn page(address: SocketAddr, path: &str) -> (u16, Value) {
    let (status, body) = get(address, path).expect("an answer");
    (status, serde_json::from_str(&body).unwrap_or(Value::Null))
}

/// The ids on a page, and whether each is `Gone`.
pub fn ids(page: &Value) -> Vec<(String, bool)> {
    let members = page["members"].as_array().expect("members");
    members
        .iter()
        .map(|member| (member["id"].as_str().expect("an id").to_owned(), member["phase"] == "Gone"))
        .collect()
}

/// A connection that says what it is told to, and reads lines.
pub struct Hand {
    stream: TcpStream,
    pub lines: BufReader<TcpStream>,
}

impl Hand {
    pub fn to(address: SocketAddr) -> Hand {
        Hand::of(TcpStream::connect(address).expect("it listens"))
    }

    pub fn of(stream: TcpStream) -> Hand {
        stream.set_read_timeout(Some(PATIENCE)).expect("a time is set");
        let lines = BufReader::new(stream.try_clone().expect("a copy"));
        Hand { stream, lines }
    }

    pub fn say(&mut self, bytes: impl AsRef<[u8]>) {
        // It may have been ended by the other side already; what is looked at is what that did.
        _ = self.stream.write_all(bytes.as_ref());
    }

    pub fn line(&mut self, line: &str) {
        self.say(format!("{line}\n"));
    }

    /// The next line; None at the end.
    pub fn next(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.lines.read_line(&mut line) {
            Ok(count) if count > 0 => Some(line.trim_end().to_owned()),
            _ => None,
        }
    }

    pub fn shut(&self) {
        _ = self.stream.shutdown(Shutdown::Both);
    }

    pub fn ended(&mut self) {
        while self.next().is_some() {}
    }
}

/// A relay that isn't one: takes an agent's or a relay's connection and says what it is told to.
pub fn taken(listener: &TcpListener) -> (Hand, Hello) {
    let (stream, _) = listener.accept().expect("it comes");
    let mut hand = Hand::of(stream);
    let line = hand.next().expect("a first line");
    (hand, open_hello(&secret(), &line).expect("good"))
}

pub fn frame(number: u64, at: Position, through: Option<Position>, records: Vec<Record>) -> Frame {
    Frame { version: VERSION, number, at, through, records }
}

/// A file that holds up whoever writes it, until it is released or dropped.
pub struct Held(Option<PathBuf>);

pub fn hold(path: &Path) -> Held {
    assert!(Command::new("mkfifo").arg(path).status().expect("mkfifo runs").success());
    Held(Some(path.to_owned()))
}

impl Held {
    /// Takes what is written; syncing such a file fails, so the writer finds a disk that failed once.
    pub fn release(mut self) -> thread::JoinHandle<()> {
        let path = self.0.take().expect("held");
        thread::spawn(move || _ = fs::read(path))
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        // A test that fails must not wait for ever for the writer to end. Opened both ways a pipe waits for nobody, and it
        // stays open, before the folder it lies in is gone.
        if let Some(path) = self.0.take()
            && let Ok(file) = fs::File::options().read(true).write(true).open(path)
        {
            std::mem::forget(file);
        }
    }
}
