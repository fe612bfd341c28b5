//! Tests of withdrawn keys and outdated documents.

use std::time::Duration;

use radishstair_core::error::{Kind, Refusal};
use radishstair_core::proxy::route::{Limits, Mode, Route, Table};
use radishstair_core::proxy::{RequestHead, State};
use radishstair_core::time::Moment;

use super::fixtures::{bounds, customer, request, route, state, table};

const START: u64 = 100_000;

fn at(ms: u64) -> Moment {
    Moment::at_ms(START + ms)
}

/// Guards against running a request whose key was withdrawn while the host was cut off from the
/// store. The old document admits the request; before it is sent, the new document arrives. The
/// document is fresh again, but the admission is based on the old one.
#[test]
fn an_admission_does_not_outlive_its_key() {
    let mut state = state(at(0), vec![customer("ana", &["key-a"])]);
    let request = request("key-a");
    let admission = state
        .admit(at(9_000), &request)
        .expect("the old document admits it");
    state.configure(Moment::default(), table(2, vec![customer("ana", &["key-b"])]));
    state.freshness.renew(at(9_200));
    let refusal = state
        .may_send(at(9_250), &admission, &request)
        .expect_err("the key was withdrawn");
    assert_eq!(refusal.kind, Kind::UnknownKey);
}

/// A host that is cut off from the store does not learn that a key was withdrawn. It accepts keys
/// while its last confirmation is recent and then refuses requests, with an answer that says that
/// they did not run.
#[test]
fn keys_are_trusted_only_while_the_proof_is_young() {
    let state = state(at(0), vec![customer("ana", &["key-a"])]);
    let request = request("key-a");
    let admission = state.admit(at(100), &request).expect("admitted");
    assert!(state.may_send(at(2_900), &admission, &request).is_ok());
    let refusal = state
        .may_send(at(3_100), &admission, &request)
        .expect_err("the confirmation is too old");
    assert_eq!(refusal.kind, Kind::Stale);
    assert_eq!(refusal.ran, radishstair_core::error::Execution::NotRun);
}

/// A host that has not read the newest document does not have a key that was just added. "Unknown
/// key" would be final for the caller, so it is returned only while the document is confirmed to
/// be current.
#[test]
fn unknown_keys_are_refused_for_good_only_by_the_newest_document() {
    let state = state(at(0), vec![customer("ana", &["key-a"])]);
    let kind = |ms| {
        state
            .admit(at(ms), &request("key-new"))
            .map_err(|refusal| refusal.kind)
    };
    assert_eq!(kind(500).err(), Some(Kind::UnknownKey));
    assert_eq!(kind(2_000).err(), Some(Kind::Stale));
}

/// Guards against an older document replacing a newer one when two reads complete out of order.
/// Requests on routes or with keys that it lacks would be refused again.
#[test]
fn an_older_document_never_comes_back() {
    let mut state = state(at(0), vec![customer("ana", &["key-a"])]);
    assert!(state.configure(Moment::default(), table(5, vec![customer("ana", &["key-b"])])));
    assert!(!state.configure(Moment::default(), table(4, vec![customer("ana", &["key-a"])])));
    assert!(state.admit(at(10), &request("key-b")).is_ok());
}

/// Guards against counting the confirmation from the arrival of the answer: the document may have
/// changed while the process was frozen between the request and the answer.
#[test]
fn a_proof_counts_from_before_the_question() {
    let mut state = state(at(0), vec![customer("ana", &["key-a"])]);
    state.freshness.renew(at(1_000));
    state.freshness.renew(at(500));
    assert_eq!(state.freshness.age(at(4_000)), Some(Duration::from_secs(3)));
    assert!(!state.is_fresh(at(4_000)));
}

/// A host that the store refuses can still serve requests by its peers' confirmations, but one
/// more failure would make it refuse every caller. It reports not ready and hands off its
/// callers, but serves those that come. If no host has a confirmation, there is no better host to
/// send them to.
#[test]
fn a_host_without_its_own_way_to_the_store_hands_its_callers_over() {
    let mut state = state(at(0), vec![customer("ana", &["key-a"])]);
    state.fleet.update(at(0), Vec::new());
    state.store_contact.renew(at(0));
    assert!(state.is_ready(at(2_000)) && !state.should_hand_off(at(2_000)));
    state.freshness.renew(at(2_600));
    assert!(!state.is_ready(at(2_700)) && state.should_hand_off(at(2_700)));
    assert!(
        state.admit(at(2_700), &request("key-a")).is_ok(),
        "requests are still served"
    );
    assert!(
        !state.should_hand_off(at(6_000)),
        "its peers have no confirmation either"
    );
    state.store_contact.renew(at(6_100));
    state.freshness.renew(at(6_100));
    assert!(state.is_ready(at(6_200)) && !state.should_hand_off(at(6_200)));
}

/// Guards against requests without a key being routed by a document that is known to be outdated.
#[test]
fn an_old_document_is_not_served_for_long_once_a_newer_one_is_known() {
    let mut state = state(at(0), vec![customer("ana", &["key-a"])]);
    let public = Route {
        public: true,
        ..route("open", "/open/", Mode::Repeatable, "ledger")
    };
    let customers = Some(vec![customer("ana", &["key-a"])]);
    state.configure(
        Moment::default(),
        Table::new(2, 2, vec![public], Vec::new(), customers, Limits::default()),
    );
    let open = RequestHead {
        key: None,
        path: "/open/1",
        ..request("key-a")
    };
    let admission = state.admit(at(9_000), &open).expect("no key is needed");
    assert!(
        state.may_send(at(9_000), &admission, &open).is_ok(),
        "the store is away"
    );
    state.freshness.renew(at(9_000));
    state.is_behind = true;
    assert!(
        state.may_send(at(10_900), &admission, &open).is_ok(),
        "within the bound"
    );
    let refused = |result: Result<(), Refusal>| result.map_err(|refusal| refusal.kind);
    let kind = refused(state.may_send(at(11_100), &admission, &open));
    assert_eq!(kind, Err(Kind::Stale));
    assert!(state.admit(at(11_100), &open).is_err());
}

/// Guards against refusing a request that waited for the start: it needs the document confirmed,
/// which happens a moment after the document is in force.
#[test]
fn a_host_has_started_once_its_document_is_confirmed() {
    let now = Moment::at_ms(100_000);
    let mut state = State::new(bounds(), "zone-a");
    assert!(!state.has_started(now));
    state.configure(Moment::default(), table(1, Vec::new()));
    state.update_runners(now, now, Vec::new());
    assert!(!state.has_started(now));
    state.freshness.renew(now);
    assert!(state.has_started(now));
}
