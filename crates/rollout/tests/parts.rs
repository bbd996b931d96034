//! Plans that can't be carried out, lines that can't be believed, records that were cut, and evidence that is none.

use indigomast::time::{Moment, Span};
use indigomast_journal::{Fault, Simulated};
use indigomast_rollout::agent::{Agent, Ask, FRESH, Order, Promised, Refusal, Which};
use indigomast_rollout::evidence::{Bet, Question};
use indigomast_rollout::plan::{Plan, Unheard};
use indigomast_rollout::record::Record;
use indigomast_rollout::steering::{Entry, Phase};
use indigomast_rollout::wire::{Answer, Change, Say, Secret, Way};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const GOOD: &str = r#"
name = "to 0.2"
[to]
program = "/opt/indigomast-0.2"
[[senders]]
name = "a"
agent = "127.0.0.1:1"
zone = "east"
[[senders]]
name = "b"
agent = "127.0.0.1:2"
zone = "west"
[[senders]]
name = "c"
agent = "127.0.0.1:3"
zone = "east"
[[senders]]
name = "d"
agent = "127.0.0.1:4"
zone = "west"
[[stages]]
count = 1
least_s = 30
[[stages]]
share = 0.5
least_texts = 500
[[stages]]
share = 1.0
"#;

#[test]
fn a_plan_spreads_its_stages_over_zones() {
    let plan = Plan::parse(GOOD).expect("good");
    assert_eq!(plan.members(), [0, 1, 2, 2], "the second stage takes the other zone");
    assert_eq!(plan.stages.iter().map(|stage| stage.senders).collect::<Vec<_>>(), [1, 1, 2]);
    assert_ne!(plan.digest, Plan::parse(&GOOD.replace("30", "31")).expect("good").digest);
    let zones = GOOD.replacen("count = 1", "zone = \"west\"", 1).replace("share = 0.5", "senders = [\"c\"]");
    assert_eq!(Plan::parse(&zones).expect("good").members(), [2, 0, 1, 0]);
}

/// As [`Plan::parse`] spreads a stage: one after the other, the first of those whose zone has the least part picked.
fn spread(zones: &[usize], stage_of: &mut [Option<usize>], stage: usize, wanted: usize) {
    let part = |zone: usize, stage_of: &[Option<usize>]| {
        let of = |at: &usize| zones[*at] == zone;
        let picked = (0..zones.len()).filter(of).filter(|at| stage_of[*at].is_some()).count();
        picked as f64 / (0..zones.len()).filter(of).count() as f64
    };
    while stage_of.iter().flatten().count() < wanted {
        let left = (0..zones.len()).filter(|at| stage_of[*at].is_none());
        let next = left.min_by(|a, b| part(zones[*a], stage_of).total_cmp(&part(zones[*b], stage_of)));
        stage_of[next.expect("some are left")] = Some(stage);
    }
}

#[test]
fn stages_of_any_plan_take_whom_a_walk_over_all_would_take() {
    use std::fmt::Write;
    for seed in 0..60 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (senders, zones) = (rng.random_range(3..40), rng.random_range(1..7));
        let zones: Vec<usize> = (0..senders).map(|_| rng.random_range(0..zones)).collect();
        let mut text = "name = \"a\"\n[to]\nprogram = \"/p\"\n".to_owned();
        for (at, zone) in zones.iter().enumerate() {
            let sender = format!("[[senders]]\nname = \"{at}\"\nagent = \"127.0.0.1:{}\"\n", at + 1);
            _ = writeln!(text, "{sender}zone = \"{zone}\"");
        }
        let mut expected = vec![None; senders];
        let (first, second) = (rng.random_range(1..senders - 1), rng.random_range(1..4));
        let second = (first + second).min(senders - 1);
        for (stage, wanted) in [first, second, senders].into_iter().enumerate() {
            _ = writeln!(text, "[[stages]]\ncount = {wanted}");
            spread(&zones, &mut expected, stage, wanted);
        }
        let expected: Vec<usize> = expected.into_iter().flatten().collect();
        assert_eq!(Plan::parse(&text).expect("good").members(), expected, "seed {seed}: {zones:?}");
    }
}

