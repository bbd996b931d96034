//! What goes over the lines, and what of it is refused.
//!
//! A line is what `indigomast_rollout::wire` makes: a keyed checksum in hex, a blank, JSON. The checksum is over the way it
//! goes, who subscribes and the challenge that this subscriber drew for the connection, so that no line of another
//! connection, subscriber or day passes; frames are numbered, so that none is left out or comes twice.

use crate::catalog::{Key, Owners, Position, escaped};
use indigomast_rollout::wire::{Secret, Way};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Of this form of the lines. Another one is refused, never guessed at.
pub const VERSION: u32 = 1;
/// What a frame without records has at the most, checksum and end of line included.
pub const OVERHEAD: usize = 224;

/// A connection, as its carrier numbers them.
pub type Peer = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Who {
    /// Only to say that it is there, with its epoch.
    Controller(u32),
    Relay(u32),
    Sender(u32),
}

impl Who {
    /// What the checksum is over beside the line, before and after the challenge is known to both.
    fn name(self, challenge: Option<u64>) -> String {
        match (self, challenge) {
            (Who::Controller(n), Some(challenge)) => format!("assignment controller {n} {challenge:016x}"),
            (Who::Relay(n), Some(challenge)) => format!("assignment relay {n} {challenge:016x}"),
            (Who::Sender(n), Some(challenge)) => format!("assignment sender {n} {challenge:016x}"),
            (_, None) => "assignment hello".into(),
        }
    }
}

/// Where a snapshot broke off: what came before is kept.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Taken {
    pub base: Position,
    /// The last shard that was begun, and the last destination in it.
    pub shard: u32,
    pub destination: Option<u32>,
    /// The shards had, the last included; empty for a relay, which takes all.
    pub had: Vec<u32>,
}

/// The first line of a subscriber.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hello {
    pub version: u32,
    pub who: Who,
    pub challenge: u64,
    /// The highest that it has heard of; nobody with a lower one may tell it anything.
    pub epoch: u32,
    /// Up to where it has all that concerns it; None has nothing.
    pub position: Option<Position>,
    /// Of whoever told it last: some of what it has may be as new as that.
    pub seen: Option<Position>,
    /// The shards it has in force; a relay has all or nothing.
    pub held: Vec<u32>,
    pub taken: Option<Taken>,
    /// What a relay had from a controller that was no longer the one, and has forgotten.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<Key>,
    /// Bytes that it may be sent at once.
    pub credit: u32,
}

/// What a subscriber says after its first line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Up {
    /// All frames up to this one are taken in.
    Ack(u64),
    /// From a relay: this sender serves this shard, as of this epoch of the shard.
    Serves { sender: u32, shard: u32, epoch: u32 },
}

/// What a publisher says. Taken in whole or not at all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Frame {
    pub version: u32,
    /// From 1 on.
    pub number: u64,
    /// Where the publisher stands; its epoch is that of the controller whose word this is.
    pub at: Position,
    /// Up to where the subscriber has all once it has this; None leaves that as it was.
    pub through: Option<Position>,
    pub records: Vec<Record>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// Destination, revision, weight, line of the list.
    Put(u32, u64, u32, Arc<str>),
    Remove(u32, u64),
    Common(u64, Arc<str>),
    /// Shard, revision, epoch of the shard, owners.
    Owners(u32, u64, u32, Owners),
    /// The subscriber no longer serves this shard.
    Release(u32),
    /// First revision and epoch of a controller.
    Era(u64, u32),
    /// A snapshot begins, or goes on where it broke off.
    Begin {
        base: Position,
        whole: bool,
        resumed: bool,
        eras: Vec<(u32, u64)>,
    },
    /// The lines that follow are of this one; as `Owners`.
    Shard(u32, u64, u32, Owners),
    /// What was asked for as a suspect, as it stands.
    Repair(Box<Record>),
    /// The snapshot is whole, and in force from here on.
    End,
    Refused(Reason),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The subscriber knows more than this publisher.
    Behind,
    /// The subscriber has heard what was never said by a controller that counted, after this position.
    Parted(Position),
    /// So many are served already.
    Full,
    /// Another controller has taken over; this is its epoch as heard here.
    Deposed(u32),
}

impl Record {
    /// Of the change that it tells of; None if that may be as new as whoever says so.
    pub(crate) fn revision(&self) -> Option<u64> {
        match self {
            Record::Put(_, revision, ..)
            | Record::Remove(_, revision)
            | Record::Common(revision, _)
            | Record::Owners(_, revision, ..) => Some(*revision),
            _ => None,
        }
    }

    /// Bytes within a frame, at the most.
    pub fn weight(&self) -> usize {
        match self {
            Record::Put(.., body) => 52 + escaped(body),
            Record::Common(_, body) => 40 + escaped(body),
            Record::Owners(..) | Record::Shard(..) => 112,
            Record::Begin { eras, .. } => 120 + eras.len() * 34,
            Record::Repair(record) => 14 + record.weight(),
            _ => 80,
        }
    }
}

