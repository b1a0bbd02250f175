//! When a server asks again for anything that it shares with others, and how much load it offers after a start.
//!
//! A fleet that starts in one second would send its requests to a shared service in the same instant, and again at each
//! interval after it. Servers do not know of each other here: their times are spread by random numbers seeded with the
//! name of each, and the one sign of overload is that the service rejects requests.
//!
//! [`RetryPacer`] gives the time of the next attempt; [`SlowStart`] the share of load during warm-up. Both are state
//! machines without I/O and without a clock.

mod retry_pacer;
mod slow_start;

pub use retry_pacer::{digest, PacerState, RetryPacer, RetryPacerConfig};
pub use slow_start::{Phase, SlowStart, SlowStartConfig, SlowStartReason, SlowStartStatus};
