//! Runners as seen by one host.
//!
//! The list of runners in the store is the base. What this host observes itself, such as refused
//! connections or another instance at an address, overrides it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::digest;
use crate::time::Moment;

mod attempt;
pub mod brittle;
pub mod clearance;
mod cold;
mod copies;
pub mod holdoff;
pub mod leaving;
pub mod notice;
pub mod rate;
pub mod register;
mod runner;
pub mod software;
mod stall;
mod zones;

pub use clearance::Clearance;
use runner::Backoff;
pub use runner::{AttemptResult, Idle, Listed, Liveness, Load, Runner, Stage, Way};
pub use software::Software;

arena_key! {
    /// Index of a runner in the fleet.
    Key(u32)
}

/// Gap between answers of the store from which entries may have expired in it. Runners renew
/// their entry three times per lease, so a shorter gap cannot expire the entry of a live runner.
const OUTAGE: Duration = Duration::from_millis(2_500);
/// Time after an outage of the store within which live runners are listed again.
const RELIST: Duration = Duration::from_secs(2);
/// Time after an outage of the store during which a runner whose entry is missing is used: the
/// time to be listed again, and a margin for reads that are a moment old.
const RECOVERY: Duration = Duration::from_millis(2_300);
/// Time for which a runner is used that was listed since an outage and is missing now: its entry was removed, or it has
/// just expired, and comes back with the next heartbeat.
const RELISTED_KEPT: Duration = Duration::from_secs(1);
/// Silence after which the path to a runner is checked; even a loaded engine seldom needs longer
/// for a first event.
const PROBE_AFTER: Duration = Duration::from_millis(800);
/// All runners that were ever listed.
#[derive(Debug)]
pub struct Fleet {
    /// Zone of this host.
    pub zone: String,
    arena: Vec<Runner>,
    ids: Vec<(String, Key)>,
    hashes: Vec<(u64, Key)>,
    last_list: Option<Moment>,
    /// Since when the list was read so often that no entry can have come and gone unseen.
    watched_since: Option<Moment>,
    recovered_at: Option<Moment>,
    /// Zones to avoid, and until when.
    avoided_zones: Vec<(String, Moment)>,
    /// Zones of other hosts, and when each counts as silent unless it is heard again.
    zone_deadlines: Vec<(String, Moment)>,
    /// Zones that the operator has evacuated, sorted.
    evacuated_zones: Vec<String>,
    /// Services with cold starts, sorted by name.
    cold_services: Vec<cold::Service>,
    /// This host, and all live hosts of its zone, by the hash of their addresses.
    own_host: u64,
    zone_hosts: Vec<u64>,
    /// All live hosts, in the same way.
    all_hosts: Vec<u64>,
    /// Hold-offs of peers.
    peer_hold_offs: holdoff::Peers,
    /// Services whose runners crash when they reject too much.
    brittle: brittle::Brittle,
    /// This host among those that share the runners of these services.
    place: brittle::Place,
    /// Versions at which streams may begin.
    register: register::Register,
    /// When the call was sent by which it was read last.
    register_read: Option<Moment>,
    /// Versions in it, sorted, and when this host first found each of them there.
    registered: Vec<(u64, Moment)>,
}

