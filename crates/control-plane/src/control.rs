//! A control machine's process: always a relay, and a controller too once it has been promoted.
//!
//! One actor owns both machines and decides nothing itself. Everybody comes to one port; the first line tells who it is. A
//! change is answered once it is on the disk here; that the relays have heard of it by then harms nobody, since who is
//! promoted next may have it or not until it was answered.

use crate::config;
use crate::connection::{Dialer, Lines, Outgoing, Traffic, Writer, join, tell};
use crate::copy::{Copy, Epochs, Found};
use crate::limits::Limits;
use crate::moment;
use crate::order::{Order, OrderSession, open_first};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use indigomast::time::Moment;
use indigomast_assignment::budget;
use indigomast_assignment::catalog::{Change, Position, Replica, Settings};
use indigomast_assignment::controller::{self, Controller};
use indigomast_assignment::image::Batch;
use indigomast_assignment::placement;
use indigomast_assignment::publisher;
use indigomast_assignment::relay::{self, Relay};
use indigomast_assignment::wire::{Fault, Kind, Refusals, Who, open_hello, seal_announcement};
use indigomast_rollout::wire::Secret;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Words worked through before the disk and the clock are looked at again.
const TURN: usize = 256;

enum Word {
    /// Somebody's first line, and how to answer.
    Came {
        peer: u64,
        who: Who,
        line: String,
        writer: Writer,
    },
    Line {
        peer: u64,
        line: String,
    },
    Gone {
        peer: u64,
    },
    Refused(Fault),
    Above(Outgoing),
    Order {
        order: Order,
        answer: Sender<Value>,
    },
    /// The disk has all up to there.
    Written(Result<Position, String>),
    Stop,
}

impl From<Outgoing> for Word {
    fn from(outgoing: Outgoing) -> Word {
        Word::Above(outgoing)
    }
}

enum Job {
    Append(Batch),
    Whole(Box<Replica>),
}

/// A process that runs.
pub struct Control {
    pub address: SocketAddr,
    mailbox: Sender<Word>,
    acceptor: Arc<Acceptor>,
    actor: Option<JoinHandle<()>>,
    listener: Option<JoinHandle<()>>,
}

/// Bytes by what comes over a connection.
#[derive(Default)]
struct Bytes {
    relays: Arc<Traffic>,
    agents: Arc<Traffic>,
    controllers: Arc<Traffic>,
    orders: Arc<Traffic>,
    /// As a relay, to its controller.
    above: Arc<Traffic>,
    /// Of those who never said who they are.
    strangers: Arc<Traffic>,
}

/// What listens, and whoever has come in.
struct Acceptor {
    limits: Arc<Limits>,
    secret: Secret,
    mailbox: Sender<Word>,
    bytes: Arc<Bytes>,
    over: AtomicBool,
    orders: AtomicUsize,
    /// All that are open, to be ended with the process.
    open: Mutex<HashMap<u64, Arc<TcpStream>>>,
}

