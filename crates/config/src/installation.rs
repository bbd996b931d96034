//! An installation's file: what may stand in it, and what it comes to.

use crate::choice;
use crate::ends::{Callback, ToFile};
use crate::files::{Fixed, Place, Watched, listing};
use crate::gateways::{Gateway, Vocabulary, read_gateways};
use crate::lists::{self, InForce};
use crate::reader::{Complaint, Field, Section, Size, describe, read};
use indigomast_admission::Network;
use indigomast_sender::clock::span;
use indigomast_sender::config::{Config, Outside, Site};
use indigomast_sender::limits::{ClientRules, Durable, Grant, JournalRules, Limits};
use indigomast_sender::list::{EndpointList, ListSource};
use indigomast_sender::log::Format;
use indigomast_sender::notices::{HttpPoster, Reporter};
use indigomast_site::{
    BootInfo, Category, Ceilings, FamilyInfo, MembershipMode, Obligations, Repeat, WeightKind,
};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

choice! {
    /// What a second run of a text would do.
    Repeats, "\"resendable\", \"referenced\" or \"once-only\"" {
        Resendable = "resendable",
        Referenced = "referenced",
        OnceOnly = "once-only",
    }
}

choice! {
    /// What the weights of a list say of the calls a second that a gateway takes.
    Weights, "\"ignored\", \"rough\" or \"exact\"" {
        Ignored = "ignored",
        Rough = "rough",
        Exact = "exact",
    }
}

choice! {
    /// How surely a text that was taken on is kept.
    Kept, "\"process\", \"interval\" or \"batch\"" {
        Process = "process",
        Interval = "interval",
        Batch = "batch",
    }
}

choice! {
    /// Where the list of gateways comes from.
    From, "\"here\", \"files\" or \"platform\"" {
        Here = "here",
        Files = "files",
        Platform = "platform",
    }
}

choice! {
    /// Who is told how texts ended.
    Told, "\"file\", \"callback\" or \"platform\"" {
        File = "file",
        Callback = "callback",
        Platform = "platform",
    }
}

choice! {
    /// What a line of the log looks like.
    Lines, "\"plain\" or \"json\"" {
        Plain = "plain",
        Json = "json",
    }
}

choice! {
    /// What the log holds.
    Level, "\"warn\" or \"info\"" {
        Warn = "warn",
        Info = "info",
    }
}

/// How the daemon writes its log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LogSettings {
    pub lines: Lines,
    pub level: Level,
    pub lines_a_second: usize,
}

impl LogSettings {
    pub fn format(&self) -> Format {
        match self.lines {
            Lines::Plain => Format::Plain,
            Lines::Json => Format::Json,
        }
    }

    pub fn level(&self) -> log::LevelFilter {
        match self.level {
            Level::Warn => log::LevelFilter::Warn,
            Level::Info => log::LevelFilter::Info,
        }
    }
}

/// A file that was read and is sound by itself.
pub struct Installation {
    pub file: String,
    /// Tells the file from others.
    revision: u32,
    pub fields: Vec<Field>,
    pub log: LogSettings,
    pub state: PathBuf,
    name: String,
    listen: SocketAddr,
    seed: u64,
    settings: BootInfo,
    grant: Grant,
    most_gateways: usize,
    clients: ClientRules,
    journal: JournalRules,
    gateways: Vec<Gateway>,
    from: From,
    place: Place,
    poll: Duration,
    lists: lists::Settings,
    told: Told,
    ends_file: PathBuf,
    callback: SocketAddr,
    callback_path: String,
    platform: SocketAddr,
}

/// All fields that may stand in the file.
pub fn fields() -> Vec<Field> {
    describe(|section| _ = all(section, Path::new("")))
}

