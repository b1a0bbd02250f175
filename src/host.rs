//! The actions that admission control can ask of its server.

use crate::types::RequestId;
use std::time::Duration;

/// Carries out decisions. Each method is called at the moment of the decision and must not call back into
/// [`crate::Admission`].
pub trait Host {
    /// Starts the run of a queued request.
    fn start_run(&mut self, request_id: RequestId);
    /// Stops a running request. Called only where the settings allow it and the request is idempotent.
    fn stop_run(&mut self, request_id: RequestId);
    /// Sends the final answer "rejected, never ran". `retry_after`: the earliest time for another attempt;
    /// `last`: the caller should try no other server.
    fn reject(&mut self, request_id: RequestId, retry_after: Option<Duration>, last: bool);
    /// Sends the final answer "failed", which does not say whether the request ran.
    fn fail(&mut self, request_id: RequestId);
    /// Keeps a deduplication entry, so that repeats of this request are recognised for this long.
    fn remember(&mut self, request_id: RequestId, span: Duration);
    /// Drops a deduplication entry.
    fn forget(&mut self, request_id: RequestId);
    /// Answers a repeat with the response of the request that it repeats.
    fn join_original(&mut self, request_id: RequestId);
    /// Makes the upstream call that a running request waits for.
    fn start_call(&mut self, request_id: RequestId, timeout: Duration);
    /// Continues a run without its upstream call.
    fn skip_call(&mut self, request_id: RequestId);
    /// Sets the answer to health checks. `stored`: the answer stays until the next change.
    fn set_health(&mut self, good: bool, stored: bool);
    /// Closes the connections that have been idle for this long.
    fn close_idle(&mut self, span: Duration);
    /// Sets the load hint that is sent along with every answer.
    fn set_load_hint(&mut self, value: f64);
    /// Asks for one call of [`crate::Admission::timer_fired`] after this time. Replaces the timer set before.
    fn set_timer(&mut self, after: Duration);
    /// Adds a line to the log.
    fn log(&mut self, line: &str);
}
