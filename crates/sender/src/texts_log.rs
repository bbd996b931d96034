//! The log of the format before the journal, `texts.log`: read once, at the first start with a journal.
//!
//! A record is its length and checksum, then a line of JSON and, for a text taken on, its body. All that is behind the
//! first record that isn't whole was never promised to be readable, and is dropped.

use crate::log;
use crate::text_journal::{JournaledSubmits, Report, TextInfo};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fs;
use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;

const NAME: &str = "texts.log";
/// A file half written when a process ended.
const NEXT: &str = "texts.next";
const FRAME: usize = 8;

#[derive(Deserialize)]
enum Record {
    Taken { text: usize, info: TextInfo },
    Submitted { text: usize, at_ms: f64, zone: String },
    NeverRan { text: usize, submit: usize },
    Sent { text: usize, sent: JournaledSubmits },
    Ended { text: usize, report: Option<Report> },
    Reported { text: usize },
}

/// A text that is owed still.
pub(crate) struct Carried {
    pub info: TextInfo,
    pub body: Arc<[u8]>,
    pub report: Option<Report>,
    pub sent: JournaledSubmits,
}

/// The record at the front and how long it is; `None` where it is torn, or where there is none.
fn unframe(bytes: &[u8]) -> Option<(Record, &[u8], usize)> {
    let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (length, sum) = (word(0)? as usize, word(4)?);
    let payload = bytes.get(FRAME..FRAME.checked_add(length)?)?;
    if crc32fast::hash(payload) != sum {
        return None;
    }
    let line = payload.iter().position(|b| *b == b'\n')?;
    let record = serde_json::from_slice(&payload[..line]).ok()?;
    Some((record, &payload[line + 1..], FRAME + length))
}

/// What the log owes, in the order in which it was taken on; `None` where there is no log.
pub(crate) fn read(folder: &Path) -> io::Result<Option<Vec<Carried>>> {
    let bytes = match fs::read(folder.join(NAME)) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        read => read?,
    };
    let mut owed: BTreeMap<usize, Carried> = BTreeMap::new();
    let mut at = 0;
    while let Some((record, body, length)) = unframe(&bytes[at..]) {
        at += length;
        match record {
            Record::Taken { text, info } => {
                let carried =
                    Carried { info, body: body.into(), report: None, sent: JournaledSubmits::default() };
                owed.insert(text, carried);
            }
            Record::Submitted { text, at_ms, zone } => {
                if let Some(owed) = owed.get_mut(&text) {
                    owed.sent.submitted(owed.sent.submits, at_ms, zone);
                }
            }
            Record::NeverRan { text, submit } => {
                owed.get_mut(&text).into_iter().for_each(|owed| owed.sent.never_ran(submit));
            }
            Record::Sent { text, sent } => {
                owed.get_mut(&text).into_iter().for_each(|owed| owed.sent = sent.clone());
            }
            Record::Ended { text, report: Some(report) } => {
                if let Some(owed) = owed.get_mut(&text) {
                    (owed.report, owed.body) = (Some(report), Arc::default());
                }
            }
            Record::Ended { text, report: None } | Record::Reported { text } => _ = owed.remove(&text),
        }
    }
    if at < bytes.len() {
        log!("{NAME} ends in a torn record: {} bytes dropped", bytes.len() - at);
    }
    Ok(Some(owed.into_values().collect()))
}

/// Once all of it is in the journal.
pub(crate) fn remove(folder: &Path) -> io::Result<()> {
    for name in [NEXT, NAME] {
        match fs::remove_file(folder.join(name)) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
    }
    Ok(())
}
