//! A stand-in for discovery, which also takes notices, and one for destinations, which deliver whatever comes.

use crate::hollow::list_text_at;
use indigomast_sender::http::{Request, put_answer, take_request};
use indigomast_sender::limits::{Grant, Limits};
use indigomast_sender::ring::Ring;
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const STACK: usize = 256 << 10;
const HOLD_MOST: Duration = Duration::from_secs(60);

struct Shared {
    listed: usize,
    at: SocketAddr,
    /// Entries that changed, each with the revision that it made.
    changes: Mutex<Vec<usize>>,
    changed: Condvar,
    questions: AtomicU64,
    bytes: AtomicU64,
}

/// Discovery with a list of so many, all at one address.
pub struct Stand {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Vec<usize>> {
        self.changes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn whole(&self, revision: u64) -> String {
        list_text_at(0, self.listed, revision, true, Some(self.at))
    }

    fn answer(&self, request: &Request) -> String {
        let from = number(&request.path, "from");
        let hold = Duration::from_millis(number(&request.path, "hold_ms").unwrap_or(0)).min(HOLD_MOST);
        let by = Instant::now() + hold;
        let mut changes = self.lock();
        let Some(from) = from else {
            let revision = changes.len() as u64;
            drop(changes);
            return self.whole(revision);
        };
        while from >= changes.len() as u64 {
            let left = by.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(changes, left);
            changes = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let since: BTreeSet<usize> = changes.iter().skip(from as usize).copied().collect();
        let members: Vec<String> = since
            .into_iter()
            .map(|at| {
                let one = list_text_at(at, at + 1, 0, false, Some(self.at));
                one[one.find('[').map_or(0, |from| from + 1)..one.len() - 2].to_owned()
            })
            .collect();
        let revision = changes.len();
        format!("{{\"revision\":{revision},\"complete\":false,\"members\":[{}]}}", members.join(","))
    }

    fn serve(&self, mut stream: TcpStream) {
        let limits = Limits { body: 1 << 20, ..Limits::of(Grant::new(192, 1024, 3.0)) };
        let (mut ring, mut out) = (Ring::default(), Ring::default());
        _ = stream.set_nodelay(true);
        loop {
            while let Ok(Some(request)) = take_request(&mut ring, &limits) {
                if request.path.starts_with("/discovery/hosts") {
                    let page = self.answer(&request);
                    self.questions.fetch_add(1, Ordering::Relaxed);
                    self.bytes.fetch_add(page.len() as u64, Ordering::Relaxed);
                    put_answer(&mut out, 200, &page, false);
                } else {
                    put_answer(&mut out, 204, "", false);
                }
                let bytes = out.bytes().to_vec();
                out.consume(bytes.len());
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            if !matches!(ring.fill(&mut stream), Ok(count) if count > 0) {
                return;
            }
        }
    }
}

impl Stand {
    /// # Errors
    ///
    /// No port or thread can be had.
    pub fn open(listed: usize, at: SocketAddr) -> Result<Stand, String> {
        let shared = Arc::new(Shared {
            listed,
            at,
            changes: Mutex::default(),
            changed: Condvar::new(),
            questions: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        });
        let serves = Arc::clone(&shared);
        let address = accept(move |stream| serves.serve(stream))?;
        Ok(Stand { address, shared })
    }

    pub fn whole(&self) -> String {
        self.shared.whole(self.shared.lock().len() as u64)
    }

    /// An entry is told anew.
    pub fn change(&self, at: usize) {
        self.shared.lock().push(at);
        self.shared.changed.notify_all();
    }

    /// Questions that have been answered, of all daemons, and bytes of the answers.
    pub fn questions(&self) -> u64 {
        self.shared.questions.load(Ordering::Relaxed)
    }

    pub fn bytes(&self) -> u64 {
        self.shared.bytes.load(Ordering::Relaxed)
    }
}

/// Where every call is answered well at once.
///
/// # Errors
///
/// No port or thread can be had.
pub fn destinations() -> Result<SocketAddr, String> {
    accept(|mut stream| {
        let limits = Limits { body: 1 << 20, ..Limits::of(Grant::new(192, 1024, 3.0)) };
        let (mut ring, mut out) = (Ring::default(), Ring::default());
        _ = stream.set_nodelay(true);
        loop {
            while let Ok(Some(_)) = take_request(&mut ring, &limits) {
                put_answer(&mut out, 200, "", false);
                let bytes = out.bytes().to_vec();
                out.consume(bytes.len());
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            if !matches!(ring.fill(&mut stream), Ok(count) if count > 0) {
                return;
            }
        }
    })
}

/// A thread for each connection, until the process ends.
fn accept(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| format!("a port: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let serve = Arc::new(serve);
    let accepts = move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            _ = thread::Builder::new().stack_size(STACK).spawn(move || serve(stream));
        }
    };
    thread::Builder::new().stack_size(STACK).spawn(accepts).map_err(|e| format!("no thread: {e}"))?;
    Ok(address)
}

fn number(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}
