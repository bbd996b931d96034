//! The list and the notices: one address for each sender, so that it is known who was told.

use super::Mailbox;
use crate::platform;
use crate::processes::faults::End;
use crate::processes::network::Network;
use crate::world::{Member, Noticed, Seen, World};
use indigomast::api::EndpointId;
use indigomast::time::Span;
use indigomast_sender::http::{Request, put_answer, take_request};
use indigomast_sender::limits::{Grant, Limits};
use indigomast_sender::ring::Ring;
use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const STACK: usize = 192 << 10;
/// The longest that a watch is held.
const HOLD_MOST: Duration = Duration::from_secs(60);

#[derive(Default)]
struct State {
    revision: u64,
    whole: Vec<Member>,
    /// What changed since the first version, by version, as far as senders may see.
    changes: Vec<(u64, Vec<Member>)>,
    addresses: BTreeMap<EndpointId, SocketAddr>,
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    kinds: Vec<String>,
    network: Option<Arc<Network>>,
}

pub struct Discovery {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
}

/// A notice as a sender posts it.
#[derive(Deserialize)]
struct Notice {
    id: String,
    status: String,
    #[serde(default)]
    again_ms: Option<f64>,
}

impl Shared {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// As one sender finds it: over lines each has addresses of its own.
    fn page(&self, sender: usize, state: &State, complete: bool, members: &[Member]) -> Value {
        let none = SocketAddr::from(([127, 0, 0, 1], 1));
        let entries = members.iter().map(|member| {
            let address = state.addresses.get(&member.endpoint).copied().unwrap_or(none);
            let line = self.network.as_ref().map(|network| {
                network.way(End::Sender(sender), End::Destination(member.dest.0), address, false)
            });
            let address = line.map_or(address, |line| line.unwrap_or(none));
            platform::entry(member, &self.kinds[member.kind], address)
        });
        json!({"revision": state.revision, "complete": complete, "members": entries.collect::<Vec<_>>()})
    }
}

impl Discovery {
    pub fn open(
        senders: usize,
        kinds: Vec<String>,
        world: &World,
        addresses: BTreeMap<EndpointId, SocketAddr>,
        network: Option<Arc<Network>>,
        mailbox: &Mailbox,
    ) -> Result<Discovery, String> {
        let (revision, whole) = world.listing();
        let state = State { revision, whole, changes: Vec::new(), addresses };
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new(), kinds, network });
        let mut own = Vec::new();
        for sender in 0..senders {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("the list's port: {e}"))?;
            let address = listener.local_addr().map_err(|e| e.to_string())?;
            own.push(match &shared.network {
                Some(network) => network.way(End::Sender(sender), End::Platform, address, false)?,
                None => address,
            });
            let (shared, mailbox) = (Arc::clone(&shared), mailbox.clone());
            let accept = move || {
                for stream in listener.incoming().flatten() {
                    let (shared, mailbox) = (Arc::clone(&shared), mailbox.clone());
                    let serve = move || serve(stream, sender, &shared, &mailbox);
                    _ = thread::Builder::new().stack_size(STACK).spawn(serve);
                }
            };
            thread::Builder::new().stack_size(STACK).spawn(accept).map_err(|e| e.to_string())?;
        }
        Ok(Discovery { shared, addresses: own })
    }

    pub fn address(&self, sender: usize) -> SocketAddr {
        self.addresses[sender]
    }

    /// The list as a sender finds it in its configuration.
    pub fn known(&self, sender: usize) -> Value {
        let state = self.shared.lock();
        self.shared.page(sender, &state, true, &state.whole)
    }

    /// Takes over what senders may see by now.
    pub fn publish(&self, world: &World, addresses: BTreeMap<EndpointId, SocketAddr>) {
        let mut state = self.shared.lock();
        let (revision, changes) = world.changes_since(state.revision);
        if revision > state.revision {
            state.changes.push((revision, changes));
        }
        (state.revision, state.whole) = world.listing();
        state.addresses = addresses;
        drop(state);
        self.shared.changed.notify_all();
    }
}

fn number(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// The list or its changes; the answer and the version that it tells.
fn list(sender: usize, request: &Request, shared: &Shared) -> (String, u64) {
    let from = number(&request.path, "from");
    let hold = Duration::from_millis(number(&request.path, "hold_ms").unwrap_or(0)).min(HOLD_MOST);
    let by = Instant::now() + hold;
    let mut state = shared.lock();
    while from.is_some_and(|from| from >= state.revision) {
        let left = by.saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let waited = shared.changed.wait_timeout(state, left);
        state = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    let page = match from {
        Some(from) => {
            let mut members = BTreeMap::new();
            for (_, changes) in state.changes.iter().filter(|(revision, _)| *revision > from) {
                members.extend(changes.iter().map(|member| (member.endpoint, member.clone())));
            }
            let members: Vec<Member> = members.into_values().collect();
            shared.page(sender, &state, false, &members)
        }
        None => shared.page(sender, &state, true, &state.whole),
    };
    (page.to_string(), state.revision)
}

/// The notices of a report; none of them if one can't be read.
fn notices(body: &[u8]) -> Option<Vec<Notice>> {
    let text = std::str::from_utf8(body).ok()?;
    text.lines().filter(|line| !line.is_empty()).map(|line| serde_json::from_str(line).ok()).collect()
}

fn serve(mut stream: TcpStream, sender: usize, shared: &Shared, mailbox: &Mailbox) {
    let grant = Grant::new(192, 1024, 3.0);
    let (mut ring, mut out) = (Ring::default(), Ring::default());
    let limits = Limits { body: 1 << 20, ..Limits::of(grant) };
    _ = stream.set_nodelay(true);
    let peer = stream.peer_addr().ok();
    let trail = shared.network.as_ref().zip(peer).and_then(|(network, peer)| network.trail(peer));
    loop {
        while let Ok(Some(request)) = take_request(&mut ring, &limits) {
            let path = request.path.split('?').next().unwrap_or_default();
            match (request.method.as_str(), path) {
                ("GET", "/discovery/hosts") => {
                    let (page, revision) = list(sender, &request, shared);
                    // Told from the moment it is written: what the sender does next may hang on it.
                    mailbox.tell_over(trail.as_deref(), Seen::ListTold { sender, revision });
                    put_answer(&mut out, 200, &page, false);
                }
                ("POST", "/reports") => match notices(&request.body) {
                    Some(found) => {
                        for notice in found {
                            let Some(text) = platform::text_of(&notice.id) else { continue };
                            let end = match notice.status.as_str() {
                                "deferred" => {
                                    Noticed::Nacked { again: notice.again_ms.map(Span::from_millis) }
                                }
                                _ => Noticed::Undeliverable,
                            };
                            mailbox.tell(Seen::Notice { text, end });
                        }
                        put_answer(&mut out, 204, "", false);
                    }
                    None => put_answer(&mut out, 400, "", false),
                },
                _ => put_answer(&mut out, 404, "", false),
            }
            let bytes = out.bytes().to_vec();
            out.consume(bytes.len());
            if stream.write_all(&bytes).is_err() {
                return;
            }
        }
        if !matches!(ring.fill(&mut stream), Ok(count) if count > 0) {
            return;
        }
    }
}
