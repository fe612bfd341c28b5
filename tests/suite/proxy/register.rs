//! Tests of the register of software versions: what hosts that have just started, or whose routes have changed, know of
//! the versions that can have begun a stream.

use std::time::Duration;

use radishstair_core::proxy::State;
use radishstair_core::proxy::fleet::register::Register;
use radishstair_core::proxy::fleet::software::Version;
use radishstair_core::proxy::fleet::{Fleet, Listed, Software};
use radishstair_core::proxy::route::{Limits, Mode, Route, Share, Table};
use radishstair_core::time::Moment;

use super::fixtures::{self, route, runner, service};

/// Time of day at the start of a test.
const START_MS: u64 = 1_700_000_000_000;
/// Time after which a register covers all streams, if it was written at the first start of all hosts.
const COMPLETE_MS: u64 = 4_000;

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn version(text: &str) -> Version {
    Software::new("engines", text).version
}

fn listed(id: &str, version: &str) -> Listed {
    Listed {
        software: Software::new("engines", version),
        ..runner(id, "engines", "zone-a")
    }
}

fn list(fleet: &mut Fleet, ms: u64, runners: &[(&str, &str)]) {
    let items = runners.iter().map(|(id, version)| listed(id, version));
    fleet.update(at(ms), items.collect());
}

fn next(fleet: &Fleet, ms: u64, is_first_start: bool) -> Option<Register> {
    fleet.next_register(at(ms), START_MS + ms, is_first_start, &["engines"])
}

/// A host of the first start that has registered what it has listed.
fn first_host(runners: &[(&str, &str)]) -> (Fleet, Register) {
    let mut fleet = Fleet::new("zone-a");
    list(&mut fleet, 0, runners);
    let register = next(&fleet, 0, true).expect("a row to add");
    fleet.read_register(at(0), register.clone());
    (fleet, register)
}

fn only(fleet: &Fleet, until: u64) -> Option<Version> {
    fleet.only_registered(START_MS + 60_000, at(until), "engines")
}

/// Guards against streams that are lost with all hosts, though their service has only ever had one version.
#[test]
fn a_host_that_has_just_started_learns_the_only_version() {
    let (_, register) = first_host(&[("a", "v1")]);
    let mut started = Fleet::new("zone-a");
    list(&mut started, 50_000, &[("a", "v1")]);
    assert_eq!(only(&started, 50_000), None, "the register is not read yet");
    started.read_register(at(50_000), register);
    assert_eq!(only(&started, 50_000), Some(version("v1")));
    assert_eq!(
        only(&started, 50_001),
        None,
        "it was read before the stream was taken up"
    );
}

/// Guards against a host that takes the version which is left for the one that began a stream.
#[test]
fn a_version_stays_registered_after_its_last_runner() {
    let (mut fleet, _) = first_host(&[("a", "v1")]);
    list(&mut fleet, 1_000, &[("a", "v1"), ("b", "v2")]);
    let register = next(&fleet, 1_000, true).expect("a version to add");
    fleet.read_register(at(1_000), register.clone());
    for ms in (2_000..=600_000).step_by(2_000) {
        list(&mut fleet, ms, &[("b", "v2")]);
        assert_eq!(next(&fleet, ms, true), None, "{ms}");
    }
    let mut started = Fleet::new("zone-a");
    list(&mut started, 50_000, &[("b", "v2")]);
    started.read_register(at(50_000), register.clone());
    assert_eq!(only(&started, 50_000), None);
    assert_eq!(
        next(&started, 50_000, false),
        None,
        "it cannot know since when v1 is gone"
    );
    for ms in (602_000..=606_000).step_by(2_000) {
        list(&mut fleet, ms, &[("b", "v2")]);
    }
    let register = next(&fleet, 606_000, true).expect("a version to remove");
    fleet.read_register(at(606_000), register);
    assert_eq!(only(&fleet, 606_000), Some(version("v2")));
}

/// Guards against a stream that begins at a version of which no host knows once all are killed.
#[test]
fn no_stream_begins_at_a_version_that_is_not_registered() {
    let (mut fleet, _) = first_host(&[("a", "v1")]);
    list(&mut fleet, 1_000, &[("a", "v1"), ("b", "v2")]);
    let may_begin = |fleet: &Fleet, id: &str| {
        let key = fleet.find(id).expect("it is listed");
        fleet.get(key).expect("it is listed").may_begin(true)
    };
    assert!(may_begin(&fleet, "a"));
    assert!(!may_begin(&fleet, "b"));
    let register = next(&fleet, 1_000, true).expect("a version to add");
    fleet.read_register(at(1_000), register);
    assert!(may_begin(&fleet, "b"));
    list(&mut fleet, 2_000, &[("a", "v3"), ("b", "v2")]);
    assert!(!may_begin(&fleet, "a"), "a new process has a version of its own");
}

