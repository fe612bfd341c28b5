//! Accepts callers' connections, enforces limits and serves the requests.

use std::convert::Infallible;
use std::future::ready;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderName, HeaderValue};
use hyper::http::request;
use hyper::service::service_fn;
use hyper::{Request, Response};
use radishstair_core::error::{Kind, Refusal};
use radishstair_core::proxy::intake::Intake;
use radishstair_core::proxy::route::Limits;
use radishstair_core::proxy::{Admission, crash};
use radishstair_core::time::Moment;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::time::timeout;

use super::adapter::Metadata;
use super::forward::Forwarder;
use super::job::{self, AttemptLog, Job, request_head};
use super::reply::{self, Body, retry_after};
use super::{Shared, body, crashes, origins};
use crate::in_flight::InFlightGuard;
use crate::serve;

/// Time limit for receiving a body when the caller sets no deadline.
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(15);
/// Longest time for which a request waits for this host to be started, and the share of the
/// caller's time that it may take: a refused caller still has time for another host.
const MAX_START_WAIT: Duration = Duration::from_millis(1_500);
const MAX_START_WAIT_SHARE: f64 = 0.35;
/// Smallest head buffer that the HTTP library accepts.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// A connection, its part of the limit on open connections, and its part of their number.
type Connection = (TcpStream, OwnedSemaphorePermit, InFlightGuard);

/// Accepts connections until `stop` becomes true. Connections that are open then
/// close after their current request.
pub async fn serve(forwarder: Arc<Forwarder>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let max_connections = forwarder.shared.settings.load().max_connections();
    let permits = Arc::new(Semaphore::new(max_connections));
    let mut intake: Intake<Connection> = Intake::default();
    let mut stopped = stop.clone();
    let start = |(stream, permit, open): Connection| {
        let (forwarder, stop) = (forwarder.clone(), stop.clone());
        tokio::spawn(async move {
            serve_connection(forwarder, stream, stop).await;
            drop((permit, open));
        });
    };
    loop {
        let accepted = tokio::select! {
            biased;
            _ = stopped.wait_for(|stop| *stop) => break,
            accepted = listener.accept() => Some(accepted),
            () = ready(()), if !intake.is_empty() => None,
        };
        let shared = &forwarder.shared;
        match accepted {
            Some(Ok((stream, _))) => {
                match permits.clone().try_acquire_owned() {
                    Ok(permit) => {
                        let open = shared.open_connections.track();
                        intake.join(shared.now(), (stream, permit, open));
                    }
                    Err(_) => _ = shared.metrics.refused_connections.inc(),
                }
                continue;
            }
            Some(Err(err)) => {
                // Out of file descriptors: connections must close before more can be accepted.
                tracing::warn!(event = "accept-failed", reason = %err);
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            // Everything else that is ready to run has its turn first.
            None => tokio::task::yield_now().await,
        }
        let expired = intake.expire(shared.now()).count();
        shared.metrics.expired_connections.inc_by(expired as u64);
        intake.take().into_iter().for_each(&start);
    }
    while let Some(connection) = intake.take() {
        start(connection);
    }
}

/// Limits of the document in force; defaults before the first document.
fn current_limits(shared: &Shared) -> Limits {
    let state = shared.state();
    state.table.as_ref().map(|table| table.limits).unwrap_or_default()
}

async fn serve_connection(forwarder: Arc<Forwarder>, stream: TcpStream, stop: watch::Receiver<bool>) {
    // The connection also works without this option, only slower.
    let _ = stream.set_nodelay(true);
    let limits = current_limits(&forwarder.shared);
    let service = service_fn(move |request| {
        let forwarder = forwarder.clone();
        async move { Ok::<_, Infallible>(handle(forwarder, request).await) }
    });
    // The head timeout also runs while a connection is idle, so it must not be
    // shorter than the idle timeout announced to callers.
    let limits = serve::Limits {
        head_timeout: limits.idle_timeout.max(limits.head_timeout),
        max_head_bytes: limits.head_bytes.max(MIN_HEAD_BUFFER_BYTES),
    };
    serve::connection(stream, limits, service, stop).await;
}

/// Serves one request; the response says whether the connection may be reused.
async fn handle(forwarder: Arc<Forwarder>, request: Request<Incoming>) -> Response<Body> {
    let shared = forwarder.shared.clone();
    let arrived = shared.now();
    let mut response = match respond(forwarder, request, arrived).await {
        Ok(response) => response,
        Err(refusal) => reply::from_refusal(&refusal),
    };
    let headers = response.headers_mut();
    if shared.is_stopping() || shared.state().should_hand_off(arrived) {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    } else {
        let idle = current_limits(&shared).idle_timeout.as_secs().max(1);
        if let Ok(value) = HeaderValue::from_str(&format!("timeout={idle}")) {
            headers.insert(HeaderName::from_static("keep-alive"), value);
        }
    }
    response
}

/// Reads and admits a request, then forwards it.
async fn respond(
    forwarder: Arc<Forwarder>,
    request: Request<Incoming>,
    arrived: Moment,
) -> Result<Response<Body>, Refusal> {
    let flight = forwarder.shared.start_request();
    let shared = forwarder.shared.clone();
    let received = before_stop_end(&shared, receive(&shared, request, arrived)).await;
    let job = received.unwrap_or_else(|| Err(log_refusal(&shared, None, stop_refusal())))?;
    forward(forwarder, job, flight).await
}

/// Result of a step; `None` if a planned stop ends first.
async fn before_stop_end<T>(shared: &Shared, step: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        result = step => Some(result),
        () = shared.wait_for_stop_end() => None,
    }
}

