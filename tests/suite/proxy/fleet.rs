//! Tests of the list of runners and of their health as one host sees it.

use radishstair_core::proxy::fleet::Way;
use radishstair_core::proxy::fleet::{AttemptResult, Fleet, Idle, Liveness, Stage};
use radishstair_core::time::Moment;

use super::fixtures::runner;
use std::time::Duration;

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn available(fleet: &Fleet, ms: u64) -> Vec<String> {
    let runners = fleet.available(at(ms), "engines", Way::Direct);
    let mut ids: Vec<String> = runners.map(|(_, runner)| runner.listed.id.clone()).collect();
    ids.sort();
    ids
}

fn listed(ids: &[&str]) -> Vec<radishstair_core::proxy::fleet::Listed> {
    ids.iter().map(|id| runner(id, "engines", "zone-a")).collect()
}

/// Guards against refusing callers after an outage of the store, during which the entries of live
/// runners expired. Missing entries are ignored until live runners have had time to register
/// again; a runner that is still missing then is gone.
#[test]
fn entries_that_lapsed_with_the_store_are_waited_for() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a", "b"]));
    fleet.update(at(1_000), listed(&["a", "b"]));
    fleet.update(at(6_000), Vec::new());
    assert_eq!(available(&fleet, 6_100), ["a", "b"]);
    fleet.update(at(7_500), listed(&["a"]));
    assert_eq!(available(&fleet, 7_600), ["a", "b"]);
    fleet.update(at(8_400), listed(&["a"]));
    assert_eq!(available(&fleet, 8_500), ["a"]);
}

/// Guards against sending requests to a runner that left during an outage until one more list
/// arrives.
#[test]
fn an_entry_that_stays_away_after_a_cut_is_gone_in_time() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a", "b"]));
    fleet.update(at(6_000), listed(&["a"]));
    fleet.update(at(8_200), listed(&["a"]));
    assert_eq!(available(&fleet, 8_500), ["a"]);
}

/// Guards against sending requests to a runner that has left: an entry removed while the store is
/// available counts at once.
#[test]
fn an_entry_that_is_removed_from_a_sound_store_is_gone() {
    let mut fleet = Fleet::new("zone-a");
    for ms in [0, 1_000, 2_000, 3_000] {
        fleet.update(at(ms), listed(&["a", "b"]));
    }
    fleet.update(at(4_000), listed(&["b"]));
    assert_eq!(available(&fleet, 4_001), ["b"]);
}

/// Guards against requests to a runner that left right after an outage of the store, though a list since had shown it.
#[test]
fn a_runner_that_was_listed_since_an_outage_is_gone_soon_after_its_entry() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a", "b", "c"]));
    fleet.update(at(4_000), listed(&["a", "b"]));
    fleet.update(at(4_300), listed(&["a"]));
    assert_eq!(available(&fleet, 4_900), ["a", "b", "c"]);
    assert_eq!(
        available(&fleet, 5_100),
        ["a", "c"],
        "c may have lapsed in the outage"
    );
    fleet.update(at(6_400), listed(&["a"]));
    assert_eq!(available(&fleet, 6_500), ["a"]);
}

/// A runner that is shutting down gets no new requests but still counts as present.
#[test]
fn a_draining_runner_gets_nothing_new() {
    let mut fleet = Fleet::new("zone-a");
    let mut items = listed(&["a", "b"]);
    items[0].stage = Stage::Draining;
    fleet.update(at(0), items);
    assert_eq!(available(&fleet, 1), ["b"]);
    let a = fleet.find("a").expect("it is known");
    assert!(fleet.get(a).expect("it is there").is_leaving(at(1)));
}

/// The list lags seconds behind a crash. A runner that refuses connections is avoided, longer
/// each time, and then tried again.
#[test]
fn an_unreachable_runner_rests_and_comes_back() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a"]));
    let a = fleet.find("a").expect("it is known");
    fleet.record_attempt(at(10), a, AttemptResult::Unreachable);
    assert!(available(&fleet, 100).is_empty());
    assert_eq!(available(&fleet, 500), ["a"]);
    fleet.record_attempt(at(500), a, AttemptResult::Unreachable);
    assert!(available(&fleet, 1_200).is_empty());
    fleet.record_attempt(at(1_400), a, AttemptResult::Succeeded);
    fleet.record_attempt(at(1_500), a, AttemptResult::Unreachable);
    assert_eq!(available(&fleet, 2_000), ["a"]);
}

