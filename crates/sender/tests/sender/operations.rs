//! What operators do to a sender that runs: questions and orders at the second address, and other settings.

use crate::common::*;
use indigomast_sender::config::Config;
use serde_json::{Value, json};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// One destination with two endpoints, a second address, and a discovery that never says anything new.
struct World {
    endpoints: [Host; 2],
    _discovery: Host,
    config: Value,
    folder: Folder,
    control: SocketAddr,
}

/// One that was free a moment ago: the file has to name it before the program listens.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

fn world() -> World {
    let (endpoints, discovery) = ([Host::open(), Host::open()], Host::open());
    let members = [member("e0", &endpoints[0], 0, "Ready"), member("e1", &endpoints[1], 0, "Ready")];
    let mut config = config(&members, discovery.address);
    let control = free_address();
    config["control"] = json!(control.to_string());
    World { endpoints, _discovery: discovery, config, folder: Folder::new(), control }
}

impl World {
    fn start(&self) -> Daemon {
        Daemon::start(&self.config, &self.folder)
    }

    fn order(&self, which: &str, id: &str) -> u16 {
        call(self.control, "PUT", &format!("/ops/endpoints/{which}"), id).0
    }

    fn figure(&self, name: &str) -> Option<u64> {
        let (status, body) = call(self.control, "GET", "/ops/stats", "");
        assert_eq!(status, 200);
        body.lines().find_map(|line| {
            line.strip_prefix("sender.")?.strip_prefix(name)?.strip_prefix('=')?.parse().ok()
        })
    }

