//! The stage in simulated time: any number of instances of the decisions in one process, deterministic to the byte.
//!
//! A carrier for each sender does what the daemon's actors do on sockets: it keeps links and uses the one that came
//! to rest last, fills calls, reports time-outs, and keeps what a restart must not lose. It decides nothing.

use crate::outcome::Outcome as Result;
use crate::platform;
use crate::policy::{Name, Policy, Snapshot};
use crate::scenario::Scenario;
use crate::world::{Admitted, Do, HandIn, Member, Noticed, Seen, World};
use indigomast::api::*;
use indigomast::time::{Moment, Span};
use indigomast_gateway::{CallId, Gateways, LinkId, Reply, TextNo};
use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::atomic::{AtomicUsize, Ordering as Atomic};
use std::thread;

/// An idle link is shut so long before its gateway would.
const LINK_MARGIN: Span = Span::millis(250);
/// What a sender that was asked to stop takes for it, at least and at most, and when it ceases to submit.
const STOP_LEAST: Span = Span::millis(600);
const STOP_SUBMITS: Span = Span::millis(2800);
const STOP_MOST: Span = Span::millis(3400);

#[derive(Debug)]
enum Ev {
    Seen(Seen),
    HandIn(HandIn),
    /// A sender hears of its notice's answer.
    Told {
        sender: usize,
        life: u64,
        text: TextId,
    },
    Wake {
        sender: usize,
        life: u64,
        at: Moment,
    },
    LinkIs {
        link: LinkId,
        up: bool,
    },
    Dropped {
        link: LinkId,
    },
    Answered {
        call: CallId,
        reply: Reply,
        allowance: Option<Allowance>,
    },
    TimeOut {
        call: CallId,
    },
    Listed {
        sender: usize,
        life: u64,
        revision: u64,
    },
    Stopping {
        sender: usize,
        life: u64,
    },
}

struct Entry {
    at: Moment,
    /// An answer that has come is worth more than a time that is up.
    late: bool,
    number: u64,
    ev: Ev,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Entry) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Entry) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Entry) -> Ordering {
        (self.at, self.late, self.number).cmp(&(other.at, other.late, other.number))
    }
}

#[derive(Clone)]
struct Owed {
    number: TextNo,
    handed: AcceptedText,
    submits: usize,
    /// Of each submit, whether it may have run.
    doubts: Vec<Option<Moment>>,
    report: Option<Noticed>,
}

struct Out {
    sender: usize,
    life: u64,
    endpoint: EndpointId,
    link: LinkId,
    parts: Vec<(TextId, usize)>,
    sent: Moment,
    by: Moment,
    /// The link is still coming up.
    waits: bool,
}

#[derive(Clone, Copy)]
struct Link {
    sender: usize,
    endpoint: EndpointId,
}

struct Carrier {
    policy: Option<Box<dyn Policy>>,
    life: u64,
    /// What outlasts a life.
    owed: BTreeMap<TextId, Owed>,
    next_text: usize,
    keys: BTreeMap<u64, KeyId>,
    revision: u64,
    idle: BTreeMap<EndpointId, Vec<(LinkId, Moment)>>,
    wake: Option<Moment>,
    out: usize,
    stopping: Option<Moment>,
}

struct Eyes<'a>(&'a Gateways, Moment);

impl Snapshot for Eyes<'_> {
    fn room(&self, endpoint: EndpointId) -> usize {
        self.0.room(endpoint, self.1)
    }
}

struct Stage {
    world: World,
    policy: Name,
    seed: u64,
    net: Span,
    keeps: Span,
    connect: Span,
    settings: Vec<Settings>,
    carriers: Vec<Carrier>,
    queue: BinaryHeap<Reverse<Entry>>,
    number: u64,
    next_id: u64,
    calls: BTreeMap<CallId, Out>,
    links: BTreeMap<LinkId, Link>,
    by_link: BTreeMap<LinkId, CallId>,
    steps: u64,
    sampled: Moment,
}

