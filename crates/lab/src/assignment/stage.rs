//! Plays a plan: processes, lines, orders and faults, on the run's own clock.
//!
//! One thread does all that changes anything, so that an order and a kill never cross but where a fault says so. Whoever
//! looks has lines of its own, past all faults.

use super::checker::{Bounds, Verdict, check, differences};
use super::history::*;
use super::keeper::{Kept, Says};
use super::nemesis::{Draw, Fault, What, draw};
use super::watch::{self, Board};
use crate::processes::faults::{Between, End};
use crate::processes::line::Condition;
use crate::processes::network::Network;
use indigomast_assignment::catalog::{Position, shard_of};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How large a run is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sizes {
    pub draw: Draw,
    /// Senders with a real daemon, the first ones.
    pub daemons: u32,
    pub destinations: u32,
    pub shards: u32,
    /// Seconds for which who has gone keeps its shards.
    pub linger_s: f64,
    pub changes_a_second: f64,
}

impl Sizes {
    /// Twelve senders, two of them with daemons, under faults for 50 s.
    pub fn usual() -> Sizes {
        Sizes {
            draw: Draw {
                senders: 12,
                controls: 3,
                late: 2,
                from_s: 3.0,
                until_s: 51.0,
                control_faults: 6,
                agent_faults: 10,
            },
            daemons: 2,
            destinations: 120,
            shards: 64,
            linger_s: 6.0,
            changes_a_second: 4.0,
        }
    }

    /// Some seconds, for a test.
    pub fn small() -> Sizes {
        Sizes {
            draw: Draw {
                senders: 4,
                controls: 3,
                late: 1,
                from_s: 0.5,
                until_s: 7.5,
                control_faults: 1,
                agent_faults: 2,
            },
            daemons: 1,
            destinations: 24,
            shards: 16,
            linger_s: 1.0,
            changes_a_second: 4.0,
        }
    }
}

pub struct Options {
    /// Is run as `control`, `agent`, `order` and `daemon`.
    pub program: PathBuf,
    pub folder: PathBuf,
    /// Set from outside to end it early.
    pub stop: Arc<AtomicBool>,
    /// Only these faults of the plan, by their numbers.
    pub only: Option<Vec<usize>>,
}

/// What is kept of a run: enough to play it again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    pub seed: u64,
    pub sizes: Sizes,
    pub faults: Vec<Fault>,
    pub verdict: Verdict,
    pub took_s: f64,
    /// Orders that were answered with a complaint or not at all, and what else whoever plays wondered at.
    pub notes: Vec<String>,
}

/// A line's end that nobody listens at yet.
const NOWHERE: &str = "127.0.0.1:1";
const ORDER: Duration = Duration::from_secs(3);
const BEAT: Duration = Duration::from_millis(10);
const OWNERS_LOOK: Duration = Duration::from_millis(100);
/// Until all is as the controller says, after the last fault.
const SETTLE: Duration = Duration::from_secs(32);
/// A control process is looked for where there should be a controller and none is.
const STEER: f64 = 500.0;
/// Beyond the numbers of faults.
const SLOW_CONTROL: usize = 10_000;
const KEY: &str = "a key of the rig, of no use elsewhere";

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Begins(usize),
    /// Two fifths of its time are over.
    Middle(usize),
    Ends(usize),
}

type Lead = Arc<Mutex<Option<(usize, SocketAddr)>>>;

struct Stage<'a> {
    options: &'a Options,
    sizes: Sizes,
    faults: Vec<Fault>,
    board: Arc<Board>,
    network: Network,
    controls: Vec<Kept>,
    agents: Vec<Kept>,
    daemons: Vec<Kept>,
    /// The controller that counts, shared with who asks for owners.
    lead: Lead,
    /// An older one that is apart and says changes as well.
    rival: Option<usize>,
    epoch: u32,
    members: BTreeMap<u32, bool>,
    live: BTreeSet<u32>,
    stamp: Stamp,
    endpoints: Vec<SocketAddr>,
    chance: Pcg64Mcg,
    /// How many faults cut a line.
    cuts: BTreeMap<(Process, Process), usize>,
    /// The control process that a fault strikes, by the fault's number.
    struck: BTreeMap<usize, usize>,
    /// A fault has taken the controller, and says itself when another is promoted.
    held: bool,
    notes: Vec<String>,
}

/// Says an order through the program, as operators do.
pub fn order(program: &Path, key: &Path, to: SocketAddr, order: &Value) -> Option<Value> {
    let mut command = Command::new(program);
    command.args(["assignment", "order", &to.to_string(), "--key"]).arg(key);
    command.args(["--within", &ORDER.as_secs().to_string(), &order.to_string()]);
    let output = command.stdin(Stdio::null()).stderr(Stdio::null()).output().ok()?;
    serde_json::from_slice(&output.stdout).ok()
}

