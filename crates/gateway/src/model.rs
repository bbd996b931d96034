//! The state machine of all gateways of an installation.

use crate::account::{Accounts, Fall};
use indigomast::api::{Allowance, DestId, EndpointId};
use indigomast::time::{Moment, Span};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

macro_rules! ids {
    ($($name:ident: $inner:ty),*) => {$(
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}
ids!(SenderId: usize, CallId: u64, LinkId: u64, TextNo: u64);

/// What a destination takes from all senders together, in calls.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Limit {
    /// Only what its parallel work allows.
    #[default]
    None,
    /// So many a second, with half a second's worth at once.
    Rate(f64),
    /// So many in each span, counted from the span's beginning.
    Count { calls: u32, each: Span },
}

impl Limit {
    /// Calls a second, if it binds at all.
    pub fn rate(&self) -> Option<f64> {
        match *self {
            Limit::None => None,
            Limit::Rate(rate) => Some(rate),
            Limit::Count { calls, each } => Some(f64::from(calls) / each.as_secs().max(1e-3)),
        }
    }
}

/// What the destinations of one kind are like.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Calls that one endpoint works on at once, and that wait there beside.
    pub parallel: usize,
    pub queue: usize,
    /// Service time of a call: lognormal about a median, and now and then a slow one.
    pub median: Span,
    pub sigma: f64,
    pub slow_share: f64,
    pub slow_factor: f64,
    pub limit: Limit,
    /// Refused calls use up the limit as well.
    pub refused_use_up: bool,
    /// The part of the nacks above the limit or while shut that tell a wait.
    pub tells_wait: f64,
    /// Connections that one endpoint holds, idle ones counted; 0 for any number.
    pub links: usize,
    /// Idle ones are dropped after so long, and nobody is told.
    pub keeps_link: Span,
    /// What a new connection adds to the first call on it.
    pub link_cost: Span,
    /// Answers bear a report of the limit.
    pub reports: bool,
}

impl Default for Kind {
    fn default() -> Kind {
        Kind {
            parallel: 8,
            queue: 16,
            median: Span::millis(100),
            sigma: 0.3,
            slow_share: 0.0,
            slow_factor: 1.0,
            limit: Limit::None,
            refused_use_up: false,
            tells_wait: 0.0,
            links: 0,
            keeps_link: Span::millis(10_000),
            link_cost: Span::ZERO,
            reports: false,
        }
    }
}

impl Kind {
    /// Mean service time in seconds.
    pub fn mean_service(&self) -> f64 {
        let body = self.median.as_secs() * (self.sigma * self.sigma / 2.0).exp();
        body * (1.0 + self.slow_share * (self.slow_factor - 1.0))
    }

    /// Calls a second that a warm destination with so many endpoints can do.
    pub fn capacity(&self, endpoints: usize) -> f64 {
        let work = (endpoints * self.parallel) as f64 / self.mean_service().max(1e-6);
        self.limit.rate().map_or(work, |rate| rate.min(work))
    }
}

/// The figures of the rule on returning destinations.
#[derive(Clone, Copy, Debug)]
pub struct Figures {
    pub cold_share: f64,
    pub cold_span: Span,
    pub tip_multiple: f64,
    pub tip_span: Span,
}

/// An endpoint as the model is built with it.
#[derive(Clone, Copy, Debug)]
pub struct Route {
    pub endpoint: EndpointId,
    pub dest: DestId,
    /// Index into the kinds.
    pub kind: usize,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// Service takes so many times as long.
    Slow(f64),
    /// Stands still for `still` at the end of each `every`; work done is kept.
    Pauses { every: Span, still: Span },
    /// Takes calls and is silent.
    Hang,
    /// Links never come up; those that are there fall silent.
    Vanish,
    /// Refuses links and resets those that are there.
    Down,
    /// Turns all calls away; `until` is what it may tell.
    Shut { until: Moment },
    /// This part of the calls fails quickly; every other one of those has run.
    Errors(f64),
    /// This part of the answers is lost after the call has run: a reset, or silence for every other one.
    Lost(f64),
    /// This part of the answers can't be read.
    Spoilt(f64),
}

