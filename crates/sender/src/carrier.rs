//! The thread of one connection to an endpoint: it sends a call, waits for the answer, and reports what became of it.

use crate::answer::{self, Answered, Ends};
use crate::call::{Call, Part, Submit};
use crate::clock::{duration, span};
use crate::http::{self, AnswerHead};
use crate::link::{self, AtRest, Fault, Link};
use crate::peer::Trunk;
use crate::{log, log_account, log_request};
use indigomast::api::{EndpointId, Verdict};
use indigomast::connect_estimate::ConnectEstimate;
use indigomast::connection_sharing::{Attribution, ConnectionHistory};
use indigomast_admission::Token;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// By which a call that is out can be revoked from outside.
#[derive(Default)]
pub struct CallControl {
    revoked: bool,
    /// Whether the call has begun to leave, and whether it is not to.
    left: bool,
    withheld: bool,
    texts: Vec<Submit>,
    /// Those of them that were called back.
    called_back: Vec<Submit>,
    stream: Option<Arc<TcpStream>>,
}

impl CallControl {
    /// The connection has this call from now on.
    pub fn takes(&mut self, call: &Call) {
        self.texts = call.parts.iter().map(|part| (part.text, part.submit)).collect();
        (self.revoked, self.left, self.withheld) = (false, false, false);
        self.called_back.clear();
    }

    /// All texts of a call share one connection: it ends once all of them are called back.
    pub fn calls_back(&mut self, text: Submit) {
        if self.texts.contains(&text) && !self.called_back.contains(&text) {
            self.called_back.push(text);
        }
        if !self.texts.is_empty() && self.called_back.len() == self.texts.len() {
            self.revoked = true;
            self.stream.iter().for_each(|stream| _ = stream.shutdown(Shutdown::Both));
        }
    }

    /// A text's call is not to leave, unless it has.
    pub fn withholds(&mut self, text: Submit) {
        self.withheld |= !self.left && self.texts.contains(&text);
    }

    /// No call is out.
    pub fn rests(&mut self) {
        self.texts.clear();
    }
}

pub type SharedControl = Arc<Mutex<CallControl>>;

pub fn lock(control: &SharedControl) -> MutexGuard<'_, CallControl> {
    control.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What the connections to one endpoint share.
pub struct Target {
    pub endpoint: EndpointId,
    pub address: SocketAddr,
    pub trunk: Arc<Trunk>,
    /// What connects there have taken.
    pub connect_patience: Mutex<ConnectEstimate>,
}

/// The thread of one connection.
pub struct Carrier {
    target: Arc<Target>,
    control: SharedControl,
    /// The right to a descriptor, until there will be no other call.
    token: Option<Token>,
    link: Option<Link>,
    /// The connection's own number in this process, how many calls it has carried, and which.
    connection: u64,
    calls: u64,
    connection_use: ConnectionHistory,
}

impl Carrier {
    pub fn new(target: Arc<Target>, control: SharedControl, token: Token) -> Carrier {
        Carrier {
            target,
            control,
            token: Some(token),
            link: None,
            connection: 0,
            calls: 0,
            connection_use: ConnectionHistory::default(),
        }
    }

    /// Carries one call to its end; whether the connection can carry another. The peer hears that it rests
    /// before the decider hears the outcome: a call that follows on it would else open a new one. One that does
    /// not rest is ended before the outcome is told, so that nothing can meet an open first copy.
    pub fn carry(&mut self, call: &mut Call, rests: impl FnOnce()) -> bool {
        let sent = self.send(call);
        let answer = match sent.and_then(|()| self.await_own_answer(call)) {
            Ok(answer) => answer,
            Err(verdict) => {
                self.ends("its call failed");
                let verdict = if lock(&self.control).revoked { Verdict::Cancelled } else { verdict };
                call.tell(|_| verdict.into());
                return false;
            }
        };
        let keeps = self.can_rest_behind(call, &answer);
        if keeps {
            rests();
        } else {
            let untaken = self.link.as_ref().map_or(0, Link::untaken);
            if answer.body.is_some() && untaken > 0 {
                self.log_unasked("behind an answer", untaken);
            }
            self.ends("the answer was its last");
        }
        self.tell_all(call, &answer);
        keeps
    }

