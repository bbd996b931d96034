//! Reads `texts.log`, the format that preceded the journal, once: at the first start with a journal.
//!
//! A record is its length and checksum, then a line of JSON and, for an accepted text, its body. Everything
//! after the first incomplete record was never confirmed as durable and is dropped.

use crate::log;
use crate::text_journal::{JournaledSubmits, Report, TextInfo};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fs;
use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;

/// The log's file name.
const NAME: &str = "texts.log";
/// A replacement file left incomplete when a process ended.
const TEMP_NAME: &str = "texts.next";
/// Bytes of the length and checksum before each record.
const HEADER_BYTES: usize = 8;

#[derive(Deserialize)]
enum Record {
    Taken { text: usize, info: TextInfo },
    Submitted { text: usize, at_ms: f64, zone: String },
    NeverRan { text: usize, submit: usize },
    Sent { text: usize, sent: JournaledSubmits },
    Ended { text: usize, report: Option<Report> },
    Reported { text: usize },
}

/// An outstanding text of the log.
pub(crate) struct ImportedText {
    pub info: TextInfo,
    pub body: Arc<[u8]>,
    pub report: Option<Report>,
    pub sent: JournaledSubmits,
}

/// The first record, its body and its length; `None` if it is torn or there is none.
fn parse_record(bytes: &[u8]) -> Option<(Record, &[u8], usize)> {
    let word = |at: usize| Some(u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?));
    let (length, sum) = (word(0)? as usize, word(4)?);
    let payload = bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)?;
    if crc32fast::hash(payload) != sum {
        return None;
    }
    let line = payload.iter().position(|b| *b == b'\n')?;
    let record = serde_json::from_slice(&payload[..line]).ok()?;
    Some((record, &payload[line + 1..], HEADER_BYTES + length))
}

/// The outstanding texts in the order of their acceptance; `None` if there is no log.
pub(crate) fn read(folder: &Path) -> io::Result<Option<Vec<ImportedText>>> {
    let bytes = match fs::read(folder.join(NAME)) {
        Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
        read => read?,
    };
    let mut owed: BTreeMap<usize, ImportedText> = BTreeMap::new();
    let mut at = 0;
    while let Some((record, body, length)) = parse_record(&bytes[at..]) {
        at += length;
        match record {
            Record::Taken { text, info } => {
                let imported =
                    ImportedText { info, body: body.into(), report: None, sent: JournaledSubmits::default() };
                owed.insert(text, imported);
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

/// Removes the log. Call only once all of it is in the journal.
pub(crate) fn remove(folder: &Path) -> io::Result<()> {
    for name in [TEMP_NAME, NAME] {
        match fs::remove_file(folder.join(name)) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
    }
    Ok(())
}
