//! A new configuration under load: discovery moves, and a class is added that keeps no order, without the
//! optional key `in-order`.

use crate::kit::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RECEIPT: &str = r#"{"deadline-ms":24000.0,"group":"all","in-order":true,"late-worth":0.5,"name":"receipt","objective-ms":3000.0,"repeat":"idempotency_key","stream":false,"window-ms":15000.0,"worth":1.0}"#;
/// As the platform writes a class that keeps no order: without the optional key `in-order`.
const STATUS: &str = r#"{"deadline-ms":24000.0,"group":"all","late-worth":0.5,"name":"status","objective-ms":3000.0,"repeat":"read_like","stream":false,"window-ms":5000.0,"worth":1.0}"#;
const STATUS_WITH_KEY: &str = r#"{"deadline-ms":24000.0,"group":"all","in-order":false,"late-worth":0.5,"name":"status","objective-ms":3000.0,"repeat":"read_like","stream":false,"window-ms":5000.0,"worth":1.0}"#;

/// The number of the gateway that answers late.
const SLOW: u64 = 3;
const LENGTH: Duration = Duration::from_secs(24);
const CHANGES_AT: Duration = Duration::from_secs(5);
/// The rule's 300 ms, the 50 ms of every limit on sockets, and as much again for a busy machine.
const LATE: Duration = Duration::from_millis(400);

#[derive(Default)]
struct Seen {
    /// When the time of each message that was taken on is up.
    taken: BTreeMap<String, Instant>,
    /// When its 200 was written.
    delivered: BTreeMap<String, Instant>,
    statuses: BTreeMap<String, BTreeMap<u16, usize>>,
}

pub fn play(record_at: &Path, log: &Path) -> i32 {
    let record = Record::open(record_at);
    let folder = Folder::new("2");
    let seen = Arc::new(Mutex::new(Seen::default()));
    let notices = Arc::default();
    let mut members = Vec::new();
    for cell in 0..4 {
        let (calls, answers) = (Arc::clone(&record), Arc::clone(&record));
        let delivered = Arc::clone(&seen);
        // Three gateways of usual pace, and one that answers late: what goes there ends by a notice.
        let pace = if cell == SLOW { 2000 } else { 120 };
        let endpoint = Endpoint::open(
            move |call| {
                calls.line(format!("s-{cell} call {:?}", call.ids));
                Reply::After(ms(pace), done(call))
            },
            move |call, _| {
                for (id, _) in &call.ids {
                    answers.line(format!("s-{cell} 200 {id}"));
                    delivered.lock().unwrap().delivered.entry(id.clone()).or_insert_with(Instant::now);
                }
            },
        );
        members.push(member(&format!("s-{cell}"), endpoint.address, cell, "national-carrier", "regina-1", "Ready"));
    }
    let old = Platform::open("old discovery", &record, 41, members.clone(), &notices);
    let new = Platform::open("new discovery", &record, 7, members.clone(), &notices);
    let listen = free_address();
    let file = |discovery, categories: &str| {
        let settings = Settings {
            listen,
            discovery,
            categories,
            kinds: "\"national-carrier\"",
            batch: "1",
            apart: "false",
            revision: 41,
            members: &members,
            slots: 8,
            memory_mb: 192,
            sockets: 1024,
        };
        settings.json()
    };
    write_config(&folder, &file(old.address, RECEIPT));
    let mut sender = Sender::start(&folder, listen, None, log);
    sender.is_up();
    record.line("the sender is up");

    let start = Instant::now();
    let mut changed = None;
    let mut clients = Vec::new();
    let mut count = 0;
    while start.elapsed() < LENGTH {
        if changed.is_none() && start.elapsed() >= CHANGES_AT {
            changed = Some(Instant::now());
            if trouble() {
                let added = if std::env::var("IN_ORDER").is_ok() { STATUS_WITH_KEY } else { STATUS };
                write_config(&folder, &file(new.address, &format!("{RECEIPT},{added}")));
                old.moves_away();
                record.line("SIGHUP");
                sender.signal(SIGHUP);
            }
        }
        count += 1;
        let named = changed.is_some_and(|at| trouble() && at.elapsed() >= ms(1200));
        let class = if named && count % 4 == 0 { "status" } else { "receipt" };
        let (dest, timeout_ms) = if count % 5 == 0 { (SLOW, 1000) } else { (count % 3, 4000) };
        let (record, seen) = (Arc::clone(&record), Arc::clone(&seen));
        clients.push(thread::spawn(move || client(count, class, (dest, timeout_ms), listen, &record, &seen)));
        thread::sleep(ms(100));
    }
    clients.into_iter().for_each(|client| _ = client.join());
    // The last message's time, and what a notice may take after it.
    thread::sleep(ms(4000) + ms(1500));

    let died = sender.has_ended();
    drop(sender);
    let seen = seen.lock().unwrap();
    let notices: std::sync::MutexGuard<BTreeMap<String, (Instant, String)>> = notices.lock().unwrap();
    let mut lost = Vec::new();
    for (id, until) in &seen.taken {
        let ended = [seen.delivered.get(id).copied(), notices.get(id).map(|(at, _)| *at)];
        let ended = ended.into_iter().flatten().min();
        if ended.is_none_or(|ended| ended > *until + LATE) {
            record.line(format!("lost {id}: {}", ended.map_or("no end at all", |_| "its end came too late")));
            lost.push(id);
        }
    }
    for (class, statuses) in &seen.statuses {
        record.say(format!("answers to {class}: {statuses:?}"));
    }
    record.say(format!(
        "taken on {}, delivered {}, ended by a notice {}, lost {}",
        seen.taken.len(),
        seen.delivered.len(),
        notices.len(),
        lost.len()
    ));
    if let Some(died) = died {
        record.say(format!("the sender ended by itself: {died}"));
    }
    if seen.taken.len() < 100 {
        cannot("too few messages were taken on");
    }
    i32::from(!lost.is_empty())
}

fn client(
    count: u64,
    class: &str,
    (dest, timeout_ms): (u64, u64),
    to: SocketAddr,
    record: &Record,
    seen: &Mutex<Seen>,
) {
    let id = format!("{class}-{count:04}");
    let (key, mark) = (format!("key-{count}"), format!("mark-{count}"));
    let hand_in = HandIn { class, id: &id, key: &key, mark: &mark, dest, timeout_ms, body: b"hello" };
    let until = Instant::now() + ms(timeout_ms);
    let status = ask(to, &hand_in.raw(), ms(400)).map_or(0, |answer| answer.status());
    record.line(format!("client {id} for {timeout_ms} ms: {status}"));
    let mut seen = seen.lock().unwrap();
    *seen.statuses.entry(class.to_owned()).or_default().entry(status).or_default() += 1;
    if matches!(status, 200 | 202) {
        seen.taken.insert(id, until);
    }
}
