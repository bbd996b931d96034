//! Every decision on a text: whether, when, where and how often it is submitted, and how it ends.
//!
//! [`Rules::step`] takes what happened at one moment and returns what to do, in order; both are in
//! [`crate::api`]. `docs/design.md` tells which page the ordinary path follows and where it departs from it.

use crate::api::*;
use crate::connection_sharing;
use crate::rng::Rng;
use crate::time::{Moment, Span};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How often the one periodic timer comes round, which is most of what an idle sender hears.
const BEAT: Span = Span::millis(20);
/// A lane without calls or texts for so long is dropped with all that it learnt.
const QUIET_SPELL: Span = Span::millis(30_000);
/// A text is ended, and a submit cut, so long before the end of the validity period: more than a beat.
const ANSWER_MARGIN: Span = Span::millis(28);
const CUT_MARGIN: Span = Span::millis(12);
/// A referenced text is not sent again so close to the end of its receiver's memory.
const MEMORY_MARGIN: Span = Span::millis(300);
/// A text in doubt goes before fresh ones when its receiver will forget it this soon.
const FADING: Span = Span::millis(2_500);
/// First pause of a rescheduled text; it doubles from submit to submit up to the longest.
const FIRST_PAUSE: Span = Span::millis(250);
const LONGEST_PAUSE: Span = Span::millis(8_000);
/// First pause between trial calls to what is held to be down, its growth and its end.
const FIRST_TRIAL: Span = Span::millis(400);
const TRIAL_GROWTH: f64 = 1.6;
const LONGEST_TRIAL: Span = Span::millis(1_200);
/// Strikes in a row, one a round trip at most, after which a lane or endpoint is held to be down.
const STRIKES_OUT: u32 = 6;
/// A strike counts double so long after the one before.
const FAR_APART: Span = Span::millis(1_000);
/// After a quick failure a lane rests so long, or as its part of the rate asks if that is less. Where calls
/// to a cold receiver are to be further apart, a sender sends too few to find it down by their number.
const SECOND_LOOK: Span = Span::millis(1_500);
/// Where no rate is known, what a sender is handed at its peaks is this much over its mean.
const PEAK: f64 = 2.0;
/// A cold one is then trusted with so much over the mean, and from all senders with so many calls a second.
const COLD_PEAK: f64 = 1.5;
const LEAST_COLD: f64 = 4.0;
/// Calls a second that a warm destination is trusted to take, where nothing else is known.
const LEAST_RATE: f64 = 1.0;
/// Recent answer times this far over the usual ones, and by at least so much, are sharply risen.
const RISEN: f64 = 2.5;
const RISEN_BY: f64 = 150.0;
/// Lanes that answered so lately, and no more than these, tell how far answer times have risen in common.
const LATELY: Span = Span::millis(3_000);
const TELLING: usize = 15;
/// This part of the room for texts is kept free.
const ROOM_KEPT: f64 = 0.1;
/// A pace falls to this part at a full, rises by this part of a share a second, lets calls through so early.
const PACE_CUT: f64 = 0.8;
const PACE_RISE: f64 = 0.1;
const LONGEST_ROUND: Span = Span::millis(2_000);
const PACE_EARLY: Span = Span::millis(100);
const LEAST_PACE: f64 = 0.4;
/// Where being turned away costs nothing a pace starts at this part of a known rate.
const FIRST_PART: f64 = 0.25;
/// A pace never falls under this part of a sender's part of a known rate.
const LEAST_PART: f64 = 0.2;
/// While less than this share of a limit is left, paces don't rise, and fall by up to this part an answer.
const SCARCE: f64 = 0.5;
const EASING: f64 = 0.1;
/// Calls unanswered this many usual answer times, and at least so long, are taken for silence.
const SILENT_TIMES: f64 = 4.0;
const SILENT_AT_LEAST: Span = Span::millis(500);
/// For so long after a connection of its kind was refused or lost, and not otherwise, idle ones are shut.
const LOST_SPAN: Span = Span::millis(20_000);
/// An idle connection is kept if its next use is expected within this part of its life.
const KEPT_PART: f64 = 0.5;
/// What is handed in for a destination is counted over this span, and over the least of it at the start.
const DEMAND_SPAN: f64 = 15.0;
const DEMAND_LEAST: f64 = 2.0;
/// First pause before the list is asked for again.
const FIRST_ASK: Span = Span::millis(300);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Text(TextId),
    End(TextId),
    Key(KeyId),
    Ask,
    Lane(DestId),
    Idle(LaneId),
    Overdue(u64),
    Unlisted(EndpointId),
    ListLapses,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Place {
    /// An earlier text of the key has the turn.
    Behind,
    Fresh,
    Waiting,
    Ready,
    Out,
    Ended,
}

struct Text {
    dest: DestId,
    product: ProductId,
    key: Option<KeyId>,
    valid_until: Moment,
    submits: usize,
    out: Option<u64>,
    first_in_doubt: Option<(Moment, ZoneId)>,
    /// Given up, but whoever waits for the text has not heard of it yet.
    untold: bool,
    /// It shared a call that ran for nobody, and may be what spoilt it: it shares no other.
    alone: bool,
    /// Taken on by an earlier process. It was promised then, and gets a call before it is given up.
    resumed: bool,
    place: Place,
}

#[derive(Default)]
struct KeyLine {
    line: VecDeque<TextId>,
    rest_until: Option<Moment>,
}

/// The texts held for a destination and the endpoints that they may go to.
#[derive(Default)]
struct Hold {
    fresh: BTreeSet<TextId>,
    ready: BTreeSet<TextId>,
    /// Ready texts in doubt, by the end of their receiver's memory, and untried ones of an earlier process.
    fading: BTreeSet<(Moment, TextId)>,
    /// Texts never in doubt and not out, which may be given up to make room.
    sure: BTreeSet<TextId>,
    held: usize,
    /// Texts handed in, fading with time, and when that was last brought up.
    asked: f64,
    asked_at: Moment,
    endpoints: Vec<EndpointId>,
    units: f64,
    rank: Option<Rank>,
    look_at: Option<Moment>,
    /// An earlier process left texts here, and whether one of them was not merely out when that ended.
    gentle: Option<bool>,
}

/// Fresh before rescheduled, then the fewest calls out, then the newest text.
type Rank = (bool, usize, Reverse<TextId>, DestId);
type Picked = Result<(Rank, EndpointId), Option<Moment>>;

impl Hold {
    fn faded(&self, now: Moment) -> f64 {
        (-now.since(self.asked_at).as_secs() / DEMAND_SPAN).exp()
    }
}

struct Call {
    endpoint: EndpointId,
    sent: Moment,
    texts_out: usize,
    texts: Vec<TextId>,
    judged: bool,
    cut_short: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
enum State {
    #[default]
    Sound,
    Down,
    /// Answering again after an outage, and cold.
    Back,
}

/// What a sender's own calls say of a lane or an endpoint.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Health {
    state: State,
    since: Moment,
    next: Moment,
    gap: Span,
    strikes: u32,
    struck_at: Moment,
    last_ok: Moment,
}

