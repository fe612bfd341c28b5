//! Discrete-event simulation of a scenario: real dispatchers, engines in memory.
//!
//! Each host has its own dispatcher and receives its zone peers' reports at
//! intervals. An engine assigns queued calls to its slots by priority, and its
//! time per token grows with the number of running calls. A refused caller
//! retries once, after the delay given in the refusal. Times are in
//! microseconds from the start of the run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;
use std::time::Duration;

use radishstair_core::config::view::View;
use radishstair_core::config::{Document, Key, Labels};
use radishstair_core::dispatch::{Assignment, Decision, Dispatcher, Outcome, Policy, Submission};
use radishstair_core::error::Refusal;
use radishstair_core::id::CallId;
use radishstair_core::time::Moment;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

mod arrival;
mod engine;
mod faults;

use arrival::MAX_TOKENS;
use engine::{Engine, create_engines};

use crate::metrics::{Metrics, Sample, Status};
use crate::scenario::Scenario;

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;
/// Interval between ticks of a dispatcher.
const TICK_INTERVAL_US: u64 = 50 * US_PER_MS;
/// Maximum number of prompt prefixes that an engine caches.
const CACHE_CAPACITY: usize = 24;
/// Fraction of the prefill time that remains if the prefix is cached.
const CACHED_PREFILL_SHARE: f64 = 0.1;
/// Maximum number of attempts of a call whose engines fail.
const MAX_ATTEMPTS: usize = 3;

/// An event, with the index of the item that it concerns.
enum Event {
    /// A call of a traffic entry arrives.
    Arrival(usize),
    /// A refused job is submitted again.
    Retry(usize),
    /// A host's dispatcher ticks.
    Tick(usize),
    /// A host reports to its zone peers.
    PeerReport(usize),
    /// A job gets its first token in the given attempt.
    FirstToken(usize, u32),
    /// A job completes in the given attempt.
    Completion(usize, u32),
    /// A change of the scenario takes effect.
    Change(usize),
    /// An engine stops.
    EngineStop(usize),
}

/// A call and its progress. `traffic`, `customer` and `host` are indices.
#[derive(Clone)]
struct Job {
    traffic: usize,
    customer: usize,
    host: usize,
    arrived_us: u64,
    /// Output tokens that complete the call.
    tokens: u32,
    prefix: u64,
    /// Whether this is the retry of a refused call.
    retried: bool,
    /// Whether capacity is reserved for the retry.
    reserved: bool,
    attempts: u32,
    first_token_us: Option<u64>,
    /// Output tokens that the caller has received from failed or completed attempts.
    delivered: u32,
    /// Runners of earlier attempts.
    avoid: Vec<radishstair_core::runner::Key>,
    submission: Option<Submission>,
    /// Index of the assigned engine, and its key in the host's dispatcher.
    runner: Option<(usize, radishstair_core::runner::Key)>,
    started_us: u64,
    /// Time from the start of the current attempt to its completion.
    duration_us: u64,
    /// Priority in an engine's queue; the lowest number starts first.
    priority: u8,
    ended: bool,
}

/// A run of one scenario with one policy and seed.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    now_us: u64,
    rng: ChaCha8Rng,
    hosts: Vec<Dispatcher>,
    /// Index of each host's zone.
    host_zones: Vec<usize>,
    /// Waiting calls that each host last reported, by pool.
    reported_waiting: Vec<Vec<(String, u32)>>,
    engines: Vec<Engine>,
    jobs: Vec<Job>,
    /// Factors of the customers' rates, by traffic entry and customer.
    rate_factors: Vec<Vec<f64>>,
    /// Times and serial numbers of the pending events.
    timeline: BinaryHeap<Reverse<(u64, u64)>>,
    pending: BTreeMap<u64, Event>,
    last_serial: u64,
    /// Whether the hosts' reports to each other are lost.
    partitioned: bool,
    metrics: Metrics,
}

