//! A whole copy as it is kept on a disk: pieces of a bounded size, and what came after them.
//!
//! The log of changes is kept as well: whoever is started again can tell others by changes what they missed, also what came
//! before its start.

use crate::catalog::{Agreement, Key, Position, Replica, Settings, shard_of};
use crate::wire::{Fault, Record, VERSION};
use serde::{Deserialize, Serialize};

/// Records, or keys of the log, of one piece.
const PIECE: usize = 512;

/// A piece of a copy, in this order: head, records, log, end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Piece {
    Head {
        version: u32,
        shards: u32,
        position: Position,
        /// The last revision that the log doesn't tell of.
        floor: u64,
        eras: Vec<(u32, u64)>,
    },
    /// A shard, then its destinations, those that were removed included; what is common to all.
    Records(Vec<Record>),
    Log(Vec<(u64, Key)>),
    /// So many pieces came before.
    End(u64),
}

/// What came after a position, up to another: each key as it stands at the end. Taken in whole or not at all, since nothing
/// between the two is a state that ever was.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Batch {
    pub version: u32,
    pub from: Position,
    pub through: Position,
    pub records: Vec<Record>,
}

fn versioned(version: u32) -> Result<(), Fault> {
    if version == VERSION {
        return Ok(());
    }
    Err(Fault::new(crate::wire::Kind::Version, "version", format!("{version}, this is {VERSION}")))
}

impl Replica {
    /// All of this copy, to be written in this order.
    pub fn pieces(&self) -> impl Iterator<Item = Piece> {
        let head = Piece::Head {
            version: VERSION,
            shards: self.shard_count(),
            position: self.position(),
            floor: self.floor(),
            eras: self.eras.clone(),
        };
        let common = self.common.iter().map(|(revision, body)| Record::Common(*revision, body.clone()));
        let shards = (0..self.shard_count()).flat_map(move |shard| {
            let known = &self.shards[shard as usize];
            // One that was never touched is as a blank one has it.
            let touched = known.epoch > 0 || known.revision > 0 || !known.entries.is_empty();
            let first = touched.then_some(Record::Shard(shard, known.revision, known.epoch, known.owners));
            let entries = known.entries.iter().map(|entry| match &entry.body {
                Some(body) => Record::Put(entry.destination, entry.revision, entry.weight, body.clone()),
                None => Record::Remove(entry.destination, entry.revision),
            });
            first.into_iter().chain(entries)
        });
        let records = chunks(common.chain(shards)).map(Piece::Records);
        let log = chunks(self.log().iter().copied()).map(Piece::Log);
        let pieces = std::iter::once(head).chain(records).chain(log);
        // The end knows how many there were, so that none can be left out.
        Ended { pieces, count: 0, ended: false }
    }

    /// The copy that these pieces are of.
    ///
    /// # Errors
    ///
    /// The number of the piece that can't stand there (`pieces[3].records[7].shard`), or that the end is missing.
    pub fn from_pieces(
        settings: &Settings,
        pieces: impl IntoIterator<Item = Result<Piece, Fault>>,
    ) -> Result<Replica, Fault> {
        let mut replica = Replica::new(settings);
        let mut open = None;
        let mut ended = false;
        for (at, piece) in pieces.into_iter().enumerate() {
            let within = |fault: Fault| Fault { place: format!("pieces[{at}].{}", fault.place), ..fault };
            let piece = piece.map_err(within)?;
            if ended {
                return Err(within(Fault::meaning("end", "something comes after it")));
            }
            match piece {
                Piece::Head { version, shards, position, floor, eras } if at == 0 => {
                    versioned(version).map_err(within)?;
                    if shards != replica.shard_count() {
                        let wrong = format!("{shards}, there are {}", replica.shard_count());
                        return Err(within(Fault::meaning("shards", wrong)));
                    }
                    if !eras.is_sorted_by(|a, b| a.0 < b.0 && a.1 < b.1) || floor > position.revision {
                        return Err(within(Fault::meaning("eras", "not ascending, or a log after the end")));
                    }
                    replica = replica.blank(Position { revision: floor, ..position }, eras);
                    replica.revision = position.revision;
                    if replica.position() != position {
                        return Err(within(Fault::meaning("position", "is in none of the eras")));
                    }
                }
                Piece::Records(records) if at > 0 => {
                    for (at, record) in records.iter().enumerate() {
                        replica.place(&mut open, record).map_err(|fault| within(fault.within(at)))?;
                    }
                }
                Piece::Log(keys) if at > 0 => replica.extend_log(keys).map_err(within)?,
                Piece::End(count) if at > 0 && count == at as u64 => ended = true,
                _ => return Err(within(Fault::meaning("piece", "can't stand here"))),
            }
        }
        if !ended {
            return Err(Fault::meaning("pieces", "the end is missing"));
        }
        Ok(replica)
    }

