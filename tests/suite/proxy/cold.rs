//! Tests of runners that are cold, and of evacuated zones.

use std::collections::BTreeMap;
use std::time::Duration;

use radishstair_core::id::{Incarnation, digest};
use radishstair_core::proxy::fleet::Way;
use radishstair_core::proxy::fleet::{AttemptResult, Fleet, Listed};
use radishstair_core::proxy::route::ColdStart;
use radishstair_core::proxy::scaling::Planner;
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures::{priced, runner};

/// Requests that a cold runner of the tests may get in one second: one and a half times its rate,
/// and five.
const MAX_IN_ONE_SECOND: usize = 20;

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn available(fleet: &Fleet, ms: u64) -> Vec<String> {
    let runners = fleet.available(at(ms), "engines", Way::Direct);
    let mut ids: Vec<String> = runners.map(|(_, runner)| runner.listed.id.clone()).collect();
    ids.sort();
    ids
}

fn listed(id: &str, zone: &str) -> Listed {
    runner(id, "engines", zone)
}

fn cold_fleet() -> Fleet {
    let mut fleet = Fleet::new("zone-a");
    let cold_start = ColdStart {
        duration: Duration::from_secs(3),
        max_rate: 10.0,
    };
    fleet.set_cold_starts([("engines", cold_start)].into_iter());
    fleet
}

/// Fleet of the host with this number in a zone of these hosts, with one runner that is cold.
fn host_with_cold_runner(own: u64, hosts: &[u64]) -> Fleet {
    let mut fleet = cold_fleet();
    fleet.set_zone_hosts(host(own), hosts.iter().map(|number| host(*number)).collect());
    fleet.update(at(0), vec![cold("a", 1, 3_000)]);
    fleet
}

fn host(number: u64) -> u64 {
    digest(&number.to_be_bytes())
}

/// Sends a request whenever the runner is available; returns the times.
fn send_as_often_as_possible(fleet: &mut Fleet, until_ms: u64) -> Vec<u64> {
    let key = fleet.find("a").expect("it is listed");
    let mut sent = Vec::new();
    for ms in 1..until_ms {
        if !available(fleet, ms).is_empty() {
            fleet.start_request(at(ms), key, 0, 0);
            sent.push(ms);
        }
    }
    sent
}

/// Largest number of times within one second.
fn most_in_one_second(mut times: Vec<u64>) -> usize {
    times.sort_unstable();
    let within = |from: &u64| {
        times
            .iter()
            .filter(|ms| **ms >= *from && **ms < from + 1_000)
            .count()
    };
    times.iter().map(within).max().unwrap_or(0)
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
    fleet.update(at(2_000), vec![cold("a", 1, 0)]);
    assert_eq!(available(&fleet, 2_100), [""; 0]);
    fleet.update(at(2_700), vec![cold("a", 2, 3_000)]);
    assert_eq!(available(&fleet, 5_900), [""; 0]);
    assert_eq!(available(&fleet, 6_100), ["a"]);
}

/// Guards against all hosts returning to a restarted runner while the store is away: an answer
/// shows that it runs again, and it is warm a cold start later.
#[test]
fn without_the_list_an_answer_starts_the_cold_time() {
    let mut fleet = host_with_cold_runner(1, &[1]);
    fleet.update(at(100), vec![cold("a", 2, 0)]);
    let key = fleet.find("a").expect("it is listed");
    fleet.record_attempt(at(200), key, AttemptResult::Unreachable);
    fleet.record_attempt(at(4_000), key, AttemptResult::Succeeded);
    fleet.start_request(at(4_000), key, 0, 0);
    assert_eq!(available(&fleet, 4_100), [""; 0], "the next request has to wait");
    assert!(!fleet.get(key).expect("it is known").is_warm(at(6_900)));
    assert!(fleet.get(key).expect("it is known").is_warm(at(7_100)));
}

