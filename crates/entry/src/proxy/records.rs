//! What each run of a host writes about itself, and what is read of the others.
//!
//! Two keys a run: its presence, written at its start and end, and its counts,
//! written after each usage window. All hosts read presences, and of the counts only
//! that they have changed, which tells that the run lives. What was counted is read
//! by the holder of the duty alone: counts of hundreds of hosts, passed on to
//! hundreds of others, filled the links of those that pass them on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishstair_core::id::Incarnation;
use radishstair_core::proxy::share::Host;
use radishstair_core::proxy::tally::{Presence, Record};
use radishstair_core::store::{Answer, Call, Entry};
use radishstair_core::time::Moment;

use super::Shared;
use super::call::{self, LIMIT, WRITE};
use super::client::Client;

/// Prefix of this system's own keys.
pub const PREFIX: &str = "radishstair/";
/// Prefix of presences.
const HOSTS: &str = "radishstair/host/";
/// Prefix of counts.
pub const COUNTS: &str = "radishstair/count/";
/// A key that no host writes. Reading it tells whether the store answers, in few bytes.
pub const NOTHING: &str = "radishstair/nothing";
/// Wait after a window's end before the counts are written, so that they are whole.
/// Between writes the peers hold the newer counts.
const SETTLE_MS: u64 = 120;
/// Time over which the hosts' writes are spread, so that they do not come at the
/// store together.
const SPREAD_MS: u64 = 400;
/// Wait after a window's end before the holder reads the counts: all are written, and
/// the window is not sealed yet.
const GATHER_MS: u64 = 900;
/// Pause after a read of the counts that failed.
const AGAIN: Duration = Duration::from_millis(500);
/// A pause between two reads past which the silence of hosts means nothing.
const AWAY: Duration = Duration::from_millis(2_500);

/// The keys that hosts of this system write, as one round read them.
#[derive(Clone, Debug)]
pub struct Own {
    /// Moment as of which they stood.
    pub as_of: Moment,
    /// All keys under [`PREFIX`].
    pub entries: Vec<Entry>,
}

/// A key that this run writes.
#[derive(Debug)]
struct Written {
    key: String,
    version: u64,
}

/// The records of all runs.
#[derive(Debug)]
pub struct Records {
    shared: Arc<Shared>,
    store: Arc<Client>,
    presence: Written,
    counts: Written,
    announced: bool,
    /// Window after which the counts were written last.
    published: u64,
    /// Window after which all counts were read last.
    gathered: u64,
    next_gather: Moment,
    /// Moment as of which the others were read last.
    read: Option<Moment>,
    /// Versions of all runs' keys.
    versions: Vec<(String, u64)>,
}

impl Records {
    /// Of a run that has written nothing.
    pub fn new(shared: Arc<Shared>, store: Arc<Client>) -> Self {
        let run = run(&shared.settings.load().host, shared.me);
        let written = |prefix: &str| Written {
            key: format!("{prefix}{run}"),
            version: 0,
        };
        Self {
            shared,
            store,
            presence: written(HOSTS),
            counts: written(COUNTS),
            announced: false,
            published: 0,
            gathered: 0,
            next_gather: Moment::default(),
            read: None,
            versions: Vec::new(),
        }
    }

