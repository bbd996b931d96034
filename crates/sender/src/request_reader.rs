//! Puts a client's request together from the bytes of its connection, free of I/O.
//!
//! A body is held only once its request's head has shown that it can be of use, and its bytes have been reserved; any other is
//! passed over as it comes. So a client whose request is refused holds no more than a head.

use crate::http::{self, Rejection, RequestHead};
use crate::limits::Limits;
use crate::ring::{KEPT, Ring};
use indigomast_admission::MemoryReservation;
use std::io::{self, Read};
use std::iter;
use std::sync::Arc;
use std::time::Instant;

/// A request that is whole.
#[derive(Debug)]
pub struct WholeRequest {
    pub head: RequestHead,
    /// Empty where the body was passed over.
    pub body: Arc<[u8]>,
    /// For the head and the body, until both are dropped.
    pub memory: MemoryReservation,
    /// When its last byte was read.
    pub came: Instant,
}

/// What is done with a request whose body is passed over, once that is over.
#[derive(Debug)]
pub enum AfterBody {
    /// It is answered by its head alone.
    Answer(RequestHead),
    Refuse(Refusal),
}

/// How a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub status: u16,
    /// The connection ends with the answer.
    pub close: bool,
}

/// What has been read of the request.
#[derive(Debug)]
enum Stage {
    Head,
    Body { head: RequestHead, body: Arc<[u8]>, filled: usize },
    PassedOver { left: usize, after: AfterBody },
}

/// What the bytes so far amount to.
#[derive(Debug)]
pub enum Progress {
    /// More has to come.
    Incomplete,
    /// The head is whole. The caller says what becomes of the body, by [`RequestReader::keep_body`] or
    /// [`RequestReader::pass_over_body`].
    Head(RequestHead),
    Whole(WholeRequest),
    Refused(Refusal),
}

/// One connection's request on its way.
#[derive(Debug)]
pub struct RequestReader {
    /// Bytes that have come and belong to no body that is being read.
    ring: Ring,
    stage: Stage,
    /// For all that this holds beyond the room of an empty ring.
    memory: MemoryReservation,
    /// Bytes of the request that have come.
    received: usize,
}

impl RequestReader {
    /// A reader that holds nothing yet; `memory` is resized as it does.
    pub fn new(memory: MemoryReservation) -> RequestReader {
        RequestReader { ring: Ring::default(), stage: Stage::Head, memory, received: 0 }
    }

    /// Whether nothing of a request has come since the last one.
    pub fn is_empty(&self) -> bool {
        matches!(self.stage, Stage::Head) && self.ring.is_empty()
    }

    /// Whether bytes have come that belong to no body that is being read.
    pub fn is_ahead(&self) -> bool {
        !self.ring.is_empty()
    }

    /// Whether a body is being read, and memory held for it.
    pub fn holds_body(&self) -> bool {
        matches!(self.stage, Stage::Body { .. })
    }

    /// Bytes of the present request that have come.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Takes in what one read yields, by way of `scratch` where it is not of a body that is kept; 0 is the end of the stream. No
    /// byte beyond a body is read with it.
    pub fn fill(&mut self, from: &mut impl Read, scratch: &mut [u8], limits: &Limits) -> io::Result<usize> {
        let count = match &mut self.stage {
            Stage::Head => {
                // One byte more than a head may have tells that it is too long.
                let room = (limits.head + 1).saturating_sub(self.ring.len()).clamp(1, scratch.len());
                let count = from.read(&mut scratch[..room])?;
                self.ring.push(&scratch[..count]);
                count
            }
            Stage::Body { body, filled, .. } => {
                let count = from.read(&mut unshared(body)[*filled..])?;
                *filled += count;
                count
            }
            Stage::PassedOver { left, .. } => {
                let room = scratch.len().min(*left);
                let count = from.read(&mut scratch[..room])?;
                *left -= count;
                count
            }
        };
        self.received += count;
        Ok(count)
    }

    /// What the bytes so far amount to. A head that is not whole yet holds memory from this call on; where there is none for it,
    /// its request is refused with 503.
    pub fn progress(&mut self, limits: &Limits) -> Progress {
        match &mut self.stage {
            Stage::Head => match http::take_request_head(&mut self.ring, limits) {
                Err(Rejection(status)) => Progress::Refused(Refusal { status, close: true }),
                Ok(Some(head)) => Progress::Head(head),
                Ok(None) if self.reserve(0) => Progress::Incomplete,
                Ok(None) => Progress::Refused(Refusal { status: 503, close: true }),
            },
            Stage::Body { body, filled, .. } if *filled < body.len() => Progress::Incomplete,
            Stage::PassedOver { left: 1.., .. } => Progress::Incomplete,
            Stage::Body { .. } | Stage::PassedOver { .. } => self.finish(),
        }
    }

    /// Reserves the memory of a body and reads it from now on; gives the head back where there is none left.
    ///
    /// # Errors
    ///
    /// The head, with nothing changed.
    pub fn keep_body(&mut self, head: RequestHead) -> Result<(), RequestHead> {
        if !self.reserve(head.memory() + head.length) {
            return Err(head);
        }
        let mut body: Arc<[u8]> = iter::repeat_n(0, head.length).collect();
        let filled = self.ring.take_into(unshared(&mut body));
        // The ring may have given its room back.
        self.reserve(head.memory() + head.length);
        self.stage = Stage::Body { head, body, filled };
        Ok(())
    }

    /// Reads a body of this length from now on and keeps none of it. A head that is answered behind it holds memory meanwhile; where
    /// there is none for it, its request is refused with 503.
    pub fn pass_over_body(&mut self, length: usize, after: AfterBody) {
        let held = length.min(self.ring.len());
        self.ring.consume(held);
        let after = match after {
            AfterBody::Answer(head) if !self.reserve(head.memory()) => {
                AfterBody::Refuse(Refusal { status: 503, close: head.close })
            }
            after => after,
        };
        self.stage = Stage::PassedOver { left: length - held, after };
    }

    /// Drops all that is held, and its memory.
    pub fn clear(&mut self) {
        self.ring.clear();
        self.stage = Stage::Head;
        self.received = 0;
        self.memory.resize(0);
    }

    fn finish(&mut self) -> Progress {
        self.received = self.ring.len();
        let came = Instant::now();
        let whole = |head, body, memory| Progress::Whole(WholeRequest { head, body, memory, came });
        match std::mem::replace(&mut self.stage, Stage::Head) {
            Stage::Head => Progress::Incomplete,
            Stage::Body { head, body, .. } => whole(head, body, self.memory.take()),
            Stage::PassedOver { after: AfterBody::Answer(head), .. } => {
                whole(head, Arc::default(), self.memory.take())
            }
            Stage::PassedOver { after: AfterBody::Refuse(refusal), .. } => Progress::Refused(refusal),
        }
    }

    /// Reserves so many bytes beside those of the ring.
    fn reserve(&mut self, bytes: usize) -> bool {
        let ring = self.ring.capacity();
        let beyond = if ring > KEPT { ring } else { 0 };
        self.memory.resize(beyond + bytes)
    }
}

/// A body that nobody else has yet.
fn unshared(body: &mut Arc<[u8]>) -> &mut [u8] {
    Arc::get_mut(body).expect("it is shared once it is whole only")
}

#[cfg(test)]
mod tests;