impl Control {
    /// Begins with the copy that an earlier life left, as a relay.
    ///
    /// # Errors
    ///
    /// The field of the file that names what can't be had.
    pub fn start(config: &config::Control, limits: Limits) -> Result<Control, String> {
        let secret = config::secret(&config.key)?;
        let settings = config.settings();
        let (copy, found) =
            Copy::open(&config.state, config.number, secret.clone(), &settings).map_err(|e| {
                match e.kind() {
                    io::ErrorKind::InvalidInput => format!("shards: {e}"),
                    _ => format!("state: {}: {e}", config.state.display()),
                }
            })?;
        let epochs =
            Epochs::open(&config.state).map_err(|e| format!("state: {}: {e}", config.state.display()))?;
        let listener =
            TcpListener::bind(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
        let address = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
        let limits = Arc::new(limits);
        let (mailbox, words) = bounded(limits.mailbox);
        let bytes = Arc::<Bytes>::default();
        let acceptor = Arc::new(Acceptor {
            limits: Arc::clone(&limits),
            secret: secret.clone(),
            mailbox: mailbox.clone(),
            bytes: Arc::clone(&bytes),
            over: AtomicBool::new(false),
            orders: AtomicUsize::new(0),
            open: Mutex::default(),
        });
        let (jobs, asked) = bounded(1);
        let written = mailbox.clone();
        let position = copy.position();
        let no_thread = |e: io::Error| format!("no thread: {e}");
        thread::Builder::new()
            .name("disk".into())
            .spawn(move || disk(copy, &asked, &written))
            .map_err(no_thread)?;
        let (saved, damaged) = match found {
            Found::Nothing => (None, None),
            Found::Whole(replica) => (Some(*replica), None),
            Found::Damaged(place) => {
                log::warn!("the copy is damaged and put aside, this begins with nothing: {place}");
                (None, Some(place))
            }
        };
        let began = Instant::now();
        let controls = (0..config.controls.len() as u32).collect();
        let relay = Relay::new(
            config.number,
            Replica::new(&settings),
            saved,
            controls,
            config.sessions,
            budget::SENDER,
            secret.clone(),
            rand::random(),
            moment(began),
        );
        let dialer = Dialer::new(Arc::clone(&limits), Arc::clone(&bytes.above), mailbox.clone());
        let mut actor = Actor {
            config: config.clone(),
            settings,
            limits,
            secret,
            began,
            relay,
            controller: None,
            damaged,
            epochs,
            dialer,
            peers: HashMap::new(),
            refusals: Refusals::default(),
            jobs: Some(jobs),
            disk: Disk { busy: false, position, whole: false, changed: None, trouble: None },
            pending: VecDeque::new(),
            bytes,
            announcing: Arc::default(),
        };
        if actor.epochs.highest() > 0 {
            // The relay obeys none of an earlier epoch; who has this one isn't known any more.
            let line = seal_announcement(&actor.secret, u32::MAX, actor.epochs.highest());
            actor.step_relay(relay::Event::Announced(&line));
        }
        let actor = thread::Builder::new()
            .name("control".into())
            .spawn(move || actor.run(&words))
            .map_err(no_thread)?;
        let own = Arc::clone(&acceptor);
        let listener = thread::Builder::new()
            .name("listen".into())
            .stack_size(acceptor.limits.stack)
            .spawn(move || own.listen(&listener))
            .map_err(no_thread)?;
        Ok(Control { address, mailbox, acceptor, actor: Some(actor), listener: Some(listener) })
    }

    /// Whether the actor still runs; it ends before it is stopped only by a fault of its own.
    pub fn runs(&self) -> bool {
        self.actor.as_ref().is_some_and(|actor| !actor.is_finished())
    }

    /// Ends all connections, with the copy saved.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.acceptor.over.store(true, Ordering::Release);
        // Wakes the one that listens.
        _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        join(self.listener.take());
        _ = self.mailbox.send(Word::Stop);
        join(self.actor.take());
        self.acceptor.open().values().for_each(|stream| _ = stream.shutdown(Shutdown::Both));
    }
}

impl Drop for Control {
    fn drop(&mut self) {
        if self.actor.is_some() {
            self.end();
        }
    }
}