    /// Whatever is still written behind an answer that names its texts can be told from the answer to the next call.
    fn can_rest_behind(&self, call: &Call, answer: &Answer) -> bool {
        let clean = self.link.as_ref().is_some_and(Link::is_clean);
        call.shares_connection && answer.proof == Attribution::Named && answer.head.keeps() && clean
    }

    /// There will be no other call here. A call that follows on the outcome, which is told after this, finds the right to a
    /// descriptor given back; and that goes back after the descriptor.
    fn ends(&mut self, reason: &str) {
        self.drop_link(reason);
        self.token = None;
    }

    pub fn drop_link(&mut self, reason: &str) {
        lock(&self.control).stream = None;
        if let Some(link) = self.link.take() {
            log_request!(
                endpoint = self.target.endpoint.0, address:% = self.target.address, connection = self.connection,
                calls = self.calls, reason;
                "connection closed"
            );
            link.shut();
        }
    }

    /// What came back for a call. What its texts are taken for stands in the line of each call's end.
    fn log_answer(&self, call: &Call, head: &AnswerHead, body: Option<&[u8]>) {
        log_request!(
            ids:% = call, endpoint = self.target.endpoint.0, connection = self.connection, calls = self.calls,
            status = head.status, bytes = body.map_or(-1, |body| body.len() as i64),
            after_ms = call.sent.elapsed().as_millis();
            "answer"
        );
    }

    fn log_unasked(&self, when: &str, bytes: usize) {
        self.target.trunk.counters.unasked.add(1);
        log!(
            endpoint = self.target.endpoint.0, address:% = self.target.address, connection = self.connection, calls = self.calls,
            when, bytes;
            "bytes that nobody asked for"
        );
    }

    /// Connects within a time. Where that takes longer than usual the attempt is given up for a second one.
    fn connects(&self, within: Duration) -> io::Result<Link> {
        let patience = || self.target.connect_patience.lock().unwrap_or_else(PoisonError::into_inner);
        let usual = patience().second_attempt_delay().map(duration).filter(|usual| *usual < within);
        let begun = Instant::now();
        let connect = |within| {
            let begun = Instant::now();
            let opened = Link::open(self.target.address, within);
            opened.inspect(|_| patience().record_connect(span(begun.elapsed())))
        };
        match connect(usual.unwrap_or(within)) {
            Err(e) if usual.is_some() && e.kind() == ErrorKind::TimedOut => {
                self.target.trunk.counters.connects_repeated.add(1);
                connect(within.saturating_sub(begun.elapsed()))
            }
            connected => connected,
        }
    }

    /// What this sender has not enough of is no fault of the endpoint's.
    fn unopened(&self, e: &std::io::Error) -> Verdict {
        if !link::is_shortage(e) {
            return Verdict::ConnectFailed;
        }
        self.target.trunk.counters.no_descriptor.add(1);
        log!("no connection to {} can be had: {e}", self.target.address);
        Verdict::Moot
    }

