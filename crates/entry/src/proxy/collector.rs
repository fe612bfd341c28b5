//! Writes usage counts to the store on behalf of the hosts of a zone, several in one call.
//!
//! The collector of a host is the peer from which it gets its updates. It answers once the counts
//! are written; a host without an answer writes its counts itself, so a collector that dies, is
//! cut off or is slow costs one call and no counts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use prost::Message;
use radishstair_core::proxy::batch::{Batch, MAX_WRITES, Row, RowResult, WriteResult};
use radishstair_core::store::Write;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

use super::Shared;
use super::call::{self, WRITE_TIMEOUT};
use super::client::{Client, Outcome};
use super::records::COUNT_PREFIX;
use super::reply::{Body, with_body};

/// Path at which peers hand over their counts.
pub const PATH: &str = "/counts";
/// Time for which further counts are awaited after the first: the hosts of a zone hand over theirs
/// within a tenth of a second.
const COLLECT_TIME: Duration = Duration::from_millis(250);
/// Time limit for the collector's answer: the time to collect, and a write to a slow store.
const HAND_OVER_TIMEOUT: Duration = Duration::from_millis(700);
/// Counts that may wait; more than the hosts of a large zone have.
const MAX_WAITING: usize = 256;
/// Maximum size of one host's counts.
const MAX_ROW_BYTES: usize = 256 * 1024;

/// Counts of one host, and where to send the result.
#[derive(Debug)]
struct Pending {
    write: Write,
    reply: oneshot::Sender<WriteResult>,
}

/// Queue of the counts to be written by this host.
#[derive(Clone, Debug)]
pub struct Queue(mpsc::Sender<Pending>);

/// Other end of a queue.
#[derive(Debug)]
pub struct Waiting(mpsc::Receiver<Pending>);

/// Creates a queue.
pub fn queue() -> (Queue, Waiting) {
    let (sender, receiver) = mpsc::channel(MAX_WAITING);
    (Queue(sender), Waiting(receiver))
}

impl Queue {
    /// Writes counts together with those of other hosts.
    pub async fn write(&self, write: Write) -> WriteResult {
        let (reply, result) = oneshot::channel();
        if self.0.try_send(Pending { write, reply }).is_err() {
            return WriteResult::Failed;
        }
        result.await.unwrap_or(WriteResult::Failed)
    }
}

/// Writes what arrives in the queue, until all senders are dropped.
pub async fn run(shared: Arc<Shared>, store: Arc<Client>, mut waiting: Waiting) {
    while let Some(first) = waiting.0.recv().await {
        let mut collected = vec![first];
        let until = Instant::now() + COLLECT_TIME;
        while collected.len() < MAX_WRITES {
            let Ok(Some(next)) = timeout_at(until, waiting.0.recv()).await else {
                break;
            };
            collected.push(next);
        }
        let writes = collected.iter().map(|pending| pending.write.clone()).collect();
        let results = write_all(&shared, &store, writes).await;
        for (pending, result) in collected.into_iter().zip(results) {
            // A host that no longer waits has written its counts itself.
            let _ = pending.reply.send(result);
        }
    }
}

/// Writes several keys; returns the result of each.
pub async fn write_all(shared: &Shared, store: &Client, writes: Vec<Write>) -> Vec<WriteResult> {
    let mut batch = Batch::new(writes);
    while let Some(call) = batch.next_call() {
        let response = call::send(shared, store, &call, WRITE_TIMEOUT).await;
        batch.on_answer(&response.answer);
    }
    batch.results()
}

/// Responds to a peer that hands over its counts.
pub async fn respond(queue: &Queue, request: Request<Incoming>) -> Response<Body> {
    let body = Limited::new(request.into_body(), MAX_ROW_BYTES).collect().await;
    let row = body.ok().and_then(|body| Row::decode(body.to_bytes()).ok());
    let Some(row) = row.filter(|row| row.key.starts_with(COUNT_PREFIX)) else {
        return with_body(StatusCode::BAD_REQUEST, "counts are needed\n");
    };
    let result = match queue.write(row.into()).await {
        WriteResult::Written(version) => RowResult {
            written: true,
            version,
        },
        WriteResult::Conflict(version) => RowResult {
            written: false,
            version,
        },
        WriteResult::Failed => return with_body(StatusCode::SERVICE_UNAVAILABLE, "not written\n"),
    };
    with_body(StatusCode::OK, result.encode_to_vec())
}

/// Hands counts over to a peer; `None` if it gives no result.
pub async fn hand_over(
    shared: &Shared,
    client: &Client,
    peer: SocketAddr,
    write: &Write,
) -> Option<WriteResult> {
    let row = Row {
        key: write.key.clone(),
        expect: write.expect,
        value: write.value.clone(),
    };
    let mut request = Request::new(Bytes::from(row.encode_to_vec()));
    *request.method_mut() = Method::POST;
    // The path is a constant, so it always parses.
    *request.uri_mut() = PATH.parse().unwrap_or_default();
    let sent_at = shared.now();
    let outcome = client.send(peer, request, HAND_OVER_TIMEOUT).await;
    let took = shared.now().since(sent_at);
    let result = match outcome {
        Outcome::Response(StatusCode::OK, body) => RowResult::decode(body).ok(),
        Outcome::Response(..) | Outcome::NotSent | Outcome::Lost { .. } => None,
    };
    shared.metrics.observe_call("collect", 0, took);
    if result.is_none() {
        tracing::info!(event = "counts-not-collected", %peer, took_ms = took.as_millis() as u64);
    }
    result.map(WriteResult::from)
}
