//! The intake of clients: takes requests from their connections and answers each.

use crate::accept_queue::AcceptQueue;
use crate::clients::Clients;
use crate::clock::{Clock, span};
use crate::config::{InForce, Site};
use crate::counters::Counters;
use crate::decider::{Admission, HandIn, Message};
use crate::http::{self, RequestHead};
use crate::limits::Limits;
use crate::link::is_shortage;
use crate::reactor::{self, Come, Go, Reactor};
use crate::request_reader::{AfterBody, Progress, Refusal, WholeRequest};
use crate::ring::Ring;
use crate::session::Session;
use crate::text_journal::TextInfo;
use crate::{Mailbox, log, threads};
use crossbeam_channel::{Receiver, Sender, bounded};
use indigomast::time::Moment;
use indigomast_admission::{
    Budget, ConnectionNumber, Event, MemoryBudget, MemoryReservation, Priority, Purpose, Reason, State, Token,
};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, ErrorKind, PipeReader, PipeWriter, Read, Write, pipe};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes that are read from one connection before others have their turn.
const READ_TURN: usize = 64 << 10;

pub struct Intake {
    pub clock: Clock,
    pub limits: Arc<Limits>,
    pub counters: Arc<Counters>,
    pub site: Arc<InForce>,
    pub decider: Mailbox,
    pub stopping: Arc<AtomicBool>,
    pub clients: Clients,
    pub budget: Budget,
    /// What requests may hold, with their connections and threads.
    pub memory: MemoryBudget,
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
pub enum Next {
    Goes,
    Ends,
    Refuse(Refusal),
}

/// What to do once all was read that had come on a connection.
pub enum Step {
    Waits,
    Answer(WholeRequest),
    Refuse(Refusal),
    Over,
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
        let memory = MemoryBudget::new(limits.request_memory);
        Ok(Intake {
            clock,
            limits,
            counters,
            site,
            decider,
            stopping,
            clients,
            budget,
            memory,
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
        self.reactor.wake();
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
        let Some(memory) = self.memory_for_connection() else { return back(stream, token, over) };
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
        let token = passed.expect("the loop ends with it");
        let session = Box::new(Session::new(number, stream, token, memory, self.memory.empty()));
        let at = self.next_look(&session);
        let Err(session) = self.reactor.park(self, session, at) else { return None };
        let Session { stream, token, .. } = *session;
        self.clients.ended(number);
        back(stream, token, over)
    }

    /// What a connection takes beside its requests; stalled ones are ended for it.
    fn memory_for_connection(&self) -> Option<MemoryReservation> {
        loop {
            let memory = self.memory.reserve(self.limits.connection_memory);
            if memory.is_some() || !self.reactor.make_room(self) {
                return memory;
            }
        }
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
                so_far >= limits.request_time || self.is_too_slow(session.request.received(), so_far)
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
            true if session.request.is_empty() => Due::Ends,
            true => {
                self.counters.bad_requests.add(1);
                Due::TimedOut
            }
        }
    }

    /// Whether a connection ends with its next answer, whatever its client asks for.
    pub fn ends_connection(&self, number: ConnectionNumber) -> bool {
        self.stopping.load(Ordering::Relaxed)
            || self.leaving.load(Ordering::Relaxed)
            || self.clients.is_shut(number)
    }

    /// Reads what has come on a connection, as far as its turn goes.
    pub fn read(&self, session: &mut Session, scratch: &mut [u8]) -> Step {
        let stream = Arc::clone(&session.stream);
        let mut read = 0;
        loop {
            match session.request.progress(&self.limits) {
                Progress::Head(head) => {
                    self.begin_body(session, head);
                    continue;
                }
                Progress::Whole(request) => return self.whole(session, request),
                Progress::Refused(refusal) => return self.refused(refusal),
                Progress::Incomplete => {}
            }
            if !session.request.is_empty() {
                session.begun.get_or_insert_with(Instant::now);
            }
            if read >= READ_TURN {
                return Step::Waits;
            }
            match session.request.fill(&mut Come(&stream), scratch, &self.limits) {
                Ok(count) if count > 0 => read += count,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Step::Waits,
                _ => return Step::Over,
            }
        }
    }

