//! A sender's process as its keeper sees it, whether this keeper started it or an earlier one did.

use crate::line;
use indigomast_rollout::compare::{Counts, Ends};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::process::{Pid, PidfdFlags, PidfdGetfdFlags, Signal, pidfd_getfd, pidfd_open, pidfd_send_signal};
use serde::{Deserialize, Serialize};
use std::fs::{self, File};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// The clients' socket is this descriptor of every process.
const SOCKET: i32 = 4;
const ANSWER: Duration = Duration::from_millis(800);

/// What it takes to start one.
#[derive(Clone, Debug)]
pub struct Start<'a> {
    pub program: &'a Path,
    pub arguments: &'a [String],
    pub settings: &'a Path,
    pub state: &'a Path,
    pub log: &'a Path,
}

/// What another keeper needs to find it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Known {
    pub pid: u32,
    /// When it was started, in the kernel's ticks: a number that came back belongs to another process.
    pub began: u64,
    pub control: SocketAddr,
}

pub struct Process {
    pub known: Known,
    pidfd: OwnedFd,
    child: Option<Child>,
}

/// How one that has ended did so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// With code 0.
    Orderly,
    /// Somebody killed it, or nobody saw how it ended.
    Killed,
    /// By itself, with a code or a signal of its own making.
    Crashed,
}

/// The least port that is tried for a second address.
const LEAST_PORT: u16 = 20_000;

/// An address that is free, for a program that is told which one and may not say which it found. Below the ports that the
/// system gives to connections: one of those that is free now may be anybody's when the program comes to it. Nor does this
/// process give out the same one again before it has been through all others.
///
/// # Errors
///
/// No port is to be had.
pub fn free_address() -> io::Result<SocketAddr> {
    let range = fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range").unwrap_or_default();
    let first = range.split_whitespace().next().and_then(|word| word.parse::<u16>().ok()).unwrap_or(0);
    for _ in 0..50 {
        if first <= LEAST_PORT {
            break;
        }
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", next_port(first))) {
            return listener.local_addr();
        }
    }
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// The ports from the least to before this one in turn, from a beginning of this process's own.
fn next_port(end: u16) -> u16 {
    static NEXT: LazyLock<AtomicU32> = LazyLock::new(|| AtomicU32::new(rand::random::<u16>().into()));
    let nth = NEXT.fetch_add(1, Ordering::Relaxed) % u32::from(end - LEAST_PORT);
    LEAST_PORT + nth as u16
}

fn stat(pid: u32) -> Option<Vec<String>> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name in front may hold anything but ends with the last bracket.
    Some(stat.rsplit_once(')')?.1.split_ascii_whitespace().map(str::to_owned).collect())
}

fn began(pid: u32) -> Option<u64> {
    stat(pid)?.get(19)?.parse().ok()
}

impl Process {
    /// Starts one on the clients' socket, its log behind what is in the file already.
    pub fn start(start: &Start, socket: &TcpListener) -> io::Result<Process> {
        let control = free_address()?;
        let log = File::options().create(true).append(true).open(start.log)?;
        let mut command = Command::new("/bin/sh");
        // The shell only puts the socket where the process looks for it, and becomes the process.
        command.args(["-c", "exec \"$0\" \"$@\" 4<&0 </dev/null"]);
        command.arg(start.program).args(start.arguments);
        command.env("ROUTER_CONFIG", start.settings).env("ROUTER_STATE", start.state);
        command.env("ROUTER_CONTROL", control.to_string()).env("ROUTER_PASSED_SOCKET", SOCKET.to_string());
        command.stdin(Stdio::from(OwnedFd::from(socket.try_clone()?))).stdout(Stdio::null()).stderr(log);
        let child = command.spawn()?;
        let pid = child.id();
        let pidfd = open(pid)?;
        let known = Known { pid, began: began(pid).unwrap_or(0), control };
        Ok(Process { known, pidfd, child: Some(child) })
    }

    /// Finds one that an earlier keeper started, if it still runs.
    pub fn find(known: &Known) -> Option<Process> {
        let pidfd = open(known.pid).ok()?;
        let same = began(known.pid) == Some(known.began);
        same.then(|| Process { known: known.clone(), pidfd, child: None })
            .filter(|process| !process.has_gone())
    }

    /// The clients' socket that it holds.
    ///
    /// # Errors
    ///
    /// The system doesn't let one process have another's (the same user, and `kernel.yama.ptrace_scope` 0 or root).
    pub fn socket(&self) -> io::Result<TcpListener> {
        Ok(TcpListener::from(pidfd_getfd(&self.pidfd, SOCKET, PidfdGetfdFlags::empty())?))
    }

