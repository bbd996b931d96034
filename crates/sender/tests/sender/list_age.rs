//! A list that has grown old: what changed since counts as told all the same, and no call goes where it may have changed.

use crate::common::*;
use crate::registry::{Manner, Registry};
use serde_json::{Value, json};
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A change counts as told at the latest so long after discovery had it and could be reached.
pub const TOLD: Duration = Duration::from_secs(6);
/// What a sender may still send to an endpoint of which it was told that it drains, with the slack of all time limits.
pub const GRACE: Duration = Duration::from_millis(1_050);
/// What a busy machine may add between the first byte of a call and the moment in which it is seen here.
pub const SEEN_LATE: Duration = Duration::from_millis(150);
/// From one text to the next.
const BEAT: Duration = Duration::from_millis(40);

/// An endpoint that delivers all that comes, and keeps when it came.
pub struct Endpoint {
    pub host: Arc<Host>,
    pub calls: Arc<Mutex<Vec<Instant>>>,
    over: Arc<AtomicBool>,
}

impl Endpoint {
    pub fn open() -> Endpoint {
        let (host, calls) = (Arc::new(Host::open()), Arc::<Mutex<Vec<Instant>>>::default());
        let over = Arc::<AtomicBool>::default();
        let (serving, seen, ends) = (Arc::clone(&host), Arc::clone(&calls), Arc::clone(&over));
        thread::spawn(move || {
            while !ends.load(Ordering::Relaxed) {
                let Some(visit) = serving.next_within(Duration::from_millis(50)) else { continue };
                seen.lock().expect("sound").push(visit.came);
                visit.status(200);
            }
        });
        Endpoint { host, calls, over }
    }

    fn calls_between(&self, from: Instant, to: Instant) -> usize {
        self.calls.lock().expect("sound").iter().filter(|at| (from..to).contains(at)).count()
    }

    /// How long after a moment its last call came.
    fn last_after(&self, since: Instant) -> Duration {
        let calls = self.calls.lock().expect("sound");
        calls.iter().max().map_or(Duration::ZERO, |at| at.saturating_duration_since(since))
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

/// Says that something is over when it is dropped.
pub struct Ends<'a>(pub &'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// A sender among so many, its list of two endpoints of one destination, and clients that hand in texts all the time.
struct World {
    drains: Endpoint,
    stays: Endpoint,
    registry: Registry,
    config: Value,
    folder: Folder,
}

impl World {
    fn of(senders: usize) -> World {
        let (drains, stays) = (Endpoint::open(), Endpoint::open());
        let members = [member("e0", &drains.host, 0, "Ready"), member("e1", &stays.host, 0, "Ready")];
        let registry = Registry::open(&members, Box::new(|_| Manner::Answers));
        let mut config = config(&members, registry.address);
        config["settings"]["group-size"] = json!(senders);
        World { drains, stays, registry, config, folder: Folder::new() }
    }

    fn drain(&self) {
        self.registry.change(&[member("e0", &self.drains.host, 0, "Terminating")]);
    }

    /// Waits until a question has been answered.
    fn answered(&self) {
        let by = Instant::now() + PATIENCE;
        while !self.registry.asked().iter().any(|asked| asked.answered) {
            assert!(Instant::now() < by, "no question was answered");
            thread::sleep(Duration::from_millis(2));
        }
    }

    /// Hands in texts, each on a connection of its own, while something is played.
    fn under_load<T>(&self, daemon: &Daemon, play: impl FnOnce() -> T) -> T {
        let (over, next) = (AtomicBool::new(false), AtomicUsize::new(0));
        thread::scope(|scope| {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    let id = format!("t{}", next.fetch_add(1, Ordering::Relaxed));
                    daemon.hand_in("free", &id, 0);
                    thread::sleep(BEAT);
                }
            });
            // Also where it fails: the scope waits for the clients.
            let _ends = Ends(&over);
            play()
        })
    }
}

