//! A counter of requests in flight; a graceful stop waits until it is zero.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of requests in flight, shared by its clones.
#[derive(Clone, Debug, Default)]
pub struct Counter(Arc<AtomicUsize>);

impl Counter {
    /// Counts a request until the guard is dropped.
    pub fn track(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.0.clone())
    }

    /// The current number.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

/// Counts one request as long as it exists.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
