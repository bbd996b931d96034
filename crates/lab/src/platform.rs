//! The platform's side of the wire: the settings a sender is started with, names, and entries of the list.
//!
//! Both stages take the settings from here, decoded by `indigomast-site`, so that the decisions are told the same
//! thing in simulated time as a daemon is by its file. The platform's names end in this module.

use crate::scenario::{Listed, Repeat, Scenario};
use crate::world::Member;
use indigomast::api::{Condition, Settings};
use indigomast_gateway::TextNo;
use indigomast_site::BootInfo;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The settings object of one sender.
pub fn settings(scenario: &Scenario, ordinal: usize) -> Value {
    let products = scenario.products.iter().map(|product| product.get_ref());
    let categories: Vec<Value> = products
        .map(|product| {
            json!({
                "name": product.name,
                "objective-ms": product.sla_ms,
                "deadline-ms": product.validity_ms,
                "repeat": match product.repeat {
                    Repeat::Resendable => "read_like",
                    Repeat::Referenced => "idempotency_key",
                    Repeat::OnceOnly => "non_idempotent",
                },
                "group": "all",
                "in-order": product.in_order,
                "window-ms": product.memory_ms,
                "worth": product.revenue,
                "late-worth": 0.0,
                "stream": false,
            })
        })
        .collect();
    let kinds: Vec<_> = scenario.kinds.iter().map(|kind| kind.get_ref()).collect();
    let keeps = kinds.iter().map(|kind| kind.keeps_ms).fold(f64::INFINITY, f64::min);
    let rules = &scenario.rules;
    json!({
        "group-size": scenario.fleet.senders,
        "ordinal": ordinal,
        "categories": categories,
        "kinds": kinds.iter().map(|kind| kind.name.clone()).collect::<Vec<_>>(),
        "localities": ["here"],
        "tick-ms": 5.0,
        "family-info": {
            "call-slots": scenario.fleet.slots,
            "kind-batch": kinds.iter().map(|kind| kind.texts_per_call).collect::<Vec<_>>(),
            "routes-apart": kinds.iter().map(|kind| kind.routes_apart).collect::<Vec<_>>(),
            "turned-away-price": scenario.rules.refused_price,
        },
        "membership-mode": "automatic",
        "weight-kind": match scenario.list.rate {
            Listed::Silent => "silent",
            Listed::Exact => "nominal",
            Listed::Rough => "rough",
        },
        "obligations": {
            "cold-share": rules.cold_share,
            "cold-ms": rules.cold_s * 1000.0,
            "tip-multiple": rules.tip_multiple,
            "must-ask-in-ms": 10_000.0,
            "settle-after-doubt-ms": rules.settle_ms,
        },
        "ceilings": {
            "max-attempts": scenario.fleet.submits,
            "most-held": scenario.fleet.held,
            "keepalive-ms": keeps,
            "connect-timeout-ms": rules.connect_ms,
            "retry-after": true,
            "max-retry-after-ms": rules.longest_advice_ms,
        },
    })
}

/// What the decisions read of the settings.
///
/// # Panics
/// Never for a scenario that was checked: the settings are made here.
pub fn decoded(scenario: &Scenario, ordinal: usize) -> Settings {
    let info: BootInfo = serde_json::from_value(settings(scenario, ordinal)).expect("settings of our own");
    info.decode()
}

/// The reports that an answer bears for a limit, as a header's value.
pub fn load_report(remaining_share: f64, calls_per_sec: f64) -> String {
    format!("x0={remaining_share:.3},x1={calls_per_sec:.3}")
}

pub fn id_of(text: TextNo) -> String {
    format!("{:016x}", text.0)
}

pub fn text_of(id: &str) -> Option<TextNo> {
    u64::from_str_radix(id, 16).ok().filter(|_| id.len() == 16).map(TextNo)
}

pub fn endpoint_name(at: usize) -> String {
    format!("e-{at}")
}

/// An entry of the list, as discovery writes it.
pub fn entry(member: &Member, kind: &str, address: SocketAddr) -> Value {
    json!({
        "id": endpoint_name(member.endpoint.0),
        "host_port": address.to_string(),
        "locality": "here",
        "flavor": kind,
        "cell": member.dest.0,
        "phase": match member.condition {
            Condition::Running => "Ready",
            Condition::Stopping => "Terminating",
            Condition::Deleted => "Gone",
        },
        "size": member.units,
        "up_since_ms": 0,
    })
}
