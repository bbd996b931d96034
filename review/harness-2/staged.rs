//! Changes in stages: keepers, their senders and controllers, started by the project's own program.

use crate::common::*;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// A plan's figures are compared by few texts, as a case has few.
const COMPARE: &str = "[compare]\nlook_texts = 10\nundeliverable = 0.1\nnacked = 0.1\nslow = 0.6\nturned_away = 0.2\n\
                       submits = 0\nprocessor = 0\nmemory = 0\n";

struct Keeper {
    file: PathBuf,
    orders: SocketAddr,
    clients: SocketAddr,
    process: Process,
}

fn indigomast(words: &[&str]) -> Command {
    let mut command = Command::new(program("indigomast"));
    command.args(words).stdin(Stdio::null());
    command
}

fn shown(path: &Path) -> String {
    path.display().to_string()
}

impl Keeper {
    fn begin(file: &Path) -> Process {
        Process::start(indigomast(&["keep", &shown(file)]), "a keeper")
    }

    /// A keeper with a sender that begins with `old.json`.
    fn new(name: &str) -> Keeper {
        let own = folder().join(name);
        fs::create_dir_all(&own).expect("a folder");
        let file = own.join("keep.toml");
        for _ in 0..5 {
            let (orders, clients) = (free_address(), free_address());
            let text = format!(
                "name = \"{name}\"\nlisten = \"{orders}\"\nclients = \"{clients}\"\nkey = \"../fleet.key\"\nstate = \"state\"\n\
                 record = \"record\"\nprogram = \"{}\"\nsettings = \"../old.json\"\n",
                program("indigomastd")
            );
            fs::write(&file, text).expect("written");
            owns_pid_file(own.join("record").join("process"));
            let process = Keeper::begin(&file);
            if process.line_with("hears orders at", Duration::from_secs(10)).is_some() {
                let keeper = Keeper { file, orders, clients, process };
                if !until(Duration::from_secs(15), || status(clients, "/up") == Some(200)) {
                    end(NOT_RUN, "a sender was not ready in 15 s");
                }
                return keeper;
            }
        }
        end(NOT_RUN, "no keeper came up")
    }

    /// The settings' revision and more that the sender says of itself.
    fn version(&self) -> String {
        let text = fs::read_to_string(self.file.with_file_name("record").join("process")).unwrap_or_default();
        let control = text.split_whitespace().nth(1).and_then(|word| word.parse().ok());
        let Some(control) = control else { return String::new() };
        let raw = b"GET /ops/version HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
        text_field(&ask(control, raw, Duration::from_secs(1)).1, "revision").unwrap_or_default()
    }

    /// The sender's process.
    fn sender(&self) -> u32 {
        let text = fs::read_to_string(self.file.with_file_name("record").join("process")).unwrap_or_default();
        text.split_whitespace().next().and_then(|word| word.parse().ok()).unwrap_or(0)
    }
}

fn plan(name: &str, to: &str, keepers: &[(&str, SocketAddr)], stages: &str, limits: &str) -> PathBuf {
    let mut text = format!("name = \"{name}\"\n[to]\n{to}\n");
    for (name, agent) in keepers {
        text += &format!("[[senders]]\nname = \"{name}\"\nagent = \"{agent}\"\n");
    }
    text += &format!("{stages}{COMPARE}[limits]\n{limits}");
    let path = folder().join(format!("{name}.toml"));
    fs::write(&path, text).expect("written");
    path
}

fn record_of(name: &str) -> PathBuf {
    folder().join(format!("record-{name}"))
}

fn controller(plan: &Path, name: &str) -> Process {
    let (key, record) = (folder().join("fleet.key"), record_of(name));
    let command = indigomast(&["rollout", "start", &shown(plan), "--record", &shown(&record), "--key", &shown(&key)]);
    Process::start(command, &format!("the controller of {name}"))
}

