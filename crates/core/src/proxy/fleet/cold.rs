//! Cold starts and evacuated zones.
//!
//! A runner that has just started is cold for some seconds: it crashes when it gets more than a
//! few requests a second from all hosts together. It is empty then, so it would look the cheapest
//! to all hosts at once. Reports between hosts are too slow to keep them below such a rate.
//!
//! Two hosts of its zone, selected by rendezvous hashing, may therefore send requests to a cold
//! runner, each at its part of the rate. While the hosts disagree about which hosts are live, as
//! during a network cut, there may be twice as many senders, and the runner bears that too. All
//! other hosts wait until the runner is warm.
//!
//! The list lags behind a restart, so the state of a runner is doubted when a restart is likely:
//! when this host cannot reach it, when two other hosts cannot, and when the evacuation of its
//! zone ends. A single report is not enough, as its sender may have lost the path to the runner,
//! and its reports would keep all other hosts from a warm runner. A doubted runner is treated as
//! cold until a later list must show its state, or until it has answered and the time of a cold
//! start has passed.
//!
//! A runner that has just become warm is still empty. The hosts of its zone learn of each other's
//! requests at once, those of other zones only with the next reports between zones. When all hosts
//! used it from the same moment, dozens of requests came at once and queued for seconds. Hosts of
//! other zones therefore wait until the load of its own zone has been reported.

use std::time::Duration;

use super::{Fleet, Key, Runner};
use crate::id::{Incarnation, rendezvous_weight};
use crate::proxy::route::ColdStart;
use crate::time::Moment;

/// Time by which the store may have read an entry later than the read was sent.
const READ_DELAY: Duration = Duration::from_millis(300);
/// Time after which a change of a runner's state is in the list: the time between two writes of
/// its entry, and the delay with which a write becomes visible.
pub(super) const ENTRY_DELAY: Duration = Duration::from_millis(2_500);
/// Time after which a runner is no longer doubted, if neither the list nor an answer has shown its
/// state.
pub(super) const MAX_DOUBT: Duration = Duration::from_secs(10);
/// Time after which hosts of other zones use a runner that has become warm: the time between two
/// reports to other zones in a large fleet.
const REMOTE_DELAY: Duration = Duration::from_secs(3);
/// Time within which reports of two hosts confirm each other.
const REPORT_WINDOW: Duration = Duration::from_secs(2);
/// Number of hosts that send requests to one cold runner.
const SENDERS: u32 = 2;
/// Share of the rate that a cold runner can take which its senders use together.
const RATE_SHARE: f64 = 0.8;

plain! {
    /// What a host knows about a runner's cold start.
    #[derive(Copy, Default)]
    pub struct State {
        /// When it is warm, according to its entry or its answers; `None` if it was never cold.
        warm_at: Option<Moment>,
        /// When its state was last doubted; `None` if it is known.
        doubted_at: Option<Moment>,
        /// Host that last reported that it cannot be reached, and when.
        last_report: Option<(Incarnation, Moment)>,
        /// Whether the other hosts have yet to be told that it cannot be reached.
        is_unreported: bool,
        /// Earliest time of this host's next request to it while it is cold.
        next_send: Moment,
    }
}

impl State {
    /// State of a runner whose entry, read at `sent`, says that it stays cold for `cold_for`.
    pub(super) fn of_entry(sent: Moment, cold_for: Duration) -> Self {
        let mut state = Self::default();
        state.read_entry(sent, cold_for);
        state
    }

    /// Applies a new version of the runner's entry.
    pub(super) fn read_entry(&mut self, sent: Moment, cold_for: Duration) {
        self.warm_at = match cold_for.is_zero() {
            true => self.warm_at.map(|warm_at| warm_at.min(sent)),
            false => Some(sent + cold_for + READ_DELAY),
        };
    }

    /// Ends the doubt if a list that was read at `sent` must show the runner's state.
    pub(super) fn read_list(&mut self, sent: Moment) {
        let is_over = |doubted_at: Moment| sent.since(doubted_at) >= ENTRY_DELAY;
        if self.doubted_at.is_some_and(is_over) {
            self.end_doubt(sent);
        }
    }

