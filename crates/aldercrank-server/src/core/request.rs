//! A request in flight: its stage, its run in the worker pool and the upstream call that the run waits for.

use super::ports::{ReceivedRequest, ReplyTo};
use crate::dedup::DedupKey;
use crate::payload;
use crate::worker_pool::{AttemptId, NoticeNumber};
use aldercrank::{Effect, RequestId};
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    Queued,
    /// Waiting for the outcome of the request that it repeats.
    Joined,
    Running,
    /// It does not run and will not run again. Its slot is kept while a deduplication entry refers to it.
    Finished,
}

/// Whether the worker pool has received the last command that must not be sent twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Delivery {
    Confirmed,
    /// Sent on the current link; the response to a poll with this tag or a later one proves that it was received.
    ConfirmedBy(u64),
    /// Sent on a link that was lost before the response to such a poll.
    Unknown,
    /// Not sent: the link was down, or was lost before any byte was written.
    Unsent,
}

/// The upstream call that a run waits for.
#[derive(Clone)]
pub(super) struct BlockedCall {
    pub(super) notice: NoticeNumber,
    pub(super) body: Rc<[u8]>,
}

/// What a run that waits for an upstream call is sent.
#[derive(Clone)]
pub(super) enum CallResult {
    Reply(Rc<[u8]>),
    /// The command to continue without the call.
    Skipped,
}

pub(super) struct Request {
    pub(super) attempt: AttemptId,
    /// None once the response is sent or the caller has gone.
    pub(super) reply_to: Option<ReplyTo>,
    pub(super) dedup_key: Option<DedupKey>,
    /// The index of its class in the settings.
    pub(super) class: usize,
    /// The effect of its class when the request was received.
    pub(super) effect: Effect,
    /// None once the request is finished.
    pub(super) body: Option<Rc<[u8]>>,
    pub(super) repeats: Option<RequestId>,
    pub(super) stage: Stage,
    pub(super) delivery: Delivery,
    pub(super) blocked_call: Option<BlockedCall>,
    /// When its outstanding call was started; none if there is no such call.
    pub(super) call_started_at: Option<Duration>,
    /// What the waiting run is sent once the link to the worker pool is back.
    pub(super) undelivered_result: Option<CallResult>,
    /// Whether the last command to its run was to skip the call. That command names the call, so it may be sent twice.
    pub(super) skip_sent_last: bool,
    pub(super) joined_at: Duration,
    /// Requests that repeat this one and wait for its outcome.
    pub(super) waiters: Vec<RequestId>,
}

impl Request {
    /// A request that was received now, with a copy of its body. It repeats none.
    pub(super) fn queued(
        received: &ReceivedRequest,
        reply_to: ReplyTo,
        class: usize,
        effect: Effect,
        now: Duration,
    ) -> Request {
        Request {
            attempt: received.attempt,
            reply_to: Some(reply_to),
            dedup_key: None,
            class,
            effect,
            body: Some(payload::copy_body(received.body)),
            repeats: None,
            stage: Stage::Queued,
            delivery: Delivery::Confirmed,
            blocked_call: None,
            call_started_at: None,
            undelivered_result: None,
            skip_sent_last: false,
            joined_at: now,
            waiters: Vec::new(),
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.stage == Stage::Running
    }
}
