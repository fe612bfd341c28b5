//! Tests of placement under load.

use radishstair_core::id::Incarnation;
use radishstair_core::proxy::State;
use radishstair_core::proxy::fleet::{AttemptResult, Fleet, Key, Listed, Load, Runner};
use radishstair_core::proxy::gossip::{self, Meter, Peers};
use radishstair_core::proxy::partition::{self, Partition};
use radishstair_core::proxy::placement::{Demand, Segment};
use radishstair_core::proxy::prefix::Index;
use radishstair_core::time::Moment;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures::{bounds, choose, runner};

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn listed(count: usize) -> Vec<Listed> {
    let listed = (0..count).map(|at| runner(&format!("r{at}"), "engines", &format!("zone-{}", at % 2)));
    listed.collect()
}

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new("zone-0");
    fleet.update(at(0), listed(count));
    partition::assign(at(0), fleet.runners_mut(), "engines", &Partition::default());
    fleet
}

fn host(runners: usize) -> State {
    let mut state = State::new(bounds(), "zone-0");
    state.fleet = fleet(runners);
    state
}

fn demand(prompt: u64, prefix: u64) -> Demand {
    Demand {
        service: "engines".into(),
        prompt_tokens: prompt,
        output_tokens: 100,
        copies_prefix: true,
        segments: vec![
            Segment { id: 1, tokens: 100 },
            Segment {
                id: prefix,
                tokens: prompt / 2,
            },
            Segment {
                id: 999,
                tokens: prompt / 2 - 100,
            },
        ],
        ..Demand::default()
    }
}

/// Long prompts stall short streams on the same runner. With all runners idle, each kind goes to
/// the runners reserved for it.
#[test]
fn long_and_short_prompts_go_apart() {
    let fleet = fleet(14);
    let index = Index::default();
    for prefix in 10..60 {
        let long =
            choose(&fleet, &index, at(1), &demand(12_000, prefix), &[]).expect("a runner is available");
        let short = choose(&fleet, &index, at(1), &demand(800, prefix), &[]).expect("a runner is available");
        assert!(fleet.get(long.key).expect("it is known").for_long_prompts);
        assert!(!fleet.get(short.key).expect("it is known").for_long_prompts);
    }
}

/// Guards against long prompts waiting beside idle runners when a burst fills those reserved for
/// them. They cross over once waiting costs more than the stalls they cause.
#[test]
fn a_burst_of_long_prompts_crosses_over() {
    let mut fleet = fleet(6);
    let index = Index::default();
    let mut crossed = 0;
    for prefix in 0..200 {
        let choice =
            choose(&fleet, &index, at(1), &demand(12_000, prefix), &[]).expect("a runner is available");
        crossed += u32::from(!fleet.get(choice.key).expect("it is known").for_long_prompts);
        fleet.start_request(at(1), choice.key, choice.prefill_us, 12_100);
    }
    assert!((20..100).contains(&crossed), "{crossed} of 200 crossed over");
}

/// Guards against computing a prefix again and again: requests with the same prefix go to the
/// same runner on all hosts, without communication.
#[test]
fn hosts_agree_on_the_home_of_a_subject() {
    let (one, other) = (fleet(14), fleet(14));
    let index = Index::default();
    for prefix in 0..100 {
        let demand = demand(12_000, prefix);
        let home = |fleet: &Fleet| {
            let choice = choose(fleet, &index, at(1), &demand, &[]).expect("a runner is available");
            fleet.get(choice.key).expect("it is known").listed.id.clone()
        };
        assert_eq!(home(&one), home(&other));
    }
}

