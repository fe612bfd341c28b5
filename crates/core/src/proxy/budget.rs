//! The budget of repeats that all hosts share without talking.
//!
//! Each host spends its own requests times the ratio and its part of the
//! slack, so that the sum over all hosts stays inside the bound. A retry storm
//! after an outage ends here.

use std::collections::VecDeque;

use super::Bounds;
use super::services::Services;
use crate::time::Moment;

/// Width of one count.
const STEP_US: u64 = 500_000;
/// Part of the bound that is spent: windows slide, and counts are taken in
/// steps of half a second, a twentieth of the usual window.
const PART: f64 = 0.8;
/// Hosts that may be alive without being known: one that has just started,
/// and one that is thought dead.
const UNKNOWN_HOSTS: u32 = 1;

plain! {
    #[derive(Default)]
    struct Step {
        at: u64,
        requests: u32,
        repeats: u32,
    }
}

#[derive(Clone, Debug, Default)]
struct Service {
    steps: VecDeque<Step>,
}

impl Service {
    fn step(&mut self, now: Moment) -> &mut Step {
        let at = now.mono_us / STEP_US;
        if self.steps.back().is_none_or(|step| step.at != at) {
            self.steps.push_back(Step {
                at,
                ..Step::default()
            });
        }
        self.steps.back_mut().expect("one was just added")
    }

    fn forget(&mut self, now: Moment, window_s: u64) {
        let oldest = (now.mono_us / STEP_US).saturating_sub(window_s * 1_000_000 / STEP_US);
        while self.steps.front().is_some_and(|step| step.at < oldest) {
            self.steps.pop_front();
        }
    }
}

/// What each service may still get in repeats.
#[derive(Clone, Debug, Default)]
pub struct Budgets {
    services: Services<Service>,
}

impl Budgets {
    /// Counts a request of a caller for a service.
    pub fn count(&mut self, now: Moment, service: &str) {
        self.services.get_or_default(service).step(now).requests += 1;
    }

    /// Takes a repeat if one is left.
    pub fn take(&mut self, now: Moment, service: &str, bounds: &Bounds, hosts: u32) -> bool {
        let service = self.services.get_or_default(service);
        service.forget(now, bounds.repeat_window_s);
        let requests: u32 = service.steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = service.steps.iter().map(|step| step.repeats).sum();
        let slack = bounds.repeat_slack / f64::from(hosts.max(1) + UNKNOWN_HOSTS);
        let allowed = PART * (f64::from(requests) * bounds.repeat_ratio + slack);
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        service.step(now).repeats += 1;
        true
    }
}
