use super::*;
use crate::http;
use crate::limits::{Grant, Limits};
use crate::ring::Ring;

/// However long a wait is that is told, it is not over sooner.
#[test]
fn a_wait_is_as_long_as_it_was_told() {
    let limits = Limits::of(Grant::new(192, 1024, 3.0));
    for (told, millis) in [("0.25", 250.0), ("1", 1e3), ("3600.5", 3_600_500.0), ("86400", 86_400_000.0)] {
        let mut ring = Ring::default();
        ring.push(format!("HTTP/1.1 429 X\r\nRetry-After: {told}\r\nContent-Length: 0\r\n\r\n").as_bytes());
        let head = http::take_answer_head(&mut ring, &limits, &mut 0).expect("HTTP").expect("whole");
        assert_eq!(retry_after(&head), Some(Span::from_millis(millis)), "{told}");
    }
}
