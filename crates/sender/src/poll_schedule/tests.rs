use super::*;

const TERM: Duration = Duration::from_secs(10);

/// The most questions that a fleet asks in any second of a minute, where every one is answered `after` so long.
fn busiest_second(senders: usize, after: Duration, well: bool) -> usize {
    let start = Instant::now();
    let mut asked: Vec<Duration> = Vec::new();
    for number in 0..senders {
        let (mut schedule, mut now) = (PollSchedule::new(start, number, senders, TERM), start);
        while now < start + Duration::from_secs(60) {
            now += schedule.wait(now);
            asked.push(now - start);
            schedule.asks(now);
            now += after;
            schedule.answered(well);
        }
    }
    asked.sort();
    let within =
        |from: Duration| asked.iter().filter(|at| (from..from + Duration::from_secs(1)).contains(at)).count();
    asked.iter().map(|from| within(*from)).max().unwrap_or(0)
}

#[test]
fn a_fleet_asks_no_more_in_any_second_than_its_settings_ask_of_it() {
    for senders in [100, 300] {
        // Answered at once, as while the list changes all the time, and turned away at once: the two storms.
        for (after, well) in [(1, true), (70, false), (2000, false)] {
            let most = busiest_second(senders, Duration::from_millis(after), well);
            let wanted = senders as f64 / (TERM.as_secs_f64() * PART_OF_TERM);
            assert!(most as f64 <= wanted + 2.0, "{senders} senders: {most} in a second");
        }
    }
}

#[test]
fn a_sender_never_goes_longer_without_a_question_than_it_may() {
    for senders in [1, 3, 40, 100, 300, 5000] {
        for number in [0, senders / 2, senders - 1] {
            let mut now = Instant::now();
            let mut schedule = PollSchedule::new(now, number, senders, TERM);
            // Also where discovery answers nobody for long.
            for turn in 0..20 {
                let wait = schedule.wait(now);
                assert!(wait < TERM, "{senders} senders: {wait:?} without a question");
                now += wait;
                schedule.asks(now);
                schedule.answered(turn % 10 < 2);
            }
        }
    }
}

#[test]
fn few_senders_ask_again_as_soon_as_they_are_answered() {
    let now = Instant::now();
    let mut schedule = PollSchedule::new(now, 1, 3, TERM);
    assert!(schedule.wait(now).is_zero());
    schedule.asks(now);
    assert!(schedule.watches() && schedule.wait(now).is_zero());
    assert!(!PollSchedule::new(now, 1, 100, TERM).watches());
}

#[test]
fn a_list_that_moved_is_asked_for_soon_and_in_turns() {
    let now = Instant::now();
    let waits: Vec<Duration> = (0..100)
        .map(|number| {
            let mut schedule = PollSchedule::new(now, number, 100, TERM);
            schedule.asks(now);
            schedule.renewed(now, TERM);
            schedule.wait(now)
        })
        .collect();
    assert!(waits.iter().all(|wait| *wait < Duration::from_secs(2)));
    assert!(waits.windows(2).all(|two| two[1] - two[0] >= Duration::from_millis(19)));
}
