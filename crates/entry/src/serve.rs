//! One caller's connection, on either front.

use std::convert::Infallible;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::service::HttpService;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// What a connection may cost before it carries a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time for a head to come; it also runs while the connection is idle.
    pub head_timeout: Duration,
    /// Most bytes of a head.
    pub max_head_bytes: usize,
}

/// Serves requests until the caller or `stop` ends the connection; a request
/// that it carries when `stop` turns true is finished first.
pub async fn connection<S, B>(stream: TcpStream, limits: Limits, service: S, mut stop: watch::Receiver<bool>)
where
    S: HttpService<Incoming, ResBody = B, Error = Infallible>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let served = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(served);
    tokio::select! {
        _ = served.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => {}
    }
    served.as_mut().graceful_shutdown();
    // How it ends is logged with its request.
    let _ = served.await;
}