/// Guards against an answer from the wrong service: a runner has gone, and another process
/// answers at its address. The runner gets no requests until its entry changes.
#[test]
fn a_replaced_runner_gets_nothing_until_it_is_listed_anew() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a"]));
    let a = fleet.find("a").expect("it is known");
    fleet.record_attempt(at(10), a, AttemptResult::Replaced);
    fleet.update(at(1_000), listed(&["a"]));
    assert!(available(&fleet, 9_000).is_empty());
    let mut again = listed(&["a"]);
    again[0].started_ms = 2;
    let address = again[0].address;
    let replaced = fleet.update(at(9_500), again);
    assert_eq!(
        replaced,
        [address, address],
        "its connections belong to another process"
    );
    assert_eq!(available(&fleet, 9_600), ["a"]);
}

/// Guards against a request that may run at most once being sent on a connection that the runner
/// is closing, when it is unknown whether it ran. Such requests use only recently used
/// connections; others use them for longer, but not until the timeout.
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

/// Guards against callers that wait for one dead connection after the other when a zone is cut
/// off. After two unreachable runners, the others of the zone are avoided too, unless there is no
/// other zone.
#[test]
fn a_zone_that_cannot_be_reached_rests_as_a_whole() {
    let mut fleet = Fleet::new("zone-a");
    let mut items = listed(&["a"]);
    items.extend(["b1", "b2", "b3"].map(|id| runner(id, "engines", "zone-b")));
    fleet.update(at(0), items);
    let key = |fleet: &Fleet, id: &str| fleet.find(id).expect("it is known");
    fleet.record_attempt(at(10), key(&fleet, "b1"), AttemptResult::Unreachable);
    assert_eq!(available(&fleet, 20), ["a", "b2", "b3"]);
    fleet.record_attempt(at(30), key(&fleet, "b2"), AttemptResult::Unreachable);
    assert_eq!(available(&fleet, 40), ["a"]);
    fleet.record_attempt(at(50), key(&fleet, "a"), AttemptResult::Unreachable);
    assert_eq!(available(&fleet, 60), ["b3"], "no other zone is left");
    fleet.record_attempt(at(70), key(&fleet, "b3"), AttemptResult::Succeeded);
    assert_eq!(
        available(&fleet, 500),
        ["a", "b1", "b2", "b3"],
        "the zone is reachable again"
    );
}

/// Guards against exceeding a runner's connection limit because each waiting request probes it.
/// One request probes for all, after 0.8 s of silence and again after as long; any answer of the
/// runner postpones the probe.
#[test]
fn one_request_asks_for_all_that_wait() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a"]));
    let key = fleet.find("a").expect("listed");
    let recent = |ms| Liveness::Recent(Duration::from_millis(ms));
    assert_eq!(fleet.liveness(at(0), key, at(0)), recent(800));
    fleet.record_contact(at(500), key);
    assert_eq!(fleet.liveness(at(800), key, at(0)), recent(500));
    assert_eq!(fleet.liveness(at(1_300), key, at(0)), Liveness::Silent);
    for _ in 0..50 {
        assert_eq!(fleet.liveness(at(1_301), key, at(0)), recent(799));
    }
    assert_eq!(fleet.liveness(at(2_100), key, at(0)), Liveness::Silent);
}

/// Guards against requests that wait until the route's timeout behind a network cut. Once one
/// request has found the path down, all that were sent before stop waiting. A single failed
/// connection, which packet loss can cause, does not stop them.
#[test]
fn all_that_wait_learn_of_a_cut() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a"]));
    let key = fleet.find("a").expect("listed");
    fleet.record_attempt(at(100), key, AttemptResult::Unreachable);
    assert!(matches!(fleet.liveness(at(200), key, at(0)), Liveness::Recent(_)));
    fleet.record_attempt(at(1_200), key, AttemptResult::PathLost);
    assert_eq!(fleet.liveness(at(1_300), key, at(0)), Liveness::PathLost);
    assert!(matches!(
        fleet.liveness(at(1_400), key, at(1_300)),
        Liveness::Recent(_)
    ));
}

/// Guards against a host that has just started sending requests to a runner that has left. The
/// entry was in the host's first list and is removed a second later; only a gap between the
/// store's answers would make the removal doubtful.
#[test]
fn a_host_that_has_just_started_believes_a_removal() {
    let mut fleet = Fleet::new("zone-a");
    fleet.update(at(0), listed(&["a", "b"]));
    fleet.update(at(1_000), listed(&["a"]));
    assert_eq!(available(&fleet, 1_100), ["a"]);
}
