//! The interface of the decisions: what a carrier tells them and what they answer.
//!
//! Ids are small indices which the carrier hands out. A [`TextId`] must grow with the order in which texts
//! are taken; the other ids count up from 0, each in its own list.

use crate::time::{Moment, Span};

macro_rules! ids {
    ($($name:ident),*) => {$(
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
        )]
        pub struct $name(pub usize);
    )*};
}
ids!(TextId, EndpointId, DestId, KindId, ProductId, KeyId, ZoneId);

/// What a second run of a text would do at its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    Resendable,
    /// The text bears a mark by which a repeat is dropped for `memory`, by all endpoints of its destination
    /// or by those of one zone.
    Referenced {
        memory: Span,
        one_zone: bool,
    },
    OnceOnly,
}

#[derive(Clone, Debug)]
pub struct Product {
    pub sla_time: Span,
    pub repeat: Repeat,
    pub in_order: bool,
    pub max_submits: usize,
}

/// What the listed figure of an endpoint says of the calls a second that its destination takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedRate {
    #[default]
    Silent,
    Exact,
    Rough,
}

#[derive(Clone, Debug)]
pub struct Kind {
    pub routes_apart: bool,
    /// Texts that one call carries at most.
    pub texts_per_call: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub ordinal: usize,
    pub senders: usize,
    pub slots: usize,
    pub max_held: usize,
    /// Those in force, and those under whose terms texts were taken on that are not over. An index never changes its
    /// meaning.
    pub products: Vec<Product>,
    pub kinds: Vec<Kind>,
    pub listed_rate: ListedRate,
    /// Changes of the list come only to those who subscribed.
    pub must_subscribe: bool,
    /// How long a sender may go without asking for the list, where it must ask.
    pub must_ask_in: Span,
    pub longest_advice: Option<Span>,
    /// Whether a call that is out may be given up before its time.
    pub may_revoke: bool,
    /// What it would cost if a call were turned away for each text, as a part of all revenue.
    pub turned_away_price: f64,
    /// Answers tell how much of a receiver's limit is left.
    pub tells_limits: bool,
    pub tick: Span,
    /// An idle connection is shut after so long.
    pub keeps_alive: Span,
    pub cold_share: f64,
    pub cold_span: Span,
    pub tip_multiple: f64,
    pub rest_after_doubt: Span,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Condition {
    Running,
    Stopping,
    Deleted,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub endpoint: EndpointId,
    pub dest: DestId,
    pub kind: KindId,
    pub zone: ZoneId,
    pub units: f64,
    pub condition: Condition,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Only entries that changed.
    Partial,
    Complete,
    /// The list as it stood when the sender last ran.
    Persisted,
    /// Asking failed or the subscription dropped; the list held stays.
    Error,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Delivered,
    Error,
    Full,
    TimeOut,
    ConnectFailed,
    Reset,
    Cancelled,
    Moot,
}

impl Verdict {
    /// Whether the submit is known not to have run at the receiver.
    pub fn never_ran(self) -> bool {
        matches!(self, Verdict::Full | Verdict::ConnectFailed | Verdict::Moot)
    }
}

/// What an endpoint tells of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    pub remaining_share: f64,
    pub calls_per_sec: f64,
}

/// A text as it was handed in.
#[derive(Clone, Debug)]
pub struct AcceptedText {
    pub text: TextId,
    pub product: ProductId,
    pub dest: DestId,
    pub key: Option<KeyId>,
    pub valid_until: Moment,
}

/// What an earlier life of the sender did about a text.
#[derive(Clone, Copy, Debug, Default)]
pub struct SubmitHistory {
    pub submits: usize,
    /// When and in which zone the first submit that may have run was sent; one still out when that life ended
    /// may have run.
    pub first_in_doubt: Option<(Moment, ZoneId)>,
}

#[derive(Clone, Debug)]
pub struct Outcome {
    pub text: TextId,
    /// Submits of a text count from 0.
    pub submit: usize,
    pub endpoint: EndpointId,
    pub verdict: Verdict,
    /// The answer may have been another submit's: whatever the verdict, this one may have run.
    pub in_doubt: bool,
    pub retry_after: Option<Span>,
    pub latency: Span,
    /// The text needs no further answer.
    pub ended: bool,
    pub allowance: Option<Allowance>,
}

impl Outcome {
    /// Whether the submit is known not to have run at the receiver.
    pub fn never_ran(&self) -> bool {
        self.verdict.never_ran() && !self.in_doubt
    }
}

#[derive(Clone, Debug)]
pub enum Event {
    ListReceived {
        scope: Scope,
        entries: Vec<Entry>,
    },
    Accepted(AcceptedText),
    /// A text taken on by an earlier life of this sender, whose end is still owed. Told in the order in which
    /// they were taken, before any later text of their key.
    Resumed(AcceptedText, SubmitHistory),
    /// A text that an earlier life of this sender ended, without whoever asked for it having heard: its key waits until
    /// [`Event::EndReported`], and nothing else is owed for it.
    UnreportedEnd(AcceptedText),
    /// The text's nack or undeliverable report has reached the one who asked for it; until then the text is
    /// not over and its key waits.
    EndReported(TextId),
    Outcome(Outcome),
    /// Nobody wants the text any more; its submits run on.
    Withdrawn(TextId),
    Probed {
        endpoint: EndpointId,
        verdict: Verdict,
        latency: Span,
        allowance: Option<Allowance>,
    },
    /// Operators took an endpoint out, or gave it back; until then the list has no say in it.
    Maintenance {
        endpoint: EndpointId,
        out_of_service: bool,
    },
    /// Other settings are in force from now on. Texts at hand keep their products.
    Settings(Settings),
    /// Until when the list that is held may be acted on; none where nothing ends that, as before the first word of it.
    ListLease(Option<Moment>),
    /// Another process is about to take over: nothing new is submitted, all else goes on; or it does not come after all.
    PauseSubmits(bool),
    /// The stream of an answer has begun.
    Streaming {
        text: TextId,
        submit: usize,
    },
    /// Word from another sender.
    PeerMessage {
        from: usize,
        bytes: Vec<u8>,
    },
    /// The time last asked for by [`Action::WakeAt`] has come.
    TimerFired,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Not to be sent after `send_deadline`, however long a connection takes: its receiver may have forgotten it by then.
    Submit {
        text: TextId,
        endpoint: EndpointId,
        time_out: Span,
        send_deadline: Moment,
        /// Its call may share a connection with others, and is answered by naming its texts.
        shares_connection: bool,
    },
    Nack {
        text: TextId,
        retry_after: Option<Span>,
    },
    Undeliverable {
        text: TextId,
    },
    Revoke {
        text: TextId,
        submit: usize,
    },
    /// Not to be sent if it has not left yet, as while its connection comes up; then its outcome is moot.
    CancelUnsent {
        text: TextId,
        submit: usize,
    },
    Probe {
        endpoint: EndpointId,
    },
    CloseIdle {
        endpoint: EndpointId,
    },
    Subscribe {
        on: bool,
    },
    ReadList,
    SendToPeer {
        sender: Option<usize>,
        bytes: Vec<u8>,
    },
    WakeAt(Moment),
    Log(String),
}
