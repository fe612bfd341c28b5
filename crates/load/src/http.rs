//! A caller of the router, as its clients are: JSON out, JSON or events back.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use radishstair_wire::http;
use serde_json::Value;

/// A blocking caller with one key.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: ureq::Agent,
    key: String,
    retry_token: Option<String>,
}

/// What came back.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// HTTP status; 0 when the connection broke.
    pub status: u16,
    /// Runner that served it.
    pub runner: String,
    /// Body, or the last error event of a stream.
    pub body: Value,
    /// Text of a stream or completion.
    pub text: String,
    /// Chunks with text.
    pub tokens: u32,
    /// Whether a stream came to its proper end.
    pub done: bool,
    /// Time to the first token or the whole answer.
    pub first: Duration,
    /// Time to the end.
    pub total: Duration,
    /// A fresh ticket that came with a refusal.
    pub next_key: Option<String>,
    /// Token of a promised time to come back.
    pub retry_token: Option<String>,
}

impl Response {
    /// Kind of the refusal; empty when there is none.
    pub fn kind(&self) -> &str {
        self.body["error"]["kind"].as_str().unwrap_or_default()
    }

    /// Whether a refused call ran.
    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or_default()
    }

    /// How a refused call may be repeated.
    pub fn repeat(&self) -> &str {
        self.body["error"]["repeat"].as_str().unwrap_or_default()
    }
}

impl Caller {
    /// A caller with a key; an empty one is not sent.
    pub fn new(key: &str) -> Self {
        Self::with_timeout(key, Duration::from_secs(60))
    }

    /// A caller that gives up after a while.
    pub fn with_timeout(key: &str, limit: Duration) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(limit))
            .proxy(None)
            .build();
        Self {
            agent: config.new_agent(),
            key: key.to_string(),
            retry_token: None,
        }
    }

    /// The same caller, coming back as it was promised.
    pub fn with_retry_token(&self, token: &str) -> Self {
        Self {
            retry_token: Some(token.to_string()),
            ..self.clone()
        }
    }

    /// Makes a plain call.
    pub fn call(&self, entry: SocketAddr, path: &str, body: &Value, once: Option<&str>) -> Response {
        let began = Instant::now();
        let mut answer = self
            .post(entry, path, &body.to_string(), once, None)
            .unwrap_or_default();
        answer.total = began.elapsed();
        answer.first = answer.total;
        answer
    }

    /// Sends a body as it is.
    pub fn post_raw(&self, entry: SocketAddr, path: &str, body: &str) -> Response {
        self.post(entry, path, body, None, None).unwrap_or_default()
    }

    /// Makes a chat completion of a class.
    pub fn chat(&self, entry: SocketAddr, class: &str, body: &Value) -> Response {
        let began = Instant::now();
        let path = "/v1/chat/completions";
        let mut answer = self
            .post(entry, path, &body.to_string(), None, Some((class, began)))
            .unwrap_or_default();
        answer.total = began.elapsed();
        answer
    }

    /// Gets tickets.
    ///
    /// # Errors
    ///
    /// When none were given.
    pub fn tickets(&self, entry: SocketAddr, count: u32) -> Result<Vec<String>> {
        let answer = self.call(entry, "/v1/tickets", &serde_json::json!({ "count": count }), None);
        let tickets = answer.body["tickets"]
            .as_array()
            .with_context(|| format!("no tickets: {}", answer.body))?;
        Ok(tickets
            .iter()
            .filter_map(|ticket| ticket.as_str().map(str::to_string))
            .collect())
    }

    fn post(
        &self,
        entry: SocketAddr,
        path: &str,
        body: &str,
        once: Option<&str>,
        chat: Option<(&str, Instant)>,
    ) -> Result<Response> {
        let mut request = self
            .agent
            .post(format!("http://{entry}{path}"))
            .header("content-type", "application/json");
        if !self.key.is_empty() {
            request = request.header("authorization", format!("Bearer {}", self.key));
        }
        if let Some(token) = &self.retry_token {
            request = request.header(http::COME_BACK, token);
        }
        if let Some(once) = once {
            request = request.header("idempotency-key", once);
        }
        if let Some((class, _)) = chat {
            request = request.header("x-class", class);
        }
        let mut response = request.send(body)?;
        let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_string());
        let mut answer = Response {
            status: response.status().as_u16(),
            runner: header("x-runner").unwrap_or_default(),
            next_key: header("next-idempotency-key"),
            retry_token: header(http::COME_BACK),
            ..Response::default()
        };
        let events = header("content-type").is_some_and(|kind| kind == "text/event-stream");
        match chat {
            Some((_, began)) if events => {
                // A connection that breaks midway leaves the answer undone.
                let _ = read_events(&mut answer, response.body_mut().as_reader(), began);
            }
            _ => {
                answer.body = serde_json::from_slice(&response.body_mut().read_to_vec()?)?;
                if let Some(text) = answer.body["choices"][0]["message"]["content"].as_str() {
                    answer.text = text.to_string();
                    answer.done = true;
                }
            }
        }
        Ok(answer)
    }
}

fn read_events(answer: &mut Response, reader: impl std::io::Read, began: Instant) -> Result<()> {
    for line in BufReader::new(reader).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            answer.done = true;
            return Ok(());
        }
        let value: Value = serde_json::from_str(data)?;
        if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
            if answer.tokens == 0 {
                answer.first = began.elapsed();
            }
            answer.tokens += 1;
            answer.text.push_str(text);
        } else {
            answer.body = value;
        }
    }
    Ok(())
}
