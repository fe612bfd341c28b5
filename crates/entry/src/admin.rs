//! The operators' side: metrics, health and status, served by oxhttp.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use oxhttp::Server;
use oxhttp::model::{Body, Request, Response, StatusCode};
use radishstair_core::kernel::{Event, Reply, Status};

use crate::handle::Handle;

/// Longest wait for the control thread; past it the host is not healthy.
const ANSWER: Duration = Duration::from_secs(2);

/// Starts serving; returns at once.
///
/// # Errors
///
/// When the address cannot be bound.
pub fn start(handle: Arc<Handle>, listen: SocketAddr) -> Result<()> {
    Server::new(move |request| respond(&handle, request))
        .bind(listen)
        .with_global_timeout(Duration::from_secs(10))
        .with_max_concurrent_connections(64)
        .spawn()
        .with_context(|| format!("admin_listen: listening on {listen}"))?;
    Ok(())
}

fn respond(handle: &Handle, request: &mut Request<Body>) -> Response<Body> {
    match request.uri().path() {
        "/metrics" => {
            handle.metrics.requests_in_flight.set(handle.in_flight() as i64);
            answer(200, "text/plain; version=0.0.4", handle.metrics.render())
        }
        "/healthz" => match status(handle) {
            Some(_) => answer(200, "text/plain", "ok\n".into()),
            None => answer(503, "text/plain", "the control thread does not answer\n".into()),
        },
        "/readyz" => readiness(handle),
        "/status" => match status(handle) {
            Some(status) => answer(200, "application/json", serde_json::json!(status).to_string()),
            None => answer(503, "text/plain", "the control thread does not answer\n".into()),
        },
        _ => answer(404, "text/plain", "not found\n".into()),
    }
}

/// Ready once a configuration is in force and until told to stop.
fn readiness(handle: &Handle) -> Response<Body> {
    if handle.is_stopping() {
        return answer(503, "text/plain", "stopping\n".into());
    }
    match status(handle) {
        Some(status) if status.trusted && status.runners.0 > 0 => answer(200, "text/plain", "ready\n".into()),
        _ => answer(
            503,
            "text/plain",
            "no configuration or no runner list yet\n".into(),
        ),
    }
}

fn status(handle: &Handle) -> Option<Status> {
    let call = handle.next_call_id();
    let reply = handle.request(call, Event::Status(call));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .ok()?;
    match runtime.block_on(async { tokio::time::timeout(ANSWER, reply).await }) {
        Ok(Ok(Reply::Status(status))) => Some(status),
        _ => None,
    }
}

fn answer(status: u16, kind: &str, body: String) -> Response<Body> {
    Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header("content-type", kind)
        .body(Body::from(body))
        .unwrap_or_else(|_| Response::new(Body::empty()))
}
