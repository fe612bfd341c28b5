//! Stand-in for a model engine: continuous batching, request priorities, a cache
//! of prompt prefixes, token streams that can be resumed, and cancellation.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::HeaderValue;
use hyper::{Method, Request, Response};
use radishstair_core::id::digest;
use radishstair_core::record;
use radishstair_core::units::DurationText;
use radishstair_wire::http;
use serde_with::serde_as;
use tokio::sync::{mpsc, oneshot};

use crate::model;
use crate::server::{self, ConnectionNumber, Outcome, header_value, json_response};

#[serde_as]
/// Settings of the stand-in.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the runner.
    pub name: String,
    /// IP address and port to listen on.
    pub listen: SocketAddr,
    /// Number of requests decoded at the same time.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Time per token at no load; twice that when all slots are in use.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_pace")]
    pub pace: Duration,
    /// Prefill time of a prompt; a tenth of it if the prefix is cached.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_prefill")]
    pub prefill: Duration,
    /// Number of prompt prefixes that fit in the cache.
    #[serde(default = "default_cache")]
    pub cache: usize,
}

fn default_slots() -> usize {
    8
}

fn default_pace() -> Duration {
    Duration::from_millis(5)
}

fn default_prefill() -> Duration {
    Duration::from_millis(30)
}

fn default_cache() -> usize {
    32
}

record! {
    /// A chat message.
    pub struct Message {
        /// Role of the author.
        pub role: String,
        /// Text of the message.
        pub content: String,
    }
}

/// Body of a chat completion request; only the fields that the engine reads.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct Chat {
    /// Name of the model.
    pub model: String,
    /// Messages so far.
    pub messages: Vec<Message>,
    /// Largest number of tokens in the completion.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Number of tokens that the caller already has; the stream starts after
    /// them.
    #[serde(default)]
    pub resume_from: u32,
}

record! {
    /// Faults to inject.
    #[derive(Default)]
    pub struct Fault {
        /// Number of tokens after which a stream is cut off.
        #[serde(default)]
        pub cut_at: Option<u32>,
        /// Number of streams to cut off; later ones are complete.
        #[serde(default)]
        pub cuts: u32,
        /// Number of streams to send with another request's id in the chunks.
        #[serde(default)]
        pub cross: u32,
        /// Number of requests to refuse. A refusal is sent once more where the answer to the next request on its
        /// connection is due.
        #[serde(default)]
        pub refuse: u32,
        /// Factor by which the time per token is multiplied.
        #[serde(default)]
        pub slow: Option<u32>,
        /// Whether responses have the `x-leaving` header, which announces that
        /// the runner leaves.
        #[serde(default)]
        pub leaving: bool,
    }
}

record! {
    /// Counts of streams, tokens and cache hits.
    #[derive(Default)]
    pub struct Tally {
        /// Requests for a stream.
        pub begun: u64,
        /// Streams sent to their end.
        pub whole: u64,
        /// Streams cancelled because the caller closed the connection.
        pub cancelled: u64,
        /// Tokens generated.
        pub tokens: u64,
        /// Tokens generated for streams that were cancelled or cut off.
        pub wasted: u64,
        /// Prompts whose prefix was cached.
        pub hits: u64,
        /// Requests refused.
        pub refused: u64,
        /// Refusals that were sent once more.
        pub copies: u64,
        /// Whether any request had an `authorization` header, which holds a
        /// caller's API key.
        pub saw_key: bool,
    }
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    /// Priority, order of arrival, and sender that hands over a slot.
    waiting: Vec<(u8, u64, oneshot::Sender<Slot>)>,
    /// Requests that had to wait so far.
    arrivals: u64,
    /// Digests of prompt prefixes, the least recently used first.
    cache: VecDeque<u64>,
    fault: Fault,
    tally: Tally,
    /// Connections on which a request was refused.
    refused: Vec<ConnectionNumber>,
}

#[derive(Debug)]
struct Engine {
    settings: Settings,
    state: Mutex<State>,
}

/// Slot of a stream. On drop, it passes to the waiting request with the lowest
/// priority number; among equal ones, to the oldest.
///
/// The slot itself is sent to the waiting request. If that request is cancelled
/// before it receives the slot, the slot is dropped, and so passes on.
#[derive(Debug)]
struct Slot(Arc<Engine>);

