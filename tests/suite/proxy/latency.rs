//! Tests of placement and scaling under simulated load, where decisions depend on measurements.

use std::collections::BTreeMap;
use std::time::Duration;

use radishstair_core::proxy::fleet::Fleet;
use radishstair_core::proxy::latency::{Conditions, Latency};
use radishstair_core::proxy::scaling::Planner;
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures::priced;
use super::model::{SERVICE, Simulation};

/// Engines that are three times slower or faster than the prior answer a few hundred requests,
/// one third of which met an unknown queue. The learnt prefill time is within a quarter of the
/// true one; the prior would be off by half or more.
#[test]
fn reading_speed_is_learnt_through_unknown_queues() {
    for (seed, thousand_ms) in [(1, 5.0), (2, 16.0), (3, 35.0)] {
        let mut draws = ChaCha8Rng::seed_from_u64(seed);
        let mut latency = Latency::default();
        for _ in 0..400 {
            let prompt = draws.random_range(300..9_000);
            let conditions = Conditions {
                prompt_tokens: prompt,
                ..Conditions::default()
            };
            let queue = match draws.random_bool(0.33) {
                true => draws.random_range(0.0..150.0),
                false => 0.0,
            };
            let took = 35.0 + thousand_ms * prompt as f64 / 1e3 + queue;
            latency.observe_first_event(&conditions, Duration::from_secs_f64(took / 1e3));
        }
        let learned = latency.prefill(4_000, 0).as_secs_f64() * 1e3;
        let expected = thousand_ms * 4.0;
        assert!(
            (learned / expected - 1.0).abs() < 0.25,
            "learned {learned} ms, expected {expected} ms"
        );
    }
}

/// The busiest of six engines becomes eight times slower but reports that it is healthy, and its
/// queue looks as short as the others', so its requests are late. It must get less than half of
/// its former requests, including the time until it is detected.
#[test]
fn a_straggler_gets_few() {
    for seed in 0..5 {
        let simulation = Simulation {
            seed,
            ..Simulation::default()
        };
        let healthy = simulation.clone().run();
        let busiest = (0..6)
            .max_by_key(|at| healthy.at[*at])
            .expect("there are engines");
        let slow = with_straggler(simulation, busiest);
        let detecting = slow.clone().run();
        let blind = Simulation {
            detects_slow_engines: false,
            ..slow
        }
        .run();
        let share = detecting.share_at(busiest);
        assert!(share < healthy.share_at(busiest) / 2.0, "seed {seed}: {share}");
        assert!(share < blind.share_at(busiest), "seed {seed}: {share}");
        assert!(detecting.share_on_time() > blind.share_on_time(), "seed {seed}");
    }
}

/// The same simulation with one engine that is eight times slower.
fn with_straggler(mut simulation: Simulation, engine: usize) -> Simulation {
    simulation.prefill_ms_per_1k[engine] *= 8.0;
    simulation
}

/// Guards against the straggler's samples entering the common latency model, which would make all
/// runners look slow and order too many.
#[test]
fn a_straggler_does_not_slow_the_common_pace() {
    for engine in 0..6 {
        let simulation = with_straggler(Simulation::default(), engine);
        let latency = simulation
            .run()
            .state
            .latencies
            .get_or_default(SERVICE)
            .prefill_ms_per_1k();
        assert!(
            latency < 14.0,
            "{latency} ms per thousand tokens, engine {engine} slow"
        );
    }
}

/// Reclaimable and on-demand runners ordered for a rate of prefill work.
fn ordered(planner: &mut Planner, now: Moment, fleet: &Fleet, price: f64, prefill_rate: u64) -> (u32, u32) {
    let zones = [("zone-a", 1.0), ("zone-b", 1.0), ("zone-c", 1.0)];
    let table = priced(SERVICE, 20, price, &zones);
    let mut latest = BTreeMap::new();
    while let Some(order) = planner.tick(now, &table, fleet, |_| prefill_rate) {
        planner.record_result(now, &order, true);
        latest.insert((order.zone.clone(), order.reclaimable), order.count);
    }
    let sum = |reclaimable| {
        let of = latest.iter().filter(|((_, kind), _)| *kind == reclaimable);
        of.map(|(_, count)| *count).sum()
    };
    (sum(true), sum(false))
}

/// Guards against scaling by tokens: with engines that prefill at a third of the speed, callers
/// waited, and with engines twice as fast, too many were ordered. Scaling by prefill time must
/// order more and fewer.
#[test]
fn slow_engines_are_more_and_fast_ones_fewer() {
    let prefill_rate = |prefill_ms_per_1k| {
        let simulation = Simulation {
            zones: vec!["zone-a"; 12],
            prefill_ms_per_1k: vec![prefill_ms_per_1k; 12],
            rate: |_| 80.0,
            ..Simulation::default()
        };
        simulation.run().prefill_rate.total_us
    };
    let runners = |prefill_rate| {
        let fleet = Fleet::new("zone-a");
        ordered(
            &mut Planner::default(),
            Moment::at_ms(100_000),
            &fleet,
            0.2,
            prefill_rate,
        )
        .0
    };
    let usual = runners(prefill_rate(9.0));
    let slow = runners(prefill_rate(27.0));
    let fast = runners(prefill_rate(4.5));
    assert!(slow >= usual * 2, "{slow} slow runners for {usual}");
    assert!(fast * 4 <= usual * 3, "{fast} fast runners for {usual}");
}

