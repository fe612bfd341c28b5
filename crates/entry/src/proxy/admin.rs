//! HTTP servers for readiness checks, metrics and the peers' exchange of changes.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use radishstair_wire::log;
use tokio::net::TcpListener;

use super::reply::{Body, with_body};
use super::{Shared, changes, collector, relay};
use crate::upstream;

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";
/// Time limit for receiving a request's head; the load balancer sends a check on each
/// connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Kind of clients that a port serves.
#[derive(Clone, Debug)]
pub enum Port {
    /// The load balancer and operators, which may share a port.
    Monitoring,
    /// Peers only: the store's contents include callers' keys.
    Peers(collector::Queue),
}

/// Serves one port until the process ends.
pub async fn serve(shared: Arc<Shared>, listener: TcpListener, port: Port) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        };
        let (shared, port) = (shared.clone(), port.clone());
        tokio::spawn(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let (shared, port) = (shared.clone(), port.clone());
                async move {
                    Ok::<_, Infallible>(match port {
                        Port::Monitoring => respond(&shared, &request),
                        Port::Peers(queue) if request.uri().path() == collector::PATH => {
                            collector::respond(&queue, request).await
                        }
                        Port::Peers(_) if request.uri().path() == upstream::relay::PATH => {
                            relay::respond(&shared, request).await
                        }
                        Port::Peers(_) => changes::respond(&shared, &request),
                    })
                }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .with_upgrades();
            // Errors are ignored: the client tries again on another connection.
            let _ = served.await;
        });
    }
}

fn respond(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        METRICS_PATH => {
            let trusted = shared.state().is_fresh(shared.now());
            shared.metrics.keys_trusted.set(i64::from(trusted));
            let lost_services = shared.state().reach.lost_services();
            shared.metrics.lost_services.set(lost_services as i64);
            let known_origins = shared.state().origins.len();
            shared.metrics.known_origins.set(known_origins as i64);
            let quarantined_parts = shared.state().crashes.quarantine.len();
            shared.metrics.quarantined_parts.set(quarantined_parts as i64);
            let limited_runners = shared.state().fleet.count_limited(shared.now());
            shared.metrics.limited_runners.set(limited_runners as i64);
            let held_off = shared.state().fleet.count_held_off(shared.now());
            shared.metrics.held_off_runners.set(held_off as i64);
            shared
                .metrics
                .relayed_connections
                .set(shared.relayed.open() as i64);
            shared.metrics.held_memory.set(shared.held_bytes() as i64);
            shared.metrics.requests_in_flight.set(shared.in_flight() as i64);
            shared.metrics.log_lines_dropped.set(log::dropped_lines() as i64);
            with_body(StatusCode::OK, shared.metrics.render())
        }
        path if path == shared.adapter.ready_path() => readiness(shared),
        _ => with_body(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn readiness(shared: &Shared) -> Response<Body> {
    if shared.is_stopping() {
        return with_body(StatusCode::SERVICE_UNAVAILABLE, "stopping\n");
    }
    let now = shared.now();
    match shared.state().is_ready(now) && shared.knows_hosts() {
        true => with_body(StatusCode::OK, "ready\n"),
        false => with_body(StatusCode::SERVICE_UNAVAILABLE, "no fresh configuration\n"),
    }
}
