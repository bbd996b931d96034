//! Steering and agents walked through every order of what can happen between them.
//!
//! Three senders in two stages, one of which may be away. Questions, answers and orders are lost, late and doubled; agents
//! and controllers die at any point, also between an entry of the record and what comes after it; carrying out fails; a
//! second controller is started beside the first from a copy of its record. Time is abstract: a controller may hold any
//! sender for silent at any moment, and an order for lapsed as soon as it can't be obeyed any more.

use indigomast::time::Moment;
use indigomast_rollout::agent::{Act, Agent, Ask, Order, Status, Which};
use indigomast_rollout::plan::{AfterHalt, Unclear};
use indigomast_rollout::steering::{Action, Bounds, Entry, Event, Phase, Steering, Verdict};
use std::collections::hash_map::DefaultHasher;
use std::collections::{HashSet, VecDeque};
use std::hash::{Hash, Hasher};

const STAGES: [usize; 3] = [0, 1, 1];
const ALL: [usize; 3] = [0, 1, 2];

fn now() -> Moment {
    Moment::from_millis(0.0)
}

#[derive(Clone, Debug)]
struct Machine {
    agent: Agent,
    running: Option<Which>,
}

#[derive(Clone, Debug)]
struct Controller {
    steering: Steering,
    record: Vec<Entry>,
    replies: [Option<(Status, u64)>; 3],
    orders: [Option<Order>; 3],
    dead: bool,
}

/// What may still go wrong.
#[derive(Clone, Copy, Debug)]
struct Budget {
    doubled: u8,
    lost: u8,
    controllers: u8,
    agents: u8,
    failures: u8,
    silent: u8,
    forks: u8,
}

#[derive(Clone, Debug)]
struct World {
    machines: [Machine; 3],
    controllers: Vec<Controller>,
    budget: Budget,
    /// Whether judgement may find new worse, and whether it may be told to go on by hand.
    bad: bool,
}

fn bounds() -> Bounds {
    Bounds { away: 1, after_halt: AfterHalt::Back, unclear: Unclear::Halt }
}

impl Controller {
    fn new(record: Vec<Entry>) -> Controller {
        let (steering, actions) = Steering::begin(bounds(), &STAGES, &record);
        let mut controller =
            Controller { steering, record, replies: [None; 3], orders: [None; 3], dead: false };
        controller.write(actions, usize::MAX);
        controller
    }

    /// Writes down what has to be; whether it died before `most` entries were there.
    fn write(&mut self, actions: Vec<Action>, most: usize) -> bool {
        let entries = actions.into_iter().filter_map(|action| match action {
            Action::Record(entry) => Some(entry),
            _ => None,
        });
        let entries: Vec<Entry> = entries.collect();
        let cut = entries.len() > most;
        self.record.extend(entries.into_iter().take(most));
        cut
    }
}

impl World {
    fn new(budget: Budget, bad: bool) -> World {
        let (agent, _) = Agent::new(Default::default(), None);
        let mut machine = Machine { agent, running: Some(Which::Old) };
        machine.agent.sees(machine.running, true);
        let controllers = vec![Controller::new(Vec::new())];
        World { machines: [machine.clone(), machine.clone(), machine], controllers, budget, bad }
    }

    fn key(&self) -> u128 {
        let text = format!("{self:?}");
        let half = |salt: u8| {
            let mut hasher = DefaultHasher::new();
            (salt, &text).hash(&mut hasher);
            u128::from(hasher.finish())
        };
        half(1) << 64 | half(2)
    }

    /// One that no message under way bears.
    fn challenge(&self, m: usize) -> u64 {
        let used = |n: u64| {
            self.controllers.iter().any(|c| {
                c.replies[m].is_some_and(|(_, of)| of == n) || c.orders[m].is_some_and(|of| of.challenge == n)
            })
        };
        (1..).find(|n| !used(*n)).expect("some number is free")
    }

