//! Datagrams between hosts about crashes.

use std::time::Duration;

use super::answers::Answers;
use super::evidence::Witness;
use super::running::Progress;
use super::{Scope, Suspect};
use crate::proxy::gossip::datagram::{self, Kind};
use crate::time::Moment;

/// Maximum number of entries of each list that are read from a message.
const MAX_ENTRIES: usize = 256;

/// Part of a prompt, or a request.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct SuspectEntry {
    /// Hash of the service's name.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// Id that callers give to the part, or hash of the request's content.
    #[prost(fixed64, tag = "2")]
    pub id: u64,
    /// Time since a request with it was answered, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
    /// Whether it is a request.
    #[prost(bool, tag = "4")]
    pub is_request: bool,
    /// Time from the head of its answer until then, in milliseconds, if the answer still runs.
    #[prost(uint32, tag = "5")]
    pub answering_ms: u32,
    /// Time since any running answer was heard, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub heard_ms: u32,
}

/// Request that was on a runner when it crashed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct WitnessEntry {
    /// Hash of the runner's id.
    #[prost(fixed64, tag = "1")]
    pub runner: u64,
    /// Hash of the request's content, which is the same for all of its attempts.
    #[prost(fixed64, tag = "2")]
    pub request: u64,
    /// Hash of the service's name.
    #[prost(fixed64, tag = "3")]
    pub service: u64,
    /// Ids of the parts of its prompt.
    #[prost(fixed64, repeated, tag = "4")]
    pub parts: Vec<u64>,
    /// Time since it broke off, in milliseconds.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
    /// Time from the head of its answer until then, in milliseconds.
    #[prost(uint32, tag = "6")]
    pub answering_ms: u32,
}

/// Message between hosts.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Message {
    /// Number by which the receiver confirms the message; 0 if it need not.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Number of a message that the sender has received; 0 for none.
    #[prost(uint64, tag = "2")]
    pub confirmed: u64,
    /// Requests that were on runners when they crashed.
    #[prost(message, repeated, tag = "3")]
    pub told: Vec<WitnessEntry>,
    /// Suspects of which the sender wants to know whether requests were answered.
    #[prost(message, repeated, tag = "4")]
    pub asked: Vec<SuspectEntry>,
    /// Suspects of which requests were answered.
    #[prost(message, repeated, tag = "5")]
    pub answered: Vec<SuspectEntry>,
    /// Suspects that the sender has put under quarantine.
    #[prost(message, repeated, tag = "6")]
    pub quarantined: Vec<SuspectEntry>,
    /// Whether the message answers a question, with all that the sender knows.
    #[prost(bool, tag = "7")]
    pub answers_question: bool,
    /// Time for which the sender has kept answers, in milliseconds; 0 if it does not say.
    #[prost(uint32, tag = "8")]
    pub kept_ms: u32,
    /// Suspects of which answers still run.
    #[prost(message, repeated, tag = "9")]
    pub running: Vec<SuspectEntry>,
    /// Suspects under quarantine of which a request was answered meanwhile.
    #[prost(message, repeated, tag = "10")]
    pub refuted: Vec<SuspectEntry>,
}

impl Message {
    /// Tells of requests that were on runners when they crashed.
    pub(super) fn told(now: Moment, number: u64, witnesses: &[Witness]) -> Self {
        let told = witnesses.iter().map(|witness| WitnessEntry {
            runner: witness.runner,
            request: witness.request,
            service: witness.service,
            parts: witness.parts().collect(),
            age_ms: millis(now.since(witness.at)),
            answering_ms: millis(witness.answering),
        });
        Self {
            number,
            told: told.collect(),
            ..Self::default()
        }
    }

    /// Asks whether requests with these suspects were answered.
    pub(super) fn asked(parts: &[Suspect]) -> Self {
        Self {
            asked: parts.iter().map(|part| entry(*part, 0)).collect(),
            ..Self::default()
        }
    }

    /// Tells of suspects that were put under quarantine.
    pub(super) fn found(parts: &[Suspect]) -> Self {
        Self {
            quarantined: parts.iter().map(|part| entry(*part, 0)).collect(),
            ..Self::default()
        }
    }

    /// Tells of suspects under quarantine of which a request was answered.
    pub(super) fn refuted(parts: &[Suspect]) -> Self {
        Self {
            refuted: parts.iter().map(|part| entry(*part, 0)).collect(),
            ..Self::default()
        }
    }

