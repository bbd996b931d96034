//! What weighs on the senders themselves: spells of standing still, a share of a core, and strangers at their listeners.
//!
//! A process over its share is stopped and resumed, as a watch over processes without privileges does it. Each resume
//! wakes all its threads, so this weighs on a sender with many of them in a way that a scheduler's own limit does not.

use super::clients::AddressBook;
use super::keeper::Handle;
use crate::outcome::{BurstSeen, StrangersSeen};
use crate::scenario::{Burden, Burst, Scenario, Strangers};
use rustix::io::Errno;
use rustix::net::{self, AddressFamily, RecvFlags, SendFlags, SocketFlags, SocketType};
use rustix::process::{Pid, Signal, kill_process};
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const BEAT: Duration = Duration::from_millis(1);
const LOOK: Duration = Duration::from_millis(10);
/// In seconds.
const PERIOD: f64 = 0.018;
/// Processor time in hand that a process may save up; the counts it is taken from are this coarse.
const SAVED: f64 = 0.010;
/// How long strangers wait to be connected, and stay after a request that can't be read.
const CONNECT: Duration = Duration::from_millis(200);
const BAD_STAY: Duration = Duration::from_millis(500);
const ASK: &[u8] = b"GET /up HTTP/1.1\r\n\r\n";

/// All that weighs on the senders while a run lasts.
pub struct Weights {
    over: Arc<AtomicBool>,
    holders: Vec<JoinHandle<()>>,
    crowds: Vec<JoinHandle<StrangersSeen>>,
}

impl Weights {
    /// From `epoch` on.
    pub fn put_on(scenario: &Scenario, senders: Vec<(Handle, AddressBook)>, epoch: Instant) -> Weights {
        let over = Arc::<AtomicBool>::default();
        let burden = &scenario.burden;
        let mut weights = Weights { over: Arc::clone(&over), holders: Vec::new(), crowds: Vec::new() };
        for (number, (handle, address)) in senders.into_iter().enumerate() {
            if burden.core_share.is_some() || !burden.stops.is_empty() {
                let (burden, over) = (burden.clone(), Arc::clone(&over));
                weights.holders.push(thread::spawn(move || hold(&handle, &burden, epoch, &over)));
            }
            if !burden.bursts.is_empty() {
                let bursts = burden.bursts.iter().map(|burst| burst.get_ref().clone()).collect();
                let (over, address) = (Arc::clone(&over), Arc::clone(&address));
                weights.crowds.push(thread::spawn(move || play_bursts(bursts, &address, epoch, &over)));
            }
            if let Some(strangers) = burden.strangers.clone() {
                let over = Arc::clone(&over);
                let crowd = move || Crowd::new(strangers, number, address).play(epoch, &over);
                weights.crowds.push(thread::spawn(crowd));
            }
        }
        weights
    }

    /// The end of it; what the strangers saw, if there were any.
    pub fn take_off(self) -> Option<StrangersSeen> {
        self.over.store(true, Ordering::Relaxed);
        self.holders.into_iter().for_each(|holder| _ = holder.join());
        let seen = self.crowds.into_iter().filter_map(|crowd| crowd.join().ok());
        seen.reduce(|a, b| StrangersSeen {
            opened: a.opened + b.opened,
            unconnected: a.unconnected + b.unconnected,
            answered: a.answered + b.answered,
            ended: a.ended + b.ended,
            longest_silent_ms: a.longest_silent_ms.max(b.longest_silent_ms),
            burst: BurstSeen {
                opened: a.burst.opened + b.burst.opened,
                connected: a.burst.connected + b.burst.connected,
                answered: a.burst.answered + b.burst.answered,
                ended: a.burst.ended + b.burst.ended,
                slowest_ms: a.burst.slowest_ms.max(b.burst.slowest_ms),
            },
        })
    }
}

/// Processor time that a process has used, in seconds, to a hundredth.
fn used(pid: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in front may hold anything but ends with the last bracket.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_ascii_whitespace().collect();
    let ticks: f64 = [11, 12].iter().filter_map(|at| fields.get(*at)?.parse::<f64>().ok()).sum();
    Some(ticks / rustix::param::clock_ticks_per_second() as f64)
}

/// What a process owes of processor time beyond its share, in seconds.
#[derive(Default)]
struct Debt {
    used: f64,
    owed: f64,
}

impl Debt {
    /// Whether it has to stand still, having used so much in all and had so much time since it was last asked.
    fn is_owed(&mut self, used: f64, passed: Duration, share: f64) -> bool {
        let earned = passed.as_secs_f64() * share;
        self.owed = (self.owed + used - self.used - earned).max(-SAVED);
        self.used = used;
        self.owed > 0.0
    }
}

