//! Measures the cost of a text in the journal: it is accepted, submitted once and ended, and each step is
//! flushed before the next. Reports the time per text, the slowest flush, the recovery time, and the bytes on
//! disk and in memory.
//!
//! Run with `cargo bench -p indigomast-sender --bench owed`; it writes to a folder under the target
//! directory. Texts have 212 bytes. Once all are held, each round ends the oldest and accepts another.
//! Arguments give the numbers of held texts.

use indigomast::time::Moment;
use indigomast_sender::limits::{Grant, Limits};
use indigomast_sender::text_journal::{TextInfo, TextJournal};
use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::time::Instant;

fn folder() -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("owed-{}", std::process::id()));
    _ = std::fs::remove_dir_all(&path);
    std::fs::create_dir_all(&path).expect("a folder");
    path
}

/// Enough memory, and the disk space that this many texts need plus half of it in reserve.
fn limits(texts: usize) -> Limits {
    let disk_mb = (texts as f64 * 2200.0 / 1e6).max(3.0);
    let limits = Limits::of(Grant::new(4 << 20, 1024, disk_mb));
    Limits { texts: 2 * texts, ..limits }
}

fn info(at: usize) -> TextInfo {
    TextInfo {
        id: format!("text-{at:012}"),
        mark: Some(format!("mark-{at:012}")),
        product: "receipt".into(),
        key: Some(format!("key-{:08}", at % 1000)),
        dest: (at % 50) as u64,
        until_ms: 2e12,
    }
}

fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok()).unwrap_or(0) * 1024
}

fn used(folder: &Path) -> u64 {
    let entries = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let size = |entry: std::fs::DirEntry| match entry.metadata() {
        Ok(data) if data.is_dir() => used(&entry.path()),
        Ok(data) => data.len(),
        Err(_) => 0,
    };
    entries.map(size).sum()
}

fn measure(texts: usize) {
    let (path, limits, now) = (folder(), limits(texts), Moment::from_millis(1e12));
    let before = resident();
    let mut journal = TextJournal::open(&path, &limits, now).expect("opens");
    let mut held = VecDeque::new();
    for at in 0..texts {
        held.push_back(journal.accept(info(at), vec![7; 212].into(), now).expect("room"));
        if at % 50 == 0 {
            journal.flush().expect("written");
        }
    }
    let memory = resident().saturating_sub(before) / texts as u64;
    let rounds = (2 * texts).clamp(20_000, 1_000_000);
    let mut times = Vec::with_capacity(3 * rounds);
    let began = Instant::now();
    for round in 0..rounds {
        let mut timed = |journal: &mut TextJournal, work: &mut dyn FnMut(&mut TextJournal)| {
            let began = Instant::now();
            work(journal);
            journal.flush().expect("written");
            times.push(began.elapsed().as_secs_f64() * 1e6);
        };
        let text = *held.back().expect("many");
        timed(&mut journal, &mut |journal| journal.record_submit(text, now, "zone-a"));
        let oldest = held.pop_front().expect("many");
        timed(&mut journal, &mut |journal| journal.record_end(oldest, None));
        timed(&mut journal, &mut |journal| {
            held.push_back(journal.accept(info(texts + round), vec![7; 212].into(), now).expect("room"));
        });
    }
    let each = began.elapsed().as_secs_f64() * 1e6 / rounds as f64;
    let disk = used(&path) / texts as u64;
    drop(journal);
    let began = Instant::now();
    let journal = TextJournal::open(&path, &limits, now).expect("opens");
    let recovery = began.elapsed().as_secs_f64() * 1e3;
    assert_eq!(journal.outstanding().len(), texts);
    times.sort_by(f64::total_cmp);
    let (p99, longest) = (times[times.len() * 99 / 100], times[times.len() - 1]);
    println!("{texts:>9} {each:>10.1} {p99:>8.1} {longest:>11.1} {recovery:>12.1} {disk:>10} {memory:>10}");
    _ = std::fs::remove_dir_all(path);
}

fn main() {
    println!(
        "{:>9} {:>10} {:>8} {:>11} {:>12} {:>10} {:>10}",
        "held", "us a text", "p99 us", "longest us", "recovery ms", "disk each", "mem each"
    );
    let asked: Vec<usize> = std::env::args().filter_map(|argument| argument.parse().ok()).collect();
    let sizes = if asked.is_empty() { vec![1_000, 10_000, 100_000, 1_000_000] } else { asked };
    sizes.into_iter().for_each(measure);
}
