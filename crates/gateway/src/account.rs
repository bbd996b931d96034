//! What a model of gateways writes down: every call, how it fared, and each gateway that fell over.

use crate::model::SenderId;
use indigomast::api::{DestId, EndpointId};
use indigomast::time::Moment;
use std::collections::BTreeMap;

/// Counts of one endpoint, in calls unless said otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointAccount {
    pub calls: u64,
    pub texts: u64,
    /// Calls turned away: over a limit, queue full or shut.
    pub refused: u64,
    pub errors: u64,
    /// Calls that ran to their end, whether or not their answer arrived.
    pub ran: u64,
    /// Calls whose answer was lost, spoilt or never given.
    pub unanswered: u64,
    /// Links that came up, were turned down, and were dropped at rest.
    pub links: u64,
    pub links_refused: u64,
    pub links_dropped: u64,
    /// The most calls in work and in the queue at once.
    pub busiest: u64,
    pub by_sender: BTreeMap<SenderId, u64>,
}

/// A destination that was sent more than it could take as it came back, and stays down.
#[derive(Clone, Debug, PartialEq)]
pub struct Fall {
    pub dest: DestId,
    pub at: Moment,
    /// Calls within the span that counts, and how many it would have borne.
    pub load: f64,
    pub bearable: f64,
    /// The part of that load which came from senders that had seen the outage.
    pub from_warned: f64,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Accounts {
    pub endpoints: BTreeMap<EndpointId, EndpointAccount>,
    pub falls: Vec<Fall>,
}

impl Accounts {
    pub(crate) fn of(&mut self, endpoint: EndpointId) -> &mut EndpointAccount {
        self.endpoints.entry(endpoint).or_default()
    }

    pub fn total(&self, count: impl Fn(&EndpointAccount) -> u64) -> u64 {
        self.endpoints.values().map(count).sum()
    }
}
