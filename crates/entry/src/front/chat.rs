//! Chat completions, streamed and in one piece.
//!
//! If a runner fails within a stream, another runner resumes the generation
//! after the tokens that the caller already has. The caller's stream ends with
//! `[DONE]` only if the runner sent a finish reason and `[DONE]`. Any other end
//! is an error event, so that a truncated answer cannot be taken for a complete
//! one.

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

use super::{Body, authenticate, header, json_response, read_body};
use crate::handle::Handle;
use crate::upstream::pool::Pool;

mod job;

use job::Job;

/// Bytes at the start of the prompt that select a runner with a cached prefix.
const PREFIX_BYTES: usize = 64;
/// Length of the answer, in tokens, that dispatch assumes if the caller sets no
/// `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 512;
/// Events buffered between a runner and a slow caller.
const EVENT_BUFFER: usize = 8;

/// Serves chat completions.
#[derive(Debug)]
pub struct Service {
    /// Shared state.
    pub handle: Arc<Handle>,
    /// Connections to engines.
    pub pool: Arc<Pool>,
}

/// Part of the answer to a caller.
enum ResponsePart {
    Event(Bytes),
    End(Usage),
    Error(Refusal),
}

/// Tokens of one request.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    prompt_tokens: u64,
    tokens: u32,
}

impl Service {
    /// Serves one request.
    ///
    /// # Errors
    ///
    /// The refusal for the caller, if no response was started.
    pub async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Refusal> {
        let view = self.handle.view.load_full();
        let caller = authenticate(&self.handle, &view, &request)?;
        let class_header = header(&request, http::CLASS);
        let reservation_token = header(&request, http::RESERVATION_TOKEN);
        let body: Value = serde_json::from_slice(&read_body(request).await?)
            .map_err(|err| Refusal::new(Kind::BadRequest).detail(err.to_string()))?;
        let prompt_text = prompt_text(&body)?;
        let class = class_header
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
            prefix: digest(&prompt_text.as_bytes()[..prompt_text.len().min(PREFIX_BYTES)]),
            reserved: self
                .handle
                .has_reservation(reservation_token.as_deref(), &customer, &class),
            max_tokens: max_tokens(&body),
            customer,
            key: view.document.keys[caller.key].name.clone(),
            handle: self.handle.clone(),
            pool: self.pool.clone(),
            started: Instant::now(),
            _flight: self.handle.track_request(),
            body,
            route,
        };
        self.begin(job, stream).await
    }

    async fn begin(&self, job: Job, stream: bool) -> Result<Response<Body>, Refusal> {
        let (head, head_receiver) = oneshot::channel();
        let (parts, receiver) = mpsc::channel(EVENT_BUFFER);
        let id = job.id.clone();
        let model = job.body.get("model").cloned().unwrap_or_default();
        tokio::spawn(job.run(head, parts));
        let runner = head_receiver
            .await
            .unwrap_or_else(|_| Err(Kind::Stopping.into()))?;
        let mut answer = match stream {
            true => stream_response(receiver),
            false => collect_response(&id, &model, receiver).await?,
        };
        if let Ok(runner) = HeaderValue::from_str(&runner) {
            answer.headers_mut().insert(http::RUNNER, runner);
        }
        Ok(answer)
    }
}

/// A response that streams the parts as server-sent events.
fn stream_response(receiver: mpsc::Receiver<ResponsePart>) -> Response<Body> {
    let stream = tokio_stream::wrappers::ReceiverStream::new(receiver);
    let frames = tokio_stream::StreamExt::map(stream, |part| Ok(Frame::data(encode_event(&part))));
    let mut answer = Response::new(BodyExt::boxed(StreamBody::new(frames)));
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert("cache-control", HeaderValue::from_static("no-store"));
    answer
}

fn encode_event(part: &ResponsePart) -> Bytes {
    match part {
        ResponsePart::Event(data) => [b"data: ", &data[..], b"\n\n"].concat().into(),
        ResponsePart::End(_) => Bytes::from_static(b"data: [DONE]\n\n"),
        ResponsePart::Error(refusal) => format!("data: {}\n\n", refusal.body()).into(),
    }
}

/// A response with the whole answer, once it is complete.
async fn collect_response(
    id: &str,
    model: &Value,
    mut receiver: mpsc::Receiver<ResponsePart>,
) -> Result<Response<Body>, Refusal> {
    let mut text = String::new();
    while let Some(part) = receiver.recv().await {
        match part {
            ResponsePart::Event(data) => {
                let value: Value = serde_json::from_slice(&data).unwrap_or_default();
                text.push_str(
                    value["choices"][0]["delta"]["content"]
                        .as_str()
                        .unwrap_or_default(),
                );
            }
            ResponsePart::End(usage) => {
                return Ok(json_response(
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
                            "prompt_tokens": usage.prompt_tokens,
                            "completion_tokens": usage.tokens,
                            "total_tokens": usage.prompt_tokens + u64::from(usage.tokens),
                        },
                    }),
                ));
            }
            ResponsePart::Error(refusal) => return Err(refusal),
        }
    }
    Err(Kind::UpstreamBroken.into())
}

fn prompt_text(body: &Value) -> Result<String, Refusal> {
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

fn max_tokens(body: &Value) -> u32 {
    let max_tokens = body.get("max_tokens").and_then(Value::as_u64);
    max_tokens.map_or(DEFAULT_MAX_TOKENS, |max_tokens| {
        max_tokens.clamp(1, u64::from(u32::MAX)) as u32
    })
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
