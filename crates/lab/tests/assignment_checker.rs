//! The checker is fed histories that break each of its predicates, and histories that come close and don't.

use indigomast_assignment::catalog::{Position, shard_of};
use indigomast_lab::assignment::checker::*;
use indigomast_lab::assignment::history::*;
use std::collections::BTreeMap;

const SHARDS: u32 = 8;
/// Destinations of the nth shard that has two of them.
fn pair(nth: usize) -> (u32, u32, u32) {
    let shard = nth as u32;
    let mut of = (1..1000).filter(|destination| shard_of(*destination, SHARDS) == shard);
    (shard, of.next().expect("some"), of.next().expect("some"))
}

fn at(epoch: u32, revision: u64) -> Position {
    Position { epoch, revision }
}

/// Three control processes and three senders, all of which run and can be reached, from a first controller on.
struct Case {
    history: History,
    revision: u64,
    epoch: u32,
    stamp: Stamp,
    truth: BTreeMap<u32, (u64, Stamp)>,
    owners: BTreeMap<u32, Vec<u32>>,
}

impl Case {
    /// Shard 0 is of the senders 0 and 1, shard 1 of 1 and 2; each has two destinations.
    fn new() -> Case {
        let mut history =
            History { shards: SHARDS, senders: 3, owners_wanted: 2, controls: 3, ..History::default() };
        for control in 0..3 {
            history.turns.push((0.0, Turn::Process(Process::Control(control), State::Runs)));
        }
        for sender in 0..3 {
            history.turns.push((0.0, Turn::Process(Process::Agent(sender), State::Runs)));
        }
        history.members = vec![0, 1, 2];
        let owners = BTreeMap::from([(0, vec![0, 1]), (1, vec![1, 2])]);
        let (truth, revision, epoch, stamp) = (BTreeMap::new(), 0, 0, 0);
        let mut case = Case { history, revision, epoch, stamp, truth, owners };
        case.promote(10.0, 0, 1, 1, 0);
        case.owners(20.0);
        for shard in 0..2 {
            let (_, one, other) = pair(shard);
            case.put(30.0, one);
            case.put(40.0, other);
        }
        case.look(100.0);
        case
    }

    fn promote(&mut self, now: f64, control: usize, epoch: u32, first: u64, base_epoch: u32) {
        let era = Era { epoch, first, base_epoch, control, asked_ms: now - 1.0, answered_ms: now };
        self.history.eras.push(era);
        (self.epoch, self.revision) = (epoch, first);
    }

    fn owners(&mut self, now: f64) {
        self.revision += 1;
        let (position, owners) = (at(self.epoch, self.revision), self.owners.clone());
        let seen = OwnersSeen { asked_ms: now - 1.0, at_ms: now, until_ms: now, position, owners };
        self.history.owners.push(seen);
    }

    fn change(&mut self, now: f64, destination: u32, stamp: Option<Stamp>) {
        self.revision += 1;
        let position = Some(at(self.epoch, self.revision));
        let (asked_ms, answered_ms, epoch) = (now - 1.0, now, self.epoch);
        let change = Change { destination, stamp, control: 0, epoch, position, asked_ms, answered_ms };
        self.history.changes.push(change);
        match stamp {
            Some(stamp) => _ = self.truth.insert(destination, (self.revision, stamp)),
            None => _ = self.truth.remove(&destination),
        }
    }

    fn put(&mut self, now: f64, destination: u32) -> Stamp {
        self.stamp += 1;
        self.change(now, destination, Some(self.stamp));
        self.stamp
    }

    /// What a sender has to have.
    fn due(&self, sender: u32) -> BTreeMap<u32, (u64, Stamp)> {
        let own = |destination: &u32| {
            self.owners.get(&shard_of(*destination, SHARDS)).is_some_and(|owners| owners.contains(&sender))
        };
        let lines = self.truth.iter().filter(|(destination, _)| own(destination));
        lines.map(|(destination, line)| (*destination, *line)).collect()
    }

    fn part(&mut self, now: f64, sender: u32, lines: BTreeMap<u32, (u64, Stamp)>) -> &mut PartSeen {
        let position = Some(at(self.epoch, self.revision));
        let (asked_ms, at_ms) = (now - 1.0, now);
        let part = PartSeen { sender, life: 1, asked_ms, at_ms, until_ms: at_ms, position, lines };
        self.history.parts.push(part);
        self.history.parts.last_mut().expect("pushed")
    }

