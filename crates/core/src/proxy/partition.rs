//! Long prompts and short ones are kept apart.
//!
//! An engine reads a prompt in pieces between the events of all streams beside it, so that
//! short streams pause. A part of each zone's runners is kept for long prompts, as large as
//! their part of the reading, and crossing over costs the pauses that it causes. Both follow
//! what is seen: an engine that reads fast harms little, and a request then crosses over early.

use std::time::Duration;

use super::fleet::Runner;
use super::latency::{Latency, ms};
use super::route::Table;

/// Part of the allowed pause that a prompt's reading takes from which it counts as long.
const LONG_PART: f64 = 0.3;
/// Pause that streams are allowed where no route says.
const USUAL_PAUSE: Duration = Duration::from_millis(250);
/// Part of the runners for long prompts until the flow tells.
const PART: f64 = 0.7;
/// Bounds of that part: both kinds keep a way of their own.
const PART_LEAST: f64 = 0.25;
const PART_MOST: f64 = 0.75;
/// Weight of the flow of the moment in the part; runners that change sides lose the good
/// of what was kept apart for a while.
const NEWEST: f64 = 0.05;

/// Pauses that a long prompt is sure to cause among short streams, and more for each of
/// them that is there.
const CROSS_LONG: f64 = 3.7;
const CROSS_LONG_EACH: f64 = 0.3;
/// Pauses that a short stream is likely to meet among long prompts.
const CROSS_SHORT: f64 = 1.5;

plain! {
    /// How the runners of one service are divided.
    #[derive(Copy)]
    pub struct Partition {
        /// Reading time from which a prompt counts as long.
        pub long_prompt: Duration,
        /// Pause that a prompt causes to a stream beside which it is read.
        pub stall: Duration,
        /// Part of a zone's runners that is kept for long prompts.
        pub long_share: f64,
    }
}

impl Default for Partition {
    fn default() -> Self {
        Self {
            long_prompt: USUAL_PAUSE.mul_f64(LONG_PART),
            stall: USUAL_PAUSE,
            long_share: PART,
        }
    }
}

impl Partition {
    /// Judges anew, by the pauses that were seen and by the flows of reading: `long` of `all`.
    pub fn update(&mut self, latency: &Latency, allowed: Duration, long: u64, all: u64) {
        let calm = latency.event_gap(0.0).min(allowed);
        self.long_prompt = (allowed - calm).mul_f64(LONG_PART);
        self.stall = latency.stall();
        if all > 0 {
            let part = (long as f64 / all as f64).clamp(PART_LEAST, PART_MOST);
            self.long_share += NEWEST * (part - self.long_share);
        }
    }

    /// Whether a prompt that takes so long to read counts as long.
    pub fn is_long(&self, reading: Duration) -> bool {
        reading >= self.long_prompt
    }
}

/// Shortest pause that any route of a service allows.
pub fn allowed_pause(table: &Table, service: &str) -> Duration {
    let routes = table.routes().iter().filter(|route| route.uses(service));
    routes
        .filter_map(|route| route.max_event_gap)
        .min()
        .unwrap_or(USUAL_PAUSE)
}

/// Divides each zone's runners of a service between long and short prompts,
/// the same way on every host that sees the same pauses and flows.
pub fn assign(runners: &mut [Runner], service: &str, partition: &Partition) {
    let own = |runner: &Runner| runner.is_listed() && runner.listed.service == service;
    let mut order: Vec<usize> = (0..runners.len()).filter(|at| own(&runners[*at])).collect();
    order.sort_by(|a, b| {
        let key = |at: usize| (&runners[at].listed.zone, runners[at].hash);
        key(*a).cmp(&key(*b))
    });
    let mut rest = order.as_slice();
    while let Some(first) = rest.first() {
        let zone = runners[*first].listed.zone.clone();
        let size = rest
            .iter()
            .take_while(|at| runners[**at].listed.zone == zone)
            .count();
        let (here, tail) = rest.split_at(size);
        // The last one of a zone serves both.
        let long = ((size as f64 * partition.long_share).round() as usize).min(size - 1);
        for (rank, at) in here.iter().enumerate() {
            runners[*at].for_long_prompts = rank < long;
        }
        rest = tail;
    }
}

/// Extra cost, in milliseconds, of a request on a runner that is kept for the other kind,
/// beside so many others.
pub fn crossing_cost_ms(partition: &Partition, is_long: bool, runner_is_long: bool, beside: f64) -> f64 {
    let stall = ms(partition.stall);
    match (is_long, runner_is_long) {
        (true, false) => stall * (CROSS_LONG + CROSS_LONG_EACH * beside),
        (false, true) => stall * CROSS_SHORT,
        _ => 0.0,
    }
}
