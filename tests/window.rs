//! Tests the deduplication window of a receiver, for a referenced text in doubt, over restarts and long
//! stalls: no submit may reach the receiver after the window that starts with the first submit that may have
//! run.
//!
//! A window may be as short as one second, which is less than ordinary pauses, time-outs and stalls.

use indigomast::api::*;
use indigomast::rng::Rng;
use indigomast::rules::{LearnedState, Rules};
use indigomast::time::{Moment, Span};
use std::collections::BTreeMap;

/// Deduplication windows in milliseconds, after which a receiver has forgotten a text, whoever submitted it.
const DEDUP_WINDOWS_MS: [i64; 4] = [500, 1_000, 2_000, 15_000];
/// Maximum time the carrier needs from the send deadline of a call until its last byte has arrived.
const MAX_TRANSMIT_TIME: Span = Span::millis(100);
const VALIDITY_MS: i64 = 6_000;
const MAX_TEXTS: usize = 40;

fn settings(dedup_window: i64, one_zone: bool, texts_per_call: usize) -> Settings {
    let repeat = Repeat::Referenced { memory: Span::millis(dedup_window), one_zone };
    Settings {
        ordinal: 0,
        senders: 1,
        slots: 8,
        max_held: 200,
        products: vec![Product { sla_time: Span::millis(400), repeat, in_order: false, max_submits: 12 }],
        kinds: vec![Kind { routes_apart: false, texts_per_call }],
        longest_advice: Some(Span::millis(1_000)),
        may_revoke: true,
        tick: Span::millis(5),
        keeps_alive: Span::millis(10_000),
        cold_share: 1.0,
        cold_span: Span::millis(1_000),
        tip_multiple: 10.0,
        rest_after_doubt: Span::millis(100),
        ..Settings::default()
    }
}

/// What the journal contains of a text, which is all that survives a kill.
#[derive(Clone, Debug, Default)]
struct JournaledText {
    valid_until: Moment,
    submits: usize,
    /// Submits without an outcome that proves that they never ran.
    in_doubt: Vec<(Moment, ZoneId)>,
    finished: bool,
}

struct Process {
    rules: Rules,
    in_flight: Vec<(TextId, usize, EndpointId, Moment)>,
    wake_at: Moment,
}

struct World {
    settings: Settings,
    dedup_window: Span,
    now: Moment,
    journaled: BTreeMap<TextId, JournaledText>,
    process: Process,
    rng: Rng,
    /// Number of submits of texts in doubt, and of texts given up while in doubt.
    repeats: usize,
    given_up: usize,
}

fn list() -> Event {
    let entry = |n: usize| Entry {
        endpoint: EndpointId(n),
        dest: DestId(0),
        kind: KindId(0),
        zone: ZoneId(n),
        units: 1.0,
        condition: Condition::Running,
    };
    Event::ListReceived { scope: Scope::Persisted, entries: vec![entry(0), entry(1)] }
}

impl World {
    fn new(settings: Settings, dedup_window: i64, seed: u64) -> World {
        let rules = Rules::new(settings.clone(), seed);
        let now = Moment::from_millis(1e9);
        let process = Process { rules, in_flight: Vec::new(), wake_at: now };
        let (dedup_window, rng) = (Span::millis(dedup_window), Rng::new(seed));
        let journaled = BTreeMap::new();
        let mut world =
            World { settings, dedup_window, now, journaled, process, rng, repeats: 0, given_up: 0 };
        world.step(vec![list()]);
        world
    }

    fn step(&mut self, events: Vec<Event>) {
        for action in self.process.rules.step(self.now, events) {
            match action {
                Action::Submit { text, endpoint, time_out, send_deadline, .. } => {
                    let journaled = self.journaled.get_mut(&text).expect("handed in");
                    assert!(!journaled.finished, "{text:?} is submitted after its end");
                    if let Some((first, zone)) = journaled.in_doubt.first() {
                        let forgotten = *first + self.dedup_window;
                        assert!(
                            self.now + MAX_TRANSMIT_TIME < forgotten,
                            "{text:?}: {:?} after its doubt",
                            self.now.since(*first)
                        );
                        assert!(
                            send_deadline + MAX_TRANSMIT_TIME <= forgotten,
                            "{text:?} may leave too late"
                        );
                        let one_zone = matches!(
                            self.settings.products[0].repeat,
                            Repeat::Referenced { one_zone: true, .. }
                        );
                        assert!(
                            !one_zone || *zone == ZoneId(endpoint.0),
                            "{text:?} in a zone that knows nothing of it"
                        );
                        self.repeats += 1;
                    }
                    self.process.in_flight.push((text, journaled.submits, endpoint, self.now + time_out));
                    journaled.submits += 1;
                    journaled.in_doubt.push((self.now, ZoneId(endpoint.0)));
                }
                Action::Nack { text, .. } | Action::Undeliverable { text } => {
                    let journaled = self.journaled.get_mut(&text).expect("handed in");
                    assert!(!std::mem::replace(&mut journaled.finished, true), "{text:?} ends twice");
                    self.given_up += usize::from(!journaled.in_doubt.is_empty());
                }
                Action::WakeAt(at) => self.process.wake_at = at,
                _ => {}
            }
        }
    }

