//! Reads the system clocks; the only source of [`Moment`]s.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use radishstair_core::time::Moment;

/// Monotonic time at the start of the process, in microseconds. Thirty days, so
/// that earlier moments, such as when a peer's data was current, are positive.
const START_US: u64 = 30 * 24 * 3_600 * 1_000_000;

/// Source of the current time; cheap to copy.
///
/// The time for which the machine is suspended counts, as a lease or a deadline
/// does not stop while its holder is suspended.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        Self { started_at: uptime() }
    }
}

impl Clock {
    /// The current monotonic and wall-clock time.
    pub fn now(&self) -> Moment {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Moment {
            mono_us: START_US + (uptime() - self.started_at).as_micros() as u64,
            wall_ms: wall.as_millis() as u64,
        }
    }
}

fn uptime() -> Duration {
    // Supported on every Linux on which the router runs.
    let boot_time = clock_gettime(ClockId::CLOCK_BOOTTIME);
    let time = boot_time.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
    time.map(Duration::from).unwrap_or_default()
}
