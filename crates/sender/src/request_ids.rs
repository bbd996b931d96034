//! The ids under which clients handed their texts in, those of texts that are over for a while longer.

use indigomast::api::TextId;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// What an id stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownId {
    /// None of one that is over.
    pub text: Option<TextId>,
    /// A checksum of all that is passed on: another form under the same id is another text.
    pub fingerprint: u32,
    /// It came on a connection that had handed in texts before.
    pub proven: bool,
}

/// A client whose request crossed the end of its connection sends it once more, and the text may be over by then:
/// it must not be taken for a new one and run again.
#[derive(Default)]
pub struct RequestIds {
    known: BTreeMap<String, KnownId>,
    finished: VecDeque<(Instant, String)>,
}

impl RequestIds {
    pub fn insert(&mut self, id: String, text: TextId, fingerprint: u32, proven: bool) {
        self.known.insert(id, KnownId { text: Some(text), fingerprint, proven });
    }

    /// What an id stands for; nothing where it is new.
    pub fn get(&self, id: &str) -> Option<KnownId> {
        self.known.get(id).copied()
    }

    /// The text never came to be.
    pub fn remove(&mut self, id: &str) {
        self.known.remove(id);
    }

    pub fn mark_finished(&mut self, id: &str) {
        if let Some(known) = self.known.get_mut(id)
            && known.text.take().is_some()
        {
            self.finished.push_back((Instant::now(), id.to_owned()));
        }
    }

    /// Those that are over, for the process that takes this one's place: form, whether proven, and for how long.
    pub fn finished(&self) -> Vec<(String, u32, bool, f64)> {
        let finished = self.finished.iter().filter_map(|(since, id)| {
            let known = self.known.get(id).filter(|known| known.text.is_none())?;
            Some((id.clone(), known.fingerprint, known.proven, since.elapsed().as_secs_f64() * 1000.0))
        });
        finished.collect()
    }

    pub fn successor(left: Vec<(String, u32, bool, f64)>) -> RequestIds {
        let mut ids = RequestIds::default();
        let now = Instant::now();
        for (id, fingerprint, proven, ms) in left {
            let since = Duration::try_from_secs_f64(ms / 1000.0).ok().and_then(|ago| now.checked_sub(ago));
            ids.known.insert(id.clone(), KnownId { text: None, fingerprint, proven });
            ids.finished.push_back((since.unwrap_or(now), id));
        }
        ids
    }

    /// Forgets those that have been over for long, or that are too many.
    pub fn remove_expired(&mut self, after: Duration, most: usize) {
        while self.finished.front().is_some_and(|(since, _)| since.elapsed() > after)
            || self.finished.len() > most
        {
            let (_, id) = self.finished.pop_front().expect("looked at");
            // It may have been taken anew since.
            if self.known.get(&id).is_some_and(|known| known.text.is_none()) {
                self.known.remove(&id);
            }
        }
    }
}
