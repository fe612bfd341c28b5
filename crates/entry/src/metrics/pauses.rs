//! Metrics of the pauses of streams.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};
use radishstair_core::proxy::pause::Pauses;
use radishstair_core::proxy::route::Route;

use super::ClassLabel;

/// Label of streams whose longest pause exceeds what their route allows.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StallLabel {
    /// `runner`, `move` or `break`.
    pub pause_by: &'static str,
}

/// The gaps that routes allow are between 0.2 s and 1.5 s.
const BUCKETS_S: [f64; 12] = [0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 1.5, 2.5, 5.0, 15.0];

/// Metrics of pauses.
#[derive(Clone, Debug)]
pub struct PauseMetrics {
    /// Longest pause of each stream of at least two events.
    longest: Family<ClassLabel, Histogram, fn() -> Histogram>,
    /// Streams whose longest pause exceeds what their route allows.
    stalled: Family<StallLabel, Counter>,
}

impl Default for PauseMetrics {
    fn default() -> Self {
        Self {
            longest: Family::new_with_constructor(|| Histogram::new(BUCKETS_S)),
            stalled: Family::default(),
        }
    }
}

impl PauseMetrics {
    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register_with_unit(
            "longest_pause",
            "Longest pause between two events of a stream",
            Unit::Seconds,
            self.longest.clone(),
        );
        registry.register(
            "stalled_streams",
            "Streams with a pause longer than their route allows, by its cause",
            self.stalled.clone(),
        );
    }

    /// Records the longest pause of a stream that has ended.
    pub fn observe(&self, route: &Route, pauses: &Pauses) {
        let Some(longest) = pauses.longest() else {
            return;
        };
        let class = route.name.clone();
        self.longest
            .get_or_create(&ClassLabel { class })
            .observe(longest.as_secs_f64());
        if pauses.is_stalled(route.max_event_gap) {
            let pause_by = pauses.cause().name();
            self.stalled.get_or_create(&StallLabel { pause_by }).inc();
        }
    }
}
