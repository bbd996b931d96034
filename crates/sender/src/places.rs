//! The endpoints that the list has named, by name and by the small index under which the decisions know them.

use crate::list::Listed;
use crate::peer::Ask;
use crossbeam_channel::{Sender, TrySendError};
use indigomast::api::{Condition, EndpointId, KindId, ZoneId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub struct Place {
    pub name: String,
    pub address: Option<SocketAddr>,
    pub kind: KindId,
    pub zone: ZoneId,
    pub dest: u64,
    pub units: f64,
    pub condition: Condition,
    pub peer: Option<Sender<Ask>>,
    /// Those that get no call any more but may still have some out, which what is decided from now on has to reach.
    retired: Vec<Sender<Ask>>,
    /// What their full mailboxes had no room for.
    unasked: VecDeque<(Sender<Ask>, Ask)>,
    /// Submits without an outcome.
    pub out: usize,
    off_since: Option<Instant>,
}

impl Place {
    /// Its connections end as they come to rest.
    fn retire(&mut self) {
        if let Some(peer) = self.peer.take() {
            self.send(peer.clone(), Ask::Retire);
            if self.out > 0 {
                self.retired.push(peer);
            }
        }
    }

    /// One of its submits has its outcome.
    pub fn came_back(&mut self) {
        self.out -= 1;
        if self.out == 0 {
            self.retired.clear();
        }
    }

    /// Asks of one peer stay in order.
    fn send(&mut self, peer: Sender<Ask>, ask: Ask) {
        if self.unasked.iter().any(|(other, _)| other.same_channel(&peer)) {
            self.unasked.push_back((peer, ask));
        } else if let Err(TrySendError::Full(ask)) = peer.try_send(ask) {
            self.unasked.push_back((peer, ask));
        }
    }

    fn send_again(&mut self) {
        for (peer, ask) in std::mem::take(&mut self.unasked) {
            self.send(peer, ask);
        }
    }
}

/// Endpoints change for good: one that has been off the list for long is forgotten, once nothing is out to it. An
/// index never comes twice, so no late word can meet another endpoint under it.
#[derive(Default)]
pub struct Places {
    by_name: BTreeMap<String, EndpointId>,
    places: BTreeMap<EndpointId, Place>,
    next: usize,
    off: VecDeque<(Instant, EndpointId)>,
    /// Those with asks that found a full mailbox.
    full: BTreeSet<EndpointId>,
}

impl Places {
    /// The place of an entry of the list, which is on it from now on.
    pub fn put(&mut self, member: &Listed) -> (EndpointId, &mut Place) {
        let next = EndpointId(self.next);
        let at = *self.by_name.entry(member.name.clone()).or_insert(next);
        if at == next {
            self.next += 1;
        }
        let Listed { kind, zone, dest, units, condition, .. } = *member;
        let new = || {
            let name = member.name.clone();
            Place {
                name,
                address: None,
                kind,
                zone,
                dest,
                units,
                condition,
                peer: None,
                retired: Vec::new(),
                unasked: VecDeque::new(),
                out: 0,
                off_since: None,
            }
        };
        let place = self.places.entry(at).or_insert_with(new);
        place.off_since = None;
        (place.units, place.condition) = (units, condition);
        (at, place)
    }

    /// The names of those that serve by the list.
    pub fn serving(&self) -> impl Iterator<Item = &str> {
        let on_it = |place: &&Place| place.condition == Condition::Running && place.off_since.is_none();
        self.places.values().filter(on_it).map(|place| place.name.as_str())
    }

    /// What the list said last of the endpoint of this name, as far as it is known.
    pub fn condition(&self, name: &str) -> Option<Condition> {
        let place = self.by_name.get(name).and_then(|at| self.places.get(at));
        place.map(|place| place.condition)
    }

    /// Whether an endpoint of this name is known that belonged elsewhere: to another destination, kind or zone. It is over
    /// then, and what the list names is another one, which gets an index of its own.
    pub fn replaced_by(&mut self, member: &Listed) -> Option<EndpointId> {
        let at = *self.by_name.get(&member.name)?;
        let place = self.places.get(&at)?;
        let same = (place.dest, place.kind, place.zone) == (member.dest, member.kind, member.zone);
        // What is gone may be named without its particulars.
        if same || member.condition == Condition::Deleted {
            return None;
        }
        self.by_name.remove(&member.name);
        self.leaves(at);
        Some(at)
    }

    /// All of them, for the process that takes this one's place; deleted are those that the list names no more.
    pub fn known(&self) -> (Vec<(EndpointId, Listed)>, usize) {
        let listed = |place: &Place| {
            let Place { address, dest, kind, zone, units, .. } = *place;
            let condition = if place.off_since.is_some() { Condition::Deleted } else { place.condition };
            Listed { name: place.name.clone(), address, dest, kind, zone, units, condition }
        };
        (self.places.iter().map(|(at, place)| (*at, listed(place))).collect(), self.next)
    }

    /// Those of the process before, under their indices. What is listed of them is told anew.
    pub fn successor(known: Vec<(EndpointId, Listed)>, next: usize) -> Places {
        let mut places = Places { next, ..Places::default() };
        for (at, one) in known {
            places.by_name.insert(one.name.clone(), at);
            places.put(&one).1.address = one.address;
            if one.condition == Condition::Deleted {
                places.leaves(at);
            }
        }
        places
    }

    /// The connections of an endpoint end as they come to rest; a later call opens new ones.
    pub fn retire(&mut self, at: EndpointId) {
        if let Some(place) = self.places.get_mut(&at) {
            place.retire();
            if !place.unasked.is_empty() {
                self.full.insert(at);
            }
        }
    }

    /// Asks whoever has calls out to an endpoint, or connections at rest. What is lost of that goes out to one that the
    /// list has just said drains, so a mailbox that is full is asked again.
    pub fn ask(&mut self, at: EndpointId, ask: Ask) {
        let Some(place) = self.places.get_mut(&at) else { return };
        let peers: Vec<_> = place.peer.iter().chain(&place.retired).cloned().collect();
        for peer in peers {
            let ask = match ask {
                Ask::Revoke(submit) => Ask::Revoke(submit),
                Ask::Withhold(submit) => Ask::Withhold(submit),
                // What rests at one that is retired is ended already.
                _ => Ask::CloseIdle,
            };
            place.send(peer, ask);
            if !place.unasked.is_empty() {
                self.full.insert(at);
            }
        }
    }

    /// Asks again what found mailboxes full.
    pub fn ask_again(&mut self) {
        for at in std::mem::take(&mut self.full) {
            let Some(place) = self.places.get_mut(&at) else { continue };
            place.send_again();
            if !place.unasked.is_empty() {
                self.full.insert(at);
            }
        }
    }

    pub fn get(&mut self, at: EndpointId) -> Option<&mut Place> {
        self.places.get_mut(&at)
    }

    pub fn all(&self) -> Vec<EndpointId> {
        self.places.keys().copied().collect()
    }

    pub fn leaves(&mut self, at: EndpointId) {
        self.retire(at);
        if let Some(place) = self.places.get_mut(&at).filter(|place| place.off_since.is_none()) {
            let now = Instant::now();
            place.off_since = Some(now);
            self.off.push_back((now, at));
        }
    }

    /// Forgets those that have been off the list for so long.
    pub fn forget(&mut self, after: Duration) {
        while self.off.front().is_some_and(|(since, _)| since.elapsed() > after) {
            let (since, at) = self.off.pop_front().expect("looked at");
            match self.places.get_mut(&at).filter(|place| place.off_since == Some(since)) {
                Some(place) if place.out > 0 => {
                    let now = Instant::now();
                    place.off_since = Some(now);
                    self.off.push_back((now, at));
                }
                Some(place) => {
                    if self.by_name.get(&place.name) == Some(&at) {
                        self.by_name.remove(&place.name);
                    }
                    self.places.remove(&at);
                }
                None => {}
            }
        }
    }

    /// Those that the list names now.
    pub fn listed(&self) -> impl Iterator<Item = EndpointId> {
        self.places.iter().filter(|(_, place)| place.off_since.is_none()).map(|(at, _)| *at)
    }

    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.by_name.get(name).copied()
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }
}
