//! Accepted connections whose first request this host has not begun to read.
//!
//! A host that reads all new connections although it can serve few of them delays all of them until
//! their callers have given up. What it has goes first: it begins with one connection each time all
//! its other work has had a turn. A connection that has waited too long is closed unread, which tells
//! its caller that the request has not run, so that another host may serve it. The host goes on with
//! those that have waited less, and therefore takes new connections all the time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Moment;

/// Longest time for which an accepted connection waits: its caller still has time for another host.
pub const MAX_WAIT: Duration = Duration::from_millis(500);

/// Waiting connections of one host, in order of arrival.
#[derive(Clone, Debug)]
pub struct Intake<T> {
    waiting: VecDeque<(Moment, T)>,
}

impl<T> Default for Intake<T> {
    fn default() -> Self {
        let waiting = VecDeque::new();
        Self { waiting }
    }
}

impl<T> Intake<T> {
    /// Adds a connection.
    pub fn join(&mut self, now: Moment, connection: T) {
        self.waiting.push_back((now, connection));
    }

    /// Whether no connection waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Removes and returns the connections that have waited too long, to be closed.
    pub fn expire(&mut self, now: Moment) -> impl Iterator<Item = T> + '_ {
        let expired = self
            .waiting
            .partition_point(|(joined_at, _)| now.since(*joined_at) > MAX_WAIT);
        self.waiting.drain(..expired).map(|(_, connection)| connection)
    }

    /// Removes and returns the connection that has waited longest, to be served.
    pub fn take(&mut self) -> Option<T> {
        self.waiting.pop_front().map(|(_, connection)| connection)
    }
}
