//! Calls to the platform's key-value service, as values.
//!
//! The service orders writes to one key by compare-and-swap on its version.
//! An answer may be lost after the write took effect: the caller of this
//! module then reads back and compares the nonce it wrote.

arena_key! {
    /// Matches an answer to its call.
    Token(u64)
}

plain! {
    /// What to ask of the service.
    #[allow(missing_docs)]
    pub enum Call {
        /// Write if the version still is `expect`; 0 means absent.
        CompareAndSwap { key: String, expect: u64, value: String },
        /// Read one key.
        Get { key: String },
        /// Read one key, possibly as it was some time ago, for less.
        GetStale { key: String },
        /// Read one key unless its version still is `version`.
        GetIfChanged { key: String, version: u64 },
        /// Read keys under a prefix, after `after`, in order.
        Range { prefix: String, after: String, limit: u32 },
        /// Remove if the version still is `expect`.
        Remove { key: String, expect: u64 },
        /// Wait until a key under the prefix sorts behind `after`.
        Watch { prefix: String, after: String },
    }
}

plain! {
    /// One key as read.
    pub struct Entry {
        /// Its name.
        pub key: String,
        /// Counts the writes to this key; 0 when absent.
        pub version: u64,
        /// What was written.
        pub value: String,
    }
}

plain! {
    /// What came of a call.
    pub enum Answer {
        /// The write took effect; the new version.
        Written(u64),
        /// Somebody else wrote first; what stands now.
        Conflict(Entry),
        /// The keys asked for.
        Found(Vec<Entry>),
        /// The key still has the version that was named.
        Same,
        /// The write was not attempted, or was refused before it took effect.
        Refused,
        /// No answer: the write may have taken effect.
        Lost,
    }
}

impl Call {
    /// Name for counters.
    pub fn name(&self) -> &'static str {
        match self {
            Call::CompareAndSwap { .. } => "swap",
            Call::Get { .. } => "get",
            Call::GetStale { .. } => "peek",
            Call::GetIfChanged { .. } => "renew",
            Call::Range { .. } => "range",
            Call::Remove { .. } => "remove",
            Call::Watch { .. } => "watch",
        }
    }
}

impl Answer {
    /// How it came out, for counters.
    pub fn outcome(&self) -> &'static str {
        match self {
            Answer::Written(_) | Answer::Found(_) | Answer::Same => "ok",
            Answer::Conflict(_) => "conflict",
            Answer::Refused => "refused",
            Answer::Lost => "lost",
        }
    }
}