    /// Sends the call; an error means that its last byte has not left. A text whose time is up before the call can leave
    /// stays behind: the others of its call don't hang on it.
    fn send(&mut self, call: &mut Call) -> Result<(), Verdict> {
        let found = self.link.as_ref().map(|link| link.at_rest(&self.target.trunk.limits));
        if found == Some(AtRest::Quiet) && self.connection_use.may_carry(call.ids()) {
            self.target.trunk.counters.endpoint_reuses.add(1);
        } else {
            if found == Some(AtRest::Unasked) {
                self.log_unasked("at rest", self.link.as_ref().map_or(0, Link::untaken));
            }
            let reason = match found {
                Some(AtRest::Quiet) | None => "it can't carry these messages",
                Some(found) => found.reason(),
            };
            self.drop_link(reason);
            let latest =
                call.parts.iter().map(|part| part.by.min(part.send_deadline)).max().unwrap_or(call.sent);
            let left = latest.saturating_duration_since(Instant::now());
            log_account!(endpoint = self.target.endpoint.0, texts = call.parts.len(); "connects");
            let opened = self.connects(left.min(self.target.trunk.site.get().connect_time));
            self.link = Some(opened.map_err(|e| self.unopened(&e))?);
            (self.connection, self.calls) = (self.target.trunk.counters.endpoint_connections.next(), 0);
            self.connection_use = ConnectionHistory::default();
        }
        let now = Instant::now();
        let late = call.parts.extract_if(.., |part| now >= part.by.min(part.send_deadline)).collect();
        drop(call.split_off(late));
        if call.parts.is_empty() {
            return Err(Verdict::Moot);
        }
        let link = self.link.as_mut().expect("opened above");
        {
            let mut control = lock(&self.control);
            control.texts = call.parts.iter().map(|part| (part.text, part.submit)).collect();
            let CallControl { texts, called_back, .. } = &mut *control;
            called_back.retain(|back| texts.contains(back));
            if control.revoked {
                return Err(Verdict::Cancelled);
            }
            if control.withheld {
                return Err(Verdict::Moot);
            }
            control.left = true;
            control.stream = Some(Arc::clone(link.stream()));
        }
        let host = self.target.address.to_string();
        let mut frames = Vec::new();
        if let [part] = &call.parts[..]
            && !call.names_texts()
        {
            let wait = part.by.saturating_duration_since(call.sent).as_millis().to_string();
            let mut headers = vec![("X-Request-ID", part.id.as_str()), ("X-Timeout-Ms", &wait)];
            headers.extend(part.mark.as_deref().map(|mark| ("Idempotency-Key", mark)));
            let length = Some(part.body.len());
            http::put_request_head(&mut link.outward, "POST /v1/messages", &host, &headers, length);
        } else {
            let latest = call.parts.iter().map(|part| part.by).max().unwrap_or(call.sent);
            let wait = latest.saturating_duration_since(call.sent).as_millis().to_string();
            frames.extend(call.parts.iter().map(frame));
            let framed = call.parts.iter().zip(&frames);
            let length = framed.map(|(part, frame)| frame.len() + part.body.len() + FRAME_END.len()).sum();
            let headers = [("X-Timeout-Ms", wait.as_str())];
            let line = "POST /v1/messages:batch";
            http::put_request_head(&mut link.outward, line, &host, &headers, Some(length));
        }
        // A body has no copy while it is sent: calls of several long ones would have the most memory of all.
        let pieces: Vec<&[u8]> = match &frames[..] {
            [] => call.parts.iter().map(|part| &part.body[..]).collect(),
            _ => {
                let framed = call.parts.iter().zip(&frames);
                framed.flat_map(|(part, frame)| [frame.as_bytes(), &part.body[..], FRAME_END]).collect()
            }
        };
        let by = call.parts.iter().map(|part| part.by.min(part.send_deadline)).min().unwrap_or(call.sent);
        call.left = true;
        self.connection_use.begin_call(call.ids());
        link.send_with(&pieces, by).map_err(|_| Verdict::ConnectFailed)?;
        self.target.trunk.figures.sends.add(call.parts.len());
        self.calls += 1;
        log_request!(
            ids:% = call, endpoint = self.target.endpoint.0, address:% = self.target.address, connection = self.connection,
            calls = self.calls;
            "call left"
        );
        Ok(())
    }

