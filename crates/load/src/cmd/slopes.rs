//! `radishstair-load slopes`: measures how the cost of control operations grows
//! with the size of a deployment.
//!
//! Calls the core library in this process, without I/O, and prints one line per
//! measurement. The page on capacity is derived from these lines.

mod fleet;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Instant;

use anyhow::Result;
use argh::FromArgs;
use radishstair_core::at_most_once::{Answer, Completion, Records, Verdict};
use radishstair_core::config::change::{self, Entry, Op, Section};
use radishstair_core::config::view::View;
use radishstair_core::config::{Customer, Document, Key, Labels, check};
use radishstair_core::dispatch::{Dispatcher, Outcome, Policy, Submission};
use radishstair_core::id::{CallId, Incarnation};
use radishstair_core::runner::Listing;
use radishstair_core::time::Moment;
use radishstair_core::usage::{Meter, Record};

/// Measure the cost of dispatch, heartbeats and state at several sizes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub struct Args {
    /// simulated seconds of heartbeats per measurement
    #[argh(option, default = "30")]
    pub seconds: u64,
}

/// Runs the command.
///
/// # Errors
///
/// If a sample configuration does not pass the checks.
pub fn run(args: &Args) -> Result<()> {
    // Memory is measured first, before any freed memory can be reused.
    measure_memory();
    for runners in [20, 100, 400, 1_700] {
        measure_dispatch(runners, 0);
    }
    for waiting in [0, 100, 1_000, 4_000] {
        measure_dispatch(400, waiting);
    }
    for hosts in [8, 16, 32, 64] {
        fleet::simulate(args.seconds, hosts, 1, 130, 0);
    }
    for runners in [20, 100, 400, 1_700] {
        fleet::simulate(args.seconds, 8, 1, runners, 0);
    }
    for zones in [1, 4, 13] {
        fleet::simulate(args.seconds, 32, zones, 130 * zones, 0);
    }
    fleet::simulate(args.seconds, 32, 13, 1_700, 10);
    // Longer than the usage window of five minutes, so that one is collected.
    fleet::simulate(330, 32, 13, 1_700, 0);
    for customers in [10, 100, 650] {
        measure_configuration(customers)?;
    }
    measure_tickets();
    measure_usage();
    Ok(())
}

/// `count` runners of nine pools, spread over the zones.
fn sample_listings(count: usize, zones: usize) -> Vec<Listing> {
    (0..count)
        .map(|at| Listing {
            name: format!("runner-{at:04}"),
            pool: format!("pool-{}", at % 9),
            zone: format!("zone-{}", at % zones),
            address: format!("10.0.{}.{}:8000", at / 250, at % 250),
            slots: 16,
            leaving: false,
        })
        .collect()
}

/// A configuration with two tiers, and three API keys for each customer.
fn sample_document(customers: usize) -> Document {
    let tiers = r#"[{"name":"t0","priority":0,"target":"1s","patience":"10m"},{"name":"t1","priority":1,"target":"1s","patience":"10m"}]"#;
    let mut document: Document = serde_json::from_str(&format!(
        "{{\"settings\":{{\"usage_window\":\"5m\"}},\"tiers\":{tiers}}}"
    ))
    .unwrap_or_default();
    for at in 0..customers {
        let name = format!("customer-{at:04}");
        document.customers.put(Customer {
            name: name.clone(),
            labels: Labels::from([("size".to_string(), "large".to_string())]),
        });
        for key in 0..3 {
            document.keys.put(Key {
                name: format!("{name}-key-{key}"),
                hash: format!("{:064x}", at * 3 + key + 1),
                customer: name.clone(),
                labels: Labels::new(),
                withdrawn: false,
            });
        }
    }
    document
}

/// A submission for one of nine pools.
fn sample_submission(call: u64) -> Submission {
    Submission {
        call: CallId(call),
        tier: "t1".into(),
        customer: format!("customer-{:04}", call % 50),
        key: format!("customer-{:04}-key-0", call % 50),
        class: "class".into(),
        pools: vec![format!("pool-{}", call % 9)].into(),
        max_tokens: 200,
        prefix_hash: Some(call % 97),
        avoid: Vec::new(),
        reserved: false,
    }
}

/// Measures the time to submit, start and finish a call while other calls wait.
fn measure_dispatch(runners: usize, waiting: usize) {
    let mut dispatch = Dispatcher::new("zone-0", 1, Policy::Full);
    dispatch.set_view(Arc::new(View::new(1, sample_document(50))));
    dispatch.runners.set_listings(sample_listings(runners, 13));
    let mut now = Moment::at_ms(1_000_000);
    // The waiting calls are for another pool, whose only runner is full.
    let mut full_runner = sample_listings(1, 1);
    full_runner[0].pool = "full".into();
    full_runner[0].name = "full".into();
    full_runner[0].slots = 1;
    let mut listings = sample_listings(runners, 13);
    listings.append(&mut full_runner);
    dispatch.runners.set_listings(listings);
    for call in 0..=waiting as u64 {
        let mut blocked = sample_submission(10_000_000 + call);
        blocked.pools = vec!["full".to_string()].into();
        blocked.tier = "t0".into();
        if waiting > 0 {
            dispatch.submit(now, blocked);
        }
    }
    let rounds = 20_000;
    let started_at = Instant::now();
    let mut running: VecDeque<(Submission, radishstair_core::runner::Key)> = VecDeque::new();
    let mut started = 0;
    for call in 0..rounds {
        now = now + std::time::Duration::from_micros(200);
        let submission = sample_submission(call);
        for decision in dispatch.submit(now, submission.clone()) {
            if let radishstair_core::dispatch::Decision::Start(start) = decision {
                started += 1;
                running.push_back((submission.clone(), start.runner));
            }
        }
        if running.len() > 120
            && let Some((finished, runner)) = running.pop_front()
        {
            let outcome = Outcome::Completed {
                tokens: 200,
                ms_per_token: 50.0,
            };
            dispatch.finish(now, &finished, runner, &outcome);
        }
    }
    let each = started_at.elapsed().as_secs_f64() * 1e6 / rounds as f64;
    println!("decision runners={runners} waiting={waiting} started={started} us_each={each:.2}");
}

