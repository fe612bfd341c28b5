//! The table of upstream runners at one host.
//!
//! The platform's list is delayed. So direct observations of this host or a peer,
//! such as a refused connection or a notice that a runner leaves, take precedence
//! until the list has had time to catch up. The load of a runner is this host's
//! own calls plus the calls that its peers last reported.

use std::time::Duration;

use crate::id::{self, Incarnation};
use crate::peer::HostLoad;
use crate::proxy::fleet::holdoff::Wait;
use crate::time::Moment;

arena_key! {
    /// Index of a runner in the table.
    Key(u32)
}

/// How long a notice that a runner leaves takes precedence over the list.
pub const LEAVING_TTL: Duration = Duration::from_secs(90);
/// First back-off of a runner that refused a connection or broke off.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum back-off of a runner.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// How long a peer's reported calls count without a newer heartbeat.
const PEER_LOAD_TTL: Duration = Duration::from_secs(20);
/// Minimum length of a round, at whose end its calls count as reported to all peers.
const MIN_ROUND: Duration = Duration::from_secs(2);
/// Maximum length of a round, if a peer does not report.
const MAX_ROUND: Duration = Duration::from_secs(12);
/// Weight of the newest measurement in the mean milliseconds per token.
const PACE_GAIN: f64 = 0.1;

record! {
    /// A runner in the platform's list.
    pub struct Listing {
        /// Its name.
        pub name: String,
        /// Name of its pool.
        pub pool: String,
        /// Availability zone.
        pub zone: String,
        /// IP address and port.
        pub address: String,
        /// Number of calls that it can run at once.
        pub slots: u32,
        /// Whether it is announced to leave.
        #[serde(default)]
        pub leaving: bool,
    }
}

plain! {
    /// A runner with the state that this host keeps of it.
    pub struct Runner {
        /// Its entry in the platform's list.
        pub listing: Listing,
        /// Number of this host's calls on it.
        pub running: u32,
        /// Number of calls of its peers on it, as last reported.
        pub peer_running: u32,
        /// Number of this host's calls that started in the current round and may not have been
        /// reported to all peers.
        pub unreported: u32,
        /// Mean milliseconds per token, as measured by this host; 0 before the first measurement.
        pub ms_per_token: f64,
        delisted: bool,
        /// When this host got the notice that it leaves.
        notice_at: Option<Moment>,
        /// Consecutive failures.
        failures: u32,
        backoff_until: Moment,
        /// Until when it wants nothing from this host.
        held_until: Moment,
    }
}

impl Runner {
    /// Whether new calls may start on it.
    pub fn is_available(&self, now: Moment) -> bool {
        !self.delisted && !self.is_leaving(now) && now.reached(self.backoff_until.max(self.held_until))
    }

    /// Whether it is leaving, according to the list or to a notice.
    pub fn is_leaving(&self, now: Moment) -> bool {
        self.listing.leaving
            || self
                .notice_at
                .is_some_and(|notice_at| now.since(notice_at) < LEAVING_TTL)
    }

    /// Fraction of its slots in use.
    pub fn load(&self) -> f64 {
        f64::from(self.running + self.peer_running) / f64::from(self.listing.slots.max(1))
    }
}

plain! {
    struct PeerLoad {
        peer: Incarnation,
        received_at: Moment,
        running_by_runner: Vec<(Key, u32)>,
    }
}

/// A pool's runners by zone.
type Zones = Vec<(String, Vec<Key>)>;

/// All runners known to this host.
#[derive(Debug, Default)]
pub struct Runners {
    arena: Vec<Runner>,
    names: Vec<(String, Key)>,
    short_ids: Vec<(u32, Key)>,
    pools: Vec<(String, Zones)>,
    peers: Vec<PeerLoad>,
    round_start: Moment,
}

impl Runners {
    /// Replaces the platform's list.
    pub fn set_listings(&mut self, listings: Vec<Listing>) {
        for runner in &mut self.arena {
            runner.delisted = true;
        }
        for listing in listings {
            match self.find(&listing.name) {
                Some(key) => self.update_listing(key, listing),
                None => self.add_listing(listing),
            }
        }
        self.rebuild_index();
    }

