//! What a server does when it starts among hundreds, and the pace of what it asks of anything that it shares with
//! others. What is harmless in one process falls over in three hundred: all of a fleet that starts in the same second
//! would ask in the same tenth of it, and again together for as long as they live. Nobody here knows the others; what
//! keeps them apart is drawn, each server's by its own name, and what tells them that they are too many is being refused.
//!
//! No I/O and no clock: times are handed in, the moment of the next try is handed out.

// Not finished yet (docs/ROADMAP.md): a package that is done in full has no such line.
#![allow(missing_docs, unreachable_pub)]
#![allow(clippy::needless_pass_by_value, clippy::semicolon_if_nothing_returned, clippy::too_many_lines)]

mod retry_pacer;
mod slow_start;

pub use retry_pacer::{digest, PacerState, RetryPacer, Terms};
pub use slow_start::{Phase, SlowStart, SlowStartConfig, SlowStartReason, SlowStartStatus};
