//! The invariants, their violations, and the counts of a run.

use serde::Serialize;

/// An invariant of the program under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request gets a complete, final response.
    Lost,
    /// Each response comes by the request's deadline and the slack.
    Late,
    /// Each attempt gets one response, and a request with an idempotency key runs once in its deduplication window.
    Twice,
    /// A draining server runs nothing that came after its grace period, and exits before its stop timeout.
    Drain,
    /// Limits are kept, and no process exits by itself.
    Fall,
    /// A request is completed with the result of a run of its own, and runs with its own body and class.
    Mixed,
    /// No server acts by a configuration version for longer than the bound after another acted by a contradicting one.
    Fence,
}

/// One violation of an invariant.
#[derive(Clone, Debug, Serialize)]
pub struct Violation {
    /// The invariant.
    pub rule: Rule,
    /// Seconds since the start of the run.
    pub at: f64,
    /// The attempt that it was seen at.
    pub attempt: Option<String>,
    /// The server that it was seen at.
    pub server: Option<String>,
    /// What was seen.
    pub what: String,
}

/// What was seen on the wire in a run.
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
    /// Attempts without a response that none is owed for: canceled, or hit by an injected fault.
    pub excused: u64,
    /// Attempts whose connection closed before they were read; excused too.
    pub unread: u64,
    /// Runs of a request with an idempotency key after one on another server or incarnation, which only its caller
    /// can prevent.
    pub across: u64,
    /// Violations.
    #[serde(rename = "broken")]
    pub violations: u64,
}
