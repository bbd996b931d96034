//! Decides on each text: whether, when, where and how often it is submitted, and how it ends.
//!
//! [`Rules::step`] takes the events of one moment and returns the actions to take, in order; both are
//! defined in [`crate::api`]. `docs/design.md` tells which page the ordinary path follows and where it
//! departs from it.

use crate::api::*;
use crate::connection_sharing;
use crate::rng::Rng;
use crate::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Interval of the one periodic timer, which causes most of the work of an idle sender.
const TICK_INTERVAL: Span = Span::millis(20);
/// State of a route or an unlisted endpoint that has been idle for this long is dropped.
const IDLE_STATE_TTL: Span = Span::millis(30_000);
/// Time before the end of the validity period at which a text is ended, which is longer than a tick
/// interval, and at which a submit times out.
const ANSWER_MARGIN: Span = Span::millis(28);
const TIMEOUT_MARGIN: Span = Span::millis(12);
/// A referenced text is not sent again within this time of the end of its receiver's deduplication memory.
const MEMORY_MARGIN: Span = Span::millis(300);
/// A text in doubt is sent before fresh ones if its receiver's deduplication memory of it ends within this
/// time.
const EXPIRING_WITHIN: Span = Span::millis(2_500);
/// Delay before the first retry of a text; it doubles with each submit up to the maximum.
const INITIAL_BACKOFF: Span = Span::millis(250);
const MAX_BACKOFF: Span = Span::millis(8_000);
/// Interval between trial calls to a route or endpoint that is marked down: its initial value, growth
/// factor and maximum.
const INITIAL_TRIAL_INTERVAL: Span = Span::millis(400);
const TRIAL_INTERVAL_GROWTH: f64 = 1.6;
const MAX_TRIAL_INTERVAL: Span = Span::millis(1_200);
/// Consecutive failures, counted at most once a round trip, after which a route or endpoint is marked down.
const FAILURES_UNTIL_DOWN: u32 = 6;
/// A failure counts double if the previous one was at least this long ago.
const SPARSE_FAILURE_GAP: Span = Span::millis(1_000);
/// Pause of a route after a quick failure, or one call interval of this sender's share of the rate if that
/// is shorter. Where the calls to a cold receiver have to be further apart than this, a sender makes too
/// few calls to mark it down by their number.
const QUICK_FAILURE_PAUSE: Span = Span::millis(1_500);
/// Assumed ratio of a sender's peak demand to its mean demand, where no rate is known.
const PEAK_TO_MEAN: f64 = 2.0;
/// The same ratio for a cold destination, and the calls a second from all senders that it is assumed to
/// take at least.
const COLD_PEAK_TO_MEAN: f64 = 1.5;
const MIN_COLD_RATE: f64 = 4.0;
/// Calls a second that a warm destination is assumed to take, where nothing else is known.
const MIN_WARM_RATE: f64 = 1.0;
/// Answer times count as sharply risen if the recent average exceeds the usual one by this factor and by at
/// least this many milliseconds.
const SLOW_FACTOR: f64 = 2.5;
const SLOW_MARGIN_MS: f64 = 150.0;
/// The rise of answer times common to all routes is taken from the routes that answered within this span,
/// and from this many of them at most.
const RECENT_ANSWER_SPAN: Span = Span::millis(3_000);
const MAX_RECENT_ROUTES: usize = 15;
/// Share of the capacity for held texts that is kept free.
const RESERVED_CAPACITY_SHARE: f64 = 0.1;
/// A pace is multiplied by the first factor when the receiver reports an overload and rises by the second
/// as a share of this sender's share each second. The third limits the time that one overload response adds
/// for all senders to take a turn; the fourth is how early a paced call may go out; the last is the lowest
/// pace, in calls a second, where no rate is known.
const PACE_DECREASE: f64 = 0.8;
const PACE_INCREASE: f64 = 0.1;
const MAX_ROUND: Span = Span::millis(2_000);
const PACE_TOLERANCE: Span = Span::millis(100);
const MIN_PACE: f64 = 0.4;
/// Share of a known rate at which a pace starts where rejected calls cost nothing.
const INITIAL_PACE_SHARE: f64 = 0.25;
/// Lowest pace, as a share of this sender's share of a known rate.
const MIN_PACE_SHARE: f64 = 0.2;
/// While less than the first share of a limit is left, paces do not rise; each answer then lowers them by
/// up to the second share.
const LOW_LIMIT_SHARE: f64 = 0.5;
const MAX_PACE_EASING: f64 = 0.1;
/// A call counts as unanswered, and its receiver as silent, after this multiple of the usual answer time,
/// and after this long at least.
const SILENCE_FACTOR: f64 = 4.0;
const MIN_SILENCE: Span = Span::millis(500);
/// Idle connections are closed only within this time of a refused or lost connection to the same kind of
/// destination.
const CONNECTION_LOSS_SPAN: Span = Span::millis(20_000);
/// An idle connection is kept if its next use is expected within this share of its keep-alive time.
const IDLE_KEEP_SHARE: f64 = 0.5;
/// Averaging time of the demand for a destination in seconds, and the shortest time over which it is
/// averaged just after the start.
const DEMAND_AVERAGING_SECS: f64 = 15.0;
const MIN_DEMAND_SECS: f64 = 2.0;
/// Initial delay before the sender subscribes to the list again after a failure.
const INITIAL_SUBSCRIBE_BACKOFF: Span = Span::millis(300);

/// What happens when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    /// The retry delay of a text is over.
    RetryText(TextId),
    /// A text has to be ended, as its validity or its receiver's memory of it ends.
    EndText(TextId),
    /// The pause of a key is over.
    ReleaseKey(KeyId),
    /// The list is subscribed to again after a failure.
    Subscribe,
    /// A route of a destination may be called again.
    RouteOpens(DestId),
    /// A route without calls is dropped if it is still idle.
    DropIdleRoute(RouteId),
    /// A call is checked for silence.
    CheckCall(u64),
    /// An endpoint that is not running is dropped if it is still idle.
    DropUnlisted(EndpointId),
    /// The lease of the list ends.
    ListLeaseEnds,
}

/// Where a text stands between acceptance and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// An earlier text of the same key comes first.
    BehindKey,
    /// Not submitted yet, may be sent.
    Fresh,
    /// Waits for its retry delay.
    BackingOff,
    /// Submitted before, may be sent again.
    RetryReady,
    /// In a call that is out.
    Submitted,
    /// Ended; a submit may still be out, or its report outstanding.
    Ended,
}

/// A text that the sender is responsible for.
struct Text {
    dest: DestId,
    product: ProductId,
    key: Option<KeyId>,
    valid_until: Moment,
    submits: usize,
    /// The call that carries the text, while one is out.
    current_call: Option<u64>,
    /// When and in which zone the first submit that may have run was sent.
    first_in_doubt: Option<(Moment, ZoneId)>,
    /// Given up, while the report to the client is still outstanding.
    end_unreported: bool,
    /// Travelled in a call with several texts that was never processed, and may be the cause, for example
    /// because it can't be parsed. It is sent in calls of its own from then on.
    unbatched: bool,
    /// Accepted by an earlier process. The client was promised an attempt, so it gets a call before it is
    /// given up.
    resumed: bool,
    /// Where the text stands; set by `Rules::set_stage` only.
    stage: Stage,
}

/// The texts of one key in the order in which they were accepted.
#[derive(Default)]
struct KeyQueue {
    queue: VecDeque<TextId>,
    /// Until when no text of the key is sent, as an earlier one may still run.
    paused_until: Option<Moment>,
}

/// The texts held for a destination and the endpoints that they may be sent to.
#[derive(Default)]
struct Hold {
    fresh: BTreeSet<TextId>,
    retry_ready: BTreeSet<TextId>,
    /// Texts that must not wait behind fresh ones, by the moment when it is too late for them: retries in
    /// doubt by the end of their receiver's deduplication memory, and texts of an earlier process that were
    /// never submitted by the end of their validity.
    expiring: BTreeSet<(Moment, TextId)>,
    /// Texts neither in doubt nor in a call, which may be given up to make room.
    evictable: BTreeSet<TextId>,
    held: usize,
    /// Exponentially decayed count of the texts handed in, and the time up to which it has been decayed.
    arrivals: f64,
    arrivals_at: Moment,
    endpoints: Vec<EndpointId>,
    /// Calls a second that the list states, as [`Settings::listed_rate`] tells; the largest of all
    /// endpoints.
    units: f64,
    rank: Option<Rank>,
    /// When the destination is next looked at, as one of its routes may be called then.
    recheck_at: Option<Moment>,
    /// Set if an earlier process left texts here, until the routes to them have been treated as cold. True
    /// if any of them was more than a single submit that was still out when that process ended.
    resumed_unclear: Option<bool>,
}

