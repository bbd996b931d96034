//! Who is to run what, and the orders that bring it about.
//!
//! A sender counts as away unless it has said in this controller's epoch that it serves, and that what it was last asked is
//! over. No order that takes a sender away is given while as many are away as may be. So a controller that was started
//! anew, or beside another, steers nobody before it knows where everybody stands: those who answer it refuse the other.
//! Going back is the exception that a halt needs: there only orders that may still be under way count, not those that
//! can't be reached.
//!
//! Every entry is to be made to last before what comes after it in the same list is done.

use crate::agent::{Ask, Status, Which};
use crate::plan::{AfterHalt, Unclear};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// What a controller has to go by, apart from the plan's stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// How many may be away at once.
    pub away: usize,
    pub after_halt: AfterHalt,
    pub unclear: Unclear,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    Planned,
    /// This stage and those before it have the new side, or are to have it.
    Stage(usize),
    /// Nobody is asked for anything new, until somebody says how it goes on.
    Halted,
    GoingBack,
    /// All have the old side.
    Reverted,
    /// All have, or are to have, the new side for good.
    Final,
    /// Left as it is by hand.
    GivenUp,
}

/// What a comparison came to.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// New does worse, in what is said here.
    Worse(String),
    /// It is known to do no worse, for long enough.
    Fine,
    /// The time in which that had to become known is over.
    Unclear,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    Begin,
    Told(usize, Status),
    /// Not heard of for too long.
    Silent(usize),
    /// So long after its sending that this order is over if it ever came.
    Lapsed(usize, u64),
    Judged(Verdict),
    /// By hand.
    Halt,
    GoOn,
    GoBack,
    GiveUp,
    /// An agent obeys a later controller.
    Superseded(u64),
}

/// What is written down, in the order in which it happens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// A controller begins to steer under this number.
    Epoch(u64),
    Phase(Phase),
    /// Why the phase after this one.
    Because(String),
    Ordered {
        member: usize,
        id: u64,
        ask: Ask,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    Record(Entry),
    /// To be sent with this controller's epoch, again and again until its status says that it is over or it lapses.
    Order {
        member: usize,
        id: u64,
        ask: Ask,
    },
    /// Another steers; this one has nothing more to say.
    Stop,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Member {
    stage: usize,
    told: Option<Status>,
    /// The last order that the record knows of, and whether it may still be under way.
    id: u64,
    order: Option<Ask>,
    /// Going back failed there: somebody has to look.
    stuck: bool,
    /// Not heard of in this epoch: an order may be under way there that this controller doesn't know.
    unsure: bool,
}

/// Phases in which those who can't be reached hold nobody up.
fn is_back(phase: Phase) -> bool {
    matches!(phase, Phase::GoingBack | Phase::Reverted | Phase::Halted)
}

impl Member {
    fn serves(&self) -> bool {
        self.told.is_some_and(|told| told.serving)
    }

    /// Something that was asked of it may be under way there and take it away.
    fn is_at_work(&self) -> bool {
        let accepted = self.told.is_some_and(|told| told.accepted > told.done);
        self.unsure || accepted || matches!(self.order, Some(Ask::Take(_)))
    }

    fn is_away(&self, phase: Phase) -> bool {
        self.is_at_work() || (!self.serves() && !is_back(phase))
    }

    fn is_old(&self) -> bool {
        self.order.is_none() && self.told.is_some_and(|told| told.running == Some(Which::Old))
    }

    /// It has the new side and serves.
    fn is_settled(&self) -> bool {
        let new = self.told.is_some_and(|told| told.serving && told.running == Some(Which::New));
        self.order.is_none() && new
    }

    /// What it is to be asked, if anything.
    fn wanted(&self, phase: Phase) -> Option<Ask> {
        let told = self.told?;
        let which = match phase {
            Phase::Planned | Phase::GivenUp => return None,
            Phase::Stage(stage) if self.stage <= stage => Which::New,
            // What runs there may be neither side; before its turn that is nobody's business.
            Phase::Stage(_) if told.running.is_none() => return None,
            Phase::Stage(_) | Phase::GoingBack | Phase::Reverted => Which::Old,
            Phase::Final => Which::New,
            // Whoever was asked for the new side and hasn't got it yet is told to stay.
            Phase::Halted => match self.order {
                Some(Ask::Take(Which::New)) if told.accepted < self.id => Which::Old,
                _ => return None,
            },
        };
        let asked_for_other = matches!(self.order, Some(Ask::Take(other)) if other != which);
        if told.running != Some(which) || asked_for_other {
            return Some(Ask::Take(which));
        }
        (phase == Phase::Final && !told.sealed).then_some(Ask::Seal)
    }

    /// The order that it is to be given now, or once there is room: one that is at work is asked once that is over.
    fn due(&self, phase: Phase) -> Option<Ask> {
        let ask = self.wanted(phase).filter(|ask| !self.stuck && self.order != Some(*ask))?;
        self.told.is_some_and(|told| told.accepted <= told.done).then_some(ask)
    }
}

/// How the members stand, kept up as one of them changes: with 16,000 senders that answer twice a second each a walk over
/// all at each answer takes several cores.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Tally {
    /// Away by an order or because nobody knows; away as they don't serve, and nothing else.
    at_work: usize,
    gone: usize,
    /// By stage, those that don't have the new side or don't serve.
    unsettled: Vec<usize>,
    /// Those that don't have the old side, and those of them that aren't stuck.
    not_old: usize,
    not_old_nor_stuck: usize,
    /// Those that wait for an order: for one that takes nobody away who isn't, and for one that is given while there is room.
    at_once: BTreeSet<usize>,
    in_turn: BTreeSet<usize>,
}