    /// Waits for the answer to this call, and passes over those to earlier ones on its connection.
    fn await_own_answer(&mut self, call: &Call) -> Result<Answer, Verdict> {
        for _ in 0..=self.target.trunk.limits.interim {
            let (head, body) = self.await_answer(call)?;
            self.log_answer(call, &head, body.as_deref());
            let named = call.names_texts() && head.status == 200;
            let ends = body.as_deref().filter(|_| named).map(answer::read_ends);
            let names = ends.iter().flat_map(Ends::keys).map(String::as_str);
            let proof = self.connection_use.attribute_answer(names);
            if proof != Attribution::Stray {
                return Ok(Answer { head, body, ends, proof });
            }
            self.log_unasked("before the answer", body.map_or(0, |body| body.len()));
        }
        log!("{} repeats earlier answers and gives no other", self.target.address);
        Err(Verdict::Error)
    }

    /// Waits for an answer: its head, and its body unless that is spoilt. The call is out until its connection
    /// ends, also for texts whose own time is up before: reported earlier, the next text of a key would meet them.
    fn await_answer(&mut self, call: &Call) -> Result<(AnswerHead, Option<Vec<u8>>), Verdict> {
        let link = self.link.as_mut().expect("sent on it");
        let limits = &*self.target.trunk.limits;
        let by = call.parts.iter().map(|part| part.by).max().unwrap_or(call.sent);
        let head = match link.head(limits, by) {
            Ok(head) => head,
            Err(_) if lock(&self.control).revoked => return Err(Verdict::Cancelled),
            Err(_) if !call.names_texts() && link.says_done() => return Ok((AnswerHead::bare(200), None)),
            Err(Fault::Late) => return Err(Verdict::TimeOut),
            Err(Fault::Broken) => return Err(Verdict::Reset),
            Err(fault) => {
                log!("{} answered what can't be read: {fault:?}", self.target.address);
                return Err(Verdict::Error);
            }
        };
        let tells_wait = head.status != 200 && answer::retry_after(&head).is_some();
        let rest = if tells_wait { limits.wait_rest } else { limits.answer_rest };
        let body = link.body(&head, limits.body, Instant::now() + rest);
        if let Err(fault) = &body {
            log!("half an answer from {}: {fault:?}", self.target.address);
        }
        Ok((head, body.ok()))
    }

    fn tell_all(&self, call: &mut Call, answer: &Answer) {
        let names_texts = call.names_texts();
        call.tell(|part| {
            let answered = answer.says_of(&part.id, names_texts);
            if answered.verdict == Verdict::Error && !matches!(answer.head.status, 200 | 500) {
                log!("{} answered a call with {}", self.target.address, answer.head.status);
            }
            answered
        });
    }
}

/// What stands before and behind each text in a call of several.
fn frame(part: &Part) -> String {
    let mark = part.mark.as_deref().unwrap_or("-");
    format!("{} {mark} {}\r\n", part.id, part.body.len())
}

const FRAME_END: &[u8] = b"\r\n";

/// What came back for a call.
struct Answer {
    head: AnswerHead,
    /// None where it was not whole.
    body: Option<Vec<u8>>,
    /// How each text ended, where the answer says so.
    ends: Option<Ends>,
    proof: Attribution,
}

impl Answer {
    fn says_of(&self, id: &str, names_texts: bool) -> Answered {
        let answered = self.reads_of(id, names_texts);
        if self.proof.is_certain() { answered } else { answer::in_doubt(answered) }
    }

    fn reads_of(&self, id: &str, names_texts: bool) -> Answered {
        let head = &self.head;
        match &self.ends {
            Some(ends) => answer::read_end(ends.get(id).map(String::as_str), head),
            // The first line alone tells that a single text was delivered, whatever is wrong with the rest.
            None if !names_texts && head.status == 200 => answer::read_status(head),
            // Nothing else in it can be believed, not even that it never ran. But a wait was told as its head was written.
            None if self.body.is_none() => {
                Answered { retry_after: answer::retry_after(head), ..Verdict::Error.into() }
            }
            // A call of several that can't be read, or is too large, ran for none of them.
            None if names_texts && matches!(head.status, 400 | 413) => Verdict::Moot.into(),
            None => answer::read_status(head),
        }
    }
}
