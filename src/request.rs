//! A request in flight and the timers of requests.

use crate::types::{Effect, RequestId};
use std::time::Duration;

/// Where a request in flight stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Read, not started.
    #[default]
    Queued,
    /// Waits for the response of the request that it repeats.
    Joined,
    /// On a core or at a disk of this server.
    Running,
    /// Its upstream call has been requested and not made.
    AwaitingCall,
    /// Its upstream call is outstanding.
    Calling,
}

/// A request in flight. Times are since the start of the server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    /// Index of the request class.
    pub(crate) class: usize,
    /// The effect that its class had when it was read.
    pub(crate) effect: Effect,
    /// When it reached the server, read or not.
    pub(crate) arrived_at: Duration,
    /// An answer after this misses the latency target.
    pub(crate) due_at: Duration,
    /// Its caller gives up at this time.
    pub(crate) deadline: Duration,
    /// Memory it takes before it runs, in KB.
    pub(crate) memory_kb: f64,
    pub(crate) stage: Stage,
    pub(crate) started_at: Duration,
    /// Time spent on upstream calls that have ended.
    pub(crate) call_time: Duration,
    /// When the current upstream call was requested.
    pub(crate) call_requested_at: Duration,
    /// Upstream calls made.
    pub(crate) call_attempts: u32,
    /// The upstream call is not made again before this.
    pub(crate) next_call_at: Duration,
    /// The final answer has been sent while the run goes on.
    pub(crate) answered: bool,
}

/// What a timer is for. Timers of one time fire in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The request must be answered now to meet its deadline.
    Deadline,
    /// The deduplication entry reaches its end.
    DedupEntry,
}

/// A timer of a request. Ordered by time, then kind, then id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Timer {
    pub(crate) at: Duration,
    pub(crate) kind: TimerKind,
    pub(crate) request_id: RequestId,
}

impl Timer {
    /// The timer at which a request with this deadline is answered, one tick before.
    pub(crate) fn deadline(request_id: RequestId, deadline: Duration, tick: Duration) -> Timer {
        Timer { at: deadline.saturating_sub(tick), kind: TimerKind::Deadline, request_id }
    }

    /// The timer at which a deduplication entry ends.
    pub(crate) fn dedup_entry(request_id: RequestId, ends_at: Duration) -> Timer {
        Timer { at: ends_at, kind: TimerKind::DedupEntry, request_id }
    }
}
