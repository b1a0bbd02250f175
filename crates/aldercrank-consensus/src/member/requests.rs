//! A member's outstanding requests to the other members.

use crate::messages::{CommittedState, CorrelationId, ServerName};
use std::collections::BTreeMap;
use std::time::Duration;

/// Why a request was sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Purpose {
    Check,
    /// Phase 1 of this round.
    Prepare {
        round: u64,
    },
    /// Phase 2 of this round.
    Accept {
        round: u64,
    },
    Learn,
    /// Text of a later committed state.
    FetchCommitted(CommittedState),
    /// Text of a proposed version.
    FetchProposed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OutstandingRequest {
    pub(super) to: ServerName,
    pub(super) purpose: Purpose,
    sent_at: Duration,
}

/// Outstanding requests by correlation id.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct OutstandingRequests {
    next_correlation_id: u64,
    requests: BTreeMap<CorrelationId, OutstandingRequest>,
}

impl OutstandingRequests {
    pub(super) fn new() -> OutstandingRequests {
        OutstandingRequests { next_correlation_id: 1, requests: BTreeMap::new() }
    }

    /// Adds a request and returns its correlation id.
    pub(super) fn insert(&mut self, now: Duration, to: &ServerName, purpose: Purpose) -> CorrelationId {
        let correlation_id = CorrelationId(self.next_correlation_id);
        self.next_correlation_id += 1;
        self.requests.insert(correlation_id, OutstandingRequest { to: to.clone(), purpose, sent_at: now });
        correlation_id
    }

    pub(super) fn remove(&mut self, correlation_id: CorrelationId) -> Option<OutstandingRequest> {
        self.requests.remove(&correlation_id)
    }

    pub(super) fn contains(&self, to: &ServerName, purpose: &Purpose) -> bool {
        self.requests.values().any(|request| request.to == *to && request.purpose == *purpose)
    }

    /// Called before a new check. Removes the requests of the previous check, and all others that have been outstanding
    /// for `timeout`.
    pub(super) fn remove_stale(&mut self, now: Duration, timeout: Duration) {
        self.requests
            .retain(|_, request| request.purpose != Purpose::Check && request.sent_at + timeout > now);
    }
}
