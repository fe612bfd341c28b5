//! Heads of answers that are no heads of final answers.
//!
//! A change of protocols is never asked for, and no status is above 599 (RFC 9110, section 15). What a runner sends too
//! much may break off within a head. The answer that follows on the connection is then read as the rest of it: its status
//! line ends up in a reason phrase or in the value of a header, and the status is that of the former one.

use std::ops::RangeInclusive;

use hyper::Response;
use hyper::ext::ReasonPhrase;

/// Statuses of final answers.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;
/// Beginning of a status line, up to its minor version.
const VERSION: &[u8] = b"HTTP/1.";
/// Length of the minor version, a space and a status.
const STATUS_BYTES: usize = 5;

/// Whether the head is final, and has one status line only.
pub fn is_sound<B>(answer: &Response<B>) -> bool {
    let reason = answer.extensions().get::<ReasonPhrase>();
    let values = answer.headers().values().map(|value| value.as_bytes());
    FINAL_STATUSES.contains(&answer.status().as_u16())
        && !reason
            .map(ReasonPhrase::as_bytes)
            .into_iter()
            .chain(values)
            .any(has_status_line)
}

/// Whether a text has a status line in it.
fn has_status_line(text: &[u8]) -> bool {
    text.windows(VERSION.len() + STATUS_BYTES).any(|window| {
        let status = window.strip_prefix(VERSION);
        matches!(status, Some([minor, b' ', digits @ ..]) if minor.is_ascii_digit() && digits.iter().all(u8::is_ascii_digit))
    })
}