    /// Confirms a message, and tells when requests with the suspects in it were last answered, and which answers run.
    pub(super) fn answer(now: Moment, message: &Self, answers: &Answers, kept: Duration) -> Self {
        let answered = message.questions().filter_map(|suspect| {
            let at = answers.last(suspect)?;
            Some(entry(suspect, millis(now.since(at))))
        });
        let running = message.questions().filter_map(|suspect| {
            let progress = answers.running.get(suspect)?;
            Some(SuspectEntry {
                answering_ms: millis(progress.answering),
                heard_ms: millis(now.since(progress.heard_at)),
                ..entry(suspect, millis(now.since(progress.at)))
            })
        });
        Self {
            confirmed: message.number,
            answers_question: !message.asked.is_empty(),
            kept_ms: match message.asked.is_empty() {
                true => 0,
                false => millis(kept).max(1),
            },
            answered: answered.collect(),
            running: running.collect(),
            ..Self::default()
        }
    }

    /// Datagram with this message.
    pub fn to_datagram(&self) -> Vec<u8> {
        datagram::encode(Kind::Crash, self)
    }

    /// Message in a datagram; `None` if it contains something else.
    pub fn from_datagram(bytes: &[u8]) -> Option<Self> {
        datagram::decode(Kind::Crash, bytes)
    }

    /// Whether it has nothing to say.
    pub fn is_empty(&self) -> bool {
        prost::Message::encoded_len(self) == 0
    }

    /// Requests that were on runners when they crashed.
    pub(super) fn witnesses(&self, now: Moment) -> impl Iterator<Item = Witness> + '_ {
        self.told.iter().take(MAX_ENTRIES).map(move |entry| {
            Witness::new(
                entry.runner,
                entry.service,
                entry.request,
                entry.parts.iter().copied(),
                before(now, entry.age_ms),
                Duration::from_millis(entry.answering_ms.into()),
            )
        })
    }

    /// Since when the sender has kept answers; the beginning if it does not say.
    pub(super) fn kept_since(&self, now: Moment) -> Moment {
        match self.kept_ms {
            0 => Moment::default(),
            kept_ms => before(now, kept_ms),
        }
    }

    /// Suspects that the sender asks about.
    pub(super) fn questions(&self) -> impl Iterator<Item = Suspect> + '_ {
        self.asked.iter().take(MAX_ENTRIES).map(suspect)
    }

    /// Suspects of which requests were answered, and when.
    pub(super) fn answers(&self, now: Moment) -> impl Iterator<Item = (Suspect, Moment)> + '_ {
        let answered = self.answered.iter().take(MAX_ENTRIES);
        answered.map(move |entry| (suspect(entry), before(now, entry.age_ms)))
    }

    /// Suspects of which answers still run, and how far they have come.
    pub(super) fn running(&self, now: Moment) -> impl Iterator<Item = (Suspect, Progress)> + '_ {
        self.running.iter().take(MAX_ENTRIES).map(move |entry| {
            let progress = Progress {
                at: before(now, entry.age_ms),
                answering: Duration::from_millis(entry.answering_ms.into()),
                heard_at: before(now, entry.heard_ms),
            };
            (suspect(entry), progress)
        })
    }

    /// Suspects under quarantine of which the sender knows an answer.
    pub(super) fn answered_under_quarantine(&self) -> impl Iterator<Item = Suspect> + '_ {
        self.refuted.iter().take(MAX_ENTRIES).map(suspect)
    }

    /// Suspects that the sender has put under quarantine.
    pub(super) fn quarantined(&self) -> impl Iterator<Item = Suspect> + '_ {
        self.quarantined.iter().take(MAX_ENTRIES).map(suspect)
    }
}

fn entry(suspect: Suspect, age_ms: u32) -> SuspectEntry {
    SuspectEntry {
        service: suspect.service,
        id: suspect.id,
        age_ms,
        is_request: suspect.scope == Scope::Request,
        answering_ms: 0,
        heard_ms: 0,
    }
}

fn suspect(entry: &SuspectEntry) -> Suspect {
    match entry.is_request {
        true => Suspect::request(entry.service, entry.id),
        false => Suspect::part(entry.service, entry.id),
    }
}

fn before(now: Moment, age_ms: u32) -> Moment {
    now.saturating_sub(Duration::from_millis(age_ms.into()))
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}