/// Order in which destinations may send: fresh texts before retries, then the fewest calls out, then the
/// newest text.
type Rank = (bool, usize, Reverse<TextId>, DestId);
/// The rank of a destination and the endpoint to call, or when one may be called, if that is known.
type PickResult = Result<(Rank, EndpointId), Option<Moment>>;

impl Hold {
    /// Factor by which the count of arrivals has decayed since it was last updated.
    fn decay(&self, now: Moment) -> f64 {
        (-now.since(self.arrivals_at).as_secs() / DEMAND_AVERAGING_SECS).exp()
    }
}

/// A call that is out.
struct Call {
    endpoint: EndpointId,
    sent: Moment,
    /// Texts of the call that have no outcome yet.
    texts_unanswered: usize,
    texts: Vec<TextId>,
    /// An outcome of the call has been counted in the health of its route.
    assessed: bool,
    /// The time-out was shortened by the end of a text's validity.
    timeout_shortened: bool,
}

/// State of a route or an endpoint. Stored under the names given by the attributes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
enum HealthState {
    /// Calls are limited by the window and the pace only.
    #[default]
    #[serde(rename = "Sound")]
    Healthy,
    /// Only trial calls are made.
    Down,
    /// Answers again after an outage, and is still cold.
    #[serde(rename = "Back")]
    Recovering,
}

/// Health of a route or an endpoint as seen by this sender's own calls.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Health {
    state: HealthState,
    /// When the state was entered.
    since: Moment,
    /// When the next call may be made, unless healthy.
    next: Moment,
    /// Interval between trial calls while down.
    #[serde(rename = "gap")]
    trial_interval: Span,
    /// Failures since the last success, weighted; halved by a success while not healthy.
    #[serde(rename = "strikes")]
    consecutive_failures: u32,
    /// When the last counted failure was received.
    #[serde(rename = "struck_at")]
    last_failure_at: Moment,
    /// When the last success was received.
    last_ok: Moment,
}

impl Health {
    /// When the next call may be made; none while an outcome has to come first.
    fn opens_at(&self, calls_out: usize) -> Option<Moment> {
        match self.state {
            HealthState::Healthy => Some(Moment::default()),
            HealthState::Down => (calls_out == 0).then_some(self.next),
            HealthState::Recovering => Some(self.next),
        }
    }

    /// Counts the failure of a call that was sent at `sent`. `silent` says that it timed out.
    fn record_failure(&mut self, now: Moment, sent: Moment, weight: u32, silent: bool, jitter: f64) {
        if self.state == HealthState::Down {
            // Only trial calls lengthen the interval; calls that were out when the outage was noticed do
            // not.
            if sent < self.since {
                return;
            }
            self.trial_interval = (self.trial_interval * TRIAL_INTERVAL_GROWTH).min(MAX_TRIAL_INTERVAL);
            self.next = self.next.max(now + self.trial_interval * jitter);
            return;
        }
        // An answer received after this call was sent shows that the receiver is alive, so a single loss is
        // not an outage. Calls sent before the last failure report the same trouble again, but two
        // time-outs mean silence.
        if self.last_ok >= sent || (sent < self.last_failure_at && !silent) {
            return;
        }
        // Where calls are rare, six separate failures would take longer than most outages last.
        let sparse_failure = weight == 1
            && self.consecutive_failures > 0
            && now.since(self.last_failure_at) >= SPARSE_FAILURE_GAP;
        self.consecutive_failures += if sparse_failure { 2 * weight } else { weight };
        self.last_failure_at = now;
        if self.consecutive_failures >= FAILURES_UNTIL_DOWN {
            (self.state, self.since, self.trial_interval) = (HealthState::Down, now, INITIAL_TRIAL_INTERVAL);
            self.next = now + self.trial_interval * jitter;
        }
    }

    /// Counts a success. A recovering receiver gets its next call after `turn_delay` and is healthy again
    /// after `cold`.
    fn record_success(&mut self, now: Moment, turn_delay: Span, cold: Span) {
        self.last_ok = now;
        // A single success among failures does not end an outage.
        self.consecutive_failures =
            if self.state == HealthState::Healthy { 0 } else { self.consecutive_failures / 2 };
        if self.state == HealthState::Down {
            (self.state, self.since, self.next) = (HealthState::Recovering, now, now + turn_delay);
        } else if self.state == HealthState::Recovering && now.since(self.since) >= cold {
            self.state = HealthState::Healthy;
        }
    }
}

/// An endpoint of the list and what is known of it. Stored under the names given by the attributes.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Endpoint {
    dest: DestId,
    kind: KindId,
    zone: ZoneId,
    units: f64,
    running: bool,
    /// Taken out of service by the operators, whatever the list says.
    #[serde(rename = "by_hand")]
    taken_out: bool,
    #[serde(skip)]
    calls: BTreeSet<u64>,
    last_used: Moment,
    health: Health,
}

impl Endpoint {
    /// Whether calls other than those already out may go to the endpoint.
    fn serves(&self) -> bool {
        self.running && !self.taken_out
    }
}

/// Flow control state of a route. A route is a whole destination, or one endpoint of it where the endpoints
/// of its kind fail independently of each other ([`Kind::routes_apart`]).
#[derive(Clone, Default, Serialize, Deserialize)]
struct Route {
    /// Calls that may be out at once, adjusted by additive increase and multiplicative decrease.
    window: usize,
    /// Deliveries since the window last changed.
    delivered: usize,
    #[serde(skip)]
    calls: BTreeSet<u64>,
    /// End of the retry-after time that the receiver gave.
    wait_until: Moment,
    /// When the window was last reduced.
    cut_at: Moment,
    last_used: Moment,
    health: Health,
    /// Usual (slowly averaged), recent (quickly averaged) answer time and its mean deviation, in
    /// milliseconds; 0 while nothing is known.
    usual: f64,
    recent: f64,
    spread: f64,
    /// Answer times have risen sharply.
    slow: bool,
    /// Time-outs since the last delivery; they lengthen the next time-out.
    time_outs: u32,
    /// Calls a second that the receiver reports as its limit; 0 if it reports none.
    #[serde(rename = "told_rate")]
    reported_rate: f64,
    /// Calls a second that this sender allows itself; 0 while it is not limited.
    pace: f64,
    /// When the pace allows the next call.
    #[serde(rename = "paced")]
    next_paced_call: Moment,
}

/// A destination, and the endpoint where its endpoints fail independently.
type RouteId = (DestId, Option<EndpointId>);

/// What a process has learned and hands over to its successor. Texts and the list of endpoints are handed
/// over as events. Stored under the names given by the attributes.
#[derive(Serialize, Deserialize)]
pub struct LearnedState {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    #[serde(rename = "lanes")]
    routes: BTreeMap<RouteId, Route>,
    /// When a connection to each kind of destination was last lost.
    #[serde(rename = "lost")]
    connection_lost_at: BTreeMap<KindId, Moment>,
    /// The decayed count of arrivals of each destination and its time.
    #[serde(rename = "asked")]
    arrivals: Vec<(DestId, f64, Moment)>,
    /// Until when each paused key is paused.
    #[serde(rename = "rests")]
    key_pauses: Vec<(KeyId, Moment)>,
    started: Option<Moment>,
}

/// Decides what is submitted when and where, from events alone: it reads no clock and does no input or
/// output.
#[derive(Default)]
pub struct Rules {
    settings: Settings,
    rng: Rng,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    routes: BTreeMap<RouteId, Route>,
    holds: BTreeMap<DestId, Hold>,
    texts: BTreeMap<TextId, Text>,
    /// Keys with texts or a pause.
    keys: BTreeMap<KeyId, KeyQueue>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    timers: BTreeSet<(Moment, Timer)>,
    /// Destinations that have to be looked at again because something changed.
    changed_dests: BTreeSet<DestId>,
    /// When each recently active route last answered, and by which factor its answer times had risen.
    recent_rises: VecDeque<(Moment, RouteId, f64)>,
    /// Destinations that may send, best first.
    candidates: BTreeSet<Rank>,
    held: usize,
    /// When a call to a kind of destination last failed to connect, or was lost on a connection that had
    /// been idle.
    connection_lost_at: BTreeMap<KindId, Moment>,
    /// When a receiver of this kind last rejected a call, presumably because it had no room for its
    /// connection.
    connections_full_at: BTreeMap<KindId, Moment>,
    /// Destinations by the number of texts held for them.
    holds_by_size: BTreeSet<(usize, DestId)>,
    /// Consecutive failures to get the list.
    failed_subscribes: u32,
    /// End of the lease under which the list may be used.
    list_valid_until: Option<Moment>,
    /// Another process is taking over, so nothing new is submitted.
    submits_paused: bool,
    /// When demand was first measured, by this process or one before.
    started: Option<Moment>,
    now: Moment,
    actions: Vec<Action>,
}

