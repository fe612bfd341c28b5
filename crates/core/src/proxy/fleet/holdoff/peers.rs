//! Hold-offs of peers that connect to runners for other hosts.
//!
//! A runner that turns away a request on a connection through a peer asks the peer to wait, as it sees only the peer; but
//! only the host that sent the request reads it. That host tells the peer. A peer that is asked to wait itself tells
//! the hosts for which it keeps connections.

use std::time::Duration;

use super::super::{Fleet, Key};
use super::{Notice, Wait};
use crate::time::Moment;

/// Time by which the same hold-off may seem to end later, as reports take time.
const ECHO_TIME: Duration = Duration::from_millis(100);
/// Maximum number of hold-offs in a report.
const MAX_REPORTED: usize = 128;

plain! {
    /// What a host tells the others of a runner that has asked a host to wait.
    #[derive(Copy, Eq)]
    pub struct Report {
        /// Hash of the runner's id.
        pub runner: u64,
        /// Hash of the address of the host that is to wait.
        pub host: u64,
        /// Time for which it is still to wait.
        pub remaining: Duration,
    }
}

plain! {
    /// Hold-off of another host.
    #[derive(Copy)]
    struct Held {
        until: Moment,
        /// Whether this host has read the runner's answer, and tells the others.
        is_own: bool,
    }
}

/// Hold-offs of other hosts.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    /// Hosts and runners; sorted.
    held: Vec<((u64, Key), Held)>,
    /// Whether this host connects to runners for others.
    is_relaying: bool,
    /// Whether the others have yet to be told of the newest one.
    has_news: bool,
}

impl Peers {
    /// Records a hold-off; returns whether it is new or ends later than known.
    fn record(&mut self, now: Moment, host: u64, key: Key, held: Held) -> bool {
        self.held.retain(|(_, known)| !now.reached(known.until));
        let echo_time = if held.is_own { Duration::ZERO } else { ECHO_TIME };
        match self.held.binary_search_by_key(&(host, key), |(have, _)| *have) {
            Ok(at) if (self.held[at].1.until + echo_time).reached(held.until) => return false,
            Ok(at) => self.held[at].1 = held,
            Err(at) => self.held.insert(at, ((host, key), held)),
        }
        true
    }
}

impl Fleet {
    /// Records that a runner has asked a peer, which connected to it for this host, to wait.
    pub fn record_peer_hold_off(&mut self, now: Moment, key: Key, peer: u64, notice: Notice) {
        if let Notice::For(wait) = notice {
            let held = Held {
                until: now + wait.length(),
                is_own: true,
            };
            self.peer_hold_offs.has_news |= self.peer_hold_offs.record(now, peer, key, held);
        }
    }

    /// Whether a runner has asked a peer to wait.
    pub fn is_peer_held_off(&self, now: Moment, key: Key, peer: u64) -> bool {
        let held = &self.peer_hold_offs.held;
        let found = held.binary_search_by_key(&(peer, key), |(have, _)| *have);
        found.is_ok_and(|at| !now.reached(held[at].1.until))
    }

    /// Records whether this host connects to runners for others.
    pub fn set_relaying(&mut self, is_relaying: bool) {
        self.peer_hold_offs.is_relaying = is_relaying;
    }

    /// Records that this host is asked to wait, which the hosts for which it connects to runners have to know.
    pub(super) fn note_own_hold_off(&mut self) {
        self.peer_hold_offs.has_news |= self.peer_hold_offs.is_relaying;
    }

    /// Whether there is something to tell since it was last asked.
    pub fn take_hold_off_news(&mut self) -> bool {
        std::mem::take(&mut self.peer_hold_offs.has_news)
    }

    /// What the other hosts are told: hold-offs of peers that connected for this host, and those of this host if it
    /// connects for others.
    pub fn hold_off_reports(&self, now: Moment) -> Vec<Report> {
        let runner_hash = |key: Key| self.get(key).map(|runner| runner.hash);
        let told = self.peer_hold_offs.held.iter().filter(|(_, held)| held.is_own);
        let of_peers = told.filter_map(|((host, key), held)| {
            Some(Report {
                runner: runner_hash(*key)?,
                host: *host,
                remaining: now.until(held.until),
            })
        });
        let runners = match self.peer_hold_offs.is_relaying {
            true => self.arena.as_slice(),
            false => &[],
        };
        let own = runners.iter().map(|runner| Report {
            runner: runner.hash,
            host: self.own_host,
            remaining: runner.hold_off.remaining(now),
        });
        let reports = of_peers.chain(own).filter(|report| !report.remaining.is_zero());
        reports.take(MAX_REPORTED).collect()
    }

    /// Applies what another host has told.
    pub fn apply_hold_off_report(&mut self, now: Moment, report: Report) {
        let Some(key) = self.find_by_hash(report.runner) else {
            return;
        };
        let wait = Wait::new(report.remaining);
        if report.host != self.own_host {
            let held = Held {
                until: now + wait.length(),
                is_own: false,
            };
            self.peer_hold_offs.record(now, report.host, key, held);
            return;
        }
        let known = self.get(key).map(|runner| runner.hold_off.remaining(now));
        if known.is_none_or(|known| known + ECHO_TIME < wait.length()) {
            self.record_hold_off(now, key, Notice::For(wait));
        }
    }
}