fn hold(handle: &Handle, burden: &Burden, epoch: Instant, over: &AtomicBool) {
    // Of which process, asked when, and what it owes.
    let mut debt: Option<(u32, Instant, Debt)> = None;
    let mut held: Option<u32> = None;
    let tell = |pid: u32, signal| {
        if let Some(pid) = Pid::from_raw(pid as i32) {
            _ = kill_process(pid, signal);
        }
    };
    while !over.load(Ordering::Relaxed) {
        thread::sleep(BEAT);
        let at = epoch.elapsed().as_secs_f64();
        let Some(pid) = handle.pid() else {
            (debt, held) = (None, None);
            continue;
        };
        let still = burden.stops.iter().any(|stop| {
            let stop = stop.get_ref();
            (stop.at_s..stop.at_s + stop.for_s).contains(&at)
        });
        let owes = match burden.core_share {
            Some(share) if at > 0.0 => match (used(pid), debt.as_mut().filter(|(of, ..)| *of == pid)) {
                (Some(used), Some((_, asked, debt))) => {
                    let passed = asked.elapsed();
                    *asked = Instant::now();
                    debt.is_owed(used, passed, share)
                }
                (Some(used), None) => {
                    debt = Some((pid, Instant::now(), Debt { used, owed: 0.0 }));
                    false
                }
                (None, _) => false,
            },
            _ => false,
        };
        // One that owes runs for its share of each period: what waking costs comes out of that.
        let rests = owes && burden.core_share.is_some_and(|share| (at / PERIOD).fract() >= share);
        match (still || rests, held == Some(pid)) {
            (true, false) => {
                tell(pid, Signal::STOP);
                held = Some(pid);
            }
            (false, true) => {
                tell(pid, Signal::CONT);
                held = None;
            }
            _ => {}
        }
    }
    if let Some(pid) = held {
        tell(pid, Signal::CONT);
    }
}

struct Stranger {
    stream: TcpStream,
    since: Instant,
    asks: bool,
}

struct Crowd {
    strangers: Strangers,
    sender: usize,
    address: AddressBook,
    silent: Vec<Option<Stranger>>,
    bad: Vec<Stranger>,
    turn: usize,
    seen: StrangersSeen,
}

impl Crowd {
    fn new(strangers: Strangers, sender: usize, address: AddressBook) -> Crowd {
        let silent = (0..strangers.silent + strangers.curious).map(|_| None).collect();
        Crowd { strangers, sender, address, silent, bad: Vec::new(), turn: 0, seen: StrangersSeen::default() }
    }

    fn play(mut self, epoch: Instant, over: &AtomicBool) -> StrangersSeen {
        let mut bad = 0.0;
        let mut last = Instant::now();
        while !over.load(Ordering::Relaxed) {
            thread::sleep(LOOK);
            let passed = std::mem::replace(&mut last, Instant::now());
            let at = epoch.elapsed().as_secs_f64();
            let Strangers { at_s, for_s, bad_a_second, .. } = self.strangers;
            if !(at_s..at_s + for_s).contains(&at) {
                self.silent.iter_mut().for_each(|place| *place = None);
                self.bad.clear();
                continue;
            }
            (0..self.silent.len()).for_each(|at| self.look(at));
            self.bad.retain(|stranger| stranger.since.elapsed() < BAD_STAY);
            // What could not be done while one waited to be connected is not made up for at once.
            bad = (bad + bad_a_second * last.duration_since(passed).as_secs_f64()).min(bad_a_second.max(1.0));
            while bad >= 1.0 {
                bad -= 1.0;
                let stranger = self.connect(true);
                self.bad.extend(stranger);
            }
        }
        let left = self.silent.iter().flatten().filter(|stranger| !stranger.asks);
        let longest = left.map(|stranger| stranger.since.elapsed()).max().unwrap_or_default();
        self.seen.longest_silent_ms = self.seen.longest_silent_ms.max(millis(longest));
        self.seen
    }

    /// One who asks once and stays, or says nothing: whether it is still connected. It comes again at once.
    fn look(&mut self, at: usize) {
        let mut bytes = [0u8; 512];
        if let Some(stranger) = &self.silent[at] {
            match net::recv(&stranger.stream, &mut bytes, RecvFlags::DONTWAIT) {
                Ok((_, count)) if count > 0 => self.seen.answered += 1,
                Err(Errno::AGAIN) => {}
                _ => {
                    self.seen.ended += 1;
                    if !stranger.asks {
                        let held = millis(stranger.since.elapsed());
                        self.seen.longest_silent_ms = self.seen.longest_silent_ms.max(held);
                    }
                    self.silent[at] = None;
                }
            }
        }
        if self.silent[at].is_none() {
            let asks = at >= self.strangers.silent;
            let Some(mut stranger) = self.connect(false) else { return };
            stranger.asks = asks;
            if !asks || stranger.stream.write_all(ASK).is_ok() {
                self.silent[at] = Some(stranger);
            }
        }
    }