/// Reclaimable runners at nine tenths of the price save little and may be lost at the worst time.
/// On-demand runners are ordered instead, without a reserve.
#[test]
fn reclaimable_runners_are_taken_only_while_they_are_cheap() {
    let fleet = Fleet::new("zone-a");
    let at = Moment::at_ms(100_000);
    let (reclaimable, on_demand) = ordered(&mut Planner::default(), at, &fleet, 0.2, 3_000_000);
    assert!(
        reclaimable >= 9 && on_demand <= 6,
        "{reclaimable} reclaimable, {on_demand} on-demand"
    );
    let (reclaimable, on_demand) = ordered(&mut Planner::default(), at, &fleet, 0.9, 3_000_000);
    assert!(
        reclaimable == 0 && on_demand >= 6,
        "{reclaimable} reclaimable, {on_demand} on-demand"
    );
}

/// Guards against repeating refused orders every 1.5 s for half a minute while a zone has no
/// reclaimable runners, which only costs calls. Orders back off, and on-demand runners are ordered
/// meanwhile.
#[test]
fn refused_orders_back_off() {
    let table = priced(SERVICE, 20, 0.2, &[("zone-a", 1.0)]);
    let fleet = Fleet::new("zone-a");
    let mut planner = Planner::default();
    let (mut refused, mut on_demand) = (0, 0);
    for ms in (0..30_000).step_by(250) {
        let now = Moment::at_ms(100_000 + ms);
        while let Some(order) = planner.tick(now, &table, &fleet, |_| 3_000_000) {
            planner.record_result(now, &order, !order.reclaimable);
            match order.reclaimable {
                true => refused += 1,
                false => on_demand = order.count,
            }
            if order.reclaimable {
                break;
            }
        }
    }
    assert!((3..=8).contains(&refused), "{refused} orders were refused");
    assert!(on_demand >= 4, "{on_demand} on-demand runners");
}

/// Two bursts at once, one of them on a single prefix, fill the runner that has it cached and the
/// others reserved for long prompts. Nine of ten requests are on time, as their cost makes the
/// burst spread.
#[test]
fn a_burst_on_a_hot_subject_spreads_in_time() {
    for seed in 0..5 {
        let simulation = Simulation {
            seed,
            zones: vec!["zone-a"; 8],
            rate: |ms| {
                if (10_000..16_000).contains(&ms) {
                    90.0
                } else {
                    25.0
                }
            },
            prefix: |draw| if draw % 3 == 0 { 100 } else { 100 + draw % 60 },
            ..Simulation::default()
        };
        let outcome = simulation.run();
        assert!(
            outcome.share_on_time() > 0.9,
            "seed {seed}: {}",
            outcome.share_on_time()
        );
    }
}

/// With two runners in the host's zone and two in another, each kind of prompt has one nearby.
/// Requests stay in the zone until waiting there costs more than leaving it, so most traffic
/// stays in the zone.
#[test]
fn few_runners_a_zone_keep_most_near() {
    for seed in 0..5 {
        let simulation = Simulation {
            seed,
            zones: vec!["zone-a", "zone-a", "zone-b", "zone-b"],
            rate: |_| 10.0,
            ..Simulation::default()
        };
        let outcome = simulation.run();
        let same_zone = outcome.share_at(0) + outcome.share_at(1);
        assert!(same_zone > 0.7, "seed {seed}: {same_zone} in the zone");
        assert!(
            outcome.share_on_time() > 0.95,
            "seed {seed}: {}",
            outcome.share_on_time()
        );
    }
}

/// The runners of the host's zone disappear and come back. Requests go to the other zone at once
/// and return afterwards, and hardly any is late.
#[test]
fn a_lost_zone_spills_over_and_comes_back() {
    for seed in 0..5 {
        let simulation = Simulation {
            seed,
            zones: vec!["zone-a", "zone-a", "zone-a", "zone-b", "zone-b", "zone-b"],
            listed: |ms, at| at >= 3 || !(10_000..18_000).contains(&ms),
            ..Simulation::default()
        };
        let outcome = simulation.run();
        let same_zone: f64 = (0..3).map(|at| outcome.share_at(at)).sum();
        assert!(
            (0.55..0.75).contains(&same_zone),
            "seed {seed}: {same_zone} in the zone"
        );
        assert!(
            outcome.share_on_time() > 0.95,
            "seed {seed}: {}",
            outcome.share_on_time()
        );
    }
}
