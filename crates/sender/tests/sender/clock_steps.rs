//! The machine's wall clock is stepped between two lives of a sender, and between two processes of one.

use crate::common::*;
use crate::faults::errno::EINVAL;
use crate::faults::{Call, Plan};
use crate::witness::{Witness, hand_in_until_taken};
use std::thread;
use std::time::{Duration, Instant};

/// Forward and back, by seconds or by an hour, in milliseconds.
const STEPS: [i64; 8] = [3_000, 20_000, 30_000, 3_600_000, -3_000, -20_000, -30_000, -3_600_000];

/// Texts with 20 s to live are taken while every endpoint is silent; the process is killed, the clock stepped, the next
/// started at once. Nearly all of their real time is left, so each is tried and delivered, and none handed back.
fn texts_outlive(step: i64) {
    let (witness, folder) = (Witness::new(3, true), Folder::new());
    let plan = Plan::new(&folder);
    let start = || Daemon::start_by(plan.binds(command(&witness.config, &folder)));
    let mut daemon = start();
    let ids: Vec<String> = (0..24).map(|at| format!("t{at}")).collect();
    for (at, id) in ids.iter().enumerate() {
        let product = ["free", "marked"][at % 2];
        hand_in_until_taken(&daemon, &text(product, id, at as u64 % 3, "k", b"hello"));
    }
    daemon.kill();
    plan.steps_clock(step);
    witness.falls_silent(false);
    let _daemon = start();
    let open = witness.without_end(&ids, Duration::from_secs(15));
    let seen = witness.seen();
    assert!(open.is_empty(), "stepped by {step} ms: no end of {open:?}");
    assert!(seen.notices.is_empty(), "stepped by {step} ms: given up: {:?}", seen.notices);
}

#[test]
fn texts_taken_before_a_step_of_the_clock_are_tried_after_it() {
    thread::scope(|scope| {
        STEPS.into_iter().for_each(|step| _ = scope.spawn(move || texts_outlive(step)));
    });
}

/// A text that may have run is out at the kill. However the clock is stepped, it is repeated within the second for which its
/// receiver remembers it, or never.
fn a_doubt_keeps_its_age(step: i64, gone: Duration) {
    let (mut witness, folder) = (Witness::new(1, true), Folder::new());
    let window = Duration::from_millis(1000);
    for category in witness.config["settings"]["categories"].as_array_mut().expect("a list") {
        category["window-ms"] = serde_json::json!(window.as_millis() as f64);
    }
    let plan = Plan::new(&folder);
    let start = || Daemon::start_by(plan.binds(command(&witness.config, &folder)));
    let mut daemon = start();
    hand_in_until_taken(&daemon, &text("marked", "m", 0, "k", b"hello"));
    let by = Instant::now() + PATIENCE;
    while witness.seen().calls.is_empty() && Instant::now() < by {
        thread::sleep(Duration::from_millis(1));
    }
    daemon.kill();
    plan.steps_clock(step);
    witness.falls_silent(false);
    thread::sleep(gone);
    let _daemon = start();
    let ids = ["m".to_owned()];
    let open = witness.without_end(&ids, Duration::from_secs(25));
    assert!(open.is_empty(), "stepped by {step} ms, gone for {gone:?}: no end");
    // What is read late by a busy machine was sent earlier; a moment is allowed for that.
    let calls = witness.seen().calls["m"].clone();
    let age = calls.last().expect("one call").duration_since(calls[0]);
    assert!(age < window + Duration::from_millis(100), "stepped by {step} ms: repeated after {age:?}");
}

#[test]
fn a_step_of_the_clock_makes_no_doubt_younger() {
    thread::scope(|scope| {
        for step in [-1_000, -3_000, -3_600_000] {
            for gone in [0, 1_000, 1_500] {
                scope.spawn(move || a_doubt_keeps_its_age(step, Duration::from_millis(gone)));
            }
        }
    });
}

/// A system without the clock of the boot: the sender starts, goes by the wall clock as it did before there was another, and
/// a text outlives a restart.
#[test]
fn a_sender_without_a_clock_of_the_boot_goes_by_the_wall_clock() {
    let (witness, folder) = (Witness::new(1, true), Folder::new());
    let plan = Plan::new(&folder);
    plan.fails(Call::BootClock, 1000, &[EINVAL]);
    let start = || Daemon::start_by(plan.binds(command(&witness.config, &folder)));
    let mut daemon = start();
    hand_in_until_taken(&daemon, &text("free", "t", 0, "k", b"hello"));
    daemon.kill();
    witness.falls_silent(false);
    let _daemon = start();
    assert!(plan.failed(Call::BootClock) > 0, "nobody asked for it");
    let open = witness.without_end(&["t".to_owned()], Duration::from_secs(15));
    assert!(open.is_empty() && witness.seen().notices.is_empty());
}
