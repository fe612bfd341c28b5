//! HTTP interface for operators: metrics, health and status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use oxhttp::Server;
use oxhttp::model::{Body, Request, Response, StatusCode};
use radishstair_core::kernel::{Event, Reply, Status};

use crate::handle::Handle;

/// Longest wait for the control thread's reply, after which the host is unhealthy.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the server on threads of its own.
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
            text_response(200, "text/plain; version=0.0.4", handle.metrics.render())
        }
        "/healthz" => match status(handle) {
            Some(_) => text_response(200, "text/plain", "ok\n".into()),
            None => text_response(503, "text/plain", "the control thread does not answer\n".into()),
        },
        "/readyz" => readiness(handle),
        "/status" => match status(handle) {
            Some(status) => text_response(200, "application/json", serde_json::json!(status).to_string()),
            None => text_response(503, "text/plain", "the control thread does not answer\n".into()),
        },
        _ => text_response(404, "text/plain", "not found\n".into()),
    }
}

/// Ready as soon as keys are trusted and a runner is known, until the host
/// is stopped.
fn readiness(handle: &Handle) -> Response<Body> {
    if handle.is_stopping() {
        return text_response(503, "text/plain", "stopping\n".into());
    }
    match status(handle) {
        Some(status) if status.trusted && status.runners.0 > 0 => {
            text_response(200, "text/plain", "ready\n".into())
        }
        _ => text_response(
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
    match runtime.block_on(async { tokio::time::timeout(STATUS_TIMEOUT, reply).await }) {
        Ok(Ok(Reply::Status(status))) => Some(status),
        _ => None,
    }
}

fn text_response(status: u16, kind: &str, body: String) -> Response<Body> {
    Response::builder()
        .status(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR))
        .header("content-type", kind)
        .body(Body::from(body))
        .unwrap_or_else(|_| Response::new(Body::empty()))
}