/// From the change on discovery can be reached and treats every call badly, in one manner.
fn no_call_goes_by_a_list_that_grew_old(senders: usize, manner: Manner) {
    let world = World::of(senders);
    world.registry.answers_first(manner);
    let daemon = Daemon::start(&world.config, &world.folder);
    world.answered();
    let changed = world.under_load(&daemon, || {
        let changed = Instant::now();
        world.drain();
        thread::sleep(Duration::from_millis(10_500));
        changed
    });
    assert!(world.drains.calls_between(changed - TOLD, changed + TOLD) > 0, "it served before");
    let last = world.drains.last_after(changed);
    assert!(
        last <= TOLD + GRACE + SEEN_LATE,
        "{senders} senders, {manner:?}: called {last:?} after the change"
    );
}

/// Incident 315111: discovery refused two questions of a sender in a row, and a call went to an endpoint that had begun to drain
/// 7.55 s before.
#[test]
fn a_sender_in_turns_that_is_refused_calls_no_endpoint_that_drains() {
    no_call_goes_by_a_list_that_grew_old(44, Manner::Refuses);
}

/// The same where discovery refuses only after it let the call wait.
#[test]
fn a_sender_in_turns_that_waited_in_vain_calls_no_endpoint_that_drains() {
    no_call_goes_by_a_list_that_grew_old(30, Manner::RefusesLate(Duration::from_secs(2)));
}

/// The same where nothing is said.
#[test]
fn a_sender_in_turns_that_hears_nothing_calls_no_endpoint_that_drains() {
    no_call_goes_by_a_list_that_grew_old(30, Manner::Silent);
}

/// The same in a small fleet, which watches.
#[test]
fn a_watching_sender_that_is_refused_calls_no_endpoint_that_drains() {
    no_call_goes_by_a_list_that_grew_old(5, Manner::Refuses);
}

/// The same where every watch falls silent.
#[test]
fn a_watching_sender_that_hears_nothing_calls_no_endpoint_that_drains() {
    no_call_goes_by_a_list_that_grew_old(1, Manner::Silent);
}

/// The same where every answer breaks off before the entry that drains.
#[test]
fn a_watching_sender_whose_answers_break_off_calls_no_endpoint_that_drains() {
    no_call_goes_by_a_list_that_grew_old(5, Manner::CutOff(0.1));
}

/// The same where connections are reset under the question.
#[test]
fn a_watching_sender_whose_connections_break_calls_no_endpoint_that_drains() {
    no_call_goes_by_a_list_that_grew_old(5, Manner::Resets);
}

/// An answer breaks off behind an entry that drains: that much was written, and counts as told.
#[test]
fn what_an_answer_said_before_it_broke_off_is_heeded() {
    for senders in [1, 30] {
        let world = World::of(senders);
        world.registry.answers_first(Manner::CutOff(0.995));
        let daemon = Daemon::start(&world.config, &world.folder);
        world.answered();
        let told = world.under_load(&daemon, || {
            world.drain();
            let by = Instant::now() + PATIENCE;
            let told = loop {
                assert!(Instant::now() < by, "it is asked again");
                match world.registry.drained()["e0"].told_in_part {
                    Some(told) => break told,
                    None => thread::sleep(Duration::from_millis(2)),
                }
            };
            world.registry.treats(Box::new(|_| Manner::Refuses));
            thread::sleep(Duration::from_millis(2_500));
            told
        });
        let last = world.drains.last_after(told);
        assert!(last <= GRACE + SEEN_LATE, "{senders} senders: called {last:?} after it was told in part");
    }
}

/// A process is killed after it was told, and the next one is started with the list that the first was started with.
#[test]
fn a_second_life_heeds_what_the_first_was_told() {
    for senders in [1, 30] {
        let world = World::of(senders);
        let mut daemon = Daemon::start(&world.config, &world.folder);
        world.answered();
        world.drain();
        let by = Instant::now() + PATIENCE;
        let told = loop {
            assert!(Instant::now() < by, "it is told");
            match world.registry.drained()["e0"].told_whole {
                Some(told) => break told,
                None => thread::sleep(Duration::from_millis(2)),
            }
        };
        thread::sleep(Duration::from_millis(300));
        daemon.kill();
        world.registry.treats(Box::new(|_| Manner::Refuses));
        thread::sleep(Duration::from_millis(900));
        let second = Daemon::start(&world.config, &world.folder);
        world.under_load(&second, || thread::sleep(Duration::from_millis(3_000)));
        let last = world.drains.last_after(told);
        assert!(last <= GRACE + SEEN_LATE, "{senders} senders: called {last:?} after it was told");
        assert!(
            world.stays.calls_between(told, Instant::now()) > 0,
            "{senders} senders: the other one serves"
        );
    }
}

