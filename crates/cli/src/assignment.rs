//! `indigomast lab assignment`: the machine of `indigomast-assignment` at size, in simulated time; or its carrier in real
//! processes, under faults.

use crate::{Done, Failure, ended, interruption, run_folder};
use clap::{Args, ValueEnum};
use indigomast::time::Span;
use indigomast_assignment::budget;
use indigomast_assignment::catalog::Settings;
use indigomast_assignment::day::{self, Day};
use indigomast_assignment::panel::{self, Report};
use indigomast_assignment::rehearsal::{Account, Plan};
use indigomast_lab::assignment::checker::{self, Spread as Times};
use indigomast_lab::assignment::history::History;
use indigomast_lab::assignment::stage::{self, Outcome, Sizes};
use std::fs;
use std::path::{Path, PathBuf};

#[derive(Clone, Copy, ValueEnum, PartialEq, Eq)]
enum Stage {
    /// All machines in simulated time
    Virtual,
    /// Control processes, agents and daemons on loopback addresses, with faults between and under them
    Processes,
}

#[derive(Args)]
pub struct Arguments {
    #[arg(long, value_enum, default_value = "virtual")]
    stage: Stage,
    /// 16,000 where it is not given (virtual only)
    #[arg(long)]
    senders: Option<u32>,
    /// 1,100,000 where it is not given (virtual only)
    #[arg(long)]
    destinations: Option<u32>,
    /// 39 where it is not given (virtual only)
    #[arg(long)]
    relays: Option<u32>,
    /// So many plans, with seeds that follow one another (processes only)
    #[arg(long, default_value_t = 1)]
    plans: u64,
    /// Some seconds with four senders instead of a minute with twelve (processes only)
    #[arg(long)]
    small: bool,
    /// Play only these faults of the plan, by their numbers: to find the fewest that still fail (processes only)
    #[arg(long, value_delimiter = ',')]
    only: Option<Vec<usize>>,
    /// Judge a history that was kept, and play nothing (processes only)
    #[arg(long)]
    judge: Option<PathBuf>,
    /// Leave files, logs and the history here (processes only)
    #[arg(long)]
    keep: Option<PathBuf>,
    /// A power of two with some 16 for each sender where it is not given
    #[arg(long)]
    shards: Option<u32>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Instead of the hard cases: a whole simulated day of restarts, machines replaced and changes all the while
    #[arg(long)]
    day: bool,
    /// Write all figures to this file
    #[arg(long)]
    json: Option<PathBuf>,
}

/// Processor time of this thread; waits for the processor don't count.
fn clock() -> Span {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Span::from_millis(now.tv_sec as f64 * 1e3 + now.tv_nsec as f64 / 1e6)
}

/// Resident, in bytes; 0 where that can't be read.
fn memory() -> usize {
    let pages = fs::read_to_string("/proc/self/statm").ok();
    let pages =
        pages.and_then(|text| text.split_whitespace().nth(1).and_then(|pages| pages.parse::<usize>().ok()));
    pages.unwrap_or(0) * 4096
}

fn line(case: &Account) {
    println!(
        "{:<50} {:>6.0} s  {:>5} changes  in force after {:.2}/{:.2}/{:.2} s (median/p99/most), {} over 10 s, {} \
         never  {:.0} B/s a sender, most in 10 s {}  {} moved, {} snapshots, {} taken up, {} resumed, {} refused",
        case.name,
        case.seconds,
        case.changes,
        case.in_force_s.median,
        case.in_force_s.p99,
        case.in_force_s.most,
        case.over_10_s,
        case.unfinished,
        case.sender_bytes_a_second,
        case.sender_most_in_10_s,
        case.moved,
        case.snapshots,
        case.taken_up,
        case.resumed,
        case.refused,
    );
}

