//! Asking the platform: short calls with a time limit each.
//!
//! A connection on which an answer was lost returns nothing further, so a call
//! that ran out of time takes its connection with it.

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

/// Longest time to connect.
const CONNECT: Duration = Duration::from_millis(400);
/// Most bytes of an answer: a page of the store holds a megabyte of values.
const BYTES: usize = 8 * 1024 * 1024;
/// Most idle connections.
const MOST: usize = 4;

/// What came of a call.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// It was answered.
    Response(StatusCode, Bytes),
    /// It did not leave this host.
    NotSent,
    /// It may have been carried out.
    Lost {
        /// Bytes of the answer's body that had come.
        received: usize,
    },
}

/// Timeouts of one call.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// Until the answer's head has come, a new connection included.
    pub head: Duration,
    /// Between two parts of the answer.
    pub idle: Duration,
    /// Until all of the answer has come.
    pub total: Duration,
}

impl Timeouts {
    /// One limit for everything.
    pub const fn within(limit: Duration) -> Self {
        Self {
            head: limit,
            idle: limit,
            total: limit,
        }
    }
}

/// Connections to one service of the platform.
#[derive(Debug, Default)]
pub struct Client {
    idle: Mutex<Vec<Connection>>,
}

impl Client {
    /// Asks within a time limit.
    pub async fn send(&self, address: SocketAddr, request: Request<Bytes>, limit: Duration) -> Outcome {
        self.send_with(address, request, Timeouts::within(limit)).await
    }

    /// Asks with these timeouts.
    pub async fn send_with(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        timeouts: Timeouts,
    ) -> Outcome {
        let mut left = false;
        let began = Instant::now();
        let (line, response) = match timeout(timeouts.head, self.start(address, request, &mut left)).await {
            Ok(Ok(begun)) => begun,
            Ok(Err(asked)) => return asked,
            Err(_) if left => return Outcome::Lost { received: 0 },
            Err(_) => return Outcome::NotSent,
        };
        let rest = timeouts.total.saturating_sub(began.elapsed());
        let mut body = BytesMut::new();
        let collecting = self.collect(line, response, timeouts.idle, &mut body);
        match timeout(rest, collecting).await {
            Ok(Some(status)) => Outcome::Response(status, body.freeze()),
            Ok(None) | Err(_) => Outcome::Lost { received: body.len() },
        }
    }

    async fn start(
        &self,
        address: SocketAddr,
        request: Request<Bytes>,
        left: &mut bool,
    ) -> Result<(Connection, Response<Incoming>), Outcome> {
        let Some(mut line) = self.line(address).await else {
            return Err(Outcome::NotSent);
        };
        let (mut parts, body) = request.into_parts();
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            parts.headers.insert(HOST, host);
        }
        *left = true;
        match line.send(Request::from_parts(parts, Full::new(body))).await {
            SendResult::Response(response) => Ok((line, response)),
            SendResult::NotSent => Err(Outcome::NotSent),
            SendResult::MaybeSent => Err(Outcome::Lost { received: 0 }),
        }
    }

    /// Reads an answer to its end; its connection serves on then. None if it broke off or fell silent.
    async fn collect(
        &self,
        line: Connection,
        response: Response<Incoming>,
        idle: Duration,
        received: &mut BytesMut,
    ) -> Option<StatusCode> {
        let (parts, body) = response.into_parts();
        let mut body = Limited::new(body, BYTES);
        while let Some(frame) = timeout(idle, body.frame()).await.ok()? {
            if let Ok(data) = frame.ok()?.into_data() {
                received.extend_from_slice(&data);
            }
        }
        if !connection::has_connection_close(&parts.headers) {
            let mut idle = self.lock();
            if idle.len() < MOST {
                idle.push(line);
            }
        }
        Some(parts.status)
    }

    async fn line(&self, address: SocketAddr) -> Option<Connection> {
        loop {
            let Some(mut line) = self.lock().pop() else {
                break;
            };
            if line.is_usable().await {
                return Some(line);
            }
        }
        Connection::connect(address, CONNECT).await.ok()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
