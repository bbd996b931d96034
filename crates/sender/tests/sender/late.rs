//! An endpoint to which connections come up only once a test says so.

use rustix::net::listen;
use serde_json::{Value, json};
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// An address that takes no connection yet: a first one fills its backlog, and packets of others are dropped.
pub struct Late {
    listener: TcpListener,
    fills: TcpStream,
}

impl Late {
    pub fn open() -> Late {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listen(&listener, 0).expect("it listens");
        let fills = TcpStream::connect(listener.local_addr().expect("bound")).expect("there is room for one");
        Late { listener, fills }
    }

    pub fn member(&self, name: &str, dest: u64, phase: &str) -> Value {
        let mut listed = json!({"id": name, "locality": "a", "flavor": "k", "cell": dest, "phase": phase,
            "size": 1.0, "up_since_ms": 0});
        listed["host_port"] = json!(self.listener.local_addr().expect("bound").to_string());
        listed
    }

    /// Takes connections from now on, and says whether a call comes on one within this time.
    pub fn sees_a_call(self, within: Duration) -> bool {
        drop(self.fills);
        self.listener.set_nonblocking(true).expect("a mode is set");
        let (by, mut open) = (Instant::now() + within, Vec::new());
        while Instant::now() < by {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(true).expect("a mode is set");
                open.push(stream);
            }
            if open.iter_mut().any(|stream: &mut TcpStream| matches!(stream.read(&mut [0]), Ok(1))) {
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }
}
