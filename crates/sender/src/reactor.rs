//! Where clients' connections wait for their next byte, none of them with a thread of its own.
//!
//! A thread for each connection at rest costs nothing while it sleeps. But a process that is held back to its share of
//! a core by being stopped and resumed wakes all of them each time, and two hundred were more than the whole share: once
//! over it, the sender stayed over it. So one thread waits for all of them and reads what comes; only a request that is whole has a
//! thread from a pool, until it has its answer.

use crate::intake::{Due, Intake, Next, Step};
use crate::request_reader::{Refusal, WholeRequest};
use crate::session::{Serving, Session, Stage};
use crate::{log, threads};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use indigomast_admission::{ConnectionNumber, MemoryReservation, StallSettings, StalledRequests, State};
use rustix::event::{EventfdFlags, Timespec, epoll, eventfd};
use rustix::io::retry_on_intr;
use rustix::net::{RecvFlags, SendFlags};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::os::fd::OwnedFd;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that are read from a connection at one time, where they are of no body that is kept.
pub const SCRATCH: usize = 16 << 10;

/// Tells the reactor's own wake from a client's number.
const WAKE: u64 = u64::MAX;

/// Reads what is there and never waits, on a connection that blocks for its writes.
pub struct Come<'a>(pub &'a TcpStream);

impl Read for Come<'_> {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        receive(self.0, into, RecvFlags::DONTWAIT)
    }
}

/// Writes what the system takes at once and never waits: a client that doesn't read its answers has no others waiting for it.
pub struct Go<'a>(pub &'a TcpStream);

