//! The measures of the brief, gathered over one run.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;
use radishstair_core::config::view::{Route, View};
use radishstair_core::config::{Document, Key, Labels};

use crate::scenario::{Change, Scenario, Traffic};

/// How a call came out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Whole, and within its target.
    InTime,
    /// Whole, or still open, past its target.
    Late,
    /// Refused.
    Refused,
    /// Broken off for good.
    Broken,
}

/// One call that came out.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// Class.
    pub class: &'a str,
    /// Customer.
    pub customer: &'a str,
    /// How.
    pub fate: Fate,
    /// Tokens generated for it.
    pub tokens: u32,
    /// Time to its first token.
    pub first: Option<Duration>,
    /// Whether it came back when it was told to.
    pub came_back: bool,
    /// Minute in which it came out.
    pub minute: u64,
}

/// Counts of one class or customer.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Tally {
    /// Calls that came out.
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

impl Tally {
    /// Share that came out in time.
    pub fn attainment(&self) -> f64 {
        self.in_time as f64 / (self.all as f64).max(1.0)
    }

    fn add(&mut self, fate: Fate) {
        self.all += 1;
        match fate {
            Fate::InTime => self.in_time += 1,
            Fate::Late => self.late += 1,
            Fate::Refused => self.refused += 1,
            Fate::Broken => self.broken += 1,
        }
    }
}

/// Everything measured in one run.
#[derive(Clone, Debug)]
pub struct Metrics {
    routes: BTreeMap<String, (Route, Duration)>,
    equals: BTreeMap<String, Vec<String>>,
    /// By class.
    pub classes: BTreeMap<String, Tally>,
    /// By class and customer.
    pub customers: BTreeMap<(String, String), Tally>,
    /// By class and minute.
    pub minutes: BTreeMap<(String, u64), Tally>,
    /// Times to the first token by class, in milliseconds.
    pub first: BTreeMap<String, Histogram<u64>>,
    /// Tokens of answers in time.
    pub good_tokens: u64,
    /// Tokens of answers that were late or broke.
    pub wasted_tokens: u64,
    /// Tokens by pool.
    pub pools: BTreeMap<String, u64>,
    /// Calls broken by a reclaim.
    pub broken_by_reclaim: u64,
    /// Price of the runners.
    pub spending: f64,
    /// Calls that came back as told, and those then in time.
    pub reserved_retries: (u64, u64),
    /// Refusals, and those given after more than 50 ms of waiting.
    pub refusals: (u64, u64),
    /// Prompts read, and those found in a cache.
    pub prompts: (u64, u64),
}

impl Metrics {
    /// Nothing measured yet.
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
        let equals = scenario
            .traffic
            .iter()
            .map(|traffic| (traffic.class.clone(), equals(scenario, traffic)));
        Self {
            equals: equals.collect(),
            routes,
            classes: BTreeMap::new(),
            customers: BTreeMap::new(),
            minutes: BTreeMap::new(),
            first: BTreeMap::new(),
            good_tokens: 0,
            wasted_tokens: 0,
            pools: BTreeMap::new(),
            broken_by_reclaim: 0,
            spending: 0.0,
            reserved_retries: (0, 0),
            refusals: (0, 0),
            prompts: (0, 0),
        }
    }

    /// Tier and pools of a class.
    pub fn route(&self, class: &str) -> (String, Arc<[String]>) {
        match self.routes.get(class) {
            Some((route, _)) => (route.tier.clone(), route.pools.clone()),
            None => (String::new(), Arc::from([])),
        }
    }

    /// Target of a class.
    pub fn target(&self, class: &str) -> Duration {
        self.routes
            .get(class)
            .map_or(Duration::ZERO, |(_, target)| *target)
    }

    /// Counts a prompt that was read.
    pub fn cache(&mut self, hit: bool, counts: bool) {
        if counts {
            self.prompts.0 += 1;
            self.prompts.1 += u64::from(hit);
        }
    }

    /// Counts tokens made in a pool.
    pub fn work(&mut self, pool: &str, tokens: u32) {
        *self.pools.entry(pool.to_string()).or_default() += u64::from(tokens);
    }

    /// Counts a refusal, given after a wait in microseconds.
    pub fn refusal(&mut self, waited: u64) {
        self.refusals.0 += 1;
        self.refusals.1 += u64::from(waited > 50_000);
    }

    /// Counts a call that came out.
    pub fn settle(&mut self, sample: &Sample<'_>) {
        let class = sample.class.to_string();
        if sample.came_back {
            self.reserved_retries.0 += 1;
            self.reserved_retries.1 += u64::from(sample.fate == Fate::InTime);
        }
        self.classes.entry(class.clone()).or_default().add(sample.fate);
        let customer = (class.clone(), sample.customer.to_string());
        self.customers.entry(customer).or_default().add(sample.fate);
        self.minutes
            .entry((class.clone(), sample.minute))
            .or_default()
            .add(sample.fate);
        match sample.fate {
            Fate::InTime => self.good_tokens += u64::from(sample.tokens),
            _ => self.wasted_tokens += u64::from(sample.tokens),
        }
        if let Some(first) = sample.first {
            let histogram = self.first.entry(class).or_insert_with(new_histogram);
            let _ = histogram.record(first.as_millis() as u64);
        }
    }

    /// Share of all calls that came out in time.
    pub fn attainment(&self) -> f64 {
        let all: u64 = self.classes.values().map(|tally| tally.all).sum();
        let in_time: u64 = self.classes.values().map(|tally| tally.in_time).sum();
        in_time as f64 / (all as f64).max(1.0)
    }

    /// Attainment of the worst customer of a class over that of the median,
    /// among those of equal demand: a large customer that gets as much as a
    /// small one is not served worse than it.
    pub fn worst_customer(&self, class: &str) -> f64 {
        let equal = self.equals.get(class).map_or(&[][..], Vec::as_slice);
        let tallies = self
            .customers
            .iter()
            .filter(|((have, name), tally)| have == class && equal.contains(name) && tally.all >= 5);
        let mut shares: Vec<f64> = tallies.map(|(_, tally)| tally.attainment()).collect();
        shares.sort_by(f64::total_cmp);
        match shares.as_slice() {
            [] => 1.0,
            all => all[0] / all[all.len() / 2].max(1e-9),
        }
    }

    /// The lowest of the classes' worst customers.
    pub fn worst(&self) -> f64 {
        self.classes
            .keys()
            .map(|class| self.worst_customer(class))
            .fold(1.0, f64::min)
    }

    /// Fewest calls of a class that came out whole in any whole minute.
    pub fn min_completions_per_minute(&self, class: &str) -> u64 {
        let minutes = self.minutes.iter().filter(|((have, _), _)| have == class);
        minutes
            .map(|(_, tally)| tally.in_time + tally.late)
            .min()
            .unwrap_or(0)
    }
}

/// The largest group of customers with one demand; none that floods.
fn equals(scenario: &Scenario, traffic: &Traffic) -> Vec<String> {
    let floods = |name: &String| {
        let changes = scenario.events.iter().map(|event| &event.change);
        changes
            .into_iter()
            .any(|change| matches!(change, Change::Flood { customer, .. } if customer == name))
    };
    let group = |demand: f64| -> Vec<String> {
        let same = traffic
            .customers
            .iter()
            .filter(|(name, other)| *other == demand && !floods(name));
        same.map(|(name, _)| name.clone()).collect()
    };
    let groups = traffic.customers.iter().map(|(_, demand)| group(*demand));
    groups.max_by_key(Vec::len).unwrap_or_default()
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are allowed")
}