    /// All senders are seen with what is due.
    fn look(&mut self, now: f64) {
        for sender in 0..3 {
            let due = self.due(sender);
            self.part(now, sender, due);
        }
    }

    fn turn(&mut self, now: f64, turn: Turn) {
        self.history.turns.push((now, turn));
    }

    fn end(&mut self, now: f64) -> Verdict {
        self.owners(now);
        self.look(now);
        self.history.ended_ms = now;
        check(&self.history, Bounds::default())
    }
}

fn breaches(verdict: &Verdict) -> Vec<Breach> {
    let mut found: Vec<Breach> = verdict.accusations.iter().map(|accusation| accusation.breach).collect();
    found.sort();
    found.dedup();
    found
}

#[track_caller]
fn sound(verdict: &Verdict) {
    assert!(verdict.is_sound(), "{:#?}", verdict.accusations);
}

#[track_caller]
fn accused(verdict: &Verdict, breach: Breach) {
    assert_eq!(breaches(verdict), [breach], "{:#?}", verdict.accusations);
}

#[test]
fn what_is_told_in_time_is_sound() {
    let mut case = Case::new();
    let (_, one, _) = pair(0);
    case.put(1000.0, one);
    case.look(1200.0);
    case.change(2000.0, one, None);
    case.look(2300.0);
    case.put(3000.0, one);
    let verdict = case.end(3400.0);
    sound(&verdict);
    assert_eq!((verdict.changes, verdict.undone, verdict.unanswered), (7, 0, 0));
    assert_eq!(verdict.in_force_ms.most, 400.0);
    assert!(verdict.reachable_share > 0.99 && verdict.cut_off_share == 0.0, "{}", verdict.reachable_share);
    assert_eq!(verdict.parts, verdict.parts_of_one_position);
}

#[test]
fn half_a_part_is_accused() {
    let mut case = Case::new();
    let (_, one, _) = pair(0);
    let mut half = case.due(0);
    half.remove(&one);
    case.part(500.0, 0, half);
    accused(&case.end(1000.0), Breach::HalfAPart);
}

/// Two changes of one shard: only the later of them is there, at a position before both.
#[test]
fn a_shard_of_no_position_is_accused_even_between_positions() {
    let mut case = Case::new();
    let (_, one, other) = pair(0);
    let (before, was) = (case.due(0), case.revision);
    case.put(500.0, one);
    case.put(510.0, other);
    let mut mixed = before;
    mixed.insert(other, case.truth[&other]);
    case.part(600.0, 0, mixed).position = Some(at(1, was));
    accused(&case.end(1000.0), Breach::MixedShard);
}

/// Over shards that is not asked for: each stands as of a position of its own, none before the part's.
#[test]
fn shards_may_be_of_different_positions() {
    let mut case = Case::new();
    let ((_, one, _), (_, other, _)) = (pair(0), pair(1));
    let (before, was) = (case.due(1), case.revision);
    case.put(500.0, one);
    case.put(510.0, other);
    let mut mixed = before;
    mixed.insert(other, case.truth[&other]);
    case.part(600.0, 1, mixed).position = Some(at(1, was));
    let verdict = case.end(1000.0);
    sound(&verdict);
    assert_eq!(verdict.parts_of_one_position + 1, verdict.parts);
}

#[test]
fn a_stale_shard_under_a_later_position_is_accused() {
    let mut case = Case::new();
    let (_, one, _) = pair(0);
    let before = case.due(0);
    case.put(500.0, one);
    // The position says that all up to there is in.
    case.part(600.0, 0, before);
    accused(&case.end(1000.0), Breach::StalePart);
}

#[test]
fn a_line_that_nobody_said_is_accused() {
    let mut case = Case::new();
    let (_, one, _) = pair(0);
    let mut lines = case.due(0);
    lines.insert(one, (3, UNSAID));
    case.part(500.0, 0, lines);
    let verdict = case.end(1000.0);
    assert!(breaches(&verdict).contains(&Breach::Unsaid), "{:#?}", verdict.accusations);
}

