//! A posting or offer runs at most once, and "not run" is true.
//!
//! Callers keep to the rules: the same key again after "unknown, same key" or
//! no answer, a new key only after "not run, new key", nothing more after
//! "never". The checker counts runs per posting, not per key, so a key that
//! was closed untruly shows as a doubled posting.

mod postings;

use std::sync::atomic::{AtomicUsize, Ordering};

use radishstair_core::at_most_once::{Answer, Completion, Records, Verdict};
use radishstair_core::error::Kind;
use radishstair_core::id::{Call, Incarnation};
use radishstair_core::kernel::{Event, Reply};
use radishstair_core::time::Moment;
use rand::RngExt;

use postings::Postings;

use crate::schedule::{assert_all_pass, assert_some_fail};
use crate::world::{Broken, Builder, Faults, World};

const SECOND: u64 = 1_000;
const POSTINGS: usize = 24;
const CONFIGURATION: &str = r#"{ "customers": [{ "name": "coop" }] }"#;
const CUSTOMER: &str = "coop";

/// Kills, freezes, cuts and outages at random times.
fn misfortunes(world: &mut World, now: u64) {
    let at = world.rng.random_range(0..world.nodes.len());
    match world.rng.random_range(0..8) {
        0 => {
            world.kill(at);
            world.start(at);
        }
        1 | 2 => {
            let span = world.rng.random_range(500..15 * SECOND);
            world.pause(at, span);
        }
        3 => world.nodes[at].partition = (now % 3) as u32,
        4 => world.nodes.iter_mut().for_each(|node| node.partition = 0),
        5 => world.store_down = !world.store_down,
        6 => world.nodes[at].cut_store = !world.nodes[at].cut_store,
        _ => world.store_down = false,
    }
}

fn postings_under_failure(
    seed: u64,
    own_keys: bool,
    broken: Broken,
    ran: &AtomicUsize,
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
    postings.run(3 * SECOND);
    for posting in 0..POSTINGS as u64 {
        let after = postings.world.rng.random_range(0..20 * SECOND);
        postings.world.set_timer(after, posting);
    }
    for second in 4..45 {
        postings.run(second * SECOND);
        if second < 30 && postings.world.rng.random_bool(0.4) {
            misfortunes(&mut postings.world, second);
        }
        if second % 11 == 0 {
            postings.leave();
        }
    }
    postings.run(90 * SECOND);
    ran.fetch_add(postings.runs.len(), Ordering::Relaxed);
    postings.check()
}

/// The caller repeats a posting by its ticket through any host. Hosts freeze
/// with the bytes in a socket buffer, die, are cut off; balancers deliver
/// second copies late. Only the issuer runs a ticket, and it keeps the record.
#[test]
fn tickets_run_at_most_once() {
    let ran = AtomicUsize::new(0);
    assert_all_pass(400, |seed| {
        postings_under_failure(seed, false, Broken::None, &ran)
    });
    println!("{ran:?} of {} postings ran", 400 * POSTINGS);
    assert!(
        ran.into_inner() > 200 * POSTINGS,
        "most postings must run, or nothing was tried"
    );
}

/// The caller chose its own key. Claims race through several hosts while the
/// store loses answers after the write took effect, is down, or is cut off.
/// The first claim stands for ever, and its holder alone runs the call.
#[test]
fn own_keys_run_at_most_once() {
    let ran = AtomicUsize::new(0);
    assert_all_pass(400, |seed| postings_under_failure(seed, true, Broken::None, &ran));
    println!("{ran:?} of {} postings ran", 400 * POSTINGS);
    assert!(
        ran.into_inner() > 200 * POSTINGS,
        "most postings must run, or nothing was tried"
    );
}

/// The checker must see doubled runs when every copy of a call is run.
#[test]
fn broken_without_claims() {
    assert_some_fail(40, |seed| {
        postings_under_failure(seed, true, Broken::Claims, &AtomicUsize::new(0))
    });
    assert_some_fail(40, |seed| {
        postings_under_failure(seed, false, Broken::Claims, &AtomicUsize::new(0))
    });
}

/// The checker must see an untrue "not run" when a host refuses by itself and
/// leaves the key open: a copy that comes late runs after the caller went on
/// with a new key.
#[test]
fn broken_without_closing_keys() {
    assert_some_fail(200, |seed| {
        postings_under_failure(seed, false, Broken::KeyClosing, &AtomicUsize::new(0))
    });
}

/// A caller asks for nothing but random bytes as keys of other customers:
/// a ticket of one customer is refused for another, and a forged one too.
#[test]
fn tickets_cannot_be_forged_or_lent() {
    let mut world = Builder::new(1).build(CONFIGURATION);
    let call = world.call();
    let event = Event::Issue {
        call,
        customer: CUSTOMER.into(),
        count: 1,
    };
    world.handle(0, event);
    let ticket = world.replies.drain(..).find_map(|replied| match replied.reply {
        Reply::Tickets(tickets) => tickets.ok()?.pop(),
        _ => None,
    });
    let ticket = ticket.expect("a ticket is issued");
    let mut forged = ticket.clone();
    let last = if forged.ends_with('0') { '1' } else { '0' };
    forged.pop();
    forged.push(last);
    for (customer, key) in [("other", &ticket), (CUSTOMER, &forged)] {
        let call = world.call();
        let event = Event::Begin {
            call,
            customer: customer.into(),
            once: key.clone(),
            body: 1,
        };
        world.handle(0, event);
        let replied = world.replies.pop().expect("a verdict");
        let Reply::Verdict(Verdict::Refuse(refusal)) = replied.reply else {
            panic!("`{key}` was taken for customer {customer}");
        };
        assert_eq!(refusal.kind, Kind::BadIdempotencyKey);
    }
}

/// A caller repeats its own key an hour after the call ended, when the answer
/// is no longer kept. The claim still stands in the store under this process,
/// which must not take it for one that never ran.
#[test]
fn a_forgotten_answer_does_not_open_its_key() {
    let mut records = Records::new(Incarnation(1), [1; 32]);
    let claim = radishstair_core::claim::digest(CUSTOMER, "own-key");
    let first = records.begin_claim(Moment::at_ms(1_000), Call(1), claim, CUSTOMER, 7);
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
        let later = Moment::at_ms(minutes * 60 * SECOND);
        let again = records.begin_claim(later, Call(2), claim, CUSTOMER, 7);
        assert!(
            !matches!(again, Verdict::Run(_)),
            "ran again after {minutes} minutes"
        );
    }
    assert_eq!(records.counts(), (0, 0), "the record itself is gone");
}
