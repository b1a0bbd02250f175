//! A request in flight: its stage, its run in the worker pool and the upstream call that the run waits for.

use super::ports::ReplyTo;
use crate::dedup::DedupKey;
use crate::worker_pool::{AttemptId, NoticeNumber};
use aldercrank::{Effect, RequestId};
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Queued,
    /// Waits for the outcome of the request that it repeats.
    Joined,
    Running,
    /// Nothing runs for it, nor will. Its slot stays while a deduplication entry refers to it.
    Finished,
}

/// Whether the worker pool has received the last command that must not be sent twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    Confirmed,
    /// Sent on the present link; the response to a poll with this tag or a later one proves that it was received.
    ConfirmedBy(u64),
    /// Sent on a link that was lost.
    Unknown,
    /// Not sent: there was no link.
    Unsent,
}

/// The upstream call that a run waits for.
#[derive(Clone)]
pub(super) struct BlockedCall {
    pub(super) notice: NoticeNumber,
    pub(super) body: Rc<[u8]>,
}

/// How a waiting run goes on.
#[derive(Clone)]
pub(super) enum CallResult {
    Reply(Rc<[u8]>),
    /// The run continues without its call.
    Skipped,
}

pub(super) struct Request {
    pub(super) attempt: AttemptId,
    /// None once the response is sent or the caller has gone.
    pub(super) reply_to: Option<ReplyTo>,
    pub(super) dedup_key: Option<DedupKey>,
    /// Index of its class in the settings.
    pub(super) class: usize,
    /// The effect of its class at the time that it was read.
    pub(super) effect: Effect,
    /// None once it is finished.
    pub(super) body: Option<Rc<[u8]>>,
    pub(super) repeats: Option<RequestId>,
    pub(super) stage: Stage,
    pub(super) delivery: Delivery,
    pub(super) blocked_call: Option<BlockedCall>,
    /// When its outstanding call was started.
    pub(super) call_started_at: Option<Duration>,
    /// What a waiting run is sent once the pool's link is back.
    pub(super) undelivered_result: Option<CallResult>,
    /// The last command to its run was to skip the call. It names the call, so it may be sent twice.
    pub(super) skip_sent_last: bool,
    pub(super) joined_at: Duration,
    /// Requests that repeat this one and wait for its outcome.
    pub(super) waiters: Vec<RequestId>,
}

impl Request {
    pub(super) fn is_running(&self) -> bool {
        self.stage == Stage::Running
    }
}
