//! Requests to the platform's key-value service and its answers, as values.
//!
//! Writes to a key are ordered by compare-and-swap on its version. An answer
//! may be lost after the write took effect; the code that sent the request then
//! reads the key back and compares it, such as by a nonce, with what it wrote.

arena_key! {
    /// Identifies the request to which an answer belongs.
    Token(u64)
}

plain! {
    /// Request to the service.
    #[allow(missing_docs)]
    pub enum Call {
        /// Write if the key still has the version `expect`; 0 means absent.
        CompareAndSwap { key: String, expect: u64, value: String },
        /// Read one key.
        Get { key: String },
        /// Read one key; the value may be stale, which costs the service less.
        GetStale { key: String },
        /// Read one key unless it still has the version `version`.
        GetIfChanged { key: String, version: u64 },
        /// Read up to `limit` keys under a prefix that sort after `after`, in
        /// order.
        Range { prefix: String, after: String, limit: u32 },
        /// Remove a key if it still has the version `expect`.
        Remove { key: String, expect: u64 },
        /// Write all keys if each still has its expected version, or else none.
        Batch { writes: Vec<Write> },
        /// Wait until a key under the prefix sorts after `after`.
        Watch { prefix: String, after: String },
    }
}

plain! {
    /// One write of a batch.
    pub struct Write {
        /// Name of the key.
        pub key: String,
        /// Version that the key must have; 0 means absent.
        pub expect: u64,
        /// New value.
        pub value: String,
    }
}

plain! {
    /// A key and its value, as read.
    pub struct Entry {
        /// Name of the key.
        pub key: String,
        /// Number of writes to the key; 0 if it is absent.
        pub version: u64,
        /// Value of the key.
        pub value: String,
    }
}

plain! {
    /// Outcome of a request.
    pub enum Answer {
        /// The write took effect, with this new version.
        Written(u64),
        /// The version did not match; the current entry.
        Conflict(Entry),
        /// A version in a batch did not match; the current entries of its keys.
        Conflicts(Vec<Entry>),
        /// Entries read.
        Found(Vec<Entry>),
        /// The key still has the version in the request.
        Same,
        /// The write was not attempted, or was refused before it took effect.
        Refused,
        /// No answer: the write may have taken effect.
        Lost,
    }
}

impl Call {
    /// Name of the request in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Call::CompareAndSwap { .. } => "swap",
            Call::Get { .. } => "get",
            Call::GetStale { .. } => "peek",
            Call::GetIfChanged { .. } => "renew",
            Call::Range { .. } => "range",
            Call::Remove { .. } => "remove",
            Call::Batch { .. } => "batch",
            Call::Watch { .. } => "watch",
        }
    }
}

impl Answer {
    /// Name of the outcome in metrics.
    pub fn outcome(&self) -> &'static str {
        match self {
            Answer::Written(_) | Answer::Found(_) | Answer::Same => "ok",
            Answer::Conflict(_) | Answer::Conflicts(_) => "conflict",
            Answer::Refused => "refused",
            Answer::Lost => "lost",
        }
    }
}
