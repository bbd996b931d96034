//! Instances behind the wire: each has its own rules and its own id lists, and none sees another's.

use crate::wire::{self, Act};
use base64::{Engine, prelude::BASE64_STANDARD};
use indigomast::api::*;
use indigomast::rules::Rules;
use indigomast::time::{Moment, Span};
use indigomast_site::{Complaint, Names, parse_json};
use serde_json::Value;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

const WAKE: &str = "wake";

#[derive(Default)]
pub struct Hosts {
    pages: BTreeMap<u64, Vec<wire::Member>>,
    instances: BTreeMap<u64, Instance>,
}

struct Instance {
    rules: Rules,
    texts: Names<u32>,
    endpoints: Names<String>,
    dests: Names<u64>,
    keys: Names<String>,
    products: Names<String>,
    kinds: Names<String>,
    zones: Names<String>,
    pending: Vec<Event>,
    /// Has its place among those that act in this batch.
    called: bool,
}

impl Hosts {
    /// Answers one line of the wire.
    pub fn answer(&mut self, line: &str) -> Result<wire::Reply, Complaint> {
        let batch: wire::Batch = parse_json(line).map_err(|e| match serde_json::from_str(line) {
            Ok(wire::Numbered { round: Some(n) }) => format!("batch {n}: {e}"),
            Ok(_) => format!("batch without a number: {e}"),
            Err(e) => format!("not JSON: {e}"),
        })?;
        let mut order = Vec::new();
        for (at, event) in batch.arrivals.into_iter().enumerate() {
            self.take(event.get(), &mut order)
                .map_err(|e| format!("batch {}: arrivals[{at}]: {e}", batch.round))?;
        }
        let mut actions = Vec::new();
        for i in order {
            // One killed and started anew in the same batch has two places and acts once.
            if let Some(instance) = self.instances.get_mut(&i).filter(|instance| instance.called) {
                instance.act(i, Moment::from_millis(batch.t_ms), &mut actions);
            }
        }
        Ok(wire::Reply { round: batch.round, actions })
    }

    fn take(&mut self, event: &str, order: &mut Vec<u64>) -> Result<(), Complaint> {
        let head: wire::Head = parse_json(event)?;
        let within = |e: Complaint| format!("{}: {e}", head.msg);
        if head.msg == "Page" {
            let page: wire::Page = parse_json(event).map_err(within)?;
            self.pages.insert(page.number, page.members_list);
            return Ok(());
        }
        let i = head.i.ok_or_else(|| within("missing field `i`".into()))?;
        match head.msg.as_str() {
            "Up" => {
                let up: wire::Up = parse_json(event).map_err(within)?;
                self.instances.insert(i, Instance::new(up).map_err(within)?);
            }
            "Killed" => _ = self.instances.remove(&i),
            _ => {
                let instance =
                    self.instances.get_mut(&i).ok_or_else(|| within(format!("i: {i} does not run")))?;
                instance.take(&head.msg, event, &self.pages).map_err(within)?;
            }
        }
        if let Some(instance) = self.instances.get_mut(&i)
            && !std::mem::replace(&mut instance.called, true)
        {
            order.push(i);
        }
        Ok(())
    }
}

fn verdict(code: u8) -> Result<Verdict, Complaint> {
    Ok(match code {
        0 => Verdict::Delivered,
        255 => Verdict::Error,
        254 => Verdict::Full,
        253 => Verdict::TimeOut,
        252 => Verdict::ConnectFailed,
        251 => Verdict::Reset,
        250 => Verdict::Cancelled,
        249 => Verdict::Moot,
        other => return Err(format!("disposition: {other} is no outcome")),
    })
}

fn allowance(report: Option<BTreeMap<String, Value>>) -> Result<Option<Allowance>, Complaint> {
    let Some(report) = report else { return Ok(None) };
    let field = |name: &str| match report.get(name) {
        None | Some(Value::Null) => Ok(None),
        Some(value) => value.as_f64().map(Some).ok_or_else(|| format!("telemetry.{name}: not a number")),
    };
    let (left, rate) = (field("x0")?, field("x1")?);
    Ok(rate.map(|rate| Allowance { remaining_share: left.unwrap_or(0.0), calls_per_sec: rate }))
}

