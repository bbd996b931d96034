//! What a fleet comes to at one point: the questions of all at discovery, and the calls of all at one destination that is
//! down and comes back cold.

use crate::hollow::{UNITS, info};
use crate::meter::Meter;
use crate::target;
use crate::{About, Reading, Role};
use indigomast::api::*;
use indigomast::rng::Rng;
use indigomast::rules::Rules;
use indigomast::time::{Moment, Span};
use indigomast_sender::poll_schedule::{PollSchedule, Reply};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const TERM: Duration = Duration::from_secs(10);
const DAY: Span = Span::millis(86_400_000);
/// All look at the destination this often, which is the beat of the decisions' own timer.
const STEP: Span = Span::millis(20);
/// It is down for so long, and is looked at for so long once it is back, in steps.
const DOWN: usize = 40 * 50;
const BACK: usize = 300 * 50;
/// Calls are counted while it is down from here on: all have found out by then.
const KNOWN: usize = 20 * 50;
/// An outage that texts come into as they come to an average destination.
const LONG: usize = 300 * 50;
const A_DESTINATION: f64 = target::EVENTS_A_SECOND / target::DESTINATIONS;

pub struct Senders;

impl Role for Senders {
    fn about(&self) -> About {
        About::over_senders(
            "senders",
            &[
                "one destination that takes 200 calls a second; cold it takes 64 (tip-multiple 1.6 of a share of 0.2)",
                "full: every sender has a text for it, which came to it in the first 20 s, or to all in one moment; it refuses \
             connections for 40 s, and is looked at for 300 s after",
                "started anew: all senders, or each tenth, begin in one moment, with a text for it each that an earlier life had \
             not tried",
                "average: 1.73 texts a second come to it, each to a sender by chance, in an outage of 300 s",
                "what is answered comes 20 ms later; discovery answers at once; all senders start in one moment",
            ],
        )
    }

    fn needs(&self, size: f64) -> f64 {
        size * 30_000.0
    }

    fn measure(&self, size: f64, seed: u64, meter: &Meter) -> Result<Vec<Reading>, String> {
        let size = size as usize;
        let (asked, asked_most) = questions(size, false, Reply::Listed);
        let (_, renewed_most) = questions(size, true, Reply::Listed);
        let (_, broken_most) = questions(size, false, Reply::Broken);
        let mark = meter.mark();
        let fleet = Fleet::new(size, ListedRate::Exact, seed);
        let bytes = meter.bytes_since(mark);
        drop(fleet);
        let listed = full(size, ListedRate::Exact, true, seed);
        let at_once = full(size, ListedRate::Exact, false, seed);
        let unknown = full(size, ListedRate::Silent, true, seed);
        let started = |one_in, listed_rate| started(size, one_in, listed_rate, seed);
        let average = average(size, seed);
        Ok(vec![
            Reading::count("questions a second", asked),
            Reading::count("questions in the busiest second", asked_most),
            Reading::count("the same after all are told anew", renewed_most),
            Reading::count("the same while all questions break off", broken_most),
            Reading::count("full, rate listed: calls a second while down", listed.down),
            Reading::count("full, rate listed: most in a second once back", listed.most),
            Reading::count("full, rate listed: seconds to the first call", listed.first),
            Reading::count("full, rate listed: part delivered in 300 s", listed.part),
            Reading::count("full at once, rate listed: most in a second once back", at_once.most),
            Reading::count("full, rate unknown: calls a second while down", unknown.down),
            Reading::count("full, rate unknown: most in a second once back", unknown.most),
            Reading::count("full, rate unknown: part delivered in 300 s", unknown.part),
            Reading::count("started anew, rate listed: most in a second", started(1, ListedRate::Exact)),
            Reading::count(
                "a tenth started anew, rate listed: most in a second",
                started(10, ListedRate::Exact),
            ),
            Reading::count("started anew, rate unknown: most in a second", started(1, ListedRate::Silent)),
            Reading::count("average: senders that had a text for it", average.had),
            Reading::count("average: senders that know it is down", average.know),
            Reading::count("average: calls a second", average.calls),
            Reading::heap("bytes of all", bytes),
        ])
    }
}

