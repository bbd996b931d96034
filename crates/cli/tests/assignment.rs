//! Parts of the destinations in real processes: a short plan of faults, judged as the long ones are.

mod support;

use std::fs;
use support::{folder, run, said};

/// Three control processes, four agents and a daemon; the controller is killed and another promoted, an agent is stopped, one
/// is killed and restarted, a sender comes, another goes and comes back, destinations change all the while. What is
/// waited for is seen, never hoped for: a busy machine only makes it longer.
#[test]
fn parts_stay_whole_under_a_short_plan_of_faults() {
    let folder = folder("assignment");
    let at = |name: &str| folder.join(name).display().to_string();
    let (json, keep) = (at("outcome.json"), at("run"));
    let arguments = [
        "lab",
        "assignment",
        "--stage",
        "processes",
        "--small",
        "--seed",
        "3",
        "--json",
        &json,
        "--keep",
        &keep,
    ];
    let output = run(&arguments);
    assert!(output.status.success(), "{}", said(&output));
    let text = fs::read_to_string(&json).expect("an outcome");
    let outcomes: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let (outcome, verdict) = (&outcomes[0], &outcomes[0]["verdict"]);
    // A run in which nothing happened would be sound as well.
    let count = |of: &str| verdict[of].as_u64().unwrap_or_else(|| panic!("no {of} in {verdict}"));
    assert_eq!(count("eras"), 2, "{outcome}");
    assert!(count("changes") >= 24 + 10 && count("parts") >= 20 && count("pages") >= 20, "{verdict}");
    assert!(count("daemon_sizes") >= 5 && count("daemon_calls") >= 5, "{verdict}");
    assert!(verdict["gained_ms"]["count"].as_u64().is_some_and(|gained| gained > 0), "{verdict}");
    // What was kept is judged alike.
    let history = folder.join("run/plan-3/history.json").display().to_string();
    let output = run(&["lab", "assignment", "--stage", "processes", "--judge", &history]);
    assert!(output.status.success(), "{}", said(&output));
    _ = fs::remove_dir_all(folder);
}

/// A history that was tampered with doesn't pass.
#[test]
fn a_kept_history_with_half_a_part_is_accused() {
    let folder = folder("assignment-half");
    let path = folder.join("history.json");
    let line = |revision: u64, stamp: u64| serde_json::json!([revision, stamp]);
    let part = |at: f64, lines: serde_json::Value| {
        serde_json::json!({"sender": 0, "life": 1, "asked_ms": at, "at_ms": at, "until_ms": at,
            "position": {"epoch": 1, "revision": 9}, "lines": lines})
    };
    let change = |destination: u32, revision: u64, stamp: u64| {
        serde_json::json!({"destination": destination, "stamp": stamp, "control": 0, "epoch": 1,
            "position": {"epoch": 1, "revision": revision}, "asked_ms": 20.0, "answered_ms": 21.0})
    };
    let history = |lines: serde_json::Value| {
        serde_json::json!({
            "shards": 1, "senders": 1, "owners_wanted": 1, "controls": 1,
            "eras": [{"epoch": 1, "first": 1, "base_epoch": 0, "control": 0, "asked_ms": 1.0, "answered_ms": 2.0}],
            "changes": [change(1, 2, 1), change(2, 3, 2)],
            "owners": [{"asked_ms": 50.0, "at_ms": 51.0, "until_ms": 51.0, "position": {"epoch": 1, "revision": 9},
                "owners": {"0": [0]}}],
            "turns": [[0.0, {"process": [{"control": 0}, "runs"]}], [0.0, {"process": [{"agent": 0}, "runs"]}]],
            "parts": [part(100.0, lines), part(200.0, serde_json::json!({"1": line(2, 1), "2": line(3, 2)}))],
            "pages": [], "sizes": [], "calls": [], "members": [0], "crashes": [], "ended_ms": 300.0,
        })
    };
    let whole = serde_json::json!({"1": line(2, 1), "2": line(3, 2)});
    let half = serde_json::json!({"2": line(3, 2)});
    for (lines, code) in [(whole, 0), (half, 3)] {
        fs::write(&path, history(lines).to_string()).expect("writable");
        let judged =
            run(&["lab", "assignment", "--stage", "processes", "--judge", &path.display().to_string()]);
        assert_eq!(judged.status.code(), Some(code), "{}", said(&judged));
        assert_eq!(said(&judged).contains("accused: HalfAPart"), code == 3, "{}", said(&judged));
    }
    _ = fs::remove_dir_all(folder);
}
