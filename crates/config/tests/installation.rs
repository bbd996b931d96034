//! An installation's file: what is refused, in which words, all at once; and what it comes to.

use indigomast_config::installation::fields;
use indigomast_config::machine::Machine;
use indigomast_config::reader::{reference, schema};
use indigomast_config::{Complaint, Installation};
use indigomast_sender::config::Outside;
use proptest::prelude::*;
use std::path::Path;

const GOOD: &str = r#"
name = "n"
state = "state"
[[products]]
name = "receipt"
repeat = "referenced"
[[gateways]]
name = "g"
address = "127.0.0.1:9001"
destination = 1
"#;

fn complaints(text: &str) -> Vec<String> {
    let parsed = Installation::parse("f.toml", text, Path::new("/base"));
    parsed.err().unwrap_or_default().iter().map(Complaint::to_string).collect()
}

#[test]
fn a_file_with_the_least_is_one_that_runs() {
    assert_eq!(complaints(GOOD), Vec::<String>::new());
    let installation =
        Installation::parse("f.toml", GOOD, Path::new("/base")).unwrap_or_else(|e| panic!("{e:?}"));
    assert_eq!(installation.state, Path::new("/base/state"));
    let config = installation.config().unwrap_or_else(|e| panic!("{e:?}"));
    assert_eq!((config.known.members.len(), config.site.products.len()), (1, 1));
    assert!(matches!(config.outside, Outside::Own { .. }));
    assert_eq!(config.limits.body, 64 << 10);
}

#[test]
fn what_can_not_be_is_refused_with_its_place_and_what_would_be_right() {
    // what is put at the front or the end of a good file, and the exact complaint
    let front: [(&str, &str); 12] = [
        (
            "listen = \"here\"",
            "f.toml:1:10: listen: \"here\" is not an address and port such as \"127.0.0.1:8443\"",
        ),
        ("lisen = \"127.0.0.1:1\"", "f.toml:1:1: lisen: is not known; listen is"),
        ("seed = \"xyz\"", "f.toml:1:8: seed: is not up to sixteen hexadecimal digits"),
        ("zones = []", "f.toml:1:9: zones: there has to be one"),
        ("zones = [\"a\", \"a\"]", "f.toml:1:9: zones: \"a\" is there twice"),
        ("limits = 5", "f.toml:1:10: limits: a integer is no table"),
        (
            "limits = { memory = \"1GB2\" }",
            "f.toml:1:21: limits.memory: \"1GB2\" is not a size such as \"64MiB\" or \"3MB\"",
        ),
        ("limits = { memory = \"1MiB\" }", "f.toml:1:21: limits.memory: has to be 16MiB or more"),
        ("limits = { slots = 0 }", "f.toml:1:20: limits.slots: 0 lets nothing through"),
        ("limits = { submits = 7 }", "f.toml:1:22: limits.submits: 7 are more than 6"),
        (
            "calls = { connect = 1500 }",
            "f.toml:1:21: calls.connect: 1500 is not a time such as \"3s\" or \"250ms\"",
        ),
        ("clients = { named = [\"10.0.0.0/40\"] }", "f.toml:1:21: clients.named: \"10.0.0.0/40\""),
    ];
    for (line, expected) in front {
        let told = complaints(&format!("{line}{GOOD}"));
        assert!(told.first().is_some_and(|told| told.starts_with(expected)), "{line}: {told:#?}");
    }
    let end: [(&str, &str); 15] = [
        ("zone = \"b\"", "f.toml:11:8: gateways[0].zone: \"b\" is no zone; there are here"),
        ("weight = 0", "f.toml:7:1: gateways: all weights are 0: nothing could be sent anywhere"),
        (
            "[[gateways]]\nname = \"h\"\naddress = \"127.0.0.1:9001\"\ndestination = 1",
            "f.toml:13:11: gateways[1].address: 127.0.0.1:9001 is that of \"g\": one gateway under two names",
        ),
        (
            "[[products]]\nname = \"up\"\nrepeat = \"resendable\"",
            "f.toml:12:8: products[1].name: /up is the sender's own",
        ),
        (
            "[[products]]\nname = \"x\"",
            "f.toml:11:1: products[1].repeat: is missing; it has to be \"resendable\", \"referenced\" or \"once-only\"",
        ),
        (
            "[[products]]\nname = \"x\"\nrepeat = \"often\"",
            "f.toml:13:10: products[1].repeat: \"often\" is not \"resendable\", \"referenced\" or \"once-only\"",
        ),
        (
            "[[products]]\nname = \"x\"\nrepeat = \"resendable\"\nvalidity = \"1s\"",
            "f.toml:14:12: products[1].validity: has to be sla or more",
        ),
        (
            "[[kinds]]\nname = \"k\"\ntexts_per_call = 0",
            "f.toml:13:18: kinds[0].texts_per_call: has to be 1 to 1000",
        ),
        (
            "[journal]\ndurability = \"maybe\"",
            "f.toml:12:14: journal.durability: \"maybe\" is not \"process\", \"interval\" or \"batch\"",
        ),
        ("[list]\nfrom = \"files\"", "f.toml:12:8: list.from: \"files\" needs list.files"),
        (
            "[list]\npoll = \"2s\"",
            "f.toml:12:8: list.poll: has to be 10ms to 700ms: a drain counts within 1 s",
        ),
        ("[list]\nmost_taken_away = 1.5", "f.toml:12:19: list.most_taken_away: 1.5 is more than 1"),
        ("[ends]\nto = \"callback\"", "f.toml:12:6: ends.to: \"callback\" needs ends.address"),
        (
            "[ends]\nto = \"platform\"",
            "f.toml:12:6: ends.to: the platform is told where the list comes from it, and only there",
        ),
        ("[log]\nlines_a_second = 0", "f.toml:12:18: log.lines_a_second: has to be 1 to 10000"),
    ];
    for (lines, expected) in end {
        let told = complaints(&format!("{GOOD}{lines}\n"));
        assert!(told.iter().any(|told| told == expected), "{lines}: {told:#?}");
    }
    // What is not TOML at all.
    for (text, place) in
        [("name = ", "f.toml:1:"), ("[[products]\n", "f.toml:1:"), ("a = 1\na = 2\n", "f.toml:2:1")]
    {
        let told = complaints(text);
        assert!(told.iter().any(|told| told.starts_with(place)), "{text}: {told:#?}");
    }
}

