//! The retry loop: tries one runner after the other until one of them answers.
//!
//! Both fronts send their requests through [`run`]. What differs between them (how a runner
//! is selected, what is sent, what counts as an answer) is an implementation of [`Attempts`].
//! Whether another attempt is allowed is decided in [`radishstair_core::retry`].

use radishstair_core::retry::Fault;

/// Why an attempt produced no answer.
#[derive(Clone, Debug)]
pub enum AttemptError<E> {
    /// The attempt failed at this runner; another runner may be tried.
    Failed(Fault),
    /// The request failed; no other runner is tried.
    Final(E),
}

/// A request that may be attempted at several runners.
pub trait Attempts {
    /// A slot at a runner; the attempt for which it was acquired releases it.
    type Permit: Send;
    /// The answer for the caller.
    type Answer: Send;
    /// The error for the caller if there is no answer.
    type Error: Send;

    /// Acquires a slot at a runner that was not tried yet.
    fn acquire(&mut self) -> impl Future<Output = Result<Self::Permit, Self::Error>> + Send;

    /// Sends the request to that runner once.
    fn attempt(
        &mut self,
        permit: Self::Permit,
    ) -> impl Future<Output = Result<Self::Answer, AttemptError<Self::Error>>> + Send;

    /// Records a failed attempt; returns the final error if no other attempt is allowed.
    fn record_failure(&mut self, fault: Fault) -> Option<Self::Error>;
}

/// Tries runners until one answers or no other attempt is allowed.
///
/// # Errors
///
/// The error for the caller.
pub async fn run<A: Attempts>(attempts: &mut A) -> Result<A::Answer, A::Error> {
    loop {
        let permit = attempts.acquire().await?;
        let fault = match attempts.attempt(permit).await {
            Ok(answer) => return Ok(answer),
            Err(AttemptError::Final(err)) => return Err(err),
            Err(AttemptError::Failed(fault)) => fault,
        };
        if let Some(err) = attempts.record_failure(fault) {
            return Err(err);
        }
        // If many connections were reset together, those in the pool notice it before the next attempt.
        tokio::task::yield_now().await;
    }
}
