//! A connection that the sender opened: one call at a time, sent in one write.

use crate::http::{self, AnswerHead, Garbled};
use crate::limits::Limits;
use crate::ring::Ring;
use std::io::{self, ErrorKind, IoSlice, Write};
use std::iter;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

pub struct Link {
    stream: Arc<TcpStream>,
    inward: Ring,
    pub outward: Ring,
    ended: bool,
    /// When the last answer was whole.
    answered: Option<Instant>,
}

#[derive(Debug)]
pub enum Fault {
    /// The time is up; the connection is still open.
    Late,
    Broken,
    /// The rest of what had begun to come did not follow.
    Halted,
    Garbled(Garbled),
}

/// How a connection is found that no call is out on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AtRest {
    Quiet,
    /// The other end has closed it, or it broke.
    Ended,
    /// Bytes lie there that nobody asked for.
    Unasked,
}

impl AtRest {
    /// Why it carries no other call.
    pub fn reason(self) -> &'static str {
        match self {
            AtRest::Quiet => "it is not used any more",
            AtRest::Ended => "it was found ended",
            AtRest::Unasked => "bytes came that nobody asked for",
        }
    }
}

/// What is left until `by`; a socket takes no time-out of zero.
fn left(by: Instant) -> Option<Duration> {
    by.checked_duration_since(Instant::now()).filter(|left| *left >= Duration::from_micros(100))
}

/// Whether this machine or process has run out of something: memory, descriptors of the process or the system, ports
/// or buffers (ENOMEM, ENFILE, EMFILE, EADDRNOTAVAIL, ENOBUFS by their Linux numbers).
pub fn is_shortage(e: &io::Error) -> bool {
    matches!(e.raw_os_error(), Some(12 | 23 | 24 | 99 | 105))
}

/// Whether a time that was set for a transfer is up. A connection that broke may say that it timed out, which is no such
/// thing.
fn too_late(e: &io::Error) -> bool {
    e.kind() == ErrorKind::WouldBlock
}

