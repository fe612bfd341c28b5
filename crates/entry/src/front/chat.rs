//! Chat completions, streamed and whole.
//!
//! A stream that a runner breaks off goes on at another runner from the tokens
//! that the caller already has. The caller's stream ends with `[DONE]` only
//! after the runner's own end was seen; anything else ends with an error
//! event, so that a cut answer never looks whole.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use radishstair_core::config::Mode;
use radishstair_core::config::view::View;
use radishstair_core::error::{Kind, Refusal};
use radishstair_core::id::digest;
use radishstair_wire::http;
use serde_json::Value;
use tokio::sync::{mpsc, oneshot};

use super::{Body, authenticate, header, json, read};
use crate::handle::Handle;
use crate::upstream::pool::Pool;

mod job;

use job::Job;

/// Bytes of the prompt that decide where it is probably cached.
const PREFIX_BYTES: usize = 64;
/// Tokens assumed when the caller sets no limit.
const TOKENS: u32 = 512;
/// Events between a runner and a slow caller.
const BUFFER: usize = 8;

/// Serves chat completions.
#[derive(Debug)]
pub struct Chat {
    /// Shared state.
    pub handle: Arc<Handle>,
    /// Connections to engines.
    pub pool: Arc<Pool>,
}

/// What the caller gets.
enum Piece {
    Event(Bytes),
    End(Usage),
    Broken(Refusal),
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    prompt: u64,
    tokens: u32,
}

impl Chat {
    /// Serves one request.
    ///
    /// # Errors
    ///
    /// When nothing was streamed yet.
    pub async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let view = self.handle.view.load_full();
        let caller = authenticate(&self.handle, &view, &request)?;
        let wanted = header(&request, http::CLASS);
        let token = header(&request, http::RESERVATION_TOKEN);
        let body: Value = serde_json::from_slice(&read(request).await?)
            .map_err(|err| Refusal::new(Kind::BadRequest).detail(err.to_string()))?;
        let prompt = prompt(&body)?;
        let class = wanted
            .or_else(|| Some(body.get("metadata")?.get("class")?.as_str()?.to_string()))
            .or_else(|| default_class(&view))
            .ok_or(Kind::UnknownClass)?;
        let model = body.get("model").and_then(Value::as_str);
        let model =
            model.ok_or_else(|| Refusal::new(Kind::BadRequest).detail("model: a name is required"))?;
        let route = view.route(&caller, &class, Some(model));
        let route =
            route.inspect_err(|refusal| self.handle.metrics.count_request(&class, refusal.kind.name()))?;
        if route.mode != Mode::Generate {
            return Err(Refusal::new(Kind::UnknownClass).detail("not a class of generation"));
        }
        let stream = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
        let call = self.handle.next_call_id();
        let customer = view.document.customers[caller.customer.index()].name.clone();
        let job = Job {
            id: format!("chatcmpl-{}-{}", self.handle.incarnation, call.0),
            prefix: digest(&prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)]),
            promised: self.handle.has_reservation(token.as_deref(), &customer, &class),
            limit: limit(&body),
            customer,
            key: view.document.keys[caller.key].name.clone(),
            handle: self.handle.clone(),
            pool: self.pool.clone(),
            began: Instant::now(),
            _flight: self.handle.track_request(),
            body,
            route,
        };
        self.begin(job, stream).await
    }

    async fn begin(&self, job: Job, stream: bool) -> Result<Response<Body>, Refusal> {
        let (head, began) = oneshot::channel();
        let (pieces, receiver) = mpsc::channel(BUFFER);
        let id = job.id.clone();
        let model = job.body.get("model").cloned().unwrap_or_default();
        tokio::spawn(job.run(head, pieces));
        let runner = began.await.unwrap_or_else(|_| Err(Kind::Stopping.into()))?;
        let mut answer = match stream {
            true => streamed(receiver),
            false => whole(&id, &model, receiver).await?,
        };
        if let Ok(runner) = HeaderValue::from_str(&runner) {
            answer.headers_mut().insert(http::RUNNER, runner);
        }
        Ok(answer)
    }
}

fn streamed(receiver: mpsc::Receiver<Piece>) -> Response<Body> {
    let stream = tokio_stream::wrappers::ReceiverStream::new(receiver);
    let frames = tokio_stream::StreamExt::map(stream, |piece| Ok(Frame::data(event(&piece))));
    let mut answer = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-store"));
    answer
}

fn event(piece: &Piece) -> Bytes {
    match piece {
        Piece::Event(data) => [b"data: ", &data[..], b"\n\n"].concat().into(),
        Piece::End(_) => Bytes::from_static(b"data: [DONE]\n\n"),
        Piece::Broken(refusal) => format!("data: {}\n\n", refusal.body()).into(),
    }
}

async fn whole(
    id: &str,
    model: &Value,
    mut receiver: mpsc::Receiver<Piece>,
) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    while let Some(piece) = receiver.recv().await {
        match piece {
            Piece::Event(data) => {
                let value: Value = serde_json::from_slice(&data).unwrap_or_default();
                text.push_str(
                    value["choices"][0]["delta"]["content"]
                        .as_str()
                        .unwrap_or_default(),
                );
            }
            Piece::End(usage) => {
                return Ok(json(
                    200,
                    &serde_json::json!({
                        "id": id,
                        "object": "chat.completion",
                        "model": model,
                        "choices": [{
                            "index": 0,
                            "message": { "role": "assistant", "content": text },
                            "finish_reason": "stop",
                        }],
                        "usage": {
                            "prompt_tokens": usage.prompt,
                            "completion_tokens": usage.tokens,
                            "total_tokens": usage.prompt + u64::from(usage.tokens),
                        },
                    }),
                ));
            }
            Piece::Broken(refusal) => return Err(refusal),
        }
    }
    Err(Kind::UpstreamBroken.into())
}

fn prompt(body: &Value) -> Result<String, Refusal> {
    let missing =
        || Refusal::new(Kind::BadRequest).detail("messages: a list of objects with role and content");
    let messages = body
        .get("messages")
        .and_then(Value::as_array)
        .ok_or_else(missing)?;
    if messages.is_empty() {
        return Err(missing());
    }
    messages
        .iter()
        .map(|message| message.get("content").and_then(Value::as_str).ok_or_else(missing))
        .collect()
}

fn limit(body: &Value) -> u32 {
    let limit = body.get("max_tokens").and_then(Value::as_u64);
    limit.map_or(TOKENS, |limit| limit.clamp(1, u64::from(u32::MAX)) as u32)
}

fn default_class(view: &View) -> Option<String> {
    let mut classes = view
        .document
        .classes
        .iter()
        .filter(|class| class.mode == Mode::Generate);
    let first = classes.next()?;
    match classes.next() {
        None => Some(first.name.clone()),
        Some(_) => None,
    }
}
