//! Backoff and jitter for periodic requests to a shared service, and slow start of a worker pool.
//!
//! Without jitter, the servers of a fleet that start within the same second would send their requests to a shared
//! service at the same instant, and again at every interval after it. Servers do not coordinate here: the times of each
//! are spread by random numbers seeded with its name, and rejected requests are the only sign of overload.
//!
//! [`RetryPacer`] computes the time of the next attempt, [`SlowStart`] the share of load to offer during warm-up. Both
//! are state machines that do no I/O and read no clock.

mod retry_pacer;
mod slow_start;

pub use retry_pacer::{fnv1a_hash, PacerState, RetryPacer, RetryPacerConfig};
pub use slow_start::{Phase, SlowStart, SlowStartConfig, SlowStartReason, SlowStartStatus};
