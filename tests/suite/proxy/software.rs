//! Tests of what a host believes of its runners' software versions, and of where streams go on.

use std::time::Duration;

use quickcheck::quickcheck;
use radishstair_core::proxy::fleet::software::Version;
use radishstair_core::proxy::fleet::{AttemptResult, Fleet, Key, Listed, Software, Stage};
use radishstair_core::proxy::placement::{Choice, Demand, Segment};
use radishstair_core::proxy::prefix::Index;
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures::{self, runner};

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn listed(id: &str, version: &str) -> Listed {
    Listed {
        software: Software::new("engines", version),
        ..runner(id, "engines", "zone-a")
    }
}

fn version(text: &str) -> Version {
    Software::new("engines", text).version
}

fn fleet(runners: &[(&str, &str)]) -> Fleet {
    let mut fleet = Fleet::new("zone-a");
    update(&mut fleet, 0, runners);
    fleet
}

fn update(fleet: &mut Fleet, ms: u64, runners: &[(&str, &str)]) {
    let items = runners.iter().map(|(id, version)| listed(id, version));
    fleet.update(at(ms), items.collect());
}

fn key(fleet: &Fleet, id: &str) -> Key {
    fleet.find(id).expect("it is listed")
}

fn known(fleet: &Fleet, id: &str) -> Option<Version> {
    fleet.get(key(fleet, id)).expect("it is listed").known_version()
}

fn demand(version: Option<Version>) -> Demand {
    Demand {
        service: "engines".into(),
        prompt_tokens: 800,
        output_tokens: 100,
        copies_prefix: true,
        segments: vec![Segment { id: 1, tokens: 600 }, Segment { id: 2, tokens: 200 }],
        version,
        ..Demand::default()
    }
}

fn choose(fleet: &Fleet, index: &Index, ms: u64, version: Option<Version>, tried: &[Key]) -> Option<Choice> {
    fixtures::choose(fleet, index, at(ms), &demand(version), tried)
}

/// A stream goes on at runners of the version that began it, however many others there are, and at none if
/// these have all been tried.
#[test]
fn streams_go_on_at_their_version_only() {
    let runners = [
        ("a", "v1"),
        ("b", "v2"),
        ("c", "v2"),
        ("d", "v1.1"),
        ("e", "v2"),
        ("f", "v1"),
    ];
    let fleet = fleet(&runners);
    let mut tried = Vec::new();
    while let Some(choice) = choose(&fleet, &Index::default(), 1, Some(version("v1")), &tried) {
        tried.push(choice.key);
    }
    tried.sort_unstable();
    assert_eq!(tried, [key(&fleet, "a"), key(&fleet, "f")]);
    assert!(choose(&fleet, &Index::default(), 1, Some(version("v3")), &[]).is_none());
    assert!(choose(&fleet, &Index::default(), 1, None, &tried).is_some());
}

/// A runner that has crashed may come back with another version while its former entry is listed. It gets no
/// stream of the former version until the list must show the restart.
#[test]
fn a_runner_that_broke_off_is_doubted_until_the_list_shows_its_state() {
    let mut fleet = fleet(&[("a", "v1")]);
    let a = key(&fleet, "a");
    fleet.hear(at(10), a);
    fleet.record_attempt(at(20), a, AttemptResult::Broken);
    fleet.hear(at(1_000), a);
    assert_eq!(known(&fleet, "a"), None);
    assert!(choose(&fleet, &Index::default(), 1_000, Some(version("v1")), &[]).is_none());
    assert!(
        choose(&fleet, &Index::default(), 1_000, None, &[]).is_some(),
        "new streams may begin there"
    );
    update(&mut fleet, 3_400, &[("a", "v1")]);
    assert_eq!(known(&fleet, "a"), None, "the list may not show the restart yet");
    update(&mut fleet, 3_600, &[("a", "v1")]);
    assert_eq!(known(&fleet, "a"), Some(version("v1")));
    fleet.record_attempt(at(4_000), a, AttemptResult::Unreachable);
    update(&mut fleet, 13_900, &[("a", "v1")]);
    assert_eq!(known(&fleet, "a"), None, "it has not been heard");
    update(&mut fleet, 14_100, &[("a", "v1")]);
    assert_eq!(known(&fleet, "a"), Some(version("v1")));
}

/// When connections are reset, the runners are still the same. Their streams must go on at once.
#[test]
fn a_reset_connection_does_not_cost_the_streams() {
    let mut fleet = fleet(&[("a", "v1"), ("b", "v1")]);
    for id in ["a", "b"] {
        let key = key(&fleet, id);
        fleet.hear(at(100), key);
        fleet.record_attempt(at(150), key, AttemptResult::Broken);
    }
    let choice = choose(&fleet, &Index::default(), 160, Some(version("v1")), &[]);
    let chosen = choice.expect("a runner is available").key;
    fleet.hear(at(170), chosen);
    let known = fleet.get(chosen).expect("it is known").known_version();
    assert_eq!(known, Some(version("v1")));
}

