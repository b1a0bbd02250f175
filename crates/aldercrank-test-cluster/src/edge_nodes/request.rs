//! A caller's request and how it ends.

use crate::ids::{ClassNo, EdgeNo, ReplyTo, RequestNo, ServerNo};
use std::time::Duration;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestEnd {
    /// Completed by its latency target.
    InTime,
    /// Completed after its latency target.
    Late,
    /// Rejected, and not retried any more.
    #[serde(rename = "declined")]
    Rejected,
    /// Failed, and not retried any more.
    #[serde(rename = "voided")]
    Failed,
    /// Not answered by its deadline.
    Expired,
    /// Canceled by its caller.
    #[serde(rename = "gone")]
    Canceled,
}

/// A caller's request, over all its attempts.
pub struct Request {
    /// Where it arrived.
    pub edge: EdgeNo,
    /// Its class.
    pub class: ClassNo,
    /// Its idempotency key, if its class has one.
    pub idempotency_key: Option<u64>,
    /// Its priority on the wire, from 0 to 1.
    pub priority: f64,
    /// When it arrived.
    pub arrived_at: Duration,
    /// Until when it is completed in time.
    pub in_time_until: Duration,
    /// When its caller gives it up.
    pub deadline: Duration,
    /// Attempts so far.
    pub attempts: u32,
    /// Where the response to the current attempt is expected.
    pub(super) reply_to: Option<ReplyTo>,
    pub(super) last_sent_at: Duration,
    /// It may have run there, so that it is sent to no other server.
    pub(super) pinned: Option<ServerNo>,
    pub(super) tried: Vec<ServerNo>,
    /// How it ends if it is not retried.
    pub(super) end_without_retry: RequestEnd,
    /// How it ended.
    pub end: Option<RequestEnd>,
    /// Its result was made without the call that it needed.
    pub degraded: bool,
}

/// A request's body, the same for all its attempts.
pub fn request_body(seed: u64, request: RequestNo, length: usize) -> Vec<u8> {
    let word = format!("{seed:x}.{} ", request.0).into_bytes();
    word.iter().copied().cycle().take(length).collect()
}