#[test]
fn a_position_that_goes_back_is_accused() {
    let mut case = Case::new();
    let due = case.due(0);
    let was = case.revision;
    case.part(500.0, 0, due.clone()).position = Some(at(1, was - 1));
    accused(&case.end(1000.0), Breach::StepBack);
    // Over a restart the shards are judged, not the number that a heartbeat told.
    let mut case = Case::new();
    let part = case.part(500.0, 0, due);
    (part.position, part.life) = (Some(at(1, was - 1)), 2);
    case.history.parts.iter_mut().filter(|part| part.at_ms > 400.0).for_each(|part| part.life = 2);
    case.owners(1000.0);
    for sender in 0..3 {
        let due = case.due(sender);
        case.part(1000.0, sender, due).life = 2;
    }
    case.history.ended_ms = 1000.0;
    sound(&check(&case.history, Bounds::default()));
}

/// Also where the position says nothing of it, as after a restart from what was saved too early.
#[test]
fn a_shard_that_goes_back_is_accused() {
    let mut case = Case::new();
    let (_, one, _) = pair(0);
    let (before, was) = (case.due(0), case.revision);
    case.put(500.0, one);
    case.look(600.0);
    let part = case.part(700.0, 0, before);
    (part.position, part.life) = (Some(at(1, was)), 2);
    case.owners(1000.0);
    for sender in 0..3 {
        let due = case.due(sender);
        case.part(1000.0, sender, due).life = 2;
    }
    case.history.ended_ms = 1000.0;
    accused(&check(&case.history, Bounds::default()), Breach::StepBack);
}

#[test]
fn a_late_change_is_accused_and_one_in_time_is_not() {
    for (ms, late) in [(10_800.0, false), (11_200.0, true)] {
        let mut case = Case::new();
        let (_, one, _) = pair(0);
        let (before, was) = (case.due(0), case.revision);
        case.put(1000.0, one);
        for sender in 1..3 {
            let due = case.due(sender);
            case.part(1100.0, sender, due);
        }
        case.part(1100.0, 0, before).position = Some(at(1, was));
        case.history.parts.last_mut().expect("pushed").until_ms = ms;
        case.look(ms + 100.0);
        let verdict = case.end(12_000.0);
        if late { accused(&verdict, Breach::LateChange) } else { sound(&verdict) }
    }
}

/// It counts from when the owner could be reached: its process, a line to a relay, and on to the controller.
#[test]
fn who_can_not_be_reached_is_not_late() {
    let (agent, relays) = (Process::Agent(0), [0, 1, 2].map(Process::Control));
    let line = |from, to, open| Turn::Line { from, to, open };
    let cuts: Vec<(Vec<Turn>, Vec<Turn>, bool)> = vec![
        (vec![], vec![], true),
        (vec![Turn::Process(agent, State::Stopped)], vec![Turn::Process(agent, State::Runs)], false),
        (
            relays.iter().map(|relay| line(agent, *relay, false)).collect(),
            relays.iter().map(|relay| line(agent, *relay, true)).collect(),
            false,
        ),
        // One relay is left that can reach the controller.
        (vec![line(agent, relays[0], false), line(agent, relays[1], false)], vec![], true),
        // The one that is left can't.
        (
            vec![
                line(agent, relays[0], false),
                line(agent, relays[1], false),
                line(relays[2], relays[0], false),
            ],
            vec![line(relays[2], relays[0], true)],
            false,
        ),
        (vec![Turn::Process(relays[0], State::Stopped)], vec![Turn::Process(relays[0], State::Runs)], false),
    ];
    for (number, (begin, end, late)) in cuts.into_iter().enumerate() {
        let mut case = Case::new();
        let (_, one, _) = pair(0);
        let (before, was) = (case.due(0), case.revision);
        begin.into_iter().for_each(|turn| case.turn(900.0, turn));
        case.put(1000.0, one);
        let due = case.due(1);
        case.part(1100.0, 1, due);
        case.part(1100.0, 0, before).position = Some(at(1, was));
        case.history.parts.last_mut().expect("pushed").until_ms = 14_000.0;
        end.into_iter().for_each(|turn| case.turn(8000.0, turn));
        case.look(14_100.0);
        let verdict = case.end(15_000.0);
        if late {
            assert_eq!(breaches(&verdict), [Breach::LateChange], "case {number}: {:#?}", verdict.accusations);
        } else {
            assert!(verdict.is_sound(), "case {number}: {:#?}", verdict.accusations);
            assert_eq!(verdict.in_force_ms.most, 6100.0, "case {number}");
            assert!(verdict.reachable_share < 0.95, "case {number}: {}", verdict.reachable_share);
        }
    }
}

