//! Tests until when a list of endpoints may be used, for each rule on when a change counts as announced.

use indigomast::list_lease::{LeaseSettings, ListLease, QueryFailure, Subscription};
use indigomast::time::{Moment, Span};

const GRACE: f64 = 800.0;

fn at(millis: f64) -> Moment {
    Moment::from_millis(100_000.0 + millis)
}

fn settings(subscription: Subscription) -> LeaseSettings {
    LeaseSettings { subscription, max_poll_interval: Span::millis(10_000), drain_grace: Span::millis(1_000) }
}

fn lease(subscription: Subscription) -> ListLease {
    ListLease::new(settings(subscription), at(0.0), at(0.0), false)
}

#[track_caller]
fn assert_valid_until(lease: &ListLease, now: f64, until: f64) {
    assert_eq!(lease.valid_until(at(now)), Some(at(until)));
}

#[test]
fn a_sender_that_polls_holds_its_list_for_as_long_as_it_may_go_without_asking() {
    let mut lease = lease(Subscription::Polls);
    assert_valid_until(&lease, 100.0, 10_000.0 + GRACE);
    lease.record_answer(at(4_400.0));
    assert_valid_until(&lease, 4_500.0, 14_400.0 + GRACE);
}

#[test]
fn after_a_failed_question_a_change_counts_6_s_after_it_was_made() {
    let mut lease = lease(Subscription::Polls);
    lease.record_answer(at(4_400.0));
    for failure in [QueryFailure::Refused, QueryFailure::Silent] {
        lease.record_failure(at(8_900.0), failure);
        assert_valid_until(&lease, 8_900.0, 10_400.0 + GRACE);
    }
    lease.record_answer(at(13_000.0));
    assert_valid_until(&lease, 13_100.0, 23_000.0 + GRACE);
}

#[test]
fn a_watch_renews_the_list_by_each_answer_only() {
    let mut lease = lease(Subscription::Watches);
    assert_valid_until(&lease, 100.0, 6_000.0 + GRACE);
    lease.record_failure(at(5_200.0), QueryFailure::Silent);
    assert_valid_until(&lease, 5_200.0, 6_000.0 + GRACE);
    lease.record_answer(at(5_300.0));
    assert_valid_until(&lease, 5_400.0, 11_300.0 + GRACE);
}

#[test]
fn a_list_that_was_old_when_the_process_began_stays_so_once_a_question_failed() {
    let mut lease = ListLease::new(settings(Subscription::Polls), at(0.0), at(-5_000.0), false);
    assert_valid_until(&lease, 10.0, 5_000.0 + GRACE);
    lease.record_failure(at(200.0), QueryFailure::Refused);
    assert_valid_until(&lease, 200.0, 1_000.0 + GRACE);
    let after_failed_query = ListLease::new(settings(Subscription::Polls), at(0.0), at(-5_000.0), true);
    assert_valid_until(&after_failed_query, 10.0, 1_000.0 + GRACE);
}

#[test]
fn nothing_is_told_while_nobody_listens() {
    let mut lease = lease(Subscription::Watches);
    for second in 1..60 {
        let now = f64::from(second) * 1_000.0;
        lease.record_failure(at(now), QueryFailure::Unreachable);
        assert!(lease.valid_until(at(now)).is_none_or(|until| until >= at(now + 6_000.0)));
    }
}

/// Discovery is back and rejects all queries: its changes count from the last moment at which it was
/// unreachable.
#[test]
fn the_time_runs_again_once_somebody_listens() {
    let mut lease = lease(Subscription::Watches);
    lease.record_failure(at(4_000.0), QueryFailure::Unreachable);
    lease.record_failure(at(4_500.0), QueryFailure::Refused);
    assert_valid_until(&lease, 4_500.0, 10_000.0 + GRACE);
}

#[test]
fn discovery_passes_for_down_once_all_questions_failed_for_long() {
    let mut lease = lease(Subscription::Watches);
    lease.record_failure(at(500.0), QueryFailure::Refused);
    assert!(lease.valid_until(at(16_000.0)).is_some(), "a single failure does not make discovery down");
    lease.record_failure(at(15_900.0), QueryFailure::Refused);
    assert!(lease.valid_until(at(15_999.0)).is_some());
    assert!(lease.valid_until(at(16_000.0)).is_none());
    lease.record_answer(at(16_500.0));
    assert_valid_until(&lease, 16_600.0, 22_500.0 + GRACE);
}

#[test]
fn what_an_agent_has_counts_at_once_unless_a_watch_is_open() {
    let mut lease = lease(Subscription::Pushed);
    assert_valid_until(&lease, 10.0, GRACE);
    lease.record_answer(at(20.0));
    assert_valid_until(&lease, 30.0, 6_020.0 + GRACE);
    lease.record_failure(at(3_000.0), QueryFailure::Refused);
    lease.record_failure(at(3_500.0), QueryFailure::Refused);
    assert_valid_until(&lease, 3_500.0, 3_000.0 + GRACE);
}

#[test]
fn a_source_that_moved_tells_within_4_s() {
    let mut lease = lease(Subscription::Polls);
    lease.record_answer(at(4_400.0));
    lease.record_source_change(at(5_000.0));
    assert_valid_until(&lease, 5_100.0, 9_000.0 + GRACE);
    lease.record_answer(at(4_900.0));
    assert_valid_until(&lease, 5_200.0, 9_000.0 + GRACE);
    lease.record_answer(at(5_300.0));
    assert_valid_until(&lease, 5_400.0, 15_300.0 + GRACE);
}

/// If the drain grace is shorter than the reserved part of it, the list is valid until the change counts and
/// no longer.
#[test]
fn a_short_grace_is_not_overdrawn() {
    let short = LeaseSettings { drain_grace: Span::millis(100), ..settings(Subscription::Watches) };
    let lease = ListLease::new(short, at(0.0), at(0.0), false);
    assert_valid_until(&lease, 10.0, 6_000.0);
}
