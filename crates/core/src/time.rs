//! Points in time, which decisions take as an argument.
//!
//! A [`Moment`] combines a monotonic clock with the wall clock. All deadlines
//! are computed on the monotonic clock; the wall clock serves only for usage
//! windows and for timestamps that cross processes, such as those in ids that
//! callers made. Code that decides takes the current moment as its first
//! argument and reads no clock.

use std::time::Duration;

/// Reading of both clocks of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment {
    /// Monotonic clock, in microseconds since the process started.
    pub mono_us: u64,
    /// Wall clock, in milliseconds since the Unix epoch; may jump.
    pub wall_ms: u64,
}

impl Moment {
    /// Moment at which both clocks read `ms` milliseconds.
    pub fn at_ms(ms: u64) -> Self {
        Self {
            mono_us: ms * 1_000,
            wall_ms: ms,
        }
    }

    /// Time since `earlier`; zero if `earlier` is in the future.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.mono_us.saturating_sub(earlier.mono_us))
    }

    /// Time until `later`; zero if `later` has passed.
    pub fn until(self, later: Moment) -> Duration {
        later.since(self)
    }

    /// Moment `duration` before this one; stops at zero on each clock.
    pub fn saturating_sub(self, duration: Duration) -> Moment {
        Moment {
            mono_us: self.mono_us.saturating_sub(saturate(duration.as_micros())),
            wall_ms: self.wall_ms.saturating_sub(saturate(duration.as_millis())),
        }
    }

    /// Whether `deadline` has been reached.
    pub fn reached(self, deadline: Moment) -> bool {
        self.mono_us >= deadline.mono_us
    }
}

fn saturate(count: u128) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

impl std::ops::Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, duration: Duration) -> Moment {
        Moment {
            mono_us: self.mono_us.saturating_add(saturate(duration.as_micros())),
            wall_ms: self.wall_ms.saturating_add(saturate(duration.as_millis())),
        }
    }
}
