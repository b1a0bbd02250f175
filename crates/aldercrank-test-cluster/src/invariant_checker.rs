//! Checks the invariants of the program under test. The checker sees only the traffic at the stub services and what the
//! test cluster itself does to processes and links, never the program's state. It does no I/O and reads no clock.
//!
//! So that a busy machine is not mistaken for a slow program, time limits are extended by the time that the server and
//! the test cluster waited for a core while the attempt was open (see [`SchedulingDelay`]).

mod checker;
mod observation;
mod run_result;
mod scheduling_delay;
mod violation;

pub use checker::InvariantChecker;
pub use observation::{
    Answer, Attempt, CheckedClass, CheckerSettings, ConnectionEnd, Effect, IdempotentCounts, ProcessExit,
    RunStart,
};
pub use run_result::{attempt_id_range, is_degraded, made_by, run_result, CallOutcome};
pub use scheduling_delay::SchedulingDelay;
pub use violation::{Counts, Rule, Violation};
