//! Messages between entry hosts.
//!
//! They are Protocol Buffers messages by `prost`; the service that transports
//! them is generated in the wire crate. Any message may be late, duplicated or
//! lost.

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

macro_rules! message {
    ($(#[$doc:meta])* pub struct $name:ident { $($body:tt)* }) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, prost::Message)]
        pub struct $name { $($body)* }
    };
}

message! {
    /// Membership record of a process; a higher epoch replaces a lower one. A
    /// heartbeat to a peer that already has the record leaves the texts empty.
    pub struct Member {
        /// Incarnation of the process.
        #[prost(fixed64, tag = "1")]
        pub incarnation: u64,
        /// Host name.
        #[prost(string, tag = "2")]
        pub host: String,
        /// Availability zone.
        #[prost(string, tag = "3")]
        pub zone: String,
        /// Address at which peers reach the process.
        #[prost(string, tag = "4")]
        pub address: String,
        /// Raised by the process itself to refute a record of its failure.
        #[prost(uint64, tag = "5")]
        pub epoch: u64,
        /// Whether the process left or is suspected to have failed.
        #[prost(bool, tag = "6")]
        pub gone: bool,
    }
}

message! {
    /// Summary of a zone: configuration, hosts and demand.
    pub struct ZoneSummary {
        /// Availability zone.
        #[prost(string, tag = "1")]
        pub zone: String,
        /// Lowest configuration version in force among its live hosts.
        #[prost(uint64, tag = "2")]
        pub config_version: u64,
        /// Number of live hosts.
        #[prost(uint32, tag = "3")]
        pub hosts: u32,
        /// Time of the summary, in milliseconds since the Unix epoch.
        #[prost(uint64, tag = "4")]
        pub timestamp_ms: u64,
        /// Demand for the zone's own runners.
        #[prost(message, repeated, tag = "5")]
        pub demands: Vec<Demand>,
    }
}

message! {
    /// Demand for one pool in one zone.
    pub struct Demand {
        /// Name of the pool.
        #[prost(string, tag = "1")]
        pub pool: String,
        /// Running calls.
        #[prost(uint32, tag = "2")]
        pub running: u32,
        /// Waiting calls.
        #[prost(uint32, tag = "3")]
        pub waiting: u32,
        /// Listed runners that are not leaving.
        #[prost(uint32, tag = "4")]
        pub runners: u32,
        /// Total slots of these runners.
        #[prost(uint32, tag = "5")]
        pub slots: u32,
    }
}

message! {
    /// Calls of one host, running and waiting; five bytes per runner.
    pub struct HostLoad {
        /// Hashes of the runners' names.
        #[prost(fixed32, repeated, tag = "1")]
        pub runner_hashes: Vec<u32>,
        /// Calls in flight on each runner, in the order of `runner_hashes`.
        #[prost(uint32, repeated, tag = "2")]
        pub running: Vec<u32>,
        /// Waiting calls by pool.
        #[prost(message, repeated, tag = "3")]
        pub waiting: Vec<QueuedCalls>,
    }
}

message! {
    /// Calls of one host that wait for a pool.
    pub struct QueuedCalls {
        /// Name of the pool.
        #[prost(string, tag = "1")]
        pub pool: String,
        /// Number of calls.
        #[prost(uint32, tag = "2")]
        pub count: u32,
    }
}

message! {
    /// Periodic message to a peer.
    pub struct Heartbeat {
        /// Record of the sender.
        #[prost(message, required, tag = "1")]
        pub sender: Member,
        /// Configuration version in force at the sender.
        #[prost(uint64, tag = "2")]
        pub config_version: u64,
        /// Age of the newest answer of the store, to the sender or passed on by
        /// its peers, that confirmed the sender's version as the newest, in
        /// milliseconds; `u64::MAX` if there was none.
        #[prost(uint64, tag = "3")]
        pub store_age_ms: u64,
        /// Hash of all member records at the sender.
        #[prost(fixed64, tag = "4")]
        pub member_digest: u64,
        /// Member records that the receiver probably lacks.
        #[prost(message, repeated, tag = "5")]
        pub members: Vec<Member>,
        /// Summaries of zones.
        #[prost(message, repeated, tag = "6")]
        pub summaries: Vec<ZoneSummary>,
        /// The sender's calls on shared runners; not in every heartbeat.
        #[prost(message, optional, tag = "7")]
        pub load: Option<HostLoad>,
        /// Runners that are leaving, by a notice to the sender or to a peer of
        /// it.
        #[prost(string, repeated, tag = "8")]
        pub leaving_runners: Vec<String>,
        /// The sender's usage chunks, for the receiver to store.
        #[prost(message, repeated, tag = "9")]
        pub usage_chunks: Vec<UsageChunk>,
        /// Number of the receiver's last usage chunk that the sender stores.
        #[prost(uint64, tag = "10")]
        pub acked_chunk: u64,

    }
}

message! {
    /// Acknowledgement that a message has arrived.
    pub struct Ack {}
}

message! {
    /// Usage of one customer and class.
    pub struct UsageRow {
        /// Name of the customer.
        #[prost(string, tag = "1")]
        pub customer: String,
        /// Request class.
        #[prost(string, tag = "2")]
        pub class: String,
        /// Number of complete answers.
        #[prost(uint64, tag = "3")]
        pub calls: u64,
        /// Prompt tokens.
        #[prost(uint64, tag = "4")]
        pub prompt_tokens: u64,
        /// Generated tokens that were sent to the caller.
        #[prost(uint64, tag = "5")]
        pub tokens: u64,
        /// Number of answers that broke off.
        #[prost(uint64, tag = "6")]
        pub broken: u64,
    }
}

message! {
    /// Usage that one process counted in a few seconds of one window. A chunk
    /// is immutable.
    pub struct UsageChunk {
        /// Incarnation that counted.
        #[prost(fixed64, tag = "1")]
        pub source: u64,
        /// Number of the chunk, from 1 without gaps.
        #[prost(uint64, tag = "2")]
        pub number: u64,
        /// Start of the window, in milliseconds since the Unix epoch.
        #[prost(uint64, tag = "3")]
        pub window: u64,
        /// Usage by customer and class.
        #[prost(message, repeated, tag = "4")]
        pub rows: Vec<UsageRow>,
    }
}

message! {
    /// Request for the configuration after a version.
    pub struct Pull {
        /// Version in force at the sender.
        #[prost(uint64, tag = "1")]
        pub version: u64,
    }
}

message! {
    /// Answer to [`Pull`]: a snapshot, entries that follow, or neither.
    pub struct Pulled {
        /// Snapshot as JSON; empty if entries suffice.
        #[prost(string, tag = "1")]
        pub snapshot: String,
        /// Entries as JSON, in order.
        #[prost(string, repeated, tag = "2")]
        pub entries: Vec<String>,
    }
}

message! {
    /// Position up to which the usage of a source is sealed.
    pub struct Cursor {
        /// Incarnation that counted.
        #[prost(fixed64, tag = "1")]
        pub source: u64,
        /// Number of the last sealed chunk.
        #[prost(uint64, tag = "2")]
        pub number: u64,
    }
}

message! {
    /// Request for the usage after the sealed chunks.
    pub struct Collect {
        /// Sealed chunks by source, which the receiver may drop.
        #[prost(message, repeated, tag = "1")]
        pub cursors: Vec<Cursor>,
        /// Window to be sealed, in milliseconds since the Unix epoch; chunks
        /// of later windows are not included.
        #[prost(uint64, tag = "2")]
        pub window: u64,
        /// Whether the receiver also asks its zone peers and answers for the
        /// whole zone.
        #[prost(bool, tag = "3")]
        pub whole_zone: bool,
    }
}

message! {
    /// Usage of one source in one window.
    pub struct WindowUsage {
        /// Start of the window, in milliseconds since the Unix epoch.
        #[prost(uint64, tag = "1")]
        pub window: u64,
        /// Usage by customer and class.
        #[prost(message, repeated, tag = "2")]
        pub rows: Vec<UsageRow>,
    }
}

message! {
    /// Usage of one source, as far as a host stores it.
    pub struct SourceUsage {
        /// Incarnation that counted.
        #[prost(fixed64, tag = "1")]
        pub source: u64,
        /// Number of the last included chunk; there are no gaps after the
        /// cursor.
        #[prost(uint64, tag = "2")]
        pub last_chunk: u64,
        /// Usage by window.
        #[prost(message, repeated, tag = "3")]
        pub windows: Vec<WindowUsage>,
        /// Number of the last chunk that is not included because it is sealed.
        #[prost(uint64, tag = "4")]
        pub after_chunk: u64,
    }
}

message! {
    /// Range of the chunks of a source in the usage of a zone.
    pub struct ChunkRange {
        /// Incarnation that counted.
        #[prost(fixed64, tag = "1")]
        pub source: u64,
        /// Number of the last chunk before the range.
        #[prost(uint64, tag = "2")]
        pub after_chunk: u64,
        /// Number of the last chunk in the range.
        #[prost(uint64, tag = "3")]
        pub last_chunk: u64,
    }
}

message! {
    /// Usage of a whole zone, summed over its sources.
    pub struct ZoneUsage {
        /// Included chunks by source.
        #[prost(message, repeated, tag = "1")]
        pub chunk_ranges: Vec<ChunkRange>,
        /// Usage by window.
        #[prost(message, repeated, tag = "2")]
        pub windows: Vec<WindowUsage>,
        /// Availability zone.
        #[prost(string, tag = "3")]
        pub zone: String,
    }
}

message! {
    /// Answer to [`Collect`].
    pub struct Collected {
        /// Usage that the answering host stores, by source.
        #[prost(message, repeated, tag = "1")]
        pub sources: Vec<SourceUsage>,
        /// Usage of the whole zone, if that was requested.
        #[prost(message, optional, tag = "2")]
        pub zone_usage: Option<ZoneUsage>,
    }
}

message! {
    /// At-most-once call, forwarded to the only process that may run it.
    pub struct Forward {
        /// Customer to whom the API key of the call belongs.
        #[prost(string, tag = "1")]
        pub customer: String,
        /// Public name of the API key.
        #[prost(string, tag = "2")]
        pub api_key_name: String,
        /// Class of the call.
        #[prost(string, tag = "3")]
        pub class: String,
        /// Idempotency key of the call.
        #[prost(string, tag = "4")]
        pub idempotency_key: String,
        /// Request body.
        #[prost(bytes = "vec", tag = "5")]
        pub body: Vec<u8>,
        /// Configuration version by which the sender admitted the call.
        #[prost(uint64, tag = "6")]
        pub config_version: u64,
    }
}

message! {
    /// Answer to [`Forward`].
    pub struct Forwarded {
        /// HTTP status code.
        #[prost(uint32, tag = "1")]
        pub status: u32,
        /// Response body.
        #[prost(bytes = "vec", tag = "2")]
        pub body: Vec<u8>,
        /// Milliseconds after which the caller may retry; 0 if not stated.
        #[prost(uint64, tag = "3")]
        pub retry_after_ms: u64,
    }
}
