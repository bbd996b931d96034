//! What the platform tells a sender, from the file that `ROUTER_CONFIG` names.

use crate::limits::{ClientRules, Grant, JournalRules, Limits};
use crate::list::{self, Listing};
use indigomast_site::{BootInfo, Complaint, Names, read};
use serde::Deserialize;
use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A sender that can't take on texts of this size is of no use.
const LEAST_BODY: usize = 1024;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub state: PathBuf,
    pub seed: u64,
    pub limits: Limits,
    pub site: Site,
    pub known: Listing,
}

/// The settings, and the names in them as indices.
pub struct Site {
    pub info: BootInfo,
    pub products: Names<String>,
    pub kinds: Names<String>,
    pub zones: Names<String>,
    pub connect_time: Duration,
    pub keeps_alive: Duration,
}

impl Site {
    pub fn keeps_order(&self, product: &str) -> bool {
        self.info.categories.iter().any(|category| category.name == product && category.in_order)
    }
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Grant,
    known: list::Page,
    settings: BootInfo,
    /// Not among what a platform sends; for installations of one's own.
    #[serde(default)]
    clients: ClientRules,
    #[serde(default)]
    journal: JournalRules,
}

impl Config {
    pub fn from_env() -> Result<Config, Complaint> {
        let variable = |name: &str| env::var(name).map_err(|e| format!("{name}: {e}"));
        let path = variable("ROUTER_CONFIG")?;
        let state = PathBuf::from(variable("ROUTER_STATE")?);
        if !state.is_dir() {
            return Err(format!("ROUTER_STATE: {} is no folder", state.display()));
        }
        let text = fs::read_to_string(&path).map_err(|e| format!("ROUTER_CONFIG: {path}: {e}"))?;
        Config::parse(&text, state).map_err(|e| format!("ROUTER_CONFIG: {e}"))
    }

    pub fn parse(text: &str, state: PathBuf) -> Result<Config, Complaint> {
        let file: File = read(text)?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed: {:?}: {e}", file.seed))?;
        let info = file.settings;
        let time = |ms: f64, field: &str| {
            let time = Duration::try_from_secs_f64(ms / 1000.0).ok().filter(|time| !time.is_zero());
            time.ok_or_else(|| format!("settings.ceilings.{field}: {ms} ms is no time"))
        };
        let site = Site {
            products: Names::of(info.categories.iter().map(|category| category.name.clone()).collect()),
            kinds: Names::of(info.kinds.clone()),
            zones: Names::of(info.localities.clone()),
            connect_time: time(info.ceilings.connect_timeout_ms, "connect-timeout-ms")?,
            keeps_alive: time(info.ceilings.keepalive_ms, "keepalive-ms")?,
            info,
        };
        for (field, value) in [
            ("settings.family-info.call-slots", site.info.family_info.call_slots),
            ("settings.ceilings.max-attempts", site.info.ceilings.max_attempts),
            ("settings.ceilings.most-held", site.info.ceilings.most_held),
            ("limits.sockets", file.limits.sockets),
        ] {
            if value == 0 {
                return Err(format!("{field}: 0 lets nothing through"));
            }
        }
        let names = site.info.categories.iter().map(|category| &category.name).chain(&site.info.localities);
        let longest_name = names.map(String::len).max().unwrap_or(0);
        let grant = Grant { submits: site.info.ceilings.max_attempts, longest_name, ..file.limits };
        let limits = Limits::of(grant).with_clients(file.clients).map_err(|e| format!("clients.{e}"))?;
        let limits = limits.with_journal(file.journal).map_err(|e| format!("journal.{e}"))?;
        if limits.body < LEAST_BODY {
            let (disk, body) = (file.limits.disk_mb, limits.body);
            return Err(format!(
                "limits.disk_mb: {disk} has room for texts of {body} bytes, {LEAST_BODY} are wanted"
            ));
        }
        let known = Listing::of(file.known, &site, &limits).map_err(|e| format!("known.{e}"))?;
        Ok(Config {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            state,
            seed,
            limits,
            site,
            known,
        })
    }
}
