//! What the platform tells a sender, from the file that `ROUTER_CONFIG` names.

use crate::figures::Ends;
use crate::limits::{ClientRules, Grant, JournalRules, Limits};
use crate::list::{self, EndpointList, ListSource};
use crate::notices::Reporter;
use crate::versions;
use indigomast_site::{BootInfo, Complaint, Names, parse_json, schema};
use rustix::process::{Resource, getrlimit};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeSet;
use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Callers at the second address, where there is one.
const CALLERS: usize = 12;

/// A sender that can't take on texts of this size is of no use.
const LEAST_BODY: usize = 1024;

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Where operators call; nowhere where there is none.
    pub control: Option<SocketAddr>,
    /// The descriptor of a listening socket that whoever starts processes holds for all of them. Without one the sender
    /// listens by itself, and no other process can take its place.
    pub passed: Option<String>,
    pub outside: Outside,
    pub state: PathBuf,
    pub seed: u64,
    pub limits: Limits,
    pub site: Site,
    pub known: EndpointList,
    /// What the file it came from says, but not its values.
    pub keys: Keys,
    /// Tells it from other files.
    pub revision: u32,
}

/// Where the list comes from, and who is told how texts ended.
pub enum Outside {
    /// The platform's discovery, which is told as well.
    Platform(SocketAddr),
    Own {
        source: Box<dyn ListSource>,
        reporter: Box<dyn Reporter>,
    },
}

/// The settings, and the names in them as indices.
pub struct Site {
    pub info: BootInfo,
    pub products: Names<String>,
    /// What a text of each product carries as its product, and how its ends are counted.
    pub references: Vec<String>,
    pub ends: Vec<Arc<Ends>>,
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
        for (at, category) in info.categories.iter().enumerate() {
            category.check().map_err(|e| format!("categories[{at}].{e}"))?;
            if info.categories[..at].iter().any(|before| before.name == category.name) {
                return Err(format!("categories[{at}].name: {:?} is there twice", category.name));
            }
        }
        let names: Vec<String> = info.categories.iter().map(|category| category.name.clone()).collect();
        Ok(Site {
            products: Names::from_list(names.clone()),
            ends: names.iter().map(|_| Arc::default()).collect(),
            references: names,
            kinds: Names::from_list(info.kinds.clone()),
            zones: Names::from_list(info.localities.clone()),
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

/// The site whose settings are in force. Whoever takes something on looks once and keeps to what it saw.
pub struct InForce(Mutex<Arc<Site>>);

impl InForce {
    pub fn new(site: Site) -> InForce {
        InForce(Mutex::new(Arc::new(site)))
    }

    pub fn get(&self) -> Arc<Site> {
        Arc::clone(&self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn put(&self, site: Arc<Site>) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = site;
    }
}

/// Which keys a file has outside of lists, by their paths. One that comes in its place and lacks some of them is cut short, whatever
/// is read of it: it is turned down as a whole. What the elements of lists have to have is said by [`schema`], of any file.
#[derive(Debug, Default)]
pub struct Keys(BTreeSet<String>);

impl Keys {
    fn of(file: &Value) -> Keys {
        let mut keys = Keys::default();
        keys.collect(file, "");
        keys
    }

    fn collect(&mut self, value: &Value, path: &str) {
        let Value::Object(fields) = value else { return };
        for (name, field) in fields {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            self.collect(field, &path);
            self.0.insert(path);
        }
    }

    /// What this file lacks that the one before it has.
    pub fn lacks(&self, before: &Keys) -> Option<String> {
        before.0.difference(&self.0).next().cloned()
    }
}

/// How many this process may have open, whatever it was granted. Shares of more than there are would promise to the list, the
/// notices and the log what clients have taken.
fn descriptors() -> usize {
    let most = getrlimit(Resource::Nofile).current;
    most.and_then(|most| usize::try_from(most).ok()).unwrap_or(usize::MAX)
}

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    control: Option<SocketAddr>,
    discovery: SocketAddr,
    seed: String,
    limits: Grant,
    known: list::ListResponse,
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
        // Two processes may read the same file and listen at two addresses.
        let control = match env::var("ROUTER_CONTROL") {
            Ok(control) => Some(control.parse().map_err(|e| format!("ROUTER_CONTROL: {control:?}: {e}"))?),
            Err(_) => None,
        };
        let config = Config::read(&text, state, control).map_err(|e| format!("ROUTER_CONFIG: {e}"))?;
        Ok(Config { passed: env::var("ROUTER_PASSED_SOCKET").ok(), ..config })
    }

    pub fn parse(text: &str, state: PathBuf) -> Result<Config, Complaint> {
        Config::read(text, state, None)
    }

    fn read(text: &str, state: PathBuf, control: Option<SocketAddr>) -> Result<Config, Complaint> {
        let file: File = parse_json(text)?;
        let whole: Value = parse_json(text)?;
        schema::check(&whole["settings"], &schema::SETTINGS).map_err(|e| format!("settings.{e}"))?;
        schema::check(&whole["known"], &[schema::MEMBERS]).map_err(|e| format!("known.{e}"))?;
        let control = control.or(file.control);
        let seed = u64::from_str_radix(&file.seed, 16).map_err(|e| format!("seed: {:?}: {e}", file.seed))?;
        let site = Site::of(file.settings).map_err(|e| format!("settings.{e}"))?;
        let callers = if control.is_some() { CALLERS } else { 0 };
        let grant = Grant { callers, sockets: file.limits.sockets.min(descriptors()), ..file.limits };
        let limits = site.limits(grant)?;
        let limits = limits.with_clients(file.clients).map_err(|e| format!("clients.{e}"))?;
        let limits = limits.with_journal(file.journal).map_err(|e| format!("journal.{e}"))?;
        let known = EndpointList::of(file.known, &site, &limits).map_err(|e| format!("known.{e}"))?;
        Ok(Config {
            name: file.name,
            listen: file.listen,
            control,
            passed: None,
            outside: Outside::Platform(file.discovery),
            state,
            seed,
            limits,
            site,
            known,
            keys: Keys::of(&whole),
            revision: versions::revision(text),
        })
    }

    /// Whether settings that change while a sender runs may change so; a complaint names the field. What can't be taken
    /// over by a process that runs is turned down with all the rest, or half of the file would be in force.
    pub fn follows(&self, earlier: &Site, keys: &Keys, listen: SocketAddr) -> Result<(), Complaint> {
        if let Some(key) = self.keys.lacks(keys) {
            return Err(format!("{key}: is missing, and was there before"));
        }
        if self.listen != listen {
            return Err(format!("listen: {} needs a new start", self.listen));
        }
        for (field, now, before) in
            [("kinds", &self.site.kinds, &earlier.kinds), ("localities", &self.site.zones, &earlier.zones)]
        {
            let same = now.len() == before.len() && (0..now.len()).all(|at| now.name(at) == before.name(at));
            if !same {
                return Err(format!("settings.{field}: others need a new start"));
            }
        }
        Ok(())
    }
}
