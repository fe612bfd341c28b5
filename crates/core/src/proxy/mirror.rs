//! Replica of the store's keys on one host, and the changes to them.
//!
//! Each host keeps all keys except the operator's [document](super::document). A host that reads
//! the store adds the pages of its listings; a host that asks a peer applies the changes it gets.
//! Each keeps the store revision up to which its replica is complete, and the moment as of which
//! it is, so each can answer other hosts.
//!
//! A paged listing is not a snapshot: it is complete up to the revision of its first page. A key
//! that is written and removed between two listings is in neither of them, but a host that asks
//! for the changes may have the key from elsewhere and would get no removal. Each answer therefore
//! includes a checksum over all keys of the sender. If the receiver's differs after applying the
//! changes, it requests all keys.

use std::time::Duration;

use prost::Message;

use super::document::Notice;
use crate::id::{digest, rendezvous_weight};
use crate::store::Entry;
use crate::time::Moment;

/// Number of removals that are kept for other hosts: enough to replace all runners of a zone
/// several times.
const MAX_REMOVALS: usize = 1_024;

/// A key and its value.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Item {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Store revision of its last change.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Value of the key.
    #[prost(string, tag = "3")]
    pub value: String,
}

/// A removed key.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Removal {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// A store revision at which the key did not exist.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
}

/// Changes that one host sends to another.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Changes {
    /// Store revision up to which the sender's replica is complete.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Microseconds since the request to the store was sent that confirmed the replica.
    #[prost(uint64, tag = "2")]
    pub age_us: u64,
    /// Keys written since the requested revision.
    #[prost(message, repeated, tag = "3")]
    pub items: Vec<Item>,
    /// Keys removed since the requested revision.
    #[prost(message, repeated, tag = "4")]
    pub removed: Vec<Removal>,
    /// Whether `items` contains all keys instead.
    #[prost(bool, tag = "5")]
    pub full: bool,
    /// Checksum over all keys of the sender.
    #[prost(fixed64, tag = "6")]
    pub checksum: u64,
    /// State of the operator's document, which is not one of the keys.
    #[prost(message, optional, tag = "7")]
    pub document: Option<Notice>,
    /// Time that the sender's last listing of the store took, in microseconds; 0 if it lists nothing.
    /// Its data can be older by that much.
    #[prost(uint64, tag = "8")]
    pub listing_us: u64,
}

plain! {
    /// One page of a listing.
    pub struct Page {
        /// Key after which the page begins; empty for the first page.
        pub after: String,
        /// Entries in order of their keys.
        pub entries: Vec<Entry>,
        /// Whether there are more keys after this page.
        pub has_more: bool,
        /// Store revision at the time of the answer.
        pub revision: u64,
        /// When the request was sent.
        pub sent: Moment,
    }
}

/// Replica of the store's keys.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    /// Entries sorted by key.
    entries: Vec<Entry>,
    /// Checksum over all entries.
    checksum: u64,
    /// Store revision up to which the replica is complete; 0 before the first listing.
    revision: u64,
    /// Moment as of which the replica is complete.
    as_of: Option<Moment>,
    /// Oldest store revision since which all removals are kept.
    removals_since: u64,
    /// Removals, oldest revision first.
    removals: Vec<Removal>,
    /// Revision and time of the first page of the listing in progress.
    listing: Option<(u64, Moment)>,
}

impl Mirror {
    /// Number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Entries whose key has the given prefix, in order.
    pub fn with_prefix(&self, prefix: &str) -> &[Entry] {
        let from = self.entries.partition_point(|entry| entry.key.as_str() < prefix);
        let rest = &self.entries[from..];
        &rest[..rest.partition_point(|entry| entry.key.starts_with(prefix))]
    }

    /// Entry of a key.
    pub fn find(&self, key: &str) -> Option<&Entry> {
        let at = self.entries.binary_search_by(|entry| entry.key.as_str().cmp(key));
        at.ok().map(|at| &self.entries[at])
    }

    /// Store revision up to which the replica is complete; 0 before the first listing.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Moment as of which the replica is complete.
    pub fn as_of(&self) -> Option<Moment> {
        self.as_of
    }

    /// Whether a key is known with this version.
    pub fn has_version(&self, key: &str, version: u64) -> bool {
        self.find(key).is_some_and(|entry| entry.version == version)
    }

