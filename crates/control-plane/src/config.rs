//! What the two kinds of process are told, each from a TOML file of its own.

use indigomast::time::Span;
use indigomast_assignment::catalog::{MOST_OWNERS, Settings};
use indigomast_rollout::wire::Secret;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Shards at the most: eight for each of 16,000 senders, thirty-two times over.
const MOST_SHARDS: u32 = 1 << 22;

/// A control process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Control {
    /// Its place in `controls`.
    pub number: u32,
    /// Relays, agents, other controllers and orders all come here.
    pub listen: SocketAddr,
    /// How every control process is reached, itself included.
    pub controls: Vec<SocketAddr>,
    /// A file with the key that all of a fleet share.
    pub key: PathBuf,
    /// A folder for the copy.
    pub state: PathBuf,
    /// Fixed for the life of a fleet.
    pub shards: u32,
    /// Senders that serve a shard; 2.
    #[serde(default = "owners")]
    pub owners: usize,
    /// Changes of owners a second, but for shards that nobody serves; 600.
    #[serde(default = "moves_a_second")]
    pub moves_a_second: f64,
    /// Seconds for which a sender that has gone keeps its shards; 30.
    #[serde(default = "linger_s")]
    pub linger_s: f64,
    /// Agents served at once; 1,024.
    #[serde(default = "sessions")]
    pub sessions: usize,
}

/// An agent beside a sender.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// The sender's number.
    pub sender: u32,
    /// The daemon's discovery.
    pub listen: SocketAddr,
    /// Control processes, the preferred first.
    pub relays: Vec<SocketAddr>,
    pub key: PathBuf,
    /// A folder for its part as last in force.
    pub state: PathBuf,
    /// As every control process of the fleet has it.
    pub shards: u32,
    /// The platform, which takes its daemon's notices of texts' ends. Without one they are answered 503, and stay with the
    /// daemon, which keeps and repeats them.
    #[serde(default)]
    pub reports: Option<SocketAddr>,
}

fn owners() -> usize {
    Settings::default().owners
}

fn moves_a_second() -> f64 {
    Settings::default().moves_a_second
}

fn linger_s() -> f64 {
    Settings::default().linger.as_secs()
}

fn sessions() -> usize {
    1024
}

fn load<T: DeserializeOwned>(path: &Path) -> Result<T, String> {
    let shown = path.display();
    let text = fs::read_to_string(path).map_err(|e| format!("{shown}: {e}"))?;
    // One line: what the parser draws below it repeats the file.
    toml::from_str(&text).map_err(|e| {
        let line = e.span().map_or(0, |span| text[..span.start.min(text.len())].lines().count().max(1));
        let what = e.message().lines().collect::<Vec<_>>().join(" ");
        let field = e.span().and_then(|span| text[..span.start].lines().last().map(str::to_owned));
        let field =
            field.as_deref().and_then(|line| line.split_once('=')).map_or("", |(name, _)| name.trim());
        let field = if field.is_empty() { String::new() } else { format!("{field}: ") };
        format!("{shown}: line {line}: {field}{what}")
    })
}

/// Paths that are not whole are beside the file.
fn beside(file: &Path, paths: [&mut PathBuf; 2]) -> Result<(), String> {
    let folder = file.parent().unwrap_or(Path::new(""));
    for path in paths {
        *path = std::path::absolute(folder.join(&*path)).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(())
}

fn check_shards(shards: u32) -> Result<(), String> {
    if !(1..=MOST_SHARDS).contains(&shards) {
        return Err(format!("shards: {shards}, 1 to {MOST_SHARDS} may stand"));
    }
    Ok(())
}

/// Each can be reached, and none stands twice.
fn check_addresses(field: &str, addresses: &[SocketAddr]) -> Result<(), String> {
    if addresses.is_empty() || addresses.len() > 256 {
        return Err(format!("{field}: {} stand there, 1 to 256 may", addresses.len()));
    }
    for (at, address) in addresses.iter().enumerate() {
        if address.port() == 0 {
            return Err(format!("{field}[{at}]: {address} is no port to connect to"));
        }
        if addresses[..at].contains(address) {
            return Err(format!("{field}[{at}]: {address} stands twice"));
        }
    }
    Ok(())
}

/// # Errors
///
/// The file has too few bytes or can't be read.
pub fn secret(key: &Path) -> Result<Secret, String> {
    let bytes = fs::read(key).map_err(|e| format!("key: {}: {e}", key.display()))?;
    Secret::new(&bytes).map_err(|e| format!("key: {e}"))
}

impl Control {
    /// # Errors
    ///
    /// What is wrong, with the field.
    pub fn load(path: &Path) -> Result<Control, String> {
        let mut config: Control = load(path)?;
        beside(path, [&mut config.key, &mut config.state])?;
        config.check().map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(config)
    }

    fn check(&self) -> Result<(), String> {
        check_shards(self.shards)?;
        check_addresses("controls", &self.controls)?;
        if self.number as usize >= self.controls.len() {
            return Err(format!("number: {}, controls has {}", self.number, self.controls.len()));
        }
        if !(1..MOST_OWNERS).contains(&self.owners) {
            return Err(format!("owners: {}, 1 to {} may stand", self.owners, MOST_OWNERS - 1));
        }
        if !(self.moves_a_second > 0.0 && self.moves_a_second <= 1e6) {
            return Err(format!("moves_a_second: {}, above 0 to 1000000 may stand", self.moves_a_second));
        }
        if !(0.0..=86_400.0).contains(&self.linger_s) {
            return Err(format!("linger_s: {}, 0 to 86400 may stand", self.linger_s));
        }
        if !(1..=100_000).contains(&self.sessions) {
            return Err(format!("sessions: {}, 1 to 100000 may stand", self.sessions));
        }
        secret(&self.key).map(drop)
    }

    /// What the machines are told.
    pub fn settings(&self) -> Settings {
        Settings {
            shards: self.shards,
            owners: self.owners,
            moves_a_second: self.moves_a_second,
            linger: Span::from_millis(self.linger_s * 1000.0),
            ..Settings::default()
        }
    }
}

impl Agent {
    /// # Errors
    ///
    /// What is wrong, with the field.
    pub fn load(path: &Path) -> Result<Agent, String> {
        let mut config: Agent = load(path)?;
        beside(path, [&mut config.key, &mut config.state])?;
        config.check().map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(config)
    }

    fn check(&self) -> Result<(), String> {
        check_shards(self.shards)?;
        check_addresses("relays", &self.relays)?;
        if let Some(reports) = &self.reports {
            check_addresses("reports", std::slice::from_ref(reports))?;
        }
        if !self.listen.ip().is_loopback() {
            return Err(format!("listen: {}, a daemon beside it comes by loopback", self.listen));
        }
        secret(&self.key).map(drop)
    }
}
