//! The operator's document as one host knows it.
//!
//! A document may be a megabyte. It is kept apart from the other keys, so that staying
//! fresh costs a few bytes whatever its size: the store is asked whether a version still
//! stands, and peers tell each other versions. The text itself goes over a link only to a
//! host that lacks it.

use std::sync::Arc;
use std::time::Duration;

use prost::Message;

use super::delta::Delta;
use crate::store::Entry;
use crate::time::Moment;

/// Longest text or difference, in bytes, that a peer tells along with its version. A
/// reader tells two dozen hosts at once, and its link may be no faster than theirs; a
/// longer text is read from the store.
pub const INLINE_BYTES: usize = 16 * 1024;
/// Former texts that are kept, to tell what has changed since: changes may come in quick
/// succession.
const FORMER: usize = 2;

/// What one host tells another of the document.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Notice {
    /// The store's revision of the document that the teller has.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Microseconds since the question left for which it has been proven to be the newest.
    #[prost(uint64, tag = "2")]
    pub age_us: u64,
    /// Its text, where the asker lacks it and it is short or was asked for.
    #[prost(string, optional, tag = "3")]
    pub text: Option<String>,
    /// In the place of the text, what has changed since the asker's version.
    #[prost(message, optional, tag = "4")]
    pub delta: Option<Delta>,
    /// The version that the asker named.
    #[prost(uint64, tag = "5")]
    pub have: u64,
}

/// What a peer's notice means to the host that asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Update {
    /// The text that is known was the newest at that moment.
    Current(Moment),
    /// A newer text, which was the newest at that moment.
    Text(Moment, u64, String),
    /// A newer version stands, and its text has to be read.
    Newer(u64),
    /// The peer knows an older version.
    Outdated,
}

/// The newest text that is known, and how far it is proven.
#[derive(Clone, Debug, Default)]
pub struct Document {
    entry: Option<Arc<Entry>>,
    /// Moment as of which the text was the newest.
    as_of: Option<Moment>,
    /// Newest version that is known to stand.
    newest: u64,
    /// Texts before, newest last, each with its difference to the newest once it was
    /// asked for.
    former: Vec<(Arc<Entry>, Option<Delta>)>,
}

impl Document {
    /// Version of the text that is known; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.entry.as_ref().map_or(0, |entry| entry.version)
    }

    /// Newest version that is known to stand, of which the text may have yet to be read.
    pub fn newest_version(&self) -> u64 {
        self.newest
    }

    /// Whether the text has yet to be read: there is none, or a newer one stands.
    pub fn is_behind(&self) -> bool {
        self.entry.is_none() || self.newest > self.version()
    }

    /// Time since the text was proven to be the newest.
    pub fn age(&self, now: Moment) -> Option<Duration> {
        self.as_of.map(|as_of| now.since(as_of))
    }

    /// The text that is known was the newest at `as_of`.
    pub fn confirm(&mut self, as_of: Moment) {
        if self.as_of.is_none_or(|have| as_of.reached(have)) {
            self.as_of = Some(as_of);
        }
    }

    /// Takes a text that was the newest at `as_of`; whether it is newer than the known one.
    pub fn replace(&mut self, as_of: Moment, entry: Arc<Entry>) -> bool {
        if entry.version < self.version() {
            return false;
        }
        let is_newer = entry.version > self.version();
        if is_newer {
            self.keep_former();
        }
        self.newest = self.newest.max(entry.version);
        self.entry = Some(entry);
        self.confirm(as_of);
        is_newer
    }

    fn keep_former(&mut self) {
        self.former.iter_mut().for_each(|(_, delta)| *delta = None);
        self.former.extend(self.entry.take().map(|entry| (entry, None)));
        let over = self.former.len().saturating_sub(FORMER);
        self.former.drain(..over);
    }

    /// What a host is told that has the text of version `have`, with what it lacks if that
    /// has at most so many bytes; none before the first text.
    pub fn notice(&mut self, now: Moment, have: u64, most: usize) -> Option<Notice> {
        let (entry, as_of) = (self.entry.clone()?, self.as_of?);
        let mut notice = Notice {
            version: entry.version,
            age_us: now.since(as_of).as_micros() as u64,
            have,
            ..Notice::default()
        };
        if entry.version <= have {
            return Some(notice);
        }
        if entry.value.len() > INLINE_BYTES {
            notice.delta = self.delta(&entry, have, most);
        }
        if notice.delta.is_none() && entry.value.len() <= most {
            notice.text = Some(entry.value.clone());
        }
        Some(notice)
    }

    /// What has changed since version `have`, if that has at most so many bytes.
    fn delta(&mut self, entry: &Entry, have: u64, most: usize) -> Option<Delta> {
        let mut former = self.former.iter_mut();
        let (text, delta) = former.find(|(former, _)| former.version == have)?;
        let delta = delta.get_or_insert_with(|| Delta::between(&text.value, &entry.value));
        (delta.encoded_len() <= most).then(|| delta.clone())
    }

    /// Takes in what a peer told when it was asked at `asked`.
    ///
    /// The age is counted back from the question, as the answer may have been under way
    /// for long.
    pub fn receive(&mut self, asked: Moment, notice: Notice) -> Update {
        let as_of = asked.saturating_sub(Duration::from_micros(notice.age_us));
        if notice.version < self.version() {
            return Update::Outdated;
        }
        if notice.version == self.version() {
            return Update::Current(as_of);
        }
        self.newest = self.newest.max(notice.version);
        match notice.text.or_else(|| self.changed(notice.have, notice.delta?)) {
            Some(text) => Update::Text(as_of, notice.version, text),
            None => Update::Newer(notice.version),
        }
    }

    /// The text that a difference to version `have` makes.
    fn changed(&self, have: u64, delta: Delta) -> Option<String> {
        let entry = self.entry.as_ref().filter(|entry| entry.version == have)?;
        delta.apply(&entry.value)
    }
}