fn print(report: &Report) {
    println!(
        "memory: sender {:.1} KB (most {:.1} KB; of the process {:.1} KB each) for {:.0} destinations (most {}); \
         relay {:.1} MB, {} senders at most; controller {:.1} MB",
        report.sender_memory_mean / 1e3,
        report.sender_memory_most as f64 / 1e3,
        report.process_bytes_a_sender / 1e3,
        report.sender_destinations_mean,
        report.sender_destinations_most,
        report.relay_memory_mean / 1e6,
        report.relay_sessions_most,
        report.controller_memory as f64 / 1e6,
    );
    println!(
        "processor: a change costs a relay {:.1} us to take in ({:.1} us in all, idle time taken off), the controller \
         {:.1} us; loading all {:.1} s",
        report.relay_us_a_change,
        report.relay_us_a_change_idle_taken_off,
        report.controller_us_a_change,
        report.first_load_controller_s,
    );
    for case in &report.cases {
        println!(
            "  {:<50} sender {:.4}% of a core, {:.1} us a frame that changes something; relay {:.3}%, controller {:.2}%",
            case.name,
            case.sender_cpu_share * 100.0,
            case.sender_us_a_change,
            case.relay_cpu_share * 100.0,
            case.controller_cpu_share * 100.0,
        );
    }
    for moves in &report.moves {
        println!(
            "{} ({} senders): {} moves, {} the least; {:.0} s; highest load {:.3} of the mean, bound {:.3}, {} \
             beyond; at most {} shards without an owner that runs",
            moves.what,
            moves.senders,
            moves.moved,
            moves.least,
            moves.seconds,
            moves.highest_load_to_mean,
            moves.bound_to_mean,
            moves.beyond_bound,
            moves.without_owner,
        );
    }
    let base = &report.baseline;
    println!(
        "everybody told everything: {:.1} MB a sender, a snapshot of {:.1} MB ({:.0} s at a sender's rate), {:.0} B/s \
         at 0.76 changes a second and {:.0} B/s at 76, {:.1} us a change",
        base.memory_bytes as f64 / 1e6,
        base.snapshot_bytes as f64 / 1e6,
        base.snapshot_s_at_a_senders_rate,
        base.bytes_a_second_at_mean,
        base.bytes_a_second_at_burst,
        base.us_a_change,
    );
}

