//! The state of a request in flight, and the timers that belong to requests.

use crate::types::{Effect, RequestId};
use std::time::Duration;

/// The stage that a request in flight has reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Read and waiting in the queue.
    #[default]
    Queued,
    /// Waiting for the response of the request that it repeats.
    Joined,
    /// Using a core or a disk of this server.
    Running,
    /// Its upstream call has been requested but not made yet.
    AwaitingCall,
    /// Its upstream call is outstanding.
    Calling,
}

/// A request in flight. Points in time are given as time since the server started.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    /// Index of the request class.
    pub(crate) class: usize,
    /// The effect that its class had when the request was read.
    pub(crate) effect: Effect,
    /// When it reached the server, which may be before it was read.
    pub(crate) arrived_at: Duration,
    /// An answer later than this misses the latency target.
    pub(crate) due_at: Duration,
    /// When its caller stops waiting.
    pub(crate) deadline: Duration,
    /// Memory that it occupies before it runs, in KB.
    pub(crate) memory_kb: f64,
    pub(crate) stage: Stage,
    pub(crate) started_at: Duration,
    /// Time spent waiting for upstream calls that have ended.
    pub(crate) call_time: Duration,
    /// When the current upstream call was requested.
    pub(crate) call_requested_at: Duration,
    /// Number of upstream calls made so far.
    pub(crate) call_attempts: u32,
    /// The upstream call is not retried before this time.
    pub(crate) next_call_at: Duration,
    /// The final answer has been sent, although the run has not ended.
    pub(crate) answered: bool,
}

/// What a timer is for. Timers due at the same time fire in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerKind {
    /// The request must be answered now in order to meet its deadline.
    Deadline,
    /// The deduplication entry expires, or is removed if it had expired before.
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
    /// The timer that answers a request one tick before its deadline, since sending the answer takes up to a tick.
    pub(crate) fn deadline(request_id: RequestId, deadline: Duration, tick: Duration) -> Timer {
        Timer { at: deadline.saturating_sub(tick), kind: TimerKind::Deadline, request_id }
    }

    /// The timer for the end of a deduplication entry.
    pub(crate) fn dedup_entry(request_id: RequestId, ends_at: Duration) -> Timer {
        Timer { at: ends_at, kind: TimerKind::DedupEntry, request_id }
    }
}
