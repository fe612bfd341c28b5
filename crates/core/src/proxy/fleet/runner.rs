//! One runner: its entry in the store and the state that this host has observed.

use std::net::SocketAddr;
use std::time::Duration;

use super::super::latency::ms;
use super::software::{Belief, Software};
use super::{brittle, cold, holdoff, leaving};
use crate::time::Moment;

/// Weight of the newest answer in the failure rate. A host sees an answer of a runner every two
/// seconds, and partial failures last for some seconds.
const FAILURE_WEIGHT: f64 = 0.25;
/// Time without contact after which a runner is silent.
const SILENT_AFTER: Duration = Duration::from_millis(300);
/// Weight of the newest answer in the slowdown, and limits of the ratio of a single answer.
const SLOWDOWN_WEIGHT: f64 = 0.1;
const MIN_SLOWDOWN: f64 = 0.3;
const MAX_SLOWDOWN: f64 = 6.0;

plain! {
    /// Whether a runner accepts new requests.
    #[derive(Copy, Eq)]
    pub enum Stage {
        /// It accepts new requests.
        Ready,
        /// It is shutting down and only finishes its requests.
        Draining,
    }
}

plain! {
    /// A runner's entry in the store.
    pub struct Listed {
        /// Unique id; requests name it because addresses are reused.
        pub id: String,
        /// Service that it runs.
        pub service: String,
        /// Address that it listens on.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: String,
        /// Whether it accepts new requests.
        pub stage: Stage,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Whether it is a cheaper runner that can be reclaimed.
        pub reclaimable: bool,
        /// Start time in milliseconds since the Unix epoch; 0 if unknown.
        pub started_ms: u64,
        /// Software that it runs.
        pub software: Software,
        /// Store version of the entry.
        pub version: u64,
        /// How long it stays cold after the entry was written; zero if it is warm.
        pub cold_for: Duration,
        /// Time left when the entry was written until the runner is reclaimed; `None` if it is not
        /// being reclaimed.
        pub leaves_after: Option<Duration>,
    }
}

plain! {
    /// Result of an attempt at a runner, as far as it concerns the runner's health.
    #[derive(Copy, Eq)]
    pub enum AttemptResult {
        /// The runner answered.
        Succeeded,
        /// The runner answered with an error of its own.
        Failed,
        /// The runner refused the request because it was full.
        Full,
        /// No connection could be established.
        Unreachable,
        /// The runner went silent, and the network path to it is down.
        PathLost,
        /// The answer ended early or was malformed.
        Broken,
        /// Nothing more of the answer came, and its connection stayed open.
        Silent,
        /// Another instance answered at the runner's address.
        Replaced,
    }
}

plain! {
    /// Way on which requests are sent to a runner.
    #[derive(Copy, Default, Eq)]
    pub enum Way {
        /// This host connects to it.
        #[default]
        Direct,
        /// A peer connects to it for this host.
        Relayed,
    }
}

plain! {
    /// Failures in a row, and the pause after them.
    #[derive(Copy, Default, Eq)]
    pub(super) struct Backoff {
        pub(super) retry_at: Moment,
        pub(super) failures: u32,
        /// When an answer that ended early was last counted.
        pub(super) broken_at: Moment,
    }
}

plain! {
    /// What a request that waits for its answer should do about its runner's silence.
    #[derive(Copy, Eq)]
    pub enum Liveness {
        /// The runner was heard recently; check again after this time.
        Recent(Duration),
        /// The runner has been silent for long; check whether it can be reached.
        Silent,
        /// The path to the runner was down at some time after the request was sent.
        PathLost,
    }
}

plain! {
    /// An idle connection.
    #[derive(Copy)]
    pub struct Idle {
        /// When it became idle.
        pub since: Moment,
        /// How long the runner keeps it open.
        pub keep_alive: Duration,
    }
}

/// Safety margin of the runner's idle timeout: its timer starts when it writes the answer, and
/// the next request takes some time to arrive.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);
/// Divisor of the idle timeout: after a third of it, a request that may run at most once gets a
/// new connection. The runner may close the old one just then, and it would be unknown whether the
/// request ran.
const ONCE_DIVISOR: u32 = 3;

impl Idle {
    /// Whether a request may be sent on it; `once` if the request may run at most once.
    pub fn is_usable(&self, now: Moment, once: bool) -> bool {
        let safe = self.keep_alive.saturating_sub(KEEP_ALIVE_MARGIN);
        let limit = match once {
            true => safe.min(self.keep_alive / ONCE_DIVISOR),
            false => safe,
        };
        now.since(self.since) < limit
    }
}

plain! {
    /// Load that hosts have put on a runner.
    #[derive(Copy, Default, Eq)]
    pub struct Load {
        /// Requests that run or wait there.
        pub running: u32,
        /// Prefill work that is not done yet, in microseconds.
        pub prefill_us: u64,
        /// KV cache that the requests occupy when they end and that copies of streams occupy, in tokens.
        pub kv_tokens: u64,
    }
}

impl Load {
    /// Sum of two loads.
    pub fn plus(self, other: Self) -> Self {
        Self {
            running: self.running.saturating_add(other.running),
            prefill_us: self.prefill_us.saturating_add(other.prefill_us),
            kv_tokens: self.kv_tokens.saturating_add(other.kv_tokens),
        }
    }

