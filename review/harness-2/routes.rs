//! A new configuration says of a kind of endpoints that each is a route of its own, while calls are out.

use crate::common::*;
use std::fs;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub fn run() -> ! {
    let (calls, ends): (Calls, Ends) = Default::default();
    let first = sound_endpoint("e1", &calls, Duration::from_millis(150));
    let second = sound_endpoint("e2", &calls, Duration::from_millis(150));
    let third = sound_endpoint("e3", &calls, Duration::from_millis(150));
    let members = format!("[{},{},{}]", member("e1", first, 0), member("e2", second, 0), member("e3", third, 1));
    let discovery = platform(&members, &ends);
    let (config, state, listen) = (folder().join("config.json"), folder().join("state"), free_address());
    fs::create_dir_all(&state).expect("a folder");
    let mut site = Site::new(listen, discovery, &members);
    site.write(&config);
    let mut process = sender("the sender", &config, &state, None, None);
    if !until(Duration::from_secs(10), || status(listen, "/up") == Some(200)) {
        end(NOT_RUN, "the sender was not ready in 10 s");
    }
    // Texts taken on, each with the end of its time.
    let taken: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let clients = (0..2).map(|dest| {
        let taken = Arc::clone(&taken);
        thread::spawn(move || {
            for _ in 0..80 {
                let id = format!("{:016x}", 0x9b1f_0000 + number());
                let by = Instant::now() + Duration::from_secs(5);
                if hand_in(listen, "receipt", &id, dest, 5000) == Got::Status(202) {
                    taken.lock().unwrap_or_else(|e| e.into_inner()).push((id, by));
                }
                wait(60);
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    wait(2500);
    if trouble() {
        site.routes_apart = "[true]".into();
        site.write(&config);
        note("the configuration is replaced: routes-apart of the kind k is true now; SIGHUP to the sender");
        signal(process.pid, "HUP");
    }
    clients.into_iter().for_each(|client| _ = client.join());
    // Each has its time and 300 ms; 50 ms more for this machine.
    wait(5400);
    let ended = process.ended();
    let taken = taken.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let called = calls.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let told = ends.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let open = taken.iter().filter(|(id, _)| !told.contains_key(id) && !called.iter().any(|(.., called)| called == id));
    let open = open.count();
    note(&format!("{} texts were taken on, {open} of them neither called nor ended by a notice", taken.len()));
    if taken.len() < 20 {
        end(NOT_RUN, "too few texts were taken on");
    }
    match ended {
        Some(code) => end(BROKEN, &format!("the sender ended with code {code} upon SIGHUP; {open} texts that it had taken on are open")),
        None if open > 0 => end(BROKEN, &format!("{open} texts that were taken on have no end")),
        None => end(HELD, "the sender serves on, and each text that was taken on has its end"),
    }
}
