//! Software versions of runners, and what this host believes of them.
//!
//! Runners of several versions may serve side by side in one service. Versions are free text without
//! an order. They are unrelated to the versions of entries in the store and of model weights. What two
//! versions write does not fit together, so a stream goes on only at the version that began it.
//!
//! An entry tells the version of the process that wrote it. A runner may start again under its id,
//! with other software, while the list still shows the former entry. After a failure that a restart
//! could have caused, a runner's version is therefore doubted. The doubt ends at once if the runner is
//! heard again within less time than a restart takes. Otherwise it ends with a list that was read so
//! long after the runner was heard that it must show the entry of the process which was heard.

use std::time::Duration;

use super::{Fleet, Key, Runner, cold};
use crate::id::digest;
use crate::time::Moment;

/// Maximum length of a version in log lines, in characters.
const MAX_LABEL_CHARS: usize = 32;
/// Minimum time that a runner needs to start again.
const MIN_RESTART: Duration = Duration::from_millis(600);
/// Time for which a version counts as left after the last of its runners has gone: a runner that has
/// crashed may come back.
const GONE_AFTER: Duration = Duration::from_secs(5);

/// Time for which a service counts as having several versions after one of them has gone.
const VERSION_MEMORY: Duration = Duration::from_secs(60);

arena_key! {
    /// Identifies one software version of one service on all hosts.
    Version(u64)
}

plain! {
    /// Software of a runner.
    #[derive(Eq)]
    pub struct Software {
        /// Identifies the service and the version.
        pub version: Version,
        /// Version as text, shortened for log lines.
        pub label: String,
    }
}

impl Software {
    /// Software of a service's runner that registers with this version.
    pub fn new(service: &str, text: &str) -> Self {
        Self {
            version: Version(digest(format!("{}:{service}:{text}", service.len()).as_bytes())),
            label: text.chars().take(MAX_LABEL_CHARS).collect(),
        }
    }
}

plain! {
    /// Whether the process that answers for a runner is the one that wrote its entry.
    #[derive(Copy, Default)]
    pub(super) struct Belief {
        /// When the runner was last heard before its process was doubted.
        heard_at: Moment,
        /// When its process was last doubted; `None` if it is believed.
        doubted_at: Option<Moment>,
        /// When the runner was first heard after that.
        answered_at: Option<Moment>,
        /// When its version was last seen to change.
        pub(super) changed_at: Option<Moment>,
    }
}

impl Belief {
    fn hear(&mut self, now: Moment) {
        if self.doubted_at.is_none() || self.is_restart_too_fast(now) {
            self.believe();
            self.heard_at = now;
        } else if self.answered_at.is_none() {
            self.answered_at = Some(now);
        }
    }

    fn believe(&mut self) {
        self.doubted_at = None;
        self.answered_at = None;
    }

    /// Whether a process that was heard before the doubt cannot have started again by now.
    fn is_restart_too_fast(&self, now: Moment) -> bool {
        self.heard_at != Moment::default() && now.since(self.heard_at) < MIN_RESTART
    }

    /// Doubts the process of a runner that has broken off.
    pub(super) fn doubt(&mut self, now: Moment) {
        self.doubted_at = Some(now);
        self.answered_at = None;
    }

    /// Doubts the process of a runner that accepts no connection: it may be starting already.
    pub(super) fn doubt_unreachable(&mut self, now: Moment) {
        self.doubt(now);
        self.heard_at = Moment::default();
    }

    /// Ends the doubt if a list that was read at `sent` must show the entry of the current process.
    pub(super) fn read_list(&mut self, sent: Moment) {
        let is_shown = |answered_at: Moment| sent.since(answered_at) >= cold::ENTRY_DELAY;
        let is_over = |doubted_at: Moment| sent.since(doubted_at) >= cold::MAX_DOUBT;
        if self.answered_at.is_some_and(is_shown) || self.doubted_at.is_some_and(is_over) {
            self.believe();
        }
    }

