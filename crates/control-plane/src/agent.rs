//! Beside one sender: its subscriber, and towards its daemon the list's protocol as the platform speaks it.
//!
//! What is in force is shown under one lock, so that a page is of one moment, and only once it is on the disk: what a daemon
//! was told, a kill doesn't take back. Where the disk fails it is shown all the same, and said. A revision that a daemon was told never comes
//! again with another meaning: before revisions of a block are used its end is on the disk, and a life begins beyond what
//! the one before had set apart, and beyond the time of day, should the folder be lost.

use crate::config;
use crate::connection::{Dialer, Outgoing, Traffic, join};
use crate::copy::write_lasting;
use crate::limits::Limits;
use crate::listing::Listing;
use crate::moment;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use indigomast_assignment::budget;
use indigomast_assignment::catalog::Position;
use indigomast_assignment::subscriber::{self, Subscriber};
use indigomast_sender::http::{Request, put_answer, take_request};
use indigomast_sender::limits::{Grant, Limits as HttpLimits};
use indigomast_sender::notices::HttpPoster;
use indigomast_sender::ring::Ring;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const PART: &str = "part";
const REVISION: &str = "revision";
/// Revisions set apart with one write.
const BLOCK: u64 = 4096;

enum Word {
    Above(Outgoing),
    Saved(Result<(), String>),
    Stop,
}

impl From<Outgoing> for Word {
    fn from(outgoing: Outgoing) -> Word {
        Word::Above(outgoing)
    }
}

/// What is shown to whoever asks: all of one moment.
struct Shown {
    listing: Listing,
    /// Destination: revision and body.
    destinations: BTreeMap<u32, (u64, Arc<str>)>,
    common: Option<(u64, Arc<str>)>,
    position: Option<Position>,
    shards: usize,
    up: bool,
    /// Of lines, and of what was saved.
    refused: u64,
    trouble: Option<String>,
}

/// What is in force at one moment.
struct Capture {
    destinations: BTreeMap<u32, (u64, Arc<str>)>,
    common: Option<(u64, Arc<str>)>,
    /// Up to where it has all: what the controller said there if it has settled.
    position: Option<Position>,
    shards: usize,
}

/// Between the actor and whoever asks.
struct Board {
    sender: u32,
    limits: Arc<Limits>,
    shown: Mutex<Shown>,
    changed: Condvar,
    over: AtomicBool,
    reports: Option<SocketAddr>,
    /// Passed on; and calls with notices that nobody took.
    notices: AtomicU64,
    notices_kept: AtomicU64,
    above: Arc<Traffic>,
    http: Arc<Traffic>,
    open: Mutex<BTreeMap<u64, Arc<TcpStream>>>,
}

impl Board {
    fn shown(&self) -> MutexGuard<'_, Shown> {
        self.shown.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self) -> MutexGuard<'_, BTreeMap<u64, Arc<TcpStream>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An agent that runs.
pub struct Agent {
    pub address: SocketAddr,
    mailbox: Sender<Word>,
    board: Arc<Board>,
    actor: Option<JoinHandle<()>>,
    listener: Option<JoinHandle<()>>,
}

