//! The platform's published interfaces: key-value service, host list,
//! ordering and usage.
//!
//! All are HTTP/1.1 with JSON. What matters to callers is which failures leave
//! a write undone for certain ([`Answer::Refused`]) and which do not
//! ([`Answer::Lost`]): only a refused connection or an error that the service
//! itself spelled out counts as undone.

use std::time::Duration;

use anyhow::{Context, Result};
use radishstair_core::record;
use radishstair_core::runner::Listing;
use radishstair_core::store::{Answer, Call, Entry};
use serde::{Serialize, de::DeserializeOwned};

/// Longest time that a watch waits at the service.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for any other answer.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);

record! {
    /// Body of `POST /kv/swap`.
    pub struct Swap {
        /// Key.
        pub key: String,
        /// Version that must stand; 0 for absent.
        pub expect: u64,
        /// New value.
        pub value: String,
        /// Lease that takes the key along when it ends.
        #[serde(default)]
        pub lease: Option<u64>,
    }
}
record! {
    /// Body of `POST /kv/remove`.
    pub struct Remove {
        /// Key.
        pub key: String,
        /// Version that must stand.
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
        /// Prefix.
        pub prefix: String,
        /// Only keys that sort behind this one.
        pub after: String,
        /// Most keys.
        pub limit: u32,
        /// How long a watch waits, in milliseconds.
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
    /// A key as the service gives it.
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
    /// Answer to reads.
    pub struct Items {
        /// Keys in order.
        pub items: Vec<Item>,
    }
}
record! {
    /// Body of `POST /lease/grant`; the answer is [`Written`] with the id.
    pub struct Grant {
        /// Life, in milliseconds.
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
        /// All runners; absent when nothing changed since `after`.
        pub runners: Option<Vec<Listing>>,
    }
}
record! {
    /// Body of `POST /usage`.
    pub struct Report {
        /// Who reports; for the platform's own records.
        pub sender: String,
        /// Fencing number of the reporter.
        pub fence: u64,
        /// Place in the chain of windows.
        pub number: u64,
        /// Window.
        pub window: u64,
        /// Figures.
        pub lines: Vec<radishstair_core::usage::report::Line>,
    }
}

/// How an answer came out, short of a typed body.
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
    /// A client of the service at an IP address and port.
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

    /// Makes one call to the key-value service.
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
            // The platform's own answers are never old, and always whole.
            Call::Get { key } | Call::GetStale { key } | Call::GetIfChanged { key, .. } => {
                read_answer(self.post("/kv/get", &Get { key: key.clone() }, CALL_TIMEOUT))
            }
            Call::Range { prefix, after, limit } => {
                read_answer(self.post("/kv/range", &range(prefix, after, *limit, 0), CALL_TIMEOUT))
            }
            Call::Watch { prefix, after } => {
                let body = range(prefix, after, 1, WATCH_TIMEOUT.as_millis() as u64);
                read_answer(self.post("/kv/watch", &body, WATCH_TIMEOUT + CALL_TIMEOUT))
            }
        }
    }

    /// A new lease.
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

    /// The host list, if it changed since a revision.
    pub fn runners(&self, after: u64) -> Result<RunnerList> {
        let url = format!("{}/hosts?after={after}", self.base);
        let mut answer = self.agent.get(&url).call().context("reading the host list")?;
        anyhow::ensure!(
            answer.status() == 200,
            "the host list answered {}",
            answer.status()
        );
        let body = answer.body_mut().read_to_vec().context("reading the host list")?;
        serde_json::from_slice(&body).context("reading the host list")
    }

    /// Sends an order; true if it was accepted.
    pub fn send_order(&self, order: &radishstair_core::order::Order) -> bool {
        matches!(
            self.post("/orders", order, CALL_TIMEOUT),
            RawResponse::Body(200, _)
        )
    }

    /// Sends a report; true if it was accepted.
    pub fn send_report(&self, report: &Report) -> bool {
        matches!(
            self.post("/usage", report, CALL_TIMEOUT),
            RawResponse::Body(200, _)
        )
    }

    /// Any other call, with typed bodies.
    pub fn post_json<B: Serialize, A: DeserializeOwned>(&self, path: &str, body: &B) -> Result<A> {
        match self.post(path, body, CALL_TIMEOUT) {
            RawResponse::Body(200, body) => {
                serde_json::from_slice(&body).with_context(|| format!("reading the answer of {path}"))
            }
            RawResponse::Body(status, _) => anyhow::bail!("{path} answered {status}"),
            RawResponse::NotSent => anyhow::bail!("{path}: cannot connect"),
            RawResponse::Lost => anyhow::bail!("{path}: no answer"),
        }
    }

    fn post<B: Serialize>(&self, path: &str, body: &B, limit: Duration) -> RawResponse {
        let Ok(text) = serde_json::to_vec(body) else {
            return RawResponse::NotSent;
        };
        let request = self
            .agent
            .post(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .config()
            .timeout_global(Some(limit))
            .build();
        match request.send(&text[..]) {
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

fn range(prefix: &str, after: &str, limit: u32, wait_ms: u64) -> Range {
    Range {
        prefix: prefix.into(),
        after: after.into(),
        limit,
        wait_ms,
    }
}

fn entry(item: Item) -> Entry {
    Entry {
        key: item.key,
        version: item.version,
        value: item.value,
    }
}

fn write_answer(key: &str, raw: RawResponse) -> Answer {
    match raw {
        RawResponse::Body(200, body) => match serde_json::from_slice::<Written>(&body) {
            Ok(written) => Answer::Written(written.version),
            Err(_) => Answer::Lost,
        },
        RawResponse::Body(409, body) => match serde_json::from_slice::<Items>(&body) {
            Ok(found) => Answer::Conflict(found.items.into_iter().next().map_or_else(|| absent(key), entry)),
            Err(_) => Answer::Lost,
        },
        // The service spells these out before it touches anything.
        RawResponse::Body(400 | 413 | 429, _) | RawResponse::NotSent => Answer::Refused,
        RawResponse::Body(..) | RawResponse::Lost => Answer::Lost,
    }
}

fn absent(key: &str) -> Entry {
    Entry {
        key: key.into(),
        version: 0,
        value: String::new(),
    }
}

fn read_answer(raw: RawResponse) -> Answer {
    match raw {
        RawResponse::Body(200, body) => match serde_json::from_slice::<Items>(&body) {
            Ok(found) => Answer::Found(found.items.into_iter().map(entry).collect()),
            Err(_) => Answer::Lost,
        },
        RawResponse::Body(400 | 413 | 429, _) | RawResponse::NotSent => Answer::Refused,
        RawResponse::Body(..) | RawResponse::Lost => Answer::Lost,
    }
}
