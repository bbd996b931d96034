//! Interface of the decisions: the events passed to them and the actions that they return.
//!
//! Ids are small indices that the caller assigns. A [`TextId`] must increase in the order in which texts
//! are accepted; the other ids count up from 0, each in its own list.

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
    /// A second run does no harm.
    Resendable,
    /// The text carries a reference by which the receiver drops repeats for the time `memory`: at all
    /// endpoints of its destination, or only at those of one zone.
    Referenced { memory: Span, one_zone: bool },
    /// A text must not run twice.
    OnceOnly,
}

/// A kind of text as clients order it, with its delivery terms.
#[derive(Clone, Debug)]
pub struct Product {
    /// Time within which a text is worth most; the least time-out of a call.
    pub sla_time: Span,
    pub repeat: Repeat,
    /// Texts of one key are delivered in the order in which they were accepted.
    pub in_order: bool,
    /// Maximum number of submits of one text.
    pub max_submits: usize,
}

/// What the units of an endpoint in the list say about the calls a second that its destination takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListedRate {
    /// The units say nothing.
    #[default]
    Silent,
    /// The units are the rate.
    Exact,
    /// The rate is known roughly: two thirds of the units are used.
    Rough,
}

/// A kind of destination.
#[derive(Clone, Debug)]
pub struct Kind {
    /// The endpoints of a destination fail independently of each other.
    pub routes_apart: bool,
    /// Maximum number of texts in one call.
    pub texts_per_call: usize,
}

/// Settings of the decisions. The account logs them by their field names.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of this sender among all, from 0.
    pub ordinal: usize,
    /// Number of senders.
    pub senders: usize,
    /// Calls that may be out at once.
    pub slots: usize,
    /// Texts that may be held at once.
    pub max_held: usize,
    /// The products in force, and those that still apply to unfinished texts. An index never changes its
    /// meaning.
    pub products: Vec<Product>,
    /// The kinds of destinations, by [`KindId`].
    pub kinds: Vec<Kind>,
    /// What the units of the list mean.
    pub listed_rate: ListedRate,
    /// Changes of the list are sent only to senders that have subscribed.
    pub must_subscribe: bool,
    /// How long a sender may go without requesting the list, where it has to request it.
    pub must_ask_in: Span,
    /// Longest retry-after time that a nack may carry; none if nacks carry none.
    pub longest_advice: Option<Span>,
    /// Whether a call that is out may be cancelled before its time-out.
    pub may_revoke: bool,
    /// Cost if one call were rejected for each text, as a share of all revenue.
    pub turned_away_price: f64,
    /// Answers report how much of a receiver's limit is left.
    pub tells_limits: bool,
    /// Resolution of the caller's timers.
    pub tick: Span,
    /// Keep-alive time: an idle connection is closed after this time.
    pub keeps_alive: Span,
    /// Share of its warm rate that a receiver takes as it comes back.
    pub cold_share: f64,
    /// Time that a receiver takes to be warm.
    pub cold_span: Span,
    /// Multiple of what a cold receiver takes that would overload it.
    pub tip_multiple: f64,
    /// How long a key pauses after a submit of it that may still run.
    pub rest_after_doubt: Span,
}

/// Condition of an endpoint as the list states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Condition {
    Running,
    Stopping,
    Deleted,
}

/// An endpoint in the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub endpoint: EndpointId,
    pub dest: DestId,
    pub kind: KindId,
    pub zone: ZoneId,
    /// Weight of the endpoint; [`Settings::listed_rate`] tells what it means.
    pub units: f64,
    pub condition: Condition,
}

/// How much of the list an event carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Only the entries that changed.
    Partial,
    /// The whole list.
    Complete,
    /// The list as saved when the sender last ran.
    Persisted,
    /// The request or the subscription failed; the current list remains in use.
    Error,
}

/// How a submit ended. The account logs the variants by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Delivered,
    /// Error response.
    Error,
    /// Rejected because of overload; it did not run.
    Full,
    /// No answer within the time-out.
    TimeOut,
    /// No connection could be established.
    ConnectFailed,
    /// The connection was lost before the answer.
    Reset,
    /// Revoked by [`Action::Revoke`]; it may have run.
    Cancelled,
    /// Known not to have run: it was not sent, or the receiver did not process it.
    Moot,
}

impl Verdict {
    /// Whether the submit is known not to have run at the receiver.
    pub fn never_ran(self) -> bool {
        matches!(self, Verdict::Full | Verdict::ConnectFailed | Verdict::Moot)
    }
}

/// What an endpoint reports of its rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Share of the limit that is left.
    pub remaining_share: f64,
    /// The limit, in calls a second for all senders.
    pub calls_per_sec: f64,
}