impl Agent {
    /// Begins with the part that an earlier life saved, in force at once.
    ///
    /// # Errors
    ///
    /// The field of the file that names what can't be had.
    pub fn start(config: &config::Agent, limits: Limits) -> Result<Agent, String> {
        let secret = config::secret(&config.key)?;
        let folder = &config.state;
        let state = |e: io::Error| format!("state: {}: {e}", folder.display());
        fs::create_dir_all(folder).map_err(state)?;
        let lock = File::options().create(true).truncate(false).write(true).open(folder.join("lock"));
        let lock = lock.map_err(state)?;
        lock.try_lock().map_err(|_| format!("state: {}: another agent has it", folder.display()))?;
        let revisions = Revisions::open(folder).map_err(state)?;
        let listener =
            TcpListener::bind(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
        let address = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
        let limits = Arc::new(limits);
        let (mailbox, words) = bounded(limits.mailbox);
        let began = Instant::now();
        let relays = (0..config.relays.len() as u32).collect();
        let (seed, now) = (rand::random(), moment(began));
        let mut subscriber =
            Subscriber::new(config.sender, config.shards, relays, budget::SENDER, secret, seed, now);
        let mut resumed = false;
        match fs::read(folder.join(PART)) {
            Ok(bytes) => match subscriber.resume(&String::from_utf8_lossy(&bytes)) {
                Ok(()) => resumed = true,
                Err(fault) if fault.place == "saved.sender" => {
                    return Err(format!("state: {}: is of {}", folder.join(PART).display(), fault.wrong));
                }
                // Told anew by a relay, as one that never had any.
                Err(fault) => log::warn!("state: {}: {fault}", folder.join(PART).display()),
            },
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) => return Err(state(e)),
        }
        let board = Arc::new(Board {
            sender: config.sender,
            limits: Arc::clone(&limits),
            shown: Mutex::new(Shown {
                listing: Listing::new(revisions.last, limits.gone),
                destinations: BTreeMap::new(),
                common: None,
                position: None,
                shards: 0,
                up: false,
                refused: 0,
                trouble: None,
            }),
            changed: Condvar::new(),
            over: AtomicBool::new(false),
            reports: config.reports,
            notices: AtomicU64::new(0),
            notices_kept: AtomicU64::new(0),
            above: Arc::default(),
            http: Arc::default(),
            open: Mutex::default(),
        });
        let (saves, asked) = bounded::<String>(1);
        let no_thread = |e: io::Error| format!("no thread: {e}");
        let (saved, path) = (mailbox.clone(), folder.join(PART));
        let disk = thread::Builder::new()
            .name("disk".into())
            .stack_size(limits.stack)
            .spawn(move || {
                // Held as long as anything is written there.
                let _lock = lock;
                for part in asked {
                    let done = write_lasting(&path, part.as_bytes()).map_err(|e| e.to_string());
                    if saved.send(Word::Saved(done)).is_err() {
                        return;
                    }
                }
            })
            .map_err(no_thread)?;
        let dialer = Dialer::new(Arc::clone(&limits), Arc::clone(&board.above), mailbox.clone());
        let mut actor = Actor {
            relays: config.relays.clone(),
            began,
            subscriber,
            dialer,
            board: Arc::clone(&board),
            revisions,
            saves: Some(saves),
            disk: Some(disk),
            saving: None,
            unsaved: false,
            common: None,
            unsettled: None,
            again: None,
        };
        if resumed {
            actor.common = actor.subscriber.part().position;
            let capture = actor.capture();
            actor.show(capture);
        }
        let actor = thread::Builder::new()
            .name("agent".into())
            .spawn(move || actor.run(&words))
            .map_err(no_thread)?;
        let own = Arc::clone(&board);
        let listener = thread::Builder::new()
            .name("listen".into())
            .stack_size(limits.stack)
            .spawn(move || listen(&listener, &own))
            .map_err(no_thread)?;
        Ok(Agent { address, mailbox, board, actor: Some(actor), listener: Some(listener) })
    }

    /// Whether the actor still runs; it ends before it is stopped only by a fault of its own.
    pub fn runs(&self) -> bool {
        self.actor.as_ref().is_some_and(|actor| !actor.is_finished())
    }

    /// Ends all connections, with the part saved.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.board.over.store(true, Ordering::Release);
        _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        join(self.listener.take());
        self.board.changed.notify_all();
        _ = self.mailbox.send(Word::Stop);
        join(self.actor.take());
        self.board.open().values().for_each(|stream| _ = stream.shutdown(Shutdown::Both));
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        if self.actor.is_some() {
            self.end();
        }
    }
}

/// Which revisions may be used.
struct Revisions {
    path: PathBuf,
    /// Before the first of this life.
    last: u64,
    /// Up to there they are set apart on the disk.
    until: u64,
}

impl Revisions {
    fn open(folder: &Path) -> io::Result<Revisions> {
        let path = folder.join(REVISION);
        let known = match fs::read_to_string(&path) {
            Ok(text) => text.trim().parse::<u64>().unwrap_or(0),
            Err(e) if e.kind() == io::ErrorKind::NotFound => 0,
            Err(e) => return Err(e),
        };
        let last = known.max(clock_once_past(known));
        let mut revisions = Revisions { path, last, until: last };
        revisions.set_apart(last)?;
        Ok(revisions)
    }

    fn set_apart(&mut self, after: u64) -> io::Result<()> {
        let until = after + BLOCK;
        write_lasting(&self.path, until.to_string().as_bytes())?;
        self.until = until;
        Ok(())
    }
}

