//! The memory of a real process while clients flood it with requests that it turns away.

use crate::common::*;
use indigomast_sender::limits::{Grant, Limits};
use serde_json::{Value, json};
use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MEBIBYTE: u64 = 1 << 20;
/// Under the longest body that is taken on, so that a length alone refuses none.
const FLOOD_BODY: usize = 65_000;
const USUAL_BODY: usize = 30_000;
const USUAL_CLIENTS: usize = 15;
const USUAL_PAUSE: Duration = Duration::from_millis(100);
const FLOOD_CLIENTS: usize = 200;
const FLOOD_TIME: Duration = Duration::from_millis(1200);
const FILE_BLOCK: u64 = 512;
/// What a sender takes with nobody at it, its program's pages included: more than any that was seen.
const AT_REST: u64 = 10 * MEBIBYTE;
/// How long a flooding client waits for its answer before it comes again.
const FLOOD_PATIENCE: Duration = Duration::from_secs(3);
const SAMPLE_EVERY: Duration = Duration::from_millis(2);

static NEXT_ID: AtomicUsize = AtomicUsize::new(0);

/// What a flooding client sends, again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flood {
    UnknownDestination,
    UnknownClass,
    NoId,
    DeadlineNoNumber,
    KnownIdWithOtherBody,
    StopsInTheBody,
    TricklesItsBody,
    EndlessHead,
    TooLongBody,
    BodyOfAQuestion,
    LongHeadOfAQuestion,
    ManyInOnePiece,
    AnswersUnread,
    GoodTexts,
}

const FLOODS: [Flood; 14] = [
    Flood::UnknownDestination,
    Flood::UnknownClass,
    Flood::NoId,
    Flood::DeadlineNoNumber,
    Flood::KnownIdWithOtherBody,
    Flood::StopsInTheBody,
    Flood::TricklesItsBody,
    Flood::EndlessHead,
    Flood::TooLongBody,
    Flood::BodyOfAQuestion,
    Flood::LongHeadOfAQuestion,
    Flood::ManyInOnePiece,
    Flood::AnswersUnread,
    Flood::GoodTexts,
];

