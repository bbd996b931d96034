//! Points in time and time spans, as separate types so that they cannot be confused.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Mul, Sub};

/// A point in time on the caller's clock, in whole microseconds since an arbitrary origin.
///
/// ```
/// use indigomast::time::{Moment, Span};
/// let start = Moment::from_millis(1000.0);
/// assert_eq!((start + Span::millis(250)).since(start), Span::millis(250));
/// assert_eq!(start.since(start + Span::millis(250)), Span::ZERO);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Moment(i64);

/// Earlier than any event that a caller reports.
impl Default for Moment {
    fn default() -> Moment {
        Moment(i64::MIN / 4)
    }
}

/// A length of time in whole microseconds, never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Span(i64);

impl Moment {
    /// Converts from milliseconds since the origin, rounded to the nearest microsecond.
    pub fn from_millis(millis: f64) -> Moment {
        Moment((millis * 1000.0).round() as i64)
    }

    /// Returns the milliseconds since the origin.
    pub fn as_millis(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub fn since(self, earlier: Moment) -> Span {
        Span((self.0 - earlier.0).max(0))
    }
}

impl Span {
    /// The empty span.
    pub const ZERO: Span = Span(0);

    /// Creates a span of whole milliseconds.
    pub const fn millis(millis: i64) -> Span {
        Span(millis * 1000)
    }

    /// Converts from milliseconds, rounded to the nearest microsecond; negative values become zero.
    pub fn from_millis(millis: f64) -> Span {
        Span((millis * 1000.0).round().max(0.0) as i64)
    }

    /// Returns the span in milliseconds.
    pub fn as_millis(self) -> f64 {
        self.0 as f64 / 1000.0
    }

    /// Returns the span in seconds.
    pub fn as_secs(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Subtracts `other`, or returns zero if `other` is longer.
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