/// Plays a scenario once.
pub fn run(scenario: &Scenario, policy: Name, seed: u64) -> Result {
    let net = Span::from_millis(scenario.fleet.network_ms);
    let settings: Vec<Settings> =
        (0..scenario.fleet.senders).map(|n| platform::decoded(scenario, n)).collect();
    let stage = Stage {
        // A call that needs a new link is under way twice there and back.
        world: World::new(scenario, seed, Span::millis(1), net * 4.0),
        policy,
        seed,
        net,
        keeps: settings[0].keeps_alive,
        connect: Span::from_millis(scenario.rules.connect_ms),
        carriers: settings.iter().map(|_| Carrier::default()).collect(),
        settings,
        queue: BinaryHeap::new(),
        number: 0,
        next_id: 0,
        calls: BTreeMap::new(),
        links: BTreeMap::new(),
        by_link: BTreeMap::new(),
        steps: 0,
        sampled: Moment::from_millis(0.0),
    };
    stage.play()
}

/// Plays many runs on some threads; the results come in the order asked for, whatever the number of threads.
pub fn run_all(scenario: &Scenario, runs: &[(Name, u64)], threads: usize) -> Vec<Result> {
    let next = AtomicUsize::new(0);
    let mut found: Vec<(usize, Result)> = thread::scope(|scope| {
        let work = || {
            let mut done = Vec::new();
            loop {
                let at = next.fetch_add(1, Atomic::Relaxed);
                let Some((policy, seed)) = runs.get(at) else { return done };
                done.push((at, run(scenario, *policy, *seed)));
            }
        };
        let hands: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        hands
            .into_iter()
            .flat_map(|hand| hand.join().expect("a run that panics is a fault of the lab"))
            .collect()
    });
    found.sort_by_key(|(at, _)| *at);
    found.into_iter().map(|(_, result)| result).collect()
}

impl Default for Carrier {
    fn default() -> Carrier {
        Carrier {
            policy: None,
            life: 0,
            owed: BTreeMap::new(),
            next_text: 0,
            keys: BTreeMap::new(),
            revision: 1,
            idle: BTreeMap::new(),
            wake: None,
            out: 0,
            stopping: None,
        }
    }
}

fn entries(members: &[Member]) -> Vec<indigomast::api::Entry> {
    let entry = |member: &Member| indigomast::api::Entry {
        endpoint: member.endpoint,
        dest: member.dest,
        kind: KindId(member.kind),
        zone: ZoneId(0),
        units: member.units,
        condition: member.condition,
    };
    members.iter().map(entry).collect()
}

impl Stage {
    fn play(mut self) -> Result {
        let start = Moment::from_millis(0.0);
        for sender in 0..self.carriers.len() {
            self.start(start, sender);
        }
        let end = self.world.end();
        loop {
            let own = self.queue.peek().map(|Reverse(entry)| entry.at);
            let theirs = self.world.next();
            let Some(now) = own.into_iter().chain(theirs).min().filter(|now| *now <= end) else { break };
            if now >= self.sampled {
                self.sample(now);
            }
            if theirs.is_some_and(|theirs| theirs <= now) {
                self.world_step(now, Vec::new());
            }
            while let Some(Reverse(entry)) = self.queue.peek()
                && entry.at <= now
            {
                let Some(Reverse(entry)) = self.queue.pop() else { break };
                self.handle(now, entry.ev);
            }
        }
        let (policy, seed, steps) = (self.policy.as_str(), self.seed, self.steps);
        Result { steps, ..self.world.close("virtual", policy, seed) }
    }

    fn sample(&mut self, now: Moment) {
        let mut sums = BTreeMap::<usize, f64>::new();
        for policy in self.carriers.iter().filter_map(|carrier| carrier.policy.as_ref()) {
            for (dest, window) in policy.windows() {
                *sums.entry(dest.0).or_default() += window as f64;
            }
        }
        let drawn = self.world.scenario().destinations().min(24);
        for dest in 0..drawn {
            self.world.note_window(dest, sums.get(&dest).copied().unwrap_or(0.0));
        }
        self.sampled += Span::millis(1000);
        if self.sampled <= now {
            self.sampled = now + Span::millis(1000);
        }
    }

