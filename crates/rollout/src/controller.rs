//! A change over time: whom to ask when, what is out, what is too late, when a stage has lasted long enough.

use crate::agent::{Ask, FRESH, Order, Status, Which};
use crate::compare::{Comparison, Counts, Outcome};
use crate::plan::Plan;
use crate::steering::{Action, Bounds, Entry, Event, Phase, Steering, Verdict};
use indigomast::time::{Moment, Span};

/// How often each sender is asked, and after how long without an answer it counts as silent.
pub const ASKED_EVERY: Span = Span::millis(500);
pub const SILENT: Span = Span::millis(3000);
/// Clocks of two machines are no further apart over such times than this part; an order is given so much longer.
const DRIFT: f64 = 1.1;
/// A side that takes nothing for so long is mute, if by its part of all texts while it had the old side it would have had so
/// many: chance alone leaves it without any once in e to that power. Of a sender with fewer texts before nothing is known.
const MUTE: Span = Span::millis(10_000);
const MUTE_TEXTS: f64 = 25.0;
const KNOWN_TEXTS: u64 = 25;

#[derive(Clone, Debug)]
pub enum Input {
    /// A sender's answer to a question.
    Stands {
        member: usize,
        challenge: u64,
        status: Status,
        counts: Option<Counts>,
    },
    /// Its agent obeys a controller of this epoch.
    Superseded(u64),
    ByHand(Event),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// To be made to last before anything after it; if it can't be, nothing after it is done, and this controller is
    /// started anew from what the record holds.
    Record(Entry),
    Ask {
        member: usize,
        epoch: u64,
    },
    Order {
        member: usize,
        order: Order,
    },
    /// Another steers.
    Stop,
}

#[derive(Clone, Debug)]
struct Contact {
    asked: Option<Moment>,
    heard: Option<Moment>,
    silent: bool,
    /// When an order was last sent that may be under way; from the start on, for those of an earlier life.
    sent: Moment,
    texts: u64,
    life: u64,
    grew: Moment,
    /// What all had had by then.
    all: u64,
    /// While it had the old side: its own texts, and those of all.
    own_before: u64,
    all_before: u64,
}

pub struct Controller {
    plan: Plan,
    pub steering: Steering,
    pub comparison: Comparison,
    contacts: Vec<Contact>,
    compared: Option<usize>,
    stage_began: Moment,
    settled: Option<Moment>,
    all_texts: u64,
    first: Vec<Output>,
}