pub fn run(arguments: Arguments) -> Done {
    if arguments.stage == Stage::Processes {
        return play(arguments);
    }
    let Arguments { senders, destinations, relays, shards, seed, day, json, .. } = arguments;
    let (senders, destinations) = (senders.unwrap_or(16_000), destinations.unwrap_or(1_100_000));
    let relays = relays.unwrap_or(39);
    for (name, given, least) in
        [("senders", senders, 100), ("destinations", destinations, 100), ("relays", relays, 4)]
    {
        if given < least {
            return Err(Failure::Complaint(format!("--{name}: {given}, {least} or more are needed")));
        }
    }
    let shards = shards.unwrap_or_else(|| (senders * 8).next_power_of_two());
    let settings = Settings { shards, ..Settings::default() };
    let clock = Some(clock as fn() -> Span);
    let (pace, controllers, regions, zones) = (budget::SENDER, 2, 5, 10);
    let plan =
        Plan { senders, destinations, relays, controllers, regions, zones, seed, settings, pace, clock };
    println!(
        "simulated: {senders} senders, {destinations} destinations, {relays} relays, {shards} shards, seed {seed}"
    );
    let report = match day.then(|| Day::of(&plan)) {
        Some(day) => day::play(plan, &day, memory, &mut line),
        None => panel::play(plan, memory, &mut line),
    };
    print(&report);
    if let Some(path) = json {
        let text = serde_json::to_string(&report).map_err(|e| e.to_string())?;
        fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    for broken in &report.broken {
        eprintln!("broken: {broken}");
    }
    if report.broken.is_empty() { Ok(()) } else { Err(Failure::RuleBroken) }
}

fn tell(outcome: &Outcome) {
    let verdict = &outcome.verdict;
    let spread = |of: &Times| format!("{:.0}/{:.0}/{:.0} ms of {}", of.median, of.p99, of.most, of.count);
    println!(
        "seed {}: {} in {:.1} s: {} eras, {} changes ({} undone, {} unanswered), in force after {} (median/p99/most), \
         shards gained {}, let go {}, settled after {}; {} parts seen ({} of one position), {} pages, {} daemons' \
         lists, {} calls; senders could be reached {:.0}% of the time, were cut off {:.0}%",
        outcome.seed,
        if verdict.is_sound() { "sound" } else { "ACCUSED" },
        outcome.took_s,
        verdict.eras,
        verdict.changes,
        verdict.undone,
        verdict.unanswered,
        spread(&verdict.in_force_ms),
        spread(&verdict.gained_ms),
        spread(&verdict.released_ms),
        verdict.settled_ms.map_or("NEVER".into(), |ms| format!("{ms:.0} ms")),
        verdict.parts,
        verdict.parts_of_one_position,
        verdict.pages,
        verdict.daemon_sizes,
        verdict.daemon_calls,
        verdict.reachable_share * 100.0,
        verdict.cut_off_share * 100.0,
    );
    for (at, fault) in outcome.faults.iter().enumerate() {
        println!("    {at}: {fault}");
    }
    outcome.notes.iter().for_each(|note| println!("    note: {note}"));
    for accusation in verdict.accusations.iter().take(30) {
        eprintln!("accused: {accusation}");
    }
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn play(arguments: Arguments) -> Done {
    let Arguments { plans, small, only, keep, judge, seed, json, .. } = arguments;
    let virtual_only = [
        ("--senders", arguments.senders.is_some()),
        ("--destinations", arguments.destinations.is_some()),
        ("--relays", arguments.relays.is_some()),
        ("--shards", arguments.shards.is_some()),
        ("--day", arguments.day),
    ];
    if let Some((name, _)) = virtual_only.iter().find(|(_, given)| *given) {
        return Err(Failure::Complaint(format!("{name}: only --stage virtual reads it")));
    }
    if let Some(path) = judge {
        let text = fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        let history: History = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", path.display()))?;
        let verdict = checker::check(&history, checker::Bounds::default());
        verdict.accusations.iter().for_each(|accusation| eprintln!("accused: {accusation}"));
        println!("{}", serde_json::to_string_pretty(&verdict).map_err(|e| e.to_string())?);
        return if verdict.is_sound() { Ok(()) } else { Err(Failure::RuleBroken) };
    }
    let program = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
    let stop = interruption()?;
    let sizes = if small { Sizes::small() } else { Sizes::usual() };
    let mut outcomes: Vec<Outcome> = Vec::new();
    for seed in seed..seed + plans {
        let folder = keep.clone().unwrap_or_else(run_folder).join(format!("plan-{seed}"));
        if folder.exists() {
            // State of another run would be taken up by this one's processes.
            return Err(Failure::Complaint(format!("--keep: {} is there already", folder.display())));
        }
        let options = stage::Options {
            program: program.clone(),
            folder: folder.clone(),
            stop: stop.clone(),
            only: only.clone(),
        };
        let played: Result<(Outcome, History), String> = stage::run(&sizes, seed, &options);
        if keep.is_none() {
            _ = fs::remove_dir_all(&folder);
            _ = fs::remove_dir(run_folder());
        }
        let (outcome, history) = played.map_err(|e| ended(e, &stop))?;
        tell(&outcome);
        if keep.is_some() {
            let text = serde_json::to_string(&history).map_err(|e| e.to_string())?;
            write(&folder.join("history.json"), &text)?;
        }
        outcomes.push(outcome);
        if let Some(path) = &json {
            write(path, &serde_json::to_string(&outcomes).map_err(|e| e.to_string())?)?;
        }
    }
    if outcomes.iter().all(|outcome| outcome.verdict.is_sound()) { Ok(()) } else { Err(Failure::RuleBroken) }
}
