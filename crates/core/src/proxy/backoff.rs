//! Exponential backoff with jitter.

use std::time::Duration;

/// Pause after the first failure, before jitter.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Maximum pause before jitter; long enough that hosts which the store rejects for their request
/// rate do not keep it at its limit.
const MAX_PAUSE: Duration = Duration::from_millis(600);

/// Pauses that double with each consecutive failure.
#[derive(Debug, Default)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Pause after one more failure, with jitter from the random number `draw`, so that hosts
    /// which failed together do not retry together.
    pub fn pause(&mut self, draw: u32) -> Duration {
        let pause = FIRST_PAUSE * 2u32.saturating_pow(self.failures);
        self.failures = (self.failures + 1).min(4);
        jittered(pause.min(MAX_PAUSE), draw)
    }

    /// Resets the pause after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// A pause of half to one and a half times `mean`, by the random number `draw`.
pub fn jittered(mean: Duration, draw: u32) -> Duration {
    mean.mul_f64(0.5 + f64::from(draw) / f64::from(u32::MAX))
}