    fn hand_in(&mut self, at: usize) {
        let valid_until = self.now + Span::millis(VALIDITY_MS);
        self.journaled.insert(TextId(at), JournaledText { valid_until, ..JournaledText::default() });
        let handed = self.handed(TextId(at));
        self.step(vec![Event::Accepted(handed)]);
    }

    fn handed(&self, text: TextId) -> AcceptedText {
        let valid_until = self.journaled[&text].valid_until;
        AcceptedText { text, product: ProductId(0), dest: DestId(0), key: None, valid_until }
    }

    /// Ends the submit at index `at` of those in flight.
    fn answer(&mut self, at: usize, verdict: Verdict) {
        let (text, submit, endpoint, _) = self.process.in_flight.remove(at);
        let journaled = self.journaled.get_mut(&text).expect("handed in");
        if verdict.never_ran() {
            // As in the journal, earlier submits stay in doubt.
            journaled.in_doubt.pop();
        }
        journaled.finished |= verdict == Verdict::Delivered;
        let ended = verdict == Verdict::Delivered;
        let latency = Span::millis(20);
        let (retry_after, allowance) = (None, None);
        let outcome = Outcome {
            text,
            submit,
            endpoint,
            verdict,
            in_doubt: false,
            retry_after,
            latency,
            ended,
            allowance,
        };
        self.step(vec![Event::Outcome(outcome)]);
    }

    /// The state that a process hands over on an orderly exit, which happens only when no call is in flight.
    fn handed_over_state(&self, hands_over: bool) -> Option<LearnedState> {
        (hands_over && self.process.in_flight.is_empty()).then(|| self.process.rules.learned_state())
    }

    /// Kills the process and starts another after `downtime`; calls in flight may have run.
    fn restart(&mut self, downtime: Span, learned_state: Option<LearnedState>) {
        self.now += downtime;
        let rules = match learned_state {
            Some(learned_state) => Rules::successor(self.settings.clone(), 7, learned_state),
            None => Rules::new(self.settings.clone(), 7),
        };
        self.process = Process { rules, in_flight: Vec::new(), wake_at: self.now };
        let mut events = vec![list()];
        for (text, journaled) in self.journaled.iter().filter(|(_, journaled)| !journaled.finished) {
            let past = SubmitHistory {
                submits: journaled.submits,
                first_in_doubt: journaled.in_doubt.first().copied(),
            };
            events.push(Event::Resumed(self.handed(*text), past));
        }
        self.step(events);
    }

    /// Advances the clock; a stall is one long step, as of a suspended process.
    fn advance(&mut self, millis: i64, stall: bool) {
        let end = self.now + Span::millis(millis);
        while self.now < end {
            self.now = if stall { end } else { (self.now + Span::millis(5)).min(end) };
            while let Some(at) = self.process.in_flight.iter().position(|(.., by)| *by <= self.now) {
                self.answer(at, Verdict::TimeOut);
            }
            if self.process.wake_at <= self.now {
                self.step(vec![Event::TimerFired]);
            }
        }
    }
}

