//! One machine's keeper: holds the clients' socket and the sender's process, and does what a controller orders.
//!
//! Connections are answered at any time, also while an order is carried out, which a thread of its own does. What was
//! promised, which side is taken and where its process is to be found are in the record before they are acted upon, so
//! that a keeper that was killed goes on where it was. [`Agent`] decides what is obeyed.

use crate::line;
use crate::process::{End, Known, Process, Start, write_whole};
use crossbeam_channel::{Receiver, Sender, bounded};
use indigomast::time::{Moment, Span};
use indigomast_rollout::agent::{Act, Agent, Ask, Promised, Refusal, Which};
use indigomast_rollout::plan::{Unheard, digest};
use indigomast_rollout::record::Record;
use indigomast_rollout::wire::{Answer, Change, LONGEST, Refused, Say, Secret, Told, Way};
use rustix::process::Signal;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const BEAT: Duration = Duration::from_millis(20);
/// How often the process is asked how it fares.
const REPORTED_EVERY: Duration = Duration::from_millis(500);
/// Connections heard at once.
const CALLERS: usize = 8;
/// As the platform does: asked to end, and killed when it hasn't.
const TO_END: Duration = Duration::from_millis(3700);
/// Settings are in force, or turned down, within this.
const TO_READ: Duration = Duration::from_secs(5);
/// A sender that dies at once is started again after this, twice this, and so on up to the last.
const FIRST_WAIT: Duration = Duration::from_millis(200);
const LAST_WAIT: Duration = Duration::from_secs(30);
/// A side is started so often where it finds its second address taken.
const STARTS: u32 = 3;
/// Within which deaths are counted.
const REMEMBERED: Duration = Duration::from_secs(600);
/// Another change may begin once the one before has not been heard of for so long.
const ANOTHER_AFTER: Duration = Duration::from_secs(30);

/// What a keeper is told, from its file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The sender's name, as plans have it.
    pub name: String,
    /// Where a controller finds it.
    pub listen: SocketAddr,
    /// Where the sender's clients connect.
    pub clients: SocketAddr,
    /// A file with the key that it shares with controllers.
    pub key: PathBuf,
    /// The sender's folder, and the keeper's own.
    pub state: PathBuf,
    pub record: PathBuf,
    /// What runs until a change, and again if one is taken back.
    pub program: PathBuf,
    #[serde(default)]
    pub arguments: Vec<String>,
    pub settings: PathBuf,
}

impl Config {
    /// # Errors
    ///
    /// What is wrong, with line and field. Paths that are not whole are beside the file.
    pub fn load(path: &Path) -> Result<Config, String> {
        let shown = path.display();
        let text = fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
        let mut config: Config =
            toml::from_str(&text).map_err(|e| format!("{shown}: {}", e.to_string().trim_end()))?;
        let beside = path.parent().unwrap_or(Path::new(""));
        for path in [
            &mut config.key,
            &mut config.state,
            &mut config.record,
            &mut config.program,
            &mut config.settings,
        ] {
            *path = std::path::absolute(beside.join(&*path)).map_err(|e| format!("{shown}: {e}"))?;
        }
        for (field, path) in
            [("program", &config.program), ("settings", &config.settings), ("key", &config.key)]
        {
            if !path.is_file() {
                return Err(format!("{shown}: {field}: {} is no file", path.display()));
            }
        }
        if config.name.is_empty() {
            return Err(format!("{shown}: name: is empty"));
        }
        Ok(config)
    }
}

/// What outlasts a keeper.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Kept {
    promised: Promised,
    /// Which side is taken; the old one at first.
    new: bool,
    change: Option<Change>,
    process: Option<Known>,
    /// What a change that became final left as the old side of the next.
    program: Option<String>,
    settings: Option<String>,
}

impl Kept {
    fn side(&self) -> Which {
        if self.new { Which::New } else { Which::Old }
    }
}

