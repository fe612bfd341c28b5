//! Versions of streams in the platform's store, so that they outlive all hosts.
//!
//! While a service has several versions, the hosts of an availability zone also tell the version of each stream to one of
//! them, the zone's keeper. It writes what it was told in a span of time under one key, and uses the keys again in turn.
//! So the number of writes does not grow with the hosts or the streams. A host that has just started, and is a keeper,
//! reads all keys when it is asked for a stream that it does not know.

use std::time::Duration;

use serde_with::serde_as;

use super::Record;
use crate::store::{Answer, Call, Entry};
use crate::units::Hex64;

/// Span of time that a key covers, in milliseconds.
const SPAN_MS: u64 = 2_000;
/// Number of keys of each zone.
const KEYS: u64 = 32;
/// Time for which streams are found in the store.
pub const COVERED: Duration = Duration::from_millis((KEYS - 1) * SPAN_MS);
/// Maximum number of streams under one key; further ones are not written.
const MAX_STREAMS: usize = 16_384;

record! {
    /// Streams that began in one zone and one span of time, as stored.
    #[serde_as]
    pub struct Segment {
        /// Number of the span since the start of 1970.
        pub span: u64,
        /// Key, version and remaining life in milliseconds of each stream.
        #[serde_as(as = "Vec<(Hex64, Hex64, _)>")]
        pub streams: Vec<(u64, u64, u32)>,
    }
}

impl Segment {
    /// Segment in an entry; `None` if it cannot be read.
    pub fn parse(entry: &Entry) -> Option<Self> {
        serde_json::from_str(&entry.value).ok()
    }

    /// Versions of its streams, if it may still be needed.
    pub fn records(&self, unix_ms: u64) -> impl Iterator<Item = Record> {
        let oldest = (unix_ms / SPAN_MS).saturating_sub(KEYS);
        let streams = self.streams.iter().filter(move |_| self.span >= oldest);
        streams.map(|(stream, version, life_ms)| Record {
            stream: *stream,
            version: *version,
            life_ms: *life_ms,
        })
    }
}

/// Writes the streams of a zone, as its keeper.
#[derive(Clone, Debug)]
pub struct Writer {
    prefix: String,
    segment: Segment,
    /// Version of the current key in the store, as far as it is known.
    version: u64,
    /// Whether streams were added since the last write.
    has_news: bool,
}

impl Writer {
    /// Writer for a zone, given by its hash, under keys with this prefix.
    pub fn new(prefix: &str, zone: u64) -> Self {
        Self {
            prefix: format!("{prefix}{zone:016x}/"),
            segment: Segment {
                span: 0,
                streams: Vec::new(),
            },
            version: 0,
            has_news: false,
        }
    }

    /// Adds streams, and goes on to the next key if its time has come.
    pub fn add(&mut self, unix_ms: u64, records: &[Record]) {
        let span = unix_ms / SPAN_MS;
        if span != self.segment.span {
            self.segment.span = span;
            self.version = 0;
            // What could not be written yet comes under the new key.
            if !self.has_news {
                self.segment.streams.clear();
            }
        }
        let streams = records.iter();
        let streams = streams.map(|record| (record.stream, record.version, record.life_ms));
        self.segment.streams.extend(streams);
        self.segment.streams.truncate(MAX_STREAMS);
        self.has_news |= !records.is_empty();
    }

    /// Call that is to be sent now, if there is anything to write.
    pub fn next_call(&self) -> Option<Call> {
        self.has_news.then(|| Call::CompareAndSwap {
            key: format!("{}{:02}", self.prefix, self.segment.span % KEYS),
            expect: self.version,
            value: serde_json::to_string(&self.segment).unwrap_or_default(),
        })
    }

    /// Applies the answer to that call. A key that was used before is overwritten by the next call, and the streams of
    /// another host that counts as keeper are added.
    pub fn apply(&mut self, answer: &Answer) {
        match answer {
            Answer::Written(version) => {
                self.version = *version;
                self.has_news = false;
            }
            Answer::Conflict(entry) => {
                self.version = entry.version;
                let found = Segment::parse(entry).filter(|found| found.span == self.segment.span);
                let streams = &mut self.segment.streams;
                streams.extend(found.into_iter().flat_map(|found| found.streams));
                streams.sort_unstable();
                streams.dedup();
                streams.truncate(MAX_STREAMS);
            }
            _ => {}
        }
    }
}
