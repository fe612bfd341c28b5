//! A plain service whose calls may not be repeated: it runs what it gets.
//!
//! It does not deduplicate. Its history says how often it ran each body, which
//! is what an at-most-once checker needs to know.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use hyper::{Method, Request, body::Incoming};
use radishstair_core::record;
use radishstair_core::units::DurationText;
use radishstair_wire::http;
use serde_with::serde_as;

use crate::server::{self, Answer, Disconnect, header, json};

#[serde_as]
/// Settings of the stand-in.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// IP address and port.
    pub listen: SocketAddr,
    /// Time that a call takes.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_delay")]
    pub delay: Duration,
}

fn default_delay() -> Duration {
    Duration::from_millis(15)
}

record! {
    /// One run.
    pub struct Run {
        /// Path.
        pub path: String,
        /// Request id that came with it.
        pub request: String,
        /// Body.
        pub body: serde_json::Value,
        /// Whether any header carried a caller's key.
        pub saw_key: bool,
    }
}

record! {
    /// Ways to fail, for the calls that come next.
    #[derive(Default)]
    pub struct Fault {
        /// Time that a call takes instead, in milliseconds.
        #[serde(default)]
        pub delay_ms: Option<u64>,
        /// Calls to run and then cut without an answer.
        #[serde(default)]
        pub cut_after: u32,
        /// Calls to cut before they run.
        #[serde(default)]
        pub cut_before: u32,
        /// Calls answered under another request's id.
        #[serde(default)]
        pub cross: u32,
        /// Whether answers carry the notice of leaving.
        #[serde(default)]
        pub leaving: bool,
    }
}

#[derive(Debug, Default)]
struct State {
    runs: Vec<Run>,
    fault: Fault,
}

/// Serves until the process ends.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn run(settings: Settings) -> Result<()> {
    let state = Arc::new(Mutex::new(State::default()));
    let listen = settings.listen;
    server::run(listen, move |request| {
        handle(settings.clone(), state.clone(), request)
    })
    .await
}

async fn handle(settings: Settings, state: Arc<Mutex<State>>, request: Request<Incoming>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => Ok(json(200, &serde_json::json!({}))),
        (&Method::GET, "/control/log") => {
            let runs = serde_json::json!({ "runs": lock(&state).runs });
            Ok(json(200, &runs))
        }
        (&Method::POST, "/control/fault") => {
            let fault = serde_json::from_slice(&server::read(request).await).unwrap_or_default();
            lock(&state).fault = fault;
            Ok(json(200, &serde_json::json!({})))
        }
        (&Method::POST, _) => call(&settings, &state, request).await,
        _ => Ok(json(404, &serde_json::json!({ "error": "not found" }))),
    }
}

async fn call(settings: &Settings, state: &Mutex<State>, request: Request<Incoming>) -> Answer {
    let id = header(&request, http::REQUEST_ID);
    let path = request.uri().path().to_string();
    let saw_key = request.headers().contains_key("authorization");
    let text = server::read(request).await;
    let body: serde_json::Value = serde_json::from_slice(&text).unwrap_or_default();
    let (delay, cut, entry, cross, leaving) = {
        let mut state = lock(state);
        if take(&mut state.fault.cut_before) {
            return Err(Disconnect);
        }
        state.runs.push(Run {
            path,
            request: id.clone(),
            body: body.clone(),
            saw_key,
        });
        let delay = state.fault.delay_ms.map_or(settings.delay, Duration::from_millis);
        let cut = take(&mut state.fault.cut_after);
        let cross = take(&mut state.fault.cross);
        (delay, cut, state.runs.len(), cross, state.fault.leaving)
    };
    tokio::time::sleep(delay).await;
    if cut {
        return Err(Disconnect);
    }
    let mut answer = json(
        200,
        &serde_json::json!({ "runner": settings.name, "entry": entry, "echo": body }),
    );
    let id = if cross { "another-request".to_string() } else { id };
    if let Ok(id) = id.parse() {
        answer.headers_mut().insert(http::REQUEST_ID, id);
    }
    if leaving {
        answer
            .headers_mut()
            .insert(http::LEAVING, hyper::header::HeaderValue::from_static("true"));
    }
    Ok(answer)
}

fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