fn stop_refusal() -> Refusal {
    reply::stop_refusal(rand::random())
}

/// Reads and admits a request.
async fn receive(shared: &Shared, request: Request<Incoming>, arrived: Moment) -> Result<Job, Refusal> {
    let (parts, body) = request.into_parts();
    let metadata = shared.adapter.parse_request(&parts);
    let caller_timeout = metadata.as_ref().ok().and_then(|metadata| metadata.timeout);
    let mut held = shared.hold();
    let body = body::read_request(
        body,
        current_limits(shared).body_bytes,
        caller_timeout.unwrap_or(DEFAULT_BODY_TIMEOUT),
        &mut held,
    )
    .await;
    let metadata = metadata.map_err(|kind| log_refusal(shared, None, Refusal::new(kind)))?;
    let body =
        body.map_err(|kind| log_refusal(shared, Some(&metadata), body_refusal(kind, caller_timeout)))?;
    wait_for_start(shared, caller_timeout).await;
    let admission =
        admit(shared, &parts, &metadata).map_err(|refusal| log_refusal(shared, Some(&metadata), refusal))?;
    let deadline = deadline(arrived, &metadata, &admission);
    if !shared.may_begin(shared.now(), deadline) {
        return Err(log_refusal(shared, Some(&metadata), stop_refusal()));
    }
    let content = job::content(&parts, &metadata, admission.customer.as_deref(), &body);
    Ok(Job {
        deadline,
        suspects: crash::suspects(&admission.service, &metadata.prompt_segments, content),
        content,
        parts,
        metadata,
        body,
        held,
        admission,
        arrived,
    })
}

