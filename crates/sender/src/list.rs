//! The list of endpoints: what a source of it is, and the platform's discovery, which is asked for it or watched.

use crate::clock::{Clock, duration};
use crate::config::{InForce, Site};
use crate::counters::Counters;
use crate::decider::Message;
use crate::http::{self, AnswerHead};
use crate::limits::Limits;
use crate::link::{Fault, Link};
use crate::platform::Platform;
use crate::poll_schedule::{PollSchedule, Reply};
use crate::{Mailbox, log, log_account, log_state, threads};
use crossbeam_channel::Receiver;
use indigomast::api::{Condition, KindId, ZoneId};
use indigomast::list_lease::{LeaseSettings, ListLease, QueryFailure, Subscription};
use indigomast::time::{Moment, Span};
use indigomast_site::{Complaint, parse_json};
use serde::{Deserialize, Serialize};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const PATH: &str = "/discovery/hosts";

/// A list as the discovery service writes it.
#[derive(Deserialize)]
pub struct ListResponse {
    revision: u64,
    complete: bool,
    members: Vec<Member>,
}

#[derive(Deserialize)]
struct Member {
    id: String,
    host_port: String,
    locality: String,
    flavor: String,
    cell: u64,
    phase: Phase,
    #[serde(default)]
    size: f64,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
enum Phase {
    Ready,
    Terminating,
    Gone,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedEndpoint {
    pub name: String,
    /// None among those that are gone, which nobody calls any more.
    pub address: Option<SocketAddr>,
    pub dest: u64,
    pub kind: KindId,
    pub zone: ZoneId,
    pub units: f64,
    pub condition: Condition,
}

impl ListedEndpoint {
    fn of(member: Member, site: &Site) -> Result<ListedEndpoint, Complaint> {
        let address = member.host_port.parse().ok();
        if address.is_none() && member.phase != Phase::Gone {
            return Err(format!("host_port: {:?} is no address", member.host_port));
        }
        Ok(ListedEndpoint {
            address,
            dest: member.cell,
            kind: KindId(site.kinds.index_of(&member.flavor, "flavor")?),
            zone: ZoneId(site.zones.index_of(&member.locality, "locality")?),
            units: member.size,
            condition: match member.phase {
                Phase::Ready => Condition::Running,
                Phase::Terminating => Condition::Stopping,
                Phase::Gone => Condition::Deleted,
            },
            name: member.id,
        })
    }

    /// The entries that drain or are gone among those that are whole in what has come of an answer.
    fn drained_in(answer: &[u8], site: &Site) -> Vec<ListedEndpoint> {
        let mut found = Vec::new();
        let mut rest = answer;
        while let Some(start) = rest.iter().position(|byte| *byte == b'{') {
            rest = &rest[start..];
            let mut members = serde_json::Deserializer::from_slice(rest).into_iter::<Member>();
            match members.next() {
                Some(Ok(member)) => {
                    rest = &rest[members.byte_offset()..];
                    found.extend(ListedEndpoint::of(member, site).ok());
                }
                // The object around all entries, or one that is not whole.
                _ => rest = &rest[1..],
            }
        }
        found.retain(|listed| listed.condition != Condition::Running);
        found
    }
}

#[derive(Clone, Debug)]
pub struct EndpointList {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<ListedEndpoint>,
}

impl EndpointList {
    pub fn of(page: ListResponse, site: &Site, limits: &Limits) -> Result<EndpointList, Complaint> {
        if page.members.len() > limits.endpoints {
            return Err(format!("members: {} are more than are looked after", page.members.len()));
        }
        let listed = |(at, member): (usize, Member)| {
            ListedEndpoint::of(member, site).map_err(|e| format!("members[{at}].{e}"))
        };
        Ok(EndpointList {
            revision: page.revision,
            complete: page.complete,
            members: page.members.into_iter().enumerate().map(listed).collect::<Result<_, _>>()?,
        })
    }
}

/// Where a list of endpoints comes from. An actor of its own: it tells what it knows unasked or when asked, as it is made,
/// and ends when nobody can ask any more.
pub trait ListSource: Send {
    fn run(self: Box<Self>, asks: Receiver<ListRequest>, list_sink: ListSink);
}

/// The way from a source to the decisions.
#[derive(Clone)]
pub struct ListSink {
    decider: Mailbox,
    counters: Arc<Counters>,
}

impl ListSink {
    pub fn new(decider: Mailbox, counters: Arc<Counters>) -> ListSink {
        ListSink { decider, counters }
    }

