//! What the front needs of a platform's language.
//!
//! A dialect only translates: it opens no connection and decides nothing. The
//! types here say what the platform's fields hold, in the product's words.

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
use radishstair_core::proxy::place::Part;
use radishstair_core::proxy::route::Table;
use radishstair_core::proxy::supply::Order;
use radishstair_core::proxy::tally::Window;
use radishstair_core::store::{Answer, Call, Entry};

/// What a caller's head says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Metadata {
    /// The caller's name for this attempt.
    pub id: String,
    /// How long the caller will wait.
    pub timeout: Option<Duration>,
    /// Key that it carries.
    pub key: Option<String>,
    /// Last event that the caller has of a stream.
    pub last_event: Option<u64>,
    /// Tokens of the prompt; 0 for plain requests.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub max_output_tokens: u64,
    /// Tokens of the answer as the caller expects them; often far off.
    pub expected_output_tokens: Option<u64>,
    /// Parts of the prompt, in order; the last one is the request's own or its
    /// session's.
    pub prompt_parts: Vec<Part>,
}

/// What the head towards a runner says besides the caller's own.
#[derive(Clone, Copy, Debug)]
pub struct Forwarding<'a> {
    /// Runner that alone may run it.
    pub runner_id: &'a str,
    /// Time left.
    pub time_left: Option<Duration>,
    /// Rank, 0 first, for requests to engines.
    pub rank: Option<u8>,
    /// Whose it is.
    pub customer: Option<&'a str>,
    /// Event after which the stream goes on.
    pub resume_after: Option<u64>,
    /// Runner from whose memory it copies the beginning of the prompt.
    pub cache_source: Option<SocketAddr>,
}

/// What a runner's head says of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Provenance {
    /// Request that it answers.
    pub request_id: Option<String>,
    /// Whether the runner vouches for the answer.
    pub signed: bool,
    /// Whether the runner states that the request did not run.
    pub not_run: bool,
}

/// Keys in the store that the operator and the runners write.
#[derive(Clone, Copy, Debug)]
pub struct StoreKeys {
    /// The operator's document. It sorts before the other keys that hosts read.
    pub document: &'static str,
    /// Prefix of the runners' entries.
    pub runner_prefix: &'static str,
}

/// A platform's language.
pub trait Adapter: fmt::Debug + Send + Sync {
    /// Path at which the balancer asks whether callers should come here.
    fn ready_path(&self) -> &'static str;

    /// Keys in the store.
    fn store_keys(&self) -> StoreKeys;

    /// Reads a caller's head.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn parse_request(&self, parts: &request::Parts) -> Result<Metadata, Kind>;

    /// Head towards a runner.
    fn forwarded_headers(&self, parts: &request::Parts, forwarding: &Forwarding<'_>) -> HeaderMap;

    /// Reads a runner's head.
    fn parse_response(&self, parts: &response::Parts) -> Provenance;

    /// Reads the operator's document.
    ///
    /// # Errors
    ///
    /// Names what cannot be read.
    fn parse_document(&self, entry: &Entry) -> Result<Table>;

    /// Reads a runner's entry.
    ///
    /// # Errors
    ///
    /// Names what cannot be read.
    fn parse_runner(&self, entry: &Entry) -> Result<Listed>;

    /// A call to the store.
    fn store_request(&self, call: &Call) -> Request<Bytes>;

    /// The store's answer to a call.
    fn parse_store_response(&self, call: &Call, status: StatusCode, body: &[u8]) -> StoreResponse;

    /// A usage report under a fencing number.
    fn usage_request(&self, host: &str, fence: u64, window: &Window) -> Request<Bytes>;

    /// An order for runners under a fencing number.
    fn order_request(&self, host: &str, fence: u64, order: &Order) -> Request<Bytes>;
}

/// An answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreResponse {
    /// What it says.
    pub answer: Answer,
    /// Whether there are more keys behind the last one.
    pub has_more: bool,
    /// The store's revision when it answered a listing; 0 for other calls.
    pub store_revision: u64,
}
