//! Chooses the runner for a request.
//!
//! Each candidate gets a cost in milliseconds: the predicted time to the first event, plus the
//! delay that the request causes to others. The candidate with the lowest cost wins. The cost
//! covers five cases:
//!
//! - A long prompt stalls the short streams on the same runner. Using a runner that is reserved
//!   for the other kind of prompt costs as much as the stalls that it causes.
//! - Requests often share a prompt prefix. A runner copies a prefix from another runner's cache,
//!   if hosts have announced it, at a fraction of the cost of computing it again, so requests
//!   with a popular prefix spread by load. A prefix that no runner has cached goes to the runner
//!   that rendezvous hashing selects, the same on all hosts of a zone, until it is cached.
//! - Some runners are slow, or fail part of their requests, while they report that they are
//!   healthy. What this host measures itself counts in the cost.
//! - Many hosts choose at the same time from outdated load reports. Work that was sent but not
//!   yet prefilled therefore counts at once, not when a runner reports it. Reports from other
//!   zones are seconds old, so a runner there counts as at least as busy as the mean of its zone.
//! - Traffic between zones costs money and time. A request leaves its zone only if waiting in the
//!   zone costs more.
//!
//! A runner whose requests would exceed its memory is no candidate, whatever its cost.

use std::time::Duration;

mod memory;
mod room;
mod zones;

use room::Room;
use zones::{LoadEstimate, ZoneLoads};

use super::fleet::software::Version;
use super::fleet::{Fleet, Key, Runner, Way};
use super::latency::{Conditions, Latency, ms};
use super::overload::Patience;
use super::partition::{self, Partition};
use super::prefix::{Holder, Index};
use crate::id::rendezvous_weight;
use crate::time::Moment;

/// Factor on the prefill time of a shared token that has to be computed again, besides the
/// request's own time: it stalls concurrent streams, and evicts cache entries that others then
/// compute again.
const RECOMPUTE_FACTOR: f64 = 20.0;
/// Factor on the prefill time of a token that is copied from another runner.
const COPY_FACTOR: f64 = 2.0;
/// Time after which a prefix sent to a runner is certainly cached there: a fixed part to get into
/// the batch, and a multiple of the prefill time.
const CACHED_AFTER: Duration = Duration::from_millis(50);
const CACHED_AFTER_FACTOR: f64 = 4.0;
/// Delay that each request on a runner causes to the others there, in milliseconds.
const CONTENTION_MS: f64 = 5.0;
/// Price of a kilobyte between zones, in milliseconds of waiting.
const CROSS_ZONE_MS_PER_KB: f64 = 6.0;
/// Price of a zone that may be cut off, in milliseconds of waiting; a connection timeout.
const SILENT_ZONE_MS: f64 = 400.0;
/// Bytes per token of an answer: one event wraps a few tokens.
const BYTES_PER_TOKEN: u64 = 30;
/// Price of a failed request, in milliseconds of waiting.
const FAILURE_MS: f64 = 2_500.0;
/// Failure rate from which a runner of a plain service is chosen last. By chance alone, a runner
/// that fails one request in seven exceeds it in one of thirty estimates.
const MAX_FAILURE_RATE: f64 = 0.4;
/// Maximum extra cost of a runner at which a request is in time, relative to its target.
const MAX_DETOUR: f64 = 2.0;
/// Price of a new connection, in milliseconds of waiting: a runner accepts a few hundred from all
/// hosts together.
const CONNECTION_MS: f64 = 40.0;

plain! {
    /// A segment of a prompt that requests may share.
    #[derive(Copy, Eq)]
    pub struct Segment {
        /// Id of the prefix that ends with this segment.
        pub id: u64,
        /// Length in tokens.
        pub tokens: u64,
    }
}

plain! {
    /// Properties of a request that decide its runner.
    #[derive(Default)]
    pub struct Demand {
        /// Service that runs it.
        pub service: String,
        /// Length of the prompt in tokens; 0 for plain services.
        pub prompt_tokens: u64,
        /// Expected length of the answer in tokens.
        pub output_tokens: u64,
        /// Segments of the prompt in order. The last one belongs to this request alone, unless it
        /// is the only one.
        pub segments: Vec<Segment>,
        /// Size of the request in bytes.
        pub bytes: u64,
        /// Whether the engine can copy cached prefixes from another runner.
        pub copies_prefix: bool,
        /// Whether it may run at most once.
        pub at_most_once: bool,
        /// Whether it is a stream, which may only begin at a registered software version.
        pub is_stream: bool,
        /// Whether its work has been counted as demand for runners, and it was not sent since.
        pub is_counted: bool,
        /// Software version of the only runners that may run it; `None` if any may.
        pub version: Option<Version>,
        /// Way on which it will be sent.
        pub way: Way,
        /// Random number that breaks ties.
        pub random: u64,
    }
}