    fn has_gone(&self) -> bool {
        let mut fds = [PollFd::new(&self.pidfd, PollFlags::IN)];
        poll(&mut fds, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok_and(|ready| ready > 0)
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<End> {
        match &mut self.child {
            Some(child) => {
                let status = child.try_wait().ok()??;
                let killed = matches!(status.signal(), Some(9 | 15));
                Some(match status.code() {
                    Some(0) => End::Orderly,
                    None if killed => End::Killed,
                    _ => End::Crashed,
                })
            }
            None => self.has_gone().then_some(End::Killed),
        }
    }

    pub fn signal(&self, signal: Signal) {
        _ = pidfd_send_signal(&self.pidfd, signal);
    }

    /// Kills it and waits until it has gone.
    pub fn kill(mut self) {
        self.signal(Signal::KILL);
        if let Some(child) = &mut self.child {
            _ = child.wait();
        }
    }

    /// Whether somebody else has the second address that it was told: one that ended at once may have ended by that.
    pub fn was_crowded_out(&self) -> bool {
        TcpListener::bind(self.known.control).is_err()
    }

    pub fn is_ready(&self) -> bool {
        let answer = line::call(self.known.control, "GET", "/ops/readiness", "", ANSWER);
        answer.is_ok_and(|(status, _)| status == 200)
    }

    /// What it says of itself, and how it fares.
    pub fn report(&self) -> Option<(String, Counts)> {
        let (status, body) = line::call(self.known.control, "GET", "/ops/report", "", ANSWER).ok()?;
        let (version, mut counts) = match status {
            200 => read_report(&body)?,
            // A program from before there was a report.
            _ => {
                let (status, body) = line::call(self.known.control, "GET", "/ops/stats", "", ANSWER).ok()?;
                ("older".to_owned(), (status == 200).then(|| read_stats(&body))?)
            }
        };
        counts.life = u64::from(self.known.pid) << 32 ^ self.known.began;
        if let Some(stat) = stat(self.known.pid) {
            let number = |at: usize| stat.get(at).and_then(|field| field.parse::<u64>().ok()).unwrap_or(0);
            let ticks = rustix::param::clock_ticks_per_second().max(1) as f64;
            counts.processor_ms = (number(11) + number(12)) as f64 * 1000.0 / ticks;
            counts.memory_kb = number(21) * rustix::param::page_size() as u64 / 1024;
        }
        Some((version, counts))
    }

    /// A figure of `/ops/stats`.
    pub fn figure(&self, name: &str) -> Option<u64> {
        let (status, body) = line::call(self.known.control, "GET", "/ops/stats", "", ANSWER).ok()?;
        let wanted = format!("sender.{name}=");
        body.lines()
            .filter(|_| status == 200)
            .find_map(|line| line.strip_prefix(&wanted)?.trim().parse().ok())
    }

    /// Has it write formats that only programs like itself read, from now on.
    pub fn seal(&self) -> bool {
        let answer = line::call(self.known.control, "PUT", "/ops/floor", "", Duration::from_secs(3));
        // One from before there was a floor has nothing to raise.
        answer.is_ok_and(|(status, _)| matches!(status, 200 | 404))
    }
}

fn open(pid: u32) -> io::Result<OwnedFd> {
    let pid = Pid::from_raw(pid as i32).ok_or(io::ErrorKind::InvalidInput)?;
    Ok(pidfd_open(pid, PidfdFlags::empty())?)
}

fn read_report(body: &str) -> Option<(String, Counts)> {
    let told: serde_json::Value = serde_json::from_str(body).ok()?;
    let number = |name: &str| told[name].as_u64().unwrap_or(0);
    let counts = Counts {
        calls: number("calls"),
        turned_away: number("turned_away"),
        submits: number("submits"),
        products: serde_json::from_value(told["products"].clone()).ok()?,
        ..Counts::default()
    };
    Some((told["version"].as_str().unwrap_or("?").to_owned(), counts))
}

fn read_stats(body: &str) -> Counts {
    let mut counts = Counts::default();
    for line in body.lines() {
        let Some((name, value)) = line.strip_prefix("sender.").and_then(|line| line.split_once('=')) else {
            continue;
        };
        let Ok(value) = value.trim().parse::<u64>() else { continue };
        let ends = |counts: &mut Counts, product: &str, put: &dyn Fn(&mut Ends)| {
            put(counts.products.entry(product.to_owned()).or_default());
        };
        match name.split_once('.') {
            Some(("answered", product)) => ends(&mut counts, product, &|ends| ends.delivered = value),
            Some(("deferred", product)) => ends(&mut counts, product, &|ends| ends.nacked = value),
            Some(("errored", product)) => ends(&mut counts, product, &|ends| ends.undeliverable = value),
            _ if name == "sends" => counts.submits = value,
            _ => {}
        }
    }
    counts
}

/// Writes a file whole or not at all, so that it lasts.
pub fn write_whole(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let new: PathBuf = path.with_extension("new");
    let mut file = File::create(&new)?;
    let written = io::Write::write_all(&mut file, bytes).and_then(|()| file.sync_all());
    written.and_then(|()| fs::rename(&new, path)).inspect_err(|_| _ = fs::remove_file(&new))
}

#[cfg(test)]
mod tests;
