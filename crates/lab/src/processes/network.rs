//! Relays on loopback: between any two ends of a run there is a line that can be put out of order.
//!
//! One thread carries all lines; what a line does to bytes is decided in [`line`](super::line). Each end sees the
//! address of its own line, so a fault strikes one pair and nobody else. A line also bears witness: when the last byte of
//! a call came in from the sender's side and when an answer went out to it, which is what a rule has to be judged by
//! once the two sides see things at different times.

use super::faults::{Between, End};
use super::line::{Condition, Datagrams, Stream};
use crossbeam_channel::{Receiver, Sender, unbounded};
use indigomast::time::Moment;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType};
use std::collections::BTreeMap;
use std::io::{ErrorKind, PipeReader, PipeWriter, Read, Write, pipe};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const BACKLOG: i32 = 128;
/// At one look.
const READS: usize = 16 << 10;
/// The longest that the carrier rests.
const REST: Duration = Duration::from_millis(50);
/// A datagram is no longer than this.
const DATAGRAM: usize = 64 << 10;

/// Witness of one connection of a sender's.
#[derive(Debug)]
pub struct Trail {
    pub number: u64,
    /// Whose connection it is.
    pub of: End,
    base: Instant,
    last_in: AtomicU64,
    gone: AtomicBool,
}

impl Trail {
    /// When the last byte came from whoever opened the connection.
    pub fn last_in(&self) -> Instant {
        self.base + Duration::from_micros(self.last_in.load(Ordering::Acquire))
    }

    /// Whether whoever opened it has ended it.
    pub fn is_left(&self) -> bool {
        self.gone.load(Ordering::Acquire)
    }
}

/// What a line has seen of a sender's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Witness {
    /// All that was answered so far has gone out to the sender.
    Heard,
    /// The sender has ended it.
    Left,
}

type Key = (End, End, Option<SocketAddr>);
type Tell = Box<dyn Fn(&Trail, Witness) + Send>;

enum Order {
    Add { key: Key, listener: TcpListener, target: SocketAddr },
    AddDatagrams { key: Key, socket: UdpSocket, target: SocketAddr },
    Target(Key, SocketAddr),
    Listens(SocketAddr, bool),
    Set(usize, Between, Condition),
    Clear(usize),
    Reset(Between),
    Over,
}

/// All lines of a run.
pub struct Network {
    orders: Sender<Order>,
    waker: PipeWriter,
    ways: Mutex<BTreeMap<Key, (SocketAddr, SocketAddr)>>,
    trails: Arc<Mutex<BTreeMap<SocketAddr, Arc<Trail>>>>,
    carrier: Mutex<Option<JoinHandle<()>>>,
}

fn failed(what: &str, e: impl std::fmt::Display) -> String {
    format!("a line's {what}: {e}")
}

impl Network {
    /// `tell` is told what lines that begin at senders witness, in the order in which it happens.
    ///
    /// # Errors
    ///
    /// Neither pipe nor thread is to be had.
    pub fn open(seed: u64, tell: Tell) -> Result<Network, String> {
        let (orders, inbox) = unbounded();
        let (ends, waker) = pipe().map_err(|e| failed("pipe", e))?;
        rustix::io::ioctl_fionbio(&ends, true).map_err(|e| failed("pipe", e))?;
        let trails = Arc::<Mutex<BTreeMap<SocketAddr, Arc<Trail>>>>::default();
        let carrier = Carrier {
            inbox,
            ends,
            tell,
            trails: Arc::clone(&trails),
            base: Instant::now(),
            chance: Pcg64Mcg::seed_from_u64(seed ^ 0x6c69_6e65),
            ways: Vec::new(),
            pairs: Vec::new(),
            faults: BTreeMap::new(),
            links: Vec::new(),
            count: 0,
        };
        let carrier = thread::Builder::new()
            .name("lines".into())
            .spawn(move || carrier.run())
            .map_err(|e| failed("thread", e))?;
        Ok(Network { orders, waker, ways: Mutex::default(), trails, carrier: Mutex::new(Some(carrier)) })
    }

    fn order(&self, order: Order) {
        _ = self.orders.send(order);
        _ = (&self.waker).write_all(&[1]);
    }

