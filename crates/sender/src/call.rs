//! A call on its way to an endpoint, and the one outcome that each of its texts gets.

use crate::answer::Answered;
use crate::peer::Trunk;
use indigomast::api::{EndpointId, TextId, Verdict};
use std::fmt;
use std::sync::Arc;
use std::time::Instant;

/// One text of a call.
pub struct Part {
    pub text: TextId,
    pub submit: usize,
    pub id: String,
    pub mark: Option<String>,
    pub body: Arc<[u8]>,
    /// When this sender stops waiting for it.
    pub by: Instant,
    /// It must not leave later: its receiver may have forgotten it, and a connection may take that long to come up.
    pub send_deadline: Instant,
}

/// A call on its way. Each of its parts gets exactly one outcome, however the call ends: what nobody told when it is
/// dropped, with a thread that ended or a mailbox that nobody reads any more, is told then. A submit without an outcome
/// would hold its slot and its key for good.
pub struct Call {
    /// Those without an outcome so far.
    pub parts: Vec<Part>,
    pub sent: Instant,
    /// It may go on a connection that carries other calls. Its answer then has to name its texts.
    pub shares_connection: bool,
    /// From the first byte on an endpoint may run it.
    pub(crate) left: bool,
    /// Who hears of the outcomes; nobody while the decider itself has the call.
    pub(crate) owed: Option<(EndpointId, Arc<Trunk>)>,
}

impl Call {
    pub fn new(part: Part, sent: Instant, shares_connection: bool) -> Call {
        Call { parts: vec![part], sent, shares_connection, left: false, owed: None }
    }

    /// A call of its own for some of its texts, as yet unsent.
    pub(crate) fn split_off(&self, parts: Vec<Part>) -> Call {
        let Call { sent, shares_connection, .. } = *self;
        Call { parts, sent, shares_connection, left: false, owed: self.owed.clone() }
    }

    /// Another text travels in it; a connection is shared only if that holds for all of them.
    pub fn joins(&mut self, part: Part, shares_connection: bool) {
        self.parts.push(part);
        self.shares_connection &= shares_connection;
    }

    /// Whether it is written, and answered, in the form that names each text.
    pub fn names_texts(&self) -> bool {
        self.shares_connection || self.parts.len() > 1
    }

    /// The ids of its texts.
    pub fn ids(&self) -> impl Iterator<Item = &str> + Clone {
        self.parts.iter().map(|part| part.id.as_str())
    }

    /// From now on its outcomes are told as those of this endpoint.
    pub fn to(mut self, endpoint: EndpointId, trunk: &Arc<Trunk>) -> Call {
        self.owed = Some((endpoint, Arc::clone(trunk)));
        self
    }

    /// The parts, by whoever answers for them from now on.
    pub fn into_parts(mut self) -> Vec<Part> {
        self.owed = None;
        std::mem::take(&mut self.parts)
    }

    /// Tells the outcome of each part.
    pub(crate) fn tell(&mut self, mut answered: impl FnMut(&Part) -> Answered) {
        if let Some((endpoint, trunk)) = &self.owed {
            for part in self.parts.drain(..) {
                let answered = answered(&part);
                trunk.tell(*endpoint, self.sent, (part.text, part.submit), answered);
            }
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        let verdict = if self.left { Verdict::Reset } else { Verdict::Moot };
        self.tell(|_| verdict.into());
    }
}

impl fmt::Display for Call {
    /// The ids of its texts.
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for (at, id) in self.ids().enumerate() {
            write!(f, "{}{id}", if at > 0 { "," } else { "" })?;
        }
        Ok(())
    }
}

/// A text's submit, which a later one of the same text is not.
pub type Submit = (TextId, usize);