    /// A question was not answered, and is asked again unbidden.
    fn missed(&self) {
        self.counters.bad_lists.add(1);
    }

    /// Endpoints that drain or are gone, by an answer that is not whole, or came to a watch that is over.
    fn drained(&self, members: Vec<ListedEndpoint>) {
        if !members.is_empty() {
            _ = self.decider.send(Message::Drained(members));
        }
    }

    /// Until when the list in force may be acted on, and as of when it is whole.
    fn lease(&self, lease: &ListLease, now: Moment) {
        let (until, as_of, failed) = (lease.valid_until(now), lease.as_of(), lease.has_failed());
        _ = self.decider.send(Message::ListLease { until, as_of, failed });
    }

    /// What the list says now; none where asking failed, and then the one in force stays.
    pub fn publish(&self, listing: Option<EndpointList>) {
        match &listing {
            Some(_) => self.counters.lists.add(1),
            None => self.counters.bad_lists.add(1),
        }
        _ = self.decider.send(Message::Listed(listing));
    }
}

#[derive(Clone, Debug)]
pub enum ListRequest {
    Watch(bool),
    Read,
    /// Discovery may be elsewhere now: what runs is over, and the next list has to be a whole one.
    Renew,
}

/// What the actor and its watcher share.
struct DiscoveryClient {
    platform: Arc<Platform>,
    site: Arc<InForce>,
    limits: Arc<Limits>,
    list_sink: ListSink,
    running: Mutex<Running>,
    schedule: Mutex<PollSchedule>,
    clock: Clock,
    lease: Mutex<ListLease>,
}

/// What one watch leaves to the next, or must not: behind one lock, so that no watch meets half of a change.
struct Running {
    /// The watch that runs, and its connection.
    number: u64,
    stream: Option<Arc<TcpStream>>,
    /// What was told last, and by whom: another discovery counts otherwise. None where nothing that is known goes on.
    revision: Option<(SocketAddr, u64)>,
}

impl Running {
    /// The watch that runs, if any, is over; what it still reads is nobody's.
    fn replace(&mut self) -> u64 {
        self.number += 1;
        if let Some(stream) = self.stream.take() {
            _ = stream.shutdown(Shutdown::Both);
        }
        self.number
    }