impl Acceptor {
    fn open(&self) -> MutexGuard<'_, HashMap<u64, Arc<TcpStream>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn listen(self: Arc<Acceptor>, listener: &TcpListener) {
        let mut peer = 0;
        for stream in listener.incoming() {
            if self.over.load(Ordering::Acquire) {
                return;
            }
            let Ok(stream) = stream else {
                // Out of descriptors: whoever comes waits a moment.
                thread::sleep(Duration::from_millis(20));
                continue;
            };
            peer += 1;
            let stream = Arc::new(stream);
            {
                let mut open = self.open();
                if open.len() >= self.limits.connections {
                    continue;
                }
                open.insert(peer, Arc::clone(&stream));
            }
            let acceptor = Arc::clone(&self);
            let serve = move || {
                if let Err(fault) = acceptor.serve(peer, stream) {
                    _ = acceptor.mailbox.send(Word::Refused(fault));
                }
                acceptor.open().remove(&peer);
            };
            let thread = thread::Builder::new().name("come".into()).stack_size(self.limits.stack);
            if thread.spawn(serve).is_err() {
                self.open().remove(&peer);
            }
        }
    }

    /// Reads one connection to its end.
    fn serve(&self, peer: u64, stream: Arc<TcpStream>) -> Result<(), Fault> {
        _ = stream.set_nodelay(true);
        let limits = &self.limits;
        let mut lines = Lines::new(Arc::clone(&stream));
        let by = Instant::now() + limits.first_line_within;
        let first = lines.next(limits.first_line, Some(by));
        let count = lines.count();
        let strange = |_| self.bytes.strangers.read.fetch_add(count, Ordering::Relaxed);
        let line = match first {
            Ok(line) => line,
            Err(e) => {
                strange(());
                // Whoever only looks whether the port is open has said nothing wrong.
                let silent = e.kind() == io::ErrorKind::UnexpectedEof && count == 0;
                return if silent { Ok(()) } else { Err(form("first line", e.to_string())) };
            }
        };
        if let Ok(first) = open_first(&self.secret, &line) {
            self.bytes.orders.read.fetch_add(count, Ordering::Relaxed);
            let under_way = self.orders.fetch_add(1, Ordering::AcqRel);
            let done = if under_way < limits.orders {
                self.order(&stream, &mut lines, &OrderSession::new(&self.secret, &first, rand::random()))
            } else {
                Ok(())
            };
            self.orders.fetch_sub(1, Ordering::AcqRel);
            _ = stream.shutdown(Shutdown::Both);
            return done;
        }
        let hello = open_hello(&self.secret, &line).inspect_err(|_| _ = strange(()))?;
        let traffic = match hello.who {
            Who::Controller(_) => &self.bytes.controllers,
            Who::Relay(_) => &self.bytes.relays,
            Who::Sender(_) => &self.bytes.agents,
        };
        traffic.read.fetch_add(count, Ordering::Relaxed);
        let Ok(writer) = Writer::start(stream, limits, Arc::clone(traffic)) else { return Ok(()) };
        if self.mailbox.send(Word::Came { peer, who: hello.who, line, writer }).is_err() {
            return Ok(());
        }
        let done = loop {
            let line = lines.next(limits.line, None);
            traffic.read.fetch_add(lines.count(), Ordering::Relaxed);
            let line = match line {
                Ok(line) => line,
                Err(e) if e.kind() == io::ErrorKind::InvalidData => break Err(form("line", e.to_string())),
                Err(_) => break Ok(()),
            };
            if self.mailbox.send(Word::Line { peer, line }).is_err() {
                break Ok(());
            }
        };
        _ = self.mailbox.send(Word::Gone { peer });
        done
    }

    fn order(&self, stream: &Arc<TcpStream>, lines: &mut Lines, session: &OrderSession) -> Result<(), Fault> {
        let limits = &self.limits;
        let traffic = &self.bytes.orders;
        // One line after the other, so this thread writes as well.
        let say = |line: String| {
            let line = line + "\n";
            traffic.written.fetch_add(line.len() as u64, Ordering::Relaxed);
            stream
                .set_write_timeout(Some(limits.write_within))
                .and_then(|()| (&**stream).write_all(line.as_bytes()))
        };
        if say(session.challenge()).is_err() {
            return Ok(());
        }
        let line = lines.next(limits.order, Some(Instant::now() + limits.first_line_within));
        traffic.read.fetch_add(lines.count(), Ordering::Relaxed);
        let line = match line {
            Ok(line) => line,
            Err(e) if e.kind() == io::ErrorKind::InvalidData => return Err(form("order", e.to_string())),
            Err(_) => return Ok(()),
        };
        let order = match session.open(&line) {
            Ok(order) => order,
            Err(wrong) if wrong.contains("checksum") => {
                return Err(Fault { kind: Kind::Forged, place: "order".into(), wrong });
            }
            Err(wrong) => {
                // Who knows the key is told what is wrong with it.
                _ = say(session.seal(&json!({"refused": format!("order: {wrong}")})));
                return Err(form("order", wrong));
            }
        };
        let (answer, answered) = bounded(1);
        if self.mailbox.send(Word::Order { order, answer }).is_err() {
            return Ok(());
        }
        let answer = answered.recv_timeout(limits.answer_within).unwrap_or_else(
            |_| json!({"refused": "no answer in time; whether it was carried out isn't known"}),
        );
        _ = say(session.seal(&answer));
        Ok(())
    }
}