impl Write for Go<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let flags = SendFlags::DONTWAIT | SendFlags::NOSIGNAL;
        Ok(retry_on_intr(|| rustix::net::send(self.0, bytes, flags))?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
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

/// A request for a thread of the pool to answer.
struct Work {
    session: Box<Session>,
    request: WholeRequest,
}

struct Parked {
    sessions: BTreeMap<ConnectionNumber, (Instant, Box<Session>)>,
    /// When each is looked at even if nothing came.
    due: BTreeSet<(Instant, ConnectionNumber)>,
    /// Those whose requests hold memory while they wait for their clients.
    stalled: StalledRequests,
}

impl Parked {
    fn take(&mut self, number: ConnectionNumber) -> Option<Box<Session>> {
        let (due, session) = self.sessions.remove(&number)?;
        self.due.remove(&(due, number));
        self.stalled.remove(number);
        Some(session)
    }
}

pub struct Reactor {
    epoll: OwnedFd,
    /// Ends a wait before its time.
    wake: OwnedFd,
    parked: Mutex<Parked>,
    work: Sender<Work>,
    inbox: Receiver<Work>,
    threads: AtomicUsize,
    idle: AtomicUsize,
    /// Sessions on which bytes were or are being read and that nobody is done with.
    served: Arc<AtomicUsize>,
}

impl Reactor {
    /// For so many connections.
    pub fn new(most: usize) -> io::Result<Reactor> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let wake = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        epoll::add(&epoll, &wake, epoll::EventData::new_u64(WAKE), epoll::EventFlags::IN)?;
        let (work, inbox) = bounded(most);
        let parked = Parked {
            sessions: BTreeMap::new(),
            due: BTreeSet::new(),
            stalled: StalledRequests::new(StallSettings::default()),
        };
        let (threads, idle, served) = Default::default();
        Ok(Reactor { epoll, wake, parked: Mutex::new(parked), work, inbox, threads, idle, served })
    }

    fn lock(&self) -> MutexGuard<'_, Parked> {
        self.parked.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the present wait, so that what is due sooner is seen.
    pub fn wake(&self) {
        // Full, it wakes as well.
        _ = rustix::io::write(&self.wake, &1u64.to_ne_bytes());
    }

    /// Keeps a connection until its time is up, whatever comes on it.
    fn keep(&self, intake: &Intake, session: Box<Session>, due: Instant) {
        let number = session.number;
        let mut parked = self.lock();
        if let (true, Some(begun)) = (session.request.holds_body(), session.begun) {
            parked.stalled.insert(number, intake.clock.moment(begun), session.proven);
        }
        parked.due.insert((due, number));
        parked.sessions.insert(number, (due, session));
    }

    /// Keeps a connection until something comes on it, or its time is up; back if that can't be waited for.
    pub fn park(&self, intake: &Intake, mut session: Box<Session>, due: Instant) -> Result<(), Box<Session>> {
        let (number, stream) = (session.number, Arc::clone(&session.stream));
        let armed = std::mem::replace(&mut session.armed, true);
        self.keep(intake, session, due);
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
        self.lock().take(number)
    }

    /// One whose time has come.
    fn overdue(&self, now: Instant) -> Option<Box<Session>> {
        let mut parked = self.lock();
        let (_, number) = parked.due.first().copied().filter(|(due, _)| *due <= now)?;
        parked.take(number)
    }

    /// Ends the request that goes first when others need its memory; whether there was one.
    pub fn make_room(&self, intake: &Intake) -> bool {
        let now = intake.clock.now();
        let mut parked = self.lock();
        let evicted = parked.stalled.evict(now).and_then(|number| parked.take(number));
        drop(parked);
        let Some(session) = evicted else { return false };
        intake.counters.requests_evicted.add(1);
        intake.over(&session);
        true
    }

    /// Waits for clients for the sender's whole life.
    pub fn run(&self, intake: &Arc<Intake>) {
        let mut scratch = vec![0; SCRATCH];
        while !intake.is_closed() {
            if let Err(e) = self.turn(intake, &mut scratch) {
                return log!("no client can be waited for: {e}");
            }
        }
        // What still waits ends with the sender, but for the last answers that are on their way.
        let by = Instant::now() + intake.limits.linger;
        while self.end_open(intake) && Instant::now() < by && self.turn(intake, &mut scratch).is_ok() {}
        self.end_all(intake);
    }

    /// Waits until something comes or is due, and sees to it.
    fn turn(&self, intake: &Arc<Intake>, scratch: &mut [u8]) -> io::Result<()> {
        let mut events =
            [epoll::Event { flags: epoll::EventFlags::empty(), data: epoll::EventData::new_u64(0) }; 64];
        let due = self.lock().due.first().map(|(due, _)| due.saturating_duration_since(Instant::now()));
        let wait = due.map_or(intake.limits.rest_beat, |due| due.min(intake.limits.rest_beat));
        let wait = Timespec::try_from(wait).expect("short");
        let count = match epoll::wait(&self.epoll, &mut events[..], Some(&wait)) {
            Ok(count) => count,
            Err(e) if e == rustix::io::Errno::INTR => 0,
            Err(e) => return Err(e.into()),
        };
        for event in &events[..count] {
            let data = event.data;
            if data.u64() == WAKE {
                _ = rustix::io::read(&self.wake, &mut [0; 8]);
            } else if let Some(session) = self.take(ConnectionNumber(data.u64())) {
                self.came(intake, session, scratch);
            }
        }
        // One is put back for later than now, so this comes to an end.
        let now = Instant::now();
        while let Some(session) = self.overdue(now) {
            self.came(intake, session, scratch);
        }
        // Work that found no thread because there was none to be had.
        if !self.inbox.is_empty() {
            self.helped(intake);
        }
        Ok(())
    }

    /// Ends the connections that nobody is to answer any more, and gives the answers that would be given later; whether some of
    /// those linger.
    fn end_open(&self, intake: &Intake) -> bool {
        let mut parked = self.lock();
        let lingers = |session: &Session| matches!(session.stage, Stage::Lingering { .. });
        let numbers = parked.sessions.iter().filter(|(_, (_, session))| !lingers(session));
        let numbers: Vec<ConnectionNumber> = numbers.map(|(number, _)| *number).collect();
        let ended: Vec<Box<Session>> = numbers.into_iter().filter_map(|number| parked.take(number)).collect();
        drop(parked);
        for session in ended {
            match session.stage {
                Stage::Refusing(refusal) => self.answer_refusal(intake, session, refusal),
                Stage::Open | Stage::Lingering { .. } => intake.over(&session),
            }
        }
        self.served.load(Ordering::SeqCst) > 0
    }

    fn end_all(&self, intake: &Intake) {
        let left = std::mem::take(&mut self.lock().sessions);
        left.into_values().for_each(|(_, session)| intake.over(&session));
    }

    fn came(&self, intake: &Arc<Intake>, mut session: Box<Session>, scratch: &mut [u8]) {
        match session.stage {
            Stage::Refusing(refusal) => return self.answer_refusal(intake, session, refusal),
            Stage::Lingering { until, bytes_left } => {
                return self.linger(intake, session, (until, bytes_left), scratch);
            }
            Stage::Open => {}
        }
        // Counted before it is looked whether this is over: whoever waits for the last answers misses none.
        session.serving = Some(Serving::new(&self.served));
        let come = peek(&session.stream, &mut [0]);
        if session.request.is_ahead() || matches!(come, Ok(1..)) {
            // What comes at rest on a connection that was shut is left unread: its client sees that nobody looked at it. So
            // is what comes once nobody can take it on any more.
            let open = intake.clients.takes_up(session.number);
            if intake.is_closed() || (!open && session.at_rest()) {
                return intake.over(&session);
            }
            return self.read(intake, session, scratch);
        }
        match come {
            Ok(_) => intake.over(&session),
            // Looked at before its time is judged: after a spell of standing still both are there.
            Err(e) if e.kind() == ErrorKind::WouldBlock => self.judge_time(intake, session),
            Err(_) => intake.over(&session),
        }
    }

    /// Reads what has come of a request, and sees to what it amounts to.
    fn read(&self, intake: &Arc<Intake>, mut session: Box<Session>, scratch: &mut [u8]) {
        let mut step = Step::Over;
        threads::survives(|| step = intake.read(&mut session, scratch));
        match step {
            Step::Waits => self.judge_time(intake, session),
            Step::Refuse(refusal) => self.refuse(intake, session, refusal),
            Step::Answer(request) => self.hand(intake, Work { session, request }),
            Step::Over => intake.over(&session),
        }
    }

    /// Waits on, unless the time of a connection's request or rest is up.
    fn judge_time(&self, intake: &Intake, session: Box<Session>) {
        match intake.due(&session) {
            Due::Later(at) => self.back(intake, session, at),
            Due::Ends => intake.over(&session),
            Due::TimedOut => self.refuse(intake, session, Refusal { status: 408, close: true }),
        }
    }

    fn back(&self, intake: &Intake, mut session: Box<Session>, due: Instant) {
        session.serving = None;
        if let Err(session) = self.park(intake, session, due) {
            intake.over(&session);
        }
    }

    /// Refuses a request. A client that sends the same again as soon as it is turned away would take what time the sender has,
    /// so its answer waits; the usual ones are told at once when to come again. No thread and no request is kept meanwhile.
    fn refuse(&self, intake: &Intake, mut session: Box<Session>, refusal: Refusal) {
        if refusal.close {
            session.request.clear();
        }
        if refusal.close || !session.proven {
            intake.clients.enters(session.number, State::Closing);
        }
        // Not beyond the end of this sender, which waits for the last answers.
        if refusal.status == 503 || intake.is_closed() {
            return self.answer_refusal(intake, session, refusal);
        }
        session.stage = Stage::Refusing(refusal);
        self.keep(intake, session, Instant::now() + intake.limits.bad_pause);
        self.wake();
    }

    fn answer_refusal(&self, intake: &Intake, mut session: Box<Session>, refusal: Refusal) {
        let close = refusal.close || intake.ends_connection(session.number);
        if !intake.put(&session.stream, refusal.status, "", close) {
            return intake.over(&session);
        }
        session.stage = Stage::Open;
        if !close {
            return self.answered(intake, session);
        }
        intake.clients.enters(session.number, State::Closing);
        session.request.clear();
        if session.stream.shutdown(Shutdown::Write).is_err() {
            return intake.over(&session);
        }
        // Not for long: a body of any size may be on its way.
        let until = Instant::now() + intake.limits.linger;
        session.stage = Stage::Lingering { until, bytes_left: intake.limits.linger_bytes };
        if let Err(session) = self.park(intake, session, until) {
            intake.over(&session);
        }
    }

    /// Drops what comes behind the last answer, until its client ends the connection or has had its time.
    fn linger(
        &self,
        intake: &Intake,
        mut session: Box<Session>,
        (until, mut bytes_left): (Instant, usize),
        scratch: &mut [u8],
    ) {
        while Instant::now() < until {
            match Come(&session.stream).read(scratch) {
                Ok(count) if count > 0 && count < bytes_left => bytes_left -= count,
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    session.stage = Stage::Lingering { until, bytes_left };
                    if let Err(session) = self.park(intake, session, until) {
                        intake.over(&session);
                    }
                    return;
                }
                _ => break,
            }
        }
        intake.over(&session);
    }

    /// Waits for the next request of a client that has its answer.
    fn answered(&self, intake: &Intake, mut session: Box<Session>) {
        session.rested = Instant::now();
        session.begun = None;
        if !session.request.is_ahead() {
            intake.clients.enters(session.number, session.rests);
            let at = intake.next_look(&session);
            return self.back(intake, session, at);
        }
        // The next request came in one piece with this one, and nothing else may come to tell of it.
        session.begun = Some(session.rested);
        intake.clients.enters(session.number, State::ReadingRequest);
        let now = session.rested;
        self.keep(intake, session, now);
        self.wake();
    }

    fn hand(&self, intake: &Arc<Intake>, work: Work) {
        // There is room for every connection that may be open.
        match self.work.try_send(work) {
            Ok(()) => self.helped(intake),
            Err(e) => intake.over(&e.into_inner().session),
        }
    }

    /// Sees to it that some thread takes what lies there, as far as the memory for threads goes; otherwise the next that is
    /// free does.
    fn helped(&self, intake: &Arc<Intake>) {
        if self.idle.load(Ordering::SeqCst) >= self.inbox.len() {
            return;
        }
        let Some(memory) = self.memory_for_thread(intake) else { return };
        self.threads.fetch_add(1, Ordering::Relaxed);
        let helper = Arc::clone(intake);
        let work = move || {
            helper.reactor.help(&helper);
            drop(memory);
        };
        if let Err(e) = threads::spawn("client", intake.limits.stack, work) {
            self.threads.fetch_sub(1, Ordering::Relaxed);
            intake.counters.no_descriptor.add(1);
            log!("no thread for a client: {e}");
        }
    }

    /// Some threads are there in any case, or nobody would be answered.
    fn memory_for_thread(&self, intake: &Intake) -> Option<MemoryReservation> {
        let threads = self.threads.load(Ordering::Relaxed);
        if threads < intake.limits.helpers {
            return Some(intake.memory.empty());
        }
        if threads >= intake.limits.client_threads {
            return None;
        }
        intake.memory.reserve(intake.limits.thread_memory)
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
                Ok(Work { session, request }) => self.answer(intake, session, request),
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

    fn answer(&self, intake: &Intake, mut session: Box<Session>, request: WholeRequest) {
        let mut next = Next::Ends;
        threads::survives(|| next = intake.answer(&mut session, request));
        match next {
            Next::Goes => self.answered(intake, session),
            Next::Refuse(refusal) => self.refuse(intake, session, refusal),
            Next::Ends => {
                _ = session.stream.shutdown(Shutdown::Both);
                intake.over(&session);
            }
        }
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
