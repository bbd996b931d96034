//! The judge is fed traffic that breaks each rule, and traffic that comes close and doesn't.

use indigomast::api::DestId;
use indigomast::time::{Moment, Span};
use indigomast_gateway::{Fall, Fate, TextNo};
use indigomast_lab::judge::*;

fn at(ms: f64) -> Moment {
    Moment::from_millis(ms)
}

fn terms() -> Terms {
    Terms {
        submits: 3,
        drain_grace: Span::millis(1000),
        settle: Span::millis(100),
        overtime: Span::millis(300),
        crossing: Span::millis(10),
        slack: Span::millis(1),
        recovery: Span::millis(1500),
    }
}

/// A play of one sender and gateway, told in the order of the wire.
struct Case(Judge);

impl Case {
    fn new() -> Case {
        Case(Judge::new(terms()))
    }

    fn text(&mut self, text: u64, kind: Kind, key: Option<u64>, mark: u64) -> &mut Case {
        let valid_until = at(10_000.0);
        self.0.handed_in(Handed { text: TextNo(text), sender: 0, kind, key, mark, valid_until });
        self.0.answered(TextNo(text), true);
        self
    }

    fn call(&mut self, ms: f64, text: u64) -> &mut Case {
        self.0.called(at(ms), 0, 5, 2, &[TextNo(text)]);
        self
    }

    fn back(&mut self, ms: f64, text: u64, end: CallEnd) -> &mut Case {
        self.0.call_ended(at(ms), TextNo(text), end);
        self
    }

    fn notice(&mut self, ms: f64, text: u64, end: End) -> &mut Case {
        self.0.noticed(at(ms), TextNo(text), end);
        self
    }

    fn ran(&mut self, ms: f64, text: u64, mark: u64) -> &mut Case {
        self.0.ran(at(ms), TextNo(text), mark, Fate::Ran);
        self
    }

    /// The rules that were broken, each as often as it was.
    fn broken(&mut self) -> Vec<Rule> {
        self.0.close(&[]);
        self.0.breaches().iter().map(|breach| breach.rule).collect()
    }
}

use CallEnd::{Delivered, MayHaveRun, NeverRan};
use Kind::{OnceOnly, Referenced, Resendable};

#[test]
fn a_text_that_is_delivered_breaks_nothing() {
    let mut case = Case::new();
    case.text(1, OnceOnly, Some(7), 1).call(10.0, 1).back(50.0, 1, NeverRan).call(300.0, 1).ran(340.0, 1, 1);
    assert!(case.back(350.0, 1, Delivered).broken().is_empty());
}

#[test]
fn a_text_without_an_end_and_one_that_ends_late_are_lost() {
    let mut case = Case::new();
    assert_eq!(case.text(1, Resendable, None, 1).broken(), [Rule::OneAnswer]);
    for (ms, expected) in [(10_290.0, vec![]), (10_302.0, vec![Rule::OneAnswer])] {
        let mut case = Case::new();
        case.text(1, Resendable, None, 1).notice(ms, 1, End::Undeliverable);
        assert_eq!(case.broken(), expected, "{ms}");
    }
}

#[test]
fn one_that_nobody_was_told_to_be_taken_on_is_owed_nothing() {
    let mut case = Case::new();
    case.text(1, Resendable, None, 1);
    case.0.answered(TextNo(1), false);
    assert!(case.broken().is_empty());
}

#[test]
fn nothing_is_sent_after_the_end() {
    let mut case = Case::new();
    case.text(1, Resendable, None, 1)
        .call(0.0, 1)
        .back(10.0, 1, Delivered)
        .call(20.0, 1)
        .back(30.0, 1, Delivered);
    assert_eq!(case.broken(), [Rule::OneAnswer]);
    let mut case = Case::new();
    case.text(1, Resendable, None, 1).notice(10.0, 1, End::Nacked).call(20.0, 1).back(30.0, 1, NeverRan);
    assert_eq!(case.broken(), [Rule::OneAnswer]);
}

