//! Orders to a control process, and their answers.
//!
//! Four lines, sealed as all others: the one who orders says a number, the process answers with a challenge that it drew for
//! this connection, the order and its answer bear both in their checksums. So an order that was recorded passes nowhere
//! again, an answer is to this order, and no line passes for one of a relay or an agent.

use crate::connection::Lines;
use indigomast_rollout::wire::{Secret, Way};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Of this form of orders.
pub const VERSION: u32 = 1;
/// What a process says before it knows the other: no more may be asked for by whoever doesn't know the key.
const FIRST: &str = "assignment order";

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Order {
    /// This process is the controller from here on.
    Promote {
        epoch: u32,
    },
    /// Who is there, where; null is gone.
    Members(Vec<(u32, Option<Place>)>),
    Put {
        destination: u32,
        weight: u32,
        body: String,
    },
    Remove {
        destination: u32,
    },
    Common {
        body: String,
    },
    Status,
    /// Who serves these.
    Owners {
        destinations: Vec<u32>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    pub region: u16,
    pub zone: u16,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct First {
    pub version: u32,
    pub number: u64,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Challenge {
    challenge: u64,
}

/// The first line of one who orders.
///
/// # Errors
///
/// It is none, or of another version.
pub(crate) fn open_first(secret: &Secret, line: &str) -> Result<First, String> {
    let first: First = secret.open(Way::ToAgent, FIRST, line)?;
    if first.version != VERSION {
        return Err(format!("version: {}, this is {VERSION}", first.version));
    }
    Ok(first)
}

/// The process's side of one connection: the answer to the first line, and the way to read the order and answer it.
pub(crate) struct OrderSession {
    secret: Secret,
    first: String,
    name: String,
    challenge: u64,
}

impl OrderSession {
    pub(crate) fn new(secret: &Secret, first: &First, challenge: u64) -> OrderSession {
        let number = first.number;
        OrderSession {
            secret: secret.clone(),
            first: format!("{FIRST} {number:016x}"),
            name: format!("{FIRST} {number:016x} {challenge:016x}"),
            challenge,
        }
    }

    pub(crate) fn challenge(&self) -> String {
        self.secret.seal(Way::FromAgent, &self.first, &Challenge { challenge: self.challenge })
    }

    pub(crate) fn open(&self, line: &str) -> Result<Order, String> {
        self.secret.open(Way::ToAgent, &self.name, line)
    }

    pub(crate) fn seal(&self, answer: &Value) -> String {
        self.secret.seal(Way::FromAgent, &self.name, answer)
    }
}

/// Says an order to the control process there; its answer, which may be that it is refused.
///
/// # Errors
///
/// Nobody is there, no answer comes in time, or it is from one who doesn't know the key. The order may have been carried
/// out all the same.
pub fn ask(to: SocketAddr, secret: &Secret, order: &Order, within: Duration) -> Result<Value, String> {
    let by = Instant::now() + within;
    let shown = |e: std::io::Error| format!("{to}: {e}");
    let stream = Arc::new(TcpStream::connect_timeout(&to, within).map_err(shown)?);
    _ = stream.set_nodelay(true);
    stream.set_write_timeout(Some(within)).map_err(shown)?;
    let mut lines = Lines::new(Arc::clone(&stream));
    let say = |line: String| (&*stream).write_all((line + "\n").as_bytes()).map_err(shown);
    let number: u64 = rand::random();
    say(secret.seal(Way::ToAgent, FIRST, &First { version: VERSION, number }))?;
    let line = lines.next(1024, Some(by)).map_err(shown)?;
    let first = format!("{FIRST} {number:016x}");
    let Challenge { challenge } =
        secret.open(Way::FromAgent, &first, &line).map_err(|e| format!("{to}: challenge: {e}"))?;
    let name = format!("{first} {challenge:016x}");
    say(secret.seal(Way::ToAgent, &name, order))?;
    let line = lines.next(1 << 24, Some(by)).map_err(shown)?;
    secret.open(Way::FromAgent, &name, &line).map_err(|e| format!("{to}: answer: {e}"))
}
