//! `indigomast emulate`: gateways and list alone.

use crate::{Done, interruption, own_daemon, run_folder};
use indigomast_lab::scenario::Scenario;
use indigomast_lab::sockets::{self, Options, Variables};
use std::path::PathBuf;

#[derive(clap::Args)]
pub struct Arguments {
    /// The scenario whose gateways and troubles are played
    file: PathBuf,
    /// Where the configuration of each sender is written; a folder of its own, taken away at the end, without it
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Another seed than the scenario's
    #[arg(long)]
    seed: Option<u64>,
    /// End by itself after so many seconds; otherwise at Ctrl-C
    #[arg(long)]
    seconds: Option<u64>,
}

pub fn run(arguments: Arguments) -> Done {
    let scenario = Scenario::load(&arguments.file)?;
    let seed = arguments.seed.unwrap_or(scenario.seed);
    let stop = interruption()?;
    let keep = arguments.folder.is_some();
    let folder = arguments.folder.unwrap_or_else(run_folder);
    let options = Options {
        daemons: vec![own_daemon()?],
        faults: None,
        change: None,
        folder,
        keep,
        stop: stop.clone(),
    };
    let mut ready = |senders: &[Variables]| {
        println!(
            "# Variables of each sender; start one with these and `indigomast daemon` or `indigomastd`."
        );
        for (number, variables) in senders.iter().enumerate() {
            println!("# sender {number}");
            for (name, value) in variables {
                println!("export {name}={value}");
            }
        }
    };
    let mut watched = std::time::Instant::now();
    let begun = watched;
    let mut watch = |snapshot: &indigomast_lab::world::Snapshot| {
        if arguments.seconds.is_some_and(|most| begun.elapsed().as_secs() >= most) {
            stop.store(true, std::sync::atomic::Ordering::Relaxed);
        }
        if watched.elapsed().as_secs() >= 1 {
            watched = std::time::Instant::now();
            let out: usize = snapshot.in_flight.iter().sum();
            eprintln!(
                "{:6.1} s  {out} calls out, {} gateways pushed over",
                snapshot.at_ms / 1000.0,
                snapshot.falls
            );
        }
    };
    sockets::emulate(&scenario, seed, &options, &mut ready, &mut watch)?;
    Ok(())
}
