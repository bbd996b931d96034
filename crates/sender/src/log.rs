//! What staff are told: through the `log` facade, so that a program that holds a sender sees it in its own way; and the
//! daemon's sink, which writes so many lines a second to standard error.
//!
//! A line never holds a text's body, mark or key.

pub use ::log as facade;
use ::log::kv::{Error, Key, Value, VisitSource};
use ::log::{Level, LevelFilter, Log, Metadata, Record};
use std::fmt::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Something that staff may have to look at.
#[macro_export]
macro_rules! log {
    ($($what:tt)*) => {
        $crate::log::facade::warn!(target: "indigomast", $($what)*)
    };
}

/// A change of state of something that decisions rest on: a source of lists, an endpoint on a list.
#[macro_export]
macro_rules! log_state {
    ($($what:tt)*) => {
        $crate::log::facade::info!(target: "indigomast", $($what)*)
    };
}

/// One step of a request, with `id` and, where it ends something, `reason` as key and value.
#[macro_export]
macro_rules! log_request {
    ($($what:tt)*) => {
        $crate::log::facade::debug!(target: "indigomast", $($what)*)
    };
}

/// What became of a text by a decision, with `text`, `dest` and `reason` as key and value.
#[macro_export]
macro_rules! log_decision {
    ($($what:tt)*) => {
        $crate::log::facade::info!(target: "indigomast", $($what)*)
    };
}

/// One fact of what this sender does, for an account over a fleet; see `indigomast account`. Never limited in number, as a
/// count with lines left out is none; so it is written only where it is asked for.
#[macro_export]
macro_rules! log_account {
    ($($what:tt)*) => {
        $crate::log::facade::trace!(target: "indigomast::account", $($what)*)
    };
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// `program: what key=value`
    #[default]
    Plain,
    /// An object a line: `at_ms`, `level`, `what`, and keys and values beside them.
    Json,
}

struct Second {
    from: Option<Instant>,
    lines: u32,
    left_out: u32,
}

/// Lines on standard error, so many a second at the most.
pub struct Sink {
    program: &'static str,
    format: Format,
    most: u32,
    second: Mutex<Second>,
}

/// Keys and values as they are written.
#[derive(Default)]
struct Pairs(Vec<(String, String)>);

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

impl Sink {
    pub fn new(program: &'static str, format: Format, lines_a_second: u32) -> Sink {
        let second = Second { from: None, lines: 0, left_out: 0 };
        Sink { program, format, most: lines_a_second, second: Mutex::new(second) }
    }

    /// Becomes the process's own, unless it has one.
    pub fn install(self, level: LevelFilter) {
        if ::log::set_boxed_logger(Box::new(self)).is_ok() {
            ::log::set_max_level(level);
        }
    }

    /// Whether one more line may be written now, and how many were left out since the last.
    fn admit(&self, now: Instant) -> Option<u32> {
        let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
        if second.from.is_none_or(|from| now - from >= Duration::from_secs(1)) {
            second.from = Some(now);
            second.lines = 0;
        }
        if second.lines >= self.most {
            second.left_out += 1;
            return None;
        }
        second.lines += 1;
        Some(std::mem::take(&mut second.left_out))
    }

    fn line(&self, at_ms: u128, level: &str, what: &str, pairs: &[(String, String)]) -> String {
        match self.format {
            Format::Plain => {
                let mut line = format!("{}: {what}", self.program);
                for (key, value) in pairs {
                    _ = write!(line, " {key}={value}");
                }
                // Whatever came in from outside may not pass for a line of its own.
                line.replace(['\n', '\r'], " ")
            }
            Format::Json => {
                let mut object = serde_json::Map::new();
                object.insert("at_ms".into(), (at_ms as u64).into());
                object.insert("level".into(), level.into());
                object.insert("what".into(), what.into());
                for (key, value) in pairs {
                    object.entry(key.clone()).or_insert_with(|| value.as_str().into());
                }
                serde_json::Value::Object(object).to_string()
            }
        }
    }
}

/// The least level of what is written, by its name in the environment: `warn`, `info` (changes of state and texts that were
/// given up) or `debug` (each request as well).
///
/// # Errors
///
/// The name is none of these.
pub fn level(name: &str) -> Result<LevelFilter, String> {
    match name {
        "warn" => Ok(LevelFilter::Warn),
        "info" => Ok(LevelFilter::Info),
        "debug" => Ok(LevelFilter::Debug),
        _ => Err(format!("ROUTER_LOG: {name:?} is none of warn, info and debug")),
    }
}

impl Log for Sink {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.target().starts_with("indigomast")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let limited = record.level() != Level::Trace;
        let left_out = if limited { self.admit(Instant::now()) } else { Some(0) };
        let Some(left_out) = left_out else { return };
        let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        if left_out > 0 {
            eprintln!("{}", self.line(at_ms, "warn", &format!("{left_out} lines left out"), &[]));
        }
        let mut pairs = Pairs::default();
        _ = record.key_values().visit(&mut pairs);
        let level = record.level().as_str().to_lowercase();
        eprintln!("{}", self.line(at_ms, &level, &record.args().to_string(), &pairs.0));
    }

    fn flush(&self) {}
}

#[cfg(test)]
mod tests;
