//! `radishstair-load smoke`: one request of each kind, every outcome checked.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail, ensure};
use argh::FromArgs;
use serde_json::{Value, json};

use crate::deploy::Addresses;
use crate::http::{Caller, Response};

/// Streams that run at once.
const STREAMS: usize = 8;
/// Longest wait for usage to be reported.
const USAGE: Duration = Duration::from_secs(40);

/// Send requests of each class through different hosts and check every outcome.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "smoke")]
pub struct Args {
    /// addresses, as `deploy` writes them
    #[argh(positional)]
    pub addresses: PathBuf,
    /// what to send (JSON)
    #[argh(positional)]
    pub requests: PathBuf,
    /// a key of the customer
    #[argh(option)]
    pub key: String,
}

/// What to send.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Requests {
    customer: String,
    model: String,
    generate: Vec<String>,
    prompt: String,
    repeatable: Plain,
    once: Plain,
}

#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Plain {
    class: String,
    path: String,
    body: Value,
}

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
/// When any outcome was wrong.
pub fn run(args: &Args) -> Result<()> {
    let mut smoke = Smoke {
        addresses: radishstair_wire::settings::load(&args.addresses)?,
        requests: radishstair_wire::settings::load(&args.requests)?,
        caller: Caller::new(&args.key),
        failures: 0,
    };
    smoke.generate();
    smoke.repeatable();
    smoke.once()?;
    smoke.refusals();
    smoke.usage()?;
    ensure!(smoke.failures == 0, "{} outcomes were wrong", smoke.failures);
    println!("all outcomes were right");
    Ok(())
}

impl Smoke {
    fn entry(&self, at: usize) -> SocketAddr {
        self.addresses.entries[at % self.addresses.entries.len()]
    }

    fn judge(&mut self, what: &str, answer: &Response, right: bool) {
        self.failures += usize::from(!right);
        println!(
            "{} {what} status={} runner={} tokens={} first={:.1}ms total={:.1}ms {}",
            if right { "ok   " } else { "WRONG" },
            answer.status,
            if answer.runner.is_empty() {
                "-"
            } else {
                &answer.runner
            },
            answer.tokens,
            answer.first_token.as_secs_f64() * 1e3,
            answer.total.as_secs_f64() * 1e3,
            answer.kind(),
        );
    }

    fn chat(&self, at: usize, stream: bool) -> Value {
        json!({
            "model": self.requests.model,
            "stream": stream,
            "messages": [{ "role": "user", "content": format!("{} [{at}] len={}", self.requests.prompt, 20 + at) }],
        })
    }

