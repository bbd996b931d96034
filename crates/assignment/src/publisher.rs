//! Serves those below: a controller its relays with everything, a relay its senders with their parts.
//!
//! A session never queues changes, only what they are about: a key waits once however often it changes, and goes out as it
//! stands then. So what waits for a subscriber is never more than its part, a burst is done when the part has been sent
//! once, and one that is stopped costs nothing.

use crate::budget::{Bucket, Pace};
use crate::catalog::{Agreement, Key, Owners, Position, Replica};
use crate::wire::{Fault, Frame, Hello, Kind, OVERHEAD, Peer, Reason, Record, Refusals, Up, VERSION, Who};
use crate::wire::{open_hello, open_up, seal_frame};
use indigomast::time::{Moment, Span};
use indigomast_rollout::wire::Secret;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};

/// A subscriber that has acknowledged nothing for so long is taken for gone.
const MUTE: Span = Span::millis(60_000);

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Say { peer: Peer, line: String },
    Drop { peer: Peer },
}

/// What a session said that its publisher's owner has to know.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Heard {
    /// A subscriber has heard of a later controller.
    Deposed(u32),
    /// A sender serves a shard.
    Serves { sender: u32, shard: u32, epoch: u32 },
}

/// A snapshot under way.
#[derive(Clone, Debug)]
struct Walk {
    whole: bool,
    resumed: bool,
    base: Position,
    /// None: all there are.
    shards: Option<Vec<u32>>,
    /// The next shard by its place in the list, and the last destination sent of it.
    at: usize,
    after: Option<u32>,
    begun: bool,
    opened: bool,
}

impl Walk {
    fn new(whole: bool, base: Position, shards: Option<Vec<u32>>) -> Walk {
        Walk { whole, resumed: false, base, shards, at: 0, after: None, begun: false, opened: false }
    }

    fn shard(&self, replica: &Replica) -> Option<u32> {
        match &self.shards {
            Some(shards) => shards.get(self.at).copied(),
            None => ((self.at as u32) < replica.shard_count()).then_some(self.at as u32),
        }
    }
}

#[derive(Clone, Debug)]
struct Session {
    who: Who,
    challenge: u64,
    number: u64,
    /// Since when nothing has been owed, or the last acknowledgement.
    heard: Moment,
    out: VecDeque<(u64, usize)>,
    unacked: usize,
    bucket: Bucket,
    said: Moment,
    wake: Moment,
    /// Up to where the subscriber has all with what was sent.
    through: Option<Position>,
    walk: Option<Walk>,
    /// Senders: what changed, by the revision at which it first did.
    pending: VecDeque<(u64, Key)>,
    queued: HashSet<Key>,
    /// Senders: the shards they have with what was sent.
    holds: BTreeSet<u32>,
    /// And those that they have and were no owners of for a while, if only a moment: what changed then they were not told.
    lost: BTreeSet<u32>,
    /// Frames whose acknowledgement says that a shard is served.
    proofs: VecDeque<(u64, u32, u32)>,
    /// Senders: a snapshot of one shard is of a change first made at this revision.
    unit: Option<u64>,
}

impl Session {
    fn queue(&mut self, revision: u64, key: Key) {
        if self.queued.insert(key) {
            self.pending.push_back((revision, key));
        }
    }
}

#[derive(Clone)]
pub struct Publisher {
    secret: Secret,
    pace: Pace,
    most: usize,
    sessions: BTreeMap<Peer, Session>,
    by_who: HashMap<Who, Peer>,
    agenda: BTreeSet<(Moment, Peer)>,
    /// Relays: who owns what, of all senders.
    parts: HashMap<u32, BTreeSet<u32>>,
    pub refusals: Refusals,
    /// Sessions begun by changes, by a snapshot, and by a snapshot taken up.
    pub resumed: u64,
    pub snapshots: u64,
    pub taken_up: u64,
}

