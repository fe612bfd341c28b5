//! Configuration in force at one host.
//!
//! A few hosts of each zone watch the log in the store and the rest learn
//! from peers, so the store sees a watch a zone and a change costs each host
//! its own size. The version in force only ever rises: entries apply in order
//! and a snapshot counts only when it is newer, so neither a stale read nor a
//! peer that lags can take anything back.

use std::sync::Arc;
use std::time::Duration;

use super::change::{self, Entry, Snapshot};
use super::view::View;
use crate::peer::{Heartbeat, Pull, Pulled};
use crate::store::{Answer, Call};
use crate::time::Moment;

/// Watchers a zone.
pub const WATCHERS_PER_ZONE: usize = 2;
/// Entries kept for peers that lag.
const MAX_TAIL: usize = 256;
/// Entries in one answer from the store.
const BATCH_ENTRIES: u32 = 64;
/// Versions after which the snapshot in the store is made anew.
const SNAPSHOT_EVERY: u64 = 32;
/// Wait for a store answer before asking again; a watch takes longer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause after a store call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// How long a host that has just started listens to its peers before it
/// trusts what it read: long enough for two heartbeats.
const STARTUP_WAIT: Duration = Duration::from_secs(3);
/// Pause between pulls from peers.
const PULL_INTERVAL: Duration = Duration::from_millis(300);

plain! {
    #[derive(Copy)]
    enum State {
        Idle,
        Snapshot,
        Range,
        Watch,
        Publish,
    }
}

/// The version in force, and where news of the next comes from.
#[derive(Debug)]
pub struct Service {
    view: Arc<View>,
    tail: Vec<Entry>,
    state: State,
    sent_at: Moment,
    next_call: Moment,
    last_pull: Option<Moment>,
    stored_snapshot: (u64, u64),
    snapshot_read: bool,
    fresh_at: Option<Moment>,
    started_at: Option<Moment>,
    newest_heard: u64,
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
            newest_heard: 0,
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

    /// Time since this host knew, first-hand or through peers, that nothing
    /// newer stood in the store.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.fresh_at.map(|fresh| now.since(fresh))
    }

    /// Whether keys may be trusted: this host has listened to its peers since
    /// it started, and has not been cut off for too long.
    pub fn trusted(&self, now: Moment) -> bool {
        let horizon = self.view.document.settings.key_horizon;
        self.caught_up && self.age(now).is_some_and(|age| age <= horizon)
    }

    /// A host that starts during an outage may read an old snapshot while its
    /// peers hold a newer version; a key withdrawn in between would work again
    /// here. So it waits to hear them and until it is as new as any of them.
    fn update_caught_up(&mut self, now: Moment) {
        let began = *self.started_at.get_or_insert(now);
        let listened = now.since(began) >= STARTUP_WAIT;
        self.caught_up |= listened && self.view.version > 0 && self.view.version >= self.newest_heard;
    }

    /// Moves on; `watcher` tells whether to ask the store. A host that has no
    /// configuration asks whatever its rank, as it may have no peer.
    pub fn tick(&mut self, now: Moment, watcher: bool) -> Option<Call> {
        self.update_caught_up(now);
        self.watcher = watcher;
        if self.state != State::Idle && now.since(self.sent_at) >= ANSWER_TIMEOUT + ANSWER_TIMEOUT {
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
            self.state = State::Snapshot;
            return Some(Call::Get {
                key: change::SNAPSHOT_KEY.into(),
            });
        }
        if watcher && self.view.version >= self.stored_snapshot.0 + SNAPSHOT_EVERY {
            return Some(self.write_snapshot());
        }
        Some(self.read_log())
    }

    /// The store's answer; tells whether the view changed.
    pub fn on_answer(&mut self, now: Moment, answer: &Answer) -> (bool, Option<Call>) {
        let step = std::mem::replace(&mut self.state, State::Idle);
        match (step, answer) {
            (State::Snapshot, Answer::Found(entries)) => {
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
            (State::Range, Answer::Found(entries)) => self.on_log_entries(now, entries),
            (State::Watch, Answer::Found(_)) => {
                self.fresh_at = Some(now);
                self.sent_at = now;
                (false, Some(self.read_log()))
            }
            (State::Publish, Answer::Written(version)) => {
                self.stored_snapshot = (self.view.version, *version);
                (false, None)
            }
            (State::Publish, _) => {
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

    /// A peer's beat: where it is ahead, its address is worth a pull.
    pub fn on_heartbeat(&mut self, now: Moment, beat: &Heartbeat) -> Option<Pull> {
        self.newest_heard = self.newest_heard.max(beat.version);
        if beat.version == self.view.version && beat.version > 0 {
            self.update_freshness(now, beat.age);
        }
        let due = self
            .last_pull
            .is_none_or(|pulled| now.since(pulled) >= PULL_INTERVAL);
        if beat.version <= self.view.version || !due {
            return None;
        }
        self.last_pull = Some(now);
        Some(Pull {
            have: self.view.version,
        })
    }

    /// Answers a peer that lags.
    pub fn on_pull(&self, pull: &Pull) -> Pulled {
        let from = self.tail.partition_point(|entry| entry.version <= pull.have);
        let entries = &self.tail[from..];
        let follows = entries
            .first()
            .is_some_and(|entry| entry.version == pull.have + 1);
        if pull.have >= self.view.version {
            return Pulled::default();
        }
        if follows && pull.have > 0 {
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

    /// Takes a peer's answer in; tells whether the view changed.
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
        let gap = parsed
            .first()
            .is_some_and(|entry| entry.version > self.view.version + 1);
        if gap {
            self.snapshot_read = false;
            self.next_call = now + RETRY_DELAY;
            return (false, None);
        }
        let mut changed = false;
        let full = parsed.len() >= BATCH_ENTRIES as usize;
        for entry in parsed {
            changed |= self.apply(entry);
        }
        self.fresh_at = Some(self.sent_at);
        self.sent_at = now;
        if full {
            return (changed, Some(self.read_log()));
        }
        // A host is a watcher for a moment at its start, before it hears its
        // peers. Going on with it would leave a waiting watch a host in the
        // store, and a read a host for each change.
        if !self.watcher {
            return (changed, None);
        }
        if self.view.version >= self.stored_snapshot.0 + SNAPSHOT_EVERY {
            return (changed, Some(self.write_snapshot()));
        }
        self.state = State::Watch;
        let call = Call::Watch {
            prefix: change::LOG_PREFIX.into(),
            after: change::log_key(self.view.version),
        };
        (changed, Some(call))
    }

    fn read_log(&mut self) -> Call {
        self.state = State::Range;
        Call::Range {
            prefix: change::LOG_PREFIX.into(),
            after: change::log_key(self.view.version),
            limit: BATCH_ENTRIES,
        }
    }

    fn write_snapshot(&mut self) -> Call {
        self.state = State::Publish;
        let snapshot = Snapshot {
            version: self.view.version,
            document: self.view.document.clone(),
        };
        Call::Swap {
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
        // An entry that does not apply was checked by a newer or older
        // operator command; it still takes its number, or every later change
        // would stand behind it for ever.
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

    fn update_freshness(&mut self, now: Moment, age: u64) {
        let Some(mono) = now.mono.checked_sub(age.saturating_mul(1_000)) else {
            return;
        };
        let fresh = Moment {
            mono,
            wall: now.wall.saturating_sub(age),
        };
        if self.fresh_at.is_none_or(|have| have < fresh) {
            self.fresh_at = Some(fresh);
        }
    }
}
