//! A store that forgets what was not synced, and fails where it is told to.

use crate::store::Store;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, ErrorKind};

/// What goes wrong at a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The call fails and changes nothing.
    Error(ErrorKind),
    /// A write takes so many bytes; a call that is none fails.
    Short(usize),
    /// From here on every call fails: the process, or the machine, is gone. A write takes so many bytes before.
    Cut(usize),
}

#[derive(Clone, Debug, Default)]
struct Inode {
    synced: Vec<u8>,
    now: Vec<u8>,
    /// Each write since the last sync: its place and its bytes; and where it was cut off.
    pending: Vec<Change>,
}

#[derive(Clone, Debug)]
enum Change {
    Write(usize, Vec<u8>),
    Truncate(usize),
}

impl Change {
    fn apply(&self, to: &mut Vec<u8>) {
        match self {
            Change::Write(at, bytes) => {
                // What lies before may have been lost: a hole reads as zeros.
                to.resize(to.len().max(at + bytes.len()), 0);
                to[*at..at + bytes.len()].copy_from_slice(bytes);
            }
            Change::Truncate(length) => to.truncate(*length),
        }
    }
}

#[derive(Clone, Debug)]
enum NameChange {
    Put(String, usize),
    Rename(String, String),
    Remove(String),
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, usize>) {
        match self {
            NameChange::Put(name, inode) => _ = names.insert(name.clone(), *inode),
            NameChange::Rename(from, to) => {
                if let Some(inode) = names.remove(from) {
                    names.insert(to.clone(), inode);
                }
            }
            NameChange::Remove(name) => _ = names.remove(name),
        }
    }
}

/// Files in memory. What was not synced may be lost, each write and each change of a name for itself.
#[derive(Clone, Debug, Default)]
pub struct Simulated {
    inodes: Vec<Inode>,
    synced_names: BTreeMap<String, usize>,
    names: BTreeMap<String, usize>,
    pending_names: Vec<NameChange>,
    /// Bytes that all files may hold together, if that is bounded.
    room: Option<usize>,
    calls: usize,
    faults: BTreeMap<usize, Fault>,
    cut: bool,
}

impl Simulated {
    pub fn new() -> Simulated {
        Simulated::default()
    }

    /// With room for so many bytes.
    pub fn with_room(bytes: usize) -> Simulated {
        Simulated { room: Some(bytes), ..Simulated::default() }
    }

    /// At the call with this number, counted from the store's beginning.
    pub fn fault(mut self, call: usize, fault: Fault) -> Simulated {
        self.faults.insert(call, fault);
        self
    }

    pub fn calls(&self) -> usize {
        self.calls
    }

    pub fn is_cut(&self) -> bool {
        self.cut
    }

    pub fn held(&self) -> usize {
        self.names.values().map(|inode| self.inodes[*inode].now.len()).sum()
    }

    /// Turns a bit, as a disk may.
    pub fn spoil(&mut self, name: &str, bit: usize) {
        let Inode { now, synced, .. } = &mut self.inodes[self.names[name]];
        for bytes in [now, synced] {
            if let Some(byte) = bytes.get_mut(bit / 8) {
                *byte ^= 1 << (bit % 8);
            }
        }
    }

    /// What the next process finds when this one was killed: everything.
    pub fn after_kill(&self) -> Simulated {
        let (names, inodes) = (self.names.clone(), self.inodes.clone());
        Simulated { names, inodes, cut: false, faults: BTreeMap::new(), calls: 0, ..self.clone() }
    }

    fn changes(&self) -> usize {
        self.inodes.iter().map(|inode| inode.pending.len()).sum::<usize>() + self.pending_names.len()
    }

    /// What the next process may find after a loss of power: each subset of what was not synced while that is up to
    /// `all` changes; beyond that none, all, each beginning, all but one and one alone.
    pub fn after_power_loss(&self, all: usize) -> Vec<Simulated> {
        let count = self.changes();
        let mut kept: BTreeSet<Vec<bool>> = BTreeSet::new();
        if count <= all {
            for set in 0..1usize << count {
                kept.insert((0..count).map(|at| set & 1 << at != 0).collect());
            }
        } else {
            for at in 0..=count {
                kept.insert((0..count).map(|n| n < at).collect());
                kept.insert((0..count).map(|n| n != at).collect());
                kept.insert((0..count).map(|n| n == at).collect());
            }
        }
        kept.iter().map(|kept| self.keeping(kept)).collect()
    }

