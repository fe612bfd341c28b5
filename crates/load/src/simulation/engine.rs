//! Engines of a played scenario.

use std::collections::VecDeque;

use radishstair_core::runner::Listing;

use crate::scenario::Scenario;

/// A runner in memory.
pub struct Engine {
    pub listed: Listing,
    pub fleet: usize,
    pub running: Vec<usize>,
    pub queue: Vec<usize>,
    pub cache: VecDeque<u64>,
    pub slow: f64,
    pub gone: bool,
    pub on_time: u64,
    pub since: u64,
}

/// Whether an engine is of a pool in a zone.
pub fn belongs(engine: &Engine, pool: &str, zone: &str) -> bool {
    engine.listed.pool == pool && engine.listed.zone == zone
}

/// All engines of a scenario, in the order of its fleet.
pub fn engines(scenario: &Scenario) -> Vec<Engine> {
    let mut engines = Vec::new();
    for (fleet, plan) in scenario.fleet.iter().enumerate() {
        for zone in &scenario.zones {
            for number in 0..plan.each {
                engines.push(Engine {
                    listed: Listing {
                        name: format!("{}-{zone}-{number}", plan.pool),
                        pool: plan.pool.clone(),
                        zone: zone.clone(),
                        address: format!("10.0.0.{}", engines.len()),
                        slots: plan.slots,
                        leaving: false,
                    },
                    fleet,
                    running: Vec::new(),
                    queue: Vec::new(),
                    cache: VecDeque::new(),
                    slow: 1.0,
                    gone: false,
                    on_time: 0,
                    since: 0,
                });
            }
        }
    }
    engines
}
