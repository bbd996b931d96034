//! Which settings files are good and which are broken, at a start and at SIGHUP alike.

use crate::common::*;
use indigomast_sender::config::Config;
use serde_json::{Value, json};
use std::path::Path;
use std::time::{Duration, Instant};

const EFFECTS: [&str; 3] = ["read_like", "idempotency_key", "non_idempotent"];
/// What every class has to have, and what none has to.
const REQUIRED: [&str; 7] =
    ["name", "objective-ms", "deadline-ms", "late-worth", "repeat", "stream", "worth"];
const OPTIONAL: [&str; 2] = ["in-order", "aim-stretch"];
const FOR_KEYED: [&str; 2] = ["group", "window-ms"];

fn class(name: &str, repeat: &str) -> Value {
    json!({"aim-stretch": 2.0, "deadline-ms": 24000.0, "group": "all", "in-order": true, "late-worth": 0.5,
        "name": name, "objective-ms": 3000.0, "repeat": repeat, "stream": false, "window-ms": 15000.0,
        "worth": 1.0})
}

fn with_classes(classes: &[Value]) -> Value {
    let mut file = config(&[], ([127, 0, 0, 1], 9).into());
    file["settings"]["categories"] = json!(classes);
    file
}

/// Asserts that a file is good, or broken at a field, both at a start and behind another file.
fn judge(before: &Value, file: &Value, broken_at: Option<&str>, folder: &Path) {
    let first = Config::parse(&before.to_string(), folder.to_owned()).expect("the file before is good");
    let classes = &file["settings"]["categories"];
    let start = Config::parse(&file.to_string(), folder.to_owned());
    match broken_at {
        Some(field) => {
            let complaint = start.err().unwrap_or_else(|| panic!("{field} is missed: {classes}"));
            assert!(complaint.contains(field), "{field}: {complaint}");
        }
        None => {
            let config = start.unwrap_or_else(|e| panic!("{e}: {classes}"));
            let follows = config.follows(&first.site, &first.keys, first.listen);
            assert_eq!(follows, Ok(()), "{classes}");
        }
    }
}

fn without(class: &Value, key: &str) -> Value {
    let mut class = class.clone();
    class.as_object_mut().expect("a class").remove(key);
    class
}

/// Guards against a file that is judged by what the one before it happened to have: each key of each class of each effect is left
/// out, of the first class, the last, all and a new one, whatever the file before has.
#[test]
fn each_key_of_a_class_is_missed_exactly_where_it_is_required() {
    let folder = Folder::new();
    let state = folder.state();
    let whole: Vec<Value> = EFFECTS.iter().map(|effect| class(effect, effect)).collect();
    let bare: Vec<Value> = OPTIONAL
        .iter()
        .fold(whole.clone(), |classes, key| classes.iter().map(|class| without(class, key)).collect());
    let plain: Vec<Value> = vec![class("plain", "read_like")];
    let before = [with_classes(&whole), with_classes(&bare), with_classes(&plain)];
    let keys = REQUIRED.iter().chain(&OPTIONAL).chain(&FOR_KEYED);
    for key in keys {
        let is_missed = |class: &Value| {
            REQUIRED.contains(key) || (FOR_KEYED.contains(key) && class["repeat"] == "idempotency_key")
        };
        let mut files: Vec<(Vec<Value>, bool)> = Vec::new();
        for at in 0..whole.len() {
            let mut classes = whole.clone();
            classes[at] = without(&whole[at], key);
            files.push((classes, is_missed(&whole[at])));
            let mut added = whole.clone();
            let new = class("added", EFFECTS[at]);
            added.push(without(&new, key));
            files.push((added, is_missed(&new)));
            files.push((vec![without(&whole[at], key)], is_missed(&whole[at])));
        }
        let all = whole.iter().map(|class| without(class, key)).collect();
        files.push((all, whole.iter().any(is_missed)));
        for (classes, is_broken) in files {
            for before in &before {
                judge(before, &with_classes(&classes), is_broken.then_some(*key), &state);
            }
        }
    }
}

fn reload(daemon: &Daemon, folder: &Folder, file: &Value) {
    std::fs::write(folder.0.join("config.json"), file.to_string()).expect("the folder is there");
    daemon.signal("-HUP");
}

