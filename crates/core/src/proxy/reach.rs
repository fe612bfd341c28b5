//! Which services this host reaches, and which of its peers reach them.
//!
//! A connection that fails does not show whether the runner or this host's path to it is at fault.
//! Failures at different runners of a service, with no new connection to any of them in between,
//! indicate the path. A probe of another runner then confirms the loss or refutes it. Peers tell each other
//! which services they reach, so that the loss of a path can be told from the loss of the runners.
//!
//! The paths to the services are independent: a network may separate this host from one of them only.

use std::net::SocketAddr;
use std::time::Duration;

use super::State;
use super::fleet::{AttemptResult, Key, Liveness, Runner, Way};
use super::services::Services;
use crate::id::{digest, rendezvous_weight};
use crate::time::Moment;

/// Number of runners that cannot be reached from which the path counts as lost; fewer, if the service
/// has fewer.
const LOST_RUNNERS: usize = 2;
/// Time within which these failures indicate the path.
const FAILURE_WINDOW: Duration = Duration::from_secs(2);
/// Time after a loss within which a connection shows that it was a false alarm.
const FALSE_ALARM: Duration = Duration::from_millis(300);
/// Duration of the return to the path after a loss.
const RETURN_TIME: Duration = Duration::from_millis(1_500);
/// Time before a timeout within which a sign of the service shows that the path still works.
const HEARD_BEFORE_LOSS: Duration = Duration::from_millis(150);
/// Time without any sign of a service, from which its path is probed if several runners owe an answer.
const SILENCE: Duration = Duration::from_millis(300);
/// Time without an answer after which a request gives up a path that is known to be lost.
const LOST_AFTER: Duration = Duration::from_millis(800);
/// Time between two probes of a lost path: at first, and at most.
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(500);
const MAX_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Time between two probes of a path in use, at least.
const SUSPICION_INTERVAL: Duration = Duration::from_secs(1);
/// Age of the last sign of a service up to which this host reports that it reaches the service.
const REACHED_AGE: Duration = Duration::from_secs(1);
/// Age up to which a peer's report is used.
const REPORT_AGE: Duration = Duration::from_secs(3);

plain! {
    /// State of the path to a service.
    #[derive(Copy, Eq, Default)]
    pub enum Phase {
        /// It is in use.
        #[default]
        Direct,
        /// No runner could be reached.
        Lost {
            /// When that was noticed.
            since: Moment,
        },
        /// A runner was reached again.
        Returning {
            /// When that was.
            since: Moment,
        },
    }
}

plain! {
    /// How a runner could not be reached.
    #[derive(Copy, Eq)]
    pub enum Failure {
        /// A connection, or the answer on an open one, did not come in time.
        Timeout,
        /// A connection was refused.
        Refused,
    }
}

plain! {
    /// Change of the phase of a path.
    #[derive(Copy, Eq)]
    pub enum Change {
        /// The path is lost.
        Lost,
        /// Requests return to the path.
        Returning,
        /// The path is in use again.
        Regained {
            /// For how long it was not.
            after: Duration,
        },
    }
}

/// Path to one service.
#[derive(Clone, Debug, Default)]
struct Path {
    phase: Phase,
    /// When it was lost, if it is not in use.
    lost_at: Moment,
    /// Runners that could not be reached since the last new connection.
    failed: Vec<(Key, Moment)>,
    /// Whether a failure among these was a timeout.
    has_timeout: bool,
    /// Last answer, event or accepted connection.
    heard_at: Option<Moment>,
    /// When the path is probed next; `None` while nothing indicates a loss.
    probe_at: Option<Moment>,
    probe_interval: Duration,
    /// Last probe or suspicion.
    probed_at: Option<Moment>,
}

impl Path {
    fn record_connection(&mut self, now: Moment) -> Option<Change> {
        self.heard_at = Some(now);
        self.failed.clear();
        self.has_timeout = false;
        match self.phase {
            Phase::Direct => {
                self.probe_at = None;
                None
            }
            Phase::Lost { since } if since == self.lost_at && now.since(since) < FALSE_ALARM => {
                Some(self.regain(now))
            }
            Phase::Lost { .. } => {
                self.phase = Phase::Returning { since: now };
                self.probe_at = None;
                Some(Change::Returning)
            }
            Phase::Returning { .. } => None,
        }
    }

