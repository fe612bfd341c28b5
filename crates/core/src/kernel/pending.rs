//! The outstanding request to the store: one at a time.

use super::Outbox;
use crate::store::{Call, Token};

/// Remembers the newest request.
///
/// A process that was frozen finds old answers waiting. Taken for the answer
/// to a newer question, an old "written" would make a holder of a process whose
/// new write has not even arrived; so only the newest question's answer counts.
#[derive(Debug, Default)]
pub struct Pending(Option<Token>);

impl Pending {
    /// Asks, if there is something to ask.
    pub fn send(&mut self, from: &'static str, call: Option<Call>, outbox: &mut Outbox) {
        if let Some(call) = call {
            self.0 = Some(outbox.call_store(from, call));
        }
    }

    /// Whether this is the awaited answer; it is awaited no longer.
    pub fn accept(&mut self, token: Token) -> bool {
        let awaited = self.0 == Some(token);
        if awaited {
            self.0 = None;
        }
        awaited
    }
}
