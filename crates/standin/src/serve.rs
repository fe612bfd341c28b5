//! A small hyper server shared by the streaming stand-ins.

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

/// Body of any answer.
pub type Body = BoxBody<Bytes, Infallible>;
/// An answer, or the wish to cut the connection without one.
pub type Answer = Result<Response<Body>, Cut>;

/// Cuts the connection: the caller gets no answer.
#[derive(Debug)]
pub struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the connection is cut on purpose")
    }
}

impl std::error::Error for Cut {}

/// A whole JSON answer.
pub fn json(status: u16, value: &serde_json::Value) -> Response<Body> {
    let body = Full::new(Bytes::from(value.to_string())).boxed();
    let mut answer = Response::new(body);
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    answer.headers_mut().insert(
        "content-type",
        hyper::header::HeaderValue::from_static("application/json"),
    );
    answer
}

/// Reads a whole body; an unreadable one is empty.
pub async fn read(request: Request<Incoming>) -> Bytes {
    request
        .into_body()
        .collect()
        .await
        .map(|body| body.to_bytes())
        .unwrap_or_default()
}

/// Value of a header as text.
pub fn header(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_string()
}

/// Serves until the process ends.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn run<F, R>(listen: SocketAddr, handle: F) -> Result<()>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Answer> + Send + 'static,
{
    let listener = tokio::net::TcpListener::bind(listen)
        .await
        .with_context(|| format!("listening on {listen}"))?;
    tracing::info!(event = "listening", address = %listen);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handle = handle.clone();
        tokio::spawn(async move {
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), service_fn(handle))
                .await;
            if let Err(err) = served {
                tracing::debug!(event = "connection-ended", reason = %err);
            }
        });
    }
}

/// Runs a server on threads of its own until the process is told to stop.
///
/// # Errors
///
/// When the server cannot start.
pub fn until_stopped(server: impl Future<Output = Result<()>> + Send + 'static) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .context("starting threads")?;
    let served = runtime.spawn(server);
    std::thread::spawn(move || {
        if let Ok(Err(err)) = runtime.block_on(served) {
            tracing::error!(event = "not-served", reason = %format!("{err:#}"));
            std::process::exit(1);
        }
    });
    radishstair_wire::settings::wait_for_stop_signal()
}
