//! One client's connection: how far its request has come, and what is still to be done for it.

use crate::request_reader::{Refusal, RequestReader};
use indigomast_admission::{ConnectionNumber, MemoryReservation, State, Token};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

/// What a connection is about.
#[derive(Debug)]
pub enum Stage {
    /// Requests are read and answered.
    Open,
    /// A request is refused, but not before the reactor looks at the connection next.
    Refusing(Refusal),
    /// The last answer is written. What still comes is read and dropped, so that the answer is not lost in a reset.
    Lingering { until: Instant, bytes_left: usize },
}

/// One client's connection.
pub struct Session {
    pub number: ConnectionNumber,
    /// Goes before the token: the right to a descriptor is given back after the descriptor.
    pub stream: Arc<TcpStream>,
    pub token: Token,
    pub request: RequestReader,
    pub stage: Stage,
    /// From its first byte on a request has so long to come, the first one from the connection's beginning; none
    /// may be on the way for longer, however it trickles.
    pub begun: Option<Instant>,
    /// Its state once it has its answer.
    pub rests: State,
    pub rested: Instant,
    /// It has handed in a text that was taken on.
    pub proven: bool,
    /// Set while somebody works on it.
    pub serving: Option<Serving>,
    /// Known to the reactor's wait.
    pub armed: bool,
    /// For the connection itself, whatever its request holds.
    _memory: MemoryReservation,
}

impl Session {
    /// A connection that has just come; `memory` is for itself, and `request` for the requests on it.
    pub fn new(
        number: ConnectionNumber,
        stream: Arc<TcpStream>,
        token: Token,
        memory: MemoryReservation,
        request: MemoryReservation,
    ) -> Session {
        let now = Instant::now();
        Session {
            number,
            stream,
            token,
            request: RequestReader::new(request),
            stage: Stage::Open,
            begun: Some(now),
            rests: State::IdleNoText,
            rested: now,
            proven: false,
            serving: None,
            armed: false,
            _memory: memory,
        }
    }

    /// Nothing of a request has come since the last answer.
    pub fn at_rest(&self) -> bool {
        self.request.is_empty() && self.begun.is_none()
    }
}

/// Counts a connection that somebody works on, for as long as this is kept.
pub struct Serving(Arc<AtomicUsize>);

impl Serving {
    pub fn new(count: &Arc<AtomicUsize>) -> Serving {
        count.fetch_add(1, Ordering::SeqCst);
        Serving(Arc::clone(count))
    }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
