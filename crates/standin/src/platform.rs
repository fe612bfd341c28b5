//! Stand-in for the platform: key-value service, runner list, orders and usage
//! reports.
//!
//! All ports serve the same state, so that a test can cut off the zone that uses
//! one port while the others continue. The server is oxhttp: it runs a thread for
//! each connection, which is enough for the few clients of a test.

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

/// Largest value of a key.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

#[serde_as]
/// Settings of the stand-in.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// IP addresses and ports to listen on; all serve the same state.
    pub listen: Vec<SocketAddr>,
    /// Maximum number of writes per second; further ones get status 429.
    #[serde(default = "default_writes")]
    pub writes: u32,
    /// Maximum number of reads per second, including watches; further ones get
    /// status 429.
    #[serde(default = "default_reads")]
    pub reads: u32,
    /// Time until a runner list that a test sets is visible.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_lag")]
    pub lag: Duration,
    /// Time from an order until the list shows its effect.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_lag")]
    pub boot: Duration,
    /// Runners in the list at the start.
    #[serde(default)]
    pub runners: Vec<Listing>,
    /// Runners that an order may add to the list or remove from it.
    #[serde(default)]
    pub spares: Vec<Listing>,
    /// Pools whose orders are refused if their fencing number is lower than that
    /// of the last accepted order for the pool and zone.
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
    /// Behaviour of a port.
    #[derive(Copy, Eq, Default)]
    pub enum Mode {
        /// Calls are carried out.
        #[default]
        Up,
        /// No call is carried out; the response has status 500.
        Down,
        /// Calls take effect, but their responses are lost: status 500 instead.
        Lossy,
        /// Writes take effect; reads return the values at the start of the fault.
        Stale,
    }
}

record! {
    /// A fault to inject at one port or at all.
    #[derive(Default)]
    pub struct Fault {
        /// Index of the port in the settings; all ports if absent.
        #[serde(default)]
        pub port: Option<usize>,
        /// Behaviour of the port.
        pub mode: Mode,
        /// Number of calls affected; unlimited if absent.
        #[serde(default)]
        pub calls: Option<u32>,
        /// Additional delay of a call, in milliseconds.
        #[serde(default)]
        pub delay_ms: u64,
        /// Prefix of the paths of affected calls.
        #[serde(default)]
        pub path: String,
        /// Text contained in the bodies of affected calls.
        #[serde(default)]
        pub text: String,
    }
}

record! {
    /// Calls that the platform received, recorded for tests to check.
    #[derive(Default)]
    pub struct Log {
        /// Orders, and whether each was accepted.
        pub orders: Vec<(Order, bool)>,
        /// Usage reports, in order of arrival.
        pub reports: Vec<Report>,
        /// Writes to keys under `duty/`, in order of effect.
        pub duties: Vec<Item>,
        /// Number of calls by path.
        pub calls: BTreeMap<String, u64>,
    }
}

/// Value of a key.
#[derive(Clone, Debug)]
struct Value {
    version: u64,
    value: String,
    lease: Option<u64>,
}

#[derive(Debug, Default)]
struct State {
    keys: BTreeMap<String, Value>,
    /// Copy of `keys` from the start of a [`Mode::Stale`] fault.
    stale_keys: Option<BTreeMap<String, Value>>,
    /// Last number given to a write or a lease.
    last_version: u64,
    /// Lifetime and expiry of each lease, by id.
    leases: BTreeMap<u64, (Duration, Instant)>,
    /// Runner lists by revision, each with the time from which it is visible.
    listings: Vec<(Instant, u64, Vec<Listing>)>,
    /// Revision of the newest runner list.
    last_revision: u64,
    /// Fencing number of the last accepted order, by pool and zone.
    fences: BTreeMap<(String, String), u64>,
    /// Faults by index of the port.
    faults: BTreeMap<usize, Fault>,
    log: Log,
    /// Current second since the start, and the writes and reads in it.
    call_counts: (u64, u32, u32),
}

struct Platform {
    settings: Settings,
    state: Mutex<State>,
    /// Notified when a key is written, for watches.
    key_written: Condvar,
    started: Instant,
}

/// Status and body of a response.
type Reply = (u16, serde_json::Value);

