//! Settings file of `radishctl`.

use std::net::SocketAddr;

/// Addresses of the platform and of entry hosts, and the operator's name.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// IP address and port of the platform's service.
    pub platform: SocketAddr,
    /// Operator's name for the audit trail.
    pub who: String,
    /// Admin addresses of some entry hosts, preferably one per zone.
    #[serde(default)]
    pub hosts: Vec<SocketAddr>,
}
