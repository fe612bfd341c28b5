//! Answers that still run, as far as they have come.
//!
//! A guilty request crashes its runner some time after the head of its answer. One that runs on for longer than those
//! that broke off in crashes shows that its suspects are sound, long before its answer is complete.

use std::time::Duration;

use super::Suspect;
use crate::time::Moment;

/// Maximum number of suspects; those that were heard longest ago are dropped first.
const MAX_ROWS: usize = 4_096;
/// Time after which a shorter answer replaces a longer one that was not heard since.
const REPLACED_AFTER: Duration = Duration::from_secs(2);
/// Time for which an answer that was heard counts as one that runs.
const RUNNING_LIFE: Duration = Duration::from_secs(2);
/// Time by which an answer has to be longer than those that broke off: the time until a crash varies a little.
const MARGIN: Duration = Duration::from_millis(500);

plain! {
    /// How far the answers to requests with a suspect have come.
    #[derive(Copy, Eq)]
    pub struct Progress {
        /// When the longest one was last known to run.
        pub at: Moment,
        /// Time from its head until then.
        pub answering: Duration,
        /// When an event of any of them came.
        pub heard_at: Moment,
    }
}

/// Longest running answer by suspect.
#[derive(Clone, Debug, Default)]
pub struct Running {
    /// Sorted by suspect.
    rows: Vec<(Suspect, Progress)>,
}

impl Running {
    /// Records an answer to a request with the suspect.
    pub fn record(&mut self, suspect: Suspect, progress: Progress) {
        match self.position(suspect) {
            Ok(found) => {
                let known = &mut self.rows[found].1;
                let heard_at = match progress.heard_at.reached(known.heard_at) {
                    true => progress.heard_at,
                    false => known.heard_at,
                };
                let is_outdated = progress.at.since(known.at) >= REPLACED_AFTER;
                let is_recent = known.at.since(progress.at) < REPLACED_AFTER;
                if is_outdated || (is_recent && progress.answering >= known.answering) {
                    *known = progress;
                }
                known.heard_at = heard_at;
            }
            Err(missing) => {
                self.rows.insert(missing, (suspect, progress));
                if self.rows.len() > MAX_ROWS {
                    self.drop_older_half();
                }
            }
        }
    }

    /// Longest answer to a request with the suspect.
    pub fn get(&self, suspect: Suspect) -> Option<Progress> {
        Some(self.rows[self.position(suspect).ok()?].1)
    }

    /// When an answer was seen to run for longer than `broken`, the longest one that broke off in a crash.
    pub(super) fn outlived(&self, suspect: Suspect, broken: Duration) -> Option<Moment> {
        let progress = self.get(suspect)?;
        (progress.answering >= broken + MARGIN).then_some(progress.at)
    }

    /// Whether an answer ran on lately, and after `crash`.
    pub(super) fn is_running(&self, now: Moment, suspect: Suspect, crash: Moment) -> bool {
        let is_running = |heard_at: Moment| now.since(heard_at) < RUNNING_LIFE && !crash.reached(heard_at);
        self.get(suspect)
            .is_some_and(|progress| is_running(progress.heard_at))
    }

    /// Number of suspects.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn position(&self, suspect: Suspect) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&suspect, |(have, _)| *have)
    }

    fn drop_older_half(&mut self) {
        let heard_us = |(_, progress): &(Suspect, Progress)| progress.heard_at.mono_us;
        let mut times: Vec<u64> = self.rows.iter().map(heard_us).collect();
        let middle = times.len() / 2;
        let median = *times.select_nth_unstable(middle).1;
        self.rows.retain(|row| heard_us(row) > median);
    }
}