/// Questions that a fleet asks, a second and in the busiest second of a minute.
fn questions(senders: usize, renewed: bool, reply: Reply) -> (f64, f64) {
    let start = Instant::now();
    let mut asked: Vec<u32> = Vec::new();
    for number in 0..senders {
        let (mut turns, mut now) = (PollSchedule::new(start, number, senders, TERM), start);
        let end = start + Duration::from_secs(60);
        if renewed {
            turns.record_query(now);
            turns.restart_soon(now, TERM);
        }
        while now < end {
            now += turns.wait(now);
            asked.push((now - start).as_millis() as u32);
            turns.record_query(now);
            // A question that is watched is held until something changes: one a second here.
            now += Duration::from_millis(if turns.watches() { 1000 } else { 1 });
            turns.record_reply(now, reply);
        }
    }
    asked.sort_unstable();
    let (mut first, mut most) = (0, 0);
    for at in 0..asked.len() {
        while asked[at] - asked[first] >= 1000 {
            first += 1;
        }
        most = most.max(at + 1 - first);
    }
    (asked.len() as f64 / 60.0, most as f64)
}

/// Senders with one destination in common.
struct Fleet {
    senders: Vec<Rules>,
    now: Moment,
    /// Texts at hand of each, so that those without any can be left alone.
    held: Vec<usize>,
    /// Outcomes that come with the next step.
    coming: Vec<Vec<Event>>,
    numbers: Vec<BTreeMap<TextId, usize>>,
    next: usize,
}

impl Fleet {
    fn new(size: usize, listed_rate: ListedRate, seed: u64) -> Fleet {
        let now = Moment::from_millis(0.0);
        let settings = Settings { listed_rate, ..info(size, 0).decode() };
        let sender = |ordinal: usize| {
            let own = Settings { ordinal, ..settings.clone() };
            let mut rules = Rules::new(own, seed.wrapping_mul(1_000_003).wrapping_add(ordinal as u64));
            let entry = Entry {
                endpoint: EndpointId(0),
                dest: DestId(0),
                kind: KindId(0),
                zone: ZoneId(0),
                units: UNITS,
                condition: Condition::Running,
            };
            rules.step(now, vec![Event::ListReceived { scope: Scope::Complete, entries: vec![entry] }]);
            rules
        };
        Fleet {
            senders: (0..size).map(sender).collect(),
            now,
            held: vec![0; size],
            coming: vec![Vec::new(); size],
            numbers: vec![BTreeMap::new(); size],
            next: 0,
        }
    }

    fn text(&mut self, sender: usize) {
        let handed = self.handed(sender);
        self.coming[sender].push(Event::Accepted(handed));
    }

    fn handed(&mut self, sender: usize) -> AcceptedText {
        self.next += 1;
        self.held[sender] += 1;
        AcceptedText {
            text: TextId(self.next),
            product: ProductId(0),
            dest: DestId(0),
            key: None,
            valid_until: self.now + DAY,
        }
    }

    /// All with texts take a step; the calls that went out, and the texts delivered by what came with this step.
    fn step(&mut self, up: bool) -> (usize, usize) {
        self.now += STEP;
        let (mut calls, mut delivered) = (0, 0);
        for sender in 0..self.senders.len() {
            if self.held[sender] == 0 && self.coming[sender].is_empty() {
                continue;
            }
            let mut events = std::mem::take(&mut self.coming[sender]);
            let ended =
                |event: &&Event| matches!(event, Event::Outcome(o) if o.verdict == Verdict::Delivered);
            let ended = events.iter().filter(ended).count();
            delivered += ended;
            self.held[sender] -= ended;
            events.push(Event::TimerFired);
            for action in self.senders[sender].step(self.now, events) {
                match action {
                    Action::Submit { text, endpoint, .. } => {
                        calls += 1;
                        let number = self.numbers[sender].entry(text).or_insert(0);
                        *number += 1;
                        let verdict = if up { Verdict::Delivered } else { Verdict::ConnectFailed };
                        let submit = crate::hollow::Submit { text, submit: *number - 1, endpoint };
                        self.coming[sender].push(crate::hollow::outcome(submit, verdict, STEP));
                    }
                    // Its client hands it in again.
                    Action::Nack { text, .. } | Action::Undeliverable { text } => {
                        self.held[sender] -= 1;
                        self.numbers[sender].remove(&text);
                        self.coming[sender].push(Event::EndReported(text));
                        self.text(sender);
                    }
                    _ => {}
                }
            }
        }
        (calls, delivered)
    }
}

