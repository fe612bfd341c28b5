//! Simulated engines.

use std::collections::VecDeque;

use radishstair_core::runner::Listing;

use crate::scenario::Scenario;

/// A runner in memory, with its running and queued jobs.
pub struct Engine {
    pub listing: Listing,
    /// Index of its entry in the scenario's fleet.
    pub group: usize,
    pub running: Vec<usize>,
    pub queue: Vec<usize>,
    pub cached_prefixes: VecDeque<u64>,
    /// Factor of its prefill time and time per token.
    pub slowdown: f64,
    pub stopped: bool,
    /// Time in service up to the last stop.
    pub uptime_us: u64,
    pub started_us: u64,
}

/// Whether an engine belongs to a pool in a zone.
pub fn is_in(engine: &Engine, pool: &str, zone: &str) -> bool {
    engine.listing.pool == pool && engine.listing.zone == zone
}

/// Creates all engines of a scenario, in the order of its fleet.
pub fn create_engines(scenario: &Scenario) -> Vec<Engine> {
    let mut engines = Vec::new();
    for (group, runners) in scenario.fleet.iter().enumerate() {
        for zone in &scenario.zones {
            for number in 0..runners.each {
                engines.push(Engine {
                    listing: Listing {
                        name: format!("{}-{zone}-{number}", runners.pool),
                        pool: runners.pool.clone(),
                        zone: zone.clone(),
                        address: format!("10.0.0.{}", engines.len()),
                        slots: runners.slots,
                        leaving: false,
                    },
                    group,
                    running: Vec::new(),
                    queue: Vec::new(),
                    cached_prefixes: VecDeque::new(),
                    slowdown: 1.0,
                    stopped: false,
                    uptime_us: 0,
                    started_us: 0,
                });
            }
        }
    }
    engines
}
