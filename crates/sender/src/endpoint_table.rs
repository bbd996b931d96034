//! The endpoints that the list has named, by name and by the small index that the rules use for them.

use crate::list::ListedEndpoint;
use crate::peer::Ask;
use crossbeam_channel::{Sender, TrySendError};
use indigomast::api::{Condition, EndpointId, KindId, ZoneId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What is known of one endpoint, and the actor that holds its connections.
pub struct EndpointEntry {
    pub name: String,
    pub address: Option<SocketAddr>,
    pub kind: KindId,
    pub zone: ZoneId,
    pub dest: u64,
    pub units: f64,
    pub condition: Condition,
    /// The actor that gets new calls; `None` until the next call starts one.
    pub peer: Option<Sender<Ask>>,
    /// Actors that get no new calls but may have some in flight, for which later requests still have to reach them.
    retired_peers: Vec<Sender<Ask>>,
    /// Requests that found the mailbox of their actor full.
    queued: VecDeque<(Sender<Ask>, Ask)>,
    /// Submits without an outcome.
    pub in_flight: usize,
    /// Since when the list no longer names the endpoint.
    unlisted_since: Option<Instant>,
}

impl EndpointEntry {
    /// Has the current actor close its connections once they are idle; the next call starts another actor.
    fn retire(&mut self) {
        if let Some(peer) = self.peer.take() {
            self.send(peer.clone(), Ask::Retire);
            if self.in_flight > 0 {
                self.retired_peers.push(peer);
            }
        }
    }

    /// Counts the outcome of one submit.
    pub fn submit_ended(&mut self) {
        self.in_flight -= 1;
        if self.in_flight == 0 {
            self.retired_peers.clear();
        }
    }

    /// Sends a request, or queues it behind those already queued for the same actor, so that their order is kept.
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

/// The endpoints known to the sender. An endpoint that has been off the list for long is removed once it has no submits in
/// flight, since endpoints come and go for good. An index is never used again, so that a late message can't apply to
/// another endpoint.
#[derive(Default)]
pub struct EndpointTable {
    by_name: BTreeMap<String, EndpointId>,
    entries: BTreeMap<EndpointId, EndpointEntry>,
    next: usize,
    unlisted: VecDeque<(Instant, EndpointId)>,
    /// Endpoints with queued requests.
    with_queued: BTreeSet<EndpointId>,
}

impl EndpointTable {
    /// Adds or updates the endpoint of a list entry and marks it as listed.
    pub fn upsert(&mut self, member: &ListedEndpoint) -> (EndpointId, &mut EndpointEntry) {
        let next = EndpointId(self.next);
        let at = *self.by_name.entry(member.name.clone()).or_insert(next);
        if at == next {
            self.next += 1;
        }
        let ListedEndpoint { kind, zone, dest, units, condition, .. } = *member;
        let new_entry = || {
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
        let entry = self.entries.entry(at).or_insert_with(new_entry);
        entry.unlisted_since = None;
        (entry.units, entry.condition) = (units, condition);
        (at, entry)
    }

    /// Names of the endpoints that the list has as running.
    pub fn serving(&self) -> impl Iterator<Item = &str> {
        let is_serving =
            |entry: &&EndpointEntry| entry.condition == Condition::Running && entry.unlisted_since.is_none();
        self.entries.values().filter(is_serving).map(|entry| entry.name.as_str())
    }

    /// The last listed condition of the endpoint with this name, if it is known.
    pub fn condition(&self, name: &str) -> Option<Condition> {
        let entry = self.by_name.get(name).and_then(|at| self.entries.get(at));
        entry.map(|entry| entry.condition)
    }

    /// If the known endpoint of this name has another destination, kind or zone, the list entry is a different endpoint. The
    /// known one then loses its name, is marked as unlisted and returned, and the new one gets an index of its own.
    pub fn remove_if_replaced(&mut self, member: &ListedEndpoint) -> Option<EndpointId> {
        let at = *self.by_name.get(&member.name)?;
        let entry = self.entries.get(&at)?;
        let is_same = (entry.dest, entry.kind, entry.zone) == (member.dest, member.kind, member.zone);
        // The entry of a deleted endpoint may lack these fields.
        if is_same || member.condition == Condition::Deleted {
            return None;
        }
        self.by_name.remove(&member.name);
        self.mark_unlisted(at);
        Some(at)
    }

    /// All endpoints and the next index, for a successor process. Endpoints off the list are given as deleted.
    pub fn snapshot(&self) -> (Vec<(EndpointId, ListedEndpoint)>, usize) {
        let listed = |entry: &EndpointEntry| {
            let EndpointEntry { address, dest, kind, zone, units, .. } = *entry;
            let condition = if entry.unlisted_since.is_some() { Condition::Deleted } else { entry.condition };
            ListedEndpoint { name: entry.name.clone(), address, dest, kind, zone, units, condition }
        };
        (self.entries.iter().map(|(at, entry)| (*at, listed(entry))).collect(), self.next)
    }

    /// Restores the endpoints of the previous process under their indices. The rules are told of the listed ones again.
    pub fn successor(known: Vec<(EndpointId, ListedEndpoint)>, next: usize) -> EndpointTable {
        let mut table = EndpointTable { next, ..EndpointTable::default() };
        for (at, listed) in known {
            table.by_name.insert(listed.name.clone(), at);
            table.upsert(&listed).1.address = listed.address;
            if listed.condition == Condition::Deleted {
                table.mark_unlisted(at);
            }
        }
        table
    }

    /// Has the connections of an endpoint closed once they are idle; a later call opens new ones.
    pub fn retire(&mut self, at: EndpointId) {
        if let Some(entry) = self.entries.get_mut(&at) {
            entry.retire();
            if !entry.queued.is_empty() {
                self.with_queued.insert(at);
            }
        }
    }

    /// Sends a request to all actors with calls in flight or idle connections to an endpoint. If one were lost, calls could
    /// still go to an endpoint that the list has just marked as draining, so a request to a full mailbox is sent again.
    pub fn send_to_peers(&mut self, at: EndpointId, ask: Ask) {
        let Some(entry) = self.entries.get_mut(&at) else { return };
        let peers: Vec<_> = entry.peer.iter().chain(&entry.retired_peers).cloned().collect();
        for peer in peers {
            let ask = match ask {
                Ask::Revoke(submit) => Ask::Revoke(submit),
                Ask::Withhold(submit) => Ask::Withhold(submit),
                // Retired actors close their idle connections already.
                _ => Ask::CloseIdle,
            };
            entry.send(peer, ask);
            if !entry.queued.is_empty() {
                self.with_queued.insert(at);
            }
        }
    }

    /// Sends again the requests that found a full mailbox.
    pub fn resend_queued(&mut self) {
        for at in std::mem::take(&mut self.with_queued) {
            let Some(entry) = self.entries.get_mut(&at) else { continue };
            entry.send_queued();
            if !entry.queued.is_empty() {
                self.with_queued.insert(at);
            }
        }
    }

    /// The endpoint with this index.
    pub fn get(&mut self, at: EndpointId) -> Option<&mut EndpointEntry> {
        self.entries.get_mut(&at)
    }

    /// The indices of all known endpoints.
    pub fn ids(&self) -> Vec<EndpointId> {
        self.entries.keys().copied().collect()
    }

    /// Marks an endpoint as no longer listed and has its connections closed once they are idle.
    pub fn mark_unlisted(&mut self, at: EndpointId) {
        self.retire(at);
        if let Some(entry) = self.entries.get_mut(&at).filter(|entry| entry.unlisted_since.is_none()) {
            let now = Instant::now();
            entry.unlisted_since = Some(now);
            self.unlisted.push_back((now, at));
        }
    }

    /// Removes endpoints that have been off the list for longer than `after` and have no submits in flight.
    pub fn remove_expired(&mut self, after: Duration) {
        while self.unlisted.front().is_some_and(|(since, _)| since.elapsed() > after) {
            let (since, at) = self.unlisted.pop_front().expect("front was checked");
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

    /// The indices of the endpoints that the list names at present.
    pub fn listed(&self) -> impl Iterator<Item = EndpointId> {
        self.entries.iter().filter(|(_, entry)| entry.unlisted_since.is_none()).map(|(at, _)| *at)
    }

    /// The index of the endpoint with this name.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.by_name.get(name).copied()
    }

    /// The number of known endpoints, listed or not.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
