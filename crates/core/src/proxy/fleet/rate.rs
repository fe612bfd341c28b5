//! Runners that name the rate of requests which they take from all hosts together.
//!
//! No message is sent for a request, so the rate is divided beforehand. A few of all hosts, selected by
//! rendezvous hashing, are the senders of such a runner; each leaves a fixed time between two of its requests.
//! The others send it nothing. How many senders there are, and that time, follow from the limit: if each half of
//! the hosts does not see the other half, there are twice as many senders, and all of them together still
//! send no more than a runner tolerates in a window. While the hosts agree, they send a share of the limit.
//!
//! A host knows the limit from the answers that it passes on, or from the reports of others. A sender keeps it
//! until one of its own answers, or a later report, says otherwise: if a sender forgot it, dozens of requests could
//! be on their way before the next answer. The other hosts get no answers of the runner, so they forget it once no host has
//! reported it for a while.

use std::time::Duration;

use super::clearance::Deferral;
use super::notice::Malformed;
use super::{Fleet, Key, Runner};
use crate::id::rendezvous_weight;
use crate::time::Moment;

/// Window in which requests are counted, and what a runner tolerates there: a multiple of what its limit
/// allows, and some more.
const WINDOW: Duration = Duration::from_secs(4);
const TOLERANCE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Share of a limit that all hosts together use while they agree who the senders are.
const RATE_SHARE: f64 = 0.8;
/// Number of groups of hosts that may not see each other.
const GROUPS: f64 = 2.0;
/// Time after which a host that is no sender forgets a limit that no host has reported.
const REPORT_LIFE: Duration = Duration::from_secs(12);
/// Time for which a host reports a limit of which an answer told it, and that one has ended. A sender reports a limit
/// as long as it knows it.
const REPORT_TIME: Duration = Duration::from_secs(6);
/// Maximum number of limits in a report; those told last go first.
const MAX_REPORTED: usize = 128;
/// Time by which an answer may seem younger once several hosts have reported it.
const ECHO_TIME: Duration = Duration::from_secs(1);
/// Share of the best rate from which more senders are preferred to a higher rate.
const GOOD_RATE: f64 = 0.95;

/// Limits of what a runner may name, in requests per second. A lower limit counts as the lowest, as a runner
/// that got nothing could not say that its limit has ended; a higher one counts as none.
const MIN_PER_S: f64 = 0.05;
const MAX_PER_S: f64 = 1e6;

plain! {
    /// What an answer says about the rate that its runner takes.
    #[derive(Copy, Default)]
    pub enum Notice {
        /// Nothing: the runner has no limit.
        #[default]
        Absent,
        /// Requests per second from all hosts together.
        PerSecond(f64),
        /// Something that cannot be read, and changes nothing.
        Malformed,
    }
}

plain! {
    /// How a runner's limit has changed, in requests per second.
    #[derive(Copy)]
    pub enum Change {
        /// It has begun.
        Begun(f64),
        /// It is another one.
        Changed {
            /// Former limit.
            from: f64,
            /// New limit.
            to: f64,
        },
        /// It has ended.
        Ended,
        /// What the runner names cannot be read.
        Malformed,
    }
}

plain! {
    /// What a host tells the others about the limit of a runner.
    #[derive(Copy)]
    pub struct Report {
        /// Hash of the runner's id.
        pub runner: u64,
        /// Requests per second; `None` if the limit has ended.
        pub limit: Option<f64>,
        /// Time since an answer said so.
        pub age: Duration,
    }
}

plain! {
    /// Rate that a runner takes.
    #[derive(Copy, Default)]
    pub(super) struct State {
        /// Requests per second; `None` if there is no limit.
        limit: Option<f64>,
        /// When an answer to any host last said so; `None` if none ever named a limit.
        told_at: Option<Moment>,
        /// When an answer to this host last said so, or another host last reported the limit.
        heard_at: Moment,
        /// Whether `told_at` is the time of an answer to this host.
        is_own: bool,
        /// Time between two requests of this host, if it is a sender.
        interval: Option<Duration>,
        /// When this host last became a sender.
        limited_at: Moment,
        /// When this host last chose the runner.
        sent_at: Option<Moment>,
        /// What the runner says and cannot be read.
        malformed: Malformed,
    }
}

