//! Crowds, offenders and tills against the places for clients.

use indigomast::time::{Moment, Span};
use indigomast_admission::*;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

fn at(ms: f64) -> Moment {
    Moment::from_millis(ms)
}

fn address(n: u32) -> IpAddr {
    IpAddr::from(Ipv4Addr::from(0x7f00_0000 + n))
}

fn settings() -> Settings {
    Settings {
        places: 100,
        reserve: 20,
        per_address: 30,
        per_prefix: 60,
        new_a_second: 0.0,
        new_at_once: 50.0,
        reading: 0,
        known_for: Span::millis(600_000),
        addresses: 1000,
        pause: Span::millis(500),
        ..Settings::default()
    }
}

struct Crowd {
    connections: Connections,
    next: u64,
}

impl Crowd {
    fn of(settings: Settings) -> Crowd {
        Crowd { connections: Connections::new(settings), next: 0 }
    }

    fn comes(&mut self, ms: f64, from: u32, worth: Worth) -> (Number, Answer) {
        self.next += 1;
        let number = Number(self.next);
        let event = Event::Comes { number, address: address(from), worth };
        (number, self.connections.step(at(ms), event))
    }

    fn tell(&mut self, ms: f64, event: Event) {
        assert_eq!(self.connections.step(at(ms), event), Answer::Nothing);
    }

    /// Connects, hands in a text that is taken on, and rests.
    fn till(&mut self, ms: f64, from: u32) -> (Number, Answer) {
        let (number, answer) = self.comes(ms, from, Worth::Unknown);
        if matches!(answer, Answer::Seated { .. }) {
            self.tell(ms, Event::Enters { number, state: State::Answered });
            self.tell(ms, Event::HandedIn { number });
            self.tell(ms, Event::Enters { number, state: State::Resting });
        }
        (number, answer)
    }
}

fn seated(answer: Answer) -> bool {
    matches!(answer, Answer::Seated { .. })
}

#[test]
fn one_office_with_thousands_of_connections_leaves_room_for_tills_elsewhere() {
    let mut crowd = Crowd::of(settings());
    let taken = (0..5000).filter(|_| seated(crowd.comes(0.0, 7, Worth::Unknown).1)).count();
    assert_eq!(taken, 30, "as many as an address may hold");
    for till in 0..60 {
        assert!(seated(crowd.till(10.0, 1000 + till * 300).1), "till {till}");
    }
}

#[test]
fn many_strangers_leave_the_reserve_to_those_who_are_known() {
    let mut crowd = Crowd::of(settings());
    let (till, _) = crowd.till(0.0, 1);
    crowd.tell(1.0, Event::Ended { number: till });
    let taken = (0..5000).filter(|n| seated(crowd.comes(10.0, 1000 + n * 300, Worth::Unknown).1)).count();
    assert_eq!(taken, 80);
    assert_eq!(crowd.comes(11.0, 999_999, Worth::Unknown).1, Answer::TurnedAway(Reason::Reserved));
    for _ in 0..20 {
        assert_eq!(crowd.comes(12.0, 1, Worth::Unknown).1, Answer::Seated { instead_of: None });
    }
    // Beyond the reserve a known client takes the place of a stranger that has shown nothing.
    let (_, answer) = crowd.comes(13.0, 1, Worth::Unknown);
    assert!(matches!(answer, Answer::Seated { instead_of: Some(_) }), "{answer:?}");
}

#[test]
fn a_new_till_becomes_known_in_a_storm_by_what_it_hands_in() {
    let mut crowd = Crowd::of(settings());
    for n in 0..80 {
        crowd.comes(0.0, 1000 + n * 300, Worth::Unknown);
    }
    let (_, answer) = crowd.comes(1.0, 5, Worth::Unknown);
    assert_eq!(answer, Answer::TurnedAway(Reason::Reserved));
    // In the accept queue its text is seen, and one that said nothing so far goes.
    let (number, answer) = crowd.comes(2.0, 5, Worth::Text);
    assert_eq!(answer, Answer::Seated { instead_of: Some(Number(1)) });
    crowd.tell(3.0, Event::Enters { number, state: State::Answered });
    crowd.tell(3.0, Event::HandedIn { number });
    assert!(seated(crowd.comes(4.0, 5, Worth::Unknown).1));
}

#[test]
fn behind_one_address_what_says_nothing_makes_room_for_tills() {
    let mut crowd = Crowd::of(settings());
    let tills: Vec<Number> = (0..10).map(|_| crowd.till(0.0, 9).0).collect();
    for _ in 0..500 {
        crowd.comes(5.0, 9, Worth::Unknown);
    }
    assert!(tills.iter().all(|till| !crowd.connections.is_leaving(*till)), "those that work stay");
    let (_, answer) = crowd.comes(6.0, 9, Worth::Text);
    assert!(
        matches!(answer, Answer::Seated { instead_of: Some(least) } if !tills.contains(&least)),
        "{answer:?}"
    );
    assert_eq!(crowd.connections.open().0, 30);
}