    /// Adds a page of a listing; the last page completes the listing. Entries that are known with the same version keep
    /// their values.
    pub fn add_page(&mut self, mut page: Page) {
        if page.after.is_empty() {
            self.listing = Some((page.revision, page.sent));
        }
        let last = page.entries.last().filter(|_| page.has_more);
        let from = self.entries.partition_point(|have| have.key <= page.after);
        let to = match last {
            Some(last) => self.entries.partition_point(|have| have.key <= last.key),
            None => self.entries.len(),
        };
        let is_last = last.is_none();
        let to = to.max(from);
        let is_kept = |entry: &&Entry| {
            let found = page.entries.binary_search_by(|have| have.key.cmp(&entry.key));
            found.is_ok()
        };
        let old = self.entries[from..to].iter();
        let removed_keys: Vec<String> = old
            .filter(|entry| !is_kept(entry))
            .map(|entry| entry.key.clone())
            .collect();
        for key in removed_keys {
            self.record_removal(key, page.revision);
        }
        for known in &mut self.entries[from..to] {
            if let Ok(at) = page.entries.binary_search_by(|entry| entry.key.cmp(&known.key))
                && page.entries[at].version == known.version
            {
                page.entries[at].value = std::mem::take(&mut known.value);
            }
        }
        self.checksum ^= checksum(&self.entries[from..to]) ^ checksum(&page.entries);
        self.entries.splice(from..to, page.entries);
        if !is_last {
            return;
        }
        if let Some((revision, sent)) = self.listing.take() {
            if self.revision == 0 {
                // Removals before the last page of the first listing are unknown.
                self.removals_since = page.revision;
            }
            self.confirm(revision, sent);
        }
    }

    /// Changes after a revision, for a host whose replica is complete up to it. Contains all keys
    /// if the removals since then are not known; `None` before the first listing.
    pub fn changes(&self, now: Moment, after: u64) -> Option<Changes> {
        let as_of = self.as_of?;
        let full = after < self.removals_since.max(1);
        let items = self.entries.iter().filter(|entry| full || entry.version > after);
        let removals = self
            .removals
            .iter()
            .filter(|removal| !full && removal.revision > after);
        Some(Changes {
            revision: self.revision,
            age_us: now.since(as_of).as_micros() as u64,
            items: items.cloned().map(Item::from).collect(),
            removed: removals.cloned().collect(),
            full,
            checksum: self.checksum,
            document: None,
            listing_us: 0,
        })
    }

    /// Applies the answer to a request for the changes after [`revision`](Self::revision) that
    /// was sent at `asked`. Returns false if all keys have to be requested.
    ///
    /// The answer may have been delayed on the network or in a frozen process. The age in it is
    /// subtracted from the time of the request, so any delay makes the replica appear older,
    /// never newer.
    pub fn apply(&mut self, asked: Moment, changes: Changes) -> bool {
        let as_of = asked.saturating_sub(Duration::from_micros(changes.age_us));
        if changes.revision < self.revision {
            // This replica is newer, so it is also complete as of that moment.
            self.confirm(changes.revision, as_of);
            return true;
        }
        let items: Vec<Entry> = changes.items.into_iter().map(Entry::from).collect();
        if changes.full {
            if checksum(&items) != changes.checksum {
                return false;
            }
            self.entries = items;
            self.removals.clear();
            self.removals_since = changes.revision;
        } else {
            self.merge(items, changes.removed);
        }
        self.checksum = checksum(&self.entries);
        if self.checksum != changes.checksum {
            return false;
        }
        self.confirm(changes.revision, as_of);
        true
    }

    fn merge(&mut self, items: Vec<Entry>, removals: Vec<Removal>) {
        for removal in removals {
            let found = self.entries.binary_search_by(|have| have.key.cmp(&removal.key));
            if let Ok(at) = found
                && self.entries[at].version <= removal.revision
            {
                self.entries.remove(at);
            }
            self.record_removal(removal.key, removal.revision);
        }
        for entry in items {
            match self.entries.binary_search_by(|have| have.key.cmp(&entry.key)) {
                Ok(at) => self.entries[at] = entry,
                Err(at) => self.entries.insert(at, entry),
            }
        }
    }

    fn confirm(&mut self, revision: u64, as_of: Moment) {
        self.revision = self.revision.max(revision);
        if self.as_of.is_none_or(|have| as_of.reached(have)) {
            self.as_of = Some(as_of);
        }
    }

    fn record_removal(&mut self, key: String, revision: u64) {
        let at = self.removals.partition_point(|have| have.revision <= revision);
        self.removals.insert(at, Removal { key, revision });
        let excess = self.removals.len().saturating_sub(MAX_REMOVALS);
        for removal in self.removals.drain(..excess) {
            self.removals_since = self.removals_since.max(removal.revision);
        }
    }
}

/// Checksum over keys and their versions, independent of their order.
fn checksum(entries: &[Entry]) -> u64 {
    let one = |entry: &Entry| rendezvous_weight(digest(entry.key.as_bytes()), entry.version);
    entries.iter().map(one).fold(0, |sum, one| sum ^ one)
}

impl From<Item> for Entry {
    fn from(Item { key, version, value }: Item) -> Self {
        Self { key, version, value }
    }
}

impl From<Entry> for Item {
    fn from(Entry { key, version, value }: Entry) -> Self {
        Self { key, version, value }
    }
}
