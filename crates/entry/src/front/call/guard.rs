//! Guards that release what a call holds, however its task ends.

use std::sync::Arc;

use radishstair_core::dispatch::{Assignment, Outcome, Submission};
use radishstair_core::error::{Kind, Refusal};
use radishstair_core::id::CallId;
use radishstair_core::kernel::{Event, Reply};

use crate::handle::Handle;

/// A call in the dispatcher's queue, cancelled on drop unless it was answered.
pub struct QueuedCall<'a> {
    pub handle: &'a Arc<Handle>,
    pub call: CallId,
    pub done: bool,
}

impl QueuedCall<'_> {
    /// Waits until the dispatcher assigns a runner or refuses the call.
    pub async fn wait(mut self, submission: Submission) -> Result<Assignment, Refusal> {
        let reply = self.handle.request(self.call, Event::Acquire(submission)).await;
        self.done = true;
        match reply {
            Ok(Reply::Start(assignment)) => Ok(assignment),
            Ok(Reply::Refused(refusal)) => Err(refusal),
            _ => Err(Kind::Stopping.into()),
        }
    }
}

impl Drop for QueuedCall<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.handle.notify(Event::Cancel(self.call));
        }
    }
}

/// A call on a runner; its slot is released on drop, with `outcome`.
pub struct RunningCall<'a> {
    pub handle: &'a Arc<Handle>,
    pub call: CallId,
    pub outcome: Outcome,
}

impl RunningCall<'_> {
    /// Releases the slot with the outcome of the call.
    pub fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for RunningCall<'_> {
    fn drop(&mut self) {
        self.handle.notify(Event::Release {
            call: self.call,
            outcome: self.outcome.clone(),
        });
    }
}