impl Instance {
    fn new(up: wire::Up) -> Result<Instance, Complaint> {
        let info = up.boot_info;
        let zones = Names::from_list(info.localities.clone());
        Ok(Instance {
            rules: Rules::new(info.decode(), up.seed as u64),
            texts: Names::from_list(Vec::new()),
            endpoints: Names::from_list(Vec::new()),
            dests: Names::from_list(Vec::new()),
            keys: Names::from_list(Vec::new()),
            products: Names::from_list(info.categories.iter().map(|c| c.name.clone()).collect()),
            kinds: Names::from_list(info.kinds),
            zones,
            pending: Vec::new(),
            called: false,
        })
    }

    fn text(&self, id: u32) -> Result<TextId, Complaint> {
        Ok(TextId(self.texts.index_of(&id, "op-id")?))
    }

    fn take(
        &mut self,
        msg: &str,
        event: &str,
        pages: &BTreeMap<u64, Vec<wire::Member>>,
    ) -> Result<(), Complaint> {
        let event = match msg {
            "PeersKnown" => {
                let known: wire::PeersKnown = parse_json(event)?;
                self.listed(known, pages)?
            }
            "JobIn" => {
                let job: wire::JobIn = parse_json(event)?;
                let product = ProductId(self.products.index_of(&job.class, "class")?);
                if self.texts.contains(&job.op_id) {
                    return Err(format!("op-id: {} came before", job.op_id));
                }
                Event::Accepted(AcceptedText {
                    text: TextId(self.texts.index_or_insert(&job.op_id)),
                    product,
                    dest: DestId(self.dests.index_or_insert(&job.dest)),
                    key: job.partition_key.map(|key| KeyId(self.keys.index_or_insert(&key))),
                    valid_until: Moment::from_millis(job.not_after_ms),
                })
            }
            "Established" => {
                let started: wire::Established = parse_json(event)?;
                Event::Streaming { text: self.text(started.op_id)?, submit: started.hop }
            }
            "Answer" => {
                let answer: wire::Answer = parse_json(event)?;
                let verdict = verdict(answer.disposition)?;
                let told = verdict == Verdict::Full && answer.note > 0.0;
                Event::Outcome(Outcome {
                    text: self.text(answer.op_id)?,
                    submit: answer.hop,
                    endpoint: EndpointId(self.endpoints.index_of(&answer.endpoint, "endpoint")?),
                    verdict,
                    in_doubt: false,
                    retry_after: told.then(|| Span::from_millis(answer.note)),
                    latency: Span::from_millis(answer.latency_ms),
                    ended: answer.no_more,
                    allowance: allowance(answer.telemetry)?,
                })
            }
            "CancelledByClient" => {
                let gone: wire::CancelledByClient = parse_json(event)?;
                Event::Withdrawn(self.text(gone.op_id)?)
            }
            "ProbeDone" => {
                let done: wire::ProbeDone = parse_json(event)?;
                Event::Probed {
                    endpoint: EndpointId(self.endpoints.index_of(&done.endpoint, "endpoint")?),
                    verdict: verdict(done.disposition)?,
                    latency: Span::from_millis(done.latency_ms),
                    allowance: allowance(done.telemetry)?,
                }
            }
            "Due" => {
                let due: wire::Due = parse_json(event)?;
                if due.ctx != WAKE {
                    return Ok(());
                }
                Event::TimerFired
            }
            "Inbox" => {
                let inbox: wire::Inbox = parse_json(event)?;
                let bytes = BASE64_STANDARD.decode(&inbox.blob).map_err(|e| format!("blob: {e}"))?;
                Event::PeerMessage { from: inbox.src, bytes }
            }
            other => return Err(format!("msg: {other:?} is no event")),
        };
        self.pending.push(event);
        Ok(())
    }

