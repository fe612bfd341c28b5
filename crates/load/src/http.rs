//! HTTP client of the router: sends JSON, reads JSON or an event stream.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use radishstair_wire::http;
use serde_json::Value;

/// Blocking client with one API key.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: ureq::Agent,
    key: String,
    retry_token: Option<String>,
}

/// Response to a call.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// HTTP status; 0 if the call failed without a readable response.
    pub status: u16,
    /// Name of the runner that served the call.
    pub runner: String,
    /// Body, or the last error event of a stream.
    pub body: Value,
    /// Text of a stream or a whole completion.
    pub text: String,
    /// Number of chunks with text.
    pub tokens: u32,
    /// Whether a stream ended with `[DONE]`, or a whole completion has a text.
    pub done: bool,
    /// Time to the first token, or to the whole response of a plain call.
    pub first_token: Duration,
    /// Time to the end of the response.
    pub total: Duration,
    /// New ticket that came with a refusal.
    pub next_key: Option<String>,
    /// Token for a retry at a reserved time.
    pub retry_token: Option<String>,
}

impl Response {
    /// Kind of a refusal; empty otherwise.
    pub fn kind(&self) -> &str {
        self.body["error"]["kind"].as_str().unwrap_or_default()
    }

    /// Whether a refused call ran, as stated in the refusal.
    pub fn ran(&self) -> &str {
        self.body["error"]["ran"].as_str().unwrap_or_default()
    }

    /// How a refused call may be repeated, as stated in the refusal.
    pub fn repeat(&self) -> &str {
        self.body["error"]["repeat"].as_str().unwrap_or_default()
    }
}

impl Caller {
    /// A client with a key; an empty key is not sent. Calls time out after 60 seconds.
    pub fn new(key: &str) -> Self {
        Self::with_timeout(key, Duration::from_secs(60))
    }

    /// A client with a key and a timeout for each call.
    pub fn with_timeout(key: &str, timeout: Duration) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(timeout))
            .proxy(None)
            .build();
        Self {
            agent: config.new_agent(),
            key: key.to_string(),
            retry_token: None,
        }
    }

    /// The same client with the token of a reserved retry.
    pub fn with_retry_token(&self, token: &str) -> Self {
        Self {
            retry_token: Some(token.to_string()),
            ..self.clone()
        }
    }

    /// Makes a plain call, with an idempotency key if one is given.
    pub fn call(
        &self,
        entry: SocketAddr,
        path: &str,
        body: &Value,
        idempotency_key: Option<&str>,
    ) -> Response {
        let started = Instant::now();
        let mut response = self
            .post(entry, path, &body.to_string(), idempotency_key, None)
            .unwrap_or_default();
        response.total = started.elapsed();
        response.first_token = response.total;
        response
    }

    /// Sends a body that need not be valid JSON.
    pub fn post_raw(&self, entry: SocketAddr, path: &str, body: &str) -> Response {
        self.post(entry, path, body, None, None).unwrap_or_default()
    }

    /// Makes a chat completion call of a class.
    pub fn chat(&self, entry: SocketAddr, class: &str, body: &Value) -> Response {
        let started = Instant::now();
        let path = "/v1/chat/completions";
        let mut response = self
            .post(entry, path, &body.to_string(), None, Some((class, started)))
            .unwrap_or_default();
        response.total = started.elapsed();
        response
    }

    /// Requests tickets for at-most-once calls.
    ///
    /// # Errors
    ///
    /// If the response has no tickets.
    pub fn tickets(&self, entry: SocketAddr, count: u32) -> Result<Vec<String>> {
        let response = self.call(entry, "/v1/tickets", &serde_json::json!({ "count": count }), None);
        let tickets = response.body["tickets"]
            .as_array()
            .with_context(|| format!("response without tickets: {}", response.body))?;
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
        idempotency_key: Option<&str>,
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
            request = request.header(http::RESERVATION_TOKEN, token);
        }
        if let Some(idempotency_key) = idempotency_key {
            request = request.header("idempotency-key", idempotency_key);
        }
        if let Some((class, _)) = chat {
            request = request.header("x-class", class);
        }
        let mut http_response = request.send(body)?;
        let header = |name: &str| Some(http_response.headers().get(name)?.to_str().ok()?.to_string());
        let mut response = Response {
            status: http_response.status().as_u16(),
            runner: header("x-runner").unwrap_or_default(),
            next_key: header("next-idempotency-key"),
            retry_token: header(http::RESERVATION_TOKEN),
            ..Response::default()
        };
        let is_stream = header("content-type").is_some_and(|value| value == "text/event-stream");
        match chat {
            Some((_, started)) if is_stream => {
                // If the connection breaks midway, `done` stays false.
                let _ = read_events(&mut response, http_response.body_mut().as_reader(), started);
            }
            _ => {
                response.body = serde_json::from_slice(&http_response.body_mut().read_to_vec()?)?;
                if let Some(text) = response.body["choices"][0]["message"]["content"].as_str() {
                    response.text = text.to_string();
                    response.done = true;
                }
            }
        }
        Ok(response)
    }
}

fn read_events(response: &mut Response, reader: impl std::io::Read, started: Instant) -> Result<()> {
    for line in BufReader::new(reader).lines() {
        let line = line?;
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if data == "[DONE]" {
            response.done = true;
            return Ok(());
        }
        let value: Value = serde_json::from_str(data)?;
        if let Some(text) = value["choices"][0]["delta"]["content"].as_str() {
            if response.tokens == 0 {
                response.first_token = started.elapsed();
            }
            response.tokens += 1;
            response.text.push_str(text);
        } else {
            response.body = value;
        }
    }
    Ok(())
}
