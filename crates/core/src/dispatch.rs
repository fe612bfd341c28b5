//! Admission and dispatch: which call starts where, and which waits.
//!
//! Calls wait in lanes, one a tier and set of pools, and inside a lane by
//! customer. A floor
//! gives each tier a least share of the starts; beyond it, lower priority
//! numbers go first. Unprotected tiers leave a reserve of every runner free.
//! A call that cannot start in time is refused at once with a time to come
//! back, never held until its deadline.

use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::config::view::View;
use crate::config::{Pool, Tier};
use crate::error::{Kind, Refusal};
use crate::id::Call;
use crate::runner::{Key, Runners};
use crate::time::Moment;

mod admission;
pub mod placement;
pub mod queue;

use queue::{Entry, Queue};

pub use placement::Policy;

/// Half-life of the counts behind floors and rates.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(10);
/// Retries allowed beside a tier's starts, as a share.
const RETRY_SHARE: f64 = 0.2;
/// Retries allowed however few the starts.
const MIN_RETRIES: f64 = 10.0;

plain! {
    /// A call that seeks a runner.
    pub struct Submission {
        /// The call.
        pub call: Call,
        /// Tier by name, so that it outlives a change of the view.
        pub tier: String,
        /// Customer by name.
        pub customer: String,
        /// Public name of the caller's key.
        pub key: String,
        /// Class by name.
        pub class: String,
        /// Pools that may run it.
        pub pools: Arc<[String]>,
        /// Most tokens that it may generate; 1 for plain calls.
        pub max_tokens: u32,
        /// Hash of the prompt's beginning, for prefix caches.
        pub prefix_hash: Option<u64>,
        /// Runners that already failed it.
        pub avoid: Vec<Key>,
        /// It comes back at the time that it was promised.
        pub reserved: bool,
    }
}

plain! {
    /// How a call on a runner ended.
    #[allow(missing_docs)]
    pub enum Outcome {
        /// A whole answer.
        Completed {
            /// Generated tokens.
            tokens: u32,
            /// Milliseconds a token.
            ms_per_token: f64,
        },
        /// The caller went away; says nothing of the runner.
        Cancelled { tokens: u32 },
        /// The connection was refused: no byte went out.
        ConnectionRefused,
        /// It broke off or answered wrongly.
        Failed { tokens: u32 },
    }
}

plain! {
    /// Where a call starts.
    pub struct Assignment {
        /// The call.
        pub call: Call,
        /// The runner, to be named at the end.
        pub runner: Key,
        /// Its name.
        pub name: String,
        /// Its address.
        pub address: String,
        /// Priority for the engine.
        pub priority: u8,
    }
}

plain! {
    /// What became of a call that sought a runner.
    pub enum Decision {
        /// It starts.
        Start(Assignment),
        /// It is refused.
        Refuse(Call, Refusal),
    }
}

/// The dispatcher of one host.
#[derive(Debug)]
pub struct Dispatcher {
    zone: String,
    policy: Policy,
    view: Arc<View>,
    /// The runners, fed by the list and by peers.
    pub runners: Runners,
    queues: Vec<Queue>,
    host_index: usize,
    zone_hosts: usize,
    hosts: usize,
    /// Zone mates that have calls waiting, by pool.
    waiting_peers: Arc<[(String, u32)]>,
    /// Priorities of the tiers that use each pool.
    pool_priorities: Vec<(String, Vec<u8>)>,
    waiting: usize,
    /// This host's calls on all runners.
    running: usize,
    last_decay: Moment,
    /// Seconds that the decayed counts stand for.
    counted_s: f64,
    rng: ChaCha8Rng,
}

impl Dispatcher {
    /// A dispatcher with nothing to do.
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

    /// Takes a new view; calls whose key was withdrawn meanwhile are refused.
    pub fn set_view(&mut self, view: Arc<View>) -> Vec<Decision> {
        self.view = view;
        self.pool_priorities = pool_priorities(&self.view);
        let mut out = Vec::new();
        let view = &self.view;
        for lane in &mut self.queues {
            lane.tier = view.document.tiers.position(&lane.name);
            let (refused, kind) = match lane.tier {
                Some(_) => (
                    lane.drain_if(|seek| !view.is_key_valid(&seek.key)),
                    Kind::KeyWithdrawn,
                ),
                None => (lane.drain_if(|_| true), Kind::NotSelected),
            };
            let refuse = |item: Entry| Decision::Refuse(item.submission.call, kind.into());
            out.extend(refused.into_iter().map(refuse));
        }
        self.queues.retain(|lane| lane.tier.is_some());
        for at in 0..self.queues.len() {
            self.queues[at].contention = self.pool_contention(at);
        }
        self.waiting -= out.len();
        out
    }

