//! Tests of the choice of peers that connect to runners for a host which has lost its path.

use std::net::SocketAddr;
use std::time::Duration;

use quickcheck::quickcheck;
use radishstair_core::id::Incarnation;
use radishstair_core::proxy::fleet::{AttemptResult, Key, Listed, Liveness, Stage, Way};
use radishstair_core::proxy::placement::Demand;
use radishstair_core::proxy::reach::{Failure, Phase, Reach, Report, Vouch};
use radishstair_core::proxy::readers::Host;
use radishstair_core::proxy::relay::{Inputs, Relays, Secret, Tried, is_secret};
use radishstair_core::proxy::route::{ColdStart, Limits, Table};
use radishstair_core::proxy::{Placement, State};
use radishstair_core::time::Moment;

use super::fixtures::{runner, state, table};

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn peer(number: u16, zone: u64) -> Host {
    Host {
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_340)),
        zone,
        link_mbps: 1_000,
    }
}

/// Hash of the service in reports, taken from the report of a host that reaches it.
fn engines_hash() -> u32 {
    let mut reach = Reach::default();
    reach.record_heard(at(0), "engines");
    reach.report(at(0)).reached[0]
}

fn report(reached: bool, lost: bool, relayed: u32) -> Report {
    let hash = engines_hash();
    Report {
        reached: if reached { vec![hash] } else { Vec::new() },
        lost: if lost { vec![hash] } else { Vec::new() },
        relayed,
        is_stopping: false,
    }
}

fn choose(
    relays: &Relays,
    reach: &Reach,
    hosts: &[Host],
    tried: &[SocketAddr],
    random: u64,
) -> Option<SocketAddr> {
    let inputs = Inputs {
        service: "engines",
        own: hosts[0],
        hosts,
        reach,
    };
    relays.choose(at(100), inputs, tried, random)
}

/// A host with warm engines `e0` to `e3`, of which the last one is in another zone.
fn host() -> State {
    let mut state = state(at(0), Vec::new());
    state.fleet.update(at(0), engines());
    state
}

fn engines() -> Vec<Listed> {
    let zone = |number| if number == 3 { "zone-b" } else { "zone-a" };
    let engines = (0..4).map(|number| runner(&format!("e{number}"), "engines", zone(number)));
    engines.collect()
}

fn key(state: &State, id: &str) -> Key {
    state.fleet.find(id).expect("a listed runner")
}

fn fail(state: &mut State, ms: u64, id: &str) {
    let key = key(state, id);
    state.record_unreachable(at(ms), key, AttemptResult::Unreachable, Failure::Timeout);
}

fn demand(way: Way, random: u64) -> Demand {
    Demand {
        service: "engines".into(),
        prompt_tokens: 400,
        output_tokens: 20,
        way,
        random,
        ..Demand::default()
    }
}

/// Guards against a request that is sent from one host that is cut off to another.
#[test]
fn peers_that_have_lost_the_service_are_not_asked() {
    let hosts = [peer(0, 1), peer(1, 1), peer(2, 1), peer(3, 1)];
    let mut reach = Reach::default();
    reach.record_report(at(0), hosts[1].address, report(false, true, 0));
    for random in 0..50 {
        let chosen = choose(&Relays::default(), &reach, &hosts, &[], random);
        assert_ne!(chosen, Some(hosts[1].address));
        assert_ne!(chosen, Some(hosts[0].address), "itself");
    }
    reach.record_report(at(0), hosts[2].address, report(false, true, 0));
    reach.record_report(at(0), hosts[3].address, report(false, true, 0));
    assert_eq!(choose(&Relays::default(), &reach, &hosts, &[], 7), None);
}

/// Guards against requests that are sent through a peer which stops, and are cut as it ends.
#[test]
fn a_peer_that_stops_is_not_asked() {
    let hosts = [peer(0, 1), peer(1, 1), peer(2, 1)];
    let mut reach = Reach::default();
    let stopping = Report {
        is_stopping: true,
        ..report(true, false, 0)
    };
    reach.record_report(at(0), hosts[1].address, stopping);
    for random in 0..50 {
        let chosen = choose(&Relays::default(), &reach, &hosts, &[], random);
        assert_eq!(chosen, Some(hosts[2].address));
    }
    // Idle connections through it are not used either.
    let (vouch, _) = reach.vouch(at(100), hosts[1].address, "engines");
    assert_eq!(vouch, Vouch::Lost);
}

