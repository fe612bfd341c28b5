//! Tests of the retry budget that the hosts of fleets of several sizes share.

use radishstair_core::proxy::Bounds;
use radishstair_core::proxy::budget::Budgets;
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::fixtures;

/// Time between two steps of a run, in milliseconds.
const STEP_MS: u64 = 250;
/// Retries that a host asks for in one step if it uses all that it may have.
const ALL: u32 = 400;

fn at(ms: u64) -> Moment {
    Moment::at_ms(100_000 + ms)
}

fn bounds() -> Bounds {
    Bounds {
        repeat_slack: 1_040.0,
        ..fixtures::bounds()
    }
}

/// Hosts that share a budget, and what they have done.
struct Fleet {
    hosts: Vec<Budgets>,
    /// Times of requests and of retries, in milliseconds.
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Fleet {
    fn new(hosts: usize) -> Self {
        Self {
            hosts: vec![Budgets::default(); hosts],
            requests: Vec::new(),
            retries: Vec::new(),
        }
    }

    fn request(&mut self, ms: u64, host: usize) {
        self.hosts[host].count(at(ms), "ledger");
        self.requests.push(ms);
    }

    /// Asks for retries at one host, which believes that there are `known` hosts; returns how many
    /// it got.
    fn retry(&mut self, ms: u64, host: usize, wanted: u32, known: usize) -> u32 {
        let budgets = &mut self.hosts[host];
        let takes = (0..wanted).take_while(|_| budgets.take(at(ms), "ledger", &bounds(), known as u32));
        let taken = takes.count();
        self.retries.extend(std::iter::repeat_n(ms, taken));
        taken as u32
    }

    /// Checks all windows that begin with a step.
    fn assert_within_budget(&self, end_ms: u64) {
        let bounds = bounds();
        let window_ms = bounds.repeat_window_s as i64 * 1_000;
        let count = |times: &[u64], from: i64| {
            let until = |limit: i64| times.partition_point(|ms| (*ms as i64) < limit);
            (until(from + window_ms) - until(from)) as f64
        };
        // Requests count in that window, in the one before it, or half a window earlier, whichever has most.
        let requests = |from: i64| {
            let starts = [from, from - window_ms / 2, from - window_ms];
            let counts = starts.map(|from| count(&self.requests, from));
            counts.into_iter().fold(0.0, f64::max)
        };
        assert!(self.requests.is_sorted() && self.retries.is_sorted());
        for from in (0..end_ms as i64).step_by(STEP_MS as usize) {
            let retried = count(&self.retries, from);
            let allowed = requests(from) * bounds.repeat_ratio + bounds.repeat_slack;
            assert!(retried <= allowed, "{retried} of {allowed} from {from} ms");
        }
    }
}

/// Guards against a retry storm in a fleet of any size. Requests arrive at random, and at random
/// times single hosts or all of them want more retries than there are.
#[test]
fn fleets_of_all_sizes_stay_inside_the_shared_budget() {
    for (hosts, seed) in [(8, 1), (8, 2), (80, 3), (80, 4), (1_000, 5)] {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::new(hosts);
        for ms in (0..40_000).step_by(STEP_MS as usize) {
            let storm = rng.random_bool(0.1);
            for host in 0..hosts {
                if rng.random_bool(0.125) {
                    fleet.request(ms, host);
                }
                if storm || rng.random_bool(0.01) {
                    fleet.retry(ms, host, ALL, hosts);
                }
            }
        }
        fleet.assert_within_budget(40_000);
        assert!(
            fleet.retries.len() > hosts,
            "too few retries: {}",
            fleet.retries.len()
        );
    }
}

/// Guards against streams that are cut at random because a host of a large fleet has a budget of one retry.
#[test]
fn a_host_of_a_large_fleet_resumes_several_streams_at_once() {
    let hosts = 1_000;
    let mut fleet = Fleet::new(hosts);
    for ms in (0..10_000).step_by(2_000) {
        for host in 0..hosts {
            fleet.request(ms, host);
        }
    }
    let resumed = fleet.retry(10_000, 0, 8, hosts);
    assert_eq!(
        resumed, 8,
        "streams resumed of 8, with no other retry in the fleet"
    );
}

/// Guards against more retries than allowed while a fleet grows. Hosts that have just started get
/// their parts while what the others have used of larger parts still counts.
#[test]
fn a_fleet_that_grows_stays_inside_the_shared_budget() {
    let mut fleet = Fleet::new(80);
    for host in 0..8 {
        fleet.retry(10_000, host, ALL, 8);
    }
    for host in 8..80 {
        fleet.retry(13_000, host, ALL, 80);
    }
    fleet.assert_within_budget(20_000);
}

/// Guards against the same where the hosts that were there before have had their whole parts for long.
#[test]
fn a_fleet_that_grows_after_a_while_stays_inside_the_shared_budget() {
    for (before, after) in [(1, 2), (2, 8), (8, 80), (80, 1_000)] {
        let mut fleet = Fleet::new(after);
        for host in 0..before {
            fleet.retry(0, host, 0, before);
            fleet.hosts[host].record_hosts(at(0), &bounds(), before as u32);
        }
        for host in 0..before {
            fleet.retry(20_000, host, ALL, before);
        }
        for host in before..after {
            fleet.retry(20_500, host, ALL, after);
        }
        for host in 0..after {
            fleet.retry(24_000, host, ALL, after);
        }
        fleet.assert_within_budget(40_000);
        assert!(
            fleet.retries.len() > after / 4,
            "{before} to {after}: {}",
            fleet.retries.len()
        );
    }
}

/// Guards against more retries than allowed as hosts that start again forget what they have used.
#[test]
fn a_fleet_whose_hosts_start_again_stays_inside_the_shared_budget() {
    let mut fleet = Fleet::new(8);
    for host in 0..8 {
        fleet.hosts[host].record_hosts(at(0), &bounds(), 8);
    }
    for host in 0..8 {
        fleet.retry(20_000, host, ALL, 8);
    }
    for host in 0..8 {
        fleet.hosts[host] = Budgets::default();
        fleet.retry(21_000, host, ALL, 8);
    }
    fleet.assert_within_budget(40_000);
}

/// Guards against more retries than allowed while a fleet shrinks. The hosts that are left get the
/// parts of those that have ended, which these have used.
#[test]
fn a_fleet_that_shrinks_stays_inside_the_shared_budget() {
    let mut fleet = Fleet::new(80);
    for ms in (0..10_000).step_by(1_000) {
        for host in 0..80 {
            fleet.request(ms, host);
        }
    }
    for host in 0..80 {
        fleet.retry(10_000, host, ALL, 80);
    }
    for host in 0..8 {
        fleet.retry(16_000, host, ALL, 8);
    }
    fleet.assert_within_budget(20_000);
}

/// Guards against more retries than allowed when requests stop, as hosts still retry by those of the last
/// window.
#[test]
fn a_fleet_without_new_requests_stays_inside_the_shared_budget() {
    let mut fleet = Fleet::new(80);
    for ms in (0..10_000).step_by(50) {
        for host in 0..80 {
            fleet.request(ms, host);
        }
    }
    for host in 0..80 {
        fleet.retry(10_000, host, ALL, 80);
    }
    fleet.assert_within_budget(20_000);
}
