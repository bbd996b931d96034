//! Everything outside the senders, free of I/O: clients, gateways, the list, troubles, and the judge who sees it all.
//!
//! [`World::step`] takes what was seen on the wire at one moment and returns what the world does. Neither stage adds
//! to that: what a client does after a nack, when a gateway answers and what the list tells is decided here alone.

use crate::judge::{self, CallEnd, End, Handed, Judge, Terms};
use crate::outcome::{FallSeen, GatewaySeen, Outcome, Percentiles, Series, rule_name};
use crate::scenario::{Listed, Repeat, Scenario, Trouble, What};
use crate::traffic::{Planned, plan};
use hdrhistogram::Histogram;
use indigomast::api::{Allowance, Condition, DestId, EndpointId};
use indigomast::time::{Moment, Span};
use indigomast_gateway::{
    Action, Call, CallId, Change, Event, Figures, Gateways, LinkId, Reply, Route, SenderId, TextNo,
    Trouble as Sick,
};
use std::collections::{BTreeMap, BTreeSet};

/// What is seen on the wire.
#[derive(Clone, Debug)]
pub enum Seen {
    Answered {
        text: TextNo,
        admitted: Admitted,
    },
    Link {
        link: LinkId,
        endpoint: EndpointId,
    },
    Unlink {
        link: LinkId,
    },
    Call {
        call: CallId,
        link: LinkId,
        texts: Vec<TextNo>,
        /// When its last byte left the sender, where that was seen apart from its coming.
        left: Option<Moment>,
    },
    /// What was answered on a link has gone out to its sender; only over lines that are watched.
    Heard {
        link: LinkId,
    },
    /// The sender has ended a link, of which the gateway may not know yet.
    Left {
        link: LinkId,
    },
    Notice {
        text: TextNo,
        end: Noticed,
    },
    /// This version of the list was told to a sender; it has all changes up to it.
    ListTold {
        sender: usize,
        revision: u64,
    },
    Ready {
        sender: usize,
    },
    Died {
        sender: usize,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    Taken,
    TurnedAway {
        again: Option<Span>,
    },
    /// No answer, or none that can be understood.
    Broken,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Noticed {
    Nacked { again: Option<Span> },
    Undeliverable,
}

/// What the world does.
#[derive(Clone, Debug)]
pub enum Do {
    HandIn(HandIn),
    LinkUp(LinkId),
    LinkRefused(LinkId),
    LinkDropped(LinkId),
    Answer {
        call: CallId,
        reply: Reply,
        allowance: Option<Allowance>,
    },
    /// The list has come to this version, for those who ask.
    List {
        revision: u64,
    },
    /// An endpoint begins or ceases to listen.
    Listens {
        endpoint: EndpointId,
        on: bool,
    },
    /// A new endpoint listens where one did that has gone.
    TakesOver {
        endpoint: EndpointId,
        from: EndpointId,
    },
    Stop {
        sender: usize,
        kill: bool,
    },
    Start {
        sender: usize,
    },
}

#[derive(Clone, Debug)]
pub struct HandIn {
    pub sender: usize,
    pub text: TextNo,
    pub product: usize,
    pub dest: usize,
    pub key: Option<u64>,
    pub mark: u64,
    pub left: Span,
    pub goes_early: bool,
}

/// An entry of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub endpoint: EndpointId,
    pub dest: DestId,
    pub kind: usize,
    pub units: f64,
    pub condition: Condition,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Due {
    /// A planned text, or one that is handed in again.
    HandIn(usize),
    Begin(usize),
    End(usize),
    Publish(u64),
    Stop(usize, bool),
    Start(usize),
    Sample,
}

struct Progress {
    hand_ins: u64,
    nacks: usize,
    delivered: bool,
    over: bool,
}

struct Open {
    sender: usize,
    link: LinkId,
    dest: usize,
    lane: usize,
    texts: Vec<TextNo>,
}

/// What an answer tells, until it has gone out to the sender.
#[derive(Default)]
struct Unheard {
    delivered: Vec<TextNo>,
    wait: Option<(usize, usize, Span)>,
}

/// How a run stands, for those who watch it.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    pub at_ms: f64,
    pub asked: usize,
    /// Of the revenue asked for so far, the part that was delivered.
    pub service: f64,
    pub in_flight: Vec<usize>,
    pub capacity: Vec<f64>,
    pub breaches: u64,
    pub falls: usize,
}

/// Hand-ins of one planned text at the most; the number of a text names both.
const HAND_INS: u64 = 64;

pub struct World {
    scenario: Scenario,
    plan: Vec<Planned>,
    progress: Vec<Progress>,
    next_planned: usize,
    gateways: Gateways,
    judge: Judge,
    dues: BTreeSet<(Moment, Due)>,
    links: BTreeMap<LinkId, EndpointId>,
    open: BTreeMap<CallId, Open>,
    open_by_link: BTreeMap<LinkId, CallId>,
    /// The last answer on a link that told of a delivery.
    answered: BTreeMap<LinkId, (Moment, Vec<TextNo>)>,
    /// Over lines that are watched: links that their senders have ended, and what is on its way to a sender.
    over_lines: bool,
    left: BTreeSet<LinkId>,
    unheard: BTreeMap<LinkId, Unheard>,
    crossing: Span,
    in_flight: Vec<usize>,
    /// Texts of a key that wait until the one before has its answer.
    asking: BTreeMap<u64, Vec<usize>>,
    members: BTreeMap<EndpointId, Member>,
    /// What each version of the list changed.
    history: BTreeMap<u64, Vec<Member>>,
    revision: u64,
    published: u64,
    told: BTreeMap<usize, u64>,
    late_until: Moment,
    next_endpoint: usize,
    dests_of: Vec<(usize, usize)>,
    routes_of: BTreeMap<usize, Vec<EndpointId>>,
    open_house: bool,
    orders: Vec<Do>,
    now: Moment,
    latency: Histogram<u64>,
    asked: Vec<f64>,
    delivered: Vec<f64>,
    series: Series,
    asked_sum: f64,
    delivered_sum: f64,
    counts: (u64, u64, u64),
    end: Moment,
}

fn sick(trouble: &Trouble) -> Option<Sick> {
    let until = Moment::from_millis((trouble.at_s + trouble.for_s) * 1000.0);
    let share = trouble.share.unwrap_or(1.0);
    Some(match trouble.what {
        What::Slow => Sick::Slow(trouble.factor.unwrap_or(1.0)),
        What::Pauses => Sick::Pauses {
            every: Span::from_millis(trouble.every_ms.unwrap_or(1000.0)),
            still: Span::from_millis(trouble.still_ms.unwrap_or(0.0)),
        },
        What::Hang => Sick::Hang,
        What::Vanish => Sick::Vanish,
        What::Down => Sick::Down,
        What::Shut => Sick::Shut { until },
        What::Errors => Sick::Errors(share),
        What::LostAnswers => Sick::Lost(share),
        What::SpoiltAnswers => Sick::Spoilt(share),
        What::Drain | What::Replace | What::ListLate | What::Restart | What::Kill => return None,
    })
}

impl World {
    /// `slack` is what the clocks and threads of the stage may be off, `crossing` how long a call may be under way.
    pub fn new(scenario: &Scenario, seed: u64, slack: Span, crossing: Span) -> World {
        let scenario = scenario.clone();
        let kinds: Vec<_> = scenario.kinds.iter().map(|kind| kind.get_ref().model()).collect();
        let mut dests_of = Vec::new();
        for run in scenario.destinations.iter().map(|run| run.get_ref()) {
            let kind = scenario.kinds.iter().position(|kind| kind.get_ref().name == run.kind);
            dests_of.extend(vec![(kind.unwrap_or(0), run.endpoints); run.count]);
        }
        let mut routes = Vec::new();
        let mut routes_of = BTreeMap::<usize, Vec<EndpointId>>::new();
        for (dest, (kind, endpoints)) in dests_of.iter().enumerate() {
            for _ in 0..*endpoints {
                let endpoint = EndpointId(routes.len());
                routes.push(Route { endpoint, dest: DestId(dest), kind: *kind });
                routes_of.entry(dest).or_default().push(endpoint);
            }
        }
        let rules = scenario.rules;
        let figures = Figures {
            cold_share: rules.cold_share,
            cold_span: Span::from_millis(rules.cold_s * 1000.0),
            tip_multiple: rules.tip_multiple,
            tip_span: Span::from_millis(rules.tip_s * 1000.0),
        };
        let terms = Terms {
            submits: scenario.fleet.submits,
            drain_grace: Span::from_millis(rules.drain_grace_s * 1000.0),
            settle: Span::from_millis(rules.settle_ms),
            overtime: Span::millis(300),
            crossing,
            slack,
            recovery: Span::millis(1500),
        };
        let seconds = scenario.seconds.ceil() as usize;
        let longest =
            scenario.products.iter().map(|product| product.get_ref().validity_ms).fold(0.0, f64::max);
        let units = |kind: usize| {
            let rate = scenario.kinds[kind].get_ref().limit().rate();
            match scenario.list.rate {
                Listed::Silent => 1.0,
                Listed::Exact => rate.unwrap_or(1.0),
                // A figure that is off by as much as its name allows.
                Listed::Rough => rate.unwrap_or(1.0) * 1.25,
            }
        };
        let member = |route: &Route| Member {
            endpoint: route.endpoint,
            dest: route.dest,
            kind: route.kind,
            units: units(route.kind),
            condition: Condition::Running,
        };
        let members: BTreeMap<_, _> = routes.iter().map(|route| (route.endpoint, member(route))).collect();
        let plan = plan(&scenario, seed);
        let progress =
            plan.iter().map(|_| Progress { hand_ins: 0, nacks: 0, delivered: false, over: false }).collect();
        let mut world = World {
            gateways: Gateways::new(kinds, &routes, figures, seed),
            judge: Judge::new(terms),
            progress,
            next_planned: 0,
            dues: BTreeSet::new(),
            links: BTreeMap::new(),
            open: BTreeMap::new(),
            open_by_link: BTreeMap::new(),
            answered: BTreeMap::new(),
            over_lines: false,
            left: BTreeSet::new(),
            unheard: BTreeMap::new(),
            crossing,
            in_flight: vec![0; dests_of.len()],
            asking: BTreeMap::new(),
            history: BTreeMap::from([(1, members.values().cloned().collect())]),
            members,
            revision: 1,
            published: 1,
            told: BTreeMap::new(),
            late_until: Moment::default(),
            next_endpoint: routes.len(),
            routes_of,
            open_house: false,
            orders: Vec::new(),
            now: Moment::default(),
            latency: Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds in order"),
            asked: vec![0.0; seconds],
            delivered: vec![0.0; seconds],
            series: Series::default(),
            asked_sum: 0.0,
            delivered_sum: 0.0,
            counts: (0, 0, 0),
            end: Moment::from_millis(scenario.seconds * 1000.0 + longest + 3000.0),
            dests_of,
            plan,
            scenario,
        };
        world.set_troubles();
        world.dues.insert((Moment::from_millis(0.0), Due::Sample));
        world
    }

