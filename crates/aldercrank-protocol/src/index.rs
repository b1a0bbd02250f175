//! Calls to the upstream dependency, which the protocol calls the index.

use crate::http::Response;
use crate::worker_pool::AttemptId;
use aldercrank::Outcome;
use std::time::Duration;

/// Encodes the HTTP request of a call made for this attempt. The timeout is rounded down to whole milliseconds, and
/// sent as 1 ms if it is shorter.
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

/// The outcome of a call that got this response. The call counts as rejected only if the response is marked as shed:
/// without the mark, a 503 or 409 does not prove that it never ran.
pub fn call_outcome(response: &Response) -> Outcome {
    match response.status {
        200 => Outcome::Completed,
        503 | 409 if response.shed => Outcome::Rejected,
        504 => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}
