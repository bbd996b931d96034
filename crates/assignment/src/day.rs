//! A day of restarts on one world of any size: senders end and come back at all hours, some machines are gone for good and
//! replaced, and changes come all the while.
//!
//! [`crate::panel`] plays 300 s of it among its other cases. Over a day each sender's log position, bytes and connections grow
//! old between restarts, and machines that are replaced meet senders that are just away.

use crate::panel::{Moves, Panel, Report, secs};
use crate::rehearsal::{Account, Node, Plan, World};
use indigomast::rng::Rng;
use indigomast::time::Span;

#[derive(Clone, Debug)]
pub struct Day {
    pub length: Span,
    pub restarts: u32,
    /// Machines that are gone for good; nobody is told but the controller.
    pub lost: u32,
    /// Until another stands in its place, with its number and an empty disk.
    pub replaced_after: Span,
    pub changes_a_second: f64,
}

impl Day {
    /// What the fleet that is designed for has in a day, in proportion to the senders; changes as there, not in proportion, so
    /// that the controller and each relay hear of as many.
    pub fn of(plan: &Plan) -> Day {
        let part = f64::from(plan.senders) / 16_000.0;
        Day {
            length: Span::millis(86_400_000),
            restarts: (2300.0 * part).ceil() as u32,
            lost: plan.senders.div_ceil(600),
            replaced_after: Span::millis(600_000),
            changes_a_second: 0.76,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Turn {
    Ends,
    Starts,
    Lost,
    Replaced,
    /// What moved for a replaced machine has moved: what moves from here on is put down to restarts again.
    Settled,
}

/// What happens to whom after how many milliseconds, in order.
fn schedule(day: &Day, senders: u32, linger: Span, seed: u64) -> Vec<(f64, Turn, u32)> {
    let mut chance = Rng::new(seed ^ 0xda1);
    let (length, linger) = (day.length.as_millis(), linger.as_millis());
    let mut turns = Vec::new();
    let mut gone = Vec::new();
    for number in 0..day.lost {
        // Evenly over the day, so that the moves of one are told from those of the next.
        let at = (f64::from(number) + 0.5) / f64::from(day.lost) * length;
        let sender = (chance.next_f64() * f64::from(senders)) as u32;
        let replaced = at + day.replaced_after.as_millis();
        turns.extend([(at, Turn::Lost, sender), (replaced, Turn::Replaced, sender)]);
        turns.push((replaced + 4.0 * linger, Turn::Settled, sender));
        gone.push(sender);
    }
    let mut away: Vec<(f64, f64, u32)> = Vec::new();
    while away.len() < day.restarts as usize {
        let (at, sender) = (chance.next_f64() * length, (chance.next_f64() * f64::from(senders)) as u32);
        // Back within the time in which nothing moves for it, and before the day ends.
        let back = at + (0.05 + 0.6 * chance.next_f64()) * linger;
        let twice = away.iter().any(|(from, to, other)| *other == sender && at <= *to && *from <= back);
        if back < length && !gone.contains(&sender) && !twice {
            away.push((at, back, sender));
        }
    }
    for (at, back, sender) in away {
        turns.extend([(at, Turn::Ends, sender), (back, Turn::Starts, sender)]);
    }
    turns.sort_by(|a, b| a.0.total_cmp(&b.0));
    turns
}

/// What moved, by what it is put down to: what was shed since changes had made a load too great, and of the rest what moved
/// while a machine was missing, once it was replaced, and at any other time.
struct Tally {
    by: [Moves; 4],
    now: usize,
    /// Moves of all that have been put down, and those of them that were shed.
    counted: (u64, u64),
}

const RESTARTS: usize = 0;
const LOST: usize = 1;
const REPLACED: usize = 2;
const SHED: usize = 3;

fn moved(world: &World) -> (u64, u64) {
    (world.controller().moved, world.controller().placement().shed)
}

impl Tally {
    fn new(world: &World, day: &Day) -> Tally {
        let of = |what: &str, senders: u32| {
            let what = format!("a day of restarts: {what}");
            Moves { what, senders: senders as usize, ..Moves::default() }
        };
        let by = [
            of("restarts", day.restarts),
            of("machines gone for good", day.lost),
            of("machines replaced", day.lost),
            of("loads over the bound by changes", 0),
        ];
        Tally { by, now: RESTARTS, counted: moved(world) }
    }

    /// What moved since the last time is put down to what went on until now, what moves next to `next`.
    fn turns(&mut self, world: &World, next: usize) {
        let moved = moved(world);
        let (all, shed) = (moved.0 - self.counted.0, moved.1 - self.counted.1);
        self.by[SHED].moved += shed;
        self.by[self.now].moved += all - shed;
        (self.now, self.counted) = (next, moved);
    }

    /// Lets time pass; while a machine is missing or back it is looked at each second.
    fn passes(&mut self, world: &mut World, span: Span, changes: f64) {
        let end = world.now() + span;
        if self.now != RESTARTS {
            while end.since(world.now()) > secs(1.0) {
                world.run_with_changes(secs(1.0), changes);
                self.looks(world);
            }
        }
        world.run_with_changes(end.since(world.now()), changes);
    }

    fn looks(&mut self, world: &World) {
        let (imbalance, moves) = (world.controller().imbalance(), &mut self.by[self.now]);
        moves.without_owner = moves.without_owner.max(world.lacking().1);
        if imbalance.most_to_mean > moves.highest_load_to_mean {
            (moves.highest_load_to_mean, moves.bound_to_mean) =
                (imbalance.most_to_mean, imbalance.bound_to_mean);
        }
    }
}

fn plays(world: &mut World, day: &Day) -> [Moves; 4] {
    let mut tally = Tally::new(world, day);
    let (began, beyond) = (world.now(), world.controller().placement().beyond_bound);
    for (at, turn, sender) in schedule(day, world.plan.senders, world.plan.settings.linger, world.plan.seed) {
        let at = began + Span::from_millis(at);
        tally.passes(world, at.since(world.now()), day.changes_a_second);
        let node = Node::Sender(sender);
        match turn {
            Turn::Ends => {
                world.kill(node);
                world.awaits(sender);
                world.members(&[sender], false);
            }
            Turn::Starts => {
                world.start(node);
                world.members(&[sender], true);
            }
            Turn::Lost => {
                tally.turns(world, LOST);
                // So many are the least that must move; as many came back where its number came back.
                let shards = world.controller().placement().shards_of(sender);
                tally.by[LOST].least += shards;
                tally.by[REPLACED].least += shards;
                world.lose(node);
                world.lose_disk(node);
                world.members(&[sender], false);
            }
            Turn::Replaced => {
                tally.turns(world, REPLACED);
                world.start(node);
                world.members(&[sender], true);
            }
            Turn::Settled => tally.turns(world, RESTARTS),
        }
        tally.looks(world);
    }
    let end = began + day.length;
    tally.passes(world, end.since(world.now()), day.changes_a_second);
    tally.turns(world, RESTARTS);
    tally.by[RESTARTS].seconds = world.now().since(began).as_secs();
    tally.by[RESTARTS].beyond_bound = world.controller().placement().beyond_bound - beyond;
    tally.by
}

/// Plays a start of all and then the day. `memory` and `say` are as of [`crate::panel::play`].
pub fn play(plan: Plan, day: &Day, memory: fn() -> usize, say: &mut dyn FnMut(&Account)) -> Report {
    let mut panel = Panel::begin(plan, memory, say);
    panel.all_start(memory);
    let mut moves = None;
    panel.case("a day of restarts", |world| moves = Some(plays(world, day)));
    panel.report.moves.extend(moves.into_iter().flatten());
    panel.report
}
