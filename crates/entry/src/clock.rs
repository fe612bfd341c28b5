//! The one place that reads the clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use radishstair_core::time::Moment;

/// Monotonic time starts here, so that moments before the start of the process
/// (the age of a peer's news) can be expressed.
const START: u64 = 30 * 24 * 3_600 * 1_000_000;

/// Source of moments; cheap to copy.
///
/// Counts the time for which the machine was suspended: a lease or a deadline
/// does not stop while its holder sleeps.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    began: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self { began: steady() }
    }
}

impl Clock {
    /// Now.
    pub fn now(&self) -> Moment {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Moment {
            mono_us: START + (steady() - self.began).as_micros() as u64,
            wall_ms: wall.as_millis() as u64,
        }
    }
}

fn steady() -> Duration {
    // Both are defined on every Linux that the router runs on.
    let boot = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let time = boot.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    time.map(Duration::from).unwrap_or_default()
}
