//! Plays a scenario against the decision library, with runners in memory.
//!
//! Each host has its own dispatcher and hears of the others' calls late. A
//! runner takes calls into its slots by priority; a token takes longer the
//! fuller it is. Callers that are refused come back once, when they were told.

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

use arrival::MOST_TOKENS;
use engine::{Engine, engines};

use crate::metrics::{Metrics, Sample, Status};
use crate::scenario::Scenario;

/// Microseconds of one millisecond.
const MS: u64 = 1_000;
/// Time between ticks of a dispatcher.
const TICK: u64 = 50 * MS;
/// Prompt beginnings that a runner remembers.
const CACHE: usize = 24;
/// Share of reading a prompt that a remembered beginning leaves.
const CACHED: f64 = 0.1;
/// Times that a broken call is tried again.
const TRIES: usize = 3;

enum Event {
    Arrive(usize),
    Return(usize),
    Tick(usize),
    Tell(usize),
    First(usize, u32),
    Finish(usize, u32),
    Change(usize),
    Gone(usize),
}

#[derive(Clone)]
struct Job {
    traffic: usize,
    customer: usize,
    host: usize,
    arrived: u64,
    tokens: u32,
    prefix: u64,
    came_back: bool,
    promised: bool,
    tries: u32,
    first: Option<u64>,
    done: u32,
    avoid: Vec<radishstair_core::runner::Key>,
    seek: Option<Submission>,
    runner: Option<(usize, radishstair_core::runner::Key)>,
    started: u64,
    span: u64,
    priority: u8,
    over: bool,
}

/// A run of one scenario with one policy and seed.
pub struct Simulation<'a> {
    scenario: &'a Scenario,
    now: u64,
    rng: ChaCha8Rng,
    hosts: Vec<Dispatcher>,
    zones: Vec<usize>,
    /// What each host last said of its waiting calls, by pool.
    waiting: Vec<Vec<(String, u32)>>,
    engines: Vec<Engine>,
    jobs: Vec<Job>,
    rates: Vec<Vec<f64>>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    serial: u64,
    silent: bool,
    metrics: Metrics,
}

