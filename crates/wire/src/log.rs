//! Logs: one line of key=value pairs for each event.

use std::sync::OnceLock;

use tracing_appender::non_blocking::ErrorCounter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Variable that filters events, such as `info` or `radishstair_entry=debug`.
pub const FILTER_VARIABLE: &str = "RADISHSTAIR_LOG";

/// Starts logging; events below `info` need the filter.
pub fn init() {
    let lines = tracing_logfmt::builder().layer().with_writer(std::io::stderr);
    // A second start in one process (tests) keeps the first.
    let _ = tracing_subscriber::registry()
        .with(filter())
        .with(lines)
        .try_init();
}

fn filter() -> tracing_subscriber::EnvFilter {
    tracing_subscriber::EnvFilter::try_from_env(FILTER_VARIABLE)
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"))
}

/// Lines that wait for the writer before further ones are dropped: a second
/// of a host's lines at its highest rate.
const MAX_QUEUED_LINES: usize = 2_048;

/// Starts logging through a thread of its own and a bounded queue. Lines past
/// the bound are dropped and counted, so that a slow reader of the log never
/// delays a request. Dropping the guard writes what waits.
pub fn init_bounded() -> Guard {
    let (writer, worker) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stdout());
    // A second start in one process (tests) keeps the first.
    let _ = DROPPED.set(writer.error_counter());
    let lines = tracing_logfmt::builder().layer().with_writer(writer);
    let _ = tracing_subscriber::registry()
        .with(filter())
        .with(lines)
        .try_init();
    Guard(worker)
}

/// Keeps the writer of the log running.
#[derive(Debug)]
pub struct Guard(#[allow(dead_code)] tracing_appender::non_blocking::WorkerGuard);

static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Lines dropped so far by the bounded log.
pub fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}
