//! Calls that arrive: when, whose, how long.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{Event, Job, Simulation};

/// Largest number of tokens that callers allow.
pub(super) const MOST_TOKENS: u32 = 2_048;

impl Simulation<'_> {
    pub(super) fn plan_arrival(&mut self, traffic: usize) {
        let plan = &self.scenario.traffic[traffic];
        let total: f64 = self.weights(traffic).iter().sum();
        let whole: f64 = plan.customers.iter().map(|(_, share)| share).sum();
        let rate = plan.rate * total / whole.max(1e-9);
        let unit: f64 = self.rng.random_range(1e-9..1.0);
        let wait = -unit.ln() / rate.max(1e-6);
        self.plan((wait * 1e6) as u64, Event::Arrive(traffic));
    }

    fn weights(&self, traffic: usize) -> Vec<f64> {
        let customers = &self.scenario.traffic[traffic].customers;
        let factors = &self.rates[traffic];
        customers
            .iter()
            .zip(factors)
            .map(|((_, share), factor)| share * factor)
            .collect()
    }

    pub(super) fn arrive(&mut self, traffic: usize) {
        let weights = self.weights(traffic);
        let customer = self.pick(&weights);
        let plan = &self.scenario.traffic[traffic];
        let tokens = if plan.tokens == 0.0 {
            1
        } else {
            let spread = (normal(&mut self.rng) * plan.sigma).exp();
            ((plan.tokens * spread) as u32).clamp(1, MOST_TOKENS)
        };
        // A customer's prompts begin alike.
        let group = self.rng.random_range(0..plan.prefixes);
        let host = self.rng.random_range(0..self.hosts.len());
        self.jobs.push(Job {
            traffic,
            customer,
            host,
            arrived: self.now,
            tokens,
            prefix: (traffic * 1_000 + customer) as u64 * 1_000 + group,
            came_back: false,
            promised: false,
            tries: 0,
            first: None,
            done: 0,
            avoid: Vec::new(),
            seek: None,
            runner: None,
            started: 0,
            span: 0,
            priority: 0,
            over: false,
        });
        self.seek(self.jobs.len() - 1);
    }

    fn pick(&mut self, weights: &[f64]) -> usize {
        let total: f64 = weights.iter().sum();
        let mut left = self.rng.random_range(0.0..total.max(1e-9));
        for (at, weight) in weights.iter().enumerate() {
            left -= weight;
            if left <= 0.0 {
                return at;
            }
        }
        weights.len() - 1
    }
}

/// A draw from the normal distribution (Box and Muller).
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius: f64 = rng.random_range(1e-12..1.0_f64);
    let angle: f64 = rng.random_range(0.0..std::f64::consts::TAU);
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}
