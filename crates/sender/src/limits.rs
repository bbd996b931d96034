//! Every size, count and time that bounds the sender, worked out once from what it is allowed.

use indigomast::time::Span;
use indigomast_admission::{Network, OverloadSettings, Prefixes, Purpose, Settings, Shares};
use indigomast_handover::Settings as HandoverSettings;
use indigomast_journal::Durability;
use serde::Deserialize;
use std::time::Duration;

/// Bytes of a client's connection at rest: its entries in the tables, and the room of an empty ring.
const CONNECTION_MEMORY: usize = 4 << 10;

/// Bytes of a thread that answers clients: the pages of its stack that it touches, and its part of the allocator.
const THREAD_MEMORY: usize = 48 << 10;

const LEAST_CLIENT_THREADS: usize = 16;

/// Bytes of the program's own pages, and of its tables and threads at rest.
const RESTING_MEMORY: u64 = 10 << 20;

/// Bytes of memory for each byte of the journal's files. Files count as memory, and three quarters of their bytes may be of texts at
/// hand, which take as much again in tables and in what the allocator keeps.
const MEMORY_PER_FILE_BYTE: f64 = 2.5;

/// What the platform grants a sender.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Grant {
    pub memory_mb: u64,
    pub sockets: usize,
    pub disk_mb: f64,
    /// Submits of one text, and the longest name of a product or a zone; of the settings, not of what is granted.
    #[serde(skip, default = "most_submits")]
    pub submits: usize,
    #[serde(skip, default = "short_name")]
    pub longest_name: usize,
    /// Callers at the second address at once; none without one.
    #[serde(skip)]
    pub callers: usize,
}

fn most_submits() -> usize {
    6
}

fn short_name() -> usize {
    24
}

impl Grant {
    /// With the usual six submits and short names.
    pub fn new(memory_mb: u64, sockets: usize, disk_mb: f64) -> Grant {
        Grant { memory_mb, sockets, disk_mb, submits: most_submits(), longest_name: short_name(), callers: 0 }
    }
}

/// How surely what was taken on is kept, of an installation of one's own; a platform's default outlasts the process.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct JournalRules {
    pub durability: Durable,
    /// Between two syncs with `interval`.
    pub interval_ms: f64,
}

impl Default for JournalRules {
    fn default() -> JournalRules {
        JournalRules { durability: Durable::Process, interval_ms: 100.0 }
    }
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Durable {
    Process,
    Batch,
    Interval,
}

/// What an installation of one's own sets for its clients. On a platform whose clients all come by one front nothing
/// of it is set, and no limit by address binds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ClientRules {
    /// Places that only known clients may have.
    pub reserve: usize,
    /// Connections of one address, and of one prefix; 0 for any number.
    pub per_address: usize,
    pub per_prefix: usize,
    pub prefix_v4: u8,
    pub prefix_v6: u8,
    /// New connections that an address may open in a second, and at once; 0 for any number.
    pub new_a_second: f64,
    pub new_at_once: f64,
    /// Requests of one address that are being read at once; 0 for any number.
    pub reading: usize,
    /// How long a client is known after a text of it was taken on.
    pub known_for_s: f64,
    /// Clients that are known from the start, as `10.1.0.0/16` or an address.
    pub named: Vec<Network>,
    /// Addresses remembered of each sort.
    pub addresses: usize,
    /// Bytes a second that a request has to come with; 0 for any rate.
    pub least_rate: f64,
}

impl Default for ClientRules {
    fn default() -> ClientRules {
        ClientRules {
            reserve: 0,
            per_address: 0,
            per_prefix: 0,
            prefix_v4: 24,
            prefix_v6: 64,
            new_a_second: 0.0,
            new_at_once: 50.0,
            reading: 0,
            known_for_s: 3600.0,
            named: Vec::new(),
            addresses: 4096,
            least_rate: 0.0,
        }
    }
}

