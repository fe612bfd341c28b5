//! Client and message types of the platform's interfaces: key-value store,
//! runner list, orders and usage reports.
//!
//! All are HTTP/1.1 with JSON. A failed write is either certain not to have
//! taken effect ([`Answer::Refused`]) or may have ([`Answer::Lost`]). Only a
//! refused or timed-out connection, and an error status by which the service
//! rejects a request before it runs it, are certain.

use std::time::Duration;

use anyhow::{Context, Result};
use radishstair_core::record;
use radishstair_core::runner::Listing;
use radishstair_core::store::{Answer, Call, Entry};
use serde::{Serialize, de::DeserializeOwned};

/// Longest time for which the service holds a watch open.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time of any other call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

record! {
    /// Body of `POST /kv/swap`.
    pub struct Swap {
        /// Key.
        pub key: String,
        /// Version that the key must have; 0 if it must be absent.
        pub expect: u64,
        /// New value.
        pub value: String,
        /// Lease with which the key expires.
        #[serde(default)]
        pub lease: Option<u64>,
    }
}
record! {
    /// Body of `POST /kv/remove`.
    pub struct Remove {
        /// Key.
        pub key: String,
        /// Version that the key must have.
        pub expect: u64,
    }
}
record! {
    /// Body of `POST /kv/get`.
    pub struct Get {
        /// Key.
        pub key: String,
    }
}
record! {
    /// Body of `POST /kv/range` and, with a wait, of `POST /kv/watch`.
    pub struct Range {
        /// Prefix of the keys.
        pub prefix: String,
        /// Only keys that sort after this one.
        pub after: String,
        /// Largest number of keys in the answer.
        pub limit: u32,
        /// Time for which a watch waits for a change, in milliseconds.
        #[serde(default)]
        pub wait_ms: u64,
    }
}
record! {
    /// Answer to a write that took effect.
    pub struct Written {
        /// New version.
        pub version: u64,
    }
}
record! {
    /// A key with its value, in an answer.
    pub struct Item {
        /// Key.
        pub key: String,
        /// Version.
        pub version: u64,
        /// Value.
        pub value: String,
    }
}
record! {
    /// Answer to a read.
    pub struct Items {
        /// Keys in ascending order.
        pub items: Vec<Item>,
    }
}
record! {
    /// Body of `POST /lease/grant`; the answer is [`Written`] with the id.
    pub struct Grant {
        /// Lifetime of the lease, in milliseconds.
        pub ttl_ms: u64,
    }
}
record! {
    /// Body of `POST /lease/keep` and `POST /lease/revoke`.
    pub struct Lease {
        /// Id.
        pub id: u64,
    }
}
record! {
    /// Answer to `GET /hosts?after=REVISION`.
    pub struct RunnerList {
        /// Revision of the list.
        pub revision: u64,
        /// All runners; absent if nothing changed since `after`.
        pub runners: Option<Vec<Listing>>,
    }
}
record! {
    /// Body of `POST /usage`.
    pub struct Report {
        /// Identity of the sender, for the platform's own records.
        pub sender: String,
        /// Fencing number of the sender's duty lease.
        pub fence: u64,
        /// Sequence number of the sealed window.
        pub number: u64,
        /// Window that the report covers.
        pub window: u64,
        /// Usage by customer and class.
        pub lines: Vec<radishstair_core::usage::report::Line>,
    }
}

/// Response of the platform, before its body is parsed.
enum RawResponse {
    Body(u16, Vec<u8>),
    NotSent,
    Lost,
}

/// A blocking client of the platform; cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    base: String,
    agent: ureq::Agent,
}

