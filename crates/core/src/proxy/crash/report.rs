//! Reports of hosts in the platform's store, for those that they do not reach otherwise.

use std::time::Duration;

use super::evidence::{MAX_STORED, Witness};
use super::{Scope, Suspect};
use crate::time::Moment;

/// Time for which an entry stays in a host's report, which each further report replaces.
const ENTRY_LIFE: Duration = Duration::from_secs(10);
/// Maximum number of crashes that wait to be reported.
const MAX_WITNESSES: usize = 256;

record! {
    /// A request that was on a runner when it crashed, as stored.
    pub struct StoredWitness {
        /// Hash of the runner's id.
        pub runner: u64,
        /// Hash of the request's content, which is the same for all of its attempts.
        pub request: u64,
        /// Hash of the service's name.
        pub service: u64,
        /// Ids of the parts of its prompt.
        pub parts: Vec<u64>,
        /// When it broke off, in Unix milliseconds.
        pub at_ms: u64,
        /// Time from the head of the answer until then, in milliseconds.
        pub answering_ms: u64,
    }
}

record! {
    /// A suspect of which a request was answered, as stored.
    pub struct StoredAnswer {
        /// Hash of the service's name.
        pub service: u64,
        /// Id of the part, or hash of the request's content.
        pub part: u64,
        /// Whether it is a request.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        pub is_request: bool,
        /// When the request was answered, in Unix milliseconds.
        pub at_ms: u64,
    }
}

record! {
    /// Report of one host.
    #[derive(Default)]
    pub struct Report {
        /// Requests that were on runners when they crashed.
        pub crashes: Vec<StoredWitness>,
        /// Parts of which requests were answered.
        pub answers: Vec<StoredAnswer>,
        /// When it was written, in Unix milliseconds.
        pub written_ms: u64,
    }
}

impl Report {
    /// Its crashes, as read at `now`, when the wall clock showed `unix_ms`.
    pub(super) fn witnesses(&self, now: Moment, unix_ms: u64) -> impl Iterator<Item = Witness> + '_ {
        self.crashes.iter().take(MAX_STORED).map(move |stored| {
            Witness::new(
                stored.runner,
                stored.service,
                stored.request,
                stored.parts.iter().copied(),
                moment(now, unix_ms, stored.at_ms),
                Duration::from_millis(stored.answering_ms),
            )
        })
    }

    /// Its answers, as read at `now`, when the wall clock showed `unix_ms`.
    pub(super) fn answers(&self, now: Moment, unix_ms: u64) -> impl Iterator<Item = (Suspect, Moment)> + '_ {
        self.answers.iter().take(MAX_STORED).map(move |stored| {
            let suspect = match stored.is_request {
                true => Suspect::request(stored.service, stored.part),
                false => Suspect::part(stored.service, stored.part),
            };
            (suspect, moment(now, unix_ms, stored.at_ms))
        })
    }
}

fn moment(now: Moment, unix_ms: u64, at_ms: u64) -> Moment {
    now.saturating_sub(Duration::from_millis(unix_ms.saturating_sub(at_ms)))
}

/// What one host has to report.
#[derive(Clone, Debug, Default)]
pub struct Outgoing {
    witnesses: Vec<(Moment, Witness)>,
    answers: Vec<(Moment, Suspect, Moment)>,
    has_changed: bool,
}

impl Outgoing {
    /// Adds crashes; those that were added before are left out.
    pub fn add_witnesses(&mut self, now: Moment, witnesses: Vec<Witness>) {
        for witness in witnesses {
            let is_known = self.witnesses.iter().any(|(_, known)| *known == witness);
            if !is_known && self.witnesses.len() < MAX_WITNESSES {
                self.witnesses.push((now, witness));
                self.has_changed = true;
            }
        }
    }

    /// Adds an answer.
    pub fn add_answer(&mut self, now: Moment, part: Suspect, at: Moment) {
        self.answers.retain(|(_, known, _)| *known != part);
        self.answers.push((now, part, at));
        self.has_changed = true;
    }

    /// Whether the report has an answer to a part that came at `since` or later.
    pub fn has_answer(&self, part: Suspect, since: Moment) -> bool {
        let mut answers = self.answers.iter();
        answers.any(|(_, known, at)| *known == part && at.reached(since))
    }

    /// The report, if it has changed; its latest entries, if there are too many.
    pub fn take(&mut self, now: Moment, unix_ms: u64) -> Option<Report> {
        self.witnesses.retain(|(added, _)| now.since(*added) < ENTRY_LIFE);
        self.answers.retain(|(added, ..)| now.since(*added) < ENTRY_LIFE);
        if !std::mem::take(&mut self.has_changed) {
            return None;
        }
        let unix = |at: Moment| unix_ms.saturating_sub(now.since(at).as_millis() as u64);
        let crashes = self.witnesses.iter().rev().take(MAX_STORED);
        let answers = self.answers.iter().rev().take(MAX_STORED);
        Some(Report {
            crashes: crashes
                .map(|(_, witness)| witness.stored(unix(witness.at)))
                .collect(),
            answers: answers
                .map(|(_, part, at)| StoredAnswer {
                    service: part.service,
                    part: part.id,
                    is_request: part.scope == Scope::Request,
                    at_ms: unix(*at),
                })
                .collect(),
            written_ms: unix_ms,
        })
    }
}