#[test]
fn an_answer_that_was_on_its_way_as_the_link_ended_may_be_asked_for_again() {
    for (kind, expected) in [(Referenced, vec![]), (OnceOnly, vec![Rule::NoDouble])] {
        let mut case = Case::new();
        case.text(1, kind, None, 9).call(0.0, 1).ran(9.0, 1, 9).back(10.0, 1, Delivered);
        case.0.may_not_have_heard(TextNo(1));
        case.call(500.0, 1);
        if kind == OnceOnly {
            case.ran(505.0, 1, 9);
        }
        assert_eq!(case.back(510.0, 1, Delivered).broken(), expected, "{kind:?}");
    }
}

#[test]
fn two_ends_that_differ_are_one_too_many_and_the_same_one_twice_is_not() {
    let mut case = Case::new();
    case.text(1, Resendable, None, 1).notice(10.0, 1, End::Nacked).notice(20.0, 1, End::Undeliverable);
    assert_eq!(case.broken(), [Rule::OneAnswer]);
    let mut case = Case::new();
    case.text(1, Resendable, None, 1).notice(10.0, 1, End::Nacked).notice(20.0, 1, End::Nacked);
    case.text(2, Resendable, None, 2).call(0.0, 2).back(10.0, 2, Delivered).notice(
        20.0,
        2,
        End::Undeliverable,
    );
    assert!(case.broken().is_empty());
}

#[test]
fn two_submits_at_once_and_one_too_many_are_seen() {
    let mut case = Case::new();
    case.text(1, Resendable, None, 1)
        .call(0.0, 1)
        .call(5.0, 1)
        .back(10.0, 1, NeverRan)
        .back(11.0, 1, Delivered);
    assert_eq!(case.broken(), [Rule::Submits]);
    let mut case = Case::new();
    case.text(1, Resendable, None, 1);
    for n in 0..4 {
        case.call(f64::from(n) * 10.0, 1).back(f64::from(n) * 10.0 + 5.0, 1, NeverRan);
    }
    assert_eq!(case.notice(100.0, 1, End::Nacked).broken(), [Rule::Submits]);
}

#[test]
fn an_effect_that_comes_twice_is_seen_by_what_ran() {
    for (kind, expected) in [(Referenced, vec![Rule::NoDouble]), (Resendable, vec![])] {
        let mut case = Case::new();
        case.text(1, kind, None, 9).call(0.0, 1).ran(5.0, 1, 9).back(10.0, 1, MayHaveRun);
        case.call(20.0, 1).ran(25.0, 1, 9).back(30.0, 1, Delivered);
        assert_eq!(case.broken(), expected, "{kind:?}");
    }
}

#[test]
fn a_text_handed_in_again_bears_the_effect_of_its_first() {
    let mut case = Case::new();
    case.text(1, Referenced, None, 9).call(0.0, 1).ran(5.0, 1, 9).back(10.0, 1, MayHaveRun);
    case.notice(20.0, 1, End::Nacked).text(2, Referenced, None, 9).call(30.0, 2).ran(35.0, 2, 9);
    assert_eq!(case.back(40.0, 2, Delivered).broken(), [Rule::NoDouble]);
}

#[test]
fn what_ran_for_a_client_that_left_counts_for_nothing() {
    let mut case = Case::new();
    case.text(1, Referenced, None, 9).call(0.0, 1).ran(5.0, 1, 9).back(10.0, 1, MayHaveRun);
    case.0.answered(TextNo(1), false);
    case.text(2, Referenced, None, 9).call(30.0, 2).ran(35.0, 2, 9).back(40.0, 2, Delivered);
    assert!(case.broken().is_empty());
}

#[test]
fn a_once_only_text_in_doubt_is_neither_sent_again_nor_nacked() {
    let mut case = Case::new();
    case.text(1, OnceOnly, None, 1)
        .call(0.0, 1)
        .back(10.0, 1, MayHaveRun)
        .call(20.0, 1)
        .back(30.0, 1, Delivered);
    assert_eq!(case.broken(), [Rule::NoDouble]);
    let mut case = Case::new();
    case.text(1, OnceOnly, None, 1).call(0.0, 1).back(10.0, 1, MayHaveRun).notice(20.0, 1, End::Nacked);
    assert_eq!(case.broken(), [Rule::NoDouble]);
    let mut case = Case::new();
    case.text(1, OnceOnly, None, 1).call(0.0, 1).back(10.0, 1, MayHaveRun).notice(
        20.0,
        1,
        End::Undeliverable,
    );
    assert!(case.broken().is_empty());
}