impl Route {
    /// Upper limit of the window: a part of all slots, and a smaller one while the route is not healthy.
    fn max_window(&self, slots: usize) -> usize {
        let sick =
            self.slow || self.health.state != HealthState::Healthy || self.health.consecutive_failures > 0;
        (if sick { slots / 2 } else { slots * 3 / 4 }).max(1)
    }

    /// When the next call may be made; none while the window is full or an outcome has to come first.
    fn opens_at(&self, slots: usize) -> Option<Moment> {
        let healthy = self.health.opens_at(self.calls.len())?;
        let room = self.calls.len() < self.window.min(self.max_window(slots));
        room.then(|| self.wait_until.max(self.next_paced_call - PACE_TOLERANCE).max(healthy))
    }

    /// One overload affects many calls at once, so calls sent before the last reduction do not reduce the
    /// window again.
    fn shrink_window(&mut self, now: Moment, sent: Moment) {
        if sent >= self.cut_at {
            (self.window, self.delivered, self.cut_at) = ((self.window / 2).max(1), 0, now);
        }
    }

    /// Grows the window by one call after as many deliveries as it has calls.
    fn grow_window(&mut self, slots: usize) {
        self.delivered += 1;
        if self.delivered >= self.window {
            (self.window, self.delivered) = ((self.window + 1).min(self.max_window(slots)), 0);
        }
    }

    /// Updates the averages of the answer times and returns whether they have risen sharply beyond the
    /// `common` rise.
    fn record_latency(&mut self, latency: f64, common: f64) -> bool {
        if self.usual == 0.0 {
            (self.usual, self.recent, self.spread) = (latency, latency, latency / 2.0);
        }
        self.spread += ((latency - self.recent).abs() - self.spread) / 8.0;
        self.usual += (latency - self.usual) / 32.0;
        self.recent += (latency - self.recent) / 4.0;
        self.slow = self.recent > self.usual * SLOW_FACTOR * common
            && self.recent > self.usual * common + SLOW_MARGIN_MS;
        self.slow
    }

    /// How long a call may be unanswered before its receiver counts as silent.
    fn silence_limit(&self) -> Span {
        let usual = Span::from_millis((self.recent + self.spread) * SILENCE_FACTOR);
        if self.recent > 0.0 { usual.max(MIN_SILENCE) } else { MIN_SILENCE * 2.0 }
    }

    /// Time-out of a call: the SLA time or the expected answer time, doubled for each recent time-out up to
    /// twice.
    fn time_out(&self, sla_time: Span) -> Span {
        let expected = Span::from_millis(self.recent + 6.0 * self.spread);
        sla_time.max(expected) * f64::from(1 << self.time_outs.min(2))
    }
}

impl Rules {
    /// Starts without texts, endpoints or earlier state; `seed` determines all random choices.
    pub fn new(settings: Settings, seed: u64) -> Rules {
        Rules { settings, rng: Rng::new(seed), ..Rules::default() }
    }

    /// What a successor needs beside the texts and the list.
    pub fn learned_state(&self) -> LearnedState {
        let key_pauses = self.keys.iter().filter_map(|(id, key)| Some((*id, key.paused_until?)));
        let arrivals = self.holds.iter().map(|(id, hold)| (*id, hold.arrivals, hold.arrivals_at)).collect();
        let (endpoints, routes, connection_lost_at) =
            (self.endpoints.clone(), self.routes.clone(), self.connection_lost_at.clone());
        LearnedState {
            endpoints,
            routes,
            connection_lost_at,
            arrivals,
            key_pauses: key_pauses.collect(),
            started: self.started,
        }
    }

    /// Continues from the state of another process, which has no call out any more.
    pub fn successor(settings: Settings, seed: u64, learned: LearnedState) -> Rules {
        let LearnedState { endpoints, routes, connection_lost_at, arrivals, key_pauses, started } = learned;
        let mut rules =
            Rules { endpoints, routes, connection_lost_at, started, ..Rules::new(settings, seed) };
        rules.endpoints.values_mut().for_each(|at| at.running = false);
        let hold = |(dest, arrivals, arrivals_at)| (dest, Hold { arrivals, arrivals_at, ..Hold::default() });
        rules.holds.extend(arrivals.into_iter().map(hold));
        for (id, until) in key_pauses {
            rules.keys.insert(id, KeyQueue { paused_until: Some(until), ..KeyQueue::default() });
            rules.timers.insert((until, Timer::ReleaseKey(id)));
        }
        let now = Moment::default();
        rules.timers.extend(rules.endpoints.keys().map(|id| (now, Timer::DropUnlisted(*id))));
        rules.timers.extend(rules.routes.keys().map(|id| (now, Timer::DropIdleRoute(*id))));
        rules
    }

    /// Processes the events of the moment `now` in order and returns the actions to take, in order.
    pub fn step(&mut self, now: Moment, events: Vec<Event>) -> Vec<Action> {
        let mut tick_due = self.now == Moment::default();
        self.now = now;
        self.started.get_or_insert(now);
        self.actions
            .extend((tick_due && self.settings.must_subscribe).then_some(Action::Subscribe { on: true }));
        for event in events {
            match event {
                Event::ListReceived { scope, entries } => self.list_received(scope, entries),
                Event::Accepted(accepted) => self.accept_text(accepted, None, false),
                Event::Resumed(accepted, history) => self.accept_text(accepted, Some(history), false),
                Event::UnreportedEnd(accepted) => {
                    self.accept_text(accepted, Some(SubmitHistory::default()), true)
                }
                Event::EndReported(id) | Event::Withdrawn(id) => {
                    self.texts.get_mut(&id).into_iter().for_each(|text| text.end_unreported = false);
                    self.end_text(id);
                }
                Event::Outcome(outcome) => self.handle_outcome(outcome),
                Event::Maintenance { endpoint, out_of_service } => self.maintenance(endpoint, out_of_service),
                Event::Settings(settings) => self.settings = settings,
                Event::PauseSubmits(on) => self.submits_paused = on,
                Event::ListLease(until) => self.list_lease_changed(until),
                Event::TimerFired => tick_due = true,
                _ => {}
            }
        }
        while let Some(&(at, timer)) = self.timers.first()
            && at <= now
        {
            self.timers.pop_first();
            self.fire(timer);
        }
        self.actions.extend(tick_due.then(|| Action::WakeAt(now + TICK_INTERVAL.max(self.settings.tick))));
        self.dispatch();
        self.make_room();
        std::mem::take(&mut self.actions)
    }

    /// Whether only trial calls are sent to an endpoint: it is out of service, not running, or down.
    pub fn avoids(&self, endpoint: EndpointId) -> bool {
        let Some(at) = self.endpoints.get(&endpoint) else { return false };
        let route = self.routes.get(&self.route_of(endpoint)).map(|route| route.health.state);
        !at.serves() || [Some(at.health.state), route].contains(&Some(HealthState::Down))
    }

    /// The window of each route, for display only.
    pub fn windows(&self) -> impl Iterator<Item = (DestId, usize)> {
        self.routes.iter().map(|(id, route)| (id.0, route.window))
    }

    /// Applies a new list or a change of it, or schedules the next attempt after a failure.
    fn list_received(&mut self, scope: Scope, entries: Vec<Entry>) {
        if scope == Scope::Error {
            // Subscribing costs the registry work, and all senders may have been rejected together, so the
            // delay grows and has jitter.
            self.failed_subscribes += 1;
            let pause = INITIAL_SUBSCRIBE_BACKOFF * f64::from(1 << (self.failed_subscribes - 1).min(6));
            let pause = pause.min(self.settings.must_ask_in.max(INITIAL_SUBSCRIBE_BACKOFF))
                * (0.5 + self.rng.next_f64());
            return self.timers.extend([(self.now + pause, Timer::Subscribe)]);
        }
        self.failed_subscribes = 0;
        if scope != Scope::Partial {
            self.endpoints.values_mut().for_each(|e| e.running = false);
            self.changed_dests.extend(self.holds.keys());
        }
        for entry in entries {
            let Entry { dest, kind, zone, .. } = entry;
            let new = || Endpoint { dest, kind, zone, ..Endpoint::default() };
            let endpoint = self.endpoints.entry(entry.endpoint).or_insert_with(new);
            let hold = self.holds.entry(endpoint.dest).or_default();
            hold.units = hold.units.max(entry.units);
            if !hold.endpoints.contains(&entry.endpoint) {
                hold.endpoints.push(entry.endpoint);
            }
            self.changed_dests.insert(endpoint.dest);
            (endpoint.units, endpoint.running) = (entry.units, entry.condition == Condition::Running);
        }
        let mut cancelled = Vec::new();
        for dest in &self.changed_dests {
            let hold = self.holds.get_mut(dest).expect("a changed destination has a hold");
            for id in hold.endpoints.extract_if(.., |id| !self.endpoints[id].serves()) {
                self.timers.insert((self.now + IDLE_STATE_TTL, Timer::DropUnlisted(id)));
                cancelled.extend(&self.endpoints[&id].calls);
            }
        }
        self.cancel_unsent(cancelled);
    }

