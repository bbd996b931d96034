//! Who owns which shard: rendezvous hashing over zones, then over the senders of a zone, with bounded load.
//!
//! What is assigned stays until an owner is gone or a better one comes: a shard moves only where it must, or where the one
//! that came has the higher score (rendezvous hashing: Thaler and Ravishankar 1998; bounded loads: Mirrokni, Thorup and
//! Zadimoghaddam 2018). Owners of a shard are in different regions where there are enough, else in different zones.

use crate::catalog::{MOST_OWNERS, Owners, Settings};
use indigomast::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    pub region: u16,
    /// Over all regions.
    pub zone: u16,
}

/// A 64-bit finalizer (the one of SplitMix64).
pub(crate) fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

fn score(shard: u32, sender: u32) -> u64 {
    mix(u64::from(shard) << 32 | u64::from(sender))
}

/// Sum of weights, and destinations: of either no sender is to have much more than others, since the first is its work and
/// the second is what it must be told.
pub type Load = [u64; 2];

fn plus(a: Load, b: Load) -> Load {
    [a[0] + b[0], a[1] + b[1]]
}

fn minus(a: Load, b: Load) -> Load {
    [a[0] - b[0], a[1] - b[1]]
}

#[derive(Clone, Copy, Debug)]
struct Member {
    place: Place,
    /// None while it is there.
    gone: Option<Moment>,
}

/// How loads lie over the owners that are there.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Imbalance {
    pub mean: f64,
    pub most: u64,
    pub least: u64,
    pub most_to_mean: f64,
    /// The stated bound; it is above the settings' where one shard alone is that heavy.
    pub bound_to_mean: f64,
    /// The same of destinations, whatever their weight.
    pub most_destinations_to_mean: f64,
    pub destinations_bound_to_mean: f64,
}

#[derive(Clone, Debug)]
pub struct Placement {
    owners: usize,
    load_bound: f64,
    linger: Span,
    patience: Span,
    members: BTreeMap<u32, Member>,
    /// Those who are there, or gone for less than the linger, by zone.
    zones: BTreeMap<u16, Zone>,
    /// Of each sender: the sum of its shards' loads, and its shards.
    held: BTreeMap<u32, (Load, BTreeSet<u32>)>,
    /// Of each shard.
    loads: Vec<Load>,
    current: Vec<Owners>,
    /// Sum of loads of all shards, and the most that one ever had.
    total: Load,
    heaviest: Load,
    /// Senders whose linger runs, by when it began.
    lingering: BTreeSet<(Moment, u32)>,
    /// Came, or came back after the linger: better owners are looked for.
    newcomers: BTreeSet<u32>,
    /// Whose load has grown, and may be over the bound.
    grown: BTreeSet<u32>,
    /// The mean is lower than it was: whoever was within the bound may not be.
    fell: bool,
    /// Shards without any owner that is there, shards that lack one, and moves to better ones.
    orphans: VecDeque<u32>,
    lacking: VecDeque<u32>,
    better: VecDeque<Better>,
    /// Moves whose new owner hasn't taken up yet.
    joining: BTreeMap<u32, Moment>,
    /// Shards given to someone beyond the bound, since nobody was within.
    pub beyond_bound: u64,
    /// Moves that were made as a sender's load had come over the bound, not as somebody came or went.
    pub shed: u64,
}

/// A move that can wait its turn.
#[derive(Clone, Copy, Debug)]
struct Better {
    shard: u32,
    old: u32,
    new: u32,
    /// The old owner's load is over the bound.
    sheds: bool,
}

#[derive(Clone, Debug, Default)]
struct Zone {
    region: u16,
    here: BTreeSet<u32>,
    /// Known at all: a zone's weight doesn't change as its senders come and go.
    known: usize,
}

impl Placement {
    pub fn new(settings: &Settings) -> Placement {
        assert!(settings.owners < MOST_OWNERS, "one more is needed while a shard moves");
        Placement {
            owners: settings.owners,
            load_bound: settings.load_bound,
            linger: settings.linger,
            patience: settings.patience,
            members: BTreeMap::new(),
            zones: BTreeMap::new(),
            held: BTreeMap::new(),
            loads: vec![[0; 2]; settings.shards as usize],
            current: vec![Owners::default(); settings.shards as usize],
            total: [0; 2],
            heaviest: [0; 2],
            lingering: BTreeSet::new(),
            newcomers: BTreeSet::new(),
            grown: BTreeSet::new(),
            fell: false,
            orphans: VecDeque::new(),
            lacking: VecDeque::new(),
            better: VecDeque::new(),
            joining: BTreeMap::new(),
            beyond_bound: 0,
            shed: 0,
        }
    }

