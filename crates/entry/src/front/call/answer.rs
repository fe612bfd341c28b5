//! Answers of plain calls, as callers, peers and records hold them.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::HeaderValue;
use radishstair_core::at_most_once::Answer;
use radishstair_core::error::{Execution, Kind, Refusal};
use radishstair_core::peer::Forwarded;
use radishstair_wire::http;

use super::Answered;
use crate::front::{Body, text};

pub fn kept(answered: &Answered) -> Answer {
    Answer {
        status: answered.status,
        body: String::from_utf8(answered.body.to_vec()).ok(),
    }
}

pub fn replay(answer: Answer) -> Result<Response<Body>, Refusal> {
    match answer.body {
        Some(body) => Ok(response("recorded", answer.status, body.into())),
        None => Err(Refusal {
            ran: Execution::Ran,
            ..Refusal::new(Kind::KeyReused).detail("it ran; its answer was too long to keep")
        }),
    }
}

pub fn response(runner: &str, status: u16, body: Bytes) -> Response<Body> {
    let mut answer = text(status, body);
    if let Ok(runner) = HeaderValue::from_str(runner) {
        answer.headers_mut().insert(http::RUNNER, runner);
    }
    answer
}

pub fn from_owner(forwarded: Forwarded) -> Response<Body> {
    let mut answer = text(forwarded.status as u16, forwarded.body.into());
    if forwarded.retry_after_ms > 0 {
        answer.headers_mut().insert(
            "retry-after",
            HeaderValue::from(forwarded.retry_after_ms.div_ceil(1_000)),
        );
    }
    answer
}

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