fn form(place: &str, wrong: String) -> Fault {
    Fault { kind: Kind::Form, place: place.into(), wrong }
}

/// Writes what it is handed, one after the other, and tells how far the disk has all.
fn disk(mut copy: Copy, jobs: &Receiver<Job>, written: &Sender<Word>) {
    for job in jobs {
        let done = match &job {
            Job::Append(batch) if !copy.is_worth_a_snapshot(batch) => copy.append(batch),
            // Without the whole at hand: asked for by the answer.
            Job::Append(_) => {
                _ = written.send(Word::Written(Err(String::new())));
                continue;
            }
            Job::Whole(replica) => copy.replace(replica),
        };
        let told = match (done, copy.position()) {
            (Ok(()), Some(position)) => Ok(position),
            (Ok(()), None) => Err("nothing was written".into()),
            (Err(e), _) => Err(e.to_string()),
        };
        if written.send(Word::Written(told)).is_err() {
            return;
        }
    }
}

/// What the actor knows of the disk.
struct Disk {
    busy: bool,
    /// Up to where it has all.
    position: Option<Position>,
    /// The next job has to be the whole copy.
    whole: bool,
    /// Since when the relay's copy is ahead of it.
    changed: Option<Instant>,
    /// The last thing that went wrong, and when.
    trouble: Option<(String, Instant)>,
}

/// Of a connection that came in.
struct Peer {
    who: Who,
    writer: Writer,
}

struct Actor {
    config: config::Control,
    settings: Settings,
    limits: Arc<Limits>,
    secret: Secret,
    began: Instant,
    relay: Relay,
    controller: Option<Controller>,
    /// Where the copy was that could not be read.
    damaged: Option<String>,
    /// That anybody here has heard of.
    epochs: Epochs,
    dialer: Dialer<Word>,
    peers: HashMap<u64, Peer>,
    refusals: Refusals,
    jobs: Option<Sender<Job>>,
    disk: Disk,
    /// Answers that wait for the disk.
    pending: VecDeque<(Position, Sender<Value>)>,
    bytes: Arc<Bytes>,
    /// Controllers that are being told that this one is there.
    announcing: Arc<Mutex<Vec<u32>>>,
}

impl Actor {
    fn now(&self) -> Moment {
        moment(self.began)
    }

