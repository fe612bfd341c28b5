//! Values that are written to the store once, so that all processes report the same.
//!
//! A value is written under its own key if the key does not exist; a second writer adopts
//! the existing value. A write whose answer was lost may have succeeded or not, so the key
//! is read back. If the write were taken for failed, a later value under the same key could
//! differ from the one that a successor finds and reports.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::store::{Answer, Call, Entry};
use crate::time::Moment;

/// Result of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<V> {
    /// Not known yet; this store call is to be made next.
    Pending(Call),
    /// The value in the store and its version, whichever process wrote it.
    Stored(V, u64),
    /// The key does not exist, or its value cannot be parsed.
    Missing,
    /// The store refused the call or its answer was lost; whether there is a value is not known.
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
enum Step<V> {
    Writing { key: String, value: V },
    Reading,
}

/// The write of one value at a time.
#[derive(Clone, Debug, PartialEq)]
pub struct Writer<V> {
    step: Option<(Moment, Step<V>)>,
}

impl<V> Default for Writer<V> {
    fn default() -> Self {
        Self { step: None }
    }
}

impl<V: Serialize + DeserializeOwned> Writer<V> {
    /// Writes a value under a key that must not exist; returns the store call to make.
    pub fn write(&mut self, now: Moment, key: String, value: V) -> Option<Call> {
        let call = Call::CompareAndSwap {
            key: key.clone(),
            expect: 0,
            // The values consist of names and numbers, so that serializing cannot fail.
            value: serde_json::to_string(&value).ok()?,
        };
        self.step = Some((now, Step::Writing { key, value }));
        Some(call)
    }

    /// Whether a store call is in progress.
    pub fn is_busy(&self) -> bool {
        self.step.is_some()
    }

    /// Abandons a store call that has been in progress for `timeout`; returns whether it did.
    pub fn time_out(&mut self, now: Moment, timeout: Duration) -> bool {
        let timed_out = self
            .step
            .as_ref()
            .is_some_and(|(since, _)| now.since(*since) >= timeout);
        if timed_out {
            self.step = None;
        }
        timed_out
    }

    /// Handles the store's answer; none if no store call is in progress.
    pub fn on_answer(&mut self, now: Moment, answer: &Answer) -> Option<Outcome<V>> {
        let (_, step) = self.step.take()?;
        Some(match (step, answer) {
            (Step::Writing { value, .. }, Answer::Written(version)) => Outcome::Stored(value, *version),
            (Step::Writing { .. }, Answer::Conflict(entry)) => stored(Some(entry)),
            (Step::Writing { key, .. }, Answer::Lost) => {
                self.step = Some((now, Step::Reading));
                Outcome::Pending(Call::Get { key })
            }
            (Step::Reading, Answer::Found(entries)) => stored(entries.first()),
            _ => Outcome::Failed,
        })
    }
}

fn stored<V: DeserializeOwned>(entry: Option<&Entry>) -> Outcome<V> {
    let entry = entry.filter(|entry| entry.version > 0);
    let parsed = entry.and_then(|entry| Some((serde_json::from_str(&entry.value).ok()?, entry.version)));
    match parsed {
        Some((value, version)) => Outcome::Stored(value, version),
        None => Outcome::Missing,
    }
}
