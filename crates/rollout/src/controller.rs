//! A change over time: whom to ask when, what is out, what is too late, when a stage has lasted long enough.

use crate::agent::{Ask, FRESH, Order, Status, Which};
use crate::compare::{Comparison, Counts, Outcome};
use crate::plan::Plan;
use crate::steering::{Action, Bounds, Entry, Event, Phase, Steering, Verdict};
use indigomast::time::{Moment, Span};
use std::collections::BTreeSet;

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

impl Contact {
    /// All have to have had so many texts before this one may pass for mute, or one fewer; None if nothing is known of it.
    fn mute_from(&self) -> Option<u64> {
        let part = self.own_before as f64 / self.all_before.max(1) as f64;
        let texts = (MUTE_TEXTS / part).floor() as u64;
        (self.own_before >= KNOWN_TEXTS).then(|| self.all.saturating_add(texts).saturating_sub(1))
    }
}

/// Contacts in the order in which something is due of them: an answer of one must not cost a walk over all.
#[derive(Clone, Debug, Default)]
struct Due {
    /// By when each was asked last.
    asked: BTreeSet<(Moment, usize)>,
    /// By when it was heard of last, those that aren't silent.
    heard: BTreeSet<(Moment, usize)>,
    silent: BTreeSet<usize>,
    /// By [`Contact::mute_from`].
    mute: BTreeSet<(u64, usize)>,
}

pub struct Controller {
    plan: Plan,
    pub steering: Steering,
    pub comparison: Comparison,
    contacts: Vec<Contact>,
    due: Due,
    last_stage: usize,
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
            due: Due {
                asked: (0..plan.senders.len()).map(|member| (Moment::default(), member)).collect(),
                heard: (0..plan.senders.len()).map(|member| (Moment::default(), member)).collect(),
                ..Due::default()
            },
            last_stage: plan.senders.iter().map(|sender| sender.stage).max().unwrap_or(0),
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
        let mut asked = Vec::new();
        while let Some((at, member)) = self.due.asked.first().copied()
            && now.since(at) >= ASKED_EVERY
        {
            self.due.asked.pop_first();
            asked.push(member);
        }
        asked.sort_unstable();
        self.due.asked.extend(asked.iter().map(|member| (now, *member)));
        outputs.extend(asked.into_iter().map(|member| Output::Ask { member, epoch }));
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
        self.due.silent.remove(&member);
        self.due.heard.remove(&(contact.heard.unwrap_or_default(), member));
        self.due.heard.insert((now, member));
        let mute_from = contact.mute_from();
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
        let now_from = self.contacts[member].mute_from();
        if now_from != mute_from {
            mute_from.map(|from| self.due.mute.remove(&(from, member)));
            now_from.map(|from| self.due.mute.insert((from, member)));
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
        let late = self.due.heard.iter().take_while(|(heard, _)| now.since(*heard) >= SILENT);
        let mut members: Vec<usize> = late.map(|(_, member)| *member).collect();
        members.extend(&self.due.silent);
        members.sort_unstable();
        for member in members {
            let contact = &mut self.contacts[member];
            if !contact.silent {
                contact.silent = true;
                self.due.heard.remove(&(contact.heard.unwrap_or_default(), member));
                self.due.silent.insert(member);
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
            let from = self.contacts.iter().enumerate();
            self.due.mute = from.filter_map(|(at, contact)| Some((contact.mute_from()?, at))).collect();
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
        let alone = self.last_stage <= stage;
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
        let due = self.due.mute.range(..=(self.all_texts, usize::MAX));
        let mute = due.map(|(_, at)| *at).filter(|at| {
            let (contact, told) = (&self.contacts[*at], self.steering.told(*at));
            let part = contact.own_before as f64 / contact.all_before.max(1) as f64;
            let expected = part * self.all_texts.saturating_sub(contact.all) as f64;
            told.is_some_and(|told| told.serving && told.running == Some(Which::New))
                && contact.own_before >= KNOWN_TEXTS
                && now.since(contact.grew) >= MUTE
                && expected >= MUTE_TEXTS
        });
        let at = mute.min()?;
        Some(format!("sender {} says that it serves and takes nothing", self.plan.senders[at].name))
    }

    /// What a sender is being asked, for people.
    pub fn asked(&self, member: usize) -> Option<Ask> {
        self.steering.order(member).map(|(_, ask)| ask)
    }
}