    fn set_troubles(&mut self) {
        let troubles: Vec<Trouble> = self.scenario.troubles.iter().map(|t| t.get_ref().clone()).collect();
        for (at, trouble) in troubles.iter().enumerate() {
            let begin = Moment::from_millis(trouble.at_s * 1000.0);
            let lasts = Span::from_millis(trouble.for_s * 1000.0);
            if matches!(trouble.what, What::Restart | What::Kill) {
                let all: Vec<usize> = (0..self.scenario.fleet.senders).collect();
                let struck = if trouble.senders.is_empty() { &all } else { &trouble.senders };
                for (n, sender) in struck.iter().enumerate() {
                    let stop = begin + Span::from_millis(trouble.apart_s * 1000.0) * n as f64;
                    self.dues.insert((stop, Due::Stop(*sender, trouble.what == What::Kill)));
                    // One asked to stop has its time for that before it is started anew.
                    let asked = if trouble.what == What::Kill { Span::ZERO } else { Span::millis(3700) };
                    self.dues.insert((stop + asked + lasts, Due::Start(*sender)));
                }
                continue;
            }
            self.dues.insert((begin, Due::Begin(at)));
            self.dues.insert((begin + lasts, Due::End(at)));
        }
    }

    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    pub fn gateways(&self) -> &Gateways {
        &self.gateways
    }

    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            at_ms: self.now.as_millis().max(0.0),
            asked: self.next_planned,
            service: if self.asked_sum > 0.0 { self.delivered_sum / self.asked_sum } else { 1.0 },
            in_flight: self.in_flight.clone(),
            capacity: (0..self.dests_of.len())
                .map(|dest| self.gateways.true_capacity(DestId(dest), self.now))
                .collect(),
            breaches: self.judge.counts.values().sum(),
            falls: self.gateways.accounts.falls.len(),
        }
    }

    /// Whether nothing is open any more: no text to come, none taken on without an end, no call out.
    pub fn is_settled(&self) -> bool {
        let pending = self.dues.iter().any(|(_, due)| matches!(due, Due::HandIn(_)));
        self.next_planned == self.plan.len() && !pending && self.open.is_empty() && self.judge.is_settled()
    }

    /// Takes calls of texts that it has not planned, as from a sender that was started by hand. Of those it judges
    /// nothing but the load on its gateways.
    pub fn open_house(mut self) -> World {
        self.open_house = true;
        self.plan.clear();
        self.progress.clear();
        self
    }

    /// Between senders and gateways are lines that tell when what one side wrote had gone out to the other.
    pub fn over_lines(mut self) -> World {
        self.over_lines = true;
        self
    }

    /// A fault keeps a sender from ending texts for that time; the run lasts until it has had its time after it.
    pub fn holds_up(&mut self, sender: usize, from: Moment, until: Moment) {
        self.judge.held_up(sender, from, until);
        self.lasts_until(until + Span::millis(3000));
    }

    pub fn lasts_until(&mut self, end: Moment) {
        self.end = self.end.max(end);
    }

    /// The kind of a destination, as an index.
    pub fn kind_of(&self, dest: DestId) -> Option<usize> {
        self.dests_of.get(dest.0).map(|(kind, _)| *kind)
    }

    /// When everything is over: no text handed in is still valid.
    pub fn end(&self) -> Moment {
        self.end
    }

    /// The whole list at the newest version that senders may see.
    pub fn listing(&self) -> (u64, Vec<Member>) {
        let mut members = BTreeMap::new();
        for change in self.history.range(..=self.published).flat_map(|(_, changes)| changes) {
            if change.condition == Condition::Deleted {
                members.remove(&change.endpoint);
            } else {
                members.insert(change.endpoint, change.clone());
            }
        }
        (self.published, members.into_values().collect())
    }

    /// What changed after one version up to another, which may be the older one.
    fn changes(&self, after: u64, until: u64) -> impl Iterator<Item = &Member> {
        let from = (after + 1).min(until + 1);
        self.history.range(from..until + 1).flat_map(|(_, changes)| changes)
    }

    /// What has changed since a version, for those who may see it.
    pub fn changes_since(&self, revision: u64) -> (u64, Vec<Member>) {
        let mut members = BTreeMap::new();
        for change in self.changes(revision, self.published) {
            members.insert(change.endpoint, change.clone());
        }
        (self.published, members.into_values().collect())
    }

    /// When the world next acts by itself.
    pub fn next(&self) -> Option<Moment> {
        let due = self.dues.first().map(|(at, _)| *at);
        let planned = self.plan.get(self.next_planned).map(|text| text.at);
        [due, planned, self.gateways.next()].into_iter().flatten().min()
    }

    pub fn step(&mut self, now: Moment, seen: Vec<Seen>) -> Vec<Do> {
        self.now = now.max(self.now);
        self.due();
        for seen in seen {
            self.see(seen);
        }
        let actions = self.gateways.step(self.now, Vec::new());
        self.carry(actions);
        std::mem::take(&mut self.orders)
    }

    fn due(&mut self) {
        while self.plan.get(self.next_planned).is_some_and(|text| text.at <= self.now) {
            let text = &self.plan[self.next_planned];
            self.asked_sum += self.revenue(text.product);
            let second = (text.at.as_millis() / 1000.0) as usize;
            self.asked[second] += self.revenue(text.product);
            self.hand_in(self.next_planned);
            self.next_planned += 1;
        }
        while let Some(&(at, due)) = self.dues.first()
            && at <= self.now
        {
            self.dues.pop_first();
            match due {
                Due::HandIn(planned) => self.hand_in(planned),
                Due::Begin(trouble) => self.begin(trouble),
                Due::End(trouble) => self.finish(trouble),
                Due::Publish(revision) => {
                    self.published = self.published.max(revision);
                    self.orders.push(Do::List { revision: self.published });
                }
                Due::Stop(sender, kill) => self.orders.push(Do::Stop { sender, kill }),
                Due::Start(sender) => self.orders.push(Do::Start { sender }),
                Due::Sample => self.sample(at),
            }
        }
    }

    fn sample(&mut self, at: Moment) {
        // With many destinations only the first ones are drawn; the sums are kept for all.
        for dest in 0..self.dests_of.len().min(24) {
            let routes = &self.routes_of[&dest];
            let queued: usize = routes.iter().map(|id| self.gateways.load(*id).1).sum();
            let capacity = self.gateways.true_capacity(DestId(dest), at);
            self.series.in_flight.entry(dest).or_default().push(self.in_flight[dest] as f64);
            self.series.queued.entry(dest).or_default().push(queued as f64);
            self.series.capacity.entry(dest).or_default().push(capacity);
        }
        let next = at + Span::millis(1000);
        if next < self.end {
            self.dues.insert((next, Due::Sample));
        }
    }

    /// What a stage can see of the senders' windows, summed up for a destination, in the present second.
    pub fn note_window(&mut self, dest: usize, sum: f64) {
        self.series.window.entry(dest).or_default().push(sum);
    }

    fn revenue(&self, product: usize) -> f64 {
        self.scenario.products[product].get_ref().revenue
    }

    fn hand_in(&mut self, planned: usize) {
        let text = &self.plan[planned];
        if let Some(key) = text.key {
            let line = self.asking.entry(key).or_default();
            if !line.contains(&planned) {
                line.push(planned);
            }
            // Texts of one key are handed in one after another, each once the one before has its answer.
            if line.first() != Some(&planned) {
                return;
            }
        }
        let product = self.scenario.products[text.product].get_ref();
        let valid_until = text.at + Span::from_millis(product.validity_ms);
        let progress = &mut self.progress[planned];
        let left = valid_until.since(self.now);
        if progress.over || progress.hand_ins >= HAND_INS || left < Span::millis(50) {
            progress.over = true;
            return self.next_of_key(planned);
        }
        let number = TextNo(planned as u64 * HAND_INS + progress.hand_ins);
        progress.hand_ins += 1;
        self.judge.handed_in(Handed {
            text: number,
            sender: text.sender,
            kind: match product.repeat {
                Repeat::Resendable => judge::Kind::Resendable,
                Repeat::Referenced => judge::Kind::Referenced,
                Repeat::OnceOnly => judge::Kind::OnceOnly,
            },
            key: text.key,
            mark: planned as u64,
            valid_until,
        });
        self.orders.push(Do::HandIn(HandIn {
            sender: text.sender,
            text: number,
            product: text.product,
            dest: text.dest,
            key: text.key,
            mark: planned as u64,
            left,
            goes_early: text.goes_early && progress.hand_ins == 1,
        }));
    }

    fn next_of_key(&mut self, planned: usize) {
        let Some(key) = self.plan[planned].key else { return };
        let Some(line) = self.asking.get_mut(&key) else { return };
        line.retain(|other| *other != planned);
        match line.first().copied() {
            Some(next) => _ = self.dues.insert((self.now, Due::HandIn(next))),
            None => _ = self.asking.remove(&key),
        }
    }

    fn planned(&self, text: TextNo) -> Option<usize> {
        let planned = (text.0 / HAND_INS) as usize;
        self.progress.get(planned).filter(|progress| text.0 % HAND_INS < progress.hand_ins)?;
        Some(planned)
    }

    fn again(&mut self, planned: usize, after: Option<Span>) {
        let progress = &mut self.progress[planned];
        if progress.nacks >= self.scenario.clients.again {
            return;
        }
        progress.nacks += 1;
        let usual = Span::from_millis(self.scenario.clients.again_ms);
        self.dues.insert((self.now + after.unwrap_or(usual).max(Span::millis(1)), Due::HandIn(planned)));
    }

    fn see(&mut self, seen: Seen) {
        match seen {
            Seen::Answered { text, admitted } => {
                let Some(planned) = self.planned(text) else { return };
                self.judge.answered(text, admitted == Admitted::Taken);
                match admitted {
                    Admitted::Taken => {
                        self.counts.0 += 1;
                        let (dest, sender) = (DestId(self.plan[planned].dest), self.plan[planned].sender);
                        // Refused links leave no name on sockets, so on both stages a sender counts as warned that
                        // took a text on for what was out.
                        if self.gateways.is_destination_out(dest) {
                            let event = Event::Warned { dest, sender: SenderId(sender) };
                            let actions = self.gateways.step(self.now, vec![event]);
                            self.carry(actions);
                        }
                    }
                    Admitted::TurnedAway { again } => {
                        self.counts.1 += 1;
                        self.again(planned, again);
                    }
                    Admitted::Broken => {
                        self.counts.2 += 1;
                        // Not a nack: it is asked again until it is answered or its time is up.
                        let pause = Span::from_millis(self.scenario.clients.again_ms);
                        self.dues.insert((self.now + pause, Due::HandIn(planned)));
                        // Its place in the line stays its own.
                        return;
                    }
                }
                self.next_of_key(planned);
            }
            Seen::Link { link, endpoint } => {
                self.links.insert(link, endpoint);
                let actions = self.gateways.step(self.now, vec![Event::Link { link, endpoint }]);
                self.carry(actions);
            }
            Seen::Unlink { link } => {
                self.links.remove(&link);
                self.left.remove(&link);
                self.leave(link);
                let actions = self.gateways.step(self.now, vec![Event::Unlink { link }]);
                self.carry(actions);
            }
            Seen::Call { call, link, texts, left } => self.called(call, link, texts, left),
            Seen::Heard { link } => {
                let Some(heard) = self.unheard.remove(&link) else { return };
                heard.delivered.iter().for_each(|text| self.judge.heard(self.now, *text));
                if let Some((sender, lane, wait)) = heard.wait {
                    self.judge.told_wait(self.now, sender, lane, wait);
                }
                if !heard.delivered.is_empty() {
                    self.answered.insert(link, (self.now, heard.delivered));
                }
            }
            Seen::Left { link } => {
                if self.links.contains_key(&link) && self.left.insert(link) {
                    self.leave(link);
                }
            }
            Seen::Notice { text, end } => {
                let Some(planned) = self.planned(text) else { return };
                match end {
                    Noticed::Nacked { again } => {
                        self.judge.noticed(self.now, text, End::Nacked);
                        if !self.progress[planned].delivered {
                            self.again(planned, again);
                        }
                    }
                    Noticed::Undeliverable => self.judge.noticed(self.now, text, End::Undeliverable),
                }
            }
            Seen::ListTold { sender, revision } => {
                let from = self.told.insert(sender, revision).unwrap_or(0);
                let changes = self.changes(from, revision);
                let told: Vec<_> =
                    changes.map(|c| (c.endpoint.0, c.condition != Condition::Running)).collect();
                for (endpoint, leaves) in told {
                    self.judge.told_of(self.now, sender, endpoint, leaves);
                }
            }
            Seen::Ready { sender } => self.judge.ready(self.now, sender),
            Seen::Died { sender } => {
                self.told.remove(&sender);
                self.judge.died(self.now, sender);
            }
        }
    }

    /// For its sender a link is over: it hears nothing more on it, and may not have heard what came last.
    fn leave(&mut self, link: LinkId) {
        self.unheard.remove(&link);
        self.break_call(link);
        if let Some((at, texts)) = self.answered.remove(&link)
            && self.now <= at + self.crossing
        {
            texts.into_iter().for_each(|text| self.judge.may_not_have_heard(text));
        }
    }

    /// The sender ended a link, or its process did: what was out on it may have run.
    fn break_call(&mut self, link: LinkId) {
        let Some(open) = self.open_by_link.remove(&link).and_then(|call| self.open.remove(&call)) else {
            return;
        };
        self.in_flight[open.dest] -= 1;
        for text in open.texts {
            self.judge.call_ended(self.now, text, CallEnd::MayHaveRun);
        }
    }

    fn called(&mut self, call: CallId, link: LinkId, texts: Vec<TextNo>, left: Option<Moment>) {
        if self.open_house {
            return self.called_from_outside(call, link, texts);
        }
        let known: Vec<(TextNo, usize)> =
            texts.iter().filter_map(|text| Some((*text, self.planned(*text)?))).collect();
        let (Some(&(_, first)), Some(&endpoint)) = (known.first(), self.links.get(&link)) else {
            // A link that was dropped at rest answers for itself.
            let reply = Reply::Reset;
            return self.orders.push(Do::Answer { call, reply, allowance: None });
        };
        let sender = self.plan[first].sender;
        let dest = self.plan[first].dest;
        let apart = self.scenario.kinds[self.dests_of[dest].0].get_ref().routes_apart;
        let lane = if apart { self.dests_of.len() + endpoint.0 } else { dest };
        if self.left.contains(&link) {
            // Its sender has given it up long since, and will hear nothing of it.
            self.judge.called_late(self.now, &texts);
        } else {
            self.judge.called(left.unwrap_or(self.now), sender, endpoint.0, lane, &texts);
            self.in_flight[dest] += 1;
            self.open.insert(call, Open { sender, link, dest, lane, texts });
            self.open_by_link.insert(link, call);
            self.answered.remove(&link);
        }
        let carried = known.iter().map(|(text, planned)| {
            let product = self.scenario.products[self.plan[*planned].product].get_ref();
            let referenced = product.repeat == Repeat::Referenced;
            let memory = referenced.then(|| Span::from_millis(product.memory_ms));
            Call { text: *text, mark: *planned as u64, memory }
        });
        let event = Event::Call { call, link, sender: SenderId(sender), texts: carried.collect() };
        let actions = self.gateways.step(self.now, vec![event]);
        self.carry(actions);
    }

    fn called_from_outside(&mut self, call: CallId, link: LinkId, texts: Vec<TextNo>) {
        let found = self.links.get(&link).and_then(|endpoint| self.members.get(endpoint));
        let Some(member) = found else {
            return self.orders.push(Do::Answer { call, reply: Reply::Reset, allowance: None });
        };
        let dest = member.dest.0;
        self.in_flight[dest] += 1;
        let carried = texts.iter().map(|text| Call { text: *text, mark: text.0, memory: None }).collect();
        self.open.insert(call, Open { sender: 0, link, dest, lane: dest, texts });
        self.open_by_link.insert(link, call);
        let event = Event::Call { call, link, sender: SenderId(0), texts: carried };
        let actions = self.gateways.step(self.now, vec![event]);
        self.carry(actions);
    }

    fn carry(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::LinkUp(link) => self.orders.push(Do::LinkUp(link)),
                Action::LinkRefused(link) => {
                    self.links.remove(&link);
                    self.orders.push(Do::LinkRefused(link));
                }
                Action::LinkDropped(link) => {
                    self.links.remove(&link);
                    self.orders.push(Do::LinkDropped(link));
                }
                Action::Answer { call, reply, allowance } => self.answer(call, reply, allowance),
                Action::Ran { text, mark, fate, .. } => self.judge.ran(self.now, text, mark, fate),
                Action::Fell(dest) => {
                    for endpoint in self.routes_of[&dest.0].clone() {
                        self.orders.push(Do::Listens { endpoint, on: false });
                    }
                }
            }
        }
    }

    fn answer(&mut self, call: CallId, reply: Reply, allowance: Option<Allowance>) {
        // A sender that has ended the link hears nothing of it.
        let Some(open) = self.open.remove(&call) else { return };
        self.open_by_link.remove(&open.link);
        self.in_flight[open.dest] -= 1;
        let end = match &reply {
            Reply::Done => CallEnd::Delivered,
            Reply::Busy { wait } => {
                match wait {
                    Some(wait) if self.over_lines => {
                        self.unheard.entry(open.link).or_default().wait =
                            Some((open.sender, open.lane, *wait));
                    }
                    Some(wait) => self.judge.told_wait(self.now, open.sender, open.lane, *wait),
                    None => {}
                }
                CallEnd::NeverRan
            }
            Reply::Error | Reply::Reset | Reply::Spoilt => CallEnd::MayHaveRun,
        };
        if matches!(reply, Reply::Reset) {
            self.links.remove(&open.link);
        }
        if end == CallEnd::Delivered {
            if self.over_lines {
                self.unheard.entry(open.link).or_default().delivered = open.texts.clone();
            } else {
                self.answered.insert(open.link, (self.now, open.texts.clone()));
            }
        }
        for text in &open.texts {
            self.judge.call_ended(self.now, *text, end);
            if end == CallEnd::Delivered {
                if self.over_lines {
                    self.judge.may_not_have_heard(*text);
                }
                self.delivered(*text);
            }
        }
        self.orders.push(Do::Answer { call, reply, allowance });
    }

    fn delivered(&mut self, text: TextNo) {
        let Some(planned) = self.planned(text) else { return };
        if std::mem::replace(&mut self.progress[planned].delivered, true) {
            return;
        }
        self.progress[planned].over = true;
        let asked = &self.plan[planned];
        let product = self.scenario.products[asked.product].get_ref();
        let took = self.now.since(asked.at).as_millis();
        _ = self.latency.record(((took * 1000.0) as u64).max(1));
        let late = (took - product.sla_ms).max(0.0);
        let worth = 0.5f64.powf(late / product.sla_ms).max(product.least);
        let worth = if took <= product.validity_ms { worth * product.revenue } else { 0.0 };
        self.delivered_sum += worth;
        self.delivered[(asked.at.as_millis() / 1000.0) as usize] += worth;
    }

    fn struck(&self, trouble: &Trouble) -> Vec<EndpointId> {
        let routes = trouble.destinations.iter().map(|dest| &self.routes_of[dest]);
        let some = routes.flat_map(|routes| match trouble.endpoint {
            Some(at) => routes.iter().skip(at).take(1).copied().collect::<Vec<_>>(),
            None => routes.clone(),
        });
        some.collect()
    }

    fn begin(&mut self, at: usize) {
        let trouble = self.scenario.troubles[at].get_ref().clone();
        let struck = self.struck(&trouble);
        if let Some(sick) = sick(&trouble) {
            for endpoint in struck {
                self.change(Change::Begins(endpoint, sick));
            }
            return;
        }
        match trouble.what {
            What::ListLate => {
                let until = Moment::from_millis((trouble.at_s + trouble.for_s) * 1000.0);
                self.late_until = self.late_until.max(until);
            }
            What::Drain | What::Replace => {
                let mut changes = Vec::new();
                for endpoint in struck {
                    // One that has left already doesn't leave again.
                    if self.members.get(&endpoint).is_none_or(|m| m.condition != Condition::Running) {
                        continue;
                    }
                    if trouble.what == What::Replace && !trouble.old_address {
                        let new = self.add_beside(endpoint);
                        self.orders.push(Do::Listens { endpoint: new.endpoint, on: true });
                        changes.push(new);
                    }
                    let member = self.members.get_mut(&endpoint).expect("a route is a member");
                    member.condition = Condition::Stopping;
                    changes.push(member.clone());
                }
                self.publish(changes);
            }
            _ => {}
        }
    }

    fn finish(&mut self, at: usize) {
        let trouble = self.scenario.troubles[at].get_ref().clone();
        let struck = self.struck(&trouble);
        if let Some(sick) = sick(&trouble) {
            for endpoint in struck {
                self.change(Change::Ends(endpoint, sick));
            }
            return;
        }
        if matches!(trouble.what, What::Drain | What::Replace) {
            let mut changes = Vec::new();
            for endpoint in struck {
                // One that was added by the same trouble stays.
                let Some(member) = self.members.get_mut(&endpoint) else { continue };
                if member.condition != Condition::Stopping {
                    continue;
                }
                member.condition = Condition::Deleted;
                changes.push(member.clone());
                self.change(Change::Begins(endpoint, Sick::Down));
                if trouble.what == What::Replace && trouble.old_address {
                    let new = self.add_beside(endpoint);
                    self.orders.push(Do::TakesOver { endpoint: new.endpoint, from: endpoint });
                    changes.push(new);
                }
                self.members.remove(&endpoint);
            }
            self.publish(changes);
        }
    }

    fn add_beside(&mut self, old: EndpointId) -> Member {
        let endpoint = EndpointId(self.next_endpoint);
        self.next_endpoint += 1;
        let old = &self.members[&old];
        let new = Member { endpoint, condition: Condition::Running, ..old.clone() };
        let route = Route { endpoint, dest: new.dest, kind: new.kind };
        self.members.insert(endpoint, new.clone());
        self.routes_of.entry(new.dest.0).or_default().push(endpoint);
        let actions = self.gateways.step(self.now, vec![Event::Change(Change::Added(route))]);
        self.carry(actions);
        new
    }

    fn change(&mut self, change: Change) {
        let (endpoint, was) = match &change {
            Change::Begins(endpoint, _) | Change::Ends(endpoint, _) => {
                (*endpoint, self.gateways.listens(*endpoint))
            }
            Change::Added(_) => return,
        };
        let actions = self.gateways.step(self.now, vec![Event::Change(change)]);
        self.carry(actions);
        let on = self.gateways.listens(endpoint);
        if on != was {
            self.orders.push(Do::Listens { endpoint, on });
        }
    }

    fn publish(&mut self, changes: Vec<Member>) {
        if changes.is_empty() {
            return;
        }
        self.revision += 1;
        self.history.insert(self.revision, changes);
        let at = self.now + Span::from_millis(self.scenario.list.late_ms);
        self.dues.insert((at.max(self.late_until), Due::Publish(self.revision)));
    }

    /// Ends the run: the judge looks through everything, and the figures are drawn up.
    pub fn close(mut self, stage: &str, policy: &str, seed: u64) -> Outcome {
        let accounts = self.gateways.accounts.clone();
        self.judge.close(&accounts.falls);
        let falls = accounts.falls.iter().map(|fall| FallSeen {
            destination: fall.dest.0,
            at_ms: fall.at.as_millis(),
            load: fall.load,
            bearable: fall.bearable,
            from_warned: fall.from_warned,
        });
        let mut gateways = BTreeMap::<usize, GatewaySeen>::new();
        for (dest, routes) in &self.routes_of {
            for account in routes.iter().filter_map(|id| accounts.endpoints.get(id)) {
                let seen = gateways.entry(*dest).or_default();
                seen.destination = *dest;
                seen.calls += account.calls;
                seen.ran += account.ran;
                seen.refused += account.refused;
                seen.errors += account.errors;
                seen.unanswered += account.unanswered;
                seen.links += account.links;
            }
        }
        let delivered = self.latency.len();
        let calls = accounts.total(|account| account.calls);
        let windows = |from: usize| -> (f64, f64) {
            let sum = |list: &[f64]| list.iter().skip(from).take(10).sum::<f64>();
            (sum(&self.delivered), sum(&self.asked))
        };
        let spells = (0..self.asked.len().saturating_sub(9).max(1)).map(windows);
        let worst = spells.filter(|(_, asked)| *asked > 0.0).map(|(got, asked)| got / asked);
        Outcome {
            scenario: self.scenario.name.clone(),
            stage: stage.into(),
            policy: policy.into(),
            seed,
            service: if self.asked_sum > 0.0 { self.delivered_sum / self.asked_sum } else { 0.0 },
            worst_10s: worst.fold(1.0, f64::min),
            asked: self.plan.len() as u64,
            taken: self.counts.0,
            turned_away: self.counts.1,
            broken: self.counts.2,
            ends: self.judge.ends().into_iter().map(|(name, count)| (name.to_owned(), count)).collect(),
            calls,
            calls_a_delivery: calls as f64 / delivered.max(1) as f64,
            breaches: self.judge.breaches().to_vec(),
            breach_counts: self.judge.counts.iter().map(|(rule, n)| (rule_name(*rule), *n)).collect(),
            falls: falls.collect(),
            faults: Vec::new(),
            change: None,
            gateways: gateways.into_values().collect(),
            latency_ms: Percentiles::of(&self.latency),
            series: Series { asked: self.asked, delivered: self.delivered, ..self.series },
            lateness: None,
            strangers: None,
            steps: 0,
        }
    }
}
