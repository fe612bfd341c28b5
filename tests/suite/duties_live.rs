//! Tests of duties, usage reports and concurrent callers with the real programs.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use radishstair_core::config::change::{Op, Section};
use radishstair_core::id::digest;
use radishstair_load::http::{Caller, Response};
use radishstair_standin::model;
use serde_json::json;

use crate::process::{Cluster, cluster};

/// Index of the host that holds a duty.
fn find_holder(cluster: &Cluster, duty: &str) -> Option<usize> {
    (0..4).find(|index| {
        let duties = cluster.status(*index).map_or(Vec::new(), |status| status.duties);
        duties.iter().any(|(name, _)| name == duty)
    })
}

/// The host that holds the order duty is suspended until its lease has expired,
/// and another host takes over with a higher fencing number. When the first one
/// resumes, it must not send orders, even to a platform that ignores fencing
/// numbers.
#[test]
fn a_frozen_holder_wakes_without_its_duty() {
    suspend_duty_holder(&[]);
}

/// The same with a platform that refuses old fencing numbers. It must not have to
/// refuse any, as the former holder sends no orders.
#[test]
fn a_frozen_holder_before_an_upstream_that_checks() {
    suspend_duty_holder(&["engines"]);
}

fn suspend_duty_holder(fenced: &[&str]) {
    let checks_fence = fenced.iter().map(ToString::to_string).collect();
    let cluster = cluster().plan(|plan| plan.fenced = checks_fence).start();
    cluster.wait_until("a host holds the order duty", |cluster| {
        find_holder(cluster, "orders").is_some()
    });
    let first_holder = find_holder(&cluster, "orders").expect("a holder");
    cluster.freeze(first_holder);
    cluster.wait_until("another host takes over", |cluster| {
        let others = (0..4).filter(|index| *index != first_holder);
        let duties = |index: usize| cluster.status(index).map_or(Vec::new(), |status| status.duties);
        others
            .into_iter()
            .any(|index| duties(index).iter().any(|(duty, _)| duty == "orders"))
    });
    cluster.send_signal(first_holder, Signal::SIGCONT);
    cluster.change_configuration(|document| {
        let mut pool = document.pools.get("engines").expect("the pool").clone();
        pool.least = 3;
        vec![Op {
            section: Section::Pools,
            name: "engines".into(),
            value: serde_json::to_value(pool).ok(),
        }]
    });
    let logged_orders = |cluster: &Cluster| {
        cluster.platform_log()["orders"]
            .as_array()
            .cloned()
            .unwrap_or_default()
    };
    cluster.wait_until("the new count is ordered", |cluster| {
        logged_orders(cluster).iter().any(|order| order[0]["count"] == 3)
    });
    std::thread::sleep(Duration::from_secs(3));
    let fences: Vec<u64> = logged_orders(&cluster)
        .iter()
        .filter_map(|order| order[0]["fence"].as_u64())
        .collect();
    assert!(fences.is_sorted(), "{fences:?}");
    let is_accepted = |order: &serde_json::Value| order[1] == true;
    assert!(
        logged_orders(&cluster).iter().all(is_accepted),
        "an order with an old fencing number was refused"
    );
    assert!(
        fences.last() > fences.first(),
        "no order came from the successor: {fences:?}"
    );
}

fn usage_reports(cluster: &Cluster) -> Vec<serde_json::Value> {
    cluster.platform_log()["reports"]
        .as_array()
        .cloned()
        .unwrap_or_default()
}

/// Calls of a customer in the usage reports; a window reported twice counts once.
fn reported_calls(cluster: &Cluster, customer: &str) -> u64 {
    let mut windows = usage_reports(cluster);
    windows.sort_by_key(|report| report["number"].as_u64());
    windows.dedup_by_key(|report| report["number"].as_u64());
    let lines = windows
        .iter()
        .flat_map(|report| report["lines"].as_array().into_iter().flatten());
    let customer_lines = lines.filter(|line| line["customer"] == customer);
    customer_lines.filter_map(|line| line["calls"].as_u64()).sum()
}

/// The host that reports usage is killed while calls are counted. Its successor
/// must report a sealed window with the same figures, and each call that the
/// other hosts counted exactly once.
#[test]
fn a_killed_reporter_is_followed_by_the_same_figures() {
    let mut cluster = cluster().start();
    cluster.wait_until("a host holds the usage duty", |cluster| {
        find_holder(cluster, "usage").is_some()
    });
    let first_holder = find_holder(&cluster, "usage").expect("a holder");
    let others: Vec<usize> = (0..4).filter(|index| *index != first_holder).collect();
    let caller = cluster.caller();
    let mut sent = 0;
    for round in 0..30 {
        let entry = others[round % others.len()];
        sent += u64::from(
            caller
                .chat(
                    cluster.entry_address(entry),
                    "chat",
                    &cluster.chat_body(&format!("count {round}"), 3),
                )
                .done,
        );
        if round == 15 {
            cluster.restart(first_holder);
        }
    }
    cluster.wait_until("all calls are reported", |cluster| {
        reported_calls(cluster, "coop") >= sent
    });
    assert_eq!(reported_calls(&cluster, "coop"), sent);
    let usage_reports = usage_reports(&cluster);
    for report in &usage_reports {
        let same_window = |other: &&serde_json::Value| other["window"] == report["window"];
        assert!(
            usage_reports
                .iter()
                .filter(same_window)
                .all(|other| other["lines"] == report["lines"])
        );
    }
}

