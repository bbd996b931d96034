//! Lines over TCP, bounded in length; a thread that reads and one that writes for each connection.

use crate::limits::Limits;
use crossbeam_channel::{Sender, bounded};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

const READ: usize = 16 << 10;

/// Bytes either way over the connections of one kind.
#[derive(Debug, Default)]
pub struct Traffic {
    pub read: AtomicU64,
    pub written: AtomicU64,
}

impl Traffic {
    /// Both, as they stand.
    pub fn get(&self) -> [u64; 2] {
        [self.read.load(Ordering::Relaxed), self.written.load(Ordering::Relaxed)]
    }
}

/// Takes lines off a stream.
pub struct Lines {
    stream: Arc<TcpStream>,
    bytes: Vec<u8>,
    /// Looked through for an end already.
    looked: usize,
    /// Read since the count was taken last.
    count: u64,
}

impl Lines {
    pub fn new(stream: Arc<TcpStream>) -> Lines {
        Lines { stream, bytes: Vec::new(), looked: 0, count: 0 }
    }

    /// Bytes read since this was asked last.
    pub fn count(&mut self) -> u64 {
        std::mem::take(&mut self.count)
    }

    /// The next line without its end; by a moment, or whenever it comes.
    ///
    /// # Errors
    ///
    /// It doesn't end within so many bytes or in time, is no UTF-8, or the connection ends (`UnexpectedEof`).
    pub fn next(&mut self, most: usize, by: Option<Instant>) -> io::Result<String> {
        loop {
            if let Some(at) = self.bytes[self.looked..].iter().position(|byte| *byte == b'\n') {
                let end = self.looked + at;
                if end > most {
                    return Err(too_long(most));
                }
                let rest = self.bytes.split_off(end + 1);
                let mut line = std::mem::replace(&mut self.bytes, rest);
                self.looked = 0;
                line.truncate(end);
                return String::from_utf8(line).map_err(|e| io::Error::new(ErrorKind::InvalidData, e));
            }
            self.looked = self.bytes.len();
            if self.bytes.len() > most {
                return Err(too_long(most));
            }
            let left = by.map(|by| by.saturating_duration_since(Instant::now()));
            if left.is_some_and(|left| left.is_zero()) {
                return Err(ErrorKind::TimedOut.into());
            }
            self.stream.set_read_timeout(left)?;
            let mut chunk = [0; READ];
            match (&*self.stream).read(&mut chunk) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.count += count as u64;
                    self.bytes.extend_from_slice(&chunk[..count]);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Err(ErrorKind::TimedOut.into()),
                Err(e) => return Err(e),
            }
        }
    }
}

fn too_long(most: usize) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, format!("no line's end within {most} bytes"))
}

/// Says lines on a connection, from a bounded queue; the connection ends with it, what was said before written out.
pub struct Writer {
    queue: Option<Sender<String>>,
    stream: Arc<TcpStream>,
}

impl Writer {
    /// # Errors
    ///
    /// There is no thread to be had.
    pub fn start(stream: Arc<TcpStream>, limits: &Limits, traffic: Arc<Traffic>) -> io::Result<Writer> {
        stream.set_write_timeout(Some(limits.write_within))?;
        let (queue, lines) = bounded::<String>(limits.queue);
        let own = Arc::clone(&stream);
        thread::Builder::new().name("write".into()).stack_size(limits.stack).spawn(move || {
            for mut line in lines {
                line.push('\n');
                if (&*own).write_all(line.as_bytes()).is_err() {
                    break;
                }
                traffic.written.fetch_add(line.len() as u64, Ordering::Relaxed);
            }
            // Its reader ends by that, and tells.
            _ = own.shutdown(Shutdown::Both);
        })?;
        Ok(Writer { queue: Some(queue), stream })
    }

    /// Whether the line will be written as far as the connection lasts. With its queue full, the connection ends.
    pub fn say(&self, line: String) -> bool {
        let said = self.queue.as_ref().is_some_and(|queue| queue.try_send(line).is_ok());
        if !said {
            _ = self.stream.shutdown(Shutdown::Both);
        }
        said
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        self.queue = None;
    }
}

