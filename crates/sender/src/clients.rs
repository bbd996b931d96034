//! The connections of clients that are open. Who gets a place and who makes room is decided by [`indigomast_admission`]; this only
//! ends those that were told to go.

use crate::clock::Clock;
use crate::limits::Limits;
use indigomast::time::Span;
use indigomast_admission::{
    ConnectionNumber, Connections, Decision, Event, Priority, Reason, Settings, State,
};
use std::collections::BTreeMap;
use std::net::{IpAddr, Shutdown, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The table of open connections, shared by all threads of the intake.
pub struct Clients {
    next: AtomicU64,
    clock: Clock,
    seats: Mutex<Seats>,
}

struct Seats {
    connections: Connections,
    /// Each with whether it was ended by this sender, for reading: what is read from then on is not sent on.
    streams: BTreeMap<ConnectionNumber, (Arc<TcpStream>, bool)>,
}

impl Seats {
    fn shut(&mut self, number: ConnectionNumber) {
        if let Some((stream, shut)) = self.streams.get_mut(&number) {
            *shut = true;
            _ = stream.shutdown(Shutdown::Read);
        }
    }
}

impl Clients {
    pub fn new(clock: Clock, settings: Settings) -> Clients {
        let connections = Connections::new(settings);
        let seats = Mutex::new(Seats { connections, streams: BTreeMap::new() });
        Clients { next: AtomicU64::new(0), clock, seats }
    }

    fn lock(&self) -> MutexGuard<'_, Seats> {
        self.seats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn tell(&self, event: Event) {
        self.lock().connections.step(self.clock.now(), event);
    }

    pub fn enters(&self, number: ConnectionNumber, state: State) {
        self.tell(Event::StateChanged { number, state });
    }

    /// A number for one more connection, or why there is no place for it.
    pub fn admit(
        &self,
        stream: &Arc<TcpStream>,
        address: IpAddr,
        priority: Priority,
    ) -> Result<ConnectionNumber, Reason> {
        let number = ConnectionNumber(self.next.fetch_add(1, Ordering::Relaxed));
        let now = self.clock.now();
        let mut seats = self.lock();
        match seats.connections.step(now, Event::Arrived { number, address, priority }) {
            Decision::Admitted { evicted } => {
                evicted.into_iter().for_each(|gone| seats.shut(gone));
                seats.streams.insert(number, (Arc::clone(stream), false));
                Ok(number)
            }
            Decision::Rejected(reason) => Err(reason),
            Decision::NoChange | Decision::Evict(_) => Err(Reason::Full),
        }
    }

    /// Ends the one that is worth least: there is no descriptor for the next.
    pub fn make_room(&self) {
        let now = self.clock.now();
        let mut seats = self.lock();
        if let Decision::Evict(number) = seats.connections.step(now, Event::DescriptorShortage) {
            seats.shut(number);
        }
    }

    pub fn ended(&self, number: ConnectionNumber) {
        let now = self.clock.now();
        let mut seats = self.lock();
        seats.connections.step(now, Event::Closed { number });
        seats.streams.remove(&number);
    }

    /// Whether clients hold so many connections that some may soon find none. Those who only ask or are silent
    /// hold none that these could have.
    pub fn crowd(&self, limits: &Limits) -> bool {
        self.lock().connections.with_texts() >= limits.crowd
    }

    /// Ends the connections at rest; clients find other senders. Not those that have never asked: they may be about to, and
    /// can't know that nobody would look at it.
    pub fn shut_rested(&self) {
        let mut seats = self.lock();
        let new = seats.connections.in_states_up_to(State::NoRequest).len();
        // In the order of their states.
        let rested = seats.connections.in_states_up_to(State::Idle).into_iter().skip(new);
        rested.for_each(|number| seats.shut(number));
    }

    /// Ends those that came so long ago and have said nothing.
    pub fn shut_silent(&self, since: Span) {
        let now = self.clock.now();
        let mut seats = self.lock();
        let silent = seats.connections.without_request(now, since);
        silent.into_iter().for_each(|number| seats.shut(number));
    }

    /// Takes up what has come on a connection, unless it was shut before.
    pub fn takes_up(&self, number: ConnectionNumber) -> bool {
        let now = self.clock.now();
        let mut seats = self.lock();
        let open = seats.streams.get(&number).is_some_and(|(_, shut)| !shut);
        if open {
            seats.connections.step(now, Event::StateChanged { number, state: State::ReadingRequest });
        }
        open
    }

    /// Connections that have a place.
    pub fn open(&self) -> usize {
        self.lock().streams.len()
    }

    pub fn is_shut(&self, number: ConnectionNumber) -> bool {
        self.lock().streams.get(&number).is_none_or(|(_, shut)| *shut)
    }

    /// Connections turned away so far, by reason.
    pub fn turned_away(&self) -> Vec<(Reason, u64)> {
        self.lock().connections.rejected().collect()
    }
}
