//! The ordering duty: only one process at a time sends orders.

use radishstair_core::dispatch::Submission;
use radishstair_core::kernel::Event;
use radishstair_core::runner::Listing;
use rand::RngExt;

use crate::schedule::{assert_all_pass, assert_some_fail};
use crate::world::{Broken, Builder, Faults, World};

const SECOND_MS: u64 = 1_000;
const CONFIGURATION: &str = r#"{
  "tiers": [{ "name": "t", "priority": 1, "target": "1s", "patience": "10m" }],
  "customers": [{ "name": "c" }],
  "pools": [{ "name": "p", "least": 1, "most": 40, "labels": {} }]
}"#;

/// Adds calls that need runners at random nodes, so that orders are due.
fn add_demand(world: &mut World) {
    for node in 0..world.nodes.len() {
        if !world.running(node) || !world.rng.random_bool(0.3) {
            continue;
        }
        let call = world.call();
        let submission = Submission {
            call,
            tier: "t".into(),
            customer: "c".into(),
            key: "k".into(),
            class: "x".into(),
            pools: vec!["p".to_string()].into(),
            max_tokens: 10,
            prefix_hash: None,
            avoid: Vec::new(),
            reserved: false,
        };
        world.handle(node, Event::Acquire(submission));
    }
}

fn list_runners(world: &mut World, node: usize) {
    let runners = ["a", "b"].map(|zone| Listing {
        name: format!("r-{zone}"),
        pool: "p".into(),
        zone: zone.into(),
        address: "127.0.0.1:1".into(),
        slots: 4,
        leaving: false,
    });
    world.send_event(node, 0, Event::RunnerList(runners.to_vec()));
}

/// Injects a random fault, mostly at the holder of a duty: a crash, a
/// suspension, a partition or an outage of the store.
fn inject_fault(world: &mut World) {
    let holder = (0..world.nodes.len()).find(|node| {
        world
            .status(*node)
            .is_some_and(|status| !status.duties.is_empty())
    });
    let random_node = world.rng.random_range(0..world.nodes.len());
    let node = if world.rng.random_bool(0.7) {
        holder.unwrap_or(random_node)
    } else {
        random_node
    };
    match world.rng.random_range(0..8) {
        0 => {
            world.kill(node);
            world.start(node);
            list_runners(world, node);
        }
        // Around the duration of a lease, so that the holder resumes shortly
        // before, at and after its end.
        1..=3 => {
            let pause_ms = world.rng.random_range(2 * SECOND_MS..25 * SECOND_MS);
            world.pause(node, pause_ms);
        }
        4 => world.nodes[node].cut_store = true,
        5 => world.nodes.iter_mut().for_each(|node| node.cut_store = false),
        6 => world.store_down = !world.store_down,
        _ => world.nodes[node].partition ^= 1,
    }
}

/// Checks that no two running nodes hold the same duty.
fn check_single_holder(world: &mut World) -> Result<(), String> {
    let mut holders: Vec<(String, usize)> = Vec::new();
    for node in 0..world.nodes.len() {
        for (duty, _) in world.status(node).map_or(Vec::new(), |status| status.duties) {
            if let Some((_, other)) = holders.iter().find(|(held_duty, _)| *held_duty == duty) {
                return Err(format!(
                    "at {} ms nodes {other} and {node} both hold `{duty}`",
                    world.now
                ));
            }
            holders.push((duty, node));
        }
    }
    Ok(())
}

/// Checks that the fencing numbers of the orders never decrease, for upstreams
/// that ignore these numbers.
fn check_fences_rise(world: &World) -> Result<(), String> {
    for pair in world.received.orders.windows(2) {
        if pair[1].2.fence < pair[0].2.fence {
            return Err(format!(
                "at {} ms an order of fence {} came after fence {}",
                pair[1].0, pair[1].2.fence, pair[0].2.fence
            ));
        }
    }
    Ok(())
}

fn orders_under_failure(seed: u64, broken: Broken) -> Result<(), String> {
    let faults = Faults {
        freeze: 0.05,
        ..Faults::default()
    };
    let mut world = Builder::new(seed)
        .faults(faults)
        .broken(broken)
        .build(CONFIGURATION);
    for node in 0..world.nodes.len() {
        list_runners(&mut world, node);
    }
    for step in 0..1_200 {
        world.run_until(step * 100);
        check_single_holder(&mut world)?;
        if step % 10 == 0 {
            add_demand(&mut world);
        }
        if step % 15 == 0 && step < 800 && world.rng.random_bool(0.5) {
            inject_fault(&mut world);
        }
        if step == 800 {
            world.store_down = false;
            world.faults.freeze = 0.0;
            for node in &mut world.nodes {
                node.cut_store = false;
                node.partition = 0;
            }
        }
    }
    check_fences_rise(&world)?;
    let duty_held =
        (0..world.nodes.len()).any(|node| world.status(node).is_some_and(|status| !status.duties.is_empty()));
    match duty_held && !world.received.orders.is_empty() {
        true => Ok(()),
        false => Err("no node holds a duty long after all faults ended".into()),
    }
}

/// The platform must not receive orders from two processes at a time, although a
/// holder is suspended past the end of its lease between check and send, crashes
/// or is partitioned, or the answer to a renewal is lost after the write. The
/// lease is checked directly before each send, and a successor waits for the
/// lease duration, the longest send and the quiet period.
#[test]
fn orders_come_from_one_process() {
    assert_all_pass(300, |seed| orders_under_failure(seed, Broken::None));
}

/// The checker must detect an order of a former holder when the last check of
/// the lease is left out.
#[test]
fn broken_without_the_last_look() {
    assert_some_fail(300, |seed| orders_under_failure(seed, Broken::Grant));
}

/// The checker must detect two holders when the store accepts every write.
#[test]
fn broken_without_compare_and_swap() {
    assert_some_fail(60, |seed| orders_under_failure(seed, Broken::Swap));
}