impl Installation {
    /// Reads the file; all that is wrong in it at once. Paths in it that are not whole are beside it.
    pub fn load(path: &Path) -> Result<Installation, Vec<Complaint>> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Installation::parse(&file, &text, path.parent().unwrap_or(Path::new(""))),
            Err(e) => {
                let what = e.to_string();
                Err(vec![Complaint { file, line: 0, column: 0, field: String::new(), what }])
            }
        }
    }

    pub fn parse(file: &str, text: &str, folder: &Path) -> Result<Installation, Vec<Complaint>> {
        let read = read(file, text, |section| all(section, folder));
        if !read.complaints.is_empty() {
            return Err(read.complaints);
        }
        let mut installation = read.value;
        (installation.file, installation.fields) = (file.to_owned(), read.fields);
        installation.revision = indigomast_sender::versions::revision(text);
        Ok(installation)
    }

    pub fn grant(&self) -> Grant {
        self.grant
    }

    /// The sender's configuration, its list read for the first time.
    pub fn config(self) -> Result<Config, Vec<Complaint>> {
        let file = self.file.clone();
        let complain = |what: String| {
            vec![Complaint { file: file.clone(), line: 0, column: 0, field: String::new(), what }]
        };
        let site = Site::of(self.settings).map_err(complain)?;
        let limits = site.limits(self.grant).map_err(complain)?;
        let limits = limits.with_clients(self.clients).map_err(|e| complain(format!("clients.{e}")))?;
        let limits = limits.with_journal(self.journal).map_err(|e| complain(format!("journal.{e}")))?;
        let limits = Limits {
            endpoints: self.most_gateways,
            log_lines_a_second: self.log.lines_a_second as u32,
            ..limits
        };
        let nobody = EndpointList { revision: 0, complete: true, members: Vec::new() };
        let (source, known): (Box<dyn ListSource>, EndpointList) = match self.from {
            From::Here => {
                let known = listing(0, &self.gateways);
                (Box::new(Fixed { gateways: self.gateways }), known)
            }
            From::Files => {
                // A complaint about a file as a whole doesn't say which field named it.
                let named = |complaint: Complaint| match complaint.field.is_empty() {
                    true => Complaint { field: "list.files".into(), ..complaint },
                    false => complaint,
                };
                let in_force = InForce::begin(self.lists, &self.place.look())
                    .map_err(|all| all.into_iter().map(named).collect::<Vec<_>>())?;
                let known = listing(0, in_force.running());
                (Box::new(Watched { place: self.place, in_force, poll: self.poll }), known)
            }
            From::Platform => {
                let outside = Outside::Platform(self.platform);
                let (name, listen, state, seed) = (self.name, self.listen, self.state, self.seed);
                let (control, passed, keys) = Default::default();
                return Ok(Config {
                    name,
                    listen,
                    control,
                    passed,
                    outside,
                    state,
                    seed,
                    limits,
                    site,
                    known: nobody,
                    keys,
                    revision: self.revision,
                });
            }
        };
        let post = HttpPoster::new(Arc::new(limits.clone()));
        let reporter: Box<dyn Reporter> = match self.told {
            Told::File => Box::new(ToFile { path: self.ends_file }),
            Told::Callback => Box::new(Callback { address: self.callback, path: self.callback_path, post }),
            Told::Platform => unreachable!("only beside the platform's list"),
        };
        let outside = Outside::Own { source, reporter };
        let (name, listen, state, seed) = (self.name, self.listen, self.state, self.seed);
        let (control, passed, keys) = Default::default();
        Ok(Config {
            name,
            listen,
            control,
            passed,
            outside,
            state,
            seed,
            limits,
            site,
            known,
            keys,
            revision: self.revision,
        })
    }
}

