//! Contents of load reports.

use std::time::Duration;

use prost::Message;

use crate::proxy::fleet::{self, holdoff, rate};

/// Load of one host on one runner.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Load {
    /// Hash of the runner's id.
    #[prost(fixed64, tag = "1")]
    pub runner: u64,
    /// Requests that run or wait there.
    #[prost(uint32, tag = "2")]
    pub running: u32,
    /// Prefill work that is not done yet, in microseconds.
    #[prost(uint64, tag = "5")]
    pub prefill_us: u64,
    /// KV cache that the requests occupy when they end, in tokens.
    #[prost(uint64, tag = "4")]
    pub kv_tokens: u64,
}

impl Load {
    /// Load of this host on a runner.
    pub fn of(runner: &fleet::Runner) -> Self {
        Self {
            runner: runner.hash,
            running: runner.local_load.running,
            prefill_us: runner.local_load.prefill_us,
            kv_tokens: runner.local_load.kv_tokens,
        }
    }
}

impl From<Load> for fleet::Load {
    fn from(load: Load) -> Self {
        Self {
            running: load.running,
            prefill_us: load.prefill_us,
            kv_tokens: load.kv_tokens,
        }
    }
}

/// Rate of prefill work that one host sends to a service.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct PrefillRate {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// Prefill work over the last seconds, in microseconds per second.
    #[prost(uint64, tag = "3")]
    pub total_us: u64,
    /// Part of it for long prompts, in microseconds per second.
    #[prost(uint64, tag = "4")]
    pub long_us: u64,
}

impl PrefillRate {
    /// Sum of two rates for the same service.
    pub fn plus(self, other: &PrefillRate) -> Self {
        Self {
            service: self.service,
            total_us: self.total_us.saturating_add(other.total_us),
            long_us: self.long_us.saturating_add(other.long_us),
        }
    }
}

/// A prompt prefix and a runner that it was sent to.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct CachedPrefix {
    /// Id of the prefix.
    #[prost(fixed64, tag = "1")]
    pub prefix: u64,
    /// Hash of the runner's id.
    #[prost(fixed64, tag = "2")]
    pub runner: u64,
}

/// Limit of the requests that a runner takes from all hosts together.
#[derive(Clone, Copy, PartialEq, Message)]
pub struct RateLimit {
    /// Hash of the runner's id.
    #[prost(fixed64, tag = "1")]
    pub runner: u64,
    /// Requests per second; 0 if the limit has ended.
    #[prost(double, tag = "2")]
    pub per_s: f64,
    /// Time since an answer of the runner said so, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// A runner that wants nothing from a host now.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct HoldOff {
    /// Hash of the runner's id.
    #[prost(fixed64, tag = "1")]
    pub runner: u64,
    /// Hash of the host's address.
    #[prost(fixed64, tag = "2")]
    pub host: u64,
    /// Time for which it still wants nothing, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub remaining_ms: u32,
}

impl From<holdoff::Report> for HoldOff {
    fn from(report: holdoff::Report) -> Self {
        Self {
            runner: report.runner,
            host: report.host,
            remaining_ms: u32::try_from(report.remaining.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<HoldOff> for holdoff::Report {
    fn from(hold_off: HoldOff) -> Self {
        Self {
            runner: hold_off.runner,
            host: hold_off.host,
            remaining: Duration::from_millis(hold_off.remaining_ms.into()),
        }
    }
}

impl From<rate::Report> for RateLimit {
    fn from(report: rate::Report) -> Self {
        Self {
            runner: report.runner,
            per_s: report.limit.unwrap_or_default(),
            age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl From<RateLimit> for rate::Report {
    fn from(limit: RateLimit) -> Self {
        Self {
            runner: limit.runner,
            limit: (limit.per_s > 0.0).then_some(limit.per_s),
            age: Duration::from_millis(limit.age_ms.into()),
        }
    }
}

/// Load report of one host.
#[derive(Clone, PartialEq, Message)]
pub struct Packet {
    /// Identifier of the sender's run.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Sequence number; a packet that arrives after a later one is ignored.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Load on each runner that has any.
    #[prost(message, repeated, tag = "3")]
    pub loads: Vec<Load>,
    /// Prefill work that it sends to each service.
    #[prost(message, repeated, tag = "5")]
    pub prefill_rates: Vec<PrefillRate>,
    /// Usage record; empty in most packets.
    #[prost(bytes = "vec", tag = "4")]
    pub record: Vec<u8>,
    /// Long prefixes that it has sent to runners since its last packet.
    #[prost(message, repeated, tag = "7")]
    pub prefixes: Vec<CachedPrefix>,
    /// Availability zone of the sender.
    #[prost(string, tag = "8")]
    pub zone: String,
    /// Whether the packet only announces that the sender has just read a change from the store.
    #[prost(bool, tag = "6")]
    pub change_hint: bool,
    /// With `change_hint`: version of the sender's document.
    #[prost(uint64, tag = "9")]
    pub document_version: u64,
    /// Bandwidth of the sender's link, in Mbit/s.
    #[prost(uint32, tag = "10")]
    pub link_mbps: u32,
    /// Whether the packet is the summary of a zone.
    #[prost(bool, tag = "11")]
    pub summary: bool,
    /// With `summary`: time until the next one, in milliseconds.
    #[prost(uint32, tag = "12")]
    pub next_ms: u32,
    /// Whether the packet contains nothing but the usage record.
    #[prost(bool, tag = "13")]
    pub record_only: bool,
    /// Short hashes of the services that the sender reaches.
    #[prost(fixed32, repeated, tag = "14")]
    pub reached: Vec<u32>,
    /// Short hashes of the services to which the sender has lost the path.
    #[prost(fixed32, repeated, tag = "15")]
    pub lost: Vec<u32>,
    /// Connections that the sender relays for other hosts.
    #[prost(uint32, tag = "16")]
    pub relayed: u32,
    /// Short hashes of the services whose runners have told the sender that they are brittle.
    #[prost(fixed32, repeated, tag = "17")]
    pub brittle: Vec<u32>,
    /// Limits that the sender knows of.
    #[prost(message, repeated, tag = "18")]
    pub limits: Vec<RateLimit>,
    /// Hosts that connect to runners for others, and runners that want nothing from them now.
    #[prost(message, repeated, tag = "19")]
    pub hold_offs: Vec<HoldOff>,
    /// Whether the sender stops, and relays nothing new.
    #[prost(bool, tag = "20")]
    pub is_stopping: bool,
}
