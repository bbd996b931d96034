//! A control process's copy on its disk: a whole snapshot, and a log of what came after it.
//!
//! Each line of either file is sealed with the fleet's key, over which snapshot and which place in the file it is of. A batch
//! of the log lasts once [`Copy::append`] returns; one that was cut off by a kill is the last, and is cut away at the next
//! start. Anything else that can't be read is damage: the copy is refused whole, with its place, and put aside, since a
//! relay can be told anew and half of a copy must never be served. A snapshot takes the place of the one before by a rename,
//! and begins a log of its own; what a kill leaves of either is never taken for the other.

use indigomast_assignment::catalog::{Position, Replica, Settings};
use indigomast_assignment::image::{Batch, Piece};
use indigomast_assignment::wire::{Fault, Kind};
use indigomast_keep::process::write_whole;
use indigomast_rollout::wire::{Secret, Way};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, BufWriter, ErrorKind, Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

const SNAPSHOT: &str = "copy";
const NEW: &str = "copy.new";
/// No line is longer: 512 records of the longest bodies take some 0.6 MB, a batch up to [`LONGEST_BATCH`].
const LONGEST: u64 = 64 << 20;
/// More records than these are written as a snapshot.
const LONGEST_BATCH: usize = 20_000;
/// A log as long as the snapshot, and no shorter than this, is worth a new snapshot.
const WORTH: u64 = 4 << 20;

const EPOCH: &str = "epoch";

/// The highest epoch that a process has heard of, which it must not forget: one that is promoted with it a second time, after
/// a restart, would be a second controller of that epoch (as a term in Raft, which is on the disk before it is acted upon).
pub struct Epochs {
    path: PathBuf,
    highest: u32,
}

impl Epochs {
    /// # Errors
    ///
    /// The file can't be read, or holds no number (`InvalidData`).
    pub fn open(folder: &Path) -> io::Result<Epochs> {
        let path = folder.join(EPOCH);
        let highest = match fs::read_to_string(&path) {
            Ok(text) => text.trim().parse().map_err(|e| {
                io::Error::new(ErrorKind::InvalidData, format!("{}: {e}: {text:?}", path.display()))
            })?,
            Err(e) if e.kind() == ErrorKind::NotFound => 0,
            Err(e) => return Err(e),
        };
        Ok(Epochs { path, highest })
    }

    pub fn highest(&self) -> u32 {
        self.highest
    }

    /// One is heard of; it lasts once this returns.
    ///
    /// # Errors
    ///
    /// The disk's; it counts in this life all the same.
    pub fn heard(&mut self, epoch: u32) -> io::Result<()> {
        if epoch <= self.highest {
            return Ok(());
        }
        self.highest = epoch;
        write_lasting(&self.path, epoch.to_string().as_bytes())
    }
}

/// Whole or not at all, also over a loss of power.
///
/// # Errors
///
/// The disk's.
pub fn write_lasting(path: &Path, bytes: &[u8]) -> io::Result<()> {
    write_whole(path, bytes)?;
    path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())
}

/// What was found at the start.
#[derive(Debug)]
pub enum Found {
    Nothing,
    Whole(Box<Replica>),
    /// Refused: which file and place, and what is wrong with it. It was put aside.
    Damaged(String),
}

/// The copy's files; one process at a time has them.
pub struct Copy {
    folder: PathBuf,
    name: String,
    secret: Secret,
    _lock: File,
    /// Which snapshot is in place, how long it is, and its log.
    generation: u64,
    snapshot: u64,
    log: Option<File>,
    lines: u64,
    length: u64,
    /// What the files hold.
    position: Option<Position>,
}