/// Where the one connection that a subscriber makes has got to.
pub enum Outgoing {
    Connected { number: u64, writer: Writer },
    Line { number: u64, line: String },
    Lost { number: u64 },
}

/// A subscriber's own connection: one at a time, told apart by number, so that what an earlier one still says counts for
/// nothing.
pub struct Dialer<W: Send + 'static> {
    limits: Arc<Limits>,
    traffic: Arc<Traffic>,
    mailbox: Sender<W>,
    number: u64,
    up: Option<Writer>,
}

impl<W: From<Outgoing> + Send + 'static> Dialer<W> {
    pub fn new(limits: Arc<Limits>, traffic: Arc<Traffic>, mailbox: Sender<W>) -> Dialer<W> {
        Dialer { limits, traffic, mailbox, number: 0, up: None }
    }

    /// Whether a word is of the connection that counts.
    pub fn is_current(&self, number: u64) -> bool {
        self.number == number
    }

    pub fn connect(&mut self, to: SocketAddr) {
        self.disconnect();
        let (number, limits) = (self.number, Arc::clone(&self.limits));
        let (traffic, mailbox) = (Arc::clone(&self.traffic), self.mailbox.clone());
        let work = move || {
            _ = dial(to, number, &limits, &traffic, &mailbox);
            _ = mailbox.send(Outgoing::Lost { number }.into());
        };
        let started = thread::Builder::new().name("dial".into()).stack_size(self.limits.stack).spawn(work);
        if started.is_err() {
            // The machine finds out by its own time limit.
            log::warn!("no thread to connect to {to}");
        }
    }

    pub fn connected(&mut self, writer: Writer) {
        self.up = Some(writer);
    }

    pub fn disconnect(&mut self) {
        self.number += 1;
        self.up = None;
    }

    pub fn say(&self, line: String) {
        if let Some(up) = &self.up {
            up.say(line);
        }
    }
}

fn dial<W: From<Outgoing>>(
    to: SocketAddr,
    number: u64,
    limits: &Limits,
    traffic: &Arc<Traffic>,
    mailbox: &Sender<W>,
) -> io::Result<()> {
    let stream = Arc::new(TcpStream::connect_timeout(&to, limits.connect_within)?);
    _ = stream.set_nodelay(true);
    let writer = Writer::start(Arc::clone(&stream), limits, Arc::clone(traffic))?;
    let over = |_| io::Error::from(ErrorKind::BrokenPipe);
    mailbox.send(Outgoing::Connected { number, writer }.into()).map_err(over)?;
    let mut lines = Lines::new(stream);
    loop {
        let line = lines.next(limits.line, None);
        traffic.read.fetch_add(lines.count(), Ordering::Relaxed);
        mailbox.send(Outgoing::Line { number, line: line? }.into()).map_err(over)?;
    }
}

/// One line to somebody, and what is answered, if anything.
///
/// # Errors
///
/// Nobody listens there, or it doesn't take the line in time.
pub fn tell(
    to: SocketAddr,
    line: &str,
    most: usize,
    within: Duration,
    traffic: &Traffic,
) -> io::Result<Option<String>> {
    let by = Instant::now() + within;
    let stream = Arc::new(TcpStream::connect_timeout(&to, within)?);
    stream.set_write_timeout(Some(within))?;
    (&*stream).write_all(format!("{line}\n").as_bytes())?;
    traffic.written.fetch_add(line.len() as u64 + 1, Ordering::Relaxed);
    let mut lines = Lines::new(stream);
    let answer = lines.next(most, Some(by)).ok();
    traffic.read.fetch_add(lines.count(), Ordering::Relaxed);
    Ok(answer)
}

/// Threads that a process waits for at its end.
pub fn join(thread: Option<JoinHandle<()>>) {
    if let Some(thread) = thread {
        _ = thread.join();
    }
}
