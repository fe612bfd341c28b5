//! Crashes of runners with the requests that were on them, and the test whether a part explains them.
//!
//! The test compares two explanations of the crashes in which a part was found: its requests crash each runner
//! that answers them, or the runners crash without regard to it, at the rate at which others crash in the same
//! seconds. The second one gets less likely with each crash, the more so the fewer other runners crash. A fixed
//! number of crashes would be reached by sound parts whenever many runners crash.

use std::time::Duration;

use super::answers::Answers;
use super::report::StoredWitness;
use super::{Scope, Suspect, Verdict};
use crate::time::Moment;

/// Time for which a crash is remembered.
const CRASH_LIFE: Duration = Duration::from_secs(300);
/// Maximum number of crashes, of requests for each, and of requests in all; the oldest crashes are dropped first.
const MAX_CRASHES: usize = 512;
const MAX_WITNESSES: usize = 48;
const MAX_WITNESSES_IN_ALL: usize = 4_096;
/// Time between two reports of one crash by different hosts, at most.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// Maximum number of requests that a host writes to the store at once.
pub const MAX_STORED: usize = 16;
/// Minimum number of crashes for a hearing, maximum number of suspects of each scope that are heard at the same time, and
/// minimum number of crashes for a quarantine.
const SUSPECT_CRASHES: u32 = 2;
const MAX_SUSPECTS: usize = 32;
const PROOF_CRASHES: u32 = 3;
/// The same number of crashes if few other hosts could be heard.
const PROOF_CRASHES_UNHEARD: u32 = 5;
/// Natural logarithm of the likelihood ratio from which a part counts as guilty, and the same for a part of
/// which requests were answered before, or if few other hosts could be heard.
const PROOF_RATIO: f64 = 13.8;
const HIGHER_PROOF_RATIO: f64 = 18.4;
/// The same for the crashes with a part that remain without those of any single request, or of a part that was
/// never answered.
const BESIDE_ONE_RATIO: f64 = 6.9;
/// Time within which crashes may have one cause, such as a rack or a zone that fails.
const COMMON_CAUSE_TIME: Duration = Duration::from_secs(1);
/// Time that a request spends on its runner, and the shortest one that counts.
const REQUEST_TIME: Duration = Duration::from_secs(2);
const MIN_EXPOSURE: Duration = Duration::from_millis(250);
/// Number of other crashes that are assumed in addition to those seen, and limits of the probability that a
/// sound request meets a crash.
const ASSUMED_CRASHES: f64 = 0.5;
const MIN_CRASH_RATE: f64 = 0.005;
const MAX_CRASH_RATE: f64 = 0.9;

plain! {
    /// A request that was on a runner when it crashed.
    pub struct Witness {
        /// Hash of the runner's id.
        pub runner: u64,
        /// Hash of the name of its service.
        pub service: u64,
        /// Hash of its content, which is the same for all of its attempts.
        pub request: u64,
        /// What may be guilty in it, sorted.
        pub suspects: Vec<Suspect>,
        /// When it broke off.
        pub at: Moment,
        /// Time from the head of its answer until then; zero if there was none.
        pub answering: Duration,
    }
}

impl Witness {
    /// A request with these parts of its prompt that was on `runner`.
    pub fn new(
        runner: u64,
        service: u64,
        request: u64,
        parts: impl Iterator<Item = u64>,
        at: Moment,
        answering: Duration,
    ) -> Self {
        Self {
            runner,
            service,
            request,
            suspects: super::sorted_suspects(service, request, parts.take(super::MAX_PARTS)),
            at,
            answering,
        }
    }

    /// Ids of the parts of its prompt.
    pub(super) fn parts(&self) -> impl Iterator<Item = u64> + '_ {
        let parts = self
            .suspects
            .iter()
            .filter(|suspect| suspect.scope == Scope::Part);
        parts.map(|part| part.id)
    }

    /// The request as stored; it broke off at `at_ms` by the wall clock.
    pub(super) fn stored(&self, at_ms: u64) -> StoredWitness {
        StoredWitness {
            runner: self.runner,
            request: self.request,
            service: self.service,
            parts: self.parts().collect(),
            at_ms,
            answering_ms: self.answering.as_millis() as u64,
        }
    }
}