    fn look(&mut self, c: usize, m: usize) {
        let challenge = self.challenge(m);
        let epoch = self.controllers[c].steering.epoch();
        let machine = &mut self.machines[m];
        machine.agent.sees(machine.running, machine.running.is_some());
        match machine.agent.look(now(), epoch, challenge) {
            Ok(_) => self.controllers[c].replies[m] = Some((machine.agent.status(), challenge)),
            Err(_) => {
                let later = machine.agent.promised().epoch;
                self.event(c, Event::Superseded(later), usize::MAX);
            }
        }
    }

    /// What a controller hears; it may die after so many entries of what it then writes.
    fn event(&mut self, c: usize, event: Event, most: usize) -> bool {
        let controller = &mut self.controllers[c];
        let actions = controller.steering.step(event);
        if actions.contains(&Action::Stop) {
            controller.dead = true;
        }
        controller.write(actions, most)
    }

    fn hear(&mut self, c: usize, m: usize, keep: bool, most: usize) -> bool {
        let Some((status, challenge)) = self.controllers[c].replies[m] else { return false };
        if !keep {
            self.controllers[c].replies[m] = None;
        }
        let cut = self.event(c, Event::Told(m, status), most);
        let controller = &mut self.controllers[c];
        let told = controller.steering.told(m);
        if let (Some((id, ask)), Some(told), false) = (controller.steering.order(m), told, cut)
            && told.accepted < id
            && told.accepted == told.done
        {
            controller.orders[m] = Some(Order { epoch: controller.steering.epoch(), id, ask, challenge });
        }
        cut
    }

    fn obey(&mut self, c: usize, m: usize, keep: bool) {
        let Some(order) = self.controllers[c].orders[m] else { return };
        if !keep {
            self.controllers[c].orders[m] = None;
        }
        let epoch = self.machines[m].agent.promised().epoch;
        if let Ok(acts) = self.machines[m].agent.order(now(), order) {
            assert_eq!(order.epoch, epoch, "an order of another epoch than the last heard was obeyed");
            if acts.iter().any(|act| matches!(act, Act::Carry(Ask::Take(_)))) {
                self.machines[m].running = None;
            }
            self.check();
        }
    }

    fn carried(&mut self, m: usize, well: bool) {
        let machine = &mut self.machines[m];
        let was =
            if machine.agent.promised().ask == Some(Ask::Take(Which::New)) { Which::Old } else { Which::New };
        match machine.agent.promised().ask {
            Some(Ask::Take(which)) => machine.running = Some(if well { which } else { was }),
            _ => assert!(well),
        }
        machine.agent.carried(well);
        machine.agent.sees(machine.running, true);
    }

    fn switching(&self) -> usize {
        self.machines.iter().filter(|m| m.running.is_none()).count()
    }

    fn check(&self) {
        let back =
            |c: &Controller| matches!(c.steering.phase(), Phase::GoingBack | Phase::Halted | Phase::Reverted);
        // Two controllers on records that have parted may each take one back: that is said on the page.
        let most = if self.controllers.len() > 1 && self.controllers.iter().any(back) { 2 } else { 1 };
        assert!(self.switching() <= most, "{} are away at once: {self:#?}", self.switching());
    }

