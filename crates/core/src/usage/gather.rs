//! Gathering a zone's usage, so that the reporter hears one answer a zone.
//!
//! Asking every host would cost the reporter ten times its control budget at
//! 410 hosts. One delegate of each zone asks its mates and answers with the
//! sum over all sources; the chunks that are in it go along by source, so the
//! reporter still knows what is sealed and what is not.

use std::time::Duration;

use super::merge_rows;
use crate::id::Call;
use crate::peer::{Bundle, Collected, Part, Span, Sum};
use crate::time::Moment;

/// Wait for the mates' answers.
pub const GATHER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// One collection that is under way in this zone.
#[derive(Debug)]
pub struct Collection {
    /// Whom to answer; the reporter of this process when absent.
    pub call: Option<Call>,
    started_at: Moment,
    sums: Vec<Sum>,
}

impl Collection {
    /// Begins with what this host knows itself.
    pub fn new(now: Moment, call: Option<Call>, own: Collected) -> Self {
        let mut gather = Self {
            call,
            started_at: now,
            sums: Vec::new(),
        };
        gather.add_answer(own);
        gather
    }

    /// Takes a mate's answer in.
    pub fn add_answer(&mut self, answer: Collected) {
        for sum in answer.sums {
            match self.sums.binary_search_by(|have| have.source.cmp(&sum.source)) {
                // Of two hosts that know a source, the one that has more of
                // it is believed; adding them would count chunks twice.
                Ok(at) if self.sums[at].number < sum.number => self.sums[at] = sum,
                Ok(_) => {}
                Err(at) => self.sums.insert(at, sum),
            }
        }
    }

    /// Whether the mates had their time.
    pub fn is_due(&self, now: Moment) -> bool {
        now.since(self.started_at) >= GATHER_TIMEOUT
    }

    /// The zone's sum.
    pub fn into_bundle(self, zone: &str) -> Bundle {
        let mut bundle = Bundle {
            zone: zone.to_string(),
            ..Bundle::default()
        };
        for sum in self.sums {
            bundle.spans.push(Span {
                source: sum.source,
                from: sum.from,
                number: sum.number,
            });
            sum.parts
                .iter()
                .for_each(|part| add_part(&mut bundle.parts, part));
        }
        bundle
    }
}

/// Adds a part to parts sorted by window.
pub fn add_part(parts: &mut Vec<Part>, part: &Part) {
    match parts.binary_search_by(|have| have.window.cmp(&part.window)) {
        Ok(at) => merge_rows(&mut parts[at].rows, &part.rows),
        Err(at) => parts.insert(at, part.clone()),
    }
}
