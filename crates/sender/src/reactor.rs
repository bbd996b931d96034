//! Where clients' connections wait for their next byte, none of them with a thread of its own.
//!
//! A thread for each connection at rest costs nothing while it sleeps. But a process that is held back to its share of
//! a core by being stopped and resumed wakes all of them each time, and two hundred were more than the whole share: once
//! over it, the sender stayed over it. So one thread waits for all of them, and only what is being read, decided or
//! answered has a thread from a pool.

use crate::intake::{Due, Intake};
use crate::ring::Ring;
use crate::{log, threads};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use indigomast_admission::{ConnectionNumber, State, Token};
use rustix::event::{Timespec, epoll};
use rustix::io::retry_on_intr;
use rustix::net::RecvFlags;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Read};
use std::net::TcpStream;
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// One client's connection, and how far its request has come.
pub struct Session {
    pub number: ConnectionNumber,
    /// Goes before the token: the right to a descriptor is given back after the descriptor.
    pub stream: Arc<TcpStream>,
    pub token: Token,
    pub inward: Ring,
    pub outward: Ring,
    /// From its first byte on a request has so long to come, the first one from the connection's beginning; none
    /// may be on the way for longer, however it trickles.
    pub begun: Option<Instant>,
    pub rests: State,
    pub rested: Instant,
    /// It has handed in a text that was taken on.
    pub proven: bool,
    /// Known to the reactor's wait.
    armed: bool,
}

impl Session {
    pub fn new(number: ConnectionNumber, stream: Arc<TcpStream>, token: Token) -> Session {
        let (inward, outward, now) = (Ring::default(), Ring::default(), Instant::now());
        let (begun, rests, rested) = (Some(now), State::IdleNoText, now);
        Session { number, stream, token, inward, outward, begun, rests, rested, proven: false, armed: false }
    }

    /// Nothing of a request has come since the last answer.
    pub fn at_rest(&self) -> bool {
        self.inward.is_empty() && self.begun.is_none()
    }

    /// Takes in what has come; `WouldBlock` if that is nothing.
    pub fn read(&mut self) -> io::Result<usize> {
        self.inward.fill(&mut Come(&self.stream))
    }
}

/// Reads what is there and never waits, on a connection that blocks for its writes.
pub struct Come<'a>(pub &'a TcpStream);

impl Read for Come<'_> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        receive(self.0, into, RecvFlags::DONTWAIT)
    }
}

/// How many of some bytes are there, without taking them; `WouldBlock` if none are.
pub fn peek(stream: &TcpStream, into: &mut [u8]) -> io::Result<usize> {
    receive(stream, into, RecvFlags::DONTWAIT | RecvFlags::PEEK)
}

/// Never interrupted: whoever asks would take that for a connection that broke.
fn receive(stream: &TcpStream, into: &mut [u8], flags: RecvFlags) -> io::Result<usize> {
    Ok(retry_on_intr(|| rustix::net::recv(stream, &mut *into, flags))?.0)
}

/// What a thread of the pool is to do.
enum Work {
    Serve(Box<Session>),
    /// Its request did not come in time.
    TimedOut(Box<Session>),
}

#[derive(Default)]
struct Parked {
    sessions: BTreeMap<ConnectionNumber, (Instant, Box<Session>)>,
    /// When each is looked at even if nothing came.
    due: BTreeSet<(Instant, ConnectionNumber)>,
}

pub struct Reactor {
    epoll: OwnedFd,
    parked: Mutex<Parked>,
    work: Sender<Work>,
    inbox: Receiver<Work>,
    threads: AtomicUsize,
    idle: AtomicUsize,
    /// Sessions on which bytes were or are being read and that nobody is done with.
    served: AtomicUsize,
}

