//! Two events that cross, each order forced at a point that can be seen. `docs/crossings.md` has a row for each.

use crate::common::{Daemon, Folder, Host, PATIENCE, Visit, config, member, ok_json, text};
use crate::parts::{call, part, peer, trunk, verdict};
use crossbeam_channel::{bounded, unbounded};
use indigomast::api::{Condition, KindId, TextId, Verdict, ZoneId};
use indigomast_sender::clock::Clock;
use indigomast_sender::config::{Config, InForce};
use indigomast_sender::decider::Message;
use indigomast_sender::endpoint_table::EndpointTable;
use indigomast_sender::list::{self, DiscoverySource, ListSink, ListSource, ListedEndpoint};
use indigomast_sender::peer::Ask;
use indigomast_sender::platform::Platform;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A mailbox nobody reads any more, a line that ended with a call on its way to it, a thread that ended: whoever lets go of
/// a call, its texts get their one outcome.
#[test]
fn a_call_that_is_let_go_of_has_one_outcome_for_each_text() {
    let (trunk, words) = trunk();
    let by = Instant::now() + PATIENCE;
    let (mailbox, asks) = bounded(4);
    mailbox.send(Ask::Call(Box::new(call(&trunk, [part(0, by), part(1, by)])))).expect("there is room");
    assert!(words.is_empty());
    drop((asks, mailbox));
    assert_eq!([verdict(&words), verdict(&words)], [Verdict::Moot; 2]);
    // The decider answers by itself for what it could not even hand over.
    let parts = call(&trunk, [part(2, by)]).into_parts();
    assert_eq!((parts.len(), words.len()), (1, 0));
}

/// A connection takes time to come up, and the time of one text of the call may be up before: the others go, at once.
#[test]
fn a_text_whose_time_is_up_before_its_call_leaves_holds_back_no_other() {
    let endpoint = Host::open();
    let (peer, trunk, words) = peer(&endpoint);
    let now = Instant::now();
    let parts = [part(0, now + PATIENCE), part(1, now), part(2, now + PATIENCE)];
    peer.send(Ask::Call(Box::new(call(&trunk, parts)))).expect("it listens");
    assert_eq!(verdict(&words), Verdict::Moot, "the late one never ran");
    let visit = endpoint.next();
    let body = String::from_utf8(visit.request.body.clone()).expect("text");
    assert_eq!([0, 1, 2].map(|at| body.contains(&format!("t{at} "))), [true, false, true], "{body}");
    visit.answer(ok_json("t0 done\r\nt2 done\r\n"));
    assert_eq!([verdict(&words), verdict(&words)], [Verdict::Delivered; 2]);
    assert!(words.recv_timeout(Duration::from_millis(20)).is_err(), "nobody is told twice");
}

/// A call back that is late meets the same text's next submit, on the same connection.
#[test]
fn a_late_call_back_does_not_end_the_next_submit() {
    let endpoint = Host::open();
    let (peer, trunk, words) = peer(&endpoint);
    let by = Instant::now() + PATIENCE;
    for submit in 0..2 {
        let mut part = part(0, by);
        part.submit = submit;
        peer.send(Ask::Call(Box::new(call(&trunk, [part])))).expect("it listens");
        let visit = endpoint.next();
        if submit == 1 {
            peer.send(Ask::Revoke((TextId(0), 0))).expect("it listens");
            // The peer has heard it once it has heard what came behind.
            peer.send(Ask::CloseIdle).expect("it listens");
            while !peer.is_empty() {
                thread::yield_now();
            }
        }
        visit.status(if submit == 0 { 503 } else { 200 });
        assert_eq!(verdict(&words), if submit == 0 { Verdict::Full } else { Verdict::Delivered });
    }
}

fn listed(name: &str) -> ListedEndpoint {
    ListedEndpoint {
        name: name.into(),
        address: None,
        dest: 0,
        kind: KindId(0),
        zone: ZoneId(0),
        units: 1.0,
        condition: Condition::Running,
    }
}