    /// Whether this watch still runs, which has no connection now that anybody need shut. Of one that was replaced the
    /// connection is its successor's.
    fn rests(&mut self, number: u64) -> bool {
        let runs = self.number == number;
        if runs {
            self.stream = None;
        }
        runs
    }
}

pub struct DiscoverySource {
    pub platform: Arc<Platform>,
    pub site: Arc<InForce>,
    pub limits: Arc<Limits>,
    /// Of the list that is known; none where discovery may be another one now.
    pub revision: Option<u64>,
    pub clock: Clock,
    /// As of when the list that is known is whole, and whether the process before has asked in vain since.
    pub as_of: Moment,
    pub query_failed: bool,
}

impl ListSource for DiscoverySource {
    /// Works through what is asked until nobody can ask any more.
    fn run(self: Box<Self>, asks: Receiver<ListRequest>, list_sink: ListSink) {
        let DiscoverySource { platform, site, limits, revision, clock, as_of, query_failed } = *self;
        let unasked = !site.get().info.decode().must_subscribe;
        let revision = revision.map(|revision| (platform.address(), revision));
        let running = Mutex::new(Running { number: 0, stream: None, revision });
        let mut poll_schedule = schedule(&site.get()).0;
        let age = duration(clock.now().since(as_of));
        let now = Instant::now();
        now.checked_sub(age).into_iter().for_each(|asked| poll_schedule.resumes(now, asked));
        let settings = lease_settings(&site.get(), &poll_schedule);
        let lease = ListLease::new(settings, clock.now(), as_of, query_failed);
        let (schedule, lease) = (Mutex::new(poll_schedule), Mutex::new(lease));
        let desk = DiscoveryClient { platform, site, limits, list_sink, running, schedule, clock, lease };
        let desk = Arc::new(desk);
        desk.leases(|_, _| {});
        if unasked {
            desk.watch(true);
        }
        for ask in asks {
            match ask {
                ListRequest::Watch(on) => desk.watch(on),
                ListRequest::Renew => {
                    desk.renew();
                    desk.watch_anew();
                }
                ListRequest::Read => desk.read_once(),
            }
        }
        desk.watch(false);
    }
}

fn lease_settings(site: &Site, schedule: &PollSchedule) -> LeaseSettings {
    let settings = site.info.decode();
    let subscription = match settings.must_subscribe {
        false => Subscription::Pushed,
        true if schedule.watches() => Subscription::Watches,
        true => Subscription::Polls,
    };
    let drain_grace = Span::from_millis(site.info.obligations.drain_grace_ms);
    LeaseSettings { subscription, max_poll_interval: settings.must_ask_in, drain_grace }
}

/// What a failed question says of discovery, as far as the age of the list goes.
fn failure(reply: Reply) -> QueryFailure {
    match reply {
        Reply::Unreachable => QueryFailure::Unreachable,
        Reply::Silent => QueryFailure::Silent,
        Reply::Told | Reply::TurnedAway | Reply::Broken => QueryFailure::Refused,
    }
}

/// When a sender of this site asks, from now on, and within which time it has to.
fn schedule(site: &Site) -> (PollSchedule, Duration) {
    let (term, info) = (duration(site.info.decode().must_ask_in), &site.info);
    (PollSchedule::new(Instant::now(), info.ordinal, info.group_size, term), term)
}

impl DiscoveryClient {
    /// Under the lock on what runs: a watch that is replaced meanwhile has told before, or tells no more.
    fn tell(&self, running: &mut Running, address: SocketAddr, listing: EndpointList) {
        running.revision = Some((address, listing.revision));
        self.list_sink.publish(Some(listing));
    }

    /// Takes note of something about the list's age, and tells until when the list is good.
    fn leases(&self, note: impl FnOnce(&mut ListLease, Moment)) {
        let mut lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        note(&mut lease, now);
        self.list_sink.lease(&lease, now);
    }

    /// One question outside of the watch.
    fn read_once(&self) {
        let asked = Instant::now();
        match self.ask(0, None) {
            Ok((address, listing)) => {
                self.tell(&mut self.running(), address, listing);
                self.leases(|lease, _| lease.record_answer(self.clock.moment(asked)));
            }
            Err((_, e)) => {
                log!("reading the list failed: {e}");
                self.list_sink.publish(None);
            }
        }
    }

    /// By the settings in force.
    fn renew(&self) {
        let (fresh, term) = schedule(&self.site.get());
        let settings = lease_settings(&self.site.get(), &fresh);
        self.leases(|lease, now| {
            lease.update_settings(settings);
            lease.record_source_change(now);
        });
        let mut schedule = self.schedule();
        if !schedule.goes_round_with(&fresh) {
            *schedule = fresh;
        }
        schedule.renewed(Instant::now(), term);
    }

    fn schedule(&self) -> std::sync::MutexGuard<'_, PollSchedule> {
        self.schedule.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn running(&self) -> std::sync::MutexGuard<'_, Running> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn watch(self: &Arc<DiscoveryClient>, on: bool) {
        let number = self.running().replace();
        if on {
            self.begin(number);
        }
    }

    /// Begins with the whole list.
    fn watch_anew(self: &Arc<DiscoveryClient>) {
        let mut running = self.running();
        running.revision = None;
        let number = running.replace();
        drop(running);
        self.begin(number);
    }

    fn begin(self: &Arc<DiscoveryClient>, number: u64) {
        let desk = Arc::clone(self);
        if threads::spawn("watch", self.limits.stack, move || desk.keep_watch(number)).is_err() {
            log!("no thread for the watch on the list");
            self.list_sink.publish(None);
        }
    }

