//! Cold starts and evacuated zones.
//!
//! A runner that has just started is cold for some seconds: it crashes when it gets more than a
//! few requests a second from all hosts together. It is empty then, so it would look the cheapest
//! to all hosts at once. No host sends it requests until it is warm.
//!
//! The list is seconds old, so it shows a cold start late. When a restart is likely, a runner
//! counts as cold until the list is recent enough to tell: after its connections were lost, and
//! when the evacuation of its zone ends.

use std::time::Duration;

use super::{Fleet, Key, Runner};
use crate::time::Moment;

/// Time by which the store may have read an entry later than the read was sent.
const READ_DELAY: Duration = Duration::from_millis(300);
/// Time after which a change of a runner's state is in the list: the time between two writes of
/// its entry, and the delay with which a write becomes visible.
const ENTRY_DELAY: Duration = Duration::from_millis(2_500);

/// When a runner is warm whose entry, read at `sent`, says that it stays cold for `cold_for`.
pub(super) fn warm_at(sent: Moment, cold_for: Duration) -> Moment {
    match cold_for.is_zero() {
        true => Moment::default(),
        false => sent + cold_for + READ_DELAY,
    }
}

impl Runner {
    fn assume_cold(&mut self, now: Moment) {
        self.warm_at = self.warm_at.max(now + ENTRY_DELAY);
    }
}

impl Fleet {
    /// Replaces the list of services whose runners start cold.
    pub fn set_cold_services(&mut self, mut services: Vec<String>) {
        services.sort_unstable();
        self.cold_services = services;
    }

    /// Counts a runner as cold until its entry must show whether it is.
    pub(super) fn verify_warmth(&mut self, now: Moment, key: Key) {
        if let Some(runner) = self.arena.get_mut(key.index())
            && self.cold_services.binary_search(&runner.listed.service).is_ok()
        {
            runner.assume_cold(now);
        }
    }

    /// Replaces the list of evacuated zones. Their runners get no new requests, and provide no
    /// cached prefixes.
    ///
    /// When an evacuation ends, all runners of the zone are idle, and may have become cold since
    /// their entries were written.
    pub fn set_evacuated(&mut self, now: Moment, mut zones: Vec<String>) {
        zones.sort_unstable();
        if zones == self.evacuated_zones {
            return;
        }
        self.evacuated_zones = zones;
        for runner in &mut self.arena {
            let evacuated = self.evacuated_zones.binary_search(&runner.listed.zone).is_ok();
            let has_cold_start = self.cold_services.binary_search(&runner.listed.service).is_ok();
            if runner.evacuated && !evacuated && has_cold_start {
                runner.assume_cold(now);
            }
            runner.evacuated = evacuated;
        }
    }

    /// Whether the operator has evacuated a zone.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let found = self
            .evacuated_zones
            .binary_search_by(|have| have.as_str().cmp(zone));
        found.is_ok()
    }
}
