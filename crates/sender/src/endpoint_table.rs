//! The endpoints that the list has named, by name and by the small index under which the decisions know them.

use crate::list::ListedEndpoint;
use crate::peer::Ask;
use crossbeam_channel::{Sender, TrySendError};
use indigomast::api::{Condition, EndpointId, KindId, ZoneId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub struct EndpointEntry {
    pub name: String,
    pub address: Option<SocketAddr>,
    pub kind: KindId,
    pub zone: ZoneId,
    pub dest: u64,
    pub units: f64,
    pub condition: Condition,
    pub peer: Option<Sender<Ask>>,
    /// Those that get no call any more but may still have some out, which what is decided from now on has to reach.
    retired_peers: Vec<Sender<Ask>>,
    /// What their full mailboxes had no room for.
    queued: VecDeque<(Sender<Ask>, Ask)>,
    /// Submits without an outcome.
    pub in_flight: usize,
    unlisted_since: Option<Instant>,
}

impl EndpointEntry {
    /// Its connections end as they come to rest.
    fn retire(&mut self) {
        if let Some(peer) = self.peer.take() {
            self.send(peer.clone(), Ask::Retire);
            if self.in_flight > 0 {
                self.retired_peers.push(peer);
            }
        }
    }

    /// One of its submits has its outcome.
    pub fn submit_ended(&mut self) {
        self.in_flight -= 1;
        if self.in_flight == 0 {
            self.retired_peers.clear();
        }
    }

    /// Asks of one peer stay in order.
    fn send(&mut self, peer: Sender<Ask>, ask: Ask) {
        if self.queued.iter().any(|(other, _)| other.same_channel(&peer)) {
            self.queued.push_back((peer, ask));
        } else if let Err(TrySendError::Full(ask)) = peer.try_send(ask) {
            self.queued.push_back((peer, ask));
        }
    }

    fn send_queued(&mut self) {
        for (peer, ask) in std::mem::take(&mut self.queued) {
            self.send(peer, ask);
        }
    }
}

/// Endpoints change for good: one that has been off the list for long is forgotten, once nothing is out to it. An
/// index never comes twice, so no late word can meet another endpoint under it.
#[derive(Default)]
pub struct EndpointTable {
    by_name: BTreeMap<String, EndpointId>,
    entries: BTreeMap<EndpointId, EndpointEntry>,
    next: usize,
    unlisted: VecDeque<(Instant, EndpointId)>,
    /// Those with asks that found a full mailbox.
    with_queued: BTreeSet<EndpointId>,
}

impl EndpointTable {
    /// The entry of an entry of the list, which is on it from now on.
    pub fn upsert(&mut self, member: &ListedEndpoint) -> (EndpointId, &mut EndpointEntry) {
        let next = EndpointId(self.next);
        let at = *self.by_name.entry(member.name.clone()).or_insert(next);
        if at == next {
            self.next += 1;
        }
        let ListedEndpoint { kind, zone, dest, units, condition, .. } = *member;
        let new = || {
            let name = member.name.clone();
            EndpointEntry {
                name,
                address: None,
                kind,
                zone,
                dest,
                units,
                condition,
                peer: None,
                retired_peers: Vec::new(),
                queued: VecDeque::new(),
                in_flight: 0,
                unlisted_since: None,
            }
        };
        let entry = self.entries.entry(at).or_insert_with(new);
        entry.unlisted_since = None;
        (entry.units, entry.condition) = (units, condition);
        (at, entry)
    }

    /// The names of those that serve by the list.
    pub fn serving(&self) -> impl Iterator<Item = &str> {
        let is_serving =
            |entry: &&EndpointEntry| entry.condition == Condition::Running && entry.unlisted_since.is_none();
        self.entries.values().filter(is_serving).map(|entry| entry.name.as_str())
    }

    /// What the list said last of the endpoint of this name, as far as it is known.
    pub fn condition(&self, name: &str) -> Option<Condition> {
        let entry = self.by_name.get(name).and_then(|at| self.entries.get(at));
        entry.map(|entry| entry.condition)
    }

    /// Whether an endpoint of this name is known that belonged elsewhere: to another destination, kind or zone. It is over
    /// then, and what the list names is another one, which gets an index of its own.
    pub fn remove_if_replaced(&mut self, member: &ListedEndpoint) -> Option<EndpointId> {
        let at = *self.by_name.get(&member.name)?;
        let entry = self.entries.get(&at)?;
        let same = (entry.dest, entry.kind, entry.zone) == (member.dest, member.kind, member.zone);
        // What is gone may be named without its particulars.
        if same || member.condition == Condition::Deleted {
            return None;
        }
        self.by_name.remove(&member.name);
        self.mark_unlisted(at);
        Some(at)
    }

    /// All of them, for the process that takes this one's entry; deleted are those that the list names no more.
    pub fn snapshot(&self) -> (Vec<(EndpointId, ListedEndpoint)>, usize) {
        let listed = |entry: &EndpointEntry| {
            let EndpointEntry { address, dest, kind, zone, units, .. } = *entry;
            let condition = if entry.unlisted_since.is_some() { Condition::Deleted } else { entry.condition };
            ListedEndpoint { name: entry.name.clone(), address, dest, kind, zone, units, condition }
        };
        (self.entries.iter().map(|(at, entry)| (*at, listed(entry))).collect(), self.next)
    }

    /// Those of the process before, under their indices. What is listed of them is told anew.
    pub fn successor(known: Vec<(EndpointId, ListedEndpoint)>, next: usize) -> EndpointTable {
        let mut table = EndpointTable { next, ..EndpointTable::default() };
        for (at, one) in known {
            table.by_name.insert(one.name.clone(), at);
            table.upsert(&one).1.address = one.address;
            if one.condition == Condition::Deleted {
                table.mark_unlisted(at);
            }
        }
        table
    }

    /// The connections of an endpoint end as they come to rest; a later call opens new ones.
    pub fn retire(&mut self, at: EndpointId) {
        if let Some(entry) = self.entries.get_mut(&at) {
            entry.retire();
            if !entry.queued.is_empty() {
                self.with_queued.insert(at);
            }
        }
    }

    /// Asks whoever has calls out to an endpoint, or connections at rest. What is lost of that goes out to one that the
    /// list has just said drains, so a mailbox that is full is asked again.
    pub fn send_to_peers(&mut self, at: EndpointId, ask: Ask) {
        let Some(entry) = self.entries.get_mut(&at) else { return };
        let peers: Vec<_> = entry.peer.iter().chain(&entry.retired_peers).cloned().collect();
        for peer in peers {
            let ask = match ask {
                Ask::Revoke(submit) => Ask::Revoke(submit),
                Ask::Withhold(submit) => Ask::Withhold(submit),
                // What rests at one that is retired is ended already.
                _ => Ask::CloseIdle,
            };
            entry.send(peer, ask);
            if !entry.queued.is_empty() {
                self.with_queued.insert(at);
            }
        }
    }

    /// Asks again what found mailboxes full.
    pub fn resend_queued(&mut self) {
        for at in std::mem::take(&mut self.with_queued) {
            let Some(entry) = self.entries.get_mut(&at) else { continue };
            entry.send_queued();
            if !entry.queued.is_empty() {
                self.with_queued.insert(at);
            }
        }
    }

    pub fn get(&mut self, at: EndpointId) -> Option<&mut EndpointEntry> {
        self.entries.get_mut(&at)
    }

    pub fn ids(&self) -> Vec<EndpointId> {
        self.entries.keys().copied().collect()
    }

    pub fn mark_unlisted(&mut self, at: EndpointId) {
        self.retire(at);
        if let Some(entry) = self.entries.get_mut(&at).filter(|entry| entry.unlisted_since.is_none()) {
            let now = Instant::now();
            entry.unlisted_since = Some(now);
            self.unlisted.push_back((now, at));
        }
    }

    /// Forgets those that have been off the list for so long.
    pub fn remove_expired(&mut self, after: Duration) {
        while self.unlisted.front().is_some_and(|(since, _)| since.elapsed() > after) {
            let (since, at) = self.unlisted.pop_front().expect("looked at");
            match self.entries.get_mut(&at).filter(|entry| entry.unlisted_since == Some(since)) {
                Some(entry) if entry.in_flight > 0 => {
                    let now = Instant::now();
                    entry.unlisted_since = Some(now);
                    self.unlisted.push_back((now, at));
                }
                Some(entry) => {
                    if self.by_name.get(&entry.name) == Some(&at) {
                        self.by_name.remove(&entry.name);
                    }
                    self.entries.remove(&at);
                }
                None => {}
            }
        }
    }

    /// Those that the list names now.
    pub fn listed(&self) -> impl Iterator<Item = EndpointId> {
        self.entries.iter().filter(|(_, entry)| entry.unlisted_since.is_none()).map(|(at, _)| *at)
    }

    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.by_name.get(name).copied()
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
