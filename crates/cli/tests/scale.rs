//! `indigomast lab scale` starts the program that measures, which stands beside it, and ends as that does.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Output};

fn scale(program: &Path, arguments: &[&str]) -> Output {
    Command::new(program).args(["lab", "scale"]).args(arguments).output().expect("it starts")
}

#[test]
fn arguments_and_the_end_are_passed_on_to_the_program_beside_it() {
    let folder = std::env::temp_dir().join(format!("indigomast-lab-scale-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let program = folder.join("indigomast");
    fs::copy(env!("CARGO_BIN_EXE_indigomast"), &program).expect("copied");

    let alone = scale(&program, &["--role", "owed"]);
    let said = String::from_utf8_lossy(&alone.stderr).into_owned();
    assert_eq!(alone.status.code(), Some(1), "{said}");
    assert!(said.contains("indigomast-scale"), "{said}");

    let beside = folder.join("indigomast-scale");
    fs::write(&beside, "#!/bin/sh\necho \"$@\"\n[ \"$4\" != nothing ]\n").expect("written");
    fs::set_permissions(&beside, fs::Permissions::from_mode(0o755)).expect("made to run");
    let arguments =
        ["--role", "owed", "--to", "1000", "--seed", "7", "--daemon", "/bin/none", "--json", "/tmp/out"];
    let well = scale(&program, &arguments);
    assert!(well.status.success(), "{well:?}");
    let said = String::from_utf8_lossy(&well.stdout).into_owned();
    assert_eq!(said.trim(), "--seed 7 --role owed --to 1000 --daemon /bin/none --json /tmp/out");
    let badly = scale(&program, &["--role", "nothing"]);
    assert_eq!(badly.status.code(), Some(1), "{badly:?}");
    fs::remove_dir_all(&folder).expect("it was there");
}