    fn update_listing(&mut self, key: Key, listing: Listing) {
        let runner = &mut self.arena[key.index()];
        // A new address under a known name is a new process, so the state of the former one is
        // reset.
        if runner.listing.address != listing.address {
            runner.notice_at = None;
            runner.failures = 0;
            runner.backoff_until = Moment::default();
            runner.held_until = Moment::default();
            runner.ms_per_token = 0.0;
        }
        runner.listing = listing;
        runner.delisted = false;
    }

    fn add_listing(&mut self, listing: Listing) {
        let key = Key(self.arena.len() as u32);
        let at = self.names.partition_point(|(name, _)| *name < listing.name);
        self.names.insert(at, (listing.name.clone(), key));
        self.arena.push(Runner {
            listing,
            running: 0,
            peer_running: 0,
            unreported: 0,
            ms_per_token: 0.0,
            delisted: false,
            notice_at: None,
            failures: 0,
            backoff_until: Moment::default(),
            held_until: Moment::default(),
        });
    }

    fn rebuild_index(&mut self) {
        self.pools.clear();
        self.short_ids.clear();
        for (at, runner) in self
            .arena
            .iter()
            .enumerate()
            .filter(|(_, runner)| !runner.delisted)
        {
            let key = Key(at as u32);
            let zones = entry_mut(&mut self.pools, &runner.listing.pool);
            entry_mut(zones, &runner.listing.zone).push(key);
            self.short_ids.push((short_id(&runner.listing.name), key));
        }
        self.short_ids.sort_unstable();
    }

    /// A runner by name.
    pub fn find(&self, name: &str) -> Option<Key> {
        let at = self
            .names
            .binary_search_by(|(existing, _)| existing.as_str().cmp(name))
            .ok()?;
        Some(self.names[at].1)
    }

    /// A runner by key.
    pub fn get(&self, key: Key) -> &Runner {
        &self.arena[key.index()]
    }

    /// Listed runners of a pool, by zone.
    pub fn pool(&self, name: &str) -> &[(String, Vec<Key>)] {
        match self
            .pools
            .binary_search_by(|(existing, _)| existing.as_str().cmp(name))
        {
            Ok(at) => &self.pools[at].1,
            Err(_) => &[],
        }
    }

