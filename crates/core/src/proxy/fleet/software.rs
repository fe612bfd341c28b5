//! Software versions of runners.
//!
//! Runners of several versions may serve side by side in one service. Versions are free text without
//! an order. They are unrelated to the versions of entries in the store and of model weights.

use crate::id::digest;

/// Maximum length of a version in log lines, in characters.
const MAX_LABEL_CHARS: usize = 32;

arena_key! {
    /// Identifies one software version of one service on all hosts.
    Version(u64)
}

plain! {
    /// Software of a runner.
    #[derive(Eq)]
    pub struct Software {
        /// Identifies the service and the version.
        pub version: Version,
        /// Version as text, shortened for log lines.
        pub label: String,
    }
}

impl Software {
    /// Software of a service's runner that registers with this version.
    pub fn new(service: &str, text: &str) -> Self {
        Self {
            version: Version(digest(format!("{}:{service}:{text}", service.len()).as_bytes())),
            label: text.chars().take(MAX_LABEL_CHARS).collect(),
        }
    }
}