    /// Limits the use of the list to its lease. Without that, a sender whose lease has run out would go on
    /// calling endpoints by a list that was not renewed, although others count it as informed.
    fn list_lease_changed(&mut self, until: Option<Moment>) {
        if let Some(until) = until {
            self.timers.insert((until, Timer::ListLeaseEnds));
        }
        self.list_valid_until = until;
    }

    /// Whether the list may still be used.
    fn list_lease_valid(&self) -> bool {
        self.list_valid_until.is_none_or(|until| self.now < until)
    }

    /// Cancels calls that have not been sent yet. Without that, a call decided before a retry-after time, a
    /// drain or an operator's order could be sent long after it, because its connection took so long to
    /// establish.
    fn cancel_unsent(&mut self, calls: Vec<u64>) {
        for call in calls {
            for id in &self.calls[&call].texts {
                if let Some(text) = self.texts.get(id).filter(|text| text.current_call == Some(call)) {
                    self.actions.push(Action::CancelUnsent { text: *id, submit: text.submits - 1 });
                }
            }
        }
    }

    /// Takes an endpoint out of service or puts it back. It was most likely restarted meanwhile, so it
    /// comes back cold, as after an outage.
    fn maintenance(&mut self, id: EndpointId, out: bool) {
        let Some(at) = self.endpoints.get_mut(&id).filter(|at| at.taken_out != out) else { return };
        at.taken_out = out;
        let (dest, serves) = (at.dest, at.serves());
        let hold = self.holds.get_mut(&dest).expect("an endpoint has the hold of its destination");
        hold.endpoints.retain(|other| *other != id);
        hold.endpoints.extend(serves.then_some(id));
        if out {
            self.cancel_unsent(self.endpoints[&id].calls.iter().copied().collect());
        } else {
            let next = self.now + self.turn_delay(self.route_of(id));
            let back = Health { state: HealthState::Recovering, since: self.now, next, ..Health::default() };
            self.endpoints.get_mut(&id).expect("looked up above").health = back;
        }
        self.changed_dests.insert(dest);
    }

    /// Accepts a new text, or one of an earlier process. Texts accepted before a restart do not count as
    /// current demand; those that may not be submitted again end at once.
    fn accept_text(&mut self, accepted: AcceptedText, history: Option<SubmitHistory>, end_unreported: bool) {
        let AcceptedText { text: id, product, dest, key, valid_until } = accepted;
        let (resumed, SubmitHistory { submits, first_in_doubt }) =
            (history.is_some(), history.unwrap_or_default());
        let key = key.filter(|_| self.settings.products[product.0].in_order);
        let (stage, current_call, unbatched) = (Stage::BehindKey, None, false);
        let text = Text {
            dest,
            product,
            key,
            valid_until,
            submits,
            current_call,
            first_in_doubt,
            end_unreported,
            unbatched,
            resumed,
            stage,
        };
        self.timers.insert((valid_until - ANSWER_MARGIN, Timer::EndText(id)));
        self.timers.extend(self.memory_ends(&text).map(|end| (end, Timer::EndText(id))));
        let over = !end_unreported && !self.may_submit(&text);
        self.texts.insert(id, text);
        let now = self.now;
        let hold = self.holds.entry(dest).or_default();
        (hold.arrivals, hold.arrivals_at) =
            (hold.arrivals * hold.decay(now) + f64::from(u8::from(!resumed)), now);
        // A single submit that was still out is no sign of an outage, or only of one that is over.
        hold.resumed_unclear = hold
            .resumed_unclear
            .max((resumed && !end_unreported).then_some(submits != 1 || first_in_doubt.is_none()));
        self.count_held(dest, 1);
        self.set_stage(id, Stage::BehindKey);
        match key {
            None => self.set_stage(id, Stage::Fresh),
            Some(key) => {
                let keyed = self.keys.entry(key).or_default();
                keyed.queue.push_back(id);
                // The previous process may have ended only a moment ago with a call out.
                let key_pauses = first_in_doubt.map(|_| now + self.settings.rest_after_doubt);
                keyed.paused_until = keyed.paused_until.max(key_pauses);
                self.advance_key(key);
            }
        }
        if over {
            self.give_up(id);
        } else if end_unreported {
            self.end_text(id);
        }
    }

    /// Adjusts the number of held texts of a destination and of all.
    fn count_held(&mut self, dest: DestId, by: isize) {
        let hold = self.holds.get_mut(&dest).expect("a text has a hold");
        self.holds_by_size.remove(&(hold.held, dest));
        hold.held = hold.held.saturating_add_signed(by);
        self.held = self.held.saturating_add_signed(by);
        self.holds_by_size.insert((hold.held, dest));
    }

    /// Moves a text to a stage and keeps the sets of its hold in step.
    fn set_stage(&mut self, id: TextId, stage: Stage) {
        let expires_at = self.expires_at(&self.texts[&id]);
        let text = self.texts.get_mut(&id).expect("the text exists");
        let hold = self.holds.get_mut(&text.dest).expect("a text has a hold");
        let stage = if stage == Stage::Fresh && text.submits > 0 { Stage::RetryReady } else { stage };
        hold.fresh.remove(&id);
        hold.retry_ready.remove(&id);
        hold.evictable.remove(&id);
        expires_at.map(|end| hold.expiring.remove(&(end, id)));
        if matches!(stage, Stage::Fresh | Stage::RetryReady) {
            if stage == Stage::Fresh { &mut hold.fresh } else { &mut hold.retry_ready }.insert(id);
            hold.expiring.extend(expires_at.map(|end| (end, id)));
        }
        let never_submitted = text.resumed && text.submits == 0;
        if !matches!(stage, Stage::Submitted | Stage::Ended)
            && text.first_in_doubt.is_none()
            && !never_submitted
        {
            hold.evictable.insert(id);
        }
        self.changed_dests.insert(text.dest);
        let (dest, was) = (text.dest, std::mem::replace(&mut text.stage, stage));
        if stage == Stage::Ended && was != Stage::Ended {
            self.count_held(dest, -1);
        }
    }

    /// Makes the next text of a key ready once the previous one has ended and the outcomes of its submits
    /// are known.
    fn advance_key(&mut self, key: KeyId) {
        let Some(keyed) = self.keys.get_mut(&key) else { return };
        while keyed.queue.front().is_some_and(|id| !self.texts.contains_key(id)) {
            keyed.queue.pop_front();
        }
        match (keyed.paused_until.filter(|until| *until > self.now), keyed.queue.front().copied()) {
            (Some(until), _) => _ = self.timers.insert((until, Timer::ReleaseKey(key))),
            (None, None) => _ = self.keys.remove(&key),
            (None, Some(first)) if self.texts[&first].stage == Stage::BehindKey => {
                self.set_stage(first, Stage::Fresh)
            }
            (None, Some(_)) => {}
        }
    }

    /// Ends a text: nothing further is sent for it. While a submit of it is out it stays first in the queue
    /// of its key.
    fn end_text(&mut self, id: TextId) {
        if !self.texts.contains_key(&id) {
            return;
        }
        self.set_stage(id, Stage::Ended);
        let text = &self.texts[&id];
        let key = text.key;
        if text.current_call.is_none() && !text.end_unreported {
            self.texts.remove(&id);
        }
        key.into_iter().for_each(|key| self.advance_key(key));
    }

    /// What a second run of the text would do at its receiver.
    fn repeat(&self, text: &Text) -> Repeat {
        self.settings.products[text.product.0].repeat
    }

    /// When it is too late for a text that must not wait behind fresh ones until then.
    fn expires_at(&self, text: &Text) -> Option<Moment> {
        if text.resumed && text.submits == 0 { Some(text.valid_until) } else { self.memory_ends(text) }
    }

    /// When a text in doubt may no longer be sent again, as its receiver is about to forget it.
    fn memory_ends(&self, text: &Text) -> Option<Moment> {
        match (self.repeat(text), text.first_in_doubt) {
            (Repeat::Referenced { memory, .. }, Some((sent, _))) => Some(sent + memory - MEMORY_MARGIN),
            _ => None,
        }
    }

