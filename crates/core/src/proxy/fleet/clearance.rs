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

plain! {
    /// Until when a runner that can be used takes no requests of this host. The later variant is the stricter one.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub(super) enum Deferral {
        /// It takes requests now.
        None,
        /// It takes none before this moment.
        Until(Moment),
        /// This host is not to send to it at all.
        Indefinite,
    }
}

impl Deferral {
    /// Until a moment, if that lies ahead.
    pub(super) fn until(now: Moment, at: Moment) -> Self {
        match now.reached(at) {
            true => Deferral::None,
            false => Deferral::Until(at),
        }
    }
}

impl Runner {
    /// Whether it has named a limit, or has asked this host to wait.
    fn is_restricted(&self, now: Moment) -> bool {
        self.rate.limit_at(now).is_some() || self.hold_off.is_active()
    }
}

impl Fleet {
    /// Whether a new request may be placed on a runner.
    pub fn clearance(&self, now: Moment, runner: &Runner, way: Way) -> Clearance {
        match runner.is_available(now, way) && self.is_warm_for(now, runner, way) {
            true => match self.deferral(now, runner) {
                Deferral::None => Clearance::Granted,
                Deferral::Until(at) => Clearance::Deferred(Some(at)),
                Deferral::Indefinite => Clearance::Deferred(None),
            },
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
                && self.halt(now, runner) == Deferral::None
        })
    }

    /// What a runner that can be used has said about itself.
    fn deferral(&self, now: Moment, runner: &Runner) -> Deferral {
        let said = runner.hold_off.deferral(now).max(runner.rate.deferral(now));
        said.max(self.halt(now, runner))
    }

    /// Until when this host sends nothing to a brittle runner that has rejected its request.
    fn halt(&self, now: Moment, runner: &Runner) -> Deferral {
        match runner.room.halt(now) {
            Deferral::None => Deferral::None,
            halt if self.is_brittle(now, &runner.listed.service) => halt,
            _ => Deferral::None,
        }
    }

    /// Runners among these that may be sent a request now.
    pub fn cleared<'a>(&self, now: Moment, mut usable: Vec<(Key, &'a Runner)>) -> Vec<(Key, &'a Runner)> {
        usable.retain(|(_, runner)| self.deferral(now, runner) == Deferral::None);
        usable
    }

    /// Next moment from which this host may send a request to a runner of a service that has named a limit or asked to
    /// wait; `None` if there is none.
    pub fn next_send(&self, now: Moment, service: &str) -> Option<Moment> {
        let restricted = self
            .listed_of(now, service)
            .filter(|runner| runner.is_restricted(now));
        let moments = restricted.filter_map(|runner| match self.deferral(now, runner) {
            Deferral::None => Some(now),
            Deferral::Until(at) => Some(at),
            Deferral::Indefinite => None,
        });
        moments.min_by_key(|at| at.mono_us)
    }

    /// The same if all runners of the service have named a limit or asked to wait; `None` if any has not.
    pub fn next_send_if_all_restricted(&self, now: Moment, service: &str) -> Option<Moment> {
        let mut listed = self.listed_of(now, service);
        listed
            .all(|runner| runner.is_restricted(now))
            .then(|| self.next_send(now, service))?
    }

    /// Runners of a service that accept new requests according to the list.
    fn listed_of<'a>(&'a self, now: Moment, service: &'a str) -> impl Iterator<Item = &'a Runner> {
        self.arena
            .iter()
            .filter(move |runner| runner.listed.service == service && runner.is_listed(now))
    }
}
