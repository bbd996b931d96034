//! The actor of one endpoint: it owns the connections there and hands each call to one of them.
//!
//! It decides nothing. A call goes out once, on an open connection or a new one; whatever becomes of it is
//! reported, and a connection that broke at rest is a reset like any other.

use crate::clock::span;
use crate::config::InForce;
use crate::counters::Counters;
use crate::decider::Word;
use crate::figures::Figures;
use crate::http::{self, AnswerHead};
use crate::limits::Limits;
use crate::link::{self, AtRest, Fault, Link};
use crate::{Mailbox, log, log_account, log_request, threads};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use indigomast::api::*;
use indigomast::time::Span;
use indigomast_admission::{Budget, Purpose};
use std::collections::BTreeMap;
use std::fmt;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// One text of a call.
pub struct Part {
    pub text: TextId,
    pub submit: usize,
    pub id: String,
    pub mark: Option<String>,
    pub body: Arc<[u8]>,
    /// When this sender stops waiting for it.
    pub by: Instant,
    /// It must not leave later: its receiver may have forgotten it, and a connection may take that long to come up.
    pub leave_by: Instant,
}

/// A call on its way. Each of its parts gets exactly one outcome, however the call ends: what nobody told when it is
/// dropped, with a thread that ended or a mailbox that nobody reads any more, is told then. A submit without an outcome
/// would hold its slot and its key for good.
pub struct Call {
    /// Those without an outcome so far.
    pub parts: Vec<Part>,
    pub sent: Instant,
    /// From the first byte on an endpoint may run it.
    left: bool,
    /// Who hears of the outcomes; nobody while the decider itself has the call.
    owed: Option<(EndpointId, Arc<Trunk>)>,
}

impl Call {
    pub fn new(part: Part, sent: Instant) -> Call {
        Call { parts: vec![part], sent, left: false, owed: None }
    }

    /// From now on its outcomes are told as those of this endpoint.
    pub fn to(mut self, endpoint: EndpointId, trunk: &Arc<Trunk>) -> Call {
        self.owed = Some((endpoint, Arc::clone(trunk)));
        self
    }

    /// The parts, by whoever answers for them from now on.
    pub fn into_parts(mut self) -> Vec<Part> {
        self.owed = None;
        std::mem::take(&mut self.parts)
    }

    /// Tells the outcome of each part.
    fn tell(&mut self, mut word: impl FnMut(&Part) -> Said) {
        if let Some((endpoint, trunk)) = &self.owed {
            for part in self.parts.drain(..) {
                let said = word(&part);
                trunk.tell(*endpoint, self.sent, part.text, part.submit, said);
            }
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        let verdict = if self.left { Verdict::Reset } else { Verdict::Moot };
        self.tell(|_| verdict.into());
    }
}

impl fmt::Display for Call {
    /// The ids of its texts.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (at, part) in self.parts.iter().enumerate() {
            write!(f, "{}{}", if at > 0 { "," } else { "" }, part.id)?;
        }
        Ok(())
    }
}

/// A text's submit, which a later one of the same text is not.
pub type Submit = (TextId, usize);

pub enum Ask {
    /// Boxed: a mailbox has room for many asks, and an endpoint in use has a mailbox.
    Call(Box<Call>),
    Revoke(Submit),
    /// Not to be sent if it has not left yet.
    Withhold(Submit),
    CloseIdle,
    /// The endpoint is off the list: its connections end as they come to rest, and then the actor.
    Retire,
    /// From a connection: it is at rest, or over.
    Rests(usize),
    Over(usize),
    /// Another endpoint needs the room of this connection, if it still rests.
    MakeRoom(usize),
}

/// The connections at rest, whosever they are, and the way to their peers.
#[derive(Default)]
pub struct Resting(Mutex<BTreeMap<(Instant, EndpointId, usize), Sender<Ask>>>);

impl Resting {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<(Instant, EndpointId, usize), Sender<Ask>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has the one that rested longest closed; whether there was one.
    fn make_room(&self) -> bool {
        let mut resting = self.lock();
        let Some((place, peer)) = resting.pop_first() else { return false };
        let asked = peer.try_send(Ask::MakeRoom(place.2)).is_ok();
        if !asked {
            // It rests on, and may be asked again once its peer has time.
            resting.insert(place, peer);
        }
        asked
    }
}

