//! Request ids that a connection has carried.
//!
//! A runner may send an answer once more, late, where the next one on its connection is due. The request id in it tells whose
//! answer it is, unless that id is under way on the same connection again. So an id is sent at most once on a connection,
//! whatever became of the request before, and the connection is closed when it has carried as many ids as are kept.

use crate::id::digest;

/// Ids that are kept for a connection, 8 bytes each.
const MAX_IDS: usize = 128;

plain! {
    /// The ids, as sorted digests. Ids with the same digest count as one, which only costs another connection.
    #[derive(Default)]
    pub struct Ids {
        digests: Vec<u64>,
        last: Option<u64>,
    }
}

impl Ids {
    /// Records that a request with this id is sent.
    pub fn record(&mut self, id: &str) {
        let digest = digest(id.as_bytes());
        self.last = Some(digest);
        if let Err(at) = self.digests.binary_search(&digest) {
            self.digests.insert(at, digest);
        }
    }

    /// Whether a request with this id was sent.
    pub fn contains(&self, id: &str) -> bool {
        self.digests.binary_search(&digest(id.as_bytes())).is_ok()
    }

    /// Whether the last request of another connection was sent on this one too.
    pub fn contains_last(&self, other: &Ids) -> bool {
        other
            .last
            .is_some_and(|last| self.digests.binary_search(&last).is_ok())
    }

    /// Number of ids.
    pub fn count(&self) -> usize {
        self.digests.len()
    }

    /// Whether no further id can be kept.
    pub fn is_full(&self) -> bool {
        self.digests.len() >= MAX_IDS
    }
}
