//! What the checkers of the live tests say when a safeguard is missing.

use std::time::Duration;

use nix::sys::signal::Signal;
use radishstair_core::id::digest;
use radishstair_load::http::Caller;
use radishstair_standin::model;
use serde_json::json;

use crate::process::{get, site};

/// Without the router an engine that breaks off leaves its caller with a part:
/// the comparison with what the prompt must give sees it.
#[test]
fn broken_answers_without_the_router() {
    let site = site().start();
    let engine = site.addresses.engines[0];
    site.fault(&[engine], &json!({ "cut_at": 5, "cuts": 1 }));
    let answer = site.caller().chat(engine, "chat", &site.chat("cut me", 40));
    assert_ne!(answer.text, model::answer(digest(b"cut me len=40"), 40));
}

/// A caller that goes to an engine by itself shows it its key: the engine's
/// record of it, which the test of keys reads, says so.
#[test]
fn broken_keys_without_the_router() {
    let site = site().start();
    let engine = site.addresses.engines[0];
    Caller::new("rsk-coop").chat(engine, "chat", &site.chat("key", 3));
    assert_eq!(get(engine, "/control/log")["saw_key"], true);
}

/// A host that is killed instead of told to stop cuts its streams, and the
/// callers' answers show it.
#[test]
fn broken_stop_by_a_kill() {
    let site = site().start();
    let caller = site.caller();
    let answers = std::thread::scope(|scope| {
        let site = &site;
        let streams: Vec<_> = (0..4)
            .map(|at| {
                let caller = caller.clone();
                scope
                    .spawn(move || caller.chat(site.entry(0), "chat", &site.chat(&format!("kill {at}"), 300)))
            })
            .collect();
        std::thread::sleep(Duration::from_millis(400));
        site.signal(0, Signal::SIGKILL);
        let join = |stream: std::thread::ScopedJoinHandle<'_, _>| stream.join().expect("the stream ends");
        streams
            .into_iter()
            .map(join)
            .collect::<Vec<radishstair_load::http::Response>>()
    });
    assert!(answers.iter().all(|answer| !answer.done), "{answers:?}");
}
