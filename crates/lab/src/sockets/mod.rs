//! The stage on sockets: real daemons on loopback addresses, in real time.
//!
//! One actor owns the [`World`](crate::world::World); all other threads tell it what they see and do what it says.
//! [`listeners`] are the gateways' listeners, [`discovery`] is the list and takes the notices, [`clients`] hand texts in,
//! a [`keeper`] starts, stops and kills each daemon, and [`burden`] is what weighs on them. The stage measures its own lateness: where it was late the
//! run says nothing of the sender.

pub mod burden;
pub mod clients;
pub mod discovery;
pub mod keeper;
pub mod listeners;

use crate::outcome::{Lateness, Outcome, Percentiles};
use crate::processes::RECOVERY;
use crate::processes::faults::End;
use crate::processes::faults::{Fault, Schedule, Sizes, Turn, What as Sick};
use crate::processes::network::{Network, Trail, Witness};
use crate::processes::steered::Steered;
use crate::scenario::{Complaint, Rollout, Scenario};
use crate::world::{Do, Seen, Snapshot, World};
use burden::Weights;
use clients::Clients;
use crossbeam_channel::{Receiver, Sender, unbounded};
use discovery::Discovery;
use hdrhistogram::Histogram;
use indigomast::api::EndpointId;
use indigomast::time::{Moment, Span};
use keeper::{Command, Keeper};
use listeners::Listeners;
use rustix::process::{Resource, Signal};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// What clocks and threads may be off on this stage, and how long a call may be under way.
const SLACK: Span = Span::millis(50);
const CROSSING: Span = Span::millis(100);
/// A run counts while the rig itself was no later than this.
const LATE_P99_MS: f64 = 20.0;
const LATE_MOST_MS: f64 = 250.0;
/// The clock starts so long after the last sender is ready.
const HEAD_START: Duration = Duration::from_millis(100);

/// What is seen, and when.
#[derive(Debug)]
pub struct Word {
    pub at: Instant,
    pub what: What,
}

#[derive(Debug)]
pub enum What {
    Seen(Seen),
    /// The same, as of when what was written to this connection has gone out to the sender.
    Over {
        trail: u64,
        seen: Seen,
    },
    /// What a line saw of a sender's connection.
    Line {
        sender: usize,
        trail: u64,
        witness: Witness,
    },
    /// A sender's process ended by itself, which none should; a daemon could not be started.
    Crashed {
        sender: usize,
        how: String,
    },
}

/// The way to the actor of the world.
#[derive(Clone)]
pub struct Mailbox(Sender<Word>);

impl Mailbox {
    pub fn tell(&self, seen: Seen) {
        self.put(What::Seen(seen));
    }

    /// Of what is told to a sender over a line that is watched, if it is one.
    pub fn tell_over(&self, trail: Option<&Trail>, seen: Seen) {
        match trail {
            Some(trail) => self.put(What::Over { trail: trail.number, seen }),
            None => self.tell(seen),
        }
    }

    fn put(&self, what: What) {
        // Nobody listens any more once the run is over.
        _ = self.0.send(Word { at: Instant::now(), what });
    }
}

pub struct Options {
    /// How daemons are started; variables tell them the rest. Where there are several, senders take them in turn.
    pub daemons: Vec<Command>,
    /// Senders run under keepers, and this is changed over them.
    pub change: Option<Change>,
    /// Lines between all ends, and faults on them and on processes; without, ends meet directly.
    pub faults: Option<Vec<Fault>>,
    /// A folder of this run's own; made, and taken away at the end unless `keep`.
    pub folder: PathBuf,
    pub keep: bool,
    /// Set from elsewhere to end the run early.
    pub stop: Arc<AtomicBool>,
}

/// A change over senders under keepers.
#[derive(Clone, Debug)]
pub struct Change {
    /// The program `indigomast`, which keeps and steers.
    pub program: PathBuf,
    /// What the new side runs, if another program than before.
    pub new: Option<PathBuf>,
    pub rollout: Rollout,
}

