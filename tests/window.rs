//! A referenced text in doubt and the window in which its receiver drops repeats, walked over restarts and clocks that
//! jump: whatever comes, no submit may reach the receiver after the window of the first one that may have run.
//!
//! Days of restarts may set it to one second, which is less than the pauses, time-outs and stalls of an ordinary day.

use indigomast::api::*;
use indigomast::rng::Rng;
use indigomast::rules::{LearnedState, Rules};
use indigomast::time::{Moment, Span};
use std::collections::BTreeMap;

/// Over this a receiver has forgotten a text, whoever submitted it.
const WINDOWS: [i64; 4] = [500, 1_000, 2_000, 15_000];
/// What the carrier needs at the most between the last moment at which a call may leave and its last byte's coming.
const ON_THE_WAY: Span = Span::millis(100);
const LIVES: i64 = 6_000;
const TEXTS: usize = 40;

fn settings(window: i64, one_zone: bool, texts_per_call: usize) -> Settings {
    let repeat = Repeat::Referenced { memory: Span::millis(window), one_zone };
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

/// What the journal says of a text, which is all that outlasts a kill.
#[derive(Clone, Debug, Default)]
struct Noted {
    valid_until: Moment,
    submits: usize,
    /// Without an outcome that it never ran.
    in_doubt: Vec<(Moment, ZoneId)>,
    over: bool,
}

struct Life {
    rules: Rules,
    out: Vec<(TextId, usize, EndpointId, Moment)>,
    wake: Moment,
}

struct World {
    settings: Settings,
    window: Span,
    now: Moment,
    noted: BTreeMap<TextId, Noted>,
    life: Life,
    chance: Rng,
    /// Submits of texts in doubt, and those given up for it.
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
    fn new(settings: Settings, window: i64, seed: u64) -> World {
        let rules = Rules::new(settings.clone(), seed);
        let now = Moment::from_millis(1e9);
        let life = Life { rules, out: Vec::new(), wake: now };
        let (window, chance) = (Span::millis(window), Rng::new(seed));
        let noted = BTreeMap::new();
        let mut world = World { settings, window, now, noted, life, chance, repeats: 0, given_up: 0 };
        world.step(vec![list()]);
        world
    }

    fn step(&mut self, events: Vec<Event>) {
        for action in self.life.rules.step(self.now, events) {
            match action {
                Action::Submit { text, endpoint, time_out, send_deadline, .. } => {
                    let noted = self.noted.get_mut(&text).expect("handed in");
                    assert!(!noted.over, "{text:?} is submitted after its end");
                    if let Some((first, zone)) = noted.in_doubt.first() {
                        let forgotten = *first + self.window;
                        assert!(
                            self.now + ON_THE_WAY < forgotten,
                            "{text:?}: {:?} after its doubt",
                            self.now.since(*first)
                        );
                        assert!(send_deadline + ON_THE_WAY <= forgotten, "{text:?} may leave too late");
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
                    self.life.out.push((text, noted.submits, endpoint, self.now + time_out));
                    noted.submits += 1;
                    noted.in_doubt.push((self.now, ZoneId(endpoint.0)));
                }
                Action::Nack { text, .. } | Action::Undeliverable { text } => {
                    let noted = self.noted.get_mut(&text).expect("handed in");
                    assert!(!std::mem::replace(&mut noted.over, true), "{text:?} ends twice");
                    self.given_up += usize::from(!noted.in_doubt.is_empty());
                }
                Action::WakeAt(at) => self.life.wake = at,
                _ => {}
            }
        }
    }

    fn hand_in(&mut self, at: usize) {
        let valid_until = self.now + Span::millis(LIVES);
        self.noted.insert(TextId(at), Noted { valid_until, ..Noted::default() });
        let handed = self.handed(TextId(at));
        self.step(vec![Event::Accepted(handed)]);
    }

    fn handed(&self, text: TextId) -> AcceptedText {
        let valid_until = self.noted[&text].valid_until;
        AcceptedText { text, product: ProductId(0), dest: DestId(0), key: None, valid_until }
    }

    /// Ends the submit that has been out longest, or the one of this number.
    fn answer(&mut self, at: usize, verdict: Verdict) {
        let (text, submit, endpoint, _) = self.life.out.remove(at);
        let noted = self.noted.get_mut(&text).expect("handed in");
        if verdict.never_ran() {
            // As the journal has it: an earlier submit stays in doubt.
            noted.in_doubt.pop();
        }
        noted.over |= verdict == Verdict::Delivered;
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

    /// What a process hands over that leaves in order, which it does once no call is out.
    fn leaves(&self, hands_over: bool) -> Option<LearnedState> {
        (hands_over && self.life.out.is_empty()).then(|| self.life.rules.learned_state())
    }

    /// The process dies, and another one has started after `gone`; what was out may have run.
    fn restart(&mut self, gone: Span, learnt: Option<LearnedState>) {
        self.now += gone;
        let rules = match learnt {
            Some(learnt) => Rules::successor(self.settings.clone(), 7, learnt),
            None => Rules::new(self.settings.clone(), 7),
        };
        self.life = Life { rules, out: Vec::new(), wake: self.now };
        let mut events = vec![list()];
        for (text, noted) in self.noted.iter().filter(|(_, noted)| !noted.over) {
            let past =
                SubmitHistory { submits: noted.submits, first_in_doubt: noted.in_doubt.first().copied() };
            events.push(Event::Resumed(self.handed(*text), past));
        }
        self.step(events);
    }

    /// Lets time pass; a stall is one long step, as of a process that stood still.
    fn pass(&mut self, millis: i64, stall: bool) {
        let end = self.now + Span::millis(millis);
        while self.now < end {
            self.now = if stall { end } else { (self.now + Span::millis(5)).min(end) };
            while let Some(at) = self.life.out.iter().position(|(.., by)| *by <= self.now) {
                self.answer(at, Verdict::TimeOut);
            }
            if self.life.wake <= self.now {
                self.step(vec![Event::TimerFired]);
            }
        }
    }
}

/// Each verdict that leaves a doubt, or none, and a restart so long after the submit, with or without what the process
/// before had learnt, in windows from half a second on.
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
    for window in WINDOWS {
        for one_zone in [false, true] {
            for (verdict, hands_over) in
                verdicts.iter().flat_map(|verdict| [(verdict, false), (verdict, true)])
            {
                for after in [0, 1, 100, 345, 395, 405, 600, 695, 705, 995, 1_005, 1_700, 3_000] {
                    for gone in [0, 5, 300, 600, 1_200] {
                        let mut world = World::new(settings(window, one_zone, 1), window, 3);
                        world.hand_in(0);
                        world.pass(20, false);
                        verdict.iter().for_each(|verdict| world.answer(0, *verdict));
                        world.pass(after, false);
                        let learnt = world.leaves(hands_over);
                        world.restart(Span::millis(gone), learnt);
                        world.pass(LIVES + 500, false);
                        assert!(world.noted[&TextId(0)].over, "{window} {verdict:?} {after} {gone}: no end");
                        let seen = seen.entry(window).or_default();
                        *seen = (seen.0 + world.repeats, seen.1 + world.given_up);
                    }
                }
            }
        }
    }
    println!("by window, repeats and texts given up in doubt: {seen:?}");
    // The walk means something: where there is time for it a text in doubt does go again.
    assert!(seen[&1_000].0 > 100 && seen[&15_000].0 > seen[&1_000].0, "{seen:?}");
}

/// Drawn days: texts come, answers of all kinds, spells of standing still, kills at any step and hand-overs; calls of one
/// and of several texts.
#[test]
fn no_submit_outlives_the_window_on_drawn_days_of_restarts() {
    let (mut repeats, mut restarts) = (0, 0);
    for seed in 0..120 {
        let window = WINDOWS[seed as usize % WINDOWS.len()];
        let several = if seed % 3 == 0 { 4 } else { 1 };
        let mut world = World::new(settings(window, seed % 5 == 0, several), window, seed);
        let mut texts = 0;
        for _ in 0..400 {
            match (world.chance.next_f64() * 100.0) as u32 {
                0..20 if texts < TEXTS => {
                    world.hand_in(texts);
                    texts += 1;
                }
                0..55 if !world.life.out.is_empty() => {
                    let at = (world.chance.next_f64() * world.life.out.len() as f64) as usize;
                    let verdict = match (world.chance.next_f64() * 10.0) as u32 {
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
                    let hands_over = world.chance.next_f64() < 0.3;
                    let learnt = world.leaves(hands_over);
                    let gone = Span::from_millis(world.chance.next_f64() * 900.0);
                    world.restart(gone, learnt);
                    restarts += 1;
                }
                60..64 => {
                    let stall = (world.chance.next_f64() * 1_500.0) as i64 + 1;
                    world.pass(stall, true);
                }
                _ => {
                    let spell = (world.chance.next_f64() * 60.0) as i64 + 1;
                    world.pass(spell, false);
                }
            }
        }
        world.pass(LIVES + 1_000, false);
        assert!(world.noted.values().all(|noted| noted.over), "seed {seed}: not all have an end");
        repeats += world.repeats;
    }
    println!("{restarts} restarts, {repeats} repeats");
    assert!(repeats > 500 && restarts > 500, "{repeats} {restarts}");
}

/// A short window is no reason to give up early: a text that was lost is repeated within the second where its receiver
/// answers, and before fresh texts that never run out.
#[test]
fn within_a_second_a_lost_text_goes_again() {
    for (lost_after, repeated) in [(50, true), (200, true), (350, true), (650, false), (900, false)] {
        let mut settings = settings(1_000, false, 1);
        settings.products[0].sla_time = Span::millis(1_200);
        let mut world = World::new(settings, 1_000, 5);
        world.hand_in(0);
        world.pass(lost_after, false);
        let first = world.life.out.iter().position(|(text, ..)| *text == TextId(0)).expect("out");
        world.answer(first, Verdict::Reset);
        for at in 1..60 {
            world.hand_in(at);
            world.pass(30, false);
            while let Some(other) = world.life.out.iter().position(|(text, ..)| *text != TextId(0)) {
                world.answer(other, Verdict::Delivered);
            }
        }
        assert_eq!(world.noted[&TextId(0)].submits > 1, repeated, "lost after {lost_after} ms");
    }
}
