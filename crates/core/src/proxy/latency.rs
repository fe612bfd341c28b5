//! Latency model of a service's runners, learnt from their answers.
//!
//! An engine prefills a prompt before its first event, and then generates the events of all its
//! requests in turn. The time to the first event shows how fast it prefills, how the prompt's
//! length slows it down, and what a runner in another zone adds. The gaps between events show
//! what concurrent requests and prefills cost a stream.
//!
//! The model starts with the figures of an average engine, which samples soon outweigh. One model
//! covers all runners of a service; the slowdown of a single runner is kept with that runner.
//! Each host learns on its own, as it sees several answers a second, more than it needs.

use std::time::Duration;

use super::regression::Regression;

/// Longest time that is measured or predicted.
const MAX_SPAN: Duration = Duration::from_secs(86_400);
/// Indices of the features of the time to the first event: a constant, thousands of tokens to
/// prefill, millions of token pairs in attention, concurrent requests, and whether the runner is
/// in another zone.
const CONSTANT: usize = 0;
const TOKENS: usize = 1;
const PAIRS: usize = 2;
const CONCURRENT: usize = 3;
const CROSS_ZONE: usize = 4;
/// Prior of each coefficient, in milliseconds.
const FIRST_EVENT_PRIOR_MS: [f64; 5] = [40.0, 16.0, 0.4, 0.3, 2.0];
/// Weight of each prior, in samples.
const FIRST_EVENT_WEIGHT: [f64; 5] = [3.0, 20.0, 200.0, 200.0, 20.0];
/// Prior gap between two events of a stream that runs alone, and what each concurrent request
/// adds, in milliseconds.
const GAP_PRIOR_MS: [f64; 2] = [30.0, 1.0];
/// Weight of each prior, in samples.
const GAP_WEIGHT: [f64; 2] = [5.0, 500.0];
/// Prior time that a request stays on its runner, in milliseconds.
const RESIDENCE_PRIOR_MS: f64 = 1_000.0;
/// Prior gap between events of a stream during the prefill of a long prompt, in milliseconds.
const STALL_PRIOR_MS: f64 = 250.0;
/// Quantile of the gaps during a long prefill that is tracked as the stall.
const STALL_QUANTILE: f64 = 0.9;
/// Step of the quantile estimate as a share of the stall, and the smallest stall that the step is
/// computed from, in milliseconds.
const STALL_STEP: f64 = 0.06;
const MIN_STALL_MS: f64 = 20.0;
/// Weight of the newest sample in a moving average.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Minimum prefill time of a thousand tokens, in milliseconds; a runner whose prompts were all
/// cached appears to prefill in no time.
const MIN_PREFILL_MS_PER_1K: f64 = 0.5;

plain! {
    /// State of a runner when a request arrived, from which its time to the first event is
    /// predicted.
    #[derive(Copy, Default)]
    pub struct Conditions {
        /// Length of the prompt in tokens.
        pub prompt_tokens: u64,
        /// Tokens of the prompt that the runner had cached or could copy.
        pub cached_tokens: u64,
        /// Prefill work queued ahead of the request.
        pub backlog: Duration,
        /// Requests running there.
        pub concurrent: u32,
        /// Whether the runner is in another zone.
        pub cross_zone: bool,
    }
}

impl Conditions {
    fn features(&self) -> [f64; 5] {
        let (tokens, pairs) = prefill_work(self.prompt_tokens, self.cached_tokens);
        let cross_zone = f64::from(u8::from(self.cross_zone));
        [1.0, tokens, pairs, f64::from(self.concurrent), cross_zone]
    }
}

/// Thousands of tokens to prefill, and millions of token pairs in attention.
fn prefill_work(prompt: u64, cached: u64) -> (f64, f64) {
    let cached = cached.min(prompt) as f64;
    let prompt = prompt as f64;
    let pairs = (prompt * prompt - cached * cached) / 2.0;
    ((prompt - cached) / 1e3, pairs / 1e6)
}

