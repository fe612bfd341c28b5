//! Zones that seem cut off.

use std::time::Duration;

use super::Fleet;
use crate::time::Moment;

/// Number of unreachable runners in a zone from which the whole zone is avoided.
const ZONE_FAILURES: usize = 2;
/// Time for which a zone is avoided that seems cut off; short, as its runners are then tried
/// again one by one.
const ZONE_BACKOFF: Duration = Duration::from_millis(800);
impl Fleet {
    /// Whether a zone is avoided because it seems cut off.
    pub(super) fn is_avoided(&self, now: Moment, zone: &str) -> bool {
        self.avoided_zones
            .iter()
            .any(|(have, until)| have == zone && !now.reached(*until))
    }

    /// Records a packet from a host of a zone; the next one is due within `limit`.
    pub fn record_zone_contact(&mut self, now: Moment, zone: &str, limit: Duration) {
        let until = now + limit;
        match self
            .zone_deadlines
            .binary_search_by(|(have, _)| have.as_str().cmp(zone))
        {
            Ok(at) => self.zone_deadlines[at].1 = until,
            Err(at) => self.zone_deadlines.insert(at, (zone.to_string(), until)),
        }
    }

    /// Whether the hosts of another zone have gone silent.
    ///
    /// A network cut gives no error: each request across it costs a connection timeout, and each
    /// copy that a runner requests across it a fraction of a second. Silence of the zone's hosts
    /// shows the cut sooner than either. It is only an indication, so it adds to a runner's cost
    /// and does not exclude it.
    pub fn is_zone_silent(&self, now: Moment, zone: &str) -> bool {
        let found = self
            .zone_deadlines
            .binary_search_by(|(have, _)| have.as_str().cmp(zone));
        zone != self.zone && found.is_ok_and(|at| now.reached(self.zone_deadlines[at].1))
    }

    /// Avoids the zone of a runner that could not be reached, if it is another zone and several of
    /// its runners are backing off.
    ///
    /// When a zone is cut off, each of its runners would cost one request a connection timeout,
    /// and a caller that hits four of them is refused. After the second runner, the whole zone is
    /// avoided.
    pub(super) fn record_unreachable(&mut self, now: Moment, zone: &str) {
        if zone == self.zone {
            return;
        }
        let backing_off = self.arena.iter().filter(|runner| {
            runner.listed.zone == zone && runner.is_listed(now) && !now.reached(runner.retry_at)
        });
        if backing_off.count() < ZONE_FAILURES {
            return;
        }
        self.avoided_zones.retain(|(have, _)| have != zone);
        self.avoided_zones.push((zone.to_string(), now + ZONE_BACKOFF));
    }
}
