//! Runners that come and go, as one host believes.

use radishstair_core::proxy::fleet::{Attempt, Fleet, Idle, Liveness, Stage};
use radishstair_core::time::Moment;

use super::fixtures::runner;
use std::time::Duration;

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn open(fleet: &Fleet, ms: u64) -> Vec<String> {
    let open = fleet.available(at(ms), "engines");
    let mut ids: Vec<String> = open.map(|(_, runner)| runner.listed.id.clone()).collect();
    ids.sort();
    ids
}

fn listed(ids: &[&str]) -> Vec<radishstair_core::proxy::fleet::Listed> {
    ids.iter().map(|id| runner(id, "engines", "zone-a")).collect()
}

/// Callers are refused though all runners live. The store was away, the
/// runners' entries lapsed in it, and the first list after its return is empty.
/// Missing entries mean nothing until live runners have had time to be listed
/// again; one that is still missing then is gone.
#[test]
fn entries_that_lapsed_with_the_store_are_waited_for() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a", "b"]));
    fleet.update(at(1_000), listed(&["a", "b"]));
    fleet.update(at(6_000), Vec::new());
    assert_eq!(open(&fleet, 6_100), ["a", "b"]);
    fleet.update(at(7_500), listed(&["a"]));
    assert_eq!(open(&fleet, 7_600), ["a", "b"]);
    fleet.update(at(8_400), listed(&["a"]));
    assert_eq!(open(&fleet, 8_500), ["a"]);
}

/// Guards against a runner gone during a cut that gets requests until one more list has come.
#[test]
fn an_entry_that_stays_away_after_a_cut_is_gone_in_time() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a", "b"]));
    fleet.update(at(6_000), listed(&["a"]));
    fleet.update(at(8_200), listed(&["a"]));
    assert_eq!(open(&fleet, 8_500), ["a"]);
}

/// Requests go to a runner that has left. Its entry is removed while the store
/// is sound; that is its leave, and it counts at once.
#[test]
fn an_entry_that_is_removed_from_a_sound_store_is_gone() {
    let mut fleet = Fleet::new("zone-a");
    for ms in [0, 1_000, 2_000, 3_000] {
        fleet.update(at(ms), listed(&["a", "b"]));
    }
    fleet.update(at(4_000), listed(&["b"]));
    assert_eq!(open(&fleet, 4_001), ["b"]);
}

/// A runner that says it is leaving gets nothing new, and still counts as there.
#[test]
fn a_draining_runner_gets_nothing_new() {
    let mut fleet = Fleet::new("zone-a");
    let mut items = listed(&["a", "b"]);
    items[0].stage = Stage::Draining;
    fleet.update(at(0), items);
    assert_eq!(open(&fleet, 1), ["b"]);
    let a = fleet.find("a").expect("it is known");
    assert!(fleet.get(a).expect("it is there").is_leaving());
}

/// The list lags behind a crash by seconds. A runner that refuses connections
/// rests, longer each time, and is tried again.
#[test]
fn an_unreachable_runner_rests_and_comes_back() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a"]));
    let a = fleet.find("a").expect("it is known");
    fleet.record_attempt(at(10), a, Attempt::Unreachable);
    assert!(open(&fleet, 100).is_empty());
    assert_eq!(open(&fleet, 500), ["a"]);
    fleet.record_attempt(at(500), a, Attempt::Unreachable);
    assert!(open(&fleet, 1_200).is_empty());
    fleet.record_attempt(at(1_400), a, Attempt::Succeeded);
    fleet.record_attempt(at(1_500), a, Attempt::Unreachable);
    assert_eq!(open(&fleet, 2_000), ["a"]);
}

/// A caller's answer comes from another service. A runner has gone and another
/// process answers at its address; it gets nothing until the list says anew who
/// is there.
#[test]
fn a_replaced_runner_gets_nothing_until_it_is_listed_anew() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a"]));
    let a = fleet.find("a").expect("it is known");
    fleet.record_attempt(at(10), a, Attempt::Replaced);
    fleet.update(at(1_000), listed(&["a"]));
    assert!(open(&fleet, 9_000).is_empty());
    let mut again = listed(&["a"]);
    again[0].started_ms = 2;
    let address = again[0].address;
    let void = fleet.update(at(9_500), again);
    assert_eq!(void, [address, address], "its connections are another process's");
    assert_eq!(open(&fleet, 9_600), ["a"]);
}

