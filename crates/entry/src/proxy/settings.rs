//! Settings of an entry host that runs on a platform.

use std::net::SocketAddr;

use anyhow::{Result, ensure};
use radishstair_core::proxy::Bounds;

/// What a process learns before it starts.
#[derive(Clone, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the balancer asks whether the host is ready.
    pub ready_listen: SocketAddr,
    /// Where metrics are served.
    pub admin_listen: SocketAddr,
    /// Where peers send their load, over UDP, and ask for changes, over TCP.
    pub peer_listen: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Where usage is reported and runners are ordered.
    pub desk: SocketAddr,
    /// Duties that the platform takes calls for.
    pub duties: Duties,
    /// Bounds that the platform promises.
    pub bounds: Bounds,
    /// Bandwidth of this host's link, in Mbit/s; 0 if it is not known.
    #[serde(default)]
    pub link_mbps: f64,
    /// Most connections of callers; some of the descriptors are for runners.
    #[serde(default = "default_connections")]
    pub connections: usize,
}

/// Duties that one host at a time holds.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    /// Whether usage is reported.
    pub usage: bool,
    /// Whether runners may be ordered.
    pub orders: bool,
}

/// Half of the descriptors that a small host has; the others are for runners.
fn default_connections() -> usize {
    2_048
}

impl Settings {
    /// Checks what types alone do not.
    ///
    /// # Errors
    ///
    /// Names the key and what is allowed there.
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
        ensure!(bounds.grace_s > 0, "bounds.grace_s: at least 1");
        ensure!(
            (16..=100_000).contains(&self.connections),
            "connections: 16 to 100000"
        );
        Ok(())
    }
}