    /// Whether a call with these texts may use a connection that carries other calls.
    fn may_share_connection(&self, kind: KindId, texts: &[TextId]) -> bool {
        let may_share = |id: &TextId| {
            let text = &self.texts[id];
            !text.unbatched && connection_sharing::may_share_connection(self.repeat(text))
        };
        self.settings.kinds[kind.0].texts_per_call > 1 && texts.iter().all(may_share)
    }

    /// Whether one more submit of the text is allowed.
    fn may_submit(&self, text: &Text) -> bool {
        let once_only = self.repeat(text) == Repeat::OnceOnly;
        text.submits < self.settings.products[text.product.0].max_submits
            && !(once_only && text.first_in_doubt.is_some())
            && self.memory_ends(text).is_none_or(|end| self.now < end)
            && self.now < text.valid_until - ANSWER_MARGIN
    }

    /// Ends a text that was not delivered: with a nack if the client may safely hand it in again, else as
    /// undeliverable.
    fn give_up(&mut self, id: TextId) {
        let text = &self.texts[&id];
        let routes = self.routes.range((text.dest, None)..=(text.dest, Some(EndpointId(usize::MAX))));
        let until =
            routes.filter_map(|(_, route)| Some(route.health.opens_at(0)?.max(route.wait_until))).min();
        let wait = until.map_or(Span::ZERO, |until| until.since(self.now));
        let advised_wait = self.settings.longest_advice.map(|most| wait.max(INITIAL_BACKOFF).min(most));
        // A client that comes back after the receiver's deduplication memory has ended would have the text
        // run twice.
        let back = self.now + advised_wait.unwrap_or(INITIAL_BACKOFF);
        let harmless = match self.repeat(text) {
            Repeat::Resendable => true,
            Repeat::Referenced { one_zone: true, .. } | Repeat::OnceOnly => text.first_in_doubt.is_none(),
            Repeat::Referenced { .. } => self.memory_ends(text).is_none_or(|end| back < end),
        };
        if harmless && text.current_call.is_none() {
            self.actions.push(Action::Nack { text: id, retry_after: advised_wait });
        } else {
            self.actions.push(Action::Undeliverable { text: id });
        }
        self.texts.get_mut(&id).expect("the text exists").end_unreported = true;
        self.end_text(id);
    }

    /// Gives up the oldest evictable texts of the largest hold, so that one slow receiver can't use up the
    /// capacity for all. The client can hand them in again; where clients never do and the hold would soon
    /// be empty, this loses texts without need.
    fn make_room(&mut self) {
        let kept = ((self.settings.max_held as f64 * RESERVED_CAPACITY_SHARE) as usize).max(1);
        while self.held + kept > self.settings.max_held {
            let Some(&(_, dest)) = self.holds_by_size.last() else { return };
            let Some(&stalest) = self.holds[&dest].evictable.first() else { return };
            self.give_up(stalest);
        }
    }

    /// Schedules the next submit with exponential back-off and jitter, or gives the text up if that would
    /// be too late.
    fn schedule_retry(&mut self, id: TextId, not_before: Moment) {
        let text = &self.texts[&id];
        let pause = (INITIAL_BACKOFF * f64::from(1 << (text.submits.clamp(1, 16) - 1))).min(MAX_BACKOFF);
        let at = (self.now + pause * (0.8 + 0.4 * self.rng.next_f64())).max(not_before);
        let memory_ends = self.memory_ends(text);
        if !self.may_submit(text) || at >= text.valid_until || memory_ends.is_some_and(|end| at >= end) {
            return self.give_up(id);
        }
        self.timers.extend(memory_ends.map(|end| (end, Timer::EndText(id))));
        self.timers.insert((at, Timer::RetryText(id)));
        self.set_stage(id, Stage::BackingOff);
    }

    /// Handles a timer that has fired.
    fn fire(&mut self, timer: Timer) {
        let waits = |id| self.texts.get(&id).is_some_and(|text| text.stage == Stage::BackingOff);
        match timer {
            Timer::RetryText(id) if !waits(id) => {}
            Timer::RetryText(id) => self.set_stage(id, Stage::RetryReady),
            Timer::EndText(id) => {
                let Some(text) = self.texts.get(&id) else { return };
                if text.stage == Stage::Ended {
                    return;
                }
                // The submit with the shortened time-out should be answered first; this is the fallback if
                // that answer does not come. The texts of one call are answered together when the last of
                // them times out, so the time of a single one may be up long before.
                let shares = text.current_call.is_some_and(|call| self.calls[&call].texts.len() > 1);
                let cut = text.valid_until - TIMEOUT_MARGIN + self.settings.tick * 2.0;
                let latest = if shares { text.valid_until - ANSWER_MARGIN } else { cut };
                let again = text.current_call.is_some() && self.now < latest;
                if again { self.timers.extend([(latest, Timer::EndText(id))]) } else { self.give_up(id) }
            }
            Timer::ReleaseKey(key) => self.advance_key(key),
            Timer::Subscribe => self.actions.push(Action::Subscribe { on: true }),
            Timer::RouteOpens(dest) => {
                self.holds.get_mut(&dest).expect("a destination with a timer has a hold").recheck_at = None;
                self.changed_dests.insert(dest);
            }
            Timer::DropIdleRoute(id) => self.drop_idle_route(id),
            Timer::CheckCall(call) => self.check_silent_call(call),
            Timer::DropUnlisted(id) => self.drop_unlisted(id),
            Timer::ListLeaseEnds if self.list_lease_valid() => {}
            // Some calls may have been decided under a longer lease.
            Timer::ListLeaseEnds => self.cancel_unsent(self.calls.keys().copied().collect()),
        }
    }

    // Outcomes: what they say about the text and its route.

    /// Handles the outcome of a submit: updates its call, route and key, and ends or retries the text.
    fn handle_outcome(&mut self, outcome: Outcome) {
        let id = outcome.text;
        let is_current = |text: &&mut Text| outcome.submit + 1 == text.submits;
        let Some(text) = self.texts.get_mut(&id).filter(is_current) else { return };
        let Some(call_id) = text.current_call.take() else { return };
        let call = self.calls.get_mut(&call_id).expect("a submit that is out has its call");
        let Call { sent, endpoint, timeout_shortened, .. } = *call;
        text.unbatched |= call.texts.len() > 1 && outcome.verdict == Verdict::Moot;
        // A text that was not sent says nothing about the call that left without it.
        let was_sent = outcome.verdict != Verdict::Moot;
        let first_outcome = !call.assessed && (was_sent || call.texts_unanswered == call.texts.len());
        call.assessed |= was_sent;
        call.texts_unanswered -= 1;
        let done = call.texts_unanswered == 0;
        if !outcome.never_ran() && outcome.verdict != Verdict::Delivered {
            text.first_in_doubt.get_or_insert((sent, self.endpoints[&endpoint].zone));
            if let Some(key) = text.key.and_then(|key| self.keys.get_mut(&key)) {
                key.paused_until = Some(self.now + self.settings.rest_after_doubt);
            }
        }
        let ended = text.stage == Stage::Ended || outcome.ended || outcome.verdict == Verdict::Delivered;
        let route_id = self.route_of(endpoint);
        // A response to a call with several texts may deliver some of them and still carry a retry-after
        // time.
        if outcome.verdict == Verdict::Full || outcome.retry_after.is_some() {
            let known = self.known_rate(route_id);
            let route = self.routes.get_mut(&route_id).expect("a route with calls out is kept");
            if let Some(wait) = outcome.retry_after {
                route.wait_until = route.wait_until.max(self.now + wait + self.settings.tick);
            }
            // All senders that were given a retry-after time would come back at once, so they take turns by
            // their ordinal, one call interval of the known rate apart. Where rejected calls count against
            // the limit, each sender skips one round for each consecutive failure.
            if known > 0.0 && first_outcome {
                let call = Span::from_millis(1000.0 / known);
                let turn_offset = call * outcome.retry_after.map_or(0.0, |_| self.settings.ordinal as f64);
                let rounds = (call * self.settings.senders as f64).min(MAX_ROUND)
                    * f64::from(route.health.consecutive_failures);
                route.next_paced_call =
                    route.next_paced_call.max(route.wait_until.max(self.now) + turn_offset + rounds);
            }
            if outcome.retry_after.is_some() && first_outcome {
                let others = self.routes[&route_id].calls.iter().copied();
                self.cancel_unsent(others.filter(|other| *other != call_id).collect());
            }
        }
        if first_outcome {
            // A receiver that usually reports its limit and sends neither that nor a retry-after time has
            // no room for another connection. Idle connections use up that room too, so they are closed. If
            // the cause is another, they are closed without need.
            let unexplained = outcome.retry_after.is_none() && outcome.allowance.is_none();
            let kind = self.endpoints[&endpoint].kind;
            if outcome.verdict == Verdict::Full && self.settings.tells_limits && unexplained {
                self.connections_full_at.insert(kind, self.now);
            } else if matches!(outcome.verdict, Verdict::ConnectFailed | Verdict::Reset | Verdict::TimeOut) {
                self.connection_lost_at.insert(kind, self.now);
            }
            self.assess(endpoint, sent, timeout_shortened, &outcome);
        }
        if done {
            self.calls.remove(&call_id);
            self.endpoints.get_mut(&endpoint).expect("the endpoint is known").calls.remove(&call_id);
            self.routes.get_mut(&route_id).expect("a route with calls out is kept").calls.remove(&call_id);
        }
        self.changed_dests.insert(self.endpoints[&endpoint].dest);
        self.close_idle(endpoint);
        let not_before = outcome.retry_after.map_or(self.now, |wait| self.now + wait);
        if ended { self.end_text(id) } else { self.schedule_retry(id, not_before) }
    }

