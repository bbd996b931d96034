//! A sender without sockets, threads and disk: the decisions, what the actors around them keep by destination and text, and
//! the journal on a store that counts bytes and keeps none.

use indigomast::api::*;
use indigomast::rules::Rules;
use indigomast::time::{Moment, Span};
use indigomast_journal::Store;
use indigomast_sender::config::Site;
use indigomast_sender::endpoint_table::EndpointTable;
use indigomast_sender::limits::{Grant, Limits};
use indigomast_sender::list::{EndpointList, ListResponse, ListedEndpoint};
use indigomast_site::{BootInfo, Names, parse_json};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;

/// What a sender of the fleet may have.
pub const GRANT: (u64, usize, f64) = (128, 1024, 2048.0);
/// Calls that a sender may have out.
pub const SLOTS: usize = 64;
/// Calls a second that a destination takes by the list.
pub const UNITS: f64 = 200.0;

/// The settings object of one sender among so many.
pub fn settings(senders: usize, ordinal: usize, products: usize) -> Value {
    let category = |at: usize| {
        json!({
            "name": format!("notice-{at}"),
            "objective-ms": 2000.0,
            "deadline-ms": 86_400_000.0,
            "repeat": "read_like",
            "group": "all",
            "in-order": false,
            "window-ms": 20_000.0,
            "worth": 1.0,
            "late-worth": 0.0,
            "stream": false,
        })
    };
    json!({
        "group-size": senders,
        "ordinal": ordinal,
        "categories": (0..products).map(category).collect::<Vec<_>>(),
        "kinds": ["office"],
        "localities": (0..10).map(|zone| format!("zone-{zone}")).collect::<Vec<_>>(),
        "tick-ms": 5.0,
        "family-info": {"call-slots": SLOTS, "kind-batch": [1], "routes-apart": [false]},
        "membership-mode": "automatic",
        "weight-kind": "nominal",
        "obligations": {
            "cold-share": 0.2,
            "cold-ms": 5000.0,
            "tip-multiple": 1.6,
            "must-ask-in-ms": 10_000.0,
            "settle-after-doubt-ms": 1000.0,
        },
        "ceilings": {
            "max-attempts": 6,
            "most-held": 1_000_000_000,
            "keepalive-ms": 10_000.0,
            "connect-timeout-ms": 1000.0,
            "retry-after": true,
            "max-retry-after-ms": 30_000.0,
        },
    })
}

/// # Panics
/// Never: the settings are made here.
pub fn info(senders: usize, ordinal: usize) -> BootInfo {
    serde_json::from_value(settings(senders, ordinal, 3)).expect("settings of our own")
}

/// # Panics
/// Never: the settings are made here.
pub fn site(senders: usize, ordinal: usize) -> Site {
    Site::of(info(senders, ordinal)).expect("settings of our own")
}

/// What is granted, but with room for lists and texts of any number: the bounds that stand in the way are counted by
/// themselves.
pub fn unbounded(site: &Site) -> Result<Limits, String> {
    let (memory, sockets, disk) = GRANT;
    let limits = site.limits(Grant::new(memory, sockets, disk))?;
    Ok(Limits { endpoints: usize::MAX, texts: usize::MAX, log_texts: u64::MAX, list: usize::MAX, ..limits })
}

/// A list as discovery writes it, of the destinations from one number to before another, an endpoint each.
pub fn list_text(from: usize, to: usize, revision: u64, complete: bool) -> String {
    list_text_at(from, to, revision, complete, None)
}

