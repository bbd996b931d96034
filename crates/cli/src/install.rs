//! An installation of one's own: running it, checking its file, and what may stand in it.

use crate::{Done, Failure};
use clap::{CommandFactory, Subcommand};
use indigomast_config::installation::fields;
use indigomast_config::machine::Machine;
use indigomast_config::{Complaint, Installation, gateways, reader};
use indigomast_sender::Sender;
use indigomast_sender::log::Sink;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::Arc;

#[derive(Subcommand)]
pub enum Command {
    /// What is in force by a file, and where each value comes from
    Show { file: PathBuf },
    /// A JSON schema of the file
    Schema,
    /// A page of every field that may stand in the file
    Reference,
}

fn all(complaints: Vec<Complaint>) -> Failure {
    let lines: Vec<String> = complaints.iter().map(Complaint::to_string).collect();
    Failure::Complaint(lines.join("\nindigomast: "))
}

/// The file, and that this machine grants what it asks for.
fn load(file: &Path) -> Result<Installation, Failure> {
    let installation = Installation::load(file).map_err(all)?;
    let refused = Machine::this().refuses(&installation);
    if refused.is_empty() {
        return Ok(installation);
    }
    let lines: Vec<String> = refused.iter().map(|what| format!("{}: {what}", file.display())).collect();
    Err(Failure::Complaint(lines.join("\nindigomast: ")))
}

pub fn run(file: &Path) -> Done {
    // Heard from the first moment on: a SIGHUP that nobody listens for ends the process.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let installation = load(file)?;
    let log = installation.log;
    let state = installation.state.clone();
    fs::create_dir_all(&state).map_err(|e| format!("{}: state: {}: {e}", file.display(), state.display()))?;
    Sink::new("indigomast", log.format(), log.lines_a_second as u32).install(log.level());
    let config = installation.config().map_err(all)?;
    let name = config.name.clone();
    let sender = Sender::start(config)?;
    // Not by the log, whose level may leave it out: whoever starts this waits for the address.
    eprintln!("indigomast: {name} listens on {}", sender.address);
    let (counters, stopper, reloader) = (Arc::clone(&sender.counters), sender.stopper(), sender.reloader());
    let file = file.to_owned();
    let watch = move || {
        for signal in signals.forever() {
            match signal {
                SIGHUP => {
                    // All but the list waits for the next start; that it would start is worth knowing now.
                    match load(&file) {
                        Ok(_) => {
                            log::warn!(target: "indigomast", "the list is read anew; all else waits for the next start")
                        }
                        Err(Failure::Complaint(complaint)) => {
                            log::warn!(target: "indigomast", "the next start would fail: {complaint}")
                        }
                        Err(_) => {}
                    }
                    reloader.renew();
                }
                _ => stopper.stop(),
            }
        }
    };
    std::thread::Builder::new().name("signals".into()).spawn(watch).map_err(|e| format!("no thread: {e}"))?;
    let ended = sender.wait();
    eprint!("indigomast: {name} ends\n{counters}");
    Ok(ended?)
}

/// Everything that a run would refuse, and what it would regret.
pub fn check(file: &Path) -> Done {
    let installation = load(file)?;
    let mut warnings = Vec::new();
    let value = |path: &str| {
        let field = installation.fields.iter().find(|field| field.path == path);
        field.and_then(|field| field.value.clone()).unwrap_or_default()
    };
    if value("journal.durability") == "\"process\"" {
        warnings.push("journal.durability: \"process\" doesn't outlast a loss of power".to_owned());
    }
    if value("list.most_taken_away") == "1.0" {
        warnings.push("list.most_taken_away: 1 lets one wrong list take away every gateway".into());
    }
    if value("list.from") == "\"files\"" && value("list.weights") == "\"exact\"" {
        warnings
            .push("list.weights: \"exact\" has gateways sent what the list says, whatever they take".into());
    }
    let listen = value("listen");
    let address = listen.trim_matches('"').parse::<SocketAddr>().ok().filter(|address| address.port() != 0);
    if let Some(Err(e)) = address.map(TcpListener::bind) {
        warnings.push(format!("listen: {listen} can't be had now: {e}"));
    }
    if !installation.state.exists() {
        warnings
            .push(format!("state: {} is not there yet; the run will make it", installation.state.display()));
    }
    let name = file.display();
    let config = installation.config().map_err(all)?;
    let mut lone: Vec<u64> = config.known.members.iter().map(|member| member.dest).collect();
    lone.sort_unstable();
    for dest in lone.chunk_by(|a, b| a == b).filter(|same| same.len() == 1).map(|same| same[0]).take(5) {
        warnings.push(format!("destination {dest} has one gateway: while it is away its texts wait"));
    }
    for warning in &warnings {
        eprintln!("{name}: warning: {warning}");
    }
    let gateways = config.known.members.len();
    println!("{name}: sound; {gateways} gateways, {} products", config.site.products.len());
    Ok(())
}

pub fn config(command: Command) -> Done {
    match command {
        Command::Show { file } => {
            let installation = Installation::load(&file).map_err(all)?;
            for field in &installation.fields {
                let Some(value) = &field.value else { continue };
                let from =
                    field.line.map_or("default".to_owned(), |line| format!("{}:{line}", file.display()));
                println!("{:<32} {:<28} # {from}", format!("{} =", field.path), value);
            }
        }
        Command::Schema => {
            let schema = reader::schema("An installation of indigomast", &fields());
            println!("{}", serde_json::to_string_pretty(&schema).expect("plain data"));
        }
        Command::Reference => print!("{}", reader::reference(&fields())),
    }
    Ok(())
}

/// Writes a list's last line, by which the sender knows that all of it is there; whole or not at all.
pub fn seal(file: &Path) -> Done {
    let told = |e: std::io::Error| format!("{}: {e}", file.display());
    let sealed = gateways::seal(&fs::read_to_string(file).map_err(told)?);
    let mut beside = file.as_os_str().to_owned();
    beside.push(".sealed");
    fs::write(&beside, sealed).map_err(told)?;
    fs::rename(&beside, file).map_err(told)?;
    Ok(())
}

pub fn completions(shell: clap_complete::Shell) -> Done {
    let mut command = crate::Arguments::command();
    clap_complete::generate(shell, &mut command, "indigomast", &mut std::io::stdout());
    Ok(())
}

pub fn man() -> Done {
    let page = clap_mangen::Man::new(crate::Arguments::command());
    page.render(&mut std::io::stdout()).map_err(|e| e.to_string())?;
    Ok(())
}