    fn end_doubt(&mut self, warm_at: Moment) {
        self.doubted_at = None;
        self.is_unreported = false;
        self.warm_at = Some(self.warm_at.map_or(warm_at, |known| known.max(warm_at)));
    }

    fn is_warm(&self, now: Moment) -> bool {
        let is_doubted = |doubted_at: Moment| now.since(doubted_at) < MAX_DOUBT;
        self.is_known_warm(now) && !self.doubted_at.is_some_and(is_doubted)
    }

    /// Whether it is warm according to its entry and its answers.
    fn is_known_warm(&self, now: Moment) -> bool {
        self.warm_at.is_none_or(|warm_at| now.reached(warm_at))
    }

    /// Whether it has been warm for long enough for other zones to know its load.
    fn is_settled(&self, now: Moment) -> bool {
        self.warm_at
            .is_none_or(|warm_at| now.reached(warm_at + REMOTE_DELAY))
    }
}

plain! {
    /// Cold start of one service's runners.
    pub struct Service {
        name: String,
        duration: Duration,
        /// Time between two requests of one sender to a cold runner.
        send_interval: Duration,
    }
}

impl Runner {
    /// Whether it can take requests at any rate.
    pub fn is_warm(&self, now: Moment) -> bool {
        self.cold.is_warm(now)
    }
}

