//! Writes of several hosts in one transaction of the store.
//!
//! Each call to the store has a cost, and hundreds of hosts that each write their own record
//! after a window make hundreds of calls. A host sends its record to a collector in its zone
//! instead, which writes those that arrive together at once. A transaction is carried out as a
//! whole or not at all, so a record with an outdated version would hold up the others: it is left
//! out, and the rest is written again.

use prost::Message;

use crate::store::{Answer, Call, Write};

/// Maximum number of writes in one transaction; each also has a condition, and the store accepts
/// 32 entries.
pub const MAX_WRITES: usize = 16;

plain! {
    /// Result of one write.
    #[derive(Copy, Eq)]
    pub enum WriteResult {
        /// Written, with this new version.
        Written(u64),
        /// Not written: the key has this version.
        Conflict(u64),
        /// Not written, or no answer.
        Failed,
    }
}

/// A write that a host asks a collector for.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Row {
    /// Name of the key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Expected version of the key.
    #[prost(uint64, tag = "2")]
    pub expect: u64,
    /// New value.
    #[prost(string, tag = "3")]
    pub value: String,
}

/// A collector's answer to a host.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub struct RowResult {
    /// Whether the row was written.
    #[prost(bool, tag = "1")]
    pub written: bool,
    /// Current version of the key.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

impl From<Row> for Write {
    fn from(row: Row) -> Self {
        Self {
            key: row.key,
            expect: row.expect,
            value: row.value,
        }
    }
}

impl From<RowResult> for WriteResult {
    fn from(row: RowResult) -> Self {
        match row.written {
            true => Self::Written(row.version),
            false => Self::Conflict(row.version),
        }
    }
}

/// Several writes and their results so far.
#[derive(Debug)]
pub struct Batch {
    writes: Vec<Write>,
    results: Vec<Option<WriteResult>>,
}

impl Batch {
    /// A batch of which nothing is written yet.
    pub fn new(writes: Vec<Write>) -> Self {
        Self {
            results: vec![None; writes.len()],
            writes,
        }
    }

    /// Next call to the store; `None` once each write has a result.
    pub fn next_call(&self) -> Option<Call> {
        let pending = self.writes.iter().zip(&self.results);
        let writes: Vec<Write> = pending
            .filter(|(_, result)| result.is_none())
            .map(|(write, _)| write.clone())
            .collect();
        (!writes.is_empty()).then_some(Call::Batch { writes })
    }

    /// Handles the answer to the last call.
    pub fn on_answer(&mut self, answer: &Answer) {
        match answer {
            Answer::Written(version) => self.resolve_rest(WriteResult::Written(*version)),
            Answer::Conflicts(entries) => {
                let mut has_conflict = false;
                for (write, result) in self.writes.iter().zip(&mut self.results) {
                    let entry = entries.iter().find(|entry| entry.key == write.key);
                    let version = entry.map_or(0, |entry| entry.version);
                    if result.is_none() && version != write.expect {
                        *result = Some(WriteResult::Conflict(version));
                        has_conflict = true;
                    }
                }
                if !has_conflict {
                    // Without a conflict to leave out, the same call would be made forever.
                    self.resolve_rest(WriteResult::Failed);
                }
            }
            Answer::Conflict(_) | Answer::Found(_) | Answer::Same | Answer::Refused | Answer::Lost => {
                self.resolve_rest(WriteResult::Failed);
            }
        }
    }

    /// Result of each write, in order.
    pub fn results(self) -> Vec<WriteResult> {
        let results = self.results.into_iter();
        results
            .map(|result| result.unwrap_or(WriteResult::Failed))
            .collect()
    }

    fn resolve_rest(&mut self, result: WriteResult) {
        for pending in self.results.iter_mut().filter(|result| result.is_none()) {
            *pending = Some(result);
        }
    }
}
