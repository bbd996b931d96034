//! The list that a daemon is told, by itself.

use crate::support::{ids, member};
use indigomast_control_plane::listing::{Listing, members};
use serde_json::Value;
use std::sync::Arc;

struct List(Listing);

impl List {
    fn put(&mut self, bodies: &[(u32, &str)]) -> (bool, Vec<String>) {
        let bodies: Vec<(u32, Arc<str>)> = bodies.iter().map(|(d, body)| (*d, Arc::from(*body))).collect();
        self.0.put_in_force(bodies.iter().map(|(destination, body)| (*destination, body)))
    }

    fn page(&self, from: Option<u64>) -> Value {
        serde_json::from_str(&self.0.page(from)).expect("JSON")
    }
}

fn name(id: &str, gone: bool) -> (String, bool) {
    (id.to_owned(), gone)
}

#[test]
fn a_body_is_a_member_or_several_and_what_is_none_is_refused_with_its_field() {
    let good = member(17, "s-1");
    assert_eq!(members(17, &good).expect("one").len(), 1);
    assert_eq!(members(17, &format!("[{good},{}]", member(17, "s-2"))).expect("two").len(), 2);
    assert_eq!(members(17, "[]").expect("none").len(), 0);
    let cases = [
        ("v=1".to_owned(), "no JSON"),
        ("3".to_owned(), "members[0]: is no object"),
        (format!("[{good},4]"), "members[1]: is no object"),
        (good.replace("\"s-1\"", "7"), "id"),
        (good.replace("\"s-1\"", "\"\""), "members[0].id: is empty"),
        (good.replace("127.0.0.1:8443", "nowhere"), "members[0].host_port"),
        (good.replace("\"cell\":17", "\"cell\":18"), "members[0].cell: 18, this is destination 17"),
        (good.replace("Ready", "Gone"), "members[0].phase"),
        (good.replace("\"locality\":\"a\",", ""), "locality"),
        (good.replace("\"flavor\":\"k\",", ""), "flavor"),
        (good.replace("\"size\":1.0", "\"size\":-1.0"), "members[0].size"),
        (format!("[{good},{good}]"), "members[1].id: \"s-1\" stands twice"),
    ];
    for (body, field) in cases {
        let wrong = members(17, &body).expect_err(&body);
        assert!(wrong.contains(field), "{body}: {wrong}");
    }
}

#[test]
fn a_page_after_a_revision_tells_what_changed_and_what_has_gone() {
    let mut list = List(Listing::new(100, 8));
    assert!(!list.0.is_ready());
    let (one, two) = (member(1, "a"), member(2, "b"));
    assert_eq!(list.put(&[(1, &one), (2, &two)]), (true, vec![]));
    let first = list.0.revision();
    assert!(first > 100 && list.0.is_ready());
    let page = list.page(None);
    assert_eq!(
        (page["complete"].as_bool(), ids(&page)),
        (Some(true), vec![name("a", false), name("b", false)])
    );
    assert_eq!(list.put(&[(1, &one), (2, &two)]), (false, vec![]), "the same is no change");
    assert_eq!(list.0.revision(), first);
    let other = one.replace("8443", "9443");
    assert!(list.put(&[(1, &other)]).0);
    let page = list.page(Some(first));
    assert_eq!(
        (page["complete"].as_bool(), ids(&page)),
        (Some(false), vec![name("a", false), name("b", true)])
    );
    assert_eq!(ids(&list.page(None)), vec![name("a", false)]);
    // Back again, it isn't gone any more.
    assert!(list.put(&[(1, &other), (2, &two)]).0);
    assert_eq!(ids(&list.page(Some(first))), vec![name("a", false), name("b", false)]);
}

#[test]
fn a_revision_of_another_life_or_beyond_is_told_the_whole_list() {
    let mut list = List(Listing::new(100, 8));
    list.put(&[(1, &member(1, "a"))]);
    for from in [0, 41, 100, list.0.revision() + 1, u64::MAX] {
        assert_eq!(list.page(Some(from))["complete"], true, "from {from}");
        assert!(list.0.is_after(from));
    }
    assert!(!list.0.is_after(list.0.revision()));
    assert_eq!(list.page(Some(list.0.revision()))["complete"], false);
}

#[test]
fn more_that_have_gone_than_are_remembered_make_the_whole_list_be_told() {
    let mut list = List(Listing::new(100, 2));
    let bodies: Vec<String> = (0..4).map(|n| member(n, &format!("e{n}"))).collect();
    let all: Vec<(u32, &str)> =
        bodies.iter().enumerate().map(|(n, body)| (n as u32, body.as_str())).collect();
    list.put(&all);
    let first = list.0.revision();
    list.put(&all[1..]);
    list.put(&all[2..]);
    assert_eq!(list.page(Some(first))["complete"], false);
    let third = list.0.revision();
    list.put(&all[3..]);
    assert_eq!(list.page(Some(first))["complete"], true);
    assert_eq!(list.page(Some(third))["complete"], false);
}

#[test]
fn a_body_that_makes_no_sense_leaves_what_its_destination_had_and_the_rest_goes_on() {
    let mut list = List(Listing::new(0, 8));
    let (one, two) = (member(1, "a"), member(2, "b"));
    list.put(&[(1, &one)]);
    let (changed, refused) = list.put(&[(1, "{\"id\":"), (2, &two)]);
    assert!(changed && refused.len() == 1 && refused[0].starts_with("destination 1: no JSON"), "{refused:?}");
    assert_eq!(ids(&list.page(None)), vec![name("a", false), name("b", false)]);
    assert_eq!(list.put(&[(1, "{\"id\":"), (2, &two)]), (false, vec![]), "counted once");
    assert_eq!(list.0.refused, 1);
    // An id that another destination has is refused as well, once.
    let taken = member(3, "b");
    let (_, refused) = list.put(&[(1, &one), (2, &two), (3, &taken)]);
    assert!(refused.len() == 1 && refused[0].contains("is of destination 2"), "{refused:?}");
    assert_eq!(list.put(&[(1, &one), (2, &two), (3, &taken)]), (false, vec![]));
}
