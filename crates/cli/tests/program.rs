//! The program as people start it: one short run on sockets, the demonstration, complaints and exit codes.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

fn scenario(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("../../scenarios/{name}.toml"));
    path.display().to_string()
}

fn folder(name: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a folder");
    path
}

fn program(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_indigomast"));
    command.args(arguments).stdin(Stdio::null());
    command
}

fn run(arguments: &[&str]) -> Output {
    program(arguments).output().expect("the program runs")
}

fn said(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// What weighs on senders is played on sockets, and is refused where it can't be.
#[test]
fn a_burden_weighs_on_daemons_only() {
    let folder = folder("burden");
    let short = fs::read_to_string(scenario("short")).expect("the scenario");
    let file = folder.join("burdened.toml").display().to_string();
    // Long enough for those who say nothing to be ended and that to be seen, also by rig and senders that lose a second or two.
    let burden = "[burden]\ncore_share = 0.5\nstops = [{ at_s = 1, for_s = 0.3 }]\n\
                  strangers = { at_s = 0.5, for_s = 5, silent = 5, curious = 5, bad_a_second = 10, addresses = 3 }\n";
    fs::write(&file, format!("{short}\n{burden}")).expect("writable");
    let output = run(&["lab", "run", &file, "--stage", "virtual"]);
    assert_eq!(output.status.code(), Some(1), "{}", said(&output));
    assert!(said(&output).contains("burden"), "{}", said(&output));
    let runs = folder.join("runs.json").display().to_string();
    let output = run(&["lab", "run", &file, "--stage", "sockets", "--json", &runs]);
    assert!(matches!(output.status.code(), Some(0 | 4)), "{}", said(&output));
    let text = fs::read_to_string(&runs).expect("runs");
    let seen: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    let strangers = &seen["runs"][0]["strangers"];
    let count = |name: &str| strangers[name].as_f64().unwrap_or_else(|| panic!("no {name} in {strangers}"));
    assert!(count("opened") >= 20.0 && count("answered") >= 5.0 && count("ended") >= 5.0, "{strangers}");
    // Nobody who says nothing keeps a place for longer than a request may take.
    assert!((1.0..4_000.0).contains(&count("longest_silent_ms")), "{strangers}");
    _ = fs::remove_dir_all(folder);
}

#[test]
fn the_same_scenario_fares_alike_on_both_stages() {
    let folder = folder("stages");
    let file = |name: &str| folder.join(name).display().to_string();
    let (simulated, real) = (file("virtual.json"), file("sockets.json"));
    let short = scenario("short");
    let output = run(&["lab", "run", &short, "--stage", "virtual", "--seed", "3", "--json", &simulated]);
    assert!(output.status.success(), "{}", said(&output));
    let output = run(&["lab", "run", &short, "--stage", "sockets", "--seed", "3", "--json", &real]);
    // On a machine busy with other tests the rig may say that it was late.
    assert!(matches!(output.status.code(), Some(0 | 4)), "{}", said(&output));
    let service = |path: &str| -> f64 {
        let text = fs::read_to_string(path).expect("runs");
        let runs: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        assert!(runs["runs"][0]["asked"].as_u64().expect("a count") > 150);
        runs["runs"][0]["service"].as_f64().expect("a figure")
    };
    if output.status.code() == Some(0) {
        let apart = (service(&simulated) - service(&real)).abs();
        assert!(apart <= 0.05, "{apart}");
    }
    let page = file("page.html");
    let output = run(&["lab", "report", &real, "--html", &page]);
    assert!(output.status.success() && fs::read_to_string(&page).expect("a page").contains("<svg"));
    let output = run(&["lab", "compare", &simulated, &simulated]);
    assert!(said(&output).contains("+0.0000"), "{}", said(&output));
    _ = fs::remove_dir_all(folder);
}

/// Fleets of real processes beside one another would be slow by each other's doing.
fn one_fleet_at_a_time() -> MutexGuard<'static, ()> {
    static FLEETS: Mutex<()> = Mutex::new(());
    FLEETS.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test]