impl Trouble {
    /// Whether a destination struck so is out, and comes back cold.
    fn is_outage(self) -> bool {
        match self {
            Trouble::Hang | Trouble::Vanish | Trouble::Down | Trouble::Shut { .. } => true,
            Trouble::Errors(share) => share >= 0.5,
            Trouble::Slow(_) | Trouble::Pauses { .. } | Trouble::Lost(_) | Trouble::Spoilt(_) => false,
        }
    }

    fn kind(self) -> u8 {
        match self {
            Trouble::Slow(_) => 0,
            Trouble::Pauses { .. } => 1,
            Trouble::Hang => 2,
            Trouble::Vanish => 3,
            Trouble::Down => 4,
            Trouble::Shut { .. } => 5,
            Trouble::Errors(_) => 6,
            Trouble::Lost(_) => 7,
            Trouble::Spoilt(_) => 8,
        }
    }
}

#[derive(Clone, Debug)]
pub enum Change {
    Begins(EndpointId, Trouble),
    /// The trouble of that sort is over.
    Ends(EndpointId, Trouble),
    /// A new endpoint is there.
    Added(Route),
}

/// One text of a call. `mark` names the effect; within `memory` after a run a repeat has none.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub text: TextNo,
    pub mark: u64,
    pub memory: Option<Span>,
}

#[derive(Clone, Debug)]
pub enum Event {
    Link {
        link: LinkId,
        endpoint: EndpointId,
    },
    /// The sender has ended the link; calls in work run on.
    Unlink {
        link: LinkId,
    },
    /// The last byte of a call has come.
    Call {
        call: CallId,
        link: LinkId,
        sender: SenderId,
        texts: Vec<Call>,
    },
    /// A sender is known to have met the destination's outage; whoever is refused a link leaves no name.
    Warned {
        dest: DestId,
        sender: SenderId,
    },
    Change(Change),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    Done,
    Error,
    Busy {
        wait: Option<Span>,
    },
    /// The connection ends without an answer.
    Reset,
    Spoilt,
}

/// What became of a text in a call; the model's truth, which no sender sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It took effect.
    Ran,
    /// A repeat that was remembered.
    Repeat,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    LinkUp(LinkId),
    /// At the moment of asking; a vanished endpoint gives no word at all.
    LinkRefused(LinkId),
    /// Without a word to its holder, who finds out with the next call.
    LinkDropped(LinkId),
    Answer {
        call: CallId,
        reply: Reply,
        allowance: Option<Allowance>,
    },
    Ran {
        call: CallId,
        text: TextNo,
        mark: u64,
        fate: Fate,
    },
    Fell(DestId),
}

struct Work {
    endpoint: EndpointId,
    link: LinkId,
    sender: SenderId,
    texts: Vec<Call>,
    /// What is left of its service, in seconds of a sound endpoint.
    service: f64,
    extra: Span,
    luck: Luck,
}

/// What chance decides of a call, drawn before anything else is known.
#[derive(Clone, Copy)]
struct Luck {
    error: f64,
    lost: f64,
    spoilt: f64,
    wait: f64,
    odd: bool,
}

#[derive(Default)]
struct Endpoint {
    dest: DestId,
    kind: usize,
    troubles: Vec<Trouble>,
    links: usize,
    in_work: usize,
    queue: VecDeque<CallId>,
}

#[derive(Default)]
struct Dest {
    endpoints: Vec<EndpointId>,
    kind: usize,
    /// Calls that the limit still allows, and when that was brought up to date.
    tokens: f64,
    counted: Moment,
    span_began: Moment,
    out: bool,
    cold_since: Option<Moment>,
    /// Senders that saw the last outage.
    warned: BTreeSet<SenderId>,
    /// Calls while cold: when, and whether the sender had been warned.
    recent: VecDeque<(Moment, bool)>,
    fallen: bool,
}

struct Link {
    endpoint: EndpointId,
    fresh: bool,
    busy: bool,
    rested_at: Moment,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Finish(CallId),
    Idle(LinkId),
}

/// All gateways of an installation.
pub struct Gateways {
    kinds: Vec<Kind>,
    figures: Figures,
    seed: u64,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    dests: BTreeMap<DestId, Dest>,
    links: BTreeMap<LinkId, Link>,
    work: BTreeMap<CallId, Work>,
    /// How often a text has come in a call.
    comings: BTreeMap<TextNo, u32>,
    /// Until when a mark is remembered.
    marks: BTreeMap<(DestId, u64), Moment>,
    dues: BTreeSet<(Moment, Due)>,
    actions: Vec<Action>,
    now: Moment,
    pub accounts: Accounts,
}

fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Gateways {
    /// # Panics
    /// If a route names a kind that is not there.
    pub fn new(kinds: Vec<Kind>, routes: &[Route], figures: Figures, seed: u64) -> Gateways {
        let mut gateways = Gateways {
            kinds,
            figures,
            seed,
            endpoints: BTreeMap::new(),
            dests: BTreeMap::new(),
            links: BTreeMap::new(),
            work: BTreeMap::new(),
            comings: BTreeMap::new(),
            marks: BTreeMap::new(),
            dues: BTreeSet::new(),
            actions: Vec::new(),
            now: Moment::default(),
            accounts: Accounts::default(),
        };
        routes.iter().for_each(|route| gateways.add(*route));
        gateways
    }

    fn add(&mut self, route: Route) {
        assert!(route.kind < self.kinds.len(), "a route of a kind that is not there");
        let endpoint = Endpoint { dest: route.dest, kind: route.kind, ..Endpoint::default() };
        self.endpoints.insert(route.endpoint, endpoint);
        let dest = self.dests.entry(route.dest).or_insert_with(|| Dest {
            kind: route.kind,
            tokens: f64::INFINITY,
            ..Dest::default()
        });
        dest.endpoints.push(route.endpoint);
    }

    /// When the gateways next act by themselves.
    pub fn next(&self) -> Option<Moment> {
        self.dues.first().map(|(at, _)| *at)
    }

    /// Takes all that arrived at `now`, in order, after what was due until then; returns what comes of it.
    pub fn step(&mut self, now: Moment, events: Vec<Event>) -> Vec<Action> {
        while let Some(&(at, due)) = self.dues.first()
            && at <= now
        {
            self.dues.pop_first();
            self.now = at.max(self.now);
            match due {
                Due::Finish(call) => self.finish(call),
                Due::Idle(link) => self.drop_idle(link),
            }
        }
        self.now = now.max(self.now);
        for event in events {
            match event {
                Event::Link { link, endpoint } => self.link(link, endpoint),
                Event::Unlink { link } => self.unlink(link),
                Event::Call { call, link, sender, texts } => self.call(call, link, sender, texts),
                Event::Change(change) => self.change(change),
                Event::Warned { dest, sender } => {
                    if let Some(at) = self.dests.get_mut(&dest).filter(|at| at.out) {
                        at.warned.insert(sender);
                    }
                }
            }
        }
        std::mem::take(&mut self.actions)
    }

    /// Calls a second that a destination could do now, with sight of its true state; 0 while it is out.
    pub fn true_capacity(&self, dest: DestId, now: Moment) -> f64 {
        let Some(at) = self.dests.get(&dest).filter(|at| !at.fallen && !at.out) else { return 0.0 };
        let sound = at.endpoints.iter().filter(|id| !self.is_out(**id)).count();
        self.kinds[at.kind].capacity(sound) * self.share(at, now)
    }

    /// How many calls an endpoint would start at once now, with sight of its true state: work, limit, troubles.
    pub fn room(&self, endpoint: EndpointId, now: Moment) -> usize {
        let Some(at) = self.endpoints.get(&endpoint) else { return 0 };
        let dest = &self.dests[&at.dest];
        if dest.fallen || self.is_out(endpoint) {
            return 0;
        }
        let work = self.parallel(at, now).saturating_sub(at.in_work + at.queue.len());
        // As many as there can be, for a limit that doesn't bind.
        work.min(self.tokens(dest, now).max(0.0) as usize)
    }

    /// Calls in work and queued at an endpoint.
    pub fn load(&self, endpoint: EndpointId) -> (usize, usize) {
        self.endpoints.get(&endpoint).map_or((0, 0), |at| (at.in_work, at.queue.len()))
    }

    pub fn is_destination_out(&self, dest: DestId) -> bool {
        self.dests.get(&dest).is_some_and(|dest| dest.out)
    }

    pub fn is_fallen(&self, dest: DestId) -> bool {
        self.dests.get(&dest).is_some_and(|dest| dest.fallen)
    }

    pub fn is_cold(&self, dest: DestId, now: Moment) -> bool {
        self.dests.get(&dest).is_some_and(|dest| self.share(dest, now) < 1.0)
    }

    /// Whether an endpoint listens at all; on sockets a closed one refuses by itself.
    pub fn listens(&self, endpoint: EndpointId) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|at| {
            !self.dests[&at.dest].fallen && !at.troubles.iter().any(|t| matches!(t, Trouble::Down))
        })
    }

    fn is_out(&self, endpoint: EndpointId) -> bool {
        self.endpoints[&endpoint].troubles.iter().any(|trouble| trouble.is_outage())
    }

    /// The part of its capacity that a destination has, which is less than all for a while after an outage.
    fn share(&self, dest: &Dest, now: Moment) -> f64 {
        let Some(since) = dest.cold_since else { return 1.0 };
        let warmth = now.since(since).as_secs() / self.figures.cold_span.as_secs().max(1e-3);
        (self.figures.cold_share + (1.0 - self.figures.cold_share) * warmth).min(1.0)
    }

    fn parallel(&self, endpoint: &Endpoint, now: Moment) -> usize {
        let whole = self.kinds[endpoint.kind].parallel as f64;
        ((whole * self.share(&self.dests[&endpoint.dest], now)).round() as usize).max(1)
    }

    fn change(&mut self, change: Change) {
        let (endpoint, trouble, begins) = match change {
            Change::Added(route) => return self.add(route),
            Change::Begins(endpoint, trouble) => (endpoint, trouble, true),
            Change::Ends(endpoint, trouble) => (endpoint, trouble, false),
        };
        let Some(at) = self.endpoints.get_mut(&endpoint) else { return };
        at.troubles.retain(|old| old.kind() != trouble.kind());
        if begins {
            at.troubles.push(trouble);
        }
        let dest_id = at.dest;
        if begins && trouble == Trouble::Down {
            self.reset_all(endpoint);
        }
        let was = self.dests[&dest_id].out;
        let out = self.dests[&dest_id].endpoints.iter().all(|id| self.is_out(*id));
        let now = self.now;
        let dest = self.dests.get_mut(&dest_id).expect("an endpoint's destination is there");
        if out && !was {
            dest.warned.clear();
        }
        if was && !out {
            dest.cold_since = Some(now);
            dest.recent.clear();
            dest.tokens = dest.tokens.min(1.0);
            dest.counted = now;
        }
        dest.out = out;
        self.start_queued(endpoint);
    }

    /// All links of an endpoint break; what was in work is lost with it.
    fn reset_all(&mut self, endpoint: EndpointId) {
        let calls: Vec<CallId> =
            self.work.iter().filter(|(_, work)| work.endpoint == endpoint).map(|(call, _)| *call).collect();
        for call in calls {
            if let Some(work) = self.work.remove(&call) {
                self.warn(endpoint, work.sender);
                self.accounts.of(endpoint).unanswered += 1;
                self.actions.push(Action::Answer { call, reply: Reply::Reset, allowance: None });
            }
        }
        let links: Vec<LinkId> =
            self.links.iter().filter(|(_, link)| link.endpoint == endpoint).map(|(id, _)| *id).collect();
        for link in links {
            self.links.remove(&link);
            self.actions.push(Action::LinkDropped(link));
        }
        let at = self.endpoints.get_mut(&endpoint).expect("known");
        at.links = 0;
        at.in_work = 0;
        at.queue.clear();
    }

    /// A sender that met an outage knows of it.
    fn warn(&mut self, endpoint: EndpointId, sender: SenderId) {
        let dest = self.endpoints[&endpoint].dest;
        let dest = self.dests.get_mut(&dest).expect("an endpoint's destination is there");
        if dest.out {
            dest.warned.insert(sender);
        }
    }

    fn link(&mut self, link: LinkId, endpoint: EndpointId) {
        let Some(at) = self.endpoints.get_mut(&endpoint) else {
            return self.actions.push(Action::LinkRefused(link));
        };
        if at.troubles.contains(&Trouble::Vanish) {
            return;
        }
        let kind = &self.kinds[at.kind];
        let full = kind.links > 0 && at.links >= kind.links;
        if full || self.dests[&at.dest].fallen || at.troubles.contains(&Trouble::Down) {
            self.accounts.of(endpoint).links_refused += 1;
            return self.actions.push(Action::LinkRefused(link));
        }
        at.links += 1;
        self.accounts.of(endpoint).links += 1;
        let idle_at = self.now + kind.keeps_link;
        self.links.insert(link, Link { endpoint, fresh: true, busy: false, rested_at: self.now });
        self.dues.insert((idle_at, Due::Idle(link)));
        self.actions.push(Action::LinkUp(link));
    }

    fn unlink(&mut self, link: LinkId) {
        if let Some(gone) = self.links.remove(&link)
            && let Some(at) = self.endpoints.get_mut(&gone.endpoint)
        {
            at.links = at.links.saturating_sub(1);
        }
    }

    fn drop_idle(&mut self, id: LinkId) {
        let Some(link) = self.links.get(&id) else { return };
        let keeps = self.kinds[self.endpoints[&link.endpoint].kind].keeps_link;
        let until = link.rested_at + keeps;
        if link.busy {
            self.dues.insert((self.now + keeps, Due::Idle(id)));
        } else if until > self.now {
            self.dues.insert((until, Due::Idle(id)));
        } else {
            let endpoint = link.endpoint;
            self.unlink(id);
            self.accounts.of(endpoint).links_dropped += 1;
            self.actions.push(Action::LinkDropped(id));
        }
    }

    fn draw(&mut self, kind: usize, text: TextNo) -> (f64, Luck) {
        let coming = self.comings.entry(text).or_default();
        *coming += 1;
        let odd = *coming % 2 == 1;
        let mut rng = Pcg64Mcg::seed_from_u64(mix(self.seed ^ mix(text.0 ^ u64::from(*coming) << 48)));
        let kind = &self.kinds[kind];
        let body = LogNormal::new(kind.median.as_secs().max(1e-6).ln(), kind.sigma.max(0.0));
        let body: f64 = body.map_or(kind.median.as_secs(), |shape| shape.sample(&mut rng));
        let slow: f64 = rng.random();
        let service = if slow < kind.slow_share { body * kind.slow_factor } else { body };
        let luck = Luck {
            error: rng.random(),
            lost: rng.random(),
            spoilt: rng.random(),
            wait: rng.random(),
            odd: odd ^ (rng.random::<f64>() < 0.5),
        };
        (service, luck)
    }

    fn tokens(&self, dest: &Dest, now: Moment) -> f64 {
        let limit = self.kinds[dest.kind].limit;
        let share = self.share(dest, now);
        match limit {
            Limit::None => f64::INFINITY,
            Limit::Rate(rate) => {
                let grown = dest.tokens + now.since(dest.counted).as_secs() * rate * share;
                grown.min((rate * share / 2.0).max(1.0))
            }
            Limit::Count { calls, each } => {
                let whole = (f64::from(calls) * share).max(1.0);
                if now.since(dest.span_began) >= each { whole } else { dest.tokens.min(whole) }
            }
        }
    }

    /// Takes a call off the limit; otherwise how long until there is room again.
    fn pass_limit(&mut self, dest_id: DestId) -> Result<(), Span> {
        let now = self.now;
        let dest = &self.dests[&dest_id];
        let kind = &self.kinds[dest.kind];
        let (limit, use_up, share) = (kind.limit, kind.refused_use_up, self.share(dest, now));
        let tokens = self.tokens(dest, now);
        let dest = self.dests.get_mut(&dest_id).expect("looked at");
        dest.counted = now;
        if let Limit::Count { each, .. } = limit
            && now.since(dest.span_began) >= each
        {
            dest.span_began = now;
        }
        if tokens >= 1.0 {
            dest.tokens = tokens - 1.0;
            return Ok(());
        }
        dest.tokens = tokens;
        match limit {
            Limit::None => Ok(()),
            Limit::Rate(rate) => {
                if use_up {
                    dest.tokens = (tokens - 1.0).max(-rate);
                }
                Err(Span::from_millis(1000.0 * (1.0 - dest.tokens) / (rate * share).max(1e-3)))
            }
            Limit::Count { each, .. } => Err((dest.span_began + each).since(now)),
        }
    }

    /// Counts a call against what a cold destination bears, and tips it over if that was too much.
    fn bear(&mut self, dest_id: DestId, sender: SenderId) {
        let now = self.now;
        let dest = &self.dests[&dest_id];
        let share = self.share(dest, now);
        if dest.fallen || dest.out || share >= 1.0 {
            return;
        }
        let capacity = self.kinds[dest.kind].capacity(dest.endpoints.len()) * share;
        let Figures { tip_multiple, tip_span, .. } = self.figures;
        // A call or two are no flood, however small the capacity.
        let bearable = (tip_multiple * capacity * tip_span.as_secs()).max(4.0);
        let dest = self.dests.get_mut(&dest_id).expect("looked at");
        dest.recent.push_back((now, dest.warned.contains(&sender)));
        while dest.recent.front().is_some_and(|(at, _)| now.since(*at) > tip_span) {
            dest.recent.pop_front();
        }
        let load = dest.recent.len() as f64;
        if load > bearable {
            dest.fallen = true;
            let warned = dest.recent.iter().filter(|(_, warned)| *warned).count() as f64;
            let fall = Fall { dest: dest_id, at: now, load, bearable, from_warned: warned / load };
            self.accounts.falls.push(fall);
            let endpoints = dest.endpoints.clone();
            self.actions.push(Action::Fell(dest_id));
            endpoints.into_iter().for_each(|endpoint| self.reset_all(endpoint));
        }
    }

    fn call(&mut self, call: CallId, link: LinkId, sender: SenderId, texts: Vec<Call>) {
        let Some(open) = self.links.get_mut(&link) else {
            return self.actions.push(Action::Answer { call, reply: Reply::Reset, allowance: None });
        };
        let endpoint = open.endpoint;
        let fresh = std::mem::take(&mut open.fresh);
        open.busy = true;
        let (dest, kind) = (self.endpoints[&endpoint].dest, self.endpoints[&endpoint].kind);
        let account = self.accounts.of(endpoint);
        account.calls += 1;
        account.texts += texts.len() as u64;
        *account.by_sender.entry(sender).or_default() += 1;
        self.bear(dest, sender);
        if self.dests[&dest].fallen {
            self.accounts.of(endpoint).unanswered += 1;
            return self.actions.push(Action::Answer { call, reply: Reply::Reset, allowance: None });
        }
        let first = texts.first().map_or(TextNo(call.0), |first| first.text);
        let (service, luck) = self.draw(kind, first);
        let extra = if fresh { self.kinds[kind].link_cost } else { Span::ZERO };
        let work = Work { endpoint, link, sender, texts, service, extra, luck };
        let troubles = self.endpoints[&endpoint].troubles.clone();
        let tells = luck.wait < self.kinds[kind].tells_wait;
        for trouble in troubles {
            match trouble {
                Trouble::Hang | Trouble::Vanish => {
                    self.warn(endpoint, sender);
                    self.accounts.of(endpoint).unanswered += 1;
                    return;
                }
                Trouble::Shut { until } => {
                    self.warn(endpoint, sender);
                    let wait = tells.then(|| until.since(self.now));
                    return self.refuse(call, &work, wait);
                }
                Trouble::Errors(share) if luck.error < share => {
                    self.warn(endpoint, sender);
                    self.accounts.of(endpoint).errors += 1;
                    if luck.odd {
                        self.run(call, &work);
                    }
                    return self.answer(call, &work, Reply::Error);
                }
                _ => {}
            }
        }
        if let Err(wait) = self.pass_limit(dest) {
            return self.refuse(call, &work, tells.then_some(wait));
        }
        let at = &self.endpoints[&endpoint];
        let room = at.in_work < self.parallel(at, self.now);
        if !room && at.queue.len() >= self.kinds[kind].queue {
            return self.refuse(call, &work, None);
        }
        self.work.insert(call, work);
        let at = self.endpoints.get_mut(&endpoint).expect("looked at");
        if room {
            self.start(call);
        } else {
            at.queue.push_back(call);
        }
        let at = &self.endpoints[&endpoint];
        let load = (at.in_work + at.queue.len()) as u64;
        let account = self.accounts.of(endpoint);
        account.busiest = account.busiest.max(load);
    }

    fn refuse(&mut self, call: CallId, work: &Work, wait: Option<Span>) {
        self.accounts.of(work.endpoint).refused += 1;
        self.answer(call, work, Reply::Busy { wait });
    }

    fn answer(&mut self, call: CallId, work: &Work, reply: Reply) {
        if let Some(link) = self.links.get_mut(&work.link) {
            link.busy = false;
            link.rested_at = self.now;
        }
        if reply == Reply::Reset {
            self.unlink(work.link);
        }
        let dest = &self.dests[&self.endpoints[&work.endpoint].dest];
        let kind = &self.kinds[dest.kind];
        let allowance = kind.limit.rate().filter(|_| kind.reports).map(|rate| {
            let share = self.share(dest, self.now);
            let most = match kind.limit {
                Limit::Count { calls, .. } => f64::from(calls) * share,
                _ => (rate * share / 2.0).max(1.0),
            };
            let left = (self.tokens(dest, self.now) / most.max(1.0)).clamp(0.0, 1.0);
            Allowance { remaining_share: left, calls_per_sec: rate * share }
        });
        self.actions.push(Action::Answer { call, reply, allowance });
    }

    fn start(&mut self, call: CallId) {
        let work = &self.work[&call];
        let at = self.endpoints.get_mut(&work.endpoint).expect("known");
        at.in_work += 1;
        let slow = at.troubles.iter().find_map(|t| if let Trouble::Slow(by) = t { Some(*by) } else { None });
        let service = Span::from_millis(1000.0 * work.service * slow.unwrap_or(1.0)) + work.extra;
        let pauses = at.troubles.iter().find_map(|trouble| match trouble {
            Trouble::Pauses { every, still } => Some((*every, *still)),
            _ => None,
        });
        let done = match pauses {
            Some((every, still)) => through_pauses(self.now, service, every, still),
            None => self.now + service,
        };
        self.dues.insert((done, Due::Finish(call)));
    }

    fn start_queued(&mut self, endpoint: EndpointId) {
        loop {
            let at = &self.endpoints[&endpoint];
            if at.in_work >= self.parallel(at, self.now) {
                return;
            }
            let at = self.endpoints.get_mut(&endpoint).expect("looked at");
            let Some(next) = at.queue.pop_front() else { return };
            self.start(next);
        }
    }

    fn run(&mut self, call: CallId, work: &Work) {
        let dest = self.endpoints[&work.endpoint].dest;
        for text in &work.texts {
            let known = self.marks.get(&(dest, text.mark)).is_some_and(|until| *until > self.now);
            let fate = if known { Fate::Repeat } else { Fate::Ran };
            if let Some(memory) = text.memory.filter(|_| !known) {
                self.marks.insert((dest, text.mark), self.now + memory);
            }
            self.actions.push(Action::Ran { call, text: text.text, mark: text.mark, fate });
        }
    }

    fn finish(&mut self, call: CallId) {
        // What was reset meanwhile is no longer in work.
        let Some(work) = self.work.remove(&call) else { return };
        let at = self.endpoints.get_mut(&work.endpoint).expect("known");
        at.in_work = at.in_work.saturating_sub(1);
        let troubles = at.troubles.clone();
        self.accounts.of(work.endpoint).ran += 1;
        self.run(call, &work);
        let mut reply = Some(Reply::Done);
        for trouble in troubles {
            match trouble {
                Trouble::Lost(share) if work.luck.lost < share => {
                    reply = work.luck.odd.then_some(Reply::Reset);
                }
                Trouble::Spoilt(share) if work.luck.spoilt < share => reply = Some(Reply::Spoilt),
                Trouble::Hang | Trouble::Vanish => {
                    self.warn(work.endpoint, work.sender);
                    reply = None;
                }
                _ => {}
            }
        }
        if reply != Some(Reply::Done) {
            self.accounts.of(work.endpoint).unanswered += 1;
        }
        if let Some(reply) = reply {
            self.answer(call, &work, reply);
        }
        self.start_queued(work.endpoint);
    }
}

/// When work that begins now is done at an endpoint which stands still at the end of each period.
fn through_pauses(now: Moment, mut service: Span, every: Span, still: Span) -> Moment {
    let (every_ms, awake_ms) = (every.as_millis().max(1.0), (every.as_millis() - still.as_millis()).max(0.1));
    let mut at = now;
    loop {
        let phase = at.as_millis().rem_euclid(every_ms);
        let left = Span::from_millis(awake_ms - phase);
        if phase < awake_ms && service <= left {
            return at + service;
        }
        if phase < awake_ms {
            service = Span::from_millis(service.as_millis() - left.as_millis());
        }
        at += Span::from_millis(every_ms - phase);
    }
}
