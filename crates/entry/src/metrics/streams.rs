//! Metrics of running streams that are copied, or that continue from a KV cache.

use prometheus_client::encoding::EncodeLabelSet;

use super::Metrics;

/// Label of streams that are sent to runners of services with copies.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CopyLabel {
    /// `requested`, or why there is none: `too-large` for the link, or `no-room` at another runner.
    pub outcome: &'static str,
}

/// Labels of requests that continue from a KV cache.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ContinuationLabels {
    /// What the KV cache comes from: `copy` or `move`.
    pub from: &'static str,
    /// `continued`, `refused` if the runner does not have it, or `failed`.
    pub outcome: &'static str,
}

impl Metrics {
    /// Counts a stream that is copied, or why it is not.
    pub fn count_copy(&self, outcome: &'static str) {
        self.copies.get_or_create(&CopyLabel { outcome }).inc();
    }

    /// Counts a request that continues from a KV cache.
    pub fn count_continuation(&self, from: &'static str, outcome: &'static str) {
        let labels = ContinuationLabels { from, outcome };
        self.continuations.get_or_create(&labels).inc();
    }
}