/// Guards against a row that says nothing of the streams which began before it was written.
#[test]
fn a_row_covers_former_streams_only_after_their_life() {
    let mut fleet = Fleet::new("zone-a");
    list(&mut fleet, 0, &[("a", "v1")]);
    let late = next(&fleet, 0, false).expect("a row to add");
    fleet.read_register(at(0), late);
    assert_eq!(only(&fleet, 0), None);
    let (fleet, _) = first_host(&[("a", "v1")]);
    let only = |ms| fleet.only_registered(START_MS + ms, at(0), "engines");
    assert_eq!(
        only(COMPLETE_MS - 1),
        None,
        "other hosts may still have to register theirs"
    );
    assert_eq!(only(COMPLETE_MS), Some(version("v1")));
}

/// A host is told when a service has its second version, and not again with each read.
#[test]
fn the_second_version_of_a_service_is_noticed() {
    let (mut fleet, first) = first_host(&[("a", "v1")]);
    assert!(!fleet.read_register(at(500), first));
    list(&mut fleet, 1_000, &[("a", "v1"), ("b", "v2")]);
    let second = next(&fleet, 1_000, true).expect("a version to add");
    assert!(fleet.read_register(at(1_000), second.clone()));
    assert!(!fleet.read_register(at(1_500), second));
}

/// Guards against an answer of the store that overtakes a newer one.
#[test]
fn an_older_register_does_not_replace_a_newer_one() {
    let (mut fleet, old) = first_host(&[("a", "v1")]);
    list(&mut fleet, 1_000, &[("a", "v1"), ("b", "v2")]);
    let register = next(&fleet, 1_000, true).expect("a version to add");
    fleet.read_register(at(1_000), register);
    fleet.read_register(at(500), old);
    assert_eq!(only(&fleet, 1_000), None);
    assert_eq!(next(&fleet, 1_000, true), None);
}

/// A host that has known one version only, and whose routes are those of a table.
fn host(routes: Vec<Route>) -> State {
    let mut state = State::new(fixtures::bounds(), "zone-a");
    state.configure(at(0), table(1, routes));
    let (fleet, _) = first_host(&[("a", "v1")]);
    state.fleet = fleet;
    state
}

fn table(revision: u64, routes: Vec<Route>) -> Table {
    let services = ["engines", "engines-new"].map(|name| service(name, Some(32)));
    Table::new(
        revision,
        revision,
        routes,
        services.into(),
        None,
        Limits::default(),
    )
}

fn notes(path_prefix: &str, service: &str, timeout_s: u64) -> Route {
    let resumable = Mode::Stream { resumable: true };
    Route {
        timeout: Some(Duration::from_secs(timeout_s)),
        ..route(&format!("notes-{path_prefix}"), path_prefix, resumable, service)
    }
}

/// Whether a take-up at this time goes on without memory of its stream.
fn goes_on(state: &mut State, ms: u64) -> bool {
    let register = first_host(&[("a", "v1")]).1;
    state.fleet.read_register(at(ms), register);
    let head = fixtures::request("");
    let admission = state.admit(at(ms), &head).expect("the route is there");
    state.only_origin(at(ms), START_MS + ms, at(ms), &admission) == Some(version("v1"))
}

/// Guards against a stream that goes on at another service, as a change of the routes leads its caller there.
#[test]
fn a_stream_does_not_go_on_at_a_service_that_its_route_had_not() {
    let (here, there) = ("engines", "engines-new");
    let notes = |path_prefix, service| notes(path_prefix, service, 15);
    for (name, former, current, is_joined) in [
        (
            "moved",
            vec![notes("/notes/", there)],
            vec![notes("/notes/", here)],
            true,
        ),
        (
            "another one added",
            vec![notes("/notes/", here)],
            vec![notes("/notes/", here), notes("/other/", there)],
            false,
        ),
        (
            "a longer prefix added",
            vec![notes("/", there)],
            vec![notes("/", there), notes("/notes/", here)],
            true,
        ),
        (
            "a longer prefix removed",
            vec![notes("/", here), notes("/notes/", there)],
            vec![notes("/", here)],
            true,
        ),
    ] {
        let mut state = host(former);
        state.configure(at(10_000), table(2, current));
        assert_eq!(goes_on(&mut state, 12_000), !is_joined, "{name}");
        // The revocation bound and twice the timeout later, all former streams are over.
        assert!(goes_on(&mut state, 10_000 + 5_000 + 30_000), "{name}");
    }
}

/// A route that is split over services says nothing about which of them began a stream.
#[test]
fn a_stream_of_a_split_route_needs_memory() {
    let mut split = notes("/notes/", "engines", 15);
    split.shares.push(Share {
        service: "engines-new".into(),
        weight: 10,
    });
    assert!(!goes_on(&mut host(vec![split]), 12_000));
}

