//! The software versions that began streams, remembered across hosts.
//!
//! A caller may take up a stream at any host, also after the host that forwarded its first events has
//! died. It names its attempt that brought the first event. When that event arrives, the host tells the
//! version to a few others, which rendezvous hashing selects in each availability zone. A host at which a
//! stream is taken up asks them, and one or two more: the hosts need not agree on who is alive.
//!
//! A host that does not learn the version does not let the stream go on. So a record that is lost or late
//! never joins events of two versions; it only costs a stream.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::Duration;

use prost::Message as _;
use sha2::{Digest, Sha256};

use super::fleet::software::Version;
use super::gossip::datagram::{self, Kind};
use super::holders;
use super::readers::Host;
use crate::time::Moment;

pub mod routes;
pub mod segment;

use segment::Segment;

/// Maximum number of versions that a host remembers.
const MAX_ENTRIES: usize = 32_768;
/// Maximum number of records and of questions in a message.
const MAX_PER_MESSAGE: usize = 64;
/// Time between two removals of outdated entries.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);
/// Limits of the time for which a version is remembered, and that time if the route has no timeout.
const MIN_LIFE: Duration = Duration::from_secs(10);
pub(super) const MAX_LIFE: Duration = Duration::from_secs(600);
const DEFAULT_LIFE: Duration = Duration::from_secs(60);
/// The same as a multiple of the route's timeout: a caller comes back within the time of its last attempt.
const LIFE_TIMEOUTS: u32 = 2;

arena_key! {
    /// Identifies a stream on all hosts.
    StreamKey(u64)
}

impl StreamKey {
    /// Stream that an attempt of a customer on a route has begun.
    ///
    /// The hash covers the customer and the route, so that a caller cannot name a stream of another
    /// customer.
    pub fn new(customer: Option<&str>, route: &str, attempt: &str) -> Self {
        let mut hash = Sha256::new();
        for part in [customer.unwrap_or_default(), route, attempt] {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        hash.update([u8::from(customer.is_some())]);
        let hash = hash.finalize();
        Self(
            hash.iter()
                .take(8)
                .fold(0, |key, byte| key << 8 | u64::from(*byte)),
        )
    }
}

plain! {
    /// How far the version of a stream is decided.
    #[derive(Copy, Default, Eq)]
    pub enum Origin {
        /// It has no event yet, so any version may begin it.
        #[default]
        New,
        /// This version has begun it.
        Version(Version),
        /// It has begun, and the version is not known for certain.
        Unknown,
    }
}

impl Origin {
    /// The version, if it is known.
    pub fn version(self) -> Option<Version> {
        match self {
            Origin::Version(version) => Some(version),
            Origin::New | Origin::Unknown => None,
        }
    }
}

/// Time for which the version of a route's streams is remembered.
pub fn life(timeout: Option<Duration>) -> Duration {
    let life = timeout.map_or(DEFAULT_LIFE, |timeout| timeout * LIFE_TIMEOUTS);
    life.clamp(MIN_LIFE, MAX_LIFE)
}

/// Version that began one stream.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Record {
    /// Key of the stream.
    #[prost(fixed64, tag = "1")]
    pub stream: u64,
    /// The version.
    #[prost(fixed64, tag = "2")]
    pub version: u64,
    /// How long it is to be remembered, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub life_ms: u32,
}

impl Record {
    fn new(stream: StreamKey, version: Version, life: Duration) -> Self {
        Self {
            stream: stream.0,
            version: version.0,
            life_ms: life.as_millis() as u32,
        }
    }
}

/// Message between hosts.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Message {
    /// Versions of streams.
    #[prost(message, repeated, tag = "1")]
    pub told: Vec<Record>,
    /// Keys of the streams whose versions the sender wants to know.
    #[prost(fixed64, repeated, tag = "2")]
    pub asked: Vec<u64>,
    /// Versions that the receiver writes to the store, as the keeper of its zone.
    #[prost(message, repeated, tag = "3")]
    pub kept: Vec<Record>,
}