/// Latency model of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Latency {
    first_event: Regression<5>,
    gap: Regression<2>,
    /// Gap between events of a stream during the prefill of a long prompt, in milliseconds.
    stall_ms: f64,
    /// Average time that a request stays on its runner, in milliseconds.
    residence_ms: f64,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            first_event: Regression::new(FIRST_EVENT_PRIOR_MS, FIRST_EVENT_WEIGHT),
            gap: Regression::new(GAP_PRIOR_MS, GAP_WEIGHT),
            stall_ms: STALL_PRIOR_MS,
            residence_ms: RESIDENCE_PRIOR_MS,
        }
    }
}

impl Latency {
    /// Prefill time of a prompt whose first `cached` tokens are cached.
    pub fn prefill(&self, prompt: u64, cached: u64) -> Duration {
        let (tokens, pairs) = prefill_work(prompt, cached);
        millis(tokens * self.prefill_ms_per_1k() + pairs * self.first_event.coefficient(PAIRS))
    }

    /// Prefill time of a thousand tokens of a short prompt, in milliseconds.
    pub fn prefill_ms_per_1k(&self) -> f64 {
        self.first_event.coefficient(TOKENS).max(MIN_PREFILL_MS_PER_1K)
    }

    /// Time that each concurrent request adds to the first event of another, in milliseconds.
    pub fn contention_ms(&self) -> f64 {
        self.first_event.coefficient(CONCURRENT)
    }

    /// Time that a runner in another zone adds, in milliseconds.
    pub fn cross_zone_ms(&self) -> f64 {
        self.first_event.coefficient(CROSS_ZONE)
    }

    /// Gap between two events of a stream with this number of concurrent requests, while no prompt
    /// is prefilled.
    pub fn event_gap(&self, concurrent: f64) -> Duration {
        millis(self.gap.predict(&[1.0, concurrent]))
    }

    /// Gap between events of a stream during the prefill of a long prompt.
    pub fn stall(&self) -> Duration {
        millis(self.stall_ms)
    }

    /// Time to the first event of an empty prompt on an idle runner.
    pub fn base(&self) -> Duration {
        millis(self.first_event.coefficient(CONSTANT))
    }

    /// Average time that a request stays on its runner.
    pub fn residence(&self) -> Duration {
        millis(self.residence_ms)
    }

    /// Predicted time to the first event.
    pub fn predict(&self, conditions: &Conditions) -> Duration {
        millis(self.first_event.predict(&conditions.features())) + conditions.backlog
    }

    /// Adds the time to the first event of a request.
    pub fn observe_first_event(&mut self, conditions: &Conditions, elapsed: Duration) {
        let own = self.first_event.predict(&conditions.features());
        let backlog_ms = ms(conditions.backlog);
        // The wait for other requests is less certain than the request's own prefill.
        let certainty = own / (own + backlog_ms).max(1.0);
        let own_ms = ms(elapsed) - backlog_ms;
        self.first_event
            .observe(&conditions.features(), own_ms.max(0.0), certainty * certainty);
    }

    /// Adds the gap between two events of a stream; `prefilling` if the runner was prefilling
    /// throughout.
    pub fn observe_event_gap(&mut self, gap: Duration, concurrent: u32, prefilling: bool) {
        if !prefilling {
            let features = [1.0, f64::from(concurrent)];
            self.gap.observe(&features, ms(gap), 1.0);
            return;
        }
        let step = STALL_STEP * self.stall_ms.max(MIN_STALL_MS);
        self.stall_ms += match ms(gap) > self.stall_ms {
            true => step * STALL_QUANTILE,
            false => -step * (1.0 - STALL_QUANTILE),
        };
    }

    /// Adds the time that a request stayed on its runner.
    pub fn observe_residence(&mut self, residence: Duration) {
        self.residence_ms += SAMPLE_WEIGHT * (ms(residence) - self.residence_ms);
    }
}

/// Converts a duration to milliseconds.
pub fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

/// Converts milliseconds to a duration of at most a day; negative values become zero.
pub fn millis(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1e3).map_or(MAX_SPAN, |span| span.min(MAX_SPAN))
}
