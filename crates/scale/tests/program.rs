//! The program by its command line, and real daemons in a small form.

use indigomast_scale::meter::{Heap, Meter};
use indigomast_scale::real::stand::Stand;
use indigomast_scale::real::{self, Daemon};
use indigomast_scale::report::Report;
use indigomast_scale::roles;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_indigomast-scale");

fn run(arguments: &[&str]) -> Output {
    Command::new(PROGRAM).args(arguments).output().expect("it starts")
}

#[test]
fn it_prints_points_and_lines_and_writes_them_down() {
    let path = std::env::temp_dir().join(format!("indigomast-scale-{}.json", std::process::id()));
    let written = path.display().to_string();
    let output = run(&["--role", "destinations", "--to", "100", "--seed", "5", "--json", &written]);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{output:?}");
    assert!(said.contains("destinations by destinations, seed 5") && said.contains("idle bytes"), "{said}");
    let text = std::fs::read_to_string(&path).expect("it was written");
    std::fs::remove_file(&path).expect("it is there");
    let reports: Vec<Report> = serde_json::from_str(&text).expect("reports");
    let sizes: Vec<f64> = reports[0].points.iter().map(|point| point.size).collect();
    assert_eq!((reports.len(), sizes, reports[0].seed), (1, vec![10.0, 30.0, 100.0], 5));
    // Memory is counted in this program, whoever asks for it.
    let idle = reports[0].lines.iter().find(|line| line.name == "idle bytes").expect("it is read");
    assert!(idle.fit.as_ref().is_some_and(|fit| fit.slope > 500.0), "{idle:?}");
}

#[test]
fn what_can_not_be_measured_is_refused_by_name() {
    for (arguments, wanted) in [
        (vec!["--role", "nothing"], "none of destinations, outages, owed"),
        (vec!["--role", "owed", "--to", "10"], "--to: 10 is not over 100"),
        (vec!["--role", "owed", "--to", "NaN"], "--to: NaN"),
        (vec!["--role", "destinations", "--to", "11", "--daemon", "/nowhere/at/all"], "/nowhere/at/all"),
    ] {
        let output = run(&arguments);
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{arguments:?}: {said}");
        assert!(said.contains(wanted), "{arguments:?}: {said}");
    }
}

#[test]
fn real_daemons_keep_of_a_text_what_hollow_ones_do() {
    let none = Meter::new(Heap::default);
    let real = roles::among(real::all(Path::new(PROGRAM), &["daemon"]), "owed").expect("it is there");
    let hollow = roles::find("owed").expect("it is there");
    let disk = |role: &dyn indigomast_scale::Role, size: f64| {
        let readings = role.measure(size, 1, &none).expect("it runs");
        readings.iter().find(|reading| reading.name == "journal bytes on disk").expect("it is read").value
    };
    let slope = |role: &dyn indigomast_scale::Role| (disk(role, 1500.0) - disk(role, 500.0)) / 1000.0;
    let (real, hollow) = (slope(&*real), slope(&*hollow));
    assert!((real / hollow - 1.0).abs() < 0.15, "{real} bytes of journal a text, {hollow} hollow");
}

#[test]
fn a_list_of_more_than_a_daemon_looks_after_stops_its_start() {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let arguments = ["daemon".to_owned()];
    let start = |listed: usize, number: usize| {
        let stand = Stand::open(listed, nowhere).expect("a port");
        Daemon::start((Path::new(PROGRAM), &arguments), &stand, number, (100, 10_000.0)).map(|_| ())
    };
    let ended = start(4097, 70).expect_err("one too many");
    assert!(ended.contains("4097"), "{ended}");
    start(4096, 71).expect("as many as it looks after");
}
