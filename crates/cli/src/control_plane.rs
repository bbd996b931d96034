//! `indigomast assignment`: the carrier of who serves which destinations.

use crate::{Done, Failure, interruption};
use clap::Subcommand;
use indigomast_control_plane::agent::Agent;
use indigomast_control_plane::config;
use indigomast_control_plane::control::Control;
use indigomast_control_plane::limits::Limits;
use indigomast_control_plane::order::{self, Order};
use indigomast_sender::log::{Format, Sink};
use log::LevelFilter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const BEAT: Duration = Duration::from_millis(20);

#[derive(Subcommand)]
pub enum Command {
    /// A control machine's process: a relay always, a controller too once promoted
    Control { file: PathBuf },
    /// Beside one sender: what it serves, as its daemon's discovery
    Agent { file: PathBuf },
    /// Say one order to a control process; its answer goes to standard output, as JSON
    Order {
        address: SocketAddr,
        /// File with the fleet's key
        #[arg(long)]
        key: PathBuf,
        /// Seconds for the answer
        #[arg(long, default_value_t = 20.0)]
        within: f64,
        /// Such as '"status"' or '{"promote": {"epoch": 7}}'
        order: String,
    },
}

pub fn run(command: Command) -> Done {
    match command {
        Command::Control { file } => {
            Sink::new("indigomast", Format::Plain, 20).install(LevelFilter::Info);
            let stop = interruption()?;
            let control = Control::start(&config::Control::load(&file)?, Limits::default())?;
            println!("listening on {}", control.address);
            while control.runs() && !stop.load(Ordering::Relaxed) {
                thread::sleep(BEAT);
            }
            ended(control.runs(), || control.stop())
        }
        Command::Agent { file } => {
            Sink::new("indigomast", Format::Plain, 20).install(LevelFilter::Info);
            let stop = interruption()?;
            let agent = Agent::start(&config::Agent::load(&file)?, Limits::default())?;
            println!("listening on {}", agent.address);
            while agent.runs() && !stop.load(Ordering::Relaxed) {
                thread::sleep(BEAT);
            }
            ended(agent.runs(), || agent.stop())
        }
        Command::Order { address, key, within, order } => {
            let secret = config::secret(&key)?;
            let order: Order = serde_json::from_str(&order).map_err(|e| format!("order: {e}"))?;
            if !(within > 0.0 && within <= 3600.0) {
                return Err(Failure::Complaint(format!("--within: {within}, above 0 to 3600 may stand")));
            }
            let answer = order::ask(address, &secret, &order, Duration::from_secs_f64(within))?;
            println!("{answer}");
            Ok(())
        }
    }
}

fn ended(runs: bool, stop: impl FnOnce()) -> Done {
    if !runs {
        return Err(Failure::Complaint("its actor has ended by a fault".into()));
    }
    stop();
    Ok(())
}
