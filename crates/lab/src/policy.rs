//! What can decide in place of the module, for comparison in simulated time only.
//!
//! The plain ones are baselines that a reader can hold in the head; one is known to be bad, so that the judge can be
//! seen to catch it; the clairvoyant one sees the true state of all gateways and marks what is within reach.

use indigomast::api::*;
use indigomast::rules::Rules;
use indigomast::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// The true state of the gateways, of which only the clairvoyant policy makes use.
pub trait Snapshot {
    /// Calls that an endpoint would start at once.
    fn room(&self, endpoint: EndpointId) -> usize;
}

pub trait Policy {
    fn step(&mut self, now: Moment, events: Vec<Event>, snapshot: &dyn Snapshot) -> Vec<Action>;

    /// The windows of the destinations that have one.
    fn windows(&self) -> Vec<(DestId, usize)> {
        Vec::new()
    }
}

impl Policy for Rules {
    fn step(&mut self, now: Moment, events: Vec<Event>, _: &dyn Snapshot) -> Vec<Action> {
        Rules::step(self, now, events)
    }

    fn windows(&self) -> Vec<(DestId, usize)> {
        Rules::windows(self).collect()
    }
}

/// The names by which policies are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Name {
    /// The decisions of the project.
    Module,
    /// One submit for each text.
    OneTry,
    /// Known to be bad: again at once after each failure, whatever it was; waits, doubt, order and drains ignored.
    RetryAtOnce,
    /// A fixed number of calls out to each destination, exponential waits, all rules as far as one text tells.
    FixedWindow,
    /// Sends where there is room in truth.
    Clairvoyant,
}

pub const ALL: [Name; 5] =
    [Name::Module, Name::OneTry, Name::RetryAtOnce, Name::FixedWindow, Name::Clairvoyant];

impl Name {
    pub fn as_str(self) -> &'static str {
        match self {
            Name::Module => "module",
            Name::OneTry => "one-try",
            Name::RetryAtOnce => "retry-at-once",
            Name::FixedWindow => "fixed-window",
            Name::Clairvoyant => "clairvoyant",
        }
    }

    pub fn parse(name: &str) -> Result<Name, String> {
        let known = || ALL.map(Name::as_str).join(", ");
        ALL.into_iter()
            .find(|known| known.as_str() == name)
            .ok_or_else(|| format!("{name:?} is no policy; there are {}", known()))
    }

    pub fn build(self, settings: Settings, seed: u64) -> Box<dyn Policy> {
        match self {
            Name::Module => Box::new(Rules::new(settings, seed)),
            style => Box::new(Baseline::new(style, settings)),
        }
    }
}

/// How often a baseline looks again.
const BEAT: Span = Span::millis(20);
const MARGIN: Span = Span::millis(28);
const CUT: Span = Span::millis(12);
const FIRST_PAUSE: Span = Span::millis(250);
const LONGEST_PAUSE: Span = Span::millis(8_000);
/// Texts of one hold that are looked at for one that may go.
const LOOKED_AT: usize = 64;

struct Text {
    handed: AcceptedText,
    submits: usize,
    doubt: Option<Moment>,
    out: bool,
    over: bool,
}

#[derive(Default)]
struct Dest {
    endpoints: Vec<EndpointId>,
    /// By when they may go, then by age.
    queue: BTreeSet<(Moment, TextId)>,
    out: usize,
    wait_until: Moment,
    turn: usize,
}

#[derive(Default)]
struct Line {
    texts: Vec<TextId>,
    rest_until: Moment,
}

struct Baseline {
    style: Name,
    settings: Settings,
    texts: BTreeMap<TextId, Text>,
    dests: BTreeMap<DestId, Dest>,
    lines: BTreeMap<KeyId, Line>,
    of: BTreeMap<EndpointId, DestId>,
    ends: BTreeSet<(Moment, TextId)>,
    out: usize,
    held: usize,
    woken: Moment,
    actions: Vec<Action>,
    now: Moment,
}

impl Baseline {
    fn new(style: Name, settings: Settings) -> Baseline {
        Baseline {
            style,
            settings,
            texts: BTreeMap::new(),
            dests: BTreeMap::new(),
            lines: BTreeMap::new(),
            of: BTreeMap::new(),
            ends: BTreeSet::new(),
            out: 0,
            held: 0,
            woken: Moment::default(),
            actions: Vec::new(),
            now: Moment::default(),
        }
    }

    fn is_reckless(&self) -> bool {
        self.style == Name::RetryAtOnce
    }

