//! Pauses after rounds that failed, for a shell that draws.

use std::time::Duration;

/// First pause.
const FIRST: Duration = Duration::from_millis(150);
/// Longest pause, so that hosts which the store turns away for its rate do not keep it
/// there.
const MOST: Duration = Duration::from_millis(600);

/// Pauses that double with each failure in a row.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Pause after one more failure, spread by a draw: hosts that fail together must not
    /// come back together.
    pub fn pause(&mut self, draw: u32) -> Duration {
        let pause = FIRST * 2u32.saturating_pow(self.failures);
        self.failures = (self.failures + 1).min(4);
        let spread = 0.5 + f64::from(draw) / f64::from(u32::MAX);
        pause.min(MOST).mul_f64(spread)
    }

    /// A round succeeded.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
