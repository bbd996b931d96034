//! Client connections: which ones are admitted, which are evicted for others, and which are rejected on arrival.

use crate::addresses::{Addresses, Network, Prefixes, plain};
use indigomast::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// The number that the caller gives a connection; it is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionNumber(pub u64);

/// The state of a connection. Where there is no room, connections in an earlier state are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// The last response was sent; what the client still sends is read only so that the response reaches it.
    Closing,
    /// No complete request was received yet.
    NoRequest,
    /// Idle, and no text was ever accepted on it.
    IdleNoText,
    Idle,
    /// Part of a further request was received.
    ReadingRequest,
    AwaitingResponse,
}

/// What is known of the first request of an arriving connection; a later variant has priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    Unknown,
    Query,
    Text,
}

/// Why a connection is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// The limit is reached and no open connection has a lower priority.
    Full,
    /// The remaining connections are reserved for known clients.
    Reserved,
    /// Its address, or its prefix, has as many open connections as allowed.
    Address,
    Prefix,
    /// Its address exceeds the rate of new connections.
    Pace,
    /// As many requests of its address as allowed are being read.
    Reading,
    /// Used by the caller: no descriptor is free until evicted connections have closed.
    Descriptors,
}

/// Limits of connections; 0 means unlimited.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub max_connections: usize,
    /// How many of `max_connections` only known clients may use.
    pub reserved_for_known: usize,
    pub max_per_address: usize,
    pub max_per_prefix: usize,
    /// Token bucket of new connections of an address: its rate per second and its burst.
    pub new_per_second: f64,
    pub new_burst: f64,
    /// Connections of one address on which a first request, or a further one, is being read.
    pub max_reading_per_address: usize,
    pub prefixes: Prefixes,
    /// How long a client stays known after a text of it was accepted, and the networks that are always known.
    pub known_for: Span,
    pub always_known: Vec<Network>,
    /// Addresses without open connections that are remembered, for known and unknown clients each.
    pub max_remembered: usize,
    /// A connection whose request made no progress for so long may be evicted.
    pub stalled_after: Span,
    /// A shortage of descriptors evicts no connection that is younger than this and has sent no complete request: its
    /// first request may still be on the way.
    pub first_request_grace: Span,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    Arrived {
        number: ConnectionNumber,
        address: IpAddr,
        priority: Priority,
    },
    StateChanged {
        number: ConnectionNumber,
        state: State,
    },
    /// A text on this connection was accepted: its client is known from now on.
    TextAccepted {
        number: ConnectionNumber,
    },
    Closed {
        number: ConnectionNumber,
    },
    /// No descriptor is free for the next connection, even if `max_connections` is not reached.
    DescriptorShortage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    NoChange,
    /// The connection is admitted; `evicted` has to be closed for it.
    Admitted {
        evicted: Option<ConnectionNumber>,
    },
    Rejected(Reason),
    /// This connection has to be closed.
    Evict(ConnectionNumber),
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    address: IpAddr,
    prefix: Network,
    known: bool,
    state: State,
    since: Moment,
    /// It was evicted for another connection and has not closed yet.
    is_closing: bool,
}

impl Connection {
    fn is_read(&self) -> bool {
        matches!(self.state, State::NoRequest | State::ReadingRequest)
    }
}

/// The eviction order: by state, then by age.
type Rank = (State, Moment, ConnectionNumber);

/// The table of client connections and the records of their addresses. Each event takes time logarithmic in the
/// number of open connections.
#[derive(Debug, Default)]
pub struct Connections {
    settings: Settings,
    open: BTreeMap<ConnectionNumber, Connection>,
    /// Admitted connections in eviction order: all, those of unknown clients, and those of each address.
    ranks: BTreeSet<Rank>,
    unknown_ranks: BTreeSet<Rank>,
    ranks_by_address: BTreeMap<IpAddr, BTreeSet<Rank>>,
    count_by_prefix: BTreeMap<Network, usize>,
    with_texts_count: usize,
    addresses: Addresses,
    rejected: BTreeMap<Reason, u64>,
}

impl Connections {
    pub fn new(settings: Settings) -> Connections {
        Connections { settings, ..Connections::default() }
    }

    /// Applies an event and returns what the caller has to do.
    pub fn step(&mut self, now: Moment, event: Event) -> Decision {
        match event {
            Event::Arrived { number, address, priority } => {
                let answer = self.arrive(now, number, plain(address), priority);
                if let Decision::Rejected(reason) = answer {
                    *self.rejected.entry(reason).or_default() += 1;
                }
                answer
            }
            Event::StateChanged { number, state } => {
                self.change_state(now, number, state);
                Decision::NoChange
            }
            Event::TextAccepted { number } => {
                if let Some(connection) = self.open.get(&number).copied() {
                    self.change_address(now, connection.address, |record| record.valid_at = Some(now));
                    self.move_to(number, |connection| connection.known = true);
                }
                Decision::NoChange
            }
            Event::Closed { number } => {
                self.close(now, number);
                Decision::NoChange
            }
            Event::DescriptorShortage => {
                // The waiting connection's first request is unknown, so connections that are in use are kept.
                let least = self.least(now, Some(&self.unknown_ranks), Priority::Query);
                let least = least.or_else(|| self.least(now, Some(&self.ranks), Priority::Text));
                let Some(least) = least.filter(|least| !self.is_new(now, *least)) else {
                    return Decision::NoChange;
                };
                self.evict(now, least);
                Decision::Evict(least)
            }
        }
    }

