//! A request's place on a runner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishstair_core::proxy::fleet::{Attempt, Key};
use radishstair_core::proxy::latency::Conditions;
use radishstair_core::time::Moment;

use super::Shared;

/// A place on a runner; dropping it gives the place back.
#[derive(Debug)]
pub struct Slot {
    pub(super) shared: Arc<Shared>,
    /// The runner.
    pub key: Key,
    /// Its id.
    pub id: String,
    pub(super) address: SocketAddr,
    pub(super) work: u64,
    pub(super) held: u64,
    pub(super) outlook: Conditions,
    /// When the request was sent there.
    pub(super) sent: Option<Moment>,
    /// Where a runner listens that has read the beginning of the prompt.
    pub(super) source: Option<SocketAddr>,
}

impl Slot {
    /// The runner has read the prompt; its first event came.
    pub fn read(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state.fleet.finish_prefill(self.key, self.work);
        if let Some(sent) = self.sent.filter(|_| self.work > 0) {
            state.record_first_event(self.key, &self.outlook, now.since(sent));
        }
        self.work = 0;
    }

    /// The runner has read what it had before as well as the prompt; that tells nothing of
    /// its pace.
    pub fn read_again(&mut self) {
        self.shared.state().fleet.finish_prefill(self.key, self.work);
        self.work = 0;
    }

    /// An event came, `pause` after the one before.
    pub fn event(&self, pause: Duration) {
        self.shared.state().record_event(self.key, pause);
    }

    /// Tells of the runner's health.
    pub fn sign(&self, sign: Attempt) {
        let now = self.shared.now();
        self.shared.state().fleet.record_attempt(now, self.key, sign);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state.fleet.finish_request(self.key, self.work, self.held);
        if let Some(sent) = self.sent.filter(|_| self.outlook.prompt_tokens > 0) {
            state.record_residence(self.key, now.since(sent));
        }
    }
}