impl Health {
    /// From when on a call may go out, if no outcome has to come first.
    fn opens(&self, out: usize) -> Option<Moment> {
        match self.state {
            State::Sound => Some(Moment::default()),
            State::Down => (out == 0).then_some(self.next),
            State::Back => Some(self.next),
        }
    }

    fn failed(&mut self, now: Moment, sent: Moment, weight: u32, silent: bool, jitter: f64) {
        if self.state == State::Down {
            // Only trials lengthen the pause; calls that were out when the outage was noticed do not.
            if sent < self.since {
                return;
            }
            self.gap = (self.gap * TRIAL_GROWTH).min(LONGEST_TRIAL);
            self.next = self.next.max(now + self.gap * jitter);
            return;
        }
        // An answer that came after this call had left shows the receiver alive: a single loss is no outage.
        // Calls from before the last strike tell of the same trouble again; but two time-outs are silence.
        if self.last_ok >= sent || (sent < self.struck_at && !silent) {
            return;
        }
        // Where calls are rare six strikes would outlast most outages.
        let rare = weight == 1 && self.strikes > 0 && now.since(self.struck_at) >= FAR_APART;
        self.strikes += if rare { 2 * weight } else { weight };
        self.struck_at = now;
        if self.strikes >= STRIKES_OUT {
            (self.state, self.since, self.gap) = (State::Down, now, FIRST_TRIAL);
            self.next = now + self.gap * jitter;
        }
    }

    fn succeeded(&mut self, now: Moment, turn: Span, cold: Span) {
        self.last_ok = now;
        // One success among failures is no end of an outage.
        self.strikes = if self.state == State::Sound { 0 } else { self.strikes / 2 };
        if self.state == State::Down {
            (self.state, self.since, self.next) = (State::Back, now, now + turn);
        } else if self.state == State::Back && now.since(self.since) >= cold {
            self.state = State::Sound;
        }
    }
}

#[derive(Clone, Default, Serialize, Deserialize)]
struct Endpoint {
    dest: DestId,
    kind: KindId,
    zone: ZoneId,
    units: f64,
    running: bool,
    /// Taken out by the operators, whatever the list says of it.
    by_hand: bool,
    #[serde(skip)]
    calls: BTreeSet<u64>,
    last_used: Moment,
    health: Health,
}

impl Endpoint {
    fn serves(&self) -> bool {
        self.running && !self.by_hand
    }
}

/// The window of one destination, or of one route where routes are apart.
#[derive(Clone, Default, Serialize, Deserialize)]
struct Lane {
    window: usize,
    delivered: usize,
    #[serde(skip)]
    calls: BTreeSet<u64>,
    wait_until: Moment,
    cut_at: Moment,
    last_used: Moment,
    health: Health,
    /// Usual, recent and spread of answer times in milliseconds; 0 while nothing is known.
    usual: f64,
    recent: f64,
    spread: f64,
    slow: bool,
    time_outs: u32,
    told_rate: f64,
    /// Calls a second that this sender allows itself; 0 while nothing limits it.
    pace: f64,
    paced: Moment,
}

type LaneId = (DestId, Option<EndpointId>);

/// What a process has learnt, for the one that takes its place. Texts and the list are told by events.
#[derive(Serialize, Deserialize)]
pub struct LearnedState {
    endpoints: BTreeMap<EndpointId, Endpoint>,
    lanes: BTreeMap<LaneId, Lane>,
    lost: BTreeMap<KindId, Moment>,
    asked: Vec<(DestId, f64, Moment)>,
    rests: Vec<(KeyId, Moment)>,
    started: Option<Moment>,
}

#[derive(Default)]
pub struct Rules {
    settings: Settings,
    chance: Rng,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    lanes: BTreeMap<LaneId, Lane>,
    holds: BTreeMap<DestId, Hold>,
    texts: BTreeMap<TextId, Text>,
    keys: BTreeMap<KeyId, KeyLine>,
    calls: BTreeMap<u64, Call>,
    next_call: u64,
    dues: BTreeSet<(Moment, Due)>,
    /// Destinations of which something has changed, and those that may send, best first.
    touched: BTreeSet<DestId>,
    /// The lanes that answered last, when, and how far their answer times had risen.
    risen: VecDeque<(Moment, LaneId, f64)>,
    line: BTreeSet<Rank>,
    held: usize,
    /// When a call to a kind of destination last found no connection, or was lost on one that had rested.
    lost: BTreeMap<KindId, Moment>,
    /// When one last turned a call away for want of room for its connection, it seems.
    crowded: BTreeMap<KindId, Moment>,
    longest: BTreeSet<(usize, DestId)>,
    asks_failed: u32,
    /// When the list may be acted on no more.
    list_until: Option<Moment>,
    /// Another process takes over: nothing new goes out.
    quiet: bool,
    started: Option<Moment>,
    now: Moment,
    actions: Vec<Action>,
}

impl Lane {
    fn cap(&self, slots: usize) -> usize {
        let sick = self.slow || self.health.state != State::Sound || self.health.strikes > 0;
        (if sick { slots / 2 } else { slots * 3 / 4 }).max(1)
    }

    fn opens(&self, slots: usize) -> Option<Moment> {
        let healthy = self.health.opens(self.calls.len())?;
        let room = self.calls.len() < self.window.min(self.cap(slots));
        room.then(|| self.wait_until.max(self.paced - PACE_EARLY).max(healthy))
    }

    /// One overload answers many calls at once; those that left before the last cut count with it.
    fn cut(&mut self, now: Moment, sent: Moment) {
        if sent >= self.cut_at {
            (self.window, self.delivered, self.cut_at) = ((self.window / 2).max(1), 0, now);
        }
    }

    fn grow(&mut self, slots: usize) {
        self.delivered += 1;
        if self.delivered >= self.window {
            (self.window, self.delivered) = ((self.window + 1).min(self.cap(slots)), 0);
        }
    }

    fn learn(&mut self, latency: f64, common: f64) -> bool {
        if self.usual == 0.0 {
            (self.usual, self.recent, self.spread) = (latency, latency, latency / 2.0);
        }
        self.spread += ((latency - self.recent).abs() - self.spread) / 8.0;
        self.usual += (latency - self.usual) / 32.0;
        self.recent += (latency - self.recent) / 4.0;
        self.slow = self.recent > self.usual * RISEN * common && self.recent > self.usual * common + RISEN_BY;
        self.slow
    }

    /// How long an answer may take before its lack is taken for silence.
    fn patience(&self) -> Span {
        let usual = Span::from_millis((self.recent + self.spread) * SILENT_TIMES);
        if self.recent > 0.0 { usual.max(SILENT_AT_LEAST) } else { SILENT_AT_LEAST * 2.0 }
    }

    fn time_out(&self, sla_time: Span) -> Span {
        let expected = Span::from_millis(self.recent + 6.0 * self.spread);
        sla_time.max(expected) * f64::from(1 << self.time_outs.min(2))
    }
}

impl Rules {
    pub fn new(settings: Settings, seed: u64) -> Rules {
        Rules { settings, chance: Rng::new(seed), ..Rules::default() }
    }