    /// Everything that can happen next.
    fn next(&self) -> Vec<World> {
        let mut all = Vec::new();
        let mut put = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            all.push(world);
        };
        for c in 0..self.controllers.len() {
            let controller = &self.controllers[c];
            if controller.dead {
                continue;
            }
            let phase = controller.steering.phase();
            if phase == Phase::Planned {
                put(&|w| _ = w.event(c, Event::Begin, usize::MAX));
            }
            if controller.steering.is_settled() {
                put(&|w| _ = w.event(c, Event::Judged(Verdict::Fine), usize::MAX));
            }
            if self.bad && matches!(phase, Phase::Stage(_)) {
                put(&|w| _ = w.event(c, Event::Judged(Verdict::Worse("x".into())), usize::MAX));
            }
            for m in ALL {
                if controller.replies[m].is_none() {
                    put(&|w| w.look(c, m));
                } else {
                    put(&|w| _ = w.hear(c, m, false, usize::MAX));
                    if self.budget.doubled > 0 {
                        put(&|w| {
                            w.budget.doubled -= 1;
                            w.hear(c, m, true, usize::MAX);
                        });
                    }
                    if self.budget.controllers > 0 {
                        for most in 0..2 {
                            put(&|w| {
                                if w.hear(c, m, false, most) {
                                    w.budget.controllers -= 1;
                                    w.restart(c);
                                }
                            });
                        }
                    }
                }
                if controller.orders[m].is_some() {
                    put(&|w| w.obey(c, m, false));
                    if self.budget.doubled > 0 {
                        put(&|w| {
                            w.budget.doubled -= 1;
                            w.obey(c, m, true);
                        });
                    }
                    if self.budget.lost > 0 {
                        put(&|w| {
                            w.budget.lost -= 1;
                            w.controllers[c].orders[m] = None;
                        });
                    }
                }
                if self.budget.silent > 0 && controller.steering.told(m).is_some() {
                    put(&|w| {
                        w.budget.silent -= 1;
                        w.event(c, Event::Silent(m), usize::MAX);
                    });
                }
                // Over for good: no order can be obeyed any more, and none is being carried out.
                let under_way =
                    self.controllers.iter().any(|c| c.orders[m].is_some() || c.replies[m].is_some());
                if let Some(id) =
                    controller.steering.unsure(m).filter(|_| controller.steering.told(m).is_none())
                    && !under_way
                    && !self.machines[m].agent.is_busy()
                    && self.controllers.len() == 1
                {
                    put(&|w| _ = w.event(c, Event::Lapsed(m, id), usize::MAX));
                }
            }
            if self.budget.controllers > 0 {
                put(&|w| {
                    w.budget.controllers -= 1;
                    w.restart(c);
                });
            }
            if self.budget.forks > 0 {
                put(&|w| {
                    w.budget.forks -= 1;
                    let record = w.controllers[c].record.clone();
                    w.controllers.push(Controller::new(record));
                });
            }
        }
        for m in ALL {
            if self.machines[m].agent.is_busy() {
                put(&|w| w.carried(m, true));
                if self.budget.failures > 0 && self.machines[m].running.is_none() {
                    put(&|w| {
                        w.budget.failures -= 1;
                        w.carried(m, false);
                    });
                }
            }
            if self.budget.agents > 0 {
                put(&|w| {
                    w.budget.agents -= 1;
                    let machine = &mut w.machines[m];
                    let (agent, again) = Agent::new(machine.agent.promised(), None);
                    assert_eq!(again.is_some(), machine.agent.is_busy(), "what was promised is done");
                    machine.agent = agent;
                });
            }
        }
        all
    }

    /// The same controller again, from what its record holds. Whatever it had under way may still come.
    fn restart(&mut self, c: usize) {
        let before = &self.controllers[c];
        let orders = before.orders;
        self.controllers[c] = Controller { orders, ..Controller::new(before.record.clone()) };
    }

    /// Nothing goes wrong any more: where does it end?
    fn drain(&self) -> World {
        let mut world = self.clone();
        for _ in 0..60 {
            for m in ALL {
                if world.machines[m].agent.is_busy() {
                    world.carried(m, true);
                }
                for c in 0..world.controllers.len() {
                    if world.controllers[c].dead {
                        continue;
                    }
                    world.look(c, m);
                    world.hear(c, m, false, usize::MAX);
                    world.obey(c, m, false);
                }
            }
        }
        world
    }

    fn check_end(&self) {
        let end = self.drain();
        let Some(steers) = end.controllers.iter().find(|c| !c.dead) else {
            panic!("nobody steers any more: {end:#?}")
        };
        let running: Vec<_> = end.machines.iter().map(|m| m.running).collect();
        let all = |which| running.iter().all(|r| *r == Some(which));
        let known = ALL
            .into_iter()
            .all(|m| steers.steering.told(m).is_some_and(|t| t.running == end.machines[m].running));
        assert!(known && end.switching() == 0, "{end:#?}");
        let fits = match steers.steering.phase() {
            Phase::Planned => all(Which::Old),
            Phase::Stage(stage) => ALL
                .into_iter()
                .all(|m| running[m] == Some(if STAGES[m] <= stage { Which::New } else { Which::Old })),
            Phase::Reverted => all(Which::Old) && steers.steering.is_over(),
            Phase::Final => all(Which::New) && steers.steering.is_over(),
            // By hand from here on; what each has is known.
            Phase::Halted => true,
            Phase::GoingBack | Phase::GivenUp => false,
        };
        assert!(fits, "{:?} {running:?} {end:#?}", steers.steering.phase());
    }
}