/// A posting meets a connection that the runner is just closing, and nobody can
/// tell whether it ran. Such requests use only connections that are nearly
/// fresh; others use them for longer, but not to the end.
#[test]
fn postings_use_only_fresh_connections() {
    let idle = Idle {
        since: at(0),
        keep_alive: Duration::from_secs(10),
    };
    assert!(idle.is_usable(at(3_000), true));
    assert!(!idle.is_usable(at(3_500), true));
    assert!(idle.is_usable(at(9_000), false));
    assert!(!idle.is_usable(at(9_400), false));
}

/// Callers wait for one dead connection after the other. A zone is cut off:
/// after two of its runners could not be reached, the others are not tried
/// either, but a zone that seems cut off is better than none.
#[test]
fn a_zone_that_cannot_be_reached_rests_as_a_whole() {
    let mut fleet = Fleet::new("zone-a");
    let mut items = listed(&["a"]);
    items.extend(["b1", "b2", "b3"].map(|id| runner(id, "engines", "zone-b")));
    fleet.update(at(0), items);
    let key = |fleet: &Fleet, id: &str| fleet.find(id).expect("it is known");
    fleet.record_attempt(at(10), key(&fleet, "b1"), Attempt::Unreachable);
    assert_eq!(open(&fleet, 20), ["a", "b2", "b3"]);
    fleet.record_attempt(at(30), key(&fleet, "b2"), Attempt::Unreachable);
    assert_eq!(open(&fleet, 40), ["a"]);
    fleet.record_attempt(at(50), key(&fleet, "a"), Attempt::Unreachable);
    assert_eq!(open(&fleet, 60), ["b3"], "better than none");
    fleet.record_attempt(at(70), key(&fleet, "b3"), Attempt::Succeeded);
    assert_eq!(open(&fleet, 500), ["a", "b1", "b2", "b3"], "it is reached again");
}

/// A runner with a long queue is asked for a connection by each request that waits for it,
/// and passes its limit. One request asks for all: after 0.8 s without a word, and again
/// after as long; a word from the runner to anyone puts it off.
#[test]
fn one_request_asks_for_all_that_wait() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a"]));
    let key = fleet.find("a").expect("listed");
    let rest = |ms| Liveness::Recent(Duration::from_millis(ms));
    assert_eq!(fleet.liveness(at(0), key, at(0)), rest(800));
    fleet.record_contact(at(500), key);
    assert_eq!(fleet.liveness(at(800), key, at(0)), rest(500));
    assert_eq!(fleet.liveness(at(1_300), key, at(0)), Liveness::Silent);
    for _ in 0..50 {
        assert_eq!(fleet.liveness(at(1_301), key, at(0)), rest(799));
    }
    assert_eq!(fleet.liveness(at(2_100), key, at(0)), Liveness::Silent);
}

/// Requests wait for their runner behind a cut until the route's time-out. Once one of
/// them has found the path cut, all that were sent before know; one connection that failed,
/// as where packets are lost, tells them nothing.
#[test]
fn all_that_wait_learn_of_a_cut() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a"]));
    let key = fleet.find("a").expect("listed");
    fleet.record_attempt(at(100), key, Attempt::Unreachable);
    assert!(matches!(fleet.liveness(at(200), key, at(0)), Liveness::Recent(_)));
    fleet.record_attempt(at(1_200), key, Attempt::PathLost);
    assert_eq!(fleet.liveness(at(1_300), key, at(0)), Liveness::PathLost);
    assert!(matches!(
        fleet.liveness(at(1_400), key, at(1_300)),
        Liveness::Recent(_)
    ));
}

/// A runner that has left goes on getting requests from a host that has just started. Its
/// entry was in the host's first list and is removed a second later, in a sound store; only
/// a pause of the store's answers would make that doubtful.
#[test]
fn a_host_that_has_just_started_believes_a_removal() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a", "b"]));
    fleet.update(at(1_000), listed(&["a"]));
    assert_eq!(open(&fleet, 1_100), ["a"]);
}