/// What callers and the thread that carries out share.
struct Desk {
    agent: Agent,
    kept: Kept,
    record: Record<Kept>,
    heard: Option<Instant>,
    told: Told,
}

impl Desk {
    /// Makes what is kept last as it now is.
    fn write(&mut self) -> bool {
        self.kept.promised = self.agent.promised();
        match self.record.replace(self.kept.clone()) {
            Ok(()) => true,
            Err(e) => {
                self.trouble(format!("the keeper's record can't be written: {e}"));
                false
            }
        }
    }

    fn trouble(&mut self, what: String) {
        log::warn!("{what}");
        self.told.trouble = what;
    }

    /// Puts what the agent says to do into effect; whether it was written down.
    fn act(&mut self, acts: &[Act], carry: &Sender<Ask>) -> bool {
        for act in acts {
            match act {
                Act::Write(_) => {
                    if !self.write() {
                        self.agent.unwritten();
                        return false;
                    }
                }
                Act::Carry(ask) => _ = carry.send(*ask),
            }
        }
        true
    }
}

#[derive(Clone)]
struct Shared {
    desk: Arc<Mutex<Desk>>,
    config: Arc<Config>,
    secret: Secret,
    began: Instant,
    carry: Sender<Ask>,
    callers: Arc<AtomicUsize>,
}

impl Shared {
    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Moment {
        Moment::from_millis(self.began.elapsed().as_secs_f64() * 1000.0)
    }

    fn serve(&self, mut stream: TcpStream) {
        let by = Instant::now() + line::PATIENCE;
        let name = &self.config.name;
        let answer = line::read(&mut stream, LONGEST, by)
            .map_err(|e| e.to_string())
            .and_then(|line| self.secret.open::<Say>(Way::ToAgent, name, &line));
        match answer {
            Ok(say) => {
                let answer = self.answer(say);
                _ = line::write(&mut stream, &self.secret.seal(Way::FromAgent, name, &answer));
            }
            // Whoever doesn't know the key learns nothing here.
            Err(e) => log::warn!("a line that can't be believed or read: {e}"),
        }
    }

    fn answer(&self, say: Say) -> Answer {
        let mut desk = self.desk();
        match say {
            Say::Look { number, epoch, change } => {
                if let Err(refused) = self.take_up(&mut desk, change) {
                    return Answer::Refused { number, refused };
                }
                let challenge = rand::random();
                match desk.agent.look(self.now(), epoch, challenge) {
                    Ok(acts) if desk.act(&acts, &self.carry) => {
                        desk.heard = Some(Instant::now());
                        let told = Told { status: desk.agent.status(), ..desk.told.clone() };
                        Answer::Stands { number, challenge, told: Box::new(told) }
                    }
                    Ok(_) => Answer::Refused { number, refused: Refusal::Unwritten.into() },
                    Err(refusal) => Answer::Refused { number, refused: refusal.into() },
                }
            }
            Say::Order { number, order } => match desk.agent.order(self.now(), order) {
                Ok(acts) if desk.act(&acts, &self.carry) => Answer::Obeys { number, id: order.id },
                Ok(_) => Answer::Refused { number, refused: Refusal::Unwritten.into() },
                Err(refusal) => Answer::Refused { number, refused: refusal.into() },
            },
        }
    }

    /// Which change orders are about: one at a time, and the next only when the one before is over here.
    fn take_up(&self, desk: &mut Desk, change: Change) -> Result<(), Refused> {
        let Some(now) = &desk.kept.change else {
            desk.kept.change = Some(change);
            return Ok(());
        };
        if now.digest == change.digest {
            return Ok(());
        }
        let sealed = desk.agent.promised().sealed;
        let lately = desk.heard.is_some_and(|heard| heard.elapsed() < ANOTHER_AFTER);
        if desk.agent.is_busy() || (desk.kept.new && !sealed) || (lately && !sealed) {
            return Err(Refused::Change(now.digest.clone()));
        }
        if sealed {
            // What became final is the old side from now on.
            desk.kept.program = now.program.clone().or(desk.kept.program.take());
            desk.kept.settings = now.settings.clone().or(desk.kept.settings.take());
            desk.kept.new = false;
        }
        desk.kept.change = Some(change);
        let patience = patience(&desk.kept);
        (desk.agent, _) = Agent::new(Promised::default(), patience);
        let (side, serving) = (desk.kept.side(), desk.told.counts.is_some());
        desk.agent.sees(Some(side), serving);
        Ok(())
    }
}

