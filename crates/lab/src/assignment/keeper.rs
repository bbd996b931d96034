//! The processes of a run: started, signalled, started again, and all of them ended with it.

use super::history::{Process, State};
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// One that doesn't say where it listens by then can't be used.
const START: Duration = Duration::from_secs(20);

/// Where a process says that it listens: standard output's first line, or the log lines of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Says {
    Output,
    Log,
}

/// A process that is started again and again with the same arguments.
pub struct Kept {
    pub process: Process,
    program: PathBuf,
    arguments: Vec<String>,
    variables: Vec<(String, String)>,
    log: PathBuf,
    says: Says,
    child: Option<Child>,
    pub state: State,
    pub life: u32,
    pub address: Option<SocketAddr>,
    /// A daemon's second address.
    pub control: Option<SocketAddr>,
}

impl Kept {
    pub fn new(process: Process, program: &Path, arguments: Vec<String>, log: PathBuf, says: Says) -> Kept {
        Kept {
            process,
            program: program.to_owned(),
            arguments,
            variables: Vec::new(),
            log,
            says,
            child: None,
            state: State::Down,
            life: 0,
            address: None,
            control: None,
        }
    }

    pub fn variable(mut self, name: &str, value: String) -> Kept {
        self.variables.push((name.to_owned(), value));
        self
    }

    /// Starts it and waits until it says where it listens.
    ///
    /// # Errors
    ///
    /// It can't be started, or says nothing of the kind in time.
    pub fn start(&mut self) -> Result<SocketAddr, String> {
        let (process, log) = (self.process, self.log.clone());
        let failed = |e: std::io::Error| format!("{process:?}: {e}");
        let errors = File::options().create(true).append(true).open(&log).map_err(failed)?;
        let mut command = Command::new(&self.program);
        command.args(&self.arguments).stdin(Stdio::null());
        command.envs(self.variables.iter().map(|(name, value)| (name, value)));
        match self.says {
            Says::Output => command.stdout(Stdio::piped()).stderr(Stdio::from(errors)),
            Says::Log => command.stdout(Stdio::null()).stderr(Stdio::piped()),
        };
        let mut child = command.spawn().map_err(failed)?;
        let (told, addresses) = channel();
        if let Some(output) = child.stdout.take() {
            let listens = move |line: String| {
                let at = line.strip_prefix("listening on ").and_then(|at| at.trim().parse().ok());
                at.map(|at: SocketAddr| (at, None))
            };
            thread::spawn(move || {
                let lines = BufReader::new(output).lines().map_while(Result::ok);
                lines.for_each(|line| _ = told.send(listens(line)));
            });
        } else if let Some(output) = child.stderr.take() {
            let mut errors = File::options().append(true).open(&log).map_err(failed)?;
            thread::spawn(move || {
                let mut control = None;
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    let last = line.rsplit(' ').next().and_then(|at| at.parse::<SocketAddr>().ok());
                    if line.contains("is asked and told at ") {
                        control = control.or(last);
                    } else if line.contains("listens on ") {
                        _ = told.send(last.map(|at| (at, control)));
                    }
                    _ = std::io::Write::write_all(&mut errors, format!("{line}\n").as_bytes());
                }
            });
        }
        self.child = Some(child);
        let said = addresses.recv_timeout(START).ok().flatten();
        let Some((address, control)) = said else {
            self.kill();
            return Err(format!("{process:?} does not say where it listens; its log is {}", log.display()));
        };
        (self.state, self.address, self.control) = (State::Runs, Some(address), control);
        self.life += 1;
        Ok(address)
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        pid.into_iter().for_each(|pid| _ = kill_process(pid, signal));
    }

    /// Ends it as a crash does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            _ = child.kill();
            _ = child.wait();
        }
        (self.state, self.address, self.control) = (State::Down, None, None);
    }

    pub fn pause(&mut self) {
        self.signal(Signal::STOP);
        self.state = State::Stopped;
    }

    pub fn go_on(&mut self) {
        self.signal(Signal::CONT);
        self.state = State::Runs;
    }

    /// How it ended, if it did so by itself.
    pub fn crashed(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        (self.state, self.address, self.control) = (State::Down, None, None);
        Some(status.to_string())
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.kill();
    }
}
