//! Counting requests in flight, for a graceful stop that waits for all of them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Requests in flight.
#[derive(Clone, Debug, Default)]
pub struct Counter(Arc<AtomicUsize>);

impl Counter {
    /// Counts one more until the guard is dropped.
    pub fn track(&self) -> InFlightGuard {
        self.0.fetch_add(1, Ordering::SeqCst);
        InFlightGuard(self.0.clone())
    }

    /// How many there are.
    pub fn get(&self) -> usize {
        self.0.load(Ordering::SeqCst)
    }
}

/// One request in flight.
#[derive(Debug)]
pub struct InFlightGuard(Arc<AtomicUsize>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
