//! What agents cost a control process: many of them, each as it is beside a sender but all in this one process, at the control
//! processes given. `cargo run --release -p indigomast-control-plane --example agents -- KEY SHARDS AGENTS SECONDS RELAY...`
//!
//! Prints how long it took until all had a part, and each agent's bytes a second afterwards, at rest.

use indigomast_control_plane::agent::Agent;
use indigomast_control_plane::config;
use indigomast_control_plane::limits::Limits;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};
use std::{env, fs, thread};

fn status(address: SocketAddr) -> Option<serde_json::Value> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    stream.write_all(b"GET /status HTTP/1.1\r\nConnection: close\r\n\r\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    serde_json::from_str(answer.split_once("\r\n\r\n")?.1).ok()
}

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [key, shards, agents, seconds, relays @ ..] = &arguments[..] else {
        eprintln!("KEY SHARDS AGENTS SECONDS RELAY...");
        std::process::exit(1);
    };
    let (shards, agents) = (shards.parse().expect("a number"), agents.parse::<u32>().expect("a number"));
    let seconds: f64 = seconds.parse().expect("a number");
    let relays: Vec<SocketAddr> = relays.iter().map(|relay| relay.parse().expect("an address")).collect();
    let folder = env::temp_dir().join(format!("indigomast-agents-{}", std::process::id()));
    let began = Instant::now();
    let running: Vec<Agent> = (0..agents)
        .map(|sender| {
            let mut relays = relays.clone();
            let first = sender as usize % relays.len();
            relays.rotate_left(first);
            let config = config::Agent {
                sender,
                listen: ([127, 0, 0, 1], 0).into(),
                relays,
                key: PathBuf::from(key),
                state: folder.join(sender.to_string()),
                shards,
                reports: None,
            };
            Agent::start(&config, Limits::default()).expect("it starts")
        })
        .collect();
    let all = |what: &dyn Fn(&serde_json::Value) -> bool| {
        running.iter().filter(|agent| status(agent.address).is_some_and(|shown| what(&shown))).count()
    };
    let by = began + Duration::from_secs(300);
    while all(&|shown| shown["ready"] == true) < running.len() && Instant::now() < by {
        thread::sleep(Duration::from_millis(200));
    }
    let ready = all(&|shown| shown["ready"] == true);
    println!("{ready} of {agents} have a part after {:.1} s", began.elapsed().as_secs_f64());
    let bytes = || {
        let each = running.iter().filter_map(|agent| {
            let shown = status(agent.address)?;
            let above = &shown["bytes_in_out"]["above"];
            Some((above[0].as_u64()?, above[1].as_u64()?))
        });
        each.fold((0, 0), |sum, (read, written)| (sum.0 + read, sum.1 + written))
    };
    let (before, since) = (bytes(), Instant::now());
    thread::sleep(Duration::from_secs_f64(seconds));
    let (after, took) = (bytes(), since.elapsed().as_secs_f64() * f64::from(agents));
    let rate = |after: u64, before: u64| (after - before) as f64 / took;
    println!(
        "bytes a second an agent over {seconds} s: {:.1} down, {:.1} up",
        rate(after.0, before.0),
        rate(after.1, before.1)
    );
    running.into_iter().for_each(Agent::stop);
    _ = fs::remove_dir_all(folder);
}
