//! Which runner a request goes to.
//!
//! Each candidate gets a cost, counted in prompt tokens that an engine reads in
//! the time that would be lost; the least cost wins. Four patterns are
//! answered:
//!
//! - A long prompt is read in chunks between the tokens of all requests beside
//!   it and makes short streams pause. A part of each zone's runners is kept for
//!   long prompts, and crossing over costs what the crossing harms.
//! - Requests about one subject share the beginnings of their prompts. What a runner has
//!   read, as hosts tell each other, another one copies from its memory, which costs a
//!   sixteenth of reading it again; so a subject spreads with its load. What none has
//!   read goes to a home that all hosts compute alike (rendezvous hashing), and stays
//!   there until it is read.
//! - Some runners fail part of their requests while they say that they are well, and
//!   are done with them sooner than sound ones, so that more requests went there. What
//!   a host sees itself counts as cost.
//! - Many hosts choose at once from old news, so the work that was sent and not
//!   yet read counts at once, not when a runner reports it.

use std::time::Duration;

use super::fleet::{Fleet, Key, Runner};
use super::memory::{Memory, Place};
use crate::id::weight;
use crate::time::Moment;

/// Prompt tokens from which a prompt counts as long. On the users' two sites the
/// classes lie on either side of it: means of 800 and 2,400 tokens below,
/// 12,000 above.
pub const LONG: u64 = 3_500;
/// Part of a zone's runners that is kept for long prompts.
const LONG_PART: f64 = 0.7;
/// Tokens at which reading in the context of a prompt doubles its cost: both
/// sites' engines read about 65 tokens a millisecond and spend 0.65 ms on a
/// million pairs of tokens.
const QUADRATIC: f64 = 48_000.0;
/// Cost of a shared token that is read again, in tokens: the operators price a
/// thousand of them like a fifth of a mean long request, which is late after
/// 2.5 s, the time for 160,000 tokens.
const REREAD: f64 = 20.0;
/// Cost of a shared token that is copied from a runner that has read it, in tokens: a
/// copy of a thousand takes 1.2 ms, and the operators price it like the sixteenth part of
/// reading them again.
const COPY: f64 = 1.3;
/// Time after which a beginning that was sent to a runner has surely been read there: a
/// part for its turn in the batch, and one for each token.
const READ: Duration = Duration::from_millis(50);
const READ_EACH: Duration = Duration::from_micros(60);
/// Cost of each request that runs on a runner already, in tokens: it slows the
/// steps of the others by a few milliseconds over their life.
const BESIDE: f64 = 300.0;
/// Cost of a long prompt on a runner kept for short ones, in tokens (0.9 s),
/// and for each request there that it makes pause.
const CROSS_LONG: f64 = 60_000.0;
const CROSS_LONG_EACH: f64 = 5_000.0;
/// Cost of a short prompt on a runner kept for long ones, in tokens (0.4 s):
/// about the pause that a long prompt beside it causes.
const CROSS_SHORT: f64 = 25_000.0;

/// Cost of a failure, in tokens, for a request that the runner is sure to fail: a
/// mean long request is worth little after the time for as many.
const FAILURE: f64 = 160_000.0;
/// Part of failures from which a plain service's runner is taken last. One in seven
/// look-ups fails at sound runners of the users' services; by chance a sound one is
/// above this in one of thirty readings.
const FAILS: f64 = 0.4;

/// Cost of a new connection to a runner, in tokens: it takes a millisecond, and
/// the operators price twenty-five of them like a short request.
const CONNECTION: f64 = 2_500.0;

plain! {
    /// A part of a prompt that requests may share.
    #[derive(Copy, Eq)]
    pub struct Part {
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
        pub parts: Vec<Part>,
        /// Whether its runner copies from others what it has not read of the prompt.
        pub copies: bool,
        /// Whether it may run at most once.
        pub once: bool,
        /// Draw that decides among equals.
        pub draw: u64,
    }
}