impl Reactor {
    /// For so many connections.
    pub fn new(most: usize) -> io::Result<Reactor> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let (work, inbox) = bounded(most);
        let (parked, threads, idle, served) = Default::default();
        Ok(Reactor { epoll, parked, work, inbox, threads, idle, served })
    }

    fn lock(&self) -> MutexGuard<'_, Parked> {
        self.parked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps a connection until something comes on it, or its time is up; back if that can't be waited for.
    pub fn park(&self, mut session: Box<Session>, due: Instant) -> Result<(), Box<Session>> {
        let (number, stream) = (session.number, Arc::clone(&session.stream));
        let armed = std::mem::replace(&mut session.armed, true);
        {
            let mut parked = self.lock();
            parked.due.insert((due, number));
            parked.sessions.insert(number, (due, session));
        }
        // Only now: what comes at once has to find it here. One event and no more, or others would be told of
        // what a thread already reads.
        let flags = epoll::EventFlags::IN | epoll::EventFlags::RDHUP | epoll::EventFlags::ONESHOT;
        let data = epoll::EventData::new_u64(number.0);
        let told = match armed {
            true => epoll::modify(&self.epoll, &*stream, data, flags),
            false => epoll::add(&self.epoll, &*stream, data, flags),
        };
        match told {
            Ok(()) => Ok(()),
            Err(e) => {
                log!("a connection can't be waited for: {e}");
                self.take(number).map_or(Ok(()), Err)
            }
        }
    }

    fn take(&self, number: ConnectionNumber) -> Option<Box<Session>> {
        let mut parked = self.lock();
        let (due, session) = parked.sessions.remove(&number)?;
        parked.due.remove(&(due, number));
        Some(session)
    }

    /// One whose time has come.
    fn overdue(&self, now: Instant) -> Option<Box<Session>> {
        let first = self.lock().due.first().copied();
        let (_, number) = first.filter(|(due, _)| *due <= now)?;
        self.take(number)
    }

    /// Waits for clients for the sender's whole life.
    pub fn run(&self, intake: &Arc<Intake>) {
        let mut events =
            [epoll::Event { flags: epoll::EventFlags::empty(), data: epoll::EventData::new_u64(0) }; 64];
        let beat = Timespec::try_from(intake.limits.rest_beat).expect("short");
        while !intake.is_closed() {
            let count = match epoll::wait(&self.epoll, &mut events[..], Some(&beat)) {
                Ok(count) => count,
                Err(e) if e == rustix::io::Errno::INTR => 0,
                Err(e) => return log!("no client can be waited for: {e}"),
            };
            for event in &events[..count] {
                let data = event.data;
                if let Some(session) = self.take(ConnectionNumber(data.u64())) {
                    self.came(intake, session);
                }
            }
            // One is put back for later than now, so this comes to an end.
            let now = Instant::now();
            while let Some(session) = self.overdue(now) {
                self.came(intake, session);
            }
            // Work that found no thread because there was none to be had.
            if !self.inbox.is_empty() {
                self.helped(intake);
            }
        }
        // What still waits ends with the sender.
        let left = std::mem::take(&mut *self.lock());
        left.sessions.into_values().for_each(|(_, session)| intake.over(&session));
    }

    fn came(&self, intake: &Arc<Intake>, mut session: Box<Session>) {
        // Counted before it is looked whether this is over: whoever waits for the last answers misses none.
        self.served.fetch_add(1, Ordering::SeqCst);
        let come = peek(&session.stream, &mut [0]);
        if matches!(come, Ok(1..)) {
            // What comes at rest on a connection that was shut is left unread: its client sees that nobody looked at it. So
            // is what comes once nobody can take it on any more.
            let open = intake.clients.takes_up(session.number);
            let unread = intake.is_closed() || (!open && session.at_rest());
            if !unread && matches!(session.read(), Ok(1..)) {
                return self.hand(intake, Work::Serve(session));
            }
            self.served.fetch_sub(1, Ordering::SeqCst);
            return intake.over(&session);
        }
        self.served.fetch_sub(1, Ordering::SeqCst);
        match come {
            Ok(_) => intake.over(&session),
            // Looked at before its time is judged: after a spell of standing still both are there.
            Err(e) if e.kind() == ErrorKind::WouldBlock => match intake.due(&session) {
                Due::Later(at) => self.back(intake, session, at),
                Due::Ends => intake.over(&session),
                Due::TimedOut => {
                    self.served.fetch_add(1, Ordering::SeqCst);
                    self.hand(intake, Work::TimedOut(session));
                }
            },
            Err(_) => intake.over(&session),
        }
    }

    fn back(&self, intake: &Intake, session: Box<Session>, due: Instant) {
        if let Err(session) = self.park(session, due) {
            intake.over(&session);
        }
    }

    fn hand(&self, intake: &Arc<Intake>, work: Work) {
        // There is room for every connection that may be open.
        match self.work.try_send(work) {
            Ok(()) => self.helped(intake),
            Err(e) => {
                let (Work::Serve(session) | Work::TimedOut(session)) = e.into_inner();
                self.served.fetch_sub(1, Ordering::SeqCst);
                intake.over(&session);
            }
        }
    }

    /// Sees to it that some thread takes what lies there.
    fn helped(&self, intake: &Arc<Intake>) {
        if self.idle.load(Ordering::SeqCst) >= self.inbox.len() {
            return;
        }
        self.threads.fetch_add(1, Ordering::Relaxed);
        let helper = Arc::clone(intake);
        if let Err(e) = threads::spawn("client", intake.limits.stack, move || helper.reactor.help(&helper)) {
            self.threads.fetch_sub(1, Ordering::Relaxed);
            intake.counters.no_descriptor.add(1);
            log!("no thread for a client: {e}");
        }
    }

    /// One thread of the pool. It goes once enough others rest.
    fn help(&self, intake: &Arc<Intake>) {
        loop {
            let work = self.inbox.try_recv().or_else(|_| {
                self.idle.fetch_add(1, Ordering::SeqCst);
                let work = self.inbox.recv_timeout(intake.limits.helper_rest);
                self.idle.fetch_sub(1, Ordering::SeqCst);
                work
            });
            match work {
                Ok(Work::Serve(session)) => {
                    self.serve(intake, session);
                    self.served.fetch_sub(1, Ordering::SeqCst);
                }
                Ok(Work::TimedOut(session)) => {
                    threads::survives(|| intake.part(session.number, &session.stream, 408));
                    intake.over(&session);
                    self.served.fetch_sub(1, Ordering::SeqCst);
                }
                Err(RecvTimeoutError::Disconnected) => break,
                Err(RecvTimeoutError::Timeout) if intake.is_closed() => break,
                Err(RecvTimeoutError::Timeout) => {}
            }
            if self.inbox.is_empty() && self.idle.load(Ordering::SeqCst) >= intake.limits.helpers {
                break;
            }
        }
        self.threads.fetch_sub(1, Ordering::Relaxed);
    }

    fn serve(&self, intake: &Arc<Intake>, mut session: Box<Session>) {
        let mut stays = false;
        threads::survives(|| stays = intake.serve(&mut session));
        if !stays {
            return intake.over(&session);
        }
        let at = intake.next_look(&session);
        self.back(intake, session, at);
    }

    /// Waits until every request that was read has its answer, as long as that may take; meanwhile `turn_away` sees to those
    /// that wait for somebody who is no longer there.
    pub fn finish(&self, within: Duration, turn_away: impl Fn()) {
        let by = Instant::now() + within;
        while self.served.load(Ordering::SeqCst) > 0 && Instant::now() < by {
            turn_away();
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Threads of the pool.
    pub fn threads(&self) -> usize {
        self.threads.load(Ordering::Relaxed)
    }
}
