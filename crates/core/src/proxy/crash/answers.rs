//! When requests with each part of a prompt were last answered.
//!
//! Only a complete answer counts: its head and its first events may come just before the crash.

use super::Part;
use crate::time::Moment;

/// Maximum number of parts; those answered longest ago are dropped first.
const MAX_PARTS: usize = 8_192;

/// Last answer by part.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    /// Sorted by part.
    rows: Vec<(Part, Moment)>,
}

impl Answers {
    /// Records that a request with the part was answered completely.
    pub fn record(&mut self, at: Moment, part: Part) {
        match self.position(part) {
            Ok(found) => {
                let last = &mut self.rows[found].1;
                if at.reached(*last) {
                    *last = at;
                }
            }
            Err(missing) => {
                self.rows.insert(missing, (part, at));
                if self.rows.len() > MAX_PARTS {
                    self.drop_older_half();
                }
            }
        }
    }

    /// When a request with the part was last answered.
    pub fn last(&self, part: Part) -> Option<Moment> {
        self.position(part).ok().map(|at| self.rows[at].1)
    }

    /// Number of parts.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether no part is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn position(&self, part: Part) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&part, |(have, _)| *have)
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<u64> = self.rows.iter().map(|(_, at)| at.mono_us).collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        self.rows.retain(|(_, at)| at.mono_us >= median);
        // All may have the same time.
        self.rows.truncate(MAX_PARTS);
    }
}
