//! Service guarantees that hold on all hosts, and the times that follow from them.
//!
//! How often the store is read and probed, and how long what was read may be used, are parts of
//! the time within which a change must be in force.

use std::time::Duration;

plain! {
    /// Service guarantees that the operator gives to callers; the same on all hosts.
    #[derive(serde::Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct Bounds {
        /// Milliseconds after which a withdrawn key must not start any request.
        pub revocation_ms: u64,
        /// Milliseconds after which a change to the document must be in force.
        #[serde(default = "default_configuration_ms")]
        pub configuration_ms: u64,
        /// Milliseconds after which a runner that leaves must get no new requests.
        #[serde(default = "default_configuration_ms")]
        pub drain_ms: u64,
        /// Retries allowed for each request to a service.
        pub repeat_ratio: f64,
        /// Retries allowed in addition, for all hosts together.
        pub repeat_slack: f64,
        /// Length of the window over which retries are counted, in seconds.
        pub repeat_window_s: u64,
        /// Time to live of a duty's lease, in milliseconds.
        pub lease_ms: u64,
        /// Length of a usage window, in seconds.
        pub usage_window_s: u64,
        /// Seconds after the end of a window by which its report is due.
        pub usage_due_s: u64,
        /// Seconds between the signal to stop and the kill.
        pub grace_s: u64,
    }
}

/// Default for [`Bounds::configuration_ms`] and [`Bounds::drain_ms`], the shortest of the usual
/// values.
fn default_configuration_ms() -> u64 {
    2_000
}

/// Share of the revocation bound for which a confirmed document may be used. The rest covers the
/// time on the network to the runner and a pause of this process between the check and the write.
const MAX_AGE_RATIO: f64 = 0.6;
/// Share of the bound for changes for which the document decides that a key or path is unknown;
/// past it, a newer document may exist that contains the key or path.
const MAX_REJECTION_RATIO: f64 = 0.85;

/// Probes of the store after which, without an answer, this host hands off its callers: two in a
/// row, and the wait for their answers.
pub(super) const STORE_TIMEOUT_PROBES: f64 = 2.5;
/// Share of the bound for changes after which, without an answer from the store, a host that gets
/// its updates from peers probes the store itself.
const STORE_PROBE_RATIO: f64 = 0.5;
/// Share of the bound for changes between two rounds of reading. It leaves time for a reader's
/// round, for one of the host that asks it, and for one lost answer.
const ROUND_RATIO: f64 = 0.3;
/// Maximum time between two rounds: keys are trusted for seconds after a round, so several rounds
/// have to fit.
const MAX_ROUND_INTERVAL: Duration = Duration::from_secs(1);

impl Bounds {
    /// Maximum age of a document after a newer one is known to exist. The newer one was
    /// acknowledged after the last confirmation, so the bound holds without a margin.
    pub fn max_superseded_age(&self) -> Duration {
        Duration::from_millis(self.configuration_ms)
    }

    /// Time within which a change that the store has acknowledged must be in force on every host:
    /// of the document, or of the list of runners.
    pub fn change_bound(&self) -> Duration {
        Duration::from_millis(self.configuration_ms.min(self.drain_ms))
    }

    /// Time between the starts of two rounds of reading the store or a peer. Where changes may
    /// take longer to be in force, the store is read less often.
    pub fn round_interval(&self) -> Duration {
        self.change_bound().mul_f64(ROUND_RATIO).min(MAX_ROUND_INTERVAL)
    }

    /// Time without an answer from the store after which a host probes it.
    pub fn store_probe_interval(&self) -> Duration {
        self.change_bound().mul_f64(STORE_PROBE_RATIO)
    }

    /// Age of the document up to which it decides that a key or path is unknown.
    pub(super) fn max_rejection_age(&self) -> Duration {
        Duration::from_millis(self.configuration_ms).mul_f64(MAX_REJECTION_RATIO)
    }

    /// Maximum age of the document when a request with a key is forwarded.
    pub fn max_age(&self) -> Duration {
        Duration::from_millis((self.revocation_ms as f64 * MAX_AGE_RATIO) as u64)
    }
}
