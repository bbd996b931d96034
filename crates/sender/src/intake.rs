//! The intake of clients: takes requests from their connections and answers each.

use crate::accept_queue::AcceptQueue;
use crate::clock::{Clock, span};
use crate::config::{InForce, Site};
use crate::counters::Counters;
use crate::decider::{Admission, HandIn, Message};
use crate::http::{self, Rejection, Request};
use crate::limits::Limits;
use crate::link::is_shortage;
use crate::reactor::{self, Reactor, Session};
use crate::ring::Ring;
use crate::text_journal::TextInfo;
use crate::{Mailbox, log, threads};
use crossbeam_channel::{Sender, bounded};
use indigomast::time::{Moment, Span};
use indigomast_admission::{
    Budget, ConnectionNumber, Connections, Decision, Event, Priority, Purpose, Reason, Settings, State, Token,
};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, PipeReader, PipeWriter, Read, Write, pipe};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub struct Intake {
    pub clock: Clock,
    pub limits: Arc<Limits>,
    pub counters: Arc<Counters>,
    pub site: Arc<InForce>,
    pub decider: Mailbox,
    pub stopping: Arc<AtomicBool>,
    pub clients: Clients,
    pub budget: Budget,
    pub reactor: Reactor,
    closed: AtomicBool,
    /// Another process is about to take over: connections end with their answer.
    leaving: AtomicBool,
    /// Whether nobody is let in, and whether the thread that lets in has seen that.
    shut: AtomicBool,
    seen_shut: AtomicBool,
    /// Wakes that thread, where it waits for a socket that is not its own.
    wake: (PipeReader, PipeWriter),
}

/// The connections of clients that are open. Who gets a place and who makes room is decided by
/// [`indigomast_admission`]; this only ends those that were told to go.
pub struct Clients {
    next: AtomicU64,
    clock: Clock,
    seats: Mutex<Seats>,
}

struct Seats {
    connections: Connections,
    /// Each with whether it was ended by this sender, for reading: what is read from then on is not sent on.
    streams: BTreeMap<ConnectionNumber, (Arc<TcpStream>, bool)>,
}

impl Seats {
    fn shut(&mut self, number: ConnectionNumber) {
        if let Some((stream, shut)) = self.streams.get_mut(&number) {
            *shut = true;
            _ = stream.shutdown(Shutdown::Read);
        }
    }
}

impl Clients {
    fn new(clock: Clock, settings: Settings) -> Clients {
        let connections = Connections::new(settings);
        let seats = Mutex::new(Seats { connections, streams: BTreeMap::new() });
        Clients { next: AtomicU64::new(0), clock, seats }
    }

    fn lock(&self) -> MutexGuard<'_, Seats> {
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tell(&self, event: Event) {
        self.lock().connections.step(self.clock.now(), event);
    }

    pub fn enters(&self, number: ConnectionNumber, state: State) {
        self.tell(Event::StateChanged { number, state });
    }

    /// A number for one more connection, or why there is no place for it.
    fn admit(
        &self,
        stream: &Arc<TcpStream>,
        address: IpAddr,
        priority: Priority,
    ) -> Result<ConnectionNumber, Reason> {
        let number = ConnectionNumber(self.next.fetch_add(1, Ordering::Relaxed));
        let now = self.clock.now();
        let mut seats = self.lock();
        match seats.connections.step(now, Event::Arrived { number, address, priority }) {
            Decision::Admitted { evicted } => {
                evicted.into_iter().for_each(|gone| seats.shut(gone));
                seats.streams.insert(number, (Arc::clone(stream), false));
                Ok(number)
            }
            Decision::Rejected(reason) => Err(reason),
            Decision::NoChange | Decision::Evict(_) => Err(Reason::Full),
        }
    }

    /// Ends the one that is worth least: there is no descriptor for the next.
    fn make_room(&self) {
        let now = self.clock.now();
        let mut seats = self.lock();
        if let Decision::Evict(number) = seats.connections.step(now, Event::DescriptorShortage) {
            seats.shut(number);
        }
    }

