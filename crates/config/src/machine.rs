//! Whether what an installation asks for is to be had on this machine.

use crate::installation::Installation;
use rustix::process::{Resource, getrlimit};
use std::fs;
use std::io;
use std::path::Path;

/// Whether a folder is there and can be written to, or could be made: tried in the nearest one that is there, and undone.
fn can_be_made(folder: &Path) -> io::Result<()> {
    let there = folder.ancestors().find(|folder| folder.exists()).unwrap_or(Path::new("."));
    let probe = there.join(format!(".indigomast-check-{}", std::process::id()));
    fs::create_dir(&probe)?;
    fs::remove_dir(&probe)
}

/// What the machine grants; none where it doesn't say.
#[derive(Clone, Copy, Debug, Default)]
pub struct Machine {
    pub descriptors: Option<u64>,
    pub memory: Option<u64>,
}

impl Machine {
    pub fn this() -> Machine {
        let memory = fs::read_to_string("/proc/meminfo").ok().and_then(|text| {
            let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
            line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok()
        });
        Machine { descriptors: getrlimit(Resource::Nofile).current, memory: memory.map(|kb| kb * 1024) }
    }

    /// What is asked for beyond it, which can't be run.
    pub fn refuses(&self, installation: &Installation) -> Vec<String> {
        let grant = installation.grant();
        let mut wrong = Vec::new();
        if let Some(most) = self.descriptors.filter(|most| *most < grant.sockets as u64) {
            wrong.push(format!(
                "limits.descriptors: {} are more than this process may open, {most}",
                grant.sockets
            ));
        }
        if let Some(most) = self.memory.filter(|most| *most >> 20 < grant.memory_mb) {
            wrong.push(format!(
                "limits.memory: {} MiB are more than this machine has, {}",
                grant.memory_mb,
                most >> 20
            ));
        }
        if let Err(e) = can_be_made(&installation.state) {
            wrong.push(format!("state: {}: {e}", installation.state.display()));
        }
        wrong
    }
}
