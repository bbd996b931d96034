//! The actor that reports how texts ended, to the platform or wherever it is told to, until each report is answered.

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

#[derive(Clone, Debug)]
pub struct Notice {
    pub text: TextId,
    pub id: String,
    pub report: Report,
}

/// A notice as the platform reads it.
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

/// Whoever is told how texts ended.
pub trait Reporter: Send {
    /// Tells of these, all or none. On an error, which says what went wrong, they are told again.
    fn report(&mut self, batch: &[Notice]) -> Result<ReportResponse, String>;
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportResponse {
    Accepted,
    /// One of them at least can't be read there: told alone, it is dropped.
    Unreadable,
}

pub struct Notifier {
    pub reporter: Box<dyn Reporter>,
    pub limits: Arc<Limits>,
    pub decider: Mailbox,
}

impl Notifier {
    pub fn run(mut self, inbox: Receiver<Notice>) {
        while let Ok(first) = inbox.recv() {
            let mut batch = vec![first];
            batch.extend(inbox.try_iter().take(self.limits.reports_a_call - 1));
            self.see_through(batch);
        }
    }

    /// A lost or late answer says nothing, and a notice that comes twice does no harm: it goes again.
    fn see_through(&mut self, batch: Vec<Notice>) {
        let mut pause = self.limits.report_pause;
        loop {
            match self.reporter.report(&batch) {
                Ok(ReportResponse::Accepted) => {
                    _ = self.decider.send(Message::Reported(batch.iter().map(|n| n.text).collect()));
                    return;
                }
                Ok(ReportResponse::Unreadable) if batch.len() > 1 => {
                    // One that can't be read would hold back all others.
                    return batch.into_iter().for_each(|notice| self.see_through(vec![notice]));
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

/// Requests with a body, each on a connection of its own: their answers name nothing, and one too many, as a second copy, would
/// be taken for the answer to the next request.
pub struct HttpPoster {
    limits: Arc<Limits>,
}

impl HttpPoster {
    pub fn new(limits: Arc<Limits>) -> HttpPoster {
        HttpPoster { limits }
    }

    /// The status of the answer.
    ///
    /// # Errors
    ///
    /// No connection came up, or no head of an answer came in time; the request may have been heard.
    pub fn post(&self, address: SocketAddr, path: &str, body: &str) -> Result<u16, String> {
        let limits = &*self.limits;
        let mut link = Link::open(address, limits.report_time).map_err(|e| e.to_string())?;
        let line = format!("POST {path}");
        http::put_request(&mut link.outward, &line, &address.to_string(), &[], body.as_bytes());
        let by = Instant::now() + limits.report_time;
        link.send(by).map_err(|e| format!("not sent: {e:?}"))?;
        let head = link.head(limits, by).map_err(|e| format!("{e:?}"))?;
        // Read, for a close over unread bytes is a reset: the other end may take that for a failure of its own.
        _ = link.body(&head, limits.body, by);
        Ok(head.status)
    }
}

/// The platform, by its own protocol.
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
