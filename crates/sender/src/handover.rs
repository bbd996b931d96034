//! How one process of a sender takes the place of another: locks, the passed socket, and what the old one leaves.
//!
//! The steps are those of [`indigomast_handover`]; this is what they look like on a Unix system. The old process sees that
//! a successor waits by a lock on a file of its own; owning is the lock on the journal. What the old one has learnt
//! goes over in a file that is written and read under that lock only.

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
// The file keeps the name that earlier versions look for.
const STATE_FILE: &str = "estate";

/// Before the checksum: which form the rest has. A successor of another form starts as after a kill.
const FORMAT: u32 = 1;

/// The socket for clients that whoever starts processes holds for all of them.
///
/// # Errors
///
/// The number is none of a listening socket of this process.
pub fn passed_socket(number: &str) -> Result<TcpListener, String> {
    let complain = |what: String| format!("{number:?}: {what}");
    let fd: Option<i32> = number.trim().parse().ok().filter(|fd| *fd >= 0);
    let fd = fd.ok_or_else(|| complain("is no descriptor".into()))?;
    // The standard library takes over a bare number only where nobody can check it; this asks the kernel for a copy.
    let own = pidfd_open(getpid(), PidfdFlags::empty()).map_err(|e| complain(e.to_string()))?;
    let copy = pidfd_getfd(own, fd, PidfdGetfdFlags::empty()).map_err(|e| complain(e.to_string()))?;
    if !rustix::net::sockopt::socket_acceptconn(&copy).unwrap_or(false) {
        return Err(complain("nobody listens on it".into()));
    }
    // Another process may take what this one was woken for.
    let listener = TcpListener::from(copy);
    listener.set_nonblocking(true).map_err(|e| complain(e.to_string()))?;
    Ok(listener)
}

/// The lock by which a successor says that it waits. Given back when it is dropped, or by the end of the process.
pub struct SuccessorLock(#[expect(dead_code, reason = "held, not read")] File);

fn next_file(folder: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).truncate(false).write(true).open(folder.join(SUCCESSOR_LOCK_FILE))
}

impl SuccessorLock {
    /// `None` while another waits, or while the owner looks.
    pub fn try_acquire(folder: &Path) -> io::Result<Option<SuccessorLock>> {
        let file = next_file(folder)?;
        Ok(file.try_lock().is_ok().then_some(SuccessorLock(file)))
    }
}

/// The owner's look at that lock.
pub struct SuccessorWatch {
    file: File,
    interval: Duration,
    checked_at: Option<Instant>,
    waiting: bool,
}

impl SuccessorWatch {
    pub fn new(folder: &Path, interval: Duration) -> io::Result<SuccessorWatch> {
        Ok(SuccessorWatch { file: next_file(folder)?, interval, checked_at: None, waiting: false })
    }

    /// Whether a successor waits, as of the last look; one is taken every interval.
    pub fn successor_waits(&mut self) -> bool {
        if self.checked_at.is_none_or(|checked_at| checked_at.elapsed() >= self.interval) {
            self.checked_at = Some(Instant::now());
            // Shared, so that it stands in nobody's way for longer than this.
            self.waiting = self.file.try_lock_shared().is_err();
            if !self.waiting {
                _ = self.file.unlock();
            }
        }
        self.waiting
    }
}

/// All that a process knows beside the journal, under the indices that it has given.
#[derive(Serialize, Deserialize)]
pub struct HandoverState {
    /// In their order in the settings, which the indices below count.
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
    /// Of the list, if it came from the discovery that is in force.
    pub revision: Option<u64>,
    /// As the list named each last; deleted is what it names no more.
    pub endpoints: Vec<(EndpointId, ListedEndpoint)>,
    pub next_endpoint: usize,
    pub dests: Vec<u64>,
    pub keys: Vec<(String, usize)>,
    pub next_key: usize,
    /// Ids of texts that are over: form, whether it was proven, and for how many milliseconds.
    pub ids: Vec<(String, u32, bool, f64)>,
    pub learnt: LearnedState,
}

impl HandoverState {
    /// Leaves it to the next owner.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let payload = postcard::to_stdvec(self).map_err(io::Error::other)?;
        let head = [FORMAT.to_le_bytes(), crc32fast::hash(&payload).to_le_bytes()].concat();
        replace(folder, STATE_FILE, &[head, payload].concat(), Lasting::Process)
    }

    /// Takes what the last owner left, if it left in order and to a process like this one.
    pub fn take(folder: &Path) -> Option<HandoverState> {
        let path = folder.join(STATE_FILE);
        let bytes = fs::read(&path).ok()?;
        // Whatever becomes of it, it is of no use a second time.
        remove(path);
        let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
        let payload = bytes.get(8..)?;
        (word(0)? == FORMAT && word(4)? == crc32fast::hash(payload)).then_some(())?;
        postcard::from_bytes(payload).ok()
    }
}

fn remove(path: PathBuf) {
    match fs::remove_file(&path) {
        Err(e) if e.kind() != ErrorKind::NotFound => crate::log!("{}: {e}", path.display()),
        _ => {}
    }
}