    /// Records a failure at one of `runners` runners.
    fn record_failure(&mut self, now: Moment, key: Key, failure: Failure, runners: usize) -> Option<Change> {
        self.failed
            .retain(|(failed, at)| *failed != key && now.since(*at) < FAILURE_WINDOW);
        if self.failed.is_empty() {
            self.has_timeout = false;
        }
        self.failed.push((key, now));
        self.has_timeout |= failure == Failure::Timeout;
        let is_silent = failure == Failure::Refused || !self.is_heard_within(now, HEARD_BEFORE_LOSS);
        match self.phase {
            Phase::Returning { .. } if is_silent => Some(self.lose(now)),
            Phase::Direct if is_silent && self.failed.len() >= LOST_RUNNERS.min(runners.max(1)) => {
                self.lost_at = now;
                Some(self.lose(now))
            }
            Phase::Direct => {
                self.suspect(now);
                None
            }
            Phase::Lost { .. } | Phase::Returning { .. } => None,
        }
    }

    fn is_heard_within(&self, now: Moment, time: Duration) -> bool {
        self.heard_at.is_some_and(|heard_at| now.since(heard_at) < time)
    }

    fn lose(&mut self, now: Moment) -> Change {
        self.phase = Phase::Lost { since: now };
        self.probe_at = Some(now);
        self.probe_interval = MIN_PROBE_INTERVAL;
        Change::Lost
    }

    fn regain(&mut self, now: Moment) -> Change {
        self.phase = Phase::Direct;
        self.probe_at = None;
        Change::Regained {
            after: now.since(self.lost_at),
        }
    }

    /// Requests a probe of a path that is in use.
    fn suspect(&mut self, now: Moment) {
        let is_due = self
            .probed_at
            .is_none_or(|at| now.since(at) >= SUSPICION_INTERVAL);
        if self.phase == Phase::Direct && is_due {
            self.probe_at = Some(now);
            self.probed_at = Some(now);
        }
    }

    /// Whether a probe is due, which is then taken.
    fn take_probe(&mut self, now: Moment) -> bool {
        if !self.probe_at.is_some_and(|at| now.reached(at)) {
            return false;
        }
        self.probed_at = Some(now);
        self.probe_at = match self.phase {
            Phase::Lost { .. } => {
                let next = now + self.probe_interval;
                self.probe_interval = (self.probe_interval * 2).min(MAX_PROBE_INTERVAL);
                Some(next)
            }
            Phase::Direct | Phase::Returning { .. } => None,
        };
        true
    }

    /// When it has to be probed, or its return ends.
    fn next_check(&self) -> Option<Moment> {
        match self.phase {
            Phase::Returning { since } => Some(since + RETURN_TIME),
            Phase::Direct | Phase::Lost { .. } => self.probe_at,
        }
    }

    /// Ends a return that has taken long enough.
    fn advance(&mut self, now: Moment) -> Option<Change> {
        match self.phase {
            Phase::Returning { since } if now.since(since) >= RETURN_TIME => Some(self.regain(now)),
            _ => None,
        }
    }
}

plain! {
    /// What is known of a peer's path to a service, best first.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    pub enum Vouch {
        /// It has heard a runner of the service lately.
        Reached,
        /// It has not reported anything about the service.
        Unknown,
        /// It has lost its path, or stops.
        Lost,
    }
}

plain! {
    /// What a host tells its peers about the services that it reaches.
    #[derive(Default, Eq)]
    pub struct Report {
        /// Short hashes of services of which it has heard a runner within the last second.
        pub reached: Vec<u32>,
        /// Short hashes of services to which it has lost the path.
        pub lost: Vec<u32>,
        /// Connections that it relays for other hosts.
        pub relayed: u32,
        /// Whether it stops, and connects to no runners for others.
        pub is_stopping: bool,
    }
}

/// Last report of one peer.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    received: Moment,
    report: Report,
}

/// Paths to all services, and the peers' reports.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    paths: Services<Path>,
    /// Sorted by address.
    peers: Vec<Peer>,
}

/// Hash of a service's name in reports.
pub(super) fn short_hash(service: &str) -> u32 {
    digest(service.as_bytes()) as u32
}

impl Reach {
    /// State of the path to a service.
    pub fn phase(&self, service: &str) -> Phase {
        self.paths.get(service).map(|path| path.phase).unwrap_or_default()
    }

    /// Records an answer or an event of a stream that came on the path.
    pub fn record_heard(&mut self, now: Moment, service: &str) {
        self.paths.get_or_default(service).heard_at = Some(now);
    }

    /// When anything last came on the path.
    pub fn heard_at(&self, service: &str) -> Option<Moment> {
        self.paths.get(service)?.heard_at
    }

    /// Records that a runner has accepted a new connection.
    pub fn record_connection(&mut self, now: Moment, service: &str) -> Option<Change> {
        self.paths.get_or_default(service).record_connection(now)
    }