    fn listed(&mut self, scope: Scope, entries: Vec<Entry>) {
        if matches!(scope, Scope::Complete | Scope::Persisted) && !self.is_reckless() {
            self.dests.values_mut().for_each(|dest| dest.endpoints.clear());
        }
        for entry in entries {
            self.of.insert(entry.endpoint, entry.dest);
            let dest = self.dests.entry(entry.dest).or_default();
            let known = dest.endpoints.contains(&entry.endpoint);
            match entry.condition {
                Condition::Running if !known => dest.endpoints.push(entry.endpoint),
                Condition::Running => {}
                _ if self.style == Name::RetryAtOnce => {}
                _ => dest.endpoints.retain(|id| *id != entry.endpoint),
            }
        }
    }

    fn taken(&mut self, handed: AcceptedText, past: SubmitHistory) {
        let id = handed.text;
        let ordered = self.settings.products[handed.product.0].in_order;
        if let Some(key) = handed.key.filter(|_| ordered) {
            self.lines.entry(key).or_default().texts.push(id);
        }
        self.ends.insert((handed.valid_until - MARGIN, id));
        self.dests.entry(handed.dest).or_default().queue.insert((self.now, id));
        let doubt = past.first_in_doubt.map(|(at, _)| at);
        self.texts.insert(id, Text { handed, submits: past.submits, doubt, out: false, over: false });
        self.held += 1;
        if past.submits > 0 && !self.may_go(id) {
            self.give_up(id);
        }
    }

    /// Whether a further submit is allowed, but for order.
    fn may_go(&self, id: TextId) -> bool {
        let text = &self.texts[&id];
        let product = &self.settings.products[text.handed.product.0];
        let most = if self.style == Name::OneTry { 1 } else { product.max_submits };
        let doubt = self.is_reckless()
            || match (product.repeat, text.doubt) {
                (_, None) | (Repeat::Resendable, _) => true,
                (Repeat::OnceOnly, Some(_)) => false,
                (Repeat::Referenced { memory, .. }, Some(at)) => self.now + Span::millis(300) < at + memory,
            };
        text.submits < most && doubt && self.now + MARGIN < text.handed.valid_until
    }

    fn has_turn(&self, id: TextId) -> bool {
        let text = &self.texts[&id];
        let ordered = self.settings.products[text.handed.product.0].in_order;
        let line = text.handed.key.filter(|_| ordered).and_then(|key| self.lines.get(&key));
        self.is_reckless()
            || line.is_none_or(|line| line.texts.first() == Some(&id) && line.rest_until <= self.now)
    }

    fn give_up(&mut self, id: TextId) {
        let text = self.texts.get_mut(&id).expect("given up once");
        text.over = true;
        let dest = self.dests.entry(text.handed.dest).or_default();
        dest.queue.retain(|(_, other)| *other != id);
        let once = self.settings.products[text.handed.product.0].repeat == Repeat::OnceOnly;
        let harmless = !text.out && (!once || text.doubt.is_none());
        if harmless || self.style == Name::RetryAtOnce {
            self.actions.push(Action::Nack { text: id, retry_after: None });
        } else {
            self.actions.push(Action::Undeliverable { text: id });
        }
    }

    /// Nothing is owed for a text any more, and its last submit is known.
    fn forget(&mut self, id: TextId) {
        let Some(text) = self.texts.remove(&id) else { return };
        self.held -= 1;
        self.ends.remove(&(text.handed.valid_until - MARGIN, id));
        if let Some(key) = text.handed.key
            && let Some(line) = self.lines.get_mut(&key)
        {
            line.texts.retain(|other| *other != id);
        }
        if let Some(dest) = self.dests.get_mut(&text.handed.dest) {
            dest.queue.retain(|(_, other)| *other != id);
        }
    }

    fn outcome(&mut self, outcome: Outcome) {
        let id = outcome.text;
        let dest_id = self.of[&outcome.endpoint];
        let dest = self.dests.entry(dest_id).or_default();
        dest.out = dest.out.saturating_sub(1);
        self.out = self.out.saturating_sub(1);
        if let Some(wait) = outcome.retry_after {
            dest.wait_until = dest.wait_until.max(self.now + wait);
        }
        let Some(text) = self.texts.get_mut(&id) else { return };
        text.out = false;
        if outcome.verdict == Verdict::Delivered || outcome.ended {
            return self.forget(id);
        }
        if !outcome.verdict.never_ran() {
            text.doubt.get_or_insert(self.now - outcome.latency);
            if let Some(key) = text.handed.key {
                let line = self.lines.entry(key).or_default();
                line.rest_until = self.now + self.settings.rest_after_doubt;
            }
        }
        if text.over {
            return;
        }
        let pause = match self.style {
            Name::RetryAtOnce | Name::Clairvoyant => Span::ZERO,
            _ => (FIRST_PAUSE * f64::from(1 << (text.submits.clamp(1, 16) - 1))).min(LONGEST_PAUSE),
        };
        let wait = if self.is_reckless() { Moment::default() } else { self.dests[&dest_id].wait_until };
        let at = (self.now + pause).max(wait);
        if !self.may_go(id) || at + MARGIN >= self.texts[&id].handed.valid_until {
            return self.give_up(id);
        }
        self.dests.entry(dest_id).or_default().queue.insert((at, id));
    }

