//! WallClock time that ignores jumps of the time of day.
//!
//! Usage windows are cut in true time, but a host's time of day may jump by
//! seconds and back. Counted on the jumped clock, starts would land in the
//! wrong window. The clock is read once and carried on by the steady one.

use crate::time::Moment;

plain! {
    /// Offset of civil time to the steady clock.
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

    /// Number of the window of `length_s` seconds that `now` falls into.
    pub fn window_number(&mut self, now: Moment, length_s: u64) -> u64 {
        self.unix_ms(now) / (length_s * 1_000).max(1)
    }
}
