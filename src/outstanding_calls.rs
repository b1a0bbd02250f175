//! Recent upstream calls: when each was made, and until when it may occupy the dependency. The totals are maintained
//! incrementally, because they are needed at every event.

use crate::range_summary_map::RangeSummaryMap;
use crate::types::{RequestId, RequestMap};
use std::collections::VecDeque;
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
struct Call {
    request_id: RequestId,
    started_at: Duration,
    ends_at: Duration,
    /// It ended before the observed period and no longer counts towards the totals.
    expired: bool,
}

/// The end of an open call. Ordered by time, then by the sequence number of the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct CallEnd {
    at: Duration,
    number: u64,
}

/// Recent upstream calls, numbered in the order in which they were made.
#[derive(Debug, Default)]
pub struct OutstandingCalls {
    /// In the order in which they were made, numbered consecutively from `first_number` on.
    calls: VecDeque<Call>,
    first_number: u64,
    latest_of_request: RequestMap<u64>,
    open: RangeSummaryMap<CallEnd>,
    /// Number of calls that are not expired, and their total duration.
    counted_calls: usize,
    total_time: Duration,
}

impl OutstandingCalls {
    /// Records a call that may last until `ends_at`.
    pub fn start(&mut self, request_id: RequestId, now: Duration, ends_at: Duration) {
        let number = self.first_number + self.calls.len() as u64;
        self.calls.push_back(Call { request_id, started_at: now, ends_at, expired: false });
        self.latest_of_request.insert(request_id, number);
        self.open.insert(CallEnd { at: ends_at, number }, ());
        self.counted_calls += 1;
        self.total_time += ends_at.saturating_sub(now);
    }

    /// Changes the end of the latest call of this request to `ends_at`, unless the call has already ended.
    pub fn set_end(&mut self, request_id: RequestId, now: Duration, ends_at: Duration) {
        let Some(&number) = self.latest_of_request.get(&request_id) else { return };
        let Some(call) = self.calls.get_mut((number - self.first_number) as usize) else { return };
        if call.ends_at >= now && !call.expired {
            self.open.remove(&CallEnd { at: call.ends_at, number });
            self.total_time = (self.total_time + ends_at).saturating_sub(call.ends_at);
            call.ends_at = ends_at;
            self.open.insert(CallEnd { at: ends_at, number }, ());
        }
    }

    /// The total duration of all calls after `since`, each up to its own end. Calls that ended by then are dropped.
    pub fn time_since(&mut self, since: Duration) -> Duration {
        let mut time_before = Duration::ZERO;
        // Only calls made before `since` can have ended by then, or count in part.
        for call in self.calls.iter_mut().take_while(|c| c.started_at < since).filter(|c| !c.expired) {
            if call.ends_at <= since {
                call.expired = true;
                self.counted_calls -= 1;
                self.total_time =
                    self.total_time.saturating_sub(call.ends_at.saturating_sub(call.started_at));
            } else {
                time_before += since - call.started_at;
            }
        }
        while let Some(call) = self.calls.front().filter(|c| c.expired) {
            if self.latest_of_request.get(&call.request_id) == Some(&self.first_number) {
                self.latest_of_request.remove(&call.request_id);
            }
            self.calls.pop_front();
            self.first_number += 1;
        }
        self.total_time.saturating_sub(time_before)
    }

    /// Number of calls that may still occupy the dependency at `now`.
    pub fn open_count(&mut self, now: Duration) -> usize {
        while let Some((end, ())) = self.open.first().filter(|(end, ())| end.at <= now) {
            self.open.remove(&end);
        }
        self.open.len()
    }

    /// Whether no call counts towards the totals.
    pub fn is_empty(&self) -> bool {
        self.counted_calls == 0
    }

    /// When the last call was made; `None` if no call counts towards the totals.
    pub fn last_start(&self) -> Option<Duration> {
        self.calls.back().filter(|_| self.counted_calls > 0).map(|call| call.started_at)
    }
}