/// An endpoint leaves the list while a call to it waits for its connection: what the decisions say of that call on this
/// very list still reaches whoever has it, or the call would leave long after its grace.
#[test]
fn what_is_decided_on_a_list_reaches_the_calls_of_an_endpoint_that_left_it() {
    let mut places = EndpointTable::default();
    let at = places.upsert(&listed("e0")).0;
    let (peer, asks) = bounded(8);
    let place = places.get(at).expect("put");
    (place.peer, place.in_flight) = (Some(peer), 1);
    places.mark_unlisted(at);
    places.send_to_peers(at, Ask::Withhold((TextId(7), 0)));
    assert!(matches!(asks.try_recv(), Ok(Ask::Retire)));
    assert!(matches!(asks.try_recv(), Ok(Ask::Withhold((TextId(7), 0)))));
    places.get(at).expect("there").submit_ended();
    assert!(
        matches!(asks.try_recv(), Err(crossbeam_channel::TryRecvError::Disconnected)),
        "nothing is out any more"
    );
}

/// A mailbox is full at the moment of a drain, and the end of the connections is asked for at that moment too.
#[test]
fn a_full_mailbox_loses_neither_a_drain_nor_the_end_of_connections() {
    let mut places = EndpointTable::default();
    let at = places.upsert(&listed("e0")).0;
    let (peer, asks) = bounded(1);
    peer.send(Ask::CloseIdle).expect("there is room for one");
    let place = places.get(at).expect("put");
    (place.peer, place.in_flight) = (Some(peer), 1);
    places.send_to_peers(at, Ask::Withhold((TextId(0), 0)));
    places.mark_unlisted(at);
    places.send_to_peers(at, Ask::Revoke((TextId(0), 0)));
    let mut heard = Vec::new();
    for _ in 0..4 {
        heard.push(match asks.try_recv() {
            Ok(Ask::CloseIdle) => "idle",
            Ok(Ask::Withhold(_)) => "withhold",
            Ok(Ask::Retire) => "retire",
            Ok(Ask::Revoke(_)) => "revoke",
            _ => "nothing",
        });
        places.resend_queued();
    }
    assert_eq!(heard, ["idle", "withhold", "retire", "revoke"]);
}