#[derive(Clone, Debug)]
pub struct Limits {
    /// Head and body of what the protocol carries, in bytes.
    pub head: usize,
    pub body: usize,
    pub headers: usize,
    /// Longest id, key or mark that a client may send.
    pub name: usize,
    pub stack: usize,
    pub decider_stack: usize,
    /// The list and the answers of the discovery service, in bytes; entries of a list.
    pub list: usize,
    pub endpoints: usize,
    /// How long an endpoint that is off the list is remembered.
    pub place_rest: Duration,
    /// Texts whose end is owed or not yet reported.
    pub texts: usize,
    pub mailbox: usize,
    pub peer_mailbox: usize,
    /// How long the index of a key without texts is kept: longer than any rest after doubt.
    pub key_rest: Duration,
    /// How long the id of a text that is over is remembered.
    pub id_rest: Duration,
    /// Connections of clients, those that wait or were only told to come again, and those to endpoints.
    pub clients: usize,
    /// Bytes that clients' requests may hold, with their connections and threads; bytes of one connection beside its request,
    /// and of one thread with its stack; and threads at the most.
    pub request_memory: usize,
    pub connection_memory: usize,
    pub thread_memory: usize,
    pub client_threads: usize,
    /// Connections that may lie unaccepted: a burst must find its place here, as those beyond it come again a second
    /// later, and that is longer than a client waits for its answer.
    pub backlog: i32,
    /// In the accept queue, one in the hand of each of the two threads there included.
    pub accept_queue: usize,
    pub links: usize,
    pub reports_a_call: usize,
    /// The journal's files, and what the texts at hand may take of them and of the memory.
    pub journal: indigomast_journal::Settings,
    pub log_texts: u64,
    /// Bytes of texts that are taken on before they are written to the journal, together.
    pub journal_batch: usize,
    /// AuxiliaryRecord free in the journal for what is still to be written of a text.
    pub log_reserve: u64,
    /// How long a start waits for the process before to let go of the journal.
    pub lock_wait: Duration,
    /// Submits of one text at the most.
    pub submits: usize,
    pub log_lines_a_second: u32,
    /// A client must have its whole request here, the first from the moment it connects, or take an answer,
    /// within these.
    pub request_time: Duration,
    pub idle_client: Duration,
    /// From so many connections that have handed in a text on, each ends with its answer, and those that have
    /// rested so long end; this is how often they look once they have.
    pub crowd: usize,
    pub client_rest: Duration,
    pub rest_beat: Duration,
    /// Where there is no room, connections go whose request came to a halt for so long.
    pub client_pause: Duration,
    pub accept_pause: Duration,
    /// After a failure that is no shortage accepting is tried again this soon; the pause doubles while it goes on, up to the
    /// one above.
    pub first_accept_pause: Duration,
    /// Callers at the second address, and how long one may take over its call. Where there is no room the oldest goes.
    pub callers: usize,
    pub caller_time: Duration,
    /// How often callers are looked at though nothing came, and while an order is being carried out.
    pub caller_beat: Duration,
    pub order_beat: Duration,
    /// An order is carried out within this or not at all; by so much later its answer is there.
    pub order_time: Duration,
    pub order_slack: Duration,
    /// The steps by which another process takes over, how often the owner looks whether one waits, and how often that
    /// one tries.
    pub handover: HandoverSettings,
    pub asked_beat: Duration,
    pub heir_beat: Duration,
    /// Terms of products, those in force and those before, that a process can tell apart.
    pub terms: usize,
    /// How often it is counted which endpoints are avoided.
    pub sight_beat: Duration,
    /// Threads for clients that stay when there is nothing for them to do, and how long each waits before it looks.
    pub helpers: usize,
    pub helper_rest: Duration,
    /// How long a client's request may wait for the decider, under the client's own patience.
    pub admission: Duration,
    /// How long what a turned away client still sends is read, so that the answer reaches it.
    pub linger: Duration,
    /// How long a connection may wait for the accept queue to look at it.
    pub accept_queue_time: Duration,
    /// How often those that wait there are looked at.
    pub accept_queue_beat: Duration,
    /// A request that can't be taken is answered so much later.
    pub bad_pause: Duration,
    pub linger_bytes: usize,
    /// The rest of an answer must follow its beginning within this; interim answers before one.
    pub answer_rest: Duration,
    /// The same where the beginning tells a wait: calls are let through for 100 ms behind it.
    pub wait_rest: Duration,
    pub interim: usize,
    /// After an answer a connection carries the next call no sooner than this: more may come behind it.
    pub link_settle: Duration,
    /// An idle connection to an endpoint is shut so long before the endpoint would.
    pub link_margin: Duration,
    /// How long discovery may take to accept a connection, and, where it didn't, another: a lost packet is found by that.
    pub connect_list_first: Duration,
    pub connect_list: Duration,
    pub watch_hold: Duration,
    /// The same for the first question after one that failed, which is to be answered at once.
    pub watch_probe: Duration,
    pub watch_slack: Duration,
    /// Where an answer is not whole after so long, what has come of it is looked at.
    pub list_look: Duration,
    /// How long a question that is not held may take, with its connection.
    pub list_time: Duration,
    pub watch_pause: Duration,
    pub report_time: Duration,
    pub report_pause: Duration,
    pub longest_report_pause: Duration,
    /// A wake so late tells of a process that stood still: those with answers get the pause to bring them.
    pub stall: Duration,
    pub stall_pause: Duration,
    /// After a request to stop: open at least so long; no new submits after; out at the latest.
    pub stop_least: Duration,
    pub stop_submits: Duration,
    pub stop_most: Duration,
    /// How often the end of a stop is looked for.
    pub stop_beat: Duration,
    /// How long requests that were read before it still have for their answers: more than `bad_pause`.
    pub last_answers: Duration,
    /// Who of the clients gets a place, and bytes a second that a request has to come with.
    pub connections: Settings,
    pub least_rate: f64,
    /// What lateness of this sender's own means for new texts.
    pub overload: OverloadSettings,
    /// All descriptors that connections may take, and their shares.
    pub descriptors: usize,
    pub shares: Shares,
}

