//! Tests of accepted connections that wait to be read.

use std::time::Duration;

use radishstair_core::proxy::intake::{Intake, MAX_WAIT};
use radishstair_core::time::Moment;

const STEP: Duration = Duration::from_millis(1);

fn start() -> Moment {
    Moment::at_ms(1_000)
}

#[test]
fn connections_are_served_in_order_of_arrival() {
    let mut intake = Intake::default();
    assert!(intake.is_empty());
    intake.join(start(), 1);
    intake.join(start(), 2);
    intake.join(start() + STEP, 3);
    assert_eq!(intake.expire(start() + MAX_WAIT).count(), 0);
    let served: Vec<i32> = std::iter::from_fn(|| intake.take()).collect();
    assert_eq!(served, [1, 2, 3]);
    assert!(intake.is_empty());
}

/// Guards against a host that serves connections whose callers have given up, or closes all that it has.
#[test]
fn only_connections_that_have_waited_too_long_expire() {
    let mut intake = Intake::default();
    intake.join(start(), 1);
    intake.join(start(), 2);
    intake.join(start() + STEP, 3);
    let expired: Vec<i32> = intake.expire(start() + MAX_WAIT + STEP).collect();
    assert_eq!(expired, [1, 2]);
    assert_eq!(intake.take(), Some(3));
    assert!(intake.is_empty());
}

/// Guards against a host that takes no new connection at all while more come than it can serve.
#[test]
fn a_host_that_cannot_keep_up_serves_as_many_as_it_can() {
    let mut intake = Intake::default();
    let (mut served, mut expired) = (0, 0);
    for number in 0..1_000 {
        let now = start() + STEP * 10 * number;
        for _ in 0..4 {
            intake.join(now, ());
        }
        expired += intake.expire(now).count();
        served += intake.take().iter().count();
    }
    let waiting = std::iter::from_fn(|| intake.take()).count();
    assert_eq!(served, 1_000);
    assert_eq!(served + expired + waiting, 4_000);
    assert!(waiting <= 4 * (MAX_WAIT.as_millis() as usize / 10 + 1));
}
