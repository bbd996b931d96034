//! The same roles of real daemons, some at each size, to show that hollow and real have the same slopes.
//!
//! A [`Daemon`] is started on a file as the platform would write it, beside a [`stand::Stand`] that is its discovery and its
//! destinations. Memory and processor time are read from `/proc`. Clients are plain ones on kept connections.

pub mod stand;

use crate::hollow::{GRANT, settings};
use crate::meter::Meter;
use crate::{About, Reading, Role, target};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::json;
use stand::Stand;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Daemons at each size; a figure is the mean of theirs.
const DAEMONS: usize = 3;
const START_TIME: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(10);
/// What a start leaves to do is done by then.
const SETTLED: Duration = Duration::from_millis(1500);
const BODY: usize = 256;
/// Texts of one client that are handed in once more.
const TURNED_AWAY: usize = 500;
/// As many as a daemon's list may have today.
const LISTED: f64 = 4096.0;
/// Each endpoint in use has two threads, and there are to be no more than 200 processes and threads: so few daemons at the
/// greater sizes.
const ACTIVE: f64 = 90.0;
const THREADS: usize = 180;
/// An endpoint's connections are over so long after its last call.
const RESTED: Duration = Duration::from_millis(13_000);
/// As many as a daemon takes with 128 MB and 2 GB.
const TEXTS: f64 = 20_000.0;

/// Of daemons that are started by this program with these arguments.
pub fn all(daemon: &Path, arguments: &[&str]) -> Vec<Box<dyn Role>> {
    let arguments: Vec<String> = arguments.iter().map(|&argument| argument.to_owned()).collect();
    let real = |what| Real { daemon: daemon.to_owned(), arguments: arguments.clone(), what };
    let roles = [What::Destinations, What::Active, What::Owed, What::Changes];
    roles.into_iter().map(|what| Box::new(real(what)) as Box<dyn Role>).collect()
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum What {
    Destinations,
    Active,
    Owed,
    Changes,
}

struct Real {
    daemon: PathBuf,
    arguments: Vec<String>,
    what: What,
}

/// A daemon that runs, ended with its holder.
pub struct Daemon {
    child: Child,
    pub address: SocketAddr,
    folder: PathBuf,
}

impl Daemon {
    /// Of a fleet of so many that may not go without asking for longer than that, with a list of so many.
    ///
    /// # Errors
    ///
    /// What it said last where it doesn't come up.
    pub fn start(
        (program, arguments): (&Path, &[String]),
        stand: &Stand,
        number: usize,
        (senders, term_ms): (usize, f64),
    ) -> Result<Daemon, String> {
        let folder = std::env::temp_dir().join(format!("indigomast-scale-{}-{number}", std::process::id()));
        let state = folder.join("state");
        _ = fs::remove_dir_all(&folder);
        let complain = |e: std::io::Error| format!("{}: {e}", folder.display());
        fs::create_dir_all(&state).map_err(complain)?;
        let (memory_mb, sockets, disk_mb) = GRANT;
        let mut settings = settings(senders, number % senders, 3);
        settings["obligations"]["must-ask-in-ms"] = json!(term_ms);
        let known: serde_json::Value = serde_json::from_str(&stand.whole()).map_err(|e| e.to_string())?;
        let file = json!({
            "name": format!("sender-{number}"),
            "listen": "127.0.0.1:0",
            "discovery": stand.address.to_string(),
            "seed": format!("{number:016x}"),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets, "disk_mb": disk_mb},
            "known": known,
            "settings": settings,
        });
        let config = folder.join("config.json");
        fs::write(&config, file.to_string()).map_err(complain)?;
        let log = folder.join("log");
        let errors = File::create(&log).map_err(complain)?;
        let mut child = Command::new(program)
            .args(arguments)
            .env("ROUTER_CONFIG", &config)
            .env("ROUTER_STATE", &state)
            .env_remove("ROUTER_ACCOUNT")
            .env_remove("ROUTER_PASSED_SOCKET")
            .env_remove("ROUTER_CONTROL")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("{}: {e}", program.display()))?;
        let by = Instant::now() + START_TIME;
        loop {
            let said = fs::read_to_string(&log).unwrap_or_default();
            let listens = said.lines().find_map(|line| line.split_once(" listens on "));
            if let Some(address) = listens.and_then(|(_, address)| address.trim().parse().ok()) {
                return Ok(Daemon { child, address, folder });
            }
            let ended = child.try_wait().ok().flatten();
            if ended.is_some() || Instant::now() > by {
                _ = child.kill();
                _ = child.wait();
                let said = fs::read_to_string(&log).unwrap_or_default();
                _ = fs::remove_dir_all(&folder);
                let last = said.lines().last().unwrap_or("it said nothing").to_owned();
                return Err(last);
            }
            thread::sleep(LOOK);
        }
    }

    /// Bytes of its own memory that are resident.
    pub fn memory(&self) -> f64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kib = line.and_then(|line| line.split_ascii_whitespace().next()?.parse::<f64>().ok());
        kib.unwrap_or(0.0) * 1024.0
    }

    pub fn threads(&self) -> usize {
        fs::read_dir(format!("/proc/{}/task", self.child.id())).map_or(0, Iterator::count)
    }

    /// Microseconds of processor time of its threads that are there.
    pub fn micros(&self) -> f64 {
        let Ok(tasks) = fs::read_dir(format!("/proc/{}/task", self.child.id())) else { return 0.0 };
        let nanos = tasks.flatten().filter_map(|task| {
            let stat = fs::read_to_string(task.path().join("schedstat")).ok()?;
            stat.split_ascii_whitespace().next()?.parse::<f64>().ok()
        });
        nanos.sum::<f64>() / 1000.0
    }

    /// Bytes of its journal.
    pub fn disk(&self) -> f64 {
        let Ok(files) = fs::read_dir(self.folder.join("state/journal")) else { return 0.0 };
        files.flatten().filter_map(|file| Some(file.metadata().ok()?.len() as f64)).sum()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(pid) = Pid::from_raw(self.child.id() as i32) {
            _ = kill_process(pid, Signal::KILL);
        }
        _ = self.child.wait();
        _ = fs::remove_dir_all(&self.folder);
    }
}

