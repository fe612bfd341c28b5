//! One host's copy of the operator's document.
//!
//! A document may be a megabyte in size. It is kept apart from the other keys, so that confirming
//! it takes a few bytes whatever its size: the store is asked whether a version is still current,
//! and peers exchange versions. The text itself is sent only to a host that lacks it.

use std::sync::Arc;
use std::time::Duration;

use prost::Message;

use super::delta::Delta;
use crate::store::Entry;
use crate::time::Moment;

/// Maximum size in bytes of a text or difference that a peer sends along with its version. A
/// reader answers two dozen hosts at once, and its link may be no faster than theirs; longer
/// texts are read from the store.
pub const INLINE_BYTES: usize = 16 * 1024;
/// Number of old texts that are kept to compute differences; changes may follow each other
/// quickly.
const KEPT_TEXTS: usize = 2;

/// State of the document as one host reports it to another.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Notice {
    /// Store revision of the sender's text.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Microseconds since the request was sent that last confirmed the text as current.
    #[prost(uint64, tag = "2")]
    pub age_us: u64,
    /// The sender's text, if the receiver lacks it and it is short or was requested.
    #[prost(string, optional, tag = "3")]
    pub text: Option<String>,
    /// Instead of the text, its difference to the receiver's version.
    #[prost(message, optional, tag = "4")]
    pub delta: Option<Delta>,
    /// The receiver's version, as it was in the request.
    #[prost(uint64, tag = "5")]
    pub base_version: u64,
}

/// Result of a peer's notice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The known text was current at that moment.
    Current(Moment),
    /// A newer text that was current at that moment, and its version.
    Text(Moment, u64, String),
    /// A newer version exists, but its text has to be read.
    Newer(u64),
    /// The peer has an older version.
    Outdated,
}

/// The newest known text and the moment as of which it was current.
#[derive(Clone, Debug, Default)]
pub struct Document {
    entry: Option<Arc<Entry>>,
    /// Moment as of which the text was last confirmed to be current.
    as_of: Option<Moment>,
    /// Newest version known to exist.
    newest_version: u64,
    /// Old texts, newest last, each with its difference to the current one once requested.
    old_texts: Vec<(Arc<Entry>, Option<Delta>)>,
}

impl Document {
    /// Version of the known text; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.entry.as_ref().map_or(0, |entry| entry.version)
    }

    /// Newest version known to exist; its text may not have been read yet.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Whether a text has to be read: there is none, or a newer version exists.
    pub fn is_behind(&self) -> bool {
        self.entry.is_none() || self.newest_version > self.version()
    }

    /// Time since the text was last confirmed to be current.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }

    /// Records that the known text was current at `as_of`.
    pub fn confirm(&mut self, as_of: Moment) {
        if self.as_of.is_none_or(|have| as_of.reached(have)) {
            self.as_of = Some(as_of);
        }
    }

    /// Replaces the text by one that was current at `as_of`, unless it is older; returns whether
    /// it is newer.
    pub fn replace(&mut self, as_of: Moment, entry: Arc<Entry>) -> bool {
        if entry.version < self.version() {
            return false;
        }
        let is_newer = entry.version > self.version();
        if is_newer {
            self.keep_old_text();
        }
        self.newest_version = self.newest_version.max(entry.version);
        self.entry = Some(entry);
        self.confirm(as_of);
        is_newer
    }

    fn keep_old_text(&mut self) {
        self.old_texts.iter_mut().for_each(|(_, delta)| *delta = None);
        self.old_texts
            .extend(self.entry.take().map(|entry| (entry, None)));
        let excess = self.old_texts.len().saturating_sub(KEPT_TEXTS);
        self.old_texts.drain(..excess);
    }

    /// Notice for a host that has version `base_version`. A newer text or its difference is
    /// included if it has at most `max_bytes` bytes. `None` if there is no text yet.
    pub fn notice(&mut self, now: Moment, base_version: u64, max_bytes: usize) -> Option<Notice> {
        let (entry, as_of) = (self.entry.clone()?, self.as_of?);
        let mut notice = Notice {
            version: entry.version,
            age_us: now.since(as_of).as_micros() as u64,
            base_version,
            ..Notice::default()
        };
        if entry.version <= base_version {
            return Some(notice);
        }
        if entry.value.len() > INLINE_BYTES {
            notice.delta = self.delta(&entry, base_version, max_bytes);
        }
        if notice.delta.is_none() && entry.value.len() <= max_bytes {
            notice.text = Some(entry.value.clone());
        }
        Some(notice)
    }

    /// Difference to version `base_version`, if it has at most `max_bytes` bytes.
    fn delta(&mut self, entry: &Entry, base_version: u64, max_bytes: usize) -> Option<Delta> {
        let mut old_texts = self.old_texts.iter_mut();
        let (text, delta) = old_texts.find(|(old, _)| old.version == base_version)?;
        let delta = delta.get_or_insert_with(|| Delta::between(&text.value, &entry.value));
        (delta.encoded_len() <= max_bytes).then(|| delta.clone())
    }

    /// Applies a peer's notice that was requested at `asked`.
    ///
    /// The age is subtracted from the time of the request, as the answer may have been delayed.
    pub fn receive(&mut self, asked: Moment, notice: Notice) -> Update {
        let as_of = asked.saturating_sub(Duration::from_micros(notice.age_us));
        if notice.version < self.version() {
            return Update::Outdated;
        }
        if notice.version == self.version() {
            return Update::Current(as_of);
        }
        self.newest_version = self.newest_version.max(notice.version);
        match notice
            .text
            .or_else(|| self.patched(notice.base_version, notice.delta?))
        {
            Some(text) => Update::Text(as_of, notice.version, text),
            None => Update::Newer(notice.version),
        }
    }

    /// Text that results from a difference to version `base_version`.
    fn patched(&self, base_version: u64, delta: Delta) -> Option<String> {
        let entry = self
            .entry
            .as_ref()
            .filter(|entry| entry.version == base_version)?;
        delta.apply(&entry.value)
    }
}
