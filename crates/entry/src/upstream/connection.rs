//! One connection to a runner or to the platform.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderMap};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

/// Time after which the kernel ends a connection on which nothing is acknowledged, as a
/// host without power sends no reset. It is the last resort: what the kernel ends is not
/// always reset, and a request whose bytes wait on a cut path would run when the path is
/// back. So it is longer than whatever this host waits for by itself before it closes (and
/// resets) a connection: looks at the path of a runner, limits of calls to the platform.
const SILENCE: Duration = Duration::from_secs(8);
/// Probes on a connection that waits: first after, then every, this many lost. Together
/// as long as [`SILENCE`].
const PROBE_AFTER: Duration = Duration::from_secs(1);
const PROBE_EVERY: Duration = Duration::from_secs(1);
const PROBES: u32 = 7;

/// A connection; dropping it closes it at once, which cancels what runs there.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

/// What came of a send.
#[derive(Debug)]
pub enum SendResult {
    /// An answer.
    Response(Response<Incoming>),
    /// No byte of the request has left.
    NotSent,
    /// It may have arrived.
    MaybeSent,
}

impl Connection {
    /// Connects.
    ///
    /// # Errors
    ///
    /// When the address refuses or does not answer within `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self> {
        let connecting = timeout(limit, TcpStream::connect(address)).await;
        let stream = connecting
            .with_context(|| format!("no answer from {address}"))?
            .with_context(|| format!("connecting to {address}"))?;
        tune(&stream).with_context(|| format!("setting up the connection to {address}"))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let task = tokio::spawn(async move {
            // How it ends shows in the answer that is waited for.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            task: task.abort_handle(),
        })
    }

    /// Whether it can take a request.
    pub async fn is_usable(&mut self) -> bool {
        !self.sender.is_closed() && self.sender.ready().await.is_ok()
    }

    /// Sends a request and waits for the answer's head.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> SendResult {
        match self.sender.try_send_request(request).await {
            Ok(response) => SendResult::Response(response),
            Err(mut err) => match err.take_message() {
                Some(_) => SendResult::NotSent,
                None => SendResult::MaybeSent,
            },
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Whether a connection failed because nobody answered at all.
pub fn is_connect_timeout(err: &anyhow::Error) -> bool {
    err.is::<Elapsed>()
}

fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    // Closing resets. Otherwise bytes that wait in this host's buffer, as on a path that is
    // cut, still arrive after the request was given up, and run seconds later: beside a
    // repeat elsewhere, or at a runner that has begun to leave. A reset drops them. Nothing
    // is lost by it, as a connection is closed only idle or to give up what it carries.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(SILENCE))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Whether the other side will close the connection after this answer.
pub fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// How long the other side keeps an idle connection, if it says so.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