    /// Where `from` finds `to`, which listens at `target`. Ends with several addresses have a line for each; one that moves
    /// keeps its line, if `moves` says so.
    ///
    /// # Errors
    ///
    /// No port is to be had.
    pub fn way(&self, from: End, to: End, target: SocketAddr, moves: bool) -> Result<SocketAddr, String> {
        let key = (from, to, (!moves).then_some(target));
        let mut ways = self.ways.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((address, was)) = ways.get_mut(&key) {
            if std::mem::replace(was, target) != target {
                self.order(Order::Target(key, target));
            }
            return Ok(*address);
        }
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| failed("port", e))?;
        let address = listener.local_addr().map_err(|e| failed("port", e))?;
        listener.set_nonblocking(true).map_err(|e| failed("port", e))?;
        ways.insert(key, (address, target));
        self.order(Order::Add { key, listener, target });
        Ok(address)
    }

    /// The line between two ends, one of which moves, once there is one.
    pub fn known(&self, from: End, to: End) -> Option<SocketAddr> {
        let ways = self.ways.lock().unwrap_or_else(PoisonError::into_inner);
        ways.get(&(from, to, None)).map(|(address, _)| *address)
    }

    /// The same for datagrams. Each of the two ends sees the other under the address of its own line to it, so an answer to
    /// where something came from goes the way back.
    ///
    /// # Errors
    ///
    /// No port is to be had.
    pub fn datagrams(&self, from: End, to: End, target: SocketAddr) -> Result<SocketAddr, String> {
        let socket = UdpSocket::bind("127.0.0.1:0").map_err(|e| failed("port", e))?;
        let address = socket.local_addr().map_err(|e| failed("port", e))?;
        socket.set_nonblocking(true).map_err(|e| failed("port", e))?;
        self.order(Order::AddDatagrams { key: (from, to, None), socket, target });
        Ok(address)
    }

    /// Whether whoever listens at `target` does; a line to one who doesn't refuses as the kernel would.
    pub fn listens(&self, target: SocketAddr, on: bool) {
        self.order(Order::Listens(target, on));
    }

    /// From now on a fault of this number does that, until it is cleared.
    pub fn set(&self, fault: usize, between: Between, condition: Condition) {
        self.order(Order::Set(fault, between, condition));
    }

    pub fn clear(&self, fault: usize) {
        self.order(Order::Clear(fault));
    }

    pub fn reset(&self, between: Between) {
        self.order(Order::Reset(between));
    }

    /// The connection that comes out of a line at this address.
    pub fn trail(&self, peer: SocketAddr) -> Option<Arc<Trail>> {
        self.trails.lock().unwrap_or_else(PoisonError::into_inner).get(&peer).cloned()
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        self.order(Order::Over);
        let carrier = self.carrier.lock().unwrap_or_else(PoisonError::into_inner).take();
        carrier.into_iter().for_each(|carrier| _ = carrier.join());
    }
}

struct Way {
    key: Key,
    address: SocketAddr,
    listener: Option<TcpListener>,
    /// Takes the only place in the queue while the line is cut, so that whoever connects gets no word.
    filler: Option<TcpStream>,
    listens: bool,
    target: SocketAddr,
    out: Condition,
    back: Condition,
}

/// A way for datagrams, in one direction.
struct Pair {
    key: Key,
    socket: UdpSocket,
    target: SocketAddr,
    condition: Condition,
    queue: Datagrams,
}

/// One side of a connection.
struct Side {
    stream: TcpStream,
    /// Nothing more comes from it: it ended, or broke.
    over: bool,
    broke: bool,
    told_end: bool,
    blocked: bool,
}

impl Side {
    fn new(stream: TcpStream) -> Side {
        Side { stream, over: false, broke: false, told_end: false, blocked: false }
    }

    fn reset(self) {
        _ = net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO));
    }

    /// Takes in what has come; how much.
    fn read(
        &mut self,
        now: Moment,
        queue: &mut Stream,
        condition: &Condition,
        chance: &mut Pcg64Mcg,
    ) -> usize {
        let mut bytes = [0u8; READS];
        match self.stream.read(&mut bytes) {
            Ok(0) => {
                self.over = true;
                queue.end();
                0
            }
            Ok(count) => {
                queue.put(now, &bytes[..count], condition, chance);
                count
            }
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => 0,
            Err(_) => {
                (self.over, self.broke) = (true, true);
                0
            }
        }
    }

    /// Passes on what may go on; whether anything did.
    fn write(&mut self, now: Moment, queue: &mut Stream, condition: &Condition) -> bool {
        self.blocked = false;
        let mut wrote = false;
        while let Some(bytes) = queue.ready(now, condition) {
            match self.stream.write(bytes) {
                Ok(count) => {
                    queue.went(count);
                    wrote = true;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.blocked = true;
                    break;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    (self.over, self.broke) = (true, true);
                    break;
                }
            }
        }
        if queue.is_over(condition) && !self.told_end {
            self.told_end = true;
            _ = self.stream.shutdown(std::net::Shutdown::Write);
        }
        wrote
    }
}

