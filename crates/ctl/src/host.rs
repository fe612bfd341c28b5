//! Asking entry hosts how things stand.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use radishstair_core::kernel::{Status, ZoneStatus};

/// Age past which a zone's summary is no confirmation.
pub const MAX_SUMMARY_AGE_MS: u64 = 10_000;
/// Pause between looks.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Status of one host; `None` when it does not answer.
pub fn fetch_status(address: SocketAddr) -> Option<Status> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(3)))
        .proxy(None)
        .build();
    let mut answer = config
        .new_agent()
        .get(format!("http://{address}/status"))
        .call()
        .ok()?;
    let body = answer.body_mut().read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}

/// The newest summary of each zone that any host has.
pub fn zone_summaries(hosts: &[SocketAddr]) -> Vec<ZoneStatus> {
    let mut zones: Vec<ZoneStatus> = Vec::new();
    for zone in hosts
        .iter()
        .filter_map(|host| fetch_status(*host))
        .flat_map(|status| status.zones)
    {
        match zones.binary_search_by(|have| have.zone.cmp(&zone.zone)) {
            Ok(at) if zones[at].age_ms > zone.age_ms => zones[at] = zone,
            Ok(_) => {}
            Err(at) => zones.insert(at, zone),
        }
    }
    zones
}

/// Waits until every known zone has a version in force, or time is up.
pub fn await_version(hosts: &[SocketAddr], version: u64, limit: Duration) -> Vec<ZoneStatus> {
    let until = Instant::now() + limit;
    loop {
        let zones = zone_summaries(hosts);
        let confirmed = !zones.is_empty() && zones.iter().all(|zone| has_version(zone, version));
        if confirmed || Instant::now() >= until {
            return zones;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Whether a zone's summary confirms a version.
pub fn has_version(zone: &ZoneStatus, version: u64) -> bool {
    zone.version >= version && zone.age_ms <= MAX_SUMMARY_AGE_MS
}
