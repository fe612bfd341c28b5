//! Loads under which the router must go by what it sees of its runners.

use std::collections::BTreeMap;
use std::time::Duration;

use radishstair_core::proxy::fleet::Fleet;
use radishstair_core::proxy::latency::{Conditions, Latency};
use radishstair_core::proxy::scaling::Planner;
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures::priced;
use super::model::{Play, SERVICE};

/// Engines three times slower or faster than assumed answer a few hundred requests, one in
/// three of which met a queue that nobody knew of. The reading time that is learnt is right
/// within a quarter; assumed, it would be wrong by half and more.
#[test]
fn reading_speed_is_learnt_through_unknown_queues() {
    for (seed, thousand_ms) in [(1, 5.0), (2, 16.0), (3, 35.0)] {
        let mut draws = ChaCha8Rng::seed_from_u64(seed);
        let mut latency = Latency::default();
        for _ in 0..400 {
            let prompt = draws.random_range(300..9_000);
            let conditions = Conditions {
                prompt,
                ..Conditions::default()
            };
            let queue = match draws.random_bool(0.33) {
                true => draws.random_range(0.0..150.0),
                false => 0.0,
            };
            let took = 35.0 + thousand_ms * prompt as f64 / 1e3 + queue;
            latency.observe_first_event(&conditions, Duration::from_secs_f64(took / 1e3));
        }
        let learnt = latency.prefill(4_000, 0).as_secs_f64() * 1e3;
        let right = thousand_ms * 4.0;
        assert!((learnt / right - 1.0).abs() < 0.25, "{learnt} for {right} ms");
    }
}

/// The busiest of six engines takes eight times as long for everything and says that it is
/// well; its queue looks as short as the others'. Its requests are late. Seen to lag, it gets
/// less than half of what it had, the time until that is known included.
#[test]
fn a_straggler_gets_few() {
    for seed in 0..5 {
        let play = Play {
            seed,
            ..Play::default()
        };
        let sound = play.clone().run();
        let busiest = (0..6).max_by_key(|at| sound.at[*at]).expect("some");
        let slow = with_straggler(play, busiest);
        let seen = slow.clone().run();
        let blind = Play {
            judges_engines: false,
            ..slow
        }
        .run();
        let part = seen.part_at(busiest);
        assert!(part < sound.part_at(busiest) / 2.0, "seed {seed}: {part}");
        assert!(part < blind.part_at(busiest), "seed {seed}: {part}");
        assert!(seen.part_timely() > blind.part_timely(), "seed {seed}");
    }
}

/// The same play with one engine that takes eight times as long.
fn with_straggler(mut play: Play, engine: usize) -> Play {
    play.reads_in_ms[engine] *= 8.0;
    play
}

/// The straggler's answers are slow, not the others'. Taken into the common latency they would
/// make all runners look slow, and more of them would be paid for.
#[test]
fn a_straggler_does_not_slow_the_common_pace() {
    for engine in 0..6 {
        let play = with_straggler(Play::default(), engine);
        let latency = play
            .run()
            .state
            .latencies
            .get_or_default(SERVICE)
            .prefill_ms_per_1k();
        assert!(latency < 14.0, "{latency} ms a thousand tokens, {engine} slow");
    }
}

/// Runners wanted by the planner, reclaimable and dependable, for a flow.
fn wanted(planner: &mut Planner, now: Moment, fleet: &Fleet, price: f64, flow: u64) -> (u32, u32) {
    let zones = [("zone-a", 1.0), ("zone-b", 1.0), ("zone-c", 1.0)];
    let table = priced(SERVICE, 20, price, &zones);
    let mut latest = BTreeMap::new();
    while let Some(order) = planner.tick(now, &table, fleet, |_| flow) {
        planner.record_result(now, &order, true);
        latest.insert((order.zone.clone(), order.reclaimable), order.count);
    }
    let sum = |reclaimable| {
        let of = latest.iter().filter(|((_, kind), _)| *kind == reclaimable);
        of.map(|(_, count)| *count).sum()
    };
    (sum(true), sum(false))
}