/// Starts the servers and returns without waiting for them.
///
/// # Errors
///
/// When a port cannot be bound.
pub fn start(settings: Settings) -> Result<()> {
    let platform = Arc::new(Platform {
        state: Mutex::default(),
        key_written: Condvar::new(),
        started: Instant::now(),
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
            return build_response(self.handle_control(&path, &body));
        }
        let fault = self.fault_for(port, &path, &body);
        std::thread::sleep(Duration::from_millis(fault.delay_ms));
        if fault.mode == Mode::Down {
            return build_response((500, serde_json::json!({})));
        }
        let reply = self.handle_call(&path, &query, &body, fault.mode == Mode::Stale);
        match fault.mode {
            Mode::Lossy => build_response((500, serde_json::json!({}))),
            _ => build_response(reply),
        }
    }

    /// Counts a call, and returns the fault to inject into it.
    fn fault_for(&self, port: usize, path: &str, body: &[u8]) -> Fault {
        let mut state = self.lock();
        *state.log.calls.entry(path.to_string()).or_default() += 1;
        let Some(fault) = state.faults.get_mut(&port) else {
            return Fault::default();
        };
        let body_text = String::from_utf8_lossy(body);
        if !path.starts_with(&fault.path) || !body_text.contains(&fault.text) || fault.calls == Some(0) {
            return Fault::default();
        }
        if let Some(calls) = &mut fault.calls {
            *calls -= 1;
        }
        fault.clone()
    }

    /// Carries out a request of a test.
    fn handle_control(&self, path: &str, body: &[u8]) -> Reply {
        let mut state = self.lock();
        match path {
            "/control/fault" => {
                let Ok(fault) = serde_json::from_slice::<Fault>(body) else {
                    return (400, serde_json::json!({ "error": "not a fault" }));
                };
                state.stale_keys = (fault.mode == Mode::Stale).then(|| state.keys.clone());
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

    /// Carries out a request to the platform.
    fn handle_call(&self, path: &str, query: &str, body: &[u8], stale: bool) -> Reply {
        let is_write = matches!(
            path,
            "/kv/swap" | "/kv/remove" | "/lease/grant" | "/lease/keep" | "/lease/revoke"
        );
        if path.starts_with("/kv/") || path.starts_with("/lease/") {
            if !self.within_rate_limit(is_write) {
                return (429, serde_json::json!({ "error": "rate limit" }));
            }
            self.expire_leases();
        }
        match path {
            "/kv/swap" => parse_body(body, |swap| self.compare_and_swap(swap)),
            "/kv/remove" => parse_body(body, |remove| self.remove(remove)),
            "/kv/get" => parse_body(body, |get: Get| self.get(&get.key, stale)),
            "/kv/range" => parse_body(body, |range| (200, serde_json::json!(self.range(&range, stale)))),
            "/kv/watch" => parse_body(body, |range| self.watch(&range, stale)),
            "/lease/grant" => parse_body(body, |grant| self.grant_lease(&grant)),
            "/lease/keep" => parse_body(body, |lease: Lease| self.renew_lease(lease.id)),
            "/lease/revoke" => parse_body(body, |lease: Lease| self.revoke_lease(lease.id)),
            "/hosts" => self.list_runners(query),
            "/orders" => parse_body(body, |order| self.handle_order(order)),
            "/usage" => parse_body(body, |report| self.handle_report(report)),
            _ => (404, serde_json::json!({ "error": "not found" })),
        }
    }

    /// Counts a call; whether the limit for the current second allows it.
    fn within_rate_limit(&self, is_write: bool) -> bool {
        let mut state = self.lock();
        let second = self.started.elapsed().as_secs();
        if state.call_counts.0 != second {
            state.call_counts = (second, 0, 0);
        }
        if is_write {
            state.call_counts.1 += 1;
            state.call_counts.1 <= self.settings.writes
        } else {
            state.call_counts.2 += 1;
            state.call_counts.2 <= self.settings.reads
        }
    }

    /// Adds a runner list that becomes visible after a delay.
    fn publish(&self, state: &mut State, runners: Vec<Listing>, delay: Duration) {
        state.last_revision += 1;
        let revision = state.last_revision;
        state.listings.push((Instant::now() + delay, revision, runners));
    }

    /// Newest visible runner list, unless the caller already has its revision.
    fn list_runners(&self, query: &str) -> Reply {
        let after: u64 = query
            .strip_prefix("after=")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let now = Instant::now();
        let state = self.lock();
        let visible = state
            .listings
            .iter()
            .rev()
            .find(|(visible_from, ..)| *visible_from <= now);
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

    fn handle_order(&self, order: Order) -> Reply {
        let mut state = self.lock();
        let pool_zone = (order.pool.clone(), order.zone.clone());
        let last_fence = state.fences.get(&pool_zone).copied().unwrap_or(0);
        let accepted = !self.settings.fenced.contains(&order.pool) || order.fence >= last_fence;
        state.log.orders.push((order.clone(), accepted));
        if !accepted {
            return (409, serde_json::json!({ "error": "old fencing number" }));
        }
        state.fences.insert(pool_zone, order.fence);
        let runners = self.list_after_order(&state, &order);
        self.publish(&mut state, runners, self.settings.boot);
        (200, serde_json::json!({}))
    }

    /// Runner list after an order: spares of the pool and zone are added up to the
    /// count, or removed down to it, the last in the list first.
    fn list_after_order(&self, state: &State, order: &Order) -> Vec<Listing> {
        let mut runners = state
            .listings
            .last()
            .map_or(Vec::new(), |(.., runners)| runners.clone());
        let matches_order = |runner: &Listing| runner.pool == order.pool && runner.zone == order.zone;
        let mut count = runners.iter().filter(|runner| matches_order(runner)).count();
        for spare in self.settings.spares.iter().filter(|spare| matches_order(spare)) {
            if count < order.count as usize && !runners.iter().any(|runner| runner.name == spare.name) {
                runners.push(spare.clone());
                count += 1;
            }
        }
        let is_spare = |runner: &Listing| self.settings.spares.iter().any(|spare| spare.name == runner.name);
        while count > order.count as usize {
            let Some(index) = runners
                .iter()
                .rposition(|runner| matches_order(runner) && is_spare(runner))
            else {
                break;
            };
            runners.remove(index);
            count -= 1;
        }
        runners
    }

    fn handle_report(&self, report: Report) -> Reply {
        self.lock().log.reports.push(report);
        (200, serde_json::json!({}))
    }
}

/// Parses a body as JSON and handles it.
fn parse_body<T: serde::de::DeserializeOwned>(body: &[u8], handle: impl FnOnce(T) -> Reply) -> Reply {
    match serde_json::from_slice(body) {
        Ok(value) => handle(value),
        Err(err) => (400, serde_json::json!({ "error": err.to_string() })),
    }
}

fn build_response((status, body): Reply) -> Response<Body> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Response::builder()
        .status(status)
        .header("content-type", "application/json")
        .body(Body::from(body.to_string()))
        .unwrap_or_else(|_| Response::new(Body::empty()))
}
