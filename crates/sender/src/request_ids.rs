//! The request ids under which clients handed in their texts. Ids of finished texts are kept for some time.

use indigomast::api::TextId;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// What is known of a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownId {
    /// `None` once the text is finished.
    pub text: Option<TextId>,
    /// A checksum of all that is passed on. Another checksum under the same id means another text.
    pub fingerprint: u32,
    /// The client had handed in texts on the same connection before.
    pub proven: bool,
}

/// Request ids of unfinished and recently finished texts. A client whose connection closed while it sent a request retries
/// it, and the text may be finished by then; it must not be taken for a new text and run again.
#[derive(Default)]
pub struct RequestIds {
    known: BTreeMap<String, KnownId>,
    finished: VecDeque<(Instant, String)>,
}

impl RequestIds {
    /// Records the id of an accepted text.
    pub fn insert(&mut self, id: String, text: TextId, fingerprint: u32, proven: bool) {
        self.known.insert(id, KnownId { text: Some(text), fingerprint, proven });
    }

    /// What is known of an id; `None` if it is new.
    pub fn get(&self, id: &str) -> Option<KnownId> {
        self.known.get(id).copied()
    }

    /// Removes the id of a text that was withdrawn or not accepted.
    pub fn remove(&mut self, id: &str) {
        self.known.remove(id);
    }

    /// Marks the text of an id as finished; the id is kept until [`RequestIds::remove_expired`] drops it.
    pub fn mark_finished(&mut self, id: &str) {
        if let Some(known) = self.known.get_mut(id)
            && known.text.take().is_some()
        {
            self.finished.push_back((Instant::now(), id.to_owned()));
        }
    }

    /// Ids of finished texts for a successor process, each with its fingerprint, whether it is proven, and the milliseconds
    /// since the end.
    pub fn finished(&self) -> Vec<(String, u32, bool, f64)> {
        let finished = self.finished.iter().filter_map(|(since, id)| {
            let known = self.known.get(id).filter(|known| known.text.is_none())?;
            Some((id.clone(), known.fingerprint, known.proven, since.elapsed().as_secs_f64() * 1000.0))
        });
        finished.collect()
    }

    /// Restores what [`RequestIds::finished`] returned in the previous process.
    pub fn successor(finished: Vec<(String, u32, bool, f64)>) -> RequestIds {
        let mut ids = RequestIds::default();
        let now = Instant::now();
        for (id, fingerprint, proven, ms) in finished {
            let since = Duration::try_from_secs_f64(ms / 1000.0).ok().and_then(|ago| now.checked_sub(ago));
            ids.known.insert(id.clone(), KnownId { text: None, fingerprint, proven });
            ids.finished.push_back((since.unwrap_or(now), id));
        }
        ids
    }

    /// Removes ids of texts that finished longer ago than `after`, and the oldest ones beyond `max_finished`.
    pub fn remove_expired(&mut self, after: Duration, max_finished: usize) {
        while self.finished.front().is_some_and(|(since, _)| since.elapsed() > after)
            || self.finished.len() > max_finished
        {
            let (_, id) = self.finished.pop_front().expect("front was checked");
            // The id may have been accepted again since.
            if self.known.get(&id).is_some_and(|known| known.text.is_none()) {
                self.known.remove(&id);
            }
        }
    }
}
