//! When requests with each suspect were last answered.
//!
//! Only a complete answer counts: its head and its first events may come just before the crash. Requests are
//! mostly answered once, so only the latest of them are kept, in order.

use std::collections::VecDeque;
use std::time::Duration;

use super::running::Running;
use super::{Scope, Suspect};
use crate::time::Moment;

/// Maximum number of parts; those answered longest ago are dropped first.
const MAX_PARTS: usize = 8_192;

/// Maximum number of answered requests.
const MAX_REQUESTS: usize = 2_048;

/// Last answer by suspect.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    /// Sorted by part.
    rows: Vec<(Suspect, Moment)>,
    /// Requests, in the order in which this host learnt of their answers.
    requests: VecDeque<(Suspect, Moment)>,
    /// Answers that are not complete yet.
    pub running: Running,
}

impl Answers {
    /// Records that a request with the suspect was answered completely.
    pub fn record(&mut self, at: Moment, suspect: Suspect) {
        match suspect.scope {
            Scope::Part => self.record_part(at, suspect),
            Scope::Request => {
                if self.requests.len() >= MAX_REQUESTS {
                    self.requests.pop_front();
                }
                self.requests.push_back((suspect, at));
            }
        }
    }

    fn record_part(&mut self, at: Moment, part: Suspect) {
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

    /// When a request with the suspect was last answered.
    pub fn last(&self, suspect: Suspect) -> Option<Moment> {
        match suspect.scope {
            Scope::Part => self.position(suspect).ok().map(|at| self.rows[at].1),
            Scope::Request => {
                let same = self.requests.iter().filter(|(request, _)| *request == suspect);
                same.map(|(_, at)| *at).max_by_key(|at| at.mono_us)
            }
        }
    }

    /// When a request with the suspect was last seen to be sound: it was answered, or its answer ran for longer than
    /// `broken`, the longest one that broke off in a crash.
    pub fn last_sound(&self, suspect: Suspect, broken: Duration) -> Option<Moment> {
        let outlived = self.running.outlived(suspect, broken);
        self.last(suspect)
            .into_iter()
            .chain(outlived)
            .max_by_key(|at| at.mono_us)
    }

    /// Number of parts and requests.
    pub fn len(&self) -> usize {
        self.rows.len() + self.requests.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.requests.is_empty()
    }

    fn position(&self, part: Suspect) -> Result<usize, usize> {
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