/// Why something was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Cut, changed, of another connection, or not from one who knows the key.
    Forged,
    Version,
    /// Can't be read.
    Form,
    /// A frame left out, or twice.
    Order,
    /// From one who is no longer the controller.
    Epoch,
    /// Names what isn't there.
    Meaning,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub kind: Kind,
    /// Such as `records[3].shard`.
    pub place: String,
    pub wrong: String,
}

impl Fault {
    pub(crate) fn new(kind: Kind, place: impl Into<String>, wrong: impl Into<String>) -> Fault {
        Fault { kind, place: place.into(), wrong: wrong.into() }
    }

    pub(crate) fn meaning(place: &str, wrong: impl Into<String>) -> Fault {
        Fault::new(Kind::Meaning, place, wrong)
    }

    pub(crate) fn within(mut self, record: usize) -> Fault {
        self.place = format!("records[{record}].{}", self.place);
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "{}: {}", self.place, self.wrong)
    }
}

/// How often each was met.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Refusals {
    counts: [u64; 6],
    pub last: Option<Fault>,
}

impl Refusals {
    pub fn add(&mut self, fault: Fault) {
        self.counts[fault.kind as usize] += 1;
        self.last = Some(fault);
    }

    pub fn of(&self, kind: Kind) -> u64 {
        self.counts[kind as usize]
    }

    pub fn all(&self) -> u64 {
        self.counts.iter().sum()
    }
}

fn open<T: DeserializeOwned>(secret: &Secret, way: Way, name: &str, line: &str) -> Result<T, Fault> {
    #[derive(Deserialize)]
    struct Versioned {
        version: u32,
    }
    secret.open(way, name, line).map_err(|wrong| {
        if wrong.contains("checksum") {
            return Fault::new(Kind::Forged, "checksum", wrong);
        }
        // The sum is right, so who knows the key meant this; should it be of another version, that is the reason.
        match secret.open::<Versioned>(way, name, line) {
            Ok(other) if other.version != VERSION => versioned(other.version).unwrap_err(),
            _ => Fault::new(Kind::Form, "line", wrong),
        }
    })
}

fn versioned(version: u32) -> Result<(), Fault> {
    if version == VERSION {
        return Ok(());
    }
    Err(Fault::new(Kind::Version, "version", format!("{version}, this is {VERSION}")))
}

/// What a controller says to be known to other controllers and to relays: only that it is there, with its epoch.
pub fn seal_announcement(secret: &Secret, controller: u32, epoch: u32) -> String {
    let hello = Hello {
        version: VERSION,
        who: Who::Controller(controller),
        challenge: 0,
        epoch,
        position: None,
        seen: None,
        held: Vec::new(),
        taken: None,
        suspects: Vec::new(),
        credit: 0,
    };
    seal_hello(secret, &hello)
}

pub fn seal_hello(secret: &Secret, hello: &Hello) -> String {
    secret.seal(Way::FromAgent, &hello.who.name(None), hello)
}

/// # Errors
///
/// It is forged, cut, of another version or can't be read.
pub fn open_hello(secret: &Secret, line: &str) -> Result<Hello, Fault> {
    let hello: Hello = open(secret, Way::FromAgent, &Who::Relay(0).name(None), line)?;
    versioned(hello.version)?;
    Ok(hello)
}

pub fn seal_up(secret: &Secret, who: Who, challenge: u64, up: Up) -> String {
    secret.seal(Way::FromAgent, &who.name(Some(challenge)), &up)
}

/// # Errors
///
/// As [`open_hello`].
pub fn open_up(secret: &Secret, who: Who, challenge: u64, line: &str) -> Result<Up, Fault> {
    open(secret, Way::FromAgent, &who.name(Some(challenge)), line)
}

pub fn seal_frame(secret: &Secret, who: Who, challenge: u64, frame: &Frame) -> String {
    secret.seal(Way::ToAgent, &who.name(Some(challenge)), frame)
}

/// The frame that is due on a connection: the next by its number, of no earlier epoch than has been heard of.
///
/// # Errors
///
/// It is another, or none.
pub fn open_frame(
    secret: &Secret,
    who: Who,
    challenge: u64,
    due: (u64, u32),
    line: &str,
) -> Result<Frame, Fault> {
    let (number, epoch) = due;
    let frame: Frame = open(secret, Way::ToAgent, &who.name(Some(challenge)), line)?;
    versioned(frame.version)?;
    if frame.number != number {
        let wrong = format!("{}, {number} was due", frame.number);
        return Err(Fault::new(Kind::Order, "number", wrong));
    }
    if frame.at.epoch < epoch {
        let wrong = format!("{}, {epoch} has been heard of", frame.at.epoch);
        return Err(Fault::new(Kind::Epoch, "at.epoch", wrong));
    }
    Ok(frame)
}
