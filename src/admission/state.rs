//! Supporting types of the state of admission control.

use crate::types::RequestId;
use std::time::Duration;

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    pub(super) notified_at: Duration,
    /// When the process is stopped.
    pub(super) stops_at: Duration,
}

/// A requested upstream call with its rank. Ordered by the loss if the call is not made, largest first, then by due
/// time and id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankedCall {
    /// The loss in millionths of a priority weight, negated so that the largest loss sorts first.
    pub(super) negated_loss: i64,
    pub(super) due_at: Duration,
    pub(super) request_id: RequestId,
}

/// The topic of a log line. Lines are rate-limited per topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum LogTopic {
    Breaker,
    CallWindow,
    Drain,
    Health,
    Rejection,
    Settings,
    Window,
}

/// Whether the caller of a rejected request may try other servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OtherServers {
    MayBeTried,
    WouldRejectToo,
}

/// How an upstream call ended from the point of view of this server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnding {
    /// The call no longer occupies the dependency.
    Ended,
    /// This server has stopped waiting, but the call may still occupy the dependency.
    Abandoned,
}

/// The state of the request that a repeat refers to.
#[derive(Clone, Copy, Debug)]
pub(super) enum Original {
    /// Still queued, so that the repeat can replace it.
    Queued(RequestId),
    /// Started already, or not keyed and so not replaceable: the repeat joins it.
    Started(RequestId),
}

/// Smoothed times of upstream calls, in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTimes {
    pub(super) smoothed: f64,
    /// The best smoothed time; `f64::MAX` until enough calls have been seen.
    pub(super) best: f64,
    /// The time of the last call, answered or not.
    pub(super) last: f64,
    /// Number of calls recorded.
    pub(super) count: f64,
    /// When the last call was recorded.
    pub(super) recorded_at: Duration,
}

impl Default for CallTimes {
    fn default() -> Self {
        CallTimes { smoothed: 0.0, best: f64::MAX, last: 0.0, count: 0.0, recorded_at: Duration::ZERO }
    }
}
