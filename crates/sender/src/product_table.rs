//! Terms of products: what a product's name stood for when a text was taken on under it.
//!
//! Settings change while texts are at hand, and each text keeps the terms under which it was taken on, also in the next
//! life. So a text carries a reference, not a name: the name alone as long as a product has always had the same settings,
//! and the name with a number behind it once they changed. A reference never changes its meaning, nor does the index that
//! the decisions have of it; both are forgotten at a start at which no text has them.

use indigomast::api::{Product, ProductId, Repeat};
use indigomast::time::Span;
use indigomast_site::BootInfo;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Between a name and its number. No product's name has it: the name is one part of a path.
const MARK: char = '/';

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProductSettings {
    pub name: String,
    sla_ms: f64,
    /// Of a referenced product the memory, and whether only one zone has it.
    once_only: bool,
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

/// All terms that texts at hand may have, each at the index that the decisions know it by.
#[derive(Default)]
pub struct ProductTable {
    rows: Vec<(String, ProductSettings)>,
    /// Looked up with every text.
    index: BTreeMap<String, usize>,
}

impl ProductTable {
    pub fn new(rows: Vec<(String, ProductSettings)>) -> ProductTable {
        let index = rows.iter().enumerate().map(|(at, (reference, _))| (reference.clone(), at)).collect();
        ProductTable { rows, index }
    }

    /// Takes the products of settings that are put in force; the index of each, in their order.
    pub fn add_from(&mut self, info: &BootInfo) -> Vec<ProductId> {
        let products = info.decode().products;
        let taken = info.categories.iter().zip(&products).map(|(category, product)| {
            let settings = ProductSettings::of(&category.name, product);
            if let Some(at) = self.rows.iter().position(|(_, row)| *row == settings) {
                return ProductId(at);
            }
            let numbers = self.rows.iter().filter(|(_, row)| row.name == category.name);
            let last = numbers.filter_map(|(reference, _)| number(reference)).max();
            let reference = match last {
                Some(last) => format!("{}{MARK}{}", category.name, last + 1),
                None => category.name.clone(),
            };
            self.index.insert(reference.clone(), self.rows.len());
            self.rows.push((reference, settings));
            ProductId(self.rows.len() - 1)
        });
        taken.collect()
    }

    pub fn len(&self) -> usize {
        self.rows.len()
    }

    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    pub fn find(&self, reference: &str) -> Option<ProductId> {
        self.index.get(reference).copied().map(ProductId)
    }

    pub fn row(&self, at: ProductId) -> &(String, ProductSettings) {
        &self.rows[at.0]
    }

    pub fn rows(&self) -> &[(String, ProductSettings)] {
        &self.rows
    }

    /// As many as the table had at that length.
    pub fn truncate(&mut self, length: usize) {
        self.rows.truncate(length);
        self.index.retain(|_, at| *at < length);
    }

    /// What the decisions read, by index.
    pub fn products(&self) -> Vec<Product> {
        self.rows.iter().map(|(_, settings)| settings.product()).collect()
    }
}

fn number(reference: &str) -> Option<u64> {
    match reference.rsplit_once(MARK) {
        Some((_, number)) => number.parse().ok(),
        None => Some(1),
    }
}

/// The name of the product that a reference is of.
pub fn product_name(reference: &str) -> &str {
    reference.split(MARK).next().unwrap_or(reference)
}
