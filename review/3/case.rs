//! A broken file: it would change the effect of a class, and is short of the key `group` that this effect has.

use crate::kit::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RECEIPT: &str = r#"{"deadline-ms":24000.0,"group":"all","in-order":true,"late-worth":0.5,"name":"receipt","objective-ms":3000.0,"repeat":"idempotency_key","stream":false,"window-ms":15000.0,"worth":1.0}"#;
/// May never run twice. The platform writes `group` and `window-ms` for each class.
const PAYMENT: &str = r#"{"deadline-ms":24000.0,"group":"all","late-worth":0.5,"name":"payment","objective-ms":3000.0,"repeat":"non_idempotent","stream":false,"window-ms":5000.0,"worth":5.0}"#;
/// Another effect, and short of `group`.
const BROKEN: &str = r#"{"deadline-ms":24000.0,"late-worth":0.5,"name":"payment","objective-ms":3000.0,"repeat":"idempotency_key","stream":false,"window-ms":15000.0,"worth":5.0}"#;
/// The same, but short of `deadline-ms` in its place, for comparison.
const OTHERWISE_BROKEN: &str = r#"{"group":"all","late-worth":0.5,"name":"payment","objective-ms":3000.0,"repeat":"idempotency_key","stream":false,"window-ms":15000.0,"worth":5.0}"#;

const LENGTH: Duration = Duration::from_secs(16);
const CHANGES_AT: Duration = Duration::from_secs(5);
/// The first call of one message in so many ends with 500.
const FAILS: u64 = 5;

/// How often each message was called. Each call may have run: it is answered with 200 or 500.
type Calls = BTreeMap<String, usize>;

pub fn play(record_at: &Path, log: &Path) -> i32 {
    let record = Record::open(record_at);
    let folder = Folder::new("3");
    let calls = Arc::new(Mutex::new(Calls::new()));
    let notices = Arc::default();
    let mut members = Vec::new();
    for cell in 0..3 {
        let (record, calls) = (Arc::clone(&record), Arc::clone(&calls));
        let endpoint = Endpoint::open(
            move |call| {
                let id = &call.ids[0].0;
                let number: u64 = id.rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(1);
                let mut calls = calls.lock().unwrap();
                let earlier = calls.entry(id.clone()).or_default();
                let fails = number % FAILS == 0 && *earlier == 0;
                *earlier += 1;
                record.line(format!("s-{cell} call {id}: {}", if fails { 500 } else { 200 }));
                Reply::After(ms(120), if fails { answer(500, "", "") } else { done(call) })
            },
            |_, _| {},
        );
        members.push(member(&format!("s-{cell}"), endpoint.address, cell, "main-desk", "regina-1", "Ready"));
    }
    let platform = Platform::open("discovery", &record, 41, members.clone(), &notices);
    let listen = free_address();
    let file = |categories: &str| {
        let settings = Settings {
            listen,
            discovery: platform.address,
            categories,
            kinds: "\"main-desk\"",
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
    write_config(&folder, &file(&format!("{RECEIPT},{PAYMENT}")));
    let mut sender = Sender::start(&folder, listen, None, log);
    sender.is_up();
    record.line("the sender is up");

    let start = Instant::now();
    let mut changed = false;
    let taken = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    let mut count = 0u64;
    while start.elapsed() < LENGTH {
        if !changed && start.elapsed() >= CHANGES_AT {
            changed = true;
            if trouble() {
                let broken = if std::env::var("OTHER_KEY").is_ok() { OTHERWISE_BROKEN } else { BROKEN };
                write_config(&folder, &file(&format!("{RECEIPT},{broken}")));
                record.line("SIGHUP, with a broken file");
                sender.signal(SIGHUP);
            }
        }
        count += 1;
        let class = if count % 2 == 0 { "payment" } else { "receipt" };
        let (record, taken) = (Arc::clone(&record), Arc::clone(&taken));
        clients.push(thread::spawn(move || client(count, class, listen, &record, &taken)));
        thread::sleep(ms(100));
    }
    clients.into_iter().for_each(|client| _ = client.join());
    thread::sleep(ms(7000));

    let died = sender.has_ended();
    drop(sender);
    let (calls, taken) = (calls.lock().unwrap(), taken.lock().unwrap());
    let payments: Vec<&String> = taken.iter().filter(|id| id.starts_with("payment")).collect();
    let mut twice = 0;
    for id in &payments {
        let count = calls.get(*id).copied().unwrap_or(0);
        if count > 1 {
            twice += 1;
            record.line(format!("{id} may never run twice and was sent {count} times; each may have run"));
        }
    }
    record.say(format!("taken on {}, payments among them {}, sent again {twice}", taken.len(), payments.len()));
    if let Some(died) = died {
        record.say(format!("the sender ended by itself: {died}"));
    }
    if payments.len() < 40 {
        cannot("too few payments were taken on");
    }
    i32::from(twice > 0)
}

fn client(count: u64, class: &str, to: SocketAddr, record: &Record, taken: &Mutex<Vec<String>>) {
    let id = format!("{class}-{count:04}");
    let key = if class == "receipt" { format!("key-{count}") } else { String::new() };
    let mark = if class == "receipt" { format!("mark-{count}") } else { String::new() };
    let hand_in = HandIn { class, id: &id, key: &key, mark: &mark, dest: count % 3, timeout_ms: 5000, body: b"hello" };
    let status = ask(to, &hand_in.raw(), ms(400)).map_or(0, |answer| answer.status());
    record.line(format!("client {id}: {status}"));
    if matches!(status, 200 | 202) {
        taken.lock().unwrap().push(id);
    }
}