    fn keeping(&self, kept: &[bool]) -> Simulated {
        let mut kept = kept.iter();
        let mut next = || *kept.next().expect("one for each change");
        let inodes = self.inodes.iter().map(|inode| {
            let mut bytes = inode.synced.clone();
            inode.pending.iter().filter(|_| next()).for_each(|change| change.apply(&mut bytes));
            Inode { synced: bytes.clone(), now: bytes, pending: Vec::new() }
        });
        let inodes = inodes.collect();
        let mut names = self.synced_names.clone();
        self.pending_names.iter().filter(|_| next()).for_each(|change| change.apply(&mut names));
        let synced_names = names.clone();
        Simulated { inodes, synced_names, names, room: self.room, ..Simulated::default() }
    }

    /// Counts a call; how many bytes of a write it lets through.
    fn call(&mut self, bytes: usize) -> io::Result<usize> {
        if self.cut {
            return Err(io::Error::other("the store is gone"));
        }
        self.calls += 1;
        match self.faults.get(&(self.calls - 1)) {
            None => Ok(bytes),
            Some(Fault::Error(kind)) => Err((*kind).into()),
            Some(Fault::Short(most)) if bytes > 0 => Ok(bytes.min((*most).max(1))),
            Some(Fault::Short(_)) => Err(ErrorKind::Other.into()),
            Some(Fault::Cut(most)) => {
                self.cut = true;
                Ok(bytes.min(*most))
            }
        }
    }

    /// For calls that change something but write nothing: a cut is before them.
    fn whole_call(&mut self) -> io::Result<()> {
        self.call(0)?;
        if self.cut { Err(io::Error::other("the store is gone")) } else { Ok(()) }
    }

    fn change_name(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.pending_names.push(change);
    }
}

impl Store for Simulated {
    type File = usize;

    fn list(&mut self) -> io::Result<Vec<String>> {
        self.whole_call()?;
        Ok(self.names.keys().cloned().collect())
    }

    fn create(&mut self, name: &str) -> io::Result<usize> {
        self.whole_call()?;
        self.inodes.push(Inode::default());
        let inode = self.inodes.len() - 1;
        self.change_name(NameChange::Put(name.to_owned(), inode));
        Ok(inode)
    }

    fn open(&mut self, name: &str) -> io::Result<usize> {
        self.whole_call()?;
        self.names.get(name).copied().ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn length(&mut self, file: &usize) -> io::Result<u64> {
        self.whole_call()?;
        Ok(self.inodes[*file].now.len() as u64)
    }

    fn append(&mut self, file: &mut usize, bytes: &[u8]) -> io::Result<usize> {
        let mut most = self.call(bytes.len())?;
        if let Some(room) = self.room {
            most = most.min(room.saturating_sub(self.held()));
            if most == 0 && !bytes.is_empty() {
                return Err(ErrorKind::StorageFull.into());
            }
        }
        let inode = &mut self.inodes[*file];
        let change = Change::Write(inode.now.len(), bytes[..most].to_vec());
        change.apply(&mut inode.now);
        inode.pending.push(change);
        if self.cut { Err(io::Error::other("the store is gone")) } else { Ok(most) }
    }

    fn read(&mut self, file: &mut usize, at: u64, into: &mut [u8]) -> io::Result<usize> {
        self.whole_call()?;
        let rest = self.inodes[*file].now.get(at as usize..).unwrap_or_default();
        let count = rest.len().min(into.len());
        into[..count].copy_from_slice(&rest[..count]);
        Ok(count)
    }

    fn truncate(&mut self, file: &mut usize, length: u64) -> io::Result<()> {
        self.whole_call()?;
        let inode = &mut self.inodes[*file];
        let change = Change::Truncate(length as usize);
        change.apply(&mut inode.now);
        inode.pending.push(change);
        Ok(())
    }

    fn sync(&mut self, file: &usize) -> io::Result<()> {
        self.whole_call()?;
        let inode = &mut self.inodes[*file];
        inode.synced = inode.now.clone();
        inode.pending.clear();
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.whole_call()?;
        self.synced_names = self.names.clone();
        self.pending_names.clear();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.whole_call()?;
        self.change_name(NameChange::Rename(from.to_owned(), to.to_owned()));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.whole_call()?;
        self.change_name(NameChange::Remove(name.to_owned()));
        Ok(())
    }
}
