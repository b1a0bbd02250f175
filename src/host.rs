//! The interface through which admission control acts on its server.

use crate::types::RequestId;
use std::time::Duration;

/// Carries out the decisions of [`crate::Admission`]. Each method is called at the moment of the decision and must not
/// call back into [`crate::Admission`].
pub trait Host {
    /// Starts the run of a queued request.
    fn start_run(&mut self, request_id: RequestId);
    /// Stops a running request. Called only where the settings allow it and the request is idempotent.
    fn stop_run(&mut self, request_id: RequestId);
    /// Sends the final answer "rejected, never ran". `retry_after` is how long the caller should wait before another
    /// attempt; `last` asks the caller not to try another server.
    fn reject(&mut self, request_id: RequestId, retry_after: Option<Duration>, last: bool);
    /// Sends the final answer "failed", which does not say whether the request ran.
    fn fail(&mut self, request_id: RequestId);
    /// Creates or extends the deduplication entry of this request, so that repeats are recognised for `span` from now.
    fn remember(&mut self, request_id: RequestId, span: Duration);
    /// Removes the deduplication entry of this request.
    fn forget(&mut self, request_id: RequestId);
    /// Answers a repeat with the response of the request that it repeats.
    fn join_original(&mut self, request_id: RequestId);
    /// Makes the upstream call that a running request waits for.
    fn start_call(&mut self, request_id: RequestId, timeout: Duration);
    /// Continues a run without its upstream call.
    fn skip_call(&mut self, request_id: RequestId);
    /// Sets the answer to health checks. With `stored` the answer is kept until the next change.
    fn set_health(&mut self, healthy: bool, stored: bool);
    /// Closes connections that have been idle for at least `idle_time`.
    fn close_idle(&mut self, idle_time: Duration);
    /// Sets the load hint that is sent with every answer.
    fn set_load_hint(&mut self, value: f64);
    /// Schedules one call of [`crate::Admission::timer_fired`], replacing the timer set before.
    fn set_timer(&mut self, after: Duration);
    /// Writes a line to the log.
    fn log(&mut self, line: &str);
}
