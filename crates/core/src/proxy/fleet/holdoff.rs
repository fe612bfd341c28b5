//! Runners that ask this host to send them nothing for some time.
//!
//! A runner that rejects a request may say how long the host should wait. It says so to one host, for the life
//! of its process. Whatever comes after it, the latest end binds.
//!
//! After the end the host does not know whether the runner takes requests again, and neither do other hosts whose time may
//! end at the same moment. Each host therefore begins at a moment of its own shortly after the end, and sends one
//! request at a time, with a pause, until the runner has taken one.

use std::time::Duration;

mod peers;

pub(super) use peers::Peers;
pub use peers::Report;

use super::clearance::Deferral;
use super::notice::Malformed;
use super::{Fleet, Key, Runner};
use crate::id::rendezvous_weight;
use crate::time::Moment;

/// Longest time for which a host waits, whatever a runner asks. A runner that names a longer one by mistake is used
/// again without a restart, and one that means it gets a request an hour.
const MAX_WAIT: Duration = Duration::from_secs(3_600);
/// Time between the first requests after the end, until the runner has taken one.
const RESUME_INTERVAL: Duration = Duration::from_millis(100);
/// Time over which the first requests of all hosts are spread: a part for each, and the maximum.
const SPREAD_PER_HOST: Duration = Duration::from_millis(20);
const MAX_SPREAD: Duration = Duration::from_secs(2);

plain! {
    /// Time for which a runner asks a host to wait, an hour at most.
    #[derive(Copy, Eq)]
    pub struct Wait(Duration);
}

impl Wait {
    /// This time, or the longest one.
    pub fn new(length: Duration) -> Self {
        Self(length.min(MAX_WAIT))
    }

    /// How long it is.
    pub fn length(self) -> Duration {
        self.0
    }
}

plain! {
    /// What a rejection says about the time to wait.
    #[derive(Copy, Default, Eq)]
    pub enum Notice {
        /// Nothing.
        #[default]
        Absent,
        /// This host should wait for so long.
        For(Wait),
        /// Something that cannot be read, and changes nothing.
        Malformed,
    }
}

impl Notice {
    /// Time to wait in milliseconds, for log lines.
    pub fn wait_ms(self) -> Option<u64> {
        match self {
            Notice::For(wait) => Some(wait.length().as_millis() as u64),
            Notice::Absent | Notice::Malformed => None,
        }
    }
}

plain! {
    /// How the hold-off of a runner has changed.
    #[derive(Copy, Eq)]
    pub enum Change {
        /// The host waits for so long from now on.
        Begun(Duration),
        /// It waits for longer than before: for so long from now on.
        Extended(Duration),
        /// The runner has answered a request that was sent after the end.
        Ended,
        /// What the runner asks for cannot be read.
        Malformed,
    }
}

plain! {
    /// Hold-off of one runner.
    #[derive(Copy, Default)]
    pub(super) struct State {
        /// Latest end that the runner has asked for, until it has answered a request that was sent after it.
        until: Option<Moment>,
        /// Earliest time of this host's next request.
        next_send: Moment,
        /// What the runner says and cannot be read.
        malformed: Malformed,
    }
}

impl State {
    /// Records what a rejection says. The latest end binds: a rejection that names an earlier one, or none, may answer
    /// an older request.
    ///
    /// The first request is sent `delay` after the end.
    fn record(&mut self, now: Moment, notice: Notice, delay: Duration) -> Option<Change> {
        let length = match notice {
            Notice::Absent => return None,
            Notice::For(wait) => wait.length(),
            Notice::Malformed => return self.malformed.record(now).then_some(Change::Malformed),
        };
        let until = now + length;
        if length.is_zero() || self.until.is_some_and(|known| known.reached(until)) {
            return None;
        }
        let was_held = self.is_held(now);
        self.until = Some(until);
        self.next_send = until + delay;
        Some(match was_held {
            true => Change::Extended(length),
            false => Change::Begun(length),
        })
    }

    /// Records an answer other than a rejection to a request that was sent at `sent`.
    fn record_answer(&mut self, sent: Moment) -> Option<Change> {
        self.until.filter(|until| sent.reached(*until))?;
        self.until = None;
        Some(Change::Ended)
    }

    /// Records that a request is placed on the runner.
    pub(super) fn record_send(&mut self, now: Moment) {
        if self.is_active() {
            self.next_send = now + RESUME_INTERVAL;
        }
    }

    /// Until when this host may place no request on the runner.
    pub(super) fn deferral(&self, now: Moment) -> Deferral {
        match self.is_active() {
            true => Deferral::until(now, self.next_send),
            false => Deferral::None,
        }
    }

    /// Whether a request that was placed at `placed` may be sent: nothing was asked for, or it was placed after
    /// the end.
    pub(super) fn admits(&self, now: Moment, placed: Moment) -> bool {
        self.until
            .is_none_or(|until| now.reached(until) && placed.reached(until))
    }

    /// Whether the runner has asked this host to wait, and has taken no request since the end.
    pub(super) fn is_active(&self) -> bool {
        self.until.is_some()
    }

    /// Time for which the runner still wants nothing from this host.
    fn remaining(&self, now: Moment) -> Duration {
        self.until.map(|until| now.until(until)).unwrap_or_default()
    }

    /// Whether the runner wants nothing from this host now.
    pub(super) fn is_held(&self, now: Moment) -> bool {
        self.until.is_some_and(|until| !now.reached(until))
    }
}

impl Runner {
    /// Whether it wants nothing from this host now.
    pub fn is_held_off(&self, now: Moment) -> bool {
        self.hold_off.is_held(now)
    }
}

impl Fleet {
    /// Records what a runner's rejection says about the time to wait; returns what has changed.
    pub fn record_hold_off(&mut self, now: Moment, key: Key, notice: Notice) -> Option<Change> {
        let delay = self.resume_delay(self.get(key)?);
        let change = self.get_mut(key)?.hold_off.record(now, notice, delay);
        if matches!(change, Some(Change::Begun(_) | Change::Extended(_))) {
            self.note_own_hold_off();
        }
        change
    }

    /// Time after the end of a hold-off until this host's first request: a part of the time over which all hosts are
    /// spread.
    fn resume_delay(&self, runner: &Runner) -> Duration {
        let hosts = u32::try_from(self.all_hosts.len()).unwrap_or(u32::MAX);
        let spread = SPREAD_PER_HOST.saturating_mul(hosts).min(MAX_SPREAD);
        let draw = rendezvous_weight(runner.hash, self.own_host);
        spread.mul_f64(draw as f64 / u64::MAX as f64)
    }

    /// Records an answer other than a rejection to a request that was sent at `sent`.
    pub fn record_acceptance(&mut self, key: Key, sent: Moment) -> Option<Change> {
        self.get_mut(key)?.hold_off.record_answer(sent)
    }

    /// Number of runners that want nothing from this host now.
    pub fn count_held_off(&self, now: Moment) -> usize {
        let is_held = |runner: &&Runner| runner.hold_off.is_held(now);
        self.arena.iter().filter(is_held).count()
    }
}
