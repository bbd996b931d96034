//! Lines and what writes them, by themselves.

use crate::support::PATIENCE;
use indigomast_control_plane::connection::{Lines, Traffic, Writer};
use indigomast_control_plane::limits::Limits;
use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn pair() -> (Arc<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let near = TcpStream::connect(listener.local_addr().expect("bound")).expect("it listens");
    let (far, _) = listener.accept().expect("it came");
    far.set_read_timeout(Some(PATIENCE)).expect("a time is set");
    (Arc::new(near), far)
}

#[test]
fn lines_come_as_they_were_said_however_they_are_cut() {
    let (near, mut far) = pair();
    let mut lines = Lines::new(near);
    for piece in ["on", "e\ntwo\nthr", "ee\n", "rest"] {
        far.write_all(piece.as_bytes()).expect("written");
    }
    drop(far);
    for line in ["one", "two", "three"] {
        assert_eq!(lines.next(5, None).expect("a line"), line);
    }
    assert_eq!(lines.next(5, None).expect_err("no end").kind(), ErrorKind::UnexpectedEof);
    assert_eq!(lines.count(), 18);
}

#[test]
fn a_line_longer_than_it_may_be_is_refused_whether_or_not_it_ends() {
    for text in ["123456\n", "123456789"] {
        let (near, mut far) = pair();
        far.write_all(text.as_bytes()).expect("written");
        assert_eq!(Lines::new(near).next(5, None).expect_err(text).kind(), ErrorKind::InvalidData);
    }
}

#[test]
fn a_line_that_does_not_come_in_time_is_given_up() {
    let (near, _far) = pair();
    let by = Instant::now() + Duration::from_millis(30);
    assert_eq!(Lines::new(near).next(5, Some(by)).expect_err("none").kind(), ErrorKind::TimedOut);
}

#[test]
fn a_full_queue_ends_the_connection_and_whoever_says_a_line_never_waits() {
    let limits = Limits { queue: 4, write_within: Duration::from_secs(600), ..Limits::default() };
    let (near, mut far) = pair();
    let writer = Writer::start(near, &limits, Arc::<Traffic>::default()).expect("a thread");
    let line = "x".repeat(1 << 20);
    let mut said = 0;
    // Nobody reads: what the system holds, one line under way and four that wait.
    while writer.say(line.clone()) {
        said += 1;
        assert!(said < 200, "it never fills");
    }
    assert!(said >= 4);
    let mut rest = Vec::new();
    // Ended, though the writer alone would have waited for ten minutes.
    _ = far.read_to_end(&mut rest);
    assert!(rest.len() < (said + 1) * (line.len() + 1));
}

#[test]
fn a_write_that_gets_no_further_ends_the_connection() {
    let limits = Limits { write_within: Duration::from_millis(100), ..Limits::default() };
    let (near, _far) = pair();
    let mut lines = Lines::new(Arc::clone(&near));
    let writer = Writer::start(near, &limits, Arc::<Traffic>::default()).expect("a thread");
    (0..64).for_each(|_| _ = writer.say("x".repeat(1 << 20)));
    // Whoever reads that connection is told.
    assert!(lines.next(5, Some(Instant::now() + PATIENCE)).is_err_and(|e| e.kind() != ErrorKind::TimedOut));
}

#[test]
fn what_was_said_before_the_end_is_written_out() {
    let (near, mut far) = pair();
    let traffic = Arc::<Traffic>::default();
    let writer = Writer::start(near, &Limits::default(), Arc::clone(&traffic)).expect("a thread");
    assert!(writer.say("last words".into()));
    drop(writer);
    let mut all = String::new();
    far.read_to_string(&mut all).expect("text, and an end");
    assert_eq!((all.as_str(), traffic.get()), ("last words\n", [0, 11]));
}