    /// What an earlier controller assigned, shard by shard, before anybody is said to be there.
    pub(crate) fn take_up(&mut self, shard: u32, owners: Owners, load: Load, now: Moment) {
        self.load(shard, load);
        self.hold(shard, owners);
        if owners.leaving().is_some() {
            self.joining.insert(shard, now);
        }
        if owners.list().len() < self.owners {
            self.orphans.push_back(shard);
        }
    }

    /// Owners that nobody says are there any more go as those who leave do.
    pub(crate) fn forget_absent(&mut self, now: Moment) {
        let absent: Vec<u32> = self.held.keys().filter(|s| !self.members.contains_key(s)).copied().collect();
        for sender in absent {
            self.members
                .insert(sender, Member { place: Place { region: 0, zone: u16::MAX }, gone: Some(now) });
            self.lingering.insert((now, sender));
        }
    }

    /// A shard's load is another.
    pub fn load(&mut self, shard: u32, load: Load) {
        let before = std::mem::replace(&mut self.loads[shard as usize], load);
        self.total = plus(minus(self.total, before), load);
        self.fell |= load[0] < before[0] || load[1] < before[1];
        self.heaviest = [self.heaviest[0].max(load[0]), self.heaviest[1].max(load[1])];
        for sender in self.current[shard as usize].list() {
            if let Some(held) = self.held.get_mut(sender) {
                held.0 = plus(minus(held.0, before), load);
                if load[0] > before[0] || load[1] > before[1] {
                    self.grown.insert(*sender);
                }
            }
        }
    }

    fn hold(&mut self, shard: u32, owners: Owners) {
        let load = self.loads[shard as usize];
        let before = std::mem::replace(&mut self.current[shard as usize], owners);
        for sender in before.list() {
            if !owners.has(*sender)
                && let Some(held) = self.held.get_mut(sender)
                && held.1.remove(&shard)
            {
                held.0 = minus(held.0, load);
            }
        }
        for sender in owners.list() {
            let held = self.held.entry(*sender).or_default();
            if held.1.insert(shard) {
                held.0 = plus(held.0, load);
            }
        }
    }

    /// Someone is there, or no longer (None).
    pub fn member(&mut self, now: Moment, sender: u32, place: Option<Place>) {
        let known = self.members.get(&sender).copied();
        match (place, known) {
            (Some(place), _) => {
                let moved = known.is_some_and(|known| known.place != place);
                if moved {
                    self.leave_zone(sender);
                }
                let zone = self.zones.entry(place.zone).or_default();
                zone.region = place.region;
                zone.known += usize::from(known.is_none() || moved);
                let lingered = known.and_then(|known| known.gone).map(|at| (at, sender));
                let back = lingered.is_some_and(|key| self.lingering.remove(&key));
                zone.here.insert(sender);
                self.members.insert(sender, Member { place, gone: None });
                if !back && known.is_none_or(|known| known.gone.is_some()) {
                    self.newcomers.insert(sender);
                }
            }
            (None, Some(known)) if known.gone.is_none() => {
                self.members.insert(sender, Member { gone: Some(now), ..known });
                self.lingering.insert((now, sender));
            }
            (None, _) => {}
        }
    }

    fn leave_zone(&mut self, sender: u32) {
        for zone in self.zones.values_mut() {
            if zone.here.remove(&sender) {
                zone.known -= 1;
            }
        }
    }

    /// Mean load of those who are there.
    fn mean(&self) -> [f64; 2] {
        let here = self.zones.values().map(|zone| zone.here.len()).sum::<usize>().max(1);
        self.total.map(|total| total as f64 * self.owners as f64 / here as f64)
    }

    /// No sender is given a shard of this load that takes it over this: some share above the mean, or the mean and this shard
    /// alone. Somebody is always below that, in each of the two.
    fn cap(&self, load: Load) -> Load {
        let mean = self.mean();
        let one =
            |at: usize| ((mean[at] * self.load_bound).ceil() as u64).max(mean[at].ceil() as u64 + load[at]);
        [one(0), one(1)]
    }

    fn fits(&self, sender: u32, load: Load, cap: Load) -> bool {
        let would = plus(self.load_of(sender), load);
        would[0] <= cap[0] && would[1] <= cap[1]
    }

