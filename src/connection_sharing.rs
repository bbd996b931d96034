//! Decides which calls may share a connection, and to which call an answer on a shared connection belongs.
//!
//! HTTP/1.1 matches answers to calls only by their order on the connection. If a receiver writes one answer
//! too many, a duplicate or an unsolicited one, each later call on that connection would get the answer of
//! another call. A connection therefore carries a single call, unless answers name the messages they report
//! on, as answers to calls of several messages do. On a connection that has carried another call, an answer
//! is accepted only if it names messages of the call in flight.
//!
//! An answer that names no message, such as a refusal, may be a stray one on such a connection, and the call
//! may be running nevertheless. So only messages that can be repeated after such an ambiguous refusal use
//! shared connections.

use crate::api::Repeat;
use crate::time::Span;
use std::collections::BTreeSet;

/// Maximum number of messages over all calls of one connection; bounds the ids kept until the connection
/// closes.
const MAX_MESSAGES: usize = 64;

/// Minimum time for which a receiver has to remember a message: with less it may have forgotten the message
/// before a refused call is retried.
const MIN_MEMORY: Span = Span::millis(5_000);

/// Returns whether a message may be sent on a shared connection, where a refusal does not prove that it never
/// ran: it has to be safe to repeat, or its receiver has to remember it for long enough to recognize a retry.
pub fn may_share_connection(repeat: Repeat) -> bool {
    match repeat {
        Repeat::Resendable => true,
        Repeat::Referenced { memory, one_zone } => !one_zone && memory >= MIN_MEMORY,
        Repeat::OnceOnly => false,
    }
}

/// How an answer relates to the call in flight on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attribution {
    /// The answer names messages of the call.
    Named,
    /// The connection has carried no other call.
    OnlyCall,
    /// The answer names messages of earlier calls and none of this one; the call's own answer is still
    /// outstanding.
    Stray,
    /// The answer names no message that was sent on this connection; it may belong to the call or be a stray
    /// one.
    Unknown,
}

impl Attribution {
    /// Returns whether the answer is known to belong to the call.
    pub fn is_certain(self) -> bool {
        matches!(self, Attribution::Named | Attribution::OnlyCall)
    }
}

/// The calls that one connection has carried so far.
#[derive(Debug, Default)]
pub struct ConnectionHistory {
    calls: usize,
    /// Ids of the messages of all calls before the current one.
    earlier: BTreeSet<String>,
    /// Ids of the messages of the call in flight, or of the last one.
    current: Vec<String>,
}

impl ConnectionHistory {
    /// Returns whether a call of these messages may use this connection. A connection carries each message at
    /// most once, as an answer that names a repeated message could be a duplicate of the earlier answer.
    pub fn may_carry<'a>(&self, mut messages: impl Iterator<Item = &'a str>) -> bool {
        let carried = |id: &str| self.earlier.contains(id) || self.current.iter().any(|other| other == id);
        self.calls == 0 || (self.earlier.len() + self.current.len() < MAX_MESSAGES && !messages.any(carried))
    }

    /// Records that a call of these messages is sent.
    pub fn begin_call<'a>(&mut self, messages: impl Iterator<Item = &'a str>) {
        self.calls += 1;
        self.earlier.extend(self.current.drain(..));
        self.current.extend(messages.map(str::to_owned));
    }

    /// Returns how an answer that names these messages relates to the call in flight.
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
