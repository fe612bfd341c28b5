//! Records that hosts publish about themselves in the store.
//!
//! Each run of a host, identified by its incarnation, writes two keys: its presence, at
//! start and end, and its usage counts, after each usage window. All hosts read the
//! presences, and of the counts only the versions, as a change shows that the run is
//! alive. The values of the counts are read only by the holder of the duty: passing the
//! counts of hundreds of hosts on to hundreds of others saturated the links of the hosts
//! that read the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use radishstair_core::id::{Incarnation, digest};
use radishstair_core::proxy::batch::WriteResult;
use radishstair_core::proxy::readers::{Host, Readers, Source};
use radishstair_core::proxy::usage::{Presence, Record};
use radishstair_core::store::{Answer, Call, Entry, Write};
use radishstair_core::time::Moment;

use super::Shared;
use super::call::{self, PAGE_LIMIT, WRITE_TIMEOUT};
use super::client::Client;
use super::collector;

/// Prefix of all keys that hosts of this system write.
pub const KEY_PREFIX: &str = "radishstair/";
/// Prefix of the presence keys.
const PRESENCE_PREFIX: &str = "radishstair/host/";
/// Prefix of the usage count keys.
pub const COUNT_PREFIX: &str = "radishstair/count/";
/// Key that no host writes; a read of it shows, in few bytes, whether the store answers.
pub const PROBE_KEY: &str = "radishstair/nothing";
/// Delay after a window's end before its counts are written, in milliseconds, so that
/// they are complete. Between writes, peers have the newer counts.
const PUBLISH_DELAY_MS: u64 = 120;
/// Time over which the hosts' writes are spread, in milliseconds, so that they do not
/// reach the collector or the store at the same time.
const PUBLISH_SPREAD_MS: u64 = 100;
/// Time over which the first writes of the presence are spread.
const PRESENCE_SPREAD: Duration = Duration::from_millis(150);
/// Pause after a failed write of the presence or the counts.
const PUBLISH_RETRY_PAUSE: Duration = Duration::from_millis(700);
/// Delay after a window's end before the holder of the duty reads the counts, in
/// milliseconds: by then all are written, and the window is not sealed yet.
const READ_COUNTS_DELAY_MS: u64 = 900;
/// Pause after a failed read of the counts.
const READ_COUNTS_RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Longest gap between two reads of the store. After a longer one, hosts do not count as
/// gone because they were silent during the gap.
const MAX_READ_GAP: Duration = Duration::from_millis(2_500);

/// Keys written by the hosts of this system, as read in one round.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// Time as of which the entries were current.
    pub as_of: Moment,
    /// All entries under [`KEY_PREFIX`].
    pub entries: Vec<Entry>,
}

/// A key that this run writes, and its last known version.
#[derive(Debug)]
struct OwnKey {
    key: String,
    version: u64,
}

/// Publishes this run's records and reads those of all runs.
#[derive(Debug)]
pub struct Records {
    shared: Arc<Shared>,
    store: Arc<Client>,
    presence: OwnKey,
    counts: OwnKey,
    is_announced: bool,
    /// Last window for which the counts were written.
    published_window: u64,
    /// When a failed write is tried again.
    publish_at: Moment,
    /// Queue of the counts that this host writes for others.
    queue: collector::Queue,
    /// Choice of the peer that writes this host's counts.
    readers: Readers,
    /// Client for that peer, with its address.
    collector: Option<(SocketAddr, Client)>,
    /// Last window for which the counts of all runs were read.
    read_window: u64,
    next_read_at: Moment,
    /// Time as of which the last snapshot was current.
    last_read: Option<Moment>,
    /// Versions of the keys of all runs.
    versions: Vec<(String, u64)>,
}