fn position_of(value: &Value) -> Option<Position> {
    let (epoch, revision) = (value[0].as_u64()?, value[1].as_u64()?);
    Some(Position { epoch: epoch as u32, revision })
}

fn place(sender: u32) -> Value {
    json!({"region": sender % 2, "zone": sender % 4})
}

fn end_of(process: Process) -> End {
    match process {
        Process::Control(at) => End::Control(at),
        Process::Agent(at) => End::Agent(at as usize),
        Process::Daemon(at) => End::Sender(at as usize),
    }
}

/// Plays the plan that a seed draws.
///
/// # Errors
///
/// The rig itself can't be set up, or was stopped.
pub fn run(sizes: &Sizes, seed: u64, options: &Options) -> Result<(Outcome, History), String> {
    let began = Instant::now();
    let plan = draw(&sizes.draw, seed);
    let faults: Vec<Fault> = match &options.only {
        Some(only) => only.iter().filter_map(|at| plan.get(*at).cloned()).collect(),
        None => plan,
    };
    let mut stage = Stage::set_up(sizes, seed, faults, options)?;
    let mut watchers = Vec::new();
    let failed = |e: std::io::Error| format!("a thread: {e}");
    for sender in 0..sizes.draw.senders {
        watchers.push(watch::watch_agent(Arc::clone(&stage.board), sender).map_err(failed)?);
    }
    watchers.push(stage.watch_owners().map_err(failed)?);
    let played = stage.begin().and_then(|()| {
        for sender in 0..sizes.daemons {
            watchers.push(watch::watch_daemon(Arc::clone(&stage.board), sender).map_err(failed)?);
        }
        stage.play()
    });
    stage.board.end();
    watchers.into_iter().for_each(|watcher| _ = watcher.join());
    played?;
    let mut history = stage.board.history().clone();
    history.ended_ms = stage.board.now_ms();
    let verdict = check(&history, Bounds::default());
    let (faults, notes) = (std::mem::take(&mut stage.faults), std::mem::take(&mut stage.notes));
    let took_s = began.elapsed().as_secs_f64();
    Ok((Outcome { seed, sizes: sizes.clone(), faults, verdict, took_s, notes }, history))
}