/// Hands texts in, one after the other on one connection.
///
/// # Errors
///
/// Which one was not taken.
fn hand_in(address: SocketAddr, count: usize, destinations: usize) -> Result<(), String> {
    let complain = |e: std::io::Error| format!("{address}: {e}");
    let stream = TcpStream::connect(address).map_err(complain)?;
    _ = stream.set_nodelay(true);
    _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    let mut reader = BufReader::new(stream.try_clone().map_err(complain)?);
    let mut stream = stream;
    let body = "x".repeat(BODY);
    let (mut at, mut turned_away) = (0, 0);
    while at < count {
        let dest = at % destinations;
        let request = format!(
            "POST /notice-0 HTTP/1.1\r\nHost: scale\r\nX-Request-ID: {at:016x}\r\nX-Timeout-Ms: 86400000\r\n\
             X-Envelope: dest={dest}\r\nContent-Length: {BODY}\r\n\r\n{body}"
        );
        stream.write_all(request.as_bytes()).map_err(complain)?;
        let (mut status, mut length) = (String::new(), 0);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).map_err(complain)? == 0 {
                return Err(format!("text {at}: the connection ended"));
            }
            if status.is_empty() {
                status = line.clone();
            }
            let lower = line.trim().to_ascii_lowercase();
            if let Some(value) = lower.strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
            if lower.is_empty() {
                break;
            }
        }
        let mut rest = vec![0; length];
        reader.read_exact(&mut rest).map_err(complain)?;
        // A machine that is busy has it late to its work, and then it asks clients to come again.
        if status.contains(" 503") && turned_away < TURNED_AWAY {
            turned_away += 1;
            thread::sleep(LOOK);
            continue;
        }
        if !status.contains(" 202") && !status.contains(" 200") {
            return Err(format!("text {at}, {turned_away} turned away before: {}", status.trim()));
        }
        at += 1;
    }
    Ok(())
}

fn mean(daemons: &[Daemon], of: impl Fn(&Daemon) -> f64) -> f64 {
    daemons.iter().map(of).sum::<f64>() / daemons.len() as f64
}

impl Real {
    fn start(&self, stand: &Stand, fleet: (usize, f64)) -> Result<Vec<Daemon>, String> {
        self.start_some(DAEMONS, stand, fleet)
    }

    fn start_some(&self, count: usize, stand: &Stand, fleet: (usize, f64)) -> Result<Vec<Daemon>, String> {
        let daemons =
            (0..count).map(|number| Daemon::start((&self.daemon, &self.arguments), stand, number, fleet));
        let daemons = daemons.collect::<Result<Vec<_>, _>>()?;
        thread::sleep(SETTLED);
        Ok(daemons)
    }

    /// The list is read whole ten times in the time that is looked at.
    fn destinations(&self, size: usize) -> Result<Vec<Reading>, String> {
        let stand = Stand::open(size, nowhere()?)?;
        let daemons = self.start(&stand, (100, 1000.0))?;
        let memory = mean(&daemons, Daemon::memory);
        let (before, asked) = (mean(&daemons, Daemon::micros), stand.questions());
        let over = Duration::from_secs(9);
        thread::sleep(over);
        let micros = mean(&daemons, Daemon::micros) - before;
        let reads = (stand.questions() - asked) as f64 / daemons.len() as f64;
        if reads < 5.0 {
            return Err(format!("the list was read {reads} times in {over:?}"));
        }
        Ok(vec![
            Reading::heap("resident, idle", memory),
            Reading::heap("resident after reading the list ten times more", mean(&daemons, Daemon::memory)),
            Reading::micros("list read and taken again", micros / reads),
        ])
    }

