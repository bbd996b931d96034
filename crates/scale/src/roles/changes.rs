//! What changes of the list and of the settings cost a sender: told one by one, or by reading everything again.

use crate::hollow::{GRANT, Hollow, info, list_text, parse_list, settings, site, unbounded};
use crate::meter::Meter;
use crate::target;
use crate::{About, Reading, Role};
use indigomast::rng::Rng;
use indigomast::time::{Moment, Span};
use indigomast_sender::config::Config;
use serde_json::json;
use std::path::PathBuf;

/// As many as a sender's program admits today.
pub const LISTED: usize = 4096;
const SECONDS: f64 = 36.0;
/// Until the next question is there, and until its answer is back.
const ROUND_TRIP: f64 = 0.05;
/// In a fleet of more than ten the list is read whole this often.
const TURN: f64 = 9.0;

pub struct Changes;

impl Role for Changes {
    fn about(&self) -> About {
        About {
            name: "changes",
            unit: "changes a second",
            range: (0.1, 100.0),
            goal: target::BURST_OF_CHANGES,
            assumes: &[
                "a list of 4,096 entries; a change is of one entry by chance; 36 s",
                "told: a question that is held, answered as soon as something changed, 50 ms from question to question",
                "whole: the list in turns of 9 s, as in any fleet of more than ten; the settings' file at each change, with the \
             list in it",
            ],
        }
    }

    fn needs(&self, size: f64) -> f64 {
        100e6 + size * 1e4
    }

    fn measure(&self, size: f64, seed: u64, meter: &Meter) -> Result<Vec<Reading>, String> {
        let site = site(target::SENDERS as usize, 0);
        let limits = unbounded(&site)?;
        let whole = list_text(0, LISTED, 1, true);
        let mut hollow = Hollow::new(info(target::SENDERS as usize, 0).decode(), seed);
        hollow.listed(parse_list(&whole, &site, &limits)?);
        let begun = hollow.now;

        // Told of each change, with all others that came until the question was there.
        let mut chance = Rng::new(seed);
        let (mut bytes, mut answers, mut told, mut micros) = (0, 0, 0, 0.0);
        let mut asked: f64 = 0.0;
        let mut next = 1.0 / size;
        while next <= SECONDS {
            let answered = next.max(asked);
            let count = ((answered - next) * size) as usize + 1;
            next += count as f64 / size;
            told += count;
            let members: Vec<String> = (0..count)
                .map(|_| {
                    let at = (chance.next_f64() * LISTED as f64) as usize;
                    let one = list_text(at, at + 1, 0, false);
                    one[one.find('[').map_or(0, |from| from + 1)..one.len() - 2].to_owned()
                })
                .collect();
            let text =
                format!("{{\"revision\":{answers},\"complete\":false,\"members\":[{}]}}", members.join(","));
            hollow.now = hollow.now.max(begun + Span::from_millis(answered * 1000.0));
            let start = meter.mark();
            hollow.listed(parse_list(&text, &site, &limits)?);
            micros += meter.micros_since(start);
            bytes += text.len();
            answers += 1;
            asked = answered + ROUND_TRIP;
        }

        // Read whole, whatever has changed.
        let (mut turns, mut whole_micros) = (0, 0.0);
        while (turns as f64) * TURN < SECONDS {
            hollow.passes(Span::from_millis(TURN * 1000.0));
            let start = meter.mark();
            hollow.listed(parse_list(&whole, &site, &limits)?);
            whole_micros += meter.micros_since(start);
            turns += 1;
        }

        let file = file(LISTED);
        let start = meter.mark();
        let config = Config::parse(&file, PathBuf::from("."))?;
        let settings = meter.micros_since(start);
        if config.known.members.len() != LISTED || hollow.now <= Moment::from_millis(0.0) {
            return Err("the list was not taken".into());
        }
        Ok(vec![
            Reading::count("told: changes a second", told as f64 / SECONDS),
            Reading::count("told: answers a second", answers as f64 / SECONDS),
            Reading::count("told: bytes a second", bytes as f64 / SECONDS),
            Reading::count("list whole: bytes a second", (turns * whole.len()) as f64 / SECONDS),
            Reading::count("settings whole: bytes a second", file.len() as f64 * size),
            Reading::micros("told: micros a second", micros / SECONDS),
            Reading::each("list whole: micros a second", whole_micros / SECONDS),
            Reading::micros("settings whole: micros a second", settings * size),
        ])
    }
}

/// A sender's whole file, with a list of so many in it.
pub fn file(listed: usize) -> String {
    let (memory_mb, sockets, disk_mb) = GRANT;
    let known: serde_json::Value = serde_json::from_str(&list_text(0, listed, 1, true)).unwrap_or_default();
    json!({
        "name": "sender-0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "0000000000000001",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets, "disk_mb": disk_mb},
        "known": known,
        "settings": settings(target::SENDERS as usize, 0, 3),
    })
    .to_string()
}
