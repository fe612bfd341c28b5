//! Settings of an entry host on a platform.

use std::net::SocketAddr;

use anyhow::{Result, ensure};
use radishstair_core::proxy::capacity::Policy;
use radishstair_core::proxy::{Bounds, memory};

/// Settings of one entry host, read from its settings file.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this host.
    pub host: String,
    /// Availability zone of this host.
    pub zone: String,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address on which the load balancer checks readiness.
    pub ready_listen: SocketAddr,
    /// Address on which metrics are served.
    pub admin_listen: SocketAddr,
    /// Address on which peers send their load, over UDP, and fetch changes, over TCP.
    pub peer_listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's control API, which receives usage reports and orders for
    /// runners.
    pub desk: SocketAddr,
    /// Duties for which the platform accepts calls.
    pub duties: Duties,
    /// Which capacity is kept ready.
    #[serde(default)]
    pub capacity: Capacity,
    /// Bounds that the operator promises to callers, the same on all hosts.
    pub bounds: Bounds,
    /// Bandwidth of this host's link, in Mbit/s; 0 if unknown.
    #[serde(default)]
    pub link_mbps: f64,
    /// Whether all hosts start for the first time.
    #[serde(default)]
    pub first_start: bool,
    /// Memory of this host, in megabytes; 0 if unknown. What is held for slow callers and runners is
    /// limited to a part of it.
    #[serde(default)]
    pub memory_mb: f64,
    /// Maximum number of callers' connections. File descriptors beyond it remain for
    /// connections to runners.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// What is done with running streams.
    #[serde(default)]
    pub streams: Streams,
}

/// What is done with the KV caches of running streams, where the engines offer it.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Streams {
    /// Whether streams that cannot be resumed have a copy at another runner.
    pub copies: bool,
    /// Reserved: whether streams move away from runners that are leaving. No effect yet.
    pub moves: bool,
}

/// Duties that one host at a time performs.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    /// Whether usage is reported to the platform.
    pub usage: bool,
    /// Whether runners may be ordered.
    pub orders: bool,
}

/// Capacity that is kept ready beyond the current load.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Capacity {
    /// Whether a burst has to fit into the runners that are ready.
    #[serde(default)]
    pub bursts: bool,
}

impl Capacity {
    /// The policy that these settings select.
    pub fn policy(self) -> Policy {
        match self.bursts {
            true => Policy::Bursts,
            false => Policy::Usual,
        }
    }
}

/// Half of the file descriptors of a small host; the rest is for connections to runners.
fn default_connections() -> usize {
    2_048
}

/// Memory below which the program, its connections and the state of a fleet do not fit.
const MIN_MEMORY_MB: f64 = 48.0;

impl Settings {
    /// Maximum number of callers' connections, which the memory bounds as well.
    pub fn max_connections(&self) -> usize {
        self.connections.min(memory::max_connections(self.memory_mb))
    }

    /// Checks constraints that the types do not express.
    ///
    /// # Errors
    ///
    /// Names the invalid key and its allowed values.
    pub fn check(&self) -> Result<()> {
        ensure!(!self.host.is_empty(), "host: must not be empty");
        ensure!(!self.zone.is_empty(), "zone: must not be empty");
        let bounds = &self.bounds;
        ensure!(bounds.revocation_ms >= 500, "bounds.revocation_ms: at least 500");
        ensure!(
            bounds.configuration_ms >= 500,
            "bounds.configuration_ms: at least 500"
        );
        ensure!(
            bounds.repeat_ratio >= 0.0,
            "bounds.repeat_ratio: must not be negative"
        );
        ensure!(
            bounds.repeat_slack >= 0.0,
            "bounds.repeat_slack: must not be negative"
        );
        ensure!(bounds.repeat_window_s > 0, "bounds.repeat_window_s: at least 1");
        ensure!(bounds.lease_ms >= 500, "bounds.lease_ms: at least 500");
        ensure!(bounds.usage_window_s > 0, "bounds.usage_window_s: at least 1");
        ensure!(
            self.memory_mb == 0.0 || self.memory_mb >= MIN_MEMORY_MB,
            "memory_mb: 0 for unknown, or at least {MIN_MEMORY_MB}"
        );
        ensure!(bounds.grace_s > 0, "bounds.grace_s: at least 1");
        ensure!(
            (16..=100_000).contains(&self.connections),
            "connections: 16 to 100000"
        );
        Ok(())
    }
}
