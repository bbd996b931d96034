//! How long a connection is waited for before another is tried.
//!
//! A call that has to open its connection waits for packets that may be lost or held up, where a second try would come up at
//! once. The time is estimated as RFC 6298 estimates when a segment is sent again: the smoothed time that connects take, and
//! four times their mean deviation.

use crate::time::Span;

/// Weights of the newest sample in the smoothed time and in the deviation (RFC 6298, section 2.3).
const SMOOTHED_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
const DEVIATIONS: f64 = 4.0;
/// Less would try again for the jitter of a busy machine.
const LEAST: Span = Span::millis(50);

/// What connects to one endpoint have taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectEstimate {
    /// Smoothed time and mean deviation in milliseconds; none before the first came up.
    estimate: Option<(f64, f64)>,
}

impl ConnectEstimate {
    /// A connection came up after so long.
    pub fn record_connect(&mut self, took: Span) {
        let took = took.as_millis();
        let (smoothed, deviation) = self.estimate.unwrap_or((took, took));
        let deviation = deviation + DEVIATION_WEIGHT * ((took - smoothed).abs() - deviation);
        self.estimate = Some((smoothed + SMOOTHED_WEIGHT * (took - smoothed), deviation));
    }

    /// After so long without a connection another is tried; none where nothing is known of the endpoint.
    pub fn second_attempt_delay(&self) -> Option<Span> {
        let (smoothed, deviation) = self.estimate?;
        Some(Span::from_millis(smoothed + DEVIATIONS * deviation).max(LEAST))
    }
}