impl Publisher {
    /// For so many sessions at the most.
    pub fn new(secret: Secret, pace: Pace, most: usize) -> Publisher {
        Publisher {
            secret,
            pace,
            most,
            sessions: BTreeMap::new(),
            by_who: HashMap::new(),
            agenda: BTreeSet::new(),
            parts: HashMap::new(),
            refusals: Refusals::default(),
            resumed: 0,
            snapshots: 0,
            taken_up: 0,
        }
    }

    /// The replica is another one: who owns what is read anew, and nobody's session goes on.
    pub(crate) fn reset(&mut self, replica: &Replica, out: &mut Vec<Action>) {
        self.parts.clear();
        for shard in 0..replica.shard_count() {
            for sender in replica.owners(shard).list() {
                self.parts.entry(*sender).or_default().insert(shard);
            }
        }
        for peer in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.end(peer, out);
        }
    }

    pub fn sessions(&self) -> usize {
        self.sessions.len()
    }

    pub fn lost(&mut self, peer: Peer) {
        if let Some(session) = self.sessions.remove(&peer) {
            self.agenda.remove(&(session.wake, peer));
            if self.by_who.get(&session.who) == Some(&peer) {
                self.by_who.remove(&session.who);
            }
        }
    }

    fn end(&mut self, peer: Peer, out: &mut Vec<Action>) {
        self.lost(peer);
        out.push(Action::Drop { peer });
    }

    fn refuse(&mut self, peer: Peer, fault: Fault, out: &mut Vec<Action>) {
        self.refusals.add(fault);
        self.end(peer, out);
    }

    /// When [`Publisher::tick`] has something to do.
    pub fn next(&self) -> Option<Moment> {
        self.agenda.first().map(|(at, _)| *at)
    }

    fn wake(&mut self, peer: Peer, at: Moment) {
        if let Some(session) = self.sessions.get_mut(&peer) {
            self.agenda.remove(&(session.wake, peer));
            session.wake = at;
            self.agenda.insert((at, peer));
        }
    }

    fn wake_sooner(&mut self, peer: Peer, at: Moment) {
        if self.sessions.get(&peer).is_some_and(|session| session.wake > at) {
            self.wake(peer, at);
        }
    }

    /// A line of a subscriber, and what it says beside that.
    pub fn line(
        &mut self,
        now: Moment,
        peer: Peer,
        line: &str,
        replica: &Replica,
        epoch: u32,
        out: &mut Vec<Action>,
    ) -> Vec<Heard> {
        let Some(session) = self.sessions.get(&peer) else {
            return match open_hello(&self.secret, line) {
                Ok(hello) => self.hello(now, peer, hello, replica, epoch, out),
                Err(fault) => {
                    self.refuse(peer, fault, out);
                    Vec::new()
                }
            };
        };
        match open_up(&self.secret, session.who, session.challenge, line) {
            Ok(Up::Ack(number)) => self.acked(now, peer, number, out),
            Ok(Up::Serves { sender, shard, epoch }) if matches!(session.who, Who::Relay(_)) => {
                vec![Heard::Serves { sender, shard, epoch }]
            }
            Ok(Up::Serves { .. }) => {
                self.refuse(peer, Fault::meaning("serves", "a sender says so by its acknowledgements"), out);
                Vec::new()
            }
            Err(fault) => {
                self.refuse(peer, fault, out);
                Vec::new()
            }
        }
    }

    fn acked(&mut self, now: Moment, peer: Peer, number: u64, out: &mut Vec<Action>) -> Vec<Heard> {
        let Some(session) = self.sessions.get_mut(&peer) else { return Vec::new() };
        if number > session.number {
            let sent = session.number;
            self.refuse(peer, Fault::new(Kind::Order, "ack", format!("{number}, {sent} were sent")), out);
            return Vec::new();
        }
        session.heard = now;
        while let Some((known, bytes)) = session.out.front().copied()
            && known <= number
        {
            session.unacked -= bytes;
            session.out.pop_front();
        }
        let who = session.who;
        let mut served = Vec::new();
        while let Some((_, shard, epoch)) = session.proofs.pop_front_if(|(known, ..)| *known <= number) {
            if let Who::Sender(sender) = who {
                served.push(Heard::Serves { sender, shard, epoch });
            }
        }
        self.wake_sooner(peer, now);
        served
    }

    fn hello(
        &mut self,
        now: Moment,
        peer: Peer,
        hello: Hello,
        replica: &Replica,
        epoch: u32,
        out: &mut Vec<Action>,
    ) -> Vec<Heard> {
        if hello.epoch > epoch {
            self.say_refused(now, peer, &hello, replica, Reason::Behind, out);
            return vec![Heard::Deposed(hello.epoch)];
        }
        if let Who::Controller(_) = hello.who {
            self.say_refused(now, peer, &hello, replica, Reason::Deposed(epoch), out);
            return Vec::new();
        }
        if let Some(shard) = hello.held.iter().find(|shard| **shard >= replica.shard_count()) {
            let wrong = format!("{shard}, there are {}", replica.shard_count());
            self.refuse(peer, Fault::meaning("held", wrong), out);
            return Vec::new();
        }
        // Some of what it has may be newer than its position: that has to be of this history too, else all is told anew.
        let seen = hello.seen.map(|seen| replica.agreement(seen));
        let parted = seen == Some(Agreement::Parted);
        let agreement = hello.position.filter(|_| !parted).map(|position| replica.agreement(position));
        if agreement == Some(Agreement::Ahead) || seen == Some(Agreement::Ahead) {
            self.say_refused(now, peer, &hello, replica, Reason::Behind, out);
            return Vec::new();
        }
        // One that has parted goes back to where it had not, if it can; else it comes again with nothing.
        let last = hello.position.max(hello.seen);
        if (parted || agreement == Some(Agreement::Parted))
            && let Some(common) = last.and_then(|last| replica.common_with(last))
        {
            self.say_refused(now, peer, &hello, replica, Reason::Parted(common), out);
            return Vec::new();
        }
        // Who comes again has lost its earlier connection, whether or not that has been noticed here.
        if let Some(before) = self.by_who.get(&hello.who).copied() {
            self.end(before, out);
        }
        if self.sessions.len() >= self.most {
            self.say_refused(now, peer, &hello, replica, Reason::Full, out);
            return Vec::new();
        }
        let bucket = Bucket::new(self.pace.rate, self.pace.burst, f64::from(hello.credit), now);
        let mut session = Session {
            who: hello.who,
            challenge: hello.challenge,
            number: 0,
            heard: now,
            out: VecDeque::new(),
            unacked: 0,
            bucket,
            // A heartbeat soon, so that the subscriber knows that it was heard.
            said: now - self.pace.heartbeat,
            wake: now,
            through: hello.position.filter(|_| agreement == Some(Agreement::Same)),
            walk: None,
            pending: VecDeque::new(),
            queued: HashSet::new(),
            holds: BTreeSet::new(),
            lost: BTreeSet::new(),
            proofs: VecDeque::new(),
            unit: None,
        };
        let whole = |taken: &&crate::wire::Taken| {
            !parted && taken.shard < replica.shard_count() && replica.agreement(taken.base) == Agreement::Same
        };
        let taken = hello.taken.as_ref().filter(whole);
        let mut serves = Vec::new();
        match hello.who {
            Who::Controller(_) => {}
            Who::Relay(_) if session.through.is_some() => {
                let known = |key: &&Key| match key {
                    Key::Shard(shard) => *shard < replica.shard_count(),
                    Key::Destination(_) => true,
                    _ => false,
                };
                hello.suspects.iter().filter(known).for_each(|key| session.queue(0, *key));
                self.resumed += 1;
            }
            Who::Relay(_) => {
                let mut walk = Walk::new(true, replica.position(), None);
                if let Some(taken) = taken {
                    walk = Walk { resumed: true, base: taken.base, at: taken.shard as usize, ..walk };
                    (walk.after, walk.opened) = (taken.destination, true);
                    self.taken_up += 1;
                } else {
                    self.snapshots += 1;
                }
                session.walk = Some(walk);
            }
            Who::Sender(sender) => {
                let part = self.parts.get(&sender).cloned().unwrap_or_default();
                // Where it broke off within a shard that is no longer its own, the rest of that would never come.
                if let Some(taken) = taken
                    && session.through.is_none()
                    && part.contains(&taken.shard)
                {
                    let rest: Vec<u32> = part.range(taken.shard..).copied().collect();
                    let begun = rest.first() == Some(&taken.shard);
                    let mut walk = Walk::new(true, taken.base, Some(rest.clone()));
                    walk.resumed = true;
                    (walk.after, walk.opened) = (taken.destination.filter(|_| begun), begun);
                    session.walk = Some(walk);
                    let had = taken.had.iter().copied().filter(|shard| *shard < replica.shard_count());
                    session.holds = had.collect();
                    self.catch_up(&mut session, &part, taken.base.revision, replica);
                    session.holds.extend(rest);
                    self.taken_up += 1;
                } else if let Some(position) = session.through {
                    session.holds = hello.held.iter().copied().collect();
                    // What it took from one who was no longer the controller is told anew, or taken from it.
                    for suspect in &hello.suspects {
                        if let Key::Shard(shard) = suspect
                            && session.holds.remove(shard)
                        {
                            session.lost.insert(*shard);
                        }
                    }
                    self.catch_up(&mut session, &part, position.revision, replica);
                    self.resumed += 1;
                    let joining = |shard: &&u32| {
                        session.holds.contains(shard) && replica.owners(**shard).joining() == Some(sender)
                    };
                    // It took the shards in, and the relay that should have said so is gone.
                    serves.extend(part.iter().filter(joining).map(|shard| {
                        let epoch = replica.shard(*shard).map_or(0, |known| known.epoch);
                        Heard::Serves { sender, shard: *shard, epoch }
                    }));
                } else {
                    session.walk =
                        Some(Walk::new(true, replica.position(), Some(part.iter().copied().collect())));
                    session.holds = part;
                    self.snapshots += 1;
                }
            }
        }
        self.by_who.insert(hello.who, peer);
        self.agenda.insert((now, peer));
        self.sessions.insert(peer, session);
        serves
    }

    /// What a sender lacks that has all of its shards up to this revision.
    fn catch_up(&self, session: &mut Session, part: &BTreeSet<u32>, revision: u64, replica: &Replica) {
        let mut lacking: Vec<(u64, Key)> = Vec::new();
        let mut gone = Vec::new();
        let walked = |shard: &u32| {
            let walk = session.walk.as_ref().and_then(|walk| walk.shards.as_ref());
            walk.is_some_and(|shards| shards.binary_search(shard).is_ok())
        };
        let known: BTreeSet<u32> = part.iter().chain(&session.holds).chain(&session.lost).copied().collect();
        for shard in &known {
            let known = &replica.shards[*shard as usize];
            let (owned, held) = (part.contains(shard), session.holds.contains(shard));
            if owned && held {
                if known.revision > revision {
                    lacking.push((known.revision, Key::Shard(*shard)));
                }
                let newer = known.entries.iter().filter(|entry| entry.revision > revision);
                lacking.extend(newer.map(|entry| (entry.revision, Key::Destination(entry.destination))));
            } else if !walked(shard) {
                if held {
                    gone.push(*shard);
                }
                // Whenever that came: what it doesn't have, or has and is no longer told of, is as of that position.
                lacking.push((revision + 1, Key::Shard(*shard)));
            }
        }
        for shard in gone {
            session.holds.remove(&shard);
            session.lost.insert(shard);
        }
        if let Some((at, _)) = replica.common
            && at > revision
        {
            lacking.push((at, Key::Common));
        }
        lacking.sort();
        lacking.into_iter().for_each(|(revision, key)| session.queue(revision, key));
    }

    fn say_refused(
        &mut self,
        now: Moment,
        peer: Peer,
        hello: &Hello,
        replica: &Replica,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        let records = vec![Record::Refused(reason)];
        let frame = Frame { version: VERSION, number: 1, at: replica.position(), through: None, records };
        let line = seal_frame(&self.secret, hello.who, hello.challenge, &frame);
        let mut bucket = Bucket::new(self.pace.rate, self.pace.burst, f64::from(hello.credit), now);
        // Refusing is within the budget as well; silence says the same, later.
        if bucket.take(now, (line.len() + 1) as f64) {
            out.push(Action::Say { peer, line });
        }
        out.push(Action::Drop { peer });
    }

    /// The replica has taken in this change; before were the shard's owners.
    pub(crate) fn changed(&mut self, now: Moment, replica: &Replica, key: Key, before: Owners) {
        let shard = match key {
            Key::Destination(destination) => replica.shard_of(destination),
            Key::Shard(shard) => shard,
            Key::Common => {
                for (peer, session) in &mut self.sessions {
                    session.queue(replica.revision(), key);
                    self.agenda.remove(&(session.wake, *peer));
                    session.wake = session.wake.min(now);
                    self.agenda.insert((session.wake, *peer));
                }
                return;
            }
            Key::Era => return,
        };
        let after = replica.owners(shard);
        if let Key::Shard(_) = key {
            for sender in before.list().iter().filter(|sender| !after.has(**sender)) {
                if let Some(part) = self.parts.get_mut(sender) {
                    part.remove(&shard);
                }
            }
            for sender in after.list() {
                self.parts.entry(*sender).or_default().insert(shard);
            }
        }
        let gone = before.list().iter().filter(|sender| !after.has(**sender));
        for sender in after.list().iter().chain(gone) {
            if let Some(peer) = self.by_who.get(&Who::Sender(*sender)).copied() {
                if let Some(session) = self.sessions.get_mut(&peer) {
                    if !after.has(*sender) && session.holds.remove(&shard) {
                        session.lost.insert(shard);
                    }
                    session.queue(replica.revision(), key);
                }
                self.wake_sooner(peer, now);
            }
        }
    }

    /// There is something for everybody.
    pub(crate) fn grown(&mut self, now: Moment) {
        for peer in self.sessions.keys().copied().collect::<Vec<_>>() {
            self.wake_sooner(peer, now);
        }
    }

    /// Says what is due and may be said.
    pub fn tick(&mut self, now: Moment, replica: &Replica, out: &mut Vec<Action>) {
        while let Some((at, peer)) = self.agenda.first().copied()
            && at <= now
        {
            let Some(mut session) = self.sessions.remove(&peer) else {
                self.agenda.remove(&(at, peer));
                continue;
            };
            let wake = self.flush(&mut session, now, peer, replica, out);
            self.sessions.insert(peer, session);
            match wake {
                Some(wake) => self.wake(peer, wake.max(now + Span::millis(1))),
                None => self.end(peer, out),
            }
        }
    }

    fn flush(
        &self,
        session: &mut Session,
        now: Moment,
        peer: Peer,
        replica: &Replica,
        out: &mut Vec<Action>,
    ) -> Option<Moment> {
        loop {
            let beat = session.said + self.pace.heartbeat;
            let relay = matches!(session.who, Who::Relay(_));
            if relay
                && session.walk.is_none()
                && session.through.is_some_and(|at| at.revision < replica.floor())
            {
                // Too slow for the log: told all anew.
                session.walk = Some(Walk::new(true, replica.position(), None));
            }
            let behind = session.through.is_none_or(|at| at.revision < replica.revision());
            let asked = session.pending.front().is_some_and(|(revision, _)| !relay || *revision == 0);
            let some = session.walk.is_some() || asked || (relay && behind);
            if session.unacked > 0 && now.since(session.heard) > MUTE {
                return None;
            }
            if session.unacked >= self.pace.window {
                // The acknowledgement wakes it.
                return Some(now + self.pace.heartbeat);
            }
            let level = session.bucket.level(now);
            if !some && now < beat {
                return Some(beat);
            }
            if some && level < self.pace.least as f64 {
                return Some(session.bucket.when(now, self.pace.least as f64));
            }
            if level < OVERHEAD as f64 {
                return Some(session.bucket.when(now, OVERHEAD as f64));
            }
            let room = (level as usize).min(self.pace.largest) - OVERHEAD;
            session.number += 1;
            let records = if relay {
                self.everything(session, replica, room)
            } else {
                self.part(session, replica, room)
            };
            let frame = Frame {
                version: VERSION,
                number: session.number,
                at: replica.position(),
                through: session.through,
                records,
            };
            let line = seal_frame(&self.secret, session.who, session.challenge, &frame);
            let bytes = line.len() + 1;
            debug_assert!(bytes <= room + OVERHEAD, "{bytes} for {room}: {frame:?}");
            session.bucket.take(now, bytes as f64);
            session.out.push_back((session.number, bytes));
            session.unacked += bytes;
            session.said = now;
            out.push(Action::Say { peer, line });
        }
    }

    /// For a relay: the snapshot, else what the log has.
    fn everything(&self, session: &mut Session, replica: &Replica, room: usize) -> Vec<Record> {
        let mut records = Vec::new();
        let mut left = room;
        if let Some(walk) = &mut session.walk {
            if !pieces(walk, replica, &mut left, &mut records, true) {
                session.through = None;
                return records;
            }
            session.through = Some(walk.base);
            session.walk = None;
            return records;
        }
        while let Some((_, key)) = session.pending.front().copied().filter(|(revision, _)| *revision == 0) {
            let record =
                Record::Repair(Box::new(replica.record(key, session.through.map_or(0, |at| at.revision))));
            if record.weight() > left {
                return records;
            }
            left -= record.weight();
            records.push(record);
            session.pending.pop_front();
        }
        let from = session.through.map_or(0, |at| at.revision);
        let mut through = replica.revision();
        let mut last = from;
        for (revision, key) in replica.since(from) {
            let record = replica.record(key, revision);
            if record.weight() > left {
                through = last;
                break;
            }
            left -= record.weight();
            last = revision;
            records.push(record);
        }
        session.through = Some(replica.position_at(through));
        session.pending.clear();
        session.queued.clear();
        records
    }

    /// For a sender: the snapshot under way, then what changed, in the order in which it first did.
    fn part(&self, session: &mut Session, replica: &Replica, room: usize) -> Vec<Record> {
        let Who::Sender(sender) = session.who else { unreachable!("relays are told everything") };
        let mut records = Vec::new();
        let mut left = room;
        loop {
            if let Some(walk) = &mut session.walk {
                if !pieces(walk, replica, &mut left, &mut records, false) {
                    break;
                }
                if walk.whole {
                    session.through = Some(walk.base);
                }
                let joined = |shard: &&u32| replica.owners(**shard).joining() == Some(sender);
                for shard in walk.shards.iter().flatten().filter(joined) {
                    let epoch = replica.shards[*shard as usize].epoch;
                    session.proofs.push_back((session.number, *shard, epoch));
                }
                session.walk = None;
                session.unit = None;
            }
            let Some((first, key)) = session.pending.front().copied() else { break };
            let held = |shard| session.holds.contains(&shard);
            let had = |shard| held(shard) || session.lost.contains(&shard);
            let record = match key {
                Key::Destination(destination) if had(replica.shard_of(destination)) => {
                    Some(replica.record(key, first))
                }
                Key::Shard(shard) => match (replica.owners(shard).has(sender), held(shard)) {
                    (true, true) => Some(replica.record(key, first)),
                    (true, false) => {
                        session.lost.remove(&shard);
                        let walk = Walk::new(false, replica.position(), Some(vec![shard]));
                        session.walk = Some(walk);
                        session.unit = Some(first);
                        None
                    }
                    (false, _) => session.lost.contains(&shard).then_some(Record::Release(shard)),
                },
                Key::Common => Some(replica.record(key, first)),
                _ => None,
            };
            if let Some(record) = record {
                if record.weight() > left {
                    break;
                }
                left -= record.weight();
                if let Record::Owners(shard, _, epoch, owners) = &record
                    && owners.joining() == Some(sender)
                {
                    session.proofs.push_back((session.number, *shard, *epoch));
                }
                if let Record::Release(shard) = record {
                    session.lost.remove(&shard);
                }
                records.push(record);
            } else if let (Key::Shard(shard), true) = (key, session.walk.is_some()) {
                session.holds.insert(shard);
            }
            session.pending.pop_front();
            session.queued.remove(&key);
        }
        if session.walk.as_ref().is_none_or(|walk| !walk.whole) {
            let waits =
                session.unit.into_iter().chain(session.pending.front().map(|(first, _)| *first)).min();
            let through = waits.map_or(replica.revision(), |first| first.saturating_sub(1));
            let through = replica.position_at(through.min(replica.revision()));
            session.through = Some(session.through.map_or(through, |known| known.max(through)));
        }
        records
    }

    /// Heap of all sessions and of who owns what, from what their collections hold room for.
    pub fn memory(&self) -> usize {
        let session = |s: &Session| {
            size_of::<Session>()
                + s.pending.capacity() * size_of::<(u64, Key)>()
                + s.queued.capacity() * (size_of::<Key>() + 1)
                + s.holds.len() * 6
                + s.out.capacity() * 16
        };
        let parts: usize = self.parts.values().map(|part| 56 + part.len() * 6).sum();
        self.sessions.values().map(session).sum::<usize>() + parts
    }
}

