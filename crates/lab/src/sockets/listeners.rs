//! The gateways' side of the wire: a listener for each endpoint, a reading thread for each link.
//!
//! Threads only read; the actor of the world writes the answers itself, which are small. A listener that is to refuse
//! is closed in earnest, so that the kernel refuses as it would for a process that is gone.

use super::Mailbox;
use crate::platform;
use crate::processes::network::{Network, Trail};
use crate::world::Seen;
use indigomast::api::{Allowance, EndpointId};
use indigomast_gateway::{CallId, LinkId, Reply, TextNo};
use indigomast_sender::http::{Request, take_request};
use indigomast_sender::limits::{Grant, Limits};
use indigomast_sender::ring::Ring;
use rustix::net::{RecvFlags, recv};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

const STACK: usize = 128 << 10;
/// An answer is small; whoever doesn't take it in this time has its link ended.
const WRITE_TIME: Duration = Duration::from_millis(100);
/// Numbers of texts that come from outside begin here.
const FOREIGN: u64 = 1 << 62;

struct Listener {
    address: SocketAddr,
    open: Option<Arc<AtomicBool>>,
}

struct Link {
    stream: Arc<TcpStream>,
    refused: bool,
    call: Option<CallId>,
    /// What the line that it came over has seen of it.
    trail: Option<Arc<Trail>>,
}

/// What a call needs for its answer.
struct Asked {
    ids: Vec<String>,
    batch: bool,
}

#[derive(Default)]
struct Shared {
    links: Mutex<BTreeMap<LinkId, Link>>,
    asked: Mutex<BTreeMap<CallId, Asked>>,
    foreign: Mutex<BTreeMap<String, u64>>,
    next: AtomicU64,
    network: Option<Arc<Network>>,
    by_trail: Mutex<BTreeMap<u64, LinkId>>,
}

impl Shared {
    fn links(&self) -> std::sync::MutexGuard<'_, BTreeMap<LinkId, Link>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn by_trail(&self) -> std::sync::MutexGuard<'_, BTreeMap<u64, LinkId>> {
        self.by_trail.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn asked(&self) -> std::sync::MutexGuard<'_, BTreeMap<CallId, Asked>> {
        self.asked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn number(&self, id: &str) -> TextNo {
        if let Some(text) = platform::text_of(id) {
            return text;
        }
        let mut foreign = self.foreign.lock().unwrap_or_else(PoisonError::into_inner);
        let next = FOREIGN + foreign.len() as u64;
        TextNo(*foreign.entry(id.to_owned()).or_insert(next))
    }
}

pub struct Listeners {
    listeners: BTreeMap<EndpointId, Listener>,
    shared: Arc<Shared>,
    mailbox: Mailbox,
    by_call: BTreeMap<CallId, LinkId>,
}

fn limits() -> Limits {
    Limits::of(Grant::new(192, 4096, 3.0))
}

/// The texts of a call, or why it can't be read.
fn texts_of(request: &Request) -> Result<(Vec<String>, bool), u16> {
    if request.method != "POST" {
        return Err(405);
    }
    match request.path.as_str() {
        "/v1/messages" => match request.headers.get("x-request-id") {
            Some(id) if !id.is_empty() => Ok((vec![id.to_owned()], false)),
            _ => Err(400),
        },
        "/v1/messages:batch" => {
            let mut ids = Vec::new();
            let mut rest = request.body.as_slice();
            while !rest.is_empty() {
                let end = rest.windows(2).position(|pair| pair == b"\r\n").ok_or(400u16)?;
                let line = std::str::from_utf8(&rest[..end]).map_err(|_| 400u16)?;
                let mut parts = line.split(' ');
                let (id, _mark, length) = (parts.next(), parts.next(), parts.next());
                let length: usize = length.and_then(|length| length.parse().ok()).ok_or(400u16)?;
                let body = end + 2 + length;
                if rest.len() < body + 2 || &rest[body..body + 2] != b"\r\n" {
                    return Err(400);
                }
                let id = id.filter(|id| !id.is_empty()).ok_or(400u16)?.to_owned();
                if ids.contains(&id) {
                    return Err(400);
                }
                ids.push(id);
                rest = &rest[body + 2..];
            }
            if ids.is_empty() { Err(400) } else { Ok((ids, true)) }
        }
        _ => Err(404),
    }
}

impl Listeners {
    pub fn open(
        endpoints: impl Iterator<Item = EndpointId>,
        network: Option<Arc<Network>>,
        mailbox: &Mailbox,
    ) -> Result<Listeners, String> {
        let mut listeners = Listeners {
            listeners: BTreeMap::new(),
            shared: Arc::new(Shared { network, ..Shared::default() }),
            mailbox: mailbox.clone(),
            by_call: BTreeMap::new(),
        };
        for endpoint in endpoints {
            listeners.add(endpoint)?;
        }
        Ok(listeners)
    }