impl Options {
    pub fn daemon_of(&self, sender: usize) -> &Command {
        &self.daemons[sender % self.daemons.len()]
    }
}

/// Names and values that tell one sender where its files are.
pub type Variables = Vec<(String, String)>;

/// The pieces around the world that carry out what it says.
struct Stage {
    world: World,
    listeners: Listeners,
    discovery: Discovery,
    clients: Clients,
    keepers: Vec<Keeper>,
    epoch: Instant,
    lateness: Histogram<u64>,
    crashes: Vec<String>,
    network: Option<Arc<Network>>,
    faults: Vec<Fault>,
    steered: Option<Steered>,
    schedule: Schedule,
    /// Senders that are stopped, and what they will hear once they go on.
    paused: BTreeMap<usize, Vec<Word>>,
    /// What a sender is told, until it has gone out to it.
    on_the_way: BTreeMap<u64, Vec<Seen>>,
}

/// A folder that is taken away with its holder.
struct Folder(PathBuf, bool);

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.1 {
            _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

impl Stage {
    /// Opens gateways and list around a world and writes each sender's configuration; nothing is started yet.
    fn set_up(
        scenario: &Scenario,
        seed: u64,
        options: &Options,
        world: World,
    ) -> Result<(Stage, Receiver<Word>, Folder), Complaint> {
        let folder = Folder(options.folder.clone(), options.keep);
        std::fs::create_dir_all(&folder.0).map_err(|e| format!("{}: {e}", folder.0.display()))?;
        let (sender, words) = unbounded();
        let mailbox = Mailbox(sender);
        let senders = scenario.fleet.senders;
        if options.daemons.is_empty() {
            return Err("no daemon to start".into());
        }
        if options.change.is_some() {
            // Before any keeper looks for it.
            std::fs::write(folder.0.join("key"), "a key of this run's own, and nobody else's\n")
                .map_err(|e| format!("{}: {e}", folder.0.display()))?;
        }
        let faults = options.faults.clone().unwrap_or_default();
        let sizes = Sizes { senders, destinations: scenario.destinations() };
        if let Some((at, unknown)) =
            faults.iter().enumerate().find_map(|(at, f)| Some((at, f.unknown(&sizes)?)))
        {
            return Err(format!("faults[{at}]: {unknown} is not there"));
        }
        let network = match &options.faults {
            Some(_) => {
                let mailbox = mailbox.clone();
                let tell = move |trail: &Trail, witness| {
                    let End::Sender(sender) = trail.of else { return };
                    mailbox.put(What::Line { sender, trail: trail.number, witness });
                };
                Some(Arc::new(Network::open(seed, Box::new(tell))?))
            }
            None => None,
        };
        let world = faults.iter().fold(world, |mut world, fault| {
            world.lasts_until(fault.ends() + RECOVERY);
            for sender in fault.holds_up(senders) {
                world.holds_up(sender, fault.begins(), fault.ends() + RECOVERY);
            }
            world
        });
        let world = if network.is_some() { world.over_lines() } else { world };
        let endpoints = world.listing().1.into_iter().map(|member| member.endpoint);
        let listeners = Listeners::open(endpoints, network.clone(), &mailbox)?;
        let kinds = scenario.kinds.iter().map(|kind| kind.get_ref().name.clone()).collect();
        let discovery =
            Discovery::open(senders, kinds, &world, listeners.addresses(), network.clone(), &mailbox)?;
        let keeper =
            |sender| Keeper::new(scenario, sender, seed, options, &discovery, network.clone(), &mailbox);
        let keepers = (0..senders).map(keeper).collect::<Result<Vec<_>, _>>()?;
        let clients = Clients::new(scenario, keepers.iter().map(Keeper::address_book).collect(), &mailbox);
        let lateness = Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|e| e.to_string())?;
        let (epoch, crashes) = (Instant::now(), Vec::new());
        let steered = match (&options.change, &network) {
            (Some(change), Some(_)) => Some(Steered::new(change, scenario, &options.folder)?),
            (Some(_), None) => return Err("a change needs lines between its processes".into()),
            (None, _) => None,
        };
        let schedule = Schedule::of(&faults);
        let (paused, on_the_way) = (BTreeMap::new(), BTreeMap::new());
        let stage = Stage {
            world,
            listeners,
            discovery,
            clients,
            keepers,
            epoch,
            lateness,
            crashes,
            network,
            faults,
            steered,
            schedule,
            paused,
            on_the_way,
        };
        Ok((stage, words, folder))
    }
}

