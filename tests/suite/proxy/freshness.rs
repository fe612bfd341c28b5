//! Withdrawn keys and old documents.

use std::time::Duration;

use radishstair_core::error::{Kind, Refusal};
use radishstair_core::proxy::Ask;
use radishstair_core::proxy::route::{Limits, Mode, Route, Table};
use radishstair_core::time::Moment;

use super::build::{ask, customer, route, state, table};

const START: u64 = 100_000;

fn at(ms: u64) -> Moment {
    Moment::at_ms(START + ms)
}

/// The caller's key is withdrawn while its host is cut off from the store; its
/// request must not run. The host admits the request by its old document and
/// looks for a runner; meanwhile the cut heals and the new document arrives. The
/// proof is fresh again, but the admission is still the old document's.
#[test]
fn an_admission_does_not_outlive_its_key() {
    let mut state = state(at(0), vec![customer("ana", &["key-a"])]);
    let ask = ask("key-a");
    let admission = state.admit(at(9_000), &ask).expect("the old document admits it");
    state.configure(table(2, vec![customer("ana", &["key-b"])]));
    state.proof.renew(at(9_200));
    let refusal = state
        .may_send(at(9_250), &admission, &ask)
        .expect_err("the key is gone");
    assert_eq!(refusal.kind, Kind::UnknownKey);
}

/// A host that is cut off from the store never hears that a key was withdrawn.
/// It serves while its last proof is young, and then refuses, saying truly that
/// the request has not run.
#[test]
fn keys_are_trusted_only_while_the_proof_is_young() {
    let state = state(at(0), vec![customer("ana", &["key-a"])]);
    let ask = ask("key-a");
    let admission = state.admit(at(100), &ask).expect("admitted");
    assert!(state.may_send(at(2_900), &admission, &ask).is_ok());
    let refusal = state
        .may_send(at(3_100), &admission, &ask)
        .expect_err("the proof is old");
    assert_eq!(refusal.kind, Kind::Stale);
    assert_eq!(refusal.ran, radishstair_core::error::Execution::NotRun);
}

/// A key that was just added is not known to a host that has not read the newer
/// document yet. "Unknown key" would be final for the caller, so it is said
/// only while the document is known to be the newest.
#[test]
fn unknown_keys_are_refused_for_good_only_by_the_newest_document() {
    let state = state(at(0), vec![customer("ana", &["key-a"])]);
    let kind = |ms| {
        state
            .admit(at(ms), &ask("key-new"))
            .map_err(|refusal| refusal.kind)
    };
    assert_eq!(kind(500).err(), Some(Kind::UnknownKey));
    assert_eq!(kind(2_000).err(), Some(Kind::Stale));
}

/// Two reads overtake each other, and the older document comes last. A request
/// on a route that it lacks would be refused again.
#[test]
fn an_older_document_never_comes_back() {
    let mut state = state(at(0), vec![customer("ana", &["key-a"])]);
    assert!(state.configure(table(5, vec![customer("ana", &["key-b"])])));
    assert!(!state.configure(table(4, vec![customer("ana", &["key-a"])])));
    assert!(state.admit(at(10), &ask("key-b")).is_ok());
}

/// A process that was frozen between its read and the answer must not count the
/// proof from the answer: the document may have changed while it slept.
#[test]
fn a_proof_counts_from_before_the_question() {
    let mut state = state(at(0), vec![customer("ana", &["key-a"])]);
    state.proof.renew(at(1_000));
    state.proof.renew(at(500));
    assert_eq!(state.proof.age(at(4_000)), Some(Duration::from_secs(3)));
    assert!(!state.is_fresh(at(4_000)));
}

/// The store turns one host away. By its peers' proof it can serve, but it is one
/// failure from refusing everybody: it tells the balancer and its callers to go
/// elsewhere, and serves those who come. Where no host has a proof, there is no
/// better place, and nobody is sent about.
#[test]
fn a_host_without_its_own_way_to_the_store_hands_its_callers_over() {
    let mut state = state(at(0), vec![customer("ana", &["key-a"])]);
    state.fleet.list(at(0), Vec::new());
    state.store_answered.renew(at(0));
    assert!(state.is_ready(at(2_000)) && !state.hands_over(at(2_000)));
    state.proof.renew(at(2_600));
    assert!(!state.is_ready(at(2_700)) && state.hands_over(at(2_700)));
    assert!(state.admit(at(2_700), &ask("key-a")).is_ok(), "it refuses nobody");
    assert!(!state.hands_over(at(6_000)), "its peers have no proof either");
    state.store_answered.renew(at(6_100));
    state.proof.renew(at(6_100));
    assert!(state.is_ready(at(6_200)) && !state.hands_over(at(6_200)));
}

/// Guards against requests without a key that go where a change, known but not read, forbids.
#[test]
fn an_old_document_is_not_served_for_long_once_a_newer_one_is_known() {
    let mut state = state(at(0), vec![customer("ana", &["key-a"])]);
    let public = Route {
        public: true,
        ..route("open", "/open/", Mode::Repeatable, "ledger")
    };
    let customers = Some(vec![customer("ana", &["key-a"])]);
    state.configure(Table::new(
        2,
        2,
        vec![public],
        Vec::new(),
        customers,
        Limits::default(),
    ));
    let open = Ask {
        key: None,
        path: "/open/1",
        ..ask("key-a")
    };
    let admission = state.admit(at(9_000), &open).expect("no key, no proof");
    assert!(
        state.may_send(at(9_000), &admission, &open).is_ok(),
        "the store is away"
    );
    state.proof.renew(at(9_000));
    state.is_behind = true;
    assert!(
        state.may_send(at(10_900), &admission, &open).is_ok(),
        "there is time yet"
    );
    let refused = |result: Result<(), Refusal>| result.map_err(|refusal| refusal.kind);
    let kind = refused(state.may_send(at(11_100), &admission, &open));
    assert_eq!(kind, Err(Kind::Stale));
    assert!(state.admit(at(11_100), &open).is_err());
}