#[test]
fn who_runs_and_says_nothing_is_accused() {
    let mut case = Case::new();
    let (_, one, _) = pair(0);
    case.put(1000.0, one);
    for sender in 1..3 {
        let due = case.due(sender);
        case.part(1100.0, sender, due);
    }
    accused(&case.end(13_000.0), Breach::LateChange);
}

#[test]
fn a_shard_of_others_is_accused() {
    let mut case = Case::new();
    let (_, one, other) = pair(0);
    let mut lines = case.due(2);
    for destination in [one, other] {
        lines.insert(destination, case.truth[&destination]);
    }
    case.part(500.0, 2, lines);
    let verdict = case.end(1000.0);
    accused(&verdict, Breach::WrongOwner);
}

#[test]
fn a_shard_that_goes_without_its_owners_changing_is_accused() {
    let mut case = Case::new();
    let (shard, ..) = pair(0);
    let mut lines = case.due(1);
    lines.retain(|destination, _| shard_of(*destination, SHARDS) != shard);
    case.part(500.0, 1, lines);
    accused(&case.end(1000.0), Breach::LostShard);
}

/// Shard 0 goes from the sender 0 to the sender 2, which has to have it, and whose it was to have let go, in time.
#[test]
fn a_shard_moves_in_time_or_is_accused() {
    for (who, ms, breach) in [
        (0, 5000.0, vec![]),
        (2, 5000.0, vec![]),
        (0, 14_000.0, vec![Breach::LateRelease]),
        // Whoever lacks the shard lacks the lines in it.
        (2, 14_000.0, vec![Breach::LateChange, Breach::LateGain]),
    ] {
        let mut case = Case::new();
        case.owners.insert(0, vec![0, 1, 2]);
        let before = case.due(who);
        let as_was = if who == 2 { Case::new().due(2) } else { before };
        case.owners(1000.0);
        case.owners.insert(0, vec![1, 2]);
        case.owners(1200.0);
        for sender in (0..3).filter(|sender| *sender != who) {
            let due = case.due(sender);
            case.part(1300.0, sender, due);
        }
        let was = case.revision;
        case.part(1300.0, who, as_was).position = Some(at(1, was - 2));
        case.history.parts.last_mut().expect("pushed").until_ms = ms;
        case.look(ms + 100.0);
        let verdict = case.end(15_000.0);
        assert_eq!(breaches(&verdict), breach, "{:#?}", verdict.accusations);
    }
}

/// A controller that doesn't count may have moved a shard where nobody asked it: that is counted, not accused. Where it was
/// asked there is a witness.
#[test]
fn a_move_by_a_controller_that_is_undone_needs_a_witness() {
    for asked in [false, true] {
        let mut case = Case::new();
        let (shard, ..) = pair(0);
        let (agreed, fork) = (case.truth.clone(), case.revision);
        let mut lines = case.due(1);
        lines.retain(|destination, _| shard_of(*destination, SHARDS) != shard);
        if asked {
            // It says that the shard is where it was.
            case.revision = fork + 5;
            case.owners(900.0);
        }
        case.part(1000.0, 1, lines).position = Some(at(1, fork + 4));
        case.promote(1100.0, 1, 2, fork + 1, 1);
        case.truth = agreed;
        let verdict = case.end(1500.0);
        if asked {
            accused(&verdict, Breach::LostShard)
        } else {
            sound(&verdict)
        }
        assert_eq!(verdict.unwitnessed, usize::from(!asked));
    }
}

/// The older controller gave it a shard at a revision that the one that counts hasn't come to: it goes with that history, and
/// the number says nothing of the other.
#[test]
fn a_shard_that_only_an_undone_history_gave_goes_with_it() {
    let mut case = Case::new();
    let (shard, ..) = pair(0);
    let fork = case.revision;
    case.revision = fork + 50;
    case.owners.insert(shard, vec![0, 1, 2]);
    case.owners(500.0);
    let gained = case.due(2);
    case.part(600.0, 2, gained);
    case.owners.insert(shard, vec![0, 1]);
    case.promote(700.0, 1, 2, fork + 1, 1);
    case.owners(720.0);
    case.look(800.0);
    sound(&case.end(1000.0));
}

