//! Calls to the index, apart from sockets: what is asked, and what each answer proves.

use crate::http::Response;
use crate::worker_pool::AttemptId;
use aldercrank::Outcome;
use std::time::Duration;

pub fn write_call(host: &str, attempt: AttemptId, timeout: Duration, body: &[u8]) -> Vec<u8> {
    let budget = timeout.as_millis().max(1);
    let length = body.len();
    let mut bytes = format!(
        "POST /lookup HTTP/1.1\r\nHost: {host}\r\nX-Parent-Id: {attempt}\r\nX-Budget-Ms: {budget}\r\n\
         Content-Length: {length}\r\n\r\n"
    )
    .into_bytes();
    bytes.extend(body);
    bytes
}

/// Only what is marked as shed proves that the call never ran.
pub fn call_outcome(reply: &Response) -> Outcome {
    match reply.status {
        200 => Outcome::Completed,
        503 | 409 if reply.shed => Outcome::Rejected,
        504 => Outcome::TimedOut,
        _ => Outcome::Failed,
    }
}
