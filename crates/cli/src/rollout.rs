//! `indigomast keep` and `indigomast rollout`: a change over many senders, and what each machine has for it.

use crate::{Done, Failure, interruption};
use clap::{Args, Subcommand};
use indigomast_keep::keeping::{Config, Keeper};
use indigomast_keep::steering::{self, Command as Said, Settings};
use indigomast_keep::{report, steering::Done as Came};
use indigomast_rollout::steering::Phase;
use indigomast_sender::log::{Format, Sink};
use log::LevelFilter;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::sync::atomic::Ordering;
use std::time::Duration;

#[derive(Args)]
pub struct At {
    /// The folder of the controller's record
    #[arg(long)]
    record: PathBuf,
    /// A file with the key that controller and keepers share
    #[arg(long)]
    key: PathBuf,
}

#[derive(Subcommand)]
pub enum Command {
    /// Say everything that stands in the way of a plan, or who is changed in which stage
    Check { plan: PathBuf },
    /// Steer a change until it is final, taken back or given up; started again it goes on where it was
    Start {
        plan: PathBuf,
        #[command(flatten)]
        at: At,
    },
    /// How a change stands, by the controller that runs
    Status {
        #[command(flatten)]
        at: At,
        #[arg(long)]
        json: bool,
    },
    /// Ask nobody for anything more
    Halt {
        #[command(flatten)]
        at: At,
    },
    /// Go on after a halt
    GoOn {
        #[command(flatten)]
        at: At,
    },
    /// Take everybody back to the old side
    Back {
        #[command(flatten)]
        at: At,
    },
    /// Leave a halted change as it is
    GiveUp {
        #[command(flatten)]
        at: At,
    },
    /// One page: stages, both sides, the reason of each decision
    Report {
        #[arg(long)]
        record: PathBuf,
        #[arg(long)]
        html: PathBuf,
    },
}

pub fn keep(file: &Path) -> Done {
    let config = Config::load(file)?;
    Sink::new("indigomast", Format::Plain, 20).install(LevelFilter::Warn);
    let stop = interruption()?;
    let name = config.name.clone();
    let keeper = Keeper::start(config).map_err(|e| format!("{}: {e}", file.display()))?;
    eprintln!(
        "indigomast: keeps {name} for clients at {} and hears orders at {}",
        keeper.clients, keeper.address
    );
    while !stop.load(Ordering::Relaxed) {
        std::thread::sleep(Duration::from_millis(50));
    }
    // The sender stays: to end it is its operators' business.
    keeper.leave();
    Ok(())
}

pub fn run(command: Command) -> Done {
    let say = |at: &At, said: Said| -> Done { show(&steering::command(&at.record, &at.key, said)?, false) };
    match command {
        Command::Check { plan } => check(&plan),
        Command::Start { plan, at } => {
            let stop = interruption()?;
            let settings = Settings { plan, key: at.key, record: at.record, stop };
            match steering::steer(&settings, &mut |line| eprintln!("indigomast: {line}"))? {
                Came::Over(Phase::Final) => Ok(()),
                Came::Over(_) => Err(Failure::TakenBack),
                Came::Superseded => Err(Failure::Complaint("another controller steers this change".into())),
                Came::Stopped => Err(Failure::Interrupted),
            }
        }
        Command::Status { at, json } => show(&steering::command(&at.record, &at.key, Said::Status)?, json),
        Command::Halt { at } => say(&at, Said::Halt),
        Command::GoOn { at } => say(&at, Said::GoOn),
        Command::Back { at } => say(&at, Said::Back),
        Command::GiveUp { at } => say(&at, Said::GiveUp),
        Command::Report { record, html } => {
            let page = report::html(&record)?;
            std::fs::write(&html, page).map_err(|e| Failure::Complaint(format!("{}: {e}", html.display())))
        }
    }
}

fn check(path: &Path) -> Done {
    let plan = steering::load(path)?;
    let missing = [("program", &plan.to.program), ("settings", &plan.to.settings)];
    for (field, file) in missing.into_iter().filter_map(|(field, file)| Some((field, file.as_ref()?))) {
        if !file.is_file() {
            // It has to be there on the senders' machines; here it may not be.
            eprintln!("indigomast: {}: to.{field}: {} is no file here", path.display(), file.display());
        }
    }
    println!(
        "{}: {} senders, {} stages, {} away at most",
        plan.name,
        plan.senders.len(),
        plan.stages.len(),
        plan.limits.away
    );
    for (number, stage) in plan.stages.iter().enumerate() {
        let of = plan.senders.iter().filter(|sender| sender.stage == number);
        let names: Vec<&str> = of.map(|sender| sender.name.as_str()).collect();
        let (least, texts) = (stage.least.as_secs(), stage.least_texts);
        println!("  {}: {} for {least:.0} s and {texts} texts at the least", number + 1, names.join(", "));
    }
    Ok(())
}

fn show(status: &Value, json: bool) -> Done {
    if json {
        println!("{status}");
        return Ok(());
    }
    let word = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
    println!(
        "{}: {} (stage {} of {}, epoch {}) {}",
        word(&status["plan"]),
        word(&status["phase"]),
        status["stage"].as_u64().unwrap_or(0) + 1,
        status["stages"],
        status["epoch"],
        word(&status["reason"])
    );
    for sender in status["senders"].as_array().into_iter().flatten() {
        println!(
            "  {:<16} stage {} {:<5} {:<8} {:<8} {}",
            word(&sender["name"]),
            sender["stage"].as_u64().unwrap_or(0) + 1,
            word(&sender["side"]),
            if sender["serving"] == true { "serves" } else { "away" },
            if sender["heard"] == true { "" } else { "silent" },
            word(&sender["trouble"])
        );
    }
    for figure in status["figures"].as_array().into_iter().flatten() {
        println!(
            "  {:<14} {:<12} {:+.4} over {} looks (worse: {:.1e}, fine: {:.1e})",
            word(&figure["figure"]),
            figure["product"].as_str().unwrap_or(""),
            figure["mean"].as_f64().unwrap_or(0.0),
            figure["looks"],
            figure["worse"].as_f64().unwrap_or(0.0),
            figure["fine"].as_f64().unwrap_or(0.0)
        );
    }
    Ok(())
}