/// Guards against a choice by who is alive: peers that reach the service go first, whatever their zone;
/// those that report nothing are better than none.
#[test]
fn peers_that_reach_the_service_go_first() {
    let hosts = [peer(0, 1), peer(1, 1), peer(2, 2), peer(3, 1)];
    let mut reach = Reach::default();
    assert!(
        choose(&Relays::default(), &reach, &hosts, &[], 1).is_some(),
        "nothing is known"
    );
    reach.record_report(at(0), hosts[2].address, report(true, false, 90));
    for random in 0..50 {
        assert_eq!(
            choose(&Relays::default(), &reach, &hosts, &[], random),
            Some(hosts[2].address)
        );
        let next = choose(&Relays::default(), &reach, &hosts, &[hosts[2].address], random);
        assert!(next.is_some_and(|next| next != hosts[2].address));
    }
}

/// Guards against bytes between zones while there is room in the zone, and against one host of the zone
/// that carries all others.
#[test]
fn the_own_zone_goes_first_until_its_hosts_carry_much_more() {
    let hosts = [peer(0, 1), peer(1, 1), peer(2, 2)];
    let mut reach = Reach::default();
    for (relayed, expected) in [(0, 1), (15, 1), (40, 2)] {
        reach.record_report(at(0), hosts[1].address, report(true, false, relayed));
        reach.record_report(at(0), hosts[2].address, report(true, false, 0));
        let chosen = choose(&Relays::default(), &reach, &hosts, &[], 5);
        assert_eq!(chosen, Some(hosts[expected].address), "{relayed}");
    }
}

/// Guards against a peer that could not help and is asked again by each request.
#[test]
fn a_peer_that_could_not_help_is_not_asked_for_a_while() {
    let hosts = [peer(0, 1), peer(1, 1)];
    let mut relays = Relays::default();
    relays.pause(at(0), hosts[1].address);
    assert_eq!(choose(&relays, &Reach::default(), &hosts, &[], 5), None);
    relays.pause(at(0).saturating_sub(Duration::from_secs(5)), hosts[1].address);
    assert_eq!(
        choose(&relays, &Reach::default(), &hosts, &[], 5),
        Some(hosts[1].address)
    );
}

/// Guards against sound hosts that break under the connections of the others: three quarters of 80 hosts open
/// connections at the same time, by reports that are a round old.
#[test]
fn relayed_connections_spread_over_the_sound_hosts() {
    for seed in 0..5 {
        let hosts: Vec<Host> = (0..80)
            .map(|number| peer(number, u64::from(1 + number % 4)))
            .collect();
        let (cut_off, sound) = hosts.split_at(60);
        let mut carried = vec![0_u32; sound.len()];
        for round in 0..40 {
            let mut reach = Reach::default();
            for (host, carried) in sound.iter().zip(&carried) {
                reach.record_report(at(0), host.address, report(true, false, *carried));
            }
            for host in cut_off {
                reach.record_report(at(0), host.address, report(false, true, 0));
            }
            for (number, own) in cut_off.iter().enumerate() {
                let inputs = Inputs {
                    service: "engines",
                    own: *own,
                    hosts: &hosts,
                    reach: &reach,
                };
                let random = seed * 1_000_003 + round * 101 + number as u64;
                let chosen = Relays::default().choose(at(100), inputs, &[], random);
                let position = sound.iter().position(|host| Some(host.address) == chosen);
                carried[position.expect("a sound host")] += 1;
            }
        }
        let mean = carried.iter().sum::<u32>() / carried.len() as u32;
        let max = carried.iter().max().copied().unwrap_or_default();
        assert!(
            max <= mean + mean / 2,
            "seed {seed}: {max} at one host, {mean} on average"
        );
    }
}

/// Guards against a refusal although peers reach the runners: when none is left on the own path, those
/// that were not reached are tried through a peer.
#[test]
fn runners_out_of_reach_are_tried_through_a_peer() {
    let mut state = host();
    let all = ["e0", "e1", "e2", "e3"].map(|id| key(&state, id));
    for id in ["e0", "e1", "e2", "e3"] {
        fail(&mut state, 10, id);
    }
    let tried = Tried {
        all: &all,
        unreached: &all[..2],
    };
    let mut direct = demand(Way::Direct, 1);
    let placement = state.place_on_way(at(20), &mut direct, tried, None, |_| false);
    assert_eq!(placement, Placement::NoRunner, "no peer");
    let placement = state.place_on_way(at(20), &mut direct, tried, None, |_| true);
    let Placement::Placed(choice) = placement else {
        panic!("{placement:?}");
    };
    assert_eq!(direct.way, Way::Relayed);
    assert!(all[..2].contains(&choice.key), "the others were sent the request");
}