/// The same, with all endpoints at one address.
pub fn list_text_at(
    from: usize,
    to: usize,
    revision: u64,
    complete: bool,
    address: Option<SocketAddr>,
) -> String {
    let mut text = format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[");
    for at in from..to {
        let comma = if at > from { "," } else { "" };
        let (zone, port) = (at % 10, 1024 + at % 60_000);
        let own = [127, (at >> 16) as u8, (at >> 8) as u8, at as u8];
        let address = address.unwrap_or_else(|| SocketAddr::from((own, port as u16)));
        _ = write!(
            text,
            "{comma}{{\"id\":\"e-{at}\",\"host_port\":\"{address}\",\"locality\":\"zone-{zone}\",\
             \"flavor\":\"office\",\"cell\":{at},\"phase\":\"Ready\",\"size\":{UNITS:.1},\"up_since_ms\":0}}",
        );
    }
    text.push_str("]}");
    text
}

pub fn parse_list(text: &str, site: &Site, limits: &Limits) -> Result<EndpointList, String> {
    EndpointList::of(parse_json::<ListResponse>(text)?, site, limits)
}

/// The decisions with what stands around them at a sender for each destination.
pub struct Hollow {
    pub rules: Rules,
    pub places: EndpointTable,
    dests: Names<u64>,
    pub now: Moment,
    next: usize,
    wake: Moment,
}

/// A submit that is out.
#[derive(Clone, Copy, Debug)]
pub struct Submit {
    pub text: TextId,
    pub submit: usize,
    pub endpoint: EndpointId,
}

impl Hollow {
    pub fn new(settings: Settings, seed: u64) -> Hollow {
        let now = Moment::from_millis(0.0);
        Hollow {
            rules: Rules::new(settings, seed),
            places: EndpointTable::default(),
            dests: Names::from_list(Vec::new()),
            now,
            next: 0,
            wake: now,
        }
    }

    pub fn passes(&mut self, span: Span) {
        self.now += span;
    }

    /// Tells the decisions, with the timer where that is due; what goes out. The submits of a text are counted by whoever
    /// hears of them.
    pub fn step(&mut self, mut events: Vec<Event>) -> Vec<Action> {
        if self.now >= self.wake {
            events.push(Event::TimerFired);
        }
        let actions = self.rules.step(self.now, events);
        for action in &actions {
            if let Action::WakeAt(at) = action {
                self.wake = *at;
            }
        }
        actions
    }

    /// Steps at the moment at which the timer is next due.
    pub fn beat(&mut self) -> Vec<Action> {
        self.now = self.now.max(self.wake);
        self.step(Vec::new())
    }

    /// What the sender's decider does with a list, but for its log and its orders.
    pub fn listed(&mut self, listing: EndpointList) -> Vec<Action> {
        let mut entries = Vec::with_capacity(listing.members.len());
        let mut told = BTreeSet::new();
        for member in listing.members {
            let (at, place) = self.places.upsert(&member);
            told.insert(at);
            place.address = member.address.or(place.address);
            let ListedEndpoint { dest, kind, zone, units, condition, .. } = member;
            let dest = DestId(self.dests.index_or_insert(&dest));
            entries.push(Entry { endpoint: at, dest, kind, zone, units, condition });
        }
        if listing.complete {
            let off = self.places.ids().into_iter().filter(|at| !told.contains(at));
            off.for_each(|at| self.places.mark_unlisted(at));
        }
        let scope = if listing.complete { Scope::Complete } else { Scope::Partial };
        self.step(vec![Event::ListReceived { scope, entries }])
    }

    /// A text for a destination, as the next one.
    pub fn text(&mut self, dest: usize, valid_for: Span) -> AcceptedText {
        self.next += 1;
        AcceptedText {
            text: TextId(self.next),
            product: ProductId(0),
            dest: DestId(dest),
            key: None,
            valid_until: self.now + valid_for,
        }
    }
}

/// The submits among actions, with the number that each text's has by then.
pub fn submits(actions: &[Action], numbers: &mut BTreeMap<TextId, usize>) -> Vec<Submit> {
    let submits = actions.iter().filter_map(|action| match action {
        Action::Submit { text, endpoint, .. } => {
            let number = numbers.entry(*text).or_insert(0);
            *number += 1;
            Some(Submit { text: *text, submit: *number - 1, endpoint: *endpoint })
        }
        _ => None,
    });
    submits.collect()
}

pub fn outcome(submit: Submit, verdict: Verdict, latency: Span) -> Event {
    Event::Outcome(Outcome {
        text: submit.text,
        submit: submit.submit,
        endpoint: submit.endpoint,
        verdict,
        in_doubt: false,
        retry_after: None,
        latency,
        ended: false,
        allowance: None,
    })
}

/// A disk that takes everything, keeps none of it and counts it: what is read back of it is nothing.
#[derive(Debug, Default)]
pub struct Sink {
    files: BTreeMap<String, usize>,
    lengths: Vec<u64>,
    pub written: u64,
}

impl Store for Sink {
    type File = usize;

    fn list(&mut self) -> io::Result<Vec<String>> {
        Ok(self.files.keys().cloned().collect())
    }

    fn create(&mut self, name: &str) -> io::Result<usize> {
        self.lengths.push(0);
        self.files.insert(name.to_owned(), self.lengths.len() - 1);
        Ok(self.lengths.len() - 1)
    }

    fn open(&mut self, name: &str) -> io::Result<usize> {
        self.files.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn length(&mut self, file: &usize) -> io::Result<u64> {
        Ok(self.lengths[*file])
    }

    fn append(&mut self, file: &mut usize, bytes: &[u8]) -> io::Result<usize> {
        self.lengths[*file] += bytes.len() as u64;
        self.written += bytes.len() as u64;
        Ok(bytes.len())
    }

    fn read(&mut self, _: &mut usize, _: u64, _: &mut [u8]) -> io::Result<usize> {
        Ok(0)
    }

    fn truncate(&mut self, file: &mut usize, length: u64) -> io::Result<()> {
        self.lengths[*file] = self.lengths[*file].min(length);
        Ok(())
    }

    fn sync(&mut self, _: &usize) -> io::Result<()> {
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        if let Some(file) = self.files.remove(from) {
            self.files.insert(to.to_owned(), file);
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name);
        Ok(())
    }
}