/// Guards against moving prefixes when a runner joins that hashing would select for some of them:
/// thousands of tokens would be computed again for nothing. A prefix stays on the runner that has
/// it cached, on all hosts that got the announcement, until that runner leaves.
#[test]
fn subjects_stay_where_they_were_read_when_a_runner_joins() {
    let (mut one, mut other) = (host(14), host(14));
    let demands: Vec<_> = (100..200).map(|prefix| demand(12_000, prefix)).collect();
    let place = |state: &mut State, demand, ms| {
        let choice = state.place(at(ms), demand, &[]).expect("a runner is available");
        state
            .fleet
            .finish_request(choice.key, choice.prefill_us, demand.kv_tokens());
        state
            .fleet
            .get(choice.key)
            .expect("it is known")
            .listed
            .id
            .clone()
    };
    let first: Vec<_> = demands.iter().map(|demand| place(&mut one, demand, 1)).collect();
    let packet = one.packet(at(2), Incarnation(1), 1);
    let mut announced: Vec<u64> = packet.prefixes.iter().map(|cached| cached.prefix).collect();
    announced.sort_unstable();
    announced.dedup();
    // The first segment, which all of them share, is announced as well.
    let expected = std::iter::once(1).chain(100..200);
    assert_eq!(
        announced,
        expected.collect::<Vec<u64>>(),
        "each prefix is announced"
    );
    other.receive(at(3), Incarnation(2), packet);
    for state in [&mut one, &mut other] {
        state.fleet.update(at(4), listed(20));
        let then: Vec<_> = demands.iter().map(|demand| place(state, demand, 5)).collect();
        assert_eq!(first, then);
    }
    let mut uninformed = host(20);
    let moved = demands
        .iter()
        .zip(&first)
        .filter(|(demand, first)| place(&mut uninformed, demand, 5) != **first);
    assert!(moved.count() > 10, "a host without the announcement moves some");
    let mut left = listed(20);
    left.retain(|runner| runner.id != first[0]);
    one.fleet.update(at(2_000), left.clone());
    one.fleet.update(at(4_000), left);
    assert_ne!(
        place(&mut one, &demands[0], 4_100),
        first[0],
        "its runner has left"
    );
}

/// One prefix gets most of the traffic, and its runner falls behind. Requests leave it when
/// waiting there costs more than computing the prefix again, and later ones find the second
/// runner.
#[test]
fn a_hot_subject_spreads_over_a_few_runners() {
    let mut fleet = fleet(14);
    let mut index = Index::default();
    let mut used = Vec::new();
    for _ in 0..40 {
        let demand = demand(12_000, 5);
        let choice = choose(&fleet, &index, at(1), &demand, &[]).expect("a runner is available");
        fleet.start_request(at(1), choice.key, choice.prefill_us, demand.kv_tokens());
        index.record(at(1), 5, choice.key);
        used.push(choice.key);
    }
    used.sort_unstable();
    used.dedup();
    assert!((2..=8).contains(&used.len()), "{} runners used", used.len());
}

/// Guards against computing a popular prefix again on each runner that it spreads to. Other
/// runners copy it from one that has it cached, so each request is placed by load and none
/// computes it twice.
#[test]
fn what_one_runner_has_read_others_copy() {
    let mut state = host(14);
    let first = state
        .place(at(1), &demand(12_000, 5), &[])
        .expect("a runner is available");
    assert_eq!(first.source, None, "no runner has it cached");
    let mut used = vec![first.key];
    for _ in 0..12 {
        let choice = state
            .place(at(2_000), &demand(12_000, 5), &[])
            .expect("a runner is available");
        match used.contains(&choice.key) {
            true => assert_ne!(choice.source, Some(choice.key)),
            false => assert!(choice.source.is_some_and(|source| used.contains(&source))),
        }
        assert!(
            choice.prefill_us < first.prefill_us,
            "the prefix is not computed again"
        );
        used.push(choice.key);
    }
    used.sort_unstable();
    used.dedup();
    assert!(used.len() >= 6, "{} runners used", used.len());
}

/// Without copies between engines no source is set, and a prefix stays where it is cached, as
/// computing it again is expensive.
#[test]
fn without_copies_a_subject_stays() {
    let mut state = host(14);
    let alone = Demand {
        copies_prefix: false,
        ..demand(12_000, 5)
    };
    let first = state.place(at(1), &alone, &[]).expect("a runner is available");
    for ms in [2_000, 2_100, 2_200] {
        let choice = state.place(at(ms), &alone, &[]).expect("a runner is available");
        assert_eq!((choice.key, choice.source), (first.key, None));
    }
}

