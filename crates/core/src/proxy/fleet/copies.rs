//! Copies of running streams that this host has had made.

use super::software::Version;
use super::{Fleet, Key, Way};
use crate::time::Moment;

impl Fleet {
    /// Counts the memory of a copy on a runner, in tokens.
    pub fn start_copy(&mut self, key: Key, kv_tokens: u64) {
        if let Some(runner) = self.get_mut(key) {
            runner.local_load.kv_tokens += kv_tokens;
        }
    }

    /// Removes a copy that is not needed any more.
    pub fn finish_copy(&mut self, key: Key, kv_tokens: u64) {
        if let Some(runner) = self.get_mut(key) {
            runner.local_load.kv_tokens = runner.local_load.kv_tokens.saturating_sub(kv_tokens);
        }
    }

    /// Whether a stream that a version began may be sent to the runner that holds its copy now.
    pub fn may_continue_at(&self, now: Moment, key: Key, service: &str, version: Version, way: Way) -> bool {
        let found = self.available(now, service, way).find(|(have, _)| *have == key);
        let cleared = self.cleared(now, found.into_iter().collect());
        cleared
            .first()
            .is_some_and(|(_, runner)| runner.may_continue(now, version))
    }
}
