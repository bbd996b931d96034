//! What an endpoint's answer says of the texts of its call.

use crate::http::AnswerHead;
use indigomast::api::{Allowance, Verdict};
use indigomast::time::Span;
use std::collections::BTreeMap;

/// What an answer says of a text.
pub struct Answered {
    pub verdict: Verdict,
    /// The answer may have been another call's.
    pub in_doubt: bool,
    pub retry_after: Option<Span>,
    pub ended: bool,
    pub allowance: Option<Allowance>,
}

impl From<Verdict> for Answered {
    fn from(verdict: Verdict) -> Answered {
        Answered { verdict, in_doubt: false, retry_after: None, ended: false, allowance: None }
    }
}

/// More seconds than any process lives, which points in time can still hold.
const LONGEST_TOLD: f64 = 1e9;

pub fn retry_after(head: &AnswerHead) -> Option<Span> {
    let seconds: f64 = head.headers.get("retry-after")?.parse().ok()?;
    (seconds.is_finite() && seconds > 0.0).then(|| Span::from_millis(seconds.min(LONGEST_TOLD) * 1000.0))
}

/// What the receiver tells of its limit; what can't be read is as good as not told.
fn allowance(head: &AnswerHead) -> Option<Allowance> {
    let mut found = Allowance { remaining_share: 0.0, calls_per_sec: f64::NAN };
    let sane = |value: &f64| (0.0..=1e6).contains(value);
    for (name, value) in head.headers.get("x-server-load")?.split(',').filter_map(|f| f.split_once('=')) {
        let value = value.trim().parse::<f64>().ok().filter(sane)?;
        match name.trim() {
            "x0" => found.remaining_share = value,
            "x1" => found.calls_per_sec = value,
            _ => {}
        }
    }
    (!found.calls_per_sec.is_nan()).then_some(found)
}

/// How each text ended, by its id, as an answer says that names them.
pub type Ends = BTreeMap<String, String>;

/// The ends that the body of an answer names; lines that name none are passed over.
pub fn read_ends(body: &[u8]) -> Ends {
    let lines = String::from_utf8_lossy(body);
    let pairs = lines.lines().filter_map(|line| line.trim().split_once(' '));
    pairs.map(|(id, end)| (id.to_owned(), end.trim().to_owned())).collect()
}

pub fn read_status(head: &AnswerHead) -> Answered {
    let (verdict, ended) = match head.status {
        200 => (Verdict::Delivered, true),
        503 if head.headers.get("x-no-slot") == Some("1") => (Verdict::Moot, false),
        429 | 503 => (Verdict::Full, false),
        504 => (Verdict::Moot, false),
        410 => (Verdict::Moot, true),
        // Nobody promised that anything else means it never ran.
        _ => (Verdict::Error, false),
    };
    let retry_after = retry_after(head).filter(|_| verdict == Verdict::Full);
    Answered { verdict, in_doubt: false, retry_after, ended, allowance: allowance(head) }
}

/// What is left of an answer that may have been written to another call: it may have run, however it was turned away, but
/// the endpoint has no room, and a wait that was told is heeded.
pub fn in_doubt(answered: Answered) -> Answered {
    match answered.verdict {
        Verdict::Full => Answered { in_doubt: true, ..answered },
        _ => Verdict::Error.into(),
    }
}

pub fn read_end(end: Option<&str>, head: &AnswerHead) -> Answered {
    let (verdict, ended) = match end {
        Some("done") => (Verdict::Delivered, true),
        Some("busy") => (Verdict::Full, false),
        Some("void") => (Verdict::Moot, true),
        Some("used_up") => (Verdict::Moot, false),
        _ => (Verdict::Error, false),
    };
    Answered { verdict, in_doubt: false, retry_after: retry_after(head), ended, allowance: allowance(head) }
}

#[cfg(test)]
mod tests;
