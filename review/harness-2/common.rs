//! What the cases share: processes, stand-ins for clients, endpoints and the platform, and the record.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

struct World {
    began: Instant,
    record: Mutex<File>,
    folder: PathBuf,
    pids: Mutex<Vec<u32>>,
    /// Files in which programs that a case started write their process ids.
    pid_files: Mutex<Vec<PathBuf>>,
}

static WORLD: OnceLock<World> = OnceLock::new();

fn world() -> &'static World {
    WORLD.get().expect("begin() comes first")
}

/// Opens the record, makes the temporary folder, and ends the case after 110 s whatever happens.
pub fn begin(record: &Path) {
    let folder = std::env::temp_dir().join(format!("indigomast-review-{}", std::process::id()));
    _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a temporary folder");
    let record = Mutex::new(File::create(record).expect("record.txt"));
    let made = World { began: Instant::now(), record, folder, pids: Mutex::default(), pid_files: Mutex::default() };
    assert!(WORLD.set(made).is_ok());
    // What goes wrong in a stand-in or a client of the case's own says nothing of the rule.
    std::panic::set_hook(Box::new(|what| end(NOT_RUN, &format!("the case itself failed: {what}"))));
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        end(NOT_RUN, "the case took too long");
    });
    note(&format!("the disruption is {}", if trouble() { "on" } else { "off (TROUBLE=0)" }));
}

/// Whether the disruption is played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn note(line: &str) {
    let world = world();
    let at = world.began.elapsed().as_secs_f64();
    let mut file = world.record.lock().unwrap_or_else(|e| e.into_inner());
    _ = writeln!(file, "{at:9.3} {line}");
}

/// Ends all processes that the case started, and the case.
pub fn end(code: i32, why: &str) -> ! {
    let world = world();
    let mut pids = world.pids.lock().unwrap_or_else(|e| e.into_inner()).clone();
    for file in world.pid_files.lock().unwrap_or_else(|e| e.into_inner()).iter() {
        let text = fs::read_to_string(file).unwrap_or_default();
        pids.extend(text.split_whitespace().filter_map(|word| word.parse::<u32>().ok()));
    }
    for pid in pids {
        if is_ours(pid) {
            signal(pid, "KILL");
        }
    }
    thread::sleep(Duration::from_millis(100));
    _ = fs::remove_dir_all(&world.folder);
    let verdict = match code {
        HELD => "the rule held",
        BROKEN => "the rule was broken",
        _ => "the case could not run",
    };
    note(&format!("{verdict}: {why}"));
    println!("{verdict}: {why}");
    std::process::exit(code)
}

/// A process id that came back may be of somebody else's process: ours have the folder of this case in their environment.
fn is_ours(pid: u32) -> bool {
    let environment = fs::read(format!("/proc/{pid}/environ")).unwrap_or_default();
    let words = fs::read(format!("/proc/{pid}/cmdline")).unwrap_or_default();
    let mark = folder().display().to_string().into_bytes();
    [environment, words].iter().any(|text| text.windows(mark.len()).any(|part| part == &mark[..]))
}

pub fn folder() -> PathBuf {
    world().folder.clone()
}

pub fn elapsed() -> Duration {
    world().began.elapsed()
}

pub fn signal(pid: u32, name: &str) -> bool {
    let status = Command::new("/bin/sh").args(["-c", "kill -s \"$0\" \"$1\" 2>/dev/null", name, &pid.to_string()]).status();
    status.is_ok_and(|status| status.success())
}

/// Whether a process is there and is not one that has ended already.
pub fn is_alive(pid: u32) -> bool {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    stat.rsplit_once(") ").is_some_and(|(_, rest)| !rest.starts_with('Z'))
}

pub fn owns_pid(pid: u32) {
    world().pids.lock().unwrap_or_else(|e| e.into_inner()).push(pid);
}

pub fn owns_pid_file(path: PathBuf) {
    world().pid_files.lock().unwrap_or_else(|e| e.into_inner()).push(path);
}

/// A program of the project's, by its path from the root.
pub fn program(name: &str) -> String {
    let path = std::env::current_dir().expect("a folder").join("target/release").join(name);
    if !path.is_file() {
        end(NOT_RUN, &format!("{} is not built", path.display()));
    }
    path.display().to_string()
}

