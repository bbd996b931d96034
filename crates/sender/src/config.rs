//! What the platform tells a sender, from the file that `ROUTER_CONFIG` names.

use crate::limits::{ClientRules, Grant, JournalRules, Limits};
use crate::list::{self, Listing, Source};
use crate::notices::Reporter;
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
    pub outside: Outside,
    pub state: PathBuf,
    pub seed: u64,
    pub limits: Limits,
    pub site: Site,
    pub known: Listing,
}

/// Where the list comes from, and who is told how texts ended.
pub enum Outside {
    /// The platform's discovery, which is told as well.
    Platform(SocketAddr),
    Own {
        source: Box<dyn Source>,
        reporter: Box<dyn Reporter>,
    },
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
    /// Checks what every carrier of a site has to have; a complaint names the field.
    pub fn of(info: BootInfo) -> Result<Site, Complaint> {
        let time = |ms: f64, field: &str| {
            let time = Duration::try_from_secs_f64(ms / 1000.0).ok().filter(|time| !time.is_zero());
            time.ok_or_else(|| format!("ceilings.{field}: {ms} ms is no time"))
        };
        for (field, value) in [
            ("family-info.call-slots", info.family_info.call_slots),
            ("ceilings.max-attempts", info.ceilings.max_attempts),
            ("ceilings.most-held", info.ceilings.most_held),
        ] {
            if value == 0 {
                return Err(format!("{field}: 0 lets nothing through"));
            }
        }
        Ok(Site {
            products: Names::of(info.categories.iter().map(|category| category.name.clone()).collect()),
            kinds: Names::of(info.kinds.clone()),
            zones: Names::of(info.localities.clone()),
            connect_time: time(info.ceilings.connect_timeout_ms, "connect-timeout-ms")?,
            keeps_alive: time(info.ceilings.keepalive_ms, "keepalive-ms")?,
            info,
        })
    }

    /// What is granted, as limits of a sender of this site.
    pub fn limits(&self, grant: Grant) -> Result<Limits, Complaint> {
        if grant.sockets == 0 {
            return Err("limits.sockets: 0 lets nothing through".into());
        }
        let names = self.info.categories.iter().map(|category| &category.name).chain(&self.info.localities);
        let longest_name = names.map(String::len).max().unwrap_or(0);
        let disk = grant.disk_mb;
        let limits = Limits::of(Grant { submits: self.info.ceilings.max_attempts, longest_name, ..grant });
        if limits.body < LEAST_BODY {
            let body = limits.body;
            return Err(format!(
                "limits.disk_mb: {disk} has room for texts of {body} bytes, {LEAST_BODY} are wanted"
            ));
        }
        Ok(limits)
    }

    /// How long a text is valid that asks for so many milliseconds, or for none.
    pub fn validity_ms(&self, product: &str, asked: Option<f64>) -> Option<f64> {
        let known = self.info.categories.iter().find(|category| category.name == product);
        match (asked, known.and_then(|category| category.validity_ms)) {
            (Some(asked), Some(most)) => Some(asked.min(most)),
            (asked, most) => asked.or(most),
        }
    }

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
        let site = Site::of(file.settings).map_err(|e| format!("settings.{e}"))?;
        let limits = site.limits(file.limits)?;
        let limits = limits.with_clients(file.clients).map_err(|e| format!("clients.{e}"))?;
        let limits = limits.with_journal(file.journal).map_err(|e| format!("journal.{e}"))?;
        let known = Listing::of(file.known, &site, &limits).map_err(|e| format!("known.{e}"))?;
        Ok(Config {
            name: file.name,
            listen: file.listen,
            outside: Outside::Platform(file.discovery),
            state,
            seed,
            limits,
            site,
            known,
        })
    }
}
