//! The wire's own names and shapes. They end in this package.

use indigomast_site::BootInfo;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_json::value::RawValue;
use std::collections::BTreeMap;

#[derive(Deserialize)]
pub struct Batch<'a> {
    #[serde(rename = "t-ms")]
    pub t_ms: f64,
    pub round: u64,
    #[serde(borrow)]
    pub arrivals: Vec<&'a RawValue>,
}

#[derive(Serialize)]
pub struct Reply {
    pub round: u64,
    #[serde(rename = "do")]
    pub actions: Vec<Act>,
}

/// Enough of a batch to name it in a complaint.
#[derive(Deserialize)]
pub struct Numbered {
    pub round: Option<u64>,
}

#[derive(Deserialize)]
pub struct Head {
    pub msg: String,
    pub i: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Up {
    pub seed: i128,
    pub boot_info: BootInfo,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Page {
    #[serde(rename = "ref")]
    pub number: u64,
    pub members_list: Vec<Member>,
}

#[derive(Deserialize, Clone)]
#[serde(rename_all = "kebab-case")]
pub struct Member {
    #[serde(default)]
    pub units: f64,
    pub condition: Condition,
    pub endpoint: String,
    pub area: String,
    pub belongs_to: u64,
    pub sku: String,
}

#[derive(Deserialize, Clone, Copy)]
pub enum Condition {
    Running,
    Stopping,
    Deleted,
}

#[derive(Deserialize)]
pub struct PeersKnown {
    pub scope: Scope,
    #[serde(rename = "ref")]
    pub number: Option<u64>,
}

#[derive(Deserialize, Clone, Copy, PartialEq)]
pub enum Scope {
    Partial,
    Complete,
    Persisted,
    Error,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct JobIn {
    pub op_id: u32,
    pub class: String,
    pub partition_key: Option<String>,
    pub not_after_ms: f64,
    pub dest: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Established {
    pub op_id: u32,
    #[serde(default)]
    pub hop: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Answer {
    pub op_id: u32,
    #[serde(default)]
    pub note: f64,
    #[serde(default)]
    pub disposition: u8,
    #[serde(default)]
    pub latency_ms: f64,
    #[serde(default)]
    pub no_more: bool,
    #[serde(default)]
    pub hop: usize,
    pub endpoint: String,
    pub telemetry: Option<BTreeMap<String, Value>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ProbeDone {
    pub endpoint: String,
    #[serde(default)]
    pub disposition: u8,
    #[serde(default)]
    pub latency_ms: f64,
    pub telemetry: Option<BTreeMap<String, Value>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CancelledByClient {
    pub op_id: u32,
}

#[derive(Deserialize)]
pub struct Due {
    pub ctx: String,
}

#[derive(Deserialize)]
pub struct Inbox {
    #[serde(default)]
    pub src: usize,
    #[serde(default)]
    pub blob: String,
}

#[derive(Serialize, Debug)]
#[serde(tag = "msg", rename_all_fields = "kebab-case")]
pub enum Act {
    Transmit { i: u64, op_id: u32, give_up_after_ms: f64, endpoint: String },
    PushBack { i: u64, op_id: u32, cool_down_ms: f64 },
    Error { i: u64, op_id: u32 },
    Revoke { i: u64, op_id: u32, hop: usize },
    Sample { i: u64, endpoint: String },
    Release { i: u64, endpoint: String },
    Follow { i: u64, enable: bool },
    ReadList { i: u64 },
    Announce { i: u64, recipient: i64, blob: String },
    Timer { i: u64, instant_ms: f64, ctx: String },
    Print { i: u64, what: String },
    Die { i: u64, what: String },
}
