//! Load of a zone, told to the other zones as one sum.
//!
//! Reports from each host to each other one would cost bytes that grow with the square of the
//! fleet, so each host sends them the less often the more hosts there are. A large zone therefore
//! has two delegates. They hear of all loads in their zone, add them up, and send the sum by turns to
//! a delegate of each other zone, which passes it on to its own zone. A host then receives one
//! summary per zone, however many hosts there are. There is no election: a host whose list of hosts
//! differs sends a summary too many, or to a host that is no delegate, which passes it on as well.

use std::time::Duration;

use super::{CachedPrefix, Load, Packet, PrefillRate, RateLimit};

/// Bytes of summaries that a host receives in a second from all zones together.
const RECEIVED_BYTES_PER_S: usize = 6_000;
/// Minimum and maximum time between two summaries of a zone.
const MIN_PAUSE: Duration = Duration::from_millis(500);
pub(super) const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Number of runners whose load a summary contains at most: the busiest, which hosts of other zones
/// have to avoid.
const MAX_LOADS: usize = 128;
/// Maximum number of limits of runners in a summary.
const MAX_LIMITS: usize = 128;
/// Maximum number of prefixes kept until the next summary; they take no more bytes than the loads.
/// Further ones are dropped, and sent when they are used again.
const MAX_PREFIXES: usize = 128;

/// Time between two summaries of one zone, if each has this many bytes.
pub fn pause(bytes: usize, zones: usize) -> Duration {
    let all = (bytes * zones.saturating_sub(1)) as f64;
    Duration::from_secs_f64(all / RECEIVED_BYTES_PER_S as f64).clamp(MIN_PAUSE, MAX_PAUSE)
}

/// Adds the loads and rates of a packet to a summary.
pub fn add(summary: &mut Packet, packet: &Packet) {
    for load in &packet.loads {
        add_load(&mut summary.loads, load);
    }
    for rate in &packet.prefill_rates {
        add_rate(&mut summary.prefill_rates, rate);
    }
}

/// Adds limits of runners that were received this long ago; of several for one runner, the latest is kept.
pub fn add_limits(summary: &mut Packet, limits: &[RateLimit], since: Duration) {
    for limit in limits {
        let aged = RateLimit {
            age_ms: limit.age_ms.saturating_add(since.as_millis() as u32),
            ..*limit
        };
        let found = summary.limits.iter().position(|have| have.runner == limit.runner);
        match found {
            Some(at) if summary.limits[at].age_ms > aged.age_ms => summary.limits[at] = aged,
            Some(_) => {}
            None if summary.limits.len() < MAX_LIMITS => summary.limits.push(aged),
            None => {}
        }
    }
}

/// Removes the loads that count least, if there are too many.
pub fn limit(summary: &mut Packet) {
    if summary.loads.len() > MAX_LOADS {
        summary
            .loads
            .sort_unstable_by_key(|load| std::cmp::Reverse((load.prefill_us, load.running, load.runner)));
        summary.loads.truncate(MAX_LOADS);
    }
}

fn add_load(loads: &mut Vec<Load>, load: &Load) {
    if *load
        == (Load {
            runner: load.runner,
            ..Load::default()
        })
    {
        return;
    }
    match loads.binary_search_by_key(&load.runner, |have| have.runner) {
        Ok(at) => {
            let have = &mut loads[at];
            have.running = have.running.saturating_add(load.running);
            have.prefill_us = have.prefill_us.saturating_add(load.prefill_us);
            have.kv_tokens = have.kv_tokens.saturating_add(load.kv_tokens);
        }
        Err(at) => loads.insert(at, *load),
    }
}

fn add_rate(rates: &mut Vec<PrefillRate>, rate: &PrefillRate) {
    match rates.binary_search_by_key(&rate.service, |have| have.service) {
        Ok(at) => rates[at] = rates[at].plus(rate),
        Err(at) => rates.insert(at, *rate),
    }
}

/// Prefixes that the hosts of a zone have announced since its last summary.
#[derive(Clone, Debug, Default)]
pub struct Announced {
    /// `None` while this host is no delegate.
    prefixes: Option<Vec<CachedPrefix>>,
}

impl Announced {
    /// Starts or stops collecting.
    pub fn set_collecting(&mut self, is_delegate: bool) {
        match is_delegate {
            true => {
                self.prefixes.get_or_insert_default();
            }
            false => self.prefixes = None,
        }
    }

    /// Adds prefixes, if this host collects them.
    pub fn add(&mut self, announced: &[CachedPrefix]) {
        let Some(prefixes) = &mut self.prefixes else {
            return;
        };
        for prefix in announced {
            if prefixes.len() < MAX_PREFIXES && !prefixes.contains(prefix) {
                prefixes.push(*prefix);
            }
        }
    }

    /// Takes the prefixes for a summary.
    pub fn take(&mut self) -> Vec<CachedPrefix> {
        self.prefixes.as_mut().map(std::mem::take).unwrap_or_default()
    }
}
