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
use radishstair_core::proxy::placement::Segment;
use radishstair_core::proxy::route::Table;
use radishstair_core::proxy::scaling::Order;
use radishstair_core::proxy::usage::Window;
use radishstair_core::store::{Answer, Call, Entry};

/// What a caller's head says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Head {
    /// The caller's name for this attempt.
    pub id: String,
    /// How long the caller will wait.
    pub deadline: Option<Duration>,
    /// Key that it carries.
    pub key: Option<String>,
    /// Last event that the caller has of a stream.
    pub last_event: Option<u64>,
    /// Tokens of the prompt; 0 for plain requests.
    pub prompt: u64,
    /// Most tokens of the answer.
    pub output: u64,
    /// Tokens of the answer as the caller expects them; often far off.
    pub hint: Option<u64>,
    /// Parts of the prompt, in order; the last one is the request's own or its
    /// session's.
    pub parts: Vec<Segment>,
}

/// What the head towards a runner says besides the caller's own.
#[derive(Clone, Copy, Debug)]
pub struct Pass<'a> {
    /// Runner that alone may run it.
    pub instance: &'a str,
    /// Time left.
    pub left: Option<Duration>,
    /// Rank, 0 first, for requests to engines.
    pub rank: Option<u8>,
    /// Whose it is.
    pub customer: Option<&'a str>,
    /// Event after which the stream goes on.
    pub after: Option<u64>,
    /// Runner from whose memory it copies the beginning of the prompt.
    pub source: Option<SocketAddr>,
}

/// What a runner's head says of its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Mark {
    /// Request that it answers.
    pub id: Option<String>,
    /// Whether the runner vouches for the answer.
    pub signed: bool,
    /// Whether the runner states that the request did not run.
    pub not_run: bool,
}

/// Keys in the store that the operator and the runners write.
#[derive(Clone, Copy, Debug)]
pub struct Keys {
    /// The operator's document. It sorts before the other keys that hosts read.
    pub document: &'static str,
    /// Prefix of the runners' entries.
    pub runners: &'static str,
}

/// A platform's language.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Path at which the balancer asks whether callers should come here.
    fn ready_path(&self) -> &'static str;

    /// Keys in the store.
    fn keys(&self) -> Keys;

    /// Reads a caller's head.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn head(&self, parts: &request::Parts) -> Result<Head, Kind>;

    /// Head towards a runner.
    fn pass(&self, parts: &request::Parts, pass: &Pass<'_>) -> HeaderMap;

    /// Reads a runner's head.
    fn mark(&self, parts: &response::Parts) -> Mark;

    /// Reads the operator's document.
    ///
    /// # Errors
    ///
    /// Names what cannot be read.
    fn table(&self, entry: &Entry) -> Result<Table>;

    /// Reads a runner's entry.
    ///
    /// # Errors
    ///
    /// Names what cannot be read.
    fn runner(&self, entry: &Entry) -> Result<Listed>;

    /// A call to the store.
    fn call(&self, call: &Call) -> Request<Bytes>;

    /// The store's answer to a call.
    fn answer(&self, call: &Call, status: StatusCode, body: &[u8]) -> Page;

    /// A usage report under a fencing number.
    fn report(&self, host: &str, fence: u64, window: &Window) -> Request<Bytes>;

    /// An order for runners under a fencing number.
    fn order(&self, host: &str, fence: u64, order: &Order) -> Request<Bytes>;
}

/// An answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Page {
    /// What it says.
    pub answer: Answer,
    /// Whether there are more keys behind the last one.
    pub more: bool,
    /// The store's revision when it answered a listing; 0 for other calls.
    pub revision: u64,
}
