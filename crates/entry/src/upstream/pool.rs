//! Idle connections to runners.
//!
//! A runner closes a connection after its keep-alive time without a request. If
//! a request is sent at that moment, it may or may not have run. Therefore a
//! connection is reused only well within that time, and for at-most-once
//! requests only if it was idle briefly. The most recently used one goes first.
//! A connection that has carried a request's id is not used for it again, see
//! [`radishstair_core::carried`].

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use anyhow::Result;
use radishstair_core::proxy::fleet::{Idle, Way};
use radishstair_core::time::Moment;

use super::connection::Connection;

/// Longest time to establish a connection. Usual are 1 to 3 ms; retransmitting
/// a lost packet takes a second, and trying another runner is faster than that.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Keep-alive time of a runner whose answers do not give it.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(3);
/// Idle connections kept to one runner.
const MAX_IDLE_PER_RUNNER: usize = 24;

/// What a request needs of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Whether the request may run at most once.
    pub at_most_once: bool,
}

/// A connection with the time since which it is idle.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle: Idle,
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<Vec<(SocketAddr, Vec<IdleConnection>)>>,
}

impl Pool {
    /// Takes an idle connection to a runner, or opens a new one.
    ///
    /// # Errors
    ///
    /// When the runner cannot be reached; no byte of a request was sent then.
    pub async fn acquire(
        &self,
        now: Moment,
        address: SocketAddr,
        demand: Demand<'_>,
        limit: Duration,
    ) -> Result<Connection> {
        match self.take_idle(now, address, demand, Way::Direct).await {
            Some(connection) => Ok(connection),
            None => Connection::connect(address, limit.min(CONNECT_TIMEOUT)).await,
        }
    }

    /// Takes an idle connection to a runner on one way, if there is one.
    pub async fn take_idle(
        &self,
        now: Moment,
        address: SocketAddr,
        demand: Demand<'_>,
        way: Way,
    ) -> Option<Connection> {
        while let Some(mut connection) = self.pop(now, address, demand, way) {
            if connection.is_usable().await {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection whose answer was read to its end.
    ///
    /// It takes the place of one that has carried the same request, so that a caller who keeps its id does not fill the
    /// pool.
    pub fn release(
        &self,
        now: Moment,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let mut runners = self.lock();
        let at = match runners.binary_search_by_key(&address, |(key, _)| *key) {
            Ok(at) => at,
            Err(at) => {
                runners.insert(at, (address, Vec::new()));
                at
            }
        };
        let connections = &mut runners[at].1;
        let is_replaced = |candidate: &IdleConnection| {
            let carried = candidate.connection.carried();
            candidate.connection.way() == connection.way() && carried.contains_last(connection.carried())
        };
        connections.retain(|candidate| candidate.idle.is_usable(now, false) && !is_replaced(candidate));
        let idle = Idle {
            since: now,
            keep_alive: keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE),
        };
        let is_full = connection.carried().is_full() || connections.len() >= MAX_IDLE_PER_RUNNER;
        if !is_full && idle.is_usable(now, false) {
            connections.push(IdleConnection { connection, idle });
        }
    }

    /// State of the connection to a runner that would be used next.
    pub fn peek(&self, address: SocketAddr) -> Option<Idle> {
        let runners = self.lock();
        let at = runners.binary_search_by_key(&address, |(key, _)| *key).ok()?;
        runners[at].1.last().map(|candidate| candidate.idle)
    }

    /// Closes the idle connections to an address, for example of a replaced runner.
    pub fn remove(&self, address: SocketAddr) {
        self.lock().retain(|(key, _)| *key != address);
    }

    /// Closes the idle connections to addresses on one way.
    pub fn remove_all(&self, addresses: &[SocketAddr], way: Way) {
        let mut runners = self.lock();
        let of_addresses = runners.iter_mut().filter(|(key, _)| addresses.contains(key));
        of_addresses
            .for_each(|(_, connections)| connections.retain(|candidate| candidate.connection.way() != way));
    }

    /// Closes the idle connections that a peer relays.
    pub fn remove_relayed_by(&self, peer: SocketAddr) {
        let is_other = |candidate: &IdleConnection| candidate.connection.relay() != Some(peer);
        let mut runners = self.lock();
        runners
            .iter_mut()
            .for_each(|(_, connections)| connections.retain(is_other));
    }

    fn pop(&self, now: Moment, address: SocketAddr, demand: Demand<'_>, way: Way) -> Option<Connection> {
        let mut runners = self.lock();
        let at = runners.binary_search_by_key(&address, |(key, _)| *key).ok()?;
        let connections = &mut runners[at].1;
        connections.retain(|candidate| candidate.idle.is_usable(now, false));
        let may_carry = |candidate: &IdleConnection| {
            candidate.connection.way() == way && !candidate.connection.carried().contains(demand.id)
        };
        let last = connections.iter().rposition(may_carry)?;
        let is_usable = connections[last].idle.is_usable(now, demand.at_most_once);
        is_usable.then(|| connections.remove(last).connection)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<(SocketAddr, Vec<IdleConnection>)>> {
        self.idle.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
