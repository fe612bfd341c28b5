//! Whether a request may go to one more runner.
//!
//! Both fronts ask here after each attempt that brought no answer. Once a byte of a
//! request may have left, only the runner's own statement says that it did not run:
//! after a reset, a closed connection or silence it may have. A request that runs at
//! most once ends there; one more send could post an entry twice.

use crate::error::{Ran, Refusal};

plain! {
    /// How an attempt at one runner ended without an answer.
    #[derive(Copy, Eq)]
    pub enum Fault {
        /// No byte of the request has left.
        Unreachable,
        /// The runner states that it has not run it.
        NotRun,
        /// It may have run.
        MayHaveRun,
    }
}

plain! {
    /// What a request allows.
    #[derive(Copy, Eq)]
    pub struct Rule {
        /// Whether it may run at most once.
        pub at_most_once: bool,
        /// Runners that it may be sent to.
        pub max_attempts: u32,
        /// Runners that may turn out unreachable before its caller is told so.
        pub max_unreachable: u32,
    }
}

plain! {
    /// Why no further runner gets a request.
    #[derive(Copy, Eq)]
    pub enum Denial {
        /// It may have run, and runs at most once.
        MayHaveRun,
        /// The caller's or the route's time is over.
        TimedOut,
        /// It was sent to as many runners as it may be.
        AttemptsExhausted,
        /// The budget of repeats is spent.
        BudgetExhausted,
        /// None of the runners that were chosen could be reached.
        Unreachable,
    }
}

impl Denial {
    /// Name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Denial::MayHaveRun => "may-have-run",
            Denial::TimedOut => "time-over",
            Denial::AttemptsExhausted => "attempts-spent",
            Denial::BudgetExhausted => "budget-spent",
            Denial::Unreachable => "unreachable",
        }
    }
}

/// What one request has tried; `K` names a runner.
#[derive(Clone, Debug)]
pub struct History<K> {
    tried: Vec<K>,
    sends: u32,
    unreachable: u32,
    may_have_run: bool,
}

impl<K> Default for History<K> {
    fn default() -> Self {
        Self {
            tried: Vec::new(),
            sends: 0,
            unreachable: 0,
            may_have_run: false,
        }
    }
}

impl<K> History<K> {
    /// A runner was chosen.
    pub fn record_choice(&mut self, runner: K) {
        self.tried.push(runner);
    }

    /// Bytes of the request may leave from now on.
    pub fn record_send(&mut self) {
        self.sends += 1;
    }

    /// The attempt ended without an answer; why no further runner gets the request,
    /// if that is so.
    ///
    /// `over` tells whether its time is over; `budget` takes a repeat from the budget
    /// and is asked last, as what it gives is spent.
    pub fn record_failure(
        &mut self,
        rule: &Rule,
        fault: Fault,
        over: bool,
        budget: impl FnOnce() -> bool,
    ) -> Option<Denial> {
        match fault {
            Fault::Unreachable => {
                self.unreachable += 1;
                return (self.unreachable >= rule.max_unreachable).then_some(Denial::Unreachable);
            }
            Fault::NotRun => {}
            Fault::MayHaveRun => self.may_have_run = true,
        }
        if self.may_have_run && rule.at_most_once {
            return Some(Denial::MayHaveRun);
        }
        if over {
            return Some(Denial::TimedOut);
        }
        if self.sends >= rule.max_attempts {
            return Some(Denial::AttemptsExhausted);
        }
        (!budget()).then_some(Denial::BudgetExhausted)
    }

    /// What was sent has not left after all.
    pub fn revert_send(&mut self) {
        self.sends -= 1;
    }

    /// The time is over while a runner may be at work.
    pub fn record_timeout(&mut self) {
        self.may_have_run = true;
    }

    /// A refusal that says "not run" only if that is so: an earlier attempt may have
    /// run, also where no further runner is to be had.
    pub fn adjust_refusal(&self, refusal: Refusal) -> Refusal {
        match self.may_have_run {
            true => Refusal {
                ran: Ran::Unknown,
                ..refusal
            },
            false => refusal,
        }
    }

    /// Runners that were chosen.
    pub fn tried(&self) -> &[K] {
        &self.tried
    }

    /// Runners that it was sent to.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether it may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}
