//! The closed list of error kinds and what each answers.
//!
//! A refusal carries three facts beside its kind: whether the call ran,
//! whether and how it may be repeated, and (where it helps) when. The pair
//! "not run" and "new key" is a promise: the key is closed, so that no late
//! copy of the call can run any more.

use std::time::Duration;

/// Whether a refused call reached a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Ran {
    /// No byte reached a runner and none will.
    NotRun,
    /// The call ran; the answer comes with it or is lost.
    Ran,
    /// It may have run, or may still run.
    Unknown,
}

/// How a caller may go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Repeat freely, with a new key where the call needs one.
    NewKey,
    /// Repeat with the same key only: it cannot run twice.
    SameKey,
    /// Do not repeat; ask the ledger what happened, or mend the request.
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
            pub fn ran(self) -> Ran {
                match self { $(Kind::$kind => Ran::$ran,)* }
            }

            /// How to go on, unless the refusal says otherwise.
            pub fn repeat(self) -> Repeat {
                match self { $(Kind::$kind => Repeat::$repeat,)* }
            }

            /// One sentence for people.
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
    /// The body came too slowly.
    SlowRequest: "slow-request", 408, NotRun, NewKey, "the request did not arrive in time";
    /// No `Authorization: Bearer` header.
    MissingKey: "missing-key", 401, NotRun, Never, "an `Authorization: Bearer` key is required";
    /// The key is not known.
    UnknownKey: "unknown-key", 401, NotRun, Never, "the key is not known";
    /// The key was withdrawn.
    KeyWithdrawn: "key-withdrawn", 401, NotRun, Never, "the key was withdrawn";
    /// No such path.
    NotFound: "not-found", 404, NotRun, Never, "no class serves this path";
    /// Unknown model.
    UnknownModel: "unknown-model", 404, NotRun, Never, "no pool serves this model";
    /// Unknown class.
    UnknownClass: "unknown-class", 404, NotRun, Never, "no such request class";
    /// No selector gives this traffic a service level.
    NotSelected: "not-selected", 403, NotRun, Never, "no selector admits this request";
    /// A call that may not be repeated came without an idempotency key.
    MissingIdempotencyKey: "missing-idempotency-key", 400, NotRun, Never, "this call needs an `Idempotency-Key`";
    /// The idempotency key cannot be read.
    BadIdempotencyKey: "bad-idempotency-key", 400, NotRun, Never, "the `Idempotency-Key` is malformed, forged or of another customer";
    /// The key was used with another body.
    KeyReused: "idempotency-key-reused", 409, Unknown, Never, "the `Idempotency-Key` was used with another body";
    /// The key is older than its records.
    KeyExpired: "idempotency-key-expired", 409, Unknown, Never, "the `Idempotency-Key` has expired; ask the ledger whether it ran";
    /// The key was closed by an earlier refusal.
    KeyClosed: "idempotency-key-closed", 409, NotRun, NewKey, "the `Idempotency-Key` was closed without running";
    /// The same call is still running.
    InProgress: "in-progress", 409, Unknown, SameKey, "the call is still running";
    /// The process that alone may run this call cannot be reached.
    OwnerAway: "owner-away", 503, Unknown, SameKey, "the host that holds this call cannot be reached";
    /// The process that alone may run this call has ended.
    OwnerLost: "owner-lost", 503, Unknown, Never, "the host that held this call has ended; ask the ledger whether it ran";
    /// The claim could not be settled with the store.
    ClaimUnsettled: "claim-unsettled", 503, Unknown, SameKey, "the call could not be claimed now; use a ticket while the store is down";
    /// Too much work to meet the target.
    Overloaded: "overloaded", 503, NotRun, NewKey, "too much work is waiting to meet the target";
    /// No runner is known for the call.
    NoRunner: "no-runner", 503, NotRun, NewKey, "no runner can take this call now";
    /// The wait passed the deadline.
    Late: "late", 503, NotRun, NewKey, "the call could not start before its deadline";
    /// The host is stopping.
    Stopping: "stopping", 503, NotRun, NewKey, "this host is stopping";
    /// The configuration is too old to trust its keys.
    Stale: "stale-configuration", 503, NotRun, NewKey, "this host has been cut off for longer than keys may be trusted";
    /// The runner broke off.
    UpstreamBroken: "upstream-broken", 502, Unknown, Never, "the runner broke off before its answer was whole";
    /// The runner answered another request.
    UpstreamCrossed: "upstream-crossed", 502, Unknown, Never, "the runner answered for another request";
    /// The runner did not answer in time.
    UpstreamTimeout: "upstream-timeout", 504, Unknown, Never, "the runner did not answer in time";
    /// Too many connections.
    TooManyConnections: "too-many-connections", 503, NotRun, NewKey, "too many connections are open on this host";
}

plain! {
    /// A refusal as a caller sees it.
    pub struct Refusal {
        /// Why.
        pub kind: Kind,
        /// Whether it ran.
        pub ran: Ran,
        /// How to go on.
        pub repeat: Repeat,
        /// When to come back.
        pub retry_after: Option<Duration>,
        /// Whether room is kept for then.
        pub reserved: bool,
        /// Token to come back with, once the promise is signed.
        pub token: Option<String>,
        /// What exactly was wrong.
        pub detail: String,
    }
}

impl Refusal {
    /// A refusal with the table's own facts.
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

    /// Names what was wrong.
    pub fn detail(mut self, detail: impl Into<String>) -> Self {
        self.detail = detail.into();
        self
    }

    /// Tells when to come back.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// Tells when to come back, with room kept for then.
    pub fn reserve(self, after: Duration) -> Self {
        Self {
            reserved: true,
            ..self.retry_after(after)
        }
    }

    /// Leaves open whether it ran; the same key may be repeated.
    pub fn outcome_unknown(mut self) -> Self {
        self.ran = Ran::Unknown;
        self.repeat = Repeat::SameKey;
        self
    }

    /// Body of the answer.
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
            "retry_after_ms": self.retry_after.map(|span| span.as_millis() as u64),
        }})
    }
}

impl From<Kind> for Refusal {
    fn from(kind: Kind) -> Self {
        Self::new(kind)
    }
}
