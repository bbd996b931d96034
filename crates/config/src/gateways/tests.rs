use super::*;

fn words() -> Vocabulary {
    Vocabulary { kinds: vec!["office".into()], zones: vec!["a".into(), "b".into()], most: 3 }
}

fn gateway(rest: &str) -> String {
    format!("[[gateways]]\nname = \"g\"\naddress = \"127.0.0.1:9001\"\ndestination = 1\n{rest}")
}

#[test]
fn what_is_wrong_in_a_list_is_told_with_its_place() {
    let two = "[[gateways]]\nname = \"h\"\naddress = \"127.0.0.1:9001\"\ndestination = 2\n";
    let cases = [
        (gateway("zone = \"c\"\n"), "list:5:8: gateways[0].zone: \"c\" is no zone; there are a, b"),
        (gateway("wieght = 2\n"), "list:5:1: gateways[0].wieght: is not known; weight is"),
        (gateway("weight = -1\n"), "list:5:10: gateways[0].weight: -1 is not a number, 0 or more"),
        (gateway("weight = 0\n"), "list:1:1: gateways: all weights are 0: nothing could be sent anywhere"),
        (
            gateway("state = \"off\"\n"),
            "list:5:9: gateways[0].state: \"off\" is not \"running\" or \"drained\"",
        ),
        (
            gateway("") + two,
            "list:7:11: gateways[1].address: 127.0.0.1:9001 is that of \"g\": one gateway under two names",
        ),
        (
            gateway("") + &gateway(""),
            "list:6:8: gateways[1].name: \"g\" is the name of another one, in line 1",
        ),
        ("[[gateways]]\nname = \"g\"\ndestination = 1\n".into(), "list:1:1: gateways[0].address: is missing"),
        ("[[gateways]]\nname = \"g\naddress\n".into(), "list:2:"),
    ];
    for (text, expected) in cases {
        let complaints = read_list("list", &format!("{text}{END}\n"), &words()).expect_err(&text);
        let told: Vec<String> = complaints.iter().map(Complaint::to_string).collect();
        assert!(told.iter().any(|told| told.starts_with(expected)), "{expected}\n{told:#?}");
    }
    let all = gateway("zone = \"c\"\nweight = \"x\"\n") + two;
    assert_eq!(read_list("list", &format!("{all}{END}\n"), &words()).expect_err("three").len(), 3);
}

#[test]
fn no_beginning_of_a_list_passes_for_the_whole() {
    for text in [format!("{}{END}\n", gateway("weight = 10\n")), seal(&gateway("weight = 10\n"))] {
        assert_eq!(read_list("list", &text, &words()).expect("whole").len(), 1);
        for cut in 0..text.trim_end().len() {
            assert!(whole(&text[..cut]).is_err(), "{:?}", &text[..cut]);
        }
    }
    let sealed = seal(&gateway("weight = 10\n"));
    assert!(read_list("list", &sealed.replace("10", "11"), &words()).is_err());
    assert_eq!(seal(&sealed), sealed);
}