impl Drop for Slot {
    fn drop(&mut self) {
        let next = self.0.lock().take_next();
        if let Some(next) = next {
            // A slot that cannot be delivered comes back and passes on when dropped.
            let _ = next.send(Slot(self.0.clone()));
        }
    }
}

impl State {
    /// Whether a request on this connection is answered with a refusal, its own or an earlier one.
    fn refuse(&mut self, connection: ConnectionNumber) -> bool {
        if self.refused.contains(&connection) {
            self.tally.copies += 1;
            return true;
        }
        let refuses = self.fault.refuse > 0;
        self.fault.refuse = self.fault.refuse.saturating_sub(1);
        self.tally.refused += u64::from(refuses);
        self.refused.extend(refuses.then_some(connection));
        refuses
    }

    /// Removes the request that gets a free slot; if there is none, the slot stays free.
    fn take_next(&mut self) -> Option<oneshot::Sender<Slot>> {
        let order = |index: &usize| (self.waiting[*index].0, self.waiting[*index].1);
        let Some(index) = (0..self.waiting.len()).min_by_key(order) else {
            self.running -= 1;
            return None;
        };
        Some(self.waiting.swap_remove(index).2)
    }
}

impl Engine {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Waits for a slot.
    async fn acquire_slot(self: &Arc<Self>, priority: u8) -> Option<Slot> {
        let wait = {
            let mut state = self.lock();
            if state.running < self.settings.slots {
                state.running += 1;
                return Some(Slot(self.clone()));
            }
            let (wake, wait) = oneshot::channel();
            state.arrivals += 1;
            let arrival = state.arrivals;
            state.waiting.push((priority, arrival, wake));
            wait
        };
        wait.await.ok()
    }

    /// Prefill time of a prompt; adds its prefix to the cache.
    fn prefill_time(&self, prefix_digest: u64) -> Duration {
        let mut state = self.lock();
        let hit = state.cache.iter().position(|cached| *cached == prefix_digest);
        if let Some(index) = hit {
            state.cache.remove(index);
            state.tally.hits += 1;
        }
        state.cache.push_back(prefix_digest);
        while state.cache.len() > self.settings.cache {
            state.cache.pop_front();
        }
        match hit {
            Some(_) => self.settings.prefill / 10,
            None => self.settings.prefill,
        }
    }

    /// Time per token under the current load.
    fn token_time(&self) -> Duration {
        let state = self.lock();
        let utilization = state.running as f64 / self.settings.slots.max(1) as f64;
        let slowdown = f64::from(state.fault.slow.unwrap_or(1));
        self.settings.pace.mul_f64((1.0 + utilization) * slowdown)
    }
}

/// Serves requests until the process ends.
///
/// # Errors
///
/// When the address cannot be bound.
pub async fn run(settings: Settings) -> Result<()> {
    let listen = settings.listen;
    let engine = Arc::new(Engine {
        settings,
        state: Mutex::default(),
    });
    server::run(listen, move |request| handle(engine.clone(), request)).await
}

async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Outcome {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => Ok(json_response(200, &serde_json::json!({}))),
        (&Method::GET, "/control/log") => {
            let tally = serde_json::json!(engine.lock().tally);
            Ok(json_response(200, &tally))
        }
        (&Method::GET, "/load") => {
            let state = engine.lock();
            let load = serde_json::json!({ "running": state.running, "waiting": state.waiting.len() });
            drop(state);
            Ok(json_response(200, &load))
        }
        (&Method::POST, "/control/fault") => {
            let fault = serde_json::from_slice(&server::read_body(request).await).unwrap_or_default();
            engine.lock().fault = fault;
            Ok(json_response(200, &serde_json::json!({})))
        }
        (&Method::POST, "/v1/chat/completions") => chat(engine, request).await,
        _ => Ok(json_response(404, &serde_json::json!({ "error": "not found" }))),
    }
}

