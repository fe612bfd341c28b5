//! Checks that the live tests detect a fault when a safeguard is missing.

use std::time::Duration;

use nix::sys::signal::Signal;
use radishstair_core::id::digest;
use radishstair_load::http::Caller;
use radishstair_standin::model;
use serde_json::json;

use crate::process::{cluster, get};

/// Without the router, a caller gets a truncated answer from an engine that
/// fails. The comparison with the expected answer must detect it.
#[test]
fn broken_answers_without_the_router() {
    let cluster = cluster().start();
    let engine = cluster.addresses.engines[0];
    cluster.inject_fault(&[engine], &json!({ "cut_at": 5, "cuts": 1 }));
    let answer = cluster
        .caller()
        .chat(engine, "chat", &cluster.chat_body("cut me", 40));
    assert_ne!(answer.text, model::completion(digest(b"cut me len=40"), 40));
}

/// A caller that sends a request directly to an engine reveals its key. The log
/// of the engine, which the test of keys reads, must show it.
#[test]
fn broken_keys_without_the_router() {
    let cluster = cluster().start();
    let engine = cluster.addresses.engines[0];
    Caller::new("rsk-coop").chat(engine, "chat", &cluster.chat_body("key", 3));
    assert_eq!(get(engine, "/control/log")["saw_key"], true);
}

/// A host that is killed instead of stopped gracefully truncates its streams,
/// and the callers' answers must show it.
#[test]
fn broken_stop_by_a_kill() {
    let cluster = cluster().start();
    let caller = cluster.caller();
    let answers = std::thread::scope(|scope| {
        let cluster = &cluster;
        let streams: Vec<_> = (0..4)
            .map(|index| {
                let caller = caller.clone();
                scope.spawn(move || {
                    caller.chat(
                        cluster.entry_address(0),
                        "chat",
                        &cluster.chat_body(&format!("kill {index}"), 300),
                    )
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(400));
        cluster.send_signal(0, Signal::SIGKILL);
        let join = |stream: std::thread::ScopedJoinHandle<'_, _>| stream.join().expect("the stream ends");
        streams
            .into_iter()
            .map(join)
            .collect::<Vec<radishstair_load::http::Response>>()
    });
    assert!(answers.iter().all(|answer| !answer.done), "{answers:?}");
}
