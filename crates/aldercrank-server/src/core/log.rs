//! Logging of single requests.

/// Logs an event of one request. Its fields are evaluated only if the request log is on.
macro_rules! log_request {
    ($attempt:expr, $($event:tt)+) => {
        tracing::debug!(target: $crate::logger::REQUEST_LOG_TARGET, attempt = %$attempt, $($event)+)
    };
}
pub(super) use log_request;
