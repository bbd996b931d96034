//! The small form of `indigomast lab assignment --day`: some minutes of restarts, a machine gone for good and replaced.

use indigomast::time::Span;
use indigomast_assignment::budget::SENDER_MOST_IN_10_S;
use indigomast_assignment::day::{self, Day};
use indigomast_assignment::panel::Report;
use indigomast_assignment::rehearsal::{Node, Plan, World, line_of};

fn play(seed: u64, changes_a_second: f64) -> Report {
    // Destinations and shards to a sender as with 16,000 senders and 1.1 million destinations.
    let mut plan =
        Plan { senders: 20, destinations: 1375, relays: 10, regions: 5, zones: 10, ..Plan::small(seed) };
    plan.settings.shards = 164;
    let day = Day {
        length: Span::millis(240_000),
        restarts: 20,
        lost: 1,
        replaced_after: Span::millis(40_000),
        changes_a_second,
    };
    day::play(plan, &day, || 0, &mut |_| {})
}

#[test]
fn restarts_move_nothing_and_lost_machines_the_least() {
    for seed in [1, 2] {
        let report = play(seed, 2.0);
        assert!(report.broken.is_empty(), "seed {seed}: {:?}", report.broken);
        let day = report.cases.last().expect("the day");
        assert!(day.seconds >= 240.0 && day.changes > 400, "{day:?}");
        assert_eq!((day.unfinished, day.over_10_s, day.snapshots), (0, 0, 1), "seed {seed}: {day:?}");
        assert!(day.resumed >= 20, "seed {seed}: {day:?}");
        assert!(day.sender_most_in_10_s <= SENDER_MOST_IN_10_S, "seed {seed}: {day:?}");
        let [restarts, lost, replaced, shed] = &report.moves[..] else { panic!("{:?}", report.moves) };
        assert_eq!((restarts.moved, restarts.beyond_bound), (0, 0), "seed {seed}: {restarts:?}");
        assert_eq!(lost.moved, lost.least as u64, "seed {seed}: {lost:?}");
        // Its number comes back, so what it had does, or less where others are the better now.
        assert!((1..=replaced.least as u64 * 2).contains(&replaced.moved), "seed {seed}: {replaced:?}");
        assert_eq!(
            day.moved,
            lost.moved + replaced.moved + shed.moved,
            "seed {seed}: each move is put down to one of them"
        );
    }
}

#[test]
fn a_change_counts_as_in_force_once_an_owner_that_was_away_has_it() {
    let mut world = World::new(Plan::small(1));
    world.start_relays();
    world.run(Span::millis(5000));
    world.start_senders();
    world.run(Span::millis(15_000));
    let mut parts = world.sender(5).part().shards.values().flat_map(|shard| &shard.entries);
    let destination = parts.next().expect("it has some").destination;
    world.mark();
    world.kill(Node::Sender(5));
    world.awaits(5);
    world.change(line_of(destination, 1, 1));
    world.run(Span::millis(3000));
    assert_eq!(world.account("").unfinished, 0, "all that run have it");
    world.start(Node::Sender(5));
    assert_eq!(world.account("").unfinished, 1, "it is back and has yet to hear of it");
    world.run_until_in_force(Span::millis(10_000));
    let back = world.account("");
    assert_eq!((back.changes, back.unfinished), (1, 0), "{back:?}");
    assert!(back.in_force_s.most < 3.0, "its absence doesn't count: {back:?}");
}