impl Tally {
    /// Adds a member as it stands, or takes it out again before it changes.
    fn count(&mut self, phase: Phase, at: usize, member: &Member, adds: bool) {
        let add = |number: &mut usize, counts: bool| match counts {
            true if adds => *number += 1,
            true => *number -= 1,
            false => {}
        };
        add(&mut self.at_work, member.is_at_work());
        add(&mut self.gone, !member.is_at_work() && !member.serves());
        add(&mut self.unsettled[member.stage], !member.is_settled());
        add(&mut self.not_old, !member.is_old());
        add(&mut self.not_old_nor_stuck, !member.is_old() && !member.stuck);
        if let Some(ask) = member.due(phase) {
            let takes = matches!(ask, Ask::Take(_)) && !member.is_away(phase);
            let waits = if takes { &mut self.in_turn } else { &mut self.at_once };
            if adds {
                waits.insert(at)
            } else {
                waits.remove(&at)
            };
        }
    }

    fn of(phase: Phase, stages: usize, members: &[Member]) -> Tally {
        let mut tally = Tally { unsettled: vec![0; stages], ..Tally::default() };
        for (at, member) in members.iter().enumerate() {
            tally.count(phase, at, member, true);
        }
        tally
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Steering {
    bounds: Bounds,
    epoch: u64,
    phase: Phase,
    /// The stage that was reached, also while halted.
    stage: usize,
    stages: usize,
    members: Vec<Member>,
    /// Of `members` while in the phase that is `tallied`.
    tally: Tally,
    tallied: Phase,
    reason: String,
    stopped: bool,
    actions: Vec<Action>,
}

impl Steering {
    /// `stages` says for each sender in which stage it is, counted from 0; `entries` is the record so far. The first actions
    /// claim an epoch above all that the record knows.
    pub fn begin(bounds: Bounds, stages: &[usize], entries: &[Entry]) -> (Steering, Vec<Action>) {
        let member = |stage: &usize| Member {
            stage: *stage,
            told: None,
            id: 0,
            order: None,
            stuck: false,
            unsure: true,
        };
        let mut steering = Steering {
            bounds,
            epoch: 0,
            phase: Phase::Planned,
            stage: 0,
            stages: stages.iter().max().map_or(0, |last| last + 1),
            members: stages.iter().map(member).collect(),
            tally: Tally::default(),
            tallied: Phase::Planned,
            reason: String::new(),
            stopped: false,
            actions: Vec::new(),
        };
        for entry in entries {
            match entry {
                Entry::Epoch(epoch) => steering.epoch = steering.epoch.max(*epoch),
                Entry::Phase(phase) => {
                    steering.phase = *phase;
                    if let Phase::Stage(stage) = phase {
                        steering.stage = *stage;
                    }
                }
                Entry::Because(reason) => steering.reason.clone_from(reason),
                Entry::Ordered { member, id, ask } => {
                    // Whether it was ever sent nobody knows.
                    if let Some(member) = steering.members.get_mut(*member) {
                        (member.id, member.order) = (*id, Some(*ask));
                    }
                }
            }
        }
        steering.epoch += 1;
        steering.recount();
        steering.actions.push(Action::Record(Entry::Epoch(steering.epoch)));
        let actions = steering.take();
        (steering, actions)
    }

    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Why the change was halted last.
    pub fn reason(&self) -> &str {
        &self.reason
    }

    pub fn stage(&self) -> usize {
        self.stage
    }

    /// The number of the last order to a sender, if something that was asked of it may be under way there.
    pub fn unsure(&self, member: usize) -> Option<u64> {
        let member = &self.members[member];
        (member.unsure || member.order.is_some()).then_some(member.id)
    }

    /// The order to a sender that may still be under way.
    pub fn order(&self, member: usize) -> Option<(u64, Ask)> {
        self.members.get(member).and_then(|member| Some((member.id, member.order?)))
    }

    pub fn told(&self, member: usize) -> Option<Status> {
        self.members.get(member)?.told
    }

    pub fn stage_of(&self, member: usize) -> usize {
        self.members[member].stage
    }

    /// Whether everybody whom the stage concerns has the new side and serves.
    pub fn is_settled(&self) -> bool {
        let Phase::Stage(stage) = self.phase else { return false };
        self.tally.unsettled.iter().take(stage + 1).all(|unsettled| *unsettled == 0)
    }

    /// Whether there is anything left to steer.
    pub fn is_over(&self) -> bool {
        let all = |which: Which, sealed: bool| {
            self.members.iter().all(|member| {
                let told = member.told.is_some_and(|t| t.running == Some(which) && (t.sealed || !sealed));
                member.order.is_none() && told
            })
        };
        match self.phase {
            Phase::Reverted => all(Which::Old, false),
            Phase::Final => all(Which::New, true),
            Phase::GivenUp => true,
            _ => self.stopped,
        }
    }

    pub fn step(&mut self, event: Event) -> Vec<Action> {
        if self.stopped {
            return Vec::new();
        }
        let touched = match &event {
            Event::Told(member, _) | Event::Silent(member) | Event::Lapsed(member, _) => Some(*member),
            _ => None,
        };
        if let Some(at) = touched {
            self.tally.count(self.tallied, at, &self.members[at], false);
        }
        match event {
            Event::Begin if self.phase == Phase::Planned => self.enter(Phase::Stage(0)),
            Event::Told(member, status) => self.told_by(member, status),
            Event::Silent(member) => self.members[member].told = None,
            Event::Lapsed(member, id) => {
                let member = &mut self.members[member];
                if member.id == id && member.told.is_none_or(|told| told.accepted < id) {
                    (member.order, member.unsure) = (None, false);
                }
            }
            Event::Judged(verdict) => self.judged(verdict),
            Event::Halt if self.is_under_way() => self.halt("by hand", false),
            Event::GoOn if self.phase == Phase::Halted => self.enter(Phase::Stage(self.stage)),
            Event::GoBack if matches!(self.phase, Phase::Stage(_) | Phase::Halted | Phase::GoingBack) => {
                self.members.iter_mut().for_each(|member| member.stuck = false);
                self.enter(Phase::GoingBack);
                self.recount();
            }
            Event::GiveUp if self.phase == Phase::Halted => self.enter(Phase::GivenUp),
            Event::Superseded(epoch) if epoch > self.epoch => {
                self.stopped = true;
                self.actions.push(Action::Stop);
            }
            _ => {}
        }
        if let Some(at) = touched {
            self.tally.count(self.tallied, at, &self.members[at], true);
        }
        if !self.stopped {
            self.advance();
            self.steer();
        }
        debug_assert_eq!(self.tally, Tally::of(self.tallied, self.stages, &self.members));
        self.take()
    }

    fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// After what concerns all: another phase, or nobody stuck any more.
    fn recount(&mut self) {
        self.tally = Tally::of(self.phase, self.stages, &self.members);
        self.tallied = self.phase;
    }

    fn is_under_way(&self) -> bool {
        matches!(self.phase, Phase::Stage(_))
    }

    fn enter(&mut self, phase: Phase) {
        if self.phase != phase {
            self.phase = phase;
            if let Phase::Stage(stage) = phase {
                self.stage = stage;
            }
            self.actions.push(Action::Record(Entry::Phase(phase)));
        }
    }

    fn halt(&mut self, why: &str, back: bool) {
        self.reason = why.to_owned();
        self.actions.push(Action::Record(Entry::Because(why.to_owned())));
        let back = back && self.bounds.after_halt == AfterHalt::Back;
        self.enter(if back { Phase::GoingBack } else { Phase::Halted });
    }

    fn told_by(&mut self, at: usize, status: Status) {
        if status.epoch > self.epoch {
            self.stopped = true;
            self.actions.push(Action::Stop);
            return;
        }
        // Said before it knew of this controller: it may obey another since.
        if status.epoch < self.epoch {
            return;
        }
        let under_way = self.is_under_way();
        let member = &mut self.members[at];
        // An answer that was overtaken by a later one says nothing of now.
        if member.told.is_some_and(|told| told.accepted > status.accepted || told.done > status.done) {
            return;
        }
        let unknown = status.accepted > member.id;
        if std::mem::replace(&mut member.unsure, false) && status.accepted < member.id {
            // Given under an earlier epoch and not accepted by then, it is refused from now on. Whether it is wanted still,
            // and may be given yet, is decided anew.
            member.order = None;
        }
        member.told = Some(status);
        if unknown {
            // Orders that the record lacks: whoever gave them may have had reasons that it lacks as well.
            (member.id, member.order) = (status.accepted, None);
            if under_way || self.phase == Phase::Planned {
                self.halt("a sender has had orders that the record doesn't know", false);
            }
            return;
        }
        let was = member.order.filter(|_| status.done >= member.id);
        if was.is_some() {
            member.order = None;
        }
        match was {
            Some(Ask::Take(Which::Old)) if status.failed => member.stuck = true,
            Some(Ask::Take(Which::New)) if status.failed && under_way => {
                self.halt(&format!("sender {at} could not take the new side"), true);
                return;
            }
            _ => {}
        }
        if under_way && status.crashed && status.running == Some(Which::New) {
            self.halt(&format!("the new side ended by itself on sender {at}"), true);
        }
    }

    fn judged(&mut self, verdict: Verdict) {
        let Phase::Stage(stage) = self.phase else { return };
        match verdict {
            Verdict::Worse(what) => self.halt(&what, true),
            Verdict::Fine if self.is_settled() => self.next(stage),
            Verdict::Unclear if self.bounds.unclear == Unclear::GoOn && self.is_settled() => self.next(stage),
            Verdict::Unclear if self.bounds.unclear == Unclear::Halt => {
                self.halt("it did not become known whether new does worse", false);
            }
            _ => {}
        }
    }

    fn next(&mut self, stage: usize) {
        self.enter(if stage + 1 < self.stages { Phase::Stage(stage + 1) } else { Phase::Final });
    }

    /// Phases that end by themselves.
    fn advance(&mut self) {
        if self.phase != Phase::GoingBack {
            return;
        }
        if self.tally.not_old == 0 {
            self.enter(Phase::Reverted);
        } else if self.tally.not_old_nor_stuck == 0 {
            let stuck = |(at, member): (usize, &Member)| member.stuck.then(|| at.to_string());
            let stuck: Vec<String> = self.members.iter().enumerate().filter_map(stuck).collect();
            self.halt(&format!("going back failed on sender {}", stuck.join(", ")), false);
        }
    }

    fn steer(&mut self) {
        if self.tallied != self.phase {
            self.recount();
        }
        let away = self.tally.at_work + if is_back(self.phase) { 0 } else { self.tally.gone };
        let room = self.bounds.away.saturating_sub(away);
        let mut asked: Vec<usize> = self.tally.at_once.iter().copied().collect();
        asked.extend(self.tally.in_turn.iter().take(room));
        asked.sort_unstable();
        for at in asked {
            let member = &mut self.members[at];
            let Some((ask, told)) = member.due(self.phase).zip(member.told) else { continue };
            self.tally.count(self.phase, at, member, false);
            member.id = member.id.max(told.accepted) + 1;
            member.order = Some(ask);
            let id = member.id;
            self.tally.count(self.phase, at, member, true);
            self.actions.push(Action::Record(Entry::Ordered { member: at, id, ask }));
            self.actions.push(Action::Order { member: at, id, ask });
        }
    }

    /// Senders that didn't come back when they were asked to.
    pub fn stuck(&self) -> BTreeSet<usize> {
        (0..self.members.len()).filter(|at| self.members[*at].stuck).collect()
    }
}
