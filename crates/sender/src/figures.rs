//! What operators read of a sender: how its texts ended by product, and how it stands now.
//!
//! Each count is made in one place, where the thing happens. Reading them waits for nobody.

use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use crate::counters::Counter;

/// How the texts of one product ended, since the start of the process.
#[derive(Debug, Default)]
pub struct Ends {
    pub answered: Counter,
    /// Nacked, also on arrival.
    pub deferred: Counter,
    /// Undeliverable.
    pub errored: Counter,
    /// Delivered, by how long that took from taking on: bin `n` holds those under 2 to the power of `n / 2` milliseconds.
    took: [Counter; BINS],
}

/// The last bin is for all that took longer.
pub const BINS: usize = 32;

impl Ends {
    pub fn delivered(&self, took_ms: f64) {
        self.answered.add(1);
        let bin = (took_ms.max(1.0).log2() * 2.0).floor() as usize + 1;
        self.took[bin.min(BINS - 1)].add(1);
    }
}

#[derive(Debug, Default)]
pub struct Figures {
    /// By name; a product that is dropped keeps its counts.
    products: Mutex<BTreeMap<String, Arc<Ends>>>,
    /// Texts written whole to endpoints.
    pub sends: Counter,
    pub loaded: Counter,
    pub invalid: Counter,
    /// Texts taken on whose end is owed or not yet told.
    current: AtomicU64,
    /// Of the configuration in force.
    revision: AtomicU64,
    listed: AtomicU64,
    avoided: AtomicU64,
}

impl Figures {
    /// The counts of a product, the same ones whenever it is asked for.
    pub fn product(&self, name: &str) -> Arc<Ends> {
        let mut products = self.products.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(products.entry(name.to_owned()).or_default())
    }

    pub fn is_at(&self, revision: u32) {
        self.revision.store(revision.into(), Ordering::Relaxed);
    }

    pub fn revision(&self) -> u32 {
        self.revision.load(Ordering::Relaxed) as u32
    }

    /// Counts by product, for those who compare senders with one another.
    pub fn by_product(&self) -> serde_json::Value {
        let products = self.products.lock().unwrap_or_else(PoisonError::into_inner);
        let rows = products.iter().map(|(name, ends)| {
            let took: Vec<u64> = ends.took.iter().map(Counter::value).collect();
            let counts = json!({
                "delivered": ends.answered.value(),
                "nacked": ends.deferred.value(),
                "undeliverable": ends.errored.value(),
                "took": took,
            });
            (name.clone(), counts)
        });
        serde_json::Value::Object(rows.collect())
    }

    pub fn holds(&self, texts: usize) {
        self.current.store(texts as u64, Ordering::Relaxed);
    }

    /// How many endpoints the list names, and how many of them get nothing new now.
    pub fn sees(&self, listed: usize, avoided: usize) {
        self.listed.store(listed as u64, Ordering::Relaxed);
        self.avoided.store(avoided as u64, Ordering::Relaxed);
    }

    /// A name and a number a line.
    pub fn lines(&self) -> String {
        let mut lines = String::new();
        let mut put = |name: &str, value: u64| _ = writeln!(lines, "sender.{name}={value}");
        for (name, ends) in &*self.products.lock().unwrap_or_else(PoisonError::into_inner) {
            put(&format!("answered.{name}"), ends.answered.value());
            put(&format!("deferred.{name}"), ends.deferred.value());
            put(&format!("errored.{name}"), ends.errored.value());
        }
        put("sends", self.sends.value());
        put("current", self.current.load(Ordering::Relaxed));
        put("cluster_size", self.listed.load(Ordering::Relaxed));
        put("cluster_unhealthy", self.avoided.load(Ordering::Relaxed));
        put("conf_loaded", self.loaded.value());
        put("conf_invalid", self.invalid.value());
        lines
    }
}
