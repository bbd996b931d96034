//! What a controller and an agent say to each other, and how each knows that the other said it.
//!
//! A message is a line: a keyed checksum (HMAC-SHA-256, RFC 2104) in hex, a blank, JSON. The checksum is over who speaks to
//! whom as well, so that no line passes for one to another agent or for its own answer. What makes a line that was heard
//! before harmless is in the message: a question's number comes back with its answer, an order bears the agent's
//! last challenge.

use crate::agent::{Order, Refusal, Status};
use crate::compare::Counts;
use crate::plan::{Unheard, hex};
use hmac::{Hmac, KeyInit, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// A line is no longer than this.
pub const LONGEST: usize = 64 << 10;
/// A key has so many bytes at the least.
pub const KEY: usize = 16;

/// What a controller says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Say {
    /// How does it stand? The epoch binds from now on.
    Look {
        number: u64,
        epoch: u64,
        change: Change,
    },
    Order {
        number: u64,
        order: Order,
    },
}

/// What a change is about, as far as an agent has to know.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Of the plan.
    pub digest: String,
    pub program: Option<String>,
    pub settings: Option<String>,
    /// Of both files, as the controller has them; where it has them.
    #[serde(default)]
    pub program_digest: Option<String>,
    #[serde(default)]
    pub settings_digest: Option<String>,
    pub unheard: Unheard,
    pub unheard_ms: f64,
    pub start_ms: f64,
    pub restarts: usize,
}

/// What an agent answers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Answer {
    Stands { number: u64, challenge: u64, told: Box<Told> },
    Obeys { number: u64, id: u64 },
    Refused { number: u64, refused: Refused },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Told {
    pub status: Status,
    /// What the program that runs says of itself.
    pub version: String,
    pub counts: Option<Counts>,
    /// The last thing that went wrong on that machine.
    pub trouble: String,
}

/// [`Refusal`] as it goes over the wire.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refused {
    /// A controller of this epoch has spoken since.
    Epoch(u64),
    /// Another change is under way there.
    Change(String),
    Other(String),
}

impl From<Refusal> for Refused {
    fn from(refusal: Refusal) -> Refused {
        match refusal {
            Refusal::Epoch(epoch) => Refused::Epoch(epoch),
            other => Refused::Other(format!("{other:?}")),
        }
    }
}

/// Which way a line goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    ToAgent,
    FromAgent,
}

/// What both sides know and nobody else.
#[derive(Clone)]
pub struct Secret(Vec<u8>);

impl Secret {
    /// # Errors
    ///
    /// The file has too few bytes.
    pub fn new(bytes: &[u8]) -> Result<Secret, String> {
        let bytes = bytes.trim_ascii();
        if bytes.len() < KEY {
            return Err(format!("a key has {KEY} bytes or more, this has {}", bytes.len()));
        }
        Ok(Secret(bytes.to_vec()))
    }

    fn sum(&self, way: Way, agent: &str, body: &str) -> Hmac<Sha256> {
        let mut sum = Hmac::<Sha256>::new_from_slice(&self.0).expect("a key of any length will do");
        let way = match way {
            Way::ToAgent => "to",
            Way::FromAgent => "from",
        };
        // Lengths keep one name's end from passing for another's beginning.
        sum.update(format!("indigomast 1 {way} {}:{agent} ", agent.len()).as_bytes());
        sum.update(body.as_bytes());
        sum
    }

    /// A line, without its end, from or to the agent of this name.
    pub fn seal(&self, way: Way, agent: &str, message: &impl Serialize) -> String {
        let body = serde_json::to_string(message).expect("plain data");
        let sum = self.sum(way, agent, &body).finalize().into_bytes();
        format!("{} {body}", hex(&sum))
    }

    /// # Errors
    ///
    /// What is wrong with the line: its form, its checksum, or the field that can't be read.
    pub fn open<T: DeserializeOwned>(&self, way: Way, agent: &str, line: &str) -> Result<T, String> {
        let (sum, body) = line.trim_end().split_once(' ').ok_or("no checksum")?;
        let bytes = unhex(sum).ok_or("the checksum is no hex")?;
        let known = self.sum(way, agent, body);
        known
            .verify_slice(&bytes)
            .map_err(|_| "the checksum is another: not from one who knows the key, or changed")?;
        serde_json::from_str(body).map_err(|e| e.to_string())
    }
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len() / 2).map(|at| u8::from_str_radix(&text[2 * at..2 * at + 2], 16).ok()).collect()
}
