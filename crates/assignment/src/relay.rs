//! A control machine: holds a whole copy, as its controller says, and serves its senders from it.
//!
//! Cut off from the controller it goes on serving the last word. It obeys no controller of an earlier epoch than any that it
//! or one of its senders has heard of.

use crate::budget::{self, Pace};
use crate::catalog::{Key, Position, Replica};
use crate::link::{Do, Link};
use crate::publisher::{self, Heard, Publisher};
use crate::wire::{Fault, Frame, Hello, Kind, Peer, Reason, Record, Refusals, Taken, Up, VERSION, Who};
use crate::wire::{open_frame, open_hello, seal_hello, seal_up};
use indigomast::time::Moment;
use indigomast_rollout::wire::Secret;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Event<'a> {
    Tick,
    /// The connection to a controller.
    Connected,
    Lost,
    Line(&'a str),
    /// Of a sender's connection.
    SenderLine {
        peer: Peer,
        line: &'a str,
    },
    SenderLost {
        peer: Peer,
    },
    /// A controller says that it is there.
    Announced(&'a str),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// To the controller of this number.
    Connect(u32),
    Disconnect,
    Say(String),
    Below(publisher::Action),
}

#[derive(Clone, Debug)]
struct Staging {
    replica: Replica,
    base: Position,
    /// The shard that lines belong to now, and the last destination in it.
    open: Option<u32>,
    last: Option<u32>,
}

#[derive(Clone)]
pub struct Relay {
    id: u32,
    secret: Secret,
    link: Link,
    number: u64,
    /// Highest epoch heard of, also from below.
    epoch: u32,
    seen: Option<Position>,
    replica: Replica,
    /// It has had a whole copy.
    filled: bool,
    /// That copy is of a history which can't be led back to the one that counts.
    parted: bool,
    staging: Option<Staging>,
    /// The staging is of an earlier connection: it goes on only if this controller says so, as its first word.
    dormant: bool,
    /// Forgotten, and not told anew yet: nobody is served meanwhile.
    suspects: Vec<Key>,
    /// Shards that whoever joins their owners serves by now, as said by them, until the controller has taken that in: said
    /// once more on each connection, since the one before may have ended first.
    served: BTreeMap<u32, (u32, u32)>,
    publisher: Publisher,
    pub refusals: Refusals,
}

impl Relay {
    /// With the copy that it saved, or none; controllers in the order in which they are tried. The seed is another in each
    /// life of the process.
    #[allow(clippy::too_many_arguments, reason = "all of them are handed in once, at the start")]
    pub fn new(
        id: u32,
        blank: Replica,
        saved: Option<Replica>,
        controllers: Vec<u32>,
        most_sessions: usize,
        pace: Pace,
        secret: Secret,
        seed: u64,
        now: Moment,
    ) -> Relay {
        let filled = saved.is_some();
        let replica = saved.unwrap_or(blank);
        let mut publisher = Publisher::new(secret.clone(), pace, most_sessions);
        publisher.reset(&replica, &mut Vec::new());
        Relay {
            id,
            secret,
            link: Link::new(controllers, budget::RELAY_SILENT, budget::RELAY_RETRY_MOST, seed, now),
            number: 0,
            epoch: replica.epoch(),
            seen: filled.then(|| replica.position()),
            replica,
            filled,
            parted: false,
            staging: None,
            dormant: false,
            suspects: Vec::new(),
            served: BTreeMap::new(),
            publisher,
            refusals: Refusals::default(),
        }
    }

    /// What is to be saved, and what it serves.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    pub fn publisher(&self) -> &Publisher {
        &self.publisher
    }

    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    pub fn is_filled(&self) -> bool {
        self.filled
    }

    /// Whether its copy is one that a controller may begin with and that may be saved: it has had all of one, and none of it
    /// waits to be told anew.
    pub fn is_whole(&self) -> bool {
        self.filled && self.suspects.is_empty()
    }

    /// Destinations of a snapshot that isn't whole yet.
    pub fn staged(&self) -> Option<usize> {
        self.staging.as_ref().map(|staging| staging.replica.live())
    }

    pub fn next(&self) -> Moment {
        let link = self.link.next();
        self.publisher.next().map_or(link, |at| at.min(link))
    }

    pub fn step(&mut self, now: Moment, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        let mut below = Vec::new();
        match event {
            Event::Tick => {}
            Event::Connected => {
                let hello = self.hello(now);
                out.push(Action::Say(seal_hello(&self.secret, &hello)));
            }
            Event::Lost => self.link.failed(now),
            Event::Line(line) if self.link.is_up() => {
                if let Err(fault) = self.line(now, line, &mut out, &mut below) {
                    self.refusals.add(fault);
                    self.link.failed(now);
                    out.push(Action::Disconnect);
                }
            }
            Event::Line(_) => {}
            Event::SenderLine { peer, .. } if !self.filled || !self.suspects.is_empty() => {
                // Nothing to say yet: others have.
                below.push(publisher::Action::Drop { peer });
            }
            Event::SenderLine { peer, line } => {
                for heard in self.publisher.line(now, peer, line, &self.replica, self.epoch, &mut below) {
                    match heard {
                        Heard::Deposed(epoch) => {
                            self.epoch = self.epoch.max(epoch);
                            // Whoever this listens to may be of an earlier one: it will say so itself.
                            if self.link.is_up() && self.replica.epoch() < epoch {
                                self.link.failed(now);
                                out.push(Action::Disconnect);
                            }
                        }
                        Heard::Serves { sender, shard, epoch } => {
                            self.served.insert(shard, (sender, epoch));
                            self.serves(sender, shard, epoch, &mut out);
                        }
                    }
                }
            }
            Event::SenderLost { peer } => self.publisher.lost(peer),
            Event::Announced(line) => {
                if let Err(fault) = self.announced(now, line, &mut out) {
                    self.refusals.add(fault);
                }
            }
        }
        self.publisher.tick(now, &self.replica, &mut below);
        if let Some(due) = self.link.tick(now) {
            out.push(match due {
                Do::Connect(controller) => Action::Connect(controller),
                Do::Disconnect => Action::Disconnect,
            });
        }
        out.extend(below.into_iter().map(Action::Below));
        out
    }

    /// Goes to the latest controller without trying all that there could be, and back to none of an earlier epoch.
    fn announced(&mut self, now: Moment, line: &str, out: &mut Vec<Action>) -> Result<(), Fault> {
        let hello = open_hello(&self.secret, line)?;
        let Who::Controller(number) = hello.who else {
            return Err(Fault::meaning("who", "is no controller"));
        };
        if hello.epoch < self.epoch {
            return Ok(());
        }
        if hello.epoch > self.epoch && self.link.is_up() {
            self.link.failed(now);
            out.push(Action::Disconnect);
        }
        self.epoch = hello.epoch;
        self.link.prefer(now, number);
        Ok(())
    }

    fn hello(&mut self, now: Moment) -> Hello {
        let challenge = self.link.connected(now);
        self.number = 0;
        self.dormant = self.staging.is_some();
        let taken = self.staging.as_ref().and_then(|staging| {
            let shard = staging.open?;
            Some(Taken { base: staging.base, shard, destination: staging.last, had: Vec::new() })
        });
        Hello {
            version: VERSION,
            who: Who::Relay(self.id),
            challenge,
            epoch: self.epoch,
            position: (self.filled && !self.parted).then(|| self.replica.position()),
            seen: self.seen,
            held: Vec::new(),
            taken,
            suspects: self.suspects.clone(),
            credit: budget::RELAY.burst as u32,
        }
    }

    /// Forgets what the controller has taken in, or has decided otherwise since.
    fn settle(&mut self) {
        let replica = &self.replica;
        self.served.retain(|shard, (sender, epoch)| {
            replica
                .shard(*shard)
                .is_some_and(|known| known.epoch <= *epoch && known.owners.joining() == Some(*sender))
        });
    }

    fn serves(&self, sender: u32, shard: u32, epoch: u32, out: &mut Vec<Action>) {
        if self.link.is_up() {
            let up = Up::Serves { sender, shard, epoch };
            out.push(Action::Say(seal_up(&self.secret, Who::Relay(self.id), self.link.challenge(), up)));
        }
    }

    fn line(
        &mut self,
        now: Moment,
        line: &str,
        out: &mut Vec<Action>,
        below: &mut Vec<publisher::Action>,
    ) -> Result<(), Fault> {
        let who = Who::Relay(self.id);
        let due = (self.number + 1, self.epoch);
        let frame = open_frame(&self.secret, who, self.link.challenge(), due, line)?;
        if let Some(Record::Refused(Reason::Parted(common))) = frame.records.first() {
            match self.replica.rewind(*common) {
                Some(suspects) => {
                    self.suspects.extend(suspects);
                    self.suspects.sort_unstable();
                    self.suspects.dedup();
                    (self.seen, self.staging) = (self.filled.then(|| self.replica.position()), None);
                }
                None => {
                    // All anew; what there is goes on being served until then.
                    (self.parted, self.seen, self.staging) = (true, None, None);
                }
            }
            self.epoch = frame.at.epoch;
            self.publisher.reset(&self.replica, below);
            self.link.again(now);
            out.push(Action::Disconnect);
            return Ok(());
        }
        if let Some(Record::Refused(reason)) = frame.records.first() {
            let wrong = format!("refused: {reason:?}");
            return Err(Fault::new(Kind::Epoch, "records[0]", wrong));
        }
        self.check(&frame)?;
        self.number += 1;
        self.link.heard(now);
        self.epoch = frame.at.epoch;
        self.seen = Some(frame.at);
        if !frame.records.is_empty()
            && std::mem::take(&mut self.dormant)
            && !matches!(frame.records[0], Record::Begin { resumed: true, .. })
        {
            self.staging = None;
        }
        for record in &frame.records {
            self.take(now, record, below);
        }
        if self.number == 1 {
            self.settle();
            for (shard, (sender, epoch)) in &self.served {
                self.serves(*sender, *shard, *epoch, out);
            }
        }
        if let Some(through) = frame.through
            && self.filled
            && (self.dormant || self.staging.is_none())
        {
            self.replica.revision = self.replica.revision.max(through.revision);
        }
        out.push(Action::Say(seal_up(&self.secret, who, self.link.challenge(), Up::Ack(self.number))));
        Ok(())
    }

    /// Nothing of a frame is taken in unless all of it can be.
    fn check(&self, frame: &Frame) -> Result<(), Fault> {
        let resumes = matches!(frame.records.first(), Some(Record::Begin { resumed: true, .. }));
        let staging = self.staging.as_ref().filter(|_| !self.dormant || resumes);
        let mut staged = staging.map(|staging| staging.open);
        let mut last = self.replica.revision();
        let mut epoch = self.replica.epoch();
        for (at, record) in frame.records.iter().enumerate() {
            let fault = |place: &str, wrong: String| Err(Fault::meaning(place, wrong).within(at));
            match record {
                Record::Begin { resumed, whole, .. } => {
                    if !whole || (*resumed && staging.is_none()) {
                        return fault("begin", "goes on with what isn't there".into());
                    }
                    staged = Some(if *resumed { staged.flatten() } else { None });
                    continue;
                }
                Record::End if staged.is_some() => {
                    staged = None;
                    // What follows it in a frame is of the log after its base.
                    last = 0;
                    continue;
                }
                Record::End | Record::Release(_) | Record::Refused(_) => {
                    return fault("record", "can't stand here".into());
                }
                Record::Repair(record) if staged.is_none() => {
                    self.replica.check(record).map_err(|fault| fault.within(at))?;
                    continue;
                }
                Record::Era(revision, next) => {
                    if *next <= epoch && *revision > last {
                        return fault("epoch", format!("{next} after {epoch}"));
                    }
                    epoch = *next;
                }
                _ => self.replica.check(record).map_err(|fault| fault.within(at))?,
            }
            if let Some(open) = &mut staged {
                match record {
                    Record::Shard(shard, ..) => *open = Some(*shard),
                    Record::Put(destination, ..) if *open != Some(self.replica.shard_of(*destination)) => {
                        return fault(
                            "destination",
                            format!("{destination} isn't of the shard that is open"),
                        );
                    }
                    Record::Put(..) | Record::Common(..) => {}
                    _ => return fault("record", "can't stand in a snapshot".into()),
                }
                continue;
            }
            let revision = match record {
                Record::Put(_, revision, ..)
                | Record::Remove(_, revision)
                | Record::Owners(_, revision, ..)
                | Record::Common(revision, _)
                | Record::Era(revision, _) => *revision,
                _ => return fault("record", "no snapshot is open".into()),
            };
            if revision <= last {
                return fault("revision", format!("{revision} after {last}"));
            }
            last = revision;
        }
        Ok(())
    }

    fn take(&mut self, now: Moment, record: &Record, below: &mut Vec<publisher::Action>) {
        match record {
            Record::Begin { resumed: true, .. } => {}
            Record::Begin { base, eras, .. } => {
                let replica = self.replica.blank(*base, eras.clone());
                self.staging = Some(Staging { replica, base: *base, open: None, last: None });
            }
            Record::End => {
                if let Some(staging) = self.staging.take() {
                    self.replica = staging.replica;
                    (self.filled, self.parted) = (true, false);
                    self.suspects.clear();
                    self.publisher.reset(&self.replica, below);
                }
            }
            Record::Repair(record) => {
                self.replica.repair(record);
                let key = match **record {
                    Record::Put(destination, ..) | Record::Remove(destination, _) => {
                        Key::Destination(destination)
                    }
                    Record::Owners(shard, ..) => Key::Shard(shard),
                    _ => return,
                };
                self.suspects.retain(|suspect| *suspect != key);
                if self.suspects.is_empty() {
                    // Who owns what may be another as well.
                    self.publisher.reset(&self.replica, below);
                }
            }
            _ => {
                if let Some(staging) = &mut self.staging {
                    match record {
                        Record::Shard(shard, ..) => (staging.open, staging.last) = (Some(*shard), None),
                        Record::Put(destination, ..) => staging.last = Some(*destination),
                        _ => {}
                    }
                    staging.replica.fill(staging.open.unwrap_or(0), record);
                } else if let Ok(Some((key, before))) = self.replica.apply(record) {
                    self.publisher.changed(now, &self.replica, key, before);
                    if let Key::Shard(shard) = key
                        && self.replica.owners(shard).joining().is_none()
                    {
                        self.served.remove(&shard);
                    }
                }
            }
        }
    }

    /// Heap: the copy, and the sessions.
    pub fn memory(&self) -> usize {
        self.replica.memory() + self.publisher.memory()
    }
}
