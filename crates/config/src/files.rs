//! The carrier of a list that is kept in files: looks at them, when the system says that something changed and every so
//! often besides, and tells the sender what [`InForce`] makes of it.

use crate::gateways::Gateway;
use crate::lists::{Files, InForce, Said};
use crossbeam_channel::{Receiver, RecvTimeoutError, bounded, select};
use indigomast::time::Moment;
use indigomast_sender::list::{EndpointList, ListRequest, ListSink, ListSource};
use notify::{RecursiveMode, Watcher};
use std::fs;
use std::io::ErrorKind;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// One file, or a folder of which every file whose name ends in `.toml` is a part.
#[derive(Clone, Debug)]
pub struct Place {
    pub path: PathBuf,
    /// No file may be longer.
    pub most_bytes: u64,
}

impl Place {
    /// All files as they are; one that is not there is told of in its place.
    pub fn look(&self) -> Files {
        let name = |path: &Path| path.display().to_string();
        if !self.path.is_dir() {
            return Files::from([(name(&self.path), self.read(&self.path))]);
        }
        match fs::read_dir(&self.path) {
            Err(e) => Files::from([(name(&self.path), Err(e.to_string()))]),
            Ok(entries) => {
                let paths = entries.flatten().map(|entry| entry.path());
                // Editors keep their own files beside the one that is edited.
                let part = |path: &PathBuf| {
                    let name = path.file_name().and_then(|name| name.to_str()).unwrap_or_default();
                    name.ends_with(".toml") && !name.starts_with('.')
                };
                paths.filter(part).map(|path| (name(&path), self.read(&path))).collect()
            }
        }
    }

    fn read(&self, path: &Path) -> Result<String, String> {
        let told = |e: std::io::Error| match e.kind() {
            ErrorKind::NotFound => "is not there".to_owned(),
            _ => e.to_string(),
        };
        let length = fs::metadata(path).map_err(told)?.len();
        if length > self.most_bytes {
            return Err(format!("{length} bytes are more than {}", self.most_bytes));
        }
        let bytes = fs::read(path).map_err(told)?;
        String::from_utf8(bytes).map_err(|e| format!("byte {} is no UTF-8", e.utf8_error().valid_up_to()))
    }
}

/// Watches files for a sender.
pub struct Watched {
    pub place: Place,
    pub in_force: InForce,
    /// How often they are looked at in any case.
    pub poll: Duration,
}

pub fn listing(revision: u64, gateways: &[Gateway]) -> EndpointList {
    EndpointList { revision, complete: true, members: gateways.iter().map(Gateway::listed).collect() }
}

impl ListSource for Watched {
    fn run(self: Box<Self>, asks: Receiver<ListRequest>, list_sink: ListSink) {
        let Watched { place, mut in_force, poll } = *self;
        let (changed, changes) = bounded(1);
        // What it says is only that it is worth a look; with one waiting, another says nothing more.
        let watch = notify::recommended_watcher(move |event: notify::Result<notify::Event>| {
            // Looking is an event as well, and would be followed by the next look without end.
            if !event.is_ok_and(|event| event.kind.is_access()) {
                _ = changed.try_send(());
            }
        });
        let mut watcher = watch.ok();
        // A file that is replaced by a rename is another file: its folder is what stays.
        let folder = if place.path.is_dir() { Some(place.path.as_path()) } else { place.path.parent() };
        let folder = folder.filter(|folder| !folder.as_os_str().is_empty()).unwrap_or(Path::new("."));
        if let Some(watching) = &mut watcher
            && let Err(e) = watching.watch(folder, RecursiveMode::NonRecursive)
        {
            log::warn!(target: "indigomast", "{} can't be watched ({e}) and is looked at every {poll:?}", folder.display());
            watcher = None;
        }
        let changes = if watcher.is_some() { changes } else { crossbeam_channel::never() };
        let (began, mut revision) = (Instant::now(), 0);
        let now = || Moment::from_millis(began.elapsed().as_secs_f64() * 1000.0);
        let mut wait = poll;
        loop {
            let mut said = Vec::new();
            let asked = select! {
                recv(asks) -> ask => match ask {
                    Ok(ask) => Ok(ask),
                    Err(_) => return,
                },
                recv(changes) -> _ => Err(RecvTimeoutError::Timeout),
                default(wait) => Err(RecvTimeoutError::Timeout),
            };
            match asked {
                Ok(ListRequest::Renew) => said.extend(in_force.confirmed()),
                Ok(ListRequest::Read) => list_sink.publish(Some(listing(revision, in_force.running()))),
                Ok(ListRequest::Watch(_)) | Err(_) => {}
            }
            wait = poll;
            said.extend(in_force.seen(now(), &place.look()));
            for what in said {
                match what {
                    Said::Swap(list) => {
                        revision += 1;
                        log::info!(target: "indigomast", gateways = list.len(); "a list was put into use");
                        list_sink.publish(Some(listing(revision, &list)));
                    }
                    Said::Rejected(complaints) => {
                        list_sink.publish(None);
                        for complaint in &complaints {
                            log::warn!(target: "indigomast", "{complaint}");
                        }
                        let count = in_force.running().len();
                        log::warn!(target: "indigomast", "the list of {count} gateways stays in force");
                    }
                    Said::Held { gone, of } => {
                        log::warn!(
                            target: "indigomast",
                            "a list that would take away {gone} of {of} gateways is held back; SIGHUP confirms it"
                        );
                    }
                    Said::LookAgain(at) => {
                        wait = wait.min(
                            Duration::from_secs_f64(at.since(now()).as_secs()) + Duration::from_millis(1),
                        );
                    }
                }
            }
        }
    }
}

/// A list that doesn't change.
pub struct Fixed {
    pub gateways: Vec<Gateway>,
}

impl ListSource for Fixed {
    fn run(self: Box<Self>, asks: Receiver<ListRequest>, list_sink: ListSink) {
        for ask in asks {
            if !matches!(ask, ListRequest::Watch(_)) {
                list_sink.publish(Some(listing(0, &self.gateways)));
            }
        }
    }
}