    /// Those who are there, or were a moment ago.
    fn is_here(&self, sender: u32) -> bool {
        self.members
            .get(&sender)
            .is_some_and(|m| self.zones.get(&m.place.zone).is_some_and(|z| z.here.contains(&sender)))
    }

    fn is_answering(&self, sender: u32) -> bool {
        self.members.get(&sender).is_some_and(|member| member.gone.is_none())
    }

    fn load_of(&self, sender: u32) -> Load {
        self.held.get(&sender).map_or([0; 2], |held| held.0)
    }

    /// Zones by weighted rendezvous, best first, without the empty ones.
    fn ranked(&self, shard: u32) -> Vec<(u16, u16)> {
        let mut ranked: Vec<(f64, u16, u16)> = self
            .zones
            .iter()
            .filter(|(_, zone)| !zone.here.is_empty())
            .map(|(at, zone)| {
                let draw = (mix(u64::from(shard) << 20 ^ 0x5a4f_4e45 ^ u64::from(*at) << 52) >> 11) as f64;
                let draw = (draw + 0.5) / (1u64 << 53) as f64;
                (-(draw.ln()) / zone.known.max(1) as f64, *at, zone.region)
            })
            .collect();
        ranked.sort_by(|a, b| a.partial_cmp(b).expect("numbers"));
        ranked.into_iter().map(|(_, zone, region)| (zone, region)).collect()
    }

    /// The zones that this shard's owners are best in.
    fn wanted(&self, shard: u32) -> Vec<u16> {
        let ranked = self.ranked(shard);
        let mut chosen: Vec<(u16, u16)> = Vec::new();
        for new_region in [true, false] {
            for (zone, region) in &ranked {
                let fits = chosen.iter().all(|(z, r)| z != zone && (!new_region || r != region));
                if chosen.len() < self.owners && fits {
                    chosen.push((*zone, *region));
                }
            }
        }
        chosen.into_iter().map(|(zone, _)| zone).collect()
    }

    /// The best sender of a zone that takes this load within the bound.
    fn best(&self, shard: u32, zone: u16, cap: Load, but: &[u32]) -> Option<u32> {
        let load = self.loads[shard as usize];
        let mut best = None;
        for sender in self.zones.get(&zone)?.here.iter().copied() {
            let score = score(shard, sender);
            // What costs a look-up is asked last: a better score comes but a few times.
            if best.is_none_or(|(known, _)| score > known)
                && !but.contains(&sender)
                && self.fits(sender, load, cap)
                && self.is_answering(sender)
            {
                best = Some((score, sender));
            }
        }
        best.map(|(_, sender)| sender)
    }

    /// One more owner, beside those that stay.
    fn another(&mut self, shard: u32, staying: &[u32]) -> Option<u32> {
        if let Some(sender) = self.within_bound(shard, staying) {
            return Some(sender);
        }
        let here = self.zones.values().flat_map(|zone| &zone.here);
        let least = here
            .filter(|sender| !staying.contains(sender) && self.is_answering(**sender))
            .min_by_key(|sender| (self.load_of(**sender), **sender))
            .copied()?;
        self.beyond_bound += 1;
        Some(least)
    }

    fn within_bound(&self, shard: u32, staying: &[u32]) -> Option<u32> {
        let places: Vec<Place> =
            staying.iter().filter_map(|s| self.members.get(s)).map(|m| m.place).collect();
        let ranked = self.ranked(shard);
        let cap = self.cap(self.loads[shard as usize]);
        // Another region, else another zone, else (one zone is all there is) another sender.
        for apart in 0..3 {
            for (zone, region) in &ranked {
                let fits = places.iter().all(|place| match apart {
                    0 => place.region != *region,
                    1 => place.zone != *zone,
                    _ => true,
                });
                if fits && let Some(sender) = self.best(shard, *zone, cap, staying) {
                    return Some(sender);
                }
            }
        }
        None
    }