struct Full {
    down: f64,
    most: f64,
    first: f64,
    part: f64,
}

/// Every sender has a text for what is down, which came by and by or to all in one moment.
fn full(size: usize, listed_rate: ListedRate, spread: bool, seed: u64) -> Full {
    let mut fleet = Fleet::new(size, listed_rate, seed);
    let mut chance = Rng::new(seed);
    let mut comes: Vec<(usize, usize)> = (0..size)
        .map(|sender| (if spread { (chance.next_f64() * KNOWN as f64) as usize } else { 0 }, sender))
        .collect();
    comes.sort_unstable();
    let mut comes = comes.into_iter().peekable();
    let mut calls = Vec::with_capacity(DOWN);
    for step in 0..DOWN {
        while let Some((_, sender)) = comes.next_if(|(at, _)| *at <= step) {
            fleet.text(sender);
        }
        calls.push(fleet.step(false).0);
    }
    let down = calls[KNOWN..].iter().sum::<usize>() as f64 / ((DOWN - KNOWN) as f64 * STEP.as_secs());
    let (mut delivered, mut back) = (0, Vec::with_capacity(BACK));
    for _ in 0..BACK {
        let (calls, ended) = fleet.step(true);
        back.push(calls);
        delivered += ended;
        if delivered >= size {
            break;
        }
    }
    let first = back.iter().position(|calls| *calls > 0).map_or(BACK as f64, |at| at as f64) * STEP.as_secs();
    Full { down, most: most_in_a_second(&back), first, part: delivered as f64 / size as f64 }
}

fn most_in_a_second(calls: &[usize]) -> f64 {
    let from = |from: usize| calls[from..calls.len().min(from + 50)].iter().sum::<usize>();
    (0..calls.len()).map(from).max().unwrap_or(0) as f64
}

/// One in so many senders begins, with a text that it finds from before; the destination takes calls.
fn started(size: usize, one_in: usize, listed_rate: ListedRate, seed: u64) -> f64 {
    let mut fleet = Fleet::new(size, listed_rate, seed);
    let mut left = 0;
    for sender in (0..size).step_by(one_in) {
        let handed = fleet.handed(sender);
        fleet.coming[sender].push(Event::Resumed(handed, SubmitHistory::default()));
        left += 1;
    }
    let mut calls = Vec::new();
    while left > 0 && calls.len() < BACK {
        let (called, delivered) = fleet.step(true);
        calls.push(called);
        left -= delivered;
    }
    most_in_a_second(&calls)
}

struct Average {
    had: f64,
    know: f64,
    calls: f64,
}

/// Texts come to an average destination of the fleet, which is down.
fn average(size: usize, seed: u64) -> Average {
    let mut fleet = Fleet::new(size, ListedRate::Exact, seed);
    let (mut chance, mut due, mut calls) = (Rng::new(seed), 0.0, 0);
    let mut had = vec![false; size];
    for step in 0..LONG {
        while due <= step as f64 * STEP.as_secs() {
            let sender = (chance.next_f64() * size as f64) as usize;
            had[sender] = true;
            fleet.text(sender);
            due += -(1.0 - chance.next_f64()).ln() / A_DESTINATION;
        }
        calls += fleet.step(false).0;
    }
    let know = fleet.senders.iter().filter(|sender| sender.avoids(EndpointId(0))).count();
    let had = had.into_iter().filter(|had| *had).count();
    Average { had: had as f64, know: know as f64, calls: calls as f64 / (LONG as f64 * STEP.as_secs()) }
}
