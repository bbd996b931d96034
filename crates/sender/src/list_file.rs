//! What a sender was told last of its list, kept for the lives to come.
//!
//! The list that a process is started with may be older than what the process before was told, and no endpoint that drained by
//! then may be called by it. So the folder that lasts keeps the names of the endpoints that served, and as of when: what is not among
//! them serves again once a list says so.

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

const FILE: &str = "list";
const HEAD: &str = "indigomast-list 1";
/// In bytes. What is longer is kept without names: the next life then serves by what it is told itself.
const MOST: usize = 64 << 10;

/// What one life leaves to the next.
#[derive(Clone, Debug, PartialEq)]
pub struct SavedList {
    pub revision: u64,
    /// Who told it: another discovery counts otherwise.
    pub told_by: SocketAddr,
    /// It held all that discovery had at this moment of the folder's clock.
    pub as_of: Moment,
    /// A question has failed since.
    pub failed: bool,
    pub serving: BTreeSet<String>,
}

impl SavedList {
    /// What the life before left; none where it left nothing that can be read.
    pub fn read(folder: &Path) -> Option<SavedList> {
        let text = fs::read_to_string(folder.join(FILE)).ok()?;
        let (body, sum) = text.strip_prefix(HEAD)?.strip_prefix('\n')?.rsplit_once("sum ")?;
        let sum = u32::from_str_radix(sum.trim_end(), 16).ok()?;
        if sum != crc32fast::hash(body.as_bytes()) {
            return None;
        }
        let mut lines = body.lines();
        let mut first = lines.next()?.split(' ');
        let revision = first.next()?.parse().ok()?;
        let told_by = first.next()?.parse().ok()?;
        let as_of = first.next()?.parse::<f64>().ok().filter(|at| at.is_finite())?;
        let failed = first.next()? == "failed";
        let serving = lines.map(str::to_owned).collect();
        Some(SavedList { revision, told_by, as_of: Moment::from_millis(as_of), failed, serving })
    }

    /// # Errors
    ///
    /// It could not be written; what was there before is there still.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let asked = if self.failed { "failed" } else { "answered" };
        let mut body = format!("{} {} {:?} {asked}\n", self.revision, self.told_by, self.as_of.as_millis());
        if self.serving.iter().map(|name| name.len() + 1).sum::<usize>() <= MOST {
            self.serving.iter().for_each(|name| _ = writeln!(body, "{name}"));
        }
        let sum = crc32fast::hash(body.as_bytes());
        replace(folder, FILE, format!("{HEAD}\n{body}sum {sum:08x}\n").as_bytes(), Lasting::Process)
    }

    /// Takes out of service those of a list that this life no longer knew as serving, unless the list is newer; whether there
    /// were any.
    pub fn stop_missing(&self, members: &mut [ListedEndpoint], revision: u64, listed_by: SocketAddr) -> bool {
        if listed_by == self.told_by && revision > self.revision {
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

/// Keeps the list of a life that runs for the next one.
pub struct ListSaver {
    folder: PathBuf,
    platform: Arc<Platform>,
    last: SavedList,
}

impl ListSaver {
    /// For a life that begins with a list of this revision, and with what the life before left.
    pub fn new(folder: PathBuf, platform: Arc<Platform>, left: Option<&SavedList>, known: u64) -> ListSaver {
        let told_by = platform.address();
        let none = SavedList {
            revision: known,
            told_by,
            as_of: Moment::default(),
            failed: false,
            serving: BTreeSet::new(),
        };
        let last = match left {
            Some(left) if left.told_by == told_by => {
                SavedList { revision: left.revision.max(known), ..left.clone() }
            }
            Some(left) => SavedList { as_of: left.as_of, failed: left.failed, ..none },
            None => none,
        };
        ListSaver { folder, platform, last }
    }

    /// A list with this revision was told.
    pub fn record_revision(&mut self, revision: u64) {
        self.last.revision = revision;
    }

    /// The list is whole as of this moment, and whether a question has failed since; whether that is news worth keeping.
    pub fn record_confirmation(&mut self, as_of: Moment, failed: bool) -> bool {
        let is_news = as_of > self.last.as_of || (failed && !self.last.failed);
        if is_news {
            self.last.as_of = self.last.as_of.max(as_of);
            self.last.failed = failed;
        }
        is_news
    }

    /// Writes down which endpoints serve now, beside what was told.
    pub fn save<'a>(&mut self, serving: impl Iterator<Item = &'a str>) {
        self.last.serving = serving.map(str::to_owned).collect();
        self.last.told_by = self.platform.address();
        if let Err(e) = self.last.write(&self.folder) {
            log!("the list can't be kept for the next start: {e}");
        }
    }
}

#[cfg(test)]
mod tests;