/// The clock in microseconds: doubles hold such numbers until the year 2255, and no life uses up its block sooner than that.
///
/// A life of less time than its block has numbers leaves some that the clock has not come to. They are waited for, `BLOCK`
/// microseconds at the most, so that no revision is ahead of the clock: a life that finds nothing on the disk begins there. Nothing
/// is waited for where the clock was set back further.
fn clock_once_past(known: u64) -> u64 {
    let now = microseconds();
    let ahead = known.saturating_sub(now);
    if ahead == 0 || ahead > BLOCK {
        return now;
    }
    thread::sleep(Duration::from_micros(ahead));
    microseconds()
}

fn microseconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64
}

struct Actor {
    relays: Vec<SocketAddr>,
    began: Instant,
    subscriber: Subscriber,
    dialer: Dialer<Word>,
    board: Arc<Board>,
    revisions: Revisions,
    saves: Option<Sender<String>>,
    disk: Option<JoinHandle<()>>,
    /// What the disk is writing, to be shown by then.
    saving: Option<Capture>,
    /// What is in force is another than was handed to the disk last.
    unsaved: bool,
    /// The lowest position that the part has had since it last settled: where histories part it goes back, if only for a
    /// moment, and what it has afterwards is of both until it settles.
    common: Option<Position>,
    /// Since when that has waited for the part to be of one position.
    unsettled: Option<Instant>,
    /// A save has failed: it is tried again after this.
    again: Option<Instant>,
}

