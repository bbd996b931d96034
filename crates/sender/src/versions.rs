//! What versions of the program agree on: formats by number, and the floor below which nobody goes back.
//!
//! A folder outlasts the program that wrote it, and in a rolling change the version before may get it back. So each format
//! has a range of numbers that a program reads, and the *floor* of a folder says which number is written there: what every
//! version in the change can read. Only once a change is declared final is the floor raised, durably; from then on a
//! version that doesn't read it is refused before it touches anything. `docs/design/rollout.md` has what was weighed.

use crate::whole_file::{Lasting, replace};
use indigomast_site::Complaint;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{self, ErrorKind};
use std::path::Path;

const FLOOR: &str = "floor";
const HEAD: &str = "indigomast floor 1";
/// What a folder without a floor is at.
const FIRST: u32 = 1;

/// Of the program: its number, and what tells builds of one number apart, if the build said so.
pub const VERSION: &str = match option_env!("INDIGOMAST_BUILD") {
    Some(build) => build,
    None => env!("CARGO_PKG_VERSION"),
};

/// A format that outlasts the process, or that two processes speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Format {
    pub name: &'static str,
    /// The oldest and the newest that is read. What is written is the floor's.
    pub oldest: u32,
    pub newest: u32,
}

/// Those of this program.
pub const FORMATS: [Format; 2] =
    [Format { name: "journal", oldest: 1, newest: 1 }, Format { name: "estate", oldest: 1, newest: 1 }];

/// Which number of each format is written in a folder.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Floor(BTreeMap<String, u32>);

impl Floor {
    /// The floor of a folder; one that has none is at the first number of everything.
    ///
    /// # Errors
    ///
    /// The file is there and can't be read, with line and cause: to guess would be to write what others can't read.
    pub fn read(folder: &Path) -> Result<Floor, Complaint> {
        match fs::read_to_string(folder.join(FLOOR)) {
            Ok(text) => Floor::parse(&text).map_err(|e| format!("{FLOOR}: {e}")),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(Floor::default()),
            Err(e) => Err(format!("{FLOOR}: {e}")),
        }
    }

    fn parse(text: &str) -> Result<Floor, Complaint> {
        let body = text.strip_prefix(HEAD).and_then(|rest| rest.strip_prefix('\n'));
        let body = body.ok_or(format!("line 1: {HEAD:?} is wanted"))?;
        let (lines, sum) = body.rsplit_once("sum ").ok_or("no line with a sum: it was cut off")?;
        let told = u32::from_str_radix(sum.trim_end(), 16).ok();
        if told != Some(crc32fast::hash(lines.as_bytes())) {
            return Err("its sum is another: it was cut off or changed".into());
        }
        let mut floor = Floor::default();
        for (at, line) in lines.lines().enumerate() {
            let parts = line.split_once(' ').and_then(|(name, number)| Some((name, number.parse().ok()?)));
            let (name, number) = parts.ok_or(format!("line {}: {line:?} is no name and number", at + 2))?;
            floor.0.insert(name.to_owned(), number);
        }
        Ok(floor)
    }

    fn text(&self) -> String {
        let mut lines = String::new();
        for (name, number) in &self.0 {
            _ = writeln!(lines, "{name} {number}");
        }
        format!("{HEAD}\n{lines}sum {:08x}\n", crc32fast::hash(lines.as_bytes()))
    }

    /// The number that is written of a format.
    pub fn of(&self, format: &str) -> u32 {
        self.0.get(format).copied().unwrap_or(FIRST)
    }

    /// Whether a program with these formats may work in the folder.
    ///
    /// # Errors
    ///
    /// Which format it doesn't read, and whether it came too early or too late.
    pub fn admits(&self, formats: &[Format]) -> Result<(), Complaint> {
        if let Some(unknown) = self.0.keys().find(|name| formats.iter().all(|format| format.name != **name)) {
            return Err(format!("{FLOOR}: {unknown}: this program ({VERSION}) doesn't know that format"));
        }
        for Format { name, oldest, newest } in formats {
            let number = self.of(name);
            let reads = format!("this program ({VERSION}) reads {oldest} to {newest}");
            if number > *newest {
                let final_ = "a change was declared final, there is no way back below it";
                return Err(format!("{FLOOR}: {name} is at {number}, {reads}: {final_}"));
            }
            if number < *oldest {
                let between = "a version between has to be declared final first";
                return Err(format!("{FLOOR}: {name} is at {number}, {reads}: {between}"));
            }
        }
        Ok(())
    }

    /// The floor of a folder in which only programs with these formats, or later ones, are to work from now on. It
    /// lasts once this returns, and never goes down.
    ///
    /// # Errors
    ///
    /// It could not be made to last; the one before holds.
    pub fn raise(folder: &Path, formats: &[Format]) -> io::Result<Floor> {
        let mut floor = Floor::read(folder).map_err(io::Error::other)?;
        for format in formats {
            let number = floor.of(format.name).max(format.newest);
            floor.0.insert(format.name.to_owned(), number);
        }
        replace(folder, FLOOR, floor.text().as_bytes(), Lasting::Machine)?;
        Ok(floor)
    }
}

/// Tells configurations apart: a checksum of the file's bytes.
pub fn revision(text: &str) -> u32 {
    crc32fast::hash(text.as_bytes())
}

#[cfg(test)]
mod tests;