struct Link {
    way: usize,
    near: Side,
    far: Side,
    out: Stream,
    back: Stream,
    trail: Arc<Trail>,
    port: SocketAddr,
    unheard: bool,
}

enum Fate {
    Stays,
    Ends,
    /// The side that is named hears of a reset.
    Breaks,
}

struct Carrier {
    inbox: Receiver<Order>,
    ends: PipeReader,
    tell: Tell,
    trails: Arc<Mutex<BTreeMap<SocketAddr, Arc<Trail>>>>,
    base: Instant,
    chance: Pcg64Mcg,
    ways: Vec<Way>,
    pairs: Vec<Pair>,
    faults: BTreeMap<usize, (Between, Condition)>,
    links: Vec<Link>,
    count: u64,
}

impl Carrier {
    fn now(&self) -> Moment {
        Moment::from_millis(self.base.elapsed().as_secs_f64() * 1000.0)
    }

    fn run(mut self) {
        loop {
            self.wait();
            _ = (&self.ends).read(&mut [0u8; 256]);
            while let Ok(order) = self.inbox.try_recv() {
                if matches!(order, Order::Over) {
                    return;
                }
                self.obey(order);
            }
            for at in 0..self.ways.len() {
                self.accept(at);
            }
            self.carry();
            self.carry_datagrams();
        }
    }

    /// Until something has come, or is due.
    fn wait(&self) {
        let now = self.now();
        let mut fds = vec![PollFd::new(&self.ends, PollFlags::IN)];
        for way in &self.ways {
            if let Some(listener) = way.listener.as_ref().filter(|_| !way.is_cut()) {
                fds.push(PollFd::new(listener, PollFlags::IN));
            }
        }
        fds.extend(self.pairs.iter().map(|pair| PollFd::new(&pair.socket, PollFlags::IN)));
        let mut due: Option<Moment> = self.pairs.iter().filter_map(|pair| pair.queue.next()).min();
        for link in &self.links {
            let way = &self.ways[link.way];
            // One that wants nothing is left out: an end that broke would wake this for ever.
            for (side, inward, outward, condition) in
                [(&link.near, &link.out, &link.back, &way.back), (&link.far, &link.back, &link.out, &way.out)]
            {
                let mut flags = PollFlags::empty();
                if !side.over && inward.takes() {
                    flags |= PollFlags::IN;
                }
                if side.blocked && !side.broke {
                    flags |= PollFlags::OUT;
                } else if let Some(at) = outward.next(condition).filter(|_| !side.broke) {
                    due = Some(due.map_or(at, |due| due.min(at)));
                }
                if !flags.is_empty() {
                    fds.push(PollFd::new(&side.stream, flags));
                }
            }
        }
        let rest =
            due.map_or(REST.as_secs_f64(), |at| at.since(now).as_secs().clamp(0.0, REST.as_secs_f64()));
        let rest = Timespec { tv_sec: 0, tv_nsec: (rest * 1e9) as i64 };
        if let Err(e) = poll(&mut fds, Some(&rest))
            && e != Errno::INTR
        {
            thread::sleep(Duration::from_millis(1));
        }
    }

