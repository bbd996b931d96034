use super::*;

fn at(ms: i64) -> Moment {
    Moment::from_millis(ms as f64)
}

fn span(ms: i64) -> Span {
    Span::millis(ms)
}

#[test]
fn a_sender_in_time_takes_everything() {
    let mut overload = OverloadDetector::new(OverloadSettings::default());
    for n in 0..1000 {
        overload.record_delay(at(n * 20), span(n % 140));
        assert_eq!(overload.admit(at(n * 20), span(60), span(n % 240)), Ok(()));
    }
}

#[test]
fn after_a_spell_texts_that_would_not_outlast_another_are_sent_elsewhere_for_a_while() {
    let mut overload = OverloadDetector::new(OverloadSettings::default());
    overload.record_delay(at(5_000), span(3_000));
    for (ms, left, fine) in [
        (5_000, 3_100, false),
        (5_000, 3_300, true),
        (14_900, 3_100, false),
        (15_100, 3_100, true),
        (15_100, 60, true),
    ] {
        assert_eq!(overload.admit(at(ms), span(left), Span::ZERO).is_ok(), fine, "{ms} {left}");
    }
}

#[test]
fn shorter_spells_behind_a_long_one_count_once_it_is_forgotten() {
    let mut overload = OverloadDetector::new(OverloadSettings::default());
    overload.record_delay(at(0), span(4_000));
    overload.record_delay(at(8_000), span(500));
    overload.record_delay(at(9_000), span(900));
    assert_eq!(overload.longest_stall(at(9_500)), span(4_000));
    assert_eq!(overload.longest_stall(at(10_500)), span(900));
    assert_eq!(overload.longest_stall(at(19_500)), Span::ZERO);
    assert!(overload.spells.len() <= 2);
}

#[test]
fn a_word_that_waited_too_long_is_turned_away_with_a_time_to_come_back() {
    let mut overload = OverloadDetector::new(OverloadSettings::default());
    assert_eq!(overload.admit(at(0), span(20_000), span(249)), Ok(()));
    assert_eq!(overload.admit(at(0), span(20_000), span(300)), Err(span(300)));
    assert_eq!(overload.admit(at(0), span(20_000), span(30_000)), Err(span(2_000)));
}

#[test]
fn what_is_read_right_after_a_spell_may_have_lain_there() {
    let mut overload = OverloadDetector::new(OverloadSettings::default());
    assert!(!overload.record_delay(at(1_000), span(100)) && overload.record_delay(at(5_000), span(3_000)));
    assert_eq!(overload.max_unread_time(at(5_010), span(350)), span(350));
    assert_eq!(overload.max_unread_time(at(5_200), span(350)), Span::ZERO);
    overload.record_delay(at(9_000), span(200));
    assert_eq!(overload.max_unread_time(at(9_000), span(350)), span(200));
}

#[test]
fn memory_is_bounded_whatever_comes() {
    let mut overload = OverloadDetector::new(OverloadSettings {
        stall_memory: span(1 << 40),
        ..OverloadSettings::default()
    });
    for n in 0..100_000i64 {
        overload.record_delay(at(n), span(150 + n * 7919 % 4_000));
    }
    // Spells kept fall strictly from the first to the last.
    let spells: Vec<Span> = overload.spells.iter().map(|(_, spell)| *spell).collect();
    assert!(spells.windows(2).all(|pair| pair[0] > pair[1]));
    assert!(spells.len() <= 4_000);
}