/// Everything that the file may say, in the order of the reference page.
fn all(top: &Section, folder: &Path) -> Installation {
    let beside = |path: PathBuf| folder.join(path);
    let name = top.required("name", String::new(), "what this sender is called, in its log");
    let state = beside(top.required(
        "state",
        PathBuf::from("."),
        "the folder that outlasts the process; the journal is in it",
    ));
    let listen = top.or("listen", SocketAddr::from(([127, 0, 0, 1], 8443)), "where clients hand texts in");
    let seed: Option<String> =
        top.optional("seed", "sixteen hexadecimal digits, from which all chance comes; else from the clock");
    let number = seed.as_ref().map(|digits| u64::from_str_radix(digits, 16));
    top.demand("seed", !matches!(number, Some(Err(_))), || "is not up to sixteen hexadecimal digits".into());
    let zones = top.or("zones", vec!["here".to_owned()], "names of the zones that gateways are in");
    distinct(top, "zones", &zones);

    let limits = top.section("limits");
    let memory = limits.or("memory", Size(64 << 20), "what all texts and connections may take");
    limits.demand("memory", memory.0 >= 16 << 20, || "has to be 16MiB or more".into());
    let disk = limits.or("disk", Size(64_000_000), "what the journal may take");
    limits.demand("disk", disk.0 >= 200_000, || "has to be 200KB or more".into());
    let descriptors = limits.or("descriptors", 1024usize, "sockets and files that may be open at once");
    limits.demand("descriptors", descriptors >= 64, || "has to be 64 or more".into());
    let texts = limits.or("texts", 2000usize, "texts that are held at once; more are answered 503");
    let slots = limits.or("slots", 64usize, "calls to gateways that may be out at once");
    let submits = limits.or("submits", 6usize, "submits of one text at the most, up to 6");
    for (field, value) in [("texts", texts), ("slots", slots), ("submits", submits)] {
        limits.demand(field, value > 0, || "0 lets nothing through".into());
    }
    limits.demand("submits", submits <= 6, || format!("{submits} are more than 6"));
    let most_gateways = limits.or("gateways", 4096usize, "gateways that a list may name");
    limits.demand("gateways", (1..=100_000).contains(&most_gateways), || "has to be 1 to 100000".into());
    drop(limits);

    let calls = top.section("calls");
    let connect =
        calls.or("connect", Duration::from_millis(1500), "how long a connection to a gateway may take");
    let keeps_alive = calls.or(
        "keeps_alive",
        Duration::from_secs(10),
        "after so long at rest a gateway shuts a connection",
    );
    for (field, value) in [("connect", connect), ("keeps_alive", keeps_alive)] {
        calls.demand(field, !value.is_zero(), || "0 is no time".into());
    }
    let come_back = calls.or(
        "come_back",
        Duration::from_secs(30),
        "the longest time to come back that a nack may name; 0s for none",
    );
    let rest = calls.or(
        "rest_after_doubt",
        Duration::from_millis(100),
        "how long a key rests after a text that may still run",
    );
    let cold_share = calls.or(
        "cold_share",
        0.2,
        "what a gateway takes as it comes back, as a part of what it takes when warm",
    );
    calls.demand("cold_share", cold_share <= 1.0, || format!("{cold_share} is more than 1"));
    let cold = calls.or("cold", Duration::from_secs(10), "how long it takes to be warm");
    let tip = calls.or("tip_multiple", 2.0, "so many times what it takes would push a cold one over");
    calls.demand("tip_multiple", tip >= 1.0, || format!("{tip} is less than 1"));
    drop(calls);

    let kinds = kinds(top);
    let products = products(top);
    let clients = clients(top);

    let section = top.section("journal");
    let kept = section.or(
        "durability",
        Kept::Batch,
        "what outlasts what: a kill (process), a loss of power but for the last interval, or both (batch)",
    );
    let interval = section.or("interval", Duration::from_millis(100), "between two syncs with \"interval\"");
    section.demand("interval", !interval.is_zero() && interval.as_secs() < 60, || {
        "has to be over 0 and under 1m".into()
    });
    drop(section);

    let list = top.section("list");
    let from = list.or(
        "from",
        From::Here,
        "the list of gateways stands here, in files of its own, or comes from the platform",
    );
    let weights =
        list.or("weights", Weights::Ignored, "what weights say of the calls a second that a gateway takes");
    let files: Option<PathBuf> = list.optional("files", "a file, or a folder of them, that is watched");
    let poll = list.or(
        "poll",
        Duration::from_millis(250),
        "how often the files are looked at, beside when the system says that they changed",
    );
    list.demand("poll", (10..=700).contains(&poll.as_millis()), || {
        "has to be 10ms to 700ms: a drain counts within 1 s".into()
    });
    let settle = list.or("settle", Duration::from_millis(100), "how long a change has to stay as it is");
    list.demand("settle", settle.as_millis() <= 250, || {
        "has to be 250ms or less: a drain counts within 1 s".into()
    });
    let most_taken_away = list.or(
        "most_taken_away",
        0.5,
        "the part of the running gateways that a change may take away unconfirmed; 1 for any",
    );
    list.demand("most_taken_away", most_taken_away <= 1.0, || format!("{most_taken_away} is more than 1"));
    let platform: Option<SocketAddr> = list.optional("platform", "the platform's discovery");
    list.demand("from", from != From::Files || files.is_some(), || "\"files\" needs list.files".into());
    list.demand("from", from != From::Platform || platform.is_some(), || {
        "\"platform\" needs list.platform".into()
    });
    drop(list);

    let words = Vocabulary {
        kinds: kinds.iter().map(|kind| kind.0.clone()).collect(),
        zones: zones.clone(),
        most: most_gateways,
    };
    let gateways = read_gateways(top, &words);
    match from {
        From::Here => top.demand("gateways", !gateways.is_empty(), || {
            "there is none: write [[gateways]], or list.from".into()
        }),
        _ => top.demand("gateways", gateways.is_empty(), || {
            "stand here, but list.from says that they come from elsewhere".into()
        }),
    }

    let ends = top.section("ends");
    let default = if from == From::Platform { Told::Platform } else { Told::File };
    let told = ends.or("to", default, "who is told how texts ended");
    let ends_file =
        beside(ends.or("file", PathBuf::from("ends.jsonl"), "a line for each end, with \"file\""));
    let callback: Option<SocketAddr> =
        ends.optional("address", "a program that answers 200 to each, with \"callback\"");
    let callback_path = ends.or("path", "/ends".to_owned(), "the path of its requests");
    ends.demand(
        "path",
        callback_path.starts_with('/') && callback_path.bytes().all(|b| b.is_ascii_graphic()),
        || "has to begin with / and have no blanks".into(),
    );
    ends.demand("to", told != Told::Callback || callback.is_some(), || {
        "\"callback\" needs ends.address".into()
    });
    ends.demand("to", (told == Told::Platform) == (from == From::Platform), || {
        "the platform is told where the list comes from it, and only there".into()
    });
    drop(ends);

    let section = top.section("log");
    let log = LogSettings {
        lines: section.or("lines", Lines::Plain, "what a line looks like"),
        level: section.or("level", Level::Info, "with \"info\" a line for each text that was given up"),
        lines_a_second: section.or("lines_a_second", 20usize, "more are counted and left out"),
    };
    section.demand("lines_a_second", (1..=10_000).contains(&log.lines_a_second), || {
        "has to be 1 to 10000".into()
    });
    drop(section);

    let ms = |time: Duration| time.as_secs_f64() * 1000.0;
    let settings = BootInfo {
        group_size: 1,
        ordinal: 0,
        categories: products,
        kinds: kinds.iter().map(|kind| kind.0.clone()).collect(),
        localities: zones,
        family_info: FamilyInfo {
            turned_away_price: 0.0,
            report_x0: None,
            call_slots: slots,
            kind_batch: kinds.iter().map(|kind| kind.1).collect(),
            routes_apart: kinds.iter().map(|kind| kind.2).collect(),
        },
        membership_mode: MembershipMode::Automatic,
        obligations: Obligations {
            cold_share,
            cold_ms: ms(cold),
            tip_multiple: tip,
            must_ask_in_ms: 0.0,
            drain_grace_ms: 0.0,
            settle_after_doubt_ms: ms(rest),
        },
        ceilings: Ceilings {
            max_attempts: submits,
            connect_timeout_ms: ms(connect),
            keepalive_ms: ms(keeps_alive),
            most_held: texts,
            cancel: true,
            retry_after: !come_back.is_zero(),
            max_retry_after_ms: ms(come_back),
        },
        tick_ms: 5.0,
        weight_kind: match weights {
            Weights::Ignored => WeightKind::Silent,
            Weights::Rough => WeightKind::Rough,
            Weights::Exact => WeightKind::Nominal,
        },
    };
    let clock = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let nowhere = SocketAddr::from(([0, 0, 0, 0], 0));
    Installation {
        file: String::new(),
        revision: 0,
        fields: Vec::new(),
        log,
        state,
        name,
        listen,
        seed: number.and_then(Result::ok).unwrap_or(clock.as_nanos() as u64),
        settings,
        grant: Grant::new(memory.0 >> 20, descriptors, disk.0 as f64 / 1e6),
        most_gateways,
        clients,
        journal: JournalRules {
            durability: match kept {
                Kept::Process => Durable::Process,
                Kept::Interval => Durable::Interval,
                Kept::Batch => Durable::Batch,
            },
            interval_ms: ms(interval),
        },
        gateways,
        from,
        place: Place { path: beside(files.unwrap_or_default()), most_bytes: 64 << 20 },
        poll,
        lists: lists::Settings { words, settle: span(settle), most_taken_away },
        told,
        ends_file,
        callback: callback.unwrap_or(nowhere),
        callback_path,
        platform: platform.unwrap_or(nowhere),
    }
}

