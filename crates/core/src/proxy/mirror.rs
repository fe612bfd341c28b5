//! The store's keys as one host knows them, and what has changed in them.
//!
//! Each host keeps all keys but the operator's [document](super::document). One that reads the store puts its pages in here, one
//! that asks such a host puts that host's changes in. Both know then up to which
//! revision of the store they have seen everything, and of which moment that is,
//! so either can answer the next host that asks.
//!
//! Pages of a listing are not one snapshot: it is complete up to the revision of its
//! first page. A key that was written and removed between two listings is never seen
//! by the one who lists, but may be known to the one who asks, and no removal would
//! be told. So each answer carries a checksum over all keys of the teller; where the
//! asker's own does not come out the same, it asks for everything.

use std::time::Duration;

use prost::Message;

use super::document::Notice;
use crate::id::{digest, rendezvous_weight};
use crate::store::Entry;
use crate::time::Moment;

/// Removed keys that are remembered for hosts that ask: a zone's runners, replaced
/// as a whole, several times over.
const GONE: usize = 1_024;

/// A key as the store holds it.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Item {
    /// Its name.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The store's revision at its last change.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// What was written.
    #[prost(string, tag = "3")]
    pub value: String,
}

/// A key that no longer stands.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Removal {
    /// Its name.
    #[prost(string, tag = "1")]
    pub key: String,
    /// A revision of the store at which it did not stand.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// What one host tells another that has seen everything up to some revision.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Changes {
    /// Revision up to which the teller has seen everything.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Microseconds since the question left that the teller's knowledge comes from.
    #[prost(uint64, tag = "2")]
    pub age_us: u64,
    /// Keys written since.
    #[prost(message, repeated, tag = "3")]
    pub items: Vec<Item>,
    /// Keys removed since.
    #[prost(message, repeated, tag = "4")]
    pub removed: Vec<Removal>,
    /// Whether the items are all keys that stand.
    #[prost(bool, tag = "5")]
    pub full: bool,
    /// Checksum over all keys that the teller knows.
    #[prost(fixed64, tag = "6")]
    pub checksum: u64,
    /// The operator's document, which is not among the keys.
    #[prost(message, optional, tag = "7")]
    pub document: Option<Notice>,
}

plain! {
    /// One page of a listing.
    pub struct Page {
        /// Key behind which it begins; empty for the first page.
        pub after: String,
        /// Its keys, in order.
        pub entries: Vec<Entry>,
        /// Whether there are more keys behind it.
        pub more: bool,
        /// The store's revision at the time.
        pub revision: u64,
        /// When the question left.
        pub sent: Moment,
    }
}

/// All keys, as far as they are known.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    /// Sorted by key.
    entries: Vec<Entry>,
    /// Checksum over them.
    sum: u64,
    /// Revision up to which everything was seen; 0 before the first listing.
    revision: u64,
    /// Moment as of which that is so.
    as_of: Option<Moment>,
    /// Oldest revision since which removals are remembered.
    since: u64,
    /// Removed keys, oldest revision first.
    gone: Vec<Removal>,
    /// First page of the listing under way.
    listing: Option<(u64, Moment)>,
}

impl Mirror {
    /// Number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Keys under a prefix, in order.
    pub fn with_prefix(&self, prefix: &str) -> &[Entry] {
        let from = self.entries.partition_point(|entry| entry.key.as_str() < prefix);
        let rest = &self.entries[from..];
        &rest[..rest.partition_point(|entry| entry.key.starts_with(prefix))]
    }

    /// A key, if it stands.
    pub fn find(&self, key: &str) -> Option<&Entry> {
        let at = self.entries.binary_search_by(|entry| entry.key.as_str().cmp(key));
        at.ok().map(|at| &self.entries[at])
    }

    /// Revision up to which everything was seen; 0 before the first listing.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Moment as of which everything was seen.
    pub fn as_of(&self) -> Option<Moment> {
        self.as_of
    }