/// A relay that stands behind says, just after, that the owners are as they were: it doesn't know better.
#[test]
fn a_relay_that_stands_behind_is_no_witness() {
    for (moved, breach) in [(true, vec![]), (false, vec![Breach::LostShard])] {
        let mut case = Case::new();
        let (shard, ..) = pair(0);
        case.owners(400.0);
        let behind = case.revision;
        let mut lines = case.due(0);
        lines.retain(|destination, _| shard_of(*destination, SHARDS) != shard);
        case.revision += 10;
        case.part(500.0, 0, lines).position = Some(at(1, case.revision));
        let (position, owners, asked_ms, at_ms) = (at(1, behind), case.owners.clone(), 550.0, 560.0);
        case.history.owners.push(OwnersSeen { asked_ms, at_ms, until_ms: at_ms, position, owners });
        if moved {
            case.owners.insert(shard, vec![1, 2]);
        }
        case.owners(700.0);
        case.look(800.0);
        let verdict = case.end(1000.0);
        assert_eq!(breaches(&verdict), breach, "{:#?}", verdict.accusations);
    }
}

/// It moved a shard and was killed before anybody asked; the next controller goes on from its copy, and is asked seconds later.
#[test]
fn whoever_goes_on_from_there_is_a_witness_later() {
    for (moved, breach) in [(true, vec![]), (false, vec![Breach::LostShard])] {
        let mut case = Case::new();
        let (shard, ..) = pair(0);
        case.owners(400.0);
        let mut lines = case.due(0);
        lines.retain(|destination, _| shard_of(*destination, SHARDS) != shard);
        case.revision += 5;
        case.part(500.0, 0, lines).position = Some(at(1, case.revision));
        case.promote(4000.0, 1, 2, case.revision + 1, 1);
        if moved {
            case.owners.insert(shard, vec![1, 2]);
        }
        case.owners(4500.0);
        case.look(4600.0);
        let verdict = case.end(5000.0);
        assert_eq!(breaches(&verdict), breach, "{:#?}", verdict.accusations);
    }
}

/// It goes back to where the histories parted, at which the shard wasn't its own, although the newer controller gives it the
/// shard again at once: a relay's answer from before the fork is the witness. Had the shard been its own there, nobody took it.
#[test]
fn a_shard_that_goes_back_to_the_fork_has_its_witness_there() {
    for (own, breach) in [(false, vec![]), (true, vec![Breach::LostShard])] {
        let mut case = Case::new();
        let (shard, ..) = pair(0);
        let without = case.due(2);
        if own {
            case.owners.insert(shard, vec![0, 1, 2]);
            case.owners(200.0);
            case.look(210.0);
        }
        case.owners(300.0);
        let fork = case.revision;
        case.owners.insert(shard, vec![0, 1, 2]);
        case.revision = fork + 50;
        case.owners(500.0);
        let gained = case.due(2);
        case.part(600.0, 2, gained);
        case.promote(700.0, 1, 2, fork + 1, 1);
        case.owners(720.0);
        case.part(800.0, 2, without).position = Some(at(1, fork));
        // Somebody asked soon after.
        case.owners(850.0);
        case.look(900.0);
        case.owners.insert(shard, vec![0, 1]);
        case.owners(2000.0);
        let verdict = case.end(2100.0);
        assert_eq!(breaches(&verdict), breach, "{:#?}", verdict.accusations);
    }
}

/// Cut off from all, nothing may change, over a restart as well; in force is the last word.
#[test]
fn a_sender_cut_off_keeps_its_last_word() {
    for (life, keeps) in [(1, true), (2, true), (1, false), (2, false)] {
        let mut case = Case::new();
        let (shard, ..) = pair(0);
        for relay in [0, 1, 2].map(Process::Control) {
            case.turn(500.0, Turn::Line { from: Process::Agent(1), to: relay, open: false });
        }
        let due = case.due(1);
        case.part(4000.0, 1, due.clone());
        case.owners.insert(0, vec![0, 2]);
        case.owners(5000.0);
        let mut lines = due.clone();
        if !keeps {
            lines.retain(|destination, _| shard_of(*destination, SHARDS) != shard);
        }
        let was = case.revision;
        let part = case.part(6000.0, 1, lines);
        (part.life, part.position) = (life, Some(at(1, was - 1)));
        for sender in [0, 2] {
            let due = case.due(sender);
            case.part(6000.0, sender, due);
        }
        for relay in [0, 1, 2].map(Process::Control) {
            case.turn(7000.0, Turn::Line { from: Process::Agent(1), to: relay, open: true });
        }
        case.owners(8000.0);
        for sender in 0..3 {
            let due = case.due(sender);
            case.part(8000.0, sender, due).life = if sender == 1 { life } else { 1 };
        }
        case.history.ended_ms = 8000.0;
        let verdict = check(&case.history, Bounds::default());
        if keeps { sound(&verdict) } else { accused(&verdict, Breach::ChangedCutOff) }
    }
}

