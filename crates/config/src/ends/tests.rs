use super::*;
use indigomast::api::TextId;

fn notices() -> Vec<Notice> {
    let told = |id: &str, report| Notice { text: TextId(1), id: id.into(), report };
    vec![
        told("a", Report::Undeliverable),
        told("b", Report::Nacked { again_ms: Some(1500.2) }),
        told("c", Report::Nacked { again_ms: None }),
    ]
}

#[test]
fn a_line_for_each_end_and_none_by_halves() {
    let lines: Vec<String> = notices().iter().map(line).collect();
    assert_eq!(
        lines,
        [
            "{\"end\":\"undeliverable\",\"id\":\"a\"}\n",
            "{\"again_ms\":1501,\"end\":\"nacked\",\"id\":\"b\"}\n",
            "{\"end\":\"nacked\",\"id\":\"c\"}\n"
        ]
    );
    // A device that takes nothing, and a folder that isn't there: not heard, so told again.
    for path in ["/dev/full", "/no/such/folder/ends"] {
        let told = ToFile { path: path.into() }.report(&notices());
        assert!(told.is_err_and(|e| e.starts_with(path)));
    }
}
