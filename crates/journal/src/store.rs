//! Where the files are: a folder of the real file system, or a simulated one.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// What the journal needs of a folder. Every call may fail, and a write may take a part only.
pub trait Store {
    type File;

    /// The names of all files.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// A new empty file, open for writing; what was under that name is gone.
    fn create(&mut self, name: &str) -> io::Result<Self::File>;
    /// A file that is there, open for reading, and for writing at its end.
    fn open(&mut self, name: &str) -> io::Result<Self::File>;
    fn length(&mut self, file: &Self::File) -> io::Result<u64>;
    /// Writes at the end; how many bytes it took, at least one.
    fn append(&mut self, file: &mut Self::File, bytes: &[u8]) -> io::Result<usize>;
    /// Reads at a place; how many bytes there were, 0 at the end.
    fn read(&mut self, file: &mut Self::File, at: u64, into: &mut [u8]) -> io::Result<usize>;
    fn truncate(&mut self, file: &mut Self::File, length: u64) -> io::Result<()>;
    /// What the file holds outlasts a loss of power from then on.
    fn sync(&mut self, file: &Self::File) -> io::Result<()>;
    /// Which files there are, and under which names, outlasts a loss of power from then on.
    fn sync_names(&mut self) -> io::Result<()>;
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    fn remove(&mut self, name: &str) -> io::Result<()>;

    fn append_all(&mut self, file: &mut Self::File, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.append(file, bytes) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => bytes = &bytes[count..],
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// A folder of the real file system, which no second process may use meanwhile.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
    /// Locked as long as it is open.
    _lock: File,
}

const LOCK: &str = "lock";

impl Folder {
    /// Made if it is not there. Fails with `ResourceBusy` where another process has it.
    pub fn open(path: &Path) -> io::Result<Folder> {
        fs::create_dir_all(path)?;
        Folder::locked(path, OpenOptions::new().create(true).truncate(false).write(true))
    }

    /// One that a journal has used before; nothing is made.
    pub fn open_used(path: &Path) -> io::Result<Folder> {
        Folder::locked(path, OpenOptions::new().write(true))
    }

    fn locked(path: &Path, options: &OpenOptions) -> io::Result<Folder> {
        let lock = options.open(path.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(Folder { path: path.to_owned(), _lock: lock }),
            Err(TryLockError::WouldBlock) => {
                Err(io::Error::new(ErrorKind::ResourceBusy, "another process uses this folder"))
            }
            Err(TryLockError::Error(e)) => Err(e),
        }
    }
}

impl Store for Folder {
    type File = File;

    fn list(&mut self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.path)?.map(|entry| Ok(entry?.file_name().into_string().ok()));
        let names: io::Result<Vec<Option<String>>> = names.collect();
        Ok(names?.into_iter().flatten().filter(|name| name != LOCK).collect())
    }

    fn create(&mut self, name: &str) -> io::Result<File> {
        // Not truncated as it is opened: that can't be asked for together with appending.
        let file = OpenOptions::new().read(true).append(true).create(true).open(self.path.join(name))?;
        file.set_len(0)?;
        Ok(file)
    }

    fn open(&mut self, name: &str) -> io::Result<File> {
        OpenOptions::new().read(true).append(true).open(self.path.join(name))
    }

    fn length(&mut self, file: &File) -> io::Result<u64> {
        Ok(file.metadata()?.len())
    }

    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<usize> {
        file.write(bytes)
    }

    fn read(&mut self, file: &mut File, at: u64, into: &mut [u8]) -> io::Result<usize> {
        file.read_at(into, at)
    }

    fn truncate(&mut self, file: &mut File, length: u64) -> io::Result<()> {
        file.set_len(length)
    }

    fn sync(&mut self, file: &File) -> io::Result<()> {
        file.sync_data()
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }
}