impl Copy {
    /// Finds what an earlier life left.
    ///
    /// # Errors
    ///
    /// The folder can't be used, another process has it (`ResourceBusy`), or its copy has another number of shards
    /// (`InvalidInput`), which is a mistake in the settings and no damage.
    pub fn open(
        folder: &Path,
        number: u32,
        secret: Secret,
        settings: &Settings,
    ) -> io::Result<(Copy, Found)> {
        fs::create_dir_all(folder)?;
        let lock = File::options().create(true).truncate(false).write(true).open(folder.join("lock"))?;
        lock.try_lock().map_err(|_| {
            io::Error::new(ErrorKind::ResourceBusy, "another process has this folder for its copy")
        })?;
        let mut copy = Copy {
            folder: folder.to_owned(),
            name: format!("assignment copy {number}"),
            secret,
            _lock: lock,
            generation: 0,
            snapshot: 0,
            log: None,
            lines: 0,
            length: 0,
            position: None,
        };
        // Of a snapshot that was never put in place.
        _ = fs::remove_file(folder.join(NEW));
        let found = match copy.read(settings) {
            Ok(Some(replica)) => {
                copy.position = Some(replica.position());
                Found::Whole(Box::new(replica))
            }
            Ok(None) => Found::Nothing,
            Err(Damage::Io(e)) => return Err(e),
            Err(Damage::At(place)) => {
                copy.put_aside()?;
                Found::Damaged(place)
            }
        };
        Ok((copy, found))
    }

