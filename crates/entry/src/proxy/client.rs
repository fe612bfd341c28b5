//! HTTP client for short calls to the platform and to peers, each with timeouts.
//!
//! A connection on which a response was lost returns nothing further, so a call
//! that times out also closes its connection.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use tokio::time::{Instant, timeout};

use crate::upstream::connection::{self, Connection, SendResult};

/// Time limit for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a response; a page of the store holds a megabyte of values.
const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum number of idle connections.
const MAX_IDLE_CONNECTIONS: usize = 4;

/// Outcome of a call.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A complete response was received.
    Response(StatusCode, Bytes),
    /// Nothing was sent.
    NotSent,
    /// No complete response was received; the call may have been carried out.
    Lost {
        /// Bytes of the response body that had been received.
        received: usize,
    },
}

/// Timeouts of one call.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Until the head of the response is received, including a new connection.
    pub head: Duration,
    /// Between two parts of the response body.
    pub idle: Duration,
    /// Until the complete response is received.
    pub total: Duration,
}

impl Timeouts {
    /// The same limit for all timeouts.
    pub const fn all(limit: Duration) -> Self {
        Self {
            head: limit,
            idle: limit,
            total: limit,
        }
    }
}

/// HTTP client for one address, with a pool of idle connections.
#[derive(Debug, Default)]
pub struct Client {
    idle: Mutex<Vec<Connection>>,
}

impl Client {
    /// Sends a request with one time limit for the whole call.
    pub async fn send(&self, address: SocketAddr, request: Request<Bytes>, limit: Duration) -> Outcome {
        self.send_with(address, request, Timeouts::all(limit)).await
    }

    /// Sends a request with the given timeouts.
    pub async fn send_with(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeouts: Timeouts,
    ) -> Outcome {
        let mut maybe_sent = false;
        let started_at = Instant::now();
        let (connection, response) =
            match timeout(timeouts.head, self.start(address, request, &mut maybe_sent)).await {
                Ok(Ok(started)) => started,
                Ok(Err(outcome)) => return outcome,
                Err(_) if maybe_sent => return Outcome::Lost { received: 0 },
                Err(_) => return Outcome::NotSent,
            };
        let time_left = timeouts.total.saturating_sub(started_at.elapsed());
        let mut body = BytesMut::new();
        let reading = self.read_body(connection, response, timeouts.idle, &mut body);
        match timeout(time_left, reading).await {
            Ok(Some(status)) => Outcome::Response(status, body.freeze()),
            Ok(None) | Err(_) => Outcome::Lost { received: body.len() },
        }
    }

    async fn start(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        maybe_sent: &mut bool,
    ) -> Result<(Connection, Response<Incoming>), Outcome> {
        let Some(mut connection) = self.connection(address).await else {
            return Err(Outcome::NotSent);
        };
        let (mut parts, body) = request.into_parts();
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            parts.headers.insert(HOST, host);
        }
        *maybe_sent = true;
        match connection.send(Request::from_parts(parts, Full::new(body))).await {
            SendResult::Response(response) => Ok((connection, response)),
            SendResult::NotSent => Err(Outcome::NotSent),
            SendResult::MaybeSent => Err(Outcome::Lost { received: 0 }),
        }
    }

    /// Reads a response body to its end and keeps the connection for reuse; `None` if the
    /// body broke off, stalled or was too long.
    async fn read_body(
        &self,
        connection: Connection,
        response: Response<Incoming>,
        idle: Duration,
        received: &mut BytesMut,
    ) -> Option<StatusCode> {
        let (parts, body) = response.into_parts();
        let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
        while let Some(frame) = timeout(idle, body.frame()).await.ok()? {
            if let Ok(data) = frame.ok()?.into_data() {
                received.extend_from_slice(&data);
            }
        }
        if !connection::has_connection_close(&parts.headers) {
            let mut idle = self.lock();
            if idle.len() < MAX_IDLE_CONNECTIONS {
                idle.push(connection);
            }
        }
        Some(parts.status)
    }

    async fn connection(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let Some(mut connection) = self.lock().pop() else {
                break;
            };
            if connection.is_usable().await {
                return Some(connection);
            }
        }
        Connection::connect(address, CONNECT_TIMEOUT).await.ok()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
