//! Plain requests: an answer is held until it is whole.

use hyper::Response;
use radishstair_core::error::Refusal;
use radishstair_core::proxy::route::Mode;
use radishstair_core::repeat::Fault;

use super::forward::{AttemptError, Forwarder};
use super::job::{History, Job};
use super::reply::{self, Body};
use super::slot::Slot;
use crate::upstream::attempts::{self, Attempts};

struct Buffered<'a> {
    forwarder: &'a Forwarder,
    job: &'a Job,
    history: &'a mut History,
    /// A runner's own failure, passed on if no other runner does better.
    failure: Option<Response<Body>>,
}

impl Attempts for Buffered<'_> {
    type Place = Slot;
    type Answer = Response<Body>;
    type End = Refusal;

    async fn place(&mut self) -> Result<Slot, Refusal> {
        self.forwarder.reserve_slot(self.job, self.history)
    }

    async fn attempt(&mut self, slot: Slot) -> Result<Response<Body>, AttemptError> {
        let response = self.forwarder.send(self.job, None, slot, self.history).await?;
        let collected = self.forwarder.read_response(self.job, response).await;
        let (parts, body) = collected.ok_or(AttemptError::Failed(Fault::Broken))?;
        let answer = reply::whole(&parts, body);
        // A service's own failure of a repeatable request may pass at another runner.

        if parts.status.is_server_error() && self.job.admission.route.mode == Mode::Repeatable {
            self.failure = Some(answer);
            return Err(AttemptError::Failed(Fault::Broken));
        }
        Ok(answer)
    }

    fn fail(&mut self, fault: Fault) -> Option<Refusal> {
        self.forwarder.record_failure(self.job, self.history, fault)
    }
}

impl Forwarder {
    /// Has a plain request run and returns its whole answer.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub async fn forward_buffered(
        &self,
        job: &Job,
        history: &mut History,
    ) -> Result<Response<Body>, Refusal> {
        let mut buffered = Buffered {
            forwarder: self,
            job,
            history,
            failure: None,
        };
        let result = attempts::run(&mut buffered).await;
        result.or_else(|refusal| buffered.failure.take().ok_or(refusal))
    }
}
