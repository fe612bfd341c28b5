//! Serves one connection of a caller, for either front.

use std::convert::Infallible;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::service::HttpService;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::stall::Stall;

/// Longest time for which a caller may read nothing of an answer that is ready; longer than callers
/// wait for an answer. Its connection is then closed, so that it does not hold memory and a runner.
const MAX_WRITE_STALL: Duration = Duration::from_secs(30);

/// Limits on the head of a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest time to receive a head; also limits how long a connection is idle.
    pub head_timeout: Duration,
    /// Size limit of a head, in bytes.
    pub max_head_bytes: usize,
}

/// Serves requests until the caller closes the connection or `stop` turns true;
/// a request in progress at that time is finished first.
pub async fn connection<S, B>(stream: TcpStream, limits: Limits, service: S, mut stop: watch::Receiver<bool>)
where
    S: HttpService<Incoming, ResBody = B, Error = Infallible>,
    B: Body + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let connection_future = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.max_head_bytes)
        .serve_connection(TokioIo::new(Stall::new(stream, MAX_WRITE_STALL)), service);
    tokio::pin!(connection_future);
    tokio::select! {
        _ = connection_future.as_mut() => return,
        _ = stop.wait_for(|stop| *stop) => {}
    }
    connection_future.as_mut().graceful_shutdown();
    // The request's own log line has its outcome.
    let _ = connection_future.await;
}
