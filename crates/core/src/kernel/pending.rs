//! The outstanding request of a service to the store, of which there is at
//! most one.

use super::Outbox;
use crate::store::{Call, Token};

/// Token of the newest request.
///
/// A process that was suspended receives late answers when it resumes. If the
/// "written" of an old request were taken for the answer to a newer one, the
/// process would act as a lease holder although its new write has not arrived.
/// Only the answer to the newest request is therefore accepted.
#[derive(Debug, Default)]
pub struct Pending(Option<Token>);

impl Pending {
    /// Sends the request, if there is one, in place of any earlier one.
    pub fn send(&mut self, from: &'static str, call: Option<Call>, outbox: &mut Outbox) {
        if let Some(call) = call {
            self.0 = Some(outbox.call_store(from, call));
        }
    }

    /// Whether the token is that of the newest request, which then counts as
    /// answered.
    pub fn accept(&mut self, token: Token) -> bool {
        let matches = self.0 == Some(token);
        if matches {
            self.0 = None;
        }
        matches
    }
}
