//! The closed list of error kinds and the answer of each.
//!
//! A refusal states, besides its kind, whether the call ran, whether and how it
//! may be repeated, and optionally when. The pair "not run" and "new key"
//! guarantees that the key is closed, so that no late copy of the call can run.

use std::time::Duration;

/// Whether a refused call reached a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Execution {
    /// No byte reached a runner and none will.
    NotRun,
    /// The call ran; its answer is included or lost.
    Ran,
    /// The call may have run, or may still run.
    Unknown,
}

/// Whether and how a caller may repeat a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Repeat, with a new key if the call needs one.
    NewKey,
    /// Repeat with the same key only, so that the call cannot run twice.
    SameKey,
    /// Do not repeat; ask the ledger whether the call ran, or correct the request.
    Never,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident: $name:literal, $status:literal, $ran:ident, $repeat:ident, $text:literal;)*) => {
        /// Why a call was refused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Kind { $($(#[$doc])* $kind,)* }

        impl Kind {
            /// Every kind, in the order of the table.
            pub const ALL: &'static [Kind] = &[$(Kind::$kind,)*];

            /// Name on the wire.
            pub fn name(self) -> &'static str {
                match self { $(Kind::$kind => $name,)* }
            }

            /// HTTP status of the answer.
            pub fn status(self) -> u16 {
                match self { $(Kind::$kind => $status,)* }
            }

            /// Whether the call ran, unless the refusal says otherwise.
            pub fn ran(self) -> Execution {
                match self { $(Kind::$kind => Execution::$ran,)* }
            }

            /// How the call may be repeated, unless the refusal says otherwise.
            pub fn repeat(self) -> Repeat {
                match self { $(Kind::$kind => Repeat::$repeat,)* }
            }

            /// Message for the caller, one sentence.
            pub fn text(self) -> &'static str {
                match self { $(Kind::$kind => $text,)* }
            }
        }
    };
}

kinds! {
    /// Malformed request.
    BadRequest: "bad-request", 400, NotRun, Never, "the request is malformed";
    /// Head or body over the limit.
    TooLarge: "too-large", 413, NotRun, Never, "the request is larger than allowed";
    /// The request did not arrive in time.
    SlowRequest: "slow-request", 408, NotRun, NewKey, "the request did not arrive in time";
    /// No `Authorization: Bearer` header.
    MissingKey: "missing-key", 401, NotRun, Never, "an `Authorization: Bearer` key is required";
    /// Unknown API key.
    UnknownKey: "unknown-key", 401, NotRun, Never, "the key is not known";
    /// The API key was withdrawn.
    KeyWithdrawn: "key-withdrawn", 401, NotRun, Never, "the key was withdrawn";
    /// No class serves the path.
    NotFound: "not-found", 404, NotRun, Never, "no class serves this path";
    /// Unknown model.
    UnknownModel: "unknown-model", 404, NotRun, Never, "no pool serves this model";
    /// Unknown class.
    UnknownClass: "unknown-class", 404, NotRun, Never, "no such request class";
    /// No selector gives this traffic a service level.
    NotSelected: "not-selected", 403, NotRun, Never, "no selector admits this request";
    /// An at-most-once call without an idempotency key.
    MissingIdempotencyKey: "missing-idempotency-key", 400, NotRun, Never, "this call needs an `Idempotency-Key`";
    /// The idempotency key is malformed, forged or of another customer.
    BadIdempotencyKey: "bad-idempotency-key", 400, NotRun, Never, "the `Idempotency-Key` is malformed, forged or of another customer";
    /// The idempotency key was used with another body.
    KeyReused: "idempotency-key-reused", 409, Unknown, Never, "the `Idempotency-Key` was used with another body";
    /// The idempotency key is older than records are kept.
    KeyExpired: "idempotency-key-expired", 409, Unknown, Never, "the `Idempotency-Key` has expired; ask the ledger whether it ran";
    /// The idempotency key was closed without a run.
    KeyClosed: "idempotency-key-closed", 409, NotRun, NewKey, "the `Idempotency-Key` was closed without running";
    /// The same call is still running.
    InProgress: "in-progress", 409, Unknown, SameKey, "the call is still running";
    /// The only process that may run this call cannot be reached.
    OwnerAway: "owner-away", 503, Unknown, SameKey, "the host that holds this call cannot be reached";
    /// The only process that may run this call has ended.
    OwnerLost: "owner-lost", 503, Unknown, Never, "the host that held this call has ended; ask the ledger whether it ran";
    /// The store did not confirm the claim.
    ClaimUnsettled: "claim-unsettled", 503, Unknown, SameKey, "the call could not be claimed now; use a ticket while the store is down";
    /// Too many calls are waiting to meet the target.
    Overloaded: "overloaded", 503, NotRun, NewKey, "too much work is waiting to meet the target";
    /// No runner is available for the call.
    NoRunner: "no-runner", 503, NotRun, NewKey, "no runner can take this call now";
    /// The software version that began the stream is not known.
    OriginUnknown: "origin-unknown", 503, NotRun, NewKey, "the software version that began this stream is not known here yet";
    /// No runner of the software version that began the stream is left.
    VersionGone: "version-gone", 503, NotRun, Never, "no runner is left of the software version that began this stream; start it anew";
    /// A part of the prompt has crashed several runners.
    Quarantined: "quarantined", 503, NotRun, NewKey, "a part of this prompt has crashed the runners that answered it";
    /// The call could not start before its deadline.
    Late: "late", 503, NotRun, NewKey, "the call could not start before its deadline";
    /// The host is stopping.
    Stopping: "stopping", 503, NotRun, NewKey, "this host is stopping";
    /// The configuration is too old for its keys to be trusted.
    Stale: "stale-configuration", 503, NotRun, NewKey, "this host has been cut off for longer than keys may be trusted";
    /// The runner broke off its answer.
    UpstreamBroken: "upstream-broken", 502, Unknown, Never, "the runner broke off before its answer was whole";
    /// The runner sent the answer to another request.
    UpstreamCrossed: "upstream-crossed", 502, Unknown, Never, "the runner answered for another request";
    /// The runner did not answer in time.
    UpstreamTimeout: "upstream-timeout", 504, Unknown, Never, "the runner did not answer in time";
    /// Too many connections.
    TooManyConnections: "too-many-connections", 503, NotRun, NewKey, "too many connections are open on this host";
}

