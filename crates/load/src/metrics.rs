//! Metrics of one simulation run: calls by result, latencies, tokens and cost.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use radishstair_core::config::view::{Route, View};
use radishstair_core::config::{Document, Key, Labels};

use crate::scenario::{Change, Scenario, Traffic};

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Completed, and served within its target: the first token of a stream, or the end of a plain
    /// call.
    InTime,
    /// Completed, but served after its target, or still without a first token past its target when
    /// the run ended.
    Late,
    /// Refused.
    Refused,
    /// Broken off and not resumed.
    Broken,
}

/// One call that ended.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// Class.
    pub class: &'a str,
    /// Customer.
    pub customer: &'a str,
    /// How it ended.
    pub status: Status,
    /// Tokens that its caller received.
    pub tokens: u32,
    /// Time to its first token.
    pub first_token: Option<Duration>,
    /// Whether it was a retry at a reserved time.
    pub reserved_retry: bool,
    /// Minute of the run in which it ended.
    pub minute: u64,
}

/// Number of calls of one class, customer or minute, by how they ended.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counts {
    /// All calls that ended.
    pub all: u64,
    /// In time.
    pub in_time: u64,
    /// Late.
    pub late: u64,
    /// Refused.
    pub refused: u64,
    /// Broken.
    pub broken: u64,
}

impl Counts {
    /// Fraction of calls in time.
    pub fn attainment(&self) -> f64 {
        self.in_time as f64 / (self.all as f64).max(1.0)
    }

    fn add(&mut self, status: Status) {
        self.all += 1;
        match status {
            Status::InTime => self.in_time += 1,
            Status::Late => self.late += 1,
            Status::Refused => self.refused += 1,
            Status::Broken => self.broken += 1,
        }
    }
}

/// Metrics of one run.
#[derive(Clone, Debug)]
pub struct Metrics {
    routes: BTreeMap<String, (Route, Duration)>,
    comparable_customers: BTreeMap<String, Vec<String>>,
    /// Calls by class.
    pub classes: BTreeMap<String, Counts>,
    /// Calls by class and customer.
    pub customers: BTreeMap<(String, String), Counts>,
    /// Calls by class and minute.
    pub minutes: BTreeMap<(String, u64), Counts>,
    /// Time to the first token by class, in milliseconds.
    pub first_token_ms: BTreeMap<String, Histogram<u64>>,
    /// Tokens received by the callers of calls in time.
    pub good_tokens: u64,
    /// Tokens received by the callers of calls that were late or broken off.
    pub wasted_tokens: u64,
    /// Tokens generated, by pool.
    pub pool_tokens: BTreeMap<String, u64>,
    /// Number of times that a reclaim interrupted a running call.
    pub broken_by_reclaim: u64,
    /// Cost of the runners, in the unit of the scenario's prices.
    pub cost: f64,
    /// Retries at a reserved time, and those of them in time.
    pub reserved_retries: (u64, u64),
    /// Refusals, and those more than 50 ms after arrival.
    pub refusals: (u64, u64),
    /// Prompts read, and those whose prefix was cached.
    pub prefix_lookups: (u64, u64),
}

impl Metrics {
    /// Routes each class of the scenario and starts all counts at zero.
    pub fn new(scenario: &Scenario, document: &Document) -> Self {
        let mut document = document.clone();
        let mut routes = BTreeMap::new();
        for traffic in &scenario.traffic {
            let customer = &traffic.customers[0].0;
            document.keys.put(Key {
                name: customer.clone(),
                hash: format!("{:064x}", 1),
                customer: customer.clone(),
                labels: Labels::new(),
                withdrawn: false,
            });
            let view = View::new(1, document.clone());
            let caller = view.caller_by_name(customer);
            let model = document.pools.iter().find_map(|pool| pool.models.first());
            let model = model.filter(|_| traffic.tokens > 0.0).map(String::as_str);
            let route = caller.and_then(|caller| view.route(&caller, &traffic.class, model).ok());
            if let Some(route) = route {
                let target = document
                    .tiers
                    .get(&route.tier)
                    .map_or(Duration::ZERO, |tier| tier.target);
                routes.insert(traffic.class.clone(), (route, target));
            }
        }
        let comparable = scenario
            .traffic
            .iter()
            .map(|traffic| (traffic.class.clone(), comparable_customers(scenario, traffic)));
        Self {
            comparable_customers: comparable.collect(),
            routes,
            classes: BTreeMap::new(),
            customers: BTreeMap::new(),
            minutes: BTreeMap::new(),
            first_token_ms: BTreeMap::new(),
            good_tokens: 0,
            wasted_tokens: 0,
            pool_tokens: BTreeMap::new(),
            broken_by_reclaim: 0,
            cost: 0.0,
            reserved_retries: (0, 0),
            refusals: (0, 0),
            prefix_lookups: (0, 0),
        }
    }

