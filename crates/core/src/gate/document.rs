//! The operator's document as one host knows it.
//!
//! A document may be a megabyte. It is kept apart from the other keys, so that staying
//! fresh costs a few bytes whatever its size: the store is asked whether a version still
//! stands, and peers tell each other versions. The text itself goes over a link only to a
//! host that lacks it.

use std::sync::Arc;
use std::time::Duration;

use prost::Message;

use crate::store::Entry;
use crate::time::Moment;

/// Longest text, in bytes, that a peer tells along with its version. A reader tells
/// two dozen hosts at once, and its link may be no faster than theirs; a longer text is
/// read from the store.
const SHORT: usize = 16 * 1024;

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
}

/// What a peer's notice means to the host that asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum News {
    /// The text that is known was the newest at that moment.
    Proven(Moment),
    /// A newer text, which was the newest at that moment.
    Text(Moment, u64, String),
    /// A newer version stands, and its text has to be read.
    Newer(u64),
    /// The peer knows an older version.
    Older,
}

/// The newest text that is known, and how far it is proven.
#[derive(Clone, Debug, Default)]
pub struct Document {
    entry: Option<Arc<Entry>>,
    /// Moment as of which the text was the newest.
    as_of: Option<Moment>,
    /// Newest version that is known to stand.
    newest: u64,
}

impl Document {
    /// Version of the text that is known; 0 if there is none.
    pub fn version(&self) -> u64 {
        self.entry.as_ref().map_or(0, |entry| entry.version)
    }

    /// Newest version that is known to stand, of which the text may have yet to be read.
    pub fn newest(&self) -> u64 {
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
    pub fn renew(&mut self, as_of: Moment) {
        if self.as_of.is_none_or(|have| as_of.reached(have)) {
            self.as_of = Some(as_of);
        }
    }

    /// Takes a text that was the newest at `as_of`; whether it is newer than the known one.
    pub fn take(&mut self, as_of: Moment, entry: Arc<Entry>) -> bool {
        if entry.version < self.version() {
            return false;
        }
        let is_newer = entry.version > self.version();
        self.newest = self.newest.max(entry.version);
        self.entry = Some(entry);
        self.renew(as_of);
        is_newer
    }

    /// What a host is told that has the text of version `have`; none before the first text.
    pub fn notice(&self, now: Moment, have: u64) -> Option<Notice> {
        let mut notice = self.with_text(now, have)?;
        notice.text = notice.text.filter(|text| text.len() <= SHORT);
        Some(notice)
    }

    /// The same with the text, however long it is.
    pub fn with_text(&self, now: Moment, have: u64) -> Option<Notice> {
        let (entry, as_of) = (self.entry.as_ref()?, self.as_of?);
        Some(Notice {
            version: entry.version,
            age_us: now.since(as_of).as_micros() as u64,
            text: (entry.version > have).then(|| entry.value.clone()),
        })
    }

    /// Takes in what a peer told when it was asked at `asked`.
    ///
    /// The age is counted back from the question, as the answer may have been under way
    /// for long.
    pub fn hear(&mut self, asked: Moment, notice: Notice) -> News {
        let as_of = asked.back(Duration::from_micros(notice.age_us));
        if notice.version < self.version() {
            return News::Older;
        }
        if notice.version == self.version() {
            return News::Proven(as_of);
        }
        self.newest = self.newest.max(notice.version);
        match notice.text {
            Some(text) => News::Text(as_of, notice.version, text),
            None => News::Newer(notice.version),
        }
    }
}
