//! Responses to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue, RETRY_AFTER,
};
use hyper::http::response;
use hyper::{Response, StatusCode};
use radishstair_core::error::{Kind, Refusal};

/// Error of a body that ends early. The connection is closed without the last
/// chunk, so that the response cannot be taken for complete.
#[derive(Clone, Copy, Debug)]
pub struct Truncated;

impl std::fmt::Display for Truncated {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response truncated")
    }
}

impl std::error::Error for Truncated {}

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, Truncated>;

/// Hop-by-hop headers, which apply to one connection only.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes the hop-by-hop headers, including those named in the `Connection` header.
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
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// Body that is sent in one piece.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Response of a runner, with a body for the caller.
pub fn from_runner(parts: &response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    *response.headers_mut() = parts.headers.clone();
    strip_hop_headers(response.headers_mut());
    response.headers_mut().remove(CONTENT_LENGTH);
    response
}

/// Response for a refusal or failure that this host reports itself.
pub fn from_refusal(refusal: &Refusal) -> Response<Body> {
    let mut response = Response::new(full_body(refusal.body().to_string()));
    if let Ok(status) = hyper::StatusCode::from_u16(refusal.kind.status()) {
        *response.status_mut() = status;
    }
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(after) = refusal.retry_after {
        headers.insert(RETRY_AFTER, header_seconds(after));
    }
    response
}

fn header_seconds(span: Duration) -> HeaderValue {
    let text = format!("{:.2}", span.as_secs_f64());
    HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"))
}

/// Response with a status and a short body.
pub fn with_body(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
}

/// Longest time after which a refused caller may retry; runners that are paused
/// or booting usually serve again by then.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(900);
/// Longest retry time as a fraction of the caller's time left; callers respect
/// up to a third of it.
const RETRY_AFTER_FRACTION: f64 = 0.28;

/// Time after which a refused caller may retry.
///
/// `draw` spreads it over the second half of the longest time, so that callers
/// that were refused together do not retry together.
pub fn retry_after(time_left: Option<Duration>, draw: u32) -> Duration {
    let longest = time_left.unwrap_or(MAX_RETRY_AFTER).mul_f64(RETRY_AFTER_FRACTION);
    let spread = 0.5 + 0.5 * f64::from(draw) / f64::from(u32::MAX);
    longest.min(MAX_RETRY_AFTER).mul_f64(spread)
}

/// Time over which callers are spread that a stopping host refuses: other hosts take them at once.
const STOP_SPREAD: Duration = Duration::from_millis(50);

/// Refusal of a request, not passed on, that may last longer than the planned stop of this host; `draw` spreads the time to
/// come back.
pub fn stop_refusal(draw: u32) -> Refusal {
    let spread = STOP_SPREAD.mul_f64(f64::from(draw) / f64::from(u32::MAX));
    Refusal::new(Kind::Stopping).retry_after(spread)
}

/// Share of the time until runners take requests again over which the callers that were refused are spread.
const WAIT_SPREAD: f64 = 0.25;

/// Time after which a caller may retry whose request no runner takes before `wait` has passed; `draw` spreads it.
pub fn retry_after_wait(wait: Duration, draw: u32) -> Duration {
    wait.mul_f64(1.0 + WAIT_SPREAD * f64::from(draw) / f64::from(u32::MAX))
}
