//! A figure that is written once, so that whoever reports it reports the same.
//!
//! It is written under its own key if nothing stands there; whoever comes second adopts
//! what stands. A write whose answer was lost may stand or not, so it is read back: taking
//! it for failed, a later sum under the same key would differ from the one that a
//! successor finds and reports.

use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::store::{Answer, Call, Entry};
use crate::time::Moment;

/// What came of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome<V> {
    /// The store is to be asked once more.
    Pending(Call),
    /// This stands, in this version, whoever wrote it.
    Stored(V, u64),
    /// Nothing stands that can be read.
    Missing,
    /// The store was of no help; what stands is not known.
    Failed,
}

#[derive(Clone, Debug, PartialEq)]
enum Step<V> {
    Writing { key: String, value: V },
    Reading,
}

/// One figure on its way into the store.
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
    /// Writes a figure under its key unless one stands there.
    pub fn write(&mut self, now: Moment, key: String, value: V) -> Option<Call> {
        let call = Call::Swap {
            key: key.clone(),
            expect: 0,
            // Names and numbers always become JSON.
            value: serde_json::to_string(&value).ok()?,
        };
        self.step = Some((now, Step::Writing { key, value }));
        Some(call)
    }

    /// Whether an answer of the store is waited for.
    pub fn is_busy(&self) -> bool {
        self.step.is_some()
    }

    /// Gives up a wait that has lasted for `patience`; whether it did.
    pub fn time_out(&mut self, now: Moment, patience: Duration) -> bool {
        let late = self
            .step
            .as_ref()
            .is_some_and(|(since, _)| now.since(*since) >= patience);
        if late {
            self.step = None;
        }
        late
    }

    /// Takes the store's answer; none if nothing was asked.
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
    let stands = entry.and_then(|entry| Some((serde_json::from_str(&entry.value).ok()?, entry.version)));
    match stands {
        Some((value, version)) => Outcome::Stored(value, version),
        None => Outcome::Missing,
    }
}
