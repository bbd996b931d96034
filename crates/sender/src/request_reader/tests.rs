use super::*;
use crate::limits::Grant;
use indigomast_admission::MemoryBudget;

fn limits() -> Limits {
    Limits::of(Grant::new(32, 1024, 3.0))
}

/// Feeds bytes in pieces, keeping bodies or passing them over, and returns each whole request's path and body.
fn read(raw: &[u8], piece: usize, budget: &MemoryBudget, keeps: bool) -> Vec<(String, usize)> {
    let (limits, mut scratch) = (limits(), vec![0; 16 << 10]);
    let (mut reader, mut seen) = (RequestReader::new(budget.empty()), Vec::new());
    for mut bytes in raw.chunks(piece) {
        while !bytes.is_empty() || reader.is_ahead() {
            if !bytes.is_empty() {
                reader.fill(&mut bytes, &mut scratch, &limits).expect("there are bytes");
            }
            loop {
                match reader.progress(&limits) {
                    Progress::Head(head) if keeps => reader.keep_body(head).expect("there is memory"),
                    Progress::Head(head) => {
                        reader.pass_over_body(head.length, AfterBody::Answer(head));
                        assert!(!reader.holds_body());
                    }
                    Progress::Whole(whole) => seen.push((whole.head.path, whole.body.len())),
                    Progress::Refused(refusal) => panic!("{refusal:?}"),
                    Progress::Incomplete => break,
                }
            }
            if bytes.is_empty() {
                break;
            }
        }
    }
    seen
}

/// However a request is cut, it is the same, and all its memory goes back; a body that is passed over takes none.
#[test]
fn requests_are_the_same_however_they_are_cut_and_give_their_memory_back() {
    let mut raw = b"POST /a HTTP/1.1\r\nContent-Length: 20000\r\n\r\n".to_vec();
    raw.extend([b'x'; 20_000]);
    raw.extend(b"GET /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\n\r\n");
    for piece in [1, 7, 50, 4096, 9000, raw.len()] {
        for keeps in [true, false] {
            let budget = MemoryBudget::new(1 << 20);
            let seen = read(&raw, piece, &budget, keeps);
            let body = if keeps { 20_000 } else { 0 };
            let expected = [("/a", body), ("/b", 0), ("/c", 0)];
            assert_eq!(seen, expected.map(|(path, body)| (path.to_owned(), body)), "pieces of {piece}");
            assert_eq!(budget.used(), 0);
            assert_eq!(budget.peak() >= 20_000, keeps);
        }
    }
}

/// Guards against a body or a head that is held without memory for it.
#[test]
fn nothing_is_held_beyond_the_budget() {
    let (limits, mut scratch) = (limits(), vec![0; 16 << 10]);
    let budget = MemoryBudget::new(4000);
    let mut reader = RequestReader::new(budget.empty());
    let mut head = &b"POST /a HTTP/1.1\r\nContent-Length: 20000\r\n\r\n"[..];
    reader.fill(&mut head, &mut scratch, &limits).expect("there are bytes");
    let Progress::Head(head) = reader.progress(&limits) else { panic!("the head is whole") };
    let head = reader.keep_body(head).expect_err("no memory is left");
    assert!(!reader.holds_body());
    reader.pass_over_body(head.length, AfterBody::Refuse(Refusal { status: 503, close: false }));
    let body = [b'x'; 20_000];
    let mut body = &body[..];
    while !body.is_empty() {
        assert!(matches!(reader.progress(&limits), Progress::Incomplete));
        reader.fill(&mut body, &mut scratch, &limits).expect("there are bytes");
    }
    assert!(matches!(reader.progress(&limits), Progress::Refused(Refusal { status: 503, .. })));
    let long = format!("GET /b HTTP/1.1\r\nX-Long: {}", "x".repeat(6000));
    reader.fill(&mut long.as_bytes(), &mut scratch, &limits).expect("there are bytes");
    assert!(matches!(reader.progress(&limits), Progress::Refused(Refusal { status: 503, close: true })));
    reader.clear();
    assert!(reader.is_empty() && budget.used() == 0 && budget.peak() <= 4000);
}

/// Guards against heads that are held without memory for them, while a body behind them is passed over.
#[test]
fn a_head_that_waits_for_the_end_of_its_body_holds_memory() {
    let (limits, mut scratch) = (limits(), vec![0; 16 << 10]);
    let long = "x".repeat(6000);
    let raw = format!("GET /up HTTP/1.1\r\nX-Long: {long}\r\nContent-Length: 10\r\n\r\n");
    for (budget, is_refused) in [(MemoryBudget::new(20_000), false), (MemoryBudget::new(6000), true)] {
        let mut reader = RequestReader::new(budget.empty());
        reader.fill(&mut raw.as_bytes(), &mut scratch, &limits).expect("there are bytes");
        let Progress::Head(head) = reader.progress(&limits) else { panic!("the head is whole") };
        reader.pass_over_body(head.length, AfterBody::Answer(head));
        assert_eq!(budget.used() >= long.len(), !is_refused);
        reader.fill(&mut &b"0123456789"[..], &mut scratch, &limits).expect("there are bytes");
        match reader.progress(&limits) {
            Progress::Whole(_) => assert!(!is_refused),
            Progress::Refused(refusal) => assert!(is_refused && refusal.status == 503),
            other => panic!("{other:?}"),
        }
    }
}
