//! Who owns what: the load bound, spread over zones and regions, and moves beside the least possible.

use indigomast::rng::Rng;
use indigomast::time::{Moment, Span};
use indigomast_assignment::catalog::{Owners, Settings};
use indigomast_assignment::placement::{Place, Placement};
use std::collections::BTreeMap;

struct Fleet {
    placement: Placement,
    owners: BTreeMap<u32, Owners>,
    places: BTreeMap<u32, Place>,
    now: Moment,
    moved: usize,
}

fn settings(shards: u32) -> Settings {
    Settings { shards, ..Settings::default() }
}

impl Fleet {
    fn new(shards: u32, senders: u32, regions: u16, zones: u16, seed: u64) -> Fleet {
        let mut placement = Placement::new(&settings(shards));
        let mut chance = Rng::new(seed);
        for shard in 0..shards {
            // Weights as they come: some shards ten times as heavy as most.
            let weight = (8.0 / chance.next_f64().max(0.01).powf(0.6)) as u64;
            placement.load(shard, [weight, 4 + (chance.next_f64() * 9.0) as u64]);
        }
        let now = Moment::from_millis(0.0);
        let mut fleet = Fleet { placement, owners: BTreeMap::new(), places: BTreeMap::new(), now, moved: 0 };
        for sender in 0..senders {
            let zone = (sender % u32::from(zones)) as u16;
            fleet.come(sender, Place { region: zone / (zones / regions), zone });
        }
        fleet.settle();
        fleet
    }

    fn come(&mut self, sender: u32, place: Place) {
        self.places.insert(sender, place);
        self.placement.member(self.now, sender, Some(place));
    }

    fn go(&mut self, sender: u32) {
        self.placement.member(self.now, sender, None);
    }

    fn step(&mut self, span: Span, moves: usize) -> usize {
        self.now += span;
        let changed = self.placement.step(self.now, moves);
        let count = changed.len();
        for (shard, owners) in changed {
            self.moved += usize::from(self.owners.contains_key(&shard));
            self.owners.insert(shard, owners);
            // Whoever joins serves at once.
            if let Some(new) = owners.joining()
                && let Some(owners) = self.placement.serves(shard, new)
            {
                self.owners.insert(shard, owners);
            }
        }
        count
    }

    fn settle(&mut self) {
        self.step(Span::millis(31_000), 100_000);
        while self.step(Span::millis(1000), 100_000) > 0 {}
    }

    fn sound(&self, apart_by_region: bool) {
        for (shard, owners) in &self.owners {
            let [a, b] = owners.list() else { panic!("shard {shard}: {owners:?}") };
            let (a, b) = (self.places[a], self.places[b]);
            assert_ne!(a.zone, b.zone, "shard {shard}");
            assert!(!apart_by_region || a.region != b.region, "shard {shard}");
        }
        let imbalance = self.placement.imbalance();
        assert!(imbalance.most_to_mean <= imbalance.bound_to_mean, "{imbalance:?}");
        assert!(imbalance.most_destinations_to_mean <= imbalance.destinations_bound_to_mean, "{imbalance:?}");
        assert_eq!(self.placement.beyond_bound, 0);
    }
}

#[test]
fn owners_are_apart_and_within_the_bound() {
    for seed in 0..10 {
        let fleet = Fleet::new(2048, 100, 5, 10, seed);
        assert_eq!(fleet.owners.len(), 2048);
        fleet.sound(true);
        // One region only: apart by zone.
        Fleet::new(1024, 40, 1, 4, seed).sound(false);
    }
}

#[test]
fn the_same_by_whatever_way_it_was_handed_in() {
    let (a, b) = (Fleet::new(512, 60, 3, 6, 1), Fleet::new(512, 60, 3, 6, 1));
    assert_eq!(a.owners, b.owners);
}

