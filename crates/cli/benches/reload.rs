//! 10,000 gateways swapped for 10,000 others while 300 texts a second are handed in: `cargo bench -p indigomast-cli`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

fn main() {
    let folder = folder("large");
    let gateway = Server::open(200);
    let path = folder.join("gateways.toml");
    let large = |turn: usize| {
        let other = |at: usize| {
            let (third, fourth) = (at / 250, at % 250 + 1);
            let address = SocketAddr::from(([127, 1 + turn as u8, third as u8, fourth as u8], 9));
            (format!("other-{turn}-{at}"), address, (2 + at % 1000) as u64)
        };
        let others: Vec<_> = (0..9_999).map(other).collect();
        let mut all = vec![("g", gateway.address, 1, "")];
        all.extend(others.iter().map(|(name, address, dest)| (name.as_str(), *address, *dest, "")));
        list(&all)
    };
    fs::write(&path, large(0)).expect("writable");
    let file = folder.join("n.toml").display().to_string();
    let text = "name = \"n\"\nstate = \"state\"\nlisten = \"127.0.0.1:0\"\n[limits]\ngateways = 20000\n[journal]\n\
                durability = \"process\"\n[[products]]\nname = \"notice\"\nrepeat = \"resendable\"\n\
                [list]\nfrom = \"files\"\nfiles = \"gateways.toml\"\nmost_taken_away = 1\n";
    fs::write(&file, text).expect("writable");
    let running = Running::start(&file);
    let memory = || {
        let status = fs::read_to_string(format!("/proc/{}/status", running.child.id())).unwrap_or_default();
        let line = |name: &str| {
            status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or("?").trim().to_owned()
        };
        format!("{} at rest, {} at most", line("VmRSS:"), line("VmHWM:"))
    };
    println!("memory with 10,000 gateways: {}", memory());
    let mut stream = TcpStream::connect(running.address).expect("it listens");
    stream.set_nodelay(true).expect("set");
    stream.set_read_timeout(Some(PATIENCE)).expect("set");
    let began = Instant::now();
    let (mut times, mut swaps) = (Vec::new(), Vec::new());
    let mut next = 0;
    for n in 0..3600u32 {
        let due = began + Duration::from_secs_f64(f64::from(n) / 300.0);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if n % 900 == 450 {
            next += 1;
            fs::write(&path, large(next)).expect("writable");
            swaps.push((n, Instant::now()));
        }
        let raw = format!(
            "POST /notice HTTP/1.1\r\nX-Request-ID: t{n}\r\nX-Timeout-Ms: 20000\r\nX-Envelope: dest=1\r\nContent-Length: 5\r\n\r\nhello"
        );
        let asked = Instant::now();
        stream.write_all(raw.as_bytes()).expect("open");
        let mut answer = Vec::new();
        while !answer.ends_with(b"\r\n\r\n") {
            let mut bytes = [0; 256];
            let count = stream.read(&mut bytes).expect("an answer");
            assert!(count > 0, "the connection ended");
            answer.extend(&bytes[..count]);
        }
        assert!(answer.starts_with(b"HTTP/1.1 202"), "{}", String::from_utf8_lossy(&answer));
        times.push((n, asked.elapsed().as_secs_f64() * 1e3));
    }
    running.counts("delivered", 3600);
    running.counts("lists", swaps.len() as u64);
    let near = |n: u32| swaps.iter().any(|(at, _)| (*at..*at + 300).contains(&n));
    for (name, is_near) in [("within 1 s of a swap", true), ("otherwise", false)] {
        let mut some: Vec<f64> =
            times.iter().filter(|(n, _)| near(*n) == is_near).map(|(_, ms)| *ms).collect();
        some.sort_by(f64::total_cmp);
        println!(
            "{name}: 202 after {:.2} ms (median), {:.2} (99th), {:.2} (most)",
            some[some.len() / 2],
            some[some.len() * 99 / 100],
            some[some.len() - 1]
        );
    }
    println!("memory after {} swaps: {}", swaps.len(), memory());
    let since = Instant::now();
    fs::write(&path, large(next + 1)).expect("writable");
    running.counts("lists", swaps.len() as u64 + 1);
    println!("from the file to the decisions: {:.0} ms", since.elapsed().as_secs_f64() * 1e3);
    _ = fs::remove_dir_all(folder);
}