    /// All listed runners.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.arena.iter().filter(|runner| !runner.delisted)
    }

    /// Records the start of a call.
    pub fn start(&mut self, key: Key) {
        let runner = &mut self.arena[key.index()];
        runner.running += 1;
        runner.unreported += 1;
    }

    /// Records the end of a call.
    pub fn finish(&mut self, key: Key) {
        let runner = &mut self.arena[key.index()];
        runner.running = runner.running.saturating_sub(1);
        runner.unreported = runner.unreported.min(runner.running);
    }

    /// Records a complete answer and its milliseconds per token.
    pub fn record_success(&mut self, key: Key, ms_per_token: f64) {
        let runner = &mut self.arena[key.index()];
        runner.failures = 0;
        runner.backoff_until = Moment::default();
        if ms_per_token > 0.0 {
            runner.ms_per_token = match runner.ms_per_token {
                0.0 => ms_per_token,
                mean => mean + (ms_per_token - mean) * PACE_GAIN,
            };
        }
    }

    /// Records a refused connection or a broken answer; the back-off doubles each time.
    pub fn record_failure(&mut self, now: Moment, key: Key) {
        let runner = &mut self.arena[key.index()];
        let backoff = MIN_BACKOFF.saturating_mul(1 << runner.failures.min(5));
        runner.failures += 1;
        runner.backoff_until = now + backoff.min(MAX_BACKOFF);
    }

    /// Records that a runner wants nothing from this host for some time. The latest end binds, until its process ends.
    pub fn hold_off(&mut self, now: Moment, name: &str, wait: Wait) {
        if let Some(key) = self.find(name) {
            let runner = &mut self.arena[key.index()];
            runner.held_until = runner.held_until.max(now + wait.length());
        }
    }

    /// Records a notice that a runner leaves; returns whether that was not known.
    pub fn mark_leaving(&mut self, now: Moment, name: &str) -> bool {
        let Some(key) = self.find(name) else {
            return false;
        };
        let runner = &mut self.arena[key.index()];
        let is_new = !runner.is_leaving(now);
        if is_new {
            runner.notice_at = Some(now);
        }
        is_new
    }

    /// Names of the runners with a recent notice that they leave, to be sent to peers.
    pub fn leaving_names(&self, now: Moment) -> Vec<String> {
        self.iter()
            .filter(|runner| {
                runner
                    .notice_at
                    .is_some_and(|notice_at| now.since(notice_at) < LEAVING_TTL / 2)
            })
            .map(|runner| runner.listing.name.clone())
            .collect()
    }

    /// This host's calls by runner, to be sent to peers.
    pub fn local_load(&self) -> HostLoad {
        let mut load = HostLoad::default();
        for runner in self.iter().filter(|runner| runner.running > 0) {
            load.runner_hashes.push(short_id(&runner.listing.name));
            load.running.push(runner.running);
        }
        load
    }

    /// Replaces the reported calls of a peer.
    pub fn set_peer_load(&mut self, now: Moment, peer: Incarnation, load: &HostLoad) {
        let pairs = load.runner_hashes.iter().zip(&load.running);
        let known = pairs.filter_map(|(runner, running)| {
            let at = self
                .short_ids
                .binary_search_by(|(existing, _)| existing.cmp(runner))
                .ok()?;
            Some((self.short_ids[at].1, *running))
        });
        let running_by_runner: Vec<(Key, u32)> = known.collect();
        self.remove_peer(peer);
        for (key, running) in &running_by_runner {
            self.arena[key.index()].peer_running += running;
        }
        self.peers.push(PeerLoad {
            peer,
            received_at: now,
            running_by_runner,
        });
    }

    /// Starts a new round if the current one is over, and drops the reports of silent peers.
    pub fn expire_peer_loads(&mut self, now: Moment) {
        if self.round_is_over(now) {
            self.round_start = now;
            self.arena.iter_mut().for_each(|runner| runner.unreported = 0);
        }
        let expired: Vec<Incarnation> = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.received_at) >= PEER_LOAD_TTL)
            .map(|peer| peer.peer)
            .collect();
        for peer in expired {
            self.remove_peer(peer);
        }
    }

    /// Whether every peer has reported its calls since the round started, or the round has reached
    /// its maximum length. Two rounds within one reporting delay would let every host take its
    /// share twice.
    fn round_is_over(&self, now: Moment) -> bool {
        let elapsed = now.since(self.round_start);
        let all_reported = self.peers.iter().all(|peer| peer.received_at > self.round_start);
        elapsed >= MAX_ROUND || (elapsed >= MIN_ROUND && all_reported)
    }

    fn remove_peer(&mut self, peer: Incarnation) {
        let Some(at) = self.peers.iter().position(|existing| existing.peer == peer) else {
            return;
        };
        for (key, running) in self.peers.swap_remove(at).running_by_runner {
            let peer_running = &mut self.arena[key.index()].peer_running;
            *peer_running = peer_running.saturating_sub(running);
        }
    }

    /// Mean milliseconds per token of a pool's runners; 0 if unknown.
    pub fn mean_ms_per_token(&self, pool: &str) -> f64 {
        let keys = self.pool(pool).iter().flat_map(|(_, keys)| keys);
        let known: Vec<f64> = keys
            .map(|key| self.get(*key).ms_per_token)
            .filter(|ms_per_token| *ms_per_token > 0.0)
            .collect();
        match known.len() {
            0 => 0.0,
            count => known.iter().sum::<f64>() / count as f64,
        }
    }
}

/// Id of a runner in heartbeats. If two runners have the same id, the load of one is counted for
/// the other too, which the choice between two random runners tolerates.
fn short_id(name: &str) -> u32 {
    id::digest(name.as_bytes()) as u32
}

fn entry_mut<'a, T: Default>(table: &'a mut Vec<(String, T)>, name: &str) -> &'a mut T {
    let at = match table.binary_search_by(|(existing, _)| existing.as_str().cmp(name)) {
        Ok(at) => at,
        Err(at) => {
            table.insert(at, (name.to_string(), T::default()));
            at
        }
    };
    &mut table[at].1
}
