//! The one that changes what there is and who owns it, while its epoch is the highest.
//!
//! Who is to be the controller, and with which epoch, is handed in (by hand, or by a lock service), as is who is there. A new
//! one takes up the furthest copy that it can reach and begins an era; whatever an earlier one said beyond that copy is
//! undone at those who heard it, by a snapshot. One that hears of a later epoch says no more.

use crate::budget::{self, Bucket};
use crate::catalog::{Change, Key, Owners, Replica, Settings, check_body};
use crate::placement::{Imbalance, Place, Placement};
use crate::publisher::{self, Heard, Publisher};
use crate::wire::{Fault, Peer, Record, Refusals, seal_announcement};
use indigomast::time::{Moment, Span};
use indigomast_rollout::wire::Secret;
use std::sync::Arc;

/// How often owners are looked at.
const LOOK: Span = Span::millis(100);
/// How often the other controllers are told that this one is there.
const ANNOUNCE: Span = Span::millis(2000);
/// Relays at the most.
const MOST_RELAYS: usize = 256;

#[derive(Clone, Debug)]
pub enum Event<'a> {
    Tick,
    Change(Change),
    /// Who is there, where; None is gone.
    Members(Vec<(u32, Option<Place>)>),
    Line {
        peer: Peer,
        line: &'a str,
    },
    Lost {
        peer: Peer,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Below(publisher::Action),
    /// A change that can't be made; nothing has changed.
    Refused(Fault),
    /// A later controller is there; this one says no more.
    Deposed(u32),
    /// To be said to the controller of this number, if it can be reached: should it be of an earlier epoch, it stops.
    Announce {
        controller: u32,
        line: String,
    },
}

#[derive(Clone)]
pub struct Controller {
    epoch: u32,
    secret: Secret,
    owners: usize,
    replica: Replica,
    placement: Placement,
    publisher: Publisher,
    moves: Bucket,
    look: Moment,
    number: u32,
    others: Vec<u32>,
    announced: Moment,
    deposed: Option<u32>,
    pub refusals: Refusals,
    /// Changes of owners made so far, and those of shards that had one already.
    pub moved: u64,
}

impl Controller {
    /// With the furthest copy there is; a blank one at the very beginning.
    ///
    /// # Panics
    ///
    /// The epoch is not later than the copy's.
    pub fn new(epoch: u32, replica: Replica, settings: &Settings, secret: Secret, now: Moment) -> Controller {
        assert!(epoch > replica.epoch(), "epoch {epoch} after {}", replica.epoch());
        let mut placement = Placement::new(settings);
        for shard in 0..replica.shard_count() {
            let known = replica.shard(shard).expect("counted");
            if known.epoch > 0 || !known.entries.is_empty() {
                placement.take_up(shard, known.owners, known.load(), now);
            }
        }
        let mut controller = Controller {
            epoch,
            secret: secret.clone(),
            owners: settings.owners,
            replica,
            placement,
            publisher: Publisher::new(secret, budget::RELAY, MOST_RELAYS),
            moves: Bucket::new(
                settings.moves_a_second,
                settings.moves_a_second,
                settings.moves_a_second,
                now,
            ),
            look: now,
            number: 0,
            others: Vec::new(),
            announced: now,
            deposed: None,
            refusals: Refusals::default(),
            moved: 0,
        };
        controller.write(now, |revision| Record::Era(revision, epoch));
        controller
    }

    /// Where other controllers may be running still.
    pub fn beside(mut self, others: Vec<u32>) -> Controller {
        self.others = others;
        self
    }

    /// Its number among all that relays choose from; it is told with each announcement.
    pub fn numbered(mut self, number: u32) -> Controller {
        self.number = number;
        self
    }

    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    pub fn publisher(&self) -> &Publisher {
        &self.publisher
    }

    pub fn imbalance(&self) -> Imbalance {
        self.placement.imbalance()
    }

    pub fn placement(&self) -> &Placement {
        &self.placement
    }

    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    pub fn deposed(&self) -> Option<u32> {
        self.deposed
    }

