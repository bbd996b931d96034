//! Places for clients' connections: who gets one, who makes room for whom, and who is turned away on arrival.

use crate::addresses::{Addresses, Network, Prefixes, plain};
use indigomast::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// The carrier's number of a connection; one is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Number(pub u64);

/// What a connection is about. Where there is no room those named first go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// It has its last answer; only what it still sends is read, so that the answer reaches it.
    Parting,
    /// It has never sent a whole request.
    Unproven,
    /// It rests, and has never handed in a text.
    Curious,
    Resting,
    /// Part of a request is there.
    Asking,
    Answered,
}

/// What is known of a connection that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Worth {
    Unknown,
    Question,
    Text,
}

/// Why a connection is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No place, and none that holds one is worth less.
    Full,
    /// What is left is kept for clients that are known.
    Reserved,
    /// Its address, or its prefix, holds all that one may.
    Address,
    Prefix,
    /// Its address opens connections faster than one may.
    Pace,
    /// So many requests of its address are being read already.
    Reading,
    /// Told by the carrier: those that make room have not ended yet, and no descriptor is free before they do.
    Descriptors,
}

/// Every limit of connections. What is 0 doesn't bind.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub places: usize,
    /// Of the places, those that only known clients may have.
    pub reserve: usize,
    pub per_address: usize,
    pub per_prefix: usize,
    /// New connections that an address may open in a second, and at once.
    pub new_a_second: f64,
    pub new_at_once: f64,
    /// Connections of one address on which a first request, or a further one, is being read.
    pub reading: usize,
    pub prefixes: Prefixes,
    /// How long a client stays known after a text of it was taken on, and those that always are.
    pub known_for: Span,
    pub named: Vec<Network>,
    /// Addresses remembered of each sort beside those with open connections.
    pub addresses: usize,
    /// Where there is no room, one goes whose request came to a halt for so long.
    pub pause: Span,
    /// For want of a descriptor, no connection goes that came less long ago and has sent nothing whole: its first request
    /// may be on the way.
    pub grace: Span,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    Comes {
        number: Number,
        address: IpAddr,
        worth: Worth,
    },
    Enters {
        number: Number,
        state: State,
    },
    /// A text on this connection was taken on: its client is known from now on.
    HandedIn {
        number: Number,
    },
    Ended {
        number: Number,
    },
    /// There is no descriptor for the next, whatever places there are.
    Shortage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Nothing,
    /// It has a place; the other one has to go for it.
    Seated {
        instead_of: Option<Number>,
    },
    TurnedAway(Reason),
    /// This one has to go.
    Leaves(Number),
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    address: IpAddr,
    prefix: Network,
    known: bool,
    state: State,
    since: Moment,
    /// It was told to go and makes room for another; its end is still to come.
    leaving: bool,
}

impl Connection {
    fn is_read(&self) -> bool {
        matches!(self.state, State::Unproven | State::Asking)
    }
}

/// By worth, then by age: the first is the first to go.
type Rank = (State, Moment, Number);

/// The places for clients and what is remembered of their addresses. Each event costs the logarithm of what is open.
#[derive(Debug, Default)]
pub struct Connections {
    settings: Settings,
    open: BTreeMap<Number, Connection>,
    /// Those that hold a place, by who goes first; of strangers alone, and of each address.
    ranks: BTreeSet<Rank>,
    strangers: BTreeSet<Rank>,
    of_address: BTreeMap<IpAddr, BTreeSet<Rank>>,
    of_prefix: BTreeMap<Network, usize>,
    handed_in: usize,
    addresses: Addresses,
    turned_away: BTreeMap<Reason, u64>,
}

impl Connections {
    pub fn new(settings: Settings) -> Connections {
        Connections { settings, ..Connections::default() }
    }

    /// Takes what happened and says who gets a place.
    pub fn step(&mut self, now: Moment, event: Event) -> Answer {
        match event {
            Event::Comes { number, address, worth } => {
                let answer = self.comes(now, number, plain(address), worth);
                if let Answer::TurnedAway(reason) = answer {
                    *self.turned_away.entry(reason).or_default() += 1;
                }
                answer
            }
            Event::Enters { number, state } => {
                self.enters(now, number, state);
                Answer::Nothing
            }
            Event::HandedIn { number } => {
                if let Some(connection) = self.open.get(&number).copied() {
                    self.change_address(now, connection.address, |record| record.valid_at = Some(now));
                    self.move_to(number, |connection| connection.known = true);
                }
                Answer::Nothing
            }
            Event::Ended { number } => {
                self.ended(now, number);
                Answer::Nothing
            }
            Event::Shortage => {
                // Nobody knows yet who waits outside, so those that work keep theirs.
                let least = self.least(now, Some(&self.strangers), Worth::Question);
                let least = least.or_else(|| self.least(now, Some(&self.ranks), Worth::Text));
                let Some(least) = least.filter(|least| !self.is_new(now, *least)) else {
                    return Answer::Nothing;
                };
                self.leaves(now, least);
                Answer::Leaves(least)
            }
        }
    }