    pub fn learned_state(&self) -> LearnedState {
        let rests = self.keys.iter().filter_map(|(id, key)| Some((*id, key.rest_until?)));
        let asked = self.holds.iter().map(|(id, hold)| (*id, hold.asked, hold.asked_at)).collect();
        let (endpoints, lanes, lost) = (self.endpoints.clone(), self.lanes.clone(), self.lost.clone());
        LearnedState { endpoints, lanes, lost, asked, rests: rests.collect(), started: self.started }
    }

    /// Goes on with what another process has learnt, of which no call is out any more.
    pub fn successor(settings: Settings, seed: u64, learnt: LearnedState) -> Rules {
        let LearnedState { endpoints, lanes, lost, asked, rests, started } = learnt;
        let mut rules = Rules { endpoints, lanes, lost, started, ..Rules::new(settings, seed) };
        rules.endpoints.values_mut().for_each(|at| at.running = false);
        let hold = |(dest, asked, asked_at)| (dest, Hold { asked, asked_at, ..Hold::default() });
        rules.holds.extend(asked.into_iter().map(hold));
        for (id, until) in rests {
            rules.keys.insert(id, KeyLine { rest_until: Some(until), ..KeyLine::default() });
            rules.dues.insert((until, Due::Key(id)));
        }
        let now = Moment::default();
        rules.dues.extend(rules.endpoints.keys().map(|id| (now, Due::Unlisted(*id))));
        rules.dues.extend(rules.lanes.keys().map(|id| (now, Due::Idle(*id))));
        rules
    }

    /// Takes all that happened at `now`, in order, and returns what to do about it, in order.
    pub fn step(&mut self, now: Moment, events: Vec<Event>) -> Vec<Action> {
        let mut beat = self.now == Moment::default();
        self.now = now;
        self.started.get_or_insert(now);
        self.actions.extend((beat && self.settings.must_subscribe).then_some(Action::Subscribe { on: true }));
        for event in events {
            match event {
                Event::ListReceived { scope, entries } => self.listed(scope, entries),
                Event::Accepted(handed) => self.taken(handed, None, false),
                Event::Resumed(handed, past) => self.taken(handed, Some(past), false),
                Event::UnreportedEnd(handed) => self.taken(handed, Some(SubmitHistory::default()), true),
                Event::EndReported(id) | Event::Withdrawn(id) => {
                    self.texts.get_mut(&id).into_iter().for_each(|text| text.untold = false);
                    self.end(id);
                }
                Event::Outcome(outcome) => self.outcome(outcome),
                Event::Maintenance { endpoint, out_of_service } => self.maintained(endpoint, out_of_service),
                Event::Settings(settings) => self.settings = settings,
                Event::PauseSubmits(on) => self.quiet = on,
                Event::ListLease(until) => self.list_leased(until),
                Event::TimerFired => beat = true,
                _ => {}
            }
        }
        while let Some(&(at, due)) = self.dues.first()
            && at <= now
        {
            self.dues.pop_first();
            self.due(due);
        }
        self.actions.extend(beat.then(|| Action::WakeAt(now + BEAT.max(self.settings.tick))));
        self.dispatch();
        self.make_room();
        std::mem::take(&mut self.actions)
    }

    /// Whether nothing new but a trial goes to an endpoint, by hand, by the list or by what its calls told.
    pub fn avoids(&self, endpoint: EndpointId) -> bool {
        let Some(at) = self.endpoints.get(&endpoint) else { return false };
        let lane = self.lanes.get(&self.lane_of(endpoint)).map(|lane| lane.health.state);
        !at.serves() || [Some(at.health.state), lane].contains(&Some(State::Down))
    }

    /// The window of each lane, for those who draw it; nothing is decided by it outside.
    pub fn windows(&self) -> impl Iterator<Item = (DestId, usize)> {
        self.lanes.iter().map(|(id, lane)| (id.0, lane.window))
    }

    fn listed(&mut self, scope: Scope, entries: Vec<Entry>) {
        if scope == Scope::Error {
            // Asking costs the registry work, and all senders may have been turned away together.
            self.asks_failed += 1;
            let pause = FIRST_ASK * f64::from(1 << (self.asks_failed - 1).min(6));
            let pause = pause.min(self.settings.must_ask_in.max(FIRST_ASK)) * (0.5 + self.chance.next_f64());
            return self.dues.extend([(self.now + pause, Due::Ask)]);
        }
        self.asks_failed = 0;
        if scope != Scope::Partial {
            self.endpoints.values_mut().for_each(|e| e.running = false);
            self.touched.extend(self.holds.keys());
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
            self.touched.insert(endpoint.dest);
            (endpoint.units, endpoint.running) = (entry.units, entry.condition == Condition::Running);
        }
        let mut withheld = Vec::new();
        for dest in &self.touched {
            let hold = self.holds.get_mut(dest).expect("what is touched has a hold");
            for id in hold.endpoints.extract_if(.., |id| !self.endpoints[id].serves()) {
                self.dues.insert((self.now + QUIET_SPELL, Due::Unlisted(id)));
                withheld.extend(&self.endpoints[&id].calls);
            }
        }
        self.withhold(withheld);
    }

    /// Guards against calls to an endpoint of which the sender counts as told, by a list that it was not told anew.
    fn list_leased(&mut self, until: Option<Moment>) {
        if let Some(until) = until {
            self.dues.insert((until, Due::ListLapses));
        }
        self.list_until = until;
    }

    fn list_is_good(&self) -> bool {
        self.list_until.is_none_or(|until| self.now < until)
    }

    /// Guards against calls decided before a wait, a drain or an order was told that leave long after it, as
    /// their connections took so long to come up.
    fn withhold(&mut self, calls: Vec<u64>) {
        for call in calls {
            for id in &self.calls[&call].texts {
                if let Some(text) = self.texts.get(id).filter(|text| text.out == Some(call)) {
                    self.actions.push(Action::CancelUnsent { text: *id, submit: text.submits - 1 });
                }
            }
        }
    }

    /// What operators took out was most likely restarted meanwhile: it comes back cold, as from an outage.
    fn maintained(&mut self, id: EndpointId, out: bool) {
        let Some(at) = self.endpoints.get_mut(&id).filter(|at| at.by_hand != out) else { return };
        at.by_hand = out;
        let (dest, serves) = (at.dest, at.serves());
        let hold = self.holds.get_mut(&dest).expect("an endpoint has the hold of its destination");
        hold.endpoints.retain(|other| *other != id);
        hold.endpoints.extend(serves.then_some(id));
        if out {
            self.withhold(self.endpoints[&id].calls.iter().copied().collect());
        } else {
            let next = self.now + self.turn(self.lane_of(id));
            let back = Health { state: State::Back, since: self.now, next, ..Health::default() };
            self.endpoints.get_mut(&id).expect("looked at").health = back;
        }
        self.touched.insert(dest);
    }

