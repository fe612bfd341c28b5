//! Stand-in for the platform's metadata store, and for the address of the duties.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use crate::http::{self, Message};
use crate::json::{self, Json, base64};

#[derive(Default)]
struct Items {
    revision: u64,
    /// Revision and value in base64 by key.
    items: BTreeMap<String, (u64, String)>,
}

/// A store that answers every call.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    items: Arc<Mutex<Items>>,
}

const PAGE_ITEMS: usize = 500;

impl Store {
    pub fn start() -> Self {
        let items = Arc::new(Mutex::new(Items {
            revision: 100,
            ..Items::default()
        }));
        let shared = items.clone();
        let address = http::serve(move |request| answer(&mut shared.lock().expect("not poisoned"), request));
        Self { address, items }
    }

    /// Writes an item, as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let mut items = self.items.lock().expect("not poisoned");
        items.revision += 1;
        let revision = items.revision;
        items
            .items
            .insert(key.to_string(), (revision, base64(value.as_bytes())));
    }
}

fn item(key: &str, found: Option<&(u64, String)>) -> String {
    let (revision, value) = found.cloned().unwrap_or_default();
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{revision},\"created\":{revision},\"lease\":0}}",
        json::quote(key),
        json::quote(&value)
    )
}

fn answer(store: &mut Items, request: &Message) -> (u16, String) {
    let (path, query) = request.path().split_once('?').unwrap_or((request.path(), ""));
    let query: BTreeMap<String, String> = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| (key.to_string(), decode(value)))
        .collect();
    let field = |name: &str| query.get(name).cloned().unwrap_or_default();
    match (request.method(), path) {
        ("GET", "/radishstair/kv-key") => {
            let key = field("key");
            match store.items.get(&key) {
                Some(found) => (200, item(&key, Some(found))),
                None => (404, "{}".into()),
            }
        }
        ("GET", "/radishstair/kv-range") => {
            let (prefix, after) = (field("pathPrefix"), field("afterRevision"));
            let fits = |key: &&String| key.starts_with(&prefix) && (after.is_empty() || **key > after);
            let keys: Vec<&String> = store.items.keys().filter(fits).collect();
            let page: Vec<String> = keys
                .iter()
                .take(PAGE_ITEMS)
                .map(|key| item(key, store.items.get(*key)))
                .collect();
            let body = format!(
                "{{\"items\":[{}],\"hasMore\":{},\"storeRevision\":{}}}",
                page.join(","),
                keys.len() > PAGE_ITEMS,
                store.revision
            );
            (200, body)
        }
        ("POST", "/radishstair/kv-txn") => transaction(store, &String::from_utf8_lossy(&request.body)),
        _ => (404, "{}".into()),
    }
}

fn transaction(store: &mut Items, body: &str) -> (u16, String) {
    let Some(call) = json::parse(body) else {
        return (400, "{}".into());
    };
    let current = |key: &str| store.items.get(key).map_or(0, |(revision, _)| *revision);
    let holds = |row: &Json| current(&row.text("key")) == row.number("revision");
    if !call.list("expect").iter().all(holds) {
        let rows = call.list("expect").iter().map(|row| {
            let key = row.text("key");
            item(&key, store.items.get(&key))
        });
        return (
            412,
            format!("{{\"items\":[{}]}}", rows.collect::<Vec<_>>().join(",")),
        );
    }
    let deletes = call.list("deletes");
    if !call.list("writes").is_empty() || !deletes.is_empty() {
        store.revision += 1;
    }
    for write in call.list("writes") {
        store
            .items
            .insert(write.text("key"), (store.revision, write.text("value")));
    }
    for key in deletes {
        if let Json::Text(key) = key {
            store.items.remove(key);
        }
    }
    (200, format!("{{\"revision\":{}}}", store.revision))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let hex = std::str::from_utf8(&bytes[at + 1..at + 3]).unwrap_or("");
            decoded.push(u8::from_str_radix(hex, 16).unwrap_or(b'?'));
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// The address of the duties: accepts each call unless its fence is lower than one seen before.
pub fn start_duties() -> SocketAddr {
    let highest: Mutex<BTreeMap<String, u64>> = Mutex::default();
    http::serve(move |request| {
        let fence = request
            .header("x-fencing-token")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let body = json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let subject = format!(
            "{} {} {}",
            request.path(),
            body.text("service"),
            body.text("zone")
        );
        let mut highest = highest.lock().expect("not poisoned");
        let seen = highest.entry(subject).or_default();
        if fence < *seen {
            return (409, "{}".into());
        }
        *seen = fence;
        (200, "{}".into())
    })
}