    /// Applies the entry of a new process.
    pub(super) fn restart(&mut self, sent: Moment, is_same_version: bool) {
        self.believe();
        self.heard_at = Moment::default();
        if !is_same_version {
            self.changed_at = Some(sent);
        }
    }
}

impl Runner {
    /// Software version of its process; `None` if the process may not be the one that wrote the entry.
    pub fn known_version(&self) -> Option<Version> {
        let is_believed = self.belief.doubted_at.is_none();
        is_believed.then_some(self.listed.software.version)
    }

    /// Whether it may be chosen to continue a stream that a version began. Its version may still be
    /// doubted then, and is known once it has been connected to.
    pub fn may_continue(&self, now: Moment, version: Version) -> bool {
        let is_believable = self.belief.doubted_at.is_none() || self.belief.is_restart_too_fast(now);
        self.listed.software.version == version && is_believable
    }
}

impl Fleet {
    /// Records that a runner has accepted a connection, answered, or sent an event.
    pub fn hear(&mut self, now: Moment, key: Key) {
        if let Some(runner) = self.get_mut(key) {
            runner.belief.hear(now);
        }
    }

    /// Doubts the process of a runner that has fallen silent amid an answer, if the service has several
    /// versions.
    ///
    /// Its connection was not reset, so it has most probably only paused. If all runners pause, streams
    /// must be able to go on at each of them.
    pub(super) fn doubt_silent(&mut self, now: Moment, key: Key) {
        let Some(service) = self.get(key).map(|runner| runner.listed.service.as_str()) else {
            return;
        };
        let since = now.saturating_sub(VERSION_MEMORY);
        let has_several = only(self.served_since(since, service)).is_none();
        if let Some(runner) = self.get_mut(key).filter(|_| has_several) {
            runner.belief.doubt(now);
        }
    }

    /// Runners of a service that were listed at some time since then.
    pub(super) fn served_since(&self, since: Moment, service: &str) -> impl Iterator<Item = &Runner> {
        self.arena.iter().filter(move |runner| {
            let was_present = runner.gone_at.is_none_or(|gone_at| gone_at.reached(since));
            runner.listed.service == service && was_present
        })
    }

    /// Service and label of a version, if any runner of it was ever listed.
    pub fn software(&self, version: Version) -> Option<(&str, &str)> {
        let mut runners = self.arena.iter().map(|runner| &runner.listed);
        let listed = runners.find(|listed| listed.software.version == version)?;
        Some((listed.service.as_str(), listed.software.label.as_str()))
    }

    /// Whether runners of a version accept requests, or did so until a moment ago.
    pub fn is_version_left(&self, now: Moment, version: Version) -> bool {
        let of_version = |runner: &&Runner| runner.listed.software.version == version;
        let was_present = |gone_at: Moment| now.since(gone_at) < GONE_AFTER;
        let mut runners = self.arena.iter().filter(of_version);
        runners.any(|runner| runner.is_listed(now) || runner.gone_at.is_some_and(was_present))
    }

    /// Whether a runner of a service has started again with another version since then.
    pub(super) fn has_changed_since(&self, since: Moment, service: &str) -> bool {
        let has_changed = |runner: &Runner| runner.belief.changed_at.is_some_and(|at| at.reached(since));
        self.served_since(since, service).any(has_changed)
    }

    /// The version of a service's runners, if no other one can have begun a stream between `since` and
    /// `until`: this host has read the list all the time and has seen only this one.
    pub fn only_version_between(&self, since: Moment, until: Moment, service: &str) -> Option<Version> {
        let watched_since = self.watched_since.filter(|from| since.reached(*from));
        let is_read = watched_since.is_some() && self.last_list.is_some_and(|last| last.reached(until));
        match !is_read || self.has_changed_since(since, service) {
            true => None,
            false => only(self.served_since(since, service)),
        }
    }
}

/// The version that all of these runners have.
fn only<'a>(mut runners: impl Iterator<Item = &'a Runner>) -> Option<Version> {
    let version = runners.next()?.listed.software.version;
    let is_same = |runner: &Runner| runner.listed.software.version == version;
    runners.all(is_same).then_some(version)
}
