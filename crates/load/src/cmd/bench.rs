//! `radishstair-load bench`: measures the latency that an entry host adds to
//! streamed requests.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, ensure};
use argh::FromArgs;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::body::Bytes;
use hyper_util::rt::TokioIo;
use serde_json::json;

use crate::deploy::Addresses;

/// Measure the latency that an entry host adds to streams of the same engines.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct Args {
    /// file of addresses, as written by `deploy`
    #[argh(positional)]
    pub addresses: PathBuf,
    /// API key
    #[argh(option)]
    pub key: String,
    /// model
    #[argh(option)]
    pub model: String,
    /// request class
    #[argh(option)]
    pub class: String,
    /// number of concurrent streams
    #[argh(option, default = "100")]
    pub streams: usize,
    /// number of tokens in each stream
    #[argh(option, default = "50")]
    pub tokens: u32,
    /// number of rounds
    #[argh(option, default = "5")]
    pub rounds: usize,
}

/// Latencies of the streams on one path, direct or through an entry host.
struct Samples {
    first_token_us: Histogram<u64>,
    total_us: Histogram<u64>,
    failed: usize,
}

/// Runs the command.
///
/// # Errors
///
/// If the addresses cannot be read, or no stream completes on one of the paths.
pub fn run(args: &Args) -> Result<()> {
    let addresses: Addresses = radishstair_wire::settings::load(&args.addresses)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let mut direct = Samples::new()?;
    let mut routed = Samples::new()?;
    // The paths take turns, so that changes of the machine's load affect both alike.
    for round in 0..args.rounds {
        runtime.block_on(run_round(args, &addresses.engines, round, &mut direct));
        runtime.block_on(run_round(args, &addresses.entries, round, &mut routed));
    }
    ensure!(
        !direct.first_token_us.is_empty() && !routed.first_token_us.is_empty(),
        "no stream completed on one of the two paths"
    );
    println!(
        "streams={} tokens={} rounds={}",
        args.streams, args.tokens, args.rounds
    );
    direct.print("direct");
    routed.print("routed");
    let added_ms = |quantile: f64| {
        let latencies_us = (
            routed.first_token_us.value_at_quantile(quantile),
            direct.first_token_us.value_at_quantile(quantile),
        );
        (latencies_us.0 as f64 - latencies_us.1 as f64) / 1_000.0
    };
    println!(
        "added to the first token: p50={:.2}ms p99={:.2}ms",
        added_ms(0.5),
        added_ms(0.99)
    );
    Ok(())
}

impl Samples {
    fn new() -> Result<Self> {
        Ok(Self {
            first_token_us: Histogram::new(3).context("creating a histogram")?,
            total_us: Histogram::new(3).context("creating a histogram")?,
            failed: 0,
        })
    }

    fn print(&self, name: &str) {
        let ms =
            |histogram: &Histogram<u64>, quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        println!(
            "{name}: first p50={:.2}ms p99={:.2}ms total p50={:.2}ms p99={:.2}ms answered={} failed={}",
            ms(&self.first_token_us, 0.5),
            ms(&self.first_token_us, 0.99),
            ms(&self.total_us, 0.5),
            ms(&self.total_us, 0.99),
            self.first_token_us.len(),
            self.failed
        );
    }
}

async fn run_round(args: &Args, targets: &[SocketAddr], round: usize, samples: &mut Samples) {
    let tasks: Vec<_> = (0..args.streams)
        .map(|at| {
            let target = targets[at % targets.len()];
            let body = json!({
                "model": args.model,
                "stream": true,
                "messages": [{ "role": "user", "content": format!("bench {round} {at} len={}", args.tokens) }],
            });
            tokio::spawn(run_stream(target, args.key.clone(), args.class.clone(), body.to_string()))
        })
        .collect();
    for task in tasks {
        match task.await {
            Ok(Ok((first, total))) => {
                let _ = samples.first_token_us.record(first.as_micros() as u64);
                let _ = samples.total_us.record(total.as_micros() as u64);
            }
            _ => samples.failed += 1,
        }
    }
}

async fn run_stream(
    target: SocketAddr,
    key: String,
    class: String,
    body: String,
) -> Result<(Duration, Duration)> {
    let connection = tokio::net::TcpStream::connect(target).await?;
    connection.set_nodelay(true)?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(connection)).await?;
    tokio::spawn(connection);
    let request = Request::post("/v1/chat/completions")
        .header("host", "bench")
        .header("authorization", format!("Bearer {key}"))
        .header("x-class", class)
        .header("x-request-id", "bench")
        .body(Full::new(Bytes::from(body)))?;
    let started = Instant::now();
    let mut response = sender.send_request(request).await?.into_body();
    let mut first = None;
    let mut last = Bytes::new();
    while let Some(frame) = response.frame().await {
        if let Ok(data) = frame?.into_data() {
            first.get_or_insert_with(|| started.elapsed());
            last = data;
        }
    }
    ensure!(
        last.ends_with(b"data: [DONE]\n\n"),
        "the stream ended without [DONE]"
    );
    Ok((first.context("the stream has no tokens")?, started.elapsed()))
}
