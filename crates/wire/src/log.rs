//! Logging, with one line of key=value pairs for each event.

use std::sync::OnceLock;

use tracing_appender::non_blocking::ErrorCounter;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

/// Environment variable with the log filter, such as `info` or `radishstair_entry=debug`.
pub const FILTER_VARIABLE: &str = "RADISHSTAIR_LOG";

/// Starts logging to standard error, by default from level `info`.
pub fn init() {
    let formatter = tracing_logfmt::builder().layer().with_writer(std::io::stderr);
    // If logging was already started in this process, as in tests, the first one is kept.
    let _ = tracing_subscriber::registry()
        .with(filter())
        .with(formatter)
        .try_init();
}

fn filter() -> tracing_subscriber::EnvFilter {
    tracing_subscriber::EnvFilter::try_from_env(FILTER_VARIABLE)
        .unwrap_or_else(|_| tracing_subscriber::EnvFilter::new("info"))
}

/// Capacity of the queue of the log writer, in lines: what a host logs within a
/// second at its highest rate. Lines that do not fit are dropped.
const MAX_QUEUED_LINES: usize = 2_048;

/// Starts logging to standard output by a thread with a bounded queue.
///
/// Lines that do not fit into the queue are dropped and counted, so that a slow
/// reader of the log does not delay requests. Dropping the guard flushes the queue.
pub fn init_bounded() -> Guard {
    let (writer, worker) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .lossy(true)
        .thread_name("log")
        .finish(std::io::stdout());
    // If logging was already started in this process, as in tests, the first one is kept.
    let _ = DROPPED.set(writer.error_counter());
    let formatter = tracing_logfmt::builder().layer().with_writer(writer);
    let _ = tracing_subscriber::registry()
        .with(filter())
        .with(formatter)
        .try_init();
    Guard(worker)
}

/// Keeps the log writer running; flushes its queue on drop.
#[derive(Debug)]
pub struct Guard(#[allow(dead_code)] tracing_appender::non_blocking::WorkerGuard);

static DROPPED: OnceLock<ErrorCounter> = OnceLock::new();

/// Number of lines dropped so far by the bounded log.
pub fn dropped_lines() -> usize {
    DROPPED.get().map_or(0, ErrorCounter::dropped_lines)
}
