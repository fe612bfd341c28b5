//! Tasks that run until the process ends.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use radishstair_entry::proxy::task;

/// Guards against a host that goes on without a task that has panicked.
#[test]
fn a_task_that_panics_starts_again() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runs = Arc::<AtomicU32>::default();
    let started = Instant::now();
    runtime.expect("a runtime").block_on(task::keep("test", || {
        let run = runs.fetch_add(1, Ordering::SeqCst);
        async move { assert!(run > 0, "the first run panics") }
    }));
    assert_eq!(runs.load(Ordering::SeqCst), 2);
    assert!(started.elapsed() >= Duration::from_millis(500), "not at once");
}