    /// Revokes calls on connections that have gone silent and occupy slots while their receiver answers on
    /// others.
    fn check_silent_call(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else { return };
        let route = &self.routes[&self.route_of(call.endpoint)];
        let others_answered = route.health.last_ok > call.sent + route.silence_limit();
        let mut texts = call.texts.iter().map(|id| &self.texts[id]);
        let again = |text| self.repeat(text) != Repeat::OnceOnly && self.may_submit(text);
        if others_answered
            && call.texts_unanswered == call.texts.len()
            && self.settings.may_revoke
            && texts.all(again)
        {
            let revoke = |&text: &TextId| Action::Revoke { text, submit: self.texts[&text].submits - 1 };
            self.actions.extend(call.texts.iter().map(revoke));
        } else {
            self.timers.insert((self.now + TICK_INTERVAL * 4.0, Timer::CheckCall(id)));
        }
    }

    /// Updates health, window, pace and answer times of a route and an endpoint by the first outcome of a
    /// call.
    fn assess(&mut self, endpoint_id: EndpointId, sent: Moment, timeout_shortened: bool, outcome: &Outcome) {
        let (now, slots, cold) = (self.now, self.settings.slots, self.settings.cold_span);
        let route_id = self.route_of(endpoint_id);
        let (turn_delay, common) = (self.turn_delay(route_id), self.common_rise());
        // A pace that no backlog pressed against has not shown that the receiver takes it.
        let backlog = self
            .holds
            .get(&route_id.0)
            .is_some_and(|hold| !hold.fresh.is_empty() || !hold.retry_ready.is_empty());
        let (known, own_share) = (self.known_rate(route_id), self.own_share(route_id));
        let share_interval = Span::from_millis(1000.0 / own_share.max(1e-3));
        let sparse = self.cold_call_interval(route_id, now) > QUICK_FAILURE_PAUSE;
        let jitter = 0.8 + 0.4 * self.rng.next_f64();
        let unlimited = self.routes[&route_id].pace == 0.0;
        let reported = outcome.allowance.filter(|reported| reported.calls_per_sec > 0.0);
        let start = reported
            .filter(|_| unlimited)
            .map(|reported| self.initial_pace(route_id, reported.calls_per_sec));
        let scarce = reported.is_some_and(|reported| reported.remaining_share < LOW_LIMIT_SHARE);
        let endpoint = self.endpoints.get_mut(&endpoint_id).expect("the endpoint is known");
        let route = self.routes.get_mut(&route_id).expect("a route with calls out is kept");
        if let Some(allowance) = outcome.allowance {
            (route.reported_rate, route.pace) = (allowance.calls_per_sec, start.unwrap_or(route.pace));
            // Each of many senders sees only here what the others use: an overload response comes when the
            // limit is already used up.
            if scarce && sent >= route.cut_at {
                let eased = route.pace
                    * (1.0 - MAX_PACE_EASING * (1.0 - allowance.remaining_share / LOW_LIMIT_SHARE));
                route.pace = route.pace.min(eased.max(own_share * MIN_PACE_SHARE));
            }
        }
        let weight = match outcome.verdict {
            Verdict::Moot => return,
            Verdict::Cancelled => return endpoint.health.record_failure(now, sent, 1, false, jitter),
            Verdict::Delivered => {
                endpoint.health.record_success(now, turn_delay, cold);
                // Calls rejected during an outage say nothing about a rate limit; the cold call budget
                // alone limits a recovering route.
                if known == 0.0 && route.health.state == HealthState::Down {
                    route.pace = 0.0;
                }
                // The trial call was part of the cold call budget too, and the senders' shares of an
                // unknown rate may add up to more than the rate.
                let until_next = route.health.next.since(now) * if known > 0.0 { 0.5 } else { 1.0 };
                route.health.record_success(now, turn_delay.max(until_next), cold);
                route.time_outs = 0;
                if route.pace > 0.0 && backlog && !scarce {
                    let most = if known > 0.0 { known } else { f64::INFINITY };
                    route.pace = (route.pace + PACE_INCREASE * own_share / route.pace.max(1.0)).min(most);
                }
                let slow = route.record_latency(outcome.latency.as_millis(), common);
                self.recent_rises.retain(|(_, id, _)| *id != route_id);
                self.recent_rises.push_front((now, route_id, route.recent / route.usual));
                self.recent_rises.truncate(MAX_RECENT_ROUTES);
                return if slow { route.shrink_window(now, sent) } else { route.grow_window(slots) };
            }
            // Calls whose texts have little time left would mark a healthy but slow receiver down.
            Verdict::TimeOut if timeout_shortened && outcome.latency < route.silence_limit() => return,
            Verdict::TimeOut if timeout_shortened => 1,
            Verdict::Error | Verdict::Reset | Verdict::Full => 1,
            Verdict::TimeOut | Verdict::ConnectFailed => 3,
        };
        if outcome.verdict == Verdict::TimeOut && sent >= route.cut_at {
            route.time_outs += 1;
        }
        if outcome.verdict == Verdict::Full && sent >= route.cut_at {
            // Where rejected calls cost and neither a retry-after time nor a rate is reported, a pace far
            // above the demand would go on limiting nothing, so it is reduced from this sender's share.
            let free = self.settings.turned_away_price == 0.0;
            let limit_known = free || outcome.retry_after.is_some() || route.reported_rate > 0.0;
            let used = if limit_known { route.pace } else { route.pace.min(own_share) };
            let from = if route.pace > 0.0 { used } else { own_share.max(1.0) };
            let least = if known > 0.0 { own_share * MIN_PACE_SHARE } else { MIN_PACE };
            route.pace = (from * PACE_DECREASE).max(least);
            route.next_paced_call = route.next_paced_call.max(now);
        }
        route.shrink_window(now, sent);
        let silent = outcome.verdict == Verdict::TimeOut && !timeout_shortened;
        let first_failure = endpoint.health.consecutive_failures == 0;
        endpoint.health.record_failure(now, sent, weight, silent, jitter);
        // Failures of one endpoint alone do not mark a route down that has other endpoints.
        let others = || self.holds[&route_id.0].endpoints.iter().filter(|id| **id != endpoint_id);
        let shared = route_id.1.is_some()
            || others().count() == 0
            || others().any(|id| self.endpoints[id].health.consecutive_failures > 0);
        let most = if shared {
            weight
        } else {
            (FAILURES_UNTIL_DOWN - 1).saturating_sub(route.health.consecutive_failures)
        };
        // Each of many senders makes too few calls to find a receiver down by their number, and together
        // they would overload it. A single dead endpoint that goes on failing beside healthy ones is
        // recognized by its consecutive failures.
        let found_down = sparse && weight == 3 && (first_failure || shared);
        let weight = if found_down { FAILURES_UNTIL_DOWN } else { weight.min(most) };
        route.health.record_failure(now, sent, weight, silent, jitter);
        if found_down && route.health.since == now {
            route.health.next = now + QUICK_FAILURE_PAUSE * jitter + turn_delay;
        }
        let quick = matches!(outcome.verdict, Verdict::ConnectFailed | Verdict::Reset | Verdict::Error);
        if shared && quick && route.health.last_failure_at == now {
            route.next_paced_call =
                route.next_paced_call.max(now + QUICK_FAILURE_PAUSE.min(share_interval) * jitter);
        }
    }

    // Choice of the next call.

    /// The route that an endpoint belongs to.
    fn route_of(&self, endpoint: EndpointId) -> RouteId {
        let at = &self.endpoints[&endpoint];
        (at.dest, self.settings.kinds[at.kind.0].routes_apart.then_some(endpoint))
    }

