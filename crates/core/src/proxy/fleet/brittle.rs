//! Runners that crash when they have to reject too many requests within a second.
//!
//! A rejection that has come back is too late, so the requests that all hosts together may have on such
//! a runner are limited beforehand, without a message: to a share of its slots, of which each host has
//! its part. Which hosts send to a runner is agreed as long as they have the same lists, by their
//! order; each host has at least one runner. What differs between two lists moves a part of the hosts
//! by a place, for which the rest of the slots is left.
//!
//! A runner that rejects a request all the same has less room than its slots. The host that was
//! rejected sends it nothing for more than a second and tells the others; all of them lower its limit,
//! which rises again step by step.

use std::time::Duration;

use super::clearance::Deferral;
use super::{Fleet, Key, Runner};
use crate::proxy::services::Services;
use crate::time::Moment;

/// Share of a runner's slots that all hosts together use: so few that two halves of the hosts which do
/// not know of each other still fit.
const SLOT_SHARE: f64 = 0.5;
/// The same for runners that bear a rejection of each such host.
const TOLERANT_SLOT_SHARE: f64 = 0.85;
/// Time for which limits remain, raised, after an answer that no longer says that its runner is brittle.
const RISE_TIME: Duration = Duration::from_secs(3);
/// Time after which runners no longer count as brittle if none has answered.
const MAX_AGE: Duration = Duration::from_secs(60);
/// Age up to which a host tells the others what it has seen.
const REPORT_AGE: Duration = Duration::from_secs(1);
/// Factor of the limits while they rise.
const RISE_FACTOR: f64 = 2.0;
/// Time for which a host sends nothing to a runner that has rejected its request.
const HALT: Duration = Duration::from_millis(1_200);
/// Factor of a runner's limit after a rejection, its lowest value, and its rise in a second.
const REJECTION_FACTOR: f64 = 0.5;
const MIN_FACTOR: f64 = 0.1;
const FACTOR_RISE_PER_S: f64 = 0.1;
/// Work that may be queued on a runner until its prompts are read.
const MAX_BACKLOG: Duration = Duration::from_millis(500);

plain! {
    /// How brittle the runners of a service are.
    #[derive(Copy, Default)]
    pub(super) struct Service {
        /// Rejections within a second that a runner bears.
        max_rejections: u32,
        /// When an answer to this host last said so.
        seen_at: Option<Moment>,
        /// When another host last reported it.
        reported_at: Option<Moment>,
        /// First answer that did not say so, after those that did.
        cleared_at: Option<Moment>,
    }
}

impl Service {
    /// Share of a runner's slots that may be used by all hosts together, of which `hosts` are known.
    fn slot_share(&self, slots: u32, hosts: usize) -> f64 {
        let senders = hosts.min((f64::from(slots) * TOLERANT_SLOT_SHARE) as usize);
        match 2 * senders <= self.max_rejections as usize {
            true => TOLERANT_SLOT_SHARE,
            false => SLOT_SHARE,
        }
    }

    /// Factor of the limits; `None` if there are none.
    fn factor(&self, now: Moment) -> Option<f64> {
        let told_at = self.told_at()?;
        match self.cleared_after(told_at) {
            None => (now.since(told_at) < MAX_AGE).then_some(1.0),
            Some(cleared_at) => (now.since(cleared_at) < RISE_TIME).then_some(RISE_FACTOR),
        }
    }

    /// When it was last known that they are brittle.
    fn told_at(&self) -> Option<Moment> {
        self.seen_at.max(self.reported_at)
    }

    fn cleared_after(&self, told_at: Moment) -> Option<Moment> {
        self.cleared_at
            .filter(|cleared_at| !cleared_at.since(told_at).is_zero())
    }

    /// Records an answer that does not say that its runner is brittle.
    fn clear(&mut self, now: Moment) {
        if let Some(told_at) = self.told_at()
            && self.cleared_after(told_at).is_none()
        {
            self.cleared_at = Some(now);
        }
    }
}

plain! {
    /// Room of one runner, as far as rejections have shown it.
    #[derive(Copy, Default)]
    pub(super) struct Room {
        /// Until when this host sends nothing to it.
        halted_until: Moment,
        /// When its limit was last lowered, and to what factor.
        lowered: Option<(Moment, f64)>,
    }
}

impl Room {
    /// Until when this host sends nothing to the runner, if it is brittle.
    pub(super) fn halt(&self, now: Moment) -> Deferral {
        Deferral::until(now, self.halted_until)
    }

    /// Factor of the runner's limit.
    fn factor(&self, now: Moment) -> f64 {
        self.lowered.map_or(1.0, |(at, factor)| {
            (factor + FACTOR_RISE_PER_S * now.since(at).as_secs_f64()).min(1.0)
        })
    }

    fn lower(&mut self, now: Moment) {
        let factor = (self.factor(now) * REJECTION_FACTOR).max(MIN_FACTOR);
        self.lowered = Some((now, factor));
    }
}

/// Place of this host among those that share the brittle runners.
#[derive(Clone, Copy, Debug, Default)]
pub struct Place {
    /// Position of this host in the list that all hosts sort alike.
    pub position: usize,
    /// Number of hosts.
    pub hosts: usize,
}