    /// Admitted connections, and evicted ones that have not closed yet.
    pub fn open(&self) -> (usize, usize) {
        (self.ranks.len(), self.open.len() - self.ranks.len())
    }

    /// How many connections are idle after a request or await a response.
    pub fn with_texts(&self) -> usize {
        self.with_texts_count
    }

    /// Whether a connection was evicted, or is not in the table.
    pub fn is_evicted(&self, number: ConnectionNumber) -> bool {
        self.open.get(&number).is_none_or(|connection| connection.is_closing)
    }

    /// Connections in this state or an earlier one, such as the idle ones when the sender stops.
    pub fn in_states_up_to(&self, state: State) -> Vec<ConnectionNumber> {
        self.ranks.iter().take_while(|(at, ..)| *at <= state).map(|(.., number)| *number).collect()
    }

    /// Connections open for at least `since` that have sent no complete request.
    pub fn without_request(&self, now: Moment, since: Span) -> Vec<ConnectionNumber> {
        let new = self.ranks.iter().take_while(|(state, ..)| *state <= State::NoRequest);
        new.filter(|(_, at, _)| now.since(*at) >= since).map(|(.., number)| *number).collect()
    }

    /// The number of rejected connections by reason.
    pub fn rejected(&self) -> impl Iterator<Item = (Reason, u64)> {
        self.rejected.iter().map(|(reason, count)| (*reason, *count))
    }

    /// The number of remembered addresses.
    pub fn remembered_addresses(&self) -> usize {
        self.addresses.len()
    }

    pub fn is_known(&self, now: Moment, address: IpAddr) -> bool {
        let address = plain(address);
        self.settings.always_known.iter().any(|network| network.contains(address))
            || self.addresses.is_known(now, address, self.settings.known_for)
    }

    fn change_address<T>(
        &mut self,
        now: Moment,
        address: IpAddr,
        change: impl FnOnce(&mut crate::addresses::Record) -> T,
    ) -> T {
        let Settings { new_burst, max_remembered, .. } = self.settings;
        self.addresses.change(now, address, new_burst.max(1.0), max_remembered, change)
    }

    /// Takes one token for a new connection of an address; false if there is none.
    fn take_connection_token(&mut self, now: Moment, address: IpAddr) -> bool {
        let Settings { new_per_second, new_burst, .. } = self.settings;
        if new_per_second <= 0.0 {
            return true;
        }
        self.change_address(now, address, |record| {
            let refilled = record.tokens + now.since(record.counted).as_secs() * new_per_second;
            record.tokens = refilled.min(new_burst.max(1.0));
            record.counted = now;
            let allowed = record.tokens >= 1.0;
            if allowed {
                record.tokens -= 1.0;
            }
            allowed
        })
    }

    /// Whether a connection is so young that its first request may still be on the way.
    fn is_new(&self, now: Moment, number: ConnectionNumber) -> bool {
        let connection = self.open.get(&number);
        connection.is_some_and(|at| {
            at.state == State::NoRequest && now.since(at.since) < self.settings.first_request_grace
        })
    }

    /// The first of `ranks` in eviction order, if it may be evicted for a connection of this priority.
    fn least(
        &self,
        now: Moment,
        ranks: Option<&BTreeSet<Rank>>,
        priority: Priority,
    ) -> Option<ConnectionNumber> {
        let may_be_evicted = |(state, since, _): &&Rank| match state {
            State::Closing | State::NoRequest => priority >= Priority::Query,
            State::IdleNoText | State::Idle => priority == Priority::Text,
            State::ReadingRequest => {
                priority == Priority::Text && now.since(*since) >= self.settings.stalled_after
            }
            State::AwaitingResponse => false,
        };
        // The set is in eviction order: if the first can't be evicted, none behind it can.
        ranks?.iter().next().filter(may_be_evicted).map(|(.., number)| *number)
    }

