//! Runners as one host believes them to be.
//!
//! The list in the store is the base. What this host sees first-hand (refused
//! connections, another instance at an address) goes before it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::id::digest;
use crate::time::Moment;

mod runner;

pub use runner::{Attempt, Idle, Listed, Liveness, Load, Runner, Stage};

arena_key! {
    /// A runner in the fleet.
    Key(u32)
}

/// A pause of the store's answers past which entries may have lapsed in it.
/// Runners renew theirs three times before one lapses, so a shorter pause
/// cannot remove a live runner's entry.
const AWAY: Duration = Duration::from_millis(2_500);
/// How long a missing entry means nothing after the store has come back: live
/// runners are listed again within two seconds, and a read may be a moment old.
const RETURN: Duration = Duration::from_millis(2_300);
/// First rest of a runner that could not be reached.
const REST: Duration = Duration::from_millis(400);
/// Longest rest; a runner that is back serves again within this time.
const REST_MOST: Duration = Duration::from_secs(4);
/// Unreachable runners of one zone after which the whole zone rests.
const ZONE_SIGNS: usize = 2;
/// Rest of a zone that seems cut off; short, as its runners are tried again one
/// by one then.
const ZONE_REST: Duration = Duration::from_millis(800);
/// Time without a word from a runner after which the path to it is looked at; a loaded
/// engine seldom takes longer for a first event.
const DOUBT: Duration = Duration::from_millis(800);
/// Rest of a runner that said it was full.
const FULL_REST: Duration = Duration::from_millis(150);

/// All runners.
#[derive(Debug)]
pub struct Fleet {
    /// This host's zone.
    pub zone: String,
    arena: Vec<Runner>,
    ids: Vec<(String, Key)>,
    hashes: Vec<(u64, Key)>,
    listed: Option<Moment>,
    back: Option<Moment>,
    /// Zones that cannot be reached, and until when they rest.
    cut: Vec<(String, Moment)>,
    /// Zones of other hosts, and when they go quiet unless one is heard again.
    quiet: Vec<(String, Moment)>,
}

