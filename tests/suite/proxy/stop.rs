//! Tests of the schedule of a planned stop.

use std::time::Duration;

use quickcheck::quickcheck;
use radishstair_core::proxy::stop::Schedule;
use radishstair_core::time::Moment;

const GRACE: Duration = Duration::from_secs(8);

/// Guards against requests that are passed on late in a stop and cannot end within it.
#[test]
fn a_late_request_begins_only_if_it_ends_within_the_stop() {
    let began = Moment::at_ms(10_000);
    let schedule = Schedule::new(began, GRACE);
    let may_begin =
        |ms, deadline: Option<u64>| schedule.may_begin(Moment::at_ms(ms), deadline.map(Moment::at_ms));
    assert!(may_begin(12_600, Some(27_600)) && may_begin(12_600, None));
    assert!(!may_begin(12_700, Some(27_700)) && !may_begin(12_700, None));
    assert!(may_begin(13_000, Some(13_600)));
    assert!(may_begin(16_000, Some(16_900)) && !may_begin(16_000, Some(16_901)));
}

quickcheck! {
    /// Whatever the grace period is, requests in flight end within it, after those that may last longer are refused.
    fn a_stop_ends_within_its_grace_period(grace_ms: u16) -> bool {
        let began = Moment::at_ms(5_000);
        let grace = Duration::from_millis(grace_ms.into());
        let schedule = Schedule::new(began, grace);
        schedule.end.reached(schedule.accept_end) && (began + grace).reached(schedule.end)
    }
}
