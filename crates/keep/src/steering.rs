//! The carrier of a controller: one thread for each sender's questions and answers, one that steers and writes down.

use crate::line;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded, unbounded};
use indigomast::time::Moment;
use indigomast_rollout::controller::{Controller, Input, Output};
use indigomast_rollout::plan::{Plan, digest};
use indigomast_rollout::record::Record;
use indigomast_rollout::steering::{Entry, Event, Phase};
use indigomast_rollout::wire::{Answer, Change, LONGEST, Refused, Say, Secret, Told, Way};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const BEAT: Duration = Duration::from_millis(50);
/// How often how it stands is written for the report.
const NOTED_EVERY: Duration = Duration::from_secs(1);
const ADDRESS: &str = "address";
const HISTORY: &str = "history.jsonl";

/// What is in a controller's record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Line {
    /// The plan that it is about, before all else.
    Plan(String),
    Step(Entry),
}

/// What people say to a controller that runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    Status,
    Halt,
    GoOn,
    Back,
    GiveUp,
}

pub struct Settings {
    pub plan: PathBuf,
    pub key: PathBuf,
    pub record: PathBuf,
    /// Set from elsewhere to end this controller; the change stays as it is.
    pub stop: Arc<AtomicBool>,
}

/// How it came out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Done {
    /// All have the new side for good, or all the old one, or it was given up by hand.
    Over(Phase),
    /// Another controller steers.
    Superseded,
    Stopped,
}

struct Run {
    controller: Controller,
    record: Record<Line>,
    /// What each sender's machine told last.
    told: Vec<Option<Told>>,
    to: Vec<Sender<Say>>,
    change: Change,
    number: u64,
    notes: Vec<String>,
    history: fs::File,
    noted: Option<Instant>,
    began: Instant,
}

pub fn load(path: &Path) -> Result<Plan, String> {
    let shown = path.display();
    let text = fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    let complain = |all: Vec<String>| {
        all.into_iter().map(|what| format!("{shown}: {what}")).collect::<Vec<_>>().join("\nindigomast: ")
    };
    let mut plan = Plan::parse(&text).map_err(complain)?;
    let beside = path.parent().unwrap_or(Path::new(""));
    for path in [&mut plan.to.program, &mut plan.to.settings].into_iter().flatten() {
        *path = std::path::absolute(beside.join(&*path)).map_err(|e| format!("{shown}: {e}"))?;
    }
    Ok(plan)
}

fn secret(path: &Path) -> Result<Secret, String> {
    let bytes = fs::read(path).map_err(|e| format!("key: {}: {e}", path.display()))?;
    Secret::new(&bytes).map_err(|e| format!("key: {}: {e}", path.display()))
}

/// Steers a change until it is over, or another does. `say` is told what people should hear of.
///
/// # Errors
///
/// Plan, key or record can't be used; the record is of another plan; it can't be written any more.
pub fn steer(settings: &Settings, say: &mut dyn FnMut(&str)) -> Result<Done, String> {
    let plan = load(&settings.plan)?;
    let secret = secret(&settings.key)?;
    let shown = settings.record.display();
    let complain = |e: std::io::Error| format!("record: {shown}: {e}");
    fs::create_dir_all(&settings.record).map_err(complain)?;
    let mut record: Record<Line> = Record::open(&settings.record.join("entries")).map_err(complain)?;
    match record.entries.first() {
        Some(Line::Plan(digest)) if *digest != plan.digest => {
            return Err(format!(
                "{}: the plan was changed under way ({digest} is recorded, this is {}): bring that one to its end first, \
                 or begin with a record of its own",
                settings.plan.display(),
                plan.digest
            ));
        }
        Some(Line::Plan(_)) => {}
        Some(Line::Step(_)) => return Err(format!("record: {shown}: it doesn't begin with a plan")),
        None => record.add(Line::Plan(plan.digest.clone())).map_err(complain)?,
    }
    let entries = record.entries.iter().filter_map(|line| match line {
        Line::Step(entry) => Some(entry.clone()),
        Line::Plan(_) => None,
    });
    let entries: Vec<Entry> = entries.collect();
    let path = |path: &Option<PathBuf>| path.as_ref().map(|path| path.display().to_string());
    let digest = |path: &Option<PathBuf>| fs::read(path.as_ref()?).ok().map(|bytes| digest(&bytes));
    let change = Change {
        program_digest: digest(&plan.to.program),
        settings_digest: digest(&plan.to.settings),
        digest: plan.digest.clone(),
        program: path(&plan.to.program),
        settings: path(&plan.to.settings),
        unheard: plan.limits.unheard,
        unheard_ms: plan.limits.unheard_s * 1000.0,
        start_ms: plan.limits.start_s * 1000.0,
        restarts: plan.limits.restarts,
    };
    let (tell, inputs) = unbounded();
    let to = plan.senders.iter().enumerate().map(|(member, sender)| {
        let (to, says) = bounded(4);
        let (secret, tell, name, agent) = (secret.clone(), tell.clone(), sender.name.clone(), sender.agent);
        thread::spawn(move || exchange(&says, member, &name, agent, &secret, &tell));
        to
    });
    let to: Vec<Sender<Say>> = to.collect();
    let (commands, orders) = unbounded();
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("a port for commands: {e}"))?;
    let address = listener.local_addr().map_err(|e| format!("a port for commands: {e}"))?;
    let address_file = settings.record.join(ADDRESS);
    fs::write(&address_file, address.to_string()).map_err(complain)?;
    let own = secret.clone();
    thread::spawn(move || hear(&listener, &own, &commands));
    let history = fs::File::options().create(true).append(true).open(settings.record.join(HISTORY));
    let began = Instant::now();
    let mut run = Run {
        told: vec![None; plan.senders.len()],
        controller: Controller::new(plan, &entries, Moment::from_millis(0.0)),
        record,
        to,
        change,
        number: 0,
        notes: Vec::new(),
        history: history.map_err(complain)?,
        noted: None,
        began,
    };
    let done = run.work(settings, &inputs, &orders, say);
    _ = fs::remove_file(&address_file);
    done
}