fn walk(budget: Budget, bad: bool, most: usize) -> usize {
    let mut seen = HashSet::new();
    let mut queue = VecDeque::from([World::new(budget, bad)]);
    let mut ends = 0;
    // In turn the oldest and the newest: a walk that is cut off has gone deep as well as broad.
    while let Some(world) = if ends % 2 == 0 { queue.pop_front() } else { queue.pop_back() } {
        for next in world.next() {
            if seen.len() < most && seen.insert(next.key()) {
                next.check();
                ends += 1;
                // Ends are the same for most neighbours; one in some is looked at to its end.
                if ends % 7 == 0 {
                    next.check_end();
                }
                queue.push_back(next);
            }
        }
    }
    seen.len()
}

const NONE: Budget =
    Budget { doubled: 0, lost: 0, controllers: 0, agents: 0, failures: 0, silent: 0, forks: 0 };

/// How many states a test of every build walks at the most; `WALK=all` walks to the end, `WALK=N` N of them.
fn most() -> usize {
    match std::env::var("WALK").as_deref() {
        Ok("all") => usize::MAX,
        Ok(most) => most.parse().unwrap_or(25_000),
        Err(_) => 25_000,
    }
}

#[test]
fn messages_lost_late_and_doubled() {
    if most() == usize::MAX {
        return;
    }
    let states = walk(Budget { doubled: 1, lost: 1, silent: 1, ..NONE }, true, most());
    println!("messages: {states} states");
    assert!(states > 5_000, "{states}");
}

#[test]
fn controllers_that_die_at_any_point() {
    if most() == usize::MAX {
        return;
    }
    let states = walk(Budget { controllers: 2, lost: 1, ..NONE }, true, most());
    println!("controllers: {states} states");
    assert!(states > 5_000, "{states}");
}

#[test]
fn agents_that_die_and_changes_that_fail() {
    if most() == usize::MAX {
        return;
    }
    let states = walk(Budget { agents: 1, failures: 2, ..NONE }, true, most());
    println!("agents: {states} states");
    assert!(states > 5_000, "{states}");
}

#[test]
fn two_controllers_at_once() {
    if most() == usize::MAX {
        return;
    }
    let states = walk(Budget { forks: 1, lost: 1, ..NONE }, true, most());
    println!("two controllers: {states} states");
    assert!(states > 5_000, "{states}");
}

/// One trouble at a time, to the end of what can come of it. Not of every build: `WALK=all` walks it.
#[test]
fn to_the_end_with_one_trouble_at_a_time() {
    if most() != usize::MAX {
        return;
    }
    for (name, budget, bad) in [
        ("nothing goes wrong", NONE, false),
        ("new is found worse", NONE, true),
        ("one message is lost", Budget { lost: 1, ..NONE }, false),
        ("one message comes twice", Budget { doubled: 1, ..NONE }, false),
        ("one sender is held for silent", Budget { silent: 1, ..NONE }, false),
        ("one change fails", Budget { failures: 1, ..NONE }, false),
        ("one agent dies", Budget { agents: 1, ..NONE }, false),
        ("one controller dies", Budget { controllers: 1, ..NONE }, false),
        ("worse, and one message is lost", Budget { lost: 1, ..NONE }, true),
        ("worse, and one change or going back fails", Budget { failures: 1, ..NONE }, true),
        ("worse, and one agent dies", Budget { agents: 1, ..NONE }, true),
        ("worse, and one controller dies", Budget { controllers: 1, ..NONE }, true),
    ] {
        let states = walk(budget, bad, usize::MAX);
        println!("to the end, {name}: {states} states");
    }
}
