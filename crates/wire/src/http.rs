//! Header names shared by callers, entry hosts and runners.

/// Idempotency key of an at-most-once call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Id of a request to a runner; the answer must repeat it.
pub const REQUEST_ID: &str = "x-request-id";
/// Priority of a request for the engine; lower values go first.
pub const PRIORITY: &str = "x-priority";
/// Present in answers of a runner that is about to leave.
pub const LEAVING: &str = "x-leaving";
/// Name of the runner that served a call, for callers and tests.
pub const RUNNER: &str = "x-runner";
/// Token of a reserved retry time, sent in a refusal and repeated in the retry.
pub const RESERVATION_TOKEN: &str = "x-come-back";
/// Request class chosen by the caller, if the path does not determine it.
pub const CLASS: &str = "x-class";
