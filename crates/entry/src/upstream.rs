//! Connections to runners, and to the platform.
//!
//! What matters is how far a call got when it failed. A refused connection
//! means that no byte went out; anything after that may have run. Calls that
//! may not be repeated use a new connection or one that is nearly fresh, as a
//! kept one that the runner has just closed cannot be told from one that it
//! reset midway.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Request, Response};
use radishstair_core::dispatch::Assignment;
use radishstair_core::retry::Fault;
use radishstair_core::time::Moment;
use radishstair_wire::http;

pub mod attempts;
pub mod connection;
pub mod pool;

use connection::{Connection, SendResult};
use pool::Pool;

/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(500);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte went out.
    NotSent,
    /// Bytes may have gone out.
    MaybeSent,
}

impl From<Failure> for Fault {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotSent => Fault::Unreachable,
            Failure::MaybeSent => Fault::MayHaveRun,
        }
    }
}

/// What goes to a runner.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Path.
    pub path: String,
    /// Names the request; the answer must name it again.
    pub id: String,
    /// Body.
    pub body: Bytes,
}

/// An answer that has begun, and the connection that it comes on.
#[derive(Debug)]
pub struct Exchange {
    line: Connection,
    address: SocketAddr,
    /// The answer.
    pub response: Response<Incoming>,
}

/// A connection whose answer was read apart from it.
#[derive(Debug)]
pub struct ResponseConnection {
    line: Connection,
    address: SocketAddr,
    closes: bool,
    kept: Option<Duration>,
}

impl Exchange {
    /// The answer, and the connection to give back once it was read whole.
    pub fn split(self) -> (Response<Incoming>, ResponseConnection) {
        let headers = self.response.headers();
        let kept = ResponseConnection {
            closes: connection::has_connection_close(headers),
            kept: connection::keep_alive_timeout(headers),
            line: self.line,
            address: self.address,
        };
        (self.response, kept)
    }
}

impl ResponseConnection {
    /// Gives the connection back; its answer was read to its end.
    pub fn release(self, pool: &Pool, now: Moment) {
        if !self.closes {
            pool.release(now, self.address, self.line, self.kept);
        }
    }
}

/// Sends a call to the runner that was chosen; `alone` on a new connection.
///
/// # Errors
///
/// Tells whether any byte can have gone out.
pub async fn send(
    pool: &Pool,
    now: Moment,
    start: &Assignment,
    outgoing: &Outgoing,
    alone: bool,
) -> Result<Exchange, Failure> {
    let request = request(start, outgoing)?;
    let address: SocketAddr = start.address.parse().map_err(|_| Failure::NotSent)?;
    let connected = match alone {
        true => Connection::connect(address, CONNECT).await,
        false => pool.acquire(now, address, false, CONNECT).await,
    };
    let line = connected.map_err(|_| Failure::NotSent)?;
    exchange(line, address, request).await
}

/// Sends a request on a connection that was taken for it.
///
/// # Errors
///
/// Tells whether any byte can have gone out.
pub async fn exchange(
    mut line: Connection,
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Exchange, Failure> {
    match line.send(request).await {
        SendResult::Response(response) => Ok(Exchange {
            line,
            address,
            response,
        }),
        SendResult::NotSent => Err(Failure::NotSent),
        SendResult::MaybeSent => Err(Failure::MaybeSent),
    }
}

fn request(start: &Assignment, outgoing: &Outgoing) -> Result<Request<Full<Bytes>>, Failure> {
    let id = HeaderValue::from_str(&outgoing.id).map_err(|_| Failure::NotSent)?;
    let host = HeaderValue::from_str(&start.address).map_err(|_| Failure::NotSent)?;
    Request::post(&outgoing.path)
        .header(HOST, host)
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
        .header(http::REQUEST_ID, id)
        .header(http::PRIORITY, HeaderValue::from(u16::from(start.priority)))
        .body(Full::new(outgoing.body.clone()))
        .map_err(|_| Failure::NotSent)
}

/// Whether an answer carries the notice of leaving.
pub fn leaves(answer: &Response<Incoming>) -> bool {
    answer.headers().contains_key(http::LEAVING)
}
