//! Guards that give back what a call holds, however its task ends.

use std::sync::Arc;

use radishstair_core::dispatch::{Assignment, Outcome, Submission};
use radishstair_core::error::{Kind, Refusal};
use radishstair_core::id::CallId;
use radishstair_core::kernel::{Event, Reply};

use crate::handle::Handle;

/// A call that waits for a runner; forgotten when its caller goes away.
pub struct Waiting<'a> {
    pub handle: &'a Arc<Handle>,
    pub call: CallId,
    pub done: bool,
}

impl Waiting<'_> {
    pub async fn wait(mut self, seek: Submission) -> Result<Assignment, Refusal> {
        let reply = self.handle.request(self.call, Event::Acquire(seek)).await;
        self.done = true;
        match reply {
            Ok(Reply::Start(start)) => Ok(start),
            Ok(Reply::Refused(refusal)) => Err(refusal),
            _ => Err(Kind::Stopping.into()),
        }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.handle.notify(Event::Cancel(self.call));
        }
    }
}

/// A call on a runner; its place is given back however it ends.
pub struct Running<'a> {
    pub handle: &'a Arc<Handle>,
    pub call: CallId,
    pub outcome: Outcome,
}

impl Running<'_> {
    pub fn finish(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.handle.notify(Event::Release {
            call: self.call,
            outcome: self.outcome.clone(),
        });
    }
}
