//! The invariants, their violations, and the counts of events in a run.

use serde::Serialize;

/// An invariant of the program under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each attempt gets a complete, final response, and one that was closed unread does not run.
    Lost,
    /// Each response arrives within the slack after the request's deadline.
    Late,
    /// Each attempt gets one response, a request with an idempotency key runs once in its deduplication window, and a
    /// rejected request that is not idempotent has not run.
    Twice,
    /// A draining server runs nothing that was sent after its grace period, and exits by its stop timeout.
    Drain,
    /// Resource limits are kept, and no process exits without a request or with an error.
    Fall,
    /// Each request is completed with the result of its own run, and runs with its own body and class.
    Mixed,
    /// No server decides by a configuration version longer than the bound after another decided by a newer,
    /// contradicting one.
    Fence,
}

/// One violation of an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The violated invariant.
    pub rule: Rule,
    /// Seconds since the start of the run.
    pub at: f64,
    /// The attempt concerned, if any.
    pub attempt: Option<String>,
    /// The server concerned, if any.
    pub server: Option<String>,
    /// A description of the violation.
    pub what: String,
}

/// Counts of events in a run, as seen on the wire.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Counts {
    /// Attempts sent.
    pub attempts: u64,
    /// Responses received.
    pub answered: u64,
    /// Responses with a result.
    pub completed: u64,
    /// Responses that rejected the attempt.
    pub rejected: u64,
    /// Responses with an error.
    pub failed: u64,
    /// Runs started in worker pools.
    pub runs: u64,
    /// Attempts without a response that need none: they were canceled, affected by an injected fault, or their
    /// connection was closed.
    pub excused: u64,
    /// Attempts whose connection the server closed before it read them. They also count as excused.
    pub unread: u64,
    /// Runs of a request with an idempotency key that had already run on another server or incarnation, which only its
    /// caller can prevent.
    pub across: u64,
    /// Violations of invariants.
    #[serde(rename = "broken")]
    pub violations: u64,
}
