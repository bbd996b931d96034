//! The fleet that is designed for.

pub const SENDERS: f64 = 16_000.0;
pub const EVENTS_A_SECOND: f64 = 1_900_000.0;
pub const DESTINATIONS: f64 = 1_100_000.0;
/// Part of the destinations that is down at any time.
pub const DOWN: f64 = 0.011;
pub const BACKLOG: f64 = 230e9;
/// Texts of the backlog at one sender, were it spread evenly.
pub const BACKLOG_A_SENDER: f64 = BACKLOG / SENDERS;
/// On an ordinary day, and in a burst of a hundred times that.
pub const CHANGES_A_SECOND: f64 = 66_000.0 / 86_400.0;
pub const BURST_OF_CHANGES: f64 = 100.0 * CHANGES_A_SECOND;