/// A line that was cut gives on what it held when the cut is over, though whoever said it has ended meanwhile; later, nothing.
#[test]
fn what_a_line_held_back_may_come_from_one_that_has_ended() {
    for (changed_ms, breach) in [(9100.0, vec![]), (14_000.0, vec![Breach::ChangedCutOff])] {
        let mut case = Case::new();
        let (_, one, _) = pair(0);
        let (agent, controls) = (Process::Agent(0), [0, 1, 2].map(Process::Control));
        let line = |to, open| Turn::Line { from: agent, to, open };
        controls.into_iter().for_each(|control| case.turn(1000.0, line(control, false)));
        let (before, was) = (case.due(0), case.revision);
        case.put(5000.0, one);
        let due = case.due(1);
        case.part(5100.0, 1, due);
        controls.into_iter().for_each(|control| case.turn(8000.0, Turn::Process(control, State::Down)));
        controls.into_iter().for_each(|control| case.turn(9000.0, line(control, true)));
        case.part(5100.0, 0, before).position = Some(at(1, was));
        case.history.parts.last_mut().expect("pushed").until_ms = changed_ms - 60.0;
        case.look(changed_ms);
        let verdict = case.end(15_000.0);
        assert_eq!(breaches(&verdict), breach, "{:#?}", verdict.accusations);
    }
}

/// The second controller went on from before a change of the first: who has it goes back, and ends at the history that counts.
#[test]
fn a_history_that_parted_may_be_taken_back() {
    for ends_well in [true, false] {
        let mut case = Case::new();
        let (_, one, _) = pair(0);
        let (agreed, fork) = (case.truth.clone(), case.revision);
        case.put(1000.0, one);
        let doomed = case.due(0);
        case.part(1100.0, 0, doomed.clone());
        case.promote(1200.0, 1, 2, fork + 1, 1);
        case.truth = agreed;
        // Taken back: the position is older, the line is still there, then it isn't.
        case.part(1500.0, 0, doomed.clone()).position = Some(at(1, fork));
        case.look(1700.0);
        case.put(2000.0, one);
        if ends_well {
            sound(&case.end(2500.0));
            continue;
        }
        case.owners(14_000.0);
        for sender in 0..3 {
            let lines = if sender == 0 { doomed.clone() } else { case.due(sender) };
            case.part(14_000.0, sender, lines).position = Some(at(1, fork));
        }
        case.history.ended_ms = 14_000.0;
        let found = breaches(&check(&case.history, Bounds::default()));
        assert!(found.contains(&Breach::Unsettled), "{found:?}");
    }
}

/// Nothing parted: an older position under the same controller, or one that nobody ever was at.
#[test]
fn a_position_of_no_history_is_accused() {
    let mut case = Case::new();
    let due = case.due(0);
    let revision = case.revision;
    case.part(500.0, 0, due).position = Some(at(7, revision));
    let found = breaches(&case.end(1000.0));
    assert!(found.contains(&Breach::NoSuchPosition), "{found:?}");
}

#[test]
fn a_change_that_was_undone_is_not_waited_for() {
    let mut case = Case::new();
    let (_, one, _) = pair(0);
    let (agreed, fork) = (case.truth.clone(), case.revision);
    case.put(1000.0, one);
    case.promote(1200.0, 1, 2, fork + 1, 1);
    case.truth = agreed;
    case.owners(1300.0);
    case.look(14_000.0);
    let verdict = case.end(15_000.0);
    sound(&verdict);
    assert_eq!((verdict.undone, verdict.eras), (1, 2));
}

