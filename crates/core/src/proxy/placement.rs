//! Which runner a request goes to.
//!
//! Each candidate gets a cost in milliseconds: the time until its first event as runners of
//! the service are known to take, and what others lose by it. The least cost wins. Five
//! patterns are answered:
//!
//! - A long prompt makes short streams beside it pause. Where that harms them, crossing over
//!   to a runner that is kept for the other kind costs what the crossing harms.
//! - Requests about one subject share the beginnings of their prompts. What a runner has
//!   read, as hosts tell each other, another one copies from its memory, which costs a part
//!   of reading it again; so a subject spreads with its load. What none has read goes to a
//!   home that all hosts of a zone compute alike (rendezvous hashing), and stays there until
//!   it is read.
//! - Some runners are slower than they look, or fail part of their requests while they say
//!   that they are well. What a host sees itself counts as cost.
//! - Many hosts choose at once from old news, so the work that was sent and not
//!   yet read counts at once, not when a runner reports it.
//! - Bytes between zones are paid for, and take time. A request leaves its zone when the
//!   runners there would keep it waiting for longer than that is worth.

use std::time::Duration;

use super::fleet::{Fleet, Key, Runner};
use super::latency::{Conditions, Latency, ms};
use super::partition::{self, Partition};
use super::prefix::{Holder, Index};
use crate::id::rendezvous_weight;
use crate::time::Moment;

/// Times that reading a shared token again counts, beside the runner's own time: the
/// streams beside it pause, and what it pushes out of memory is read again by others.
const REREAD: f64 = 20.0;
/// Segment of the time to read a token that copying it from another runner counts.
const COPY: f64 = 2.0;
/// Time after which a beginning that was sent to a runner has surely been read there: a
/// part for its turn in the batch, and a multiple of the time to read it.
const READ: Duration = Duration::from_millis(50);
const READ_TIMES: f64 = 4.0;
/// Milliseconds that each request on a runner costs the others there.
const BESIDE: f64 = 5.0;
/// Milliseconds of waiting that a kilobyte between zones is worth.
const FAR_EACH_KB: f64 = 6.0;
/// Milliseconds of waiting that the way to a zone which may be cut off is worth: the
/// time-out of a connection.
const QUIET: f64 = 400.0;
/// Bytes of an answer for each of its tokens: an event around a few of them.
const ANSWER_BYTES: u64 = 30;
/// Milliseconds of waiting that a failed request is worth.
const FAILURE: f64 = 2_500.0;
/// Segment of failures from which a plain service's runner is taken last; by chance alone a
/// runner that fails one request in seven is above it in one of thirty readings.
const FAILS: f64 = 0.4;
/// Milliseconds of waiting that a new connection is worth: a runner takes a few hundred,
/// from all hosts together.
const CONNECTION: f64 = 40.0;

plain! {
    /// A part of a prompt that requests may share.
    #[derive(Copy, Eq)]
    pub struct Segment {
        /// Its id.
        pub id: u64,
        /// Its length in tokens.
        pub tokens: u64,
    }
}

plain! {
    /// What a request asks of its runner.
    #[derive(Default)]
    pub struct Demand {
        /// Service that is to run it.
        pub service: String,
        /// Tokens of its prompt; 0 for plain services.
        pub prompt: u64,
        /// Tokens of its answer, as expected.
        pub output: u64,
        /// Parts of its prompt in order; the last one is its own where there
        /// are others before it.
        pub segments: Vec<Segment>,
        /// Bytes of the request itself.
        pub bytes: u64,
        /// Whether its runner copies from others what it has not read of the prompt.
        pub copies_prefix: bool,
        /// Whether it may run at most once.
        pub once: bool,
        /// Draw that decides among equals.
        pub draw: u64,
    }
}

impl Demand {
    /// Parts that other requests are likely to share: all but the last one.
    fn shared_parts(&self) -> &[Segment] {
        let count = self.segments.len().saturating_sub(1).max(1);
        &self.segments[..count.min(self.segments.len())]
    }

    /// The deepest part that other requests are likely to share.
    pub fn shared_prefix(&self) -> Option<Segment> {
        self.shared_parts().last().copied()
    }

    /// Tokens that other requests are likely to share.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// The beginnings of the prompt that other requests may share, the shortest first:
    /// the id of the part with which each ends, and its tokens.
    pub fn shared_prefixes(&self) -> Vec<(u64, u64)> {
        let mut tokens = 0;
        let upto = |part: &Segment| {
            tokens += part.tokens;
            (part.id, tokens)
        };
        self.shared_parts().iter().map(upto).collect()
    }

    /// Milliseconds of waiting that its bytes between zones are worth.
    fn far(&self) -> f64 {
        let bytes = self.bytes + self.output * ANSWER_BYTES;
        bytes as f64 / 1e3 * FAR_EACH_KB
    }

