//! Attempts to run a plain call at one runner after the other.

use std::time::Duration;

use radishstair_core::dispatch::Assignment;
use radishstair_core::error::{Kind, Refusal, Repeat};
use radishstair_core::retry::{Fault, History, Rule};
use radishstair_core::runner;

use super::{Job, RunnerResponse, Service};
use crate::upstream::Failure;
use crate::upstream::attempts::{AttemptError, Attempts};

/// Runners tried for one call; an at-most-once call only goes to another one
/// if the last one did not run it.
const MAX_ATTEMPTS: u32 = 4;
/// Retry time for the caller if no runner could be reached: by then the runner list no
/// longer contains those that ended.
const NO_RUNNER_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A plain call that is tried at several runners until one gives a complete answer.
pub(super) struct CallAttempts<'a> {
    service: &'a Service,
    job: &'a Job,
    rule: Rule,
    /// Attempts so far.
    pub history: History<runner::Key>,
    /// Refusal of the last attempt.
    last_refusal: Refusal,
}

impl<'a> CallAttempts<'a> {
    /// Starts without any attempt; `once` if the call must run at most once.
    pub fn new(service: &'a Service, job: &'a Job, once: bool) -> Self {
        let rule = Rule {
            at_most_once: once,
            max_attempts: MAX_ATTEMPTS,
            max_unreachable: MAX_ATTEMPTS,
        };
        Self {
            service,
            job,
            rule,
            history: History::default(),
            last_refusal: Kind::NoRunner.into(),
        }
    }
}

impl Attempts for CallAttempts<'_> {
    type Permit = Assignment;
    type Answer = RunnerResponse;
    type Error = Refusal;

    async fn acquire(&mut self) -> Result<Assignment, Refusal> {
        let assignment = self.service.acquire_runner(self.job, self.history.tried()).await;
        let assignment = assignment.map_err(|refusal| self.history.adjust_refusal(refusal))?;
        self.history.record_choice(assignment.runner);
        Ok(assignment)
    }

    async fn attempt(&mut self, assignment: Assignment) -> Result<RunnerResponse, AttemptError<Refusal>> {
        self.history.record_send();
        let result = self
            .service
            .run(self.job, &assignment, self.rule.at_most_once)
            .await;
        result.map_err(|(failure, refusal)| {
            self.last_refusal = refusal;
            if failure == Failure::NotSent {
                self.history.revert_send();
                self.last_refusal.retry_after = Some(NO_RUNNER_RETRY_AFTER);
            }
            AttemptError::Failed(failure.into())
        })
    }

    fn record_failure(&mut self, fault: Fault) -> Option<Refusal> {
        let denial = self.history.record_failure(&self.rule, fault, false, || true)?;
        tracing::info!(
            event = "not-repeated",
            class = self.job.route.class,
            reason = denial.name()
        );
        Some(match self.rule.at_most_once {
            true => self.last_refusal.clone(),
            // Repeatable calls are idempotent, so the caller may retry in any case.
            false => Refusal {
                repeat: Repeat::NewKey,
                ..self.last_refusal.clone()
            },
        })
    }
}
