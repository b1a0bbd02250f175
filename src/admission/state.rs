//! Parts of the state of admission control.

use crate::types::RequestId;
use std::time::Duration;

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Drain {
    pub(super) notified_at: Duration,
    /// The process is stopped at this time.
    pub(super) stops_at: Duration,
}

/// A requested upstream call, as it is ranked against others. Ordered by what is lost without it, the most first, then
/// by due time and id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RankedCall {
    /// The loss in millionths of a weight, negated.
    pub(super) negated_loss: i64,
    pub(super) due_at: Duration,
    pub(super) request_id: RequestId,
}

/// What a log line is about. The interval between lines is kept for each topic on its own.
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

/// Whether an upstream call that is over here may still occupy the dependency.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallEnding {
    Ended,
    Abandoned,
}

/// The request that a repeat refers to.
#[derive(Clone, Copy, Debug)]
pub(super) enum Original {
    /// It is still queued, so that the repeat can replace it.
    Queued(RequestId),
    /// It runs or has run.
    Started,
}

/// Smoothed times of upstream calls, in seconds.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTimes {
    pub(super) smoothed: f64,
    /// The best smoothed time; `f64::MAX` until enough calls have been seen.
    pub(super) best: f64,
    /// Of the last call, answered or not.
    pub(super) last: f64,
    pub(super) count: f64,
}

impl Default for CallTimes {
    fn default() -> Self {
        CallTimes { smoothed: 0.0, best: f64::MAX, last: 0.0, count: 0.0 }
    }
}