    /// Whose linger has passed is no owner any more; newcomers are weighed against those in place.
    fn look(&mut self, now: Moment) {
        while let Some((at, sender)) = self.lingering.first().copied() {
            if now.since(at) < self.linger {
                break;
            }
            self.lingering.remove(&(at, sender));
            if let Some(member) = self.members.get(&sender)
                && let Some(zone) = self.zones.get_mut(&member.place.zone)
            {
                zone.here.remove(&sender);
            }
            let shards = self.held.get(&sender).map(|held| held.1.clone()).unwrap_or_default();
            for shard in shards {
                let owners = self.current[shard as usize];
                let left = owners.list().iter().any(|owner| *owner != sender && self.is_here(*owner));
                if left { self.lacking.push_back(shard) } else { self.orphans.push_back(shard) }
            }
        }
        if self.newcomers.is_empty() {
            return;
        }
        self.fell = true;
        let newcomers = std::mem::take(&mut self.newcomers);
        let mut by_zone: BTreeMap<u16, Vec<u32>> = BTreeMap::new();
        for sender in newcomers {
            by_zone.entry(self.members[&sender].place.zone).or_default().push(sender);
        }
        for shard in 0..self.current.len() as u32 {
            let owners = self.current[shard as usize];
            if owners.list().len() < self.owners {
                // At the very start, or while there were too few.
                self.orphans.push_back(shard);
                continue;
            }
            let wanted = self.wanted(shard);
            for zone in &wanted {
                let Some(came) = by_zone.get(zone) else { continue };
                let in_zone = |sender: &&u32| self.members.get(sender).is_some_and(|m| m.place.zone == *zone);
                let best = came.iter().copied().max_by_key(|sender| score(shard, *sender));
                match (owners.list().iter().find(in_zone), best) {
                    (Some(old), Some(new)) if score(shard, new) > score(shard, *old) => {
                        self.better.push_back(Better { shard, old: *old, new, sheds: false });
                    }
                    (None, Some(_)) => {
                        // Its owner is in a zone that was second best while this one was gone.
                        let stray = owners.list().iter().find(|owner| {
                            self.members.get(owner).is_none_or(|m| !wanted.contains(&m.place.zone))
                        });
                        if let (Some(old), Some(new)) = (stray, self.best(shard, *zone, [u64::MAX; 2], &[])) {
                            self.better.push_back(Better { shard, old: *old, new, sheds: false });
                        }
                    }
                    _ => {}
                }
            }
        }
    }

    /// Changes of owners that are due and allowed; `moves` says how many more of those that can wait may be made.
    pub fn step(&mut self, now: Moment, mut moves: usize) -> Vec<(u32, Owners)> {
        self.look(now);
        let mut changed = Vec::new();
        // A shard that nobody serves waits for nothing.
        while let Some(shard) = self.orphans.pop_front() {
            self.repair(shard, &mut changed);
        }
        let late: Vec<u32> = self
            .joining
            .iter()
            .filter(|(_, since)| now.since(**since) >= self.patience)
            .map(|(shard, _)| *shard)
            .collect();
        for shard in late {
            self.joining.remove(&shard);
            let owners = self.current[shard as usize];
            let stay: Vec<u32> =
                owners.list().iter().copied().filter(|s| Some(*s) != owners.joining()).collect();
            self.assign(shard, Owners::new(&stay, None), &mut changed);
        }
        while moves > 0
            && let Some(shard) = self.lacking.pop_front()
        {
            moves -= usize::from(self.repair(shard, &mut changed));
        }
        self.shed();
        while moves > 0
            && let Some(Better { shard, old, new, sheds }) = self.better.pop_front()
        {
            let owners = self.current[shard as usize];
            let stands = owners.has(old) && !owners.has(new) && owners.leaving().is_none();
            let load = self.loads[shard as usize];
            let fits = self.fits(new, load, self.cap(load));
            if stands && fits && self.is_here(new) && owners.list().len() < MOST_OWNERS {
                let mut list = owners.list().to_vec();
                list.push(new);
                self.joining.insert(shard, now);
                self.assign(shard, Owners::new(&list, Some(old)), &mut changed);
                moves -= 1;
                self.shed += u64::from(sheds);
            } else if stands {
                // Others got there first: if it is for its load that this one moves, another place is looked for.
                self.grown.insert(old);
            }
        }
        changed
    }