fn patience(kept: &Kept) -> Option<Span> {
    let change = kept.change.as_ref()?;
    (change.unheard == Unheard::Back).then(|| Span::from_millis(change.unheard_ms))
}

/// A keeper that runs.
pub struct Keeper {
    pub address: SocketAddr,
    pub clients: SocketAddr,
    over: Arc<AtomicBool>,
    worker: Option<thread::JoinHandle<()>>,
}

impl Keeper {
    /// Finds the sender that an earlier keeper left, or starts it.
    ///
    /// # Errors
    ///
    /// Which field of the file names what can't be had.
    pub fn start(config: Config) -> Result<Keeper, String> {
        let key = fs::read(&config.key).map_err(|e| format!("key: {}: {e}", config.key.display()))?;
        let secret = Secret::new(&key).map_err(|e| format!("key: {e}"))?;
        for (field, folder) in [("state", &config.state), ("record", &config.record)] {
            fs::create_dir_all(folder).map_err(|e| format!("{field}: {}: {e}", folder.display()))?;
        }
        let record: Record<Kept> = Record::open(&config.record.join("kept"))
            .map_err(|e| format!("record: {}: {e}", config.record.display()))?;
        let kept = record.entries.last().cloned().unwrap_or_default();
        let listener =
            TcpListener::bind(config.listen).map_err(|e| format!("listen: {}: {e}", config.listen))?;
        let address = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
        let found = kept.process.as_ref().and_then(Process::find);
        let socket = match found.as_ref().map(Process::socket) {
            Some(Ok(socket)) => socket,
            Some(Err(e)) => {
                return Err(format!("clients: the sender runs, but its socket can't be had from it: {e}"));
            }
            None => {
                TcpListener::bind(config.clients).map_err(|e| format!("clients: {}: {e}", config.clients))?
            }
        };
        let clients = socket.local_addr().map_err(|e| format!("clients: {e}"))?;
        let (mut agent, again) = Agent::new(kept.promised, patience(&kept));
        agent.sees(Some(kept.side()), false);
        let (carry, asked) = bounded(4);
        if let Some(ask) = again {
            _ = carry.send(ask);
        }
        let desk = Desk {
            agent,
            kept,
            record,
            heard: None,
            told: Told {
                status: Default::default(),
                version: String::new(),
                counts: None,
                trouble: String::new(),
            },
        };
        let shared = Shared {
            desk: Arc::new(Mutex::new(desk)),
            config: Arc::new(config),
            secret,
            began: Instant::now(),
            carry,
            callers: Arc::default(),
        };
        let over = Arc::<AtomicBool>::default();
        let mut worker = Worker {
            shared: shared.clone(),
            socket,
            process: found,
            deaths: VecDeque::new(),
            start_at: None,
            reported: None,
            ready: false,
        };
        let ends = Arc::clone(&over);
        let work = move || worker.run(&asked, &ends);
        let worker = thread::Builder::new()
            .name("keeper".into())
            .spawn(work)
            .map_err(|e| format!("no thread: {e}"))?;
        thread::Builder::new()
            .name("orders".into())
            .spawn(move || accept(&listener, &shared))
            .map_err(|e| format!("no thread: {e}"))?;
        Ok(Keeper { address, clients, over, worker: Some(worker) })
    }

