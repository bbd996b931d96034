use super::*;

#[test]
fn facts_are_counted_by_span_cause_and_destination() {
    let log = "0.1 indigomastd: n0 listens on somewhere\n\
        0.1 indigomastd: listed endpoint=3 name=a dest=7 kind=0 condition=Running units=1\n\
        0.2 indigomastd: taken text=1 dest=7 left=9\n\
        0.2 indigomastd: submit text=1 submit=0 endpoint=3\n\
        0.9 indigomastd: outcome text=1 submit=0 endpoint=3 verdict=Full wait=20 ms=9 left=0 rate=4\n\
        1.2 indigomastd: asked ms=2000 told=-1\n\
        1.3 indigomastd: nacked text=1 dest=7 submits=1 left=3\n\
        1.3 indigomastd: nacked text=ab dest=7 submits=1 again_ms=9 reason=none\n\
        x indigomastd: taken text=2 dest=7 left=9\n";
    let mut account = Account::default();
    account.read(log, 1.0);
    assert_eq!(
        account.report(1.0),
        "0.0 s: Full+wait 1, submit 1, taken 1\n\
        1.0 s: asked in vain 1, nacked 1\n\
        destination 7: Full+wait 1, nacked 1, submit 1, taken 1\n\
        1 lines without a time\n"
    );
}
