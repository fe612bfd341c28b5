//! Reading of requests and answers within this host's memory.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body as _, Incoming};
use radishstair_core::error::Kind;
use radishstair_core::proxy::memory::{Purpose, REQUEST_BYTES, SMALL_ANSWER_BYTES};
use tokio::time::{Instant, timeout, timeout_at};

use super::Shared;
use super::held::{Held, HeldBody};
use super::job::Job;

/// Maximum size of a buffered response.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Why the body of an answer was not read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    /// The runner broke off, or was not done by the deadline.
    Runner,
    /// This host had no memory for it for a while, and the deadline has passed.
    NoMemory,
}

/// Reads the complete body of a request.
///
/// The body is read before the request can be refused: a refusal sent earlier would
/// close the connection with bytes unread, and the caller might not receive it.
///
/// Memory is reserved as the body arrives. A body that does not fit is read to its end as well, but
/// not kept.
///
/// # Errors
///
/// The kind of refusal for the caller.
pub async fn read_request(
    body: Incoming,
    max_bytes: usize,
    time_limit: Duration,
    held: &mut Held,
) -> Result<Bytes, Kind> {
    let mut has_room = held.try_grow(Purpose::Request, REQUEST_BYTES);
    if body.is_end_stream() {
        return if has_room {
            Ok(Bytes::new())
        } else {
            Err(Kind::Overloaded)
        };
    }
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(Kind::TooLarge);
    }
    let mut received = BytesMut::new();
    let reading = async {
        let mut body = Limited::new(body, max_bytes);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else {
                continue;
            };
            has_room = has_room && held.try_grow(Purpose::Body, data.len() as u64);
            match has_room {
                true => received.extend_from_slice(&data),
                false => received = BytesMut::new(),
            }
        }
        Ok::<(), Box<dyn std::error::Error + Send + Sync>>(())
    };
    match timeout(time_limit, reading).await {
        Err(_) => Err(Kind::SlowRequest),
        Ok(Ok(())) if !has_room => Err(Kind::Overloaded),
        Ok(Ok(())) => Ok(received.freeze()),
        Ok(Err(err)) if err.is::<http_body_util::LengthLimitError>() => Err(Kind::TooLarge),
        Ok(Err(_)) => Err(Kind::BadRequest),
    }
}

/// Reads the body of an answer to its end, until the deadline.
///
/// While this host's memory is full, the runner is not read, until a caller has taken an answer.
///
/// # Errors
///
/// Whether the runner or this host is why it was not read.
pub async fn read_answer(shared: &Shared, job: &Job, body: Incoming) -> Result<HeldBody<Held>, ReadFailure> {
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    let now = shared.now();
    let deadline = Instant::now() + job.time_left(now).unwrap_or(Duration::from_secs(3_600));
    let mut held = shared.hold();
    let mut received = BytesMut::new();
    // A runner that was not read in time is not to blame for being late.
    let mut late = ReadFailure::Runner;
    loop {
        let frame = timeout_at(deadline, body.frame()).await;
        let Some(frame) = frame.map_err(|_| late)? else {
            return Ok(HeldBody::new(received.freeze(), held));
        };
        let Ok(data) = frame.map_err(|_| ReadFailure::Runner)?.into_data() else {
            continue;
        };
        let purpose = match (received.len() + data.len()) as u64 {
            ..=SMALL_ANSWER_BYTES => Purpose::SmallAnswer,
            _ => Purpose::LargeAnswer,
        };
        let bytes = data.len() as u64;
        if !held.try_grow(purpose, bytes) {
            late = ReadFailure::NoMemory;
            let grown = timeout_at(deadline, held.grow(purpose, bytes)).await;
            grown.map_err(|_| late)?;
        }
        received.extend_from_slice(&data);
    }
}
