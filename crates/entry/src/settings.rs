//! Settings of one entry host.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use anyhow::{Result, ensure};
use radishstair_core::dispatch::Policy;
use radishstair_core::units::DurationText;
use serde_with::serde_as;

#[serde_as]
/// What a process learns before it starts.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the host.
    pub host: String,
    /// Availability zone.
    pub zone: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where peers connect.
    pub peer_listen: SocketAddr,
    /// Address told to peers, if it differs.
    #[serde(default)]
    pub peer_address: Option<SocketAddr>,
    /// Where operators connect: metrics, health, status.
    pub admin_listen: SocketAddr,
    /// Some peers to begin with.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Shared by all entry hosts; strangers are refused.
    pub peer_token: String,
    /// The platform's service.
    pub platform: SocketAddr,
    /// Most connections of callers.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Traffic threads.
    #[serde(default = "default_threads")]
    pub threads: usize,
    /// How long to go on accepting after being told to stop.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_linger")]
    pub linger: Duration,
    /// Longest time to let requests finish after that.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_drain")]
    pub drain: Duration,
    /// How calls are ordered and placed; other than `full` for comparisons.
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
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Names the key and what is allowed there.
    pub fn load(path: &Path) -> Result<Self> {
        let settings: Self = radishstair_wire::settings::load(path)?;
        settings.check()?;
        Ok(settings)
    }

    /// Checks what types alone do not.
    ///
    /// # Errors
    ///
    /// Names the key and what is allowed there.
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

    /// Address that peers are told.
    pub fn advertised(&self) -> SocketAddr {
        self.peer_address.unwrap_or(self.peer_listen)
    }
}
