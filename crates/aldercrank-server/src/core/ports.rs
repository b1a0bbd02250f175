//! The core's interface to its environment: the trait [`Ports`], and the types that it uses.

use crate::dedup::{DedupKey, EntryId};
use crate::payload::Payload;
use crate::worker_pool::{AttemptId, NoticeNumber};
use aldercrank::{IncomingRequest, RequestId};
use aldercrank_protocol::msgpack_rpc::MessageId;
use std::rc::Rc;
use std::time::Duration;

/// A connection from an edge node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u32);

/// Where a response must be sent: a message on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReplyTo {
    /// The connection that the request was read from.
    pub conn: ConnId,
    /// The request's message id, which its response repeats.
    pub call: MessageId,
}

/// A timer of the core. Each has at most one deadline; setting it again replaces the deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerId {
    /// The admission module's periodic timer.
    Tick,
    /// Requests the worker pool's load metrics shortly before the tick.
    LoadMetrics,
    /// A deduplication entry may have expired.
    DedupExpiry(EntryId),
    /// Sends the start command of an answered request again, if its delivery is still unknown.
    ResendStart(RequestId),
}

/// The actions that the core takes. The server implements them on its sockets; tests use fakes.
///
/// Durations count from the moment of the call.
pub trait Ports {
    /// Sends the final response of a request that completed.
    fn complete(&mut self, reply_to: ReplyTo, result: Payload);
    /// Sends the final response of a request that was rejected and never ran. `retry_after` is when the caller may
    /// try again; `last` asks it not to try another server.
    fn reject(&mut self, reply_to: ReplyTo, retry_after: Option<Duration>, last: bool);
    /// Sends the final response of a request that failed; it may have run.
    fn fail(&mut self, reply_to: ReplyTo);
    /// Adds the configuration version that the request is decided by to its response. Called at most once per request,
    /// before the response is sent.
    fn decided_by_version(&mut self, _reply_to: ReplyTo, _version: u64) {}
    /// Tells the worker pool to start a run.
    fn start_run(&mut self, attempt: AttemptId, class: &str, body: &Rc<[u8]>);
    /// Tells the worker pool to stop a run.
    fn stop_run(&mut self, attempt: AttemptId);
    /// Delivers the reply of an upstream call to the run that waits for it.
    fn deliver_call_result(&mut self, attempt: AttemptId, reply: &[u8]);
    /// Tells a waiting run to continue without the upstream call that this notice announced.
    fn skip_call(&mut self, attempt: AttemptId, notice: NoticeNumber);
    /// Requests load metrics from the worker pool; its response carries the tag.
    fn request_metrics(&mut self, tag: u64);
    /// Calls the upstream dependency on behalf of a run.
    fn start_call(&mut self, request: RequestId, attempt: AttemptId, body: &[u8], timeout: Duration);
    /// Abandons an upstream call.
    fn cancel_call(&mut self, request: RequestId);
    /// Sets what health checks report from now on.
    fn set_health(&mut self, healthy: bool);
    /// Closes connections that have been idle for `timeout`.
    fn close_idle(&mut self, timeout: Duration);
    /// Sets the load hint that is sent with each response.
    fn set_load_hint(&mut self, value: f64);
    /// Sets a timer; `Core::timer_fired` is called once it is due.
    fn set_timer(&mut self, timer: TimerId, after: Duration);
    /// Cancels a timer, if it is set.
    fn cancel_timer(&mut self, timer: TimerId);
}

/// A complete request as it was read from an edge node.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedRequest<'a> {
    /// The id that the edge node gave this attempt.
    pub attempt: AttemptId,
    /// Links the request with its repeats, where it has an idempotency key or a subject.
    pub dedup_key: Option<DedupKey>,
    /// The properties that the admission module decides by.
    pub arrival: IncomingRequest<'a>,
    /// The longest time that the request can have waited unread, by this server's own clock.
    pub max_unread_time: Duration,
    /// The request's body, passed to the worker pool unchanged.
    pub body: &'a [u8],
}
