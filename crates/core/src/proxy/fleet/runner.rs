//! One runner, as the store lists it and as this host saw it.

use std::net::SocketAddr;
use std::time::Duration;

use super::super::latency::ms;
use crate::time::Moment;

/// Weight of the newest answer in the part of failures: a host sees an answer of a
/// runner every other second, and grey runners are grey for some seconds.
const NEWEST: f64 = 0.25;
/// Weight of the newest answer in how far a runner lags behind, and bounds of one answer.
const LAG_NEWEST: f64 = 0.1;
const LAG_LEAST: f64 = 0.3;
const LAG_MOST: f64 = 6.0;

plain! {
    /// Whether a runner takes new work.
    #[derive(Copy, Eq)]
    pub enum Stage {
        /// It does.
        Ready,
        /// It is about to leave.
        Draining,
    }
}

plain! {
    /// A runner as the store lists it.
    pub struct Listed {
        /// Its id; requests name it, as addresses are used again.
        pub id: String,
        /// Service that it runs.
        pub service: String,
        /// Where it listens.
        pub address: SocketAddr,
        /// Availability zone.
        pub zone: String,
        /// Whether it takes new work.
        pub stage: Stage,
        /// Requests it runs at once.
        pub slots: u32,
        /// Whether it is cheap and can be taken away.
        pub reclaimable: bool,
        /// Start in milliseconds since the Unix epoch; 0 if not told.
        pub started_ms: u64,
    }
}

plain! {
    /// How an attempt at a runner ended, as far as its health is concerned.
    #[derive(Copy, Eq)]
    pub enum Attempt {
        /// It answered.
        Succeeded,
        /// It answered with a failure of its own.
        Failed,
        /// It said that it was full.
        Full,
        /// No connection to it came about.
        Unreachable,
        /// It fell silent, and the path to it is cut.
        PathLost,
        /// It broke off, or its answer was not one.
        Broken,
        /// Another instance answered at its address.
        Replaced,
    }
}

plain! {
    /// What a request that waits for its answer makes of its runner's silence.
    #[derive(Copy, Eq)]
    pub enum Liveness {
        /// The runner said something lately; look again after this time.
        Recent(Duration),
        /// Nothing came for long: ask whether it can be reached.
        Silent,
        /// It could not be reached since the request was sent.
        PathLost,
    }
}

plain! {
    /// A connection that waits for its next request.
    #[derive(Copy)]
    pub struct Idle {
        /// Since when.
        pub since: Moment,
        /// How long the runner keeps it.
        pub keep_alive: Duration,
    }
}

/// Kept back from the runner's idle time: its clock starts when it writes the
/// answer, and the next request takes a while to arrive.
const MARGIN: Duration = Duration::from_millis(700);
/// Part of the idle time after which a request that runs at most once gets a
/// new connection: the runner may close it just then, and nobody could tell
/// whether the request ran.
const ONCE_PART: u32 = 3;

impl Idle {
    /// Whether a request may be sent on it; `once` if it may run only once.
    pub fn is_usable(&self, now: Moment, once: bool) -> bool {
        let safe = self.keep_alive.saturating_sub(MARGIN);
        let limit = match once {
            true => safe.min(self.keep_alive / ONCE_PART),
            false => safe,
        };
        now.since(self.since) < limit
    }
}

plain! {
    /// What hosts have on a runner.
    #[derive(Copy, Default, Eq)]
    pub struct Load {
        /// Requests that run or wait there.
        pub running: u32,
        /// Time that it has yet to read, in microseconds.
        pub prefill_us: u64,
        /// Tokens that its requests hold in memory at their end.
        pub kv_tokens: u64,
    }
}

plain! {
    /// One runner.
    pub struct Runner {
        /// As listed.
        pub listed: Listed,
        /// Hash of its id, by which hosts name it to each other.
        pub hash: u64,
        /// What this host has on it.
        pub local_load: Load,
        /// What other hosts have on it, as they last said.
        pub peer_load: Load,
        /// Part of its last answers to this host that were failures, newest first in
        /// weight.
        pub failure_rate: f64,
        /// How much longer than others of its service it takes; 1 for as long.
        pub slowdown: f64,
        /// Kept for long prompts, so that these do not delay short streams.
        pub for_long_prompts: bool,
        /// Idle connection that was used last, and how long the runner keeps it.
        pub idle: Option<Idle>,
        pub(super) present: bool,
        pub(super) replaced: bool,
        pub(super) rest: Moment,
        pub(super) failures: u32,
        /// Since when it is this run of it; a former one's memory is lost.
        pub(super) since: Moment,
        /// When it was heard, or asked, last.
        pub(super) heard: Moment,
        /// When the path to it was found to be cut last.
        pub(super) lost: Option<Moment>,
    }
}

impl Runner {
    /// Whether new work may go there.
    pub fn is_available(&self, now: Moment) -> bool {
        self.is_listed() && now.reached(self.rest)
    }

    /// Whether it takes new work, as far as the list says.
    pub fn is_listed(&self) -> bool {
        self.present && !self.replaced && self.listed.stage == Stage::Ready
    }

    /// Whether it is still there and about to leave.
    pub fn is_leaving(&self) -> bool {
        self.present && self.listed.stage == Stage::Draining
    }

    pub(super) fn record_result(&mut self, failed: bool) {
        self.failure_rate += NEWEST * (f64::from(u8::from(failed)) - self.failure_rate);
    }

    /// Requests on it, as far as this host knows.
    pub fn running(&self) -> u32 {
        self.local_load.running + self.peer_load.running
    }

    /// Time that it has yet to read, as far as this host knows, at the usual pace.
    pub fn backlog(&self) -> Duration {
        Duration::from_micros(self.local_load.prefill_us + self.peer_load.prefill_us)
    }

    /// Whether it has yet to read that much for this host.
    pub fn is_prefilling(&self, least: Duration) -> bool {
        Duration::from_micros(self.local_load.prefill_us) >= least
    }

    /// Takes in how long it took for something, and how long is usual.
    ///
    /// A slow engine says that it is well, and its queue looks as short as the others'.
    pub fn record_slowdown(&mut self, took: Duration, usual: Duration) {
        let ratio = ms(took) / ms(usual).max(1.0);
        self.slowdown += LAG_NEWEST * (ratio.clamp(LAG_LEAST, LAG_MOST) - self.slowdown);
    }

    /// Tokens in its memory when all that runs there has ended, as far as this
    /// host knows.
    pub fn kv_tokens(&self) -> u64 {
        self.local_load.kv_tokens + self.peer_load.kv_tokens
    }
}