impl Flood {
    /// One connection: what it sends, and its wait for an answer or an end.
    fn connects(self, to: SocketAddr, client: usize) -> Option<()> {
        let mut stream = TcpStream::connect_timeout(&to, FLOOD_PATIENCE).ok()?;
        stream.set_read_timeout(Some(FLOOD_PATIENCE)).ok()?;
        stream.set_write_timeout(Some(FLOOD_PATIENCE)).ok()?;
        let body = vec![b'x'; FLOOD_BODY];
        let id = format!("flood-{client}");
        let whole = text("free", &id, 0, "k", &body);
        let without = |line: &str, other: &str| replaced(&whole, line, other);
        match self {
            Flood::UnknownDestination => stream.write_all(&text("free", &id, 99, "k", &body)).ok()?,
            Flood::UnknownClass => stream.write_all(&text("nosuch", &id, 0, "k", &body)).ok()?,
            Flood::NoId => {
                stream.write_all(&without(&format!("X-Request-ID: {id}\r\n"), "")).ok()?;
            }
            Flood::DeadlineNoNumber => {
                stream.write_all(&without("X-Timeout-Ms: 20000", "X-Timeout-Ms: soon")).ok()?;
            }
            Flood::KnownIdWithOtherBody => stream.write_all(&text("once", "known", 0, "k", &body)).ok()?,
            Flood::StopsInTheBody => stream.write_all(&whole[..whole.len() - 100]).ok()?,
            Flood::TricklesItsBody => {
                stream.write_all(&whole[..whole.len() - 100]).ok()?;
                whole[whole.len() - 100..].iter().try_for_each(|byte| {
                    thread::sleep(Duration::from_millis(50));
                    stream.write_all(&[*byte]).ok()
                })?;
            }
            Flood::EndlessHead => {
                stream.write_all(b"POST /free HTTP/1.1\r\n").ok()?;
                let line = format!("X-More: {}\r\n", "x".repeat(1000));
                (0..100).try_for_each(|_| stream.write_all(line.as_bytes()).ok())?;
            }
            Flood::TooLongBody => {
                let length = format!("Content-Length: {FLOOD_BODY}");
                stream.write_all(&without(&length, "Content-Length: 60000000")).ok()?;
                (0..8).try_for_each(|_| stream.write_all(&body).ok())?;
            }
            Flood::GoodTexts => {
                let id = format!("good-{client}-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed));
                stream.write_all(&text("free", &id, 0, "k", &body)).ok()?;
            }
            Flood::BodyOfAQuestion => stream.write_all(&without("POST /free", "GET /up")).ok()?,
            Flood::LongHeadOfAQuestion => {
                let line = format!("X-Long: {}\r\n", "x".repeat(7000));
                let head = format!("GET /up HTTP/1.1\r\n{line}Content-Length: {FLOOD_BODY}\r\n\r\n");
                stream.write_all(head.as_bytes()).ok()?;
                stream.write_all(&body[..FLOOD_BODY / 2]).ok()?;
            }
            Flood::ManyInOnePiece => stream.write_all(&whole.repeat(4)).ok()?,
            Flood::AnswersUnread => {
                let questions = b"GET /counters HTTP/1.1\r\n\r\n".repeat(300);
                (0..20).try_for_each(|_| stream.write_all(&questions).ok())?;
            }
        }
        if self == Flood::AnswersUnread {
            thread::sleep(Duration::from_millis(300));
        }
        _ = stream.read(&mut [0; 512]);
        _ = stream.shutdown(Shutdown::Both);
        Some(())
    }
}

fn replaced(raw: &[u8], from: &str, to: &str) -> Vec<u8> {
    let at = raw.windows(from.len()).position(|part| part == from.as_bytes()).expect("it is there");
    [&raw[..at], to.as_bytes(), &raw[at + from.len()..]].concat()
}

/// Bytes of the files in a folder, each in whole blocks.
fn file_bytes(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let sizes = entries.map(|entry| match entry.metadata() {
        Ok(metadata) if metadata.is_dir() => file_bytes(&entry.path()),
        Ok(metadata) => metadata.len().next_multiple_of(FILE_BLOCK),
        // It was removed meanwhile.
        Err(_) => 0,
    });
    sizes.sum()
}

/// Bytes of a process that are its own, and those of its program's pages.
#[derive(Clone, Copy, Default)]
struct Resident {
    own: u64,
    program: u64,
}

impl Resident {
    /// All zero once the process is over.
    fn of(daemon: &Daemon) -> Resident {
        let status = fs::read_to_string(format!("/proc/{}/status", daemon.id())).unwrap_or_default();
        let bytes = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let kibibytes = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok());
            kibibytes.unwrap_or(0) << 10
        };
        Resident { own: bytes("RssAnon:") + bytes("RssShmem:"), program: bytes("RssFile:") }
    }

    /// Of a sender of these processes, which share their program's pages.
    fn of_all(daemons: &[&Daemon]) -> u64 {
        let all = daemons.iter().map(|daemon| Resident::of(daemon));
        let both = all.fold(Resident::default(), |sum, one| Resident {
            own: sum.own + one.own,
            program: sum.program.max(one.program),
        });
        both.own + both.program
    }
}

/// A sender that is flooded.
struct World {
    config: Value,
    folder: Folder,
    _discovery: Host,
}

impl World {
    fn new(memory_mb: u64, disk_mb: f64) -> World {
        let (discovery, endpoint, folder) = (Host::open(), Host::open(), Folder::new());
        let mut config = config(&[member("e0", &endpoint, 0, "Ready")], discovery.address);
        config["limits"]["memory_mb"] = json!(memory_mb);
        config["limits"]["disk_mb"] = json!(disk_mb);
        config["settings"]["ceilings"]["most-held"] = json!(500);
        thread::spawn(move || {
            while let Some(visit) = endpoint.next_within(PATIENCE) {
                visit.status(200);
            }
        });
        World { config, folder, _discovery: discovery }
    }
}

