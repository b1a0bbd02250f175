//! Why a server can't apply a version.

use thiserror::Error;

/// Why a server can't apply a version. `class` is the name of a request class.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Incompatibility {
    /// The platform's settings have no such request class.
    #[error("product.{class}: this server has no such product")]
    UnknownClass {
        /// The request class.
        class: String,
    },
    /// The timeout is shorter than the latency target.
    #[error("product.{class}: given up before its SLA time")]
    TimeoutBeforeLatencyTarget {
        /// The request class.
        class: String,
    },
    /// Deduplication entries would end before the last retry.
    #[error("product.{class}.window-ms: shorter than its callers go on trying")]
    DeduplicationWindowTooShort {
        /// The request class.
        class: String,
    },
}
