//! Which requests get memory, and which are ended for others.

use indigomast::time::{Moment, Span};
use indigomast_admission::{ConnectionNumber, MemoryBudget, StallSettings, StalledRequests};

fn at(millis: f64) -> Moment {
    Moment::from_millis(millis)
}

/// Guards against memory that is held beyond the budget, or not given back.
#[test]
fn reservations_never_exceed_the_budget_and_go_back() {
    let budget = MemoryBudget::new(100);
    let mut first = budget.reserve(60).expect("there is room");
    assert!(budget.reserve(41).is_none());
    assert!(!first.resize(101));
    assert_eq!((first.bytes(), budget.used(), budget.refused()), (60, 60, 2));
    assert!(first.resize(100) && first.resize(30));
    let second = budget.reserve(70).expect("there is room again");
    let moved = first.take();
    drop(first);
    assert_eq!((budget.used(), budget.peak()), (100, 100));
    drop((moved, second));
    assert_eq!(budget.used(), 0);
}

/// A reservation is given back when its holder panics.
#[test]
fn a_panic_gives_its_reservation_back() {
    let budget = MemoryBudget::new(10);
    let own = budget.clone();
    let ended = std::thread::spawn(move || {
        let _held = own.reserve(10).expect("there is room");
        panic!("as a connection's thread may");
    });
    assert!(ended.join().is_err());
    assert_eq!(budget.used(), 0);
}

/// Guards against a request that never ends and keeps its memory from others: the longest goes first, and unproven clients
/// before those whose texts were taken on.
#[test]
fn the_request_that_stalls_longest_is_ended_and_no_young_one() {
    let (proven, unproven) = (Span::millis(500), Span::millis(20));
    let mut requests = StalledRequests::new(StallSettings { proven, unproven });
    requests.insert(ConnectionNumber(1), at(0.0), true);
    requests.insert(ConnectionNumber(2), at(400.0), false);
    requests.insert(ConnectionNumber(3), at(390.0), false);
    requests.insert(ConnectionNumber(4), at(595.0), false);
    assert_eq!(requests.evict(at(405.0)), None);
    assert_eq!(requests.evict(at(410.0)), Some(ConnectionNumber(3)));
    assert_eq!(requests.evict(at(419.0)), None);
    requests.remove(ConnectionNumber(2));
    assert_eq!(requests.evict(at(499.0)), None);
    // The young one that would go first is too young, and the next may go.
    assert_eq!(requests.evict(at(600.0)), Some(ConnectionNumber(1)));
    assert_eq!(requests.evict(at(600.0)), None);
    assert_eq!(requests.evict(at(615.0)), Some(ConnectionNumber(4)));
}
