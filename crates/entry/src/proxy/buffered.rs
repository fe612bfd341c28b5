//! Forwarding of requests whose response is buffered until it is complete.

use http_body_util::BodyExt;
use hyper::Response;
use radishstair_core::error::Refusal;
use radishstair_core::proxy::route::Mode;
use radishstair_core::retry::Fault;

use super::forward::{AttemptError, Forwarder};
use super::job::{AttemptLog, Job};
use super::reply::{self, Body};
use super::slot::Slot;
use crate::upstream::attempts::{self, Attempts};

/// Attempts at forwarding one buffered request.
struct Buffered<'a> {
    forwarder: &'a Forwarder,
    job: &'a Job,
    log: &'a mut AttemptLog,
    /// Last server error of a runner, forwarded if no other runner succeeds.
    failure: Option<Response<Body>>,
}

impl Attempts for Buffered<'_> {
    type Permit = Slot;
    type Answer = Response<Body>;
    type Error = Refusal;

    async fn acquire(&mut self) -> Result<Slot, Refusal> {
        self.forwarder.acquire_slot(self.job, self.log).await
    }

    async fn attempt(&mut self, slot: Slot) -> Result<Response<Body>, AttemptError> {
        let response = self.forwarder.send(self.job, None, slot, self.log).await?;
        let collected = self.forwarder.read_response(self.job, response).await;
        let (parts, body) = collected.ok_or(AttemptError::Failed(Fault::MayHaveRun))?;
        let reply = reply::from_runner(&parts, body.boxed_unsync());
        // A repeatable request that failed with a server error may succeed on another runner.
        if parts.status.is_server_error() && self.job.admission.route.mode == Mode::Repeatable {
            self.failure = Some(reply);
            return Err(AttemptError::Failed(Fault::MayHaveRun));
        }
        Ok(reply)
    }

    fn record_failure(&mut self, fault: Fault) -> Option<Refusal> {
        self.forwarder.record_failure(self.job, self.log, fault)
    }
}

impl Forwarder {
    /// Forwards a request until a runner has returned a complete response.
    ///
    /// # Errors
    ///
    /// The refusal for the caller.
    pub async fn forward_buffered(&self, job: &Job, log: &mut AttemptLog) -> Result<Response<Body>, Refusal> {
        let mut buffered = Buffered {
            forwarder: self,
            job,
            log,
            failure: None,
        };
        let result = attempts::run(&mut buffered).await;
        result.or_else(|refusal| buffered.failure.take().ok_or(refusal))
    }
}