    fn dispatch(&mut self, snapshot: &dyn Snapshot) {
        let ids: Vec<DestId> =
            self.dests.iter().filter(|(_, dest)| !dest.queue.is_empty()).map(|(id, _)| *id).collect();
        let window = (self.settings.slots / 4).max(1);
        for id in ids {
            let mut sent = BTreeMap::<EndpointId, usize>::new();
            while self.out < self.settings.slots {
                let dest = &self.dests[&id];
                let heeds = !self.is_reckless();
                if dest.endpoints.is_empty() || (heeds && dest.wait_until > self.now) {
                    break;
                }
                if self.style == Name::FixedWindow && dest.out >= window {
                    break;
                }
                let endpoint = if self.style == Name::Clairvoyant {
                    let room = |id: &EndpointId| {
                        snapshot.room(*id).saturating_sub(sent.get(id).copied().unwrap_or(0))
                    };
                    dest.endpoints.iter().copied().max_by_key(room).filter(|id| room(id) > 0)
                } else {
                    Some(dest.endpoints[dest.turn % dest.endpoints.len()])
                };
                let Some(endpoint) = endpoint else { break };
                let due = dest.queue.range(..=(self.now, TextId(usize::MAX)));
                let turn = |(_, text): &(Moment, TextId)| self.has_turn(*text);
                // What is late is worth less and less: with sight, the newest go first.
                let next = if self.style == Name::Clairvoyant {
                    due.rev().take(LOOKED_AT).copied().find(turn)
                } else {
                    due.take(LOOKED_AT).copied().find(turn)
                };
                let Some(entry) = next else { break };
                let dest = self.dests.get_mut(&id).expect("looked at");
                dest.queue.remove(&entry);
                if !self.may_go(entry.1) {
                    self.give_up(entry.1);
                    continue;
                }
                let dest = self.dests.get_mut(&id).expect("looked at");
                dest.turn += 1;
                dest.out += 1;
                self.out += 1;
                *sent.entry(endpoint).or_default() += 1;
                let text = self.texts.get_mut(&entry.1).expect("in a queue");
                text.submits += 1;
                text.out = true;
                let left = (text.handed.valid_until - CUT).since(self.now);
                let sla = self.settings.products[text.handed.product.0].sla_time;
                let time_out = if self.style == Name::OneTry { left } else { sla.min(left) };
                let send_deadline = text.handed.valid_until;
                let shares_connection = false;
                self.actions.push(Action::Submit {
                    text: entry.1,
                    endpoint,
                    time_out,
                    send_deadline,
                    shares_connection,
                });
            }
        }
    }
}

impl Policy for Baseline {
    fn step(&mut self, now: Moment, events: Vec<Event>, snapshot: &dyn Snapshot) -> Vec<Action> {
        self.now = now;
        for event in events {
            match event {
                Event::ListReceived { scope, entries } => self.listed(scope, entries),
                Event::Accepted(handed) => self.taken(handed, SubmitHistory::default()),
                Event::Resumed(handed, past) => self.taken(handed, past),
                Event::Outcome(outcome) => self.outcome(outcome),
                Event::EndReported(text) if self.texts.get(&text).is_some_and(|text| !text.out) => {
                    self.forget(text);
                }
                Event::Withdrawn(text) => self.forget(text),
                _ => {}
            }
        }
        while let Some(&(at, id)) = self.ends.first()
            && at <= now
        {
            self.ends.pop_first();
            if self.texts.get(&id).is_some_and(|text| !text.over) {
                self.give_up(id);
            }
        }
        self.dispatch(snapshot);
        if self.woken <= now {
            self.woken = now + BEAT;
            self.actions.push(Action::WakeAt(self.woken));
        }
        std::mem::take(&mut self.actions)
    }
}