plain! {
    struct Crash {
        runner: u64,
        at: Moment,
        witnesses: Vec<Witness>,
        /// Whether a host has told of it, and not only a report in the store, which holds some of its requests.
        is_told: bool,
    }
}

impl Crash {
    fn has(&self, part: Suspect) -> bool {
        self.witnesses
            .iter()
            .any(|witness| witness.suspects.binary_search(&part).is_ok())
    }

    fn has_request(&self, request: u64) -> bool {
        self.witnesses.iter().any(|witness| witness.request == request)
    }

    fn is_of(&self, service: u64) -> bool {
        self.witnesses.iter().any(|witness| witness.service == service)
    }
}

plain! {
    /// Crashes of one service in which a part was found, and those in which it was not.
    #[derive(Copy, Default)]
    pub struct Tally {
        /// Crashes with the part.
        pub crashes: u32,
        /// Different requests with it in these.
        pub requests: u32,
        /// Crashes that remain without those of the request that was in most of them.
        pub beside_one_request: u32,
        /// Crashes without the part in the same time.
        pub others: u32,
        /// First crash with the part.
        pub first: Moment,
        /// Time from the first to the last crash with the part.
        pub span: Duration,
        /// Longest time for which a request with it was answered before the crash.
        pub answering: Duration,
    }
}

impl Tally {
    /// Probability that a sound request would meet a crash on one of `runners` runners.
    fn crash_rate(&self, runners: usize) -> f64 {
        let others = f64::from(self.others) + ASSUMED_CRASHES;
        let per_s = others / self.span.max(REQUEST_TIME).as_secs_f64() / runners.max(1) as f64;
        // A guilty request crashes its runner soon after the head of its answer; a sound one can meet a crash
        // at any time.
        let exposed = self.answering.clamp(MIN_EXPOSURE, REQUEST_TIME);
        (per_s * exposed.as_secs_f64()).clamp(MIN_CRASH_RATE, MAX_CRASH_RATE)
    }

    /// Natural logarithm of how much likelier the crashes are if the part causes them.
    pub fn log_ratio(&self, runners: usize) -> f64 {
        self.log_ratio_of(self.crashes, runners)
    }

    /// The same for this number of its crashes.
    fn log_ratio_of(&self, crashes: u32, runners: usize) -> f64 {
        -f64::from(crashes) * self.crash_rate(runners).ln()
    }

    /// Whether the crashes are unlikely by themselves, though not enough for a verdict.
    pub fn is_unlikely(&self, runners: usize) -> bool {
        self.log_ratio(runners) >= BESIDE_ONE_RATIO
    }

    /// Whether one more crash would be enough for a verdict.
    pub fn is_near_proof(&self, runners: usize) -> bool {
        self.log_ratio_of(self.crashes + 1, runners) >= PROOF_RATIO
    }

    /// Whether a suspect causes the crashes, as none of its requests has been answered since the first one;
    /// `was_sound` if one had been answered before, and `is_heard` if most hosts have said so.
    pub fn is_proof(&self, scope: Scope, runners: usize, was_sound: bool, is_heard: bool) -> bool {
        let required = match was_sound || !is_heard {
            true => HIGHER_PROOF_RATIO,
            false => PROOF_RATIO,
        };
        let crashes = match is_heard {
            true => PROOF_CRASHES,
            false => PROOF_CRASHES_UNHEARD,
        };
        // A single request, sent again after each crash, may have caused most of them by another of its parts,
        // and the others may be chance. That is no reason to spare the request.
        let is_of_several = match scope {
            Scope::Part => self.log_ratio_of(self.beside_one_request, runners) >= BESIDE_ONE_RATIO,
            Scope::Request => true,
        };
        let is_of_one_moment = was_sound && self.span < COMMON_CAUSE_TIME;
        is_of_several && !is_of_one_moment && self.crashes >= crashes && self.log_ratio(runners) >= required
    }
}

/// Crashes that a host knows of.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Oldest first.
    crashes: Vec<Crash>,
    /// Services with parts under quarantine, and when this host learnt of each.
    quarantined: Vec<(u64, Moment)>,
}

impl Evidence {
    /// Adds a request that was on a runner when it crashed.
    pub fn add(&mut self, now: Moment, witness: &Witness) {
        self.add_from(now, witness, true);
    }

    /// Adds a request of a report in the store.
    pub(super) fn add_stored(&mut self, now: Moment, witness: &Witness) {
        self.add_from(now, witness, false);
    }

