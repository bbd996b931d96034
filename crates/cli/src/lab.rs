//! `indigomast lab`: experiments.

use crate::{Done, Failure, ended, interruption, own_daemon, run_folder};
use clap::{Subcommand, ValueEnum};
use indigomast_lab::compare::{compare, table};
use indigomast_lab::outcome::{Outcome, Runs};
use indigomast_lab::policy::{ALL, Name};
use indigomast_lab::scenario::{Rollout, Scenario};
use indigomast_lab::sockets::{self, Change, Options, keeper};
use indigomast_lab::{report, simulated};
use std::fs;
use std::path::{Path, PathBuf};

#[derive(Clone, Copy, ValueEnum, PartialEq, Eq)]
pub enum Stage {
    /// Instances of the decisions in simulated time
    Virtual,
    /// Real daemons on loopback addresses in real time
    Sockets,
    /// The same with a relay on every line, and the scenario's faults between and under the processes
    Processes,
}

#[derive(Subcommand)]
pub enum Command {
    /// Play a scenario, some runs of it with seeds that follow one another
    Run {
        file: PathBuf,
        #[arg(long, value_enum, default_value = "virtual")]
        stage: Stage,
        #[arg(long, default_value_t = 1)]
        runs: u64,
        /// The first seed; the scenario's where it is not given
        #[arg(long)]
        seed: Option<u64>,
        /// Every run with the same seed, to see what chance of the machine is left
        #[arg(long)]
        same_seed: bool,
        /// module, one-try, retry-at-once, fixed-window, clairvoyant or all (virtual only)
        #[arg(long, default_value = "module")]
        policy: String,
        #[arg(long, default_value_t = 4)]
        threads: usize,
        /// Another daemon than this program's own; given several times, senders take them in turn (sockets, processes)
        #[arg(long)]
        daemon: Vec<PathBuf>,
        /// What the new side of a change runs, instead of the same program under another name (processes only)
        #[arg(long)]
        new: Option<PathBuf>,
        /// Play only these faults of the plan, by their numbers: to find the fewest that still fail (processes only)
        #[arg(long, value_delimiter = ',')]
        only: Option<Vec<usize>>,
        /// Leave the senders' folders and logs here (sockets, processes)
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Write all runs to this file
        #[arg(long)]
        json: Option<PathBuf>,
        /// Nothing on standard output
        #[arg(long)]
        quiet: bool,
    },
    /// What differs between two files of runs, with its spread over seeds
    Compare {
        before: PathBuf,
        after: PathBuf,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// One page with plots
    Report {
        runs: PathBuf,
        #[arg(long)]
        html: PathBuf,
    },
    /// Which senders serve which destinations: all hard cases in simulated time, at any size
    Assignment(crate::assignment::Arguments),
    /// A table of service by scenario and policy, of several files of runs
    Table { runs: Vec<PathBuf> },
    /// What a role costs by its size: points, a line through them, and how far it reaches
    Scale {
        /// destinations, outages, owed, senders, changes, settings or rollout; all where none is named
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
    },
}

fn read(path: &Path) -> Result<Runs, Failure> {
    let text = fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_str(&text).map_err(|e| Failure::Complaint(format!("{}: {e}", path.display())))
}

fn write(path: &Path, text: &str) -> Result<(), Failure> {
    fs::write(path, text).map_err(|e| Failure::Complaint(format!("{}: {e}", path.display())))
}

fn line(run: &Outcome) -> String {
    let breaches = match run.breach_count() {
        0 => "no rule broken".to_owned(),
        _ => run.breach_counts.iter().map(|(rule, n)| format!("{rule} {n}")).collect::<Vec<_>>().join(", "),
    };
    let mut strangers = String::new();
    if let Some(seen) = run.strangers.filter(|seen| seen.opened > 0) {
        strangers = format!(
            "  strangers: {} came, {} not connected, {} answered, {} ended, silent {:.0} ms at most",
            seen.opened, seen.unconnected, seen.answered, seen.ended, seen.longest_silent_ms
        );
    }
    if let Some(burst) = run.strangers.map(|seen| seen.burst).filter(|burst| burst.opened > 0) {
        strangers.push_str(&format!(
            "  bursts: {} came, {} connected, {} answered, {} ended, slowest {:.0} ms",
            burst.opened, burst.connected, burst.answered, burst.ended, burst.slowest_ms
        ));
    }
    let late = if run.is_valid() { "" } else { "  RIG LATE" };
    format!(
        "{:<14} {:<8} {:<14} seed {:<4} service {:.4} worst {:.3}  {:.2} calls a delivery  p99 {:.0} ms  \
         {} pushed over  {breaches}{strangers}{late}",
        run.scenario,
        run.stage,
        run.policy,
        run.seed,
        run.service,
        run.worst_10s,
        run.calls_a_delivery,
        run.latency_ms.p99,
        run.falls.len()
    )
}

/// A change of program is one to a script that becomes the same program, unless another is named.
fn change_of(rollout: Rollout, new: &Option<PathBuf>, folder: &Path) -> Result<Change, String> {
    use std::os::unix::fs::PermissionsExt;
    let program = own_daemon()?.program;
    let new = match (new, rollout.settings.is_empty()) {
        (Some(new), _) => Some(new.clone()),
        (None, false) => None,
        (None, true) => {
            let path = folder.join("new-side");
            let script = format!("#!/bin/sh\nexec '{}' \"$@\"\n", program.display());
            let written = fs::create_dir_all(folder).and_then(|()| fs::write(&path, script));
            let written =
                written.and_then(|()| fs::set_permissions(&path, fs::Permissions::from_mode(0o755)));
            written.map_err(|e| format!("{}: {e}", path.display()))?;
            Some(path)
        }
    };
    Ok(Change { program, new, rollout })
}

pub fn run(command: Command) -> Done {
    match command {
        Command::Run {
            file,
            stage,
            runs,
            seed,
            same_seed,
            policy,
            threads,
            daemon,
            new,
            only,
            keep,
            json,
            quiet,
        } => {
            let scenario = Scenario::load(&file)?;
            let first = seed.unwrap_or(scenario.seed);
            let seeds: Vec<u64> = (0..runs).map(|n| if same_seed { first } else { first + n }).collect();
            let mut played = Runs::default();
            if stage == Stage::Virtual {
                if !scenario.plan_of_faults(first).is_empty() {
                    let file = file.display();
                    let complaint = format!("{file}: faults: only --stage processes carries them out");
                    return Err(Failure::Complaint(complaint));
                }
                if !scenario.burden.is_none() {
                    let file = file.display();
                    return Err(Failure::Complaint(format!(
                        "{file}: burden: only --stage sockets carries it out"
                    )));
                }
                let policies = if policy == "all" { ALL.to_vec() } else { vec![Name::parse(&policy)?] };
                let asked: Vec<_> =
                    policies.iter().flat_map(|policy| seeds.iter().map(|seed| (*policy, *seed))).collect();
                played.runs = simulated::run_all(&scenario, &asked, threads);
                if !quiet {
                    played.runs.iter().for_each(|run| println!("{}", line(run)));
                }
            } else {
                if policy != "module" {
                    return Err(Failure::Complaint(format!(
                        "--policy {policy}: daemons have only the module"
                    )));
                }
                let stop = interruption()?;
                let given = |program| keeper::Command { program, arguments: Vec::new() };
                let mut daemons: Vec<_> = daemon.into_iter().map(given).collect();
                if daemons.is_empty() {
                    daemons.push(own_daemon()?);
                }
                for (number, seed) in seeds.iter().enumerate() {
                    let folder = keep.clone().unwrap_or_else(run_folder).join(format!("run-{number}"));
                    if folder.exists() {
                        // State of another run would be taken up by this one's senders.
                        let complaint = format!("--keep: {} is there already", folder.display());
                        return Err(Failure::Complaint(complaint));
                    }
                    let plan = scenario.plan_of_faults(*seed);
                    let faults = (stage == Stage::Processes).then(|| match &only {
                        Some(only) => only.iter().filter_map(|at| plan.get(*at).cloned()).collect(),
                        None => plan,
                    });
                    let (daemons, halt) = (daemons.clone(), stop.clone());
                    let change = scenario.change.clone().filter(|_| stage == Stage::Processes);
                    let change = change.map(|rollout| change_of(rollout, &new, &folder)).transpose()?;
                    let options =
                        Options { daemons, faults, change, folder, keep: keep.is_some(), stop: halt };
                    let outcome = sockets::run(&scenario, *seed, &options, &mut |_| {});
                    if keep.is_none() {
                        _ = fs::remove_dir(run_folder());
                    }
                    let outcome = outcome.map_err(|e| ended(e, &stop))?;
                    if !quiet {
                        println!("{}", line(&outcome));
                        if let Some(change) = &outcome.change {
                            let runs: Vec<String> =
                                change.runs.iter().map(|(r, n)| format!("{n} by {r}")).collect();
                            let wanted = if change.as_wanted { "as wanted" } else { "NOT AS WANTED" };
                            let (out, took) = (&change.came_out, change.took_s);
                            println!("    change: {out} after {took:.1} s, {wanted}; {}", runs.join(", "));
                        }
                        for (at, fault) in outcome.faults.iter().enumerate() {
                            println!("    {at}: {:.1} s for {:.1} s: {fault}", fault.at_s, fault.for_s);
                        }
                    }
                    played.runs.push(outcome);
                }
            }
            if let Some(path) = json {
                write(&path, &serde_json::to_string(&played).map_err(|e| e.to_string())?)?;
            }
            // Baselines are there to break rules; what counts is the project's own.
            let own = || played.runs.iter().filter(|run| run.policy == "module");
            // Of a run in which the rig was late not even a broken rule says anything.
            let sound = || own().filter(|run| run.is_valid());
            if sound().any(|run| run.breach_count() > 0) {
                for breach in sound().flat_map(|run| &run.breaches).take(10) {
                    eprintln!(
                        "{:?} at {:.0} ms, {}: {}",
                        breach.rule, breach.at_ms, breach.of, breach.evidence
                    );
                }
                return Err(Failure::RuleBroken);
            }
            if own().any(|run| run.change.as_ref().is_some_and(|change| !change.as_wanted)) {
                return Err(Failure::TakenBack);
            }
            if own().any(|run| !run.is_valid()) {
                return Err(Failure::RigLate);
            }
            Ok(())
        }
        Command::Compare { before, after, json } => {
            let found = compare(&read(&before)?, &read(&after)?);
            if found.is_empty() {
                return Err(Failure::Complaint("the two files have no scenario and stage in common".into()));
            }
            for difference in found {
                let (service, calls) = (difference.paired, difference.calls);
                if json {
                    let value = serde_json::json!({
                        "scenario": difference.scenario, "stage": difference.stage,
                        "policies": [difference.policies.0, difference.policies.1],
                        "before": difference.before.mean, "after": difference.after.mean,
                        "difference": service.mean, "half_width": service.half, "seeds": service.count,
                        "clear": service.is_clear(), "calls_a_delivery": calls.mean,
                        "breaches": [difference.breaches.0, difference.breaches.1],
                    });
                    println!("{value}");
                    continue;
                }
                let verdict = if service.is_clear() { "clear" } else { "within noise" };
                println!(
                    "{:<14} {:<8} {} -> {}: service {:.4} -> {:.4}, {:+.4} +- {:.4} over {} seeds ({verdict}); \
                     calls a delivery {:+.3} +- {:.3}; breaches {} -> {}",
                    difference.scenario,
                    difference.stage,
                    difference.policies.0,
                    difference.policies.1,
                    difference.before.mean,
                    difference.after.mean,
                    service.mean,
                    service.half,
                    service.count,
                    calls.mean,
                    calls.half,
                    difference.breaches.0,
                    difference.breaches.1
                );
            }
            Ok(())
        }
        Command::Report { runs, html } => write(&html, &report::html(&read(&runs)?)?),
        Command::Scale { role, to, seed, daemon, json } => scale(role, to, seed, daemon, json),
        Command::Assignment(arguments) => crate::assignment::run(arguments),
        Command::Table { runs } => {
            let mut all = Runs::default();
            for path in &runs {
                all.runs.extend(read(path)?.runs);
            }
            println!("| scenario | {} |", ALL.map(Name::as_str).join(" | "));
            println!("| --- |{}", " --- |".repeat(ALL.len()));
            for (scenario, policies) in table(&all) {
                let cells = ALL.map(|name| match policies.get(name.as_str()) {
                    Some((spread, 0)) => format!("{:.3} ± {:.3}", spread.mean, spread.half),
                    Some((spread, breaches)) => {
                        format!("{:.3} ± {:.3} ({breaches})", spread.mean, spread.half)
                    }
                    None => "-".into(),
                });
                println!("| {scenario} | {} |", cells.join(" | "));
            }
            Ok(())
        }
    }
}

/// The program that measures stands beside this one: it counts every allocation, which a sender must not pay for.
fn scale(
    role: Option<String>,
    to: Option<f64>,
    seed: u64,
    daemon: Option<PathBuf>,
    json: Option<PathBuf>,
) -> Done {
    let own = std::env::current_exe().map_err(|e| format!("this program's own path: {e}"))?;
    let program = own.with_file_name("indigomast-scale");
    let mut command = std::process::Command::new(&program);
    command.arg("--seed").arg(seed.to_string());
    role.iter().for_each(|role| _ = command.arg("--role").arg(role));
    to.iter().for_each(|to| _ = command.arg("--to").arg(to.to_string()));
    daemon.iter().for_each(|daemon| _ = command.arg("--daemon").arg(daemon));
    json.iter().for_each(|json| _ = command.arg("--json").arg(json));
    let status = command.status().map_err(|e| format!("{}: {e}", program.display()))?;
    match status.code() {
        Some(0) => Ok(()),
        // A signal that came from the keyboard reached both.
        None | Some(130) => Err(Failure::Interrupted),
        Some(_) => Err(Failure::Complaint(format!("{} ended: {status}", program.display()))),
    }
}
