//! A change in stages over real processes: keepers, senders, a controller, clients and an endpoint, on loopback.

mod support;

use indigomast_sender::http::take_request;
use indigomast_sender::limits::{Grant, Limits};
use indigomast_sender::ring::Ring;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::one_endpoint;

const PATIENCE: Duration = Duration::from_secs(60);

fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_indigomast"));
    command.args(arguments).stdin(Stdio::null());
    command
}

/// Answers everything at once, and counts how often each text came.
struct Endpoint {
    address: SocketAddr,
    came: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Endpoint {
    fn open() -> Endpoint {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("bound");
        let came: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
        let counts = Arc::clone(&came);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let counts = Arc::clone(&counts);
                thread::spawn(move || serve(stream, &counts));
            }
        });
        Endpoint { address, came }
    }
}

fn serve(mut stream: TcpStream, counts: &Mutex<BTreeMap<String, u32>>) {
    let (mut ring, limits) = (Ring::default(), Limits::of(Grant::new(192, 1024, 3.0)));
    loop {
        while let Ok(Some(request)) = take_request(&mut ring, &limits) {
            let id = request.headers.get("x-request-id").unwrap_or("").to_owned();
            *counts.lock().expect("no panic").entry(id).or_default() += 1;
            if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                return;
            }
        }
        if !matches!(ring.fill(&mut stream), Ok(count) if count > 0) {
            return;
        }
    }
}

/// What is asked for the list hears: the whole of it at once, or after a while that nothing has changed.
fn list(path: &str, endpoint: SocketAddr) -> String {
    let complete = !path.contains("from=");
    let members = if complete {
        one_endpoint(endpoint, endpoint, 1, 1)["known"]["members"].as_array().cloned().expect("a list")
    } else {
        Vec::new()
    };
    if path.contains("hold_ms=4000") {
        thread::sleep(Duration::from_secs(1));
    }
    let page = serde_json::json!({"revision": 41, "complete": complete, "members": members}).to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}", page.len())
}

/// Takes notices, and has a list of one endpoint that never changes.
fn platform(endpoint: SocketAddr) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                let (mut ring, limits) = (Ring::default(), Limits::of(Grant::new(192, 1024, 3.0)));
                loop {
                    while let Ok(Some(request)) = take_request(&mut ring, &limits) {
                        let answer = if request.method == "POST" {
                            "HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n".to_owned()
                        } else {
                            list(&request.path, endpoint)
                        };
                        if stream.write_all(answer.as_bytes()).is_err() {
                            return;
                        }
                    }
                    if !matches!(ring.fill(&mut stream), Ok(count) if count > 0) {
                        return;
                    }
                }
            });
        }
    });
    address
}

fn settings(endpoint: SocketAddr, platform: SocketAddr, held: usize) -> Value {
    one_endpoint(endpoint, platform, 24, held)
}

/// A keeper's process; its sender ends with the test, however that ends.
struct Keeper {
    file: PathBuf,
    child: Child,
    orders: SocketAddr,
    clients: SocketAddr,
}

fn keep(file: &Path) -> (Child, SocketAddr, SocketAddr) {
    try_keep(file).unwrap_or_else(|said| panic!("{said:?}"))
}

/// What the keeper said, where it did not come up.
fn try_keep(file: &Path) -> Result<(Child, SocketAddr, SocketAddr), Vec<String>> {
    let mut child =
        program(&["keep", &file.display().to_string()]).stderr(Stdio::piped()).spawn().expect("it starts");
    let mut lines = BufReader::new(child.stderr.take().expect("piped")).lines().map_while(Result::ok);
    let mut said = Vec::new();
    let line = lines.by_ref().find(|line| {
        said.push(line.clone());
        line.contains("hears orders at")
    });
    let Some(line) = line else {
        _ = child.wait();
        return Err(said);
    };
    thread::spawn(move || lines.for_each(drop));
    let word = |after: &str| {
        let rest = line.split(after).nth(1).expect("it says so");
        rest.split_whitespace().next().and_then(|word| word.parse().ok()).expect("an address")
    };
    Ok((child, word("hears orders at "), word("clients at ")))
}

impl Keeper {
    /// Another keeper for the same sender.
    fn again(&mut self) {
        self.kill();
        let (child, orders, clients) = keep(&self.file);
        assert_eq!((orders, clients), (self.orders, self.clients));
        self.child = child;
    }