    fn put(&mut self, at: Moment, ev: Ev) {
        self.number += 1;
        let late = matches!(ev, Ev::TimeOut { .. });
        self.queue.push(Reverse(Entry { at, late, number: self.number, ev }));
    }

    fn put_seen(&mut self, at: Moment, seen: Seen) {
        self.put(at, Ev::Seen(seen));
    }

    fn world_step(&mut self, now: Moment, seen: Vec<Seen>) {
        let orders = self.world.step(now, seen);
        let there = now + self.net;
        for order in orders {
            match order {
                Do::HandIn(hand_in) => self.put(there, Ev::HandIn(hand_in)),
                Do::LinkUp(link) => self.put(there, Ev::LinkIs { link, up: true }),
                Do::LinkRefused(link) => self.put(there, Ev::LinkIs { link, up: false }),
                Do::LinkDropped(link) => self.put(there, Ev::Dropped { link }),
                Do::Answer { call, reply, allowance } => {
                    self.put(there, Ev::Answered { call, reply, allowance });
                }
                Do::List { revision } => {
                    for sender in 0..self.carriers.len() {
                        let life = self.carriers[sender].life;
                        self.put(there, Ev::Listed { sender, life, revision });
                    }
                }
                Do::Listens { .. } | Do::TakesOver { .. } => {}
                Do::Stop { sender, kill } => {
                    if kill {
                        self.die(now, sender);
                    } else if self.carriers[sender].policy.is_some() {
                        let life = self.carriers[sender].life;
                        self.carriers[sender].stopping = Some(now);
                        self.put(now + STOP_LEAST, Ev::Stopping { sender, life });
                    }
                }
                Do::Start { sender } => {
                    if self.carriers[sender].policy.is_some() {
                        self.die(now, sender);
                    }
                    self.start(now, sender);
                }
            }
        }
    }

    fn start(&mut self, now: Moment, sender: usize) {
        let seed =
            self.seed.wrapping_mul(1_000_003).wrapping_add(sender as u64 * 7919 + self.carriers[sender].life);
        let policy = self.policy.build(self.settings[sender].clone(), seed);
        let carrier = &mut self.carriers[sender];
        carrier.life += 1;
        carrier.policy = Some(policy);
        carrier.stopping = None;
        carrier.wake = None;
        let (life, first) = (carrier.life, carrier.life == 1);
        let mut events = Vec::new();
        let mut again = Vec::new();
        let (revision, members) = self.world.listing();
        self.carriers[sender].revision = revision;
        events.push(Event::ListReceived { scope: Scope::Complete, entries: entries(&members) });
        for (id, owed) in &self.carriers[sender].owed {
            match owed.report {
                Some(report) => again.push((*id, owed.number, report)),
                None => {
                    let first_in_doubt = owed.doubts.iter().flatten().min().map(|at| (*at, ZoneId(0)));
                    events.push(Event::Resumed(
                        owed.handed.clone(),
                        SubmitHistory { submits: owed.submits, first_in_doubt },
                    ));
                }
            }
        }
        if !first {
            self.put_seen(now, Seen::Ready { sender });
        }
        self.put_seen(now, Seen::ListTold { sender, revision });
        for (id, number, report) in again {
            self.put_seen(now + self.net, Seen::Notice { text: number, end: report });
            self.put(now + self.net * 2.0, Ev::Told { sender, life, text: id });
        }
        self.step(now, sender, events);
    }

