//! Points in time and spans, kept apart by type so that one can't pass for the other.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Mul, Sub};

/// A point on the caller's clock, whose origin means nothing.
///
/// ```
/// use indigomast::time::{Moment, Span};
/// let start = Moment::from_millis(1000.0);
/// assert_eq!((start + Span::millis(250)).since(start), Span::millis(250));
/// assert_eq!(start.since(start + Span::millis(250)), Span::ZERO);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Moment(i64);

/// Long before anything that is told of.
impl Default for Moment {
    fn default() -> Moment {
        Moment(i64::MIN / 4)
    }
}

/// A length of time in whole microseconds, never below zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span(i64);

impl Moment {
    pub fn from_millis(millis: f64) -> Moment {
        Moment((millis * 1000.0).round() as i64)
    }

    pub fn as_millis(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// How long ago `earlier` was; nothing if it is still to come.
    pub fn since(self, earlier: Moment) -> Span {
        Span((self.0 - earlier.0).max(0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn millis(millis: i64) -> Span {
        Span(millis * 1000)
    }

    pub fn from_millis(millis: f64) -> Span {
        Span((millis * 1000.0).round().max(0.0) as i64)
    }

    pub fn as_millis(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// What is left of it without the other; nothing if that is longer.
    pub fn saturating_sub(self, other: Span) -> Span {
        Span((self.0 - other.0).max(0))
    }
}

impl Add<Span> for Moment {
    type Output = Moment;
    fn add(self, span: Span) -> Moment {
        Moment(self.0 + span.0)
    }
}

impl Sub<Span> for Moment {
    type Output = Moment;
    fn sub(self, span: Span) -> Moment {
        Moment(self.0 - span.0)
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0 + other.0)
    }
}

impl AddAssign<Span> for Moment {
    fn add_assign(&mut self, span: Span) {
        self.0 += span.0;
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor).round().max(0.0) as i64)
    }
}
