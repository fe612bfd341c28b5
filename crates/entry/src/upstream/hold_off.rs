//! Time for which a server wants nothing, as HTTP names it in rejections.

use std::time::{Duration, SystemTime};

use hyper::StatusCode;
use hyper::header::{DATE, HeaderMap, HeaderValue, RETRY_AFTER};
use radishstair_core::proxy::fleet::holdoff::{Notice, Wait};

/// The longest of the times that an answer names, if it is a rejection.
pub fn notice(status: StatusCode, headers: &HeaderMap) -> Notice {
    let rejects = matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    let mut values = headers.get_all(RETRY_AFTER).iter().peekable();
    if !rejects || values.peek().is_none() {
        return Notice::Absent;
    }
    let sent = headers.get(DATE).and_then(date);
    let longest = values.filter_map(|value| wait(value, sent)).max();
    longest.map_or(Notice::Malformed, |longest| Notice::For(Wait::new(longest)))
}

/// Time in seconds, or until a date by the clock of the server. Negative times, and dates in an answer without
/// a date of its own, cannot be read.
fn wait(value: &HeaderValue, sent: Option<SystemTime>) -> Option<Duration> {
    let text = value.to_str().ok()?.trim();
    if let Ok(seconds) = text.parse::<f64>() {
        let is_time = seconds.is_finite() && seconds >= 0.0;
        return is_time.then(|| Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX));
    }
    let until = httpdate::parse_http_date(text).ok()?;
    Some(until.duration_since(sent?).unwrap_or_default())
}

fn date(value: &HeaderValue) -> Option<SystemTime> {
    httpdate::parse_http_date(value.to_str().ok()?).ok()
}
