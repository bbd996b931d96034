//! Tests when a second connection attempt is started, given the connect times so far.

use indigomast::connect_estimate::ConnectEstimate;
use indigomast::time::Span;

fn delay_after(samples: impl IntoIterator<Item = i64>) -> f64 {
    let mut estimate = ConnectEstimate::default();
    samples.into_iter().for_each(|took| estimate.record_connect(Span::millis(took)));
    estimate.second_attempt_delay().expect("a connect is recorded").as_millis()
}

#[test]
fn nothing_is_tried_again_before_a_connection_came_up() {
    assert_eq!(ConnectEstimate::default().second_attempt_delay(), None);
}

#[test]
fn a_second_try_comes_once_a_connect_is_out_of_the_ordinary() {
    let even = delay_after([60; 40]);
    assert!((60.0..90.0).contains(&even), "{even}");
    let jittered = delay_after((0..40).map(|n| 40 + n % 5 * 20));
    assert!((120.0..260.0).contains(&jittered), "{jittered}");
}

#[test]
fn a_second_try_is_not_a_matter_of_a_moment() {
    assert_eq!(delay_after([0; 40]), 50.0);
}

/// Guards against an endpoint that has become slow and is sent two connection attempts per call from then on.
#[test]
fn an_endpoint_that_grew_slow_is_waited_for() {
    let grown = delay_after([30; 40].into_iter().chain([300; 8]));
    assert!(grown > 300.0, "{grown}");
}
