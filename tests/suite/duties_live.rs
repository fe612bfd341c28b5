//! Duties and usage with the real programs, and callers' answers as a history.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use radishstair_core::config::change::{Op, Section};
use radishstair_core::id::digest;
use radishstair_load::http::{Caller, Response};
use radishstair_standin::model;
use serde_json::json;

use crate::process::{Site, site};

/// Which host holds a duty.
fn holder(site: &Site, duty: &str) -> Option<usize> {
    (0..4).find(|at| {
        let duties = site.status(*at).map_or(Vec::new(), |status| status.duties);
        duties.iter().any(|(have, _)| have == duty)
    })
}

/// The host in charge of orders is frozen past its lease. Another takes over
/// with a higher fencing number; the first wakes, finds its time gone and
/// sends nothing. The upstream here ignores fencing numbers.
#[test]
fn a_frozen_holder_wakes_without_its_duty() {
    freeze_the_holder(&[]);
}

/// The same before an upstream that refuses old fencing numbers: it never has
/// to, as the former holder sends nothing.
#[test]
fn a_frozen_holder_before_an_upstream_that_checks() {
    freeze_the_holder(&["engines"]);
}

fn freeze_the_holder(fenced: &[&str]) {
    let checked = fenced.iter().map(ToString::to_string).collect();
    let site = site().plan(|plan| plan.fenced = checked).start();
    site.wait("somebody is in charge", |site| holder(site, "orders").is_some());
    let first = holder(&site, "orders").expect("a holder");
    site.freeze(first);
    site.wait("another takes over", |site| {
        let others = (0..4).filter(|at| *at != first);
        let duties = |at: usize| site.status(at).map_or(Vec::new(), |status| status.duties);
        others
            .into_iter()
            .any(|at| duties(at).iter().any(|(duty, _)| duty == "orders"))
    });
    site.signal(first, Signal::SIGCONT);
    site.change(|document| {
        let mut pool = document.pools.get("engines").expect("the pool").clone();
        pool.least = 3;
        vec![Op {
            section: Section::Pools,
            name: "engines".into(),
            value: serde_json::to_value(pool).ok(),
        }]
    });
    let orders = |site: &Site| {
        site.platform_log()["orders"]
            .as_array()
            .cloned()
            .unwrap_or_default()
    };
    site.wait("the new target is ordered", |site| {
        orders(site).iter().any(|order| order[0]["count"] == 3)
    });
    std::thread::sleep(Duration::from_secs(3));
    let fences: Vec<u64> = orders(&site)
        .iter()
        .filter_map(|order| order[0]["fence"].as_u64())
        .collect();
    assert!(fences.is_sorted(), "{fences:?}");
    let accepted = |order: &serde_json::Value| order[1] == true;
    assert!(orders(&site).iter().all(accepted), "an order was refused as old");
    assert!(
        fences.last() > fences.first(),
        "no order came from the successor: {fences:?}"
    );
}

fn reports(site: &Site) -> Vec<serde_json::Value> {
    site.platform_log()["reports"]
        .as_array()
        .cloned()
        .unwrap_or_default()
}

/// Calls of a customer by the reports; a window that came twice counts once.
fn reported(site: &Site, customer: &str) -> u64 {
    let mut windows = reports(site);
    windows.sort_by_key(|report| report["number"].as_u64());
    windows.dedup_by_key(|report| report["number"].as_u64());
    let lines = windows
        .iter()
        .flat_map(|report| report["lines"].as_array().into_iter().flatten());
    let of = lines.filter(|line| line["customer"] == customer);
    of.filter_map(|line| line["calls"].as_u64()).sum()
}