/// A process is killed with a list that had not been confirmed for some seconds: to the next one it is as old.
#[test]
fn a_list_grows_no_younger_by_a_restart() {
    let world = World::of(30);
    let mut daemon = Daemon::start(&world.config, &world.folder);
    world.answered();
    world.registry.treats(Box::new(|_| Manner::Refuses));
    let changed = Instant::now();
    world.drain();
    thread::sleep(Duration::from_millis(4_000));
    daemon.kill();
    thread::sleep(Duration::from_millis(600));
    let second = Daemon::start(&world.config, &world.folder);
    world.under_load(&second, || thread::sleep(Duration::from_millis(5_500)));
    let last = world.drains.last_after(changed);
    assert!(last <= TOLD + GRACE + SEEN_LATE, "called {last:?} after the change");
}

/// The longest pause between two calls while something is played for so long.
fn longest_pause(world: &World, daemon: &Daemon, play: Duration) -> Duration {
    let (from, to) = world.under_load(daemon, || {
        let from = Instant::now();
        thread::sleep(play);
        (from, Instant::now())
    });
    let calls = |endpoint: &Endpoint| endpoint.calls.lock().expect("sound").clone();
    let mut all = [calls(&world.drains), calls(&world.stays), vec![from, to]].concat();
    all.retain(|at| (from..=to).contains(at));
    all.sort();
    all.windows(2).map(|two| two[1] - two[0]).max().unwrap_or(play)
}

