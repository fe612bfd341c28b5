//! A caller's request while it is forwarded, and the attempts made for it.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HOST;
use hyper::http::request;
use radishstair_core::id::digest_fields;
use radishstair_core::proxy::capacity::Policy;
use radishstair_core::proxy::crash::{self, Suspect};
use radishstair_core::proxy::fleet::{Key, Way};
use radishstair_core::proxy::origin::Origin;
use radishstair_core::proxy::overload::Patience;
use radishstair_core::proxy::placement::Demand;
use radishstair_core::proxy::route::Mode;
use radishstair_core::proxy::{Admission, RequestHead};
use radishstair_core::retry::{self, Rule};
use radishstair_core::time::Moment;

use super::adapter::Metadata;
use super::held::Held;
use crate::upstream::pool;

/// Unreachable runners after which the request is refused.
const MAX_UNREACHABLE: u32 = 4;
/// Parts of a prompt in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// A caller's request, read completely and admitted.
#[derive(Debug)]
pub struct Job {
    /// Request line and headers as received.
    pub parts: request::Parts,
    /// Metadata parsed from the headers.
    pub metadata: Metadata,
    /// Complete body.
    pub body: Bytes,
    /// What may crash runners in it, sorted.
    pub suspects: Vec<Suspect>,
    /// Hash of what stays the same when the caller repeats the request under another id.
    pub content: u64,
    /// Memory reserved for the request.
    pub held: Held,
    /// Route, service and customer that the configuration gives it.
    pub admission: Admission,
    /// Time at which its head was received.
    pub arrived: Moment,
    /// Time by which the caller must have the final response, if there is a limit.
    pub deadline: Option<Moment>,
}

impl Job {
    /// Time left until the deadline, if there is one.
    pub fn time_left(&self, now: Moment) -> Option<Duration> {
        self.deadline.map(|deadline| now.until(deadline))
    }

    /// Whether the deadline has passed.
    pub fn is_expired(&self, now: Moment) -> bool {
        self.deadline.is_some_and(|deadline| now.reached(deadline))
    }

    /// Whether the request may run at most once.
    pub fn is_at_most_once(&self) -> bool {
        !self.admission.route.mode.is_idempotent()
    }

    /// What the request needs of a connection.
    pub fn connection_demand(&self) -> pool::Demand<'_> {
        pool::Demand {
            id: &self.metadata.id,
            at_most_once: self.is_at_most_once(),
        }
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(&self) -> bool {
        matches!(self.admission.route.mode, Mode::Stream { .. })
    }

    /// How long a stream may wait for its first event; `None` if it is no stream or its route has
    /// no target.
    pub fn patience(&self, now: Moment, capacity: Policy) -> Option<Patience> {
        let level = self.admission.level.filter(|_| self.is_stream())?;
        let own_target = self.admission.route.target_latency?;
        Some(Patience {
            target: level.target.map_or(own_target, |target| target.min(own_target)),
            own_target: (capacity == Policy::Bursts).then_some(own_target),
            waited: now.since(self.arrived),
            is_refusable: level.is_refusable,
        })
    }

    /// Parts of the prompt that other requests may share, for log lines; a part of the request's own is left
    /// out.
    pub fn logged_parts(&self) -> String {
        let parts = crash::shared_parts(&self.metadata.prompt_segments);
        let parts = parts
            .iter()
            .take(MAX_LOGGED_PARTS)
            .map(|part| format!("{:x}", part.id));
        parts.collect::<Vec<_>>().join(",")
    }

    /// The content for log lines.
    pub fn logged_content(&self) -> String {
        format!("{:016x}", self.content)
    }

    /// Limits on sending the request again.
    pub fn retry_rule(&self) -> Rule {
        Rule {
            at_most_once: self.is_at_most_once(),
            max_attempts: self.admission.route.attempts,
            max_unreachable: MAX_UNREACHABLE,
        }
    }

    /// Request head, to admit the request again before it is sent.
    pub fn request_head(&self) -> RequestHead<'_> {
        request_head(&self.parts, &self.metadata)
    }

    /// Load that the request puts on its runner if it is sent on this way, after the attempts in `log`;
    /// `random` breaks ties between runners.
    pub fn demand(&self, log: &AttemptLog, way: Way, random: u64) -> Demand {
        Demand {
            service: self.admission.service.clone(),
            prompt_tokens: self.metadata.prompt_tokens,
            output_tokens: self
                .metadata
                .expected_output_tokens
                .unwrap_or(self.metadata.max_output_tokens)
                .min(self.metadata.max_output_tokens),
            segments: self.metadata.prompt_segments.clone(),
            bytes: self.body.len() as u64,
            copies_prefix: self.admission.copies_prefix,
            at_most_once: self.is_at_most_once(),
            is_stream: self.is_stream(),
            is_counted: log.is_counted(),
            version: log.origin.version(),
            way,
            random,
        }
    }
}

/// Hash of what stays the same when a caller repeats a request under another id: the customer, the request line,
/// the parts of the prompt and the body.
pub fn content(parts: &request::Parts, metadata: &Metadata, customer: Option<&str>, body: &[u8]) -> u64 {
    let target = parts.uri.path_and_query();
    let segments: Vec<u8> = metadata
        .prompt_segments
        .iter()
        .flat_map(|segment| segment.id.to_le_bytes())
        .collect();
    digest_fields([
        customer.unwrap_or_default().as_bytes(),
        parts.method.as_str().as_bytes(),
        target.map_or("", |target| target.as_str()).as_bytes(),
        &segments,
        body,
    ])
}

/// Request head for admission, with a random draw among weighted services.
pub fn request_head<'a>(parts: &'a request::Parts, metadata: &'a Metadata) -> RequestHead<'a> {
    let host = parts.headers.get(HOST);
    RequestHead {
        host: host.and_then(|host| host.to_str().ok()).unwrap_or_default(),
        path: parts.uri.path(),
        key: metadata.api_key.as_deref(),
        random: rand::random(),
    }
}

impl AttemptLog {
    /// Whether the request has been counted as demand for runners since it was last sent.
    pub fn is_counted(&self) -> bool {
        self.counted > self.history.sends()
    }
}

/// Attempts made for one request, with details for its log line.
#[derive(Clone, Debug, Default)]
pub struct AttemptLog {
    /// Runners tried, and whether the request may have run.
    pub history: retry::History<Key>,
    /// Version that began the stream.
    pub origin: Origin,
    /// Number of times that the request was counted as demand for runners.
    pub counted: u32,
    /// Part under quarantine of which the request is the probe.
    pub probe: Option<Suspect>,
    /// Runners that could not be reached directly.
    pub unreached: Vec<Key>,
    /// Runners that are not chosen, although they were not tried.
    pub avoided: Vec<Key>,
    /// Whether a retry was taken from the budget and not used, as no byte was sent.
    pub has_paid: bool,
    /// Id of the runner chosen last.
    pub last_runner: Option<String>,
    /// Software version of that runner.
    pub last_software: Option<String>,
    /// Number of runners among which the last one was chosen.
    pub candidates: u32,
}