    fn listed(
        &mut self,
        known: wire::PeersKnown,
        pages: &BTreeMap<u64, Vec<wire::Member>>,
    ) -> Result<Event, Complaint> {
        let scope = match known.scope {
            wire::Scope::Error => {
                return Ok(Event::ListReceived { scope: Scope::Error, entries: Vec::new() });
            }
            wire::Scope::Partial => Scope::Partial,
            wire::Scope::Complete => Scope::Complete,
            wire::Scope::Persisted => Scope::Persisted,
        };
        let number = known.number.ok_or("missing field `ref`")?;
        let page = pages.get(&number).ok_or_else(|| format!("ref: no page {number}"))?;
        let entries = page.iter().map(|member| {
            Ok(Entry {
                endpoint: EndpointId(self.endpoints.index_or_insert(&member.endpoint)),
                dest: DestId(self.dests.index_or_insert(&member.belongs_to)),
                kind: KindId(self.kinds.index_of(&member.sku, "sku")?),
                zone: ZoneId(self.zones.index_of(&member.area, "area")?),
                units: member.units,
                condition: match member.condition {
                    wire::Condition::Running => Condition::Running,
                    wire::Condition::Stopping => Condition::Stopping,
                    wire::Condition::Deleted => Condition::Deleted,
                },
            })
        });
        Ok(Event::ListReceived { scope, entries: entries.collect::<Result<_, Complaint>>()? })
    }

    fn act(&mut self, i: u64, now: Moment, out: &mut Vec<Act>) {
        self.called = false;
        let mut events = std::mem::take(&mut self.pending);
        loop {
            let actions = match catch_unwind(AssertUnwindSafe(|| self.rules.step(now, events))) {
                Ok(actions) => actions,
                Err(panic) => {
                    let text = panic.downcast_ref::<String>().cloned();
                    let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()));
                    let what = text.unwrap_or_else(|| "the decisions panicked".into());
                    return out.push(Act::Die { i, what });
                }
            };
            // On this wire a report has reached its client the moment it is given.
            let told = actions.iter().filter_map(|action| match action {
                Action::Nack { text, .. } | Action::Undeliverable { text } => Some(Event::EndReported(*text)),
                _ => None,
            });
            events = told.collect();
            out.extend(actions.into_iter().filter_map(|action| self.translate(i, action)));
            if events.is_empty() {
                return;
            }
        }
    }

    fn translate(&self, i: u64, action: Action) -> Option<Act> {
        let op = |text: TextId| *self.texts.name(text.0);
        let address = |endpoint: EndpointId| self.endpoints.name(endpoint.0).clone();
        Some(match action {
            Action::Submit { text, endpoint, time_out, .. } => Act::Transmit {
                i,
                op_id: op(text),
                give_up_after_ms: time_out.as_millis(),
                endpoint: address(endpoint),
            },
            Action::Nack { text, retry_after } => Act::PushBack {
                i,
                op_id: op(text),
                cool_down_ms: retry_after.unwrap_or(Span::ZERO).as_millis(),
            },
            Action::Undeliverable { text } => Act::Error { i, op_id: op(text) },
            Action::Revoke { text, submit } => Act::Revoke { i, op_id: op(text), hop: submit },
            Action::Probe { endpoint } => Act::Sample { i, endpoint: address(endpoint) },
            Action::CloseIdle { endpoint } => Act::Release { i, endpoint: address(endpoint) },
            Action::Subscribe { on } => Act::Follow { i, enable: on },
            Action::ReadList => Act::ReadList { i },
            Action::SendToPeer { sender, bytes } => Act::Announce {
                i,
                recipient: sender.map_or(-1, |n| n as i64),
                blob: BASE64_STANDARD.encode(bytes),
            },
            Action::WakeAt(at) => Act::Timer { i, instant_ms: at.as_millis(), ctx: WAKE.into() },
            Action::Log(what) => Act::Print { i, what },
            // There a call leaves in the moment it is told.
            Action::CancelUnsent { .. } => return None,
        })
    }
}
