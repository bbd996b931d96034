use super::*;
use indigomast::api::{KindId, ZoneId};

const HERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8500);
const ELSEWHERE: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 8501);

fn last() -> SavedList {
    let serving = ["e1", "e2"].map(str::to_owned).into();
    SavedList {
        revision: 43,
        received_from: HERE,
        as_of: Moment::from_millis(1_000.5),
        failed: true,
        serving,
    }
}

fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("indigomast-list-file-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn listed(name: &str) -> ListedEndpoint {
    ListedEndpoint {
        name: name.into(),
        address: Some(HERE),
        dest: 0,
        kind: KindId(0),
        zone: ZoneId(0),
        units: 1.0,
        condition: Condition::Running,
    }
}

#[test]
fn what_one_life_leaves_the_next_reads() {
    let folder = folder("reads");
    assert_eq!(SavedList::read(&folder), None);
    last().write(&folder).expect("written");
    assert_eq!(SavedList::read(&folder), Some(last()));
    let text = fs::read_to_string(folder.join(FILE)).expect("there");
    fs::write(folder.join(FILE), &text[..text.len() - 20]).expect("written");
    assert_eq!(SavedList::read(&folder), None, "half of it");
    fs::remove_dir_all(folder).expect("ours");
}

#[test]
fn only_an_older_list_or_another_ones_is_overruled() {
    for (revision, by, overruled) in
        [(41, HERE, true), (43, HERE, true), (44, HERE, false), (99, ELSEWHERE, true)]
    {
        let mut members = ["e0", "e1"].map(listed);
        assert_eq!(last().stop_missing(&mut members, revision, by), overruled, "{revision} {by}");
        let expected = if overruled { Condition::Stopping } else { Condition::Running };
        assert_eq!(members[0].condition, expected);
        assert_eq!(members[1].condition, Condition::Running);
    }
}