impl Records {
    /// Creates the state of a run that has not written anything.
    pub fn new(shared: Arc<Shared>, store: Arc<Client>, queue: collector::Queue) -> Self {
        let run = run_name(&shared.settings.load().host, shared.incarnation);
        let own_key = |prefix: &str| OwnKey {
            key: format!("{prefix}{run}"),
            version: 0,
        };
        let zone_prefix = zone_prefix(&shared.settings.load().zone);
        let mut records = Self {
            store,
            presence: own_key(&zone_prefix),
            counts: own_key(COUNT_PREFIX),
            is_announced: false,
            published_window: 0,
            publish_at: Moment::default(),
            queue,
            readers: Readers::default(),
            collector: None,
            shared,
            read_window: 0,
            next_read_at: Moment::default(),
            last_read: None,
            versions: Vec::new(),
        };
        // There is nothing to write for the windows before the start.
        records.published_window = records.window_ago(records.publish_delay_ms());
        records
    }

    /// Applies a snapshot of all runs' keys.
    pub fn apply(&mut self, snapshot: &Snapshot) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        let gap = self.last_read.map(|last| snapshot.as_of.since(last));
        if let Some(gap) = gap.filter(|gap| *gap >= MAX_READ_GAP) {
            state.ledger.extend_deadlines(gap);
        }
        self.last_read = Some(snapshot.as_of);
        self.versions.clear();
        let mut located = Vec::new();
        let mut hashes = Vec::new();
        for entry in &snapshot.entries {
            if entry.key.starts_with(PRESENCE_PREFIX) {
                if let Some(presence) = parse::<Presence>(entry) {
                    located.extend(host_of(&presence));
                    if !presence.ended {
                        hashes.push((presence.incarnation, presence.relay_hash.clone()));
                    }
                    state.ledger.add_presence(now, presence);
                }
            } else if let Some(run) = run_of_counts(&entry.key) {
                state.ledger.touch(now, run, entry.version);
            } else {
                continue;
            }
            self.versions.push((entry.key.clone(), entry.version));
        }
        let live = state.ledger.runs(now).filter(|(_, alive)| *alive);
        let peers: Vec<SocketAddr> = live.filter_map(|(record, _)| record.peer.parse().ok()).collect();
        state.hosts = (peers.len() as u32).max(1);
        state.record_hosts(now);
        drop(state);
        self.shared.hosts_known.store(true, Ordering::Relaxed);
        if *self.shared.peers.load_full() != peers {
            tracing::info!(event = "peers", live = peers.len());
        }
        self.shared.peers.store(Arc::new(peers));
        self.shared.record_locations(located);
        self.shared.record_hashes(hashes);
    }

    /// Writes the presence for the first time, so that hosts that start together find each other.
    /// A failed write is repeated with the first counts.
    pub async fn announce(&mut self) {
        let delay = PRESENCE_SPREAD.mul_f64(f64::from(rand::random::<u32>()) / f64::from(u32::MAX));
        tokio::time::sleep(delay).await;
        let record = self.shared.usage_record(false);
        self.publish_presence(&record).await;
    }

    async fn publish_presence(&mut self, record: &Record) {
        let write = self.presence.write(&self.presence_of(record));
        let results = collector::write_all(&self.shared, &self.store, vec![write]).await;
        self.is_announced = self.presence.apply(results.first());
    }

    fn presence_of(&self, record: &Record) -> Presence {
        let settings = self.shared.settings.load();
        Presence {
            relay_hash: self.shared.secret.hash(),
            ..record.presence(&settings.zone, settings.link_mbps as u32)
        }
    }

    /// Writes the presence and the counts if they are due. With `collect`, a peer writes the
    /// counts together with those of other hosts, if it answers.
    pub async fn publish(&mut self, collect: bool) {
        let window = self.window_ago(self.publish_delay_ms());
        let is_done = self.is_announced && self.published_window == window;
        let may_write = self.last_read.is_some() || !self.is_announced;
        if !may_write || is_done || !self.shared.now().reached(self.publish_at) {
            return;
        }
        let record = self.shared.usage_record(false);
        if !self.is_announced {
            self.publish_presence(&record).await;
        }
        if self.last_read.is_some()
            && self.published_window != window
            && self.publish_counts(&record, collect).await
        {
            self.published_window = window;
        }
        if !self.is_announced || self.published_window != window {
            self.publish_at = self.shared.now() + PUBLISH_RETRY_PAUSE;
        }
    }

    /// Writes the final counts and marks this run as ended.
    pub async fn publish_end(&mut self) {
        let record = self.shared.usage_record(true);
        let writes = vec![
            self.counts.write(&record),
            self.presence.write(&self.presence_of(&record)),
        ];
        let results = collector::write_all(&self.shared, &self.store, writes).await;
        self.counts.apply(results.first());
        self.presence.apply(results.get(1));
    }

    async fn publish_counts(&mut self, record: &Record, collect: bool) -> bool {
        let write = self.counts.write(record);
        let collected = match collect {
            true => self.hand_over(&write).await,
            false => None,
        };
        let result = match collected {
            Some(result) => Some(result),
            None => {
                let results = collector::write_all(&self.shared, &self.store, vec![write]).await;
                results.first().copied()
            }
        };
        self.counts.apply(result.as_ref())
    }

    /// Has a peer write this host's counts, or this host's own collector if it collects for
    /// others; `None` if that failed.
    async fn hand_over(&mut self, write: &Write) -> Option<WriteResult> {
        let now = self.shared.now();
        let own_address = self.shared.settings.load().peer_listen;
        let hosts = self.shared.hosts();
        let Source::Peer(peer) = self.readers.preferred(now, own_address, &hosts) else {
            let result = self.queue.write(write.clone()).await;
            return (result != WriteResult::Failed).then_some(result);
        };
        if self
            .collector
            .as_ref()
            .is_none_or(|(address, _)| *address != peer)
        {
            self.collector = Some((peer, Client::default()));
        }
        let (_, client) = self.collector.as_ref()?;
        let result = collector::hand_over(&self.shared, client, peer, write).await;
        if result.is_none() {
            self.readers.mark_unresponsive(self.shared.now(), peer);
        }
        result
    }

    /// Reads the counts of all runs, once per window; called by the holder of the duty.
    pub async fn read_counts(&mut self) {
        let window = self.window_ago(READ_COUNTS_DELAY_MS);
        let now = self.shared.now();
        if self.read_window == window || !now.reached(self.next_read_at) {
            return;
        }
        self.next_read_at = now + READ_COUNTS_RETRY_PAUSE;
        let mut after = String::new();
        loop {
            let call = Call::Range {
                prefix: COUNT_PREFIX.into(),
                after,
                limit: PAGE_LIMIT,
            };
            let response = call::send(&self.shared, &self.store, &call, WRITE_TIMEOUT).await;
            let Answer::Found(entries) = response.answer else {
                return;
            };
            let last = entries
                .last()
                .filter(|_| response.has_more)
                .map(|entry| entry.key.clone());
            let now = self.shared.now();
            for record in entries.iter().filter_map(parse) {
                self.shared.state().ledger.load(now, record);
            }
            let Some(last) = last else {
                break;
            };
            after = last;
        }
        self.read_window = window;
    }

    /// Removes the keys of runs that have shown no sign of life for long.
    pub async fn remove_forgotten(&mut self) {
        let now = self.shared.now();
        let forgotten = self.shared.state().ledger.remove_expired(now);
        for record in forgotten {
            let run = run_name(&record.host, record.incarnation);
            let suffix = format!("/{run}");
            let of_run = |(key, _): &&(String, u64)| key.ends_with(&suffix);
            let keys: Vec<(String, u64)> = self.versions.iter().filter(of_run).cloned().collect();
            for (key, expect) in keys {
                let call = Call::Remove { key, expect };
                let answer = call::send(&self.shared, &self.store, &call, WRITE_TIMEOUT)
                    .await
                    .answer;
                tracing::info!(event = "host-forgotten", host = record.host, incarnation = %record.incarnation, answer = ?answer);
            }
        }
    }

    /// Number of the usage window that was current `ago_ms` milliseconds ago.
    fn window_ago(&self, ago_ms: u64) -> u64 {
        let window_ms = self.shared.settings.load().bounds.usage_window_s * 1_000;
        let wall_clock_ms = self.shared.wall_clock_ms(self.shared.now());
        wall_clock_ms.saturating_sub(ago_ms) / window_ms.max(1)
    }

    /// Time until this host's counts of the current window are to be written.
    pub fn until_publish(&self) -> Duration {
        let window_ms = self.shared.settings.load().bounds.usage_window_s * 1_000;
        let wall_clock_ms = self.shared.wall_clock_ms(self.shared.now());
        let into_window_ms = wall_clock_ms.saturating_sub(self.publish_delay_ms()) % window_ms.max(1);
        Duration::from_millis(window_ms - into_window_ms)
    }

    /// Time after a window's end at which this host's counts are written, in milliseconds.
    fn publish_delay_ms(&self) -> u64 {
        let spread_ms = radishstair_core::id::digest(self.counts.key.as_bytes()) % PUBLISH_SPREAD_MS;
        PUBLISH_DELAY_MS + spread_ms
    }
}

