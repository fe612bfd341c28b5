//! One process in charge: orders to upstreams.

use radishstair_core::dispatch::Submission;
use radishstair_core::kernel::Event;
use radishstair_core::runner::Listing;
use rand::RngExt;

use crate::schedule::{assert_all_pass, assert_some_fail};
use crate::world::{Broken, Builder, Faults, World};

const SECOND: u64 = 1_000;
const CONFIGURATION: &str = r#"{
  "tiers": [{ "name": "t", "priority": 1, "target": "1s", "patience": "10m" }],
  "customers": [{ "name": "c" }],
  "pools": [{ "name": "p", "least": 1, "most": 40, "labels": {} }]
}"#;

/// Makes demand change, so that there is something to order.
fn demand(world: &mut World) {
    for at in 0..world.nodes.len() {
        if !world.running(at) || !world.rng.random_bool(0.3) {
            continue;
        }
        let call = world.call();
        let seek = Submission {
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
        world.handle(at, Event::Seek(seek));
    }
}

fn list(world: &mut World, at: usize) {
    let runners = ["a", "b"].map(|zone| Listing {
        name: format!("r-{zone}"),
        pool: "p".into(),
        zone: zone.into(),
        address: "127.0.0.1:1".into(),
        slots: 4,
        leaving: false,
    });
    world.send_event(at, 0, Event::Listed(runners.to_vec()));
}

/// Kills, freezes, cuts and outages, mostly of whoever is in charge.
fn misfortune(world: &mut World) {
    let holder =
        (0..world.nodes.len()).find(|at| world.status(*at).is_some_and(|status| !status.duties.is_empty()));
    let any = world.rng.random_range(0..world.nodes.len());
    let at = if world.rng.random_bool(0.7) {
        holder.unwrap_or(any)
    } else {
        any
    };
    match world.rng.random_range(0..8) {
        0 => {
            world.kill(at);
            world.start(at);
            list(world, at);
        }
        // Around the term of a lease: the holder wakes just before, at and
        // after its end.
        1..=3 => {
            let span = world.rng.random_range(2 * SECOND..25 * SECOND);
            world.pause(at, span);
        }
        4 => world.nodes[at].cut_store = true,
        5 => world.nodes.iter_mut().for_each(|node| node.cut_store = false),
        6 => world.store_down = !world.store_down,
        _ => world.nodes[at].partition ^= 1,
    }
}

/// Two nodes that run must not both believe that they hold a duty.
fn one_believes(world: &mut World) -> Result<(), String> {
    let mut holders: Vec<(String, usize)> = Vec::new();
    for at in 0..world.nodes.len() {
        for (duty, _) in world.status(at).map_or(Vec::new(), |status| status.duties) {
            if let Some((_, other)) = holders.iter().find(|(have, _)| *have == duty) {
                return Err(format!(
                    "at {} ms nodes {other} and {at} both hold `{duty}`",
                    world.now
                ));
            }
            holders.push((duty, at));
        }
    }
    Ok(())
}

/// An upstream that ignores fencing numbers must see them rise only.
fn fences_rise(world: &World) -> Result<(), String> {
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
    for at in 0..world.nodes.len() {
        list(&mut world, at);
    }
    for step in 0..1_200 {
        world.run_until(step * 100);
        one_believes(&mut world)?;
        if step % 10 == 0 {
            demand(&mut world);
        }
        if step % 15 == 0 && step < 800 && world.rng.random_bool(0.5) {
            misfortune(&mut world);
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
    fences_rise(&world)?;
    let held =
        (0..world.nodes.len()).any(|at| world.status(at).is_some_and(|status| !status.duties.is_empty()));
    match held && !world.received.orders.is_empty() {
        true => Ok(()),
        false => Err("nobody is in charge long after everything healed".into()),
    }
}

/// The platform gets orders from one process at a time. Holders are frozen
/// past their lease between the check and the send, killed, cut off; answers
/// to their renewals are lost after the write. The check is made last thing
/// before a send, and a successor waits out term, send and quiet time.
#[test]
fn orders_come_from_one_process() {
    assert_all_pass(300, |seed| orders_under_failure(seed, Broken::None));
}

/// The checker must see an order of a former holder when the last look at the
/// lease is left out.
#[test]
fn broken_without_the_last_look() {
    assert_some_fail(300, |seed| orders_under_failure(seed, Broken::Grant));
}

/// The checker must see two holders when the store lets any write pass.
#[test]
fn broken_without_compare_and_swap() {
    assert_some_fail(60, |seed| orders_under_failure(seed, Broken::Swap));
}
