//! The list of endpoints: its sources, and the client of the platform's discovery, which polls or watches it.

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

/// A list in the discovery service's format.
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

/// An endpoint as the list gives it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedEndpoint {
    pub name: String,
    /// Absent only for deleted endpoints, which are no longer called.
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

    /// The stopping and deleted entries among the complete entries of a partial response.
    fn stopping_in(answer: &[u8], site: &Site) -> Vec<ListedEndpoint> {
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
                // The object that encloses all entries, or an incomplete entry.
                _ => rest = &rest[1..],
            }
        }
        found.retain(|listed| listed.condition != Condition::Running);
        found
    }
}

/// A whole list of endpoints, or the changes since an earlier one.
#[derive(Clone, Debug)]
pub struct EndpointList {
    pub revision: u64,
    pub complete: bool,
    pub members: Vec<ListedEndpoint>,
}

impl EndpointList {
    /// Resolves the names of kinds and zones in a response.
    pub fn of(response: ListResponse, site: &Site, limits: &Limits) -> Result<EndpointList, Complaint> {
        if response.members.len() > limits.endpoints {
            return Err(format!("members: {} are more than this sender can handle", response.members.len()));
        }
        let listed = |(at, member): (usize, Member)| {
            ListedEndpoint::of(member, site).map_err(|e| format!("members[{at}].{e}"))
        };
        Ok(EndpointList {
            revision: response.revision,
            complete: response.complete,
            members: response.members.into_iter().enumerate().map(listed).collect::<Result<_, _>>()?,
        })
    }
}

/// A source of the endpoint list, run as an actor. It publishes lists on its own or on request, and ends when
/// the request channel is closed.
pub trait ListSource: Send {
    fn run(self: Box<Self>, asks: Receiver<ListRequest>, list_sink: ListSink);
}

/// Where a source publishes to: the decision loop and the counters.
#[derive(Clone)]
pub struct ListSink {
    decider: Mailbox,
    counters: Arc<Counters>,
}

impl ListSink {
    /// A sink that sends to this mailbox.
    pub fn new(decider: Mailbox, counters: Arc<Counters>) -> ListSink {
        ListSink { decider, counters }
    }

    /// Counts a failed query, which the source repeats on its own.
    fn count_failure(&self) {
        self.counters.bad_lists.add(1);
    }

    /// Reports stopping or deleted endpoints from a partial response, or from a response to a watch that was
    /// replaced.
    fn report_stopping(&self, members: Vec<ListedEndpoint>) {
        if !members.is_empty() {
            _ = self.decider.send(Message::Drained(members));
        }
    }

    /// Reports until when the list in force is valid and as of when it is complete.
    fn publish_lease(&self, lease: &ListLease, now: Moment) {
        let (until, as_of, failed) = (lease.valid_until(now), lease.as_of(), lease.has_failed());
        _ = self.decider.send(Message::ListLease { until, as_of, failed });
    }

    /// Publishes a list, or `None` if the query failed; then the list in force stays.
    pub fn publish(&self, listing: Option<EndpointList>) {
        match &listing {
            Some(_) => self.counters.lists.add(1),
            None => self.counters.bad_lists.add(1),
        }
        _ = self.decider.send(Message::Listed(listing));
    }
}

/// A request to a list source.
#[derive(Clone, Debug)]
pub enum ListRequest {
    /// Start or stop watching.
    Watch(bool),
    /// Query the list once.
    Read,
    /// Discovery may have moved: end the running watch and start over with a whole list.
    Renew,
}

/// State shared by the actor and its watch thread.
struct DiscoveryClient {
    platform: Arc<Platform>,
    site: Arc<InForce>,
    limits: Arc<Limits>,
    list_sink: ListSink,
    running: Mutex<WatchState>,
    schedule: Mutex<PollSchedule>,
    clock: Clock,
    lease: Mutex<ListLease>,
}

/// State passed from one watch to the next. One lock guards it, so that no watch sees a partial change.
struct WatchState {
    /// The number of the running watch, and its connection.
    number: u64,
    stream: Option<Arc<TcpStream>>,
    /// The last published revision and the discovery it came from: each discovery numbers revisions on its
    /// own. `None` if the next list has to be a whole one.
    revision: Option<(SocketAddr, u64)>,
}

