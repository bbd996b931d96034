//! The ring buffer that stands in one direction of a connection.

use std::collections::VecDeque;
use std::io::{self, Read, Write};

/// Bytes on their way in or out. Grows with what it holds and gives the room back once empty.
///
/// ```
/// use indigomast_sender::ring::Ring;
/// let mut ring = Ring::default();
/// ring.fill(&mut &b"hello"[..]).unwrap();
/// ring.consume(1);
/// ring.push(b"!");
/// assert_eq!(ring.bytes(), b"ello!");
/// let mut out = Vec::new();
/// ring.drain_to(&mut out).unwrap();
/// assert_eq!((out.as_slice(), ring.len()), (&b"ello!"[..], 0));
/// ```
#[derive(Debug, Default)]
pub struct Ring(VecDeque<u8>);

/// Bytes that an empty ring keeps.
pub const KEPT: usize = 2048;
const READ: usize = 8192;

impl Ring {
    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Bytes that it takes in memory.
    pub fn capacity(&self) -> usize {
        self.0.capacity()
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.0.extend(bytes);
    }

    /// Takes in what one read yields; 0 is the end of the stream.
    pub fn fill(&mut self, from: &mut impl Read) -> io::Result<usize> {
        let mut chunk = [0; READ];
        let count = from.read(&mut chunk)?;
        self.0.extend(&chunk[..count]);
        Ok(count)
    }

    /// Moves bytes from the front into `into`, as many as there are and fit; how many.
    pub fn take_into(&mut self, into: &mut [u8]) -> usize {
        let count = into.len().min(self.0.len());
        into[..count].copy_from_slice(&self.bytes()[..count]);
        self.consume(count);
        count
    }

    /// Drops all that is held, and its room.
    pub fn clear(&mut self) {
        self.0 = VecDeque::new();
    }

    /// All that is held, in one piece.
    pub fn bytes(&mut self) -> &[u8] {
        self.0.make_contiguous()
    }

    pub fn consume(&mut self, count: usize) {
        self.0.drain(..count.min(self.0.len()));
        if self.0.is_empty() && self.0.capacity() > KEPT {
            self.0.shrink_to(KEPT);
        }
    }

    /// Hands everything to one write; what it leaves is written after, and on an error the rest stays.
    pub fn drain_to(&mut self, to: &mut impl Write) -> io::Result<()> {
        while !self.0.is_empty() {
            match to.write(self.0.make_contiguous()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.consume(count),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
