//! A sender's part as its daemon reads it: the list, with a revision that only grows. Free of I/O.
//!
//! A page is of one moment. Who asks for what came after a revision is told the members that changed, those that have gone
//! as `Gone`, and the whole list where that revision isn't of this life or too much has gone since. A body that makes no
//! sense is refused with its place and field, and what its destination had before stays.

use serde::Deserialize;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// What the daemon reads of a member, and refuses the whole list without.
#[derive(Deserialize)]
struct Member {
    id: String,
    host_port: String,
    #[allow(dead_code, reason = "has to be there and a string")]
    locality: String,
    #[allow(dead_code, reason = "as locality")]
    flavor: String,
    cell: u64,
    phase: String,
    #[serde(default)]
    size: f64,
}

/// By id, as they stand in a body.
type Members = Vec<(String, Value)>;

/// The members that a body tells of, by id.
///
/// # Errors
///
/// Which member and field can't be used.
pub fn members(destination: u32, body: &str) -> Result<Members, String> {
    let value: Value = serde_json::from_str(body).map_err(|e| format!("no JSON: {e}"))?;
    let values = match value {
        Value::Array(values) => values,
        value => vec![value],
    };
    let mut known = Vec::new();
    for (at, value) in values.into_iter().enumerate() {
        let within = |what: String| format!("members[{at}].{what}");
        if !value.is_object() {
            return Err(format!("members[{at}]: is no object"));
        }
        let member = Member::deserialize(&value).map_err(|e| format!("members[{at}]: {e}"))?;
        if member.id.is_empty() {
            return Err(within("id: is empty".into()));
        }
        if member.cell != u64::from(destination) {
            return Err(within(format!("cell: {}, this is destination {destination}", member.cell)));
        }
        // One that has gone is told by leaving it out.
        if !matches!(member.phase.as_str(), "Ready" | "Terminating") {
            return Err(within(format!("phase: {:?}, Ready or Terminating may stand", member.phase)));
        }
        if member.host_port.parse::<SocketAddr>().is_err() {
            return Err(within(format!("host_port: {:?} is no address", member.host_port)));
        }
        if !(member.size.is_finite() && member.size >= 0.0) {
            return Err(within(format!("size: {}", member.size)));
        }
        if known.iter().any(|(id, _)| *id == member.id) {
            return Err(within(format!("id: {:?} stands twice", member.id)));
        }
        known.push((member.id, value));
    }
    Ok(known)
}

struct Told {
    revision: u64,
    value: Value,
    gone: bool,
}

/// The list that a daemon is told.
pub struct Listing {
    revision: u64,
    /// Who knows less is told all.
    floor: u64,
    /// By id; those that have gone as well, for a while.
    members: BTreeMap<String, Told>,
    gone: VecDeque<(u64, String)>,
    most_gone: usize,
    /// As last read: of each destination its body and what it tells of.
    bodies: BTreeMap<u32, (Arc<str>, Members)>,
    /// Ids that a destination names and another has.
    taken: BTreeSet<(u32, String)>,
    /// There has been a first whole part.
    ready: bool,
    pub refused: u64,
}

impl Listing {
    /// With nothing in force; its revisions come after `last`.
    pub fn new(last: u64, most_gone: usize) -> Listing {
        Listing {
            revision: last,
            // The first page of this life is the next one.
            floor: last + 1,
            members: BTreeMap::new(),
            gone: VecDeque::new(),
            most_gone,
            bodies: BTreeMap::new(),
            taken: BTreeSet::new(),
            ready: false,
            refused: 0,
        }
    }

    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn is_ready(&self) -> bool {
        self.ready
    }

    /// What is in force is this from here on, all of it; whether the list is another by that, and what was refused.
    pub fn put_in_force<'a>(
        &mut self,
        part: impl IntoIterator<Item = (u32, &'a Arc<str>)>,
    ) -> (bool, Vec<String>) {
        let mut refused = Vec::new();
        let mut bodies = BTreeMap::new();
        for (destination, body) in part {
            let before = self.bodies.remove(&destination);
            let known = match before {
                Some((read, members)) if read == *body => members,
                before => match members(destination, body) {
                    Ok(members) => members,
                    Err(wrong) => {
                        refused.push(format!("destination {destination}: {wrong}"));
                        before.map_or(Vec::new(), |(_, members)| members)
                    }
                },
            };
            bodies.insert(destination, (Arc::clone(body), known));
        }
        self.bodies = bodies;
        let mut taken = BTreeSet::new();
        let mut wanted: BTreeMap<&str, (u32, &Value)> = BTreeMap::new();
        for (destination, (_, members)) in &self.bodies {
            for (id, value) in members {
                let other = wanted.get(id.as_str()).map(|(other, _)| *other);
                let Some(other) = other else {
                    wanted.insert(id, (*destination, value));
                    continue;
                };
                // Said once: it is looked at with each change.
                if !self.taken.contains(&(*destination, id.clone())) {
                    refused.push(format!("destination {destination}: id: {id:?} is of destination {other}"));
                }
                taken.insert((*destination, id.clone()));
            }
        }
        self.taken = taken;
        self.refused += refused.len() as u64;
        let next = self.revision + 1;
        let mut changed = !self.ready;
        for (id, told) in &mut self.members {
            if !told.gone && !wanted.contains_key(id.as_str()) {
                (told.gone, told.revision) = (true, next);
                told.value["phase"] = json!("Gone");
                self.gone.push_back((next, id.clone()));
                changed = true;
            }
        }
        let mut fresh = Vec::new();
        for (id, (_, value)) in wanted {
            match self.members.get_mut(id) {
                Some(told) if !told.gone && told.value == *value => {}
                Some(told) => {
                    *told = Told { revision: next, value: value.clone(), gone: false };
                    changed = true;
                }
                None => {
                    fresh.push((id.to_owned(), Told { revision: next, value: value.clone(), gone: false }));
                    changed = true;
                }
            }
        }
        self.members.extend(fresh);
        self.ready = true;
        if changed {
            self.revision = next;
        }
        self.forget();
        (changed, refused)
    }

    /// Those that went longest ago, where there are too many.
    fn forget(&mut self) {
        while self.gone.len() > self.most_gone
            && let Some((revision, id)) = self.gone.pop_front()
        {
            if self.members.get(&id).is_some_and(|told| told.gone && told.revision == revision) {
                self.members.remove(&id);
                self.floor = self.floor.max(revision);
            }
        }
    }

    /// Whether a watch that knows up to there has something to be told at once.
    pub fn is_after(&self, from: u64) -> bool {
        from != self.revision
    }

    /// The list, or what came after a revision.
    pub fn page(&self, from: Option<u64>) -> String {
        let from = from.filter(|from| (self.floor..=self.revision).contains(from));
        let told = self.members.values().filter(|told| match from {
            Some(from) => told.revision > from,
            None => !told.gone,
        });
        let members: Vec<&Value> = told.map(|told| &told.value).collect();
        json!({"revision": self.revision, "complete": from.is_none(), "members": members}).to_string()
    }
}