    fn obey(&mut self, order: Order) {
        match order {
            Order::Add { key, listener, target } => {
                let Ok(address) = listener.local_addr() else { return };
                let (out, back) = (Condition::default(), Condition::default());
                let listener = Some(listener);
                self.ways.push(Way {
                    key,
                    address,
                    listener,
                    filler: None,
                    listens: true,
                    target,
                    out,
                    back,
                });
                self.judge_lines();
            }
            Order::AddDatagrams { key, socket, target } => {
                let (condition, queue) = Default::default();
                self.pairs.push(Pair { key, socket, target, condition, queue });
                self.judge_lines();
            }
            Order::Target(key, target) => {
                self.ways.iter_mut().filter(|way| way.key == key).for_each(|way| way.target = target);
            }
            Order::Listens(target, on) => {
                for way in self.ways.iter_mut().filter(|way| way.target == target) {
                    way.listens = on;
                    if !on {
                        (way.listener, way.filler) = (None, None);
                    }
                }
            }
            Order::Set(fault, between, condition) => {
                self.faults.insert(fault, (between, condition));
                self.judge_lines();
            }
            Order::Clear(fault) => {
                self.faults.remove(&fault);
                self.judge_lines();
            }
            Order::Reset(between) => {
                let mut at = 0;
                while at < self.links.len() {
                    let (from, to, _) = self.ways[self.links[at].way].key;
                    if between.strikes(from, to) || between.strikes(to, from) {
                        let link = self.links.swap_remove(at);
                        self.forget(link, true, true);
                    } else {
                        at += 1;
                    }
                }
            }
            Order::Over => {}
        }
    }

    /// What each line does, from all faults that strike it.
    fn judge_lines(&mut self) {
        let faults = &self.faults;
        let of = |from: End, to: End| {
            let struck = faults.values().filter(|(between, _)| between.strikes(from, to));
            struck.fold(Condition::default(), |all, (_, condition)| all.and(condition))
        };
        for way in &mut self.ways {
            let (from, to, _) = way.key;
            let was = way.is_cut();
            (way.out, way.back) = (of(from, to), of(to, from));
            let Some(listener) = way.listener.as_ref().filter(|_| way.is_cut() != was) else { continue };
            // A queue of one that is taken leaves whoever connects without a word, as a cut does.
            let length = if way.is_cut() { 0 } else { BACKLOG };
            _ = net::listen(listener, length);
            way.filler =
                way.is_cut().then(|| connect(way.address, |_| {})).flatten().map(|(_, stream)| stream);
        }
        for pair in &mut self.pairs {
            pair.condition = of(pair.key.0, pair.key.1);
        }
    }

    fn accept(&mut self, at: usize) {
        let way = &mut self.ways[at];
        if way.listens && way.listener.is_none() {
            // Its port was its own until now; it is tried again at the next look.
            let bound = TcpListener::bind(way.address).and_then(|listener| {
                listener.set_nonblocking(true)?;
                Ok(listener)
            });
            way.listener = bound.ok();
        }
        if way.is_cut() {
            return;
        }
        loop {
            let way = &self.ways[at];
            let Some(listener) = &way.listener else { return };
            let Ok((near, _)) = listener.accept() else { return };
            if is_filler(&near) {
                continue;
            }
            let side = Side::new(near);
            _ = side.stream.set_nonblocking(true);
            _ = side.stream.set_nodelay(true);
            self.count += 1;
            let trail = Arc::new(Trail {
                number: self.count,
                of: way.key.0,
                base: self.base,
                last_in: AtomicU64::default(),
                gone: AtomicBool::default(),
            });
            let known = Arc::clone(&trail);
            let register = |port| {
                self.trails.lock().unwrap_or_else(PoisonError::into_inner).insert(port, known);
            };
            match connect(way.target, register) {
                Some((port, far)) => self.links.push(Link {
                    way: at,
                    near: side,
                    far: Side::new(far),
                    out: Stream::default(),
                    back: Stream::default(),
                    trail,
                    port,
                    unheard: false,
                }),
                None => side.reset(),
            }
        }
    }

    fn carry(&mut self) {
        let now = self.now();
        let mut at = 0;
        while at < self.links.len() {
            let link = &mut self.links[at];
            match link.carry(&self.ways[link.way], now, self.base, &mut self.chance, &self.tell) {
                Fate::Stays => at += 1,
                Fate::Ends => {
                    let link = self.links.swap_remove(at);
                    self.forget(link, false, false);
                }
                Fate::Breaks => {
                    let link = self.links.swap_remove(at);
                    let (near, far) = (link.far.broke, link.near.broke);
                    self.forget(link, near, far);
                }
            }
        }
    }

