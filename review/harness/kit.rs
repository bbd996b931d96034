//! Small stand-ins for the clients, endpoints and platform of one sender, and the way to start it. Loopback only, no crates.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{ErrorKind, Read, Write};
use std::os::unix::process::CommandExt;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn sched_setaffinity(pid: i32, size: usize, mask: *const u64) -> i32;
    fn sched_getaffinity(pid: i32, size: usize, mask: *mut u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Whether the case is to be played with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the time since the start, in `record.txt`.
pub struct Record {
    file: Mutex<File>,
    pub start: Instant,
}

impl Record {
    pub fn open(path: &Path) -> Arc<Record> {
        let file = File::create(path).expect("the record can be written");
        Arc::new(Record { file: Mutex::new(file), start: Instant::now() })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let line = format!("{at:9.3} {}\n", text.as_ref());
        _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// To the record and to the screen.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// Ends the run as one that could not be played.
pub fn cannot(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    std::process::exit(2);
}

// ---- HTTP ----

pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

/// Reads one request or answer; none where the connection ended or its time is up before it was whole.
pub fn read_message(stream: &mut TcpStream, kept: &mut Vec<u8>) -> Option<Message> {
    let mut chunk = [0; 16384];
    loop {
        if let Some(end) = kept.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&kept[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or("").to_owned();
            let fields = lines.filter_map(|line| line.split_once(':'));
            let headers: BTreeMap<String, String> =
                fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
            let length = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0usize);
            if kept.len() >= end + 4 + length {
                let body = kept[end + 4..end + 4 + length].to_vec();
                kept.drain(..end + 4 + length);
                return Some(Message { first, headers, body });
            }
        }
        match stream.read(&mut chunk) {
            Ok(0) => return None,
            Ok(count) => kept.extend_from_slice(&chunk[..count]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}

pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// One request on a connection of its own: the status of its answer, or none.
pub fn ask(to: SocketAddr, raw: &[u8], within: Duration) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&to, within).ok()?;
    _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(within)).ok()?;
    stream.write_all(raw).ok()?;
    read_message(&mut stream, &mut Vec::new())
}

/// A message as a client hands it in.
pub struct HandIn<'a> {
    pub class: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub mark: &'a str,
    pub dest: u64,
    pub timeout_ms: u64,
    pub body: &'a [u8],
}

impl HandIn<'_> {
    pub fn raw(&self) -> Vec<u8> {
        let mut head = format!(
            "POST /{} HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {}\r\nX-Timeout-Ms: {}\r\n",
            self.class, self.id, self.timeout_ms
        );
        if !self.key.is_empty() {
            head += &format!("X-Route-Key: {}\r\n", self.key);
        }
        if !self.mark.is_empty() {
            head += &format!("Idempotency-Key: {}\r\n", self.mark);
        }
        head += &format!("Content-Length: {}\r\nX-Envelope: dest={}\r\n\r\n", self.body.len(), self.dest);
        [head.as_bytes(), self.body].concat()
    }
}

/// A free port, taken by a listener.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot(&format!("no free port: {e}")))
}

/// An address that is free now.
pub fn free_address() -> SocketAddr {
    listener().local_addr().unwrap()
}

// ---- the platform ----

