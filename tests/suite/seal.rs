//! Write-once values and ordered counts, without sockets.

use std::time::Duration;

use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::target::Targets;
use radishstair_core::time::Moment;
use radishstair_core::write_once::{Outcome, Writer};

fn at(ms: u64) -> Moment {
    Moment::at_ms(ms)
}

fn entry(version: u64, value: &str) -> Entry {
    Entry {
        key: "k".into(),
        version,
        value: value.into(),
    }
}

fn writing() -> Writer<u64> {
    let mut writer = Writer::default();
    let call = writer.write(at(0), "k".into(), 7).expect("a number becomes JSON");
    let expected = Call::CompareAndSwap {
        key: "k".into(),
        expect: 0,
        value: "7".into(),
    };
    assert_eq!(call, expected);
    writer
}

/// If a write succeeds but its answer is lost, the stored value is read back. Otherwise a later
/// sum could be reported in its place, and the window twice with different figures.
#[test]
fn a_lost_write_is_read_back() {
    let mut writer = writing();
    let get = Call::Get { key: "k".into() };
    assert_eq!(
        writer.on_answer(at(1), &Answer::Lost),
        Some(Outcome::Pending(get))
    );
    let found = Answer::Found(vec![entry(4, "9")]);
    assert_eq!(writer.on_answer(at(2), &found), Some(Outcome::Stored(9, 4)));
}

/// The second of two lease holders finds the value of the first one and reports that.
#[test]
fn what_another_wrote_is_adopted() {
    let conflict = Answer::Conflict(entry(3, "5"));
    assert_eq!(writing().on_answer(at(1), &conflict), Some(Outcome::Stored(5, 3)));
}

/// A write that was refused, or whose key does not exist after a lost answer, does not count as
/// written. Otherwise a value would be reported that no successor finds.
#[test]
fn what_does_not_stand_is_not_reported() {
    assert_eq!(
        writing().on_answer(at(1), &Answer::Refused),
        Some(Outcome::Failed)
    );
    let mut lost = writing();
    lost.on_answer(at(1), &Answer::Lost);
    let none = Answer::Found(vec![entry(0, "")]);
    assert_eq!(lost.on_answer(at(2), &none), Some(Outcome::Missing));
    assert_eq!(lost.on_answer(at(3), &none), None, "no store call in progress");
}

/// If the answer to a write is lost inside the process, the wait for it ends, so that the duty
/// does not stop for ever.
#[test]
fn a_wait_ends() {
    let mut writer = writing();
    let timeout = Duration::from_secs(3);
    assert!(!writer.time_out(at(2_900), timeout) && writer.is_busy());
    assert!(writer.time_out(at(3_000), timeout) && !writer.is_busy());
}

/// An order whose answer was lost may be carried out late and override a newer one, so that unwanted
/// runners are paid for. An accepted order is therefore restated after some time.
#[test]
fn what_stands_is_said_again() {
    let mut targets = Targets::<&str, ()>::default();
    targets.entry("zone-a").set_desired(3);
    let restate = Some(Duration::from_secs(15));
    let due = targets.due(at(100), restate).expect("nothing was accepted");
    due.accept(at(100), 3);
    assert!(targets.due(at(15_000), restate).is_none());
    assert!(targets.due(at(15_000), None).is_none());
    assert_eq!(
        targets.due(at(15_100), restate).map(|target| target.desired),
        Some(3)
    );
}

/// While a refused order waits for its delay, a new desired count is due immediately; otherwise a
/// burst would meet too few runners.
#[test]
fn a_new_number_does_not_wait() {
    let mut targets = Targets::<&str, ()>::default();
    let target = targets.entry("zone-a");
    target.set_desired(3);
    target.next_attempt = at(5_000);
    assert!(targets.due(at(1_000), None).is_none());
    targets.entry("zone-a").set_desired(4);
    assert_eq!(targets.due(at(1_000), None).map(|target| target.desired), Some(4));
}
