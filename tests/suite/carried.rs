//! Ids that a connection has carried.

use quickcheck::quickcheck;
use radishstair_core::carried::Ids;

quickcheck! {
    /// Guards against a request that is sent on a connection that has carried its id.
    fn an_id_that_was_sent_is_known(sent: Vec<String>, other: String) -> bool {
        let mut ids = Ids::default();
        sent.iter().for_each(|id| ids.record(id));
        sent.iter().all(|id| ids.contains(id)) && ids.contains(&other) == sent.contains(&other)
    }
}

/// Guards against a connection that is used for ever and keeps the ids of all its requests, or forgets the first ones.
#[test]
fn a_connection_is_full_before_an_id_is_forgotten() {
    let mut ids = Ids::default();
    let mut sent = 0;
    while !ids.is_full() {
        ids.record(&sent.to_string());
        sent += 1;
    }
    assert!((100..=1_000).contains(&sent), "{sent}");
    assert!((0..sent).all(|id| ids.contains(&id.to_string())));
}

/// Guards against connections that are kept although they have carried the same request as another one.
#[test]
fn a_connection_knows_the_last_request_of_another_one() {
    let carried = |sent: &[&str]| {
        let mut ids = Ids::default();
        sent.iter().for_each(|id| ids.record(id));
        ids
    };
    let one = carried(&["a", "b", "c"]);
    assert!(one.contains_last(&carried(&["x", "a"])));
    assert!(!one.contains_last(&carried(&["a", "x"])));
    assert!(!one.contains_last(&carried(&[])));
    assert!(!carried(&[]).contains_last(&one));
}
