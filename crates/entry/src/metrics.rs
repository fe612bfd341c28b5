//! The metrics of a process, in the Prometheus text format. Their list for
//! operators is in the documentation.

use std::sync::Arc;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

mod pauses;
mod streams;

pub use pauses::PauseMetrics;
use streams::{ContinuationLabels, CopyLabel};

/// Labels of a finished request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Request class.
    pub class: String,
    /// `ok`, `answered`, the kind of the refusal, or how a stream ended without its last
    /// event: `caller-gone` or `left` if the caller disconnected, `broken`, or `over` if its
    /// time ran out.
    pub outcome: String,
}

/// Label of metrics by request class.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ClassLabel {
    /// Request class.
    pub class: String,
}

/// Labels of a finished call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PlatformCallLabels {
    /// Name of the call.
    pub call: &'static str,
    /// `ok`, `refused` or `lost`.
    pub outcome: &'static str,
}

/// Labels of datagrams between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DatagramLabels {
    /// `report`, `record`, `summary`, `update`, `hint`, `origin` or `crash`.
    pub kind: &'static str,
    /// `sent` or `received`.
    pub direction: &'static str,
}

/// Label of new connections to runners, and of those that peers ask for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ConnectionLabel {
    /// `ok`, `timeout` or `refused`; of relayed connections `ok`, or why they were refused.
    pub outcome: &'static str,
}

/// Label of streams that callers take up.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TakeUpLabel {
    /// How the software version that began the stream was learnt: `own`, `peer`, `only`, or `none` if it was
    /// not.
    pub source: &'static str,
}

/// Label of silences of streams.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct SilenceLabel {
    /// `went-on` if the runner did, `taken-over` by another runner, `broken` if the runner broke off, `over` if
    /// the caller's time ran out.
    pub outcome: &'static str,
}

/// Label of requests that were kept from runners which have asked this host to wait.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct WithheldLabel {
    /// `moved` to another runner after it had been placed, or `refused` as all runners have asked to wait.
    pub outcome: &'static str,
}

/// Label of metrics by call to the platform or to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabel {
    /// Name of the call.
    pub call: &'static str,
}

const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.53, 1.0, 2.5, 5.0, 15.0, 60.0,
];

fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS_S)
}