type Heard = (usize, Result<Answer, String>);
type Asked = (Command, Sender<Value>);

/// Questions and orders to one sender, one after another.
fn exchange(
    says: &Receiver<Say>,
    member: usize,
    name: &str,
    agent: SocketAddr,
    secret: &Secret,
    tell: &Sender<Heard>,
) {
    for say in says {
        let number = match &say {
            Say::Look { number, .. } | Say::Order { number, .. } => *number,
        };
        let answer =
            line::ask(agent, &secret.seal(Way::ToAgent, name, &say), LONGEST).map_err(|e| e.to_string());
        let answer = answer.and_then(|line| secret.open::<Answer>(Way::FromAgent, name, &line));
        // An answer to another question is one that somebody kept.
        let answer = answer.and_then(|answer| {
            let of = match &answer {
                Answer::Stands { number, .. }
                | Answer::Obeys { number, .. }
                | Answer::Refused { number, .. } => *number,
            };
            if of == number { Ok(answer) } else { Err(format!("an answer to question {of} for {number}")) }
        });
        if tell.send((member, answer)).is_err() {
            return;
        }
    }
}

fn hear(listener: &TcpListener, secret: &Secret, commands: &Sender<Asked>) {
    let serve = |mut stream: TcpStream| -> Option<()> {
        let by = Instant::now() + line::PATIENCE;
        let said = line::read(&mut stream, LONGEST, by).ok()?;
        let command = secret.open::<Command>(Way::ToAgent, "controller", &said).ok()?;
        let (reply, answer) = bounded(1);
        commands.send((command, reply)).ok()?;
        let status = answer.recv_timeout(line::PATIENCE).ok()?;
        line::write(&mut stream, &secret.seal(Way::FromAgent, "controller", &status)).ok()
    };
    for stream in listener.incoming().flatten() {
        _ = serve(stream);
    }
}

/// Says something to the controller that runs by a record; how it stands then.
///
/// # Errors
///
/// None runs, or it can't be understood.
pub fn command(record: &Path, key: &Path, command: Command) -> Result<Value, String> {
    let secret = secret(key)?;
    let address = fs::read_to_string(record.join(ADDRESS)).ok().and_then(|text| text.trim().parse().ok());
    let address: SocketAddr =
        address.ok_or(format!("record: {}: no controller runs there; start it first", record.display()))?;
    let line = secret.seal(Way::ToAgent, "controller", &command);
    let answer =
        line::ask(address, &line, 1 << 20).map_err(|e| format!("the controller at {address}: {e}"))?;
    secret.open(Way::FromAgent, "controller", &answer)
}

impl Run {
    fn now(&self) -> Moment {
        Moment::from_millis(self.began.elapsed().as_secs_f64() * 1000.0)
    }