    /// The process is gone with all its connections; what was out may have run.
    fn die(&mut self, now: Moment, sender: usize) {
        let carrier = &mut self.carriers[sender];
        if carrier.policy.take().is_none() {
            return;
        }
        carrier.idle.clear();
        carrier.out = 0;
        carrier.wake = None;
        let links: Vec<LinkId> =
            self.links.iter().filter(|(_, link)| link.sender == sender).map(|(id, _)| *id).collect();
        let mut seen = Vec::new();
        for link in links {
            self.links.remove(&link);
            if let Some(call) = self.by_link.remove(&link) {
                self.calls.remove(&call);
            }
            seen.push(Seen::Unlink { link });
        }
        seen.push(Seen::Died { sender });
        self.world_step(now, seen);
    }

    fn handle(&mut self, now: Moment, ev: Ev) {
        match ev {
            Ev::Seen(seen) => self.world_step(now, vec![seen]),
            Ev::HandIn(hand_in) => self.hand_in(now, hand_in),
            Ev::Told { sender, life, text } => {
                let carrier = &mut self.carriers[sender];
                if carrier.life == life && carrier.policy.is_some() {
                    carrier.owed.remove(&text);
                    self.step(now, sender, vec![Event::EndReported(text)]);
                }
            }
            Ev::Wake { sender, life, at } => {
                let carrier = &self.carriers[sender];
                if carrier.life == life && carrier.wake == Some(at) {
                    self.step(now, sender, vec![Event::TimerFired]);
                }
            }
            Ev::LinkIs { link, up } => {
                let Some(call) = self.by_link.get(&link).copied() else { return };
                if up {
                    self.send(now, call);
                } else {
                    self.links.remove(&link);
                    self.outcome(now, call, Verdict::ConnectFailed, None, None, false);
                }
            }
            Ev::Dropped { link } => {
                // Where nothing is out the next call finds out; a reset of one that is out comes as its answer.
                if !self.by_link.contains_key(&link) {
                    self.forget_link(link);
                }
            }
            Ev::Answered { call, reply, allowance } => {
                let (verdict, wait, keeps) = match reply {
                    Reply::Done => (Verdict::Delivered, None, true),
                    Reply::Error => (Verdict::Error, None, true),
                    Reply::Busy { wait } => (Verdict::Full, wait, true),
                    Reply::Reset => (Verdict::Reset, None, false),
                    Reply::Spoilt => (Verdict::Error, None, false),
                };
                self.outcome(now, call, verdict, wait, allowance, keeps);
            }
            Ev::TimeOut { call } => {
                let Some(out) = self.calls.get(&call) else { return };
                let verdict = if out.waits { Verdict::ConnectFailed } else { Verdict::TimeOut };
                self.outcome(now, call, verdict, None, None, false);
            }
            Ev::Listed { sender, life, revision } => {
                let carrier = &mut self.carriers[sender];
                if carrier.life != life || carrier.policy.is_none() || revision <= carrier.revision {
                    return;
                }
                let (newest, changes) = self.world.changes_since(carrier.revision);
                carrier.revision = newest;
                self.world_step(now, vec![Seen::ListTold { sender, revision: newest }]);
                let event = Event::ListReceived { scope: Scope::Partial, entries: entries(&changes) };
                self.step(now, sender, vec![event]);
            }
            Ev::Stopping { sender, life } => {
                let carrier = &self.carriers[sender];
                let Some(since) = carrier.stopping.filter(|_| carrier.life == life) else { return };
                let idle = carrier.out == 0;
                let past = now.since(since);
                if past >= STOP_MOST || (idle && (past >= STOP_SUBMITS || carrier.owed.is_empty())) {
                    return self.die(now, sender);
                }
                self.put(now + Span::millis(20), Ev::Stopping { sender, life });
            }
        }
    }