/// Guards against a way through a peer that is used by hosts whose own path works.
#[test]
fn a_host_that_reaches_the_runners_uses_its_own_path() {
    let mut state = host();
    let hosts = [peer(0, 1), peer(1, 1)];
    let way = |state: &State, ms, random| state.way(at(ms), "engines", hosts[0], &hosts, random);
    assert_eq!(way(&state, 0, 0), Way::Direct);
    fail(&mut state, 10, "e0");
    assert_eq!(way(&state, 20, 0), Way::Direct, "one runner may be down");
    fail(&mut state, 220, "e1");
    assert_eq!(way(&state, 230, 0), Way::Relayed);
    state.relays.pause(at(240), hosts[1].address);
    assert_eq!(way(&state, 250, 0), Way::Direct, "no peer is left");
    assert_eq!(way(&state, 1_300, 0), Way::Relayed);
    let e2 = key(&state, "e2");
    state.record_connection(at(2_000), e2);
    let direct = |ms| {
        let is_direct = |draw: &u64| way(&state, ms, u64::MAX / 100 * draw) == Way::Direct;
        (0..100).filter(is_direct).count()
    };
    assert!(
        (30..=37).contains(&direct(2_500)),
        "a third after a third of the return"
    );
    assert_eq!(direct(3_500), 100);
}

/// Guards against sound runners that are avoided by all hosts because a few hosts do not reach them:
/// only a host that hears other runners of the service reports one.
#[test]
fn a_host_that_hears_no_runner_reports_none() {
    let mut state = host();
    state.configure(Moment::default(), table_with_cold_starts());
    fail(&mut state, 10, "e0");
    assert_eq!(
        state.update(at(700), Incarnation(1), 1, 1),
        None,
        "its own path may be at fault"
    );
    fail(&mut state, 220, "e1");
    assert_eq!(state.update(at(700), Incarnation(1), 1, 2), None, "it is");
    let mut other = host();
    other.configure(Moment::default(), table_with_cold_starts());
    fail(&mut other, 10, "e0");
    let e1 = key(&other, "e1");
    other.record_heard(at(30), e1);
    let update = other.update(at(700), Incarnation(2), 1, 1).expect("a report");
    assert_eq!(update.unreachable.len(), 1);
}

/// A newer document, in which the runners start cold.
fn table_with_cold_starts() -> Table {
    let mut services = table(2, Vec::new()).services().to_vec();
    for service in &mut services {
        service.cold_start = Some(ColdStart {
            duration: Duration::from_secs(4),
            max_rate: 5.0,
        });
    }
    Table::new(2, 2, Vec::new(), services, None, Limits::default())
}

/// Guards against requests that reach a cold runner, or one that leaves, through a peer: the peer
/// connects only to runners that it would use itself.
#[test]
fn a_peer_connects_to_runners_that_it_would_use() {
    let mut state = host();
    assert!(state.relay_target(at(10), "e0").is_some());
    assert_eq!(state.relay_target(at(10), "10.0.0.1:7340"), None, "no runner");
    fail(&mut state, 20, "e0");
    assert_eq!(
        state.relay_target(at(30), "e0"),
        None,
        "it does not reach that one itself"
    );
    let mut listed = engines();
    listed[1].cold_for = Duration::from_secs(5);
    listed[1].version = 2;
    listed[2].stage = Stage::Draining;
    state.fleet.update(at(600), listed);
    assert_eq!(state.relay_target(at(610), "e1"), None, "cold");
    assert_eq!(state.relay_target(at(610), "e2"), None, "leaving");
    assert!(state.relay_target(at(610), "e3").is_some());
}

/// Guards against runners that are taken for lost on both ways: what fails through peers backs off by itself.
#[test]
fn failures_on_one_way_do_not_count_on_the_other() {
    let mut state = host();
    let e0 = key(&state, "e0");
    let usable = |state: &State, ms| {
        let direct = state
            .fleet
            .available(at(ms), "engines", Way::Direct)
            .any(|(key, _)| key == e0);
        let relayed = state
            .fleet
            .available(at(ms), "engines", Way::Relayed)
            .any(|(key, _)| key == e0);
        (direct, relayed)
    };
    state
        .fleet
        .record_relayed_attempt(at(10), e0, at(10), AttemptResult::Unreachable);
    assert_eq!(usable(&state, 20), (true, false));
    fail(&mut state, 30, "e0");
    assert_eq!(usable(&state, 40), (false, false));
    assert_eq!(usable(&state, 420), (false, true));
    state
        .fleet
        .record_relayed_attempt(at(430), e0, at(430), AttemptResult::Succeeded);
    assert_eq!(
        usable(&state, 429),
        (false, true),
        "an answer through a peer says nothing of the own path"
    );
}

