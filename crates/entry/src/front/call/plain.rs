//! A plain call's way over runners.

use std::time::Duration;

use radishstair_core::dispatch::Assignment;
use radishstair_core::error::{Kind, Refusal, Repeat};
use radishstair_core::retry::{Fault, History, Rule};
use radishstair_core::runner;

use super::{Answered, Caller, Job};
use crate::upstream::Failure;
use crate::upstream::attempts::{AttemptError, Attempts};

/// Runners tried for a call that may be repeated, or that was refused.
const TRIES: u32 = 4;
/// When to come back after no runner could be reached: by then the list of runners has
/// lost those that are gone.
const NO_RUNNER: Duration = Duration::from_secs(2);

/// A call that goes from runner to runner until one answers it whole.
pub(super) struct Plain<'a> {
    caller: &'a Caller,
    job: &'a Job,
    rule: Rule,
    /// What it has tried.
    pub tries: History<runner::Key>,
    /// How the last attempt ended.
    last: Refusal,
}

impl<'a> Plain<'a> {
    /// A call that has tried nothing yet; `once` if it may run at most once.
    pub fn new(caller: &'a Caller, job: &'a Job, once: bool) -> Self {
        let rule = Rule {
            at_most_once: once,
            max_attempts: TRIES,
            max_unreachable: TRIES,
        };
        Self {
            caller,
            job,
            rule,
            tries: History::default(),
            last: Kind::NoRunner.into(),
        }
    }
}

impl Attempts for Plain<'_> {
    type Permit = Assignment;
    type Answer = Answered;
    type Error = Refusal;

    async fn acquire(&mut self) -> Result<Assignment, Refusal> {
        let start = self.caller.seek(self.job, self.tries.tried()).await;
        let start = start.map_err(|refusal| self.tries.adjust_refusal(refusal))?;
        self.tries.record_choice(start.runner);
        Ok(start)
    }

    async fn attempt(&mut self, start: Assignment) -> Result<Answered, AttemptError<Refusal>> {
        self.tries.record_send();
        let answered = self.caller.run(self.job, &start, self.rule.at_most_once).await;
        answered.map_err(|(failure, refusal)| {
            self.last = refusal;
            if failure == Failure::NotSent {
                self.tries.revert_send();
                self.last.retry_after = Some(NO_RUNNER);
            }
            AttemptError::Failed(failure.into())
        })
    }

    fn record_failure(&mut self, fault: Fault) -> Option<Refusal> {
        let bar = self.tries.record_failure(&self.rule, fault, false, || true)?;
        tracing::info!(
            event = "not-repeated",
            class = self.job.route.class,
            reason = bar.name()
        );
        Some(match self.rule.at_most_once {
            true => self.last.clone(),
            // Idempotent: whatever reached a runner may be repeated.
            false => Refusal {
                repeat: Repeat::NewKey,
                ..self.last.clone()
            },
        })
    }
}