/// A zone is cut off without an error. Each copy from it costs a fraction of a second, and each
/// request sent there a connection timeout. Its hosts go silent first; from then on it is no
/// source of copies, and requests stay in their zone.
#[test]
fn a_zone_that_falls_silent_is_no_source_and_no_way() {
    let mut state = host(4);
    let receive = |state: &mut State, number, ms| {
        let far = Fleet::new("zone-1");
        let packet = gossip::packet(Incarnation(7), number, &far, Vec::new());
        state.receive(at(ms), Incarnation(1), packet);
    };
    receive(&mut state, 1, 0);
    // Only runners in the other zone have it cached.
    let same_zone: Vec<Key> = ["r0", "r2"]
        .map(|id| state.fleet.find(id).expect("it is known"))
        .to_vec();
    let first = state
        .place(at(1), &demand(12_000, 5), &same_zone)
        .expect("a runner is available");
    assert_eq!(
        state.fleet.get(first.key).expect("it is known").listed.zone,
        "zone-1"
    );
    let far: Vec<Key> = ["r1", "r3"]
        .map(|id| state.fleet.find(id).expect("it is known"))
        .to_vec();
    receive(&mut state, 2, 2_000);
    let heard = state
        .place(at(2_100), &demand(12_000, 5), &far)
        .expect("a runner is available");
    assert_eq!(heard.source, Some(first.key), "while its hosts send packets");
    let mut unheard = host(4);
    receive(&mut unheard, 1, 0);
    unheard
        .place(at(1), &demand(12_000, 5), &same_zone)
        .expect("a runner is available");
    let silent = unheard
        .place(at(2_100), &demand(12_000, 5), &far)
        .expect("a runner is available");
    assert_eq!(silent.source, None, "once its hosts are silent");
    let plain = Demand {
        prompt_tokens: 0,
        segments: Vec::new(),
        ..demand(1_000, 5)
    };
    for key in same_zone {
        // Both runners of the zone are more than half busy.
        (0..20).for_each(|_| unheard.fleet.start_request(at(1), key, 0, 0));
    }
    let runner = |state: &State, key| state.fleet.get(key).expect("it is known").listed.zone.clone();
    let choice = unheard
        .place(at(2_200), &plain, &[])
        .expect("a runner is available");
    assert_eq!(runner(&unheard, choice.key), "zone-0");
    receive(&mut unheard, 3, 2_300);
    let choice = unheard
        .place(at(2_301), &plain, &[])
        .expect("a runner is available");
    assert_eq!(
        runner(&unheard, choice.key),
        "zone-1",
        "its hosts are heard again"
    );
}

/// A prefix that a runner is still computing cannot be copied yet. A second request with it goes
/// to the same runner instead of computing it elsewhere.
#[test]
fn what_is_just_being_read_is_not_copied() {
    let mut state = host(14);
    let first = state
        .place(at(1), &demand(12_000, 5), &[])
        .expect("a runner is available");
    let second = state
        .place(at(20), &demand(12_000, 5), &[])
        .expect("a runner is available");
    assert_eq!((second.key, second.source), (first.key, None));
}

/// A runner that restarted under its id has an empty cache. It must not be a source of copies, as
/// the others would compute everything again.
#[test]
fn a_runner_that_started_again_has_read_nothing() {
    let mut state = host(2);
    let first = state
        .place(at(1), &demand(12_000, 5), &[])
        .expect("a runner is available");
    let mut restarted = listed(2);
    restarted.iter_mut().for_each(|runner| runner.started_ms += 1_000);
    state.fleet.update(at(1_000), restarted);
    let second = state
        .place(at(2_000), &demand(12_000, 5), &[first.key])
        .expect("a runner is available");
    assert_eq!(second.source, None);
}

/// A runner fails four of ten requests at once while it reports that it is healthy. As it always
/// has the lowest load, it used to get a third of all requests and more. It must get less than a
/// sound runner until it has answered well for a while.
#[test]
fn a_runner_that_fails_its_requests_gets_few() {
    for prompt in [0, 12_000] {
        let (detecting, blind) = (
            requests_on_failing_runner(prompt, true),
            requests_on_failing_runner(prompt, false),
        );
        assert!(
            (1..50).contains(&detecting),
            "{detecting} of 300 on one of six runners, prompt {prompt}"
        );
        assert!(
            blind > detecting * 2,
            "{blind} without detection, prompt {prompt}"
        );
    }
}

