//! Conversions of plain calls' answers: for callers, for peers and for the
//! at-most-once records.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::HeaderValue;
use radishstair_core::at_most_once::Answer;
use radishstair_core::error::{Execution, Kind, Refusal};
use radishstair_core::peer::Forwarded;
use radishstair_wire::http;

use super::RunnerResponse;
use crate::front::{Body, encoded_json_response};

/// The answer to store in the at-most-once records.
pub fn to_record(answer: &RunnerResponse) -> Answer {
    Answer {
        status: answer.status,
        body: String::from_utf8(answer.body.to_vec()).ok(),
    }
}

/// The response for a recorded answer.
pub fn replay(answer: Answer) -> Result<Response<Body>, Refusal> {
    match answer.body {
        Some(body) => Ok(response("recorded", answer.status, body.into())),
        None => Err(Refusal {
            ran: Execution::Ran,
            ..Refusal::new(Kind::KeyReused).detail("it ran; its answer was too long to keep")
        }),
    }
}

/// The response for a runner's answer.
pub fn response(runner: &str, status: u16, body: Bytes) -> Response<Body> {
    let mut answer = encoded_json_response(status, body);
    if let Ok(runner) = HeaderValue::from_str(runner) {
        answer.headers_mut().insert(http::RUNNER, runner);
    }
    answer
}

/// The response for the answer of the peer that owns the key.
pub fn from_owner(forwarded: Forwarded) -> Response<Body> {
    let mut answer = encoded_json_response(forwarded.status as u16, forwarded.body.into());
    if forwarded.retry_after_ms > 0 {
        answer.headers_mut().insert(
            "retry-after",
            HeaderValue::from(forwarded.retry_after_ms.div_ceil(1_000)),
        );
    }
    answer
}

/// The message to the peer that forwarded the call.
pub async fn to_peer(answer: Response<Body>) -> Forwarded {
    let after = answer
        .headers()
        .get("retry-after")
        .and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
    let status = u32::from(answer.status().as_u16());
    let body = answer
        .into_body()
        .collect()
        .await
        .map(|body| body.to_bytes().to_vec());
    Forwarded {
        status,
        body: body.unwrap_or_default(),
        retry_after_ms: after.unwrap_or(0) * 1_000,
    }
}
