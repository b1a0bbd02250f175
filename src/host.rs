//! What the module can do to its server. No decision lives here.

use crate::types::RequestId;
use std::time::Duration;

pub trait Host {
    /// Starts a held txn.
    fn start_run(&mut self, request: RequestId);
    /// Stops a running txn, where the settings allow it.
    fn stop_run(&mut self, request: RequestId);
    /// Final answer: turned away, never ran. `retry_after`: when to come back; `last`: try nobody else.
    fn reject(&mut self, request: RequestId, retry_after: Option<Duration>, last: bool);
    /// Final answer: an error that promises nothing.
    fn fail(&mut self, request: RequestId);
    /// Remembers a txn so that its repeats are known.
    fn remember(&mut self, request: RequestId, span: Duration);
    /// Drops a remembered txn.
    fn forget(&mut self, request: RequestId);
    /// Answers a repeat from the txn it repeats.
    fn join_original(&mut self, request: RequestId);
    /// Makes the call that a txn waits for.
    fn start_call(&mut self, request: RequestId, timeout: Duration);
    /// Goes on without the call.
    fn skip_call(&mut self, request: RequestId);
    /// What health checks hear from now on.
    fn set_health(&mut self, good: bool, stored: bool);
    /// Closes connections idle for this long.
    fn close_idle(&mut self, span: Duration);
    /// Sets the free value sent along with every answer.
    fn set_load_hint(&mut self, value: f64);
    /// Asks for a wake-up.
    fn set_timer(&mut self, after: Duration);
    /// Adds a line to the log.
    fn log(&mut self, line: &str);
}
