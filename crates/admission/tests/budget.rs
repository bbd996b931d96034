//! Descriptors never leak and never exceed the budget.

use indigomast_admission::{Budget, Purpose, Shares, Token};
use proptest::prelude::*;
use std::thread;

const ALL: [Purpose; 4] = [Purpose::Client, Purpose::Accept, Purpose::Gateway, Purpose::Internal];

fn shares() -> Shares {
    Shares::new(|purpose| match purpose {
        Purpose::Client => (8, 20),
        Purpose::Accept => (2, 4),
        Purpose::Gateway => (6, 14),
        Purpose::Internal => (4, 4),
    })
}

#[test]
fn neither_the_door_nor_the_gateways_can_starve_the_other() {
    for (greedy, other, most, sure) in
        [(Purpose::Gateway, Purpose::Client, 14, 8), (Purpose::Client, Purpose::Gateway, 18, 6)]
    {
        let budget = Budget::new(30, shares());
        let held: Vec<Token> = std::iter::from_fn(|| budget.acquire(greedy)).collect();
        assert_eq!(held.len(), most);
        let others: Vec<Token> = std::iter::from_fn(|| budget.acquire(other)).collect();
        assert!(others.len() >= sure, "{other:?} got {} of {sure}", others.len());
        assert!(budget.acquire(Purpose::Internal).is_some() && budget.refused(greedy) == 1);
    }
}

#[test]
fn a_token_moves_only_where_there_is_room_and_never_doubles() {
    let budget = Budget::new(30, shares());
    let mut accepting: Vec<Token> = (0..4).filter_map(|_| budget.acquire(Purpose::Accept)).collect();
    assert_eq!(accepting.len(), 4);
    let token = accepting.pop().expect("four").transfer(Purpose::Client).expect("there is room");
    assert_eq!((budget.used(Purpose::Accept), budget.used(Purpose::Client)), (3, 1));
    drop(token);
    let _clients: Vec<Token> = std::iter::from_fn(|| budget.acquire(Purpose::Client)).collect();
    // One above the queue's own share may go over to the clients, and the next would break a promise.
    let _one =
        accepting.pop().expect("three").transfer(Purpose::Client).expect("the queue has more than its share");
    let back = accepting.pop().expect("two").transfer(Purpose::Client).expect_err("no room");
    assert_eq!(back.purpose(), Purpose::Accept);
    drop(back);
    assert_eq!(budget.used(Purpose::Accept), 1);
}

#[test]
fn a_token_comes_back_from_a_thread_that_panics() {
    let budget = Budget::new(30, shares());
    let token = budget.acquire(Purpose::Client).expect("room");
    let panicked = thread::spawn(move || {
        let _held = token;
        std::panic::resume_unwind(Box::new("ends badly"));
    });
    assert!(panicked.join().is_err());
    assert_eq!(budget.total_used(), 0);
}

#[test]
#[should_panic(expected = "31 descriptors are promised of 30")]
fn more_than_there_is_can_not_be_promised() {
    Budget::new(30, Shares::new(|purpose| if purpose == Purpose::Client { (31, 31) } else { (0, 0) }));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_history_leaks_exceeds_or_breaks_a_promise(deeds in prop::collection::vec((0u8..3, 0usize..4, any::<u16>()), 0..600)) {
        let budget = Budget::new(30, shares());
        let mut held: Vec<Token> = Vec::new();
        for (deed, purpose, which) in deeds {
            let purpose = ALL[purpose];
            match deed {
                0 => held.extend(budget.acquire(purpose)),
                1 if !held.is_empty() => drop(held.swap_remove(which as usize % held.len())),
                2 if !held.is_empty() => {
                    let token = held.swap_remove(which as usize % held.len());
                    held.push(token.transfer(purpose).unwrap_or_else(|same| same));
                }
                _ => {}
            }
            prop_assert_eq!(budget.total_used(), held.len());
            prop_assert!(held.len() <= 30);
            for (at, purpose) in ALL.into_iter().enumerate() {
                let own = held.iter().filter(|token| token.purpose() == purpose).count();
                prop_assert_eq!(budget.used(purpose), own);
                prop_assert!(own <= shares().max[at]);
                // Whoever has less than its sure share gets one, whatever the others hold.
                if own < shares().guaranteed[at] {
                    let sure = budget.acquire(purpose);
                    prop_assert!(sure.is_some(), "{:?} has {} and gets none", purpose, own);
                }
            }
        }
        held.clear();
        prop_assert_eq!(budget.total_used(), 0);
    }
}