/// All metrics of the process.
#[derive(Clone, Debug)]
pub struct Metrics {
    /// Requests by class and outcome.
    pub requests: Family<RequestLabels, Counter>,
    /// Time to the first token or to the complete plain answer.
    pub first_answer: Family<ClassLabel, Histogram, fn() -> Histogram>,
    /// Generated tokens sent to callers.
    pub tokens: Family<ClassLabel, Counter>,
    /// Streams that were resumed at another runner.
    pub resumed_streams: Family<ClassLabel, Counter>,
    /// Pauses of streams.
    pub pauses: PauseMetrics,
    /// Silences of streams that other runners may take over.
    pub silences: Family<SilenceLabel, Counter>,
    /// Copies of running streams.
    pub copies: Family<CopyLabel, Counter>,
    /// Requests that continue from a KV cache.
    pub continuations: Family<ContinuationLabels, Counter>,
    /// Requests that were kept from runners which have asked this host to wait.
    pub withheld_requests: Family<WithheldLabel, Counter>,
    /// Calls forwarded to the owner of their key.
    pub forwarded_calls: Counter,
    /// Connections refused because of the limit.
    pub refused_connections: Counter,
    /// Connections closed unread because they had waited too long.
    pub expired_connections: Counter,
    /// New connections to runners.
    pub runner_connections: Family<ConnectionLabel, Counter>,
    /// Connections that peers have asked for.
    pub relays: Family<ConnectionLabel, Counter>,
    /// Connections that this host relays for peers.
    pub relayed_connections: Gauge,
    /// Connections through peers that this host asked for.
    pub relay_requests: Family<ConnectionLabel, Counter>,
    /// Services to which this host has lost the path.
    pub lost_services: Gauge,
    /// Streams that callers have taken up here.
    pub take_ups: Family<TakeUpLabel, Counter>,
    /// Streams of which this host remembers the version that began them.
    pub known_origins: Gauge,
    /// Crashes of runners while they answered requests of this host.
    pub runner_crashes: Counter,
    /// Parts of prompts and requests that this host has found to crash runners.
    pub quarantines: Counter,
    /// Runners' entries of which a value, or a part of it, was not kept.
    pub trimmed_entries: Counter,
    /// Parts of prompts whose requests are refused.
    pub quarantined_parts: Gauge,
    /// Runners that have named a limit of the requests that they take.
    pub limited_runners: Gauge,
    /// Runners that want nothing from this host for some time.
    pub held_off_runners: Gauge,
    /// Calls to the platform.
    pub platform_calls: Family<PlatformCallLabels, Counter>,
    /// Bytes of the answers to calls to the platform and to peers.
    pub response_bytes: Family<CallLabel, Counter>,
    /// Duration of such calls until the answer or the timeout.
    pub call_duration: Family<CallLabel, Histogram, fn() -> Histogram>,
    /// Datagrams between hosts.
    pub datagrams: Family<DatagramLabels, Counter>,
    /// Bytes of these datagrams.
    pub datagram_bytes: Family<DatagramLabels, Counter>,
    /// Size of the configuration in force, in bytes.
    pub configuration_bytes: Gauge,
    /// Bytes of heartbeats sent.
    pub heartbeat_bytes: Counter,
    /// Version of the configuration in force.
    pub configuration_version: Gauge,
    /// 1 while the configuration is recent enough to trust its keys, else 0.
    pub keys_trusted: Gauge,
    /// Requests in flight.
    pub requests_in_flight: Gauge,
    /// Memory held for requests and answers, in bytes.
    pub held_memory: Gauge,
    /// Log lines dropped because the queue of the log writer was full.
    pub log_lines_dropped: Gauge,
    /// Time for which the control thread handled events, in microseconds.
    pub control_busy_us: Counter,
    registry: Arc<Registry>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            requests: Family::default(),
            first_answer: Family::new_with_constructor(latency_histogram),
            tokens: Family::default(),
            resumed_streams: Family::default(),
            pauses: PauseMetrics::default(),
            silences: Family::default(),
            copies: Family::default(),
            continuations: Family::default(),
            withheld_requests: Family::default(),
            forwarded_calls: Counter::default(),
            refused_connections: Counter::default(),
            expired_connections: Counter::default(),
            runner_connections: Family::default(),
            relays: Family::default(),
            relayed_connections: Gauge::default(),
            relay_requests: Family::default(),
            lost_services: Gauge::default(),
            take_ups: Family::default(),
            known_origins: Gauge::default(),
            runner_crashes: Counter::default(),
            quarantines: Counter::default(),
            trimmed_entries: Counter::default(),
            quarantined_parts: Gauge::default(),
            limited_runners: Gauge::default(),
            held_off_runners: Gauge::default(),
            platform_calls: Family::default(),
            response_bytes: Family::default(),
            call_duration: Family::new_with_constructor(latency_histogram),
            datagrams: Family::default(),
            datagram_bytes: Family::default(),
            configuration_bytes: Gauge::default(),
            heartbeat_bytes: Counter::default(),
            configuration_version: Gauge::default(),
            keys_trusted: Gauge::default(),
            requests_in_flight: Gauge::default(),
            held_memory: Gauge::default(),
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
            "Time to the first token or the complete plain answer",
            Unit::Seconds,
            self.first_answer.clone(),
        );
        registry.register("tokens", "Generated tokens sent to callers", self.tokens.clone());
        registry.register(
            "resumed_streams",
            "Streams resumed at another runner",
            self.resumed_streams.clone(),
        );
        self.pauses.register(registry);
        registry.register(
            "silences",
            "Silences of streams by how they ended",
            self.silences.clone(),
        );
        registry.register(
            "copies",
            "Copies of running streams by outcome",
            self.copies.clone(),
        );
        registry.register(
            "continuations",
            "Requests that continue from a KV cache by outcome",
            self.continuations.clone(),
        );
        registry.register(
            "withheld_requests",
            "Requests kept from runners that have asked this host to wait",
            self.withheld_requests.clone(),
        );
        registry.register(
            "forwarded_calls",
            "Calls forwarded to the owner of their key",
            self.forwarded_calls.clone(),
        );
        registry.register(
            "refused_connections",
            "Connections refused because of the limit",
            self.refused_connections.clone(),
        );
        registry.register(
            "expired_connections",
            "Connections closed unread because they had waited too long",
            self.expired_connections.clone(),
        );
        registry.register(
            "runner_connections",
            "New connections to runners by outcome",
            self.runner_connections.clone(),
        );
        registry.register(
            "relays",
            "Connections that peers have asked for by outcome",
            self.relays.clone(),
        );
        registry.register(
            "relayed_connections",
            "Connections relayed for peers",
            self.relayed_connections.clone(),
        );
        registry.register(
            "relay_requests",
            "Connections asked for at peers by outcome",
            self.relay_requests.clone(),
        );
        registry.register(
            "lost_services",
            "Services to which the path is lost",
            self.lost_services.clone(),
        );
        registry.register(
            "take_ups",
            "Streams that callers have taken up, by how the version that began them was learnt",
            self.take_ups.clone(),
        );
        registry.register(
            "known_origins",
            "Streams of which the version that began them is remembered",
            self.known_origins.clone(),
        );
        registry.register(
            "runner_crashes",
            "Crashes of runners while they answered requests of this host",
            self.runner_crashes.clone(),
        );
        registry.register(
            "quarantines",
            "Parts of prompts and requests that this host has found to crash runners",
            self.quarantines.clone(),
        );
        registry.register(
            "trimmed_entries",
            "Runners' entries of which a value, or a part of it, was not kept",
            self.trimmed_entries.clone(),
        );
        registry.register(
            "quarantined_parts",
            "Parts of prompts whose requests are refused",
            self.quarantined_parts.clone(),
        );
        registry.register(
            "limited_runners",
            "Runners that have named a limit of the requests that they take",
            self.limited_runners.clone(),
        );
        registry.register(
            "held_off_runners",
            "Runners that have asked this host to send them nothing for some time",
            self.held_off_runners.clone(),
        );
        registry.register(
            "platform_calls",
            "Calls to the platform",
            self.platform_calls.clone(),
        );
        registry.register_with_unit(
            "platform_answer",
            "Size of answers from the platform and from peers",
            Unit::Bytes,
            self.response_bytes.clone(),
        );
        registry.register_with_unit(
            "platform_call",
            "Duration of calls to the platform and to peers until the answer or the timeout",
            Unit::Seconds,
            self.call_duration.clone(),
        );
        registry.register("datagrams", "Datagrams between hosts", self.datagrams.clone());
        registry.register_with_unit(
            "datagram",
            "Size of datagrams between hosts",
            Unit::Bytes,
            self.datagram_bytes.clone(),
        );
        registry.register_with_unit(
            "configuration",
            "Size of the configuration in force",
            Unit::Bytes,
            self.configuration_bytes.clone(),
        );
        registry.register(
            "log_lines_dropped",
            "Log lines dropped because the queue of the log writer was full",
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
            "Version of the configuration in force",
            self.configuration_version.clone(),
        );
        registry.register(
            "keys_trusted",
            "1 while the configuration is recent enough to trust its keys",
            self.keys_trusted.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Requests in flight",
            self.requests_in_flight.clone(),
        );
        registry.register_with_unit(
            "held_memory",
            "Memory held for requests and answers",
            Unit::Bytes,
            self.held_memory.clone(),
        );
        registry.register(
            "control_busy_microseconds",
            "Time for which the control thread handled events",
            self.control_busy_us.clone(),
        );
    }

    /// Counts a finished request.
    pub fn count_request(&self, class: &str, outcome: &str) {
        let labels = RequestLabels {
            class: class.to_string(),
            outcome: outcome.to_string(),
        };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records the time to a first token or a complete plain answer.
    pub fn observe_first_answer(&self, class: &str, elapsed: Duration) {
        let labels = ClassLabel {
            class: class.to_string(),
        };
        self.first_answer
            .get_or_create(&labels)
            .observe(elapsed.as_secs_f64());
    }

    /// Records the answer size and the duration of a call to the platform or to a peer.
    pub fn observe_call(&self, call: &'static str, bytes: usize, elapsed: Duration) {
        let labels = CallLabel { call };
        self.response_bytes.get_or_create(&labels).inc_by(bytes as u64);
        self.call_duration
            .get_or_create(&labels)
            .observe(elapsed.as_secs_f64());
    }

    /// Counts datagrams of this many bytes each between hosts.
    pub fn count_datagrams(&self, kind: &'static str, direction: &'static str, count: usize, bytes: usize) {
        let labels = DatagramLabels { kind, direction };
        self.datagrams.get_or_create(&labels).inc_by(count as u64);
        let bytes = (count * bytes) as u64;
        self.datagram_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Counts a new connection to a runner.
    pub fn count_connection(&self, outcome: &'static str) {
        self.runner_connections
            .get_or_create(&ConnectionLabel { outcome })
            .inc();
    }

    /// Counts a connection that a peer has asked for.
    pub fn count_relay(&self, outcome: &'static str) {
        self.relays.get_or_create(&ConnectionLabel { outcome }).inc();
    }

    /// Counts a stream that a caller has taken up.
    pub fn count_take_up(&self, source: &'static str) {
        self.take_ups.get_or_create(&TakeUpLabel { source }).inc();
    }

    /// Counts a request that was kept from a runner.
    pub fn count_withheld(&self, outcome: &'static str) {
        self.withheld_requests
            .get_or_create(&WithheldLabel { outcome })
            .inc();
    }

    /// Counts a silence of a stream.
    pub fn count_silence(&self, outcome: &'static str) {
        self.silences.get_or_create(&SilenceLabel { outcome }).inc();
    }

    /// Counts a connection asked for at a peer.
    pub fn count_relay_request(&self, outcome: &'static str) {
        self.relay_requests
            .get_or_create(&ConnectionLabel { outcome })
            .inc();
    }

    /// Counts a finished call to the platform.
    pub fn count_platform_call(&self, call: &'static str, outcome: &'static str) {
        self.platform_calls
            .get_or_create(&PlatformCallLabels { call, outcome })
            .inc();
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let _ = encode(&mut text, &self.registry);
        text
    }
}