    /// Takes a page in; the last one completes its listing.
    pub fn add_page(&mut self, page: Page) {
        if page.after.is_empty() {
            self.listing = Some((page.revision, page.sent));
        }
        let last = page.entries.last().filter(|_| page.more);
        let from = self.entries.partition_point(|have| have.key <= page.after);
        let to = match last {
            Some(last) => self.entries.partition_point(|have| have.key <= last.key),
            None => self.entries.len(),
        };
        let ends = last.is_none();
        let stands = |entry: &&Entry| {
            let found = page.entries.binary_search_by(|have| have.key.cmp(&entry.key));
            found.is_ok()
        };
        let old = self.entries[from..to].iter();
        let gone: Vec<String> = old
            .filter(|entry| !stands(entry))
            .map(|entry| entry.key.clone())
            .collect();
        for key in gone {
            self.forget(key, page.revision);
        }
        self.sum ^= sum(&self.entries[from..to]) ^ sum(&page.entries);
        self.entries.splice(from..to, page.entries);
        if !ends {
            return;
        }
        if let Some((revision, sent)) = self.listing.take() {
            if self.revision == 0 {
                // What was removed before the last page came was never seen here.
                self.since = page.revision;
            }
            self.see(revision, sent);
        }
    }

    /// What has changed after a revision, for a host that has seen everything up
    /// to it; everything if that cannot be told, nothing before the first listing.
    pub fn changes(&self, now: Moment, after: u64) -> Option<Changes> {
        let as_of = self.as_of?;
        let whole = after < self.since.max(1);
        let items = self.entries.iter().filter(|entry| whole || entry.version > after);
        let gone = self.gone.iter().filter(|gone| !whole && gone.revision > after);
        Some(Changes {
            revision: self.revision,
            age_us: now.since(as_of).as_micros() as u64,
            items: items.map(item).collect(),
            removed: gone.cloned().collect(),
            full: whole,
            checksum: self.sum,
            document: None,
        })
    }

    /// Takes in what another host told when it was asked at `asked` for what came
    /// after [`revision`](Self::revision); false if everything must be asked for.
    ///
    /// The answer may have been under way for long, or have lain in a process that
    /// was frozen. The age it tells is counted back from the moment of the
    /// question, which errs on the old side by all such delays.
    pub fn apply(&mut self, asked: Moment, changes: Changes) -> bool {
        let as_of = asked.saturating_sub(Duration::from_micros(changes.age_us));
        if changes.revision < self.revision {
            // What is known here is newer, and so as good as of that moment.
            self.see(changes.revision, as_of);
            return true;
        }
        let items: Vec<Entry> = changes.items.into_iter().map(entry).collect();
        if changes.full {
            if sum(&items) != changes.checksum {
                return false;
            }
            self.entries = items;
            self.gone.clear();
            self.since = changes.revision;
        } else {
            self.put(items, changes.removed);
        }
        self.sum = sum(&self.entries);
        if self.sum != changes.checksum {
            return false;
        }
        self.see(changes.revision, as_of);
        true
    }

    fn put(&mut self, items: Vec<Entry>, gone: Vec<Removal>) {
        for gone in gone {
            let found = self.entries.binary_search_by(|have| have.key.cmp(&gone.key));
            if let Ok(at) = found
                && self.entries[at].version <= gone.revision
            {
                self.entries.remove(at);
            }
            self.forget(gone.key, gone.revision);
        }
        for entry in items {
            match self.entries.binary_search_by(|have| have.key.cmp(&entry.key)) {
                Ok(at) => self.entries[at] = entry,
                Err(at) => self.entries.insert(at, entry),
            }
        }
    }

    fn see(&mut self, revision: u64, as_of: Moment) {
        self.revision = self.revision.max(revision);
        if self.as_of.is_none_or(|have| as_of.reached(have)) {
            self.as_of = Some(as_of);
        }
    }

    fn forget(&mut self, key: String, revision: u64) {
        let at = self.gone.partition_point(|have| have.revision <= revision);
        self.gone.insert(at, Removal { key, revision });
        let over = self.gone.len().saturating_sub(GONE);
        for gone in self.gone.drain(..over) {
            self.since = self.since.max(gone.revision);
        }
    }
}

/// Checksum over keys and their versions, whatever their order.
fn sum(entries: &[Entry]) -> u64 {
    let one = |entry: &Entry| rendezvous_weight(digest(entry.key.as_bytes()), entry.version);
    entries.iter().map(one).fold(0, |sum, one| sum ^ one)
}

fn entry(item: Item) -> Entry {
    Entry {
        key: item.key,
        version: item.version,
        value: item.value,
    }
}

fn item(entry: &Entry) -> Item {
    Item {
        key: entry.key.clone(),
        version: entry.version,
        value: entry.value.clone(),
    }
}
