//! Calls to the upstream dependency, which the protocol calls the index.

use crate::http::Response;
use crate::worker_pool::AttemptId;
use aldercrank::Outcome;
use std::time::Duration;

/// The HTTP request of a call for this attempt. The timeout is stated in whole milliseconds, of which there is at least
/// one.
pub fn write_call(host: &str, attempt: AttemptId, timeout: Duration, body: &[u8]) -> Vec<u8> {
    let budget_ms = timeout.as_millis().max(1);
    let length = body.len();
    let mut message = format!(
        "POST /lookup HTTP/1.1\r\nHost: {host}\r\nX-Parent-Id: {attempt}\r\nX-Budget-Ms: {budget_ms}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
    .into_bytes();
    message.extend(body);
    message
}

/// The outcome of a call that was answered. Only a response that is marked as shed proves that the call never ran.
pub fn call_outcome(response: &Response) -> Outcome {
    match response.status {
        200 => Outcome::Completed,
        503 | 409 if response.shed => Outcome::Rejected,
        504 => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}