#[test]
fn all_that_is_wrong_is_told_at_once() {
    let text = "name = 5\nlisen = \"x\"\n[limits]\nslots = 0\nmemory = 3\n[[products]]\nname = \"a b\"\n";
    let told = complaints(text);
    for field in [
        "name:",
        "lisen:",
        "state:",
        "limits.slots:",
        "limits.memory:",
        "products[0].name:",
        "products[0].repeat:",
        "gateways:",
    ] {
        assert!(told.iter().any(|told| told.contains(&format!(": {field}"))), "{field} {told:#?}");
    }
    assert_eq!(told.len(), 8, "{told:#?}");
}

#[test]
fn a_first_list_that_is_not_there_is_told_with_the_field_that_names_it() {
    let (front, _) = GOOD.split_once("[[gateways]]").expect("gateways");
    let text = format!("{front}[list]\nfrom = \"files\"\nfiles = \"nowhere.toml\"\n");
    let installation =
        Installation::parse("f.toml", &text, Path::new("/base")).unwrap_or_else(|e| panic!("{e:?}"));
    let told: Vec<String> =
        installation.config().err().expect("refused").iter().map(Complaint::to_string).collect();
    assert_eq!(told, ["/base/nowhere.toml: list.files: is not there"]);
}

#[test]
fn what_the_machine_does_not_grant_is_refused() {
    let folder = env!("CARGO_TARGET_TMPDIR");
    let refused = |state: &str, machine: Machine| {
        let text = GOOD.replace("\"state\"", &format!("{state:?}"));
        let installation =
            Installation::parse("f.toml", &text, Path::new(folder)).unwrap_or_else(|e| panic!("{e:?}"));
        machine.refuses(&installation).join("; ")
    };
    let ample = Machine { descriptors: Some(1024), memory: Some(64 << 20) };
    assert_eq!(refused("s", ample), "");
    assert_eq!(refused("s", Machine::default()), "");
    let few = refused("s", Machine { descriptors: Some(1023), ..ample });
    assert_eq!(few, "limits.descriptors: 1024 are more than this process may open, 1023");
    let small = refused("s", Machine { memory: Some(63 << 20), ..ample });
    assert_eq!(small, "limits.memory: 64 MiB are more than this machine has, 63");
    assert!(refused("/proc/nowhere/s", ample).starts_with("state: /proc/nowhere/s: "));
    assert!(refused("/dev/null", ample).starts_with("state: /dev/null: "));
}