impl State {
    /// Records what an answer says.
    fn record(&mut self, now: Moment, notice: Notice) -> Option<Change> {
        let limit = match notice {
            Notice::Absent => None,
            Notice::PerSecond(per_s) if per_s.is_nan() => {
                return self.malformed.record(now).then_some(Change::Malformed);
            }
            Notice::PerSecond(per_s) => (per_s < MAX_PER_S).then_some(per_s.max(MIN_PER_S)),
            Notice::Malformed => return self.malformed.record(now).then_some(Change::Malformed),
        };
        if limit.is_none() && self.told_at.is_none() {
            return None;
        }
        let former = std::mem::replace(&mut self.limit, limit);
        self.told_at = Some(now);
        self.heard_at = now;
        self.is_own = true;
        match (former, limit) {
            (None, Some(limit)) => Some(Change::Begun(limit)),
            (Some(from), Some(to)) if from != to => Some(Change::Changed { from, to }),
            (Some(_), None) => Some(Change::Ended),
            (Some(_), Some(_)) | (None, None) => None,
        }
    }

    /// Applies what another host has reported; returns whether the limit has changed.
    fn apply(&mut self, now: Moment, report: &Report) -> bool {
        let limit = report.limit.map(|limit| limit.max(MIN_PER_S));
        if limit.is_some() {
            self.heard_at = now;
        }
        let told_at = now.saturating_sub(report.age);
        // The same answer comes back from other hosts, each time a little younger.
        let min_newer = match limit == self.limit {
            true => ECHO_TIME,
            false => Duration::ZERO,
        };
        if self
            .told_at
            .is_some_and(|known| told_at.since(known) <= min_newer)
        {
            return false;
        }
        self.told_at = Some(told_at);
        self.is_own = false;
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// The limit that this host keeps to.
    pub(super) fn limit_at(&self, now: Moment) -> Option<f64> {
        let is_known = self.interval.is_some() || now.since(self.heard_at) < REPORT_LIFE;
        self.limit.filter(|_| is_known)
    }

    /// Until when this host may send no request.
    pub(super) fn deferral(&self, now: Moment) -> Deferral {
        match (self.limit_at(now), self.interval) {
            (None, _) => Deferral::None,
            (Some(_), None) => Deferral::Indefinite,
            (Some(_), Some(interval)) => {
                let next = self.sent_at.map_or(now, |at| at + interval);
                Deferral::until(now, next)
            }
        }
    }

    /// Whether a request that was placed at `placed` may be sent: there is no limit, or it was placed under it.
    pub(super) fn admits(&self, now: Moment, placed: Moment) -> bool {
        let is_under_limit = || self.interval.is_some() && placed.reached(self.limited_at);
        self.limit_at(now).is_none() || is_under_limit()
    }

    /// Whether the other hosts are told of it.
    fn is_reported(&self, now: Moment) -> bool {
        let is_recent = self.told_at.is_some_and(|at| now.since(at) < REPORT_TIME);
        let is_kept = self.limit.is_some() && self.interval.is_some();
        self.is_own && is_recent || is_kept
    }
}

/// Number of requests that all hosts together may send within a window, by the runner's limit.
fn tolerated(limit: f64) -> f64 {
    TOLERANCE * limit * WINDOW.as_secs_f64() + SLACK
}

/// Time between two requests of each of so many senders.
fn send_interval(limit: f64, senders: usize) -> Duration {
    let in_window = (tolerated(limit) / GROUPS / senders as f64).floor().max(1.0);
    let by_share = senders as f64 / (RATE_SHARE * limit);
    Duration::from_secs_f64(by_share.max(WINDOW.as_secs_f64() / in_window))
}

/// Number of senders among this many hosts: as many as reach nearly the best rate, so that the requests of many
/// hosts have a way to the runner. At most one for each request that a runner tolerates from a group of hosts.
fn senders(limit: f64, hosts: usize) -> usize {
    let most = ((tolerated(limit) / GROUPS) as usize).clamp(1, hosts.max(1));
    let rate = |senders: usize| senders as f64 / send_interval(limit, senders).as_secs_f64();
    let best = (1..=most).map(rate).fold(0.0, f64::max);
    let mut good = (1..=most)
        .rev()
        .filter(|senders| rate(*senders) >= GOOD_RATE * best);
    good.next().unwrap_or(1)
}

impl Fleet {
    /// Records what an answer of a runner says about the rate that it takes; returns what has changed.
    pub fn record_rate(&mut self, now: Moment, key: Key, notice: Notice) -> Option<Change> {
        let change = self.get_mut(key)?.rate.record(now, notice);
        if change.is_some() {
            self.update_sender(now, key);
        }
        change
    }