/// Plays a scenario once against real daemons. `watch` is told some times a second how it stands.
pub fn run(
    scenario: &Scenario,
    seed: u64,
    options: &Options,
    watch: &mut dyn FnMut(&Snapshot),
) -> Result<Outcome, Complaint> {
    let world = World::new(scenario, seed, SLACK, CROSSING);
    let (mut stage, words, _folder) = Stage::set_up(scenario, seed, options, world)?;
    stage.keepers.iter().try_for_each(Keeper::start_and_wait)?;
    stage.epoch = Instant::now() + HEAD_START;
    let senders = stage.keepers.iter().map(|keeper| (keeper.handle(), keeper.address_book())).collect();
    let weights = Weights::put_on(scenario, senders, stage.epoch);
    stage.play(&words, &options.stop, watch);
    let strangers = weights.take_off();
    let change = stage.steered.take().map(|steered| {
        let revisions =
            stage.keepers.iter().map(|keeper| keeper.revision().unwrap_or_else(|| "silent".into()));
        steered.close(revisions.collect())
    });
    let Stage { world, keepers, listeners, lateness, crashes, network, faults, .. } = stage;
    drop(keepers);
    drop(network);
    listeners.close();
    if options.stop.load(Ordering::Relaxed) {
        return Err("ended before its time".into());
    }
    let name = if options.faults.is_some() { "processes" } else { "sockets" };
    let mut outcome = world.close(name, "module", seed);
    outcome.faults = faults;
    outcome.change = change;
    let late = Percentiles::of(&lateness);
    let counts = late.p99 <= LATE_P99_MS && late.most <= LATE_MOST_MS;
    outcome.strangers = strangers;
    outcome.lateness = Some(Lateness { p50_ms: late.p50, p99_ms: late.p99, most_ms: late.most, counts });
    if !crashes.is_empty() {
        return Err(crashes.join("; "));
    }
    Ok(outcome)
}

/// Gateways and list alone, for senders that are started by hand. `ready` is told the variables of each.
pub fn emulate(
    scenario: &Scenario,
    seed: u64,
    options: &Options,
    ready: &mut dyn FnMut(&[Variables]),
    watch: &mut dyn FnMut(&Snapshot),
) -> Result<(), Complaint> {
    let world = World::new(scenario, seed, SLACK, CROSSING).open_house();
    let (mut stage, words, _folder) = Stage::set_up(scenario, seed, options, world)?;
    let variables: Vec<Variables> = stage.keepers.iter().map(Keeper::variables).collect();
    ready(&variables);
    stage.keepers.clear();
    stage.epoch = Instant::now();
    stage.play(&words, &options.stop, watch);
    stage.listeners.close();
    Ok(())
}

impl Stage {
    fn now(&self, at: Instant) -> Moment {
        let start = Moment::from_millis(0.0);
        match at.checked_duration_since(self.epoch) {
            Some(since) => start + Span::from_millis(since.as_secs_f64() * 1000.0),
            None => start - Span::from_millis((self.epoch - at).as_secs_f64() * 1000.0),
        }
    }