/// Where nobody listens at discovery nothing is told, for however long: texts go out by the list that is held.
#[test]
fn texts_go_out_while_nobody_listens_at_discovery() {
    for senders in [1, 30] {
        let world = World::of(senders);
        let daemon = Daemon::start(&world.config, &world.folder);
        world.answered();
        world.registry.is_gone(true);
        let pause = longest_pause(&world, &daemon, Duration::from_secs(12));
        assert!(pause < Duration::from_millis(1_500), "{senders} senders: none went out for {pause:?}");
        world.registry.is_gone(false);
        let by = Instant::now() + TOLD;
        let asked = world.registry.asked().len();
        while world.registry.asked().len() == asked {
            assert!(Instant::now() < by, "{senders} senders: discovery is back and nobody asks");
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Where every question is turned away, at once or late, discovery passes for down after a while, and texts go out again.
#[test]
fn texts_go_out_again_while_discovery_turns_all_away_for_long() {
    for manner in [Manner::Refuses, Manner::RefusesLate(Duration::from_secs(2))] {
        let world = World::of(5);
        let daemon = Daemon::start(&world.config, &world.folder);
        world.answered();
        world.registry.treats(Box::new(move |_| manner));
        let pause = longest_pause(&world, &daemon, Duration::from_secs(21));
        assert!(pause < Duration::from_millis(11_500), "{manner:?}: none went out for {pause:?}");
    }
}

/// Where answers are late but come, texts go out all the time.
#[test]
fn texts_go_out_while_answers_of_discovery_are_late() {
    for senders in [5, 30] {
        let world = World::of(senders);
        let late = Duration::from_millis(1_900);
        world.registry.treats(Box::new(move |_| Manner::AnswersLate(late)));
        let daemon = Daemon::start(&world.config, &world.folder);
        let pause = longest_pause(&world, &daemon, Duration::from_secs(12));
        assert!(pause < Duration::from_millis(1_500), "{senders} senders: none went out for {pause:?}");
    }
}

/// One question in three is answered, as where discovery is overbooked: texts go out but for a moment now and then, and the sender asks
/// no more than a few times a second.
#[test]
fn texts_go_out_while_discovery_answers_one_question_in_three() {
    for senders in [5, 30] {
        let world = World::of(senders);
        world
            .registry
            .treats(Box::new(|number| if number % 3 == 0 { Manner::Answers } else { Manner::Refuses }));
        let daemon = Daemon::start(&world.config, &world.folder);
        world.answered();
        let pause = longest_pause(&world, &daemon, Duration::from_secs(15));
        assert!(pause < Duration::from_millis(1_500), "{senders} senders: none went out for {pause:?}");
        let asked = world.registry.asked().len();
        assert!(asked <= 45, "{senders} senders: asked {asked} times in 15 s");
    }
}

/// From SIGHUP on what discovery has to tell counts at the latest so long after it.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);

/// A reload names another discovery, which can be reached and refuses each question.
#[test]
fn after_a_reload_to_a_discovery_that_refuses_no_endpoint_that_drains_is_called() {
    for senders in [5, 30] {
        let mut world = World::of(senders);
        let daemon = Daemon::start(&world.config, &world.folder);
        world.answered();
        let members = [member("e0", &world.drains.host, 0, "Terminating")];
        let other = Registry::open(&members, Box::new(|_| Manner::Refuses));
        world.config["discovery"] = json!(other.address.to_string());
        let told = world.under_load(&daemon, || {
            std::fs::write(world.folder.0.join("config.json"), world.config.to_string())
                .expect("the folder is there");
            let told = Instant::now();
            daemon.signal("-HUP");
            thread::sleep(Duration::from_millis(7_000));
            told
        });
        let last = world.drains.last_after(told);
        assert!(
            last <= TOLD_AFTER_RELOAD + GRACE + SEEN_LATE,
            "{senders} senders: called {last:?} after SIGHUP"
        );
        assert!(other.asked().len() > 1, "{senders} senders: it was asked");
    }
}

/// A reload crosses an answer of the old discovery that has named a drain and is not whole.
#[test]
fn a_drain_told_by_the_discovery_before_a_reload_is_heeded() {
    let (drains, stays) = (Endpoint::open(), Endpoint::open());
    let (before, after) = (Host::open(), Host::open());
    let members = [member("e0", &drains.host, 0, "Ready"), member("e1", &stays.host, 0, "Ready")];
    let (mut config, folder) = (config(&members, before.address), Folder::new());
    let daemon = Daemon::start(&config, &folder);
    let watch = before.next();
    for at in 0..20 {
        assert_eq!(daemon.hand_in("free", &format!("a{at}"), 0), 202);
    }
    daemon.counts("delivered", 20);
    config["discovery"] = json!(after.address.to_string());
    std::fs::write(folder.0.join("config.json"), config.to_string()).expect("the folder is there");
    let page = json!({"revision": 42, "complete": false,
        "members": [member("e0", &drains.host, 0, "Terminating")]});
    let mut raw = ok_json(&page.to_string());
    raw.truncate(raw.len() - 1);
    watch.answer(raw);
    let told = Instant::now();
    while before.answered() == 0 {
        assert!(told.elapsed() < PATIENCE, "it is written");
    }
    daemon.signal("-HUP");
    let _asked = after.next();
    thread::sleep((GRACE + SEEN_LATE).saturating_sub(told.elapsed()));
    for at in 0..40 {
        assert_eq!(daemon.hand_in("free", &format!("b{at}"), 0), 202);
    }
    daemon.counts("delivered", 60);
    let last = drains.last_after(told);
    assert!(last <= GRACE + SEEN_LATE, "called {last:?} after it was told");
}

/// A process takes over from one whose list grew old: it is as old to the new one, whose questions fail as well.
#[test]
fn a_list_grows_no_younger_by_a_hand_over() {
    let world = World::of(30);
    let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let mut old = Daemon::sharing(&world.config, &world.folder, &socket);
    old.line_with("listens on ");
    world.answered();
    world.registry.treats(Box::new(|_| Manner::Refuses));
    let changed = Instant::now();
    world.drain();
    thread::sleep(Duration::from_millis(4_500));
    let new = Daemon::sharing(&world.config, &world.folder, &socket);
    new.line_with("listens on ");
    assert_eq!(old.wait(), Some(0));
    world.under_load(&new, || thread::sleep(Duration::from_millis(5_000)));
    let last = world.drains.last_after(changed);
    assert!(last <= TOLD + GRACE + SEEN_LATE, "called {last:?} after the change");
}