/// Runners that only pause are still the same, and streams must go on there if all of them pause. While several
/// versions serve, one that has paused for longer than a restart takes is doubted.
#[test]
fn a_silent_runner_is_doubted_only_beside_other_versions() {
    for (second, expected) in [("v1", Some(version("v1"))), ("v2", None)] {
        let mut fleet = fleet(&[("a", "v1"), ("b", second)]);
        let a = key(&fleet, "a");
        fleet.hear(at(10), a);
        fleet.record_attempt(at(2_000), a, AttemptResult::Silent);
        fleet.hear(at(2_010), a);
        assert_eq!(known(&fleet, "a"), expected, "beside {second}");
    }
}

/// A runner that refuses connections is not running: its next process may have another version, however soon
/// it is heard.
#[test]
fn a_refused_connection_is_no_reset() {
    let mut fleet = fleet(&[("a", "v1")]);
    let a = key(&fleet, "a");
    fleet.hear(at(100), a);
    fleet.record_attempt(at(150), a, AttemptResult::Unreachable);
    fleet.hear(at(200), a);
    assert_eq!(known(&fleet, "a"), None);
}

/// A new entry of the same id tells the version of the new process.
#[test]
fn a_restart_with_another_version_is_believed() {
    let mut fleet = fleet(&[("a", "v1")]);
    let a = key(&fleet, "a");
    fleet.record_attempt(at(20), a, AttemptResult::Broken);
    let restarted = Listed {
        started_ms: 2,
        ..listed("a", "v2")
    };
    fleet.update(at(400), vec![restarted]);
    assert_eq!(known(&fleet, "a"), Some(version("v2")));
    assert!(choose(&fleet, &Index::default(), 500, Some(version("v1")), &[]).is_none());
}

/// A version that no other one can have preceded needs no memory; one that served a while ago, one that may
/// have come unseen, or one that an entry had before does.
#[test]
fn the_only_version_is_known_without_memory() {
    let mut fleet = fleet(&[("a", "v1"), ("b", "v1")]);
    let only = |fleet: &Fleet, since, until| fleet.only_version_between(at(since), at(until), "engines");
    for ms in (1_000..=20_000).step_by(1_000) {
        update(&mut fleet, ms, &[("a", "v1"), ("b", "v1")]);
    }
    assert_eq!(only(&fleet, 5_000, 19_500), Some(version("v1")));
    assert_eq!(
        only(&fleet, 5_000, 20_500),
        None,
        "the list is older than the request"
    );
    update(&mut fleet, 21_000, &[("a", "v1"), ("b", "v1"), ("c", "v2")]);
    assert_eq!(only(&fleet, 5_000, 20_500), None);
    update(&mut fleet, 22_000, &[("a", "v1"), ("b", "v1")]);
    assert_eq!(only(&fleet, 5_000, 21_500), None, "another one has served since");
    for ms in (23_000..=60_000).step_by(1_000) {
        update(&mut fleet, ms, &[("a", "v1"), ("b", "v1")]);
    }
    assert_eq!(only(&fleet, 30_000, 59_500), Some(version("v1")));
    update(&mut fleet, 63_000, &[("a", "v1"), ("b", "v1")]);
    assert_eq!(
        only(&fleet, 30_000, 62_500),
        None,
        "the list was not read for long"
    );
}

/// An entry whose version changes has served two versions.
#[test]
fn a_changed_entry_is_not_the_only_version() {
    let mut fleet = fleet(&[("a", "v1")]);
    for ms in (1_000..=20_000).step_by(1_000) {
        update(&mut fleet, ms, &[("a", if ms < 10_000 { "v1" } else { "v2" })]);
    }
    let only = |since| fleet.only_version_between(at(since), at(19_500), "engines");
    assert_eq!(only(5_000), None);
    assert_eq!(only(11_000), Some(version("v2")));
}

/// A caller is told to start anew only once no runner of the version is left, or about to be back.
#[test]
fn a_version_is_left_while_a_runner_may_come_back() {
    let mut fleet = fleet(&[("a", "v1"), ("b", "v2")]);
    assert!(fleet.is_version_left(at(1), version("v1")));
    update(&mut fleet, 1_000, &[("b", "v2")]);
    assert!(fleet.is_version_left(at(1_500), version("v1")));
    assert!(!fleet.is_version_left(at(6_500), version("v1")));
    let leaving = Listed {
        stage: Stage::Draining,
        ..listed("b", "v2")
    };
    fleet.update(at(7_000), vec![leaving]);
    assert!(!fleet.is_version_left(at(7_000), version("v2")));
}

