//! The callers' side: HTTP with JSON, answers streamed as they come.
//!
//! Built on hyper, which the gRPC library brings along: oxhttp gathers a
//! kibibyte before it sends and flushes at the end, so streamed tokens would
//! not reach their caller as they come.

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

/// Most bytes of a request's head.
pub const HEAD_BYTES: usize = 16 * 1024;
/// Most bytes of a request's body.
pub const BODY_BYTES: usize = 1024 * 1024;
/// Longest time for the head to come.
const HEAD: Duration = Duration::from_secs(5);
/// Longest time for the body to come.
const BODY: Duration = Duration::from_secs(10);
/// Path where tickets are issued.
const TICKETS: &str = "/v1/tickets";
/// Path of chat completions.
const CHAT: &str = "/v1/chat/completions";

/// Body of an answer.
pub type Body = BoxBody<Bytes, Infallible>;

/// The callers' side of one process.
#[derive(Debug)]
pub struct Front {
    /// Shared state.
    pub handle: Arc<Handle>,
    /// Plain calls.
    pub calls: Arc<call::Service>,
    /// Chat completions.
    pub chats: chat::Service,
}

/// Accepts connections until `stop` turns true; a connection that is open then
/// ends after the request that it carries.
pub async fn serve(front: Arc<Front>, listener: TcpListener, bound: usize, stop: watch::Receiver<bool>) {
    let places = Arc::new(Semaphore::new(bound));
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
        match places.clone().try_acquire_owned() {
            Ok(place) => {
                let front = front.clone();
                let stop = stop.clone();
                tokio::spawn(async move {
                    connection(front, stream, stop).await;
                    drop(place);
                });
            }
            Err(_) => {
                front.handle.metrics.refused_connections.inc();
                tokio::spawn(refuse_connection(stream));
            }
        }
    }
}

async fn connection(front: Arc<Front>, stream: TcpStream, stop: watch::Receiver<bool>) {
    let service = service_fn(move |request| {
        let front = front.clone();
        async move { Ok::<_, Infallible>(front.handle(request).await) }
    });
    let limits = serve::Limits {
        head_timeout: HEAD,
        max_head_bytes: HEAD_BYTES,
    };
    serve::connection(stream, limits, service, stop).await;
}

/// A clear refusal past the bound, instead of a connection that hangs.
async fn refuse_connection(mut stream: TcpStream) {
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
        let flight = self.handle.track_request();
        let mut answer = self
            .route(request)
            .await
            .unwrap_or_else(|refusal| refused(&refusal));
        drop(flight);
        if self.handle.is_stopping() {
            // The balancer must not choose this connection for its next one.
            answer
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }

    async fn route(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let path = request.uri().path().to_string();
        match (request.method(), path.as_str()) {
            (&Method::POST, TICKETS) => self.tickets(request).await,
            (&Method::POST, CHAT) => self.chats.handle(request).await,
            (&Method::POST, _) => self.calls.clone().handle(request).await,
            _ => Err(Refusal::new(Kind::NotFound).detail(path)),
        }
    }

    async fn tickets(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let view = self.handle.view.load_full();
        let caller = authenticate(&self.handle, &view, &request)?;
        let body = read(request).await?;
        let count = match body.is_empty() {
            true => 1,
            false => count_of(&body)?,
        };
        let customer = view.document.customers[caller.customer.index()].name.clone();
        let tickets = issue(&self.handle, customer, count).await?;
        Ok(json(200, &serde_json::json!({ "tickets": tickets })))
    }
}

fn count_of(body: &Bytes) -> Result<u32, Refusal> {
    let value: serde_json::Value =
        serde_json::from_slice(body).map_err(|err| Refusal::new(Kind::BadRequest).detail(err.to_string()))?;
    let count = value.get("count").and_then(serde_json::Value::as_u64);
    count
        .and_then(|count| u32::try_from(count).ok())
        .filter(|count| (1..=radishstair_core::at_most_once::MAX_TICKETS_PER_REQUEST).contains(count))
        .ok_or_else(|| Refusal::new(Kind::BadRequest).detail("count: a whole number from 1 to 64"))
}

/// Tickets of this process for a customer.
///
/// # Errors
///
/// When no more can be issued now.
pub async fn issue(handle: &Handle, customer: String, count: u32) -> Result<Vec<String>, Refusal> {
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

/// Whose key came with a request.
///
/// # Errors
///
/// When there is none, it is not known or withdrawn, or this host has been cut
/// off for too long to tell.
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

/// Value of a header as text.
pub fn header(request: &Request<Incoming>, name: &str) -> Option<String> {
    let value = request.headers().get(name)?.to_str().ok()?;
    Some(value.to_string())
}

/// Reads a whole body within the limits.
///
/// # Errors
///
/// When it is too large or too slow.
pub async fn read(request: Request<Incoming>) -> Result<Bytes, Refusal> {
    let body = Limited::new(request.into_body(), BODY_BYTES).collect();
    match tokio::time::timeout(BODY, body).await {
        Err(_) => Err(Kind::SlowRequest.into()),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(Kind::TooLarge.into()),
        Ok(Err(_)) => Err(Refusal::new(Kind::BadRequest).detail("the body broke off")),
    }
}

/// A whole JSON answer.
pub fn json(status: u16, value: &serde_json::Value) -> Response<Body> {
    text(status, value.to_string().into())
}

/// A whole answer whose body is JSON already.
pub fn text(status: u16, body: Bytes) -> Response<Body> {
    let mut answer = Response::new(Full::new(body).boxed());
    *answer.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// The answer to a refused call.
pub fn refused(refusal: &Refusal) -> Response<Body> {
    let mut answer = json(refusal.kind.status(), &refusal.body());
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