/// Goes on with a snapshot as far as there is room; whether it is whole.
fn pieces(
    walk: &mut Walk,
    replica: &Replica,
    left: &mut usize,
    records: &mut Vec<Record>,
    eras: bool,
) -> bool {
    let mut add = |record: Record| {
        let fits = record.weight() <= *left;
        if fits {
            *left -= record.weight();
            records.push(record);
        }
        fits
    };
    if !walk.begun {
        let eras = if eras { replica.eras.clone() } else { Vec::new() };
        let begin = Record::Begin { base: walk.base, whole: walk.whole, resumed: walk.resumed, eras };
        if !add(begin) {
            return false;
        }
        walk.begun = true;
        if walk.whole
            && !walk.resumed
            && let Some((revision, body)) = &replica.common
            && !add(Record::Common(*revision, body.clone()))
        {
            // There is room for both in any frame that may be begun.
            return false;
        }
    }
    while let Some(shard) = walk.shard(replica) {
        let known = &replica.shards[shard as usize];
        if !walk.opened {
            if !add(Record::Shard(shard, known.revision, known.epoch, known.owners)) {
                return false;
            }
            (walk.opened, walk.after) = (true, None);
        }
        let from = walk.after.map_or(0, |after| known.entries.partition_point(|e| e.destination <= after));
        for entry in &known.entries[from..] {
            if let Some(body) = &entry.body
                && !add(Record::Put(entry.destination, entry.revision, entry.weight, body.clone()))
            {
                return false;
            }
            walk.after = Some(entry.destination);
        }
        (walk.at, walk.opened, walk.after) = (walk.at + 1, false, None);
    }
    add(Record::End)
}