/// Guards against a restart that only one host has noticed, and against losing the runner for good
/// if neither the list nor an answer ever shows its state.
#[test]
fn a_runner_that_another_host_could_not_reach_is_doubted() {
    let mut fleet = cold_fleet();
    fleet.update(at(0), vec![cold("a", 1, 0)]);
    let key = fleet.find("a").expect("it is listed");
    fleet.record_attempt(at(100), key, AttemptResult::Unreachable);
    let told = fleet.take_unreachable();
    assert_eq!(fleet.take_unreachable(), [0; 0], "it is told once");
    let mut other = cold_fleet();
    other.update(at(0), vec![cold("a", 1, 0)]);
    let other_key = other.find_by_hash(told[0]).expect("it is the same runner");
    other.record_report(at(110), other_key, Incarnation(1));
    other.record_report(at(200), other_key, Incarnation(2));
    assert_eq!(available(&other, 2_000), [""; 0]);
    assert_eq!(available(&other, 10_300), ["a"]);
}

/// Guards against filling the links between zones with reports, when a zone loses its runners: each
/// host reports a runner once, and not at all if two others have.
#[test]
fn a_doubted_runner_is_not_reported_again() {
    let mut fleet = cold_fleet();
    fleet.update(at(0), vec![cold("a", 1, 0), cold("b", 1, 0)]);
    let key = |id: &str| fleet.find(id).expect("it is listed");
    let (a, b) = (key("a"), key("b"));
    let mut reported = 0;
    for ms in [100, 600, 1_500] {
        fleet.record_attempt(at(ms), a, AttemptResult::Unreachable);
        reported += fleet.take_unreachable().len();
    }
    assert_eq!(reported, 1);
    fleet.record_report(at(100), b, Incarnation(1));
    fleet.record_report(at(110), b, Incarnation(2));
    fleet.record_attempt(at(120), b, AttemptResult::Unreachable);
    assert_eq!(fleet.take_unreachable(), [0; 0]);
}

/// Guards against a host that has lost its path to the runners keeping all other hosts from them.
#[test]
fn reports_of_a_single_host_change_nothing() {
    let mut fleet = cold_fleet();
    fleet.update(at(0), vec![cold("a", 1, 0)]);
    let key = fleet.find("a").expect("it is listed");
    for ms in [100, 500, 900, 1_300] {
        fleet.record_report(at(ms), key, Incarnation(1));
    }
    fleet.record_report(at(4_000), key, Incarnation(2));
    assert_eq!(available(&fleet, 4_001), ["a"], "the reports are seconds apart");
}

/// Guards against taking a network cut for the restart of all runners behind it.
#[test]
fn runners_of_other_zones_are_not_reported() {
    let mut fleet = cold_fleet();
    fleet.update(at(0), vec![listed("a", "zone-b")]);
    let key = fleet.find("a").expect("it is listed");
    fleet.record_attempt(at(100), key, AttemptResult::PathLost);
    assert_eq!(fleet.take_unreachable(), [0; 0]);
}

/// Guards against leaving cold runners idle: a few hosts of their zone send to them, at a rate that
/// they can take together.
#[test]
fn a_few_hosts_of_the_zone_share_a_cold_runner() {
    let hosts: Vec<u64> = (0..20).collect();
    let mut fleets: Vec<Fleet> = hosts
        .iter()
        .map(|own| host_with_cold_runner(*own, &hosts))
        .collect();
    let sent: Vec<Vec<u64>> = fleets
        .iter_mut()
        .map(|fleet| send_as_often_as_possible(fleet, 3_000))
        .collect();
    assert_eq!(sent.iter().filter(|sent| !sent.is_empty()).count(), 2);
    let all: Vec<u64> = sent.into_iter().flatten().collect();
    assert!(all.len() >= 20, "{} requests in three seconds", all.len());
    assert!(most_in_one_second(all) <= 10);
}

