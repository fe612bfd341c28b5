//! Where requests go under load.

use radishstair_core::id::Incarnation;
use radishstair_core::proxy::State;
use radishstair_core::proxy::fleet::{Attempt, Fleet, Key, Listed, Load, Runner};
use radishstair_core::proxy::gossip::{self, Meter, Peers};
use radishstair_core::proxy::latency::Latency;
use radishstair_core::proxy::partition::{self, Partition};
use radishstair_core::proxy::placement::{self, Choice, Demand, Inputs, Segment};
use radishstair_core::proxy::prefix::Index;
use radishstair_core::time::Moment;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures::{bounds, runner};

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
    partition::assign(fleet.runners_mut(), "engines", &Partition::default());
    fleet
}

fn choose(fleet: &Fleet, memory: &Index, now: Moment, demand: &Demand, tried: &[Key]) -> Option<Choice> {
    let known = Inputs {
        fleet,
        prefixes: memory,
        latency: &Latency::default(),
        partition: &Partition::default(),
    };
    placement::choose(known, now, demand, tried)
}

fn host(runners: usize) -> State {
    let mut state = State::new(bounds(), "zone-0");
    state.fleet = fleet(runners);
    state
}

fn demand(prompt: u64, subject: u64) -> Demand {
    Demand {
        service: "engines".into(),
        prompt,
        output: 100,
        copies_prefix: true,
        segments: vec![
            Segment { id: 1, tokens: 100 },
            Segment {
                id: subject,
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

/// Short streams pause while long prompts are read beside them. With all
/// runners idle each kind goes to the runners kept for it.
#[test]
fn long_and_short_prompts_go_apart() {
    let fleet = fleet(14);
    let memory = Index::default();
    for subject in 10..60 {
        let long = choose(&fleet, &memory, at(1), &demand(12_000, subject), &[]).expect("one");
        let short = choose(&fleet, &memory, at(1), &demand(800, subject), &[]).expect("one");
        assert!(fleet.get(long.key).expect("known").for_long_prompts);
        assert!(!fleet.get(short.key).expect("known").for_long_prompts);
    }
}

/// A burst of long prompts fills the runners kept for them; their callers would
/// wait past their target beside idle runners. They cross over once the wait
/// costs more than the harm done there.
#[test]
fn a_burst_of_long_prompts_crosses_over() {
    let mut fleet = fleet(6);
    let memory = Index::default();
    let mut crossed = 0;
    for subject in 0..200 {
        let choice = choose(&fleet, &memory, at(1), &demand(12_000, subject), &[]).expect("one");
        crossed += u32::from(!fleet.get(choice.key).expect("known").for_long_prompts);
        fleet.start_request(choice.key, choice.prefill_us, 12_100);
    }
    assert!((20..100).contains(&crossed), "{crossed} of 200 crossed over");
}

/// The beginning of a prompt is read again and again. Requests about a subject
/// go where its beginning was read, on all hosts alike, without talk.
#[test]
fn hosts_agree_on_the_home_of_a_subject() {
    let (one, other) = (fleet(14), fleet(14));
    let memory = Index::default();
    for subject in 0..100 {
        let demand = demand(12_000, subject);
        let home = |fleet: &Fleet| {
            let choice = choose(fleet, &memory, at(1), &demand, &[]).expect("one");
            fleet.get(choice.key).expect("known").listed.id.clone()
        };
        assert_eq!(home(&one), home(&other));
    }
}

/// A runner joins and would be the home of some subjects. Their beginnings lie on the
/// runners that have read them; moved, thousands of tokens would be read again for
/// nothing. They stay while their runner is there, on all hosts that were told.
#[test]
fn subjects_stay_where_they_were_read_when_a_runner_joins() {
    let (mut one, mut other) = (host(14), host(14));
    let wanted: Vec<_> = (100..200).map(|subject| demand(12_000, subject)).collect();
    let place = |state: &mut State, demand, ms| {
        let choice = state.place(at(ms), demand, &[]).expect("one");
        state
            .fleet
            .finish_request(choice.key, choice.prefill_us, demand.kv_tokens());
        state.fleet.get(choice.key).expect("known").listed.id.clone()
    };
    let first: Vec<_> = wanted.iter().map(|demand| place(&mut one, demand, 1)).collect();
    let packet = one.packet(at(2), Incarnation(1), 1);
    let mut told: Vec<u64> = packet.prefixes.iter().map(|holder| holder.prefix).collect();
    told.sort_unstable();
    told.dedup();
    // The first part, which all of them share, is told as well.
    let subjects = std::iter::once(1).chain(100..200);
    assert_eq!(told, subjects.collect::<Vec<u64>>(), "each subject is told");
    other.receive(at(3), Incarnation(2), packet);
    for state in [&mut one, &mut other] {
        state.fleet.update(at(4), listed(20));
        let then: Vec<_> = wanted.iter().map(|demand| place(state, demand, 5)).collect();
        assert_eq!(first, then);
    }
    let mut stranger = host(20);
    let moved = wanted
        .iter()
        .zip(&first)
        .filter(|(demand, first)| place(&mut stranger, demand, 5) != **first);
    assert!(moved.count() > 10, "a host that was not told moves some");
    let mut left = listed(20);
    left.retain(|runner| runner.id != first[0]);
    one.fleet.update(at(2_000), left.clone());
    one.fleet.update(at(4_000), left);
    assert_ne!(
        place(&mut one, &wanted[0], 4_100),
        first[0],
        "its runner has left"
    );
}

/// One subject gets most of the traffic and its home falls behind. Requests
/// leave it when the wait there costs more than reading the beginning anew, and
/// those that follow find the second place.
#[test]
fn a_hot_subject_spreads_over_a_few_runners() {
    let mut fleet = fleet(14);
    let mut memory = Index::default();
    let mut used = Vec::new();
    for _ in 0..40 {
        let demand = demand(12_000, 5);
        let choice = choose(&fleet, &memory, at(1), &demand, &[]).expect("one");
        fleet.start_request(choice.key, choice.prefill_us, demand.kv_tokens());
        memory.record(at(1), 5, choice.key);
        used.push(choice.key);
    }
    used.sort_unstable();
    used.dedup();
    assert!((2..=8).contains(&used.len()), "{} runners", used.len());
}

/// A subject is hot and its runner falls behind; elsewhere its beginning would be read
/// again, for as long as its readers wait. The others copy it from the runner that has
/// read it, so each is placed by load and none reads it twice.
#[test]
fn what_one_runner_has_read_others_copy() {
    let mut state = host(14);
    let first = state.place(at(1), &demand(12_000, 5), &[]).expect("one");
    assert_eq!(first.source, None, "nobody has read it");
    let mut used = vec![first.key];
    for _ in 0..12 {
        let choice = state.place(at(2_000), &demand(12_000, 5), &[]).expect("one");
        match used.contains(&choice.key) {
            true => assert_ne!(choice.source, Some(choice.key)),
            false => assert!(choice.source.is_some_and(|source| used.contains(&source))),
        }
        assert!(
            choice.prefill_us < first.prefill_us,
            "the beginning is not read again"
        );
        used.push(choice.key);
    }
    used.sort_unstable();
    used.dedup();
    assert!(used.len() >= 6, "{} runners", used.len());
}

/// Engines without a link between their memories: a source would be named in vain. The
/// subject stays where it was read, as reading it again is dear.
#[test]
fn without_copies_a_subject_stays() {
    let mut state = host(14);
    let alone = Demand {
        copies_prefix: false,
        ..demand(12_000, 5)
    };
    let first = state.place(at(1), &alone, &[]).expect("one");
    for ms in [2_000, 2_100, 2_200] {
        let choice = state.place(at(ms), &alone, &[]).expect("one");
        assert_eq!((choice.key, choice.source), (first.key, None));
    }
}

/// A zone is cut off without a sign. Runners that are told to copy from it wait a part of a
/// second for each request, and each request sent there waits for a connection. Its hosts fall
/// silent first: from then on it is no source, and what would go there stays.
#[test]
fn a_zone_that_falls_silent_is_no_source_and_no_way() {
    let mut state = host(4);
    let hear = |state: &mut State, number, ms| {
        let far = Fleet::new("zone-1");
        let packet = gossip::packet(Incarnation(7), number, &far, Vec::new());
        state.receive(at(ms), Incarnation(1), packet);
    };
    hear(&mut state, 1, 0);
    // Only the other zone's runners have read it.
    let near: Vec<Key> = ["r0", "r2"]
        .map(|id| state.fleet.find(id).expect("known"))
        .to_vec();
    let first = state.place(at(1), &demand(12_000, 5), &near).expect("one");
    assert_eq!(state.fleet.get(first.key).expect("known").listed.zone, "zone-1");
    let far: Vec<Key> = ["r1", "r3"]
        .map(|id| state.fleet.find(id).expect("known"))
        .to_vec();
    hear(&mut state, 2, 2_000);
    let heard = state.place(at(2_100), &demand(12_000, 5), &far).expect("one");
    assert_eq!(heard.source, Some(first.key), "while its hosts are heard");
    let mut again = host(4);
    hear(&mut again, 1, 0);
    again.place(at(1), &demand(12_000, 5), &near).expect("one");
    let silent = again.place(at(2_100), &demand(12_000, 5), &far).expect("one");
    assert_eq!(silent.source, None, "once they are silent");
    let plain = Demand {
        prompt: 0,
        segments: Vec::new(),
        ..demand(1_000, 5)
    };
    for key in near {
        // No place is free near by.
        (0..20).for_each(|_| again.fleet.start_request(key, 0, 0));
    }
    let runner = |state: &State, key| state.fleet.get(key).expect("known").listed.zone.clone();
    let choice = again.place(at(2_200), &plain, &[]).expect("one");
    assert_eq!(runner(&again, choice.key), "zone-0");
    hear(&mut again, 3, 2_300);
    let choice = again.place(at(2_301), &plain, &[]).expect("one");
    assert_eq!(runner(&again, choice.key), "zone-1", "heard again");
}

/// Eighty hosts in three zones, all told alike, know each other's load when it is seconds
/// old, and choose the same runners. A zone's own hosts are told more often, other zones
/// less, and nobody hears more than twice as much as where all are told alike.
#[test]
fn a_zones_own_hosts_are_told_first() {
    assert_eq!(
        gossip::zone_interval(8, 8),
        gossip::interval(8),
        "few hosts tell all"
    );
    assert!((1..=20).all(|number| gossip::is_cross_zone(number, 8)));
    let (near, hosts) = (27, 80);
    let pause = gossip::zone_interval(near, hosts);
    assert!(pause * 2 < gossip::interval(hosts));
    let far_packets = (1..=240)
        .filter(|number| gossip::is_cross_zone(*number, hosts))
        .count() as f64;
    let part_far = far_packets / 240.0;
    let heard = (f64::from(near - 1) + f64::from(hosts - near) * part_far) / pause.as_secs_f64();
    let alike = f64::from(hosts - 1) / gossip::interval(hosts).as_secs_f64();
    assert!(heard < alike * 2.0, "{heard} packets a second for {alike}");
    let records = (1..=240).filter(|number| gossip::has_record_cross_zone(*number, hosts));
    assert!(records.clone().count() >= 16);
    assert!(records.clone().all(|number| gossip::is_cross_zone(number, hosts)));
}

/// Two requests about a new subject come together. What the first runner is just reading
/// cannot be copied yet; the second one follows it there instead of reading it elsewhere.
#[test]
fn what_is_just_being_read_is_not_copied() {
    let mut state = host(14);
    let first = state.place(at(1), &demand(12_000, 5), &[]).expect("one");
    let second = state.place(at(20), &demand(12_000, 5), &[]).expect("one");
    assert_eq!((second.key, second.source), (first.key, None));
}

/// A runner starts again under its id, with empty memory. Told to copy from it, others
/// would read everything anew; it counts as having read nothing.
#[test]
fn a_runner_that_started_again_has_read_nothing() {
    let mut state = host(2);
    let first = state.place(at(1), &demand(12_000, 5), &[]).expect("one");
    let mut again = listed(2);
    again.iter_mut().for_each(|runner| runner.started_ms += 1_000);
    state.fleet.update(at(1_000), again);
    let second = state
        .place(at(2_000), &demand(12_000, 5), &[first.key])
        .expect("one");
    assert_eq!(second.source, None);
}

/// A runner fails four of ten requests at once, while it says that it is well. It is
/// always the one with the least to do, so a third of all requests and more went there;
/// now it gets less than a sound one until it has answered well for a while.
#[test]
fn a_runner_that_fails_its_requests_gets_few() {
    for prompt in [0, 12_000] {
        let (judged, blind) = (
            sent_to_a_grey_runner(prompt, true),
            sent_to_a_grey_runner(prompt, false),
        );
        assert!(
            (1..50).contains(&judged),
            "{judged} of 300 at one of six, prompt {prompt}"
        );
        assert!(blind > judged * 2, "{blind} without judging, prompt {prompt}");
    }
}

/// Requests of 300 that one of six runners gets which fails four of ten at once.
fn sent_to_a_grey_runner(prompt: u64, judges: bool) -> u32 {
    let mut fleet = fleet(6);
    let memory = Index::default();
    let mut draws = ChaCha8Rng::seed_from_u64(4);
    let mut running = std::collections::VecDeque::new();
    // In the host's zone and kept for long prompts, so that both kinds may go there.
    let fits = |runner: &Runner| runner.for_long_prompts && runner.listed.zone == "zone-0";
    let grey_key = fleet.runners().find(|(_, runner)| fits(runner)).expect("one").0;
    let mut grey = 0;
    for draw in 0..300 {
        let demand = match prompt {
            0 => Demand {
                service: "engines".into(),
                draw,
                ..Demand::default()
            },
            // Nothing shared, so that nothing draws it to a home.
            _ => Demand {
                segments: Vec::new(),
                ..demand(prompt, draw)
            },
        };
        let choice = choose(&fleet, &memory, at(1), &demand, &[]).expect("one");
        fleet.start_request(choice.key, choice.prefill_us, demand.kv_tokens());
        let at_grey = choice.key == grey_key;
        grey += u32::from(at_grey);
        if at_grey && draws.random_bool(0.4) {
            fleet.finish_request(choice.key, choice.prefill_us, demand.kv_tokens());
            fleet.record_attempt(
                at(1),
                choice.key,
                if judges {
                    Attempt::Failed
                } else {
                    Attempt::Succeeded
                },
            );
        } else {
            running.push_back((choice, demand));
        }
        if running.len() > 12 {
            let (choice, demand) = running.pop_front().expect("there are some");
            fleet.finish_request(choice.key, choice.prefill_us, demand.kv_tokens());
            fleet.record_attempt(at(1), choice.key, Attempt::Succeeded);
        }
    }
    grey
}

/// Each host sees only its own part of the load and all send to the same
/// runner. What a peer tells counts like one's own, replaces what it said
/// before, and is forgotten when it falls silent.
#[test]
fn the_peers_load_counts() {
    let mut busy = fleet(4);
    let target = busy.find("r0").expect("known");
    busy.start_request(target, 50_000, 60_000);
    let mut mine = fleet(4);
    let mut peers = Peers::default();
    let (me, peer) = (Incarnation(1), Incarnation(2));
    let news = |number, fleet: &Fleet| gossip::packet(peer, number, fleet, Vec::new());
    peers.receive(at(0), me, news(2, &busy), &mut mine, 2);
    let load = |fleet: &Fleet| {
        let runner = fleet.get(target).expect("known");
        (runner.running(), runner.backlog(), runner.kv_tokens())
    };
    assert_eq!(load(&mine), (1, Duration::from_millis(50), 60_000));
    peers.receive(at(10), me, news(1, &fleet(4)), &mut mine, 2);
    assert_eq!(
        load(&mine),
        (1, Duration::from_millis(50), 60_000),
        "old news says nothing"
    );
    let third = gossip::packet(Incarnation(3), 1, &fleet(4), Vec::new());
    peers.receive(at(60_000), me, third, &mut mine, 2);
    assert_eq!(load(&mine), (0, Duration::ZERO, 0), "a silent peer is forgotten");
    assert_eq!(Load::default().running, 0);
}

/// The order for runners follows the work of the last seconds, not of hours.
#[test]
fn the_flow_is_of_the_last_seconds() {
    let mut meter = Meter::default();
    for ms in (0..4_000).step_by(100) {
        meter.add(at(ms), "engines", 1_000, false);
    }
    let rate = |ms| meter.flows(at(ms))[0].rate;
    assert!((9_000..=11_000).contains(&rate(3_990)), "{}", rate(3_990));
    assert_eq!(rate(20_000), 0);
}
