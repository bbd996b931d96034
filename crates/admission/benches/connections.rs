//! What admission costs for each connection, by how many are open: time, and resident memory where the system tells.
//!
//! Counts of a whole life: it comes, its request is read, a text is taken on, it rests, it ends.

use indigomast::time::{Moment, Span};
use indigomast_admission::{ConnectionNumber, Connections, Event, Priority, Settings, State};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

const LIVES: u64 = 100_000;

fn resident() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok().map(|kb| kb * 1024)
}

fn address(n: u64) -> IpAddr {
    IpAddr::from(Ipv4Addr::from(0x0a00_0000 + (n % 60_000) as u32))
}

fn settings(max_connections: usize) -> Settings {
    Settings {
        max_connections,
        reserved_for_known: max_connections / 10,
        max_per_address: 64,
        max_per_prefix: 512,
        new_per_second: 1000.0,
        new_burst: 1000.0,
        known_for: Span::millis(3_600_000),
        max_remembered: 4096,
        stalled_after: Span::millis(500),
        ..Settings::default()
    }
}

fn main() {
    println!("{:>8} {:>16} {:>16} {:>16}", "open", "ns a life", "ns turned away", "bytes each");
    for open in [100usize, 1_000, 10_000, 50_000] {
        let before = resident();
        let mut connections = Connections::new(settings(open + open / 5 + 10));
        let at = |n: u64| Moment::from_millis(n as f64 / 10.0);
        for n in 0..open as u64 {
            connections.step(
                at(n),
                Event::Arrived {
                    number: ConnectionNumber(n),
                    address: address(n * 7),
                    priority: Priority::Unknown,
                },
            );
            connections.step(
                at(n),
                Event::StateChanged { number: ConnectionNumber(n), state: State::AwaitingResponse },
            );
        }
        let held = before.zip(resident()).map(|(before, after)| after.saturating_sub(before) / open as u64);
        let began = Instant::now();
        for n in 1_000_000..1_000_000 + LIVES {
            let number = ConnectionNumber(n);
            let event = Event::Arrived { number, address: address(n), priority: Priority::Unknown };
            std::hint::black_box(connections.step(at(n), event));
            connections.step(at(n), Event::StateChanged { number, state: State::AwaitingResponse });
            connections.step(at(n), Event::TextAccepted { number });
            connections.step(at(n), Event::StateChanged { number, state: State::Idle });
            connections.step(at(n), Event::Closed { number });
        }
        let life = began.elapsed().as_nanos() as u64 / LIVES;
        let mut full = Connections::new(Settings {
            max_connections: open,
            max_per_address: 0,
            max_per_prefix: 0,
            ..settings(open)
        });
        for n in 0..open as u64 {
            full.step(
                at(0),
                Event::Arrived {
                    number: ConnectionNumber(n),
                    address: address(n * 7),
                    priority: Priority::Unknown,
                },
            );
            full.step(
                at(0),
                Event::StateChanged { number: ConnectionNumber(n), state: State::AwaitingResponse },
            );
        }
        let began = Instant::now();
        for n in 1_000_000..1_000_000 + LIVES {
            let event =
                Event::Arrived { number: ConnectionNumber(n), address: address(n), priority: Priority::Text };
            std::hint::black_box(full.step(at(n), event));
        }
        let rejected = began.elapsed().as_nanos() as u64 / LIVES;
        let held = held.map_or("-".to_owned(), |bytes| bytes.to_string());
        println!("{open:>8} {life:>16} {rejected:>16} {held:>16}");
    }
}
