//! The program that measures: it counts every allocation, which a sender's program must not pay for. `indigomast lab scale`
//! starts it.

use clap::Parser;
use indigomast_scale::meter::{Heap, Meter};
use indigomast_scale::report::{Point, RUNS, Report, figure};
use indigomast_scale::{Role, real, roles};
use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;
use std::path::PathBuf;
use std::process::ExitCode;

#[global_allocator]
static COUNTING: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// What a role costs by its size, in hollow senders: points, a line through them, and how far it reaches.
#[derive(Parser)]
#[command(name = "indigomast-scale", version)]
struct Arguments {
    /// Which role; all of them, one after another, where none is named
    #[arg(long)]
    role: Option<String>,
    /// The greatest size; the role's own where none is said
    #[arg(long)]
    to: Option<f64>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Real daemons of this program instead of hollow senders: destinations, active, owed or changes
    #[arg(long)]
    daemon: Option<PathBuf>,
    /// Write points, fits and extrapolations to this file
    #[arg(long)]
    json: Option<PathBuf>,
}

fn heap() -> Heap {
    let stats = COUNTING.stats();
    Heap {
        bytes: stats.bytes_allocated.wrapping_sub(stats.bytes_deallocated) as u64,
        blocks: stats.allocations.wrapping_sub(stats.deallocations) as u64,
    }
}

fn run(arguments: &Arguments) -> Result<(), String> {
    let meter = Meter::new(heap);
    let all: Vec<Box<dyn Role>> = match &arguments.daemon {
        Some(daemon) => real::all(daemon, &[]),
        None => roles::all(),
    };
    let chosen = match &arguments.role {
        Some(name) => vec![roles::among(all, name)?],
        None => all,
    };
    let runs = if arguments.daemon.is_some() { 1 } else { RUNS };
    let mut reports = Vec::new();
    for role in chosen {
        let to = arguments.to.unwrap_or(role.range().1);
        println!("{} by {}, seed {}", role.name(), role.unit(), arguments.seed);
        let mut tell = |point: &Point| {
            let readings = point.readings.iter();
            let readings: Vec<String> = readings
                .map(|reading| format!("{} {}", reading.name, figure(reading.value, reading.sort)))
                .collect();
            println!("  {}: {}", point.size, readings.join("; "));
        };
        let report = Report::run(&*role, to, arguments.seed, runs, &meter, &mut tell)?;
        print!("{}", report.text());
        reports.push(report);
    }
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&reports).map_err(|e| e.to_string())?;
        std::fs::write(path, text + "\n").map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    // A daemon for tests, which know this program alone: it counts its allocations, and its figures are not for a page.
    let done = match std::env::args().nth(1).as_deref() {
        Some("daemon") => indigomast_sender::run(),
        _ => run(&Arguments::parse()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(complaint) => {
            eprintln!("indigomast-scale: {complaint}");
            ExitCode::FAILURE
        }
    }
}
