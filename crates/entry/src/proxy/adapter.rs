//! Interface for translating messages to and from a platform.
//!
//! An adapter only translates: it opens no connections and makes no decisions.
//! The types here hold the contents of the platform's messages, independent of
//! its names and formats.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::http::{request, response};
use hyper::{Request, StatusCode};
use radishstair_core::error::Kind;
use radishstair_core::proxy::fleet::Listed;
use radishstair_core::proxy::fleet::notice::Notices;
use radishstair_core::proxy::placement::Segment;
use radishstair_core::proxy::route::Table;
use radishstair_core::proxy::scaling::Order;
use radishstair_core::proxy::usage::Window;
use radishstair_core::store::{Answer, Call, Entry};

/// Metadata of a caller's request, parsed from its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metadata {
    /// Request id that the caller chose for this attempt.
    pub id: String,
    /// Time for which the caller waits for the response.
    pub timeout: Option<Duration>,
    /// API key.
    pub api_key: Option<String>,
    /// Last event of the stream that the caller has received.
    pub last_event: Option<u64>,
    /// With `last_event`: id of the caller's attempt that brought the first event of the stream.
    pub first_attempt: Option<String>,
    /// Tokens of the prompt; 0 for requests that are not for engines.
    pub prompt_tokens: u64,
    /// Maximum number of tokens of the answer.
    pub max_output_tokens: u64,
    /// Tokens of the answer as estimated by the caller; often inaccurate.
    pub expected_output_tokens: Option<u64>,
    /// Segments of the prompt, in order; the last one belongs to the request itself or to
    /// its session.
    pub prompt_segments: Vec<Segment>,
}

/// Values that are added to a request's headers when it is forwarded to a runner.
#[derive(Clone, Copy, Debug)]
pub struct Forwarding<'a> {
    /// Id of the only runner that may run the request.
    pub runner_id: &'a str,
    /// Time left until the deadline.
    pub time_left: Option<Duration>,
    /// Priority rank for requests to engines; 0 is the most urgent.
    pub rank: Option<u8>,
    /// Customer to whom the request belongs.
    pub customer: Option<&'a str>,
    /// Event after which the stream is resumed.
    pub resume_after: Option<u64>,
    /// Address of a runner from whose cache the beginning of the prompt is copied.
    pub cache_source: Option<SocketAddr>,
    /// Address of a runner to which the run's KV cache is copied as it grows.
    pub copy_to: Option<SocketAddr>,
    /// KV cache from which the run continues.
    pub continue_from: Option<Memory<'a>>,
}

/// KV cache of a run that continues at another runner, or again at its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory<'a> {
    /// For a copy made as the run went on, the runner that holds it; for a move, the move's source.
    pub address: SocketAddr,
    /// For a copy, the run's request id; for a move, the handle that the source returned.
    pub handle: &'a str,
}

/// Answer of a runner to the request to copy the KV cache of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveAnswer {
    /// The copy is complete.
    Copied {
        /// Names the copy in the request that continues from it.
        handle: String,
        /// Number of events that the run has generated.
        events: u64,
    },
    /// The runner has no such run.
    NoRun,
    /// A call for this run is in progress.
    Busy,
    /// The destination has no room or cannot be reached.
    Refused {
        /// Names the KV cache that the source keeps, if the run has stopped.
        handle: Option<String>,
    },
    /// The answer is not one that the platform describes.
    Malformed,
}

/// Provenance of a runner's response, parsed from its headers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Provenance {
    /// Id of the request that is answered.
    pub request_id: Option<String>,
    /// Whether the runner has signed the response.
    pub signed: bool,
    /// Whether the runner states that the request has not run.
    pub not_run: bool,
    /// What the runner says about itself.
    pub notices: Notices,
}

/// Keys in the store that are written by the operator and the runners.
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys {
    /// Key of the operator's document. It sorts before the other keys that hosts read.
    pub document: &'static str,
    /// Prefix of the keys of runners.
    pub runner_prefix: &'static str,
    /// Prefix of the keys of evacuated zones; the rest of a key is the zone.
    pub evacuation_prefix: &'static str,
    /// Prefix of keys of this system that are read only when they are needed. It sorts before the operator's document.
    pub unlisted_prefix: &'static str,
}

/// Translates messages to and from one platform.
pub trait Adapter: fmt::Debug + Send + Sync {
    /// Path of the readiness endpoint that the load balancer polls.
    fn ready_path(&self) -> &'static str;

    /// Keys in the store that hosts read.
    fn store_keys(&self) -> StoreKeys;

    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    ///
    /// Kind of the refusal, if the headers are invalid.
    fn parse_request(&self, parts: &request::Parts) -> Result<Metadata, Kind>;

    /// Headers of the request forwarded to a runner.
    fn forwarded_headers(&self, parts: &request::Parts, forwarding: &Forwarding<'_>) -> HeaderMap;

    /// Parses the headers of a runner's response.
    fn parse_response(&self, parts: &response::Parts) -> Provenance;

    /// Parses the operator's document.
    ///
    /// # Errors
    ///
    /// Names what cannot be parsed.
    fn parse_document(&self, entry: &Entry) -> Result<Table>;

    /// Parses a runner's entry.
    ///
    /// # Errors
    ///
    /// Names what cannot be parsed.
    fn parse_runner(&self, entry: &Entry) -> Result<Listed>;

    /// The text of a runner's entry without what [`Self::parse_runner`] doesn't need; `None` if it is short as it is.
    ///
    /// # Errors
    ///
    /// Names what cannot be parsed.
    fn shorten_runner(&self, entry: &Entry) -> Result<Option<String>>;

    /// HTTP request for a call to the store.
    fn store_request(&self, call: &Call) -> Request<Bytes>;

    /// Parses the store's response to a call.
    fn parse_store_response(&self, call: &Call, status: StatusCode, body: &[u8]) -> StoreResponse;

    /// HTTP request to a runner to copy the KV cache of the run with this request id to `target`;
    /// with `stop`, the run stops first.
    fn move_request(&self, run: &str, target: SocketAddr, stop: bool) -> Request<Bytes>;

    /// Parses a runner's answer to a [`Self::move_request`].
    fn parse_move_response(&self, status: StatusCode, body: &[u8]) -> MoveAnswer;

    /// HTTP request to the source of a move to free the copy at both ends. The handle is one that
    /// [`Self::parse_move_response`] returned.
    fn release_request(&self, handle: &str) -> Request<Bytes>;

    /// HTTP request that reports usage under a fencing number.
    fn usage_request(&self, host: &str, fence: u64, window: &Window) -> Request<Bytes>;

    /// HTTP request that orders runners under a fencing number.
    fn order_request(&self, host: &str, fence: u64, order: &Order) -> Request<Bytes>;
}

/// Response of the store to a call.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreResponse {
    /// Result of the call.
    pub answer: Answer,
    /// Whether the listing continues after its last key.
    pub has_more: bool,
    /// The store's revision at the time of a listing; 0 for other calls.
    pub store_revision: u64,
}
