//! `radishstair-load smoke`: sends requests of each kind to a deployment and
//! checks every outcome, including refusals and the reported usage.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use argh::FromArgs;
use serde_json::{Value, json};

use crate::deploy::Addresses;
use crate::http::{Caller, Response};

/// Number of concurrent streams per class.
const CONCURRENT_STREAMS: usize = 8;
/// Maximum time to wait until all usage is reported.
const MAX_USAGE_WAIT: Duration = Duration::from_secs(40);

/// Send requests of each class through different hosts and check every outcome.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "smoke")]
pub struct Args {
    /// file of addresses, as written by `deploy`
    #[argh(positional)]
    pub addresses: PathBuf,
    /// file of requests (JSON)
    #[argh(positional)]
    pub requests: PathBuf,
    /// API key of the customer
    #[argh(option)]
    pub key: String,
}

/// Requests to send.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Requests {
    customer: String,
    model: String,
    generate: Vec<String>,
    prompt: String,
    repeatable: Call,
    once: Call,
}

/// A plain call.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Call {
    class: String,
    path: String,
    body: Value,
}

/// State of a smoke test.
struct Smoke {
    addresses: Addresses,
    requests: Requests,
    caller: Caller,
    failures: usize,
}

/// Runs the command.
///
/// # Errors
///
/// If a file cannot be read, a control request fails, or any outcome is wrong.
pub fn run(args: &Args) -> Result<()> {
    let mut smoke = Smoke {
        addresses: radishstair_wire::settings::load(&args.addresses)?,
        requests: radishstair_wire::settings::load(&args.requests)?,
        caller: Caller::new(&args.key),
        failures: 0,
    };
    smoke.check_generate();
    smoke.check_repeatable();
    smoke.check_once()?;
    smoke.check_refusals();
    smoke.check_usage()?;
    ensure!(smoke.failures == 0, "{} outcomes were wrong", smoke.failures);
    println!("all outcomes were right");
    Ok(())
}

impl Smoke {
    fn entry(&self, at: usize) -> SocketAddr {
        self.addresses.entries[at % self.addresses.entries.len()]
    }

    fn report(&mut self, label: &str, response: &Response, passed: bool) {
        self.failures += usize::from(!passed);
        println!(
            "{} {label} status={} runner={} tokens={} first={:.1}ms total={:.1}ms {}",
            if passed { "ok   " } else { "WRONG" },
            response.status,
            if response.runner.is_empty() {
                "-"
            } else {
                &response.runner
            },
            response.tokens,
            response.first_token.as_secs_f64() * 1e3,
            response.total.as_secs_f64() * 1e3,
            response.kind(),
        );
    }

    fn chat(&self, at: usize, stream: bool) -> Value {
        json!({
            "model": self.requests.model,
            "stream": stream,
            "messages": [{ "role": "user", "content": format!("{} [{at}] len={}", self.requests.prompt, 20 + at) }],
        })
    }

    fn check_generate(&mut self) {
        for class in self.requests.generate.clone() {
            let streams: Vec<Response> = std::thread::scope(|scope| {
                let tasks: Vec<_> = (0..CONCURRENT_STREAMS)
                    .map(|at| {
                        let (caller, entry) = (self.caller.clone(), self.entry(at));
                        let (class, body) = (class.clone(), self.chat(at, true));
                        scope.spawn(move || caller.chat(entry, &class, &body))
                    })
                    .collect();
                tasks
                    .into_iter()
                    .map(|task| task.join().unwrap_or_default())
                    .collect()
            });
            for (at, response) in streams.iter().enumerate() {
                let passed = response.status == 200 && response.done && response.tokens as usize == 20 + at;
                self.report(&format!("stream class={class}"), response, passed);
            }
            let response = self.caller.chat(self.entry(1), &class, &self.chat(3, false));
            let passed = response.status == 200 && response.text == streams[3].text;
            self.report(&format!("whole class={class}"), &response, passed);
        }
    }

    fn check_repeatable(&mut self) {
        let call = self.requests.repeatable.clone();
        for at in 0..self.addresses.entries.len() {
            let response = self.caller.call(self.entry(at), &call.path, &call.body, None);
            let passed = response.status == 200 && response.body["echo"] == call.body;
            self.report(&format!("call class={}", call.class), &response, passed);
        }
    }