    fn place(&mut self, open: &mut Option<u32>, record: &Record) -> Result<(), Fault> {
        self.check(record)?;
        match record {
            Record::Shard(shard, ..) => {
                *open = Some(*shard);
                self.fill(*shard, record);
            }
            Record::Put(destination, revision, ..) | Record::Remove(destination, revision) => {
                let shard = shard_of(*destination, self.shard_count());
                if *open != Some(shard) {
                    let wrong = format!("{destination} isn't of the shard that is open");
                    return Err(Fault::meaning("destination", wrong));
                }
                if *revision > self.revision {
                    return Err(Fault::meaning("revision", format!("{revision} after {}", self.revision)));
                }
                match record {
                    Record::Remove(..) => self.bury(*destination, *revision),
                    _ => self.fill(shard, record),
                }
            }
            Record::Common(..) => self.fill(0, record),
            _ => return Err(Fault::meaning("record", "can't stand in a copy")),
        }
        Ok(())
    }

    /// What came after a position; None if that can't be told by changes, and all has to be written anew.
    pub fn batch_after(&self, from: Position) -> Option<Batch> {
        if self.agreement(from) != Agreement::Same {
            return None;
        }
        let records = self.since(from.revision).map(|(revision, key)| self.record(key, revision)).collect();
        Some(Batch { version: VERSION, from, through: self.position(), records })
    }

    /// Goes on by a batch that [`Replica::batch_after`] made.
    ///
    /// # Errors
    ///
    /// It is of another version, doesn't follow, or holds what can't stand; a copy that took in some of it is of no use.
    pub fn take_in(&mut self, batch: &Batch) -> Result<(), Fault> {
        versioned(batch.version)?;
        if batch.from != self.position() {
            let (from, here) = (batch.from, self.position());
            let wrong =
                format!("{}.{}, here it is {}.{}", from.epoch, from.revision, here.epoch, here.revision);
            return Err(Fault::meaning("from", wrong));
        }
        let mut last = self.revision;
        for (at, record) in batch.records.iter().enumerate() {
            let revision = match record {
                Record::Era(revision, _) => *revision,
                _ => record.revision().ok_or_else(|| Fault::meaning("record", "is no change").within(at))?,
            };
            if revision <= last || revision > batch.through.revision {
                let through = batch.through.revision;
                let wrong = format!("{revision} after {last}, up to {through}");
                return Err(Fault::meaning("revision", wrong).within(at));
            }
            last = revision;
            self.apply(record).map_err(|fault| fault.within(at))?;
        }
        self.revision = self.revision.max(batch.through.revision);
        if self.position() != batch.through {
            return Err(Fault::meaning("through", "is in none of the eras"));
        }
        Ok(())
    }
}

struct Ended<I> {
    pieces: I,
    count: u64,
    ended: bool,
}

impl<I: Iterator<Item = Piece>> Iterator for Ended<I> {
    type Item = Piece;
    fn next(&mut self) -> Option<Piece> {
        match self.pieces.next() {
            Some(piece) => {
                self.count += 1;
                Some(piece)
            }
            None if !self.ended => {
                self.ended = true;
                Some(Piece::End(self.count))
            }
            None => None,
        }
    }
}

fn chunks<T>(mut items: impl Iterator<Item = T>) -> impl Iterator<Item = Vec<T>> {
    std::iter::from_fn(move || {
        let chunk: Vec<T> = items.by_ref().take(PIECE).collect();
        (!chunk.is_empty()).then_some(chunk)
    })
}