/// Guards against crashing a cold runner while hosts disagree about which hosts are live: each half
/// of a zone that is cut in two has its own senders.
#[test]
fn disagreeing_hosts_do_not_overload_a_cold_runner() {
    let mut draws = ChaCha8Rng::seed_from_u64(5);
    for _ in 0..50 {
        let split = draws.random_range(1..32);
        let sent = (0..33).flat_map(|own| {
            let hosts: Vec<u64> = if own < split {
                (0..split).collect()
            } else {
                (split..33).collect()
            };
            send_as_often_as_possible(&mut host_with_cold_runner(own, &hosts), 1_500)
        });
        let most = most_in_one_second(sent.collect());
        assert!(most <= MAX_IN_ONE_SECOND, "{most} with a cut after {split} hosts");
    }
}

/// Guards against sending at any rate to a cold runner whose service declares no cold start, in a
/// zone with a single host.
#[test]
fn a_cold_runner_of_unknown_rate_gets_nothing() {
    let mut fleet = host_with_cold_runner(1, &[1]);
    assert_eq!(available(&fleet, 100), ["a"]);
    fleet.set_cold_starts(std::iter::empty());
    assert_eq!(available(&fleet, 100), [""; 0]);
}

/// Guards against hosts of other zones, which learn of a cold start seconds late, sending to a cold
/// runner.
#[test]
fn other_zones_leave_cold_runners_alone() {
    let mut fleet = host_with_cold_runner(1, &[1]);
    fleet.zone = "zone-b".into();
    assert_eq!(available(&fleet, 100), [""; 0]);
}

/// Guards against the hosts of all zones using an empty runner from the moment at which it becomes
/// warm: dozens of requests queued there, and the less urgent ones waited until their deadline.
#[test]
fn other_zones_wait_for_the_load_of_a_runner_that_became_warm() {
    let mut fleet = cold_fleet();
    fleet.zone = "zone-b".into();
    fleet.update(at(0), vec![cold("a", 1, 3_000)]);
    fleet.update(at(2_000), vec![cold("a", 2, 0)]);
    assert_eq!(available(&fleet, 4_900), [""; 0]);
    assert_eq!(available(&fleet, 5_100), ["a"]);
}

/// Guards against a host that has just started and finds warm runners of other zones only.
#[test]
fn a_runner_that_was_never_cold_is_used_at_once() {
    let mut fleet = cold_fleet();
    fleet.zone = "zone-b".into();
    fleet.update(Moment::at_ms(1), vec![cold("a", 1, 0)]);
    assert_eq!(
        fleet.available(Moment::at_ms(2), "engines", Way::Direct).count(),
        1
    );
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
    assert!(!fleet.has_cached(at(600), b, at(550), Way::Direct));
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
    fleet.update(at(11_600), vec![cold("a", 2, 2_000), cold("b", 1, 0)]);
    assert_eq!(available(&fleet, 11_700), ["b"]);
    assert_eq!(available(&fleet, 14_000), ["a", "b"]);
}

/// Guards against ordering runners for a zone that gets no requests, and against too few in the
/// zones that have to carry its traffic.
#[test]
fn orders_leave_an_evacuated_zone_out() {
    let zones = [("zone-a", 1.0), ("zone-b", 1.0), ("zone-c", 1.0)];
    let table = priced("engines", 20, 0.2, &zones);
    let reclaimable_in = |fleet: &Fleet| {
        let mut planner = Planner::default();
        let mut counts = BTreeMap::new();
        while let Some(order) = planner.tick(at(0), &table, fleet, |_| 3_000_000) {
            planner.record_result(at(0), &order, true);
            if order.reclaimable {
                counts.insert(order.zone, order.count);
            }
        }
        counts
    };
    let usual = reclaimable_in(&Fleet::new("zone-a"));
    let mut evacuated = Fleet::new("zone-a");
    evacuated.set_evacuated(at(0), vec!["zone-b".into()]);
    let now = reclaimable_in(&evacuated);
    assert_eq!(now.keys().collect::<Vec<_>>(), ["zone-a", "zone-c"]);
    assert!(now["zone-a"] > usual["zone-a"], "{now:?} for {usual:?}");
    assert!(now.values().sum::<u32>() >= usual.values().sum());
}
