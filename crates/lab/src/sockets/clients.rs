//! Clients: each sender has its own, which keep their connections and open more when all are busy.

use super::Mailbox;
use crate::platform;
use crate::scenario::{Product, Scenario};
use crate::world::{Admitted, HandIn, Seen};
use crossbeam_channel::{Receiver, Sender, unbounded};
use indigomast::time::Span;
use indigomast_sender::http::{put_request, take_answer_head};
use indigomast_sender::limits::{Grant, Limits};
use indigomast_sender::ring::Ring;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const STACK: usize = 128 << 10;
/// Clients of one sender at the most; a text that finds none free waits, and its waiting counts as lateness of its own.
const MOST: usize = 400;

/// Where a sender listens, while it does.
pub type AddressBook = Arc<Mutex<Option<SocketAddr>>>;

struct Pool {
    jobs: Sender<(HandIn, Instant)>,
    inbox: Receiver<(HandIn, Instant)>,
    free: Arc<AtomicUsize>,
    threads: usize,
    address: AddressBook,
}

#[derive(Clone)]
struct Trade {
    products: Arc<Vec<Product>>,
    body: Arc<Vec<u8>>,
    patience: Duration,
    limits: Arc<Limits>,
    mailbox: Mailbox,
}

pub struct Clients {
    pools: Vec<Pool>,
    trade: Trade,
}

impl Clients {
    pub fn new(scenario: &Scenario, addresses: Vec<AddressBook>, mailbox: &Mailbox) -> Clients {
        let grant = Grant::new(192, 1024, 3.0);
        let pool = |address| {
            let (jobs, inbox) = unbounded();
            Pool { jobs, inbox, free: Arc::default(), threads: 0, address }
        };
        Clients {
            pools: addresses.into_iter().map(pool).collect(),
            trade: Trade {
                products: Arc::new(scenario.products.iter().map(|p| p.get_ref().clone()).collect()),
                body: Arc::new(vec![b'x'; scenario.traffic.bytes]),
                patience: Duration::from_secs_f64(scenario.clients.patience_ms / 1000.0),
                limits: Arc::new(Limits::of(grant)),
                mailbox: mailbox.clone(),
            },
        }
    }

    pub fn hand_in(&mut self, hand_in: HandIn) {
        let Some(pool) = self.pools.get_mut(hand_in.sender) else { return };
        let waiting = pool.jobs.len();
        if pool.free.load(Ordering::Acquire) <= waiting && pool.threads < MOST {
            let (inbox, free) = (pool.inbox.clone(), Arc::clone(&pool.free));
            let (address, trade) = (Arc::clone(&pool.address), self.trade.clone());
            let work = move || work(&inbox, &free, &address, &trade);
            if thread::Builder::new().stack_size(STACK).spawn(work).is_ok() {
                pool.threads += 1;
            }
        }
        _ = pool.jobs.send((hand_in, Instant::now()));
    }
}

fn work(
    inbox: &Receiver<(HandIn, Instant)>,
    free: &AtomicUsize,
    address: &Mutex<Option<SocketAddr>>,
    trade: &Trade,
) {
    let mut link: Option<(SocketAddr, TcpStream)> = None;
    loop {
        free.fetch_add(1, Ordering::AcqRel);
        let job = inbox.recv();
        free.fetch_sub(1, Ordering::AcqRel);
        let Ok((hand_in, since)) = job else { return };
        let at = *address.lock().unwrap_or_else(PoisonError::into_inner);
        let text = hand_in.text;
        let admitted = match at {
            None => {
                link = None;
                Admitted::Broken
            }
            Some(at) => ask(&mut link, at, &hand_in, since, trade),
        };
        trade.mailbox.tell(Seen::Answered { text, admitted });
    }
}

enum Failure {
    /// The connection had been closed before the request was read.
    Stale,
    Broken,
}

