//! Which streams are copied while they run, and to which runner.
//!
//! A runner sends the KV cache of a stream to another runner as it grows. If the first runner crashes, the stream
//! continues at the second one without a prefill. The copies of a runner go over its link one after the other, and
//! prompt prefixes that other runners need queue behind them.

use std::net::SocketAddr;
use std::time::Duration;

use super::super::fleet::software::Version;
use super::super::fleet::{Fleet, Key, Runner, Way};
use super::super::partition;
use super::super::route::{Engine, Mode};
use super::super::{Admission, State};
use crate::id::rendezvous_weight;
use crate::time::Moment;

/// Divisor of the shortest allowed pause: the copies of all slots of a runner may take this part of it on the link.
const GAP_DIVISOR: f64 = 25.0;
/// Share of a runner's memory that its known requests and copies may fill together. Copies yield to running work.
const MAX_FILL: f64 = 0.5;
/// Number of runners that rendezvous hashing draws for a stream. Hosts that all chose the runner with the most free
/// memory would choose the same one between two reports.
const DRAWN: usize = 4;

plain! {
    /// A stream that is about to be sent to a runner.
    #[derive(Copy)]
    pub struct Stream {
        /// Runner that it is sent to.
        pub source: Key,
        /// Software version of that runner.
        pub version: Version,
        /// Way on which this host reaches the service.
        pub way: Way,
        /// Length of the prompt in tokens.
        pub prompt_tokens: u64,
        /// KV cache that it occupies when it ends, in tokens.
        pub kv_tokens: u64,
        /// Hash of the request's id.
        pub hash: u64,
    }
}

plain! {
    /// The runner that holds the copy of a stream.
    #[derive(Copy, Eq)]
    pub struct Holder {
        /// Key of the runner.
        pub key: Key,
        /// Its address.
        pub address: SocketAddr,
        /// Memory that the copy occupies there when the stream ends, in tokens.
        pub kv_tokens: u64,
    }
}

plain! {
    /// Why a stream is not copied.
    #[derive(Copy, Eq)]
    pub enum Denial {
        /// Its route or its engine has no copies.
        NotOffered,
        /// The copies would occupy the link for too long.
        TooLarge,
        /// No other runner has room for the copy.
        NoRoom,
    }
}

/// Whether the copies of all slots of a runner, each of a prompt of this length, leave enough of its link to others.
/// `shortest_gap` is the shortest pause that any route of the service allows.
pub fn is_affordable(engine: &Engine, prompt_tokens: u64, shortest_gap: Duration) -> bool {
    if engine.link_mbps <= 0.0 || engine.token_bytes <= 0.0 {
        return false;
    }
    let bits = f64::from(engine.slots) * prompt_tokens as f64 * engine.token_bytes * 8.0;
    bits / (engine.link_mbps * 1e6) <= shortest_gap.as_secs_f64() / GAP_DIVISOR
}

impl State {
    /// Chooses the runner that holds the copy of a stream, and counts the copy there.
    ///
    /// # Errors
    ///
    /// Why the stream is not copied.
    pub fn place_copy(
        &mut self,
        now: Moment,
        admission: &Admission,
        stream: &Stream,
    ) -> Result<Holder, Denial> {
        if admission.route.mode != (Mode::Stream { resumable: false }) {
            return Err(Denial::NotOffered);
        }
        let table = self.table.as_deref().ok_or(Denial::NotOffered)?;
        let service = &admission.service;
        let engine = table.service(service).and_then(|service| service.engine);
        let engine = engine
            .filter(|engine| engine.offers_copies)
            .ok_or(Denial::NotOffered)?;
        let shortest_gap = partition::allowed_event_gap(table, service);
        if !is_affordable(&engine, stream.prompt_tokens, shortest_gap) {
            return Err(Denial::TooLarge);
        }
        let holder = choose(&self.fleet, now, service, engine.kv_tokens, stream).ok_or(Denial::NoRoom)?;
        self.fleet.start_copy(holder.key, holder.kv_tokens);
        Ok(holder)
    }
}

/// Chooses the runner that holds the copy of a stream; `memory` is that of one engine, in tokens.
///
/// A runner in another zone is preferred, because the reclaimable runners of a zone leave together.
pub fn choose(fleet: &Fleet, now: Moment, service: &str, memory: u64, stream: &Stream) -> Option<Holder> {
    let source_zone = &fleet.get(stream.source)?.listed.zone;
    let max_filled = (memory as f64 * MAX_FILL) as u64;
    let available = fleet.available(now, service, stream.way).collect();
    let (mut elsewhere, mut nearby) = (Drawn::default(), Drawn::default());
    for (key, runner) in fleet.cleared(now, available) {
        let has_room = runner.kv_tokens().saturating_add(stream.kv_tokens) <= max_filled;
        if key == stream.source || !has_room || runner.known_version() != Some(stream.version) {
            continue;
        }
        let drawn = match runner.listed.zone == *source_zone {
            true => &mut nearby,
            false => &mut elsewhere,
        };
        drawn.add(rendezvous_weight(stream.hash, runner.hash), key, runner);
    }
    let (key, runner) = elsewhere.emptiest().or_else(|| nearby.emptiest())?;
    Some(Holder {
        key,
        address: runner.listed.address,
        kv_tokens: stream.kv_tokens,
    })
}

/// The runners with the highest weights for one stream.
#[derive(Default)]
struct Drawn<'a> {
    runners: [Option<(u64, Key, &'a Runner)>; DRAWN],
}

impl<'a> Drawn<'a> {
    /// Adds a runner, if its weight is among the highest.
    fn add(&mut self, weight: u64, key: Key, runner: &'a Runner) {
        let weight_of = |drawn: &Option<(u64, Key, &Runner)>| drawn.map(|(weight, _, _)| weight);
        let lowest = self.runners.iter_mut().min_by_key(|drawn| weight_of(drawn));
        if let Some(lowest) = lowest.filter(|lowest| weight_of(lowest) < Some(weight)) {
            *lowest = Some((weight, key, runner));
        }
    }

    /// The one with the most free memory; of equal ones, the one with the highest weight.
    fn emptiest(&self) -> Option<(Key, &'a Runner)> {
        let drawn = self.runners.iter().flatten();
        let emptiest = drawn.min_by_key(|(weight, _, runner)| (runner.kv_tokens(), u64::MAX - weight));
        emptiest.map(|(_, key, runner)| (*key, *runner))
    }
}
