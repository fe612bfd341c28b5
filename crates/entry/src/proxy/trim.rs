//! Removal of what other writers put into the store and no host reads.
//!
//! Each host keeps all keys of the store, and passes them on to others. Keys and versions are needed to tell whether a
//! copy is complete; a value only if it is read. What other writers store is bounded by nothing but the store's own limits.

use radishstair_core::store::Entry;

use super::Shared;
use super::records::{COUNT_PREFIX, KEY_PREFIX};

/// Removes the values, and parts of values, that no host reads.
pub fn trim<'a>(shared: &Shared, entries: impl Iterator<Item = &'a mut Entry>) {
    let keys = shared.adapter.store_keys();
    for entry in entries {
        if entry.key.starts_with(keys.runner_prefix) {
            trim_runner(shared, entry);
        } else if !entry.key.starts_with(KEY_PREFIX) || entry.key.starts_with(COUNT_PREFIX) {
            // The versions of usage counts suffice; their values are read when they are needed.
            entry.value = String::new();
        }
    }
}

fn trim_runner(shared: &Shared, entry: &mut Entry) {
    let bytes = entry.value.len();
    match shared.adapter.shorten_runner(entry) {
        Ok(None) => return,
        Ok(Some(text)) => {
            tracing::info!(
                event = "entry-shortened",
                key = entry.key,
                revision = entry.version,
                bytes
            );
            entry.value = text;
        }
        Err(err) => {
            tracing::warn!(event = "entry-not-read", key = entry.key, revision = entry.version, bytes, reason = %format!("{err:#}"));
            entry.value = String::new();
        }
    }
    shared.metrics.trimmed_entries.inc();
}
