//! Collecting the usage of a zone, so that the reporter gets one answer per zone.
//!
//! With 410 hosts, asking every host would cost the reporter ten times its
//! control budget. Instead, one delegate of each zone asks its peers there and
//! answers with the sum over all sources. The answer lists the chunks that it
//! includes by source, so that the reporter can distinguish sealed chunks from
//! others.

use std::time::Duration;

use super::merge_rows;
use crate::id::CallId;
use crate::peer::{ChunkRange, Collected, SourceUsage, WindowUsage, ZoneUsage};
use crate::time::Moment;

/// Time for which a delegate waits for the answers of its zone peers.
pub const GATHER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// A collection in progress in this zone.
#[derive(Debug)]
pub struct Collection {
    /// The call to answer; none if the reporter of this process has asked.
    pub call: Option<CallId>,
    started_at: Moment,
    sums: Vec<SourceUsage>,
}

impl Collection {
    /// Starts a collection with the sums of this host.
    pub fn new(now: Moment, call: Option<CallId>, own: Collected) -> Self {
        let mut collection = Self {
            call,
            started_at: now,
            sums: Vec::new(),
        };
        collection.add_answer(own);
        collection
    }

    /// Adds the answer of a zone peer.
    pub fn add_answer(&mut self, answer: Collected) {
        for sum in answer.sources {
            match self
                .sums
                .binary_search_by(|existing| existing.source.cmp(&sum.source))
            {
                // If two hosts have chunks of a source, the one that has more of them counts;
                // adding both would count chunks twice.
                Ok(at) if self.sums[at].last_chunk < sum.last_chunk => self.sums[at] = sum,
                Ok(_) => {}
                Err(at) => self.sums.insert(at, sum),
            }
        }
    }

    /// Whether the wait for the zone peers' answers is over.
    pub fn is_due(&self, now: Moment) -> bool {
        now.since(self.started_at) >= GATHER_TIMEOUT
    }

    /// Combines the answers into the sum of the zone.
    pub fn into_zone_usage(self, zone: &str) -> ZoneUsage {
        let mut zone_usage = ZoneUsage {
            zone: zone.to_string(),
            ..ZoneUsage::default()
        };
        for sum in self.sums {
            zone_usage.chunk_ranges.push(ChunkRange {
                source: sum.source,
                after_chunk: sum.after_chunk,
                last_chunk: sum.last_chunk,
            });
            sum.windows
                .iter()
                .for_each(|usage| merge_window(&mut zone_usage.windows, usage));
        }
        zone_usage
    }
}

/// Adds the usage of a window to a list sorted by window.
pub fn merge_window(usages: &mut Vec<WindowUsage>, usage: &WindowUsage) {
    match usages.binary_search_by(|existing| existing.window.cmp(&usage.window)) {
        Ok(at) => merge_rows(&mut usages[at].rows, &usage.rows),
        Err(at) => usages.insert(at, usage.clone()),
    }
}