impl Actor {
    fn run(mut self, words: &Receiver<Word>) {
        loop {
            let wait = self.subscriber.next().since(moment(self.began)).as_secs().clamp(0.0, 1.0);
            match words.recv_timeout(Duration::from_secs_f64(wait)) {
                Ok(Word::Above(outgoing)) => self.above(outgoing),
                Ok(Word::Saved(done)) => self.saved(done),
                Ok(Word::Stop) => return self.leave(words),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.step(subscriber::Event::Tick);
        }
    }

    fn above(&mut self, outgoing: Outgoing) {
        match outgoing {
            Outgoing::Connected { number, writer } if self.dialer.is_current(number) => {
                self.dialer.connected(writer);
                self.step(subscriber::Event::Connected);
            }
            Outgoing::Line { number, line } if self.dialer.is_current(number) => {
                self.step(subscriber::Event::Line(&line));
            }
            Outgoing::Lost { number } if self.dialer.is_current(number) => {
                self.dialer.disconnect();
                self.step(subscriber::Event::Lost);
            }
            _ => {}
        }
    }

    fn step(&mut self, event: subscriber::Event) {
        let mut in_force = false;
        let refused = self.subscriber.refusals.all();
        for action in self.subscriber.step(moment(self.began), event) {
            match action {
                subscriber::Action::Connect(to) => match self.relays.get(to as usize) {
                    Some(address) => self.dialer.connect(*address),
                    None => log::warn!("there is no relay {to}"),
                },
                subscriber::Action::Disconnect => self.dialer.disconnect(),
                subscriber::Action::Say(line) => self.dialer.say(line),
                subscriber::Action::InForce(_) => in_force = true,
                subscriber::Action::Save => self.unsaved = true,
            }
        }
        if self.subscriber.refusals.all() > refused
            && let Some(fault) = &self.subscriber.refusals.last
        {
            log::warn!("a line of the relay was refused: {fault}");
        }
        let position = self.subscriber.part().position;
        self.common = if self.subscriber.is_settled() { position } else { self.common.min(position) };
        self.unsaved |= in_force;
        if self.again.is_none_or(|at| at <= Instant::now()) {
            self.save();
        }
        let mut shown = self.board.shown();
        // Nothing waits for the disk: what is shown is what is in force, and may be so as of later.
        if self.saving.is_none() && !self.unsaved && self.subscriber.is_settled() {
            shown.position = self.common;
        }
        shown.up = self.subscriber.is_connected();
        shown.refused = self.subscriber.refusals.all();
    }

    fn capture(&self) -> Capture {
        let part = self.subscriber.part();
        let live = part.shards.values().flat_map(|shard| shard.live());
        let destinations =
            live.filter_map(|entry| Some((entry.destination, (entry.revision, entry.body.clone()?))));
        Capture {
            destinations: destinations.collect(),
            common: part.common.clone(),
            position: self.common,
            shards: part.shards.len(),
        }
    }

    /// Puts on the board what is in force from here on.
    fn show(&mut self, capture: Capture) {
        let board = Arc::clone(&self.board);
        let mut shown = board.shown();
        (shown.destinations, shown.common) = (capture.destinations, capture.common);
        (shown.position, shown.shards) = (capture.position, capture.shards);
        // Before a first shard was its own there is no list: a daemon would take one with nobody in it for its word.
        if shown.listing.is_ready() || capture.shards > 0 {
            self.list(&mut shown);
        }
    }

    fn list(&mut self, shown: &mut Shown) {
        if shown.listing.revision() + 1 >= self.revisions.until
            && let Err(e) = self.revisions.set_apart(shown.listing.revision())
        {
            // One that isn't set apart could come again after a restart: this is tried again, with the next save.
            (self.unsaved, self.again) = (true, Some(Instant::now() + self.board.limits.lazily));
            shown.trouble =
                Some(format!("revisions can't be set apart, the daemon is told nothing new: {e}"));
            log::warn!("revisions can't be set apart: {e}");
            return;
        }
        let Shown { listing, destinations, .. } = shown;
        let part = destinations.iter().map(|(destination, (_, body))| (*destination, body));
        let (changed, refused) = listing.put_in_force(part);
        for wrong in refused {
            log::warn!("not listed: {wrong}");
        }
        if changed {
            self.board.changed.notify_all();
        }
    }

    fn save(&mut self) {
        if self.saving.is_some() || !self.unsaved {
            return;
        }
        if !self.subscriber.is_settled() && !self.subscriber.is_connected() {
            // Cut off it would stay between two positions for as long as that lasts: the next connection settles it.
            self.unsettled = None;
            return;
        }
        let limits = &self.board.limits;
        let within = if self.board.shown().listing.is_ready() { limits.settle } else { limits.settle_first };
        if !self.subscriber.is_settled() && self.unsettled.get_or_insert_with(Instant::now).elapsed() < within
        {
            return;
        }
        if let Some(saves) = &self.saves
            && saves.try_send(self.subscriber.saved()).is_ok()
        {
            self.saving = Some(self.capture());
            (self.unsaved, self.unsettled) = (false, None);
        }
    }

    fn saved(&mut self, done: Result<(), String>) {
        if let Err(e) = &done {
            log::warn!("the part can't be saved: {e}");
        }
        self.unsaved |= done.is_err();
        self.again = done.is_err().then(|| Instant::now() + self.board.limits.lazily);
        self.board.shown().trouble = done.err().map(|e| format!("the part can't be saved: {e}"));
        if let Some(capture) = self.saving.take() {
            self.show(capture);
        }
    }

    /// Saves what is in force, and ends.
    fn leave(mut self, words: &Receiver<Word>) {
        let by = Instant::now() + Duration::from_secs(10);
        // With nothing ever in force there is nothing to save; what has not settled is told anew by the next life's relay.
        self.unsaved = self.board.shown().listing.is_ready() && self.subscriber.is_settled();
        self.save();
        while self.saving.is_some() {
            match words.recv_timeout(by.saturating_duration_since(Instant::now())) {
                Ok(Word::Saved(done)) => self.saved(done),
                Ok(_) => {}
                Err(_) => break,
            }
            // What came into force while the last was written.
            if self.again.is_none() {
                self.save();
            }
        }
        self.saves = None;
        join(self.disk.take());
    }
}

// Towards the daemon.

fn listen(listener: &TcpListener, board: &Arc<Board>) {
    let mut number = 0;
    for stream in listener.incoming() {
        if board.over.load(Ordering::Acquire) {
            return;
        }
        let Ok(stream) = stream else {
            thread::sleep(Duration::from_millis(20));
            continue;
        };
        number += 1;
        let stream = Arc::new(stream);
        {
            let mut open = board.open();
            if open.len() >= board.limits.http_connections {
                continue;
            }
            open.insert(number, Arc::clone(&stream));
        }
        let own = Arc::clone(board);
        let work = move || {
            _ = serve(&stream, &own);
            _ = stream.shutdown(Shutdown::Both);
            own.open().remove(&number);
        };
        let thread = thread::Builder::new().name("daemon".into()).stack_size(board.limits.stack);
        if thread.spawn(work).is_err() {
            board.open().remove(&number);
        }
    }
}

fn serve(stream: &TcpStream, board: &Board) -> io::Result<()> {
    _ = stream.set_nodelay(true);
    stream.set_write_timeout(Some(board.limits.write_within))?;
    stream.set_read_timeout(Some(board.limits.http_idle))?;
    let limits = HttpLimits { body: board.limits.http_body, ..HttpLimits::of(Grant::new(192, 1024, 3.0)) };
    let (mut ring, mut out) = (Ring::default(), Ring::default());
    let upstream = HttpLimits { report_time: board.limits.report_within, ..limits.clone() };
    let mut reports = Reports { to: board.reports, post: HttpPoster::new(Arc::new(upstream)) };
    loop {
        let close = match take_request(&mut ring, &limits) {
            Ok(Some(request)) => {
                let (status, body) = answer(&request, board, &mut reports);
                put_answer(&mut out, status, &body, request.close);
                request.close
            }
            Ok(None) => {
                let count = ring.fill(&mut &*stream)?;
                if count == 0 {
                    return Ok(());
                }
                board.http.read.fetch_add(count as u64, Ordering::Relaxed);
                continue;
            }
            Err(rejection) => {
                put_answer(&mut out, rejection.0, "", true);
                true
            }
        };
        board.http.written.fetch_add(out.len() as u64, Ordering::Relaxed);
        out.drain_to(&mut &*stream)?;
        if close {
            return (&*stream).flush();
        }
    }
}

/// Passes a daemon's notices on, all or none of them: what it is told is what whoever takes them said.
struct Reports {
    to: Option<SocketAddr>,
    post: HttpPoster,
}

impl Reports {
    fn pass_on(&mut self, body: &[u8], board: &Board) -> u16 {
        let Ok(text) = std::str::from_utf8(body) else { return 400 };
        let Some(to) = self.to else {
            // Nobody is told of these ends: said once, not once a notice.
            if board.notices_kept.fetch_add(1, Ordering::Relaxed) == 0 {
                log::warn!("reports: no address is given: notices are answered 503 and stay with the daemon");
            }
            return 503;
        };
        match self.post.post(to, "/reports", text) {
            Ok(204) => {
                let count = text.lines().filter(|line| !line.is_empty()).count();
                board.notices.fetch_add(count as u64, Ordering::Relaxed);
                204
            }
            Ok(400) => 400,
            other => {
                if board.notices_kept.fetch_add(1, Ordering::Relaxed) == 0 {
                    log::warn!("reports: {to}: {other:?}; the daemon keeps its notices");
                }
                503
            }
        }
    }
}

fn answer(request: &Request, board: &Board, reports: &mut Reports) -> (u16, String) {
    let path = request.path.split('?').next().unwrap_or_default();
    match (request.method.as_str(), path) {
        ("GET", "/discovery/hosts") => list(&request.path, board),
        ("GET", "/status") => (200, status(board).to_string()),
        ("POST", "/reports") => (reports.pass_on(&request.body, board), String::new()),
        (_, "/discovery/hosts" | "/status" | "/reports") => (405, String::new()),
        _ => (404, String::new()),
    }
}

fn number(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// The list, or what came after a revision; 503 until there is one, as from a discovery that is not ready.
fn list(path: &str, board: &Board) -> (u16, String) {
    let from = number(path, "from");
    let hold = Duration::from_millis(number(path, "hold_ms").unwrap_or(0)).min(board.limits.hold);
    let by = Instant::now() + hold;
    let mut shown = board.shown();
    loop {
        if !shown.listing.is_ready() || board.over.load(Ordering::Acquire) {
            return (503, String::new());
        }
        let left = by.saturating_duration_since(Instant::now());
        if from.is_none_or(|from| shown.listing.is_after(from)) || left.is_zero() {
            return (200, shown.listing.page(from));
        }
        let waited = board.changed.wait_timeout(shown, left);
        shown = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}

fn status(board: &Board) -> Value {
    let shown = board.shown();
    let destinations: BTreeMap<_, _> = shown
        .destinations
        .iter()
        .map(|(destination, (revision, body))| {
            (destination.to_string(), json!({"revision": revision, "body": &**body}))
        })
        .collect();
    let common = shown.common.as_ref().map(|(revision, body)| json!({"revision": revision, "body": &**body}));
    json!({
        "sender": board.sender,
        "position": shown.position.map(|at| (at.epoch, at.revision)),
        "up": shown.up,
        "refused": shown.refused + shown.listing.refused,
        "shards": shown.shards,
        "destinations": destinations,
        "common": common,
        "ready": shown.listing.is_ready(),
        "list_revision": shown.listing.revision(),
        "bodies_refused": shown.listing.refused,
        "notices": board.notices.load(Ordering::Relaxed),
        "notices_kept": board.notices_kept.load(Ordering::Relaxed),
        "reports": board.reports,
        "trouble": shown.trouble,
        "bytes_in_out": {"above": board.above.get(), "http": board.http.get()},
    })
}
