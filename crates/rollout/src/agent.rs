//! The side of one machine: which orders are obeyed, and what is done about them.
//!
//! An agent obeys the highest epoch that it has heard, each order once, and only one that was made on its own latest
//! challenge and came soon after it: an order that lay about somewhere, or in this very process while it stood still, is
//! of no effect. What it has promised is written down before it is acted upon. Its own end changes nothing about the
//! sender, which serves on.

use indigomast::time::{Moment, Span};
use serde::{Deserialize, Serialize};

/// One of the two sides of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Which {
    Old,
    New,
}

/// What a controller asks of a sender's machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ask {
    /// Have this side serve.
    Take(Which),
    /// The change is final: formats may be written that only the new side reads.
    Seal,
}

/// An order as it comes. `id` grows for each sender with each order, whoever the controller is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    pub epoch: u64,
    pub id: u64,
    pub ask: Ask,
    /// The challenge that it answers.
    pub challenge: u64,
}

/// What an agent says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Status {
    /// The highest epoch heard: orders of lower ones are refused from now on.
    pub epoch: u64,
    /// The last order that was accepted, and the last that is over.
    pub accepted: u64,
    pub done: u64,
    /// The last one could not be carried out; what ran before runs again.
    pub failed: bool,
    /// What runs; nothing where it is neither side, or nothing runs.
    pub running: Option<Which>,
    pub serving: bool,
    /// The side that runs has ended by itself since it was taken.
    pub crashed: bool,
    pub sealed: bool,
}

/// What outlasts an agent's own end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Promised {
    pub epoch: u64,
    pub accepted: u64,
    /// Of the last order accepted.
    pub ask: Option<Ask>,
    pub done: u64,
    pub failed: bool,
    pub sealed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A controller of this epoch has spoken since.
    Epoch(u64),
    /// One with this id or a later one has been accepted.
    Known(u64),
    /// It answers no challenge, or an old one.
    Stale,
    /// One is being carried out.
    Busy,
    /// What is promised can't be written down.
    Unwritten,
    /// There is no way back.
    Sealed,
}

/// What the machine's carrier has to do, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Make it last; if that fails nothing after it is done, and [`Agent::unwritten`] is told.
    Write(Promised),
    Carry(Ask),
}

/// How long after its challenge an order may come. The controller counts on it: beyond this and the time that
/// carrying out takes, an order that nobody heard of is of no effect.
pub const FRESH: Span = Span::millis(2000);

#[derive(Clone, Debug, PartialEq)]
pub struct Agent {
    promised: Promised,
    before: Promised,
    busy: Option<Ask>,
    challenge: Option<(u64, Moment)>,
    heard: Option<Moment>,
    /// After so long without a word the new side is given up, unless it was sealed.
    patience: Option<Span>,
    running: Option<Which>,
    serving: bool,
    crashed: bool,
}

impl Agent {
    /// With what an earlier life had promised. An order that was accepted and isn't over is to be carried out again: the
    /// carrier does that first, and what it does has the same effect twice as once.
    pub fn new(promised: Promised, patience: Option<Span>) -> (Agent, Option<Ask>) {
        let busy = promised.ask.filter(|_| promised.accepted > promised.done);
        let agent = Agent {
            promised,
            before: promised,
            busy,
            challenge: None,
            heard: None,
            patience,
            running: None,
            serving: false,
            crashed: false,
        };
        (agent, busy)
    }

    pub fn promised(&self) -> Promised {
        self.promised
    }

    /// What runs now, as far as the carrier can see.
    pub fn sees(&mut self, running: Option<Which>, serving: bool) {
        (self.running, self.serving) = (running, serving);
    }

    /// What ran ended by itself.
    pub fn crashed(&mut self) {
        self.crashed = true;
    }

    pub fn status(&self) -> Status {
        let Promised { epoch, accepted, done, failed, sealed, .. } = self.promised;
        let (running, serving, crashed) = (self.running, self.serving, self.crashed);
        Status { epoch, accepted, done, failed, running, serving, crashed, sealed }
    }

    /// A controller asks how it stands. Its epoch binds once it is written down; the answer bears `challenge`, which has to
    /// be one that nobody can foresee.
    ///
    /// # Errors
    ///
    /// A later controller has spoken.
    pub fn look(&mut self, now: Moment, epoch: u64, challenge: u64) -> Result<Vec<Act>, Refusal> {
        if epoch < self.promised.epoch {
            return Err(Refusal::Epoch(self.promised.epoch));
        }
        self.heard = Some(now);
        self.challenge = Some((challenge, now));
        if epoch == self.promised.epoch {
            return Ok(Vec::new());
        }
        self.before = self.promised;
        self.promised.epoch = epoch;
        Ok(vec![Act::Write(self.promised)])
    }

    /// # Errors
    ///
    /// Why nothing is done about it.
    pub fn order(&mut self, now: Moment, order: Order) -> Result<Vec<Act>, Refusal> {
        let Promised { epoch, accepted, sealed, .. } = self.promised;
        if order.epoch != epoch {
            return Err(Refusal::Epoch(epoch));
        }
        if order.id <= accepted {
            return Err(Refusal::Known(accepted));
        }
        if self.busy.is_some() {
            return Err(Refusal::Busy);
        }
        if sealed && order.ask == Ask::Take(Which::Old) {
            return Err(Refusal::Sealed);
        }
        // One challenge is good for one order.
        let fresh = self.challenge.take_if(|(challenge, _)| *challenge == order.challenge);
        if fresh.is_none_or(|(_, at)| now.since(at) > FRESH) {
            return Err(Refusal::Stale);
        }
        self.heard = Some(now);
        self.before = self.promised;
        self.promised = Promised { accepted: order.id, ask: Some(order.ask), failed: false, ..self.promised };
        self.busy = Some(order.ask);
        Ok(vec![Act::Write(self.promised), Act::Carry(order.ask)])
    }

    /// The last write did not last: it is as if nothing had been heard.
    pub fn unwritten(&mut self) {
        self.promised = self.before;
        self.busy = None;
    }

    /// What was to be carried out is over.
    pub fn carried(&mut self, well: bool) -> Vec<Act> {
        let Some(ask) = self.busy.take() else { return Vec::new() };
        self.before = self.promised;
        self.promised.done = self.promised.accepted;
        self.promised.failed = !well;
        self.promised.sealed |= well && ask == Ask::Seal;
        if matches!(ask, Ask::Take(_)) {
            self.crashed = false;
        }
        vec![Act::Write(self.promised)]
    }

    /// Whether it goes back by itself now: it has the new side, and nobody has spoken to it for too long. It says so once in
    /// that time, should it not come to it.
    pub fn gives_up(&mut self, now: Moment) -> bool {
        let heard = *self.heard.get_or_insert(now);
        let long = self.patience.is_some_and(|patience| now.since(heard) >= patience);
        let new = self.running == Some(Which::New) && !self.promised.sealed;
        let gives_up = long && new && self.busy.is_none();
        if gives_up {
            self.heard = Some(now);
        }
        gives_up
    }

    pub fn is_busy(&self) -> bool {
        self.busy.is_some()
    }
}
