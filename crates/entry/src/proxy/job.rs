//! One caller's request on its way, and what it has tried.

use std::time::Duration;

use bytes::Bytes;
use hyper::header::HOST;
use hyper::http::request;
use radishstair_core::proxy::fleet::Key;
use radishstair_core::proxy::place::Demand;
use radishstair_core::proxy::route::Mode;
use radishstair_core::proxy::{Admission, Ask};
use radishstair_core::retry::{self, Rule};
use radishstair_core::time::Moment;

use super::adapter::Metadata;

/// Runners tried without reaching one, before the caller is told so.
const UNREACHABLE: u32 = 4;

/// A caller's request, read whole and admitted.
#[derive(Debug)]
pub struct Job {
    /// Its head as it came.
    pub parts: request::Parts,
    /// What the head says.
    pub head: Metadata,
    /// Its body.
    pub body: Bytes,
    /// What the document says of it.
    pub admission: Admission,
    /// When its head was read.
    pub arrived: Moment,
    /// When the caller must have its final answer.
    pub until: Option<Moment>,
}

impl Job {
    /// Time left, if there is a limit.
    pub fn left(&self, now: Moment) -> Option<Duration> {
        self.until.map(|until| now.until(until))
    }

    /// Whether the time is over.
    pub fn is_over(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| now.reached(until))
    }

    /// Whether it may run at most once.
    pub fn once(&self) -> bool {
        !self.admission.route.mode.is_idempotent()
    }

    /// Whether the answer comes as events.
    pub fn is_stream(&self) -> bool {
        matches!(self.admission.route.mode, Mode::Stream { .. })
    }

    /// How often it may be sent.
    pub fn rule(&self) -> Rule {
        Rule {
            at_most_once: self.once(),
            max_attempts: self.admission.route.attempts,
            max_unreachable: UNREACHABLE,
        }
    }

    /// What was asked, for a second look at the document.
    pub fn ask(&self) -> Ask<'_> {
        ask(&self.parts, &self.head)
    }

    /// What it asks of its runner.
    pub fn demand(&self, draw: u64) -> Demand {
        Demand {
            service: self.admission.service.clone(),
            prompt: self.head.prompt_tokens,
            output: self
                .head
                .expected_output_tokens
                .unwrap_or(self.head.max_output_tokens)
                .min(self.head.max_output_tokens),
            parts: self.head.prompt_parts.clone(),
            bytes: self.body.len() as u64,
            copies: self.admission.copies,
            once: self.once(),
            draw,
        }
    }
}

/// What a head asks of the document.
pub fn ask<'a>(parts: &'a request::Parts, head: &'a Metadata) -> Ask<'a> {
    let host = parts.headers.get(HOST);
    Ask {
        host: host.and_then(|host| host.to_str().ok()).unwrap_or_default(),
        path: parts.uri.path(),
        key: head.key.as_deref(),
        draw: rand::random(),
    }
}

/// What one request has tried, and what the log tells of it.
#[derive(Clone, Debug, Default)]
pub struct Tries {
    /// Runners, and whether it may have run.
    pub runs: retry::History<Key>,
    /// Id of the runner that was chosen last.
    pub last: Option<String>,
    /// Runners that this one was chosen among.
    pub among: u32,
}
