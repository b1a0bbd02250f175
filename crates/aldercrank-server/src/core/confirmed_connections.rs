//! The connections whose requests the worker pool is known to know.
//!
//! Only a start command shows whether the worker pool knows an attempt id. A read that shares the result of another one
//! is never started, so its own id is never checked; its connection is evidence instead. A connection is confirmed once
//! the pool has run a request of it, and until the pool answers that it does not know one. Reads on other connections
//! share no results: they are not answered with another's, and no other read waits for theirs.
//!
//! Keyed requests need no such evidence: a repeat has the idempotency key, the class and the body of the request that it
//! repeats.

use super::ports::ConnId;
use crate::dedup::DedupKey;
use std::collections::BTreeSet;

/// The set of confirmed connections.
#[derive(Debug, Default)]
pub(super) struct ConfirmedConnections(BTreeSet<ConnId>);

impl ConfirmedConnections {
    /// The worker pool has run a request of this connection.
    pub(super) fn confirm(&mut self, conn: ConnId) {
        self.0.insert(conn);
    }

    /// The connection is gone, or the worker pool does not know a request of it.
    pub(super) fn revoke(&mut self, conn: ConnId) {
        self.0.remove(&conn);
    }

    /// Whether a request of this connection may share results under this key.
    pub(super) fn may_share(&self, conn: ConnId, key: &DedupKey) -> bool {
        match key {
            DedupKey::Token(_) => true,
            DedupKey::Subject(_) => self.0.contains(&conn),
        }
    }
}