/// A text as it was accepted from a client.
#[derive(Clone, Debug)]
pub struct AcceptedText {
    pub text: TextId,
    pub product: ProductId,
    pub dest: DestId,
    /// Texts of one key are ordered if the product demands it.
    pub key: Option<KeyId>,
    /// End of the validity period.
    pub valid_until: Moment,
}

/// What an earlier process of the sender did with a text.
#[derive(Clone, Copy, Debug, Default)]
pub struct SubmitHistory {
    /// Number of submits so far.
    pub submits: usize,
    /// When and in which zone the first submit that may have run was sent. A submit that was still out when
    /// that process ended may have run.
    pub first_in_doubt: Option<(Moment, ZoneId)>,
}

/// The outcome of one submit of a text.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub text: TextId,
    /// Submits of a text count from 0.
    pub submit: usize,
    pub endpoint: EndpointId,
    pub verdict: Verdict,
    /// The answer may belong to another submit, so this one may have run whatever the verdict is.
    pub in_doubt: bool,
    /// How long the receiver asks senders to wait.
    pub retry_after: Option<Span>,
    /// Time from the submit to its outcome.
    pub latency: Span,
    /// The text is finished: no further submit is needed.
    pub ended: bool,
    /// The receiver's report of its limit.
    pub allowance: Option<Allowance>,
}

impl Outcome {
    /// Whether the submit is known not to have run at the receiver.
    pub fn never_ran(&self) -> bool {
        self.verdict.never_ran() && !self.in_doubt
    }
}

/// What happened, as input to [`crate::rules::Rules::step`].
#[derive(Clone, Debug)]
pub enum Event {
    /// A list or a part of it was received, or the attempt failed.
    ListReceived { scope: Scope, entries: Vec<Entry> },
    /// A new text was accepted.
    Accepted(AcceptedText),
    /// An unfinished text that an earlier process of this sender accepted. These events come in the order
    /// in which the texts were accepted, before any later text of their key.
    Resumed(AcceptedText, SubmitHistory),
    /// A text that an earlier process ended without its client having received the report. Its key waits
    /// until [`Event::EndReported`]; nothing else is outstanding for it.
    UnreportedEnd(AcceptedText),
    /// The nack or undeliverable report of the text has reached its client; until then the text is not
    /// finished and its key waits.
    EndReported(TextId),
    /// A submit has ended.
    Outcome(Outcome),
    /// The client has withdrawn the text; its submits that are out go on.
    Withdrawn(TextId),
    /// A probe has ended.
    Probed { endpoint: EndpointId, verdict: Verdict, latency: Span, allowance: Option<Allowance> },
    /// Operators took an endpoint out of service or put it back; while it is out, the list has no effect on
    /// it.
    Maintenance { endpoint: EndpointId, out_of_service: bool },
    /// Other settings are in force from now on. Texts accepted before keep their products.
    Settings(Settings),
    /// End of the lease of the list; none if the list does not expire, as before the first lease is known.
    ListLease(Option<Moment>),
    /// Whether new submits are paused because another process is about to take over; all else goes on.
    /// False if it does not take over after all.
    PauseSubmits(bool),
    /// The body of a streamed answer has begun.
    Streaming { text: TextId, submit: usize },
    /// A message from another sender.
    PeerMessage { from: usize, bytes: Vec<u8> },
    /// The time last requested by [`Action::WakeAt`] has come.
    TimerFired,
}

/// What the caller has to do, in the order in which it is returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Submits a text. It must not be sent after `send_deadline`, however long the connection takes: its
    /// receiver may have forgotten it by then.
    Submit {
        text: TextId,
        endpoint: EndpointId,
        time_out: Span,
        send_deadline: Moment,
        /// The call may use a connection with other calls; its answer names its texts.
        shares_connection: bool,
    },
    /// Gives the text back to the client, which may hand it in again.
    Nack { text: TextId, retry_after: Option<Span> },
    /// Reports the text as undeliverable.
    Undeliverable { text: TextId },
    /// Cancels a submit that is out.
    Revoke { text: TextId, submit: usize },
    /// Cancels a submit that has not been sent yet, for example while its connection is being established;
    /// its verdict is then [`Verdict::Moot`].
    CancelUnsent { text: TextId, submit: usize },
    /// Sends a probe to an endpoint.
    Probe { endpoint: EndpointId },
    /// Closes the idle connections to an endpoint.
    CloseIdle { endpoint: EndpointId },
    /// Starts or ends the subscription to the list.
    Subscribe { on: bool },
    /// Requests the list.
    ReadList,
    /// Sends a message to one sender, or to all if none is given.
    SendToPeer { sender: Option<usize>, bytes: Vec<u8> },
    /// Requests [`Event::TimerFired`] at this time.
    WakeAt(Moment),
    /// Writes a line to the log.
    Log(String),
}
