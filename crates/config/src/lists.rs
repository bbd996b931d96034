//! What is in force of a list that is kept in files, decided without touching one.
//!
//! A change is read whole, checked whole and swapped whole. It counts once it has been found the same twice, some time
//! apart, and is whole by its own last line; whatever is wrong with it is told once, and the list before stays. One that
//! would take away more of the gateways than is usual is held back until it is confirmed.

use crate::gateways::{Gateway, Vocabulary, read_list};
use crate::reader::Complaint;
use indigomast::time::{Moment, Span};
use std::collections::{BTreeMap, BTreeSet};

/// A file each: its text, or why it can't be read.
pub type Files = BTreeMap<String, Result<String, String>>;

#[derive(Clone, Debug)]
pub struct Settings {
    pub words: Vocabulary,
    /// How long a change has to stay as it is.
    pub settle: Span,
    /// The part of the running gateways that a list may take away at once; 1 for any.
    pub most_taken_away: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    /// From now on.
    Swap(Vec<Gateway>),
    /// Not used, and why; the list before stays.
    Rejected(Vec<Complaint>),
    /// Not used until confirmed: it would take away so many of those that run.
    Held { gone: usize, of: usize },
    /// Something may have changed by then.
    LookAgain(Moment),
}

/// A sum of all that was found, by which it is known again.
type Sum = u64;

pub struct InForce {
    settings: Settings,
    running: Vec<Gateway>,
    /// What was last decided upon, and what is not settled yet.
    done: Option<Sum>,
    pending: Option<(Sum, Moment)>,
    held: Option<Vec<Gateway>>,
}

fn sum(files: &Files) -> Sum {
    let mut sums = (crc32fast::Hasher::new(), crc32fast::Hasher::new_with_initial(0x5a5a_5a5a));
    for (name, text) in files {
        let (tag, text) = match text {
            Ok(text) => (1u8, text),
            Err(what) => (2u8, what),
        };
        for part in [name.as_bytes(), &[0, tag], text.as_bytes(), &(text.len() as u64).to_le_bytes()] {
            sums.0.update(part);
            sums.1.update(part);
        }
    }
    u64::from(sums.0.finalize()) << 32 | u64::from(sums.1.finalize())
}

impl InForce {
    /// Takes a first list as it is: there is none before it to keep. What is wrong with it is told.
    pub fn begin(settings: Settings, files: &Files) -> Result<InForce, Vec<Complaint>> {
        let running = check(&settings, files)?;
        Ok(InForce { settings, running, done: Some(sum(files)), pending: None, held: None })
    }

    pub fn running(&self) -> &[Gateway] {
        &self.running
    }

    /// The files as they are now.
    pub fn seen(&mut self, now: Moment, files: &Files) -> Vec<Said> {
        let found = sum(files);
        if self.done == Some(found) {
            self.pending = None;
            return Vec::new();
        }
        let since = match self.pending {
            Some((pending, since)) if pending == found => since,
            _ => now,
        };
        self.pending = Some((found, since));
        if now.since(since) < self.settings.settle {
            return vec![Said::LookAgain(since + self.settings.settle)];
        }
        (self.pending, self.done, self.held) = (None, Some(found), None);
        match check(&self.settings, files) {
            Err(complaints) => vec![Said::Rejected(complaints)],
            Ok(list) => {
                let (gone, of) = self.taken_away(&list);
                if gone as f64 > self.settings.most_taken_away * of as f64 {
                    self.held = Some(list);
                    return vec![Said::Held { gone, of }];
                }
                self.running.clone_from(&list);
                vec![Said::Swap(list)]
            }
        }
    }

    /// Whoever is in charge says that what is held back is meant.
    pub fn confirmed(&mut self) -> Option<Said> {
        let list = self.held.take()?;
        self.running.clone_from(&list);
        Some(Said::Swap(list))
    }

    /// Of those that take calls now, how many a list would stop; one under another name at the same address goes on.
    fn taken_away(&self, list: &[Gateway]) -> (usize, usize) {
        let open: BTreeSet<_> =
            list.iter().filter(|g| !g.drained && g.weight > 0.0).map(|g| g.address).collect();
        let names: BTreeSet<_> =
            list.iter().filter(|g| !g.drained && g.weight > 0.0).map(|g| g.name.as_str()).collect();
        let before: Vec<_> = self.running.iter().filter(|g| !g.drained && g.weight > 0.0).collect();
        let stays = |g: &&&Gateway| open.contains(&g.address) || names.contains(g.name.as_str());
        (before.len() - before.iter().filter(stays).count(), before.len())
    }
}

/// All files together, as if they were one list.
fn check(settings: &Settings, files: &Files) -> Result<Vec<Gateway>, Vec<Complaint>> {
    let mut complaints = Vec::new();
    let mut list: Vec<Gateway> = Vec::new();
    let whole = |file: &str, what: String| Complaint {
        file: file.into(),
        line: 0,
        column: 0,
        field: String::new(),
        what,
    };
    if files.is_empty() {
        return Err(vec![whole("list", "there is no file".into())]);
    }
    let mut names: BTreeMap<String, &String> = BTreeMap::new();
    let mut addresses = BTreeMap::new();
    for (file, text) in files {
        let read = match text {
            Ok(text) => read_list(file, text, &settings.words),
            Err(what) => Err(vec![whole(file, what.clone())]),
        };
        match read {
            Err(wrong) => complaints.extend(wrong),
            Ok(gateways) => {
                for gateway in gateways {
                    if let Some(other) = names.insert(gateway.name.clone(), file) {
                        complaints.push(whole(file, format!("{:?} stands in {other} as well", gateway.name)));
                    } else if let Some(other) = addresses.insert(gateway.address, gateway.name.clone()) {
                        let what = format!("{} of {:?} is that of {other:?}", gateway.address, gateway.name);
                        complaints.push(whole(file, what));
                    }
                    list.push(gateway);
                }
            }
        }
    }
    let first = files.keys().next().expect("not empty");
    if list.len() > settings.words.most {
        complaints.push(whole(
            first,
            format!("{} gateways are more than limits.gateways, {}", list.len(), settings.words.most),
        ));
    }
    if complaints.is_empty() && list.is_empty() {
        complaints.push(whole(first, "no gateway is in it: nothing could be sent anywhere".into()));
    }
    if complaints.is_empty() { Ok(list) } else { Err(complaints) }
}