    fn active(&self, size: usize) -> Result<Vec<Reading>, String> {
        let stand = Stand::open(size, stand::destinations()?)?;
        let count = (THREADS / (2 * size)).clamp(1, DAEMONS);
        let daemons = self.start_some(count, &stand, (1, 10_000.0))?;
        let memory = mean(&daemons, Daemon::memory);
        let threads = mean(&daemons, |daemon| daemon.threads() as f64);
        let micros = mean(&daemons, Daemon::micros);
        for daemon in &daemons {
            hand_in(daemon.address, size, size)?;
        }
        thread::sleep(SETTLED);
        let with = mean(&daemons, Daemon::memory) - memory;
        let spent = mean(&daemons, Daemon::micros) - micros;
        let more = mean(&daemons, |daemon| daemon.threads() as f64) - threads;
        thread::sleep(RESTED);
        Ok(vec![
            Reading::heap("resident more with each called", with),
            Reading::micros("texts handed in and delivered", spent),
            Reading::blocks("threads more", more),
            Reading::heap("resident more 13 s later", mean(&daemons, Daemon::memory) - memory),
            Reading::blocks("threads more 13 s later", mean(&daemons, |d| d.threads() as f64) - threads),
        ])
    }

    /// What they are for refuses connections.
    fn owed(&self, size: usize) -> Result<Vec<Reading>, String> {
        let destinations = 64;
        let stand = Stand::open(destinations, nowhere()?)?;
        let daemons = self.start(&stand, (16_000, 10_000.0))?;
        let memory = mean(&daemons, Daemon::memory);
        let micros = mean(&daemons, Daemon::micros);
        let handed: Result<Vec<()>, String> = thread::scope(|scope| {
            let all: Vec<_> = daemons
                .iter()
                .map(|daemon| scope.spawn(|| hand_in(daemon.address, size, destinations)))
                .collect();
            all.into_iter().map(|one| one.join().unwrap_or(Err("a client panicked".into()))).collect()
        });
        handed?;
        thread::sleep(SETTLED);
        Ok(vec![
            Reading::heap("resident more with texts owed", mean(&daemons, Daemon::memory) - memory),
            Reading::heap("journal bytes on disk", mean(&daemons, Daemon::disk)),
            Reading::micros("texts taken", mean(&daemons, Daemon::micros) - micros),
        ])
    }

    /// A watch on a list of a thousand, of which so many entries change a second.
    fn changes(&self, a_second: f64) -> Result<Vec<Reading>, String> {
        let listed = 1000;
        let stand = Stand::open(listed, nowhere()?)?;
        let daemons = self.start(&stand, (1, 10_000.0))?;
        let (before, bytes, asked) = (mean(&daemons, Daemon::micros), stand.bytes(), stand.questions());
        let over = Duration::from_secs(10);
        let begun = Instant::now();
        for at in 0.. {
            let due = begun + Duration::from_secs_f64((at + 1) as f64 / a_second);
            if due > begun + over {
                break;
            }
            thread::sleep(due.saturating_duration_since(Instant::now()));
            stand.change(at % listed);
        }
        thread::sleep((begun + over).saturating_duration_since(Instant::now()));
        let seconds = begun.elapsed().as_secs_f64();
        let each = |count: u64| count as f64 / seconds / daemons.len() as f64;
        Ok(vec![
            Reading::blocks("told: answers a second", each(stand.questions() - asked)),
            Reading::heap("told: bytes a second", each(stand.bytes() - bytes)),
            Reading::micros("told: micros a second", (mean(&daemons, Daemon::micros) - before) / seconds),
        ])
    }
}

/// An address at which nobody listens.
fn nowhere() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}

impl Role for Real {
    fn about(&self) -> About {
        let assumes = &[
            "three daemons at each size, on loopback, beside whatever else the machine does; fewer where each has many threads",
        ];
        let of = |name, unit, range, goal| About { name, unit, range, goal, assumes };
        match self.what {
            What::Destinations => of("destinations", "destinations", (10.0, LISTED), target::DESTINATIONS),
            What::Active => of("active", "destinations called", (3.0, ACTIVE), target::DESTINATIONS),
            What::Owed => of("owed", "texts owed", (100.0, TEXTS), target::BACKLOG_A_SENDER),
            What::Changes => of("changes", "changes a second", (1.0, 100.0), target::BURST_OF_CHANGES),
        }
    }

    fn needs(&self, _size: f64) -> f64 {
        DAEMONS as f64 * 200e6
    }

    fn measure(&self, size: f64, _seed: u64, _meter: &Meter) -> Result<Vec<Reading>, String> {
        match self.what {
            What::Destinations => self.destinations(size as usize),
            What::Active => self.active(size as usize),
            What::Owed => self.owed(size as usize),
            What::Changes => self.changes(size),
        }
    }
}
