//! Ordering keys of texts, by the small indices that the rules use for them.

use indigomast::api::KeyId;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Maps ordering keys to indices. A key is removed some time after its last text; an index is never used again.
#[derive(Default)]
pub struct OrderingKeys {
    known: BTreeMap<String, KnownKey>,
    next: usize,
    /// Keys without texts, which the rules may still pause.
    idle: VecDeque<(Instant, String)>,
}

struct KnownKey {
    id: KeyId,
    texts: usize,
    idle_since: Instant,
}

impl OrderingKeys {
    /// Restores the keys of the previous process under their indices.
    pub fn successor(snapshot: Vec<(String, usize)>, next: usize) -> OrderingKeys {
        let idle_since = Instant::now();
        let idle = snapshot.iter().map(|(key, _)| (idle_since, key.clone())).collect();
        let known =
            snapshot.into_iter().map(|(key, id)| (key, KnownKey { id: KeyId(id), texts: 0, idle_since }));
        OrderingKeys { known: known.collect(), next, idle }
    }

    /// Counts one more text with this key.
    pub fn acquire(&mut self, key: &str) -> KeyId {
        let known = self.known.entry(key.to_owned()).or_insert_with(|| {
            self.next += 1;
            KnownKey { id: KeyId(self.next - 1), texts: 0, idle_since: Instant::now() }
        });
        known.texts += 1;
        known.id
    }

    /// Counts one text less with this key.
    pub fn release(&mut self, key: &str) {
        if let Some(known) = self.known.get_mut(key) {
            known.texts -= 1;
            if known.texts == 0 {
                known.idle_since = Instant::now();
                self.idle.push_back((known.idle_since, key.to_owned()));
            }
        }
    }

    /// Removes keys that have had no text for longer than `after`.
    pub fn remove_expired(&mut self, after: Duration) {
        while self.idle.front().is_some_and(|(since, _)| since.elapsed() > after) {
            let (since, key) = self.idle.pop_front().expect("front was checked");
            if self.known.get(&key).is_some_and(|known| known.texts == 0 && known.idle_since == since) {
                self.known.remove(&key);
            }
        }
    }

    /// The index of a key, if it has texts or had some recently.
    pub fn find(&self, key: &str) -> Option<KeyId> {
        self.known.get(key).map(|known| known.id)
    }

    /// All keys with their indices and the next index, for a successor process.
    pub fn snapshot(&self) -> (Vec<(String, usize)>, usize) {
        (self.known.iter().map(|(key, known)| (key.clone(), known.id.0)).collect(), self.next)
    }
}
