//! How fast the runners of a service are, learnt from their answers.
//!
//! An engine reads a prompt before its first event, and writes the events of all its
//! requests in turn. The time until the first event tells how fast it reads, how that
//! slows down with the prompt's length, and what a runner in another zone adds. The pauses
//! between events tell what requests beside a stream and prompts read meanwhile cost it.
//!
//! Before the first answers the figures of a middling engine are assumed, and soon
//! outweighed. One latency stands for all runners of a service; how far a single one lags
//! behind it is known of each runner. Each host learns for itself: it sees several answers a
//! second, more than it needs.

use std::time::Duration;

use super::regression::Regression;

/// What the time until the first event depends on, by place in [`FIRST`]: a fixed part, a
/// thousand tokens to read, a million pairs of them to compare, a request beside, and the way
/// to another zone.
const FIXED: usize = 0;
const TOKENS: usize = 1;
const PAIRS: usize = 2;
const BESIDE: usize = 3;
const FAR: usize = 4;
/// Milliseconds assumed for each of them until answers tell.
const FIRST: [f64; 5] = [40.0, 16.0, 0.4, 0.3, 2.0];
/// How certain that is.
const FIRST_CERTAINTY: [f64; 5] = [3.0, 20.0, 200.0, 200.0, 20.0];
/// Assumed milliseconds between two events of a stream that is alone, and for each
/// request beside it.
const WRITING: [f64; 2] = [30.0, 1.0];
const WRITING_CERTAINTY: [f64; 2] = [5.0, 500.0];
/// Assumed time that a request stays on its runner, in milliseconds.
const STAY: f64 = 1_000.0;
/// Assumed stall of a stream beside which a long prompt is read, in milliseconds.
const STALL: f64 = 250.0;
/// Part of pauses beside a long prompt that are shorter than the stall that is told.
const STALL_QUANTILE: f64 = 0.9;
/// Part of the stall by which one pause moves it, and least stall that counts for that, in
/// milliseconds.
const STALL_STEP: f64 = 0.06;
const STALL_LEAST: f64 = 20.0;
/// Weight of the newest sample in an average.
const NEWEST: f64 = 0.02;
/// Least time for a thousand tokens; a runner whose prompts were all in memory seems to
/// read at once.
const READING_LEAST: f64 = 0.5;

plain! {
    /// What a request found at its runner, to compare its first event with.
    #[derive(Copy, Default)]
    pub struct Conditions {
        /// Tokens of its prompt.
        pub prompt: u64,
        /// Tokens of it that the runner had in memory.
        pub cached: u64,
        /// Time that the runner had yet to read before.
        pub backlog: Duration,
        /// Requests that ran there.
        pub concurrent: u32,
        /// Whether it is in another zone.
        pub cross_zone: bool,
    }
}

impl Conditions {
    fn features(&self) -> [f64; 5] {
        let (tokens, pairs) = reading(self.prompt, self.cached);
        let far = f64::from(u8::from(self.cross_zone));
        [1.0, tokens, pairs, f64::from(self.concurrent), far]
    }
}

/// Thousands of tokens to read, and millions of pairs of tokens to compare.
fn reading(prompt: u64, kept: u64) -> (f64, f64) {
    let kept = kept.min(prompt) as f64;
    let prompt = prompt as f64;
    let pairs = (prompt * prompt - kept * kept) / 2.0;
    ((prompt - kept) / 1e3, pairs / 1e6)
}

/// How fast runners are.
#[derive(Clone, Debug, PartialEq)]
pub struct Latency {
    first: Regression<5>,
    writing: Regression<2>,
    /// Pause of a stream beside which a long prompt is read, in milliseconds.
    stall: f64,
    /// Average time that a request stays on its runner, in milliseconds.
    stay: f64,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            first: Regression::new(FIRST, FIRST_CERTAINTY),
            writing: Regression::new(WRITING, WRITING_CERTAINTY),
            stall: STALL,
            stay: STAY,
        }
    }
}

impl Latency {
    /// Time to read a prompt of which the first `kept` tokens are in memory.
    pub fn prefill(&self, prompt: u64, kept: u64) -> Duration {
        let (tokens, pairs) = reading(prompt, kept);
        millis(tokens * self.prefill_ms_per_1k() + pairs * self.first.coefficient(PAIRS))
    }

    /// Milliseconds to read a thousand tokens of a short prompt.
    pub fn prefill_ms_per_1k(&self) -> f64 {
        self.first.coefficient(TOKENS).max(READING_LEAST)
    }

    /// Milliseconds that each request on a runner adds to the first event of another.
    pub fn contention_ms(&self) -> f64 {
        self.first.coefficient(BESIDE)
    }

    /// Milliseconds that the way to another zone adds.
    pub fn cross_zone_ms(&self) -> f64 {
        self.first.coefficient(FAR)
    }

    /// Pause between two events of a stream beside so many requests, while no prompt is read.
    pub fn event_gap(&self, beside: f64) -> Duration {
        millis(self.writing.predict(&[1.0, beside]))
    }

    /// Pause of a stream beside which a long prompt is read.
    pub fn stall(&self) -> Duration {
        millis(self.stall)
    }

    /// Time until the first event of an empty prompt on an idle runner.
    pub fn base(&self) -> Duration {
        millis(self.first.coefficient(FIXED))
    }

    /// Time that a request stays on its runner.
    pub fn residence(&self) -> Duration {
        millis(self.stay)
    }

    /// Time until the first event.
    pub fn predict(&self, conditions: &Conditions) -> Duration {
        millis(self.first.predict(&conditions.features())) + conditions.backlog
    }

    /// A request's first event came after `took`.
    pub fn observe_first_event(&mut self, conditions: &Conditions, took: Duration) {
        let own = self.first.predict(&conditions.features());
        let backlog = ms(conditions.backlog);
        // What was waited for others is known less well than the request's own prompt.
        let certain = own / (own + backlog).max(1.0);
        let alone = ms(took) - backlog;
        self.first
            .observe(&conditions.features(), alone.max(0.0), certain * certain);
    }

    /// A stream's event came after `pause`; `reading` if its runner read a prompt all the while.
    pub fn observe_event_gap(&mut self, pause: Duration, beside: u32, reading: bool) {
        if !reading {
            let features = [1.0, f64::from(beside)];
            self.writing.observe(&features, ms(pause), 1.0);
            return;
        }
        let step = STALL_STEP * self.stall.max(STALL_LEAST);
        self.stall += match ms(pause) > self.stall {
            true => step * STALL_QUANTILE,
            false => -step * (1.0 - STALL_QUANTILE),
        };
    }

    /// A request has left its runner after `stay`.
    pub fn observe_residence(&mut self, stay: Duration) {
        self.stay += NEWEST * (ms(stay) - self.stay);
    }
}

/// A duration as milliseconds.
pub fn ms(span: Duration) -> f64 {
    span.as_secs_f64() * 1e3
}

/// Milliseconds as a duration; none below zero.
pub fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1e3)
}