impl Fleet {
    /// An empty fleet for a host in the given zone.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_string(),
            arena: Vec::new(),
            ids: Vec::new(),
            hashes: Vec::new(),
            last_list: None,
            watched_since: None,
            recovered_at: None,
            avoided_zones: Vec::new(),
            zone_deadlines: Vec::new(),
            evacuated_zones: Vec::new(),
            cold_services: Vec::new(),
            own_host: 0,
            zone_hosts: Vec::new(),
            all_hosts: Vec::new(),
            peer_hold_offs: holdoff::Peers::default(),
            brittle: brittle::Brittle::default(),
            place: brittle::Place::default(),
            register: register::Register::default(),
            register_read: None,
            registered: Vec::new(),
        }
    }

    /// Whether the list was ever read.
    pub fn is_listed(&self) -> bool {
        self.last_list.is_some()
    }

    /// Replaces the list of runners with the answer to a read that was sent at `sent`. Returns
    /// the addresses at which another process now listens; connections to the previous process
    /// are invalid.
    ///
    /// A runner without an entry is gone, except after an outage of the store: entries of live
    /// runners may have expired, and dropping these runners would leave no one to serve requests.
    /// They count as present until the store has been back long enough for them to register
    /// again. A runner that has been listed since is gone soon after it is missing.
    pub fn update(&mut self, sent: Moment, items: Vec<Listed>) -> Vec<SocketAddr> {
        // The first list after a start needs no such grace period: entries that expired before are
        // not in it, and an entry that is in it and later missing was removed.
        let is_gap = |last: Moment| sent.since(last) >= OUTAGE;
        if self.last_list.is_some_and(is_gap) {
            self.recovered_at = Some(sent);
        }
        if self.last_list.is_none_or(is_gap) {
            self.watched_since = Some(sent);
        }
        self.last_list = Some(sent);
        for runner in &mut self.arena {
            runner.cold.read_list(sent);
            runner.belief.read_list(sent);
        }
        let (missing_gone_at, recovered_at) = (self.missing_gone_at(sent), self.recovered_at);
        for runner in &mut self.arena {
            let is_relisted = recovered_at.is_some_and(|recovered_at| runner.listed_at.reached(recovered_at));
            let relisted_gone_at = is_relisted.then(|| sent.max(runner.listed_at + RELISTED_KEPT));
            let possible = [runner.gone_at, missing_gone_at, relisted_gone_at];
            runner.gone_at = possible.into_iter().flatten().min();
        }
        items
            .into_iter()
            .flat_map(|item| self.update_runner(sent, item))
            .collect()
    }

    /// When a runner that is missing from a list sent at `sent` is gone; `None` if it may still be
    /// listed again.
    ///
    /// A list that was sent when every live runner had registered again is final, so its missing
    /// runners are gone at the end of the recovery, without waiting for another list.
    fn missing_gone_at(&self, sent: Moment) -> Option<Moment> {
        let Some(recovered_at) = self.recovered_at else {
            return Some(sent);
        };
        match sent.since(recovered_at) {
            elapsed if elapsed < RELIST => None,
            elapsed if elapsed < RECOVERY => Some(recovered_at + RECOVERY),
            _ => Some(sent),
        }
    }

    fn update_runner(&mut self, sent: Moment, item: Listed) -> Vec<SocketAddr> {
        let found = self.ids.binary_search_by(|(id, _)| id.as_str().cmp(&item.id));
        let at = match found {
            Ok(at) => at,
            Err(at) => {
                let address = item.address;
                self.add(at, sent, item);
                return vec![address];
            }
        };
        let key = self.ids[at].1;
        let runner = &mut self.arena[key.index()];
        let is_same_process =
            runner.listed.address == item.address && runner.listed.started_ms == item.started_ms;
        let is_same_version = runner.listed.software.version == item.software.version;
        let previous = runner.listed.address;
        runner.gone_at = None;
        runner.listed_at = sent;
        if runner.listed.version != item.version || !is_same_process {
            runner.cold.read_entry(sent, item.cold_for);
        }
        runner.listed = item;
        runner.is_registered = self
            .register
            .allows(&runner.listed.service, runner.listed.software.version);
        if is_same_process && is_same_version {
            return Vec::new();
        }
        if !is_same_process {
            runner.rate = rate::State::default();
            runner.hold_off = holdoff::State::default();
            runner.leaving = leaving::State::default();
        }
        runner.belief.restart(sent, is_same_version);
        runner.replaced = false;
        runner.retry_at = Moment::default();
        runner.failures = 0;
        runner.relayed = Backoff::default();
        runner.failure_rate = 0.0;
        runner.slowdown = 1.0;
        runner.first_seen = sent;
        vec![previous, runner.listed.address]
    }

    fn add(&mut self, at: usize, first_seen: Moment, listed: Listed) {
        let key = Key(self.arena.len() as u32);
        self.ids.insert(at, (listed.id.clone(), key));
        let hash = digest(listed.id.as_bytes());
        let zone_hash = digest(listed.zone.as_bytes());
        let at = self.hashes.partition_point(|(have, _)| *have < hash);
        self.hashes.insert(at, (hash, key));
        self.arena.push(Runner {
            stalled_at: None,
            belief: software::Belief::default(),
            cold: cold::State::of_entry(first_seen, listed.cold_for),
            evacuated: self.is_evacuated(&listed.zone),
            is_registered: self.register.allows(&listed.service, listed.software.version),
            listed,
            hash,
            local_load: Load::default(),
            reported_load: Load::default(),
            peer_load: Load::default(),
            failure_rate: 0.0,
            slowdown: 1.0,
            for_long_prompts: false,
            idle: None,
            gone_at: None,
            listed_at: first_seen,
            replaced: false,
            retry_at: Moment::default(),
            failures: 0,
            relayed: Backoff::default(),
            room: brittle::Room::default(),
            has_rejected: false,
            rate: rate::State::default(),
            hold_off: holdoff::State::default(),
            leaving: leaving::State::default(),
            zone_hash,
            first_seen,
            last_contact: Moment::default(),
            path_lost_at: None,
        });
    }

    /// Runner by key.
    pub fn get(&self, key: Key) -> Option<&Runner> {
        self.arena.get(key.index())
    }

    /// Key by id.
    pub fn find(&self, id: &str) -> Option<Key> {
        let at = self
            .ids
            .binary_search_by(|(have, _)| have.as_str().cmp(id))
            .ok()?;
        Some(self.ids[at].1)
    }

    /// Key by the hash of the id.
    pub fn find_by_hash(&self, hash: u64) -> Option<Key> {
        let at = self.hashes.binary_search_by_key(&hash, |(have, _)| *have).ok()?;
        Some(self.hashes[at].1)
    }

    /// All runners that were ever listed.
    pub fn runners(&self) -> impl Iterator<Item = (Key, &Runner)> {
        let keys = (0..self.arena.len() as u32).map(Key);
        keys.zip(&self.arena)
    }

    /// Number of runners of a service that accept new requests according to the list.
    pub fn count_listed(&self, now: Moment, service: &str) -> usize {
        let of_service = |runner: &&Runner| runner.listed.service == service && runner.is_listed(now);
        self.arena.iter().filter(of_service).count()
    }

    /// The same for a service that is known by the hash of its name.
    pub fn count_listed_by_hash(&self, now: Moment, service: u64) -> usize {
        let name = self.service_name(service);
        name.map_or(0, |name| self.count_listed(now, &name))
    }

    /// Name of a service with runners, by its hash.
    pub fn service_name(&self, service: u64) -> Option<String> {
        let mut services = self.arena.iter().map(|runner| &runner.listed.service);
        services.find(|name| digest(name.as_bytes()) == service).cloned()
    }

    /// Runners of a service that can be sent new requests on a way.
    pub fn available<'a>(
        &'a self,
        now: Moment,
        service: &'a str,
        way: Way,
    ) -> impl Iterator<Item = (Key, &'a Runner)> {
        let serves = move |runner: &Runner| {
            runner.listed.service == service && self.clearance(now, runner, way) != Clearance::Denied
        };
        let is_reachable =
            move |runner: &Runner| way == Way::Relayed || !self.is_avoided(now, &runner.listed.zone);
        // If all zones seem cut off, they are tried anyway.
        let has_reachable = self
            .arena
            .iter()
            .any(|runner| serves(runner) && is_reachable(runner));
        self.runners()
            .filter(move |(_, runner)| serves(runner) && (!has_reachable || is_reachable(runner)))
    }

    /// Whether a runner's cold start lets this host send to it. What this host has found out on its own path, such
    /// as doubts whether a runner has restarted, does not count for a peer, which connects only to runners that it
    /// would use itself.
    fn is_warm_for(&self, now: Moment, runner: &Runner, way: Way) -> bool {
        match way {
            Way::Direct => self.may_warm_up(now, runner),
            Way::Relayed => self.is_listed_warm(now, runner),
        }
    }

    /// Whether a runner can be used on a way and has not restarted since `since`, when it got a prefix.
    pub fn has_cached(&self, now: Moment, key: Key, since: Moment, way: Way) -> bool {
        let runner = self.get(key);
        runner.is_some_and(|runner| {
            runner.is_available(now, way) && !runner.hold_off.is_held(now) && runner.first_seen <= since
        })
    }

    /// Mutable runner by key.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Runner> {
        self.arena.get_mut(key.index())
    }

    /// All runners, mutable, to reserve them for long or short prompts.
    pub fn runners_mut(&mut self) -> &mut [Runner] {
        &mut self.arena
    }

    /// Median slowdown of a service's runners.
    pub fn median_slowdown(&self, now: Moment, service: &str) -> f64 {
        let of_service = self
            .arena
            .iter()
            .filter(|runner| runner.is_listed(now) && runner.listed.service == service);
        let mut slowdowns: Vec<f64> = of_service.map(|runner| runner.slowdown).collect();
        if slowdowns.is_empty() {
            return 1.0;
        }
        let middle = slowdowns.len() / 2;
        *slowdowns.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Sets the idle connection that would be used next.
    pub fn set_idle(&mut self, key: Key, idle: Option<Idle>) {
        if let Some(runner) = self.get_mut(key) {
            runner.idle = idle;
        }
    }

    /// Counts a request on a runner, with its prefill work and the KV cache that it will occupy.
    pub fn start_request(&mut self, now: Moment, key: Key, prefill_us: u64, kv_tokens: u64) {
        self.delay_next_send(now, key);
        self.record_rate_send(now, key);
        if let Some(runner) = self.get_mut(key) {
            runner.hold_off.record_send(now);
            runner.local_load.running += 1;
            runner.local_load.prefill_us += prefill_us;
            runner.local_load.kv_tokens += kv_tokens;
        }
    }

    /// Removes the prefill work of a request whose first token has come.
    pub fn finish_prefill(&mut self, key: Key, prefill_us: u64) {
        if let Some(runner) = self.get_mut(key) {
            runner.local_load.prefill_us = runner.local_load.prefill_us.saturating_sub(prefill_us);
        }
    }

    /// Removes a finished request; `prefill_us` is the prefill work that was not done.
    pub fn finish_request(&mut self, key: Key, prefill_us: u64, kv_tokens: u64) {
        if let Some(runner) = self.get_mut(key) {
            runner.local_load.running = runner.local_load.running.saturating_sub(1);
            runner.local_load.prefill_us = runner.local_load.prefill_us.saturating_sub(prefill_us);
            runner.local_load.kv_tokens = runner.local_load.kv_tokens.saturating_sub(kv_tokens);
        }
    }

    /// Records an answer or an accepted connection.
    pub fn record_contact(&mut self, now: Moment, key: Key) {
        if let Some(runner) = self.get_mut(key) {
            runner.last_contact = now;
        }
    }

    /// Decides what a request that was sent at `sent` should do about its runner's silence.
    ///
    /// A network cut gives no error and looks like a slow runner. Many requests may wait for one
    /// runner, so only one of them probes it and the others use the result; a runner with a long
    /// queue does not have to accept a connection for each.
    pub fn liveness(&mut self, now: Moment, key: Key, sent: Moment) -> Liveness {
        let Some(runner) = self.get_mut(key) else {
            return Liveness::PathLost;
        };
        if runner.path_lost_at.is_some_and(|lost| lost.reached(sent)) {
            return Liveness::PathLost;
        }
        let silence = now.since(runner.last_contact).min(now.since(sent));
        if silence < PROBE_AFTER {
            return Liveness::Recent(PROBE_AFTER - silence);
        }
        runner.last_contact = now;
        Liveness::Silent
    }

    /// Replaces the load from other hosts, looked up by the hash of the runner's id.
    pub fn set_peer_loads(&mut self, of: impl Fn(u64) -> Load) {
        for runner in &mut self.arena {
            runner.peer_load = of(runner.hash);
        }
    }

    /// Replaces one host's part in the load from other hosts.
    pub fn change_peer_load(&mut self, hash: u64, previous: Load, current: Load) {
        if let Some(runner) = self.find_by_hash(hash).and_then(|key| self.get_mut(key)) {
            runner.peer_load = runner.peer_load.minus(previous).plus(current);
        }
    }

    /// Runners on which this host's load has changed since the other hosts were last told; they
    /// count as told from now on.
    pub fn take_changed(&mut self) -> impl Iterator<Item = &Runner> {
        let is_changed = |runner: &&mut Runner| runner.local_load != runner.reported_load;
        self.arena.iter_mut().filter(is_changed).map(|runner| {
            runner.reported_load = runner.local_load;
            &*runner
        })
    }
}