    fn keep_watch(&self, number: u64) {
        // What an agent has counts from the first moment on, so it is asked for that at once.
        let mut probes = !self.site.get().info.decode().must_subscribe;
        loop {
            // Nothing is held while a turn is waited for, not even a connection.
            let schedule = self.schedule().clone();
            let (wait, watches) = (schedule.wait(Instant::now()), schedule.watches());
            if !wait.is_zero() {
                if !self.running().rests(number) {
                    return;
                }
                thread::sleep(wait);
                if self.running().number != number {
                    return;
                }
            }
            let since = Instant::now();
            self.schedule().asks(since);
            // After a failure it is time to hear something, be it that nothing has changed.
            let hold = if probes { self.limits.watch_probe } else { self.limits.watch_hold };
            let asked = self.ask(number, watches.then_some(hold));
            probes = asked.is_err();
            // A watch that was ended or replaced has nothing more to say. It is not replaced while it speaks:
            // its revision would pass for one of the next watch's discovery.
            let mut running = self.running();
            if !running.rests(number) {
                drop(running);
                // But that an endpoint drains was written to this sender, and no discovery says otherwise.
                let members = asked.map_or_else(|_| Vec::new(), |(_, listing)| listing.members);
                let drains = |member: &ListedEndpoint| member.condition != Condition::Running;
                return self.list_sink.drained(members.into_iter().filter(drains).collect());
            }
            let reply = asked.as_ref().map_or_else(|(reply, _)| *reply, |_| Reply::Told);
            self.schedule().answered(Instant::now(), reply);
            match asked {
                Ok((address, listing)) => {
                    self.log_told(&listing, since);
                    self.list_sink.counters.list.holds(listing.revision, since);
                    self.tell(&mut running, address, listing);
                    // A watch that ran its whole time would have been answered sooner had something changed.
                    let as_of = if watches && since.elapsed() >= hold { since + hold } else { since };
                    self.leases(|lease, _| lease.record_answer(self.clock.moment(as_of)));
                }
                Err((reply, e)) => {
                    drop(running);
                    self.log_failure(reply, &e, since);
                    self.leases(|lease, now| lease.record_failure(now, failure(reply)));
                    // It is asked again unbidden, and the list in force stays.
                    self.list_sink.missed();
                    if watches {
                        // Where it was long in coming what changed meanwhile counts as told by now.
                        thread::sleep(self.limits.watch_pause.saturating_sub(since.elapsed()));
                    }
                }
            }
        }
    }

    fn log_told(&self, listing: &EndpointList, asked: Instant) {
        log_state!(
            revision = listing.revision, complete = listing.complete, entries = listing.members.len(),
            after_ms = asked.elapsed().as_millis();
            "the list was told"
        );
    }

    /// With which list the sender goes on, and when it asks again.
    fn log_failure(&self, reply: Reply, complaint: &str, asked: Instant) {
        let held = self.list_sink.counters.list.get();
        log!(
            reply:?, after_ms = asked.elapsed().as_millis(),
            revision = held.map_or(-1, |(revision, _)| revision as i64),
            age_ms = held.map_or(-1, |(_, age)| age.as_millis() as i64),
            next_ms = self.schedule().wait(Instant::now()).as_millis();
            "the watch on the list ended: {complaint}"
        );
    }

    /// One question: for changes with a hold, else, or where nothing known goes on, for the whole list. Where there is none
    /// the schedule is told why.
    fn ask(
        &self,
        watch: u64,
        hold: Option<Duration>,
    ) -> Result<(SocketAddr, EndpointList), (Reply, Complaint)> {
        let from = Instant::now();
        let listing = self.question(watch, hold);
        let told = listing.as_ref().map_or(-1, |(_, listing)| listing.members.len() as i64);
        log_account!(ms = from.elapsed().as_millis(), told; "asked");
        listing
    }

