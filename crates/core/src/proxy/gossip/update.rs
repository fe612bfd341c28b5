//! Changes of a host's load, sent to its zone between two load reports.
//!
//! The hosts of a zone choose among the same runners. With a report every half second, dozens of
//! hosts send their next requests to the runner that looked idle in the last report. A host
//! therefore sends the runners whose load has changed as soon as it has placed a request or a
//! prompt has been prefilled. The reports repair what a lost datagram left wrong.

use std::time::Duration;

use prost::Message;

use super::datagram::{self, Kind};
use super::{HoldOff, Load};
use crate::proxy::fleet::leaving;

/// Updates that a host receives a second when all hosts of its zone are busy.
const MAX_RECEIVED_PER_S: u32 = 300;

/// Loads of one host that have changed since its last report or update.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Update {
    /// Identifier of the sender's run.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// Sequence number of the sender's last report.
    #[prost(uint64, tag = "2")]
    pub report: u64,
    /// Number of the update since that report, from 1.
    #[prost(uint32, tag = "3")]
    pub number: u32,
    /// Current load on each runner whose load has changed.
    #[prost(message, repeated, tag = "4")]
    pub loads: Vec<Load>,
    /// Hashes of the runners that the sender has just failed to reach.
    #[prost(fixed64, repeated, tag = "5")]
    pub unreachable: Vec<u64>,
    /// Hashes of the brittle runners that have just rejected a request of the sender.
    #[prost(fixed64, repeated, tag = "6")]
    pub rejected: Vec<u64>,
    /// Runners whose answers to the sender have just said that they shut down.
    #[prost(message, repeated, tag = "7")]
    pub leaving: Vec<Leaving>,
    /// Hosts that connect to runners for others, and runners that want nothing from them now.
    #[prost(message, repeated, tag = "8")]
    pub hold_offs: Vec<HoldOff>,
}

/// Process of a runner that shuts down.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct Leaving {
    /// Hash of the runner's id.
    #[prost(fixed64, tag = "1")]
    pub runner: u64,
    /// Start of the process in milliseconds since the Unix epoch; 0 if unknown.
    #[prost(uint64, tag = "2")]
    pub started_ms: u64,
}

impl From<leaving::Report> for Leaving {
    fn from(report: leaving::Report) -> Self {
        Self {
            runner: report.runner,
            started_ms: report.started_ms,
        }
    }
}

impl From<Leaving> for leaving::Report {
    fn from(leaving: Leaving) -> Self {
        Self {
            runner: leaving.runner,
            started_ms: leaving.started_ms,
        }
    }
}

impl Update {
    /// Whether it has news that concern the hosts of all zones.
    pub fn concerns_all_zones(&self) -> bool {
        !self.unreachable.is_empty()
            || !self.rejected.is_empty()
            || !self.leaving.is_empty()
            || !self.hold_offs.is_empty()
    }

    /// Datagram with this update.
    pub fn to_datagram(&self) -> Vec<u8> {
        datagram::encode(Kind::Update, self)
    }

    /// Update in a datagram; `None` if it contains something else.
    pub fn from_datagram(bytes: &[u8]) -> Option<Self> {
        datagram::decode(Kind::Update, bytes)
    }

    /// Order among the updates of one run.
    pub(super) fn order(&self) -> (u64, u32) {
        (self.report, self.number)
    }
}

/// Minimum time between two updates of a host in a zone of `near` hosts, including itself.
pub fn interval(near: u32) -> Duration {
    Duration::from_secs(1) * near.max(1) / MAX_RECEIVED_PER_S
}