impl Demand {
    /// Parts that other requests are likely to share: all but the last one.
    fn shared_parts(&self) -> &[Part] {
        let count = self.parts.len().saturating_sub(1).max(1);
        &self.parts[..count.min(self.parts.len())]
    }

    /// The deepest part that other requests are likely to share.
    pub fn subject(&self) -> Option<Part> {
        self.shared_parts().last().copied()
    }

    /// Tokens that other requests are likely to share.
    pub fn shared(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// The beginnings of the prompt that other requests may share, the shortest first:
    /// the id of the part with which each ends, and its tokens.
    pub fn beginnings(&self) -> Vec<(u64, u64)> {
        let mut tokens = 0;
        let upto = |part: &Part| {
            tokens += part.tokens;
            (part.id, tokens)
        };
        self.shared_parts().iter().map(upto).collect()
    }

    /// Whether it counts as long.
    pub fn is_long(&self) -> bool {
        self.prompt >= LONG
    }

    /// Tokens that it holds in a runner's memory to its end.
    pub fn held(&self) -> u64 {
        self.prompt + self.output
    }
}

plain! {
    /// A runner for a request.
    #[derive(Copy)]
    pub struct Choice {
        /// The runner.
        pub key: Key,
        /// Work that the prompt is for it, in tokens.
        pub work: u64,
        /// Runners that it was chosen among.
        pub among: u32,
        /// Runner that has read the beginning of the prompt, from which this one copies it.
        pub source: Option<Key>,
    }
}

/// Divides each zone's runners of a service between long and short prompts,
/// the same way on every host.
pub fn part(runners: &mut [Runner]) {
    let mut order: Vec<usize> = (0..runners.len()).filter(|at| runners[*at].is_listed()).collect();
    let group = |runner: &Runner| (runner.listed.service.clone(), runner.listed.zone.clone());
    order.sort_by_cached_key(|at| (group(&runners[*at]), runners[*at].hash));
    let mut rest = order.as_slice();
    while let Some(first) = rest.first() {
        let key = group(&runners[*first]);
        let size = rest.iter().take_while(|at| group(&runners[**at]) == key).count();
        let (zone, tail) = rest.split_at(size);
        // The last one of a zone serves both.
        let long = ((size as f64 * LONG_PART).round() as usize).min(size - 1);
        for (rank, at) in zone.iter().enumerate() {
            runners[*at].long = rank < long;
        }
        rest = tail;
    }
}

/// Chooses a runner, other than those in `tried`.
pub fn choose(fleet: &Fleet, memory: &Memory, now: Moment, demand: &Demand, tried: &[Key]) -> Option<Choice> {
    let open: Vec<(Key, &Runner)> = fleet
        .open(now, &demand.service)
        .filter(|(key, _)| !tried.contains(key))
        .collect();
    let among = open.len() as u32;
    if demand.prompt == 0 {
        let key = nearest(now, fleet, &open, demand)?;
        return Some(Choice {
            key,
            work: 0,
            among,
            source: None,
        });
    }
    let read = Read::of(fleet, memory, now, demand);
    let shared = demand.shared();
    let home = if read.is_whole(shared) {
        None
    } else {
        home(&open, demand)
    };
    let candidates = open.iter().map(|(key, runner)| {
        let kept = read.kept(*key);
        let known = kept.max(read.longest);
        let work = work(demand.prompt, known);
        let anew = if home == Some(*key) { 0 } else { shared - known };
        let copied = known - kept;
        let cost = cost(now, runner, demand, work) + COPY * copied as f64 + REREAD * anew as f64;
        (cost, *key, work as u64)
    });
    let least = candidates.min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Choice {
        key: least.1,
        work: least.2,
        among,
        source: read.source_for(least.1),
    })
}