/// Guards against a good file that is turned down for a key that its new class may leave out, and a move of discovery with it: no
/// notice was told from then on.
#[test]
fn a_class_without_an_optional_key_is_put_in_force_with_all_else() {
    let (old, new, endpoint, folder) = (Host::open(), Host::open(), Host::open(), Folder::new());
    let members = [member("e0", &endpoint, 0, "Ready")];
    let mut config = config(&members, old.address);
    config["settings"]["categories"] = json!([class("queue", "idempotency_key")]);
    let daemon = Daemon::start(&config, &folder);
    let mut changed = config.clone();
    changed["discovery"] = json!(new.address.to_string());
    let added = without(&without(&class("added", "read_like"), "in-order"), "aim-stretch");
    changed["settings"]["categories"] = json!([class("queue", "idempotency_key"), added]);
    reload(&daemon, &folder, &changed);
    let line = daemon.line_with("the configuration");
    assert!(line.contains("is in force"), "{line}");
    assert_eq!(daemon.hand_in("added", "a", 0), 202);
    endpoint.next().status(500);
    // The end of a message that is not delivered is told at the new address.
    let brief = String::from_utf8(text("queue", "late", 0, "k", b"x")).expect("text");
    let brief = brief.replace("X-Timeout-Ms: 20000", "X-Timeout-Ms: 300");
    assert_eq!(daemon.client().ask(brief.as_bytes()).0, 202);
    let by = Instant::now() + PATIENCE;
    loop {
        let visit = new.next();
        if visit.request.path.starts_with("/reports") {
            assert!(ends_told(&visit).iter().any(|(id, _)| id == "late"));
            break;
        }
        let unchanged = json!({"revision": 41, "complete": true, "members": members});
        visit.answer(ok_json(&unchanged.to_string()));
        assert!(Instant::now() < by, "no notice comes");
    }
}

/// Guards against a class that becomes keyed with no word on where its repeats are dropped: each effect is changed to each other,
/// with and without the keys that only keyed classes need.
#[test]
fn an_effect_that_changes_brings_the_keys_that_it_needs() {
    let folder = Folder::new();
    let state = folder.state();
    for from in EFFECTS {
        let before = with_classes(&[class("other", "read_like"), class("changes", from)]);
        for to in EFFECTS {
            for key in FOR_KEYED {
                let changed = without(&class("changes", to), key);
                let file = with_classes(&[class("other", "read_like"), changed]);
                judge(&before, &file, (to == "idempotency_key").then_some(key), &state);
            }
        }
    }
}

/// The groups that the pages know, and no others where one is read.
#[test]
fn a_group_that_is_not_known_is_refused_where_it_is_read() {
    let folder = Folder::new();
    let state = folder.state();
    let before = with_classes(&[class("a", "idempotency_key")]);
    for effect in EFFECTS {
        for (group, is_known) in [
            (json!("all"), true),
            (json!("zone"), true),
            (json!("cell"), false),
            (json!(""), false),
            (json!("some"), false),
            (json!(null), false),
        ] {
            let mut changed = class("a", effect);
            changed["group"] = group;
            let is_broken = effect == "idempotency_key" && !is_known;
            judge(&before, &with_classes(&[changed]), is_broken.then_some("group"), &state);
        }
    }
}

/// Guards against messages that may never run twice and go again after a 500, since a file short of `group` was put in force.
#[test]
fn a_file_short_of_a_group_changes_nothing_of_a_sender_at_work() {
    let (discovery, endpoint, folder) = (Host::open(), Host::open(), Folder::new());
    let mut config = config(&[member("e0", &endpoint, 0, "Ready")], discovery.address);
    config["settings"]["categories"] =
        json!([class("marked", "idempotency_key"), class("once", "non_idempotent")]);
    let daemon = Daemon::start(&config, &folder);
    let mut broken = config.clone();
    broken["settings"]["categories"][1] = without(&class("once", "idempotency_key"), "group");
    reload(&daemon, &folder, &broken);
    let line = daemon.line_with("the configuration");
    assert!(line.contains("stays as it was") && line.contains("settings.categories[1].group"), "{line}");
    assert_eq!(daemon.hand_in("once", "a", 0), 202);
    endpoint.next().status(500);
    daemon.counts("undeliverable", 1);
    assert!(endpoint.next_within(Duration::from_millis(300)).is_none(), "it was sent again");
}
