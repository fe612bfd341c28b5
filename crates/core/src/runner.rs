//! Upstream runners as one host sees them.
//!
//! The platform's list lags, so what this host or a peer saw first-hand (a
//! refused connection, a notice of leaving) counts until the list has had time
//! to catch up. Load is this host's own calls plus what its peers last said of
//! theirs.

use std::time::Duration;

use crate::id::{self, Incarnation};
use crate::peer::Shares;
use crate::time::Moment;

arena_key! {
    /// A runner in the table.
    Key(u32)
}

/// How long first-hand news outweighs the list.
pub const LEAVING_TTL: Duration = Duration::from_secs(90);
/// First rest of a runner that refused a connection or broke off.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// Longest rest.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// How long a peer's shares count without a newer heartbeat.
const PEER_SHARES_TTL: Duration = Duration::from_secs(20);
/// Shortest time in which peers hear of a call.
const MIN_ROUND: Duration = Duration::from_secs(2);
/// Longest time that a round waits for a peer.
const MAX_ROUND: Duration = Duration::from_secs(12);
/// Weight of the newest reading in running means.
const PACE_GAIN: f64 = 0.1;

record! {
    /// A runner as the platform lists it.
    pub struct Listing {
        /// Its name.
        pub name: String,
        /// Its pool.
        pub pool: String,
        /// Availability zone.
        pub zone: String,
        /// IP address and port.
        pub address: String,
        /// Calls it can run at once.
        pub slots: u32,
        /// Announced to leave.
        #[serde(default)]
        pub leaving: bool,
    }
}

plain! {
    /// One runner.
    pub struct Runner {
        /// As listed.
        pub listing: Listing,
        /// This host's calls on it.
        pub running: u32,
        /// Its peers' calls on it.
        pub peer_running: u32,
        /// This host's calls of the last round, of which its peers may not
        /// have heard.
        pub unreported: u32,
        /// Milliseconds a token, as this host saw them; 0 before the first.
        pub ms_per_token: f64,
        delisted: bool,
        notice_at: Option<Moment>,
        failures: u32,
        backoff_until: Moment,
    }
}

impl Runner {
    /// Whether new work may go there.
    pub fn is_available(&self, now: Moment) -> bool {
        !self.delisted && !self.is_leaving(now) && now.reached(self.backoff_until)
    }

    /// Whether it leaves, by the list or first-hand.
    pub fn is_leaving(&self, now: Moment) -> bool {
        self.listing.leaving || self.notice_at.is_some_and(|news| now.since(news) < LEAVING_TTL)
    }

    /// Share of its slots in use.
    pub fn load(&self) -> f64 {
        f64::from(self.running + self.peer_running) / f64::from(self.listing.slots.max(1))
    }
}

plain! {
    struct PeerShares {
        peer: Incarnation,
        received_at: Moment,
        shares: Vec<(Key, u32)>,
    }
}

/// A pool's runners by zone.
type Zones = Vec<(String, Vec<Key>)>;

/// All runners that this host may use.
#[derive(Debug, Default)]
pub struct Runners {
    arena: Vec<Runner>,
    names: Vec<(String, Key)>,
    short_ids: Vec<(u32, Key)>,
    pools: Vec<(String, Zones)>,
    peers: Vec<PeerShares>,
    round_start: Moment,
}

impl Runners {
    /// Takes the platform's list.
    pub fn set_listings(&mut self, listed: Vec<Listing>) {
        for runner in &mut self.arena {
            runner.delisted = true;
        }
        for item in listed {
            match self.find(&item.name) {
                Some(key) => self.update_listing(key, item),
                None => self.add_listing(item),
            }
        }
        self.rebuild_index();
    }

    fn update_listing(&mut self, key: Key, item: Listing) {
        let runner = &mut self.arena[key.index()];
        // A new address under an old name is a new process: what was known
        // of the former one no longer counts.
        if runner.listing.address != item.address {
            runner.notice_at = None;
            runner.failures = 0;
            runner.backoff_until = Moment::default();
            runner.ms_per_token = 0.0;
        }
        runner.listing = item;
        runner.delisted = false;
    }