/// Discovery moves while a watch on the old one is answered: the new one counts otherwise, and is asked for the whole.
#[test]
fn a_question_between_the_move_and_its_news_asks_for_the_whole_list() {
    let (before, after) = (Host::open(), Host::open());
    let file = config(&[], before.address).to_string();
    let folder = Folder::new();
    let Config { limits, site, .. } = Config::parse(&file, folder.state()).expect("well-formed");
    let platform = Arc::new(Platform::at(before.address));
    let list = DiscoverySource {
        platform: Arc::clone(&platform),
        site: Arc::new(InForce::new(site)),
        limits: Arc::new(limits),
        revision: Some(41),
        clock: Clock::start(),
        as_of: Clock::start().now(),
        query_failed: false,
    };
    let ((decider, words), (asking, asks)) = (unbounded(), unbounded());
    let list_sink = ListSink::new(decider, Arc::default());
    let actor = thread::spawn(move || Box::new(list).run(asks, list_sink));
    asking.send(list::ListRequest::Watch(true)).expect("it listens");
    let watch = before.next();
    assert_eq!(watch.request.path, "/discovery/hosts?from=41&hold_ms=4000");
    platform.moves(after.address);
    // The watch on the old one ends well; the news of the move has not come yet.
    watch.answer(ok_json(r#"{"revision":42,"complete":false,"members":[]}"#));
    let first = after.next();
    assert_eq!(first.request.path, "/discovery/hosts", "not from what another one told");
    first.answer(ok_json(r#"{"revision":7,"complete":true,"members":[]}"#));
    assert_eq!(after.next().request.path, "/discovery/hosts?from=7&hold_ms=4000");
    asking.send(list::ListRequest::Renew).expect("it listens");
    assert_eq!(after.next().request.path, "/discovery/hosts", "and anew when the news comes");
    let revisions: Vec<u64> = words
        .try_iter()
        .filter_map(|word| match word {
            Message::Listed(Some(listing)) => Some(listing.revision),
            _ => None,
        })
        .collect();
    assert_eq!(revisions, [42, 7]);
    drop(asking);
    actor.join().expect("no panic");
}

/// The body of the next report, which `with` answers or keeps.
fn body_of(discovery: &Host, with: impl FnOnce(Visit)) -> String {
    loop {
        let visit = discovery.next();
        if visit.request.path == "/reports" {
            let body = String::from_utf8(visit.request.body.clone()).expect("text");
            with(visit);
            return body;
        }
    }
}

fn world() -> (Host, Host, Value, Folder) {
    let (discovery, endpoint) = (Host::open(), Host::open());
    let config = config(
        &[member("e0", &endpoint, 0, "Ready"), member("e1", &endpoint, 1, "Ready")],
        discovery.address,
    );
    (discovery, endpoint, config, Folder::new())
}

/// A process dies with 200 texts that it has promised and not tried, and one that was out: each has its call in the next
/// life, none twice.
#[test]
fn what_a_restart_finds_untried_is_tried() {
    for (product, keys) in [("free", 200), ("marked", 200), ("once", 200), ("queue", 25)] {
        let (_discovery, endpoint, mut config, folder) = world();
        config["settings"]["family-info"]["call-slots"] = json!(1);
        config["settings"]["ceilings"]["most-held"] = json!(300);
        let mut daemon = Daemon::start(&config, &folder);
        assert_eq!(daemon.hand_in(product, "first", 1), 202);
        let out = endpoint.next();
        assert_eq!(out.header("x-request-id"), "first");
        let mut client = daemon.client();
        for at in 0..200 {
            let text = text(product, &format!("t{at}"), 0, &format!("k{}", at % keys), b"hello");
            assert_eq!(client.ask(&text).0, 202, "{product} {at}");
        }
        daemon.kill();
        drop(out);
        // As few may be held from now on as is half of what is owed, as on a day with halved limits.
        config["settings"]["family-info"]["call-slots"] = json!(8);
        config["settings"]["ceilings"]["most-held"] = json!(100);
        let daemon = Daemon::start(&config, &folder);
        let (mut calls, mut order) = (BTreeMap::<String, usize>::new(), BTreeMap::<usize, Vec<usize>>::new());
        while calls.keys().filter(|id| *id != "first").count() < 200 {
            let Some(visit) = endpoint.next_within(PATIENCE) else { break };
            let id = visit.header("x-request-id").to_owned();
            if let Some(at) = id.strip_prefix('t').and_then(|at| at.parse::<usize>().ok()) {
                order.entry(at % keys).or_default().push(at);
            }
            *calls.entry(id).or_default() += 1;
            visit.status(200);
        }
        daemon.counts("resumed", 201);
        let twice: BTreeSet<_> = calls.iter().filter(|(_, count)| **count > 1).collect();
        assert!(twice.is_empty(), "{product}: {twice:?}");
        let tried = calls.keys().filter(|id| *id != "first").count();
        assert_eq!(tried, 200, "{product}: nacked {}", daemon.counter("nacked"));
        // What was out may have run: it goes again as its product allows.
        assert_eq!(calls.contains_key("first"), product != "once", "{product}");
        assert!(order.values().all(|key| product != "queue" || key.is_sorted()), "{order:?}");
    }
}

/// The report of a text that ended in the life before can't be delivered: those behind it in its key may not go before
/// it is, but they end in their time, and what has another key goes on.
#[test]
fn an_unheard_report_over_a_restart_holds_its_key_in_time() {
    let (discovery, endpoint, mut config, folder) = world();
    config["settings"]["membership-mode"] = json!("automatic");
    let mut daemon = Daemon::start(&config, &folder);
    let timed = |id: &str, key: &str, ms: &str| {
        let text = String::from_utf8(text("queue", id, 0, key, b"hello")).expect("text");
        text.replace("X-Timeout-Ms: 20000", &format!("X-Timeout-Ms: {ms}")).into_bytes()
    };
    let mut client = daemon.client();
    assert_eq!(client.ask(&timed("q0", "k", "400")).0, 202);
    let out = endpoint.next();
    let mut unheard = None;
    assert!(body_of(&discovery, |visit| unheard = Some(visit)).contains("q0"));
    assert_eq!(client.ask(&timed("q1", "k", "3000")).0, 202);
    daemon.kill();
    drop((out, unheard));
    let daemon = Daemon::start(&config, &folder);
    let mut unheard = None;
    assert!(body_of(&discovery, |visit| unheard = Some(visit)).contains("q0"));
    let mut client = daemon.client();
    assert_eq!(client.ask(&timed("q2", "k", "20000")).0, 202);
    assert_eq!(client.ask(&timed("other", "l", "20000")).0, 202);
    let visit = endpoint.next();
    assert_eq!(visit.header("x-request-id"), "other");
    visit.status(200);
    daemon.counts("nacked", 1);
    assert!(endpoint.is_quiet(), "what is behind an unheard report waits");
    // The report went again and again; once it is heard the next one comes.
    drop(unheard);
    while !body_of(&discovery, |visit| visit.answer("HTTP/1.1 204 X\r\n\r\n")).contains("q1") {}
    let visit = endpoint.next();
    assert_eq!(visit.header("x-request-id"), "q2");
    visit.status(200);
    daemon.counts("delivered", 2);
}

/// The folder of one customer is started with the settings of another, who means something else by the same names: what
/// was taken on keeps its own terms, what comes now has the new ones, and no default of the first is left.
#[test]
fn settings_of_another_customer_bind_what_comes_and_nothing_that_was_taken_on() {
    let (discovery, endpoint, mut config, folder) = world();
    let product = |name: &str, repeat: &str| {
        json!({"name": name, "objective-ms": 1500.0, "deadline-ms": 9000.0, "repeat": repeat, "group": "all",
            "window-ms": 12000.0, "worth": 1.0, "late-worth": 0.5, "stream": false, "in-order": false})
    };
    config["settings"]["categories"] =
        json!([product("receipt", "non_idempotent"), product("status", "read_like")]);
    config["settings"]["family-info"]["call-slots"] = json!(1);
    let mut daemon = Daemon::start(&config, &folder);
    assert_eq!(daemon.hand_in("receipt", "doubt", 1), 202);
    let out = endpoint.next();
    assert_eq!(out.header("x-request-id"), "doubt");
    assert_eq!([daemon.hand_in("receipt", "once", 0), daemon.hand_in("status", "status", 0)], [202, 202]);
    daemon.kill();
    drop(out);
    let settings = &mut config["settings"];
    settings["categories"] = json!([product("order", "non_idempotent"), product("receipt", "read_like")]);
    settings["kinds"] = json!(["x", "k"]);
    settings["localities"] = json!(["z", "a"]);
    settings["family-info"] = json!({"call-slots": 8, "kind-batch": [7, 1], "routes-apart": [true, false], "report-x0": "share left"});
    settings["membership-mode"] = json!("automatic");
    settings["ceilings"]["max-attempts"] = json!(2);
    settings["ceilings"]["retry-after"] = json!(false);
    let daemon = Daemon::start(&config, &folder);
    let mut calls: Vec<(String, Visit)> = Vec::new();
    for _ in 0..2 {
        let visit = endpoint.next();
        calls.push((visit.header("x-request-id").to_owned(), visit));
    }
    calls.sort_by(|one, other| one.0.cmp(&other.0));
    assert_eq!(
        [&*calls[0].0, &*calls[1].0],
        ["once", "status"],
        "what was untried is tried, the doubt is not"
    );
    // An error may have run: the one is over by the terms of its day, the other goes again by its own.
    for (_, visit) in calls.drain(..) {
        visit.status(500);
    }
    let mut ended = String::new();
    while !(ended.contains("doubt") && ended.contains("once")) {
        ended += &body_of(&discovery, |visit| visit.answer("HTTP/1.1 204 X\r\n\r\n"));
    }
    assert_eq!(ended.matches("undeliverable").count(), 2, "{ended}");
    let again = endpoint.next();
    assert_eq!(again.header("x-request-id"), "status");
    again.status(200);
    assert_eq!(daemon.hand_in("status", "new", 0), 404, "a name that is no more");
    assert_eq!(daemon.hand_in("receipt", "r", 0), 202);
    for status in [500, 500] {
        let visit = endpoint.next();
        assert_eq!(visit.header("x-request-id"), "r", "resendable now, and twice at the most");
        visit.status(status);
    }
    let ended = body_of(&discovery, |visit| visit.answer("HTTP/1.1 204 X\r\n\r\n"));
    assert_eq!(ended, "{\"id\":\"r\",\"status\":\"deferred\"}\n", "no advice where it is not allowed");
    assert!(endpoint.is_quiet());
}
