//! The configuration in force at one host.
//!
//! A few hosts of each zone watch the log in the store, and the others get the
//! changes from peers. So the store serves a few watches per zone, and a change
//! costs each host only its own size. The version in force never falls: entries
//! are applied in order and a snapshot only if it is newer, so that neither a
//! stale read nor a lagging peer can revert a change.

use std::sync::Arc;
use std::time::Duration;

use super::change::{self, Entry, Snapshot};
use super::view::View;
use crate::peer::{Heartbeat, Pull, Pulled};
use crate::store::{Answer, Call};
use crate::time::Moment;

/// Hosts per zone that watch the store.
pub const WATCHERS_PER_ZONE: usize = 2;
/// Log entries kept for lagging peers.
const MAX_TAIL: usize = 256;
/// Maximum log entries in one answer of the store.
const BATCH_ENTRIES: u32 = 64;
/// Number of versions after which the snapshot in the store is replaced.
const SNAPSHOT_EVERY: u64 = 32;
/// Half the time after which an unanswered store call is abandoned; a watch may take long.
const HALF_ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after a failed store call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long a host that has just started waits for its peers' heartbeats before it trusts what
/// it has read: long enough for two heartbeats.
const STARTUP_WAIT: Duration = Duration::from_secs(3);
/// Minimum time between pulls from peers.
const PULL_INTERVAL: Duration = Duration::from_millis(300);

plain! {
    /// The store call that is being waited for.
    #[derive(Copy)]
    enum State {
        Idle,
        ReadingSnapshot,
        ReadingLog,
        Watching,
        WritingSnapshot,
    }
}

/// The version in force, and the reading of the next one.
#[derive(Debug)]
pub struct Service {
    view: Arc<View>,
    /// Newest log entries, for lagging peers.
    tail: Vec<Entry>,
    state: State,
    sent_at: Moment,
    next_call: Moment,
    last_pull: Option<Moment>,
    /// Configuration version of the snapshot in the store, and the version of its store entry.
    stored_snapshot: (u64, u64),
    snapshot_read: bool,
    /// When the version in force was last known to be the newest.
    fresh_at: Option<Moment>,
    started_at: Option<Moment>,
    /// Highest version in a peer's heartbeat.
    newest_peer_version: u64,
    /// Whether this host has been as new as all its peers since it started.
    caught_up: bool,
    watcher: bool,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            view: Arc::new(View::default()),
            tail: Vec::new(),
            state: State::Idle,
            sent_at: Moment::default(),
            next_call: Moment::default(),
            last_pull: None,
            stored_snapshot: (0, 0),
            snapshot_read: false,
            fresh_at: None,
            started_at: None,
            newest_peer_version: 0,
            caught_up: false,
            watcher: false,
        }
    }
}

impl Service {
    /// The version in force.
    pub fn view(&self) -> &Arc<View> {
        &self.view
    }

