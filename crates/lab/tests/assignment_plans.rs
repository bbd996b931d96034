//! Plans of faults on assignment in real processes: what a seed draws.

use indigomast_lab::assignment::nemesis::*;

fn usual() -> Draw {
    Draw {
        senders: 12,
        controls: 3,
        late: 2,
        from_s: 3.0,
        until_s: 51.0,
        control_faults: 6,
        agent_faults: 10,
    }
}

#[test]
fn a_seed_always_draws_the_same_plan_and_another_one_another() {
    assert_eq!(draw(&usual(), 7), draw(&usual(), 7));
    assert_ne!(draw(&usual(), 7), draw(&usual(), 8));
    let plan = draw(&usual(), 7);
    let text = serde_json::to_string(&plan).expect("plain data");
    assert_eq!(serde_json::from_str::<Vec<Fault>>(&text).expect("what was written"), plan);
}

#[test]
fn each_plan_has_what_is_hard_and_nothing_beyond_its_time() {
    for seed in 0..200 {
        let plan = draw(&usual(), seed);
        let some = |is: fn(&What) -> bool| plan.iter().any(|fault| is(&fault.what));
        for (what, is) in [
            ("a kill in a snapshot", some(|what| matches!(what, What::KillInSnapshot { .. }))),
            ("all restarted", some(|what| *what == What::RestartControls)),
            ("another promoted", some(|what| *what == What::KillController)),
            ("two controllers", some(|what| matches!(what, What::TwoControllers { .. }))),
            ("an agent stopped", some(|what| matches!(what, What::PauseAgent { .. }))),
            ("an agent restarted", some(|what| matches!(what, What::KillAgent { .. }))),
            ("restarted while cut off", some(|what| matches!(what, What::RestartCutOff { .. }))),
            ("one-way cuts", some(|what| matches!(what, What::OneWay { .. }))),
            ("a shard that moves", some(|what| matches!(what, What::ComesStopped { .. }))),
            ("gone and back", some(|what| matches!(what, What::Gone { .. }))),
            ("a burst", some(|what| matches!(what, What::Burst { .. }))),
        ] {
            assert!(is, "seed {seed}: {what}: {plan:?}");
        }
        for fault in &plan {
            assert!(fault.at_s >= 3.0 && fault.at_s + fault.for_s <= 52.0, "seed {seed}: {fault}");
        }
    }
}

#[test]
fn faults_of_control_and_of_one_process_never_overlap() {
    for seed in 0..200 {
        let plan = draw(&usual(), seed);
        for (at, one) in plan.iter().enumerate() {
            for other in &plan[at + 1..] {
                let overlap = other.at_s < one.at_s + one.for_s;
                let control = one.what.of_control() && other.what.of_control();
                let process = one.what.process().is_some() && one.what.process() == other.what.process();
                assert!(!(overlap && (control || process)), "seed {seed}: {one} and {other}");
            }
        }
    }
}
