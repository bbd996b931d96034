//! A relay that may have its controller among many goes where one says that it is, and back to none of an earlier epoch.

use indigomast::time::{Moment, Span};
use indigomast_assignment::budget;
use indigomast_assignment::catalog::{Replica, Settings};
use indigomast_assignment::controller::{self, Controller};
use indigomast_assignment::relay::{Action, Event, Relay};
use indigomast_assignment::wire::{Hello, VERSION, Who, open_hello, seal_hello};
use indigomast_rollout::wire::Secret;

const CONTROLS: u32 = 39;

fn secret() -> Secret {
    Secret::new(b"sixteen bytes or more").expect("long enough")
}

fn at(ms: f64) -> Moment {
    Moment::from_millis(ms)
}

fn relay() -> Relay {
    let settings = Settings { shards: 16, ..Settings::default() };
    let controls = (0..CONTROLS).collect();
    Relay::new(3, Replica::new(&settings), None, controls, 8, budget::SENDER, secret(), 1, at(0.0))
}

fn announcement(number: u32, epoch: u32) -> String {
    let hello = Hello {
        version: VERSION,
        who: Who::Controller(number),
        challenge: 0,
        epoch,
        position: None,
        seen: None,
        held: Vec::new(),
        taken: None,
        suspects: Vec::new(),
        credit: 0,
    };
    seal_hello(&secret(), &hello)
}

/// Where it connects to next, none of which listens; it is told to disconnect in between.
fn connects(relay: &mut Relay, mut now: Moment) -> (u32, Moment) {
    loop {
        now = now.max(relay.next());
        for action in relay.step(now, Event::Tick) {
            if let Action::Connect(to) = action {
                return (to, now);
            }
        }
    }
}

#[test]
fn an_announcement_is_gone_to_next_and_soon() {
    let mut relay = relay();
    let (first, now) = connects(&mut relay, at(0.0));
    assert_eq!(first, 0);
    relay.step(now, Event::Lost);
    relay.step(now, Event::Announced(&announcement(31, 7)));
    let (next, then) = connects(&mut relay, now);
    assert_eq!(next, 31);
    assert!(then.since(now) <= Span::millis(300), "{:?}", then.since(now));
    assert_eq!(relay.epoch(), 7);
    // And it stays there: the one that is there is the first choice.
    relay.step(then, Event::Connected);
    assert!(relay.next().since(then) <= budget::RELAY_SILENT);
}

#[test]
fn a_later_controller_ends_the_connection_to_an_earlier_one() {
    let mut relay = relay();
    relay.step(at(0.0), Event::Announced(&announcement(31, 7)));
    let (_, now) = connects(&mut relay, at(0.0));
    relay.step(now, Event::Connected);
    let out = relay.step(now, Event::Announced(&announcement(2, 8)));
    assert!(out.contains(&Action::Disconnect), "{out:?}");
    assert_eq!(connects(&mut relay, now).0, 2);
}

#[test]
fn an_earlier_one_and_one_of_this_epoch_change_nothing_while_connected() {
    let mut relay = relay();
    relay.step(at(0.0), Event::Announced(&announcement(31, 7)));
    let (_, now) = connects(&mut relay, at(0.0));
    relay.step(now, Event::Connected);
    for (number, epoch) in [(5, 6), (31, 7)] {
        let out = relay.step(now, Event::Announced(&announcement(number, epoch)));
        assert!(!out.contains(&Action::Disconnect), "{out:?}");
    }
    relay.step(now, Event::Lost);
    relay.step(now, Event::Announced(&announcement(5, 6)));
    assert_eq!(connects(&mut relay, now).0, 0, "the next in the order, not the earlier one");
}

#[test]
fn what_is_forged_or_of_no_controller_is_refused() {
    let mut relay = relay();
    let mut forged = announcement(31, 7);
    forged.replace_range(0..1, if forged.starts_with('0') { "1" } else { "0" });
    relay.step(at(0.0), Event::Announced(&forged));
    let mut hello = open_hello(&secret(), &announcement(31, 7)).expect("good");
    hello.who = Who::Relay(31);
    relay.step(at(0.0), Event::Announced(&seal_hello(&secret(), &hello)));
    assert_eq!((relay.refusals.all(), relay.epoch()), (2, 0));
}

#[test]
fn a_controller_announces_its_own_number() {
    let settings = Settings { shards: 16, ..Settings::default() };
    let controller = Controller::new(7, Replica::new(&settings), &settings, secret(), at(0.0));
    let mut controller = controller.beside(vec![0, 2]).numbered(31);
    let out = controller.step(at(5000.0), controller::Event::Tick);
    let told: Vec<_> = out
        .iter()
        .filter_map(|action| match action {
            controller::Action::Announce { controller, line } => {
                Some((*controller, open_hello(&secret(), line).expect("good").who))
            }
            _ => None,
        })
        .collect();
    assert_eq!(told, [(0, Who::Controller(31)), (2, Who::Controller(31))]);
}