    /// Time since this host last knew, from the store or from peers, that it had the newest
    /// version; none if it never did.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.fresh_at.map(|fresh| now.since(fresh))
    }

    /// Whether keys may be trusted: this host has caught up with its peers since it started, and
    /// has known within the key horizon that its version was the newest.
    pub fn trusted(&self, now: Moment) -> bool {
        let horizon = self.view.document.settings.key_horizon;
        self.caught_up && self.age(now).is_some_and(|age| age <= horizon)
    }

    /// A host that starts during an outage may read an old snapshot while its peers have a newer
    /// version, and a key withdrawn in between would work again on this host. So it first waits
    /// for heartbeats and until it is as new as any peer.
    fn update_caught_up(&mut self, now: Moment) {
        let started_at = *self.started_at.get_or_insert(now);
        let waited = now.since(started_at) >= STARTUP_WAIT;
        self.caught_up |= waited && self.view.version > 0 && self.view.version >= self.newest_peer_version;
    }

    /// Returns the next store call that is due. Only watchers call the store, except that a host
    /// without a configuration always does, as it may have no peer.
    pub fn tick(&mut self, now: Moment, watcher: bool) -> Option<Call> {
        self.update_caught_up(now);
        self.watcher = watcher;
        if self.state != State::Idle && now.since(self.sent_at) >= HALF_ANSWER_TIMEOUT + HALF_ANSWER_TIMEOUT {
            self.state = State::Idle;
        }
        if self.state != State::Idle || !now.reached(self.next_call) {
            return None;
        }
        if !watcher && self.view.version > 0 {
            return None;
        }
        self.sent_at = now;
        if !self.snapshot_read {
            self.state = State::ReadingSnapshot;
            return Some(Call::Get {
                key: change::SNAPSHOT_KEY.into(),
            });
        }
        if watcher && self.view.version >= self.stored_snapshot.0 + SNAPSHOT_EVERY {
            return Some(self.write_snapshot());
        }
        Some(self.read_log())
    }

    /// Handles the store's answer; returns whether the view changed, and the next store call.
    pub fn on_answer(&mut self, now: Moment, answer: &Answer) -> (bool, Option<Call>) {
        let state = std::mem::replace(&mut self.state, State::Idle);
        match (state, answer) {
            (State::ReadingSnapshot, Answer::Found(entries)) => {
                let entry = entries.first().filter(|entry| entry.version > 0);
                let snapshot = entry.and_then(|entry| serde_json::from_str::<Snapshot>(&entry.value).ok());
                self.stored_snapshot = (
                    snapshot.as_ref().map_or(0, |snapshot| snapshot.version),
                    entry.map_or(0, |entry| entry.version),
                );
                self.snapshot_read = true;
                let changed = snapshot.is_some_and(|snapshot| self.replace(snapshot));
                self.sent_at = now;
                (changed, Some(self.read_log()))
            }
            (State::ReadingLog, Answer::Found(entries)) => self.on_log_entries(now, entries),
            (State::Watching, Answer::Found(_)) => {
                self.fresh_at = Some(now);
                self.sent_at = now;
                (false, Some(self.read_log()))
            }
            (State::WritingSnapshot, Answer::Written(version)) => {
                self.stored_snapshot = (self.view.version, *version);
                (false, None)
            }
            (State::WritingSnapshot, _) => {
                self.snapshot_read = false;
                self.next_call = now + RETRY_DELAY;
                (false, None)
            }
            _ => {
                self.next_call = now + RETRY_DELAY;
                (false, None)
            }
        }
    }

    /// Handles a peer's heartbeat; returns the pull to send to it if its version is newer.
    pub fn on_heartbeat(&mut self, now: Moment, heartbeat: &Heartbeat) -> Option<Pull> {
        self.newest_peer_version = self.newest_peer_version.max(heartbeat.config_version);
        if heartbeat.config_version == self.view.version && heartbeat.config_version > 0 {
            self.update_freshness(now, heartbeat.store_age_ms);
        }
        let due = self
            .last_pull
            .is_none_or(|pulled| now.since(pulled) >= PULL_INTERVAL);
        if heartbeat.config_version <= self.view.version || !due {
            return None;
        }
        self.last_pull = Some(now);
        Some(Pull {
            version: self.view.version,
        })
    }

    /// Answers the pull of a lagging peer.
    pub fn on_pull(&self, pull: &Pull) -> Pulled {
        let from = self.tail.partition_point(|entry| entry.version <= pull.version);
        let entries = &self.tail[from..];
        let follows = entries
            .first()
            .is_some_and(|entry| entry.version == pull.version + 1);
        if pull.version >= self.view.version {
            return Pulled::default();
        }
        if follows && pull.version > 0 {
            let entries = entries
                .iter()
                .filter_map(|entry| serde_json::to_string(entry).ok());
            return Pulled {
                snapshot: String::new(),
                entries: entries.collect(),
            };
        }
        let snapshot = Snapshot {
            version: self.view.version,
            document: self.view.document.clone(),
        };
        Pulled {
            snapshot: serde_json::to_string(&snapshot).unwrap_or_default(),
            entries: Vec::new(),
        }
    }

    /// Applies a peer's answer to a pull; returns whether the view changed.
    pub fn on_pulled(&mut self, pulled: &Pulled) -> bool {
        let snapshot = serde_json::from_str::<Snapshot>(&pulled.snapshot);
        let mut changed = snapshot.is_ok_and(|snapshot| self.replace(snapshot));
        for text in &pulled.entries {
            if let Ok(entry) = serde_json::from_str::<Entry>(text) {
                changed |= self.apply(entry);
            }
        }
        changed
    }

    fn on_log_entries(&mut self, now: Moment, entries: &[crate::store::Entry]) -> (bool, Option<Call>) {
        let parsed: Vec<Entry> = entries
            .iter()
            .filter_map(|entry| serde_json::from_str(&entry.value).ok())
            .collect();
        let has_gap = parsed
            .first()
            .is_some_and(|entry| entry.version > self.view.version + 1);
        if has_gap {
            self.snapshot_read = false;
            self.next_call = now + RETRY_DELAY;
            return (false, None);
        }
        let mut changed = false;
        let batch_full = parsed.len() >= BATCH_ENTRIES as usize;
        for entry in parsed {
            changed |= self.apply(entry);
        }
        self.fresh_at = Some(self.sent_at);
        self.sent_at = now;
        if batch_full {
            return (changed, Some(self.read_log()));
        }
        // Every host is a watcher for a short time after its start, until it has received
        // heartbeats. Without this check each host would leave a pending watch in the store,
        // and each change would cost one read per host.
        if !self.watcher {
            return (changed, None);
        }
        if self.view.version >= self.stored_snapshot.0 + SNAPSHOT_EVERY {
            return (changed, Some(self.write_snapshot()));
        }
        self.state = State::Watching;
        let call = Call::Watch {
            prefix: change::LOG_PREFIX.into(),
            after: change::log_key(self.view.version),
        };
        (changed, Some(call))
    }

    fn read_log(&mut self) -> Call {
        self.state = State::ReadingLog;
        Call::Range {
            prefix: change::LOG_PREFIX.into(),
            after: change::log_key(self.view.version),
            limit: BATCH_ENTRIES,
        }
    }

    fn write_snapshot(&mut self) -> Call {
        self.state = State::WritingSnapshot;
        let snapshot = Snapshot {
            version: self.view.version,
            document: self.view.document.clone(),
        };
        Call::CompareAndSwap {
            key: change::SNAPSHOT_KEY.into(),
            expect: self.stored_snapshot.1,
            value: serde_json::to_string(&snapshot).unwrap_or_default(),
        }
    }

    fn apply(&mut self, entry: Entry) -> bool {
        if entry.version != self.view.version + 1 {
            return false;
        }
        let mut document = self.view.document.clone();
        // An entry that fails to apply was checked by an operator command of another version. It
        // still takes its number; otherwise it would block every later change.
        let _ = change::apply(&mut document, &entry.ops);
        self.view = Arc::new(View::new(entry.version, document));
        self.tail.push(entry);
        if self.tail.len() > MAX_TAIL {
            self.tail.remove(0);
        }
        true
    }

    fn replace(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.version <= self.view.version {
            return false;
        }
        self.tail.clear();
        self.view = Arc::new(View::new(snapshot.version, snapshot.document));
        true
    }

    fn update_freshness(&mut self, now: Moment, age_ms: u64) {
        let Some(mono_us) = now.mono_us.checked_sub(age_ms.saturating_mul(1_000)) else {
            return;
        };
        let fresh_at = Moment {
            mono_us,
            wall_ms: now.wall_ms.saturating_sub(age_ms),
        };
        if self.fresh_at.is_none_or(|current| current < fresh_at) {
            self.fresh_at = Some(fresh_at);
        }
    }
}