/// Guards against a second of silence that is noticed only by each request for itself: if several
/// runners owe an answer and none of the service is heard, its path is probed.
#[test]
fn silence_of_all_runners_has_the_path_probed() {
    let mut state = host();
    let (e0, e1) = (key(&state, "e0"), key(&state, "e1"));
    state.record_connection(at(0), e0);
    state.fleet.start_request(at(10), e0, 0, 100);
    assert!(matches!(
        state.liveness(at(400), e0, Way::Direct, at(10)),
        Liveness::Recent(_)
    ));
    assert!(
        state.reach.take_probes(at(400)).is_empty(),
        "one runner may be slow"
    );
    state.fleet.start_request(at(410), e1, 0, 100);
    state.liveness(at(420), e0, Way::Direct, at(10));
    assert_eq!(state.reach.take_probes(at(420)), ["engines"]);
    fail(&mut state, 620, "e2");
    fail(&mut state, 620, "e3");
    assert!(matches!(state.reach.phase("engines"), Phase::Lost { .. }));
    assert_eq!(
        state.liveness(at(830), e0, Way::Direct, at(10)),
        Liveness::PathLost
    );
}

/// Guards against a stranger that uses what is published to pass for a host.
#[test]
fn only_the_secret_shows_that_a_host_is_one() {
    let secret = Secret::new([7; 32]);
    assert!(is_secret(&secret.to_text(), &secret.hash()));
    assert!(!is_secret(&secret.hash(), &secret.hash()));
    assert!(!is_secret(&Secret::new([8; 32]).to_text(), &secret.hash()));
    assert!(!is_secret("", "") && !is_secret(&secret.to_text(), ""));
    assert!(!format!("{secret:?}").contains('7'));
}

/// A change at a path, at the runner with this number.
#[derive(Clone, Copy, Debug)]
enum Event {
    Timeout(u8),
    Refused(u8),
    Connected(u8),
    Heard(u8),
}

impl quickcheck::Arbitrary for Event {
    fn arbitrary(g: &mut quickcheck::Gen) -> Self {
        let number = u8::arbitrary(g) % 4;
        match u8::arbitrary(g) % 4 {
            0 => Event::Timeout(number),
            1 => Event::Refused(number),
            2 => Event::Connected(number),
            _ => Event::Heard(number),
        }
    }
}

quickcheck! {
    /// Guards against a path that is lost without failures at two runners since the last connection, and
    /// against one that stays lost though a runner accepts connections.
    fn a_path_is_lost_and_found_by_what_was_seen(events: Vec<(u16, Event)>) -> bool {
        let mut state = host();
        let mut now = at(0);
        let mut failed: Vec<u8> = Vec::new();
        for (pause_ms, event) in events {
            now = now + Duration::from_millis(u64::from(pause_ms % 900));
            let before = state.reach.phase("engines");
            state.reach.advance(now);
            let runner = |number: u8| key(&state, &format!("e{number}"));
            match event {
                Event::Timeout(number) | Event::Refused(number) => {
                    let failure = match event {
                        Event::Timeout(_) => Failure::Timeout,
                        _ => Failure::Refused,
                    };
                    let key = runner(number);
                    state.record_unreachable(now, key, AttemptResult::Unreachable, failure);
                    failed.retain(|have| *have != number);
                    failed.push(number);
                }
                Event::Connected(number) => {
                    let key = runner(number);
                    state.record_connection(now, key);
                    failed.clear();
                }
                Event::Heard(number) => {
                    let key = runner(number);
                    state.record_heard(now, key);
                }
            }
            let after = state.reach.phase("engines");
            let is_lost = matches!(after, Phase::Lost { .. });
            if before == Phase::Direct && is_lost && failed.len() < 2 {
                return false;
            }
            if matches!(event, Event::Connected(_)) && is_lost {
                return false;
            }
        }
        true
    }
}

/// Guards against a faulty runner that gets each request through a peer, however often its answers end early.
#[test]
fn a_runner_whose_relayed_answers_end_early_is_paused() {
    let mut state = host();
    let key = key(&state, "e0");
    let is_available = |state: &State, ms| {
        let runner = state.fleet.get(key).expect("a listed runner");
        runner.is_available(at(ms), Way::Relayed)
    };
    let broken = |state: &mut State, ms: u64, sent: u64| {
        let result = AttemptResult::Broken;
        state.fleet.record_relayed_attempt(at(ms), key, at(sent), result);
    };
    // A peer that ends breaks off all that it relays.
    (0..8).for_each(|_| broken(&mut state, 100, 50));
    assert!(is_available(&state, 101));
    broken(&mut state, 200, 110);
    assert!(is_available(&state, 201));
    broken(&mut state, 300, 210);
    assert!(!is_available(&state, 301));
    assert!(is_available(&state, 701));
    broken(&mut state, 800, 710);
    assert!(!is_available(&state, 1_500));
    assert!(is_available(&state, 1_601));
    let result = AttemptResult::Succeeded;
    state
        .fleet
        .record_relayed_attempt(at(1_700), key, at(1_650), result);
    broken(&mut state, 1_800, 1_750);
    assert!(is_available(&state, 1_801));
}
