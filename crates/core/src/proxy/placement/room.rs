//! Room that new streams leave to those that go on.
//!
//! While several software versions serve, a stream that has begun can go on only at the runners of its own.
//! If these are few, as at the end of a release, new streams count a part of their slots as taken.

use super::super::fleet::software::Version;
use super::super::fleet::{Key, Runner};
use super::Demand;

/// Part of the slots that is kept: one in this many.
const KEPT_DIVISOR: u32 = 8;

/// Slots of runners, as one request may use them.
#[derive(Debug, Default)]
pub(super) struct Room {
    /// Versions of less than half of the runners.
    scarce: Vec<Version>,
}

impl Room {
    /// Room for a request at these runners.
    pub(super) fn of(demand: &Demand, eligible: &[(Key, &Runner)]) -> Self {
        let is_same = |version: Version| eligible.iter().all(|(_, runner)| is_of(runner, version));
        let first = eligible.first().map(|(_, runner)| runner.listed.software.version);
        if demand.version.is_some() || first.is_none_or(is_same) {
            return Self::default();
        }
        let mut versions: Vec<Version> = eligible
            .iter()
            .map(|(_, runner)| runner.listed.software.version)
            .collect();
        versions.sort_unstable();
        let by_version = versions.chunk_by(|one, other| one == other);
        let scarce = by_version.filter(|runners| runners.len() * 2 < eligible.len());
        Self {
            scarce: scarce.map(|runners| runners[0]).collect(),
        }
    }

    /// Number of slots of a runner that the request may use.
    pub(super) fn slots(&self, runner: &Runner) -> u32 {
        let slots = runner.listed.slots;
        let is_scarce = self.scarce.binary_search(&runner.listed.software.version).is_ok();
        if is_scarce {
            slots - slots / KEPT_DIVISOR
        } else {
            slots
        }
    }
}

fn is_of(runner: &Runner, version: Version) -> bool {
    runner.listed.software.version == version
}
