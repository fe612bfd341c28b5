//! Key-value service: compare-and-swap, ranges, watches and leases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use radishstair_wire::platform::{Grant, Item, Items, Range, Remove, Swap, Written};

use super::{MAX_VALUE_BYTES, Platform, Reply, State, Value};

impl Platform {
    pub(super) fn compare_and_swap(&self, swap: Swap) -> Reply {
        if swap.value.len() > MAX_VALUE_BYTES {
            return (413, serde_json::json!({ "error": "value too large" }));
        }
        let mut state = self.lock();
        let current = state.keys.get(&swap.key).map_or(0, |value| value.version);
        if current != swap.expect {
            return (409, serde_json::json!(lookup(&state.keys, &swap.key)));
        }
        state.last_version += 1;
        let version = state.last_version;
        if swap.key.starts_with("duty/") {
            state.log.duties.push(Item {
                key: swap.key.clone(),
                version,
                value: swap.value.clone(),
            });
        }
        state.keys.insert(
            swap.key,
            Value {
                version,
                value: swap.value,
                lease: swap.lease,
            },
        );
        self.key_written.notify_all();
        (200, serde_json::json!(Written { version }))
    }

    pub(super) fn remove(&self, remove: Remove) -> Reply {
        let mut state = self.lock();
        let current = state.keys.get(&remove.key).map_or(0, |value| value.version);
        if current != remove.expect {
            return (409, serde_json::json!(lookup(&state.keys, &remove.key)));
        }
        state.keys.remove(&remove.key);
        (200, serde_json::json!(Written { version: 0 }))
    }

    pub(super) fn get(&self, key: &str, stale: bool) -> Reply {
        let state = self.lock();
        let keys = state.stale_keys.as_ref().filter(|_| stale).unwrap_or(&state.keys);
        (200, serde_json::json!(lookup(keys, key)))
    }

    pub(super) fn range(&self, range: &Range, stale: bool) -> Items {
        let state = self.lock();
        scan(
            state.stale_keys.as_ref().filter(|_| stale).unwrap_or(&state.keys),
            range,
        )
    }

    /// Waits until the range contains a key, or until the wait of the request is
    /// over.
    pub(super) fn watch(&self, range: &Range, stale: bool) -> Reply {
        let deadline = Instant::now() + Duration::from_millis(range.wait_ms.min(30_000));
        let mut state = self.lock();
        loop {
            let keys = state.stale_keys.as_ref().filter(|_| stale).unwrap_or(&state.keys);
            let found = scan(keys, range);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !found.items.is_empty() || remaining.is_zero() {
                return (200, serde_json::json!(found));
            }
            state = self
                .key_written
                .wait_timeout(state, remaining)
                .unwrap_or_else(|poisoned| poisoned.into_inner())
                .0;
        }
    }

    pub(super) fn grant_lease(&self, grant: &Grant) -> Reply {
        let mut state = self.lock();
        state.last_version += 1;
        let id = state.last_version;
        let ttl = Duration::from_millis(grant.ttl_ms);
        state.leases.insert(id, (ttl, Instant::now() + ttl));
        (200, serde_json::json!(Written { version: id }))
    }

    pub(super) fn renew_lease(&self, id: u64) -> Reply {
        match self.lock().leases.get_mut(&id) {
            Some((ttl, expiry)) => {
                *expiry = Instant::now() + *ttl;
                (200, serde_json::json!({}))
            }
            None => (404, serde_json::json!({ "error": "no such lease" })),
        }
    }

    /// Ends a lease and removes its keys.
    pub(super) fn revoke_lease(&self, id: u64) -> Reply {
        let mut state = self.lock();
        state.leases.remove(&id);
        state.keys.retain(|_, value| value.lease != Some(id));
        (200, serde_json::json!({}))
    }

    /// Removes expired leases and their keys.
    pub(super) fn expire_leases(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let expired = |(_, expiry): &(Duration, Instant)| *expiry <= now;
        if !state.leases.values().any(expired) {
            return;
        }
        state.leases.retain(|_, lease| !expired(lease));
        let State { keys, leases, .. } = &mut *state;
        keys.retain(|_, value| value.lease.is_none_or(|id| leases.contains_key(&id)));
    }
}

/// Reads a range of keys.
fn scan(keys: &BTreeMap<String, Value>, range: &Range) -> Items {
    let start = range.prefix.clone().max(range.after.clone());
    let items = keys
        .range(start..)
        .filter(|(key, _)| **key > range.after)
        .take_while(|(key, _)| key.starts_with(&range.prefix))
        .take(range.limit as usize)
        .map(|(key, value)| to_item(key, value))
        .collect();
    Items { items }
}

/// Reads one key.
fn lookup(keys: &BTreeMap<String, Value>, key: &str) -> Items {
    Items {
        items: keys
            .get(key)
            .map(|value| to_item(key, value))
            .into_iter()
            .collect(),
    }
}

fn to_item(key: &str, value: &Value) -> Item {
    Item {
        key: key.to_string(),
        version: value.version,
        value: value.value.clone(),
    }
}
