//! Where connections wait that find all places taken: one thread without a place for each looks what they ask for.
//!
//! A client that hands in a text gets the place of one that is worth less; whoever only asks, or says nothing, gets
//! no such place and costs no thread. A crowd that comes back whenever it is closed would else push itself out
//! for ever, and that takes all of the processor.

use crate::intake::{Intake, PendingConnection, say_last};
use crate::reactor::{Come, peek};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use indigomast_admission::Priority;
use std::collections::VecDeque;
use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// What the first bytes on a connection say.
enum First {
    Nothing,
    Text,
    Question,
    Ended,
}

fn first(stream: &TcpStream) -> First {
    let mut bytes = [0; 4];
    match peek(stream, &mut bytes) {
        Ok(0) => First::Ended,
        Ok(count) if b"POST".starts_with(&bytes[..count]) => First::Text,
        Ok(_) => First::Question,
        Err(e) if e.kind() == ErrorKind::WouldBlock => First::Nothing,
        Err(_) => First::Ended,
    }
}

pub struct AcceptQueue {
    pub intake: Arc<Intake>,
    /// Those that have said nothing yet, and those that were told to come again, each since when.
    waiting: VecDeque<(Instant, PendingConnection)>,
    told: VecDeque<(Instant, PendingConnection)>,
    looked: Instant,
}

impl AcceptQueue {
    pub fn new(intake: Arc<Intake>) -> AcceptQueue {
        AcceptQueue { intake, waiting: VecDeque::new(), told: VecDeque::new(), looked: Instant::now() }
    }

    pub fn run(mut self, arriving: &Receiver<PendingConnection>) {
        loop {
            let idle = self.waiting.is_empty() && self.told.is_empty();
            let pending = match idle {
                true => arriving.recv().map_err(|_| RecvTimeoutError::Disconnected),
                false => arriving.recv_timeout(self.intake.limits.accept_queue_beat),
            };
            match pending {
                Ok(pending) => self.look((Instant::now(), pending)),
                Err(RecvTimeoutError::Disconnected) => return,
                Err(RecvTimeoutError::Timeout) => {}
            }
            // Once a beat, not with each that comes: a storm would have all of them looked at for every one.
            if self.looked.elapsed() >= self.intake.limits.accept_queue_beat {
                self.looked = Instant::now();
                let waiting = std::mem::take(&mut self.waiting);
                waiting.into_iter().for_each(|pending| self.look(pending));
            }
            let limits = Arc::clone(&self.intake.limits);
            while self.told.front().is_some_and(|(since, _)| since.elapsed() >= limits.linger) {
                let (_, pending) = self.told.pop_front().expect("looked at");
                // What is left unread would turn the end into a reset; of a client that never stops it does.
                let mut rest = [0; 8192];
                let mut read = || Come(&pending.stream).read(&mut rest).ok().filter(|count| *count > 0);
                _ = (0..8).try_for_each(|_| read().map(drop));
            }
            // Those that were told have had some time; of those that say nothing the first came long ago.
            while self.waiting.len() + self.told.len() + 2 > limits.accept_queue {
                if self.told.pop_front().is_none() && !self.looks_again() {
                    self.intake.counters.unheard.add(1);
                }
            }
        }
    }

    /// Looks at the one that goes first, of an address that holds all it may or else the one that waits longest, and
    /// ends it unless it says something after all: in a burst nobody is looked at again before there is no more room.
    fn looks_again(&mut self) -> bool {
        let least = self.waiting.iter().position(|(_, pending)| pending.over).unwrap_or(0);
        let Some(pending) = self.waiting.remove(least) else { return true };
        let left = self.waiting.len();
        self.look(pending);
        let heard = self.waiting.len() == left;
        self.waiting.truncate(left);
        heard
    }

    fn look(&mut self, (since, pending): (Instant, PendingConnection)) {
        let limits = Arc::clone(&self.intake.limits);
        let priority = match first(&pending.stream) {
            First::Nothing if since.elapsed() < limits.request_time => {
                return self.waiting.push_back((since, pending));
            }
            First::Nothing | First::Ended => return,
            First::Text => Priority::Text,
            First::Question => Priority::Query,
        };
        let Some(pending) = self.intake.seat(pending, priority) else { return };
        self.intake.counters.turned_away.add(1);
        if say_last(&pending.stream, 503) {
            self.told.push_back((Instant::now(), pending));
        }
    }
}
