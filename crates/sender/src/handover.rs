//! Handover from one process of a sender to its successor: locks, the inherited socket and the state file.
//!
//! This implements the steps of [`indigomast_handover`] on Unix. A waiting successor locks a file for that purpose, which
//! the old process checks; the owner is the process that holds the lock on the journal. The old process passes its state
//! in a file that is written and read only under the journal's lock.

use crate::list::ListedEndpoint;
use crate::whole_file::{Lasting, replace};
use indigomast::api::EndpointId;
use indigomast::rules::LearnedState;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const SUCCESSOR_LOCK_FILE: &str = "next";
// Earlier versions look for the state under this name.
const STATE_FILE: &str = "estate";

/// Format version of the state file, stored before the checksum. A successor with another format ignores the state and
/// starts as after a kill.
const FORMAT: u32 = 1;

/// The listening socket for clients that the parent process passes to each process it starts, by descriptor number.
///
/// # Errors
///
/// The number is not that of a listening socket of this process.
pub fn passed_socket(number: &str) -> Result<TcpListener, String> {
    let error = |what: String| format!("{number:?}: {what}");
    let fd: Option<i32> = number.trim().parse().ok().filter(|fd| *fd >= 0);
    let fd = fd.ok_or_else(|| error("is not a file descriptor".into()))?;
    // The standard library takes a raw descriptor only in unsafe code; the kernel can duplicate it instead.
    let own = pidfd_open(getpid(), PidfdFlags::empty()).map_err(|e| error(e.to_string()))?;
    let copy = pidfd_getfd(own, fd, PidfdGetfdFlags::empty()).map_err(|e| error(e.to_string()))?;
    if !rustix::net::sockopt::socket_acceptconn(&copy).unwrap_or(false) {
        return Err(error("is not a listening socket".into()));
    }
    // Another process may accept the connection for which this one was woken.
    let listener = TcpListener::from(copy);
    listener.set_nonblocking(true).map_err(|e| error(e.to_string()))?;
    Ok(listener)
}

/// The lock that shows that a successor waits. It is released when dropped or when the process ends.
pub struct SuccessorLock(#[expect(dead_code, reason = "held, not read")] File);

fn open_lock_file(folder: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(SUCCESSOR_LOCK_FILE))
}

impl SuccessorLock {
    /// Takes the lock; `None` while another successor holds it or the owner checks it.
    pub fn try_acquire(folder: &Path) -> io::Result<Option<SuccessorLock>> {
        let file = open_lock_file(folder)?;
        Ok(file.try_lock().is_ok().then_some(SuccessorLock(file)))
    }
}

/// The owner's periodic check of [`SuccessorLock`].
pub struct SuccessorWatch {
    file: File,
    interval: Duration,
    checked_at: Option<Instant>,
    waiting: bool,
}

impl SuccessorWatch {
    /// A check of the lock file in `folder` that is made at most once per `interval`.
    pub fn new(folder: &Path, interval: Duration) -> io::Result<SuccessorWatch> {
        Ok(SuccessorWatch { file: open_lock_file(folder)?, interval, checked_at: None, waiting: false })
    }

    /// Whether a successor waited at the last check; checks again once the interval has passed.
    pub fn successor_waits(&mut self) -> bool {
        if self.checked_at.is_none_or(|checked_at| checked_at.elapsed() >= self.interval) {
            self.checked_at = Some(Instant::now());
            // A shared lock, released at once, so that it hardly delays a successor.
            self.waiting = self.file.try_lock_shared().is_err();
            if !self.waiting {
                _ = self.file.unlock();
            }
        }
        self.waiting
    }
}

/// What a process passes to its successor beside the journal, under the indices that it has assigned.
#[derive(Serialize, Deserialize)]
pub struct HandoverState {
    /// Names of kinds and zones in the order of the settings; the indices below refer to them.
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    /// Revision of the list, if it came from the discovery in force.
    pub revision: Option<u64>,
    /// Endpoints as last listed; those off the list are given as deleted.
    pub endpoints: Vec<(EndpointId, ListedEndpoint)>,
    /// The index that the next new endpoint gets.
    pub next_endpoint: usize,
    /// Destination numbers by index.
    pub dests: Vec<u64>,
    /// Ordering keys with their indices.
    pub keys: Vec<(String, usize)>,
    /// The index that the next new key gets.
    pub next_key: usize,
    /// Ids of finished texts, each with its fingerprint, whether its connection was proven, and the milliseconds since the end.
    pub ids: Vec<(String, u32, bool, f64)>,
    /// What the rules have learned.
    pub learnt: LearnedState,
}

impl HandoverState {
    /// Writes the state for the next owner.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let payload = postcard::to_stdvec(self).map_err(io::Error::other)?;
        let header = [FORMAT.to_le_bytes(), crc32fast::hash(&payload).to_le_bytes()].concat();
        replace(folder, STATE_FILE, &[header, payload].concat(), Lasting::Process)
    }

    /// Reads and removes the state of the last owner. `None` if it left no valid state in this format.
    pub fn take(folder: &Path) -> Option<HandoverState> {
        let path = folder.join(STATE_FILE);
        let bytes = fs::read(&path).ok()?;
        // The state is removed even if it can't be read, since it is valid only once.
        remove(path);
        let read_u32 = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let payload = bytes.get(8..)?;
        (read_u32(0)? == FORMAT && read_u32(4)? == crc32fast::hash(payload)).then_some(())?;
        postcard::from_bytes(payload).ok()
    }
}

fn remove(path: PathBuf) {
    match fs::remove_file(&path) {
        Err(e) if e.kind() != ErrorKind::NotFound => crate::log!("{}: {e}", path.display()),
        _ => {}
    }
}