/// The same callers before engines that read a third as fast and twice as fast. Counted in
/// tokens, the slow ones were as few as the usual ones and callers waited; the fast ones were
/// paid for in vain. Counted in the time that they take, there are more, and fewer.
#[test]
fn slow_engines_are_more_and_fast_ones_fewer() {
    let flow = |reads_in_ms| {
        let play = Play {
            zones: vec!["zone-a"; 12],
            reads_in_ms: vec![reads_in_ms; 12],
            rate: |_| 80.0,
            ..Play::default()
        };
        play.run().flow.rate
    };
    let runners = |flow| {
        let fleet = Fleet::new("zone-a");
        wanted(&mut Planner::default(), Moment::at_ms(100_000), &fleet, 0.2, flow).0
    };
    let usual = runners(flow(9.0));
    let slow = runners(flow(27.0));
    let fast = runners(flow(4.5));
    assert!(slow >= usual * 2, "{slow} slow ones for {usual}");
    assert!(fast * 4 <= usual * 3, "{fast} fast ones for {usual}");
}

/// Reclaimable runners at nine tenths of the price save little and vanish at the worst time.
/// Dependable ones are ordered in their place, and no reserve is paid for.
#[test]
fn reclaimable_runners_are_taken_only_while_they_are_cheap() {
    let fleet = Fleet::new("zone-a");
    let at = Moment::at_ms(100_000);
    let (cheap, dependable) = wanted(&mut Planner::default(), at, &fleet, 0.2, 3_000_000);
    assert!(cheap >= 9 && dependable <= 6, "{cheap} and {dependable}");
    let (cheap, dependable) = wanted(&mut Planner::default(), at, &fleet, 0.9, 3_000_000);
    assert!(cheap == 0 && dependable >= 6, "{cheap} and {dependable}");
}

/// A zone's reclaimable runners are taken away while none are to be had. Each order is
/// refused; said again every second and a half for half a minute they only cost calls. They
/// back off, and dependable ones stand in meanwhile.
#[test]
fn refused_orders_back_off() {
    let table = priced(SERVICE, 20, 0.2, &[("zone-a", 1.0)]);
    let fleet = Fleet::new("zone-a");
    let mut planner = Planner::default();
    let (mut refused, mut dependable) = (0, 0);
    for ms in (0..30_000).step_by(250) {
        let now = Moment::at_ms(100_000 + ms);
        while let Some(order) = planner.tick(now, &table, &fleet, |_| 3_000_000) {
            planner.record_result(now, &order, !order.reclaimable);
            match order.reclaimable {
                true => refused += 1,
                false => dependable = order.count,
            }
            if order.reclaimable {
                break;
            }
        }
    }
    assert!((3..=8).contains(&refused), "{refused} orders were refused");
    assert!(dependable >= 4, "{dependable} dependable ones");
}

/// Two bursts at once, one on a single subject: its runner and the others kept for long
/// prompts fill up. Nine in ten are in time, as the burst spreads by the waits that it causes.
#[test]
fn a_burst_on_a_hot_subject_spreads_in_time() {
    for seed in 0..5 {
        let play = Play {
            seed,
            zones: vec!["zone-a"; 8],
            rate: |ms| {
                if (10_000..16_000).contains(&ms) {
                    90.0
                } else {
                    25.0
                }
            },
            subject: |draw| if draw % 3 == 0 { 100 } else { 100 + draw % 60 },
            ..Play::default()
        };
        let outcome = play.run();
        assert!(
            outcome.part_timely() > 0.9,
            "seed {seed}: {}",
            outcome.part_timely()
        );
    }
}

/// Two runners in the zone, two more far away. One is kept for each kind, and what comes is
/// served near by until the wait there is worth the way; most bytes stay in the zone.
#[test]
fn few_runners_a_zone_keep_most_near() {
    for seed in 0..5 {
        let play = Play {
            seed,
            zones: vec!["zone-a", "zone-a", "zone-b", "zone-b"],
            rate: |_| 10.0,
            ..Play::default()
        };
        let outcome = play.run();
        let near = outcome.part_at(0) + outcome.part_at(1);
        assert!(near > 0.7, "seed {seed}: {near} near");
        assert!(
            outcome.part_timely() > 0.95,
            "seed {seed}: {}",
            outcome.part_timely()
        );
    }
}

/// The zone's runners vanish in the middle of the day and come back. Callers go to the other
/// zone at once and come home afterwards; hardly any is late.
#[test]
fn a_lost_zone_spills_over_and_comes_back() {
    for seed in 0..5 {
        let play = Play {
            seed,
            zones: vec!["zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b"],
            listed: |ms, at| at >= 3 || !(10_000..18_000).contains(&ms),
            ..Play::default()
        };
        let outcome = play.run();
        let near: f64 = (0..3).map(|at| outcome.part_at(at)).sum();
        assert!((0.55..0.75).contains(&near), "seed {seed}: {near} near");
        assert!(
            outcome.part_timely() > 0.95,
            "seed {seed}: {}",
            outcome.part_timely()
        );
    }
}