/// Guards against a host without a register that looks back over the present timeout only, though streams that are
/// taken up began when it was longer.
#[test]
fn a_shorter_timeout_does_not_shorten_the_past() {
    let mut state = State::new(fixtures::bounds(), "zone-a");
    state.configure(at(0), table(1, vec![notes("/notes/", "engines", 60)]));
    list(&mut state.fleet, 0, &[("old", "v0"), ("a", "v1")]);
    for ms in (1_000..=80_000).step_by(1_000) {
        list(&mut state.fleet, ms, &[("a", "v1")]);
    }
    state.configure(at(40_000), table(2, vec![notes("/notes/", "engines", 5)]));
    let head = fixtures::request("");
    let admission = state.admit(at(79_000), &head).expect("the route is there");
    assert_eq!(
        state.only_origin(at(79_000), START_MS, at(79_000), &admission),
        None
    );
}

/// Guards against a host that has not seen a version come and go, and takes the one that it knows for the only one, though
/// the register has both.
#[test]
fn what_a_host_has_seen_does_not_overrule_the_register() {
    let mut state = host(vec![notes("/notes/", "engines", 15)]);
    for ms in (1_000..=60_000).step_by(1_000) {
        list(&mut state.fleet, ms, &[("a", "v1")]);
    }
    let head = fixtures::request("");
    let admission = state.admit(at(60_000), &head).expect("the route is there");
    let only = |state: &State| state.only_origin(at(60_000), START_MS, at(60_000), &admission);
    let mut other = Fleet::new("zone-a");
    list(&mut other, 0, &[("a", "v1"), ("b", "v2")]);
    let register = next(&other, 0, true).expect("a row to add");
    state.fleet.read_register(at(60_000), register);
    assert_eq!(only(&state), None);
}

/// Watches the list over the time for which a version stays registered, and half a minute more.
fn watch_long(fleet: &mut Fleet, runners: &[(&str, &str)]) -> u64 {
    let end = 630_000;
    for ms in (1_000..=end).step_by(1_000) {
        list(fleet, ms, runners);
    }
    end
}

/// Guards against a host that stood still while a version came and went, and removes it from the register.
#[test]
fn a_version_that_others_have_registered_is_not_removed_by_a_host_that_missed_it() {
    let (mut fleet, register) = first_host(&[("a", "v1")]);
    let end = watch_long(&mut fleet, &[("a", "v1")]);
    let mut other = fleet_with(&register);
    list(&mut other, end, &[("a", "v1"), ("b", "v2")]);
    let register = next(&other, end, false).expect("a version to add");
    fleet.read_register(at(end + 2_000), register);
    list(&mut fleet, end + 2_000, &[("a", "v1")]);
    assert_eq!(next(&fleet, end + 2_000, false), None);
    assert_eq!(next(&fleet, end + 590_000, false), None);
}

/// Guards against a version that stays out of the register although a host knows that it has served lately.
#[test]
fn a_version_that_was_removed_too_early_is_registered_again() {
    let (mut fleet, register) = first_host(&[("a", "v1")]);
    list(&mut fleet, 1_000, &[("a", "v1"), ("b", "v2")]);
    list(&mut fleet, 2_000, &[("a", "v1")]);
    fleet.read_register(at(2_500), register);
    let again = next(&fleet, 3_000, false).expect("a version to add");
    fleet.read_register(at(3_500), again);
    assert_eq!(only(&fleet, 3_000), None);
}

fn fleet_with(register: &Register) -> Fleet {
    let mut fleet = Fleet::new("zone-a");
    fleet.read_register(at(0), register.clone());
    fleet
}

/// Guards against a version that is removed from the register as soon as its runners have restarted with another one.
#[test]
fn a_version_stays_registered_after_its_runners_have_changed_to_another() {
    let (mut fleet, _) = first_host(&[("a", "v1")]);
    let end = watch_long(&mut fleet, &[("a", "v1")]);
    list(&mut fleet, end, &[("a", "v2")]);
    let register = next(&fleet, end, false).expect("a version to add");
    fleet.read_register(at(end), register);
    assert_eq!(only(&fleet, end), None);
    assert_eq!(next(&fleet, end + 1_000, false), None);
    for ms in (end + 1_000..=end + 602_000).step_by(1_000) {
        list(&mut fleet, ms, &[("a", "v2")]);
    }
    let register = next(&fleet, end + 602_000, false).expect("a version to remove");
    fleet.read_register(at(end + 602_000), register);
    assert_eq!(only(&fleet, end + 602_000), Some(version("v2")));
}

/// Guards against plain requests that are refused for a row about streams, and against streams that are, once their route
/// is back.
#[test]
fn a_row_binds_streams_only_and_is_kept_up_without_them() {
    let (mut fleet, _) = first_host(&[("a", "v1")]);
    list(&mut fleet, 1_000, &[("a", "v1"), ("b", "v2")]);
    let key = fleet.find("b").expect("it is listed");
    let may_begin = |fleet: &Fleet, is_stream| fleet.get(key).expect("it is listed").may_begin(is_stream);
    assert!(may_begin(&fleet, false));
    assert!(!may_begin(&fleet, true));
    let register = fleet.next_register(at(1_000), START_MS + 1_000, true, &[]);
    fleet.read_register(at(1_000), register.expect("a version to add"));
    assert!(may_begin(&fleet, true));
}