    /// Calls a second that the receiver takes from all senders, as it reports or as the list says; 0 if
    /// unknown.
    fn known_rate(&self, id: RouteId) -> f64 {
        let reported = self.routes.get(&id).map_or(0.0, |route| route.reported_rate);
        let units = match id.1 {
            Some(endpoint) => self.endpoints[&endpoint].units,
            None => self.holds.get(&id.0).map_or(0.0, |hold| hold.units),
        };
        match self.settings.listed_rate {
            _ if reported > 0.0 => reported,
            ListedRate::Silent => 0.0,
            ListedRate::Exact => units,
            ListedRate::Rough => units / 1.5,
        }
    }

    /// The rise of answer times common to all routes, so that a general slowdown does not mark all
    /// receivers slow. It may hide a slow receiver among them.
    fn common_rise(&self) -> f64 {
        let lately = self.recent_rises.iter().filter(|(at, ..)| self.now.since(*at) < RECENT_ANSWER_SPAN);
        let mut rises: Vec<f64> = lately.map(|(.., rise)| *rise).collect();
        rises.sort_by(f64::total_cmp);
        if rises.len() < 3 { 1.0 } else { rises[(rises.len() - 1) / 2].max(1.0) }
    }

    /// Texts a second that this sender is handed for a destination.
    fn demand(&self, dest: DestId) -> f64 {
        let counted = self.now.since(self.started.unwrap_or(self.now)).as_secs().max(MIN_DEMAND_SECS);
        let span = DEMAND_AVERAGING_SECS * (1.0 - (-counted / DEMAND_AVERAGING_SECS).exp());
        self.holds.get(&dest).map_or(0.0, |hold| hold.arrivals * hold.decay(self.now) / span)
    }

    /// Closes idle connections while receivers of this kind have too few connections, or while connections
    /// get lost unnoticed as they are idle.
    fn close_idle(&mut self, id: EndpointId) {
        let at = &self.endpoints[&id];
        let hold = &self.holds[&at.dest];
        let pause = hold.endpoints.len() as f64 / self.demand(at.dest).max(1e-3);
        let lately = |at: Option<&Moment>| at.is_some_and(|at| self.now.since(*at) < CONNECTION_LOSS_SPAN);
        let (lost, connections_full) =
            (lately(self.connection_lost_at.get(&at.kind)), lately(self.connections_full_at.get(&at.kind)));
        let rarely_used = pause > self.settings.keeps_alive.as_secs() * IDLE_KEEP_SHARE;
        // Connections that wait for their route's pace or retry-after time also keep others out of a
        // receiver with too few connections.
        let opens = self.routes.get(&self.route_of(id)).and_then(|route| route.opens_at(self.settings.slots));
        let held_back = connections_full && opens.is_none_or(|opens| opens > self.now);
        let idle = at.calls.is_empty() && (held_back || hold.fresh.is_empty() && hold.retry_ready.is_empty());
        let shut = idle && (connections_full || lost && rarely_used);
        self.actions.extend(shut.then_some(Action::CloseIdle { endpoint: id }));
    }

    /// This sender's share of a rate: an equal one, or its own demand if that is more, as most senders have
    /// no text for the destination.
    fn own_share(&self, id: RouteId) -> f64 {
        let known = self.known_rate(id);
        let expected =
            if known > 0.0 { self.demand(id.0).min(known) } else { self.demand(id.0) * PEAK_TO_MEAN };
        expected.max(known.max(MIN_WARM_RATE) / self.settings.senders.max(1) as f64)
    }

    /// Pace that a sender starts with before it has met the limit of a receiver. Where rejected calls cost,
    /// many senders that start far above their shares would use up the limit for all until each has been
    /// rejected often enough.
    fn initial_pace(&self, id: RouteId, rate: f64) -> f64 {
        let first = if self.settings.turned_away_price > 0.0 { 0.0 } else { INITIAL_PACE_SHARE };
        self.own_share(id).min(rate).max(rate * (2.0 / (self.settings.senders as f64 + 1.0)).max(first))
    }

    /// Interval between two calls to a cold receiver. Demand grows with nacked texts that are handed in
    /// again, so a known rate is split equally instead.
    fn cold_call_interval(&self, id: RouteId, since: Moment) -> Span {
        let cold_span = self.settings.cold_span.as_secs().max(1e-3);
        let warmth = (self.now.since(since).as_secs() / cold_span).min(1.0);
        let share = self.settings.cold_share + (1.0 - self.settings.cold_share) * warmth;
        let senders = self.settings.senders.max(1) as f64;
        let equal = self.known_rate(id) / senders;
        // A process that has just started has no demand history, so it goes by the texts that it holds.
        let backlog_rate = self.holds.get(&id.0).map_or(0.0, |hold| hold.held as f64) / cold_span;
        let rate_share =
            if equal > 0.0 { equal } else { (self.demand(id.0) * COLD_PEAK_TO_MEAN).max(backlog_rate) };
        let least = if equal > 0.0 { 1e-3 } else { (MIN_COLD_RATE / senders).max(2.0 / cold_span) };
        Span::from_millis(1000.0 / (self.settings.tip_multiple * share * rate_share).max(least))
    }

    /// Delay of this sender's first call to a recovering receiver: senders take turns, each starting a
    /// fraction of the interval after the one before.
    fn turn_delay(&self, id: RouteId) -> Span {
        let turn_share = (self.settings.ordinal + 1) as f64 / self.settings.senders.max(1) as f64;
        self.cold_call_interval(id, self.now).min(self.settings.cold_span * 0.5) * turn_share
    }

    /// Whether the oldest call has been unanswered for too long. No more slots are given to a silent
    /// receiver before the first time-out; a single slow call may hold back the others.
    fn is_silent(&self, route: &Route, health: &Health, calls: &BTreeSet<u64>) -> bool {
        let sent = calls.first().map(|oldest| self.calls[oldest].sent);
        sent.is_some_and(|sent| self.now.since(sent) > route.silence_limit() && health.last_ok <= sent)
    }

    /// The best endpoint of a destination that may be called now, or the time when one may be.
    fn pick_endpoint(&self, dest: DestId, unusable: &BTreeSet<EndpointId>) -> PickResult {
        let hold = &self.holds[&dest];
        let newest = hold.fresh.last().or(hold.retry_ready.last()).ok_or(None)?;
        let mut best = None;
        let mut opens = None::<Moment>;
        for &id in hold.endpoints.iter().filter(|id| !unusable.contains(id)) {
            let at = &self.endpoints[&id];
            let route = self.routes.get(&self.route_of(id));
            let route_down = route.is_some_and(|route| route.health.state == HealthState::Down);
            let silent = |route: &Route| {
                self.is_silent(route, &at.health, &at.calls)
                    || self.is_silent(route, &route.health, &route.calls)
            };
            if route.is_some_and(silent) {
                continue;
            }
            let route_opens = route.map_or(Some(self.now), |route| route.opens_at(self.settings.slots));
            let own = if route_down { Some(self.now) } else { at.health.opens_at(at.calls.len()) };
            let Some(from) = route_opens.and_then(|route| own.map(|own| own.max(route))) else { continue };
            if from > self.now {
                opens = Some(opens.map_or(from, |at| at.min(from)));
                continue;
            }
            let route_calls = route.map_or(0, |route| route.calls.len());
            // An open connection is worth reusing, but not for all trial calls of a route to a dead
            // endpoint.
            let failures = if route_down { at.health.consecutive_failures } else { 0 };
            let recency = if failures > 0 { Ok(at.last_used) } else { Err(Reverse(at.last_used)) };
            let down = at.health.state == HealthState::Down;
            let rank = (route_calls, failures, at.calls.len(), down, recency, id);
            best = best.into_iter().chain([rank]).min();
        }
        let best = best.ok_or(opens)?;
        Ok(((hold.fresh.is_empty(), best.0, Reverse(*newest), dest), best.5))
    }

    /// Updates the place of a destination among those that may send.
    fn update_candidate(&mut self, dest: DestId, unusable: &BTreeSet<EndpointId>) {
        let picked = self.pick_endpoint(dest, unusable);
        let hold = self.holds.get_mut(&dest).expect("a changed destination has a hold");
        let rank = picked.as_ref().ok().map(|(rank, _)| *rank);
        std::mem::replace(&mut hold.rank, rank).map(|old| self.candidates.remove(&old));
        self.candidates.extend(rank);
        if let Err(Some(at)) = picked
            && hold.recheck_at.is_none_or(|look| at < look)
        {
            hold.recheck_at = Some(at);
            self.timers.insert((at, Timer::RouteOpens(dest)));
        }
    }