async fn chat(engine: Arc<Engine>, request: Request<Incoming>) -> Outcome {
    let id = header_value(&request, http::REQUEST_ID);
    let priority = header_value(&request, http::PRIORITY).parse().unwrap_or(u8::MAX);
    let saw_key = request.headers().contains_key("authorization");
    let connection = request.extensions().get::<ConnectionNumber>().copied();
    let Ok(chat) = serde_json::from_slice::<Chat>(&server::read_body(request).await) else {
        return Ok(json_response(
            400,
            &serde_json::json!({ "error": "malformed body" }),
        ));
    };
    if connection.is_some_and(|connection| engine.lock().refuse(connection)) {
        return Ok(json_response(503, &serde_json::json!({ "error": "full" })));
    }
    let (id, leaving) = {
        let mut state = engine.lock();
        state.tally.begun += 1;
        state.tally.saw_key |= saw_key;
        let other_id = state.fault.cross > 0;
        state.fault.cross = state.fault.cross.saturating_sub(1);
        (
            if other_id { "another-request".into() } else { id },
            state.fault.leaving,
        )
    };
    let (sender, receiver) = mpsc::channel(4);
    tokio::spawn(generate(engine, chat, id, priority, sender));
    let stream = tokio_stream::wrappers::ReceiverStream::new(receiver);
    let body = BodyExt::boxed(StreamBody::new(stream));
    let mut response = Response::new(body);
    let headers = response.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    if leaving {
        headers.insert(http::LEAVING, HeaderValue::from_static("true"));
    }
    Ok(response)
}

type Chunks = mpsc::Sender<Result<Frame<Bytes>, Infallible>>;

/// Generates the completion and sends it as server-sent events.
async fn generate(engine: Arc<Engine>, chat: Chat, id: String, priority: u8, chunks: Chunks) {
    let slot = tokio::select! {
        slot = engine.acquire_slot(priority) => slot,
        () = chunks.closed() => None,
    };
    let Some(_slot) = slot else {
        engine.lock().tally.cancelled += 1;
        return;
    };
    let prompt: String = chat
        .messages
        .iter()
        .map(|message| message.content.as_str())
        .collect();
    let prompt_digest = digest(prompt.as_bytes());
    let prefix_digest = digest(&prompt.as_bytes()[..prompt.len().min(64)]);
    tokio::time::sleep(engine.prefill_time(prefix_digest)).await;
    let total_tokens = model::completion_tokens(&prompt, chat.max_tokens);
    let cut_at = {
        let mut state = engine.lock();
        let cut_at = state.fault.cut_at.filter(|_| state.fault.cuts > 0);
        state.fault.cuts = state.fault.cuts.saturating_sub(u32::from(cut_at.is_some()));
        cut_at
    };
    let mut generated = 0;
    for index in chat.resume_from..total_tokens {
        tokio::time::sleep(engine.token_time()).await;
        generated += 1;
        let last = index + 1 == total_tokens;
        let event = format_chunk(
            &id,
            &chat.model,
            &model::token(prompt_digest, index),
            last.then_some((prompt.len(), total_tokens)),
        );
        let sent = chunks.send(Ok(Frame::data(Bytes::from(event)))).await;
        let cut_off = cut_at.is_some_and(|tokens| generated >= tokens && !last);
        if sent.is_err() || cut_off {
            let mut state = engine.lock();
            state.tally.cancelled += u64::from(!cut_off);
            state.tally.tokens += u64::from(generated);
            state.tally.wasted += u64::from(generated);
            return;
        }
    }
    let _ = chunks
        .send(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))))
        .await;
    let mut state = engine.lock();
    state.tally.whole += 1;
    state.tally.tokens += u64::from(generated);
}

/// A chunk as a server-sent event. The last chunk states the usage: the length of
/// the prompt in bytes, from which its tokens are estimated at four bytes each,
/// and the number of tokens in the completion.
fn format_chunk(id: &str, model: &str, text: &str, totals: Option<(usize, u32)>) -> String {
    let usage = totals.map(|(prompt_bytes, tokens)| {
        serde_json::json!({ "prompt_tokens": prompt_bytes / 4 + 1, "completion_tokens": tokens })
    });
    let body = serde_json::json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{
            "index": 0,
            "delta": { "content": text },
            "finish_reason": totals.map(|_| "stop"),
        }],
        "usage": usage,
    });
    format!("data: {body}\n\n")
}