    /// Rest of a load without a part of it.
    pub fn minus(self, part: Self) -> Self {
        Self {
            running: self.running.saturating_sub(part.running),
            prefill_us: self.prefill_us.saturating_sub(part.prefill_us),
            kv_tokens: self.kv_tokens.saturating_sub(part.kv_tokens),
        }
    }
}

plain! {
    /// One runner.
    pub struct Runner {
        /// Entry in the store.
        pub listed: Listed,
        /// Hash of its id; identifies it in packets between hosts.
        pub hash: u64,
        /// Load that this host has put on it.
        pub local_load: Load,
        /// Load of this host that other hosts were last told.
        pub(super) reported_load: Load,
        /// Load that other hosts reported.
        pub peer_load: Load,
        /// Moving average of failed answers to this host, from 0 to 1.
        pub failure_rate: f64,
        /// Ratio of its latency to that of its service's runners; 1 if equal.
        pub slowdown: f64,
        /// Whether it is reserved for long prompts, which would stall short streams.
        pub for_long_prompts: bool,
        /// Idle connection that would be used next.
        pub idle: Option<Idle>,
        /// When it stops counting as present because its entry is missing.
        pub(super) gone_at: Option<Moment>,
        /// When the last list was sent that had it.
        pub(super) listed_at: Moment,
        pub(super) replaced: bool,
        pub(super) retry_at: Moment,
        pub(super) failures: u32,
        /// Failures to reach it through peers.
        pub(super) relayed: Backoff,
        /// Its room, if it is brittle.
        pub(super) room: brittle::Room,
        /// Whether the other hosts have yet to be told that it has rejected a request.
        pub(super) has_rejected: bool,
        /// Rate that it takes from all hosts together.
        pub(super) rate: super::rate::State,
        /// Time for which it wants nothing from this host.
        pub(super) hold_off: holdoff::State,
        /// What answers say about whether it shuts down.
        pub(super) leaving: leaving::State,
        /// Hash of its zone's name.
        pub(super) zone_hash: u64,
        /// Start of the current process as first seen; a new process has an empty cache.
        pub(super) first_seen: Moment,
        /// When it was last heard or probed.
        pub(super) last_contact: Moment,
        /// When the path to it was last found to be down.
        pub(super) path_lost_at: Option<Moment>,
        /// When it last fell silent amid an answer, if it was not heard since.
        pub(super) stalled_at: Option<Moment>,
        /// Whether its entry tells the software of its process.
        pub(super) belief: Belief,
        /// Whether streams may begin at its version.
        pub(super) is_registered: bool,
        /// Its cold start.
        pub(super) cold: cold::State,
        /// Whether the operator has evacuated its zone.
        pub(super) evacuated: bool,
    }
}

impl Runner {
    /// Whether it can be sent new requests on a way.
    pub fn is_available(&self, now: Moment, way: Way) -> bool {
        let retry_at = match way {
            Way::Direct => self.retry_at,
            Way::Relayed => self.relayed.retry_at,
        };
        self.is_listed(now) && now.reached(retry_at)
    }

    /// Whether it accepts new requests according to the list and its answers, and its zone is not evacuated.
    pub fn is_listed(&self, now: Moment) -> bool {
        self.is_present(now) && !self.replaced && !self.evacuated && !self.is_shutting_down()
    }

    /// Whether it is listed, or may be listed again after an outage of the store.
    pub(super) fn is_present(&self, now: Moment) -> bool {
        self.gone_at.is_none_or(|gone_at| !now.reached(gone_at))
    }

    /// Whether it was not heard lately, so that its open connections may be dead.
    pub fn is_silent(&self, now: Moment) -> bool {
        now.since(self.last_contact) >= SILENT_AFTER
    }

    pub(super) fn record_result(&mut self, failed: bool) {
        self.failure_rate += FAILURE_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
    }

    /// Requests on it from all known hosts.
    pub fn running(&self) -> u32 {
        self.local_load.running.saturating_add(self.peer_load.running)
    }

    /// Prefill work queued on it by all known hosts, at the speed of its service.
    pub fn backlog(&self) -> Duration {
        Duration::from_micros(
            self.local_load
                .prefill_us
                .saturating_add(self.peer_load.prefill_us),
        )
    }

    /// Whether this host has at least that much prefill work queued on it.
    pub fn is_prefilling(&self, minimum: Duration) -> bool {
        Duration::from_micros(self.local_load.prefill_us) >= minimum
    }

    /// Updates the slowdown by the measured and the predicted time of one answer.
    ///
    /// A slow engine reports that it is healthy, and its queue looks as short as those of the
    /// others.
    pub fn record_slowdown(&mut self, elapsed: Duration, expected: Duration) {
        let ratio = ms(elapsed) / ms(expected).max(1.0);
        self.slowdown += SLOWDOWN_WEIGHT * (ratio.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN) - self.slowdown);
    }

    /// KV cache that all known requests occupy when they end, in tokens.
    pub fn kv_tokens(&self) -> u64 {
        self.local_load.kv_tokens.saturating_add(self.peer_load.kv_tokens)
    }
}
