//! Tests of what a host knows about its paths to services, and about those of its peers.

use std::net::SocketAddr;
use std::time::Duration;

use radishstair_core::proxy::State;
use radishstair_core::proxy::fleet::{AttemptResult, Key};
use radishstair_core::proxy::reach::{Change, Failure, Phase, Report};
use radishstair_core::time::Moment;

use super::fixtures::{bounds, runner};

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn address(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 7_340).into()
}

/// A host that knows four engines and two ledger runners.
fn host() -> State {
    let mut state = State::new(bounds(), "zone-a");
    let engines = (0..4).map(|at| runner(&format!("e{at}"), "engines", "zone-a"));
    let ledgers = (0..2).map(|at| runner(&format!("l{at}"), "ledger", "zone-b"));
    state.fleet.update(at(0), engines.chain(ledgers).collect());
    state
}

fn key(state: &State, id: &str) -> Key {
    state.fleet.find(id).expect("a listed runner")
}

fn fail(state: &mut State, ms: u64, id: &str) -> Option<Change> {
    let key = key(state, id);
    state.record_unreachable(at(ms), key, AttemptResult::Unreachable, Failure::Timeout)
}

fn connect(state: &mut State, ms: u64, id: &str) -> Option<Change> {
    let key = key(state, id);
    state.record_connection(at(ms), key)
}

/// Guards against a path that is taken for lost when a single runner dies.
#[test]
fn failures_at_one_runner_are_no_loss_of_the_path() {
    let mut state = host();
    for ms in [10, 220, 900, 1_500] {
        assert_eq!(fail(&mut state, ms, "e0"), None);
    }
    assert_eq!(state.reach.phase("engines"), Phase::Direct);
    assert_eq!(connect(&mut state, 1_600, "e1"), None);
    assert_eq!(
        fail(&mut state, 1_700, "e2"),
        None,
        "another one has been reached in between"
    );
}

/// Guards against a loss of the path that looks like the loss of one runner after the other: failures at
/// two runners are enough, and the services are told apart.
#[test]
fn failures_at_two_runners_are_a_loss_of_the_path() {
    let mut state = host();
    assert_eq!(fail(&mut state, 10, "e0"), None);
    assert_eq!(fail(&mut state, 220, "e1"), Some(Change::Lost));
    assert_eq!(state.reach.phase("engines"), Phase::Lost { since: at(220) });
    assert_eq!(state.reach.phase("ledger"), Phase::Direct);
    assert_eq!(state.reach.lost_services(), 1);
}

/// Guards against a loss of the path to all services that each of them has to find out by itself.
#[test]
fn the_loss_of_one_path_has_the_others_probed() {
    let mut state = host();
    connect(&mut state, 0, "l0");
    fail(&mut state, 10, "e0");
    assert_eq!(state.reach.take_probes(at(10)), ["engines"]);
    fail(&mut state, 220, "e1");
    assert_eq!(state.reach.take_probes(at(220)), ["engines", "ledger"]);
    assert_eq!(state.probe_targets(at(220), "ledger", 7).len(), 2);
}

/// Guards against requests that avoid a sound path for long: a connection right after the loss shows
/// that the two runners had failed by themselves.
#[test]
fn a_probe_refutes_a_loss_at_once() {
    let mut state = host();
    fail(&mut state, 10, "e0");
    fail(&mut state, 12, "e1");
    let probed = state.probe_targets(at(12), "engines", 7);
    assert!(!probed.contains(&key(&state, "e0")) && !probed.contains(&key(&state, "e1")));
    let change = connect(&mut state, 14, "e2");
    assert!(matches!(change, Some(Change::Regained { .. })), "{change:?}");
}

/// Guards against probes that are as frequent as requests while a path is lost.
#[test]
fn a_lost_path_is_probed_seldom() {
    let mut state = host();
    fail(&mut state, 10, "e0");
    fail(&mut state, 220, "e1");
    let probed = (220..20_220).filter(|ms| !state.reach.take_probes(at(*ms)).is_empty());
    assert!((8..=12).contains(&probed.count()));
}

/// Guards against a path that is used by all requests as soon as one connection comes through.
#[test]
fn the_return_to_a_path_takes_time_and_ends_with_a_failure() {
    let mut state = host();
    fail(&mut state, 10, "e0");
    fail(&mut state, 220, "e1");
    assert_eq!(connect(&mut state, 5_000, "e2"), Some(Change::Returning));
    assert!(state.reach.advance(at(5_400)).is_empty());
    assert_eq!(fail(&mut state, 5_500, "e3"), Some(Change::Lost));
    assert_eq!(connect(&mut state, 5_600, "e2"), Some(Change::Returning));
    let ended = state.reach.advance(at(7_100));
    let after = Duration::from_millis(6_880);
    assert_eq!(ended, [("engines".to_string(), Change::Regained { after })]);
}

/// Guards against a loss of the runners that looks like a loss of this host's path: the peers' reports tell.
#[test]
fn peers_tell_which_services_they_reach() {
    let mut state = host();
    connect(&mut state, 0, "e0");
    connect(&mut state, 0, "l0");
    let report = state.reach.report(at(500));
    assert_eq!((report.reached.len(), report.lost.len()), (2, 0));
    fail(&mut state, 600, "e0");
    fail(&mut state, 800, "e1");
    let cut_off = state.reach.report(at(900));
    assert_eq!((cut_off.reached.len(), cut_off.lost.len()), (1, 1));
    assert_eq!(
        state.reach.report(at(2_000)).reached,
        Vec::<u32>::new(),
        "not heard lately"
    );

    let mut other = host();
    other.reach.record_report(at(900), address(1), report);
    other.reach.record_report(at(900), address(2), cut_off);
    other.reach.record_report(at(900), address(3), Report::default());
    assert_eq!(other.reach.count_peers(at(1_000), "engines"), (1, 1));
    assert_eq!(other.reach.count_peers(at(1_000), "ledger"), (2, 0));
    assert_eq!(
        other.reach.count_peers(at(5_000), "engines"),
        (0, 0),
        "old reports"
    );
}
