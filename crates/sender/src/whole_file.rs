//! Small files of the folder that lasts, each written whole or not at all, whenever the process ends.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

/// How surely a file is there once it is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lasting {
    /// It outlasts the process.
    Process,
    /// It outlasts a loss of power.
    Machine,
}

/// Puts these bytes in the place of what a file of the folder held.
///
/// # Errors
///
/// They could not be written; the file is as it was, or, where only its name could not be made to last, has them.
pub fn replace(folder: &Path, name: &str, bytes: &[u8], lasting: Lasting) -> io::Result<()> {
    let path = folder.join(format!("{name}.new"));
    let written = File::create(&path).and_then(|mut file| {
        file.write_all(bytes)?;
        if lasting == Lasting::Machine { file.sync_all() } else { Ok(()) }
    });
    let moved = written.and_then(|()| fs::rename(&path, folder.join(name)));
    if moved.is_err() {
        // On a full disk it would only take more room.
        _ = fs::remove_file(&path);
    }
    moved?;
    if lasting == Lasting::Machine { File::open(folder)?.sync_all() } else { Ok(()) }
}