    fn add_from(&mut self, now: Moment, witness: &Witness, is_told: bool) {
        // It may have been read from the store again, by a clock that has been adjusted since.
        let is_known = self.crashes.iter().any(|crash| {
            let mut witnesses = crash.witnesses.iter();
            crash.runner == witness.runner && witnesses.any(|known| known.request == witness.request)
        });
        if is_known || now.since(witness.at) >= CRASH_LIFE {
            return;
        }
        let is_same = |crash: &&mut Crash| {
            let apart = witness.at.since(crash.at).max(crash.at.since(witness.at));
            crash.runner == witness.runner && apart < SAME_CRASH
        };
        match self.crashes.iter_mut().find(is_same) {
            Some(crash) => {
                crash.is_told |= is_told;
                if crash.witnesses.len() < MAX_WITNESSES {
                    crash.witnesses.push(witness.clone());
                }
            }
            None => {
                let at = self.crashes.partition_point(|crash| witness.at.reached(crash.at));
                let crash = Crash {
                    runner: witness.runner,
                    at: witness.at,
                    witnesses: vec![witness.clone()],
                    is_told,
                };
                self.crashes.insert(at, crash);
            }
        }
        self.limit();
    }

    /// Replaces the services with parts under quarantine, and when this host learnt of each.
    pub(super) fn set_quarantined(&mut self, quarantined: Vec<(u64, Moment)>) {
        self.quarantined = quarantined;
    }

    /// Whether a part of the service that was put under quarantine later may have caused a crash: a report in the
    /// store may leave out the requests with it.
    fn may_be_explained(&self, crash: &Crash, service: u64) -> bool {
        let mut quarantined = self.quarantined.iter();
        quarantined.any(|(known, at)| *known == service && at.reached(crash.at))
    }

    /// Drops the oldest crashes if there are too many, or too many requests in all.
    fn limit(&mut self) {
        let mut witnesses = 0;
        let is_kept = |crash: &Crash| {
            witnesses += crash.witnesses.len();
            witnesses <= MAX_WITNESSES_IN_ALL
        };
        let kept = self.crashes.iter().rev().take(MAX_CRASHES).map(is_kept);
        let kept = kept.take_while(|is_kept| *is_kept).count();
        self.crashes.drain(..self.crashes.len() - kept);
    }

    /// Forgets old crashes.
    pub fn expire(&mut self, now: Moment) {
        self.crashes.retain(|crash| now.since(crash.at) < CRASH_LIFE);
    }

    /// Number of crashes.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Crashes with a part from its last answer to `until`, and those without it; crashes with a part that
    /// `is_explained` are left out.
    pub fn tally(
        &self,
        part: Suspect,
        answers: &Answers,
        until: Moment,
        is_explained: impl Fn(Suspect) -> bool,
    ) -> Tally {
        self.tally_of(part, answers, until, is_explained, |crash| crash.is_told)
    }

    /// The same if most hosts have not answered: what they know of crashes comes from reports in the store as well.
    pub(super) fn tally_unheard(
        &self,
        part: Suspect,
        answers: &Answers,
        until: Moment,
        is_explained: impl Fn(Suspect) -> bool,
    ) -> Tally {
        self.tally_of(part, answers, until, is_explained, |_| false)
    }

