//! Metrics by prometheus-client; the list for operators is in the docs.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Class and how it came out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Outcome {
    /// Request class.
    pub class: String,
    /// `ok` or the kind of the refusal.
    pub outcome: String,
}

/// Class alone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Class {
    /// Request class.
    pub class: String,
}

/// Kind of a call to the platform and how it came out.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Platform {
    /// What was asked.
    pub call: &'static str,
    /// `ok`, `refused` or `lost`.
    pub outcome: &'static str,
}

/// Kind of a call to the platform or to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Called {
    /// What was asked.
    pub call: &'static str,
}

const SECONDS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.53, 1.0, 2.5, 5.0, 15.0, 60.0,
];

fn seconds() -> Histogram {
    Histogram::new(SECONDS)
}

/// All metrics of the process.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests by class and outcome.
    pub requests: Family<Outcome, Counter>,
    /// Time to the first token or whole plain answer.
    pub first_answer: Family<Class, Histogram, fn() -> Histogram>,
    /// Tokens that went to callers.
    pub tokens: Family<Class, Counter>,
    /// Streams that another runner had to go on with.
    pub resumed_streams: Family<Class, Counter>,
    /// Calls passed on to their owner.
    pub forwarded_calls: Counter,
    /// Connections refused past the bound.
    pub refused_connections: Counter,
    /// Calls to the platform.
    pub platform_calls: Family<Platform, Counter>,
    /// Bytes of the answers to calls to the platform and to peers.
    pub response_bytes: Family<Called, Counter>,
    /// Time of such calls, answered or given up.
    pub call_duration: Family<Called, Histogram, fn() -> Histogram>,
    /// Size of the configuration in force.
    pub configuration_bytes: Gauge,
    /// Heartbeat bytes sent.
    pub heartbeat_bytes: Counter,
    /// Configuration version in force.
    pub configuration_version: Gauge,
    /// Whether keys may be trusted.
    pub keys_trusted: Gauge,
    /// Requests in flight.
    pub requests_in_flight: Gauge,
    /// Log lines dropped because their writer was behind.
    pub log_lines_dropped: Gauge,
    /// Processor time of the control thread.
    pub control_busy_us: Counter,
    registry: Arc<Registry>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            requests: Family::default(),
            first_answer: Family::new_with_constructor(seconds),
            tokens: Family::default(),
            resumed_streams: Family::default(),
            forwarded_calls: Counter::default(),
            refused_connections: Counter::default(),
            platform_calls: Family::default(),
            response_bytes: Family::default(),
            call_duration: Family::new_with_constructor(seconds),
            configuration_bytes: Gauge::default(),
            heartbeat_bytes: Counter::default(),
            configuration_version: Gauge::default(),
            keys_trusted: Gauge::default(),
            requests_in_flight: Gauge::default(),
            log_lines_dropped: Gauge::default(),
            control_busy_us: Counter::default(),
            registry: Arc::default(),
        };
        let mut registry = Registry::with_prefix("radishstair");
        metrics.register(&mut registry);
        metrics.registry = Arc::new(registry);
        metrics
    }
}

impl Metrics {
    fn register(&self, registry: &mut Registry) {
        registry.register("requests", "Requests by class and outcome", self.requests.clone());
        registry.register_with_unit(
            "first_answer",
            "Time to the first token or the whole plain answer",
            Unit::Seconds,
            self.first_answer.clone(),
        );
        registry.register(
            "tokens",
            "Generated tokens that went to callers",
            self.tokens.clone(),
        );
        registry.register(
            "resumed_streams",
            "Streams that went on at another runner",
            self.resumed_streams.clone(),
        );
        registry.register(
            "forwarded_calls",
            "Calls passed on to their owner",
            self.forwarded_calls.clone(),
        );
        registry.register(
            "refused_connections",
            "Connections refused past the bound",
            self.refused_connections.clone(),
        );
        registry.register(
            "platform_calls",
            "Calls to the platform",
            self.platform_calls.clone(),
        );
        registry.register_with_unit(
            "platform_answer",
            "Bytes of answers of the platform and of peers",
            Unit::Bytes,
            self.response_bytes.clone(),
        );
        registry.register_with_unit(
            "platform_call",
            "Time of calls to the platform and to peers, answered or given up",
            Unit::Seconds,
            self.call_duration.clone(),
        );
        registry.register_with_unit(
            "configuration",
            "Size of the configuration in force",
            Unit::Bytes,
            self.configuration_bytes.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because their writer was behind",
            self.log_lines_dropped.clone(),
        );
        registry.register_with_unit(
            "heartbeat",
            "Heartbeats sent",
            Unit::Bytes,
            self.heartbeat_bytes.clone(),
        );
        registry.register(
            "configuration_version",
            "Configuration in force",
            self.configuration_version.clone(),
        );
        registry.register(
            "keys_trusted",
            "1 while keys may be trusted",
            self.keys_trusted.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Requests in flight",
            self.requests_in_flight.clone(),
        );
        registry.register(
            "control_busy_microseconds",
            "Time that the control thread was busy",
            self.control_busy_us.clone(),
        );
    }

    /// Counts a request.
    pub fn count_request(&self, class: &str, outcome: &str) {
        let labels = Outcome {
            class: class.to_string(),
            outcome: outcome.to_string(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records the time to a first token or whole plain answer.
    pub fn observe_first_answer(&self, class: &str, waited: Duration) {
        let labels = Class {
            class: class.to_string(),
        };
        self.first_answer
            .get_or_create(&labels)
            .observe(waited.as_secs_f64());
    }

    /// Records what a call to the platform or to a peer brought, and how long it took.
    pub fn observe_call(&self, call: &'static str, bytes: usize, took: Duration) {
        let labels = Called { call };
        self.response_bytes.get_or_create(&labels).inc_by(bytes as u64);
        self.call_duration
            .get_or_create(&labels)
            .observe(took.as_secs_f64());
    }

    /// Counts a call to the platform.
    pub fn count_platform_call(&self, call: &'static str, outcome: &'static str) {
        self.platform_calls
            .get_or_create(&Platform { call, outcome })
            .inc();
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }
}