#[test]
fn a_drain_is_kept_after_its_grace_and_by_this_life_of_the_sender() {
    for (ms, expected) in [(1990.0, vec![]), (2010.0, vec![Rule::Drains])] {
        let mut case = Case::new();
        case.0.told_of(at(1000.0), 0, 5, true);
        case.text(1, Resendable, None, 1).call(ms, 1).back(ms + 5.0, 1, Delivered);
        assert_eq!(case.broken(), expected, "{ms}");
    }
    let mut case = Case::new();
    case.0.told_of(at(1000.0), 0, 5, true);
    case.0.died(at(1500.0), 0);
    case.0.ready(at(1600.0), 0);
    case.text(1, Resendable, None, 1).call(3000.0, 1).back(3005.0, 1, Delivered);
    assert!(case.broken().is_empty(), "a new life has not been told yet");
}

#[test]
fn a_key_goes_on_only_after_the_end_of_its_earlier_text() {
    let mut case = Case::new();
    case.text(1, Referenced, Some(7), 1).text(2, Referenced, Some(7), 2);
    case.call(0.0, 1).back(10.0, 1, NeverRan).call(20.0, 2).back(30.0, 2, Delivered).call(40.0, 1);
    assert_eq!(case.back(50.0, 1, Delivered).broken(), [Rule::Order]);
    let mut case = Case::new();
    case.text(1, Referenced, Some(7), 1).text(2, Referenced, Some(7), 2);
    case.call(0.0, 1).notice(5.0, 1, End::Undeliverable).call(10.0, 2).back(20.0, 2, Delivered);
    case.back(30.0, 1, MayHaveRun);
    assert_eq!(case.broken(), [Rule::Order], "ended, but its submit is out");
}

#[test]
fn a_key_rests_after_doubt() {
    for (ms, expected) in [(50.0, vec![Rule::Order]), (115.0, vec![])] {
        let mut case = Case::new();
        case.text(1, Referenced, Some(7), 1).call(0.0, 1).back(10.0, 1, MayHaveRun);
        case.notice(12.0, 1, End::Undeliverable).text(2, Referenced, Some(7), 2).call(ms, 2);
        assert_eq!(case.back(ms + 10.0, 2, Delivered).broken(), expected, "{ms}");
    }
}

#[test]
fn a_told_wait_holds_all_texts_of_the_destination_until_it_ends_or_the_sender_does() {
    for (ms, died, expected) in [
        (105.0, false, vec![]),
        (500.0, false, vec![Rule::Waits]),
        (1100.0, false, vec![]),
        (500.0, true, vec![]),
    ] {
        let mut case = Case::new();
        case.0.told_wait(at(100.0), 0, 2, Span::millis(1000));
        // A shorter one told later takes nothing back.
        case.0.told_wait(at(101.0), 0, 2, Span::millis(100));
        if died {
            case.0.died(at(200.0), 0);
        }
        case.text(1, Resendable, None, 1).call(ms, 1).back(ms + 5.0, 1, Delivered);
        assert_eq!(case.broken(), expected, "{ms} {died}");
    }
}

#[test]
fn a_restarted_sender_has_its_time_to_end_what_was_due_meanwhile() {
    for (ready, ended, expected) in [
        (12_000.0, 13_400.0, vec![]),
        (12_000.0, 13_600.0, vec![Rule::OneAnswer]),
        (5_000.0, 10_400.0, vec![Rule::OneAnswer]),
    ] {
        let mut case = Case::new();
        case.text(1, Resendable, None, 1);
        case.0.died(at(4_000.0), 0);
        case.0.ready(at(ready), 0);
        assert_eq!(case.notice(ended, 1, End::Undeliverable).broken(), expected, "{ready} {ended}");
    }
}

