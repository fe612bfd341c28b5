//! Retry budgets, enforced on all hosts together without communication.
//!
//! Each host may retry the given ratio of its own requests, plus its part of the slack, so the
//! sum over all hosts stays within the bound. This limits retry storms after an outage.

use std::collections::VecDeque;

use super::Bounds;
use super::services::Services;
use crate::time::Moment;

/// Width of one bucket, in microseconds.
const BUCKET_US: u64 = 500_000;
/// Share of the bound that is used. The window slides, but requests are counted in buckets of
/// half a second, a twentieth of the usual window.
const USED_SHARE: f64 = 0.8;
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

    fn expire(&mut self, now: Moment, window_s: u64) {
        let oldest = (now.mono_us / BUCKET_US).saturating_sub(window_s * 1_000_000 / BUCKET_US);
        while self.buckets.front().is_some_and(|bucket| bucket.at < oldest) {
            self.buckets.pop_front();
        }
    }

    fn has_retry(&mut self, now: Moment, bounds: &Bounds, hosts: u32) -> bool {
        self.expire(now, bounds.repeat_window_s);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let slack = bounds.repeat_slack / f64::from(hosts.max(1) + UNKNOWN_HOSTS);
        let allowed = USED_SHARE * (f64::from(requests) * bounds.repeat_ratio + slack);
        f64::from(retries + 1) <= allowed
    }
}

/// Retry budgets by service.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    services: Services<Service>,
}

impl Budgets {
    /// Counts a caller's request to a service.
    pub fn count(&mut self, now: Moment, service: &str) {
        self.services.get_or_default(service).bucket(now).requests += 1;
    }

    /// Takes one retry from a service's budget, if any is left.
    pub fn take(&mut self, now: Moment, service: &str, bounds: &Bounds, hosts: u32) -> bool {
        let service = self.services.get_or_default(service);
        let is_left = service.has_retry(now, bounds, hosts);
        if is_left {
            service.bucket(now).retries += 1;
        }
        is_left
    }

    /// Whether a service's budget has a retry left.
    pub fn has_retry(&mut self, now: Moment, service: &str, bounds: &Bounds, hosts: u32) -> bool {
        self.services
            .get_or_default(service)
            .has_retry(now, bounds, hosts)
    }
}