    /// Records that one of a service's `runners` runners could not be reached.
    pub fn record_failure(
        &mut self,
        now: Moment,
        service: &str,
        key: Key,
        failure: Failure,
        runners: usize,
    ) -> Option<Change> {
        let path = self.paths.get_or_default(service);
        let change = path.record_failure(now, key, failure, runners);
        if change.is_some() {
            // What separates this host from one service may separate it from others.
            self.paths
                .iter_mut()
                .filter(|(name, _)| *name != service)
                .for_each(|(_, path)| path.suspect(now));
        }
        change
    }

    /// Services whose path is to be probed now.
    pub fn take_probes(&mut self, now: Moment) -> Vec<String> {
        let due = self.paths.iter_mut().filter_map(|(service, path)| {
            let is_due = path.take_probe(now);
            is_due.then(|| service.to_string())
        });
        due.collect()
    }

    /// Ends the returns that have taken long enough.
    pub fn advance(&mut self, now: Moment) -> Vec<(String, Change)> {
        let paths = self.paths.iter_mut();
        let changed = paths.filter_map(|(service, path)| Some((service.to_string(), path.advance(now)?)));
        changed.collect()
    }

    /// When the next probe is due or the next return ends.
    pub fn next_check(&self) -> Option<Moment> {
        let checks = self.paths.iter().filter_map(|(_, path)| path.next_check());
        checks.min()
    }

    /// Runners of a service that could not be reached since the last new connection.
    pub fn failed(&self, service: &str) -> Vec<Key> {
        let failed = self.paths.get(service).map(|path| path.failed.as_slice());
        failed.unwrap_or_default().iter().map(|(key, _)| *key).collect()
    }

    /// Number of services to which the path is lost.
    pub fn lost_services(&self) -> usize {
        let paths = self.paths.iter();
        paths
            .filter(|(_, path)| matches!(path.phase, Phase::Lost { .. }))
            .count()
    }

    /// Whether a request uses a path to which requests return since `since`: the share of those that do
    /// grows with the time.
    pub fn has_returned(&self, now: Moment, since: Moment, random: u64) -> bool {
        let draw = RETURN_TIME.mul_f64(random as f64 / u64::MAX as f64);
        now.since(since) >= draw
    }

    /// Whether connections that are open may still be used, as new ones were only refused.
    pub fn keeps_open(&self, service: &str) -> bool {
        self.paths.get(service).is_none_or(|path| !path.has_timeout)
    }

    /// Whether the path was lost after `sent`, and nothing has come on it since.
    pub fn is_lost_since(&self, service: &str, sent: Moment) -> bool {
        let Some(path) = self.paths.get(service) else {
            return false;
        };
        let is_silent = path
            .heard_at
            .is_none_or(|heard_at| heard_at.since(sent).is_zero());
        matches!(path.phase, Phase::Lost { .. }) && path.has_timeout && is_silent
    }

    /// Whether the path is in use and something has come on it since a moment, so that a failure at
    /// that moment was the runner's.
    pub fn is_heard_since(&self, service: &str, moment: Moment) -> bool {
        let path = self.paths.get(service);
        path.is_some_and(|path| {
            let heard_at = path.heard_at.unwrap_or_default();
            path.phase == Phase::Direct && !heard_at.since(moment).is_zero()
        })
    }

    /// Requests a probe of the path to a service, if it seems to be in use.
    pub fn suspect(&mut self, now: Moment, service: &str) {
        self.paths.get_or_default(service).suspect(now);
    }

    /// What is known of a peer's path to a service, and how many connections it relays.
    pub fn vouch(&self, now: Moment, peer: SocketAddr, service: &str) -> (Vouch, u32) {
        let found = self.peers.binary_search_by_key(&peer, |peer| peer.address);
        let peer = found.ok().map(|at| &self.peers[at]);
        let Some(peer) = peer.filter(|peer| now.since(peer.received) < REPORT_AGE) else {
            return (Vouch::Unknown, 0);
        };
        let hash = short_hash(service);
        let vouch = match () {
            () if peer.report.is_stopping || peer.report.lost.contains(&hash) => Vouch::Lost,
            () if peer.report.reached.contains(&hash) => Vouch::Reached,
            () => Vouch::Unknown,
        };
        (vouch, peer.report.relayed)
    }

    /// What this host tells its peers.
    pub fn report(&self, now: Moment) -> Report {
        let is_lost = |path: &Path| matches!(path.phase, Phase::Lost { .. });
        let is_reached = |path: &Path| !is_lost(path) && path.is_heard_within(now, REACHED_AGE);
        let hashes = |matches: &dyn Fn(&Path) -> bool| {
            let paths = self.paths.iter().filter(|(_, path)| matches(path));
            paths.map(|(service, _)| short_hash(service)).collect()
        };
        Report {
            reached: hashes(&is_reached),
            lost: hashes(&is_lost),
            relayed: 0,
            is_stopping: false,
        }
    }

