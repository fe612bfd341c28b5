//! Settings of one entry host.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::{Result, ensure};
use radishstair_core::dispatch::Policy;
use radishstair_core::units::DurationText;
use serde_with::serde_as;

#[serde_as]
/// Settings of an entry host, read once at the start of the process.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for peers.
    pub peer_listen: SocketAddr,
    /// Address that peers use for this host, if it differs from `peer_listen`.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Address for operators: metrics, health and status.
    pub admin_listen: SocketAddr,
    /// Addresses of peers to contact first; the others are learned from them.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Secret shared by all entry hosts; messages without it are refused.
    pub peer_token: String,
    /// Address of the platform's services.
    pub platform: SocketAddr,
    /// Limit on connections of callers.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Number of threads that serve callers, 1 to 64.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// Time for which a stopping host still accepts requests, until the load
    /// balancer has noticed.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_linger")]
    pub linger: Duration,
    /// Longest time after that for requests in flight to finish.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_drain")]
    pub drain: Duration,
    /// Dispatch policy; values other than `full` are for comparisons.
    #[serde(default)]
    pub policy: Policy,
}

fn default_connections() -> usize {
    4_096
}

fn default_threads() -> usize {
    2
}

fn default_linger() -> Duration {
    Duration::from_secs(2)
}

fn default_drain() -> Duration {
    Duration::from_secs(300)
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or a value is invalid; names the key and the
    /// allowed values.
    pub fn load(path: &Path) -> Result<Self> {
        let settings: Self = radishstair_wire::settings::load(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks constraints that the types do not express.
    ///
    /// # Errors
    ///
    /// When a value is invalid; names the key and the allowed values.
    pub fn check(&self) -> Result<()> {
        ensure!(!self.host.is_empty(), "host: must not be empty");
        ensure!(!self.zone.is_empty(), "zone: must not be empty");
        ensure!(self.peer_token.len() >= 16, "peer_token: at least 16 characters");
        ensure!((1..=64).contains(&self.threads), "threads: 1 to 64");
        ensure!(
            (16..=100_000).contains(&self.connections),
            "connections: 16 to 100000"
        );
        Ok(())
    }

    /// Address that peers use for this host.
    pub fn advertised_address(&self) -> SocketAddr {
        self.peer_address.unwrap_or(self.peer_listen)
    }
}
