//! An HTTP/1.1 client connection to a runner or to the platform.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use anyhow::{Context, Result};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use radishstair_core::carried;
use radishstair_core::proxy::fleet::Way;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

use super::limited::{Allowance, MAX_HEAD_BYTES, Socket};

/// Time without an acknowledgement after which the operating system ends a connection
/// (`TCP_USER_TIMEOUT`); a host that lost power sends no reset.
///
/// Only a last resort: a connection ended this way is not always reset, so a request that
/// was buffered during a network partition could still run once the partition heals.
/// Therefore it exceeds every time after which this process itself closes, and thereby
/// resets, a connection: the check of the path to a runner and the timeouts of calls to
/// the platform.
const ACK_TIMEOUT: Duration = Duration::from_secs(8);
/// TCP keep-alive on a connection that waits for an answer: idle time before the first
/// probe, time between probes, and lost probes that end it; in total [`ACK_TIMEOUT`].
const KEEP_ALIVE_IDLE: Duration = Duration::from_secs(1);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEP_ALIVE_PROBES: u32 = 7;

/// Time for which a connection may take to become ready after its last answer was read to the end.
const READY_TIMEOUT: Duration = Duration::from_millis(10);

/// A connection. Dropping it resets it, which cancels the request in progress.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    allowance: Allowance,
    task: AbortHandle,
    /// Peer that relays it.
    relay: Option<SocketAddr>,
    /// Number in this process, for log lines.
    number: u64,
    carried: carried::Ids,
}

/// Result of sending a request.
#[derive(Debug)]
pub enum SendResult {
    /// Head of the answer; its body can be read.
    Response(Response<Incoming>),
    /// No byte of the request was sent.
    NotSent,
    /// The request may have arrived.
    MaybeSent,
}

impl Connection {
    /// Connects to an address.
    ///
    /// # Errors
    ///
    /// When the address refuses or does not answer within `limit`.
    pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Self> {
        Self::over(dial(address, limit).await?, None).await
    }

    /// Uses a socket that was connected directly, or through a peer.
    ///
    /// # Errors
    ///
    /// When the socket is closed.
    pub async fn over(stream: TcpStream, relay: Option<SocketAddr>) -> Result<Self> {
        let (socket, allowance) = Socket::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(socket))
            .await?;
        let task = tokio::spawn(async move {
            // An error also reaches whoever waits for the answer.
            let _ = connection.await;
        });
        static NUMBER: AtomicU64 = AtomicU64::new(1);
        Ok(Self {
            number: NUMBER.fetch_add(1, Ordering::Relaxed),
            carried: carried::Ids::default(),
            sender,
            allowance,
            task: task.abort_handle(),
            relay,
        })
    }

    /// Peer that relays it; `None` if it is direct.
    pub fn relay(&self) -> Option<SocketAddr> {
        self.relay
    }

    /// Whether it is direct.
    pub fn way(&self) -> Way {
        match self.relay {
            Some(_) => Way::Relayed,
            None => Way::Direct,
        }
    }

    /// Number in this process, for log lines.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Ids of the requests that were sent on it.
    pub fn carried(&self) -> &carried::Ids {
        &self.carried
    }

    /// Records the id of the request that is sent next.
    pub fn record_id(&mut self, id: &str) {
        self.carried.record(id);
    }

    /// Whether the connection is open and ready for a request.
    ///
    /// It is not ready while bytes of the former request wait to be written, as its answer came early and the other side
    /// reads on later or never.
    pub async fn is_usable(&mut self) -> bool {
        let ready = timeout(READY_TIMEOUT, self.sender.ready()).await;
        !self.sender.is_closed() && matches!(ready, Ok(Ok(())))
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> SendResult {
        self.allowance.limit();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                self.allowance.lift();
                SendResult::Response(response)
            }
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

/// Opens a socket with the options of all connections to runners and peers.
///
/// # Errors
///
/// When the address refuses or does not answer within `limit`.
pub async fn dial(address: SocketAddr, limit: Duration) -> Result<TcpStream> {
    let connecting = timeout(limit, TcpStream::connect(address)).await;
    let stream = connecting
        .with_context(|| format!("no answer from {address}"))?
        .with_context(|| format!("connecting to {address}"))?;
    set_socket_options(&stream).with_context(|| format!("setting up the connection to {address}"))?;
    Ok(stream)
}

/// Whether an error of [`Connection::connect`] is a timeout rather than a refusal.
pub fn is_connect_timeout(err: &anyhow::Error) -> bool {
    err.is::<Elapsed>()
}

/// Sets the options of connections to runners and peers: no delay, reset on close, and an end when the
/// other side is silent.
///
/// # Errors
///
/// When the operating system refuses an option.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    // With a linger time of zero, closing resets the connection and discards unsent bytes.
    // Otherwise bytes that are still in the send buffer, as during a network partition,
    // would arrive after the request was abandoned and run seconds later: in addition to a
    // retry elsewhere, or at a runner that has begun to leave. Nothing else is lost, as a
    // connection is closed only when it is idle or when its request is abandoned.
    socket.set_linger(Some(Duration::ZERO))?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_IDLE)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}

/// Whether a length or chunks mark the end of an answer's body, rather than the end of the connection.
pub fn has_marked_end(answer: &response::Parts) -> bool {
    if matches!(answer.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        return true;
    }
    let mut encodings = answer.headers.get_all(TRANSFER_ENCODING).iter();
    match encodings
        .next_back()
        .map(|value| value.to_str().unwrap_or_default())
    {
        Some(encodings) => encodings
            .rsplit(',')
            .next()
            .is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked")),
        None => answer.headers.contains_key(CONTENT_LENGTH),
    }
}

/// Whether the server will close the connection after this answer.
pub fn has_connection_close(headers: &HeaderMap) -> bool {
    let values = headers.get_all(CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|word| word.trim().eq_ignore_ascii_case("close"))
}

/// Idle time after which the server closes the connection, if a `keep-alive` header gives it.
pub fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}
