//! Reservations of this host's memory for requests and answers.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use radishstair_core::proxy::memory::{Memory, Purpose};
use tokio::sync::Notify;

use super::reply::Truncated;

/// Bytes of an answer that are handed to its connection at a time. The connection takes more once
/// the caller has read most of them.
const PART_BYTES: usize = 16 * 1024;

/// Memory of this host, shared by its requests.
#[derive(Debug)]
pub struct Quota {
    memory: Mutex<Memory>,
    released: Notify,
}

impl Quota {
    /// Memory of a host with this many megabytes; without a limit if that is 0.
    pub fn new(megabytes: f64) -> Arc<Self> {
        Arc::new(Self {
            memory: Mutex::new(Memory::of_host(megabytes)),
            released: Notify::new(),
        })
    }

    /// Memory held, in bytes.
    pub fn held(&self) -> u64 {
        self.lock().held()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Memory> {
        self.memory.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reserved memory; dropping it releases the memory.
#[derive(Debug)]
pub struct Held {
    quota: Arc<Quota>,
    reserved: Vec<(Purpose, u64)>,
}

impl Held {
    /// A reservation of no memory yet.
    pub fn empty(quota: Arc<Quota>) -> Self {
        Self {
            quota,
            reserved: Vec::new(),
        }
    }

    /// Reserves more memory; returns whether it was available.
    pub fn try_grow(&mut self, purpose: Purpose, bytes: u64) -> bool {
        if !self.quota.lock().reserve(purpose, bytes) {
            return false;
        }
        match self.reserved.iter_mut().find(|(have, _)| *have == purpose) {
            Some((_, sum)) => *sum += bytes,
            None => self.reserved.push((purpose, bytes)),
        }
        true
    }

    /// Reserves more memory as soon as it is available.
    pub async fn grow(&mut self, purpose: Purpose, bytes: u64) {
        let quota = self.quota.clone();
        loop {
            let released = quota.released.notified();
            tokio::pin!(released);
            // Registered before the attempt, so that no release is missed in between.
            released.as_mut().enable();
            if self.try_grow(purpose, bytes) {
                return;
            }
            released.await;
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        let mut memory = self.quota.lock();
        for (purpose, bytes) in self.reserved.drain(..) {
            memory.release(purpose, bytes);
        }
        drop(memory);
        self.quota.released.notify_waiters();
    }
}

/// A body with a reservation, which is released once the other side has read almost all of it.
#[derive(Debug)]
pub struct HeldBody<R> {
    /// Part that was not handed to the connection yet.
    rest: Bytes,
    _reservation: R,
}

impl<R> HeldBody<R> {
    /// Body with what was reserved for it.
    pub fn new(bytes: Bytes, reservation: R) -> Self {
        Self {
            rest: bytes,
            _reservation: reservation,
        }
    }
}

impl<R: Unpin> Body for HeldBody<R> {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.rest.len().min(PART_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
