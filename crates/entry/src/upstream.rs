//! HTTP/1.1 client for runners and for the platform.
//!
//! A failed call reports whether the runner may have run it. If the connection
//! is refused, no byte was sent; after any later failure the runner may have
//! run the call. Calls that must run at most once use a new connection, or one
//! that was idle only briefly: when a runner closes an idle connection while a
//! request is being sent on it, the client cannot distinguish that from a reset
//! in the middle of the call.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Request, Response};
use radishstair_core::dispatch::Assignment;
use radishstair_core::kernel::Event;
use radishstair_core::proxy::fleet::holdoff::Notice;
use radishstair_core::retry::Fault;
use radishstair_core::time::Moment;
use radishstair_wire::http;

pub mod attempts;
pub mod connection;
mod head;
pub mod hold_off;
mod limited;
pub mod pool;
pub mod relay;

use crate::handle::Handle;
use connection::{Connection, SendResult};
use pool::{Demand, Pool};

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte was sent.
    NotSent,
    /// Bytes may have been sent, so the runner may have run the call.
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

/// A call to be sent to a runner.
#[derive(Clone, Debug)]
pub struct RunnerRequest {
    /// Path of the URL.
    pub path: String,
    /// Request id, which the runner must repeat in its answer.
    pub id: String,
    /// JSON body.
    pub body: Bytes,
}

/// An answer whose head was received, with the connection it arrives on.
#[derive(Debug)]
pub struct Exchange {
    connection: Connection,
    address: SocketAddr,
    /// The answer; its body may not be complete yet.
    pub response: Response<Incoming>,
}

/// The connection that an answer arrives on, separate from the answer.
#[derive(Debug)]
pub struct ResponseConnection {
    connection: Connection,
    address: SocketAddr,
    will_close: bool,
    keep_alive: Option<Duration>,
}

impl Exchange {
    /// Splits into the answer and its connection, which may return to the pool
    /// once the answer was read to its end.
    pub fn split(self) -> (Response<Incoming>, ResponseConnection) {
        let headers = self.response.headers();
        let connection = ResponseConnection {
            will_close: connection::has_connection_close(headers),
            keep_alive: connection::keep_alive_timeout(headers),
            connection: self.connection,
            address: self.address,
        };
        (self.response, connection)
    }
}

impl ResponseConnection {
    /// The connection.
    pub fn connection(&self) -> &Connection {
        &self.connection
    }

    /// Returns the connection to the pool, unless the runner will close it.
    ///
    /// The answer must have been read to its end.
    pub fn release(self, pool: &Pool, now: Moment) {
        if !self.will_close {
            pool.release(now, self.address, self.connection, self.keep_alive);
        }
    }
}

/// Sends a call to the assigned runner and waits for the head of the answer.
///
/// # Errors
///
/// The failure, which says whether bytes may have been sent.
pub async fn send(
    pool: &Pool,
    now: Moment,
    assignment: &Assignment,
    runner_request: &RunnerRequest,
    on_new_connection: bool,
) -> Result<Exchange, Failure> {
    let request = build_request(assignment, runner_request)?;
    let address: SocketAddr = assignment.address.parse().map_err(|_| Failure::NotSent)?;
    let demand = Demand {
        id: &runner_request.id,
        at_most_once: false,
    };
    let connected = match on_new_connection {
        true => Connection::connect(address, CONNECT_TIMEOUT).await,
        false => pool.acquire(now, address, demand, CONNECT_TIMEOUT).await,
    };
    let connection = connected.map_err(|_| Failure::NotSent)?;
    exchange(connection, address, &runner_request.id, request).await
}

/// Sends a request on the given connection, which has not carried its id, and waits for the head of the answer.
///
/// # Errors
///
/// The failure, which says whether bytes may have been sent.
pub async fn exchange(
    mut connection: Connection,
    address: SocketAddr,
    id: &str,
    request: Request<Full<Bytes>>,
) -> Result<Exchange, Failure> {
    connection.record_id(id);
    match connection.send(request).await {
        SendResult::Response(response) if head::is_sound(&response) => Ok(Exchange {
            connection,
            address,
            response,
        }),
        SendResult::Response(response) => {
            tracing::warn!(
                event = "answer-head-unsound",
                request = id,
                %address,
                status = response.status().as_u16(),
                connection = connection.number(),
                exchange = connection.carried().count()
            );
            Err(Failure::MaybeSent)
        }
        SendResult::NotSent => Err(Failure::NotSent),
        SendResult::MaybeSent => Err(Failure::MaybeSent),
    }
}

fn build_request(
    assignment: &Assignment,
    runner_request: &RunnerRequest,
) -> Result<Request<Full<Bytes>>, Failure> {
    let id = HeaderValue::from_str(&runner_request.id).map_err(|_| Failure::NotSent)?;
    let host = HeaderValue::from_str(&assignment.address).map_err(|_| Failure::NotSent)?;
    Request::post(&runner_request.path)
        .header(HOST, host)
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"))
        .header(http::REQUEST_ID, id)
        .header(http::PRIORITY, HeaderValue::from(u16::from(assignment.priority)))
        .body(Full::new(runner_request.body.clone()))
        .map_err(|_| Failure::NotSent)
}

/// What a runner says about itself in the head of an answer.
#[derive(Clone, Copy, Debug)]
pub struct Notices {
    is_leaving: bool,
    hold_off: Notice,
}

impl Notices {
    /// Reads the head of an answer.
    pub fn of(answer: &Response<Incoming>) -> Self {
        Self {
            is_leaving: answer.headers().contains_key(http::LEAVING),
            hold_off: hold_off::notice(answer.status(), answer.headers()),
        }
    }

    /// Tells the kernel of them. The answer must be known to be the one to this host's request.
    pub fn notify(self, handle: &Handle, runner: &str) {
        if self.is_leaving {
            handle.notify(Event::RunnerLeaving(runner.to_string()));
        }
        match self.hold_off {
            Notice::For(wait) => {
                tracing::info!(
                    event = "runner-hold-off",
                    runner,
                    wait_ms = Notice::For(wait).wait_ms()
                );
                handle.notify(Event::RunnerHoldOff(runner.to_string(), wait));
            }
            Notice::Malformed => tracing::debug!(event = "runner-hold-off-malformed", runner),
            Notice::Absent => {}
        }
    }
}
