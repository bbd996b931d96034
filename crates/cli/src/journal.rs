//! What a sender's journal owes, whether it is sound, and its compaction; of a sender that doesn't run.

use crate::{Done, Failure};
use clap::Subcommand;
use indigomast_sender::text_journal::{self, JournalContents, OutstandingText, Report};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum Command {
    /// List what is owed, a text a line; nothing is changed
    Inspect {
        /// The folder of the sender's state, or the journal in it
        folder: PathBuf,
        /// Print it as JSON
        #[arg(long)]
        json: bool,
    },
    /// Read all of it and say whether it is sound; nothing is changed
    Verify { folder: PathBuf },
    /// Write what is owed anew and give back the rest; a damaged journal is left as it is
    Compact { folder: PathBuf },
}

pub fn run(command: Command) -> Done {
    match command {
        Command::Inspect { folder, json } => inspect(&folder, json),
        Command::Verify { folder } => {
            let looked = look(&folder)?;
            println!("{}", summary(&looked));
            judge(&looked)
        }
        Command::Compact { folder } => {
            let (before, after) = text_journal::compact(&folder).map_err(|e| complaint(&folder, &e))?;
            println!("{before} bytes before, {after} after");
            Ok(())
        }
    }
}

fn complaint(folder: &Path, e: &std::io::Error) -> String {
    format!("{}: {e}", folder.display())
}

fn look(folder: &Path) -> Result<JournalContents, Failure> {
    Ok(text_journal::read_contents(folder).map_err(|e| complaint(folder, &e))?)
}

/// Damage is told on standard error, place by place.
fn judge(looked: &JournalContents) -> Done {
    let recovered = &looked.recovered;
    if let Some(torn) = recovered.torn {
        eprintln!(
            "segment {:016x}: {} bytes at its end are torn, as after a crash",
            torn.segment, torn.bytes
        );
    }
    let mut sound = looked.unreadable == 0 && !recovered.manifest_lost;
    for damage in &recovered.damage {
        sound = false;
        match damage.bytes {
            0 => eprintln!("segment {:016x}: missing", damage.segment),
            bytes => eprintln!(
                "segment {:016x}, offset {}: {bytes} bytes are damaged",
                damage.segment, damage.offset
            ),
        }
    }
    if recovered.manifest_lost {
        eprintln!("manifest: can't be read");
    }
    if looked.unreadable > 0 {
        eprintln!("{} sound records can't be read by this program", looked.unreadable);
    }
    if sound { Ok(()) } else { Err(Failure::Damaged) }
}

fn summary(looked: &JournalContents) -> String {
    let JournalContents { recovered, outstanding, used_bytes, live_bytes, .. } = looked;
    let reports = outstanding.values().filter(|owed| owed.report.is_some()).count();
    format!(
        "{} texts owed, {reports} of them only a report; {} records in {} segments, {used_bytes} bytes, {live_bytes} of them live; {} suspects",
        outstanding.len(),
        recovered.records,
        recovered.segments,
        recovered.suspects.len()
    )
}

fn state(owed: &OutstandingText) -> &'static str {
    match owed.report {
        Some(Report::Nacked { .. }) => "nacked",
        Some(Report::Undeliverable) => "undeliverable",
        None if owed.is_in_doubt() => "in doubt",
        None if owed.submits() > 0 => "never ran",
        None => "unsent",
    }
}

fn inspect(folder: &Path, as_json: bool) -> Done {
    let looked = look(folder)?;
    let is_suspect = |text: &usize| looked.recovered.suspects.iter().any(|key| key.0 == *text as u64);
    if as_json {
        let texts: Vec<Value> = looked
            .outstanding
            .iter()
            .map(|(text, owed)| {
                json!({"text": text, "id": owed.info.id, "product": owed.info.product, "dest": owed.info.dest,
                    "ordered": owed.info.key.is_some(), "submits": owed.submits(), "state": state(owed),
                    "taken_ms": owed.taken_ms(), "until_ms": owed.info.until_ms, "bytes": owed.body.len(),
                    "suspect": is_suspect(text)})
            })
            .collect();
        println!("{}", json!({"texts": texts, "used": looked.used_bytes, "live": looked.live_bytes}));
    } else {
        println!(
            "{:>10} {:<24} {:<12} {:>6} {:>7} {:<13} {:>15} {:>7}",
            "text", "id", "product", "dest", "submits", "state", "until (ms)", "bytes"
        );
        for (text, owed) in &looked.outstanding {
            println!(
                "{text:>10} {:<24} {:<12} {:>6} {:>7} {:<13} {:>15.0} {:>7}{}",
                owed.info.id,
                owed.info.product,
                owed.info.dest,
                owed.submits(),
                state(owed),
                owed.info.until_ms,
                owed.body.len(),
                if is_suspect(text) { "  suspect" } else { "" }
            );
        }
        println!("{}", summary(&looked));
    }
    judge(&looked)
}
