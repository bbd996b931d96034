//! The settings object that a sender gets at its start, decoded into the settings of the decision logic, and the
//! mapping of names to small indices.

pub mod schema;

use indigomast::api::{Kind, ListedRate, Product, Repeat as MayRepeat, Settings};
use indigomast::time::Span;
use serde::Deserialize;
use std::collections::BTreeMap;

/// An error message that names the wrong field.
pub type Complaint = String;

/// Parses JSON; an error names the field that is wrong.
pub fn parse_json<'a, T: Deserialize<'a>>(text: &'a str) -> Result<T, Complaint> {
    // Tracking the path of an error costs time and errors are rare, so it is only done after a failure.
    if let Ok(value) = serde_json::from_str(text) {
        return Ok(value);
    }
    serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text)).map_err(|e| {
        let path = e.path().to_string();
        let what = e.into_inner();
        if path == "." { what.to_string() } else { format!("{path}: {what}") }
    })
}

/// Names in the order in which they were first seen, each with its index.
#[derive(Default)]
pub struct Names<T: Ord + Clone> {
    index: BTreeMap<T, usize>,
    names: Vec<T>,
}

impl<T: Ord + Clone> Names<T> {
    pub fn from_list(names: Vec<T>) -> Self {
        let mut list = Names { index: BTreeMap::new(), names: Vec::new() };
        names.iter().for_each(|name| _ = list.index_or_insert(name));
        list
    }

