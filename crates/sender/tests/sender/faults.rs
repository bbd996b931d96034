//! A daemon whose system calls fail on command, by a library that is loaded before the C library's.

use crate::common::*;
use std::fs::{self, File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Which calls fail. The numbers are those of the library.
#[derive(Clone, Copy, Debug)]
pub enum Call {
    Accept,
    Socket,
    Connect,
    /// `poll` and `epoll_wait`.
    Wait,
    /// `recv` and `send`, which then do nothing.
    Transfer,
    /// `recv` and `send` transfer a part of what they could.
    Short,
    /// A connection that the daemon opened breaks, and its `recv` or `send` says so.
    Break,
    /// Writes and syncs of files.
    FileWrite,
    /// A write of a file takes half of what it was given.
    HalfWrite,
    /// `clock_gettime` for the clock of the boot.
    BootClock,
}

const ERRNOS: usize = 16;
/// One rule in the file: how many of a thousand calls fail, with which numbers, and how many have.
const RULE: usize = 4 * (1 + ERRNOS + 1);
const RULES_AT: usize = 8;
const CALLS: usize = 10;

fn library() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/faults/faults.c");
        let built =
            Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("libfaults-{}.so", std::process::id()));
        let mut compiler = Command::new("cc");
        compiler.args(["-shared", "-fPIC", "-O2", "-o"]).arg(&built).arg(source);
        assert!(compiler.status().expect("a C compiler, which Rust links with").success());
        built
    })
}

/// What fails at a daemon, from the moment it is set.
pub struct Plan {
    file: File,
    path: PathBuf,
}

impl Plan {
    pub fn new(folder: &Folder) -> Plan {
        let path = folder.0.join("faults");
        fs::write(&path, vec![0; RULES_AT + CALLS * RULE]).expect("the folder is there");
        let file = OpenOptions::new().read(true).write(true).open(&path).expect("just made");
        Plan { file, path }
    }

    fn write(&self, at: usize, bytes: &[u8]) {
        self.file.write_all_at(bytes, at as u64).expect("a small file");
    }

    /// The wall clock is off by so much from now on.
    pub fn steps_clock(&self, millis: i64) {
        self.write(0, &millis.to_ne_bytes());
    }

    /// So many of a thousand calls fail from now on, each with one of these numbers.
    pub fn fails(&self, call: Call, per_mille: i32, errnos: &[i32]) {
        let at = RULES_AT + call as usize * RULE;
        let mut numbers = [0; ERRNOS];
        numbers[..errnos.len()].copy_from_slice(errnos);
        let bytes: Vec<u8> = numbers.iter().flat_map(|number: &i32| number.to_ne_bytes()).collect();
        self.write(at + 4, &bytes);
        self.write(at, &per_mille.to_ne_bytes());
    }

    pub fn heals(&self, call: Call) {
        self.write(RULES_AT + call as usize * RULE, &0i32.to_ne_bytes());
    }

    /// How many calls have failed so far.
    pub fn failed(&self, call: Call) -> i32 {
        let mut bytes = [0; 4];
        let at = RULES_AT + call as usize * RULE + 4 * (1 + ERRNOS);
        self.file.read_exact_at(&mut bytes, at as u64).expect("a small file");
        i32::from_ne_bytes(bytes)
    }

    /// The same program under this plan.
    pub fn binds(&self, mut command: Command) -> Command {
        command.env("LD_PRELOAD", library()).env("FAULTS", &self.path);
        command
    }
}

/// Linux numbers, as the manual pages of the calls name them.
pub mod errno {
    pub const EPERM: i32 = 1;
    pub const EINTR: i32 = 4;
    pub const EIO: i32 = 5;
    pub const EAGAIN: i32 = 11;
    pub const ENOMEM: i32 = 12;
    pub const EACCES: i32 = 13;
    pub const ENFILE: i32 = 23;
    pub const EMFILE: i32 = 24;
    pub const EINVAL: i32 = 22;
    pub const ENOSPC: i32 = 28;
    pub const EPROTO: i32 = 71;
    pub const EADDRNOTAVAIL: i32 = 99;
    pub const ENETDOWN: i32 = 100;
    pub const ENETUNREACH: i32 = 101;
    pub const ECONNABORTED: i32 = 103;
    pub const ECONNRESET: i32 = 104;
    pub const ENOBUFS: i32 = 105;
    pub const ETIMEDOUT: i32 = 110;
    pub const EHOSTUNREACH: i32 = 113;
}
use errno::*;

/// What a call can fail with for a moment though nothing is wrong with its connection.
pub const ACCEPT: [i32; 10] =
    [ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO, EPERM, ENETDOWN, EHOSTUNREACH, ENETUNREACH];
pub const SOCKET: [i32; 4] = [ENFILE, EMFILE, ENOBUFS, ENOMEM];
pub const CONNECT: [i32; 5] = [EADDRNOTAVAIL, ENETUNREACH, EAGAIN, EHOSTUNREACH, EACCES];
