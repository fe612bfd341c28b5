//! The callers' side: connections, limits, and one request after the other.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::http::request;
use hyper::service::service_fn;
use hyper::{Request, Response};
use radishstair_core::error::{Kind, Refusal};
use radishstair_core::proxy::Admission;
use radishstair_core::proxy::route::Limits;
use radishstair_core::time::Moment;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

use super::Shared;
use super::adapter::Metadata;
use super::forward::Forwarder;
use super::job::{Job, Tries, ask};
use super::reply::{self, Body, come_back};
use crate::in_flight::InFlightGuard;
use crate::serve;

/// Longest time for a body to come where the caller names no deadline.
const BODY: Duration = Duration::from_secs(15);
/// Smallest head buffer that the HTTP library takes.
const HEAD_BUFFER: usize = 8 * 1024;

/// Accepts connections until `stop` turns true; a connection that is open then
/// ends after the request that it carries.
pub async fn serve(forwarder: Arc<Forwarder>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let bound = forwarder.shared.settings.load().connections;
    let places = Arc::new(Semaphore::new(bound));
    let mut stopped = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(err) => {
                // Out of descriptors: others must close before more can come.
                tracing::warn!(event = "not-accepted", reason = %err);
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            }
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            forwarder.shared.metrics.refused_connections.inc();
            continue;
        };
        let (forwarder, stop) = (forwarder.clone(), stop.clone());
        tokio::spawn(async move {
            connection(forwarder, stream, stop).await;
            drop(place);
        });
    }
}

fn limits(shared: &Shared) -> Limits {
    let state = shared.state();
    state.table.as_ref().map(|table| table.limits).unwrap_or_default()
}

async fn connection(forwarder: Arc<Forwarder>, stream: TcpStream, stop: watch::Receiver<bool>) {
    // A caller's connection works without it, only slower.
    let _ = stream.set_nodelay(true);
    let limits = limits(&forwarder.shared);
    let service = service_fn(move |request| {
        let forwarder = forwarder.clone();
        async move { Ok::<_, Infallible>(handle(forwarder, request).await) }
    });
    // The time for a head also runs while a connection is idle, so it must not
    // be shorter than the idle time that callers were told.
    let limits = serve::Limits {
        head_timeout: limits.idle_timeout.max(limits.head_timeout),
        max_head_bytes: limits.head_bytes.max(HEAD_BUFFER),
    };
    serve::connection(stream, limits, service, stop).await;
}

async fn handle(forwarder: Arc<Forwarder>, request: Request<Incoming>) -> Response<Body> {
    let shared = forwarder.shared.clone();
    let arrived = shared.now();
    let mut answer = match respond(forwarder, request, arrived).await {
        Ok(answer) => answer,
        Err(refusal) => reply::refuse(&refusal),
    };
    let headers = answer.headers_mut();
    if shared.is_stopping() || shared.state().should_hand_off(arrived) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    } else {
        let idle = limits(&shared).idle_timeout.as_secs().max(1);
        if let Ok(value) = HeaderValue::from_str(&format!("timeout={idle}")) {
            headers.insert(HeaderName::from_static("keep-alive"), value);
        }
    }
    answer
}

async fn respond(
    forwarder: Arc<Forwarder>,
    request: Request<Incoming>,
    arrived: Moment,
) -> Result<Response<Body>, Refusal> {
    let flight = forwarder.shared.flight();
    let shared = forwarder.shared.clone();
    let (parts, body) = request.into_parts();
    let head = shared.adapter.parse_request(&parts);
    let deadline = head.as_ref().ok().and_then(|head| head.timeout);
    let body = read(body, limits(&shared).body_bytes, deadline.unwrap_or(BODY)).await;
    let head = head.map_err(|kind| refused(&shared, None, Refusal::new(kind)))?;
    let body = body.map_err(|kind| refused(&shared, Some(&head), Refusal::new(kind)))?;
    let admission =
        admit(&shared, &parts, &head).map_err(|refusal| refused(&shared, Some(&head), refusal))?;
    let job = Job {
        until: until(arrived, &head, &admission),
        parts,
        head,
        body,
        admission,
        arrived,
    };
    pass(forwarder, job, flight).await
}

async fn pass(forwarder: Arc<Forwarder>, job: Job, flight: InFlightGuard) -> Result<Response<Body>, Refusal> {
    let shared = forwarder.shared.clone();
    let job = Arc::new(job);
    let mut tries = Tries::default();
    let result = match job.is_stream() {
        true => {
            forwarder
                .clone()
                .forward_stream(job.clone(), &mut tries, flight)
                .await
        }
        false => forwarder.forward_buffered(&job, &mut tries).await,
    };
    let now = shared.now();
    let after_ms = now.since(job.arrived).as_millis() as u64;
    let (outcome, status) = match &result {
        Ok(answer) => ("answered", answer.status().as_u16()),
        Err(refusal) => (refusal.kind.name(), refusal.kind.status()),
    };
    let route = &job.admission.route.name;
    if !job.is_stream() || result.is_err() {
        shared.metrics.count_request(route, outcome);
    }
    if !job.is_stream() && result.is_ok() {
        shared.metrics.observe_first_answer(route, now.since(job.arrived));
    }
    let proof_ms = shared
        .state()
        .freshness
        .age(now)
        .map(|age| age.as_millis() as u64);
    tracing::info!(
        event = "request",
        request = job.head.id,
        route,
        service = job.admission.service,
        customer = job.admission.customer,
        rank = job.admission.rank,
        version = job.admission.version,
        outcome,
        status,
        sent = tries.runs.sends(),
        runner = tries.last,
        after_ms,
        proof_ms,
        runners = tries.among,
    );
    result
}

fn admit(shared: &Shared, parts: &request::Parts, head: &Metadata) -> Result<Admission, Refusal> {
    let now = shared.now();
    let mut state = shared.state();
    let admission = state
        .admit(now, &ask(parts, head))
        .map_err(|refusal| match refusal.kind {
            Kind::Stale => refusal.retry_after(come_back(head.timeout, rand::random())),
            _ => refusal,
        })?;
    state.budgets.count(now, &admission.service);
    Ok(admission)
}

fn until(arrived: Moment, head: &Metadata, admission: &Admission) -> Option<Moment> {
    let spans = [head.timeout, admission.route.timeout];
    let span = spans.into_iter().flatten().min()?;
    Some(arrived + span)
}

/// Reads a body whole. A refusal that comes before its body is read would
/// close the connection on unread bytes, and the caller might never see it.
async fn read(body: Incoming, most: usize, limit: Duration) -> Result<Bytes, Kind> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > most as u64 {
        return Err(Kind::TooLarge);
    }
    match timeout(limit, Limited::new(body, most).collect()).await {
        Err(_) => Err(Kind::SlowRequest),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(Kind::TooLarge),
        Ok(Err(_)) => Err(Kind::BadRequest),
    }
}

fn refused(shared: &Shared, head: Option<&Metadata>, refusal: Refusal) -> Refusal {
    let now = shared.now();
    let state = shared.state();
    tracing::info!(
        event = "request-refused",
        request = head.map(|head| head.id.as_str()),
        kind = refusal.kind.name(),
        version = state.table.as_ref().map(|table| table.version),
        proof_ms = state.freshness.age(now).map(|age| age.as_millis() as u64),
    );
    drop(state);
    shared.metrics.count_request("", refusal.kind.name());
    refusal
}
