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
        max_connections: 100,
        reserved_for_known: 20,
        max_per_address: 30,
        max_per_prefix: 60,
        new_per_second: 0.0,
        new_burst: 50.0,
        max_reading_per_address: 0,
        known_for: Span::millis(600_000),
        max_remembered: 1000,
        stalled_after: Span::millis(500),
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

    fn comes(&mut self, ms: f64, from: u32, priority: Priority) -> (ConnectionNumber, Decision) {
        self.next += 1;
        let number = ConnectionNumber(self.next);
        let event = Event::Arrived { number, address: address(from), priority };
        (number, self.connections.step(at(ms), event))
    }

    fn tell(&mut self, ms: f64, event: Event) {
        assert_eq!(self.connections.step(at(ms), event), Decision::NoChange);
    }

    /// Connects, hands in a text that is taken on, and rests.
    fn till(&mut self, ms: f64, from: u32) -> (ConnectionNumber, Decision) {
        let (number, answer) = self.comes(ms, from, Priority::Unknown);
        if matches!(answer, Decision::Admitted { .. }) {
            self.tell(ms, Event::StateChanged { number, state: State::AwaitingResponse });
            self.tell(ms, Event::TextAccepted { number });
            self.tell(ms, Event::StateChanged { number, state: State::Idle });
        }
        (number, answer)
    }
}

fn seated(answer: Decision) -> bool {
    matches!(answer, Decision::Admitted { .. })
}

#[test]
fn one_office_with_thousands_of_connections_leaves_room_for_tills_elsewhere() {
    let mut crowd = Crowd::of(settings());
    let taken = (0..5000).filter(|_| seated(crowd.comes(0.0, 7, Priority::Unknown).1)).count();
    assert_eq!(taken, 30, "as many as an address may hold");
    for till in 0..60 {
        assert!(seated(crowd.till(10.0, 1000 + till * 300).1), "till {till}");
    }
}

#[test]
fn many_strangers_leave_the_reserve_to_those_who_are_known() {
    let mut crowd = Crowd::of(settings());
    let (till, _) = crowd.till(0.0, 1);
    crowd.tell(1.0, Event::Closed { number: till });
    let taken = (0..5000).filter(|n| seated(crowd.comes(10.0, 1000 + n * 300, Priority::Unknown).1)).count();
    assert_eq!(taken, 80);
    assert_eq!(crowd.comes(11.0, 999_999, Priority::Unknown).1, Decision::Rejected(Reason::Reserved));
    for _ in 0..20 {
        assert_eq!(crowd.comes(12.0, 1, Priority::Unknown).1, Decision::Admitted { evicted: None });
    }
    // Beyond the reserve a known client takes the place of a stranger that has shown nothing.
    let (_, answer) = crowd.comes(13.0, 1, Priority::Unknown);
    assert!(matches!(answer, Decision::Admitted { evicted: Some(_) }), "{answer:?}");
}

#[test]
fn a_new_till_becomes_known_in_a_storm_by_what_it_hands_in() {
    let mut crowd = Crowd::of(settings());
    for n in 0..80 {
        crowd.comes(0.0, 1000 + n * 300, Priority::Unknown);
    }
    let (_, answer) = crowd.comes(1.0, 5, Priority::Unknown);
    assert_eq!(answer, Decision::Rejected(Reason::Reserved));
    // In the accept queue its text is seen, and one that said nothing so far goes.
    let (number, answer) = crowd.comes(2.0, 5, Priority::Text);
    assert_eq!(answer, Decision::Admitted { evicted: Some(ConnectionNumber(1)) });
    crowd.tell(3.0, Event::StateChanged { number, state: State::AwaitingResponse });
    crowd.tell(3.0, Event::TextAccepted { number });
    assert!(seated(crowd.comes(4.0, 5, Priority::Unknown).1));
}

#[test]
fn behind_one_address_what_says_nothing_makes_room_for_tills() {
    let mut crowd = Crowd::of(settings());
    let tills: Vec<ConnectionNumber> = (0..10).map(|_| crowd.till(0.0, 9).0).collect();
    for _ in 0..500 {
        crowd.comes(5.0, 9, Priority::Unknown);
    }
    assert!(tills.iter().all(|till| !crowd.connections.is_evicted(*till)), "those that work stay");
    let (_, answer) = crowd.comes(6.0, 9, Priority::Text);
    assert!(
        matches!(answer, Decision::Admitted { evicted: Some(least) } if !tills.contains(&least)),
        "{answer:?}"
    );
    assert_eq!(crowd.connections.open().0, 30);
}

