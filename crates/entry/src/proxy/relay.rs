//! Relays connections to runners for hosts that have lost their path to them.
//!
//! Bytes are passed on as they come, with a small buffer in each direction, so that a slow reader holds back
//! the sender. When one side resets its connection, the other one is reset as well: a caller that has
//! gone ends its request at the runner, and an answer that was cut does not look complete.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use anyhow::{Context, Result};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, UPGRADE};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use radishstair_core::id::Incarnation;
use radishstair_core::proxy::fleet::{AttemptResult, Key};
use radishstair_core::proxy::memory;
use radishstair_core::proxy::reach::Phase;
use radishstair_core::time::Moment;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

use super::reply::{Body, full_body, with_body};
use super::settings::Settings;
use super::{Shared, paths};
use crate::upstream::connection::{self, dial};
use crate::upstream::pool;
use crate::upstream::relay::{PROTOCOL, RUN_HEADER, RUNNER_HEADER, SECRET_HEADER};

/// Buffer for each direction of a relayed connection, in bytes.
const BUFFER_BYTES: usize = 8 * 1024;
/// Fraction of the connections of callers that may be relayed ones.
const CONNECTION_FRACTION: usize = 4;

/// Relayed connections of this host.
#[derive(Debug, Default)]
pub struct Relayed {
    open: AtomicU64,
    /// When a byte last passed, in microseconds of the monotonic clock.
    last_active_us: AtomicU64,
}

impl Relayed {
    /// Number of relayed connections.
    pub fn open(&self) -> u64 {
        self.open.load(Ordering::Relaxed)
    }

    /// When a byte last passed on any of them.
    pub fn last_active(&self) -> Moment {
        Moment {
            mono_us: self.last_active_us.load(Ordering::Relaxed),
            ..Moment::default()
        }
    }

    fn record_active(&self, now: Moment) {
        self.last_active_us.store(now.mono_us, Ordering::Relaxed);
    }
}

/// Counts a relayed connection as long as it exists.
#[derive(Debug)]
struct Permit(Arc<Shared>);

impl Permit {
    /// Permit for one more connection, unless there are too many.
    fn acquire(shared: &Arc<Shared>) -> Option<Self> {
        let limit = max_relayed(&shared.settings.load()) as u64;
        let is_within = |open: u64| (open < limit).then_some(open + 1);
        let open = &shared.relayed.open;
        let counted = open.fetch_update(Ordering::Relaxed, Ordering::Relaxed, is_within);
        counted.is_ok().then(|| Self(shared.clone()))
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.relayed.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Number of connections that a host relays at most: memory, descriptors and its own callers limit it.
fn max_relayed(settings: &Settings) -> usize {
    memory::max_relayed(settings.memory_mb).min(settings.connections / CONNECTION_FRACTION)
}

/// Why a connection is not relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Refusal {
    /// The request is malformed.
    Malformed,
    /// The asking host is not known as one.
    Stranger,
    /// This host stops, has lost the path itself, or relays enough.
    Busy,
    /// This host does not use the runner now.
    NotUsable,
    /// The runner cannot be reached.
    Unreachable,
}

impl Refusal {
    fn name(self) -> &'static str {
        match self {
            Refusal::Malformed => "malformed",
            Refusal::Stranger => "stranger",
            Refusal::Busy => "busy",
            Refusal::NotUsable => "not-usable",
            Refusal::Unreachable => "unreachable",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Refusal::Malformed => StatusCode::BAD_REQUEST,
            Refusal::Stranger => StatusCode::FORBIDDEN,
            Refusal::Busy => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::NotUsable => StatusCode::CONFLICT,
            Refusal::Unreachable => StatusCode::BAD_GATEWAY,
        }
    }
}

/// Responds to a peer that asks for a connection to a runner.
pub async fn respond(shared: &Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let result = open(shared, &request).await;
    shared.metrics.count_relay(match &result {
        Ok(_) => "ok",
        Err(refusal) => refusal.name(),
    });
    match result {
        Ok((runner, permit)) => {
            tokio::spawn(hand_over(shared.clone(), request, runner, permit));
            switch_protocols()
        }
        Err(refusal) => {
            tracing::info!(event = "relay-refused", reason = refusal.name());
            with_body(refusal.status(), refusal.name())
        }
    }
}

fn switch_protocols() -> Response<Body> {
    let mut response = Response::new(full_body(""));
    *response.status_mut() = StatusCode::SWITCHING_PROTOCOLS;
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, HeaderValue::from_static(PROTOCOL));
    response
}