    /// Applies what another host has reported of runners' limits.
    pub fn apply_rate_reports(&mut self, now: Moment, reports: impl Iterator<Item = Report>) {
        for report in reports.take(MAX_REPORTED) {
            let Some(key) = self.find_by_hash(report.runner) else {
                continue;
            };
            let runner = self.get_mut(key);
            if runner.is_some_and(|runner| runner.rate.apply(now, &report)) {
                self.update_sender(now, key);
            }
        }
    }

    /// What the other hosts are told of runners' limits.
    pub fn rate_reports(&self, now: Moment) -> Vec<Report> {
        let report = |runner: &Runner| {
            let told_at = runner.rate.told_at.filter(|_| runner.rate.is_reported(now))?;
            Some(Report {
                runner: runner.hash,
                limit: runner.rate.limit,
                age: now.since(told_at),
            })
        };
        let mut reports: Vec<Report> = self.arena.iter().filter_map(report).collect();
        reports.sort_unstable_by_key(|report| report.age);
        reports.truncate(MAX_REPORTED);
        reports
    }

    /// Replaces the list of all live hosts, this host included; empty if they are not known.
    pub fn set_hosts(&mut self, now: Moment, own: u64, hosts: Vec<u64>) {
        if own == self.own_host && hosts == self.all_hosts {
            return;
        }
        self.own_host = own;
        self.all_hosts = hosts;
        for at in 0..self.arena.len() {
            self.update_sender(now, Key(at as u32));
        }
    }

    /// Finds out whether this host is a sender of a runner.
    fn update_sender(&mut self, now: Moment, key: Key) {
        let Some(runner) = self.get(key) else {
            return;
        };
        let hash = runner.hash;
        let interval = runner.rate.limit.and_then(|limit| {
            let senders = senders(limit, self.all_hosts.len());
            let own = rendezvous_weight(hash, self.own_host);
            let others = self.all_hosts.iter().filter(|host| **host != self.own_host);
            let before = others.filter(|host| rendezvous_weight(hash, **host) > own);
            let is_sender = !self.all_hosts.is_empty() && before.count() < senders;
            is_sender.then(|| send_interval(limit, senders))
        });
        if let Some(runner) = self.get_mut(key) {
            if runner.rate.interval != interval {
                // Those that were senders before may just have sent.
                runner.rate.sent_at = Some(now);
            }
            if runner.rate.interval.is_none() {
                runner.rate.limited_at = now;
            }
            runner.rate.interval = interval;
        }
    }

    /// Records that a request is sent to a runner.
    pub(super) fn record_rate_send(&mut self, now: Moment, key: Key) {
        if let Some(runner) = self.get_mut(key) {
            runner.rate.sent_at = Some(now);
        }
    }

    /// Number of runners with a limit.
    pub fn count_limited(&self, now: Moment) -> usize {
        let is_limited = |runner: &&Runner| runner.rate.limit_at(now).is_some();
        self.arena.iter().filter(is_limited).count()
    }
}
