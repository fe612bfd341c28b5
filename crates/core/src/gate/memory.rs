//! Which runners have read the beginning of which prompts, as this host saw it or
//! was told.

use std::time::Duration;

use super::fleet::Key;
use crate::time::Moment;

/// Time after its last use for which a beginning counts as kept. Engines drop
/// the least recently used; at twice the users' peak load a tenth of the memory
/// turns over in this time.
const KEPT: Duration = Duration::from_secs(20);
/// Most subjects remembered; the least recently used go first.
const MOST: usize = 4_096;

plain! {
    struct Subject {
        id: u64,
        used: Moment,
        places: Vec<(Key, Moment)>,
    }
}

/// Subjects by id.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    subjects: Vec<Subject>,
}

impl Memory {
    /// Runners that have read the subject lately.
    pub fn places(&self, now: Moment, subject: u64) -> impl Iterator<Item = Key> {
        let found = self.subjects.binary_search_by_key(&subject, |have| have.id);
        let places = found.map_or(&[][..], |at| &self.subjects[at].places);
        let kept = places.iter().filter(move |(_, used)| now.since(*used) < KEPT);
        kept.map(|(key, _)| *key)
    }

    /// A request about the subject goes to a runner.
    pub fn note(&mut self, now: Moment, subject: u64, key: Key) {
        let at = match self.subjects.binary_search_by_key(&subject, |have| have.id) {
            Ok(at) => at,
            Err(at) => {
                self.subjects.insert(
                    at,
                    Subject {
                        id: subject,
                        used: now,
                        places: Vec::new(),
                    },
                );
                at
            }
        };
        let known = &mut self.subjects[at];
        known.used = now;
        known
            .places
            .retain(|(have, used)| *have != key && now.since(*used) < KEPT);
        known.places.push((key, now));
        if self.subjects.len() > MOST {
            self.forget();
        }
    }

    /// Drops the older half.
    fn forget(&mut self) {
        let mut used: Vec<Moment> = self.subjects.iter().map(|subject| subject.used).collect();
        used.sort_unstable();
        let middle = used[used.len() / 2];
        self.subjects.retain(|subject| subject.used >= middle);
    }
}
