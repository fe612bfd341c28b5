//! The key-value service: compare-and-swap, ranges, watches, leases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use radishstair_wire::platform::{Grant, Item, Items, Range, Remove, Swap, Written};

use super::{Platform, Reply, State, VALUE_BYTES, Value};

impl Platform {
    pub(super) fn swap(&self, swap: Swap) -> Reply {
        if swap.value.len() > VALUE_BYTES {
            return (413, serde_json::json!({ "error": "value too large" }));
        }
        let mut state = self.lock();
        let have = state.keys.get(&swap.key).map_or(0, |value| value.version);
        if have != swap.expect {
            return (409, serde_json::json!(found(&state.keys, &swap.key)));
        }
        state.version += 1;
        let version = state.version;
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
        self.changed.notify_all();
        (200, serde_json::json!(Written { version }))
    }

    pub(super) fn remove(&self, remove: Remove) -> Reply {
        let mut state = self.lock();
        let have = state.keys.get(&remove.key).map_or(0, |value| value.version);
        if have != remove.expect {
            return (409, serde_json::json!(found(&state.keys, &remove.key)));
        }
        state.keys.remove(&remove.key);
        (200, serde_json::json!(Written { version: 0 }))
    }

    pub(super) fn get(&self, key: &str, stale: bool) -> Reply {
        let state = self.lock();
        let keys = state.stale.as_ref().filter(|_| stale).unwrap_or(&state.keys);
        (200, serde_json::json!(found(keys, key)))
    }

    pub(super) fn range(&self, range: &Range, stale: bool) -> Items {
        let state = self.lock();
        scan(
            state.stale.as_ref().filter(|_| stale).unwrap_or(&state.keys),
            range,
        )
    }

    pub(super) fn watch(&self, range: &Range, stale: bool) -> Reply {
        let until = Instant::now() + Duration::from_millis(range.wait_ms.min(30_000));
        let mut state = self.lock();
        loop {
            let keys = state.stale.as_ref().filter(|_| stale).unwrap_or(&state.keys);
            let found = scan(keys, range);
            let left = until.saturating_duration_since(Instant::now());
            if !found.items.is_empty() || left.is_zero() {
                return (200, serde_json::json!(found));
            }
            state = self
                .changed
                .wait_timeout(state, left)
                .unwrap_or_else(|poisoned| poisoned.into_inner())
                .0;
        }
    }

    pub(super) fn grant(&self, grant: &Grant) -> Reply {
        let mut state = self.lock();
        state.version += 1;
        let id = state.version;
        let life = Duration::from_millis(grant.ttl_ms);
        state.leases.insert(id, (life, Instant::now() + life));
        (200, serde_json::json!(Written { version: id }))
    }

    pub(super) fn keep(&self, id: u64) -> Reply {
        match self.lock().leases.get_mut(&id) {
            Some((life, until)) => {
                *until = Instant::now() + *life;
                (200, serde_json::json!({}))
            }
            None => (404, serde_json::json!({ "error": "no such lease" })),
        }
    }

    pub(super) fn revoke(&self, id: u64) -> Reply {
        let mut state = self.lock();
        state.leases.remove(&id);
        state.keys.retain(|_, value| value.lease != Some(id));
        (200, serde_json::json!({}))
    }

    pub(super) fn expire(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let ended = |(_, until): &(Duration, Instant)| *until <= now;
        if !state.leases.values().any(ended) {
            return;
        }
        state.leases.retain(|_, lease| !ended(lease));
        let State { keys, leases, .. } = &mut *state;
        keys.retain(|_, value| value.lease.is_none_or(|id| leases.contains_key(&id)));
    }
}

fn scan(keys: &BTreeMap<String, Value>, range: &Range) -> Items {
    let from = range.prefix.clone().max(range.after.clone());
    let items = keys
        .range(from..)
        .filter(|(key, _)| **key > range.after)
        .take_while(|(key, _)| key.starts_with(&range.prefix))
        .take(range.limit as usize)
        .map(|(key, value)| item(key, value))
        .collect();
    Items { items }
}

fn found(keys: &BTreeMap<String, Value>, key: &str) -> Items {
    Items {
        items: keys.get(key).map(|value| item(key, value)).into_iter().collect(),
    }
}

fn item(key: &str, value: &Value) -> Item {
    Item {
        key: key.to_string(),
        version: value.version,
        value: value.value.clone(),
    }
}
