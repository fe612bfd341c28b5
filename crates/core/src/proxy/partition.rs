//! Division of runners between long and short prompts.
//!
//! An engine prefills a prompt in chunks between the events of the streams it runs, which stalls
//! short streams. Part of each zone's runners is therefore reserved for long prompts, in
//! proportion to their share of the prefill work, and placing a request on the wrong side costs
//! the stalls that it causes. Both follow measurements: an engine that prefills fast stalls
//! streams little, so requests cross over sooner.

use std::time::Duration;

use super::fleet::Runner;
use super::latency::{Latency, ms};
use super::route::Table;
use crate::time::Moment;

/// Share of the allowed gap, less the usual gap of a stream that runs alone, from which a prompt's
/// prefill counts as long.
const LONG_RATIO: f64 = 0.3;
/// Allowed gap between events if no route sets one.
const DEFAULT_GAP: Duration = Duration::from_millis(250);
/// Initial share of the runners reserved for long prompts, until there is traffic.
const LONG_SHARE: f64 = 0.7;
/// Limits of that share; both kinds keep some runners.
const MIN_LONG_SHARE: f64 = 0.25;
const MAX_LONG_SHARE: f64 = 0.75;
/// Weight of the current traffic in that share. It is low because a runner that changes sides
/// loses the benefit of the separation for a while.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Number of stalls that a long prompt is certain to cause among short streams, and the number
/// that each running stream adds.
const LONG_STALLS: f64 = 3.7;
const LONG_STALLS_PER_STREAM: f64 = 0.3;
/// Number of stalls that a short stream is likely to meet among long prompts.
const SHORT_STALLS: f64 = 1.5;

plain! {
    /// Division of one service's runners.
    #[derive(Copy)]
    pub struct Partition {
        /// Prefill time from which a prompt counts as long.
        pub long_prompt: Duration,
        /// Gap that the prefill of a long prompt causes in a concurrent stream.
        pub stall: Duration,
        /// Share of a zone's runners that is reserved for long prompts.
        pub long_share: f64,
    }
}

impl Default for Partition {
    fn default() -> Self {
        Self {
            long_prompt: DEFAULT_GAP.mul_f64(LONG_RATIO),
            stall: DEFAULT_GAP,
            long_share: LONG_SHARE,
        }
    }
}

impl Partition {
    /// Updates the division from the measured gaps and from the prefill work: `long` of `all`.
    pub fn update(&mut self, latency: &Latency, allowed: Duration, long: u64, all: u64) {
        let idle_gap = latency.event_gap(0.0).min(allowed);
        self.long_prompt = (allowed - idle_gap).mul_f64(LONG_RATIO);
        self.stall = latency.stall();
        if all > 0 {
            let share = (long as f64 / all as f64).clamp(MIN_LONG_SHARE, MAX_LONG_SHARE);
            self.long_share += SAMPLE_WEIGHT * (share - self.long_share);
        }
    }

    /// Whether a prompt with this prefill time counts as long.
    pub fn is_long(&self, prefill: Duration) -> bool {
        prefill >= self.long_prompt
    }
}

/// Smallest event gap that any route to a service allows.
pub fn allowed_event_gap(table: &Table, service: &str) -> Duration {
    let routes = table.routes().iter().filter(|route| route.uses(service));
    routes
        .filter_map(|route| route.max_event_gap)
        .min()
        .unwrap_or(DEFAULT_GAP)
}

/// Assigns each runner of a service to long or short prompts, zone by zone. All hosts with the
/// same measurements and traffic get the same result.
pub fn assign(now: Moment, runners: &mut [Runner], service: &str, partition: &Partition) {
    let serves = |runner: &Runner| runner.is_listed(now) && runner.listed.service == service;
    let mut order: Vec<usize> = (0..runners.len()).filter(|at| serves(&runners[*at])).collect();
    order.sort_by(|a, b| {
        let key = |at: usize| (&runners[at].listed.zone, runners[at].hash);
        key(*a).cmp(&key(*b))
    });
    let mut remaining = order.as_slice();
    while let Some(first) = remaining.first() {
        let zone = runners[*first].listed.zone.clone();
        let size = remaining
            .iter()
            .take_while(|at| runners[**at].listed.zone == zone)
            .count();
        let (zone_runners, tail) = remaining.split_at(size);
        // A zone never reserves its last runner; one that is alone serves both kinds.
        let long = ((size as f64 * partition.long_share).round() as usize).min(size - 1);
        for (rank, at) in zone_runners.iter().enumerate() {
            runners[*at].for_long_prompts = rank < long;
        }
        remaining = tail;
    }
}

/// Cost in milliseconds of placing a request on a runner that is reserved for the other kind of
/// prompt and runs `concurrent` other requests.
pub fn crossing_cost_ms(partition: &Partition, is_long: bool, runner_is_long: bool, concurrent: f64) -> f64 {
    let stall_ms = ms(partition.stall);
    match (is_long, runner_is_long) {
        (true, false) => stall_ms * (LONG_STALLS + LONG_STALLS_PER_STREAM * concurrent),
        (false, true) => stall_ms * SHORT_STALLS,
        _ => 0.0,
    }
}