/// What became of the usual clients' messages.
#[derive(Default)]
struct Usual {
    handed_in: AtomicUsize,
    taken_on: AtomicUsize,
}

impl Usual {
    fn client(&self, client: usize, to: SocketAddr, over: &AtomicBool) {
        for number in 0.. {
            if over.load(Ordering::Relaxed) {
                return;
            }
            let raw = text("free", &format!("u{client}-{number}"), 0, "k", &[b'x'; USUAL_BODY]);
            self.handed_in.fetch_add(1, Ordering::Relaxed);
            let asked = Client::try_at(to).and_then(|mut client| {
                client.stream.set_read_timeout(Some(FLOOD_PATIENCE)).ok()?;
                client.try_ask(&raw)
            });
            if asked == Some(202) {
                self.taken_on.fetch_add(1, Ordering::Relaxed);
            }
            thread::sleep(USUAL_PAUSE);
        }
    }
}

/// Floods an address while `work` goes on, beside the usual clients.
fn flood<T>(to: SocketAddr, kinds: &[Flood], usual: &Usual, work: impl FnOnce() -> T) -> T {
    let over = AtomicBool::new(false);
    thread::scope(|scope| {
        let _ends = Ends(&over);
        let over = &over;
        for client in 0..USUAL_CLIENTS {
            scope.spawn(move || usual.client(client, to, over));
        }
        for client in 0..FLOOD_CLIENTS {
            let kind = kinds[client % kinds.len()];
            scope.spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    kind.connects(to, client);
                }
            });
        }
        work()
    })
}

/// Ends a flood, also where its work panics.
struct Ends<'a>(&'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// The most that a sender's processes have in a time, the files in its folder included: they count as memory.
fn peak(daemons: &[&Daemon], folder: &Folder, time: Duration) -> u64 {
    let began = Instant::now();
    let mut peak = 0;
    while began.elapsed() < time {
        peak = peak.max(Resident::of_all(daemons) + file_bytes(&folder.state()));
        thread::sleep(SAMPLE_EVERY);
    }
    peak
}

/// Guards against requests that are held beyond the memory that is granted: clients whose requests are turned away, in
/// whatever way, took a sender of 32 MB to 47 MB.
#[test]
fn no_flood_of_requests_takes_a_sender_over_its_memory() {
    let single = FLOODS.iter().map(|kind| (32, 3.0, std::slice::from_ref(kind)));
    let mixed = [(32, 3.0, &FLOODS[..]), (48, 3.0, &FLOODS[..]), (64, 3.0, &FLOODS[..])];
    let large_disk = [(32, 64.0, &[Flood::GoodTexts][..]), (48, 64.0, &[Flood::GoodTexts][..])];
    let mut over = Vec::new();
    for (memory_mb, disk_mb, kinds) in single.chain(mixed).chain(large_disk) {
        let (world, usual) = (World::new(memory_mb, disk_mb), Usual::default());
        let daemon = Daemon::start(&world.config, &world.folder);
        assert_eq!(daemon.client().ask(&text("once", "known", 0, "k", b"first")).0, 202);
        let peak = flood(daemon.address, kinds, &usual, || peak(&[&daemon], &world.folder, FLOOD_TIME));
        assert!(!daemon.has_ended(), "{kinds:?}");
        let seen = format!(
            "{memory_mb} MB, {disk_mb} MB of disk, {kinds:?}: {} KiB, {} of {} usual messages taken on",
            peak >> 10,
            usual.taken_on.load(Ordering::Relaxed),
            usual.handed_in.load(Ordering::Relaxed),
        );
        println!("{seen}");
        if peak > memory_mb * MEBIBYTE {
            over.push(seen);
        }
    }
    assert!(over.is_empty(), "{over:#?}");
}