    /// Takes what was read of all runs.
    pub fn take(&mut self, own: &Own) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        let gap = self.read.map(|last| own.as_of.since(last));
        if let Some(gap) = gap.filter(|gap| *gap >= AWAY) {
            state.ledger.excuse(gap);
        }
        self.read = Some(own.as_of);
        self.versions.clear();
        for entry in &own.entries {
            if entry.key.starts_with(HOSTS) {
                if let Some(presence) = parse(entry) {
                    state.ledger.show(now, presence);
                }
            } else if let Some(run) = counted(&entry.key) {
                state.ledger.stir(now, run, entry.version);
            } else {
                continue;
            }
            self.versions.push((entry.key.clone(), entry.version));
        }
        let alive = state.ledger.all(now).filter(|(_, alive)| *alive);
        let peers: Vec<SocketAddr> = alive.filter_map(|(record, _)| record.peer.parse().ok()).collect();
        state.hosts = (peers.len() as u32).max(1);
        drop(state);
        if *self.shared.peers.load_full() != peers {
            tracing::info!(event = "peers", live = peers.len());
        }
        self.shared.peers.store(Arc::new(peers));
    }

    /// Writes what is due.
    pub async fn publish(&mut self) {
        if self.read.is_none() {
            return;
        }
        let window = self.window(SETTLE_MS + self.spread());
        if self.announced && self.published == window {
            return;
        }
        let record = self.shared.record(false);
        if !self.announced {
            self.announced = self.announce(&record).await;
        }
        if self.published != window && self.write(&record).await {
            self.published = window;
        }
    }

    /// Writes the last counts, and that no more will come.
    pub async fn end(&mut self) {
        let record = self.shared.record(true);
        self.write(&record).await;
        self.announce(&record).await;
    }

    async fn announce(&mut self, record: &Record) -> bool {
        let value = serde_json::to_string(&record.presence());
        put(&self.shared, &self.store, &mut self.presence, value).await
    }

    async fn write(&mut self, record: &Record) -> bool {
        let value = serde_json::to_string(record);
        put(&self.shared, &self.store, &mut self.counts, value).await
    }

    /// Reads all runs' counts once a window, while in charge.
    pub async fn gather(&mut self) {
        let window = self.window(GATHER_MS);
        let now = self.shared.now();
        if self.gathered == window || !now.reached(self.next_gather) {
            return;
        }
        self.next_gather = now + AGAIN;
        let mut after = String::new();
        loop {
            let call = Call::Range {
                prefix: COUNTS.into(),
                after,
                limit: LIMIT,
            };
            let page = call::send(&self.shared, &self.store, &call, WRITE).await;
            let Answer::Found(entries) = page.answer else {
                return;
            };
            let last = entries
                .last()
                .filter(|_| page.has_more)
                .map(|entry| entry.key.clone());
            let now = self.shared.now();
            for record in entries.iter().filter_map(parse) {
                self.shared.state().ledger.read(now, record);
            }
            let Some(last) = last else {
                break;
            };
            after = last;
        }
        self.gathered = window;
    }

    /// Removes the keys of runs that are long gone.
    pub async fn clean(&mut self) {
        let now = self.shared.now();
        let gone = self.shared.state().ledger.forget(now);
        for record in gone {
            let run = run(&record.host, record.incarnation);
            for key in [format!("{HOSTS}{run}"), format!("{COUNTS}{run}")] {
                let Some((_, version)) = self.versions.iter().find(|(have, _)| *have == key) else {
                    continue;
                };
                let expect = *version;
                let call = Call::Remove { key, expect };
                let answer = call::send(&self.shared, &self.store, &call, WRITE).await.answer;
                tracing::info!(event = "host-forgotten", host = record.host, incarnation = %record.incarnation, answer = ?answer);
            }
        }
    }

    /// The window that had begun `ago_ms` ago.
    fn window(&self, ago_ms: u64) -> u64 {
        let window_ms = self.shared.settings.load().bounds.usage_window_s * 1_000;
        let civil = self.shared.civil(self.shared.now());
        civil.saturating_sub(ago_ms) / window_ms.max(1)
    }

    fn spread(&self) -> u64 {
        radishstair_core::id::digest(self.counts.key.as_bytes()) % SPREAD_MS
    }
}

/// Writes a key of this run; whether it stands then.
async fn put(
    shared: &Shared,
    store: &Client,
    written: &mut Written,
    value: Result<String, serde_json::Error>,
) -> bool {
    let Ok(value) = value else {
        // Text and numbers always become JSON.
        return false;
    };
    let call = Call::Swap {
        key: written.key.clone(),
        expect: written.version,
        value,
    };
    match call::send(shared, store, &call, WRITE).await.answer {
        Answer::Written(version) => {
            written.version = version;
            true
        }
        // An earlier write whose answer was lost; the next tick repeats it.
        Answer::Conflict(entry) => {
            written.version = entry.version;
            false
        }
        Answer::Refused | Answer::Lost | Answer::Found(_) | Answer::Same => false,
    }
}

/// Name of a run in its keys.
fn run(host: &str, incarnation: Incarnation) -> String {
    format!("{host}/{incarnation}")
}

/// The run whose counts a key holds.
fn counted(key: &str) -> Option<Incarnation> {
    let (_, run) = key.strip_prefix(COUNTS)?.rsplit_once('/')?;
    run.parse().ok()
}

fn parse<T: serde::de::DeserializeOwned>(entry: &Entry) -> Option<T> {
    match serde_json::from_str(&entry.value) {
        Ok(value) => Some(value),
        Err(err) => {
            tracing::warn!(event = "entry-not-read", key = entry.key, revision = entry.version, reason = %err);
            None
        }
    }
}

/// Addresses of the runs that a page of the store's keys shows, for a host that has
/// read no more yet.
pub fn hosts(entries: &[Entry]) -> Vec<Host> {
    let own = entries.iter().filter(|entry| entry.key.starts_with(HOSTS));
    let here = own
        .filter_map(parse::<Presence>)
        .filter(|presence| !presence.ended);
    let mut hosts: Vec<SocketAddr> = here.filter_map(|presence| presence.peer.parse().ok()).collect();
    hosts.sort_unstable();
    hosts.dedup();
    hosts.into_iter().map(Host::unplaced).collect()
}
