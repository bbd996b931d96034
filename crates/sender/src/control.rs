//! The second address, where operators ask how the sender is and tell it what to do.
//!
//! One actor waits for all callers at once and answers each when its call is whole: one that finishes nothing holds up
//! nobody. It knows readiness and figures without asking anyone; what changes something goes to the decider, whose
//! answer is waited for no longer than a caller waits. `docs/operate/operations.md` tells how it is used.

use crate::counters::Counters;
use crate::decider::Message;
use crate::figures::Figures;
use crate::http::{self, Rejection};
use crate::limits::Limits;
use crate::reactor::Come;
use crate::ring::Ring;
use crate::versions::{FORMATS, Floor, Format, VERSION};
use crate::{Mailbox, log};
use crossbeam_channel::{Receiver, Sender, TryRecvError, bounded};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io::{ErrorKind, PipeReader};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

/// An operator's order; the answer says whether it is carried out. One that can't be by its time is not carried out
/// at all.
#[derive(Debug)]
pub struct Order {
    pub endpoint: String,
    pub out: bool,
    pub by: Instant,
    pub reply: Sender<Result<(), Refusal>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    UnknownEndpoint,
    /// It can't be made to last, or not in time.
    NotNow,
}

/// What the actor shares with the rest of its sender.
pub struct Desk {
    pub limits: Limits,
    pub name: String,
    /// Where the floor is kept.
    pub folder: PathBuf,
    pub floor: Floor,
    pub counters: Arc<Counters>,
    pub figures: Arc<Figures>,
    /// Whether this process takes texts and owns what it needs.
    pub ready: Arc<AtomicBool>,
    pub decider: Mailbox,
}

struct Caller {
    stream: TcpStream,
    inward: Ring,
    since: Instant,
    /// An order that is being carried out, and until when its answer is waited for.
    asked: Option<(Receiver<Result<(), Refusal>>, Instant)>,
}

enum Turn {
    Waits,
    Over,
}

impl Desk {
    /// Serves until the other end of `ends` is gone.
    pub fn run(mut self, listener: TcpListener, ends: PipeReader) {
        if let Err(e) = listener.set_nonblocking(true) {
            return log!("nobody can be heard at the second address: {e}");
        }
        let mut callers: VecDeque<Caller> = VecDeque::new();
        loop {
            let pending = callers.iter().any(|caller| caller.asked.is_some());
            let wait = if pending { self.limits.order_beat } else { self.limits.caller_beat };
            let wait = Timespec { tv_sec: 0, tv_nsec: wait.subsec_nanos().into() };
            let mut fds = vec![
                PollFd::new(&listener, PollFlags::IN),
                PollFd::new(&ends, PollFlags::IN | PollFlags::HUP),
            ];
            // One whose order is being carried out has nothing more to say, and would wake this for nothing.
            let heard = callers.iter().filter(|caller| caller.asked.is_none());
            fds.extend(heard.map(|caller| PollFd::new(&caller.stream, PollFlags::IN)));
            if let Err(e) = poll(&mut fds, Some(&wait))
                && e != rustix::io::Errno::INTR
            {
                log!("callers can't be waited for: {e}");
                std::thread::sleep(self.limits.accept_pause);
            }
            if !fds[1].revents().is_empty() {
                return;
            }
            drop(fds);
            self.welcome(&listener, &mut callers);
            callers.retain_mut(|caller| matches!(self.serve(caller), Turn::Waits));
        }
    }

    fn welcome(&self, listener: &TcpListener, callers: &mut VecDeque<Caller>) {
        // No more than there is room for at a time: those before are served in between.
        for _ in 0..self.limits.callers {
            match listener.accept() {
                Ok((stream, _)) => {
                    if stream.set_nonblocking(true).is_err() {
                        continue;
                    }
                    _ = stream.set_nodelay(true);
                    if callers.len() >= self.limits.callers {
                        // Orders end by themselves; whoever has said nothing for longest goes.
                        let idle = callers.iter().position(|caller| caller.asked.is_none());
                        callers.remove(idle.unwrap_or(0));
                    }
                    let (inward, since) = (Ring::default(), Instant::now());
                    callers.push_back(Caller { stream, inward, since, asked: None });
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    log!("no caller can be taken: {e}");
                    return std::thread::sleep(self.limits.accept_pause);
                }
            }
        }
    }

