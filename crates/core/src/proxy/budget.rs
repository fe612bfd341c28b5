//! Retry budgets, enforced on all hosts together without communication.
//!
//! Each host may retry the given ratio of its own requests, plus its part of the slack, so the
//! sum over all hosts stays within the bound. This limits retry storms after an outage.
//!
//! What hosts have used counts for a window, also when they have ended or their parts have become smaller. A host's
//! part is therefore that in the largest fleet which it has known within the window. In its first window it has a quarter,
//! so that what all other hosts may have used fits beside the parts of any number of hosts that have just started.

use std::collections::VecDeque;

use super::Bounds;
use super::services::Services;
use crate::time::Moment;

/// Width of one bucket, in microseconds.
const BUCKET_US: u64 = 500_000;
/// Share of the bound that is used. The window slides, but requests are counted in buckets of
/// half a second, a twentieth of the usual window.
const USED_SHARE: f64 = 0.8;
/// Share of its part that a host uses in its first window: what the others leave of the bound, by their parts.
const FIRST_WINDOW_SHARE: f64 = (1.0 - USED_SHARE) / USED_SHARE;
/// Number of hosts that may be alive but are not counted, such as one that has just started or
/// one that is considered dead.
const UNKNOWN_HOSTS: u32 = 1;

plain! {
    #[derive(Default)]
    struct Bucket {
        at: u64,
        requests: u32,
        retries: u32,
    }
}

#[derive(Clone, Debug, Default)]
struct Service {
    buckets: VecDeque<Bucket>,
}

impl Service {
    fn bucket(&mut self, now: Moment) -> &mut Bucket {
        let at = now.mono_us / BUCKET_US;
        if self.buckets.back().is_none_or(|bucket| bucket.at != at) {
            self.buckets.push_back(Bucket {
                at,
                ..Bucket::default()
            });
        }
        self.buckets.back_mut().expect("one was just added")
    }

    fn expire(&mut self, now: Moment, bounds: &Bounds) {
        let oldest = oldest_bucket(now, bounds);
        while self.buckets.front().is_some_and(|bucket| bucket.at < oldest) {
            self.buckets.pop_front();
        }
    }

    fn has_retry(&mut self, now: Moment, bounds: &Bounds, slack: f64) -> bool {
        self.expire(now, bounds);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let allowed = USED_SHARE * (f64::from(requests) * bounds.repeat_ratio + slack);
        f64::from(retries + 1) <= allowed
    }
}

/// Numbers of hosts that were known lately.
#[derive(Clone, Debug, Default)]
struct Size {
    /// Bucket in which a number was first known.
    first: Option<u64>,
    /// Buckets and the largest number known in each.
    known: VecDeque<(u64, u32)>,
}

impl Size {
    fn record(&mut self, now: Moment, bounds: &Bounds, hosts: u32) {
        let at = now.mono_us / BUCKET_US;
        let oldest = oldest_bucket(now, bounds);
        while self.known.front().is_some_and(|(at, _)| *at < oldest) {
            self.known.pop_front();
        }
        self.first.get_or_insert(at);
        match self.known.back_mut() {
            Some((last, most)) if *last == at => *most = hosts.max(*most),
            _ => self.known.push_back((at, hosts)),
        }
    }

    /// This host's part of the slack, if it knows of this many hosts.
    fn part(&mut self, now: Moment, bounds: &Bounds, hosts: u32) -> f64 {
        self.record(now, bounds, hosts);
        let oldest = oldest_bucket(now, bounds);
        let most = self.known.iter().map(|(_, hosts)| *hosts).max().unwrap_or(hosts);
        let share = match self.first.is_some_and(|first| first <= oldest) {
            true => 1.0,
            false => FIRST_WINDOW_SHARE,
        };
        share * bounds.repeat_slack / f64::from(most.max(1) + UNKNOWN_HOSTS)
    }
}

/// First bucket of the window that ends now.
fn oldest_bucket(now: Moment, bounds: &Bounds) -> u64 {
    (now.mono_us / BUCKET_US).saturating_sub(bounds.repeat_window_s * 1_000_000 / BUCKET_US)
}

/// Retry budgets by service.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    services: Services<Service>,
    size: Size,
}

impl Budgets {
    /// Records the number of hosts that this host knows of.
    pub fn record_hosts(&mut self, now: Moment, bounds: &Bounds, hosts: u32) {
        self.size.record(now, bounds, hosts);
    }

    /// Counts a caller's request to a service.
    pub fn count(&mut self, now: Moment, service: &str) {
        self.services.get_or_default(service).bucket(now).requests += 1;
    }

    /// Takes one retry from a service's budget, if any is left.
    pub fn take(&mut self, now: Moment, service: &str, bounds: &Bounds, hosts: u32) -> bool {
        let slack = self.size.part(now, bounds, hosts);
        let service = self.services.get_or_default(service);
        let is_left = service.has_retry(now, bounds, slack);
        if is_left {
            service.bucket(now).retries += 1;
        }
        is_left
    }

    /// Whether a service's budget has a retry left.
    pub fn has_retry(&mut self, now: Moment, service: &str, bounds: &Bounds, hosts: u32) -> bool {
        let slack = self.size.part(now, bounds, hosts);
        self.services
            .get_or_default(service)
            .has_retry(now, bounds, slack)
    }
}
