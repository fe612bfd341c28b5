//! Questions to all hosts whether requests with a suspect have been answered.

use std::net::SocketAddr;
use std::time::Duration;

use super::Suspect;
use crate::time::Moment;

/// Time for which the other hosts are heard before a part is put under quarantine, and the same if none of them
/// answers, so that what they know has to come through the store.
pub(super) const HEARING: Duration = Duration::from_millis(300);
pub(super) const HEARING_BY_STORE: Duration = Duration::from_millis(2_500);
/// Minimum time between the first crash with a part that was sound before and a verdict: so many runners may
/// have crashed at once that the part was on all of them, and answers from the others take a moment.
pub(super) const SOUND_BEFORE_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a crash counts for a part whose answers still run elsewhere: by then one that ran as long as those that
/// broke off has outlived them, or has crashed its runner.
pub(super) const SURVIVAL_TIME: Duration = Duration::from_millis(2_000);
/// Time after which hosts are asked again about a part: what they answered after the first question counts as
/// well.
pub(super) const ASK_INTERVAL: Duration = Duration::from_millis(250);
/// Time that the last answers need to arrive.
pub(super) const ANSWER_TIME: Duration = Duration::from_millis(50);

/// A question to all hosts whether requests with a part have been answered.
#[derive(Clone, Debug)]
pub(super) struct Hearing {
    pub(super) part: Suspect,
    pub(super) began: Moment,
    pub(super) asked_at: Moment,
    /// Number of crashes when the hosts were last asked.
    pub(super) crashes: u32,
    /// Last of these.
    pub(super) last_crash: Moment,
    /// Number of times that they were asked.
    pub(super) asked: u32,
    /// Hosts that have answered, and since when each has kept answers; sorted.
    pub(super) repliers: Vec<(SocketAddr, Moment)>,
    /// When they were asked for the last time before a verdict.
    pub(super) asked_last_at: Option<Moment>,
}

impl Hearing {
    /// Whether most of the other hosts have answered that have kept answers since `first`: one that has started
    /// later does not know whether requests were answered before.
    pub(super) fn is_answered(&self, others: usize, first: Moment) -> bool {
        let knowing = self.repliers.iter().filter(|(_, since)| first.reached(*since));
        knowing.count() * 2 >= others
    }

    /// Records that a host has answered.
    pub(super) fn record_reply(&mut self, from: SocketAddr, kept_since: Moment) {
        match self.repliers.binary_search_by_key(&from, |(host, _)| *host) {
            Ok(at) => self.repliers[at].1 = kept_since,
            Err(at) => self.repliers.insert(at, (from, kept_since)),
        }
    }

    /// When it has to be looked at again: the next such moment after `now`.
    pub(super) fn next_check(&self, now: Moment) -> Option<Moment> {
        let moments = [
            self.asked_at + ASK_INTERVAL,
            self.asked_last_at.map_or(self.began, |at| at + ANSWER_TIME),
            self.began + HEARING,
            self.began + SOUND_BEFORE_TIME,
            self.began + HEARING_BY_STORE,
            self.last_crash + SURVIVAL_TIME,
        ];
        let later = moments.into_iter().filter(|at| !now.reached(*at));
        later.min_by_key(|at| at.mono_us)
    }
}
