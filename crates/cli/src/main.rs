//! The program `indigomast`.
//!
//! Reports go to standard output, progress and errors to standard error. Exit codes: 0 all went well; 1 something
//! can't be used or done, said in one line; 2 the command line can't be read; 3 a rule was broken; 4 the rig itself
//! ran late, so that the run says nothing; 5 a journal is damaged; 6 a change was halted or taken back; 130 interrupted.

mod account;
mod assignment;
mod control_plane;
mod demo;
mod emulate;
mod install;
mod journal;
mod lab;
mod rollout;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Dispatches notifications to outside receivers, and rehearses doing so.
#[derive(Parser)]
#[command(name = "indigomast", version, arg_required_else_help = true)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run an installation of one's own, told by a file
    Run { file: PathBuf },
    /// Say everything that a run of this file would refuse, and what it would regret
    Check { file: PathBuf },
    /// What is in force by a file, and what may stand in one
    Config {
        #[command(subcommand)]
        command: install::Command,
    },
    /// Write a list's last line, by which a sender knows that all of it is there
    Seal { file: PathBuf },
    /// Completions for a shell, on standard output
    Completions { shell: clap_complete::Shell },
    /// The manual page, on standard output
    Man,
    /// Show one sender at work while a gateway stalls and comes back cold; ends by itself within 20 s
    Demo {
        /// Print the report as JSON
        #[arg(long)]
        json: bool,
    },
    /// Play scenarios, compare runs, draw reports
    Lab {
        #[command(subcommand)]
        command: lab::Command,
    },
    /// Run a scenario's gateways and list alone, for senders started by hand
    Emulate(emulate::Arguments),
    /// What a fleet did by time, cause and destination, from a folder of logs of senders that ran with ROUTER_ACCOUNT set
    Account {
        folder: PathBuf,
        /// Seconds that are counted together
        #[arg(long, default_value_t = 1.0)]
        span: f64,
    },
    /// Look at a sender's journal: what is owed, whether it is sound
    Journal {
        #[command(subcommand)]
        command: journal::Command,
    },
    /// Keep a sender on this machine: start it, start it again, have another take its place, as a rollout orders
    Keep { file: PathBuf },
    /// Change program or settings of many senders in stages, old and new side by side
    Rollout {
        #[command(subcommand)]
        command: rollout::Command,
    },
    /// Tell each sender of its own destinations: control processes, senders' agents, orders
    Assignment {
        #[command(subcommand)]
        command: control_plane::Command,
    },
    /// Run the sender itself, told by ROUTER_CONFIG and ROUTER_STATE
    Daemon,
}

/// Why the program ends other than well.
pub enum Failure {
    Complaint(String),
    RuleBroken,
    RigLate,
    Interrupted,
    /// A journal has lost something.
    Damaged,
    /// A change in stages did not come to its end.
    TakenBack,
}

impl From<String> for Failure {
    fn from(complaint: String) -> Failure {
        Failure::Complaint(complaint)
    }
}

pub type Done = Result<(), Failure>;

/// Set by Ctrl-C or SIGTERM; those who run in loops look at it, and what they started ends with them.
pub fn interruption() -> Result<Arc<AtomicBool>, String> {
    let flag = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        // A second one ends the program where it stands, should the first find it stuck.
        signal_hook::flag::register_conditional_shutdown(signal, 130, Arc::clone(&flag))
            .and_then(|_| signal_hook::flag::register(signal, Arc::clone(&flag)))
            .map_err(|e| format!("signals: {e}"))?;
    }
    Ok(flag)
}

/// A folder for one run, named after this process.
pub fn run_folder() -> PathBuf {
    std::env::temp_dir().join(format!("indigomast-{}", std::process::id()))
}

/// This very program as the daemon.
pub fn own_daemon() -> Result<indigomast_lab::sockets::keeper::Command, String> {
    let program = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
    Ok(indigomast_lab::sockets::keeper::Command { program, arguments: vec!["daemon".into()] })
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let done = match arguments.command {
        Command::Run { file } => install::run(&file),
        Command::Check { file } => install::check(&file),
        Command::Config { command } => install::config(command),
        Command::Seal { file } => install::seal(&file),
        Command::Completions { shell } => install::completions(shell),
        Command::Man => install::man(),
        Command::Demo { json } => demo::run(json),
        Command::Lab { command } => lab::run(command),
        Command::Emulate(arguments) => emulate::run(arguments),
        Command::Account { folder, span } => account::run(&folder, span),
        Command::Journal { command } => journal::run(command),
        Command::Keep { file } => rollout::keep(&file),
        Command::Rollout { command } => rollout::run(command),
        Command::Assignment { command } => control_plane::run(command),
        Command::Daemon => indigomast_sender::run().map_err(Failure::Complaint),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Complaint(complaint)) => {
            eprintln!("indigomast: {complaint}");
            ExitCode::FAILURE
        }
        Err(Failure::RuleBroken) => ExitCode::from(3),
        Err(Failure::RigLate) => {
            eprintln!("indigomast: the rig itself ran late; the run says nothing of the sender");
            ExitCode::from(4)
        }
        Err(Failure::Damaged) => ExitCode::from(5),
        Err(Failure::TakenBack) => ExitCode::from(6),
        Err(Failure::Interrupted) => ExitCode::from(130),
    }
}

/// Interrupted if that is why a run ended.
pub fn ended(complaint: String, stop: &AtomicBool) -> Failure {
    if stop.load(Ordering::Relaxed) { Failure::Interrupted } else { Failure::Complaint(complaint) }
}