    fn run(mut self, words: &Receiver<Word>) {
        loop {
            let mut due = self.relay.next();
            if let Some(next) = self.controller.as_ref().and_then(Controller::next) {
                due = due.min(next);
            }
            let wait = Duration::from_secs_f64(due.since(self.now()).as_secs().clamp(0.0, 1.0));
            let wait = if self.disk.changed.is_some() { wait.min(self.limits.lazily) } else { wait };
            match words.recv_timeout(wait) {
                Ok(word) => {
                    let more = words.try_iter().take(TURN).collect::<Vec<_>>();
                    for word in std::iter::once(word).chain(more) {
                        if let Word::Stop = word {
                            return self.leave(words);
                        }
                        self.word(word);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.step_relay(relay::Event::Tick);
            self.step_controller(controller::Event::Tick);
            self.save(false);
        }
    }

    fn word(&mut self, word: Word) {
        match word {
            Word::Came { peer, who, line, writer } => {
                self.peers.insert(peer, Peer { who, writer });
                self.line(peer, who, &line);
            }
            Word::Line { peer, line } => {
                if let Some(who) = self.peers.get(&peer).map(|peer| peer.who) {
                    self.line(peer, who, &line);
                }
            }
            Word::Gone { peer } => match self.peers.remove(&peer).map(|peer| peer.who) {
                Some(Who::Relay(_)) => self.step_controller(controller::Event::Lost { peer }),
                Some(Who::Sender(_)) => self.step_relay(relay::Event::SenderLost { peer }),
                _ => {}
            },
            Word::Refused(fault) => {
                log::warn!("a line was refused: {fault}");
                self.refusals.add(fault);
            }
            Word::Above(outgoing) => self.above(outgoing),
            Word::Order { order, answer } => self.order(order, answer),
            Word::Written(done) => self.written(done),
            Word::Stop => {}
        }
    }

    fn line(&mut self, peer: u64, who: Who, line: &str) {
        match who {
            Who::Relay(_) if self.controller.is_some() => {
                self.step_controller(controller::Event::Line { peer, line });
            }
            Who::Relay(_) => _ = self.peers.remove(&peer),
            Who::Sender(_) => self.step_relay(relay::Event::SenderLine { peer, line }),
            Who::Controller(_) => {
                self.hear(open_hello(&self.secret, line).map_or(0, |hello| hello.epoch));
                if self.controller.is_some() {
                    self.step_controller(controller::Event::Line { peer, line });
                }
                self.step_relay(relay::Event::Announced(line));
                self.peers.remove(&peer);
            }
        }
    }

    fn above(&mut self, outgoing: Outgoing) {
        match outgoing {
            Outgoing::Connected { number, writer } if self.dialer.is_current(number) => {
                self.dialer.connected(writer);
                self.step_relay(relay::Event::Connected);
            }
            Outgoing::Line { number, line } if self.dialer.is_current(number) => {
                self.step_relay(relay::Event::Line(&line));
            }
            Outgoing::Lost { number } if self.dialer.is_current(number) => {
                self.dialer.disconnect();
                self.step_relay(relay::Event::Lost);
            }
            _ => {}
        }
    }

    fn hear(&mut self, epoch: u32) {
        if let Err(e) = self.epochs.heard(epoch) {
            log::warn!("epoch {epoch} can't be written, and may be forgotten: {e}");
        }
    }

    fn below(&mut self, action: publisher::Action) {
        match action {
            publisher::Action::Say { peer, line } => {
                if let Some(known) = self.peers.get(&peer) {
                    // Should its queue be full, its reader ends and says so.
                    known.writer.say(line);
                }
            }
            publisher::Action::Drop { peer } => _ = self.peers.remove(&peer),
        }
    }

    fn step_relay(&mut self, event: relay::Event) {
        let now = self.now();
        let before = [self.relay.refusals.all(), self.relay.publisher().refusals.all()];
        let actions = self.relay.step(now, event);
        let (own, below) = (&self.relay.refusals, &self.relay.publisher().refusals);
        note("the controller", own, before[0]);
        note("an agent", below, before[1]);
        for action in actions {
            match action {
                relay::Action::Connect(to) => match self.config.controls.get(to as usize) {
                    Some(address) => self.dialer.connect(*address),
                    None => log::warn!("there is no controller {to}"),
                },
                relay::Action::Disconnect => self.dialer.disconnect(),
                relay::Action::Say(line) => self.dialer.say(line),
                relay::Action::Below(action) => self.below(action),
            }
        }
        self.hear(self.relay.epoch());
    }

    fn step_controller(&mut self, event: controller::Event) {
        let now = self.now();
        let Some(controller) = &mut self.controller else { return };
        let before = controller.publisher().refusals.all();
        let actions = controller.step(now, event);
        note("a relay", &controller.publisher().refusals, before);
        for action in actions {
            match action {
                controller::Action::Below(action) => self.below(action),
                controller::Action::Announce { controller, line } => self.announce(controller, line),
                controller::Action::Deposed(epoch) => {
                    self.hear(epoch);
                    self.step_down(epoch);
                }
                controller::Action::Refused(fault) => log::warn!("a change was refused: {fault}"),
            }
        }
    }

    /// A later controller is there.
    fn step_down(&mut self, epoch: u32) {
        log::warn!("a controller of epoch {epoch} is there: this one says no more");
        self.controller = None;
        self.drop_relays();
        for (_, answer) in self.pending.drain(..) {
            let refused = format!("a controller of epoch {epoch} has taken over; it may hold or not");
            _ = answer.try_send(json!({ "refused": refused }));
        }
    }

    fn drop_relays(&mut self) {
        self.peers.retain(|_, peer| !matches!(peer.who, Who::Relay(_)));
    }

    /// Tells another controller, one thread for each of them at the most.
    fn announce(&mut self, to: u32, line: String) {
        let Some(address) = self.config.controls.get(to as usize).copied() else { return };
        let (limits, traffic) = (Arc::clone(&self.limits), Arc::clone(&self.bytes.controllers));
        let announcing = Arc::clone(&self.announcing);
        let under_way = || announcing.lock().unwrap_or_else(PoisonError::into_inner);
        {
            let mut under_way = under_way();
            if under_way.contains(&to) {
                return;
            }
            under_way.push(to);
        }
        let own = Arc::clone(&announcing);
        let work = move || {
            _ = tell(address, &line, limits.line, limits.connect_within, &traffic);
            own.lock().unwrap_or_else(PoisonError::into_inner).retain(|known| *known != to);
        };
        let thread = thread::Builder::new().name("announce".into()).stack_size(self.limits.stack);
        if thread.spawn(work).is_err() {
            under_way().retain(|known| *known != to);
        }
    }

    // Orders.

    fn order(&mut self, order: Order, answer: Sender<Value>) {
        let refuse = |why: String| _ = answer.try_send(json!({ "refused": why }));
        let change = match order {
            Order::Status => {
                _ = answer.try_send(self.status());
                return;
            }
            Order::Owners { destinations } => {
                _ = answer.try_send(self.owners(&destinations));
                return;
            }
            Order::Promote { epoch } => {
                return match self.promote(epoch) {
                    Ok(()) => self.answer_when_written(answer),
                    Err(why) => refuse(why),
                };
            }
            _ if self.controller.is_none() => return refuse("not the controller".into()),
            _ if self.disk.trouble.is_some() => {
                let trouble = self.disk.trouble.as_ref().map_or("", |(what, _)| what);
                return refuse(format!("the copy can't be written: {trouble}"));
            }
            Order::Members(members) => {
                let place =
                    |place: crate::order::Place| placement::Place { region: place.region, zone: place.zone };
                let members = members.into_iter().map(|(sender, at)| (sender, at.map(place))).collect();
                self.step_controller(controller::Event::Members(members));
                return self.answer_when_written(answer);
            }
            Order::Put { destination, weight, body } => Change::Put { destination, weight, body },
            Order::Remove { destination } => Change::Remove { destination },
            Order::Common { body } => Change::Common { body },
        };
        let now = self.now();
        let Some(controller) = &mut self.controller else { return };
        let actions = controller.step(now, controller::Event::Change(change));
        let mut refused = None;
        for action in actions {
            match action {
                controller::Action::Refused(fault) => refused = Some(fault.to_string()),
                controller::Action::Below(action) => self.below(action),
                controller::Action::Announce { controller, line } => self.announce(controller, line),
                controller::Action::Deposed(epoch) => self.step_down(epoch),
            }
        }
        match refused {
            Some(why) => refuse(why),
            None => self.answer_when_written(answer),
        }
    }

    fn answer_when_written(&mut self, answer: Sender<Value>) {
        let Some(controller) = &self.controller else { return };
        let position = controller.replica().position();
        if self.disk.position == Some(position) {
            _ = answer.try_send(json!({ "position": shown(position) }));
        } else {
            self.pending.push_back((position, answer));
        }
    }

    /// Whether a copy is whole and of a history that counts as far as is known here.
    fn relay_copy(&self) -> Option<&Replica> {
        self.relay.is_whole().then(|| self.relay.replica())
    }

    fn promote(&mut self, epoch: u32) -> Result<(), String> {
        let own = self.controller.as_ref().map(Controller::replica);
        let known =
            own.map_or(0, Replica::epoch).max(self.relay.replica().epoch()).max(self.epochs.highest());
        if epoch <= known {
            return Err(format!("epoch {epoch}: {known} has been heard of"));
        }
        let copy = match (own, self.relay_copy()) {
            (Some(own), Some(relay)) if relay.position() > own.position() => relay.clone(),
            (Some(own), _) => own.clone(),
            (None, Some(relay)) => relay.clone(),
            (None, None) if known == 0 && self.damaged.is_none() => Replica::new(&self.settings),
            (None, None) => return Err("there is no whole copy here".into()),
        };
        // Before it acts as one: after a restart it must not be promoted with this epoch once more.
        self.epochs.heard(epoch).map_err(|e| format!("the epoch can't be written: {e}"))?;
        let now = self.now();
        self.drop_relays();
        let others = (0..self.config.controls.len() as u32).filter(|n| *n != self.config.number).collect();
        let controller = Controller::new(epoch, copy, &self.settings, self.secret.clone(), now);
        self.controller = Some(controller.beside(others).numbered(self.config.number));
        log::info!("controller of epoch {epoch} from here on");
        // Its own relay leaves an earlier one without waiting to be told by others.
        let line = seal_announcement(&self.secret, self.config.number, epoch);
        self.step_relay(relay::Event::Announced(&line));
        Ok(())
    }

    fn replica(&self) -> &Replica {
        self.controller.as_ref().map_or(self.relay.replica(), Controller::replica)
    }

    fn position(&self) -> Option<Position> {
        match &self.controller {
            Some(controller) => Some(controller.replica().position()),
            None => self.relay_copy().map(Replica::position),
        }
    }

    fn status(&self) -> Value {
        let controller = self.controller.as_ref();
        let mut refused = self.refusals.all() + self.relay.refusals.all();
        refused += self.relay.publisher().refusals.all();
        refused += controller.map_or(0, |known| known.refusals.all() + known.publisher().refusals.all());
        let bytes = [
            ("relays", &self.bytes.relays),
            ("agents", &self.bytes.agents),
            ("controllers", &self.bytes.controllers),
            ("orders", &self.bytes.orders),
            ("above", &self.bytes.above),
            ("strangers", &self.bytes.strangers),
        ];
        let bytes: BTreeMap<_, _> = bytes.map(|(name, traffic)| (name, traffic.get())).into_iter().collect();
        json!({
            "number": self.config.number,
            "epoch": self.replica().epoch(),
            "controller": controller.is_some(),
            "filled": self.relay.is_filled(),
            "position": self.position().map(shown),
            "seen": self.epochs.highest(),
            "sessions": self.relay.publisher().sessions(),
            "refused": refused,
            "destinations": self.replica().live(),
            "relays": controller.map_or(0, |known| known.publisher().sessions()),
            "on_disk": self.disk.position.map(shown),
            "disk": self.disk.trouble.as_ref().map(|(what, _)| what),
            "damaged": self.damaged,
            "connections": self.peers.len(),
            "bytes_in_out": bytes,
        })
    }

    fn owners(&self, destinations: &[u32]) -> Value {
        let replica = self.replica();
        let owners = destinations.iter().map(|destination| {
            (destination.to_string(), replica.owners(replica.shard_of(*destination)).list().to_vec())
        });
        let owners: BTreeMap<_, _> = owners.collect();
        json!({ "owners": owners, "position": self.position().map(shown) })
    }

    // The disk.

    /// Hands the disk what it lacks: at once if that is a controller's, else lazily.
    fn save(&mut self, at_once: bool) {
        if self.disk.busy {
            return;
        }
        let (replica, lazy) = match &self.controller {
            Some(controller) => (controller.replica(), false),
            None if self.relay.is_whole() => (self.relay.replica(), true),
            None => return,
        };
        let position = replica.position();
        // What the disk has is never changed for less; a history that counts no longer gives way to one of a later epoch.
        if self.disk.position.is_some_and(|known| position <= known) && !self.disk.whole {
            self.disk.changed = None;
            return;
        }
        let since = *self.disk.changed.get_or_insert_with(Instant::now);
        if lazy && !at_once && since.elapsed() < self.limits.lazily {
            return;
        }
        if self.disk.trouble.as_ref().is_some_and(|(_, at)| at.elapsed() < self.limits.lazily) && !at_once {
            return;
        }
        let batch = self.disk.position.filter(|_| !self.disk.whole).and_then(|at| replica.batch_after(at));
        let job = batch.map_or_else(|| Job::Whole(Box::new(replica.clone())), Job::Append);
        if let Some(jobs) = &self.jobs {
            self.disk.busy = jobs.try_send(job).is_ok();
            self.disk.changed = None;
        }
    }

    fn written(&mut self, done: Result<Position, String>) {
        self.disk.busy = false;
        match done {
            Ok(position) => {
                (self.disk.position, self.disk.whole, self.disk.trouble) = (Some(position), false, None);
                while let Some((due, _)) = self.pending.front()
                    && *due <= position
                {
                    if let Some((due, answer)) = self.pending.pop_front() {
                        _ = answer.try_send(json!({ "position": shown(due) }));
                    }
                }
            }
            Err(wrong) => {
                self.disk.whole = true;
                if !wrong.is_empty() {
                    log::warn!("the copy can't be written: {wrong}");
                    for (_, answer) in self.pending.drain(..) {
                        let refused = format!("not on the disk here, and may hold all the same: {wrong}");
                        _ = answer.try_send(json!({ "refused": refused }));
                    }
                    self.disk.trouble = Some((wrong, Instant::now()));
                }
            }
        }
    }

    /// Saves what the disk lacks, and ends.
    fn leave(mut self, words: &Receiver<Word>) {
        let by = Instant::now() + Duration::from_secs(10);
        loop {
            self.save(true);
            if !self.disk.busy {
                break;
            }
            let left = by.saturating_duration_since(Instant::now());
            match words.recv_timeout(left) {
                Ok(Word::Written(done)) => {
                    let failed = done.as_ref().is_err_and(|wrong| !wrong.is_empty());
                    self.written(done);
                    if failed {
                        break;
                    }
                }
                // Nobody else is heard any more.
                Ok(_) => {}
                Err(_) => break,
            }
        }
        self.jobs = None;
    }
}

/// Says why a line was refused, if one was.
fn note(whose: &str, refusals: &Refusals, before: u64) {
    if refusals.all() > before
        && let Some(fault) = &refusals.last
    {
        log::warn!("a line of {whose} was refused: {fault}");
    }
}

fn shown(position: Position) -> (u32, u64) {
    (position.epoch, position.revision)
}
