//! The keys of texts that go in turn, by the small indices under which the decisions know them.

use indigomast::api::KeyId;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Keys as indices, forgotten once no text has them; an index never comes twice.
#[derive(Default)]
pub struct OrderingKeys {
    known: BTreeMap<String, KnownKey>,
    next: usize,
    /// Keys left without texts, which the decisions may still let rest.
    idle: VecDeque<(Instant, String)>,
}

struct KnownKey {
    id: KeyId,
    texts: usize,
    idle_since: Instant,
}

impl OrderingKeys {
    /// Those of the process before, under their indices.
    pub fn successor(snapshot: Vec<(String, usize)>, next: usize) -> OrderingKeys {
        let idle_since = Instant::now();
        let idle = snapshot.iter().map(|(key, _)| (idle_since, key.clone())).collect();
        let known =
            snapshot.into_iter().map(|(key, id)| (key, KnownKey { id: KeyId(id), texts: 0, idle_since }));
        OrderingKeys { known: known.collect(), next, idle }
    }

    /// One more text has this key.
    pub fn acquire(&mut self, key: &str) -> KeyId {
        let known = self.known.entry(key.to_owned()).or_insert_with(|| {
            self.next += 1;
            KnownKey { id: KeyId(self.next - 1), texts: 0, idle_since: Instant::now() }
        });
        known.texts += 1;
        known.id
    }

    /// One text less has this key.
    pub fn release(&mut self, key: &str) {
        if let Some(known) = self.known.get_mut(key) {
            known.texts -= 1;
            if known.texts == 0 {
                known.idle_since = Instant::now();
                self.idle.push_back((known.idle_since, key.to_owned()));
            }
        }
    }

    /// Forgets those that no text has had for so long.
    pub fn remove_expired(&mut self, after: Duration) {
        while self.idle.front().is_some_and(|(since, _)| since.elapsed() > after) {
            let (since, key) = self.idle.pop_front().expect("looked at");
            if self.known.get(&key).is_some_and(|known| known.texts == 0 && known.idle_since == since) {
                self.known.remove(&key);
            }
        }
    }

    /// The index of a key that texts have, or had lately.
    pub fn find(&self, key: &str) -> Option<KeyId> {
        self.known.get(key).map(|known| known.id)
    }

    /// All of them and the next index, for the process that takes this one's place.
    pub fn snapshot(&self) -> (Vec<(String, usize)>, usize) {
        (self.known.iter().map(|(key, known)| (key.clone(), known.id.0)).collect(), self.next)
    }
}