impl WatchState {
    /// Ends the running watch, if any, and returns the number of the next one. What the old one still reads
    /// is discarded.
    fn replace(&mut self) -> u64 {
        self.number += 1;
        if let Some(stream) = self.stream.take() {
            _ = stream.shutdown(Shutdown::Both);
        }
        self.number
    }

    /// Marks this watch as idle, without a connection to shut down, and returns whether it is still the
    /// running one. If it was replaced, the stored connection belongs to its successor and is left alone.
    fn mark_idle(&mut self, number: u64) -> bool {
        let runs = self.number == number;
        if runs {
            self.stream = None;
        }
        runs
    }
}

/// The platform's discovery as a source of the list.
pub struct DiscoverySource {
    pub platform: Arc<Platform>,
    pub site: Arc<InForce>,
    pub limits: Arc<Limits>,
    /// Revision of the known list; `None` if discovery may be a different one now.
    pub revision: Option<u64>,
    pub clock: Clock,
    /// As of when the known list is complete, and whether a query of the previous process has failed since.
    pub as_of: Moment,
    pub query_failed: bool,
}

impl ListSource for DiscoverySource {
    /// Serves requests until the channel is closed.
    fn run(self: Box<Self>, asks: Receiver<ListRequest>, list_sink: ListSink) {
        let DiscoverySource { platform, site, limits, revision, clock, as_of, query_failed } = *self;
        let watch_at_start = !site.get().info.decode().must_subscribe;
        let revision = revision.map(|revision| (platform.address(), revision));
        let running = Mutex::new(WatchState { number: 0, stream: None, revision });
        let mut poll_schedule = schedule(&site.get()).0;
        let age = duration(clock.now().since(as_of));
        let now = Instant::now();
        now.checked_sub(age).into_iter().for_each(|asked| poll_schedule.resume_from(now, asked));
        let settings = lease_settings(&site.get(), &poll_schedule);
        let lease = ListLease::new(settings, clock.now(), as_of, query_failed);
        let (schedule, lease) = (Mutex::new(poll_schedule), Mutex::new(lease));
        let client = DiscoveryClient { platform, site, limits, list_sink, running, schedule, clock, lease };
        let client = Arc::new(client);
        client.update_lease(|_, _| {});
        if watch_at_start {
            client.watch(true);
        }
        for ask in asks {
            match ask {
                ListRequest::Watch(on) => client.watch(on),
                ListRequest::Renew => {
                    client.reload_settings();
                    client.restart_watch();
                }
                ListRequest::Read => client.read_once(),
            }
        }
        client.watch(false);
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

/// Maps the outcome of a failed query to what it means for the list's lease.
fn query_failure(reply: Reply) -> QueryFailure {
    match reply {
        Reply::Unreachable => QueryFailure::Unreachable,
        Reply::Silent => QueryFailure::Silent,
        Reply::Listed | Reply::TurnedAway | Reply::Broken => QueryFailure::Refused,
    }
}

/// The poll schedule of a sender of this site, and the longest allowed interval between queries.
fn schedule(site: &Site) -> (PollSchedule, Duration) {
    let (term, info) = (duration(site.info.decode().must_ask_in), &site.info);
    (PollSchedule::new(Instant::now(), info.ordinal, info.group_size, term), term)
}

impl DiscoveryClient {
    /// Publishes under the lock on the running watch, so that a replaced watch has either published before or
    /// not at all.
    fn publish(&self, running: &mut WatchState, address: SocketAddr, listing: EndpointList) {
        running.revision = Some((address, listing.revision));
        self.list_sink.publish(Some(listing));
    }

    /// Updates the lease and reports until when the list is valid.
    fn update_lease(&self, note: impl FnOnce(&mut ListLease, Moment)) {
        let mut lease = self.lease.lock().unwrap_or_else(PoisonError::into_inner);
        let now = self.clock.now();
        note(&mut lease, now);
        self.list_sink.publish_lease(&lease, now);
    }

    /// Queries the list once, independently of the watch.
    fn read_once(&self) {
        let asked = Instant::now();
        match self.query(0, None) {
            Ok((address, listing)) => {
                self.publish(&mut self.watch_state(), address, listing);
                self.update_lease(|lease, _| lease.record_answer(self.clock.moment(asked)));
            }
            Err((_, e)) => {
                log!("reading the list failed: {e}");
                self.list_sink.publish(None);
            }
        }
    }

    /// Adopts the settings in force for the lease and the schedule.
    fn reload_settings(&self) {
        let (fresh, term) = schedule(&self.site.get());
        let settings = lease_settings(&self.site.get(), &fresh);
        self.update_lease(|lease, now| {
            lease.update_settings(settings);
            lease.record_source_change(now);
        });
        let mut schedule = self.schedule();
        if !schedule.same_turns_as(&fresh) {
            *schedule = fresh;
        }
        schedule.restart_soon(Instant::now(), term);
    }

    fn schedule(&self) -> std::sync::MutexGuard<'_, PollSchedule> {
        self.schedule.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn watch_state(&self) -> std::sync::MutexGuard<'_, WatchState> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn watch(self: &Arc<DiscoveryClient>, on: bool) {
        let number = self.watch_state().replace();
        if on {
            self.spawn_watch(number);
        }
    }

    /// Starts a new watch with a query for the whole list.
    fn restart_watch(self: &Arc<DiscoveryClient>) {
        let mut running = self.watch_state();
        running.revision = None;
        let number = running.replace();
        drop(running);
        self.spawn_watch(number);
    }

    fn spawn_watch(self: &Arc<DiscoveryClient>, number: u64) {
        let client = Arc::clone(self);
        if threads::spawn("watch", self.limits.stack, move || client.watch_loop(number)).is_err() {
            log!("no thread for the watch on the list");
            self.list_sink.publish(None);
        }
    }

    fn watch_loop(&self, number: u64) {
        // An agent's list applies from the start, so the first query asks for it with a short hold.
        let mut short_hold = !self.site.get().info.decode().must_subscribe;
        loop {
            // While waiting for the next turn, no lock and no connection is held.
            let schedule = self.schedule().clone();
            let (wait, watches) = (schedule.wait(Instant::now()), schedule.watches());
            if !wait.is_zero() {
                if !self.watch_state().mark_idle(number) {
                    return;
                }
                thread::sleep(wait);
                if self.watch_state().number != number {
                    return;
                }
            }
            let since = Instant::now();
            self.schedule().record_query(since);
            // After a failure a short hold confirms the list soon, even if nothing has changed.
            let hold = if short_hold { self.limits.watch_probe } else { self.limits.watch_hold };
            let asked = self.query(number, watches.then_some(hold));
            short_hold = asked.is_err();
            // A watch that was ended or replaced publishes nothing more. The lock keeps it from being
            // replaced while it publishes: its revision would be taken for one of the next watch's discovery.
            let mut running = self.watch_state();
            if !running.mark_idle(number) {
                drop(running);
                // Stopping endpoints are still reported: this sender was told of them, and no discovery
                // revokes that.
                let members = asked.map_or_else(|_| Vec::new(), |(_, listing)| listing.members);
                let drains = |member: &ListedEndpoint| member.condition != Condition::Running;
                return self.list_sink.report_stopping(members.into_iter().filter(drains).collect());
            }
            let reply = asked.as_ref().map_or_else(|(reply, _)| *reply, |_| Reply::Listed);
            self.schedule().record_reply(Instant::now(), reply);
            match asked {
                Ok((address, listing)) => {
                    self.log_list(&listing, since);
                    self.list_sink.counters.list.holds(listing.revision, since);
                    self.publish(&mut running, address, listing);
                    // A watch that ran its full hold time saw no change: it would have been answered earlier.
                    let as_of = if watches && since.elapsed() >= hold { since + hold } else { since };
                    self.update_lease(|lease, _| lease.record_answer(self.clock.moment(as_of)));
                }
                Err((reply, e)) => {
                    drop(running);
                    self.log_failure(reply, &e, since);
                    self.update_lease(|lease, now| lease.record_failure(now, query_failure(reply)));
                    // The query is repeated on its own; the list in force stays.
                    self.list_sink.count_failure();
                    if watches {
                        // Time already spent counts towards the pause: changes made meanwhile count as
                        // published by now.
                        thread::sleep(self.limits.watch_pause.saturating_sub(since.elapsed()));
                    }
                }
            }
        }
    }

    fn log_list(&self, listing: &EndpointList, asked: Instant) {
        log_state!(
            revision = listing.revision, complete = listing.complete, entries = listing.members.len(),
            after_ms = asked.elapsed().as_millis();
            "the list was told"
        );
    }

    /// Logs the failure, the list that stays in force, and when the next query is due.
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

    /// Sends one query and records it in the account: for changes if `hold` is given and a revision is known,
    /// else for the whole list. A failure carries the kind of reply for the schedule.
    fn query(
        &self,
        watch: u64,
        hold: Option<Duration>,
    ) -> Result<(SocketAddr, EndpointList), (Reply, Complaint)> {
        let from = Instant::now();
        let listing = self.send_query(watch, hold);
        let told = listing.as_ref().map_or(-1, |(_, listing)| listing.members.len() as i64);
        log_account!(ms = from.elapsed().as_millis(), told; "asked");
        listing
    }

    /// Sends one query on a connection of its own: responses do not identify their query, and a duplicate of
    /// an earlier one would confirm a list that may have changed since.
    fn send_query(
        &self,
        watch: u64,
        hold: Option<Duration>,
    ) -> Result<(SocketAddr, EndpointList), (Reply, Complaint)> {
        let limits = &*self.limits;
        let address = self.platform.address();
        // A reload changes the address before the watch is told of it.
        let known =
            self.watch_state().revision.filter(|(by, _)| *by == address).map(|(_, revision)| revision);
        let hold = hold.zip(known);
        // A query that is abandoned early still costs discovery its full processing, so it is waited for.
        let time_limit =
            hold.map_or(limits.list_time, |(hold, _)| limits.list_time.max(hold + limits.watch_slack));
        let asked = Instant::now();
        let mut open = connect(address, limits).map_err(|e| match e.kind() {
            ErrorKind::TimedOut => (Reply::Silent, e.to_string()),
            ErrorKind::ConnectionRefused => (Reply::Unreachable, e.to_string()),
            _ => (Reply::Broken, e.to_string()),
        })?;
        if watch > 0 {
            let mut running = self.watch_state();
            if running.number != watch {
                return Err((Reply::Broken, "the watch was replaced".into()));
            }
            running.stream = Some(Arc::clone(open.stream()));
        }
        // Discovery counts the hold time from the request, however long the connection took.
        let by = if hold.is_some() { Instant::now() + time_limit } else { asked + time_limit };
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
            self.list_sink.report_stopping(ListedEndpoint::stopping_in(&body, &self.site.get()));
            (Reply::Broken, e)
        })?;
        Ok((address, listing))
    }

    /// Reads the whole body of a response. Stopping endpoints in the part received so far are reported at
    /// once: they are valid whether or not the rest arrives.
    fn body(&self, open: &mut Link, head: &AnswerHead, by: Instant) -> Result<Vec<u8>, Fault> {
        let mut scanned = 0;
        loop {
            let look = Instant::now() + self.limits.list_look;
            let fault = match open.body(head, self.limits.list, by.min(look)) {
                Ok(body) => return Ok(body),
                Err(fault) => fault,
            };
            let received = open.received();
            if head.status == 200 && received.len() > scanned {
                scanned = received.len();
                self.list_sink.report_stopping(ListedEndpoint::stopping_in(received, &self.site.get()));
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

/// Connects to discovery. A lost SYN is retransmitted only after a second, so a second connection is tried
/// before that.
fn connect(address: SocketAddr, limits: &Limits) -> io::Result<Link> {
    match Link::open(address, limits.connect_list_first) {
        Err(e) if e.kind() == ErrorKind::TimedOut => Link::open(address, limits.connect_list),
        opened => opened,
    }
}

#[cfg(test)]
mod tests;
