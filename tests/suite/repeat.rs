//! Whether a request may be sent to another runner, without sockets.

use quickcheck::{TestResult, quickcheck};
use radishstair_core::error::{Execution, Kind, Refusal};
use radishstair_core::retry::{Denial, Fault, History, Rule};

const POSTING: Rule = Rule {
    at_most_once: true,
    max_attempts: 3,
    max_unreachable: 4,
};
const LOOK_UP: Rule = Rule {
    at_most_once: false,
    ..POSTING
};

/// A posting whose runner broke off may have run, so it is not sent to another runner whatever the
/// retry budget is. Otherwise it could be in the ledger twice.
#[test]
fn what_may_have_run_once_is_not_sent_again() {
    let mut history = History::<u32>::default();
    history.record_send();
    let untouched = || panic!("no retry may be taken from the budget");
    assert_eq!(
        history.record_failure(&POSTING, Fault::MayHaveRun, false, untouched),
        Some(Denial::MayHaveRun)
    );
}

/// If a runner states that it has not run a request, the request goes to the next runner, up to the
/// maximum number of attempts; the caller is refused only then.
#[test]
fn what_has_not_run_goes_on_up_to_the_attempts() {
    let mut history = History::<u32>::default();
    let mut denials = Vec::new();
    for _ in 0..3 {
        history.record_send();
        denials.push(history.record_failure(&POSTING, Fault::NotRun, false, || true));
    }
    assert_eq!(denials, [None, None, Some(Denial::AttemptsExhausted)]);
    assert!(!history.may_have_run());
}

/// Guards against refusing a request that may be sent once, because its runner has been replaced.
/// Each answer of another runner takes budget, and their number is limited.
#[test]
fn another_runner_at_the_address_is_no_attempt() {
    let once = Rule {
        max_attempts: 1,
        ..POSTING
    };
    let mut history = History::<u32>::default();
    let mut taken = 0;
    let mut denials = Vec::new();
    for _ in 0..4 {
        history.record_send();
        denials.push(history.record_failure(&once, Fault::OtherRunner, false, || {
            taken += 1;
            true
        }));
    }
    assert_eq!(denials, [None, None, None, Some(Denial::Unreachable)]);
    assert_eq!(taken, 3);
    assert!(!history.may_have_run());
}

/// An unreachable runner costs neither retry budget nor an attempt, and after four of them the
/// request is refused. Otherwise a zone that is cut off would exhaust the shared budget with
/// requests that were never sent.
#[test]
fn unreachable_runners_spend_nothing() {
    let mut history = History::<u32>::default();
    let untouched = || panic!("nothing was sent");
    for _ in 0..3 {
        assert_eq!(
            history.record_failure(&LOOK_UP, Fault::Unreachable, true, untouched),
            None
        );
    }
    assert_eq!(
        history.record_failure(&LOOK_UP, Fault::Unreachable, true, untouched),
        Some(Denial::Unreachable)
    );
    assert_eq!((history.sends(), history.may_have_run()), (0, false));
}

/// A look-up is not retried after its deadline or without retry budget, to prevent a retry storm.
#[test]
fn repeats_need_time_and_budget() {
    let mut history = History::<u32>::default();
    history.record_send();
    let fail = |history: &mut History<u32>, timed_out, budget: bool| {
        history.record_failure(&LOOK_UP, Fault::MayHaveRun, timed_out, || budget)
    };
    assert_eq!(fail(&mut history, true, true), Some(Denial::TimedOut));
    assert_eq!(fail(&mut history, false, false), Some(Denial::BudgetExhausted));
    assert_eq!(fail(&mut history, false, true), None);
}

/// If the first runner broke off and no second one is available, the refusal must state an unknown
/// outcome. After "not run" the caller would post again although the first posting may exist.
#[test]
fn a_refusal_after_a_run_leaves_it_open() {
    let mut history = History::<u32>::default();
    let no_runner = || Refusal::new(Kind::NoRunner);
    assert_eq!(history.adjust_refusal(no_runner()).ran, Execution::NotRun);
    history.record_send();
    history.record_failure(&LOOK_UP, Fault::MayHaveRun, false, || true);
    assert_eq!(history.adjust_refusal(no_runner()).ran, Execution::Unknown);
}

quickcheck! {
    /// For any sequence of faults, an at-most-once request is not sent again after it may have run,
    /// and no request is sent more often than allowed.
    fn no_order_of_faults_breaks_a_rule(faults: Vec<u8>, once: bool, attempts: u8) -> TestResult {
        let rule = Rule { at_most_once: once, max_attempts: u32::from(attempts % 4) + 1, max_unreachable: 4 };
        let mut history = History::<usize>::default();
        for (at, fault) in faults.iter().enumerate() {
            if (once && history.may_have_run()) || history.sends() >= rule.max_attempts {
                return TestResult::failed();
            }
            history.record_choice(at);
            let fault = match fault % 4 {
                0 => Fault::Unreachable,
                1 => Fault::NotRun,
                2 => Fault::OtherRunner,
                _ => Fault::MayHaveRun,
            };
            if fault != Fault::Unreachable {
                history.record_send();
            }
            if history.record_failure(&rule, fault, false, || true).is_some() {
                break;
            }
        }
        TestResult::passed()
    }
}

/// Guards against a promise that a request has not run while a runner may be working on it.
#[test]
fn what_is_sent_may_have_begun_until_its_runner_says_otherwise() {
    let mut history = History::<u32>::default();
    assert!(!history.may_have_begun());
    history.record_send();
    assert!(history.may_have_begun() && !history.may_have_run());
    history.record_failure(&POSTING, Fault::NotRun, false, || true);
    assert!(!history.may_have_begun());
    history.record_send();
    history.revert_send();
    assert!(!history.may_have_begun());
    history.record_send();
    history.record_failure(&POSTING, Fault::MayHaveRun, false, || true);
    assert!(history.may_have_begun());
}