    pub fn next(&self) -> Option<Moment> {
        if self.deposed.is_some() {
            return None;
        }
        let look = self.look + LOOK;
        Some(self.publisher.next().map_or(look, |at| at.min(look)))
    }

    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        let mut below = Vec::new();
        if self.deposed.is_some() {
            if let Event::Line { peer, .. } = event {
                out.push(Action::Below(publisher::Action::Drop { peer }));
            }
            return out;
        }
        match event {
            Event::Tick => {}
            Event::Change(change) => {
                if let Err(fault) = self.change(now, change) {
                    self.refusals.add(fault.clone());
                    out.push(Action::Refused(fault));
                }
            }
            Event::Members(members) => {
                let first = self.placement.imbalance().mean == 0.0;
                members.into_iter().for_each(|(sender, place)| self.placement.member(now, sender, place));
                if first {
                    self.placement.forget_absent(now);
                }
                self.look(now);
            }
            Event::Line { peer, line } => {
                for heard in self.publisher.line(now, peer, line, &self.replica, self.epoch, &mut below) {
                    match heard {
                        Heard::Deposed(epoch) => {
                            self.deposed = Some(epoch);
                            out.push(Action::Deposed(epoch));
                            out.extend(below.into_iter().map(Action::Below));
                            return out;
                        }
                        Heard::Serves { sender, shard, epoch } => {
                            let current = self.replica.shard(shard).is_some_and(|known| known.epoch == epoch);
                            if current && let Some(owners) = self.placement.serves(shard, sender) {
                                self.assign(now, shard, owners);
                            }
                        }
                    }
                }
            }
            Event::Lost { peer } => self.publisher.lost(peer),
        }
        if now.since(self.look) >= LOOK {
            self.look(now);
        }
        if now.since(self.announced) >= ANNOUNCE {
            self.announced = now;
            let line = seal_announcement(&self.secret, self.number, self.epoch);
            out.extend(
                self.others.iter().map(|other| Action::Announce { controller: *other, line: line.clone() }),
            );
        }
        self.publisher.tick(now, &self.replica, &mut below);
        out.extend(below.into_iter().map(Action::Below));
        out
    }

    fn look(&mut self, now: Moment) {
        self.look = now;
        let allowed = self.moves.level(now) as usize;
        let changed = self.placement.step(now, allowed);
        // Shards that nobody served count as well, afterwards: those that can wait then do.
        let moves =
            changed.iter().filter(|(shard, _)| !self.replica.owners(*shard).list().is_empty()).count();
        self.moves.take(now, moves.min(allowed) as f64);
        self.moved += moves as u64;
        for (shard, owners) in changed {
            self.assign(now, shard, owners);
        }
    }

    fn assign(&mut self, now: Moment, shard: u32, owners: Owners) {
        let epoch = self.replica.shard(shard).map_or(0, |known| known.epoch) + 1;
        self.write(now, |revision| Record::Owners(shard, revision, epoch, owners));
    }

    fn change(&mut self, now: Moment, change: Change) -> Result<(), Fault> {
        let shard = match change {
            Change::Put { destination, weight, body } => {
                check_body(&body).map_err(|wrong| Fault::meaning("body", wrong))?;
                let body: Arc<str> = body.into();
                self.write(now, |revision| Record::Put(destination, revision, weight, body.clone()));
                self.replica.shard_of(destination)
            }
            Change::Remove { destination } => {
                if self.replica.find(destination).is_none_or(|entry| entry.body.is_none()) {
                    return Err(Fault::meaning("destination", format!("{destination} isn't there")));
                }
                self.write(now, |revision| Record::Remove(destination, revision));
                self.replica.shard_of(destination)
            }
            Change::Common { body } => {
                check_body(&body).map_err(|wrong| Fault::meaning("body", wrong))?;
                let body: Arc<str> = body.into();
                self.write(now, |revision| Record::Common(revision, body.clone()));
                return Ok(());
            }
        };
        self.placement.load(shard, self.replica.shard(shard).map_or([0; 2], |known| known.load()));
        Ok(())
    }

    fn write(&mut self, now: Moment, record: impl Fn(u64) -> Record) {
        let record = record(self.replica.revision() + 1);
        let applied = self.replica.apply(&record);
        debug_assert!(applied.is_ok(), "{applied:?}");
        self.publisher.grown(now);
    }

    /// How many of a shard's owners there are to be.
    pub fn owners_wanted(&self) -> usize {
        self.owners
    }

    /// A key's line of the log, as it stands.
    pub fn stands(&self, destination: u32) -> Option<u64> {
        matches!(self.replica.record(Key::Destination(destination), 0), Record::Put(..))
            .then(|| self.replica.find(destination).map_or(0, |entry| entry.revision))
    }

    /// Heap of the copy and the sessions; the table of owners beside them is not counted.
    pub fn memory(&self) -> usize {
        self.replica.memory() + self.publisher.memory()
    }
}