    fn generate(&mut self) {
        for class in self.requests.generate.clone() {
            let streams: Vec<Response> = std::thread::scope(|scope| {
                let tasks: Vec<_> = (0..STREAMS)
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
            for (at, answer) in streams.iter().enumerate() {
                let right = answer.status == 200 && answer.done && answer.tokens as usize == 20 + at;
                self.judge(&format!("stream class={class}"), answer, right);
            }
            let answer = self.caller.chat(self.entry(1), &class, &self.chat(3, false));
            let right = answer.status == 200 && answer.text == streams[3].text;
            self.judge(&format!("whole class={class}"), &answer, right);
        }
    }

    fn repeatable(&mut self) {
        let plain = self.requests.repeatable.clone();
        for at in 0..self.addresses.entries.len() {
            let answer = self.caller.call(self.entry(at), &plain.path, &plain.body, None);
            let right = answer.status == 200 && answer.body["echo"] == plain.body;
            self.judge(&format!("call class={}", plain.class), &answer, right);
        }
    }

    fn once(&mut self) -> Result<()> {
        let plain = self.requests.once.clone();
        let hosts = self.addresses.entries.len();
        let ticket = self
            .caller
            .tickets(self.entry(0), 1)?
            .pop()
            .context("no ticket")?;
        let own = format!("smoke-{}", uuid::Uuid::now_v7());
        for (what, key) in [("ticket", &ticket), ("own-key", &own)] {
            let first = self
                .caller
                .call(self.entry(hosts - 1), &plain.path, &plain.body, Some(key));
            let right = first.status == 200 && first.body["echo"] == plain.body;
            self.judge(&format!("once class={} by={what}", plain.class), &first, right);
            for at in 0..hosts {
                let again = self
                    .caller
                    .call(self.entry(at), &plain.path, &plain.body, Some(key));
                let right = again.status == 200 && again.body["entry"] == first.body["entry"];
                self.judge(&format!("again class={} by={what}", plain.class), &again, right);
            }
        }
        let runs = self.runs(&plain)?;
        println!(
            "{} runs path={} count={runs}",
            if runs == 2 { "ok   " } else { "WRONG" },
            plain.path
        );
        self.failures += usize::from(runs != 2);
        Ok(())
    }

    /// How often the plain services ran the at-most-once call.
    fn runs(&self, plain: &Plain) -> Result<usize> {
        let mut runs = 0;
        for address in &self.addresses.plain {
            let log: Value = get(*address, "/control/log")?;
            let all = log["runs"].as_array().cloned().unwrap_or_default();
            runs += all
                .iter()
                .filter(|run| run["path"] == plain.path.as_str())
                .count();
        }
        Ok(runs)
    }

    fn refusals(&mut self) {
        let class = self.requests.generate[0].clone();
        let plain = self.requests.once.clone();
        let entry = self.entry(0);
        let stranger = Caller::new("rsk-unknown");
        let cases = [
            (
                "wrong-key",
                stranger.chat(entry, &class, &self.chat(0, true)),
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
                self.caller.call(entry, &plain.path, &plain.body, None),
                "missing-idempotency-key",
            ),
            (
                "no-class",
                self.caller.chat(entry, "no-such-class", &self.chat(0, true)),
                "unknown-class",
            ),
            (
                "no-path",
                self.caller.call(entry, "/no/such/path", &plain.body, None),
                "not-found",
            ),
        ];
        for (what, answer, kind) in cases {
            let right = answer.kind() == kind && answer.ran() == "not-run";
            self.judge(&format!("refusal case={what}"), &answer, right);
        }
    }

    /// Waits until the platform has the usage of what was sent.
    fn usage(&mut self) -> Result<()> {
        let until = Instant::now() + USAGE;
        let wanted = (STREAMS + 1) * self.requests.generate.len() + self.addresses.entries.len() + 2;
        loop {
            let log: Value = post(self.addresses.platform[0], "/control/log")?;
            let lines: Vec<Value> = log["reports"]
                .as_array()
                .into_iter()
                .flatten()
                .flat_map(|report| report["lines"].as_array().cloned().unwrap_or_default())
                .collect();
            let calls: u64 = lines.iter().filter_map(|line| line["calls"].as_u64()).sum();
            if calls as usize >= wanted || Instant::now() >= until {
                lines.iter().for_each(|line| println!("usage {line}"));
                let right = calls as usize == wanted
                    && lines
                        .iter()
                        .all(|line| line["customer"] == self.requests.customer.as_str());
                println!(
                    "{} usage calls={calls} sent={wanted}",
                    if right { "ok   " } else { "WRONG" }
                );
                self.failures += usize::from(!right);
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(500));
        }
    }
}

fn get(address: SocketAddr, path: &str) -> Result<Value> {
    let mut answer = ureq::get(format!("http://{address}{path}"))
        .call()
        .with_context(|| format!("reading {path}"))?;
    Ok(serde_json::from_slice(&answer.body_mut().read_to_vec()?)?)
}

fn post(address: SocketAddr, path: &str) -> Result<Value> {
    let mut answer = ureq::post(format!("http://{address}{path}"))
        .send("{}")
        .with_context(|| format!("reading {path}"))?;
    if answer.status() != 200 {
        bail!("{path} answered {}", answer.status());
    }
    Ok(serde_json::from_slice(&answer.body_mut().read_to_vec()?)?)
}
