//! What is measured, a module each.

mod changes;
mod destinations;
mod outages;
mod owed;
mod products;
mod rollout;
mod senders;

use crate::Role;

/// All of them, in the order of the capacity page.
pub fn all() -> Vec<Box<dyn Role>> {
    vec![
        Box::new(destinations::Destinations),
        Box::new(outages::Outages),
        Box::new(owed::Owed),
        Box::new(senders::Senders),
        Box::new(changes::Changes),
        Box::new(products::Products),
        Box::new(rollout::Rollout),
    ]
}

/// # Errors
///
/// There is none of that name; which there are.
pub fn find(name: &str) -> Result<Box<dyn Role>, String> {
    among(all(), name)
}

/// # Errors
///
/// There is none of that name; which there are.
pub fn among(roles: Vec<Box<dyn Role>>, name: &str) -> Result<Box<dyn Role>, String> {
    let names: Vec<&str> = roles.iter().map(|role| role.name()).collect();
    let unknown = format!("--role: {name:?} is none of {}", names.join(", "));
    roles.into_iter().find(|role| role.name() == name).ok_or(unknown)
}