#[test]
fn a_plan_that_can_not_be_is_refused_by_line_and_field() {
    for (old, new, expected) in [
        ("program = \"/opt/indigomast-0.2\"", "", "to: neither"),
        ("name = \"b\"", "name = \"a\"", "line 9: senders[1].name: \"a\" is empty or there twice"),
        ("127.0.0.1:2", "127.0.0.1:1", "senders[1].agent"),
        ("127.0.0.1:2", "nowhere", "line 11"),
        ("count = 1", "count = 5", "line 21: stages[0].count: 5 of 4"),
        ("count = 1", "count = 1\nshare = 0.1", "stages[0].senders: exactly one"),
        ("count = 1", "zone = \"north\"", "stages[0].zone: nobody is in \"north\""),
        ("count = 1", "senders = [\"z\"]", "stages[0].senders: \"z\" is not there"),
        ("share = 0.5", "share = 0.25", "stages[1]: nobody is left"),
        ("share = 1.0", "share = 0.75", "sender d is in none"),
        ("share = 1.0", "share = 1.5", "stages[2].share"),
        ("least_s = 30", "least_s = -1", "stages[0].least_s"),
        ("name = \"to 0.2\"", "name = \"x\"\n[limits]\naway = 0", "limits.away"),
        ("name = \"to 0.2\"", "name = \"x\"\n[limits]\nstart_s = 0", "limits.start_s"),
        ("name = \"to 0.2\"", "name = \"x\"\n[limits]\nafter_halt = \"run\"", "unknown variant"),
        ("name = \"to 0.2\"", "name = \"x\"\n[compare]\nfalse_alarms = 0.5", "compare.false_alarms"),
        ("name = \"to 0.2\"", "name = \"x\"\n[compare]\nnacked = 1.5", "compare.nacked"),
        ("name = \"to 0.2\"", "name = \"x\"\nspeed = 3", "unknown field `speed`"),
    ] {
        let all = Plan::parse(&GOOD.replacen(old, new, 1)).expect_err(new).join("\n");
        assert!(all.contains(expected), "{new}: {all}");
    }
    for length in 0..GOOD.len() {
        // Cut off anywhere it is refused, or says the same: `1.0` may lose its end.
        let same = |plan: Plan| plan.members() == [0, 1, 2, 2] && plan.stages.len() == 3;
        assert!(Plan::parse(&GOOD[..length]).map_or(true, same), "{length}");
    }
}

fn change() -> Change {
    Change {
        digest: "d".into(),
        program: None,
        settings: Some("x".into()),
        program_digest: None,
        settings_digest: Some("s".into()),
        unheard: Unheard::Back,
        unheard_ms: 1.0,
        start_ms: 1.0,
        restarts: 3,
    }
}

#[test]
fn a_line_is_believed_only_whole_from_who_knows_the_key_and_to_whom_it_was_said() {
    let secret = Secret::new(b"a key of sixteen bytes or more\n").expect("long enough");
    assert!(Secret::new(b"short").is_err());
    let say = Say::Look { number: 7, epoch: 3, change: change() };
    let line = secret.seal(Way::ToAgent, "a", &say);
    assert_eq!(secret.open::<Say>(Way::ToAgent, "a", &line), Ok(say));
    assert!(secret.open::<Say>(Way::ToAgent, "b", &line).is_err(), "said to another");
    assert!(secret.open::<Answer>(Way::FromAgent, "a", &line).is_err(), "its own question for an answer");
    let other = Secret::new(b"another key of sixteen bytes").expect("long enough");
    assert!(other.open::<Say>(Way::ToAgent, "a", &line).is_err());
    for length in 0..line.len() {
        assert!(secret.open::<Say>(Way::ToAgent, "a", &line[..length]).is_err(), "{length}");
    }
    for at in 0..line.len() {
        let mut bytes = line.clone().into_bytes();
        bytes[at] ^= 1;
        let Ok(changed) = String::from_utf8(bytes) else { continue };
        assert!(secret.open::<Say>(Way::ToAgent, "a", &changed).is_err(), "byte {at}");
    }
}

fn at(ms: f64) -> Moment {
    Moment::from_millis(ms)
}

#[test]
fn an_order_is_obeyed_once_and_only_while_it_is_fresh() {
    let (mut agent, again) = Agent::new(Promised::default(), Some(Span::millis(5000)));
    assert_eq!(again, None);
    let order = |epoch, id, challenge| Order { epoch, id, ask: Ask::Take(Which::New), challenge };
    assert!(agent.look(at(0.0), 2, 11).is_ok());
    assert_eq!(agent.look(at(1.0), 1, 12), Err(Refusal::Epoch(2)), "an earlier controller");
    assert_eq!(agent.order(at(1.0), order(1, 1, 11)), Err(Refusal::Epoch(2)));
    assert_eq!(agent.order(at(1.0), order(2, 1, 12)), Err(Refusal::Stale), "a challenge it never gave");
    // Stopped for ten seconds and woken with the order in hand.
    assert_eq!(agent.order(at(10_000.0), order(2, 1, 11)), Err(Refusal::Stale));
    assert!(agent.look(at(10_000.0), 2, 13).is_ok());
    let by = 10_000.0 + FRESH.as_millis();
    assert!(agent.order(at(by), order(2, 1, 13)).is_ok());
    assert_eq!(agent.order(at(by), order(2, 1, 13)), Err(Refusal::Known(1)), "twice has one effect");
    assert!(agent.look(at(by), 2, 14).is_ok());
    assert_eq!(agent.order(at(by), order(2, 2, 14)), Err(Refusal::Busy));
    agent.carried(true);
    assert!(agent.status().done == 1 && !agent.status().failed);
    // What it promised outlasts it: killed while at work it goes on with that.
    let (mut late, again) = Agent::new(Promised { done: 0, ..agent.promised() }, None);
    assert_eq!(again, Some(Ask::Take(Which::New)));
    late.carried(false);
    assert!(late.status().failed && late.status().done == 1);
    // A promise that can't be written down was never given.
    assert!(agent.look(at(by), 2, 15).is_ok());
    assert!(agent.order(at(by), order(2, 2, 15)).is_ok());
    agent.unwritten();
    assert!(agent.status().accepted == 1 && !agent.is_busy());
}

