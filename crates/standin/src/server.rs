//! HTTP server of the stand-ins for engines and plain services, based on hyper.

use std::convert::Infallible;
use std::net::SocketAddr;

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};

/// Body of a response.
pub type Body = BoxBody<Bytes, Infallible>;
/// A response, or an injected fault instead of it.
pub type Outcome = Result<Response<Body>, Disconnect>;

/// Number of the connection on which a request came; an extension of each request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionNumber(pub u64);

/// Fault that closes the connection without a response.
#[derive(Debug)]
pub struct Disconnect;

impl std::fmt::Display for Disconnect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("connection closed by an injected fault")
    }
}

impl std::error::Error for Disconnect {}

/// A response with a JSON body.
pub fn json_response(status: u16, value: &serde_json::Value) -> Response<Body> {
    let body = Full::new(Bytes::from(value.to_string())).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("application/json"),
    );
    response
}

/// Reads the body of a request; empty if that fails.
pub async fn read_body(request: Request<Incoming>) -> Bytes {
    request
        .into_body()
        .collect()
        .await
        .map(|body| body.to_bytes())
        .unwrap_or_default()
}

/// Value of a header; empty if it is absent or not visible ASCII.
pub fn header_value(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}

/// Accepts connections and serves them until the process ends.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn run<F, R>(listen: SocketAddr, handle: F) -> Result<()>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Outcome> + Send + 'static,
{
    let listener = tokio::net::TcpListener::bind(listen)
        .await
        .with_context(|| format!("listening on {listen}"))?;
    tracing::info!(event = "listening", address = %listen);
    let mut connections = 0;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        connections += 1;
        let (handle, number) = (handle.clone(), ConnectionNumber(connections));
        let handle = move |mut request: Request<Incoming>| {
            request.extensions_mut().insert(number);
            handle(request)
        };
        tokio::spawn(async move {
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service_fn(handle))
                .await;
            if let Err(err) = served {
                tracing::debug!(event = "connection-failed", reason = %err);
            }
        });
    }
}

/// Runs a server on threads of its own until SIGTERM or SIGINT; if it fails, the
/// process exits with status 1.
///
/// # Errors
///
/// When the runtime or the signal handlers cannot be set up.
pub fn run_until_signal(server: impl Future<Output = Result<()>> + Send + 'static) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .context("starting the runtime")?;
    let served = runtime.spawn(server);
    std::thread::spawn(move || {
        if let Ok(Err(err)) = runtime.block_on(served) {
            tracing::error!(event = "server-failed", reason = %format!("{err:#}"));
            std::process::exit(1);
        }
    });
    radishstair_wire::settings::wait_for_stop_signal()
}
