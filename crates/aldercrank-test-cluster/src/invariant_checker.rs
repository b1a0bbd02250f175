//! Checks the invariants of the program under test. It sees only what crosses the wire at the stub services and what
//! the test cluster itself does to processes and links; it knows nothing of the program's state. No I/O, no clock.
//!
//! A busy machine must not be taken for a slow program: a response may be later by the time that its server, and the
//! test cluster, waited for a core while the attempt was open (see [`SchedulingDelay`]).

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