/// What the actors of all endpoints share.
pub struct Trunk {
    pub limits: Arc<Limits>,
    pub counters: Arc<Counters>,
    pub figures: Arc<Figures>,
    pub decider: Mailbox,
    pub budget: Budget,
    pub resting: Resting,
    pub site: Arc<InForce>,
}

/// By which a call that is out can be revoked from outside.
#[derive(Default)]
struct Tie {
    revoked: bool,
    /// Whether the call has begun to leave, and whether it is not to.
    left: bool,
    withheld: bool,
    texts: Vec<Submit>,
    /// Those of them that were called back.
    called_back: Vec<Submit>,
    stream: Option<Arc<TcpStream>>,
}

type SharedTie = Arc<Mutex<Tie>>;

struct Line {
    calls: Sender<Box<Call>>,
    tie: SharedTie,
    rests_since: Option<Instant>,
}

pub struct Peer {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub trunk: Arc<Trunk>,
    pub own: Sender<Ask>,
}

impl Peer {
    pub fn run(self, asks: Receiver<Ask>) {
        let mut lines: BTreeMap<usize, Line> = BTreeMap::new();
        let (mut next, mut retired) = (0, false);
        loop {
            // A connection at rest is given up by dropping the way to it.
            let (now, rest) = (Instant::now(), self.trunk.rest());
            self.keep(&mut lines, |_, since| !retired && now < since + rest);
            if retired && lines.is_empty() {
                return;
            }
            let expires = lines.values().filter_map(|line| line.rests_since).min().map(|since| since + rest);
            let ask = match expires {
                Some(at) => asks.recv_deadline(at),
                None => asks.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match ask {
                Ok(Ask::Call(call)) => {
                    // Settings may say another time by now than when this began to wait.
                    let (now, rest) = (Instant::now(), self.trunk.rest());
                    self.keep(&mut lines, |_, since| now < since + rest);
                    // The one used last is the least likely to have been closed at the other end.
                    let resting = lines.iter().filter(|(_, line)| line.rests_since.is_some());
                    let last = resting.max_by_key(|(_, line)| line.rests_since).map(|(number, _)| *number);
                    let number = last.unwrap_or(next);
                    if last.is_none() {
                        next += 1;
                        match self.open(number) {
                            Ok(line) => _ = lines.insert(number, line),
                            Err(why) => {
                                log!("no connection to {} can be had: {why}", self.address);
                                continue;
                            }
                        }
                    }
                    let line = lines.get_mut(&number).expect("found or made above");
                    if let Some(since) = line.rests_since.take() {
                        self.trunk.resting.lock().remove(&(since, self.endpoint, number));
                    }
                    {
                        let mut tie = lock(&line.tie);
                        tie.texts = call.parts.iter().map(|part| (part.text, part.submit)).collect();
                        (tie.revoked, tie.left, tie.withheld) = (false, false, false);
                        tie.called_back.clear();
                    }
                    if line.calls.try_send(call).is_err() {
                        lines.remove(&number);
                    }
                }
                Ok(Ask::Revoke(text)) => lines.values().for_each(|line| {
                    let mut tie = lock(&line.tie);
                    // All texts of a call share one connection: it ends once all of them are called back.
                    if tie.texts.contains(&text) && !tie.called_back.contains(&text) {
                        tie.called_back.push(text);
                    }
                    if !tie.texts.is_empty() && tie.called_back.len() == tie.texts.len() {
                        tie.revoked = true;
                        tie.stream.iter().for_each(|stream| _ = stream.shutdown(Shutdown::Both));
                    }
                }),
                Ok(Ask::Withhold(text)) => lines.values().for_each(|line| {
                    let mut tie = lock(&line.tie);
                    tie.withheld |= !tie.left && tie.texts.contains(&text);
                }),
                Ok(Ask::CloseIdle) => self.keep(&mut lines, |_, _| false),
                Ok(Ask::MakeRoom(longest)) => self.keep(&mut lines, |number, _| number != longest),
                Ok(Ask::Retire) => retired = true,
                Ok(Ask::Rests(number)) => {
                    if let Some(line) = lines.get_mut(&number) {
                        let since = Instant::now();
                        line.rests_since = Some(since);
                        lock(&line.tie).texts.clear();
                        let place = (since, self.endpoint, number);
                        self.trunk.resting.lock().insert(place, self.own.clone());
                    }
                }
                Ok(Ask::Over(number)) => _ = lines.remove(&number),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    /// Gives up the connections at rest that are not to be kept.
    fn keep(&self, lines: &mut BTreeMap<usize, Line>, kept: impl Fn(usize, Instant) -> bool) {
        lines.retain(|number, line| {
            let Some(since) = line.rests_since.filter(|since| !kept(*number, *since)) else { return true };
            self.trunk.resting.lock().remove(&(since, self.endpoint, *number));
            false
        });
    }

    fn open(&self, number: usize) -> Result<Line, String> {
        let trunk = Arc::clone(&self.trunk);
        // Where few sockets are granted, connections that rest at some endpoints would keep calls from all
        // others. One that makes room is open a moment longer; no more can be so than calls may be out.
        let Some(token) = trunk.budget.take(Purpose::Gateway) else {
            return Err("no descriptor is left for it".into());
        };
        if trunk.budget.used(Purpose::Gateway) > trunk.limits.links && !trunk.resting.make_room() {
            return Err("all that the limits allow are open".into());
        }
        let (calls, inbox) = bounded::<Box<Call>>(1);
        let tie = SharedTie::default();
        let mut carrier = Carrier {
            endpoint: self.endpoint,
            address: self.address,
            trunk: Arc::clone(&trunk),
            tie: Arc::clone(&tie),
            link: None,
            connection: 0,
            calls: 0,
        };
        let peer = self.own.clone();
        let work = move || {
            while let Ok(mut call) = inbox.recv() {
                let mut keeps = false;
                let rests = || _ = peer.send(Ask::Rests(number));
                if !threads::survives(|| keeps = carrier.carry(&mut call, rests)) {
                    // Before the call is dropped, and its outcome told: nothing may meet an open first copy.
                    carrier.drop_link("its thread ended");
                    keeps = false;
                }
                if !keeps {
                    break;
                }
            }
            carrier.drop_link("given up at rest");
            // The right to a descriptor goes back after the descriptor.
            drop(carrier);
            drop(token);
            // A call that was handed over when this had said that it rests ends with the way to it, which the peer gives
            // up when it hears that this is over.
            drop(inbox);
            _ = peer.send(Ask::Over(number));
        };
        match threads::spawn("link", trunk.limits.stack, work) {
            Ok(_) => Ok(Line { calls, tie, rests_since: None }),
            Err(e) => Err(e.to_string()),
        }
    }
}

fn lock(tie: &SharedTie) -> MutexGuard<'_, Tie> {
    tie.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What an answer says of a text.
struct Said {
    verdict: Verdict,
    told_wait: Option<Span>,
    ended: bool,
    allowance: Option<Allowance>,
}

impl From<Verdict> for Said {
    fn from(verdict: Verdict) -> Said {
        Said { verdict, told_wait: None, ended: false, allowance: None }
    }
}

impl Trunk {
    pub fn new(
        limits: &Arc<Limits>,
        counters: &Arc<Counters>,
        figures: &Arc<Figures>,
        decider: &Mailbox,
        site: &Arc<InForce>,
        budget: &Budget,
    ) -> Trunk {
        Trunk {
            limits: Arc::clone(limits),
            counters: Arc::clone(counters),
            figures: Arc::clone(figures),
            decider: decider.clone(),
            budget: budget.clone(),
            resting: Resting::default(),
            site: Arc::clone(site),
        }
    }

    /// How long a connection is kept at rest by the settings in force.
    fn rest(&self) -> Duration {
        self.site.get().keeps_alive.saturating_sub(self.limits.link_margin)
    }

    fn tell(&self, endpoint: EndpointId, sent: Instant, text: TextId, submit: usize, word: Said) {
        let counters = &self.counters;
        let counter = match word.verdict {
            Verdict::Delivered => &counters.delivered,
            Verdict::Error => &counters.errors,
            Verdict::Full => &counters.full,
            Verdict::TimeOut => &counters.time_outs,
            Verdict::ConnectFailed => &counters.unconnected,
            Verdict::Reset => &counters.resets,
            Verdict::Cancelled | Verdict::Moot => &counters.not_sent,
        };
        counter.add(1);
        _ = self.decider.send(Word::Outcome(Outcome {
            text,
            submit,
            endpoint,
            verdict: word.verdict,
            told_wait: word.told_wait,
            latency: span(sent.elapsed()),
            ended: word.ended,
            allowance: word.allowance,
        }));
    }
}

/// The thread of one connection.
struct Carrier {
    endpoint: EndpointId,
    address: SocketAddr,
    trunk: Arc<Trunk>,
    tie: SharedTie,
    link: Option<Link>,
    /// The connection's own number in this process, and how many calls it has carried.
    connection: u64,
    calls: u64,
}

impl Carrier {
    /// Carries one call to its end; whether the connection can carry another. The peer hears that it rests
    /// before the decider hears the outcome: a call that follows on it would else open a new one. One that does
    /// not rest is ended before the outcome is told, so that nothing can meet an open first copy.
    fn carry(&mut self, call: &mut Call, rests: impl FnOnce()) -> bool {
        let sent = self.send(call);
        let many = call.parts.len() > 1;
        let (head, body) = match sent.and_then(|()| self.await_head(call, many)) {
            Ok(answer) => answer,
            Err(verdict) => {
                self.drop_link("its call failed");
                let verdict = if lock(&self.tie).revoked { Verdict::Cancelled } else { verdict };
                call.tell(|_| verdict.into());
                return false;
            }
        };
        self.log_answer(call, &head, body.as_deref());
        let keeps = body.is_some() && head.keeps() && self.link.as_ref().is_some_and(Link::is_clean);
        if keeps {
            rests();
        } else {
            let untaken = self.link.as_ref().map_or(0, Link::untaken);
            if body.is_some() && untaken > 0 {
                self.log_unasked("behind an answer", untaken);
            }
            self.drop_link("the answer was its last");
        }
        match body {
            // The first line alone tells that a single text was delivered, whatever is wrong with the rest.
            _ if !many && head.status == 200 => self.tell_all(call, &head, None),
            Some(_) if head.status != 200 => self.tell_all(call, &head, None),
            Some(body) => self.tell_all(call, &head, Some(&body)),
            // Nothing else in it can be believed, not even that it never ran. But a wait was told as its head was written.
            None => call.tell(|_| Said { told_wait: told_wait(&head), ..Verdict::Error.into() }),
        }
        keeps
    }

    fn drop_link(&mut self, reason: &str) {
        lock(&self.tie).stream = None;
        if let Some(link) = self.link.take() {
            log_request!(
                endpoint = self.endpoint.0, address:% = self.address, connection = self.connection,
                calls = self.calls, reason;
                "connection closed"
            );
            link.shut();
        }
    }

    /// What came back for a call. What its texts are taken for stands in the line of each call's end.
    fn log_answer(&self, call: &Call, head: &AnswerHead, body: Option<&[u8]>) {
        log_request!(
            ids:% = call, endpoint = self.endpoint.0, connection = self.connection, calls = self.calls,
            status = head.status, bytes = body.map_or(-1, |body| body.len() as i64),
            after_ms = call.sent.elapsed().as_millis();
            "answer"
        );
    }

    fn log_unasked(&self, when: &str, bytes: usize) {
        self.trunk.counters.unasked.add(1);
        log!(
            endpoint = self.endpoint.0, address:% = self.address, connection = self.connection, calls = self.calls,
            when, bytes;
            "bytes that nobody asked for"
        );
    }

    /// What this sender has not enough of is no fault of the endpoint's.
    fn unopened(&self, e: &std::io::Error) -> Verdict {
        if !link::is_shortage(e) {
            return Verdict::ConnectFailed;
        }
        self.trunk.counters.no_descriptor.add(1);
        log!("no connection to {} can be had: {e}", self.address);
        Verdict::Moot
    }

    /// Sends the call; an error means that its last byte has not left. A text whose time is up before the call can leave
    /// stays behind: the others of its call don't hang on it.
    fn send(&mut self, call: &mut Call) -> Result<(), Verdict> {
        let found = self.link.as_ref().map(|link| link.at_rest(&self.trunk.limits));
        if found == Some(AtRest::Quiet) {
            self.trunk.counters.endpoint_reuses.add(1);
        } else {
            if found == Some(AtRest::Unasked) {
                self.log_unasked("at rest", self.link.as_ref().map_or(0, Link::untaken));
            }
            self.drop_link(found.unwrap_or(AtRest::Ended).reason());
            let latest = call.parts.iter().map(|part| part.by.min(part.leave_by)).max().unwrap_or(call.sent);
            let left = latest.saturating_duration_since(Instant::now());
            log_account!(endpoint = self.endpoint.0, texts = call.parts.len(); "connects");
            let opened = Link::open(self.address, left.min(self.trunk.site.get().connect_time));
            self.link = Some(opened.map_err(|e| self.unopened(&e))?);
            (self.connection, self.calls) = (self.trunk.counters.endpoint_connections.next(), 0);
        }
        let now = Instant::now();
        let late = call.parts.extract_if(.., |part| now >= part.by.min(part.leave_by)).collect();
        drop(Call { parts: late, sent: call.sent, left: false, owed: call.owed.clone() });
        if call.parts.is_empty() {
            return Err(Verdict::Moot);
        }
        let link = self.link.as_mut().expect("opened above");
        {
            let mut tie = lock(&self.tie);
            tie.texts = call.parts.iter().map(|part| (part.text, part.submit)).collect();
            let Tie { texts, called_back, .. } = &mut *tie;
            called_back.retain(|back| texts.contains(back));
            if tie.revoked {
                return Err(Verdict::Cancelled);
            }
            if tie.withheld {
                return Err(Verdict::Moot);
            }
            tie.left = true;
            tie.stream = Some(Arc::clone(link.stream()));
        }
        let host = self.address.to_string();
        if let [part] = &call.parts[..] {
            let wait = part.by.saturating_duration_since(call.sent).as_millis().to_string();
            let mut headers = vec![("X-Request-ID", part.id.as_str()), ("X-Timeout-Ms", &wait)];
            headers.extend(part.mark.as_deref().map(|mark| ("Idempotency-Key", mark)));
            http::put_request(&mut link.outward, "POST /v1/messages", &host, &headers, &part.body);
        } else {
            let latest = call.parts.iter().map(|part| part.by).max().unwrap_or(call.sent);
            let wait = latest.saturating_duration_since(call.sent).as_millis().to_string();
            let mut body = Vec::new();
            for part in &call.parts {
                let mark = part.mark.as_deref().unwrap_or("-");
                body.extend(format!("{} {mark} {}\r\n", part.id, part.body.len()).bytes());
                body.extend_from_slice(&part.body);
                body.extend(b"\r\n");
            }
            let headers = [("X-Timeout-Ms", wait.as_str())];
            http::put_request(&mut link.outward, "POST /v1/messages:batch", &host, &headers, &body);
        }
        let by = call.parts.iter().map(|part| part.by.min(part.leave_by)).min().unwrap_or(call.sent);
        call.left = true;
        link.send(by).map_err(|_| Verdict::ConnectFailed)?;
        self.trunk.figures.sends.add(call.parts.len());
        self.calls += 1;
        log_request!(
            ids:% = call, endpoint = self.endpoint.0, address:% = self.address, connection = self.connection,
            calls = self.calls;
            "call left"
        );
        Ok(())
    }

    /// Waits for the answer: its head, and its body unless that is spoilt. The call is out until its connection
    /// ends, also for texts whose own time is up before: reported earlier, the next text of a key would meet them.
    fn await_head(&mut self, call: &Call, many: bool) -> Result<(AnswerHead, Option<Vec<u8>>), Verdict> {
        let link = self.link.as_mut().expect("sent on it");
        let limits = &*self.trunk.limits;
        let by = call.parts.iter().map(|part| part.by).max().unwrap_or(call.sent);
        let head = match link.head(limits, by) {
            Ok(head) => head,
            Err(_) if lock(&self.tie).revoked => return Err(Verdict::Cancelled),
            Err(_) if !many && link.says_done() => return Ok((AnswerHead::bare(200), None)),
            Err(Fault::Late) => return Err(Verdict::TimeOut),
            Err(Fault::Broken) => return Err(Verdict::Reset),
            Err(fault) => {
                log!("{} answered what can't be read: {fault:?}", self.address);
                return Err(Verdict::Error);
            }
        };
        let tells_wait = head.status != 200 && told_wait(&head).is_some();
        let rest = if tells_wait { limits.wait_rest } else { limits.answer_rest };
        let body = link.body(&head, limits.body, Instant::now() + rest);
        if let Err(fault) = &body {
            log!("half an answer from {}: {fault:?}", self.address);
        }
        Ok((head, body.ok()))
    }

    fn tell_all(&self, call: &mut Call, head: &AnswerHead, body: Option<&[u8]>) {
        let ends = body.map(|body| {
            let lines = String::from_utf8_lossy(body).into_owned();
            let pairs = lines.lines().filter_map(|line| line.trim().split_once(' '));
            pairs.map(|(id, end)| (id.to_owned(), end.trim().to_owned())).collect::<BTreeMap<_, _>>()
        });
        let many = call.parts.len() > 1;
        call.tell(|part| {
            let word = match &ends {
                // A call of several that can't be read, or is too large, ran for none of them.
                None if many && matches!(head.status, 400 | 413) => Verdict::Moot.into(),
                None => read_status(head),
                Some(ends) => read_end(ends.get(&part.id).map(String::as_str), head),
            };
            if word.verdict == Verdict::Error && !matches!(head.status, 200 | 500) {
                log!("{} answered a call with {}", self.address, head.status);
            }
            word
        });
    }
}

/// More seconds than any process lives, which points in time can still hold.
const LONGEST_TOLD: f64 = 1e9;

fn told_wait(head: &AnswerHead) -> Option<Span> {
    let seconds: f64 = head.headers.get("retry-after")?.parse().ok()?;
    (seconds.is_finite() && seconds > 0.0).then(|| Span::from_millis(seconds.min(LONGEST_TOLD) * 1000.0))
}

/// What the receiver tells of its limit; what can't be read is as good as not told.
fn allowance(head: &AnswerHead) -> Option<Allowance> {
    let mut found = Allowance { share_left: 0.0, calls_per_sec: f64::NAN };
    let sane = |value: &f64| (0.0..=1e6).contains(value);
    for (name, value) in head.headers.get("x-server-load")?.split(',').filter_map(|f| f.split_once('=')) {
        let value = value.trim().parse::<f64>().ok().filter(sane)?;
        match name.trim() {
            "x0" => found.share_left = value,
            "x1" => found.calls_per_sec = value,
            _ => {}
        }
    }
    (!found.calls_per_sec.is_nan()).then_some(found)
}

fn read_status(head: &AnswerHead) -> Said {
    let (verdict, ended) = match head.status {
        200 => (Verdict::Delivered, true),
        503 if head.headers.get("x-no-slot") == Some("1") => (Verdict::Moot, false),
        429 | 503 => (Verdict::Full, false),
        504 => (Verdict::Moot, false),
        410 => (Verdict::Moot, true),
        // Nobody promised that anything else means it never ran.
        _ => (Verdict::Error, false),
    };
    let told_wait = told_wait(head).filter(|_| verdict == Verdict::Full);
    Said { verdict, told_wait, ended, allowance: allowance(head) }
}

fn read_end(end: Option<&str>, head: &AnswerHead) -> Said {
    let (verdict, ended) = match end {
        Some("done") => (Verdict::Delivered, true),
        Some("busy") => (Verdict::Full, false),
        Some("void") => (Verdict::Moot, true),
        Some("used_up") => (Verdict::Moot, false),
        _ => (Verdict::Error, false),
    };
    Said { verdict, told_wait: told_wait(head), ended, allowance: allowance(head) }
}

#[cfg(test)]
mod tests;
