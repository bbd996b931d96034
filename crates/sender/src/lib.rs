//! The sender on real sockets: clients hand in texts over HTTP, [`indigomast`] decides, this carries it out.
//!
//! [`Sender::start`] brings one up inside any program; [`run`] is the whole daemon. Threads are actors that
//! speak by bounded mailboxes: the decider owns the decisions and the log, each endpoint has a peer, and the
//! list, the notices and the door for clients have one each. Another protocol is put in front of the same
//! decisions by an intake or a peer of its own.

pub mod clock;
pub mod config;
pub mod counters;
pub mod decider;
pub mod door;
pub mod http;
pub mod ids;
pub mod intake;
pub mod limits;
pub mod link;
pub mod list;
pub mod lobby;
pub mod log;
pub mod notices;
pub mod peer;
pub mod places;
pub mod platform;
pub mod ring;
pub mod texts_log;
pub mod threads;
pub mod wal;

use ::log::LevelFilter;
use clock::Clock;
use config::{Config, Outside};
use counters::Counters;
use crossbeam_channel::{Receiver, bounded};
use indigomast_admission::Budget;
use list::Source;
use notices::Reporter;
use platform::Platform;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// The way to the decider.
pub type Mailbox = crossbeam_channel::Sender<decider::Word>;

/// A sender that runs.
pub struct Sender {
    pub counters: Arc<Counters>,
    /// Where clients connect.
    pub address: SocketAddr,
    stopper: Stopper,
    reloader: Reloader,
    ended: Receiver<threads::Ended>,
}

/// Asks a sender to stop, from any thread.
#[derive(Clone)]
pub struct Stopper {
    decider: Mailbox,
    stopping: Arc<AtomicBool>,
    intake: Arc<intake::Intake>,
}

impl Stopper {
    /// From now on the sender says that it is not up; it ends once what is out is finished or logged.
    pub fn stop(&self) {
        if !self.stopping.swap(true, Ordering::Relaxed) {
            _ = self.decider.send(decider::Word::Stop);
            self.intake.clients.shut_idle();
        }
    }
}

/// Takes over what may change while a sender runs, from any thread.
#[derive(Clone)]
pub struct Reloader {
    platform: Option<Arc<Platform>>,
    list: crossbeam_channel::Sender<list::Ask>,
}

impl Reloader {
    /// From now on the list is watched and notices go where this configuration says; all else in it waits for
    /// the next start. The list comes anew as a whole even from the same address: whoever asks for a reload may
    /// know that what was told is no longer so.
    pub fn reload(&self, config: &Config) {
        if let (Some(platform), Outside::Platform(discovery)) = (&self.platform, &config.outside) {
            platform.moves(*discovery);
        }
        self.renew();
    }

    /// Has the source tell its list anew. What it held back for being doubtful is confirmed by that.
    pub fn renew(&self) {
        _ = self.list.send(list::Ask::Renew);
    }
}

