//! Whether a request may go to one more runner, decided without sockets.

use quickcheck::{TestResult, quickcheck};
use radishstair_core::error::{Kind, Ran, Refusal};
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

/// A posting stands in the ledger twice. Its runner broke off, so that it may have run,
/// and another runner got it: never, whatever budget is left.
#[test]
fn what_may_have_run_once_is_not_sent_again() {
    let mut tries = History::<u32>::default();
    tries.record_send();
    let untouched = || panic!("the budget is asked for nothing");
    assert_eq!(
        tries.record_failure(&POSTING, Fault::MayHaveRun, false, untouched),
        Some(Denial::MayHaveRun)
    );
}

/// A caller is told "not run" by a runner that is full and gets an answer from the next
/// one; what was refused by as many runners as the route allows ends there.
#[test]
fn what_has_not_run_goes_on_up_to_the_attempts() {
    let mut tries = History::<u32>::default();
    let mut ends = Vec::new();
    for _ in 0..3 {
        tries.record_send();
        ends.push(tries.record_failure(&POSTING, Fault::NotRun, false, || true));
    }
    assert_eq!(ends, [None, None, Some(Denial::AttemptsExhausted)]);
    assert!(!tries.may_have_run());
}

/// A zone is cut off, and the shared budget of repeats is spent on requests that never
/// left this host. A runner that cannot be reached costs neither budget nor attempt, and
/// four of them in a row end the search.
#[test]
fn unreachable_runners_spend_nothing() {
    let mut tries = History::<u32>::default();
    let untouched = || panic!("nothing was sent");
    for _ in 0..3 {
        assert_eq!(
            tries.record_failure(&LOOK_UP, Fault::Unreachable, true, untouched),
            None
        );
    }
    assert_eq!(
        tries.record_failure(&LOOK_UP, Fault::Unreachable, true, untouched),
        Some(Denial::Unreachable)
    );
    assert_eq!((tries.sends(), tries.may_have_run()), (0, false));
}

/// A look-up is sent on after its caller's time, or without budget: a retry storm.
#[test]
fn repeats_need_time_and_budget() {
    let mut tries = History::<u32>::default();
    tries.record_send();
    let fail = |tries: &mut History<u32>, over, budget: bool| {
        tries.record_failure(&LOOK_UP, Fault::MayHaveRun, over, || budget)
    };
    assert_eq!(fail(&mut tries, true, true), Some(Denial::TimedOut));
    assert_eq!(fail(&mut tries, false, false), Some(Denial::BudgetExhausted));
    assert_eq!(fail(&mut tries, false, true), None);
}

/// A caller is told "not run" and posts again, while its first posting stands. Its first
/// runner broke off, and no second one is to be had: the refusal must leave it open.
#[test]
fn a_refusal_after_a_run_leaves_it_open() {
    let mut tries = History::<u32>::default();
    let none = || Refusal::new(Kind::NoRunner);
    assert_eq!(tries.adjust_refusal(none()).ran, Ran::NotRun);
    tries.record_send();
    tries.record_failure(&LOOK_UP, Fault::MayHaveRun, false, || true);
    assert_eq!(tries.adjust_refusal(none()).ran, Ran::Unknown);
}

quickcheck! {
    /// Whatever happens in whatever order: a request that runs at most once is not sent
    /// again after it may have run, and none is sent more often than allowed.
    fn no_order_of_faults_breaks_a_rule(faults: Vec<u8>, once: bool, attempts: u8) -> TestResult {
        let rule = Rule { at_most_once: once, max_attempts: u32::from(attempts % 4) + 1, max_unreachable: 4 };
        let mut tries = History::<usize>::default();
        for (at, fault) in faults.iter().enumerate() {
            if (once && tries.may_have_run()) || tries.sends() >= rule.max_attempts {
                return TestResult::failed();
            }
            tries.record_choice(at);
            let fault = match fault % 3 {
                0 => Fault::Unreachable,
                1 => Fault::NotRun,
                _ => Fault::MayHaveRun,
            };
            if fault != Fault::Unreachable {
                tries.record_send();
            }
            if tries.record_failure(&rule, fault, false, || true).is_some() {
                break;
            }
        }
        TestResult::passed()
    }
}