/// Checks a request and connects to the runner.
async fn open(shared: &Arc<Shared>, request: &Request<Incoming>) -> Result<(TcpStream, Permit), Refusal> {
    let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
    let (Some(runner), Some(run), Some(secret)) =
        (header(RUNNER_HEADER), header(RUN_HEADER), header(SECRET_HEADER))
    else {
        return Err(Refusal::Malformed);
    };
    let run: Incarnation = run.parse().map_err(|_| Refusal::Malformed)?;
    if !shared.is_peer(run, secret) {
        return Err(Refusal::Stranger);
    }
    let (key, address) = target(shared, runner)?;
    let permit = Permit::acquire(shared).ok_or(Refusal::Busy)?;
    // The socket is used by the thread that forwards requests.
    let traffic = shared.traffic.get().ok_or(Refusal::Busy)?;
    let connecting = traffic.spawn(connect(shared.clone(), key, address));
    let connected = connecting.await.map_err(|_| Refusal::Busy)?;
    let connected = connected.ok_or(Refusal::Unreachable)?;
    tracing::info!(event = "relaying", runner, run = %run);
    Ok((connected, permit))
}

/// The runner to connect to, if this host uses it itself.
fn target(shared: &Shared, runner: &str) -> Result<(Key, SocketAddr), Refusal> {
    if shared.is_stopping() {
        return Err(Refusal::Busy);
    }
    let now = shared.now();
    let state = shared.state();
    let (key, address) = state.relay_target(now, runner).ok_or(Refusal::NotUsable)?;
    let service = state.fleet.get(key).map(|runner| runner.listed.service.as_str());
    match service.map(|service| state.reach.phase(service)) {
        Some(Phase::Direct) => Ok((key, address)),
        _ => Err(Refusal::Busy),
    }
}

async fn connect(shared: Arc<Shared>, key: Key, address: SocketAddr) -> Option<TcpStream> {
    let connected = dial(address, pool::CONNECT_TIMEOUT).await;
    shared.metrics.count_connection(paths::outcome(&connected));
    match connected {
        Ok(stream) => {
            paths::on_connection(&shared, key);
            Some(stream)
        }
        Err(err) => {
            let now = shared.now();
            let failure = paths::failure(&err);
            let change = shared
                .state()
                .record_unreachable(now, key, AttemptResult::Unreachable, failure);
            paths::on_failure(&shared, key, change);
            None
        }
    }
}

/// Passes the connection of an upgraded request to the thread that forwards requests.
async fn hand_over(shared: Arc<Shared>, request: Request<Incoming>, runner: TcpStream, permit: Permit) {
    let Ok(upgraded) = hyper::upgrade::on(request).await else {
        // The peer has closed the connection.
        return;
    };
    let Ok(parts) = upgraded.downcast::<TokioIo<TcpStream>>() else {
        tracing::warn!(event = "relay-failed", reason = "not a TCP connection");
        return;
    };
    match (parts.io.into_inner().into_std(), shared.traffic.get()) {
        (Ok(peer), Some(traffic)) => {
            traffic.spawn(relay(shared.clone(), peer, parts.read_buf, runner, permit));
        }
        (Err(err), _) => tracing::warn!(event = "relay-failed", reason = %err),
        (Ok(_), None) => {}
    }
}

/// Relays until both sides have closed, or one of them has failed.
async fn relay(
    shared: Arc<Shared>,
    peer: std::net::TcpStream,
    received: bytes::Bytes,
    runner: TcpStream,
    _permit: Permit,
) {
    let copied = copy_both(&shared, peer, received, runner).await;
    if let Err(err) = copied {
        tracing::debug!(event = "relay-ended", reason = %format!("{err:#}"));
    }
}

async fn copy_both(
    shared: &Shared,
    peer: std::net::TcpStream,
    received: bytes::Bytes,
    mut runner: TcpStream,
) -> Result<()> {
    let mut peer = TcpStream::from_std(peer).context("using the peer's connection")?;
    connection::set_socket_options(&peer).context("setting up the peer's connection")?;
    runner
        .write_all(&received)
        .await
        .context("writing to the runner")?;
    let (from_peer, to_peer) = peer.split();
    let (from_runner, to_runner) = runner.split();
    tokio::try_join!(
        copy(shared, from_peer, to_runner),
        copy(shared, from_runner, to_peer)
    )?;
    Ok(())
}

/// Copies one direction to its end, which is passed on.
async fn copy(shared: &Shared, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>) -> Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await.context("reading")?;
        if length == 0 {
            return to.shutdown().await.context("closing");
        }
        shared.relayed.record_active(shared.now());
        to.write_all(&buffer[..length]).await.context("writing")?;
    }
}
