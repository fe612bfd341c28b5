//! Messages between entry hosts.
//!
//! Protocol buffers by `prost`; the services that carry them are generated in
//! the wire crate. Any of them may come late, twice or never.

/// Most bytes of one message.
pub const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

macro_rules! message {
    ($(#[$doc:meta])* pub struct $name:ident { $($body:tt)* }) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, prost::Message)]
        pub struct $name { $($body)* }
    };
}

message! {
    /// Who a process is; a higher epoch replaces a lower one. A heartbeat to a
    /// peer that knows the sender leaves the texts out.
    pub struct Member {
        /// Incarnation.
        #[prost(fixed64, tag = "1")]
        pub incarnation: u64,
        /// Host name.
        #[prost(string, tag = "2")]
        pub host: String,
        /// Availability zone.
        #[prost(string, tag = "3")]
        pub zone: String,
        /// Address for peers.
        #[prost(string, tag = "4")]
        pub address: String,
        /// Raised by the process itself to refute its own death.
        #[prost(uint64, tag = "5")]
        pub epoch: u64,
        /// Left or believed dead.
        #[prost(bool, tag = "6")]
        pub gone: bool,
    }
}

message! {
    /// What a zone has in force.
    pub struct ZoneSummary {
        /// Availability zone.
        #[prost(string, tag = "1")]
        pub zone: String,
        /// Lowest configuration version among its live hosts.
        #[prost(uint64, tag = "2")]
        pub version: u64,
        /// Live hosts.
        #[prost(uint32, tag = "3")]
        pub hosts: u32,
        /// When it was said, in milliseconds since the Unix epoch.
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
        /// Pool.
        #[prost(string, tag = "1")]
        pub pool: String,
        /// Calls that run.
        #[prost(uint32, tag = "2")]
        pub running: u32,
        /// Calls that wait.
        #[prost(uint32, tag = "3")]
        pub waiting: u32,
        /// Runners listed and not leaving.
        #[prost(uint32, tag = "4")]
        pub runners: u32,
        /// Their slots together.
        #[prost(uint32, tag = "5")]
        pub slots: u32,
    }
}

message! {
    /// Calls that one host has running, by runner; five bytes a runner.
    pub struct HostLoad {
        /// Hashes of the runners' names.
        #[prost(fixed32, repeated, tag = "1")]
        pub runners: Vec<u32>,
        /// Calls in flight on each.
        #[prost(uint32, repeated, tag = "2")]
        pub running: Vec<u32>,
        /// Calls that wait, by pool.
        #[prost(message, repeated, tag = "3")]
        pub waiting: Vec<QueuedCalls>,
    }
}

message! {
    /// Calls of one host that wait for a pool.
    pub struct QueuedCalls {
        /// Pool.
        #[prost(string, tag = "1")]
        pub pool: String,
        /// How many.
        #[prost(uint32, tag = "2")]
        pub count: u32,
    }
}

message! {
    /// Heartbeat.
    pub struct Heartbeat {
        /// The sender.
        #[prost(message, required, tag = "1")]
        pub sender: Member,
        /// Configuration version in force at the sender.
        #[prost(uint64, tag = "2")]
        pub version: u64,
        /// Age of the sender's newest answer from the store, in milliseconds;
        /// the largest number when it never had one.
        #[prost(uint64, tag = "3")]
        pub store_age_ms: u64,
        /// Hash of all cards that the sender knows.
        #[prost(fixed64, tag = "4")]
        pub member_digest: u64,
        /// Cards that the receiver seems to lack.
        #[prost(message, repeated, tag = "5")]
        pub members: Vec<Member>,
        /// What the zones have in force.
        #[prost(message, repeated, tag = "6")]
        pub summaries: Vec<ZoneSummary>,
        /// The sender's calls on shared runners, in the beats that carry them.
        #[prost(message, optional, tag = "7")]
        pub load: Option<HostLoad>,
        /// Runners that the sender saw leaving or refusing.
        #[prost(string, repeated, tag = "8")]
        pub leaving_runners: Vec<String>,
        /// Usage chunks for safe keeping.
        #[prost(message, repeated, tag = "9")]
        pub usage_chunks: Vec<UsageChunk>,
        /// Highest chunk of the receiver that the sender keeps.
        #[prost(uint64, tag = "10")]
        pub acked_chunk: u64,

    }
}

message! {
    /// A message has arrived.
    pub struct Ack {}
}

message! {
    /// Usage of one customer and class.
    pub struct UsageRow {
        /// Customer.
        #[prost(string, tag = "1")]
        pub customer: String,
        /// Request class.
        #[prost(string, tag = "2")]
        pub class: String,
        /// Whole answers.
        #[prost(uint64, tag = "3")]
        pub calls: u64,
        /// Prompt tokens.
        #[prost(uint64, tag = "4")]
        pub prompt_tokens: u64,
        /// Generated tokens that went to the caller.
        #[prost(uint64, tag = "5")]
        pub tokens: u64,
        /// Answers that broke.
        #[prost(uint64, tag = "6")]
        pub broken: u64,
    }
}

message! {
    /// What one process counted in a few seconds of one window; never changes.
    pub struct UsageChunk {
        /// Incarnation that counted.
        #[prost(fixed64, tag = "1")]
        pub source: u64,
        /// From 1, without gaps.
        #[prost(uint64, tag = "2")]
        pub number: u64,
        /// Start of the window, in milliseconds since the Unix epoch.
        #[prost(uint64, tag = "3")]
        pub window: u64,
        /// Figures.
        #[prost(message, repeated, tag = "4")]
        pub rows: Vec<UsageRow>,
    }
}

message! {
    /// Asks for configuration after a version.
    pub struct Pull {
        /// Version in force at the asker.
        #[prost(uint64, tag = "1")]
        pub version: u64,
    }
}

message! {
    /// Configuration: a snapshot, entries after it, or neither.
    pub struct Pulled {
        /// A snapshot as JSON; empty when entries suffice.
        #[prost(string, tag = "1")]
        pub snapshot: String,
        /// Entries as JSON, in order.
        #[prost(string, repeated, tag = "2")]
        pub entries: Vec<String>,
    }
}

message! {
    /// How far a source's usage is sealed.
    pub struct Cursor {
        /// Incarnation that counted.
        #[prost(fixed64, tag = "1")]
        pub source: u64,
        /// Highest chunk that is sealed.
        #[prost(uint64, tag = "2")]
        pub number: u64,
    }
}

message! {
    /// Asks for usage past the sealed chunks.
    pub struct Collect {
        /// What is sealed; may be dropped by the receiver.
        #[prost(message, repeated, tag = "1")]
        pub cursors: Vec<Cursor>,
        /// Window to be sealed; younger chunks stay.
        #[prost(uint64, tag = "2")]
        pub window: u64,
        /// Ask the zone mates, too, and answer for the whole zone.
        #[prost(bool, tag = "3")]
        pub zone: bool,
    }
}

message! {
    /// Usage of one source in one window.
    pub struct WindowUsage {
        /// Window in which it was counted.
        #[prost(uint64, tag = "1")]
        pub window: u64,
        /// Figures.
        #[prost(message, repeated, tag = "2")]
        pub rows: Vec<UsageRow>,
    }
}

message! {
    /// What a host knows of one source.
    pub struct SourceUsage {
        /// Incarnation that counted.
        #[prost(fixed64, tag = "1")]
        pub source: u64,
        /// Last chunk that is in the parts; without gaps from the cursor on.
        #[prost(uint64, tag = "2")]
        pub number: u64,
        /// Figures by window.
        #[prost(message, repeated, tag = "3")]
        pub windows: Vec<WindowUsage>,
        /// Last chunk that is not in the parts, as it was sealed before.
        #[prost(uint64, tag = "4")]
        pub after_chunk: u64,
    }
}

message! {
    /// Which chunks of a source are in a bundle.
    pub struct ChunkRange {
        /// Incarnation that counted.
        #[prost(fixed64, tag = "1")]
        pub source: u64,
        /// Last chunk before the bundle's.
        #[prost(uint64, tag = "2")]
        pub after_chunk: u64,
        /// Last chunk in the bundle.
        #[prost(uint64, tag = "3")]
        pub number: u64,
    }
}

message! {
    /// Usage of a whole zone, summed over its sources.
    pub struct ZoneUsage {
        /// Chunks that are in it, by source.
        #[prost(message, repeated, tag = "1")]
        pub chunk_ranges: Vec<ChunkRange>,
        /// Figures by window.
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
        /// One host's knowledge, by source.
        #[prost(message, repeated, tag = "1")]
        pub sources: Vec<SourceUsage>,
        /// A zone's, when that was asked for.
        #[prost(message, optional, tag = "2")]
        pub zone_usage: Option<ZoneUsage>,
    }
}

message! {
    /// A call passed on to the process that alone may run it.
    pub struct Forward {
        /// Customer whose key came with the call.
        #[prost(string, tag = "1")]
        pub customer: String,
        /// Public name of the key.
        #[prost(string, tag = "2")]
        pub key: String,
        /// Class of the call.
        #[prost(string, tag = "3")]
        pub class: String,
        /// Idempotency key.
        #[prost(string, tag = "4")]
        pub idempotency_key: String,
        /// Body.
        #[prost(bytes = "vec", tag = "5")]
        pub body: Vec<u8>,
        /// Version by which the sender admitted it.
        #[prost(uint64, tag = "6")]
        pub version: u64,
    }
}

message! {
    /// Answer to [`Forward`].
    pub struct Forwarded {
        /// HTTP status.
        #[prost(uint32, tag = "1")]
        pub status: u32,
        /// Body.
        #[prost(bytes = "vec", tag = "2")]
        pub body: Vec<u8>,
        /// Milliseconds until the caller may come back; 0 for none.
        #[prost(uint64, tag = "3")]
        pub retry_after_ms: u64,
    }
}
