//! Steering in single cases: what is asked of whom, and what is not.

use indigomast_rollout::agent::{Ask, Status, Which};
use indigomast_rollout::plan::{AfterHalt, Unclear};
use indigomast_rollout::steering::{Action, Bounds, Entry, Event, Phase, Steering, Verdict};

const BOUNDS: Bounds = Bounds { away: 1, after_halt: AfterHalt::Back, unclear: Unclear::Halt };

/// Agents that do at once what they are asked, as far as they can.
struct Fleet {
    steering: Steering,
    record: Vec<Entry>,
    agents: Vec<Status>,
    /// Those whose machine can't take a side.
    refuses: Vec<(usize, Which)>,
    unheard: Vec<usize>,
    most_away: usize,
}

impl Fleet {
    fn new(stages: &[usize], bounds: Bounds) -> Fleet {
        let (steering, actions) = Steering::begin(bounds, stages, &[]);
        let agent = Status { running: Some(Which::Old), serving: true, ..Status::default() };
        let mut fleet = Fleet {
            steering,
            record: Vec::new(),
            agents: vec![agent; stages.len()],
            refuses: Vec::new(),
            unheard: Vec::new(),
            most_away: 0,
        };
        fleet.take(actions);
        fleet.tell(Event::Begin);
        fleet
    }

    fn take(&mut self, actions: Vec<Action>) {
        self.record.extend(actions.into_iter().filter_map(|action| match action {
            Action::Record(entry) => Some(entry),
            _ => None,
        }));
    }

    fn tell(&mut self, event: Event) {
        let actions = self.steering.step(event);
        self.take(actions);
    }

    /// Everybody is asked how it stands and does what it is asked, some rounds over.
    fn rounds(&mut self, count: usize) {
        for _ in 0..count {
            for at in 0..self.agents.len() {
                if self.unheard.contains(&at) {
                    self.tell(Event::Silent(at));
                    continue;
                }
                self.agents[at].epoch = self.steering.epoch();
                self.tell(Event::Told(at, self.agents[at]));
                let asked = (0..self.agents.len()).filter(|at| self.steering.order(*at).is_some());
                self.most_away = self.most_away.max(asked.count());
                let Some((id, ask)) =
                    self.steering.order(at).filter(|(id, _)| *id > self.agents[at].accepted)
                else {
                    continue;
                };
                let agent = &mut self.agents[at];
                (agent.accepted, agent.done, agent.failed) = (id, id, false);
                match ask {
                    Ask::Take(which) if self.refuses.contains(&(at, which)) => agent.failed = true,
                    Ask::Take(which) => (agent.running, agent.crashed) = (Some(which), false),
                    Ask::Seal => agent.sealed = true,
                }
            }
        }
    }

    fn sides(&self) -> Vec<Option<Which>> {
        self.agents.iter().map(|agent| agent.running).collect()
    }

    fn all(&self, which: Which) -> bool {
        self.sides().iter().all(|side| *side == Some(which))
    }
}

#[test]
fn a_fleet_of_one_and_one_of_a_hundred_come_to_their_end_with_no_more_away_than_allowed() {
    for (senders, away) in [(1, 1), (100, 4)] {
        let stages: Vec<usize> = (0..senders).map(|at| usize::from(at > 2) + usize::from(at > 30)).collect();
        let mut fleet = Fleet::new(&stages, Bounds { away, ..BOUNDS });
        for _ in 0..=*stages.iter().max().expect("some") {
            fleet.rounds(100);
            assert!(fleet.steering.is_settled());
            fleet.tell(Event::Judged(Verdict::Fine));
        }
        assert_eq!(fleet.steering.phase(), Phase::Final);
        assert_eq!(fleet.most_away, away);
        fleet.rounds(5);
        assert!(
            fleet.steering.is_over()
                && fleet.all(Which::New)
                && fleet.agents.iter().all(|agent| agent.sealed)
        );
    }
}

#[test]
fn settings_that_half_of_the_fleet_refuses_take_the_other_half_back() {
    let mut fleet = Fleet::new(&[0, 0, 0, 0], BOUNDS);
    fleet.refuses = vec![(2, Which::New), (3, Which::New)];
    fleet.rounds(20);
    assert_eq!(fleet.steering.phase(), Phase::Reverted);
    assert!(fleet.all(Which::Old) && fleet.steering.is_over());
    assert!(fleet.steering.reason().contains("sender 2 could not take the new side"));
}