/// Time after which a beginning that was sent to a runner has surely been read there.
fn read_after(tokens: u64) -> Duration {
    READ + READ_EACH * u32::try_from(tokens).unwrap_or(u32::MAX)
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
    fn of(fleet: &Fleet, memory: &Memory, now: Moment, demand: &Demand) -> Self {
        let mut read = Self {
            runners: Vec::new(),
            longest: 0,
            sources: Vec::new(),
        };
        // The deepest part goes first, so that a runner's first entry is its longest.
        for (id, tokens) in demand.beginnings().into_iter().rev() {
            let places = memory.places(now, id);
            let here: Vec<&Place> = places.filter(|place| fleet.keeps(now, place)).collect();
            for place in &here {
                if let Err(at) = read.find(place.key) {
                    read.runners.insert(at, (place.key, tokens));
                }
            }
            if demand.copies && read.sources.is_empty() {
                let done = here
                    .iter()
                    .filter(|place| now.since(place.since) >= read_after(tokens));
                read.sources = done.map(|place| place.key).collect();
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
    fn source_for(&self, key: Key) -> Option<Key> {
        self.sources.iter().rev().find(|source| **source != key).copied()
    }

    fn find(&self, key: Key) -> Result<usize, usize> {
        self.runners.binary_search_by_key(&key, |(have, _)| *have)
    }

    fn kept(&self, key: Key) -> u64 {
        self.find(key).map_or(0, |at| self.runners[at].1)
    }
}

/// Work to read a prompt of which the first `kept` tokens are in memory.
fn work(prompt: u64, kept: u64) -> f64 {
    let whole = |tokens: u64| tokens as f64 * (1.0 + tokens as f64 / (2.0 * QUADRATIC));
    whole(prompt) - whole(kept.min(prompt))
}

fn cost(now: Moment, runner: &Runner, demand: &Demand, work: f64) -> f64 {
    let beside = f64::from(runner.load());
    let crossing = match (demand.is_long(), runner.long) {
        (true, false) => CROSS_LONG + CROSS_LONG_EACH * beside,
        (false, true) => CROSS_SHORT,
        _ => 0.0,
    };
    let failing = FAILURE * runner.failing;
    runner.backlog() as f64 + work + BESIDE * beside + crossing + failing + connecting(now, runner, demand)
}

/// Cost of the connection that the request would need.
fn connecting(now: Moment, runner: &Runner, demand: &Demand) -> f64 {
    let warm = runner.idle.is_some_and(|idle| idle.is_usable(now, demand.once));
    if warm { 0.0 } else { CONNECTION }
}

/// The subject's home: the same on every host that knows the same runners.
fn home(open: &[(Key, &Runner)], demand: &Demand) -> Option<Key> {
    let subject = demand.subject()?.id;
    let rank = |runner: &Runner| weight(subject, runner.hash);
    let long = demand.is_long();
    let fits = |runner: &&(Key, &Runner)| runner.1.long == long;
    let kept = open.iter().filter(fits).max_by_key(|(_, runner)| rank(runner));
    let any = || open.iter().max_by_key(|(_, runner)| rank(runner));
    kept.or_else(any).map(|(key, _)| *key)
}

/// Plain requests are short: one of this zone with a free slot, else any.
fn nearest(now: Moment, fleet: &Fleet, open: &[(Key, &Runner)], demand: &Demand) -> Option<Key> {
    let near: Vec<(Key, &Runner)> = open
        .iter()
        .filter(|(_, runner)| runner.listed.zone == fleet.zone && runner.load() < runner.listed.slots / 2)
        .copied()
        .collect();
    least(now, if near.is_empty() { open } else { &near }, demand)
}

fn least(now: Moment, set: &[(Key, &Runner)], demand: &Demand) -> Option<Key> {
    let order = |key: Key, runner: &Runner| {
        let cold = connecting(now, runner, demand) > 0.0;
        let fails = runner.failing > FAILS;
        (fails, runner.load(), cold, weight(demand.draw, u64::from(key.0)))
    };
    let chosen = set.iter().min_by_key(|(key, runner)| order(*key, runner));
    chosen.map(|(key, _)| *key)
}