/// Guards against files that take the memory which requests and texts are granted: with a disk of 64 MB, of which files had up to half
/// of the memory, a sender of 32 MB came to 45 MB.
#[test]
fn requests_texts_and_files_have_room_beside_each_other() {
    for memory_mb in [32, 48, 64, 96, 128, 192, 1024] {
        for disk_mb in [1.5, 3.0, 5.0, 8.0, 16.0, 64.0, 1000.0] {
            let limits = Limits::of(Grant::new(memory_mb, 1024, disk_mb));
            // A text at hand takes as much again in tables and in what the allocator keeps.
            let texts = 2 * limits.log_texts;
            let all = AT_REST + limits.request_memory as u64 + limits.journal.most + texts;
            assert!(all <= memory_mb * MEBIBYTE, "{memory_mb} MB, {disk_mb} MB of disk: {} KiB", all >> 10);
        }
    }
}

/// Guards against texts that are lost, or a start that is refused, where a folder has more in it than its files may have now: of a
/// sender that had more memory, or of a program that gave files more of it.
#[test]
fn a_journal_with_more_than_its_files_may_have_now_is_taken_over_whole() {
    const TEXTS: usize = 80;
    let (discovery, endpoint, folder) = (Host::open(), Host::open(), Folder::new());
    let mut config = config(&[member("e0", &endpoint, 0, "Ready")], discovery.address);
    config["limits"]["memory_mb"] = json!(64);
    config["limits"]["disk_mb"] = json!(64.0);
    config["settings"]["ceilings"]["most-held"] = json!(500);
    let raw = |number: usize| text("free", &format!("t{number}"), 0, "k", &[b'x'; FLOOD_BODY]);
    let mut first = Daemon::start(&config, &folder);
    let mut client = first.client();
    (0..TEXTS).for_each(|number| assert_eq!(client.ask(&raw(number)).0, 202, "text {number}"));
    first.kill();
    let had = file_bytes(&folder.state());
    config["limits"]["memory_mb"] = json!(32);
    let room = Limits::of(Grant::new(32, 1024, 64.0)).journal.most;
    assert!(had > room, "{had} bytes, {room} may be there now");
    let second = Daemon::start(&config, &folder);
    let mut client = second.client();
    // It has each of them still, and room for no other.
    (0..TEXTS).for_each(|number| assert_eq!(client.ask(&raw(number)).0, 202, "text {number} again"));
    assert_eq!(client.ask(&raw(TEXTS)).0, 503);
}

/// Guards against an upgrade whose two processes, each within its memory, are over it together; and a file that is read anew in
/// the flood.
#[test]
fn an_upgrade_in_a_flood_stays_within_the_memory_of_one() {
    let (world, usual) = (World::new(32, 3.0), Usual::default());
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let first = Daemon::sharing(&world.config, &world.folder, &socket);
    first.line_with("listens on ");
    let to = socket.local_addr().expect("bound");
    assert_eq!(Client::at(to).ask(&text("once", "known", 0, "k", b"first")).0, 202);
    let peak = flood(to, &FLOODS, &usual, || {
        let before = peak(&[&first], &world.folder, FLOOD_TIME / 3);
        first.signal("-HUP");
        let reloaded = peak(&[&first], &world.folder, FLOOD_TIME / 3);
        let second = Daemon::sharing(&world.config, &world.folder, &socket);
        let began = Instant::now();
        let mut both = 0;
        while !first.has_ended() && began.elapsed() < PATIENCE {
            both = both.max(peak(&[&first, &second], &world.folder, FLOOD_TIME / 10));
        }
        assert!(first.has_ended(), "the second takes over");
        let after = peak(&[&second], &world.folder, FLOOD_TIME / 3);
        assert!(!second.has_ended());
        before.max(reloaded).max(both).max(after)
    });
    println!("an upgrade: {} KiB", peak >> 10);
    assert!(peak <= 32 * MEBIBYTE, "{} KiB", peak >> 10);
}
