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
const TAIL: usize = 256;
/// Entries in one answer from the store.
const BATCH: u32 = 64;
/// Versions after which the snapshot in the store is made anew.
const SNAPSHOT_EVERY: u64 = 32;
/// Wait for a store answer before asking again; a watch takes longer.
const PATIENCE: Duration = Duration::from_secs(15);
/// Pause after a store call that failed.
const PAUSE: Duration = Duration::from_millis(500);
/// How long a host that has just started listens to its peers before it
/// trusts what it read: long enough for two heartbeats.
const BOOT: Duration = Duration::from_secs(3);
/// Pause between pulls from peers.
const PULL: Duration = Duration::from_millis(300);

plain! {
    #[derive(Copy)]
    enum Step {
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
    step: Step,
    sent: Moment,
    next: Moment,
    pulled: Option<Moment>,
    snapshot: (u64, u64),
    booted: bool,
    fresh: Option<Moment>,
    began: Option<Moment>,
    heard: u64,
    settled: bool,
    watcher: bool,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            view: Arc::new(View::default()),
            tail: Vec::new(),
            step: Step::Idle,
            sent: Moment::default(),
            next: Moment::default(),
            pulled: None,
            snapshot: (0, 0),
            booted: false,
            fresh: None,
            began: None,
            heard: 0,
            settled: false,
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
        self.fresh.map(|fresh| now.since(fresh))
    }

    /// Whether keys may be trusted: this host has listened to its peers since
    /// it started, and has not been cut off for too long.
    pub fn trusted(&self, now: Moment) -> bool {
        let horizon = self.view.document.settings.key_horizon;
        self.settled && self.age(now).is_some_and(|age| age <= horizon)
    }

    /// A host that starts during an outage may read an old snapshot while its
    /// peers hold a newer version; a key withdrawn in between would work again
    /// here. So it waits to hear them and until it is as new as any of them.
    fn settle(&mut self, now: Moment) {
        let began = *self.began.get_or_insert(now);
        let listened = now.since(began) >= BOOT;
        self.settled |= listened && self.view.version > 0 && self.view.version >= self.heard;
    }

    /// Moves on; `watcher` tells whether to ask the store. A host that has no
    /// configuration asks whatever its rank, as it may have no peer.
    pub fn tick(&mut self, now: Moment, watcher: bool) -> Option<Call> {
        self.settle(now);
        self.watcher = watcher;
        if self.step != Step::Idle && now.since(self.sent) >= PATIENCE + PATIENCE {
            self.step = Step::Idle;
        }
        if self.step != Step::Idle || !now.reached(self.next) {
            return None;
        }
        if !watcher && self.view.version > 0 {
            return None;
        }
        self.sent = now;
        if !self.booted {
            self.step = Step::Snapshot;
            return Some(Call::Get {
                key: change::SNAPSHOT_KEY.into(),
            });
        }
        if watcher && self.view.version >= self.snapshot.0 + SNAPSHOT_EVERY {
            return Some(self.publish());
        }
        Some(self.range())
    }

    /// The store's answer; tells whether the view changed.
    pub fn on_answer(&mut self, now: Moment, answer: &Answer) -> (bool, Option<Call>) {
        let step = std::mem::replace(&mut self.step, Step::Idle);
        match (step, answer) {
            (Step::Snapshot, Answer::Found(entries)) => {
                let entry = entries.first().filter(|entry| entry.version > 0);
                let snapshot = entry.and_then(|entry| serde_json::from_str::<Snapshot>(&entry.value).ok());
                self.snapshot = (
                    snapshot.as_ref().map_or(0, |snapshot| snapshot.version),
                    entry.map_or(0, |entry| entry.version),
                );
                self.booted = true;
                let changed = snapshot.is_some_and(|snapshot| self.replace(snapshot));
                self.sent = now;
                (changed, Some(self.range()))
            }
            (Step::Range, Answer::Found(entries)) => self.ranged(now, entries),
            (Step::Watch, Answer::Found(_)) => {
                self.fresh = Some(now);
                self.sent = now;
                (false, Some(self.range()))
            }
            (Step::Publish, Answer::Written(version)) => {
                self.snapshot = (self.view.version, *version);
                (false, None)
            }
            (Step::Publish, _) => {
                self.booted = false;
                self.next = now + PAUSE;
                (false, None)
            }
            _ => {
                self.next = now + PAUSE;
                (false, None)
            }
        }
    }

    /// A peer's beat: where it is ahead, its address is worth a pull.
    pub fn on_heartbeat(&mut self, now: Moment, beat: &Heartbeat) -> Option<Pull> {
        self.heard = self.heard.max(beat.config_version);
        if beat.config_version == self.view.version && beat.config_version > 0 {
            self.freshen(now, beat.store_age_ms);
        }
        let due = self.pulled.is_none_or(|pulled| now.since(pulled) >= PULL);
        if beat.config_version <= self.view.version || !due {
            return None;
        }
        self.pulled = Some(now);
        Some(Pull {
            version: self.view.version,
        })
    }

    /// Answers a peer that lags.
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

    fn ranged(&mut self, now: Moment, entries: &[crate::store::Entry]) -> (bool, Option<Call>) {
        let parsed: Vec<Entry> = entries
            .iter()
            .filter_map(|entry| serde_json::from_str(&entry.value).ok())
            .collect();
        let gap = parsed
            .first()
            .is_some_and(|entry| entry.version > self.view.version + 1);
        if gap {
            self.booted = false;
            self.next = now + PAUSE;
            return (false, None);
        }
        let mut changed = false;
        let full = parsed.len() >= BATCH as usize;
        for entry in parsed {
            changed |= self.apply(entry);
        }
        self.fresh = Some(self.sent);
        self.sent = now;
        if full {
            return (changed, Some(self.range()));
        }
        // A host is a watcher for a moment at its start, before it hears its
        // peers. Going on with it would leave a waiting watch a host in the
        // store, and a read a host for each change.
        if !self.watcher {
            return (changed, None);
        }
        if self.view.version >= self.snapshot.0 + SNAPSHOT_EVERY {
            return (changed, Some(self.publish()));
        }
        self.step = Step::Watch;
        let call = Call::Watch {
            prefix: change::LOG_PREFIX.into(),
            after: change::log_key(self.view.version),
        };
        (changed, Some(call))
    }

    fn range(&mut self) -> Call {
        self.step = Step::Range;
        Call::Range {
            prefix: change::LOG_PREFIX.into(),
            after: change::log_key(self.view.version),
            limit: BATCH,
        }
    }

    fn publish(&mut self) -> Call {
        self.step = Step::Publish;
        let snapshot = Snapshot {
            version: self.view.version,
            document: self.view.document.clone(),
        };
        Call::CompareAndSwap {
            key: change::SNAPSHOT_KEY.into(),
            expect: self.snapshot.1,
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
        if self.tail.len() > TAIL {
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

    fn freshen(&mut self, now: Moment, age: u64) {
        let Some(mono) = now.mono_us.checked_sub(age.saturating_mul(1_000)) else {
            return;
        };
        let fresh = Moment {
            mono_us: mono,
            wall_ms: now.wall_ms.saturating_sub(age),
        };
        if self.fresh.is_none_or(|have| have < fresh) {
            self.fresh = Some(fresh);
        }
    }
}