impl Controller {
    pub fn new(plan: Plan, entries: &[Entry], now: Moment) -> Controller {
        let limits = plan.limits;
        let bounds = Bounds { away: limits.away, after_halt: limits.after_halt, unclear: limits.unclear };
        let (steering, actions) = Steering::begin(bounds, &plan.members(), entries);
        let contact = Contact {
            asked: None,
            heard: None,
            silent: false,
            sent: now,
            texts: 0,
            life: 0,
            grew: now,
            all: 0,
            own_before: 0,
            all_before: 0,
        };
        let mut controller = Controller {
            comparison: Comparison::new(plan.compare),
            contacts: vec![contact; plan.senders.len()],
            compared: None,
            stage_began: now,
            settled: None,
            all_texts: 0,
            first: Vec::new(),
            plan,
            steering,
        };
        controller.first = controller.out(actions);
        controller
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Whether a sender has been heard of lately.
    pub fn is_heard(&self, member: usize) -> bool {
        self.contacts[member].heard.is_some() && !self.contacts[member].silent
    }

    /// An order is over for good this long after it was last sent, whether or not anybody heard of it.
    pub fn lapse(&self) -> Span {
        // The side that is to serve may need its time, and where it doesn't, the one before needs its own.
        (FRESH + Span::from_millis(self.plan.limits.start_s * 2000.0 + 1000.0)) * DRIFT
    }

    pub fn step(&mut self, now: Moment, inputs: Vec<Input>) -> Vec<Output> {
        let mut outputs = std::mem::take(&mut self.first);
        for input in inputs {
            match input {
                Input::Stands { member, challenge, status, counts } => {
                    self.stands(now, member, status, counts, &mut outputs);
                    self.send(now, member, challenge, &mut outputs);
                }
                Input::Superseded(epoch) => self.tell(Event::Superseded(epoch), &mut outputs),
                Input::ByHand(event) => self.tell(event, &mut outputs),
            }
        }
        self.watch_contacts(now, &mut outputs);
        self.judge(now, &mut outputs);
        let epoch = self.steering.epoch();
        for (member, contact) in self.contacts.iter_mut().enumerate() {
            if contact.asked.is_none_or(|asked| now.since(asked) >= ASKED_EVERY) {
                contact.asked = Some(now);
                outputs.push(Output::Ask { member, epoch });
            }
        }
        outputs
    }

    fn tell(&mut self, event: Event, outputs: &mut Vec<Output>) {
        let actions = self.steering.step(event);
        outputs.extend(self.out(actions));
    }

    /// An order itself waits for the sender's next challenge.
    fn out(&self, actions: Vec<Action>) -> Vec<Output> {
        let one = |action| match action {
            Action::Record(entry) => Some(Output::Record(entry)),
            Action::Order { .. } => None,
            Action::Stop => Some(Output::Stop),
        };
        actions.into_iter().filter_map(one).collect()
    }

    fn stands(
        &mut self,
        now: Moment,
        member: usize,
        status: Status,
        counts: Option<Counts>,
        outputs: &mut Vec<Output>,
    ) {
        let contact = &mut self.contacts[member];
        (contact.heard, contact.silent) = (Some(now), false);
        if let (Some(counts), Some(side), true) = (counts, status.running, status.serving) {
            let texts =
                counts.products.values().map(|ends| ends.delivered + ends.nacked + ends.undeliverable);
            let texts = texts.sum::<u64>();
            let same = contact.life == counts.life;
            let more = texts.saturating_sub(if same { contact.texts } else { 0 });
            self.all_texts += more;
            if side == Which::Old && same {
                contact.own_before += more;
                contact.all_before += self.all_texts.saturating_sub(contact.all);
            }
            if more > 0 || side == Which::Old {
                (contact.grew, contact.all) = (now, self.all_texts);
            }
            (contact.texts, contact.life) = (texts, counts.life);
            let zone = &self.plan.senders[member].zone;
            self.comparison.hear(now, member, zone, side, counts);
        } else {
            // Its time begins when it serves.
            (contact.grew, contact.all) = (now, self.all_texts);
        }
        self.tell(Event::Told(member, status), outputs);
    }

    /// What a sender is to be asked goes out on its own newest challenge.
    fn send(&mut self, now: Moment, member: usize, challenge: u64, outputs: &mut Vec<Output>) {
        let Some((id, ask)) = self.steering.order(member) else { return };
        let Some(told) = self.steering.told(member) else { return };
        if told.accepted >= id || told.accepted > told.done {
            return;
        }
        self.contacts[member].sent = now;
        let order = Order { epoch: self.steering.epoch(), id, ask, challenge };
        outputs.push(Output::Order { member, order });
    }

    fn watch_contacts(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let lapse = self.lapse();
        for member in 0..self.contacts.len() {
            let contact = &mut self.contacts[member];
            let late = contact.heard.is_none_or(|heard| now.since(heard) >= SILENT);
            if late && !contact.silent {
                contact.silent = true;
                self.tell(Event::Silent(member), outputs);
            }
            let contact = &self.contacts[member];
            if let Some(id) = self.steering.unsure(member)
                && contact.silent
                && now.since(contact.sent) >= lapse
            {
                self.tell(Event::Lapsed(member, id), outputs);
            }
        }
    }

    fn judge(&mut self, now: Moment, outputs: &mut Vec<Output>) {
        let Phase::Stage(stage) = self.steering.phase() else {
            self.compared = None;
            return;
        };
        if self.compared != Some(stage) {
            self.compared = Some(stage);
            (self.stage_began, self.settled) = (now, None);
            self.comparison.begin_stage();
            for contact in &mut self.contacts {
                (contact.grew, contact.all) = (now, self.all_texts);
            }
        }
        self.comparison.look(now);
        if !self.steering.is_settled() {
            self.settled = None;
        } else if self.settled.is_none() {
            self.settled = Some(now);
        }
        let terms = self.plan.stages[stage];
        let lasted = self.settled.is_some_and(|since| now.since(since) >= terms.least);
        let enough = lasted && self.comparison.new_texts >= terms.least_texts;
        // With nobody left to compare with, time alone has to do.
        let alone = self.plan.senders.iter().all(|sender| sender.stage <= stage);
        let verdict = match (self.mute(now), self.comparison.outcome()) {
            (Some(mute), _) => Some(Verdict::Worse(mute)),
            (None, Outcome::Worse(what)) => Some(Verdict::Worse(what)),
            (None, Outcome::Fine) if enough => Some(Verdict::Fine),
            (None, Outcome::NotKnown(_)) if enough && alone => Some(Verdict::Fine),
            (None, Outcome::Fine | Outcome::NotKnown(_)) => {
                let late = now.since(self.stage_began).as_secs() >= self.plan.limits.unclear_s;
                late.then_some(Verdict::Unclear)
            }
        };
        if let Some(verdict) = verdict {
            self.tell(Event::Judged(verdict), outputs);
        }
    }

    /// One that says that it serves and takes nothing, while others do.
    fn mute(&self, now: Moment) -> Option<String> {
        let at = (0..self.contacts.len()).find(|at| {
            let (contact, told) = (&self.contacts[*at], self.steering.told(*at));
            let part = contact.own_before as f64 / contact.all_before.max(1) as f64;
            let expected = part * self.all_texts.saturating_sub(contact.all) as f64;
            told.is_some_and(|told| told.serving && told.running == Some(Which::New))
                && contact.own_before >= KNOWN_TEXTS
                && now.since(contact.grew) >= MUTE
                && expected >= MUTE_TEXTS
        })?;
        Some(format!("sender {} says that it serves and takes nothing", self.plan.senders[at].name))
    }

    /// What a sender is being asked, for people.
    pub fn asked(&self, member: usize) -> Option<Ask> {
        self.steering.order(member).map(|(_, ask)| ask)
    }
}
