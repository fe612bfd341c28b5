//! A request's reservation on a runner.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishstair_core::proxy::fleet::{Key, Sign};
use radishstair_core::proxy::pace::Outlook;
use radishstair_core::time::Moment;

use super::Shared;

/// A reservation on a runner; dropping it releases the runner's load.
#[derive(Debug)]
pub struct Slot {
    pub(super) shared: Arc<Shared>,
    /// Key of the runner in the fleet.
    pub key: Key,
    /// Id of the runner.
    pub id: String,
    /// Address of the runner.
    pub(super) address: SocketAddr,
    /// Time to read the prompt, in microseconds; 0 once it has been read.
    pub(super) read_work_us: u64,
    /// Tokens that the request holds in the runner's memory at its end.
    pub(super) held_tokens: u64,
    /// State of the runner when it was chosen, to which its first event is compared.
    pub(super) outlook: Outlook,
    /// Time at which the request was sent to the runner.
    pub(super) sent_at: Option<Moment>,
    /// Address of a runner whose cache holds the beginning of the prompt.
    pub(super) cache_source: Option<SocketAddr>,
}

impl Slot {
    /// Records that the runner has read the prompt, as its first event arrived.
    pub fn prompt_read(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state.fleet.read(self.key, self.read_work_us);
        if let Some(sent_at) = self.sent_at.filter(|_| self.read_work_us > 0) {
            state.first_event(self.key, &self.outlook, now.since(sent_at));
        }
        self.read_work_us = 0;
    }

    /// Records that the runner of a resumed stream has read the prompt.
    ///
    /// The runner has read the earlier events as well as the prompt, so the time taken
    /// is no measure of its speed.
    pub fn prompt_read_again(&mut self) {
        self.shared.state().fleet.read(self.key, self.read_work_us);
        self.read_work_us = 0;
    }

    /// Records an event that arrived `pause` after the previous one.
    pub fn record_event(&self, pause: Duration) {
        self.shared.state().event(self.key, pause);
    }

    /// Reports an observation of the runner's health to the fleet.
    pub fn report(&self, sign: Sign) {
        let now = self.shared.now();
        self.shared.state().fleet.sign(now, self.key, sign);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.shared.now();
        let mut state = self.shared.state();
        state.fleet.end(self.key, self.read_work_us, self.held_tokens);
        if let Some(sent_at) = self.sent_at.filter(|_| self.outlook.prompt > 0) {
            state.left(self.key, now.since(sent_at));
        }
    }
}
