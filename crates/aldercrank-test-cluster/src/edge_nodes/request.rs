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
    Rejected,
    /// Failed, and not retried any more.
    Failed,
    /// Not answered by its deadline.
    Expired,
    /// Canceled by its caller.
    #[serde(rename = "gone")]
    Canceled,
}

/// A caller's request, over all its attempts.
pub struct Request {
    /// The edge node at which it arrived.
    pub edge: EdgeNo,
    /// Its class.
    pub class: ClassNo,
    /// Its idempotency key, if its class has one.
    pub idempotency_key: Option<u64>,
    /// Its priority on the wire, from 0 to 1.
    pub priority: f64,
    /// When it arrived.
    pub arrived_at: Duration,
    /// The last moment at which its completion is in time.
    pub in_time_until: Duration,
    /// When its caller gives up.
    pub deadline: Duration,
    /// Attempts so far.
    pub attempts: u32,
    /// Where the response to the current attempt is expected.
    pub(super) reply_to: Option<ReplyTo>,
    pub(super) last_sent_at: Duration,
    /// The server on which it may have run; it is retried on no other one.
    pub(super) pinned: Option<ServerNo>,
    pub(super) tried: Vec<ServerNo>,
    /// How it ends if it is not retried.
    pub(super) end_without_retry: RequestEnd,
    /// How it ended.
    pub end: Option<RequestEnd>,
    /// Whether its result was made without the call that it needed.
    pub degraded: bool,
}

/// A request's body, the same for all its attempts.
pub fn request_body(seed: u64, request: RequestNo, length: usize) -> Vec<u8> {
    let word = format!("{seed:x}.{} ", request.0).into_bytes();
    word.iter().copied().cycle().take(length).collect()
}
