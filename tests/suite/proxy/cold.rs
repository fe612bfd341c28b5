//! Tests of runners that are cold, and of evacuated zones.

use std::time::Duration;

use radishstair_core::proxy::fleet::{AttemptResult, Fleet, Listed};
use radishstair_core::time::Moment;

use super::fixtures::runner;

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn available(fleet: &Fleet, ms: u64) -> Vec<String> {
    let runners = fleet.available(at(ms), "engines");
    let mut ids: Vec<String> = runners.map(|(_, runner)| runner.listed.id.clone()).collect();
    ids.sort();
    ids
}

fn listed(id: &str, zone: &str) -> Listed {
    runner(id, "engines", zone)
}

fn cold_fleet() -> Fleet {
    let mut fleet = Fleet::new("zone-a");
    fleet.set_cold_services(vec!["engines".into()]);
    fleet
}

fn cold(id: &str, version: u64, ms: u64) -> Listed {
    Listed {
        version,
        cold_for: Duration::from_millis(ms),
        ..listed(id, "zone-a")
    }
}

/// Guards against crashing a runner that has just started: it is empty, so all hosts would send to
/// it at once.
#[test]
fn a_cold_runner_gets_nothing_until_it_is_warm() {
    let mut fleet = cold_fleet();
    fleet.update(at(0), vec![listed("a", "zone-a"), cold("b", 1, 3_000)]);
    assert_eq!(available(&fleet, 2_900), ["a"]);
    assert_eq!(available(&fleet, 3_400), ["a", "b"]);
}

/// Guards against a runner that never becomes warm because the same entry is read again and again.
#[test]
fn an_unchanged_entry_does_not_prolong_the_cold_time() {
    let mut fleet = Fleet::new("zone-a");
    for ms in [0, 1_000, 2_000, 3_000] {
        fleet.update(at(ms), vec![cold("a", 1, 3_000)]);
    }
    assert_eq!(available(&fleet, 3_400), ["a"]);
}

/// Guards against trusting what an entry said before its runner became cold again.
#[test]
fn a_newer_entry_decides_whether_a_runner_is_cold() {
    let mut fleet = cold_fleet();
    fleet.update(at(0), vec![cold("a", 1, 0)]);
    assert_eq!(available(&fleet, 10), ["a"]);
    fleet.update(at(1_000), vec![cold("a", 2, 2_000)]);
    assert_eq!(available(&fleet, 1_010), [""; 0]);
    fleet.update(at(2_000), vec![cold("a", 3, 0)]);
    assert_eq!(available(&fleet, 2_010), ["a"]);
}

/// Guards against sending requests to a runner that has restarted before its entry says so.
#[test]
fn a_runner_that_was_unreachable_rests_until_its_entry_is_recent() {
    let mut fleet = cold_fleet();
    fleet.update(at(0), vec![cold("a", 1, 0)]);
    let key = fleet.find("a").expect("it is listed");
    fleet.record_attempt(at(100), key, AttemptResult::Unreachable);
    assert_eq!(available(&fleet, 2_000), [""; 0]);
    fleet.update(at(2_000), vec![cold("a", 2, 3_000)]);
    assert_eq!(available(&fleet, 5_000), [""; 0]);
    assert_eq!(available(&fleet, 5_400), ["a"]);
}

/// Guards against requests to an evacuated zone, also by retries, prefix copies and runners that
/// register there meanwhile.
#[test]
fn an_evacuated_zone_gets_nothing() {
    let mut fleet = cold_fleet();
    fleet.update(at(0), vec![listed("a", "zone-a"), listed("b", "zone-b")]);
    fleet.set_evacuated(at(0), vec!["zone-b".into()]);
    fleet.update(
        at(500),
        vec![
            listed("a", "zone-a"),
            listed("b", "zone-b"),
            listed("c", "zone-b"),
        ],
    );
    assert_eq!(available(&fleet, 600), ["a"]);
    let b = fleet.find("b").expect("it is listed");
    assert!(!fleet.has_cached(at(600), b, at(550)));
    assert!(!fleet.get(b).expect("it is known").is_listed(at(600)));
}

/// Guards against all hosts returning at once to a zone whose runners have become cold during its
/// evacuation.
#[test]
fn a_zone_that_returns_is_used_once_its_entries_are_recent() {
    let mut fleet = cold_fleet();
    fleet.update(at(0), vec![cold("a", 1, 0), cold("b", 1, 0)]);
    fleet.set_evacuated(at(0), vec!["zone-a".into()]);
    fleet.set_evacuated(at(9_000), Vec::new());
    assert_eq!(available(&fleet, 11_000), [""; 0]);
    fleet.update(at(11_000), vec![cold("a", 2, 2_000), cold("b", 1, 0)]);
    assert_eq!(available(&fleet, 11_600), ["b"]);
    assert_eq!(available(&fleet, 13_400), ["a", "b"]);
}
