use super::*;
use std::path::PathBuf;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("indigomast-clock-{}-{name}", std::process::id()));
    _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).expect("a folder for the test");
    path
}

fn booted(id: &str) -> BootClock {
    BootClock { id: id.into(), since_boot_ms: 5_000.0 }
}

#[test]
fn the_first_life_of_a_boot_says_how_all_of_them_count() {
    let (folder, boot) = (folder("lives"), booted("one"));
    let first = boot.origin_ms(&folder, 1e12);
    for stepped in [1e12 - 3.6e6, 1e12 + 3.6e6] {
        assert_eq!(boot.origin_ms(&folder, stepped), first);
    }
    // Nothing of it holds after another boot.
    let next = booted("two");
    assert!((next.origin_ms(&folder, 2e12) - first) > 9e11);
    assert!(boot.origin_ms(&folder, 1e12 + 5e6) > first + 4e6);
    fs::remove_dir_all(folder).expect("it was there");
}

#[test]
fn a_file_cut_off_at_any_byte_says_nothing() {
    let boot = booted("0a-1b");
    let text = boot.text(1_796_213_772_546.4);
    assert_eq!(boot.parse(&text), Some(1_796_213_772_546.4));
    for cut in 0..text.len() {
        assert_eq!(boot.parse(&text[..cut]), None, "cut at {cut}");
    }
}

#[test]
fn a_folder_that_can_not_be_written_is_tried_again() {
    let (folder, boot) = (folder("later"), booted("one"));
    fs::remove_dir_all(&folder).expect("just made");
    let first = boot.origin_ms(&folder, 1e12);
    fs::create_dir_all(&folder).expect("made again");
    let by = std::time::Instant::now() + Duration::from_secs(20);
    while !folder.join(FILE).exists() && std::time::Instant::now() < by {
        thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(boot.origin_ms(&folder, 3e12), first);
    fs::remove_dir_all(folder).expect("it was there");
}