/// Nobody answered: it may have been made, and is a part of the history once it was seen.
#[test]
fn a_change_without_an_answer_may_have_been_made() {
    for made in [true, false] {
        let mut case = Case::new();
        let (_, one, _) = pair(0);
        let before = case.truth.clone();
        case.put(1000.0, one);
        case.history.changes.last_mut().expect("put").position = None;
        if !made {
            case.truth = before;
        }
        let verdict = case.end(1500.0);
        sound(&verdict);
        assert_eq!(verdict.unanswered, 1);
    }
}

#[test]
fn a_page_that_is_of_no_part_in_force_is_accused() {
    let lines = |case: &Case, sender| -> BTreeMap<u32, Stamp> {
        case.due(sender).into_iter().map(|(destination, (_, stamp))| (destination, stamp)).collect()
    };
    for (half, revision, breach) in
        [(false, 9, None), (true, 9, Some(Breach::OtherPage)), (false, 7, Some(Breach::StepBack))]
    {
        let mut case = Case::new();
        let (_, one, _) = pair(0);
        let mut page = lines(&case, 0);
        let (sender, asked_ms, at_ms) = (0, 199.0, 200.0);
        case.history.pages.push(PageSeen { sender, asked_ms, at_ms, revision: 8, lines: page.clone() });
        if half {
            page.remove(&one);
        }
        let (asked_ms, at_ms) = (299.0, 300.0);
        case.history.pages.push(PageSeen { sender, asked_ms, at_ms, revision, lines: page });
        let verdict = case.end(1000.0);
        match breach {
            Some(breach) => accused(&verdict, breach),
            None => sound(&verdict),
        }
    }
}

/// One that was answered between two looks, as by a process that was stopped meanwhile: its shards are judged one by one.
#[test]
fn a_page_between_two_looks_is_judged_by_its_shards() {
    for (whole, breach) in [(true, vec![]), (false, vec![Breach::OtherPage])] {
        let mut case = Case::new();
        let ((_, one, other), (_, third, _)) = (pair(0), pair(1));
        let stamps = |lines: BTreeMap<u32, (u64, Stamp)>| -> BTreeMap<u32, Stamp> {
            lines.into_iter().map(|(destination, (_, stamp))| (destination, stamp)).collect()
        };
        case.put(500.0, one);
        let mut lines = stamps(case.due(1));
        case.put(510.0, third);
        if !whole {
            lines.remove(&other);
        }
        let (sender, revision) = (1, 9);
        case.history.pages.push(PageSeen { sender, asked_ms: 400.0, at_ms: 600.0, revision, lines });
        let verdict = case.end(1000.0);
        assert_eq!(breaches(&verdict), breach, "{:#?}", verdict.accusations);
    }
}

/// Two shards go and another comes between two looks at the agent: what the daemon has lies between, or not.
#[test]
fn a_daemon_between_two_looks_has_something_between() {
    for (size, breach) in [(2, vec![]), (3, vec![]), (4, vec![]), (1, vec![Breach::OtherDaemon])] {
        let mut case = Case::new();
        let (shard, ..) = pair(0);
        case.owners.insert(shard, vec![0, 2]);
        case.owners(500.0);
        case.history.sizes.push(SizeSeen { sender: 1, at_ms: 600.0, size });
        case.history.sizes.push(SizeSeen { sender: 1, at_ms: 700.0, size: 2 });
        case.look(610.0);
        let verdict = case.end(1000.0);
        assert_eq!(breaches(&verdict), breach, "{:#?}", verdict.accusations);
    }
}

/// Taken away and given back between two looks at the owners: whoever joins is appended, so the order is the witness.
#[test]
fn an_owner_that_went_and_came_back_between_two_looks_is_seen_by_its_place() {
    for (owners, breach) in [(vec![0, 1], vec![Breach::LostShard]), (vec![1, 0], vec![])] {
        let mut case = Case::new();
        let (shard, ..) = pair(0);
        case.owners(400.0);
        let mut lines = case.due(0);
        lines.retain(|destination, _| shard_of(*destination, SHARDS) != shard);
        case.part(500.0, 0, lines);
        case.owners.insert(shard, owners);
        case.owners(600.0);
        let verdict = case.end(1000.0);
        assert_eq!(breaches(&verdict), breach, "{:#?}", verdict.accusations);
    }
}