    fn refused(&self, refusal: Refusal) -> Step {
        if refusal.status != 503 {
            self.counters.bad_requests.add(1);
        }
        Step::Refuse(refusal)
    }

    /// Says what becomes of a body by the head before it. Only that of a text that may be taken on is kept, and only within the
    /// memory for requests: where none is left and no request has stalled, its client is told to come again.
    fn begin_body(&self, session: &mut Session, head: RequestHead) {
        let length = head.length;
        let site = self.site.get();
        let product = match self.product(&site, &head) {
            Some(product) if head.method == "POST" => product,
            _ => return session.request.pass_over_body(length, AfterBody::Answer(head)),
        };
        if self.info(&head, &site, product, Instant::now()).is_none() {
            let refusal = Refusal { status: 400, close: true };
            return session.request.pass_over_body(length, AfterBody::Refuse(refusal));
        }
        let mut kept = session.request.keep_body(head);
        while let Err(head) = kept {
            if !self.reactor.make_room(self) {
                self.counters.turned_away.add(1);
                self.counters.turned_away_memory.add(1);
                site.ends[product].deferred.add(1);
                let refusal = Refusal { status: 503, close: head.close };
                return session.request.pass_over_body(length, AfterBody::Refuse(refusal));
            }
            kept = session.request.keep_body(head);
        }
    }

    fn whole(&self, session: &mut Session, request: WholeRequest) -> Step {
        session.begun = None;
        let is_text = request.head.method == "POST";
        // Clients send one request at a time, so a text with more behind it has another length than it says, and
        // what follows may be its own bytes.
        if is_text && (session.request.is_ahead() || matches!(quiet(&session.stream), Quiet::More)) {
            return self.refused(Refusal { status: 400, close: true });
        }
        self.clients.enters(session.number, State::AwaitingResponse);
        if is_text {
            session.rests = State::Idle;
        }
        Step::Answer(request)
    }

    /// Whether a request trickles, where a least rate is set: it would hold its place for the whole of its time.
    fn is_too_slow(&self, came: usize, since: Duration) -> bool {
        let rate = self.limits.least_rate;
        rate > 0.0 && since >= self.limits.client_pause && (came as f64) < rate * since.as_secs_f64()
    }

    /// The product that a request names, by its index.
    fn product(&self, site: &Site, head: &RequestHead) -> Option<usize> {
        let first = path_of(head).trim_start_matches('/').split('/').next().unwrap_or_default();
        site.products.index_of(&first.to_owned(), "product").ok()
    }

    /// Answers a whole request.
    pub fn answer(&self, session: &mut Session, request: WholeRequest) -> Next {
        let close = request.head.close || self.ends_connection(session.number);
        let site = self.site.get();
        let product = self.product(&site, &request.head);
        let (status, body) = match (request.head.method.as_str(), path_of(&request.head)) {
            ("GET" | "HEAD", "/up") => {
                let stopping = self.stopping.load(Ordering::Relaxed);
                (if stopping { 503 } else { 200 }, String::new())
            }
            ("GET" | "HEAD", "/alive") => (200, String::new()),
            ("GET", "/counters") => (200, self.counted()),
            ("POST", _) if let Some(product) = product => {
                return self.answer_text(session, request, &site, product);
            }
            (_, "/up" | "/alive" | "/counters") => (405, String::new()),
            _ if product.is_some() => (405, String::new()),
            _ => (404, String::new()),
        };
        if status >= 400 && status != 503 {
            self.counters.bad_requests.add(1);
            return Next::Refuse(Refusal { status, close });
        }
        self.put_next(&session.stream, status, &body, close)
    }