fn distinct(section: &Section, field: &'static str, names: &[String]) {
    section.demand(field, !names.is_empty(), || "there has to be one".into());
    let twice = names.iter().enumerate().find(|(at, name)| names[..*at].contains(name));
    if let Some((_, name)) = twice {
        section.complain(field, format!("{name:?} is there twice"));
    }
}

/// Name, texts a call, whether each zone has a route of its own.
fn kinds(top: &Section) -> Vec<(String, usize, bool)> {
    let mut kinds: Vec<(String, usize, bool)> = Vec::new();
    for kind in top.sections("kinds") {
        let name = kind.required("name", String::new(), "what it is called");
        let texts = kind.or("texts_per_call", 1usize, "texts that one call carries at most");
        kind.demand("texts_per_call", (1..=1000).contains(&texts), || "has to be 1 to 1000".into());
        let apart = kind.or(
            "routes_apart",
            false,
            "whether an outage of one of its gateways says nothing of the others",
        );
        kind.demand("name", !kinds.iter().any(|(before, ..)| *before == name), || {
            format!("{name:?} is there twice")
        });
        kinds.push((name, texts, apart));
    }
    if kinds.is_empty() {
        kinds.push(("gateway".into(), 1, false));
    }
    kinds
}

fn products(top: &Section) -> Vec<Category> {
    let mut products: Vec<Category> = Vec::new();
    for product in top.sections("products") {
        let name = product.required(
            "name",
            String::new(),
            "the last part of the path to which its texts are posted",
        );
        let plain = !name.is_empty() && name.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b));
        product.demand("name", plain, || "has to be letters, digits, - and _".into());
        product.demand("name", !["up", "alive", "counters"].contains(&&*name), || {
            format!("/{name} is the sender's own")
        });
        product.demand("name", !products.iter().any(|before| before.name == name), || {
            format!("{name:?} is there twice")
        });
        let sla = product.or("sla", Duration::from_secs(3), "the time within which a text is worth most");
        product.demand("sla", !sla.is_zero(), || "0 is no time".into());
        let validity = product.or(
            "validity",
            Duration::from_secs(24),
            "the longest time a text may ask for by X-Timeout-Ms, and what it has without",
        );
        product.demand("validity", validity >= sla, || "has to be sla or more".into());
        let repeat = product.required("repeat", Repeats::OnceOnly, "what a second run of a text would do");
        let memory = product.or(
            "memory",
            Duration::from_secs(15),
            "how long a receiver knows the mark of a referenced text",
        );
        let one_zone =
            product.or("one_zone", false, "whether only the gateways of one zone share that memory");
        let in_order = product.or("in_order", false, "whether texts of one key go one after the other");
        product
            .demand("memory", repeat != Repeats::Referenced || !memory.is_zero(), || "0 is no time".into());
        products.push(Category {
            name,
            objective_ms: sla.as_secs_f64() * 1000.0,
            deadline_ms: None,
            repeat: match repeat {
                Repeats::Resendable => Repeat::ReadLike,
                Repeats::Referenced => Repeat::IdempotencyKey,
                Repeats::OnceOnly => Repeat::NonIdempotent,
            },
            group: Some(if one_zone { "zone" } else { "all" }.to_owned()),
            window_ms: memory.as_secs_f64() * 1000.0,
            in_order,
            validity_ms: Some(validity.as_secs_f64() * 1000.0),
        });
    }
    top.demand("products", !products.is_empty(), || "there is none: write [[products]]".into());
    products
}