/// The older of two controllers took a shard away; it was asked only after another look at the newer one.
#[test]
fn the_controller_that_a_part_follows_is_the_witness() {
    let mut case = Case::new();
    let (shard, ..) = pair(0);
    let fork = case.revision;
    case.promote(500.0, 1, 2, fork + 1, 1);
    case.owners(520.0);
    let mut lines = case.due(1);
    lines.retain(|destination, _| shard_of(*destination, SHARDS) != shard);
    case.part(600.0, 1, lines).position = Some(at(1, fork + 2));
    case.owners(650.0);
    let moved = BTreeMap::from([(0, vec![0, 2]), (1, vec![1, 2])]);
    let (position, asked_ms, at_ms, until_ms) = (at(1, fork + 3), 680.0, 690.0, 690.0);
    case.history.owners.push(OwnersSeen { asked_ms, at_ms, until_ms, position, owners: moved });
    let verdict = case.end(1000.0);
    sound(&verdict);
    assert_eq!(verdict.unwitnessed, 0);
}

#[test]
fn a_daemon_that_runs_on_something_else_is_accused() {
    let mut case = Case::new();
    case.history.sizes.push(SizeSeen { sender: 0, at_ms: 90.0, size: 0 });
    case.history.sizes.push(SizeSeen { sender: 0, at_ms: 400.0, size: 2 });
    let (_, one, _) = pair(0);
    let slot = case.truth[&one].1 % SLOTS;
    case.history.calls.push(CallSeen { sender: 0, at_ms: 500.0, destination: one, slot });
    let mut other = Case::new();
    other.history.sizes.push(SizeSeen { sender: 0, at_ms: 400.0, size: 1 });
    other.history.sizes.push(SizeSeen { sender: 0, at_ms: 500.0, size: 2 });
    let mut third = Case::new();
    third.history.calls.push(CallSeen { sender: 0, at_ms: 500.0, destination: one, slot: slot + 1 });
    sound(&case.end(1000.0));
    accused(&other.end(1000.0), Breach::OtherDaemon);
    accused(&third.end(1000.0), Breach::OtherDaemon);
}

#[test]
fn an_end_at_which_parts_differ_is_accused() {
    let mut case = Case::new();
    let (_, one, _) = pair(0);
    let (before, was) = (case.due(0), case.revision);
    case.put(1000.0, one);
    case.owners(1500.0);
    for sender in 1..3 {
        let due = case.due(sender);
        case.part(1500.0, sender, due);
    }
    case.part(1500.0, 0, before).position = Some(at(1, was));
    case.history.ended_ms = 1500.0;
    accused(&check(&case.history, Bounds::default()), Breach::Unsettled);
}

#[test]
fn a_destination_without_its_two_owners_is_accused() {
    for owners in [vec![0], vec![0, 1, 2], vec![0, 7]] {
        let mut case = Case::new();
        case.owners.insert(0, owners);
        let found = breaches(&case.end(1000.0));
        assert!(found.contains(&Breach::LacksOwners), "{found:?}");
    }
}

#[test]
fn it_takes_too_long_after_the_faults() {
    for (ms, well) in [(31_000.0, true), (33_000.0, false)] {
        let mut case = Case::new();
        let (shard, ..) = pair(1);
        case.turn(2000.0, Turn::Healed);
        // Not a change that is late: the one who has to let go can't be reached.
        for relay in [0, 1, 2].map(Process::Control) {
            case.turn(500.0, Turn::Line { from: Process::Agent(1), to: relay, open: false });
        }
        let was = case.due(1);
        case.owners.insert(shard, vec![0, 2]);
        case.owners(1000.0);
        for sender in [0, 2] {
            let due = case.due(sender);
            case.part(1100.0, sender, due);
        }
        let before = case.revision - 1;
        case.part(1100.0, 1, was).position = Some(at(1, before));
        case.history.turns.sort_by(|a, b| a.0.total_cmp(&b.0));
        let due = case.due(1);
        case.turn(ms - 2000.0, Turn::Line { from: Process::Agent(1), to: Process::Control(0), open: true });
        case.part(ms, 1, due);
        let verdict = case.end(ms + 500.0);
        if well { sound(&verdict) } else { accused(&verdict, Breach::Unsettled) }
    }
}

#[test]
fn a_process_that_ended_by_itself_is_accused() {
    let mut case = Case::new();
    case.history.crashes.push((500.0, Process::Agent(1), "signal 6".into()));
    accused(&case.end(1000.0), Breach::Crash);
}