impl<'a> Stage<'a> {
    fn set_up(
        sizes: &Sizes,
        seed: u64,
        faults: Vec<Fault>,
        options: &'a Options,
    ) -> Result<Stage<'a>, String> {
        let folder = &options.folder;
        let write =
            |path: &Path, text: &str| fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()));
        fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        let key = folder.join("fleet.key");
        write(&key, KEY)?;
        let network = Network::open(seed, Box::new(|_, _| {}))?;
        let nowhere: SocketAddr = NOWHERE.parse().expect("an address");
        let Draw { senders, controls, late, .. } = sizes.draw;
        let shards = sizes.shards;
        let listed = |addresses: &[SocketAddr]| -> String {
            addresses.iter().map(|address| format!("\"{address}\"")).collect::<Vec<_>>().join(", ")
        };
        let mut all = Vec::new();
        for number in 0..controls {
            let of = |other| network.way(End::Control(number), End::Control(other), nowhere, true);
            let ways = (0..controls).map(of).collect::<Result<Vec<_>, _>>()?;
            let file = folder.join(format!("control-{number}.toml"));
            let linger = sizes.linger_s;
            write(
                &file,
                &format!(
                    "number = {number}\nlisten = \"127.0.0.1:0\"\ncontrols = [{}]\nkey = \"fleet.key\"\nstate = \
                     \"control-{number}\"\nshards = {shards}\nlinger_s = {linger}\n",
                    listed(&ways)
                ),
            )?;
            let arguments = vec!["assignment".into(), "control".into(), file.display().to_string()];
            let log = folder.join(format!("control-{number}.log"));
            all.push(Kept::new(Process::Control(number), &options.program, arguments, log, Says::Output));
        }
        let mut agents = Vec::new();
        for sender in 0..senders {
            let own = End::Agent(sender as usize);
            let of = |nth| network.way(own, End::Control((sender as usize + nth) % controls), nowhere, true);
            let ways = (0..controls).map(of).collect::<Result<Vec<_>, _>>()?;
            let file = folder.join(format!("agent-{sender}.toml"));
            write(
                &file,
                &format!(
                    "sender = {sender}\nlisten = \"127.0.0.1:0\"\nrelays = [{}]\nkey = \"fleet.key\"\nstate = \
                     \"agent-{sender}\"\nshards = {shards}\n",
                    listed(&ways)
                ),
            )?;
            let arguments = vec!["assignment".into(), "agent".into(), file.display().to_string()];
            let log = folder.join(format!("agent-{sender}.log"));
            agents.push(Kept::new(Process::Agent(sender), &options.program, arguments, log, Says::Output));
        }
        let mut daemons = Vec::new();
        for sender in 0..sizes.daemons.min(senders) {
            let ends = (End::Sender(sender as usize), End::Agent(sender as usize));
            let discovery = network.way(ends.0, ends.1, nowhere, true)?;
            let state = folder.join(format!("daemon-{sender}"));
            fs::create_dir_all(&state).map_err(|e| format!("{}: {e}", state.display()))?;
            let file = folder.join(format!("daemon-{sender}.json"));
            write(&file, &daemon_config(sender, discovery).to_string())?;
            let log = folder.join(format!("daemon-{sender}.log"));
            let kept =
                Kept::new(Process::Daemon(sender), &options.program, vec!["daemon".into()], log, Says::Log);
            daemons.push(
                kept.variable("ROUTER_CONFIG", file.display().to_string())
                    .variable("ROUTER_STATE", state.display().to_string())
                    .variable("ROUTER_CONTROL", "127.0.0.1:0".into()),
            );
        }
        let history = History { shards, senders, owners_wanted: 2, controls, ..History::default() };
        let board = Arc::new(Board::new(history));
        let endpoints = watch::endpoints(&board)?;
        Ok(Stage {
            options,
            sizes: sizes.clone(),
            faults,
            board,
            network,
            controls: all,
            agents,
            daemons,
            lead: Lead::default(),
            rival: None,
            epoch: 0,
            members: (0..senders - late).map(|sender| (sender, true)).collect(),
            live: BTreeSet::new(),
            stamp: UNSAID,
            endpoints,
            chance: Pcg64Mcg::seed_from_u64(seed ^ 0x6368_616e_6765),
            cuts: BTreeMap::new(),
            struck: BTreeMap::new(),
            held: false,
            notes: Vec::new(),
        })
    }

    // Processes.

    fn note(&mut self, what: String) {
        self.notes.push(format!("{:.0} ms: {what}", self.board.now_ms()));
    }

    fn turn(&self, turn: Turn) {
        let now = self.board.now_ms();
        self.board.history().turns.push((now, turn));
    }

    fn kept(&mut self, process: Process) -> &mut Kept {
        match process {
            Process::Control(at) => &mut self.controls[at],
            Process::Agent(at) => &mut self.agents[at as usize],
            Process::Daemon(at) => &mut self.daemons[at as usize],
        }
    }

    /// Starts one that doesn't run, and leads all lines to where it listens now.
    fn start(&mut self, process: Process) -> Result<(), String> {
        if self.kept(process).state != State::Down {
            return Ok(());
        }
        let address = self.kept(process).start()?;
        let (controls, senders) = (self.sizes.draw.controls, self.sizes.draw.senders as usize);
        let to = end_of(process);
        match process {
            Process::Control(at) => {
                self.board.set_control(at, Some(address));
                for other in 0..controls {
                    self.network.way(End::Control(other), to, address, true)?;
                }
                for sender in 0..senders {
                    self.network.way(End::Agent(sender), to, address, true)?;
                }
            }
            Process::Agent(sender) => {
                if sender < self.sizes.daemons {
                    self.network.way(End::Sender(sender as usize), to, address, true)?;
                }
                let life = self.kept(process).life;
                self.board.agent(sender, Some((address, life)));
            }
            Process::Daemon(sender) => {
                let Some(control) = self.kept(process).control else {
                    return Err(format!("{process:?} does not say its second address"));
                };
                self.board.daemon(sender, address, control);
            }
        }
        self.turn(Turn::Process(process, State::Runs));
        Ok(())
    }

    fn kill(&mut self, process: Process) {
        self.turn(Turn::Process(process, State::Down));
        if let Process::Agent(sender) = process {
            self.board.agent(sender, None);
        }
        if let Process::Control(at) = process {
            self.board.set_control(at, None);
        }
        if self.lead_is(process) {
            self.set_lead(None);
        }
        self.kept(process).kill();
    }

    fn pause(&mut self, process: Process) {
        if self.kept(process).state == State::Runs {
            self.turn(Turn::Process(process, State::Stopped));
            self.kept(process).pause();
            if let Process::Control(at) = process {
                self.board.set_control(at, None);
            }
        }
    }

    fn go_on(&mut self, process: Process) {
        if self.kept(process).state == State::Stopped {
            self.kept(process).go_on();
            if let Process::Control(at) = process {
                self.board.set_control(at, self.controls[at].address);
            }
            self.turn(Turn::Process(process, State::Runs));
        }
    }

    /// Notes who ended by itself. It stays down until a fault's end starts it, or all faults'.
    fn look_for_crashes(&mut self) {
        let now = self.board.now_ms();
        let all = self.controls.iter_mut().chain(&mut self.agents).chain(&mut self.daemons);
        let crashed: Vec<(Process, String)> =
            all.filter_map(|kept| Some((kept.process, kept.crashed()?))).collect();
        for (process, how) in crashed {
            self.turn(Turn::Process(process, State::Down));
            match process {
                Process::Agent(sender) => self.board.agent(sender, None),
                Process::Control(at) => self.board.set_control(at, None),
                Process::Daemon(_) => {}
            }
            if self.lead_is(process) {
                self.set_lead(None);
            }
            self.board.history().crashes.push((now, process, how));
        }
    }

    // Lines.

    fn cut(&mut self, number: usize, from: Process, to: Process, both: bool) {
        let count = self.cuts.entry((from, to)).or_default();
        *count += 1;
        if *count == 1 {
            self.turn(Turn::Line { from, to, open: false });
        }
        let between = Between { from: vec![end_of(from)], to: vec![end_of(to)], both };
        self.network.set(number, between, Condition { cut: true, ..Condition::default() });
    }

    fn mend(&mut self, number: usize, from: Process, to: Process) {
        self.network.clear(number);
        if let Some(count) = self.cuts.get_mut(&(from, to)) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.cuts.remove(&(from, to));
                self.turn(Turn::Line { from, to, open: true });
            }
        }
    }

    /// The lines that a fault cuts, with a number for each.
    fn cuts_of(&self, fault: usize) -> Vec<(usize, Process, Process, bool)> {
        let controls = || (0..self.sizes.draw.controls).map(Process::Control);
        let struck = self.struck.get(&fault).map(|control| Process::Control(*control));
        let mut pairs: Vec<(Process, Process, bool)> = Vec::new();
        match &self.faults[fault].what {
            What::TwoControllers { with } => {
                let Some(old) = struck else { return Vec::new() };
                pairs.extend(controls().filter(|other| *other != old).map(|other| (old, other, true)));
                for sender in 0..self.sizes.draw.senders {
                    let beside = with.contains(&sender);
                    let apart = controls().filter(|control| beside != (*control == old));
                    pairs.extend(apart.map(|control| (Process::Agent(sender), control, true)));
                }
            }
            What::CutRelay => {
                let Some(relay) = struck else { return Vec::new() };
                pairs.extend(controls().filter(|other| *other != relay).map(|other| (relay, other, true)));
            }
            What::RestartCutOff { sender } => {
                pairs.extend(controls().map(|control| (Process::Agent(*sender), control, true)));
            }
            What::Partition { senders } => {
                for sender in senders {
                    pairs.extend(controls().map(|control| (Process::Agent(*sender), control, true)));
                }
            }
            What::OneWay { sender, control, up } => {
                let (agent, control) = (Process::Agent(*sender), Process::Control(*control));
                pairs.push(if *up { (agent, control, false) } else { (control, agent, false) });
            }
            _ => {}
        }
        let numbered = pairs.into_iter().enumerate();
        numbered.map(|(nth, (from, to, both))| (fault * 1000 + nth, from, to, both)).collect()
    }

    fn worsen(&self, fault: usize, ends: (End, End), condition: Condition) {
        let between = Between { from: vec![ends.0], to: vec![ends.1], both: true };
        self.network.set(fault * 1000 + 999, between, condition);
    }

    fn lines_of_agent(&self, sender: u32) -> Between {
        let to = (0..self.sizes.draw.controls).map(End::Control).collect();
        Between { from: vec![End::Agent(sender as usize)], to, both: true }
    }

    // Orders.

    fn lead(&self) -> Option<(usize, SocketAddr)> {
        *self.lead.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_lead(&self, lead: Option<(usize, SocketAddr)>) {
        *self.lead.lock().unwrap_or_else(PoisonError::into_inner) = lead;
    }

    fn lead_is(&self, process: Process) -> bool {
        self.lead().is_some_and(|(lead, _)| Process::Control(lead) == process)
    }

    fn order(&self, control: usize, what: &Value) -> Option<Value> {
        let address = self.controls[control].address?;
        order(&self.options.program, &self.options.folder.join("fleet.key"), address, what)
    }

    /// Promotes the furthest of those that run among these, with an epoch higher than any seen.
    fn promote(&mut self, among: impl Iterator<Item = usize>) -> bool {
        let running = |control: &usize| self.controls[*control].state == State::Runs;
        let mut best: Option<(Option<Position>, usize)> = None;
        for control in among.filter(running).collect::<Vec<_>>() {
            let Some(status) = self.order(control, &json!("status")) else {
                self.note(format!("control process {control} says nothing of its status"));
                continue;
            };
            self.epoch = self.epoch.max(status["epoch"].as_u64().unwrap_or(0) as u32);
            let position = position_of(&status["position"]);
            self.epoch = self.epoch.max(position.map_or(0, |at| at.epoch));
            if best.is_none_or(|(furthest, _)| position > furthest) {
                best = Some((position, control));
            }
        }
        let Some((base, control)) = best else { return false };
        let epoch = self.epoch + 1;
        let asked_ms = self.board.now_ms();
        let answer = self.order(control, &json!({"promote": {"epoch": epoch}}));
        let answered_ms = self.board.now_ms();
        let Some(at) = answer.as_ref().and_then(|answer| position_of(&answer["position"])) else {
            self.note(format!("control process {control} was not promoted: {answer:?}"));
            return false;
        };
        self.epoch = at.epoch;
        let (first, base_epoch) = (at.revision, base.map_or(0, |at| at.epoch));
        let era = Era { epoch: at.epoch, first, base_epoch, control, asked_ms, answered_ms };
        self.board.history().eras.push(era);
        let address = self.controls[control].address.expect("it runs");
        self.set_lead(Some((control, address)));
        self.tell_members(None);
        true
    }

    /// All of them, or one, to the controller that counts.
    fn tell_members(&mut self, one: Option<u32>) {
        let Some((lead, _)) = self.lead() else { return };
        let told: Vec<Value> = self
            .members
            .iter()
            .filter(|(sender, _)| one.is_none_or(|one| one == **sender))
            .map(|(sender, here)| json!([sender, if *here { place(*sender) } else { Value::Null }]))
            .collect();
        let answer = self.order(lead, &json!({"members": told}));
        if answer.as_ref().is_none_or(|answer| answer["position"].is_null()) {
            self.note(format!("members not taken by control process {lead}: {answer:?}"));
        }
    }

    fn body(&self, destination: u32, stamp: Stamp) -> String {
        let address = self.endpoints[(stamp % SLOTS) as usize];
        json!({
            "id": format!("e-{destination}"), "host_port": address.to_string(), "locality": "here", "flavor": "k",
            "cell": destination, "phase": "Ready", "size": 1.0, "up_since_ms": stamp,
        })
        .to_string()
    }

    fn change(&mut self, control: usize, destination: u32, remove: bool) {
        let stamp = (!remove).then(|| {
            self.stamp += 1;
            self.stamp
        });
        let what = match stamp {
            Some(stamp) => {
                let body = self.body(destination, stamp);
                self.board.say(stamp, body.clone());
                // A heavy one now and then moves shards by the bound on loads.
                let weight = if self.chance.random::<f64>() < 0.05 { 40 } else { 1 + stamp % 3 };
                json!({"put": {"destination": destination, "weight": weight, "body": body}})
            }
            None => json!({"remove": {"destination": destination}}),
        };
        let asked_ms = self.board.now_ms();
        let answer = self.order(control, &what);
        let answered_ms = self.board.now_ms();
        let position = answer.as_ref().and_then(|answer| position_of(&answer["position"]));
        if position.is_none() {
            let shown = answer.as_ref().map_or("no answer".into(), Value::to_string);
            self.note(format!("control process {control}: {destination} {stamp:?}: {shown}"));
            if answer.is_some_and(|answer| !answer["refused"].is_null()) {
                // Nothing was made.
                return;
            }
        }
        let of = |era: &&Era| era.control == control && era.answered_ms <= asked_ms;
        let mut history = self.board.history();
        let epoch = history.eras.iter().rfind(of).map_or(0, |era| era.epoch);
        history.changes.push(Change {
            destination,
            stamp,
            control,
            epoch: position.map_or(epoch, |at| at.epoch),
            position,
            asked_ms,
            answered_ms,
        });
        drop(history);
        if remove {
            self.live.remove(&destination);
        } else {
            self.live.insert(destination);
        }
    }

    /// One that is changed, mostly; else one that goes or one that comes.
    fn any_change(&mut self) {
        let draw = self.chance.random::<f64>();
        let destination = self.chance.random_range(1..=self.sizes.destinations);
        let known = self.live.contains(&destination);
        let few = self.live.len() * 4 < self.sizes.destinations as usize * 3;
        let control = match (self.rival, self.lead()) {
            (Some(rival), _) if self.chance.random::<bool>() => rival,
            (_, Some((lead, _))) => lead,
            _ => return,
        };
        self.change(control, destination, known && !few && draw < 0.2);
    }

    fn watch_owners(&self) -> std::io::Result<thread::JoinHandle<()>> {
        let (board, lead, controls) =
            (Arc::clone(&self.board), Arc::clone(&self.lead), self.sizes.draw.controls);
        let (program, key) = (self.options.program.clone(), self.options.folder.join("fleet.key"));
        let shards = self.sizes.shards;
        let mut of: BTreeMap<u32, u32> = BTreeMap::new();
        (1..).take_while(|_| true).find(|destination| {
            of.entry(shard_of(*destination, shards)).or_insert(*destination);
            of.len() == shards as usize
        });
        let what = json!({"owners": {"destinations": of.values().collect::<Vec<_>>()}});
        thread::Builder::new().name("owners".into()).spawn(move || {
            // The one that counts each time, the others in turn: one of them may be a controller still.
            for turn in 0usize.. {
                if board.is_over() {
                    return;
                }
                let lead = lead.lock().unwrap_or_else(PoisonError::into_inner).map(|(_, address)| address);
                let other = board.control(turn % controls).filter(|other| lead != Some(*other));
                for address in lead.into_iter().chain(other) {
                    let asked_ms = board.now_ms();
                    if let Some(answer) = order(&program, &key, address, &what) {
                        let at_ms = board.now_ms();
                        record_owners(&board, &answer, &of, asked_ms, at_ms);
                    }
                }
                thread::sleep(OWNERS_LOOK);
            }
        })
    }

    // The run.

    /// Until all have a first part.
    fn begin(&mut self) -> Result<(), String> {
        for control in 0..self.sizes.draw.controls {
            self.start(Process::Control(control))?;
        }
        if !self.promote(0..1) {
            return Err(format!("no first controller: {:?}", self.notes));
        }
        for sender in 0..self.sizes.draw.senders {
            self.start(Process::Agent(sender))?;
        }
        for destination in 1..=self.sizes.destinations {
            self.change(0, destination, false);
        }
        let members = self.sizes.draw.senders - self.sizes.draw.late;
        self.wait("all members have a part", |history| {
            (0..members).all(|sender| {
                let part = history.parts.iter().rfind(|part| part.sender == sender);
                part.is_some_and(|part| !part.lines.is_empty())
            })
        })?;
        for sender in 0..self.daemons.len() as u32 {
            self.start(Process::Daemon(sender))?;
        }
        Ok(())
    }

    fn wait(&mut self, what: &str, is: impl Fn(&History) -> bool) -> Result<(), String> {
        let by = Instant::now() + SETTLE;
        while !is(&self.board.history()) {
            self.check_stop()?;
            if Instant::now() > by {
                return Err(format!("not seen in {SETTLE:?}: {what}; {:?}", self.notes));
            }
            thread::sleep(BEAT);
        }
        Ok(())
    }

    fn check_stop(&self) -> Result<(), String> {
        if self.options.stop.load(Ordering::Acquire) { Err("interrupted".into()) } else { Ok(()) }
    }

    fn play(&mut self) -> Result<(), String> {
        let mut steps: Vec<(f64, Step)> = Vec::new();
        for (at, fault) in self.faults.iter().enumerate() {
            steps.push((fault.at_s, Step::Begins(at)));
            steps.push((fault.at_s + fault.for_s * 0.4, Step::Middle(at)));
            steps.push((fault.at_s + fault.for_s, Step::Ends(at)));
        }
        steps.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let from = self.board.now_ms();
        let every = 1000.0 / self.sizes.changes_a_second;
        let (mut steps, mut change_at, mut steer_at) = (steps.into_iter().peekable(), 0.0, 0.0);
        let last = self.sizes.draw.until_s * 1000.0;
        loop {
            self.check_stop()?;
            let now = self.board.now_ms() - from;
            while let Some((_, step)) = steps.next_if(|(at, _)| at * 1000.0 <= now) {
                self.step(step)?;
            }
            if now >= change_at {
                self.any_change();
                change_at = (change_at + every).max(now - every);
            }
            self.look_for_crashes();
            if self.lead().is_none() && !self.held && now >= steer_at {
                steer_at = now + STEER;
                _ = self.promote(0..self.controls.len());
            }
            if steps.peek().is_none() && now >= last {
                break;
            }
            thread::sleep(BEAT);
        }
        self.heal()
    }

    fn heal(&mut self) -> Result<(), String> {
        for control in 0..self.controls.len() {
            self.start(Process::Control(control))?;
        }
        for sender in 0..self.sizes.draw.senders {
            self.start(Process::Agent(sender))?;
            self.members.insert(sender, true);
        }
        self.rival = None;
        if self.lead().is_none() && !self.promote(0..self.controls.len()) {
            self.note("no controller at the end".into());
        }
        self.tell_members(None);
        self.board.history().members = (0..self.sizes.draw.senders).collect();
        self.turn(Turn::Healed);
        let by = Instant::now() + SETTLE;
        while Instant::now() < by {
            self.check_stop()?;
            self.look_for_crashes();
            let mut history = self.board.history().clone();
            history.ended_ms = self.board.now_ms();
            if differences(&history).is_empty() {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        // What comes late after the end would be seen.
        thread::sleep(Duration::from_millis(700));
        Ok(())
    }

    fn others(&self, than: Option<usize>) -> Vec<usize> {
        (0..self.controls.len()).filter(|control| Some(*control) != than).collect()
    }

    fn step(&mut self, step: Step) -> Result<(), String> {
        match step {
            Step::Begins(at) => self.fault_begins(at),
            Step::Middle(at) => self.fault_is_half_over(at),
            Step::Ends(at) => self.fault_ends(at),
        }
    }

    fn fault_begins(&mut self, at: usize) -> Result<(), String> {
        let lead = self.lead().map(|(lead, _)| lead);
        let relay = self.others(lead).first().copied();
        match self.faults[at].what.clone() {
            What::KillInSnapshot { bytes_a_second } => {
                let Some(relay) = relay else { return Ok(()) };
                self.struck.insert(at, relay);
                self.kill(Process::Control(relay));
                _ = fs::remove_dir_all(self.options.folder.join(format!("control-{relay}")));
                for other in self.others(Some(relay)) {
                    let slow = Condition { bytes_a_second: Some(bytes_a_second), ..Condition::default() };
                    self.worsen(
                        SLOW_CONTROL + at * 10 + other,
                        (End::Control(relay), End::Control(other)),
                        slow,
                    );
                }
                self.start(Process::Control(relay))?;
            }
            What::RestartControls => {
                self.held = true;
                (0..self.controls.len()).for_each(|control| self.kill(Process::Control(control)));
            }
            What::KillController => {
                let Some(lead) = lead else { return Ok(()) };
                self.struck.insert(at, lead);
                self.held = true;
                self.kill(Process::Control(lead));
            }
            What::PauseController => {
                let Some(lead) = lead else { return Ok(()) };
                self.struck.insert(at, lead);
                self.held = true;
                self.pause(Process::Control(lead));
                self.set_lead(None);
            }
            What::TwoControllers { .. } => {
                let Some(lead) = lead else { return Ok(()) };
                self.struck.insert(at, lead);
                self.cut_all(at);
            }
            What::CutRelay => {
                let Some(relay) = relay else { return Ok(()) };
                self.struck.insert(at, relay);
                self.cut_all(at);
            }
            What::PauseAgent { sender } => self.pause(Process::Agent(sender)),
            What::KillAgent { sender } => self.kill(Process::Agent(sender)),
            What::RestartCutOff { .. } | What::Partition { .. } | What::OneWay { .. } => self.cut_all(at),
            What::Slow { sender, delay_ms, loss } => {
                let condition =
                    Condition { delay_ms, jitter_ms: delay_ms / 2.0, loss, ..Condition::default() };
                self.network.set(at * 1000 + 999, self.lines_of_agent(sender), condition);
            }
            What::ResetMidLine { sender, bytes_a_second } => {
                let condition = Condition { bytes_a_second: Some(bytes_a_second), ..Condition::default() };
                self.network.set(at * 1000 + 999, self.lines_of_agent(sender), condition);
            }
            What::Gone { sender } => {
                self.members.insert(sender, false);
                self.tell_members(Some(sender));
            }
            What::ComesStopped { sender } => {
                self.pause(Process::Agent(sender));
                self.members.insert(sender, true);
                self.tell_members(Some(sender));
            }
            What::Burst { changes } => (0..changes).for_each(|_| self.any_change()),
        }
        Ok(())
    }

    fn cut_all(&mut self, at: usize) {
        for (number, from, to, both) in self.cuts_of(at) {
            self.cut(number, from, to, both);
        }
    }

    fn mend_all(&mut self, at: usize) {
        for (number, from, to, _) in self.cuts_of(at) {
            self.mend(number, from, to);
        }
    }

    fn fault_is_half_over(&mut self, at: usize) -> Result<(), String> {
        let struck = self.struck.get(&at).copied();
        match self.faults[at].what.clone() {
            What::KillInSnapshot { .. } => {
                let Some(relay) = struck else { return Ok(()) };
                let status = self.order(relay, &json!("status"));
                let filled = status.as_ref().and_then(|status| status["filled"].as_bool());
                self.note(format!("control process {relay} is killed, filled: {filled:?}"));
                self.kill(Process::Control(relay));
            }
            What::KillController | What::PauseController => {
                self.held = false;
                _ = self.promote(self.others(struck).into_iter());
            }
            What::TwoControllers { .. } => {
                let promoted = self.promote(self.others(struck).into_iter());
                self.rival = struck.filter(|_| promoted);
            }
            What::RestartCutOff { sender } => {
                self.kill(Process::Agent(sender));
                self.start(Process::Agent(sender))?;
            }
            What::ResetMidLine { sender, .. } => self.network.reset(self.lines_of_agent(sender)),
            What::ComesStopped { sender } => self.change_what_moves(sender),
            _ => {}
        }
        Ok(())
    }

    /// Destinations of shards that a sender is just being given: one is changed, one removed, one removed and put again,
    /// and one that wasn't there is added.
    fn change_what_moves(&mut self, sender: u32) {
        let Some((lead, _)) = self.lead() else { return };
        let owners = self.board.history().owners.last().map(|seen| seen.owners.clone()).unwrap_or_default();
        let shards = self.sizes.shards;
        let moves = |destination: &u32| {
            owners.get(&shard_of(*destination, shards)).is_some_and(|owners| owners.contains(&sender))
        };
        let known: Vec<u32> = self.live.iter().copied().filter(moves).take(3).collect();
        let added =
            (self.sizes.destinations + 1..).take(1000).find(|one| moves(one) && !self.live.contains(one));
        self.note(format!("{known:?} change and {added:?} comes while they move to {sender}"));
        for (nth, destination) in known.into_iter().enumerate() {
            self.change(lead, destination, nth > 0);
            if nth == 2 {
                self.change(lead, destination, false);
            }
        }
        if let Some(destination) = added {
            self.change(lead, destination, false);
        }
    }

    fn fault_ends(&mut self, at: usize) -> Result<(), String> {
        let struck = self.struck.get(&at).copied();
        match self.faults[at].what.clone() {
            What::KillInSnapshot { .. } => {
                let Some(relay) = struck else { return Ok(()) };
                self.others(Some(relay))
                    .into_iter()
                    .for_each(|other| self.network.clear((SLOW_CONTROL + at * 10 + other) * 1000 + 999));
                self.start(Process::Control(relay))?;
            }
            What::RestartControls => {
                for control in 0..self.controls.len() {
                    self.start(Process::Control(control))?;
                }
                self.held = false;
                _ = self.promote(0..self.controls.len());
            }
            What::KillController => {
                if let Some(control) = struck {
                    self.start(Process::Control(control))?;
                }
            }
            What::PauseController => {
                if let Some(control) = struck {
                    self.go_on(Process::Control(control));
                }
            }
            What::TwoControllers { .. } => {
                self.rival = None;
                self.mend_all(at);
            }
            What::CutRelay | What::RestartCutOff { .. } | What::Partition { .. } | What::OneWay { .. } => {
                self.mend_all(at);
            }
            What::PauseAgent { sender } | What::ComesStopped { sender } => self.go_on(Process::Agent(sender)),
            What::KillAgent { sender } => self.start(Process::Agent(sender))?,
            What::Slow { .. } => self.network.clear(at * 1000 + 999),
            What::ResetMidLine { sender, .. } => {
                self.network.reset(self.lines_of_agent(sender));
                self.network.clear(at * 1000 + 999);
            }
            What::Gone { sender } => {
                self.members.insert(sender, true);
                self.tell_members(Some(sender));
            }
            What::Burst { .. } => {}
        }
        Ok(())
    }
}

fn record_owners(board: &Board, answer: &Value, of: &BTreeMap<u32, u32>, asked_ms: f64, at_ms: f64) {
    let Some(position) = position_of(&answer["position"]) else { return };
    let Some(told) = answer["owners"].as_object() else { return };
    let mut owners = BTreeMap::new();
    for (shard, destination) in of {
        let list = told.get(&destination.to_string()).and_then(Value::as_array);
        let list = list.into_iter().flatten().filter_map(Value::as_u64).map(|sender| sender as u32);
        owners.insert(*shard, list.collect());
    }
    let mut history = board.history();
    if let Some(last) = history.owners.last_mut()
        && last.owners == owners
        && last.position == position
    {
        last.until_ms = asked_ms;
        return;
    }
    history.owners.push(OwnersSeen { asked_ms, at_ms, until_ms: asked_ms, position, owners });
}

fn daemon_config(sender: u32, discovery: SocketAddr) -> Value {
    json!({
        "name": format!("n{sender}"), "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 64},
        "known": {"revision": 0, "complete": true, "members": []},
        "settings": {
            "group-size": 1, "ordinal": 0, "kinds": ["k"], "localities": ["here"], "tick-ms": 5.0,
            "categories": [{"name": "free", "objective-ms": 3000.0, "deadline-ms": 5000.0, "repeat": "read_like",
                "group": "all", "in-order": false, "window-ms": 15000.0, "worth": 1.0, "late-worth": 0.5,
        "stream": false}],
            "family-info": {"call-slots": 64, "kind-batch": [1], "routes-apart": [false]},
            "membership-mode": "automatic", "weight-kind": "silent",
            "obligations": {"cold-share": 0.2, "cold-ms": 1000.0, "tip-multiple": 2.0,
                "must-ask-in-ms": 10000.0, "settle-after-doubt-ms": 100.0},
            "ceilings": {"max-attempts": 3, "most-held": 1000, "keepalive-ms": 10000.0,
                "connect-timeout-ms": 1500.0, "retry-after": true, "max-retry-after-ms": 2000.0},
        },
    })
}