impl Fleet {
    /// Records whether an answer of a runner said that it is brittle, and how many rejections within a
    /// second it bears.
    pub fn record_brittle(&mut self, now: Moment, key: Key, max_rejections: Option<u32>) {
        let Some(service) = self.get(key).map(|runner| runner.listed.service.clone()) else {
            return;
        };
        match max_rejections {
            Some(max_rejections) => {
                let state = self.brittle.get_or_default(&service);
                state.max_rejections = max_rejections;
                state.seen_at = Some(now);
            }
            None if self.brittle.get(&service).is_some() => {
                self.brittle.get_or_default(&service).clear(now);
            }
            None => {}
        }
    }

    /// Records that another host has seen that the runners of a service are brittle.
    pub fn record_brittle_report(&mut self, now: Moment, is_service: impl Fn(&str) -> bool) {
        let mut services = self.arena.iter().map(|runner| &runner.listed.service);
        let Some(service) = services.find(|service| is_service(service)).cloned() else {
            return;
        };
        self.brittle.get_or_default(&service).reported_at = Some(now);
    }

    /// Services whose runners are brittle by answers that this host got within the last second. What
    /// others have reported is not passed on, so that it ends.
    pub fn brittle_services(&self, now: Moment) -> impl Iterator<Item = &str> {
        let is_recent = move |seen_at: Moment| now.since(seen_at) < REPORT_AGE;
        let seen = self.brittle.iter();
        seen.filter(move |(_, state)| state.seen_at.is_some_and(is_recent))
            .map(|(service, _)| service)
    }

    /// Whether the runners of a service are brittle, or were until a moment ago.
    pub fn is_brittle(&self, now: Moment, service: &str) -> bool {
        self.brittle
            .get(service)
            .is_some_and(|state| state.factor(now).is_some())
    }

    /// Replaces this host's place among those that share the brittle runners.
    pub fn set_place(&mut self, place: Place) {
        self.place = place;
    }

    /// Records that a brittle runner has rejected a request of this host.
    pub(super) fn record_rejection(&mut self, now: Moment, key: Key) {
        let Some(runner) = self.get(key) else {
            return;
        };
        if !self.is_brittle(now, &runner.listed.service) {
            return;
        }
        if let Some(runner) = self.get_mut(key) {
            runner.room.halted_until = now + HALT;
            runner.room.lower(now);
            runner.has_rejected = true;
        }
    }

    /// Records that a brittle runner has rejected a request of another host.
    pub fn record_rejection_report(&mut self, now: Moment, key: Key) {
        if let Some(runner) = self.get_mut(key) {
            runner.room.lower(now);
        }
    }

    /// Hashes of the brittle runners that have rejected a request of this host, of which the others have not
    /// been told; they count as told from now on.
    pub fn take_rejections(&mut self) -> Vec<u64> {
        let rejecting = self.arena.iter_mut().filter(|runner| runner.has_rejected);
        let hashes = rejecting.map(|runner| {
            runner.has_rejected = false;
            runner.hash
        });
        hashes.collect()
    }

    /// Runners among these that have room for one more request, if those of the service are brittle.
    pub fn with_room<'a>(
        &self,
        now: Moment,
        service: &str,
        eligible: Vec<(Key, &'a Runner)>,
    ) -> Vec<(Key, &'a Runner)> {
        let Some(state) = self.brittle.get(service) else {
            return eligible;
        };
        let Some(factor) = state.factor(now) else {
            return eligible;
        };
        let shares = self.shares(now, service, state);
        let has_room = |(key, runner): &(Key, &Runner)| {
            let share = state.slot_share(runner.listed.slots, self.place.hosts);
            let slots = f64::from(runner.listed.slots) * share * factor * runner.room.factor(now);
            let found = shares.binary_search_by_key(key, |(key, _)| *key);
            let Some(senders) = found.ok().and_then(|at| shares[at].1) else {
                return false;
            };
            let part = (slots / senders as f64).floor().max(1.0);
            f64::from(runner.local_load.running) < part
                && f64::from(runner.running()) < slots.max(1.0)
                && runner.backlog() < MAX_BACKLOG
        };
        eligible.into_iter().filter(has_room).collect()
    }

    /// For each runner of a service the number of hosts that send to it, or `None` if this host does not.
    /// Sorted by key.
    fn shares(&self, now: Moment, service: &str, state: &Service) -> Vec<(Key, Option<usize>)> {
        let listed = self
            .runners()
            .filter(|(_, runner)| runner.listed.service == service && runner.is_listed(now));
        let mut runners: Vec<(Key, &Runner)> = listed.collect();
        // The same order on all hosts, by zone as that of the hosts.
        runners.sort_unstable_by_key(|(_, runner)| (runner.zone_hash, runner.hash));
        let hosts = self.place.hosts.max(1);
        let count = runners.len().max(1);
        let mut shares: Vec<(Key, Option<usize>)> = Vec::with_capacity(runners.len());
        for (index, (key, runner)) in runners.iter().enumerate() {
            let slots = runner.listed.slots;
            let by_slots = (f64::from(slots) * state.slot_share(slots, hosts)) as usize;
            let senders = by_slots.max(hosts.div_ceil(count)).clamp(1, hosts);
            let first = index * hosts / count;
            let offset = (self.place.position + hosts - first % hosts) % hosts;
            shares.push((*key, (offset < senders).then_some(senders)));
        }
        shares.sort_unstable_by_key(|(key, _)| *key);
        shares
    }
}

/// Brittle services.
pub(super) type Brittle = Services<Service>;