    /// Tokens that it holds in a runner's memory to its end.
    pub fn kv_tokens(&self) -> u64 {
        self.prompt + self.output
    }
}

plain! {
    /// A runner for a request.
    #[derive(Copy)]
    pub struct Choice {
        /// The runner.
        pub key: Key,
        /// Time that it takes to read the prompt, in microseconds.
        pub prefill_us: u64,
        /// Whether the prompt counts as long.
        pub is_long: bool,
        /// What the request finds there.
        pub conditions: Conditions,
        /// Runners that it was chosen among.
        pub candidates: u32,
        /// Runner that has read the beginning of the prompt, from which this one copies it.
        pub source: Option<Key>,
    }
}

/// What is known of a service's runners.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// All runners.
    pub fleet: &'a Fleet,
    /// What they have read.
    pub prefixes: &'a Index,
    /// How fast those of the service are.
    pub latency: &'a Latency,
    /// How they are divided.
    pub partition: &'a Partition,
}

/// Chooses a runner, other than those in `tried`.
pub fn choose(known: Inputs<'_>, now: Moment, demand: &Demand, tried: &[Key]) -> Option<Choice> {
    let open: Vec<(Key, &Runner)> = known
        .fleet
        .available(now, &demand.service)
        .filter(|(key, _)| !tried.contains(key))
        .collect();
    let among = open.len() as u32;
    if demand.prompt == 0 {
        let key = nearest(now, known.fleet, &open, demand)?;
        return Some(Choice {
            key,
            prefill_us: 0,
            is_long: false,
            conditions: Conditions::default(),
            candidates: among,
            source: None,
        });
    }
    let read = Read::of(known, now, demand);
    let shared = demand.shared_tokens();
    // By the whole prompt, so that requests of a kind go the same way whatever is kept of them.
    let is_long = known.partition.is_long(known.latency.prefill(demand.prompt, 0));
    let home = match read.is_whole(shared) {
        true => None,
        false => home(known, &open, demand, is_long),
    };
    let usual_lag = known.fleet.median_slowdown(&demand.service);
    let candidates = open.iter().map(|(key, runner)| {
        let kept = read.kept(*key);
        let readable = kept.max(read.longest);
        let work = known.latency.prefill(demand.prompt, readable);
        let anew = if home == Some(*key) { 0 } else { shared - readable };
        let shares = COPY * (readable - kept) as f64 + REREAD * anew as f64;
        let cost = shares / 1e3 * known.latency.prefill_ms_per_1k()
            // Relative to the others, so that it does not count twice what the latency knows.
            + waiting(known, runner, work) * runner.slowdown / usual_lag
            + partition::crossing_cost_ms(known.partition, is_long, runner.for_long_prompts, f64::from(runner.running()))
            + FAILURE * runner.failure_rate
            + connecting(now, runner, demand)
            + way(known, now, runner, demand);
        (cost, *key, *runner, work, readable)
    });
    let (_, key, runner, work, kept) = candidates.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Choice {
        key,
        prefill_us: work.as_micros() as u64,
        is_long,
        conditions: Conditions {
            prompt: demand.prompt,
            cached: kept,
            backlog: runner.backlog(),
            concurrent: runner.running(),
            cross_zone: runner.listed.zone != known.fleet.zone,
        },
        candidates: among,
        source: read.source_for(known, now, key),
    })
}

/// Milliseconds that a request and those beside it wait on a runner, at the usual latency.
fn waiting(known: Inputs<'_>, runner: &Runner, work: Duration) -> f64 {
    let beside = f64::from(runner.running());
    let queued = (runner.running() + 1).saturating_sub(runner.listed.slots);
    let turn = ms(known.latency.residence()) / f64::from(runner.listed.slots.max(1));
    ms(runner.backlog() + work) + (BESIDE + known.latency.contention_ms()) * beside + turn * f64::from(queued)
}

/// Milliseconds that the way to a runner costs.
fn way(known: Inputs<'_>, now: Moment, runner: &Runner, demand: &Demand) -> f64 {
    let zone = &runner.listed.zone;
    if *zone == known.fleet.zone {
        return 0.0;
    }
    let quiet = if known.fleet.is_zone_silent(now, zone) {
        QUIET
    } else {
        0.0
    };
    known.latency.cross_zone_ms() + demand.far() + quiet
}

/// How much of a prompt's beginning runners have read.
struct Read {
    /// Runners and tokens, sorted by runner.
    runners: Vec<(Key, u64)>,
    /// Most tokens that any has read.
    longest: u64,
    /// Runners that have surely read so many, the one that was used last at the end.
    sources: Vec<Key>,
}

