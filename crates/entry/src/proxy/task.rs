//! Tasks of the control thread that run until the process ends.

use std::time::Duration;

/// Time after which a task that has panicked starts again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Runs a task until it returns, and starts it again if it panics.
///
/// Without the task, the host would go on by what it knew last, such as runners that have left.
pub async fn keep<F>(name: &'static str, start: impl Fn() -> F)
where
    F: Future<Output = ()> + Send + 'static,
{
    while let Err(err) = tokio::spawn(start()).await {
        if !err.is_panic() {
            return;
        }
        tracing::error!(event = "task-panicked", task = name);
        tokio::time::sleep(RESTART_PAUSE).await;
    }
}
