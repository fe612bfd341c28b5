//! What has changed in the store, told from host to host.
//!
//! Short calls over HTTP on the peers' port: the question names the revision up to which
//! the asker has seen all keys and the version of the document that it has, the answer is
//! a [`Changes`] or [`Notice`] message.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, Uri};
use prost::Message;
use radishstair_core::proxy::document::{INLINE_BYTES, Notice};
use radishstair_core::proxy::mirror::Changes;

use super::client::{Client, Outcome, Timeouts};
use super::reply::{Body, answer};
use super::{Shared, call, document};

const CHANGES: &str = "/changes";
const DOCUMENT: &str = "/document";
/// Query parameter: revision up to which the asker has seen all keys.
const AFTER: &str = "after";
/// Query parameter: version of the document whose text the asker has.
const HAVE: &str = "have";
/// Query parameter: most bytes that are to come of what the asker lacks.
const MOST: &str = "most";
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

/// Timeouts of a short answer.
const SHORT_ANSWER: Timeouts = Timeouts {
    head: WAIT_HEAD,
    idle: WAIT,
    total: WAIT,
};

/// Answers a peer.
pub fn respond(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        CHANGES => respond_changes(shared, request.uri()),
        DOCUMENT => respond_document(shared, request.uri()),
        _ => answer(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn respond_changes(shared: &Shared, uri: &Uri) -> Response<Body> {
    let (Some(after), Some(have)) = (number(uri, AFTER), number(uri, HAVE)) else {
        return answer(StatusCode::BAD_REQUEST, "after, have: numbers are needed\n");
    };
    let changes = shared.mirror().changes(shared.now(), after);
    let changes = changes.map(|changes| Changes {
        document: document::notice(shared, have, INLINE_BYTES),
        ..changes
    });
    encoded(changes)
}

fn respond_document(shared: &Shared, uri: &Uri) -> Response<Body> {
    let (Some(have), Some(most)) = (number(uri, HAVE), number(uri, MOST)) else {
        return answer(StatusCode::BAD_REQUEST, "have, most: numbers are needed\n");
    };
    encoded(document::notice(shared, have, most as usize))
}

fn encoded(message: Option<impl Message>) -> Response<Body> {
    match message {
        Some(message) => answer(StatusCode::OK, message.encode_to_vec()),
        None => answer(StatusCode::SERVICE_UNAVAILABLE, "nothing is known yet\n"),
    }
}

fn number(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(have, _)| *have == name)?;
    value.parse().ok()
}

/// Asks a peer for what came after a revision, and for the document if it is newer than
/// version `have`; none if it cannot tell.
pub async fn fetch(
    shared: &Shared,
    client: &Client,
    peer: SocketAddr,
    after: u64,
    have: u64,
) -> Option<Changes> {
    let timeouts = match after {
        0 => Timeouts {
            idle: WAIT_WHOLE,
            total: WAIT_WHOLE,
            ..SHORT_ANSWER
        },
        _ => SHORT_ANSWER,
    };
    let path = format!("{CHANGES}?{AFTER}={after}&{HAVE}={have}");
    fetch_path(shared, client, peer, "peer", &path, timeouts).await
}

/// Asks a peer for the document if it is newer than version `have`, with at most so many
/// bytes of what is lacking.
pub async fn fetch_document(
    shared: &Shared,
    client: &Client,
    peer: SocketAddr,
    have: u64,
    most: usize,
) -> Option<Notice> {
    let timeouts = if most <= INLINE_BYTES {
        SHORT_ANSWER
    } else {
        call::TRANSFER
    };
    let path = format!("{DOCUMENT}?{HAVE}={have}&{MOST}={most}");
    fetch_path(shared, client, peer, "peer-document", &path, timeouts).await
}

async fn fetch_path<M: Message + Default>(
    shared: &Shared,
    client: &Client,
    peer: SocketAddr,
    name: &'static str,
    path: &str,
    timeouts: Timeouts,
) -> Option<M> {
    let asked = shared.now();
    let mut request = Request::new(Bytes::new());
    // Made of fixed words and numbers only.
    *request.uri_mut() = path.parse().unwrap_or_default();
    let answer = client.send_with(peer, request, timeouts).await;
    let took = shared.now().since(asked);
    let (told, outcome, bytes) = match answer {
        Outcome::Response(StatusCode::OK, body) => {
            let bytes = body.len();
            (M::decode(body).ok(), "odd", bytes)
        }
        Outcome::Response(..) => (None, "refused", 0),
        Outcome::NotSent => (None, "unreachable", 0),
        Outcome::Lost { received } => (None, "lost", received),
    };
    shared.metrics.observe_call(name, bytes, took);
    if told.is_none() {
        tracing::warn!(event = "peer-call-failed", call = name, %peer, outcome, bytes, took_ms = took.as_millis() as u64);
    }
    told
}