impl Client {
    /// Creates a client of the platform at an IP address and port.
    pub fn new(address: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(Duration::from_millis(500)))
            .timeout_global(Some(CALL_TIMEOUT))
            .proxy(None)
            .build();
        Self {
            base: format!("http://{address}"),
            agent: config.new_agent(),
        }
    }

    /// Makes one call to the key-value store; `lease` applies to a write.
    pub fn call_store(&self, call: &Call, lease: Option<u64>) -> Answer {
        match call {
            Call::CompareAndSwap { key, expect, value } => {
                let body = Swap {
                    key: key.clone(),
                    expect: *expect,
                    value: value.clone(),
                    lease,
                };
                write_answer(key, self.post("/kv/swap", &body, CALL_TIMEOUT))
            }
            Call::Remove { key, expect } => {
                let body = Remove {
                    key: key.clone(),
                    expect: *expect,
                };
                write_answer(key, self.post("/kv/remove", &body, CALL_TIMEOUT))
            }
            // This platform has no transaction over several keys.
            Call::Batch { .. } => Answer::Refused,
            // The platform answers with the current and complete value, which
            // also satisfies stale and conditional reads.
            Call::Get { key } | Call::GetStale { key } | Call::GetIfChanged { key, .. } => {
                read_answer(self.post("/kv/get", &Get { key: key.clone() }, CALL_TIMEOUT))
            }
            Call::Range { prefix, after, limit } => read_answer(self.post(
                "/kv/range",
                &range_request(prefix, after, *limit, 0),
                CALL_TIMEOUT,
            )),
            Call::Watch { prefix, after } => {
                let body = range_request(prefix, after, 1, WATCH_TIMEOUT.as_millis() as u64);
                read_answer(self.post("/kv/watch", &body, WATCH_TIMEOUT + CALL_TIMEOUT))
            }
        }
    }

    /// Grants a lease; returns its id, or `None` if the call failed.
    pub fn grant_lease(&self, ttl: Duration) -> Option<u64> {
        let body = Grant {
            ttl_ms: ttl.as_millis() as u64,
        };
        match self.post("/lease/grant", &body, CALL_TIMEOUT) {
            RawResponse::Body(200, body) => {
                serde_json::from_slice::<Written>(&body).ok().map(|id| id.version)
            }
            _ => None,
        }
    }

    /// Reads the runner list, if it changed since the revision `after`.
    ///
    /// # Errors
    ///
    /// When the platform cannot be reached or its answer is not a runner list.
    pub fn runners(&self, after: u64) -> Result<RunnerList> {
        let url = format!("{}/hosts?after={after}", self.base);
        let mut answer = self.agent.get(&url).call().context("reading the runner list")?;
        anyhow::ensure!(
            answer.status() == 200,
            "reading the runner list: status {}",
            answer.status()
        );
        let body = answer
            .body_mut()
            .read_to_vec()
            .context("reading the runner list")?;
        serde_json::from_slice(&body).context("parsing the runner list")
    }

    /// Sends an order; true if the platform accepted it.
    pub fn send_order(&self, order: &radishstair_core::order::Order) -> bool {
        matches!(
            self.post("/orders", order, CALL_TIMEOUT),
            RawResponse::Body(200, _)
        )
    }

    /// Sends a usage report; true if the platform accepted it.
    pub fn send_report(&self, report: &Report) -> bool {
        matches!(
            self.post("/usage", report, CALL_TIMEOUT),
            RawResponse::Body(200, _)
        )
    }

    /// Sends a JSON body to a path and parses the JSON answer.
    ///
    /// # Errors
    ///
    /// When the call fails, or its answer has another status or type.
    pub fn post_json<B: Serialize, A: DeserializeOwned>(&self, path: &str, body: &B) -> Result<A> {
        match self.post(path, body, CALL_TIMEOUT) {
            RawResponse::Body(200, body) => {
                serde_json::from_slice(&body).with_context(|| format!("reading the answer of {path}"))
            }
            RawResponse::Body(status, _) => anyhow::bail!("{path}: status {status}"),
            RawResponse::NotSent => anyhow::bail!("{path}: cannot connect to the platform"),
            RawResponse::Lost => anyhow::bail!("{path}: no answer from the platform"),
        }
    }

    fn post<B: Serialize>(&self, path: &str, body: &B, limit: Duration) -> RawResponse {
        let Ok(json) = serde_json::to_vec(body) else {
            return RawResponse::NotSent;
        };
        let request = self
            .agent
            .post(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .config()
            .timeout_global(Some(limit))
            .build();
        match request.send(&json[..]) {
            Ok(mut answer) => {
                let status = answer.status().as_u16();
                let body = answer
                    .body_mut()
                    .with_config()
                    .limit(8 * 1024 * 1024)
                    .read_to_vec();
                body.map_or(RawResponse::Lost, |body| RawResponse::Body(status, body))
            }
            Err(ureq::Error::Io(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused => {
                RawResponse::NotSent
            }
            Err(ureq::Error::Timeout(ureq::Timeout::Connect)) => RawResponse::NotSent,
            Err(_) => RawResponse::Lost,
        }
    }
}

fn range_request(prefix: &str, after: &str, limit: u32, wait_ms: u64) -> Range {
    Range {
        prefix: prefix.into(),
        after: after.into(),
        limit,
        wait_ms,
    }
}

fn to_entry(item: Item) -> Entry {
    Entry {
        key: item.key,
        version: item.version,
        value: item.value,
    }
}

fn write_answer(key: &str, response: RawResponse) -> Answer {
    match response {
        RawResponse::Body(200, body) => match serde_json::from_slice::<Written>(&body) {
            Ok(written) => Answer::Written(written.version),
            Err(_) => Answer::Lost,
        },
        RawResponse::Body(409, body) => match serde_json::from_slice::<Items>(&body) {
            Ok(found) => Answer::Conflict(
                found
                    .items
                    .into_iter()
                    .next()
                    .map_or_else(|| absent_entry(key), to_entry),
            ),
            Err(_) => Answer::Lost,
        },
        // The service sends these statuses before it changes anything.
        RawResponse::Body(400 | 413 | 429, _) | RawResponse::NotSent => Answer::Refused,
        RawResponse::Body(..) | RawResponse::Lost => Answer::Lost,
    }
}

fn absent_entry(key: &str) -> Entry {
    Entry {
        key: key.into(),
        version: 0,
        value: String::new(),
    }
}

fn read_answer(response: RawResponse) -> Answer {
    match response {
        RawResponse::Body(200, body) => match serde_json::from_slice::<Items>(&body) {
            Ok(found) => Answer::Found(found.items.into_iter().map(to_entry).collect()),
            Err(_) => Answer::Lost,
        },
        RawResponse::Body(400 | 413 | 429, _) | RawResponse::NotSent => Answer::Refused,
        RawResponse::Body(..) | RawResponse::Lost => Answer::Lost,
    }
}