/// A process whose lines on standard error go to the record.
pub struct Process {
    pub child: Child,
    pub pid: u32,
    pub lines: Arc<Mutex<Vec<String>>>,
}

impl Process {
    pub fn start(mut command: Command, name: &str) -> Process {
        command.env("REVIEW_CASE", folder()).stderr(Stdio::piped()).stdout(Stdio::piped());
        let mut child = match command.spawn() {
            Ok(child) => child,
            Err(e) => end(NOT_RUN, &format!("{name} can't be started: {e}")),
        };
        let pid = child.id();
        owns_pid(pid);
        note(&format!("{name} is started, process {pid}"));
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        let out: Vec<Box<dyn Read + Send>> =
            vec![Box::new(child.stderr.take().expect("piped")), Box::new(child.stdout.take().expect("piped"))];
        for from in out {
            let (kept, name) = (Arc::clone(&lines), name.to_owned());
            thread::spawn(move || {
                for line in BufReader::new(from).lines().map_while(Result::ok) {
                    note(&format!("{name} says: {line}"));
                    kept.lock().unwrap_or_else(|e| e.into_inner()).push(line);
                }
            });
        }
        Process { child, pid, lines }
    }

    /// The first line with these words, if it comes in time.
    pub fn line_with(&self, words: &str, within: Duration) -> Option<String> {
        let by = Instant::now() + within;
        loop {
            let lines = self.lines.lock().unwrap_or_else(|e| e.into_inner());
            if let Some(line) = lines.iter().find(|line| line.contains(words)) {
                return Some(line.clone());
            }
            drop(lines);
            if Instant::now() >= by {
                return None;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// The code with which it ended, if it has; -1 for a signal.
    pub fn ended(&mut self) -> Option<i32> {
        self.child.try_wait().ok().flatten().map(|status| status.code().unwrap_or(-1))
    }

    pub fn ends_within(&mut self, within: Duration) -> Option<i32> {
        let by = Instant::now() + within;
        loop {
            if let Some(code) = self.ended() {
                return Some(code);
            }
            if Instant::now() >= by {
                return None;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    pub fn kill(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// Starts the sender as `run` of the deploy file does, with a listening socket as descriptor 4 where one is given.
pub fn sender(name: &str, config: &Path, state: &Path, control: Option<SocketAddr>, socket: Option<&TcpListener>) -> Process {
    program("indigomastd");
    let mut command = Command::new("/bin/sh");
    match socket {
        Some(socket) => {
            command.args(["-c", "exec target/release/indigomastd 4<&0 </dev/null"]);
            command.env("ROUTER_PASSED_SOCKET", "4");
            command.stdin(Stdio::from(OwnedFd::from(socket.try_clone().expect("a copy"))));
        }
        None => {
            command.args(["-c", "exec target/release/indigomastd"]).stdin(Stdio::null());
        }
    }
    command.env("ROUTER_CONFIG", config).env("ROUTER_STATE", state);
    control.into_iter().for_each(|at| _ = command.env("ROUTER_CONTROL", at.to_string()));
    Process::start(command, name)
}

/// A port that is free now, below those that systems give to connections: it is to be free for a second process too.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let begin = u64::from(std::process::id()) * 97;
    for _ in 0..2000 {
        let port = 20_000 + ((begin + NEXT.fetch_add(1, Ordering::Relaxed)) % 12_000) as u16;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("bound");
        }
    }
    end(NOT_RUN, "no port is free")
}

#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    pub came: Instant,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// The next request on a connection; none once it has ended.
pub fn read_request(stream: &mut TcpStream, held: &mut Vec<u8>) -> Option<Request> {
    let mut bytes = [0; 8192];
    loop {
        if let Some(end) = held.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&held[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut first = lines.next()?.split(' ');
            let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
            let headers: BTreeMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
            if held.len() >= end + 4 + length {
                let body = held[end + 4..end + 4 + length].to_vec();
                held.drain(..end + 4 + length);
                return Some(Request { method, path, headers, body, came: Instant::now() });
            }
        }
        match stream.read(&mut bytes) {
            Ok(count) if count > 0 => held.extend_from_slice(&bytes[..count]),
            _ => return None,
        }
    }
}

/// Serves HTTP on a free loopback address; each request is answered by `answer`, or its connection is closed.
pub fn serve(answer: impl Fn(&Request) -> Option<Vec<u8>> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || {
                _ = stream.set_nodelay(true);
                let mut held = Vec::new();
                while let Some(request) = read_request(&mut stream, &mut held) {
                    let Some(bytes) = answer(&request) else { return };
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len()).into_bytes()
}

/// What came at endpoints: when, at which endpoint, the text's id.
pub type Calls = Arc<Mutex<Vec<(Instant, String, String)>>>;

/// An endpoint that answers each call with 200 after some time.
pub fn sound_endpoint(name: &str, calls: &Calls, after: Duration) -> SocketAddr {
    let (name, calls) = (name.to_owned(), Arc::clone(calls));
    serve(move |request| {
        let id = request.header("x-request-id").to_owned();
        note(&format!("{name} is called: {id}"));
        calls.lock().unwrap_or_else(|e| e.into_inner()).push((request.came, name.clone(), id));
        thread::sleep(after);
        Some(response(200, "", ""))
    })
}

/// Ends that the platform was told, by id.
pub type Ends = Arc<Mutex<BTreeMap<String, String>>>;

/// Discovery and the receiver of notices. `members` is the JSON array of the list, which never changes.
pub fn platform(members: &str, ends: &Ends) -> SocketAddr {
    let (members, ends) = (members.to_owned(), Arc::clone(ends));
    serve(move |request| {
        if request.method == "POST" {
            for line in String::from_utf8_lossy(&request.body).lines() {
                note(&format!("the platform is told: {line}"));
                if let Some(id) = text_field(line, "id") {
                    let status = text_field(line, "status").unwrap_or_default();
                    ends.lock().unwrap_or_else(|e| e.into_inner()).insert(id, status);
                }
            }
            return Some(response(204, "", ""));
        }
        let query = |name: &str| {
            let (_, query) = request.path.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let page = match query("from") {
            Some(from) => {
                // Nothing newer comes: the watch is answered when its time is over.
                thread::sleep(Duration::from_millis(query("hold_ms").unwrap_or(0).min(60_000)));
                format!("{{\"revision\":{from},\"complete\":false,\"members\":[]}}")
            }
            None => format!("{{\"revision\":41,\"complete\":true,\"members\":{members}}}"),
        };
        Some(response(200, "Content-Type: application/json\r\n", &page))
    })
}

/// A field of a flat JSON object whose value is a text.
pub fn text_field(line: &str, name: &str) -> Option<String> {
    let rest = line.split(&format!("\"{name}\":\"")).nth(1)?;
    Some(rest.split('"').next()?.to_owned())
}

pub fn member(id: &str, address: SocketAddr, dest: u64) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{address}\",\"locality\":\"a\",\"flavor\":\"k\",\"cell\":{dest},\
         \"phase\":\"Ready\",\"size\":1.0,\"up_since_ms\":0}}"
    )
}

/// A configuration of a small deployment.
pub struct Site {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The members of the list, as a JSON array.
    pub members: String,
    pub localities: String,
    pub routes_apart: String,
    /// Names of products and what a repeat of each does.
    pub products: Vec<(String, String)>,
    pub most_held: usize,
}

impl Site {
    pub fn new(listen: SocketAddr, discovery: SocketAddr, members: &str) -> Site {
        let product = |name: &str, repeat: &str| (name.to_owned(), repeat.to_owned());
        Site {
            listen,
            discovery,
            members: members.to_owned(),
            localities: "[\"a\"]".into(),
            routes_apart: "[false]".into(),
            products: vec![product("receipt", "read_like"), product("order", "non_idempotent")],
            most_held: 500,
        }
    }

    pub fn json(&self) -> String {
        let categories: Vec<String> = self
            .products
            .iter()
            .map(|(name, repeat)| {
                format!(
                    "{{\"name\":\"{name}\",\"objective-ms\":3000.0,\"deadline-ms\":24000.0,\"repeat\":\"{repeat}\",\
                     \"group\":\"all\",\"window-ms\":15000.0,\"in-order\":false,\"worth\":1.0,\"late-worth\":0.5,\"stream\":false}}"
                )
            })
            .collect();
        format!(
            "{{\"name\":\"n0\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}},\
             \"known\":{{\"revision\":41,\"complete\":true,\"members\":{}}},\
             \"settings\":{{\"group-size\":1,\"ordinal\":0,\"kinds\":[\"k\"],\"localities\":{},\"tick-ms\":5.0,\
             \"categories\":[{}],\
             \"family-info\":{{\"call-slots\":16,\"kind-batch\":[1],\"routes-apart\":{}}},\
             \"membership-mode\":\"subscribe\",\"weight-kind\":\"silent\",\
             \"obligations\":{{\"cold-share\":0.2,\"cold-ms\":10000.0,\"tip-multiple\":2.0,\"must-ask-in-ms\":10000.0,\
             \"drain-grace-ms\":1000.0,\"settle-after-doubt-ms\":100.0}},\
             \"ceilings\":{{\"max-attempts\":6,\"most-held\":{},\"keepalive-ms\":10000.0,\"connect-timeout-ms\":1500.0,\
             \"retry-after\":true,\"max-retry-after-ms\":2000.0}}}}}}",
            self.listen,
            self.discovery,
            self.members,
            self.localities,
            categories.join(","),
            self.routes_apart,
            self.most_held
        )
    }

    /// Puts the file in place as a whole.
    pub fn write(&self, path: &Path) {
        let new = path.with_extension("next");
        fs::write(&new, self.json()).expect("written");
        fs::rename(&new, path).expect("in place");
    }
}

/// What a client got for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Got {
    Status(u16),
    /// No connection came about: nothing was handed in.
    Refused,
    /// The connection ended or was silent for 400 ms.
    NoAnswer,
}

/// One request on a connection of its own. A client waits 400 ms for the answer.
pub fn ask(to: SocketAddr, raw: &[u8], patience: Duration) -> (Got, String) {
    let Ok(mut stream) = TcpStream::connect_timeout(&to, patience) else { return (Got::Refused, String::new()) };
    _ = stream.set_nodelay(true);
    if stream.write_all(raw).is_err() {
        return (Got::NoAnswer, String::new());
    }
    let by = Instant::now() + patience;
    let mut held = Vec::new();
    let mut bytes = [0; 4096];
    loop {
        if let Some(end) = held.windows(4).position(|part: &[u8]| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&held[..end]).into_owned();
            let length = head.lines().find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse().ok());
            if held.len() >= end + 4 + length.unwrap_or(0) {
                let status = head.get(9..12).and_then(|word| word.parse().ok()).unwrap_or(0);
                return (Got::Status(status), String::from_utf8_lossy(&held[end + 4..]).into_owned());
            }
        }
        let left = by.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return (Got::NoAnswer, String::new());
        }
        _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut bytes) {
            Ok(count) if count > 0 => held.extend_from_slice(&bytes[..count]),
            _ => return (Got::NoAnswer, String::new()),
        }
    }
}

/// Hands in a text; what came of that is in the record.
pub fn hand_in(to: SocketAddr, product: &str, id: &str, dest: u64, millis: u64) -> Got {
    let raw = format!(
        "POST /{product} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: {millis}\r\n\
         Content-Length: 5\r\nX-Envelope: dest={dest}\r\nConnection: close\r\n\r\nhello"
    );
    let got = ask(to, raw.as_bytes(), Duration::from_millis(400)).0;
    note(&format!("a client hands in {product} {id} for {dest}: {got:?}"));
    got
}

pub fn status(to: SocketAddr, path: &str) -> Option<u16> {
    let raw = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    match ask(to, raw.as_bytes(), Duration::from_secs(1)).0 {
        Got::Status(status) => Some(status),
        _ => None,
    }
}

/// Waits until a condition holds; whether it did in time.
pub fn until(within: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let by = Instant::now() + within;
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= by {
            return false;
        }
        thread::sleep(Duration::from_millis(20));
    }
}

pub fn wait(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

pub fn number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}