impl Sender {
    pub fn start(config: Config) -> Result<Sender, String> {
        let Config { listen, outside, state, seed, limits, site, known, .. } = config;
        let clock = Clock::start();
        let wal = wal::Wal::open(&state, &limits, clock.now())
            .map_err(|e| format!("ROUTER_STATE: {}: {e}", state.display()))?;
        let listener = TcpListener::bind(listen).map_err(|e| format!("listen: {listen}: {e}"))?;
        // The standard library asks for 128; asked again, the kernel takes the new length over.
        rustix::net::listen(&listener, limits.backlog).map_err(|e| format!("listen: {listen}: {e}"))?;
        let address = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
        let (limits, site) = (Arc::new(limits), Arc::new(site));
        let counters = Arc::<Counters>::default();
        let (decider, words) = bounded(limits.mailbox);
        let (list, asks) = bounded(limits.mailbox);
        let (notices, inbox) = bounded(limits.texts);
        let (over, ended) = bounded(8);
        let threadless = |e: std::io::Error| format!("no thread: {e}");
        let stack = limits.stack;

        let mut platform = None;
        let (source, reporter): (Box<dyn Source>, Box<dyn Reporter>) = match outside {
            Outside::Own { source, reporter } => (source, reporter),
            Outside::Platform(discovery) => {
                let there = Arc::clone(platform.insert(Arc::new(Platform::at(discovery))));
                let actor = list::List {
                    platform: Arc::clone(&there),
                    site: Arc::clone(&site),
                    limits: Arc::clone(&limits),
                    revision: known.revision,
                };
                let post = notices::Post::new(Arc::clone(&limits));
                (Box::new(actor), Box::new(notices::ToPlatform { platform: there, post }))
            }
        };
        let teller = list::Teller::new(decider.clone(), Arc::clone(&counters));
        threads::actor("list", stack, &over, move || source.run(asks, teller)).map_err(threadless)?;

        let reloader = Reloader { platform, list: list.clone() };
        let actor = notices::Notices { reporter, limits: Arc::clone(&limits), decider: decider.clone() };
        threads::actor("notices", stack, &over, move || actor.run(inbox)).map_err(threadless)?;

        let budget = Budget::new(limits.descriptors, limits.shares);
        let trunk = peer::Trunk::new(&limits, &counters, &decider, &site, &budget);
        let actor = decider::Decider {
            clock,
            limits: Arc::clone(&limits),
            counters: Arc::clone(&counters),
            site: Arc::clone(&site),
            trunk: Arc::new(trunk),
            list,
            notices,
            wal,
            seed,
            known,
        };
        threads::actor("decider", limits.decider_stack, &over, move || actor.run(words))
            .map_err(threadless)?;

        let intake = intake::Intake::new(clock, limits, Arc::clone(&counters), site, decider.clone(), budget)
            .map_err(|e| format!("no way to wait for clients: {e}"))?;
        let intake = Arc::new(intake);
        let waits = Arc::clone(&intake);
        threads::actor("lobby", stack, &over, move || waits.lobby.run(&waits)).map_err(threadless)?;
        let stopping = Arc::clone(&intake.stopping);
        let door = Arc::clone(&intake);
        threads::actor("intake", stack, &over, move || door.run(listener)).map_err(threadless)?;
        Ok(Sender { counters, address, stopper: Stopper { decider, stopping, intake }, reloader, ended })
    }

    pub fn stopper(&self) -> Stopper {
        self.stopper.clone()
    }

    pub fn reloader(&self) -> Reloader {
        self.reloader.clone()
    }

    /// Waits for the end, which is an error unless it was asked for; after it the address is free.
    pub fn wait(self) -> Result<(), String> {
        loop {
            let Ok(ended) = self.ended.recv() else { return Err("no actor is left".into()) };
            let asked = self.stopper.stopping.load(Ordering::Relaxed);
            match ended {
                threads::Ended { name, panicked: true } => return Err(format!("{name} panicked")),
                threads::Ended { name: "decider", .. } if asked => {
                    let intake = &self.stopper.intake;
                    intake.close(self.address);
                    let others = || self.ended.recv_timeout(intake.limits.request_time).ok();
                    while others().is_some_and(|ended| ended.name != "intake") {}
                    return Ok(());
                }
                threads::Ended { name, .. } if !asked => return Err(format!("{name} ended unasked")),
                // Those that work for the decider may end a moment before it.
                _ => {}
            }
        }
    }
}

/// The daemon: settings from the environment, read again at SIGHUP, an end by SIGTERM or SIGINT, counters at the
/// exit.
pub fn run() -> Result<(), String> {
    // Heard from the first moment on: a SIGHUP that nobody listens for ends the process.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let config = Config::from_env()?;
    let (name, stack) = (config.name.clone(), config.limits.stack);
    log::Sink::new("indigomastd", log::Format::Plain, config.limits.log_lines_a_second)
        .install(LevelFilter::Warn);
    let sender = Sender::start(config)?;
    log!("{name} listens on {}", sender.address);
    let (counters, stopper, reloader) = (Arc::clone(&sender.counters), sender.stopper(), sender.reloader());
    let watch = move || {
        for signal in signals.forever() {
            match signal {
                SIGHUP => match Config::from_env() {
                    Ok(config) => {
                        if let Outside::Platform(discovery) = config.outside {
                            log!("the configuration was read again: discovery is at {discovery}");
                        }
                        reloader.reload(&config);
                    }
                    Err(complaint) => log!("the configuration stays as it was: {complaint}"),
                },
                _ => stopper.stop(),
            }
        }
    };
    threads::spawn("signals", stack, watch).map_err(|e| format!("no thread: {e}"))?;
    let ended = sender.wait();
    eprint!("indigomastd: {name} ends\n{counters}");
    ended
}