    fn connect(&mut self, bad: bool) -> Option<Stranger> {
        let to = (*self.address.lock().unwrap_or_else(PoisonError::into_inner))?;
        self.turn += 1;
        let place = self.turn % self.strangers.addresses.max(1);
        // Addresses of their own, none of which a client of this rig has, unless they are to have its.
        let from = match (self.strangers.beside_clients, to.ip()) {
            (true, IpAddr::V4(clients)) => clients,
            _ => {
                let (third, fourth) = ((place / 250) as u8, (place % 250 + 1) as u8);
                Ipv4Addr::new(127, 100 + (self.sender % 100) as u8, third, fourth)
            }
        };
        self.seen.opened += 1;
        let Some(mut stream) = connect(from, to) else {
            self.seen.unconnected += 1;
            return None;
        };
        if bad {
            _ = stream.write_all(b"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\nand more");
        }
        Some(Stranger { stream, since: Instant::now(), asks: false })
    }
}

fn connect(from: Ipv4Addr, to: SocketAddr) -> Option<TcpStream> {
    let socket = net::socket(AddressFamily::INET, SocketType::STREAM, None).ok()?;
    net::bind(&socket, &SocketAddr::V4(SocketAddrV4::new(from, 0))).ok()?;
    // This bounds the wait for the connection as well.
    net::sockopt::set_socket_timeout(&socket, net::sockopt::Timeout::Send, Some(CONNECT)).ok()?;
    net::connect(&socket, &to).ok()?;
    Some(TcpStream::from(socket))
}

/// One of a burst, in the order of what becomes of it.
enum PendingConnection {
    Connecting(OwnedFd),
    Asked(OwnedFd),
    Over,
}

impl PendingConnection {
    /// Comes without waiting to be connected: all of a burst are to lie in one backlog.
    fn open(to: SocketAddr) -> Option<PendingConnection> {
        let socket =
            net::socket_with(AddressFamily::INET, SocketType::STREAM, SocketFlags::NONBLOCK, None).ok()?;
        match net::connect(&socket, &to) {
            Ok(()) | Err(Errno::INPROGRESS) => Some(PendingConnection::Connecting(socket)),
            Err(_) => None,
        }
    }

    /// What it sees now, `at` milliseconds after the burst.
    fn look(&mut self, at: f64, seen: &mut BurstSeen) {
        if let PendingConnection::Connecting(socket) = self {
            match net::send(&*socket, ASK, SendFlags::NOSIGNAL) {
                Ok(_) => {
                    seen.connected += 1;
                    let PendingConnection::Connecting(socket) =
                        std::mem::replace(self, PendingConnection::Over)
                    else {
                        return;
                    };
                    *self = PendingConnection::Asked(socket);
                }
                Err(Errno::AGAIN | Errno::NOTCONN | Errno::INPROGRESS | Errno::ALREADY) => {}
                Err(_) => {
                    seen.ended += 1;
                    *self = PendingConnection::Over;
                }
            }
        }
        if let PendingConnection::Asked(socket) = self {
            match net::recv(&*socket, &mut [0u8; 512], RecvFlags::DONTWAIT) {
                Err(Errno::AGAIN) => return,
                Ok((_, count)) if count > 0 => {
                    seen.answered += 1;
                    seen.slowest_ms = seen.slowest_ms.max(at);
                }
                _ => seen.ended += 1,
            }
            *self = PendingConnection::Over;
        }
    }
}

fn play_bursts(
    bursts: Vec<Burst>,
    address: &AddressBook,
    epoch: Instant,
    over: &AtomicBool,
) -> StrangersSeen {
    let mut seen = BurstSeen::default();
    let mut arriving: Vec<(Instant, PendingConnection)> = Vec::new();
    let mut done = vec![false; bursts.len()];
    while !over.load(Ordering::Relaxed) {
        thread::sleep(BEAT);
        let at = epoch.elapsed().as_secs_f64();
        for (burst, done) in bursts.iter().zip(&mut done).filter(|(burst, done)| !**done && at >= burst.at_s)
        {
            *done = true;
            let Some(to) = *address.lock().unwrap_or_else(PoisonError::into_inner) else { continue };
            let since = Instant::now();
            arriving
                .extend((0..burst.connections).filter_map(|_| Some((since, PendingConnection::open(to)?))));
            seen.opened += burst.connections as u64;
        }
        arriving.iter_mut().for_each(|(since, pending)| pending.look(millis(since.elapsed()), &mut seen));
        arriving.retain(|(_, pending)| !matches!(pending, PendingConnection::Over));
    }
    StrangersSeen { burst: seen, ..StrangersSeen::default() }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

#[cfg(test)]
mod tests;
