use super::*;

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
