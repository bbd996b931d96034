//! Answers that nobody asked for: a second copy of an earlier one, or a refusal, written at a moment that a test chooses.

use crate::common::*;

const DELIVERED: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Guards against a log that can't tell which call met which bytes on which connection.
#[test]
fn what_came_back_is_logged_with_its_call_and_its_connection() {
    let (endpoint, discovery, folder) = (Host::open(), Host::open(), Folder::new());
    let config = config(&[member("e0", &endpoint, 0, "Ready")], discovery.address);
    let mut command = command(&config, &folder);
    command.env("ROUTER_LOG", "debug");
    let daemon = Daemon::start_by(command);
    assert_eq!(daemon.hand_in("free", "t0", 0), 202);
    endpoint.next().answer(DELIVERED.repeat(2));
    let has = |line: String, words: &[&str]| {
        words.iter().for_each(|word| assert!(line.contains(word), "{word:?} in {line:?}"));
    };
    has(daemon.line_with("call left"), &["ids=t0 ", "connection=1 ", "calls=1"]);
    has(daemon.line_with(": answer"), &["ids=t0 ", "connection=1 ", "status=200 ", "bytes=0 ", "after_ms="]);
    has(daemon.line_with("bytes that nobody asked for"), &["connection=1 ", "when=behind an answer "]);
    has(daemon.line_with("connection closed"), &["connection=1 ", "calls=1 ", "reason="]);
    has(daemon.line_with("call ended"), &["id=t0 ", "reason=Delivered"]);
    daemon.counts("unasked", 1);
    daemon.counts("endpoint_connections", 1);
}
