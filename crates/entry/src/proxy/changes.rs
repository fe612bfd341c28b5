//! Exchange of store changes between hosts.
//!
//! Hosts fetch changes from each other with short HTTP calls on the peer port. The
//! request names the revision up to which the requesting host has seen all keys, and the
//! version of the document that it has; the response is a [`Changes`] or [`Notice`]
//! message.

use std::net::SocketAddr;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, Uri};
use prost::Message;
use radishstair_core::proxy::document::{INLINE_BYTES, Notice};
use radishstair_core::proxy::mirror::Changes;
use radishstair_core::time::Moment;

use super::client::{Client, Outcome, Timeouts};
use super::held::HeldBody;
use super::reply::{Body, with_body};
use super::{Shared, call, document, packing};

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
/// Query parameter: 1 if the response may be [packed](packing). Hosts that do not know it send the
/// bare message.
const PACK_PARAM: &str = "pack";
/// Time for which packed changes are sent again. It makes them appear as much older, so it is short
/// beside a round.
const REUSE_TIME: Duration = Duration::from_millis(150);
/// Number of packed changes that are kept. Hosts that missed a round ask for others.
const MAX_REUSED: usize = 4;
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

/// Why a peer sent no message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The peer has nothing to send yet, or sends all keys to enough others.
    NotReady,
    /// The peer did not reply, or not with a message.
    Lost,
}

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
    let is_packed = query_number(uri, PACK_PARAM) == Some(1);
    if !is_packed {
        return encode(changes_after(shared, after, known_version), false);
    }
    if after > 0 {
        return match packed_changes(shared, after, known_version) {
            Some(bytes) => with_body(StatusCode::OK, bytes),
            None => not_ready(),
        };
    }
    // Many hosts may ask for all keys at once. A few transfers at a time end sooner than all of them
    // together, and those that have the keys pass them on.
    let Ok(permit) = shared.full_transfers.clone().try_acquire_owned() else {
        return not_ready();
    };
    match packed_changes(shared, after, known_version) {
        Some(bytes) => Response::new(HeldBody::new(bytes, permit).boxed_unsync()),
        None => not_ready(),
    }
}

fn changes_after(shared: &Shared, after: u64, known_version: u64) -> Option<Changes> {
    let changes = shared.mirror().changes(shared.now(), after)?;
    Some(Changes {
        document: document::notice(shared, known_version, INLINE_BYTES),
        listing_us: shared.listing_us.load(Ordering::Relaxed),
        ..changes
    })
}

/// Packed changes after a revision. Most hosts of a zone ask for the same ones within a short time,
/// and packing takes longer than sending.
fn packed_changes(shared: &Shared, after: u64, known_version: u64) -> Option<Bytes> {
    let now = shared.now();
    let revision = shared.mirror().revision();
    let version = shared.document().version();
    let request = (revision, version, after, known_version);
    let mut recent = shared
        .packed_changes
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    recent.retain(|packed: &Packed| now.since(packed.made_at) < REUSE_TIME);
    if let Some(packed) = recent.iter().find(|packed| packed.request == request) {
        return Some(packed.bytes.clone());
    }
    let mut changes = changes_after(shared, after, known_version)?;
    // The message may be sent until its reuse ends, so the ages in it are those at that time.
    let reuse_us = REUSE_TIME.as_micros() as u64;
    changes.age_us += reuse_us;
    changes.listing_us += reuse_us;
    if let Some(document) = &mut changes.document {
        document.age_us += reuse_us;
    }
    let bytes = packing::pack(&changes.encode_to_vec());
    if recent.len() >= MAX_REUSED {
        recent.remove(0);
    }
    recent.push(Packed {
        request,
        made_at: now,
        bytes: bytes.clone(),
    });
    Some(bytes)
}

/// Changes that were packed for one host and are sent to others that ask for the same.
#[derive(Debug)]
pub struct Packed {
    /// Revision and document version of this host, and those of the host that asked.
    request: (u64, u64, u64, u64),
    made_at: Moment,
    bytes: Bytes,
}

fn not_ready() -> Response<Body> {
    with_body(StatusCode::SERVICE_UNAVAILABLE, "nothing is known yet\n")
}

