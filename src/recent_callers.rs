//! The most recent requests: who sent each of them and how long its caller would still wait for an answer. A remaining
//! wait that is unusually short indicates a later attempt.

use crate::types::CallerId;
use std::collections::VecDeque;

/// Number of recent requests that a new request is compared with.
pub(crate) const COMPARED_REQUESTS: usize = 100;

/// How the remaining wait of a request compares with that of the requests before it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitComparison {
    /// Share of the recent requests whose remaining wait is at most one bucket away; 1 if there are none.
    pub(crate) similar_share: f64,
    /// Whether the same caller has recently sent a request with the same remaining wait.
    pub(crate) seen_from_caller: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RecentRequest {
    caller: CallerId,
    wait_bucket: usize,
}

/// The last [`COMPARED_REQUESTS`] requests, newest first.
#[derive(Debug, Default)]
pub(crate) struct RecentCallers {
    requests: VecDeque<RecentRequest>,
    same_caller_share: f64,
}

impl RecentCallers {
    /// Smoothed probability that two recent requests came from the same caller.
    pub(crate) fn same_caller_share(&self) -> f64 {
        self.same_caller_share
    }

    /// Records a request whose remaining wait falls into `wait_bucket`, and compares it with the requests before it.
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