#[test]
fn a_fall_is_a_breach_when_two_thirds_came_from_the_warned() {
    for (from_warned, expected) in [(0.6, 0), (0.7, 1)] {
        let mut judge = Judge::new(terms());
        let fall = Fall { dest: DestId(3), at: at(5.0), load: 70.0, bearable: 60.0, from_warned };
        judge.close(&[fall]);
        assert_eq!(judge.breaches().len(), expected);
        assert!(judge.breaches().iter().all(|breach| breach.rule == Rule::Returns));
    }
}

#[test]
fn each_breach_names_its_text_moment_and_evidence() {
    let mut case = Case::new();
    case.text(0x1f, OnceOnly, None, 1).call(0.0, 0x1f).back(10.0, 0x1f, MayHaveRun).call(20.0, 0x1f);
    case.back(30.0, 0x1f, Delivered).broken();
    let breach = &case.0.breaches()[0];
    assert_eq!((breach.of.as_str(), breach.at_ms), ("text 000000000000001f", 20.0));
    assert!(breach.evidence.contains("submit 2"), "{}", breach.evidence);
}

#[test]
fn a_text_whose_client_had_no_answer_goes_when_its_sender_likes() {
    let mut case = Case::new();
    case.text(1, Kind::Resendable, Some(7), 1).text(2, Kind::Resendable, Some(7), 1);
    // The client was not told that the first was taken on, and handed it in again as the second.
    case.0.answered(TextNo(1), false);
    case.call(100.0, 1).back(150.0, 1, CallEnd::Delivered);
    case.call(160.0, 2).back(200.0, 2, CallEnd::Delivered);
    assert_eq!(case.broken(), []);
}

#[test]
fn over_a_line_a_delivery_counts_from_when_its_sender_heard_of_it() {
    let lines = |heard: Option<f64>, again: f64| {
        let mut case = Case::new();
        case.text(1, Kind::Resendable, None, 1).call(100.0, 1).back(150.0, 1, CallEnd::Delivered);
        case.0.may_not_have_heard(TextNo(1));
        heard.into_iter().for_each(|ms| case.0.heard(at(ms), TextNo(1)));
        case.call(again, 1).back(again + 10.0, 1, CallEnd::Delivered);
        case.broken()
    };
    assert_eq!(lines(None, 900.0), [], "it never heard");
    assert_eq!(lines(Some(500.0), 500.5), [], "the call had left by then");
    assert_eq!(lines(Some(500.0), 600.0), [Rule::OneAnswer]);
}

#[test]
fn a_call_that_a_line_held_back_counts_as_a_submit_and_for_nothing_else() {
    let mut case = Case::new();
    case.text(1, Kind::OnceOnly, Some(3), 1).text(2, Kind::OnceOnly, Some(3), 2);
    case.call(100.0, 1).back(150.0, 1, CallEnd::MayHaveRun).notice(200.0, 1, End::Undeliverable);
    case.call(300.0, 2).back(350.0, 2, CallEnd::Delivered);
    case.0.called_late(at(900.0), &[TextNo(1)]);
    assert_eq!(case.broken(), []);
    (0..2).for_each(|n| case.0.called_late(at(1000.0 + f64::from(n)), &[TextNo(1)]));
    assert_eq!(case.broken(), [Rule::Submits]);
}

#[test]
fn one_held_up_has_its_time_after_the_last_of_spells_that_overlap() {
    let ended = |ms: f64| {
        let mut case = Case::new();
        case.text(1, Kind::Resendable, None, 1);
        case.0.held_up(0, at(9_000.0), at(12_000.0));
        case.0.held_up(0, at(13_000.0), at(15_000.0));
        case.0.held_up(0, at(40_000.0), at(50_000.0));
        case.notice(ms, 1, End::Undeliverable);
        case.0.close(&[]);
        case.broken()
    };
    // 15 s, its 1.5 s for recovery, and the slack.
    assert_eq!(ended(16_500.0), []);
    assert_eq!(ended(16_503.0), [Rule::OneAnswer]);
}
