//! The last endpoint list of a sender, saved for the next start.
//!
//! The list that a process is started with may be older than the last one that the previous process received,
//! and endpoints that stopped in between must not be called. So the state folder keeps the names of the
//! running endpoints and the time of that list. An endpoint that is not among them is used again only once a
//! newer list says that it runs.

use crate::list::ListedEndpoint;
use crate::log;
use crate::platform::Platform;
use crate::whole_file::{Lasting, replace};
use indigomast::api::Condition;
use indigomast::time::Moment;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The file's name in the state folder.
const FILE: &str = "list";
/// The first line, with the format's version.
const HEADER: &str = "indigomast-list 1";
/// Longest list of names in bytes. A longer one is saved without names; the next process then starts from the
/// list that it receives itself.
const MAX_NAMES_BYTES: usize = 64 << 10;

/// What one process saves for the next.
#[derive(Clone, Debug, PartialEq)]
pub struct SavedList {
    /// Revision of the last list.
    pub revision: u64,
    /// The discovery it came from; each discovery numbers revisions on its own.
    pub received_from: SocketAddr,
    /// The list was complete as of this time of the folder's clock.
    pub as_of: Moment,
    /// Whether a query has failed since.
    pub failed: bool,
    /// Names of the running endpoints.
    pub serving: BTreeSet<String>,
}

impl SavedList {
    /// Reads what the previous process saved; `None` if there is nothing or it is damaged.
    pub fn read(folder: &Path) -> Option<SavedList> {
        let text = fs::read_to_string(folder.join(FILE)).ok()?;
        let (body, sum) = text.strip_prefix(HEADER)?.strip_prefix('\n')?.rsplit_once("sum ")?;
        let sum = u32::from_str_radix(sum.trim_end(), 16).ok()?;
        if sum != crc32fast::hash(body.as_bytes()) {
            return None;
        }
        let mut lines = body.lines();
        let mut first = lines.next()?.split(' ');
        let revision = first.next()?.parse().ok()?;
        let received_from = first.next()?.parse().ok()?;
        let as_of = first.next()?.parse::<f64>().ok().filter(|at| at.is_finite())?;
        let failed = first.next()? == "failed";
        let serving = lines.map(str::to_owned).collect();
        Some(SavedList { revision, received_from, as_of: Moment::from_millis(as_of), failed, serving })
    }

    /// Replaces the file.
    ///
    /// # Errors
    ///
    /// The file could not be written; the previous one is unchanged.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let asked = if self.failed { "failed" } else { "answered" };
        let mut body =
            format!("{} {} {:?} {asked}\n", self.revision, self.received_from, self.as_of.as_millis());
        if self.serving.iter().map(|name| name.len() + 1).sum::<usize>() <= MAX_NAMES_BYTES {
            self.serving.iter().for_each(|name| _ = writeln!(body, "{name}"));
        }
        let sum = crc32fast::hash(body.as_bytes());
        replace(folder, FILE, format!("{HEADER}\n{body}sum {sum:08x}\n").as_bytes(), Lasting::Process)
    }

    /// Marks the endpoints of a list that were not running in this one as stopping, unless that list is
    /// newer. Returns whether this changed any.
    pub fn stop_missing(&self, members: &mut [ListedEndpoint], revision: u64, source: SocketAddr) -> bool {
        if source == self.received_from && revision > self.revision {
            return false;
        }
        let mut any = false;
        for member in members.iter_mut().filter(|member| !self.serving.contains(&member.name)) {
            any |= member.condition == Condition::Running;
            member.condition = Condition::Stopping;
        }
        any
    }
}

/// Saves the list of the running process for the next one.
pub struct ListSaver {
    folder: PathBuf,
    platform: Arc<Platform>,
    last: SavedList,
}

impl ListSaver {
    /// For a process that starts with a list of this revision and with what the previous process saved.
    pub fn new(folder: PathBuf, platform: Arc<Platform>, saved: Option<&SavedList>, known: u64) -> ListSaver {
        let received_from = platform.address();
        let none = SavedList {
            revision: known,
            received_from,
            as_of: Moment::default(),
            failed: false,
            serving: BTreeSet::new(),
        };
        let last = match saved {
            Some(saved) if saved.received_from == received_from => {
                SavedList { revision: saved.revision.max(known), ..saved.clone() }
            }
            Some(saved) => SavedList { as_of: saved.as_of, failed: saved.failed, ..none },
            None => none,
        };
        ListSaver { folder, platform, last }
    }

    /// Records the revision of a received list.
    pub fn record_revision(&mut self, revision: u64) {
        self.last.revision = revision;
    }

    /// Records as of when the list is complete and whether a query has failed since. Returns whether that has
    /// to be saved.
    pub fn record_confirmation(&mut self, as_of: Moment, failed: bool) -> bool {
        let changed = as_of > self.last.as_of || (failed && !self.last.failed);
        if changed {
            self.last.as_of = self.last.as_of.max(as_of);
            self.last.failed = failed;
        }
        changed
    }

    /// Saves the running endpoints together with what was recorded.
    pub fn save<'a>(&mut self, serving: impl Iterator<Item = &'a str>) {
        self.last.serving = serving.map(str::to_owned).collect();
        self.last.received_from = self.platform.address();
        if let Err(e) = self.last.write(&self.folder) {
            log!("the list can't be kept for the next start: {e}");
        }
    }
}

#[cfg(test)]
mod tests;
