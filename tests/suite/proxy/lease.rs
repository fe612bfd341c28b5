//! Tests of a duty's lease, for a platform that checks fencing tokens.

use std::time::Duration;

use radishstair_core::id::Incarnation;
use radishstair_core::lease::{Lease, Timing};
use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::time::Moment;

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

/// A store with one record and compare-and-swap.
#[derive(Default)]
struct Store {
    version: u64,
    value: String,
}

impl Store {
    fn entry(&self) -> Option<Entry> {
        (self.version > 0).then(|| Entry {
            key: "duty".into(),
            version: self.version,
            value: self.value.clone(),
        })
    }

    fn call(&mut self, call: &Call) -> Answer {
        match call {
            Call::CompareAndSwap { expect, value, .. } if *expect == self.version => {
                self.version += 1;
                self.value = value.clone();
                Answer::Written(self.version)
            }
            Call::CompareAndSwap { .. } => Answer::Conflict(self.entry().expect("somebody wrote")),
            _ => Answer::Found(self.entry().into_iter().collect()),
        }
    }
}

fn step(lease: &mut Lease, store: &mut Store, ms: u64) -> Option<u64> {
    let entry = store.entry();
    lease.observe_read(at(ms), entry.as_ref());
    let mut call = lease.tick(at(ms), true);
    while let Some(next) = call {
        let answer = store.call(&next);
        call = lease.on_answer(at(ms), &answer);
    }
    lease.grant(at(ms)).map(|grant| grant.fence)
}

fn candidate(run: u64) -> Lease {
    let timing = Timing::fenced(Duration::from_secs(3));
    Lease::with_timing(Incarnation(run), "duty".into(), timing)
}

/// Guards against two hosts reporting one window. The holder is frozen until its lease expires; a
/// successor takes over with a higher fencing token, and not before; the former holder must not
/// act after it resumes.
#[test]
fn one_holds_the_duty_at_a_time_and_fences_rise() {
    let mut store = Store::default();
    let (mut first, mut second) = (candidate(1), candidate(2));
    assert_eq!(step(&mut first, &mut store, 0), Some(1));
    let mut takeover = None;
    for ms in (100..10_000).step_by(250) {
        if let Some(fence) = step(&mut second, &mut store, ms) {
            takeover = Some((ms, fence));
            break;
        }
    }
    let (ms, fence) = takeover.expect("a successor takes over");
    assert!(ms >= 3_000, "the term is respected: {ms}");
    assert_eq!(fence, 2);
    assert_eq!(first.grant(at(ms)), None);
    assert_eq!(step(&mut first, &mut store, ms + 10), None);
}

/// A listing that was requested before a renewal returns the holder's older record. The holder
/// keeps the duty, as its own write is newer.
#[test]
fn an_old_listing_does_not_end_a_duty() {
    let mut store = Store::default();
    let mut holder = candidate(1);
    step(&mut holder, &mut store, 0);
    let old = store.entry();
    step(&mut holder, &mut store, 1_100);
    holder.observe_read(at(1_200), old.as_ref());
    assert!(holder.grant(at(1_300)).is_some());
    assert_eq!(step(&mut holder, &mut store, 2_300), Some(1));
}