    fn hand_in(&mut self, now: Moment, hand_in: HandIn) {
        let HandIn { sender, text, product, dest, key, left, goes_early, .. } = hand_in;
        let held = self.settings[sender].max_held;
        let carrier = &mut self.carriers[sender];
        let back = now + self.net;
        let late = carrier.stopping.is_some_and(|since| now.since(since) >= STOP_SUBMITS);
        let admitted = if carrier.policy.is_none() || goes_early {
            Admitted::Broken
        } else if carrier.owed.len() >= held || late {
            Admitted::TurnedAway { again: None }
        } else {
            Admitted::Taken
        };
        self.put_seen(back, Seen::Answered { text, admitted });
        if admitted != Admitted::Taken {
            return;
        }
        let carrier = &mut self.carriers[sender];
        let id = TextId(carrier.next_text);
        carrier.next_text += 1;
        let next_key = KeyId(carrier.keys.len());
        let key = key.map(|key| *carrier.keys.entry(key).or_insert(next_key));
        let handed = AcceptedText {
            text: id,
            product: ProductId(product),
            dest: DestId(dest),
            key,
            valid_until: now - self.net + left,
        };
        let owed =
            Owed { number: text, handed: handed.clone(), submits: 0, doubts: Vec::new(), report: None };
        carrier.owed.insert(id, owed);
        self.step(now, sender, vec![Event::Accepted(handed)]);
    }

    fn step(&mut self, now: Moment, sender: usize, events: Vec<Event>) {
        let carrier = &mut self.carriers[sender];
        let Some(policy) = carrier.policy.as_mut() else { return };
        let actions = policy.step(now, events, &Eyes(self.world.gateways(), now));
        self.steps += 1;
        let life = carrier.life;
        let stopped = carrier.stopping.is_some_and(|since| now.since(since) >= STOP_SUBMITS);
        let mut calls: Vec<(EndpointId, Vec<(TextId, Span)>)> = Vec::new();
        for action in actions {
            match action {
                Action::Submit { text, endpoint, time_out, .. } => {
                    let dest = self.carriers[sender].owed.get(&text).map(|owed| owed.handed.dest);
                    let kind = dest.map_or(1, |dest| self.texts_per_call(dest));
                    match calls.iter_mut().rev().find(|(to, _)| *to == endpoint) {
                        Some((_, parts)) if parts.len() < kind => parts.push((text, time_out)),
                        _ => calls.push((endpoint, vec![(text, time_out)])),
                    }
                }
                Action::Nack { text, retry_after } => {
                    self.report(now, sender, life, text, Noticed::Nacked { again: retry_after });
                }
                Action::Undeliverable { text } => {
                    self.report(now, sender, life, text, Noticed::Undeliverable);
                }
                Action::CloseIdle { endpoint } => {
                    for (link, _) in self.carriers[sender].idle.remove(&endpoint).unwrap_or_default() {
                        self.links.remove(&link);
                        self.put_seen(now + self.net, Seen::Unlink { link });
                    }
                }
                Action::WakeAt(at) => {
                    self.carriers[sender].wake = Some(at);
                    self.put(at.max(now), Ev::Wake { sender, life, at });
                }
                _ => {}
            }
        }
        for (endpoint, parts) in calls {
            // One that has ceased to submit leaves its texts to its next life.
            if !stopped {
                self.call(now, sender, endpoint, parts);
            }
        }
    }

    fn texts_per_call(&self, dest: DestId) -> usize {
        self.world.kind_of(dest).map_or(1, |kind| self.settings[0].kinds[kind].texts_per_call)
    }

    fn report(&mut self, now: Moment, sender: usize, life: u64, text: TextId, end: Noticed) {
        let Some(owed) = self.carriers[sender].owed.get_mut(&text) else { return };
        owed.report = Some(end);
        let number = owed.number;
        self.put_seen(now + self.net, Seen::Notice { text: number, end });
        self.put(now + self.net * 2.0, Ev::Told { sender, life, text });
    }