impl Read {
    fn of(known: Inputs<'_>, now: Moment, demand: &Demand) -> Self {
        let mut read = Self {
            runners: Vec::new(),
            longest: 0,
            sources: Vec::new(),
        };
        // The deepest part goes first, so that a runner's first entry is its longest.
        for (id, tokens) in demand.shared_prefixes().into_iter().rev() {
            let holders = known.prefixes.holders(now, id);
            let here: Vec<&Holder> = holders
                .filter(|holder| known.fleet.has_cached(now, holder.key, holder.since))
                .collect();
            for holder in &here {
                if let Err(at) = read.find(holder.key) {
                    read.runners.insert(at, (holder.key, tokens));
                }
            }
            if demand.copies_prefix && read.sources.is_empty() {
                let done = here
                    .iter()
                    .filter(|holder| now.since(holder.since) >= read_after(known.latency, tokens));
                read.sources = done.map(|holder| holder.key).collect();
                read.longest = if read.sources.is_empty() { 0 } else { tokens };
            }
        }
        read
    }

    /// Whether any runner has read all of it, or is just reading it.
    fn is_whole(&self, shared: u64) -> bool {
        self.runners.iter().any(|(_, tokens)| *tokens == shared)
    }

    /// Where a runner may copy what it does not have, or no longer has.
    ///
    /// One of its own zone, if any has it: a copy that is asked for across a cut keeps the
    /// request waiting for a part of a second. Another zone's only for what the runner lacks.
    fn source_for(&self, known: Inputs<'_>, now: Moment, key: Key) -> Option<Key> {
        let zone = |key: Key| known.fleet.get(key).map(|runner| runner.listed.zone.as_str());
        let own = zone(key)?;
        let others = self.sources.iter().rev().copied().filter(|source| *source != key);
        if let Some(near) = others.clone().find(|source| zone(*source) == Some(own)) {
            return Some(near);
        }
        let lacks = self.kept(key) < self.longest;
        let reached = |source: &Key| zone(*source).is_some_and(|zone| !known.fleet.is_zone_silent(now, zone));
        others.filter(|_| lacks).find(reached)
    }

    fn find(&self, key: Key) -> Result<usize, usize> {
        self.runners.binary_search_by_key(&key, |(have, _)| *have)
    }

    fn kept(&self, key: Key) -> u64 {
        self.find(key).map_or(0, |at| self.runners[at].1)
    }
}

/// Time after which a beginning that was sent to a runner has surely been read there.
fn read_after(latency: &Latency, tokens: u64) -> Duration {
    READ + latency.prefill(tokens, 0).mul_f64(READ_TIMES)
}

/// Milliseconds that the connection which the request would need is worth.
fn connecting(now: Moment, runner: &Runner, demand: &Demand) -> f64 {
    let warm = runner.idle.is_some_and(|idle| idle.is_usable(now, demand.once));
    if warm { 0.0 } else { CONNECTION }
}

/// The subject's home: the same on every host of the zone that knows the same runners.
///
/// It is in the callers' zone, so that those who ask about it later find it near.
fn home(known: Inputs<'_>, open: &[(Key, &Runner)], demand: &Demand, is_long: bool) -> Option<Key> {
    let subject = demand.shared_prefix()?.id;
    let order = |runner: &Runner| {
        let near = runner.listed.zone == known.fleet.zone;
        let fits = runner.for_long_prompts == is_long;
        (near, fits, rendezvous_weight(subject, runner.hash))
    };
    let home = open.iter().max_by_key(|(_, runner)| order(runner));
    home.map(|(key, _)| *key)
}

/// Plain requests are short: one of this zone with a free slot, else any.
fn nearest(now: Moment, fleet: &Fleet, open: &[(Key, &Runner)], demand: &Demand) -> Option<Key> {
    let near: Vec<(Key, &Runner)> = open
        .iter()
        .filter(|(_, runner)| runner.listed.zone == fleet.zone && runner.running() < runner.listed.slots / 2)
        .copied()
        .collect();
    least(now, fleet, if near.is_empty() { open } else { &near }, demand)
}

fn least(now: Moment, fleet: &Fleet, set: &[(Key, &Runner)], demand: &Demand) -> Option<Key> {
    let order = |key: Key, runner: &Runner| {
        let cold = connecting(now, runner, demand) > 0.0;
        let fails = runner.failure_rate > FAILS;
        let quiet = fleet.is_zone_silent(now, &runner.listed.zone);
        (
            fails,
            quiet,
            runner.running(),
            cold,
            rendezvous_weight(demand.draw, u64::from(key.0)),
        )
    };
    let chosen = set.iter().min_by_key(|(key, runner)| order(*key, runner));
    chosen.map(|(key, _)| *key)
}
