//! A change in stages over the senders of a run: its files, its controller's process, and how it came out.

use super::faults::End;
use super::network::Network;
use crate::outcome::ChangeSeen;
use crate::scenario::{Ends, Scenario};
use crate::sockets::Change;
use crate::sockets::keeper::Keeper;
use indigomast::time::{Moment, Span};
use serde_json::Value;
use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

pub struct Steered {
    change: Change,
    folder: PathBuf,
    settings: Option<PathBuf>,
    begins: Moment,
    /// By then it has to have come to its end.
    by: Moment,
    began: Option<Moment>,
    ended: Option<(Moment, i32)>,
    controller: Option<Child>,
    /// A fault keeps it from running.
    held: bool,
}

impl Steered {
    /// # Errors
    ///
    /// A path of the new settings that is not there, or a file that can't be written.
    pub fn new(change: &Change, scenario: &Scenario, folder: &Path) -> Result<Steered, String> {
        let settings = match change.rollout.settings.is_empty() {
            true => None,
            false => Some(folder.join("new.json")),
        };
        let at = |seconds: f64| Moment::from_millis(seconds * 1000.0);
        let (begins, by) = (at(change.rollout.at_s), at(scenario.seconds + change.rollout.within_s));
        let (change, folder) = (change.clone(), folder.to_owned());
        Ok(Steered {
            change,
            folder,
            settings,
            begins,
            by,
            began: None,
            ended: None,
            controller: None,
            held: false,
        })
    }

    /// All senders have the same settings but for their place, so the new side's file is made from the first one's.
    fn write_settings(&self, path: &Path) -> Result<(), String> {
        let old = self.folder.join("sender-0").join("config.json");
        let text = fs::read_to_string(&old).map_err(|e| format!("{}: {e}", old.display()))?;
        let mut config: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        for (path, value) in &self.change.rollout.settings {
            let pointer = format!("/settings/{}", path.replace('.', "/"));
            let place =
                config.pointer_mut(&pointer).ok_or(format!("change.settings: {path} is not there"))?;
            *place = serde_json::to_value(value).map_err(|e| e.to_string())?;
        }
        fs::write(path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))
    }

    fn write_plan(&self, network: &Network, senders: usize) -> Result<PathBuf, String> {
        let mut plan = self.change.rollout.plan.clone();
        plan.insert("name".into(), "a change of this run".into());
        let mut to = toml::Table::new();
        let path = |path: &Path| toml::Value::String(path.display().to_string());
        self.change.new.iter().for_each(|new| _ = to.insert("program".into(), path(new)));
        self.settings.iter().for_each(|settings| _ = to.insert("settings".into(), path(settings)));
        plan.insert("to".into(), to.into());
        // A line that leads nowhere yet is given where to with the keeper's start; all have been started by now.
        let nowhere: SocketAddr = TcpListener::bind("127.0.0.1:0")
            .and_then(|listener| listener.local_addr())
            .map_err(|e| format!("a port: {e}"))?;
        let list = (0..senders).map(|sender| {
            let agent = network.known(End::Operator, End::Sender(sender)).unwrap_or(nowhere);
            let mut one = toml::Table::new();
            one.insert("name".into(), format!("sender-{sender}").into());
            one.insert("agent".into(), agent.to_string().into());
            toml::Value::Table(one)
        });
        plan.insert("senders".into(), list.collect::<Vec<_>>().into());
        let file = self.folder.join("plan.toml");
        fs::write(&file, plan.to_string()).map_err(|e| format!("{}: {e}", file.display()))?;
        Ok(file)
    }

    fn start(&mut self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(self.folder.join("controller.log"));
        let log = log.map_err(|e| format!("controller.log: {e}"))?;
        let mut command = Command::new(&self.change.program);
        command.args(["rollout", "start"]).arg(self.folder.join("plan.toml"));
        command.arg("--record").arg(self.folder.join("controller")).arg("--key").arg(self.folder.join("key"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        self.controller = Some(command.spawn().map_err(|e| format!("a controller can't be started: {e}"))?);
        Ok(())
    }

    /// Begins it when it is time, and sees whether it has ended.
    pub fn tend(&mut self, now: Moment, network: Option<&Network>, keepers: &[Keeper]) -> Result<(), String> {
        if self.began.is_none() && now >= self.begins {
            let Some(network) = network else { return Ok(()) };
            self.began = Some(now);
            if let Some(settings) = &self.settings {
                self.write_settings(settings)?;
            }
            self.write_plan(network, keepers.len())?;
            self.start()?;
        }
        if let Some(Ok(Some(status))) = self.controller.as_mut().map(Child::try_wait) {
            self.controller = None;
            if !self.held {
                self.ended = Some((now, status.code().unwrap_or(-1)));
            }
        }
        Ok(())
    }

    /// Kills the controller, or starts it again.
    pub fn kill(&mut self, kill: bool) {
        self.held = kill;
        if let Some(mut controller) = self.controller.take() {
            _ = controller.kill();
            _ = controller.wait();
        }
        if !kill && self.began.is_some() && self.ended.is_none() {
            _ = self.start();
        }
    }

    pub fn is_over(&self, now: Moment) -> bool {
        self.ended.is_some() || now >= self.by
    }

    /// How it came out; `revisions` are those by which senders run.
    pub fn close(mut self, revisions: Vec<String>) -> ChangeSeen {
        if let Some(mut controller) = self.controller.take() {
            _ = controller.kill();
            _ = controller.wait();
        }
        let log = fs::read_to_string(self.folder.join("controller.log")).unwrap_or_default();
        let mut said: Vec<String> = log.lines().map(str::to_owned).collect();
        let came_out = match self.ended {
            Some((_, 0)) => "final".to_owned(),
            Some((_, 6)) => "reverted".to_owned(),
            Some((_, code)) => format!("ended with {code}: {}", said.last().cloned().unwrap_or_default()),
            None => format!("not over in time: {}", said.last().cloned().unwrap_or_default()),
        };
        let mut runs = std::collections::BTreeMap::new();
        revisions.into_iter().for_each(|revision| *runs.entry(revision).or_insert(0) += 1);
        let wanted = match self.change.rollout.ends {
            Ends::Final => "final",
            Ends::Reverted => "reverted",
        };
        // With settings of its own a side is told apart by what the senders say; each old one has settings of its own.
        let new = self.settings.as_ref().and_then(|path| fs::read_to_string(path).ok());
        let new = new.map(|text| format!("{:08x}", indigomast_sender::versions::revision(&text)));
        let senders: usize = runs.values().sum();
        let on_new = new.as_ref().map(|new| runs.get(new).copied().unwrap_or(0));
        let silent = runs.contains_key("silent");
        let everywhere = match (on_new, self.change.rollout.ends) {
            (None, _) => !silent,
            (Some(on_new), Ends::Final) => on_new == senders,
            (Some(on_new), Ends::Reverted) => on_new == 0 && !silent,
        };
        said.truncate(200);
        let took = self.began.zip(self.ended).map_or(Span::ZERO, |(began, (ended, _))| ended.since(began));
        ChangeSeen {
            as_wanted: came_out == wanted && everywhere,
            came_out,
            took_s: took.as_secs(),
            said,
            runs,
        }
    }
}