    fn play(&mut self, words: &Receiver<Word>, stop: &AtomicBool, watch: &mut dyn FnMut(&Snapshot)) {
        let end = self.world.end();
        let alone = self.keepers.is_empty();
        let mut watched = Instant::now();
        let traffic_over = Moment::from_millis(self.world.scenario().seconds * 1000.0);
        loop {
            let now = self.now(Instant::now());
            let changing = self.steered.as_ref().is_some_and(|steered| !steered.is_over(now));
            if stop.load(Ordering::Relaxed) || (now > end && !alone && !changing) {
                return;
            }
            if let Some(steered) = &mut self.steered
                && let Err(e) = steered.tend(now, self.network.as_deref(), &self.keepers)
            {
                self.crashes.push(e);
            }
            let changing = self.steered.as_ref().is_some_and(|steered| !steered.is_over(now));
            let faulty = self.schedule.next().is_some() || !self.paused.is_empty() || changing;
            if !alone && now > traffic_over && words.is_empty() && !faulty && self.world.is_settled() {
                return;
            }
            for turn in self.schedule.due(now) {
                self.turn(turn);
            }
            let next = self.world.next().into_iter().chain(self.schedule.next()).min();
            let wait = next.map_or(50.0, |at| at.since(now).as_millis()).min(50.0);
            let word = words.recv_timeout(Duration::from_secs_f64(wait / 1000.0));
            let now = self.now(Instant::now());
            let due = self.world.next().filter(|due| *due <= now);
            // Also where a word is there first, as it may be after the rig stood still: all that is due is carried out with it.
            if let Some(due) = due.filter(|due| *due >= Moment::from_millis(0.0)) {
                _ = self.lateness.record(micros(now.since(due)));
            }
            match word {
                Ok(word) => self.hear(word),
                Err(_) if due.is_some() => {
                    let orders = self.world.step(now, Vec::new());
                    self.carry(orders);
                }
                Err(_) => {}
            }
            if watched.elapsed() >= Duration::from_millis(250) {
                watched = Instant::now();
                watch(&self.world.snapshot());
            }
        }
    }

    fn hear(&mut self, word: Word) {
        // What came before the clock began lay there until all senders were up, and is late by no fault of the rig's.
        if word.at >= self.epoch {
            _ = self.lateness.record((word.at.elapsed().as_micros() as u64).max(1));
        }
        let now = self.now(Instant::now());
        match word.what {
            What::Crashed { sender, how } => {
                self.crashes.push(format!("sender {sender}: {how}"));
                let orders = self.world.step(now, vec![Seen::Died { sender }]);
                self.carry(orders);
            }
            // What goes out to a process that stands still is heard when it goes on.
            What::Line { sender, .. } if self.paused.contains_key(&sender) => {
                self.paused.entry(sender).or_default().push(word);
            }
            What::Line { trail, witness, .. } => {
                let mut seen = match witness {
                    Witness::Heard => self.on_the_way.remove(&trail).unwrap_or_default(),
                    Witness::Left => {
                        self.on_the_way.remove(&trail);
                        Vec::new()
                    }
                };
                let link = self.listeners.link_of(trail);
                seen.extend(link.map(|link| match witness {
                    Witness::Heard => Seen::Heard { link },
                    Witness::Left => Seen::Left { link },
                }));
                let orders = self.world.step(now, seen);
                self.carry(orders);
            }
            What::Over { trail, seen } => self.on_the_way.entry(trail).or_default().push(seen),
            What::Seen(mut seen) => {
                let mut all = Vec::new();
                if let Seen::Link { link, .. } = &seen
                    && self.listeners.trail(*link).is_some_and(|trail| trail.is_left())
                {
                    // The line told of that before the link was known.
                    let link = *link;
                    let orders = self.world.step(now, vec![seen, Seen::Left { link }]);
                    return self.carry(orders);
                }
                if let Seen::Call { link, left, .. } = &mut seen {
                    let trail = self.listeners.trail(*link);
                    *left = trail.map(|trail| self.now(trail.last_in()));
                }
                if let Seen::Call { call, link, .. } = &seen {
                    if self.listeners.is_refused(*link) {
                        return self.listeners.turn_away(*link);
                    }
                    self.listeners.note_call(*call, *link);
                    // A sender that has ended a link may have sent this call since; the thread that reads there may
                    // not have told so yet, but the end has come.
                    all.extend(self.listeners.ended_links().into_iter().map(|link| Seen::Unlink { link }));
                }
                if let Seen::Unlink { link } = &seen {
                    self.listeners.forget(*link);
                }
                all.push(seen);
                let orders = self.world.step(now, all);
                self.carry(orders);
            }
        }
    }

