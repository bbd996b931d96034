//! What a process takes on at the most; every queue, line and wait is bounded by one of these.

use std::time::Duration;

/// The bounds of one process.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of a first line. The longest is that of a relay which names 2,048 keys to be told anew.
    pub first_line: usize,
    /// Bytes of any later line between controller, relay and agent; frames have 48 KiB at the most.
    pub line: usize,
    /// Bytes of an order: 16,000 senders in one list of members take some 640 KB.
    pub order: usize,
    /// Connections that came in, those that have said nothing yet included.
    pub connections: usize,
    /// Orders under way at once.
    pub orders: usize,
    /// Words that wait for the actor. Whoever has one more waits, and reads nothing more meanwhile.
    pub mailbox: usize,
    /// Lines that wait for a connection. One more ends it: its subscriber comes again and is told what changed.
    pub queue: usize,
    /// For a first line to come whole.
    pub first_line_within: Duration,
    /// A write that gets no further for so long ends the connection.
    pub write_within: Duration,
    /// For a connection to come up.
    pub connect_within: Duration,
    /// For an order to be on the disk and answered.
    pub answer_within: Duration,
    /// A relay's copy is written this long after it has changed; a controller's at once.
    pub lazily: Duration,
    /// Connections of daemons and of whoever looks at `/status`.
    pub http_connections: usize,
    /// A daemon's connection that says nothing for so long is closed.
    pub http_idle: Duration,
    /// Bytes of a report.
    pub http_body: usize,
    /// A part waits so long at the most until it is what the controller said at one position, which a burst can hold up; then
    /// it is shown as it is, each destination by itself no older than it was. Long enough for what a first load adds to a part
    /// to pass by its budget (12.7 KB), short of the 10 s in which a change is to be in force.
    pub settle: Duration,
    /// The same of the first part there is, before which a daemon goes on with what it knows.
    pub settle_first: Duration,
    /// For a connection to whoever takes notices, and again for the answer. Both together end within the second that a
    /// daemon waits: what it sends again it has not been told was taken.
    pub report_within: Duration,
    /// The longest that a watch is held.
    pub hold: Duration,
    /// Members that have gone and are remembered, so that a watch tells of them; beyond, the whole list is told.
    pub gone: usize,
    /// Of a thread that reads, writes, connects or waits.
    pub stack: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            first_line: 96 << 10,
            line: 64 << 10,
            order: 1 << 20,
            connections: 2048,
            orders: 64,
            mailbox: 4096,
            queue: 1024,
            first_line_within: Duration::from_secs(5),
            write_within: Duration::from_secs(10),
            connect_within: Duration::from_millis(1500),
            answer_within: Duration::from_secs(15),
            lazily: Duration::from_millis(1000),
            http_connections: 64,
            http_idle: Duration::from_secs(90),
            http_body: 1 << 20,
            settle: Duration::from_secs(6),
            settle_first: Duration::from_secs(30),
            report_within: Duration::from_millis(400),
            hold: Duration::from_secs(60),
            gone: 4096,
            stack: 256 << 10,
        }
    }
}
