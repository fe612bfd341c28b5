//! Tests of what counts as the longest pause of a stream, and as its cause.

use std::time::Duration;

use radishstair_core::proxy::pause::{Cause, Pauses};
use radishstair_core::time::Moment;

fn at(ms: u64) -> Moment {
    Moment::at_ms(ms)
}

fn millis(ms: u64) -> Option<Duration> {
    Some(Duration::from_millis(ms))
}

/// Receives an event that the caller takes at once.
fn pass(pauses: &mut Pauses, ms: u64) {
    pauses.on_received(at(ms), 1);
    pauses.on_taken(at(ms));
}

/// Guards against a wait for the first event that is reported as a pause.
#[test]
fn the_time_to_the_first_event_is_no_pause() {
    let mut pauses = Pauses::new(at(100));
    assert_eq!(
        (pauses.first(), pauses.longest(), pauses.cause()),
        (None, None, Cause::None)
    );
    pass(&mut pauses, 900);
    assert_eq!(
        (pauses.first(), pauses.longest(), pauses.cause()),
        (millis(800), None, Cause::None)
    );
    assert!(!pauses.is_stalled(millis(200)));
}

/// Guards against a report of the last pause, or of the one with another cause, instead of the longest.
#[test]
fn the_longest_pause_is_reported_with_its_own_cause() {
    let mut pauses = Pauses::new(at(0));
    pass(&mut pauses, 100);
    pass(&mut pauses, 150);
    assert_eq!((pauses.longest(), pauses.cause()), (millis(50), Cause::Runner));
    pauses.on_continuation(Cause::Move);
    pass(&mut pauses, 450);
    assert_eq!((pauses.longest(), pauses.cause()), (millis(300), Cause::Move));
    pauses.on_continuation(Cause::Break);
    pass(&mut pauses, 700);
    assert_eq!((pauses.longest(), pauses.cause()), (millis(300), Cause::Move));
    pass(&mut pauses, 1_100);
    assert_eq!(
        (pauses.longest(), pauses.cause()),
        (millis(400), Cause::Runner),
        "the continuation caused the pause before"
    );
    assert_eq!(pauses.first(), millis(100));
}

/// Guards against a move that is blamed for a pause which a break of the destination caused.
#[test]
fn the_last_cause_within_a_pause_counts() {
    let mut pauses = Pauses::new(at(0));
    pass(&mut pauses, 100);
    pauses.on_continuation(Cause::Move);
    pauses.on_continuation(Cause::Break);
    pass(&mut pauses, 600);
    assert_eq!((pauses.longest(), pauses.cause()), (millis(500), Cause::Break));
}

/// Guards against a runner that is blamed for a caller which does not read for seconds.
#[test]
fn time_in_which_the_caller_does_not_read_is_no_pause() {
    let mut pauses = Pauses::new(at(0));
    pass(&mut pauses, 100);
    pauses.on_received(at(150), 1);
    pauses.on_taken(at(5_150));
    pass(&mut pauses, 5_190);
    assert_eq!((pauses.longest(), pauses.cause()), (millis(50), Cause::Runner));
}

/// Guards against a stalled runner that hides behind comments which keep the connection alive, also if the
/// caller is slow to take one.
#[test]
fn comments_end_no_pause() {
    let mut pauses = Pauses::new(at(0));
    pass(&mut pauses, 100);
    pauses.on_received(at(400), 0);
    pauses.on_taken(at(600));
    pauses.on_received(at(800), 0);
    pauses.on_taken(at(800));
    pass(&mut pauses, 1_100);
    assert_eq!((pauses.longest(), pauses.cause()), (millis(800), Cause::Runner));
}

/// Guards against a stream of many events that is reported without a pause, as they came together.
#[test]
fn events_that_come_together_have_no_pause_between_them() {
    let mut pauses = Pauses::new(at(0));
    pauses.on_received(at(100), 3);
    pauses.on_taken(at(100));
    assert_eq!((pauses.longest(), pauses.cause()), (millis(0), Cause::Runner));
    pauses.on_continuation(Cause::Break);
    pauses.on_received(at(300), 2);
    assert_eq!((pauses.longest(), pauses.cause()), (millis(200), Cause::Break));
}

/// Guards against a stream that is counted as stalled although its pauses are as long as its route allows.
#[test]
fn a_stream_is_stalled_if_a_pause_exceeds_the_allowed_gap() {
    let mut pauses = Pauses::new(at(0));
    pass(&mut pauses, 100);
    pass(&mut pauses, 300);
    assert!(!pauses.is_stalled(millis(200)));
    assert!(pauses.is_stalled(millis(199)));
    assert!(!pauses.is_stalled(None), "the route names no gap");
}