impl Demand {
    /// Segments that other requests are likely to share: all but the last one.
    fn shared_segments(&self) -> &[Segment] {
        let count = self.segments.len().saturating_sub(1).max(1);
        &self.segments[..count.min(self.segments.len())]
    }

    /// Last segment that other requests are likely to share.
    pub fn shared_prefix(&self) -> Option<Segment> {
        self.shared_segments().last().copied()
    }

    /// Number of tokens that other requests are likely to share.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_segments().iter().map(|segment| segment.tokens).sum()
    }

    /// Prefixes that other requests may share, shortest first: the id of the last segment and the
    /// length in tokens of each.
    pub fn shared_prefixes(&self) -> Vec<(u64, u64)> {
        let mut tokens = 0;
        let prefix = |segment: &Segment| {
            tokens += segment.tokens;
            (segment.id, tokens)
        };
        self.shared_segments().iter().map(prefix).collect()
    }

    /// Whether a runner's software may run it.
    fn allows(&self, now: Moment, runner: &Runner) -> bool {
        match self.version {
            Some(version) => runner.may_continue(now, version),
            None => runner.may_begin(self.is_stream),
        }
    }

    /// Price of sending it to another zone, in milliseconds of waiting.
    fn cross_zone_cost_ms(&self) -> f64 {
        let bytes = self.bytes + self.output_tokens * BYTES_PER_TOKEN;
        bytes as f64 / 1e3 * CROSS_ZONE_MS_PER_KB
    }

    /// KV cache that it occupies when it ends, in tokens.
    pub fn kv_tokens(&self) -> u64 {
        self.prompt_tokens + self.output_tokens
    }
}

plain! {
    /// Runner chosen for a request.
    #[derive(Copy)]
    pub struct Choice {
        /// Key of the runner.
        pub key: Key,
        /// Predicted prefill time, in microseconds.
        pub prefill_us: u64,
        /// Whether the request is expected to be in time there, without delaying others.
        pub in_time: bool,
        /// Whether the prompt counts as long.
        pub is_long: bool,
        /// State of the runner at the time of the choice.
        pub conditions: Conditions,
        /// Number of runners to choose from.
        pub candidates: u32,
        /// Runner from which the chosen one can copy the cached prefix.
        pub source: Option<Key>,
    }
}

plain! {
    /// Result of choosing a runner for a request.
    #[derive(Copy)]
    pub enum Placement {
        /// The request counts on this runner.
        Placed(Choice),
        /// There are runners, but the request would be late on the best one.
        Overloaded {
            /// Number of runners to choose from.
            candidates: u32,
        },
        /// No runner is left.
        NoRunner,
    }
}

/// State that the choice is based on.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// All runners.
    pub fleet: &'a Fleet,
    /// Runners that have each prompt prefix cached.
    pub prefixes: &'a Index,
    /// Latency model of the service.
    pub latency: &'a Latency,
    /// Division of the runners between long and short prompts.
    pub partition: &'a Partition,
    /// Memory of one engine for the requests that it holds, in tokens; `None` if there is no limit.
    pub memory: Option<u64>,
}

/// Result of choosing among the runners that are available.
#[derive(Clone, Copy, Debug)]
pub enum Selection {
    /// A runner that can take the request.
    Runner(Choice),
    /// There are this many runners, but the request exceeds the free memory of each.
    Full(u32),
    /// No runner is available.
    None,
}

impl Selection {
    /// The chosen runner, if any.
    pub fn choice(self) -> Option<Choice> {
        match self {
            Selection::Runner(choice) => Some(choice),
            Selection::Full(_) | Selection::None => None,
        }
    }
}

