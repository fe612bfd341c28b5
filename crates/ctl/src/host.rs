//! Requests to entry hosts for their status and the summaries of the zones.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use radishstair_core::kernel::{Status, ZoneStatus};

/// Age above which a zone's summary confirms no version.
pub const MAX_SUMMARY_AGE_MS: u64 = 10_000;
/// Pause between two polls of the zones' summaries.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Status of one host; `None` if it does not answer.
pub fn fetch_status(address: SocketAddr) -> Option<Status> {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(3)))
        .proxy(None)
        .build();
    let mut response = config
        .new_agent()
        .get(format!("http://{address}/status"))
        .call()
        .ok()?;
    let body = response.body_mut().read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}

/// Newest summary of each zone in the status of any host, sorted by zone.
pub fn zone_summaries(hosts: &[SocketAddr]) -> Vec<ZoneStatus> {
    let mut zones: Vec<ZoneStatus> = Vec::new();
    for zone in hosts
        .iter()
        .filter_map(|host| fetch_status(*host))
        .flat_map(|status| status.zones)
    {
        match zones.binary_search_by(|known| known.zone.cmp(&zone.zone)) {
            Ok(index) if zones[index].age_ms > zone.age_ms => zones[index] = zone,
            Ok(_) => {}
            Err(index) => zones.insert(index, zone),
        }
    }
    zones
}

/// Waits until every known zone has a version in force, or until the timeout.
/// Returns the summaries from the last poll.
pub fn await_version(hosts: &[SocketAddr], version: u64, timeout: Duration) -> Vec<ZoneStatus> {
    let deadline = Instant::now() + timeout;
    loop {
        let zones = zone_summaries(hosts);
        let confirmed = !zones.is_empty() && zones.iter().all(|zone| has_version(zone, version));
        if confirmed || Instant::now() >= deadline {
            return zones;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Whether a recent summary confirms that a zone has a version in force.
pub fn has_version(zone: &ZoneStatus, version: u64) -> bool {
    zone.version >= version && zone.age_ms <= MAX_SUMMARY_AGE_MS
}