    fn call(&mut self, now: Moment, sender: usize, endpoint: EndpointId, parts: Vec<(TextId, Span)>) {
        self.next_id += 1;
        let call = CallId(self.next_id);
        let carrier = &mut self.carriers[sender];
        carrier.out += 1;
        let by = parts.iter().map(|(_, time_out)| now + *time_out).max().unwrap_or(now);
        let mut numbered = Vec::new();
        for (text, _) in parts {
            let Some(owed) = carrier.owed.get_mut(&text) else { continue };
            numbered.push((text, owed.submits));
            owed.submits += 1;
            // One without an outcome may have run.
            owed.doubts.push(Some(now));
        }
        let keeps = Span::from_millis(self.keeps.as_millis() - LINK_MARGIN.as_millis());
        let idle = carrier.idle.entry(endpoint).or_default();
        let mut over = Vec::new();
        let mut found = None;
        while let Some((link, rested)) = idle.pop() {
            if now.since(rested) < keeps {
                found = Some(link);
                break;
            }
            over.push(link);
        }
        for link in over {
            self.links.remove(&link);
            self.put_seen(now + self.net, Seen::Unlink { link });
        }
        let life = self.carriers[sender].life;
        let fresh = found.is_none();
        let link = found.unwrap_or_else(|| {
            self.next_id += 1;
            LinkId(self.next_id)
        });
        let out = Out { sender, life, endpoint, link, parts: numbered, sent: now, by, waits: fresh };
        self.calls.insert(call, out);
        self.by_link.insert(link, call);
        if fresh {
            self.links.insert(link, Link { sender, endpoint });
            self.put_seen(now + self.net, Seen::Link { link, endpoint });
            let gives_up = now + self.connect;
            self.put(gives_up.min(by), Ev::TimeOut { call });
        } else {
            self.send(now, call);
        }
    }

    /// The link is up: the call goes out on it.
    fn send(&mut self, now: Moment, call: CallId) {
        let Some(out) = self.calls.get_mut(&call) else { return };
        out.waits = false;
        let (link, by, sender) = (out.link, out.by, out.sender);
        let parts: Vec<TextId> = out.parts.iter().map(|(text, _)| *text).collect();
        let owed = &self.carriers[sender].owed;
        let texts: Vec<TextNo> = parts.iter().filter_map(|id| Some(owed.get(id)?.number)).collect();
        self.put_seen(now + self.net, Seen::Call { call, link, texts, left: None });
        self.put(by.max(now), Ev::TimeOut { call });
    }

    fn forget_link(&mut self, link: LinkId) {
        if let Some(known) = self.links.remove(&link)
            && let Some(idle) = self.carriers[known.sender].idle.get_mut(&known.endpoint)
        {
            idle.retain(|(id, _)| *id != link);
        }
    }

    fn outcome(
        &mut self,
        now: Moment,
        call: CallId,
        verdict: Verdict,
        retry_after: Option<Span>,
        allowance: Option<Allowance>,
        keeps: bool,
    ) {
        // A link that came up sets a second time, of which the first may be the earlier.
        if verdict == Verdict::TimeOut && self.calls.get(&call).is_some_and(|out| now < out.by) {
            return;
        }
        let Some(out) = self.calls.remove(&call) else { return };
        self.by_link.remove(&out.link);
        if keeps {
            let idle = self.carriers[out.sender].idle.entry(out.endpoint).or_default();
            idle.push((out.link, now));
        } else {
            self.links.remove(&out.link);
            self.world_step(now, vec![Seen::Unlink { link: out.link }]);
        }
        let carrier = &mut self.carriers[out.sender];
        if carrier.life != out.life {
            return;
        }
        carrier.out = carrier.out.saturating_sub(1);
        let mut events = Vec::new();
        for (text, submit) in out.parts {
            if let Some(owed) = carrier.owed.get_mut(&text) {
                if verdict.never_ran() {
                    owed.doubts[submit] = None;
                }
                // One given up meanwhile still owes its report.
                if verdict == Verdict::Delivered && owed.report.is_none() {
                    carrier.owed.remove(&text);
                }
            }
            events.push(Event::Outcome(Outcome {
                text,
                submit,
                endpoint: out.endpoint,
                verdict,
                in_doubt: false,
                retry_after,
                latency: now.since(out.sent),
                ended: false,
                allowance,
            }));
        }
        self.step(now, out.sender, events);
    }
}