/// Bytes that the journal's files may have: what the disk has room for, or the memory beside requests if that is less.
fn journal_files(disk: u64, memory: u64, request_memory: u64) -> u64 {
    // The rest is for the lock, the manifests, and what the platform counts of each file beyond its end.
    let on_disk = disk / 16 * 15;
    let left = memory.saturating_sub(request_memory + RESTING_MEMORY) as f64;
    let in_memory = (left / MEMORY_PER_FILE_BYTE) as u64;
    on_disk.min(in_memory.max(memory / 16))
}

impl Limits {
    pub fn of(grant: Grant) -> Limits {
        // Standard streams, the listener, the log's files, the signal's pipe and discovery; and the second address with
        // its callers.
        let beside = if grant.callers > 0 { grant.callers + 4 } else { 0 };
        let sockets = grant.sockets.saturating_sub(24 + beside).max(8);
        let memory = grant.memory_mb.max(16) << 20;
        let head = 8 << 10;
        let disk = (grant.disk_mb.clamp(0.0, 1e9) * 1e6) as u64;
        let name = 128;
        let (submits, longest_name) = (grant.submits.max(1), grant.longest_name);
        let log_reserve = crate::text_journal::reserve_bytes(submits, longest_name);
        let request_memory = memory / 3;
        let files = journal_files(disk, memory, request_memory);
        // A small disk has room for short texts only.
        let beside =
            crate::text_journal::longest_payload(0, name, longest_name, longest_name) + log_reserve as usize;
        let body =
            indigomast_journal::Settings::longest_within(files).saturating_sub(beside).min(64 << 10) as u64;
        let journal = indigomast_journal::Settings::within(files, beside + body as usize);
        // Bytes are counted, not texts: most are small. They have what the journal has room for, and a quarter of the memory at the
        // most.
        let log_texts = journal.room().min(memory / 4);
        let texts = (log_texts / (log_reserve + 128)).min(memory / 4 / 1536) as usize;
        let links = (sockets / 3).max(2);
        let turned_away = (sockets / 12).max(2);
        let request_memory = request_memory as usize;
        let clients = sockets.saturating_sub(links + turned_away);
        let clients = clients.min(request_memory / 2 / CONNECTION_MEMORY).max(2);
        // Those that make room are open until their threads have seen it. For them there is a third of what the queue
        // could hold, and eight of those kept free above.
        let descriptors = sockets + 8;
        let accept_queue = (turned_away - turned_away / 3).max(3);
        let leaving = descriptors.saturating_sub(clients + links + accept_queue);
        Limits {
            head: head as usize,
            body: body as usize,
            headers: 48,
            name,
            stack: 192 << 10,
            decider_stack: 1 << 20,
            list: 4 << 20,
            endpoints: 4096,
            place_rest: Duration::from_secs(60),
            texts: texts.max(8),
            mailbox: 4 * (clients + sockets) + 64,
            // What finds no room is asked again, or goes back as not sent; each endpoint in use has one of these.
            peer_mailbox: (4 * links + 64).min(256),
            id_rest: Duration::from_secs(10),
            key_rest: Duration::from_secs(10),
            clients,
            request_memory,
            connection_memory: CONNECTION_MEMORY,
            thread_memory: THREAD_MEMORY,
            client_threads: (request_memory / 4 / THREAD_MEMORY).max(LEAST_CLIENT_THREADS),
            backlog: (2 * grant.sockets).clamp(128, 4096) as i32,
            accept_queue,
            links,
            reports_a_call: 64,
            journal,
            log_texts,
            journal_batch: (memory / 64) as usize,
            log_reserve,
            lock_wait: Duration::from_millis(1000),
            submits,
            log_lines_a_second: 20,
            request_time: Duration::from_millis(2000),
            idle_client: Duration::from_secs(60),
            crowd: (grant.sockets / 6).max(2),
            client_rest: Duration::from_millis(2000),
            rest_beat: Duration::from_millis(250),
            client_pause: Duration::from_millis(500),
            helpers: 8,
            helper_rest: Duration::from_millis(1000),
            accept_pause: Duration::from_millis(20),
            first_accept_pause: Duration::from_millis(1),
            callers: grant.callers,
            caller_time: Duration::from_secs(5),
            caller_beat: Duration::from_millis(250),
            order_beat: Duration::from_millis(3),
            order_time: Duration::from_millis(600),
            order_slack: Duration::from_millis(200),
            handover: HandoverSettings::default(),
            asked_beat: Duration::from_millis(50),
            heir_beat: Duration::from_millis(3),
            terms: 1024,
            sight_beat: Duration::from_millis(200),
            admission: Duration::from_millis(350),
            linger: Duration::from_millis(200),
            accept_queue_time: Duration::from_millis(100),
            accept_queue_beat: Duration::from_millis(20),
            bad_pause: Duration::from_millis(100),
            linger_bytes: 256 << 10,
            answer_rest: Duration::from_millis(250),
            wait_rest: Duration::from_millis(60),
            interim: 32,
            link_settle: Duration::from_millis(3),
            link_margin: Duration::from_millis(250),
            connect_list_first: Duration::from_millis(300),
            connect_list: Duration::from_millis(1200),
            watch_hold: Duration::from_secs(4),
            watch_probe: Duration::from_millis(1),
            watch_slack: Duration::from_millis(1200),
            list_look: Duration::from_millis(200),
            list_time: Duration::from_millis(2500),
            watch_pause: Duration::from_millis(500),
            report_time: Duration::from_millis(1000),
            report_pause: Duration::from_millis(50),
            longest_report_pause: Duration::from_millis(500),
            stall: Duration::from_millis(100),
            stall_pause: Duration::from_millis(10),
            stop_least: Duration::from_millis(600),
            stop_submits: Duration::from_millis(2800),
            stop_most: Duration::from_millis(3400),
            stop_beat: Duration::from_millis(20),
            last_answers: Duration::from_millis(150),
            connections: Settings {
                max_connections: clients,
                known_for: Span::millis(3_600_000),
                new_burst: 50.0,
                max_remembered: 4096,
                stalled_after: Span::millis(500),
                first_request_grace: Span::millis(100),
                ..Settings::default()
            },
            least_rate: 0.0,
            overload: OverloadSettings::default(),
            descriptors,
            shares: Shares::new(|purpose| match purpose {
                Purpose::Client => (clients, clients + leaving),
                Purpose::Accept => (accept_queue, accept_queue),
                Purpose::Gateway => (links, links + leaving),
                Purpose::Internal => (0, 0),
            }),
        }
    }

