//! The hard cases one after another on one world of any size, and what each came to.

use crate::catalog::Change;
use crate::rehearsal::{Account, Node, Plan, World, line_of};
use indigomast::time::Span;
use serde::Serialize;

/// What everybody would bear who is told everything, as a relay is: measured at the relays of the same run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Baseline {
    pub memory_bytes: usize,
    pub snapshot_bytes: u64,
    /// At what a sender may be sent.
    pub snapshot_s_at_a_senders_rate: f64,
    pub bytes_a_second_at_mean: f64,
    pub bytes_a_second_at_burst: f64,
    pub us_a_change: f64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Moves {
    pub what: String,
    pub senders: usize,
    /// Shards that the lost ones had: so many changes of owners are the least there can be.
    pub least: usize,
    pub moved: u64,
    pub seconds: f64,
    /// Of shards without any owner that runs, at the worst of each second.
    pub without_owner: usize,
    pub highest_load_to_mean: f64,
    pub bound_to_mean: f64,
    pub beyond_bound: u64,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    pub senders: u32,
    pub destinations: u32,
    pub relays: u32,
    pub shards: u32,
    pub seed: u64,
    pub cases: Vec<Account>,
    pub moves: Vec<Moves>,
    pub baseline: Baseline,
    pub first_load_controller_s: f64,
    pub sender_memory_mean: f64,
    pub sender_memory_most: usize,
    pub sender_destinations_mean: f64,
    pub sender_destinations_most: usize,
    pub relay_memory_mean: f64,
    pub relay_sessions_most: usize,
    pub controller_memory: usize,
    /// Of this process, before the senders began, and for each of them once they had their parts; 0 if not measured.
    pub process_bytes_before_senders: usize,
    pub process_bytes_a_sender: f64,
    /// Of a relay, for each change it took in.
    pub relay_us_a_change: f64,
    pub relay_us_a_change_idle_taken_off: f64,
    pub controller_us_a_change: f64,
    /// What must never be, and was.
    pub broken: Vec<String>,
}

pub(crate) fn secs(seconds: f64) -> Span {
    Span::from_millis(seconds * 1000.0)
}

pub(crate) struct Panel<'a> {
    world: World,
    pub(crate) report: Report,
    say: &'a mut dyn FnMut(&Account),
}