/// Usage of a completed call, of varying customers and classes.
fn sample_usage(at: u64) -> Record {
    Record {
        customer: format!("customer-{:04}", at % 650),
        class: format!("class-{}", at % 3),
        prompt_tokens: 200,
        output_tokens: 200,
        completed: true,
    }
}

/// Measures the size of a configuration document and the time to change and to parse it.
fn measure_configuration(customers: usize) -> Result<()> {
    let document = sample_document(customers);
    let text = serde_json::to_string(&document)?;
    let entry = Entry {
        version: 2,
        id: "01a2394b-708a-7645-9ef0-7f4de5dfa960".into(),
        who: "operator".into(),
        when: 0,
        note: "withdraw key customer-0001-key-1".into(),
        ops: vec![Op {
            section: Section::Keys,
            name: "customer-0001-key-1".into(),
            value: Some(serde_json::to_value(&document.keys[4])?),
        }],
    };
    let rounds = 50;
    let started_at = Instant::now();
    for _ in 0..rounds {
        let mut next = document.clone();
        change::apply(&mut next, &entry.ops)?;
        let _ = View::new(2, next);
    }
    let each = started_at.elapsed().as_secs_f64() * 1e3 / f64::from(rounds);
    let started_at = Instant::now();
    check::parse(&text)?;
    println!(
        "configuration customers={customers} document_bytes={} entry_bytes={} apply_ms={each:.3} parse_ms={:.2}",
        text.len(),
        serde_json::to_string(&entry)?.len(),
        started_at.elapsed().as_secs_f64() * 1e3
    );
    Ok(())
}

/// Measures the time to issue a ticket and to start its at-most-once call.
fn measure_tickets() {
    let mut records = Records::new(Incarnation(1), [7; 32]);
    let now = Moment::at_ms(1_000_000);
    let rounds = 40_000;
    let started_at = Instant::now();
    for call in 0..rounds {
        let Ok(tickets) = records.issue(now, "customer-0001", 1) else {
            continue;
        };
        if let Some(ticket) = radishstair_core::ticket::Ticket::parse(&tickets[0]) {
            records.begin_ticket(now, CallId(call), &ticket, "customer-0001", call);
        }
    }
    let each = started_at.elapsed().as_secs_f64() * 1e6 / rounds as f64;
    println!("ticket records={rounds} us_each={each:.2}");
}

/// Measures the time to record the usage of a call.
fn measure_usage() {
    let mut meter = Meter::new(
        Incarnation(1),
        Moment::at_ms(0),
        std::time::Duration::from_secs(60),
    );
    let rounds = 100_000;
    let started_at = Instant::now();
    for at in 0..rounds {
        meter.record(Moment::at_ms(at / 12), &sample_usage(at));
    }
    let each = started_at.elapsed().as_secs_f64() * 1e6 / rounds as f64;
    println!("count rounds={rounds} us_each={each:.2}");
}

/// Measures the resident memory of a host's state by building each part of it.
fn measure_memory() {
    let mut before = resident_kb();
    let mut print_growth = |what: &str, count: usize| {
        let now = resident_kb();
        println!("memory {what}={count} kilobytes={}", now.saturating_sub(before));
        before = now;
    };
    let now = Moment::at_ms(1_000_000);
    let mut records = Records::new(Incarnation(1), [7; 32]);
    for call in 0..20_000 {
        let Ok(tickets) = records.issue(now, "customer-0001", 1) else {
            continue;
        };
        let Some(ticket) = radishstair_core::ticket::Ticket::parse(&tickets[0]) else {
            continue;
        };
        if let Verdict::Run(key) = records.begin_ticket(now, CallId(call), &ticket, "customer-0001", call) {
            let body = Some("x".repeat(200));
            records.complete(key, Completion::Ran(Answer { status: 200, body }));
        }
    }
    print_growth("tickets_with_answers", 20_000);
    let view = View::new(1, sample_document(650));
    print_growth("customers_with_three_keys", view.document.customers.len());
    let mut dispatch = Dispatcher::new("zone-0", 1, Policy::Full);
    dispatch.runners.set_listings(sample_listings(1_700, 13));
    print_growth("runners", dispatch.runners.iter().count());
    let mut meter = Meter::new(Incarnation(1), now, std::time::Duration::from_secs(300));
    for at in 0..3_600 {
        meter.record(Moment::at_ms(1_000_000 + at * 83), &sample_usage(at));
    }
    print_growth("usage_chunks", meter.chunk_count());
}

/// Resident memory of this process in kilobytes; 0 if it cannot be read.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok())
        .unwrap_or(0)
}