    /// What was handed in before a restart is no demand of now; what of it may not go again ends at once.
    fn taken(&mut self, handed: AcceptedText, past: Option<SubmitHistory>, untold: bool) {
        let AcceptedText { text: id, product, dest, key, valid_until } = handed;
        let (resumed, SubmitHistory { submits, first_in_doubt }) = (past.is_some(), past.unwrap_or_default());
        let key = key.filter(|_| self.settings.products[product.0].in_order);
        let (place, out, alone) = (Place::Behind, None, false);
        let text = Text {
            dest,
            product,
            key,
            valid_until,
            submits,
            out,
            first_in_doubt,
            untold,
            alone,
            resumed,
            place,
        };
        self.dues.insert((valid_until - ANSWER_MARGIN, Due::End(id)));
        self.dues.extend(self.memory_ends(&text).map(|end| (end, Due::End(id))));
        let over = !untold && !self.may_go_again(&text);
        self.texts.insert(id, text);
        let now = self.now;
        let hold = self.holds.entry(dest).or_default();
        (hold.asked, hold.asked_at) = (hold.asked * hold.faded(now) + f64::from(u8::from(!resumed)), now);
        // What was out alone tells of no outage, or not of one that is over.
        hold.gentle =
            hold.gentle.max((resumed && !untold).then_some(submits != 1 || first_in_doubt.is_none()));
        self.count_held(dest, 1);
        self.put(id, Place::Behind);
        match key {
            None => self.put(id, Place::Fresh),
            Some(key) => {
                let keyed = self.keys.entry(key).or_default();
                keyed.line.push_back(id);
                // The process before may have ended a moment ago, with a call out.
                let rests = first_in_doubt.map(|_| now + self.settings.rest_after_doubt);
                keyed.rest_until = keyed.rest_until.max(rests);
                self.advance(key);
            }
        }
        if over {
            self.give_up(id);
        } else if untold {
            self.end(id);
        }
    }

    fn count_held(&mut self, dest: DestId, by: isize) {
        let hold = self.holds.get_mut(&dest).expect("a text at hand has its hold");
        self.longest.remove(&(hold.held, dest));
        hold.held = hold.held.saturating_add_signed(by);
        self.held = self.held.saturating_add_signed(by);
        self.longest.insert((hold.held, dest));
    }

    fn put(&mut self, id: TextId, place: Place) {
        let fades = self.fades(&self.texts[&id]);
        let text = self.texts.get_mut(&id).expect("only texts at hand are moved");
        let hold = self.holds.get_mut(&text.dest).expect("a text at hand has its hold");
        let place = if place == Place::Fresh && text.submits > 0 { Place::Ready } else { place };
        hold.fresh.remove(&id);
        hold.ready.remove(&id);
        hold.sure.remove(&id);
        fades.map(|end| hold.fading.remove(&(end, id)));
        if matches!(place, Place::Fresh | Place::Ready) {
            if place == Place::Fresh { &mut hold.fresh } else { &mut hold.ready }.insert(id);
            hold.fading.extend(fades.map(|end| (end, id)));
        }
        let untried = text.resumed && text.submits == 0;
        if !matches!(place, Place::Out | Place::Ended) && text.first_in_doubt.is_none() && !untried {
            hold.sure.insert(id);
        }
        self.touched.insert(text.dest);
        let (dest, was) = (text.dest, std::mem::replace(&mut text.place, place));
        if place == Place::Ended && was != Place::Ended {
            self.count_held(dest, -1);
        }
    }

    /// Gives the turn of a key to the next text in line, once the last is ended and its submits known.
    fn advance(&mut self, key: KeyId) {
        let Some(keyed) = self.keys.get_mut(&key) else { return };
        while keyed.line.front().is_some_and(|id| !self.texts.contains_key(id)) {
            keyed.line.pop_front();
        }
        match (keyed.rest_until.filter(|until| *until > self.now), keyed.line.front().copied()) {
            (Some(until), _) => _ = self.dues.insert((until, Due::Key(key))),
            (None, None) => _ = self.keys.remove(&key),
            (None, Some(first)) if self.texts[&first].place == Place::Behind => self.put(first, Place::Fresh),
            (None, Some(_)) => {}
        }
    }

    /// Nothing further is sent for the text; submits still out keep its place in the key's line.
    fn end(&mut self, id: TextId) {
        if !self.texts.contains_key(&id) {
            return;
        }
        self.put(id, Place::Ended);
        let text = &self.texts[&id];
        let key = text.key;
        if text.out.is_none() && !text.untold {
            self.texts.remove(&id);
        }
        key.into_iter().for_each(|key| self.advance(key));
    }

    fn repeat(&self, text: &Text) -> Repeat {
        self.settings.products[text.product.0].repeat
    }

    /// When it is too late for a text that must not wait for fresh ones until then.
    fn fades(&self, text: &Text) -> Option<Moment> {
        if text.resumed && text.submits == 0 { Some(text.valid_until) } else { self.memory_ends(text) }
    }

    fn memory_ends(&self, text: &Text) -> Option<Moment> {
        match (self.repeat(text), text.first_in_doubt) {
            (Repeat::Referenced { memory, .. }, Some((sent, _))) => Some(sent + memory - MEMORY_MARGIN),
            _ => None,
        }
    }

    /// Whether these texts of one call may travel on a connection that carries other calls.
    fn may_share_connection(&self, kind: KindId, texts: &[TextId]) -> bool {
        let bears = |id: &TextId| {
            let text = &self.texts[id];
            !text.alone && connection_sharing::may_share_connection(self.repeat(text))
        };
        self.settings.kinds[kind.0].texts_per_call > 1 && texts.iter().all(bears)
    }

    fn may_go_again(&self, text: &Text) -> bool {
        let once_only = self.repeat(text) == Repeat::OnceOnly;
        text.submits < self.settings.products[text.product.0].max_submits
            && !(once_only && text.first_in_doubt.is_some())
            && self.memory_ends(text).is_none_or(|end| self.now < end)
            && self.now < text.valid_until - ANSWER_MARGIN
    }

    fn give_up(&mut self, id: TextId) {
        let text = &self.texts[&id];
        let lanes = self.lanes.range((text.dest, None)..=(text.dest, Some(EndpointId(usize::MAX))));
        let until = lanes.filter_map(|(_, lane)| Some(lane.health.opens(0)?.max(lane.wait_until))).min();
        let wait = until.map_or(Span::ZERO, |until| until.since(self.now));
        let advice = self.settings.longest_advice.map(|most| wait.max(FIRST_PAUSE).min(most));
        // Whoever comes back later than the receiver remembers would have it run twice.
        let back = self.now + advice.unwrap_or(FIRST_PAUSE);
        let harmless = match self.repeat(text) {
            Repeat::Resendable => true,
            Repeat::Referenced { one_zone: true, .. } | Repeat::OnceOnly => text.first_in_doubt.is_none(),
            Repeat::Referenced { .. } => self.memory_ends(text).is_none_or(|end| back < end),
        };
        if harmless && text.out.is_none() {
            self.actions.push(Action::Nack { text: id, retry_after: advice });
        } else {
            self.actions.push(Action::Undeliverable { text: id });
        }
        self.texts.get_mut(&id).expect("given up once").untold = true;
        self.end(id);
    }

    /// Guards against receivers that fill the room for all: the longest hold gives up its stalest text,
    /// while it can be handed in again. May hurt where clients never do and the hold would soon be empty.
    fn make_room(&mut self) {
        let kept = ((self.settings.max_held as f64 * ROOM_KEPT) as usize).max(1);
        while self.held + kept > self.settings.max_held {
            let Some(&(_, dest)) = self.longest.last() else { return };
            let Some(&stalest) = self.holds[&dest].sure.first() else { return };
            self.give_up(stalest);
        }
    }

