//! Random arrivals: time, customer and length of each call.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::{Event, Job, Simulation};

/// Maximum number of output tokens that callers request.
pub(super) const MAX_TOKENS: u32 = 2_048;

impl Simulation<'_> {
    pub(super) fn schedule_arrival(&mut self, traffic: usize) {
        let profile = &self.scenario.traffic[traffic];
        let weighted: f64 = self.weights(traffic).iter().sum();
        let base: f64 = profile.customers.iter().map(|(_, share)| share).sum();
        let rate = profile.rate * weighted / base.max(1e-9);
        let unit: f64 = self.rng.random_range(1e-9..1.0);
        let wait_s = -unit.ln() / rate.max(1e-6);
        self.schedule((wait_s * 1e6) as u64, Event::Arrival(traffic));
    }

    fn weights(&self, traffic: usize) -> Vec<f64> {
        let customers = &self.scenario.traffic[traffic].customers;
        let factors = &self.rate_factors[traffic];
        customers
            .iter()
            .zip(factors)
            .map(|((_, share), factor)| share * factor)
            .collect()
    }

    pub(super) fn arrive(&mut self, traffic: usize) {
        let weights = self.weights(traffic);
        let customer = self.pick_customer(&weights);
        let profile = &self.scenario.traffic[traffic];
        let tokens = if profile.tokens == 0.0 {
            1
        } else {
            let factor = (sample_normal(&mut self.rng) * profile.sigma).exp();
            ((profile.tokens * factor) as u32).clamp(1, MAX_TOKENS)
        };
        // Prompts share prefixes only within a customer.
        let prefix = self.rng.random_range(0..profile.prefixes);
        let host = self.rng.random_range(0..self.hosts.len());
        self.jobs.push(Job {
            traffic,
            customer,
            host,
            arrived_us: self.now_us,
            tokens,
            prefix: (traffic * 1_000 + customer) as u64 * 1_000 + prefix,
            retried: false,
            reserved: false,
            attempts: 0,
            first_token_us: None,
            delivered: 0,
            avoid: Vec::new(),
            submission: None,
            runner: None,
            started_us: 0,
            duration_us: 0,
            priority: 0,
            ended: false,
        });
        self.submit(self.jobs.len() - 1);
    }

    fn pick_customer(&mut self, weights: &[f64]) -> usize {
        let total: f64 = weights.iter().sum();
        let mut rest = self.rng.random_range(0.0..total.max(1e-9));
        for (at, weight) in weights.iter().enumerate() {
            rest -= weight;
            if rest <= 0.0 {
                return at;
            }
        }
        weights.len() - 1
    }
}

/// Samples the standard normal distribution by the Box-Muller transform.
fn sample_normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius: f64 = rng.random_range(1e-12..1.0_f64);
    let angle: f64 = rng.random_range(0.0..std::f64::consts::TAU);
    (-2.0 * radius.ln()).sqrt() * angle.cos()
}
