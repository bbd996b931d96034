//! Every order of the steps of two processes and of what may befall them, with locks as the kernel keeps them.

use indigomast::time::{Moment, Span};
use indigomast_handover::{Incumbent, Observation, Settings, Step, Successor, SuccessorStep};
use std::collections::{HashMap, VecDeque};

const TICK: f64 = 100.0;

fn settings() -> Settings {
    Settings {
        max_call_drain: Span::millis(200),
        max_client_drain: Span::millis(200),
        ready_after: Span::millis(300),
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Side {
    Dead,
    /// Owns: whether it submits, whether its accepts is open, its machine, and calls that are out.
    Owner {
        submits: bool,
        accepts: bool,
        machine: Incumbent,
        calls_out: bool,
    },
    Waits {
        machine: Successor,
        says_ready: bool,
    },
}

/// Process 0 and 1. The locks are who holds them; both are given back by a death.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    tick: u8,
    sides: [Side; 2],
    lock: Option<usize>,
    next: Option<usize>,
    /// Somebody left in order, and what it learnt lies there for whoever comes.
    state_written: bool,
    starts: u8,
    deaths: u8,
    no_room: bool,
}

#[derive(Clone, Copy, Debug)]
enum Happens {
    Runs(usize),
    Dies(usize),
    Starts(usize),
    /// A call comes back.
    Answered(usize),
    DiskFills,
    TimePasses,
}

impl World {
    fn start() -> World {
        let owner = Side::Owner {
            submits: true,
            accepts: true,
            machine: Incumbent::new(settings()),
            calls_out: true,
        };
        World {
            tick: 0,
            sides: [owner, Side::Dead],
            lock: Some(0),
            next: None,
            state_written: false,
            starts: 0,
            deaths: 0,
            no_room: false,
        }
    }

    fn now(&self) -> Moment {
        Moment::from_millis(f64::from(self.tick) * TICK)
    }

    fn owners(&self) -> usize {
        self.sides.iter().filter(|side| matches!(side, Side::Owner { .. })).count()
    }

    fn dies(&mut self, at: usize) {
        self.sides[at] = Side::Dead;
        self.lock = self.lock.filter(|holder| *holder != at);
        self.next = self.next.filter(|holder| *holder != at);
    }

    fn runs(&mut self, at: usize) {
        let now = self.now();
        match self.sides[at].clone() {
            Side::Dead => {}
            Side::Waits { mut machine, mut says_ready } => {
                let owns = self.lock.is_none();
                if owns {
                    self.lock = Some(at);
                } else {
                    self.next.get_or_insert(at);
                }
                match machine.step(now, owns) {
                    Some(SuccessorStep::TakeOver) => {
                        self.next = self.next.filter(|holder| *holder != at);
                        self.state_written = false;
                        let machine = Incumbent::new(settings());
                        self.sides[at] =
                            Side::Owner { submits: true, accepts: true, machine, calls_out: false };
                        return;
                    }
                    Some(SuccessorStep::ReportReady) => says_ready = true,
                    None => {}
                }
                self.sides[at] = Side::Waits { machine, says_ready };
            }
            Side::Owner { mut submits, mut accepts, mut machine, mut calls_out } => {
                let successor_waits = self.next.is_some_and(|holder| holder != at);
                let mut step =
                    machine.step(now, Observation { successor_waits, calls_out, clients_answered: !accepts });
                if step == Some(Step::Exit) {
                    assert!(!submits && !accepts, "left while it served");
                    if !self.no_room {
                        self.state_written = true;
                        return self.dies(at);
                    }
                    step = Some(machine.exit_failed());
                }
                match step {
                    Some(Step::StopSubmitting) => submits = false,
                    Some(Step::StopAccepting) => accepts = false,
                    Some(Step::Resume) => (submits, accepts) = (true, true),
                    Some(Step::Exit) | None => {}
                }
                calls_out |= submits;
                self.sides[at] = Side::Owner { submits, accepts, machine, calls_out };
            }
        }
    }

    fn after(&self, what: Happens) -> Option<World> {
        let mut next = self.clone();
        match what {
            Happens::Runs(at) => next.runs(at),
            Happens::Dies(at) if self.sides[at] != Side::Dead && self.deaths < 2 => {
                next.deaths += 1;
                next.dies(at);
            }
            Happens::Starts(at) if self.sides[at] == Side::Dead && self.starts < 2 => {
                next.starts += 1;
                let machine = Successor::new(settings(), self.now());
                next.sides[at] = Side::Waits { machine, says_ready: false };
            }
            Happens::Answered(at) => match &mut next.sides[at] {
                Side::Owner { calls_out, .. } if *calls_out => *calls_out = false,
                _ => return None,
            },
            Happens::DiskFills if !self.no_room => next.no_room = true,
            Happens::TimePasses if self.tick < 9 => next.tick += 1,
            _ => return None,
        }
        (next != *self).then_some(next)
    }
}

fn all() -> impl Iterator<Item = Happens> {
    let each = |at| [Happens::Runs(at), Happens::Dies(at), Happens::Starts(at), Happens::Answered(at)];
    [0, 1].into_iter().flat_map(each).chain([Happens::DiskFills, Happens::TimePasses])
}

/// At most one owner at any moment, whoever dies, stalls or runs in whatever order; and if from then on nobody dies and
/// everybody runs, one owner that serves in the end.
#[test]
fn at_most_one_owner_and_in_the_end_one_that_serves() {
    let mut seen: HashMap<World, ()> = HashMap::from([(World::start(), ())]);
    let mut queue = VecDeque::from([World::start()]);
    while let Some(world) = queue.pop_front() {
        assert!(world.owners() <= 1, "{world:?}");
        for (at, side) in world.sides.iter().enumerate() {
            let owns = matches!(side, Side::Owner { .. });
            assert_eq!(owns, world.lock == Some(at), "who owns has the lock: {world:?}");
        }
        settles(&world);
        for what in all() {
            if let Some(next) = world.after(what)
                && seen.insert(next.clone(), ()).is_none()
            {
                queue.push_back(next);
            }
        }
    }
    assert!(seen.len() > 10_000, "{} worlds are too few to have met what may happen", seen.len());
}

fn settles(world: &World) {
    let mut end = world.clone();
    for _ in 0..40 {
        end.tick += 1;
        [0, 1].into_iter().for_each(|at| end.runs(at));
    }
    if end.sides.iter().all(|side| *side == Side::Dead) {
        return assert!(world.sides.iter().all(|side| *side == Side::Dead), "the last one left: {world:?}");
    }
    let serves = |side: &Side| matches!(side, Side::Owner { submits: true, accepts: true, .. });
    assert!(end.sides.iter().any(serves), "{world:?} comes to {end:?}");
    // Who waits for one that can't leave has said so, and the operators end the other.
    for side in &end.sides {
        assert!(!matches!(side, Side::Waits { says_ready: false, .. }), "{end:?}");
    }
}