    fn reschedule(&mut self, id: TextId, told: Moment) {
        let text = &self.texts[&id];
        let pause = (FIRST_PAUSE * f64::from(1 << (text.submits.clamp(1, 16) - 1))).min(LONGEST_PAUSE);
        let at = (self.now + pause * (0.8 + 0.4 * self.chance.next_f64())).max(told);
        let memory_ends = self.memory_ends(text);
        if !self.may_go_again(text) || at >= text.valid_until || memory_ends.is_some_and(|end| at >= end) {
            return self.give_up(id);
        }
        self.dues.extend(memory_ends.map(|end| (end, Due::End(id))));
        self.dues.insert((at, Due::Text(id)));
        self.put(id, Place::Waiting);
    }

    fn due(&mut self, due: Due) {
        let waits = |id| self.texts.get(&id).is_some_and(|text| text.place == Place::Waiting);
        match due {
            Due::Text(id) if !waits(id) => {}
            Due::Text(id) => self.put(id, Place::Ready),
            Due::End(id) => {
                let Some(text) = self.texts.get(&id) else { return };
                if text.place == Place::Ended {
                    return;
                }
                // The cut submit should answer first; this stands behind it should that answer fail to come.
                // A call's texts are answered with the last of them: the time of one may be up long before.
                let shares = text.out.is_some_and(|call| self.calls[&call].texts.len() > 1);
                let cut = text.valid_until - CUT_MARGIN + self.settings.tick * 2.0;
                let latest = if shares { text.valid_until - ANSWER_MARGIN } else { cut };
                let again = text.out.is_some() && self.now < latest;
                if again { self.dues.extend([(latest, Due::End(id))]) } else { self.give_up(id) }
            }
            Due::Key(key) => self.advance(key),
            Due::Ask => self.actions.push(Action::Subscribe { on: true }),
            Due::Lane(dest) => {
                self.holds.get_mut(&dest).expect("looked at").look_at = None;
                self.touched.insert(dest);
            }
            Due::Idle(id) => self.drop_idle(id),
            Due::Overdue(call) => self.overdue(call),
            Due::Unlisted(id) => self.drop_unlisted(id),
            Due::ListLapses if self.list_is_good() => {}
            // Some were decided on a lease that went further.
            Due::ListLapses => self.withhold(self.calls.keys().copied().collect()),
        }
    }

    // What an outcome tells of the text and of its lane.

    fn outcome(&mut self, outcome: Outcome) {
        let id = outcome.text;
        let said = |text: &&mut Text| outcome.submit + 1 == text.submits;
        let Some(text) = self.texts.get_mut(&id).filter(said) else { return };
        let Some(call_id) = text.out.take() else { return };
        let call = self.calls.get_mut(&call_id).expect("a submit that is out has its call");
        let Call { sent, endpoint, cut_short, .. } = *call;
        text.alone |= call.texts.len() > 1 && outcome.verdict == Verdict::Moot;
        // A text that stayed behind says nothing of the call that left without it.
        let left = outcome.verdict != Verdict::Moot;
        let first_word = !call.judged && (left || call.texts_out == call.texts.len());
        call.judged |= left;
        call.texts_out -= 1;
        let done = call.texts_out == 0;
        if !outcome.never_ran() && outcome.verdict != Verdict::Delivered {
            text.first_in_doubt.get_or_insert((sent, self.endpoints[&endpoint].zone));
            if let Some(key) = text.key.and_then(|key| self.keys.get_mut(&key)) {
                key.rest_until = Some(self.now + self.settings.rest_after_doubt);
            }
        }
        let ended = text.place == Place::Ended || outcome.ended || outcome.verdict == Verdict::Delivered;
        let lane_id = self.lane_of(endpoint);
        // An answer to many texts may deliver some and tell a wait all the same.
        if outcome.verdict == Verdict::Full || outcome.retry_after.is_some() {
            let known = self.known_rate(lane_id);
            let lane = self.lanes.get_mut(&lane_id).expect("a lane with calls out stays");
            if let Some(wait) = outcome.retry_after {
                lane.wait_until = lane.wait_until.max(self.now + wait + self.settings.tick);
            }
            // All who were told to wait come back at once: senders take turns by their number, a call of the
            // known rate apart. Where refused calls use up a limit each sits out a round for every full.
            if known > 0.0 && first_word {
                let call = Span::from_millis(1000.0 / known);
                let turn = call * outcome.retry_after.map_or(0.0, |_| self.settings.ordinal as f64);
                let rounds =
                    (call * self.settings.senders as f64).min(LONGEST_ROUND) * f64::from(lane.health.strikes);
                lane.paced = lane.paced.max(lane.wait_until.max(self.now) + turn + rounds);
            }
            if outcome.retry_after.is_some() && first_word {
                let others = self.lanes[&lane_id].calls.iter().copied();
                self.withhold(others.filter(|other| *other != call_id).collect());
            }
        }
        if first_word {
            // One that tells of its limit and says nothing now has no room for a connection, idle ones too:
            // those that rest keep others out. Where it is shut instead, they are closed for nothing.
            let wordless = outcome.retry_after.is_none() && outcome.allowance.is_none();
            let kind = self.endpoints[&endpoint].kind;
            if outcome.verdict == Verdict::Full && self.settings.tells_limits && wordless {
                self.crowded.insert(kind, self.now);
            } else if matches!(outcome.verdict, Verdict::ConnectFailed | Verdict::Reset | Verdict::TimeOut) {
                self.lost.insert(kind, self.now);
            }
            self.judge(endpoint, sent, cut_short, &outcome);
        }
        if done {
            self.calls.remove(&call_id);
            self.endpoints.get_mut(&endpoint).expect("known").calls.remove(&call_id);
            self.lanes.get_mut(&lane_id).expect("a lane with calls out stays").calls.remove(&call_id);
        }
        self.touched.insert(self.endpoints[&endpoint].dest);
        self.close_idle(endpoint);
        let told = outcome.retry_after.map_or(self.now, |wait| self.now + wait);
        if ended { self.end(id) } else { self.reschedule(id, told) }
    }

    /// Guards against connections that fall silent and hold slots while their receiver answers on others.
    fn overdue(&mut self, id: u64) {
        let Some(call) = self.calls.get(&id) else { return };
        let lane = &self.lanes[&self.lane_of(call.endpoint)];
        let overtaken = lane.health.last_ok > call.sent + lane.patience();
        let mut texts = call.texts.iter().map(|id| &self.texts[id]);
        let again = |text| self.repeat(text) != Repeat::OnceOnly && self.may_go_again(text);
        if overtaken && call.texts_out == call.texts.len() && self.settings.may_revoke && texts.all(again) {
            let revoke = |&text: &TextId| Action::Revoke { text, submit: self.texts[&text].submits - 1 };
            self.actions.extend(call.texts.iter().map(revoke));
        } else {
            self.dues.insert((self.now + BEAT * 4.0, Due::Overdue(id)));
        }
    }

