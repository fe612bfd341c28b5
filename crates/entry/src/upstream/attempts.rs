//! A request's way over runners, one after the other, until one of them answers.
//!
//! Both fronts send through [`run`]. What differs between them (how a runner is found,
//! what is sent, what counts as an answer) is an [`Attempts`]; whether one more runner may
//! follow is decided in [`radishstair_core::retry`].

use radishstair_core::retry::Fault;

/// Why an attempt brought no answer.
#[derive(Clone, Debug)]
pub enum AttemptError<E> {
    /// It failed at this runner; another one may follow.
    Failed(Fault),
    /// The request is over.
    Final(E),
}

/// One request on its way.
pub trait Attempts {
    /// A place at a runner; dropping it gives it back.
    type Permit: Send;
    /// What the caller gets.
    type Answer: Send;
    /// What the caller gets instead.
    type Error: Send;

    /// A place at a runner that was not tried yet.
    fn acquire(&mut self) -> impl Future<Output = Result<Self::Permit, Self::Error>> + Send;

    /// One attempt there.
    fn attempt(
        &mut self,
        permit: Self::Permit,
    ) -> impl Future<Output = Result<Self::Answer, AttemptError<Self::Error>>> + Send;

    /// Takes note of a failed attempt; how the request ends, if no other may follow.
    fn record_failure(&mut self, fault: Fault) -> Option<Self::Error>;
}

/// Tries runners until one answers or no other may follow.
///
/// # Errors
///
/// What the caller gets instead of an answer.
pub async fn run<A: Attempts>(attempts: &mut A) -> Result<A::Answer, A::Error> {
    loop {
        let permit = attempts.acquire().await?;
        let fault = match attempts.attempt(permit).await {
            Ok(answer) => return Ok(answer),
            Err(AttemptError::Final(end)) => return Err(end),
            Err(AttemptError::Failed(fault)) => fault,
        };
        if let Some(end) = attempts.record_failure(fault) {
            return Err(end);
        }
    }
}
