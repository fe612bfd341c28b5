//! Header names shared by callers, entry hosts and runners.

/// Idempotency key of an at-most-once call.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Names the request towards a runner; its answer must name it again.
pub const REQUEST_ID: &str = "x-request-id";
/// Priority for the engine; lower goes first.
pub const PRIORITY: &str = "x-priority";
/// A runner's notice that it leaves.
pub const LEAVING: &str = "x-leaving";
/// Runner that served a call, for callers and tests.
pub const RUNNER: &str = "x-runner";
/// Token of a promised time to come back, in refusals and then in requests.
pub const RESERVATION_TOKEN: &str = "x-come-back";
/// Request class that a caller wants, where the path does not give it.
pub const CLASS: &str = "x-class";
