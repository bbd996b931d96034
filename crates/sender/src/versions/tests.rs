use super::*;

const TWO: [Format; 2] =
    [Format { name: "journal", oldest: 1, newest: 2 }, Format { name: "estate", oldest: 1, newest: 1 }];
const LATER: [Format; 2] =
    [Format { name: "journal", oldest: 2, newest: 3 }, Format { name: "estate", oldest: 1, newest: 4 }];

fn folder(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("indigomast-floor-{name}-{}", std::process::id()));
    _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a folder");
    path
}

#[test]
fn a_version_goes_back_until_the_change_is_final_and_not_after() {
    let folder = folder("raise");
    let floor = Floor::read(&folder).expect("none");
    assert!(floor.admits(&FORMATS).is_ok() && floor.admits(&TWO).is_ok() && floor.of("journal") == 1);
    let skipped = floor.admits(&LATER).expect_err("it reads nothing so old");
    assert!(skipped.contains("journal is at 1") && skipped.contains("reads 2 to 3"), "{skipped}");
    let raised = Floor::raise(&folder, &TWO).expect("raised");
    assert_eq!(Floor::read(&folder).as_ref(), Ok(&raised));
    assert_eq!((raised.of("journal"), raised.of("estate")), (2, 1));
    let back = raised.admits(&FORMATS).expect_err("final");
    assert!(
        back.contains("journal is at 2") && back.contains("reads 1 to 1") && back.contains("no way back")
    );
    assert!(raised.admits(&LATER).is_ok());
    // Raised again by one that is behind, it stays.
    assert_eq!(Floor::raise(&folder, &FORMATS).expect("raised").of("journal"), 2);
    _ = fs::remove_dir_all(folder);
}

#[test]
fn a_floor_that_was_cut_off_or_changed_is_refused_whole_wherever() {
    let folder = folder("cut");
    let whole = Floor::raise(&folder, &TWO).expect("raised").text();
    let path = folder.join(FLOOR);
    for length in 0..whole.len() - 1 {
        fs::write(&path, &whole[..length]).expect("written");
        let complaint = Floor::read(&folder).expect_err("cut off");
        assert!(complaint.starts_with("floor: "), "{length}: {complaint}");
    }
    for at in 0..whole.len() - 1 {
        let mut bytes = whole.clone().into_bytes();
        bytes[at] ^= 4;
        fs::write(&path, &bytes).expect("written");
        assert!(Floor::read(&folder).is_err(), "byte {at}");
    }
    fs::write(&path, &whole).expect("written");
    assert!(Floor::read(&folder).is_ok());
    let unknown = Floor(BTreeMap::from([("shares".to_owned(), 1)])).admits(&TWO).expect_err("unknown");
    assert!(unknown.contains("shares"), "{unknown}");
    _ = fs::remove_dir_all(folder);
}