/// Longest time for which a refused caller retries: a call may wait for the patience of its
/// tier, 20 s, before it is refused, and should have time for a second attempt.
const MAX_RETRY_TIME: Duration = Duration::from_secs(45);

/// Sends a chat completion, and retries it at the given time while the answer says that it
/// has not run.
fn chat_with_retries(caller: &Caller, entry: SocketAddr, body: &serde_json::Value) -> Response {
    let deadline = Instant::now() + MAX_RETRY_TIME;
    let mut caller = caller.clone();
    loop {
        let answer = caller.chat(entry, "chat", body);
        let retry_after_ms = answer.body["error"]["retry_after_ms"].as_u64();
        let retry_at = retry_after_ms.map(|ms| Instant::now() + Duration::from_millis(ms));
        let Some(retry_at) = retry_at.filter(|retry_at| answer.ran() == "not-run" && *retry_at < deadline)
        else {
            return answer;
        };
        if let Some(token) = &answer.retry_token {
            caller = caller.with_retry_token(token);
        }
        std::thread::sleep(retry_at.saturating_duration_since(Instant::now()));
    }
}

/// Two customers call at once through every host while engines truncate streams
/// and answer with other requests' ids, and one host is killed and restarted. Every
/// complete answer must be the caller's own, every other one must have an error,
/// and usage must be counted for the right customer. On a slow machine a host refuses
/// requests that would be late, and a restarted host refuses requests until it has a
/// configuration; those callers retry at the given time.
#[test]
fn concurrent_callers_get_their_own_answers() {
    let mut cluster = cluster().start();
    cluster.inject_fault(
        &cluster.addresses.engines,
        &json!({ "cut_at": 4, "cuts": 6, "cross": 4 }),
    );
    let history: Vec<(&str, String, u32, Response)> = std::thread::scope(|scope| {
        let cluster = &mut cluster;
        let addresses = cluster.addresses.entries.clone();
        let tasks: Vec<_> = (0..60_u32)
            .map(|index| {
                let key = if index % 3 == 0 { "rsk-other" } else { "rsk-coop" };
                let entry = addresses[index as usize % addresses.len()];
                let tokens = 5 + index % 20;
                let body = cluster.chat_body(&format!("mine {key} {index}"), tokens);
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_millis(u64::from(index) * 15));
                    let prompt = body["messages"][0]["content"]
                        .as_str()
                        .unwrap_or_default()
                        .to_string();
                    let answer = chat_with_retries(&Caller::new(key), entry, &body);
                    (key, prompt, tokens, answer)
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(400));
        cluster.restart(3);
        tasks
            .into_iter()
            .map(|task| task.join().expect("a caller ends"))
            .collect()
    });
    let mut complete = 0;
    for (key, prompt, tokens, answer) in &history {
        let expected = model::completion(digest(prompt.as_bytes()), *tokens);
        if answer.done {
            complete += 1;
            assert_eq!(answer.text, expected, "{key}: {prompt}");
        } else {
            assert!(expected.starts_with(&answer.text), "{key}: {prompt}: {answer:?}");
            assert!(
                answer.status == 0 || answer.status == 200 || !answer.kind().is_empty(),
                "{answer:?}"
            );
        }
    }
    let others = history
        .iter()
        .map(|(.., answer)| answer)
        .filter(|answer| !answer.done);
    let others: Vec<(u16, &str)> = others.map(|answer| (answer.status, answer.kind())).collect();
    let refused = others.iter().filter(|(status, _)| *status == 503).count();
    assert_eq!(
        refused, 0,
        "requests were refused at each retry; incomplete answers: {others:?}"
    );
    assert!(
        complete >= 40,
        "{complete} of 60 answers were complete; the others: {others:?}"
    );
    let complete_answers = |key: &str| {
        history
            .iter()
            .filter(|(caller_key, .., answer)| *caller_key == key && answer.done)
            .count() as u64
    };
    let (coop, other) = (complete_answers("rsk-coop"), complete_answers("rsk-other"));
    // Calls that the killed host counted in its last seconds may be lost.
    let max_lost = 15;
    cluster.wait_until("usage is reported", |cluster| {
        reported_calls(cluster, "coop") + max_lost >= coop
            && reported_calls(cluster, "other") + max_lost >= other
    });
    assert!(
        reported_calls(&cluster, "coop") <= coop && reported_calls(&cluster, "other") <= other,
        "counted under the wrong customer"
    );
}
