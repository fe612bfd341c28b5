//! Start of a host: from whom it gets the store's keys for the first time.
//!
//! If hundreds of hosts start together and each reads thousands of keys from the store, they fill its
//! link for longer than their timeouts, give up what has come, and begin again: the overload keeps
//! itself up. A starting host therefore needs little of the store. It reads which hosts are present
//! in its zone, which takes one short page, and these agree on who reads the rest. The others ask the
//! readers, and each other, until one has all keys; so the keys spread from host to host. A host reads
//! the store itself only if it is a reader, is alone, or has got nothing for long.

use std::net::SocketAddr;
use std::time::Duration;

use super::backoff::{self, Backoff};
use super::readers::{self, Host, Readers, Source};
use crate::time::Moment;

/// Time after its start for which a host waits for the presence of others: hosts that start together
/// do so within a few tenths of a second.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Time after its start from which a host that finds nobody is alone, if this is no first start: hosts that
/// start with it have written their presences by then.
const ALONE_TIME: Duration = Duration::from_millis(350);
/// Number of hosts in a zone up to which each reads the store, as it takes less time than asking.
const SMALL_ZONE_HOSTS: usize = 8;
/// Mean time between a peer's reply that it has nothing yet, and the next one asked. Such a reply
/// costs little, and every second all hosts that have the keys pass them on.
const ASK_INTERVAL: Duration = Duration::from_millis(150);
/// One in this many peers asked is a reader; a reader of a large zone can send to a part of it only.
const READER_TURN: u32 = 4;
/// Time between two reads of the presences.
const FIND_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which the first host of a zone asks others before it reads the store itself, and by how
/// much longer each next one does. So at most ten hosts of a zone begin to read in a second, and the
/// others get the keys from the first that has them.
const PATIENCE: Duration = Duration::from_secs(4);
const PATIENCE_STEP: Duration = Duration::from_millis(100);

plain! {
    /// Next action of a starting host.
    #[derive(Copy, Eq)]
    pub enum Step {
        /// Read the presences of the hosts of this zone.
        FindPeers,
        /// Ask a peer for all keys.
        Ask(SocketAddr),
        /// Read all keys from the store.
        List,
        /// Wait for this long.
        Wait(Duration),
    }
}

plain! {
    /// A peer's reply.
    #[derive(Copy, Eq)]
    pub enum Reply {
        /// It has no complete list yet, or is sending it to others.
        Starting,
        /// It did not reply.
        Failed,
    }
}

/// Course of one host's start.
#[derive(Debug)]
pub struct Start {
    began: Moment,
    is_first: bool,
    /// When the presences were first and last read.
    first_found_at: Option<Moment>,
    found_at: Option<Moment>,
    paused_until: Moment,
    backoff: Backoff,
    /// Number of peers asked.
    asked: u32,
    /// Whether the last listing failed.
    list_failed: bool,
}

impl Start {
    /// A start at `now`; `is_first` if all hosts start for the first time, so that there are no
    /// presences of earlier runs to be found at once.
    pub fn new(now: Moment, is_first: bool) -> Self {
        Self {
            began: now,
            is_first,
            first_found_at: None,
            found_at: None,
            paused_until: now,
            backoff: Backoff::default(),
            asked: 0,
            list_failed: false,
        }
    }

    /// Next action; `hosts` are the hosts known to be present, including `me` if its presence has
    /// been read.
    pub fn step(&mut self, now: Moment, me: SocketAddr, readers: &mut Readers, hosts: &[Host]) -> Step {
        if !now.reached(self.paused_until) {
            return Step::Wait(now.until(self.paused_until));
        }
        let settled_at = self.began + SETTLE_TIME;
        let is_present = hosts.iter().any(|host| host.address == me);
        let alone_at = self.began + ALONE_TIME;
        // The presence of an earlier run at this address shows that the others are in the list too. A
        // host that finds nobody, though this is no first start, is alone.
        let finds_nobody = !self.is_first && hosts.is_empty();
        let is_alone = finds_nobody && self.found_at.is_some_and(|found_at| found_at.reached(alone_at));
        let has_settled =
            is_present || is_alone || self.found_at.is_some_and(|found_at| found_at.reached(settled_at));
        let find_at = match self.found_at {
            None if self.is_first => settled_at,
            None => now,
            Some(_) if !has_settled && finds_nobody => alone_at,
            Some(_) if !has_settled => settled_at,
            Some(found_at) => found_at + FIND_INTERVAL,
        };
        if now.reached(find_at) {
            return Step::FindPeers;
        }
        if self.found_at.is_none() {
            return Step::Wait(now.until(find_at));
        }
        if !self.list_failed && has_settled && self.may_list(now, me, is_present, hosts) {
            return Step::List;
        }
        match self.peer(now, me, readers, hosts) {
            Some(peer) => Step::Ask(peer),
            None if has_settled => Step::List,
            None => Step::Wait(now.until(find_at)),
        }
    }

    /// Whether this host may read the store.
    fn may_list(&self, now: Moment, me: SocketAddr, is_present: bool, hosts: &[Host]) -> bool {
        let is_small = hosts.len() <= SMALL_ZONE_HOSTS;
        // A reader that restarts alone gets all keys from a host that runs.
        let is_reader = is_present && self.asked > 0 && readers::is_reader(me, hosts);
        is_small || is_reader || self.has_waited_long(now, me, hosts)
    }

    fn has_waited_long(&self, now: Moment, me: SocketAddr, hosts: &[Host]) -> bool {
        let rank = hosts.iter().filter(|host| host.address < me).count() as u32;
        let patience = PATIENCE + PATIENCE_STEP * rank;
        self.first_found_at
            .is_some_and(|found_at| now.since(found_at) >= patience)
    }

    /// Peer to ask: a reader at first, and then mostly any host, as any may have all keys by now.
    fn peer(&self, now: Moment, me: SocketAddr, readers: &mut Readers, hosts: &[Host]) -> Option<SocketAddr> {
        let reader = match readers.preferred(now, me, hosts) {
            Source::Peer(peer) if self.asked.is_multiple_of(READER_TURN) => Some(peer),
            Source::Peer(_) | Source::Store => None,
        };
        reader.or_else(|| readers.random_peer(now, me, hosts, self.asked))
    }

    /// Records that the presences were read, or could not be.
    pub fn found(&mut self, now: Moment, succeeded: bool, draw: u32) {
        match succeeded {
            true => {
                self.first_found_at.get_or_insert(now);
                self.found_at = Some(now);
                self.backoff.reset();
            }
            false => self.pause(now, draw),
        }
    }

    /// Records the reply of a peer that has not sent all keys.
    pub fn asked(&mut self, now: Moment, reply: Reply, peer: SocketAddr, readers: &mut Readers, draw: u32) {
        self.asked += 1;
        self.list_failed = false;
        match reply {
            Reply::Starting => self.paused_until = now + backoff::jittered(ASK_INTERVAL, draw),
            Reply::Failed => {
                readers.mark_unresponsive(now, peer);
                self.pause(now, draw);
            }
        }
    }

    /// Records that the store did not send all keys; what has come is kept by the caller.
    pub fn list_failed(&mut self, now: Moment, draw: u32) {
        self.list_failed = true;
        self.pause(now, draw);
    }

    fn pause(&mut self, now: Moment, draw: u32) {
        self.paused_until = now + self.backoff.pause(draw);
    }
}