    fn add_listing(&mut self, item: Listing) {
        let key = Key(self.arena.len() as u32);
        let at = self.names.partition_point(|(name, _)| *name < item.name);
        self.names.insert(at, (item.name.clone(), key));
        self.arena.push(Runner {
            listing: item,
            running: 0,
            peer_running: 0,
            unreported: 0,
            ms_per_token: 0.0,
            delisted: false,
            notice_at: None,
            failures: 0,
            backoff_until: Moment::default(),
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
            .binary_search_by(|(have, _)| have.as_str().cmp(name))
            .ok()?;
        Some(self.names[at].1)
    }

    /// A runner by key.
    pub fn get(&self, key: Key) -> &Runner {
        &self.arena[key.index()]
    }

    /// Runners of a pool, by zone.
    pub fn pool(&self, name: &str) -> &[(String, Vec<Key>)] {
        match self.pools.binary_search_by(|(have, _)| have.as_str().cmp(name)) {
            Ok(at) => &self.pools[at].1,
            Err(_) => &[],
        }
    }

    /// Every runner that is listed.
    pub fn iter(&self) -> impl Iterator<Item = &Runner> {
        self.arena.iter().filter(|runner| !runner.delisted)
    }

    /// A call starts.
    pub fn start(&mut self, key: Key) {
        let runner = &mut self.arena[key.index()];
        runner.running += 1;
        runner.unreported += 1;
    }

    /// A call ends.
    pub fn finish(&mut self, key: Key) {
        let runner = &mut self.arena[key.index()];
        runner.running = runner.running.saturating_sub(1);
        runner.unreported = runner.unreported.min(runner.running);
    }

    /// A whole answer came, at this pace.
    pub fn record_success(&mut self, key: Key, pace: f64) {
        let runner = &mut self.arena[key.index()];
        runner.failures = 0;
        runner.backoff_until = Moment::default();
        if pace > 0.0 {
            runner.ms_per_token = match runner.ms_per_token {
                0.0 => pace,
                have => have + (pace - have) * PACE_GAIN,
            };
        }
    }

    /// It refused or broke off: it rests, longer each time.
    pub fn record_failure(&mut self, now: Moment, key: Key) {
        let runner = &mut self.arena[key.index()];
        let span = MIN_BACKOFF.saturating_mul(1 << runner.failures.min(5));
        runner.failures += 1;
        runner.backoff_until = now + span.min(MAX_BACKOFF);
    }

    /// First-hand news that it leaves; tells whether it is new.
    pub fn mark_leaving(&mut self, now: Moment, name: &str) -> bool {
        let Some(key) = self.find(name) else {
            return false;
        };
        let runner = &mut self.arena[key.index()];
        let new = !runner.is_leaving(now);
        if new {
            runner.notice_at = Some(now);
        }
        new
    }

    /// Runners known first-hand to leave, for the peers.
    pub fn leaving_names(&self, now: Moment) -> Vec<String> {
        self.iter()
            .filter(|runner| {
                runner
                    .notice_at
                    .is_some_and(|news| now.since(news) < LEAVING_TTL / 2)
            })
            .map(|runner| runner.listing.name.clone())
            .collect()
    }

    /// This host's calls, for the peers.
    pub fn shares(&self) -> Shares {
        let mut shares = Shares::default();
        for runner in self.iter().filter(|runner| runner.running > 0) {
            shares.runners.push(short_id(&runner.listing.name));
            shares.running.push(runner.running);
        }
        shares
    }

    /// A peer's calls.
    pub fn set_peer_shares(&mut self, now: Moment, peer: Incarnation, shares: &Shares) {
        let pairs = shares.runners.iter().zip(&shares.running);
        let known = pairs.filter_map(|(runner, running)| {
            let at = self
                .short_ids
                .binary_search_by(|(have, _)| have.cmp(runner))
                .ok()?;
            Some((self.short_ids[at].1, *running))
        });
        let shares: Vec<(Key, u32)> = known.collect();
        self.remove_peer(peer);
        for (key, running) in &shares {
            self.arena[key.index()].peer_running += running;
        }
        self.peers.push(PeerShares {
            peer,
            received_at: now,
            shares,
        });
    }

    /// Drops the shares of peers that fell silent.
    pub fn expire_shares(&mut self, now: Moment) {
        if self.round_is_over(now) {
            self.round_start = now;
            self.arena.iter_mut().for_each(|runner| runner.unreported = 0);
        }
        let silent: Vec<Incarnation> = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.received_at) >= PEER_SHARES_TTL)
            .map(|peer| peer.peer)
            .collect();
        for peer in silent {
            self.remove_peer(peer);
        }
    }

    /// A round ends when every peer has told its calls since it began: two
    /// rounds within one lag would let all take their share twice.
    fn round_is_over(&self, now: Moment) -> bool {
        let span = now.since(self.round_start);
        let all_told = self.peers.iter().all(|peer| peer.received_at > self.round_start);
        span >= MAX_ROUND || (span >= MIN_ROUND && all_told)
    }

    fn remove_peer(&mut self, peer: Incarnation) {
        let Some(at) = self.peers.iter().position(|have| have.peer == peer) else {
            return;
        };
        for (key, running) in self.peers.swap_remove(at).shares {
            let others = &mut self.arena[key.index()].peer_running;
            *others = others.saturating_sub(running);
        }
    }

    /// Mean pace of a pool's runners, 0 when unknown.
    pub fn mean_ms_per_token(&self, pool: &str) -> f64 {
        let keys = self.pool(pool).iter().flat_map(|(_, keys)| keys);
        let known: Vec<f64> = keys
            .map(|key| self.get(*key).ms_per_token)
            .filter(|pace| *pace > 0.0)
            .collect();
        match known.len() {
            0 => 0.0,
            count => known.iter().sum::<f64>() / count as f64,
        }
    }
}

/// Name of a runner between peers. Two runners that share one count as each
/// other's load, which two random choices live with.
fn short_id(name: &str) -> u32 {
    id::digest(name.as_bytes()) as u32
}

fn entry_mut<'a, T: Default>(table: &'a mut Vec<(String, T)>, name: &str) -> &'a mut T {
    let at = match table.binary_search_by(|(have, _)| have.as_str().cmp(name)) {
        Ok(at) => at,
        Err(at) => {
            table.insert(at, (name.to_string(), T::default()));
            at
        }
    };
    &mut table[at].1
}