/// How a change stands, by its controller; what may be said to it besides `status`.
fn say(name: &str, what: &str) -> String {
    let (key, record) = (folder().join("fleet.key"), record_of(name));
    let mut words = vec!["rollout", what];
    let (record, key) = (shown(&record), shown(&key));
    words.extend(["--record", &record, "--key", &key]);
    if what == "status" {
        words.push("--json");
    }
    let output = indigomast(&words).output().expect("it runs");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// How often a pair of JSON text stands in a status.
fn count(status: &str, pair: &str) -> usize {
    status.matches(pair).count()
}

fn key() {
    fs::write(folder().join("fleet.key"), "a key of this case, and of nobody else\n").expect("written");
}

struct Stage {
    calls: Calls,
    ends: Ends,
    site: Site,
}

/// One endpoint that delivers, one destination (9) whose endpoint refuses connections, the platform, and `old.json`.
fn stage() -> Stage {
    key();
    let (calls, ends): (Calls, Ends) = Default::default();
    let endpoint = sound_endpoint("e0", &calls, Duration::from_millis(20));
    let away = free_address();
    let members = format!("[{},{}]", member("e0", endpoint, 0), member("e9", away, 9));
    let discovery = platform(&members, &ends);
    let site = Site::new("127.0.0.1:0".parse().expect("an address"), discovery, &members);
    site.write(&folder().join("old.json"));
    Stage { calls, ends, site }
}

fn id() -> String {
    format!("{:016x}", 0x9b1f_0000 + number())
}

/// The controller of an earlier change, which still waits for one sender, and a later change that has become final.
pub fn stale_controller() -> ! {
    let mut stage = stage();
    let a = Keeper::new("a");
    let mut b = Keeper::new("b");
    let (first, second) = (folder().join("first.json"), folder().join("second.json"));
    stage.site.most_held = 400;
    stage.site.write(&first);
    stage.site.products.push(("invoice".into(), "read_like".into()));
    stage.site.write(&second);
    let both = [("a", a.orders), ("b", b.orders)];
    let stages = "[[stages]]\nshare = 1.0\nleast_s = 2\n";
    let one = plan("one", &format!("settings = \"{}\"", shown(&first)), &both, stages, "away = 1\nstart_s = 10\n");
    let longer = "[[stages]]\nshare = 1.0\nleast_s = 6\n";
    let two = plan("two", &format!("settings = \"{}\"", shown(&second)), &both[..1], longer, "away = 1\nstart_s = 10\n");
    let mut earlier = controller(&one, "one");
    // Both have the new side and serve: what is left is that the change becomes final, 2 s later.
    let has = || {
        let told = say("one", "status");
        count(&told, "\"side\":\"new\"") == 2 && count(&told, "\"serving\":true") == 2
    };
    if !until(Duration::from_secs(30), has) {
        end(NOT_RUN, "the first change did not come to both senders");
    }
    note(&format!("both senders have the first change: {} and {}", a.version(), b.version()));
    if trouble() {
        note("SIGKILL to the keeper of b; its sender serves on");
        b.process.kill();
    }
    let sealed = || earlier.ended() == Some(0) || count(&say("one", "status"), "\"phase\":\"final\"") == 1;
    if !until(Duration::from_secs(20), sealed) {
        end(NOT_RUN, "the first change did not become final");
    }
    wait(1500);
    note(&format!("the first change is final; its controller {}", match earlier.ended() {
        Some(code) => format!("has ended with {code}"),
        None => "waits for b".into(),
    }));
    let mut later = controller(&two, "two");
    let (mut served, mut gone, mut done, mut back) = (None, None, None, None);
    let by = Instant::now() + Duration::from_secs(45);
    while Instant::now() < by {
        match hand_in(a.clients, "invoice", &id(), 0, 5000) {
            Got::Status(202) => _ = served.get_or_insert_with(elapsed),
            // Only what comes after the second change had been in force counts.
            Got::Status(404) if served.is_some() => _ = gone.get_or_insert_with(elapsed),
            _ => {}
        }
        if done.is_none()
            && let Some(code) = later.ended()
        {
            note(&format!("the controller of the second change has ended with {code}"));
            done = Some((code, Instant::now()));
        }
        let is_final = || done.is_some() || count(&say("two", "status"), "\"phase\":\"final\"") == 1;
        if back.is_none() && is_final() {
            wait(3000);
            note(&format!("the second change is final; a runs by the settings {}", a.version()));
            if trouble() {
                note("the keeper of b is started again");
                b.process = Keeper::begin(&b.file);
            }
            back = Some(Instant::now());
        }
        if back.is_some_and(|at| at.elapsed() > Duration::from_secs(12)) {
            break;
        }
        wait(100);
    }
    note(&format!("a runs by the settings {}", a.version()));
    let Some(served) = served else { end(NOT_RUN, "the second change never came into force at a") };
    if back.is_none() {
        end(NOT_RUN, "the second change did not become final");
    }
    note(&format!("{} calls came to the endpoint", stage.calls.lock().unwrap_or_else(|e| e.into_inner()).len()));
    let code = done.map_or("has not ended".to_owned(), |(code, _)| format!("ended with {code}"));
    match gone {
        Some(gone) => end(
            BROKEN,
            &format!(
                "a took invoices from {:.1} s on and refused one at {:.1} s: the controller of the first change took a back; \
                 that of the second {code}",
                served.as_secs_f64(),
                gone.as_secs_f64()
            ),
        ),
        None => end(HELD, &format!("the second change stays in force at a; its controller {code}")),
    }
}

/// A controller dies while a sender has a side that is not final; the plan says that the sender goes back by itself.
pub fn unheard() -> ! {
    const UNHEARD: u64 = 10;
    const START: u64 = 5;
    let mut stage = stage();
    let keeper = Keeper::new("a");
    let old = keeper.version();
    // The new side is one that such changes are there to catch: nobody listens where it sends its notices.
    let new = folder().join("new.json");
    stage.site.discovery = free_address();
    stage.site.write(&new);
    let stages = "[[stages]]\nshare = 1.0\nleast_s = 600\n";
    let limits = format!("away = 1\nstart_s = {START}\nunheard = \"back\"\nunheard_s = {UNHEARD}\n");
    let plan = plan("change", &format!("settings = \"{}\"", shown(&new)), &[("a", keeper.orders)], stages, &limits);
    let mut steering = controller(&plan, "change");
    let has = || count(&say("change", "status"), "\"side\":\"new\"") == 1;
    if !until(Duration::from_secs(30), has) {
        end(NOT_RUN, "the change did not come to the sender");
    }
    note(&format!("the sender runs by the settings {}, not by {old}", keeper.version()));
    wait(1000);
    if trouble() {
        note("SIGKILL to the controller");
        steering.kill();
    } else {
        note("the change is taken back by hand");
        say("change", "back");
    }
    // Its time, twice what a side may need to serve, and 5 s.
    wait(1000 * (UNHEARD + 2 * START + 5));
    note(&format!("the sender runs by the settings {}", keeper.version()));
    let mut taken = Vec::new();
    for _ in 0..5 {
        let id = id();
        if hand_in(keeper.clients, "receipt", &id, 9, 3000) == Got::Status(202) {
            taken.push(id);
        }
        wait(100);
    }
    if taken.is_empty() {
        end(NOT_RUN, "no text was taken on");
    }
    wait(3000 + 350 + 1000);
    let told = stage.ends.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let lost = taken.iter().filter(|id| !told.contains_key(*id)).count();
    let back = keeper.version() == old;
    match (back, lost) {
        (true, 0) => end(HELD, "the sender has the old side again, and each text has its end"),
        (true, _) => end(BROKEN, &format!("the old side is back, and {lost} of {} texts have no end", taken.len())),
        (false, _) => end(
            BROKEN,
            &format!(
                "nobody was heard of for {} s and the sender still has the new side; {lost} of {} texts that it took on since have no end",
                UNHEARD + 2 * START + 5,
                taken.len()
            ),
        ),
    }
}

/// A keeper is killed while a new program takes the old one's place, and is started again.
pub fn keeper_killed() -> ! {
    let stage = stage();
    let mut keeper = Keeper::new("a");
    let before = keeper.sender();
    let (script, pids) = (folder().join("indigomastd-new"), folder().join("new-pids"));
    owns_pid_file(pids.clone());
    let text = format!("#!/bin/sh\necho $$ >> '{}'\nexec '{}' \"$@\"\n", shown(&pids), program("indigomastd"));
    fs::write(&script, text).expect("written");
    use std::os::unix::fs::PermissionsExt;
    fs::set_permissions(&script, fs::Permissions::from_mode(0o755)).expect("set");
    let stages = "[[stages]]\nshare = 1.0\nleast_s = 2\n";
    let to = format!("program = \"{}\"", shown(&script));
    let plan = plan("change", &to, &[("a", keeper.orders)], stages, "away = 1\nstart_s = 10\n");
    let mut steering = controller(&plan, "change");
    let new = || fs::read_to_string(&pids).unwrap_or_default().split_whitespace().next().and_then(|word| word.parse::<u32>().ok());
    if !until(Duration::from_secs(20), || new().is_some()) {
        end(NOT_RUN, "the new program was not started");
    }
    note(&format!("the new program is process {:?}, the old one {before}", new()));
    if trouble() {
        note("SIGKILL to the keeper, while the new process takes the old one's place");
        keeper.process.kill();
    }
    // The new process takes over by itself; a supervisor starts the keeper again 3 s after its death.
    wait(3000);
    let serves = until(Duration::from_secs(10), || hand_in(keeper.clients, "receipt", &id(), 0, 5000) == Got::Status(202));
    note(&format!("clients are served: {serves}; the old process runs: {}, the new one: {}", is_alive(before), new().is_some_and(is_alive)));
    let mut came = true;
    if trouble() {
        came = false;
        for _ in 0..3 {
            let mut again = Keeper::begin(&keeper.file);
            if again.line_with("hears orders at", Duration::from_secs(3)).is_some() {
                came = true;
                keeper.process = again;
                break;
            }
            if again.line_with("its socket can't be had from it", Duration::ZERO).is_some() {
                end(NOT_RUN, "this system doesn't let one process have another's socket");
            }
            note(&format!("the next keeper ended with {:?}", again.ends_within(Duration::from_secs(3))));
            wait(1000);
        }
    }
    let over = steering.ends_within(Duration::from_secs(25));
    note(&format!("the controller's code: {over:?}; calls at the endpoint: {}", stage.calls.lock().unwrap_or_else(|e| e.into_inner()).len()));
    match (serves, came) {
        (false, _) => end(BROKEN, "clients are not served after the keeper's death"),
        (true, false) => end(BROKEN, "the next keeper does not find the sender that serves, and ends; the change comes to no end"),
        (true, true) if over == Some(0) => end(HELD, "a keeper has the sender, and the change is final"),
        (true, true) => end(BROKEN, &format!("a keeper has the sender, and the change is not final: {over:?}")),
    }
}