/// Forwards an admitted request, and records its metrics and log line.
async fn forward(
    forwarder: Arc<Forwarder>,
    mut job: Job,
    flight: InFlightGuard,
) -> Result<Response<Body>, Refusal> {
    let shared = forwarder.shared.clone();
    let probe = before_stop_end(&shared, crashes::admit(&shared, &forwarder.store, &job))
        .await
        .unwrap_or_else(|| Err(stop_refusal()))
        .map_err(|refusal| log_refusal(&shared, Some(&job.metadata), refusal))?;
    let mut log = AttemptLog {
        probe,
        ..AttemptLog::default()
    };
    if origins::is_take_up(&job) {
        log.origin = before_stop_end(&shared, origins::find(&shared, &forwarder.store, &mut job))
            .await
            .unwrap_or_else(|| Err(stop_refusal()))
            .map_err(|refusal| log_refusal(&shared, Some(&job.metadata), refusal))?;
    }
    let job = Arc::new(job);
    let attempts = async {
        match job.is_stream() {
            true => {
                let forwarder = forwarder.clone();
                forwarder.forward_stream(job.clone(), &mut log, flight).await
            }
            false => forwarder.forward_buffered(&job, &mut log).await,
        }
    };
    let result = before_stop_end(&shared, attempts).await;
    let result = result.unwrap_or_else(|| Err(forwarder.stop_refusal(&job, &log)));
    let now = shared.now();
    let after_ms = now.since(job.arrived).as_millis() as u64;
    let (outcome, status) = match &result {
        Ok(response) => ("answered", response.status().as_u16()),
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
        request = job.metadata.id,
        route,
        service = job.admission.service,
        customer = job.admission.customer,
        rank = job.admission.rank,
        version = job.admission.version,
        outcome,
        status,
        sent = log.history.sends(),
        runner = log.last_runner,
        software = log.last_software,
        last_event = job.metadata.last_event,
        first_attempt = job.metadata.first_attempt,
        after_ms,
        proof_ms,
        runners = log.candidates,
        parts = job.logged_parts(),
        content = job.logged_content(),
    );
    result
}

/// Waits until a host that has just started has read the document and the list of runners.
///
/// After a power loss, callers repeat their requests at once, at hosts that are ready within a
/// second. If these were refused, their callers might not come again.
async fn wait_for_start(shared: &Shared, caller_timeout: Option<Duration>) {
    let time_left = caller_timeout.unwrap_or(DEFAULT_BODY_TIMEOUT);
    let limit = MAX_START_WAIT.min(time_left.mul_f64(MAX_START_WAIT_SHARE));
    let started = async {
        loop {
            let notified = shared.started.notified();
            tokio::pin!(notified);
            // Registered before the check, so that no notification is missed in between.
            notified.as_mut().enable();
            if shared.state().has_started(shared.now()) {
                return;
            }
            notified.await;
        }
    };
    // A request for which the host is not ready in time is refused by its admission.
    let _ = timeout(limit, started).await;
}

/// Admits a request by the document in force, and counts it for the retry budget.
fn admit(shared: &Shared, parts: &request::Parts, metadata: &Metadata) -> Result<Admission, Refusal> {
    let now = shared.now();
    let mut state = shared.state();
    let admission = state
        .admit(now, &request_head(parts, metadata))
        .map_err(|refusal| match refusal.kind {
            Kind::Stale => refusal.retry_after(retry_after(metadata.timeout, rand::random())),
            _ => refusal,
        })?;
    state.budgets.count(now, &admission.service);
    Ok(admission)
}

/// Deadline by the shorter of the caller's and the route's time limits.
fn deadline(arrived: Moment, metadata: &Metadata, admission: &Admission) -> Option<Moment> {
    let limits = [metadata.timeout, admission.route.timeout];
    let limit = limits.into_iter().flatten().min()?;
    Some(arrived + limit)
}

/// Refusal of a request whose body was not kept.
fn body_refusal(kind: Kind, caller_timeout: Option<Duration>) -> Refusal {
    match kind {
        Kind::Overloaded => Refusal::new(kind)
            .detail("this host holds too much for slow callers and runners")
            .retry_after(retry_after(caller_timeout, rand::random())),
        _ => Refusal::new(kind),
    }
}

/// Logs and counts a request that is refused before it is forwarded.
fn log_refusal(shared: &Shared, metadata: Option<&Metadata>, refusal: Refusal) -> Refusal {
    let now = shared.now();
    let state = shared.state();
    tracing::info!(
        event = "request-refused",
        request = metadata.map(|metadata| metadata.id.as_str()),
        kind = refusal.kind.name(),
        version = state.table.as_ref().map(|table| table.version),
        proof_ms = state.freshness.age(now).map(|age| age.as_millis() as u64),
    );
    drop(state);
    shared.metrics.count_request("", refusal.kind.name());
    refusal
}