/// Discovery, which also takes the notices.
pub struct Platform {
    pub name: &'static str,
    pub address: SocketAddr,
    record: Arc<Record>,
    state: Mutex<(u64, Vec<String>)>,
    /// When each message's notice was answered, and its status.
    pub notices: Arc<Mutex<BTreeMap<String, (Instant, String)>>>,
    accepts: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

pub fn member(id: &str, at: SocketAddr, cell: u64, kind: &str, zone: &str, phase: &str) -> String {
    format!(
        "{{\"id\":\"{id}\",\"host_port\":\"{at}\",\"locality\":\"{zone}\",\"flavor\":\"{kind}\",\"cell\":{cell},\
         \"phase\":\"{phase}\",\"size\":1.0,\"up_since_ms\":0}}"
    )
}

pub fn list_json(revision: u64, complete: bool, members: &[String]) -> String {
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

type Notices = Arc<Mutex<BTreeMap<String, (Instant, String)>>>;

impl Platform {
    pub fn open(
        name: &'static str,
        record: &Arc<Record>,
        revision: u64,
        members: Vec<String>,
        notices: &Notices,
    ) -> Arc<Platform> {
        let listener = listener();
        let platform = Arc::new(Platform {
            name,
            address: listener.local_addr().unwrap(),
            record: Arc::clone(record),
            state: Mutex::new((revision, members)),
            notices: Arc::clone(notices),
            accepts: AtomicBool::new(true),
            open: Mutex::default(),
        });
        let own = Arc::clone(&platform);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !own.accepts.load(Ordering::SeqCst) {
                    // The listener goes with this thread: from now on connections are refused.
                    return;
                }
                own.open.lock().unwrap().extend(stream.try_clone());
                let one = Arc::clone(&own);
                thread::spawn(move || one.serve(stream));
            }
        });
        platform
    }

    /// It accepts no new connection from now on, and ends the open ones 1.5 s later.
    pub fn moves_away(self: &Arc<Platform>) {
        self.accepts.store(false, Ordering::SeqCst);
        _ = TcpStream::connect(self.address);
        self.record.line(format!("{} accepts no new connection", self.name));
        let own = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(ms(1500));
            own.record.line(format!("{} ends its open connections", own.name));
            own.open.lock().unwrap().drain(..).for_each(|stream| _ = stream.shutdown(Shutdown::Both));
        });
    }

    fn serve(&self, mut stream: TcpStream) {
        _ = stream.set_nodelay(true);
        let mut kept = Vec::new();
        while let Some(request) = read_message(&mut stream, &mut kept) {
            let answer = if request.path().starts_with("/reports") {
                self.take_notices(&request)
            } else if request.path().starts_with("/discovery/hosts") {
                self.list(request.path())
            } else {
                answer(404, "", "")
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn take_notices(&self, request: &Message) -> Vec<u8> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        for line in body.lines().filter(|line| !line.trim().is_empty()) {
            let (Some(id), Some(status)) = (json_text(line, "id"), json_text(line, "status")) else {
                return answer(400, "", "");
            };
            self.record.line(format!("{} notice {id} {status}", self.name));
            self.notices.lock().unwrap().entry(id).or_insert((Instant::now(), status));
        }
        answer(204, "", "")
    }

    fn list(&self, path: &str) -> Vec<u8> {
        let number = |name: &str| -> Option<u64> {
            let rest = path.split(name).nth(1)?;
            rest.split('&').next()?.parse().ok()
        };
        let (from, hold) = (number("from="), number("hold_ms=").unwrap_or(0));
        self.record.line(format!("{} is asked {path}", self.name));
        let by = Instant::now() + ms(hold.min(60_000));
        loop {
            let (revision, members) = self.state.lock().unwrap().clone();
            match from {
                Some(from) if from >= revision && Instant::now() < by => thread::sleep(ms(10)),
                Some(from) if from >= revision => {
                    return answer(200, "", &list_json(from.max(revision), false, &[]));
                }
                _ => {
                    self.record.line(format!("{} tells the whole list, revision {revision}", self.name));
                    return answer(200, "", &list_json(revision, true, &members));
                }
            }
        }
    }

    /// Another list, told to whoever watches.
    pub fn changes(&self, members: Vec<String>) {
        let mut state = self.state.lock().unwrap();
        *state = (state.0 + 1, members);
        self.record.line(format!("{} has a new list, revision {}", self.name, state.0));
    }
}

/// The value of a text field in a flat JSON object.
pub fn json_text(line: &str, name: &str) -> Option<String> {
    let rest = line.split(&format!("\"{name}\":\"")).nth(1)?;
    Some(rest.split('"').next()?.to_owned())
}

// ---- endpoints ----

/// One call as an endpoint got it.
#[derive(Clone)]
pub struct Call {
    /// The messages in it: id and idempotency key.
    pub ids: Vec<(String, String)>,
    pub batch: bool,
    pub came: Instant,
    /// Numbered by connection, over all calls of this endpoint.
    pub connection: u64,
}

pub enum Reply {
    /// After a time, these bytes. The connection stays.
    After(Duration, Vec<u8>),
    /// Nothing, until the sender ends the connection.
    Silence,
    /// After a time the connection ends without an answer.
    HangUp(Duration),
}

pub struct Endpoint {
    pub address: SocketAddr,
}

/// An answer that says of each message of a call that it is delivered.
pub fn done(call: &Call) -> Vec<u8> {
    if !call.batch {
        return answer(200, "", "");
    }
    let lines: String = call.ids.iter().map(|(id, _)| format!("{id} done\r\n")).collect();
    answer(200, "", &lines)
}

type Handler = dyn Fn(&Call) -> Reply + Send + Sync;

impl Endpoint {
    /// `handle` says what becomes of each call, once its last byte has come; `answered` hears when an answer was written.
    pub fn open(
        handle: impl Fn(&Call) -> Reply + Send + Sync + 'static,
        answered: impl Fn(&Call, &[u8]) + Send + Sync + 'static,
    ) -> Endpoint {
        Endpoint::watched(handle, answered, |_| {})
    }

    /// The same; `gone` hears when the sender ended the connection of a call that gets no answer.
    pub fn watched(
        handle: impl Fn(&Call) -> Reply + Send + Sync + 'static,
        answered: impl Fn(&Call, &[u8]) + Send + Sync + 'static,
        gone: impl Fn(&Call) + Send + Sync + 'static,
    ) -> Endpoint {
        let listener = listener();
        let address = listener.local_addr().unwrap();
        let handle: Arc<Handler> = Arc::new(handle);
        let answered: Arc<dyn Fn(&Call, &[u8]) + Send + Sync> = Arc::new(answered);
        let gone: Arc<dyn Fn(&Call) + Send + Sync> = Arc::new(gone);
        let connections = Arc::new(AtomicU64::new(0));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (handle, answered, gone) = (Arc::clone(&handle), Arc::clone(&answered), Arc::clone(&gone));
                let connection = connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || serve_calls(stream, connection, &*handle, &*answered, &*gone));
            }
        });
        Endpoint { address }
    }
}