    fn kill(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }

    /// The sender's process and its second address.
    fn process(&self) -> Option<(i32, SocketAddr)> {
        let text = fs::read_to_string(self.file.with_file_name("record").join("process")).ok()?;
        let (pid, control) = text.trim().split_once(' ')?;
        Some((pid.parse().ok()?, control.parse().ok()?))
    }

    fn signal(&self, name: &str) {
        let (pid, _) = self.process().expect("a process");
        assert!(Command::new("kill").args([name, &pid.to_string()]).status().expect("kill runs").success());
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.kill();
        if let Some((pid, _)) = self.process() {
            _ = Command::new("kill").args(["-9", &pid.to_string()]).status();
        }
    }
}

struct Fleet {
    folder: PathBuf,
    endpoint: Endpoint,
    platform: SocketAddr,
    keepers: Vec<Keeper>,
    old: PathBuf,
    key: PathBuf,
}

impl Fleet {
    fn new(name: &str, senders: usize) -> Fleet {
        let base = PathBuf::from("/dev/shm");
        let base = if base.is_dir() { base } else { PathBuf::from(env!("CARGO_TARGET_TMPDIR")) };
        let folder = base.join(format!("indigomast-rollout-{name}-{}", std::process::id()));
        _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("a folder");
        let endpoint = Endpoint::open();
        let platform = platform(endpoint.address);
        let (old, key) = (folder.join("old.json"), folder.join("fleet.key"));
        fs::write(&old, settings(endpoint.address, platform, 2000).to_string()).expect("written");
        fs::write(&key, "a key that these tests share, and nobody else\n").expect("written");
        let mut fleet = Fleet { folder, endpoint, platform, keepers: Vec::new(), old, key };
        for at in 0..senders {
            let own = fleet.folder.join(format!("s{at}"));
            fs::create_dir_all(&own).expect("a folder");
            let file = own.join("keep.toml");
            // Ports of one's own, so that another keeper finds the same ones.
            let free = || indigomast_keep::process::free_address().expect("a port");
            let text = || {
                format!(
                    "name = \"s{at}\"\nlisten = \"{}\"\nclients = \"{}\"\nkey = \"../fleet.key\"\nstate = \"state\"\n\
                 record = \"record\"\nprogram = \"{}\"\narguments = [\"daemon\"]\nsettings = \"../old.json\"\n",
                    free(),
                    free(),
                    env!("CARGO_BIN_EXE_indigomast")
                )
            };
            let (child, orders, clients) = loop {
                fs::write(&file, text()).expect("written");
                match try_keep(&file) {
                    Ok(kept) => break kept,
                    // Another process, which draws its own, was there before.
                    Err(said) if said.iter().any(|line| line.contains("Address already in use")) => {}
                    Err(said) => panic!("{said:?}"),
                }
            };
            fleet.keepers.push(Keeper { file, child, orders, clients });
        }
        fleet.serves();
        fleet
    }