    fn judge(&mut self, endpoint_id: EndpointId, sent: Moment, cut_short: bool, outcome: &Outcome) {
        let (now, slots, cold) = (self.now, self.settings.slots, self.settings.cold_span);
        let lane_id = self.lane_of(endpoint_id);
        let (turn, common) = (self.turn(lane_id), self.common_rise());
        // A pace that nothing pressed against has shown nothing.
        let backlog =
            self.holds.get(&lane_id.0).is_some_and(|hold| !hold.fresh.is_empty() || !hold.ready.is_empty());
        let (known, part) = (self.known_rate(lane_id), self.part(lane_id));
        let gap = Span::from_millis(1000.0 / part.max(1e-3));
        let few = self.cold_gap(lane_id, now) > SECOND_LOOK;
        let jitter = 0.8 + 0.4 * self.chance.next_f64();
        let unpaced = self.lanes[&lane_id].pace == 0.0;
        let told = outcome.allowance.filter(|told| told.calls_per_sec > 0.0);
        let start = told.filter(|_| unpaced).map(|told| self.first_pace(lane_id, told.calls_per_sec));
        let scarce = told.is_some_and(|told| told.remaining_share < SCARCE);
        let endpoint = self.endpoints.get_mut(&endpoint_id).expect("known");
        let lane = self.lanes.get_mut(&lane_id).expect("a lane with calls out stays");
        if let Some(allowance) = outcome.allowance {
            (lane.told_rate, lane.pace) = (allowance.calls_per_sec, start.unwrap_or(lane.pace));
            // Of many senders each sees only here what the others do: a full comes when the limit is used up.
            if scarce && sent >= lane.cut_at {
                let eased = lane.pace * (1.0 - EASING * (1.0 - allowance.remaining_share / SCARCE));
                lane.pace = lane.pace.min(eased.max(part * LEAST_PART));
            }
        }
        let weight = match outcome.verdict {
            Verdict::Moot => return,
            Verdict::Cancelled => return endpoint.health.failed(now, sent, 1, false, jitter),
            Verdict::Delivered => {
                endpoint.health.succeeded(now, turn, cold);
                // What an outage turned away tells of no limit: the cold budget alone holds what is back.
                if known == 0.0 && lane.health.state == State::Down {
                    lane.pace = 0.0;
                }
                // The trial was of the budget too, and parts of an unknown rate may add up to more than it.
                let left = lane.health.next.since(now) * if known > 0.0 { 0.5 } else { 1.0 };
                lane.health.succeeded(now, turn.max(left), cold);
                lane.time_outs = 0;
                if lane.pace > 0.0 && backlog && !scarce {
                    let most = if known > 0.0 { known } else { f64::INFINITY };
                    lane.pace = (lane.pace + PACE_RISE * part / lane.pace.max(1.0)).min(most);
                }
                let slow = lane.learn(outcome.latency.as_millis(), common);
                self.risen.retain(|(_, id, _)| *id != lane_id);
                self.risen.push_front((now, lane_id, lane.recent / lane.usual));
                self.risen.truncate(TELLING);
                return if slow { lane.cut(now, sent) } else { lane.grow(slots) };
            }
            // Texts with little time left would mark a sound but unhurried receiver down.
            Verdict::TimeOut if cut_short && outcome.latency < lane.patience() => return,
            Verdict::TimeOut if cut_short => 1,
            Verdict::Error | Verdict::Reset | Verdict::Full => 1,
            Verdict::TimeOut | Verdict::ConnectFailed => 3,
        };
        if outcome.verdict == Verdict::TimeOut && sent >= lane.cut_at {
            lane.time_outs += 1;
        }
        if outcome.verdict == Verdict::Full && sent >= lane.cut_at {
            // Where being turned away costs and neither a wait nor a rate is told, a pace far above what is
            // handed in would go on holding nothing back.
            let free = self.settings.turned_away_price == 0.0;
            let told = free || outcome.retry_after.is_some() || lane.told_rate > 0.0;
            let used = if told { lane.pace } else { lane.pace.min(part) };
            let from = if lane.pace > 0.0 { used } else { part.max(1.0) };
            let least = if known > 0.0 { part * LEAST_PART } else { LEAST_PACE };
            lane.pace = (from * PACE_CUT).max(least);
            lane.paced = lane.paced.max(now);
        }
        lane.cut(now, sent);
        let silent = outcome.verdict == Verdict::TimeOut && !cut_short;
        let new = endpoint.health.strikes == 0;
        endpoint.health.failed(now, sent, weight, silent, jitter);
        // One endpoint's failures alone don't mark a lane down that has others.
        let others = || self.holds[&lane_id.0].endpoints.iter().filter(|id| **id != endpoint_id);
        let shared = lane_id.1.is_some()
            || others().count() == 0
            || others().any(|id| self.endpoints[id].health.strikes > 0);
        let most = if shared { weight } else { (STRIKES_OUT - 1).saturating_sub(lane.health.strikes) };
        // Each of many senders meets too little to find a receiver down; together they would push it over.
        // One dead endpoint that goes on failing beside sound ones is told from that by its strikes.
        let found = few && weight == 3 && (new || shared);
        let weight = if found { STRIKES_OUT } else { weight.min(most) };
        lane.health.failed(now, sent, weight, silent, jitter);
        if found && lane.health.since == now {
            lane.health.next = now + SECOND_LOOK * jitter + turn;
        }
        let quick = matches!(outcome.verdict, Verdict::ConnectFailed | Verdict::Reset | Verdict::Error);
        if shared && quick && lane.health.struck_at == now {
            lane.paced = lane.paced.max(now + SECOND_LOOK.min(gap) * jitter);
        }
    }

    // Which call goes out next.

    fn lane_of(&self, endpoint: EndpointId) -> LaneId {
        let at = &self.endpoints[&endpoint];
        (at.dest, self.settings.kinds[at.kind.0].routes_apart.then_some(endpoint))
    }

    /// Calls a second that the receiver takes from all senders by its list or its own word; 0 if unknown.
    fn known_rate(&self, id: LaneId) -> f64 {
        let told = self.lanes.get(&id).map_or(0.0, |lane| lane.told_rate);
        let units = match id.1 {
            Some(route) => self.endpoints[&route].units,
            None => self.holds.get(&id.0).map_or(0.0, |hold| hold.units),
        };
        match self.settings.listed_rate {
            _ if told > 0.0 => told,
            ListedRate::Silent => 0.0,
            ListedRate::Exact => units,
            ListedRate::Rough => units / 1.5,
        }
    }

    /// Guards against a slowdown of everything that marks all receivers slow; may hide a sick one among them.
    fn common_rise(&self) -> f64 {
        let lately = self.risen.iter().filter(|(at, ..)| self.now.since(*at) < LATELY);
        let mut rises: Vec<f64> = lately.map(|(.., rise)| *rise).collect();
        rises.sort_by(f64::total_cmp);
        if rises.len() < 3 { 1.0 } else { rises[(rises.len() - 1) / 2].max(1.0) }
    }