impl Message {
    /// Datagram with this message.
    pub fn to_datagram(&self) -> Vec<u8> {
        datagram::encode(Kind::Origin, self)
    }

    /// Message in a datagram; `None` if it contains something else.
    pub fn from_datagram(bytes: &[u8]) -> Option<Self> {
        datagram::decode(Kind::Origin, bytes)
    }

    /// Whether it has nothing to say.
    pub fn is_empty(&self) -> bool {
        self.encoded_len() == 0
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    stream: StreamKey,
    /// `None` if two hosts have told different versions.
    version: Option<Version>,
    until: Moment,
    /// Whether this host has forwarded its first event.
    is_own: bool,
}

impl Entry {
    fn new(now: Moment, record: Record) -> Self {
        let life = Duration::from_millis(record.life_ms.into()).min(MAX_LIFE);
        Self {
            stream: StreamKey(record.stream),
            version: Some(Version(record.version)),
            until: now + life,
            is_own: false,
        }
    }

    /// Adds what was told of the same stream once more.
    fn merge(&mut self, other: &Self) {
        self.version = self.version.filter(|version| other.version == Some(*version));
        self.until = self.until.max(other.until);
        self.is_own |= other.is_own;
    }
}

/// What one host remembers, and what it has yet to send.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    /// Sorted by stream.
    entries: Vec<Entry>,
    purged_at: Moment,
    to_tell: Vec<Record>,
    to_ask: Vec<StreamKey>,
    /// Versions for the keeper of this host's zone.
    to_keep: Vec<Record>,
    /// Versions to be written to the store by this host.
    to_store: Vec<Record>,
}

impl Origins {
    /// Records that this host has received the first event of a stream.
    pub fn begin(&mut self, now: Moment, stream: StreamKey, version: Version, life: Duration) {
        let record = Record::new(stream, version, life);
        let entry = Entry {
            is_own: true,
            ..Entry::new(now, record)
        };
        self.remember(now, entry);
        self.to_tell.push(record);
    }

    /// Has the version of a stream written to the store, by the keeper of this host's zone.
    pub fn keep(&mut self, stream: StreamKey, version: Version, life: Duration) {
        self.to_keep.push(Record::new(stream, version, life));
    }

    /// Has the versions of all streams written to the store that this host has forwarded: another version has come, so
    /// that theirs cannot be told without memory any more.
    pub fn keep_own(&mut self, now: Moment) {
        let own = self.entries.iter().filter(|entry| entry.is_own);
        let kept = own.filter_map(|entry| self.record(now, entry.stream));
        let kept: Vec<Record> = kept.collect();
        self.to_keep.extend(kept);
    }

    /// Records what was read from the store, the newest segments first, up to half of what is remembered.
    pub fn restore(&mut self, now: Moment, unix_ms: u64, mut segments: Vec<Segment>) {
        self.purge(now);
        segments.sort_by_key(|segment| Reverse(segment.span));
        let records = segments.iter().flat_map(|segment| segment.records(unix_ms));
        let restored = records.map(|record| Entry::new(now, record));
        self.entries.extend(restored.take(MAX_ENTRIES / 2));
        self.entries.sort_by_key(|entry| entry.stream);
        self.entries.dedup_by(|other, kept| {
            let is_same = other.stream == kept.stream;
            if is_same {
                kept.merge(other);
            }
            is_same
        });
        self.entries.sort_unstable_by_key(|entry| Reverse(entry.until));
        self.entries.truncate(MAX_ENTRIES);
        self.entries.sort_unstable_by_key(|entry| entry.stream);
    }

