//! Wall clock that ignores adjustments of the system time.
//!
//! Usage windows are bounded by real time, but a host's system time may jump by seconds and back,
//! which would count requests in the wrong window. This clock reads the system time once and then
//! advances with the monotonic clock.

use crate::time::Moment;

plain! {
    /// System time at a fixed offset to the monotonic clock.
    #[derive(Copy, Default)]
    pub struct WallClock {
        offset_ms: Option<i64>,
    }
}

impl WallClock {
    /// Milliseconds since the Unix epoch.
    pub fn unix_ms(&mut self, now: Moment) -> u64 {
        let steady = (now.mono_us / 1_000) as i64;
        let offset = *self.offset_ms.get_or_insert(now.wall_ms as i64 - steady);
        (steady + offset).max(0) as u64
    }

    /// Number of the window of `length_s` seconds that contains `now`.
    pub fn window_number(&mut self, now: Moment, length_s: u64) -> u64 {
        self.unix_ms(now) / (length_s * 1_000).max(1)
    }
}