impl OwnKey {
    /// Write of a new value.
    fn write(&self, value: &impl serde::Serialize) -> Write {
        Write {
            key: self.key.clone(),
            expect: self.version,
            // Strings and numbers always serialize to JSON.
            value: serde_json::to_string(value).unwrap_or_default(),
        }
    }

    /// Applies the result of a write; returns whether it was written.
    fn apply(&mut self, result: Option<&WriteResult>) -> bool {
        match result {
            Some(WriteResult::Written(version)) => {
                self.version = *version;
                true
            }
            // An earlier write whose response was lost took effect; the next step writes again.
            Some(WriteResult::Conflict(version)) => {
                self.version = *version;
                false
            }
            Some(WriteResult::Failed) | None => false,
        }
    }
}

/// Suffix that identifies a run in its keys.
fn run_name(host: &str, incarnation: Incarnation) -> String {
    format!("{host}/{incarnation}")
}

/// Run whose counts a key holds, if it is a count key.
fn run_of_counts(key: &str) -> Option<Incarnation> {
    let (_, run) = key.strip_prefix(COUNT_PREFIX)?.rsplit_once('/')?;
    run.parse().ok()
}

/// Value of an entry; `None`, and a log line, if it cannot be read.
pub(super) fn parse<T: serde::de::DeserializeOwned>(entry: &Entry) -> Option<T> {
    match serde_json::from_str(&entry.value) {
        Ok(value) => Some(value),
        Err(err) => {
            tracing::warn!(event = "entry-not-read", key = entry.key, revision = entry.version, reason = %err);
            None
        }
    }
}

/// Prefix of the presence keys of a zone's hosts.
pub fn zone_prefix(zone: &str) -> String {
    format!("{PRESENCE_PREFIX}{zone}/")
}

/// Address, zone and link of a present run; `None` if its address could not be parsed.
fn host_of(presence: &Presence) -> Option<Host> {
    let address = presence.peer.parse().ok()?;
    Some(match presence.zone.is_empty() {
        true => Host::unlocated(address),
        false => Host {
            address,
            zone: digest(presence.zone.as_bytes()),
            link_mbps: presence.link_mbps,
        },
    })
}

/// Hosts whose runs are present in some of the store's keys, for a host that has read
/// no further yet.
pub fn hosts(entries: &[Entry]) -> Vec<Host> {
    let presences = entries
        .iter()
        .filter(|entry| entry.key.starts_with(PRESENCE_PREFIX));
    let running = presences
        .filter_map(parse::<Presence>)
        .filter(|presence| !presence.ended);
    let mut hosts: Vec<Host> = running.filter_map(|presence| host_of(&presence)).collect();
    hosts.sort_unstable_by_key(|host| host.address);
    hosts.dedup_by_key(|host| host.address);
    hosts
}
