//! Admission and dispatch: where a call starts, and which calls wait.
//!
//! Calls wait in one queue per tier and set of pools, and in each queue by customer. A tier's
//! floor guarantees it a minimum share of the starts; otherwise tiers with lower priority
//! numbers go first. Unprotected tiers leave a reserve of every runner's slots free. A call that
//! is not expected to start in time is refused on arrival with a retry time instead of being
//! held until its deadline.

use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::config::view::View;
use crate::config::{Pool, Tier};
use crate::error::{Kind, Refusal};
use crate::id::CallId;
use crate::runner::{Key, Runners};
use crate::time::Moment;

mod admission;
pub mod placement;
pub mod queue;

use queue::{Entry, Queue};

pub use placement::Policy;

/// Half-life of the start counts that floors and rate estimates use.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(10);
/// Upstream retries allowed per start.
const RETRY_SHARE: f64 = 0.2;
/// Upstream retries allowed even after hardly any starts.
const MIN_RETRIES: f64 = 10.0;

plain! {
    /// A call submitted for dispatch to a runner.
    pub struct Submission {
        /// The call.
        pub call: CallId,
        /// Name of its tier; a position would not survive a change of the view.
        pub tier: String,
        /// Name of its customer.
        pub customer: String,
        /// Public name of the caller's key.
        pub key: String,
        /// Name of its request class.
        pub class: String,
        /// Names of the pools that may run it.
        pub pools: Arc<[String]>,
        /// Maximum number of generated tokens; 1 for plain calls.
        pub max_tokens: u32,
        /// Hash of the start of the prompt, for prefix cache affinity.
        pub prefix_hash: Option<u64>,
        /// Runners on which it has already failed.
        pub avoid: Vec<Key>,
        /// Whether it is a retry at the time of a valid reservation.
        pub reserved: bool,
    }
}

plain! {
    /// How a call on a runner ended.
    #[allow(missing_docs)]
    pub enum Outcome {
        /// The runner sent a complete answer.
        Completed {
            /// Generated tokens.
            tokens: u32,
            /// Milliseconds per token.
            ms_per_token: f64,
        },
        /// The caller disconnected; not counted for or against the runner.
        Cancelled { tokens: u32 },
        /// The connection was refused; no byte was sent.
        ConnectionRefused,
        /// The runner broke off or sent an invalid answer.
        Failed { tokens: u32 },
    }
}

plain! {
    /// The runner that a call is to start on.
    pub struct Assignment {
        /// The call.
        pub call: CallId,
        /// Key of the runner, to be passed to [`Dispatcher::finish`].
        pub runner: Key,
        /// Name of the runner.
        pub name: String,
        /// Address of the runner.
        pub address: String,
        /// Priority passed to the engine; lower goes first.
        pub priority: u8,
    }
}

plain! {
    /// What to do with a submitted call.
    pub enum Decision {
        /// Start it.
        Start(Assignment),
        /// Refuse it.
        Refuse(CallId, Refusal),
    }
}

/// The dispatcher of one entry host.
#[derive(Debug)]
pub struct Dispatcher {
    zone: String,
    policy: Policy,
    view: Arc<View>,
    /// Known runners, updated from the platform's list and by peers.
    pub runners: Runners,
    queues: Vec<Queue>,
    host_index: usize,
    zone_hosts: usize,
    hosts: usize,
    /// Number of peers in this zone with calls waiting, by pool.
    waiting_peers: Arc<[(String, u32)]>,
    /// Priorities of the tiers that use each pool, sorted by pool.
    pool_priorities: Vec<(String, Vec<u8>)>,
    waiting: usize,
    /// Calls of this host that are running.
    running: usize,
    last_decay: Moment,
    /// Seconds covered by the decayed counts, with the same decay.
    counted_s: f64,
    rng: ChaCha8Rng,
}