fn respond_document(shared: &Shared, uri: &Uri) -> Response<Body> {
    let (Some(known_version), Some(max_bytes)) =
        (query_number(uri, HAVE_PARAM), query_number(uri, MOST_PARAM))
    else {
        return with_body(StatusCode::BAD_REQUEST, "have, most: numbers are needed\n");
    };
    let is_packed = query_number(uri, PACK_PARAM) == Some(1);
    encode(
        document::notice(shared, known_version, max_bytes as usize),
        is_packed,
    )
}

fn encode(message: Option<impl Message>, is_packed: bool) -> Response<Body> {
    let Some(message) = message else {
        return not_ready();
    };
    let bytes = message.encode_to_vec();
    match is_packed {
        true => with_body(StatusCode::OK, packing::pack(&bytes)),
        false => with_body(StatusCode::OK, bytes),
    }
}

fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.into_iter().find(|(param, _)| *param == name)?;
    value.parse().ok()
}

/// Fetches the changes after a revision from a peer.
///
/// The response also has a notice about the document, with a short text or delta if the
/// peer's version is newer than `known_version`.
pub async fn fetch(
    shared: &Shared,
    client: &Client,
    peer: SocketAddr,
    after: u64,
    known_version: u64,
) -> Result<Changes, Failure> {
    let timeouts = match after {
        0 => Timeouts {
            idle: ALL_KEYS_TIMEOUT,
            total: ALL_KEYS_TIMEOUT,
            ..SHORT_TIMEOUTS
        },
        _ => SHORT_TIMEOUTS,
    };
    let path = format!("{CHANGES_PATH}?{AFTER_PARAM}={after}&{HAVE_PARAM}={known_version}&{PACK_PARAM}=1");
    fetch_path(shared, client, peer, "peer", &path, timeouts).await
}

/// Fetches a notice about the document from a peer.
///
/// If the peer's version is newer than `known_version`, the notice has the text or a delta
/// of up to `max_bytes`.
pub async fn fetch_document(
    shared: &Shared,
    client: &Client,
    peer: SocketAddr,
    known_version: u64,
    max_bytes: usize,
) -> Result<Notice, Failure> {
    let timeouts = if max_bytes <= INLINE_BYTES {
        SHORT_TIMEOUTS
    } else {
        call::TRANSFER_TIMEOUTS
    };
    let path =
        format!("{DOCUMENT_PATH}?{HAVE_PARAM}={known_version}&{MOST_PARAM}={max_bytes}&{PACK_PARAM}=1");
    fetch_path(shared, client, peer, "peer-document", &path, timeouts).await
}

async fn fetch_path<M: Message + Default>(
    shared: &Shared,
    client: &Client,
    peer: SocketAddr,
    name: &'static str,
    path: &str,
    timeouts: Timeouts,
) -> Result<M, Failure> {
    let sent_at = shared.now();
    let mut request = Request::new(Bytes::new());
    // The path is built from constants and numbers, so it always parses.
    *request.uri_mut() = path.parse().unwrap_or_default();
    let outcome = client.send_with(peer, request, timeouts).await;
    let took = shared.now().since(sent_at);
    let (message, outcome, bytes) = match outcome {
        Outcome::Response(StatusCode::OK, body) => {
            let bytes = body.len();
            let message = packing::unpack(body).and_then(|body| M::decode(body).ok());
            (message.ok_or(Failure::Lost), "odd", bytes)
        }
        Outcome::Response(StatusCode::SERVICE_UNAVAILABLE, _) => (Err(Failure::NotReady), "not-ready", 0),
        Outcome::Response(..) => (Err(Failure::Lost), "refused", 0),
        Outcome::NotSent => (Err(Failure::Lost), "unreachable", 0),
        Outcome::Lost { received } => (Err(Failure::Lost), "lost", received),
    };
    shared.metrics.observe_call(name, bytes, took);
    match &message {
        Ok(_) => {}
        Err(Failure::NotReady) => tracing::info!(event = "peer-not-ready", call = name, %peer),
        Err(Failure::Lost) => {
            tracing::warn!(event = "peer-call-failed", call = name, %peer, outcome, bytes, took_ms = took.as_millis() as u64);
        }
    }
    message
}
