//! Idle connections to runners.
//!
//! The runner closes a connection that was idle for its time-out, and a request
//! that crosses that close may or may not have run. So a connection is used
//! again only well inside that time, and for requests that run at most once
//! only while it is nearly fresh; the most recently used goes first.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use anyhow::Result;
use radishstair_core::proxy::fleet::Idle;
use radishstair_core::time::Moment;

use super::connection::Connection;

/// Longest time to establish a connection: 1 to 3 ms are usual, a lost packet
/// takes a second, and another runner answers sooner than that.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Idle time of the runner where it does not say it.
const KEPT: Duration = Duration::from_secs(3);
/// Most idle connections to one runner.
const MOST: usize = 24;

#[derive(Debug)]
struct Waiting {
    line: Connection,
    idle: Idle,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<Vec<(SocketAddr, Vec<Waiting>)>>,
}

impl Pool {
    /// A connection to a runner: one that waits, or a new one.
    ///
    /// # Errors
    ///
    /// When the runner cannot be reached; then no byte of a request has left.
    pub async fn acquire(
        &self,
        now: Moment,
        address: SocketAddr,
        once: bool,
        limit: Duration,
    ) -> Result<Connection> {
        while let Some(mut line) = self.pop(now, address, once) {
            if line.is_usable().await {
                return Ok(line);
            }
        }
        Connection::connect(address, limit.min(CONNECT_TIMEOUT)).await
    }

    /// Gives back a connection whose answer was read to its end.
    pub fn release(&self, now: Moment, address: SocketAddr, line: Connection, kept: Option<Duration>) {
        let mut all = self.lock();
        let at = match all.binary_search_by_key(&address, |(have, _)| *have) {
            Ok(at) => at,
            Err(at) => {
                all.insert(at, (address, Vec::new()));
                at
            }
        };
        let lines = &mut all[at].1;
        lines.retain(|waiting| waiting.idle.is_usable(now, false));
        let idle = Idle {
            since: now,
            keep_alive: kept.unwrap_or(KEPT),
        };
        if lines.len() < MOST && idle.is_usable(now, false) {
            lines.push(Waiting { line, idle });
        }
    }

    /// The connection to a runner that would be used next.
    pub fn peek(&self, address: SocketAddr) -> Option<Idle> {
        let all = self.lock();
        let at = all.binary_search_by_key(&address, |(have, _)| *have).ok()?;
        all[at].1.last().map(|waiting| waiting.idle)
    }

    /// Closes the idle connections to a runner that is no longer the same.
    pub fn remove(&self, address: SocketAddr) {
        self.lock().retain(|(have, _)| *have != address);
    }

    fn pop(&self, now: Moment, address: SocketAddr, once: bool) -> Option<Connection> {
        let mut all = self.lock();
        let at = all.binary_search_by_key(&address, |(have, _)| *have).ok()?;
        let lines = &mut all[at].1;
        let last = lines.last()?.idle;
        if last.is_usable(now, once) {
            return lines.pop().map(|waiting| waiting.line);
        }
        if !last.is_usable(now, false) {
            // The others have waited longer.
            lines.clear();
        }
        None
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(SocketAddr, Vec<Waiting>)>> {
        self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