fn serve_calls(
    mut stream: TcpStream,
    connection: u64,
    handle: &Handler,
    answered: &(dyn Fn(&Call, &[u8]) + Send + Sync),
    gone: &(dyn Fn(&Call) + Send + Sync),
) {
    _ = stream.set_nodelay(true);
    let mut kept = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut kept) {
        let batch = request.path().ends_with(":batch");
        let ids = if batch {
            batch_ids(&request.body)
        } else {
            vec![(request.header("x-request-id").to_owned(), request.header("idempotency-key").to_owned())]
        };
        let call = Call { ids, batch, came: Instant::now(), connection };
        match handle(&call) {
            Reply::After(time, bytes) => {
                thread::sleep(time);
                if stream.write_all(&bytes).is_err() {
                    return;
                }
                answered(&call, &bytes);
            }
            Reply::Silence => {
                // Reads on until the other side ends.
                let mut chunk = [0; 1024];
                while matches!(stream.read(&mut chunk), Ok(count) if count > 0) {}
                gone(&call);
                return;
            }
            Reply::HangUp(time) => {
                thread::sleep(time);
                return;
            }
        }
    }
}

fn batch_ids(body: &[u8]) -> Vec<(String, String)> {
    let (mut found, mut rest) = (Vec::new(), body);
    while let Some(end) = rest.windows(2).position(|two| two == b"\r\n") {
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let words: Vec<&str> = line.split(' ').collect();
        let [id, mark, length] = words[..] else { break };
        let Ok(length) = length.parse::<usize>() else { break };
        found.push((id.to_owned(), mark.to_owned()));
        rest = rest.get(end + 2 + length + 2..).unwrap_or_default();
    }
    found
}

// ---- the sender ----

/// The folder of a run, gone with it.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(case: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("indigomast-review-{case}-{}", std::process::id()));
        _ = fs::remove_dir_all(&path);
        if let Err(e) = fs::create_dir_all(path.join("state")) {
            cannot(&format!("no temporary folder: {e}"));
        }
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.0);
    }
}

/// The command of the deploy file.
fn run_command() -> String {
    let file = fs::read_to_string("deploy/balancer.toml").unwrap_or_else(|e| cannot(&format!("deploy file: {e}")));
    let line = file.lines().find_map(|line| line.strip_prefix("run = \"")).and_then(|rest| rest.split('"').next());
    line.unwrap_or_else(|| cannot("the deploy file has no run")).to_owned()
}

pub struct Sender {
    child: Child,
    pub listen: SocketAddr,
    pub control: Option<SocketAddr>,
}