    /// Makes calls as long as a destination may send and a slot is free.
    fn dispatch(&mut self) {
        // Endpoints that none of the held texts may be sent to, for example where only one zone remembers a
        // reference.
        let mut unusable = BTreeSet::new();
        for dest in std::mem::take(&mut self.changed_dests) {
            if self.holds[&dest].resumed_unclear.is_some() {
                self.start_cold(dest);
            }
            self.update_candidate(dest, &unusable);
        }
        while !self.submits_paused
            && self.list_lease_valid()
            && self.calls.len() < self.settings.slots
            && let Some(&first) = self.candidates.first()
        {
            // A receiver that could be called when it became a candidate may have gone silent since.
            let dest = first.3;
            if let Ok((rank, endpoint)) = self.pick_endpoint(dest, &unusable)
                && rank == first
                && !self.send_call(dest, endpoint)
            {
                unusable.insert(endpoint);
            }
            self.update_candidate(dest, &unusable);
        }
        self.changed_dests.clear();
    }

    /// Creates the state of a route unless it exists.
    fn open_route(&mut self, id: RouteId, health: Health) {
        let pace = self.initial_pace(id, self.known_rate(id));
        self.routes.entry(id).or_insert_with(|| {
            self.timers.insert((self.now + IDLE_STATE_TTL, Timer::DropIdleRoute(id)));
            Route { window: (self.settings.slots / 2).max(1), pace, health, ..Route::default() }
        });
    }

    /// Treats a destination as cold for texts of an earlier process. Many processes may start at once, each
    /// with texts for a receiver that has just come back and without knowledge of its outage; this also
    /// applies to texts that were merely out if the receiver takes few calls. It may hold back a receiver
    /// that was never cold.
    fn start_cold(&mut self, dest: DestId) {
        for endpoint in self.holds[&dest].endpoints.clone() {
            let (id, since) = (self.route_of(endpoint), self.now);
            if self.holds[&dest].resumed_unclear == Some(true)
                || self.cold_call_interval(id, since) > QUICK_FAILURE_PAUSE
            {
                let next = since + self.turn_delay(id);
                self.open_route(
                    id,
                    Health { state: HealthState::Recovering, since, next, ..Health::default() },
                );
            }
        }
        let hold = self.holds.get_mut(&dest).expect("looked up above");
        hold.resumed_unclear = hold.resumed_unclear.filter(|_| hold.endpoints.is_empty());
    }

    /// Makes one call to an endpoint, with as many of the held texts as it carries.
    fn send_call(&mut self, dest: DestId, endpoint: EndpointId) -> bool {
        let route_id = self.route_of(endpoint);
        self.open_route(route_id, Health::default());
        let Endpoint { kind, zone, .. } = self.endpoints[&endpoint];
        let (hold, health, now) = (&self.holds[&dest], &self.routes[&route_id].health, self.now);
        // A receiver that is marked down may have come back at this moment, fully cold.
        let warm_from = |health: &Health| if health.state == HealthState::Down { now } else { health.since };
        let route_interval = self.cold_call_interval(route_id, warm_from(health));
        // A trial call most likely leaves its texts in doubt: it carries only one, and a once-only text
        // only if there is no other.
        let down = health.state == HealthState::Down;
        let most = if down { 1 } else { self.settings.kinds[kind.0].texts_per_call };
        let takes = |id: &&TextId| {
            let text = &self.texts[*id];
            let one_zone = matches!(self.repeat(text), Repeat::Referenced { one_zone: true, .. });
            self.may_submit(text)
                && !(one_zone && text.first_in_doubt.is_some_and(|(_, first)| first != zone))
        };
        let mut chosen: Vec<TextId> = Vec::new();
        if down {
            let once_only = |id: &TextId| self.repeat(&self.texts[id]) == Repeat::OnceOnly;
            let tried = || hold.retry_ready.iter().rev().chain(hold.fresh.iter().rev()).filter(takes);
            chosen.extend(tried().find(|id| !once_only(id)).or_else(|| tried().next()));
        } else {
            // A text in doubt that waits behind fresh ones is forgotten by its receiver and may not be
            // submitted again. It must not wait beyond the next call either, where the calls to a cold
            // receiver are further apart.
            let next = if health.state == HealthState::Recovering { route_interval } else { EXPIRING_WITHIN };
            let expiring =
                hold.expiring.range(..(self.now + EXPIRING_WITHIN.max(next), TextId(0))).map(|(_, id)| id);
            let rest = hold.fresh.iter().rev().chain(hold.retry_ready.iter().rev());
            for id in expiring.chain(rest).filter(takes) {
                // One text that can't be parsed makes a call fail for all texts in it, again and again.
                let shares =
                    chosen.is_empty() || !(self.texts[id].unbatched || self.texts[&chosen[0]].unbatched);
                if chosen.len() < most && shares && !chosen.contains(id) {
                    chosen.push(*id);
                } else if chosen.len() == most || self.texts[&chosen[0]].unbatched {
                    break;
                }
            }
        }
        if chosen.is_empty() {
            return false;
        }
        // A receiver identifies a call by its first text and applies one time-out to all. Both have to be
        // those of the same text, or an answer between two validity periods ends texts here that are still
        // running there.
        chosen.sort_by_key(|id| Reverse(self.texts[id].valid_until));
        let shares_connection = self.may_share_connection(kind, &chosen);
        let (call, mut timeout_shortened) = (self.next_call, false);
        self.next_call += 1;
        for &id in &chosen {
            let product = self.texts[&id].product;
            let time_out = self.routes[&route_id].time_out(self.settings.products[product.0].sla_time);
            self.set_stage(id, Stage::Submitted);
            let forgotten = self.memory_ends(&self.texts[&id]).map(|end| end + MEMORY_MARGIN * 0.5);
            let text = self.texts.get_mut(&id).expect("chosen from the hold");
            let send_deadline = forgotten.map_or(text.valid_until, |end| end.min(text.valid_until));
            let send_deadline = self.list_valid_until.map_or(send_deadline, |until| until.min(send_deadline));
            let left = (text.valid_until - TIMEOUT_MARGIN).since(self.now);
            timeout_shortened |= left < time_out;
            let time_out = time_out.min(left);
            text.submits += 1;
            text.current_call = Some(call);
            self.actions.push(Action::Submit {
                text: id,
                endpoint,
                time_out,
                send_deadline,
                shares_connection,
            });
        }
        let parts = self.holds[&dest].endpoints.len() as f64;
        let endpoint_interval =
            self.cold_call_interval(route_id, warm_from(&self.endpoints[&endpoint].health)) * parts;
        let at = self.endpoints.get_mut(&endpoint).expect("the endpoint is known");
        at.calls.insert(call);
        (at.last_used, at.health.next) = (self.now, at.health.next.max(self.now + endpoint_interval));
        let route = self.routes.get_mut(&route_id).expect("the route was opened above");
        route.calls.insert(call);
        (route.last_used, route.health.next) = (self.now, route.health.next.max(self.now + route_interval));
        if route.pace > 0.0 {
            route.next_paced_call =
                route.next_paced_call.max(self.now) + Span::from_millis(1000.0 / route.pace);
        }
        self.timers.insert((self.now + route.silence_limit(), Timer::CheckCall(call)));
        let (sent, texts_unanswered, texts, assessed) = (self.now, chosen.len(), chosen, false);
        self.calls
            .insert(call, Call { endpoint, sent, texts_unanswered, texts, assessed, timeout_shortened });
        true
    }

    /// Drops the state of an endpoint that has left the list for long. One that returns under its id
    /// earlier keeps its state.
    fn drop_unlisted(&mut self, id: EndpointId) {
        let Some(at) = self.endpoints.get(&id).filter(|at| !at.running) else { return };
        if at.calls.is_empty() && self.now >= at.last_used + IDLE_STATE_TTL {
            self.routes.remove(&(at.dest, Some(id)));
            self.endpoints.remove(&id);
        } else {
            self.timers.insert((self.now + IDLE_STATE_TTL, Timer::DropUnlisted(id)));
        }
    }

    /// Drops the state of a route that has had no call or text for a while.
    fn drop_idle_route(&mut self, id: RouteId) {
        let (Some(route), held) = (self.routes.get(&id), self.holds[&id.0].held) else { return };
        let quiet_from = route.last_used + IDLE_STATE_TTL;
        if self.now >= quiet_from && self.now >= route.wait_until && route.calls.is_empty() && held == 0 {
            self.routes.remove(&id);
        } else {
            self.timers.insert((
                quiet_from.max(route.wait_until).max(self.now + TICK_INTERVAL),
                Timer::DropIdleRoute(id),
            ));
        }
    }
}
