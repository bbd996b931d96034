//! Estimates how long a connection attempt usually takes, and with it when a second attempt is started in
//! parallel.
//!
//! A call that has to open its connection waits for handshake packets that may be lost or delayed, while a
//! second attempt may succeed at once. The delay is estimated as RFC 6298 estimates the retransmission
//! timeout: the smoothed connect time plus four times its mean deviation.

use crate::time::Span;

/// Weight of the newest sample in the smoothed connect time (RFC 6298, section 2.3).
const SMOOTHED_WEIGHT: f64 = 0.125;
/// Weight of the newest sample in the mean deviation (RFC 6298, section 2.3).
const DEVIATION_WEIGHT: f64 = 0.25;
const DEVIATIONS: f64 = 4.0;
/// With a shorter delay, the scheduling jitter of a busy machine would trigger second attempts.
const MIN_DELAY: Span = Span::millis(50);

/// Estimate of the connect time to one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectEstimate {
    /// Smoothed connect time and mean deviation in milliseconds; `None` before the first successful connect.
    estimate: Option<(f64, f64)>,
}

impl ConnectEstimate {
    /// Records a successful connect that took `took`.
    pub fn record_connect(&mut self, took: Span) {
        let took = took.as_millis();
        let (smoothed, deviation) = self.estimate.unwrap_or((took, took));
        let deviation = deviation + DEVIATION_WEIGHT * ((took - smoothed).abs() - deviation);
        self.estimate = Some((smoothed + SMOOTHED_WEIGHT * (took - smoothed), deviation));
    }

    /// Returns the time without a connection after which a second attempt is started; `None` before the first
    /// successful connect.
    pub fn second_attempt_delay(&self) -> Option<Span> {
        let (smoothed, deviation) = self.estimate?;
        Some(Span::from_millis(smoothed + DEVIATIONS * deviation).max(MIN_DELAY))
    }
}
