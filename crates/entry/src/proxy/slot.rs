//! A request's reservation on a runner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishstair_core::proxy::fleet::notice::{Answer, Notices};
use radishstair_core::proxy::fleet::{AttemptResult, Key, Software, Way};
use radishstair_core::proxy::latency::Conditions;
use radishstair_core::proxy::reach::Failure;
use radishstair_core::time::Moment;

use super::gossip::address_hash;
use super::job::Job;
use super::stream::copies::{Copied, Handle};
use super::{Shared, notices, paths};

/// A reservation on a runner; dropping it releases the runner's load.
#[derive(Debug)]
pub struct Slot {
    pub(super) shared: Arc<Shared>,
    /// Key of the runner in the fleet.
    pub key: Key,
    /// Id of the runner.
    pub id: String,
    /// Software that the runner registered when it was chosen.
    pub software: Software,
    /// Address of the runner.
    pub(super) address: SocketAddr,
    /// Way on which the request is sent.
    pub(super) way: Way,
    /// Peer that relays the connection on which the request was sent.
    pub(super) relay: Option<SocketAddr>,
    /// Time to prefill the prompt, in microseconds; 0 once that has finished.
    pub(super) prefill_us: u64,
    /// Tokens of the runner's KV cache that the request occupies at its end.
    pub(super) kv_tokens: u64,
    /// Conditions on the runner when it was chosen; its first event is compared with them.
    pub(super) conditions: Conditions,
    /// Time at which the runner was chosen.
    pub(super) placed_at: Moment,
    /// Time at which the request was sent to the runner.
    pub(super) sent_at: Option<Moment>,
    /// Address of a runner whose cache holds the beginning of the prompt.
    pub(super) cache_source: Option<SocketAddr>,
    /// KV cache from which the request continues.
    pub(super) continue_from: Option<Handle>,
    /// Copy that the runner makes of the request's KV cache.
    pub(super) copy: Option<Copied>,
}

impl Slot {
    /// Time since the request was sent to the runner, in microseconds, for log lines.
    pub(super) fn sent_for_us(&self, now: Moment) -> Option<u64> {
        let sent_for = self.sent_at.map(|sent_at| now.since(sent_at));
        sent_for.map(|time| time.as_micros() as u64)
    }

    /// Records that prefill has finished, as the first event arrived.
    pub fn finish_prefill(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state.fleet.finish_prefill(self.key, self.prefill_us);
        if let Some(sent_at) = self.sent_at.filter(|_| self.prefill_us > 0) {
            state.record_first_event(now, self.key, &self.conditions, now.since(sent_at));
        }
        self.prefill_us = 0;
    }

    /// Records that prefill of a resumed stream has finished.
    ///
    /// The runner has read the earlier events as well as the prompt, so the time taken
    /// is no measure of its speed.
    pub fn finish_resumed_prefill(&mut self) {
        self.shared
            .state()
            .fleet
            .finish_prefill(self.key, self.prefill_us);
        self.prefill_us = 0;
    }

    /// Records an event that arrived `pause` after the previous one, if that is known.
    pub fn record_event(&self, now: Moment, pause: Option<Duration>) {
        let mut state = self.shared.state();
        if let Some(pause) = pause {
            state.record_event(self.key, pause);
        }
        state.fleet.record_output(self.key);
        state.fleet.hear(now, self.key);
        if self.way == Way::Direct {
            state.record_heard(now, self.key);
        }
    }

    /// Records that the runner has sent the head of a response.
    pub fn record_response(&self, now: Moment) {
        let mut state = self.shared.state();
        state.fleet.record_contact(now, self.key);
        state.fleet.record_output(self.key);
        state.fleet.hear(now, self.key);
        if self.way == Way::Direct {
            state.record_heard(now, self.key);
        }
    }

    /// Records the outcome of an attempt on the runner.
    pub fn record_attempt(&self, result: AttemptResult) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        match self.way {
            Way::Direct => state.fleet.record_attempt(now, self.key, result),
            Way::Relayed => {
                let sent = self.sent_at.unwrap_or(now);
                state.fleet.record_relayed_attempt(now, self.key, sent, result);
            }
        }
    }

    /// Records what the runner says about itself in its answer to a request.
    pub fn record_notices(&self, now: Moment, job: &Job, answer: Answer, notices: &Notices) {
        let sent = self.sent_at.unwrap_or(now);
        let changes = {
            let mut state = self.shared.state();
            let fleet = &mut state.fleet;
            if let Some(peer) = self.relay.filter(|_| answer == Answer::Rejected) {
                fleet.record_peer_hold_off(now, self.key, address_hash(peer), notices.hold_off);
            }
            fleet.record_notices(now, self.key, sent, answer, notices)
        };
        if changes.has_begun_to_leave || changes.hold_off.is_some() {
            self.shared.load_changed.notify_one();
        }
        notices::log(job, &self.id, &changes);
    }

    /// Has the path to the service probed, as a connection has broken off.
    pub fn suspect_path(&self) {
        if self.way == Way::Direct {
            let now = self.shared.now();
            self.shared.state().suspect_path(now, self.key);
            self.shared.path_suspected.notify_one();
        }
    }

    /// Records that this host could not reach the runner.
    pub fn record_unreachable(&self, result: AttemptResult, failure: Failure) {
        let now = self.shared.now();
        let change = self
            .shared
            .state()
            .record_unreachable(now, self.key, result, failure);
        self.shared.load_changed.notify_one();
        paths::on_failure(&self.shared, self.key, change);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state
            .fleet
            .finish_request(self.key, self.prefill_us, self.kv_tokens);
        if let Some(sent_at) = self.sent_at.filter(|_| self.conditions.prompt_tokens > 0) {
            state.record_residence(self.key, now.since(sent_at));
        }
        drop(state);
        self.shared.slot_released.notify_waiters();
    }
}