/// Chooses a runner that is not in `tried`. With `patience`, a runner at which the request is in
/// time goes before a cheaper one at which it is late.
pub fn choose(
    inputs: Inputs<'_>,
    now: Moment,
    demand: &Demand,
    tried: &[Key],
    patience: Option<Patience>,
) -> Selection {
    let available = inputs.fleet.available(now, &demand.service, demand.way);
    let mut eligible: Vec<(Key, &Runner)> = available.collect();
    eligible.retain(|(key, runner)| !tried.contains(key) && demand.allows(now, runner));
    let count = eligible.len() as u32;
    let eligible = inputs.fleet.cleared(now, eligible);
    let eligible = inputs.fleet.with_room(now, &demand.service, eligible);
    let eligible = memory::with_room(inputs.memory, eligible, demand);
    let choice = match demand.prompt_tokens {
        0 => choose_plain(inputs, now, &eligible, demand),
        _ => choose_engine(inputs, now, &eligible, demand, patience),
    };
    match choice {
        Some(choice) => Selection::Runner(Choice {
            candidates: count,
            ..choice
        }),
        None if count > 0 => Selection::Full(count),
        None => Selection::None,
    }
}

/// Chooses a runner for a plain request.
fn choose_plain(
    inputs: Inputs<'_>,
    now: Moment,
    eligible: &[(Key, &Runner)],
    demand: &Demand,
) -> Option<Choice> {
    Some(Choice {
        key: nearest(now, inputs.fleet, eligible, demand)?,
        prefill_us: 0,
        in_time: true,
        is_long: false,
        conditions: Conditions::default(),
        candidates: eligible.len() as u32,
        source: None,
    })
}

/// Chooses an engine for a request with a prompt.
fn choose_engine(
    inputs: Inputs<'_>,
    now: Moment,
    eligible: &[(Key, &Runner)],
    demand: &Demand,
    patience: Option<Patience>,
) -> Option<Choice> {
    let cached = CachedPrefixes::of(inputs, now, demand);
    let shared = demand.shared_tokens();
    // Uses the whole prompt, so that similar requests go to the same runners whatever is cached.
    let is_long = inputs
        .partition
        .is_long(inputs.latency.prefill(demand.prompt_tokens, 0));
    let selected = match cached.has_all(shared) {
        true => None,
        false => rendezvous_runner(inputs, eligible, demand, is_long),
    };
    let median_slowdown = inputs.fleet.median_slowdown(now, &demand.service);
    let zones = ZoneLoads::of(&inputs.fleet.zone, eligible);
    let room = Room::of(demand, eligible);
    let candidates = eligible.iter().map(|(key, runner)| {
        let cached_tokens = cached.cached_tokens(*key);
        let usable_tokens = cached_tokens.max(cached.copyable_tokens(runner));
        let prefill = inputs.latency.prefill(demand.prompt_tokens, usable_tokens);
        let load = zones.estimate(runner);
        let slot_wait = slot_wait(inputs, room.slots(runner), load);
        let recomputed = if selected == Some(*key) { 0 } else { shared - usable_tokens };
        let prefix_cost = COPY_FACTOR * (usable_tokens - cached_tokens) as f64 + RECOMPUTE_FACTOR * recomputed as f64;
        let cost = prefix_cost / 1e3 * inputs.latency.prefill_ms_per_1k()
            // Relative to the median, so that the common slowdown, which the latency model contains,
            // is not counted twice.
            + waiting_ms(inputs, load, prefill, slot_wait) * runner.slowdown / median_slowdown
            + partition::crossing_cost_ms(inputs.partition, is_long, runner.for_long_prompts, f64::from(load.running))
            + FAILURE_MS * runner.failure_rate
            + connection_cost_ms(now, runner, demand)
            + zone_cost_ms(inputs, now, runner, demand);
        Candidate {
            cost,
            key: *key,
            runner,
            load,
            slot_wait,
            prefill,
            usable_tokens,
        }
    });
    let candidates: Vec<Candidate<'_>> = candidates.collect();
    let cheapest = cheapest(candidates.iter())?;
    let in_time = match patience {
        None => Some(cheapest),
        Some(patience) => {
            // A detour that costs others more than the request may wait is none.
            let max_cost = cheapest.cost + MAX_DETOUR * ms(patience.target);
            let is_in_time = |candidate: &&Candidate<'_>| {
                let queued = candidate.load.backlog + candidate.slot_wait;
                candidate.cost <= max_cost && patience.suffices(queued, candidate.prefill)
            };
            self::cheapest(candidates.iter().filter(is_in_time))
        }
    };
    let chosen = in_time.unwrap_or(cheapest);
    Some(Choice {
        key: chosen.key,
        prefill_us: chosen.prefill.as_micros() as u64,
        in_time: in_time.is_some(),
        is_long,
        conditions: Conditions {
            prompt_tokens: demand.prompt_tokens,
            cached_tokens: chosen.usable_tokens,
            backlog: chosen.load.backlog,
            concurrent: chosen.load.running,
            cross_zone: chosen.runner.listed.zone != inputs.fleet.zone,
        },
        candidates: eligible.len() as u32,
        source: cached.source_for(inputs, now, chosen.key),
    })
}