impl<'a> Panel<'a> {
    /// A world whose relays have everything and whose senders have not begun.
    pub(crate) fn begin(plan: Plan, memory: fn() -> usize, say: &'a mut dyn FnMut(&Account)) -> Panel<'a> {
        let clock = plan.clock.unwrap_or(|| Span::ZERO);
        let rate = plan.pace.rate;
        let began = clock();
        let mut world = World::new(plan.clone());
        let mut report = Report {
            senders: plan.senders,
            relays: plan.relays,
            destinations: plan.destinations,
            shards: plan.settings.shards,
            seed: plan.seed,
            first_load_controller_s: clock().as_secs() - began.as_secs(),
            ..Report::default()
        };
        // One relay takes the whole catalog over its line, the others begin with its copy.
        world.mark();
        world.start(Node::Relay(0));
        while !world.relay(0).is_filled() {
            world.run(Span::millis(100));
        }
        report.baseline.snapshot_bytes = world.relay_bytes();
        report.baseline.snapshot_s_at_a_senders_rate = world.relay_bytes() as f64 / rate;
        world.copy_relays();
        world.run(secs(5.0));
        report.process_bytes_before_senders = memory();
        Panel { world, report, say }
    }

    /// The first case, and what everybody holds after it.
    pub(crate) fn all_start(&mut self, memory: fn() -> usize) {
        self.case("all senders start at once with nothing", |world| {
            world.start_senders();
            world.run(secs(30.0));
        });
        let (world, report) = (&self.world, &mut self.report);
        let (senders, relays) = (report.senders, report.relays);
        let memories: Vec<usize> = (0..senders).map(|sender| world.sender(sender).memory()).collect();
        report.sender_memory_mean = memories.iter().sum::<usize>() as f64 / f64::from(senders);
        report.sender_memory_most = memories.into_iter().max().unwrap_or(0);
        let counts: Vec<usize> = (0..senders).map(|sender| world.sender(sender).part().len()).collect();
        report.sender_destinations_mean = counts.iter().sum::<usize>() as f64 / f64::from(senders);
        report.sender_destinations_most = counts.into_iter().max().unwrap_or(0);
        let copies: Vec<usize> = (0..relays).map(|relay| world.relay(relay).memory()).collect();
        report.relay_memory_mean = copies.iter().sum::<usize>() as f64 / f64::from(relays);
        report.relay_sessions_most =
            (0..relays).map(|relay| world.relay(relay).publisher().sessions()).max().unwrap_or(0);
        report.baseline.memory_bytes = world.relay(0).replica().memory();
        report.controller_memory = world.controller().memory();
        let now = memory();
        report.process_bytes_a_sender =
            now.saturating_sub(report.process_bytes_before_senders) as f64 / f64::from(senders);
    }

    /// Plays one case; at its end all senders that run have to have what they own, exactly.
    pub(crate) fn case(&mut self, name: &str, play: impl FnOnce(&mut World)) {
        self.world.mark();
        play(&mut self.world);
        self.world.run_until_in_force(secs(30.0));
        let account = self.world.account(name);
        // What came by moves, and not by changes that were waited for, is given its time as well.
        self.world.run_until_placed(secs(120.0));
        self.world.run(secs(15.0));
        self.world.check_all();
        let differences = self.world.differences();
        if let Some(first) = differences.first() {
            let broken = format!("{name}: {} differences, such as: {first}", differences.len());
            self.report.broken.push(broken);
        }
        for broken in std::mem::take(&mut self.world.broken) {
            self.report.broken.push(format!("{name}: {broken}"));
        }
        (self.say)(&account);
        self.report.cases.push(account);
    }

    fn gone_and_back(&mut self, what: &str, senders: &[u32], relays: &[u32]) {
        let mut moves = Moves { what: what.into(), senders: senders.len(), ..Moves::default() };
        moves.least = senders.iter().map(|s| self.world.controller().placement().shards_of(*s)).sum();
        let before = (self.world.controller().moved, self.world.controller().placement().beyond_bound);
        self.case(&format!("{what} lost"), |world| {
            senders.iter().for_each(|sender| world.lose(Node::Sender(*sender)));
            relays.iter().for_each(|relay| world.lose(Node::Relay(*relay)));
            world.members(senders, false);
            let began = world.now();
            let linger = world.plan.settings.linger;
            while (world.controller().placement().waiting() > 0 || world.now().since(began) <= linger)
                && world.now().since(began) < secs(600.0)
            {
                world.run_with_changes(secs(1.0), 0.76);
                let imbalance = world.controller().imbalance();
                if imbalance.most_to_mean > moves.highest_load_to_mean {
                    moves.highest_load_to_mean = imbalance.most_to_mean;
                    moves.bound_to_mean = imbalance.bound_to_mean;
                }
                moves.without_owner = moves.without_owner.max(world.lacking().1);
            }
            moves.seconds = world.now().since(began).as_secs();
        });
        let after = (self.world.controller().moved, self.world.controller().placement().beyond_bound);
        (moves.moved, moves.beyond_bound) = (after.0 - before.0, after.1 - before.1);
        self.report.moves.push(moves);
        self.case(&format!("{what} back"), |world| {
            relays.iter().for_each(|relay| world.start(Node::Relay(*relay)));
            senders.iter().for_each(|sender| world.start(Node::Sender(*sender)));
            world.members(senders, true);
            world.run_until_placed(secs(600.0));
        });
    }
}

/// Plays all. `memory` says how many bytes the process has, if that can be known; `say` hears of each case.
pub fn play(plan: Plan, memory: fn() -> usize, say: &mut dyn FnMut(&Account)) -> Report {
    let (senders, relays) = (plan.senders, plan.relays);
    let region = u32::from(plan.regions) - 1;
    let a_day = 2300.0 / 86_400.0 * f64::from(senders) / 16_000.0;
    let zone = plan.zones - 1;
    let mut panel = Panel::begin(plan, memory, say);
    panel.all_start(memory);

    panel.case("nothing happens", |world| world.run(secs(30.0)));
    let idle = panel.world.worked;
    let idle_s = panel.report.cases.last().map_or(1.0, |case| case.seconds);
    panel.case("0.76 changes a second", |world| world.run_with_changes(secs(120.0), 0.76));
    panel.case("76 changes a second", |world| world.run_with_changes(secs(60.0), 76.0));
    let (mean, burst) = (&panel.report.cases[2], &panel.report.cases[3]);
    panel.report.baseline.bytes_a_second_at_mean = mean.relay_down_bytes_a_second;
    panel.report.baseline.bytes_a_second_at_burst = burst.relay_down_bytes_a_second;
    let (work, changes) = (panel.world.worked, burst.changes.max(1) as f64);
    let relay = work[1].changing_time.as_millis() * 1000.0 / work[1].changing_steps.max(1) as f64;
    panel.report.relay_us_a_change = relay;
    panel.report.baseline.us_a_change = relay;
    let over_idle = |role: usize| {
        let idle = idle[role].time.as_secs() / idle_s * burst.seconds;
        (work[role].time.as_secs() - idle) * 1e6 / changes
    };
    panel.report.relay_us_a_change_idle_taken_off = over_idle(1) / f64::from(relays);
    panel.report.controller_us_a_change = over_idle(0);
    panel.case("one change that concerns everybody", |world| {
        world.change(Change::Common { body: "limits as of today".into() });
    });
    panel.case("a relay killed in the middle of snapshots", |world| {
        let served: Vec<u32> = (0..senders).filter(|sender| world.relay_of(*sender) == Some(1)).collect();
        for sender in &served {
            world.kill(Node::Sender(*sender));
            world.lose_disk(Node::Sender(*sender));
        }
        world.run(secs(1.0));
        served.iter().for_each(|sender| world.start(Node::Sender(*sender)));
        world.run(secs(2.5));
        world.kill(Node::Relay(1));
        world.run_with_changes(secs(30.0), 7.6);
        world.start(Node::Relay(1));
    });
    panel.case("all relays restarted, away for 5 s", |world| {
        (0..relays).for_each(|relay| world.kill(Node::Relay(relay)));
        world.run_with_changes(secs(5.0), 7.6);
        (0..relays).for_each(|relay| world.start(Node::Relay(relay)));
        world.reachable_from_now();
        world.run_with_changes(secs(20.0), 7.6);
    });
    panel.case("a region cut off for 300 s, 1,000 changes", |world| {
        world.cut(region as u16);
        world.run_with_changes(secs(300.0), 1000.0 / 300.0);
        world.heal(region as u16);
    });
    panel.case("restarts as on a day, for 300 s", |world| {
        let count = (a_day * 300.0).ceil() as u32;
        for at in 0..count {
            let sender = (at * 997 + 13) % senders;
            world.kill(Node::Sender(sender));
            world.members(&[sender], false);
            world.run_with_changes(secs(300.0 / f64::from(count) / 2.0), 0.76);
            world.start(Node::Sender(sender));
            world.members(&[sender], true);
            world.run_with_changes(secs(300.0 / f64::from(count) / 2.0), 0.76);
        }
    });
    panel.case("a tenth restarted in a minute", |world| {
        let count = senders / 10;
        for at in 0..count {
            let sender = (at * 10 + 3) % senders;
            world.kill(Node::Sender(sender));
            world.run_with_changes(secs(30.0 / f64::from(count)), 0.76);
            world.start(Node::Sender(sender));
            world.run_with_changes(secs(30.0 / f64::from(count)), 0.76);
        }
    });
    let some: Vec<u32> = (0..senders.min(100)).map(|at| (at * 157 + 5) % senders).collect();
    panel.case("a hundred senders stopped for 30 s", |world| {
        some.iter().for_each(|sender| world.stop(Node::Sender(*sender), secs(30.0)));
        world.run_with_changes(secs(40.0), 7.6);
    });
    panel.case("a hundred back with revisions older than the log", |world| {
        for sender in &some {
            world.kill(Node::Sender(*sender));
            world.age(*sender);
        }
        world.run_with_changes(secs(2.0), 7.6);
        some.iter().for_each(|sender| world.start(Node::Sender(*sender)));
        world.run_with_changes(secs(20.0), 7.6);
    });
    let rack = panel.world.senders_of_rack(1);
    panel.gone_and_back("one sender", &[7 % senders], &[]);
    panel.gone_and_back("a rack", &rack, &[]);
    let in_zone = panel.world.senders_of_zone(zone);
    let place = |relay: &u32| panel.world.place(Node::Relay(*relay)).zone == zone;
    let relays_in_zone: Vec<u32> = (0..relays).filter(place).collect();
    panel.gone_and_back("a zone", &in_zone, &relays_in_zone);
    panel.case("changes while a rack's shards move", |world| {
        let rack = world.senders_of_rack(0);
        rack.iter().for_each(|sender| world.lose(Node::Sender(*sender)));
        world.members(&rack, false);
        let linger = world.plan.settings.linger;
        world.run(linger + secs(1.0));
        for step in 0..40 {
            for fresh in [step * 3, step * 3 + 1] {
                world.change(line_of(fresh, 1_000_000_000 + u64::from(step), 0));
                world.change(Change::Remove { destination: fresh });
                world.change(line_of(fresh, 1_000_000_000 + u64::from(step), 0));
            }
            world.run(Span::millis(50));
        }
        rack.iter().for_each(|sender| world.start(Node::Sender(*sender)));
        world.members(&rack, true);
        world.run_with_changes(secs(10.0), 76.0);
    });
    panel.case("two controllers for 30 s, then one", |world| {
        world.cut(0);
        world.run(secs(5.0));
        world.elect(1, 2);
        for round in 0..30 {
            world.change_at(0, line_of(round * 7, 1_000_000 + u64::from(round), 0));
            world.change(line_of(round * 7 + 3, 2_000_000 + u64::from(round), 0));
            world.run(secs(1.0));
        }
        world.heal(0);
        world.run(secs(40.0));
    });
    if panel.world.old_controller().deposed() != Some(2) {
        panel.report.broken.push("the old controller goes on".into());
    }
    panel.report
}
