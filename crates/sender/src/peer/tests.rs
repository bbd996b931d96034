use super::*;
use crate::limits::Grant;
use crate::ring::Ring;

/// Guards against a connection that is forgotten because its peer had no time: it would rest on, and never be asked
/// again to make room.
#[test]
fn a_connection_whose_peer_has_no_time_can_be_asked_again() {
    let resting = Resting::default();
    let (peer, asks) = bounded(1);
    peer.send(Ask::CloseIdle).expect("there is room for one");
    resting.lock().insert((Instant::now(), EndpointId(0), 7), peer);
    assert!(!resting.make_room(), "its mailbox is full");
    assert!(matches!(asks.try_recv(), Ok(Ask::CloseIdle)));
    assert!(resting.make_room());
    assert!(matches!(asks.try_recv(), Ok(Ask::MakeRoom(7))));
    assert!(!resting.make_room(), "there is no other");
}

/// However long a wait is that is told, it is not over sooner.
#[test]
fn a_wait_is_as_long_as_it_was_told() {
    let limits = Limits::of(Grant::new(192, 1024, 3.0));
    for (told, millis) in [("0.25", 250.0), ("1", 1e3), ("3600.5", 3_600_500.0), ("86400", 86_400_000.0)] {
        let mut ring = Ring::default();
        ring.push(format!("HTTP/1.1 429 X\r\nRetry-After: {told}\r\nContent-Length: 0\r\n\r\n").as_bytes());
        let head = http::take_answer_head(&mut ring, &limits, &mut 0).expect("HTTP").expect("whole");
        assert_eq!(told_wait(&head), Some(Span::from_millis(millis)), "{told}");
    }
}
