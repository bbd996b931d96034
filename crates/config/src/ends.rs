//! Who is told how texts ended, in an installation of one's own: a program that takes requests, or a file of lines.
//!
//! The promise is the platform's: an end is told until it was heard, and the text's key waits for that. An end may be
//! told twice, after an answer that was lost.

use indigomast_sender::notices::{HttpPoster, Notice, ReportResponse, Reporter};
use indigomast_sender::text_journal::Report;
use serde_json::json;
use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;

/// One object: `id`, `end` and, where the text may be handed in again, `again_ms`.
fn line(notice: &Notice) -> String {
    let line = match notice.report {
        Report::Undeliverable => json!({"id": notice.id, "end": "undeliverable"}),
        Report::Nacked { again_ms: None } => json!({"id": notice.id, "end": "nacked"}),
        Report::Nacked { again_ms: Some(again_ms) } => {
            json!({"id": notice.id, "end": "nacked", "again_ms": again_ms.ceil() as u64})
        }
    };
    format!("{line}\n")
}

/// Posts the lines; any status from 200 to 299 says that they were heard.
pub struct Callback {
    pub address: SocketAddr,
    pub path: String,
    pub post: HttpPoster,
}

impl Reporter for Callback {
    fn report(&mut self, batch: &[Notice]) -> Result<ReportResponse, String> {
        let body: String = batch.iter().map(line).collect();
        match self.post.post(self.address, &self.path, &body)? {
            200..=299 => Ok(ReportResponse::Accepted),
            // Whatever it finds fault with: an end that is owed is not dropped.
            other => Err(format!("{} answered with {other}", self.address)),
        }
    }
}

/// Appends the lines to a file, which is opened anew each time, so that it may be moved away.
pub struct ToFile {
    pub path: PathBuf,
}

impl Reporter for ToFile {
    fn report(&mut self, batch: &[Notice]) -> Result<ReportResponse, String> {
        let told = |e: std::io::Error| format!("{}: {e}", self.path.display());
        let mut file = OpenOptions::new().create(true).append(true).open(&self.path).map_err(told)?;
        let length = file.metadata().map_err(told)?.len();
        let lines: String = batch.iter().map(line).collect();
        let written = file.write_all(lines.as_bytes()).and_then(|()| file.sync_data());
        if written.is_err() {
            // Half a line would spoil the first of those that come again.
            _ = file.set_len(length);
        }
        written.map(|()| ReportResponse::Accepted).map_err(told)
    }
}

#[cfg(test)]
mod tests;