    /// Answers a text, which the decider takes on or not.
    fn answer_text(&self, session: &mut Session, request: WholeRequest, site: &Site, product: usize) -> Next {
        let WholeRequest { head, body, memory, came } = request;
        let stream = Arc::clone(&session.stream);
        let Some(info) = self.info(&head, site, product, came) else { return self.bad(400, true) };
        let ends = &site.ends[product];
        let shut = self.clients.is_shut(session.number);
        let close = head.close || self.ends_connection(session.number) || self.clients.crowd(&self.limits);
        // Its client may have taken the connection for ended, and then hands it in again.
        if shut {
            self.counters.turned_away.add(1);
            ends.deferred.add(1);
            return self.put_next(&stream, 503, "", true);
        }
        let (reply, answer) = bounded(1);
        let hand_in = HandIn { info, body, memory, proven: session.proven, came, reply };
        let admission = match self.decider.try_send(Message::HandIn(hand_in)) {
            Ok(()) => self.admission(answer),
            // It has no time.
            Err(_) => {
                self.counters.turned_away.add(1);
                None
            }
        };
        match admission {
            Some(Admission::AlreadyAccepted) => self.put_next(&stream, 202, "", close),
            Some(Admission::Full) | None => {
                ends.deferred.add(1);
                self.put_next(&stream, 503, "", close)
            }
            Some(Admission::RetryAfter(again)) => {
                ends.deferred.add(1);
                let mut outward = Ring::default();
                http::put_later(&mut outward, again.as_secs(), close);
                next(outward.drain_to(&mut Go(&stream)).is_ok(), close)
            }
            Some(Admission::Indeterminate) => {
                ends.errored.add(1);
                self.put_next(&stream, 500, "", close)
            }
            Some(Admission::IdConflict) => self.bad(409, true),
            Some(Admission::UnknownDestination) => {
                ends.errored.add(1);
                self.bad(404, close)
            }
            Some(Admission::Accepted(text)) => match quiet(&stream) {
                Quiet::Yes => {
                    let heard = self.put(&stream, 202, "", close);
                    if heard && !std::mem::replace(&mut session.proven, true) {
                        self.clients.tell(Event::TextAccepted { number: session.number });
                    }
                    _ = self.decider.send(if heard {
                        Message::AnswerDelivered(text)
                    } else {
                        Message::AnswerLost(text)
                    });
                    next(heard, close)
                }
                // A client that has gone hands the text in again, so this one must not go out as well.
                Quiet::Ended => {
                    _ = self.decider.send(Message::AnswerLost(text));
                    self.put_next(&stream, 503, "", true)
                }
                Quiet::More => {
                    _ = self.decider.send(Message::AnswerLost(text));
                    self.bad(400, true)
                }
            },
        }
    }

    fn bad(&self, status: u16, close: bool) -> Next {
        self.counters.bad_requests.add(1);
        Next::Refuse(Refusal { status, close })
    }

    /// The decider's answer; `None` where it has no time to give one.
    fn admission(&self, answer: Receiver<Admission>) -> Option<Admission> {
        let admission = answer.recv_timeout(self.limits.admission).ok();
        if admission.is_none() {
            _ = self.decider.send(Message::RequestAbandoned(answer));
        }
        admission
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
        text += &format!("request_memory {}\n", self.memory.used());
        text += &format!("request_memory_peak {}\n", self.memory.peak());
        text += &format!("request_memory_refused {}\n", self.memory.refused());
        text
    }

    /// Writes an answer; whether the system took it whole.
    pub fn put(&self, stream: &TcpStream, status: u16, body: &str, close: bool) -> bool {
        let mut outward = Ring::default();
        http::put_answer(&mut outward, status, body, close);
        outward.drain_to(&mut Go(stream)).is_ok()
    }

    fn put_next(&self, stream: &TcpStream, status: u16, body: &str, close: bool) -> Next {
        next(self.put(stream, status, body, close), close)
    }

    /// The text in a request; `None` where something in it is missing or can't be.
    fn info(&self, request: &RequestHead, site: &Site, product: usize, came: Instant) -> Option<TextInfo> {
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

/// The path that a request asks for.
fn path_of(head: &RequestHead) -> &str {
    head.path.split(['?', '#']).next().unwrap_or_default()
}

/// What follows an answer.
fn next(heard: bool, close: bool) -> Next {
    if heard && !close { Next::Goes } else { Next::Ends }
}

/// Writes the last answer on a connection and ends this side of it; whether the other may still read it.
pub fn say_last(stream: &TcpStream, status: u16) -> bool {
    let mut outward = Ring::default();
    http::put_answer(&mut outward, status, "", true);
    outward.drain_to(&mut Go(stream)).is_ok() && stream.shutdown(Shutdown::Write).is_ok()
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