/// A runner that may be chosen, and the cost of choosing it.
struct Candidate<'a> {
    /// Cost in milliseconds.
    cost: f64,
    key: Key,
    runner: &'a Runner,
    load: LoadEstimate,
    /// Time until a slot is free for it.
    slot_wait: Duration,
    /// Predicted prefill time.
    prefill: Duration,
    /// Tokens of the prompt that are cached or can be copied.
    usable_tokens: u64,
}

fn cheapest<'a, 'b>(candidates: impl Iterator<Item = &'b Candidate<'a>>) -> Option<&'b Candidate<'a>>
where
    'a: 'b,
{
    candidates.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// Delay of a request and of the others on a runner, in milliseconds, not counting the
/// runner's slowdown.
fn waiting_ms(inputs: Inputs<'_>, load: LoadEstimate, prefill: Duration, slot_wait: Duration) -> f64 {
    let concurrent = f64::from(load.running);
    ms(load.backlog + prefill + slot_wait) + (CONTENTION_MS + inputs.latency.contention_ms()) * concurrent
}

/// Time until one of a runner's slots is free for one more request.
fn slot_wait(inputs: Inputs<'_>, slots: u32, load: LoadEstimate) -> Duration {
    let excess = load.running.saturating_add(1).saturating_sub(slots);
    inputs.latency.residence() * excess / slots.max(1)
}

/// Cost of reaching a runner's zone, in milliseconds.
fn zone_cost_ms(inputs: Inputs<'_>, now: Moment, runner: &Runner, demand: &Demand) -> f64 {
    let zone = &runner.listed.zone;
    if *zone == inputs.fleet.zone {
        return 0.0;
    }
    let silent = if inputs.fleet.is_zone_silent(now, zone) {
        SILENT_ZONE_MS
    } else {
        0.0
    };
    inputs.latency.cross_zone_ms() + demand.cross_zone_cost_ms() + silent
}

/// How much of a prompt's shared prefix each runner has cached.
struct CachedPrefixes {
    /// Runners and cached tokens, sorted by runner.
    runners: Vec<(Key, u64)>,
    /// Longest prefix that can be copied, in tokens.
    longest: u64,
    /// Runners that certainly have that prefix cached, with their versions, most recently used last.
    sources: Vec<(Key, Version)>,
}

impl CachedPrefixes {
    fn of(inputs: Inputs<'_>, now: Moment, demand: &Demand) -> Self {
        let mut cached = Self {
            runners: Vec::new(),
            longest: 0,
            sources: Vec::new(),
        };
        // Longest prefix first, so that the first entry of a runner is its longest.
        for (id, tokens) in demand.shared_prefixes().into_iter().rev() {
            let holders = inputs.prefixes.holders(now, id);
            let here: Vec<&Holder> = holders
                .filter(|holder| inputs.fleet.has_cached(now, holder.key, holder.since, demand.way))
                .collect();
            for holder in &here {
                if let Err(at) = cached.find(holder.key) {
                    cached.runners.insert(at, (holder.key, tokens));
                }
            }
            if demand.copies_prefix && cached.sources.is_empty() {
                let done = here
                    .iter()
                    .filter(|holder| now.since(holder.since) >= cached_after(inputs.latency, tokens));
                let source = |holder: &&Holder| {
                    Some((holder.key, inputs.fleet.get(holder.key)?.listed.software.version))
                };
                cached.sources = done.filter_map(source).collect();
                cached.longest = if cached.sources.is_empty() { 0 } else { tokens };
            }
        }
        cached
    }

    /// Length of the prefix that a runner can copy, in tokens. Caches are taken to fit runners of the same
    /// version only.
    fn copyable_tokens(&self, runner: &Runner) -> u64 {
        let version = runner.listed.software.version;
        let has_source = self.sources.iter().any(|(_, of_source)| *of_source == version);
        if has_source { self.longest } else { 0 }
    }

    /// Whether any runner has all of it cached or is prefilling it now.
    fn has_all(&self, shared: u64) -> bool {
        self.runners.iter().any(|(_, tokens)| *tokens == shared)
    }

    /// Runner from which to copy what the chosen runner lacks or has evicted.
    ///
    /// A runner in the same zone is preferred: a copy across a network cut delays the request by
    /// a fraction of a second. A runner in another zone is used only for a prefix that the chosen
    /// runner lacks.
    fn source_for(&self, inputs: Inputs<'_>, now: Moment, key: Key) -> Option<Key> {
        let zone = |key: Key| inputs.fleet.get(key).map(|runner| runner.listed.zone.as_str());
        let own = zone(key)?;
        let version = inputs.fleet.get(key)?.listed.software.version;
        let fits = |(source, of_source): &&(Key, Version)| *source != key && *of_source == version;
        let others = self.sources.iter().rev().filter(fits).map(|(source, _)| *source);
        if let Some(same_zone) = others.clone().find(|source| zone(*source) == Some(own)) {
            return Some(same_zone);
        }
        let is_missing = self.cached_tokens(key) < self.longest;
        let is_reachable =
            |source: &Key| zone(*source).is_some_and(|zone| !inputs.fleet.is_zone_silent(now, zone));
        others.filter(|_| is_missing).find(is_reachable)
    }

    fn find(&self, key: Key) -> Result<usize, usize> {
        self.runners.binary_search_by_key(&key, |(have, _)| *have)
    }

    fn cached_tokens(&self, key: Key) -> u64 {
        self.find(key).map_or(0, |at| self.runners[at].1)
    }
}

/// Time after which a prefix sent to a runner is certainly cached there.
fn cached_after(latency: &Latency, tokens: u64) -> Duration {
    CACHED_AFTER + latency.prefill(tokens, 0).mul_f64(CACHED_AFTER_FACTOR)
}

/// Cost of the connection that the request would use, in milliseconds.
fn connection_cost_ms(now: Moment, runner: &Runner, demand: &Demand) -> f64 {
    let has_idle = runner
        .idle
        .is_some_and(|idle| idle.is_usable(now, demand.at_most_once));
    if has_idle { 0.0 } else { CONNECTION_MS }
}

/// Runner that rendezvous hashing selects for the request's shared prefix; the same on all hosts of
/// the zone that have the same list of runners.
///
/// A runner of the callers' zone is preferred, so that later requests with this prefix find it
/// nearby.
fn rendezvous_runner(
    inputs: Inputs<'_>,
    eligible: &[(Key, &Runner)],
    demand: &Demand,
    is_long: bool,
) -> Option<Key> {
    let prefix = demand.shared_prefix()?.id;
    let order = |runner: &Runner| {
        let same_zone = runner.listed.zone == inputs.fleet.zone;
        let matches_kind = runner.for_long_prompts == is_long;
        (same_zone, matches_kind, rendezvous_weight(prefix, runner.hash))
    };
    let selected = eligible.iter().max_by_key(|(_, runner)| order(runner));
    selected.map(|(key, _)| *key)
}

/// Runner for a plain request, which is short: the least loaded one in this zone if it is less than
/// half busy, or else the least loaded one of all.
fn nearest(now: Moment, fleet: &Fleet, eligible: &[(Key, &Runner)], demand: &Demand) -> Option<Key> {
    let same_zone: Vec<(Key, &Runner)> = eligible
        .iter()
        .filter(|(_, runner)| runner.listed.zone == fleet.zone && runner.running() < runner.listed.slots / 2)
        .copied()
        .collect();
    least_loaded(
        now,
        fleet,
        if same_zone.is_empty() {
            eligible
        } else {
            &same_zone
        },
        demand,
    )
}

fn least_loaded(now: Moment, fleet: &Fleet, set: &[(Key, &Runner)], demand: &Demand) -> Option<Key> {
    let order = |key: Key, runner: &Runner| {
        let needs_connection = connection_cost_ms(now, runner, demand) > 0.0;
        let is_failing = runner.failure_rate > MAX_FAILURE_RATE;
        let silent = fleet.is_zone_silent(now, &runner.listed.zone);
        (
            is_failing,
            silent,
            runner.running(),
            needs_connection,
            rendezvous_weight(demand.random, u64::from(key.0)),
        )
    };
    let chosen = set.iter().min_by_key(|(key, runner)| order(*key, runner));
    chosen.map(|(key, _)| *key)
}