    /// On a connection of its own: an answer doesn't name its question, and a second copy of an earlier one would confirm a list
    /// that may have changed since.
    fn question(
        &self,
        watch: u64,
        hold: Option<Duration>,
    ) -> Result<(SocketAddr, EndpointList), (Reply, Complaint)> {
        let limits = &*self.limits;
        let address = self.platform.address();
        // A reload moves the address before the watch hears of it.
        let known = self.running().revision.filter(|(by, _)| *by == address).map(|(_, revision)| revision);
        let hold = hold.zip(known);
        // A call that is given up goes on costing discovery until it has had its turn there.
        let patience =
            hold.map_or(limits.list_time, |(hold, _)| limits.list_time.max(hold + limits.watch_slack));
        let asked = Instant::now();
        let mut open = connect(address, limits).map_err(|e| match e.kind() {
            ErrorKind::TimedOut => (Reply::Silent, e.to_string()),
            ErrorKind::ConnectionRefused => (Reply::Unreachable, e.to_string()),
            _ => (Reply::Broken, e.to_string()),
        })?;
        if watch > 0 {
            let mut running = self.running();
            if running.number != watch {
                return Err((Reply::Broken, "it is over".into()));
            }
            running.stream = Some(Arc::clone(open.stream()));
        }
        // Discovery holds a question as long as ever, however late its connection was.
        let by = if hold.is_some() { Instant::now() + patience } else { asked + patience };
        let line = match hold {
            Some((hold, from)) => format!("GET {PATH}?from={from}&hold_ms={}", hold.as_millis()),
            None => format!("GET {PATH}"),
        };
        log_account!(whole = hold.is_none(); "asks");
        http::put_request(&mut open.outward, &line, &address.to_string(), &[], &[]);
        let fault = |what: &'static str| {
            move |e: Fault| match e {
                Fault::Late => (Reply::Silent, format!("{what}: {e:?}")),
                _ => (Reply::Broken, format!("{what}: {e:?}")),
            }
        };
        open.send(by).map_err(fault("not sent"))?;
        let head = open.head(limits, by).map_err(fault("no answer"))?;
        let body = self.body(&mut open, &head, by).map_err(fault("half an answer"))?;
        if head.status != 200 {
            return Err((Reply::TurnedAway, format!("answered with {}", head.status)));
        }
        let listing = self.read(&body, hold.is_none()).map_err(|e| {
            self.list_sink.drained(ListedEndpoint::drained_in(&body, &self.site.get()));
            (Reply::Broken, e)
        })?;
        Ok((address, listing))
    }

    /// The whole body of an answer. What a part of it says of endpoints that drain is heeded as it comes: it was written, whether or
    /// not the rest follows.
    fn body(&self, open: &mut Link, head: &AnswerHead, by: Instant) -> Result<Vec<u8>, Fault> {
        let mut looked_at = 0;
        loop {
            let look = Instant::now() + self.limits.list_look;
            let fault = match open.body(head, self.limits.list, by.min(look)) {
                Ok(body) => return Ok(body),
                Err(fault) => fault,
            };
            let received = open.received();
            if head.status == 200 && received.len() > looked_at {
                looked_at = received.len();
                self.list_sink.drained(ListedEndpoint::drained_in(received, &self.site.get()));
            }
            if !matches!(fault, Fault::Late) || look >= by {
                return Err(fault);
            }
        }
    }

    fn read(&self, body: &[u8], whole: bool) -> Result<EndpointList, Complaint> {
        let text = std::str::from_utf8(body).map_err(|e| e.to_string())?;
        let listing = EndpointList::of(parse_json(text)?, &self.site.get(), &self.limits)?;
        if whole && !listing.complete {
            return Err("changes came where the whole list was asked for".into());
        }
        Ok(listing)
    }
}

/// A first packet that is lost comes again only after a second, so a new connection is tried after a part of that.
fn connect(address: SocketAddr, limits: &Limits) -> io::Result<Link> {
    match Link::open(address, limits.connect_list_first) {
        Err(e) if e.kind() == ErrorKind::TimedOut => Link::open(address, limits.connect_list),
        opened => opened,
    }
}

#[cfg(test)]
mod tests;
