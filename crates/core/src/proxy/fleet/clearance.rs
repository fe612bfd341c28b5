//! Whether this host may send a runner a request now, and if not, when.
//!
//! All that keeps requests from a runner meets here: the list, what this host has found out on its own path, and what
//! the runner has said about itself. This is asked when a runner is chosen, and again before bytes are sent: between
//! the two a request may wait for a connection, and the runner may speak. How much room a runner has left for one more
//! request is a question of placement.

use super::{Fleet, Key, Runner, Way};
use crate::time::Moment;

plain! {
    /// Whether a runner may be sent a request.
    #[derive(Copy, Eq)]
    pub enum Clearance {
        /// Now.
        Granted,
        /// The runner takes none before this moment, which is `None` if this host is not to send to it at all.
        Deferred(Option<Moment>),
        /// It cannot be used: it is not listed, this host fails to reach it, or it is cold.
        Denied,
    }
}

impl Clearance {
    /// The stricter of two.
    fn and(self, other: Self) -> Self {
        match (self, other) {
            (Clearance::Denied, _) | (_, Clearance::Denied) => Clearance::Denied,
            (Clearance::Deferred(Some(a)), Clearance::Deferred(Some(b))) => {
                Clearance::Deferred(Some(a.max(b)))
            }
            (Clearance::Deferred(None), _) | (_, Clearance::Deferred(None)) => Clearance::Deferred(None),
            (Clearance::Deferred(at), Clearance::Granted) | (Clearance::Granted, Clearance::Deferred(at)) => {
                Clearance::Deferred(at)
            }
            (Clearance::Granted, Clearance::Granted) => Clearance::Granted,
        }
    }

    /// Granted from a moment on.
    pub(super) fn from(now: Moment, at: Moment) -> Self {
        match now.reached(at) {
            true => Clearance::Granted,
            false => Clearance::Deferred(Some(at)),
        }
    }
}

impl Fleet {
    /// Whether a new request may be placed on a runner.
    pub fn clearance(&self, now: Moment, runner: &Runner, way: Way) -> Clearance {
        match runner.is_available(now, way) && self.is_warm_for(now, runner, way) {
            true => self.deferral(now, runner),
            false => Clearance::Denied,
        }
    }

    /// Whether a request that was placed on a runner at `placed` may be sent to it now.
    ///
    /// Its own place counts in what keeps later requests from the runner, and failures of other requests since then do
    /// not concern one that has a connection. What the runner has said since does.
    pub fn may_send(&self, now: Moment, key: Key, placed: Moment) -> bool {
        self.get(key).is_some_and(|runner| {
            runner.is_listed(now)
                && runner.hold_off.admits(now, placed)
                && runner.rate.admits(now, placed)
                && (!runner.room.is_halted(now) || !self.is_brittle(now, &runner.listed.service))
        })
    }

    /// What a runner that can be used has said about itself.
    fn deferral(&self, now: Moment, runner: &Runner) -> Clearance {
        runner.hold_off.clearance(now).and(runner.rate.clearance(now))
    }

    /// Runners among these that may be sent a request now.
    pub fn cleared<'a>(&self, now: Moment, mut usable: Vec<(Key, &'a Runner)>) -> Vec<(Key, &'a Runner)> {
        usable.retain(|(_, runner)| self.deferral(now, runner) == Clearance::Granted);
        usable
    }

    /// Whether all runners of a service have named a limit, or have asked this host to wait.
    pub fn are_all_restricted(&self, now: Moment, service: &str) -> bool {
        let is_restricted =
            |runner: &Runner| runner.rate.limit_at(now).is_some() || runner.hold_off.is_active();
        let mut listed = self.listed_of(now, service).peekable();
        listed.peek().is_some() && listed.all(is_restricted)
    }

    /// Next moment from which this host may send a request to a runner of a service that has named a limit or asked to
    /// wait; `None` if there is none.
    pub fn next_send(&self, now: Moment, service: &str) -> Option<Moment> {
        let is_restricted =
            |runner: &&Runner| runner.rate.limit_at(now).is_some() || runner.hold_off.is_active();
        let restricted = self.listed_of(now, service).filter(is_restricted);
        let moments = restricted.filter_map(|runner| match self.deferral(now, runner) {
            Clearance::Granted => Some(now),
            Clearance::Deferred(at) => at,
            Clearance::Denied => None,
        });
        moments.min_by_key(|at| at.mono_us)
    }

    /// Runners of a service that accept new requests according to the list.
    fn listed_of<'a>(&'a self, now: Moment, service: &'a str) -> impl Iterator<Item = &'a Runner> {
        self.arena
            .iter()
            .filter(move |runner| runner.listed.service == service && runner.is_listed(now))
    }
}