#[test]
fn every_field_is_described() {
    let fields = fields();
    let paths: Vec<&str> = fields.iter().map(|field| field.path.as_str()).collect();
    for path in
        ["name", "limits.memory", "products[].repeat", "gateways[].weight", "list.most_taken_away", "ends.to"]
    {
        assert!(paths.contains(&path), "{path}");
    }
    assert!(fields.iter().all(|field| !field.about.is_empty()));
    let schema = schema("t", &fields);
    let repeat = &schema["properties"]["products"]["items"]["properties"]["repeat"];
    assert_eq!(repeat["enum"], serde_json::json!(["resendable", "referenced", "once-only"]));
    assert_eq!(schema["properties"]["limits"]["properties"]["slots"]["default"], 64);
    assert_eq!(schema["required"], serde_json::json!(["name", "state"]));
    assert_eq!(reference(&fields).lines().count(), fields.len() + 2);
}

#[test]
fn what_is_in_force_is_told_with_where_it_comes_from() {
    let installation = Installation::parse("f.toml", GOOD, Path::new("")).unwrap_or_else(|e| panic!("{e:?}"));
    let of = |path: &str| {
        let field = installation.fields.iter().find(|field| field.path == path).expect(path);
        (field.value.clone().unwrap_or_default(), field.line)
    };
    assert_eq!(of("products[0].repeat"), ("\"referenced\"".into(), Some(6)));
    assert_eq!(of("products[0].sla"), ("\"3s\"".into(), None));
    assert_eq!(of("limits.memory"), ("\"64MiB\"".into(), None));
}

#[test]
fn the_example_of_the_repository_is_sound() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/small.toml");
    let config = Installation::load(&path).and_then(Installation::config).unwrap_or_else(|e| panic!("{e:?}"));
    assert_eq!(config.known.members.len(), 2);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever stands in the file, it is read or complained about, at a place that is there.
    #[test]
    fn any_text_is_read_without_a_panic(
        text in "(\\PC|\n|\"|\\[|=){0,200}",
        cut in any::<prop::sample::Index>(),
        put in any::<prop::sample::Index>(),
    ) {
        let mut good = GOOD.to_owned();
        let at = good.floor_char_boundary(put.index(good.len()));
        let part = &text[..text.floor_char_boundary(cut.index(text.len() + 1))];
        good.insert_str(at, part);
        for text in [&text, &good] {
            if let Err(all) = Installation::parse("f", text, Path::new("")) {
                prop_assert!(!all.is_empty());
                prop_assert!(all.iter().all(|c| c.line <= text.matches('\n').count() + 1));
            }
        }
    }
}

/// Each key of a product is missed exactly where it is required, of the first product and of the last; whichever effect a product
/// has, with one zone and without.
#[test]
fn each_key_of_a_product_is_missed_exactly_where_it_is_required() {
    let keys = |repeat: &str, one_zone: bool| {
        [
            ("name", "name = \"receipt\"".to_owned()),
            ("repeat", format!("repeat = \"{repeat}\"")),
            ("memory", "memory = \"30s\"".into()),
            ("sla", "sla = \"3s\"".into()),
            ("validity", "validity = \"20s\"".into()),
            ("in_order", "in_order = true".into()),
            ("one_zone", format!("one_zone = {one_zone}")),
        ]
    };
    let other = "[[products]]\nname = \"other\"\nrepeat = \"resendable\"\n";
    let (before, gateways) = GOOD.split_once("[[products]]").expect("it has products");
    let gateways = &gateways[gateways.find("[[gateways]]").expect("it has gateways")..];
    for (repeat, one_zone) in
        ["resendable", "referenced", "once-only"].into_iter().flat_map(|r| [(r, true), (r, false)])
    {
        let keys = keys(repeat, one_zone);
        for left_out in [None].into_iter().chain(keys.iter().map(|(name, _)| Some(*name))) {
            let lines = keys.iter().filter(|(name, _)| Some(*name) != left_out);
            let product: String = lines.map(|(_, line)| format!("{line}\n")).collect();
            let product = format!("[[products]]\n{product}");
            for products in [format!("{product}{other}"), format!("{other}{product}")] {
                let text = format!("{before}{products}{gateways}");
                let parsed = Installation::parse("f.toml", &text, Path::new("/base"));
                let refused = parsed.and_then(Installation::config).err().unwrap_or_default();
                let refused: Vec<String> = refused.iter().map(Complaint::to_string).collect();
                match left_out.filter(|name| ["name", "repeat"].contains(name)) {
                    Some(name) => assert!(refused.iter().any(|e| e.contains(name)), "{name}: {refused:?}"),
                    None => assert!(refused.is_empty(), "{repeat} {left_out:?}: {refused:?}"),
                }
            }
        }
    }
}