fn several_processes_keep_every_rule_under_faults_between_them() {
    let _alone = one_fleet_at_a_time();
    let folder = folder("faults");
    let (json, page) = (folder.join("runs.json"), folder.join("page.html"));
    let (json, page) = (json.display().to_string(), page.display().to_string());
    let small = scenario("faults-small");
    let output = run(&["lab", "run", &small, "--stage", "processes", "--json", &json]);
    // On a machine busy with other tests the rig may say that it was late; a broken rule then says nothing either.
    assert!(matches!(output.status.code(), Some(0 | 4)), "{}", said(&output));
    let runs: serde_json::Value =
        serde_json::from_str(&fs::read_to_string(&json).expect("runs")).expect("JSON");
    let one = &runs["runs"][0];
    assert!(
        one["asked"].as_u64().expect("a count") > 400 && one["faults"].as_array().expect("faults").len() == 6
    );
    let delivered = one["ends"]["delivered"].as_u64().expect("a count") as f64;
    assert!(delivered > 0.7 * one["taken"].as_u64().expect("a count") as f64, "{}", said(&output));
    assert!(one["ends"].get("open").is_none(), "{}", said(&output));
    let output = run(&["lab", "report", &json, "--html", &page]);
    let page = fs::read_to_string(&page).expect("a page");
    assert!(output.status.success() && page.contains("2: sender 3: stopped"));
    let output = run(&["lab", "run", &small, "--stage", "virtual"]);
    assert!(said(&output).contains("only --stage processes"), "{}", said(&output));
    _ = fs::remove_dir_all(folder);
}

#[test]
fn complaints_name_place_and_field_and_have_their_own_exit_code() {
    let folder = folder("complaints");
    let path = folder.join("bad.toml");
    let good = fs::read_to_string(scenario("short")).expect("a scenario");
    fs::write(&path, good.replace("slots = 24", "slots = 0")).expect("written");
    let output = run(&["lab", "run", &path.display().to_string()]);
    assert_eq!(output.status.code(), Some(1));
    assert!(said(&output).contains("bad.toml: fleet.slots: 0 has to be more than 0"), "{}", said(&output));
    for (arguments, code) in [
        (vec!["lab", "run", "no-such-file.toml"], 1),
        (vec!["lab", "fly"], 2),
        (vec!["lab", "run", "x", "--stage", "moon"], 2),
        (vec!["daemon"], 1),
    ] {
        let mut command = program(&arguments);
        command.env_remove("ROUTER_CONFIG").env_remove("ROUTER_STATE");
        assert_eq!(command.output().expect("runs").status.code(), Some(code), "{arguments:?}");
    }
    let output = run(&["lab", "run", &scenario("short"), "--policy", "luck"]);
    assert!(said(&output).contains("\"luck\" is no policy"), "{}", said(&output));
    _ = fs::remove_dir_all(folder);
}

/// Processes whose parent is this one, by the kernel's own list.
fn children_of(parent: u32) -> Vec<u32> {
    let mut found = Vec::new();
    for entry in fs::read_dir("/proc").into_iter().flatten().flatten() {
        let Some(pid) = entry.file_name().to_str().and_then(|name| name.parse::<u32>().ok()) else {
            continue;
        };
        let Ok(stat) = fs::read_to_string(entry.path().join("stat")) else { continue };
        let after = stat.rsplit_once(") ").map(|(_, rest)| rest.to_owned()).unwrap_or_default();
        if after.split(' ').nth(1).and_then(|ppid| ppid.parse().ok()) == Some(parent) {
            found.push(pid);
        }
    }
    found
}

fn lives(pid: u32) -> bool {
    fs::read_to_string(format!("/proc/{pid}/stat")).is_ok_and(|stat| !stat.contains(") Z "))
}

#[test]
fn an_interrupted_demonstration_leaves_no_process_and_no_file() {
    let folder = folder("interrupted");
    let mut child = program(&["demo"])
        .env("TMPDIR", &folder)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the program starts");
    let by = Instant::now() + Duration::from_secs(15);
    let daemons = loop {
        let found = children_of(child.id());
        if !found.is_empty() || Instant::now() > by {
            break found;
        }
        std::thread::sleep(Duration::from_millis(10));
    };
    assert_eq!(daemons.len(), 1, "one sender");
    let killed = Command::new("kill").args(["-INT", &child.id().to_string()]).status().expect("kill runs");
    assert!(killed.success());
    let code = child.wait().expect("it ends").code();
    assert_eq!(code, Some(130));
    assert!(!daemons.into_iter().any(lives), "its daemon is gone");
    assert_eq!(fs::read_dir(&folder).expect("the folder").count(), 0, "nothing is left behind");
    _ = fs::remove_dir_all(folder);
}