    /// Connections that hold a place, and those told to go whose end is still to come.
    pub fn open(&self) -> (usize, usize) {
        (self.ranks.len(), self.open.len() - self.ranks.len())
    }

    /// How many have handed in a text, rest or wait for their answer.
    pub fn busy(&self) -> usize {
        self.handed_in
    }

    /// Whether it was told to go, or is unknown.
    pub fn is_leaving(&self, number: Number) -> bool {
        self.open.get(&number).is_none_or(|connection| connection.leaving)
    }

    /// Connections up to a state, as those at rest when the sender stops.
    pub fn up_to(&self, state: State) -> Vec<Number> {
        self.ranks.iter().take_while(|(at, ..)| *at <= state).map(|(.., number)| *number).collect()
    }

    /// Those that came so long ago and have sent nothing whole.
    pub fn silent(&self, now: Moment, since: Span) -> Vec<Number> {
        let new = self.ranks.iter().take_while(|(state, ..)| *state <= State::Unproven);
        new.filter(|(_, at, _)| now.since(*at) >= since).map(|(.., number)| *number).collect()
    }

    /// How many were turned away, by reason.
    pub fn turned_away(&self) -> impl Iterator<Item = (Reason, u64)> {
        self.turned_away.iter().map(|(reason, count)| (*reason, *count))
    }

    /// Addresses that are remembered.
    pub fn remembered(&self) -> usize {
        self.addresses.len()
    }

    pub fn is_known(&self, now: Moment, address: IpAddr) -> bool {
        let address = plain(address);
        self.settings.named.iter().any(|network| network.contains(address))
            || self.addresses.is_known(now, address, self.settings.known_for)
    }

    fn change_address<T>(
        &mut self,
        now: Moment,
        address: IpAddr,
        change: impl FnOnce(&mut crate::addresses::Record) -> T,
    ) -> T {
        let Settings { new_at_once, addresses, .. } = self.settings;
        self.addresses.change(now, address, new_at_once.max(1.0), addresses, change)
    }

    /// Takes one of the connections that an address may open just now.
    fn keeps_pace(&mut self, now: Moment, address: IpAddr) -> bool {
        let Settings { new_a_second, new_at_once, .. } = self.settings;
        if new_a_second <= 0.0 {
            return true;
        }
        self.change_address(now, address, |record| {
            let grown = record.tokens + now.since(record.counted).as_secs() * new_a_second;
            record.tokens = grown.min(new_at_once.max(1.0));
            record.counted = now;
            let fine = record.tokens >= 1.0;
            if fine {
                record.tokens -= 1.0;
            }
            fine
        })
    }

    /// Whether it came so lately that its first request may still be on the way.
    fn is_new(&self, now: Moment, number: Number) -> bool {
        let connection = self.open.get(&number);
        connection.is_some_and(|at| at.state == State::Unproven && now.since(at.since) < self.settings.grace)
    }

    /// The one that goes first among some, if it is worth less than who comes.
    fn least(&self, now: Moment, ranks: Option<&BTreeSet<Rank>>, worth: Worth) -> Option<Number> {
        let yields = |(state, since, _): &&Rank| match state {
            State::Parting | State::Unproven => worth >= Worth::Question,
            State::Curious | State::Resting => worth == Worth::Text,
            State::Asking => worth == Worth::Text && now.since(*since) >= self.settings.pause,
            State::Answered => false,
        };
        // In the order of worth: if the first of a state does not yield, an older one of it does not either.
        ranks?.iter().next().filter(yields).map(|(.., number)| *number)
    }

