//! The keeper of a daemon: its configuration, its process, and where it listens.

use super::clients::AddressBook;
use super::discovery::Discovery;
use super::{Mailbox, Options, Variables, What};
use crate::platform;
use crate::processes::faults::End;
use crate::processes::network::Network;
use crate::scenario::Scenario;
use crate::world::Seen;
use rustix::process::{Pid, Resource, Rlimit, Signal, kill_process, prlimit};
use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
use serde_json::json;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A daemon that has not answered on its listener by then can't be used.
const START_TIME: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(5);

/// A program and its arguments.
#[derive(Clone, Debug)]
pub struct Command {
    pub program: PathBuf,
    pub arguments: Vec<String>,
}

/// What a daemon's process is meant to do just now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Meant {
    Run,
    Stop,
}

#[derive(Default)]
struct Process {
    child: Option<Child>,
    meant: Option<Meant>,
    /// Grows with each start, so that who waits for an earlier one doesn't speak of a later.
    life: u64,
    /// The run is.
    over: bool,
}

/// How a sender under a keeper of its own is started.
struct Kept {
    /// The program that keeps.
    program: PathBuf,
    file: PathBuf,
    record: PathBuf,
}

struct Inner {
    sender: usize,
    daemon: Command,
    kept: Option<Kept>,
    config: PathBuf,
    state: PathBuf,
    log: PathBuf,
    descriptors: usize,
    one_core: bool,
    address: AddressBook,
    process: Mutex<Process>,
    network: Option<Arc<Network>>,
    mailbox: Mailbox,
}

pub struct Keeper(Arc<Inner>);

/// Sees a daemon's process without keeping it.
pub struct Handle(Arc<Inner>);

impl Handle {
    /// The sender's process that runs now, if one does.
    pub fn pid(&self) -> Option<u32> {
        match &self.0.kept {
            Some(kept) => kept.process().map(|(pid, _)| pid).filter(|pid| lives(*pid)),
            None => self.0.lock().child.as_ref().map(Child::id),
        }
    }
}

