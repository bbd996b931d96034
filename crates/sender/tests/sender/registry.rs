//! A discovery service that answers by itself: it holds a list that a test changes, and treats each call in the manner that the
//! test says. It keeps what counts as told, and when.

use crate::common::*;
use indigomast_sender::http::{Request, take_request};
use indigomast_sender::limits::Limits;
use indigomast_sender::ring::Ring;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How a call for the list is treated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Manner {
    Answers,
    AnswersLate(Duration),
    Refuses,
    RefusesLate(Duration),
    /// The connection stays open and nothing is said.
    Silent,
    /// The answer breaks off after this part of its body.
    CutOff(f64),
    Resets,
}

impl Manner {
    fn answers(self) -> bool {
        matches!(self, Manner::Answers | Manner::AnswersLate(_))
    }
}

/// One call for the list.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    pub at: Instant,
    /// When its answer was written whole, or it failed; none while it is out.
    pub over: Option<Instant>,
    pub answered: bool,
}

/// What has been said of an endpoint that drains or is gone.
#[derive(Clone, Copy, Debug)]
pub struct Drained {
    pub since: Instant,
    /// When an answer that says so was first written whole, and when in part with that entry whole.
    pub told_whole: Option<Instant>,
    pub told_in_part: Option<Instant>,
}

/// Chooses the manner of a call by its number.
pub type Manners = Box<dyn FnMut(usize) -> Manner + Send>;

struct State {
    revision: u64,
    members: BTreeMap<String, (u64, Value)>,
    drained: BTreeMap<String, Drained>,
    manners: Manners,
    asked: Vec<Asked>,
    connections: Vec<TcpStream>,
    is_gone: bool,
    /// When it was there again last.
    back: Option<Instant>,
}

pub struct Registry {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

/// How often waits look whether something has changed.
const LOOKS: Duration = Duration::from_millis(5);

impl Registry {
    /// With these members as revision 41, which a configuration made by [`config`] knows.
    pub fn open(members: &[Value], manners: Manners) -> Registry {
        let address = TcpListener::bind("127.0.0.1:0").and_then(|any| any.local_addr()).expect("a free port");
        // Bound by its number, it keeps that also while nobody listens there.
        let listener = TcpListener::bind(address).expect("it was free");
        let name = |member: &Value| member["id"].as_str().expect("a name").to_owned();
        let state = State {
            revision: 41,
            members: members.iter().map(|member| (name(member), (41, member.clone()))).collect(),
            drained: BTreeMap::new(),
            manners,
            asked: Vec::new(),
            connections: Vec::new(),
            is_gone: false,
            back: None,
        };
        let state = Arc::new(Mutex::new(state));
        let ours = Arc::clone(&state);
        thread::spawn(move || listen(listener, &ours));
        Registry { address, state }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("sound")
    }

    /// Puts members on the list, or changes what it says of them, as one revision. One that is gone is off the whole list.
    pub fn change(&self, members: &[Value]) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        for member in members {
            let name = member["id"].as_str().expect("a name").to_owned();
            if member["phase"] != "Ready" {
                let drained = Drained { since: Instant::now(), told_whole: None, told_in_part: None };
                state.drained.entry(name.clone()).or_insert(drained);
            }
            state.members.insert(name, (revision, member.clone()));
        }
    }

    pub fn treats(&self, manners: Manners) {
        self.state().manners = manners;
    }

    /// Answers the first question, and treats all others in one manner: the next one may be out before a test can say so.
    pub fn answers_first(&self, manner: Manner) {
        self.treats(Box::new(move |number| if number == 0 { Manner::Answers } else { manner }));
    }

    /// Takes no connection any more and ends the open ones, or takes them again.
    pub fn is_gone(&self, gone: bool) {
        let mut state = self.state();
        state.is_gone = gone;
        state.back = Some(Instant::now());
        let open = std::mem::take(&mut state.connections);
        open.iter().filter(|_| gone).for_each(|stream| _ = stream.shutdown(Shutdown::Both));
        drop(state);
        // Until the listener is closed, or there again.
        thread::sleep(LOOKS * 4);
    }

    pub fn asked(&self) -> Vec<Asked> {
        self.state().asked.clone()
    }

    /// When it was gone, or came back, last.
    pub fn back(&self) -> Option<Instant> {
        self.state().back
    }

    pub fn drained(&self) -> BTreeMap<String, Drained> {
        self.state().drained.clone()
    }
}

fn listen(listener: TcpListener, state: &Arc<Mutex<State>>) {
    let mut listens = true;
    // Ends with the last other owner of the state: the registry that a test holds.
    while Arc::strong_count(state) > 1 {
        let gone = state.lock().expect("sound").is_gone;
        if gone && listens {
            // Linux refuses connections from now on, and leaves the port to nobody else.
            socket2::SockRef::from(&listener).shutdown(Shutdown::Both).expect("it listens");
        } else if !gone && !listens {
            rustix::net::listen(&listener, 128).expect("the port is its own");
        }
        listens = !gone;
        if gone {
            thread::sleep(LOOKS);
            continue;
        }
        listener.set_nonblocking(true).expect("a mode is set");
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a mode is set");
                let copy = stream.try_clone().expect("a copy");
                let mut held = state.lock().expect("sound");
                held.connections.retain(|stream| stream.peer_addr().is_ok());
                held.connections.push(copy);
                drop(held);
                let state = Arc::clone(state);
                thread::spawn(move || serve(stream, &state));
            }
            Err(_) => thread::sleep(LOOKS),
        }
    }
}