    /// Figures are half a second old at the most.
    fn shows(&self, name: &str, value: u64) {
        let by = Instant::now() + PATIENCE;
        while self.figure(name) != Some(value) {
            assert!(Instant::now() < by, "{name} is {:?}, not {value}", self.figure(name));
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Puts a file in the place of the one before and has it read.
    fn reload(&self, daemon: &Daemon, file: &str) {
        std::fs::write(self.folder.0.join("config.json"), file).expect("the folder is there");
        daemon.signal("-HUP");
    }
}

fn category(name: &str, repeat: &str, objective_ms: f64) -> Value {
    json!({"name": name, "objective-ms": objective_ms, "deadline-ms": 24000.0, "repeat": repeat, "group": "all",
        "in-order": false, "window-ms": 15000.0, "worth": 1.0, "late-worth": 0.5,
        "stream": false})
}

#[test]
fn calls_at_the_second_address_are_answered_by_path_method_and_form() {
    let world = world();
    let _daemon = world.start();
    for (method, path, body, status) in [
        ("GET", "/ops/readiness", "", 200),
        ("GET", "/ops/stats", "", 200),
        ("POST", "/ops/stats", "", 405),
        ("GET", "/ops/endpoints/down", "", 405),
        ("GET", "/", "", 404),
        ("POST", "/free", "hello", 404),
        ("PUT", "/ops/endpoints/down", "", 400),
        ("PUT", "/ops/endpoints/down", "nobody", 404),
        ("PUT", "/ops/endpoints/up", "nobody", 404),
        ("PUT", "/ops/endpoints/up", "e0", 200),
        ("PUT", "/ops/endpoints/down", &"e".repeat(4000), 413),
    ] {
        assert_eq!(call(world.control, method, path, body).0, status, "{method} {path}");
    }
    assert_eq!(Client::at(world.control).ask(b"what is this\r\n\r\n").0, 400);
}

/// Guards against callers that hold up others: more of them than there is room for say nothing at all.
#[test]
fn callers_who_finish_no_call_hold_up_nobody() {
    let world = world();
    let _daemon = world.start();
    let silent: Vec<_> = (0..40)
        .map(|_| {
            let mut stream = TcpStream::connect(world.control).expect("it listens");
            _ = stream.write_all(b"GET /ops/rea");
            stream
        })
        .collect();
    let asked = Instant::now();
    assert_eq!(call(world.control, "GET", "/ops/readiness", "").0, 200);
    assert!(asked.elapsed() < Duration::from_secs(1));
    drop(silent);
}

#[test]
fn figures_tell_how_texts_ended_and_what_is_at_hand() {
    let world = world();
    let daemon = world.start();
    let next = || {
        let by = Instant::now() + PATIENCE;
        loop {
            let came = world.endpoints.iter().find_map(|host| host.next_within(Duration::from_millis(5)));
            if let Some(visit) = came {
                return visit;
            }
            assert!(Instant::now() < by, "no call comes");
        }
    };
    for id in ["a", "b"] {
        assert_eq!(daemon.hand_in("free", id, 0), 202);
        next().status(200);
    }
    assert_eq!(daemon.hand_in("once", "c", 0), 202);
    next().hang_up();
    assert_eq!(daemon.hand_in("marked", "d", 0), 202);
    let held = next();
    // The platform never answers the notice: it is not over, and neither is the one that is out.
    for (name, value) in [
        ("answered.free", 2),
        ("answered.once", 0),
        ("errored.once", 0),
        ("sends", 4),
        ("current", 2),
        ("cluster_size", 2),
        ("cluster_unhealthy", 0),
        ("conf_loaded", 0),
        ("conf_invalid", 0),
    ] {
        world.shows(name, value);
    }
    held.status(200);
    world.shows("answered.marked", 1);
    world.shows("current", 1);
}

/// The order is in force once it is answered, whatever the list says, until the call back, over a stop and a kill.
#[test]
fn an_endpoint_taken_out_gets_nothing_until_it_is_given_back() {
    let world = world();
    let mut daemon = world.start();
    assert_eq!([world.order("down", "e0"), world.order("down", "e0")], [200, 200]);
    world.shows("cluster_unhealthy", 1);
    let deliver = |daemon: &Daemon, id: &str| {
        assert_eq!(daemon.hand_in("free", id, 0), 202);
        world.endpoints[1].next().status(200);
    };
    (0..6).for_each(|at| deliver(&daemon, &format!("a{at}")));
    for signal in ["-TERM", "-KILL"] {
        daemon.signal(signal);
        daemon.wait();
        daemon = world.start();
        (0..6).for_each(|at| deliver(&daemon, &format!("b{signal}{at}")));
    }
    assert!(world.endpoints[0].is_quiet());
    assert_eq!([world.order("up", "e0"), world.order("up", "e0")], [200, 200]);
    world.shows("cluster_unhealthy", 0);
    // Cold, it waits for its turn; then the second of two texts at once goes to the one with fewer calls out.
    let by = Instant::now() + PATIENCE;
    for at in 0.. {
        ["x", "y"].iter().for_each(|id| assert_eq!(daemon.hand_in("free", &format!("{id}{at}"), 0), 202));
        let (one, two) =
            (world.endpoints[1].next(), world.endpoints[1].next_within(Duration::from_millis(50)));
        one.status(200);
        let Some(two) = two else { break };
        two.status(200);
        assert!(Instant::now() < by, "it never gets a text again");
    }
    world.endpoints[0].next().status(200);
}

#[test]
fn other_settings_bind_new_texts_while_open_ones_keep_theirs() {
    let mut world = world();
    world.order_of_one();
    let mut daemon = world.start();
    // Taken on as resendable: a reset lets it go again, also after its product has become once-only, and after a kill.
    assert_eq!(daemon.hand_in("free", "old", 0), 202);
    let visit = world.endpoints[0].next();
    let categories = world.config["settings"]["categories"].clone();
    let mut changed = world.config.clone();
    changed["settings"]["categories"] =
        json!([category("free", "non_idempotent", 3000.0), category("added", "read_like", 3000.0)]);
    assert_eq!(daemon.hand_in("added", "early", 0), 404);
    world.reload(&daemon, &changed.to_string());
    world.shows("conf_loaded", 1);
    daemon.kill();
    drop(visit);
    std::fs::write(world.folder.0.join("config.json"), changed.to_string()).expect("the folder is there");
    world.config = changed.clone();
    daemon = world.start();
    let again = world.endpoints[0].next();
    assert_eq!(again.header("x-request-id"), "old");
    again.hang_up();
    let again = world.endpoints[0].next();
    assert_eq!(again.header("x-request-id"), "old");
    again.status(200);
    // A new one is once-only: after a reset it never goes again.
    assert_eq!(daemon.hand_in("free", "new", 0), 202);
    world.endpoints[0].next().hang_up();
    daemon.counts("undeliverable", 1);
    assert_eq!(daemon.hand_in("marked", "gone", 0), 404);
    assert_eq!(daemon.hand_in("added", "late", 0), 202);
    world.endpoints[0].next().status(200);
    world.shows("answered.added", 1);
    // Back to the first ones, which are known.
    changed["settings"]["categories"] = categories;
    world.reload(&daemon, &changed.to_string());
    world.shows("conf_loaded", 1);
    assert_eq!(daemon.hand_in("marked", "back", 0), 202);
}

impl World {
    /// Only the first endpoint stays.
    fn order_of_one(&mut self) {
        let first = self.config["known"]["members"][0].clone();
        self.config["known"]["members"] = json!([first]);
    }
}

#[test]
fn a_broken_file_is_turned_down_whole() {
    let world = world();
    let daemon = world.start();
    let mut with_extra = world.config.clone();
    with_extra["settings"]["categories"] = json!([category("other", "read_like", 3000.0)]);
    let broken = |change: &dyn Fn(&mut Value)| {
        let mut file = with_extra.clone();
        change(&mut file);
        file.to_string()
    };
    let whole = with_extra.to_string();
    let files = [
        String::new(),
        whole[..whole.len() / 2].to_owned(),
        whole[..whole.len() - 1].to_owned(),
        broken(&|file| _ = file["settings"]["categories"][0].as_object_mut().map(|c| c.remove("worth"))),
        broken(&|file| _ = file["settings"].as_object_mut().map(|s| s.remove("weight-kind"))),
        broken(&|file| _ = file["limits"].as_object_mut().map(|s| s.remove("cores"))),
        broken(&|file| file["settings"]["categories"][0]["deadline-ms"] = json!(0)),
        broken(&|file| file["settings"]["categories"][0]["deadline-ms"] = json!(-5)),
        broken(&|file| file["settings"]["categories"][0]["deadline-ms"] = json!("soon")),
        broken(&|file| file["settings"]["ceilings"]["max-attempts"] = json!(0)),
        broken(&|file| file["settings"]["ceilings"]["max-attempts"] = json!(-1)),
        broken(&|file| file["listen"] = json!("127.0.0.1:1")),
        broken(&|file| file["settings"]["kinds"] = json!(["other"])),
    ];
    for (at, file) in files.iter().enumerate() {
        world.reload(&daemon, file);
        world.shows("conf_invalid", at as u64 + 1);
        assert_eq!(daemon.hand_in("other", &format!("o{at}"), 0), 404, "{file}");
        assert_eq!(daemon.hand_in("free", &format!("f{at}"), 0), 202, "{file}");
    }
    world.reload(&daemon, &whole);
    world.shows("conf_loaded", 1);
    assert_eq!(daemon.hand_in("other", "o", 0), 202);
}

/// Every beginning of a file is turned down, and every key that is taken out of it is missed.
#[test]
fn a_file_cut_off_at_any_byte_is_no_configuration() {
    let world = world();
    let folder = world.folder.state();
    let whole = world.config.to_string();
    for end in 0..whole.len() {
        assert!(Config::parse(&whole[..end], folder.clone()).is_err(), "cut off at {end}");
    }
    let before = Config::parse(&whole, folder.clone()).expect("it is whole");
    let lines = serde_json::to_string_pretty(&world.config).expect("JSON");
    let lines: Vec<&str> = lines.lines().collect();
    for gone in (0..lines.len()).filter(|at| lines[*at].contains(':')) {
        let rest: Vec<&str> = [&lines[..gone], &lines[gone + 1..]].concat();
        let Ok(parsed) = Config::parse(&rest.join("\n"), folder.clone()) else { continue };
        let follows = parsed.follows(&before.site, &before.keys, before.listen);
        // What a class may leave out, and what only classes of another effect need; `settings_schema` tells which is which.
        let optional = ["in-order", "window-ms", "group\"", "\"known\""];
        let spared = optional.iter().any(|name| lines[gone].contains(name));
        assert_eq!(follows.is_ok(), spared, "{}", lines[gone]);
    }
}

#[test]
fn a_second_address_that_cant_be_had_ends_the_start_and_is_named() {
    let world = world();
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("bound").to_string();
    for (value, named) in [("nowhere", "control"), (address.as_str(), "control")] {
        let mut config = world.config.clone();
        config["control"] = json!(value);
        let (code, said) = complaint(command(&config, &world.folder));
        assert_eq!(code, Some(1));
        assert!(said.contains(named), "{said}");
    }
    let mut command = command(&world.config, &world.folder);
    command.env("ROUTER_CONTROL", "here");
    let (code, said) = complaint(command);
    assert!(code == Some(1) && said.contains("ROUTER_CONTROL"), "{said}");
}

#[test]
fn a_sender_tells_what_it_is_and_how_it_fares() {
    let world = world();
    let daemon = world.start();
    let asked = |path: &str| -> Value {
        let (status, body) = call(world.control, "GET", path, "");
        assert_eq!(status, 200, "{path}");
        serde_json::from_str(&body).expect("JSON")
    };
    let told = asked("/ops/version");
    let file = std::fs::read_to_string(world.folder.0.join("config.json")).expect("the file");
    let revision = format!("{:08x}", indigomast_sender::versions::revision(&file));
    assert_eq!(told["revision"], json!(revision));
    assert_eq!(
        (&told["name"], &told["version"]),
        (&json!("n0"), &json!(indigomast_sender::versions::VERSION))
    );
    assert_eq!(told["formats"][0], json!({"name": "journal", "oldest": 1, "newest": 1, "writes": 1}));
    for id in ["a", "b"] {
        assert_eq!(daemon.hand_in("free", id, 0), 202);
        let visit = (0..).find_map(|turn| world.endpoints[turn % 2].next_within(Duration::from_millis(20)));
        visit.expect("it comes").status(200);
    }
    daemon.counts("delivered", 2);
    // What ends is counted by product only after that, and its time last.
    let by = Instant::now() + PATIENCE;
    let took = |report: &Value| {
        let bins = report["products"]["free"]["took"].as_array();
        bins.into_iter().flatten().filter_map(Value::as_u64).sum::<u64>()
    };
    let mut report = asked("/ops/report");
    while took(&report) < 2 && Instant::now() < by {
        std::thread::sleep(Duration::from_millis(5));
        report = asked("/ops/report");
    }
    assert_eq!(
        (&report["taken"], &report["submits"], &report["ready"]),
        (&json!(2), &json!(2), &json!(true))
    );
    assert_eq!(report["products"]["free"]["delivered"], json!(2));
    assert_eq!(took(&report), 2, "each in one bin");
    // A file that is put in force is the one that is told of; one that is turned down isn't.
    let other = file.replace("\"seed\"", " \"seed\"");
    world.reload(&daemon, &other);
    world.shows("conf_loaded", 1);
    let revision = format!("{:08x}", indigomast_sender::versions::revision(&other));
    assert_eq!(asked("/ops/version")["revision"], json!(revision));
    world.reload(&daemon, "{");
    world.shows("conf_invalid", 1);
    assert_eq!(asked("/ops/version")["revision"], json!(revision));
}

#[test]
fn below_a_floor_that_was_raised_no_program_starts() {
    let world = world();
    let mut daemon = world.start();
    assert!(!world.folder.state().join("floor").exists(), "nothing is written before it is asked for");
    assert_eq!(call(world.control, "PUT", "/ops/floor", "").0, 200);
    let floor = std::fs::read_to_string(world.folder.state().join("floor")).expect("a floor");
    assert!(floor.contains("journal 1"), "{floor}");
    daemon.kill();
    drop(world.start());
    // As a later version raises it.
    let later = floor.replace("journal 1", "journal 2");
    let lines = &later[later.find('\n').expect("lines") + 1..later.rfind("sum").expect("a sum")];
    let raised =
        format!("indigomast floor 1\n{lines}sum {:08x}\n", indigomast_sender::versions::revision(lines));
    std::fs::write(world.folder.state().join("floor"), raised).expect("written");
    let (code, said) = complaint(command(&world.config, &world.folder));
    assert_eq!(code, Some(1));
    assert!(said.contains("floor: journal is at 2") && said.contains("no way back"), "{said}");
}