impl Keeper {
    pub fn new(
        scenario: &Scenario,
        sender: usize,
        seed: u64,
        options: &Options,
        discovery: &Discovery,
        network: Option<Arc<Network>>,
        mailbox: &Mailbox,
    ) -> Result<Keeper, String> {
        let folder = options.folder.join(format!("sender-{sender}"));
        let state = folder.join("state");
        fs::create_dir_all(&state).map_err(|e| format!("{}: {e}", state.display()))?;
        let fleet = &scenario.fleet;
        let mut config = json!({
            "name": format!("sender-{sender}"),
            "listen": "127.0.0.1:0",
            "discovery": discovery.address(sender).to_string(),
            "seed": format!("{:016x}", seed.wrapping_mul(1_000_003).wrapping_add(sender as u64)),
            "limits": {
                "cores": 1.0,
                "memory_mb": fleet.memory_mb,
                "sockets": fleet.descriptors,
                "disk_mb": fleet.disk_mb,
            },
            "known": discovery.known(sender),
            "settings": platform::settings(scenario, sender),
        });
        if let Some(clients) = &fleet.clients {
            config["clients"] = serde_json::to_value(clients).map_err(|e| format!("fleet.clients: {e}"))?;
        }
        let path = folder.join("config.json");
        fs::write(&path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
        let kept = match &options.change {
            Some(change) => {
                Some(Kept::set_up(change, &options.folder, sender, options.daemon_of(sender), &path)?)
            }
            None => None,
        };
        Ok(Keeper(Arc::new(Inner {
            sender,
            kept,
            daemon: options.daemon_of(sender).clone(),
            config: path,
            state,
            log: folder.join("log.txt"),
            descriptors: fleet.descriptors,
            one_core: scenario.burden.core_share.is_some(),
            address: AddressBook::default(),
            process: Mutex::default(),
            network,
            mailbox: mailbox.clone(),
        })))
    }

    pub fn address_book(&self) -> AddressBook {
        Arc::clone(&self.0.address)
    }

    pub fn handle(&self) -> Handle {
        Handle(Arc::clone(&self.0))
    }

    pub fn variables(&self) -> Variables {
        let of = |name: &str, path: &PathBuf| (name.to_owned(), path.display().to_string());
        vec![of("ROUTER_CONFIG", &self.0.config), of("ROUTER_STATE", &self.0.state)]
    }

    /// Starts it and waits until it is ready; for the first start, before any clock runs.
    pub fn start_and_wait(&self) -> Result<(), String> {
        self.0.start().map_err(|e| format!("sender {}: {e}", self.0.sender))
    }

    /// Starts it and tells the world when it is ready.
    pub fn start(&self) {
        let inner = Arc::clone(&self.0);
        thread::spawn(move || match inner.start() {
            Ok(()) => inner.mailbox.tell(Seen::Ready { sender: inner.sender }),
            Err(how) => inner.mailbox.put(What::Crashed { sender: inner.sender, how }),
        });
    }

    /// Tells the process that runs now, if one does.
    pub fn signal(&self, signal: Signal) {
        let pid = self.handle().pid().and_then(|pid| Pid::from_raw(pid as i32));
        pid.into_iter().for_each(|pid| _ = kill_process(pid, signal));
    }

    /// Tells the keeper of the sender.
    pub fn signal_keeper(&self, signal: Signal) {
        let pid = self.0.lock().child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        pid.into_iter().for_each(|pid| _ = kill_process(pid, signal));
    }

    pub fn kill_keeper(&self) {
        let mut process = self.0.lock();
        process.meant = Some(Meant::Stop);
        process.child.iter_mut().for_each(|child| _ = child.kill());
    }

    /// By which settings the sender's process says that it runs; of one from before that was told, which program it is.
    pub fn revision(&self) -> Option<String> {
        let (pid, control) = self.0.kept.as_ref()?.process()?;
        let mut stream = TcpStream::connect_timeout(&control, Duration::from_secs(1)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream.write_all(b"GET /ops/version HTTP/1.1\r\nContent-Length: 0\r\n\r\n").ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).ok()?;
        let body = answer.split_once("\r\n\r\n")?.1;
        let told = serde_json::from_str::<serde_json::Value>(body).ok();
        match told.as_ref().and_then(|told| told["revision"].as_str()) {
            Some(revision) => Some(revision.to_owned()),
            None => Some(fs::read_link(format!("/proc/{pid}/exe")).ok()?.display().to_string()),
        }
    }

    /// What the process that runs now may have at the most of something, or what it was started with.
    pub fn limit(&self, resource: Resource, most: Option<u64>) {
        let Some(pid) = self.handle().pid().and_then(|pid| Pid::from_raw(pid as i32)) else { return };
        let usual = match resource {
            Resource::Nofile => Some(self.0.descriptors as u64),
            _ => None,
        };
        // The hard limit stays, or it could not be lifted again.
        let maximum = usual;
        let current = most.or(usual);
        _ = prlimit(Some(pid), resource, Rlimit { current, maximum });
    }

    pub fn stop(&self, kill: bool) {
        if self.0.kept.is_some() {
            // Its keeper starts it again; whoever watches it tells when it is there.
            self.signal(if kill { Signal::KILL } else { Signal::TERM });
            return;
        }
        let mut process = self.0.lock();
        process.meant = Some(Meant::Stop);
        let Some(child) = process.child.as_mut() else { return };
        if kill {
            _ = child.kill();
        } else if let Some(pid) = Pid::from_raw(child.id() as i32) {
            _ = kill_process(pid, Signal::TERM);
        }
        if kill {
            *self.0.address.lock().unwrap_or_else(PoisonError::into_inner) = None;
        }
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        let mut process = self.0.lock();
        (process.meant, process.over) = (Some(Meant::Stop), true);
        if let Some(mut child) = process.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
        drop(process);
        // A sender outlives its keeper.
        self.signal(Signal::KILL);
    }
}

fn lives(pid: u32) -> bool {
    fs::read_to_string(format!("/proc/{pid}/stat")).is_ok_and(|stat| !stat.contains(") Z "))
}

impl Kept {
    fn set_up(
        change: &super::Change,
        folder: &Path,
        sender: usize,
        daemon: &Command,
        config: &Path,
    ) -> Result<Kept, String> {
        let own = folder.join(format!("sender-{sender}"));
        let (file, record) = (own.join("keep.toml"), own.join("record"));
        let at = |path: &Path| toml::Value::String(path.display().to_string());
        let arguments = daemon.arguments.iter().cloned().map(toml::Value::String).collect();
        let mut table = toml::Table::new();
        for (name, value) in [
            ("name", toml::Value::String(format!("sender-{sender}"))),
            ("listen", toml::Value::String("127.0.0.1:0".into())),
            ("clients", toml::Value::String("127.0.0.1:0".into())),
            ("key", at(&folder.join("key"))),
            ("state", at(&own.join("state"))),
            ("record", at(&record)),
            ("program", at(&daemon.program)),
            ("arguments", toml::Value::Array(arguments)),
            ("settings", at(config)),
        ] {
            table.insert(name.to_owned(), value);
        }
        fs::write(&file, table.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
        Ok(Kept { program: change.program.clone(), file, record })
    }

    /// The sender's process and its second address, as its keeper says.
    fn process(&self) -> Option<(u32, SocketAddr)> {
        let text = fs::read_to_string(self.record.join("process")).ok()?;
        let (pid, control) = text.trim().split_once(' ')?;
        Some((pid.parse().ok()?, control.parse().ok()?))
    }
}

/// How long a process may be gone before another is named in its place: longer, and it was no handover.
const BETWEEN: Duration = Duration::from_millis(300);

impl Inner {
    /// Tells of each death of a sender's process under a keeper, and of each return.
    fn watch(&self, kept: &Kept) {
        let mut last = kept.process().map(|(pid, _)| pid);
        let (mut gone, mut told): (Option<Instant>, bool) = (None, false);
        // As long as its keeper may be started again.
        while !self.lock().over {
            thread::sleep(LOOK);
            let now = kept.process();
            let pid = now.map(|(pid, _)| pid);
            if pid != last && pid.is_some_and(lives) {
                if told && !now.is_some_and(|(_, control)| is_ready(control)) {
                    continue;
                }
                if told {
                    self.mailbox.tell(Seen::Ready { sender: self.sender });
                }
                (last, gone, told) = (pid, None, false);
            } else if !last.is_some_and(lives) && !told {
                let since = *gone.get_or_insert_with(Instant::now);
                if since.elapsed() >= BETWEEN {
                    self.mailbox.tell(Seen::Died { sender: self.sender });
                    told = true;
                }
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Process> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn start(self: &Arc<Inner>) -> Result<(), String> {
        let mut process = self.lock();
        if let Some(mut old) = process.child.take() {
            // It has had its time.
            _ = old.kill();
            _ = old.wait();
            if self.kept.is_none() {
                self.mailbox.tell(Seen::Died { sender: self.sender });
            }
        }
        // The shell only sets the limit and becomes the daemon. A file that may not grow is an error there, not an end.
        let mut command = std::process::Command::new("/bin/sh");
        command.args(["-c", "trap '' XFSZ; ulimit -n \"$0\" && exec \"$@\"", &self.descriptors.to_string()]);
        match &self.kept {
            Some(kept) => _ = command.arg(&kept.program).arg("keep").arg(&kept.file),
            None => {
                command.arg(&self.daemon.program).args(&self.daemon.arguments);
                command.env("ROUTER_CONFIG", &self.config).env("ROUTER_STATE", &self.state);
            }
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command
            .spawn()
            .map_err(|e| format!("{} can't be started: {e}", self.daemon.program.display()))?;
        if self.one_core {
            // Before the daemon has threads: on several cores at once it would be past its share before it is stopped.
            pin(child.id(), self.sender);
        }
        let output = child.stderr.take().ok_or("no log")?;
        process.child = Some(child);
        process.meant = Some(Meant::Run);
        process.life += 1;
        let life = process.life;
        drop(process);
        let (told, address) = crossbeam_channel::bounded(1);
        let mut log = File::options().create(true).append(true).open(&self.log).map_err(|e| e.to_string())?;
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Some(at) = line.rsplit(' ').next().filter(|_| line.contains("listens on ")) {
                    _ = told.try_send((at.parse::<SocketAddr>().ok(), None));
                }
                if let Some((_, words)) = line.split_once("for clients at ") {
                    let mut addresses = words.split(' ').filter_map(|word| word.parse::<SocketAddr>().ok());
                    _ = told.try_send((addresses.next(), addresses.next()));
                }
                _ = writeln!(log, "{line}");
            }
        });
        let (address, orders) = address.recv_timeout(START_TIME).unwrap_or_default();
        let Some(address) = address else {
            let said = fs::read_to_string(&self.log).unwrap_or_default();
            let last = said.lines().last().unwrap_or("nothing").to_owned();
            return Err(format!("did not come up; it said: {last}"));
        };
        await_up(address)?;
        // A client finds a process that was started again where the one before it was.
        let address = match &self.network {
            Some(network) => {
                network.way(End::Clients(self.sender), End::Sender(self.sender), address, true)?
            }
            None => address,
        };
        if let Some((network, orders)) = self.network.as_ref().zip(orders) {
            network.way(End::Operator, End::Sender(self.sender), orders, true)?;
        }
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
        let own = Arc::clone(self);
        thread::spawn(move || own.wait_for_end(life));
        let own = Arc::clone(self);
        if life == 1 && self.kept.is_some() {
            thread::spawn(move || own.kept.iter().for_each(|kept| own.watch(kept)));
        }
        Ok(())
    }

    fn wait_for_end(&self, life: u64) {
        loop {
            thread::sleep(LOOK);
            let mut process = self.lock();
            if process.life != life {
                return;
            }
            let Some(child) = process.child.as_mut() else { return };
            let Ok(Some(status)) = child.try_wait() else { continue };
            process.child = None;
            let meant = process.meant;
            drop(process);
            if self.kept.is_some() && meant == Some(Meant::Stop) {
                // The sender serves on.
                return;
            }
            *self.address.lock().unwrap_or_else(PoisonError::into_inner) = None;
            if meant == Some(Meant::Stop) {
                self.mailbox.tell(Seen::Died { sender: self.sender });
            } else {
                let how = format!("its process ended by itself ({status})");
                self.mailbox.put(What::Crashed { sender: self.sender, how });
            }
            return;
        }
    }
}

/// Keeps a process on one core, each sender on another as far as there are any.
fn pin(pid: u32, sender: usize) {
    let Ok(allowed) = sched_getaffinity(None) else { return };
    let cores: Vec<usize> = (0..CpuSet::MAX_CPU).filter(|core| allowed.is_set(*core)).collect();
    let mut one = CpuSet::new();
    one.set(cores[sender % cores.len()]);
    _ = sched_setaffinity(Pid::from_raw(pid as i32), &one);
}

fn is_ready(control: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&control, Duration::from_millis(500)) else {
        return false;
    };
    _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let asked = stream.write_all(b"GET /ops/readiness HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
    let mut answer = [0u8; 12];
    asked.is_ok() && stream.read_exact(&mut answer).is_ok() && &answer == b"HTTP/1.1 200"
}

fn await_up(address: SocketAddr) -> Result<(), String> {
    let by = Instant::now() + START_TIME;
    while Instant::now() < by {
        if let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
            _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
            let asked = stream.write_all(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n");
            let mut answer = [0u8; 12];
            if asked.is_ok() && stream.read_exact(&mut answer).is_ok() && &answer == b"HTTP/1.1 200" {
                return Ok(());
            }
        }
        thread::sleep(LOOK);
    }
    Err("does not say that it is up".into())
}