    /// Tier and pools of a class, as routed for its first customer.
    pub fn route(&self, class: &str) -> (String, Arc<[String]>) {
        match self.routes.get(class) {
            Some((route, _)) => (route.tier.clone(), route.pools.clone()),
            None => (String::new(), Arc::from([])),
        }
    }

    /// Latency target of a class.
    pub fn target(&self, class: &str) -> Duration {
        self.routes
            .get(class)
            .map_or(Duration::ZERO, |(_, target)| *target)
    }

    /// Counts a prompt read and whether its prefix was cached, if `enabled`.
    pub fn record_prefix_lookup(&mut self, hit: bool, enabled: bool) {
        if enabled {
            self.prefix_lookups.0 += 1;
            self.prefix_lookups.1 += u64::from(hit);
        }
    }

    /// Counts tokens generated in a pool.
    pub fn record_tokens(&mut self, pool: &str, tokens: u32) {
        *self.pool_tokens.entry(pool.to_string()).or_default() += u64::from(tokens);
    }

    /// Counts a refusal that came `waited_us` microseconds after arrival.
    pub fn record_refusal(&mut self, waited_us: u64) {
        self.refusals.0 += 1;
        self.refusals.1 += u64::from(waited_us > 50_000);
    }

    /// Counts a call that ended.
    pub fn record_call(&mut self, sample: &Sample<'_>) {
        let class = sample.class.to_string();
        if sample.reserved_retry {
            self.reserved_retries.0 += 1;
            self.reserved_retries.1 += u64::from(sample.status == Status::InTime);
        }
        self.classes.entry(class.clone()).or_default().add(sample.status);
        let customer = (class.clone(), sample.customer.to_string());
        self.customers.entry(customer).or_default().add(sample.status);
        self.minutes
            .entry((class.clone(), sample.minute))
            .or_default()
            .add(sample.status);
        match sample.status {
            Status::InTime => self.good_tokens += u64::from(sample.tokens),
            _ => self.wasted_tokens += u64::from(sample.tokens),
        }
        if let Some(latency) = sample.first_token {
            let histogram = self.first_token_ms.entry(class).or_insert_with(new_histogram);
            let _ = histogram.record(latency.as_millis() as u64);
        }
    }

    /// Fraction of all calls in time.
    pub fn attainment(&self) -> f64 {
        let all: u64 = self.classes.values().map(|counts| counts.all).sum();
        let in_time: u64 = self.classes.values().map(|counts| counts.in_time).sum();
        in_time as f64 / (all as f64).max(1.0)
    }

    /// Lowest attainment of a customer of a class, divided by the median customer's.
    ///
    /// Only customers of equal demand and with at least five calls are compared: a large customer
    /// that gets as much capacity as a small one has a lower attainment, but is not treated worse.
    pub fn customer_ratio(&self, class: &str) -> f64 {
        let peers = self
            .comparable_customers
            .get(class)
            .map_or(&[][..], Vec::as_slice);
        let eligible = self
            .customers
            .iter()
            .filter(|((other, name), counts)| other == class && peers.contains(name) && counts.all >= 5);
        let mut attainments: Vec<f64> = eligible.map(|(_, counts)| counts.attainment()).collect();
        attainments.sort_by(f64::total_cmp);
        match attainments.as_slice() {
            [] => 1.0,
            all => all[0] / all[all.len() / 2].max(1e-9),
        }
    }

    /// Lowest [`Self::customer_ratio`] of any class.
    pub fn worst_customer_ratio(&self) -> f64 {
        self.classes
            .keys()
            .map(|class| self.customer_ratio(class))
            .fold(1.0, f64::min)
    }

    /// Minimum number of completed calls of a class in any minute in which a call of it ended.
    pub fn min_completions_per_minute(&self, class: &str) -> u64 {
        let minutes = self.minutes.iter().filter(|((other, _), _)| other == class);
        minutes
            .map(|(_, counts)| counts.in_time + counts.late)
            .min()
            .unwrap_or(0)
    }
}

/// Largest group of customers of equal demand, without those that flood.
fn comparable_customers(scenario: &Scenario, traffic: &Traffic) -> Vec<String> {
    let has_flood = |name: &String| {
        let changes = scenario.events.iter().map(|event| &event.change);
        changes
            .into_iter()
            .any(|change| matches!(change, Change::Flood { customer, .. } if customer == name))
    };
    let group = |demand: f64| -> Vec<String> {
        let same = traffic
            .customers
            .iter()
            .filter(|(name, other)| *other == demand && !has_flood(name));
        same.map(|(name, _)| name.clone()).collect()
    };
    let groups = traffic.customers.iter().map(|(_, demand)| group(*demand));
    groups.max_by_key(Vec::len).unwrap_or_default()
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}
