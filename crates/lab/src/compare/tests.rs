use super::*;

fn run(policy: &str, seed: u64, service: f64) -> Outcome {
    let scenario = "s".to_owned();
    let stage = "virtual".to_owned();
    Outcome { scenario, stage, policy: policy.into(), seed, service, ..Outcome::default() }
}

#[test]
fn a_spread_is_students() {
    let spread = Spread::of(&[1.0, 2.0, 3.0, 4.0, 5.0]);
    assert_eq!(spread.mean, 3.0);
    // 2.776 times 1.5811 over the root of 5.
    assert!((spread.half - 1.963).abs() < 0.001, "{spread:?}");
    assert!(Spread::of(&[1.0]).half.is_infinite());
}

#[test]
fn a_gain_that_every_seed_shows_is_clear_where_means_overlap() {
    let before = Runs { runs: (0..5).map(|n| run("module", n, 0.5 + n as f64 / 10.0)).collect() };
    let after =
        Runs { runs: (0..5).map(|n| run("module", n, 0.52 + n as f64 / 10.0 + n as f64 / 1e4)).collect() };
    let found = &compare(&before, &after)[0];
    assert!(found.paired.is_clear() && (found.paired.mean - 0.0202).abs() < 1e-9, "{found:?}");
    assert!(found.before.half > found.after.mean - found.before.mean, "the means alone say nothing");
}

#[test]
fn noise_is_no_gain_and_like_goes_with_like() {
    let list = |of: &[f64]| of.iter().enumerate().map(|(n, s)| run("module", n as u64, *s)).collect();
    let before = Runs { runs: list(&[0.5, 0.6, 0.7, 0.8]) };
    let mut after = Runs { runs: list(&[0.6, 0.5, 0.8, 0.71]) };
    after.runs.push(run("one-try", 0, 0.1));
    let found = compare(&before, &after);
    assert_eq!(found.len(), 1);
    assert!(!found[0].paired.is_clear(), "{:?}", found[0]);
    assert_eq!(found[0].policies.1, "module");
}

#[test]
fn a_run_in_which_the_rig_was_late_does_not_count() {
    let late = crate::outcome::Lateness { counts: false, ..Default::default() };
    let bad = Outcome { lateness: Some(late), ..run("module", 1, 0.0) };
    let runs = Runs { runs: vec![run("module", 0, 0.9), bad] };
    assert_eq!(table(&runs)["s"]["module"].0.mean, 0.9);
}