    /// Up to where the files hold all.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    fn log_path(&self, generation: u64) -> PathBuf {
        self.folder.join(format!("log-{generation}"))
    }

    fn line_name(&self, file: &str, generation: u64, line: u64) -> String {
        format!("{} {file} {generation} {line}", self.name)
    }

    fn put_aside(&mut self) -> io::Result<()> {
        for entry in fs::read_dir(&self.folder)? {
            let path = entry?.path();
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            if name == SNAPSHOT || (name.starts_with("log-") && !name.ends_with(".damaged")) {
                fs::rename(&path, path.with_file_name(format!("{name}.damaged")))?;
            }
        }
        (self.generation, self.snapshot, self.log, self.lines, self.length) = (0, 0, None, 0, 0);
        self.position = None;
        self.sync_folder()
    }

    /// Logs of earlier snapshots, which a kill left.
    fn sweep(&self) -> io::Result<()> {
        let current = self.log_path(self.generation);
        for entry in fs::read_dir(&self.folder)? {
            let path = entry?.path();
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            if name.starts_with("log-") && !name.ends_with(".damaged") && path != current {
                fs::remove_file(&path)?;
            }
        }
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn read(&mut self, settings: &Settings) -> Result<Option<Replica>, Damage> {
        let path = self.folder.join(SNAPSHOT);
        let file = match File::open(&path) {
            Ok(file) => file,
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(None),
            Err(e) => return Err(e.into()),
        };
        self.snapshot = file.metadata()?.len();
        let mut lines = FileLines::new(file);
        let place = |lines: &FileLines, what: String| {
            Damage::At(format!("{}: line {}, byte {}: {what}", path.display(), lines.number, lines.begun))
        };
        let head = match lines.next()? {
            Some(Line::Whole(line)) => line,
            _ => return Err(place(&lines, "no whole first line".into())),
        };
        let generation = head.split_once(' ').and_then(|(number, _)| number.parse().ok());
        let (Some(generation), Some((_, head))) = (generation, head.split_once(' ')) else {
            return Err(place(&lines, "no generation".into()));
        };
        self.generation = generation;
        let mut first = Some(head.to_owned());
        let mut wrong = None;
        let replica = {
            let (lines, wrong) = (&mut lines, &mut wrong);
            let pieces = std::iter::from_fn(|| {
                let line = match first.take() {
                    Some(line) => line,
                    None => match lines.next() {
                        Ok(None) => return None,
                        Ok(Some(Line::Whole(line))) => line,
                        Ok(Some(Line::Cut)) => return Some(Err(damaged("the line is cut"))),
                        Err(e) => {
                            let what = e.to_string();
                            *wrong = Some(e);
                            return Some(Err(damaged(&what)));
                        }
                    },
                };
                let name = self.line_name(SNAPSHOT, generation, lines.number);
                Some(self.secret.open::<Piece>(Way::FromAgent, &name, &line).map_err(|e| damaged(&e)))
            });
            Replica::from_pieces(settings, pieces)
        };
        if let Some(e) = wrong {
            return Err(e.into());
        }
        let mut replica = replica.map_err(|fault| match fault.place.as_str() {
            "pieces[0].shards" => Damage::Io(io::Error::new(
                ErrorKind::InvalidInput,
                format!("the copy in state has {}", fault.wrong),
            )),
            _ => place(&lines, fault.to_string()),
        })?;
        self.read_log(&mut replica)?;
        self.sweep()?;
        Ok(Some(replica))
    }

    fn read_log(&mut self, replica: &mut Replica) -> Result<(), Damage> {
        let path = self.log_path(self.generation);
        let file = match File::options().read(true).append(true).open(&path) {
            Ok(file) => file,
            // Killed after the rename and before its log was begun.
            Err(e) if e.kind() == ErrorKind::NotFound => return Ok(()),
            Err(e) => return Err(e.into()),
        };
        let mut lines = FileLines::new(file.try_clone()?);
        loop {
            let line = match lines.next()? {
                None => break,
                Some(Line::Whole(line)) => line,
                Some(Line::Cut) => {
                    log::warn!(
                        "{}: the last line was cut off by a kill, {} bytes",
                        path.display(),
                        lines.at - lines.begun
                    );
                    file.set_len(lines.begun)?;
                    file.sync_all()?;
                    lines.at = lines.begun;
                    break;
                }
            };
            let name = self.line_name("log", self.generation, lines.number);
            let batch = self.secret.open::<Batch>(Way::FromAgent, &name, &line);
            let done = match batch {
                Ok(batch) => replica.take_in(&batch).map_err(|fault| fault.to_string()),
                // Blocks of one write reach a disk in any order: the last line may have its end and not its middle.
                Err(wrong) if wrong.contains("checksum") && lines.is_last()? => {
                    log::warn!("{}: the last line was torn by a kill: {wrong}", path.display());
                    file.set_len(lines.begun)?;
                    file.sync_all()?;
                    lines.at = lines.begun;
                    break;
                }
                Err(wrong) => Err(wrong),
            };
            if let Err(wrong) = done {
                let (line, byte) = (lines.number, lines.begun);
                return Err(Damage::At(format!("{}: line {line}, byte {byte}: {wrong}", path.display())));
            }
            self.lines = lines.number;
        }
        self.length = lines.at;
        self.log = Some(file);
        Ok(())
    }

    /// Whether this batch is better written as a snapshot of all.
    pub fn is_worth_a_snapshot(&self, batch: &Batch) -> bool {
        self.position.is_none()
            || self.length > self.snapshot.max(WORTH)
            || batch.records.len() > LONGEST_BATCH
            || self.generation == 0
    }

    /// Adds a batch that follows what the files hold; it lasts once this returns.
    ///
    /// # Errors
    ///
    /// The disk's; a snapshot has to be written then, since the end of the log isn't known.
    pub fn append(&mut self, batch: &Batch) -> io::Result<()> {
        if self.position != Some(batch.from) {
            return Err(io::Error::new(ErrorKind::InvalidInput, "the batch doesn't follow"));
        }
        let done = self.write(batch);
        match done {
            Ok(()) => self.position = Some(batch.through),
            // What is in the file beyond the last good line is not known: only a snapshot makes that good.
            Err(_) => self.position = None,
        }
        done
    }

    fn write(&mut self, batch: &Batch) -> io::Result<()> {
        let name = self.line_name("log", self.generation, self.lines + 1);
        let mut line = self.secret.seal(Way::FromAgent, &name, batch);
        line.push('\n');
        let file = match &mut self.log {
            Some(file) => file,
            None => {
                let path = self.log_path(self.generation);
                let file = File::options().create(true).append(true).open(path)?;
                self.sync_folder()?;
                self.log.insert(file)
            }
        };
        file.write_all(line.as_bytes())?;
        file.sync_data()?;
        self.lines += 1;
        self.length += line.len() as u64;
        Ok(())
    }

    /// Puts a whole copy in the place of what the files hold.
    ///
    /// # Errors
    ///
    /// The disk's; what was there before is still there.
    pub fn replace(&mut self, replica: &Replica) -> io::Result<()> {
        let generation = self.generation + 1;
        let new = self.folder.join(NEW);
        let length = self.write_new(&new, generation, replica).inspect_err(|_| _ = fs::remove_file(&new))?;
        // One of this number can only be what a life left that ended between two steps of this.
        _ = fs::remove_file(self.log_path(generation));
        fs::rename(&new, self.folder.join(SNAPSHOT))?;
        self.sync_folder()?;
        _ = fs::remove_file(self.log_path(self.generation));
        (self.generation, self.snapshot) = (generation, length);
        (self.log, self.lines, self.length) = (None, 0, 0);
        self.position = Some(replica.position());
        Ok(())
    }

    fn write_new(&self, path: &Path, generation: u64, replica: &Replica) -> io::Result<u64> {
        let mut file = BufWriter::new(File::create(path)?);
        let mut length = 0;
        for (at, piece) in replica.pieces().enumerate() {
            let name = self.line_name(SNAPSHOT, generation, at as u64 + 1);
            let line = self.secret.seal(Way::FromAgent, &name, &piece);
            let line = if at == 0 { format!("{generation} {line}\n") } else { line + "\n" };
            file.write_all(line.as_bytes())?;
            length += line.len() as u64;
        }
        file.into_inner().map_err(|e| e.into_error())?.sync_all()?;
        Ok(length)
    }
}

