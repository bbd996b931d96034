//! The actor that reports failed texts to the platform or another configured receiver, and retries until each
//! report is answered.

use crate::decider::Message;
use crate::http;
use crate::limits::Limits;
use crate::link::Link;
use crate::platform::Platform;
use crate::text_journal::Report;
use crate::{Mailbox, log};
use crossbeam_channel::Receiver;
use indigomast::api::TextId;
use serde::Serialize;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Instant;

/// A report that a text was not delivered.
#[derive(Clone, Debug)]
pub struct Notice {
    pub text: TextId,
    pub id: String,
    pub report: Report,
}

/// A notice in the platform's format.
#[derive(Serialize)]
struct Line<'a> {
    id: &'a str,
    status: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    again_ms: Option<u64>,
}

impl Notice {
    fn line(&self) -> String {
        let (status, again_ms) = match self.report {
            Report::Undeliverable => ("undeliverable", None),
            Report::Nacked { again_ms } => ("deferred", again_ms.map(|ms| ms.ceil() as u64)),
        };
        let line = Line { id: &self.id, status, again_ms };
        serde_json::to_string(&line).expect("a notice is plain data") + "\n"
    }
}

/// A receiver of reports.
pub trait Reporter: Send {
    /// Sends these notices, all or none.
    ///
    /// # Errors
    ///
    /// What went wrong; the notices are sent again.
    fn report(&mut self, batch: &[Notice]) -> Result<ReportResponse, String>;
}

/// How the receiver answered a batch of notices.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportResponse {
    /// All were accepted.
    Accepted,
    /// The receiver cannot parse at least one of them. A batch is then sent one by one, and an unreadable one
    /// is dropped.
    Unreadable,
}

/// The actor's state.
pub struct Notifier {
    pub reporter: Box<dyn Reporter>,
    pub limits: Arc<Limits>,
    pub decider: Mailbox,
}

impl Notifier {
    /// Sends notices in batches until the channel is closed.
    pub fn run(mut self, inbox: Receiver<Notice>) {
        while let Ok(first) = inbox.recv() {
            let mut batch = vec![first];
            batch.extend(inbox.try_iter().take(self.limits.reports_a_call - 1));
            self.send_until_answered(batch);
        }
    }

    /// Sends a batch until it is answered. A lost or late answer leaves the outcome unknown, and a duplicate
    /// notice is harmless, so the batch is sent again.
    fn send_until_answered(&mut self, batch: Vec<Notice>) {
        let mut pause = self.limits.report_pause;
        loop {
            match self.reporter.report(&batch) {
                Ok(ReportResponse::Accepted) => {
                    _ = self.decider.send(Message::Reported(batch.iter().map(|n| n.text).collect()));
                    return;
                }
                Ok(ReportResponse::Unreadable) if batch.len() > 1 => {
                    // Sent one by one, so that an unreadable notice does not block the others.
                    return batch.into_iter().for_each(|notice| self.send_until_answered(vec![notice]));
                }
                Ok(ReportResponse::Unreadable) => {
                    log!("the notice for {} can't be read by the platform and is dropped", batch[0].id);
                    _ = self.decider.send(Message::Reported(vec![batch[0].text]));
                    return;
                }
                Err(e) => {
                    log!("a notice was not answered: {e}");
                    thread::sleep(pause);
                    pause = (pause * 2).min(self.limits.longest_report_pause);
                }
            }
        }
    }
}

/// Sends POST requests, each on a connection of its own: responses do not identify their request, so a
/// duplicate would be taken for the response to the next one.
pub struct HttpPoster {
    limits: Arc<Limits>,
}

impl HttpPoster {
    /// A client with these limits.
    pub fn new(limits: Arc<Limits>) -> HttpPoster {
        HttpPoster { limits }
    }

    /// Sends a request and returns the status of the response.
    ///
    /// # Errors
    ///
    /// The connection failed, or no response head arrived in time; the request may have been processed.
    pub fn post(&self, address: SocketAddr, path: &str, body: &str) -> Result<u16, String> {
        let limits = &*self.limits;
        let mut link = Link::open(address, limits.report_time).map_err(|e| e.to_string())?;
        let line = format!("POST {path}");
        http::put_request(&mut link.outward, &line, &address.to_string(), &[], body.as_bytes());
        let by = Instant::now() + limits.report_time;
        link.send(by).map_err(|e| format!("not sent: {e:?}"))?;
        let head = link.head(limits, by).map_err(|e| format!("{e:?}"))?;
        // The body is read because closing a socket with unread bytes sends a reset, which the peer may take
        // for a failure.
        _ = link.body(&head, limits.body, by);
        Ok(head.status)
    }
}

/// Reports to the platform by its own protocol.
pub struct PlatformReporter {
    pub platform: Arc<Platform>,
    pub post: HttpPoster,
}

impl Reporter for PlatformReporter {
    fn report(&mut self, batch: &[Notice]) -> Result<ReportResponse, String> {
        let body: String = batch.iter().map(Notice::line).collect();
        match self.post.post(self.platform.address(), "/reports", &body)? {
            204 => Ok(ReportResponse::Accepted),
            400 => Ok(ReportResponse::Unreadable),
            other => Err(format!("answered with {other}")),
        }
    }
}
