//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER,
};
use hyper::http::response;
use hyper::{Response, StatusCode};
use radishstair_core::error::Refusal;

/// Why a body ends before its end; the connection is closed without the last
/// chunk, so that the answer cannot look whole.
#[derive(Clone, Copy, Debug)]
pub struct Cut;

impl std::fmt::Display for Cut {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was cut")
    }
}

impl std::error::Error for Cut {}

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// Headers that concern one connection only.
const HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the headers that concern one connection only, those that the
/// `Connection` header names included.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP {
        headers.remove(name);
    }
}

/// A whole body.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// A runner's answer with its whole body.
pub fn whole(parts: &response::Parts, body: Bytes) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers.clone();
    strip_hop_headers(response.headers_mut());
    response.headers_mut().remove(CONTENT_LENGTH);
    response
}

/// A refusal or failure of this host's own.
pub fn refuse(refusal: &Refusal) -> Response<Body> {
    let mut response = Response::new(full(refusal.body().to_string()));
    if let Ok(status) = hyper::StatusCode::from_u16(refusal.kind.status()) {
        *response.status_mut() = status;
    }
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = refusal.retry_after {
        headers.insert(RETRY_AFTER, seconds(after));
    }
    response
}

fn seconds(span: Duration) -> HeaderValue {
    let text = format!("{:.2}", span.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}

/// A short answer.
pub fn answer(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    response
}

/// Longest time to come back after a refusal: runners that rest or boot serve
/// again about then.
const COME_BACK: Duration = Duration::from_millis(900);
/// Part of the caller's time left after which it comes back at the latest;
/// callers heed up to a third.
const COME_BACK_PART: f64 = 0.28;

/// When a refused caller comes back: spread over the second half of the span,
/// so that those refused together do not return together.
pub fn come_back(left: Option<Duration>, draw: u32) -> Duration {
    let part = left.unwrap_or(COME_BACK).mul_f64(COME_BACK_PART);
    let spread = 0.5 + 0.5 * f64::from(draw) / f64::from(u32::MAX);
    part.min(COME_BACK).mul_f64(spread)
}