    fn serve(&mut self, caller: &mut Caller) -> Turn {
        if let Some((answer, by)) = &caller.asked {
            let status = match answer.try_recv() {
                Ok(Ok(())) => 200,
                Ok(Err(Refusal::UnknownEndpoint)) => 404,
                Ok(Err(Refusal::NotNow)) | Err(TryRecvError::Disconnected) => 503,
                // Dropped with the caller, the answer finds nobody, and then the order is taken back.
                Err(TryRecvError::Empty) if Instant::now() < *by => return Turn::Waits,
                Err(TryRecvError::Empty) => 503,
            };
            return self.say(caller, status, "");
        }
        loop {
            match http::take_request(&mut caller.inward, &self.limits) {
                Ok(Some(request)) => {
                    let path = request.path.split(['?', '#']).next().unwrap_or_default();
                    return self.answer(caller, &request.method, path, &request.body);
                }
                Ok(None) => {}
                // A length that is missing is a request that can't be read, here as for others.
                Err(Rejection(status)) => return self.say(caller, status, ""),
            }
            match caller.inward.fill(&mut Come(&caller.stream)) {
                Ok(count) if count > 0 => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    return match caller.since.elapsed() < self.limits.caller_time {
                        true => Turn::Waits,
                        false => self.say(caller, 408, ""),
                    };
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return Turn::Over,
            }
        }
    }

    fn answer(&mut self, caller: &mut Caller, method: &str, path: &str, body: &[u8]) -> Turn {
        match (method, path) {
            ("GET" | "HEAD", "/ops/readiness") => {
                let status = if self.ready.load(Ordering::Relaxed) { 200 } else { 503 };
                self.say(caller, status, "")
            }
            ("GET", "/ops/stats") => self.say(caller, 200, &self.figures.lines()),
            ("GET", "/ops/version") => self.say(caller, 200, &self.version().to_string()),
            ("GET", "/ops/report") => self.say(caller, 200, &self.report().to_string()),
            ("PUT", "/ops/floor") => self.raise(caller),
            ("PUT", "/ops/endpoints/down") => self.order(caller, body, true),
            ("PUT", "/ops/endpoints/up") => self.order(caller, body, false),
            (
                _,
                "/ops/readiness"
                | "/ops/stats"
                | "/ops/version"
                | "/ops/report"
                | "/ops/floor"
                | "/ops/endpoints/down"
                | "/ops/endpoints/up",
            ) => self.say(caller, 405, ""),
            _ => self.say(caller, 404, ""),
        }
    }

    /// What this process is, and what it agrees on with others.
    fn version(&self) -> Value {
        let formats = FORMATS.map(|format| {
            let Format { name, oldest, newest } = format;
            json!({"name": name, "oldest": oldest, "newest": newest, "writes": self.floor.of(name)})
        });
        json!({
            "name": self.name,
            "version": VERSION,
            "revision": format!("{:08x}", self.figures.revision()),
            "formats": formats,
            "process": std::process::id(),
        })
    }

    /// The same, and how it fares: for those who compare senders.
    fn report(&self) -> Value {
        let Counters { taken, turned_away, calls, submitted, full, errors, time_outs, .. } = &*self.counters;
        let mut told = self.version();
        told["ready"] = self.ready.load(Ordering::Relaxed).into();
        told["taken"] = taken.value().into();
        told["sent_away"] = turned_away.value().into();
        told["calls"] = calls.value().into();
        told["submits"] = submitted.value().into();
        told["turned_away"] = full.value().into();
        told["errors"] = errors.value().into();
        told["time_outs"] = time_outs.value().into();
        told["products"] = self.figures.by_product();
        told
    }

    /// A change is final: from now on this folder is for programs that read what this one may write.
    fn raise(&mut self, caller: &mut Caller) -> Turn {
        if !self.ready.load(Ordering::Relaxed) {
            return self.say(caller, 503, "");
        }
        match Floor::raise(&self.folder, &FORMATS) {
            Ok(floor) => {
                self.floor = floor;
                self.say(caller, 200, "")
            }
            Err(e) => {
                log!("the floor can't be raised: {e}");
                self.say(caller, 503, "")
            }
        }
    }

    fn order(&self, caller: &mut Caller, body: &[u8], out: bool) -> Turn {
        let Some(endpoint) = std::str::from_utf8(body).ok().map(str::trim).filter(|id| !id.is_empty()) else {
            return self.say(caller, 400, "");
        };
        let (reply, answer) = bounded(1);
        let by = Instant::now() + self.limits.order_time;
        let order = Order { endpoint: endpoint.to_owned(), out, by, reply };
        if self.decider.try_send(Message::Order(order)).is_err() {
            return self.say(caller, 503, "");
        }
        caller.asked = Some((answer, by + self.limits.order_slack));
        Turn::Waits
    }

    fn say(&self, caller: &mut Caller, status: u16, body: &str) -> Turn {
        let mut outward = Ring::default();
        http::put_answer(&mut outward, status, body, true);
        // What fits into no socket's buffer is not waited for.
        _ = outward.drain_to(&mut &caller.stream);
        _ = caller.stream.shutdown(std::net::Shutdown::Write);
        Turn::Over
    }
}

/// A caller is answered within this many of its bytes: an order's body is one name.
pub fn bounds(limits: &Limits) -> Limits {
    Limits { head: 2048, body: limits.name, ..limits.clone() }
}
