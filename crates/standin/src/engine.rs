//! A model engine: batches continuously, honours priorities, caches prefixes,
//! streams tokens, resumes and cancels.

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
use crate::server::{self, Answer, header, json};

#[serde_as]
/// Settings of the stand-in.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Its name.
    pub name: String,
    /// IP address and port.
    pub listen: SocketAddr,
    /// Requests that it decodes together.
    #[serde(default = "default_slots")]
    pub slots: usize,
    /// Time a token when alone; twice that when full.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_pace")]
    pub pace: Duration,
    /// Time to read a prompt that is not cached.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_prefill")]
    pub prefill: Duration,
    /// Prompt prefixes that fit in its cache.
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
    /// A message of the chat.
    pub struct Message {
        /// Role.
        pub role: String,
        /// Text.
        pub content: String,
    }
}

/// Body of a chat completion, as far as the engine reads it.
#[derive(Clone, Debug, serde::Deserialize)]
pub struct Chat {
    /// Model.
    pub model: String,
    /// Messages.
    pub messages: Vec<Message>,
    /// Most tokens.
    #[serde(default)]
    pub max_tokens: Option<u32>,
    /// Tokens that the caller has already.
    #[serde(default)]
    pub resume_from: u32,
}

record! {
    /// Ways to fail.
    #[derive(Default)]
    pub struct Fault {
        /// Cut each stream after this many of its tokens.
        #[serde(default)]
        pub cut_at: Option<u32>,
        /// Streams to cut; more pass.
        #[serde(default)]
        pub cuts: u32,
        /// Streams whose chunks carry another request's id.
        #[serde(default)]
        pub cross: u32,
        /// Slowness as a factor.
        #[serde(default)]
        pub slow: Option<u32>,
        /// Whether answers carry the notice of leaving.
        #[serde(default)]
        pub leaving: bool,
    }
}

record! {
    /// What it has done.
    #[derive(Default)]
    pub struct Tally {
        /// Streams begun.
        pub begun: u64,
        /// Streams ended whole.
        pub whole: u64,
        /// Streams that their caller cancelled.
        pub cancelled: u64,
        /// Tokens generated.
        pub tokens: u64,
        /// Tokens generated for streams that did not end whole.
        pub wasted: u64,
        /// Prompts found in the cache.
        pub hits: u64,
        /// Whether any header carried a caller's key.
        pub saw_key: bool,
    }
}

#[derive(Debug, Default)]
struct State {
    running: usize,
    waiting: Vec<(u8, u64, oneshot::Sender<()>)>,
    arrivals: u64,
    cache: VecDeque<u64>,
    fault: Fault,
    tally: Tally,
}

#[derive(Debug)]
struct Engine {
    settings: Settings,
    state: Mutex<State>,
}

/// Gives the slot back when the stream ends, however it ends.
struct Slot(Arc<Engine>);

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.0.lock();
        state.running -= 1;
        state
            .waiting
            .sort_by_key(|(priority, arrival, _)| (*priority, *arrival));
        while !state.waiting.is_empty() {
            let (.., wake) = state.waiting.remove(0);
            if wake.send(()).is_ok() {
                state.running += 1;
                return;
            }
        }
    }
}

impl Engine {
    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn admit(self: &Arc<Self>, priority: u8) -> Option<Slot> {
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
        wait.await.ok().map(|()| Slot(self.clone()))
    }

    /// Time to read the prompt; remembers its prefix.
    fn prefill(&self, prefix: u64) -> Duration {
        let mut state = self.lock();
        let hit = state.cache.iter().position(|have| *have == prefix);
        if let Some(at) = hit {
            state.cache.remove(at);
            state.tally.hits += 1;
        }
        state.cache.push_back(prefix);
        while state.cache.len() > self.settings.cache {
            state.cache.pop_front();
        }
        match hit {
            Some(_) => self.settings.prefill / 10,
            None => self.settings.prefill,
        }
    }

    fn pace(&self) -> Duration {
        let state = self.lock();
        let full = state.running as f64 / self.settings.slots.max(1) as f64;
        let slow = f64::from(state.fault.slow.unwrap_or(1));
        self.settings.pace.mul_f64((1.0 + full) * slow)
    }
}

/// Serves until the process ends.
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

