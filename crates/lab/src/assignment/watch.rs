//! What a run looks at, all the time and past all faults: each agent's part and page, each daemon's list and calls.

use super::history::*;
use indigomast_assignment::catalog::Position;
use indigomast_sender::http::{Request, take_request};
use indigomast_sender::limits::{Grant, Limits};
use indigomast_sender::ring::Ring;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Between two looks at an agent, and at a daemon.
const LOOK: Duration = Duration::from_millis(60);
const DAEMON_LOOK: Duration = Duration::from_millis(250);
/// A page is asked for with every so manieth look.
const PAGE: u64 = 4;
/// An answer takes no longer, or there is none.
const PATIENCE: Duration = Duration::from_millis(1000);
const STACK: usize = 256 << 10;

/// Where a process is to be found, and in which life.
pub type Found = Option<(SocketAddr, u32)>;

/// Between whoever plays and whoever looks.
pub struct Board {
    began: Instant,
    history: Mutex<History>,
    /// Bodies said, by stamp.
    said: Mutex<BTreeMap<Stamp, String>>,
    agents: Mutex<Vec<Found>>,
    /// Those that answer.
    controls: Mutex<Vec<Option<SocketAddr>>>,
    /// The address for texts and the second one.
    daemons: Mutex<BTreeMap<u32, (SocketAddr, SocketAddr)>>,
    over: AtomicBool,
}

fn held<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Board {
    pub fn new(history: History) -> Board {
        let (agents, controls) = (vec![None; history.senders as usize], vec![None; history.controls]);
        Board {
            began: Instant::now(),
            history: Mutex::new(history),
            said: Mutex::default(),
            agents: Mutex::new(agents),
            controls: Mutex::new(controls),
            daemons: Mutex::default(),
            over: AtomicBool::new(false),
        }
    }

    pub fn now_ms(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    pub fn history(&self) -> MutexGuard<'_, History> {
        held(&self.history)
    }

    pub fn say(&self, stamp: Stamp, body: String) {
        held(&self.said).insert(stamp, body);
    }

    pub fn agent(&self, sender: u32, found: Found) {
        held(&self.agents)[sender as usize] = found;
    }

    pub fn control(&self, at: usize) -> Option<SocketAddr> {
        held(&self.controls)[at]
    }

    pub fn set_control(&self, at: usize, address: Option<SocketAddr>) {
        held(&self.controls)[at] = address;
    }

    pub fn daemon(&self, sender: u32, texts: SocketAddr, control: SocketAddr) {
        held(&self.daemons).insert(sender, (texts, control));
    }

    pub fn end(&self) {
        self.over.store(true, Ordering::Release);
    }

    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Acquire)
    }
}

/// Asks and reads all of the answer; its status and body.
pub fn ask(address: SocketAddr, request: &str) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).ok()?;
    _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    stream.set_write_timeout(Some(PATIENCE)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    let (head, body) = answer.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse::<usize>().ok());
    // Half an answer is none.
    length.is_none_or(|length| length == body.len()).then(|| (status, body.to_owned()))
}

fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    ask(address, &format!("GET {path} HTTP/1.1\r\nHost: rig\r\nConnection: close\r\n\r\n"))
}

fn stamp_of(body: &Value) -> Stamp {
    body["up_since_ms"].as_u64().unwrap_or(UNSAID)
}

/// Looks at one agent until the run is over.
pub fn watch_agent(board: Arc<Board>, sender: u32) -> std::io::Result<JoinHandle<()>> {
    thread::Builder::new().name(format!("look-{sender}")).stack_size(STACK).spawn(move || {
        for look in 0u64.. {
            if board.is_over() {
                return;
            }
            let found = held(&board.agents)[sender as usize];
            if let Some((address, life)) = found {
                if look.is_multiple_of(PAGE) {
                    look_at_page(&board, sender, address);
                } else {
                    look_at_part(&board, sender, address, life);
                }
            }
            thread::sleep(LOOK);
        }
    })
}

fn look_at_part(board: &Board, sender: u32, address: SocketAddr, life: u32) {
    let asked_ms = board.now_ms();
    let Some((200, body)) = get(address, "/status") else { return };
    let at_ms = board.now_ms();
    let Ok(status) = serde_json::from_str::<Value>(&body) else { return };
    let number = |at: usize| status["position"][at].as_u64();
    let position = number(0).zip(number(1));
    let position = position.map(|(epoch, revision)| Position { epoch: epoch as u32, revision });
    let mut lines = BTreeMap::new();
    let said = held(&board.said);
    for (destination, entry) in status["destinations"].as_object().into_iter().flatten() {
        let Ok(destination) = destination.parse::<u32>() else { continue };
        let body = entry["body"].as_str().unwrap_or_default();
        let stamp = serde_json::from_str(body).map_or(UNSAID, |body| stamp_of(&body));
        let known = said.get(&stamp).is_some_and(|said| said == body);
        let revision = entry["revision"].as_u64().unwrap_or(0);
        lines.insert(destination, (revision, if known { stamp } else { UNSAID }));
    }
    drop(said);
    let mut history = board.history();
    let last = history.parts.iter_mut().rfind(|part| part.sender == sender);
    if let Some(last) = last
        && last.life == life
        && last.position == position
        && last.lines == lines
    {
        last.until_ms = asked_ms;
        return;
    }
    history.parts.push(PartSeen { sender, life, asked_ms, at_ms, until_ms: asked_ms, position, lines });
}

