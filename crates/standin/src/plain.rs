//! Stand-in for a plain service whose calls must not be repeated.
//!
//! It runs every call that it receives, without deduplication, and records the
//! runs. From the record, a test counts how often each body ran, and so checks
//! that calls run at most once.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use hyper::{Method, Request, body::Incoming};
use radishstair_core::record;
use radishstair_core::units::DurationText;
use radishstair_wire::http;
use serde_with::serde_as;

use crate::server::{self, Disconnect, Outcome, header_value, json_response};

#[serde_as]
/// Settings of the stand-in.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the runner.
    pub name: String,
    /// IP address and port to listen on.
    pub listen: SocketAddr,
    /// Duration of a call.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_delay")]
    pub delay: Duration,
}

fn default_delay() -> Duration {
    Duration::from_millis(15)
}

record! {
    /// One execution of a call.
    pub struct Run {
        /// Path of the request.
        pub path: String,
        /// Request id from the `x-request-id` header.
        pub request: String,
        /// Body; null if it was not JSON.
        pub body: serde_json::Value,
        /// Whether the request had an `authorization` header, which holds a
        /// caller's API key.
        pub saw_key: bool,
    }
}

record! {
    /// Faults to inject into the next calls.
    #[derive(Default)]
    pub struct Fault {
        /// Duration of a call, in milliseconds; overrides the settings.
        #[serde(default)]
        pub delay_ms: Option<u64>,
        /// Calls to end by closing the connection after they ran.
        #[serde(default)]
        pub cut_after: u32,
        /// Calls to end by closing the connection before they run.
        #[serde(default)]
        pub cut_before: u32,
        /// Responses to send with another request's id.
        #[serde(default)]
        pub cross: u32,
        /// Whether responses have the `x-leaving` header, which announces that
        /// the runner leaves.
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

async fn handle(settings: Settings, state: Arc<Mutex<State>>, request: Request<Incoming>) -> Outcome {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => Ok(json_response(200, &serde_json::json!({}))),
        (&Method::GET, "/control/log") => {
            let runs = serde_json::json!({ "runs": lock(&state).runs });
            Ok(json_response(200, &runs))
        }
        (&Method::POST, "/control/fault") => {
            let fault = serde_json::from_slice(&server::read_body(request).await).unwrap_or_default();
            lock(&state).fault = fault;
            Ok(json_response(200, &serde_json::json!({})))
        }
        (&Method::POST, _) => run_call(&settings, &state, request).await,
        _ => Ok(json_response(404, &serde_json::json!({ "error": "not found" }))),
    }
}

async fn run_call(settings: &Settings, state: &Mutex<State>, request: Request<Incoming>) -> Outcome {
    let id = header_value(&request, http::REQUEST_ID);
    let path = request.uri().path().to_string();
    let saw_key = request.headers().contains_key("authorization");
    let bytes = server::read_body(request).await;
    let body: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
    let (delay, disconnect, run_number, other_id, leaving) = {
        let mut state = lock(state);
        if take_one(&mut state.fault.cut_before) {
            return Err(Disconnect);
        }
        state.runs.push(Run {
            path,
            request: id.clone(),
            body: body.clone(),
            saw_key,
        });
        let delay = state.fault.delay_ms.map_or(settings.delay, Duration::from_millis);
        let disconnect = take_one(&mut state.fault.cut_after);
        let other_id = take_one(&mut state.fault.cross);
        (delay, disconnect, state.runs.len(), other_id, state.fault.leaving)
    };
    tokio::time::sleep(delay).await;
    if disconnect {
        return Err(Disconnect);
    }
    let mut response = json_response(
        200,
        &serde_json::json!({ "runner": settings.name, "entry": run_number, "echo": body }),
    );
    let id = if other_id {
        "another-request".to_string()
    } else {
        id
    };
    if let Ok(id) = id.parse() {
        response.headers_mut().insert(http::REQUEST_ID, id);
    }
    if leaving {
        response
            .headers_mut()
            .insert(http::LEAVING, hyper::header::HeaderValue::from_static("true"));
    }
    Ok(response)
}

/// Decrements a counter; whether it was above zero.
fn take_one(count: &mut u32) -> bool {
    let available = *count > 0;
    *count = count.saturating_sub(1);
    available
}

fn lock(state: &Mutex<State>) -> std::sync::MutexGuard<'_, State> {
    state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
}
