use super::*;

#[test]
fn a_process_over_its_share_stands_still_until_it_is_within_again() {
    let mut debt = Debt { used: 5.0, owed: 0.0 };
    let tenth = Duration::from_millis(100);
    // What it used in all, whether it owes; at a fifth of a core a tenth of a second earns 20 ms.
    for (used, owes) in [(5.01, false), (5.05, true), (5.05, false), (5.05, false), (5.09, true)] {
        assert_eq!(debt.is_owed(used, tenth, 0.2), owes, "{used}");
    }
    // However long it rested, no more than a little is saved up.
    assert!(!debt.is_owed(5.09, Duration::from_secs(60), 0.2));
    assert!(debt.is_owed(5.13, tenth, 0.2));
}
