//! Tests to which call an answer on a shared connection is attributed, over all short sequences of calls and
//! stray answers.

use indigomast::connection_sharing::{Attribution, ConnectionHistory};

/// An answer: the call it was written for, and the messages it names; a refusal names none.
#[derive(Clone, Debug)]
struct Answer {
    call: Option<usize>,
    names: Vec<&'static str>,
}

const MESSAGES: [&str; 3] = ["a", "b", "c"];
const CALLS: usize = 4;
/// Number of stray answers before the actual answer of each call.
const STRAY_COUNT: usize = 2;

fn attribution(connection: &ConnectionHistory, answer: &Answer) -> Attribution {
    connection.attribute_answer(answer.names.iter().copied())
}

/// Tries every continuation recursively, and counts the calls answered on a connection that had carried other
/// calls.
fn check_continuations(connection: &dyn Fn() -> ConnectionHistory, written: &[Answer], shared: &mut usize) {
    if written.len() == CALLS {
        return;
    }
    // Each non-empty set of messages, as a call of one or several.
    for set in 1..1 << MESSAGES.len() {
        let ids: Vec<&'static str> =
            (0..MESSAGES.len()).filter(|at| set >> at & 1 == 1).map(|at| MESSAGES[at]).collect();
        if !connection().may_carry(ids.iter().copied()) {
            continue;
        }
        let with_call = || {
            let mut connection = connection();
            connection.begin_call(ids.iter().copied());
            connection
        };
        let call = written.len();
        let refusal = Answer { call: None, names: Vec::new() };
        let unknown_message = Answer { call: None, names: vec!["x"] };
        let mut strays: Vec<Answer> = written.to_vec();
        // On the first call of a connection a stray refusal cannot be distinguished from the actual one.
        if call > 0 {
            strays.extend([refusal, unknown_message]);
        }
        for stray in &strays {
            let attribution = attribution(&with_call(), stray);
            assert!(!attribution.is_certain(), "{stray:?} is believed to answer call {call} of {ids:?}");
            // Skipping a duplicate any number of times changes nothing.
            for _ in 0..STRAY_COUNT {
                assert_eq!(self::attribution(&with_call(), stray), attribution);
            }
            assert_eq!(
                attribution == Attribution::Stray,
                stray.call.is_some(),
                "{stray:?} before the answer of {ids:?}"
            );
        }
        let actual = Answer { call: Some(call), names: ids.clone() };
        assert_eq!(attribution(&with_call(), &actual), Attribution::Named);
        *shared += usize::from(call > 0);
        // The connection is reused only after an answer that names its messages.
        check_continuations(&with_call, &[written, &[actual]].concat(), shared);
    }
}

#[test]
fn no_answer_is_believed_that_was_written_to_another_call() {
    let mut shared = 0;
    check_continuations(&ConnectionHistory::default, &[], &mut shared);
    assert!(shared > 10, "{shared} calls on connections that had carried others");
}

#[test]
fn an_answer_to_the_only_call_holds_whatever_it_names() {
    let mut connection = ConnectionHistory::default();
    connection.begin_call(["a"].into_iter());
    for names in [vec![], vec!["x"], vec!["a", "x"]] {
        assert!(connection.attribute_answer(names.into_iter()).is_certain());
    }
}

/// Guards against a duplicate of an earlier answer that is taken for the answer to a later call of the same
/// message.
#[test]
fn a_message_travels_on_a_connection_once() {
    let mut connection = ConnectionHistory::default();
    connection.begin_call(["a", "b"].into_iter());
    assert!(!connection.may_carry(["b", "c"].into_iter()));
    assert!(connection.may_carry(["c"].into_iter()));
    connection.begin_call(["c"].into_iter());
    assert!(!connection.may_carry(["a"].into_iter()));
}

#[test]
fn a_connection_remembers_a_bounded_number_of_messages() {
    let mut connection = ConnectionHistory::default();
    let ids: Vec<String> = (0..1_000).map(|id| id.to_string()).collect();
    let carried = ids.iter().take_while(|id| {
        let may = connection.may_carry([id.as_str()].into_iter());
        connection.begin_call([id.as_str()].into_iter());
        may
    });
    assert!((32..=256).contains(&carried.count()));
}
