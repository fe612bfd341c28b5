//! Time as an argument.
//!
//! A [`Moment`] pairs a monotonic reading, on which every deadline is
//! counted, with the wall clock, which is used only to judge the age of ids
//! that callers made elsewhere. Decisions take it as their first argument.

use std::time::Duration;

/// One reading of both clocks of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Moment {
    /// Microseconds since the process started; never goes back.
    pub mono_us: u64,
    /// Milliseconds since the Unix epoch; may jump.
    pub wall_ms: u64,
}

impl Moment {
    /// A moment `ms` milliseconds after start, with the wall clock alike.
    pub fn at_ms(ms: u64) -> Self {
        Self {
            mono_us: ms * 1_000,
            wall_ms: ms,
        }
    }

    /// Time since `earlier`, zero if `earlier` lies ahead.
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.mono_us.saturating_sub(earlier.mono_us))
    }

    /// Time left until `later`, zero if it has passed.
    pub fn until(self, later: Moment) -> Duration {
        later.since(self)
    }

    /// The moment `span` before; the clocks' beginning at the earliest.
    pub fn saturating_sub(self, span: Duration) -> Moment {
        Moment {
            mono_us: self.mono_us.saturating_sub(span.as_micros() as u64),
            wall_ms: self.wall_ms.saturating_sub(span.as_millis() as u64),
        }
    }

    /// Whether `deadline` has been reached.
    pub fn reached(self, deadline: Moment) -> bool {
        self.mono_us >= deadline.mono_us
    }
}

impl std::ops::Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, span: Duration) -> Moment {
        Moment {
            mono_us: self.mono_us.saturating_add(span.as_micros() as u64),
            wall_ms: self.wall_ms.saturating_add(span.as_millis() as u64),
        }
    }
}
