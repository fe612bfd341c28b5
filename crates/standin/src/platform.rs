//! The platform: key-value service, host list, ordering and usage.
//!
//! One state behind several ports, so that one zone can be cut off while the
//! others go on. Built on oxhttp, whose thread a connection suits the few
//! callers of a test.

mod store;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use oxhttp::Server;
use oxhttp::model::{Body, Request, Response, StatusCode};
use radishstair_core::order::Order;
use radishstair_core::record;
use radishstair_core::runner::Listing;
use radishstair_core::units::DurationText;
use radishstair_wire::platform::{Get, Item, Lease, Report, RunnerList};
use serde_with::serde_as;

/// Largest value, in bytes.
const VALUE_BYTES: usize = 1024 * 1024;

#[serde_as]
/// Settings of the stand-in.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// IP addresses and ports, all with the same state behind them.
    pub listen: Vec<SocketAddr>,
    /// Writes a second; more are refused.
    #[serde(default = "default_writes")]
    pub writes: u32,
    /// Reads a second, waiting watches included; more are refused.
    #[serde(default = "default_reads")]
    pub reads: u32,
    /// How late the host list is.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_lag")]
    pub lag: Duration,
    /// Time from an order to its runners' being listed.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_lag")]
    pub boot: Duration,
    /// Runners that are listed from the start.
    #[serde(default)]
    pub runners: Vec<Listing>,
    /// Runners that an order may add.
    #[serde(default)]
    pub spares: Vec<Listing>,
    /// Pools whose orders are checked for fencing numbers.
    #[serde(default)]
    pub fenced: Vec<String>,
}

fn default_writes() -> u32 {
    400
}

fn default_reads() -> u32 {
    2_000
}

fn default_lag() -> Duration {
    Duration::from_millis(500)
}

record! {
    /// How a port behaves.
    #[derive(Copy, Eq, Default)]
    pub enum Mode {
        /// As it should.
        #[default]
        Up,
        /// No call is carried out.
        Down,
        /// Calls take effect and their answers are lost.
        Lossy,
        /// Writes take effect; reads give what stood when this began.
        Stale,
    }
}

record! {
    /// A fault of one port, or of all.
    #[derive(Default)]
    pub struct Fault {
        /// Which port of the settings; all when absent.
        #[serde(default)]
        pub port: Option<usize>,
        /// How it behaves.
        pub mode: Mode,
        /// Calls that it applies to; all that come when absent.
        #[serde(default)]
        pub calls: Option<u32>,
        /// Extra time a call, in milliseconds.
        #[serde(default)]
        pub delay_ms: u64,
        /// Only calls whose path starts so.
        #[serde(default)]
        pub path: String,
        /// Only calls whose body holds this text.
        #[serde(default)]
        pub text: String,
    }
}

record! {
    /// What was asked of the platform, for checkers.
    #[derive(Default)]
    pub struct Log {
        /// Orders, with whether they were accepted.
        pub orders: Vec<(Order, bool)>,
        /// Usage reports.
        pub reports: Vec<Report>,
        /// Writes to keys under `duty/`, in order of effect.
        pub duties: Vec<Item>,
        /// Calls by path.
        pub calls: BTreeMap<String, u64>,
    }
}

#[derive(Clone, Debug)]
struct Value {
    version: u64,
    value: String,
    lease: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    keys: BTreeMap<String, Value>,
    stale: Option<BTreeMap<String, Value>>,
    version: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    list: Vec<(Instant, u64, Vec<Listing>)>,
    revision: u64,
    fences: BTreeMap<(String, String), u64>,
    faults: BTreeMap<usize, Fault>,
    log: Log,
    second: (u64, u32, u32),
}

struct Platform {
    settings: Settings,
    state: Mutex<State>,
    changed: Condvar,
    began: Instant,
}

type Reply = (u16, serde_json::Value);