enum Damage {
    Io(io::Error),
    At(String),
}

impl From<io::Error> for Damage {
    fn from(e: io::Error) -> Damage {
        match e.kind() {
            // What was read and makes no sense is damage; a disk that doesn't answer is not.
            ErrorKind::InvalidData => Damage::At(e.to_string()),
            _ => Damage::Io(e),
        }
    }
}

fn damaged(what: &str) -> Fault {
    Fault { kind: Kind::Form, place: "line".into(), wrong: what.to_owned() }
}

enum Line {
    Whole(String),
    /// The file ends within it.
    Cut,
}

/// Lines of a file, with where they begin.
struct FileLines {
    file: BufReader<File>,
    /// Of the line read last, from 1 on; where it begins, and where it ends.
    number: u64,
    begun: u64,
    at: u64,
}

impl FileLines {
    fn new(file: File) -> FileLines {
        FileLines { file: BufReader::new(file), number: 0, begun: 0, at: 0 }
    }

    fn next(&mut self) -> io::Result<Option<Line>> {
        let mut bytes = Vec::new();
        let count = (&mut self.file).take(LONGEST).read_until(b'\n', &mut bytes)?;
        self.number += 1;
        (self.begun, self.at) = (self.at, self.at + count as u64);
        if count == 0 {
            return Ok(None);
        }
        if bytes.pop_if(|byte| *byte == b'\n').is_none() {
            return Ok(Some(Line::Cut));
        }
        // Bytes that are no text fail the checksum, as they should.
        Ok(Some(Line::Whole(String::from_utf8_lossy(&bytes).into_owned())))
    }

    fn is_last(&mut self) -> io::Result<bool> {
        let end = self.file.get_ref().metadata()?.len();
        debug_assert!(self.file.stream_position().is_ok_and(|at| at == self.at));
        _ = self.file.seek(SeekFrom::Start(self.at))?;
        Ok(self.at >= end)
    }
}
