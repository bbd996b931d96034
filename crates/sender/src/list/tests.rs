use super::*;
use std::io::Read;
use std::net::TcpListener;

/// A watch that was replaced while it published or waited becomes idle only after its successor has a
/// connection. It must not clear the successor's connection.
#[test]
fn a_watch_that_was_replaced_leaves_its_successors_connection_alone() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let open = || Arc::new(TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens"));
    let accepted = || {
        let seen = listener.accept().expect("one came").0;
        seen.set_read_timeout(Some(Duration::from_secs(20))).expect("a time is set");
        seen
    };
    let mut running = WatchState { number: 0, stream: None, revision: None };
    let first = running.replace();
    running.stream = Some(open());
    let mut seen = accepted();
    let second = running.replace();
    assert!(matches!(seen.read(&mut [0]), Ok(0)), "the first one's connection is shut");
    // The watch thread holds the connection too and reads from it.
    let kept = open();
    running.stream = Some(Arc::clone(&kept));
    let mut seen = accepted();
    assert!(!running.mark_idle(first));
    let third = running.replace();
    assert!(matches!(seen.read(&mut [0]), Ok(0)), "so is the second one's, whatever the first did");
    assert!(!running.mark_idle(second) && running.mark_idle(third));
}
