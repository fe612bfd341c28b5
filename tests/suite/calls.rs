//! A call with an idempotency key runs at most once, and an answer "not run"
//! is true.
//!
//! Callers follow the answers: they repeat with the same key after "unknown,
//! same key" or no answer, with a new key only after "not run, new key", and
//! stop after "never". The checker counts runs per posting, not per key, so a
//! key that was closed although its call ran shows as a posting that ran twice.

mod postings;

use std::sync::atomic::{AtomicUsize, Ordering};

use radishstair_core::at_most_once::{Answer, Completion, Records, Verdict};
use radishstair_core::error::Kind;
use radishstair_core::id::{CallId, Incarnation};
use radishstair_core::kernel::{Event, Reply};
use radishstair_core::time::Moment;
use rand::RngExt;

use postings::Postings;

use crate::schedule::{assert_all_pass, assert_some_fail};
use crate::world::{Broken, Builder, Faults, World};

const SECOND_MS: u64 = 1_000;
const POSTINGS: usize = 24;
const CONFIGURATION: &str = r#"{ "customers": [{ "name": "coop" }] }"#;
const CUSTOMER: &str = "coop";

/// Injects a random fault: a crash, a suspension, a partition or an outage of
/// the store.
fn inject_fault(world: &mut World, now: u64) {
    let node = world.rng.random_range(0..world.nodes.len());
    match world.rng.random_range(0..8) {
        0 => {
            world.kill(node);
            world.start(node);
        }
        1 | 2 => {
            let pause_ms = world.rng.random_range(500..15 * SECOND_MS);
            world.pause(node, pause_ms);
        }
        3 => world.nodes[node].partition = (now % 3) as u32,
        4 => world.nodes.iter_mut().for_each(|node| node.partition = 0),
        5 => world.store_down = !world.store_down,
        6 => world.nodes[node].cut_store = !world.nodes[node].cut_store,
        _ => world.store_down = false,
    }
}

fn postings_under_failure(
    seed: u64,
    own_keys: bool,
    broken: Broken,
    run_count: &AtomicUsize,
) -> Result<(), String> {
    let faults = Faults {
        lose_answer: 0.15,
        ..Faults::default()
    };
    let world = Builder::new(seed)
        .faults(faults)
        .broken(broken)
        .build(CONFIGURATION);
    let mut postings = Postings::new(world, POSTINGS, own_keys);
    postings.run(3 * SECOND_MS);
    for posting in 0..POSTINGS as u64 {
        let delay_ms = postings.world.rng.random_range(0..20 * SECOND_MS);
        postings.world.set_timer(delay_ms, posting);
    }
    for second in 4..45 {
        postings.run(second * SECOND_MS);
        if second < 30 && postings.world.rng.random_bool(0.4) {
            inject_fault(&mut postings.world, second);
        }
        if second % 11 == 0 {
            postings.stop_one_host();
        }
    }
    postings.run(90 * SECOND_MS);
    run_count.fetch_add(postings.runs.len(), Ordering::Relaxed);
    postings.check()
}

/// A posting with a ticket must not run twice, although the caller repeats it
/// through any host, hosts are suspended with the bytes in a socket buffer,
/// crash or are partitioned, and load balancers deliver second copies late. Only
/// the issuer of a ticket may run it, by its own record.
#[test]
fn tickets_run_at_most_once() {
    let run_count = AtomicUsize::new(0);
    assert_all_pass(400, |seed| {
        postings_under_failure(seed, false, Broken::None, &run_count)
    });
    println!("{run_count:?} of {} postings ran", 400 * POSTINGS);
    assert!(
        run_count.into_inner() > 200 * POSTINGS,
        "most postings must run for the test to be meaningful"
    );
}

/// A posting with the caller's own key must not run twice, although several
/// hosts claim the key at once and the store loses answers to writes that took
/// effect, is down or cannot be reached. The first claim is final, and only its
/// holder may run the call.
#[test]
fn own_keys_run_at_most_once() {
    let run_count = AtomicUsize::new(0);
    assert_all_pass(400, |seed| {
        postings_under_failure(seed, true, Broken::None, &run_count)
    });
    println!("{run_count:?} of {} postings ran", 400 * POSTINGS);
    assert!(
        run_count.into_inner() > 200 * POSTINGS,
        "most postings must run for the test to be meaningful"
    );
}

/// The checker must detect doubled runs when each copy of a call is run.
#[test]
fn broken_without_claims() {
    assert_some_fail(40, |seed| {
        postings_under_failure(seed, true, Broken::Claims, &AtomicUsize::new(0))
    });
    assert_some_fail(40, |seed| {
        postings_under_failure(seed, false, Broken::Claims, &AtomicUsize::new(0))
    });
}

/// The checker must detect a false "not run" when a host refuses a call without
/// closing its key at the owner: a late copy then runs although the caller went
/// on with a new key.
#[test]
fn broken_without_closing_keys() {
    assert_some_fail(200, |seed| {
        postings_under_failure(seed, false, Broken::KeyClosing, &AtomicUsize::new(0))
    });
}

/// A ticket is refused for another customer than the one it was issued to, and
/// so is a forged ticket.
#[test]
fn tickets_cannot_be_forged_or_lent() {
    let mut world = Builder::new(1).build(CONFIGURATION);
    let call = world.call();
    let event = Event::IssueTickets {
        call,
        customer: CUSTOMER.into(),
        count: 1,
    };
    world.handle(0, event);
    let ticket = world.replies.drain(..).find_map(|replied| match replied.reply {
        Reply::Tickets(tickets) => tickets.ok()?.pop(),
        _ => None,
    });
    let ticket = ticket.expect("no ticket was issued");
    let mut forged = ticket.clone();
    let last = if forged.ends_with('0') { '1' } else { '0' };
    forged.pop();
    forged.push(last);
    for (customer, key) in [("other", &ticket), (CUSTOMER, &forged)] {
        let call = world.call();
        let event = Event::BeginCall {
            call,
            customer: customer.into(),
            idempotency_key: key.clone(),
            body_hash: 1,
        };
        world.handle(0, event);
        let replied = world.replies.pop().expect("no verdict");
        let Reply::Verdict(Verdict::Refuse(refusal)) = replied.reply else {
            panic!("`{key}` was accepted for customer {customer}");
        };
        assert_eq!(refusal.kind, Kind::BadIdempotencyKey);
    }
}

/// A call must not run again after its answer was dropped. If the caller repeats
/// its own key an hour after the call ended, the claim in the store still names
/// this process as its owner, and the process must not conclude that the call
/// never ran.
#[test]
fn a_forgotten_answer_does_not_open_its_key() {
    let mut records = Records::new(Incarnation(1), [1; 32]);
    let claim = radishstair_core::claim::digest(CUSTOMER, "own-key");
    let first = records.begin_claim(Moment::at_ms(1_000), CallId(1), claim, CUSTOMER, 7);
    let Verdict::Run(key) = first else {
        panic!("{first:?}");
    };
    records.complete(
        key,
        Completion::Ran(Answer {
            status: 200,
            body: None,
        }),
    );
    for minutes in [20, 60, 24 * 60] {
        let later = Moment::at_ms(minutes * 60 * SECOND_MS);
        let again = records.begin_claim(later, CallId(2), claim, CUSTOMER, 7);
        assert!(
            !matches!(again, Verdict::Run(_)),
            "ran again after {minutes} minutes"
        );
    }
    assert_eq!(records.counts(), (0, 0), "the record is still in memory");
}
