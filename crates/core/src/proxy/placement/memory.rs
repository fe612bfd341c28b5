//! Memory of the runners.
//!
//! A runner whose requests exceed its memory crashes, and all of its requests fail. Hosts therefore
//! keep the sum of what they have sent below the engine's memory, prompts and answers to come.

use super::super::fleet::{Key, Runner};
use super::Demand;
use crate::id::rendezvous_weight;

/// Share of an engine's memory up to which every request may be sent to it, and the share up to
/// which some may. The rest is for answers longer than expected, and for what other hosts have sent
/// in the last milliseconds.
const FREE_MEMORY_SHARE: f64 = 0.5;
const MAX_MEMORY_SHARE: f64 = 0.75;
/// Share of an engine's memory from which a request is large.
const LARGE_SHARE: f64 = 1.0 / 12.0;
/// Share of the runners to which a large request may be sent, and the share of an engine's memory up
/// to which it may be sent to another runner if these are full.
const LARGE_SELECTED: f64 = 0.125;
const LARGE_FREE_SHARE: f64 = 1.0 / 3.0;

/// Runners that can hold one more request.
///
/// Many hosts see the same free memory at the same time, and hear of each other's requests
/// milliseconds later. The fuller a runner is, the fewer requests may go there, selected by a random
/// number, so that not all hosts fill the same runner. Of large requests, a few fill a runner, so
/// each may go to some runners only, or else to a random one of those that have much room.
pub fn with_room<'a>(
    memory: Option<u64>,
    eligible: Vec<(Key, &'a Runner)>,
    demand: &Demand,
) -> Vec<(Key, &'a Runner)> {
    let Some(memory) = memory.map(|memory| memory as f64) else {
        return eligible;
    };
    let needed = demand.kv_tokens() as f64;
    let selected = if needed > memory * LARGE_SHARE {
        LARGE_SELECTED
    } else {
        1.0
    };
    // A runner without requests gets any: if its memory is too small, it refuses the request.
    let fits = |runner: &Runner, share: f64| {
        runner.running() == 0 || runner.kv_tokens() as f64 + needed <= memory * share
    };
    let is_selected = |runner: &Runner| {
        let draw = rendezvous_weight(demand.random, runner.hash) as f64 / u64::MAX as f64;
        let share = FREE_MEMORY_SHARE + (MAX_MEMORY_SHARE - FREE_MEMORY_SHARE) * draw / selected;
        draw < selected && fits(runner, share)
    };
    let selected_runners: Vec<_> = eligible
        .iter()
        .copied()
        .filter(|(_, runner)| is_selected(runner))
        .collect();
    if !selected_runners.is_empty() {
        return selected_runners;
    }
    let free = eligible
        .into_iter()
        .filter(|(_, runner)| fits(runner, LARGE_FREE_SHARE));
    let any = free.max_by_key(|(_, runner)| rendezvous_weight(demand.random, runner.hash));
    any.into_iter().collect()
}