    fn check_once(&mut self) -> Result<()> {
        let call = self.requests.once.clone();
        let hosts = self.addresses.entries.len();
        let ticket = self
            .caller
            .tickets(self.entry(0), 1)?
            .pop()
            .context("the entry host issued no ticket")?;
        let own_key = format!("smoke-{}", uuid::Uuid::now_v7());
        for (label, key) in [("ticket", &ticket), ("own-key", &own_key)] {
            let first = self
                .caller
                .call(self.entry(hosts - 1), &call.path, &call.body, Some(key));
            let passed = first.status == 200 && first.body["echo"] == call.body;
            self.report(&format!("once class={} by={label}", call.class), &first, passed);
            for at in 0..hosts {
                let repeated = self
                    .caller
                    .call(self.entry(at), &call.path, &call.body, Some(key));
                let passed = repeated.status == 200 && repeated.body["entry"] == first.body["entry"];
                self.report(
                    &format!("again class={} by={label}", call.class),
                    &repeated,
                    passed,
                );
            }
        }
        let runs = self.count_runs(&call)?;
        println!(
            "{} runs path={} count={runs}",
            if runs == 2 { "ok   " } else { "WRONG" },
            call.path
        );
        self.failures += usize::from(runs != 2);
        Ok(())
    }

    /// Number of times that the plain services ran a call.
    fn count_runs(&self, call: &Call) -> Result<usize> {
        let mut runs = 0;
        for address in &self.addresses.plain {
            let log: Value = get(*address, "/control/log")?;
            let entries = log["runs"].as_array().cloned().unwrap_or_default();
            runs += entries
                .iter()
                .filter(|run| run["path"] == call.path.as_str())
                .count();
        }
        Ok(runs)
    }

    fn check_refusals(&mut self) {
        let class = self.requests.generate[0].clone();
        let call = self.requests.once.clone();
        let entry = self.entry(0);
        let unknown = Caller::new("rsk-unknown");
        let cases = [
            (
                "wrong-key",
                unknown.chat(entry, &class, &self.chat(0, true)),
                "unknown-key",
            ),
            (
                "no-key",
                Caller::new("").chat(entry, &class, &self.chat(0, true)),
                "missing-key",
            ),
            (
                "malformed",
                self.caller
                    .post_raw(entry, "/v1/chat/completions", "{\"model\": "),
                "bad-request",
            ),
            (
                "no-idempotency-key",
                self.caller.call(entry, &call.path, &call.body, None),
                "missing-idempotency-key",
            ),
            (
                "no-class",
                self.caller.chat(entry, "no-such-class", &self.chat(0, true)),
                "unknown-class",
            ),
            (
                "no-path",
                self.caller.call(entry, "/no/such/path", &call.body, None),
                "not-found",
            ),
        ];
        for (label, response, kind) in cases {
            let passed = response.kind() == kind && response.ran() == "not-run";
            self.report(&format!("refusal case={label}"), &response, passed);
        }
    }

    /// Waits until the platform has received the usage of all calls that ran, and checks it.
    fn check_usage(&mut self) -> Result<()> {
        let deadline = Instant::now() + MAX_USAGE_WAIT;
        let expected =
            (CONCURRENT_STREAMS + 1) * self.requests.generate.len() + self.addresses.entries.len() + 2;
        loop {
            let log: Value = post(self.addresses.platform[0], "/control/log")?;
            let lines: Vec<Value> = log["reports"]
                .as_array()
                .into_iter()
                .flatten()
                .flat_map(|report| report["lines"].as_array().cloned().unwrap_or_default())
                .collect();
            let calls: u64 = lines.iter().filter_map(|line| line["calls"].as_u64()).sum();
            if calls as usize >= expected || Instant::now() >= deadline {
                lines.iter().for_each(|line| println!("usage {line}"));
                let passed = calls as usize == expected
                    && lines
                        .iter()
                        .all(|line| line["customer"] == self.requests.customer.as_str());
                println!(
                    "{} usage calls={calls} sent={expected}",
                    if passed { "ok   " } else { "WRONG" }
                );
                self.failures += usize::from(!passed);
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(500));
        }
    }
}

fn get(address: SocketAddr, path: &str) -> Result<Value> {
    let mut response = ureq::get(format!("http://{address}{path}"))
        .call()
        .with_context(|| format!("reading {path}"))?;
    Ok(serde_json::from_slice(&response.body_mut().read_to_vec()?)?)
}

fn post(address: SocketAddr, path: &str) -> Result<Value> {
    let mut response = ureq::post(format!("http://{address}{path}"))
        .send("{}")
        .with_context(|| format!("posting to {path}"))?;
    if response.status() != 200 {
        bail!("{path} returned status {}", response.status());
    }
    Ok(serde_json::from_slice(&response.body_mut().read_to_vec()?)?)
}