#[test]
fn what_goes_moves_and_nothing_else() {
    for seed in 0..10 {
        for gone in [vec![17], (0..10).map(|n| n * 10 + 3).collect::<Vec<u32>>()] {
            let mut fleet = Fleet::new(2048, 100, 5, 10, seed);
            let before = fleet.owners.clone();
            let least: usize = gone.iter().map(|sender| fleet.placement.shards_of(*sender)).sum();
            gone.iter().for_each(|sender| fleet.go(*sender));
            fleet.settle();
            let sum: usize =
                fleet.owners.iter().filter(|(shard, owners)| before[shard].list() != owners.list()).count();
            assert_eq!((fleet.moved, sum), (least, least), "{gone:?}");
            fleet.sound(true);
            let staying = |shard: &u32| before[shard].list().iter().filter(|o| !gone.contains(o)).count();
            for (shard, owners) in &fleet.owners {
                let kept = owners.list().iter().filter(|owner| before[shard].has(**owner)).count();
                assert_eq!(kept, staying(shard), "shard {shard}");
            }
        }
    }
}

#[test]
fn who_comes_back_gets_about_its_part() {
    let mut fleet = Fleet::new(4096, 100, 5, 10, 3);
    let part = fleet.placement.shards_of(17);
    fleet.go(17);
    fleet.settle();
    assert_eq!(fleet.placement.shards_of(17), 0);
    let place = fleet.places[&17];
    let moved = fleet.moved;
    fleet.come(17, place);
    fleet.settle();
    let back = fleet.placement.shards_of(17);
    assert!(back as f64 > 0.6 * part as f64 && back as f64 <= 1.3 * part as f64, "{back} of {part}");
    // Moves to it, and hardly any others (a heavy shard pushes another out).
    assert!(fleet.moved - moved <= back + back / 5, "{} for {back}", fleet.moved - moved);
    fleet.sound(true);
}

#[test]
fn a_restart_moves_nothing() {
    let mut fleet = Fleet::new(1024, 50, 5, 10, 4);
    let before = fleet.owners.clone();
    for sender in 0..50 {
        fleet.go(sender);
        fleet.step(Span::millis(20_000), 1000);
        let place = fleet.places[&sender];
        fleet.come(sender, place);
        fleet.step(Span::millis(20_000), 1000);
    }
    fleet.settle();
    assert_eq!((fleet.owners == before, fleet.moved), (true, 0));
}

#[test]
fn moves_that_can_wait_are_no_more_than_allowed_and_orphans_do_not_wait() {
    let mut fleet = Fleet::new(1024, 50, 5, 10, 5);
    // Zone 3, and with it one owner of a fifth of the shards.
    (0..5).for_each(|n| fleet.go(n * 10 + 3));
    assert_eq!(fleet.step(Span::millis(29_000), 7), 0);
    for _ in 0..10 {
        assert_eq!(fleet.step(Span::millis(2000), 7), 7);
    }
    fleet.settle();
    // Two zones of two regions at once: who loses both owners has others before any other shard.
    (0..5).for_each(|n| fleet.go(n * 10 + 5));
    (0..5).for_each(|n| fleet.go(n * 10 + 8));
    let both = |owners: &Owners| owners.list().iter().all(|o| [5, 8].contains(&(o % 10)));
    let orphans = fleet.owners.values().filter(|owners| both(owners)).count();
    assert!(orphans > 0);
    assert_eq!(fleet.step(Span::millis(31_000), 0), orphans);
}

#[test]
fn load_that_grows_is_shed() {
    let mut fleet = Fleet::new(1024, 50, 5, 10, 6);
    let mut chance = Rng::new(6);
    for _ in 0..20 {
        for _ in 0..50 {
            let shard = (chance.next_f64() * 1024.0) as u32;
            fleet.placement.load(shard, [40 + (chance.next_f64() * 40.0) as u64, 12]);
        }
        fleet.settle();
        fleet.sound(true);
    }
}