    /// Versions to be written to the store by this host, as the keeper of its zone; they count as taken.
    pub fn take_to_store(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.to_store)
    }

    /// Has the other hosts asked for a stream's version.
    pub fn ask(&mut self, stream: StreamKey) {
        if !self.to_ask.contains(&stream) {
            self.to_ask.push(stream);
        }
    }

    /// Version that began a stream, if this host knows it.
    pub fn find(&self, now: Moment, stream: StreamKey) -> Option<Version> {
        let at = self.position(stream).ok()?;
        let entry = &self.entries[at];
        entry.version.filter(|_| !now.reached(entry.until))
    }

    /// Applies a message; returns the answer to its questions, which may be empty.
    pub fn receive(&mut self, now: Moment, message: &Message) -> Message {
        for record in message.told.iter().take(MAX_PER_MESSAGE) {
            self.remember(now, Entry::new(now, *record));
        }
        for record in message.kept.iter().take(MAX_PER_MESSAGE) {
            self.remember(now, Entry::new(now, *record));
            self.store(*record);
        }
        let asked = message.asked.iter().take(MAX_PER_MESSAGE);
        let known = asked.filter_map(|stream| self.record(now, StreamKey(*stream)));
        Message {
            told: known.collect(),
            ..Message::default()
        }
    }

    /// Messages to the other hosts, each to one address; what they say counts as sent.
    pub fn take_messages(&mut self, own: SocketAddr, hosts: &[Host]) -> Vec<(SocketAddr, Message)> {
        let others: Vec<Host> = hosts.iter().filter(|host| host.address != own).copied().collect();
        let mut messages = Vec::new();
        for record in self.to_tell.drain(..) {
            for holder in holders::told(record.stream, &others) {
                message_to(&mut messages, holder).told.push(record);
            }
        }
        let keepers = match self.to_ask.is_empty() {
            true => Vec::new(),
            false => holders::keepers(&others),
        };
        for stream in self.to_ask.drain(..) {
            let mut asked = holders::possibly_told(stream.0, &others);
            asked.extend(&keepers);
            asked.sort_unstable();
            asked.dedup();
            for holder in asked {
                message_to(&mut messages, holder).asked.push(stream.0);
            }
        }
        let to_keep = std::mem::take(&mut self.to_keep);
        let keeper = match to_keep.is_empty() {
            true => None,
            false => holders::keeper_for(own, hosts),
        };
        for record in to_keep {
            match keeper.filter(|keeper| *keeper != own) {
                Some(keeper) => message_to(&mut messages, keeper).kept.push(record),
                None => self.store(record),
            }
        }
        messages
    }

    fn store(&mut self, record: Record) {
        if self.to_store.len() < MAX_ENTRIES {
            self.to_store.push(record);
        }
    }

    /// Number of versions that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn position(&self, stream: StreamKey) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&stream, |entry| entry.stream)
    }

    fn record(&self, now: Moment, stream: StreamKey) -> Option<Record> {
        let version = self.find(now, stream)?;
        let until = self.entries[self.position(stream).ok()?].until;
        Some(Record {
            stream: stream.0,
            version: version.0,
            life_ms: now.until(until).as_millis() as u32,
        })
    }

    fn remember(&mut self, now: Moment, entry: Entry) {
        self.purge(now);
        match self.position(entry.stream) {
            Ok(at) if now.reached(self.entries[at].until) => self.entries[at] = entry,
            Ok(at) => self.entries[at].merge(&entry),
            Err(at) => self.entries.insert(at, entry),
        }
        if self.entries.len() > MAX_ENTRIES {
            let ends_first = (0..self.entries.len()).min_by_key(|at| self.entries[*at].until);
            ends_first.map(|at| self.entries.remove(at));
        }
    }

    fn purge(&mut self, now: Moment) {
        if now.since(self.purged_at) >= PURGE_INTERVAL {
            self.purged_at = now;
            self.entries.retain(|entry| !now.reached(entry.until));
        }
    }
}

fn message_to(messages: &mut Vec<(SocketAddr, Message)>, address: SocketAddr) -> &mut Message {
    let is_full = |message: &Message| {
        let lengths = [message.told.len(), message.asked.len(), message.kept.len()];
        lengths.iter().any(|length| *length >= MAX_PER_MESSAGE)
    };
    let found = messages
        .iter()
        .position(|(to, message)| *to == address && !is_full(message));
    let at = found.unwrap_or_else(|| {
        messages.push((address, Message::default()));
        messages.len() - 1
    });
    &mut messages[at].1
}
