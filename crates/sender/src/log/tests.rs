use super::*;

#[test]
fn so_many_lines_a_second_and_then_how_many_were_left_out() {
    let sink = Sink::new("p", Format::Plain, 3);
    let start = Instant::now();
    let admitted: Vec<_> = (0..5).map(|_| sink.admit(start)).collect();
    assert_eq!(admitted, [Some(0), Some(0), Some(0), None, None]);
    assert_eq!(sink.admit(start + Duration::from_millis(999)), None);
    assert_eq!(sink.admit(start + Duration::from_millis(1000)), Some(3));
}

#[test]
fn a_line_is_one_line_whatever_is_in_it() {
    let pairs = [("text".to_owned(), "a\"b".to_owned()), ("what".to_owned(), "no".to_owned())];
    let plain = Sink::new("p", Format::Plain, 3).line(7, "info", "two\nlines", &pairs);
    assert_eq!(plain, "p: two lines text=a\"b what=no");
    let json = Sink::new("p", Format::Json, 3).line(7, "info", "two\nlines", &pairs);
    let told: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(told, serde_json::json!({"at_ms": 7, "level": "info", "what": "two\nlines", "text": "a\"b"}));
    assert_eq!(json.lines().count(), 1);
}