    /// Texts a second that this sender is handed for a destination.
    fn demand(&self, dest: DestId) -> f64 {
        let counted = self.now.since(self.started.unwrap_or(self.now)).as_secs().max(DEMAND_LEAST);
        let span = DEMAND_SPAN * (1.0 - (-counted / DEMAND_SPAN).exp());
        self.holds.get(&dest).map_or(0.0, |hold| hold.asked * hold.faded(self.now) / span)
    }

    /// Guards against receivers that take few connections and against ones dropped unseen at rest.
    fn close_idle(&mut self, id: EndpointId) {
        let at = &self.endpoints[&id];
        let hold = &self.holds[&at.dest];
        let pause = hold.endpoints.len() as f64 / self.demand(at.dest).max(1e-3);
        let lately = |at: Option<&Moment>| at.is_some_and(|at| self.now.since(*at) < LOST_SPAN);
        let (lost, crowded) = (lately(self.lost.get(&at.kind)), lately(self.crowded.get(&at.kind)));
        let rare = pause > self.settings.keeps_alive.as_secs() * KEPT_PART;
        // What rests for its lane's pace or wait keeps others out of a crowd as well.
        let opens = self.lanes.get(&self.lane_of(id)).and_then(|lane| lane.opens(self.settings.slots));
        let held_back = crowded && opens.is_none_or(|opens| opens > self.now);
        let idle = at.calls.is_empty() && (held_back || hold.fresh.is_empty() && hold.ready.is_empty());
        let shut = idle && (crowded || lost && rare);
        self.actions.extend(shut.then_some(Action::CloseIdle { endpoint: id }));
    }

    /// This sender's part of a rate: an equal one, or what it is handed if more, as most have no text for it.
    fn part(&self, id: LaneId) -> f64 {
        let known = self.known_rate(id);
        let handed = if known > 0.0 { self.demand(id.0).min(known) } else { self.demand(id.0) * PEAK };
        handed.max(known.max(LEAST_RATE) / self.settings.senders.max(1) as f64)
    }

    /// What a sender allows itself of a rate before it has met its limit. Where refused calls cost, many that
    /// start far above their parts would use it up for all until each has been turned away often enough.
    fn first_pace(&self, id: LaneId, rate: f64) -> f64 {
        let first = if self.settings.turned_away_price > 0.0 { 0.0 } else { FIRST_PART };
        self.part(id).min(rate).max(rate * (2.0 / (self.settings.senders as f64 + 1.0)).max(first))
    }

    /// Pause between two calls to a cold receiver. Demand swells with nacks: a known rate is parted.
    fn cold_gap(&self, id: LaneId, since: Moment) -> Span {
        let cold_span = self.settings.cold_span.as_secs().max(1e-3);
        let warmth = (self.now.since(since).as_secs() / cold_span).min(1.0);
        let share = self.settings.cold_share + (1.0 - self.settings.cold_share) * warmth;
        let senders = self.settings.senders.max(1) as f64;
        let equal = self.known_rate(id) / senders;
        // A process that has just begun goes by what it finds.
        let found = self.holds.get(&id.0).map_or(0.0, |hold| hold.held as f64) / cold_span;
        let part = if equal > 0.0 { equal } else { (self.demand(id.0) * COLD_PEAK).max(found) };
        let least = if equal > 0.0 { 1e-3 } else { (LEAST_COLD / senders).max(2.0 / cold_span) };
        Span::from_millis(1000.0 / (self.settings.tip_multiple * share * part).max(least))
    }

    /// Senders take turns at what has just come back: each starts its part of the gap later than the last.
    fn turn(&self, id: LaneId) -> Span {
        let part = (self.settings.ordinal + 1) as f64 / self.settings.senders.max(1) as f64;
        self.cold_gap(id, self.now).min(self.settings.cold_span * 0.5) * part
    }

    /// Guards against silent receivers that draw in slots until the first time-out; one slow call may hurt.
    fn silent(&self, lane: &Lane, health: &Health, calls: &BTreeSet<u64>) -> bool {
        let sent = calls.first().map(|oldest| self.calls[oldest].sent);
        sent.is_some_and(|sent| self.now.since(sent) > lane.patience() && health.last_ok <= sent)
    }

    /// The best endpoint of a destination that may be called now, or when one may be.
    fn pick(&self, dest: DestId, passed: &BTreeSet<EndpointId>) -> Picked {
        let hold = &self.holds[&dest];
        let newest = hold.fresh.last().or(hold.ready.last()).ok_or(None)?;
        let mut best = None;
        let mut opens = None::<Moment>;
        for &id in hold.endpoints.iter().filter(|id| !passed.contains(id)) {
            let at = &self.endpoints[&id];
            let lane = self.lanes.get(&self.lane_of(id));
            let lane_down = lane.is_some_and(|lane| lane.health.state == State::Down);
            let silent = |lane: &Lane| {
                self.silent(lane, &at.health, &at.calls) || self.silent(lane, &lane.health, &lane.calls)
            };
            if lane.is_some_and(silent) {
                continue;
            }
            let lane_opens = lane.map_or(Some(self.now), |lane| lane.opens(self.settings.slots));
            let own = if lane_down { Some(self.now) } else { at.health.opens(at.calls.len()) };
            let Some(from) = lane_opens.and_then(|lane| own.map(|own| own.max(lane))) else { continue };
            if from > self.now {
                opens = Some(opens.map_or(from, |at| at.min(from)));
                continue;
            }
            let lane_out = lane.map_or(0, |lane| lane.calls.len());
            // An open connection is worth going back to, but not for all trials of a lane to a dead one.
            let struck = if lane_down { at.health.strikes } else { 0 };
            let recency = if struck > 0 { Ok(at.last_used) } else { Err(Reverse(at.last_used)) };
            let down = at.health.state == State::Down;
            let rank = (lane_out, struck, at.calls.len(), down, recency, id);
            best = best.into_iter().chain([rank]).min();
        }
        let best = best.ok_or(opens)?;
        Ok(((hold.fresh.is_empty(), best.0, Reverse(*newest), dest), best.5))
    }

    /// Puts a destination in its place among those that may send.
    fn line_up(&mut self, dest: DestId, passed: &BTreeSet<EndpointId>) {
        let picked = self.pick(dest, passed);
        let hold = self.holds.get_mut(&dest).expect("what is touched has a hold");
        let rank = picked.as_ref().ok().map(|(rank, _)| *rank);
        std::mem::replace(&mut hold.rank, rank).map(|old| self.line.remove(&old));
        self.line.extend(rank);
        if let Err(Some(at)) = picked
            && hold.look_at.is_none_or(|look| at < look)
        {
            hold.look_at = Some(at);
            self.dues.insert((at, Due::Lane(dest)));
        }
    }

    fn dispatch(&mut self) {
        // Endpoints that none of the texts held may go to, as where only one zone remembers a reference.
        let mut passed = BTreeSet::new();
        for dest in std::mem::take(&mut self.touched) {
            if self.holds[&dest].gentle.is_some() {
                self.start_gently(dest);
            }
            self.line_up(dest, &passed);
        }
        while !self.quiet
            && self.list_is_good()
            && self.calls.len() < self.settings.slots
            && let Some(&first) = self.line.first()
        {
            // What was open when it came into the line may have fallen silent since.
            let dest = first.3;
            if let Ok((rank, endpoint)) = self.pick(dest, &passed)
                && rank == first
                && !self.call(dest, endpoint)
            {
                passed.insert(endpoint);
            }
            self.line_up(dest, &passed);
        }
        self.touched.clear();
    }

