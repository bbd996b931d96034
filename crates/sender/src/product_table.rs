//! Product settings by version: what a product's name meant when a text was accepted under it.
//!
//! Settings change while texts are unfinished, and each text keeps the settings under which it was accepted, also after a
//! restart. So a text carries a reference instead of a name: the name alone for the first version of a product's settings,
//! and the name with a number for each later version. Neither the meaning of a reference nor its index in the rules ever
//! changes; both are dropped at a start at which no text uses them.

use indigomast::api::{Product, ProductId, Repeat};
use indigomast::time::Span;
use indigomast_site::BootInfo;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Separates the name from the version number. No product's name contains it, since a name is one segment of a path.
const VERSION_SEPARATOR: char = '/';

/// One version of a product's settings, as stored in the journal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProductSettings {
    pub name: String,
    sla_ms: f64,
    once_only: bool,
    /// Only of a referenced product: how long receivers remember a text, in milliseconds, and whether that memory is shared
    /// within one zone only.
    memory: Option<(f64, bool)>,
    in_order: bool,
    submits: usize,
}

impl ProductSettings {
    fn of(name: &str, product: &Product) -> ProductSettings {
        ProductSettings {
            name: name.to_owned(),
            sla_ms: product.sla_time.as_millis(),
            once_only: product.repeat == Repeat::OnceOnly,
            memory: match product.repeat {
                Repeat::Referenced { memory, one_zone } => Some((memory.as_millis(), one_zone)),
                Repeat::Resendable | Repeat::OnceOnly => None,
            },
            in_order: product.in_order,
            submits: product.max_submits,
        }
    }

    fn product(&self) -> Product {
        Product {
            sla_time: Span::from_millis(self.sla_ms),
            repeat: match self.memory {
                Some((ms, one_zone)) => Repeat::Referenced { memory: Span::from_millis(ms), one_zone },
                None if self.once_only => Repeat::OnceOnly,
                None => Repeat::Resendable,
            },
            in_order: self.in_order,
            max_submits: self.submits,
        }
    }
}

/// All product settings that unfinished texts may have, each at the index that the rules use.
#[derive(Default)]
pub struct ProductTable {
    rows: Vec<(String, ProductSettings)>,
    /// Row by reference; looked up for every text.
    index: BTreeMap<String, usize>,
}

impl ProductTable {
    /// A table with these references and settings, in the order of their indices.
    pub fn new(rows: Vec<(String, ProductSettings)>) -> ProductTable {
        let index = rows.iter().enumerate().map(|(at, (reference, _))| (reference.clone(), at)).collect();
        ProductTable { rows, index }
    }

    /// Adds the products of new settings where they differ from all rows; returns the index of each, in their order.
    pub fn add_from(&mut self, info: &BootInfo) -> Vec<ProductId> {
        let products = info.decode().products;
        let ids = info.categories.iter().zip(&products).map(|(category, product)| {
            let settings = ProductSettings::of(&category.name, product);
            if let Some(at) = self.rows.iter().position(|(_, row)| *row == settings) {
                return ProductId(at);
            }
            let versions = self.rows.iter().filter(|(_, row)| row.name == category.name);
            let last = versions.filter_map(|(reference, _)| version(reference)).max();
            let reference = match last {
                Some(last) => format!("{}{VERSION_SEPARATOR}{}", category.name, last + 1),
                None => category.name.clone(),
            };
            self.index.insert(reference.clone(), self.rows.len());
            self.rows.push((reference, settings));
            ProductId(self.rows.len() - 1)
        });
        ids.collect()
    }

    /// The number of rows.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether there are no rows.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The index of a reference.
    pub fn find(&self, reference: &str) -> Option<ProductId> {
        self.index.get(reference).copied().map(ProductId)
    }

    /// The reference and settings at an index.
    pub fn row(&self, at: ProductId) -> &(String, ProductSettings) {
        &self.rows[at.0]
    }

    /// All references and settings, by index.
    pub fn rows(&self) -> &[(String, ProductSettings)] {
        &self.rows
    }

    /// Removes all rows after the first `length`.
    pub fn truncate(&mut self, length: usize) {
        self.rows.truncate(length);
        self.index.retain(|_, at| *at < length);
    }

    /// The products as the rules take them, by index.
    pub fn products(&self) -> Vec<Product> {
        self.rows.iter().map(|(_, settings)| settings.product()).collect()
    }
}

fn version(reference: &str) -> Option<u64> {
    match reference.rsplit_once(VERSION_SEPARATOR) {
        Some((_, version)) => version.parse().ok(),
        None => Some(1),
    }
}

/// The product name in a reference.
pub fn product_name(reference: &str) -> &str {
    reference.split(VERSION_SEPARATOR).next().unwrap_or(reference)
}
