//! A wrong list that is held back, the right one in its place, and the SIGHUP that confirms this one.

use crate::common::*;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Renamed into place, with the last line that says that all of it is there.
fn put(path: &Path, gateways: &[(&str, SocketAddr, u64, &str)]) {
    let mut text = String::new();
    for (name, address, destination, more) in gateways {
        text += &format!("[[gateways]]\nname = \"{name}\"\naddress = \"{address}\"\ndestination = {destination}\n{more}\n");
    }
    let new = path.with_extension("next");
    fs::write(&new, text + "# end\n").expect("written");
    fs::rename(&new, path).expect("in place");
}

pub fn run() -> ! {
    let calls: Calls = Arc::default();
    // A text's body is its destination: which gateway was called with which.
    let came: Arc<Mutex<Vec<(Instant, u64, String)>>> = Arc::default();
    let gateway = |number: u64| {
        let came = Arc::clone(&came);
        serve(move |request| {
            let body = String::from_utf8_lossy(&request.body).into_owned();
            note(&format!("gateway {number} is called: {} for destination {body}", request.header("x-request-id")));
            came.lock().unwrap_or_else(|e| e.into_inner()).push((request.came, number, body));
            thread::sleep(Duration::from_millis(20));
            Some(response(200, "", ""))
        })
    };
    let (one, two, three) = (gateway(1), gateway(2), gateway(3));
    drop(calls);
    let (file, list, listen) = (folder().join("sender.toml"), folder().join("list.toml"), free_address());
    put(&list, &[("one", one, 1, ""), ("two", two, 2, ""), ("three", three, 3, "")]);
    let text = format!(
        "name = \"n\"\nstate = \"state\"\nlisten = \"{listen}\"\n[[products]]\nname = \"receipt\"\nrepeat = \"resendable\"\n\
         [list]\nfrom = \"files\"\nfiles = \"list.toml\"\n[journal]\ndurability = \"process\"\n"
    );
    fs::write(&file, text).expect("written");
    let mut command = Command::new(program("indigomast"));
    command.args(["run", &file.display().to_string()]).stdin(Stdio::null());
    let mut process = Process::start(command, "the sender");
    if !until(Duration::from_secs(10), || status(listen, "/up") == Some(200)) {
        end(NOT_RUN, "the sender was not ready in 10 s");
    }
    let stop = Arc::<AtomicBool>::default();
    let clients: Vec<_> = (1..=3)
        .map(|dest: u64| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{:016x}", 0x9b1f_0000 + number());
                    let body = dest.to_string();
                    let raw = format!(
                        "POST /receipt HTTP/1.1\r\nHost: app.svc\r\nX-Request-ID: {id}\r\nX-Timeout-Ms: 3000\r\n\
                         Content-Length: {}\r\nX-Envelope: dest={dest}\r\nConnection: close\r\n\r\n{body}",
                        body.len()
                    );
                    let got = ask(listen, raw.as_bytes(), Duration::from_millis(400)).0;
                    note(&format!("a client hands in {id} for {dest}: {got:?}"));
                    wait(100);
                }
            })
        })
        .collect();
    wait(2000);
    if trouble() {
        note("an operator's mistake: the list has gateway one alone, under destination 2");
        put(&list, &[("one", one, 2, "")]);
        if process.line_with("is held back", Duration::from_secs(5)).is_none() {
            end(NOT_RUN, "the sender did not say that it holds the list back");
        }
        wait(2000);
    }
    note("the list that is meant: gateway two stays, the others are drained; SIGHUP confirms it");
    put(&list, &[("one", one, 1, "state = \"drained\""), ("two", two, 2, ""), ("three", three, 3, "state = \"drained\"")]);
    signal(process.pid, "HUP");
    wait(5000);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| _ = client.join());
    wait(500);
    if let Some(code) = process.ended() {
        end(NOT_RUN, &format!("the sender ended with {code}"));
    }
    let came = came.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let wrong: Vec<_> = came.iter().filter(|(_, gateway, dest)| *dest != gateway.to_string()).collect();
    note(&format!("{} calls came, {} of them at a gateway of another destination", came.len(), wrong.len()));
    match wrong.first() {
        Some((_, gateway, dest)) => end(
            BROKEN,
            &format!("{} calls came to another destination's gateway, the first for {dest} at {gateway}: the list that was held back was put into use", wrong.len()),
        ),
        None if came.len() < 30 => end(NOT_RUN, "too few calls came"),
        None => end(HELD, "each call came to its destination's gateway"),
    }
}