#[test]
fn an_address_may_open_so_many_a_second() {
    let mut crowd = Crowd::of(Settings { new_per_second: 10.0, new_burst: 5.0, ..settings() });
    let mut taken = 0;
    for n in 0..200 {
        let (number, answer) = crowd.comes(f64::from(n) * 10.0, 3, Priority::Unknown);
        if seated(answer) {
            taken += 1;
            crowd.tell(f64::from(n) * 10.0, Event::Closed { number });
        } else {
            assert_eq!(answer, Decision::Rejected(Reason::Pace));
        }
    }
    assert!((24..=25).contains(&taken), "{taken}");
    assert!(seated(crowd.comes(2000.0, 4, Priority::Unknown).1), "others have a pace of their own");
}

#[test]
fn requests_that_are_being_read_are_bounded_for_each_address() {
    let mut crowd = Crowd::of(Settings { max_reading_per_address: 4, ..settings() });
    let first: Vec<_> = (0..4).map(|_| crowd.comes(0.0, 3, Priority::Unknown).0).collect();
    assert_eq!(crowd.comes(0.0, 3, Priority::Unknown).1, Decision::Rejected(Reason::Reading));
    crowd.tell(1.0, Event::StateChanged { number: first[0], state: State::AwaitingResponse });
    assert!(seated(crowd.comes(2.0, 3, Priority::Unknown).1));
    assert!(seated(crowd.comes(2.0, 4, Priority::Unknown).1));
}

#[test]
fn a_prefix_counts_its_addresses_together_but_spares_the_known() {
    let mut crowd = Crowd::of(settings());
    let (till, _) = crowd.till(0.0, 256 + 200);
    crowd.tell(0.0, Event::Closed { number: till });
    let taken = (0..200).filter(|n| seated(crowd.comes(1.0, 256 + n, Priority::Unknown).1)).count();
    assert_eq!(taken, 60);
    assert_eq!(crowd.comes(1.0, 256 + 7, Priority::Unknown).1, Decision::Rejected(Reason::Prefix));
    assert!(seated(crowd.comes(2.0, 256 + 200, Priority::Unknown).1));
    assert!(seated(crowd.comes(2.0, 1024, Priority::Unknown).1));
}

#[test]
fn those_named_in_the_settings_are_known_from_the_start() {
    let always_known = vec!["127.0.9.0/24".parse().expect("a network")];
    let mut crowd = Crowd::of(Settings { always_known, ..settings() });
    for n in 0..80 {
        crowd.comes(0.0, 70_000 + n * 300, Priority::Unknown);
    }
    assert!(seated(crowd.comes(1.0, 9 * 256 + 4, Priority::Unknown).1));
    assert!(!seated(crowd.comes(1.0, 8 * 256 + 4, Priority::Unknown).1));
}

#[test]
fn the_order_in_which_they_go_is_that_of_their_worth() {
    let mut crowd = Crowd::of(Settings {
        max_connections: 5,
        reserved_for_known: 0,
        max_per_address: 0,
        max_per_prefix: 0,
        ..settings()
    });
    let states =
        [State::AwaitingResponse, State::ReadingRequest, State::Idle, State::IdleNoText, State::NoRequest];
    let numbers: Vec<ConnectionNumber> = states
        .iter()
        .map(|state| {
            let (number, _) = crowd.comes(0.0, 1, Priority::Unknown);
            if *state == State::ReadingRequest {
                crowd.tell(0.0, Event::StateChanged { number, state: State::AwaitingResponse });
            }
            crowd.tell(0.0, Event::StateChanged { number, state: *state });
            number
        })
        .collect();
    assert_eq!(crowd.comes(10.0, 2, Priority::Unknown).1, Decision::Rejected(Reason::Full));
    for at in [4, 3, 2] {
        assert_eq!(crowd.comes(10.0, 2, Priority::Text).1, Decision::Admitted { evicted: Some(numbers[at]) });
        // Who just came is worth no more until it has asked.
        let (newest, _) = (ConnectionNumber(crowd.next), ());
        crowd.tell(10.0, Event::StateChanged { number: newest, state: State::AwaitingResponse });
    }
    assert_eq!(crowd.comes(10.0, 2, Priority::Text).1, Decision::Rejected(Reason::Full), "it asked just now");
    assert_eq!(crowd.comes(600.0, 2, Priority::Text).1, Decision::Admitted { evicted: Some(numbers[1]) });
    assert_eq!(crowd.connections.with_texts(), 4);
}

