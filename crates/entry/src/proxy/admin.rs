//! Readiness for the balancer, metrics for operators, changes for peers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use radishstair_wire::log;
use tokio::net::TcpListener;

use super::reply::{Body, answer};
use super::{Shared, changes};

/// Where metrics are served.
const METRICS: &str = "/metrics";
/// Longest time for a head to come; the balancer asks on each connection.
const HEAD: Duration = Duration::from_secs(30);

/// Who calls on a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Port {
    /// The balancer and operators; their ports may be one.
    Outside,
    /// Peers. What the store holds names callers' keys, so nobody else is told.
    Peers,
}

/// Serves a port until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener, port: Port) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let shared = shared.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| {
                let answer = match port {
                    Port::Outside => respond(&shared, &request),
                    Port::Peers => changes::respond(&shared, &request),
                };
                async move { Ok::<_, Infallible>(answer) }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD)
                .serve_connection(TokioIo::new(stream), service);
            // The asker asks again on another connection.
            let _ = served.await;
        });
    }
}

fn respond(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        METRICS => {
            let trusted = shared.state().is_fresh(shared.now());
            shared.metrics.keys_trusted.set(i64::from(trusted));
            shared.metrics.requests_in_flight.set(shared.in_flight() as i64);
            shared.metrics.log_lines_dropped.set(log::dropped_lines() as i64);
            answer(StatusCode::OK, shared.metrics.render())
        }
        path if path == shared.adapter.ready_path() => readiness(shared),
        _ => answer(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn readiness(shared: &Shared) -> Response<Body> {
    if shared.is_stopping() {
        return answer(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    let now = shared.now();
    match shared.state().is_ready(now) {
        true => answer(StatusCode::OK, "ready\n"),
        false => answer(StatusCode::SERVICE_UNAVAILABLE, "no fresh configuration\n"),
    }
}