    fn ended(&self, number: ConnectionNumber) {
        let now = self.clock.now();
        let mut seats = self.lock();
        seats.connections.step(now, Event::Closed { number });
        seats.streams.remove(&number);
    }

    /// Whether clients hold so many connections that some may soon find none. Those who only ask or are silent
    /// hold none that these could have.
    fn crowd(&self, limits: &Limits) -> bool {
        self.lock().connections.with_texts() >= limits.crowd
    }

    /// Ends the connections at rest; clients find other senders. Not those that have never asked: they may be about to, and
    /// can't know that nobody would look at it.
    pub fn shut_rested(&self) {
        let mut seats = self.lock();
        let new = seats.connections.in_states_up_to(State::NoRequest).len();
        // In the order of their states.
        let rested = seats.connections.in_states_up_to(State::Idle).into_iter().skip(new);
        rested.for_each(|number| seats.shut(number));
    }

    /// Ends those that came so long ago and have said nothing.
    fn shut_silent(&self, since: Span) {
        let now = self.clock.now();
        let mut seats = self.lock();
        let silent = seats.connections.without_request(now, since);
        silent.into_iter().for_each(|number| seats.shut(number));
    }

    /// Takes up what has come on a connection, unless it was shut before.
    pub fn takes_up(&self, number: ConnectionNumber) -> bool {
        let now = self.clock.now();
        let mut seats = self.lock();
        let open = seats.streams.get(&number).is_some_and(|(_, shut)| !shut);
        if open {
            seats.connections.step(now, Event::StateChanged { number, state: State::ReadingRequest });
        }
        open
    }

    /// Connections that have a place.
    fn open(&self) -> usize {
        self.lock().streams.len()
    }

    fn is_shut(&self, number: ConnectionNumber) -> bool {
        self.lock().streams.get(&number).is_none_or(|(_, shut)| *shut)
    }

    /// Connections turned away so far, by reason.
    pub fn turned_away(&self) -> Vec<(Reason, u64)> {
        self.lock().connections.rejected().collect()
    }
}

/// A connection that came, with its right to a descriptor.
pub struct PendingConnection {
    pub stream: TcpStream,
    pub address: IpAddr,
    pub token: Token,
    /// Its address holds all that one may: in the accept queue it goes before others.
    pub over: bool,
}

/// The failures to accept since the last connection that was taken.
#[derive(Default)]
struct AcceptFailures {
    count: u32,
    since: Option<Instant>,
}

/// What becomes of a connection whose time is up.
pub enum Due {
    Later(Instant),
    Ends,
    TimedOut,
}

/// What to do after a request.
enum Next {
    Goes,
    Ends,
}

impl Intake {
    pub fn new(
        clock: Clock,
        limits: Arc<Limits>,
        counters: Arc<Counters>,
        site: Arc<InForce>,
        decider: Mailbox,
        budget: Budget,
    ) -> io::Result<Intake> {
        let (stopping, closed, leaving, shut, seen_shut) = Default::default();
        let wake = pipe()?;
        let clients = Clients::new(clock, limits.connections.clone());
        let reactor = Reactor::new(limits.descriptors)?;
        Ok(Intake {
            clock,
            limits,
            counters,
            site,
            decider,
            stopping,
            clients,
            budget,
            reactor,
            closed,
            leaving,
            shut,
            seen_shut,
            wake,
        })
    }

    /// Gives the address back; whoever waits for a connection there is woken by one. One that is shared is left as it is.
    pub fn close(&self, address: Option<SocketAddr>) {
        self.closed.store(true, Ordering::SeqCst);
        match address {
            Some(address) => _ = TcpStream::connect_timeout(&address, self.limits.linger),
            None => self.wake(),
        }
    }

    fn wake(&self) {
        // Full, it wakes as well.
        _ = (&self.wake.1).write(&[0]);
    }