impl Dispatcher {
    /// Creates a dispatcher without runners or calls.
    pub fn new(zone: &str, seed: u64, policy: Policy) -> Self {
        use rand::SeedableRng;
        Self {
            zone: zone.to_string(),
            policy,
            view: Arc::new(View::default()),
            runners: Runners::default(),
            queues: Vec::new(),
            host_index: 0,
            zone_hosts: 1,
            hosts: 1,
            waiting_peers: Arc::default(),
            pool_priorities: Vec::new(),
            waiting: 0,
            running: 0,
            last_decay: Moment::default(),
            counted_s: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Applies a new view; refuses waiting calls whose key or tier is no longer valid.
    pub fn set_view(&mut self, view: Arc<View>) -> Vec<Decision> {
        self.view = view;
        self.pool_priorities = pool_priorities(&self.view);
        let mut out = Vec::new();
        let view = &self.view;
        for queue in &mut self.queues {
            queue.tier = view.document.tiers.position(&queue.name);
            let (refused, kind) = match queue.tier {
                Some(_) => (
                    queue.drain_if(|submission| !view.is_key_valid(&submission.key)),
                    Kind::KeyWithdrawn,
                ),
                None => (queue.drain_if(|_| true), Kind::NotSelected),
            };
            let refuse = |entry: Entry| Decision::Refuse(entry.submission.call, kind.into());
            out.extend(refused.into_iter().map(refuse));
        }
        self.queues.retain(|queue| queue.tier.is_some());
        for at in 0..self.queues.len() {
            self.queues[at].contention = self.pool_contention(at);
        }
        self.waiting -= out.len();
        out
    }

    /// Sets the number of live entry hosts in this zone and in all zones, both including this
    /// host, and this host's index among all.
    pub fn set_hosts(&mut self, zone_hosts: usize, hosts: usize, host_index: usize) {
        self.host_index = host_index;
        self.zone_hosts = zone_hosts.max(1);
        self.hosts = hosts.max(self.zone_hosts);
    }

    /// Sets the pools for which peers in this zone have calls waiting; each peer lists a
    /// pool at most once.
    pub fn set_waiting_peers<'a>(&mut self, pools: impl Iterator<Item = &'a str>) {
        let mut peers: Vec<(String, u32)> = Vec::new();
        for pool in pools {
            match peers.iter_mut().find(|(existing, _)| existing == pool) {
                Some((_, count)) => *count += 1,
                None => peers.push((pool.to_string(), 1)),
            }
        }
        self.waiting_peers = peers.into();
    }

    /// Queues a call, or refuses it.
    pub fn submit(&mut self, now: Moment, submission: Submission) -> Vec<Decision> {
        self.decay(now);
        let call = submission.call;
        let Some(at) = self.queue_for(&submission) else {
            return vec![Decision::Refuse(call, Kind::NotSelected.into())];
        };
        if !submission.avoid.is_empty() && !self.queues[at].take_retry() {
            let refusal =
                Refusal::new(Kind::Overloaded).retry_after(self.retry_delay(Duration::from_secs(1)));
            return vec![Decision::Refuse(call, refusal)];
        }
        if !self.has_listed_runner(&submission) {
            let refusal = Refusal::new(Kind::NoRunner).retry_after(self.retry_delay(Duration::from_secs(2)));
            return vec![Decision::Refuse(call, refusal)];
        }
        if let Some(refusal) = self.reject_early(now, at, &submission) {
            return vec![Decision::Refuse(call, refusal)];
        }
        let (target, patience) = (self.tier(at).target, self.tier(at).patience);
        self.queues[at].push(Entry {
            submission,
            queued_at: now,
            late_at: now + target,
            expires_at: now + patience,
        });
        self.waiting += 1;
        self.start_waiting(now)
    }

    /// The queue for a call, by its tier and the pools that may run it, so that calls for other
    /// runners are never ahead of it.
    fn queue_for(&mut self, submission: &Submission) -> Option<usize> {
        let tier = self.view.document.tiers.position(&submission.tier)?;
        let key = (submission.tier.as_str(), &submission.pools[..]);
        Some(
            match self.queues.binary_search_by(|queue| queue.sort_key().cmp(&key)) {
                Ok(at) => at,
                Err(at) => {
                    self.queues.insert(at, Queue::new(submission, tier));
                    self.queues[at].contention = self.pool_contention(at);
                    at
                }
            },
        )
    }

    fn tier(&self, at: usize) -> &Tier {
        // `set_view` drops queues whose tier no longer exists.
        &self.view.document.tiers[self.queues[at].tier.unwrap_or_default()]
    }

    /// Records the end of a call on a runner.
    pub fn finish(
        &mut self,
        now: Moment,
        submission: &Submission,
        runner: Key,
        outcome: &Outcome,
    ) -> Vec<Decision> {
        self.decay(now);
        self.runners.finish(runner);
        self.running = self.running.saturating_sub(1);
        let tokens = match outcome {
            Outcome::Completed { tokens, ms_per_token } => {
                self.runners.record_success(runner, *ms_per_token);
                *tokens
            }
            Outcome::Cancelled { tokens } => *tokens,
            Outcome::ConnectionRefused => {
                self.runners.record_failure(now, runner);
                0
            }
            Outcome::Failed { tokens } => {
                self.runners.record_failure(now, runner);
                *tokens
            }
        };
        if let Some(at) = self.queue_for(submission) {
            let completed = matches!(outcome, Outcome::Completed { .. });
            self.queues[at].record_usage(submission, tokens, completed);
        }
        self.start_waiting(now)
    }

    /// Removes a waiting call whose caller has disconnected.
    pub fn cancel(&mut self, call: CallId) {
        for queue in &mut self.queues {
            if queue.remove(call) {
                self.waiting -= 1;
                return;
            }
        }
    }

    /// Starts the calls that can start and refuses those that waited too long.
    pub fn tick(&mut self, now: Moment) -> Vec<Decision> {
        self.decay(now);
        self.runners.expire_peer_loads(now);
        let mut out = Vec::new();
        for at in 0..self.queues.len() {
            self.queues[at].expire_reservations(now);
            if self.policy.defers_late() {
                self.queues[at].defer_late(now);
            }
            for entry in self.queues[at].expire(now) {
                self.waiting -= 1;
                let refusal = Refusal::new(Kind::Late).retry_after(self.retry_delay(Duration::from_secs(1)));
                out.push(Decision::Refuse(entry.submission.call, refusal));
            }
        }
        out.extend(self.start_waiting(now));
        out
    }

    /// Number of waiting calls, by the first pool that may run them.
    pub fn waiting_by_pool(&self) -> Vec<(String, u32)> {
        let mut all: Vec<(String, u32)> = Vec::new();
        for queue in self.queues.iter().filter(|queue| !queue.is_empty()) {
            let Some(pool) = queue.sort_key().1.first() else {
                continue;
            };
            let count = queue.len() as u32;
            match all.iter_mut().find(|(existing, _)| existing == pool) {
                Some((_, sum)) => *sum += count,
                None => all.push((pool.clone(), count)),
            }
        }
        all
    }

    /// Number of waiting calls, by tier.
    pub fn waiting_by_tier(&self) -> impl Iterator<Item = (&str, usize)> {
        self.queues.iter().map(|queue| (queue.name.as_str(), queue.len()))
    }

    fn start_waiting(&mut self, now: Moment) -> Vec<Decision> {
        let mut out = Vec::new();
        let mut blocked = vec![false; self.queues.len()];
        while self.waiting > 0 {
            let Some(at) = self.next_queue(&blocked) else {
                break;
            };
            match self.start_next(now, at) {
                Some(start) => out.push(Decision::Start(start)),
                None => blocked[at] = true,
            }
        }
        out
    }

    /// The queue to start from next: queues below their floor first, then by priority.
    fn next_queue(&self, blocked: &[bool]) -> Option<usize> {
        let open = |at: &usize| !blocked[*at] && !self.queues[*at].is_empty();
        let rank = |at: &usize| {
            (
                !self.is_below_floor(*at),
                self.policy.effective_priority(self.tier(*at).priority),
            )
        };
        match self.policy.uses_tiers() {
            true => (0..self.queues.len()).filter(open).min_by_key(rank),
            false => (0..self.queues.len())
                .filter(open)
                .min_by_key(|at| self.queues[*at].oldest_since()),
        }
    }

    /// Whether a queue has had less than its floor of the starts on the pools it shares.
    fn is_below_floor(&self, at: usize) -> bool {
        let floor = f64::from(self.tier(at).floor);
        let all: f64 = self
            .overlapping(at)
            .map(|other| self.queues[other].starts())
            .sum();
        self.policy.enforces_floors() && self.queues[at].starts() * 100.0 < floor * all
    }

    /// Indexes of the queues that share a pool with this one, itself included.
    fn overlapping(&self, at: usize) -> impl Iterator<Item = usize> {
        (0..self.queues.len()).filter(move |other| self.queues[*other].overlaps(&self.queues[at]))
    }

    fn start_next(&mut self, now: Moment, at: usize) -> Option<Assignment> {
        let (protected, priority) = (self.tier(at).protected, self.tier(at).priority);
        let picker = placement::Picker {
            now,
            zone: &self.zone,
            policy: self.policy,
            protected,
            reserve_percent: self.view.document.settings.reserve,
            host_index: self.host_index,
            zone_hosts: self.zone_hosts,
            hosts: self.hosts,
            contention: self.queues[at].contention.clone(),
            waiting_peers: self.waiting_peers.clone(),
        };
        let runners = &self.runners;
        let rng = &mut self.rng;
        let (entry, runner) =
            self.queues[at].take(self.policy, |submission| picker.pick(runners, rng, submission))?;
        self.waiting -= 1;
        self.running += 1;
        self.runners.start(runner);
        let listing = &self.runners.get(runner).listing;
        Some(Assignment {
            call: entry.submission.call,
            runner,
            name: listing.name.clone(),
            address: listing.address.clone(),
            priority,
        })
    }

    /// Contention on each pool of a queue, according to the selectors.
    fn pool_contention(&self, at: usize) -> Arc<[(String, placement::Contention)]> {
        let priority = self.tier(at).priority;
        let contention = |pool: &String| {
            let found = self
                .pool_priorities
                .binary_search_by(|(existing, _)| existing.cmp(pool));
            let priorities = found.map_or(&[][..], |at| &self.pool_priorities[at].1);
            placement::Contention {
                higher_priority: priorities.iter().any(|other| *other < priority),
                lower_priority: priorities.iter().any(|other| *other > priority),
            }
        };
        let pools = self.queues[at].sort_key().1;
        pools
            .iter()
            .map(|pool| (pool.clone(), contention(pool)))
            .collect()
    }

    fn has_listed_runner(&self, submission: &Submission) -> bool {
        let keys = |pool: &String| self.runners.pool(pool).iter().any(|(_, keys)| !keys.is_empty());
        submission.pools.iter().any(keys)
    }

    fn decay(&mut self, now: Moment) {
        let elapsed = now.since(self.last_decay);
        if elapsed < Duration::from_millis(100) {
            return;
        }
        self.last_decay = now;
        let elapsed_s = elapsed.as_secs_f64();
        let factor = 0.5_f64.powf(elapsed_s / COUNT_HALF_LIFE.as_secs_f64());
        // Idle time is not counted: a host without calls starts none, and by so low a rate the first
        // calls of a burst would be expected to wait for many seconds and the rest be refused.
        let idle = self.waiting == 0 && self.running == 0;
        let counted_s = if idle && self.policy.yields_to_peers() {
            0.0
        } else {
            elapsed_s
        };
        self.counted_s = (self.counted_s + counted_s.min(COUNT_HALF_LIFE.as_secs_f64())) * factor;
        for queue in &mut self.queues {
            queue.decay(factor, RETRY_SHARE, MIN_RETRIES);
        }
    }
}

/// Priorities of the tiers whose selectors match each pool.
fn pool_priorities(view: &View) -> Vec<(String, Vec<u8>)> {
    let document = &view.document;
    let priorities = |pool: &Pool| {
        let matching = document
            .selectors
            .iter()
            .filter(|selector| selector.matches_pool(pool));
        let tiers = matching.filter_map(|selector| document.tiers.get(&selector.tier));
        let may_use = tiers.filter(|tier| tier.reclaimable || !pool.reclaimable);
        may_use.map(|tier| tier.priority).collect()
    };
    document
        .pools
        .iter()
        .map(|pool| (pool.name.clone(), priorities(pool)))
        .collect()
}
