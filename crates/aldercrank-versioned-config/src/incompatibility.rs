//! Reasons why a server can't apply a version.

use thiserror::Error;

/// A reason why a server can't apply a version. `class` is the name of a request class.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Incompatibility {
    /// The version has settings for a request class that the platform's settings don't define.
    #[error("product.{class}: this server has no such product")]
    UnknownClass {
        /// Name of the request class.
        class: String,
    },
    /// The timeout is shorter than the latency target, after merging the version with the platform's settings.
    #[error("product.{class}: given up before its SLA time")]
    TimeoutBeforeLatencyTarget {
        /// Name of the request class.
        class: String,
    },
    /// Deduplication entries would expire before the timeout, up to which callers retry.
    #[error("product.{class}.window-ms: shorter than its callers go on trying")]
    DeduplicationWindowTooShort {
        /// Name of the request class.
        class: String,
    },
}