    /// Waits until every sender takes a text.
    fn serves(&self) {
        let by = Instant::now() + PATIENCE;
        for keeper in &self.keepers {
            while hand_in(keeper.clients, "free", &format!("up-{}", number())) != Some(202) {
                assert!(Instant::now() < by, "{} doesn't serve", keeper.file.display());
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn plan(&self, to: &str, more: &str) -> PathBuf {
        let mut text = format!("name = \"change\"\n[to]\n{to}\n");
        for (at, keeper) in self.keepers.iter().enumerate() {
            text += &format!("[[senders]]\nname = \"s{at}\"\nagent = \"{}\"\n", keeper.orders);
        }
        text += "[[stages]]\ncount = 1\nleast_s = 1\n[[stages]]\nshare = 1.0\nleast_s = 1\n";
        text += more;
        let path = self.folder.join(format!("plan-{}.toml", number()));
        fs::write(&path, text).expect("written");
        path
    }

    /// One stage for all.
    fn plan_of_one(&self, to: &str) -> PathBuf {
        let path = self.plan(to, QUICK);
        let text = fs::read_to_string(&path).expect("a plan");
        let text = text.replacen("[[stages]]\ncount = 1\nleast_s = 1\n", "", 1);
        fs::write(&path, text).expect("written");
        path
    }

    fn script(&self, name: &str, lines: &str) -> PathBuf {
        let path = self.folder.join(name);
        let lines = lines.replace("PROGRAM", env!("CARGO_BIN_EXE_indigomast"));
        fs::write(&path, format!("#!/bin/sh\n{lines}\n")).expect("written");
        fs::set_permissions(&path, fs::Permissions::from_mode(0o755)).expect("set");
        path
    }

    fn begin(&self, plan: &Path, record: &str) -> Child {
        let arguments = [
            "rollout",
            "start",
            &plan.display().to_string(),
            "--record",
            &self.record(record),
            "--key",
            &self.key(),
        ];
        program(&arguments).stdout(Stdio::piped()).stderr(Stdio::piped()).spawn().expect("it starts")
    }

    fn record(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn key(&self) -> String {
        self.key.display().to_string()
    }

    fn status(&self, record: &str) -> Option<Value> {
        let arguments =
            ["rollout", "status", "--record", &self.record(record), "--key", &self.key(), "--json"];
        serde_json::from_slice(&program(&arguments).output().expect("it runs").stdout).ok()
    }

    fn say(&self, record: &str, what: &str) -> Output {
        program(&["rollout", what, "--record", &self.record(record), "--key", &self.key()])
            .output()
            .expect("it runs")
    }

    fn until(&self, record: &str, what: &str, fits: impl Fn(&Value) -> bool) -> Value {
        let by = Instant::now() + PATIENCE;
        loop {
            let status = self.status(record);
            if let Some(status) = status.as_ref().filter(|status| fits(status)) {
                return status.clone();
            }
            assert!(Instant::now() < by, "{what}: {status:?}");
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// The settings' revision that a sender says it runs by.
    fn revision(&self, at: usize) -> String {
        let (_, control) = self.keepers[at].process().expect("a process");
        let mut stream = TcpStream::connect(control).expect("it listens");
        stream.write_all(b"GET /ops/version HTTP/1.1\r\nContent-Length: 0\r\n\r\n").expect("sent");
        let mut text = String::new();
        stream.read_to_string(&mut text).expect("an answer");
        let body = text.split("\r\n\r\n").nth(1).expect("a body");
        serde_json::from_str::<Value>(body).expect("JSON")["revision"].as_str().expect("a word").to_owned()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.keepers.clear();
        if !thread::panicking() {
            _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

fn hand_in(to: SocketAddr, product: &str, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    let request = format!(
        "POST /{product} HTTP/1.1\r\nHost: a\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 20000\r\nX-Envelope: dest=0\r\n\
         Content-Length: 5\r\n\r\nhello"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut head = [0; 12];
    stream.read_exact(&mut head).ok()?;
    std::str::from_utf8(&head).ok()?.strip_prefix("HTTP/1.1 ")?.parse().ok()
}

/// Texts to every sender until it is told to stop; the ids that were taken on, and how many had no answer.
struct Traffic {
    stop: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<(Vec<String>, u64)>>,
}

impl Traffic {
    fn begin(fleet: &Fleet, each: usize, pause: Duration) -> Traffic {
        let stop = Arc::<AtomicBool>::default();
        let to: Vec<SocketAddr> = fleet.keepers.iter().map(|keeper| keeper.clients).collect();
        let clients = to.iter().flat_map(|to| vec![*to; each]).map(|to| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                let (mut taken, mut silent) = (Vec::new(), 0);
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("t{}", number());
                    let product = if number().is_multiple_of(3) { "once" } else { "free" };
                    match hand_in(to, product, &id) {
                        Some(202) => taken.push(id),
                        Some(_) => {}
                        None => silent += 1,
                    }
                    thread::sleep(pause);
                }
                (taken, silent)
            })
        });
        Traffic { clients: clients.collect(), stop }
    }

    fn end(self) -> (Vec<String>, u64) {
        self.stop.store(true, Ordering::Relaxed);
        let each = self.clients.into_iter().map(|client| client.join().expect("it ends"));
        each.fold((Vec::new(), 0), |(mut all, silent), (taken, more)| {
            all.extend(taken);
            (all, silent + more)
        })
    }
}

/// Every text that was taken on comes to the endpoint.
fn all_come(fleet: &Fleet, taken: &[String]) {
    let by = Instant::now() + PATIENCE;
    loop {
        let came = fleet.endpoint.came.lock().expect("no panic");
        let missing: Vec<_> = taken.iter().filter(|id| !came.contains_key(*id)).collect();
        if missing.is_empty() {
            return;
        }
        assert!(Instant::now() < by, "{} of {} never came", missing.len(), taken.len());
        drop(missing);
        drop(came);
        thread::sleep(Duration::from_millis(50));
    }
}

fn said(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

fn revision(path: &Path) -> String {
    format!("{:08x}", indigomast_sender::versions::revision(&fs::read_to_string(path).expect("a file")))
}

/// Looks come often enough for a change to be known in a test's time.
const QUICK: &str = "[compare]\nlook_texts = 10\nundeliverable = 0.1\nnacked = 0.1\nslow = 0.6\nturned_away = 0.2\n\
                     submits = 0\nprocessor = 0\nmemory = 0\n[limits]\nstart_s = 10\n";

#[test]
fn a_good_program_and_then_good_settings_become_final_and_no_text_is_lost() {
    let fleet = Fleet::new("good", 3);
    let traffic = Traffic::begin(&fleet, 3, Duration::from_millis(8));
    let new = fleet.script("new", "exec PROGRAM \"$@\"");
    let plan = fleet.plan(&format!("program = \"{}\"", new.display()), QUICK);
    let output = fleet.begin(&plan, "first").wait_with_output().expect("it ends");
    assert_eq!(output.status.code(), Some(0), "{}", said(&output));
    // The next change begins from there: the same program with other settings, put in force without a new process.
    let pids: Vec<_> = fleet.keepers.iter().map(|keeper| keeper.process().expect("a process").0).collect();
    let other = fleet.folder.join("other.json");
    fs::write(&other, settings(fleet.endpoint.address, fleet.platform, 1900).to_string()).expect("written");
    let plan = fleet.plan(&format!("settings = \"{}\"", other.display()), QUICK);
    let output = fleet.begin(&plan, "second").wait_with_output().expect("it ends");
    assert_eq!(output.status.code(), Some(0), "{}", said(&output));
    for at in 0..3 {
        assert_eq!(fleet.revision(at), revision(&other));
    }
    let after: Vec<_> = fleet.keepers.iter().map(|keeper| keeper.process().expect("a process").0).collect();
    assert_eq!(pids, after);
    let (taken, silent) = traffic.end();
    all_come(&fleet, &taken);
    assert!(
        taken.len() > 300 && silent * 50 <= taken.len() as u64,
        "{silent} without an answer of {}",
        taken.len()
    );
    let page = fleet.folder.join("page.html");
    let output = program(&[
        "rollout",
        "report",
        "--record",
        &fleet.record("first"),
        "--html",
        &page.display().to_string(),
    ])
    .output()
    .expect("it runs");
    assert!(output.status.success(), "{}", said(&output));
    let page = fs::read_to_string(&page).expect("a page");
    assert!(page.contains("now: Final") && page.contains("<svg") && page.contains("s2"));
}

#[test]
fn a_change_that_does_worse_is_stopped_in_its_first_stage_and_taken_back() {
    let fleet = Fleet::new("bad", 3);
    let traffic = Traffic::begin(&fleet, 3, Duration::from_millis(4));
    let bad = fleet.folder.join("bad.json");
    // With room for one text at a time many are nacked on arrival.
    fs::write(&bad, settings(fleet.endpoint.address, fleet.platform, 1).to_string()).expect("written");
    let plan = fleet.plan(&format!("settings = \"{}\"", bad.display()), QUICK);
    let output = fleet.begin(&plan, "record").wait_with_output().expect("it ends");
    assert_eq!(output.status.code(), Some(6), "{}", said(&output));
    assert!(said(&output).contains("because: nacked of"), "{}", said(&output));
    for at in 0..3 {
        assert_eq!(fleet.revision(at), revision(&fleet.old));
    }
    assert!(!said(&output).contains("Stage(1)"), "{}", said(&output));
    let (taken, _) = traffic.end();
    all_come(&fleet, &taken);
}

/// A change to this program, which may not come to its second stage.
fn given_up(name: &str, lines: &str, because: &str) {
    let fleet = Fleet::new(name, 2);
    let traffic = Traffic::begin(&fleet, 1, Duration::from_millis(10));
    let new = fleet.script("new", lines);
    let plan = fleet.plan(&format!("program = \"{}\"", new.display()), QUICK);
    let long = fs::read_to_string(&plan).expect("a plan").replace("least_s = 1", "least_s = 30");
    fs::write(&plan, long).expect("written");
    let output = fleet.begin(&plan, "record").wait_with_output().expect("it ends");
    assert_eq!(output.status.code(), Some(6), "{}", said(&output));
    assert!(said(&output).contains(because), "{}", said(&output));
    fleet.serves();
    let (taken, _) = traffic.end();
    all_come(&fleet, &taken);
}

/// Settings that a controller finds different on its own machine than a keeper does are taken by nobody.
#[test]
fn a_file_that_is_another_one_on_a_senders_machine_is_refused() {
    let fleet = Fleet::new("another", 1);
    let new = fleet.folder.join("new.json");
    fs::write(&new, settings(fleet.endpoint.address, fleet.platform, 1900).to_string()).expect("written");
    let plan = fleet.plan_of_one(&format!("settings = \"{}\"", new.display()));
    // The controller reads the file as it begins; the keeper is reached only once it has changed.
    let listener =
        TcpListener::bind(indigomast_keep::process::free_address().expect("a port")).expect("bound");
    let (here, there) = (listener.local_addr().expect("bound"), fleet.keepers[0].orders);
    let text = fs::read_to_string(&plan).expect("a plan").replace(&there.to_string(), &here.to_string());
    fs::write(&plan, text).expect("written");
    let controller = fleet.begin(&plan, "record");
    let (mut first, _) = listener.accept().expect("it asks");
    fs::write(&new, settings(fleet.endpoint.address, fleet.platform, 1800).to_string()).expect("written");
    thread::spawn(move || {
        let pass = move |from: &mut TcpStream| {
            let Ok(mut to) = TcpStream::connect(there) else { return };
            let Ok(mut back) = from.try_clone() else { return };
            let Ok(mut answer) = to.try_clone() else { return };
            thread::spawn(move || _ = std::io::copy(&mut answer, &mut back));
            _ = std::io::copy(from, &mut to);
        };
        pass(&mut first);
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || pass(&mut stream));
        }
    });
    let output = controller.wait_with_output().expect("it ends");
    assert_eq!(output.status.code(), Some(6), "{}", said(&output));
    assert!(said(&output).contains("could not take the new side"), "{}", said(&output));
    let log = fs::read_to_string(fleet.folder.join("record/history.jsonl")).expect("a history");
    assert!(log.contains("is another file here than the controller's"), "{log}");
    assert_eq!(fleet.revision(0), revision(&fleet.old));
}

#[test]
fn a_program_that_does_not_start_is_given_up_at_once() {
    given_up("refuses", "echo no; exit 1", "could not take the new side");
}

#[test]
fn a_program_that_ends_by_itself_is_given_up_at_once() {
    given_up("crashes", "PROGRAM \"$@\" & p=$!; sleep 2.5; kill -9 $p; exit 3", "ended by itself");
}

#[test]
fn keepers_and_controllers_that_are_killed_change_nothing_and_go_on_where_they_were() {
    let mut fleet = Fleet::new("killed", 2);
    let traffic = Traffic::begin(&fleet, 2, Duration::from_millis(8));
    let pid = fleet.keepers[0].process().expect("a process").0;
    fleet.keepers[0].again();
    fleet.serves();
    assert_eq!(
        fleet.keepers[0].process().expect("a process").0,
        pid,
        "the sender was found, not started again"
    );
    let new = fleet.script("new", "exec PROGRAM \"$@\"");
    let plan = fleet.plan(&format!("program = \"{}\"", new.display()), QUICK);
    let long = fs::read_to_string(&plan).expect("a plan").replacen("least_s = 1", "least_s = 600", 1);
    fs::write(&plan, long).expect("written");
    let mut controller = fleet.begin(&plan, "record");
    fleet.until("record", "the first has it", |status| status["senders"][0]["side"] == "new");
    _ = controller.kill();
    _ = controller.wait();
    let none = fleet.say("record", "status");
    assert!(!none.status.success());
    // A second one on the same record while the first runs is refused; after its death it goes on.
    let mut controller = fleet.begin(&plan, "record");
    let status =
        fleet.until("record", "it knows where it was", |status| status["senders"][0]["heard"] == true);
    assert_eq!((&status["epoch"], &status["phase"]), (&json!(2), &json!({"stage": 0})));
    let second = fleet.begin(&plan, "record").wait_with_output().expect("it ends");
    assert!(said(&second).contains("another process uses this folder"), "{}", said(&second));
    // One on a record of its own takes over what the keepers obey; the first ends by that.
    fleet.keepers[1].again();
    assert!(fleet.say("record", "halt").status.success());
    fleet.until("record", "it is halted", |status| status["phase"] == "halted");
    assert!(fleet.say("record", "back").status.success());
    let output = controller.wait().expect("it ends");
    assert_eq!(output.code(), Some(6));
    let (taken, _) = traffic.end();
    all_come(&fleet, &taken);
    // A plan that was changed under way is no longer the one that the record is of.
    let text = fs::read_to_string(&plan).expect("a plan").replace("least_s = 600", "least_s = 601");
    fs::write(&plan, text).expect("written");
    let output = fleet.begin(&plan, "record").wait_with_output().expect("it ends");
    assert!(said(&output).contains("the plan was changed under way"), "{}", said(&output));
    // What dies is started again.
    fleet.keepers[0].signal("-9");
    fleet.serves();
}

#[test]
fn what_a_keeper_is_told_and_can_not_use_is_said_with_its_field() {
    let folder = std::env::temp_dir().join(format!("indigomast-keep-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let file = folder.join("keep.toml");
    let good = format!(
        "name = \"a\"\nlisten = \"127.0.0.1:0\"\nclients = \"127.0.0.1:0\"\nkey = \"key\"\nstate = \"s\"\nrecord = \"r\"\n\
         program = \"{}\"\nsettings = \"key\"\n",
        env!("CARGO_BIN_EXE_indigomast")
    );
    fs::write(folder.join("key"), "short").expect("written");
    for (old, new, expected) in [
        ("name = \"a\"", "name = \"\"", "name: is empty"),
        ("listen = \"127.0.0.1:0\"", "listen = \"here\"", "line 2"),
        ("program", "programme", "unknown field `programme`"),
        ("settings = \"key\"", "settings = \"none\"", "settings: "),
        ("name", "name", "key: a key has 16 bytes or more, this has 5"),
    ] {
        fs::write(&file, good.replacen(old, new, 1)).expect("written");
        let output = program(&["keep", &file.display().to_string()]).output().expect("it runs");
        assert_eq!(output.status.code(), Some(1), "{new}");
        assert!(said(&output).contains(expected), "{new}: {}", said(&output));
    }
    _ = fs::remove_dir_all(folder);
}

#[test]
fn the_examples_can_be_used_and_a_plan_that_can_not_says_all_that_is_wrong() {
    let deploy = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deploy");
    let check =
        |path: &Path| program(&["rollout", "check", &path.display().to_string()]).output().expect("it runs");
    let output = check(&deploy.join("rollout.example.toml"));
    assert!(
        output.status.success() && said(&output).contains("3 senders, 2 stages, 1 away at most"),
        "{}",
        said(&output)
    );
    assert!(said(&output).contains("1: till-7 for 300 s and 2000 texts"), "{}", said(&output));
    let folder = std::env::temp_dir().join(format!("indigomast-plan-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let text = fs::read_to_string(deploy.join("rollout.example.toml")).expect("a plan");
    let wrong = folder.join("wrong.toml");
    fs::write(&wrong, text.replace("till-8", "till-7").replace("away = 1", "away = 0")).expect("written");
    let output = check(&wrong);
    assert_eq!(output.status.code(), Some(1));
    for what in ["wrong.toml: limits.away", "senders[1].name: \"till-7\" is empty or there twice"] {
        assert!(said(&output).contains(what), "{what}: {}", said(&output));
    }
    let keep = fs::read_to_string(deploy.join("keep.example.toml")).expect("a file");
    let own = env!("CARGO_BIN_EXE_indigomast");
    fs::write(folder.join("fleet.key"), "short").expect("written");
    fs::write(folder.join("config.json"), "{}").expect("written");
    fs::write(folder.join("keep.toml"), keep.replace("\"indigomastd\"", &format!("{own:?}")))
        .expect("written");
    // All that it names is read up to the key, which is too short to be one.
    let output =
        program(&["keep", &folder.join("keep.toml").display().to_string()]).output().expect("it runs");
    assert!(said(&output).contains("keep.toml: key: a key has 16 bytes or more"), "{}", said(&output));
    _ = fs::remove_dir_all(folder);
}
