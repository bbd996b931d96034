//! What a fleet did, second by second and by cause, from the logs of senders that ran with `ROUTER_ACCOUNT` set.

use crate::Done;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::path::Path;

/// Counts by cause within each span.
#[derive(Default)]
struct Account {
    spans: BTreeMap<u64, BTreeMap<String, usize>>,
    /// By destination: what came of the submits and texts there.
    dests: BTreeMap<String, BTreeMap<String, usize>>,
    unread: usize,
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    line.split(' ').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
}

impl Account {
    /// Takes one sender's log: lines of `SECONDS indigomastd: WHAT key=value ...`, others are passed over.
    fn read(&mut self, log: &str, span: f64) {
        let mut dest_of = BTreeMap::new();
        for line in log.lines() {
            let Some((at, rest)) = line.split_once(" indigomastd: ") else { continue };
            let what = rest.split(' ').next().unwrap_or_default();
            let Ok(at) = at.parse::<f64>() else {
                self.unread += 1;
                continue;
            };
            let endpoint = field(rest, "endpoint").unwrap_or_default();
            let (cause, dest) = match what {
                "listed" => {
                    dest_of.insert(endpoint.to_owned(), field(rest, "dest").unwrap_or_default().to_owned());
                    continue;
                }
                // A line of the same name for staff comes beside it, with a reason.
                "nacked" | "undeliverable" if field(rest, "left").is_none() => continue,
                "outcome" => {
                    let verdict = field(rest, "verdict").unwrap_or("?");
                    let told = field(rest, "wait").is_some_and(|wait| wait != "0");
                    let cause = if told { format!("{verdict}+wait") } else { verdict.to_owned() };
                    (cause, dest_of.get(endpoint).cloned())
                }
                "submit" | "connects" => (what.to_owned(), dest_of.get(endpoint).cloned()),
                "asked" if field(rest, "told") == Some("-1") => ("asked in vain".to_owned(), None),
                "turned-away" => {
                    let why = field(rest, "why").unwrap_or("?");
                    (format!("turned away: {why}"), field(rest, "dest").map(str::to_owned))
                }
                "taken" | "resumed" | "nacked" | "undeliverable" | "asked" => {
                    (what.to_owned(), field(rest, "dest").map(str::to_owned))
                }
                _ => continue,
            };
            let bucket = (at / span).floor() as u64;
            *self.spans.entry(bucket).or_default().entry(cause.clone()).or_default() += 1;
            if let Some(dest) = dest {
                *self.dests.entry(dest).or_default().entry(cause).or_default() += 1;
            }
        }
    }

    /// A line a span and a line a destination: causes and how often.
    fn report(&self, span: f64) -> String {
        let row = |counts: &BTreeMap<String, usize>| {
            counts.iter().map(|(cause, count)| format!("{cause} {count}")).collect::<Vec<_>>().join(", ")
        };
        let mut report = String::new();
        for (bucket, counts) in &self.spans {
            _ = writeln!(report, "{:.1} s: {}", *bucket as f64 * span, row(counts));
        }
        for (dest, counts) in &self.dests {
            _ = writeln!(report, "destination {dest}: {}", row(counts));
        }
        if self.unread > 0 {
            _ = writeln!(report, "{} lines without a time", self.unread);
        }
        report
    }
}

/// # Errors
///
/// Which file or folder can't be read, or that no fact stands in any.
pub fn run(folder: &Path, span: f64) -> Done {
    if !(span.is_finite() && span > 0.0) {
        return Err(format!("--span: {span} is not over 0").into());
    }
    let complain = |e: std::io::Error| format!("{}: {e}", folder.display());
    let mut account = Account::default();
    for entry in fs::read_dir(folder).map_err(complain)? {
        let path = entry.map_err(complain)?.path();
        if path.is_file() {
            let bytes = fs::read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
            account.read(&String::from_utf8_lossy(&bytes), span);
        }
    }
    if account.spans.is_empty() {
        return Err(format!("{}: no facts; was ROUTER_ACCOUNT set?", folder.display()).into());
    }
    print!("{}", account.report(span));
    Ok(())
}

#[cfg(test)]
mod tests;
