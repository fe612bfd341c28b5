//! Load of runners in other zones.
//!
//! Hosts hear of each start in their own zone at once, and of the load in other zones every few
//! seconds. When they trusted the single values of other zones, all of them sent their next
//! requests across to the few runners that had been idle in the last report.

use std::time::Duration;

use super::super::fleet::{Key, Runner};

plain! {
    /// Estimated load of a runner.
    #[derive(Copy, Default)]
    pub struct LoadEstimate {
        /// Prefill work that is not done yet.
        pub backlog: Duration,
        /// Requests that run or wait there.
        pub running: u32,
    }
}

/// Mean load of the runners in each zone other than the host's own.
pub struct ZoneLoads<'a> {
    means: Vec<(&'a str, LoadEstimate)>,
}

impl<'a> ZoneLoads<'a> {
    /// Means of the given runners.
    pub fn of(own_zone: &str, runners: &[(Key, &'a Runner)]) -> Self {
        let mut remote: Vec<&'a Runner> = runners.iter().map(|(_, runner)| *runner).collect();
        remote.retain(|runner| runner.listed.zone != own_zone);
        remote.sort_by(|a, b| a.listed.zone.cmp(&b.listed.zone));
        let zones = remote.chunk_by(|a, b| a.listed.zone == b.listed.zone);
        let mean = |zone: &[&'a Runner]| {
            let count = zone.len() as u32;
            let backlog: Duration = zone.iter().map(|runner| runner.backlog()).sum();
            let running = zone
                .iter()
                .fold(0, |sum: u32, runner| sum.saturating_add(runner.running()));
            let load = LoadEstimate {
                backlog: backlog / count,
                running: running / count,
            };
            (zone[0].listed.zone.as_str(), load)
        };
        Self {
            means: zones.map(mean).collect(),
        }
    }

    /// Estimated load of a runner.
    pub fn estimate(&self, runner: &Runner) -> LoadEstimate {
        let zone = runner.listed.zone.as_str();
        let mean = match self.means.binary_search_by_key(&zone, |(have, _)| have) {
            Ok(at) => self.means[at].1,
            Err(_) => LoadEstimate::default(),
        };
        LoadEstimate {
            backlog: runner.backlog().max(mean.backlog),
            running: runner.running().max(mean.running),
        }
    }
}
