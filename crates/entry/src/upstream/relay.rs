//! Client of a peer that relays a connection to a runner.
//!
//! The peer is asked to connect to a runner by an HTTP upgrade. It answers once it has connected, and from
//! then on passes bytes on in both directions. Nothing of a request is sent before.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST, UPGRADE};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use radishstair_core::id::Incarnation;
use radishstair_core::proxy::relay::Secret;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

use super::connection::{Connection, dial};

/// Path of the request to relay a connection.
pub const PATH: &str = "/relay";
/// Protocol after the upgrade.
pub const PROTOCOL: &str = "radishstair-relay";
/// Header with the id of the runner.
pub const RUNNER_HEADER: &str = "x-relay-runner";
/// Header with the run of the asking host.
pub const RUN_HEADER: &str = "x-relay-run";
/// Header with the secret of that run.
pub const SECRET_HEADER: &str = "x-relay-secret";
/// Time limit for the connection to the peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(200);

/// By what a host shows that it is one.
#[derive(Clone, Copy, Debug)]
pub struct Credentials {
    /// Run of the host.
    pub incarnation: Incarnation,
    /// Secret of the run.
    pub secret: Secret,
}

/// Why no connection was relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The peer does not reach the runner, or does not use it.
    Runner,
    /// The peer cannot be reached, or relays nothing now.
    Peer,
}

impl Failure {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Failure::Runner => "runner",
            Failure::Peer => "peer",
        }
    }
}

/// Ends a task when dropped.
struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Has a peer connect to a runner.
///
/// # Errors
///
/// Whether the runner or the peer is why there is no connection within `limit`. No byte of a request
/// was sent then.
pub async fn connect(
    peer: SocketAddr,
    runner: &str,
    credentials: Credentials,
    limit: Duration,
) -> Result<Connection, Failure> {
    let opening = open(peer, runner, credentials);
    let stream = timeout(limit, opening).await.map_err(|_| Failure::Peer)??;
    let connection = Connection::over(stream, Some(peer)).await;
    connection.map_err(|_| Failure::Peer)
}

async fn open(peer: SocketAddr, runner: &str, credentials: Credentials) -> Result<TcpStream, Failure> {
    let stream = dial(peer, PEER_TIMEOUT).await.map_err(|_| Failure::Peer)?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| Failure::Peer)?;
    let task = tokio::spawn(async move {
        // An error also reaches whoever waits for the answer.
        let _ = connection.with_upgrades().await;
    });
    let _task = AbortOnDrop(task.abort_handle());
    let request = Request::get(PATH)
        .header(HOST, peer.to_string())
        .header(CONNECTION, "upgrade")
        .header(UPGRADE, PROTOCOL)
        .header(RUNNER_HEADER, runner)
        .header(RUN_HEADER, credentials.incarnation.to_string())
        .header(SECRET_HEADER, credentials.secret.to_text())
        .body(Empty::<Bytes>::new())
        .map_err(|_| Failure::Runner)?;
    let response = sender.send_request(request).await.map_err(|_| Failure::Peer)?;
    match response.status() {
        StatusCode::SWITCHING_PROTOCOLS => {}
        StatusCode::BAD_GATEWAY | StatusCode::CONFLICT => return Err(Failure::Runner),
        _ => return Err(Failure::Peer),
    }
    let upgraded = hyper::upgrade::on(response).await.map_err(|_| Failure::Peer)?;
    let parts = upgraded.downcast::<TokioIo<TcpStream>>();
    // The runner sends nothing before it gets a request.
    let parts = parts.ok().filter(|parts| parts.read_buf.is_empty());
    Ok(parts.ok_or(Failure::Peer)?.io.into_inner())
}