/// Plays a scenario and measures it.
pub fn simulate(scenario: &Scenario, document: &Document, policy: Policy, seed: u64) -> Metrics {
    let mut simulation = Simulation::new(scenario, document, policy, seed);
    simulation.run();
    simulation.finish()
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
        let mut zones = Vec::new();
        for (at, zone) in scenario.zones.iter().enumerate() {
            for _ in 0..scenario.hosts {
                let mut host = Dispatcher::new(zone, rng.random(), policy);
                host.set_view(view.clone());
                host.set_hosts(scenario.hosts, scenario.zones.len() * scenario.hosts, hosts.len());
                hosts.push(host);
                zones.push(at);
            }
        }
        let rates = scenario
            .traffic
            .iter()
            .map(|traffic| vec![1.0; traffic.customers.len()])
            .collect();
        Self {
            scenario,
            now: 0,
            rng,
            hosts,
            waiting: vec![Vec::new(); zones.len()],
            zones,
            engines: engines(scenario),
            jobs: Vec::new(),
            rates,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            serial: 0,
            silent: false,
            metrics: Metrics::new(scenario, document),
        }
    }

    fn run(&mut self) {
        self.relist();
        for host in 0..self.hosts.len() {
            let offset = self.rng.random_range(0..TICK);
            self.plan(offset, Event::Tick(host));
            let lag = self.scenario.lag.as_micros() as u64;
            let offset = self.rng.random_range(0..lag.max(1));
            self.plan(offset, Event::Tell(host));
        }
        for traffic in 0..self.scenario.traffic.len() {
            self.plan_arrival(traffic);
        }
        for (at, event) in self.scenario.events.iter().enumerate() {
            self.plan(event.after.as_micros() as u64, Event::Change(at));
        }
        let end = self.scenario.length.as_micros() as u64;
        while let Some(Reverse((time, serial))) = self.queue.pop() {
            if time > end {
                break;
            }
            self.now = time;
            if let Some(event) = self.events.remove(&serial) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn finish(mut self) -> Metrics {
        for engine in &mut self.engines {
            if !engine.gone {
                engine.on_time += self.now - engine.since;
            }
            let price = self.scenario.fleet[engine.fleet].price;
            self.metrics.cost += engine.on_time as f64 / 3.6e9 * price;
        }
        // What has waited past its target by the end was not served in time.
        let open: Vec<usize> = (0..self.jobs.len()).filter(|job| !self.jobs[*job].over).collect();
        for job in open {
            if self.jobs[job].arrived > self.now {
                self.settle(job, Status::Refused);
            } else if self.now - self.jobs[job].arrived > self.target(job) && self.jobs[job].first.is_none() {
                self.settle(job, Status::Late);
            }
        }
        self.metrics
    }

    fn moment(&self) -> Moment {
        Moment {
            mono_us: 1_000_000_000 + self.now,
            wall_ms: 1_000_000 + self.now / MS,
        }
    }

    fn plan(&mut self, after: u64, event: Event) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + after, self.serial)));
        self.events.insert(self.serial, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(traffic) => {
                self.arrive(traffic);
                self.plan_arrival(traffic);
            }
            Event::Return(job) => self.seek(job),
            Event::Tick(host) => {
                let now = self.moment();
                let decisions = self.hosts[host].tick(now);
                self.decide(decisions);
                self.plan(TICK, Event::Tick(host));
            }
            Event::Tell(host) => {
                self.tell(host);
                self.plan(self.scenario.lag.as_micros() as u64, Event::Tell(host));
            }
            Event::First(job, tries) => self.first(job, tries),
            Event::Finish(job, tries) => self.end(job, tries),
            Event::Change(at) => self.change(at),
            Event::Gone(engine) => self.vanish(engine),
        }
    }

    fn seek(&mut self, job: usize) {
        let item = &self.jobs[job];
        let traffic = &self.scenario.traffic[item.traffic];
        let customer = &traffic.customers[item.customer].0;
        let (tier, pools) = self.metrics.route(&traffic.class);
        let seek = Submission {
            call: CallId(job as u64),
            tier,
            customer: customer.clone(),
            key: customer.clone(),
            class: traffic.class.clone(),
            pools,
            max_tokens: if traffic.tokens == 0.0 { 1 } else { MOST_TOKENS },
            prefix_hash: (traffic.tokens > 0.0).then_some(item.prefix),
            avoid: item.avoid.clone(),
            reserved: item.promised,
        };
        let host = item.host;
        self.jobs[job].seek = Some(seek.clone());
        let now = self.moment();
        let decisions = self.hosts[host].submit(now, seek);
        self.decide(decisions);
    }

    fn decide(&mut self, decisions: Vec<Decision>) {
        for decision in decisions {
            match decision {
                Decision::Start(start) => self.start(&start),
                Decision::Refuse(call, refusal) => self.refuse(call.0 as usize, &refusal),
            }
        }
    }

    fn start(&mut self, start: &Assignment) {
        let job = start.call.0 as usize;
        let Some(engine) = self
            .engines
            .iter()
            .position(|engine| engine.listed.name == start.name)
        else {
            return;
        };
        self.jobs[job].runner = Some((engine, start.runner));
        self.jobs[job].priority = start.priority;
        self.jobs[job].tries += 1;
        if self.engines[engine].gone {
            self.release(job, &Outcome::ConnectionRefused);
            self.again(job);
            return;
        }
        if self.engines[engine].running.len() < self.engines[engine].listed.slots as usize {
            self.run_on(engine, job);
        } else {
            self.engines[engine].queue.push(job);
        }
    }

    fn run_on(&mut self, engine: usize, job: usize) {
        let fleet = &self.scenario.fleet[self.engines[engine].fleet];
        let item = &mut self.engines[engine];
        item.running.push(job);
        let full = item.running.len() as f64 / f64::from(item.listed.slots.max(1));
        let pace = fleet.pace_ms * (1.0 + full) * item.slow;
        let prefix = self.jobs[job].prefix;
        let hit = item.cache.iter().position(|have| *have == prefix);
        if let Some(at) = hit {
            item.cache.remove(at);
        }
        item.cache.push_back(prefix);
        if item.cache.len() > CACHE {
            item.cache.pop_front();
        }
        let share = if hit.is_some() { CACHED } else { 1.0 };
        let read = fleet.prefill_ms * share * item.slow;
        let left = self.jobs[job].tokens - self.jobs[job].done;
        self.metrics
            .record_prefix_lookup(hit.is_some(), fleet.prefill_ms > 0.0);
        let first = ((read + pace) * MS as f64) as u64;
        let span = ((read + pace * f64::from(left)) * MS as f64) as u64;
        self.jobs[job].started = self.now;
        self.jobs[job].span = span.max(1);
        let tries = self.jobs[job].tries;
        self.plan(first, Event::First(job, tries));
        self.plan(span, Event::Finish(job, tries));
    }

    fn first(&mut self, job: usize, tries: u32) {
        if self.jobs[job].tries == tries && !self.jobs[job].over && self.jobs[job].first.is_none() {
            self.jobs[job].first = Some(self.now);
        }
    }

    fn end(&mut self, job: usize, tries: u32) {
        if self.jobs[job].tries != tries || self.jobs[job].over {
            return;
        }
        let Some((engine, _)) = self.jobs[job].runner else {
            return;
        };
        let made = self.jobs[job].tokens - self.jobs[job].done;
        self.jobs[job].done = self.jobs[job].tokens;
        let pace = self.jobs[job].span as f64 / MS as f64 / f64::from(made.max(1));
        self.vacate(engine, job);
        self.metrics
            .record_tokens(&self.engines[engine].listed.pool, made);
        self.release(
            job,
            &Outcome::Completed {
                tokens: made,
                ms_per_token: pace,
            },
        );
        let plain = self.scenario.traffic[self.jobs[job].traffic].tokens == 0.0;
        let first = if plain {
            self.now
        } else {
            self.jobs[job].first.unwrap_or(self.now)
        };
        let in_time = first - self.jobs[job].arrived <= self.target(job);
        self.settle(job, if in_time { Status::InTime } else { Status::Late });
    }

    fn vacate(&mut self, engine: usize, job: usize) {
        let item = &mut self.engines[engine];
        item.running.retain(|have| *have != job);
        item.queue.retain(|have| *have != job);
        if item.gone || item.queue.is_empty() || item.running.len() >= item.listed.slots as usize {
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
        let (Some((_, key)), Some(seek)) = (self.jobs[job].runner.take(), self.jobs[job].seek.clone()) else {
            return;
        };
        self.jobs[job].avoid.push(key);
        let host = self.jobs[job].host;
        let now = self.moment();
        let decisions = self.hosts[host].finish(now, &seek, key, outcome);
        self.decide(decisions);
    }

    /// A call that its runner broke off: it goes on elsewhere.
    fn again(&mut self, job: usize) {
        if self.jobs[job].over {
            return;
        }
        if self.jobs[job].tries as usize >= TRIES {
            self.settle(job, Status::Broken);
            return;
        }
        self.seek(job);
    }

    fn refuse(&mut self, job: usize, refusal: &Refusal) {
        if self.jobs[job].over {
            return;
        }
        if self.jobs[job].done > 0 {
            self.settle(job, Status::Broken);
            return;
        }
        self.metrics.record_refusal(self.now - self.jobs[job].arrived);
        match refusal.retry_after {
            Some(after) if !self.jobs[job].came_back => {
                // One call, counted once, by what became of it in the end.
                self.jobs[job].over = true;
                let mut back = self.jobs[job].clone();
                back.came_back = true;
                back.promised = refusal.reserved;
                back.over = false;
                back.avoid.clear();
                back.tries = 0;
                let after = after.as_micros() as u64;
                back.arrived = self.now + after;
                self.jobs.push(back);
                self.plan(after, Event::Return(self.jobs.len() - 1));
            }
            _ => self.settle(job, Status::Refused),
        }
    }

    fn target(&self, job: usize) -> u64 {
        let class = &self.scenario.traffic[self.jobs[job].traffic].class;
        self.metrics.target(class).as_micros() as u64
    }

    fn settle(&mut self, job: usize, status: Status) {
        if self.jobs[job].over {
            return;
        }
        self.jobs[job].over = true;
        let item = &self.jobs[job];
        let traffic = &self.scenario.traffic[item.traffic];
        self.metrics.record_call(&Sample {
            class: &traffic.class,
            customer: &traffic.customers[item.customer].0,
            status,
            tokens: item.done,
            first_token: item
                .first
                .map(|first| Duration::from_micros(first - item.arrived)),
            reserved_retry: item.promised && item.arrived <= self.now,
            minute: self.now.saturating_sub(1) / 60_000_000,
        });
    }
}