#[test]
fn an_address_may_open_so_many_a_second() {
    let mut crowd = Crowd::of(Settings { new_a_second: 10.0, new_at_once: 5.0, ..settings() });
    let mut taken = 0;
    for n in 0..200 {
        let (number, answer) = crowd.comes(f64::from(n) * 10.0, 3, Worth::Unknown);
        if seated(answer) {
            taken += 1;
            crowd.tell(f64::from(n) * 10.0, Event::Ended { number });
        } else {
            assert_eq!(answer, Answer::TurnedAway(Reason::Pace));
        }
    }
    assert!((24..=25).contains(&taken), "{taken}");
    assert!(seated(crowd.comes(2000.0, 4, Worth::Unknown).1), "others have a pace of their own");
}

#[test]
fn requests_that_are_being_read_are_bounded_for_each_address() {
    let mut crowd = Crowd::of(Settings { reading: 4, ..settings() });
    let first: Vec<_> = (0..4).map(|_| crowd.comes(0.0, 3, Worth::Unknown).0).collect();
    assert_eq!(crowd.comes(0.0, 3, Worth::Unknown).1, Answer::TurnedAway(Reason::Reading));
    crowd.tell(1.0, Event::Enters { number: first[0], state: State::Answered });
    assert!(seated(crowd.comes(2.0, 3, Worth::Unknown).1));
    assert!(seated(crowd.comes(2.0, 4, Worth::Unknown).1));
}

#[test]
fn a_prefix_counts_its_addresses_together_but_spares_the_known() {
    let mut crowd = Crowd::of(settings());
    let (till, _) = crowd.till(0.0, 256 + 200);
    crowd.tell(0.0, Event::Ended { number: till });
    let taken = (0..200).filter(|n| seated(crowd.comes(1.0, 256 + n, Worth::Unknown).1)).count();
    assert_eq!(taken, 60);
    assert_eq!(crowd.comes(1.0, 256 + 7, Worth::Unknown).1, Answer::TurnedAway(Reason::Prefix));
    assert!(seated(crowd.comes(2.0, 256 + 200, Worth::Unknown).1));
    assert!(seated(crowd.comes(2.0, 1024, Worth::Unknown).1));
}

#[test]
fn those_named_in_the_settings_are_known_from_the_start() {
    let named = vec!["127.0.9.0/24".parse().expect("a network")];
    let mut crowd = Crowd::of(Settings { named, ..settings() });
    for n in 0..80 {
        crowd.comes(0.0, 70_000 + n * 300, Worth::Unknown);
    }
    assert!(seated(crowd.comes(1.0, 9 * 256 + 4, Worth::Unknown).1));
    assert!(!seated(crowd.comes(1.0, 8 * 256 + 4, Worth::Unknown).1));
}

#[test]
fn the_order_in_which_they_go_is_that_of_their_worth() {
    let mut crowd =
        Crowd::of(Settings { places: 5, reserve: 0, per_address: 0, per_prefix: 0, ..settings() });
    let states = [State::Answered, State::Asking, State::Resting, State::Curious, State::Unproven];
    let numbers: Vec<Number> = states
        .iter()
        .map(|state| {
            let (number, _) = crowd.comes(0.0, 1, Worth::Unknown);
            if *state == State::Asking {
                crowd.tell(0.0, Event::Enters { number, state: State::Answered });
            }
            crowd.tell(0.0, Event::Enters { number, state: *state });
            number
        })
        .collect();
    assert_eq!(crowd.comes(10.0, 2, Worth::Unknown).1, Answer::TurnedAway(Reason::Full));
    for at in [4, 3, 2] {
        assert_eq!(crowd.comes(10.0, 2, Worth::Text).1, Answer::Seated { instead_of: Some(numbers[at]) });
        // Who just came is worth no more until it has asked.
        let (newest, _) = (Number(crowd.next), ());
        crowd.tell(10.0, Event::Enters { number: newest, state: State::Answered });
    }
    assert_eq!(crowd.comes(10.0, 2, Worth::Text).1, Answer::TurnedAway(Reason::Full), "it asked just now");
    assert_eq!(crowd.comes(600.0, 2, Worth::Text).1, Answer::Seated { instead_of: Some(numbers[1]) });
    assert_eq!(crowd.connections.busy(), 4);
}