/// Number of requests, of 300, on one of six runners that fails four of ten at once.
fn requests_on_failing_runner(prompt: u64, detects: bool) -> u32 {
    let mut fleet = fleet(6);
    let index = Index::default();
    let mut draws = ChaCha8Rng::seed_from_u64(4);
    let mut running = std::collections::VecDeque::new();
    // In the host's zone and reserved for long prompts, so that both kinds may go there.
    let fits = |runner: &Runner| runner.for_long_prompts && runner.listed.zone == "zone-0";
    let failing_key = fleet
        .runners()
        .find(|(_, runner)| fits(runner))
        .expect("a runner is available")
        .0;
    let mut failing = 0;
    for draw in 0..300 {
        let demand = match prompt {
            0 => Demand {
                service: "engines".into(),
                random: draw,
                ..Demand::default()
            },
            // Without a shared prefix, hashing selects no runner.
            _ => Demand {
                segments: Vec::new(),
                ..demand(prompt, draw)
            },
        };
        let choice = choose(&fleet, &index, at(1), &demand, &[]).expect("a runner is available");
        fleet.start_request(at(1), choice.key, choice.prefill_us, demand.kv_tokens());
        let on_failing = choice.key == failing_key;
        failing += u32::from(on_failing);
        if on_failing && draws.random_bool(0.4) {
            fleet.finish_request(choice.key, choice.prefill_us, demand.kv_tokens());
            fleet.record_attempt(
                at(1),
                choice.key,
                if detects {
                    AttemptResult::Failed
                } else {
                    AttemptResult::Succeeded
                },
            );
        } else {
            running.push_back((choice, demand));
        }
        if running.len() > 12 {
            let (choice, demand) = running.pop_front().expect("there are some");
            fleet.finish_request(choice.key, choice.prefill_us, demand.kv_tokens());
            fleet.record_attempt(at(1), choice.key, AttemptResult::Succeeded);
        }
    }
    failing
}

/// Guards against all hosts choosing the same runner because each sees only its own load. A
/// peer's load counts like this host's, replaces its previous report, and is dropped when the
/// peer goes silent.
#[test]
fn the_peers_load_counts() {
    let mut busy = fleet(4);
    let target = busy.find("r0").expect("it is known");
    busy.start_request(at(1), target, 50_000, 60_000);
    let mut mine = fleet(4);
    let mut peers = Peers::default();
    let (me, peer) = (Incarnation(1), Incarnation(2));
    let report = |number, fleet: &Fleet| gossip::packet(peer, number, fleet, Vec::new());
    peers.receive(at(0), me, report(2, &busy), &mut mine, 2);
    let load = |fleet: &Fleet| {
        let runner = fleet.get(target).expect("it is known");
        (runner.running(), runner.backlog(), runner.kv_tokens())
    };
    assert_eq!(load(&mine), (1, Duration::from_millis(50), 60_000));
    peers.receive(at(10), me, report(1, &fleet(4)), &mut mine, 2);
    assert_eq!(
        load(&mine),
        (1, Duration::from_millis(50), 60_000),
        "an older packet is ignored"
    );
    let third = gossip::packet(Incarnation(3), 1, &fleet(4), Vec::new());
    peers.receive(at(60_000), me, third, &mut mine, 2);
    assert_eq!(load(&mine), (0, Duration::ZERO, 0), "a silent peer is dropped");
    assert_eq!(Load::default().running, 0);
}

/// The rate covers the last seconds only, so orders for runners do not follow the traffic of
/// hours.
#[test]
fn the_flow_is_of_the_last_seconds() {
    let mut meter = Meter::default();
    for ms in (0..4_000).step_by(100) {
        meter.add(at(ms), "engines", 1_000, false);
    }
    let rate = |ms| meter.rates(at(ms))[0].total_us;
    assert!((9_000..=11_000).contains(&rate(3_990)), "{}", rate(3_990));
    assert_eq!(rate(20_000), 0);
}

/// Guards against runners that are ordered because this host does not reach those that there are: a request counts as
/// demand once, however many runners are tried before it is sent.
#[test]
fn runners_that_are_not_reached_are_not_ordered_again() {
    let mut state = host(4);
    let mut tried = Vec::new();
    let mut request = demand(2_000, 7);
    let mut rates = Vec::new();
    for _ in 0..4 {
        let choice = state.place(at(10), &request, &tried).expect("a runner is left");
        tried.push(choice.key);
        request.is_counted = true;
        rates.push(state.prefill_rate(at(20), "engines").total_us);
    }
    assert!(rates[0] > 0);
    assert_eq!(rates, [rates[0]; 4]);
}