fn look_at_page(board: &Board, sender: u32, address: SocketAddr) {
    let asked_ms = board.now_ms();
    let Some((200, body)) = get(address, "/discovery/hosts") else { return };
    let at_ms = board.now_ms();
    let Ok(page) = serde_json::from_str::<Value>(&body) else { return };
    let mut lines = BTreeMap::new();
    let said = held(&board.said);
    for member in page["members"].as_array().into_iter().flatten() {
        let Some(destination) = member["cell"].as_u64() else { continue };
        let stamp = stamp_of(member);
        let known = said.get(&stamp).and_then(|said| serde_json::from_str::<Value>(said).ok());
        let stamp = if known.as_ref() == Some(member) { stamp } else { UNSAID };
        lines.insert(destination as u32, stamp);
    }
    drop(said);
    let revision = page["revision"].as_u64().unwrap_or(0);
    board.history().pages.push(PageSeen { sender, asked_ms, at_ms, revision, lines });
}

/// Asks one daemon how many endpoints it knows, and hands it texts, until the run is over.
pub fn watch_daemon(board: Arc<Board>, sender: u32) -> std::io::Result<JoinHandle<()>> {
    thread::Builder::new().name(format!("daemon-{sender}")).stack_size(STACK).spawn(move || {
        for look in 0u64.. {
            if board.is_over() {
                return;
            }
            let found = held(&board.daemons).get(&sender).copied();
            if let Some((texts, control)) = found {
                if let Some((200, stats)) = get(control, "/ops/stats") {
                    let at_ms = board.now_ms();
                    let line = stats.lines().find_map(|line| line.strip_prefix("sender.cluster_size="));
                    if let Some(size) = line.and_then(|size| size.parse().ok()) {
                        board.history().sizes.push(SizeSeen { sender, at_ms, size });
                    }
                }
                let last = board.history().parts.iter().rfind(|part| part.sender == sender).map(|part| {
                    let nth = look as usize * 7 % part.lines.len().max(1);
                    part.lines.keys().nth(nth).copied()
                });
                if let Some(destination) = last.flatten() {
                    let text = format!(
                        "POST /free HTTP/1.1\r\nHost: rig\r\nConnection: close\r\nX-Request-ID: \
                         {sender}-{destination}-{look}\r\nX-Timeout-Ms: 5000\r\nX-Envelope: dest={destination}\r\n\
                         Content-Length: 4\r\n\r\ntext"
                    );
                    _ = ask(texts, &text);
                }
            }
            thread::sleep(DAEMON_LOOK);
        }
    })
}

/// Stand-in endpoints, one for each slot: they tell of each call and answer that all is well.
pub fn endpoints(board: &Arc<Board>) -> Result<Vec<SocketAddr>, String> {
    let failed = |e: std::io::Error| format!("an endpoint: {e}");
    let mut addresses = Vec::new();
    for slot in 0..SLOTS {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(failed)?;
        addresses.push(listener.local_addr().map_err(failed)?);
        let board = Arc::clone(board);
        let accept = move || {
            for stream in listener.incoming().flatten() {
                let board = Arc::clone(&board);
                let serve = move || _ = serve(stream, slot, &board);
                _ = thread::Builder::new().stack_size(STACK).spawn(serve);
            }
        };
        thread::Builder::new().stack_size(STACK).spawn(accept).map_err(failed)?;
    }
    Ok(addresses)
}

fn serve(mut stream: TcpStream, slot: u64, board: &Board) -> std::io::Result<()> {
    let (mut ring, limits) = (Ring::default(), Limits::of(Grant::new(64, 1024, 64.0)));
    loop {
        while let Ok(Some(request)) = take_request(&mut ring, &limits) {
            if let Some((sender, destination)) = text_of(&request) {
                let at_ms = board.now_ms();
                board.history().calls.push(CallSeen { sender, at_ms, destination, slot });
            }
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")?;
        }
        if ring.fill(&mut stream)? == 0 {
            return Ok(());
        }
    }
}

fn text_of(request: &Request) -> Option<(u32, u32)> {
    let mut parts = request.headers.get("x-request-id")?.split('-');
    Some((parts.next()?.parse().ok()?, parts.next()?.parse().ok()?))
}
