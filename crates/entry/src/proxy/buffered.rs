//! Plain requests: an answer is held until it is whole.

use hyper::Response;
use radishstair_core::error::Refusal;
use radishstair_core::proxy::route::Mode;
use radishstair_core::retry::Fault;

use super::forward::{Forwarder, Halt};
use super::job::{Job, Tries};
use super::reply::{self, Body};
use super::slot::Slot;
use crate::upstream::attempts::{self, Attempts};

struct Buffered<'a> {
    forwarder: &'a Forwarder,
    job: &'a Job,
    tries: &'a mut Tries,
    /// A runner's own failure, passed on if no other runner does better.
    failure: Option<Response<Body>>,
}

impl Attempts for Buffered<'_> {
    type Permit = Slot;
    type Answer = Response<Body>;
    type Error = Refusal;

    async fn acquire(&mut self) -> Result<Slot, Refusal> {
        self.forwarder.place(self.job, self.tries)
    }

    async fn attempt(&mut self, slot: Slot) -> Result<Response<Body>, Halt> {
        let opened = self.forwarder.open(self.job, None, slot, self.tries).await?;
        let collected = self.forwarder.collect(self.job, opened).await;
        let (parts, body) = collected.ok_or(Halt::Failed(Fault::MayHaveRun))?;
        let answer = reply::whole(&parts, body);
        // A service's own failure of a repeatable request may pass at another runner.

        if parts.status.is_server_error() && self.job.admission.route.mode == Mode::Repeatable {
            self.failure = Some(answer);
            return Err(Halt::Failed(Fault::MayHaveRun));
        }
        Ok(answer)
    }

    fn record_failure(&mut self, fault: Fault) -> Option<Refusal> {
        self.forwarder.fail(self.job, self.tries, fault)
    }
}

impl Forwarder {
    /// Has a plain request run and returns its whole answer.
    ///
    /// # Errors
    ///
    /// The refusal that the caller gets.
    pub async fn forward_buffered(&self, job: &Job, tries: &mut Tries) -> Result<Response<Body>, Refusal> {
        let mut buffered = Buffered {
            forwarder: self,
            job,
            tries,
            failure: None,
        };
        let result = attempts::run(&mut buffered).await;
        result.or_else(|refusal| buffered.failure.take().ok_or(refusal))
    }
}
