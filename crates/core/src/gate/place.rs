//! Which runner a request goes to.
//!
//! Two patterns are answered here. A long prompt is read in chunks between the
//! tokens of all requests beside it and makes short streams pause, so a part of
//! each zone's runners is kept for long prompts. And requests of one session
//! share the beginnings of their prompts, so each session has a place of its
//! own that all hosts compute alike (rendezvous hashing), left only when that
//! runner carries clearly more than its peers.

use super::fleet::{Fleet, Key, Runner};
use crate::id::{digest, weight};
use crate::time::Moment;

/// Prompt tokens from which a prompt counts as long. On the users' two sites the
/// classes lie on either side of it: means of 800 and 2,400 tokens below,
/// 12,000 above.
pub const LONG: u64 = 3_500;
/// Part of a zone's runners that is kept for long prompts.
const LONG_PART: f64 = 0.5;
/// Requests by which a session's own runner may exceed the mean load before
/// the session moves on.
const LEAN: f64 = 2.0;
/// The same as a factor on the mean.
const LEAN_FACTOR: f64 = 1.3;

plain! {
    /// What a request asks of its runner.
    #[derive(Default)]
    pub struct Demand {
        /// Service that is to run it.
        pub service: String,
        /// Tokens of its prompt; 0 for plain services.
        pub prompt: u64,
        /// Hash of the session that its prompt belongs to.
        pub session: Option<u64>,
        /// Draw that decides among equals.
        pub draw: u64,
    }
}

/// Divides each zone's runners of a service between long and short prompts,
/// the same way on every host.
pub fn part(runners: &mut [Runner]) {
    let mut order: Vec<usize> = (0..runners.len()).filter(|at| runners[*at].is_listed()).collect();
    let group = |runner: &Runner| (runner.listed.service.clone(), runner.listed.zone.clone());
    order.sort_by_cached_key(|at| {
        let listed = &runners[*at].listed;
        (
            group(&runners[*at]),
            listed.reclaimable,
            digest(listed.id.as_bytes()),
        )
    });
    let mut rest = order.as_slice();
    while let Some(first) = rest.first() {
        let key = group(&runners[*first]);
        let size = rest.iter().take_while(|at| group(&runners[**at]) == key).count();
        let (zone, tail) = rest.split_at(size);
        // Of an odd number the smaller part goes to long prompts, and none of one.
        let long = (size as f64 * LONG_PART) as usize;
        for (rank, at) in zone.iter().enumerate() {
            // Every other one, so that both parts get runners of both prices.
            runners[*at].long = rank % 2 == 1 && rank / 2 < long;
        }
        rest = tail;
    }
}

/// Chooses a runner, other than those in `tried`.
pub fn choose(fleet: &Fleet, now: Moment, demand: &Demand, tried: &[Key]) -> Option<Key> {
    let open: Vec<(Key, &Runner)> = fleet
        .open(now, &demand.service)
        .filter(|(key, _)| !tried.contains(key))
        .collect();
    if demand.prompt == 0 {
        return nearest(fleet, &open, demand);
    }
    let long = demand.prompt >= LONG;
    let kept: Vec<(Key, &Runner)> = open
        .iter()
        .filter(|(_, runner)| runner.long == long)
        .copied()
        .collect();
    let set = if kept.is_empty() { &open } else { &kept };
    match demand.session {
        Some(session) => by_session(set, session),
        None => least(set, demand),
    }
}

/// Plain requests are short: one of this zone with a free slot, else any.
fn nearest(fleet: &Fleet, open: &[(Key, &Runner)], demand: &Demand) -> Option<Key> {
    let near: Vec<(Key, &Runner)> = open
        .iter()
        .filter(|(_, runner)| runner.listed.zone == fleet.zone && runner.load() < runner.listed.slots / 2)
        .copied()
        .collect();
    least(if near.is_empty() { open } else { &near }, demand)
}

fn least(set: &[(Key, &Runner)], demand: &Demand) -> Option<Key> {
    let order = |key: Key, runner: &Runner| (runner.load(), weight(demand.draw, u64::from(key.0)));
    let chosen = set.iter().min_by_key(|(key, runner)| order(*key, runner));
    chosen.map(|(key, _)| *key)
}

fn by_session(set: &[(Key, &Runner)], session: u64) -> Option<Key> {
    let total: u32 = set.iter().map(|(_, runner)| runner.load()).sum();
    let mean = f64::from(total) / set.len().max(1) as f64;
    let bound = mean * LEAN_FACTOR + LEAN;
    let rank = |runner: &Runner| weight(session, digest(runner.listed.id.as_bytes()));
    let fits = set.iter().filter(|(_, runner)| f64::from(runner.load()) <= bound);
    let chosen = fits.max_by_key(|(_, runner)| rank(runner));
    chosen.map(|(key, _)| *key)
}