impl Fleet {
    /// Replaces the list of services whose runners start cold.
    pub fn set_cold_starts<'a>(&mut self, services: impl Iterator<Item = (&'a str, ColdStart)>) {
        let service = |(name, cold_start): (&str, ColdStart)| {
            let rate = cold_start.max_rate * RATE_SHARE / f64::from(SENDERS);
            Service {
                name: name.to_string(),
                duration: cold_start.duration,
                send_interval: Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX),
            }
        };
        self.cold_services = services.map(service).collect();
        self.cold_services.sort_unstable_by(|a, b| a.name.cmp(&b.name));
    }

    fn cold_service(&self, name: &str) -> Option<&Service> {
        let found = self
            .cold_services
            .binary_search_by(|service| service.name.as_str().cmp(name));
        found.ok().map(|at| &self.cold_services[at])
    }

    /// Replaces the list of live hosts in this zone, this host included.
    pub fn set_zone_hosts(&mut self, own: u64, hosts: Vec<u64>) {
        self.own_host = own;
        self.zone_hosts = hosts;
    }

    /// Whether a request may be sent to a runner now, considering whether it is cold. A cold runner
    /// gets none if the rate that it can take is unknown.
    pub(super) fn may_warm_up(&self, now: Moment, runner: &Runner) -> bool {
        let is_near = runner.listed.zone == self.zone;
        if runner.is_warm(now) {
            return is_near || runner.cold.is_settled(now);
        }
        is_near
            && self.cold_service(&runner.listed.service).is_some()
            && now.reached(runner.cold.next_send)
            && self.is_sender(runner.hash)
    }

    /// Whether a runner is warm according to its entry, whatever this host's own path indicates.
    pub(super) fn is_listed_warm(&self, now: Moment, runner: &Runner) -> bool {
        let is_near = runner.listed.zone == self.zone;
        runner.cold.is_known_warm(now) && (is_near || runner.cold.is_settled(now))
    }

    /// Whether this host is one of those that send requests to a cold runner of its zone.
    fn is_sender(&self, runner: u64) -> bool {
        let own = rendezvous_weight(runner, self.own_host);
        let others = self.zone_hosts.iter().filter(|host| **host != self.own_host);
        let before = others.filter(|host| rendezvous_weight(runner, **host) > own);
        !self.zone_hosts.is_empty() && before.count() < SENDERS as usize
    }

    /// Delays this host's next request to a runner, if it is cold.
    pub(super) fn delay_next_send(&mut self, now: Moment, key: Key) {
        let Some(runner) = self.get(key).filter(|runner| !runner.is_warm(now)) else {
            return;
        };
        let interval = self.cold_service(&runner.listed.service);
        let interval = interval.map_or(Duration::ZERO, |service| service.send_interval);
        if let Some(runner) = self.get_mut(key) {
            runner.cold.next_send = now + interval;
        }
    }

    /// Treats a runner as cold until its state is known.
    pub fn doubt(&mut self, now: Moment, key: Key) {
        let Some(runner) = self.get(key) else {
            return;
        };
        if self.cold_service(&runner.listed.service).is_some()
            && let Some(runner) = self.get_mut(key)
        {
            runner.cold.doubted_at = Some(now);
        }
    }

    /// Records that another host could not reach a runner, and doubts the runner if a second host
    /// has reported the same.
    pub fn record_report(&mut self, now: Moment, key: Key, reporter: Incarnation) {
        let Some(runner) = self.get_mut(key) else {
            return;
        };
        let previous = runner.cold.last_report.replace((reporter, now));
        let confirms = |(host, at): (Incarnation, Moment)| host != reporter && now.since(at) < REPORT_WINDOW;
        if previous.is_some_and(confirms) {
            self.doubt(now, key);
        }
    }

    /// Doubts a runner that this host could not reach. The other hosts are told, if the runner is
    /// in this zone: a runner in another zone may only be behind a network cut.
    ///
    /// A runner that is doubted already is not reported. When a zone lost hundreds of runners,
    /// reports of each failure to hundreds of hosts took most of the bandwidth between zones.
    pub(super) fn doubt_unreachable(&mut self, now: Moment, key: Key) {
        let is_news = |runner: &Runner| runner.listed.zone == self.zone && runner.cold.doubted_at.is_none();
        let is_news = self.get(key).is_some_and(is_news);
        self.doubt(now, key);
        if let Some(runner) = self.get_mut(key).filter(|_| is_news) {
            runner.cold.is_unreported = runner.cold.doubted_at.is_some();
        }
    }

    /// Ends the doubt about a runner that has answered. It may have started just before.
    pub(super) fn confirm(&mut self, now: Moment, key: Key) {
        let Some(runner) = self.get(key).filter(|runner| runner.cold.doubted_at.is_some()) else {
            return;
        };
        let service = self.cold_service(&runner.listed.service);
        let warm_at = service.map_or(now, |service| now + service.duration);
        if let Some(runner) = self.get_mut(key) {
            runner.cold.end_doubt(warm_at);
        }
    }

    /// Hashes of the runners that this host could not reach and has not told the others about; they
    /// count as told from now on.
    pub fn take_unreachable(&mut self) -> Vec<u64> {
        self.take_unreachable_if(|_, _| true)
    }

    /// The same for the runners that `confirms` accepts, by their service and the moment at which they
    /// could not be reached. The others are kept for later.
    pub fn take_unreachable_if(&mut self, confirms: impl Fn(&str, Moment) -> bool) -> Vec<u64> {
        let unreported = self.arena.iter_mut().filter(|runner| {
            let failed_at = runner.cold.doubted_at.unwrap_or_default();
            runner.cold.is_unreported && confirms(&runner.listed.service, failed_at)
        });
        let hashes = unreported.map(|runner| {
            runner.cold.is_unreported = false;
            runner.hash
        });
        hashes.collect()
    }

    /// Replaces the list of evacuated zones; returns whether it has changed. Their runners get no
    /// new requests, and provide no cached prefixes.
    ///
    /// When an evacuation ends, all runners of the zone are idle, and may have become cold since
    /// their entries were written.
    pub fn set_evacuated(&mut self, now: Moment, mut zones: Vec<String>) -> bool {
        zones.sort_unstable();
        if zones == self.evacuated_zones {
            return false;
        }
        self.evacuated_zones = zones;
        let mut returned = Vec::new();
        for (at, runner) in self.arena.iter_mut().enumerate() {
            let evacuated = self.evacuated_zones.binary_search(&runner.listed.zone).is_ok();
            if runner.evacuated && !evacuated {
                returned.push(Key(at as u32));
            }
            runner.evacuated = evacuated;
        }
        returned.into_iter().for_each(|key| self.doubt(now, key));
        true
    }

    /// Zones that the operator has evacuated, sorted.
    pub fn evacuated_zones(&self) -> &[String] {
        &self.evacuated_zones
    }

    /// Whether the operator has evacuated a zone.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        let found = self
            .evacuated_zones
            .binary_search_by(|have| have.as_str().cmp(zone));
        found.is_ok()
    }
}