fn clients(top: &Section) -> ClientRules {
    let section = top.section("clients");
    let rules = ClientRules::default();
    let named: Vec<String> =
        section.or("named", Vec::new(), "clients known from the start, as \"10.4.0.0/16\" or an address");
    let mut networks: Vec<Network> = Vec::new();
    for name in named {
        match name.parse() {
            Ok(network) => networks.push(network),
            Err(e) => section.complain("named", format!("{name:?}: {e}")),
        }
    }
    let known_for = section.or(
        "known_for",
        Duration::from_secs(3600),
        "how long a client is known after a text of it was taken on",
    );
    let prefix_v4 = section.or("prefix_v4", usize::from(rules.prefix_v4), "bits of an IPv4 prefix");
    section.demand("prefix_v4", prefix_v4 <= 32, || format!("{prefix_v4} is more than 32"));
    let prefix_v6 = section.or("prefix_v6", usize::from(rules.prefix_v6), "bits of an IPv6 prefix");
    section.demand("prefix_v6", prefix_v6 <= 128, || format!("{prefix_v6} is more than 128"));
    let addresses = section.or("addresses", rules.addresses, "addresses remembered of each sort");
    section.demand("addresses", addresses > 0, || "0 would forget every client at once".into());
    ClientRules {
        reserve: section.or("reserve", 0usize, "places that only known clients may have"),
        per_address: section.or("per_address", 0usize, "connections of one address; 0 for any number"),
        per_prefix: section.or("per_prefix", 0usize, "connections of one prefix; 0 for any number"),
        prefix_v4: prefix_v4.min(32) as u8,
        prefix_v6: prefix_v6.min(128) as u8,
        new_a_second: section.or(
            "new_a_second",
            0.0,
            "connections an address may open in a second; 0 for any number",
        ),
        new_at_once: section.or("new_at_once", rules.new_at_once, "and at once"),
        reading: section.or(
            "reading",
            0usize,
            "requests of one address that are read at once; 0 for any number",
        ),
        known_for_s: known_for.as_secs_f64(),
        named: networks,
        addresses,
        least_rate: section.or(
            "least_rate",
            0.0,
            "bytes a second that a request has to come with; 0 for any rate",
        ),
    }
}