    /// Stores a peer's report.
    pub fn record_report(&mut self, now: Moment, address: SocketAddr, report: Report) {
        let peer = Peer {
            address,
            received: now,
            report,
        };
        match self.peers.binary_search_by_key(&address, |peer| peer.address) {
            Ok(at) => self.peers[at] = peer,
            Err(at) => self.peers.insert(at, peer),
        }
        self.peers.retain(|peer| now.since(peer.received) < REPORT_AGE);
    }

    /// Number of peers that reach a service, and of those that have lost it.
    pub fn count_peers(&self, now: Moment, service: &str) -> (usize, usize) {
        let hash = short_hash(service);
        let recent = self
            .peers
            .iter()
            .filter(|peer| now.since(peer.received) < REPORT_AGE);
        let reached = recent.clone().filter(|peer| peer.report.reached.contains(&hash));
        let lost = recent.filter(|peer| peer.report.lost.contains(&hash));
        (reached.count(), lost.count())
    }
}

impl State {
    /// Decides what a request that was sent at `sent` should do about its runner's silence.
    ///
    /// When several runners owe an answer and nothing comes from any runner of the service, the path is
    /// probed sooner than a single silent runner would be.
    pub fn liveness(&mut self, now: Moment, key: Key, way: Way, sent: Moment) -> Liveness {
        if let Some(runner) = self.fleet.get(key).filter(|_| way == Way::Direct) {
            let service = runner.listed.service.clone();
            let waited = now.since(sent);
            if waited >= LOST_AFTER && self.reach.is_lost_since(&service, sent) {
                return Liveness::PathLost;
            }
            if waited >= SILENCE && self.is_silent(now, &service) {
                self.reach.suspect(now, &service);
            }
        }
        match self.fleet.liveness(now, key, sent) {
            Liveness::Recent(remaining) => Liveness::Recent(remaining.min(SILENCE)),
            other => other,
        }
    }

    /// Requests a probe of the path to a runner's service.
    pub fn suspect_path(&mut self, now: Moment, key: Key) {
        if let Some(runner) = self.fleet.get(key) {
            self.reach.suspect(now, &runner.listed.service);
        }
    }

    /// Whether several runners of a service owe an answer and nothing has come from any of them lately.
    fn is_silent(&self, now: Moment, service: &str) -> bool {
        let heard_at = self.reach.heard_at(service);
        let is_busy = |runner: &Runner| runner.listed.service == service && runner.local_load.running > 0;
        let busy = self.fleet.runners().filter(|(_, runner)| is_busy(runner));
        heard_at.is_some_and(|at| now.since(at) >= SILENCE) && busy.count() >= LOST_RUNNERS
    }

    /// Records that a runner has accepted a new connection of this host.
    pub fn record_connection(&mut self, now: Moment, key: Key) -> Option<Change> {
        self.fleet.hear(now, key);
        let service = &self.fleet.get(key)?.listed.service;
        self.reach.record_connection(now, service)
    }

    /// Records an answer or an event that came directly from a runner.
    pub fn record_heard(&mut self, now: Moment, key: Key) {
        if let Some(runner) = self.fleet.get(key) {
            self.reach.record_heard(now, &runner.listed.service);
        }
    }

    /// Runners to probe for a service: those that have not failed yet before the others, in an order
    /// that depends on `random`. While the path is in use, more than one is probed.
    pub fn probe_targets(&self, now: Moment, service: &str, random: u64) -> Vec<Key> {
        let failed = self.reach.failed(service);
        let listed = self
            .fleet
            .runners()
            .filter(|(_, runner)| runner.listed.service == service && runner.is_listed(now));
        let order = |(key, runner): (Key, &Runner)| {
            (failed.contains(&key), rendezvous_weight(random, runner.hash), key)
        };
        let mut targets: Vec<(bool, u64, Key)> = listed.map(order).collect();
        targets.sort_unstable();
        let count = match self.reach.phase(service) {
            Phase::Direct => LOST_RUNNERS,
            Phase::Lost { .. } | Phase::Returning { .. } => 1,
        };
        targets.into_iter().take(count).map(|(_, _, key)| key).collect()
    }

    /// Records that a probe did not reach a runner.
    pub fn record_probe_failure(&mut self, now: Moment, key: Key, failure: Failure) -> Option<Change> {
        let service = self.fleet.get(key)?.listed.service.clone();
        let runners = self.fleet.count_listed(now, &service);
        self.reach.record_failure(now, &service, key, failure, runners)
    }

    /// Records that this host could not reach a runner.
    pub fn record_unreachable(
        &mut self,
        now: Moment,
        key: Key,
        result: AttemptResult,
        failure: Failure,
    ) -> Option<Change> {
        self.fleet.record_attempt(now, key, result);
        self.record_probe_failure(now, key, failure)
    }
}
