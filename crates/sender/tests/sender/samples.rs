//! Folders of each earlier format, made by the program as it was then, are read by the program as it is.

use crate::common::*;
use indigomast_sender::text_journal::{self, AuxiliaryRecord};
use std::fs;
use std::path::{Path, PathBuf};

fn sample(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/samples").join(name)
}

fn copy(from: &Path, to: &Path) {
    for entry in fs::read_dir(from).expect("a sample").flatten() {
        let (path, there) = (entry.path(), to.join(entry.file_name()));
        if path.is_dir() {
            fs::create_dir_all(&there).expect("a folder");
            copy(&path, &there);
        } else {
            fs::copy(&path, &there).expect("copied");
        }
    }
}

/// What each sample holds: five texts, of which the last of two of one key was never sent.
const OWED: [(&str, &str, usize); 5] =
    [("f1", "free", 1), ("m1", "marked", 1), ("o1", "once", 1), ("q1", "queue", 1), ("q2", "queue", 0)];

#[test]
fn a_journal_of_format_1_is_read_to_the_last_field() {
    let folder = Folder::new();
    copy(&sample("journal-1"), &folder.state());
    let looked = text_journal::read_contents(&folder.state()).expect("it is read");
    assert_eq!(looked.unreadable, 0);
    assert_eq!(looked.auxiliary.iter().filter(|kept| matches!(kept, AuxiliaryRecord::Out { .. })).count(), 1);
    assert!(looked.auxiliary.contains(&AuxiliaryRecord::Out { endpoint: "e0".into() }));
    let owed: Vec<_> = looked.outstanding.values().collect();
    assert_eq!(owed.len(), OWED.len());
    for (owed, (id, product, submits)) in owed.into_iter().zip(OWED) {
        assert_eq!(
            (owed.info.id.as_str(), owed.info.product.as_str(), owed.submits()),
            (id, product, submits)
        );
        assert_eq!(owed.is_in_doubt(), submits > 0, "{id}");
        let key = (product == "queue").then_some("k");
        assert_eq!(
            (&owed.body[..], owed.info.key.as_deref(), owed.info.dest),
            (&b"hello"[..], key, 0),
            "{id}"
        );
        if ["marked", "queue"].contains(&product) {
            assert_eq!(owed.info.mark, Some(format!("mark-{id}")));
        }
    }
}

/// Also the log that came before the journal, which is carried over once.
#[test]
fn a_sender_started_on_a_folder_of_any_earlier_format_goes_on_with_what_it_owes() {
    for name in ["journal-1", "texts-log"] {
        let (endpoint, discovery, folder) = (Host::open(), Host::open(), Folder::new());
        copy(&sample(name), &folder.state());
        let config = config(&[member("e0", &endpoint, 0, "Ready")], discovery.address);
        let daemon = Daemon::start(&config, &folder);
        daemon.counts("resumed", OWED.len() as u64);
    }
}
