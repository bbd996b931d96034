//! The actor of one endpoint: it owns the connections there and hands each call to one of them.
//!
//! It decides nothing. A call goes out once, on an open connection or a new one; whatever becomes of it is
//! reported, and a connection that broke at rest is a reset like any other.

use crate::answer::Answered;
use crate::call::{Call, Submit};
use crate::carrier::{Carrier, SharedControl, Target, lock};
use crate::clock::span;
use crate::config::InForce;
use crate::counters::Counters;
use crate::decider::Message;
use crate::figures::Figures;
use crate::limits::Limits;
use crate::{Mailbox, log, threads};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, bounded};
use indigomast::api::*;
use indigomast_admission::{Budget, Purpose};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

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

struct Line {
    calls: Sender<Box<Call>>,
    control: SharedControl,
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
        let target = Arc::new(Target {
            endpoint: self.endpoint,
            address: self.address,
            trunk: Arc::clone(&self.trunk),
            connect_patience: Mutex::default(),
        });
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
                    let shares = call.shares_connection;
                    let resting = lines.iter().filter(|(_, line)| shares && line.rests_since.is_some());
                    let last = resting.max_by_key(|(_, line)| line.rests_since).map(|(number, _)| *number);
                    let number = last.unwrap_or(next);
                    if last.is_none() {
                        next += 1;
                        match self.open(number, &target) {
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
                    lock(&line.control).takes(&call);
                    if line.calls.try_send(call).is_err() {
                        lines.remove(&number);
                    }
                }
                Ok(Ask::Revoke(text)) => lines.values().for_each(|line| lock(&line.control).calls_back(text)),
                Ok(Ask::Withhold(text)) => {
                    lines.values().for_each(|line| lock(&line.control).withholds(text))
                }
                Ok(Ask::CloseIdle) => self.keep(&mut lines, |_, _| false),
                Ok(Ask::MakeRoom(longest)) => self.keep(&mut lines, |number, _| number != longest),
                Ok(Ask::Retire) => retired = true,
                Ok(Ask::Rests(number)) => {
                    if let Some(line) = lines.get_mut(&number) {
                        let since = Instant::now();
                        line.rests_since = Some(since);
                        lock(&line.control).rests();
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

    fn open(&self, number: usize, target: &Arc<Target>) -> Result<Line, String> {
        let trunk = Arc::clone(&self.trunk);
        // Where few sockets are granted, connections that rest at some endpoints would keep calls from all
        // others. One that makes room is open a moment longer; no more can be so than calls may be out.
        let Some(token) = trunk.budget.acquire(Purpose::Gateway) else {
            return Err("no descriptor is left for it".into());
        };
        if trunk.budget.used(Purpose::Gateway) > trunk.limits.links && !trunk.resting.make_room() {
            return Err("all that the limits allow are open".into());
        }
        let (calls, inbox) = bounded::<Box<Call>>(1);
        let control = SharedControl::default();
        let mut carrier = Carrier::new(Arc::clone(target), Arc::clone(&control), token);
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
            drop(carrier);
            // A call that was handed over when this had said that it rests ends with the way to it, which the peer gives
            // up when it hears that this is over.
            drop(inbox);
            _ = peer.send(Ask::Over(number));
        };
        match threads::spawn("link", trunk.limits.stack, work) {
            Ok(_) => Ok(Line { calls, control, rests_since: None }),
            Err(e) => Err(e.to_string()),
        }
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

    pub fn tell(&self, endpoint: EndpointId, sent: Instant, (text, submit): Submit, answered: Answered) {
        let counters = &self.counters;
        let counter = match answered.verdict {
            Verdict::Delivered => &counters.delivered,
            Verdict::Error => &counters.errors,
            Verdict::Full => &counters.full,
            Verdict::TimeOut => &counters.time_outs,
            Verdict::ConnectFailed => &counters.unconnected,
            Verdict::Reset => &counters.resets,
            Verdict::Cancelled | Verdict::Moot => &counters.not_sent,
        };
        counter.add(1);
        _ = self.decider.send(Message::Outcome(Outcome {
            text,
            submit,
            endpoint,
            verdict: answered.verdict,
            in_doubt: answered.in_doubt,
            retry_after: answered.retry_after,
            latency: span(sent.elapsed()),
            ended: answered.ended,
            allowance: answered.allowance,
        }));
    }
}

#[cfg(test)]
mod tests;