plain! {
    /// A refusal as sent to a caller.
    pub struct Refusal {
        /// Reason.
        pub kind: Kind,
        /// Whether the call ran.
        pub ran: Execution,
        /// Whether and how the call may be repeated.
        pub repeat: Repeat,
        /// Time until the caller should retry.
        pub retry_after: Option<Duration>,
        /// Whether capacity is reserved for the retry.
        pub reserved: bool,
        /// Token for the retry, once the reservation is signed.
        pub token: Option<String>,
        /// Detail appended to the message; may be empty.
        pub detail: String,
    }
}

impl Refusal {
    /// Creates a refusal with the defaults of its kind.
    pub fn new(kind: Kind) -> Self {
        Self {
            kind,
            ran: kind.ran(),
            repeat: kind.repeat(),
            retry_after: None,
            reserved: false,
            token: None,
            detail: String::new(),
        }
    }

    /// Sets the detail.
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Sets the time until the retry.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Sets the time until the retry, for which capacity is reserved.
    pub fn reserve(self, after: Duration) -> Self {
        Self {
            reserved: true,
            ..self.retry_after(after)
        }
    }

    /// Sets that the call may have run and may be repeated with the same key.
    pub fn outcome_unknown(mut self) -> Self {
        self.ran = Execution::Unknown;
        self.repeat = Repeat::SameKey;
        self
    }

    /// JSON body of the answer.
    pub fn body(&self) -> serde_json::Value {
        let mut message = self.kind.text().to_string();
        if !self.detail.is_empty() {
            message = format!("{message}: {}", self.detail);
        }
        serde_json::json!({ "error": {
            "kind": self.kind.name(),
            "message": message,
            "ran": self.ran,
            "repeat": self.repeat,
            "retry_after_ms": self.retry_after.map(|delay| delay.as_millis() as u64),
        }})
    }
}

impl From<Kind> for Refusal {
    fn from(kind: Kind) -> Self {
        Self::new(kind)
    }
}