/// Tries each verdict, with doubt or without, and a restart at various times after the submit, with and
/// without the state learned by the previous process, for windows from half a second up.
#[test]
fn a_doubt_over_a_restart_binds_until_the_window_is_over() {
    let verdicts = [
        None,
        Some(Verdict::TimeOut),
        Some(Verdict::Reset),
        Some(Verdict::Error),
        Some(Verdict::Cancelled),
        Some(Verdict::Full),
        Some(Verdict::ConnectFailed),
        Some(Verdict::Moot),
    ];
    let mut seen = BTreeMap::<i64, (usize, usize)>::new();
    for dedup_window in DEDUP_WINDOWS_MS {
        for one_zone in [false, true] {
            for (verdict, hands_over) in
                verdicts.iter().flat_map(|verdict| [(verdict, false), (verdict, true)])
            {
                for after in [0, 1, 100, 345, 395, 405, 600, 695, 705, 995, 1_005, 1_700, 3_000] {
                    for downtime in [0, 5, 300, 600, 1_200] {
                        let mut world = World::new(settings(dedup_window, one_zone, 1), dedup_window, 3);
                        world.hand_in(0);
                        world.advance(20, false);
                        verdict.iter().for_each(|verdict| world.answer(0, *verdict));
                        world.advance(after, false);
                        let learned_state = world.handed_over_state(hands_over);
                        world.restart(Span::millis(downtime), learned_state);
                        world.advance(VALIDITY_MS + 500, false);
                        assert!(
                            world.journaled[&TextId(0)].finished,
                            "{dedup_window} {verdict:?} {after} {downtime}: no end"
                        );
                        let seen = seen.entry(dedup_window).or_default();
                        *seen = (seen.0 + world.repeats, seen.1 + world.given_up);
                    }
                }
            }
        }
    }
    println!("by window, repeats and texts given up in doubt: {seen:?}");
    // Checks that the test is not vacuous: where there is time for it, a text in doubt is repeated.
    assert!(seen[&1_000].0 > 100 && seen[&15_000].0 > seen[&1_000].0, "{seen:?}");
}

/// Runs random sequences of new texts, answers of all kinds, stalls, kills at any step and hand-overs, with
/// calls of one and of several texts.
#[test]
fn no_submit_outlives_the_window_on_drawn_days_of_restarts() {
    let (mut repeats, mut restarts) = (0, 0);
    for seed in 0..120 {
        let dedup_window = DEDUP_WINDOWS_MS[seed as usize % DEDUP_WINDOWS_MS.len()];
        let several = if seed % 3 == 0 { 4 } else { 1 };
        let mut world = World::new(settings(dedup_window, seed % 5 == 0, several), dedup_window, seed);
        let mut texts = 0;
        for _ in 0..400 {
            match (world.rng.next_f64() * 100.0) as u32 {
                0..20 if texts < MAX_TEXTS => {
                    world.hand_in(texts);
                    texts += 1;
                }
                0..55 if !world.process.in_flight.is_empty() => {
                    let at = (world.rng.next_f64() * world.process.in_flight.len() as f64) as usize;
                    let verdict = match (world.rng.next_f64() * 10.0) as u32 {
                        0 => Verdict::Delivered,
                        1..4 => Verdict::Reset,
                        4..6 => Verdict::Error,
                        6 => Verdict::ConnectFailed,
                        7 => Verdict::Moot,
                        _ => Verdict::Full,
                    };
                    world.answer(at, verdict);
                }
                55..60 => {
                    let hands_over = world.rng.next_f64() < 0.3;
                    let learned_state = world.handed_over_state(hands_over);
                    let downtime = Span::from_millis(world.rng.next_f64() * 900.0);
                    world.restart(downtime, learned_state);
                    restarts += 1;
                }
                60..64 => {
                    let stall = (world.rng.next_f64() * 1_500.0) as i64 + 1;
                    world.advance(stall, true);
                }
                _ => {
                    let pause = (world.rng.next_f64() * 60.0) as i64 + 1;
                    world.advance(pause, false);
                }
            }
        }
        world.advance(VALIDITY_MS + 1_000, false);
        assert!(
            world.journaled.values().all(|journaled| journaled.finished),
            "seed {seed}: not all have an end"
        );
        repeats += world.repeats;
    }
    println!("{restarts} restarts, {repeats} repeats");
    assert!(repeats > 500 && restarts > 500, "{repeats} {restarts}");
}

/// A short window must not make the sender give up early: a lost text is repeated within the second if its
/// receiver answers, even while there are always fresh texts.
#[test]
fn within_a_second_a_lost_text_goes_again() {
    for (lost_after, repeated) in [(50, true), (200, true), (350, true), (650, false), (900, false)] {
        let mut settings = settings(1_000, false, 1);
        settings.products[0].sla_time = Span::millis(1_200);
        let mut world = World::new(settings, 1_000, 5);
        world.hand_in(0);
        world.advance(lost_after, false);
        let first =
            world.process.in_flight.iter().position(|(text, ..)| *text == TextId(0)).expect("in flight");
        world.answer(first, Verdict::Reset);
        for at in 1..60 {
            world.hand_in(at);
            world.advance(30, false);
            while let Some(other) = world.process.in_flight.iter().position(|(text, ..)| *text != TextId(0)) {
                world.answer(other, Verdict::Delivered);
            }
        }
        assert_eq!(world.journaled[&TextId(0)].submits > 1, repeated, "lost after {lost_after} ms");
    }
}
