//! Index of the runners that have each prompt prefix cached, from this host's requests and from
//! packets of other hosts.
//!
//! A prompt is a chain of segments, of which requests share the first ones. The id of a segment
//! identifies the whole prefix up to its end.

use std::time::Duration;

use super::fleet::Key;
use crate::time::Moment;

/// Time after its last use for which a prefix counts as cached; engines evict the least recently
/// used.
const CACHED_FOR: Duration = Duration::from_secs(20);
/// Maximum number of prefixes in the index; the least recently used are dropped first.
const MAX_PREFIXES: usize = 8_192;
/// Maximum number of runners per prefix. A short prefix that all requests of a class share is
/// soon cached on every runner, and copying it saves little.
const MAX_HOLDERS: usize = 64;

plain! {
    /// A runner that has a prefix cached.
    #[derive(Copy)]
    pub struct Holder {
        /// Key of the runner.
        pub key: Key,
        /// When the prefix was first sent there.
        pub since: Moment,
        /// When the prefix was last sent there.
        pub used: Moment,
    }
}

plain! {
    struct Row {
        id: u64,
        used: Moment,
        /// Most recently used last.
        holders: Vec<Holder>,
    }
}

/// Runners by prefix id.
#[derive(Clone, Debug, Default)]
pub struct Index {
    rows: Vec<Row>,
}

impl Index {
    /// Runners to which a prefix was sent recently.
    pub fn holders(&self, now: Moment, prefix: u64) -> impl Iterator<Item = &Holder> {
        let found = self.rows.binary_search_by_key(&prefix, |have| have.id);
        let holders = found.map_or(&[][..], |at| &self.rows[at].holders);
        holders
            .iter()
            .filter(move |holder| now.since(holder.used) < CACHED_FOR)
    }

    /// Records that a request with the prefix goes to a runner.
    pub fn record(&mut self, now: Moment, prefix: u64, key: Key) {
        let at = match self.rows.binary_search_by_key(&prefix, |have| have.id) {
            Ok(at) => at,
            Err(at) => {
                let new = Row {
                    id: prefix,
                    used: now,
                    holders: Vec::new(),
                };
                self.rows.insert(at, new);
                at
            }
        };
        self.rows[at].record(now, key);
        if self.rows.len() > MAX_PREFIXES {
            self.evict();
        }
    }

    /// Drops the less recently used half.
    fn evict(&mut self) {
        let mut used: Vec<Moment> = self.rows.iter().map(|row| row.used).collect();
        used.sort_unstable();
        let middle = used[used.len() / 2];
        self.rows.retain(|row| row.used >= middle);
    }
}

impl Row {
    fn record(&mut self, now: Moment, key: Key) {
        self.used = now;
        self.holders.retain(|holder| now.since(holder.used) < CACHED_FOR);
        let known = self.holders.iter().position(|holder| holder.key == key);
        let since = known.map_or(now, |at| self.holders.remove(at).since);
        if self.holders.len() == MAX_HOLDERS {
            self.holders.remove(0);
        }
        self.holders.push(Holder {
            key,
            since,
            used: now,
        });
    }
}