    /// Takes over how surely an installation wants its texts kept; a complaint names the field.
    pub fn with_journal(mut self, rules: JournalRules) -> Result<Limits, String> {
        let interval = Duration::try_from_secs_f64(rules.interval_ms / 1000.0).ok();
        let interval =
            interval.filter(|interval| !interval.is_zero() && *interval <= Duration::from_secs(60));
        let Some(interval) = interval else {
            return Err(format!("interval_ms: {} is not over 0 and up to 60000", rules.interval_ms));
        };
        self.journal.durability = match rules.durability {
            Durable::Process => Durability::Process,
            Durable::Batch => Durability::Batch,
            Durable::Interval => Durability::Interval(interval),
        };
        Ok(self)
    }

    /// Takes over what an installation sets for its clients; a complaint names the field.
    pub fn with_clients(mut self, rules: ClientRules) -> Result<Limits, String> {
        if rules.reserve >= self.clients {
            return Err(format!(
                "reserve: {} of {} places leave none for new clients",
                rules.reserve, self.clients
            ));
        }
        for (field, bits, most) in [("prefix_v4", rules.prefix_v4, 32), ("prefix_v6", rules.prefix_v6, 128)] {
            if bits > most {
                return Err(format!("{field}: {bits} is more than {most} bits"));
            }
        }
        for (field, value) in [
            ("new_a_second", rules.new_a_second),
            ("new_at_once", rules.new_at_once),
            ("known_for_s", rules.known_for_s),
            ("least_rate", rules.least_rate),
        ] {
            if !(value.is_finite() && value >= 0.0) {
                return Err(format!("{field}: {value} has to be 0 or more"));
            }
        }
        if rules.addresses == 0 {
            return Err("addresses: 0 would forget every client at once".into());
        }
        self.connections = Settings {
            reserved_for_known: rules.reserve,
            max_per_address: rules.per_address,
            max_per_prefix: rules.per_prefix,
            new_per_second: rules.new_a_second,
            new_burst: rules.new_at_once,
            max_reading_per_address: rules.reading,
            prefixes: Prefixes { v4: rules.prefix_v4, v6: rules.prefix_v6 },
            known_for: Span::from_millis(rules.known_for_s * 1000.0),
            always_known: rules.named,
            max_remembered: rules.addresses,
            ..self.connections
        };
        self.least_rate = rules.least_rate;
        Ok(self)
    }
}