    fn work(
        &mut self,
        settings: &Settings,
        inputs: &Receiver<Heard>,
        orders: &Receiver<Asked>,
        say: &mut dyn FnMut(&str),
    ) -> Result<Done, String> {
        let mut asked: Vec<Sender<Value>> = Vec::new();
        let mut first = vec![Input::ByHand(Event::Begin)];
        loop {
            if settings.stop.load(Ordering::Relaxed) {
                return Ok(Done::Stopped);
            }
            let mut heard: Vec<Heard> = match inputs.recv_timeout(BEAT) {
                Ok(one) => vec![one],
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return Err("no thread is left".into()),
            };
            heard.extend(inputs.try_iter());
            let mut events = std::mem::take(&mut first);
            events.extend(
                heard.into_iter().filter_map(|(member, answer)| self.understand(member, answer, say)),
            );
            for (command, reply) in orders.try_iter() {
                let event = match command {
                    Command::Status => None,
                    Command::Halt => Some(Event::Halt),
                    Command::GoOn => Some(Event::GoOn),
                    Command::Back => Some(Event::GoBack),
                    Command::GiveUp => Some(Event::GiveUp),
                };
                events.extend(event.map(Input::ByHand));
                asked.push(reply);
            }
            let now = self.now();
            for output in self.controller.step(now, events) {
                match output {
                    Output::Record(entry) => self.write(entry, say)?,
                    Output::Ask { member, epoch } => {
                        let say = Say::Look { number: self.next(), epoch, change: self.change.clone() };
                        // One that is still being asked is not asked again.
                        _ = self.to[member].try_send(say);
                    }
                    Output::Order { member, order } => {
                        let say = Say::Order { number: self.next(), order };
                        _ = self.to[member].try_send(say);
                    }
                    Output::Stop => return Ok(Done::Superseded),
                }
            }
            asked.drain(..).for_each(|reply| _ = reply.send(self.status()));
            self.note();
            if self.controller.steering.is_over() {
                self.noted = None;
                self.note();
                return Ok(Done::Over(self.controller.steering.phase()));
            }
        }
    }

    fn next(&mut self) -> u64 {
        self.number += 1;
        self.number
    }

    fn write(&mut self, entry: Entry, say: &mut dyn FnMut(&str)) -> Result<(), String> {
        let line = self.describe(&entry);
        self.record.add(Line::Step(entry)).map_err(|e| format!("record: {e}; nothing more is ordered"))?;
        say(&line);
        self.notes.push(line);
        Ok(())
    }

    fn describe(&self, entry: &Entry) -> String {
        let name = |member: &usize| self.controller.plan().senders[*member].name.clone();
        match entry {
            Entry::Epoch(epoch) => format!("a controller begins, epoch {epoch}"),
            Entry::Phase(phase) => format!("now: {phase:?}"),
            Entry::Because(why) => format!("because: {why}"),
            Entry::Ordered { member, id, ask } => format!("{}: order {id}, {ask:?}", name(member)),
        }
    }

    fn understand(
        &mut self,
        member: usize,
        answer: Result<Answer, String>,
        say: &mut dyn FnMut(&str),
    ) -> Option<Input> {
        match answer {
            Ok(Answer::Stands { challenge, told, .. }) => {
                let (status, counts) = (told.status, told.counts.clone());
                self.told[member] = Some(*told);
                Some(Input::Stands { member, challenge, status, counts })
            }
            Ok(Answer::Refused { refused: Refused::Epoch(epoch), .. }) => Some(Input::Superseded(epoch)),
            Ok(Answer::Refused { refused, .. }) => {
                let line = format!("{}: refused: {refused:?}", self.controller.plan().senders[member].name);
                if self.notes.last() != Some(&line) {
                    say(&line);
                    self.notes.push(line);
                }
                None
            }
            Ok(Answer::Obeys { .. }) | Err(_) => None,
        }
    }

    fn status(&self) -> Value {
        let steering = &self.controller.steering;
        let senders = self.controller.plan().senders.iter().enumerate().map(|(member, sender)| {
            let told = self.told[member].as_ref();
            let texts = told.and_then(|told| told.counts.as_ref()).map(|counts| {
                let ends = counts.products.values();
                ends.map(|ends| ends.delivered + ends.nacked + ends.undeliverable).sum::<u64>()
            });
            json!({
                "name": sender.name, "zone": sender.zone, "stage": sender.stage,
                "heard": self.controller.is_heard(member),
                "side": told.and_then(|told| told.status.running),
                "serving": told.is_some_and(|told| told.status.serving),
                "sealed": told.is_some_and(|told| told.status.sealed),
                "version": told.map(|told| told.version.clone()),
                "asked": self.controller.asked(member),
                "texts": texts,
                "trouble": told.map(|told| told.trouble.clone()),
            })
        });
        let standings = self.controller.comparison.standings().into_iter().map(|((figure, product), at)| {
            json!({"figure": figure, "product": product, "mean": at.mean, "looks": at.looks, "worse": at.worse, "fine": at.fine})
        });
        json!({
            "plan": self.controller.plan().name,
            "digest": self.controller.plan().digest,
            "epoch": steering.epoch(),
            "phase": steering.phase(),
            "stage": steering.stage(),
            "stages": self.controller.plan().stages.len(),
            "reason": steering.reason(),
            "senders": senders.collect::<Vec<_>>(),
            "figures": standings.collect::<Vec<_>>(),
        })
    }

    /// How it stands, a line a second, for the report.
    fn note(&mut self) {
        if self.noted.is_some_and(|at| at.elapsed() < NOTED_EVERY) {
            return;
        }
        self.noted = Some(Instant::now());
        let mut status = self.status();
        status["at_s"] = self.began.elapsed().as_secs_f64().into();
        status["notes"] = std::mem::take(&mut self.notes).into();
        // A report that lacks a line is no reason to stop steering.
        _ = writeln!(self.history, "{status}");
    }
}