#[test]
fn an_agent_that_hears_nothing_gives_the_new_side_up_until_it_is_sealed() {
    let patience = Some(Span::millis(5000));
    let (mut agent, _) = Agent::new(Promised::default(), patience);
    assert!(!agent.gives_up(at(0.0)));
    agent.sees(Some(Which::Old), true);
    assert!(!agent.gives_up(at(9000.0)), "the old side is no cause");
    agent.sees(Some(Which::New), true);
    assert!(agent.gives_up(at(9000.0)));
    assert!(!agent.gives_up(at(9001.0)), "it has begun to");
    assert!(agent.look(at(9000.0), 1, 1).is_ok());
    assert!(!agent.gives_up(at(13_999.0)) && agent.gives_up(at(14_000.0)));
    let (mut sealed, _) = Agent::new(Promised { sealed: true, ..Promised::default() }, patience);
    sealed.sees(Some(Which::New), true);
    assert!(!sealed.gives_up(at(0.0)) && !sealed.gives_up(at(1e9)));
    assert!(sealed.look(at(1e9), 1, 9).is_ok());
    let back = Order { epoch: 1, id: 1, ask: Ask::Take(Which::Old), challenge: 9 };
    assert_eq!(sealed.order(at(1e9), back), Err(Refusal::Sealed));
}

#[test]
fn what_a_record_has_taken_is_there_after_a_crash_at_any_call() {
    let entries: Vec<Entry> = (0..6)
        .map(|n| if n % 2 == 0 { Entry::Epoch(n) } else { Entry::Phase(Phase::Stage(n as usize)) })
        .collect();
    let mut failed = 0;
    for call in 0..40 {
        for fault in [Fault::Error(std::io::ErrorKind::StorageFull), Fault::Cut(3), Fault::Short(2)] {
            let store = Simulated::new().fault(call, fault);
            let mut taken: Vec<Entry> = Vec::new();
            let Ok(mut record) = Record::<Entry, Simulated>::on(store) else { continue };
            for entry in &entries {
                match record.add(entry.clone()) {
                    Ok(()) => taken.push(entry.clone()),
                    Err(_) => {
                        failed += 1;
                        break;
                    }
                }
            }
            let store = record.into_store().after_kill();
            let again = Record::<Entry, Simulated>::on(store).expect("it opens");
            // One that failed may be there all the same; none that was taken is missing.
            assert!(again.entries.starts_with(&taken), "call {call} {fault:?}: {:?}", again.entries);
            assert!(again.entries.len() <= taken.len() + 1);
        }
    }
    assert!(failed > 5, "{failed} faults were met");
    let mut record = Record::<Entry, Simulated>::on(Simulated::new()).expect("it opens");
    entries.iter().for_each(|entry| record.replace(entry.clone()).expect("room"));
    let again = Record::<Entry, Simulated>::on(record.into_store()).expect("it opens");
    assert_eq!(again.entries, entries[5..]);
}

#[test]
fn a_claim_that_holds_is_seldom_lost_however_often_one_looks() {
    // Rare failures, bursts that both meet, and unlike loads: each as often worse as better.
    let mut lost = 0;
    for seed in 0..2000 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut bet = Bet::against(0.0);
        for _ in 0..300 {
            let wide = if rng.random::<f64>() < 0.05 { 1.0 } else { 0.05 };
            bet.add((rng.random::<f64>() - 0.5) * 2.0 * wide);
        }
        lost += usize::from(bet.is_won(0.05));
    }
    // 100 are allowed; four standard deviations of that are 39.
    assert!(lost <= 139, "{lost} of 2000");
}

#[test]
fn a_difference_that_matters_is_found_and_its_absence_too() {
    let play = |by: f64, seed: u64| {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut question = Question::new(0.01, 0.04);
        let looks = (1..2000).find(|_| {
            let noise = (0..4).map(|_| rng.random::<f64>() - 0.5).sum::<f64>() * 0.02;
            question.add(by + noise);
            question.is_worse(1e-3) || question.is_fine(1e-3)
        });
        (question.is_worse(1e-3), looks)
    };
    for seed in 0..50 {
        let (worse, looks) = play(0.012, seed);
        assert!(worse && looks.is_some_and(|looks| looks < 150), "{looks:?}");
        let (worse, looks) = play(0.0, seed);
        assert!(!worse && looks.is_some_and(|looks| looks < 150), "{looks:?}");
    }
}