impl Sender {
    /// Starts it by the deploy file's command, with the configuration in the folder. Its log goes to `log`.
    pub fn start(folder: &Folder, listen: SocketAddr, control: Option<SocketAddr>, log: &Path) -> Sender {
        let output = fs::OpenOptions::new().create(true).append(true).open(log);
        let output = output.unwrap_or_else(|e| cannot(&format!("no log: {e}")));
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run_command());
        command.env("ROUTER_CONFIG", folder.0.join("config.json")).env("ROUTER_STATE", folder.0.join("state"));
        command.env("ROUTER_LISTEN", listen.to_string()).env("ROUTER_NAME", "n0").env("TMPDIR", &folder.0);
        if let Some(control) = control {
            command.env("ROUTER_CONTROL", control.to_string());
        }
        command.stdin(Stdio::null()).stdout(output.try_clone().unwrap()).stderr(output);
        // One core, as the deployment page says.
        unsafe {
            command.pre_exec(|| {
                let mut mask = [0u64; 16];
                if sched_getaffinity(0, 128, mask.as_mut_ptr()) >= 0
                    && let Some(word) = mask.iter().position(|word| *word != 0)
                {
                    let lowest = mask[word] & mask[word].wrapping_neg();
                    mask = [0; 16];
                    mask[word] = lowest;
                    sched_setaffinity(0, 128, mask.as_ptr());
                }
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|e| cannot(&format!("the sender does not start: {e}")));
        Sender { child, listen, control }
    }

    /// Waits until `GET /up` answers 200.
    pub fn is_up(&mut self) {
        let by = Instant::now() + ms(10_000);
        while Instant::now() < by {
            let up = ask(self.listen, b"GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n", ms(500));
            if up.is_some_and(|up| up.status() == 200) {
                return;
            }
            thread::sleep(ms(20));
        }
        self.signal(SIGKILL);
        cannot("the sender was not up within 10 s");
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, signal: i32) {
        // The shell was replaced by the program, so this is the program's id.
        _ = unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn has_ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn wait(&mut self) {
        _ = self.child.wait();
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
    }
}

/// Puts a file in the place of the configuration, whole.
pub fn write_config(folder: &Folder, text: &str) {
    let new = folder.0.join("config.json.new");
    if fs::write(&new, text).and_then(|()| fs::rename(&new, folder.0.join("config.json"))).is_err() {
        cannot("the configuration can't be written");
    }
}

/// The parts of a configuration that cases differ in; the rest is that of a small deployment.
pub struct Settings<'a> {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub categories: &'a str,
    pub kinds: &'a str,
    pub batch: &'a str,
    pub apart: &'a str,
    pub revision: u64,
    pub members: &'a [String],
    pub slots: u64,
    pub memory_mb: u64,
    pub sockets: u64,
}

impl Settings<'_> {
    pub fn json(&self) -> String {
        let Settings { listen, discovery, categories, kinds, batch, apart, slots, memory_mb, sockets, .. } = self;
        let known = list_json(self.revision, true, self.members);
        format!(
            "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":{sockets},\"disk_mb\":3}},\
             \"known\":{known},\"settings\":{{\"accounts\":[],\"categories\":[{categories}],\
             \"ceilings\":{{\"cancel\":true,\"connect-timeout-ms\":1500.0,\"cpu-us-per-request\":0.0,\
             \"cpu-us-per-s\":600000,\"keepalive-ms\":10000.0,\"max-attempts\":6,\"max-retry-after-ms\":2000.0,\
             \"most-held\":186,\"peer-messages\":false,\"probes\":false,\"retry-after\":true,\
             \"second-copies\":false,\"streams-per-conn\":1}},\"client-habits\":{{\"marks-retry\":true}},\
             \"family-info\":{{\"call-slots\":{slots},\"fee-by-zone\":[0.0],\"kind-batch\":[{batch}],\"late\":\"even\",\
             \"report-x0\":\"share of the allowance that is left\",\"report-x1\":\"calls a second that the limit allows\",\
             \"routes-apart\":[{apart}],\"turned-away-price\":0.0}},\
             \"goal\":{{\"whole\":0.75,\"worst-class\":0.0,\"worst-tenant\":0.0,\"worst-window\":0.25}},\
             \"group-size\":1,\"kinds\":[{kinds}],\"localities\":[\"regina-1\"],\"membership-mode\":\"subscribe\",\
             \"obligations\":{{\"answer-slack-ms\":20.0,\"cold-ms\":10000.0,\"cold-share\":0.17,\
             \"drain-grace-ms\":1000.0,\"fall-ms\":1500.0,\"must-ask-in-ms\":10000.0,\
             \"settle-after-doubt-ms\":100.0,\"tip-multiple\":2.0}},\"ordinal\":0,\"over-share-worth\":0.1,\
             \"prices\":{{\"handshake\":0.04,\"late-fail\":0.023,\"waste\":0.05}},\"service-type\":\"deliver\",\
             \"stats\":{{\"fields\":[\"x0\",\"x1\"],\"source\":\"piggyback\"}},\"tick-ms\":5.0,\"tier\":0,\
             \"tiers\":[\"gateways\"],\"value-by\":\"request\",\"weight-kind\":\"silent\",\"zone\":\"regina-1\"}}}}"
        )
    }
}
