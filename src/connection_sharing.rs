//! Which calls may share a connection, and what an answer on a shared connection proves.
//!
//! HTTP/1.1 gives answers to calls by their order on the connection and by nothing else. Where one answer too many is written,
//! a second copy or one that nobody asked for, each later call on that connection would be given the answer of another. So a
//! connection carries one call, unless answers name the messages that they speak of, as those to calls of several messages
//! do. On a connection that has carried another call an answer is believed only if it names messages of the call that is out.
//!
//! An answer that names none, as a refusal does, may then be a stray one. The call may be running all the same: only messages
//! that bear such doubt travel on shared connections.

use crate::api::Repeat;
use crate::time::Span;
use std::collections::BTreeSet;

/// Messages of all calls that a connection carries: their ids are kept until it ends.
const MOST_MESSAGES: usize = 64;

/// A receiver that remembers a message for less may have forgotten it before a refused call was made again.
const LEAST_MEMORY: Span = Span::millis(5_000);

/// Whether a message may travel where a refusal leaves it in doubt: it can be repeated, and is remembered by its receiver for long
/// enough to be tried again.
pub fn may_share_connection(repeat: Repeat) -> bool {
    match repeat {
        Repeat::Resendable => true,
        Repeat::Referenced { memory, one_zone } => !one_zone && memory >= LEAST_MEMORY,
        Repeat::OnceOnly => false,
    }
}

/// What an answer has to do with the call that is out on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    /// It names messages of the call.
    Named,
    /// Nothing else was asked on the connection.
    OnlyCall,
    /// It names messages of earlier calls and none of this one: the call's own answer is still to come.
    Stray,
    /// It names no message that was ever asked for here: it may be the call's, or a stray one.
    Unknown,
}

impl Attribution {
    /// Whether what the answer says holds for the call.
    pub fn is_certain(self) -> bool {
        matches!(self, Attribution::Named | Attribution::OnlyCall)
    }
}

/// What one connection has carried so far.
#[derive(Debug, Default)]
pub struct ConnectionHistory {
    calls: usize,
    /// Ids of the messages of the calls before the one that is out.
    earlier: BTreeSet<String>,
    /// Ids of those of the call that is out, or was out last.
    current: Vec<String>,
}

impl ConnectionHistory {
    /// Whether a call of these messages may go on this connection. A message travels on it once: an answer that names it could
    /// be a second copy of the one before.
    pub fn may_carry<'a>(&self, mut messages: impl Iterator<Item = &'a str>) -> bool {
        let carried = |id: &str| self.earlier.contains(id) || self.current.iter().any(|other| other == id);
        self.calls == 0 || (self.earlier.len() + self.current.len() < MOST_MESSAGES && !messages.any(carried))
    }

    /// A call of these messages goes out on it.
    pub fn begin_call<'a>(&mut self, messages: impl Iterator<Item = &'a str>) {
        self.calls += 1;
        self.earlier.extend(self.current.drain(..));
        self.current.extend(messages.map(str::to_owned));
    }

    /// What an answer proves that names these messages.
    pub fn attribute_answer<'a>(&self, mut named: impl Iterator<Item = &'a str> + Clone) -> Attribution {
        if named.clone().any(|id| self.current.iter().any(|own| own == id)) {
            Attribution::Named
        } else if self.calls <= 1 {
            Attribution::OnlyCall
        } else if named.any(|id| self.earlier.contains(id)) {
            Attribution::Stray
        } else {
            Attribution::Unknown
        }
    }
}