impl Fleet {
    /// An empty fleet, seen from a zone.
    pub fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_string(),
            arena: Vec::new(),
            ids: Vec::new(),
            hashes: Vec::new(),
            listed: None,
            back: None,
            cut: Vec::new(),
            quiet: Vec::new(),
        }
    }

    /// Whether the list was ever read.
    pub fn is_listed(&self) -> bool {
        self.listed.is_some()
    }

    /// Takes the whole list, as read by a question that left at `sent`.
    /// Returns the addresses at which another process now listens, so that
    /// connections to the former one are void.
    ///
    /// A missing entry means that the runner is gone, unless the store was
    /// away: then the entries of live runners may have lapsed, and dropping
    /// them would leave nobody to serve. They count as present until the store
    /// has been back for long enough to list them again.
    pub fn update(&mut self, sent: Moment, items: Vec<Listed>) -> Vec<SocketAddr> {
        // The first list of a process brings no such doubt: what lapsed before is not in it,
        // and an entry that is goes for good when it is removed.
        if self.listed.is_some_and(|last| sent.since(last) >= AWAY) {
            self.back = Some(sent);
        }
        self.listed = Some(sent);
        let returning = self.back.is_some_and(|back| sent.since(back) < RETURN);
        if !returning {
            for runner in &mut self.arena {
                runner.present = false;
            }
        }
        items.into_iter().flat_map(|item| self.take(sent, item)).collect()
    }

    fn take(&mut self, sent: Moment, item: Listed) -> Vec<SocketAddr> {
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
        let same = runner.listed.address == item.address && runner.listed.started_ms == item.started_ms;
        let former = runner.listed.address;
        runner.present = true;
        runner.listed = item;
        if same {
            return Vec::new();
        }
        runner.replaced = false;
        runner.rest = Moment::default();
        runner.failures = 0;
        runner.failure_rate = 0.0;
        runner.slowdown = 1.0;
        runner.since = sent;
        vec![former, runner.listed.address]
    }

    fn add(&mut self, at: usize, since: Moment, listed: Listed) {
        let key = Key(self.arena.len() as u32);
        self.ids.insert(at, (listed.id.clone(), key));
        let hash = digest(listed.id.as_bytes());
        let at = self.hashes.partition_point(|(have, _)| *have < hash);
        self.hashes.insert(at, (hash, key));
        self.arena.push(Runner {
            listed,
            hash,
            local_load: Load::default(),
            peer_load: Load::default(),
            failure_rate: 0.0,
            slowdown: 1.0,
            for_long_prompts: false,
            idle: None,
            present: true,
            replaced: false,
            rest: Moment::default(),
            failures: 0,
            since,
            heard: Moment::default(),
            lost: None,
        });
    }

    /// A runner by key.
    pub fn get(&self, key: Key) -> Option<&Runner> {
        self.arena.get(key.index())
    }

    /// A runner by id.
    pub fn find(&self, id: &str) -> Option<Key> {
        let at = self
            .ids
            .binary_search_by(|(have, _)| have.as_str().cmp(id))
            .ok()?;
        Some(self.ids[at].1)
    }

    /// A runner by the hash of its id.
    pub fn find_by_hash(&self, hash: u64) -> Option<Key> {
        let at = self.hashes.binary_search_by_key(&hash, |(have, _)| *have).ok()?;
        Some(self.hashes[at].1)
    }

    /// All runners that were ever listed.
    pub fn runners(&self) -> impl Iterator<Item = (Key, &Runner)> {
        let keys = (0..self.arena.len() as u32).map(Key);
        keys.zip(&self.arena)
    }

    /// Runners of a service that take new work.
    pub fn available<'a>(&'a self, now: Moment, service: &'a str) -> impl Iterator<Item = (Key, &'a Runner)> {
        let own = move |runner: &Runner| runner.listed.service == service && runner.is_available(now);
        let near = move |runner: &Runner| !self.is_cut(now, &runner.listed.zone);
        // A zone that seems cut off is better than none.
        let any = self.arena.iter().any(|runner| own(runner) && near(runner));
        self.runners()
            .filter(move |(_, runner)| own(runner) && (!any || near(runner)))
    }

    /// Whether a runner still keeps what it first read at `since`.
    pub fn has_cached(&self, now: Moment, key: Key, since: Moment) -> bool {
        let runner = self.get(key);
        runner.is_some_and(|runner| runner.is_available(now) && runner.since <= since)
    }

    /// The same, to change what is believed of it.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut Runner> {
        self.arena.get_mut(key.index())
    }

    /// All runners, to divide them.
    pub fn runners_mut(&mut self) -> &mut [Runner] {
        &mut self.arena
    }

    /// Middle of how far the runners of a service lag behind.
    pub fn median_slowdown(&self, service: &str) -> f64 {
        let own = self
            .arena
            .iter()
            .filter(|runner| runner.is_listed() && runner.listed.service == service);
        let mut lags: Vec<f64> = own.map(|runner| runner.slowdown).collect();
        if lags.is_empty() {
            return 1.0;
        }
        let middle = lags.len() / 2;
        *lags.select_nth_unstable_by(middle, f64::total_cmp).1
    }

    /// Whether a zone seems cut off from this host.
    fn is_cut(&self, now: Moment, zone: &str) -> bool {
        self.cut
            .iter()
            .any(|(have, until)| have == zone && !now.reached(*until))
    }

    /// A host of a zone was heard; the next word is due within `limit`.
    pub fn record_zone_contact(&mut self, now: Moment, zone: &str, limit: Duration) {
        let until = now + limit;
        match self.quiet.binary_search_by(|(have, _)| have.as_str().cmp(zone)) {
            Ok(at) => self.quiet[at].1 = until,
            Err(at) => self.quiet.insert(at, (zone.to_string(), until)),
        }
    }

    /// Whether nothing comes from the hosts of another zone any more.
    ///
    /// A cut gives no sign: each request that crosses it costs the time-out of a connection,
    /// and each copy that a runner asks for across it a part of a second. The silence of a
    /// zone's hosts shows it sooner than either. It is no proof, so it only counts as cost.
    pub fn is_zone_silent(&self, now: Moment, zone: &str) -> bool {
        let found = self.quiet.binary_search_by(|(have, _)| have.as_str().cmp(zone));
        zone != self.zone && found.is_ok_and(|at| now.reached(self.quiet[at].1))
    }

    /// Takes note of a runner of another zone that could not be reached.
    ///
    /// When a zone is cut off, each of its runners would cost one request the
    /// time-out of a connection, and a caller that meets four of them is
    /// refused. After the second one the zone rests as a whole.
    fn suspect(&mut self, now: Moment, zone: &str) {
        if zone == self.zone {
            return;
        }
        let resting = self
            .arena
            .iter()
            .filter(|runner| runner.listed.zone == zone && runner.is_listed() && !now.reached(runner.rest));
        if resting.count() < ZONE_SIGNS {
            return;
        }
        self.cut.retain(|(have, _)| have != zone);
        self.cut.push((zone.to_string(), now + ZONE_REST));
    }

    /// Tells which idle connection to a runner would be used next.
    pub fn set_idle(&mut self, key: Key, idle: Option<Idle>) {
        if let Some(runner) = self.get_mut(key) {
            runner.idle = idle;
        }
    }

    /// A request goes to a runner: `work` microseconds to read, `held` tokens in its memory.
    pub fn start_request(&mut self, key: Key, work: u64, held: u64) {
        if let Some(runner) = self.get_mut(key) {
            runner.local_load.running += 1;
            runner.local_load.prefill_us += work;
            runner.local_load.kv_tokens += held;
        }
    }

    /// The runner has read the prompt: the first token came.
    pub fn finish_prefill(&mut self, key: Key, work: u64) {
        if let Some(runner) = self.get_mut(key) {
            runner.local_load.prefill_us = runner.local_load.prefill_us.saturating_sub(work);
        }
    }

    /// The request is over; `work` was not yet read.
    pub fn finish_request(&mut self, key: Key, work: u64, held: u64) {
        if let Some(runner) = self.get_mut(key) {
            runner.local_load.running = runner.local_load.running.saturating_sub(1);
            runner.local_load.prefill_us = runner.local_load.prefill_us.saturating_sub(work);
            runner.local_load.kv_tokens = runner.local_load.kv_tokens.saturating_sub(held);
        }
    }

    /// A runner has answered something, or taken a connection.
    pub fn record_contact(&mut self, now: Moment, key: Key) {
        if let Some(runner) = self.get_mut(key) {
            runner.heard = now;
        }
    }

    /// What a request that was sent at `sent` makes of its runner's silence.
    ///
    /// A cut path gives no sign, and looks like a runner that takes its time. Many requests
    /// may wait for one runner; one of them asks, so that a runner with a long queue does
    /// not have to take a connection for each, and all learn what came of it.
    pub fn liveness(&mut self, now: Moment, key: Key, sent: Moment) -> Liveness {
        let Some(runner) = self.get_mut(key) else {
            return Liveness::PathLost;
        };
        if runner.lost.is_some_and(|lost| lost.reached(sent)) {
            return Liveness::PathLost;
        }
        let quiet = now.since(runner.heard).min(now.since(sent));
        if quiet < DOUBT {
            return Liveness::Recent(DOUBT - quiet);
        }
        runner.heard = now;
        Liveness::Silent
    }

    /// Replaces what other hosts have on each runner, by the hash of its id.
    pub fn set_peer_loads(&mut self, of: impl Fn(u64) -> Load) {
        for runner in &mut self.arena {
            runner.peer_load = of(runner.hash);
        }
    }

    /// Takes first-hand news of a runner.
    ///
    /// The list lags by seconds behind a crash. Without the rest each request
    /// would try the dead runner anew.
    pub fn record_attempt(&mut self, now: Moment, key: Key, sign: Attempt) {
        let Some(runner) = self.get_mut(key) else {
            return;
        };
        let zone = runner.listed.zone.clone();
        match sign {
            Attempt::Succeeded | Attempt::Failed => {
                runner.failures = 0;
                runner.record_result(sign == Attempt::Failed);
                self.cut.retain(|(have, _)| *have != zone);
            }
            Attempt::Full => runner.rest = now + FULL_REST,
            Attempt::Replaced => runner.replaced = true,
            Attempt::Unreachable | Attempt::PathLost => {
                if sign == Attempt::PathLost {
                    runner.lost = Some(now);
                }
                runner.rest = now + (REST * 2u32.saturating_pow(runner.failures)).min(REST_MOST);
                runner.failures = (runner.failures + 1).min(5);
                self.suspect(now, &zone);
            }
            Attempt::Broken => {
                runner.record_result(true);
                // One broken answer in fifty is usual on some days; only a
                // series tells of the runner.
                runner.failures = (runner.failures + 1).min(5);
                if runner.failures >= 3 {
                    runner.rest = now + (REST * 2u32.saturating_pow(runner.failures - 3)).min(REST_MOST);
                }
            }
        }
    }
}
