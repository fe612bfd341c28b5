//! What has changed in the store, told from host to host.
//!
//! A short call over HTTP on the peers' port: the question names the revision up
//! to which the asker has seen everything, the answer is a
//! [`Changes`] message.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use prost::Message;
use radishstair_core::gate::mirror::Changes;

use super::Shared;
use super::reply::{Body, answer};
use super::store::{Asked, Asker};

const PATH: &str = "/changes";
const AFTER: &str = "after=";
/// Longest wait for a peer's answer to begin, a new connection to it included: a host
/// whose peer is cut off must still read the store in time to leave runners alone that
/// have left two seconds ago.
const WAIT_HEAD: Duration = Duration::from_millis(250);
/// Longest wait for the whole answer: when hundreds of runners change at once, a
/// megabyte goes to 25 hosts at a time.
const WAIT: Duration = Duration::from_millis(700);
/// The same for all keys: a megabyte at 3,000 runners, for 25 hosts at a time after a
/// start of all. Given up too soon, it would be asked for again and again, and fill the
/// peer's link with answers that nobody takes.
const WAIT_WHOLE: Duration = Duration::from_secs(2);

/// Answers a peer.
pub fn respond(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() != PATH {
        return answer(StatusCode::NOT_FOUND, "not found\n");
    }
    let after = request.uri().query().and_then(|query| query.strip_prefix(AFTER));
    let Some(after) = after.and_then(|after| after.parse().ok()) else {
        return answer(StatusCode::BAD_REQUEST, "after: a revision is needed\n");
    };
    let changes = shared.mirror().changes(shared.now(), after);
    match changes {
        Some(changes) => answer(StatusCode::OK, changes.encode_to_vec()),
        None => answer(StatusCode::SERVICE_UNAVAILABLE, "nothing is known yet\n"),
    }
}

/// Asks a peer for what came after a revision; none if it cannot tell.
pub async fn ask(shared: &Shared, asker: &Asker, peer: SocketAddr, after: u64) -> Option<Changes> {
    let asked = shared.now();
    let mut request = Request::new(Bytes::new());
    // Made of a fixed path and a number only.
    *request.uri_mut() = format!("{PATH}?{AFTER}{after}").parse().unwrap_or_default();
    let wait = if after == 0 { WAIT_WHOLE } else { WAIT };
    let answer = asker.ask_patiently(peer, request, WAIT_HEAD, wait).await;
    let took = shared.now().since(asked);
    let (told, outcome, bytes) = match answer {
        Asked::Answer(StatusCode::OK, body) => {
            let bytes = body.len();
            (Changes::decode(body).ok(), "odd", bytes)
        }
        Asked::Answer(..) => (None, "refused", 0),
        Asked::Never => (None, "unreachable", 0),
        Asked::Lost { came } => (None, "lost", came),
    };
    shared.metrics.answered("peer", bytes, took);
    if told.is_none() {
        tracing::warn!(event = "peer-call-failed", %peer, outcome, bytes, took_ms = took.as_millis() as u64);
    }
    told
}