async fn handle(engine: Arc<Engine>, request: Request<Incoming>) -> Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => Ok(json(200, &serde_json::json!({}))),
        (&Method::GET, "/control/log") => {
            let tally = serde_json::json!(engine.lock().tally);
            Ok(json(200, &tally))
        }
        (&Method::GET, "/load") => {
            let state = engine.lock();
            let load = serde_json::json!({ "running": state.running, "waiting": state.waiting.len() });
            drop(state);
            Ok(json(200, &load))
        }
        (&Method::POST, "/control/fault") => {
            let fault = serde_json::from_slice(&server::read(request).await).unwrap_or_default();
            engine.lock().fault = fault;
            Ok(json(200, &serde_json::json!({})))
        }
        (&Method::POST, "/v1/chat/completions") => chat(engine, request).await,
        _ => Ok(json(404, &serde_json::json!({ "error": "not found" }))),
    }
}

async fn chat(engine: Arc<Engine>, request: Request<Incoming>) -> Answer {
    let id = header(&request, http::REQUEST_ID);
    let priority = header(&request, http::PRIORITY).parse().unwrap_or(u8::MAX);
    let saw_key = request.headers().contains_key("authorization");
    let Ok(chat) = serde_json::from_slice::<Chat>(&server::read(request).await) else {
        return Ok(json(400, &serde_json::json!({ "error": "malformed body" })));
    };
    let (id, leaving) = {
        let mut state = engine.lock();
        state.tally.begun += 1;
        state.tally.saw_key |= saw_key;
        let cross = state.fault.cross > 0;
        state.fault.cross = state.fault.cross.saturating_sub(1);
        (
            if cross { "another-request".into() } else { id },
            state.fault.leaving,
        )
    };
    let (sender, receiver) = mpsc::channel(4);
    tokio::spawn(generate(engine, chat, id, priority, sender));
    let stream = tokio_stream::wrappers::ReceiverStream::new(receiver);
    let body = BodyExt::boxed(StreamBody::new(stream));
    let mut answer = Response::new(body);
    let headers = answer.headers_mut();
    headers.insert("content-type", HeaderValue::from_static("text/event-stream"));
    if leaving {
        headers.insert(http::LEAVING, HeaderValue::from_static("true"));
    }
    Ok(answer)
}

type Chunks = mpsc::Sender<Result<Frame<Bytes>, Infallible>>;

async fn generate(engine: Arc<Engine>, chat: Chat, id: String, priority: u8, chunks: Chunks) {
    let slot = tokio::select! {
        slot = engine.admit(priority) => slot,
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
    let seed = digest(prompt.as_bytes());
    let prefix = digest(&prompt.as_bytes()[..prompt.len().min(64)]);
    tokio::time::sleep(engine.prefill(prefix)).await;
    let length = model::completion_tokens(&prompt, chat.max_tokens);
    let cut = {
        let mut state = engine.lock();
        let cut = state.fault.cut_at.filter(|_| state.fault.cuts > 0);
        state.fault.cuts = state.fault.cuts.saturating_sub(u32::from(cut.is_some()));
        cut
    };
    let mut made = 0;
    for at in chat.resume_from..length {
        tokio::time::sleep(engine.pace()).await;
        made += 1;
        let last = at + 1 == length;
        let text = chunk(
            &id,
            &chat.model,
            &model::token(seed, at),
            last.then_some((prompt.len(), length)),
        );
        let sent = chunks.send(Ok(Frame::data(Bytes::from(text)))).await;
        let cut = cut.is_some_and(|cut| made >= cut && !last);
        if sent.is_err() || cut {
            let mut state = engine.lock();
            state.tally.cancelled += u64::from(!cut);
            state.tally.tokens += u64::from(made);
            state.tally.wasted += u64::from(made);
            return;
        }
    }
    let _ = chunks
        .send(Ok(Frame::data(Bytes::from_static(b"data: [DONE]\n\n"))))
        .await;
    let mut state = engine.lock();
    state.tally.whole += 1;
    state.tally.tokens += u64::from(made);
}

fn chunk(id: &str, model: &str, text: &str, last: Option<(usize, u32)>) -> String {
    let usage = last.map(|(prompt, tokens)| {
        serde_json::json!({ "prompt_tokens": prompt / 4 + 1, "completion_tokens": tokens })
    });
    let body = serde_json::json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{
            "index": 0,
            "delta": { "content": text },
            "finish_reason": last.map(|_| "stop"),
        }],
        "usage": usage,
    });
    format!("data: {body}\n\n")
}