#[test]
fn one_that_can_not_go_back_is_named_and_all_others_are_back() {
    let mut fleet = Fleet::new(&[0, 0, 0], BOUNDS);
    fleet.rounds(10);
    assert!(fleet.all(Which::New));
    fleet.refuses = vec![(1, Which::Old)];
    fleet.tell(Event::Judged(Verdict::Worse("it is".into())));
    fleet.rounds(10);
    assert_eq!(fleet.steering.phase(), Phase::Halted);
    assert!(fleet.steering.reason().contains("going back failed on sender 1"), "{}", fleet.steering.reason());
    assert_eq!(fleet.sides(), [Some(Which::Old), Some(Which::New), Some(Which::Old)]);
    // Once somebody has looked to it, it is asked again.
    fleet.refuses.clear();
    fleet.tell(Event::GoBack);
    fleet.rounds(5);
    assert!(fleet.steering.phase() == Phase::Reverted && fleet.all(Which::Old));
}

#[test]
fn silent_senders_count_as_away_and_stand_in_no_others_way_back() {
    let mut fleet = Fleet::new(&[0, 1, 1, 1], BOUNDS);
    fleet.rounds(5);
    fleet.unheard = vec![3];
    fleet.tell(Event::Silent(3));
    fleet.tell(Event::Judged(Verdict::Fine));
    fleet.rounds(5);
    assert_eq!(fleet.sides()[1], Some(Which::Old), "one is away already");
    fleet.tell(Event::Judged(Verdict::Fine));
    assert_eq!(fleet.steering.phase(), Phase::Stage(1), "nothing is fine before all are there");
    fleet.tell(Event::Judged(Verdict::Unclear));
    assert_eq!(fleet.steering.phase(), Phase::Halted);
    fleet.tell(Event::GoBack);
    fleet.rounds(5);
    assert!(fleet.all(Which::Old) && fleet.steering.phase() == Phase::GoingBack, "one was not heard of yet");
    fleet.unheard.clear();
    fleet.rounds(2);
    assert_eq!(fleet.steering.phase(), Phase::Reverted);
}

#[test]
fn what_is_unclear_halts_or_goes_on_as_the_plan_says() {
    for (unclear, phase) in [(Unclear::Halt, Phase::Halted), (Unclear::GoOn, Phase::Stage(1))] {
        let mut fleet = Fleet::new(&[0, 1], Bounds { unclear, ..BOUNDS });
        fleet.rounds(5);
        fleet.tell(Event::Judged(Verdict::Unclear));
        assert_eq!(fleet.steering.phase(), phase);
    }
}

#[test]
fn one_that_returns_after_the_change_is_final_takes_the_new_side() {
    let mut fleet = Fleet::new(&[0, 0], BOUNDS);
    fleet.rounds(5);
    fleet.tell(Event::Judged(Verdict::Fine));
    // It was replaced by a machine that knows nothing of the change.
    fleet.agents[1] = Status { running: Some(Which::Old), serving: true, ..Status::default() };
    fleet.tell(Event::Silent(1));
    fleet.rounds(8);
    assert!(fleet.all(Which::New) && fleet.steering.is_over());
}

#[test]
fn a_crash_counts_on_the_new_side_only_and_a_halt_by_hand_asks_nobody_back() {
    let mut fleet = Fleet::new(&[0, 1], BOUNDS);
    fleet.rounds(5);
    fleet.agents[1].crashed = true;
    fleet.rounds(1);
    assert_eq!(fleet.steering.phase(), Phase::Stage(0));
    fleet.tell(Event::Halt);
    fleet.rounds(3);
    assert_eq!(fleet.sides(), [Some(Which::New), Some(Which::Old)]);
    fleet.tell(Event::GoOn);
    assert_eq!(fleet.steering.phase(), Phase::Stage(0));
    fleet.agents[0].crashed = true;
    fleet.rounds(5);
    assert!(fleet.steering.phase() == Phase::Reverted && fleet.steering.reason().contains("ended by itself"));
}

#[test]
fn another_controller_ends_this_one() {
    let mut fleet = Fleet::new(&[0, 1], BOUNDS);
    fleet.rounds(5);
    assert_eq!(fleet.steering.step(Event::Superseded(7)), [Action::Stop]);
    assert!(fleet.steering.is_over() && fleet.steering.step(Event::GoBack).is_empty());
    // From its record another goes on, under a higher epoch, and asks nothing before it has heard.
    let (mut next, actions) = Steering::begin(BOUNDS, &[0, 1], &fleet.record);
    assert_eq!(actions, [Action::Record(Entry::Epoch(2))]);
    assert_eq!((next.phase(), next.epoch()), (Phase::Stage(0), 2));
    assert!(next.step(Event::Judged(Verdict::Fine)).is_empty(), "nobody was heard yet");
}
