//! Exchange of store changes between hosts.
//!
//! Hosts fetch changes from each other with short HTTP calls on the peer port. The
//! request names the revision up to which the requesting host has seen all keys, and the
//! version of the document that it has; the response is a [`Changes`] or [`Notice`]
//! message.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, Uri};
use prost::Message;
use radishstair_core::proxy::document::{INLINE_BYTES, Notice};
use radishstair_core::proxy::mirror::Changes;

use super::client::{Client, Outcome, Timeouts};
use super::reply::{Body, with_body};
use super::{Shared, call, document};

/// Path for changes of all keys.
const CHANGES_PATH: &str = "/changes";
/// Path for the operator's document.
const DOCUMENT_PATH: &str = "/document";
/// Query parameter: revision up to which the requesting host has seen all keys.
const AFTER_PARAM: &str = "after";
/// Query parameter: version of the document that the requesting host has.
const HAVE_PARAM: &str = "have";
/// Query parameter: maximum bytes of document text or delta to send.
const MOST_PARAM: &str = "most";
/// Time limit for the head of a peer's response, including a new connection. A host whose
/// peer is unreachable must still be able to read the store in time, as runners that left
/// must get no requests two seconds later.
const HEAD_TIMEOUT: Duration = Duration::from_millis(250);
/// Time limit for a complete response with changes. When hundreds of runners change at
/// once, a peer sends a megabyte to each of 25 hosts at the same time.
const CHANGES_TIMEOUT: Duration = Duration::from_millis(700);
/// Time limit for a complete response with all keys: a megabyte with 3,000 runners, for 25
/// hosts at the same time after a start of all hosts. A shorter limit would make hosts
/// request the keys again and again, and fill the peer's link with responses that are
/// discarded.
const ALL_KEYS_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeouts of a short response.
const SHORT_TIMEOUTS: Timeouts = Timeouts {
    head: HEAD_TIMEOUT,
    idle: CHANGES_TIMEOUT,
    total: CHANGES_TIMEOUT,
};

/// Responds to a peer's request.
pub fn respond(shared: &Shared, request: &Request<Incoming>) -> Response<Body> {
    match request.uri().path() {
        CHANGES_PATH => respond_changes(shared, request.uri()),
        DOCUMENT_PATH => respond_document(shared, request.uri()),
        _ => with_body(StatusCode::NOT_FOUND, "not found\n"),
    }
}

fn respond_changes(shared: &Shared, uri: &Uri) -> Response<Body> {
    let (Some(after), Some(known_version)) = (query_number(uri, AFTER_PARAM), query_number(uri, HAVE_PARAM))
    else {
        return with_body(StatusCode::BAD_REQUEST, "after, have: numbers are needed\n");
    };
    let changes = shared.mirror().changes(shared.now(), after);
    let changes = changes.map(|changes| Changes {
        document: document::notice(shared, known_version, INLINE_BYTES),
        ..changes
    });
    encode(changes)
}

fn respond_document(shared: &Shared, uri: &Uri) -> Response<Body> {
    let (Some(known_version), Some(max_bytes)) =
        (query_number(uri, HAVE_PARAM), query_number(uri, MOST_PARAM))
    else {
        return with_body(StatusCode::BAD_REQUEST, "have, most: numbers are needed\n");
    };
    encode(document::notice(shared, known_version, max_bytes as usize))
}

fn encode(message: Option<impl Message>) -> Response<Body> {
    match message {
        Some(message) => with_body(StatusCode::OK, message.encode_to_vec()),
        None => with_body(StatusCode::SERVICE_UNAVAILABLE, "nothing is known yet\n"),
    }
}

fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(param, _)| *param == name)?;
    value.parse().ok()
}

/// Fetches the changes after a revision from a peer; `None` if that fails.
///
/// The response also has a notice about the document, with a short text or delta if the
/// peer's version is newer than `known_version`.
pub async fn fetch(
    shared: &Shared,
    client: &Client,
    peer: SocketAddr,
    after: u64,
    known_version: u64,
) -> Option<Changes> {
    let timeouts = match after {
        0 => Timeouts {
            idle: ALL_KEYS_TIMEOUT,
            total: ALL_KEYS_TIMEOUT,
            ..SHORT_TIMEOUTS
        },
        _ => SHORT_TIMEOUTS,
    };
    let path = format!("{CHANGES_PATH}?{AFTER_PARAM}={after}&{HAVE_PARAM}={known_version}");
    fetch_path(shared, client, peer, "peer", &path, timeouts).await
}

/// Fetches a notice about the document from a peer; `None` if that fails.
///
/// If the peer's version is newer than `known_version`, the notice has the text or a delta
/// of up to `max_bytes`.
pub async fn fetch_document(
    shared: &Shared,
    client: &Client,
    peer: SocketAddr,
    known_version: u64,
    max_bytes: usize,
) -> Option<Notice> {
    let timeouts = if max_bytes <= INLINE_BYTES {
        SHORT_TIMEOUTS
    } else {
        call::TRANSFER_TIMEOUTS
    };
    let path = format!("{DOCUMENT_PATH}?{HAVE_PARAM}={known_version}&{MOST_PARAM}={max_bytes}");
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
    let sent_at = shared.now();
    let mut request = Request::new(Bytes::new());
    // The path is built from constants and numbers, so it always parses.
    *request.uri_mut() = path.parse().unwrap_or_default();
    let outcome = client.send_with(peer, request, timeouts).await;
    let took = shared.now().since(sent_at);
    let (message, failure, bytes) = match outcome {
        Outcome::Response(StatusCode::OK, body) => {
            let bytes = body.len();
            (M::decode(body).ok(), "odd", bytes)
        }
        Outcome::Response(..) => (None, "refused", 0),
        Outcome::NotSent => (None, "unreachable", 0),
        Outcome::Lost { received } => (None, "lost", received),
    };
    shared.metrics.observe_call(name, bytes, took);
    if message.is_none() {
        tracing::warn!(event = "peer-call-failed", call = name, %peer, outcome = failure, bytes, took_ms = took.as_millis() as u64);
    }
    message
}