#[test]
fn a_connection_that_was_told_to_go_gives_its_place_once() {
    let mut crowd = Crowd::of(Settings {
        max_connections: 1,
        reserved_for_known: 0,
        max_per_address: 0,
        max_per_prefix: 0,
        ..settings()
    });
    let (first, _) = crowd.comes(0.0, 1, Priority::Unknown);
    let (second, answer) = crowd.comes(1.0, 2, Priority::Text);
    assert_eq!(answer, Decision::Admitted { evicted: Some(first) });
    assert!(crowd.connections.is_evicted(first));
    crowd.tell(2.0, Event::StateChanged { number: first, state: State::AwaitingResponse });
    crowd.tell(3.0, Event::Closed { number: first });
    assert_eq!(crowd.connections.open(), (1, 0));
    crowd.tell(4.0, Event::Closed { number: second });
    crowd.tell(4.0, Event::Closed { number: second });
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
        4 => (0u8..40, 0u8..3).prop_map(|(from, priority)| Deed::Comes(from, priority)),
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
        let settings = Settings { max_connections: 12, reserved_for_known: 4, max_per_address: 4, max_per_prefix: 9, ..settings() };
        let mut crowd = Crowd::of(settings);
        let mut held: BTreeMap<ConnectionNumber, (u32, bool)> = BTreeMap::new();
        let mut all: Vec<ConnectionNumber> = Vec::new();
        let states = [
            State::Closing, State::NoRequest, State::IdleNoText, State::Idle, State::ReadingRequest, State::AwaitingResponse,
        ];
        for (n, deed) in deeds.into_iter().enumerate() {
            let ms = n as f64 * 10.0;
            let pick = |which: u8, list: &[ConnectionNumber]| list.get(which as usize % list.len().max(1)).copied();
            match deed {
                Deed::Comes(from, priority) => {
                    let priority = [Priority::Unknown, Priority::Query, Priority::Text][priority as usize];
                    let (number, answer) = crowd.comes(ms, u32::from(from) * 100, priority);
                    if let Decision::Admitted { evicted } = answer {
                        if let Some(gone) = evicted {
                            let (_, answered) = held.remove(&gone).expect("one that holds a place makes room");
                            prop_assert!(!answered, "a request that is being answered is not cut off");
                        }
                        held.insert(number, (u32::from(from), false));
                        all.push(number);
                    }
                }
                Deed::Enters(which, state) => if let Some(number) = pick(which, &all) {
                    let state = states[state as usize];
                    crowd.tell(ms, Event::StateChanged { number, state });
                    if let Some(entry) = held.get_mut(&number) {
                        entry.1 = state == State::AwaitingResponse;
                    }
                },
                Deed::HandsIn(which) => if let Some(number) = pick(which, &all) {
                    crowd.tell(ms, Event::TextAccepted { number });
                },
                Deed::Ends(which) => if let Some(number) = pick(which, &all) {
                    crowd.tell(ms, Event::Closed { number });
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
            crowd.tell(1e9, Event::Closed { number });
        }
        prop_assert_eq!(crowd.connections.open(), (0, 0));
        prop_assert_eq!(crowd.connections.with_texts(), 0);
    }
}

/// For want of a descriptor the one that has been silent longest goes, and none that has only just come.
#[test]
fn one_that_has_just_come_makes_no_room_for_want_of_a_descriptor() {
    let first_request_grace = Span::millis(100);
    let mut connections =
        Connections::new(Settings { max_connections: 10, first_request_grace, ..Settings::default() });
    let address = IpAddr::from([10, 0, 0, 1]);
    let begin = Moment::from_millis(0.0);
    for number in [1, 2] {
        let comes = Event::Arrived { number: ConnectionNumber(number), address, priority: Priority::Unknown };
        let at = begin + Span::millis(60 * number as i64);
        assert_eq!(connections.step(at, comes), Decision::Admitted { evicted: None });
    }
    // The first came at 60 ms, the second at 120 ms.
    let mut shortage = |millis| connections.step(begin + Span::millis(millis), Event::DescriptorShortage);
    assert_eq!(shortage(159), Decision::NoChange);
    assert_eq!(shortage(160), Decision::Evict(ConnectionNumber(1)));
    assert_eq!(shortage(219), Decision::NoChange);
    assert_eq!(shortage(220), Decision::Evict(ConnectionNumber(2)));
}
