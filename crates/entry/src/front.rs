//! The HTTP and JSON interface for callers, with streamed answers.
//!
//! Uses hyper, which the gRPC library depends on anyway. oxhttp buffers a
//! kibibyte before it sends and flushes only at the end, so streamed tokens
//! would reach their caller late.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use radishstair_core::config::view::{Caller, View};
use radishstair_core::error::{Kind, Refusal, Repeat};
use radishstair_core::kernel::{Event, Reply};
use radishstair_wire::http;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::handle::Handle;
use crate::serve;

pub mod call;
pub mod chat;
pub mod sse;

/// Size limit of a request's head, in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Size limit of a request's body, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Longest time to receive a request's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time to receive a request's body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Path for issuing tickets.
const TICKETS_PATH: &str = "/v1/tickets";
/// Path of chat completions.
const CHAT_PATH: &str = "/v1/chat/completions";

/// Body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Server for callers.
#[derive(Debug)]
pub struct Front {
    /// Shared state.
    pub handle: Arc<Handle>,
    /// Service for plain calls.
    pub calls: Arc<call::Service>,
    /// Service for chat completions.
    pub chats: chat::Service,
}

/// Accepts up to `max_connections` connections until `stop` turns true. Open connections
/// then close after their current request.
pub async fn serve(
    front: Arc<Front>,
    listener: TcpListener,
    max_connections: usize,
    stop: watch::Receiver<bool>,
) {
    let permits = Arc::new(Semaphore::new(max_connections));
    let mut stopped = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        match permits.clone().try_acquire_owned() {
            Ok(permit) => {
                let front = front.clone();
                let stop = stop.clone();
                tokio::spawn(async move {
                    serve_connection(front, stream, stop).await;
                    drop(permit);
                });
            }
            Err(_) => {
                front.handle.metrics.refused_connections.inc();
                tokio::spawn(reject_connection(stream));
            }
        }
    }
}

async fn serve_connection(front: Arc<Front>, stream: TcpStream, stop: watch::Receiver<bool>) {
    let service = service_fn(move |request| {
        let front = front.clone();
        async move { Ok::<_, Infallible>(front.handle(request).await) }
    });
    let limits = serve::Limits {
        head_timeout: HEAD_TIMEOUT,
        max_head_bytes: MAX_HEAD_BYTES,
    };
    serve::connection(stream, limits, service, stop).await;
}

/// Answers a connection beyond the limit with a refusal, so that it does not hang.
async fn reject_connection(mut stream: TcpStream) {
    let refusal = Refusal::new(Kind::TooManyConnections).retry_after(Duration::from_secs(1));
    let body = refusal.body().to_string();
    let head = format!(
        "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\nretry-after: 1\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let write = async {
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(body.as_bytes()).await;
        let _ = stream.shutdown().await;
    };
    let _ = tokio::time::timeout(Duration::from_secs(1), write).await;
}

impl Front {
    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let in_flight = self.handle.track_request();
        let mut answer = self
            .route(request)
            .await
            .unwrap_or_else(|refusal| refusal_response(&refusal));
        drop(in_flight);
        if self.handle.is_stopping() {
            // The load balancer must not reuse this connection.
            answer
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let path = request.uri().path().to_string();
        match (request.method(), path.as_str()) {
            (&Method::POST, TICKETS_PATH) => self.tickets(request).await,
            (&Method::POST, CHAT_PATH) => self.chats.handle(request).await,
            (&Method::POST, _) => self.calls.clone().handle(request).await,
            _ => Err(Refusal::new(Kind::NotFound).detail(path)),
        }
    }

    async fn tickets(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let view = self.handle.view.load_full();
        let caller = authenticate(&self.handle, &view, &request)?;
        let body = read_body(request).await?;
        let count = match body.is_empty() {
            true => 1,
            false => ticket_count(&body)?,
        };
        let customer = view.document.customers[caller.customer.index()].name.clone();
        let tickets = issue_tickets(&self.handle, customer, count).await?;
        Ok(json_response(200, &serde_json::json!({ "tickets": tickets })))
    }
}

fn ticket_count(body: &Bytes) -> Result<u32, Refusal> {
    let value: serde_json::Value =
        serde_json::from_slice(body).map_err(|err| Refusal::new(Kind::BadRequest).detail(err.to_string()))?;
    let count = value.get("count").and_then(serde_json::Value::as_u64);
    count
        .and_then(|count| u32::try_from(count).ok())
        .filter(|count| (1..=radishstair_core::at_most_once::MAX_TICKETS_PER_REQUEST).contains(count))
        .ok_or_else(|| Refusal::new(Kind::BadRequest).detail("count: a whole number from 1 to 64"))
}

/// Issues tickets of this process to a customer.
///
/// # Errors
///
/// When no more tickets can be issued at present.
pub async fn issue_tickets(handle: &Handle, customer: String, count: u32) -> Result<Vec<String>, Refusal> {
    let call = handle.next_call_id();
    match handle
        .request(
            call,
            Event::IssueTickets {
                call,
                customer,
                count,
            },
        )
        .await
    {
        Ok(Reply::Tickets(tickets)) => tickets,
        _ => Err(Kind::Stopping.into()),
    }
}

/// Authenticates the caller by the key in a request.
///
/// # Errors
///
/// When the key is missing, unknown or withdrawn, or when this host's
/// configuration has not been confirmed for too long to trust its keys.
pub fn authenticate(handle: &Handle, view: &View, request: &Request<Incoming>) -> Result<Caller, Refusal> {
    let header = request
        .headers()
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let key = header
        .and_then(|text| text.strip_prefix("Bearer "))
        .ok_or(Kind::MissingKey)?;
    if !handle.keys_trusted.load(std::sync::atomic::Ordering::SeqCst) {
        return Err(Refusal::new(Kind::Stale).retry_after(Duration::from_secs(5)));
    }
    view.authenticate(key.trim())
}

/// Value of a header, if it is present and visible ASCII.
pub fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?.to_str().ok()?;
    Some(value.to_string())
}

/// Reads a request's body within the limits of size and time.
///
/// # Errors
///
/// When the body is too large, too slow or incomplete.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, Refusal> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Err(_) => Err(Kind::SlowRequest.into()),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(Kind::TooLarge.into()),
        Ok(Err(_)) => Err(Refusal::new(Kind::BadRequest).detail("the body broke off")),
    }
}

/// A response with a JSON value.
pub fn json_response(status: u16, value: &serde_json::Value) -> Response<Body> {
    encoded_json_response(status, value.to_string().into())
}

/// A response whose body is encoded JSON.
pub fn encoded_json_response(status: u16, body: Bytes) -> Response<Body> {
    let mut answer = Response::new(Full::new(body).boxed());
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// The response to a refused call.
pub fn refusal_response(refusal: &Refusal) -> Response<Body> {
    let mut answer = json_response(refusal.kind.status(), &refusal.body());
    if let Some(after) = refusal.retry_after {
        let seconds = after.as_millis().div_ceil(1_000) as u64;
        answer
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    if let Some(token) = refusal
        .token
        .as_deref()
        .and_then(|token| HeaderValue::from_str(token).ok())
    {
        answer.headers_mut().insert(http::RESERVATION_TOKEN, token);
    }
    if refusal.repeat == Repeat::Never || refusal.kind == Kind::SlowRequest {
        answer
            .headers_mut()
            .insert("x-should-retry", HeaderValue::from_static("false"));
    }
    answer
}