    fn open_lane(&mut self, id: LaneId, health: Health) {
        let pace = self.first_pace(id, self.known_rate(id));
        self.lanes.entry(id).or_insert_with(|| {
            self.dues.insert((self.now + QUIET_SPELL, Due::Idle(id)));
            Lane { window: (self.settings.slots / 2).max(1), pace, health, ..Lane::default() }
        });
    }

    /// Guards against many processes that start at once, each with texts for what is just back and none that
    /// knows of it, also where a text was just out if few can be borne. May hold back what was never cold.
    fn start_gently(&mut self, dest: DestId) {
        for endpoint in self.holds[&dest].endpoints.clone() {
            let (id, since) = (self.lane_of(endpoint), self.now);
            if self.holds[&dest].gentle == Some(true) || self.cold_gap(id, since) > SECOND_LOOK {
                let next = since + self.turn(id);
                self.open_lane(id, Health { state: State::Back, since, next, ..Health::default() });
            }
        }
        let hold = self.holds.get_mut(&dest).expect("looked at");
        hold.gentle = hold.gentle.filter(|_| hold.endpoints.is_empty());
    }

    /// One call, filled with as many of the texts held as it carries.
    fn call(&mut self, dest: DestId, endpoint: EndpointId) -> bool {
        let lane_id = self.lane_of(endpoint);
        self.open_lane(lane_id, Health::default());
        let Endpoint { kind, zone, .. } = self.endpoints[&endpoint];
        let (hold, health, now) = (&self.holds[&dest], &self.lanes[&lane_id].health, self.now);
        // What is down may have come back this very moment, as cold as it can be.
        let warm_from = |health: &Health| if health.state == State::Down { now } else { health.since };
        let lane_gap = self.cold_gap(lane_id, warm_from(health));
        // A trial call most likely leaves its texts in doubt: one is enough, a once-only one last of all.
        let down = health.state == State::Down;
        let most = if down { 1 } else { self.settings.kinds[kind.0].texts_per_call };
        let takes = |id: &&TextId| {
            let text = &self.texts[*id];
            let one_zone = matches!(self.repeat(text), Repeat::Referenced { one_zone: true, .. });
            self.may_go_again(text)
                && !(one_zone && text.first_in_doubt.is_some_and(|(_, first)| first != zone))
        };
        let mut chosen: Vec<TextId> = Vec::new();
        if down {
            let once_only = |id: &TextId| self.repeat(&self.texts[id]) == Repeat::OnceOnly;
            let tried = || hold.ready.iter().rev().chain(hold.fresh.iter().rev()).filter(takes);
            chosen.extend(tried().find(|id| !once_only(id)).or_else(|| tried().next()));
        } else {
            // A text in doubt that waits behind fresh ones is forgotten by its receiver and can't go again.
            // Nor may it wait beyond the next call where those to a cold one are further apart.
            let next = if health.state == State::Back { lane_gap } else { FADING };
            let fading = hold.fading.range(..(self.now + FADING.max(next), TextId(0))).map(|(_, id)| id);
            let rest = hold.fresh.iter().rev().chain(hold.ready.iter().rev());
            for id in fading.chain(rest).filter(takes) {
                // One text that can't be read spoils a call for all that travel with it, again and again.
                let shares = chosen.is_empty() || !(self.texts[id].alone || self.texts[&chosen[0]].alone);
                if chosen.len() < most && shares && !chosen.contains(id) {
                    chosen.push(*id);
                } else if chosen.len() == most || self.texts[&chosen[0]].alone {
                    break;
                }
            }
        }
        if chosen.is_empty() {
            return false;
        }
        // A receiver knows a call by its first text and by the one time told for all: these have to agree, or
        // an answer that comes between the two ends texts here that are not over there.
        chosen.sort_by_key(|id| Reverse(self.texts[id].valid_until));
        let shares_connection = self.may_share_connection(kind, &chosen);
        let (call, mut cut_short) = (self.next_call, false);
        self.next_call += 1;
        for &id in &chosen {
            let product = self.texts[&id].product;
            let time_out = self.lanes[&lane_id].time_out(self.settings.products[product.0].sla_time);
            self.put(id, Place::Out);
            let forgotten = self.memory_ends(&self.texts[&id]).map(|end| end + MEMORY_MARGIN * 0.5);
            let text = self.texts.get_mut(&id).expect("chosen from the hold");
            let send_deadline = forgotten.map_or(text.valid_until, |end| end.min(text.valid_until));
            let send_deadline = self.list_until.map_or(send_deadline, |until| until.min(send_deadline));
            let left = (text.valid_until - CUT_MARGIN).since(self.now);
            cut_short |= left < time_out;
            let time_out = time_out.min(left);
            text.submits += 1;
            text.out = Some(call);
            self.actions.push(Action::Submit {
                text: id,
                endpoint,
                time_out,
                send_deadline,
                shares_connection,
            });
        }
        let parts = self.holds[&dest].endpoints.len() as f64;
        let own_gap = self.cold_gap(lane_id, warm_from(&self.endpoints[&endpoint].health)) * parts;
        let at = self.endpoints.get_mut(&endpoint).expect("known");
        at.calls.insert(call);
        (at.last_used, at.health.next) = (self.now, at.health.next.max(self.now + own_gap));
        let lane = self.lanes.get_mut(&lane_id).expect("made above");
        lane.calls.insert(call);
        (lane.last_used, lane.health.next) = (self.now, lane.health.next.max(self.now + lane_gap));
        if lane.pace > 0.0 {
            lane.paced = lane.paced.max(self.now) + Span::from_millis(1000.0 / lane.pace);
        }
        self.dues.insert((self.now + lane.patience(), Due::Overdue(call)));
        let (sent, texts_out, texts, judged) = (self.now, chosen.len(), chosen, false);
        self.calls.insert(call, Call { endpoint, sent, texts_out, texts, judged, cut_short });
        true
    }

    /// Endpoints change for good. One that comes back under its id soon is still known for what it was.
    fn drop_unlisted(&mut self, id: EndpointId) {
        let Some(at) = self.endpoints.get(&id).filter(|at| !at.running) else { return };
        if at.calls.is_empty() && self.now >= at.last_used + QUIET_SPELL {
            self.lanes.remove(&(at.dest, Some(id)));
            self.endpoints.remove(&id);
        } else {
            self.dues.insert((self.now + QUIET_SPELL, Due::Unlisted(id)));
        }
    }

    fn drop_idle(&mut self, id: LaneId) {
        let (Some(lane), held) = (self.lanes.get(&id), self.holds[&id.0].held) else { return };
        let quiet_from = lane.last_used + QUIET_SPELL;
        if self.now >= quiet_from && self.now >= lane.wait_until && lane.calls.is_empty() && held == 0 {
            self.lanes.remove(&id);
        } else {
            self.dues.insert((quiet_from.max(lane.wait_until).max(self.now + BEAT), Due::Idle(id)));
        }
    }
}