    fn tally_of(
        &self,
        part: Suspect,
        answers: &Answers,
        until: Moment,
        is_explained: impl Fn(Suspect) -> bool,
        is_complete: impl Fn(&Crash) -> bool,
    ) -> Tally {
        let sound_at = answers.last_sound(part, self.longest_broken(part, answers, until));
        // A request under quarantine may have crashed runners by a part of it, so it explains no crashes with that.
        let may_explain = |other: &&Suspect| other.scope == Scope::Part || part.scope == Scope::Request;
        let is_open = |crash: &&Crash| {
            let suspects = crash.witnesses.iter().flat_map(|witness| &witness.suspects);
            let is_left_out = !is_complete(crash) && self.may_be_explained(crash, part.service);
            crash.is_of(part.service)
                && until.reached(crash.at)
                && !is_left_out
                && !suspects.filter(may_explain).any(|other| is_explained(*other))
        };
        let is_since_answer = |crash: &Crash| sound_at.is_none_or(|at| crash.at.reached(at));
        let open: Vec<&Crash> = self.crashes.iter().filter(is_open).collect();
        let with_part = || {
            open.iter()
                .filter(|crash| is_since_answer(crash) && crash.has(part))
        };
        let (Some(first), Some(last)) = (with_part().next(), with_part().next_back()) else {
            return Tally::default();
        };
        let is_between = |crash: &&&Crash| {
            (crash.at + SAME_CRASH).reached(first.at) && (last.at + SAME_CRASH).reached(crash.at)
        };
        let others = open.iter().filter(is_between).filter(|crash| !crash.has(part));
        let witnesses = with_part().flat_map(|crash| &crash.witnesses);
        let with_part_requests = witnesses.filter(|witness| witness.suspects.binary_search(&part).is_ok());
        let with_part_requests: Vec<&Witness> = with_part_requests.collect();
        let answering = with_part_requests.iter().map(|witness| witness.answering).max();
        let mut requests: Vec<u64> = with_part_requests.iter().map(|witness| witness.request).collect();
        requests.sort_unstable();
        requests.dedup();
        let crashes_of = |request: &u64| with_part().filter(|crash| crash.has_request(*request)).count();
        let most_of_one = requests.iter().map(crashes_of).max().unwrap_or_default();
        Tally {
            crashes: with_part().count() as u32,
            requests: requests.len() as u32,
            beside_one_request: (with_part().count() - most_of_one) as u32,
            others: others.count() as u32,
            first: first.at,
            span: last.at.since(first.at),
            answering: answering.unwrap_or_default(),
        }
    }

    /// Longest time for which a request with a suspect had been answered when it broke off in a crash, between the last
    /// complete answer and `until`.
    fn longest_broken(&self, suspect: Suspect, answers: &Answers, until: Moment) -> Duration {
        let answered = answers.last(suspect);
        let crashes = self.crashes.iter();
        let later =
            crashes.filter(|crash| until.reached(crash.at) && answered.is_none_or(|at| crash.at.reached(at)));
        let witnesses = later.flat_map(|crash| &crash.witnesses);
        let with_suspect = witnesses.filter(|witness| witness.suspects.binary_search(&suspect).is_ok());
        with_suspect
            .map(|witness| witness.answering)
            .max()
            .unwrap_or_default()
    }

    /// Parts that were found in several crashes since they were last answered, at most a few of those that
    /// were found most often.
    pub fn suspects(
        &self,
        now: Moment,
        answers: &Answers,
        is_explained: impl Fn(Suspect) -> bool,
    ) -> Vec<Verdict> {
        let mut found: Vec<(Suspect, usize)> = Vec::new();
        for (index, crash) in self.crashes.iter().enumerate() {
            let parts = crash.witnesses.iter().flat_map(|witness| &witness.suspects);
            let unanswered = parts.filter(|part| answers.last(**part).is_none_or(|at| crash.at.reached(at)));
            found.extend(unanswered.map(|part| (*part, index)));
        }
        found.sort_unstable();
        found.dedup();
        let mut counts: Vec<(usize, Suspect)> = found
            .chunk_by(|one, other| one.0 == other.0)
            .map(|crashes| (crashes.len(), crashes[0].0))
            .filter(|(count, _)| *count >= SUSPECT_CRASHES as usize)
            .collect();
        counts.sort_unstable_by_key(|(count, part)| (part.scope, std::cmp::Reverse(*count), *part));
        let of_scope = counts.chunk_by(|one, other| one.1.scope == other.1.scope);
        let most_often = of_scope.flat_map(|counts| counts.iter().take(MAX_SUSPECTS));
        let tallies = most_often.map(|(_, part)| Verdict {
            part: *part,
            tally: self.tally(*part, answers, now, &is_explained),
        });
        tallies
            .filter(|suspect| suspect.tally.crashes >= SUSPECT_CRASHES)
            .collect()
    }

    /// Requests with a part that were on runners when they crashed, the last ones of which hosts write to the
    /// store.
    pub fn witnesses(&self, part: Suspect) -> Vec<Witness> {
        let witnesses = self.crashes.iter().rev().flat_map(|crash| &crash.witnesses);
        let with_part = witnesses.filter(|witness| witness.suspects.binary_search(&part).is_ok());
        with_part.take(MAX_STORED).cloned().collect()
    }
}