    pub fn index_or_insert(&mut self, name: &T) -> usize {
        if let Some(&at) = self.index.get(name) {
            return at;
        }
        self.index.insert(name.clone(), self.names.len());
        self.names.push(name.clone());
        self.names.len() - 1
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    pub fn contains(&self, name: &T) -> bool {
        self.index.contains_key(name)
    }

    pub fn name(&self, at: usize) -> &T {
        &self.names[at]
    }

    pub fn index_of(&self, name: &T, field: &str) -> Result<usize, Complaint>
    where
        T: std::fmt::Debug,
    {
        self.index.get(name).copied().ok_or_else(|| format!("{field}: {name:?} is not known here"))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BootInfo {
    pub group_size: usize,
    pub ordinal: usize,
    pub categories: Vec<Category>,
    pub kinds: Vec<String>,
    pub localities: Vec<String>,
    pub family_info: FamilyInfo,
    pub membership_mode: MembershipMode,
    pub obligations: Obligations,
    pub ceilings: Ceilings,
    pub tick_ms: f64,
    pub weight_kind: WeightKind,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Category {
    pub name: String,
    pub objective_ms: f64,
    /// How long clients ask for at the most; the platform's own word, which each text has for itself.
    #[serde(default)]
    pub deadline_ms: Option<f64>,
    pub repeat: Repeat,
    #[serde(default)]
    pub group: Option<String>,
    #[serde(default)]
    pub window_ms: f64,
    #[serde(default)]
    pub in_order: bool,
    /// The longest time that a text may ask for, which it has where it asks for none. A platform's texts all ask, and
    /// what it says of this isn't read.
    #[serde(skip)]
    pub validity_ms: Option<f64>,
}

impl Category {
    /// Checks the fields that every product needs; an error names the field.
    pub fn check(&self) -> Result<(), Complaint> {
        if self.name.is_empty() || self.name.contains('/') {
            return Err(format!("name: {:?} is no part of a path", self.name));
        }
        let over = |field: &str, ms: f64| match ms.is_finite() && ms > 0.0 {
            true => Ok(()),
            false => Err(format!("{field}: {ms} is not over 0")),
        };
        over("objective-ms", self.objective_ms)?;
        over("deadline-ms", self.deadline_ms.unwrap_or(1.0))?;
        match self.repeat {
            Repeat::IdempotencyKey => {
                over("window-ms", self.window_ms)?;
                Group::of(self.group.as_deref()).map(drop)
            }
            Repeat::ReadLike | Repeat::NonIdempotent => Ok(()),
        }
    }
}

/// Which endpoints of a destination drop repeats of a text that has a mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    /// Those of the zone of the endpoint that had it first.
    Zone,
}

impl Group {
    /// # Errors
    ///
    /// A complaint about `group`, if none is named or none that is known.
    pub fn of(name: Option<&str>) -> Result<Group, Complaint> {
        match name {
            Some("all") => Ok(Group::All),
            Some("zone") => Ok(Group::Zone),
            Some(other) => Err(format!("group: {other:?} is neither \"all\" nor \"zone\"")),
            None => Err("group: is missing".into()),
        }
    }
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct FamilyInfo {
    pub call_slots: usize,
    #[serde(default)]
    pub kind_batch: Vec<usize>,
    #[serde(default)]
    pub routes_apart: Vec<bool>,
    #[serde(default)]
    pub turned_away_price: f64,
    /// The meaning of the first value of a load report; set where answers have reports.
    #[serde(default)]
    pub report_x0: Option<String>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "lowercase")]
pub enum MembershipMode {
    Automatic,
    Subscribe,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum WeightKind {
    Silent,
    Nominal,
    Rough,
    Live,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Obligations {
    pub cold_share: f64,
    pub cold_ms: f64,
    pub tip_multiple: f64,
    #[serde(default)]
    pub must_ask_in_ms: f64,
    #[serde(default)]
    pub drain_grace_ms: f64,
    #[serde(default)]
    pub settle_after_doubt_ms: f64,
}

fn allowed() -> bool {
    true
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Ceilings {
    pub max_attempts: usize,
    /// Whether an outstanding call may be cancelled; true unless the settings say otherwise.
    #[serde(default = "allowed")]
    pub cancel: bool,
    #[serde(default)]
    pub connect_timeout_ms: f64,
    #[serde(default)]
    pub keepalive_ms: f64,
    pub most_held: usize,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(default)]
    pub max_retry_after_ms: f64,
}

impl BootInfo {
    /// Converts to the settings of the decision logic.
    pub fn decode(&self) -> Settings {
        let info = self;
        let product = |category: &Category| Product {
            sla_time: Span::from_millis(category.objective_ms),
            repeat: match category.repeat {
                Repeat::ReadLike => MayRepeat::Resendable,
                Repeat::NonIdempotent => MayRepeat::OnceOnly,
                Repeat::IdempotencyKey => MayRepeat::Referenced {
                    memory: Span::from_millis(category.window_ms),
                    one_zone: Group::of(category.group.as_deref()) != Ok(Group::All),
                },
            },
            in_order: category.in_order,
            max_submits: info.ceilings.max_attempts,
        };
        let kind = |at: usize| Kind {
            routes_apart: info.family_info.routes_apart.get(at).copied().unwrap_or(false),
            texts_per_call: info.family_info.kind_batch.get(at).copied().unwrap_or(1).max(1),
        };
        Settings {
            ordinal: info.ordinal,
            senders: info.group_size,
            slots: info.family_info.call_slots,
            max_held: info.ceilings.most_held,
            products: info.categories.iter().map(product).collect(),
            kinds: (0..info.kinds.len()).map(kind).collect(),
            listed_rate: match info.weight_kind {
                WeightKind::Nominal => ListedRate::Exact,
                WeightKind::Rough => ListedRate::Rough,
                WeightKind::Silent | WeightKind::Live => ListedRate::Silent,
            },
            must_subscribe: info.membership_mode == MembershipMode::Subscribe,
            must_ask_in: Span::from_millis(info.obligations.must_ask_in_ms),
            longest_advice: info
                .ceilings
                .retry_after
                .then(|| Span::from_millis(info.ceilings.max_retry_after_ms)),
            may_revoke: info.ceilings.cancel,
            turned_away_price: info.family_info.turned_away_price,
            tells_limits: info.family_info.report_x0.is_some(),
            tick: Span::from_millis(info.tick_ms),
            keeps_alive: Span::from_millis(info.ceilings.keepalive_ms),
            cold_share: info.obligations.cold_share,
            cold_span: Span::from_millis(info.obligations.cold_ms),
            tip_multiple: info.obligations.tip_multiple,
            rest_after_doubt: Span::from_millis(info.obligations.settle_after_doubt_ms),
        }
    }
}