    /// Ends the keeper; the sender serves on.
    pub fn leave(mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.worker.take().into_iter().for_each(|worker| _ = worker.join());
    }
}

fn accept(listener: &TcpListener, shared: &Shared) {
    for stream in listener.incoming() {
        let Ok(stream) = stream else {
            thread::sleep(BEAT);
            continue;
        };
        // More than that at once are no controllers.
        if shared.callers.fetch_add(1, Ordering::AcqRel) >= CALLERS {
            shared.callers.fetch_sub(1, Ordering::AcqRel);
            continue;
        }
        let own = shared.clone();
        let serve = move || {
            own.serve(stream);
            own.callers.fetch_sub(1, Ordering::AcqRel);
        };
        if thread::Builder::new().spawn(serve).is_err() {
            shared.callers.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

/// Carries out, and looks after the process in between.
struct Worker {
    shared: Shared,
    socket: TcpListener,
    process: Option<Process>,
    deaths: VecDeque<Instant>,
    start_at: Option<Instant>,
    reported: Option<Instant>,
    ready: bool,
}

impl Worker {
    fn run(&mut self, asked: &Receiver<Ask>, over: &AtomicBool) {
        while !over.load(Ordering::Relaxed) {
            match asked.recv_timeout(BEAT) {
                Ok(ask) => {
                    let well = self.carry(ask);
                    let mut desk = self.shared.desk();
                    let acts = desk.agent.carried(well);
                    // Where it can't be written, it is carried out once more after the next start, to the same effect.
                    let carry = self.shared.carry.clone();
                    desk.act(&acts, &carry);
                    self.reported = None;
                }
                Err(_) => self.tend(),
            }
            let now = self.shared.now();
            if self.shared.desk().agent.gives_up(now) {
                self.shared.desk().trouble("nobody was heard of for too long: back to the old side".into());
                self.take(Which::Old);
            }
        }
    }

    fn start_time(&self) -> Duration {
        let desk = self.shared.desk();
        let ms = desk.kept.change.as_ref().map_or(15_000.0, |change| change.start_ms);
        Duration::from_secs_f64((ms / 1000.0).clamp(0.1, 3600.0))
    }

    fn program(&self, side: Which) -> PathBuf {
        let of = |change: &Change| change.program.clone();
        self.of_side(side, of, |kept| kept.program.clone(), &self.shared.config.program)
    }

    fn settings(&self, side: Which) -> PathBuf {
        let of = |change: &Change| change.settings.clone();
        self.of_side(side, of, |kept| kept.settings.clone(), &self.shared.config.settings)
    }

    /// What a side has of something: what the change says, or an earlier one left, or the file.
    fn of_side(
        &self,
        side: Which,
        of: impl Fn(&Change) -> Option<String>,
        left: impl Fn(&Kept) -> Option<String>,
        first: &Path,
    ) -> PathBuf {
        let desk = self.shared.desk();
        let new = desk.kept.change.as_ref().filter(|_| side == Which::New).and_then(of);
        new.or_else(|| left(&desk.kept)).map_or(first.to_owned(), PathBuf::from)
    }

    /// The one file that the process reads, whichever side it has.
    fn in_force(&self) -> PathBuf {
        self.shared.config.record.join("settings.in-force")
    }

    /// Whether the new side's files are those that the controller has: another file under the same name is no part of what
    /// was compared.
    fn is_as_told(&self) -> bool {
        let change = self.shared.desk().kept.change.clone();
        let Some(change) = change else { return true };
        let files = [(&change.program, &change.program_digest), (&change.settings, &change.settings_digest)];
        for (path, told) in
            files.into_iter().filter_map(|(path, told)| Some((path.as_ref()?, told.as_ref()?)))
        {
            let own = fs::read(path).map(|bytes| digest(&bytes));
            if own.as_ref().ok() != Some(told) {
                self.shared.desk().trouble(match own {
                    Ok(_) => format!("{path} is another file here than the controller's"),
                    Err(e) => format!("{path}: {e}"),
                });
                return false;
            }
        }
        true
    }

    fn put_settings(&self, side: Which) -> bool {
        let from = self.settings(side);
        let put = fs::read(&from).and_then(|bytes| write_whole(&self.in_force(), &bytes));
        if let Err(e) = &put {
            self.shared.desk().trouble(format!("settings {}: {e}", from.display()));
        }
        put.is_ok()
    }

    fn start(&self, side: Which) -> Option<Process> {
        let (program, settings) = (self.program(side), self.in_force());
        let config = &self.shared.config;
        let log = config.record.join("sender.log");
        let start = Start {
            program: &program,
            arguments: &config.arguments,
            settings: &settings,
            state: &config.state,
            log: &log,
        };
        match Process::start(&start, &self.socket) {
            Ok(process) => Some(process),
            Err(e) => {
                self.shared.desk().trouble(format!("{} can't be started: {e}", program.display()));
                None
            }
        }
    }

    /// Says in a file of its own where the sender's process is, for people and programs on this machine.
    fn show(&self, known: &Known) {
        let text = format!("{} {}\n", known.pid, known.control);
        if let Err(e) = write_whole(&self.shared.config.record.join("process"), text.as_bytes()) {
            log::warn!("where the process is can't be written: {e}");
        }
    }

    /// Has what is kept name the side and the process that now serve.
    fn is_taken(&mut self, side: Which, process: Option<Process>) {
        if let Some(process) = process {
            self.process = Some(process);
        }
        let known = self.process.as_ref().map(|process| process.known.clone());
        known.iter().for_each(|known| self.show(known));
        let mut desk = self.shared.desk();
        (desk.kept.new, desk.kept.process) = (side == Which::New, known);
        desk.write();
        desk.agent.sees(Some(side), true);
    }

    fn carry(&mut self, ask: Ask) -> bool {
        match ask {
            Ask::Take(side) => self.take(side),
            Ask::Seal => {
                let sealed = self.process.as_ref().is_some_and(Process::seal);
                if !sealed {
                    self.shared.desk().trouble("the floor could not be raised".into());
                }
                sealed
            }
        }
    }

    fn take(&mut self, side: Which) -> bool {
        let was = self.shared.desk().kept.side();
        if side == was && self.process.as_ref().is_some_and(Process::is_ready) {
            return true;
        }
        self.shared.desk().agent.sees(Some(was), false);
        let same_program = self.program(side) == self.program(was);
        let done = (side == Which::Old || self.is_as_told())
            && self.put_settings(side)
            && match same_program && self.process.is_some() {
                true => self.reload(side),
                false => self.replace(side),
            };
        if done {
            (self.deaths, self.start_at, self.ready) = (VecDeque::new(), None, true);
            return true;
        }
        // As it was; whoever died on the way is started again by that.
        self.put_settings(was);
        if same_program && let Some(process) = &self.process {
            process.signal(Signal::HUP);
        }
        self.shared.desk().agent.sees(Some(was), self.process.as_ref().is_some_and(Process::is_ready));
        false
    }

    /// Puts settings in force in the process that runs.
    fn reload(&mut self, side: Which) -> bool {
        let Some(process) = &self.process else { return false };
        let before = (process.figure("conf_loaded"), process.figure("conf_invalid"));
        process.signal(Signal::HUP);
        let by = Instant::now() + TO_READ;
        while Instant::now() < by {
            thread::sleep(BEAT);
            if process.figure("conf_invalid") > before.1 {
                self.shared
                    .desk()
                    .trouble("the sender turned the settings down; its log says which field".into());
                return false;
            }
            if before.0.is_some() && process.figure("conf_loaded") > before.0 {
                self.is_taken(side, None);
                return true;
            }
        }
        self.shared.desk().trouble("the sender did not say what became of the settings".into());
        false
    }

    /// Has a new process take the place of the one that runs, if one does.
    fn replace(&mut self, side: Which) -> bool {
        let by = Instant::now() + self.start_time();
        let Some(mut new) = self.start(side) else { return false };
        let mut again = STARTS;
        // Until it owns what the old one has, nothing is lost by giving it up.
        let mut asked_to_end = None;
        loop {
            thread::sleep(BEAT);
            if let Some(end) = new.ended() {
                again -= 1;
                // No fault of the side's: its second address went to somebody else between two looks.
                if again > 0
                    && new.was_crowded_out()
                    && let Some(another) = self.start(side)
                {
                    new = another;
                    continue;
                }
                self.shared
                    .desk()
                    .trouble(format!("the new process ended before it served ({end:?}); see sender.log"));
                return false;
            }
            let old_gone = self.process.as_mut().is_none_or(|old| old.ended().is_some());
            let ready = new.is_ready();
            if ready && old_gone {
                self.is_taken(side, Some(new));
                return true;
            }
            // One that is ready though the old one is there only waits for its end.
            if ready && let Some(old) = &self.process {
                let asked = *asked_to_end.get_or_insert_with(|| {
                    old.signal(Signal::TERM);
                    Instant::now()
                });
                if asked.elapsed() >= TO_END {
                    old.signal(Signal::KILL);
                }
            }
            if Instant::now() >= by {
                self.shared.desk().trouble("the new process did not serve in time".into());
                new.kill();
                return false;
            }
        }
    }

    /// Sees that the side that is taken runs.
    fn tend(&mut self) {
        if let Some(end) = self.process.as_mut().and_then(Process::ended) {
            let crowded = !self.ready && self.process.as_ref().is_some_and(Process::was_crowded_out);
            let crashed = end == End::Crashed && !crowded;
            let mut desk = self.shared.desk();
            desk.trouble(format!("the sender's process ended ({end:?})"));
            let side = desk.kept.side();
            if crashed {
                desk.agent.crashed();
            }
            desk.agent.sees(Some(side), false);
            desk.told.counts = None;
            drop(desk);
            (self.process, self.ready) = (None, false);
            self.deaths.push_back(Instant::now());
            self.deaths.retain(|at| at.elapsed() < REMEMBERED);
            self.start_at = Some(Instant::now() + self.wait());
        }
        let due = self.start_at.is_none_or(|at| Instant::now() >= at);
        if self.process.is_none() && due {
            let side = self.shared.desk().kept.side();
            self.start_at = Some(Instant::now() + LAST_WAIT);
            if self.put_settings(side)
                && let Some(process) = self.start(side)
            {
                let known = process.known.clone();
                self.show(&known);
                self.process = Some(process);
                let mut desk = self.shared.desk();
                desk.kept.process = Some(known);
                desk.write();
            }
        }
        let due = self.reported.is_none_or(|at| at.elapsed() >= REPORTED_EVERY);
        if let Some(process) = self.process.as_ref().filter(|_| due || !self.ready) {
            self.reported = Some(Instant::now());
            self.ready = process.is_ready();
            let report = process.report().filter(|_| self.ready);
            let mut desk = self.shared.desk();
            let side = desk.kept.side();
            desk.agent.sees(Some(side), self.ready);
            match report {
                Some((version, counts)) => (desk.told.version, desk.told.counts) = (version, Some(counts)),
                None => desk.told.counts = None,
            }
        }
    }

    /// How long one that died is left alone: longer with each death, and long once there were too many.
    fn wait(&self) -> Duration {
        let most = self.shared.desk().kept.change.as_ref().map_or(5, |change| change.restarts);
        if self.deaths.len() > most {
            return LAST_WAIT;
        }
        let doubled = self.deaths.len().saturating_sub(1).min(16) as u32;
        (FIRST_WAIT * 2u32.pow(doubled)).min(LAST_WAIT)
    }
}