    /// Whose load has grown over the bound gives up the shards that others are as good for.
    fn shed(&mut self) {
        if std::mem::take(&mut self.fell) {
            let cap = self.cap([0; 2]);
            let over = |load: Load| load[0] > cap[0] || load[1] > cap[1];
            self.grown.extend(self.held.iter().filter(|(_, held)| over(held.0)).map(|(sender, _)| *sender));
        }
        for sender in std::mem::take(&mut self.grown) {
            let Some((load, shards)) = self.held.get(&sender) else { continue };
            let heaviest = shards
                .iter()
                .map(|shard| self.loads[*shard as usize])
                .fold([0; 2], |most, load| [most[0].max(load[0]), most[1].max(load[1])]);
            let cap = self.cap(heaviest);
            let mut excess = [load[0].saturating_sub(cap[0]), load[1].saturating_sub(cap[1])];
            if excess == [0; 2] {
                continue;
            }
            let mut shards: Vec<u32> = shards.iter().copied().collect();
            shards.sort_by_key(|shard| score(*shard, sender));
            let mut moves = Vec::new();
            for shard in shards {
                let (load, owners) = (self.loads[shard as usize], self.current[shard as usize]);
                if excess == [0; 2] || load == [0; 2] || owners.leaving().is_some() {
                    continue;
                }
                let zone = self.members.get(&sender).map_or(u16::MAX, |member| member.place.zone);
                let rest: Vec<u32> = owners.list().iter().copied().filter(|owner| *owner != sender).collect();
                let near = self.best(shard, zone, self.cap(load), owners.list());
                let new = near.or_else(|| self.within_bound(shard, &rest).filter(|new| *new != sender));
                if let Some(new) = new {
                    excess = [excess[0].saturating_sub(load[0]), excess[1].saturating_sub(load[1])];
                    moves.push(Better { shard, old: sender, new, sheds: true });
                }
            }
            self.better.extend(moves);
        }
    }

    /// Replaces owners that are gone and adds those that lack; whether anything changed.
    fn repair(&mut self, shard: u32, changed: &mut Vec<(u32, Owners)>) -> bool {
        let owners = self.current[shard as usize];
        let mut list: Vec<u32> = owners.list().iter().copied().filter(|owner| self.is_here(*owner)).collect();
        let leaving = owners.leaving().filter(|leaving| list.contains(leaving));
        // One who leaves doesn't if the one in its place is gone.
        let leaving = leaving.filter(|_| owners.joining().is_some_and(|new| list.contains(&new)));
        let wanted = self.owners + usize::from(leaving.is_some());
        while list.len() < wanted {
            let Some(new) = self.another(shard, &list) else { break };
            // The last of the list is the one that joins.
            let at = if leaving.is_some() { list.len() - 1 } else { list.len() };
            list.insert(at, new);
            self.hold(shard, Owners::new(&list, leaving));
        }
        let repaired = Owners::new(&list, leaving);
        if repaired.leaving().is_none() {
            self.joining.remove(&shard);
        }
        if repaired == owners {
            self.hold(shard, owners);
            return false;
        }
        self.assign(shard, repaired, changed);
        true
    }

    fn assign(&mut self, shard: u32, owners: Owners, changed: &mut Vec<(u32, Owners)>) {
        self.hold(shard, owners);
        changed.push((shard, owners));
    }

    /// The one that joined serves the shard: the one it replaces need not.
    pub fn serves(&mut self, shard: u32, sender: u32) -> Option<Owners> {
        let owners = self.current.get(shard as usize).copied()?;
        let leaving = owners.leaving().filter(|_| owners.joining() == Some(sender))?;
        self.joining.remove(&shard);
        let list: Vec<u32> = owners.list().iter().copied().filter(|s| *s != leaving).collect();
        let owners = Owners::new(&list, None);
        self.hold(shard, owners);
        Some(owners)
    }

    /// Moves that wait for their turn.
    pub fn waiting(&self) -> usize {
        self.orphans.len() + self.lacking.len() + self.better.len() + self.joining.len()
    }

    pub fn shards_of(&self, sender: u32) -> usize {
        self.held.get(&sender).map_or(0, |held| held.1.len())
    }

    pub fn imbalance(&self) -> Imbalance {
        let here: Vec<u32> = self.zones.values().flat_map(|zone| zone.here.iter().copied()).collect();
        let of = |at: usize| {
            let loads = || here.iter().map(|sender| self.load_of(*sender)[at]);
            let mean = loads().sum::<u64>() as f64 / here.len().max(1) as f64;
            let (most, least) = (loads().max().unwrap_or(0), loads().min().unwrap_or(0));
            let bound = self.cap(self.heaviest)[at] as f64;
            (mean, most, least, most as f64 / mean.max(1e-9), bound / mean.max(1e-9))
        };
        let (mean, most, least, most_to_mean, bound_to_mean) = of(0);
        let (.., most_destinations_to_mean, destinations_bound_to_mean) = of(1);
        Imbalance {
            mean,
            most,
            least,
            most_to_mean,
            bound_to_mean,
            most_destinations_to_mean,
            destinations_bound_to_mean,
        }
    }
}