/// Writes all of these, in as few writes as the system takes.
fn write_all(mut stream: &TcpStream, mut slices: &mut [IoSlice]) -> io::Result<()> {
    // Empty ones would look as if nothing were taken.
    IoSlice::advance_slices(&mut slices, 0);
    while !slices.is_empty() {
        match stream.write_vectored(slices) {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Ok(count) => IoSlice::advance_slices(&mut slices, count),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

impl Link {
    pub fn open(address: SocketAddr, wait: Duration) -> io::Result<Link> {
        let stream = TcpStream::connect_timeout(&address, wait.max(Duration::from_millis(1)))?;
        stream.set_nodelay(true)?;
        let (inward, outward) = Default::default();
        Ok(Link { stream: Arc::new(stream), inward, outward, ended: false, answered: None })
    }

    /// For those who may have to end the connection while a call is out on it.
    pub fn stream(&self) -> &Arc<TcpStream> {
        &self.stream
    }

    /// Whether nothing has come behind the last answer so far.
    pub fn is_clean(&self) -> bool {
        self.inward.is_empty() && !self.ended
    }

    /// Whether a connection at rest can carry a call: not ended, and nothing on it that nobody asked for. A second
    /// copy of an answer follows the first by a moment; taken for the answer to the next call it would end a text
    /// that has not run, so that moment is waited for.
    pub fn sound(&self, limits: &Limits) -> bool {
        self.at_rest(limits) == AtRest::Quiet
    }

    /// The same, with what was found.
    pub fn at_rest(&self, limits: &Limits) -> AtRest {
        if let Some(answered) = self.answered {
            thread::sleep(limits.link_settle.saturating_sub(answered.elapsed()));
        }
        if !self.inward.is_empty() {
            return AtRest::Unasked;
        }
        if self.ended || self.stream.set_nonblocking(true).is_err() {
            return AtRest::Ended;
        }
        let found = match self.stream.peek(&mut [0]) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => AtRest::Quiet,
            Ok(1..) => AtRest::Unasked,
            _ => AtRest::Ended,
        };
        if self.stream.set_nonblocking(false).is_err() { AtRest::Ended } else { found }
    }

    /// Sends what stands in the outward ring. On a fault the last byte has not left.
    pub fn send(&mut self, by: Instant) -> Result<(), Fault> {
        self.send_with(&[], by)
    }

    /// Sends what stands in the outward ring and these pieces behind it, of which no copy is made. On a fault the last byte has
    /// not left.
    pub fn send_with(&mut self, pieces: &[&[u8]], by: Instant) -> Result<(), Fault> {
        let wait = left(by).ok_or(Fault::Late)?;
        self.stream.set_write_timeout(Some(wait)).map_err(|_| Fault::Broken)?;
        let head = self.outward.bytes();
        let mut slices: Vec<IoSlice> =
            iter::once(head).chain(pieces.iter().copied()).map(IoSlice::new).collect();
        let written = write_all(&self.stream, &mut slices);
        self.outward.clear();
        written.map_err(|e| {
            self.ended = true;
            if too_late(&e) { Fault::Late } else { Fault::Broken }
        })
    }

    fn read_more(&mut self, by: Instant) -> Result<(), Fault> {
        if self.ended {
            return Err(Fault::Broken);
        }
        // After a stall of the whole process the time is up and the answer is there: it counts.
        let wait = left(by);
        let set = match wait {
            Some(_) => self.stream.set_read_timeout(wait),
            None => self.stream.set_nonblocking(true),
        };
        set.map_err(|_| Fault::Broken)?;
        let read = self.inward.fill(&mut &*self.stream);
        if wait.is_none() {
            self.stream.set_nonblocking(false).map_err(|_| Fault::Broken)?;
        }
        match read {
            Ok(0) => self.ended = true,
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if too_late(&e) => return Err(Fault::Late),
            Err(_) => return Err(Fault::Broken),
        }
        Ok(())
    }

    /// Waits for the head of the answer. Once a part of it is there the rest has to follow soon: a head that never
    /// ends would hold its call's slot for as long as a silent receiver does.
    pub fn head(&mut self, limits: &Limits, by: Instant) -> Result<AnswerHead, Fault> {
        let (mut begun, mut interim) = (None, 0);
        loop {
            let taken = http::take_answer_head(&mut self.inward, limits, &mut interim);
            if let Some(head) = taken.map_err(Fault::Garbled)? {
                return Ok(head);
            }
            if self.inward.is_empty() {
                begun = None;
                self.read_more(by)?;
                continue;
            }
            let since = *begun.get_or_insert_with(Instant::now);
            match self.read_more(by.min(since + limits.answer_rest)) {
                Err(Fault::Late) => return Err(Fault::Halted),
                read => read?,
            }
        }
    }

    /// Whether what has come of an answer begins with a whole line that says 200.
    pub fn says_done(&mut self) -> bool {
        let bytes = self.inward.bytes();
        let line = bytes.split(|b| *b == b'\n').next().filter(|line| line.len() < bytes.len());
        let status =
            line.and_then(|line| line.strip_prefix(b"HTTP/1.1 ").or(line.strip_prefix(b"HTTP/1.0 ")));
        status.is_some_and(|status| matches!(status.trim_ascii_end(), b"200" | [b'2', b'0', b'0', b' ', ..]))
    }

    pub fn body(&mut self, head: &AnswerHead, most: usize, by: Instant) -> Result<Vec<u8>, Fault> {
        loop {
            match head.take_body(&mut self.inward, self.ended, most).map_err(Fault::Garbled)? {
                Some(body) => {
                    self.answered = Some(Instant::now());
                    return Ok(body);
                }
                None => self.read_more(by)?,
            }
        }
    }

    /// How many bytes have come and were not taken.
    pub fn untaken(&self) -> usize {
        self.inward.len()
    }

    /// What has come so far of the answer that is being read, behind its head.
    pub fn received(&mut self) -> &[u8] {
        self.inward.bytes()
    }

    pub fn shut(&self) {
        _ = self.stream.shutdown(Shutdown::Both);
    }
}