fn serve(mut stream: TcpStream, state: &Mutex<State>) {
    let (mut ring, limits) = (Ring::default(), Limits { body: 1 << 20, ..limits() });
    loop {
        while let Some(request) = take_request(&mut ring, &limits).expect("senders speak HTTP") {
            let kept = if request.path.starts_with("/discovery/hosts") {
                list(&mut stream, &request, state)
            } else {
                hear(&mut stream)
            };
            if !kept {
                _ = stream.shutdown(Shutdown::Both);
                return;
            }
        }
        if !matches!(ring.fill(&mut stream), Ok(count) if count > 0) {
            return;
        }
    }
}

/// Takes a notice; whether the connection goes on.
fn hear(stream: &mut TcpStream) -> bool {
    stream.write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").is_ok()
}

fn query(path: &str, name: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?.parse().ok()
}

/// Answers one call for the list; whether the connection goes on.
fn list(stream: &mut TcpStream, request: &Request, state: &Mutex<State>) -> bool {
    let at = Instant::now();
    let (from, hold) = (query(&request.path, "from"), query(&request.path, "hold_ms").unwrap_or(0));
    let (number, manner) = {
        let mut state = state.lock().expect("sound");
        let number = state.asked.len();
        state.asked.push(Asked { at, over: None, answered: false });
        let manner = (state.manners)(number);
        (number, manner)
    };
    let over = |answered: bool| {
        let mut state = state.lock().expect("sound");
        (state.asked[number].over, state.asked[number].answered) = (Some(Instant::now()), answered);
    };
    match manner {
        Manner::Resets => {
            over(false);
            return false;
        }
        Manner::Silent => {
            while is_open(stream) {
                thread::sleep(LOOKS);
            }
            over(false);
            return false;
        }
        Manner::Refuses | Manner::RefusesLate(_) => {
            if let Manner::RefusesLate(wait) = manner {
                thread::sleep(wait);
            }
            over(false);
            return stream.write_all(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n").is_ok();
        }
        Manner::AnswersLate(wait) => thread::sleep(wait),
        Manner::Answers | Manner::CutOff(_) => {}
    }
    let until = at + Duration::from_millis(hold);
    let has_news = || from.is_none_or(|from| state.lock().expect("sound").revision > from);
    while !has_news() && Instant::now() < until {
        thread::sleep(LOOKS);
        if !is_open(stream) {
            over(false);
            return false;
        }
    }
    // What is written to a sender that has ended the call, or is dead, tells it nothing: that is for the 6 s sentence.
    if !is_open(stream) {
        over(false);
        return false;
    }
    // Under the lock, so that what is written is in force and its time is known.
    let mut held = state.lock().expect("sound");
    let (body, ends) = page(&held, from);
    let part =
        if let Manner::CutOff(part) = manner { (body.len() as f64 * part) as usize } else { body.len() };
    let raw = ok_json(&body);
    let written = stream.write_all(&raw[..raw.len() - (body.len() - part)]).is_ok();
    let now = Instant::now();
    for (name, _) in ends.iter().filter(|(_, end)| written && *end <= part) {
        let Some(drained) = held.drained.get_mut(name) else { continue };
        let told = if part == body.len() { &mut drained.told_whole } else { &mut drained.told_in_part };
        told.get_or_insert(now);
    }
    if part == body.len() && from.is_none() && written {
        // What a whole list doesn't name any more is told by that.
        let told: Vec<String> = ends.iter().map(|(name, _)| name.clone()).collect();
        let unnamed = held.drained.iter_mut().filter(|(name, _)| !told.contains(name));
        unnamed.for_each(|(_, drained)| _ = drained.told_whole.get_or_insert(now));
    }
    drop(held);
    over(written && manner.answers());
    written && manner.answers()
}

fn is_open(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a mode is set");
    let open = match stream.peek(&mut [0]) {
        Ok(count) => count > 0,
        Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
    };
    stream.set_nonblocking(false).expect("a mode is set");
    open
}

/// The body of an answer, and where in it each entry ends.
fn page(state: &State, from: Option<u64>) -> (String, Vec<(String, usize)>) {
    let mut body = format!("{{\"revision\":{},\"complete\":{},\"members\":[", state.revision, from.is_none());
    let mut ends = Vec::new();
    for (name, (revision, member)) in &state.members {
        let told = match from {
            Some(from) => *revision > from,
            None => member["phase"] != "Gone",
        };
        if told {
            let comma = if ends.is_empty() { "" } else { "," };
            body.push_str(&format!("{comma}{}", json!(member)));
            ends.push((name.clone(), body.len()));
        }
    }
    body.push_str("]}");
    (body, ends)
}