#[test]
fn a_connection_that_was_told_to_go_gives_its_place_once() {
    let mut crowd =
        Crowd::of(Settings { places: 1, reserve: 0, per_address: 0, per_prefix: 0, ..settings() });
    let (first, _) = crowd.comes(0.0, 1, Worth::Unknown);
    let (second, answer) = crowd.comes(1.0, 2, Worth::Text);
    assert_eq!(answer, Answer::Seated { instead_of: Some(first) });
    assert!(crowd.connections.is_leaving(first));
    crowd.tell(2.0, Event::Enters { number: first, state: State::Answered });
    crowd.tell(3.0, Event::Ended { number: first });
    assert_eq!(crowd.connections.open(), (1, 0));
    crowd.tell(4.0, Event::Ended { number: second });
    crowd.tell(4.0, Event::Ended { number: second });
    assert_eq!(crowd.connections.open(), (0, 0));
}

#[derive(Clone, Debug)]
enum Deed {
    Comes(u8, u8),
    Enters(u8, u8),
    HandsIn(u8),
    Ends(u8),
}

fn deeds() -> impl Strategy<Value = Vec<Deed>> {
    let deed = prop_oneof![
        4 => (0u8..40, 0u8..3).prop_map(|(from, worth)| Deed::Comes(from, worth)),
        3 => (any::<u8>(), 0u8..6).prop_map(|(which, state)| Deed::Enters(which, state)),
        1 => any::<u8>().prop_map(Deed::HandsIn),
        2 => any::<u8>().prop_map(Deed::Ends),
    ];
    prop::collection::vec(deed, 0..400)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]

    /// Against a model that counts by hand: no bound is ever passed, nobody goes who works, counts come back to zero.
    #[test]
    fn bounds_hold_over_random_histories(deeds in deeds()) {
        let settings = Settings { places: 12, reserve: 4, per_address: 4, per_prefix: 9, ..settings() };
        let mut crowd = Crowd::of(settings);
        let mut held: BTreeMap<Number, (u32, bool)> = BTreeMap::new();
        let mut all: Vec<Number> = Vec::new();
        let states = [
            State::Parting, State::Unproven, State::Curious, State::Resting, State::Asking, State::Answered,
        ];
        for (n, deed) in deeds.into_iter().enumerate() {
            let ms = n as f64 * 10.0;
            let pick = |which: u8, list: &[Number]| list.get(which as usize % list.len().max(1)).copied();
            match deed {
                Deed::Comes(from, worth) => {
                    let worth = [Worth::Unknown, Worth::Question, Worth::Text][worth as usize];
                    let (number, answer) = crowd.comes(ms, u32::from(from) * 100, worth);
                    if let Answer::Seated { instead_of } = answer {
                        if let Some(gone) = instead_of {
                            let (_, answered) = held.remove(&gone).expect("one that holds a place makes room");
                            prop_assert!(!answered, "a request that is being answered is not cut off");
                        }
                        held.insert(number, (u32::from(from), false));
                        all.push(number);
                    }
                }
                Deed::Enters(which, state) => if let Some(number) = pick(which, &all) {
                    let state = states[state as usize];
                    crowd.tell(ms, Event::Enters { number, state });
                    if let Some(entry) = held.get_mut(&number) {
                        entry.1 = state == State::Answered;
                    }
                },
                Deed::HandsIn(which) => if let Some(number) = pick(which, &all) {
                    crowd.tell(ms, Event::HandedIn { number });
                },
                Deed::Ends(which) => if let Some(number) = pick(which, &all) {
                    crowd.tell(ms, Event::Ended { number });
                    held.remove(&number);
                    all.retain(|other| *other != number);
                },
            }
            prop_assert_eq!(crowd.connections.open().0, held.len());
            prop_assert!(held.len() <= 12);
            for from in 0..40u32 {
                prop_assert!(held.values().filter(|(of, _)| *of == from).count() <= 4);
            }
        }
        for number in all {
            crowd.tell(1e9, Event::Ended { number });
        }
        prop_assert_eq!(crowd.connections.open(), (0, 0));
        prop_assert_eq!(crowd.connections.busy(), 0);
    }
}

/// For want of a descriptor the one that has been silent longest goes, and none that has only just come.
#[test]
fn one_that_has_just_come_makes_no_room_for_want_of_a_descriptor() {
    let grace = Span::millis(100);
    let mut connections = Connections::new(Settings { places: 10, grace, ..Settings::default() });
    let address = IpAddr::from([10, 0, 0, 1]);
    let begin = Moment::from_millis(0.0);
    for number in [1, 2] {
        let comes = Event::Comes { number: Number(number), address, worth: Worth::Unknown };
        let at = begin + Span::millis(60 * number as i64);
        assert_eq!(connections.step(at, comes), Answer::Seated { instead_of: None });
    }
    // The first came at 60 ms, the second at 120 ms.
    let mut shortage = |millis| connections.step(begin + Span::millis(millis), Event::Shortage);
    assert_eq!(shortage(159), Answer::Nothing);
    assert_eq!(shortage(160), Answer::Leaves(Number(1)));
    assert_eq!(shortage(219), Answer::Nothing);
    assert_eq!(shortage(220), Answer::Leaves(Number(2)));
}