/// Kills its process when dropped, so that a failing test leaves none.
struct Running(std::process::Child);

impl Drop for Running {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

fn ask(address: &str, raw: &str) -> String {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time is set");
    stream.write_all(raw.as_bytes()).expect("open");
    let mut answer = String::new();
    _ = stream.read_to_string(&mut answer);
    answer
}

#[test]
fn a_sender_started_by_hand_finds_gateways_and_list_of_emulate() {
    use std::io::{BufRead, BufReader};
    let folder = folder("emulate");
    let place = folder.join("senders").display().to_string();
    let short = scenario("short");
    let mut emulate = Running(
        program(&["emulate", &short, "--folder", &place, "--seconds", "60"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts"),
    );
    let output = emulate.0.stdout.take().expect("piped");
    let mut variables = Vec::new();
    let mut lines = BufReader::new(output).lines().map_while(Result::ok);
    for line in lines.by_ref() {
        if let Some((name, value)) = line.strip_prefix("export ").and_then(|line| line.split_once('=')) {
            variables.push((name.to_owned(), value.to_owned()));
            if variables.len() == 2 {
                break;
            }
        }
    }
    // It ends where nobody reads what it says, and its gateways with it.
    std::thread::spawn(move || lines.for_each(drop));
    assert_eq!(
        variables.iter().map(|(name, _)| name.as_str()).collect::<Vec<_>>(),
        ["ROUTER_CONFIG", "ROUTER_STATE"]
    );
    let mut daemon = Running(
        program(&["daemon"])
            .envs(variables)
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts"),
    );
    let mut log = BufReader::new(daemon.0.stderr.take().expect("piped")).lines().map_while(Result::ok);
    let line = log.find(|line| line.contains("listens on ")).expect("it comes up");
    let address = line.rsplit(' ').next().expect("an address").to_owned();
    std::thread::spawn(move || log.for_each(drop));
    // An id of any form: whoever hands in by hand has ids of their own.
    let text = "POST /notice HTTP/1.1\r\nConnection: close\r\nX-Request-ID: by-hand\r\nX-Timeout-Ms: 20000\r\n\
                X-Envelope: dest=1\r\nContent-Length: 5\r\n\r\nhello";
    assert!(ask(&address, text).starts_with("HTTP/1.1 202"));
    let by = Instant::now() + Duration::from_secs(15);
    let counters = || ask(&address, "GET /counters HTTP/1.1\r\nConnection: close\r\n\r\n");
    while !counters().contains("\ndelivered 1\n") {
        assert!(Instant::now() < by, "the text is delivered: {}", counters());
        std::thread::sleep(Duration::from_millis(50));
    }
    drop((daemon, emulate));
    _ = fs::remove_dir_all(folder);
}

/// The sizes of the first segments of a rig's senders. Before a sender takes its first text on there are some 240 bytes in it,
/// what its products stand for.
fn journals_of(rig: &std::process::Child, folder: &Path) -> Vec<u64> {
    let runs = folder.join(format!("indigomast-{}", rig.id())).join("run-0");
    let senders = fs::read_dir(runs).into_iter().flatten().flatten();
    let segment = |sender: fs::DirEntry| sender.path().join("state/journal/0000000000000001.seg");
    senders.filter_map(|sender| Some(fs::metadata(segment(sender)).ok()?.len())).collect()
}

/// Guards against a sender being blamed, or praised, for a run in which the rig stood still.
#[test]
fn a_rig_that_stood_still_says_that_its_run_does_not_count() {
    let folder = folder("late");
    let json = folder.join("late.json");
    let arguments =
        ["lab", "run", &scenario("short"), "--stage", "sockets", "--json", &json.display().to_string()];
    let mut rig = Running(
        program(&arguments)
            .env("TMPDIR", &folder)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the program starts"),
    );
    // Only what comes once its clock runs is late by the rig's own doing: it stands still when both daemons take texts on.
    let by = Instant::now() + Duration::from_secs(60);
    while journals_of(&rig.0, &folder).iter().filter(|size| **size > 1_000).count() < 2 {
        assert!(Instant::now() < by, "both daemons take texts on");
        assert!(rig.0.try_wait().expect("it can be asked").is_none(), "the run is not over");
        std::thread::sleep(Duration::from_millis(10));
    }
    let signal = |name: &str| {
        let status = Command::new("kill").args([name, &rig.0.id().to_string()]).status().expect("kill runs");
        assert!(status.success());
    };
    signal("-STOP");
    // The stall itself, more than twice what a run may be late.
    std::thread::sleep(Duration::from_millis(600));
    signal("-CONT");
    assert_eq!(rig.0.wait().expect("it ends").code(), Some(4));
    let text = fs::read_to_string(&json).expect("runs");
    let runs: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    assert_eq!(runs["runs"][0]["lateness"]["counts"], false);
    assert!(runs["runs"][0]["lateness"]["most_ms"].as_f64().expect("a figure") >= 250.0);
    _ = fs::remove_dir_all(folder);
}

/// The journal of a sender that doesn't run: looked at, found damaged, compacted; one in use is refused.
#[test]
fn a_journal_is_looked_at_verified_and_compacted() {
    use indigomast_sender::limits::{Grant, Limits};
    use indigomast_sender::text_journal::{Report, TextInfo, TextJournal};
    let folder = folder("journal");
    let state = folder.display().to_string();
    let limits = Limits::of(Grant::new(48, 384, 3.0));
    let now = indigomast::time::Moment::from_millis(1e12);
    let mut journal = TextJournal::open(&folder, &limits, now).expect("opens");
    for (at, id) in ["unsent", "doubt", "never", "told", "over"].into_iter().enumerate() {
        let info = TextInfo {
            id: id.into(),
            mark: Some("secret-mark".into()),
            product: "receipt".into(),
            key: Some("secret-key".into()),
            dest: 7,
            until_ms: 1e12,
        };
        assert_eq!(journal.accept(info, b"secret body"[..].into(), now), Some(at));
    }
    journal.record_submit(1, now, "a");
    journal.record_submit(2, now, "a");
    journal.record_never_ran(2, 0);
    journal.record_end(3, Some(Report::Undeliverable));
    journal.record_end(4, None);
    journal.flush().expect("written");
    for command in ["inspect", "verify", "compact"] {
        let output = run(&["journal", command, &state]);
        assert_eq!(output.status.code(), Some(1), "{}", said(&output));
        assert!(said(&output).contains("another process uses this folder"), "{}", said(&output));
    }
    drop(journal);
    // A process that another test was just starting holds a copy of the lock until it becomes its program.
    let by = Instant::now() + Duration::from_secs(20);
    while said(&run(&["journal", "inspect", &state])).contains("another process uses this folder") {
        assert!(Instant::now() < by, "the lock is given back");
        std::thread::sleep(Duration::from_millis(5));
    }
    let inspect = || {
        let output = run(&["journal", "inspect", &state, "--json"]);
        assert!(output.status.success() && !said(&output).contains("secret"), "{}", said(&output));
        let told: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
        let texts = told["texts"].as_array().expect("texts").clone();
        let state = |text: &serde_json::Value| {
            let part = |name: &str| text[name].as_str().expect("told").to_owned();
            (part("id"), part("state"), text["submits"].as_u64().expect("a count"))
        };
        texts.iter().map(state).collect::<Vec<_>>()
    };
    let expected = [
        ("unsent", "unsent", 0),
        ("doubt", "in doubt", 1),
        ("never", "never ran", 1),
        ("told", "undeliverable", 0),
    ];
    let expected = expected.map(|(id, state, submits)| (id.to_owned(), state.to_owned(), submits));
    assert_eq!(inspect(), expected);
    let output = run(&["journal", "inspect", &state]);
    assert!(output.status.success() && !said(&output).contains("secret"), "{}", said(&output));
    assert!(said(&output).contains("4 texts owed, 1 of them only a report"), "{}", said(&output));
    assert!(run(&["journal", "compact", &state]).status.success());
    assert_eq!(inspect(), expected);
    // A bit turned in the middle; nothing is changed by any of the three.
    let segment = folder.join("journal").read_dir().expect("there").flatten().map(|entry| entry.path());
    let segment =
        segment.filter(|path| path.extension().is_some_and(|e| e == "seg")).max().expect("a segment");
    let mut bytes = fs::read(&segment).expect("there");
    bytes[100] ^= 4;
    fs::write(&segment, &bytes).expect("writable");
    for (command, code) in [("verify", 5), ("inspect", 5), ("compact", 1)] {
        let output = run(&["journal", command, &state]);
        assert_eq!(output.status.code(), Some(code), "{command}: {}", said(&output));
        assert!(said(&output).contains("damaged"), "{command}: {}", said(&output));
    }
    assert_eq!(fs::read(&segment).expect("there"), bytes);
    let output = run(&["journal", "verify", "/no/such/folder"]);
    assert_eq!(output.status.code(), Some(1), "{}", said(&output));
    _ = fs::remove_dir_all(folder);
}

#[test]
fn a_change_that_does_worse_is_taken_back_through_deaths_and_a_partition() {
    let _alone = one_fleet_at_a_time();
    let folder = folder("change");
    let json = folder.join("runs.json").display().to_string();
    let output = run(&["lab", "run", &scenario("change-small"), "--stage", "processes", "--json", &json]);
    // On a machine busy with other tests the rig may say that it was late; how the change came out counts all the same.
    assert!(matches!(output.status.code(), Some(0 | 4)), "{}", said(&output));
    let runs: serde_json::Value =
        serde_json::from_str(&fs::read_to_string(&json).expect("runs")).expect("JSON");
    let change = &runs["runs"][0]["change"];
    assert_eq!((&change["came_out"], &change["as_wanted"]), (&"reverted".into(), &true.into()), "{change}");
    let lines = change["said"].as_array().expect("lines");
    let said = lines.iter().filter_map(|line| line.as_str()).collect::<Vec<_>>().join("\n");
    assert!(said.contains("because: nacked of") && said.contains("epoch 2"), "{said}");
    assert!(!said.contains("Stage(1)"), "{said}");
    _ = fs::remove_dir_all(folder);
}

/// The judge of the stage with several processes finds a rule that only one side breaks.
#[test]
fn a_new_side_that_breaks_a_rule_is_found_out() {
    let _alone = one_fleet_at_a_time();
    let folder = folder("breaks");
    let text = fs::read_to_string(scenario("change-small")).expect("a scenario");
    let (head, rest) = text.split_once("[[faults]]").expect("faults");
    let change = &rest[rest.find("[change]").expect("a change")..];
    let trouble = "[[troubles]]\nwhat = \"errors\"\nat_s = 4\nfor_s = 8\ndestinations = [0]\nshare = 0.4\n\n";
    // Two submits are allowed, and the new side makes up to six of them.
    let text = format!("{head}{trouble}{change}")
        .replace("held = 400", "held = 400\nsubmits = 2")
        .replace("\"ceilings.most-held\" = 1", "\"ceilings.max-attempts\" = 6")
        .replace("ends = \"reverted\"", "ends = \"final\"")
        .replace("least_s = 20", "least_s = 1")
        .replace("undeliverable = 0.1\nnacked = 0.1\nslow = 0.6", "undeliverable = 0\nnacked = 0\nslow = 0");
    let (file, json) = (folder.join("breaks.toml"), folder.join("runs.json").display().to_string());
    fs::write(&file, text).expect("written");
    let output = run(&["lab", "run", &file.display().to_string(), "--stage", "processes", "--json", &json]);
    assert!(matches!(output.status.code(), Some(3 | 4)), "{}", said(&output));
    let runs: serde_json::Value =
        serde_json::from_str(&fs::read_to_string(&json).expect("runs")).expect("JSON");
    let broken = runs["runs"][0]["breach_counts"].as_object().expect("counts");
    assert!(broken.contains_key("submits"), "{}", said(&output));
    _ = fs::remove_dir_all(folder);
}