    fn add(&mut self, endpoint: EndpointId) -> Result<(), String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("a gateway's port: {e}"))?;
        let address = listener.local_addr().map_err(|e| e.to_string())?;
        let open = self.accept(endpoint, listener).map_err(|e| format!("a gateway's thread: {e}"))?;
        self.listeners.insert(endpoint, Listener { address, open: Some(open) });
        Ok(())
    }

    pub fn addresses(&self) -> BTreeMap<EndpointId, SocketAddr> {
        self.listeners.iter().map(|(endpoint, listener)| (*endpoint, listener.address)).collect()
    }

    fn accept(&self, endpoint: EndpointId, listener: TcpListener) -> std::io::Result<Arc<AtomicBool>> {
        let open = Arc::new(AtomicBool::new(true));
        let (shared, mailbox, flag) = (Arc::clone(&self.shared), self.mailbox.clone(), Arc::clone(&open));
        thread::Builder::new().stack_size(STACK).spawn(move || {
            for stream in listener.incoming() {
                if !flag.load(Ordering::Acquire) {
                    return;
                }
                let Ok(stream) = stream else {
                    // Out of descriptors: those that wait stay in the backlog.
                    thread::sleep(Duration::from_millis(5));
                    continue;
                };
                _ = stream.set_nodelay(true);
                _ = stream.set_write_timeout(Some(WRITE_TIME));
                let link = LinkId(shared.next.fetch_add(1, Ordering::Relaxed) + 1);
                let stream = Arc::new(stream);
                let peer = stream.peer_addr().ok();
                let trail = shared.network.as_ref().zip(peer).and_then(|(network, peer)| network.trail(peer));
                if let Some(trail) = &trail {
                    shared.by_trail().insert(trail.number, link);
                }
                let known = Link { stream: Arc::clone(&stream), refused: false, call: None, trail };
                shared.links().insert(link, known);
                mailbox.tell(Seen::Link { link, endpoint });
                let (shared, own) = (Arc::clone(&shared), mailbox.clone());
                let read = move || read(&stream, link, &shared, &own);
                if thread::Builder::new().stack_size(STACK).spawn(read).is_err() {
                    mailbox.tell(Seen::Unlink { link });
                }
            }
        })?;
        Ok(open)
    }

    /// An error tells that the endpoint can't listen where it has to; the run then says nothing.
    pub fn listens(&mut self, endpoint: EndpointId, on: bool) -> Result<(), String> {
        let Some(listener) = self.listeners.get_mut(&endpoint) else {
            return if on { self.add(endpoint) } else { Ok(()) };
        };
        match (on, listener.open.take()) {
            (true, None) => {
                // Its port was its own until now; a moment may pass until the kernel gives it back.
                let address = listener.address;
                let bound = (0..50).find_map(|_| {
                    let bound = TcpListener::bind(address);
                    if bound.is_err() {
                        thread::sleep(Duration::from_millis(2));
                    }
                    bound.ok()
                });
                match bound.map(|listener| self.accept(endpoint, listener)) {
                    Some(Ok(open)) => {
                        self.listeners.entry(endpoint).and_modify(|listener| listener.open = Some(open));
                    }
                    _ => return Err(format!("endpoint {} can't listen at {address} again", endpoint.0)),
                }
            }
            (false, Some(open)) => {
                open.store(false, Ordering::Release);
                // Wakes the thread that accepts, which then closes the listener.
                _ = TcpStream::connect(listener.address);
            }
            (_, as_it_was) => listener.open = as_it_was,
        }
        Ok(())
    }

    /// A new endpoint listens at the address of one that has gone, whose listener is closed by then.
    pub fn takes_over(&mut self, endpoint: EndpointId, from: EndpointId) -> Result<(), String> {
        self.listens(from, false)?;
        let address = self.listeners.get(&from).ok_or("nobody listened there")?.address;
        self.listeners.insert(endpoint, Listener { address, open: None });
        self.listens(endpoint, true)
    }

    pub fn close(mut self) {
        let all: Vec<EndpointId> = self.listeners.keys().copied().collect();
        all.into_iter().for_each(|endpoint| _ = self.listens(endpoint, false));
        for link in self.shared.links().values() {
            _ = link.stream.shutdown(Shutdown::Both);
        }
    }

    pub fn note_call(&mut self, call: CallId, link: LinkId) {
        self.by_call.insert(call, link);
        if let Some(open) = self.shared.links().get_mut(&link) {
            open.call = Some(call);
        }
    }

    /// Links with a call out that their sender has ended by now.
    pub fn ended_links(&self) -> Vec<LinkId> {
        let ended = |link: &Link| {
            // The reading thread blocks on the same socket, so this must not change how it reads.
            let mut byte = [0u8; 1];
            let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
            match recv(&*link.stream, &mut byte[..], flags) {
                Ok((_, count)) => count == 0,
                Err(e) => e != rustix::io::Errno::AGAIN && e != rustix::io::Errno::INTR,
            }
        };
        let links = self.shared.links();
        links.iter().filter(|(_, link)| link.call.is_some() && ended(link)).map(|(id, _)| *id).collect()
    }

    pub fn forget(&mut self, link: LinkId) {
        let gone = self.shared.links().remove(&link);
        if let Some(trail) = gone.as_ref().and_then(|gone| gone.trail.as_ref()) {
            self.shared.by_trail().remove(&trail.number);
        }
        if let Some(call) = gone.and_then(|gone| gone.call) {
            self.by_call.remove(&call);
            self.shared.asked().remove(&call);
        }
    }

    /// The link that came over a line as this connection, once it is there.
    pub fn link_of(&self, trail: u64) -> Option<LinkId> {
        self.shared.by_trail().get(&trail).copied()
    }

    pub fn trail(&self, link: LinkId) -> Option<Arc<Trail>> {
        self.shared.links().get(&link)?.trail.clone()
    }

    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.listeners.get(&endpoint).map(|listener| listener.address)
    }

    pub fn is_refused(&self, link: LinkId) -> bool {
        self.shared.links().get(&link).is_some_and(|link| link.refused)
    }

    /// More connections than the endpoint holds: what is asked on this one is turned away.
    pub fn refuse(&self, link: LinkId) {
        if let Some(link) = self.shared.links().get_mut(&link) {
            link.refused = true;
        }
    }

    pub fn turn_away(&mut self, link: LinkId) {
        if let Some(link) = self.shared.links().get(&link) {
            _ = (&*link.stream).write_all(
                b"HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            );
        }
        self.drop_link(link);
    }

    pub fn drop_link(&mut self, link: LinkId) {
        if let Some(link) = self.shared.links().get(&link) {
            _ = link.stream.shutdown(Shutdown::Both);
        }
    }

    pub fn answer(&mut self, call: CallId, reply: &Reply, allowance: Option<Allowance>) {
        let Some(link) = self.by_call.remove(&call) else { return };
        let asked = self.shared.asked().remove(&call);
        let mut links = self.shared.links();
        let Some(open) = links.get_mut(&link) else { return };
        open.call = None;
        let stream = Arc::clone(&open.stream);
        drop(links);
        let report = allowance.map_or_else(String::new, |allowance| {
            let value = platform::load_report(allowance.remaining_share, allowance.calls_per_sec);
            format!("X-Server-Load: {value}\r\n")
        });
        let plain = |line: &str, more: &str, body: &str| {
            let length = body.len();
            format!("HTTP/1.1 {line}\r\n{report}{more}Content-Length: {length}\r\n\r\n{body}")
        };
        let bytes = match reply {
            Reply::Done => {
                let batch = asked.filter(|asked| asked.batch).map(|asked| asked.ids).unwrap_or_default();
                let body: String = batch.iter().map(|id| format!("{id} done\r\n")).collect();
                plain("200 OK", "", &body)
            }
            Reply::Error => plain("500 Internal Server Error", "", ""),
            Reply::Busy { wait: Some(wait) } => {
                let more = format!("Retry-After: {:.3}\r\n", wait.as_secs());
                plain("429 Too Many Requests", &more, "")
            }
            Reply::Busy { wait: None } => plain("503 Service Unavailable", "", ""),
            Reply::Spoilt => "HZZP/7 two hundred\r\nnoise\r\n\r\n".to_owned(),
            Reply::Reset => {
                _ = stream.shutdown(Shutdown::Both);
                return;
            }
        };
        if (&*stream).write_all(bytes.as_bytes()).is_err() {
            _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn read(stream: &TcpStream, link: LinkId, shared: &Shared, mailbox: &Mailbox) {
    let (mut ring, limits) = (Ring::default(), Limits { body: 1 << 20, ..limits() });
    'link: loop {
        loop {
            match take_request(&mut ring, &limits) {
                Ok(Some(request)) => match texts_of(&request) {
                    Ok((ids, batch)) => {
                        let call = CallId(shared.next.fetch_add(1, Ordering::Relaxed) + 1);
                        let texts = ids.iter().map(|id| shared.number(id)).collect();
                        shared.asked().insert(call, Asked { ids, batch });
                        mailbox.tell(Seen::Call { call, link, texts, left: None });
                    }
                    Err(status) => {
                        let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n");
                        if (&*stream).write_all(answer.as_bytes()).is_err() {
                            break 'link;
                        }
                    }
                },
                Ok(None) => break,
                Err(_) => break 'link,
            }
        }
        if !matches!(ring.fill(&mut &*stream), Ok(count) if count > 0) {
            break;
        }
    }
    _ = stream.shutdown(Shutdown::Both);
    mailbox.tell(Seen::Unlink { link });
}

#[cfg(test)]
mod tests;