    fn line_listens(&self, endpoint: EndpointId, on: bool) {
        if let Some((network, address)) = self.network.as_ref().zip(self.listeners.address(endpoint)) {
            network.listens(address, on);
        }
    }

    /// A fault begins or ends.
    fn turn(&mut self, turn: Turn) {
        let (at, begins) = match turn {
            Turn::Begins(at) => (at, true),
            Turn::Ends(at) => (at, false),
        };
        let fault = self.faults[at].clone();
        match (fault.what, begins) {
            (Sick::Line { between, condition }, true) => {
                self.network.iter().for_each(|network| network.set(at, between.clone(), condition));
            }
            (Sick::Line { .. }, false) => self.network.iter().for_each(|network| network.clear(at)),
            (Sick::Reset { between }, true) => {
                self.network.iter().for_each(|network| network.reset(between.clone()));
            }
            (Sick::Reset { .. }, false) => {}
            (Sick::Kill { sender }, true) => self.keepers[sender].stop(true),
            (Sick::End { sender }, true) => self.keepers[sender].stop(false),
            (Sick::Kill { .. } | Sick::End { .. }, false) if self.steered.is_some() => {}
            (Sick::Kill { sender } | Sick::End { sender }, false) => self.keepers[sender].start(),
            (Sick::KillKeeper { sender }, true) => self.keepers[sender].kill_keeper(),
            (Sick::KillKeeper { sender }, false) => self.keepers[sender].start(),
            (Sick::PauseKeeper { sender }, on) => {
                self.keepers[sender].signal_keeper(if on { Signal::STOP } else { Signal::CONT });
            }
            (Sick::KillController, on) => self.steered.iter_mut().for_each(|steered| steered.kill(on)),
            (Sick::Pause { sender }, true) => {
                self.keepers[sender].signal(Signal::STOP);
                self.paused.insert(sender, Vec::new());
            }
            (Sick::Pause { sender }, false) => {
                self.keepers[sender].signal(Signal::CONT);
                for word in self.paused.remove(&sender).unwrap_or_default() {
                    self.hear(Word { at: Instant::now(), ..word });
                }
            }
            (Sick::FullFolder { sender, bytes }, on) => {
                self.keepers[sender].limit(Resource::Fsize, on.then_some(bytes));
            }
            (Sick::Descriptors { sender, most }, on) => {
                self.keepers[sender].limit(Resource::Nofile, on.then_some(most));
            }
        }
    }

    fn carry(&mut self, orders: Vec<Do>) {
        for order in orders {
            match order {
                Do::HandIn(hand_in) => self.clients.hand_in(hand_in),
                Do::LinkUp(_) => {}
                Do::LinkRefused(link) => self.listeners.refuse(link),
                Do::LinkDropped(link) => self.listeners.drop_link(link),
                Do::Answer { call, reply, allowance } => self.listeners.answer(call, &reply, allowance),
                Do::List { .. } => self.discovery.publish(&self.world, self.listeners.addresses()),
                Do::Listens { endpoint, on } => {
                    self.crashes.extend(self.listeners.listens(endpoint, on).err());
                    self.line_listens(endpoint, on);
                }
                Do::TakesOver { endpoint, from } => {
                    self.crashes.extend(self.listeners.takes_over(endpoint, from).err());
                    self.line_listens(endpoint, true);
                }
                Do::Stop { sender, kill } => {
                    self.keepers.iter().skip(sender).take(1).for_each(|k| k.stop(kill))
                }
                Do::Start { sender } => self.keepers.iter().skip(sender).take(1).for_each(Keeper::start),
            }
        }
    }
}

fn micros(span: Span) -> u64 {
    ((span.as_millis() * 1000.0) as u64).max(1)
}

#[cfg(test)]
mod tests;