fn ask(
    link: &mut Option<(SocketAddr, TcpStream)>,
    at: SocketAddr,
    hand_in: &HandIn,
    since: Instant,
    trade: &Trade,
) -> Admitted {
    let by = Instant::now() + trade.patience;
    let reused = link.as_ref().is_some_and(|(address, _)| *address == at);
    if !reused {
        *link = None;
    }
    match ask_once(link, at, hand_in, since, by, trade) {
        Ok(admitted) => admitted,
        // One that was closed at rest while the request was under way is no answer: once more on a new one.
        Err(Failure::Stale) if reused => {
            *link = None;
            ask_once(link, at, hand_in, since, by, trade).unwrap_or_else(|_| {
                *link = None;
                Admitted::Broken
            })
        }
        Err(_) => {
            *link = None;
            Admitted::Broken
        }
    }
}

fn ask_once(
    link: &mut Option<(SocketAddr, TcpStream)>,
    at: SocketAddr,
    hand_in: &HandIn,
    since: Instant,
    by: Instant,
    trade: &Trade,
) -> Result<Admitted, Failure> {
    if link.is_none() {
        let left = by.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let stream = TcpStream::connect_timeout(&at, left).map_err(|_| Failure::Broken)?;
        _ = stream.set_nodelay(true);
        *link = Some((at, stream));
    }
    let (_, stream) = link.as_mut().ok_or(Failure::Broken)?;
    let product = &trade.products[hand_in.product];
    let left = hand_in.left.as_millis() - since.elapsed().as_secs_f64() * 1000.0;
    let (id, mark) = (platform::id_of(hand_in.text), format!("{:032x}", hand_in.mark + 1));
    let (timeout, dest) = (format!("{:.0}", left.floor().max(1.0)), format!("dest={}", hand_in.dest));
    let key = hand_in.key.map(|key| format!("{key:016x}"));
    let mut headers = vec![("X-Request-ID", id.as_str()), ("X-Timeout-Ms", &timeout), ("X-Envelope", &dest)];
    headers.extend(key.as_deref().map(|key| ("X-Route-Key", key)));
    if product.repeat == crate::scenario::Repeat::Referenced {
        headers.push(("Idempotency-Key", &mark));
    }
    let mut out = Ring::default();
    put_request(&mut out, &format!("POST /{}", product.name), "app.svc", &headers, &trade.body);
    let stale = |e: std::io::Error| match e.kind() {
        ErrorKind::BrokenPipe | ErrorKind::ConnectionReset => Failure::Stale,
        _ => Failure::Broken,
    };
    let bytes = out.bytes().to_vec();
    stream.write_all(&bytes).map_err(stale)?;
    if hand_in.goes_early {
        _ = stream.shutdown(Shutdown::Both);
        return Err(Failure::Broken);
    }
    let mut ring = Ring::default();
    loop {
        let left = by.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(Failure::Broken);
        }
        _ = stream.set_read_timeout(Some(left));
        match ring.fill(stream) {
            Ok(0) if ring.is_empty() => return Err(Failure::Stale),
            Ok(0) => return Err(Failure::Broken),
            Ok(_) => {}
            Err(e) if ring.is_empty() && e.kind() == ErrorKind::ConnectionReset => {
                return Err(Failure::Stale);
            }
            Err(_) => return Err(Failure::Broken),
        }
        let head = take_answer_head(&mut ring, &trade.limits, &mut 0).map_err(|_| Failure::Broken)?;
        let Some(head) = head else { continue };
        let again = head.headers.get("retry-after").and_then(|value| value.parse::<f64>().ok());
        let admitted = match head.status {
            200 | 202 => Admitted::Taken,
            429 | 503 => Admitted::TurnedAway { again: again.map(|secs| Span::from_millis(secs * 1000.0)) },
            _ => Admitted::Broken,
        };
        // Answers to texts have no body worth reading; a connection with something left on it is not used again.
        let whole = head.take_body(&mut ring, false, 1 << 16).ok().flatten().is_some();
        if !whole || !head.keeps() || !ring.is_empty() {
            *link = None;
        }
        return Ok(admitted);
    }
}