    /// Entry hosts that are live in this zone, and in all zones, both with
    /// this one; and this one's place among all.
    pub fn set_hosts(&mut self, near: usize, all: usize, index: usize) {
        self.host_index = index;
        self.zone_hosts = near.max(1);
        self.hosts = all.max(self.zone_hosts);
    }

    /// Pools for which calls wait at zone mates; each mate names a pool once.
    pub fn set_waiting_peers<'a>(&mut self, pools: impl Iterator<Item = &'a str>) {
        let mut mates: Vec<(String, u32)> = Vec::new();
        for pool in pools {
            match mates.iter_mut().find(|(have, _)| have == pool) {
                Some((_, count)) => *count += 1,
                None => mates.push((pool.to_string(), 1)),
            }
        }
        self.waiting_peers = mates.into();
    }

    /// A call seeks a runner.
    pub fn submit(&mut self, now: Moment, seek: Submission) -> Vec<Decision> {
        self.decay(now);
        let call = seek.call;
        let Some(at) = self.queue_for(&seek) else {
            return vec![Decision::Refuse(call, Kind::NotSelected.into())];
        };
        if !seek.avoid.is_empty() && !self.queues[at].take_retry() {
            let refusal =
                Refusal::new(Kind::Overloaded).retry_after(self.retry_delay(Duration::from_secs(1)));
            return vec![Decision::Refuse(call, refusal)];
        }
        if !self.has_listed_runner(&seek) {
            let refusal = Refusal::new(Kind::NoRunner).retry_after(self.retry_delay(Duration::from_secs(2)));
            return vec![Decision::Refuse(call, refusal)];
        }
        if let Some(refusal) = self.reject_early(now, at, &seek) {
            return vec![Decision::Refuse(call, refusal)];
        }
        let (target, patience) = (self.tier(at).target, self.tier(at).patience);
        self.queues[at].push(Entry {
            submission: seek,
            queued_at: now,
            late_at: now + target,
            expires_at: now + patience,
        });
        self.waiting += 1;
        self.start_waiting(now)
    }

    /// The lane of a call: its tier and the pools that may run it. Calls that
    /// need other runners never stand before it.
    fn queue_for(&mut self, seek: &Submission) -> Option<usize> {
        let tier = self.view.document.tiers.position(&seek.tier)?;
        let place = (seek.tier.as_str(), &seek.pools[..]);
        Some(
            match self.queues.binary_search_by(|lane| lane.sort_key().cmp(&place)) {
                Ok(at) => at,
                Err(at) => {
                    self.queues.insert(at, Queue::new(seek, tier));
                    self.queues[at].contention = self.pool_contention(at);
                    at
                }
            },
        )
    }

    fn tier(&self, at: usize) -> &Tier {
        // `set_view` drops the lanes whose tier is gone.
        &self.view.document.tiers[self.queues[at].tier.unwrap_or_default()]
    }

    /// A call on a runner ended.
    pub fn finish(
        &mut self,
        now: Moment,
        seek: &Submission,
        runner: Key,
        outcome: &Outcome,
    ) -> Vec<Decision> {
        self.decay(now);
        self.runners.finish(runner);
        self.running = self.running.saturating_sub(1);
        let tokens = match outcome {
            Outcome::Completed {
                tokens,
                ms_per_token: pace,
            } => {
                self.runners.record_success(runner, *pace);
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
        if let Some(at) = self.queue_for(seek) {
            let whole = matches!(outcome, Outcome::Completed { .. });
            self.queues[at].record_usage(seek, tokens, whole);
        }
        self.start_waiting(now)
    }

    /// A waiting call whose caller went away.
    pub fn cancel(&mut self, call: Call) {
        for lane in &mut self.queues {
            if lane.remove(call) {
                self.waiting -= 1;
                return;
            }
        }
    }

    /// Starts what can start and refuses what waited too long.
    pub fn tick(&mut self, now: Moment) -> Vec<Decision> {
        self.decay(now);
        self.runners.expire_shares(now);
        let mut out = Vec::new();
        for at in 0..self.queues.len() {
            self.queues[at].expire_reservations(now);
            if self.policy.defers_late() {
                self.queues[at].defer_late(now);
            }
            for item in self.queues[at].expire(now) {
                self.waiting -= 1;
                let refusal = Refusal::new(Kind::Late).retry_after(self.retry_delay(Duration::from_secs(1)));
                out.push(Decision::Refuse(item.submission.call, refusal));
            }
        }
        out.extend(self.start_waiting(now));
        out
    }

    /// Calls that wait, by the first pool that may run them.
    pub fn waiting_by_pool(&self) -> Vec<(String, u32)> {
        let mut all: Vec<(String, u32)> = Vec::new();
        for lane in self.queues.iter().filter(|lane| !lane.is_empty()) {
            let Some(pool) = lane.sort_key().1.first() else {
                continue;
            };
            let count = lane.len() as u32;
            match all.iter_mut().find(|(have, _)| have == pool) {
                Some((_, sum)) => *sum += count,
                None => all.push((pool.clone(), count)),
            }
        }
        all
    }

    /// Calls that wait, by tier.
    pub fn waiting_by_tier(&self) -> impl Iterator<Item = (&str, usize)> {
        self.queues.iter().map(|lane| (lane.name.as_str(), lane.len()))
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

    /// Lanes under their floor first, then by priority.
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

    /// Whether a lane gets less than its floor of the starts on its runners.
    fn is_below_floor(&self, at: usize) -> bool {
        let floor = f64::from(self.tier(at).floor);
        let all: f64 = self
            .overlapping(at)
            .map(|other| self.queues[other].starts())
            .sum();
        self.policy.enforces_floors() && self.queues[at].starts() * 100.0 < floor * all
    }

    /// Lanes that want the same runners, this one included.
    fn overlapping(&self, at: usize) -> impl Iterator<Item = usize> {
        (0..self.queues.len()).filter(move |other| self.queues[*other].overlaps(&self.queues[at]))
    }

    fn start_next(&mut self, now: Moment, at: usize) -> Option<Assignment> {
        let (protected, priority) = (self.tier(at).protected, self.tier(at).priority);
        let chooser = placement::Picker {
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
        let (item, runner) = self.queues[at].take(self.policy, |seek| chooser.pick(runners, rng, seek))?;
        self.waiting -= 1;
        self.running += 1;
        self.runners.start(runner);
        let listed = &self.runners.get(runner).listing;
        Some(Assignment {
            call: item.submission.call,
            runner,
            name: listed.name.clone(),
            address: listed.address.clone(),
            priority,
        })
    }

    /// Who else uses each pool of a lane, by the selectors.
    fn pool_contention(&self, at: usize) -> Arc<[(String, placement::Contention)]> {
        let priority = self.tier(at).priority;
        let rivals = |pool: &String| {
            let found = self.pool_priorities.binary_search_by(|(have, _)| have.cmp(pool));
            let users = found.map_or(&[][..], |at| &self.pool_priorities[at].1);
            placement::Contention {
                higher_priority: users.iter().any(|other| *other < priority),
                lower_priority: users.iter().any(|other| *other > priority),
            }
        };
        let pools = self.queues[at].sort_key().1;
        pools.iter().map(|pool| (pool.clone(), rivals(pool))).collect()
    }

    fn has_listed_runner(&self, seek: &Submission) -> bool {
        let keys = |pool: &String| self.runners.pool(pool).iter().any(|(_, keys)| !keys.is_empty());
        seek.pools.iter().any(keys)
    }

    fn decay(&mut self, now: Moment) {
        let span = now.since(self.last_decay);
        if span < Duration::from_millis(100) {
            return;
        }
        self.last_decay = now;
        let seconds = span.as_secs_f64();
        let factor = 0.5_f64.powf(seconds / COUNT_HALF_LIFE.as_secs_f64());
        // An idle host starts nothing because nobody calls. Counted, the first calls of
        // a burst foretold waits of many seconds and had the rest refused.
        let idle = self.waiting == 0 && self.running == 0;
        let counted = if idle && self.policy.yields_to_peers() {
            0.0
        } else {
            seconds
        };
        self.counted_s = (self.counted_s + counted.min(COUNT_HALF_LIFE.as_secs_f64())) * factor;
        for lane in &mut self.queues {
            lane.decay(factor, RETRY_SHARE, MIN_RETRIES);
        }
    }
}

/// Priorities of the tiers whose selectors reach each pool.
fn pool_priorities(view: &View) -> Vec<(String, Vec<u8>)> {
    let document = &view.document;
    let users = |pool: &Pool| {
        let reach = document
            .selectors
            .iter()
            .filter(|selector| selector.matches_pool(pool));
        let tiers = reach.filter_map(|selector| document.tiers.get(&selector.tier));
        let may_use = tiers.filter(|tier| tier.reclaimable || !pool.reclaimable);
        may_use.map(|tier| tier.priority).collect()
    };
    document
        .pools
        .iter()
        .map(|pool| (pool.name.clone(), users(pool)))
        .collect()
}