/// Starts serving; returns at once.
///
/// # Errors
///
/// When a port cannot be bound.
pub fn start(settings: Settings) -> Result<()> {
    let platform = Arc::new(Platform {
        state: Mutex::default(),
        changed: Condvar::new(),
        began: Instant::now(),
        settings: settings.clone(),
    });
    let runners = settings.runners.clone();
    platform.publish(&mut platform.lock(), runners, Duration::ZERO);
    for (port, listen) in settings.listen.iter().enumerate() {
        let platform = platform.clone();
        Server::new(move |request| platform.serve(port, request))
            .bind(*listen)
            .with_global_timeout(Duration::from_secs(60))
            .with_max_concurrent_connections(512)
            .spawn()
            .with_context(|| format!("listening on {listen}"))?;
        tracing::info!(event = "listening", address = %listen);
    }
    Ok(())
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn serve(&self, port: usize, request: &mut Request<Body>) -> Response<Body> {
        let path = request.uri().path().to_string();
        let query = request.uri().query().unwrap_or_default().to_string();
        let body = std::mem::take(request.body_mut()).to_vec().unwrap_or_default();
        if path.starts_with("/control/") || path == "/healthz" {
            return answer(self.control(&path, &body));
        }
        let fault = self.fault(port, &path, &body);
        std::thread::sleep(Duration::from_millis(fault.delay_ms));
        if fault.mode == Mode::Down {
            return answer((500, serde_json::json!({})));
        }
        let reply = self.call(&path, &query, &body, fault.mode == Mode::Stale);
        match fault.mode {
            Mode::Lossy => answer((500, serde_json::json!({}))),
            _ => answer(reply),
        }
    }

    fn fault(&self, port: usize, path: &str, body: &[u8]) -> Fault {
        let mut state = self.lock();
        *state.log.calls.entry(path.to_string()).or_default() += 1;
        let Some(fault) = state.faults.get_mut(&port) else {
            return Fault::default();
        };
        let held = String::from_utf8_lossy(body);
        if !path.starts_with(&fault.path) || !held.contains(&fault.text) || fault.calls == Some(0) {
            return Fault::default();
        }
        if let Some(calls) = &mut fault.calls {
            *calls -= 1;
        }
        fault.clone()
    }

    fn control(&self, path: &str, body: &[u8]) -> Reply {
        let mut state = self.lock();
        match path {
            "/control/fault" => {
                let Ok(fault) = serde_json::from_slice::<Fault>(body) else {
                    return (400, serde_json::json!({ "error": "not a fault" }));
                };
                state.stale = (fault.mode == Mode::Stale).then(|| state.keys.clone());
                for port in 0..self.settings.listen.len() {
                    if fault.port.is_none_or(|only| only == port) {
                        state.faults.insert(port, fault.clone());
                    }
                }
            }
            "/control/log" => return (200, serde_json::json!(state.log)),
            "/control/runners" => {
                let Ok(runners) = serde_json::from_slice(body) else {
                    return (400, serde_json::json!({ "error": "not a list of runners" }));
                };
                self.publish(&mut state, runners, self.settings.lag);
            }
            _ => {}
        }
        (200, serde_json::json!({}))
    }

    fn call(&self, path: &str, query: &str, body: &[u8], stale: bool) -> Reply {
        let write = matches!(
            path,
            "/kv/swap" | "/kv/remove" | "/lease/grant" | "/lease/keep" | "/lease/revoke"
        );
        if path.starts_with("/kv/") || path.starts_with("/lease/") {
            if !self.admit(write) {
                return (429, serde_json::json!({ "error": "rate limit" }));
            }
            self.expire();
        }
        match path {
            "/kv/swap" => typed(body, |swap| self.swap(swap)),
            "/kv/remove" => typed(body, |remove| self.remove(remove)),
            "/kv/get" => typed(body, |get: Get| self.get(&get.key, stale)),
            "/kv/range" => typed(body, |range| (200, serde_json::json!(self.range(&range, stale)))),
            "/kv/watch" => typed(body, |range| self.watch(&range, stale)),
            "/lease/grant" => typed(body, |grant| self.grant(&grant)),
            "/lease/keep" => typed(body, |lease: Lease| self.keep(lease.id)),
            "/lease/revoke" => typed(body, |lease: Lease| self.revoke(lease.id)),
            "/hosts" => self.hosts(query),
            "/orders" => typed(body, |order| self.order(order)),
            "/usage" => typed(body, |report| self.report(report)),
            _ => (404, serde_json::json!({ "error": "not found" })),
        }
    }

    /// Counts calls within the current second.
    fn admit(&self, write: bool) -> bool {
        let mut state = self.lock();
        let second = self.began.elapsed().as_secs();
        if state.second.0 != second {
            state.second = (second, 0, 0);
        }
        if write {
            state.second.1 += 1;
            state.second.1 <= self.settings.writes
        } else {
            state.second.2 += 1;
            state.second.2 <= self.settings.reads
        }
    }

    /// A new list, to be seen after a while.
    fn publish(&self, state: &mut State, runners: Vec<Listing>, after: Duration) {
        state.revision += 1;
        let revision = state.revision;
        state.list.push((Instant::now() + after, revision, runners));
    }

    fn hosts(&self, query: &str) -> Reply {
        let after: u64 = query
            .strip_prefix("after=")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let now = Instant::now();
        let state = self.lock();
        let visible = state.list.iter().rev().find(|(when, ..)| *when <= now);
        let hosts = match visible {
            Some((_, revision, runners)) => RunnerList {
                revision: *revision,
                runners: (*revision != after).then(|| runners.clone()),
            },
            None => RunnerList {
                revision: 0,
                runners: None,
            },
        };
        (200, serde_json::json!(hosts))
    }

    fn order(&self, order: Order) -> Reply {
        let mut state = self.lock();
        let place = (order.pool.clone(), order.zone.clone());
        let newest = state.fences.get(&place).copied().unwrap_or(0);
        let accepted = !self.settings.fenced.contains(&order.pool) || order.fence >= newest;
        state.log.orders.push((order.clone(), accepted));
        if !accepted {
            return (409, serde_json::json!({ "error": "old fencing number" }));
        }
        state.fences.insert(place, order.fence);
        let runners = self.ordered(&state, &order);
        self.publish(&mut state, runners, self.settings.boot);
        (200, serde_json::json!({}))
    }

    /// The list after an order: spares join until the count is met, and the
    /// last of the pool in that zone go.
    fn ordered(&self, state: &State, order: &Order) -> Vec<Listing> {
        let mut runners = state
            .list
            .last()
            .map_or(Vec::new(), |(.., runners)| runners.clone());
        let belongs = |item: &Listing| item.pool == order.pool && item.zone == order.zone;
        let mut have = runners.iter().filter(|item| belongs(item)).count();
        for spare in self.settings.spares.iter().filter(|item| belongs(item)) {
            if have < order.count as usize && !runners.iter().any(|item| item.name == spare.name) {
                runners.push(spare.clone());
                have += 1;
            }
        }
        let spare = |item: &Listing| self.settings.spares.iter().any(|spare| spare.name == item.name);
        while have > order.count as usize {
            let Some(at) = runners.iter().rposition(|item| belongs(item) && spare(item)) else {
                break;
            };
            runners.remove(at);
            have -= 1;
        }
        runners
    }

    fn report(&self, report: Report) -> Reply {
        self.lock().log.reports.push(report);
        (200, serde_json::json!({}))
    }
}

fn typed<T: serde::de::DeserializeOwned>(body: &[u8], handle: impl FnOnce(T) -> Reply) -> Reply {
    match serde_json::from_slice(body) {
        Ok(value) => handle(value),
        Err(err) => (400, serde_json::json!({ "error": err.to_string() })),
    }
}

fn answer((status, body): Reply) -> Response<Body> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(Body::from(body.to_string()))
        .unwrap_or_else(|_| Response::new(Body::empty()))
}
