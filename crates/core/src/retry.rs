//! Whether a request may be sent to another runner.
//!
//! Both request paths call this after each attempt without an answer. Once a byte of a
//! request may have been sent, only the runner's own statement shows that it did not run:
//! after a reset, a closed connection or a timeout it may have. A request that may run at
//! most once is not retried then, as another send could post an entry twice.

use crate::error::{Execution, Refusal};

plain! {
    /// How an attempt at one runner ended without an answer.
    #[derive(Copy, Eq)]
    pub enum Fault {
        /// No byte of the request was sent.
        Unreachable,
        /// The runner states that it has not run the request.
        NotRun,
        /// Another runner answered at the address, and has not run the request.
        OtherRunner,
        /// The request may have run.
        MayHaveRun,
    }
}

plain! {
    /// Limits on the attempts of a request.
    #[derive(Copy, Eq)]
    pub struct Rule {
        /// Whether the request may run at most once.
        pub at_most_once: bool,
        /// Maximum runners that it is sent to.
        pub max_attempts: u32,
        /// Number of unreachable runners after which it is refused.
        pub max_unreachable: u32,
    }
}

plain! {
    /// Why a request is not sent to another runner.
    #[derive(Copy, Eq)]
    pub enum Denial {
        /// It may have run, and may run at most once.
        MayHaveRun,
        /// The deadline of the caller or the route has passed.
        TimedOut,
        /// It was sent to the maximum number of runners.
        AttemptsExhausted,
        /// The retry budget is exhausted.
        BudgetExhausted,
        /// The chosen runners could not be reached.
        Unreachable,
    }
}

impl Denial {
    /// Name in log lines.
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

/// The attempts of one request; `K` identifies a runner.
#[derive(Clone, Debug)]
pub struct History<K> {
    tried: Vec<K>,
    sends: u32,
    unreachable: u32,
    /// Whether an attempt was sent whose outcome is not known yet.
    is_sent: bool,
    may_have_run: bool,
}

impl<K> Default for History<K> {
    fn default() -> Self {
        Self {
            tried: Vec::new(),
            sends: 0,
            unreachable: 0,
            is_sent: false,
            may_have_run: false,
        }
    }
}

impl<K> History<K> {
    /// Records that a runner was chosen.
    pub fn record_choice(&mut self, runner: K) {
        self.tried.push(runner);
    }

    /// Records that bytes of the request may be sent from now on.
    pub fn record_send(&mut self) {
        self.sends += 1;
        self.is_sent = true;
    }

    /// Records that an attempt ended without an answer; returns why the request is not
    /// retried, or `None` if it may be.
    ///
    /// `take_budget` takes one retry from the budget. It is called last, as a retry that was
    /// taken is not given back.
    pub fn record_failure(
        &mut self,
        rule: &Rule,
        fault: Fault,
        timed_out: bool,
        take_budget: impl FnOnce() -> bool,
    ) -> Option<Denial> {
        self.is_sent = false;
        match fault {
            Fault::Unreachable => {
                self.unreachable += 1;
                return (self.unreachable >= rule.max_unreachable).then_some(Denial::Unreachable);
            }
            Fault::NotRun => {}
            Fault::OtherRunner => {
                // The chosen runner has not received the request, so this is no attempt. It still
                // takes budget, as the other runner has received it.
                self.sends = self.sends.saturating_sub(1);
                self.unreachable += 1;
                if self.unreachable >= rule.max_unreachable {
                    return Some(Denial::Unreachable);
                }
            }
            Fault::MayHaveRun => self.may_have_run = true,
        }
        self.denial(rule, timed_out, take_budget)
    }

    /// Why the request may not be sent to another runner now; `None` if it may.
    ///
    /// `has_budget` is called last.
    pub fn denial(&self, rule: &Rule, timed_out: bool, has_budget: impl FnOnce() -> bool) -> Option<Denial> {
        if self.may_have_run && rule.at_most_once {
            return Some(Denial::MayHaveRun);
        }
        if timed_out {
            return Some(Denial::TimedOut);
        }
        if self.sends >= rule.max_attempts {
            return Some(Denial::AttemptsExhausted);
        }
        (!has_budget()).then_some(Denial::BudgetExhausted)
    }

    /// Reverts [`Self::record_send`], as no byte was sent.
    pub fn revert_send(&mut self) {
        self.sends -= 1;
        self.is_sent = false;
    }

    /// Records that a runner runs the request, or may be running it as the deadline passes.
    pub fn record_run(&mut self) {
        self.may_have_run = true;
    }

    /// Changes a refusal to an unknown outcome if an earlier attempt may have run, also if
    /// the refusal itself is that no runner is available.
    pub fn adjust_refusal(&self, refusal: Refusal) -> Refusal {
        match self.may_have_run {
            true => Refusal {
                ran: Execution::Unknown,
                ..refusal
            },
            false => refusal,
        }
    }

    /// Runners that were chosen, in order.
    pub fn tried(&self) -> &[K] {
        &self.tried
    }

    /// Number of runners that the request was sent to.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Whether the request may have run, or may run now.
    pub fn may_have_begun(&self) -> bool {
        self.may_have_run || self.is_sent
    }

    /// Whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }
}
