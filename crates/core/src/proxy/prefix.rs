//! Which runners have read the beginning of which prompts, as this host saw it or
//! was told.
//!
//! A prompt is a chain of parts; requests share its first ones. Each part stands for the
//! chain up to it.

use std::time::Duration;

use super::fleet::Key;
use crate::time::Moment;

/// Time after its last use for which a beginning counts as kept; engines drop the least
/// recently used.
const KEPT: Duration = Duration::from_secs(20);
/// Most parts remembered; the least recently used go first.
const MOST: usize = 8_192;
/// Most runners remembered for a part: a short one that all requests of a class share is
/// soon read everywhere, and copies of it are dear to nobody.
const HOLDERS: usize = 64;

plain! {
    /// A runner that has read a beginning.
    #[derive(Copy)]
    pub struct Holder {
        /// The runner.
        pub key: Key,
        /// When it was first sent there.
        pub since: Moment,
        /// When it was sent there last.
        pub used: Moment,
    }
}

plain! {
    struct Part {
        id: u64,
        used: Moment,
        /// The one that was used last at the end.
        holders: Vec<Holder>,
    }
}

/// Parts by id.
#[derive(Clone, Debug, Default)]
pub struct Index {
    parts: Vec<Part>,
}

impl Index {
    /// Runners that have read the chain up to a part lately.
    pub fn holders(&self, now: Moment, part: u64) -> impl Iterator<Item = &Holder> {
        let found = self.parts.binary_search_by_key(&part, |have| have.id);
        let holders = found.map_or(&[][..], |at| &self.parts[at].holders);
        holders.iter().filter(move |holder| now.since(holder.used) < KEPT)
    }

    /// A request with the part goes to a runner.
    pub fn note(&mut self, now: Moment, part: u64, key: Key) {
        let at = match self.parts.binary_search_by_key(&part, |have| have.id) {
            Ok(at) => at,
            Err(at) => {
                let new = Part {
                    id: part,
                    used: now,
                    holders: Vec::new(),
                };
                self.parts.insert(at, new);
                at
            }
        };
        self.parts[at].note(now, key);
        if self.parts.len() > MOST {
            self.forget();
        }
    }

    /// Drops the older half.
    fn forget(&mut self) {
        let mut used: Vec<Moment> = self.parts.iter().map(|part| part.used).collect();
        used.sort_unstable();
        let middle = used[used.len() / 2];
        self.parts.retain(|part| part.used >= middle);
    }
}

impl Part {
    fn note(&mut self, now: Moment, key: Key) {
        self.used = now;
        self.holders.retain(|holder| now.since(holder.used) < KEPT);
        let known = self.holders.iter().position(|holder| holder.key == key);
        let since = known.map_or(now, |at| self.holders.remove(at).since);
        if self.holders.len() == HOLDERS {
            self.holders.remove(0);
        }
        self.holders.push(Holder {
            key,
            since,
            used: now,
        });
    }
}
