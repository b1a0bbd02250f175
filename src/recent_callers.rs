//! The callers of the last requests and how long each of them would still wait for an answer.

use crate::types::CallerId;
use std::collections::VecDeque;

/// Requests that a new one is compared with.
pub(crate) const COMPARED_REQUESTS: usize = 100;

/// How the remaining wait of a request compares with those of the requests before it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitComparison {
    /// Share of the earlier requests whose remaining wait is about the same; 1 if there are none.
    pub(crate) similar_share: f64,
    /// The same caller has sent a request with this remaining wait before.
    pub(crate) seen_from_caller: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RecentRequest {
    caller: CallerId,
    wait_bucket: usize,
}

/// The last requests, the newest first.
#[derive(Debug, Default)]
pub(crate) struct RecentCallers {
    requests: VecDeque<RecentRequest>,
    same_caller_share: f64,
}

impl RecentCallers {
    /// Smoothed probability that two of the recent requests came from one caller.
    pub(crate) fn same_caller_share(&self) -> f64 {
        self.same_caller_share
    }

    /// Records a request whose remaining wait falls into this bucket, and compares it with the ones before.
    pub(crate) fn record(&mut self, caller: CallerId, wait_bucket: usize) -> WaitComparison {
        let count = self.requests.len() as f64;
        let similar =
            self.requests.iter().filter(|r| r.wait_bucket.abs_diff(wait_bucket) <= 1).count() as f64;
        let request = RecentRequest { caller, wait_bucket };
        let seen_from_caller = self.requests.contains(&request);
        let same_caller = self.requests.iter().filter(|r| r.caller == caller).count() as f64;
        self.same_caller_share += (same_caller / count.max(1.0) - self.same_caller_share) / (count + 1.0);
        self.requests.push_front(request);
        self.requests.truncate(COMPARED_REQUESTS);
        let similar_share = if count > 0.0 { similar / count } else { 1.0 };
        WaitComparison { similar_share, seen_from_caller }
    }
}
