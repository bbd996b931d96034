//! `indigomast demo`: everything in one process tree, no file, no port, no variable needed, nothing left behind.

use crate::{Done, Failure, ended, interruption, own_daemon, run_folder};
use indicatif::{ProgressBar, ProgressStyle};
use indigomast_lab::outcome::Outcome;
use indigomast_lab::scenario::Scenario;
use indigomast_lab::sockets::{self, Options};
use indigomast_lab::world::Snapshot;

const SCENARIO: &str = include_str!("../../../scenarios/demo.toml");

/// A bar of so many signs for calls out against what a gateway can do.
fn bar(out: usize, most: usize) -> String {
    let filled = (out * 8).div_ceil(most.max(1)).min(8);
    "#".repeat(filled) + &".".repeat(8 - filled)
}

fn line(snapshot: &Snapshot) -> String {
    let gateways: Vec<String> = snapshot
        .in_flight
        .iter()
        .zip(&snapshot.capacity)
        .map(|(out, capacity)| {
            let state = if *capacity <= 0.0 { "silent".to_owned() } else { format!("{capacity:3.0}/s") };
            format!("[{} {state}]", bar(*out, 12))
        })
        .collect();
    format!("service {:.3}  {}", snapshot.service, gateways.join(" "))
}

pub fn run(json: bool) -> Done {
    let scenario = Scenario::parse(SCENARIO)?;
    let stop = interruption()?;
    let options = Options {
        daemons: vec![own_daemon()?],
        faults: None,
        change: None,
        folder: run_folder(),
        keep: false,
        stop: stop.clone(),
    };
    let bar = ProgressBar::new((scenario.seconds * 1000.0) as u64);
    bar.set_style(
        ProgressStyle::with_template("{elapsed:>4} {bar:20} {msg}")
            .map_err(|e| e.to_string())?
            .progress_chars("=> "),
    );
    if !json {
        eprintln!(
            "One sender, three gateways. The first falls silent after 3 s for 3 s and comes back cold."
        );
    }
    let mut watch = |snapshot: &Snapshot| {
        bar.set_position(snapshot.at_ms as u64);
        bar.set_message(line(snapshot));
    };
    let played = sockets::run(&scenario, scenario.seed, &options, &mut watch);
    bar.finish_and_clear();
    let outcome = played.map_err(|e| ended(e, &stop))?;
    if json {
        println!("{}", serde_json::to_string(&outcome).map_err(|e| e.to_string())?);
    } else {
        print!("{}", report(&outcome));
    }
    match (outcome.is_valid(), outcome.breach_count()) {
        (false, _) => Err(Failure::RigLate),
        (true, 0) => Ok(()),
        (true, _) => Err(Failure::RuleBroken),
    }
}

fn report(outcome: &Outcome) -> String {
    let of = |name: &str| outcome.ends.get(name).copied().unwrap_or(0);
    let latency = outcome.latency_ms;
    let mut text = format!(
        "texts          {} asked for, {} delivered, {} nacked, {} undeliverable\n\
         service        {:.3} of the revenue asked for ({:.3} in the worst 10 s)\n\
         latency        {:.0} ms in the middle, {:.0} ms at the 99th percentile\n\
         calls          {:.2} for each delivery\n",
        outcome.asked,
        of("delivered"),
        of("nacked"),
        of("undeliverable"),
        outcome.service,
        outcome.worst_10s,
        latency.p50,
        latency.p99,
        outcome.calls_a_delivery
    );
    for gateway in &outcome.gateways {
        text += &format!(
            "gateway {}      {} calls, {} ran, {} turned away, {} without an answer\n",
            gateway.destination, gateway.calls, gateway.ran, gateway.refused, gateway.unanswered
        );
    }
    text += match outcome.falls.len() {
        0 => "return         the gateway that came back cold was not pushed over\n",
        _ => "return         a gateway was pushed over as it came back\n",
    };
    match outcome.breach_count() {
        0 => text += "rules          none broken\n",
        count => {
            text += &format!("rules          {count} breaches\n");
            for breach in outcome.breaches.iter().take(5) {
                text += &format!("               {:?} {}: {}\n", breach.rule, breach.of, breach.evidence);
            }
        }
    }
    if !outcome.is_valid() {
        text += "rig            ran late itself; on a busy machine these figures say little\n";
    }
    text
}
