//! How records lie in a segment.
//!
//! A record is a head of 24 bytes and a payload. The head's checksum covers the journal's own number, the segment's
//! number and the place in it, so that a record that is stale, moved or of another folder doesn't pass. The payload's
//! covers the head's. All numbers are little-endian.

pub const VERSION: u32 = 1;
pub const MAGIC: [u8; 8] = *b"indigoJL";
/// Magic, version, the journal's number, the segment's number, how long the segment before is, the next item's number,
/// checksum.
pub const SEGMENT_HEAD: usize = 8 + 4 + 8 + 8 + 8 + 8 + 4;
/// Length, kind, tag, two bytes of zero, key, payload's checksum, head's checksum.
pub const RECORD_HEAD: usize = 4 + 1 + 1 + 2 + 8 + 4 + 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Open,
    Note,
    /// All that is known of an open item, in place of whatever came before.
    Whole,
    Close,
}

impl Kind {
    fn of(byte: u8) -> Option<Kind> {
        [Kind::Open, Kind::Note, Kind::Whole, Kind::Close].get(usize::from(byte).checked_sub(1)?).copied()
    }

    fn byte(self) -> u8 {
        match self {
            Kind::Open => 1,
            Kind::Note => 2,
            Kind::Whole => 3,
            Kind::Close => 4,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub length: usize,
    pub kind: Kind,
    pub tag: u8,
    pub key: u64,
    sum: u32,
}

/// Where a record lies: the journal's number, the segment's and the offset in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub journal: u64,
    pub segment: u64,
    pub offset: u64,
}

fn head_sum(place: Place, head: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    for number in [place.journal, place.segment, place.offset] {
        sum.update(&number.to_le_bytes());
    }
    sum.update(head);
    sum.finalize()
}

fn payload_sum(head: &[u8], payload: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(head);
    sum.update(payload);
    sum.finalize()
}

fn word(bytes: &[u8], at: usize) -> Option<u32> {
    Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?))
}

fn long(bytes: &[u8], at: usize) -> Option<u64> {
    Some(u64::from_le_bytes(bytes.get(at..at + 8)?.try_into().ok()?))
}

pub fn put_record(into: &mut Vec<u8>, place: Place, kind: Kind, tag: u8, key: u64, payload: &[u8]) {
    let start = into.len();
    into.extend((payload.len() as u32).to_le_bytes());
    into.extend([kind.byte(), tag, 0, 0]);
    into.extend(key.to_le_bytes());
    let sum = payload_sum(&into[start..], payload);
    into.extend(sum.to_le_bytes());
    let sum = head_sum(place, &into[start..]);
    into.extend(sum.to_le_bytes());
    into.extend_from_slice(payload);
}

/// The head at the front of some bytes, if it is one for this place.
pub fn take_head(bytes: &[u8], place: Place, longest: usize) -> Option<Head> {
    let head = bytes.get(..RECORD_HEAD)?;
    if word(head, RECORD_HEAD - 4)? != head_sum(place, &head[..RECORD_HEAD - 4]) {
        return None;
    }
    let length = word(head, 0)? as usize;
    let kind = Kind::of(head[4])?;
    (length <= longest && head[6..8] == [0, 0]).then_some(Head {
        length,
        kind,
        tag: head[5],
        key: long(head, 8)?,
        sum: word(head, 16)?,
    })
}

/// Whether a payload is the one that its head was written for.
pub fn is_payload(head: &Head, bytes: &[u8], payload: &[u8]) -> bool {
    payload_sum(&bytes[..16], payload) == head.sum
}

/// `before` is the length of the segment before: shorter it has lost something, and what lies behind counts nothing.
/// `next` is the number of the next item, so that none is used twice when nothing of an item is left.
pub fn segment_head(journal: u64, segment: u64, before: u64, next: u64) -> Vec<u8> {
    let mut head = MAGIC.to_vec();
    head.extend(VERSION.to_le_bytes());
    head.extend(journal.to_le_bytes());
    head.extend(segment.to_le_bytes());
    head.extend(before.to_le_bytes());
    head.extend(next.to_le_bytes());
    let sum = crc32fast::hash(&head);
    head.extend(sum.to_le_bytes());
    head
}

/// What a file says of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SegmentHead {
    Segment {
        journal: u64,
        segment: u64,
        before: u64,
        next: u64,
    },
    /// A format that this program doesn't know.
    Newer(u32),
    Nothing,
}

pub fn read_segment_head(bytes: &[u8]) -> SegmentHead {
    let sound = |bytes: &[u8]| {
        let (version, journal, segment) = (word(bytes, 8)?, long(bytes, 12)?, long(bytes, 20)?);
        if bytes[..8] != MAGIC {
            return None;
        }
        // Whatever a newer format has behind its version, it is told apart from damage by these two alone.
        if version > VERSION {
            return Some(SegmentHead::Newer(version));
        }
        let sum = word(bytes, SEGMENT_HEAD - 4)?;
        let (before, next) = (long(bytes, 28)?, long(bytes, 36)?);
        (sum == crc32fast::hash(&bytes[..SEGMENT_HEAD - 4])).then_some(SegmentHead::Segment {
            journal,
            segment,
            before,
            next,
        })
    };
    sound(bytes).unwrap_or(SegmentHead::Nothing)
}

/// Which segments count: those from `first` on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Manifest {
    pub journal: u64,
    pub first: u64,
}

impl Manifest {
    pub fn bytes(self) -> Vec<u8> {
        // The head of a segment that is none holds the same numbers.
        segment_head(self.journal, self.first, 0, 0)
    }

    pub fn read(bytes: &[u8]) -> Result<Option<Manifest>, u32> {
        match read_segment_head(bytes) {
            SegmentHead::Segment { journal, segment, .. } => Ok(Some(Manifest { journal, first: segment })),
            SegmentHead::Newer(version) => Err(version),
            SegmentHead::Nothing => Ok(None),
        }
    }
}

#[cfg(test)]
mod tests;