    /// Ends a connection, by a reset for the sides named.
    fn forget(&mut self, link: Link, near: bool, far: bool) {
        let mut trails = self.trails.lock().unwrap_or_else(PoisonError::into_inner);
        if trails.get(&link.port).is_some_and(|known| known.number == link.trail.number) {
            trails.remove(&link.port);
        }
        drop(trails);
        link.leave(&self.tell);
        if near {
            link.near.reset();
        }
        if far {
            link.far.reset();
        }
    }

    fn carry_datagrams(&mut self) {
        let now = self.now();
        let mut bytes = vec![0u8; if self.pairs.is_empty() { 0 } else { DATAGRAM }];
        for pair in &mut self.pairs {
            while let Ok((count, _)) = pair.socket.recv_from(&mut bytes) {
                pair.queue.put(now, &bytes[..count], &pair.condition, &mut self.chance);
            }
        }
        for at in 0..self.pairs.len() {
            let (from, to, _) = self.pairs[at].key;
            while let Some(datagram) = self.pairs[at].queue.take(now) {
                // It comes from where an answer to it goes the way back; alone, from this line.
                let back = self.pairs.iter().find(|pair| (pair.key.0, pair.key.1) == (to, from));
                let socket = &back.unwrap_or(&self.pairs[at]).socket;
                _ = socket.send_to(&datagram, self.pairs[at].target);
            }
        }
    }
}

impl Way {
    fn is_cut(&self) -> bool {
        self.out.cut || self.back.cut
    }
}

/// Whether this came from the carrier itself, to take a place in the queue. By the time it is accepted its other end is gone
/// or going, and it never sent anything; a client of that address that did the same is dropped with as little harm.
fn is_filler(near: &TcpStream) -> bool {
    matches!(net::recv(near, &mut [0u8; 1], net::RecvFlags::PEEK | net::RecvFlags::DONTWAIT), Ok((_, 0)))
}

fn connect(target: SocketAddr, register: impl FnOnce(SocketAddr)) -> Option<(SocketAddr, TcpStream)> {
    let socket =
        net::socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::NONBLOCK, None).ok()?;
    net::bind(&socket, &SocketAddr::V4(SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0))).ok()?;
    let port = SocketAddr::try_from(net::getsockname(&socket).ok()?).ok()?;
    // Whoever accepts may ask for it before this thread runs again.
    register(port);
    match net::connect(&socket, &target) {
        Ok(()) | Err(Errno::INPROGRESS) => {}
        Err(_) => return None,
    }
    let far = TcpStream::from(socket);
    _ = far.set_nodelay(true);
    Some((port, far))
}

impl Link {
    fn leave(&self, tell: &Tell) {
        let of_sender = matches!(self.trail.of, End::Sender(_));
        if !self.trail.gone.swap(true, Ordering::AcqRel) && of_sender {
            tell(&self.trail, Witness::Left);
        }
    }

    fn carry(&mut self, way: &Way, now: Moment, base: Instant, chance: &mut Pcg64Mcg, tell: &Tell) -> Fate {
        if !self.near.over && self.out.takes() && self.near.read(now, &mut self.out, &way.out, chance) > 0 {
            self.trail.last_in.store(base.elapsed().as_micros() as u64, Ordering::Release);
        }
        if !self.far.over && self.back.takes() && self.far.read(now, &mut self.back, &way.back, chance) > 0 {
            self.unheard = true;
        }
        if self.near.over {
            self.leave(tell);
        }
        if !self.far.broke {
            self.far.write(now, &mut self.out, &way.out);
        }
        if !self.near.broke {
            self.near.write(now, &mut self.back, &way.back);
            if self.unheard && self.back.is_empty() && !self.back.has_lost() {
                self.unheard = false;
                if matches!(self.trail.of, End::Sender(_)) {
                    tell(&self.trail, Witness::Heard);
                }
            }
        }
        // A reset follows what was sent before it, and gets through no cut either.
        let near_broke = self.near.broke && (self.out.is_empty() || self.far.broke) && !way.out.cut;
        let far_broke = self.far.broke && (self.back.is_empty() || self.near.broke) && !way.back.cut;
        if (near_broke && !self.out.has_lost()) || (far_broke && !self.back.has_lost()) {
            return Fate::Breaks;
        }
        let both_gone = self.near.over && self.far.over && (self.near.broke || self.far.broke);
        if (self.near.told_end && self.far.told_end) || (both_gone && !way.is_cut()) {
            return Fate::Ends;
        }
        Fate::Stays
    }
}
