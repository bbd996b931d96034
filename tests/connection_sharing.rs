//! What an answer on a shared connection proves, walked over all short orders of calls and stray answers.

use indigomast::connection_sharing::{Attribution, ConnectionHistory};

/// An answer: the call that it was written to, and the messages that it names; a refusal names none.
#[derive(Clone, Debug)]
struct Answer {
    call: Option<usize>,
    names: Vec<&'static str>,
}

const MESSAGES: [&str; 3] = ["a", "b", "c"];
const CALLS: usize = 4;
/// Stray answers before the true one of each call.
const STRAYS: usize = 2;

fn proof(connection: &ConnectionHistory, answer: &Answer) -> Attribution {
    connection.attribute_answer(answer.names.iter().copied())
}

/// Plays each way to go on, and counts the calls that were answered on a connection that had carried others.
fn walk(connection: &dyn Fn() -> ConnectionHistory, written: &[Answer], shared: &mut usize) {
    if written.len() == CALLS {
        return;
    }
    // Each set of messages, as a call of one or several.
    for set in 1..1 << MESSAGES.len() {
        let ids: Vec<&'static str> =
            (0..MESSAGES.len()).filter(|at| set >> at & 1 == 1).map(|at| MESSAGES[at]).collect();
        if !connection().may_carry(ids.iter().copied()) {
            continue;
        }
        let begun = || {
            let mut connection = connection();
            connection.begin_call(ids.iter().copied());
            connection
        };
        let call = written.len();
        let refusal = Answer { call: None, names: Vec::new() };
        let foreign = Answer { call: None, names: vec!["x"] };
        let mut strays: Vec<Answer> = written.to_vec();
        // On a connection's first call nothing tells a stray refusal from a true one.
        if call > 0 {
            strays.extend([refusal, foreign]);
        }
        for stray in &strays {
            let proof = proof(&begun(), stray);
            assert!(!proof.is_certain(), "{stray:?} is believed to answer call {call} of {ids:?}");
            // A copy that is passed over any number of times changes nothing.
            for _ in 0..STRAYS {
                assert_eq!(self::proof(&begun(), stray), proof);
            }
            assert_eq!(
                proof == Attribution::Stray,
                stray.call.is_some(),
                "{stray:?} before the answer of {ids:?}"
            );
        }
        let own = Answer { call: Some(call), names: ids.clone() };
        assert_eq!(proof(&begun(), &own), Attribution::Named);
        *shared += usize::from(call > 0);
        // Only behind an answer that names its messages the connection is used again.
        walk(&begun, &[written, &[own]].concat(), shared);
    }
}

#[test]
fn no_answer_is_believed_that_was_written_to_another_call() {
    let mut shared = 0;
    walk(&ConnectionHistory::default, &[], &mut shared);
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

/// Guards against an answer that names a message again, as on the call before, and passes for the later call's.
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