/// Runs a scenario and returns its metrics.
pub fn simulate(scenario: &Scenario, document: &Document, policy: Policy, seed: u64) -> Metrics {
    let mut simulation = Simulation::new(scenario, document, policy, seed);
    simulation.run();
    simulation.into_metrics()
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, document: &'a Document, policy: Policy, seed: u64) -> Self {
        let mut document_with_keys = document.clone();
        for customer in document.customers.iter() {
            document_with_keys.keys.put(Key {
                name: customer.name.clone(),
                hash: format!("{:064x}", radishstair_core::id::digest(customer.name.as_bytes())),
                customer: customer.name.clone(),
                labels: Labels::new(),
                withdrawn: false,
            });
        }
        let view = Arc::new(View::new(1, document_with_keys));
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut hosts = Vec::new();
        let mut host_zones = Vec::new();
        for (at, zone) in scenario.zones.iter().enumerate() {
            for _ in 0..scenario.hosts {
                let mut host = Dispatcher::new(zone, rng.random(), policy);
                host.set_view(view.clone());
                host.set_hosts(scenario.hosts, scenario.zones.len() * scenario.hosts, hosts.len());
                hosts.push(host);
                host_zones.push(at);
            }
        }
        let rate_factors = scenario
            .traffic
            .iter()
            .map(|traffic| vec![1.0; traffic.customers.len()])
            .collect();
        Self {
            scenario,
            now_us: 0,
            rng,
            hosts,
            reported_waiting: vec![Vec::new(); host_zones.len()],
            host_zones,
            engines: create_engines(scenario),
            jobs: Vec::new(),
            rate_factors,
            timeline: BinaryHeap::new(),
            pending: BTreeMap::new(),
            last_serial: 0,
            partitioned: false,
            metrics: Metrics::new(scenario, document),
        }
    }

    fn run(&mut self) {
        self.publish_list();
        for host in 0..self.hosts.len() {
            let offset = self.rng.random_range(0..TICK_INTERVAL_US);
            self.schedule(offset, Event::Tick(host));
            let lag = self.scenario.lag.as_micros() as u64;
            let offset = self.rng.random_range(0..lag.max(1));
            self.schedule(offset, Event::PeerReport(host));
        }
        for traffic in 0..self.scenario.traffic.len() {
            self.schedule_arrival(traffic);
        }
        for (at, event) in self.scenario.events.iter().enumerate() {
            self.schedule(event.after.as_micros() as u64, Event::Change(at));
        }
        let end_us = self.scenario.length.as_micros() as u64;
        while let Some(Reverse((time_us, serial))) = self.timeline.pop() {
            if time_us > end_us {
                break;
            }
            self.now_us = time_us;
            if let Some(event) = self.pending.remove(&serial) {
                self.handle(event);
            }
        }
        self.now_us = end_us;
    }

    fn into_metrics(mut self) -> Metrics {
        for engine in &mut self.engines {
            if !engine.stopped {
                engine.uptime_us += self.now_us - engine.started_us;
            }
            let price = self.scenario.fleet[engine.group].price;
            self.metrics.cost += engine.uptime_us as f64 / 3.6e9 * price;
        }
        // An open call without a first token counts as late if its target has passed. A retry that
        // is due after the end counts as refused.
        let open: Vec<usize> = (0..self.jobs.len())
            .filter(|job| !self.jobs[*job].ended)
            .collect();
        for job in open {
            if self.jobs[job].arrived_us > self.now_us {
                self.end_call(job, Status::Refused);
            } else if self.now_us - self.jobs[job].arrived_us > self.target_us(job)
                && self.jobs[job].first_token_us.is_none()
            {
                self.end_call(job, Status::Late);
            }
        }
        self.metrics
    }

    fn moment(&self) -> Moment {
        Moment {
            mono_us: 1_000_000_000 + self.now_us,
            wall_ms: 1_000_000 + self.now_us / US_PER_MS,
        }
    }

    fn schedule(&mut self, delay_us: u64, event: Event) {
        self.last_serial += 1;
        self.timeline
            .push(Reverse((self.now_us + delay_us, self.last_serial)));
        self.pending.insert(self.last_serial, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival(traffic) => {
                self.arrive(traffic);
                self.schedule_arrival(traffic);
            }
            Event::Retry(job) => self.submit(job),
            Event::Tick(host) => {
                let now = self.moment();
                let decisions = self.hosts[host].tick(now);
                self.apply(decisions);
                self.schedule(TICK_INTERVAL_US, Event::Tick(host));
            }
            Event::PeerReport(host) => {
                self.report_to_peers(host);
                self.schedule(self.scenario.lag.as_micros() as u64, Event::PeerReport(host));
            }
            Event::FirstToken(job, attempt) => self.record_first_token(job, attempt),
            Event::Completion(job, attempt) => self.complete(job, attempt),
            Event::Change(at) => self.apply_change(at),
            Event::EngineStop(engine) => self.stop_engine(engine),
        }
    }

    fn submit(&mut self, job: usize) {
        let item = &self.jobs[job];
        let traffic = &self.scenario.traffic[item.traffic];
        let customer = &traffic.customers[item.customer].0;
        let (tier, pools) = self.metrics.route(&traffic.class);
        let submission = Submission {
            call: CallId(job as u64),
            tier,
            customer: customer.clone(),
            key: customer.clone(),
            class: traffic.class.clone(),
            pools,
            max_tokens: if traffic.tokens == 0.0 { 1 } else { MAX_TOKENS },
            prefix_hash: (traffic.tokens > 0.0).then_some(item.prefix),
            avoid: item.avoid.clone(),
            reserved: item.reserved,
        };
        let host = item.host;
        self.jobs[job].submission = Some(submission.clone());
        let now = self.moment();
        let decisions = self.hosts[host].submit(now, submission);
        self.apply(decisions);
    }

    fn apply(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start(start) => self.start(&start),
                Decision::Refuse(call, refusal) => self.refuse(call.0 as usize, &refusal),
            }
        }
    }

    fn start(&mut self, assignment: &Assignment) {
        let job = assignment.call.0 as usize;
        let Some(engine) = self
            .engines
            .iter()
            .position(|engine| engine.listing.name == assignment.name)
        else {
            return;
        };
        self.jobs[job].runner = Some((engine, assignment.runner));
        self.jobs[job].priority = assignment.priority;
        self.jobs[job].attempts += 1;
        if self.engines[engine].stopped {
            self.release(job, &Outcome::ConnectionRefused);
            self.resubmit(job);
            return;
        }
        if self.engines[engine].running.len() < self.engines[engine].listing.slots as usize {
            self.run_on(engine, job);
        } else {
            self.engines[engine].queue.push(job);
        }
    }

    fn run_on(&mut self, engine: usize, job: usize) {
        let group = &self.scenario.fleet[self.engines[engine].group];
        let item = &mut self.engines[engine];
        item.running.push(job);
        let load = item.running.len() as f64 / f64::from(item.listing.slots.max(1));
        let pace_ms = group.pace_ms * (1.0 + load) * item.slowdown;
        let prefix = self.jobs[job].prefix;
        let hit = item.cached_prefixes.iter().position(|cached| *cached == prefix);
        if let Some(at) = hit {
            item.cached_prefixes.remove(at);
        }
        item.cached_prefixes.push_back(prefix);
        if item.cached_prefixes.len() > CACHE_CAPACITY {
            item.cached_prefixes.pop_front();
        }
        let prefill_share = if hit.is_some() { CACHED_PREFILL_SHARE } else { 1.0 };
        let prefill_ms = group.prefill_ms * prefill_share * item.slowdown;
        let remaining = self.jobs[job].tokens - self.jobs[job].delivered;
        self.metrics
            .record_prefix_lookup(hit.is_some(), group.prefill_ms > 0.0);
        let first_token_us = ((prefill_ms + pace_ms) * US_PER_MS as f64) as u64;
        let duration_us = ((prefill_ms + pace_ms * f64::from(remaining)) * US_PER_MS as f64) as u64;
        self.jobs[job].started_us = self.now_us;
        self.jobs[job].duration_us = duration_us.max(1);
        let attempt = self.jobs[job].attempts;
        self.schedule(first_token_us, Event::FirstToken(job, attempt));
        self.schedule(duration_us, Event::Completion(job, attempt));
    }

    fn record_first_token(&mut self, job: usize, attempt: u32) {
        if self.jobs[job].attempts == attempt
            && !self.jobs[job].ended
            && self.jobs[job].first_token_us.is_none()
        {
            self.jobs[job].first_token_us = Some(self.now_us);
        }
    }

    fn complete(&mut self, job: usize, attempt: u32) {
        if self.jobs[job].attempts != attempt || self.jobs[job].ended {
            return;
        }
        let Some((engine, _)) = self.jobs[job].runner else {
            return;
        };
        let generated = self.jobs[job].tokens - self.jobs[job].delivered;
        self.jobs[job].delivered = self.jobs[job].tokens;
        let pace_ms = self.jobs[job].duration_us as f64 / US_PER_MS as f64 / f64::from(generated.max(1));
        self.free_slot(engine, job);
        self.metrics
            .record_tokens(&self.engines[engine].listing.pool, generated);
        self.release(
            job,
            &Outcome::Completed {
                tokens: generated,
                ms_per_token: pace_ms,
            },
        );
        let plain = self.scenario.traffic[self.jobs[job].traffic].tokens == 0.0;
        let served_us = if plain {
            self.now_us
        } else {
            self.jobs[job].first_token_us.unwrap_or(self.now_us)
        };
        let in_time = served_us - self.jobs[job].arrived_us <= self.target_us(job);
        self.end_call(job, if in_time { Status::InTime } else { Status::Late });
    }

    fn free_slot(&mut self, engine: usize, job: usize) {
        let item = &mut self.engines[engine];
        item.running.retain(|other| *other != job);
        item.queue.retain(|other| *other != job);
        if item.stopped || item.queue.is_empty() || item.running.len() >= item.listing.slots as usize {
            return;
        }
        let jobs = &self.jobs;
        let next = (0..item.queue.len()).min_by_key(|at| (jobs[item.queue[*at]].priority, item.queue[*at]));
        if let Some(at) = next {
            let job = item.queue.remove(at);
            self.run_on(engine, job);
        }
    }

    fn release(&mut self, job: usize, outcome: &Outcome) {
        let (Some((_, key)), Some(submission)) =
            (self.jobs[job].runner.take(), self.jobs[job].submission.clone())
        else {
            return;
        };
        self.jobs[job].avoid.push(key);
        let host = self.jobs[job].host;
        let now = self.moment();
        let decisions = self.hosts[host].finish(now, &submission, key, outcome);
        self.apply(decisions);
    }

    /// Submits a call again after a failed attempt, if it has attempts left.
    fn resubmit(&mut self, job: usize) {
        if self.jobs[job].ended {
            return;
        }
        if self.jobs[job].attempts as usize >= MAX_ATTEMPTS {
            self.end_call(job, Status::Broken);
            return;
        }
        self.submit(job);
    }

    fn refuse(&mut self, job: usize, refusal: &Refusal) {
        if self.jobs[job].ended {
            return;
        }
        if self.jobs[job].delivered > 0 {
            self.end_call(job, Status::Broken);
            return;
        }
        self.metrics
            .record_refusal(self.now_us - self.jobs[job].arrived_us);
        match refusal.retry_after {
            Some(after) if !self.jobs[job].retried => {
                // The call and its retry count as one call, by the result of the retry.
                self.jobs[job].ended = true;
                let mut retry = self.jobs[job].clone();
                retry.retried = true;
                retry.reserved = refusal.reserved;
                retry.ended = false;
                retry.avoid.clear();
                retry.attempts = 0;
                let delay_us = after.as_micros() as u64;
                retry.arrived_us = self.now_us + delay_us;
                self.jobs.push(retry);
                self.schedule(delay_us, Event::Retry(self.jobs.len() - 1));
            }
            _ => self.end_call(job, Status::Refused),
        }
    }

    fn target_us(&self, job: usize) -> u64 {
        let class = &self.scenario.traffic[self.jobs[job].traffic].class;
        self.metrics.target(class).as_micros() as u64
    }

    fn end_call(&mut self, job: usize, status: Status) {
        if self.jobs[job].ended {
            return;
        }
        self.jobs[job].ended = true;
        let item = &self.jobs[job];
        let traffic = &self.scenario.traffic[item.traffic];
        self.metrics.record_call(&Sample {
            class: &traffic.class,
            customer: &traffic.customers[item.customer].0,
            status,
            tokens: item.delivered,
            first_token: item
                .first_token_us
                .map(|time_us| Duration::from_micros(time_us - item.arrived_us)),
            reserved_retry: item.reserved && item.arrived_us <= self.now_us,
            minute: self.now_us.saturating_sub(1) / 60_000_000,
        });
    }
}