/// A cached prefix is copied between runners of one version only.
#[test]
fn caches_are_copied_within_a_version() {
    let fleet = fleet(&[("a", "v1"), ("b", "v2"), ("c", "v2")]);
    let mut index = Index::default();
    index.record(at(0), 1, key(&fleet, "a"));
    let source = |index: &Index, id: &str| {
        let others: Vec<Key> = ["a", "b", "c"]
            .iter()
            .filter(|other| **other != id)
            .map(|other| key(&fleet, other))
            .collect();
        let choice = choose(&fleet, index, 10_000, None, &others);
        choice.expect("a runner is available").source
    };
    assert_eq!(source(&index, "b"), None);
    index.record(at(0), 1, key(&fleet, "c"));
    assert_eq!(source(&index, "b"), Some(key(&fleet, "c")));
}

/// At the end of a release few runners of the former version are left. New streams leave room there to those
/// that have begun and can go nowhere else.
#[test]
fn new_streams_leave_room_at_a_scarce_version() {
    let mut fleet = fleet(&[("a", "v1"), ("b", "v2"), ("c", "v2")]);
    let slots = fleet.get(key(&fleet, "a")).expect("it is listed").listed.slots;
    let mut begun = Vec::new();
    for number in 0..slots * 3 - 3 {
        let choice = choose(&fleet, &Index::default(), 1, None, &[]).expect("a runner is available");
        fleet.start_request(at(1), choice.key, 0, 0);
        begun.push((number, choice.key));
    }
    let at_scarce = begun
        .iter()
        .filter(|(_, chosen)| *chosen == key(&fleet, "a"))
        .count();
    assert!(at_scarce < slots as usize, "{at_scarce} of {slots} slots");
    let going_on = choose(&fleet, &Index::default(), 1, Some(version("v1")), &[]);
    assert_eq!(going_on.map(|choice| choice.key), Some(key(&fleet, "a")));
}

/// A runner whose processes start, crash and start again under one id.
struct Process {
    version: usize,
    is_up: bool,
    changes_at: u64,
    /// Entry, and when it is replaced by that of the current process.
    entry: (usize, u64),
    next_entry: Option<(u64, usize, u64)>,
    born: u64,
}

/// Time between two steps of the schedule, and between two lists.
const STEP_MS: u64 = 50;
const LIST_MS: u64 = 600;

fn entry(number: usize, entry: (usize, u64)) -> Listed {
    Listed {
        started_ms: entry.1,
        version: entry.1,
        ..listed(&format!("r{number}"), ["v1", "v2", "v3"][entry.0])
    }
}

quickcheck! {
    /// Runners crash and start again under their ids with other versions, and the list shows it up to 2.3 s
    /// later. A host that is in touch with them never takes one for a version that it does not run.
    fn no_runner_is_taken_for_another_version(seed: u64) -> bool {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::new("zone-a");
        let mut processes: Vec<Process> = (0..6)
            .map(|number| Process {
                version: number % 2,
                is_up: true,
                changes_at: random.random_range(1_000..20_000),
                entry: (number % 2, 1),
                next_entry: None,
                born: 1,
            })
            .collect();
        for ms in (0..40_000).step_by(STEP_MS as usize) {
            if ms % LIST_MS == 0 {
                let entries = processes.iter().enumerate().map(|(number, process)| entry(number, process.entry));
                fleet.update(at(ms), entries.collect());
            }
            for (number, process) in processes.iter_mut().enumerate() {
                let key = key(&fleet, &format!("r{number}"));
                if let Some((due, version, born)) = process.next_entry
                    && ms >= due
                {
                    process.entry = (version, born);
                    process.next_entry = None;
                }
                if process.is_up && ms >= process.changes_at {
                    process.is_up = false;
                    process.changes_at = ms + random.random_range(600..3_000);
                    fleet.record_attempt(at(ms), key, AttemptResult::Broken);
                } else if !process.is_up && ms >= process.changes_at {
                    process.is_up = true;
                    process.version = random.random_range(0..3);
                    process.born += 1;
                    process.next_entry = Some((ms + random.random_range(0..2_300), process.version, process.born));
                    process.changes_at = ms + random.random_range(3_000..20_000);
                } else if process.is_up {
                    fleet.hear(at(ms), key);
                } else if random.random_bool(0.1) {
                    fleet.record_attempt(at(ms), key, AttemptResult::Unreachable);
                }
                let truth = version(["v1", "v2", "v3"][process.version]);
                let known = fleet.get(key).and_then(|runner| runner.known_version());
                if process.is_up && known.is_some_and(|known| known != truth) {
                    return false;
                }
            }
        }
        true
    }
}

/// Guards the units of the schedule above: a restart takes longer than the time within which a runner that is
/// heard again counts as the same process.
#[test]
fn a_restart_is_slower_than_a_reset() {
    let mut fleet = fleet(&[("a", "v1")]);
    let a = key(&fleet, "a");
    fleet.hear(at(0), a);
    fleet.record_attempt(at(1), a, AttemptResult::Broken);
    fleet.hear(at(0) + Duration::from_millis(600), a);
    assert_eq!(known(&fleet, "a"), None);
}