    /// Whether connections end with their answer.
    pub fn leaves(&self, on: bool) {
        self.leaving.store(on, Ordering::Relaxed);
    }

    /// Lets nobody in any more, and ends those who rest; or lets in as before.
    pub fn stop_accepting(&self, on: bool) {
        self.seen_shut.store(false, Ordering::SeqCst);
        self.shut.store(on, Ordering::SeqCst);
        self.wake();
        if on {
            self.clients.shut_rested();
        }
    }

    /// Whether nobody is accepted any more and every client that came in before has its answer.
    pub fn all_heard(&self) -> bool {
        let shut = self.seen_shut.load(Ordering::SeqCst);
        if shut {
            self.clients.shut_silent(span(self.limits.accept_queue_time));
        }
        shut && self.clients.open() == 0 && self.budget.used(Purpose::Accept) == 0
    }

    /// Takes connections from a socket that other processes share, as long as this one is to.
    fn share(self: &Arc<Intake>, listener: &TcpListener, overflow: &Sender<PendingConnection>) {
        let beat = Timespec { tv_sec: 0, tv_nsec: self.limits.rest_beat.subsec_nanos().into() };
        let mut failures = AcceptFailures::default();
        while !self.is_closed() {
            let shut = self.shut.load(Ordering::SeqCst);
            self.seen_shut.store(shut, Ordering::SeqCst);
            let mut fds = vec![PollFd::new(&self.wake.0, PollFlags::IN)];
            fds.extend((!shut).then(|| PollFd::new(listener, PollFlags::IN)));
            _ = poll(&mut fds, Some(&beat));
            if !fds[0].revents().is_empty() {
                _ = (&self.wake.0).read(&mut [0; 64]);
                continue;
            }
            if shut {
                continue;
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    failures = AcceptFailures::default();
                    self.welcome(stream, overflow);
                }
                // Another process was faster.
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                Err(e) => self.not_taken(&e, &mut failures),
            }
        }
    }

    /// Waits until accepting may be tried again. Only where this process has no descriptor left, or the system has had none
    /// for long, does an open connection make room: those that have just come may be about to ask, and most failures are
    /// over by themselves.
    fn not_taken(&self, e: &io::Error, failures: &mut AcceptFailures) {
        let since = *failures.since.get_or_insert_with(Instant::now);
        failures.count += 1;
        log!("no connection can be taken: {e}");
        if !is_shortage(e) {
            // Of one connection, as a rule, and the next one waits behind it.
            let pause = self.limits.first_accept_pause * (1 << (failures.count - 1).min(8));
            return thread::sleep(pause.min(self.limits.accept_pause));
        }
        self.counters.no_descriptor.add(1);
        if self.is_out_of_descriptors() || since.elapsed() >= self.limits.request_time {
            self.clients.make_room();
        }
        thread::sleep(self.limits.accept_pause);
    }

    /// Whether this process may open no descriptor at all.
    fn is_out_of_descriptors(&self) -> bool {
        matches!(rustix::io::dup(&self.wake.0), Err(rustix::io::Errno::MFILE))
    }

    /// Takes connections for the sender's whole life.
    pub fn run(self: Arc<Intake>, listener: TcpListener, shared: bool) {
        // Nobody waits between this thread and the queue: whoever is handed over is in its hand.
        let (overflow, arriving) = bounded(0);
        let queue = AcceptQueue::new(Arc::clone(&self));
        if let Err(e) = threads::spawn("accept", self.limits.stack, move || queue.run(&arriving)) {
            return log!("no thread for the accept queue: {e}");
        }
        if shared {
            return self.share(&listener, &overflow);
        }
        let mut failures = AcceptFailures::default();
        for stream in listener.incoming() {
            if self.is_closed() {
                return;
            }
            match stream {
                Ok(stream) => {
                    failures = AcceptFailures::default();
                    self.welcome(stream, &overflow);
                }
                Err(e) => self.not_taken(&e, &mut failures),
            }
        }
    }

    fn welcome(self: &Arc<Intake>, stream: TcpStream, queue: &Sender<PendingConnection>) {
        self.counters.connections.add(1);
        // One whose address can't be told counts with the others of that sort.
        let address = stream.peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
        let Some(token) = self.token(Purpose::Accept, self.limits.accept_queue_time) else {
            // Every descriptor is promised to others; the end of the connection is all the answer there is.
            self.counters.unheard.add(1);
            return;
        };
        _ = stream.set_nodelay(true);
        _ = stream.set_write_timeout(Some(self.limits.write_time));
        // Those behind it wait in the listen backlog meanwhile, which loses nobody; ended unheard at once, a client
        // with a text would be lost in any burst that this thread takes faster than the queue looks at it.
        if let Some(pending) =
            self.seat(PendingConnection { stream, address, token, over: false }, Priority::Unknown)
            && queue.send_timeout(pending, self.limits.accept_queue_time).is_err()
        {
            self.counters.unheard.add(1);
        }
    }

    /// The right to a descriptor, within a time.
    fn token(&self, purpose: Purpose, within: Duration) -> Option<Token> {
        let by = Instant::now() + within;
        loop {
            let token = self.budget.acquire(purpose);
            if token.is_some() || Instant::now() >= by {
                return token;
            }
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Gives a connection a place, or gives it back.
    pub fn seat(
        self: &Arc<Intake>,
        pending: PendingConnection,
        priority: Priority,
    ) -> Option<PendingConnection> {
        let PendingConnection { stream, address, token, over } = pending;
        let stream = Arc::new(stream);
        let back = |stream: Arc<TcpStream>, token, over| {
            Arc::into_inner(stream).map(|stream| PendingConnection { stream, address, token, over })
        };
        let number = match self.clients.admit(&stream, address, priority) {
            Ok(number) => number,
            Err(reason) => {
                let over = !matches!(reason, Reason::Full | Reason::Reserved);
                return back(stream, token, over);
            }
        };
        // Those that made room are open until it was seen; descriptors are counted.
        let by = Instant::now() + self.limits.accept_pause;
        let mut passed = token.transfer(Purpose::Client);
        while let Err(token) = passed {
            if Instant::now() >= by {
                // Its place stays free for whoever comes next, itself among them.
                self.clients.ended(number);
                return back(stream, token, over);
            }
            thread::sleep(Duration::from_millis(1));
            passed = token.transfer(Purpose::Client);
        }
        let session = Box::new(Session::new(number, stream, passed.expect("the loop ends with it")));
        let at = self.next_look(&session);
        let Err(session) = self.reactor.park(session, at) else { return None };
        let Session { stream, token, .. } = *session;
        self.clients.ended(number);
        back(stream, token, over)
    }

    /// The end of a connection.
    pub fn over(&self, session: &Session) {
        self.clients.ended(session.number);
    }

    pub fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// When a connection is to be looked at again even if nothing comes on it.
    pub fn next_look(&self, session: &Session) -> Instant {
        let limits = &self.limits;
        let beat = || Instant::now() + limits.rest_beat;
        match session.begun {
            Some(since) if limits.least_rate > 0.0 => (since + limits.request_time).min(beat()),
            Some(since) => since + limits.request_time,
            None if session.rests == State::Idle => (session.rested + limits.client_rest).max(beat()),
            None => session.rested + limits.idle_client,
        }
    }

    /// What becomes of a connection on which nothing came until it was looked at.
    pub fn due(&self, session: &Session) -> Due {
        let limits = &self.limits;
        let ends = match session.begun {
            Some(since) => {
                let so_far = since.elapsed();
                so_far >= limits.request_time || self.is_too_slow(session.inward.len(), so_far)
            }
            // Who asks once and stays would use up the connections that clients may hold, and others could not
            // come; one that only asks questions is no such client, and would be back at once.
            None => {
                let rested = session.rested.elapsed();
                rested >= limits.idle_client
                    || (session.rests == State::Idle
                        && rested >= limits.client_rest
                        && self.clients.crowd(limits))
            }
        };
        match ends {
            false => Due::Later(self.next_look(session)),
            true if session.inward.is_empty() => Due::Ends,
            true => {
                self.counters.bad_requests.add(1);
                Due::TimedOut
            }
        }
    }

    /// Answers and ends a connection on which more may still come, so that the answer is not lost in a reset.
    pub fn part(&self, number: ConnectionNumber, mut stream: &TcpStream, status: u16) {
        self.clients.enters(number, State::Closing);
        self.slow_down(status);
        if !say_last(stream, status) {
            return;
        }
        // Not for long: a body of any size may be on its way.
        let (by, mut most) = (Instant::now() + self.limits.linger, self.limits.linger_bytes);
        let mut rest = [0; 4096];
        while let Some(left) = by.checked_duration_since(Instant::now()).filter(|left| !left.is_zero()) {
            let read = stream.set_read_timeout(Some(left)).and_then(|()| stream.read(&mut rest));
            match read {
                Ok(count) if count > 0 && count < most => most -= count,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return,
            }
        }
    }

    /// Answers what has come on a connection; whether it stays, for what comes next.
    pub fn serve(&self, session: &mut Session) -> bool {
        let stream = Arc::clone(&session.stream);
        let number = session.number;
        loop {
            let came = Instant::now();
            match http::take_request(&mut session.inward, &self.limits) {
                Ok(Some(request)) => {
                    session.begun = None;
                    // Clients send one request at a time, so a text with more behind it has another length than
                    // it says, and what follows may be its own bytes.
                    if request.method == "POST" && !session.inward.is_empty() {
                        self.counters.bad_requests.add(1);
                        self.part(number, &stream, 400);
                        return false;
                    }
                    self.clients.enters(number, State::AwaitingResponse);
                    if request.method == "POST" {
                        session.rests = State::Idle;
                    }
                    match self.answer(
                        number,
                        &stream,
                        &mut session.outward,
                        request,
                        came,
                        &mut session.proven,
                    ) {
                        Next::Goes if session.inward.is_empty() => self.clients.enters(number, session.rests),
                        Next::Goes => self.clients.enters(number, State::ReadingRequest),
                        Next::Ends => {
                            _ = stream.shutdown(Shutdown::Both);
                            return false;
                        }
                    }
                    session.rested = Instant::now();
                    continue;
                }
                Ok(None) => {}
                Err(Rejection(status)) => {
                    self.counters.bad_requests.add(1);
                    self.part(number, &stream, status);
                    return false;
                }
            }
            if !session.inward.is_empty() {
                session.begun.get_or_insert(came);
            }
            match session.read() {
                Ok(0) => return false,
                Ok(_) => self.clients.enters(number, State::ReadingRequest),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    // One that trickles is never at rest when its time is up.
                    let in_time = session.begun.is_none() || matches!(self.due(session), Due::Later(_));
                    if !in_time {
                        self.part(number, &stream, 408);
                    }
                    return in_time;
                }
                Err(_) => return false,
            }
        }
    }

    /// Whether a request trickles, where a least rate is set: it would hold its place for the whole of its time.
    fn is_too_slow(&self, came: usize, since: Duration) -> bool {
        let rate = self.limits.least_rate;
        rate > 0.0 && since >= self.limits.client_pause && (came as f64) < rate * since.as_secs_f64()
    }

    fn answer(
        &self,
        number: ConnectionNumber,
        stream: &TcpStream,
        outward: &mut Ring,
        request: Request,
        came: Instant,
        proven: &mut bool,
    ) -> Next {
        let stopping = self.stopping.load(Ordering::Relaxed);
        let shut = self.clients.is_shut(number);
        let close = request.close || stopping || shut || self.leaving.load(Ordering::Relaxed);
        let path = request.path.split(['?', '#']).next().unwrap_or_default();
        let first = path.trim_start_matches('/').split('/').next().unwrap_or_default();
        let site = self.site.get();
        let product = site.products.index_of(&first.to_owned(), "product").ok();
        let (status, body) = match (request.method.as_str(), path) {
            ("GET" | "HEAD", "/up") => (if stopping { 503 } else { 200 }, String::new()),
            ("GET" | "HEAD", "/alive") => (200, String::new()),
            ("GET", "/counters") => (200, self.counted()),
            ("POST", _) if let Some(product) = product => {
                let Some(info) = self.info(&request, &site, product, came) else {
                    self.counters.bad_requests.add(1);
                    self.part(number, stream, 400);
                    return Next::Ends;
                };
                let close = close || self.clients.crowd(&self.limits);
                let ends = &site.ends[product];
                // Its client may have taken the connection for ended, and then hands it in again.
                if shut {
                    self.counters.turned_away.add(1);
                    ends.deferred.add(1);
                    return self.put(stream, outward, 503, "", true);
                }
                return match self.hand_in(info, request.body.into(), *proven, came) {
                    Some(Admission::AlreadyAccepted) => self.put(stream, outward, 202, "", close),
                    Some(Admission::Full) | None => {
                        ends.deferred.add(1);
                        self.put(stream, outward, 503, "", close)
                    }
                    Some(Admission::RetryAfter(again)) => {
                        ends.deferred.add(1);
                        http::put_later(outward, again.as_secs(), close);
                        match outward.drain_to(&mut &*stream) {
                            Ok(()) if !close => Next::Goes,
                            _ => Next::Ends,
                        }
                    }
                    Some(Admission::Indeterminate) => {
                        ends.errored.add(1);
                        self.put(stream, outward, 500, "", close)
                    }
                    Some(Admission::IdConflict) => {
                        self.counters.bad_requests.add(1);
                        self.part(number, stream, 409);
                        Next::Ends
                    }
                    Some(Admission::UnknownDestination) => {
                        self.counters.bad_requests.add(1);
                        ends.errored.add(1);
                        self.slow_down(404);
                        self.put(stream, outward, 404, "", close)
                    }
                    Some(Admission::Accepted(text)) => {
                        match quiet(stream) {
                            Quiet::Yes => {}
                            // A client that has gone hands the text in again, so this one must not go out as well.
                            Quiet::Ended => {
                                _ = self.decider.send(Message::AnswerLost(text));
                                return self.put(stream, outward, 503, "", true);
                            }
                            Quiet::More => {
                                _ = self.decider.send(Message::AnswerLost(text));
                                self.counters.bad_requests.add(1);
                                self.part(number, stream, 400);
                                return Next::Ends;
                            }
                        }
                        http::put_answer(outward, 202, "", close);
                        let heard = outward.drain_to(&mut &*stream).is_ok();
                        if heard && !std::mem::replace(proven, true) {
                            self.clients.tell(Event::TextAccepted { number });
                        }
                        _ = self.decider.send(if heard {
                            Message::AnswerDelivered(text)
                        } else {
                            Message::AnswerLost(text)
                        });
                        if heard && !close { Next::Goes } else { Next::Ends }
                    }
                };
            }
            (_, "/up" | "/alive" | "/counters") => (405, String::new()),
            _ if product.is_some() => (405, String::new()),
            _ => (404, String::new()),
        };
        if status >= 400 && status != 503 {
            self.counters.bad_requests.add(1);
            self.slow_down(status);
        }
        self.put(stream, outward, status, &body, close)
    }

    /// All counters, connections turned away by reason included.
    fn counted(&self) -> String {
        let mut text = self.counters.to_string();
        for (reason, count) in self.clients.turned_away() {
            text += &format!("connections_turned_away_{} {count}\n", format!("{reason:?}").to_lowercase());
        }
        for (name, purpose) in
            [("client", Purpose::Client), ("door", Purpose::Accept), ("gateway", Purpose::Gateway)]
        {
            text += &format!("descriptors_{name} {}\n", self.budget.used(purpose));
            text += &format!("descriptors_{name}_refused {}\n", self.budget.refused(purpose));
        }
        text += &format!("client_threads {}\n", self.reactor.threads());
        text
    }

    fn put(&self, mut stream: &TcpStream, outward: &mut Ring, status: u16, body: &str, close: bool) -> Next {
        http::put_answer(outward, status, body, close);
        match outward.drain_to(&mut stream) {
            Ok(()) if !close => Next::Goes,
            _ => Next::Ends,
        }
    }

    /// A client that sends the same again as soon as it is turned away would take what time the sender has; its
    /// own thread waits first. The usual ones are told at once when to come again.
    fn slow_down(&self, status: u16) {
        let by = Instant::now() + self.limits.bad_pause;
        // Not beyond the end of this sender, which waits for the last answers.
        while status != 503 && !self.is_closed() && Instant::now() < by {
            thread::sleep(self.limits.bad_pause / 8);
        }
    }

    /// Has the decider take a text on; `None` where it has no time to.
    fn hand_in(&self, info: TextInfo, body: Arc<[u8]>, proven: bool, came: Instant) -> Option<Admission> {
        let (reply, answer) = bounded(1);
        if self.decider.try_send(Message::HandIn(HandIn { info, body, proven, came, reply })).is_err() {
            self.counters.turned_away.add(1);
            return None;
        }
        let admission = answer.recv_timeout(self.limits.admission).ok();
        if admission.is_none() {
            _ = self.decider.send(Message::RequestAbandoned(answer));
        }
        admission
    }

    /// The text in a request; `None` where something in it is missing or can't be.
    fn info(&self, request: &Request, site: &Site, product: usize, came: Instant) -> Option<TextInfo> {
        let name_of = site.products.name(product);
        let get = |name: &str| request.headers.get(name);
        // These travel on in lines of their own, parted by blanks.
        let name = |value: &str| {
            let plain = !value.is_empty() && value.bytes().all(|b| b.is_ascii_graphic());
            (plain && value.len() <= self.limits.name).then(|| value.to_owned())
        };
        let asked = match get("x-timeout-ms") {
            Some(asked) => Some(f64::from(asked.parse::<u32>().ok()?)),
            None => None,
        };
        let left = site.validity_ms(name_of, asked)?;
        let envelope = get("x-envelope")?;
        let mut fields = envelope.split([',', ';']).filter_map(|field| field.trim().split_once('='));
        let (_, dest) = fields.find(|(field, _)| field.trim() == "dest")?;
        let optional = |value: Option<&str>| match value {
            Some(value) => name(value).map(Some),
            None => Some(None),
        };
        Some(TextInfo {
            id: name(get("x-request-id")?)?,
            mark: optional(get("idempotency-key"))?,
            product: site.references[product].clone(),
            key: optional(get("x-route-key"))?.filter(|_| site.keeps_order(name_of)),
            dest: dest.trim().parse().ok()?,
            until_ms: Moment::as_millis(self.clock.moment(came)) + left,
        })
    }
}

/// Writes the last answer on a connection and ends this side of it; whether the other may still read it.
pub fn say_last(mut stream: &TcpStream, status: u16) -> bool {
    let mut outward = Ring::default();
    http::put_answer(&mut outward, status, "", true);
    outward.drain_to(&mut stream).is_ok() && stream.shutdown(Shutdown::Write).is_ok()
}

/// What is on a connection whose request is being answered.
enum Quiet {
    Yes,
    /// The client has ended its side, or the connection is broken.
    Ended,
    /// The client sends on, which clients never do before their answer.
    More,
}

fn quiet(stream: &TcpStream) -> Quiet {
    match reactor::peek(stream, &mut [0]) {
        Ok(0) => Quiet::Ended,
        Ok(_) => Quiet::More,
        Err(e) if e.kind() == ErrorKind::WouldBlock => Quiet::Yes,
        Err(_) => Quiet::Ended,
    }
}
