//! Discovery moves, as a new configuration says, while messages end by notices.

use crate::common::*;
use std::collections::BTreeMap;
use std::fs;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use std::io::Write;

/// Moves in a run, and the time between them.
const MOVES: usize = 10;
const BETWEEN: Duration = Duration::from_secs(3);
/// Messages a second that end by a notice, of 120 that a sender may receive.
const CLIENTS: u64 = 20;
const PAUSE: u64 = 200;
const TIMEOUT_MS: u64 = 1500;

type Heard = Arc<Mutex<BTreeMap<String, Instant>>>;

/// One address of the platform.
struct Place {
    address: SocketAddr,
    /// It accepts no new connection; its socket stays until the open ones end.
    left: Arc<AtomicBool>,
    over: Arc<AtomicBool>,
}

fn answer(request: &Request, members: &str, heard: &Heard) -> Vec<u8> {
    if request.method == "POST" {
        let mut known = heard.lock().unwrap_or_else(|e| e.into_inner());
        for id in String::from_utf8_lossy(&request.body).lines().filter_map(|line| text_field(line, "id")) {
            known.entry(id).or_insert(request.came);
        }
        return response(204, "", "");
    }
    let query = |name: &str| {
        let (_, query) = request.path.split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
    };
    let page = match query("from") {
        Some(from) => {
            thread::sleep(Duration::from_millis(query("hold_ms").unwrap_or(0).min(60_000)));
            format!("{{\"revision\":{from},\"complete\":false,\"members\":[]}}")
        }
        None => format!("{{\"revision\":41,\"complete\":true,\"members\":{members}}}"),
    };
    response(200, "", &page)
}

impl Place {
    fn open(members: &str, heard: &Heard) -> Place {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        listener.set_nonblocking(true).expect("a mode is set");
        let (left, over) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let (closed, ends) = (Arc::clone(&left), Arc::clone(&over));
        let (members, heard) = (members.to_owned(), Arc::clone(heard));
        thread::spawn(move || {
            let mut open: Vec<TcpStream> = Vec::new();
            while !ends.load(Ordering::SeqCst) {
                let came = if closed.load(Ordering::SeqCst) { None } else { listener.accept().ok() };
                let Some((mut stream, _)) = came else {
                    thread::sleep(Duration::from_micros(300));
                    continue;
                };
                _ = stream.set_nonblocking(false);
                _ = stream.set_nodelay(true);
                open.extend(stream.try_clone());
                // Those that ended long ago; far fewer are open at once.
                if open.len() > 4000 {
                    open.drain(..2000);
                }
                let (members, heard) = (members.clone(), Arc::clone(&heard));
                thread::spawn(move || {
                    let mut held = Vec::new();
                    while let Some(request) = read_request(&mut stream, &mut held) {
                        if stream.write_all(&answer(&request, &members, &heard)).is_err() {
                            return;
                        }
                    }
                    _ = stream.shutdown(Shutdown::Both);
                });
            }
            open.iter().for_each(|stream| _ = stream.shutdown(Shutdown::Both));
        });
        Place { address, left, over }
    }

    /// It accepts no new connection, and closes the open ones after 1.5 s.
    fn leave(&self) {
        self.left.store(true, Ordering::SeqCst);
        let over = Arc::clone(&self.over);
        thread::spawn(move || {
            wait(1500);
            over.store(true, Ordering::SeqCst);
        });
    }
}

pub fn run() -> ! {
    let (heard, calls): (Heard, Calls) = Default::default();
    let sound = sound_endpoint("e0", &calls, Duration::from_millis(20));
    let away = free_address();
    let members = format!("[{},{}]", member("e0", sound, 0), member("e9", away, 9));
    let mut place = Place::open(&members, &heard);
    let (config, state, listen) = (folder().join("config.json"), folder().join("state"), free_address());
    fs::create_dir_all(&state).expect("a folder");
    let mut site = Site::new(listen, place.address, &members);
    site.write(&config);
    let mut process = sender("the sender", &config, &state, None, None);
    if !until(Duration::from_secs(10), || status(listen, "/up") == Some(200)) {
        end(NOT_RUN, "the sender was not ready in 10 s");
    }
    let taken: Arc<Mutex<Vec<(String, Instant)>>> = Arc::default();
    let stop = Arc::<AtomicBool>::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|at| {
            let (taken, stop) = (Arc::clone(&taken), Arc::clone(&stop));
            thread::spawn(move || {
                wait(at * PAUSE / CLIENTS);
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("{:016x}", 0x9b1f_0000 + number());
                    // Its time counts from when it was sent; here from when its answer came, which is later.
                    if hand_in(listen, "receipt", &id, 9, TIMEOUT_MS) == Got::Status(202) {
                        let by = Instant::now() + Duration::from_millis(TIMEOUT_MS);
                        taken.lock().unwrap_or_else(|e| e.into_inner()).push((id, by));
                    }
                    wait(PAUSE);
                }
            })
        })
        .collect();
    wait(4000);
    let mut moved = Vec::new();
    for number in 1..=MOVES {
        if trouble() {
            let next = Place::open(&members, &heard);
            site.discovery = next.address;
            site.write(&config);
            note(&format!("move {number}: discovery is at {} from now on; SIGHUP to the sender", next.address));
            let at = Instant::now();
            signal(process.pid, "HUP");
            place.leave();
            moved.push(at);
            place = next;
        }
        thread::sleep(BETWEEN);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| _ = client.join());
    wait(TIMEOUT_MS + 3000);
    if let Some(code) = process.ended() {
        end(BROKEN, &format!("the sender ended with code {code}"));
    }
    let taken = taken.lock().unwrap_or_else(|e| e.into_inner()).clone();
    let heard = heard.lock().unwrap_or_else(|e| e.into_inner()).clone();
    // 300 ms, and 50 ms more as every time limit on sockets.
    let bound = Duration::from_millis(350);
    let late = |(id, by): &&(String, Instant)| heard.get(id).is_none_or(|at| *at > *by + bound);
    let lost: Vec<_> = taken.iter().filter(late).collect();
    let never = taken.iter().filter(|(id, _)| !heard.contains_key(id)).count();
    let latest = taken.iter().filter_map(|(id, by)| heard.get(id)?.checked_duration_since(*by)).max().unwrap_or_default();
    for (number, at) in moved.iter().enumerate() {
        let of = lost.iter().filter(|(_, by)| *by + bound > *at && *by < *at + BETWEEN).count();
        note(&format!("move {}: {of} messages were not ended 350 ms after their time", number + 1));
    }
    note(&format!("{} taken on, {} lost, {never} of them never ended; the latest end was {:.3} s after its time", taken.len(), lost.len(), latest.as_secs_f64()));
    if taken.len() < 500 {
        end(NOT_RUN, "too few messages were taken on");
    }
    match lost.len() {
        0 => end(HELD, &format!("each of {} messages had its end in time", taken.len())),
        count => end(BROKEN, &format!("{count} of {} messages had no end 350 ms after their time, the latest after {:.2} s", taken.len(), latest.as_secs_f64())),
    }
}