/// The reporter is killed while usage is counted. Its successor reports what
/// was sealed with the same figures, and what others counted exactly once.
#[test]
fn a_killed_reporter_is_followed_by_the_same_figures() {
    let mut site = site().start();
    site.wait("somebody reports", |site| holder(site, "usage").is_some());
    let first = holder(&site, "usage").expect("a holder");
    let others: Vec<usize> = (0..4).filter(|at| *at != first).collect();
    let caller = site.caller();
    let mut sent = 0;
    for round in 0..30 {
        let entry = others[round % others.len()];
        sent += u64::from(
            caller
                .chat(
                    site.entry(entry),
                    "chat",
                    &site.chat(&format!("count {round}"), 3),
                )
                .done,
        );
        if round == 15 {
            site.restart(first);
        }
    }
    site.wait("everything is reported", |site| reported(site, "coop") >= sent);
    assert_eq!(reported(&site, "coop"), sent);
    let reports = reports(&site);
    for report in &reports {
        let same = |other: &&serde_json::Value| other["window"] == report["window"];
        assert!(
            reports
                .iter()
                .filter(same)
                .all(|other| other["lines"] == report["lines"])
        );
    }
}

/// Longest time for which a refused caller comes back: a call may wait for its tier's patience
/// of twenty seconds before it is refused, and is to have a second chance.
const COMES_BACK: Duration = Duration::from_secs(45);

/// Makes a chat; while the answer is that it has not run, again at the time told.
fn chat_until_taken(caller: &Caller, entry: SocketAddr, body: &serde_json::Value) -> Response {
    let until = Instant::now() + COMES_BACK;
    let mut caller = caller.clone();
    loop {
        let answer = caller.chat(entry, "chat", body);
        let after = answer.body["error"]["retry_after_ms"].as_u64();
        let again = after.map(|ms| Instant::now() + Duration::from_millis(ms));
        let Some(again) = again.filter(|again| answer.ran() == "not-run" && *again < until) else {
            return answer;
        };
        if let Some(token) = &answer.retry_token {
            caller = caller.with_retry_token(token);
        }
        std::thread::sleep(again.saturating_duration_since(Instant::now()));
    }
}

/// Two customers call at once through every host while engines break streams,
/// cross answers and slow down, and one host is killed and comes back. Every
/// answer that looks whole is the caller's own and complete; whatever else came
/// has an error. What was counted is counted under the right customer. On a slow
/// machine a host refuses what would be late, and one that has just started refuses
/// until it knows the configuration; those callers come back when they were told to.
#[test]
fn concurrent_callers_get_their_own_answers() {
    let mut site = site().start();
    site.fault(
        &site.addresses.engines,
        &json!({ "cut_at": 4, "cuts": 6, "cross": 4 }),
    );
    let history: Vec<(&str, String, u32, Response)> = std::thread::scope(|scope| {
        let site = &mut site;
        let addresses = site.addresses.entries.clone();
        let tasks: Vec<_> = (0..60_u32)
            .map(|at| {
                let key = if at % 3 == 0 { "rsk-other" } else { "rsk-coop" };
                let entry = addresses[at as usize % addresses.len()];
                let tokens = 5 + at % 20;
                let body = site.chat(&format!("mine {key} {at}"), tokens);
                scope.spawn(move || {
                    std::thread::sleep(Duration::from_millis(u64::from(at) * 15));
                    let prompt = body["messages"][0]["content"]
                        .as_str()
                        .unwrap_or_default()
                        .to_string();
                    let answer = chat_until_taken(&Caller::new(key), entry, &body);
                    (key, prompt, tokens, answer)
                })
            })
            .collect();
        std::thread::sleep(Duration::from_millis(400));
        site.restart(3);
        tasks
            .into_iter()
            .map(|task| task.join().expect("a caller ends"))
            .collect()
    });
    let mut whole = 0;
    for (key, prompt, tokens, answer) in &history {
        let expected = model::answer(digest(prompt.as_bytes()), *tokens);
        if answer.done {
            whole += 1;
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
        "refused whenever they came back, of the others: {others:?}"
    );
    assert!(
        whole >= 40,
        "{whole} of 60 answers were whole, the others: {others:?}"
    );
    let of = |key: &str| {
        history
            .iter()
            .filter(|(have, .., answer)| *have == key && answer.done)
            .count() as u64
    };
    let (coop, other) = (of("rsk-coop"), of("rsk-other"));
    // What the killed host had counted in its last seconds may be lost.
    let lost = 15;
    site.wait("usage is reported", |site| {
        reported(site, "coop") + lost >= coop && reported(site, "other") + lost >= other
    });
    assert!(
        reported(&site, "coop") <= coop && reported(&site, "other") <= other,
        "counted under the wrong customer"
    );
}
