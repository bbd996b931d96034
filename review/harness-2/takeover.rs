//! A new process takes the old one's place, with a file that names one more locality, while a destination has told a wait.

use crate::common::*;
use std::fs;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const WAIT_S: u64 = 12;

pub fn run() -> ! {
    // When each call for destination 0 came, and when the wait began.
    let (came, told): (Arc<Mutex<Vec<Instant>>>, Arc<Mutex<Option<Instant>>>) = Default::default();
    let (calls, wait_told) = (Arc::clone(&came), Arc::clone(&told));
    let limited = serve(move |request| {
        let mut told = wait_told.lock().unwrap_or_else(|e| e.into_inner());
        note(&format!("e0 is called: {}", request.header("x-request-id")));
        calls.lock().unwrap_or_else(|e| e.into_inner()).push(request.came);
        if told.is_none() {
            *told = Some(Instant::now());
            note(&format!("e0 answers 429 and tells to wait {WAIT_S} s"));
            return Some(response(429, &format!("Retry-After: {WAIT_S}\r\n"), ""));
        }
        Some(response(200, "", ""))
    });
    let (others, ends): (Calls, Ends) = Default::default();
    let sound = sound_endpoint("e1", &others, Duration::from_millis(20));
    let members = format!("[{},{}]", member("e0", limited, 0), member("e1", sound, 1));
    let discovery = platform(&members, &ends);
    let (config, state) = (folder().join("config.json"), folder().join("state"));
    fs::create_dir_all(&state).expect("a folder");
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let listen = socket.local_addr().expect("bound");
    let mut site = Site::new(listen, discovery, &members);
    site.write(&config);
    let (first, second) = (free_address(), free_address());
    let mut old = sender("the old process", &config, &state, Some(first), Some(&socket));
    if !until(Duration::from_secs(10), || status(first, "/ops/readiness") == Some(200)) {
        end(NOT_RUN, "the sender was not ready in 10 s");
    }
    wait(1000);
    let is_told = || told.lock().unwrap_or_else(|e| e.into_inner()).is_some();
    for _ in 0..20 {
        if is_told() {
            break;
        }
        hand_in(listen, "receipt", &format!("{:016x}", 0x9b1f_0000 + number()), 0, 20_000);
        wait(300);
    }
    if !is_told() {
        end(NOT_RUN, "no wait was told");
    }
    wait(300);
    if trouble() {
        site.localities = "[\"a\",\"b\"]".into();
        site.write(&config);
        note("the configuration names another locality, b, from now on");
    }
    let new = sender("the new process", &config, &state, Some(second), Some(&socket));
    let since = Instant::now();
    if !until(Duration::from_secs(6), || status(second, "/ops/readiness") == Some(200)) {
        end(NOT_RUN, "the new process did not say yes in 6 s");
    }
    note(&format!("the new process says yes {:.2} s after its start; SIGTERM to the old one", since.elapsed().as_secs_f64()));
    signal(old.pid, "TERM");
    if old.ends_within(Duration::from_millis(3700)).is_none() {
        signal(old.pid, "KILL");
    }
    let begun = told.lock().unwrap_or_else(|e| e.into_inner()).expect("told");
    while begun.elapsed() < Duration::from_secs(WAIT_S + 3) {
        hand_in(listen, "receipt", &format!("{:016x}", 0x9b1f_0000 + number()), 0, 20_000);
        thread::sleep(Duration::from_millis(400));
    }
    drop(new);
    let calls = came.lock().unwrap_or_else(|e| e.into_inner()).clone();
    // Calls that come within 100 ms of the answer are let through; clocks are the same.
    let early: Vec<f64> = calls
        .iter()
        .filter_map(|at| at.checked_duration_since(begun))
        .filter(|after| *after > Duration::from_millis(100) && *after < Duration::from_secs(WAIT_S))
        .map(|after| after.as_secs_f64())
        .collect();
    let later = calls.iter().filter(|at| at.checked_duration_since(begun).is_some_and(|after| after >= Duration::from_secs(WAIT_S)));
    let later = later.count();
    note(&format!("{} calls within the wait, at {early:.2?} s; {later} after it", early.len()));
    match early.first() {
        Some(first) => end(BROKEN, &format!("{} calls within the wait of {WAIT_S} s, the first after {first:.2} s", early.len())),
        None if later == 0 => end(NOT_RUN, "no call came after the wait either"),
        None => end(HELD, "nothing was sent within the wait"),
    }
}