    fn comes(&mut self, now: Moment, number: Number, address: IpAddr, worth: Worth) -> Answer {
        let known = self.is_known(now, address);
        // A connection that was in the accept queue has been counted already.
        if worth == Worth::Unknown && !self.keeps_pace(now, address) {
            return Answer::TurnedAway(Reason::Pace);
        }
        let Settings { places, reserve, per_address, per_prefix, reading, prefixes, .. } = self.settings;
        let prefix = Network::of(address, prefixes);
        let record = self.addresses.get(address);
        let (open, read) = record.map_or((0, 0), |record| (record.open, record.reading));
        let mut instead_of = None;
        // Behind one address there may be an offender beside known tills: who comes then takes the place of the least
        // among its own, and what says nothing goes before what works.
        if (per_address > 0 && open >= per_address) || (reading > 0 && read >= reading) {
            let own = self.of_address.get(&address);
            let silent = self.least(now, own, worth.max(Worth::Question));
            let silent = silent.filter(|_| worth > Worth::Unknown || known);
            match silent {
                Some(least) => instead_of = Some(least),
                None if per_address > 0 && open >= per_address => return Answer::TurnedAway(Reason::Address),
                None => return Answer::TurnedAway(Reason::Reading),
            }
        }
        let neighbours = self.of_prefix.get(&prefix).copied().unwrap_or(0);
        if per_prefix > 0 && neighbours >= per_prefix && instead_of.is_none() && !known {
            return Answer::TurnedAway(Reason::Prefix);
        }
        if instead_of.is_none() {
            let held = self.ranks.len();
            let strange = self.strangers.len();
            let room =
                if known { held < places } else { strange < places.saturating_sub(reserve) && held < places };
            if !room {
                // A known client takes the place of the least stranger first, then of the least of all.
                let stranger = self.least(
                    now,
                    Some(&self.strangers),
                    if known { worth.max(Worth::Question) } else { worth },
                );
                let any = if known { self.least(now, Some(&self.ranks), worth) } else { None };
                match stranger.or(any) {
                    Some(least) => instead_of = Some(least),
                    None if held < places => return Answer::TurnedAway(Reason::Reserved),
                    None => return Answer::TurnedAway(Reason::Full),
                }
            }
        }
        if let Some(least) = instead_of {
            self.leaves(now, least);
        }
        let connection =
            Connection { address, prefix, known, state: State::Unproven, since: now, leaving: false };
        self.open.insert(number, connection);
        self.change_address(now, address, |record| {
            record.open += 1;
            record.reading += 1;
        });
        *self.of_prefix.entry(prefix).or_default() += 1;
        self.rank(number);
        Answer::Seated { instead_of }
    }

    fn rank(&mut self, number: Number) {
        let Some(at) = self.open.get(&number).filter(|at| !at.leaving) else { return };
        let rank = (at.state, at.since, number);
        self.ranks.insert(rank);
        self.of_address.entry(at.address).or_default().insert(rank);
        if !at.known {
            self.strangers.insert(rank);
        }
        self.handed_in += usize::from(matches!(at.state, State::Resting | State::Answered));
    }

    fn unrank(&mut self, number: Number) {
        let Some(at) = self.open.get(&number).filter(|at| !at.leaving) else { return };
        let rank = (at.state, at.since, number);
        self.ranks.remove(&rank);
        self.strangers.remove(&rank);
        if let Some(own) = self.of_address.get_mut(&at.address) {
            own.remove(&rank);
            if own.is_empty() {
                self.of_address.remove(&at.address);
            }
        }
        self.handed_in -= usize::from(matches!(at.state, State::Resting | State::Answered));
    }

    fn move_to(&mut self, number: Number, change: impl FnOnce(&mut Connection)) {
        self.unrank(number);
        if let Some(connection) = self.open.get_mut(&number) {
            change(connection);
        }
        self.rank(number);
    }

    fn enters(&mut self, now: Moment, number: Number, state: State) {
        let Some(at) = self.open.get(&number).copied() else { return };
        // Until its first request is whole a connection has shown nothing.
        if at.state == state || (at.state == State::Unproven && state == State::Asking) {
            return;
        }
        self.move_to(number, |connection| (connection.state, connection.since) = (state, now));
        let (was, is) = (at.is_read(), matches!(state, State::Unproven | State::Asking));
        if was != is {
            self.change_address(now, at.address, |record| {
                record.reading = if is { record.reading + 1 } else { record.reading.saturating_sub(1) };
            });
        }
    }

    /// It makes room: its place and what its address and prefix hold are free from now on.
    fn leaves(&mut self, now: Moment, number: Number) {
        self.unrank(number);
        let Some(at) = self.open.get_mut(&number) else { return };
        if std::mem::replace(&mut at.leaving, true) {
            return;
        }
        let at = *at;
        self.give_back(now, at);
    }

    fn give_back(&mut self, now: Moment, at: Connection) {
        self.change_address(now, at.address, |record| {
            record.open = record.open.saturating_sub(1);
            record.reading = record.reading.saturating_sub(usize::from(at.is_read()));
        });
        if let Some(count) = self.of_prefix.get_mut(&at.prefix) {
            *count -= 1;
            if *count == 0 {
                self.of_prefix.remove(&at.prefix);
            }
        }
    }

    fn ended(&mut self, now: Moment, number: Number) {
        self.unrank(number);
        let Some(at) = self.open.remove(&number) else { return };
        if !at.leaving {
            self.give_back(now, at);
        }
    }
}