    fn arrive(
        &mut self,
        now: Moment,
        number: ConnectionNumber,
        address: IpAddr,
        priority: Priority,
    ) -> Decision {
        let known = self.is_known(now, address);
        // A connection that was in the accept queue has been counted already.
        if priority == Priority::Unknown && !self.take_connection_token(now, address) {
            return Decision::Rejected(Reason::Pace);
        }
        let Settings {
            max_connections,
            reserved_for_known,
            max_per_address,
            max_per_prefix,
            max_reading_per_address,
            prefixes,
            ..
        } = self.settings;
        let prefix = Network::of(address, prefixes);
        let record = self.addresses.get(address);
        let (open, read) = record.map_or((0, 0), |record| (record.open, record.reading));
        let mut evicted = None;
        // Abusive and legitimate clients may share one address: the new connection then replaces the first one in
        // eviction order of that address, and silent connections go before those in use.
        if (max_per_address > 0 && open >= max_per_address)
            || (max_reading_per_address > 0 && read >= max_reading_per_address)
        {
            let own = self.ranks_by_address.get(&address);
            let silent = self.least(now, own, priority.max(Priority::Query));
            let silent = silent.filter(|_| priority > Priority::Unknown || known);
            match silent {
                Some(least) => evicted = Some(least),
                None if max_per_address > 0 && open >= max_per_address => {
                    return Decision::Rejected(Reason::Address);
                }
                None => return Decision::Rejected(Reason::Reading),
            }
        }
        let in_prefix = self.count_by_prefix.get(&prefix).copied().unwrap_or(0);
        if max_per_prefix > 0 && in_prefix >= max_per_prefix && evicted.is_none() && !known {
            return Decision::Rejected(Reason::Prefix);
        }
        if evicted.is_none() {
            let held = self.ranks.len();
            let strange = self.unknown_ranks.len();
            let room = if known {
                held < max_connections
            } else {
                strange < max_connections.saturating_sub(reserved_for_known) && held < max_connections
            };
            if !room {
                // A known client replaces a connection of an unknown client first, then any connection.
                let stranger = self.least(
                    now,
                    Some(&self.unknown_ranks),
                    if known { priority.max(Priority::Query) } else { priority },
                );
                let any = if known { self.least(now, Some(&self.ranks), priority) } else { None };
                match stranger.or(any) {
                    Some(least) => evicted = Some(least),
                    None if held < max_connections => return Decision::Rejected(Reason::Reserved),
                    None => return Decision::Rejected(Reason::Full),
                }
            }
        }
        if let Some(least) = evicted {
            self.evict(now, least);
        }
        let connection =
            Connection { address, prefix, known, state: State::NoRequest, since: now, is_closing: false };
        self.open.insert(number, connection);
        self.change_address(now, address, |record| {
            record.open += 1;
            record.reading += 1;
        });
        *self.count_by_prefix.entry(prefix).or_default() += 1;
        self.rank(number);
        Decision::Admitted { evicted }
    }

    fn rank(&mut self, number: ConnectionNumber) {
        let Some(at) = self.open.get(&number).filter(|at| !at.is_closing) else { return };
        let rank = (at.state, at.since, number);
        self.ranks.insert(rank);
        self.ranks_by_address.entry(at.address).or_default().insert(rank);
        if !at.known {
            self.unknown_ranks.insert(rank);
        }
        self.with_texts_count += usize::from(matches!(at.state, State::Idle | State::AwaitingResponse));
    }

    fn unrank(&mut self, number: ConnectionNumber) {
        let Some(at) = self.open.get(&number).filter(|at| !at.is_closing) else { return };
        let rank = (at.state, at.since, number);
        self.ranks.remove(&rank);
        self.unknown_ranks.remove(&rank);
        if let Some(own) = self.ranks_by_address.get_mut(&at.address) {
            own.remove(&rank);
            if own.is_empty() {
                self.ranks_by_address.remove(&at.address);
            }
        }
        self.with_texts_count -= usize::from(matches!(at.state, State::Idle | State::AwaitingResponse));
    }

    fn move_to(&mut self, number: ConnectionNumber, change: impl FnOnce(&mut Connection)) {
        self.unrank(number);
        if let Some(connection) = self.open.get_mut(&number) {
            change(connection);
        }
        self.rank(number);
    }

    fn change_state(&mut self, now: Moment, number: ConnectionNumber, state: State) {
        let Some(at) = self.open.get(&number).copied() else { return };
        // Before its first request is complete, a connection stays in `NoRequest`.
        if at.state == state || (at.state == State::NoRequest && state == State::ReadingRequest) {
            return;
        }
        self.move_to(number, |connection| (connection.state, connection.since) = (state, now));
        let (was, is) = (at.is_read(), matches!(state, State::NoRequest | State::ReadingRequest));
        if was != is {
            self.change_address(now, at.address, |record| {
                record.reading = if is { record.reading + 1 } else { record.reading.saturating_sub(1) };
            });
        }
    }

    /// Evicts a connection; it no longer counts for any limit, though it has not closed yet.
    fn evict(&mut self, now: Moment, number: ConnectionNumber) {
        self.unrank(number);
        let Some(at) = self.open.get_mut(&number) else { return };
        if std::mem::replace(&mut at.is_closing, true) {
            return;
        }
        let at = *at;
        self.release_counts(now, at);
    }

    fn release_counts(&mut self, now: Moment, at: Connection) {
        self.change_address(now, at.address, |record| {
            record.open = record.open.saturating_sub(1);
            record.reading = record.reading.saturating_sub(usize::from(at.is_read()));
        });
        if let Some(count) = self.count_by_prefix.get_mut(&at.prefix) {
            *count -= 1;
            if *count == 0 {
                self.count_by_prefix.remove(&at.prefix);
            }
        }
    }

    fn close(&mut self, now: Moment, number: ConnectionNumber) {
        self.unrank(number);
        let Some(at) = self.open.remove(&number) else { return };
        if !at.is_closing {
            self.release_counts(now, at);
        }
    }
}
